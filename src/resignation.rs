//! Giving a lease back at a planned stop, also while a write of its row is in transit.
//!
//! Addresses a stop under steady commits: nearly always, a write is in transit then. If the lease is
//! given back with the revision that was known before, one of the two writes meets a conflict; if
//! that is the one that gives it back, nobody renews the lease and all others wait until it lapses.

use crate::{
    adapter::ChangeOutcome,
    clock::Millis,
    lease::{Lease, LeaseRow},
    revision,
};

/// What to do next; none of it while a call to the store is pending.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Step {
    /// Read the lease's row: an earlier write may have been carried out.
    Read,
    /// Write that nobody holds the lease, if its row has this revision.
    GiveBack(u64),
    /// This process does not hold the lease. A write that succeeds late may change that.
    Finished,
}

/// How far an instance that stops has given a service's lease back.
#[derive(Debug, Clone)]
pub struct Resignation {
    /// Revision of the row, if it names this process as the holder.
    held: Option<u64>,
    /// Whether a write may have been carried out whose outcome is not known.
    uncertain: bool,
    grants_end_ms: Option<Millis>,
}

impl Resignation {
    /// Begins to give the lease back; `uncertain` tells that the outcome of a write that has ended
    /// is not known.
    #[must_use]
    pub fn new(lease: &Lease, uncertain: bool) -> Self {
        Self { held: lease.held_revision(), uncertain, grants_end_ms: None }
    }

    /// Sets what is written as [`LeaseRow::grants_end_ms`].
    #[must_use]
    pub fn with_grants_end(self, grants_end_ms: Option<Millis>) -> Self {
        Self { grants_end_ms, ..self }
    }

    /// Returns what is written as [`LeaseRow::grants_end_ms`].
    #[must_use]
    pub fn grants_end_ms(&self) -> Option<Millis> {
        self.grants_end_ms
    }

    /// Returns what to do once no call to the store is pending.
    #[must_use]
    pub fn next_step(&self) -> Step {
        match self.held {
            _ if self.uncertain => Step::Read,
            Some(revision) => Step::GiveBack(revision),
            None => Step::Finished,
        }
    }

    /// Handles the outcome of a write that takes or renews the lease.
    pub fn on_write_ended(&mut self, outcome: &ChangeOutcome) {
        match outcome {
            ChangeOutcome::Done(revision) => {
                self.held = Some(*revision);
                self.uncertain = false;
            }
            ChangeOutcome::NotDone => {}
            ChangeOutcome::Conflict | ChangeOutcome::Unknown => self.uncertain = true,
        }
    }

    /// Handles the outcome of the write that gives the lease back; returns whether it was given back.
    pub fn on_given_back(&mut self, outcome: &ChangeOutcome) -> bool {
        match outcome {
            ChangeOutcome::Done(_) => self.held = None,
            ChangeOutcome::NotDone => {}
            ChangeOutcome::Conflict | ChangeOutcome::Unknown => self.uncertain = true,
        }
        matches!(outcome, ChangeOutcome::Done(_))
    }

    /// Handles the row as read, for the process that gives the lease back.
    ///
    /// A row from before a restore of the store is left alone: another instance may have taken the
    /// lease since it was written, so all others have to wait.
    pub fn on_read(&mut self, process: u64, row: Option<&LeaseRow>, revision: u64) {
        let is_own = row.is_some_and(|r| {
            r.process == process
                && r.holder.is_some()
                && r.generation == revision::generation(revision)
        });
        self.held = is_own.then_some(revision);
        self.uncertain = false;
    }
}
