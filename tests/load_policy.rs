//! The load policies of `mulberryd`: admission, choice among upstreams, retry budget and placement.

use mulberryspur::{
    admission::{Admission, AdmissionQueue, long_request_quota},
    cell::{Assignment, CellRow, Owner},
    load_balancing::{UpstreamLoad, choose_upstream},
    placement::{PlacementInput, place_slots},
    resource::RequestClass::{Long, Short},
    retry_budget::RetryBudget,
};
use proptest::prelude::*;
use rand::{SeedableRng, rngs::SmallRng};
use std::collections::BTreeMap;

#[test]
fn long_requests_leave_capacity_for_short_ones() {
    let mut queue = AdmissionQueue::new(4, 1, 8);
    assert_eq!(queue.try_admit(0, Long, 1_000), Admission::Admitted);
    assert!(matches!(queue.try_admit(0, Long, 1_000), Admission::Queued(_)));
    for _ in 0..4 {
        assert_eq!(queue.try_admit(0, Short, 1_000), Admission::Admitted);
    }
}

#[test]
fn the_earliest_deadline_goes_first() {
    let mut queue = AdmissionQueue::new(1, 1, 8);
    assert_eq!(queue.try_admit(0, Short, 100), Admission::Admitted);
    let Admission::Queued(late) = queue.try_admit(0, Short, 900) else { panic!() };
    let Admission::Queued(early) = queue.try_admit(0, Short, 500) else { panic!() };
    assert_eq!(queue.release(Short, Some(10.0)), vec![early]);
    assert_eq!(queue.release(Short, Some(10.0)), vec![late]);
}

#[test]
fn what_cannot_be_served_in_time_is_rejected_at_once() {
    let mut queue = AdmissionQueue::new(1, 1, 100);
    assert_eq!(queue.try_admit(0, Short, 1_000), Admission::Admitted);
    (0..40).for_each(|_| {
        queue.release(Short, Some(100.0));
        queue.try_admit(0, Short, 1_000);
    });
    let rejected = queue.try_admit(0, Short, 50);
    assert!(
        matches!(rejected, Admission::Rejected { retry_after } if retry_after >= 50),
        "{rejected:?}"
    );
}

#[test]
fn a_full_queue_rejects() {
    let mut queue = AdmissionQueue::new(1, 1, 1);
    queue.try_admit(0, Short, 1_000);
    assert!(matches!(queue.try_admit(0, Short, 1_000), Admission::Queued(_)));
    assert!(matches!(queue.try_admit(0, Short, 1_000), Admission::Rejected { .. }));
}

#[test]
fn abandoning_a_request_frees_the_queue() {
    let mut queue = AdmissionQueue::new(1, 1, 1);
    queue.try_admit(0, Short, 1_000);
    let Admission::Queued(ticket) = queue.try_admit(0, Short, 1_000) else { panic!() };
    assert!(queue.abandon(Short, ticket));
    assert!(queue.release(Short, None).is_empty());
    assert_eq!(queue.try_admit(0, Short, 1_000), Admission::Admitted);
}

#[test]
fn long_request_quotas_add_up_to_the_limit() {
    for instances in 1..20 {
        for upstream in 0..5 {
            let quotas = (0..instances).map(|at| long_request_quota(3, upstream, at, instances));
            assert_eq!(quotas.sum::<usize>(), 3);
        }
    }
}

fn choices_per_upstream(loads: &[UpstreamLoad], now: u64) -> Vec<usize> {
    let mut rng = SmallRng::seed_from_u64(7);
    let loads: Vec<&UpstreamLoad> = loads.iter().collect();
    let mut counts = vec![0; loads.len()];
    (0..1_000).for_each(|_| counts[choose_upstream(&loads, now, 6, &mut rng).unwrap()] += 1);
    counts
}

#[test]
fn a_busy_upstream_gets_less() {
    let mut loads = vec![UpstreamLoad::new(0); 3];
    (0..6).for_each(|_| loads[1].on_start());
    let counts = choices_per_upstream(&loads, 60_000);
    assert!(counts[1] < 50, "{counts:?}");
}

#[test]
fn a_failing_upstream_is_ejected_and_comes_back() {
    let mut loads = vec![UpstreamLoad::new(0); 3];
    (0..3).for_each(|_| loads[0].on_failure(60_000));
    assert_eq!(choices_per_upstream(&loads, 60_001)[0], 0);
    assert!(choices_per_upstream(&loads, 62_000)[0] > 0);
}

#[test]
fn ejection_never_removes_all_upstreams() {
    let mut loads = vec![UpstreamLoad::new(0); 3];
    for l in &mut loads {
        (0..3).for_each(|_| l.on_failure(60_000));
    }
    assert!(choices_per_upstream(&loads, 60_001).iter().all(|c| *c > 0));
}

#[test]
fn a_false_load_report_does_not_attract_all_requests() {
    let mut loads = vec![UpstreamLoad::new(0); 2];
    loads[0].on_response(60_000, 5.0, Some(0));
    loads[1].on_response(60_000, 5.0, Some(3));
    // The first one reports that it is idle, but has requests of this instance in flight.
    (0..6).for_each(|_| loads[0].on_start());
    let counts = choices_per_upstream(&loads, 60_001);
    assert!(counts[1] > counts[0], "{counts:?}");
}

#[test]
fn a_new_upstream_starts_slowly() {
    let loads = [UpstreamLoad::new(0), UpstreamLoad::new(60_000)];
    let counts = choices_per_upstream(&loads, 60_100);
    assert!(counts[1] < 300, "{counts:?}");
}

#[test]
fn retries_are_a_share_of_requests() {
    let mut budget = RetryBudget::new();
    while budget.try_spend() {}
    let mut retries = 0;
    for _ in 0..1_000 {
        budget.on_request();
        retries += u32::from(budget.try_spend());
    }
    assert!((90..=101).contains(&retries), "{retries}");
}

fn owner(n: u64) -> Owner {
    Owner { upstream: format!("u{n}").into(), boot: 1 }
}

fn row(owners: &[u64]) -> CellRow {
    let slots = owners
        .iter()
        .enumerate()
        .map(|(slot, o)| (u32::try_from(slot).unwrap(), Assignment { owner: owner(*o), epoch: 1 }));
    CellRow { slots: slots.collect(), ..CellRow::default() }
}

fn moved(row: &CellRow, wanted: &BTreeMap<u32, Owner>) -> usize {
    wanted.iter().filter(|(s, o)| row.slots.get(s).is_some_and(|a| a.owner != **o)).count()
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: proptest::test_runner::RngSeed::Fixed(4), cases: 500,
        failure_persistence: None, ..ProptestConfig::default()
    })]

    /// Only the slots of a lost owner move, all of them to live owners.
    #[test]
    fn a_loss_moves_only_the_lost_slots(owners in proptest::collection::vec(0_u64..5, 1..200)) {
        let row = row(&owners);
        let live: Vec<Owner> = (1..5).map(owner).collect();
        let slots: Vec<u32> = row.slots.keys().copied().collect();
        let (none_intended, no_pins) = (BTreeMap::new(), BTreeMap::new());
        let input = PlacementInput {
            slots: &slots,
            intended: &none_intended,
            live_owners: &live,
            pinned: &no_pins,
            move_budget: 0,
        };
        let wanted = place_slots(&row, &input);
        prop_assert_eq!(moved(&row, &wanted), owners.iter().filter(|o| **o == 0).count());
        prop_assert!(wanted.values().all(|o| live.contains(o)));
    }

    /// With a large enough move budget, the counts differ by at most one, and there is at most one
    /// move for each owner beyond the least number.
    #[test]
    fn balancing_takes_few_needless_moves(owners in proptest::collection::vec(0_u64..5, 1..200)) {
        let row = row(&owners);
        let live: Vec<Owner> = (0..6).map(owner).collect();
        let slots: Vec<u32> = row.slots.keys().copied().collect();
        let (none_intended, no_pins) = (BTreeMap::new(), BTreeMap::new());
        let input = PlacementInput {
            slots: &slots,
            intended: &none_intended,
            live_owners: &live,
            pinned: &no_pins,
            move_budget: 1_000,
        };
        let wanted = place_slots(&row, &input);
        let counts: Vec<usize> =
            live.iter().map(|o| wanted.values().filter(|w| *w == o).count()).collect();
        let (min, max) = (counts.iter().min().unwrap(), counts.iter().max().unwrap());
        prop_assert!(max - min <= 1, "{:?}", counts);
        let excess = |o: &Owner| {
            let held = row.slots.values().filter(|a| a.owner == *o).count();
            held.saturating_sub(slots.len().div_ceil(live.len()))
        };
        let least: usize = live.iter().map(excess).sum();
        prop_assert!(moved(&row, &wanted) <= least + live.len(), "{} {least}", moved(&row, &wanted));
    }

    /// Moves for balance stay within the budget.
    #[test]
    fn balancing_respects_the_move_budget(owners in proptest::collection::vec(0_u64..2, 1..200),
                                          move_budget in 0_usize..20) {
        let row = row(&owners);
        let live: Vec<Owner> = (0..4).map(owner).collect();
        let slots: Vec<u32> = row.slots.keys().copied().collect();
        let (none_intended, no_pins) = (BTreeMap::new(), BTreeMap::new());
        let input = PlacementInput {
            slots: &slots,
            intended: &none_intended,
            live_owners: &live,
            pinned: &no_pins,
            move_budget,
        };
        prop_assert!(moved(&row, &place_slots(&row, &input)) <= move_budget);
    }
}
