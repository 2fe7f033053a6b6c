//! One mulberryd process: what its tasks have in common, and what it exchanges with other
//! instances.
//!
//! Another instance is called a peer, and a member once a heartbeat from it has arrived. The
//! counterpart of this module in `mulberryspur-platform` is [`crate::node`].

use crate::{
    audit_log::AuditLog,
    burn::BurnCounter,
    cell::{InstanceId, cell_name},
    cell_driver::CellDriver,
    cell_io::CellEvent,
    cell_rows::CellRows,
    clock::{Millis, boot_millis},
    collections::{HashMap, HashSet},
    error::Result,
    grant::{Grant, GrantHolder, GrantReply},
    idempotency::IdempotencyKeys,
    membership::{InstanceInfo, Member, Membership},
    peer::{Heartbeat, VersionedCellRow},
    peer_connections::PeerConnections,
    platform_client::PlatformClient,
    pool::Pool,
    registry::{ConfigRegistry, InstallResult},
    settings::Settings,
    upstreams::Upstreams,
};
use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError, RwLock,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::Duration,
};
use tokio::sync::{mpsc, oneshot};
use tokio_util::sync::CancellationToken;

/// Time limit of a call to the platform.
const PLATFORM_CALL_TIMEOUT: Duration = Duration::from_secs(1);
/// Lines of the audit log that may wait to be stored before requests that are not idempotent are
/// rejected.
const AUDIT_LOG_CAPACITY: usize = 100_000;
/// Connections of one pool to one upstream or instance.
const MAX_CONNECTIONS_PER_ADDRESS: usize = 4_096;
/// Heartbeat interval, as a multiple of the time between renewals of grants and promises.
const RENEW_INTERVALS_PER_HEARTBEAT: Millis = 4;
/// Number of heartbeats of which one carries the known addresses.
const HEARTBEATS_PER_ADDRESS_LIST: u64 = 8;

/// One mulberryd process.
#[derive(Debug)]
pub(crate) struct Instance {
    pub cfg: Arc<Settings>,
    /// Identity, new at each start.
    pub id: InstanceId,
    /// Addresses actually bound.
    pub addresses: Addresses,
    /// Configuration in force.
    pub registry: ConfigRegistry,
    pub platform: PlatformClient,
    pub peer_connections: PeerConnections,
    pub cell_rows: CellRows,
    /// Connections for grants and probes, apart from those for requests.
    pub control_pool: Pool,
    /// Connections for requests, to upstreams and to other instances.
    pub request_pool: Pool,
    pub upstreams: Upstreams,
    pub idempotency_keys: IdempotencyKeys,
    pub audit_log: AuditLog,
    /// Cancelled when the process ends; [`Self::is_leaving`] is true from the beginning of a stop.
    pub stop: CancellationToken,
    started_at: Millis,
    /// Whether the initial reads were attempted, also if they failed.
    initial_reads_done: AtomicBool,
    leaving: AtomicBool,
    platform_up: AtomicBool,
    membership: Mutex<Membership>,
    /// Senders of events to each cell's driver.
    cell_senders: RwLock<HashMap<Arc<str>, mpsc::UnboundedSender<CellEvent>>>,
    controlled_cells: Mutex<HashSet<Arc<str>>>,
    /// Grants to this instance, as one at which callers' requests arrive, for upstreams that do not
    /// check grants themselves; by cell.
    entry_grant_holders: Mutex<HashMap<Arc<str>, GrantHolder>>,
    leaving_list: RwLock<LeavingList>,
    burn_counters: Mutex<HashMap<Arc<str>, BurnCounter>>,
    /// Audit log lines that are kept for peers, by chain, the log of one process.
    kept_lines: Mutex<HashMap<Arc<str>, crate::peer::KeptAuditLines>>,
    heartbeat_rounds: AtomicU64,
}

/// Addresses that the process listens on.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Addresses {
    /// For callers.
    pub listen: SocketAddr,
    /// For operators.
    pub admin: SocketAddr,
    /// For other instances.
    pub peer: SocketAddr,
}

/// Names of upstreams and instances that the platform lists as leaving, and when the list was read
/// (wall clock).
#[derive(Debug, Clone, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub(crate) struct LeavingList {
    // Instances of other versions use the name `at`.
    #[serde(rename = "at")]
    pub read_at: Millis,
    pub names: Vec<Arc<str>>,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Instance {
    pub fn new(cfg: Arc<Settings>, addresses: Addresses, stop: CancellationToken) -> Arc<Self> {
        // Below 2^53, so that every JSON reader keeps it exact, and not 0, which stands for an
        // unknown process.
        let id = rand::random::<u64>() >> 12 | 1;
        let platform =
            PlatformClient::new(cfg.platform, cfg.data_center.clone(), PLATFORM_CALL_TIMEOUT);
        let mut membership = Membership::new();
        let now = boot_millis();
        cfg.seeds.iter().for_each(|addr| membership.add_address(now, *addr));
        Arc::new(Self {
            id,
            addresses,
            registry: ConfigRegistry::new(),
            platform,
            peer_connections: PeerConnections::new(cfg.secret.clone()),
            cell_rows: CellRows::new(),
            control_pool: Pool::new(MAX_CONNECTIONS_PER_ADDRESS),
            request_pool: Pool::new(MAX_CONNECTIONS_PER_ADDRESS),
            upstreams: Upstreams::new(cfg.limits.max_queue),
            idempotency_keys: IdempotencyKeys::new(),
            audit_log: AuditLog::new(format!("{}-{id:x}", cfg.instance), AUDIT_LOG_CAPACITY),
            stop,
            started_at: now,
            initial_reads_done: AtomicBool::new(false),
            leaving: AtomicBool::new(false),
            platform_up: AtomicBool::new(true),
            membership: Mutex::new(membership),
            cell_senders: RwLock::default(),
            controlled_cells: Mutex::default(),
            entry_grant_holders: Mutex::default(),
            leaving_list: RwLock::default(),
            burn_counters: Mutex::default(),
            kept_lines: Mutex::default(),
            heartbeat_rounds: AtomicU64::new(0),
            cfg,
        })
    }

    pub fn info(&self) -> InstanceInfo {
        InstanceInfo {
            id: self.id,
            name: self.cfg.instance.clone(),
            data_center: self.cfg.data_center.clone(),
            rack: self.cfg.rack.clone(),
            peer: self.addresses.peer,
            listen: self.addresses.listen,
            leaving: self.is_leaving(),
        }
    }

    pub fn with_membership<T>(&self, f: impl FnOnce(&mut Membership) -> T) -> T {
        f(&mut lock(&self.membership))
    }

    pub fn peer_address(&self, id: InstanceId) -> Option<SocketAddr> {
        self.with_membership(|membership| membership.get(id).map(|member| member.info.peer))
    }

    pub fn is_leaving(&self) -> bool {
        self.leaving.load(Ordering::Relaxed)
    }

    pub fn set_leaving(&self) {
        self.leaving.store(true, Ordering::Relaxed);
    }

    pub fn platform_up(&self) -> bool {
        self.platform_up.load(Ordering::Relaxed)
    }

    pub fn set_platform_up(&self, up: bool) {
        if self.platform_up.swap(up, Ordering::Relaxed) != up {
            log::warn!(up; "platform reachability changed");
        }
    }

    pub fn set_initial_reads_done(&self) {
        self.initial_reads_done.store(true, Ordering::Relaxed);
    }

    /// Returns whether the initial reads of configuration, instances and cell rows were attempted,
    /// also if they failed.
    pub fn initial_reads_done(&self) -> bool {
        self.initial_reads_done.load(Ordering::Relaxed)
    }

    /// Returns whether there was time to receive heartbeats from the other instances.
    pub fn is_membership_settled(&self, now: Millis) -> bool {
        let t = &self.cfg.timing;
        self.initial_reads_done()
            && now >= self.started_at + t.promise_ms + t.holder_silence_timeout_ms()
    }

    /// Returns whether this instance is ready for requests from callers.
    pub fn is_ready(&self) -> bool {
        self.initial_reads_done() && !self.is_leaving() && self.registry.current().revision > 0
    }

    pub fn set_controls_cell(&self, cell: &Arc<str>, controls: bool) {
        let mut cells = lock(&self.controlled_cells);
        if controls {
            cells.insert(cell.clone());
        } else {
            cells.remove(cell);
        }
    }

    pub fn controlled_cells(&self) -> Vec<Arc<str>> {
        lock(&self.controlled_cells).iter().cloned().collect()
    }

    /// Returns whether the platform lists an upstream or instance as leaving.
    pub fn is_on_leaving_list(&self, name: &str) -> bool {
        let list = self.leaving_list.read().unwrap_or_else(PoisonError::into_inner);
        list.names.iter().any(|n| &**n == name)
    }

    pub fn leaving_list(&self) -> LeavingList {
        self.leaving_list.read().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Replaces the list of leaving names if `list` was read later.
    pub fn update_leaving_list(&self, list: LeavingList) {
        let mut known = self.leaving_list.write().unwrap_or_else(PoisonError::into_inner);
        if list.read_at > known.read_at {
            *known = list;
        }
    }

    /// Returns this instance's index among the live ones of its data centre, and their number.
    pub fn index_among_live(&self) -> (usize, usize) {
        let now = boot_millis();
        let timeout_ms = self.member_timeout_ms();
        self.with_membership(|membership| {
            let live = membership.live(now, timeout_ms, &self.cfg.data_center);
            let mut ids: Vec<InstanceId> = live.iter().map(|member| member.info.id).collect();
            ids.push(self.id);
            ids.sort_unstable();
            ids.dedup();
            (ids.iter().position(|id| *id == self.id).unwrap_or(0), ids.len())
        })
    }

    /// Returns whether this instance polls the platform for its data centre.
    pub fn is_poller(&self) -> bool {
        self.index_among_live().0 == 0
    }

    /// Counts a request for the report on error budgets.
    pub fn count_request(&self, service: &Arc<str>, failed: bool, slow: bool) {
        let now = crate::clock::wall_millis();
        let mut counters = lock(&self.burn_counters);
        counters.entry(service.clone()).or_default().on_request(now, failed, slow);
    }

    /// Returns the counts for the report on error budgets, of every service that has had requests
    /// here.
    pub fn burn(&self) -> Vec<crate::burn::ServiceBurn> {
        let now = crate::clock::wall_millis();
        let snapshot = self.registry.current();
        let counters = lock(&self.burn_counters);
        let of = |name: &Arc<str>, c: &BurnCounter| {
            let service = &snapshot.service(name)?.service;
            Some(crate::burn::ServiceBurn {
                service: name.to_string(),
                objective: service.objective,
                windows: c.counts_by_window(now),
            })
        };
        counters.iter().filter_map(|(name, c)| of(name, c)).collect()
    }

    // Entry grants: grants to this instance, as one at which callers' requests arrive, for
    // upstreams that do not check grants themselves.

    pub fn on_entry_grant(&self, grant: &Grant) -> GrantReply {
        let mut holders = lock(&self.entry_grant_holders);
        let holder = holders.entry(grant.cell.clone()).or_insert_with(|| GrantHolder::new(self.id));
        holder.on_grant(boot_millis(), grant)
    }

    pub fn with_entry_grant_holder<T>(
        &self,
        cell: &str,
        f: impl FnOnce(&mut GrantHolder) -> T,
    ) -> Option<T> {
        lock(&self.entry_grant_holders).get_mut(cell).map(f)
    }

    pub async fn send_entry_grant(&self, addr: SocketAddr, grant: Grant) -> Result<GrantReply> {
        let limit = Duration::from_millis(self.cfg.timing.promise_ms);
        let call =
            self.peer_connections.call("send entry grant", addr, limit, |client, cx| async move {
                client.grant(cx, grant).await
            });
        call.await
    }

    // Cells.

    pub fn cell_sender(&self, cell: &str) -> Option<mpsc::UnboundedSender<CellEvent>> {
        self.cell_senders.read().unwrap_or_else(PoisonError::into_inner).get(cell).cloned()
    }

    /// Starts drivers for the cells of this data centre that have none.
    pub fn start_cell_drivers(self: &Arc<Self>) {
        let snapshot = self.registry.current();
        let dc = &self.cfg.data_center;
        for service_config in snapshot.services() {
            let Some(ownership) = &service_config.ownership else {
                continue;
            };
            // Who enforces grants depends on whether the upstreams check them, which is known once
            // one is configured.
            if !ownership.homes.contains(dc) || service_config.upstreams.is_empty() {
                continue;
            }
            let cell = cell_name(&service_config.service.name, dc);
            let mut senders = self.cell_senders.write().unwrap_or_else(PoisonError::into_inner);
            senders
                .entry(cell.clone())
                .or_insert_with(|| CellDriver::start(self.clone(), service_config, cell));
        }
    }

    /// Tells the drivers of all cells that the instance stops, so that they hand over the cells
    /// that it controls, and waits until standbys control those, at most `limit`.
    pub async fn hand_over_cells(&self, limit: Duration) {
        let senders: Vec<_> = {
            let senders = self.cell_senders.read().unwrap_or_else(PoisonError::into_inner);
            senders.iter().map(|(cell, tx)| (cell.clone(), tx.clone())).collect()
        };
        let hand_over = async {
            let mut handed_over = Vec::new();
            for (cell, tx) in senders {
                let (done, rx) = oneshot::channel();
                let sent = tx.send(CellEvent::Stop { tx: done }).is_ok();
                if sent && rx.await.unwrap_or(false) {
                    handed_over.push(cell);
                }
            }
            let mut changed = self.cell_rows.subscribe();
            let still_controlled = |cell: &Arc<str>| {
                self.cell_rows.get(cell).is_some_and(|row| row.row.controller == self.id)
            };
            while handed_over.iter().any(still_controlled) {
                if changed.changed().await.is_err() {
                    return;
                }
            }
        };
        let _ = tokio::time::timeout(limit, hand_over).await;
    }

    /// Sends a newly committed row to the other instances of the data centre.
    pub fn push_cell_row(self: &Arc<Self>, row: &VersionedCellRow) {
        let addrs: Vec<SocketAddr> = self.with_membership(|membership| {
            let local = membership
                .all()
                .into_iter()
                .filter(|member| member.info.data_center == self.cfg.data_center);
            local.map(|member| member.info.peer).collect()
        });
        let limit = Duration::from_millis(self.cfg.timing.promise_ms);
        for addr in addrs {
            let (instance, row) = (self.clone(), row.clone());
            tokio::spawn(async move {
                let pushed = instance
                    .peer_connections
                    .call("push cell row", addr, limit, |client, cx| async move {
                        client.push_map(cx, row).await
                    })
                    .await;
                if let Err(e) = pushed {
                    log::debug!("{e}");
                }
            });
        }
    }

    // Heartbeats.

    pub fn heartbeat(&self) -> Heartbeat {
        let mut cells = self.cell_rows.versions();
        let controlled = lock(&self.controlled_cells).clone();
        cells.retain(|c| controlled.contains(&c.cell));
        // Addresses change rarely, so sending them with some of the heartbeats is enough.
        let with_addresses = self
            .heartbeat_rounds
            .load(Ordering::Relaxed)
            .is_multiple_of(HEARTBEATS_PER_ADDRESS_LIST);
        let addresses = |m: &mut Membership| m.all().iter().map(|m| m.info.peer).collect();
        Heartbeat {
            info: self.info(),
            revision: self.registry.current().revision,
            controlled_cell_count: controlled.len(),
            cells,
            known_addresses: if with_addresses {
                self.with_membership(addresses)
            } else {
                Vec::new()
            },
            leaving: self.leaving_list(),
        }
    }

    /// Handles a heartbeat or the reply to one; fetches what the sender has in a newer version.
    pub fn on_heartbeat(self: &Arc<Self>, beat: Heartbeat) {
        if beat.info.id == self.id {
            return;
        }
        let now = boot_millis();
        let from = beat.info.peer;
        let same_dc = beat.info.data_center == self.cfg.data_center;
        self.with_membership(|membership| {
            let known = membership.addresses();
            let new = beat
                .known_addresses
                .iter()
                .filter(|a| !known.contains(a) && **a != self.addresses.peer);
            new.for_each(|a| membership.add_address(now, *a));
            membership.on_heartbeat(Member {
                info: beat.info,
                last_heard: now,
                revision: beat.revision,
                controlled_cell_count: beat.controlled_cell_count,
            });
        });
        self.update_leaving_list(beat.leaving);
        if beat.revision > self.registry.current().revision {
            tokio::spawn(self.clone().fetch_config(from));
        }
        for c in beat.cells {
            let known = self.cell_rows.get(&c.cell).map_or(0, |row| row.version);
            if same_dc && c.version > known {
                tokio::spawn(self.clone().fetch_cell_row(from, c.cell));
            }
        }
    }

    async fn fetch_config(self: Arc<Self>, from: SocketAddr) {
        let since = self.registry.current().revision;
        let limit = Duration::from_millis(self.cfg.timing.promise_ms);
        let call = self.peer_connections.call(
            "fetch configuration",
            from,
            limit,
            |client, cx| async move { client.config(cx, since).await },
        );
        match call.await {
            Ok(Some(config)) => {
                let revision = config.revision;
                match config.try_into() {
                    Ok(resources) => self.install_config(revision, resources),
                    Err(e) => log::error!("{e}"),
                }
            }
            Ok(None) => {}
            Err(e) => log::debug!("{e}"),
        }
    }

    async fn fetch_cell_row(self: Arc<Self>, from: SocketAddr, cell: Arc<str>) {
        let limit = Duration::from_millis(self.cfg.timing.promise_ms);
        let fetch =
            self.peer_connections.call("fetch cell row", from, limit, |client, cx| async move {
                client.cell_map(cx, cell).await
            });
        match fetch.await {
            Ok(Some(row)) => {
                self.cell_rows.insert_if_newer(row);
            }
            Ok(None) => {}
            Err(e) => log::debug!("{e}"),
        }
    }

    /// Puts a configuration in force if it is newer and valid.
    pub fn install_config(
        self: &Arc<Self>,
        revision: u64,
        resources: Vec<crate::VersionedResource>,
    ) {
        match self.registry.install_if_newer(revision, resources) {
            InstallResult::Installed => {
                log::info!(revision; "configuration in force");
                self.audit_log.append("configuration", serde_json::json!({ "revision": revision }));
                self.start_cell_drivers();
                self.upstreams.apply(&self.registry.current(), boot_millis());
                self.send_heartbeats(true);
            }
            InstallResult::NotNewer => {}
            InstallResult::Refused(e) => log::error!(revision, why = &*e; "configuration refused"),
        }
    }

    /// Sends the heartbeats that are due, or one to every known address if `all`.
    ///
    /// An exchange informs both sides, so of two instances the one with the lower identity sends.
    /// The other one sends too if it has received nothing for one and a half intervals.
    pub fn send_heartbeats(self: &Arc<Self>, all: bool) {
        self.heartbeat_rounds.fetch_add(1, Ordering::Relaxed);
        let now = boot_millis();
        let period = self.heartbeat_interval_ms();
        let beat = self.heartbeat();
        let limit = Duration::from_millis(self.cfg.timing.promise_ms);
        let heard_recently: HashSet<SocketAddr> = self.with_membership(|membership| {
            let is_recent = |member: &&Member| now < member.last_heard + period + period / 2;
            let sent_by_them = |member: &&Member| member.info.id < self.id && is_recent(member);
            membership
                .all()
                .into_iter()
                .filter(sent_by_them)
                .map(|member| member.info.peer)
                .collect()
        });
        let addrs = self.with_membership(|membership| membership.addresses());
        let due =
            |a: &SocketAddr| *a != self.addresses.peer && (all || !heard_recently.contains(a));
        for addr in addrs.into_iter().filter(due) {
            let (instance, beat) = (self.clone(), beat.clone());
            tokio::spawn(async move {
                let call = instance.peer_connections.call(
                    "heartbeat",
                    addr,
                    limit,
                    |client, cx| async move { client.heartbeat(cx, beat).await },
                );
                match call.await {
                    Ok(reply) => instance.on_heartbeat(reply),
                    Err(e) => log::debug!("{e}"),
                }
            });
        }
    }

    /// Returns the time between heartbeats in milliseconds.
    pub fn heartbeat_interval_ms(&self) -> Millis {
        RENEW_INTERVALS_PER_HEARTBEAT * self.cfg.timing.renew_ms
    }

    /// Returns the time without heartbeats, in milliseconds, after which a member is not live any
    /// more.
    pub fn member_timeout_ms(&self) -> Millis {
        3 * self.heartbeat_interval_ms()
    }

    // Audit log lines that are kept for peers.

    /// Keeps lines for the instance that wrote them. Lines that begin before those kept of the
    /// same chain, or leave a gap after them, replace them.
    pub fn keep_audit_lines(&self, lines: crate::peer::KeptAuditLines) {
        let mut kept = lock(&self.kept_lines);
        let entry =
            kept.entry(lines.chain.clone()).or_insert_with(|| crate::peer::KeptAuditLines {
                chain: lines.chain.clone(),
                writer: lines.writer,
                first: lines.first,
                lines: Vec::new(),
            });
        let end = entry.first + entry.lines.len() as u64;
        if lines.first > end || lines.first < entry.first {
            *entry = lines;
            return;
        }
        let known = usize::try_from(end - lines.first).unwrap_or(usize::MAX);
        entry.lines.extend(lines.lines.into_iter().skip(known));
    }

    /// Drops a chain's lines with sequence numbers below `before`, which are stored.
    pub fn drop_stored_lines(&self, chain: &str, before: u64) {
        let mut kept = lock(&self.kept_lines);
        let Some(entry) = kept.get_mut(chain) else {
            return;
        };
        let stored = usize::try_from(before.saturating_sub(entry.first)).unwrap_or(usize::MAX);
        entry.lines.drain(..stored.min(entry.lines.len()));
        entry.first = entry.first.max(before);
    }

    /// Returns kept lines whose writers are not members: removed ones, or ones never heard from.
    pub fn orphaned_audit_lines(&self) -> Vec<crate::peer::KeptAuditLines> {
        let kept = lock(&self.kept_lines);
        let unstored = kept.values().filter(|k| !k.lines.is_empty());
        let is_unknown = |id| self.with_membership(|membership| membership.get(id).is_none());
        unstored.filter(|k| is_unknown(k.writer)).cloned().collect()
    }
}
