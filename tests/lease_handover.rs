//! A small coordinator hands the lease over to a larger instance that reaches the store, and the
//! lease does not go back and forth.

use mulberryspur::lease_handover::{self, LeaseHandover, Step, may_offer};
use proptest::prelude::*;

const LARGE: f64 = 0.5;
const SMALL: f64 = 0.1;

#[test]
fn small_coordinator_keeps_the_lease() {
    let mut handover = LeaseHandover::default();
    assert!(handover.on_offer(9_000, SMALL, LARGE));
    assert_eq!(handover.next_step(9_000, 5_000, false), Step::Keep);
    assert!(handover.on_offer(10_000, SMALL, LARGE));
    assert_eq!(handover.next_step(10_000, 5_000, false), Step::Renew);
    assert_eq!(handover.next_step(10_400, 5_000, false), Step::Wait);
    assert_eq!(handover.next_step(10_500, 5_000, false), Step::GiveBack);
}

#[test]
fn coordinator_that_is_behind_waits_as_long() {
    let mut handover = LeaseHandover::default();
    handover.on_offer(6_000, SMALL, LARGE);
    assert_eq!(handover.next_step(6_000, 5_000, true), Step::Renew);
}

/// An instance that has ended since its offer does not take the lease.
#[test]
fn lease_is_handed_over_after_an_old_offer() {
    let mut handover = LeaseHandover::default();
    handover.on_offer(6_000, SMALL, LARGE);
    assert_eq!(handover.next_step(10_000, 5_000, false), Step::Keep);
}

#[test]
fn lease_is_handed_over_to_an_instance_that_is_not_larger() {
    let mut handover = LeaseHandover::default();
    for (own, other) in [(LARGE, LARGE), (LARGE, SMALL), (SMALL, 0.12), (SMALL, 0.0), (0.0, LARGE)]
    {
        assert!(!handover.on_offer(6_000, own, other), "{own} {other}");
        assert!(!may_offer(other, own, 0), "{own} {other}");
    }
    assert_eq!(handover.next_step(20_000, 0, true), Step::Keep);
}

/// Four instances, of which some are alive and reach the store.
#[derive(Debug)]
struct Simulation {
    now: u64,
    able: [bool; 4],
    /// None while nobody can take the lease.
    holder: Option<usize>,
    since: u64,
    handover: LeaseHandover,
    offered_at: [u64; 4],
    abstains_until: [u64; 4],
}

const CORES: [f64; 4] = [0.5, 0.25, 0.1, 0.1];

impl Simulation {
    /// The largest able instance that does not abstain takes the lease.
    fn take(&mut self) {
        let may_take = |n: &usize| self.able[*n] && self.now >= self.abstains_until[*n];
        (self.holder, self.since) = ((0..4).find(may_take), self.now);
        self.handover = LeaseHandover::default();
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 1_000, failure_persistence: None, ..ProptestConfig::default() })]

    /// Each change of which instances are able leads to at most two hand-overs, each to a larger one.
    #[test]
    fn lease_goes_back_and_forth(
        steps in prop::collection::vec((0usize..4, any::<bool>(), 100u64..20_000, any::<bool>()), 1..12),
    ) {
        let mut sim = Simulation {
            now: 10_000,
            able: [true; 4],
            holder: Some(3),
            since: 10_000,
            handover: LeaseHandover::default(),
            offered_at: [0; 4],
            abstains_until: [0; 4],
        };
        for (changed, able, wait, is_behind) in steps {
            sim.able[changed] = able;
            let (until, mut handed_over) = (sim.now + wait, 0);
            while sim.now < until {
                sim.now += 40;
                let Some(holder) = sim.holder.filter(|n| sim.able[*n]) else {
                    sim.take();
                    continue;
                };
                for n in (0..4).filter(|n| *n != holder) {
                    let due = lease_handover::is_offer_due(sim.now, sim.offered_at[n]);
                    let abstains = sim.now < sim.abstains_until[n];
                    if due && !abstains && sim.able[n] && may_offer(CORES[n], CORES[holder], 0) {
                        sim.offered_at[n] = sim.now;
                        sim.handover.on_offer(sim.now, CORES[holder], CORES[n]);
                    }
                }
                if sim.handover.next_step(sim.now, sim.since, is_behind) == Step::GiveBack {
                    sim.abstains_until[holder] = sim.now + lease_handover::ABSTENTION_MS;
                    sim.take();
                    let larger_able = (0..4).any(|n| sim.able[n] && CORES[n] > CORES[holder]);
                    let is_larger = sim.holder.is_some_and(|n| CORES[n] > CORES[holder]);
                    prop_assert!(!larger_able || is_larger);
                    handed_over += 1;
                }
            }
            prop_assert!(handed_over <= 2, "{} hand-overs", handed_over);
        }
        // In the end, the largest able instance has the lease.
        for _ in 0..1_000 {
            sim.now += 40;
            let Some(holder) = sim.holder.filter(|n| sim.able[*n]) else {
                sim.take();
                continue;
            };
            for n in (0..4).filter(|n| sim.able[*n] && CORES[*n] > CORES[holder]) {
                sim.handover.on_offer(sim.now, CORES[holder], CORES[n]);
            }
            if sim.handover.next_step(sim.now, sim.since, false) == Step::GiveBack {
                sim.take();
            }
        }
        let largest = (0..4).filter(|n| sim.able[*n]).map(|n| CORES[n]).fold(0.0, f64::max);
        prop_assert!(largest == 0.0 || sim.holder.is_some_and(|n| CORES[n] >= largest));
    }
}
