//! Request rates of keys and response times of upstreams in `mulberryspur-platform`.
//!
//! Each instance counts the requests that it receives, also those that it rejects, and reports them
//! to the service's coordinator, which averages the reports and balances keys by them.

use crate::{
    clock::Millis,
    collections::HashMap,
    keymap::{KEY_COUNT, Key, KeyRange},
    rate_limit::LimitNotice,
};
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// Time constant in milliseconds of the average of rates: hot keys change within seconds.
const RATE_WINDOW_MS: f64 = 2_000.0;
/// The same for the average by which overloaded owners are found, which must show a hot key within
/// a second.
const RECENT_WINDOW_MS: f64 = 700.0;
/// Number of responses with the service's mean time that count beside an upstream's own. Some take
/// many times as long as others, and of some hundred upstreams, there is always one whose first
/// requests are short.
const PRIOR_RESPONSES: f64 = 12.0;
/// Number of an upstream's own responses that count; older ones weigh less.
const MAX_RESPONSES: f64 = 40.0;
/// Time in milliseconds for which a reported limit of an upstream counts: a limited upstream still
/// responds every few seconds, to one of many instances.
const LIMIT_VALIDITY_MS: Millis = 5_000;
/// Maximum number of keys in a report; neighbouring keys are counted together to stay within it.
const MAX_REPORTED_KEYS: usize = 2_048;

/// Traffic of one service at one instance since its last report.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct TrafficReport {
    /// Service.
    pub service: Arc<str>,
    /// Requests by key.
    pub requests: Vec<(Key, u32)>,
    /// Responses of upstreams whose queue was empty: identity of the upstream, number of responses,
    /// sum of their times in milliseconds.
    pub times: Vec<(Arc<str>, u32, f64)>,
    /// Responses of upstreams whose queue was not empty, or that were overloaded: identity of the
    /// upstream, number of responses, sum of the queues. Other versions may not send it.
    #[serde(default)]
    pub queues: Vec<(Arc<str>, u32, u64)>,
    /// Requests per second that upstreams have named as their limit, in their last response. Other
    /// versions may not send it.
    #[serde(default)]
    pub limits: Vec<(Arc<str>, f64)>,
    /// Upstreams that have said in a response that they leave, and when these incarnations started.
    /// Other versions may not send it.
    #[serde(default)]
    pub leaving: Vec<(Arc<str>, u64)>,
}

/// Traffic counts of one service since the last report.
#[derive(Debug, Default)]
pub struct TrafficCounter {
    requests: HashMap<Key, u32>,
    times: HashMap<Arc<str>, (u32, f64)>,
    queues: HashMap<Arc<str>, (u32, u64)>,
    limits: HashMap<Arc<str>, f64>,
    leaving: HashMap<Arc<str>, u64>,
}

impl TrafficCounter {
    /// Counts a request for `key`.
    pub fn on_request(&mut self, key: Key) {
        *self.requests.entry(key).or_default() += 1;
    }

    /// Counts a response of an upstream whose queue was empty.
    pub fn on_response(&mut self, upstream: &Arc<str>, took_ms: f64) {
        let entry = self.times.entry(upstream.clone()).or_default();
        entry.0 += 1;
        entry.1 += took_ms;
    }

    /// Counts a response of an upstream that reported this many waiting requests.
    pub fn on_queue(&mut self, upstream: &Arc<str>, waiting: u32) {
        let entry = self.queues.entry(upstream.clone()).or_default();
        entry.0 += 1;
        entry.1 += u64::from(waiting);
    }

    /// Notes what a response says about the limit of its upstream.
    pub fn on_limit_notice(&mut self, upstream: &Arc<str>, notice: LimitNotice) {
        match notice {
            LimitNotice::Unknown => {}
            LimitNotice::Unlimited => {
                self.limits.remove(upstream);
            }
            LimitNotice::PerSecond(rate) => {
                self.limits.insert(upstream.clone(), rate);
            }
        }
    }

    /// Notes that an incarnation of an upstream has said that it leaves.
    pub fn on_leaving(&mut self, upstream: &Arc<str>, started: u64) {
        self.leaving.insert(upstream.clone(), started);
    }

    /// Returns the counts and resets them; `None`, and no reset, if no request was counted.
    pub fn take(&mut self, service: &Arc<str>) -> Option<TrafficReport> {
        if self.requests.is_empty() {
            return None;
        }
        let mut requests: Vec<(Key, u32)> = self.requests.drain().collect();
        requests.sort_unstable();
        while requests.len() > MAX_REPORTED_KEYS {
            requests = requests.chunks(2).map(|c| (c[0].0, c.iter().map(|r| r.1).sum())).collect();
        }
        let times = self.times.drain().map(|(id, (n, sum))| (id, n, sum)).collect();
        let queues = self.queues.drain().map(|(id, (n, sum))| (id, n, sum)).collect();
        let limits = self.limits.drain().collect();
        let leaving = self.leaving.drain().collect();
        let service = service.clone();
        Some(TrafficReport { service, requests, times, queues, limits, leaving })
    }
}

/// Request rates of all keys and response times of all upstreams of a service, from the reports of
/// all instances.
#[derive(Debug)]
pub struct TrafficStats {
    rates: Vec<f32>,
    /// The same over a shorter time.
    recent_rates: Vec<f32>,
    decayed_at: Millis,
    times: HashMap<Arc<str>, ResponseTimes>,
    /// Requests per second that upstreams have named as their limit, and when it was reported.
    limits: HashMap<Arc<str>, (f64, Millis)>,
    /// Requests per second that upstreams tolerate which are cold now.
    cold_rates: HashMap<Arc<str>, f64>,
}

/// An upstream's responses, older ones weighted less: their number, and the sum of their times in
/// milliseconds.
#[derive(Debug, Clone, Copy, Default)]
struct ResponseTimes {
    count: f64,
    sum: f64,
}

impl ResponseTimes {
    fn add(&mut self, count: f64, sum: f64) {
        self.count += count;
        self.sum += sum;
        let factor = (MAX_RESPONSES / self.count).min(1.0);
        self.count *= factor;
        self.sum *= factor;
    }
}

impl TrafficStats {
    /// Creates statistics without traffic.
    #[must_use]
    pub fn new(now: Millis) -> Self {
        let no_rates = vec![0.0; KEY_COUNT as usize];
        let recent_rates = no_rates.clone();
        Self {
            rates: no_rates,
            recent_rates,
            decayed_at: now,
            times: HashMap::default(),
            limits: HashMap::default(),
            cold_rates: HashMap::default(),
        }
    }

    /// Reduces the weight of older requests in the rates.
    pub fn decay(&mut self, now: Millis) {
        #[expect(clippy::cast_precision_loss, reason = "short spans")]
        let elapsed_ms = now.saturating_sub(self.decayed_at) as f64;
        self.decayed_at = now;
        self.limits.retain(|_, (_, at)| now < *at + LIMIT_VALIDITY_MS);
        #[expect(clippy::cast_possible_truncation, reason = "a factor below 1")]
        let factor = |window_ms: f64| (-elapsed_ms / window_ms).exp() as f32;
        let (long, recent) = (factor(RATE_WINDOW_MS), factor(RECENT_WINDOW_MS));
        self.rates.iter_mut().for_each(|r| *r *= long);
        self.recent_rates.iter_mut().for_each(|r| *r *= recent);
    }

    /// Adds a report's counts.
    pub fn add_report(&mut self, report: &TrafficReport) {
        #[expect(clippy::cast_possible_truncation, reason = "a small constant")]
        let per_request = |window_ms: f64| (1_000.0 / window_ms) as f32;
        let (long, recent) = (per_request(RATE_WINDOW_MS), per_request(RECENT_WINDOW_MS));
        for (key, n) in &report.requests {
            #[expect(clippy::cast_precision_loss, reason = "small counts")]
            let n = *n as f32;
            self.rates[usize::from(*key)] += n * long;
            self.recent_rates[usize::from(*key)] += n * recent;
        }
        for (id, n, sum) in &report.times {
            if *n == 0 {
                continue;
            }
            self.times.entry(id.clone()).or_default().add(f64::from(*n), *sum);
        }
        for (id, per_second) in &report.limits {
            self.limits.insert(id.clone(), (*per_second, self.decayed_at));
        }
    }

    /// Returns the requests per second that an upstream has named as its limit.
    #[must_use]
    pub fn rate_limit(&self, upstream: &str) -> Option<f64> {
        self.limits.get(upstream).map(|(per_second, _)| *per_second)
    }

    /// Replaces the requests per second that upstreams tolerate which are cold now, see
    /// [`crate::warmup`].
    pub fn set_cold_rates(&mut self, cold_rates: HashMap<Arc<str>, f64>) {
        self.cold_rates = cold_rates;
    }

    /// Returns the requests per second that an upstream tolerates, if it is cold.
    #[must_use]
    pub fn cold_rate(&self, upstream: &str) -> Option<f64> {
        self.cold_rates.get(upstream).copied()
    }

    /// Returns the requests per second for each key.
    #[must_use]
    pub fn rates(&self) -> &[f32] {
        &self.rates
    }

    /// Returns the requests per second for a range.
    #[must_use]
    pub fn rate(&self, range: &KeyRange) -> f64 {
        let range_rates = &self.rates[usize::from(range.from)..=usize::from(range.to)];
        range_rates.iter().map(|r| f64::from(*r)).sum()
    }

    /// Returns the requests per second for a range over the last second or so.
    #[must_use]
    pub fn recent_rate(&self, range: &KeyRange) -> f64 {
        let range_rates = &self.recent_rates[usize::from(range.from)..=usize::from(range.to)];
        range_rates.iter().map(|r| f64::from(*r)).sum()
    }

    /// Returns the mean response time of all upstreams in milliseconds.
    #[must_use]
    pub fn mean_response_time(&self) -> Option<f64> {
        let (count, sum) =
            self.times.values().fold((0.0, 0.0), |(n, sum), t| (n + t.count, sum + t.sum));
        (count > 0.0).then(|| sum / count)
    }

    /// Returns the estimated response time of an upstream in milliseconds: a weighted mean of its
    /// own mean and `mean_time`, which is [`TrafficStats::mean_response_time`]. Its own weighs more
    /// the more responses it has sent.
    #[must_use]
    pub fn response_time(&self, upstream: &str, mean_time: f64) -> f64 {
        let own = self.times.get(upstream).copied().unwrap_or_default();
        (mean_time * PRIOR_RESPONSES + own.sum) / (PRIOR_RESPONSES + own.count)
    }
}
