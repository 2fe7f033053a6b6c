//! What the router needs from the platform that it runs on, as functions that the caller provides.

use crate::{
    coordinator::{GrantOrder, OrderOutcome, ReleaseOrder},
    error::Result,
};
use futures::future::LocalBoxFuture;
use hyper::header::HeaderName;
use std::{net::SocketAddr, sync::Arc};

/// A row of the shared table.
#[derive(Debug, Clone)]
pub struct Row {
    /// Key within its group.
    pub key: Arc<str>,
    /// What was stored.
    pub value: Vec<u8>,
    /// Revision of its last change.
    pub revision: u64,
}

/// Name of a row.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RowName {
    /// Whether instances follow changes of the row; others must read it.
    pub followed: bool,
    /// Rows of one group can be changed together.
    pub group: Arc<str>,
    /// Key within the group.
    pub key: Arc<str>,
}

/// A conditional change of rows of one group: all of it or nothing.
#[derive(Debug, Clone, Default)]
pub struct Change {
    /// Revisions that rows must have, 0 for rows that must not exist.
    pub expect: Vec<(RowName, u64)>,
    /// Rows to write.
    pub put: Vec<(RowName, Vec<u8>)>,
}

/// How a change ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ChangeOutcome {
    /// It was made, at this revision.
    Done(u64),
    /// A row had another revision; nothing was done.
    Conflict,
    /// Nothing was done, and never will be.
    NotDone,
    /// It may be made at any later time, while its condition holds.
    Unknown,
}

/// Reads and changes rows of the shared table.
pub struct Table {
    /// Reads one row.
    pub read: Box<dyn Fn(RowName) -> LocalBoxFuture<'static, Result<Option<Row>>>>,
    /// Makes a conditional change.
    pub change: Box<dyn Fn(Change) -> LocalBoxFuture<'static, ChangeOutcome>>,
}

/// Sends orders about keys to upstreams. Each call ends within a time of its own: a grant within the
/// time that the coordinator allows for its way, a release after the work that runs.
pub struct Orders {
    /// Grants keys.
    pub grant: Box<dyn Fn(SocketAddr, GrantOrder) -> LocalBoxFuture<'static, OrderOutcome>>,
    /// Takes keys back; the answer comes once nothing runs for them any more.
    pub release: Box<dyn Fn(SocketAddr, ReleaseOrder) -> LocalBoxFuture<'static, OrderOutcome>>,
}

/// Names of the headers that callers, instances and upstreams exchange.
#[derive(Debug, Clone)]
pub struct HeaderNames {
    /// Identity of a request, which answers repeat.
    pub request_id: HeaderName,
    /// Time in milliseconds that is left for the request.
    pub time_left: HeaderName,
    /// Identity of the upstream that should run the request; others refuse it.
    pub expected_upstream: HeaderName,
    /// Key of the request.
    pub key: HeaderName,
    /// Mark of an answer that an upstream made itself.
    pub signature: HeaderName,
    /// Mark of an answer that says that the request has not run.
    pub not_run: HeaderName,
    /// Load of an upstream: running, waiting, slots.
    pub load: HeaderName,
}

/// Everything that the router needs.
pub struct PlatformAdapter {
    /// The shared table.
    pub table: Table,
    /// Orders about keys.
    pub orders: Orders,
    /// Names of headers.
    pub header_names: HeaderNames,
}

impl std::fmt::Debug for PlatformAdapter {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Ports").field("dialect", &self.header_names).finish_non_exhaustive()
    }
}
