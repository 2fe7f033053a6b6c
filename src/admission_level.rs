//! How many of the requests without a key an instance of `mulberryspur-platform` sends at all while the
//! upstreams of a service are saturated.
//!
//! Answers a burst of up to 2.6 times the traffic that the upstreams can serve. Requests that wait in
//! upstreams' queues then are served too late, so that hardly any meets its latency objective, and the
//! queues last longer than the burst. No instance sees what the others send, but the queues that
//! responses report are the same for all, whatever their number. So each instance lowers the share of
//! requests that it admits while many responses come after their objective from upstreams with a
//! queue, and raises it while few do. The others are rejected at once, the less urgent ones first.
//!
//! Points in time are readings of the boot clock in milliseconds.

use crate::{clock::Millis, collections::HashMap, upstream_state::LoadReport};

/// Least time in milliseconds between two adjustments; a response time if that is longer, so that
/// an adjustment shows in the queues before the next one.
const MIN_INTERVAL_MS: f64 = 200.0;
/// Responses from which their mean counts: fewer show chance rather than load.
const MIN_RESPONSES: f64 = 12.0;
/// Share of the responses that were delayed by a queue up to which the level rises. Uneven upstreams
/// delay one in twenty while there is no overload.
const MIN_DELAYED_SHARE: f64 = 0.1;
/// The same from which it falls.
const MAX_DELAYED_SHARE: f64 = 0.2;
/// Weight of that share in the factor by which the level falls at once.
const DECREASE_WEIGHT: f64 = 0.4;
/// Smallest factor by which it falls at once.
const MIN_FACTOR: f64 = 0.7;
/// By how much it rises at once.
const INCREASE: f64 = 0.05;
/// Time in milliseconds without a delayed response after which the level rises whatever the number of
/// responses.
const RECOVERY_INTERVAL_MS: Millis = 1_000;
/// By how much it then rises.
const RECOVERY_INCREASE: f64 = 0.1;
/// Smallest level: responses are needed to learn that the queues are short again.
const MIN_LEVEL: f64 = 0.05;
/// Level below which it is logged that requests are rejected.
const LIMITED_LEVEL: f64 = 0.8;
/// Least share of a priority's requests that is admitted, as a share of the level, so that no
/// priority is starved by more urgent ones.
const MIN_PRIORITY_SHARE: f64 = 0.3;
/// Weight of the requests of earlier intervals in the numbers by priority.
const EARLIER_WEIGHT: f64 = 0.6;

/// The share of requests that is admitted, by priority.
#[derive(Debug)]
pub struct AdmissionLevel {
    level: f64,
    adjusted_at: Millis,
    /// Responses since the last adjustment, and those of them that were delayed by a queue.
    responses: f64,
    delayed: f64,
    priorities: HashMap<u8, PriorityState>,
    /// What [`Self::take_change`] returned last.
    told: bool,
}

/// Requests of one priority.
#[derive(Debug, Clone, Copy)]
struct PriorityState {
    /// Recent requests.
    requests: f64,
    /// Share that is admitted.
    share: f64,
    /// Part of the next request that may be admitted.
    credit: f64,
}

impl Default for AdmissionLevel {
    fn default() -> Self {
        Self {
            level: 1.0,
            adjusted_at: 0,
            responses: 0.0,
            delayed: 0.0,
            priorities: HashMap::default(),
            told: false,
        }
    }
}

impl AdmissionLevel {
    /// Records a response that took `took_ms`, where `objective_ms` were left for it, and the queue
    /// that it reports.
    pub fn on_response(&mut self, now: Millis, load: LoadReport, took_ms: f64, objective_ms: f64) {
        self.responses += 1.0;
        let is_queue_long = load.waiting * 2 >= load.concurrency.max(1);
        self.delayed += if is_queue_long && took_ms > objective_ms { 1.0 } else { 0.0 };
        #[expect(clippy::cast_precision_loss, reason = "short spans")]
        let elapsed_ms = now.saturating_sub(self.adjusted_at) as f64;
        if self.responses >= MIN_RESPONSES && elapsed_ms >= MIN_INTERVAL_MS.max(took_ms) {
            self.adjust(now);
        }
    }

    fn adjust(&mut self, now: Millis) {
        let delayed = self.delayed / self.responses;
        if delayed > MAX_DELAYED_SHARE {
            self.level *= (1.0 - DECREASE_WEIGHT * delayed).max(MIN_FACTOR);
        } else if delayed < MIN_DELAYED_SHARE {
            self.level += INCREASE;
        }
        self.level = self.level.clamp(MIN_LEVEL, 1.0);
        self.adjusted_at = now;
        (self.responses, self.delayed) = (0.0, 0.0);
        self.share_out();
    }

    /// Raises the level for each [`RECOVERY_INTERVAL_MS`] without a delayed response. While few requests
    /// are admitted, responses alone would raise it slowly.
    fn recover(&mut self, now: Millis) {
        if self.level < 1.0 && self.delayed < 1.0 && now >= self.adjusted_at + RECOVERY_INTERVAL_MS
        {
            self.level = (self.level + RECOVERY_INCREASE).min(1.0);
            self.adjusted_at = now;
            self.share_out();
        }
    }

    /// Divides the level among the priorities, the most urgent first.
    fn share_out(&mut self) {
        let mut order: Vec<u8> = self.priorities.keys().copied().collect();
        order.sort_unstable();
        let total: f64 = self.priorities.values().map(|p| p.requests).sum();
        let mut left = self.level * total;
        let least = MIN_PRIORITY_SHARE * self.level;
        // What the less urgent ones get in any case.
        let mut reserved = least * total;
        for priority in order {
            let Some(p) = self.priorities.get_mut(&priority) else {
                continue;
            };
            reserved -= least * p.requests;
            let available = (left - reserved).max(0.0);
            p.share = if p.requests > 0.0 { (available / p.requests).min(1.0) } else { 1.0 };
            left -= p.share * p.requests;
            p.requests *= EARLIER_WEIGHT;
        }
    }

    /// Returns whether a new request of this priority is admitted.
    pub fn admits(&mut self, now: Millis, priority: u8) -> bool {
        self.recover(now);
        let level = self.level;
        let new = || PriorityState { requests: 0.0, share: level, credit: rand::random() };
        let p = self.priorities.entry(priority).or_insert_with(new);
        p.requests += 1.0;
        if level >= 1.0 {
            return true;
        }
        p.credit += p.share;
        if p.credit < 1.0 {
            return false;
        }
        p.credit -= 1.0;
        true
    }

    /// Returns the share of all requests that is admitted.
    #[must_use]
    pub fn level(&self) -> f64 {
        self.level
    }

    /// Returns whether requests are rejected, if that has changed since the last call. Small changes
    /// near the full level do not count.
    pub fn take_change(&mut self) -> Option<bool> {
        let limited = if self.told { self.level < 1.0 } else { self.level < LIMITED_LEVEL };
        (std::mem::replace(&mut self.told, limited) != limited).then_some(limited)
    }
}
