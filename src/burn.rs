//! Service-level burn: how fast a service uses up the faults that its objective allows.

use crate::{clock::Millis, resource::Objective};
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;

const BUCKET_MS: Millis = 60_000;
const WINDOWS_MIN: [(&str, usize); 4] = [("5m", 5), ("1h", 60), ("6h", 360), ("3d", 4_320)];

/// Counts of requests.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestCounts {
    /// All requests.
    pub total: u64,
    /// Requests that the service failed to answer.
    pub failed: u64,
    /// Requests that were answered later than the objective allows.
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
    /// Minute number and its counts, oldest first.
    minutes: VecDeque<(u64, RequestCounts)>,
}

impl BurnCounter {
    /// Creates a counter without requests.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Counts a request that ended at `now` (wall clock).
    pub fn on_request(&mut self, now: Millis, failed: bool, slow: bool) {
        let minute = now / BUCKET_MS;
        if self.minutes.back().is_none_or(|(m, _)| *m != minute) {
            self.minutes.push_back((minute, RequestCounts::default()));
            let keep_from = minute.saturating_sub(WINDOWS_MIN[3].1 as u64);
            while self.minutes.front().is_some_and(|(m, _)| *m < keep_from) {
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
        let minute = now / BUCKET_MS;
        let sum = |minutes: usize| {
            let from = minute.saturating_sub(minutes as u64 - 1);
            let mut total = RequestCounts::default();
            self.minutes.iter().rev().take_while(|(m, _)| *m >= from).for_each(|(_, c)| {
                total.add(*c);
            });
            total
        };
        WINDOWS_MIN.iter().map(|(name, minutes)| ((*name).to_owned(), sum(*minutes))).collect()
    }
}

/// Burn of one objective in one window: 1 uses the allowance up exactly, more exceeds it.
#[must_use]
pub fn burn_rate(bad: u64, total: u64, objective: f64) -> f64 {
    if total == 0 {
        return 0.0;
    }
    #[expect(clippy::cast_precision_loss, reason = "a ratio")]
    let share = bad as f64 / total as f64;
    share / (1.0 - objective).max(1e-9)
}

/// An alert by the burn of a long window that a short window confirms.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Alert {
    /// The allowance lasts.
    None,
    /// The allowance of 30 days goes within days.
    Ticket,
    /// It goes within hours: a person must act now.
    Page,
}

/// Returns the alert for burn rates of 5 minutes, 1 hour, 6 hours and 3 days.
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

/// Burn of one service as reported.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ServiceBurn {
    /// Name of the service.
    pub service: String,
    /// Its objective.
    pub objective: Objective,
    /// Counts by window.
    pub windows: Vec<(String, RequestCounts)>,
}

impl ServiceBurn {
    /// Adds the counts of another instance.
    pub fn merge(&mut self, other: &Self) {
        for ((_, mine), (_, theirs)) in self.windows.iter_mut().zip(&other.windows) {
            mine.add(*theirs);
        }
    }

    /// Returns the availability burn of each window.
    #[must_use]
    pub fn availability_burn_rates(&self) -> Vec<f64> {
        let rate = |c: &RequestCounts| burn_rate(c.failed, c.total, self.objective.availability);
        self.windows.iter().map(|(_, c)| rate(c)).collect()
    }

    /// Returns the latency burn of each window.
    #[must_use]
    pub fn latency_burn_rates(&self) -> Vec<f64> {
        let rate = |c: &RequestCounts| burn_rate(c.slow, c.total, self.objective.latency_share);
        self.windows.iter().map(|(_, c)| rate(c)).collect()
    }
}
