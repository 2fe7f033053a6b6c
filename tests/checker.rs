//! The checker of the journals must find what it is there for: records of naive systems.

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

fn told(id: &str, outcome: &str) -> RequestResult {
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

fn faults(name: &str, journal: &[Value], answers: &[RequestResult]) -> usize {
    let dir = std::env::temp_dir().join(format!("mulberryspur-{name}-{}", std::process::id()));
    std::fs::create_dir_all(&dir).unwrap();
    let lines: Vec<String> = journal.iter().map(Value::to_string).collect();
    std::fs::write(dir.join("all.journal"), lines.join("\n")).unwrap();
    let faults = checker::find_violations(&dir, answers);
    std::fs::remove_dir_all(&dir).unwrap();
    faults.len()
}

macro_rules! cases {
    ($($name:ident: $journal:expr, $answers:expr => $faulty:expr;)*) => {
        $(#[test] fn $name() {
            let found = faults(stringify!($name), &$journal, &$answers);
            assert_eq!(found > 0, $faulty, "{found} faults");
        })*
    };
}

cases! {
    in_turn: [hold("a", 10, 20, 1), hold("b", 20, 30, 2)], [] => false;
    renewed: [hold("a", 10, 20, 1), hold("a", 15, 25, 1), hold("b", 25, 30, 2)], [] => false;
    no_wait_before_a_move: [hold("a", 10, 20, 1), hold("b", 19, 30, 2)], [] => true;
    renewed_into_the_next: [hold("a", 10, 20, 1), hold("b", 20, 30, 2), hold("a", 15, 25, 1)],
        [] => true;
    epoch_not_raised: [hold("a", 10, 20, 1), hold("b", 20, 30, 1)], [] => true;
    frozen_owner_serves_on: [ran("a", 10, 1, "x", "GET"), ran("b", 20, 2, "y", "GET"),
        ran("a", 25, 1, "z", "GET")], [] => true;
    one_epoch_two_owners: [ran("a", 10, 1, "x", "GET"), ran("b", 20, 1, "y", "GET")], [] => true;
    order_doubled: [ran("a", 10, 1, "x", "POST"), ran("a", 11, 1, "x", "POST")], [] => true;
    look_up_repeated: [ran("a", 10, 1, "x", "GET"), ran("a", 11, 1, "x", "GET")], [] => false;
    false_not_run: [ran("a", 10, 1, "x", "POST")], [told("x", "not-run")] => true;
    false_ran: [], [told("x", "ran")] => true;
    true_words: [ran("a", 10, 1, "x", "POST")], [told("x", "ran"), told("y", "not-run")] => false;
}
