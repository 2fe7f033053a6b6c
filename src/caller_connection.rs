//! Serves one HTTP/1 connection of a caller of `mulberryspur-platform`: starts pipelined requests
//! early and, when the instance stops, closes the connection without losing requests.
//!
//! When an instance stops, its readiness fails, so that the platform's load balancer sends no new
//! connections. Keep-alive connections are served on until the balancer has noticed, and are then
//! closed.

use crate::{
    caller_stream::{CallerStream, PipelineHandle, split},
    clock::{Millis, boot_millis},
    http::{self, Body},
    node::Node,
    request_handler::{self, Origin},
};
use hyper::{
    Request, Response, StatusCode,
    body::Incoming,
    http::request::Parts,
    server::conn::http1::{Builder, Connection},
    service::{HttpService, service_fn},
};
use hyper_util::rt::{TokioIo, TokioTimer};
use std::{
    cell::{Cell, RefCell},
    collections::VecDeque,
    convert::Infallible,
    future::poll_fn,
    net::IpAddr,
    pin::Pin,
    rc::Rc,
    task::{Context, Poll},
    time::Duration,
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
};
use tokio_util::task::AbortOnDropHandle;

/// Time in milliseconds from the failing of readiness to the closing of keep-alive connections:
/// the balancer checks once a second and takes an instance out after two failures.
pub(crate) const READINESS_NOTICE_MS: Millis = 2_200;
/// Time in milliseconds over which keep-alive connections are closed, as closing hundreds at once
/// keeps a small instance busy. All are closed within 3 s of the signal: requests that arrive later
/// may not end before the process does.
const CLOSE_SPREAD_MS: Millis = 700;
/// Idle timeout of connections while the configuration is not known.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(20);
/// Largest head of a request in bytes.
const MAX_HEAD_BYTES: usize = 64 * 1024;
/// Time for a caller to read the last response and close its side.
const MAX_LINGER: Duration = Duration::from_millis(800);
/// Time until the connection is closed once a request has arrived while it was being closed: a
/// round trip, and half of the time after which the request would count as lost.
const LINGER_AFTER_LATE_REQUEST: Duration = Duration::from_millis(60);

thread_local! {
    /// Open connections from callers; the process serves all of them on one thread.
    static OPEN_CONNECTIONS: Cell<usize> = const { Cell::new(0) };
}

/// Returns the number of open connections from callers.
pub(crate) fn open_count() -> usize {
    OPEN_CONNECTIONS.get()
}

/// A pipelined request that was started before the one ahead of it had its response.
struct EarlyRequest {
    /// Its number on the connection.
    number: u64,
    head: Parts,
    response: AbortOnDropHandle<Response<Body>>,
}

/// Serves the requests of one connection.
struct ConnectionRequests {
    node: Rc<Node>,
    caller: IpAddr,
    pipeline_handle: PipelineHandle,
    /// Early requests whose turn has not come, in order.
    early: RefCell<VecDeque<EarlyRequest>>,
}

impl ConnectionRequests {
    /// Returns the response to the request that hyper has read, which may have been started early.
    async fn serve(&self, req: Request<Incoming>) -> Response<Body> {
        let res = if let Some(started) = self.take_early_request(&req) {
            started.response.await.unwrap_or_else(|e| {
                log::error!("task of an early request failed: {e}");
                http::response(StatusCode::BAD_GATEWAY, "request broke off")
            })
        } else {
            let (head, body) = req.into_parts();
            let origin = Origin::Caller(self.caller);
            request_handler::handle(self.node.clone(), origin, head, Some(body)).await
        };
        self.pipeline_handle.pipeline().on_response();
        res
    }

    /// Returns the request that hyper has read, if it was started early.
    fn take_early_request(&self, req: &Request<Incoming>) -> Option<EarlyRequest> {
        let number = self.pipeline_handle.pipeline().request_number();
        let mut early = self.early.borrow_mut();
        if early.front()?.number > number {
            return None;
        }
        let started = early.pop_front()?;
        let matches = started.number == number
            && started.head.uri == *req.uri()
            && started.head.headers == *req.headers();
        if !matches {
            log::error!(path = req.uri().path(); "early request differs from the one hyper read");
        }
        matches.then_some(started)
    }

    /// Starts pipelined requests behind the one that is being served.
    fn start_early_requests(&self) {
        loop {
            let next = self.pipeline_handle.pipeline().start_next_request();
            let Some((number, req)) = next else {
                return;
            };
            let (head, ()) = req.into_parts();
            let node = self.node.clone();
            let origin = Origin::Caller(self.caller);
            let response = request_handler::handle(node, origin, head.clone(), None);
            let response = AbortOnDropHandle::new(tokio::task::spawn_local(response));
            self.early.borrow_mut().push_back(EarlyRequest { number, head, response });
        }
    }

    /// Drives the connection until it ends; with `closing`, it ends after the current request and
    /// those that were started early. Ready with `None` once the caller has disconnected before the
    /// response to the current request.
    fn poll<S>(
        &self,
        conn: &mut Connection<TokioIo<CallerStream>, S>,
        closing: bool,
        cx: &mut Context<'_>,
    ) -> Poll<Option<hyper::Result<()>>>
    where
        S: HttpService<Incoming, ResBody = Body> + Unpin,
        S::Error: Into<http::BodyError>,
        S::Future: Unpin,
    {
        if closing && !self.pipeline_handle.pipeline().has_started_early() {
            Pin::new(&mut *conn).graceful_shutdown();
        }
        match conn.poll_without_shutdown(cx) {
            // Hyper does not wait until the last bytes of a response have been written.
            Poll::Ready(Ok(())) if self.pipeline_handle.write_blocked() => return Poll::Pending,
            Poll::Ready(ended) => return Poll::Ready(Some(ended)),
            Poll::Pending => {}
        }
        if self.pipeline_handle.has_disconnected(cx) {
            return Poll::Ready(None);
        }
        if self.node.stopping_since.get().is_none() {
            self.start_early_requests();
        }
        Poll::Pending
    }
}

/// Serves a caller's connection until it ends or the instance stops.
pub(crate) async fn serve(node: Rc<Node>, caller: IpAddr, stream: TcpStream) {
    OPEN_CONNECTIONS.set(OPEN_CONNECTIONS.get() + 1);
    let idle_timeout = node
        .routing_config()
        .map_or(DEFAULT_IDLE_TIMEOUT, |c| Duration::from_millis(c.limits.idle_ms));
    let (stream, pipeline_handle) = split(stream);
    let requests = ConnectionRequests {
        node: node.clone(),
        caller,
        pipeline_handle,
        early: RefCell::default(),
    };
    let requests = Rc::new(requests);
    let handler = requests.clone();
    let service = service_fn(move |req: Request<Incoming>| {
        let handler = handler.clone();
        Box::pin(async move { Ok::<_, Infallible>(handler.serve(req).await) })
    });
    let mut conn = Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(idle_timeout)
        .max_buf_size(MAX_HEAD_BYTES)
        .serve_connection(TokioIo::new(stream), service);
    let ended = tokio::select! {
        // The end of the notice is polled first, so that nothing is read from a connection made
        // after it.
        biased;
        () = notice_elapsed(&node) => None,
        ended = poll_fn(|cx| requests.poll(&mut conn, false, cx)) => Some(ended),
    };
    // Also holds while the body of a response is being sent, and always once the pipeline hands all
    // bytes on as they come.
    let no_response_awaited = !requests.pipeline_handle.pipeline().awaits_response();
    let ended = match ended {
        Some(ended) => ended,
        None => poll_fn(|cx| requests.poll(&mut conn, true, cx)).await,
    };
    match ended {
        // Closed without lingering: a request that arrives while the connection is being closed
        // stays unread, which resets the connection, so its caller knows that it has not run.
        Some(Ok(())) if no_response_awaited => {}
        Some(Ok(())) => {
            let stream = conn.into_parts().io.into_inner();
            drop(requests);
            if let Some(stream) = stream.into_inner() {
                linger(stream).await;
            }
        }
        Some(Err(e)) => log::debug!("connection from caller: {e}"),
        None => log::debug!("caller disconnected before its response"),
    }
    OPEN_CONNECTIONS.set(OPEN_CONNECTIONS.get() - 1);
}

/// Closes a connection so that the last response arrives: closing with unread bytes would reset it.
///
/// A request that arrives meanwhile gets no response, which its caller must notice soon.
async fn linger(mut stream: TcpStream) {
    let mut rest = [0; 1024];
    let first = async {
        stream.shutdown().await?;
        stream.read(&mut rest).await
    };
    let late_request = match tokio::time::timeout(MAX_LINGER, first).await {
        Ok(Ok(bytes)) => bytes > 0,
        Ok(Err(e)) => {
            log::debug!("close connection from caller: {e}");
            false
        }
        Err(_) => false,
    };
    if late_request {
        tokio::time::sleep(LINGER_AFTER_LATE_REQUEST).await;
    }
}

/// Waits until the instance is stopping and the balancer has had time to notice that it is not
/// ready.
pub(crate) async fn notice_elapsed(node: &Rc<Node>) {
    let notice = READINESS_NOTICE_MS + rand::random_range(0..CLOSE_SPREAD_MS);
    loop {
        let remaining =
            node.stopping_since.get().map(|at| (at + notice).saturating_sub(boot_millis()));
        match remaining {
            Some(0) => return,
            Some(ms) => tokio::time::sleep(Duration::from_millis(ms)).await,
            None => node.stop_requested().await,
        }
    }
}
