//! A budget that keeps retries to a share of the requests.
//!
//! It is used by mulberryd and mulberryspur-platform. Each request deposits a part of a retry, and
//! each retry spends a whole one. Amounts are in thousandths of a retry.

/// Deposit of each request, a tenth of a retry.
const DEFAULT_DEPOSIT: u32 = 100;
/// Cost of one retry.
const RETRY_COST: u32 = 1_000;
/// Largest balance, 20 retries.
const DEFAULT_MAX_BALANCE: u32 = 20_000;
/// Balance at the start, 5 retries.
const DEFAULT_START_BALANCE: u32 = 5_000;

/// A budget for retries of one service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RetryBudget {
    balance: u32,
    deposit: u32,
    max_balance: u32,
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
        Self {
            balance: DEFAULT_START_BALANCE,
            deposit: DEFAULT_DEPOSIT,
            max_balance: DEFAULT_MAX_BALANCE,
        }
    }

    /// Creates a budget in which each request deposits `ratio` retries, for a balance of at most
    /// `reserve` retries and at least one. It starts with one retry.
    #[must_use]
    pub fn with_limits(ratio: f64, reserve: f64) -> Self {
        let thousandths = |v: f64| {
            #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "positive")]
            let n = (v.clamp(0.0, 1e6) * f64::from(RETRY_COST)) as u32;
            n
        };
        let max_balance = thousandths(reserve).max(RETRY_COST);
        Self { balance: RETRY_COST, deposit: thousandths(ratio), max_balance }
    }

    /// Takes over the limits of another budget and keeps the balance, as far as they allow it.
    pub fn set_limits(&mut self, limits: &Self) {
        self.deposit = limits.deposit;
        self.max_balance = limits.max_balance;
        self.balance = self.balance.min(self.max_balance);
    }

    /// Adds the deposit of a request; called at its first attempt.
    pub fn on_request(&mut self) {
        self.balance = (self.balance + self.deposit).min(self.max_balance);
    }

    /// Spends one retry; `false` if the balance does not cover it.
    pub fn try_spend(&mut self) -> bool {
        let Some(left) = self.balance.checked_sub(RETRY_COST) else {
            return false;
        };
        self.balance = left;
        true
    }
}
