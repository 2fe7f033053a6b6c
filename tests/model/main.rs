//! Model check of the ownership protocol (mulberryd): within bounds, all reachable states are
//! searched for one in which two owners serve a slot.
//!
//! Each scenario allows some kinds of failure. In all of them, messages may be delayed, reordered
//! and lost, and every process may pause at any point. Each injected bug must be found.

mod hashed_arc;
mod search;
mod state;

use mulberryspur::grant::Timing;
use search::{Report, search};
use state::{Bounds, InjectedBug, ModelState};
use std::sync::{Mutex, PoisonError};

/// Bound on the states of one scenario; every search without a bug ends below it.
const MAX_STATES: usize = 3_000_000;

static SEARCH_LOCK: Mutex<()> = Mutex::new(());

const BASE_TIMING: Timing =
    Timing { lease_ms: 3, promise_ms: 2, outage_promise_ms: 4, renew_ms: 1, drift_ppm: 0 };

const BASE_BOUNDS: Bounds = Bounds {
    max_clock: 8,
    max_in_flight: 2,
    owner_changes: 0,
    lost_write_results: 0,
    restarts: 0,
    unlisted_takeovers: 0,
    platform_changes: 0,
    hand_overs: 0,
    partition_changes: 0,
    new_controller_changes_owner: false,
    late_replies: false,
    entry_instances_enforce: false,
    late_promises: false,
};

/// One set of failures to explore.
#[derive(Clone, Copy)]
struct Scenario {
    timing: Timing,
    bounds: Bounds,
    /// Number of instances, and how many of them the row lists as standbys.
    instances: usize,
    listed_standbys: usize,
}

const OWNER_CHANGE: Scenario = Scenario {
    timing: Timing { lease_ms: 2, ..BASE_TIMING },
    bounds: Bounds { owner_changes: 2, late_replies: true, max_clock: 5, ..BASE_BOUNDS },
    instances: 1,
    listed_standbys: 0,
};
const TAKEOVER: Scenario = Scenario {
    timing: BASE_TIMING,
    bounds: Bounds { new_controller_changes_owner: true, partition_changes: 1, ..BASE_BOUNDS },
    instances: 2,
    listed_standbys: 1,
};
const LOST_WRITE_RESULT: Scenario = Scenario {
    timing: BASE_TIMING,
    bounds: Bounds { new_controller_changes_owner: true, lost_write_results: 1, ..BASE_BOUNDS },
    instances: 2,
    listed_standbys: 1,
};
/// Promises that last long enough for the controller to renew its grants under them.
const RENEWAL: Scenario = Scenario {
    timing: Timing { promise_ms: 3, ..BASE_TIMING },
    bounds: Bounds {
        new_controller_changes_owner: true,
        partition_changes: 1,
        lost_write_results: 1,
        ..BASE_BOUNDS
    },
    instances: 2,
    listed_standbys: 1,
};
const OWNER_CHANGE_LOST_RESULT: Scenario = Scenario {
    timing: BASE_TIMING,
    bounds: Bounds { owner_changes: 2, lost_write_results: 1, max_clock: 4, ..BASE_BOUNDS },
    instances: 2,
    listed_standbys: 1,
};
const LATE_PROMISES: Scenario = Scenario {
    timing: BASE_TIMING,
    bounds: Bounds { new_controller_changes_owner: true, late_promises: true, ..BASE_BOUNDS },
    instances: 2,
    listed_standbys: 1,
};
const VERY_LATE_PROMISES: Scenario = Scenario {
    timing: Timing { lease_ms: 1, promise_ms: 3, ..BASE_TIMING },
    bounds: Bounds {
        new_controller_changes_owner: true,
        late_promises: true,
        max_clock: 7,
        ..BASE_BOUNDS
    },
    instances: 2,
    listed_standbys: 1,
};
const PLATFORM_OUTAGE: Scenario = Scenario {
    timing: Timing { lease_ms: 1, ..BASE_TIMING },
    bounds: Bounds {
        new_controller_changes_owner: true,
        late_promises: true,
        platform_changes: 2,
        max_clock: 5,
        ..BASE_BOUNDS
    },
    instances: 2,
    listed_standbys: 1,
};
const UPSTREAM_RESTART: Scenario = Scenario {
    timing: BASE_TIMING,
    bounds: Bounds { restarts: 2, max_clock: 7, ..BASE_BOUNDS },
    instances: 1,
    listed_standbys: 0,
};
const UNLISTED_TAKEOVER: Scenario = Scenario {
    timing: BASE_TIMING,
    bounds: Bounds {
        unlisted_takeovers: 1,
        new_controller_changes_owner: true,
        max_clock: 5,
        ..BASE_BOUNDS
    },
    instances: 2,
    listed_standbys: 0,
};
const HAND_OVER: Scenario = Scenario {
    timing: BASE_TIMING,
    bounds: Bounds {
        hand_overs: 1,
        new_controller_changes_owner: true,
        max_clock: 7,
        ..BASE_BOUNDS
    },
    instances: 2,
    listed_standbys: 1,
};
const TWO_STANDBYS: Scenario = Scenario {
    timing: Timing { lease_ms: 1, ..BASE_TIMING },
    bounds: Bounds { new_controller_changes_owner: true, max_clock: 6, ..BASE_BOUNDS },
    instances: 3,
    listed_standbys: 2,
};
const ENTRY_INSTANCES: Scenario = Scenario {
    timing: BASE_TIMING,
    bounds: Bounds {
        new_controller_changes_owner: true,
        entry_instances_enforce: true,
        max_clock: 6,
        ..BASE_BOUNDS
    },
    instances: 2,
    listed_standbys: 1,
};

fn explore(name: &str, s: &Scenario, bug: InjectedBug) -> Report {
    // One search at a time, as each uses all cores and much memory.
    let _guard = SEARCH_LOCK.lock().unwrap_or_else(PoisonError::into_inner);
    let start = ModelState::new(s.timing, s.bounds, bug, s.instances, s.listed_standbys);
    let report = search(&start, MAX_STATES);
    let (states, depth, exhausted) = (report.states, report.depth, report.exhausted);
    println!("{name}: {states} states, depth {depth}, exhausted {exhausted}");
    report
}

macro_rules! one_owner {
    ($($name:ident: $scenario:expr;)*) => {
        $(#[test] fn $name() {
            let report = explore(stringify!($name), &$scenario, InjectedBug::None);
            assert!(report.counterexample.is_none(), "{:#?}", report.counterexample);
            assert!(report.exhausted, "not explored to the end");
        })*
    };
}

one_owner! {
    one_owner_while_owner_changes: OWNER_CHANGE;
    one_owner_after_takeover: TAKEOVER;
    one_owner_after_lost_write_result: LOST_WRITE_RESULT;
    one_owner_while_owner_changes_with_lost_write_result: OWNER_CHANGE_LOST_RESULT;
    one_owner_with_renewal: RENEWAL;
    one_owner_with_late_promises: LATE_PROMISES;
    one_owner_with_very_late_promises: VERY_LATE_PROMISES;
    one_owner_in_platform_outage: PLATFORM_OUTAGE;
    one_owner_after_upstream_restart: UPSTREAM_RESTART;
    one_owner_after_unlisted_takeover: UNLISTED_TAKEOVER;
    one_owner_after_hand_over: HAND_OVER;
    one_owner_with_two_standbys: TWO_STANDBYS;
    one_owner_where_entry_instances_enforce: ENTRY_INSTANCES;
}

macro_rules! finds_bug {
    ($($name:ident: $scenario:expr, $bug:ident;)*) => {
        $(#[test] fn $name() {
            let report = explore(stringify!($name), &$scenario, InjectedBug::$bug);
            let counterexample = report.counterexample.expect("a counterexample");
            println!("{counterexample:?}");
        })*
    };
}

finds_bug! {
    finds_no_wait_before_owner_change: OWNER_CHANGE, NoWaitBeforeOwnerChange;
    finds_assumed_commit_after_timeout: OWNER_CHANGE_LOST_RESULT, AssumedCommitAfterTimeout;
    finds_grant_before_commit: OWNER_CHANGE_LOST_RESULT, GrantBeforeCommit;
    finds_expiry_from_receipt: OWNER_CHANGE, ExpiryFromReceipt;
    finds_no_wait_at_takeover: TAKEOVER, NoWaitAtTakeover;
    finds_older_term_accepted: UNLISTED_TAKEOVER, OlderTermAccepted;
    finds_promise_from_reply: VERY_LATE_PROMISES, PromiseFromReply;
    finds_promise_during_takeover: RENEWAL, PromiseDuringTakeover;
}
