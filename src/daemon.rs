//! The mulberryd daemon: binds addresses, starts tasks and listeners, and stops them in order.
//!
//! `mulberryspur-platform` uses `metrics_handle` and `run_metrics_upkeep` of this module as well.

use crate::{
    admin,
    error::{Error, Result},
    http::{self, ListenerLimits},
    instance::{Addresses, Instance},
    peer_server, proxy,
    settings::Settings,
    tasks,
};
use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle};
use std::{
    net::SocketAddr,
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};
use tokio_util::sync::CancellationToken;

const LATENCY_BUCKETS_S: [f64; 11] =
    [0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 5.0];
/// Interval at which the metrics recorder sums up histogram samples.
const METRICS_UPKEEP_INTERVAL: Duration = Duration::from_secs(5);
/// Time between failing readiness probes and closing the listener, for load balancers to notice.
const READINESS_NOTICE: Duration = Duration::from_millis(500);

/// A running daemon.
#[derive(Debug)]
pub struct Daemon {
    instance: Arc<Instance>,
    addresses: Addresses,
    /// Stops the listener for callers; the rest stops with [`Instance::stop`].
    stop_requests: CancellationToken,
    caller_listener: tokio::task::JoinHandle<()>,
}

/// Returns the handle of the metrics recorder, which is installed on the first call.
///
/// A process can have only one recorder, also if several daemons run in it.
pub(crate) fn metrics_handle() -> Result<PrometheusHandle> {
    static HANDLE: Mutex<Option<PrometheusHandle>> = Mutex::new(None);
    let mut installed_handle = HANDLE.lock().unwrap_or_else(PoisonError::into_inner);
    if let Some(handle) = &*installed_handle {
        return Ok(handle.clone());
    }
    let installation = PrometheusBuilder::new()
        .set_buckets(&LATENCY_BUCKETS_S)
        .and_then(PrometheusBuilder::install_recorder);
    let handle = installation.map_err(|e| Error::invalid("start metrics", e.to_string()))?;
    Ok(installed_handle.insert(handle).clone())
}

impl Daemon {
    /// Binds the addresses and starts the tasks and listeners.
    ///
    /// # Errors
    ///
    /// Fails if an address cannot be bound.
    pub async fn start(cfg: Settings) -> Result<Self> {
        let cfg = Arc::new(cfg);
        let listen = http::bind("listen for callers", cfg.listen).await?;
        let admin = http::bind("listen for operators", cfg.admin).await?;
        let peer = http::bind("listen for instances", cfg.peer).await?;
        let bound = |l: &tokio::net::TcpListener| l.local_addr().unwrap_or(cfg.listen);
        let addresses =
            Addresses { listen: bound(&listen), admin: bound(&admin), peer: bound(&peer) };
        let metrics = metrics_handle()?;
        let stop = CancellationToken::new();
        let instance = Instance::new(cfg.clone(), addresses, stop.clone());
        instance.audit_log.append("start", serde_json::json!({ "data_center": &*cfg.data_center }));
        tasks::start(&instance);
        tokio::spawn(peer_server::serve(instance.clone(), peer));
        tokio::spawn(run_metrics_upkeep(metrics.clone()));

        let for_admin = instance.clone();
        let admin_handler = move |req| admin::handle(for_admin.clone(), metrics.clone(), req);
        tokio::spawn(http::serve(admin, ListenerLimits::default(), stop, admin_handler));

        let stop_requests = CancellationToken::new();
        let limits = ListenerLimits {
            max_connections: cfg.limits.connections,
            max_header_bytes: cfg.limits.header_bytes,
            header_read_timeout: Duration::from_millis(cfg.limits.header_read_ms),
            drain_timeout: Duration::from_millis(cfg.limits.drain_ms),
        };
        let for_callers = instance.clone();
        let caller_handler = move |req| proxy::handle(for_callers.clone(), req);
        let caller_listener =
            tokio::spawn(http::serve(listen, limits, stop_requests.clone(), caller_handler));
        log::info!(
            instance = &*cfg.instance, listen = addresses.listen.to_string(),
            admin = addresses.admin.to_string(), peer = addresses.peer.to_string();
            "started"
        );
        Ok(Self { instance, addresses, stop_requests, caller_listener })
    }

    /// Returns the bound address for callers.
    #[must_use]
    pub fn listen_addr(&self) -> SocketAddr {
        self.addresses.listen
    }

    /// Returns the bound address for operators.
    #[must_use]
    pub fn admin_addr(&self) -> SocketAddr {
        self.addresses.admin
    }

    /// Returns the bound address for other instances.
    #[must_use]
    pub fn peer_addr(&self) -> SocketAddr {
        self.addresses.peer
    }

    /// Stops in order: readiness probes fail, cells are handed over, requests in flight end within
    /// `limits.drain_ms`, and the audit log is stored.
    pub async fn stop(self) {
        log::info!("stopping");
        let instance = self.instance;
        instance.set_leaving();
        instance.send_heartbeats(true);
        let timing = &instance.cfg.timing;
        let hand_over_timeout = Duration::from_millis(2 * timing.promise_ms + timing.lease_ms);
        instance.hand_over_cells(hand_over_timeout).await;
        tokio::time::sleep(READINESS_NOTICE).await;
        self.stop_requests.cancel();
        let _ = self.caller_listener.await;
        instance.audit_log.append("stop", serde_json::json!({}));
        tasks::flush_audit_log(&instance).await;
        tasks::unregister(&instance).await;
        instance.stop.cancel();
        log::info!("stopped");
    }
}

/// Lets the metrics recorder sum up histogram samples every [`METRICS_UPKEEP_INTERVAL`].
pub(crate) async fn run_metrics_upkeep(handle: PrometheusHandle) {
    let mut tick = tokio::time::interval(METRICS_UPKEEP_INTERVAL);
    loop {
        tick.tick().await;
        handle.run_upkeep();
    }
}
