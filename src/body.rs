//! Bodies of requests and responses that are passed on, for mulberryd and mulberryspur-platform.

use crate::{
    clock::{Millis, boot_millis},
    http::{self, Body, BodyError},
    pool::PooledConnection,
};
use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::{Body as _, Frame, Incoming, SizeHint};
use std::{
    collections::VecDeque,
    pin::Pin,
    task::{Context, Poll},
    time::{Duration, Instant},
};
use tokio::time::Sleep;

/// Time limit in milliseconds for a caller to send a body that is buffered.
const READ_TIMEOUT_MS: Millis = 10_000;
/// Largest rest of a streamed response in bytes that is read after its deadline.
const MAX_LATE_BYTES: usize = 2 << 20;
/// Time for reading that rest, which has arrived already: the task of its connection hands it over in
/// parts.
const LATE_READ_TIMEOUT: Duration = Duration::from_millis(100);
/// Longest time in milliseconds for a streamed response, whatever its deadline: a day.
const MAX_STREAM_MS: Millis = 86_400_000;

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

type FrameResult = Option<Result<Frame<Bytes>, BodyError>>;

/// How a streamed response ended.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) enum StreamEnd {
    Complete,
    /// The connection broke off.
    Interrupted,
    /// The response was incomplete at its deadline. `upstream_late` tells that most of the time was
    /// spent waiting for the upstream, not for the caller.
    TimedOut {
        upstream_late: bool,
    },
    /// The caller left.
    Abandoned,
}

/// Body of a response that holds its connection until the end and then reports how it ended.
///
/// At its deadline, a response that waits for its caller is passed on if the rest of it has arrived,
/// however slowly the caller reads. Any other one is cut: an upstream may send without end, or fall
/// silent.
pub(crate) struct TrackedBody {
    body: Incoming,
    conn: Option<PooledConnection>,
    on_end: Option<Box<dyn FnOnce(u64, StreamEnd) + Send>>,
    bytes: u64,
    started: Instant,
    deadline: Instant,
    /// Wakes the task at the deadline, then at the end of [`LATE_READ_TIMEOUT`].
    timer: Option<Pin<Box<Sleep>>>,
    /// When the last frame was passed on, until the next one is asked for.
    passed_on_at: Option<Instant>,
    /// Time for which the caller took no further frame.
    caller_wait: Duration,
    /// The rest of the response, read after the deadline.
    rest: Option<Rest>,
    /// Until when the rest is waited for.
    late_until: Option<Instant>,
}

/// What has been read of a response after its deadline.
#[derive(Debug, Default)]
struct Rest {
    frames: VecDeque<Frame<Bytes>>,
    bytes: usize,
    complete: bool,
}

impl TrackedBody {
    /// Wraps a body that must be complete at `deadline`; `on_end` gets the bytes passed on and how the
    /// response ended.
    pub fn new(
        body: Incoming,
        conn: PooledConnection,
        deadline: Millis,
        on_end: impl FnOnce(u64, StreamEnd) + Send + 'static,
    ) -> Self {
        let started = Instant::now();
        let time_left = deadline.saturating_sub(boot_millis()).min(MAX_STREAM_MS);
        let mut tracked = Self {
            body,
            conn: Some(conn),
            on_end: Some(Box::new(on_end)),
            bytes: 0,
            started,
            deadline: started + Duration::from_millis(time_left),
            timer: None,
            passed_on_at: None,
            caller_wait: Duration::ZERO,
            rest: None,
            late_until: None,
        };
        if tracked.body.is_end_stream() {
            tracked.end(StreamEnd::Complete);
        }
        tracked
    }

    fn end(&mut self, end: StreamEnd) {
        if let Some(conn) = self.conn.take().filter(|_| end == StreamEnd::Complete) {
            conn.return_to_pool();
        }
        if let Some(on_end) = self.on_end.take() {
            on_end(self.bytes, end);
        }
    }

    /// Returns whether most of the time was spent waiting for the upstream, not for the caller.
    fn is_upstream_late(&self) -> bool {
        self.caller_wait * 2 < self.started.elapsed()
    }

    /// Cuts the response; its connection is closed when the body is dropped.
    fn time_out(&mut self) -> Poll<FrameResult> {
        let upstream_late = self.is_upstream_late();
        self.end(StreamEnd::TimedOut { upstream_late });
        Poll::Ready(Some(Err("response incomplete at its deadline".into())))
    }

    /// Waits until `at`.
    fn poll_timer(&mut self, at: Instant, cx: &mut Context<'_>) -> Poll<()> {
        let at = at.into();
        let timer = self.timer.get_or_insert_with(|| Box::pin(tokio::time::sleep_until(at)));
        if timer.deadline() != at {
            timer.as_mut().reset(at);
        }
        timer.as_mut().poll(cx)
    }

    /// Passes on the next frame that arrives before the deadline; `None` at the deadline.
    fn poll_in_time(&mut self, cx: &mut Context<'_>) -> Poll<Option<FrameResult>> {
        if Instant::now() >= self.deadline {
            return Poll::Ready(None);
        }
        match Pin::new(&mut self.body).poll_frame(cx) {
            Poll::Ready(frame) => Poll::Ready(Some(frame.map(|f| f.map_err(Into::into)))),
            Poll::Pending => self.poll_timer(self.deadline, cx).map(|()| None),
        }
    }

    /// Reads the rest of the response after the deadline, and passes it on if all of it has arrived.
    fn poll_rest(&mut self, cx: &mut Context<'_>) -> Poll<FrameResult> {
        if self.rest.is_none() && self.is_upstream_late() {
            return self.time_out();
        }
        let mut rest = self.rest.take().unwrap_or_default();
        while !rest.complete {
            match Pin::new(&mut self.body).poll_frame(cx) {
                Poll::Ready(Some(Ok(f))) => {
                    rest.bytes += f.data_ref().map_or(0, Bytes::len);
                    rest.frames.push_back(f);
                    rest.complete = self.body.is_end_stream();
                    if rest.bytes > MAX_LATE_BYTES {
                        return self.time_out();
                    }
                }
                Poll::Ready(Some(Err(e))) => return Poll::Ready(Some(Err(e.into()))),
                Poll::Ready(None) => rest.complete = true,
                Poll::Pending => {
                    let until =
                        *self.late_until.get_or_insert_with(|| Instant::now() + LATE_READ_TIMEOUT);
                    self.rest = Some(rest);
                    futures::ready!(self.poll_timer(until, cx));
                    return self.time_out();
                }
            }
        }
        let frame = rest.frames.pop_front();
        self.rest = Some(rest);
        Poll::Ready(frame.map(Ok))
    }
}

impl hyper::body::Body for TrackedBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<FrameResult> {
        if let Some(at) = self.passed_on_at.take() {
            self.caller_wait += at.elapsed();
        }
        let in_time = match self.rest {
            None => futures::ready!(self.poll_in_time(cx)),
            Some(_) => None,
        };
        let frame = match in_time {
            Some(frame) => frame,
            None => futures::ready!(self.poll_rest(cx)),
        };
        match &frame {
            Some(Ok(f)) => {
                self.bytes += f.data_ref().map_or(0, |d| d.len() as u64);
                self.passed_on_at = Some(Instant::now());
                if self.is_end_stream() {
                    self.end(StreamEnd::Complete);
                }
            }
            Some(Err(_)) => self.end(StreamEnd::Interrupted),
            None => self.end(StreamEnd::Complete),
        }
        Poll::Ready(frame)
    }

    fn is_end_stream(&self) -> bool {
        let passed_on = |rest: &Rest| rest.complete && rest.frames.is_empty();
        self.rest.as_ref().map_or_else(|| self.body.is_end_stream(), passed_on)
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

impl Drop for TrackedBody {
    fn drop(&mut self) {
        self.end(StreamEnd::Abandoned);
    }
}
