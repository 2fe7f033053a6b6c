//! The lease: one holder acts at a time, on clocks that only measure spans.

use mulberryspur::lease::{Lease, LeaseRow, TAKEOVER_WAIT_MS, VALIDITY_MS};
use proptest::prelude::*;

fn row(lease: &mut Lease) -> LeaseRow {
    lease.next_row()
}

/// The store, and what each instance has sent and not yet heard of.
struct World {
    leases: Vec<Lease>,
    row: Option<LeaseRow>,
    revision: u64,
    /// Writes on their way: instance, when sent, row, expected revision.
    writes: Vec<(usize, u64, LeaseRow, u64)>,
    now: u64,
}

impl World {
    fn new() -> Self {
        let leases = (0..3).map(|n| Lease::new(format!("e{n}"), 100 + n)).collect();
        Self { leases, row: None, revision: 0, writes: Vec::new(), now: 1_000 }
    }

    fn look(&mut self, n: usize) {
        let current = self.row.clone();
        let seen = current.as_ref().map(|r| (r, self.revision));
        if let Some(expect) = self.leases[n].on_read(self.now, seen) {
            self.write(n, expect);
        }
    }

    fn write(&mut self, n: usize, expect: u64) {
        let row = self.leases[n].next_row();
        self.writes.push((n, self.now, row, expect));
    }

    /// Carries out the oldest write; its answer arrives or is lost.
    fn carry_out(&mut self, answered: bool) {
        if self.writes.is_empty() {
            return;
        }
        let (n, sent, row, expect) = self.writes.remove(0);
        if expect == self.revision {
            self.revision += 1;
            self.row = Some(row);
            if answered {
                self.leases[n].on_written(sent, self.revision);
            }
        }
    }

    fn check(&self) {
        let acting: Vec<usize> = (0..3).filter(|n| self.leases[*n].is_valid(self.now)).collect();
        assert!(acting.len() <= 1, "{acting:?} act at {}", self.now);
    }
}

#[derive(Debug, Clone)]
enum Step {
    Wait(u64),
    Look(usize),
    Renew(usize),
    CarryOut(bool),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        3 => (1u64..1_500).prop_map(Step::Wait),
        4 => (0usize..3).prop_map(Step::Look),
        3 => (0usize..3).prop_map(Step::Renew),
        4 => any::<bool>().prop_map(Step::CarryOut),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 4_000, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn one_holder_acts_at_a_time(steps in prop::collection::vec(step(), 1..60)) {
        let mut world = World::new();
        for s in steps {
            match s {
                Step::Wait(ms) => world.now += ms,
                Step::Look(n) => world.look(n),
                Step::Renew(n) => {
                    if let Some(revision) = world.leases[n].held_revision() {
                        world.write(n, revision);
                    }
                }
                Step::CarryOut(answered) => world.carry_out(answered),
            }
            world.check();
        }
    }
}

#[test]
fn free_lease_is_taken_at_once() {
    let mut lease = Lease::new("e0", 1);
    assert_eq!(lease.on_read(10, None), Some(0));
    lease.on_written(10, 5);
    assert!(lease.is_valid(10 + VALIDITY_MS - 1));
    assert!(!lease.is_valid(10 + VALIDITY_MS));
}

#[test]
fn held_lease_is_taken_after_watching_it_unchanged() {
    let mut holder = Lease::new("e0", 1);
    let held = row(&mut holder);
    let mut other = Lease::new("e1", 2);
    assert_eq!(other.on_read(100, Some((&held, 5))), None);
    assert_eq!(other.on_read(100 + TAKEOVER_WAIT_MS - 1, Some((&held, 5))), None);
    assert_eq!(other.on_read(200, Some((&held, 6))), None, "a renewal starts the watch anew");
    assert_eq!(other.on_read(200 + TAKEOVER_WAIT_MS, Some((&held, 6))), Some(6));
}

#[test]
fn restarted_holder_takes_its_lease_at_once() {
    let mut before = Lease::new("e0", 1);
    let held = row(&mut before);
    let mut after = Lease::new("e0", 2);
    assert_eq!(after.on_read(100, Some((&held, 5))), Some(5));
}

#[test]
fn lease_given_back_is_taken_at_once() {
    let mut holder = Lease::new("e0", 1);
    holder.on_written(0, 4);
    let given_back = holder.resignation_row();
    let mut other = Lease::new("e1", 2);
    assert_eq!(other.on_read(100, Some((&given_back, 5))), Some(5));
}
