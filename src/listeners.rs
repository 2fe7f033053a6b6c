//! The listener for callers, and the balancer's question whether the instance is ready.

use crate::{
    caller_connection,
    clock::{Millis, boot_millis},
    error::Result,
    http::{self, Body},
    node::Node,
};
use hyper::{Request, Response, StatusCode, body::Incoming, service::service_fn};
use hyper_util::rt::{TokioIo, TokioTimer};
use std::{convert::Infallible, net::SocketAddr, rc::Rc, time::Duration};
use tokio::net::{TcpListener, TcpStream};

/// Time in milliseconds before the process would be killed at which it ends by itself.
const END_MARGIN_MS: Millis = 400;
const ACCEPT_RETRY: Duration = Duration::from_millis(10);

/// Binds both addresses and starts serving.
pub(crate) async fn start(node: &Rc<Node>) -> Result<()> {
    let front = http::bind("listen for callers", node.cfg.caller_address).await?;
    let ready = http::bind("listen for the balancer", node.cfg.ready_address).await?;
    let for_callers = node.clone();
    tokio::task::spawn_local(accept(front, move |stream, _| {
        tokio::task::spawn_local(caller_connection::serve(for_callers.clone(), stream));
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

async fn serve_ready(node: Rc<Node>, stream: TcpStream) {
    let service = service_fn(move |req: Request<Incoming>| {
        let known = req.uri().path() == &*node.cfg.ready_path;
        let status = match (known, node.is_ready()) {
            (false, _) => StatusCode::NOT_FOUND,
            (true, true) => StatusCode::OK,
            (true, false) => StatusCode::SERVICE_UNAVAILABLE,
        };
        let res: Response<Body> = http::response(status, "");
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
    let began = node.stopping_since.get().unwrap_or_else(boot_millis);
    let end = began + node.cfg.grace_ms.saturating_sub(END_MARGIN_MS);
    let notice = began + caller_connection::READINESS_NOTICE_MS;
    loop {
        let now = boot_millis();
        if now >= end || now > notice && caller_connection::open_count() == 0 {
            break;
        }
        tokio::time::sleep(ACCEPT_RETRY).await;
    }
    if caller_connection::open_count() > 0 {
        log::warn!(connections = caller_connection::open_count(); "stopping with open connections");
    }
}
