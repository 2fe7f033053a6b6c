//! HTTP client of mulberryd's platform: transactional table, object store and instance list.
//!
//! `mulberryspur-platform` reaches its platform through an [`adapter`](crate::adapter) instead.

use crate::{
    error::{Cause, Error, Result},
    http,
    pool::{self, Pool},
};
use bytes::Bytes;
use hyper::{Method, Request, StatusCode};
use serde::{Deserialize, Serialize, de::DeserializeOwned};
use std::{
    net::SocketAddr,
    sync::Arc,
    sync::atomic::{AtomicU64, Ordering},
    time::Duration,
};

const MAX_CONNECTIONS: usize = 16;
/// Bytes of an error response's body that an error message quotes.
const MAX_ERROR_TEXT_BYTES: usize = 200;

/// A row of the table.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Row {
    /// Key of the row.
    pub key: String,
    /// Version, which grows with each write of the row.
    pub version: u64,
    /// Content.
    pub value: serde_json::Value,
}

/// A transaction: all changes are made if all conditions hold, otherwise none is.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct Transaction {
    /// Versions that rows must have, 0 for rows that must not exist.
    #[serde(default)]
    pub expect: Vec<ExpectedVersion>,
    /// Rows to write.
    #[serde(default)]
    pub put: Vec<Put>,
    /// Keys of rows to remove.
    #[serde(default)]
    pub delete: Vec<String>,
}

/// A condition of a transaction.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ExpectedVersion {
    /// Key of the row.
    pub key: String,
    /// Version that it must have, 0 if it must not exist.
    pub version: u64,
}

/// A row to write.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Put {
    /// Key of the row.
    pub key: String,
    /// New content.
    pub value: serde_json::Value,
}

/// Response to a transaction that took effect.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub struct CommitReply {
    /// Version of all rows that it wrote.
    pub version: u64,
}

/// Response to a transaction of which a condition failed.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ConflictReply {
    /// Row whose condition failed.
    pub key: String,
    /// Current version of the row, 0 if it does not exist.
    pub version: u64,
}

/// An entry of the platform's instance list, which lags behind the real states.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct InstanceEntry {
    /// Name of an upstream or an instance.
    pub name: Arc<str>,
    /// State that the platform reports.
    pub state: InstanceState,
}

/// State of an upstream or instance in the platform's list.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum InstanceState {
    /// It runs.
    Live,
    /// It is about to stop.
    Leaving,
}

/// Client of the platform.
#[derive(Debug)]
pub struct PlatformClient {
    addr: SocketAddr,
    data_center: Arc<str>,
    pool: Pool,
    timeout: Duration,
    reads: AtomicU64,
    writes: AtomicU64,
}

impl PlatformClient {
    /// Creates a client that calls from `data_center`; each call takes at most `timeout`.
    #[must_use]
    pub fn new(addr: SocketAddr, data_center: Arc<str>, timeout: Duration) -> Self {
        let pool = Pool::new(MAX_CONNECTIONS);
        let (reads, writes) = (AtomicU64::new(0), AtomicU64::new(0));
        Self { addr, data_center, pool, timeout, reads, writes }
    }

    /// Returns the numbers of reads and writes sent so far.
    #[must_use]
    pub fn call_counts(&self) -> (u64, u64) {
        (self.reads.load(Ordering::Relaxed), self.writes.load(Ordering::Relaxed))
    }

    /// Reads a row, `None` if it does not exist.
    ///
    /// # Errors
    ///
    /// Fails if the platform does not respond, or responds with an error.
    pub async fn row(&self, key: &str) -> Result<Option<Row>> {
        self.get("read row", &format!("/v1/table/rows/{key}")).await
    }

    /// Reads a row as a typed value with its version, `None` if it does not exist.
    ///
    /// # Errors
    ///
    /// As [`Self::row`], and if the row cannot be parsed as a `T`.
    pub async fn typed_row<T: DeserializeOwned>(&self, key: &str) -> Result<Option<(u64, T)>> {
        let Some(row) = self.row(key).await? else {
            return Ok(None);
        };
        let value = serde_json::from_value(row.value)
            .map_err(|e| Error::invalid("read row", format!("row {key}: {e}")))?;
        Ok(Some((row.version, value)))
    }

    /// Reads all rows whose key starts with `prefix`.
    ///
    /// # Errors
    ///
    /// Fails if the platform does not respond, or responds with an error.
    pub async fn rows_with_prefix(&self, prefix: &str) -> Result<Vec<Row>> {
        let rows = self.get("read rows", &format!("/v1/table/rows?prefix={prefix}")).await?;
        Ok(rows.unwrap_or_default())
    }

    /// Runs a transaction and returns the version of the rows that it wrote.
    ///
    /// # Errors
    ///
    /// [`Cause::Conflict`] if a condition failed.
    /// Otherwise [`Error::may_have_taken_effect`] tells whether it may have been applied.
    pub async fn commit(&self, transaction: &Transaction) -> Result<u64> {
        let body =
            serde_json::to_vec(transaction).map_err(|e| Error::invalid("commit", e.to_string()))?;
        let (status, bytes) = self.send("commit", Method::POST, "/v1/table/commit", body).await?;
        match status {
            StatusCode::OK => Ok(self.decode::<CommitReply>("commit", &bytes)?.version),
            StatusCode::CONFLICT => {
                let reply: ConflictReply = self.decode("commit", &bytes)?;
                let cause = Cause::Conflict { key: reply.key, current: reply.version };
                Err(self.error_from("commit", cause))
            }
            _ => Err(self.status_error("commit", status, &bytes)),
        }
    }

    /// Writes one row if it has version `expected`, 0 if it must not exist.
    ///
    /// # Errors
    ///
    /// As [`Self::commit`].
    pub async fn put_row(&self, key: &str, expected: u64, value: &impl Serialize) -> Result<u64> {
        let value =
            serde_json::to_value(value).map_err(|e| Error::invalid("commit", e.to_string()))?;
        let transaction = Transaction {
            expect: vec![ExpectedVersion { key: key.to_owned(), version: expected }],
            put: vec![Put { key: key.to_owned(), value }],
            delete: Vec::new(),
        };
        self.commit(&transaction).await
    }

    /// Stores an object; `false` if one of this name exists already.
    ///
    /// # Errors
    ///
    /// Fails if the platform does not respond, or responds with an error.
    pub async fn put_object(&self, name: &str, body: Bytes) -> Result<bool> {
        let path = format!("/v1/objects/{name}");
        let (status, bytes) = self.send("store object", Method::PUT, &path, body).await?;
        match status {
            StatusCode::CREATED => Ok(true),
            StatusCode::PRECONDITION_FAILED => Ok(false),
            _ => Err(self.status_error("store object", status, &bytes)),
        }
    }

    /// Reads an object, `None` if it does not exist.
    ///
    /// # Errors
    ///
    /// Fails if the platform does not respond, or responds with an error.
    pub async fn object(&self, name: &str) -> Result<Option<Bytes>> {
        let path = format!("/v1/objects/{name}");
        let (status, bytes) = self.send("read object", Method::GET, &path, Bytes::new()).await?;
        match status {
            StatusCode::OK => Ok(Some(bytes)),
            StatusCode::NOT_FOUND => Ok(None),
            _ => Err(self.status_error("read object", status, &bytes)),
        }
    }

    /// Lists the names of objects that start with `prefix`.
    ///
    /// # Errors
    ///
    /// Fails if the platform does not respond, or responds with an error.
    pub async fn list_objects(&self, prefix: &str) -> Result<Vec<String>> {
        let names = self.get("list objects", &format!("/v1/objects?prefix={prefix}")).await?;
        Ok(names.unwrap_or_default())
    }

    /// Reads the platform's instance list.
    ///
    /// # Errors
    ///
    /// Fails if the platform does not respond, or responds with an error.
    pub async fn list_instances(&self) -> Result<Vec<InstanceEntry>> {
        Ok(self.get("list instances", "/v1/instances").await?.unwrap_or_default())
    }

    async fn get<T: DeserializeOwned>(&self, step: &'static str, path: &str) -> Result<Option<T>> {
        let (status, bytes) = self.send(step, Method::GET, path, Bytes::new()).await?;
        match status {
            StatusCode::OK => self.decode(step, &bytes).map(Some),
            StatusCode::NOT_FOUND => Ok(None),
            _ => Err(self.status_error(step, status, &bytes)),
        }
    }

    async fn send(
        &self,
        step: &'static str,
        method: Method,
        path: &str,
        body: impl Into<Bytes>,
    ) -> Result<(StatusCode, Bytes)> {
        let counter = if method == Method::GET { &self.reads } else { &self.writes };
        counter.fetch_add(1, Ordering::Relaxed);
        let req = Request::builder()
            .method(method)
            .uri(path)
            .header("host", self.addr.to_string())
            .header("x-data-center", &*self.data_center)
            .body(http::full_body(body))
            .map_err(|e| Error::invalid(step, e.to_string()))?;
        let (status, _, bytes) = pool::call(&self.pool, step, self.addr, req, self.timeout).await?;
        Ok((status, bytes))
    }

    fn decode<T: DeserializeOwned>(&self, step: &'static str, bytes: &[u8]) -> Result<T> {
        serde_json::from_slice(bytes)
            .map_err(|e| self.error_from(step, Cause::Invalid(format!("malformed answer: {e}"))))
    }

    fn status_error(&self, step: &'static str, status: StatusCode, bytes: &[u8]) -> Error {
        let excerpt = &bytes[..bytes.len().min(MAX_ERROR_TEXT_BYTES)];
        let text = String::from_utf8_lossy(excerpt).trim().to_owned();
        self.error_from(step, Cause::Status { status: status.as_u16(), text })
    }

    fn error_from(&self, step: &'static str, cause: Cause) -> Error {
        Error::new(step, self.addr.to_string(), cause)
    }
}
