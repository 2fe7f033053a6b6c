//! Revisions order the changes of a store that goes back to lower numbers.

use mulberryspur::revision::{self, MAX_GENERATION, MAX_NUMBER};

#[test]
fn later_generation_is_higher_than_any_earlier_number() {
    assert!(revision::new(2, 0) > revision::new(1, MAX_NUMBER));
    let revision = revision::new(3, 17);
    assert_eq!((revision::generation(revision), revision::number(revision)), (3, 17));
}

/// Fences are one more than a revision, and go through JSON.
#[test]
fn highest_fence_is_exact_in_json() {
    assert!(revision::new(u64::MAX, u64::MAX) < 1 << 53);
    assert_eq!(revision::generation(revision::new(u64::MAX, 0)), MAX_GENERATION);
}

/// A store without generations keeps its numbers.
#[test]
fn first_generation_is_the_number() {
    assert_eq!(revision::new(0, 42), 42);
}
