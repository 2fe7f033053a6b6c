//! Which owners have lost the grants of their keys, as seen from their refusals, in
//! `mulberryspur-platform`.
//!
//! Answers the load pattern in which requests come back to an owner that holds no grant, wait for
//! seconds in its queue and are refused once more. The grant of an owner that was just committed arrives
//! within some 10 ms; one that has lapsed comes back with a later fence, if at all.
//!
//! Points in time are readings of the boot clock in milliseconds.

use crate::{clock::Millis, collections::HashMap, keymap::Key};
use std::sync::Arc;

/// Time in milliseconds for which no request for a key is sent to the owner that refused the key for
/// the first time, unless the key gets a new fence.
const KEY_REFUSAL_MS: Millis = 120;
/// Time in milliseconds within which all grants of a commit arrive. A refusal that comes this long
/// after the first one, or after the first accepted request, tells that a grant was lost.
const GRANT_ARRIVAL_MS: Millis = 100;
/// Time in milliseconds within which refusals of different keys count together: later ones may be of
/// keys that have moved one by one.
const REPEAT_WINDOW_MS: Millis = 3_000;
/// Time in milliseconds for which requests for a key wait for a later fence once its owner has lost the
/// grant: if the key was moved, the new owner is known soon.
const FENCE_WAIT_MS: Millis = 300;
/// Time in milliseconds for which nothing is sent under a grant that was lost: grants are renewed every
/// 1.2 s.
const GRANT_LOSS_MS: Millis = 1_200;
/// Number of grants and of keys from which entries are removed that have ended.
const MAX_ENTRIES: usize = 1_024;
/// Time in milliseconds after which a grant that no request has used is forgotten.
const UNUSED_MS: Millis = 30_000;

/// Whether a request may be sent under its owner's grant.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum GrantState {
    /// It may.
    Held,
    /// The grant or a later fence may arrive at any moment.
    Awaited,
    /// The owner has lost the grant, and no later fence is in sight.
    Lost,
}

/// Refusals by owner, fence and key.
#[derive(Debug, Default)]
pub struct KeyRefusals {
    /// By owner and fence.
    grants: HashMap<(Arc<str>, u64), GrantUse>,
    keys: HashMap<(Key, u64), KeyRefusal>,
}

/// Requests under the grants that an owner got with one fence.
#[derive(Debug, Clone, Copy, Default)]
struct GrantUse {
    first_accepted: Option<Millis>,
    /// First refusal since a request was last accepted.
    first_refused: Option<Millis>,
    lost_until: Millis,
    used_at: Millis,
}

#[derive(Debug, Clone, Copy)]
struct KeyRefusal {
    first: Millis,
    awaited_until: Millis,
    lost_until: Millis,
}

impl KeyRefusals {
    /// Returns whether a request for `key` may be sent to its owner.
    #[must_use]
    pub fn state(&self, now: Millis, owner: &Arc<str>, fence: u64, key: Key) -> GrantState {
        let lost = |g: &GrantUse| now < g.lost_until;
        if !self.grants.is_empty() && self.grants.get(&(owner.clone(), fence)).is_some_and(lost) {
            return GrantState::Lost;
        }
        match self.keys.get(&(key, fence)) {
            Some(k) if now < k.awaited_until => GrantState::Awaited,
            Some(k) if now < k.lost_until => GrantState::Lost,
            _ => GrantState::Held,
        }
    }

    /// Records that an owner has run a request for `key`.
    pub fn on_accepted(&mut self, now: Millis, owner: &Arc<str>, fence: u64, key: Key) {
        let grant = self.grant(now, owner, fence);
        grant.first_accepted.get_or_insert(now);
        (grant.first_refused, grant.lost_until) = (None, 0);
        self.keys.remove(&(key, fence));
    }

    /// Records that an owner has refused `key`, as it holds no grant; returns whether it was lost.
    pub fn on_refused(&mut self, now: Millis, owner: &Arc<str>, fence: u64, key: Key) -> bool {
        let has_passed = |since: Option<Millis>| since.is_some_and(|t| now >= t + GRANT_ARRIVAL_MS);
        let grant = self.grant(now, owner, fence);
        // Refusals of other keys too: requests that were sent while the grants were on their way.
        let recent = grant.first_refused.filter(|t| now < t + REPEAT_WINDOW_MS);
        let all_lost = has_passed(recent);
        grant.first_refused = Some(recent.unwrap_or(now));
        if all_lost {
            grant.lost_until = now + GRANT_LOSS_MS;
        }
        let had_grant = has_passed(grant.first_accepted);
        if self.keys.len() >= MAX_ENTRIES {
            self.keys.retain(|_, k| now < k.lost_until.max(k.first + GRANT_LOSS_MS));
        }
        let new = KeyRefusal { first: now, awaited_until: now + KEY_REFUSAL_MS, lost_until: 0 };
        let refusal = self.keys.entry((key, fence)).or_insert(new);
        if now >= refusal.first + REPEAT_WINDOW_MS {
            *refusal = new;
        }
        if all_lost || has_passed(Some(refusal.first)) {
            (refusal.awaited_until, refusal.lost_until) = (now, now + GRANT_LOSS_MS);
        } else if had_grant {
            refusal.awaited_until = now + FENCE_WAIT_MS;
            refusal.lost_until = now + GRANT_LOSS_MS;
        }
        now < refusal.lost_until
    }

    fn grant(&mut self, now: Millis, owner: &Arc<str>, fence: u64) -> &mut GrantUse {
        if self.grants.len() >= MAX_ENTRIES {
            self.grants.retain(|_, g| now < g.used_at + UNUSED_MS);
        }
        let grant = self.grants.entry((owner.clone(), fence)).or_default();
        grant.used_at = now;
        grant
    }
}
