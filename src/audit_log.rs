//! Audit log of mulberryd: hash-chained JSON lines, stored in batches in the object store.
//!
//! Each line carries the hash of the line before it, so that removed, changed and reordered lines
//! are detected. Each process starts a chain of its own. Operators know the log as `record`.

use crate::{
    clock::{Millis, wall_millis},
    error::{Error, Result},
};
use base64::{Engine, engine::general_purpose::STANDARD_NO_PAD};
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use std::{
    collections::VecDeque,
    sync::{Arc, Mutex, PoisonError},
};

/// Prefix of the names of objects that hold the audit log.
pub const OBJECT_PREFIX: &str = "record/";

/// One line of the audit log.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Line {
    /// Sequence number of the line in its chain, from 1.
    pub seq: u64,
    /// Wall-clock time in milliseconds since the Unix epoch.
    pub at: Millis,
    /// Name of the chain: instance name and process identity.
    pub chain: Arc<str>,
    /// Kind of event.
    pub event: Arc<str>,
    /// Details, which depend on the event.
    pub data: serde_json::Value,
    /// Hash of the line before, empty for the first line.
    pub prev: String,
}

/// Returns the hash of a line as it is stored, without the line end: SHA-256 in base64.
#[must_use]
pub fn line_hash(line: &str) -> String {
    STANDARD_NO_PAD.encode(Sha256::digest(line.as_bytes()))
}

/// Lines of one chain that are not stored yet.
#[derive(Debug)]
struct PendingLines {
    lines: VecDeque<String>,
    /// Sequence number of the first pending line.
    first_seq: u64,
    /// Hash of the last line, pending or stored.
    last_hash: String,
}

/// Audit log of one process: lines wait here until they are stored.
#[derive(Debug)]
pub struct AuditLog {
    chain: Arc<str>,
    capacity: usize,
    pending: Mutex<PendingLines>,
}

/// A batch of lines to store as one object.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Batch {
    /// Name of the object.
    pub object_name: String,
    /// Sequence number of the first line.
    pub first_seq: u64,
    /// The lines.
    pub lines: Vec<String>,
}

impl AuditLog {
    /// Creates the log of the chain `chain`; it counts as full once `capacity` lines wait to be
    /// stored.
    pub fn new(chain: impl Into<Arc<str>>, capacity: usize) -> Self {
        let pending =
            PendingLines { lines: VecDeque::new(), first_seq: 1, last_hash: String::new() };
        Self { chain: chain.into(), capacity, pending: Mutex::new(pending) }
    }

    /// Returns the name of the chain.
    #[must_use]
    pub fn chain(&self) -> &Arc<str> {
        &self.chain
    }

    /// Appends a line, also beyond the capacity; see [`Self::is_full`].
    pub fn append(&self, event: &str, data: serde_json::Value) {
        let mut p = self.pending.lock().unwrap_or_else(PoisonError::into_inner);
        let line = Line {
            seq: p.first_seq + p.lines.len() as u64,
            at: wall_millis(),
            chain: self.chain.clone(),
            event: event.into(),
            data,
            prev: std::mem::take(&mut p.last_hash),
        };
        let text = serde_json::to_string(&line).unwrap_or_default();
        p.last_hash = line_hash(&text);
        p.lines.push_back(text);
    }

    /// Returns whether the capacity is reached; requests that must be logged are rejected then.
    #[must_use]
    pub fn is_full(&self) -> bool {
        let p = self.pending.lock().unwrap_or_else(PoisonError::into_inner);
        p.lines.len() >= self.capacity
    }

    /// Returns the number of lines that wait to be stored.
    #[must_use]
    pub fn pending_lines(&self) -> usize {
        self.pending.lock().unwrap_or_else(PoisonError::into_inner).lines.len()
    }

    /// Returns the next lines to store, at most `max`, or `None` if there are none.
    ///
    /// They stay pending until [`Self::mark_stored`] is called.
    #[must_use]
    pub fn next_batch(&self, max: usize) -> Option<Batch> {
        let p = self.pending.lock().unwrap_or_else(PoisonError::into_inner);
        if p.lines.is_empty() {
            return None;
        }
        let lines: Vec<String> = p.lines.iter().take(max).cloned().collect();
        Some(Batch {
            object_name: object_name(&self.chain, p.first_seq),
            first_seq: p.first_seq,
            lines,
        })
    }

    /// Drops the pending lines up to the end of `batch`, which are stored.
    pub fn mark_stored(&self, batch: &Batch) {
        let mut p = self.pending.lock().unwrap_or_else(PoisonError::into_inner);
        let end = batch.first_seq + batch.lines.len() as u64;
        while p.first_seq < end && p.lines.pop_front().is_some() {
            p.first_seq += 1;
        }
    }
}

/// Returns the name of the object that starts with line `first` of a chain.
#[must_use]
pub fn object_name(chain: &str, first: u64) -> String {
    format!("{OBJECT_PREFIX}{chain}/{first:012}")
}

/// A fault found in a chain.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Fault {
    /// Sequence number of the line at which it was detected.
    pub seq: u64,
    /// What is wrong.
    pub description: String,
}

/// Verifies one chain line by line.
#[derive(Debug, Default)]
pub struct Verifier {
    next_seq: u64,
    /// Hash of the last line checked, empty before the first.
    prev_hash: String,
    faults: Vec<Fault>,
}

impl Verifier {
    /// Creates a verifier that expects the first line of a chain.
    #[must_use]
    pub fn new() -> Self {
        Self { next_seq: 1, prev_hash: String::new(), faults: Vec::new() }
    }

    /// Checks the next line and keeps its fault, if any, for [`Self::into_faults`].
    ///
    /// A repeated line is a fault, also if it is identical.
    ///
    /// # Errors
    ///
    /// Fails if the text is not a line of the audit log.
    pub fn check_line(&mut self, text: &str) -> Result<Line> {
        let line: Line = serde_json::from_str(text)
            .map_err(|e| Error::invalid("verify record", format!("line {}: {e}", self.next_seq)))?;
        if line.seq > self.next_seq {
            let description = format!("lines {} to {} are missing", self.next_seq, line.seq - 1);
            self.faults.push(Fault { seq: self.next_seq, description });
        } else if line.seq < self.next_seq {
            let description = "is repeated or out of order".to_owned();
            self.faults.push(Fault { seq: line.seq, description });
        } else if line.prev != self.prev_hash {
            let description =
                "does not follow from the line before: one of them was changed".to_owned();
            self.faults.push(Fault { seq: line.seq, description });
        }
        self.next_seq = line.seq + 1;
        self.prev_hash = line_hash(text);
        Ok(line)
    }

    /// Returns the sequence number of the next line expected.
    #[must_use]
    pub fn next_seq(&self) -> u64 {
        self.next_seq
    }

    /// Returns the faults found.
    #[must_use]
    pub fn into_faults(self) -> Vec<Fault> {
        self.faults
    }
}
