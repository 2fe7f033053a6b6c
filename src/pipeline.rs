//! Where one request of a caller's connection ends and the next begins, and which may start.
//!
//! The load pattern: callers send requests on one connection without waiting for answers. Served
//! one after the other, a seventh of all requests waited behind another, one in twenty for half of
//! its latency objective.

use bytes::BytesMut;
use hyper::{
    Method, Request, Uri,
    header::{
        CONNECTION, CONTENT_LENGTH, EXPECT, HeaderName, HeaderValue, TRANSFER_ENCODING, UPGRADE,
    },
};
use std::collections::VecDeque;

/// Headers of one request that are divided; hyper's own limit.
const MAX_HEADERS: usize = 100;
/// Bytes that are read ahead of the request being served. A longer head is handed on undivided.
const AHEAD_BYTES: usize = 16 * 1024;
/// Requests of one connection that are started before the one ahead of them is answered.
const MAX_STARTED: usize = 8;

/// Hands a connection's bytes on request by request, and finds the requests behind.
#[derive(Debug, Default)]
pub struct PipelineBuffer {
    /// Bytes that were read and not handed on.
    ahead: BytesMut,
    /// Whether the connection delivers nothing more.
    ended: bool,
    /// Whether bytes are handed on as they come.
    undivided: bool,
    current: Current,
    /// Whether the last request that was looked at is the last of its connection.
    last: bool,
    /// Lengths of the requests behind the current one that were started.
    started: VecDeque<u64>,
}

/// The request whose bytes were handed on last.
#[derive(Debug, Default)]
struct Current {
    /// Its place among the connection's requests, from 1.
    place: u64,
    /// Bytes of it that are still to be handed on.
    left: u64,
    unanswered: bool,
}

impl PipelineBuffer {
    /// Returns the buffer to read into, while there is room.
    pub fn input_buf(&mut self) -> Option<&mut BytesMut> {
        (!self.ended && self.ahead.len() < AHEAD_BYTES).then_some(&mut self.ahead)
    }

    /// Notes that the connection has ended.
    pub fn on_eof(&mut self) {
        self.ended = true;
    }

    /// Notes that the current request has its answer.
    pub fn on_answer(&mut self) {
        self.current.unanswered = false;
    }

    /// Hands on at most `max` bytes; an empty slice at the end of the connection, nothing while the
    /// current request awaits its answer or more must be read.
    pub fn take_bytes(&mut self, max: usize) -> Option<BytesMut> {
        self.begin_next();
        let left = if self.undivided { u64::MAX } else { self.current.left };
        let count = self.ahead.len().min(max).min(usize::try_from(left).unwrap_or(usize::MAX));
        let is_end = self.ended && self.ahead.is_empty() && (left > 0 || !self.current.unanswered);
        self.current.left = self.current.left.saturating_sub(count as u64);
        (count > 0 || is_end).then(|| self.ahead.split_to(count))
    }

    fn begin_next(&mut self) {
        let busy = self.current.left > 0 || self.current.unanswered;
        if busy || self.undivided || self.ahead.is_empty() {
            return;
        }
        if let Some(len) = self.started.pop_front() {
            self.begin(len);
            return;
        }
        match next(&self.ahead) {
            Next::Whole { len, last, .. } => {
                self.last = last;
                self.begin(len);
            }
            Next::Incomplete if !self.ended && self.ahead.len() < AHEAD_BYTES => {}
            Next::Incomplete | Next::Undivided => self.undivided = true,
        }
    }

    fn begin(&mut self, len: u64) {
        self.current = Current { place: self.current.place + 1, left: len, unanswered: true };
    }

    /// Returns the next request that may start before the current one has its answer, with its
    /// place among the connection's requests, and counts it as started.
    pub fn start_next_request(&mut self) -> Option<(u64, Request<()>)> {
        let busy = self.current.unanswered && self.current.left == 0;
        if !busy || self.undivided || self.last || self.started.len() >= MAX_STARTED {
            return None;
        }
        let before = usize::try_from(self.started.iter().sum::<u64>()).ok()?;
        let rest = self.ahead.get(before..).filter(|rest| !rest.is_empty())?;
        let Next::Whole { len, has_body: false, last } = next(rest) else {
            return None;
        };
        let req = early(rest)?;
        self.last = last;
        self.started.push_back(len);
        Some((self.current.place + self.started.len() as u64, req))
    }

    /// Returns the bytes that were read and not handed on.
    #[must_use]
    pub fn buffered_len(&self) -> usize {
        self.ahead.len()
    }

    /// Returns the place of the current request among the connection's requests.
    #[must_use]
    pub fn request_number(&self) -> u64 {
        self.current.place
    }

    /// Returns whether the current request awaits its answer.
    #[must_use]
    pub fn is_unanswered(&self) -> bool {
        self.current.unanswered
    }

    /// Returns whether the caller has closed the connection before the current request's answer.
    #[must_use]
    pub fn is_disconnected(&self) -> bool {
        self.ended && self.current.unanswered
    }

    /// Returns whether requests behind the current one were started.
    #[must_use]
    pub fn has_started_early(&self) -> bool {
        !self.started.is_empty()
    }
}

/// The first request in a connection's unread bytes.
#[derive(Debug, PartialEq, Eq)]
enum Next {
    /// Its head is not complete.
    Incomplete,
    /// A request of `len` bytes, body included.
    Whole {
        len: u64,
        /// Whether it has a body.
        has_body: bool,
        /// Whether the connection ends with its answer.
        last: bool,
    },
    /// It cannot be told here where the request ends.
    Undivided,
}

/// Looks for the first request in `buf`.
fn next(buf: &[u8]) -> Next {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut parsed = httparse::Request::new(&mut headers);
    let head_len = match parsed.parse(buf) {
        Ok(httparse::Status::Complete(len)) => len as u64,
        Ok(httparse::Status::Partial) => return Next::Incomplete,
        Err(_) => return Next::Undivided,
    };
    let Some(body_len) = body_len(&parsed) else {
        return Next::Undivided;
    };
    let last = values(&parsed, &CONNECTION).any(|v| has_token(v, "close"));
    Next::Whole { len: head_len + body_len, has_body: body_len > 0, last }
}

/// Returns the request that starts `buf`, if it can be served before the ones ahead of it are
/// answered; it has no body.
fn early(buf: &[u8]) -> Option<Request<()>> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut parsed = httparse::Request::new(&mut headers);
    parsed.parse(buf).ok()?;
    let method: Method = parsed.method?.parse().ok()?;
    let mut req = Request::new(());
    *req.method_mut() = (method == Method::GET).then_some(method)?;
    *req.uri_mut() = parsed.path?.parse::<Uri>().ok()?;
    for header in parsed.headers.iter() {
        let name = HeaderName::from_bytes(header.name.as_bytes()).ok()?;
        req.headers_mut().append(name, HeaderValue::from_bytes(header.value).ok()?);
    }
    Some(req)
}

/// Returns the values of a request's headers of one name.
fn values<'a>(
    req: &'a httparse::Request<'_, '_>,
    name: &'a HeaderName,
) -> impl Iterator<Item = &'a str> {
    let named = req.headers.iter().filter(|h| h.name.eq_ignore_ascii_case(name.as_str()));
    // One that is no text matches nothing that is looked for.
    named.map(|h| std::str::from_utf8(h.value).unwrap_or_default())
}

/// Returns the length of a request's body in bytes, if it is told in advance and only once.
fn body_len(req: &httparse::Request<'_, '_>) -> Option<u64> {
    let open = [TRANSFER_ENCODING, EXPECT, UPGRADE];
    if req.version != Some(1) || open.iter().any(|name| values(req, name).next().is_some()) {
        return None;
    }
    let mut lens = values(req, &CONTENT_LENGTH);
    match (lens.next(), lens.next()) {
        (None, _) => Some(0),
        (Some(len), None) if len.bytes().all(|b| b.is_ascii_digit()) => len.parse().ok(),
        _ => None,
    }
}

fn has_token(text: &str, token: &str) -> bool {
    text.split(',').any(|t| t.trim().eq_ignore_ascii_case(token))
}
