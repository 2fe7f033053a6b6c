//! One attempt of a request at one upstream, and what its end proves.

use crate::{
    body::{RequestBody, TrackedBody},
    clock::Millis,
    dispatch::{Completion, LoadReport},
    http::{self, Body},
    node::Node,
    routing_config::UpstreamInfo,
};
use hyper::{
    HeaderMap, Request, Response, StatusCode, Uri, Version,
    header::{self, HeaderValue},
    http::request::Parts,
};
use std::{rc::Rc, time::Instant};

/// Bytes of an answer that are read whole before any of it is passed on, so that a broken one can
/// still be replaced; larger ones are streamed.
const WHOLE_ANSWER_BYTES: u64 = 2 << 20;

/// How an attempt ended.
pub(crate) enum AttemptResult {
    /// The upstream's own answer, to be passed on.
    Response(Response<Body>),
    /// The upstream failed the request, which has run; its answer can be passed on.
    ErrorResponse(Response<Body>),
    /// The request has not run and never will.
    NotRun(&'static str),
    /// The request may have run.
    Unknown(String),
}

/// What an attempt taught about the upstream.
pub(crate) struct AttemptReport {
    pub result: AttemptResult,
    pub completion: Completion,
    pub load: Option<LoadReport>,
}

impl AttemptReport {
    fn new(result: AttemptResult, completion: Completion) -> Self {
        Self { result, completion, load: None }
    }
}

/// Removes the headers that are not passed on; trailers are not either.
fn strip(headers: &mut HeaderMap) {
    http::strip_hop_by_hop_headers(headers);
    headers.remove(header::TE);
    headers.remove(header::TRAILER);
}

fn request(
    node: &Node,
    head: &Parts,
    member: &UpstreamInfo,
    left: Millis,
    body: Body,
) -> Request<Body> {
    let dialect = &node.adapter.header_names;
    let mut headers = head.headers.clone();
    strip(&mut headers);
    // The length follows from the body that is sent.
    headers.remove(header::EXPECT);
    headers.insert(dialect.time_left.clone(), HeaderValue::from(left));
    if let Ok(id) = HeaderValue::from_str(&member.id) {
        headers.insert(dialect.expected_upstream.clone(), id);
    }
    let mut req = Request::new(body);
    *req.method_mut() = head.method.clone();
    let path = head.uri.path_and_query().cloned();
    *req.uri_mut() = path.map(Uri::from).unwrap_or_default();
    *req.version_mut() = Version::HTTP_11;
    *req.headers_mut() = headers;
    req
}

fn load_of(node: &Node, headers: &HeaderMap) -> Option<LoadReport> {
    let text = headers.get(&node.adapter.header_names.load)?.to_str().ok()?;
    let mut numbers = text.split(',').map(|n| n.trim().parse().ok());
    let mut next = || numbers.next().flatten();
    Some(LoadReport { running: next()?, waiting: next()?, concurrency: next()? })
}

/// Sends a request to an upstream once.
pub(crate) async fn send(
    node: &Rc<Node>,
    head: &Parts,
    body: &mut RequestBody,
    member: &UpstreamInfo,
    left: Millis,
) -> AttemptReport {
    let mut lease = match node.pool.acquire(member.address).await {
        Ok(lease) => lease,
        Err(e) => {
            log::debug!(upstream = &*member.id; "{e}");
            return AttemptReport::new(
                AttemptResult::NotRun("no connection"),
                Completion::Unreachable,
            );
        }
    };
    let started = Instant::now();
    let req = request(node, head, member, left, body.take());
    let res = match lease.send(&member.id, req).await {
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
            );
        }
    };
    let (mut parts, incoming) = res.into_parts();
    let dialect = &node.adapter.header_names;
    if parts.headers.get(&dialect.request_id) != head.headers.get(&dialect.request_id) {
        // An answer to an earlier request: nothing on this connection can be trusted.
        return AttemptReport::new(
            AttemptResult::Unknown("answer to another request".into()),
            Completion::Failed,
        );
    }
    let load = load_of(node, &parts.headers);
    let closes = parts.headers.get(header::CONNECTION).is_some_and(|v| v == "close");
    let not_run = parts.headers.contains_key(&dialect.not_run)
        || parts.status == StatusCode::MISDIRECTED_REQUEST;
    let length =
        parts.headers.get(header::CONTENT_LENGTH).and_then(|v| v.to_str().ok()?.parse().ok());
    let signed = parts.headers.contains_key(&dialect.signature);
    let status = parts.status;
    strip(&mut parts.headers);
    parts.headers.remove(&dialect.load);
    if length.is_some_and(|n: u64| n > WHOLE_ANSWER_BYTES) && status.is_success() && signed {
        let took = elapsed_ms(started);
        let body = TrackedBody::new(incoming, lease, |_, _| {});
        let body = http_body_util::BodyExt::boxed_unsync(body);
        let result = AttemptResult::Response(Response::from_parts(parts, body));
        return AttemptReport { result, completion: Completion::Answered(took), load };
    }
    let max = usize::try_from(WHOLE_ANSWER_BYTES).unwrap_or(usize::MAX);
    let bytes = match http::read_body("read answer", &member.id, incoming, max).await {
        Ok(bytes) => bytes,
        Err(e) if not_run => {
            log::debug!(upstream = &*member.id; "{e}");
            return AttemptReport {
                result: AttemptResult::NotRun("rejected"),
                completion: Completion::Rejected,
                load,
            };
        }
        Err(e) => {
            let result = AttemptResult::Unknown(e.to_string());
            return AttemptReport { result, completion: Completion::Failed, load };
        }
    };
    if !closes {
        lease.return_to_pool();
    }
    let took = elapsed_ms(started);
    if not_run {
        let misdirected = status == StatusCode::MISDIRECTED_REQUEST;
        let completion = if misdirected { Completion::NotOwner } else { Completion::Rejected };
        let why = if misdirected { "not the owner" } else { "rejected" };
        return AttemptReport { result: AttemptResult::NotRun(why), completion, load };
    }
    if status.is_success() && (!signed || parts.headers.contains_key(header::CONTENT_ENCODING)) {
        let result = AttemptResult::Unknown("answer without the upstream's signature".into());
        return AttemptReport { result, completion: Completion::Failed, load };
    }
    let res = Response::from_parts(parts, http::full_body(bytes));
    if status.is_server_error() {
        return AttemptReport {
            result: AttemptResult::ErrorResponse(res),
            completion: Completion::Failed,
            load,
        };
    }
    AttemptReport {
        result: AttemptResult::Response(res),
        completion: Completion::Answered(took),
        load,
    }
}

fn elapsed_ms(since: Instant) -> f64 {
    since.elapsed().as_secs_f64() * 1_000.0
}
