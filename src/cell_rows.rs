//! The latest known row of each cell, for routing (mulberryd).

use crate::{collections::HashMap, peer::CellVersion, peer::VersionedCellRow};
use std::sync::{Arc, PoisonError, RwLock};
use tokio::sync::watch;

/// The latest known rows; only a newer version replaces a row.
#[derive(Debug)]
pub(crate) struct CellRows {
    rows: RwLock<HashMap<Arc<str>, VersionedCellRow>>,
    changed: watch::Sender<u64>,
}

impl CellRows {
    pub fn new() -> Self {
        Self { rows: RwLock::default(), changed: watch::Sender::new(0) }
    }

    /// Stores a row if it is newer than the known one, and returns whether it is.
    pub fn insert_if_newer(&self, row: VersionedCellRow) -> bool {
        let mut rows = self.rows.write().unwrap_or_else(PoisonError::into_inner);
        let later = rows.get(&row.cell).is_none_or(|known| known.version < row.version);
        if later {
            rows.insert(row.cell.clone(), row);
            drop(rows);
            self.changed.send_modify(|n| *n += 1);
        }
        later
    }

    pub fn get(&self, cell: &str) -> Option<VersionedCellRow> {
        self.rows.read().unwrap_or_else(PoisonError::into_inner).get(cell).cloned()
    }

    pub fn all(&self) -> Vec<VersionedCellRow> {
        self.rows.read().unwrap_or_else(PoisonError::into_inner).values().cloned().collect()
    }

    pub fn versions(&self) -> Vec<CellVersion> {
        let version = |row: VersionedCellRow| CellVersion { cell: row.cell, version: row.version };
        self.all().into_iter().map(version).collect()
    }

    /// Returns a receiver that sees each change of any row.
    pub fn subscribe(&self) -> watch::Receiver<u64> {
        self.changed.subscribe()
    }
}
