//! A budget that keeps retries to a share of the requests.

/// Share of a retry that each request earns, in thousandths.
const EARN_PER_REQUEST: u32 = 100;
const COST_PER_RETRY: u32 = 1_000;
const MAX_SAVED: u32 = 20_000;
const START: u32 = 5_000;

/// A budget for retries of one service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RetryBudget {
    saved: u32,
    earn: u32,
    max_saved: u32,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self::new()
    }
}

impl RetryBudget {
    /// Creates a budget that allows a few retries at once.
    #[must_use]
    pub fn new() -> Self {
        Self { saved: START, earn: EARN_PER_REQUEST, max_saved: MAX_SAVED }
    }

    /// Creates a budget that earns `ratio` retries with each request and saves at most `reserve`.
    #[must_use]
    pub fn with_limits(ratio: f64, reserve: f64) -> Self {
        let per_mille = |v: f64| {
            #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "positive")]
            let n = (v.clamp(0.0, 1e6) * f64::from(COST_PER_RETRY)) as u32;
            n
        };
        let max_saved = per_mille(reserve).max(COST_PER_RETRY);
        Self { saved: COST_PER_RETRY, earn: per_mille(ratio), max_saved }
    }

    /// Takes over the limits of another budget and keeps what has been saved under them.
    pub fn set_limits(&mut self, limits: &Self) {
        self.earn = limits.earn;
        self.max_saved = limits.max_saved;
        self.saved = self.saved.min(self.max_saved);
    }

    /// Notes a first attempt.
    pub fn on_request(&mut self) {
        self.saved = (self.saved + self.earn).min(self.max_saved);
    }

    /// Returns whether a retry may be sent, and pays for it.
    pub fn try_withdraw(&mut self) -> bool {
        let Some(left) = self.saved.checked_sub(COST_PER_RETRY) else {
            return false;
        };
        self.saved = left;
        true
    }
}
