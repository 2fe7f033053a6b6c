//! Pool of HTTP/1.1 connections, limited per server, for mulberryd and mulberryspur-platform.
//!
//! A request that failed comes back if nothing of it was written, so that it can be sent again.

use crate::{
    collections::HashMap,
    error::{Cause, Error, Result},
    http::Body,
    socket::{Socket, SocketProbe},
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

/// Default time limit for opening a connection.
const DEFAULT_CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Default time for which an idle connection is kept.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(20);
/// Silence before the first keepalive probe, and time between probes; the kernel counts in seconds.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// Number of times that [`call`] sends a request again of which nothing was written: several idle
/// connections may have been closed together.
const MAX_RESENDS: u32 = 3;
/// Default of the longest response body that [`call`] reads, in bytes.
const DEFAULT_MAX_RESPONSE_BYTES: usize = 8 << 20;

/// Connections to many servers, with a limit for each server.
#[derive(Debug)]
pub struct Pool {
    max_connections: usize,
    options: Options,
    hosts: Mutex<HashMap<SocketAddr, Arc<Host>>>,
}

/// How connections are opened and kept.
#[derive(Debug, Clone, Copy)]
pub struct Options {
    /// Time limit for opening a connection.
    pub connect_timeout: Duration,
    /// Time for which an idle connection is kept.
    pub idle_timeout: Duration,
    /// Time after which a connection whose bytes are not acknowledged is closed
    /// (`TCP_USER_TIMEOUT`), if any; with it, keepalive probes are sent.
    pub tcp_user_timeout: Option<Duration>,
    /// Whether unsent bytes are discarded when a connection is closed (`SO_LINGER` of zero).
    pub zero_linger: bool,
    /// Longest response body that [`call`] reads, in bytes.
    pub max_response_bytes: usize,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            connect_timeout: DEFAULT_CONNECT_TIMEOUT,
            idle_timeout: DEFAULT_IDLE_TIMEOUT,
            tcp_user_timeout: None,
            zero_linger: false,
            max_response_bytes: DEFAULT_MAX_RESPONSE_BYTES,
        }
    }
}

#[derive(Debug)]
struct Host {
    options: Options,
    permits: Arc<Semaphore>,
    idle: Mutex<Vec<IdleConnection>>,
}

#[derive(Debug)]
struct IdleConnection {
    tx: SendRequest<Body>,
    probe: SocketProbe,
    since: Instant,
}

/// A connection in use; returned to the pool by [`PooledConnection::return_to_pool`], closed when
/// dropped.
#[derive(Debug)]
pub struct PooledConnection {
    host: Arc<Host>,
    tx: SendRequest<Body>,
    probe: SocketProbe,
    is_new: bool,
    _permit: OwnedSemaphorePermit,
}

/// A request that got no response.
#[derive(Debug)]
pub struct SendFailure {
    /// The request, if nothing of it was written to the connection.
    pub unsent: Option<Request<Body>>,
    /// What went wrong.
    pub error: Error,
}

impl Pool {
    /// Creates a pool that opens at most `max_connections` connections to each server.
    #[must_use]
    pub fn new(max_connections: usize) -> Self {
        Self::with_options(max_connections, Options::default())
    }

    /// Creates a pool whose connections are opened and kept as `options` say.
    #[must_use]
    pub fn with_options(max_connections: usize, options: Options) -> Self {
        Self { max_connections: max_connections.max(1), options, hosts: Mutex::default() }
    }

    /// Takes an idle connection or opens one, waiting while the limit is reached.
    ///
    /// # Errors
    ///
    /// Fails if the server cannot be reached; nothing was sent then.
    pub async fn acquire(&self, addr: SocketAddr) -> Result<PooledConnection> {
        self.acquire_from(addr, Host::take_idle).await
    }

    /// Opens a connection, waiting while the limit is reached. An idle one may still deliver a
    /// response to what was sent on it before.
    ///
    /// # Errors
    ///
    /// Fails if the server cannot be reached; nothing was sent then.
    pub async fn acquire_new(&self, addr: SocketAddr) -> Result<PooledConnection> {
        self.acquire_from(addr, |_| None).await
    }

    async fn acquire_from(
        &self,
        addr: SocketAddr,
        take: impl Fn(&Host) -> Option<IdleConnection>,
    ) -> Result<PooledConnection> {
        let host = self.host(addr);
        let permits = host.permits.clone();
        let permit = permits.acquire_owned().await.map_err(|e| connect_error(addr, &e))?;
        let reused = take(&host);
        let is_new = reused.is_none();
        let (tx, probe) = match reused {
            Some(idle) => (idle.tx, idle.probe),
            None => connect(addr, &host.options).await?,
        };
        Ok(PooledConnection { host, tx, probe, is_new, _permit: permit })
    }

    /// Forgets the servers for which `keep` is false, and closes their idle connections.
    pub fn retain(&self, keep: impl Fn(&SocketAddr) -> bool) {
        let mut hosts = self.hosts.lock().unwrap_or_else(PoisonError::into_inner);
        hosts.retain(|addr, _| keep(addr));
    }

    /// Closes the idle connections to a server.
    pub fn close_idle(&self, addr: SocketAddr) {
        let hosts = self.hosts.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(host) = hosts.get(&addr) {
            host.idle.lock().unwrap_or_else(PoisonError::into_inner).clear();
        }
    }

    fn host(&self, addr: SocketAddr) -> Arc<Host> {
        let mut hosts = self.hosts.lock().unwrap_or_else(PoisonError::into_inner);
        let new = || {
            let permits = Arc::new(Semaphore::new(self.max_connections));
            Arc::new(Host { options: self.options, permits, idle: Mutex::default() })
        };
        hosts.entry(addr).or_insert_with(new).clone()
    }
}

impl Host {
    /// Takes the connection that was used last. Those that the server has closed are dropped, also
    /// where their task has not noticed that yet.
    fn take_idle(&self) -> Option<IdleConnection> {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        idle.retain(|i| i.since.elapsed() < self.options.idle_timeout && !i.tx.is_closed());
        while let Some(ready) = idle.iter().rposition(|i| i.tx.is_ready()) {
            let conn = idle.remove(ready);
            if conn.probe.is_quiet() {
                return Some(conn);
            }
        }
        None
    }
}

impl PooledConnection {
    /// Returns whether the connection was opened for this use.
    #[must_use]
    pub fn is_new(&self) -> bool {
        self.is_new
    }

    /// Sends a request and waits for the head of the response.
    ///
    /// # Errors
    ///
    /// Returns the request itself if nothing of it was written.
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

    /// Returns the connection to the pool; the response must have been read to its end.
    pub fn return_to_pool(self) {
        if self.tx.is_closed() {
            return;
        }
        let mut idle = self.host.idle.lock().unwrap_or_else(PoisonError::into_inner);
        idle.push(IdleConnection { tx: self.tx, probe: self.probe, since: Instant::now() });
    }
}

fn connect_error(addr: SocketAddr, e: &impl std::fmt::Display) -> Error {
    Error::new("connect", addr.to_string(), Cause::Unreachable(e.to_string()))
}

fn set_socket_options(stream: &TcpStream, options: &Options) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    if options.zero_linger {
        stream.set_zero_linger()?;
    }
    if let Some(timeout) = options.tcp_user_timeout {
        let ms = u32::try_from(timeout.as_millis()).unwrap_or(u32::MAX);
        sockopt::set_tcp_user_timeout(stream, ms)?;
        sockopt::set_socket_keepalive(stream, true)?;
        sockopt::set_tcp_keepidle(stream, KEEPALIVE_INTERVAL)?;
        sockopt::set_tcp_keepintvl(stream, KEEPALIVE_INTERVAL)?;
    }
    Ok(())
}

async fn connect(addr: SocketAddr, options: &Options) -> Result<(SendRequest<Body>, SocketProbe)> {
    let stream = tokio::time::timeout(options.connect_timeout, TcpStream::connect(addr))
        .await
        .map_err(|e| connect_error(addr, &e))?
        .map_err(|e| connect_error(addr, &e))?;
    set_socket_options(&stream, options).map_err(|e| connect_error(addr, &e))?;
    let socket = Socket::new(stream);
    let probe = socket.probe();
    let (mut tx, conn) = hyper::client::conn::http1::Builder::new()
        .handshake(TokioIo::new(socket))
        .await
        .map_err(|e| connect_error(addr, &e))?;
    tokio::spawn(async move {
        let _ = conn.await;
    });
    tx.ready().await.map_err(|e| connect_error(addr, &e))?;
    Ok((tx, probe))
}

/// Sends one request with a small body and reads the whole response, within `timeout`.
///
/// # Errors
///
/// Tells whether the request may have taken effect; see [`Error::may_have_taken_effect`].
pub async fn call(
    pool: &Pool,
    step: &'static str,
    addr: SocketAddr,
    req: Request<Body>,
    timeout: Duration,
) -> Result<(hyper::StatusCode, hyper::HeaderMap, bytes::Bytes)> {
    let peer = addr.to_string();
    let exchange = async {
        let mut req = req;
        for resends in 0.. {
            let mut conn = pool.acquire(addr).await?;
            let res = match conn.send(&peer, req).await {
                Ok(res) => res,
                // The server closed an idle connection, and nothing was written to it.
                Err(SendFailure { unsent: Some(unsent), .. }) if resends < MAX_RESENDS => {
                    req = unsent;
                    continue;
                }
                Err(f) => return Err(f.error),
            };
            let (head, body) = res.into_parts();
            let bytes =
                crate::http::read_body(step, &peer, body, pool.options.max_response_bytes).await?;
            conn.return_to_pool();
            return Ok((head.status, head.headers, bytes));
        }
        Err(Error::new(step, peer.as_str(), Cause::Unreachable("no connection".into())))
    };
    let timed_out = |_| {
        let ms = u64::try_from(timeout.as_millis()).unwrap_or(u64::MAX);
        Error::new(step, peer.clone(), Cause::TimedOut(ms))
    };
    tokio::time::timeout(timeout, exchange).await.map_err(timed_out)?
}
