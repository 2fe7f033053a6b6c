//! Choice among the upstreams of a service that has no keys.
//!
//! Each entry instance sees only its own requests. Reports of load lag and may be wrong, so they
//! weigh less than one request that the instance itself has in flight, and are ignored when old.

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
/// Ratio to the typical latency from which an upstream counts as slow, and the most that counts.
const SLOW_FROM: f64 = 2.0;
const SLOW_TO: f64 = 4.0;
/// Requests that a report of a full upstream counts for.
const REPORT_WEIGHT: f64 = 0.5;

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
    ///
    /// What the instance itself has in flight decides. A fresh report adds less than one request,
    /// however large it is, so that a wrong one cannot draw or repel all work.
    fn score(&self, now: Millis, concurrency: u32, typical: f64) -> f64 {
        let fresh = |at: &Millis| now < at + REPORT_VALID_MS;
        let reported = self.reported.filter(|(_, at)| fresh(at)).map_or(0, |(r, _)| r);
        let full = reported >= concurrency.max(1);
        let slow = self.latency.map_or(1.0, |l| l / typical.max(0.1));
        let slow = if slow < SLOW_FROM { 1.0 } else { slow.min(SLOW_TO) };
        let queue = f64::from(self.in_flight) + if full { REPORT_WEIGHT } else { 0.0 };
        (queue + 1.0) * slow / self.ramp(now)
    }

    /// Returns the share of work for which a new upstream is ready.
    fn ramp(&self, now: Millis) -> f64 {
        #[expect(clippy::cast_precision_loss, reason = "the span is short")]
        let share = now.saturating_sub(self.since).min(RAMP_MS) as f64 / RAMP_MS as f64;
        RAMP_START + (1.0 - RAMP_START) * share
    }
}

/// Chooses the one of `loads` with the lowest expected cost, at random among equals; `None` if
/// there is none.
///
/// Ejected ones are passed over, unless more than half are ejected.
pub fn choose_upstream(
    loads: &[&UpstreamLoad],
    now: Millis,
    concurrency: u32,
    rng: &mut impl Rng,
) -> Option<usize> {
    let healthy: Vec<usize> = (0..loads.len()).filter(|n| !loads[*n].is_ejected(now)).collect();
    #[expect(clippy::cast_precision_loss, reason = "small numbers")]
    let too_many = (loads.len() - healthy.len()) as f64 > MAX_EJECTED_SHARE * loads.len() as f64;
    let pool = if too_many { (0..loads.len()).collect() } else { healthy };
    let typical = median(pool.iter().filter_map(|n| loads[*n].latency).collect());
    let mut best: Option<(usize, f64)> = None;
    let mut equals = 0;
    for n in pool {
        let score = loads[n].score(now, concurrency, typical);
        match best {
            Some((_, least)) if score > least => continue,
            Some((_, least)) if score >= least => equals += 1,
            _ => equals = 1,
        }
        if equals == 1 || rng.random_range(0..equals) == 0 {
            best = Some((n, score));
        }
    }
    best.map(|(n, _)| n)
}

fn median(mut values: Vec<f64>) -> f64 {
    values.sort_by(f64::total_cmp);
    values.get(values.len() / 2).copied().unwrap_or(1.0)
}
