//! Bodies of requests and responses that are passed on, for mulberryd and mulberryspur-platform.

use crate::{
    clock::Millis,
    http::{self, Body, BodyError},
    pool::PooledConnection,
};
use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::{Body as _, Frame, Incoming, SizeHint};
use std::{
    pin::Pin,
    task::{Context, Poll},
};

/// Time limit in milliseconds for a caller to send a body that is buffered.
const READ_TIMEOUT_MS: Millis = 10_000;

/// Body of a request: a short one is buffered for further attempts, others are streamed once.
#[derive(Debug)]
pub(crate) enum RequestBody {
    Buffered(Bytes),
    Streamed(Option<Body>),
}

impl RequestBody {
    /// Returns the body of a request that has none.
    pub fn empty() -> Self {
        Self::Buffered(Bytes::new())
    }

    /// Buffers the body if its declared length is at most `max_bytes`; else it will be streamed.
    pub async fn read(body: Incoming, max_bytes: u64) -> crate::Result<Self> {
        if body.is_end_stream() {
            return Ok(Self::Buffered(Bytes::new()));
        }
        let exact = body.size_hint().exact();
        if exact.is_none_or(|n| n > max_bytes) {
            return Ok(Self::Streamed(Some(body.map_err(Into::into).boxed_unsync())));
        }
        let max = usize::try_from(max_bytes).unwrap_or(usize::MAX);
        let read = http::read_body("read request body", "caller", body, max);
        let timeout = std::time::Duration::from_millis(READ_TIMEOUT_MS);
        let timed_out = |_| crate::Error::invalid("read request body", "not received in time");
        tokio::time::timeout(timeout, read).await.map_err(timed_out)?.map(Self::Buffered)
    }

    /// Returns the whole body, if it is buffered.
    pub fn bytes(&self) -> Option<Bytes> {
        match self {
            Self::Buffered(bytes) => Some(bytes.clone()),
            Self::Streamed(_) => None,
        }
    }

    /// Returns whether the body can be sent for the first time or again.
    pub fn can_resend(&self) -> bool {
        !matches!(self, Self::Streamed(None))
    }

    /// Returns the body for one attempt.
    pub fn take(&mut self) -> Body {
        match self {
            Self::Buffered(bytes) => http::full_body(bytes.clone()),
            Self::Streamed(body) => body.take().unwrap_or_else(|| http::full_body("")),
        }
    }

    /// Puts back a taken body of which nothing was sent.
    pub fn restore(&mut self, body: Body) {
        if let Self::Streamed(streamed) = self {
            *streamed = Some(body);
        }
    }
}

/// Body of a response that holds its connection until the end and then reports how it ended.
pub(crate) struct TrackedBody {
    body: Incoming,
    conn: Option<PooledConnection>,
    on_end: Option<Box<dyn FnOnce(u64, bool) + Send>>,
    bytes: u64,
}

impl TrackedBody {
    /// Wraps a body; `on_end` gets the bytes passed on and whether the body was complete.
    pub fn new(
        body: Incoming,
        conn: PooledConnection,
        on_end: impl FnOnce(u64, bool) + Send + 'static,
    ) -> Self {
        let mut tracked = Self { body, conn: Some(conn), on_end: Some(Box::new(on_end)), bytes: 0 };
        if tracked.body.is_end_stream() {
            tracked.end(true);
        }
        tracked
    }

    fn end(&mut self, complete: bool) {
        if let Some(conn) = self.conn.take().filter(|_| complete) {
            conn.return_to_pool();
        }
        if let Some(on_end) = self.on_end.take() {
            on_end(self.bytes, complete);
        }
    }
}

impl hyper::body::Body for TrackedBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        let frame = futures::ready!(Pin::new(&mut self.body).poll_frame(cx));
        match &frame {
            Some(Ok(f)) => {
                let len = f.data_ref().map_or(0, |d| d.len() as u64);
                self.bytes += len;
                if self.body.is_end_stream() {
                    self.end(true);
                }
            }
            Some(Err(_)) => self.end(false),
            None => self.end(true),
        }
        Poll::Ready(frame.map(|f| f.map_err(Into::into)))
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

impl Drop for TrackedBody {
    fn drop(&mut self) {
        self.end(false);
    }
}
