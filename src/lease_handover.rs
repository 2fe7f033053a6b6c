//! When a small coordinator hands its lease over to a larger instance.
//!
//! Addresses deployments with few large and many small instances, where a small one took the lease
//! while the large ones were away or starting. Larger instances that have just read the lease's row,
//! and so reach the store, offer to take it over; without such an offer, nothing is handed over, so
//! that the lease does not go back and forth.

use crate::{clock::Millis, succession};

/// Time in milliseconds for which a coordinator keeps the lease before it hands it over.
const MIN_HELD_MS: Millis = 5_000;
/// The same for a coordinator that falls behind with grants.
const MIN_HELD_BEHIND_MS: Millis = 1_000;
/// Time in milliseconds for which an offer counts: offers are repeated more often.
const OFFER_VALIDITY_MS: Millis = 2_500;
/// Time in milliseconds between two offers of one instance: each costs a read of the store.
const OFFER_INTERVAL_MS: Millis = 2_000;
/// Number of instances of a class that offer to take the lease over.
const OFFERING_RANKS: Millis = 3;
/// Time in milliseconds for which all grants are renewed before the lease is given back.
const RENEW_MS: Millis = 500;
/// Time in milliseconds for which an instance that has handed the lease over does not take it.
pub const ABSTENTION_MS: Millis = 3_000;

/// What the holder of the lease does.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Step {
    /// It goes on.
    Keep,
    /// It renews all grants, so that they outlive the takeover, and plans no more moves.
    Renew,
    /// It goes on as after [`Step::Renew`].
    Wait,
    /// It gives the lease back.
    GiveBack,
}

/// Returns whether an instance offers to take the lease over, if it reaches the store.
#[must_use]
pub fn may_offer(own_cores: f64, coordinator_cores: f64, rank: Millis) -> bool {
    is_larger(own_cores, coordinator_cores) && rank < OFFERING_RANKS
}

/// Returns whether another offer is due.
#[must_use]
pub fn is_offer_due(now: Millis, last: Millis) -> bool {
    now >= last + OFFER_INTERVAL_MS
}

fn is_larger(cores: f64, than: f64) -> bool {
    let (class, other) = (succession::size_class(cores), succession::size_class(than));
    class.zip(other).is_some_and(|(class, other)| class < other)
}

/// State of the holder of a lease with regard to offers of others.
#[derive(Debug, Clone, Default)]
pub struct LeaseHandover {
    /// When a larger instance last offered to take the lease over.
    offered_at: Option<Millis>,
    begun_at: Option<Millis>,
}

impl LeaseHandover {
    /// Records an offer of an instance, by both numbers of cores; returns whether it counts.
    pub fn on_offer(&mut self, now: Millis, own_cores: f64, cores: f64) -> bool {
        let counts = is_larger(cores, own_cores);
        if counts {
            self.offered_at = Some(now);
        }
        counts
    }

    /// Returns whether a hand-over has begun.
    #[must_use]
    pub fn has_begun(&self) -> bool {
        self.begun_at.is_some()
    }

    /// Returns whether the lease is given back as soon as no write of its row is pending.
    #[must_use]
    pub fn is_due(&self, now: Millis) -> bool {
        self.begun_at.is_some_and(|begun| now >= begun + RENEW_MS)
    }

    /// Returns what a holder does that has acted since `acting_since`; `is_behind` tells whether many
    /// of its grants are not answered in time.
    pub fn next_step(&mut self, now: Millis, acting_since: Millis, is_behind: bool) -> Step {
        if self.is_due(now) {
            return Step::GiveBack;
        }
        if self.has_begun() {
            return Step::Wait;
        }
        let min_held = if is_behind { MIN_HELD_BEHIND_MS } else { MIN_HELD_MS };
        let offered = self.offered_at.is_some_and(|at| now < at + OFFER_VALIDITY_MS);
        if !offered || now < acting_since + min_held {
            return Step::Keep;
        }
        self.begun_at = Some(now);
        Step::Renew
    }
}
