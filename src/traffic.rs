//! How busy each key is, and how fast each upstream works.

use crate::{
    clock::Millis,
    collections::HashMap,
    keymap::{KEY_COUNT, Key, KeyRange},
};
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// Span in milliseconds over which rates are averaged: hot keys change within seconds.
const RATE_SPAN_MS: f64 = 2_000.0;
/// Answers of the service that count beside an upstream's own: single ones take many times as long
/// as others, and of some hundred upstreams, one always has had short work first.
const COMMON_ANSWERS: f64 = 12.0;
/// Answers of an upstream that count; older ones weigh less.
const MAX_ANSWERS: f64 = 40.0;
/// Keys of one report; the rest is counted to the nearest reported key.
const MAX_REPORTED_KEYS: usize = 2_048;

/// What one entry instance saw since its last report.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct TrafficReport {
    /// Service.
    pub service: Arc<str>,
    /// Requests by key.
    pub requests: Vec<(Key, u32)>,
    /// Answers of upstreams without a queue: identity, number, sum of times in milliseconds.
    pub times: Vec<(Arc<str>, u32, f64)>,
}

/// Counts of one entry instance since its last report.
#[derive(Debug, Default)]
pub struct TrafficCounter {
    requests: HashMap<Key, u32>,
    times: HashMap<Arc<str>, (u32, f64)>,
}

impl TrafficCounter {
    /// Counts a request for `key`.
    pub fn on_request(&mut self, key: Key) {
        *self.requests.entry(key).or_default() += 1;
    }

    /// Counts an answer of an upstream that had nothing waiting.
    pub fn on_answer(&mut self, upstream: &Arc<str>, took_ms: f64) {
        let entry = self.times.entry(upstream.clone()).or_default();
        entry.0 += 1;
        entry.1 += took_ms;
    }

    /// Returns the counts and starts anew; `None` if there is nothing to report.
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
        Some(TrafficReport { service: service.clone(), requests, times })
    }
}

/// Rates of all keys and times of all upstreams, averaged over the reports of all instances.
#[derive(Debug)]
pub struct TrafficStats {
    rates: Vec<f32>,
    decayed: Millis,
    times: HashMap<Arc<str>, Times>,
}

/// Answers that count: their number, and the sum of their times in milliseconds.
#[derive(Debug, Clone, Copy, Default)]
struct Times {
    count: f64,
    sum: f64,
}

impl Times {
    fn add(&mut self, count: f64, sum: f64) {
        self.count += count;
        self.sum += sum;
        let factor = (MAX_ANSWERS / self.count).min(1.0);
        self.count *= factor;
        self.sum *= factor;
    }
}

impl TrafficStats {
    /// Creates the state at `now`, without load.
    #[must_use]
    pub fn new(now: Millis) -> Self {
        Self { rates: vec![0.0; KEY_COUNT as usize], decayed: now, times: HashMap::default() }
    }

    /// Lets older counts weigh less.
    pub fn decay(&mut self, now: Millis) {
        #[expect(clippy::cast_precision_loss, reason = "short spans")]
        let span = now.saturating_sub(self.decayed) as f64;
        self.decayed = now;
        #[expect(clippy::cast_possible_truncation, reason = "a factor below 1")]
        let factor = (-span / RATE_SPAN_MS).exp() as f32;
        self.rates.iter_mut().for_each(|r| *r *= factor);
    }

    /// Takes a report in.
    pub fn add_report(&mut self, report: &TrafficReport) {
        #[expect(clippy::cast_possible_truncation, reason = "a small constant")]
        let per_request = (1_000.0 / RATE_SPAN_MS) as f32;
        for (key, n) in &report.requests {
            #[expect(clippy::cast_precision_loss, reason = "small counts")]
            let n = *n as f32;
            self.rates[usize::from(*key)] += n * per_request;
        }
        for (id, n, sum) in &report.times {
            if *n == 0 {
                continue;
            }
            self.times.entry(id.clone()).or_default().add(f64::from(*n), *sum);
        }
    }

    /// Returns the requests per second for each key.
    #[must_use]
    pub fn rates(&self) -> &[f32] {
        &self.rates
    }

    /// Returns the requests per second for a range.
    #[must_use]
    pub fn rate(&self, range: &KeyRange) -> f64 {
        let part = &self.rates[usize::from(range.from)..=usize::from(range.to)];
        part.iter().map(|r| f64::from(*r)).sum()
    }

    /// Returns the average time of an answer of all upstreams in milliseconds.
    #[must_use]
    pub fn mean_response_time(&self) -> Option<f64> {
        let (count, sum) =
            self.times.values().fold((0.0, 0.0), |(n, sum), t| (n + t.count, sum + t.sum));
        (count > 0.0).then(|| sum / count)
    }

    /// Returns the time of an answer of an upstream in milliseconds, between its own and the common
    /// average by how many answers it has given; `common` is [`TrafficStats::mean_response_time`].
    #[must_use]
    pub fn response_time(&self, upstream: &str, common: f64) -> f64 {
        let own = self.times.get(upstream).copied().unwrap_or_default();
        (common * COMMON_ANSWERS + own.sum) / (COMMON_ANSWERS + own.count)
    }
}
