//! Exhaustive check, within bounds, that a slot is never served by two upstreams at once.
//!
//! Each scenario allows some kinds of failure. Messages are delayed, reordered and lost in all of
//! them, and every process may pause at any point. Each deliberate mistake must be found.

mod search;
mod shared;
mod state;

use mulberryspur::grant::Timing;
use search::{Report, search};
use state::{Bounds, InjectedBug, ModelState};
use std::sync::{Mutex, PoisonError};

/// Bound on the states of one scenario; all are meant to end below it.
const MAX_STATES: usize = 3_000_000;

static ONE: Mutex<()> = Mutex::new(());

const TIMING: Timing =
    Timing { lease_ms: 3, promise_ms: 2, outage_promise_ms: 4, renew_ms: 1, drift_ppm: 0 };

const NOTHING: Bounds = Bounds {
    max_clock: 8,
    max_in_flight: 2,
    moves: 0,
    lost_answers: 0,
    restarts: 0,
    unlisted_takeovers: 0,
    platform_changes: 0,
    hand_overs: 0,
    partition_changes: 0,
    new_controller_moves: false,
    late_replies: false,
    entries_enforce: false,
    late_promises: false,
};

/// One set of failures to explore.
#[derive(Clone, Copy)]
struct Scenario {
    timing: Timing,
    bounds: Bounds,
    /// Instances, and how many of them the row lists as standbys.
    instances: usize,
    listed: usize,
}

const MOVE: Scenario = Scenario {
    timing: Timing { lease_ms: 2, ..TIMING },
    bounds: Bounds { moves: 2, late_replies: true, max_clock: 5, ..NOTHING },
    instances: 1,
    listed: 0,
};
const TAKEOVER: Scenario = Scenario {
    timing: TIMING,
    bounds: Bounds { new_controller_moves: true, partition_changes: 1, ..NOTHING },
    instances: 2,
    listed: 1,
};
const LOST_ANSWER: Scenario = Scenario {
    timing: TIMING,
    bounds: Bounds { new_controller_moves: true, lost_answers: 1, ..NOTHING },
    instances: 2,
    listed: 1,
};
/// Promises that last long enough for the controller to renew its grants under them.
const RENEWING: Scenario = Scenario {
    timing: Timing { promise_ms: 3, ..TIMING },
    bounds: Bounds { new_controller_moves: true, partition_changes: 1, lost_answers: 1, ..NOTHING },
    instances: 2,
    listed: 1,
};
const LOST_MOVE: Scenario = Scenario {
    timing: TIMING,
    bounds: Bounds { moves: 2, lost_answers: 1, max_clock: 4, ..NOTHING },
    instances: 2,
    listed: 1,
};
const LATE_PROMISES: Scenario = Scenario {
    timing: TIMING,
    bounds: Bounds { new_controller_moves: true, late_promises: true, ..NOTHING },
    instances: 2,
    listed: 1,
};
const VERY_LATE_PROMISES: Scenario = Scenario {
    timing: Timing { lease_ms: 1, promise_ms: 3, ..TIMING },
    bounds: Bounds { new_controller_moves: true, late_promises: true, max_clock: 7, ..NOTHING },
    instances: 2,
    listed: 1,
};
const OUTAGE: Scenario = Scenario {
    timing: Timing { lease_ms: 1, ..TIMING },
    bounds: Bounds {
        new_controller_moves: true,
        late_promises: true,
        platform_changes: 2,
        max_clock: 5,
        ..NOTHING
    },
    instances: 2,
    listed: 1,
};
const RESTART: Scenario = Scenario {
    timing: TIMING,
    bounds: Bounds { restarts: 2, max_clock: 7, ..NOTHING },
    instances: 1,
    listed: 0,
};
const OUTSIDER: Scenario = Scenario {
    timing: TIMING,
    bounds: Bounds { unlisted_takeovers: 1, new_controller_moves: true, max_clock: 5, ..NOTHING },
    instances: 2,
    listed: 0,
};
const HAND_OVER: Scenario = Scenario {
    timing: TIMING,
    bounds: Bounds { hand_overs: 1, new_controller_moves: true, max_clock: 7, ..NOTHING },
    instances: 2,
    listed: 1,
};
const TWO_STANDBYS: Scenario = Scenario {
    timing: Timing { lease_ms: 1, ..TIMING },
    bounds: Bounds { new_controller_moves: true, max_clock: 6, ..NOTHING },
    instances: 3,
    listed: 2,
};
const ENTRIES: Scenario = Scenario {
    timing: TIMING,
    bounds: Bounds { new_controller_moves: true, entries_enforce: true, max_clock: 6, ..NOTHING },
    instances: 2,
    listed: 1,
};

fn explore(name: &str, s: &Scenario, fault: InjectedBug) -> Report {
    // One search at a time: each uses all cores and much memory.
    let _one = ONE.lock().unwrap_or_else(PoisonError::into_inner);
    let start = ModelState::new(s.timing, s.bounds, fault, s.instances, s.listed);
    let report = search(&start, MAX_STATES);
    let (states, depth, exhausted) = (report.states, report.depth, report.exhausted);
    println!("{name}: {states} states, depth {depth}, exhausted {exhausted}");
    report
}

macro_rules! holds {
    ($($name:ident: $scenario:expr;)*) => {
        $(#[test] fn $name() {
            let report = explore(stringify!($name), &$scenario, InjectedBug::None);
            assert!(report.counterexample.is_none(), "{:#?}", report.counterexample);
            assert!(report.exhausted, "not explored to the end");
        })*
    };
}

holds! {
    move_holds: MOVE;
    takeover_holds: TAKEOVER;
    lost_answer_holds: LOST_ANSWER;
    lost_move_holds: LOST_MOVE;
    renewing_holds: RENEWING;
    late_promises_hold: LATE_PROMISES;
    very_late_promises_hold: VERY_LATE_PROMISES;
    outage_holds: OUTAGE;
    restart_holds: RESTART;
    outsider_holds: OUTSIDER;
    hand_over_holds: HAND_OVER;
    two_standbys_hold: TWO_STANDBYS;
    entries_hold: ENTRIES;
}

macro_rules! found {
    ($($name:ident: $scenario:expr, $fault:ident;)*) => {
        $(#[test] fn $name() {
            let report = explore(stringify!($name), &$scenario, InjectedBug::$fault);
            let found = report.counterexample.expect("a counterexample");
            println!("{found:?}");
        })*
    };
}

found! {
    no_wait_before_move: MOVE, NoWaitBeforeMove;
    guess_after_lost_answer: LOST_MOVE, GuessAfterLostAnswer;
    grant_before_commit: LOST_MOVE, GrantBeforeCommit;
    expiry_from_receipt: MOVE, ExpiryFromReceipt;
    no_wait_at_takeover: TAKEOVER, NoWaitAtTakeover;
    older_term_accepted: OUTSIDER, OlderTermAccepted;
    promise_from_reply: VERY_LATE_PROMISES, PromiseFromReply;
    promise_during_takeover: RENEWING, PromiseDuringTakeover;
}
