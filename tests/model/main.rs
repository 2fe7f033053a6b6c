//! Exhaustive check, within bounds, that no two upstreams ever serve a slot at once.

mod search;
mod world;

use mulberryspur::grant::Timing;
use search::search;
use world::{Budget, Fault, World};

const TIMING: Timing =
    Timing { lease_ms: 2, promise_ms: 2, outage_promise_ms: 4, renew_ms: 1, drift_ppm: 0 };

const BUDGET: Budget = Budget {
    horizon: 7,
    in_flight: 2,
    moves: 1,
    lost_answers: 0,
    restarts: 0,
    outsiders: 0,
    outages: 0,
    hand_overs: 0,
    cuts: 1,
    late_replies: false,
    late_promises: false,
};

const MAX_STATES: usize = 12_000_000;

fn check(name: &str, world: &World, max_states: usize) {
    let report = search(world, max_states);
    println!(
        "{name}: {} states, depth {}, exhausted {}",
        report.states, report.depth, report.exhausted
    );
    assert!(report.counterexample.is_none(), "{name}: {:#?}", report.counterexample);
}

#[test]
fn listed_takeover_and_move() {
    let world = World::new(TIMING, BUDGET, Fault::None, 2, 1);
    check("listed", &world, MAX_STATES);
}
