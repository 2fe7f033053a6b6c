//! The standby of a cell's controller: promises not to take over, and takes over when it may.
//!
//! Plain state without I/O or clocks; see [`crate::controller`].

use crate::{
    cell::{CellRow, InstanceId},
    clock::Millis,
    controller::{Controller, Enforcer, InheritedGrants, PromiseRequest, WriteResult},
    grant::Timing,
    slot::Term,
};
use std::sync::Arc;

/// What the caller must do for the standby.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum StandbyAction {
    /// Read the row and bring it to [`Standby::on_read`].
    ReadRow,
    /// Write the row if its version is `expected` (0: if it does not exist), and bring the result
    /// to [`Standby::on_write`].
    WriteRow {
        /// Version that the row must have.
        expected: u64,
        /// The new row.
        row: CellRow,
    },
}

/// By what right a takeover happens.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum Right {
    /// As a standby that the row lists, after its promise has ended.
    Listed,
    /// As an instance that the row does not list, after the controller of term `lost` and all its
    /// standbys were lost; grants of earlier terms are unbounded.
    Outsider {
        /// Term that is thought lost, 0 if the row does not exist.
        lost: Term,
    },
}

/// A takeover in progress; no promise is made meanwhile.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Takeover {
    right: Right,
    waiting: bool,
    write: Option<(u64, CellRow, InheritedGrants)>,
    read: bool,
}

/// One instance's readiness to control one cell.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Standby {
    me: InstanceId,
    cell: Arc<str>,
    timing: Timing,
    enforcer: Enforcer,
    term: Term,
    controller: InstanceId,
    /// When the latest request was sent, on the controller's clock.
    asked: Millis,
    /// End of the promise, on this clock.
    promised: Millis,
    /// Whether a controller has asked and may have listed this instance.
    listed: bool,
    takeover: Option<Takeover>,
    /// Standbys to list after a takeover.
    standbys: Vec<InstanceId>,
}

impl Standby {
    /// Creates a standby that knows nothing yet.
    #[must_use]
    pub fn new(
        me: InstanceId,
        cell: impl Into<Arc<str>>,
        timing: Timing,
        enforcer: Enforcer,
    ) -> Self {
        Self {
            me,
            cell: cell.into(),
            timing,
            enforcer,
            term: 0,
            controller: 0,
            asked: 0,
            promised: 0,
            listed: false,
            takeover: None,
            standbys: Vec::new(),
        }
    }

    /// Returns the highest term it has heard of, 0 if none.
    #[must_use]
    pub fn term(&self) -> Term {
        self.term
    }

    /// Returns the controller of that term.
    #[must_use]
    pub fn controller(&self) -> InstanceId {
        self.controller
    }

    /// Returns whether a takeover is in progress.
    #[must_use]
    pub fn is_taking_over(&self) -> bool {
        self.takeover.is_some()
    }

    /// Returns the end of the promise, on this clock.
    #[must_use]
    pub fn promised_until(&self) -> Millis {
        self.promised
    }

    /// Sets the standbys to list after a takeover.
    pub fn set_wanted_standbys(&mut self, standbys: Vec<InstanceId>) {
        self.standbys = standbys;
    }

    /// Answers a controller's request; `true` is a promise.
    pub fn on_promise_request(&mut self, now: Millis, request: &PromiseRequest) -> bool {
        if self.takeover.is_some() || request.term < self.term {
            return false;
        }
        if request.term == self.term && request.sent_at < self.asked {
            return false;
        }
        self.term = request.term;
        self.controller = request.from;
        self.asked = request.sent_at;
        self.promised = now + request.duration;
        self.listed = true;
        true
    }

    /// Takes the controller's word that it sends no grant any more.
    pub fn on_hand_over(&mut self, now: Millis, term: Term) {
        if term == self.term {
            self.promised = now;
        }
    }

    /// Starts a takeover without being listed, where the controller of term `lost` and all its
    /// standbys are lost; 0 stands for a row that does not exist.
    pub fn start_unlisted_takeover(&mut self, lost: Term) {
        if self.takeover.is_none() {
            self.start(Right::Outsider { lost });
        }
    }

    fn start(&mut self, right: Right) {
        self.takeover = Some(Takeover { right, waiting: false, write: None, read: true });
    }

    /// Advances a takeover and returns what to do now.
    pub fn poll(&mut self, now: Millis) -> Option<StandbyAction> {
        if self.takeover.is_none() && self.listed && now >= self.promised {
            self.start(Right::Listed);
        }
        let t = self.takeover.as_mut()?;
        if t.waiting {
            return None;
        }
        t.waiting = true;
        match (&t.write, t.read) {
            (Some((expected, row, _)), false) => {
                Some(StandbyAction::WriteRow { expected: *expected, row: row.clone() })
            }
            _ => Some(StandbyAction::ReadRow),
        }
    }

    /// Takes the row as read: its version, and the row if it exists.
    ///
    /// Returns the controller if the read shows that an earlier write took effect.
    pub fn on_read(
        &mut self,
        now: Millis,
        version: u64,
        row: Option<CellRow>,
    ) -> Option<Controller> {
        let t = self.takeover.as_mut()?;
        t.waiting = false;
        t.read = false;
        if let Some((expected, mine, _)) = &t.write {
            let took_effect = row
                .as_ref()
                .is_some_and(|r| r.write_id == mine.write_id && r.controller == self.me);
            if took_effect {
                return self.finish(version);
            }
            if version == *expected {
                // The write may still be on its way: only the same write may follow it.
                return None;
            }
        }
        self.prepare(now, version, row);
        None
    }

    fn prepare(&mut self, now: Millis, version: u64, row: Option<CellRow>) {
        let Some(t) = self.takeover.as_mut() else {
            return;
        };
        let row = row.unwrap_or_default();
        let listed = row.standbys.contains(&self.me) && row.controller != self.me;
        let lost = match t.right {
            Right::Listed => self.term,
            Right::Outsider { lost } => lost,
        };
        if row.term != lost || (t.right == Right::Listed && !listed) {
            // Another instance took over; it gets time to ask for a promise.
            self.term = self.term.max(row.term);
            self.controller = row.controller;
            self.listed = listed;
            self.promised = self.promised.max(now + self.timing.promise_ms);
            self.takeover = None;
            return;
        }
        let inherited = match t.right {
            Right::Listed => {
                let from = now.max(self.promised);
                InheritedGrants::Until(from + self.timing.max_elapsed(self.timing.lease_ms))
            }
            Right::Outsider { .. } if version == 0 => InheritedGrants::Until(0),
            Right::Outsider { .. } => InheritedGrants::Unbounded,
        };
        let next = CellRow {
            term: row.term + 1,
            controller: self.me,
            standbys: self.standbys.clone(),
            write_id: row.write_id.wrapping_add(self.me | 1),
            pins: row.pins,
            slots: row.slots,
        };
        t.write = Some((version, next, inherited));
    }

    /// Notes that the row could not be read.
    ///
    /// A takeover that has written nothing yet is dropped, so that promises can be made again.
    pub fn on_read_failed(&mut self, now: Millis) {
        let Some(t) = self.takeover.as_mut() else {
            return;
        };
        t.waiting = false;
        if t.write.is_none() {
            self.takeover = None;
            self.promised = self.promised.max(now + self.timing.renew_ms);
        }
    }

    /// Takes the result of the takeover's write and returns the controller if it succeeded.
    pub fn on_write(&mut self, result: WriteResult) -> Option<Controller> {
        let t = self.takeover.as_mut()?;
        t.waiting = false;
        match result {
            WriteResult::Committed(version) => self.finish(version),
            WriteResult::Conflict | WriteResult::Unknown => {
                t.read = true;
                None
            }
        }
    }

    fn finish(&mut self, version: u64) -> Option<Controller> {
        let (_, row, inherited) = self.takeover.take()?.write?;
        self.term = row.term;
        self.controller = self.me;
        self.listed = false;
        let cell = self.cell.clone();
        Some(Controller::new(cell, self.timing, row, version, inherited, &self.enforcer))
    }
}
