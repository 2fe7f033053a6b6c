//! Connections to HTTP servers: reuse, limits, and proof of what was not sent.

use crate::{
    collections::HashMap,
    error::{Cause, Error, Result},
    http::Body,
};
use hyper::{Request, Response, body::Incoming, client::conn::http1::SendRequest};
use hyper_util::rt::TokioIo;
use rustix::net::sockopt;
use std::{
    net::SocketAddr,
    sync::{Arc, Mutex, PoisonError},
    time::{Duration, Instant},
};
use tokio::{net::TcpStream, sync::OwnedSemaphorePermit, sync::Semaphore};

const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
const IDLE_LIMIT: Duration = Duration::from_secs(20);
/// Time between the first probes of a connection that has gone silent; the kernel counts seconds.
const KEEPALIVE: Duration = Duration::from_secs(1);
/// Times that a request is sent again of which nothing was written: connections that are kept may
/// close together.
const MAX_RESENDS: u32 = 3;
const MAX_CALL_BYTES: usize = 64 << 20;

/// Idle connections to many servers, with a limit for each.
#[derive(Debug)]
pub struct Pool {
    limit: usize,
    options: Options,
    hosts: Mutex<HashMap<SocketAddr, Arc<Host>>>,
}

/// How connections are made and kept.
#[derive(Debug, Clone, Copy)]
pub struct Options {
    /// Time for a connection to be made.
    pub connect_timeout: Duration,
    /// Time for which an idle connection is kept.
    pub idle_timeout: Duration,
    /// Time after which a connection whose bytes are not acknowledged is given up, if limited.
    pub tcp_user_timeout: Option<Duration>,
    /// Whether bytes that have not left are dropped when a connection is closed.
    pub zero_linger: bool,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            connect_timeout: CONNECT_TIMEOUT,
            idle_timeout: IDLE_LIMIT,
            tcp_user_timeout: None,
            zero_linger: false,
        }
    }
}

#[derive(Debug)]
struct Host {
    options: Options,
    permits: Arc<Semaphore>,
    idle: Mutex<Vec<Idle>>,
}

#[derive(Debug)]
struct Idle {
    tx: SendRequest<Body>,
    since: Instant,
}

/// A connection in use; returned to the pool by [`PooledConnection::return_to_pool`], closed when
/// dropped.
#[derive(Debug)]
pub struct PooledConnection {
    host: Arc<Host>,
    tx: SendRequest<Body>,
    _permit: OwnedSemaphorePermit,
}

/// A request that was not answered.
#[derive(Debug)]
pub struct SendFailure {
    /// The request, if nothing of it was written to the connection.
    pub unsent: Option<Request<Body>>,
    /// What went wrong.
    pub error: Error,
}

impl Pool {
    /// Creates a pool that opens at most `limit` connections to each server.
    #[must_use]
    pub fn new(limit: usize) -> Self {
        Self::with_options(limit, Options::default())
    }

    /// Creates a pool whose connections are made and kept as `options` say.
    #[must_use]
    pub fn with_options(limit: usize, options: Options) -> Self {
        Self { limit: limit.max(1), options, hosts: Mutex::default() }
    }

    /// Takes an idle connection or opens one, waiting while the limit is reached.
    ///
    /// # Errors
    ///
    /// Fails if the server cannot be reached; nothing was sent then.
    pub async fn acquire(&self, addr: SocketAddr) -> Result<PooledConnection> {
        let host = self.host(addr);
        let permits = host.permits.clone();
        let permit = permits.acquire_owned().await.map_err(|e| unreachable(addr, &e))?;
        let reused = host.take_idle();
        let tx = match reused {
            Some(tx) => tx,
            None => connect(addr, &host.options).await?,
        };
        Ok(PooledConnection { host, tx, _permit: permit })
    }

    /// Forgets servers other than those in `keep`, closing their idle connections.
    pub fn retain(&self, keep: impl Fn(&SocketAddr) -> bool) {
        let mut hosts = self.hosts.lock().unwrap_or_else(PoisonError::into_inner);
        hosts.retain(|addr, _| keep(addr));
    }

    fn host(&self, addr: SocketAddr) -> Arc<Host> {
        let mut hosts = self.hosts.lock().unwrap_or_else(PoisonError::into_inner);
        let new = || {
            let permits = Arc::new(Semaphore::new(self.limit));
            Arc::new(Host { options: self.options, permits, idle: Mutex::default() })
        };
        hosts.entry(addr).or_insert_with(new).clone()
    }
}

impl Host {
    fn take_idle(&self) -> Option<SendRequest<Body>> {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        idle.retain(|i| i.since.elapsed() < self.options.idle_timeout && !i.tx.is_closed());
        let ready = idle.iter().rposition(|i| i.tx.is_ready())?;
        Some(idle.remove(ready).tx)
    }
}

impl PooledConnection {
    /// Sends a request and waits for the head of the answer.
    ///
    /// # Errors
    ///
    /// Returns the request itself where nothing of it was written.
    pub async fn send(
        &mut self,
        peer: &str,
        req: Request<Body>,
    ) -> std::result::Result<Response<Incoming>, SendFailure> {
        self.tx.try_send_request(req).await.map_err(|mut e| {
            let unsent = e.take_message();
            let text = e.into_error().to_string();
            let cause = match unsent {
                Some(_) => Cause::Unreachable(text),
                None => Cause::Interrupted(text),
            };
            SendFailure { unsent, error: Error::new("send request", peer, cause) }
        })
    }

    /// Returns the connection to the pool once the answer has been read to its end.
    pub fn return_to_pool(self) {
        if self.tx.is_closed() {
            return;
        }
        let mut idle = self.host.idle.lock().unwrap_or_else(PoisonError::into_inner);
        idle.push(Idle { tx: self.tx, since: Instant::now() });
    }
}

fn unreachable(addr: SocketAddr, e: &impl std::fmt::Display) -> Error {
    Error::new("connect", addr.to_string(), Cause::Unreachable(e.to_string()))
}

fn prepare(stream: &TcpStream, options: &Options) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    if options.zero_linger {
        stream.set_zero_linger()?;
    }
    if let Some(limit) = options.tcp_user_timeout {
        let ms = u32::try_from(limit.as_millis()).unwrap_or(u32::MAX);
        sockopt::set_tcp_user_timeout(stream, ms)?;
        sockopt::set_socket_keepalive(stream, true)?;
        sockopt::set_tcp_keepidle(stream, KEEPALIVE)?;
        sockopt::set_tcp_keepintvl(stream, KEEPALIVE)?;
    }
    Ok(())
}

async fn connect(addr: SocketAddr, options: &Options) -> Result<SendRequest<Body>> {
    let stream = tokio::time::timeout(options.connect_timeout, TcpStream::connect(addr))
        .await
        .map_err(|e| unreachable(addr, &e))?
        .map_err(|e| unreachable(addr, &e))?;
    prepare(&stream, options).map_err(|e| unreachable(addr, &e))?;
    let (mut tx, conn) = hyper::client::conn::http1::Builder::new()
        .handshake(TokioIo::new(stream))
        .await
        .map_err(|e| unreachable(addr, &e))?;
    tokio::spawn(async move {
        let _ = conn.await;
    });
    tx.ready().await.map_err(|e| unreachable(addr, &e))?;
    Ok(tx)
}

/// Sends one request with a small body and reads the whole answer, within `limit`.
///
/// # Errors
///
/// Tells whether the request may have taken effect; see [`Error::may_have_taken_effect`].
pub async fn call(
    pool: &Pool,
    step: &'static str,
    addr: SocketAddr,
    req: Request<Body>,
    limit: Duration,
) -> Result<(hyper::StatusCode, hyper::HeaderMap, bytes::Bytes)> {
    let peer = addr.to_string();
    let exchange = async {
        let mut req = req;
        for resends in 0.. {
            let mut conn = pool.acquire(addr).await?;
            let res = match conn.send(&peer, req).await {
                Ok(res) => res,
                // A kept connection was closed meanwhile, and nothing was written to it.
                Err(SendFailure { unsent: Some(unsent), .. }) if resends < MAX_RESENDS => {
                    req = unsent;
                    continue;
                }
                Err(f) => return Err(f.error),
            };
            let (head, body) = res.into_parts();
            let bytes = crate::http::read_body(step, &peer, body, MAX_CALL_BYTES).await?;
            conn.return_to_pool();
            return Ok((head.status, head.headers, bytes));
        }
        Err(Error::new(step, peer.as_str(), Cause::Unreachable("no connection".into())))
    };
    let timed_out = |_| {
        let ms = u64::try_from(limit.as_millis()).unwrap_or(u64::MAX);
        Error::new(step, peer.clone(), Cause::TimedOut(ms))
    };
    tokio::time::timeout(limit, exchange).await.map_err(timed_out)?
}
