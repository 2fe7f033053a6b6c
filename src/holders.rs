//! What a controller knows of those it grants slots to: who may hold what, and until when.

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

/// Who is granted slots and refuses what the grants do not cover.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum Enforcer {
    /// The owner itself.
    Owners,
    /// Entry instances, each for every slot, because the owners check nothing.
    EntryInstances,
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

/// One holder.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Holder {
    /// Latest reading of the holder's clock and when it arrived here.
    echo: Option<(Millis, Millis)>,
    /// Version of `slots`.
    version: u64,
    slots: BTreeMap<SlotId, Epoch>,
    /// Whether a first message was sent, to learn the holder's clock.
    greeted: bool,
    /// Latest version whose slots were sent.
    sent: u64,
    /// Latest version that the holder has taken.
    acked: u64,
    /// No grant sent so far lasts beyond this; `None` while grants of earlier terms are unbounded.
    bound: Option<Millis>,
    /// Slots that it lost but still runs requests for.
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

    /// Returns whether something is to be sent before the next renewal.
    fn has_news(&self) -> bool {
        if self.echo.is_some() { self.sent < self.version } else { !self.greeted }
    }
}

/// A slot taken off a holder's list.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Release {
    from: Owner,
    /// First version of the holder's list without the slot.
    version: u64,
    /// Bound on the grants that still had it.
    bound: Option<Millis>,
}

/// All holders of one controller.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(crate) struct Holders {
    timing: Timing,
    enforcing: Enforcing,
    known: BTreeMap<Owner, Holder>,
    /// Slots that were taken off all lists, until they are reassigned or given back.
    releases: BTreeMap<SlotId, Vec<Release>>,
    /// Latest version given to a list; none is given twice within a term.
    last_list: u64,
}

impl Holders {
    /// Creates the holders of a new controller; `inherited` bounds the grants of earlier terms.
    pub fn new(
        timing: Timing,
        enforcer: &Enforcer,
        row: &CellRow,
        inherited: Option<Millis>,
    ) -> Self {
        let enforcing = match enforcer {
            Enforcer::Owners => Enforcing::Owners,
            Enforcer::EntryInstances => {
                Enforcing::Entries { present: BTreeSet::new(), unlisted: inherited }
            }
        };
        let mut this = Self {
            timing,
            enforcing,
            known: BTreeMap::new(),
            releases: BTreeMap::new(),
            last_list: 0,
        };
        this.list(row, inherited);
        this
    }

    /// Returns the number of slots that are on no list.
    pub fn releasing_slots(&self) -> usize {
        self.releases.len()
    }

    /// Sets the entry instances to grant to, where those enforce ownership.
    pub fn set_entry_instances(&mut self, entries: BTreeSet<Owner>, row: &CellRow) {
        let Enforcing::Entries { present, .. } = &mut self.enforcing else { return };
        if *present != entries {
            *present = entries;
            self.list(row, Some(0));
        }
    }

    /// Puts the slots of the row that are not being released on the lists of those who enforce it.
    fn list(&mut self, row: &CellRow, bound: Option<Millis>) {
        let mut changed = BTreeSet::new();
        for (slot, a) in &row.slots {
            if self.releases.contains_key(slot) {
                continue;
            }
            let holders = match &self.enforcing {
                Enforcing::Owners => vec![&a.owner],
                Enforcing::Entries { present, .. } => present.iter().collect(),
            };
            for holder in holders {
                let h = self.known.entry(holder.clone()).or_insert_with(|| Holder::new(bound));
                if h.slots.insert(*slot, a.epoch) != Some(a.epoch) {
                    changed.insert(holder.clone());
                }
            }
        }
        self.bump(&changed);
    }

    /// Gives changed lists a new version.
    fn bump(&mut self, changed: &BTreeSet<Owner>) {
        if changed.is_empty() {
            return;
        }
        self.last_list += 1;
        for owner in changed {
            if let Some(h) = self.known.get_mut(owner) {
                h.version = self.last_list;
            }
        }
    }

    /// Takes slots off all lists.
    pub fn withdraw<'a>(&mut self, slots: impl Iterator<Item = &'a SlotId>) {
        let mut changed = BTreeSet::new();
        let version = self.last_list + 1;
        for slot in slots {
            if self.releases.contains_key(slot) {
                continue;
            }
            let mut releases = Vec::new();
            for (owner, h) in &mut self.known {
                if h.slots.remove(slot).is_some() {
                    releases.push(Release { from: owner.clone(), version, bound: h.bound });
                    changed.insert(owner.clone());
                }
            }
            self.releases.insert(*slot, releases);
        }
        self.bump(&changed);
    }

    /// Returns whether a slot was taken off all lists and nobody can serve it any more.
    pub fn is_free(&self, now: Millis, slot: SlotId) -> bool {
        let unlisted = match self.enforcing {
            Enforcing::Owners => Some(0),
            Enforcing::Entries { unlisted, .. } => unlisted,
        };
        let Some(releases) = self.releases.get(&slot) else { return false };
        unlisted.is_some_and(|t| t <= now)
            && releases.iter().all(|r| self.is_released(now, slot, r))
    }

    fn is_released(&self, now: Millis, slot: SlotId, r: &Release) -> bool {
        if r.bound.is_some_and(|t| t <= now) {
            return true;
        }
        let holder = self.known.get(&r.from);
        holder.is_some_and(|h| h.acked >= r.version && !h.draining.contains(&slot))
    }

    /// Gives free slots that `stays` names back to the owners in the row.
    pub fn restore(&mut self, now: Millis, row: &CellRow, stays: impl Fn(SlotId) -> bool) {
        let back = |slot: &SlotId| stays(*slot) && self.is_free(now, *slot);
        let back: Vec<SlotId> = self.releases.keys().copied().filter(back).collect();
        if back.is_empty() {
            return;
        }
        for slot in &back {
            self.releases.remove(slot);
        }
        self.list(row, Some(0));
    }

    /// Takes a newly committed row: what it reassigns may be granted.
    pub fn on_commit(&mut self, old: &CellRow, new: &CellRow) {
        self.releases.retain(|slot, _| old.slots.get(slot) == new.slots.get(slot));
        self.list(new, Some(0));
    }

    /// Takes an answer of a holder that knows the controller's term and no higher one.
    pub fn on_grant_reply(&mut self, now: Millis, from: &Owner, reply: &GrantReply) {
        let bound = now + self.timing.max_elapsed(self.timing.lease_ms);
        let Some(h) = self.known.get_mut(from) else { return };
        if reply.boot != from.boot {
            return;
        }
        h.echo = h.echo.max(Some((reply.clock, now)));
        if h.bound.is_none() {
            // The holder refuses earlier terms from now on, and its limit is at most a lease ahead.
            h.bound = Some(bound);
            let releases = self.releases.values_mut().flatten().filter(|r| r.from == *from);
            releases.filter(|r| r.bound.is_none()).for_each(|r| r.bound = Some(bound));
        }
        if reply.status == GrantStatus::Accepted && reply.version >= h.acked {
            h.acked = reply.version;
            h.draining.clone_from(&reply.draining);
        }
    }

    /// Takes an operator's word that no process of an upstream runs any more.
    pub fn on_upstream_stopped(&mut self, upstream: &str) {
        let stopped = |owner: &Owner| &*owner.upstream == upstream;
        self.known.iter_mut().filter(|(o, _)| stopped(o)).for_each(|(_, h)| h.bound = Some(0));
        let releases = self.releases.values_mut().flatten();
        releases.filter(|r| stopped(&r.from)).for_each(|r| r.bound = Some(0));
    }

    /// Drops holders that hold nothing any more and will get nothing.
    pub fn drop_expired(&mut self, now: Millis) {
        let releases = &self.releases;
        let enforcing = &self.enforcing;
        self.known.retain(|owner, h| {
            let ended = h.bound.is_some_and(|t| t <= now);
            let releasing = releases.values().flatten().any(|r| r.from == *owner);
            match enforcing {
                Enforcing::Owners => {
                    let settled = ended || h.acked >= h.version;
                    !h.slots.is_empty() || releasing || !settled
                }
                Enforcing::Entries { present, .. } => present.contains(owner) || !ended,
            }
        });
    }

    /// Returns the grants to send now: to every holder if a renewal is due, else what is new.
    pub fn due_grants(&mut self, cell: &Arc<str>, term: Term, due: bool) -> Vec<(Owner, Grant)> {
        let lease = self.timing.lease_ms;
        let mut grants = Vec::new();
        for (owner, h) in &mut self.known {
            let gone = match &self.enforcing {
                Enforcing::Owners => false,
                Enforcing::Entries { present, .. } => !present.contains(owner),
            };
            if gone || !(due || h.has_news()) {
                continue;
            }
            h.greeted = true;
            if let Some((_, arrived)) = h.echo {
                let bound = arrived + self.timing.max_elapsed(lease);
                h.bound = h.bound.map(|t| t.max(bound));
            }
            let behind = h.acked < h.version && h.echo.is_some();
            if behind {
                h.sent = h.version;
            }
            let list = || h.slots.iter().map(|(s, e)| SlotGrant { slot: *s, epoch: *e }).collect();
            let grant = Grant {
                cell: cell.clone(),
                boot: owner.boot,
                term,
                version: h.version,
                until: h.echo.map_or(0, |(clock, _)| clock + lease),
                slots: behind.then(list),
            };
            grants.push((owner.clone(), grant));
        }
        grants
    }
}
