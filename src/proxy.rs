//! Handles one request in mulberryd, from its route and key to the response.
//!
//! Its counterpart in mulberryspur-platform is `request_handler`.

use crate::{
    attempt::{self, AttemptResponse, Failure, Target},
    body::{RequestBody, StreamEnd, TrackedBody},
    clock::{Millis, boot_millis},
    http::{self, Body},
    idempotency::{self, Claim, ClaimedKey, IdempotencyRow, StoredResponse},
    instance::Instance,
    outcome::{Outcome, Progress, Reason, may_retry},
    registry::{ConfigSnapshot, ServiceConfig},
    resource::{RequestClass, Route, Upstream, UpstreamState},
    route, wire,
};
use http_body_util::BodyExt;
use hyper::{
    Request, Response, StatusCode,
    body::Incoming,
    header::{CONTENT_LENGTH, CONTENT_TYPE, HeaderValue, RETRY_AFTER},
    http::request::Parts,
};
use rand::Rng;
use std::{sync::Arc, time::Duration, time::Instant};

/// Time in milliseconds for which failed attempts are retried, so that a key can get a new owner.
const RETRY_WINDOW_MS: Millis = 5_000;
/// Bounds in milliseconds of the exponential backoff between attempts at a keyed request.
///
/// The wait is a random time from half of the backoff to all of it. It ends early when any cell row
/// changes, and no later than the deadline or the end of the retry window.
const MIN_BACKOFF_MS: Millis = 10;
const MAX_BACKOFF_MS: Millis = 200;
/// Declared body length in bytes from which a request counts as [`RequestClass::Long`], whatever
/// the class of its route.
const LONG_BODY_BYTES: u64 = 1 << 20;
/// Longest request identity and idempotency key in bytes.
const MAX_ID_BYTES: usize = 256;

/// State of a request while it is served.
#[derive(Debug, Clone)]
pub(crate) struct RequestContext {
    pub id: Arc<str>,
    pub route: Arc<Route>,
    pub service: Arc<ServiceConfig>,
    pub class: RequestClass,
    pub idempotent: bool,
    /// Key, if the upstreams of the service own keys.
    pub key: Option<Arc<str>>,
    /// Slot of the key, by the cell row that the last attempt used.
    pub slot: Option<u32>,
    /// Deadline on the boot clock.
    pub deadline: Millis,
    /// Whether another instance forwarded it here.
    pub forwarded: bool,
    pub started: Instant,
    pub attempts: u32,
    /// Whether an earlier attempt may have run.
    pub may_have_run: bool,
    /// Upstream or instance that the last attempt went to.
    pub upstream: Arc<str>,
    /// Epoch of the slot that the last attempt was sent under.
    pub epoch: Option<u64>,
}

/// Serves one request of a caller or of another instance.
pub(crate) async fn handle(instance: Arc<Instance>, req: Request<Incoming>) -> Response<Body> {
    let started = Instant::now();
    let (head, body) = req.into_parts();
    let id = request_id(&head);
    let snapshot = instance.registry.current();
    let mut cx = match prepare(&instance, &snapshot, &head, &id, started) {
        Ok(cx) => cx,
        Err(reason) => {
            let failure = Failure::new(reason, Outcome::NotRun);
            log::info!(request = &*id, reason = reason.as_str(), path = head.uri.path(); "refused");
            metrics::counter!("mulberryspur_unrouted_total", "reason" => reason.as_str())
                .increment(1);
            return error_response(&id, &failure);
        }
    };
    instance.upstreams.add_retry_deposit(&cx.service.service.name);
    let result = serve(&instance, &mut cx, head, body).await;
    match result {
        Ok(res) => res,
        Err(mut failure) => {
            if cx.may_have_run {
                failure.outcome = Outcome::Unknown;
            }
            record_end(&instance, &cx, failure.outcome, failure.reason.as_str(), 0);
            error_response(&cx.id, &failure)
        }
    }
}

fn request_id(head: &Parts) -> Arc<str> {
    let value = head.headers.get(wire::REQUEST_ID).and_then(|v| v.to_str().ok());
    match value {
        Some(id) if !id.is_empty() && id.len() <= MAX_ID_BYTES => id.into(),
        _ => format!("{:016x}", rand::random::<u64>()).into(),
    }
}

/// Finds route, service, key and limits of a request.
fn prepare(
    instance: &Instance,
    snapshot: &ConfigSnapshot,
    head: &Parts,
    id: &Arc<str>,
    started: Instant,
) -> Result<RequestContext, Reason> {
    let route = snapshot.routes.find(head).ok_or(Reason::NoRoute)?.clone();
    let service = snapshot.service(&route.service).ok_or(Reason::NoRoute)?.clone();
    let key = match (&service.ownership, &route.key) {
        (Some(_), Some(source)) => Some(route::key_of(source, head).ok_or(Reason::NoKey)?),
        (Some(_), None) => return Err(Reason::NoKey),
        (None, _) => None,
    };
    let forwarded = is_forwarded(instance, head);
    let limit = service.service.timeout_ms;
    let time_left = match head.headers.get(wire::TIME_LEFT_MS) {
        Some(v) => v.to_str().ok().and_then(|v| v.parse().ok()).ok_or(Reason::Malformed)?,
        None => limit,
    };
    let length = head.headers.get(CONTENT_LENGTH).and_then(|v| v.to_str().ok()?.parse().ok());
    let is_large = length.is_some_and(|n: u64| n >= LONG_BODY_BYTES);
    Ok(RequestContext {
        id: id.clone(),
        idempotent: route::is_idempotent(&route, &head.method),
        class: if is_large { RequestClass::Long } else { route.class },
        key: key.map(Into::into),
        slot: None,
        deadline: boot_millis() + time_left.min(limit),
        forwarded,
        started,
        attempts: 0,
        may_have_run: false,
        upstream: "".into(),
        epoch: None,
        route,
        service,
    })
}

/// Returns whether another instance forwarded the request: a header then holds the secret that the
/// instances share.
fn is_forwarded(instance: &Instance, head: &Parts) -> bool {
    let value = head.headers.get(wire::FORWARDING_SECRET);
    value.is_some_and(|v| instance.cfg.secret.matches(v.as_bytes()))
}

/// Serves a request whose route is known.
async fn serve(
    instance: &Arc<Instance>,
    cx: &mut RequestContext,
    head: Parts,
    body: Incoming,
) -> Result<Response<Body>, Failure> {
    let max_buffered_bytes = instance.cfg.limits.replay_bytes;
    let mut body = RequestBody::read(body, max_buffered_bytes)
        .await
        .map_err(|_| not_run(Reason::Malformed))?;
    if let Some(destination) = forward_destination(instance, cx) {
        return forward(instance, cx, &head, &mut body, &destination).await;
    }
    // Each request that is not idempotent adds a line to the audit log, which is full while too
    // many lines wait to be stored.
    if !cx.idempotent && instance.audit_log.is_full() {
        return Err(not_run(Reason::NoStore).with_retry_after_ms(1_000));
    }
    let idempotency_key =
        head.headers.get(wire::IDEMPOTENCY_KEY).filter(|_| !cx.idempotent).cloned();
    match idempotency_key {
        Some(key) => serve_idempotently(instance, cx, &head, body, &key).await,
        None => serve_locally(instance, cx, &head, &mut body).await,
    }
}

fn not_run(reason: Reason) -> Failure {
    Failure::new(reason, Outcome::NotRun)
}

/// Serves a request with an idempotency key: it runs at most once.
///
/// Repeats get the stored response, or an error if its body was not stored or the outcome of the
/// first request is unknown.
async fn serve_idempotently(
    instance: &Arc<Instance>,
    cx: &mut RequestContext,
    head: &Parts,
    mut body: RequestBody,
    idempotency_key: &HeaderValue,
) -> Result<Response<Body>, Failure> {
    let idempotency_key =
        idempotency_key.to_str().ok().filter(|k| !k.is_empty() && k.len() <= MAX_ID_BYTES);
    let idempotency_key = idempotency_key.ok_or_else(|| not_run(Reason::Malformed))?;
    // The fingerprint covers the whole body, so a body that is not buffered is rejected.
    let bytes = body.bytes().ok_or_else(|| not_run(Reason::Malformed))?;
    let path = head.uri.path_and_query().map_or("/", |p| p.as_str());
    let fingerprint = idempotency::fingerprint(head.method.as_str(), path, &bytes);
    let row_key = idempotency::row_key(&cx.service.service.name, idempotency_key);
    let claim = instance.idempotency_keys.claim(row_key, fingerprint).await;
    instance.set_platform_up(claim.is_ok());
    let claimed = match claim {
        Ok(Claim::New(claimed)) => claimed,
        Ok(Claim::Used(row)) => return replay(instance, cx, &row, fingerprint),
        Err(e) => {
            log::warn!(request = &*cx.id; "idempotency key not claimed: {e}");
            return Err(not_run(Reason::NoStore).with_retry_after_ms(1_000));
        }
    };
    match serve_locally(instance, cx, head, &mut body).await {
        Ok(res) => Ok(store_response(instance, claimed, res).await),
        Err(failure) => {
            let proved_not_run = failure.outcome == Outcome::NotRun && !cx.may_have_run;
            if proved_not_run && let Err(e) = claimed.release(&instance.platform).await {
                log::warn!(request = &*cx.id; "idempotency key not released: {e}");
            }
            Err(failure)
        }
    }
}

/// Responds to a repeat from the row of its idempotency key.
fn replay(
    instance: &Instance,
    cx: &RequestContext,
    row: &IdempotencyRow,
    fingerprint: u64,
) -> Result<Response<Body>, Failure> {
    if row.fingerprint != fingerprint {
        return Err(not_run(Reason::KeyReused));
    }
    let Some(stored) = &row.response else {
        return Err(Failure::new(Reason::Repeat, Outcome::Unknown).with_retry_after_ms(1_000));
    };
    let Some(body) = stored.body() else {
        return Err(Failure::new(Reason::Repeat, Outcome::Ran));
    };
    let status = StatusCode::from_u16(stored.status).unwrap_or(StatusCode::OK);
    let mut res = http::response(status, body);
    let content_type = stored.content_type.as_ref().and_then(|t| t.parse().ok());
    if let Some(value) = content_type {
        res.headers_mut().insert(CONTENT_TYPE, value);
    }
    set_outcome_headers(&mut res, &cx.id, Outcome::Ran);
    res.headers_mut().insert(wire::REPLAYED, HeaderValue::from_static("true"));
    record_end(instance, cx, Outcome::Ran, "replayed", 0);
    Ok(res)
}

/// Stores a response for repeats and returns it; one that is long or declares no length is stored
/// without its body.
async fn store_response(
    instance: &Arc<Instance>,
    claimed: ClaimedKey,
    res: Response<Body>,
) -> Response<Body> {
    let (head, body) = res.into_parts();
    let header = |name| head.headers.get(name).and_then(|v: &HeaderValue| v.to_str().ok());
    let content_type = header(CONTENT_TYPE).map(str::to_owned);
    let length: Option<usize> = header(CONTENT_LENGTH).and_then(|v| v.parse().ok());
    let status = head.status.as_u16();
    let instance = instance.clone();
    if length.is_some_and(|n| n <= idempotency::MAX_STORED_BODY_BYTES) {
        let Ok(bytes) = body.collect().await.map(http_body_util::Collected::to_bytes) else {
            // The caller gets an interrupted response too; repeats are told that the outcome is
            // unknown.
            let broken = futures::stream::iter([Err::<hyper::body::Frame<_>, _>("broken".into())]);
            let body = http_body_util::StreamBody::new(broken).boxed_unsync();
            return Response::from_parts(head, body);
        };
        let stored = StoredResponse::new(status, content_type, Some(&bytes));
        complete_claim(&instance, claimed, stored).await;
        return Response::from_parts(head, http::full_body(bytes));
    }
    tokio::spawn(async move {
        complete_claim(&instance, claimed, StoredResponse::new(status, content_type, None)).await;
    });
    Response::from_parts(head, body)
}

async fn complete_claim(instance: &Instance, claimed: ClaimedKey, response: StoredResponse) {
    if let Err(e) = claimed.complete(&instance.platform, response).await {
        log::warn!("response not stored for repeats: {e}");
    }
}

/// Where to forward a request that this instance cannot serve itself.
#[derive(Debug)]
enum ForwardTo {
    /// To an instance of another data centre.
    DataCenter(Arc<str>),
    /// To an instance of this data centre with a quota of long requests at this owner of the key.
    InstanceWithLongQuota(Arc<str>),
}

/// Returns where to forward the request, if this instance cannot serve it itself.
fn forward_destination(instance: &Instance, cx: &RequestContext) -> Option<ForwardTo> {
    let own = &instance.cfg.data_center;
    let data_center = if let (Some(key), Some(ownership)) = (&cx.key, &cx.service.ownership) {
        ownership.home_data_center(key).clone()
    } else {
        let is_active = |u: &&Arc<Upstream>| u.state == UpstreamState::Active;
        let local = cx.service.upstreams_in(own).find(is_active);
        let other = || cx.service.upstreams.iter().find(is_active);
        local.or_else(other)?.data_center.clone()
    };
    if data_center != *own {
        return Some(ForwardTo::DataCenter(data_center));
    }
    if cx.forwarded || cx.class == RequestClass::Short {
        return None;
    }
    let owner = attempt::slot_owner(instance, cx)?;
    let (index, instances) = instance.index_among_live();
    let limits = crate::upstreams::in_flight_limits(&cx.service, &owner, index, instances);
    (limits.long == 0).then_some(ForwardTo::InstanceWithLongQuota(owner))
}

/// Sends a request through another instance.
async fn forward(
    instance: &Arc<Instance>,
    cx: &mut RequestContext,
    head: &Parts,
    body: &mut RequestBody,
    destination: &ForwardTo,
) -> Result<Response<Body>, Failure> {
    if cx.forwarded {
        return Err(not_run(Reason::Loop));
    }
    let mut peers = match destination {
        ForwardTo::DataCenter(dc) => attempt::peers_in(instance, dc),
        ForwardTo::InstanceWithLongQuota(owner) => {
            attempt::peers_with_long_request_quota(instance, cx, owner)
        }
    };
    let mut failure = not_run(Reason::NoPath).with_retry_after_ms(1_000);
    while let Some(peer) = take_random(&mut peers) {
        cx.attempts += 1;
        cx.upstream = peer.name.clone();
        let target = Target::peer(peer.name.clone(), peer.listen, instance.cfg.secret.expose());
        match attempt::send(instance, cx, head, body, target, None).await {
            Ok(attempt) => return Ok(response_to_caller(instance, cx, attempt)),
            Err(f) => {
                let retryable = may_retry(f.progress, cx.idempotent) && body.can_resend();
                failure = f;
                if !retryable {
                    break;
                }
            }
        }
    }
    Err(failure)
}

fn take_random<T>(items: &mut Vec<T>) -> Option<T> {
    if items.is_empty() {
        return None;
    }
    let n = rand::rng().random_range(0..items.len());
    Some(items.swap_remove(n))
}

/// Makes attempts at upstreams of this data centre until one succeeds or no retry is allowed.
async fn serve_locally(
    instance: &Arc<Instance>,
    cx: &mut RequestContext,
    head: &Parts,
    body: &mut RequestBody,
) -> Result<Response<Body>, Failure> {
    let retry_until = cx.deadline.min(boot_millis() + RETRY_WINDOW_MS);
    let mut row_changes = instance.cell_rows.subscribe();
    let mut backoff = MIN_BACKOFF_MS;
    let mut failed_upstreams: Vec<Arc<str>> = Vec::new();
    loop {
        row_changes.mark_unchanged();
        let failure = match attempt::try_once(instance, cx, head, body, &failed_upstreams).await {
            Ok(attempt) => return Ok(response_to_caller(instance, cx, attempt)),
            Err(f) => f,
        };
        let retryable = may_retry(failure.progress, cx.idempotent) && body.can_resend();
        let now = boot_millis();
        if !retryable || !failure.transient || now >= retry_until {
            return Err(failure);
        }
        // A keyed request that was not sent or was refused needs no retry budget: it waits until
        // the key may have a new owner.
        if failure.progress == Progress::Sent || cx.key.is_none() {
            if !instance.upstreams.try_spend_retry(&cx.service.service.name) {
                return Err(failure);
            }
            failed_upstreams.push(cx.upstream.clone());
        }
        if cx.key.is_some() {
            let wait = rand::rng().random_range(backoff / 2..=backoff).min(retry_until - now);
            let _ = tokio::time::timeout(Duration::from_millis(wait), row_changes.changed()).await;
            backoff = (backoff * 2).min(MAX_BACKOFF_MS);
        }
    }
}

/// Builds the caller's response from that of an attempt.
fn response_to_caller(
    instance: &Arc<Instance>,
    cx: &RequestContext,
    attempt: AttemptResponse,
) -> Response<Body> {
    let AttemptResponse { res, conn, in_flight, outcome, entry_grant } = attempt;
    let (mut head, body) = res.into_parts();
    http::strip_hop_by_hop_headers(&mut head.headers);
    head.headers.remove(wire::UPSTREAM_IN_FLIGHT);
    head.headers.remove(wire::REFUSAL_REASON);
    let (instance, cx2) = (instance.clone(), cx.clone());
    let status = head.status;
    let on_end = move |bytes: u64, end: StreamEnd| {
        drop(in_flight);
        drop(entry_grant);
        let result = if end == StreamEnd::Complete { status.as_str() } else { "cut" };
        record_end(&instance, &cx2, outcome, result, bytes);
    };
    let body = TrackedBody::new(body, conn, cx.deadline, on_end).boxed_unsync();
    let mut res = Response::from_parts(head, body);
    set_outcome_headers(&mut res, &cx.id, outcome);
    res
}

fn set_outcome_headers(res: &mut Response<Body>, id: &str, outcome: Outcome) {
    let headers = res.headers_mut();
    headers.insert(wire::OUTCOME, HeaderValue::from_static(outcome.as_str()));
    if let Ok(value) = HeaderValue::from_str(id) {
        headers.insert(wire::REQUEST_ID, value);
    }
}

/// Builds the response to a request that was not served.
fn error_response(id: &str, failure: &Failure) -> Response<Body> {
    let reason = failure.reason.as_str();
    let outcome = failure.outcome.as_str();
    let body = format!("{{\"reason\":\"{reason}\",\"outcome\":\"{outcome}\"}}\n");
    let mut res = http::response(failure.reason.status(), body);
    set_outcome_headers(&mut res, id, failure.outcome);
    let headers = res.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    headers.insert(wire::RESPONSE_REASON, HeaderValue::from_static(reason));
    if let Some(ms) = failure.retry_after {
        headers.insert(RETRY_AFTER, ms.div_ceil(1_000).max(1).into());
    }
    res
}

/// Logs and counts a request that has ended; one that is not idempotent goes into the audit log.
///
/// `result` is the HTTP status of the response, `cut` if its body was interrupted, `replayed` for a
/// stored response, or the name of a [`Reason`].
fn record_end(
    instance: &Instance,
    cx: &RequestContext,
    outcome: Outcome,
    result: &str,
    bytes: u64,
) {
    let took = cx.started.elapsed();
    #[expect(clippy::cast_precision_loss, reason = "for display")]
    let ms = took.as_micros() as f64 / 1_000.0;
    let service = &cx.service.service;
    log::info!(
        request = &*cx.id, route = &*cx.route.name, slot = cx.slot, upstream = &*cx.upstream,
        epoch = cx.epoch, outcome = outcome.as_str(), result, attempts = cx.attempts, ms, bytes;
        "request"
    );
    let labels = [("service", service.name.to_string()), ("result", result.to_owned())];
    metrics::counter!("mulberryspur_requests_total", &labels).increment(1);
    let service_label = [("service", service.name.to_string())];
    metrics::histogram!("mulberryspur_request_seconds", &service_label).record(took.as_secs_f64());
    let failed = result.starts_with('5') || result == "cut" || counts_against_objective(result);
    let slow = ms > Duration::from_millis(service.objective.latency_ms).as_secs_f64() * 1_000.0;
    if !cx.forwarded {
        instance.count_request(&service.name, failed, slow);
    }
    if !cx.idempotent {
        instance.audit_log.append(
            "request",
            serde_json::json!({
                "id": &*cx.id, "service": &*service.name, "slot": cx.slot, "epoch": cx.epoch,
                "upstream": &*cx.upstream, "outcome": outcome.as_str(), "result": result,
                "attempts": cx.attempts,
            }),
        );
    }
}

/// Returns whether a result is a [`Reason`] that counts against the service's objective, as a fault
/// of the service and not of the caller.
fn counts_against_objective(result: &str) -> bool {
    let faults = [
        Reason::NoOwner,
        Reason::NoUpstream,
        Reason::NoPath,
        Reason::Overload,
        Reason::Deadline,
        Reason::Broken,
        Reason::Refused,
        Reason::NoStore,
    ];
    faults.iter().any(|r| r.as_str() == result)
}
