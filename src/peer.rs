//! Protocol between instances (mulberryd): a tarpc service and its wire types.
//!
//! Instances of other versions use the same names in messages, so a field that is renamed keeps its
//! former name by `serde(rename)`.

use crate::{
    cell::{CellRow, InstanceId},
    clock::Millis,
    controller::PromiseRequest,
    error::Error,
    grant::{Grant, GrantReply},
    instance::LeavingList,
    membership::InstanceInfo,
    registry::ConfigSnapshot,
    resource::Resource,
    slot::Term,
};
use serde::{Deserialize, Serialize};
use std::{net::SocketAddr, sync::Arc};

/// A heartbeat, and the reply to one.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct Heartbeat {
    /// The sender.
    pub info: InstanceInfo,
    /// Configuration revision that it has in force.
    pub revision: u64,
    /// Number of cells that it controls.
    #[serde(rename = "controls")]
    pub controlled_cell_count: usize,
    /// Cells that it controls, with the versions of their rows.
    pub cells: Vec<CellVersion>,
    /// Peer addresses that it knows; left empty in most heartbeats.
    #[serde(rename = "known")]
    pub known_addresses: Vec<SocketAddr>,
    /// Upstreams and instances that the platform lists as leaving.
    pub leaving: LeavingList,
}

/// Version of a cell's row that an instance knows.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct CellVersion {
    pub cell: Arc<str>,
    pub version: u64,
}

/// A committed row of a cell.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct VersionedCellRow {
    pub cell: Arc<str>,
    pub version: u64,
    pub row: Arc<CellRow>,
}

/// A configuration revision. The resources are JSON text: CBOR encodes socket addresses in binary,
/// which [`Resource`], an enum tagged by one of its fields, cannot decode.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct ConfigWire {
    pub revision: u64,
    resources: String,
}

impl From<&ConfigSnapshot> for ConfigWire {
    fn from(snapshot: &ConfigSnapshot) -> Self {
        let resources = serde_json::to_string(&snapshot.resources).unwrap_or_default();
        Self { revision: snapshot.revision, resources }
    }
}

impl TryFrom<ConfigWire> for Vec<VersionedResource> {
    type Error = Error;

    fn try_from(wire: ConfigWire) -> Result<Self, Error> {
        serde_json::from_str(&wire.resources)
            .map_err(|e| Error::invalid("read configuration", e.to_string()))
    }
}

/// A resource and the revision that last changed it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct VersionedResource {
    /// Revision that last changed the resource.
    pub version: u64,
    /// The resource.
    pub resource: Resource,
}

/// Wire form of [`PromiseRequest`].
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub(crate) struct PromiseRequestWire {
    from: InstanceId,
    term: Term,
    sent_at: Millis,
    #[serde(rename = "span")]
    duration: Millis,
}

impl From<PromiseRequest> for PromiseRequestWire {
    fn from(request: PromiseRequest) -> Self {
        Self {
            from: request.from,
            term: request.term,
            sent_at: request.sent_at,
            duration: request.duration,
        }
    }
}

impl From<PromiseRequestWire> for PromiseRequest {
    fn from(request: PromiseRequestWire) -> Self {
        Self {
            from: request.from,
            term: request.term,
            sent_at: request.sent_at,
            duration: request.duration,
        }
    }
}

/// Lines of the audit log that a peer keeps until they are stored.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct KeptAuditLines {
    pub chain: Arc<str>,
    /// Instance that wrote the lines.
    #[serde(rename = "id")]
    pub writer: InstanceId,
    /// Sequence number of the first line.
    pub first: u64,
    pub lines: Vec<String>,
}

// Methods and arguments keep their names, which tarpc sends to instances of other versions.
#[tarpc::service]
pub(crate) trait Peer {
    /// Exchanges what both instances report about themselves.
    async fn heartbeat(beat: Heartbeat) -> Heartbeat;
    /// Requests a promise not to take a cell over.
    async fn ask(cell: Arc<str>, ask: PromiseRequestWire) -> bool;
    /// Tells a standby to take a cell over at once.
    async fn hand_over(cell: Arc<str>, term: Term);
    /// Returns the latest known row of a cell.
    async fn cell_map(cell: Arc<str>) -> Option<VersionedCellRow>;
    /// Announces a newly committed row.
    async fn push_map(map: VersionedCellRow);
    /// Returns the configuration in force, if it is newer than revision `since`.
    async fn config(since: u64) -> Option<ConfigWire>;
    /// Grants slots of upstreams that do not check grants themselves.
    async fn grant(grant: Grant) -> GrantReply;
    /// Keeps lines of the audit log until the sender reports that they are stored.
    async fn keep(lines: KeptAuditLines);
    /// Reports that a chain's lines before sequence number `line` are stored.
    async fn kept_until(chain: Arc<str>, line: u64);
}
