//! The controller of a cell: decides who is granted which slot, and when.
//!
//! Plain state without I/O or clocks. The caller carries [`Action`]s out and brings results in.
//! Safety rests on these rules:
//!
//! - a slot is granted only to the owner in a row version known to be committed;
//! - an owner is replaced only after it released the slot or its grants must have ended;
//! - grants are sent only while every listed standby has promised not to take over;
//! - a write whose answer was lost is settled by reading, and re-sent unchanged until it is.

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

/// What the caller must do for the controller.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum Action {
    /// Send a grant to a holder, and its answer to [`Controller::on_grant_reply`].
    SendGrant {
        /// The holder.
        to: Owner,
        /// The grant.
        grant: Grant,
    },
    /// Ask a standby for a promise, and bring it to [`Controller::on_promise`].
    RequestPromise {
        /// The standby.
        to: InstanceId,
        /// The request.
        request: PromiseRequest,
    },
    /// Write the row if its version is `expected`, and bring the result to
    /// [`Controller::on_write`].
    WriteRow {
        /// Version that the row must have.
        expected: u64,
        /// The new row.
        row: CellRow,
    },
    /// Read the row and bring it to [`Controller::on_read`].
    ReadRow,
    /// Tell a standby to take over at once.
    HandOver {
        /// The standby.
        to: InstanceId,
        /// Term that ends.
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
    /// When it was sent, on the controller's clock; later ones replace earlier ones.
    pub sent_at: Millis,
    /// For how long, in milliseconds from receipt.
    pub duration: Millis,
}

/// Result of a conditional write.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum WriteResult {
    /// The row has this version now.
    Committed(u64),
    /// The row had another version.
    Conflict,
    /// The answer was lost, or the platform was not reached.
    Unknown,
}

/// How long holders of earlier terms may still hold what the row says.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum InheritedGrants {
    /// Until this reading of the local clock.
    Until(Millis),
    /// Until they acknowledge this term.
    Unbounded,
}

/// A write whose result is not known.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Pending {
    row: CellRow,
    /// Whether a message about it is on its way, so that nothing need be sent now.
    waiting: bool,
    /// Whether the next step is to read the row.
    read: bool,
}

/// The controller of one cell.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Controller {
    me: InstanceId,
    cell: Arc<str>,
    timing: Timing,
    row: CellRow,
    version: u64,
    pending: Option<Pending>,
    /// Until when each standby has promised not to take over, on this clock.
    promises: BTreeMap<InstanceId, Millis>,
    /// When the latest request that each standby agreed to was sent, or the first one if none was.
    answered: BTreeMap<InstanceId, Millis>,
    holders: Holders,
    wanted: BTreeMap<SlotId, Owner>,
    pins: Vec<Arc<str>>,
    /// Slots that keys leave or enter when the wanted pins replace the committed ones.
    affected: BTreeSet<SlotId>,
    /// Slots whose wanted owner is not the committed one.
    unmet: BTreeSet<SlotId>,
    standbys: Vec<InstanceId>,
    next_renewal: Millis,
    next_write_id: u64,
    platform_up: bool,
    /// Length of the promises asked for, and since when.
    span: (Millis, Millis),
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
        let bound = match inherited {
            InheritedGrants::Until(t) => Some(t),
            InheritedGrants::Unbounded => None,
        };
        Self {
            me: row.controller,
            cell: cell.into(),
            timing,
            version,
            pending: None,
            promises: BTreeMap::new(),
            answered: BTreeMap::new(),
            holders: Holders::new(timing, enforcer, &row, bound),
            wanted: BTreeMap::new(),
            pins: row.pins.clone(),
            affected: BTreeSet::new(),
            unmet: BTreeSet::new(),
            standbys: row.standbys.clone(),
            next_renewal: 0,
            next_write_id: row.write_id.wrapping_add(1),
            platform_up: true,
            span: (timing.promise_ms, 0),
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

    /// Returns the number of slots that wait for their former owner.
    #[must_use]
    pub fn releasing_slots(&self) -> usize {
        self.holders.releasing_slots()
    }

    /// Returns whether grants may be sent at `now`.
    #[must_use]
    pub fn has_authority(&self, now: Millis) -> bool {
        let promised = |s: &InstanceId| self.promises.get(s).is_some_and(|t| now < *t);
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
        &self.wanted
    }

    /// Sets who should own each slot; slots that are not named stay where they are.
    pub fn set_wanted_owners(&mut self, wanted: BTreeMap<SlotId, Owner>) {
        self.wanted = wanted;
        self.compare();
    }

    /// Sets which keys should have slots of their own; `affected` are the slots that keys leave or
    /// enter by it, compared with the committed row.
    ///
    /// The change is committed once no affected slot can be served, and gives all of them new
    /// epochs, so that requests routed by the old pins are refused.
    pub fn set_wanted_pins(&mut self, pins: Vec<Arc<str>>, affected: BTreeSet<SlotId>) {
        self.pins = pins;
        self.affected = affected;
    }

    fn compare(&mut self) {
        let met =
            |slot: &SlotId, to: &Owner| self.row.slots.get(slot).is_some_and(|a| a.owner == *to);
        let unmet = self.wanted.iter().filter(|(slot, to)| !met(slot, to));
        self.unmet = unmet.map(|(slot, _)| *slot).collect();
    }

    /// Returns whether a standby has left requests for promises unanswered.
    #[must_use]
    pub fn is_standby_silent(&self, now: Millis, standby: InstanceId) -> bool {
        let limit = 2 * self.timing.renew_ms;
        self.answered.get(&standby).is_some_and(|t| now > t + limit)
    }

    /// Sets who should be listed as standbys; new ones are asked at the next poll.
    pub fn set_wanted_standbys(&mut self, standbys: Vec<InstanceId>) {
        if standbys.iter().any(|s| !self.answered.contains_key(s)) {
            self.next_renewal = 0;
        }
        self.standbys = standbys;
    }

    /// Sets the entry instances to grant to, where those enforce ownership.
    ///
    /// An entry that is no longer named gets no further grant; what it holds is waited for.
    pub fn set_entry_instances(&mut self, entries: BTreeSet<Owner>) {
        self.holders.set_entry_instances(entries, &self.row);
    }

    /// Notes whether the platform answers; promises are asked for longer while it does not.
    pub fn set_platform_up(&mut self, up: bool) {
        self.platform_up = up;
    }

    /// Takes the answer of a holder to a grant.
    pub fn on_grant_reply(&mut self, now: Millis, from: &Owner, reply: &GrantReply) {
        if reply.term > self.row.term {
            self.ended = true;
            return;
        }
        if reply.term == self.row.term {
            self.holders.on_grant_reply(now, from, reply);
        }
    }

    /// Takes an operator's word that no process of an upstream runs any more; its slots are free at
    /// once.
    pub fn on_upstream_stopped(&mut self, upstream: &str) {
        self.holders.on_upstream_stopped(upstream);
    }

    /// Takes a standby's agreement to `request`.
    pub fn on_promise(&mut self, from: InstanceId, request: &PromiseRequest) {
        // Answers from before a change of span may have been replaced by a shorter promise.
        if request.term == self.row.term && request.sent_at >= self.span.1 {
            let until = request.sent_at + self.timing.min_elapsed(request.duration);
            let known = self.promises.entry(from).or_default();
            *known = until.max(*known);
            let answered = self.answered.entry(from).or_default();
            *answered = request.sent_at.max(*answered);
        }
    }

    /// Takes the result of the last write.
    pub fn on_write(&mut self, result: WriteResult) {
        let Some(p) = &mut self.pending else { return };
        match result {
            WriteResult::Committed(version) => self.commit(version),
            WriteResult::Conflict | WriteResult::Unknown => {
                p.waiting = false;
                p.read = true;
            }
        }
    }

    /// Takes the row as read from the table, `None` if it could not be read.
    pub fn on_read(&mut self, read: Option<(u64, CellRow)>) {
        let Some(p) = &mut self.pending else { return };
        p.waiting = false;
        let Some((version, row)) = read else { return };
        if row.term != self.row.term || row.controller != self.me {
            self.ended = true;
        } else if row.write_id == p.row.write_id {
            self.commit(version);
        } else if version == self.version {
            // The write may still be on its way: only the same write may follow it.
            p.read = false;
        }
    }

    fn commit(&mut self, version: u64) {
        let Some(p) = self.pending.take() else { return };
        let old = std::mem::replace(&mut self.row, p.row);
        self.holders.on_commit(&old, &self.row);
        self.version = version;
        if self.pins != self.row.pins {
            // What they affect was worked out from the former row.
            self.pins.clone_from(&self.row.pins);
            self.affected.clear();
        }
        self.compare();
    }

    /// Resigns in favour of a standby; no grant is sent from now on.
    ///
    /// Returns `None`, and changes nothing, while a write is unsettled.
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
        self.take_off();
        self.give_back(now);
        actions.extend(self.write(now));
        let due = now >= self.next_renewal;
        if due {
            self.next_renewal = now + self.timing.renew_ms;
            self.ask(now, &mut actions);
            self.holders.drop_expired(now);
        }
        if self.has_authority(now) {
            let grants = self.holders.due_grants(&self.cell, self.row.term, due);
            actions.extend(grants.into_iter().map(|(to, grant)| Action::SendGrant { to, grant }));
        }
        actions
    }

    /// Returns whether a slot waits for a change of pins.
    fn is_affected(&self, slot: SlotId) -> bool {
        self.pins != self.row.pins && self.affected.contains(&slot)
    }

    /// Takes slots off the lists of their holders where the owner or the pins should change.
    fn take_off(&mut self) {
        let pins_change = self.pins != self.row.pins;
        let affected = self.affected.iter().filter(|_| pins_change);
        let assigned = |slot: &&SlotId| self.row.slots.contains_key(slot);
        self.holders.withdraw(self.unmet.iter().chain(affected).filter(assigned));
    }

    /// Gives slots back that were wanted elsewhere but have not been reassigned.
    fn give_back(&mut self, now: Millis) {
        if self.pending.is_some() {
            return;
        }
        let (unmet, affected) = (&self.unmet, &self.affected);
        let pins_change = self.pins != self.row.pins;
        let leaves = |slot| unmet.contains(&slot) || (pins_change && affected.contains(&slot));
        let stays = |slot| !leaves(slot);
        self.holders.restore(now, &self.row, stays);
    }

    fn write(&mut self, now: Millis) -> Option<Action> {
        if self.pending.is_none() {
            self.pending =
                self.propose(now).map(|row| Pending { row, waiting: false, read: false });
        }
        let p = self.pending.as_mut()?;
        if p.waiting {
            return None;
        }
        p.waiting = true;
        if p.read {
            return Some(Action::ReadRow);
        }
        Some(Action::WriteRow { expected: self.version, row: p.row.clone() })
    }

    /// Returns the next row, if it differs from the committed one.
    fn propose(&mut self, now: Millis) -> Option<CellRow> {
        let ready = |s: &InstanceId| self.promises.get(s).is_some_and(|t| now < *t);
        let new_standbys = self.standbys != self.row.standbys && self.standbys.iter().all(ready);
        let moves: Vec<(SlotId, Assignment)> =
            self.unmet.iter().filter_map(|s| Some((*s, self.next_assignment(now, *s)?))).collect();
        let pins = self.ready_pins(now);
        if !new_standbys && moves.is_empty() && pins.is_none() {
            return None;
        }
        let mut row = self.row.clone();
        if let Some(pinned) = pins {
            row.pins.clone_from(&self.pins);
            row.slots.extend(pinned);
        }
        if new_standbys {
            row.standbys.clone_from(&self.standbys);
        }
        row.slots.extend(moves);
        row.write_id = self.next_write_id;
        self.next_write_id = self.next_write_id.wrapping_add(1);
        Some(row)
    }

    /// Returns new assignments of the affected slots, if the wanted pins can be committed now.
    fn ready_pins(&self, now: Millis) -> Option<Vec<(SlotId, Assignment)>> {
        if self.pins == self.row.pins {
            return None;
        }
        let mut assignments = Vec::new();
        for slot in &self.affected {
            let Some(a) = self.row.slots.get(slot) else {
                continue;
            };
            if !self.holders.is_free(now, *slot) {
                return None;
            }
            let owner = self.wanted.get(slot).unwrap_or(&a.owner).clone();
            assignments.push((*slot, Assignment { owner, epoch: a.epoch + 1 }));
        }
        Some(assignments)
    }

    /// Returns the assignment that a slot can get now.
    fn next_assignment(&self, now: Millis, slot: SlotId) -> Option<Assignment> {
        let owner = self.wanted.get(&slot)?.clone();
        if self.is_affected(slot) {
            // Committed together with the pins, or newly assigned afterwards.
            return None;
        }
        let epoch = match self.row.slots.get(&slot) {
            None => 1,
            Some(a) => self.holders.is_free(now, slot).then_some(a.epoch + 1)?,
        };
        Some(Assignment { owner, epoch })
    }

    fn ask(&mut self, now: Millis, actions: &mut Vec<Action>) {
        let span =
            if self.platform_up { self.timing.promise_ms } else { self.timing.outage_promise_ms };
        if span != self.span.0 {
            // A shorter promise replaces a longer one, which no longer counts.
            let until = now + self.timing.min_elapsed(span);
            self.promises.values_mut().for_each(|t| *t = until.min(*t));
            self.span = (span, now);
        }
        let request =
            PromiseRequest { from: self.me, term: self.row.term, sent_at: now, duration: span };
        let mut standbys = self.binding_standbys();
        standbys.extend(&self.standbys);
        self.promises.retain(|s, _| standbys.contains(s));
        self.answered.retain(|s, _| standbys.contains(s));
        for s in &standbys {
            self.answered.entry(*s).or_insert(now);
        }
        actions.extend(standbys.into_iter().map(|to| Action::RequestPromise { to, request }));
    }
}
