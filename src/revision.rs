//! Revisions of the platform's store, as the router counts them.
//!
//! The store numbers its changes, and goes back to lower numbers if it is restored from a copy. A
//! revision therefore holds the store's generation, which rises with each restore, above the number:
//! it orders changes across restores, and so do the fences that are made from it.

/// Bits of a revision that hold the number of the change.
const NUMBER_BITS: u32 = 40;
/// Highest generation: revisions, and fences with them, stay below 2^53, so that every JSON parser
/// reads them exactly.
pub const MAX_GENERATION: u64 = (1 << (53 - NUMBER_BITS)) - 1;
/// Highest number of a change.
pub const MAX_NUMBER: u64 = (1 << NUMBER_BITS) - 1;

/// Returns the revision of a change by the store's generation and its number there, which is 0 for
/// a row that does not exist. Values above [`MAX_GENERATION`] and [`MAX_NUMBER`] count as these.
#[must_use]
pub fn new(generation: u64, number: u64) -> u64 {
    generation.min(MAX_GENERATION) << NUMBER_BITS | number.min(MAX_NUMBER)
}

/// Returns the generation of the store in which a revision was given out, or read.
#[must_use]
pub fn generation(revision: u64) -> u64 {
    revision >> NUMBER_BITS
}

/// Returns the number of the change in its generation.
#[must_use]
pub fn number(revision: u64) -> u64 {
    revision & MAX_NUMBER
}
