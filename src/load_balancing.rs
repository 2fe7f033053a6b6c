//! Chooses among the upstreams of a service that has no keys (mulberryd).
//!
//! Each instance sees only its own requests. The loads that upstreams report are late and may
//! be wrong, so they weigh less than one request that the instance itself has in flight, and are
//! ignored when old.
//!
//! In mulberryspur-platform, `dispatch` chooses.

use crate::clock::Millis;
use rand::Rng;

/// Time in milliseconds for which a reported load is used.
const REPORT_VALID_MS: Millis = 1_000;
/// Time in milliseconds over which a new upstream's share of requests rises to its full share.
const SLOW_START_MS: Millis = 5_000;
/// Fraction of its full share of requests that a new upstream starts with.
const SLOW_START_FRACTION: f64 = 0.2;
/// Failures since the last response to a short request after which an upstream is ejected.
const MIN_FAILURES_TO_EJECT: u32 = 3;
/// Time in milliseconds of the first ejection; doubles with each further failure.
const FIRST_EJECTION_MS: Millis = 1_000;
/// Longest ejection in milliseconds.
const MAX_EJECTION_MS: Millis = 30_000;
/// Share of upstreams that may be ejected at once; with more, ejections are ignored.
const MAX_EJECTED_SHARE: f64 = 0.5;
/// Weight of one response in the smoothed latency.
const LATENCY_WEIGHT: f64 = 0.2;
/// Ratio to the median latency from which an upstream counts as slow, and the largest that is used.
const MIN_SLOW_RATIO: f64 = 2.0;
const MAX_SLOW_RATIO: f64 = 4.0;
/// Requests added to the in-flight count of an upstream that reports that it is full.
const FULL_REPORT_WEIGHT: f64 = 0.5;

/// What one instance knows of one upstream's load.
#[derive(Debug, Clone)]
pub struct UpstreamLoad {
    /// Requests of this instance in flight.
    pub in_flight: u32,
    /// Requests in flight that it reported, and when.
    reported: Option<(u32, Millis)>,
    /// Smoothed latency of short requests in milliseconds.
    latency: Option<f64>,
    first_seen: Millis,
    /// Failures since the last response to a short request.
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
            first_seen: now,
            failures: 0,
            ejected_until: 0,
        }
    }

    /// Records that an attempt has started.
    pub fn on_start(&mut self) {
        self.in_flight += 1;
    }

    /// Records that an attempt has ended.
    pub fn on_end(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
    }

    /// Records a response to a short request, its latency, and the load reported with it.
    pub fn on_response(&mut self, now: Millis, took_ms: f64, reported: Option<u32>) {
        let old = self.latency.unwrap_or(took_ms);
        self.latency = Some(old + LATENCY_WEIGHT * (took_ms - old));
        self.reported = reported.map(|r| (r, now)).or(self.reported);
        self.failures = 0;
    }

    /// Records an attempt that failed through a fault of the upstream.
    pub fn on_failure(&mut self, now: Millis) {
        self.failures += 1;
        if self.failures >= MIN_FAILURES_TO_EJECT {
            let doublings = (self.failures - MIN_FAILURES_TO_EJECT).min(5);
            self.ejected_until = now + (FIRST_EJECTION_MS << doublings).min(MAX_EJECTION_MS);
        }
    }

    /// Returns whether the upstream is ejected as an outlier.
    #[must_use]
    pub fn is_ejected(&self, now: Millis) -> bool {
        now < self.ejected_until
    }

    /// Returns the expected cost of sending one more request; lower is better.
    ///
    /// The instance's own requests in flight decide. A recent report adds less than one request,
    /// however large it is, so that a wrong one cannot attract or repel all requests.
    fn score(&self, now: Millis, concurrency: u32, median_latency: f64) -> f64 {
        let is_recent = |at: &Millis| now < at + REPORT_VALID_MS;
        let reported = self.reported.filter(|(_, at)| is_recent(at)).map_or(0, |(r, _)| r);
        let full = reported >= concurrency.max(1);
        let slowness = self.latency.map_or(1.0, |l| l / median_latency.max(0.1));
        let slowness = if slowness < MIN_SLOW_RATIO { 1.0 } else { slowness.min(MAX_SLOW_RATIO) };
        let queue = f64::from(self.in_flight) + if full { FULL_REPORT_WEIGHT } else { 0.0 };
        (queue + 1.0) * slowness / self.slow_start_fraction(now)
    }

    /// Returns the fraction of its full share of requests that an upstream should get, 1 once it is
    /// no longer new.
    fn slow_start_fraction(&self, now: Millis) -> f64 {
        #[expect(clippy::cast_precision_loss, reason = "at most `SLOW_START_MS`")]
        let progress =
            now.saturating_sub(self.first_seen).min(SLOW_START_MS) as f64 / SLOW_START_MS as f64;
        SLOW_START_FRACTION + (1.0 - SLOW_START_FRACTION) * progress
    }
}

/// Returns the index of the upstream with the lowest expected cost, a random one among equals;
/// `None` if `loads` is empty.
///
/// Ejected upstreams are skipped, unless more than half are ejected.
pub fn choose_upstream(
    loads: &[&UpstreamLoad],
    now: Millis,
    concurrency: u32,
    rng: &mut impl Rng,
) -> Option<usize> {
    let healthy: Vec<usize> = (0..loads.len()).filter(|n| !loads[*n].is_ejected(now)).collect();
    #[expect(clippy::cast_precision_loss, reason = "small numbers")]
    let too_many = (loads.len() - healthy.len()) as f64 > MAX_EJECTED_SHARE * loads.len() as f64;
    let candidates = if too_many { (0..loads.len()).collect() } else { healthy };
    let median_latency = median(candidates.iter().filter_map(|n| loads[*n].latency).collect());
    let mut best: Option<(usize, f64)> = None;
    let mut ties = 0;
    for n in candidates {
        let score = loads[n].score(now, concurrency, median_latency);
        match best {
            Some((_, lowest)) if score > lowest => continue,
            Some((_, lowest)) if score >= lowest => ties += 1,
            _ => ties = 1,
        }
        if ties == 1 || rng.random_range(0..ties) == 0 {
            best = Some((n, score));
        }
    }
    best.map(|(n, _)| n)
}

fn median(mut values: Vec<f64>) -> f64 {
    values.sort_by(f64::total_cmp);
    values.get(values.len() / 2).copied().unwrap_or(1.0)
}
