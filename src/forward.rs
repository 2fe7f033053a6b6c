//! Sends a request to one upstream once and works out whether it has run. Used by
//! `mulberryspur-platform`; the counterpart in `mulberryd` is `attempt`.

use crate::{
    body::{RequestBody, StreamEnd, TrackedBody},
    clock::{Millis, boot_millis},
    dispatch::{Completion, LoadReport},
    error::Result,
    http::{self, Body},
    node::Node,
    pool::PooledConnection,
    rate_limit::LimitNotice,
    routing_config::UpstreamInfo,
};
use http_body_util::BodyExt;
use hyper::{
    HeaderMap, Request, Response, StatusCode, Uri, Version,
    body::Incoming,
    header::{self, HeaderValue},
    http::{request::Parts, response},
};
use std::{
    rc::Rc,
    sync::Arc,
    time::{Duration, Instant},
};
use tokio::sync::oneshot;

/// Responses up to this size are read whole before any of it is passed on, so that a retry can
/// replace one that is interrupted. Larger ones are streamed if they declare their length and are
/// successful and signed; else the attempt fails.
const MAX_BUFFERED_RESPONSE_BYTES: u64 = 2 << 20;

/// Longest time in milliseconds for which an upstream is left alone because it asks for it.
const MAX_REST_MS: Millis = 60_000;

/// The result of an attempt.
pub(crate) enum AttemptResult {
    /// The upstream's response, to be passed on.
    Response(Response<Body>),
    /// A 5xx response of the upstream, which has run the request; it can be passed on.
    ErrorResponse(Response<Body>),
    /// The request has not run and never will, for this reason.
    NotRun(&'static str),
    /// The request may have run; no usable response came, for this reason.
    Unknown(String),
}

/// What an upstream says about itself in a response.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Feedback {
    pub load: Option<LoadReport>,
    pub limit: LimitNotice,
    /// Whether it is about to stop and takes no new requests.
    pub leaving: bool,
    /// Time in milliseconds for which it wants no requests from this instance.
    pub rest_ms: Option<Millis>,
}

/// The result of an attempt, and what it shows about the upstream.
pub(crate) struct AttemptReport {
    pub result: AttemptResult,
    pub completion: Completion,
    pub feedback: Feedback,
    /// Whether the connection ended while the upstream may have been running the request.
    pub broke_off: bool,
    /// Tells how a response ends that is passed on while it arrives.
    pub stream_end: Option<oneshot::Receiver<StreamEnd>>,
}

impl AttemptReport {
    fn new(result: AttemptResult, completion: Completion) -> Self {
        Self {
            result,
            completion,
            feedback: Feedback::default(),
            broke_off: false,
            stream_end: None,
        }
    }

    fn with_feedback(mut self, feedback: Feedback) -> Self {
        self.feedback = feedback;
        self
    }

    fn with_broken_connection(mut self) -> Self {
        self.broke_off = true;
        self
    }
}

/// Removes the headers that are not passed on. Trailers are not passed on either, so the headers
/// about them go too.
fn strip_headers(headers: &mut HeaderMap) {
    http::strip_hop_by_hop_headers(headers);
    headers.remove(header::TE);
    headers.remove(header::TRAILER);
}

/// Returns a request as it is sent on, with `time_left` milliseconds left for it.
pub(crate) fn build_request(
    node: &Node,
    head: &Parts,
    time_left: Millis,
    body: Body,
) -> Request<Body> {
    let names = &node.adapter.header_names;
    let mut headers = head.headers.clone();
    strip_headers(&mut headers);
    // The framing follows from the body, which is sent without waiting for `100 Continue`.
    headers.remove(header::EXPECT);
    headers.insert(names.time_left.clone(), HeaderValue::from(time_left));
    let mut req = Request::new(body);
    *req.method_mut() = head.method.clone();
    let path = head.uri.path_and_query().cloned();
    *req.uri_mut() = path.map(Uri::from).unwrap_or_default();
    *req.version_mut() = Version::HTTP_11;
    *req.headers_mut() = headers;
    req
}

fn parse_load_report(node: &Node, headers: &HeaderMap) -> Option<LoadReport> {
    let text = headers.get(&node.adapter.header_names.load)?.to_str().ok()?;
    let mut numbers = text.split(',').map(|n| n.trim().parse().ok());
    let mut next = || numbers.next().flatten();
    Some(LoadReport { running: next()?, waiting: next()?, concurrency: next()? })
}

/// Returns whether a response may have this status. The library accepts up to 999, and 101 though no
/// upgrade was asked for; others below 200 only precede a response.
pub(crate) fn is_final_status(status: StatusCode) -> bool {
    (200..=599).contains(&status.as_u16())
}

/// Returns whether a response says that the request has not run.
fn is_refusal(node: &Node, head: &response::Parts) -> bool {
    head.headers.contains_key(&node.adapter.header_names.not_run)
        || head.status == StatusCode::MISDIRECTED_REQUEST
}

/// Returns the time in milliseconds for which an upstream that rejects a request wants no more from
/// this instance.
fn parse_rest(upstream: &UpstreamInfo, head: &response::Parts) -> Option<Millis> {
    if head.status != StatusCode::SERVICE_UNAVAILABLE {
        return None;
    }
    let value = head.headers.get(header::RETRY_AFTER)?;
    let seconds: Option<f64> = value.to_str().ok().and_then(|v| v.trim().parse().ok());
    let Some(seconds) = seconds.filter(|s| *s >= 0.0) else {
        log::warn!(upstream = &*upstream.id; "rest of an upstream is no number of seconds: {value:?}");
        return None;
    };
    #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "saturates")]
    let rest_ms = (seconds * 1_000.0).ceil() as Millis;
    if rest_ms > MAX_REST_MS {
        log::warn!(upstream = &*upstream.id, rest_ms; "rest of an upstream is cut short");
    }
    Some(rest_ms.min(MAX_REST_MS))
}

/// Removes what an upstream says about itself from a response, and returns it.
fn take_feedback(node: &Node, upstream: &UpstreamInfo, head: &mut response::Parts) -> Feedback {
    let names = &node.adapter.header_names;
    let load = parse_load_report(node, &head.headers);
    let limit = match head.headers.get(&names.rate_limit) {
        Some(value) => {
            let parsed = value.to_str().ok().and_then(LimitNotice::parse);
            if parsed.is_none() {
                log::warn!(upstream = &*upstream.id; "limit of an upstream is no rate: {value:?}");
            }
            parsed.unwrap_or_default()
        }
        // A refusal may be made before the upstream knows its state.
        None if is_refusal(node, head) => LimitNotice::Unknown,
        None => LimitNotice::Unlimited,
    };
    let leaving = head.headers.get(&names.leaving).is_some_and(|v| v == "1");
    for name in [&names.load, &names.rate_limit, &names.leaving] {
        head.headers.remove(name);
    }
    Feedback { load, limit, leaving, rest_ms: parse_rest(upstream, head) }
}

/// Deadlines of a request.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Deadlines {
    /// When the upstream must have finished.
    pub upstream: Millis,
    /// When the caller gets a response at the latest, and the whole of it must have arrived.
    pub response: Millis,
}

impl Deadlines {
    /// Returns the time in milliseconds that the upstream has.
    pub fn upstream_time(&self, now: Millis) -> Millis {
        self.upstream.saturating_sub(now).max(1)
    }

    /// Returns the time until the response must be there.
    pub fn response_time(&self, now: Millis) -> Duration {
        Duration::from_millis(self.response.saturating_sub(now).max(1))
    }
}

/// Sends a request to an upstream once. With `is_repeated`, the upstream may have had it before.
pub(crate) async fn send(
    node: &Rc<Node>,
    head: &Parts,
    body: &mut RequestBody,
    upstream: &UpstreamInfo,
    deadlines: Deadlines,
    is_repeated: bool,
) -> AttemptReport {
    // An upstream may send a refusal twice. On the connection of an earlier attempt, which has the
    // same identity, that would be taken for the response to this one.
    let acquired = if is_repeated {
        node.pool.acquire_new(upstream.address).await
    } else {
        node.pool.acquire(upstream.address).await
    };
    let mut conn = match acquired {
        Ok(conn) => conn,
        Err(e) => {
            log::debug!(upstream = &*upstream.id; "{e}");
            return AttemptReport::new(
                AttemptResult::NotRun("no connection"),
                Completion::Unreachable,
            );
        }
    };
    if conn.is_new()
        && let Some(state) = node.services.borrow_mut().get_mut(&upstream.service)
    {
        state.dispatcher.on_connected(&upstream.id);
        state.note_cut(&upstream.service);
    }
    let started = Instant::now();
    let time_left = deadlines.upstream_time(boot_millis());
    let mut req = build_request(node, head, time_left, body.take());
    if let Ok(id) = HeaderValue::from_str(&upstream.id) {
        req.headers_mut().insert(node.adapter.header_names.expected_upstream.clone(), id);
    }
    let res = match conn.send(&upstream.id, req).await {
        Ok(res) => res,
        Err(f) => {
            if let Some(unsent) = f.unsent {
                body.restore(unsent.into_body());
                return AttemptReport::new(
                    AttemptResult::NotRun("connection closed"),
                    Completion::Inconclusive,
                );
            }
            return AttemptReport::new(
                AttemptResult::Unknown(f.error.to_string()),
                Completion::Failed,
            )
            .with_broken_connection();
        }
    };
    let (mut parts, incoming) = res.into_parts();
    if !is_final_status(parts.status) {
        // Nothing else in it can be trusted, as a header that tells that the request has not run.
        let reason = format!("invalid status {}", parts.status.as_u16());
        return AttemptReport::new(AttemptResult::Unknown(reason), Completion::Failed);
    }
    let names = &node.adapter.header_names;
    if parts.headers.get(&names.request_id) != head.headers.get(&names.request_id) {
        // The response belongs to an earlier request, so nothing on this connection can be trusted.
        return AttemptReport::new(
            AttemptResult::Unknown("response to another request".into()),
            Completion::Failed,
        );
    }
    let feedback = take_feedback(node, upstream, &mut parts);
    let not_run = is_refusal(node, &parts);
    let signed = parts.headers.contains_key(&names.signature);
    let status = parts.status;
    let may_stream = status.is_success() && signed;
    let stream_until = may_stream.then_some(deadlines.response);
    let received = receive(node, &upstream.id, parts, incoming, conn, stream_until).await;
    let (res, stream_end) = match received {
        Ok(received) => received,
        Err(e) if not_run => {
            log::debug!(upstream = &*upstream.id; "{e}");
            return AttemptReport::new(AttemptResult::NotRun("rejected"), Completion::Refused)
                .with_feedback(feedback);
        }
        Err(e) => {
            return AttemptReport::new(AttemptResult::Unknown(e.to_string()), Completion::Failed)
                .with_feedback(feedback)
                .with_broken_connection();
        }
    };
    let took_ms = started.elapsed().as_secs_f64() * 1_000.0;
    if not_run {
        let misdirected = status == StatusCode::MISDIRECTED_REQUEST;
        let completion = if misdirected { Completion::NotOwner } else { Completion::Refused };
        // The texts stay as operators search for them; `rejected` is the upstream's refusal.
        let reason = if misdirected { "not the owner" } else { "rejected" };
        return AttemptReport::new(AttemptResult::NotRun(reason), completion)
            .with_feedback(feedback);
    }
    if status.is_success() && (!signed || res.headers().contains_key(header::CONTENT_ENCODING)) {
        let result = AttemptResult::Unknown("response without the upstream's signature".into());
        return AttemptReport::new(result, Completion::Failed).with_feedback(feedback);
    }
    if status.is_server_error() {
        return AttemptReport::new(AttemptResult::ErrorResponse(res), Completion::Failed)
            .with_feedback(feedback);
    }
    let completion = Completion::Responded(took_ms);
    let report = AttemptReport::new(AttemptResult::Response(res), completion);
    AttemptReport { stream_end, ..report.with_feedback(feedback) }
}

/// Reads a response up to [`MAX_BUFFERED_RESPONSE_BYTES`] whole; a longer one that declares its length
/// is passed on while it arrives, if it may be, and must be complete at `stream_until`.
pub(crate) async fn receive(
    node: &Node,
    peer: &str,
    mut parts: response::Parts,
    body: Incoming,
    conn: PooledConnection,
    stream_until: Option<Millis>,
) -> Result<(Response<Body>, Option<oneshot::Receiver<StreamEnd>>)> {
    let will_close = parts.headers.get(header::CONNECTION).is_some_and(|v| v == "close");
    let length =
        parts.headers.get(header::CONTENT_LENGTH).and_then(|v| v.to_str().ok()?.parse().ok());
    strip_headers(&mut parts.headers);
    if let Some(deadline) = stream_until
        && length.is_some_and(|n: u64| n > MAX_BUFFERED_RESPONSE_BYTES)
    {
        let (tx, rx) = oneshot::channel();
        let peer: Arc<str> = peer.into();
        let on_end = move |bytes: u64, end: StreamEnd| {
            if end != StreamEnd::Complete {
                log::info!(peer = &*peer, bytes, end:?; "streamed response ended early");
            }
            // Nobody waits for the end of a response from another instance.
            let _ = tx.send(end);
        };
        let body = TrackedBody::new(body, conn, deadline, on_end).boxed_unsync();
        return Ok((Response::from_parts(parts, body), Some(rx)));
    }
    let max = usize::try_from(MAX_BUFFERED_RESPONSE_BYTES).unwrap_or(usize::MAX);
    let bytes = node.buffer_limit.read_body("read response", peer, body, max).await?;
    if !will_close {
        conn.return_to_pool();
    }
    Ok((Response::from_parts(parts, http::full_body(bytes)), None))
}
