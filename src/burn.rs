//! Error budgets of services: how fast a service uses up the failed and slow requests that its
//! service-level objective allows (mulberryd).

use crate::{clock::Millis, resource::Objective};
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;

const MINUTE_MS: Millis = 60_000;
/// Names of the windows and their lengths in minutes, shortest first.
const WINDOWS: [(&str, usize); 4] = [("5m", 5), ("1h", 60), ("6h", 360), ("3d", 4_320)];

/// Counts of requests in some period.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestCounts {
    /// All requests.
    pub total: u64,
    /// Requests that failed, unless the caller was to blame.
    pub failed: u64,
    /// Requests that took longer than the objective allows.
    pub slow: u64,
}

impl RequestCounts {
    /// Adds other counts.
    pub fn add(&mut self, other: Self) {
        self.total += other.total;
        self.failed += other.failed;
        self.slow += other.slow;
    }
}

/// Counts of one service per minute over the longest window.
#[derive(Debug, Clone, Default)]
pub struct BurnCounter {
    /// Minutes since the Unix epoch and their counts, oldest first.
    minutes: VecDeque<(u64, RequestCounts)>,
}

impl BurnCounter {
    /// Creates a counter without requests.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Counts a request that ended at `now` on the wall clock.
    pub fn on_request(&mut self, now: Millis, failed: bool, slow: bool) {
        let minute = now / MINUTE_MS;
        if self.minutes.back().is_none_or(|(m, _)| *m != minute) {
            self.minutes.push_back((minute, RequestCounts::default()));
            let oldest_kept = minute.saturating_sub(WINDOWS[3].1 as u64);
            while self.minutes.front().is_some_and(|(m, _)| *m < oldest_kept) {
                self.minutes.pop_front();
            }
        }
        if let Some((_, c)) = self.minutes.back_mut() {
            c.add(RequestCounts { total: 1, failed: failed.into(), slow: slow.into() });
        }
    }

    /// Returns the counts of each window that ends at `now`, by window name.
    #[must_use]
    pub fn counts_by_window(&self, now: Millis) -> Vec<(String, RequestCounts)> {
        let minute = now / MINUTE_MS;
        let sum = |minutes: usize| {
            let from = minute.saturating_sub(minutes as u64 - 1);
            let mut total = RequestCounts::default();
            self.minutes.iter().rev().take_while(|(m, _)| *m >= from).for_each(|(_, c)| {
                total.add(*c);
            });
            total
        };
        WINDOWS.iter().map(|(name, minutes)| ((*name).to_owned(), sum(*minutes))).collect()
    }
}

/// Returns the burn rate of one error budget in one window: 1 uses it up exactly, more exceeds it.
#[must_use]
pub fn burn_rate(bad: u64, total: u64, objective: f64) -> f64 {
    if total == 0 {
        return 0.0;
    }
    #[expect(clippy::cast_precision_loss, reason = "a ratio")]
    let bad_share = bad as f64 / total as f64;
    bad_share / (1.0 - objective).max(1e-9)
}

/// An alert on the burn rate of a long window that a shorter one confirms.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Alert {
    /// The error budget lasts.
    None,
    /// The error budget of 30 days is used up within days.
    Ticket,
    /// It is used up within hours: a person must act now.
    Page,
}

/// Returns the alert for the burn rates of the windows of 5 minutes, 1 hour, 6 hours and 3 days.
#[must_use]
pub fn alert_for_rates(rates: &[f64]) -> Alert {
    let rate = |n: usize| rates.get(n).copied().unwrap_or(0.0);
    if (rate(1) > 14.4 && rate(0) > 14.4) || (rate(2) > 6.0 && rate(0) > 6.0) {
        Alert::Page
    } else if rate(3) > 1.0 && rate(2) > 1.0 {
        Alert::Ticket
    } else {
        Alert::None
    }
}

/// Counts of one service by window, with the objective that its burn rates are measured against.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ServiceBurn {
    /// Name of the service.
    pub service: String,
    /// Service-level objective of the service.
    pub objective: Objective,
    /// Window names and counts, shortest window first.
    pub windows: Vec<(String, RequestCounts)>,
}

impl ServiceBurn {
    /// Adds the counts of another instance.
    pub fn merge(&mut self, other: &Self) {
        for ((_, own), (_, added)) in self.windows.iter_mut().zip(&other.windows) {
            own.add(*added);
        }
    }

    /// Returns the burn rate of failed requests in each window.
    #[must_use]
    pub fn availability_burn_rates(&self) -> Vec<f64> {
        let rate = |c: &RequestCounts| burn_rate(c.failed, c.total, self.objective.availability);
        self.windows.iter().map(|(_, c)| rate(c)).collect()
    }

    /// Returns the burn rate of slow requests in each window.
    #[must_use]
    pub fn latency_burn_rates(&self) -> Vec<f64> {
        let rate = |c: &RequestCounts| burn_rate(c.slow, c.total, self.objective.latency_share);
        self.windows.iter().map(|(_, c)| rate(c)).collect()
    }
}
