//! HTTP bodies, responses, and a server with limits and graceful shutdown, for mulberryd and
//! mulberryspur-platform.

use crate::error::{Cause, Error, Result};
use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited, combinators::UnsyncBoxBody};
use hyper::{
    HeaderMap, Request, Response, StatusCode,
    body::Incoming,
    header::{self, HeaderName},
    service::service_fn,
};
use hyper_util::{
    rt::{TokioExecutor, TokioIo, TokioTimer},
    server::{conn::auto, graceful::GracefulShutdown},
};
use std::{convert::Infallible, future::Future, net::SocketAddr, sync::Arc, time::Duration};
use tokio::{
    net::{TcpListener, TcpSocket, TcpStream},
    sync::{OwnedSemaphorePermit, Semaphore},
};
use tokio_util::sync::CancellationToken;

/// Headers that concern one connection only.
const HOP_BY_HOP_HEADERS: [HeaderName; 6] = [
    header::CONNECTION,
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
    HeaderName::from_static("keep-alive"),
];

/// Connections that the kernel accepts for a process that does not run, or is busy with others. Any
/// further one is dropped, and its caller tries again a second later.
const LISTEN_BACKLOG: u32 = 1_024;

/// Error type of streamed bodies.
pub type BodyError = Box<dyn std::error::Error + Send + Sync>;

/// A body of any origin.
pub type Body = UnsyncBoxBody<Bytes, BodyError>;

/// Limits of one listener.
#[derive(Debug, Clone, Copy)]
pub struct ListenerLimits {
    /// Largest number of open connections.
    pub max_connections: usize,
    /// Largest size of a request's headers in bytes.
    pub max_header_bytes: usize,
    /// Time limit for a peer to send the headers of a request.
    pub header_read_timeout: Duration,
    /// Time limit for requests in flight to end at shutdown.
    pub drain_timeout: Duration,
}

impl Default for ListenerLimits {
    fn default() -> Self {
        Self {
            max_connections: 1_024,
            max_header_bytes: 32 * 1024,
            header_read_timeout: Duration::from_secs(5),
            drain_timeout: Duration::from_secs(5),
        }
    }
}

/// Returns a body that holds `bytes`.
pub fn full_body(bytes: impl Into<Bytes>) -> Body {
    Full::new(bytes.into()).map_err(|e| match e {}).boxed_unsync()
}

/// Returns a response with these bytes as its body.
pub fn response(status: StatusCode, body: impl Into<Bytes>) -> Response<Body> {
    let mut res = Response::new(full_body(body));
    *res.status_mut() = status;
    res
}

/// Returns a response with a JSON body.
pub fn json_response(status: StatusCode, value: &impl serde::Serialize) -> Response<Body> {
    let body = serde_json::to_vec(value).unwrap_or_default();
    let mut res = response(status, body);
    let value = hyper::header::HeaderValue::from_static("application/json");
    res.headers_mut().insert(hyper::header::CONTENT_TYPE, value);
    res
}

/// Reads a whole body of at most `max_bytes` bytes.
///
/// # Errors
///
/// Fails if the body is longer or ends early.
pub async fn read_body<B>(
    step: &'static str,
    peer: &str,
    body: B,
    max_bytes: usize,
) -> Result<Bytes>
where
    B: hyper::body::Body,
    B::Error: Into<BodyError>,
{
    let collected = Limited::new(body, max_bytes).collect().await;
    collected
        .map(http_body_util::Collected::to_bytes)
        .map_err(|e| Error::new(step, peer, Cause::Interrupted(e.to_string())))
}

/// Serves requests until `stop` is cancelled, then lets requests in flight end.
pub async fn serve<F, Fut>(
    listener: TcpListener,
    limits: ListenerLimits,
    stop: CancellationToken,
    handler: F,
) where
    F: Fn(Request<Incoming>) -> Fut + Clone + Send + 'static,
    Fut: Future<Output = Response<Body>> + Send + 'static,
{
    let mut builder = auto::Builder::new(TokioExecutor::new());
    builder
        .http1()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.header_read_timeout)
        .max_buf_size(limits.max_header_bytes.max(8 * 1024));
    builder
        .http2()
        .timer(TokioTimer::new())
        .max_header_list_size(u32::try_from(limits.max_header_bytes).unwrap_or(u32::MAX));
    let permits = Arc::new(Semaphore::new(limits.max_connections));
    let graceful = GracefulShutdown::new();
    loop {
        let Some((stream, addr, permit)) = accept(&listener, &permits, &stop).await else {
            break;
        };
        let handler = handler.clone();
        let service = service_fn(move |mut req: Request<Incoming>| {
            req.extensions_mut().insert(addr);
            let res = handler(req);
            async move { Ok::<_, Infallible>(res.await) }
        });
        let conn = builder.serve_connection(TokioIo::new(stream), service).into_owned();
        let conn = graceful.watch(conn);
        tokio::spawn(async move {
            let _ = conn.await;
            drop(permit);
        });
    }
    drop(listener);
    let _ = tokio::time::timeout(limits.drain_timeout, graceful.shutdown()).await;
}

async fn accept(
    listener: &TcpListener,
    permits: &Arc<Semaphore>,
    stop: &CancellationToken,
) -> Option<(TcpStream, SocketAddr, OwnedSemaphorePermit)> {
    let accept_next = async {
        loop {
            let permit = permits.clone().acquire_owned().await.ok()?;
            match listener.accept().await {
                Ok((stream, addr)) => {
                    let _ = stream.set_nodelay(true);
                    return Some((stream, addr, permit));
                }
                Err(_) => tokio::time::sleep(Duration::from_millis(10)).await,
            }
        }
    };
    tokio::select! {
        () = stop.cancelled() => None,
        accepted = accept_next => accepted,
    }
}

/// Binds a listener.
///
/// # Errors
///
/// Fails if the address cannot be bound, and names it.
#[expect(clippy::unused_async, reason = "sockets can only be registered within a runtime")]
pub async fn bind(step: &'static str, addr: SocketAddr) -> Result<TcpListener> {
    let listen = || {
        let socket = if addr.is_ipv4() { TcpSocket::new_v4() } else { TcpSocket::new_v6() }?;
        socket.set_reuseaddr(true)?;
        socket.bind(addr)?;
        socket.listen(LISTEN_BACKLOG)
    };
    listen().map_err(|e: std::io::Error| {
        Error::new(step, addr.to_string(), Cause::Unreachable(e.to_string()))
    })
}

/// Removes headers that concern one connection only, including those that `Connection` names.
pub(crate) fn strip_hop_by_hop_headers(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|v| v.to_str().ok())
        .flat_map(|v| v.split(','))
        .filter_map(|n| HeaderName::from_bytes(n.trim().as_bytes()).ok())
        .collect();
    for name in named.iter().chain(&HOP_BY_HOP_HEADERS) {
        headers.remove(name);
    }
    let accepts_trailers = headers.get(header::TE).is_some_and(|v| v.as_bytes() == b"trailers");
    if !accepts_trailers {
        headers.remove(header::TE);
    }
}
