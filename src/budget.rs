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
        Self { saved: START }
    }

    /// Notes a first attempt.
    pub fn on_request(&mut self) {
        self.saved = (self.saved + EARN_PER_REQUEST).min(MAX_SAVED);
    }

    /// Returns whether a retry may be sent, and pays for it.
    pub fn take(&mut self) -> bool {
        let Some(left) = self.saved.checked_sub(COST_PER_RETRY) else {
            return false;
        };
        self.saved = left;
        true
    }
}
