//! Choice among the upstreams of a service that has no keys.
//!
//! Each entry instance sees only its own requests. Reports of load lag and may be wrong, so they
//! weigh less than what the instance itself has in flight, and are ignored when old.

use crate::clock::Millis;
use rand::Rng;

const REPORT_VALID_MS: Millis = 1_000;
const RAMP_MS: Millis = 5_000;
const RAMP_START: f64 = 0.2;
const FAILURES_TO_EJECT: u32 = 3;
const EJECT_BASE_MS: Millis = 1_000;
const EJECT_MAX_MS: Millis = 30_000;
/// Share of upstreams that may be ejected at once.
const MAX_EJECTED_SHARE: f64 = 0.5;
const LATENCY_WEIGHT: f64 = 0.2;
/// Bounds on how much a latency that differs from the others changes a score.
const LATENCY_FACTOR: (f64, f64) = (0.5, 4.0);

/// What one entry instance knows of one upstream's load.
#[derive(Debug, Clone)]
pub struct UpstreamLoad {
    /// Requests of this instance in flight.
    pub in_flight: u32,
    /// Load it reported, and when.
    reported: Option<(u32, Millis)>,
    /// Smoothed time of short requests in milliseconds.
    latency: Option<f64>,
    since: Millis,
    failures: u32,
    ejected_until: Millis,
}

impl UpstreamLoad {
    /// Creates the state of an upstream first seen at `now`.
    #[must_use]
    pub fn new(now: Millis) -> Self {
        Self {
            in_flight: 0,
            reported: None,
            latency: None,
            since: now,
            failures: 0,
            ejected_until: 0,
        }
    }

    /// Notes that an attempt starts.
    pub fn on_start(&mut self) {
        self.in_flight += 1;
    }

    /// Notes that an attempt ended.
    pub fn on_end(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
    }

    /// Notes an answer to a short request, its time, and the load reported with it.
    pub fn on_answer(&mut self, now: Millis, took_ms: f64, reported: Option<u32>) {
        let old = self.latency.unwrap_or(took_ms);
        self.latency = Some(old + LATENCY_WEIGHT * (took_ms - old));
        self.reported = reported.map(|r| (r, now)).or(self.reported);
        self.failures = 0;
    }

    /// Notes an attempt that failed for a fault of the upstream.
    pub fn on_failure(&mut self, now: Millis) {
        self.failures += 1;
        if self.failures >= FAILURES_TO_EJECT {
            let doublings = (self.failures - FAILURES_TO_EJECT).min(5);
            self.ejected_until = now + (EJECT_BASE_MS << doublings).min(EJECT_MAX_MS);
        }
    }

    /// Returns whether it is ejected as an outlier.
    #[must_use]
    pub fn is_ejected(&self, now: Millis) -> bool {
        now < self.ejected_until
    }

    /// Returns the expected cost of sending one more request; lower is better.
    fn score(&self, now: Millis, concurrency: u32, typical: f64) -> f64 {
        let own = f64::from(self.in_flight);
        let fresh = |at: &Millis| now < at + REPORT_VALID_MS;
        let reported = self.reported.filter(|(_, at)| fresh(at)).map_or(own, |(r, _)| r.into());
        // A report may be wrong by any amount: it counts up to twice the concurrency.
        let reported = reported.min(f64::from(2 * concurrency)).max(own);
        let queue = f64::midpoint(own, reported) / f64::from(concurrency.max(1));
        let (low, high) = LATENCY_FACTOR;
        let latency = self.latency.map_or(1.0, |l| (l / typical.max(0.1)).clamp(low, high));
        (queue + 1.0 / f64::from(concurrency.max(1))) * latency / self.ramp(now)
    }

    /// Returns the share of work for which a new upstream is ready.
    fn ramp(&self, now: Millis) -> f64 {
        #[expect(clippy::cast_precision_loss, reason = "the span is short")]
        let share = now.saturating_sub(self.since).min(RAMP_MS) as f64 / RAMP_MS as f64;
        RAMP_START + (1.0 - RAMP_START) * share
    }
}

/// Chooses one of `loads` by the better of two at random; `None` if there is none.
///
/// Ejected ones are passed over, unless more than half are ejected.
pub fn choose(
    loads: &[&UpstreamLoad],
    now: Millis,
    concurrency: u32,
    rng: &mut impl Rng,
) -> Option<usize> {
    let healthy: Vec<usize> = (0..loads.len()).filter(|n| !loads[*n].is_ejected(now)).collect();
    #[expect(clippy::cast_precision_loss, reason = "small numbers")]
    let too_many = (loads.len() - healthy.len()) as f64 > MAX_EJECTED_SHARE * loads.len() as f64;
    let pool = if too_many { (0..loads.len()).collect() } else { healthy };
    if pool.len() <= 1 {
        return pool.first().copied();
    }
    let typical = median(pool.iter().filter_map(|n| loads[*n].latency).collect());
    let first = rng.random_range(0..pool.len());
    let other = (first + rng.random_range(1..pool.len())) % pool.len();
    let score = |n: usize| loads[pool[n]].score(now, concurrency, typical);
    Some(if score(first) <= score(other) { pool[first] } else { pool[other] })
}

fn median(mut values: Vec<f64>) -> f64 {
    values.sort_by(f64::total_cmp);
    values.get(values.len() / 2).copied().unwrap_or(1.0)
}
