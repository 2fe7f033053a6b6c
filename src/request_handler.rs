//! The path of one request through an instance: rule, service, upstream, answer.

use crate::{
    body::RequestBody,
    clock::{Millis, boot_millis},
    dispatch::{Completion, Decision, Destination, LoadReport, Rejection, RequestSpec, Ticket},
    forward::{self, AttemptResult},
    http::{self, Body},
    keymap::Key,
    node::{Node, ServiceState},
    routing_config::{RoutingConfig, Rule, UpstreamInfo},
};
use hyper::{
    Response, StatusCode,
    body::Incoming,
    header::{HOST, HeaderValue, RETRY_AFTER},
    http::request::Parts,
};
use std::{rc::Rc, sync::Arc, time::Duration};
use tokio::sync::oneshot;

/// Bytes of a request's body that are kept for another attempt.
const REPLAY_BYTES: u64 = 256 * 1024;
/// Time in milliseconds that a request may take where neither caller nor rule says so.
const DEFAULT_LIMIT_MS: Millis = 30_000;
/// Time in milliseconds past a rule's timeout for which an answer that is under way is awaited.
const TIMEOUT_SLACK_MS: Millis = 80;
/// Time in milliseconds by which the answer precedes the caller's own deadline.
const DEADLINE_MARGIN_MS: Millis = 15;
/// Time in milliseconds after which a caller returns to an instance that knows no configuration.
const UNCONFIGURED_RETURN_MS: Millis = 400;
/// Time in milliseconds that must be left for another attempt.
const MIN_ATTEMPT_MS: Millis = 40;

/// What is known of a request while it is served.
struct Context {
    id: Arc<str>,
    rule: Arc<Rule>,
    service: Arc<str>,
    key: Option<Key>,
    arrived: Millis,
    /// When the upstream must have ended.
    work_until: Millis,
    /// When the caller is answered at the latest.
    give_up_at: Millis,
    sent: u32,
    may_have_run: bool,
    tried: Vec<Arc<str>>,
    refused_by_owner: u32,
}

/// Why an instance answers by itself.
struct Refusal {
    status: StatusCode,
    reason: &'static str,
    retry_after: Option<Millis>,
}

impl Refusal {
    fn new(status: StatusCode, reason: &'static str) -> Self {
        Self { status, reason, retry_after: None }
    }

    fn not_run(reason: &'static str, retry_after: Millis) -> Self {
        let retry_after = Some(retry_after);
        Self { status: StatusCode::SERVICE_UNAVAILABLE, reason, retry_after }
    }
}

/// Serves one request, whose body is empty where none is given.
pub(crate) async fn handle(node: Rc<Node>, head: Parts, body: Option<Incoming>) -> Response<Body> {
    let arrived = boot_millis();
    let id = request_id(&node, &head);
    let result = match prepare(&node, &head, id.clone(), arrived) {
        Ok(mut cx) => {
            let result = serve(&node, &mut cx, &head, body).await;
            note(&cx, &result);
            result
        }
        Err(refusal) => {
            log::info!(request = &*id, reason = refusal.reason, path = head.uri.path(); "refused");
            Err(refusal)
        }
    };
    let mut res = result.unwrap_or_else(|refusal| refused(&refusal));
    if let Some(value) = head.headers.get(&node.adapter.header_names.request_id) {
        res.headers_mut().insert(node.adapter.header_names.request_id.clone(), value.clone());
    }
    res
}

fn request_id(node: &Node, head: &Parts) -> Arc<str> {
    let id = head.headers.get(&node.adapter.header_names.request_id);
    id.and_then(|v| v.to_str().ok()).unwrap_or_default().into()
}

fn number(head: &Parts, name: &hyper::header::HeaderName) -> Option<u64> {
    head.headers.get(name)?.to_str().ok()?.trim().parse().ok()
}

fn find_rule(catalog: &RoutingConfig, head: &Parts) -> Option<Arc<Rule>> {
    let host = head.headers.get(HOST).and_then(|v| v.to_str().ok());
    let host = host.or_else(|| head.uri.host()).unwrap_or_default();
    catalog.find_rule(host, head.uri.path()).cloned()
}

/// Finds rule, service and limits of a request.
fn prepare(
    node: &Rc<Node>,
    head: &Parts,
    id: Arc<str>,
    arrived: Millis,
) -> Result<Context, Refusal> {
    let Some(catalog) = node.routing_config() else {
        return Err(Refusal::not_run("no configuration", UNCONFIGURED_RETURN_MS));
    };
    let no_route = || Refusal::new(StatusCode::NOT_FOUND, "no route");
    let rule = find_rule(&catalog, head).ok_or_else(no_route)?;
    let service = node.choose_service(&rule).ok_or_else(no_route)?;
    let key = number(head, &node.adapter.header_names.key).and_then(|k| Key::try_from(k).ok());
    let keyed = catalog.services.get(&service).is_some_and(|s| s.keyed);
    if keyed && key.is_none() {
        return Err(Refusal::new(StatusCode::BAD_REQUEST, "no key"));
    }
    let asked = number(head, &node.adapter.header_names.time_left).unwrap_or(DEFAULT_LIMIT_MS);
    let deadline = arrived + asked.saturating_sub(DEADLINE_MARGIN_MS);
    let timeout = rule.timeout_ms.map(|t| arrived + t);
    let work_until = timeout.map_or(deadline, |t| t.min(deadline));
    let give_up_at = timeout.map_or(deadline, |t| (t + TIMEOUT_SLACK_MS).min(deadline));
    Ok(Context {
        id,
        rule,
        service,
        key: key.filter(|_| keyed),
        arrived,
        work_until,
        give_up_at,
        sent: 0,
        may_have_run: false,
        tried: Vec::new(),
        refused_by_owner: 0,
    })
}

/// Serves a request whose rule is known.
async fn serve(
    node: &Rc<Node>,
    cx: &mut Context,
    head: &Parts,
    body: Option<Incoming>,
) -> Result<Response<Body>, Refusal> {
    let read = match body {
        Some(body) => RequestBody::read(body, REPLAY_BYTES).await,
        None => Ok(RequestBody::empty()),
    };
    let mut body = read.map_err(|_| Refusal::new(StatusCode::BAD_REQUEST, "body broke off"))?;
    if let Some(state) = node.services.borrow_mut().get_mut(&cx.service) {
        state.budget.on_request();
        if let Some(key) = cx.key {
            state.traffic.on_request(key);
        }
    }
    loop {
        let id = match admit(node, cx).await {
            Decision::Send(id) => id,
            Decision::Reject { reason, retry_after } => {
                return Err(give_up(cx, reason.as_str(), retry_after));
            }
        };
        let in_flight =
            InFlight { node: node.clone(), service: cx.service.clone(), id: Some(id.clone()) };
        let Some(member) = member(node, cx, &id) else {
            in_flight.end(Completion::Inconclusive, None);
            continue;
        };
        let now = boot_millis();
        let left = cx.work_until.saturating_sub(now).max(1);
        let wait = Duration::from_millis(cx.give_up_at.saturating_sub(now).max(1));
        let sent = forward::send(node, head, &mut body, &member, left);
        let Ok(lesson) = tokio::time::timeout(wait, sent).await else {
            in_flight.end(Completion::Inconclusive, None);
            return Err(Refusal::new(StatusCode::GATEWAY_TIMEOUT, "timeout at the upstream"));
        };
        learn_key(node, cx, &id, &lesson);
        in_flight.end(lesson.completion, lesson.load);
        if lesson.completion != Completion::Unreachable {
            cx.sent += 1;
        }
        let (failure, why) = match lesson.result {
            AttemptResult::Response(res) => return Ok(res),
            AttemptResult::ErrorResponse(res) => (Some(res), "upstream failed".to_owned()),
            AttemptResult::NotRun(why) => (None, why.to_owned()),
            AttemptResult::Unknown(why) => {
                cx.may_have_run = true;
                (None, why)
            }
        };
        let ran = failure.is_some() || cx.may_have_run;
        let repeat = (cx.rule.idempotent || !ran)
            && body.can_resend()
            && may_repeat(node, cx, lesson.completion);
        log::info!(request = &*cx.id, upstream = &*id, why = &*why, repeat; "attempt failed");
        if !repeat {
            return match failure {
                Some(res) => Ok(res),
                None if ran => Err(Refusal::new(StatusCode::BAD_GATEWAY, "upstream broke off")),
                None => Err(give_up(cx, "upstream rejected", return_time())),
            };
        }
        if cx.key.is_none() {
            cx.tried.push(id);
        }
    }
}

fn return_time() -> Millis {
    rand::random_range(100..300)
}

fn give_up(cx: &Context, reason: &'static str, retry_after: Millis) -> Refusal {
    if cx.may_have_run {
        return Refusal::new(StatusCode::BAD_GATEWAY, reason);
    }
    Refusal::not_run(reason, retry_after)
}

/// Returns whether another attempt may be sent, and pays for it.
fn may_repeat(node: &Node, cx: &mut Context, end: Completion) -> bool {
    let now = boot_millis();
    if now + MIN_ATTEMPT_MS >= cx.work_until {
        return false;
    }
    if end == Completion::Unreachable {
        return cx.tried.len() < 3;
    }
    if end == Completion::NotOwner {
        cx.refused_by_owner += 1;
        // The owner is the same or follows from a new map, so this is not another upstream.
        if cx.refused_by_owner > 2 {
            return false;
        }
    } else if cx.sent >= cx.rule.attempts {
        return false;
    }
    let mut services = node.services.borrow_mut();
    services.get_mut(&cx.service).is_some_and(|s| s.budget.try_withdraw())
}

/// Notes that an owner refused a key, so that others wait for the next map.
fn learn_key(node: &Node, cx: &Context, id: &Arc<str>, lesson: &forward::AttemptReport) {
    let mut services = node.services.borrow_mut();
    let Some(state) = services.get_mut(&cx.service) else {
        return;
    };
    match (lesson.completion, lesson.load) {
        (Completion::NotOwner, _) => {
            if let (Destination::Owner(owner, fence), Some(key)) =
                (state.destination(cx.key), cx.key)
                && owner == *id
            {
                state.dispatcher.on_refused_key(boot_millis(), key, fence);
            }
        }
        (Completion::Answered(took), Some(LoadReport { waiting: 0, .. })) if cx.key.is_some() => {
            state.traffic.on_answer(id, took);
        }
        _ => {}
    }
}

fn member(node: &Node, cx: &Context, id: &Arc<str>) -> Option<Arc<UpstreamInfo>> {
    node.services.borrow().get(&cx.service)?.upstreams.get(id).cloned()
}

/// Waits until the request may be sent or is turned away.
async fn admit(node: &Rc<Node>, cx: &Context) -> Decision {
    let unknown =
        Decision::Reject { reason: Rejection::NoUpstream, retry_after: UNCONFIGURED_RETURN_MS };
    let mut queued = {
        let mut services = node.services.borrow_mut();
        let Some(state) = services.get_mut(&cx.service) else {
            return unknown;
        };
        let ask = ask(state, cx);
        match state.dispatcher.submit(boot_millis(), ask) {
            Ok(verdict) => return verdict,
            Err(ticket) => {
                let rx = state.add_waiter(ticket, cx.key);
                Queued { node: node.clone(), service: cx.service.clone(), ticket: Some(ticket), rx }
            }
        }
    };
    let verdict = (&mut queued.rx).await;
    queued.ticket = None;
    verdict.unwrap_or(unknown)
}

fn ask(state: &ServiceState, cx: &Context) -> RequestSpec {
    RequestSpec {
        priority: cx.rule.priority,
        arrived_at: cx.arrived,
        objective_at: cx.arrived + cx.rule.objective_ms,
        deadline: cx.work_until,
        destination: state.destination(cx.key),
        key: cx.key,
        large_response: cx.rule.large_responses,
        tried: cx.tried.clone(),
    }
}

/// Takes a waiting request out if its caller leaves.
struct Queued {
    node: Rc<Node>,
    service: Arc<str>,
    ticket: Option<Ticket>,
    rx: oneshot::Receiver<Decision>,
}

impl Drop for Queued {
    fn drop(&mut self) {
        let Some(ticket) = self.ticket.take() else {
            return;
        };
        let mut services = self.node.services.borrow_mut();
        let Some(state) = services.get_mut(&self.service) else {
            return;
        };
        state.abandon(ticket);
        // The verdict may have come between the last look and now.
        if let Ok(Decision::Send(id)) = self.rx.try_recv() {
            state.dispatcher.on_completion(boot_millis(), &id, Completion::Inconclusive, None);
        }
    }
}

/// Counts a request in flight at an upstream until it ends or its caller leaves.
struct InFlight {
    node: Rc<Node>,
    service: Arc<str>,
    id: Option<Arc<str>>,
}

impl InFlight {
    fn end(mut self, end: Completion, load: Option<LoadReport>) {
        self.finish(end, load);
    }

    fn finish(&mut self, end: Completion, load: Option<LoadReport>) {
        let Some(id) = self.id.take() else {
            return;
        };
        let now = boot_millis();
        if let Some(state) = self.node.services.borrow_mut().get_mut(&self.service) {
            state.dispatcher.on_completion(now, &id, end, load);
            state.poll(now);
        }
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.finish(Completion::Inconclusive, None);
    }
}

fn refused(refusal: &Refusal) -> Response<Body> {
    let mut res = http::response(refusal.status, refusal.reason);
    if let Some(ms) = refusal.retry_after {
        #[expect(clippy::cast_precision_loss, reason = "short spans")]
        let seconds = format!("{:.3}", ms as f64 / 1_000.0);
        if let Ok(value) = HeaderValue::from_str(&seconds) {
            res.headers_mut().insert(RETRY_AFTER, value);
        }
    }
    res
}

/// Writes the line and the metrics of a request that has ended.
fn note(cx: &Context, result: &Result<Response<Body>, Refusal>) {
    let took = boot_millis().saturating_sub(cx.arrived);
    let (status, reason) = match result {
        Ok(res) => (res.status().as_u16(), "answered"),
        Err(refusal) => (refusal.status.as_u16(), refusal.reason),
    };
    let late = took > cx.rule.objective_ms;
    if result.is_err() || late || status >= 500 {
        log::info!(
            request = &*cx.id, rule = &*cx.rule.name, service = &*cx.service, status, reason,
            took_ms = took, sent = cx.sent, key = cx.key.map_or(-1, i32::from);
            "request ended"
        );
    } else {
        log::debug!(request = &*cx.id, service = &*cx.service, status, took_ms = took; "request ended");
    }
    let service = cx.service.to_string();
    metrics::counter!("mulberryspur_requests_total", "service" => service.clone(), "reason" => reason)
        .increment(1);
    #[expect(clippy::cast_precision_loss, reason = "short spans")]
    let seconds = took as f64 / 1_000.0;
    metrics::histogram!("mulberryspur_request_seconds", "service" => service).record(seconds);
}
