//! One caller's connection: its requests, and its end.

use crate::{
    caller_stream::{CallerStream, PipelineHandle, split},
    clock::{Millis, boot_millis},
    http::{self, Body},
    node::Node,
    request_handler,
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

/// Time in milliseconds from falling readiness to closing kept connections: the balancer asks once
/// a second and takes an instance out after two misses.
pub(crate) const READINESS_NOTICE_MS: Millis = 2_200;
/// Time in milliseconds over which kept connections are closed, as closing hundreds at once keeps a
/// small instance busy. All are closed within 3 s of the signal: requests that come later may
/// outlast the process.
const CLOSE_SPREAD_MS: Millis = 700;
/// Time for which an idle connection is kept before the configuration is known.
const DEFAULT_IDLE: Duration = Duration::from_secs(20);
/// Bytes of a request's head that are read at most.
const HEAD_BYTES: usize = 64 * 1024;
/// Time for a caller to take the last answer and close.
const LINGER: Duration = Duration::from_millis(800);
/// The same once a request has crossed the close: a round trip, and half of the time after which
/// the request would count as lost.
const LINGER_CROSSED: Duration = Duration::from_millis(60);

thread_local! {
    /// Open connections from callers of the daemon, which runs on one thread.
    static OPEN: Cell<usize> = const { Cell::new(0) };
}

/// Returns the open connections from callers.
pub(crate) fn open_count() -> usize {
    OPEN.get()
}

/// A request that was started before the one ahead of it had its answer.
struct Started {
    place: u64,
    head: Parts,
    answer: AbortOnDropHandle<Response<Body>>,
}

/// The requests of one connection.
struct Requests {
    node: Rc<Node>,
    behind: PipelineHandle,
    started: RefCell<VecDeque<Started>>,
}

impl Requests {
    /// Serves the request that hyper has read.
    async fn serve(&self, req: Request<Incoming>) -> Response<Body> {
        let res = if let Some(started) = self.take_started(&req) {
            started.answer.await.unwrap_or_else(|e| {
                log::error!("request ended without an answer: {e}");
                http::response(StatusCode::BAD_GATEWAY, "request broke off")
            })
        } else {
            let (head, body) = req.into_parts();
            request_handler::handle(self.node.clone(), head, Some(body)).await
        };
        self.behind.pipeline().on_answer();
        res
    }

    fn take_started(&self, req: &Request<Incoming>) -> Option<Started> {
        let place = self.behind.pipeline().request_number();
        let mut waiting = self.started.borrow_mut();
        if waiting.front()?.place > place {
            return None;
        }
        let started = waiting.pop_front()?;
        let same = started.place == place
            && started.head.uri == *req.uri()
            && started.head.headers == *req.headers();
        if !same {
            log::error!(path = req.uri().path(); "another request was started than hyper has read");
        }
        same.then_some(started)
    }

    /// Starts the requests that wait behind the one that is served.
    fn start_all(&self) {
        loop {
            let next = self.behind.pipeline().start_next_request();
            let Some((place, req)) = next else {
                return;
            };
            let (head, ()) = req.into_parts();
            let answer = request_handler::handle(self.node.clone(), head.clone(), None);
            let answer = AbortOnDropHandle::new(tokio::task::spawn_local(answer));
            self.started.borrow_mut().push_back(Started { place, head, answer });
        }
    }

    /// Serves the connection until it ends, which is soon where it is to close; ready with nothing
    /// once the caller has left.
    fn poll<S>(
        &self,
        conn: &mut Connection<TokioIo<CallerStream>, S>,
        to_close: bool,
        cx: &mut Context<'_>,
    ) -> Poll<Option<hyper::Result<()>>>
    where
        S: HttpService<Incoming, ResBody = Body> + Unpin,
        S::Error: Into<http::BodyError>,
        S::Future: Unpin,
    {
        if to_close && !self.behind.pipeline().has_started_early() {
            Pin::new(&mut *conn).graceful_shutdown();
        }
        match conn.poll_without_shutdown(cx) {
            // Hyper does not wait until the end of an answer has been written.
            Poll::Ready(Ok(())) if self.behind.write_blocked() => return Poll::Pending,
            Poll::Ready(ended) => return Poll::Ready(Some(ended)),
            Poll::Pending => {}
        }
        if self.behind.has_disconnected(cx) {
            return Poll::Ready(None);
        }
        if self.node.stopping_since.get().is_none() {
            self.start_all();
        }
        Poll::Pending
    }
}

/// Serves a caller's connection until it ends or the instance stops.
pub(crate) async fn serve(node: Rc<Node>, stream: TcpStream) {
    OPEN.set(OPEN.get() + 1);
    let idle =
        node.routing_config().map_or(DEFAULT_IDLE, |c| Duration::from_millis(c.limits.idle_ms));
    let (stream, behind) = split(stream);
    let requests = Requests { node: node.clone(), behind, started: RefCell::default() };
    let requests = Rc::new(requests);
    let handler = requests.clone();
    let service = service_fn(move |req: Request<Incoming>| {
        let handler = handler.clone();
        Box::pin(async move { Ok::<_, Infallible>(handler.serve(req).await) })
    });
    let mut conn = Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(idle)
        .max_buf_size(HEAD_BYTES)
        .serve_connection(TokioIo::new(stream), service);
    let ended = tokio::select! {
        // First, so that nothing is read from a connection that comes after the notice.
        biased;
        () = notice_over(&node) => None,
        ended = poll_fn(|cx| requests.poll(&mut conn, false, cx)) => Some(ended),
    };
    let was_idle = !requests.behind.pipeline().is_unanswered();
    let ended = match ended {
        Some(ended) => ended,
        None => poll_fn(|cx| requests.poll(&mut conn, true, cx)).await,
    };
    match ended {
        // A request that crosses the close of an idle connection stays unread, so its caller knows
        // that it has not run.
        Some(Ok(())) if was_idle => {}
        Some(Ok(())) => {
            let stream = conn.into_parts().io.into_inner();
            drop(requests);
            if let Some(stream) = stream.into_inner() {
                linger(stream).await;
            }
        }
        Some(Err(e)) => log::debug!("connection from a caller: {e}"),
        None => log::debug!("caller left before its request was answered"),
    }
    OPEN.set(OPEN.get() - 1);
}

/// Closes a connection so that the last answer arrives: closing with unread bytes would reset it.
///
/// A request that crosses the close is not answered, so its sender must learn of that soon.
async fn linger(mut stream: TcpStream) {
    let mut rest = [0; 1024];
    let first = async {
        stream.shutdown().await?;
        stream.read(&mut rest).await
    };
    let crossed = match tokio::time::timeout(LINGER, first).await {
        Ok(Ok(bytes)) => bytes > 0,
        Ok(Err(e)) => {
            log::debug!("close a connection from a caller: {e}");
            false
        }
        Err(_) => false,
    };
    if crossed {
        tokio::time::sleep(LINGER_CROSSED).await;
    }
}

/// Waits until the balancer has had time to notice that the instance stops.
async fn notice_over(node: &Rc<Node>) {
    let notice = READINESS_NOTICE_MS + rand::random_range(0..CLOSE_SPREAD_MS);
    loop {
        let left = node.stopping_since.get().map(|at| (at + notice).saturating_sub(boot_millis()));
        match left {
            Some(0) => return,
            Some(ms) => tokio::time::sleep(Duration::from_millis(ms)).await,
            None => node.stop_requested().await,
        }
    }
}
