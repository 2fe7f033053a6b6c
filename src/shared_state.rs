//! An instance's copy of the state that all instances of `mulberryspur-platform` share: the newest
//! known revision of each entry.
//!
//! Entries come from the store's feeds and from other instances. The higher revision wins, so the
//! order of arrival does not matter, and no entry ever goes back to an older revision. Of the same
//! revision, an upstream that has said that it leaves wins, see [`SharedState::mark_leaving`]. The
//! exception is the configuration: one that cannot be read, or has a lower version than the one in
//! force, is ignored.
//!
//! Entries of upstreams that still run may be deleted during an outage of the store or shortly
//! after it. They count as lapsed, and their upstreams are kept for a while.
//!
//! The store may be restored from a copy, which it then holds with higher revisions than before; see
//! [`crate::revision`]. What is missing in the copy counts as lapsed, upstreams that are known to
//! have left stay so, and the configuration and the owners of keys stay until later ones come.
//!
//! What instances tell each other of entries that were removed: [`Listing`].
//!
//! Upstreams of a data centre under evacuation are listed as leaving; their entries stay as they are.
//!
//! `serde(rename)` keeps the names that instances of other versions send and expect.

mod sync;

pub use sync::{Listing, REMOVABLE_KINDS};

use crate::{
    clock::Millis,
    collections::{HashMap, HashSet},
    evacuation::Evacuations,
    keymap::KeyMap,
    owner_delta::RecentOwners,
    revision,
    routing_config::{RoutingConfig, UpstreamInfo},
};
use serde::{Deserialize, Serialize};
use std::{net::SocketAddr, sync::Arc};

/// Time in milliseconds after the last sign of an outage of the store until which a deleted entry
/// may have lapsed in it: the store is tried again within 600 ms, and entries of live upstreams are
/// restored within two seconds of its return.
const LAPSE_GRACE_MS: Millis = 2_600;
/// Time in milliseconds for which removed upstreams are remembered: several times the age of the
/// copies from which the store is restored, which is some seconds.
const REMOVAL_MEMORY_MS: Millis = 30_000;

/// Kind of an entry.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum EntryKind {
    /// The routing configuration; its key is empty.
    #[serde(rename = "Catalog")]
    RoutingConfig,
    /// An upstream, by identity.
    #[serde(rename = "Member")]
    Upstream,
    /// The owners of a service's keys, by service.
    Owners,
    /// An instance of the router, by name.
    Instance,
    /// The instance that coordinates a service's keys, by service.
    #[serde(rename = "Steward")]
    Coordinator,
}

/// All kinds, in the order of a digest, which must be that of the variants: their numbers are the
/// indexes.
pub const KINDS: [EntryKind; 5] = [
    EntryKind::RoutingConfig,
    EntryKind::Upstream,
    EntryKind::Owners,
    EntryKind::Instance,
    EntryKind::Coordinator,
];

/// Where an instance is reached by others.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct PeerInfo {
    /// Address for other instances.
    pub address: SocketAddr,
    /// Data centre that it runs in.
    pub data_center: Arc<str>,
    /// Whether it accepts requests from instances that are cut off from upstreams; earlier versions
    /// do not.
    #[serde(default)]
    pub accepts_requests: bool,
    /// Number of its CPU cores, 0 if not known; earlier versions do not tell it.
    #[serde(default)]
    pub cpu_cores: f64,
}

/// Value of an entry, by kind.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum EntryValue {
    /// The routing configuration.
    #[serde(rename = "Catalog")]
    RoutingConfig(Arc<RoutingConfig>),
    /// An upstream.
    #[serde(rename = "Member")]
    Upstream(Arc<UpstreamInfo>),
    /// The owners of a service's keys.
    Owners(Arc<KeyMap>),
    /// An instance of the router.
    Instance(PeerInfo),
    /// Name of the instance that coordinates a service's keys.
    #[serde(rename = "Steward")]
    Coordinator(Arc<str>),
}

/// One object of the shared state at one revision.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct StateEntry {
    /// Kind of the object.
    pub kind: EntryKind,
    /// Key of the object, unique within its kind.
    pub key: Arc<str>,
    /// Revision of the store at which it last changed.
    pub revision: u64,
    /// The object; `None` if it was deleted or cannot be read.
    pub value: Option<EntryValue>,
}

/// Revisions up to which an instance knows all entries, by kind in the order of [`KINDS`].
pub type Digest = [u64; KINDS.len()];

/// The newest revision of each entry.
#[derive(Debug, Default)]
pub struct SharedState {
    entries: HashMap<(EntryKind, Arc<str>), StateEntry>,
    /// Entries that changed and have not been passed on to other instances.
    unpublished: Vec<StateEntry>,
    digest: Digest,
    /// Revisions from which on removed entries are known, by kind.
    removals_from: Digest,
    /// Upstreams whose entries have lapsed, and until when they are kept.
    lapsed: HashMap<Arc<str>, (Arc<UpstreamInfo>, Millis)>,
    /// The same upstreams, until [`Self::take_new_lapses`].
    new_lapses: Vec<(Arc<str>, Millis)>,
    /// Upstreams that have said in a response that they leave, and when these incarnations started.
    announced_leaving: HashMap<Arc<str>, u64>,
    /// Upstreams whose entries were removed, when these incarnations started, and when they were
    /// removed.
    removed: HashMap<Arc<str>, (u64, Millis)>,
    /// The latest time at which the store is known not to have answered.
    store_away_at: Option<Millis>,
    /// The configuration in force.
    routing_config: Option<Arc<RoutingConfig>>,
    /// The data centres under evacuation.
    evacuations: Evacuations,
    recent_owners: RecentOwners,
}

fn digest_index(kind: EntryKind) -> usize {
    kind as usize
}

/// Returns whether the store was restored from a copy between two revisions.
fn is_restored(old: &StateEntry, new: &StateEntry) -> bool {
    revision::generation(old.revision) < revision::generation(new.revision)
}

/// Returns whether the new entry has owners from a copy of the store, and the old one has the same
/// ones or some that were committed later.
fn are_owners_outdated(old: &StateEntry, new: &StateEntry) -> bool {
    let (Some(EntryValue::Owners(known)), Some(EntryValue::Owners(read))) =
        (&old.value, &new.value)
    else {
        return false;
    };
    let fence = read.latest_fence();
    revision::generation(fence) < revision::generation(new.revision)
        && fence <= known.latest_fence()
}

/// Returns whether an entry has what an instance of an earlier version has dropped from the known one.
fn tells_more_of_instance(known: &StateEntry, entry: &StateEntry) -> bool {
    match (&known.value, &entry.value) {
        (Some(EntryValue::Instance(known)), Some(EntryValue::Instance(new))) => {
            known.cpu_cores <= 0.0 && new.cpu_cores > 0.0
        }
        _ => false,
    }
}

fn is_leaving(entry: &StateEntry) -> bool {
    matches!(&entry.value, Some(EntryValue::Upstream(u)) if u.leaving)
}

impl SharedState {
    /// Merges entries; returns whether anything changed.
    pub fn merge(&mut self, now: Millis, entries: impl IntoIterator<Item = StateEntry>) -> bool {
        let changed = entries.into_iter().filter(|e| self.merge_one(now, e)).count();
        changed > 0
    }

    fn merge_one(&mut self, now: Millis, entry: &StateEntry) -> bool {
        let entry_key = (entry.kind, entry.key.clone());
        self.recall_leaving(now, entry);
        let entry = &self.with_announced_leaving(entry.clone());
        let old = self.entries.get(&entry_key);
        if old.is_some_and(|o| {
            o.revision > entry.revision
                || o.revision == entry.revision
                    && (is_leaving(o) || !is_leaving(entry))
                    && !tells_more_of_instance(o, entry)
        }) {
            return false;
        }
        if old.is_some_and(|o| are_owners_outdated(o, entry)) {
            return false;
        }
        if entry.kind == EntryKind::RoutingConfig {
            // An unreadable or older version never replaces the one in force.
            let Some(EntryValue::RoutingConfig(new)) = &entry.value else {
                return false;
            };
            if self.routing_config.as_ref().is_some_and(|c| c.version > new.version) {
                return false;
            }
            self.routing_config = Some(new.clone());
        }
        if entry.kind == EntryKind::Upstream {
            self.track_lapse(now, old.cloned(), entry);
        }
        if let Some(EntryValue::Owners(map)) = &entry.value {
            self.recent_owners.record(&entry.key, entry.revision, map);
        }
        // Upstreams write their entries again and again; what differs in nothing but the revision comes
        // with the replies to digests. An upstream that leaves may do so by what it said in a response,
        // which instances with the same revision do not know.
        let is_rewritten = entry.kind == EntryKind::Upstream
            && !is_leaving(entry)
            && self.entries.get(&entry_key).is_some_and(|old| {
                old.value.is_some() && old.value == entry.value && !is_restored(old, entry)
            });
        if !is_rewritten {
            self.unpublished.push(entry.clone());
        }
        self.entries.insert(entry_key, entry.clone());
        true
    }

    /// Records that an incarnation of an upstream has said in a response that it leaves; returns
    /// whether that was not known.
    ///
    /// It counts as leaving from now on, whatever its entry says: the entry may be older, or the
    /// store out of reach.
    pub fn mark_leaving(&mut self, id: &Arc<str>, started: u64) -> bool {
        if self.announced_leaving.get(id).is_some_and(|known| *known >= started) {
            return false;
        }
        self.announced_leaving.insert(id.clone(), started);
        self.lapsed.retain(|_, (u, _)| !u.is_incarnation(id, started));
        let entry_key = (EntryKind::Upstream, id.clone());
        if let Some(entry) = self.entries.get(&entry_key) {
            let entry = self.with_announced_leaving(entry.clone());
            self.unpublished.push(entry.clone());
            self.entries.insert(entry_key, entry);
        }
        true
    }

    /// Returns an entry with what its upstream has said about leaving.
    fn with_announced_leaving(&self, mut entry: StateEntry) -> StateEntry {
        if let Some(EntryValue::Upstream(u)) = &mut entry.value
            && self.announced_leaving.get(&u.id) == Some(&u.started)
            && !u.leaving
        {
            *u = Arc::new(UpstreamInfo { leaving: true, ..(**u).clone() });
        }
        entry
    }

    /// If an entry comes from a copy of the store, and its upstream is known to have left since,
    /// notes that it has.
    fn recall_leaving(&mut self, now: Millis, new: &StateEntry) {
        let Some(EntryValue::Upstream(u)) = &new.value else {
            return;
        };
        let old = self.entries.get(&(EntryKind::Upstream, new.key.clone()));
        let Some(old) = old.filter(|o| is_restored(o, new)) else {
            return;
        };
        let has_left = match &old.value {
            Some(EntryValue::Upstream(o)) => o.leaving && o.is_incarnation(&u.id, u.started),
            // The entry may also have been written since, by an upstream that lives on.
            _ if revision::number(new.revision) >= revision::number(old.revision) => false,
            _ => self
                .removed
                .get(&u.id)
                .is_some_and(|(started, at)| *started == u.started && now < at + REMOVAL_MEMORY_MS),
        };
        if has_left {
            self.announced_leaving.insert(u.id.clone(), u.started);
        }
    }

    /// Returns the entries that changed since the last call.
    pub fn take_changes(&mut self) -> Vec<StateEntry> {
        std::mem::take(&mut self.unpublished)
    }

    /// If an upstream's entry was deleted during an outage of the store or shortly after it, keeps
    /// the upstream for a while, unless it was leaving.
    ///
    /// The deletion may also be a planned removal, so that time counts from the outage and not from
    /// when the deletion became known. An entry that a copy of the store lacks was not removed.
    fn track_lapse(&mut self, now: Millis, old: Option<StateEntry>, new: &StateEntry) {
        let restored = old.as_ref().is_some_and(|o| is_restored(o, new));
        let away_at = if restored { Some(now) } else { self.store_away_at };
        let until = away_at.map_or(0, |t| t + LAPSE_GRACE_MS);
        self.lapsed.remove(&new.key);
        let (Some(EntryValue::Upstream(u)), None) = (old.and_then(|o| o.value), &new.value) else {
            return;
        };
        if now < until && !u.leaving {
            self.new_lapses.push((new.key.clone(), until));
            self.lapsed.insert(new.key.clone(), (u, until));
        } else {
            self.removed.retain(|_, (_, at)| now < *at + REMOVAL_MEMORY_MS);
            self.removed.insert(new.key.clone(), (u.started, now));
        }
    }

    /// Returns the upstreams whose entries have lapsed since the last call, and until when they are
    /// kept.
    pub fn take_new_lapses(&mut self) -> Vec<(Arc<str>, Millis)> {
        std::mem::take(&mut self.new_lapses)
    }

    /// Records that a call to the store failed that was sent at `sent_at`. A call that waits for
    /// changes fails long after the store was last known to be away.
    pub fn on_store_failure(&mut self, sent_at: Millis) {
        self.store_away_at = self.store_away_at.max(Some(sent_at));
    }

    /// Replaces the entries of a kind by `entries`, which the store held at `revision`: those that
    /// are not among them count as deleted, but newer ones stay. Returns whether anything changed.
    pub fn replace_kind(
        &mut self,
        now: Millis,
        kind: EntryKind,
        revision: u64,
        entries: Vec<StateEntry>,
    ) -> bool {
        let present_keys = entries.iter().map(|e| e.key.clone()).collect();
        let changed =
            self.merge(now, entries) | self.remove_missing(now, kind, revision, &present_keys);
        self.mark_listed(kind, revision);
        changed
    }

    /// Records that all entries of a kind are known up to `revision`.
    pub fn mark_complete(&mut self, kind: EntryKind, revision: u64) {
        let complete_up_to = &mut self.digest[digest_index(kind)];
        *complete_up_to = (*complete_up_to).max(revision);
    }

    /// Returns the revisions up to which all entries are known.
    #[must_use]
    pub fn digest(&self) -> Digest {
        self.digest
    }

    /// Returns the configuration in force.
    #[must_use]
    pub fn routing_config(&self) -> Option<&Arc<RoutingConfig>> {
        self.routing_config.as_ref()
    }

    /// Returns the data centres under evacuation.
    #[must_use]
    pub fn evacuations(&self) -> &Evacuations {
        &self.evacuations
    }

    /// Returns the data centres under evacuation, to be changed.
    pub fn evacuations_mut(&mut self) -> &mut Evacuations {
        &mut self.evacuations
    }

    /// Returns the upstreams that are listed as leaving only for an evacuation, and that still serve
    /// the keys that they own, see [`Evacuations::is_owner_grace`].
    #[must_use]
    pub fn evacuated_owners(&self, now: Millis) -> HashSet<Arc<str>> {
        if !self.evacuations.is_any_in_force() {
            return HashSet::default();
        }
        let serves = |u: &&Arc<UpstreamInfo>| {
            !u.leaving && self.evacuations.is_owner_grace(now, &u.data_center)
        };
        self.listed_upstreams(now).filter(serves).map(|u| u.id.clone()).collect()
    }

    /// Returns the upstreams that have an entry, including those that are leaving, and those whose
    /// entry has lapsed and that are still kept at `now`. Those of a data centre under evacuation are
    /// returned as leaving.
    ///
    /// Where several name one address, only the one that started last is there: an entry of an
    /// upstream that has ended may be stored late.
    pub fn upstreams(&self, now: Millis) -> impl Iterator<Item = Arc<UpstreamInfo>> {
        let mut latest_start: HashMap<SocketAddr, u64> = HashMap::default();
        for u in self.listed_upstreams(now) {
            let latest = latest_start.entry(u.address).or_default();
            *latest = u.started.max(*latest);
        }
        let latest = move |u: &&Arc<UpstreamInfo>| u.started >= latest_start[&u.address];
        self.listed_upstreams(now).filter(latest).map(|u| self.with_evacuation(u))
    }

    /// Returns an upstream as leaving if its data centre is evacuated.
    fn with_evacuation(&self, u: &Arc<UpstreamInfo>) -> Arc<UpstreamInfo> {
        if u.leaving || !self.evacuations.is_evacuated(&u.data_center) {
            return u.clone();
        }
        Arc::new(UpstreamInfo { leaving: true, ..(**u).clone() })
    }

    fn listed_upstreams(&self, now: Millis) -> impl Iterator<Item = &Arc<UpstreamInfo>> {
        let with_entry = self.entries.values().filter_map(|e| match &e.value {
            Some(EntryValue::Upstream(u)) => Some(u),
            _ => None,
        });
        let lapsed = self.lapsed.values().filter(move |(_, until)| now < *until).map(|(u, _)| u);
        with_entry.chain(lapsed)
    }

    /// Returns the revision of the entry of an upstream that has one.
    #[must_use]
    pub fn upstream_revision(&self, id: &Arc<str>) -> Option<u64> {
        let entry = self.entries.get(&(EntryKind::Upstream, id.clone()))?;
        entry.value.is_some().then_some(entry.revision)
    }

    /// Returns whether the store has answered for so long that it lists all upstreams that live and
    /// reach it.
    #[must_use]
    pub fn is_listing_settled(&self, now: Millis) -> bool {
        self.store_away_at.is_none_or(|at| now >= at + LAPSE_GRACE_MS)
    }

    /// Returns the committed owners of a service's keys and their revision.
    #[must_use]
    pub fn owners(&self, service: &str) -> Option<(&Arc<KeyMap>, u64)> {
        let entry = self.entries.get(&(EntryKind::Owners, service.into()))?;
        match &entry.value {
            Some(EntryValue::Owners(map)) => Some((map, entry.revision)),
            _ => None,
        }
    }

    /// Returns the revisions of the owners of each service's keys.
    #[must_use]
    pub fn owner_revisions(&self) -> Vec<(Arc<str>, u64)> {
        let of_owners = self.entries.values().filter(|e| e.kind == EntryKind::Owners);
        of_owners.map(|e| (e.key.clone(), e.revision)).collect()
    }

    /// Returns the last maps of owners, of which the latest is in force.
    #[must_use]
    pub fn recent_owners(&self) -> &RecentOwners {
        &self.recent_owners
    }

    /// Returns the known instances by name.
    pub fn instances(&self) -> impl Iterator<Item = (&Arc<str>, &PeerInfo)> {
        self.entries.values().filter_map(|e| match &e.value {
            Some(EntryValue::Instance(peer)) => Some((&e.key, peer)),
            _ => None,
        })
    }

    /// Returns the name of the instance that coordinates a service's keys.
    #[must_use]
    pub fn coordinator(&self, service: &str) -> Option<&Arc<str>> {
        match &self.entries.get(&(EntryKind::Coordinator, service.into()))?.value {
            Some(EntryValue::Coordinator(name)) => Some(name),
            _ => None,
        }
    }

    /// Returns an instance by name.
    #[must_use]
    pub fn instance(&self, name: &Arc<str>) -> Option<&PeerInfo> {
        match &self.entries.get(&(EntryKind::Instance, name.clone()))?.value {
            Some(EntryValue::Instance(peer)) => Some(peer),
            _ => None,
        }
    }

    /// Drops upstreams whose entries have lapsed and were not restored in time; returns whether
    /// there were any.
    pub fn expire_lapsed(&mut self, now: Millis) -> bool {
        let before = self.lapsed.len();
        self.lapsed.retain(|_, (_, until)| now < *until);
        self.lapsed.len() < before
    }
}
