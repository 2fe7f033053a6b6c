//! Idempotency keys: which non-idempotent requests were started, kept in the platform's table.
//!
//! A row is written, on condition that it does not exist, before a request with an idempotency key
//! is sent. Rows of many requests go into one transaction. A repeat through any instance finds the
//! row and is answered from it, or told that the result is unknown; it never runs again.

use crate::{
    clock::{Millis, wall_millis},
    error::{Cause, Error, Result},
    platform_client::{ExpectedVersion, PlatformClient, Put, Row, Transaction},
    slot::key_hash,
};
use base64::{Engine, engine::general_purpose::STANDARD_NO_PAD};
use serde::{Deserialize, Serialize};
use std::sync::{Arc, OnceLock};
use tokio::sync::{mpsc, oneshot};

/// Time in milliseconds for which an idempotency key is kept.
pub const RETENTION_MS: Millis = 24 * 3_600_000;
/// Bytes of an answer's body that are kept for repeats.
pub const MAX_STORED_BODY_BYTES: usize = 64 * 1024;

const PREFIX: &str = "intent/";
const QUEUE: usize = 4_096;
const BATCH: usize = 128;
const ATTEMPTS: u32 = 3;

/// Row of an idempotency key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct IdempotencyRow {
    /// Unique number of the claim.
    pub claim: u64,
    /// Hash of the request that the key was first used for.
    pub fingerprint: u64,
    /// Wall-clock time in milliseconds after which the row may be removed.
    pub expires: Millis,
    /// The first answer, if it is known.
    pub answer: Option<StoredResponse>,
}

/// An answer kept for repeats.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredResponse {
    /// HTTP status.
    pub status: u16,
    /// Content type.
    pub content_type: Option<String>,
    /// Body in base64; absent if it was too long to keep.
    pub body: Option<String>,
}

impl StoredResponse {
    /// Creates an answer with a body that is kept only if it is short enough.
    #[must_use]
    pub fn new(status: u16, content_type: Option<String>, body: Option<&[u8]>) -> Self {
        let kept = body.filter(|b| b.len() <= MAX_STORED_BODY_BYTES);
        Self { status, content_type, body: kept.map(|b| STANDARD_NO_PAD.encode(b)) }
    }

    /// Returns the body, if it was kept.
    #[must_use]
    pub fn body(&self) -> Option<Vec<u8>> {
        STANDARD_NO_PAD.decode(self.body.as_ref()?).ok()
    }
}

/// What a claim found.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Claim {
    /// The key is new: the request may be sent once.
    New(ClaimedKey),
    /// The key was used: this is what is known of it.
    Used(IdempotencyRow),
}

/// A key that this request holds.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ClaimedKey {
    key: String,
    version: u64,
    intent: IdempotencyRow,
}

/// Hashes what makes two requests the same: method, path with query, and body.
#[must_use]
pub fn fingerprint(method: &str, path: &str, body: &[u8]) -> u64 {
    let mut h = xxhash_rust::xxh3::Xxh3::with_seed(1);
    for part in [method.as_bytes(), path.as_bytes(), body] {
        h.update(&(part.len() as u64).to_le_bytes());
        h.update(part);
    }
    h.digest()
}

/// Returns the key of the row for an idempotency key.
#[must_use]
pub fn row_key(service: &str, idempotency_key: &str) -> String {
    let second = key_hash(idempotency_key, service);
    format!("{PREFIX}{service}/{:016x}{second:016x}", key_hash(service, idempotency_key))
}

#[derive(Debug)]
struct Job {
    key: String,
    intent: IdempotencyRow,
    tx: oneshot::Sender<Result<Claim>>,
}

/// Claims idempotency keys in batches.
#[derive(Debug, Default)]
pub struct IdempotencyKeys {
    tx: OnceLock<mpsc::Sender<Job>>,
}

impl IdempotencyKeys {
    /// Creates a claimer; [`Self::start`] must be called before it is used.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Starts the task that writes batches; one transaction is under way at a time.
    pub fn start(&self, platform: impl AsRef<PlatformClient> + Send + Sync + 'static) {
        let (tx, mut rx) = mpsc::channel::<Job>(QUEUE);
        if self.tx.set(tx).is_err() {
            return;
        }
        tokio::spawn(async move {
            let mut jobs = Vec::new();
            while rx.recv_many(&mut jobs, BATCH).await > 0 {
                claim_batch(platform.as_ref(), std::mem::take(&mut jobs)).await;
            }
        });
    }

    /// Claims a key for a request with this fingerprint.
    ///
    /// # Errors
    ///
    /// Fails if the table cannot be reached or too many claims wait; the request must not be sent.
    pub async fn claim(&self, key: String, fingerprint: u64) -> Result<Claim> {
        let intent = IdempotencyRow {
            claim: rand::random::<u64>() >> 12,
            fingerprint,
            expires: wall_millis() + RETENTION_MS,
            answer: None,
        };
        let (tx, rx) = oneshot::channel();
        let full = || Error::invalid("claim idempotency key", "too many claims wait");
        let queue = self.tx.get().ok_or_else(full)?;
        queue.try_send(Job { key, intent, tx }).map_err(|_| full())?;
        rx.await.map_err(|_| full())?
    }
}

async fn claim_batch(platform: &PlatformClient, jobs: Vec<Job>) {
    // A key may stand only once in a transaction; a second claim of it goes alone, afterwards.
    let mut seen = crate::collections::HashSet::default();
    let (first, again): (Vec<Job>, Vec<Job>) =
        jobs.into_iter().partition(|j| seen.insert(j.key.clone()));
    let commit = first.iter().fold(Transaction::default(), |mut c, j| {
        c.expect.push(ExpectedVersion { key: j.key.clone(), version: 0 });
        let value = serde_json::to_value(&j.intent).unwrap_or_default();
        c.put.push(Put { key: j.key.clone(), value });
        c
    });
    match platform.commit(&commit).await {
        Ok(version) => first.into_iter().for_each(|j| {
            let held = ClaimedKey { key: j.key, version, intent: j.intent };
            let _ = j.tx.send(Ok(Claim::New(held)));
        }),
        // One used key fails the whole transaction: each claim is then made alone.
        Err(_) => claim_each(platform, first).await,
    }
    claim_each(platform, again).await;
}

async fn claim_each(platform: &PlatformClient, jobs: Vec<Job>) {
    let claims = jobs.into_iter().map(|j| async move {
        let result = claim_one(platform, &j.key, &j.intent).await;
        let _ = j.tx.send(result);
    });
    futures::future::join_all(claims).await;
}

/// Claims one key; an answer that was lost is settled by reading the row.
async fn claim_one(platform: &PlatformClient, key: &str, intent: &IdempotencyRow) -> Result<Claim> {
    let mut last = None;
    for _ in 0..ATTEMPTS {
        if let Some((version, found)) = platform.typed_row::<IdempotencyRow>(key).await? {
            if found.claim == intent.claim {
                let held = ClaimedKey { key: key.to_owned(), version, intent: intent.clone() };
                return Ok(Claim::New(held));
            }
            return Ok(Claim::Used(found));
        }
        match platform.put_row(key, 0, intent).await {
            Ok(version) => {
                let held = ClaimedKey { key: key.to_owned(), version, intent: intent.clone() };
                return Ok(Claim::New(held));
            }
            Err(e) => last = Some(e),
        }
    }
    let none = || Error::new("claim idempotency key", "", Cause::Invalid("not settled".into()));
    Err(last.unwrap_or_else(none))
}

impl ClaimedKey {
    /// Keeps the answer for repeats.
    ///
    /// # Errors
    ///
    /// Fails if the table cannot be reached; repeats are told that the result is unknown.
    pub async fn complete(&self, platform: &PlatformClient, answer: StoredResponse) -> Result<()> {
        let intent = IdempotencyRow { answer: Some(answer), ..self.intent.clone() };
        platform.put_row(&self.key, self.version, &intent).await.map(|_| ())
    }

    /// Removes the claim after proof that the request did not run.
    ///
    /// # Errors
    ///
    /// Fails if the table cannot be reached; repeats are told that the result is unknown.
    pub async fn release(&self, platform: &PlatformClient) -> Result<()> {
        let commit = Transaction {
            expect: vec![ExpectedVersion { key: self.key.clone(), version: self.version }],
            put: Vec::new(),
            delete: vec![self.key.clone()],
        };
        platform.commit(&commit).await.map(|_| ())
    }
}

/// Removes rows that have expired, and returns their number.
///
/// # Errors
///
/// Fails if the table cannot be reached.
pub async fn remove_expired(platform: &PlatformClient, now: Millis) -> Result<usize> {
    let rows = platform.rows_with_prefix(PREFIX).await?;
    let expired = |row: &&Row| {
        let intent: Option<IdempotencyRow> = serde_json::from_value(row.value.clone()).ok();
        intent.is_none_or(|i| i.expires <= now)
    };
    let gone: Vec<&Row> = rows.iter().filter(expired).collect();
    for batch in gone.chunks(BATCH) {
        let mut commit = Transaction::default();
        for row in batch {
            commit.expect.push(ExpectedVersion { key: row.key.clone(), version: row.version });
            commit.delete.push(row.key.clone());
        }
        platform.commit(&commit).await?;
    }
    Ok(gone.len())
}

impl AsRef<PlatformClient> for Arc<crate::instance::Instance> {
    fn as_ref(&self) -> &PlatformClient {
        &self.platform
    }
}
