//! Time for which a key is not served after the loss of its owner, of the controller of its cell or
//! of both, and after a planned stop of the controller (mulberryd).
//!
//! `cargo bench --bench unavailable [-- RUNS]`

#![allow(
    clippy::cast_possible_truncation,
    clippy::cast_precision_loss,
    clippy::cast_sign_loss,
    reason = "figures for people"
)]

#[path = "../tests/support/mod.rs"]
mod support;

use hyper::Method;
use std::time::{Duration, Instant};
use support::{Cluster, ClusterConfig};

const RUNS: usize = 30;
/// Clusters that are measured at the same time.
const PARALLEL_RUNS: usize = 3;
const CELL: &str = "foldbook@dc-1";
/// Time for which keys are probed.
const WATCH_TIME: Duration = Duration::from_secs(5);
/// Time between a response and the next probe of a key.
const PROBE_PAUSE: Duration = Duration::from_millis(4);

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Loss {
    Owner,
    Controller,
    Both,
    PlannedStop,
}

struct ProbeResult {
    /// Longest time in milliseconds between two successful probes of a key.
    gap_ms: u128,
    failed: usize,
    probes: usize,
}

async fn measure_once(loss: Loss, run: usize) -> ProbeResult {
    let cfg = ClusterConfig {
        instances: vec!["dc-1"; 4],
        keyed_upstreams: vec!["dc-1"; 4],
        ..ClusterConfig::default()
    };
    let mut cluster = Cluster::start(&format!("bench-{loss:?}-{run}"), cfg).await;
    let (controller, _) = cluster.controller(CELL).await;
    let survivor = (0..4).find(|n| *n != controller).unwrap();
    let owner = cluster.owner(survivor, "key-0").await;
    let mut keys = Vec::new();
    for n in 0..200 {
        let key = format!("key-{n}");
        if keys.len() < 4 && cluster.owner(survivor, &key).await == owner {
            keys.push(key);
        }
    }
    // So that losses are spread over the time between two renewals.
    tokio::time::sleep(Duration::from_millis(37 * run as u64 % 250)).await;
    let listen = cluster.instances[survivor].listen;
    let start = Instant::now();
    let spawn_probe = |key: String| {
        tokio::spawn(async move {
            let pool = mulberryspur::pool::Pool::new(64);
            let path = format!("/patterns/{key}");
            let (mut last, mut gap, mut failed, mut probes) = (start, Duration::ZERO, 0, 0);
            while start.elapsed() < WATCH_TIME {
                let headers = [("x-mulberryspur-deadline-ms", "50")];
                let timeout = Duration::from_secs(1);
                let res = support::send(&pool, listen, Method::GET, &path, &headers, timeout).await;
                probes += 1;
                if res.is_ok_and(|(s, _, _)| s.is_success()) {
                    gap = gap.max(last.elapsed());
                    last = Instant::now();
                } else {
                    failed += 1;
                }
                tokio::time::sleep(PROBE_PAUSE).await;
            }
            (gap.max(last.elapsed()), failed, probes)
        })
    };
    let tasks: Vec<_> = keys.into_iter().map(spawn_probe).collect();
    tokio::time::sleep(Duration::from_millis(200)).await;
    if matches!(loss, Loss::Controller | Loss::Both) {
        cluster.instances[controller].process.kill();
    }
    if matches!(loss, Loss::Owner | Loss::Both) {
        cluster.upstreams[owner].process.kill();
    }
    if loss == Loss::PlannedStop {
        cluster.instances[controller].process.signal(rustix::process::Signal::TERM);
    }
    let mut result = ProbeResult { gap_ms: 0, failed: 0, probes: 0 };
    for task in tasks {
        let (gap, failed, probes) = task.await.unwrap();
        result.gap_ms = result.gap_ms.max(gap.as_millis());
        result.failed += failed;
        result.probes += probes;
    }
    result
}

async fn measure(runs: usize) {
    for loss in [Loss::Owner, Loss::Controller, Loss::Both, Loss::PlannedStop] {
        let mut gaps = Vec::new();
        let (mut failed, mut probes) = (0, 0);
        for first in (0..runs).step_by(PARALLEL_RUNS) {
            let batch = (first..runs.min(first + PARALLEL_RUNS)).map(|run| measure_once(loss, run));
            for o in futures::future::join_all(batch).await {
                gaps.push(o.gap_ms);
                failed += o.failed;
                probes += o.probes;
            }
        }
        gaps.sort_unstable();
        let quantile = |q: f64| gaps[((gaps.len() - 1) as f64 * q).round() as usize];
        println!(
            "{loss:?}: n {}, median {} ms, p99 {} ms, max {} ms; {failed} of {probes} probes failed",
            gaps.len(),
            quantile(0.5),
            quantile(0.99),
            quantile(1.0)
        );
    }
}

fn main() {
    if std::env::args().any(|a| a == "--test") {
        return;
    }
    let runs = std::env::args().find_map(|a| a.parse().ok()).unwrap_or(RUNS);
    let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build().unwrap();
    runtime.block_on(measure(runs));
}
