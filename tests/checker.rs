//! The checker of journals must find violations in journals that faulty systems would write, and
//! none in those of correct ones.

mod support;

use hyper::Method;
use serde_json::{Value, json};
use std::time::{Duration, Instant};
use support::{checker, load::RequestResult};

fn hold(upstream: &str, at: u64, until: u64, epoch: u64) -> Value {
    json!({"event": "hold", "at": at, "upstream": upstream, "boot": 1, "slots": [[7, epoch]],
           "until": until})
}

fn ran(upstream: &str, at: u64, epoch: u64, request: &str, method: &str) -> Value {
    json!({"event": "run", "at": at, "upstream": upstream, "boot": 1, "slot": [7, epoch],
           "request": request, "method": method})
}

fn result_with(id: &str, outcome: &str) -> RequestResult {
    RequestResult {
        id: id.to_owned(),
        method: Method::POST,
        status: Some(200),
        outcome: Some(outcome.to_owned()),
        reason: None,
        sent: Instant::now(),
        took: Duration::ZERO,
    }
}

fn count_violations(name: &str, journal: &[Value], results: &[RequestResult]) -> usize {
    let dir = std::env::temp_dir().join(format!("mulberryspur-{name}-{}", std::process::id()));
    std::fs::create_dir_all(&dir).unwrap();
    let lines: Vec<String> = journal.iter().map(Value::to_string).collect();
    std::fs::write(dir.join("all.journal"), lines.join("\n")).unwrap();
    let violations = checker::find_violations(&dir, results);
    std::fs::remove_dir_all(&dir).unwrap();
    violations.len()
}

macro_rules! cases {
    ($($name:ident: $journal:expr, $results:expr => $faulty:expr;)*) => {
        $(#[test] fn $name() {
            let found = count_violations(stringify!($name), &$journal, &$results);
            assert_eq!(found > 0, $faulty, "{found} violations");
        })*
    };
}

cases! {
    one_owner_after_another: [hold("a", 10, 20, 1), hold("b", 20, 30, 2)], [] => false;
    renewal_before_a_move: [hold("a", 10, 20, 1), hold("a", 15, 25, 1), hold("b", 25, 30, 2)],
        [] => false;
    move_before_the_end_of_a_grant: [hold("a", 10, 20, 1), hold("b", 19, 30, 2)], [] => true;
    renewal_into_the_next_grant:
        [hold("a", 10, 20, 1), hold("b", 20, 30, 2), hold("a", 15, 25, 1)], [] => true;
    epoch_not_raised: [hold("a", 10, 20, 1), hold("b", 20, 30, 1)], [] => true;
    frozen_owner_goes_on_serving: [ran("a", 10, 1, "x", "GET"), ran("b", 20, 2, "y", "GET"),
        ran("a", 25, 1, "z", "GET")], [] => true;
    one_epoch_two_owners: [ran("a", 10, 1, "x", "GET"), ran("b", 20, 1, "y", "GET")], [] => true;
    post_runs_twice: [ran("a", 10, 1, "x", "POST"), ran("a", 11, 1, "x", "POST")], [] => true;
    get_runs_twice: [ran("a", 10, 1, "x", "GET"), ran("a", 11, 1, "x", "GET")], [] => false;
    false_outcome_not_run: [ran("a", 10, 1, "x", "POST")], [result_with("x", "not-run")] => true;
    false_outcome_ran: [], [result_with("x", "ran")] => true;
    true_outcomes: [ran("a", 10, 1, "x", "POST")],
        [result_with("x", "ran"), result_with("y", "not-run")] => false;
}
