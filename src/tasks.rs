//! Background tasks of a mulberryd process: heartbeats, polling of the platform, storing of the
//! audit log, removal of expired idempotency keys, in-flight limits of upstreams.

use crate::{
    audit_log::object_name,
    cell::CellRow,
    cell_io,
    clock::{Millis, boot_millis, wall_millis},
    idempotency,
    instance::{Instance, LeavingList},
    membership::InstanceInfo,
    peer::{KeptAuditLines, VersionedCellRow},
    platform_client::{ExpectedVersion, InstanceState, Transaction},
    registry::StoredConfig,
};
use bytes::Bytes;
use std::{net::SocketAddr, sync::Arc, time::Duration};
use tokio::time::{MissedTickBehavior, interval};

/// Key of the row that holds the configuration.
pub(crate) const CONFIG_ROW_KEY: &str = "config";
/// Key of the row that holds only the configuration's revision number; polled instead of the whole.
pub(crate) const CONFIG_REVISION_ROW_KEY: &str = "config-head";
/// Prefix of the keys of rows with the instances' addresses.
const INSTANCE_PREFIX: &str = "instance/";

/// Interval of polls of the platform.
const POLL_INTERVAL: Duration = Duration::from_millis(500);
/// The poller reads the instance rows again once in this many polls.
const POLLS_PER_INSTANCE_READ: u64 = 10;
/// An instance that controls cells, but is not the poller, polls the configuration itself once in
/// this many polls.
const POLLS_PER_CONTROLLER_POLL: u64 = 2;
/// Time in milliseconds after which members are removed that were not heard from, and addresses
/// that were neither heard from nor read from the platform's table; those in the settings stay.
///
/// Members count as lost after [`Instance::member_timeout_ms`], 3 s with the default timing.
const STALE_MEMBER_MS: Millis = 10_000;
const AUDIT_FLUSH_INTERVAL: Duration = Duration::from_millis(200);
/// Maximum number of lines in an object of the audit log.
const MAX_AUDIT_BATCH_LINES: usize = 5_000;
/// Interval of the removal of expired idempotency keys.
const EXPIRY_INTERVAL: Duration = Duration::from_secs(600);
/// Interval of updates of the upstreams' in-flight limits.
const LIMITS_INTERVAL: Duration = Duration::from_secs(1);

/// Returns an interval that does not catch up on missed ticks.
fn ticker(period: Duration) -> tokio::time::Interval {
    let mut tick = interval(period);
    tick.set_missed_tick_behavior(MissedTickBehavior::Delay);
    tick
}

/// Starts the tasks of this module, and the one that makes claims of idempotency keys.
pub(crate) fn start(instance: &Arc<Instance>) {
    instance.idempotency_keys.start(instance.clone());
    spawn_until_stop(instance, heartbeat_loop(instance.clone()));
    spawn_until_stop(instance, poll_loop(instance.clone()));
    spawn_until_stop(instance, audit_log_loop(instance.clone()));
    spawn_until_stop(instance, expiry_loop(instance.clone()));
    spawn_until_stop(instance, limits_loop(instance.clone()));
}

/// Runs a task until the instance stops.
fn spawn_until_stop(instance: &Instance, task: impl Future<Output = ()> + Send + 'static) {
    let stop = instance.stop.clone();
    tokio::spawn(async move {
        tokio::select! {
            () = stop.cancelled() => {}
            () = task => {}
        }
    });
}

async fn heartbeat_loop(instance: Arc<Instance>) {
    let mut tick = ticker(Duration::from_millis(instance.heartbeat_interval_ms()));
    loop {
        tick.tick().await;
        instance.send_heartbeats(false);
        let seeds = &instance.cfg.seeds;
        let addresses = instance.with_membership(|m| {
            m.remove_stale(boot_millis(), STALE_MEMBER_MS, seeds);
            m.addresses()
        });
        instance.peer_connections.retain(&addresses);
    }
}

async fn poll_loop(instance: Arc<Instance>) {
    register(&instance).await;
    load_initial_state(&instance).await;
    instance.send_heartbeats(true);
    let mut tick = ticker(POLL_INTERVAL);
    let mut polls: u64 = 0;
    loop {
        tick.tick().await;
        polls += 1;
        let is_poller = instance.is_poller();
        let is_controller = !instance.controlled_cells().is_empty();
        if is_poller || (is_controller && polls.is_multiple_of(POLLS_PER_CONTROLLER_POLL)) {
            install_newer_config(&instance).await;
        }
        if is_poller {
            poll_leaving(&instance).await;
            if polls.is_multiple_of(POLLS_PER_INSTANCE_READ) {
                load_instances(&instance).await;
            }
        }
    }
}

/// Writes this instance's addresses to the platform's table, where instances that start later find
/// them.
async fn register(instance: &Instance) {
    let info = instance.info();
    let key = instance_key(instance);
    // Version 0: the row must not exist.
    let written = instance.platform.put_row(&key, 0, &info).await;
    instance.set_platform_up(written.is_ok());
    if let Err(e) = written {
        log::warn!("register instance: {e}");
    }
}

fn instance_key(instance: &Instance) -> String {
    format!("{INSTANCE_PREFIX}{}-{:x}", instance.cfg.instance, instance.id)
}

/// Removes this instance's addresses from the platform's table.
pub(crate) async fn unregister(instance: &Instance) {
    let removal = Transaction { delete: vec![instance_key(instance)], ..Transaction::default() };
    if let Err(e) = instance.platform.commit(&removal).await {
        log::warn!("unregister instance: {e}");
    }
}

/// Loads instances, configuration and cell rows from the platform.
///
/// What cannot be read here is fetched from peers later, after their heartbeats.
async fn load_initial_state(instance: &Arc<Instance>) {
    load_instances(instance).await;
    install_newer_config(instance).await;
    match instance.platform.rows_with_prefix(&cell_io::row_key("")).await {
        Ok(rows) => {
            let suffix = format!("@{}", instance.cfg.data_center);
            for row in rows.into_iter().filter(|r| r.key.ends_with(&suffix)) {
                let cell = row.key.trim_start_matches(&cell_io::row_key("")).into();
                let Ok(row_value) = serde_json::from_value::<CellRow>(row.value) else {
                    continue;
                };
                let cell_row =
                    VersionedCellRow { cell, version: row.version, row: Arc::new(row_value) };
                instance.cell_rows.insert_if_newer(cell_row);
            }
        }
        Err(e) => log::warn!("load cell rows: {e}"),
    }
    instance.set_initial_reads_done();
}

/// Adds the addresses in the instance rows to the membership, and deletes rows of processes whose
/// peer address another process has now.
async fn load_instances(instance: &Instance) {
    let rows = match instance.platform.rows_with_prefix(INSTANCE_PREFIX).await {
        Ok(rows) => rows,
        Err(e) => {
            log::warn!("load instances: {e}");
            return;
        }
    };
    let now = boot_millis();
    let mut removal = Transaction::default();
    for row in rows {
        let Ok(info) = serde_json::from_value::<InstanceInfo>(row.value) else {
            continue;
        };
        if info.id == instance.id {
            continue;
        }
        let replaced = instance.with_membership(|m| {
            let current = m.all().into_iter().find(|m| m.info.peer == info.peer);
            let replaced = current.is_some_and(|m| m.info.id != info.id);
            m.add_address(now, info.peer);
            replaced
        });
        if replaced || info.peer == instance.addresses.peer {
            removal.expect.push(ExpectedVersion { key: row.key.clone(), version: row.version });
            removal.delete.push(row.key);
        }
    }
    if !removal.delete.is_empty() {
        let _ = instance.platform.commit(&removal).await;
    }
}

/// Installs the stored configuration if it is newer than the one in force.
pub(crate) async fn install_newer_config(instance: &Arc<Instance>) {
    let revision_row = instance.platform.typed_row::<u64>(CONFIG_REVISION_ROW_KEY).await;
    instance.set_platform_up(revision_row.is_ok());
    let revision = match revision_row {
        Ok(revision_row) => revision_row.map_or(0, |(_, revision)| revision),
        Err(e) => {
            log::debug!("read configuration revision: {e}");
            return;
        }
    };
    if revision <= instance.registry.current().revision {
        return;
    }
    match instance.platform.typed_row::<StoredConfig>(CONFIG_ROW_KEY).await {
        Ok(Some((_, config))) => instance.install_config(config.revision, config.resources),
        Ok(None) => {}
        Err(e) => log::warn!("read configuration: {e}"),
    }
}

/// Reads from the platform's instance list which instances and upstreams are about to stop.
async fn poll_leaving(instance: &Instance) {
    let list = match instance.platform.list_instances().await {
        Ok(list) => list,
        Err(e) => {
            log::debug!("read leaving instances: {e}");
            return;
        }
    };
    let leaving = list.into_iter().filter(|i| i.state == InstanceState::Leaving);
    let names = leaving.map(|i| i.name).collect();
    instance.update_leaving_list(LeavingList { read_at: wall_millis(), names });
}

async fn audit_log_loop(instance: Arc<Instance>) {
    let mut tick = ticker(AUDIT_FLUSH_INTERVAL);
    let mut next_seq_to_copy = 0;
    loop {
        tick.tick().await;
        next_seq_to_copy = copy_to_peer(&instance, next_seq_to_copy).await;
        flush_audit_log(&instance).await;
        store_orphaned_lines(&instance).await;
    }
}

/// Stores the pending lines of the audit log; they stay pending if the platform cannot store them.
pub(crate) async fn flush_audit_log(instance: &Instance) {
    while let Some(batch) = instance.audit_log.next_batch(MAX_AUDIT_BATCH_LINES) {
        let body = Bytes::from(batch.lines.join("\n") + "\n");
        match instance.platform.put_object(&batch.object_name, body).await {
            Ok(true) => instance.audit_log.mark_stored(&batch),
            // The object exists: an earlier response was lost, or a peer stored the lines. It may
            // hold only the first lines of the batch. The rest goes into another object, which is
            // named by the sequence number of its first line, so that names do not clash.
            Ok(false) => {
                let Ok(Some(found)) = instance.platform.object(&batch.object_name).await else {
                    return;
                };
                let stored_lines = found.split(|b| *b == b'\n').filter(|l| !l.is_empty()).count();
                let mut stored = batch.clone();
                stored.lines.truncate(stored_lines);
                instance.audit_log.mark_stored(&stored);
            }
            Err(e) => {
                log::warn!("store audit log: {e}");
                return;
            }
        }
        let end_seq = batch.first_seq + batch.lines.len() as u64;
        if let Some(addr) = backup_peer(instance) {
            let chain = instance.audit_log.chain().clone();
            let limit = Duration::from_millis(instance.cfg.timing.promise_ms);
            let call = instance.peer_connections.call(
                "release audit log lines",
                addr,
                limit,
                |client, cx| async move { client.kept_until(cx, chain, end_seq).await },
            );
            let _ = call.await;
        }
    }
}

/// Returns the address of the peer that keeps copies of this instance's pending lines: the next
/// live instance of the data centre by identity, with wrap-around.
fn backup_peer(instance: &Instance) -> Option<SocketAddr> {
    let now = boot_millis();
    let timeout = instance.member_timeout_ms();
    instance.with_membership(|m| {
        let mut live = m.live(now, timeout, &instance.cfg.data_center);
        live.sort_by_key(|m| (m.info.id < instance.id, m.info.id));
        live.first().map(|m| m.info.peer)
    })
}

/// Copies pending lines, starting with sequence number `from_seq`, to a peer, which stores them if
/// this instance is removed from its membership.
///
/// Returns the sequence number of the next line to copy.
async fn copy_to_peer(instance: &Instance, from_seq: u64) -> u64 {
    let Some(batch) = instance.audit_log.next_batch(MAX_AUDIT_BATCH_LINES) else {
        return from_seq;
    };
    let Some(addr) = backup_peer(instance) else {
        return from_seq;
    };
    let skip = usize::try_from(from_seq.saturating_sub(batch.first_seq)).unwrap_or(usize::MAX);
    let lines: Vec<String> = batch.lines.into_iter().skip(skip).collect();
    if lines.is_empty() {
        return from_seq;
    }
    let first = batch.first_seq.max(from_seq);
    let end_seq = first + lines.len() as u64;
    let chain = instance.audit_log.chain().clone();
    let kept = KeptAuditLines { chain, writer: instance.id, first, lines };
    let limit = Duration::from_millis(instance.cfg.timing.promise_ms);
    let call = instance.peer_connections.call(
        "copy audit log lines",
        addr,
        limit,
        |client, cx| async move { client.keep(cx, kept).await },
    );
    if call.await.is_ok() { end_seq } else { from_seq }
}

/// Stores the lines that this instance keeps for instances that are not members: removed after
/// [`STALE_MEMBER_MS`], or never heard from.
///
/// An object of the same name that exists already is taken to hold the lines.
async fn store_orphaned_lines(instance: &Instance) {
    for kept in instance.orphaned_audit_lines() {
        let name = object_name(&kept.chain, kept.first);
        let end_seq = kept.first + kept.lines.len() as u64;
        let body = Bytes::from(kept.lines.join("\n") + "\n");
        match instance.platform.put_object(&name, body).await {
            Ok(_) => {
                log::info!(chain = &*kept.chain, lines = kept.lines.len(); "audit log of a lost instance stored");
                instance.drop_stored_lines(&kept.chain, end_seq);
            }
            Err(e) => log::warn!("store audit log of a lost instance: {e}"),
        }
    }
}

async fn expiry_loop(instance: Arc<Instance>) {
    let mut tick = ticker(EXPIRY_INTERVAL);
    tick.tick().await;
    loop {
        tick.tick().await;
        if !instance.is_poller() {
            continue;
        }
        match idempotency::remove_expired(&instance.platform, wall_millis()).await {
            Ok(removed) => log::info!(removed; "expired idempotency keys removed"),
            Err(e) => log::warn!("remove expired idempotency keys: {e}"),
        }
    }
}

/// Sets this instance's in-flight limits of all upstreams each second, for the present number of
/// instances, and when the configuration changes.
async fn limits_loop(instance: Arc<Instance>) {
    let mut tick = ticker(LIMITS_INTERVAL);
    let mut changed = instance.registry.subscribe();
    loop {
        tokio::select! {
            _ = tick.tick() => {}
            _ = changed.changed() => {}
        }
        let (index, instances) = instance.index_among_live();
        let snapshot = instance.registry.current();
        instance.upstreams.set_limits(&snapshot, index, instances);
    }
}
