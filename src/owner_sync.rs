//! What instances tell each other about owners of keys: changes where the receiver remembers the map
//! that they are based on, whole maps elsewhere; see [`crate::owner_delta`].
//!
//! Answers messages that are lost, doubled or reordered between many instances: a receiver ends with
//! the latest map after its next digest at the latest.

use crate::{
    owner_delta::OwnersChange,
    shared_state::{Digest, EntryKind, EntryValue, Listing, SharedState, StateEntry},
};
use std::sync::Arc;

/// What an instance lacks that has sent its digest.
#[derive(Debug, Default)]
pub struct MissingState {
    /// Changes of owners, which the instance gets first.
    pub changes: Vec<OwnersChange>,
    /// All other entries, and the revisions up to which the instance is complete with them; `None`
    /// if it lacks only revisions that changed no entry.
    pub delta: Option<(Digest, Vec<StateEntry>)>,
    /// All keys of the kinds of which it may hold entries that were removed.
    pub listings: Vec<Listing>,
}

impl MissingState {
    /// Returns what an instance with the digest `theirs` lacks. `owners` are the revisions of the
    /// owners that it knows, by service, if it has told them.
    #[must_use]
    pub fn new(
        shared_state: &SharedState,
        theirs: &Digest,
        owners: Option<&[(Arc<str>, u64)]>,
    ) -> Self {
        let (mut digest, mut entries) = (shared_state.digest(), shared_state.newer_than(theirs));
        let listings = shared_state.listings_for(theirs);
        if entries.is_empty() && listings.is_empty() {
            return Self::default();
        }
        let mut changes: Vec<OwnersChange> = Vec::new();
        entries.retain(|entry| {
            let known = owners.and_then(|known| known.iter().find(|(s, _)| *s == entry.key));
            let (Some((_, known)), Some(EntryValue::Owners(map))) = (known, &entry.value) else {
                return true;
            };
            if *known >= entry.revision {
                return false;
            }
            let recent = shared_state.recent_owners();
            let change = recent.change_since(&entry.key, *known, entry.revision, map);
            let is_whole = change.is_none();
            changes.extend(change);
            is_whole
        });
        let index = EntryKind::Owners as usize;
        if !changes.is_empty() {
            // The instance lacks the owners if a change does not apply; its next digest tells.
            digest[index] = digest[index].min(theirs[index]);
        }
        let is_ahead = digest.iter().zip(theirs).any(|(mine, theirs)| mine > theirs);
        let delta = (!entries.is_empty() || is_ahead).then_some((digest, entries));
        Self { changes, delta, listings }
    }

    /// Leaves the listings out, for an instance of an earlier version with the digest `theirs`: it must
    /// not count as complete where it may hold entries that were removed.
    #[must_use]
    pub fn without_listings(mut self, theirs: &Digest) -> Self {
        for Listing { kind, .. } in std::mem::take(&mut self.listings) {
            let index = kind as usize;
            if let Some((digest, _)) = &mut self.delta {
                digest[index] = digest[index].min(theirs[index]);
            }
        }
        self
    }
}

/// What a change of owners means to an instance.
#[derive(Debug)]
pub enum ReceivedChange {
    /// It knows these owners, or later ones.
    Known,
    /// It does not remember the map that the change is based on, and has to ask for the owners.
    Inapplicable,
    /// It gets this entry.
    Entry(StateEntry),
}

/// Applies a change of owners.
#[must_use]
pub fn receive_change(shared_state: &SharedState, change: &OwnersChange) -> ReceivedChange {
    let (service, revision) = (&change.service, change.revision);
    if shared_state.owners(service).is_some_and(|(_, known)| known >= revision) {
        return ReceivedChange::Known;
    }
    let base = shared_state.recent_owners().get(service, change.base);
    let Some(map) = base.and_then(|base| change.delta.apply(base)) else {
        return ReceivedChange::Inapplicable;
    };
    let value = Some(EntryValue::Owners(Arc::new(map)));
    ReceivedChange::Entry(StateEntry {
        kind: EntryKind::Owners,
        key: service.clone(),
        revision,
        value,
    })
}
