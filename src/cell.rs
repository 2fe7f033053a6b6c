//! Row of each cell in the platform's table (mulberryd).
//!
//! A cell is the upstreams of one service in one data centre. Its row names the controller, the
//! standbys, and the owner and epoch of each slot.

use crate::{
    error::Error,
    grant::BootId,
    slot::{Epoch, SlotId, Term},
};
use serde::{Deserialize, Serialize};
use std::{collections::BTreeMap, fmt, sync::Arc};

/// Identity of one mulberryd process, new at each start.
pub type InstanceId = u64;

/// One process of an upstream, which may be granted slots. An instance that holds grants in place
/// of upstreams is named by one too.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Owner {
    /// Name of the upstream.
    pub upstream: Arc<str>,
    /// Its process.
    pub boot: BootId,
}

impl fmt::Display for Owner {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}#{:x}", self.upstream, self.boot)
    }
}

/// Owner and epoch of a slot.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Assignment {
    /// The only process that may be granted the slot.
    pub owner: Owner,
    /// Fencing token of this assignment.
    pub epoch: Epoch,
}

/// The row of a cell.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Default, Serialize, Deserialize)]
#[serde(try_from = "RowWire", into = "RowWire")]
pub struct CellRow {
    /// Fencing token of the controller.
    pub term: Term,
    /// The controller.
    pub controller: InstanceId,
    /// Instances that may take over.
    pub standbys: Vec<InstanceId>,
    /// Unique number of the write that made this version of the row.
    pub write_id: u64,
    /// Keys that have slots of their own; the n-th has the n-th slot after the hashed ones.
    pub pins: Vec<Arc<str>>,
    /// Assigned slots.
    pub slots: BTreeMap<SlotId, Assignment>,
}

impl CellRow {
    /// Returns the owners of slots, sorted and without duplicates.
    #[must_use]
    pub fn owners(&self) -> Vec<Owner> {
        let mut owners: Vec<Owner> = self.slots.values().map(|a| a.owner.clone()).collect();
        owners.sort();
        owners.dedup();
        owners
    }
}

/// Returns the name of a cell, which is also that of its row.
#[must_use]
pub fn cell_name(service: &str, data_center: &str) -> Arc<str> {
    format!("{service}@{data_center}").into()
}

/// Splits a cell's name into service and data centre.
#[must_use]
pub fn split_cell_name(cell: &str) -> Option<(&str, &str)> {
    cell.split_once('@')
}

/// Compact form of a row for storage and messages, in which slots refer to owners by index.
#[derive(Debug, Clone, Serialize, Deserialize)]
struct RowWire {
    term: Term,
    controller: InstanceId,
    standbys: Vec<InstanceId>,
    write_id: u64,
    #[serde(default)]
    pins: Vec<Arc<str>>,
    owners: Vec<(Arc<str>, BootId)>,
    slots: Vec<(SlotId, usize, Epoch)>,
}

impl From<CellRow> for RowWire {
    fn from(row: CellRow) -> Self {
        let owners = row.owners();
        let index = |o: &Owner| owners.binary_search(o).unwrap_or(0);
        let slots = row.slots.iter().map(|(slot, a)| (*slot, index(&a.owner), a.epoch)).collect();
        Self {
            term: row.term,
            controller: row.controller,
            standbys: row.standbys,
            write_id: row.write_id,
            pins: row.pins,
            slots,
            owners: owners.into_iter().map(|o| (o.upstream, o.boot)).collect(),
        }
    }
}

impl TryFrom<RowWire> for CellRow {
    type Error = Error;

    fn try_from(wire: RowWire) -> Result<Self, Error> {
        let mut slots = BTreeMap::new();
        for (slot, owner, epoch) in wire.slots {
            let (upstream, boot) = wire.owners.get(owner).cloned().ok_or_else(|| {
                Error::invalid("read cell row", format!("slot {slot} names owner {owner}"))
            })?;
            slots.insert(slot, Assignment { owner: Owner { upstream, boot }, epoch });
        }
        Ok(Self {
            term: wire.term,
            controller: wire.controller,
            standbys: wire.standbys,
            write_id: wire.write_id,
            pins: wire.pins,
            slots,
        })
    }
}
