//! Removed entries: what a digest promises holds for every instance, whatever the others know.

use mulberryspur::{
    owner_sync::MissingState,
    routing_config::UpstreamInfo,
    shared_state::{Digest, EntryKind, EntryValue, Listing, SharedState, StateEntry},
};
use rand::{Rng, SeedableRng, rngs::StdRng, seq::IndexedRandom};
use std::{collections::BTreeMap, sync::Arc};

const SEEDS: u64 = 400;
const STEPS: usize = 300;
const INSTANCES: usize = 4;
const UPSTREAMS: u32 = 6;
const KIND: EntryKind = EntryKind::Upstream;

fn entry(key: &str, revision: u64, is_present: bool) -> StateEntry {
    let upstream = |key: &str| UpstreamInfo {
        id: key.into(),
        started: 1,
        service: "s".into(),
        address: ([127, 0, 0, 1], key.as_bytes()[1].into()).into(),
        data_center: "a".into(),
        concurrency: 1,
        leaving: false,
        warmup_ms: 0,
    };
    let value = is_present.then(|| EntryValue::Upstream(Arc::new(upstream(key))));
    StateEntry { kind: KIND, key: key.into(), revision, value }
}

/// The store's rows: the last change of each, and all changes.
#[derive(Debug, Default)]
struct Store {
    revision: u64,
    rows: BTreeMap<String, (u64, bool)>,
    changes: Vec<(String, u64, bool)>,
}

impl Store {
    fn write(&mut self, key: String, is_present: bool) {
        self.revision += 1;
        self.changes.push((key.clone(), self.revision, is_present));
        self.rows.insert(key, (self.revision, is_present));
    }

    fn present(&self) -> Vec<StateEntry> {
        let present = self.rows.iter().filter(|(_, (_, is_present))| *is_present);
        present.map(|(key, (revision, _))| entry(key, *revision, true)).collect()
    }

    fn changed_since(&self, since: u64) -> Vec<StateEntry> {
        let changed = self.rows.iter().filter(|(_, (revision, _))| *revision > since);
        changed.map(|(key, (revision, present))| entry(key, *revision, *present)).collect()
    }

    /// Returns the revision at which a row was there at `revision`, if it was.
    fn present_at(&self, key: &str, revision: u64) -> Option<u64> {
        let mut changes = self.changes.iter().rev();
        let last = changes.find(|(k, r, _)| k == key && *r <= revision)?;
        last.2.then_some(last.1)
    }

    fn is_removed_after(&self, key: &str, revision: u64) -> bool {
        self.changes.iter().any(|(k, r, present)| k == key && *r > revision && !present)
    }
}

#[derive(Debug, Clone)]
enum Message {
    Delta(Digest, Vec<StateEntry>, Option<Vec<Listing>>),
    Push(Vec<StateEntry>),
}

#[derive(Debug, Default)]
struct Instance {
    state: SharedState,
    /// Whether it neither sends listings nor understands them.
    is_earlier_version: bool,
    /// Counts its starts: messages to a process that has ended are lost.
    starts: u32,
}

impl Instance {
    fn reply(&self, theirs: &Digest, takes_listings: bool) -> Message {
        let mut missing = MissingState::new(&self.state, theirs, None);
        let sends_listings = takes_listings && !self.is_earlier_version;
        if !takes_listings {
            missing = missing.without_listings(theirs);
        }
        let (digest, entries) = missing.delta.unwrap_or((*theirs, Vec::new()));
        Message::Delta(digest, entries, sends_listings.then_some(missing.listings))
    }

    fn receive(&mut self, message: Message) {
        match message {
            Message::Delta(digest, entries, listings) => {
                // An earlier version takes each reply for complete.
                let listings = if self.is_earlier_version { Some(Vec::new()) } else { listings };
                self.state.merge_from_peer(0, &digest, entries, listings.as_deref());
            }
            Message::Push(entries) => {
                self.state.merge_from_sender(0, entries);
            }
        }
    }

    fn digest(&self) -> u64 {
        self.state.digest()[KIND as usize]
    }

    /// Checks what the digest promises.
    fn check(&self, store: &Store) -> Result<(), String> {
        let digest = self.digest();
        for key in store.rows.keys() {
            let held = self.state.upstream_revision(&key.as_str().into());
            let stored = store.present_at(key, digest);
            if held.is_some_and(|r| r <= digest) && stored.is_none() {
                return Err(format!("holds {key}, which was removed at or before {digest}"));
            }
            // It may know a later removal.
            if held.is_none() && stored.is_some_and(|r| !store.is_removed_after(key, r)) {
                return Err(format!("lacks {key}, which was there at {digest}"));
            }
        }
        Ok(())
    }
}

/// Plays random steps: upstreams come, write their entries again and go; instances start again, read
/// the store, follow it, and ask each other; messages are delayed, reordered, doubled and lost.
fn play(seed: u64, earlier_versions: usize) -> Result<(), String> {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut store = Store::default();
    let mut instances: Vec<Instance> = (0..INSTANCES).map(|_| Instance::default()).collect();
    instances[..earlier_versions].iter_mut().for_each(|i| i.is_earlier_version = true);
    let mut in_transit: Vec<(usize, u32, Message)> = Vec::new();
    for step in 0..STEPS {
        let (from, to) = (rng.random_range(0..INSTANCES), rng.random_range(0..INSTANCES));
        let key = format!("u{}", rng.random_range(0..UPSTREAMS));
        match rng.random_range(0..20) {
            0..4 => store.write(key, true),
            4..6 if store.rows.get(&key).is_some_and(|(_, present)| *present) => {
                store.write(key, false);
            }
            6 => {
                let instance = &mut instances[to];
                (instance.state, instance.starts) = (SharedState::default(), instance.starts + 1);
            }
            7 => {
                let (revision, listed) = (store.revision, store.present());
                instances[to].state.replace_kind(0, KIND, revision, listed);
            }
            8..11 if instances[to].digest() > 0 => {
                let state = &mut instances[to].state;
                state.merge(0, store.changed_since(state.digest()[KIND as usize]));
                state.mark_complete(KIND, store.revision);
            }
            11..14 if from != to => {
                let asking = &instances[to];
                let (digest, takes) = (asking.state.digest(), !asking.is_earlier_version);
                let reply = instances[from].reply(&digest, takes);
                in_transit.push((to, instances[to].starts, reply));
            }
            14 => {
                let push = Message::Push(instances[from].state.take_changes());
                in_transit.push((to, instances[to].starts, push));
            }
            15 => drop(in_transit.pop()),
            _ => {
                if let Some((to, starts, message)) = in_transit.choose(&mut rng).cloned()
                    && instances[to].starts == starts
                {
                    instances[to].receive(message);
                }
            }
        }
        for (n, instance) in instances.iter().enumerate().filter(|(_, i)| !i.is_earlier_version) {
            instance
                .check(&store)
                .map_err(|e| format!("seed {seed}, step {step}, instance {n} {e}"))?;
        }
    }
    Ok(())
}

macro_rules! removal_tests {
    ($($name:ident: $earlier_versions:expr;)*) => {$(
        /// Guards against an entry that is held for good, as its removal was not known to the instance
        /// that told of everything up to a later revision.
        #[test]
        fn $name() {
            let failed: Vec<String> = (0..SEEDS).filter_map(|s| play(s, $earlier_versions).err()).collect();
            assert!(failed.is_empty(), "{} seeds, first: {}", failed.len(), failed[0]);
        }
    )*};
}

removal_tests! {
    removed_entry_is_held: 0;
    removed_entry_is_held_beside_an_earlier_version: 1;
    removed_entry_is_held_beside_earlier_versions: 3;
}

/// Guards against an instance of an earlier version that counts as complete after a reply from one that
/// has just read the store, and then never asks for the removal.
#[test]
fn earlier_version_counts_as_complete_without_the_removals() {
    let mut relay = SharedState::default();
    relay.replace_kind(0, KIND, 9, vec![entry("u1", 8, true)]);
    let theirs = [0, 5, 0, 0, 0];
    let missing = MissingState::new(&relay, &theirs, None).without_listings(&theirs);
    assert!(missing.listings.is_empty());
    assert_eq!(missing.delta.map(|(digest, entries)| (digest, entries.len())), Some((theirs, 1)));
}

/// Guards against listings that cost more than the entries whose removal they tell: at 300 instances, a
/// relay that has started again sends one to each of 99 dependents.
#[test]
fn listing_is_small() {
    let id = |n: u32| format!("i-{n:08x}");
    let mut relay = SharedState::default();
    relay.replace_kind(
        0,
        KIND,
        1 << 40,
        (0..1_000).map(|n| entry(&id(n), 1 << 39, true)).collect(),
    );
    let mut bytes = Vec::new();
    ciborium::into_writer(&relay.listings_for(&[0; 5]), &mut bytes).expect("encode");
    assert!(bytes.len() <= 12_000, "{} bytes for 1,000 upstreams", bytes.len());
}
