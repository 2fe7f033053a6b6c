//! Attempts whose upstream says nothing, see [`crate::silence`].

use super::RequestContext;
use crate::{
    body::RequestBody,
    clock::{Millis, boot_millis},
    dispatch::Completion,
    node::Node,
    routing_config::UpstreamInfo,
    silence::{FULL_QUEUE_FACTOR, WaitingAttempt},
};
use std::time::Duration;

/// Returns an attempt that is sent now.
pub(super) fn waiting_attempt(
    node: &Node,
    cx: &RequestContext,
    upstream: &UpstreamInfo,
    sent_at: Millis,
) -> Option<WaitingAttempt> {
    let services = node.services.borrow();
    let response_time_ms = services.get(&cx.service)?.dispatcher.response_time(&upstream.id)?;
    let objective_at = cx.arrived_at + cx.rule.objective_ms;
    Some(WaitingAttempt {
        sent_at,
        objective_at,
        deadline: cx.deadlines.upstream,
        response_time_ms,
    })
}

/// Returns after which time an attempt may be given up for another one.
pub(super) fn time_to_retry(
    cx: &RequestContext,
    body: &RequestBody,
    attempt: &WaitingAttempt,
) -> Option<Duration> {
    let may_retry = cx.rule.idempotent
        && !cx.rule.large_responses
        && cx.trial.is_none()
        && body.bytes().is_some()
        && cx.attempts + 1 < cx.rule.attempts;
    let at = attempt.retry_at().filter(|_| may_retry)?;
    Some(Duration::from_millis(at.saturating_sub(attempt.sent_at)))
}

/// Returns whether an attempt is given up now for another one, and takes that from the retry budget.
pub(super) fn give_up(
    node: &Node,
    cx: &RequestContext,
    upstream: &UpstreamInfo,
    attempt: &WaitingAttempt,
) -> bool {
    let mut services = node.services.borrow_mut();
    services.get_mut(&cx.service).is_some_and(|s| {
        s.dispatcher.is_silent(&upstream.id, attempt.sent_at) && s.budget.try_spend()
    })
}

/// Returns how an attempt without a response has ended, and counts a full queue if the upstream has said
/// nothing for too long.
pub(super) fn completion(
    node: &Node,
    cx: &RequestContext,
    upstream: &UpstreamInfo,
    attempt: Option<&WaitingAttempt>,
) -> Completion {
    let mut services = node.services.borrow_mut();
    let (Some(state), Some(attempt)) = (services.get_mut(&cx.service), attempt) else {
        return Completion::Inconclusive;
    };
    let is_silent = state.dispatcher.is_silent(&upstream.id, attempt.sent_at)
        && boot_millis() >= attempt.unanswered_from();
    if !is_silent {
        return Completion::Inconclusive;
    }
    if cx.key.is_some() {
        state.traffic.on_queue(&upstream.id, upstream.concurrency * FULL_QUEUE_FACTOR);
    }
    let service = cx.service.to_string();
    metrics::counter!("mulberryspur_silent_attempts_total", "service" => service).increment(1);
    log::info!(
        request = &*cx.id, upstream = &*upstream.id, response_time_ms = attempt.response_time_ms,
        waited_ms = boot_millis().saturating_sub(attempt.sent_at);
        "upstream said nothing, counts as full"
    );
    Completion::Silent
}
