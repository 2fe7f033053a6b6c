//! Attempts whose upstream says nothing, see [`crate::silence`].

use super::RequestContext;
use crate::{
    body::RequestBody,
    clock::{Millis, boot_millis},
    dispatch::Completion,
    forward::{self, AttemptReport},
    node::Node,
    routing_config::UpstreamInfo,
    silence::{FULL_QUEUE_FACTOR, WaitingAttempt},
};
use hyper::http::request::Parts;
use std::rc::Rc;

/// How an attempt has ended.
pub(super) enum Sent {
    Report(Box<AttemptReport>),
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
    let sending = forward::send(node, head, body, upstream, cx.deadlines, is_repeated);
    let timeout = cx.deadlines.response_time(sent_at);
    match tokio::time::timeout(timeout, sending).await {
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
    Some(WaitingAttempt { sent_at, response_time_ms })
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
