//! Failures of real processes: what was promised must hold through each of them.

mod support;

use hyper::Method;
use mulberryspur::clock::boot_millis;
use rustix::process::Signal;
use serde_json::json;
use std::time::{Duration, Instant};
use support::{Cluster, ClusterConfig, load::LoadGenerator};

/// A key must be served again within this time after a loss.
const SERVED_AGAIN: Duration = Duration::from_secs(4);
const CELL: &str = "foldbook@dc-1";
const KEYS: u64 = 64;

macro_rules! cases {
    ($($name:ident: $test:expr;)*) => {
        $(#[test] fn $name() { support::run_alone($test(stringify!($name))) })*
    };
}

cases! {
    owner_killed: async |name| lose(name, |_, _, owner| Loss { owner: Some(owner), entries: vec![] }).await;
    controller_killed: async |name| lose(name, |c, _, _| Loss { owner: None, entries: vec![c] }).await;
    owner_and_controller_killed: async |name| {
        lose(name, |c, _, owner| Loss { owner: Some(owner), entries: vec![c] }).await;
    };
    standby_killed: async |name| lose(name, |_, s, _| Loss { owner: None, entries: vec![s] }).await;
    controller_and_standby_killed: async |name| {
        lose(name, |c, s, _| Loss { owner: None, entries: vec![c, s] }).await;
    };
    owner_frozen_and_back: freeze_owner;
    controller_frozen_and_back: freeze_controller;
    planned_stop_of_controller: planned_stop;
    platform_down: platform_outage;
    platform_loses_answers: lost_answers;
    upstream_drains: drain;
    upstream_restarts: restart_upstream;
    order_survives_loss_of_its_entry: order_and_loss;
    outsider_takes_over: outsider;
}

struct Loss {
    owner: Option<usize>,
    entries: Vec<usize>,
}

fn start_load(cluster: &Cluster) -> LoadGenerator {
    let listen: Vec<_> = cluster.entries.iter().map(|e| e.listen).collect();
    LoadGenerator::start(&listen, 8, KEYS, Duration::from_millis(2))
}

/// Kills processes under load; every key must be served again in time.
async fn lose(name: &str, choose: impl Fn(usize, usize, usize) -> Loss) {
    let cfg = ClusterConfig { entries: vec!["dc-1"; 4], ..ClusterConfig::default() };
    let mut cluster = Cluster::start(name, cfg).await;
    let (controller, standby) = cluster.controller(CELL).await;
    let survivor = (0..4).find(|n| *n != controller && Some(*n) != standby).unwrap();
    let owner = cluster.owner(survivor, "key-1").await;
    let load = start_load(&cluster);
    tokio::time::sleep(Duration::from_millis(500)).await;
    let loss = choose(controller, standby.expect("a standby"), owner);
    let lost_at = Instant::now();
    for entry in &loss.entries {
        cluster.entries[*entry].process.kill();
    }
    if let Some(owner) = loss.owner {
        cluster.upstreams[owner].process.kill();
    }
    served_again(&cluster, survivor, lost_at).await;
    tokio::time::sleep(Duration::from_millis(500)).await;
    cluster.check_journals(&load.stop().await);
}

/// Waits until every key is answered through `entry`, within the stated time.
async fn served_again(cluster: &Cluster, entry: usize, lost_at: Instant) {
    for key in 0..KEYS {
        let path = format!("/patterns/key-{key}");
        loop {
            let deadline = [("x-mulberryspur-deadline-ms", "300")];
            let res = cluster.request(entry, Method::GET, &path, &deadline).await;
            if res.is_ok_and(|(status, _, _)| status.is_success()) {
                break;
            }
            let gone = lost_at.elapsed();
            assert!(gone < SERVED_AGAIN, "{path} is not served after {gone:?}");
        }
    }
}

async fn freeze_owner(name: &str) {
    let cluster = Cluster::start(name, ClusterConfig::default()).await;
    let owner = cluster.owner(0, "key-1").await;
    let load = start_load(&cluster);
    tokio::time::sleep(Duration::from_millis(500)).await;
    let frozen_at = Instant::now();
    cluster.upstreams[owner].process.signal(Signal::STOP);
    served_again(&cluster, 0, frozen_at).await;
    cluster.upstreams[owner].process.signal(Signal::CONT);
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    cluster.check_journals(&load.stop().await);
}

async fn freeze_controller(name: &str) {
    let cluster = Cluster::start(name, ClusterConfig::default()).await;
    let (controller, _) = cluster.controller(CELL).await;
    let other = (controller + 1) % 3;
    let load = start_load(&cluster);
    tokio::time::sleep(Duration::from_millis(500)).await;
    let frozen_at = Instant::now();
    cluster.entries[controller].process.signal(Signal::STOP);
    served_again(&cluster, other, frozen_at).await;
    tokio::time::sleep(Duration::from_secs(2)).await;
    cluster.entries[controller].process.signal(Signal::CONT);
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    let (now, _) = cluster.controller(CELL).await;
    assert_ne!(now, controller, "the frozen controller is back in control");
    cluster.check_journals(&load.stop().await);
}

/// A planned stop fails no request.
async fn planned_stop(name: &str) {
    let mut cluster = Cluster::start(name, ClusterConfig::default()).await;
    let (controller, _) = cluster.controller(CELL).await;
    let others: Vec<_> =
        (0..3).filter(|n| *n != controller).map(|n| cluster.entries[n].listen).collect();
    let load = LoadGenerator::start(&others, 8, KEYS, Duration::from_millis(2));
    tokio::time::sleep(Duration::from_millis(500)).await;
    let code = cluster.entries[controller].process.terminate();
    assert_eq!(code, Some(0), "exit code");
    tokio::time::sleep(Duration::from_secs(2)).await;
    let answers = load.stop().await;
    let failed: Vec<_> = answers.iter().filter(|a| a.status != Some(200)).collect();
    assert!(failed.is_empty(), "{failed:#?}");
    let (now, _) = cluster.controller(CELL).await;
    assert_ne!(now, controller);
    cluster.check_journals(&answers);
}

/// Service goes on through an outage of the platform, also past every lease.
async fn platform_outage(name: &str) {
    let cluster = Cluster::start(name, ClusterConfig::default()).await;
    let load = start_load(&cluster);
    cluster.set_platform_faults(json!({ "down": true })).await;
    tokio::time::sleep(Duration::from_secs(5)).await;
    cluster.set_platform_faults(json!({ "hang": true })).await;
    tokio::time::sleep(Duration::from_secs(3)).await;
    cluster.set_platform_faults(json!({})).await;
    tokio::time::sleep(Duration::from_secs(1)).await;
    let answers = load.stop().await;
    let failed: Vec<_> = answers.iter().filter(|a| a.status != Some(200)).collect();
    assert!(failed.is_empty(), "{failed:#?}");
    cluster.check_journals(&answers);
}

/// Writes whose answers are lost during a takeover and moves.
async fn lost_answers(name: &str) {
    let mut cluster = Cluster::start(
        name,
        ClusterConfig { entries: vec!["dc-1"; 4], ..ClusterConfig::default() },
    )
    .await;
    let (controller, standby) = cluster.controller(CELL).await;
    let survivor = (0..4).find(|n| *n != controller && Some(*n) != standby).unwrap();
    let owner = cluster.owner(survivor, "key-1").await;
    let load = start_load(&cluster);
    cluster.set_platform_faults(json!({ "lose_answers": 3 })).await;
    cluster.entries[controller].process.kill();
    cluster.upstreams[owner].process.kill();
    tokio::time::sleep(Duration::from_secs(8)).await;
    served_again(&cluster, survivor, Instant::now()).await;
    cluster.check_journals(&load.stop().await);
}

/// A draining upstream gets no new work within two seconds and no request fails.
async fn drain(name: &str) {
    let cluster = Cluster::start(name, ClusterConfig::default()).await;
    let owner = cluster.owner(0, "key-1").await;
    let load = start_load(&cluster);
    tokio::time::sleep(Duration::from_millis(500)).await;
    let mut resource = cluster.resources().pop().unwrap();
    let wanted = &cluster.upstreams[owner].process.name;
    resource = cluster.resources().into_iter().find(|r| r["name"] == **wanted).unwrap_or(resource);
    resource["state"] = json!("draining");
    let drained_at = boot_millis();
    let (status, body) = cluster.apply_resources(1, &[resource], None).await;
    assert!(status.is_success(), "{status}: {body}");
    tokio::time::sleep(Duration::from_secs(3)).await;
    let answers = load.stop().await;
    let failed: Vec<_> = answers.iter().filter(|a| a.status != Some(200)).collect();
    assert!(failed.is_empty(), "{failed:#?}");
    let journal = cluster.dir.join(format!("{wanted}.journal"));
    let late = std::fs::read_to_string(journal).unwrap();
    let late = late.lines().filter(|l| {
        let line: serde_json::Value = serde_json::from_str(l).unwrap_or_default();
        line["event"] == "run" && line["at"].as_u64().unwrap_or(0) > drained_at + 2_000
    });
    assert_eq!(late.count(), 0, "work after two seconds");
    cluster.check_journals(&answers);
}

/// An upstream that restarts at the same address is another process to the protocol.
async fn restart_upstream(name: &str) {
    let mut cluster = Cluster::start(name, ClusterConfig::default()).await;
    let owner = cluster.owner(0, "key-1").await;
    let load = start_load(&cluster);
    tokio::time::sleep(Duration::from_millis(300)).await;
    let lost_at = Instant::now();
    cluster.upstreams[owner].process.kill();
    let (name, addr) =
        (cluster.upstreams[owner].process.name.clone(), cluster.upstreams[owner].addr);
    cluster.add_upstream(&name, "foldbook", "dc-1", true, Some(addr));
    served_again(&cluster, 0, lost_at).await;
    tokio::time::sleep(Duration::from_millis(500)).await;
    cluster.check_journals(&load.stop().await);
}

/// A repeat through another entry, after the first one was lost, never runs a second time.
async fn order_and_loss(name: &str) {
    let mut cluster = Cluster::start(name, ClusterConfig::default()).await;
    let order = async |cluster: &Cluster, entry: usize, id: &str, key: &str, work: &str| {
        let headers = [("x-request-id", id), ("idempotency-key", key)];
        let path = format!("/orders?work_ms={work}");
        cluster.request(entry, Method::POST, &path, &headers).await
    };
    let (status, headers, body) = order(&cluster, 0, "a1", "done", "0").await.unwrap();
    assert_eq!(
        (status.as_u16(), &headers["x-mulberryspur-outcome"]),
        (200, &"ran".parse().unwrap())
    );
    let dying = {
        let (pool, listen) = (mulberryspur::pool::Pool::new(1), cluster.entries[0].listen);
        tokio::spawn(async move {
            let headers = [("x-request-id", "b1"), ("idempotency-key", "cut")];
            let limit = Duration::from_secs(5);
            support::send(&pool, listen, Method::POST, "/orders?work_ms=800", &headers, limit).await
        })
    };
    tokio::time::sleep(Duration::from_millis(300)).await;
    cluster.entries[0].process.kill();
    assert!(dying.await.unwrap().is_err(), "the entry is gone");
    let (status, headers, again) = order(&cluster, 1, "a2", "done", "0").await.unwrap();
    assert_eq!((status.as_u16(), again), (200, body));
    assert_eq!(headers["x-mulberryspur-replayed"], "true");
    for entry in [1, 2] {
        let id = format!("b{}", entry + 1);
        let (_, headers, _) = order(&cluster, entry, &id, "cut", "800").await.unwrap();
        assert_eq!(headers["x-mulberryspur-outcome"], "unknown");
    }
    tokio::time::sleep(Duration::from_secs(1)).await;
    let journals = ["paper-0", "paper-1"].map(|u| cluster.dir.join(format!("{u}.journal")));
    let text = journals.map(|j| std::fs::read_to_string(j).unwrap_or_default()).join("");
    let ran = |id: &str| {
        let request = format!("\"request\":\"{id}\"");
        text.lines().filter(|l| l.contains("\"run\"") && l.contains(&request)).count()
    };
    assert_eq!((ran("a1"), ran("a2")), (1, 0));
    assert!(ran("b1") <= 1 && ran("b2") + ran("b3") == 0, "the order ran again");
}

/// Controller, all standbys and an owner lost together: an outsider serves what answers; the lost
/// owner's keys wait for the operator's word.
async fn outsider(name: &str) {
    let cfg = ClusterConfig { entries: vec!["dc-1"; 4], ..ClusterConfig::default() };
    let mut cluster = Cluster::start(name, cfg).await;
    let status = cluster.status(0).await.unwrap();
    let cell = status.cells.iter().find(|c| c.cell == CELL).unwrap().clone();
    let listed = |n: &usize| {
        let entry = &cluster.entries[*n].process.name;
        *entry == cell.controller || cell.standbys.contains(entry)
    };
    let (lost, left): (Vec<usize>, Vec<usize>) = (0..4).partition(listed);
    let outsider = left[0];
    let owner = cluster.owner(outsider, "key-1").await;
    let mut lost_keys = Vec::new();
    let mut kept_keys = Vec::new();
    for n in 0..KEYS {
        let key = format!("key-{n}");
        let of_owner = cluster.owner(outsider, &key).await == owner;
        if of_owner { &mut lost_keys } else { &mut kept_keys }.push(key);
    }
    let load = start_load(&cluster);
    for entry in lost {
        cluster.entries[entry].process.kill();
    }
    cluster.upstreams[owner].process.kill();
    tokio::time::sleep(Duration::from_secs(8)).await;
    let deadline = [("x-mulberryspur-deadline-ms", "300")];
    for key in &kept_keys {
        let path = format!("/patterns/{key}");
        let res = cluster.request(outsider, Method::GET, &path, &deadline).await.unwrap();
        assert_eq!(res.0.as_u16(), 200, "{key}");
    }
    let path = format!("/patterns/{}", lost_keys[0]);
    let (_, headers, _) = cluster.request(outsider, Method::GET, &path, &deadline).await.unwrap();
    assert_eq!(headers["x-mulberryspur-outcome"], "not-run", "no bound is known");
    let name = &cluster.upstreams[owner].process.name;
    let resources = cluster.resources();
    let mut resource = resources.iter().find(|r| r["name"] == **name).unwrap().clone();
    resource["state"] = json!("stopped");
    let (status, body) = cluster.apply_resources(outsider, &[resource], None).await;
    assert!(status.is_success(), "{body}");
    served_again(&cluster, outsider, Instant::now()).await;
    cluster.check_journals(&load.stop().await);
}
