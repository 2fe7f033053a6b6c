//! Credits for requests to cold owners of keys in `mulberryspur-platform`: the service's coordinator
//! counts them for all instances, which ask it before they send a request.
//!
//! Answers a rise of the requests for an owner that is cold, through many instances that each see one of
//! them every few seconds: ranges of keys that move to it as its data centre returns to service, a hot
//! key, a burst. An announced share of the requests ([`crate::overload`]) follows such a rise only after a
//! second, and the sum over all instances is a chance, not a bound.
//!
//! In any second, an owner gets at most the rate for that second and for the time by which requests may be
//! shifted against each other, and the burst. What remains of the bound is for instances that cannot ask:
//! those that do not hear the coordinator use the reserve, tokens of half the rate.
//!
//! [`CreditDealer`] is the coordinator's side, [`CreditBook`] and [`DealerWatch`] the other instances'.
//! Points in time are readings of the boot clock in milliseconds.

use crate::{clock::Millis, collections::HashMap};
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// Credits for one owner that may be dealt at once.
const DEALT_BURST: f64 = 2.5;
/// Time in milliseconds after which a request without an answer is given up. A round trip takes some
/// milliseconds, on a slow instance some ten.
const ASK_TIMEOUT_MS: Millis = 250;
/// Time in milliseconds after the request for it until which a credit may be used.
const CREDIT_VALIDITY_MS: Millis = 400;
/// Time in milliseconds after the last sign of a coordinator that deals credits until which it is asked:
/// it is heard from with each traffic report.
const DEALER_TIMEOUT_MS: Millis = 2_200;
/// Time in milliseconds for which the credits of an owner that nobody asks for are remembered.
const DEALER_MEMORY_MS: Millis = 10_000;

/// Credits for owners of one service that an instance asks for.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct CreditRequest {
    /// Service.
    pub service: Arc<str>,
    /// Number of the request at its sender.
    pub id: u64,
    /// Owners, and the credits for each.
    pub owners: Vec<(Arc<str>, u32)>,
}

/// The answer to a [`CreditRequest`].
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct CreditAnswer {
    /// Service.
    pub service: Arc<str>,
    /// Number of the request.
    pub id: u64,
    /// Whether the sender acts as the service's coordinator; otherwise it deals nothing.
    pub acting: bool,
    /// The credits that are granted for each owner, in the order of the request.
    pub granted: Vec<u32>,
}

/// Counts the credits of each cold owner.
#[derive(Debug, Default)]
pub struct CreditDealer {
    owners: HashMap<Arc<str>, (f64, Millis)>,
}

impl CreditDealer {
    /// Returns how many of `asked` credits for an owner are granted, which tolerates `per_second`
    /// requests. It begins with one credit, as another coordinator may have dealt more just before.
    pub fn deal(&mut self, now: Millis, owner: &Arc<str>, per_second: f64, asked: u32) -> u32 {
        self.owners.retain(|_, (_, at)| now < *at + DEALER_MEMORY_MS);
        let (credits, updated_at) = self.owners.entry(owner.clone()).or_insert((1.0, now));
        #[expect(clippy::cast_precision_loss, reason = "short spans")]
        let elapsed_s = now.saturating_sub(*updated_at) as f64 / 1_000.0;
        *credits = (*credits + elapsed_s * per_second).min(DEALT_BURST);
        *updated_at = now;
        #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "few")]
        let granted = asked.min(*credits as u32);
        *credits -= f64::from(granted);
        granted
    }

    /// Forgets all credits, at the end of this instance's time as the coordinator.
    pub fn reset(&mut self) {
        self.owners.clear();
    }
}

/// How an instance admits requests for cold owners.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum ColdAdmission {
    /// By tokens, or the announced share: the service has no keys, or a coordinator of an earlier version.
    #[default]
    Tokens,
    /// By credits of the coordinator.
    Credits,
    /// By tokens of half the rate, as the coordinator is not heard and may deal to others.
    Reserve,
}

/// Whether the service's coordinator deals credits, as far as this instance hears it.
#[derive(Debug, Clone, Copy, Default)]
pub struct DealerWatch {
    heard: Heard,
}

#[derive(Debug, Clone, Copy, Default)]
enum Heard {
    #[default]
    Nothing,
    EarlierVersion,
    Dealer(Millis),
}

impl DealerWatch {
    /// Takes over whether an instance acts as the coordinator, and whether it deals credits.
    pub fn on_status(&mut self, now: Millis, acting: bool, deals_credits: bool) {
        self.heard = match (acting, deals_credits) {
            (_, true) => Heard::Dealer(now),
            (true, false) => Heard::EarlierVersion,
            (false, false) => Heard::Nothing,
        };
    }

    /// Returns how requests for cold owners are admitted.
    #[must_use]
    pub fn admission(&self, now: Millis) -> ColdAdmission {
        match self.heard {
            Heard::Dealer(at) if now < at + DEALER_TIMEOUT_MS => ColdAdmission::Credits,
            Heard::Dealer(_) | Heard::Nothing => ColdAdmission::Reserve,
            Heard::EarlierVersion => ColdAdmission::Tokens,
        }
    }
}

/// The credits of an instance for the owners of one service, and those that it has asked for.
#[derive(Debug, Default)]
pub struct CreditBook {
    /// Credits by owner, and until when they may be used.
    credits: HashMap<Arc<str>, Vec<Millis>>,
    pending: Vec<PendingRequest>,
    /// Credits by owner that were refused, or not answered in time.
    refused: HashMap<Arc<str>, u32>,
    next_id: u64,
}

#[derive(Debug)]
struct PendingRequest {
    id: u64,
    sent_at: Millis,
    owners: Vec<(Arc<str>, u32)>,
}

impl CreditBook {
    /// Returns whether a request may be sent to an owner.
    #[must_use]
    pub fn has_credit(&self, now: Millis, owner: &str) -> bool {
        self.credits.get(owner).is_some_and(|c| c.iter().any(|until| now < *until))
    }

    /// Uses a credit, the oldest one first.
    pub fn take(&mut self, now: Millis, owner: &str) {
        if let Some(credits) = self.credits.get_mut(owner) {
            credits.retain(|until| now < *until);
            if !credits.is_empty() {
                credits.remove(0);
            }
        }
    }

    /// Returns the request for what the waiting requests need beyond the credits that are there or have
    /// been asked for: `waiting` has their number by owner.
    pub fn request(
        &mut self,
        now: Millis,
        service: &Arc<str>,
        waiting: impl IntoIterator<Item = (Arc<str>, u32)>,
    ) -> Option<CreditRequest> {
        let needed = |(owner, waiting): (Arc<str>, u32)| {
            let usable =
                self.credits.get(&owner).map_or(0, |c| c.iter().filter(|u| now < **u).count());
            let asked = self.pending.iter().flat_map(|p| &p.owners).filter(|(o, _)| *o == owner);
            let covered =
                u32::try_from(usable).unwrap_or(u32::MAX) + asked.map(|(_, n)| n).sum::<u32>();
            let refused = self.refused.get(&owner).copied().unwrap_or(0);
            let missing = waiting.saturating_sub(covered + refused);
            (missing > 0).then_some((owner, missing))
        };
        let owners: Vec<(Arc<str>, u32)> = waiting.into_iter().filter_map(needed).collect();
        if owners.is_empty() {
            return None;
        }
        let id = self.next_id;
        self.next_id += 1;
        self.pending.push(PendingRequest { id, sent_at: now, owners: owners.clone() });
        Some(CreditRequest { service: service.clone(), id, owners })
    }

    /// Takes over an answer; one that comes too late is ignored.
    pub fn on_answer(&mut self, now: Millis, answer: &CreditAnswer) {
        self.expire(now);
        let Some(n) = self.pending.iter().position(|p| p.id == answer.id) else {
            return;
        };
        let request = self.pending.swap_remove(n);
        let until = request.sent_at + CREDIT_VALIDITY_MS;
        let granted = answer.granted.iter().copied().chain(std::iter::repeat(0));
        for ((owner, asked), granted) in request.owners.into_iter().zip(granted) {
            let granted = granted.min(asked);
            let credits = self.credits.entry(owner.clone()).or_default();
            credits.extend((0..granted).map(|_| until));
            *self.refused.entry(owner).or_default() += asked - granted;
        }
    }

    /// Gives up what was not answered in time, and forgets credits that may not be used any more.
    pub fn expire(&mut self, now: Millis) {
        let is_late = |p: &mut PendingRequest| now >= p.sent_at + ASK_TIMEOUT_MS;
        for request in self.pending.extract_if(.., is_late) {
            for (owner, asked) in request.owners {
                *self.refused.entry(owner).or_default() += asked;
            }
        }
        for credits in self.credits.values_mut() {
            credits.retain(|until| now < *until);
        }
        self.credits.retain(|_, credits| !credits.is_empty());
    }

    /// Returns the credits by owner that were refused since the last call.
    pub fn take_refused(&mut self) -> HashMap<Arc<str>, u32> {
        std::mem::take(&mut self.refused)
    }
}
