//! When an attempt counts as unanswered because its upstream is full, in `mulberryspur-platform`.
//!
//! Answers the load pattern in which an upstream never answers a request that does not fit its queue, nor
//! any later one on that connection. One request in a hundred takes three to five times the mean, and
//! upstreams are three times slower at times, so that an attempt counts as unanswered late, and only where
//! nothing else was heard from the upstream meanwhile.
//!
//! Points in time are readings of the boot clock in milliseconds.

use crate::clock::Millis;

/// Multiple of an upstream's response time from which an attempt counts as unanswered.
const UNANSWERED_FACTOR: f64 = 4.0;
/// Queue of an upstream that does not answer, as a multiple of its concurrency. It reports none.
pub(crate) const FULL_QUEUE_FACTOR: u32 = 4;

/// An attempt that waits for its response.
#[derive(Debug, Clone, Copy)]
pub struct WaitingAttempt {
    /// When it was sent.
    pub sent_at: Millis,
    /// Mean response time of the upstream in milliseconds.
    pub response_time_ms: f64,
}

impl WaitingAttempt {
    /// Returns from when on it counts as unanswered.
    #[must_use]
    pub fn unanswered_from(&self) -> Millis {
        self.sent_at + to_millis(self.response_time_ms * UNANSWERED_FACTOR)
    }
}

fn to_millis(ms: f64) -> Millis {
    #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "positive")]
    let ms = ms as Millis;
    ms
}
