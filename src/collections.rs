//! Hash collections with a fast hasher, for use in memory only.
//!
//! The hasher may change between versions; see [`crate::slot`] for the portable hash that maps keys
//! to slots.

/// Hash map with a fast, non-portable hasher.
pub type HashMap<K, V> = rustc_hash::FxHashMap<K, V>;

/// Hash set with a fast, non-portable hasher.
pub type HashSet<K> = rustc_hash::FxHashSet<K>;
