//! The data centres under evacuation, and the pace at which the keys of their upstreams move.

use mulberryspur::{
    clock::Millis,
    collections::HashMap,
    coordinator::{Coordinator, GrantTimes, OrderOutcome, Reassignment},
    evacuation::{
        EvacuationChange, Evacuations, MAX_MOVES_IN_PROGRESS, MOVE_START_MS, OWNER_GRACE_MS,
        RESTORED_GRACE_MS, UNKNOWN_AGE_MS, next_batch,
    },
    keymap::{KeyMap, KeyRange, MAX_SPANS, Owner, Span},
    rebalance::plan,
    revision,
    routing_config::UpstreamInfo,
    shared_state::{EntryKind, EntryValue, SharedState, StateEntry},
    traffic::{TrafficReport, TrafficStats},
};
use std::sync::Arc;

fn change(data_center: &str, revision: u64, in_force: bool) -> EvacuationChange {
    EvacuationChange { data_center: data_center.into(), revision, in_force, age_ms: 0 }
}

fn aged(age_ms: Millis, change: EvacuationChange) -> EvacuationChange {
    EvacuationChange { age_ms, ..change }
}

/// Returns a revision in the given generation of the store.
fn rev(generation: u64, number: u64) -> u64 {
    revision::new(generation, number)
}

/// A row that was deleted came back with a change that was read before and passed on later.
#[test]
fn earlier_change_arrives_after_the_end_of_an_evacuation() {
    let mut known = Evacuations::default();
    assert!(known.merge(100, [change("a", 5, true)]));
    assert!(known.merge(900, [change("a", 7, false)]));
    assert!(!known.merge(1_000, [change("a", 5, true), change("a", 6, true)]));
    assert!(!known.is_evacuated("a"));
    assert_eq!(known.ended_at("a"), Some(900));
    assert!(known.merge(2_000, [change("a", 8, true)]));
    assert_eq!((known.since("a"), known.ended_at("a")), (Some(2_000), None));
}

/// Each further message about the same evacuation gave the owners another two seconds.
#[test]
fn repeated_change_extends_the_grace_of_owners() {
    let mut known = Evacuations::default();
    known.merge(10_000, [change("a", 5, true)]);
    known.merge(11_500, [change("a", 5, true)]);
    known.replace(11_700, 9, vec![change("a", 5, true)]);
    known.merge(11_800, [change("a", 10, true)]);
    assert!(known.is_owner_grace(10_000 + OWNER_GRACE_MS - 1, "a"));
    assert!(!known.is_owner_grace(10_000 + OWNER_GRACE_MS, "a"));
}

/// The end of an evacuation was missed for good if the instance that told of all changes had started
/// after it, and so knew nothing of that data centre.
#[test]
fn end_is_missed_while_the_sender_starts() {
    let mut sender = Evacuations::default();
    sender.replace(0, 9, Vec::new());
    let mut known = Evacuations::default();
    known.replace(0, 4, Vec::new());
    known.merge(100, [change("a", 5, true)]);
    assert!(known.merge_from_peer(900, sender.complete_up_to(), sender.changes(900)));
    assert_eq!((known.since("a"), known.ended_at("a")), (None, Some(900)));
    // A message of before, or from an instance that has heard nothing since, does not bring it back.
    assert!(!known.merge_from_peer(1_000, 6, vec![change("a", 5, true)]));
    assert!(!known.merge_from_peer(1_000, 8, vec![change("a", 8, true)]));
    assert!(known.merge_from_peer(1_100, 12, vec![change("a", 11, true)]));
    assert!(known.is_evacuated("a"));
}

/// An instance that does not know all changes ends no evacuation, and neither does an older message.
#[test]
fn evacuation_ends_by_a_message_that_is_not_complete() {
    let mut known = Evacuations::default();
    known.replace(0, 5, vec![change("a", 5, true)]);
    assert!(!known.merge_from_peer(100, 0, Vec::new()));
    assert!(!known.merge_from_peer(100, 4, Vec::new()));
    assert!(known.is_evacuated("a"));
    // The store was restored from a copy that lacks the row, which the operator writes again.
    assert!(!known.merge_from_peer(200, rev(1, 3), Vec::new()));
    assert!(known.is_evacuated("a"));
    assert!(known.expire(200 + RESTORED_GRACE_MS));
    assert!(!known.is_evacuated("a"));
}

/// An instance that learned of the change from another one gave the owners two seconds of its own.
#[test]
fn change_from_another_instance_loses_its_age() {
    let mut first = Evacuations::default();
    first.merge(10_000, [change("a", 5, true)]);
    let mut second = Evacuations::default();
    // On another clock.
    second.merge(70_300, first.changes(11_500));
    assert_eq!(second.since("a"), Some(68_800));
    assert!(!second.is_owner_grace(69_000 + OWNER_GRACE_MS, "a"));
}

/// An instance that started, or had lost the store, sent requests to owners that the others had left for
/// long; and what it told the others ended their grace.
#[test]
fn evacuation_that_is_found_late_counts_as_new() {
    let mut late = Evacuations::default();
    late.replace(50_000, 9, vec![aged(UNKNOWN_AGE_MS, change("a", 5, true))]);
    assert!(late.is_evacuated("a"));
    assert!(!late.is_owner_grace(50_000, "a"));
    let mut known = Evacuations::default();
    known.merge(10_000, [change("a", 5, true)]);
    assert!(!known.merge(10_100, late.changes(50_001)));
    assert!(known.is_owner_grace(10_200, "a"));
    // It learns better.
    assert!(late.merge(50_002, known.changes(10_102)));
    assert!(late.is_owner_grace(50_003, "a"));
}

/// A table that is read anew no longer has the row.
#[test]
fn evacuation_outlasts_a_listing_without_its_row() {
    let mut known = Evacuations::default();
    known.merge(0, [change("a", 5, true), change("b", 9, true)]);
    assert!(known.replace(100, 8, vec![]));
    assert!(!known.is_evacuated("a"));
    assert!(known.is_evacuated("b"), "changed after the listing");
    assert_eq!(known.complete_up_to(), 8);
}

/// The copy from which a store was restored lacks the row, which the operator writes again.
#[test]
fn evacuation_ends_while_the_operator_restores_its_row() {
    let mut known = Evacuations::default();
    known.merge(1_000, [change("a", rev(1, 50), true), change("b", rev(1, 51), true)]);
    assert!(!known.replace(10_000, rev(2, 40), vec![]));
    // Read again, which must not begin the time anew.
    assert!(!known.replace(11_000, rev(2, 41), vec![]));
    known.expire(10_000 + RESTORED_GRACE_MS - 1);
    assert!(known.is_evacuated("a") && known.is_evacuated("b"));
    assert_eq!(known.complete_up_to(), 0, "others have not seen the listing");
    known.merge(10_000 + RESTORED_GRACE_MS - 1, [change("a", rev(2, 45), true)]);
    assert!(known.expire(10_000 + RESTORED_GRACE_MS));
    assert!(known.is_evacuated("a"));
    assert_eq!(known.since("a"), Some(1_000));
    assert_eq!(known.ended_at("b"), Some(10_000 + RESTORED_GRACE_MS));
    assert_eq!(known.complete_up_to(), rev(2, 41));
    assert!(!known.expire(60_000), "nothing else ends");
}

/// The services were not told when the owners' time was over.
#[test]
fn end_of_the_owners_grace_goes_unnoticed() {
    let mut known = Evacuations::default();
    known.merge(10_000, [change("a", 5, true)]);
    assert!(!known.expire(11_999));
    assert!(known.expire(12_000));
    assert!(!known.expire(12_020));
    assert!(known.is_evacuated("a"));
}

/// The end of an evacuation did not reach an instance that was cut off meanwhile.
#[test]
fn end_of_an_evacuation_is_not_told() {
    let mut known = Evacuations::default();
    assert!(!known.is_news(0));
    known.merge(0, [change("a", 5, true)]);
    assert!(known.is_news(500_000));
    known.merge(600_000, [change("a", 6, false)]);
    assert!(known.is_news(620_000));
    assert!(!known.is_news(630_000));
    assert_eq!(known.changes(700_000), [aged(100_000, change("a", 6, false))], "if asked");
}

fn upstream(n: usize, leaving: bool) -> UpstreamInfo {
    UpstreamInfo {
        id: format!("u{n:03}").into(),
        started: 1,
        service: "foldbook".into(),
        address: ([127, 0, 0, 1], u16::try_from(1_000 + n).unwrap()).into(),
        data_center: ["a", "b", "c"][n % 3].into(),
        concurrency: 3,
        leaving,
        warmup_ms: 0,
    }
}

fn entry(revision: u64, upstream: UpstreamInfo) -> StateEntry {
    let key = upstream.id.clone();
    let value = Some(EntryValue::Upstream(Arc::new(upstream)));
    StateEntry { kind: EntryKind::Upstream, key, revision, value }
}

fn leaving(state: &SharedState, now: Millis) -> Vec<String> {
    let mut ids: Vec<String> =
        state.upstreams(now).filter(|u| u.leaving).map(|u| u.id.to_string()).collect();
    ids.sort();
    ids
}

/// Upstreams of an evacuated data centre were listed as usable, or stayed out of use after its end; one
/// that had said itself that it leaves came back, or was sent requests for its keys.
#[test]
fn listing_does_not_follow_the_evacuation() {
    let mut state = SharedState::default();
    state.merge(0, (0..6).map(|n| entry(n as u64 + 1, upstream(n, n == 3))));
    assert_eq!(leaving(&state, 0), ["u003"]);
    state.evacuations_mut().merge(100, [change("a", 20, true)]);
    assert_eq!(leaving(&state, 100), ["u000", "u003"]);
    let owners = state.evacuated_owners(100 + OWNER_GRACE_MS - 1);
    assert_eq!(owners.iter().map(|id| &**id).collect::<Vec<_>>(), ["u000"]);
    assert!(state.evacuated_owners(100 + OWNER_GRACE_MS).is_empty());
    // A new upstream there, and one that announces that it leaves.
    state.merge(200, [entry(21, upstream(6, false))]);
    state.mark_leaving(&"u006".into(), 1);
    assert_eq!(leaving(&state, 200), ["u000", "u003", "u006"]);
    assert!(!state.evacuated_owners(200).contains("u006"));
    state.evacuations_mut().merge(9_000, [change("a", 22, false)]);
    assert_eq!(leaving(&state, 9_000), ["u003", "u006"]);
    // What instances send each other is what the upstreams have said.
    assert!(state.newer_than(&[0; 5]).iter().all(|e| match &e.value {
        Some(EntryValue::Upstream(u)) => u.leaving == ["u003", "u006"].contains(&&*u.id),
        _ => false,
    }));
}

const UPSTREAMS: usize = 307;
const RANGES: usize = 900;

/// Returns [`RANGES`] ranges that belong to the upstreams in turn.
fn owners() -> KeyMap {
    let mut map = KeyMap::default();
    for n in 0..RANGES {
        let key = |n: usize| u16::try_from(n * 65_536 / RANGES).unwrap();
        let to = if n + 1 == RANGES { u16::MAX } else { key(n + 1) - 1 };
        let owner = Owner { id: upstream(n % UPSTREAMS, false).id, started: 1 };
        map.spans.push(Span { range: KeyRange::new(key(n), to), owner, fence: 1, handover: None });
    }
    map
}

/// Returns traffic of `rate` requests a second, evenly over the keys.
fn traffic(rate: u32) -> TrafficStats {
    let mut traffic = TrafficStats::new(0);
    let requests = (0..2 * rate).map(|i| {
        let key = u64::from(i) * 65_536 / u64::from(2 * rate);
        (u16::try_from(key).unwrap(), 1)
    });
    traffic.add_report(&TrafficReport {
        service: "foldbook".into(),
        requests: requests.collect(),
        ..TrafficReport::default()
    });
    traffic
}

/// Data centre `a` is evacuated: all its upstreams are leaving.
fn upstreams_without_a() -> Vec<Arc<UpstreamInfo>> {
    (0..UPSTREAMS).map(|n| Arc::new(upstream(n, n % 3 == 0))).collect()
}

fn is_evacuated(owner: &Owner) -> bool {
    owner.id[1..].parse::<usize>().unwrap() % 3 == 0
}

/// The plan for a third of all ranges split each of them, and the map outgrew the row of the store.
#[test]
fn evacuation_splits_ranges_beyond_the_limit_of_the_map() {
    let (mut map, upstreams, traffic) = (owners(), upstreams_without_a(), traffic(12_000));
    for c in plan(&map, &[], &[], &upstreams, &traffic) {
        let (range, owner) = (c.range, c.to);
        map.assign(Span { range, owner, fence: 2, handover: None });
    }
    assert!(map.spans.len() < MAX_SPANS, "{} spans", map.spans.len());
    assert!(map.gaps().is_empty());
    assert!(!map.spans.iter().any(|s| is_evacuated(&s.owner)));
}

fn orphans(map: &KeyMap) -> Vec<Reassignment> {
    let to = Owner { id: upstream(1, false).id, started: 1 };
    let lost = map.spans.iter().filter(|s| is_evacuated(&s.owner));
    lost.map(|s| Reassignment { range: s.range, to: to.clone(), owner_lost: true }).collect()
}

/// All keys of a third of the upstreams were unavailable at a time; or some moves began only when
/// requests were no longer sent to the owners.
#[test]
fn batches_are_too_large_or_too_late() {
    let map = owners();
    let since = |o: &Owner| is_evacuated(o).then_some(10_000);
    let batch = |now, in_progress| next_batch(now, orphans(&map), &map, in_progress, since).len();
    let all = orphans(&map).len();
    assert_eq!(batch(10_000, 0), all.div_ceil(4));
    assert_eq!(batch(10_300, 0), all.div_ceil(3));
    assert_eq!(batch(10_600, 0), MAX_MOVES_IN_PROGRESS);
    assert_eq!(batch(10_600, MAX_MOVES_IN_PROGRESS - 7), 7);
    assert_eq!(batch(10_000 + MOVE_START_MS, MAX_MOVES_IN_PROGRESS), all);
}

/// Moves from owners that are lost or leave by themselves waited for those of an evacuation.
#[test]
fn lost_owners_wait_for_a_batch() {
    let map = owners();
    let since = |o: &Owner| (*o.id != *"u000").then_some(10_000).filter(|_| is_evacuated(o));
    let batch = next_batch(10_000, orphans(&map), &map, MAX_MOVES_IN_PROGRESS, since);
    let of_lost = map.spans.iter().filter(|s| *s.owner.id == *"u000").count();
    assert_eq!(batch.len(), of_lost);
    // Nobody serves the keys any more.
    assert_eq!(next_batch(10_000, orphans(&map), &map, 500, |_| None), orphans(&map));
}

/// What a replayed evacuation has shown.
#[derive(Debug)]
struct Replay {
    /// Time in milliseconds from when it became known until all keys had moved.
    took_ms: Millis,
    /// Most moves in progress at a time while owners still served.
    most_in_progress: usize,
}

/// Replays the coordinator's part of an evacuation; a release takes `release_ms`, as it waits for the
/// requests that run, and a commit `commit_ms`.
fn replay(release_ms: Millis, commit_ms: Millis) -> Replay {
    let times =
        GrantTimes { hold: 4_500, outage_hold: 10_000, renew_interval: 1_200, retry_delay: 250 };
    let mut coordinator = Coordinator::new(0, times, KeyMap::default(), 0);
    for s in owners().spans {
        let change = Reassignment { range: s.range, to: s.owner, owner_lost: true };
        coordinator.reassign(0, &change);
    }
    let map = coordinator.next_commit(0).expect("free keys");
    coordinator.on_committed(map, 1);
    let (upstreams, traffic) = (upstreams_without_a(), traffic(1_500));
    let known_at = 10_000;
    let since = |o: &Owner| is_evacuated(o).then_some(known_at);
    let (mut planned_at, mut revision, mut most_in_progress) = (0, 1, 0);
    let mut releases: HashMap<u64, Millis> = HashMap::default();
    let mut commit: Option<(KeyMap, Millis)> = None;
    for now in (0..).step_by(40) {
        assert!(now < known_at + 10_000, "{} moves are left", coordinator.moves().count());
        if now >= known_at && now >= planned_at + 250 {
            planned_at = now;
            let (planned, moving) = (coordinator.planned_owners(), coordinator.moving_ranges());
            let changes = plan(&planned, &moving, &[], &upstreams, &traffic);
            let batch = next_batch(now, changes, &planned, moving.len(), since);
            batch.iter().filter(|c| c.owner_lost).for_each(|c| coordinator.reassign(now, c));
        }
        if now < known_at + MOVE_START_MS {
            most_in_progress = most_in_progress.max(coordinator.moves().count());
        }
        for order in coordinator.due_grants(now, false) {
            coordinator.on_grant_outcome(now + 5, order.id, &OrderOutcome::Done(None));
        }
        for order in coordinator.due_releases(now) {
            releases.insert(order.id, now + release_ms);
        }
        releases.retain(|id, at| {
            let ended = now >= *at;
            if ended {
                coordinator.on_release_outcome(now, *id, &OrderOutcome::Done(None));
            }
            !ended
        });
        if let Some((map, _)) = commit.take_if(|(_, at)| now >= *at) {
            revision += 1;
            coordinator.on_committed(map, revision);
        }
        if commit.is_none() {
            commit = coordinator.next_commit(now).map(|map| (map, now + commit_ms));
        }
        let is_done = !coordinator.owners().spans.iter().any(|s| is_evacuated(&s.owner));
        if now >= known_at && is_done {
            return Replay { took_ms: now - known_at, most_in_progress };
        }
    }
    unreachable!()
}

macro_rules! replays {
    ($($name:ident: release $release:expr, commit $commit:expr;)*) => {$(
        #[test]
        fn $name() {
            let replay = replay($release, $commit);
            println!("{replay:?}");
            assert!(replay.took_ms < OWNER_GRACE_MS, "{replay:?}");
            assert!(replay.most_in_progress <= MAX_MOVES_IN_PROGRESS, "{replay:?}");
        }
    )*};
}

// Keys of 307 upstreams in 900 ranges had not moved when the owners were sent no more requests.
replays! {
    keys_move_too_late_at_idle_upstreams: release 20, commit 10;
    keys_move_too_late_at_busy_upstreams: release 400, commit 60;
    keys_move_too_late_at_slow_upstreams: release 700, commit 100;
}
