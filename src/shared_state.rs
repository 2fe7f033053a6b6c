//! What an instance knows of the shared state: the newest revision of each entry, wherever it was
//! learnt.
//!
//! Entries come from the store's feeds and from other instances. The higher revision wins, so the
//! order of arrival does not matter, and nothing ever goes back.

use crate::{
    clock::Millis,
    collections::HashMap,
    keymap::KeyMap,
    routing_config::{RoutingConfig, UpstreamInfo},
};
use serde::{Deserialize, Serialize};
use std::{net::SocketAddr, sync::Arc};

/// Time in milliseconds for which an upstream is kept whose entry lapsed while the store was in
/// trouble: the platform restores entries of live upstreams within two seconds.
const LAPSE_GRACE_MS: Millis = 2_000;
/// Time in milliseconds after trouble of the store for which a missing entry counts as lapsed.
const LAPSE_SPAN_MS: Millis = 1_500;

/// What kind of thing an entry tells of.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum EntryKind {
    /// The configuration; its key is empty.
    #[serde(rename = "Catalog")]
    RoutingConfig,
    /// An upstream, by identity.
    #[serde(rename = "Member")]
    Upstream,
    /// The owners of a service's keys, by service.
    Owners,
    /// An entry instance, by name.
    Instance,
    /// The instance that decides about a service's keys, by service.
    #[serde(rename = "Steward")]
    Coordinator,
}

/// All kinds, in the order of their numbers in a digest.
pub const KINDS: [EntryKind; 5] = [
    EntryKind::RoutingConfig,
    EntryKind::Upstream,
    EntryKind::Owners,
    EntryKind::Instance,
    EntryKind::Coordinator,
];

/// Where another entry instance is reached.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct PeerInfo {
    /// Address for other instances.
    pub address: SocketAddr,
    /// Data centre that it runs in.
    pub data_center: Arc<str>,
}

/// What an entry tells.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum EntryValue {
    /// The configuration.
    #[serde(rename = "Catalog")]
    RoutingConfig(Arc<RoutingConfig>),
    /// An upstream.
    #[serde(rename = "Member")]
    Upstream(Arc<UpstreamInfo>),
    /// The owners of a service's keys.
    Owners(Arc<KeyMap>),
    /// An entry instance.
    Instance(PeerInfo),
    /// Name of the instance that decides.
    #[serde(rename = "Steward")]
    Coordinator(Arc<str>),
}

/// One thing at one revision.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct StateEntry {
    /// What kind of thing.
    pub kind: EntryKind,
    /// Which one of the kind.
    pub key: Arc<str>,
    /// Revision of the store at which it changed.
    pub revision: u64,
    /// The thing, `None` once it is deleted or cannot be read.
    pub value: Option<EntryValue>,
}

/// Revisions up to which an instance knows everything, in the order of [`KINDS`].
pub type Digest = [u64; KINDS.len()];

/// The newest revision of each entry.
#[derive(Debug, Default)]
pub struct SharedState {
    entries: HashMap<(EntryKind, Arc<str>), StateEntry>,
    /// Entries that changed since they were last passed on.
    fresh: Vec<StateEntry>,
    digest: Digest,
    lapsed: HashMap<Arc<str>, (Arc<UpstreamInfo>, Millis)>,
    trouble_until: Option<Millis>,
    routing_config: Option<Arc<RoutingConfig>>,
}

fn number(kind: EntryKind) -> usize {
    kind as usize
}

impl SharedState {
    /// Takes entries over; returns whether anything changed.
    pub fn merge(&mut self, now: Millis, entries: impl IntoIterator<Item = StateEntry>) -> bool {
        let changed = entries.into_iter().filter(|e| self.merge_one(now, e)).count();
        changed > 0
    }

    fn merge_one(&mut self, now: Millis, entry: &StateEntry) -> bool {
        let at = (entry.kind, entry.key.clone());
        let old = self.entries.get(&at);
        if old.is_some_and(|o| o.revision >= entry.revision) {
            return false;
        }
        if entry.kind == EntryKind::RoutingConfig {
            // An unreadable or older version never replaces one that is in force.
            let Some(EntryValue::RoutingConfig(new)) = &entry.value else {
                return false;
            };
            if self.routing_config.as_ref().is_some_and(|c| c.version > new.version) {
                return false;
            }
            self.routing_config = Some(new.clone());
        }
        if entry.kind == EntryKind::Upstream {
            self.note_lapse(now, old.and_then(|o| o.value.clone()), entry);
        }
        self.fresh.push(entry.clone());
        self.entries.insert(at, entry.clone());
        true
    }

    /// Returns the entries that changed since the last call.
    pub fn take_changes(&mut self) -> Vec<StateEntry> {
        std::mem::take(&mut self.fresh)
    }

    /// Remembers an upstream whose entry vanished during or just after trouble of the store.
    fn note_lapse(&mut self, now: Millis, old: Option<EntryValue>, new: &StateEntry) {
        let troubled = self.trouble_until.is_some_and(|t| now < t + LAPSE_SPAN_MS);
        match (old, &new.value) {
            (Some(EntryValue::Upstream(m)), None) if troubled && !m.leaving => {
                let until = self.trouble_until.unwrap_or(now).max(now) + LAPSE_GRACE_MS;
                self.lapsed.insert(new.key.clone(), (m, until));
            }
            _ => {
                self.lapsed.remove(&new.key);
            }
        }
    }

    /// Notes that the store failed to answer at `now`.
    pub fn on_store_failure(&mut self, now: Millis) {
        self.trouble_until = Some(now);
    }

    /// Replaces everything of a kind by what the store holds at `revision`.
    pub fn replace_kind(
        &mut self,
        now: Millis,
        kind: EntryKind,
        revision: u64,
        entries: Vec<StateEntry>,
    ) -> bool {
        let present: Vec<Arc<str>> = entries.iter().map(|e| e.key.clone()).collect();
        let gone: Vec<StateEntry> = self
            .entries
            .values()
            .filter(|e| e.kind == kind && e.value.is_some() && e.revision <= revision)
            .filter(|e| !present.contains(&e.key))
            .map(|e| StateEntry { revision, value: None, ..e.clone() })
            .collect();
        let changed = self.merge(now, entries) | self.merge(now, gone);
        self.mark_complete(kind, revision);
        changed
    }

    /// Notes that everything of a kind is known up to `revision`.
    pub fn mark_complete(&mut self, kind: EntryKind, revision: u64) {
        let at = &mut self.digest[number(kind)];
        *at = (*at).max(revision);
    }

    /// Returns the revisions up to which everything is known.
    #[must_use]
    pub fn digest(&self) -> Digest {
        self.digest
    }

    /// Returns what an instance with `digest` lacks.
    #[must_use]
    pub fn newer_than(&self, digest: &Digest) -> Vec<StateEntry> {
        let lacks = |e: &&StateEntry| e.revision > digest[number(e.kind)];
        self.entries.values().filter(lacks).cloned().collect()
    }

    /// Takes over what another instance, complete up to `digest`, sent in answer to this
    /// instance's own digest.
    pub fn merge_from_peer(
        &mut self,
        now: Millis,
        digest: &Digest,
        entries: Vec<StateEntry>,
    ) -> bool {
        let changed = self.merge(now, entries);
        for kind in KINDS {
            self.mark_complete(kind, digest[number(kind)]);
        }
        changed
    }

    /// Returns the configuration in force.
    #[must_use]
    pub fn routing_config(&self) -> Option<&Arc<RoutingConfig>> {
        self.routing_config.as_ref()
    }

    /// Returns the upstreams that may be used at `now`, those that are leaving included.
    pub fn upstreams(&self, now: Millis) -> impl Iterator<Item = &Arc<UpstreamInfo>> {
        let listed = self.entries.values().filter_map(|e| match &e.value {
            Some(EntryValue::Upstream(m)) => Some(m),
            _ => None,
        });
        let lapsed = self.lapsed.values().filter(move |(_, until)| now < *until).map(|(m, _)| m);
        listed.chain(lapsed)
    }

    /// Returns the owners of a service's keys and the revision of the row.
    #[must_use]
    pub fn owners(&self, service: &str) -> Option<(&Arc<KeyMap>, u64)> {
        let entry = self.entries.get(&(EntryKind::Owners, service.into()))?;
        match &entry.value {
            Some(EntryValue::Owners(map)) => Some((map, entry.revision)),
            _ => None,
        }
    }

    /// Returns the known entry instances by name.
    pub fn instances(&self) -> impl Iterator<Item = (&Arc<str>, &PeerInfo)> {
        self.entries.values().filter_map(|e| match &e.value {
            Some(EntryValue::Instance(peer)) => Some((&e.key, peer)),
            _ => None,
        })
    }

    /// Returns the name of the instance that decides about a service's keys.
    #[must_use]
    pub fn coordinator(&self, service: &str) -> Option<&Arc<str>> {
        match &self.entries.get(&(EntryKind::Coordinator, service.into()))?.value {
            Some(EntryValue::Coordinator(name)) => Some(name),
            _ => None,
        }
    }

    /// Returns an entry instance by name.
    #[must_use]
    pub fn instance(&self, name: &Arc<str>) -> Option<&PeerInfo> {
        match &self.entries.get(&(EntryKind::Instance, name.clone()))?.value {
            Some(EntryValue::Instance(peer)) => Some(peer),
            _ => None,
        }
    }

    /// Forgets upstreams whose grace has passed; returns whether there were any.
    pub fn expire_lapsed(&mut self, now: Millis) -> bool {
        let before = self.lapsed.len();
        self.lapsed.retain(|_, (_, until)| now < *until);
        self.lapsed.len() < before
    }
}
