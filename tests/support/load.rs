//! Callers in the background that record the result of each request; usage of processes.

use super::send;
use hyper::Method;
use mulberryspur::{pool::Pool, wire};
use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

/// What a caller was told of one request.
#[derive(Debug, Clone)]
pub struct RequestResult {
    pub id: String,
    pub method: Method,
    /// Status, absent if the connection broke or the time limit passed.
    pub status: Option<u16>,
    /// Outcome, absent if there was no response.
    pub outcome: Option<String>,
    pub reason: Option<String>,
    pub sent: Instant,
    pub took: Duration,
}

/// Callers in the background.
pub struct LoadGenerator {
    stop: Arc<AtomicBool>,
    tasks: Vec<tokio::task::JoinHandle<Vec<RequestResult>>>,
}

impl LoadGenerator {
    /// Starts callers that send requests to the instances in turn and for `keys` keys in turn, with
    /// a pause after each request.
    pub fn start(instances: &[SocketAddr], callers: usize, keys: u64, pause: Duration) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let count = Arc::new(AtomicU64::new(0));
        let spawn_caller = |n: usize| {
            let (stop, count) = (stop.clone(), count.clone());
            let instances = instances.to_vec();
            tokio::spawn(async move {
                let pool = Pool::new(4);
                let mut results = Vec::new();
                while !stop.load(Ordering::Relaxed) {
                    let i = count.fetch_add(1, Ordering::Relaxed);
                    let instance = instances[usize::try_from(i).unwrap() % instances.len()];
                    let method = if i.is_multiple_of(3) { Method::POST } else { Method::GET };
                    results.push(
                        send_request(&pool, instance, method, &format!("c{n}-{i}"), i % keys).await,
                    );
                    tokio::time::sleep(pause).await;
                }
                results
            })
        };
        Self { tasks: (0..callers).map(spawn_caller).collect(), stop: stop.clone() }
    }

    /// Stops the callers and returns what they were told.
    pub async fn stop(self) -> Vec<RequestResult> {
        self.stop.store(true, Ordering::Relaxed);
        let mut results = Vec::new();
        for task in self.tasks {
            results.extend(task.await.expect("caller"));
        }
        results
    }
}

async fn send_request(
    pool: &Pool,
    instance: SocketAddr,
    method: Method,
    id: &str,
    key: u64,
) -> RequestResult {
    let sent = Instant::now();
    let path = format!("/patterns/key-{key}");
    let headers = [(wire::REQUEST_ID, id)];
    let timeout = Duration::from_secs(12);
    let result = send(pool, instance, method.clone(), &path, &headers, timeout).await;
    let header = |h: &hyper::HeaderMap, name: &str| {
        h.get(name).and_then(|v| v.to_str().ok()).map(str::to_owned)
    };
    let (status, outcome, reason) = match &result {
        Ok((status, h, _)) => {
            (Some(status.as_u16()), header(h, wire::OUTCOME), header(h, wire::RESPONSE_REASON))
        }
        Err(_) => (None, None, None),
    };
    RequestResult { id: id.to_owned(), method, status, outcome, reason, sent, took: sent.elapsed() }
}

/// Returns the processor time that a process has used, in seconds.
pub fn cpu_seconds(pid: u32) -> f64 {
    const TICKS_PER_SECOND: f64 = 100.0;
    let text = std::fs::read_to_string(format!("/proc/{pid}/stat")).unwrap_or_default();
    let after_name = text.rsplit(')').next().unwrap_or_default();
    let fields: Vec<f64> = after_name.split(' ').filter_map(|f| f.parse().ok()).collect();
    // `filter_map` skips the state, a letter; utime and stime are the 11th and 12th numbers after
    // it.
    (fields[10] + fields[11]) / TICKS_PER_SECOND
}

/// Returns the resident memory of a process in megabytes.
pub fn resident_mb(pid: u32) -> f64 {
    let text = std::fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let line = text.lines().find_map(|l| l.strip_prefix("VmRSS:")).unwrap_or("0 kB");
    let kb: f64 = line.trim().trim_end_matches(" kB").parse().unwrap_or(0.0);
    kb / 1_000.0
}

/// Returns the bytes sent over loopback so far, headers included.
pub fn loopback_bytes() -> u64 {
    let text = std::fs::read_to_string("/proc/net/dev").unwrap_or_default();
    let line = text.lines().find_map(|l| l.trim().strip_prefix("lo:")).unwrap_or_default();
    line.split_whitespace().nth(8).and_then(|f| f.parse().ok()).unwrap_or(0)
}
