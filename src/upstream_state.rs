//! What an instance of `mulberryspur-platform` knows of one upstream of a service: whether it can
//! take a request, and how long that is expected to take.
//!
//! No instance sees what the others send, so each bounds its requests in flight by a window that
//! follows the load that the upstream reports.
//!
//! Points in time are readings of the boot clock in milliseconds.

use crate::{
    clock::Millis,
    other_paths::OtherPaths,
    rate_limit::{InstancePosition, LimitNotice, RateLimit},
    warmup::ColdPace,
};
use std::sync::Arc;

/// Initial window of an upstream, as a share of its concurrency.
const INITIAL_WINDOW_SHARE: f64 = 0.5;
/// Largest window, as a multiple of the upstream's concurrency.
const MAX_WINDOW_FACTOR: f64 = 2.0;
/// Smallest window in requests.
const MIN_WINDOW: f64 = 1.0;
/// Factor on the window when the upstream's queue is longer than half of its concurrency.
const QUEUE_BACKOFF: f64 = 0.85;
/// Factor on the window when the upstream refuses a request because it is full.
const REFUSAL_BACKOFF: f64 = 0.6;
/// Weight of one response in the moving average of the response time.
const RESPONSE_TIME_WEIGHT: f64 = 0.1;
/// Weight of one attempt in the moving average of the failure rate.
const FAILURE_RATE_WEIGHT: f64 = 0.12;
/// Time constant in milliseconds with which a reported load decays as it ages.
const REPORT_DECAY_MS: f64 = 600.0;
/// Time in milliseconds for which a reported load counts as recent: until it has decayed to a
/// fifth.
const RECENT_REPORT_MS: Millis = 1_000;
/// Assumed response time in milliseconds of an upstream without any response yet.
const DEFAULT_RESPONSE_TIME_MS: f64 = 120.0;
/// Time in milliseconds added to the expected response time of upstreams in other data centres.
const REMOTE_PENALTY_MS: f64 = 12.0;
/// The same for large responses, as traffic between data centres is expensive.
const REMOTE_LARGE_PENALTY_MS: f64 = 300.0;
/// Time in milliseconds for which an unreachable upstream is ejected: it is not chosen, except for
/// requests to any upstream while all are ejected. Doubles with each ejection since its last
/// response.
pub(crate) const BASE_EJECTION_MS: Millis = 300;
/// Longest time in milliseconds of one ejection.
const MAX_EJECTION_MS: Millis = 2_400;
/// Number of failures in a row from which an upstream without keys is avoided, like an ejected one.
const MAX_FAILURES_IN_A_ROW: u32 = 3;
/// Time in milliseconds for which it is avoided after each such failure.
const FAILURE_AVOIDANCE_MS: Millis = 500;

/// Shortest and longest time in milliseconds for which no request is sent to an owner of keys that was
/// full.
const FULL_PAUSE_RANGE_MS: (f64, f64) = (20.0, 800.0);
/// Number of refusals in a row from which this time does not double any more.
const MAX_PAUSE_DOUBLINGS: u32 = 3;

/// An upstream as currently known.
#[derive(Debug, Clone)]
pub struct UpstreamSpec {
    /// Identity of the upstream.
    pub id: Arc<str>,
    /// When its incarnation started, in Unix milliseconds by its own clock.
    pub started: u64,
    /// Requests that it runs at once.
    pub concurrency: u32,
    /// Whether it runs in this instance's data centre.
    pub same_data_center: bool,
    /// Whether it accepts no new requests.
    pub leaving: bool,
    /// Connections that this instance may open to it.
    pub max_connections: u32,
}

/// Load that an upstream reports with a response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LoadReport {
    /// Requests that it is running.
    pub running: u32,
    /// Requests in its queue.
    pub waiting: u32,
    /// Requests that it runs at once.
    pub concurrency: u32,
}

impl LoadReport {
    /// Returns whether another request would have to wait.
    #[must_use]
    pub fn is_full(self) -> bool {
        self.waiting > 0 || self.running >= self.concurrency
    }
}

/// How an attempt at an upstream ended, as far as it matters for load balancing.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Completion {
    /// The upstream responded, after this many milliseconds.
    Responded(f64),
    /// The upstream refused the request without running it.
    Refused,
    /// The upstream refused the request because it holds no grant for the key.
    NotOwner,
    /// The connection broke before the response was complete, or the upstream failed.
    Failed,
    /// No connection could be made.
    Unreachable,
    /// The upstream said nothing for much longer than it usually takes: it does not answer while its
    /// queue is full.
    Silent,
    /// Shows nothing about the upstream: the caller left, also before it had the decision, time ran
    /// out, an idle connection of the pool had been closed, or the upstream was removed before the
    /// request was sent.
    Inconclusive,
}

#[derive(Debug, Clone)]
pub(crate) struct Upstream {
    pub spec: UpstreamSpec,
    pub in_flight: u32,
    /// Limit on the requests in flight.
    pub window: f64,
    /// Moving average in milliseconds.
    pub response_time: f64,
    /// Moving average of the share of failed attempts.
    pub failure_rate: f64,
    /// Moving average of the share of rejected requests among those for its keys.
    pub rejection_rate: f64,
    pub ejections: u32,
    pub ejected_until: Millis,
    pub failures_in_a_row: u32,
    /// Until when requests that may go to any upstream avoid this one.
    pub avoided_until: Millis,
    /// Reported load, this instance's requests in flight at that time, and when.
    pub last_report: Option<(f64, f64, Millis)>,
    /// When the window was last reduced.
    pub window_cut_at: Millis,
    /// The limit that it has named, if any.
    pub rate_limit: Option<RateLimit>,
    /// This instance's part of the requests for it while it is cold.
    pub cold: Option<ColdPace>,
    /// Until when it wants no requests from this instance.
    pub rests_until: Millis,
    /// Until when requests for its keys wait, as it was full.
    pub full_until: Millis,
    /// Refusals as full since its last response.
    pub refusals_in_a_row: u32,
    /// When anything of it was last received.
    pub heard_at: Option<Millis>,
    /// Whether other instances reach it.
    pub other_paths: OtherPaths,
}

impl Upstream {
    pub fn new(spec: UpstreamSpec) -> Self {
        let window = f64::from(spec.concurrency) * INITIAL_WINDOW_SHARE;
        let window = window.min(f64::from(spec.max_connections)).max(MIN_WINDOW);
        Self {
            spec,
            in_flight: 0,
            window,
            response_time: DEFAULT_RESPONSE_TIME_MS,
            failure_rate: 0.0,
            rejection_rate: 0.0,
            ejections: 0,
            ejected_until: 0,
            failures_in_a_row: 0,
            avoided_until: 0,
            last_report: None,
            window_cut_at: 0,
            rate_limit: None,
            cold: None,
            rests_until: 0,
            full_until: 0,
            refusals_in_a_row: 0,
            heard_at: None,
            other_paths: OtherPaths::default(),
        }
    }

    /// Returns whether one more request may be sent now.
    pub fn can_take(&self, now: Millis) -> bool {
        self.has_capacity() && !self.is_rate_limited(now) && now >= self.rests_until
    }

    /// Returns whether its limit, or that of cold upstreams, forbids another request now.
    pub fn is_rate_limited(&self, now: Millis) -> bool {
        self.rate_limit.is_some_and(|l| !l.admits(now)) || self.cold.is_some_and(|c| !c.admits(now))
    }

    /// Returns the pace of requests if it is cold.
    pub fn cold_pace(&self, now: Millis) -> Option<&ColdPace> {
        self.cold.as_ref().filter(|c| c.is_cold(now))
    }

    /// Counts a request as in flight.
    pub fn begin_request(&mut self, now: Millis) {
        self.in_flight += 1;
        if let Some(limit) = &mut self.rate_limit {
            limit.take(now);
        }
        if let Some(cold) = &mut self.cold {
            cold.take(now);
        }
    }

    /// Takes over what a response says about the limit; returns whether that changes it.
    pub fn on_limit_notice(
        &mut self,
        now: Millis,
        notice: LimitNotice,
        position: &InstancePosition,
    ) -> bool {
        let known = self.rate_limit.map(|l| l.per_second());
        let limit = match (notice, self.rate_limit) {
            (LimitNotice::Unknown, known) => known,
            (LimitNotice::Unlimited, _) => None,
            (LimitNotice::PerSecond(rate), None) => Some(RateLimit::new(now, rate, position)),
            (LimitNotice::PerSecond(rate), Some(mut limit)) => {
                limit.update(now, rate, position);
                Some(limit)
            }
        };
        self.rate_limit = limit;
        known != limit.map(|l| l.per_second())
    }

    /// Returns the time in milliseconds after which the last of `count` requests, which only this
    /// upstream may serve, is likely to be sent.
    pub fn expected_wait(&self, now: Millis, count: f64) -> f64 {
        let by_window = count * self.response_time / self.window.max(MIN_WINDOW);
        let by_limit = self.rate_limit.map_or(0.0, |l| l.wait_ms(now, count));
        let by_pace = self.cold_pace(now).map_or(0.0, |c| c.wait_ms(now, count));
        by_window.max(by_limit).max(by_pace)
    }

    /// Returns the requests per millisecond that this instance can expect to have served.
    pub fn throughput(&self, now: Millis) -> f64 {
        let by_window = self.window.max(MIN_WINDOW) / self.response_time.max(1.0);
        let by_limit = self.rate_limit.map_or(by_window, |l| l.rate().min(by_window));
        self.cold_pace(now).map_or(by_limit, |c| c.rate(now).min(by_limit))
    }

    pub fn has_capacity(&self) -> bool {
        // Rounds the window to the nearest whole number of requests.
        f64::from(self.in_flight) + 1.0 <= self.window.max(MIN_WINDOW) + 0.5
    }

    /// Returns how many more requests may be in flight.
    pub fn free_places(&self) -> u32 {
        #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "positive")]
        let places = (self.window.max(MIN_WINDOW) + 0.5) as u32;
        places.saturating_sub(self.in_flight)
    }

    pub fn is_ejected(&self, now: Millis) -> bool {
        now < self.ejected_until
    }

    /// Returns whether its load is known from a recent response or from requests in flight.
    pub fn is_recently_seen(&self, now: Millis) -> bool {
        let is_recent = |at: Millis| now < at + RECENT_REPORT_MS;
        self.in_flight > 0 || self.last_report.is_some_and(|(.., at)| is_recent(at))
    }

    /// Returns the expected load, with the requests of other instances.
    ///
    /// The other instances' part of the last report decays with its age; this instance's requests
    /// in flight count in full.
    fn expected_load(&self, now: Millis) -> f64 {
        let others = self.last_report.map_or(0.0, |(total, own, at)| {
            #[expect(clippy::cast_precision_loss, reason = "short spans")]
            let age = now.saturating_sub(at) as f64;
            (total - own).max(0.0) * (-age / REPORT_DECAY_MS).exp()
        });
        others + f64::from(self.in_flight)
    }

    /// Returns the expected time in milliseconds until one more request has ended, with penalties
    /// for failures and for other data centres.
    pub fn expected_response_time(&self, now: Millis, large_response: bool) -> f64 {
        let concurrency = f64::from(self.spec.concurrency.max(1));
        let load = self.expected_load(now);
        let queue = (load + 1.0 - concurrency).max(0.0) / concurrency;
        let distance_penalty = match (self.spec.same_data_center, large_response) {
            (true, _) => 0.0,
            (false, false) => REMOTE_PENALTY_MS,
            (false, true) => REMOTE_LARGE_PENALTY_MS,
        };
        // A load equal to the concurrency adds 15 %. Failures weigh as the square of the success
        // rate, which counts as 5 % at least.
        let success_rate = (1.0 - self.failure_rate).max(0.05);
        self.response_time * (1.0 + queue + 0.15 * load / concurrency)
            / (success_rate * success_rate)
            + distance_penalty
    }

    /// Records that it does not accept connections.
    pub fn eject(&mut self, now: Millis) {
        let duration = (BASE_EJECTION_MS << self.ejections.min(3)).min(MAX_EJECTION_MS);
        self.ejections += 1;
        self.ejected_until = now + duration;
    }

    pub fn record_completion(
        &mut self,
        now: Millis,
        completion: Completion,
        load: Option<LoadReport>,
    ) {
        if let Some(l) = load {
            let total = f64::from(l.running + l.waiting);
            self.last_report = Some((total, f64::from(self.in_flight), now));
        }
        let failed = match completion {
            Completion::Responded(took_ms) => {
                self.response_time += RESPONSE_TIME_WEIGHT * (took_ms - self.response_time);
                self.ejections = 0;
                self.failures_in_a_row = 0;
                (self.full_until, self.refusals_in_a_row) = (0, 0);
                0.0
            }
            Completion::Refused => {
                if load.is_none_or(LoadReport::is_full) {
                    self.pause(now);
                }
                1.0
            }
            Completion::Failed => {
                self.failures_in_a_row += 1;
                if self.failures_in_a_row >= MAX_FAILURES_IN_A_ROW {
                    self.avoided_until = now + FAILURE_AVOIDANCE_MS;
                }
                1.0
            }
            Completion::Silent => {
                self.pause(now);
                1.0
            }
            Completion::Unreachable => {
                self.eject(now);
                1.0
            }
            Completion::NotOwner => {
                self.heard_at = Some(now);
                return;
            }
            Completion::Inconclusive => return,
        };
        if matches!(completion, Completion::Responded(_) | Completion::Refused | Completion::Failed)
        {
            self.heard_at = Some(now);
        }
        self.failure_rate += FAILURE_RATE_WEIGHT * (failed - self.failure_rate);
        self.adjust_window(now, completion, load);
    }

    /// Makes requests for its keys wait until one that it runs is likely to have ended. All instances
    /// wait for the same places, so that the time doubles while it refuses.
    fn pause(&mut self, now: Millis) {
        let (min, max) = FULL_PAUSE_RANGE_MS;
        let one_ends = self.response_time / f64::from(self.spec.concurrency.max(1));
        let factor = f64::from(1_u32 << self.refusals_in_a_row.min(MAX_PAUSE_DOUBLINGS));
        #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "positive")]
        let pause_ms = (one_ends * factor).clamp(min, max) as Millis;
        // Refusals of requests that were sent together count once.
        self.refusals_in_a_row += u32::from(now >= self.full_until);
        self.full_until = self.full_until.max(now + pause_ms);
    }

    /// Adjusts the window to the load: additive increase while the upstream's queue is short,
    /// multiplicative decrease, at most once per response time, when it is long or the upstream
    /// refuses, or does not answer, because it is full.
    fn adjust_window(&mut self, now: Millis, completion: Completion, load: Option<LoadReport>) {
        let concurrency = f64::from(self.spec.concurrency.max(1));
        // A refusal without a report counts as one of a full upstream.
        let full = load.is_none_or(LoadReport::is_full);
        #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "positive")]
        let may_cut = now >= self.window_cut_at + self.response_time as Millis;
        match (completion, load) {
            (Completion::Refused | Completion::Silent, _) if full && may_cut => {
                self.window = (self.window * REFUSAL_BACKOFF).max(MIN_WINDOW);
                self.window_cut_at = now;
            }
            (Completion::Responded(_), Some(l))
                if f64::from(l.waiting) > concurrency * 0.5 && may_cut =>
            {
                self.window = (self.window * QUEUE_BACKOFF).max(MIN_WINDOW);
                self.window_cut_at = now;
            }
            (Completion::Responded(_), Some(l)) if f64::from(l.waiting) <= concurrency * 0.25 => {
                self.grow_window(concurrency);
            }
            (Completion::Responded(_), None) => self.grow_window(concurrency),
            _ => {}
        }
    }

    /// Adds about one request per window of responses, if the window is at least half used.
    fn grow_window(&mut self, concurrency: f64) {
        if f64::from(self.in_flight) + 1.0 >= self.window * 0.5 {
            self.window = (self.window + 1.0 / self.window).min(concurrency * MAX_WINDOW_FACTOR);
            self.window = self.window.min(f64::from(self.spec.max_connections)).max(MIN_WINDOW);
        }
    }
}
