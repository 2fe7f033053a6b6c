//! When an attempt counts as unanswered because its upstream is full, in `mulberryspur-platform`.
//!
//! Answers the load pattern in which an upstream never answers a request that does not fit its queue, nor
//! any later one on that connection. One request in a hundred takes three to five times the mean, and
//! upstreams are three times slower at times, so that an attempt is given up late, and only where nothing
//! else was heard from the upstream meanwhile.
//!
//! Points in time are readings of the boot clock in milliseconds.

use crate::clock::Millis;

/// Multiple of an upstream's response time from which an attempt counts as unanswered.
const UNANSWERED_FACTOR: f64 = 4.0;
/// Multiple of the response time that is left for another attempt.
const RETRY_FACTOR: f64 = 2.0;
/// Time in milliseconds for which an attempt may still wait for its connection, which shows more than
/// silence.
const CONNECT_TIME_MS: Millis = 300;
/// Least time in milliseconds that is left for another attempt.
const MIN_RETRY_MS: f64 = 150.0;
/// Queue of an upstream that does not answer, as a multiple of its concurrency. It reports none.
pub(crate) const FULL_QUEUE_FACTOR: u32 = 4;

/// An attempt that waits for its response.
#[derive(Debug, Clone, Copy)]
pub struct WaitingAttempt {
    /// When it was sent.
    pub sent_at: Millis,
    /// When its request should have been answered by its latency objective.
    pub objective_at: Millis,
    /// When the upstream must have finished.
    pub deadline: Millis,
    /// Mean response time of the upstream in milliseconds.
    pub response_time_ms: f64,
}

impl WaitingAttempt {
    /// Returns from when on it counts as unanswered.
    #[must_use]
    pub fn unanswered_from(&self) -> Millis {
        self.sent_at + to_millis(self.response_time_ms * UNANSWERED_FACTOR)
    }

    /// Returns when it is given up for another attempt; `None` if that would not end in time.
    #[must_use]
    pub fn retry_at(&self) -> Option<Millis> {
        let connected = self.sent_at + CONNECT_TIME_MS;
        let at = self.unanswered_from().max(self.objective_at).max(connected);
        let needed = (self.response_time_ms * RETRY_FACTOR).max(MIN_RETRY_MS);
        (at + to_millis(needed) <= self.deadline).then_some(at)
    }
}

fn to_millis(ms: f64) -> Millis {
    #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "positive")]
    let ms = ms as Millis;
    ms
}
