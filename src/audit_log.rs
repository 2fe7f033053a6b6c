//! The record: JSON lines, hash-chained per instance, stored in batches in the object store.
//!
//! Each line carries the hash of the line before it, so that a removed, changed or reordered line
//! shows. A chain starts anew with each process.

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

/// Prefix of the names of objects that hold the record.
pub const OBJECT_PREFIX: &str = "record/";

/// One line of the record.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Line {
    /// Number of the line in its chain, from 1.
    pub seq: u64,
    /// Wall-clock time in milliseconds since the Unix epoch.
    pub at: Millis,
    /// Chain: instance name and process identity.
    pub chain: Arc<str>,
    /// What happened.
    pub event: Arc<str>,
    /// Details.
    pub data: serde_json::Value,
    /// Hash of the line before this one, empty for the first.
    pub prev: String,
}

/// Hashes a line as it stands in the record, without the line end.
#[must_use]
pub fn line_hash(line: &str) -> String {
    STANDARD_NO_PAD.encode(Sha256::digest(line.as_bytes()))
}

/// Lines of one chain that are not stored yet.
#[derive(Debug)]
struct Pending {
    lines: VecDeque<String>,
    /// Number of the first pending line.
    first: u64,
    prev: String,
}

/// The record of one process.
#[derive(Debug)]
pub struct AuditLog {
    chain: Arc<str>,
    capacity: usize,
    pending: Mutex<Pending>,
}

/// A batch of lines to store as one object.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Batch {
    /// Name of the object.
    pub object_name: String,
    /// Number of the first line.
    pub first_seq: u64,
    /// The lines.
    pub lines: Vec<String>,
}

impl AuditLog {
    /// Creates the record of the chain `chain`; at most `capacity` lines wait to be stored.
    pub fn new(chain: impl Into<Arc<str>>, capacity: usize) -> Self {
        let pending = Pending { lines: VecDeque::new(), first: 1, prev: String::new() };
        Self { chain: chain.into(), capacity, pending: Mutex::new(pending) }
    }

    /// Returns the name of the chain.
    #[must_use]
    pub fn chain(&self) -> &Arc<str> {
        &self.chain
    }

    /// Adds a line, even beyond the capacity; see [`Self::is_full`].
    pub fn append(&self, event: &str, data: serde_json::Value) {
        let mut p = self.pending.lock().unwrap_or_else(PoisonError::into_inner);
        let line = Line {
            seq: p.first + p.lines.len() as u64,
            at: wall_millis(),
            chain: self.chain.clone(),
            event: event.into(),
            data,
            prev: std::mem::take(&mut p.prev),
        };
        let text = serde_json::to_string(&line).unwrap_or_default();
        p.prev = line_hash(&text);
        p.lines.push_back(text);
    }

    /// Returns whether as many lines wait as may; work that must be recorded is refused then.
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

    /// Returns the next lines to store, at most `max`.
    #[must_use]
    pub fn next_batch(&self, max: usize) -> Option<Batch> {
        let p = self.pending.lock().unwrap_or_else(PoisonError::into_inner);
        if p.lines.is_empty() {
            return None;
        }
        let lines: Vec<String> = p.lines.iter().take(max).cloned().collect();
        Some(Batch { object_name: object_name(&self.chain, p.first), first_seq: p.first, lines })
    }

    /// Notes that lines up to the end of `batch` are stored.
    pub fn mark_stored(&self, batch: &Batch) {
        let mut p = self.pending.lock().unwrap_or_else(PoisonError::into_inner);
        let end = batch.first_seq + batch.lines.len() as u64;
        while p.first < end && p.lines.pop_front().is_some() {
            p.first += 1;
        }
    }
}

/// Returns the name of the object that starts with line `first` of a chain.
#[must_use]
pub fn object_name(chain: &str, first: u64) -> String {
    format!("{OBJECT_PREFIX}{chain}/{first:012}")
}

/// A fault found in a record.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Fault {
    /// Number of the line at which it shows.
    pub seq: u64,
    /// What is wrong.
    pub description: String,
}

/// Checks one chain line by line.
#[derive(Debug, Default)]
pub struct Verifier {
    next: u64,
    prev: String,
    faults: Vec<Fault>,
}

impl Verifier {
    /// Creates a verifier that expects the first line of a chain.
    #[must_use]
    pub fn new() -> Self {
        Self { next: 1, prev: String::new(), faults: Vec::new() }
    }

    /// Takes the next line; a line that was seen before is passed over if it is identical.
    ///
    /// # Errors
    ///
    /// Fails if the text is not a line of a record.
    pub fn check_line(&mut self, text: &str) -> Result<Line> {
        let line: Line = serde_json::from_str(text)
            .map_err(|e| Error::invalid("verify record", format!("line {}: {e}", self.next)))?;
        if line.seq > self.next {
            let description = format!("lines {} to {} are missing", self.next, line.seq - 1);
            self.faults.push(Fault { seq: self.next, description });
        } else if line.seq < self.next {
            let description = "is repeated or out of order".to_owned();
            self.faults.push(Fault { seq: line.seq, description });
        } else if line.prev != self.prev {
            let description =
                "does not follow from the line before: one of them was changed".to_owned();
            self.faults.push(Fault { seq: line.seq, description });
        }
        self.next = line.seq + 1;
        self.prev = line_hash(text);
        Ok(line)
    }

    /// Returns the number of the next line expected.
    #[must_use]
    pub fn next_seq(&self) -> u64 {
        self.next
    }

    /// Returns the faults found.
    #[must_use]
    pub fn into_faults(self) -> Vec<Fault> {
        self.faults
    }
}
