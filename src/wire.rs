//! Names of headers and paths that upstreams, callers and entry instances share.

/// Outcome of a request: `ran`, `not-run` or `unknown`.
pub const OUTCOME: &str = "x-mulberryspur-outcome";
/// Identity of a request, from the caller or made by the first entry instance.
pub const REQUEST_ID: &str = "x-request-id";
/// Time left for a request, in milliseconds.
pub const TIME_LEFT_MS: &str = "x-mulberryspur-deadline-ms";
/// Slot that a request belongs to.
pub const SLOT: &str = "x-mulberryspur-slot";
/// Epoch of the slot under which a request was sent.
pub const EPOCH: &str = "x-mulberryspur-epoch";
/// Reason why an upstream refused a request before starting it; proof that it did not run.
pub const REFUSAL_REASON: &str = "x-mulberryspur-refused";
/// Requests in flight at an upstream, reported with each answer.
pub const UPSTREAM_IN_FLIGHT: &str = "x-mulberryspur-load";
/// Name of the entry instance that forwarded a request from another data centre.
pub const FORWARDED_BY: &str = "x-mulberryspur-hop";
/// Reason of an answer that the entry instance gave itself.
pub const RESPONSE_REASON: &str = "x-mulberryspur-reason";
/// Set on the answer to a repeat that was answered from the first run's result.
pub const REPLAYED: &str = "x-mulberryspur-replayed";
/// The caller's own key that makes its repeats safe.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// Path at which an upstream takes grants.
pub const GRANT_PATH: &str = "/.mulberryspur/grant";
