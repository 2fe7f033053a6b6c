//! The interface between the router and the platform that it runs on: functions and names that the
//! program `mulberryspur-platform` provides.

use crate::{
    coordinator::{GrantOrder, OrderOutcome, ReleaseOrder},
    error::Result,
};
use futures::future::LocalBoxFuture;
use hyper::header::HeaderName;
use std::{net::SocketAddr, sync::Arc};

/// A row of the router's tables in the store.
#[derive(Debug, Clone)]
pub struct Row {
    /// Key within its group.
    pub key: Arc<str>,
    /// Stored value, `None` if the row does not exist.
    pub value: Option<Vec<u8>>,
    /// Revision of its last change, in the generation of the store in which it was read; see
    /// [`crate::revision`]. Its number is 0 if the row does not exist.
    pub revision: u64,
}

/// Name of a row.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RowName {
    /// Whether the row is in the table whose changes reach all instances: each follows it, or gets
    /// the changes from an instance that does. Rows of the other table are read when needed.
    pub followed: bool,
    /// Group of the row; only rows of one group can be changed together.
    pub group: Arc<str>,
    /// Key within the group.
    pub key: Arc<str>,
}

/// A conditional, atomic change of rows of one group.
#[derive(Debug, Clone, Default)]
pub struct Change {
    /// Revisions that rows must have, as they were read.
    pub expect: Vec<(RowName, u64)>,
    /// Rows to write.
    pub put: Vec<(RowName, Vec<u8>)>,
}

/// Outcome of a change.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ChangeOutcome {
    /// It was made with this revision.
    Done(u64),
    /// A row had another revision than expected, or the store was restored since the rows were read;
    /// nothing was changed.
    Conflict,
    /// It was not made and never will be.
    NotDone,
    /// It may have been made, or may be made at any later time while its condition holds.
    Unknown,
}

/// Functions that read and change rows of the router's two tables: one that instances follow, and
/// one whose rows are read when needed.
pub struct Table {
    /// Reads one row.
    pub read: Box<dyn Fn(RowName) -> LocalBoxFuture<'static, Result<Row>>>,
    /// Makes a conditional change.
    pub change: Box<dyn Fn(Change) -> LocalBoxFuture<'static, ChangeOutcome>>,
}

/// Functions that send orders about keys to upstreams.
///
/// Each call has a time limit of its own: a grant ends within the transit time that the coordinator
/// assumes, while a release is given time for the requests that still run for its keys.
pub struct Orders {
    /// Grants keys.
    pub grant: Box<dyn Fn(SocketAddr, GrantOrder) -> LocalBoxFuture<'static, OrderOutcome>>,
    /// Asks an owner to release keys; ends once no request runs for them any more.
    pub release: Box<dyn Fn(SocketAddr, ReleaseOrder) -> LocalBoxFuture<'static, OrderOutcome>>,
}

/// Names of the headers that callers, instances and upstreams exchange.
#[derive(Debug, Clone)]
pub struct HeaderNames {
    /// Identity of a request, repeated in its response.
    pub request_id: HeaderName,
    /// Time in milliseconds that is left for a request.
    pub time_left: HeaderName,
    /// Identity of the upstream that should run a request; others refuse it.
    pub expected_upstream: HeaderName,
    /// Key of a request.
    pub key: HeaderName,
    /// Marks a response that an upstream itself made.
    pub signature: HeaderName,
    /// Marks a response to a request that was not run.
    pub not_run: HeaderName,
    /// Load of an upstream: running requests, waiting requests, requests that it runs at once.
    pub load: HeaderName,
    /// Requests per second that an upstream in need takes from all instances together, for as long
    /// as its responses have it.
    pub rate_limit: HeaderName,
    /// Marks the responses of an upstream that is about to stop and takes no new requests.
    pub leaving: HeaderName,
}

/// Everything that the router needs from the platform.
pub struct PlatformAdapter {
    /// The router's tables.
    pub table: Table,
    /// Orders about keys.
    pub orders: Orders,
    /// Names of the headers that the platform uses.
    pub header_names: HeaderNames,
}

impl std::fmt::Debug for PlatformAdapter {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        // The printed names are earlier ones of the type and the field.
        f.debug_struct("Ports").field("dialect", &self.header_names).finish_non_exhaustive()
    }
}
