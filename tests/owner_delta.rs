//! Changes of owners between instances: the same map as if it were sent whole, at a fraction of its
//! bytes.

use mulberryspur::{
    keymap::{KEY_COUNT, Key, KeyMap, KeyRange, Owner, Span},
    owner_delta::{
        MANY_DEPENDENTS, OwnerDelta, OwnersChange, PUSH_INTERVAL_MS, PushDecision, PushPace,
        REMEMBERED_MAPS,
    },
    owner_sync::{MissingState, ReceivedChange, receive_change},
    shared_state::{Digest, EntryKind, EntryValue, KINDS, SharedState, StateEntry},
};
use rand::{Rng, SeedableRng, rngs::StdRng, seq::SliceRandom};
use serde::Serialize;
use std::sync::Arc;

const SERVICE: &str = "basketstore";

fn owner(n: u32) -> Owner {
    Owner { id: format!("basketstore-{n:03}").into(), started: 1_790_000_000_000 + u64::from(n) }
}

/// A map of `count` ranges of equal size, with an owner each of `owners`.
fn even_map(count: u32, owners: u32, fence: u64) -> KeyMap {
    let first_key = |n: u32| n * KEY_COUNT / count;
    let span = |n: u32| {
        let to = Key::try_from(first_key(n + 1) - 1).expect("key");
        let range = KeyRange::new(Key::try_from(first_key(n)).expect("key"), to);
        Span { range, owner: owner(n * 7 % owners), fence, handover: None }
    };
    KeyMap { spans: (0..count).map(span).collect() }
}

/// Changes a map as commits do: moves of a range or a part of it, with handed over data or without,
/// ranges that lose their owner, and data that has been passed on, which merges neighbours.
fn change_map(rng: &mut StdRng, map: &mut KeyMap, fence: u64) {
    for _ in 0..rng.random_range(1..5) {
        let Some(old) = map.spans.get(rng.random_range(0..map.spans.len().max(1))).cloned() else {
            map.assign(Span {
                range: KeyRange::new(0, Key::MAX),
                owner: owner(0),
                fence,
                handover: None,
            });
            return;
        };
        let middle = old.range.from + Key::try_from(old.range.len() / 2).unwrap_or(0);
        let part = KeyRange::new(old.range.from, middle.min(old.range.to));
        let handover = rng.random_bool(0.3).then(|| "eyJpdGVtcyI6MTJ9".into());
        let new_owner = owner(rng.random_range(0..20));
        match rng.random_range(0..6) {
            0 => map.assign(Span { range: part, owner: new_owner, fence, handover }),
            1 => map.spans.retain(|s| s.range != old.range),
            2 => map.assign(Span { handover: None, ..old }),
            3 => {
                // A move of several adjacent ranges.
                let to = Key::try_from((u32::from(old.range.to) + 3_000).min(u32::from(Key::MAX)));
                let range = KeyRange::new(old.range.from, to.expect("key"));
                map.assign(Span { range, owner: new_owner, fence, handover });
            }
            _ => map.assign(Span { owner: new_owner, fence, handover, ..old }),
        }
    }
}

fn refence(map: &mut KeyMap, fence: u64) {
    map.spans.iter_mut().for_each(|s| s.fence = fence);
}

fn encoded_len(value: &impl Serialize) -> u64 {
    let mut bytes = Vec::new();
    ciborium::into_writer(value, &mut bytes).expect("encode");
    bytes.len() as u64
}

/// Guards against a change that leads to another map than the whole row.
#[test]
fn change_leads_to_the_same_map() {
    let mut rng = StdRng::seed_from_u64(1);
    for round in 0..300 {
        let mut map = even_map(rng.random_range(1..200), 20, 1);
        for fence in 2..30 {
            let old = map.clone();
            // Several commits at once, as after a lost change.
            for _ in 0..rng.random_range(1..4) {
                change_map(&mut rng, &mut map, fence);
            }
            if rng.random_range(0..20) == 0 {
                refence(&mut map, fence);
            }
            let delta = OwnerDelta::between(&old, &map);
            assert_eq!(delta.apply(&old).as_ref(), Some(&map), "round {round}, fence {fence}");
            let mut bytes = Vec::new();
            ciborium::into_writer(&delta, &mut bytes).expect("encode");
            let decoded: OwnerDelta = ciborium::from_reader(&bytes[..]).expect("decode");
            assert_eq!(decoded, delta);
            if delta.is_smaller_than_whole() {
                assert!(bytes.len() as u64 <= encoded_len(&map), "{delta:?}");
            }
        }
    }
}

/// Guards against a change that is encoded although the whole map takes fewer bytes.
#[test]
fn refenced_map_is_sent_whole() {
    let old = even_map(900, 307, 1);
    let mut new = old.clone();
    refence(&mut new, 2);
    let delta = OwnerDelta::between(&old, &new);
    assert!(!delta.is_smaller_than_whole());
    assert_eq!(delta.apply(&old), Some(new));
}

#[test]
fn maps_without_owners_are_distinguished() {
    let (none, all) = (KeyMap::default(), even_map(50, 5, 1));
    let removal = OwnerDelta::between(&all, &none);
    assert_eq!(removal.apply(&all), Some(none.clone()));
    assert_eq!(removal.apply(&none), None);
    assert_eq!(OwnerDelta::between(&none, &all).apply(&none), Some(all));
}

/// Guards against a part of a change that is applied to another map than its base.
#[test]
fn change_of_another_map_is_rejected() {
    let (first, mut second) = (even_map(300, 20, 1), even_map(300, 20, 1));
    second.assign(Span { range: KeyRange::new(5, 9), owner: owner(3), fence: 2, handover: None });
    let mut third = second.clone();
    let from = third.spans[100].clone();
    third.assign(Span { owner: owner(4), fence: 3, ..from });
    let delta = OwnerDelta::between(&second, &third);
    assert_eq!(delta.apply(&second), Some(third.clone()));
    assert_eq!(delta.apply(&first), None);

    let mut state = SharedState::default();
    state.merge(0, [entry(1, &first)]);
    let change = OwnersChange { service: SERVICE.into(), base: 2, revision: 3, delta };
    assert!(matches!(receive_change(&state, &change), ReceivedChange::Inapplicable));
    assert_eq!(state.owners(SERVICE).map(|(m, r)| (&**m, r)), Some((&first, 1)));
    state.merge(0, [entry(4, &third)]);
    assert!(matches!(receive_change(&state, &change), ReceivedChange::Known));
}

fn entry(revision: u64, map: &KeyMap) -> StateEntry {
    let value = Some(EntryValue::Owners(Arc::new(map.clone())));
    StateEntry { kind: EntryKind::Owners, key: SERVICE.into(), revision, value }
}

fn receive(state: &mut SharedState, change: &OwnersChange) {
    if let ReceivedChange::Entry(entry) = receive_change(state, change) {
        state.merge(0, [entry]);
    }
}

/// Sends a digest, and merges the reply.
fn synchronize(receiver: &mut SharedState, sender: &SharedState) -> MissingState {
    let owners = receiver.owner_revisions();
    let missing = MissingState::new(sender, &receiver.digest(), Some(&owners));
    missing.changes.iter().for_each(|c| receive(receiver, c));
    if let Some((digest, entries)) = &missing.delta {
        receiver.merge_from_peer(0, digest, entries.clone(), Some(&missing.listings));
    }
    missing
}

fn assert_same_owners(receiver: &SharedState, sender: &SharedState) {
    let revision = |s: &SharedState| s.owners(SERVICE).map(|(_, r)| r);
    assert_eq!(revision(receiver), revision(sender));
    assert!(receiver.owners(SERVICE) == sender.owners(SERVICE), "different maps");
}

/// Lost, doubled and reordered changes, and feeds of the store that run ahead of them.
#[test]
fn next_digest_ends_in_the_same_map() {
    for seed in 0..200 {
        let mut rng = StdRng::seed_from_u64(seed);
        let (mut sender, mut receiver) = (SharedState::default(), SharedState::default());
        let mut map = even_map(200, 20, 1);
        sender.merge(0, [entry(1, &map)]);
        let mut in_transit: Vec<OwnersChange> = Vec::new();
        for revision in 2..120 {
            change_map(&mut rng, &mut map, revision);
            sender.merge(0, [entry(revision, &map)]);
            let recent = sender.recent_owners();
            let base = recent.revision_before(SERVICE, revision).expect("base");
            let change = recent.change_since(&SERVICE.into(), base, revision, &map);
            in_transit.extend(change.clone().filter(|_| rng.random_bool(0.8)));
            in_transit.extend(change.filter(|_| rng.random_bool(0.3)));
            in_transit.shuffle(&mut rng);
            for change in in_transit.split_off(in_transit.len() / 2) {
                receive(&mut receiver, &change);
                let (known, at) = receiver.owners(SERVICE).unzip();
                if let (Some(known), Some(at)) = (known, at) {
                    assert_eq!(
                        Some(known),
                        sender.recent_owners().get(SERVICE, at).or(Some(known))
                    );
                }
            }
            if rng.random_bool(0.2) {
                sender.mark_complete(EntryKind::Owners, revision);
            }
            if rng.random_bool(0.2) {
                synchronize(&mut receiver, &sender);
                assert_same_owners(&receiver, &sender);
            }
        }
        synchronize(&mut receiver, &sender);
        assert_same_owners(&receiver, &sender);
    }
}

/// Guards against an instance that counts as complete although a change in the reply to its digest did
/// not apply: it would never get these owners from instances of earlier versions.
#[test]
fn unapplied_change_leaves_the_digest() {
    let (mut sender, mut receiver) = (SharedState::default(), SharedState::default());
    let mut map = even_map(200, 20, 1);
    for state in [&mut sender, &mut receiver] {
        state.merge(0, [entry(1, &map)]);
        state.mark_complete(EntryKind::Owners, 1);
    }
    let from = map.spans[7].clone();
    map.assign(Span { owner: owner(1), fence: 2, ..from });
    sender.merge(0, [entry(2, &map)]);
    sender.mark_complete(EntryKind::Owners, 5);
    sender.mark_complete(EntryKind::Upstream, 9);
    let known = receiver.owner_revisions();
    let missing = MissingState::new(&sender, &receiver.digest(), Some(&known));
    assert_eq!(missing.changes.len(), 1);
    let (digest, entries) = missing.delta.expect("delta");
    receiver.merge_from_peer(0, &digest, entries, Some(&missing.listings));
    assert_eq!(receiver.digest()[EntryKind::Owners as usize], 1);
    assert_eq!(receiver.digest()[EntryKind::Upstream as usize], 9);
    // To an instance that tells no revisions of owners, the whole row goes.
    let whole = MissingState::new(&sender, &receiver.digest(), None);
    assert!(whole.changes.is_empty());
    assert_eq!(whole.delta.map(|(digest, entries)| (digest[2], entries.len())), Some((5, 1)));
    // The owners came by push, so the next reply only completes the digest.
    synchronize(&mut receiver, &sender);
    let missing = synchronize(&mut receiver, &sender);
    assert!(missing.changes.is_empty());
    assert_eq!(receiver.digest()[EntryKind::Owners as usize], 5);
    assert_same_owners(&receiver, &sender);
}

#[test]
fn only_the_last_maps_are_remembered() {
    let mut state = SharedState::default();
    let map = even_map(100, 10, 1);
    for revision in 1..=20 {
        state.merge(0, [entry(revision, &map)]);
    }
    let remembered = |r: &u64| state.recent_owners().get(SERVICE, *r).is_some();
    assert_eq!((1..=20).filter(remembered).count(), REMEMBERED_MAPS);
    assert!(remembered(&20));
}

/// Commits every 60 ms to many dependents: the first is pushed at once, the others at most every 100 ms
/// and none later than that, so that requests do not wait for a move longer than for a commit.
#[test]
fn pushes_to_many_are_paced() {
    let (mut pace, mut due, mut pushes) = (PushPace::default(), None, Vec::new());
    for now in 10_000..12_000 {
        if due == Some(now) {
            pushes.push(now);
            pace.on_pushed(now, now);
            due = None;
        }
        if now % 60 != 0 {
            continue;
        }
        match pace.on_change(now, MANY_DEPENDENTS) {
            PushDecision::Now => {
                pushes.push(now);
                pace.on_pushed(now, now);
            }
            PushDecision::At(at) => {
                assert!(at <= now + PUSH_INTERVAL_MS);
                due = Some(at);
            }
            PushDecision::Pending => assert!(due.is_some_and(|d| d <= now + PUSH_INTERVAL_MS)),
        }
    }
    assert_eq!(pushes[0], 10_020);
    assert!(pushes.windows(2).all(|w| w[1] - w[0] >= PUSH_INTERVAL_MS), "{pushes:?}");
    assert!(pushes.len() >= 18, "{pushes:?}");
    // Owners that were deleted are not pushed when that is due; later ones are.
    let decision = pace.on_change(pushes[pushes.len() - 1] + 1, MANY_DEPENDENTS);
    assert!(matches!(decision, PushDecision::At(_) | PushDecision::Pending), "{decision:?}");
    assert_eq!(pace.on_change(20_000, MANY_DEPENDENTS), PushDecision::Now);
    let mut pace = PushPace::default();
    for now in [10_000, 10_060, 10_120] {
        assert_eq!(pace.on_change(now, MANY_DEPENDENTS - 1), PushDecision::Now);
        pace.on_pushed(now, now);
    }
}

/// The messages that are compared, as they are sent.
#[derive(Debug, Serialize)]
enum Message {
    Digest(Digest),
    #[serde(rename = "News")]
    Delta {
        digest: Digest,
        entries: Vec<StateEntry>,
    },
    Push {
        entries: Vec<StateEntry>,
    },
    OwnersChanged(OwnersChange),
    OwnersDigest {
        digest: Digest,
        owners: Vec<(Arc<str>, u64)>,
        is_reply: bool,
    },
}

/// Bytes that an instance sends for owners and digests, in a replay.
#[derive(Debug, Default)]
struct Sent {
    relay: u64,
    coordinator: u64,
    dependent: u64,
}

const REPLAY_MS: u64 = 10_000;
const COMMIT_MS: u64 = 62;
const DIGEST_MS: u64 = 300;
const FEED_MS: u64 = 1_800;
const DATA_CENTERS: u64 = 3;

/// Replays 16 commits a second of four moves each among 900 ranges. The coordinator is in the middle of
/// the names of its data centre and linked to all, and dependents send their digests at one time.
fn replay(instances: u64, whole: bool) -> Sent {
    let dependents = instances / DATA_CENTERS - 1;
    let mut rng = StdRng::seed_from_u64(7);
    let mut map = even_map(900, 307, 1 << 40);
    let mut sent = Sent::default();
    let (mut relay, mut dependent) = (SharedState::default(), SharedState::default());
    let mut revision = (1 << 40) + 1;
    for state in [&mut relay, &mut dependent] {
        state.merge(0, [entry(revision, &map)]);
        for kind in KINDS {
            state.mark_complete(kind, revision);
        }
    }
    let (mut pace, mut due) = (PushPace::default(), None);
    let push = |pace: &mut PushPace, relay: &SharedState, dependent: &mut SharedState, now| {
        let (map, revision) = relay.owners(SERVICE).expect("owners");
        let recent = relay.recent_owners();
        let base = pace.sent_revision.or_else(|| recent.revision_before(SERVICE, revision));
        let change = recent.change_since(&SERVICE.into(), base.expect("base"), revision, map);
        let change = change.expect("smaller than the map");
        receive(dependent, &change);
        assert_same_owners(dependent, relay);
        pace.on_pushed(now, revision);
        encoded_len(&Message::OwnersChanged(change)) * dependents
    };
    for now in 1..=REPLAY_MS {
        if now % COMMIT_MS == 0 {
            revision += 9;
            for _ in 0..4 {
                let n = rng.random_range(0..map.spans.len());
                let moved = map.spans[n].clone();
                let handover = Some("eyJpdGVtcyI6MTJ9".into());
                map.assign(Span {
                    owner: owner(rng.random_range(0..307)),
                    fence: revision,
                    handover,
                    ..moved
                });
            }
            let new = entry(revision, &map);
            if whole {
                let bytes = encoded_len(&Message::Push { entries: vec![new.clone()] });
                sent.coordinator += bytes * (DATA_CENTERS + dependents / 2);
                sent.relay += bytes * dependents;
                dependent.merge(0, [new.clone()]);
                relay.merge(0, [new]);
            } else {
                relay.merge(0, [new]);
                let recent = relay.recent_owners();
                let base = recent.revision_before(SERVICE, revision).expect("base");
                let change = recent.change_since(&SERVICE.into(), base, revision, &map);
                let change = change.expect("smaller than the map");
                sent.coordinator += encoded_len(&Message::OwnersChanged(change)) * DATA_CENTERS;
                let others = usize::try_from(dependents).expect("number");
                match pace.on_change(now, others) {
                    PushDecision::Now => {
                        sent.relay += push(&mut pace, &relay, &mut dependent, now);
                    }
                    PushDecision::At(at) => due = Some(at),
                    PushDecision::Pending => {}
                }
            }
        }
        if due == Some(now) {
            sent.relay += push(&mut pace, &relay, &mut dependent, now);
            due = None;
        }
        if now % FEED_MS == 0 {
            for kind in KINDS {
                relay.mark_complete(kind, revision);
            }
        }
        if now % DIGEST_MS == 0 {
            let (digest, owners) = (dependent.digest(), dependent.owner_revisions());
            let missing = if whole {
                sent.dependent += encoded_len(&Message::Digest(digest));
                let missing = MissingState::new(&relay, &digest, None);
                if let Some((digest, _)) = &missing.delta {
                    dependent.merge_from_peer(0, digest, Vec::new(), Some(&missing.listings));
                }
                missing
            } else {
                let is_reply = false;
                sent.dependent += encoded_len(&Message::OwnersDigest { digest, owners, is_reply });
                synchronize(&mut dependent, &relay)
            };
            for change in missing.changes {
                sent.relay += encoded_len(&Message::OwnersChanged(change)) * dependents;
            }
            if let Some((digest, entries)) = missing.delta {
                sent.relay += encoded_len(&Message::Delta { digest, entries }) * dependents;
            }
        }
    }
    // The last push may still be due.
    synchronize(&mut dependent, &relay);
    assert_same_owners(&dependent, &relay);
    sent
}

/// Guards against owners that take most of what links of 10 Mbit/s carry.
fn compare_bytes(instances: u64, max_relay_kb: u64) {
    let (before, now) = (replay(instances, true), replay(instances, false));
    let per_s = |bytes: u64| bytes * 1_000 / REPLAY_MS;
    println!(
        "{instances} instances, bytes a second: whole rows: relay {}, coordinator {}, dependent {}; \
         changes: relay {}, coordinator {}, dependent {}",
        per_s(before.relay),
        per_s(before.coordinator),
        per_s(before.dependent),
        per_s(now.relay),
        per_s(now.coordinator),
        per_s(now.dependent),
    );
    assert!(now.relay * 20 < before.relay, "{now:?}, {before:?}");
    assert!(now.coordinator * 20 < before.coordinator, "{now:?}, {before:?}");
    assert!(per_s(now.relay) < max_relay_kb * 1_000, "{now:?}");
    assert!(now.dependent < before.dependent * 4, "{now:?}, {before:?}");
}

macro_rules! byte_tests {
    ($($name:ident: $instances:expr, $max_relay_kb:expr;)*) => {$(
        #[test]
        fn $name() {
            compare_bytes($instances, $max_relay_kb);
        }
    )*};
}

byte_tests! {
    owners_at_85_instances: 85, 250;
    owners_at_300_instances: 300, 900;
}
