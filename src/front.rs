//! The listener for callers, and the balancer's question whether the instance is ready.

use crate::{
    clock::{Millis, boot_millis},
    entry,
    error::Result,
    http::{self, Body},
    node::Node,
};
use hyper::{Request, Response, StatusCode, body::Incoming, service::service_fn};
use hyper_util::rt::{TokioIo, TokioTimer};
use std::{
    cell::Cell, convert::Infallible, future::poll_fn, net::SocketAddr, pin::Pin, rc::Rc,
    time::Duration,
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
};

/// Time in milliseconds from falling readiness to closing kept connections: the balancer asks once
/// a second and takes an instance out after two misses.
const NOTICE_MS: Millis = 2_200;
/// Time in milliseconds over which kept connections are closed, as closing hundreds at once keeps a
/// small instance busy for longer than a request may go unanswered.
const CLOSE_SPREAD_MS: Millis = 1_000;
/// Time in milliseconds before the process would be killed at which it ends by itself.
const END_MARGIN_MS: Millis = 400;
/// Time for which an idle connection is kept before the configuration is known.
const DEFAULT_IDLE: Duration = Duration::from_secs(20);
/// Bytes of a request's head that are read at most.
const HEAD_BYTES: usize = 64 * 1024;
/// Time for a caller to take the last answer and close.
const LINGER: Duration = Duration::from_millis(800);
/// The same once a request has crossed the close: a round trip, and half of the time after which
/// the request would count as lost.
const LINGER_CROSSED: Duration = Duration::from_millis(60);
const ACCEPT_RETRY: Duration = Duration::from_millis(10);

thread_local! {
    /// Open connections from callers of the daemon, which runs on one thread.
    static OPEN: Cell<usize> = const { Cell::new(0) };
}

/// Binds both addresses and starts serving.
pub(crate) async fn start(node: &Rc<Node>) -> Result<()> {
    let front = http::bind("listen for callers", node.cfg.front).await?;
    let ready = http::bind("listen for the balancer", node.cfg.ready).await?;
    let for_callers = node.clone();
    tokio::task::spawn_local(accept(front, move |stream, _| {
        tokio::task::spawn_local(serve(for_callers.clone(), stream));
    }));
    let for_balancer = node.clone();
    tokio::task::spawn_local(accept(ready, move |stream, _| {
        tokio::task::spawn_local(serve_ready(for_balancer.clone(), stream));
    }));
    Ok(())
}

async fn accept(listener: TcpListener, on_stream: impl Fn(TcpStream, SocketAddr)) {
    loop {
        match listener.accept().await {
            Ok((stream, addr)) => {
                if let Err(e) = stream.set_nodelay(true) {
                    log::debug!("set no-delay ({addr}): {e}");
                }
                on_stream(stream, addr);
            }
            Err(e) => {
                log::warn!("accept: {e}");
                tokio::time::sleep(ACCEPT_RETRY).await;
            }
        }
    }
}

/// Serves a caller's connection until it ends or the instance stops.
async fn serve(node: Rc<Node>, stream: TcpStream) {
    OPEN.set(OPEN.get() + 1);
    let idle = node.catalog().map_or(DEFAULT_IDLE, |c| Duration::from_millis(c.limits.idle_ms));
    let handler = node.clone();
    let running = Rc::new(Cell::new(0u32));
    let counter = running.clone();
    let service = service_fn(move |req: Request<Incoming>| {
        let (handler, counter) = (handler.clone(), counter.clone());
        Box::pin(async move {
            counter.set(counter.get() + 1);
            let res = entry::handle(handler, req).await;
            counter.set(counter.get() - 1);
            res
        })
    });
    let mut conn = hyper::server::conn::http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(idle)
        .max_buf_size(HEAD_BYTES)
        .serve_connection(TokioIo::new(stream), service);
    let ended = tokio::select! {
        ended = poll_fn(|cx| conn.poll_without_shutdown(cx)) => Some(ended),
        () = notice_over(&node) => None,
    };
    let was_idle = running.get() == 0;
    let ended = if let Some(ended) = ended {
        ended
    } else {
        Pin::new(&mut conn).graceful_shutdown();
        poll_fn(|cx| conn.poll_without_shutdown(cx)).await
    };
    match ended {
        // A request that crosses the close of an idle connection stays unread, so its caller knows
        // that it has not run.
        Ok(()) if was_idle => {}
        Ok(()) => linger(conn.into_parts().io.into_inner()).await,
        Err(e) => log::debug!("connection from a caller: {e}"),
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
    let notice = NOTICE_MS + rand::random_range(0..CLOSE_SPREAD_MS);
    loop {
        let left = node.stopping.get().map(|at| (at + notice).saturating_sub(boot_millis()));
        match left {
            Some(0) => return,
            Some(ms) => tokio::time::sleep(Duration::from_millis(ms)).await,
            None => node.stopped().await,
        }
    }
}

async fn serve_ready(node: Rc<Node>, stream: TcpStream) {
    let service = service_fn(move |req: Request<Incoming>| {
        let known = req.uri().path() == &*node.cfg.ready_path;
        let status = match (known, node.is_ready()) {
            (false, _) => StatusCode::NOT_FOUND,
            (true, true) => StatusCode::OK,
            (true, false) => StatusCode::SERVICE_UNAVAILABLE,
        };
        let res: Response<Body> = http::answer(status, "");
        async move { Ok::<_, Infallible>(res) }
    });
    let conn = hyper::server::conn::http1::Builder::new()
        .timer(TokioTimer::new())
        .serve_connection(TokioIo::new(stream), service);
    if let Err(e) = conn.await {
        log::debug!("connection from the balancer: {e}");
    }
}

/// Lets callers' connections end, at most until the process would be killed.
pub(crate) async fn drain(node: &Rc<Node>) {
    let began = node.stopping.get().unwrap_or_else(boot_millis);
    let end = began + node.cfg.grace_ms.saturating_sub(END_MARGIN_MS);
    let notice = began + NOTICE_MS;
    loop {
        let now = boot_millis();
        if now >= end || now > notice && OPEN.get() == 0 {
            break;
        }
        tokio::time::sleep(ACCEPT_RETRY).await;
    }
    if OPEN.get() > 0 {
        log::warn!(connections = OPEN.get(); "stopping with open connections");
    }
}
