//! The listeners of `mulberryspur-platform`: for callers, and for the readiness check of the
//! platform's load balancer, which spreads callers' connections over the instances.

use crate::{
    caller_connection,
    clock::{Millis, boot_millis},
    error::Result,
    http::{self, Body},
    node::Node,
    peer_listener,
};
use hyper::{Request, Response, StatusCode, body::Incoming, service::service_fn};
use hyper_util::rt::{TokioIo, TokioTimer};
use std::{convert::Infallible, net::SocketAddr, rc::Rc, time::Duration};
use tokio::net::{TcpListener, TcpStream};

/// The process exits this many milliseconds before the end of the grace period, when it would be
/// killed.
const EXIT_MARGIN_MS: Millis = 400;
/// Time in milliseconds before the exit at which requests that are still open are answered.
const LAST_RESPONSE_MARGIN_MS: Millis = 150;
/// Time until `accept` is called again after an error, and between checks for open connections.
const RETRY_INTERVAL: Duration = Duration::from_millis(10);

/// Binds both addresses and starts to serve them.
pub(crate) async fn start(node: &Rc<Node>) -> Result<()> {
    let callers = http::bind("listen for callers", node.cfg.caller_address).await?;
    let readiness = http::bind("listen for the balancer", node.cfg.ready_address).await?;
    let caller_node = node.clone();
    tokio::task::spawn_local(accept(callers, move |stream, addr| {
        let serving = caller_connection::serve(caller_node.clone(), addr.ip(), stream);
        tokio::task::spawn_local(serving);
    }));
    let balancer_node = node.clone();
    tokio::task::spawn_local(accept(readiness, move |stream, _| {
        tokio::task::spawn_local(serve_ready(balancer_node.clone(), stream));
    }));
    Ok(())
}

async fn accept(listener: TcpListener, serve_stream: impl Fn(TcpStream, SocketAddr)) {
    loop {
        match listener.accept().await {
            Ok((stream, addr)) => {
                if let Err(e) = stream.set_nodelay(true) {
                    log::debug!("set no-delay ({addr}): {e}");
                }
                serve_stream(stream, addr);
            }
            Err(e) => {
                log::warn!("accept: {e}");
                tokio::time::sleep(RETRY_INTERVAL).await;
            }
        }
    }
}

async fn serve_ready(node: Rc<Node>, stream: TcpStream) {
    let service = service_fn(move |req: Request<Incoming>| {
        let path_matches = req.uri().path() == &*node.cfg.ready_path;
        let status = match (path_matches, node.is_ready()) {
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
        log::debug!("connection from balancer: {e}");
    }
}

/// Returns when an instance exits that got the signal to stop at `stopping_since`.
fn exit_at(node: &Node, stopping_since: Millis) -> Millis {
    stopping_since + node.cfg.grace_ms.saturating_sub(EXIT_MARGIN_MS)
}

/// Returns when requests that are still open are answered, for an instance that got the signal to stop
/// at `stopping_since`.
pub(crate) fn last_response_at(node: &Node, stopping_since: Millis) -> Millis {
    exit_at(node, stopping_since).saturating_sub(LAST_RESPONSE_MARGIN_MS)
}

/// Waits until the notice to the balancer is over and callers' connections have ended, but no
/// longer than until shortly before the process is killed. Requests that are open until then are
/// answered before.
pub(crate) async fn drain(node: &Rc<Node>) {
    let stopping_since = node.stopping_since.get().unwrap_or_else(boot_millis);
    let exit_at = exit_at(node, stopping_since);
    let last_response_at = last_response_at(node, stopping_since);
    let notice_until = stopping_since + caller_connection::READINESS_NOTICE_MS;
    loop {
        let now = boot_millis();
        let idle = caller_connection::open_count() == 0 && peer_listener::requests_in_flight() == 0;
        if now >= exit_at || now > notice_until && idle {
            break;
        }
        if now >= last_response_at {
            node.last_responses.cancel();
        }
        tokio::time::sleep(RETRY_INTERVAL).await;
    }
    if caller_connection::open_count() > 0 {
        log::warn!(connections = caller_connection::open_count(); "stopping with open connections");
    }
}
