//! Idempotency keys of callers, which mulberryd keeps in the platform's table.
//!
//! Before a request with an idempotency key is sent, a row is written on condition that it does not
//! exist. Rows of many requests go into one transaction. A repeat through any instance finds the
//! row and gets the stored response, or an error if the outcome is unknown or the body was not
//! stored; it never runs again.
//!
//! Stored rows use older names: `intent` for the row of an idempotency key and `answer` for the
//! response. They must stay, as instances of other versions read and write the same rows.

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
/// Longest response body that is stored for repeats, in bytes.
pub const MAX_STORED_BODY_BYTES: usize = 64 * 1024;

/// Start of the keys of the rows of idempotency keys.
const PREFIX: &str = "intent/";
/// Claims that may wait for their transaction.
const MAX_QUEUED_CLAIMS: usize = 4_096;
/// Rows of one transaction.
const MAX_BATCH_ROWS: usize = 128;
/// Attempts at a claim that is made alone.
const MAX_CLAIM_ATTEMPTS: u32 = 3;

/// Row of an idempotency key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct IdempotencyRow {
    /// Unique number of the claim.
    pub claim: u64,
    /// Hash of the request that the key was first used for.
    pub fingerprint: u64,
    /// Wall-clock time in milliseconds after which the row may be removed.
    pub expires: Millis,
    /// The first response, if it is known.
    #[serde(rename = "answer")]
    pub response: Option<StoredResponse>,
}

/// A response stored for repeats.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredResponse {
    /// HTTP status.
    pub status: u16,
    /// Content type.
    pub content_type: Option<String>,
    /// Body in base64; absent if it was too long to store or its length was not declared.
    pub body: Option<String>,
}

impl StoredResponse {
    /// Creates a response whose body is stored only if it is short enough.
    #[must_use]
    pub fn new(status: u16, content_type: Option<String>, body: Option<&[u8]>) -> Self {
        let stored = body.filter(|b| b.len() <= MAX_STORED_BODY_BYTES);
        Self { status, content_type, body: stored.map(|b| STANDARD_NO_PAD.encode(b)) }
    }

    /// Returns the body, if it was stored.
    #[must_use]
    pub fn body(&self) -> Option<Vec<u8>> {
        STANDARD_NO_PAD.decode(self.body.as_ref()?).ok()
    }
}

/// Result of claiming an idempotency key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Claim {
    /// The key is new: the request may be sent once.
    New(ClaimedKey),
    /// The key was used before, by the request of this row.
    Used(IdempotencyRow),
}

/// An idempotency key that a request has claimed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ClaimedKey {
    row_key: String,
    version: u64,
    row: IdempotencyRow,
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

/// A claim that waits for its transaction.
#[derive(Debug)]
struct QueuedClaim {
    row_key: String,
    row: IdempotencyRow,
    tx: oneshot::Sender<Result<Claim>>,
}

/// Claims idempotency keys in batches.
#[derive(Debug, Default)]
pub struct IdempotencyKeys {
    tx: OnceLock<mpsc::Sender<QueuedClaim>>,
}

impl IdempotencyKeys {
    /// Creates an empty queue of claims; [`Self::start`] must be called before a claim is made.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Starts the task that makes the claims, one transaction at a time.
    pub fn start(&self, platform: impl AsRef<PlatformClient> + Send + Sync + 'static) {
        let (tx, mut rx) = mpsc::channel::<QueuedClaim>(MAX_QUEUED_CLAIMS);
        if self.tx.set(tx).is_err() {
            return;
        }
        tokio::spawn(async move {
            let mut claims = Vec::new();
            while rx.recv_many(&mut claims, MAX_BATCH_ROWS).await > 0 {
                claim_batch(platform.as_ref(), std::mem::take(&mut claims)).await;
            }
        });
    }

    /// Claims the idempotency key of a row for a request with this fingerprint.
    ///
    /// # Errors
    ///
    /// Fails if the table cannot be reached or too many claims are waiting; the request must not be
    /// sent.
    pub async fn claim(&self, row_key: String, fingerprint: u64) -> Result<Claim> {
        let row = IdempotencyRow {
            claim: rand::random::<u64>() >> 12,
            fingerprint,
            expires: wall_millis() + RETENTION_MS,
            response: None,
        };
        let (tx, rx) = oneshot::channel();
        let unavailable =
            || Error::invalid("claim idempotency key", "claim queue is full or closed");
        let queue = self.tx.get().ok_or_else(unavailable)?;
        queue.try_send(QueuedClaim { row_key, row, tx }).map_err(|_| unavailable())?;
        rx.await.map_err(|_| unavailable())?
    }
}

async fn claim_batch(platform: &PlatformClient, claims: Vec<QueuedClaim>) {
    // A transaction may hold a row key only once; further claims of it are made alone afterwards.
    let mut seen = crate::collections::HashSet::default();
    let (distinct, repeated): (Vec<QueuedClaim>, Vec<QueuedClaim>) =
        claims.into_iter().partition(|c| seen.insert(c.row_key.clone()));
    let transaction = distinct.iter().fold(Transaction::default(), |mut t, c| {
        t.expect.push(ExpectedVersion { key: c.row_key.clone(), version: 0 });
        let value = serde_json::to_value(&c.row).unwrap_or_default();
        t.put.push(Put { key: c.row_key.clone(), value });
        t
    });
    match platform.commit(&transaction).await {
        Ok(version) => distinct.into_iter().for_each(|c| {
            let claimed = ClaimedKey { row_key: c.row_key, version, row: c.row };
            let _ = c.tx.send(Ok(Claim::New(claimed)));
        }),
        // One used key fails the whole transaction, so each claim is made alone.
        Err(_) => claim_each(platform, distinct).await,
    }
    claim_each(platform, repeated).await;
}

async fn claim_each(platform: &PlatformClient, claims: Vec<QueuedClaim>) {
    let pending = claims.into_iter().map(|c| async move {
        let result = claim_one(platform, &c.row_key, &c.row).await;
        let _ = c.tx.send(result);
    });
    futures::future::join_all(pending).await;
}

/// Claims one key alone; if a response was lost, reading the row tells whether it is claimed.
async fn claim_one(
    platform: &PlatformClient,
    row_key: &str,
    row: &IdempotencyRow,
) -> Result<Claim> {
    let mut last_error = None;
    for _ in 0..MAX_CLAIM_ATTEMPTS {
        if let Some((version, found)) = platform.typed_row::<IdempotencyRow>(row_key).await? {
            if found.claim == row.claim {
                let claimed = ClaimedKey { row_key: row_key.to_owned(), version, row: row.clone() };
                return Ok(Claim::New(claimed));
            }
            return Ok(Claim::Used(found));
        }
        match platform.put_row(row_key, 0, row).await {
            Ok(version) => {
                let claimed = ClaimedKey { row_key: row_key.to_owned(), version, row: row.clone() };
                return Ok(Claim::New(claimed));
            }
            Err(e) => last_error = Some(e),
        }
    }
    let no_attempt =
        || Error::new("claim idempotency key", "", Cause::Invalid("not attempted".into()));
    Err(last_error.unwrap_or_else(no_attempt))
}

impl ClaimedKey {
    /// Stores the response for repeats.
    ///
    /// # Errors
    ///
    /// Fails if the table cannot be reached; repeats are told that the outcome is unknown.
    pub async fn complete(
        &self,
        platform: &PlatformClient,
        response: StoredResponse,
    ) -> Result<()> {
        let row = IdempotencyRow { response: Some(response), ..self.row.clone() };
        platform.put_row(&self.row_key, self.version, &row).await.map(|_| ())
    }

    /// Removes the row of a request that provably did not run, so that the key can be used again.
    ///
    /// # Errors
    ///
    /// Fails if the table cannot be reached; repeats are told that the outcome is unknown.
    pub async fn release(&self, platform: &PlatformClient) -> Result<()> {
        let transaction = Transaction {
            expect: vec![ExpectedVersion { key: self.row_key.clone(), version: self.version }],
            put: Vec::new(),
            delete: vec![self.row_key.clone()],
        };
        platform.commit(&transaction).await.map(|_| ())
    }
}

/// Removes rows that have expired or cannot be read, and returns their number.
///
/// # Errors
///
/// Fails if the table cannot be reached.
pub async fn remove_expired(platform: &PlatformClient, now: Millis) -> Result<usize> {
    let rows = platform.rows_with_prefix(PREFIX).await?;
    let is_expired = |row: &&Row| {
        let parsed: Option<IdempotencyRow> = serde_json::from_value(row.value.clone()).ok();
        parsed.is_none_or(|i| i.expires <= now)
    };
    let expired: Vec<&Row> = rows.iter().filter(is_expired).collect();
    for batch in expired.chunks(MAX_BATCH_ROWS) {
        let mut transaction = Transaction::default();
        for row in batch {
            transaction.expect.push(ExpectedVersion { key: row.key.clone(), version: row.version });
            transaction.delete.push(row.key.clone());
        }
        platform.commit(&transaction).await?;
    }
    Ok(expired.len())
}

impl AsRef<PlatformClient> for Arc<crate::instance::Instance> {
    fn as_ref(&self) -> &PlatformClient {
        &self.platform
    }
}
