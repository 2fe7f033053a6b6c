//! Attempts whose upstream says nothing, see [`crate::silence`].

use super::RequestContext;
use crate::{
    body::RequestBody,
    clock::{Millis, boot_millis},
    dispatch::{Completion, Destination},
    forward::{self, AttemptReport},
    node::Node,
    routing_config::UpstreamInfo,
    silence::{FULL_QUEUE_FACTOR, WaitingAttempt},
};
use hyper::http::request::Parts;
use std::{rc::Rc, time::Duration};

/// How an attempt has ended.
pub(super) enum Sent {
    Report(Box<AttemptReport>),
    /// It was given up for another one, which was taken from the retry budget.
    GivenUp(Completion),
    /// The time of the request is over.
    TimedOut(Completion),
}

/// Sends a request to an upstream and waits for the response, as long as that is useful.
pub(super) async fn send(
    node: &Rc<Node>,
    cx: &RequestContext,
    head: &Parts,
    body: &mut RequestBody,
    upstream: &UpstreamInfo,
    is_repeated: bool,
) -> Sent {
    let sent_at = boot_millis();
    let waiting = waiting_attempt(node, cx, upstream, sent_at);
    let time_to_retry = waiting.and_then(|w| Some((time_to_retry(cx, body, &w)?, w)));
    let sending = forward::send(node, head, body, upstream, cx.deadlines, is_repeated);
    let timeout = cx.deadlines.response_time(sent_at);
    let mut sending = Box::pin(tokio::time::timeout(timeout, sending));
    if let Some((time, waiting)) = time_to_retry {
        match tokio::time::timeout(time, &mut sending).await {
            Ok(Ok(report)) => return Sent::Report(Box::new(report)),
            Err(_) if give_up(node, cx, upstream, &waiting) => {
                return Sent::GivenUp(completion(node, cx, upstream, Some(&waiting)));
            }
            Ok(Err(_)) => return Sent::TimedOut(completion(node, cx, upstream, Some(&waiting))),
            Err(_) => {}
        }
    }
    match sending.await {
        Ok(report) => Sent::Report(Box::new(report)),
        Err(_) => Sent::TimedOut(completion(node, cx, upstream, waiting.as_ref())),
    }
}

/// Returns an attempt that is sent now.
fn waiting_attempt(
    node: &Node,
    cx: &RequestContext,
    upstream: &UpstreamInfo,
    sent_at: Millis,
) -> Option<WaitingAttempt> {
    let services = node.services.borrow();
    let response_time_ms = services.get(&cx.service)?.dispatcher.response_time(&upstream.id)?;
    Some(WaitingAttempt {
        sent_at,
        objective_at: cx.objective_at,
        deadline: cx.deadlines.upstream,
        response_time_ms,
    })
}

/// Returns after which time an attempt may be given up for another one.
fn time_to_retry(
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
fn give_up(
    node: &Node,
    cx: &RequestContext,
    upstream: &UpstreamInfo,
    attempt: &WaitingAttempt,
) -> bool {
    let mut services = node.services.borrow_mut();
    let now = boot_millis();
    // A stop ends no attempt at which the upstream may be at work.
    if node.stopping_since.get().is_some() {
        return false;
    }
    services.get_mut(&cx.service).is_some_and(|s| {
        // An owner may answer on another connection; without a key, another upstream is asked.
        let has_other = match s.destination(cx.key) {
            Destination::Owner(..) => true,
            Destination::Any => s.dispatcher.has_other_upstream(now, &cx.tried, &upstream.id),
            Destination::NoOwner | Destination::OwnerLost => false,
        };
        has_other && s.dispatcher.is_silent(&upstream.id, attempt.sent_at) && s.budget.try_spend()
    })
}

/// Returns how an attempt without a response has ended, and counts a full queue if the upstream has said
/// nothing for too long.
fn completion(
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
