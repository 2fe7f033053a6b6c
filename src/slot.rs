//! Mapping of keys to slots (mulberryd).
//!
//! All versions must map keys alike: by XXH3 with a fixed seed over `service NUL key`. The test
//! vectors in `tests/slot.rs` must never change.

use std::{collections::BTreeSet, sync::Arc};

const HASH_SEED: u64 = 0x6d75_6c62;

/// Number of a slot within a service.
pub type SlotId = u32;

/// Fencing token of a slot; grows by one with every new assignment.
pub type Epoch = u64;

/// Fencing token of a cell's controller; grows by one with every takeover.
pub type Term = u64;

/// Returns the hashed slot of a key, one of `slots` (0 counts as 1).
#[must_use]
pub fn hashed_slot(service: &str, key: &str, slots: u32) -> SlotId {
    let slot = key_hash(service, key) % u64::from(slots.max(1));
    u32::try_from(slot).unwrap_or(0)
}

/// Returns the slot of a key: its own if it is pinned, else the hashed one.
#[must_use]
pub fn slot_of(service: &str, key: &str, slots: u32, pins: &[Arc<str>]) -> SlotId {
    let pinned = pins.iter().position(|p| !p.is_empty() && &**p == key);
    let own = pinned.and_then(|n| u32::try_from(n).ok()).map(|n| slots + n);
    own.unwrap_or_else(|| hashed_slot(service, key, slots))
}

/// Returns the slots that keys leave or enter when the pins change from `old` to `new`.
#[must_use]
pub fn slots_affected_by_pins(
    service: &str,
    slots: u32,
    old: &[Arc<str>],
    new: &[Arc<str>],
) -> BTreeSet<SlotId> {
    let mut affected = BTreeSet::new();
    let unpinned: Arc<str> = "".into();
    for n in 0..old.len().max(new.len()) {
        let (a, b) = (old.get(n).unwrap_or(&unpinned), new.get(n).unwrap_or(&unpinned));
        if a == b {
            continue;
        }
        affected.extend(u32::try_from(n).ok().map(|n| slots + n));
        let keys = [a, b].into_iter().filter(|k| !k.is_empty());
        affected.extend(keys.map(|key| hashed_slot(service, key, slots)));
    }
    affected
}

/// Hashes a key of a service, alike on all machines.
#[must_use]
pub fn key_hash(service: &str, key: &str) -> u64 {
    let mut h = xxhash_rust::xxh3::Xxh3::with_seed(HASH_SEED);
    h.update(service.as_bytes());
    h.update(&[0]);
    h.update(key.as_bytes());
    h.digest()
}
