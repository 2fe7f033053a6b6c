//! Splits the bytes of a caller's connection to `mulberryspur-platform` into requests, and finds
//! the pipelined ones that can be started early.
//!
//! Callers send requests on one connection without waiting for responses. When these were served
//! one after the other, a seventh of all requests waited behind another, and one in twenty for half
//! of its rule's [latency objective](crate::routing_config::Rule::objective_ms).

use bytes::BytesMut;
use hyper::{
    Method, Request, Uri,
    header::{
        CONNECTION, CONTENT_LENGTH, EXPECT, HeaderName, HeaderValue, TRANSFER_ENCODING, UPGRADE,
    },
};
use std::collections::VecDeque;

/// Most headers of a request that is parsed here; hyper's own limit.
const MAX_HEADERS: usize = 100;
/// No more bytes are read while at least this many have been read and not handed on. A head that is
/// not complete by then is handed on unparsed.
const MAX_READ_AHEAD_BYTES: usize = 16 * 1024;
/// Requests of one connection that are started before the one ahead of them has its response.
const MAX_EARLY_REQUESTS: usize = 8;

/// Buffers a connection's bytes, hands them on request by request, and finds the requests behind.
#[derive(Debug, Default)]
pub struct PipelineBuffer {
    /// Bytes that were read and not handed on.
    buf: BytesMut,
    /// Whether the connection has ended.
    eof: bool,
    /// Whether all further bytes are handed on as they come: it was not clear where a request ends,
    /// its head was too long, or the connection ended within it.
    passthrough: bool,
    current: CurrentRequest,
    /// Whether the last request that was parsed closes the connection.
    closes: bool,
    /// Lengths in bytes of the requests behind the current one that were started.
    early_lens: VecDeque<u64>,
}

/// The request whose bytes were handed on last.
#[derive(Debug, Default)]
struct CurrentRequest {
    /// Its number on the connection, from 1.
    number: u64,
    /// Bytes of it that are still to be handed on.
    remaining: u64,
    awaits_response: bool,
}

impl PipelineBuffer {
    /// Returns the buffer to read into, unless it is full or the connection has ended.
    pub fn input_buf(&mut self) -> Option<&mut BytesMut> {
        (!self.eof && self.buf.len() < MAX_READ_AHEAD_BYTES).then_some(&mut self.buf)
    }

    /// Records that the connection has ended.
    pub fn on_eof(&mut self) {
        self.eof = true;
    }

    /// Records that the head of the response to the current request is ready; its body may still
    /// have to be sent.
    pub fn on_response(&mut self) {
        self.current.awaits_response = false;
    }

    /// Takes at most `max` bytes of the current request, or of the next one once the current one
    /// has its response. Returns an empty buffer at the end of the connection, and `None` while the
    /// response is awaited or more must be read.
    pub fn take_bytes(&mut self, max: usize) -> Option<BytesMut> {
        self.begin_next_request();
        let remaining = if self.passthrough { u64::MAX } else { self.current.remaining };
        let count = self.buf.len().min(max).min(usize::try_from(remaining).unwrap_or(usize::MAX));
        let is_end =
            self.eof && self.buf.is_empty() && (remaining > 0 || !self.current.awaits_response);
        self.current.remaining = self.current.remaining.saturating_sub(count as u64);
        (count > 0 || is_end).then(|| self.buf.split_to(count))
    }

    /// Makes the next request the current one, if the current one is done.
    fn begin_next_request(&mut self) {
        let busy = self.current.remaining > 0 || self.current.awaits_response;
        if busy || self.passthrough || self.buf.is_empty() {
            return;
        }
        if let Some(len) = self.early_lens.pop_front() {
            self.begin_request(len);
            return;
        }
        match parse_next_request(&self.buf) {
            NextRequest::HeadComplete { len, closes, .. } => {
                self.closes = closes;
                self.begin_request(len);
            }
            NextRequest::Incomplete if !self.eof && self.buf.len() < MAX_READ_AHEAD_BYTES => {}
            NextRequest::Incomplete | NextRequest::UnknownLength => self.passthrough = true,
        }
    }

    fn begin_request(&mut self, len: u64) {
        self.current = CurrentRequest {
            number: self.current.number + 1,
            remaining: len,
            awaits_response: true,
        };
    }

    /// Returns the next request that may start before the current one has its response, with its
    /// number on the connection, and counts it as started.
    pub fn start_next_request(&mut self) -> Option<(u64, Request<()>)> {
        let handed_on = self.current.awaits_response && self.current.remaining == 0;
        if !handed_on
            || self.passthrough
            || self.closes
            || self.early_lens.len() >= MAX_EARLY_REQUESTS
        {
            return None;
        }
        let early_bytes = usize::try_from(self.early_lens.iter().sum::<u64>()).ok()?;
        let rest = self.buf.get(early_bytes..).filter(|rest| !rest.is_empty())?;
        let NextRequest::HeadComplete { len, has_body: false, closes } = parse_next_request(rest)
        else {
            return None;
        };
        let req = parse_early_request(rest)?;
        self.closes = closes;
        self.early_lens.push_back(len);
        Some((self.current.number + self.early_lens.len() as u64, req))
    }

    /// Returns the number of bytes that were read and not handed on.
    #[must_use]
    pub fn buffered_len(&self) -> usize {
        self.buf.len()
    }

    /// Returns the number of the current request on the connection, from 1.
    #[must_use]
    pub fn request_number(&self) -> u64 {
        self.current.number
    }

    /// Returns whether the current request awaits the head of its response; always `false` once all
    /// bytes are handed on as they come, when requests are not told apart any more.
    #[must_use]
    pub fn awaits_response(&self) -> bool {
        self.current.awaits_response
    }

    /// Returns whether the caller closed the connection before the current request's response.
    #[must_use]
    pub fn is_disconnected(&self) -> bool {
        self.eof && self.current.awaits_response
    }

    /// Returns whether requests behind the current one were started early.
    #[must_use]
    pub fn has_started_early(&self) -> bool {
        !self.early_lens.is_empty()
    }
}

/// The first request in the buffered bytes.
#[derive(Debug, PartialEq, Eq)]
enum NextRequest {
    /// Its head is not complete.
    Incomplete,
    /// Its head is complete, and it is `len` bytes long, including a body that may not have arrived
    /// yet.
    HeadComplete {
        len: u64,
        /// Whether it has a body.
        has_body: bool,
        /// Whether the connection ends with its response.
        closes: bool,
    },
    /// It is not clear where the request ends; hyper must find out.
    UnknownLength,
}

/// Parses the head of the first request in `buf`.
fn parse_next_request(buf: &[u8]) -> NextRequest {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut parsed = httparse::Request::new(&mut headers);
    let head_len = match parsed.parse(buf) {
        Ok(httparse::Status::Complete(len)) => len as u64,
        Ok(httparse::Status::Partial) => return NextRequest::Incomplete,
        Err(_) => return NextRequest::UnknownLength,
    };
    let Some(body_len) = body_len(&parsed) else {
        return NextRequest::UnknownLength;
    };
    let closes = header_values(&parsed, &CONNECTION).any(|v| has_token(v, "close"));
    NextRequest::HeadComplete { len: head_len + body_len, has_body: body_len > 0, closes }
}

/// Parses the request at the start of `buf`, which has no body. Returns `None` if it may not start
/// before the ones ahead of it have their responses: only a `GET` may.
fn parse_early_request(buf: &[u8]) -> Option<Request<()>> {
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
fn header_values<'a>(
    req: &'a httparse::Request<'_, '_>,
    name: &'a HeaderName,
) -> impl Iterator<Item = &'a str> {
    let named = req.headers.iter().filter(|h| h.name.eq_ignore_ascii_case(name.as_str()));
    // A value that is not text matches none of those that are looked for.
    named.map(|h| std::str::from_utf8(h.value).unwrap_or_default())
}

/// Returns the length of a request's body in bytes. It is `None` if the head does not settle it:
/// with `transfer-encoding`, `expect` or `upgrade`, with several or invalid lengths, or without
/// HTTP/1.1.
fn body_len(req: &httparse::Request<'_, '_>) -> Option<u64> {
    let open_ended = [TRANSFER_ENCODING, EXPECT, UPGRADE];
    if req.version != Some(1)
        || open_ended.iter().any(|name| header_values(req, name).next().is_some())
    {
        return None;
    }
    let mut lens = header_values(req, &CONTENT_LENGTH);
    match (lens.next(), lens.next()) {
        (None, _) => Some(0),
        (Some(len), None) if len.bytes().all(|b| b.is_ascii_digit()) => len.parse().ok(),
        _ => None,
    }
}

fn has_token(text: &str, token: &str) -> bool {
    text.split(',').any(|t| t.trim().eq_ignore_ascii_case(token))
}
