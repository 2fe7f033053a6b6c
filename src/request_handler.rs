//! Serves one request of a caller in `mulberryspur-platform`: finds its rule and service, waits for
//! an upstream, retries, and returns the response. The counterpart in `mulberryd` is `proxy`.

mod feedback;
mod forwarding;
mod queueing;
mod stopping;
mod unanswered;

use self::{
    feedback::{owner_fence, record_feedback, record_leaving},
    forwarding::{forward_to_others, rejection_reason, try_alone},
    queueing::{InFlightGuard, admit},
    stopping::reject_if_stopping,
    unanswered::Sent,
};
use crate::{
    body::RequestBody,
    clock::{Millis, boot_millis},
    dispatch::{Completion, Decision, Rejection},
    ended_upstreams::{self, BrokenRequest},
    forward::{AttemptResult, Deadlines},
    http::{self, Body},
    key_refusals::GrantState,
    keymap::Key,
    node::Node,
    peer_forward::REASON_HEADER,
    request_identity::RequestIdentity,
    routing_config::{RoutingConfig, Rule, UpstreamInfo},
    trial::Trial,
};
use hyper::{
    Response, StatusCode,
    body::{Body as _, Incoming},
    header::{HOST, HeaderValue, RETRY_AFTER},
    http::request::Parts,
};
use std::{net::IpAddr, rc::Rc, sync::Arc};

/// Request bodies whose declared length is at most this are buffered, so that they can be sent
/// again.
const MAX_BUFFERED_BODY_BYTES: u64 = 256 * 1024;
/// Time in milliseconds that a request may take if neither caller nor rule sets a limit.
const DEFAULT_TIMEOUT_MS: Millis = 30_000;
/// Time in milliseconds after a rule's timeout within which a late response is still accepted.
const TIMEOUT_GRACE_MS: Millis = 80;
/// Time in milliseconds before the caller's deadline at which the response must be ready.
const DEADLINE_MARGIN_MS: Millis = 15;
/// `Retry-After` in milliseconds while the instance does not know the configuration or the service.
const UNCONFIGURED_RETRY_AFTER_MS: Millis = 400;
/// Least time in milliseconds before the deadline for another attempt to be worthwhile.
const MIN_TIME_FOR_RETRY_MS: Millis = 40;

/// How a request has come to this instance.
pub(crate) enum Origin {
    /// From a caller.
    Caller(IpAddr),
    /// From another instance that does not reach the upstreams, and has chosen the service.
    Peer { caller: IpAddr, service: Option<Arc<str>> },
}

impl Origin {
    fn caller(&self) -> IpAddr {
        match self {
            Self::Caller(caller) | Self::Peer { caller, .. } => *caller,
        }
    }
}

/// A request and the state of its attempts.
struct RequestContext {
    id: Arc<str>,
    rule: Arc<Rule>,
    service: Arc<str>,
    key: Option<Key>,
    arrived_at: Millis,
    deadlines: Deadlines,
    /// Attempts that ended before the request's deadline, without those that got no connection.
    attempts: u32,
    /// Whether an attempt ended with a response that tells that the request ran, or without telling
    /// whether it did.
    may_have_run: bool,
    /// Upstreams that were tried, for requests without a key.
    tried: Vec<Arc<str>>,
    /// Attempts that the upstream refused because it does not own the key.
    owner_refusals: u32,
    /// Whether an attempt was admitted.
    admitted: bool,
    /// Whether an attempt is under way.
    is_sent: bool,
    /// Time by which the response should be there.
    objective_at: Millis,
    forwarding: Forwarding,
    /// Permission to send it, if an upstream has ended under it.
    trial: Option<Trial>,
}

/// Whether a request may be forwarded to another instance.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Forwarding {
    Possible,
    /// No other instance can serve it.
    Failed,
    /// Another instance has forwarded it here.
    Received,
}

/// A response made by this instance, not by an upstream.
struct LocalResponse {
    status: StatusCode,
    reason: &'static str,
    retry_after: Option<Millis>,
}

impl LocalResponse {
    fn new(status: StatusCode, reason: &'static str) -> Self {
        Self { status, reason, retry_after: None }
    }

    fn not_run(reason: &'static str, retry_after: Millis) -> Self {
        let retry_after = Some(retry_after);
        Self { status: StatusCode::SERVICE_UNAVAILABLE, reason, retry_after }
    }
}

/// Serves one request; without `body`, the request has none.
pub(crate) async fn handle(
    node: Rc<Node>,
    origin: Origin,
    head: Parts,
    body: Option<Incoming>,
) -> Response<Body> {
    let arrived_at = boot_millis();
    let id = request_id(&node, &head);
    let result = match prepare(&node, &origin, &head, id.clone(), arrived_at) {
        Ok(mut cx) => {
            let last_responses = node.last_responses.clone();
            let result = tokio::select! {
                result = serve(&node, &mut cx, origin.caller(), &head, body) => result,
                () = last_responses.cancelled() => Err(last_response(&cx)),
            };
            record_result(&cx, &result);
            result
        }
        Err(local) => {
            log::info!(request = &*id, reason = local.reason, path = head.uri.path(); "refused");
            Err(local)
        }
    };
    let is_forwarded = matches!(origin, Origin::Peer { .. });
    let mut res = result.unwrap_or_else(|local| local_response(&local, is_forwarded));
    if let Some(value) = head.headers.get(&node.adapter.header_names.request_id) {
        res.headers_mut().insert(node.adapter.header_names.request_id.clone(), value.clone());
    }
    res
}

/// Returns the identity that the caller sent, empty if there is none.
fn request_id(node: &Node, head: &Parts) -> Arc<str> {
    let id = head.headers.get(&node.adapter.header_names.request_id);
    id.and_then(|v| v.to_str().ok()).unwrap_or_default().into()
}

fn numeric_header(head: &Parts, name: &hyper::header::HeaderName) -> Option<u64> {
    head.headers.get(name)?.to_str().ok()?.trim().parse().ok()
}

fn find_rule(config: &RoutingConfig, head: &Parts) -> Option<Arc<Rule>> {
    let host = head.headers.get(HOST).and_then(|v| v.to_str().ok());
    let host = host.or_else(|| head.uri.host()).unwrap_or_default();
    config.find_rule(host, head.uri.path()).cloned()
}

/// Finds the rule, service and deadlines of a request.
fn prepare(
    node: &Rc<Node>,
    origin: &Origin,
    head: &Parts,
    id: Arc<str>,
    arrived_at: Millis,
) -> Result<RequestContext, LocalResponse> {
    let Some(config) = node.routing_config() else {
        return Err(LocalResponse::not_run("no configuration", UNCONFIGURED_RETRY_AFTER_MS));
    };
    let no_route = || LocalResponse::new(StatusCode::NOT_FOUND, "no route");
    let rule = find_rule(&config, head).ok_or_else(no_route)?;
    let service = match origin {
        Origin::Peer { service: Some(chosen), .. }
            if rule.targets.iter().any(|t| t.service == *chosen) =>
        {
            chosen.clone()
        }
        _ => node.choose_service(&rule).ok_or_else(no_route)?,
    };
    let forwarding = match origin {
        Origin::Caller(_) => Forwarding::Possible,
        Origin::Peer { .. } => Forwarding::Received,
    };
    // Keys are numbers up to 65,535; any other value counts as missing.
    let key =
        numeric_header(head, &node.adapter.header_names.key).and_then(|k| Key::try_from(k).ok());
    let keyed = config.services.get(&service).is_some_and(|s| s.keyed);
    if keyed && key.is_none() {
        return Err(LocalResponse::new(StatusCode::BAD_REQUEST, "no key"));
    }
    let caller_timeout_ms =
        numeric_header(head, &node.adapter.header_names.time_left).unwrap_or(DEFAULT_TIMEOUT_MS);
    let deadline = arrived_at + caller_timeout_ms.saturating_sub(DEADLINE_MARGIN_MS);
    let timeout = rule.timeout_ms.map(|t| arrived_at + t);
    let deadlines = Deadlines {
        upstream: timeout.map_or(deadline, |t| t.min(deadline)),
        response: timeout.map_or(deadline, |t| (t + TIMEOUT_GRACE_MS).min(deadline)),
    };
    let objective_ms = rule.objective_ms;
    Ok(RequestContext {
        id,
        rule,
        service,
        key: key.filter(|_| keyed),
        arrived_at,
        deadlines,
        attempts: 0,
        may_have_run: false,
        tried: Vec::new(),
        owner_refusals: 0,
        admitted: false,
        is_sent: false,
        objective_at: arrived_at + objective_ms,
        forwarding,
        trial: None,
    })
}

/// Sends a request to upstreams until one responds or no attempt is left.
async fn serve(
    node: &Rc<Node>,
    cx: &mut RequestContext,
    caller: IpAddr,
    head: &Parts,
    body: Option<Incoming>,
) -> Result<Response<Body>, LocalResponse> {
    let declared_length = body.as_ref().and_then(|b| b.size_hint().exact());
    let identity = RequestIdentity { caller, head, declared_length };
    let buffered = match body {
        Some(body) => RequestBody::read(body, MAX_BUFFERED_BODY_BYTES).await,
        None => Ok(RequestBody::empty()),
    };
    let mut body =
        buffered.map_err(|_| LocalResponse::new(StatusCode::BAD_REQUEST, "body broke off"))?;
    // The instance that has forwarded a request has counted it.
    if cx.forwarding != Forwarding::Received
        && let Some(state) = node.services.borrow_mut().get_mut(&cx.service)
    {
        state.budget.on_request();
        if let Some(key) = cx.key {
            state.traffic.on_request(key);
        }
    }
    loop {
        cx.trial = None;
        reject_if_stopping(node, cx)?;
        reject_if_it_ends_upstreams(node, cx, &identity, &body)?;
        if let Some(suspected) = identity.suspected(node, &body) {
            match try_alone(node, cx, &identity, &mut body, suspected).await? {
                Some(res) => return Ok(res),
                None if cx.trial.is_none() => continue,
                None => {}
            }
        }
        let upstream_id = match admit(node, cx).await {
            Decision::Send(id) => id,
            Decision::Forward => match forward_to_others(node, cx, &identity, &mut body).await {
                Some(result) => return result,
                None => continue,
            },
            Decision::Reject { reason, retry_after } => {
                let reason = rejection_reason(node, cx, reason);
                return Err(unserved_response(cx, reason, retry_after));
            }
        };
        cx.admitted = true;
        if let Some(res) = attempt(node, cx, &identity, &mut body, upstream_id).await? {
            return Ok(res);
        }
    }
}

/// Sends a request to an upstream; `None` if it is to be sent again.
async fn attempt(
    node: &Rc<Node>,
    cx: &mut RequestContext,
    identity: &RequestIdentity<'_>,
    body: &mut RequestBody,
    upstream_id: Arc<str>,
) -> Result<Option<Response<Body>>, LocalResponse> {
    let in_flight = InFlightGuard::new(node, cx, upstream_id.clone());
    let Some(upstream) = upstream_info(node, cx, &upstream_id) else {
        // Not sent: only ends the count in flight.
        in_flight.end(Completion::Inconclusive, None);
        return Ok(None);
    };
    // The signal to stop may have come while it waited, or more upstreams have ended under it.
    reject_if_stopping(node, cx)?;
    reject_if_it_ends_upstreams(node, cx, identity, body)?;
    // Requests without a key go to an upstream once.
    let is_repeated = cx.key.is_some() && cx.attempts > 0;
    // Owners may change until the response is there.
    let fence = owner_fence(node, cx, &upstream_id);
    let sent_at = boot_millis();
    cx.is_sent = true;
    let sent = unanswered::send(node, cx, identity.head, body, &upstream, is_repeated).await;
    let report = match sent {
        Sent::Report(report) => *report,
        Sent::TimedOut(completion) => {
            in_flight.end(completion, None);
            return Err(LocalResponse::new(StatusCode::GATEWAY_TIMEOUT, "timeout at the upstream"));
        }
    };
    cx.is_sent = false;
    record_feedback(node, cx, &upstream_id, fence, &report);
    if report.feedback.leaving {
        record_leaving(node, cx, &upstream);
    }
    match report.stream_end {
        Some(stream_end) => in_flight.end_with_stream(stream_end, report.completion),
        None => in_flight.end(report.completion, report.feedback.load),
    }
    if report.broke_off {
        let (id, fingerprints) = (cx.id.clone(), identity.fingerprints(body));
        let trial = cx.trial.take();
        let request = BrokenRequest { id, fingerprints, sent_at, trial };
        ended_upstreams::check(node, &upstream, request);
    }
    if report.completion != Completion::Unreachable {
        cx.attempts += 1;
    }
    let (error_response, reason) = match report.result {
        AttemptResult::Response(res) => {
            identity.clear_suspicion(node, body);
            return Ok(Some(res));
        }
        AttemptResult::ErrorResponse(res) => {
            identity.clear_suspicion(node, body);
            cx.may_have_run = true;
            (Some(res), "upstream failed".to_owned())
        }
        AttemptResult::NotRun(reason) => (None, reason.to_owned()),
        AttemptResult::Unknown(reason) => {
            cx.may_have_run = true;
            (None, reason)
        }
    };
    let owner_rest_ms = report.feedback.rest_ms.filter(|_| cx.key.is_some());
    let retry = owner_rest_ms.is_none()
        && (cx.rule.idempotent || !cx.may_have_run)
        && body.can_resend()
        // If an upstream has ended under it before, another one is not put at risk.
        && !(report.broke_off && identity.end_count(node, body) > 0)
        && may_retry(node, cx, report.completion);
    // The key `repeat` stays, as operators search for it.
    log::info!(request = &*cx.id, upstream = &*upstream_id, why = &*reason, repeat = retry; "attempt failed");
    let may_forward = cx.forwarding == Forwarding::Possible;
    if !retry
        && may_forward
        && report.completion == Completion::Unreachable
        && let Some(result) = forward_to_others(node, cx, identity, body).await
    {
        return result.map(Some);
    }
    if !retry {
        return match error_response {
            Some(res) => Ok(Some(res)),
            None if cx.may_have_run => {
                Err(LocalResponse::new(StatusCode::BAD_GATEWAY, "upstream broke off"))
            }
            None => {
                let retry_after = owner_rest_ms.unwrap_or(0) + random_retry_after();
                let reason = if report.completion == Completion::Unreachable {
                    rejection_reason(node, cx, Rejection::NoUpstream)
                } else {
                    "upstream rejected"
                };
                Err(unserved_response(cx, reason, retry_after))
            }
        };
    }
    if cx.key.is_none() {
        cx.tried.push(upstream_id);
    }
    Ok(None)
}

/// Rejects a request that has ended too many upstreams.
fn reject_if_it_ends_upstreams(
    node: &Node,
    cx: &RequestContext,
    identity: &RequestIdentity,
    body: &RequestBody,
) -> Result<(), LocalResponse> {
    match identity.rejected_for(node, body) {
        Some(retry_after) => Err(unserved_response(cx, "ends upstreams", retry_after)),
        None => Ok(()),
    }
}

/// Returns the response to a request that is open when the process is about to end.
fn last_response(cx: &RequestContext) -> LocalResponse {
    let reason = "instance ends";
    if cx.is_sent {
        return LocalResponse::new(StatusCode::GATEWAY_TIMEOUT, reason);
    }
    unserved_response(cx, reason, random_retry_after())
}

/// Returns a random `Retry-After` in milliseconds.
fn random_retry_after() -> Millis {
    rand::random_range(100..300)
}

/// Returns the response if there is no further attempt: 503 with `Retry-After`, or 502 once an
/// attempt has ended without telling whether the request ran.
fn unserved_response(
    cx: &RequestContext,
    reason: &'static str,
    retry_after: Millis,
) -> LocalResponse {
    if cx.may_have_run {
        return LocalResponse::new(StatusCode::BAD_GATEWAY, reason);
    }
    LocalResponse::not_run(reason, retry_after)
}

/// Returns whether another attempt may be sent, and takes it from the retry budget.
///
/// After an attempt that got no connection, no budget is needed. A request without a key is then
/// sent to another upstream if fewer than three others were tried before. One with a key has no
/// limit here, but the dispatcher rejects it while its owner is ejected.
fn may_retry(node: &Node, cx: &mut RequestContext, completion: Completion) -> bool {
    let now = boot_millis();
    if now + MIN_TIME_FOR_RETRY_MS >= cx.deadlines.upstream {
        return false;
    }
    if completion == Completion::Unreachable {
        return cx.tried.len() < 3;
    }
    if completion == Completion::NotOwner {
        cx.owner_refusals += 1;
        // The retry goes to the same owner or, once the keys have moved, to the new one. No other
        // upstream is tried, so the rule's limit on attempts doesn't apply; the refused attempt
        // counts towards it all the same.
        if cx.owner_refusals > 2 {
            return false;
        }
    } else if cx.attempts >= cx.rule.attempts {
        return false;
    }
    let mut services = node.services.borrow_mut();
    let Some(state) = services.get_mut(&cx.service) else {
        return false;
    };
    let destination = state.destination(cx.key);
    if completion == Completion::NotOwner
        && state.dispatcher.grant_state(now, cx.key, &destination) == GrantState::Lost
    {
        // It is rejected where it would wait, without another attempt. Another completion may have a
        // response of the upstream to pass on.
        return true;
    }
    state.budget.try_spend()
}

fn upstream_info(
    node: &Node,
    cx: &RequestContext,
    upstream_id: &Arc<str>,
) -> Option<Arc<UpstreamInfo>> {
    node.services.borrow().get(&cx.service)?.upstreams.get(upstream_id).cloned()
}

fn local_response(local: &LocalResponse, is_forwarded: bool) -> Response<Body> {
    let mut res = http::response(local.status, local.reason);
    if is_forwarded {
        res.headers_mut().insert(REASON_HEADER, HeaderValue::from_static(local.reason));
    }
    if let Some(ms) = local.retry_after {
        #[expect(clippy::cast_precision_loss, reason = "short spans")]
        let seconds = format!("{:.3}", ms as f64 / 1_000.0);
        if let Ok(value) = HeaderValue::from_str(&seconds) {
            res.headers_mut().insert(RETRY_AFTER, value);
        }
    }
    res
}

/// Logs a request whose response is ready, though the body of a streamed one is still to come, and
/// updates the metrics.
fn record_result(cx: &RequestContext, result: &Result<Response<Body>, LocalResponse>) {
    let took_ms = boot_millis().saturating_sub(cx.arrived_at);
    let (status, reason) = match result {
        Ok(res) => (res.status().as_u16(), "answered"),
        Err(local) => (local.status.as_u16(), local.reason),
    };
    let late = took_ms > cx.rule.objective_ms;
    if result.is_err() || late || status >= 500 {
        log::info!(
            request = &*cx.id, rule = &*cx.rule.name, service = &*cx.service, status, reason,
            took_ms, sent = cx.attempts, key = cx.key.map_or(-1, i32::from);
            "request ended"
        );
    } else {
        log::debug!(request = &*cx.id, service = &*cx.service, status, took_ms; "request ended");
    }
    let service = cx.service.to_string();
    metrics::counter!("mulberryspur_requests_total", "service" => service.clone(), "reason" => reason)
        .increment(1);
    #[expect(clippy::cast_precision_loss, reason = "short spans")]
    let seconds = took_ms as f64 / 1_000.0;
    metrics::histogram!("mulberryspur_request_seconds", "service" => service).record(seconds);
}
