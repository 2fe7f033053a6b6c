//! Whether other instances of `mulberryspur-platform` reach an owner of keys that this one does not.
//!
//! Answers the load pattern in which a third of the owners is lost at once: each instance sees that for
//! itself, and requests that are forwarded for them are refused by one instance after another. One
//! request at a time asks for an owner, and after a refusal none does for some time.
//!
//! Points in time are readings of the boot clock in milliseconds.

use crate::clock::Millis;

/// Time in milliseconds for which no request for an owner is forwarded once others did not reach it
/// either. Doubles with each further refusal until the owner accepts a connection.
const UNREACHABLE_MS: Millis = 2_000;
/// Longest such time: a path that others have come to have is used after it.
const MAX_UNREACHABLE_MS: Millis = 16_000;
/// Longest time in milliseconds for which others wait for the result of the request that asks.
const ASK_MS: Millis = 500;
/// Time in milliseconds for which all requests are forwarded once another instance has served one.
const SERVED_MS: Millis = 3_000;

/// What other instances have shown about one owner.
#[derive(Debug, Clone, Copy, Default)]
pub struct OtherPaths {
    state: State,
    /// Refusals since the owner last accepted a connection or others served a request.
    refusals: u32,
}

#[derive(Debug, Clone, Copy, Default)]
enum State {
    #[default]
    Unknown,
    /// A request asks until this time at most.
    Asked(Millis),
    /// Others do not reach it; not to be asked until this time.
    None(Millis),
    /// Others reach it, until this time.
    Known(Millis),
}

impl OtherPaths {
    /// Returns whether a request may be forwarded for this owner.
    #[must_use]
    pub fn may_ask(&self, now: Millis) -> bool {
        !matches!(self.state, State::Asked(until) | State::None(until) if now < until)
    }

    /// Returns whether a request is asking others.
    #[must_use]
    pub fn is_asked(&self, now: Millis) -> bool {
        matches!(self.state, State::Asked(until) if now < until)
    }

    /// Records that a request is forwarded.
    pub fn on_asked(&mut self, now: Millis) {
        if !matches!(self.state, State::Known(until) if now < until) {
            self.state = State::Asked(now + ASK_MS);
        }
    }

    /// Records that others have served the request.
    pub fn on_served(&mut self, now: Millis) {
        (self.state, self.refusals) = (State::Known(now + SERVED_MS), 0);
    }

    /// Records that others do not reach the owner either.
    pub fn on_refused(&mut self, now: Millis) {
        let duration = (UNREACHABLE_MS << self.refusals.min(3)).min(MAX_UNREACHABLE_MS);
        self.state = State::None(now + duration);
        self.refusals += 1;
    }

    /// Records that the request has ended without showing either.
    pub fn on_inconclusive(&mut self) {
        if let State::Asked(_) = self.state {
            self.state = State::Unknown;
        }
    }
}
