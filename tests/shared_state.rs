//! What an instance knows: the newest revision wins, wherever it was learnt.

use mulberryspur::{
    collections::HashMap,
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

fn member(id: &str, revision: u64, leaving: bool) -> StateEntry {
    let member = UpstreamInfo {
        id: id.into(),
        started: 1,
        service: "s".into(),
        address: ([127, 0, 0, 1], 1).into(),
        data_center: "a".into(),
        concurrency: 1,
        leaving,
        warmup_ms: 0,
    };
    let value = Some(EntryValue::Upstream(Arc::new(member)));
    StateEntry { kind: EntryKind::Upstream, key: id.into(), revision, value }
}

fn gone(id: &str, revision: u64) -> StateEntry {
    StateEntry { kind: EntryKind::Upstream, key: id.into(), revision, value: None }
}

fn ids(state: &SharedState, now: u64) -> Vec<String> {
    let mut ids: Vec<String> = state.upstreams(now).map(|m| m.id.to_string()).collect();
    ids.sort();
    ids
}

#[test]
fn configuration_never_goes_back() {
    let mut state = SharedState::default();
    assert!(state.merge(0, [routing_config(5)]));
    assert!(!state.merge(0, [routing_config(4)]));
    let unreadable = StateEntry { value: None, revision: 9, ..routing_config(6) };
    assert!(!state.merge(0, [unreadable]));
    assert_eq!(state.routing_config().map(|c| c.version), Some(5));
}

#[test]
fn order_of_arrival_does_not_matter() {
    let mut state = SharedState::default();
    state.merge(0, [gone("u", 7)]);
    state.merge(0, [member("u", 3, false)]);
    assert!(ids(&state, 0).is_empty());
    state.merge(0, [member("u", 8, true)]);
    assert_eq!(ids(&state, 0), ["u"]);
}

#[test]
fn snapshot_removes_what_it_lacks() {
    let mut state = SharedState::default();
    state.merge(0, [member("a", 1, false), member("b", 2, false), member("c", 9, false)]);
    state.replace_kind(0, EntryKind::Upstream, 5, vec![member("a", 1, false)]);
    assert_eq!(ids(&state, 0), ["a", "c"], "c is newer than the snapshot");
}

/// Entries of live upstreams are back within two seconds after an outage.
#[test]
fn entries_that_lapse_with_the_store_are_kept_for_a_while() {
    let mut state = SharedState::default();
    state.merge(0, [member("a", 1, false), member("b", 2, true)]);
    state.on_store_failure(10_000);
    state.replace_kind(10_500, EntryKind::Upstream, 5, Vec::new());
    assert_eq!(ids(&state, 10_600), ["a"], "b was leaving");
    assert_eq!(ids(&state, 12_600), Vec::<String>::new());
    state.merge(12_700, [member("a", 6, false)]);
    assert_eq!(ids(&state, 12_800), ["a"]);
}

#[test]
fn entry_that_ends_while_the_store_answers_is_gone_at_once() {
    let mut state = SharedState::default();
    state.merge(0, [member("a", 1, false)]);
    state.merge(10, [gone("a", 2)]);
    assert!(ids(&state, 10).is_empty());
}

#[test]
fn peer_gets_exactly_what_it_lacks() {
    let mut state = SharedState::default();
    state.merge(0, [member("a", 1, false), member("b", 5, false), routing_config(3)]);
    state.mark_complete(EntryKind::Upstream, 5);
    state.mark_complete(EntryKind::RoutingConfig, 3);
    let mut other = SharedState::default();
    other.merge(0, [member("a", 1, false)]);
    other.mark_complete(EntryKind::Upstream, 1);
    let news = state.newer_than(&other.digest());
    assert_eq!(news.len(), 2);
    other.merge_from_peer(0, &state.digest(), news);
    assert_eq!(other.digest(), state.digest());
    assert!(state.newer_than(&other.digest()).is_empty());
}
