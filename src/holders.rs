//! Holders of a controller's grants (mulberryd): which slots each may hold, and until when.

use crate::{
    cell::{CellRow, Owner},
    clock::Millis,
    grant::{Grant, GrantReply, GrantStatus, SlotGrant, Timing},
    slot::{Epoch, SlotId, Term},
};
use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

/// Who holds the grants and refuses requests that they do not cover.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum Enforcer {
    /// The owner itself.
    Owners,
    /// Entry instances, those at which callers' requests arrive, each for every slot, because the
    /// owners check nothing.
    EntryInstances,
}

/// The enforcer with its state.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
enum EnforcerState {
    Owners,
    EntryInstances {
        /// Entry instances to grant to, as holders.
        present: BTreeSet<Owner>,
        /// Latest end, on this clock, of grants of earlier terms to any entry instance; this
        /// controller does not know which instances had some. If it is `None`, unbounded, no slot
        /// becomes free in this term.
        inherited_end: Option<Millis>,
    },
}

/// What the controller knows of one holder.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct HolderState {
    /// Latest reading of the holder's clock and when it arrived here.
    clock_reading: Option<(Millis, Millis)>,
    /// Version of `slots`.
    version: u64,
    slots: BTreeMap<SlotId, Epoch>,
    /// Whether a first message was sent, to learn the reading of the holder's clock.
    contacted: bool,
    /// Latest version whose slots were sent.
    sent_version: u64,
    /// Latest version that the holder has accepted.
    accepted_version: u64,
    /// No grant sent so far lasts beyond this reading of the controller's clock; `None` while
    /// grants of earlier terms are unbounded.
    latest_end: Option<Millis>,
    /// Slots that were withdrawn from the holder while it still runs requests for them.
    draining: Vec<SlotId>,
}

impl HolderState {
    fn new(latest_end: Option<Millis>) -> Self {
        Self {
            clock_reading: None,
            version: 0,
            slots: BTreeMap::new(),
            contacted: false,
            sent_version: 0,
            accepted_version: 0,
            latest_end,
            draining: Vec::new(),
        }
    }

    /// Returns whether a message is to be sent before the next renewal.
    fn has_unsent(&self) -> bool {
        if self.clock_reading.is_some() {
            self.sent_version < self.version
        } else {
            !self.contacted
        }
    }
}

/// A slot withdrawn from one holder.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Withdrawal {
    holder: Owner,
    /// First version of the holder's list without the slot.
    version: u64,
    /// Latest end, on the controller's clock, of the grants that contained the slot; `None` if
    /// unbounded.
    latest_end: Option<Millis>,
}

/// All holders of one controller.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(crate) struct Holders {
    timing: Timing,
    enforcer: EnforcerState,
    states: BTreeMap<Owner, HolderState>,
    /// Slots withdrawn from all holders, until they are reassigned or restored.
    withdrawals: BTreeMap<SlotId, Vec<Withdrawal>>,
    /// Latest version of any slot list. Lists that change together share a version, but no holder
    /// has two lists with one version within a term, even if it is dropped and added again.
    last_list_version: u64,
}

impl Holders {
    /// Creates the holders of a new controller; grants of earlier terms end at `inherited` on its
    /// clock at the latest, or are unbounded if that is `None`.
    pub fn new(
        timing: Timing,
        enforcer: &Enforcer,
        row: &CellRow,
        inherited: Option<Millis>,
    ) -> Self {
        let enforcer = match enforcer {
            Enforcer::Owners => EnforcerState::Owners,
            Enforcer::EntryInstances => {
                EnforcerState::EntryInstances { present: BTreeSet::new(), inherited_end: inherited }
            }
        };
        let mut this = Self {
            timing,
            enforcer,
            states: BTreeMap::new(),
            withdrawals: BTreeMap::new(),
            last_list_version: 0,
        };
        this.add_row_slots(row, inherited);
        this
    }

    /// Returns the number of slots that are withdrawn from all holders.
    pub fn withdrawn_slots(&self) -> usize {
        self.withdrawals.len()
    }

    /// Sets the entry instances to grant to, where those enforce ownership.
    pub fn set_entry_instances(&mut self, entry_instances: BTreeSet<Owner>, row: &CellRow) {
        let EnforcerState::EntryInstances { present, .. } = &mut self.enforcer else { return };
        if *present != entry_instances {
            *present = entry_instances;
            self.add_row_slots(row, Some(0));
        }
    }

    /// Adds the slots of the row that are not withdrawn to the lists of their holders.
    ///
    /// `latest_end` is that of holders that are added here. It is 0 for holders added after the
    /// start of the term: every owner that may still serve slots by a grant of an earlier term is in
    /// the first row, and [`Self::is_free`] waits for such grants of entry instances.
    fn add_row_slots(&mut self, row: &CellRow, latest_end: Option<Millis>) {
        let mut changed = BTreeSet::new();
        for (slot, a) in &row.slots {
            if self.withdrawals.contains_key(slot) {
                continue;
            }
            let holders = match &self.enforcer {
                EnforcerState::Owners => vec![&a.owner],
                EnforcerState::EntryInstances { present, .. } => present.iter().collect(),
            };
            for holder in holders {
                let h = self
                    .states
                    .entry(holder.clone())
                    .or_insert_with(|| HolderState::new(latest_end));
                if h.slots.insert(*slot, a.epoch) != Some(a.epoch) {
                    changed.insert(holder.clone());
                }
            }
        }
        self.assign_version(&changed);
    }

    /// Gives changed lists a new version.
    fn assign_version(&mut self, changed: &BTreeSet<Owner>) {
        if changed.is_empty() {
            return;
        }
        self.last_list_version += 1;
        for owner in changed {
            if let Some(h) = self.states.get_mut(owner) {
                h.version = self.last_list_version;
            }
        }
    }

    /// Withdraws slots from all holders.
    pub fn withdraw<'a>(&mut self, slots: impl Iterator<Item = &'a SlotId>) {
        let mut changed = BTreeSet::new();
        let version = self.last_list_version + 1;
        for slot in slots {
            if self.withdrawals.contains_key(slot) {
                continue;
            }
            let mut withdrawals = Vec::new();
            for (owner, h) in &mut self.states {
                if h.slots.remove(slot).is_some() {
                    withdrawals.push(Withdrawal {
                        holder: owner.clone(),
                        version,
                        latest_end: h.latest_end,
                    });
                    changed.insert(owner.clone());
                }
            }
            self.withdrawals.insert(*slot, withdrawals);
        }
        self.assign_version(&changed);
    }

    /// Returns whether a slot is withdrawn from all holders and none can serve it any more.
    pub fn is_free(&self, now: Millis, slot: SlotId) -> bool {
        let inherited_end = match self.enforcer {
            EnforcerState::Owners => Some(0),
            EnforcerState::EntryInstances { inherited_end, .. } => inherited_end,
        };
        let Some(withdrawals) = self.withdrawals.get(&slot) else { return false };
        inherited_end.is_some_and(|t| t <= now)
            && withdrawals.iter().all(|w| self.is_released(now, slot, w))
    }

    /// Returns whether a holder can no longer serve a slot withdrawn from it: its grants have
    /// ended, or it has accepted a list without the slot and runs no requests for it.
    fn is_released(&self, now: Millis, slot: SlotId, w: &Withdrawal) -> bool {
        if w.latest_end.is_some_and(|t| t <= now) {
            return true;
        }
        let holder = self.states.get(&w.holder);
        holder.is_some_and(|h| h.accepted_version >= w.version && !h.draining.contains(&slot))
    }

    /// Restores free slots for which `stays` is true to the owners in the row.
    ///
    /// A slot that is not free yet stays withdrawn: its withdrawals are the only record of who may
    /// still serve it. Another withdrawal would not list removed entry instances again.
    pub fn restore(&mut self, now: Millis, row: &CellRow, stays: impl Fn(SlotId) -> bool) {
        let should_restore = |slot: &SlotId| stays(*slot) && self.is_free(now, *slot);
        let restored: Vec<SlotId> =
            self.withdrawals.keys().copied().filter(should_restore).collect();
        if restored.is_empty() {
            return;
        }
        for slot in &restored {
            self.withdrawals.remove(slot);
        }
        self.add_row_slots(row, Some(0));
    }

    /// Handles a newly committed row: slots that it reassigns may be granted.
    pub fn on_commit(&mut self, old: &CellRow, new: &CellRow) {
        self.withdrawals.retain(|slot, _| old.slots.get(slot) == new.slots.get(slot));
        self.add_row_slots(new, Some(0));
    }

    /// Handles a reply of a holder whose highest known term is the controller's.
    pub fn on_grant_reply(&mut self, now: Millis, from: &Owner, reply: &GrantReply) {
        let latest_end = now + self.timing.max_elapsed(self.timing.lease_ms);
        let Some(h) = self.states.get_mut(from) else { return };
        if reply.boot != from.boot {
            return;
        }
        h.clock_reading = h.clock_reading.max(Some((reply.clock, now)));
        if h.latest_end.is_none() {
            // The holder refuses earlier terms from now on, and its grant ends within one lease.
            h.latest_end = Some(latest_end);
            let withdrawals = self.withdrawals.values_mut().flatten().filter(|w| w.holder == *from);
            withdrawals
                .filter(|w| w.latest_end.is_none())
                .for_each(|w| w.latest_end = Some(latest_end));
        }
        if reply.status == GrantStatus::Accepted && reply.version >= h.accepted_version {
            h.accepted_version = reply.version;
            h.draining.clone_from(&reply.draining);
        }
    }

    /// Handles an operator's statement that no process of an upstream runs any more.
    pub fn on_upstream_stopped(&mut self, upstream: &str) {
        let stopped = |owner: &Owner| &*owner.upstream == upstream;
        self.states
            .iter_mut()
            .filter(|(o, _)| stopped(o))
            .for_each(|(_, h)| h.latest_end = Some(0));
        let withdrawals = self.withdrawals.values_mut().flatten();
        withdrawals.filter(|w| stopped(&w.holder)).for_each(|w| w.latest_end = Some(0));
    }

    /// Drops owners without slots that no withdrawal names, once their grants have ended or they
    /// have accepted their latest list; owners that get slots later are added again.
    ///
    /// Entry instances are dropped once they are no longer named and their grants have ended.
    pub fn drop_finished(&mut self, now: Millis) {
        let withdrawals = &self.withdrawals;
        let enforcer = &self.enforcer;
        self.states.retain(|owner, h| {
            let ended = h.latest_end.is_some_and(|t| t <= now);
            let withdrawing = withdrawals.values().flatten().any(|w| w.holder == *owner);
            match enforcer {
                EnforcerState::Owners => {
                    let settled = ended || h.accepted_version >= h.version;
                    !h.slots.is_empty() || withdrawing || !settled
                }
                EnforcerState::EntryInstances { present, .. } => present.contains(owner) || !ended,
            }
        });
    }

    /// Returns the grants to send now: to every holder if a renewal is due, else to those that were
    /// sent no message yet or, once the reading of their clock is known, not their latest list.
    /// Entry instances that are no longer named get none.
    pub fn due_grants(&mut self, cell: &Arc<str>, term: Term, due: bool) -> Vec<(Owner, Grant)> {
        let lease = self.timing.lease_ms;
        let mut grants = Vec::new();
        for (owner, h) in &mut self.states {
            let is_removed = match &self.enforcer {
                EnforcerState::Owners => false,
                EnforcerState::EntryInstances { present, .. } => !present.contains(owner),
            };
            if is_removed || !(due || h.has_unsent()) {
                continue;
            }
            h.contacted = true;
            if let Some((_, arrived)) = h.clock_reading {
                let latest_end = arrived + self.timing.max_elapsed(lease);
                h.latest_end = h.latest_end.map(|t| t.max(latest_end));
            }
            let needs_slots = h.accepted_version < h.version && h.clock_reading.is_some();
            if needs_slots {
                h.sent_version = h.version;
            }
            let slot_list =
                || h.slots.iter().map(|(s, e)| SlotGrant { slot: *s, epoch: *e }).collect();
            let grant = Grant {
                cell: cell.clone(),
                boot: owner.boot,
                term,
                version: h.version,
                until: h.clock_reading.map_or(0, |(clock, _)| clock + lease),
                slots: needs_slots.then(slot_list),
            };
            grants.push((owner.clone(), grant));
        }
        grants
    }
}
