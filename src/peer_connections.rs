//! RPC connections of `mulberryd` to other instances: opened on demand, with exponential back-off
//! after failures.

use crate::{
    clock::{Millis, boot_millis},
    collections::HashMap,
    error::{Cause, Error, Result},
    peer::PeerClient,
    settings::Secret,
    transport,
};
use rand::Rng;
use std::{
    future::Future,
    net::SocketAddr,
    sync::{Arc, Mutex, PoisonError},
    time::{Duration, Instant},
};
use tarpc::{client::RpcError, context};

/// First back-off in milliseconds, doubled with each failure. The actual wait is random, between
/// half of it and all of it.
const FIRST_BACK_OFF_MS: Millis = 50;
/// Maximum of the back-off in milliseconds.
const MAX_BACK_OFF_MS: Millis = 2_000;

/// Connections to all peers.
#[derive(Debug)]
pub(crate) struct PeerConnections {
    secret: Secret,
    connections: Mutex<HashMap<SocketAddr, Arc<Connection>>>,
}

/// Connection to one peer.
#[derive(Debug, Default)]
struct Connection {
    state: tokio::sync::Mutex<ConnectionState>,
}

#[derive(Debug, Default)]
struct ConnectionState {
    client: Option<PeerClient>,
    /// Consecutive failures to connect.
    failures: u32,
    retry_at: Millis,
}

impl PeerConnections {
    pub fn new(secret: Secret) -> Self {
        Self { secret, connections: Mutex::default() }
    }

    /// Calls a peer, connecting first if necessary; `limit` bounds all of that.
    pub async fn call<T, Fut>(
        &self,
        step: &'static str,
        addr: SocketAddr,
        limit: Duration,
        f: impl FnOnce(PeerClient, context::Context) -> Fut,
    ) -> Result<T>
    where
        Fut: Future<Output = std::result::Result<T, RpcError>>,
    {
        let connection = self.connection(addr);
        let exchange = async {
            let client = self.client(&connection, addr).await?;
            let mut cx = context::current();
            cx.deadline = Instant::now() + limit;
            let result = f(client, cx).await;
            if matches!(result, Err(RpcError::Shutdown | RpcError::Channel(_))) {
                connection.state.lock().await.client = None;
            }
            result
                .map_err(|e| Error::new(step, addr.to_string(), Cause::Interrupted(e.to_string())))
        };
        let timed_out = |_| {
            let ms = u64::try_from(limit.as_millis()).unwrap_or(u64::MAX);
            Error::new(step, addr.to_string(), Cause::TimedOut(ms))
        };
        let result = tokio::time::timeout(limit, exchange).await.map_err(timed_out);
        if result.is_err() {
            // The connection may be dead without either side having noticed.
            connection.state.lock().await.client = None;
        }
        result?
    }

    /// Drops connections to addresses other than those in `keep`.
    pub fn retain(&self, keep: &[SocketAddr]) {
        let mut connections = self.connections.lock().unwrap_or_else(PoisonError::into_inner);
        connections.retain(|addr, _| keep.contains(addr));
    }

    fn connection(&self, addr: SocketAddr) -> Arc<Connection> {
        let mut connections = self.connections.lock().unwrap_or_else(PoisonError::into_inner);
        connections.entry(addr).or_default().clone()
    }

    async fn client(&self, connection: &Connection, addr: SocketAddr) -> Result<PeerClient> {
        let mut state = connection.state.lock().await;
        if let Some(client) = &state.client {
            return Ok(client.clone());
        }
        let now = boot_millis();
        if now < state.retry_at {
            let wait = state.retry_at - now;
            let cause = Cause::Unreachable(format!("next attempt in {wait} ms"));
            return Err(Error::new("connect to peer", addr.to_string(), cause));
        }
        match transport::connect(addr, self.secret.expose()).await {
            Ok(transport) => {
                let client = PeerClient::new(tarpc::client::Config::default(), transport).spawn();
                *state =
                    ConnectionState { client: Some(client.clone()), ..ConnectionState::default() };
                Ok(client)
            }
            Err(e) => {
                state.retry_at = now + back_off(state.failures);
                state.failures = state.failures.saturating_add(1);
                Err(e)
            }
        }
    }
}

/// Returns the time in milliseconds to wait, with jitter, after a failure that `failures` others
/// preceded.
fn back_off(failures: u32) -> Millis {
    let ceiling = (FIRST_BACK_OFF_MS << failures.min(10)).min(MAX_BACK_OFF_MS);
    rand::rng().random_range(ceiling / 2..=ceiling)
}
