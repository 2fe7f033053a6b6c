//! Controller of a cell (mulberryd): decides which owner is granted which slot, and when.
//!
//! A state machine without I/O or clocks: its driver carries out each [`Action`] and reports the
//! result. Safety rests on these rules:
//!
//! - a slot is granted only to its owner in a row version known to be committed;
//! - an owner is replaced only after it released the slot or its grants must have ended;
//! - grants are sent only while every listed standby has promised not to take over;
//! - a write whose result is unknown is resolved by reading, and re-sent unchanged until it is.

pub use crate::holders::Enforcer;
use crate::{
    cell::{Assignment, CellRow, InstanceId, Owner},
    clock::Millis,
    grant::{Grant, GrantReply, Timing},
    holders::Holders,
    slot::{SlotId, Term},
};
use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

/// What the driver must do for the controller.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum Action {
    /// Send a grant to a holder, and pass the reply to [`Controller::on_grant_reply`].
    SendGrant {
        /// The holder.
        to: Owner,
        /// The grant.
        grant: Grant,
    },
    /// Request a promise from a standby, and pass it to [`Controller::on_promise`].
    RequestPromise {
        /// The standby.
        to: InstanceId,
        /// The request.
        request: PromiseRequest,
    },
    /// Write the row if its version is `expected`, and pass the result to
    /// [`Controller::on_write`].
    WriteRow {
        /// Version that the row must have.
        expected: u64,
        /// The new row.
        row: CellRow,
    },
    /// Read the row and pass it to [`Controller::on_read`].
    ReadRow,
    /// Tell a standby to take over at once.
    HandOver {
        /// The standby.
        to: InstanceId,
        /// Term of the resigning controller.
        term: Term,
    },
}

/// A controller's request that a standby not take over for a while.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct PromiseRequest {
    /// The controller.
    pub from: InstanceId,
    /// Its term.
    pub term: Term,
    /// When it was sent, on the controller's clock; later requests replace earlier ones.
    pub sent_at: Millis,
    /// How long the promise lasts from receipt, in milliseconds.
    pub duration: Millis,
}

/// Result of a conditional write.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum WriteResult {
    /// The row has this version now.
    Committed(u64),
    /// The row had another version.
    Conflict,
    /// The response was lost, or the platform was not reached.
    Unknown,
}

/// How long grants of earlier terms for the slots in the row may still last.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum InheritedGrants {
    /// Until this reading of the local clock.
    Until(Millis),
    /// Until their holders acknowledge this term.
    Unbounded,
}

/// A row to write, until it is known whether the write took effect.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct PendingWrite {
    row: CellRow,
    /// Whether the result of a read or write of the row is awaited, so that nothing is sent now.
    awaits_result: bool,
    /// Whether the next step is to read the row.
    read_next: bool,
}

/// The controller of one cell.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Controller {
    own_id: InstanceId,
    cell: Arc<str>,
    timing: Timing,
    row: CellRow,
    version: u64,
    pending: Option<PendingWrite>,
    /// When each standby's promise not to take over ends, on this clock.
    promised_until: BTreeMap<InstanceId, Millis>,
    /// When the latest request was sent that each standby agreed to, or the first one if none.
    last_agreed_request_sent_at: BTreeMap<InstanceId, Millis>,
    holders: Holders,
    wanted_owners: BTreeMap<SlotId, Owner>,
    wanted_pins: Vec<Arc<str>>,
    /// Slots that keys leave or enter when the wanted pins replace the committed ones.
    affected_slots: BTreeSet<SlotId>,
    /// Slots whose wanted owner is not the committed one.
    slots_to_move: BTreeSet<SlotId>,
    wanted_standbys: Vec<InstanceId>,
    next_renewal_at: Millis,
    next_write_id: u64,
    platform_up: bool,
    /// Duration of the promises that are requested, and since when.
    promise_duration: (Millis, Millis),
    ended: bool,
}

impl Controller {
    /// Creates the controller for a row that names it, at the version just committed.
    #[must_use]
    pub fn new(
        cell: impl Into<Arc<str>>,
        timing: Timing,
        row: CellRow,
        version: u64,
        inherited: InheritedGrants,
        enforcer: &Enforcer,
    ) -> Self {
        let latest_end = match inherited {
            InheritedGrants::Until(t) => Some(t),
            InheritedGrants::Unbounded => None,
        };
        Self {
            own_id: row.controller,
            cell: cell.into(),
            timing,
            version,
            pending: None,
            promised_until: BTreeMap::new(),
            last_agreed_request_sent_at: BTreeMap::new(),
            holders: Holders::new(timing, enforcer, &row, latest_end),
            wanted_owners: BTreeMap::new(),
            wanted_pins: row.pins.clone(),
            affected_slots: BTreeSet::new(),
            slots_to_move: BTreeSet::new(),
            wanted_standbys: row.standbys.clone(),
            next_renewal_at: 0,
            next_write_id: row.write_id.wrapping_add(1),
            platform_up: true,
            promise_duration: (timing.promise_ms, 0),
            ended: false,
            row,
        }
    }

    /// Returns the committed row.
    #[must_use]
    pub fn row(&self) -> &CellRow {
        &self.row
    }

    /// Returns the version of the committed row.
    #[must_use]
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns whether this controller was replaced or has resigned.
    #[must_use]
    pub fn has_ended(&self) -> bool {
        self.ended
    }

    /// Returns the number of slots that are withdrawn from their holders but not reassigned.
    #[must_use]
    pub fn withdrawn_slots(&self) -> usize {
        self.holders.withdrawn_slots()
    }

    /// Returns whether grants may be sent at `now`.
    #[must_use]
    pub fn has_authority(&self, now: Millis) -> bool {
        let promised = |s: &InstanceId| self.promised_until.get(s).is_some_and(|t| now < *t);
        !self.ended && self.binding_standbys().iter().all(promised)
    }

    /// Standbys that may be listed in the table: the committed ones and those being written.
    fn binding_standbys(&self) -> BTreeSet<InstanceId> {
        let pending = self.pending.iter().flat_map(|p| p.row.standbys.iter());
        self.row.standbys.iter().chain(pending).copied().collect()
    }

    /// Returns who should own each slot.
    #[must_use]
    pub fn wanted_owners(&self) -> &BTreeMap<SlotId, Owner> {
        &self.wanted_owners
    }

    /// Sets who should own each slot; slots that are not named stay where they are.
    pub fn set_wanted_owners(&mut self, wanted: BTreeMap<SlotId, Owner>) {
        self.wanted_owners = wanted;
        self.update_slots_to_move();
    }

    /// Sets which keys should have slots of their own; `affected_slots` are those that keys leave
    /// or enter by the change from the committed pins.
    ///
    /// The change is committed once no affected slot can be served, and gives all of them new
    /// epochs, so that requests routed by the old pins are refused.
    pub fn set_wanted_pins(&mut self, pins: Vec<Arc<str>>, affected_slots: BTreeSet<SlotId>) {
        self.wanted_pins = pins;
        self.affected_slots = affected_slots;
    }

    fn update_slots_to_move(&mut self) {
        let is_placed =
            |slot: &SlotId, to: &Owner| self.row.slots.get(slot).is_some_and(|a| a.owner == *to);
        let misplaced = self.wanted_owners.iter().filter(|(slot, to)| !is_placed(slot, to));
        self.slots_to_move = misplaced.map(|(slot, _)| *slot).collect();
    }

    /// Returns whether a standby has agreed to no promise request for two renewal intervals.
    #[must_use]
    pub fn is_standby_silent(&self, now: Millis, standby: InstanceId) -> bool {
        let limit = 2 * self.timing.renew_ms;
        self.last_agreed_request_sent_at.get(&standby).is_some_and(|t| now > t + limit)
    }

    /// Sets which instances should be listed as standbys; new ones get a promise request at the
    /// next poll.
    pub fn set_wanted_standbys(&mut self, standbys: Vec<InstanceId>) {
        if standbys.iter().any(|s| !self.last_agreed_request_sent_at.contains_key(s)) {
            self.next_renewal_at = 0;
        }
        self.wanted_standbys = standbys;
    }

    /// Sets the entry instances to grant to, where those enforce ownership.
    ///
    /// An entry instance that is no longer named gets no further grants; slots are reassigned only
    /// after those it holds have ended.
    pub fn set_entry_instances(&mut self, entry_instances: BTreeSet<Owner>) {
        self.holders.set_entry_instances(entry_instances, &self.row);
    }

    /// Sets whether the platform responds; longer promises are requested while it does not.
    pub fn set_platform_up(&mut self, up: bool) {
        self.platform_up = up;
    }

    /// Handles a holder's reply to a grant.
    pub fn on_grant_reply(&mut self, now: Millis, from: &Owner, reply: &GrantReply) {
        if reply.term > self.row.term {
            self.ended = true;
            return;
        }
        if reply.term == self.row.term {
            self.holders.on_grant_reply(now, from, reply);
        }
    }

    /// Handles an operator's statement that no process of an upstream runs any more: its slots are
    /// free at once.
    pub fn on_upstream_stopped(&mut self, upstream: &str) {
        self.holders.on_upstream_stopped(upstream);
    }

    /// Handles a standby's promise in reply to `request`.
    pub fn on_promise(&mut self, from: InstanceId, request: &PromiseRequest) {
        // A promise requested before the duration changed may have been replaced by a shorter one.
        if request.term == self.row.term && request.sent_at >= self.promise_duration.1 {
            let until = request.sent_at + self.timing.min_elapsed(request.duration);
            let promised = self.promised_until.entry(from).or_default();
            *promised = until.max(*promised);
            let agreed = self.last_agreed_request_sent_at.entry(from).or_default();
            *agreed = request.sent_at.max(*agreed);
        }
    }

    /// Handles the result of the last write.
    pub fn on_write(&mut self, result: WriteResult) {
        let Some(p) = &mut self.pending else { return };
        match result {
            WriteResult::Committed(version) => self.commit(version),
            WriteResult::Conflict | WriteResult::Unknown => {
                p.awaits_result = false;
                p.read_next = true;
            }
        }
    }

    /// Handles the row as read from the table, `None` if it could not be read.
    pub fn on_read(&mut self, read: Option<(u64, CellRow)>) {
        let Some(p) = &mut self.pending else { return };
        p.awaits_result = false;
        let Some((version, row)) = read else { return };
        if row.term != self.row.term || row.controller != self.own_id {
            self.ended = true;
        } else if row.write_id == p.row.write_id {
            self.commit(version);
        } else if version == self.version {
            // The write may still arrive, so only the same write may be sent again.
            p.read_next = false;
        }
    }

    fn commit(&mut self, version: u64) {
        let Some(p) = self.pending.take() else { return };
        let old = std::mem::replace(&mut self.row, p.row);
        self.holders.on_commit(&old, &self.row);
        self.version = version;
        if self.wanted_pins != self.row.pins {
            // The affected slots were computed from the former row.
            self.wanted_pins.clone_from(&self.row.pins);
            self.affected_slots.clear();
        }
        self.update_slots_to_move();
    }

    /// Resigns in favour of a standby; no grant is sent from now on.
    ///
    /// Returns `None` and changes nothing if a write is pending, `to` is not a listed standby, or
    /// the controller has ended.
    pub fn resign(&mut self, to: InstanceId) -> Option<Action> {
        if self.ended || self.pending.is_some() || !self.row.standbys.contains(&to) {
            return None;
        }
        self.ended = true;
        Some(Action::HandOver { to, term: self.row.term })
    }

    /// Advances the protocol and returns what to do now.
    pub fn poll(&mut self, now: Millis) -> Vec<Action> {
        let mut actions = Vec::new();
        if self.ended {
            return actions;
        }
        self.withdraw_slots();
        self.restore_slots(now);
        actions.extend(self.next_row_action(now));
        let due = now >= self.next_renewal_at;
        if due {
            self.next_renewal_at = now + self.timing.renew_ms;
            self.request_promises(now, &mut actions);
            self.holders.drop_finished(now);
        }
        if self.has_authority(now) {
            let grants = self.holders.due_grants(&self.cell, self.row.term, due);
            actions.extend(grants.into_iter().map(|(to, grant)| Action::SendGrant { to, grant }));
        }
        actions
    }

    /// Returns whether a slot waits for a change of pins.
    fn awaits_pin_change(&self, slot: SlotId) -> bool {
        self.wanted_pins != self.row.pins && self.affected_slots.contains(&slot)
    }

    /// Withdraws slots from their holders where the owner or the pins should change.
    fn withdraw_slots(&mut self) {
        let pins_change = self.wanted_pins != self.row.pins;
        let affected = self.affected_slots.iter().filter(|_| pins_change);
        let assigned = |slot: &&SlotId| self.row.slots.contains_key(slot);
        self.holders.withdraw(self.slots_to_move.iter().chain(affected).filter(assigned));
    }

    /// Restores withdrawn slots that should stay with the committed owner after all.
    fn restore_slots(&mut self, now: Millis) {
        if self.pending.is_some() {
            return;
        }
        let (slots_to_move, affected) = (&self.slots_to_move, &self.affected_slots);
        let pins_change = self.wanted_pins != self.row.pins;
        let leaves =
            |slot| slots_to_move.contains(&slot) || (pins_change && affected.contains(&slot));
        let stays = |slot| !leaves(slot);
        self.holders.restore(now, &self.row, stays);
    }

    /// Returns the read or write of the row that is due, if any.
    fn next_row_action(&mut self, now: Millis) -> Option<Action> {
        if self.pending.is_none() {
            self.pending = self.next_row(now).map(|row| PendingWrite {
                row,
                awaits_result: false,
                read_next: false,
            });
        }
        let p = self.pending.as_mut()?;
        if p.awaits_result {
            return None;
        }
        p.awaits_result = true;
        if p.read_next {
            return Some(Action::ReadRow);
        }
        Some(Action::WriteRow { expected: self.version, row: p.row.clone() })
    }

    /// Returns the next row, if it differs from the committed one.
    fn next_row(&mut self, now: Millis) -> Option<CellRow> {
        let ready = |s: &InstanceId| self.promised_until.get(s).is_some_and(|t| now < *t);
        let new_standbys =
            self.wanted_standbys != self.row.standbys && self.wanted_standbys.iter().all(ready);
        let moves: Vec<(SlotId, Assignment)> = self
            .slots_to_move
            .iter()
            .filter_map(|s| Some((*s, self.next_assignment(now, *s)?)))
            .collect();
        let pins = self.pin_assignments(now);
        if !new_standbys && moves.is_empty() && pins.is_none() {
            return None;
        }
        let mut row = self.row.clone();
        if let Some(pinned) = pins {
            row.pins.clone_from(&self.wanted_pins);
            row.slots.extend(pinned);
        }
        if new_standbys {
            row.standbys.clone_from(&self.wanted_standbys);
        }
        row.slots.extend(moves);
        row.write_id = self.next_write_id;
        self.next_write_id = self.next_write_id.wrapping_add(1);
        Some(row)
    }

    /// Returns new assignments of the affected slots, if the wanted pins can be committed now.
    fn pin_assignments(&self, now: Millis) -> Option<Vec<(SlotId, Assignment)>> {
        if self.wanted_pins == self.row.pins {
            return None;
        }
        let mut assignments = Vec::new();
        for slot in &self.affected_slots {
            let Some(a) = self.row.slots.get(slot) else {
                continue;
            };
            if !self.holders.is_free(now, *slot) {
                return None;
            }
            let owner = self.wanted_owners.get(slot).unwrap_or(&a.owner).clone();
            assignments.push((*slot, Assignment { owner, epoch: a.epoch + 1 }));
        }
        Some(assignments)
    }

    /// Returns the assignment that a slot can get now.
    fn next_assignment(&self, now: Millis, slot: SlotId) -> Option<Assignment> {
        let owner = self.wanted_owners.get(&slot)?.clone();
        if self.awaits_pin_change(slot) {
            // Committed together with the pins, or assigned afterwards.
            return None;
        }
        let epoch = match self.row.slots.get(&slot) {
            None => 1,
            Some(a) => self.holders.is_free(now, slot).then_some(a.epoch + 1)?,
        };
        Some(Assignment { owner, epoch })
    }

    fn request_promises(&mut self, now: Millis, actions: &mut Vec<Action>) {
        let duration =
            if self.platform_up { self.timing.promise_ms } else { self.timing.outage_promise_ms };
        if duration != self.promise_duration.0 {
            // A shorter promise replaces a longer one, which no longer counts.
            let until = now + self.timing.min_elapsed(duration);
            self.promised_until.values_mut().for_each(|t| *t = until.min(*t));
            self.promise_duration = (duration, now);
        }
        let request =
            PromiseRequest { from: self.own_id, term: self.row.term, sent_at: now, duration };
        let mut standbys = self.binding_standbys();
        standbys.extend(&self.wanted_standbys);
        self.promised_until.retain(|s, _| standbys.contains(s));
        self.last_agreed_request_sent_at.retain(|s, _| standbys.contains(s));
        for s in &standbys {
            self.last_agreed_request_sent_at.entry(*s).or_insert(now);
        }
        actions.extend(standbys.into_iter().map(|to| Action::RequestPromise { to, request }));
    }
}
