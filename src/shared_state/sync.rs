//! What instances tell each other of the shared state.
//!
//! A digest promises, for each kind of entries whose rows are removed, that its sender holds no entry
//! which the store removed at or before the revision that it names. An instance that has read a table
//! holds what is there, and nothing of what was removed before. It therefore remembers from which
//! revision on it knows removals, and sends the keys of all its entries, a [`Listing`], to those that
//! know less.
//!
//! Answers a relay that starts again while an upstream's entry is removed: its dependents must drop the
//! upstream within two seconds.

use super::{Digest, EntryKind, KINDS, SharedState, StateEntry, digest_index};
use crate::{clock::Millis, collections::HashSet};
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// Kinds of entries whose rows are removed from the store; those of the others are only written anew.
pub const REMOVABLE_KINDS: [EntryKind; 2] = [EntryKind::Upstream, EntryKind::Instance];

/// The keys of all entries of a kind that the store holds at a revision.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Listing {
    /// Kind of the entries.
    pub kind: EntryKind,
    /// Revision of the store.
    pub revision: u64,
    /// Keys of the entries.
    pub keys: Vec<Arc<str>>,
}

impl SharedState {
    /// Returns the entries that an instance with `digest` lacks.
    #[must_use]
    pub fn newer_than(&self, digest: &Digest) -> Vec<StateEntry> {
        let is_missing = |e: &&StateEntry| e.revision > digest[digest_index(e.kind)];
        self.entries.values().filter(is_missing).cloned().collect()
    }

    /// Returns the kinds of which entries may have been removed after `digest` without this instance
    /// knowing.
    pub fn unknown_removals(&self, digest: &Digest) -> impl Iterator<Item = EntryKind> {
        let is_unknown =
            |k: &EntryKind| digest[digest_index(*k)] < self.removals_from[digest_index(*k)];
        REMOVABLE_KINDS.into_iter().filter(is_unknown)
    }

    /// Returns the listings that an instance with `digest` needs besides the entries that it lacks.
    #[must_use]
    pub fn listings_for(&self, digest: &Digest) -> Vec<Listing> {
        self.unknown_removals(digest).map(|kind| self.listing(kind)).collect()
    }

    fn listing(&self, kind: EntryKind) -> Listing {
        let present = self.entries.values().filter(|e| e.kind == kind && e.value.is_some());
        let keys = present.map(|e| e.key.clone()).collect();
        Listing { kind, revision: self.digest[digest_index(kind)], keys }
    }

    /// Merges entries that another instance has sent; returns whether anything changed.
    ///
    /// The sender may be behind: an entry that this instance does not hold although it knows all up to a
    /// later revision was removed.
    pub fn merge_from_sender(
        &mut self,
        now: Millis,
        entries: impl IntoIterator<Item = StateEntry>,
    ) -> bool {
        let entries: Vec<StateEntry> =
            entries.into_iter().filter(|e| !self.was_removed(e)).collect();
        self.merge(now, entries)
    }

    fn was_removed(&self, entry: &StateEntry) -> bool {
        let is_known = entry.revision <= self.digest[digest_index(entry.kind)];
        let held = || self.entries.get(&(entry.kind, entry.key.clone()));
        REMOVABLE_KINDS.contains(&entry.kind)
            && entry.value.is_some()
            && is_known
            && held().is_none_or(|e| e.value.is_none())
    }

    /// Merges the reply to this instance's own digest: entries and listings of an instance that is
    /// complete up to `digest`. Returns whether anything changed.
    ///
    /// `listings` are `None` from instances of earlier versions, which do not tell whether they know all
    /// removals.
    pub fn merge_from_peer(
        &mut self,
        now: Millis,
        digest: &Digest,
        entries: Vec<StateEntry>,
        listings: Option<&[Listing]>,
    ) -> bool {
        let mut changed = self.merge_from_sender(now, entries);
        for listing in listings.into_iter().flatten() {
            changed |= self.apply_listing(now, listing);
        }
        let knows_removals = listings.is_some();
        let kinds = KINDS.into_iter().filter(|k| knows_removals || !REMOVABLE_KINDS.contains(k));
        kinds.for_each(|kind| self.mark_complete(kind, digest[digest_index(kind)]));
        changed
    }

    /// Removes the entries that a listing lacks; one that is not newer than this instance's own
    /// knowledge has nothing to remove.
    fn apply_listing(&mut self, now: Millis, listing: &Listing) -> bool {
        if listing.revision <= self.digest[digest_index(listing.kind)] {
            return false;
        }
        let keys = listing.keys.iter().cloned().collect();
        let changed = self.remove_missing(now, listing.kind, listing.revision, &keys);
        self.mark_listed(listing.kind, listing.revision);
        changed
    }

    /// Removes the entries of a kind that the store lacked at `revision`: those without one of the `keys`.
    pub(super) fn remove_missing(
        &mut self,
        now: Millis,
        kind: EntryKind,
        revision: u64,
        keys: &HashSet<Arc<str>>,
    ) -> bool {
        let missing = self
            .entries
            .values()
            .filter(|e| e.kind == kind && e.value.is_some() && e.revision <= revision)
            .filter(|e| !keys.contains(&e.key));
        let removals: Vec<StateEntry> =
            missing.map(|e| StateEntry { revision, value: None, ..e.clone() }).collect();
        self.merge(now, removals)
    }

    /// Records that all entries of a kind at `revision` are known, but not what was removed before.
    pub(super) fn mark_listed(&mut self, kind: EntryKind, revision: u64) {
        let removals_from = &mut self.removals_from[digest_index(kind)];
        *removals_from = (*removals_from).max(revision);
        self.mark_complete(kind, revision);
    }
}
