//! The coordinator's lease: it is valid for at most one instance at a time, on clocks that only
//! measure durations.

use mulberryspur::{
    lease::{
        self, Lease, LeaseRow, MIN_READ_INTERVAL_MS, RENEW_INTERVAL_MS, TAKEOVER_WAIT_MS,
        VALIDITY_MS,
    },
    revision,
};
use proptest::prelude::*;

fn first_row(lease: &mut Lease) -> LeaseRow {
    lease.next_row(0)
}

/// The store with the lease's row, three instances, and their pending writes.
struct Simulation {
    leases: Vec<Lease>,
    row: Option<LeaseRow>,
    revision: u64,
    /// Pending writes: instance, when sent, row, expected revision.
    writes: Vec<(usize, u64, LeaseRow, u64)>,
    /// Earlier rows and their revisions, which the store may go back to.
    history: Vec<(Option<LeaseRow>, u64)>,
    now: u64,
}

impl Simulation {
    fn new() -> Self {
        let leases = (0..3).map(|n| Lease::new(format!("e{n}"), 100 + n)).collect();
        Self { leases, row: None, revision: 0, writes: Vec::new(), history: Vec::new(), now: 1_000 }
    }

    fn read_row(&mut self, n: usize) {
        let current = self.row.clone();
        if let Some(expect) = self.leases[n].on_read(self.now, current.as_ref(), self.revision) {
            self.write(n, expect);
        }
    }

    fn write(&mut self, n: usize, expect: u64) {
        let row = self.leases[n].next_row(expect);
        self.writes.push((n, self.now, row, expect));
    }

    /// Executes the oldest pending write; its answer arrives or is lost.
    fn execute_oldest_write(&mut self, answered: bool) {
        if self.writes.is_empty() {
            return;
        }
        let (n, sent, row, expect) = self.writes.remove(0);
        // The store compares numbers only; an answer from a later generation proves nothing.
        if revision::number(expect) == revision::number(self.revision) {
            let is_proof = revision::generation(expect) == revision::generation(self.revision);
            self.history.push((self.row.take(), self.revision));
            self.revision += 1;
            self.row = Some(row);
            if answered && is_proof {
                self.leases[n].on_written(sent, self.revision);
            }
        }
    }

    /// Goes back by some writes; the revisions that they had are given out again.
    fn restore(&mut self, writes: usize) {
        let index = self.history.len().saturating_sub(writes);
        let generation = revision::generation(self.revision) + 1;
        if let Some((row, revision)) = self.history.drain(index..).next() {
            (self.row, self.revision) =
                (row, revision::new(generation, revision::number(revision)));
        }
    }

    fn assert_valid_for_at_most_one(&self) {
        let holders: Vec<usize> = (0..3).filter(|n| self.leases[*n].is_valid(self.now)).collect();
        assert!(holders.len() <= 1, "lease is valid for instances {holders:?} at {}", self.now);
    }
}

#[derive(Debug, Clone)]
enum Step {
    Wait(u64),
    ReadRow(usize),
    Renew(usize),
    ExecuteWrite(bool),
    Restore(usize),
    /// An instance learns of the store's revision.
    Notice(usize),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        3 => (1u64..1_500).prop_map(Step::Wait),
        4 => (0usize..3).prop_map(Step::ReadRow),
        3 => (0usize..3).prop_map(Step::Renew),
        4 => any::<bool>().prop_map(Step::ExecuteWrite),
    ]
}

fn step_with_restores() -> impl Strategy<Value = Step> {
    prop_oneof![
        9 => step(),
        1 => (1usize..4).prop_map(Step::Restore),
        2 => (0usize..3).prop_map(Step::Notice),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 4_000, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn lease_is_valid_for_one_instance_at_a_time(steps in prop::collection::vec(step(), 1..60)) {
        run(steps);
    }

    #[test]
    fn lease_has_two_holders_after_the_store_is_restored(
        steps in prop::collection::vec(step_with_restores(), 1..60)
    ) {
        run(steps);
    }
}

/// Runs the steps, and checks after each that at most one instance holds the lease.
fn run(steps: Vec<Step>) {
    let mut sim = Simulation::new();
    for s in steps {
        match s {
            Step::Wait(ms) => sim.now += ms,
            Step::ReadRow(n) => sim.read_row(n),
            Step::Renew(n) => {
                if let Some(revision) = sim.leases[n].held_revision() {
                    sim.write(n, revision);
                }
            }
            Step::ExecuteWrite(answered) => sim.execute_oldest_write(answered),
            Step::Restore(writes) => sim.restore(writes),
            Step::Notice(n) => {
                let (now, revision) = (sim.now, sim.revision);
                sim.leases[n].on_store_revision(now, revision);
            }
        }
        sim.assert_valid_for_at_most_one();
    }
}

#[test]
fn free_lease_is_taken_at_once() {
    let mut lease = Lease::new("e0", 1);
    assert_eq!(lease.on_read(10, None, 0), Some(0));
    lease.on_written(10, 5);
    assert!(lease.is_valid(10 + VALIDITY_MS - 1));
    assert!(!lease.is_valid(10 + VALIDITY_MS));
}

#[test]
fn held_lease_is_taken_after_watching_it_unchanged() {
    let mut holder = Lease::new("e0", 1);
    let held = first_row(&mut holder);
    let mut other = Lease::new("e1", 2);
    assert_eq!(other.on_read(100, Some(&held), 5), None);
    assert_eq!(other.on_read(100 + TAKEOVER_WAIT_MS - 1, Some(&held), 5), None);
    assert_eq!(other.on_read(200, Some(&held), 6), None, "a renewal restarts the wait");
    assert_eq!(other.on_read(200 + TAKEOVER_WAIT_MS, Some(&held), 6), Some(6));
}

#[test]
fn restarted_holder_takes_its_lease_at_once() {
    let mut before = Lease::new("e0", 1);
    let held = first_row(&mut before);
    let mut after = Lease::new("e0", 2);
    assert_eq!(after.on_read(100, Some(&held), 5), Some(5));
}

/// In a restored store, a row that is free or was this instance's own may be older than a lease that
/// another instance holds.
#[test]
fn restored_lease_is_taken_after_the_whole_wait() {
    let mut before = Lease::new("e0", 1);
    let (own, free) = (before.next_row(0), before.resignation_row(0, None));
    for row in [Some(&own), Some(&free), None] {
        let mut lease = Lease::new("e0", 2);
        lease.on_read(0, Some(&own), 5);
        let restored = revision::new(1, 4);
        assert_eq!(lease.on_read(100, row, restored), None);
        assert_eq!(lease.on_read(100 + TAKEOVER_WAIT_MS, row, restored), Some(restored));
    }
}

/// The wait counts from when an instance learned of the restore, not from its first read of the row,
/// unless the row was written in between, as by a renewal that was sent before the restore.
#[test]
fn wait_for_a_restored_lease_begins_with_the_restore() {
    let mut lease = Lease::new("e0", 2);
    let row = first_row(&mut Lease::new("e1", 1));
    lease.on_store_revision(100, revision::new(1, 9));
    let restored = revision::new(1, 4);
    let mut other = lease.clone();
    assert_eq!(lease.on_read(1_000, Some(&row), restored), None);
    assert!(lease.read_delay(1_000) <= (100 + TAKEOVER_WAIT_MS - 1_000) / 2);
    assert_eq!(lease.on_read(100 + TAKEOVER_WAIT_MS, Some(&row), restored), Some(restored));
    let written_later = revision::new(1, 10);
    assert_eq!(other.on_read(1_000, Some(&row), written_later), None);
    assert_eq!(other.on_read(100 + TAKEOVER_WAIT_MS, Some(&row), written_later), None);
}

/// A holder whose lease is valid goes on in a restored store, and one whose lease has ended waits.
#[test]
fn holder_goes_on_in_a_restored_store_while_its_lease_is_valid() {
    let mut holder = Lease::new("e0", 1);
    let mut other = Lease::new("e1", 2);
    let row = other.next_row(0);
    holder.on_written(0, 9);
    let restored = revision::new(1, 4);
    assert_eq!(holder.on_read(VALIDITY_MS - 1, Some(&row), restored), None);
    assert_eq!(holder.held_revision(), Some(restored));
    assert_eq!(holder.on_read(VALIDITY_MS, Some(&row), restored), None);
    assert_eq!(holder.held_revision(), None);
}

#[test]
fn lease_given_back_is_taken_at_once() {
    let mut holder = Lease::new("e0", 1);
    holder.on_written(0, 4);
    let given_back = holder.resignation_row(4, None);
    let mut other = Lease::new("e1", 2);
    assert_eq!(other.on_read(100, Some(&given_back), 5), Some(5));
}

/// Many instances cannot hear from the coordinator, which renews its lease all the same: each reads
/// the row about once a second, and none takes the lease.
#[test]
fn live_lease_is_read_rarely() {
    let mut holder = Lease::new("e0", 1);
    let mut watcher = Lease::new("e1", 2);
    let (mut row, mut revision, mut reads, mut next_read) = (holder.next_row(0), 1, 0, 0);
    for now in 0..20_000 {
        if now % RENEW_INTERVAL_MS == 0 {
            row = holder.next_row(0);
            revision += 1;
        }
        if now >= next_read {
            reads += 1;
            assert_eq!(watcher.on_read(now, Some(&row), revision), None);
            next_read = now + watcher.read_delay(now);
        }
    }
    assert!(reads <= 20, "{reads} reads in 20 s");
}

/// A lease that is no longer renewed is taken over within one read interval of the earliest time.
#[test]
fn lapsed_lease_is_taken_over_in_time() {
    let mut holder = Lease::new("e0", 1);
    let mut watcher = Lease::new("e1", 2);
    let row = holder.next_row(0);
    let mut next_read = 0;
    let taken_at = (0..10_000).find(|now| {
        if *now < next_read {
            return false;
        }
        let takeover = watcher.on_read(*now, Some(&row), 1);
        next_read = now + watcher.read_delay(*now);
        takeover.is_some()
    });
    let latest = TAKEOVER_WAIT_MS + MIN_READ_INTERVAL_MS;
    assert!(taken_at.is_some_and(|t| t <= latest), "{taken_at:?}");
}

/// Hundreds of instances read the lease while the store is away for eight seconds: a tenth of the
/// calls that reads every 300 ms would make, and some instance still tries three times a second.
#[test]
fn failed_reads_hardly_grow_with_instances() {
    let calls = |rank: u64| {
        let (mut at, mut failed) = (0, 0);
        while at < 8_000 {
            at += lease::failed_read_delay(failed, rank);
            failed += 1;
        }
        failed
    };
    let total: u32 = (0..195).map(calls).sum();
    assert!(total <= 195 * 8_000 / 300 / 4, "{total} calls");
    assert!(calls(0) >= 24, "{} calls", calls(0));
}
