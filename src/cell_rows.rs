//! The latest known row of each cell, for routing.

use crate::{collections::HashMap, peer::CellVersion, peer::VersionedCellRow};
use std::sync::{Arc, PoisonError, RwLock};
use tokio::sync::watch;

/// Rows of cells; each only ever moves to a later version.
#[derive(Debug)]
pub(crate) struct CellRows {
    maps: RwLock<HashMap<Arc<str>, VersionedCellRow>>,
    changed: watch::Sender<u64>,
}

impl CellRows {
    pub fn new() -> Self {
        Self { maps: RwLock::default(), changed: watch::Sender::new(0) }
    }

    /// Takes a row if it is later than the known one.
    pub fn insert_if_newer(&self, map: VersionedCellRow) -> bool {
        let mut maps = self.maps.write().unwrap_or_else(PoisonError::into_inner);
        let later = maps.get(&map.cell).is_none_or(|known| known.version < map.version);
        if later {
            maps.insert(map.cell.clone(), map);
            drop(maps);
            self.changed.send_modify(|n| *n += 1);
        }
        later
    }

    pub fn get(&self, cell: &str) -> Option<VersionedCellRow> {
        self.maps.read().unwrap_or_else(PoisonError::into_inner).get(cell).cloned()
    }

    pub fn all(&self) -> Vec<VersionedCellRow> {
        self.maps.read().unwrap_or_else(PoisonError::into_inner).values().cloned().collect()
    }

    pub fn versions(&self) -> Vec<CellVersion> {
        let version = |m: VersionedCellRow| CellVersion { cell: m.cell, version: m.version };
        self.all().into_iter().map(version).collect()
    }

    /// Returns a receiver that sees each change of any row.
    pub fn subscribe(&self) -> watch::Receiver<u64> {
        self.changed.subscribe()
    }
}
