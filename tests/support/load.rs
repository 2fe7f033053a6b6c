//! Callers that note what they were told.

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

/// What a caller was told.
#[derive(Debug, Clone)]
pub struct Answer {
    pub id: String,
    pub method: Method,
    /// Status, absent if the connection broke off or the time ran out.
    pub status: Option<u16>,
    /// Outcome, absent if no answer came.
    pub outcome: Option<String>,
    pub reason: Option<String>,
    pub sent: Instant,
    pub took: Duration,
}

/// Callers in the background.
pub struct Load {
    stop: Arc<AtomicBool>,
    tasks: Vec<tokio::task::JoinHandle<Vec<Answer>>>,
}

impl Load {
    /// Starts callers that take turns among the entries and among `keys` keys.
    pub fn start(entries: &[SocketAddr], callers: usize, keys: u64, pause: Duration) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let count = Arc::new(AtomicU64::new(0));
        let run = |n: usize| {
            let (stop, count) = (stop.clone(), count.clone());
            let entries = entries.to_vec();
            tokio::spawn(async move {
                let pool = Pool::new(4);
                let mut answers = Vec::new();
                while !stop.load(Ordering::Relaxed) {
                    let i = count.fetch_add(1, Ordering::Relaxed);
                    let entry = entries[usize::try_from(i).unwrap() % entries.len()];
                    let method = if i.is_multiple_of(3) { Method::POST } else { Method::GET };
                    answers.push(call(&pool, entry, method, &format!("c{n}-{i}"), i % keys).await);
                    tokio::time::sleep(pause).await;
                }
                answers
            })
        };
        Self { tasks: (0..callers).map(run).collect(), stop: stop.clone() }
    }

    /// Stops the callers and returns what they were told.
    pub async fn stop(self) -> Vec<Answer> {
        self.stop.store(true, Ordering::Relaxed);
        let mut answers = Vec::new();
        for task in self.tasks {
            answers.extend(task.await.expect("caller"));
        }
        answers
    }
}

async fn call(pool: &Pool, entry: SocketAddr, method: Method, id: &str, key: u64) -> Answer {
    let sent = Instant::now();
    let path = format!("/patterns/key-{key}");
    let headers = [(wire::REQUEST_ID, id)];
    let limit = Duration::from_secs(12);
    let result = send(pool, entry, method.clone(), &path, &headers, limit).await;
    let header = |h: &hyper::HeaderMap, name: &str| {
        h.get(name).and_then(|v| v.to_str().ok()).map(str::to_owned)
    };
    let (status, outcome, reason) = match &result {
        Ok((status, h, _)) => {
            (Some(status.as_u16()), header(h, wire::OUTCOME), header(h, wire::REASON))
        }
        Err(_) => (None, None, None),
    };
    Answer { id: id.to_owned(), method, status, outcome, reason, sent, took: sent.elapsed() }
}
