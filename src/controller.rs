//! The controller of a cell: decides who is granted which slot, and when.
//!
//! Plain state without I/O or clocks. The caller carries [`Action`]s out and brings results in.
//! Safety rests on these rules:
//!
//! - a slot is granted only to the owner in a row version known to be committed;
//! - an owner is replaced only after it released the slot or its grants must have ended;
//! - grants are sent only while every listed standby has promised not to take over;
//! - a write whose answer was lost is settled by reading, and re-sent unchanged until it is.

use crate::{
    cell::{Assignment, CellRow, InstanceId, Owner},
    clock::Millis,
    grant::{Grant, GrantReply, GrantStatus, SlotGrant, Timing},
    slot::{Epoch, SlotId, Term},
};
use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

/// What the caller must do for the controller.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum Action {
    /// Send a grant to a holder, and its answer to [`Controller::on_reply`].
    Grant {
        /// The holder.
        to: Owner,
        /// The grant.
        grant: Grant,
    },
    /// Ask a standby for a promise, and bring it to [`Controller::on_promise`].
    Ask {
        /// The standby.
        to: InstanceId,
        /// The question.
        ask: Ask,
    },
    /// Write the row if its version is `expected`, and bring the result to
    /// [`Controller::on_write`].
    Write {
        /// Version that the row must have.
        expected: u64,
        /// The new row.
        row: CellRow,
    },
    /// Read the row and bring it to [`Controller::on_read`].
    Read,
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
pub struct Ask {
    /// The controller.
    pub from: InstanceId,
    /// Its term.
    pub term: Term,
    /// When it was sent, on the controller's clock; later ones replace earlier ones.
    pub sent_at: Millis,
    /// For how long, in milliseconds from receipt.
    pub span: Millis,
}

/// Result of a conditional write.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum WriteResult {
    /// The row has this version now.
    Done(u64),
    /// The row had another version.
    Conflict,
    /// The answer was lost, or the platform was not reached.
    Unknown,
}

/// How long holders of earlier terms may still hold what the row says.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Inherited {
    /// Until this reading of the local clock.
    Until(Millis),
    /// Until they acknowledge this term.
    Unbounded,
}

/// Who is granted slots and refuses what the grants do not cover.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum Enforcer {
    /// The owner itself.
    Owners,
    /// Entry instances, each for every slot, because the owners check nothing.
    Entries,
}

/// The enforcing side with what it needs.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
enum Enforcing {
    Owners,
    Entries {
        /// Entry instances to grant to, as holders.
        present: BTreeSet<Owner>,
        /// Bound on grants of earlier terms to entry instances that this controller never knew.
        unlisted: Option<Millis>,
    },
}

/// What the controller knows of a holder.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Holder {
    /// Latest reading of the holder's clock and when it arrived here.
    echo: Option<(Millis, Millis)>,
    version: u64,
    slots: BTreeMap<SlotId, Epoch>,
    /// Whether a first message was sent, to learn the holder's clock.
    greeted: bool,
    /// Latest version whose slots were sent.
    sent: u64,
    acked: u64,
    /// No grant sent so far lasts beyond this; `None` while grants of earlier terms are unbounded.
    bound: Option<Millis>,
    draining: Vec<SlotId>,
}

impl Holder {
    fn new(bound: Option<Millis>) -> Self {
        Self {
            echo: None,
            version: 0,
            slots: BTreeMap::new(),
            greeted: false,
            sent: 0,
            acked: 0,
            bound,
            draining: Vec::new(),
        }
    }
}

/// A slot taken off a holder's list and not yet known to be free.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Release {
    from: Owner,
    version: u64,
    bound: Option<Millis>,
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
    holders: BTreeMap<Owner, Holder>,
    releases: BTreeMap<SlotId, Vec<Release>>,
    enforcing: Enforcing,
    /// Latest version given to a list.
    last_list: u64,
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
        inherited: Inherited,
        enforcer: &Enforcer,
    ) -> Self {
        let bound = match inherited {
            Inherited::Until(t) => Some(t),
            Inherited::Unbounded => None,
        };
        let mut this = Self {
            me: row.controller,
            cell: cell.into(),
            timing,
            version,
            pending: None,
            promises: BTreeMap::new(),
            holders: BTreeMap::new(),
            releases: BTreeMap::new(),
            enforcing: match enforcer {
                Enforcer::Owners => Enforcing::Owners,
                Enforcer::Entries => {
                    Enforcing::Entries { present: BTreeSet::new(), unlisted: bound }
                }
            },
            last_list: 0,
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
        };
        this.list_owned(bound);
        this
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

    /// Returns when a holder last answered, on the local clock.
    #[must_use]
    pub fn last_answer(&self, owner: &Owner) -> Option<Millis> {
        self.holders.get(owner)?.echo.map(|(_, arrived)| arrived)
    }

    /// Returns the number of slots that wait for their former owner.
    #[must_use]
    pub fn releasing(&self) -> usize {
        self.releases.len()
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

    /// Sets who should own each slot; slots that are not named stay where they are.
    pub fn want(&mut self, wanted: BTreeMap<SlotId, Owner>) {
        self.wanted = wanted;
        self.compare();
    }

    /// Sets which keys should have slots of their own; `affected` are the slots that keys leave or
    /// enter by it, compared with the committed row.
    ///
    /// The change is committed once no affected slot can be served, and gives all of them new
    /// epochs, so that requests routed by the old pins are refused.
    pub fn want_pins(&mut self, pins: Vec<Arc<str>>, affected: BTreeSet<SlotId>) {
        self.pins = pins;
        self.affected = affected;
    }

    fn compare(&mut self) {
        let met =
            |slot: &SlotId, to: &Owner| self.row.slots.get(slot).is_some_and(|a| a.owner == *to);
        let unmet = self.wanted.iter().filter(|(slot, to)| !met(slot, to));
        self.unmet = unmet.map(|(slot, _)| *slot).collect();
    }

    /// Sets who should be listed as standbys.
    pub fn want_standbys(&mut self, standbys: Vec<InstanceId>) {
        self.standbys = standbys;
    }

    /// Sets the entry instances to grant to, where those enforce ownership.
    ///
    /// An entry that is no longer named gets no further grant; what it holds is waited for.
    pub fn want_entries(&mut self, entries: BTreeSet<Owner>) {
        let Enforcing::Entries { present, .. } = &mut self.enforcing else {
            return;
        };
        if *present != entries {
            *present = entries;
            self.list_owned(Some(0));
        }
    }

    /// Notes whether the platform answers; promises are asked for longer while it does not.
    pub fn set_platform_up(&mut self, up: bool) {
        self.platform_up = up;
    }

    /// Takes the answer of a holder to a grant.
    pub fn on_reply(&mut self, now: Millis, from: &Owner, reply: &GrantReply) {
        if reply.term > self.row.term {
            self.ended = true;
            return;
        }
        let bound = now + self.timing.longest(self.timing.lease_ms);
        let Some(h) = self.holders.get_mut(from) else {
            return;
        };
        if reply.boot != from.boot || reply.term != self.row.term {
            return;
        }
        h.echo = h.echo.max(Some((reply.clock, now)));
        if h.bound.is_none() {
            // The holder refuses earlier terms from now on, and its limit is at most a lease ahead.
            h.bound = Some(bound);
            let from_holder = self.releases.values_mut().flatten().filter(|r| r.from == *from);
            from_holder.filter(|r| r.bound.is_none()).for_each(|r| r.bound = Some(bound));
        }
        if reply.status == GrantStatus::Accepted && reply.version >= h.acked {
            h.acked = reply.version;
            h.draining.clone_from(&reply.draining);
        }
    }

    /// Takes a standby's agreement to the request `ask`.
    pub fn on_promise(&mut self, from: InstanceId, ask: &Ask) {
        // Answers from before a change of span may have been replaced by a shorter promise.
        if ask.term == self.row.term && ask.sent_at >= self.span.1 {
            let until = ask.sent_at + self.timing.shortest(ask.span);
            let known = self.promises.entry(from).or_default();
            *known = until.max(*known);
        }
    }

    /// Takes the result of the last write.
    pub fn on_write(&mut self, result: WriteResult) {
        let Some(p) = &mut self.pending else { return };
        match result {
            WriteResult::Done(version) => self.commit(version),
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
        let moved = |slot: &SlotId| old.slots.get(slot) != self.row.slots.get(slot);
        self.releases.retain(|slot, _| !moved(slot));
        self.version = version;
        if self.pins != self.row.pins {
            // What they affect was worked out from the former row.
            self.pins.clone_from(&self.row.pins);
            self.affected.clear();
        }
        self.compare();
        self.list_owned(Some(0));
    }

    /// Puts every slot of the committed row on the lists of those who enforce it.
    fn list_owned(&mut self, bound: Option<Millis>) {
        let mut changed: BTreeSet<Owner> = BTreeSet::new();
        for (slot, a) in &self.row.slots {
            if self.releases.contains_key(slot) {
                continue;
            }
            let holders = match &self.enforcing {
                Enforcing::Owners => std::slice::from_ref(&a.owner).iter().collect(),
                Enforcing::Entries { present, .. } => present.iter().collect::<Vec<_>>(),
            };
            for holder in holders {
                let h = self.holders.entry(holder.clone()).or_insert_with(|| Holder::new(bound));
                if h.slots.insert(*slot, a.epoch) != Some(a.epoch) {
                    changed.insert(holder.clone());
                }
            }
        }
        self.bump(changed);
    }

    /// Gives changed lists a version that no list of this term has had.
    fn bump(&mut self, changed: BTreeSet<Owner>) {
        if changed.is_empty() {
            return;
        }
        self.last_list += 1;
        for owner in changed {
            if let Some(h) = self.holders.get_mut(&owner) {
                h.version = self.last_list;
            }
        }
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
        self.free(now);
        actions.extend(self.write(now));
        let due = now >= self.next_renewal;
        if due {
            self.next_renewal = now + self.timing.renew_ms;
            self.ask(now, &mut actions);
            self.forget_holders(now);
        }
        if self.has_authority(now) {
            self.grant(due, &mut actions);
        }
        actions
    }

    /// Takes slots off the lists of their holders where the owner should change.
    fn take_off(&mut self) {
        let mut changed: BTreeSet<Owner> = BTreeSet::new();
        let pinned = self.affected.iter().filter(|_| self.pins != self.row.pins);
        for slot in self.unmet.iter().chain(pinned) {
            if !self.row.slots.contains_key(slot) || self.releases.contains_key(slot) {
                continue;
            }
            let mut releases = Vec::new();
            for (owner, h) in &mut self.holders {
                if h.slots.remove(slot).is_some() {
                    let (version, bound) = (self.last_list + 1, h.bound);
                    releases.push(Release { from: owner.clone(), version, bound });
                    changed.insert(owner.clone());
                }
            }
            self.releases.insert(*slot, releases);
        }
        self.bump(changed);
    }

    /// Returns whether nobody can serve a slot that was taken off all lists.
    fn is_free(&self, now: Millis, slot: SlotId, releases: &[Release]) -> bool {
        let unlisted = match self.enforcing {
            Enforcing::Owners => Some(0),
            Enforcing::Entries { unlisted, .. } => unlisted,
        };
        unlisted.is_some_and(|t| t <= now)
            && releases.iter().all(|r| self.is_released(now, slot, r))
    }

    /// Returns whether a former holder can no longer serve the slot.
    fn is_released(&self, now: Millis, slot: SlotId, r: &Release) -> bool {
        if r.bound.is_some_and(|t| t <= now) {
            return true;
        }
        let holder = self.holders.get(&r.from);
        holder.is_some_and(|h| h.acked >= r.version && !h.draining.contains(&slot))
    }

    /// Ends releases of slots that were wanted back before they were reassigned.
    fn free(&mut self, now: Millis) {
        if self.pending.is_some() {
            return;
        }
        let stays = |slot: &SlotId| {
            if self.pins != self.row.pins && self.affected.contains(slot) {
                return false;
            }
            let owner = self.row.slots.get(slot).map(|a| &a.owner);
            self.wanted.get(slot).is_none_or(|w| Some(w) == owner)
        };
        let back: Vec<SlotId> = self
            .releases
            .iter()
            .filter(|(slot, r)| stays(slot) && self.is_free(now, **slot, r))
            .map(|(slot, _)| *slot)
            .collect();
        for slot in &back {
            self.releases.remove(slot);
        }
        if !back.is_empty() {
            self.list_owned(Some(0));
        }
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
            return Some(Action::Read);
        }
        Some(Action::Write { expected: self.version, row: p.row.clone() })
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
            if !self.is_free(now, *slot, self.releases.get(slot)?) {
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
        if self.pins != self.row.pins && self.affected.contains(&slot) {
            // Committed together with the pins, or newly assigned afterwards.
            return None;
        }
        let epoch = match self.row.slots.get(&slot) {
            None => 1,
            Some(a) => {
                let releases = self.releases.get(&slot)?;
                self.is_free(now, slot, releases).then_some(a.epoch + 1)?
            }
        };
        Some(Assignment { owner, epoch })
    }

    fn ask(&mut self, now: Millis, actions: &mut Vec<Action>) {
        let span =
            if self.platform_up { self.timing.promise_ms } else { self.timing.outage_promise_ms };
        if span != self.span.0 {
            // A shorter promise replaces a longer one, which no longer counts.
            let until = now + self.timing.shortest(span);
            self.promises.values_mut().for_each(|t| *t = until.min(*t));
            self.span = (span, now);
        }
        let ask = Ask { from: self.me, term: self.row.term, sent_at: now, span };
        let mut standbys = self.binding_standbys();
        standbys.extend(&self.standbys);
        self.promises.retain(|s, _| standbys.contains(s));
        actions.extend(standbys.into_iter().map(|to| Action::Ask { to, ask }));
    }

    /// Drops holders that hold nothing any more and will get nothing.
    fn forget_holders(&mut self, now: Millis) {
        let releases = &self.releases;
        let enforcing = &self.enforcing;
        self.holders.retain(|owner, h| {
            let ended = h.bound.is_some_and(|t| t <= now);
            let releasing = releases.values().flatten().any(|r| r.from == *owner);
            match enforcing {
                Enforcing::Owners => {
                    !h.slots.is_empty() || releasing || !(ended || h.acked >= h.version)
                }
                Enforcing::Entries { present, .. } => present.contains(owner) || !ended,
            }
        });
    }

    fn grant(&mut self, due: bool, actions: &mut Vec<Action>) {
        let lease = self.timing.lease_ms;
        for (owner, h) in &mut self.holders {
            if matches!(&self.enforcing, Enforcing::Entries { present, .. } if !present.contains(owner))
            {
                continue;
            }
            let behind = h.acked < h.version;
            let unsent = if h.echo.is_some() { h.sent < h.version } else { !h.greeted };
            if !due && !unsent {
                continue;
            }
            h.greeted = true;
            let until = h.echo.map_or(0, |(clock, _)| clock + lease);
            if let Some((_, arrived)) = h.echo {
                let bound = arrived + self.timing.longest(lease);
                h.bound = h.bound.map(|t| t.max(bound));
            }
            let slots = (behind && h.echo.is_some()).then(|| {
                h.sent = h.version;
                h.slots.iter().map(|(s, e)| SlotGrant { slot: *s, epoch: *e }).collect()
            });
            let grant = Grant {
                cell: self.cell.clone(),
                boot: owner.boot,
                term: self.row.term,
                version: h.version,
                until,
                slots,
            };
            actions.push(Action::Grant { to: owner.clone(), grant });
        }
    }
}
