//! Decides which requests an instance that is stopping still sends to an upstream.
//!
//! Answers callers that use their open connections until these are closed, and bodies that come in
//! late: what cannot end before the process does is rejected, so that its caller can send it to another
//! instance, instead of being cut while it runs.

use super::{LocalResponse, RequestContext, random_retry_after, unserved_response};
use crate::{
    clock::{Millis, boot_millis},
    listeners,
    node::Node,
};

/// Time in milliseconds from the signal within which a request may be sent that is expected to end in
/// time, though its deadline is later: connections are closed within it.
const NOTICE_MS: Millis = 3_000;

/// When the process stops.
#[derive(Debug, Clone, Copy)]
struct StopTimes {
    /// When the signal came.
    signalled_at: Millis,
    /// When requests that are still open are answered.
    last_response_at: Millis,
}

impl StopTimes {
    /// Returns whether a request may be sent to an upstream, which must have finished at `deadline` and
    /// is expected to within `objective_ms`.
    fn may_send(&self, now: Millis, deadline: Millis, objective_ms: Millis) -> bool {
        let ends_in_time = deadline <= self.last_response_at;
        let is_expected_to =
            now <= self.signalled_at + NOTICE_MS && now + objective_ms <= self.last_response_at;
        ends_in_time || is_expected_to
    }
}

/// Rejects a request that cannot be expected to end before this process does.
pub(super) fn reject_if_stopping(node: &Node, cx: &RequestContext) -> Result<(), LocalResponse> {
    let Some(signalled_at) = node.stopping_since.get() else {
        return Ok(());
    };
    let last_response_at = listeners::last_response_at(node, signalled_at);
    let times = StopTimes { signalled_at, last_response_at };
    if times.may_send(boot_millis(), cx.deadlines.upstream, cx.rule.objective_ms) {
        return Ok(());
    }
    Err(unserved_response(cx, "instance is stopping", random_retry_after()))
}
