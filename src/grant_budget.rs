//! How many grants an instance can send and renew as the coordinator of a service.
//!
//! Addresses a takeover by an instance with a tenth of a core: 834 ranges, each granted again every
//! 1.2 s, took more than it had, so that up to 1,700 grants a second were not answered in time.

use crate::clock::Millis;

/// CPU time in microseconds that a grant takes, from its decision to its answer (measured).
const GRANT_COST_US: f64 = 140.0;
/// Share of an instance's cores that renewals of grants may take; requests take the rest.
const RENEWAL_SHARE: f64 = 0.5;
/// Time in milliseconds within which a grant is answered or has failed.
const ANSWER_MS: f64 = 400.0;
/// Least number of grants in flight.
const MIN_IN_FLIGHT: usize = 16;

/// Number of grants that an instance can handle as the coordinator of a service.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct GrantBudget {
    /// Maximum number of grants in flight at once.
    pub in_flight: usize,
    /// Number of spans, each of which is granted again every renewal interval, from which no more are
    /// made for balance.
    pub spans: usize,
}

impl GrantBudget {
    /// Returns the budget of an instance with `cpu_cores`.
    #[must_use]
    pub fn new(cpu_cores: f64, renew_interval: Millis) -> Self {
        let per_ms = cpu_cores * RENEWAL_SHARE * 1_000.0 / GRANT_COST_US;
        #[expect(clippy::cast_precision_loss, reason = "small number")]
        let spans = per_ms * renew_interval as f64;
        #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "positive")]
        let (in_flight, spans) = ((per_ms * ANSWER_MS) as usize, spans as usize);
        Self { in_flight: in_flight.max(MIN_IN_FLIGHT), spans }
    }
}
