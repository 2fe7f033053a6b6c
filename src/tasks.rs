//! The tasks of a daemon process: heartbeats, polling of the platform, storing of the record.

use crate::{
    audit_log::object_name,
    cell::CellRow,
    cell_io,
    clock::{Millis, boot_millis, wall_millis},
    idempotency,
    instance::{Instance, LeavingList},
    membership::InstanceInfo,
    peer::{KeptLines, VersionedCellRow},
    platform_client::{ExpectedVersion, InstanceState, Transaction},
    registry::StoredConfig,
};
use bytes::Bytes;
use std::{net::SocketAddr, sync::Arc, time::Duration};
use tokio::time::{MissedTickBehavior, interval};

/// Key of the row that keeps the configuration.
pub(crate) const CONFIG_ROW_KEY: &str = "config";
/// Key of the row that keeps the number of its revision alone.
pub(crate) const CONFIG_REVISION_ROW_KEY: &str = "config-head";
const INSTANCE_PREFIX: &str = "instance/";

const POLL: Duration = Duration::from_millis(500);
/// Polls after which the instance rows are read again.
const POLLS_PER_LIST: u64 = 10;
/// Polls after which an instance that is not the poller looks at the platform itself.
const POLLS_WITHOUT_POLLER: u64 = 2;
const FORGET_MS: Millis = 10_000;
const RECORD_FLUSH: Duration = Duration::from_millis(200);
const RECORD_BATCH: usize = 5_000;
const SWEEP: Duration = Duration::from_secs(600);
const LIMITS: Duration = Duration::from_secs(1);

fn ticker(period: Duration) -> tokio::time::Interval {
    let mut tick = interval(period);
    tick.set_missed_tick_behavior(MissedTickBehavior::Delay);
    tick
}

/// Starts every task of the instance.
pub(crate) fn start(instance: &Arc<Instance>) {
    instance.idempotency_keys.start(instance.clone());
    run(instance, heartbeats(instance.clone()));
    run(instance, polls(instance.clone()));
    run(instance, flushes(instance.clone()));
    run(instance, sweeps(instance.clone()));
    run(instance, limits(instance.clone()));
}

/// Runs a task until the instance stops.
fn run(instance: &Instance, task: impl Future<Output = ()> + Send + 'static) {
    let stop = instance.stop.clone();
    tokio::spawn(async move {
        tokio::select! {
            () = stop.cancelled() => {}
            () = task => {}
        }
    });
}

async fn heartbeats(instance: Arc<Instance>) {
    let mut tick = ticker(Duration::from_millis(instance.heartbeat_interval_ms()));
    loop {
        tick.tick().await;
        instance.send_heartbeats(false);
        let seeds = &instance.cfg.seeds;
        let addresses = instance.with_membership(|m| {
            m.remove_stale(boot_millis(), FORGET_MS, seeds);
            m.addresses()
        });
        instance.links.retain(&addresses);
    }
}

async fn polls(instance: Arc<Instance>) {
    register(&instance).await;
    load(&instance).await;
    instance.send_heartbeats(true);
    let mut tick = ticker(POLL);
    let mut n: u64 = 0;
    loop {
        tick.tick().await;
        n += 1;
        let poller = instance.is_poller();
        let controls = !instance.controlled_cells().is_empty();
        if poller || (controls && n.is_multiple_of(POLLS_WITHOUT_POLLER)) {
            install_newer_config(&instance).await;
        }
        if poller {
            poll_leaving(&instance).await;
            if n.is_multiple_of(POLLS_PER_LIST) {
                load_instances(&instance).await;
            }
        }
    }
}

/// Makes this instance's addresses known to instances that start later.
async fn register(instance: &Instance) {
    let info = instance.info();
    let key = instance_key(instance);
    let written = instance.platform.put_row(&key, 0, &info).await;
    instance.set_platform_up(written.is_ok());
    if let Err(e) = written {
        log::warn!("{e}");
    }
}

fn instance_key(instance: &Instance) -> String {
    format!("{INSTANCE_PREFIX}{}-{:x}", instance.cfg.instance, instance.id)
}

/// Removes this instance's addresses from the table.
pub(crate) async fn unregister(instance: &Instance) {
    let commit = Transaction { delete: vec![instance_key(instance)], ..Transaction::default() };
    if let Err(e) = instance.platform.commit(&commit).await {
        log::warn!("{e}");
    }
}

/// Reads everything that this instance needs; what the platform does not give, peers will.
async fn load(instance: &Arc<Instance>) {
    load_instances(instance).await;
    install_newer_config(instance).await;
    match instance.platform.rows_with_prefix(&cell_io::row_key("")).await {
        Ok(rows) => {
            let suffix = format!("@{}", instance.cfg.data_center);
            for row in rows.into_iter().filter(|r| r.key.ends_with(&suffix)) {
                let cell = row.key.trim_start_matches(&cell_io::row_key("")).into();
                let Ok(value) = serde_json::from_value::<CellRow>(row.value) else {
                    continue;
                };
                let map = VersionedCellRow { cell, version: row.version, row: Arc::new(value) };
                instance.cell_rows.insert_if_newer(map);
            }
        }
        Err(e) => log::warn!("{e}"),
    }
    instance.set_loaded();
}

async fn load_instances(instance: &Instance) {
    let rows = match instance.platform.rows_with_prefix(INSTANCE_PREFIX).await {
        Ok(rows) => rows,
        Err(e) => {
            log::warn!("{e}");
            return;
        }
    };
    let now = boot_millis();
    let mut dead = Transaction::default();
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
            dead.expect.push(ExpectedVersion { key: row.key.clone(), version: row.version });
            dead.delete.push(row.key);
        }
    }
    if !dead.delete.is_empty() {
        let _ = instance.platform.commit(&dead).await;
    }
}

/// Takes over a configuration that is later than the one in force.
pub(crate) async fn install_newer_config(instance: &Arc<Instance>) {
    let head = instance.platform.typed_row::<u64>(CONFIG_REVISION_ROW_KEY).await;
    instance.set_platform_up(head.is_ok());
    let revision = match head {
        Ok(head) => head.map_or(0, |(_, revision)| revision),
        Err(e) => {
            log::debug!("{e}");
            return;
        }
    };
    if revision <= instance.registry.current().revision {
        return;
    }
    match instance.platform.typed_row::<StoredConfig>(CONFIG_ROW_KEY).await {
        Ok(Some((_, config))) => instance.install_config(config.revision, config.resources),
        Ok(None) => {}
        Err(e) => log::warn!("{e}"),
    }
}

async fn poll_leaving(instance: &Instance) {
    let list = match instance.platform.list_instances().await {
        Ok(list) => list,
        Err(e) => {
            log::debug!("{e}");
            return;
        }
    };
    let leaving = list.into_iter().filter(|i| i.state == InstanceState::Leaving);
    let names = leaving.map(|i| i.name).collect();
    instance.update_leaving_list(LeavingList { read_at: wall_millis(), names });
}

async fn flushes(instance: Arc<Instance>) {
    let mut tick = ticker(RECORD_FLUSH);
    let mut kept = 0;
    loop {
        tick.tick().await;
        kept = copy_to_peer(&instance, kept).await;
        flush_audit_log(&instance).await;
        store_orphaned(&instance).await;
    }
}

/// Stores the waiting lines of the record; they wait on if the platform does not take them.
pub(crate) async fn flush_audit_log(instance: &Instance) {
    while let Some(batch) = instance.audit_log.next_batch(RECORD_BATCH) {
        let body = Bytes::from(batch.lines.join("\n") + "\n");
        match instance.platform.put_object(&batch.object_name, body).await {
            // An object of this name holds these lines already, from a lost answer or a peer;
            // it may hold fewer, so the rest is stored under the next number.
            Ok(true) => instance.audit_log.mark_stored(&batch),
            Ok(false) => {
                let Ok(Some(found)) = instance.platform.object(&batch.object_name).await else {
                    return;
                };
                let lines = found.split(|b| *b == b'\n').filter(|l| !l.is_empty()).count();
                let mut stored = batch.clone();
                stored.lines.truncate(lines);
                instance.audit_log.mark_stored(&stored);
            }
            Err(e) => {
                log::warn!("{e}");
                return;
            }
        }
        let until = batch.first_seq + batch.lines.len() as u64;
        if let Some(addr) = keeper(instance) {
            let chain = instance.audit_log.chain().clone();
            let limit = Duration::from_millis(instance.cfg.timing.promise_ms);
            let call =
                instance.links.call("release record", addr, limit, |client, cx| async move {
                    client.kept_until(cx, chain, until).await
                });
            let _ = call.await;
        }
    }
}

/// Returns the peer that keeps this instance's unstored lines: the next one by identity.
fn keeper(instance: &Instance) -> Option<SocketAddr> {
    let now = boot_millis();
    let within = instance.member_timeout_ms();
    instance.with_membership(|m| {
        let mut live = m.live(now, within, &instance.cfg.data_center);
        live.sort_by_key(|m| (m.info.id < instance.id, m.info.id));
        live.first().map(|m| m.info.peer)
    })
}

/// Copies lines that are not stored yet to a peer; returns the number of the next line to copy.
async fn copy_to_peer(instance: &Instance, from: u64) -> u64 {
    let Some(batch) = instance.audit_log.next_batch(RECORD_BATCH) else {
        return from;
    };
    let Some(addr) = keeper(instance) else {
        return from;
    };
    let skip = usize::try_from(from.saturating_sub(batch.first_seq)).unwrap_or(usize::MAX);
    let lines: Vec<String> = batch.lines.into_iter().skip(skip).collect();
    if lines.is_empty() {
        return from;
    }
    let first = batch.first_seq.max(from);
    let end = first + lines.len() as u64;
    let chain = instance.audit_log.chain().clone();
    let kept = KeptLines { chain, writer: instance.id, first, lines };
    let limit = Duration::from_millis(instance.cfg.timing.promise_ms);
    let call = instance
        .links
        .call("keep record", addr, limit, |client, cx| async move { client.keep(cx, kept).await });
    if call.await.is_ok() { end } else { from }
}

/// Stores lines that were kept for an instance which is gone.
async fn store_orphaned(instance: &Instance) {
    for kept in instance.orphaned_audit_lines() {
        let name = object_name(&kept.chain, kept.first);
        let until = kept.first + kept.lines.len() as u64;
        let body = Bytes::from(kept.lines.join("\n") + "\n");
        match instance.platform.put_object(&name, body).await {
            Ok(_) => {
                log::info!(chain = &*kept.chain, lines = kept.lines.len(); "stored lines of a lost instance");
                instance.drop_stored_lines(&kept.chain, until);
            }
            Err(e) => log::warn!("{e}"),
        }
    }
}

async fn sweeps(instance: Arc<Instance>) {
    let mut tick = ticker(SWEEP);
    tick.tick().await;
    loop {
        tick.tick().await;
        if !instance.is_poller() {
            continue;
        }
        match idempotency::remove_expired(&instance.platform, wall_millis()).await {
            Ok(removed) => log::info!(removed; "expired idempotency keys removed"),
            Err(e) => log::warn!("{e}"),
        }
    }
}

/// Keeps this instance's share of each upstream in step with the number of instances.
async fn limits(instance: Arc<Instance>) {
    let mut tick = ticker(LIMITS);
    let mut changed = instance.registry.subscribe();
    loop {
        tokio::select! {
            _ = tick.tick() => {}
            _ = changed.changed() => {}
        }
        let (at, instances) = instance.index_among_live();
        let snapshot = instance.registry.current();
        instance.upstreams.set_limits(&snapshot, at, instances);
    }
}
