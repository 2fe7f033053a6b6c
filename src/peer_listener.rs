//! Serves connections from other instances of `mulberryspur-platform`: links for gossip, requests
//! that they forward, and checks of upstreams.

use crate::{
    caller_connection,
    error::Result,
    gossip,
    http::{self, Body},
    node::Node,
    peer_forward::{CALLER_HEADER, CHECK_HEADER, SERVICE_HEADER},
    request_handler::{self, Origin},
};
use hyper::{
    HeaderMap, Request, Response, StatusCode,
    body::Incoming,
    header::{self, HeaderName},
    server::conn::http1::Builder,
    service::service_fn,
};
use hyper_util::rt::{TokioIo, TokioTimer};
use std::{cell::Cell, convert::Infallible, net::SocketAddr, rc::Rc, time::Duration};
use tokio::net::{TcpListener, TcpStream};
use tokio_tungstenite::tungstenite::handshake::derive_accept_key;

/// Time until `accept` is called again after an error.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(400);
/// Time for the head of a request; longer than other instances keep an idle connection.
const HEAD_TIMEOUT: Duration = Duration::from_secs(10);
/// Time within which an upstream that can be reached accepts a connection.
const CHECK_TIMEOUT: Duration = Duration::from_millis(250);

thread_local! {
    /// Forwarded requests that are being served; the process serves all of them on one thread.
    static REQUESTS_IN_FLIGHT: Cell<usize> = const { Cell::new(0) };
}

/// Returns the number of requests of other instances that are being served.
pub(crate) fn requests_in_flight() -> usize {
    REQUESTS_IN_FLIGHT.get()
}

/// Counts a request as in flight until it is dropped.
struct InFlight;

impl InFlight {
    fn begin() -> Self {
        REQUESTS_IN_FLIGHT.set(REQUESTS_IN_FLIGHT.get() + 1);
        Self
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        REQUESTS_IN_FLIGHT.set(REQUESTS_IN_FLIGHT.get() - 1);
    }
}

/// Binds the address for other instances and serves it.
pub(crate) async fn start(node: &Rc<Node>) -> Result<()> {
    let listener = http::bind("listen for instances", node.cfg.peer_address).await?;
    tokio::task::spawn_local(accept(node.clone(), listener));
    Ok(())
}

async fn accept(node: Rc<Node>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, addr)) => {
                if let Err(e) = stream.set_nodelay(true) {
                    log::debug!("set no-delay ({addr}): {e}");
                }
                tokio::task::spawn_local(serve_connection(node.clone(), stream, addr));
            }
            Err(e) => {
                log::warn!("accept a connection from an instance: {e}");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

async fn serve_connection(node: Rc<Node>, stream: TcpStream, addr: SocketAddr) {
    let handler_node = node.clone();
    let service = service_fn(move |req| {
        let node = handler_node.clone();
        async move { Ok::<_, Infallible>(serve(node, addr, req).await) }
    });
    let mut builder = Builder::new();
    builder.timer(TokioTimer::new()).header_read_timeout(HEAD_TIMEOUT);
    let conn = builder.serve_connection(TokioIo::new(stream), service).with_upgrades();
    tokio::pin!(conn);
    let ended = tokio::select! {
        ended = &mut conn => ended,
        () = caller_connection::notice_elapsed(&node) => {
            conn.as_mut().graceful_shutdown();
            conn.await
        }
    };
    if let Err(e) = ended {
        log::debug!(peer = addr.to_string(); "connection from an instance: {e}");
    }
}

async fn serve(node: Rc<Node>, addr: SocketAddr, req: Request<Incoming>) -> Response<Body> {
    if let Some(key) = websocket_key(&req) {
        let accept_key = derive_accept_key(key);
        tokio::task::spawn_local(gossip::serve(node, hyper::upgrade::on(req), addr));
        return switch_to_websocket(&accept_key);
    }
    if let Some(upstream) = parse_header(req.headers(), &CHECK_HEADER) {
        let reached = if reaches(upstream).await { "reached" } else { "not reached" };
        return http::response(StatusCode::OK, reached);
    }
    let Some(caller) = parse_header(req.headers(), &CALLER_HEADER) else {
        return http::response(StatusCode::BAD_REQUEST, "no caller");
    };
    let _in_flight = InFlight::begin();
    let (mut head, body) = req.into_parts();
    let service: Option<String> = parse_header(&head.headers, &SERVICE_HEADER);
    head.headers.remove(CALLER_HEADER);
    head.headers.remove(SERVICE_HEADER);
    let origin = Origin::Peer { caller, service: service.map(Into::into) };
    request_handler::handle(node, origin, head, Some(body)).await
}

fn parse_header<T: std::str::FromStr>(headers: &HeaderMap, name: &HeaderName) -> Option<T> {
    headers.get(name)?.to_str().ok()?.parse().ok()
}

/// Returns the key of the handshake if a request opens a link.
fn websocket_key(req: &Request<Incoming>) -> Option<&[u8]> {
    let upgrade = req.headers().get(header::UPGRADE)?.to_str().ok()?;
    let key = req.headers().get(header::SEC_WEBSOCKET_KEY)?;
    upgrade.eq_ignore_ascii_case("websocket").then_some(key.as_bytes())
}

fn switch_to_websocket(accept_key: &str) -> Response<Body> {
    let res = Response::builder()
        .status(StatusCode::SWITCHING_PROTOCOLS)
        .header(header::CONNECTION, "Upgrade")
        .header(header::UPGRADE, "websocket")
        .header(header::SEC_WEBSOCKET_ACCEPT, accept_key)
        .body(http::full_body(""));
    res.unwrap_or_else(|e| {
        log::error!("response to the handshake of a link: {e}");
        http::response(StatusCode::INTERNAL_SERVER_ERROR, "")
    })
}

/// Returns whether an upstream accepts a connection from this instance.
pub(crate) async fn reaches(upstream: SocketAddr) -> bool {
    let connecting = TcpStream::connect(upstream);
    matches!(tokio::time::timeout(CHECK_TIMEOUT, connecting).await, Ok(Ok(_)))
}
