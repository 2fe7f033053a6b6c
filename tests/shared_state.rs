//! The copy of the shared state: the newest revision of an entry wins, wherever it comes from.

use mulberryspur::{
    collections::HashMap,
    keymap::{KeyMap, KeyRange, Owner, Span},
    revision,
    routing_config::{CallerLimits, RoutingConfig, UpstreamInfo},
    shared_state::{EntryKind, EntryValue, SharedState, StateEntry},
};
use std::sync::Arc;

fn routing_config(version: u64) -> StateEntry {
    let limits = CallerLimits { header_bytes: 1, body_bytes: 1, header_ms: 1, idle_ms: 1 };
    let (hosts, services) = (HashMap::default(), HashMap::default());
    let value =
        EntryValue::RoutingConfig(Arc::new(RoutingConfig { version, limits, hosts, services }));
    StateEntry {
        kind: EntryKind::RoutingConfig,
        key: "".into(),
        revision: version,
        value: Some(value),
    }
}

fn upstream(id: &str, revision: u64, leaving: bool) -> StateEntry {
    let upstream = UpstreamInfo {
        id: id.into(),
        started: 1,
        service: "s".into(),
        address: ([127, 0, 0, 1], 1).into(),
        data_center: "a".into(),
        concurrency: 1,
        leaving,
        warmup_ms: 0,
    };
    let value = Some(EntryValue::Upstream(Arc::new(upstream)));
    StateEntry { kind: EntryKind::Upstream, key: id.into(), revision, value }
}

fn deleted(id: &str, revision: u64) -> StateEntry {
    StateEntry { kind: EntryKind::Upstream, key: id.into(), revision, value: None }
}

fn upstream_ids(state: &SharedState, now: u64) -> Vec<String> {
    let mut sorted: Vec<String> = state.upstreams(now).map(|u| u.id.to_string()).collect();
    sorted.sort();
    sorted
}

#[test]
fn older_or_unreadable_configuration_is_ignored() {
    let mut state = SharedState::default();
    assert!(state.merge(0, [routing_config(5)]));
    assert!(!state.merge(0, [routing_config(4)]));
    let unreadable = StateEntry { value: None, revision: 9, ..routing_config(6) };
    assert!(!state.merge(0, [unreadable]));
    assert_eq!(state.routing_config().map(|c| c.version), Some(5));
}

#[test]
fn newest_revision_wins_in_any_order() {
    let mut state = SharedState::default();
    state.merge(0, [deleted("u", 7)]);
    state.merge(0, [upstream("u", 3, false)]);
    assert!(upstream_ids(&state, 0).is_empty());
    state.merge(0, [upstream("u", 8, true)]);
    assert_eq!(upstream_ids(&state, 0), ["u"]);
}

/// Guards against entries of all upstreams that are pushed to all instances with each rewrite: these
/// come with the replies to digests.
#[test]
fn rewritten_upstream_is_not_passed_on_at_once() {
    let mut state = SharedState::default();
    let mut passed_on = |entry: StateEntry| {
        let changed = state.merge(0, [entry]);
        (changed, state.take_changes().len())
    };
    assert_eq!(passed_on(upstream("u", 3, false)), (true, 1));
    assert_eq!(passed_on(upstream("u", 4, false)), (true, 0));
    assert_eq!(passed_on(upstream("u", 5, true)), (true, 1));
    assert_eq!(passed_on(upstream("u", 6, true)), (true, 1));
    assert_eq!(passed_on(deleted("u", 7)), (true, 1));
    assert_eq!(passed_on(upstream("u", 8, false)), (true, 1));
    assert_eq!(passed_on(upstream("u", 9, false)), (true, 0));
    assert_eq!(state.newer_than(&[0, 8, 0, 0, 0]).len(), 1);
}

#[test]
fn snapshot_removes_missing_older_entries() {
    let mut state = SharedState::default();
    state.merge(0, [upstream("a", 1, false), upstream("b", 2, false), upstream("c", 9, false)]);
    state.replace_kind(0, EntryKind::Upstream, 5, vec![upstream("a", 1, false)]);
    assert_eq!(upstream_ids(&state, 0), ["a", "c"], "c is newer than the snapshot");
}

/// Entries of live upstreams are deleted during an outage of the store and restored within two
/// seconds after it: the upstreams stay in use meanwhile.
#[test]
fn upstreams_deleted_during_an_outage_are_kept_for_a_while() {
    let mut state = SharedState::default();
    state.merge(0, [upstream("a", 1, false), upstream("b", 2, true)]);
    state.on_store_failure(10_000);
    state.replace_kind(10_500, EntryKind::Upstream, 5, Vec::new());
    assert_eq!(upstream_ids(&state, 10_600), ["a"], "b was leaving");
    assert_eq!(upstream_ids(&state, 12_600), Vec::<String>::new());
    state.merge(12_700, [upstream("a", 6, false)]);
    assert_eq!(upstream_ids(&state, 12_800), ["a"]);
}

/// A deletion after an outage may also be a planned removal. From three seconds after the outage
/// on, an upstream must get no requests two seconds after its removal.
#[test]
fn removed_upstream_is_used_too_long_after_an_outage() {
    for deleted_after in [100, 800, 1_100, 1_400, 2_000] {
        let mut state = SharedState::default();
        state.merge(0, [upstream("a", 1, false)]);
        state.on_store_failure(10_000);
        state.merge(10_000 + deleted_after, [deleted("a", 2)]);
        let allowed_until = (10_000 + deleted_after + 2_000).max(13_000);
        assert!(upstream_ids(&state, allowed_until).is_empty(), "deleted after {deleted_after} ms");
        // Notices and polls take time.
        assert!(upstream_ids(&state, 12_900).is_empty(), "deleted after {deleted_after} ms");
    }
}

/// A call that waits for changes fails long after the last moment at which the store is known to
/// have been away.
#[test]
fn call_that_fails_late_makes_removals_look_like_an_outage() {
    let mut state = SharedState::default();
    state.merge(0, [upstream("a", 1, false)]);
    // Sent at 7,000 ms, failed at 10,200 ms.
    state.on_store_failure(7_000);
    state.merge(10_300, [deleted("a", 2)]);
    assert!(upstream_ids(&state, 10_300).is_empty());
}

#[test]
fn upstream_deleted_while_the_store_answers_is_dropped_at_once() {
    let mut state = SharedState::default();
    state.merge(0, [upstream("a", 1, false)]);
    state.merge(10, [deleted("a", 2)]);
    assert!(upstream_ids(&state, 10).is_empty());
}

#[test]
fn peer_gets_exactly_the_entries_it_lacks() {
    let mut state = SharedState::default();
    state.merge(0, [upstream("a", 1, false), upstream("b", 5, false), routing_config(3)]);
    state.mark_complete(EntryKind::Upstream, 5);
    state.mark_complete(EntryKind::RoutingConfig, 3);
    let mut other = SharedState::default();
    other.merge(0, [upstream("a", 1, false)]);
    other.mark_complete(EntryKind::Upstream, 1);
    let delta = state.newer_than(&other.digest());
    assert_eq!(delta.len(), 2);
    other.merge_from_peer(0, &state.digest(), delta, Some(&state.listings_for(&other.digest())));
    assert_eq!(other.digest(), state.digest());
    assert!(state.newer_than(&other.digest()).is_empty());
}

/// What an upstream says of itself in a response holds for its incarnation, whatever entries say.
#[test]
fn upstream_that_says_that_it_leaves_is_used_again() {
    let is_leaving =
        |state: &SharedState| state.upstreams(0).map(|u| u.leaving).collect::<Vec<_>>();
    let mut state = SharedState::default();
    state.merge(0, [upstream("a", 1, false)]);
    assert!(state.mark_leaving(&"a".into(), 1));
    assert!(!state.mark_leaving(&"a".into(), 1), "known");
    assert_eq!(is_leaving(&state), [true]);
    state.merge(0, [upstream("a", 2, false)]);
    assert_eq!(is_leaving(&state), [true], "an entry that is older than the response");
    // Other instances take it over at the same revision, and do not give it back.
    let mut other = SharedState::default();
    other.merge(0, [upstream("a", 2, false)]);
    assert!(other.merge(0, state.take_changes()));
    assert_eq!(is_leaving(&other), [true]);
    assert!(!other.merge(0, [upstream("a", 2, false)]));
    // A later incarnation is another upstream.
    let Some(EntryValue::Upstream(u)) = upstream("a", 3, false).value else { unreachable!() };
    let reborn = EntryValue::Upstream(Arc::new(UpstreamInfo { started: 2, ..(*u).clone() }));
    state.merge(0, [StateEntry { value: Some(reborn), ..upstream("a", 3, false) }]);
    assert_eq!(is_leaving(&state), [false]);
}

#[test]
fn upstream_that_says_that_it_leaves_is_not_kept_when_its_entry_lapses() {
    let mut state = SharedState::default();
    state.merge(0, [upstream("a", 1, false)]);
    state.on_store_failure(100);
    state.merge(200, [deleted("a", 2)]);
    assert_eq!(upstream_ids(&state, 300), ["a"]);
    state.mark_leaving(&"a".into(), 1);
    assert!(upstream_ids(&state, 300).is_empty());
}

/// An entry that a former upstream wrote is stored late, when another service uses its address.
#[test]
fn late_entry_of_an_ended_upstream_takes_an_address_that_is_used_again() {
    let at = |entry: StateEntry, started, port| {
        let Some(EntryValue::Upstream(u)) = entry.value else { unreachable!() };
        let address = ([127, 0, 0, 1], port).into();
        let upstream = UpstreamInfo { started, address, ..(*u).clone() };
        StateEntry { value: Some(EntryValue::Upstream(Arc::new(upstream))), ..entry }
    };
    let mut state = SharedState::default();
    state
        .merge(0, [at(upstream("ended", 1, false), 10, 7), at(upstream("other", 2, false), 10, 8)]);
    state.merge(0, [deleted("ended", 3), at(upstream("later", 4, false), 20, 7)]);
    state.merge(0, [at(upstream("ended", 5, false), 10, 7)]);
    assert_eq!(upstream_ids(&state, 0), ["later", "other"]);
    state.merge(0, [deleted("later", 6)]);
    assert_eq!(upstream_ids(&state, 0), ["ended", "other"]);
}

fn owners(fence: u64, revision: u64) -> StateEntry {
    let owner = Owner { id: "u".into(), started: 1 };
    let range = KeyRange::new(0, u16::MAX);
    let map = KeyMap { spans: vec![Span { range, owner, fence, handover: None }] };
    let value = Some(EntryValue::Owners(Arc::new(map)));
    StateEntry { kind: EntryKind::Owners, key: "s".into(), revision, value }
}

/// The store's copy has earlier numbers, and entries that have changed since.
#[test]
fn copy_of_the_store_brings_back_what_was_left_behind() {
    let restored = |number| revision::new(1, number);
    let mut state = SharedState::default();
    let all = ["drained", "removed", "live", "new"];
    state.merge(0, all.map(|id| upstream(id, 5, false)));
    state.merge(0, [upstream("drained", 6, true), deleted("removed", 7)]);
    state.merge(0, [routing_config(8), owners(9, 9)]);
    let copy = all[..3].iter().map(|id| upstream(id, restored(4), false)).collect();
    state.replace_kind(1_000, EntryKind::Upstream, restored(4), copy);
    let leaving: Vec<_> = state.upstreams(1_000).filter(|u| u.leaving).collect();
    assert_eq!(leaving.len(), 2, "{leaving:?}");
    // The copy lacks `new`, which writes its entry again.
    assert_eq!(upstream_ids(&state, 1_000), ["drained", "live", "new", "removed"]);
    assert_eq!(upstream_ids(&state, 4_000), ["drained", "live", "removed"]);
    // A version or owners from before are not taken over, later ones are, with lower numbers too.
    let old = StateEntry { revision: restored(2), ..routing_config(7) };
    assert!(!state.merge(1_000, [old, owners(3, restored(3))]));
    let new = StateEntry { revision: restored(5), ..routing_config(9) };
    assert!(state.merge(1_000, [new]));
    assert!(state.merge(1_000, [owners(restored(4), restored(5))]));
    assert_eq!(state.owners("s").map(|(_, r)| r), Some(restored(5)));
}

/// A removal that is older than any copy of the store says nothing about a live upstream, and neither
/// does one before an entry that was written since the restore.
#[test]
fn live_upstream_is_shunned_after_the_store_is_restored() {
    for (restored_at, number) in [(40_000, 1), (1_000, 3)] {
        let mut state = SharedState::default();
        state.merge(0, [upstream("a", 1, false)]);
        state.merge(0, [deleted("a", 2)]);
        state.merge(restored_at, [upstream("a", revision::new(1, number), false)]);
        let leaving: Vec<bool> = state.upstreams(restored_at).map(|u| u.leaving).collect();
        assert_eq!(leaving, [false], "at {restored_at}, number {number}");
    }
}
