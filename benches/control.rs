//! Cost of mulberryd's control plane at rest and per change of the configuration, by number of
//! upstreams, slots and instances.
//!
//! `cargo bench --bench control`

#![allow(
    clippy::cast_possible_truncation,
    clippy::cast_precision_loss,
    clippy::cast_sign_loss,
    reason = "figures for people"
)]

#[path = "../tests/support/mod.rs"]
mod support;

use serde_json::json;
use std::time::{Duration, Instant};
use support::{
    Cluster, ClusterConfig,
    load::{cpu_seconds, loopback_bytes, resident_mb},
};

/// Time for which the cost at rest is measured.
const REST_TIME: Duration = Duration::from_secs(6);

/// Size of a cluster to measure.
#[derive(Debug, Clone, Copy)]
struct Size {
    instances: usize,
    upstreams: usize,
    slots: u32,
}

const SIZES: [Size; 12] = [
    Size { instances: 3, upstreams: 10, slots: 1_024 },
    Size { instances: 3, upstreams: 20, slots: 1_024 },
    Size { instances: 3, upstreams: 40, slots: 1_024 },
    Size { instances: 3, upstreams: 80, slots: 1_024 },
    Size { instances: 3, upstreams: 20, slots: 1 },
    Size { instances: 3, upstreams: 20, slots: 64 },
    Size { instances: 3, upstreams: 20, slots: 8_192 },
    Size { instances: 3, upstreams: 20, slots: 65_536 },
    Size { instances: 6, upstreams: 20, slots: 1_024 },
    Size { instances: 12, upstreams: 20, slots: 1_024 },
    Size { instances: 24, upstreams: 20, slots: 1_024 },
    Size { instances: 48, upstreams: 20, slots: 1_024 },
];

/// Resources used so far.
struct Usage {
    /// Processor seconds of each instance.
    cpu: Vec<f64>,
    /// Bytes sent over loopback.
    bytes: u64,
    /// Reads and writes of the platform.
    calls: (u64, u64),
}

async fn usage(cluster: &Cluster) -> Usage {
    let cpu = cluster.instances.iter().map(|i| cpu_seconds(i.process.id())).collect();
    let mut calls = (0, 0);
    for instance in 0..cluster.instances.len() {
        let status = cluster.status(instance).await.expect("status");
        calls.0 += status.platform_calls.0;
        calls.1 += status.platform_calls.1;
    }
    Usage { cpu, bytes: loopback_bytes(), calls }
}

/// Measures the cost at rest.
async fn measure_rest(cluster: &Cluster, size: Size) {
    let (controller, _) = cluster.controller("foldbook@dc-1").await;
    let before = usage(cluster).await;
    let start = Instant::now();
    tokio::time::sleep(REST_TIME).await;
    let after = usage(cluster).await;
    let secs = start.elapsed().as_secs_f64();
    let cpu = |n: usize| (after.cpu[n] - before.cpu[n]) / secs * 100.0;
    let other_cpu: Vec<f64> =
        (0..cluster.instances.len()).filter(|n| *n != controller).map(cpu).collect();
    let mean_other_cpu = other_cpu.iter().sum::<f64>() / other_cpu.len() as f64;
    let kb = (after.bytes - before.bytes) as f64 / secs / 1_000.0;
    let reads = (after.calls.0 - before.calls.0) as f64 / secs;
    let writes = (after.calls.1 - before.calls.1) as f64 / secs;
    let memory: Vec<f64> = cluster.instances.iter().map(|i| resident_mb(i.process.id())).collect();
    let max_mb = memory.iter().copied().fold(0.0, f64::max);
    println!(
        "{:>3} instances {:>3} upstreams {:>6} slots: cpu controller {:.2} % other {:.2} %, \
         {kb:.1} KB/s in all ({:.2} an instance), platform {reads:.1} reads/s {writes:.1} writes/s, \
         resident at most {max_mb:.1} MB",
        size.instances,
        size.upstreams,
        size.slots,
        cpu(controller),
        mean_other_cpu,
        kb / size.instances as f64
    );
}

/// Measures the time until a change of the configuration is in force on every instance.
async fn measure_change(cluster: &Cluster, size: Size) {
    let mut times = Vec::new();
    let mut bytes = Vec::new();
    for round in 0..12 {
        let resource = json!({"kind": "Service", "name": "paperdesk", "timeout_ms": 1_000 + round});
        let before = loopback_bytes();
        let start = Instant::now();
        let instance = round % cluster.instances.len();
        let (status, body) = cluster.apply_resources(instance, &[resource], None).await;
        assert!(status.is_success(), "{body}");
        let revision =
            serde_json::from_str::<serde_json::Value>(&body).unwrap()["revision"].as_u64();
        loop {
            // The status of each instance is read from itself: the one that made the change learns
            // the others' revisions from heartbeats, which come later.
            let all = (0..cluster.instances.len()).map(|n| cluster.status(n));
            let all = futures::future::join_all(all).await;
            if all.iter().flatten().all(|s| Some(s.revision) >= revision) {
                break;
            }
            tokio::time::sleep(Duration::from_millis(2)).await;
        }
        times.push(start.elapsed().as_millis());
        bytes.push(loopback_bytes() - before);
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    times.sort_unstable();
    println!(
        "{:>3} instances: a change is in force everywhere after median {} ms, max {} ms",
        size.instances,
        times[times.len() / 2],
        times[times.len() - 1]
    );
}

async fn measure() {
    for size in SIZES {
        let cfg = ClusterConfig {
            instances: vec!["dc-1"; size.instances],
            keyed_upstreams: vec!["dc-1"; size.upstreams],
            unkeyed_upstreams: 0,
            slots: size.slots,
            journal: false,
            settings: json!({ "log": "warn" }),
            ..ClusterConfig::default()
        };
        let name = format!("bench-{}-{}-{}", size.instances, size.upstreams, size.slots);
        let cluster = Cluster::start(&name, cfg).await;
        tokio::time::sleep(Duration::from_secs(3)).await;
        measure_rest(&cluster, size).await;
        if size.upstreams == 20 && size.slots == 1_024 {
            measure_change(&cluster, size).await;
        }
    }
}

fn main() {
    if std::env::args().any(|a| a == "--test") {
        return;
    }
    tokio::runtime::Builder::new_multi_thread().enable_all().build().unwrap().block_on(measure());
}
