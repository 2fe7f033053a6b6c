//! The data centres under evacuation in `mulberryspur-platform`, and the pace at which the keys of
//! their upstreams move.
//!
//! Answers an operator who evacuates a data centre with a third of 307 upstreams, which own a third of
//! 900 ranges of keys: no request may reach these upstreams 5 s after the operator's write was
//! acknowledged. Requests without keys stop at once. The keys move in batches, so that few of them are
//! unavailable at a time, and their owners serve them until then, for [`OWNER_GRACE_MS`] at most.
//!
//! Changes come from the store's feed and from other instances, in any order; the later revision wins.
//!
//! Points in time are readings of the boot clock in milliseconds.

use crate::{
    clock::Millis,
    collections::HashMap,
    coordinator::Reassignment,
    keymap::{KeyMap, Owner},
    revision,
};
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// Time in milliseconds after an evacuation became known within which owners still serve keys whose
/// move has not begun. An instance knows of a change 2 s after it was acknowledged at the latest, so
/// that the last request is sent 4 s after it; 1 s is left of the time limit of 5 s.
pub const OWNER_GRACE_MS: Millis = 2_000;
/// Time in milliseconds within which all moves of evacuated keys begin. The rest of
/// [`OWNER_GRACE_MS`] is left for their releases, which wait for the requests that run, and commits.
pub const MOVE_START_MS: Millis = 800;
/// Time in milliseconds between two batches of moves: that between two plans of the coordinator.
const BATCH_INTERVAL_MS: Millis = 250;
/// Maximum number of moves of evacuated keys in progress during [`MOVE_START_MS`]. A move takes about
/// half a second, so that 400 ranges move in time; what is left then moves at once, as requests would
/// no longer be sent to these owners anyway.
pub const MAX_MOVES_IN_PROGRESS: usize = 128;
/// Time in milliseconds for which an evacuation goes on whose row is missing in the listing of a store
/// that was restored from a copy: the operator writes the row again within it.
pub const RESTORED_GRACE_MS: Millis = 2_600;
/// Time in milliseconds for which the end of an evacuation is told to other instances unasked.
const END_MEMORY_MS: Millis = 30_000;

/// Age in milliseconds of a change that an instance has found when it began to follow the store, so that
/// it may have been there for long.
pub const UNKNOWN_AGE_MS: Millis = Millis::MAX;

/// A change of a data centre's evacuation, as instances send it to each other.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EvacuationChange {
    /// The data centre.
    pub data_center: Arc<str>,
    /// Revision of the store at which its row changed.
    pub revision: u64,
    /// Whether it is evacuated from then on.
    pub in_force: bool,
    /// Time in milliseconds since it became known, or [`UNKNOWN_AGE_MS`].
    #[serde(default)]
    pub age_ms: Millis,
}

/// What is known about the evacuation of one data centre.
#[derive(Debug, Clone)]
struct Evacuation {
    revision: u64,
    in_force: bool,
    /// Since when it has been in force, or not, as far as it is known; 0 if that cannot be told.
    changed_at: Millis,
    /// The revision of the listing of a restored store that lacks the row, and when the evacuation
    /// ends unless the row is written again.
    end: Option<(u64, Millis)>,
    /// Whether [`Evacuations::expire`] has told that the owners' grace is over.
    grace_over: bool,
}

/// The evacuations that are or were in force, by data centre.
#[derive(Debug, Default)]
pub struct Evacuations {
    known: HashMap<Arc<str>, Evacuation>,
    /// Revision of the store up to which all changes are known.
    complete_up_to: u64,
}

impl Evacuations {
    /// Merges changes; returns whether any was not known.
    pub fn merge(
        &mut self,
        now: Millis,
        changes: impl IntoIterator<Item = EvacuationChange>,
    ) -> bool {
        changes.into_iter().filter(|c| self.merge_one(now, c)).count() > 0
    }

    fn merge_one(&mut self, now: Millis, change: &EvacuationChange) -> bool {
        let is_age_known = change.age_ms != UNKNOWN_AGE_MS;
        let changed_at = match (is_age_known, change.in_force) {
            (true, _) => now.saturating_sub(change.age_ms),
            (false, true) => 0,
            // Upstreams of a data centre that returns are cold for some time; the end may be recent.
            (false, false) => now,
        };
        let EvacuationChange { data_center, revision, in_force, .. } = change.clone();
        let new = Evacuation { revision, in_force, changed_at, end: None, grace_over: false };
        let Some(known) = self.known.get_mut(&data_center) else {
            self.known.insert(data_center, new);
            return true;
        };
        let mut improved = false;
        if known.in_force == in_force && known.revision <= revision && is_age_known {
            // The earliest time wins, as each exchange between instances takes some time.
            improved = known.changed_at == 0;
            known.changed_at = if improved { changed_at } else { known.changed_at.min(changed_at) };
            known.grace_over &= !improved;
        }
        if known.revision >= revision {
            return improved;
        }
        *known = if known.in_force == in_force {
            let end = known.end.filter(|(listing, _)| in_force && revision <= *listing);
            Evacuation { revision, end, ..known.clone() }
        } else {
            new
        };
        true
    }

    /// Takes over a complete listing, which the store held at `revision`: evacuations that it lacks
    /// have ended, unless they are newer. Returns whether anything has changed.
    ///
    /// A store that was restored from a copy may lack the row of an evacuation that goes on, which
    /// therefore ends only [`RESTORED_GRACE_MS`] later.
    pub fn replace(&mut self, now: Millis, revision: u64, listed: Vec<EvacuationChange>) -> bool {
        let mut changed = false;
        for (data_center, e) in &mut self.known {
            let is_listed = listed.iter().any(|c| c.in_force && c.data_center == *data_center);
            if is_listed || !e.in_force || e.revision > revision {
                continue;
            }
            if revision::generation(e.revision) < revision::generation(revision) {
                e.end.get_or_insert((revision, now + RESTORED_GRACE_MS));
            } else {
                (e.in_force, e.revision, e.changed_at) = (false, revision, now);
                changed = true;
            }
        }
        let merged = self.merge(now, listed);
        self.mark_complete(revision);
        changed || merged
    }

    /// Takes over what another instance knows, which names all evacuations in force at `complete_up_to`,
    /// or none if that is 0; returns whether anything has changed.
    ///
    /// The sender may be behind: an evacuation that is not in force here, although all changes up to a
    /// later revision are known, has ended.
    pub fn merge_from_peer(
        &mut self,
        now: Millis,
        complete_up_to: u64,
        mut changes: Vec<EvacuationChange>,
    ) -> bool {
        changes.retain(|c| {
            !c.in_force || c.revision > self.complete_up_to || self.is_evacuated(&c.data_center)
        });
        self.replace(now, complete_up_to, changes)
    }

    /// Records that all changes up to `revision` are known.
    pub fn mark_complete(&mut self, revision: u64) {
        self.complete_up_to = self.complete_up_to.max(revision);
    }

    /// Returns the revision up to which all changes are known; 0 while the end of an evacuation that a
    /// restored store does not list is still to come, as others do not know of that end.
    #[must_use]
    pub fn complete_up_to(&self) -> u64 {
        let is_end_pending = self.known.values().any(|e| e.end.is_some());
        if is_end_pending { 0 } else { self.complete_up_to }
    }

    /// Ends what ends with time; returns whether there was anything, so that upstreams must be used
    /// otherwise.
    pub fn expire(&mut self, now: Millis) -> bool {
        let mut changed = false;
        for e in self.known.values_mut().filter(|e| e.in_force) {
            if let Some((revision, _)) = e.end.filter(|(_, at)| now >= *at) {
                let (in_force, end) = (false, None);
                *e = Evacuation { revision, in_force, changed_at: now, end, grace_over: false };
                changed = true;
            } else if now >= e.changed_at + OWNER_GRACE_MS && !e.grace_over {
                e.grace_over = true;
                changed = true;
            }
        }
        changed
    }

    /// Returns whether a data centre is evacuated.
    #[must_use]
    pub fn is_evacuated(&self, data_center: &str) -> bool {
        self.since(data_center).is_some()
    }

    /// Returns since when a data centre has been evacuated, as far as it is known, if it is; 0 if that
    /// cannot be told.
    #[must_use]
    pub fn since(&self, data_center: &str) -> Option<Millis> {
        self.known.get(data_center).filter(|e| e.in_force).map(|e| e.changed_at)
    }

    /// Returns when the last evacuation of a data centre ended, if it is known and none is in force.
    #[must_use]
    pub fn ended_at(&self, data_center: &str) -> Option<Millis> {
        self.known.get(data_center).filter(|e| !e.in_force).map(|e| e.changed_at)
    }

    /// Returns whether owners of keys in an evacuated data centre still serve them until they move.
    #[must_use]
    pub fn is_owner_grace(&self, now: Millis, data_center: &str) -> bool {
        self.since(data_center).is_some_and(|since| now < since + OWNER_GRACE_MS)
    }

    /// Returns whether any data centre is evacuated.
    #[must_use]
    pub fn is_any_in_force(&self) -> bool {
        self.known.values().any(|e| e.in_force)
    }

    /// Returns whether other instances are told of the evacuations unasked: while one is in force, and
    /// for a while after its end.
    #[must_use]
    pub fn is_news(&self, now: Millis) -> bool {
        self.known.values().any(|e| e.in_force || now < e.changed_at + END_MEMORY_MS)
    }

    /// Returns all known changes, as they are sent to other instances.
    #[must_use]
    pub fn changes(&self, now: Millis) -> Vec<EvacuationChange> {
        let changes = self.known.iter().map(|(data_center, e)| EvacuationChange {
            data_center: data_center.clone(),
            revision: e.revision,
            in_force: e.in_force,
            age_ms: if e.changed_at == 0 {
                UNKNOWN_AGE_MS
            } else {
                now.saturating_sub(e.changed_at)
            },
        });
        changes.collect()
    }
}

/// Returns the planned moves that begin now.
///
/// Of those of keys that their evacuated owner still serves, only a batch does, so that all of them
/// begin within [`MOVE_START_MS`]. `planned` holds the owners that the plan was made for,
/// `in_progress` is the number of such moves that are not committed yet, and `served_since` tells since
/// when an owner that still serves its keys has been evacuated.
#[must_use]
pub fn next_batch(
    now: Millis,
    plan: Vec<Reassignment>,
    planned: &KeyMap,
    in_progress: usize,
    served_since: impl Fn(&Owner) -> Option<Millis>,
) -> Vec<Reassignment> {
    let since = |r: &Reassignment| planned.find(r.range.from).and_then(|s| served_since(&s.owner));
    let remaining = plan.iter().filter_map(since).count();
    let first = plan.iter().filter_map(since).min();
    let time_left = first.map_or(0, |t| (t + MOVE_START_MS).saturating_sub(now));
    if remaining == 0 || time_left == 0 {
        return plan;
    }
    let batches = usize::try_from(time_left / BATCH_INTERVAL_MS).unwrap_or(0) + 1;
    let free = MAX_MOVES_IN_PROGRESS.saturating_sub(in_progress);
    let mut left = remaining.div_ceil(batches).min(free);
    let mut begins = |r: &Reassignment| {
        if since(r).is_none() {
            return true;
        }
        let begins = left > 0;
        left = left.saturating_sub(1);
        begins
    };
    plan.into_iter().filter(|r| begins(r)).collect()
}
