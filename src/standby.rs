//! Standby of a cell's controller (mulberryd): promises not to take over, and takes over once no
//! promise binds it.
//!
//! A state machine without I/O or clocks; see [`crate::controller`].

use crate::{
    cell::{CellRow, InstanceId},
    clock::Millis,
    controller::{Controller, Enforcer, InheritedGrants, PromiseRequest, WriteResult},
    grant::Timing,
    slot::Term,
};
use std::sync::Arc;

/// What the driver must do for the standby.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum StandbyAction {
    /// Read the row and pass it to [`Standby::on_read`].
    ReadRow,
    /// Write the row if its version is `expected` (0: if it does not exist), and pass the result
    /// to [`Standby::on_write`].
    WriteRow {
        /// Version that the row must have.
        expected: u64,
        /// The new row.
        row: CellRow,
    },
}

/// Why an instance may take over.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum TakeoverKind {
    /// The row lists it as a standby, and its promise has ended.
    Listed,
    /// The controller of term `lost_term` and all its standbys have not been live for some time.
    /// The row need not list the instance, and grants of earlier terms are unbounded, unless there
    /// is no row.
    Unlisted {
        /// Term whose controller and standbys are gone, 0 if the row does not exist.
        lost_term: Term,
    },
}

/// A takeover in progress; no promise is made meanwhile.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Takeover {
    kind: TakeoverKind,
    /// Whether the result of a read or write of the row is awaited, so that nothing is sent now.
    awaits_result: bool,
    /// Expected version, new row, and bound on inherited grants.
    pending_write: Option<(u64, CellRow, InheritedGrants)>,
    /// Whether the next step is to read the row.
    read_next: bool,
}

/// Standby role of one instance for one cell.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Standby {
    own_id: InstanceId,
    cell: Arc<str>,
    timing: Timing,
    enforcer: Enforcer,
    term: Term,
    controller: InstanceId,
    /// When the latest promise request was sent, on the controller's clock.
    last_request_sent_at: Millis,
    /// No takeover as a listed standby starts before this time, on this clock: the end of the
    /// promise, or of a pause after another takeover or a failed read.
    promised_until: Millis,
    /// Whether the row may list this instance as a standby: a controller has requested a promise
    /// since the row was last read, or the row as read lists it.
    is_listed: bool,
    takeover: Option<Takeover>,
    /// Standbys to list after a takeover.
    wanted_standbys: Vec<InstanceId>,
}

impl Standby {
    /// Creates a standby that knows no term or controller yet.
    #[must_use]
    pub fn new(
        own_id: InstanceId,
        cell: impl Into<Arc<str>>,
        timing: Timing,
        enforcer: Enforcer,
    ) -> Self {
        Self {
            own_id,
            cell: cell.into(),
            timing,
            enforcer,
            term: 0,
            controller: 0,
            last_request_sent_at: 0,
            promised_until: 0,
            is_listed: false,
            takeover: None,
            wanted_standbys: Vec::new(),
        }
    }

    /// Returns the highest known term, 0 if none.
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

    /// Returns the end of the promise, or of a pause between takeovers, on this clock.
    #[must_use]
    pub fn promised_until(&self) -> Millis {
        self.promised_until
    }

    /// Sets the standbys to list after a takeover.
    pub fn set_wanted_standbys(&mut self, standbys: Vec<InstanceId>) {
        self.wanted_standbys = standbys;
    }

    /// Handles a controller's request and returns whether the promise is made.
    pub fn on_promise_request(&mut self, now: Millis, request: &PromiseRequest) -> bool {
        if self.takeover.is_some() || request.term < self.term {
            return false;
        }
        if request.term == self.term && request.sent_at < self.last_request_sent_at {
            return false;
        }
        self.term = request.term;
        self.controller = request.from;
        self.last_request_sent_at = request.sent_at;
        self.promised_until = now + request.duration;
        self.is_listed = true;
        true
    }

    /// Handles the controller's message that it sends no more grants.
    pub fn on_hand_over(&mut self, now: Millis, term: Term) {
        if term == self.term {
            self.promised_until = now;
        }
    }

    /// Starts a takeover by an instance that need not be listed, where the controller of term
    /// `lost_term` and all its standbys are gone; 0 stands for a row that does not exist.
    pub fn start_unlisted_takeover(&mut self, lost_term: Term) {
        if self.takeover.is_none() {
            self.start_takeover(TakeoverKind::Unlisted { lost_term });
        }
    }

    fn start_takeover(&mut self, kind: TakeoverKind) {
        self.takeover =
            Some(Takeover { kind, awaits_result: false, pending_write: None, read_next: true });
    }

    /// Advances a takeover and returns what to do now.
    pub fn poll(&mut self, now: Millis) -> Option<StandbyAction> {
        if self.takeover.is_none() && self.is_listed && now >= self.promised_until {
            self.start_takeover(TakeoverKind::Listed);
        }
        let t = self.takeover.as_mut()?;
        if t.awaits_result {
            return None;
        }
        t.awaits_result = true;
        match (&t.pending_write, t.read_next) {
            (Some((expected, row, _)), false) => {
                Some(StandbyAction::WriteRow { expected: *expected, row: row.clone() })
            }
            _ => Some(StandbyAction::ReadRow),
        }
    }

    /// Handles the row as read: its version, and the row if it exists.
    ///
    /// Returns the controller if the read shows that an earlier write took effect.
    pub fn on_read(
        &mut self,
        now: Millis,
        version: u64,
        row: Option<CellRow>,
    ) -> Option<Controller> {
        let t = self.takeover.as_mut()?;
        t.awaits_result = false;
        t.read_next = false;
        if let Some((expected, own_row, _)) = &t.pending_write {
            let took_effect = row
                .as_ref()
                .is_some_and(|r| r.write_id == own_row.write_id && r.controller == self.own_id);
            if took_effect {
                return self.finish(version);
            }
            if version == *expected {
                // The write may still arrive, so only the same write may be sent again.
                return None;
            }
        }
        self.prepare_write(now, version, row);
        None
    }

    /// Prepares the write of a takeover, or drops the takeover if the row does not allow it.
    fn prepare_write(&mut self, now: Millis, version: u64, row: Option<CellRow>) {
        let Some(t) = self.takeover.as_mut() else {
            return;
        };
        let row = row.unwrap_or_default();
        let listed = row.standbys.contains(&self.own_id) && row.controller != self.own_id;
        let lost_term = match t.kind {
            TakeoverKind::Listed => self.term,
            TakeoverKind::Unlisted { lost_term } => lost_term,
        };
        if row.term != lost_term || (t.kind == TakeoverKind::Listed && !listed) {
            // Another instance took over, or the row does not list this one. The controller in the
            // row gets time to request a promise.
            self.term = self.term.max(row.term);
            self.controller = row.controller;
            self.is_listed = listed;
            self.promised_until = self.promised_until.max(now + self.timing.promise_ms);
            self.takeover = None;
            return;
        }
        let inherited = match t.kind {
            TakeoverKind::Listed => {
                // The controller sends grants only while all listed standbys have promised, so it
                // has sent none since the end of this promise.
                let from = now.max(self.promised_until);
                InheritedGrants::Until(from + self.timing.max_elapsed(self.timing.lease_ms))
            }
            // Without a row, no slot was ever granted.
            TakeoverKind::Unlisted { .. } if version == 0 => InheritedGrants::Until(0),
            TakeoverKind::Unlisted { .. } => InheritedGrants::Unbounded,
        };
        let next = CellRow {
            term: row.term + 1,
            controller: self.own_id,
            standbys: self.wanted_standbys.clone(),
            // Each instance adds its own identity, so that competing writes get different ids.
            // `| 1` rules out adding 0, so that the id differs from that of the row.
            write_id: row.write_id.wrapping_add(self.own_id | 1),
            pins: row.pins,
            slots: row.slots,
        };
        t.pending_write = Some((version, next, inherited));
    }

    /// Handles a failed read of the row.
    ///
    /// A takeover that has not prepared a write yet is dropped, so that promises can be made again.
    pub fn on_read_failed(&mut self, now: Millis) {
        let Some(t) = self.takeover.as_mut() else {
            return;
        };
        t.awaits_result = false;
        if t.pending_write.is_none() {
            self.takeover = None;
            self.promised_until = self.promised_until.max(now + self.timing.renew_ms);
        }
    }

    /// Handles the result of the takeover's write and returns the controller if it succeeded.
    pub fn on_write(&mut self, result: WriteResult) -> Option<Controller> {
        let t = self.takeover.as_mut()?;
        t.awaits_result = false;
        match result {
            WriteResult::Committed(version) => self.finish(version),
            WriteResult::Conflict | WriteResult::Unknown => {
                t.read_next = true;
                None
            }
        }
    }

    fn finish(&mut self, version: u64) -> Option<Controller> {
        let (_, row, inherited) = self.takeover.take()?.pending_write?;
        self.term = row.term;
        self.controller = self.own_id;
        self.is_listed = false;
        let cell = self.cell.clone();
        Some(Controller::new(cell, self.timing, row, version, inherited, &self.enforcer))
    }
}
