//! Waiting, refusing and placing requests, replayed over patterns of load.

use mulberryspur::dispatch::{
    Completion, Decision, Destination, Dispatcher, LoadReport, Rejection, RequestSpec, UpstreamSpec,
};
use std::{collections::BinaryHeap, sync::Arc};

const OBJECTIVE_MS: u64 = 400;

fn spec(n: usize, same_data_center: bool) -> UpstreamSpec {
    UpstreamSpec {
        id: format!("u{n}").into(),
        concurrency: 6,
        same_data_center,
        leaving: false,
        max_connections: 20,
    }
}

fn ask(now: u64, priority: u8, destination: Destination) -> RequestSpec {
    RequestSpec {
        priority,
        arrived_at: now,
        objective_at: now + OBJECTIVE_MS,
        deadline: now + 1_200,
        destination,
        key: None,
        large_response: false,
        tried: Vec::new(),
    }
}

fn owner() -> Destination {
    Destination::Owner("u0".into(), 1)
}

fn sent(verdict: &Result<Decision, u64>) -> Option<Arc<str>> {
    match verdict {
        Ok(Decision::Send(id)) => Some(id.clone()),
        _ => None,
    }
}

#[derive(Debug, Default)]
struct Outcome {
    in_time: usize,
    late: usize,
    refused: usize,
    /// Longest time in milliseconds until a refusal.
    slowest_refusal: u64,
}

/// One owner with six slots of `work` milliseconds gets a request each `every` milliseconds for ten
/// seconds.
fn replay(every: u64, work: u64) -> Outcome {
    let mut d = Dispatcher::default();
    d.set_upstreams([spec(0, true)]);
    let mut out = Outcome::default();
    let mut arrived = std::collections::HashMap::new();
    // Running requests by their end, and the owner's own queue.
    let mut running: BinaryHeap<std::cmp::Reverse<(u64, u64)>> = BinaryHeap::new();
    let mut queue: std::collections::VecDeque<u64> = std::collections::VecDeque::new();
    let id: Arc<str> = "u0".into();
    for now in 0..10_000u64 {
        while running.peek().is_some_and(|e| e.0.0 <= now) {
            let std::cmp::Reverse((_, at)) = running.pop().expect("peeked");
            let took = now - at;
            let waiting = u32::try_from(queue.len()).expect("short queue");
            let load = LoadReport { running: 6, waiting, concurrency: 6 };
            let time = f64::from(u32::try_from(took).expect("short time"));
            d.on_completion(now, &id, Completion::Answered(time), Some(load));
            if took <= OBJECTIVE_MS { out.in_time += 1 } else { out.late += 1 }
        }
        let mut decided = Vec::new();
        if now % every == 0 {
            match d.submit(now, ask(now, 1, owner())) {
                Ok(verdict) => decided.push((now, verdict)),
                Err(ticket) => {
                    arrived.insert(ticket, now);
                }
            }
        }
        for (ticket, verdict) in d.poll(now) {
            decided.push((arrived.remove(&ticket).expect("known ticket"), verdict));
        }
        for (at, verdict) in decided {
            match verdict {
                Decision::Send(_) => queue.push_back(at),
                Decision::Reject { .. } => {
                    out.refused += 1;
                    out.slowest_refusal = out.slowest_refusal.max(now - at);
                }
            }
        }
        while running.len() < 6
            && let Some(at) = queue.pop_front()
        {
            running.push(std::cmp::Reverse((now + work, at)));
        }
    }
    out
}

/// A hot key brings twice what its owner can run: the owner stays busy with requests that are still
/// in time, and the rest is refused early.
#[test]
fn hot_key_is_served_in_time_and_the_rest_refused() {
    let out = replay(10, 120);
    let capacity = 10_000 / 20;
    assert!(out.in_time * 10 >= capacity * 8, "{out:?}");
    assert!(out.late * 20 <= out.in_time, "{out:?}");
    assert!(out.slowest_refusal <= OBJECTIVE_MS, "{out:?}");
}

/// Below the owner's capacity nothing is refused.
#[test]
fn load_within_capacity_is_served() {
    let out = replay(30, 120);
    assert_eq!((out.refused, out.late), (0, 0), "{out:?}");
}

/// A hot key with ten times what its owner can run: callers are told to return later than under a
/// slight overload, so that they do not come back while it lasts.
#[test]
fn callers_return_later_the_more_are_turned_away() {
    let longest = |requests: u32| {
        let mut d = Dispatcher::default();
        d.set_upstreams([spec(0, true)]);
        let mut sum = 0;
        let mut count = 0;
        for n in 0..requests {
            let verdict = d.submit(u64::from(n), ask(u64::from(n), 1, owner()));
            if let Ok(Decision::Reject { retry_after, .. }) = verdict {
                sum += retry_after;
                count += 1;
            }
        }
        sum / count.max(1)
    };
    let (slight, heavy) = (longest(40), longest(400));
    assert!(heavy > 2 * slight, "{slight} ms and {heavy} ms");
    assert!(heavy <= 4_500, "{heavy} ms");
}

#[test]
fn urgent_requests_go_first() {
    let mut d = Dispatcher::default();
    d.set_upstreams([spec(0, true)]);
    while sent(&d.submit(0, ask(0, 2, owner()))).is_some() {}
    let common = d.submit(1, ask(1, 2, owner())).expect_err("waits");
    let urgent = d.submit(2, ask(2, 1, owner())).expect_err("waits");
    d.on_completion(3, &"u0".into(), Completion::Answered(50.0), None);
    let first = d.poll(3).into_iter().find(|(_, v)| matches!(v, Decision::Send(_)));
    assert_eq!(first.map(|(t, _)| t), Some(urgent));
    assert_ne!(common, urgent);
}

#[test]
fn one_refused_key_does_not_hold_up_others_of_its_owner() {
    let mut d = Dispatcher::default();
    d.set_upstreams([spec(0, true)]);
    d.on_refused_key(0, 7, 1);
    let refused = RequestSpec { key: Some(7), ..ask(1, 1, owner()) };
    assert!(d.submit(1, refused).is_err(), "waits for the next owner");
    let other = RequestSpec { key: Some(8), ..ask(1, 1, owner()) };
    assert!(sent(&d.submit(1, other)).is_some());
}

#[test]
fn near_upstreams_are_preferred_until_they_are_busy() {
    let mut d = Dispatcher::default();
    d.set_upstreams([spec(0, true), spec(1, false)]);
    let id = sent(&d.submit(0, ask(0, 1, Destination::Any)));
    assert_eq!(id.as_deref(), Some("u0"));
    let busy = LoadReport { running: 6, waiting: 12, concurrency: 6 };
    d.on_completion(1, &"u0".into(), Completion::Answered(120.0), Some(busy));
    let id = sent(&d.submit(2, ask(2, 1, Destination::Any)));
    assert_eq!(id.as_deref(), Some("u1"));
}

#[test]
fn large_answers_stay_near() {
    let mut d = Dispatcher::default();
    d.set_upstreams([spec(0, true), spec(1, false)]);
    let some = LoadReport { running: 6, waiting: 3, concurrency: 6 };
    d.submit(0, ask(0, 1, Destination::Any)).expect("room");
    d.on_completion(1, &"u0".into(), Completion::Answered(120.0), Some(some));
    let large = RequestSpec { large_response: true, ..ask(2, 1, Destination::Any) };
    assert_eq!(sent(&d.submit(2, large)).as_deref(), Some("u0"));
}

#[test]
fn leaving_and_unreachable_upstreams_get_nothing() {
    let mut d = Dispatcher::default();
    let leaving = UpstreamSpec { leaving: true, ..spec(0, true) };
    d.set_upstreams([leaving, spec(1, true), spec(2, true)]);
    d.submit(0, ask(0, 1, Destination::Any)).expect("room");
    for id in ["u1", "u2"] {
        d.on_completion(1, &id.into(), Completion::Answered(50.0), None);
    }
    d.on_completion(1, &"u1".into(), Completion::Unreachable, None);
    for now in 2..12 {
        let id = sent(&d.submit(now, ask(now, 1, Destination::Any)));
        assert_eq!(id.as_deref(), Some("u2"));
        d.on_completion(now, &"u2".into(), Completion::Answered(1.0), None);
    }
}

#[test]
fn request_without_any_upstream_is_refused_at_once() {
    let mut d = Dispatcher::default();
    let verdict = d.submit(0, ask(0, 1, Destination::Any));
    let reason = Rejection::NoUpstream;
    assert!(matches!(verdict, Ok(Decision::Reject { reason: r, .. }) if r == reason));
}

/// An upstream that fails a part of its requests gets less, and one that recovers gets more again.
#[test]
fn failing_upstream_gets_less() {
    let mut d = Dispatcher::default();
    d.set_upstreams([spec(0, true), spec(1, true)]);
    let mut failed = 0;
    for now in 0..400 {
        if let Some(id) = sent(&d.submit(now, ask(now, 1, Destination::Any))) {
            let end = if &*id == "u0" { Completion::Rejected } else { Completion::Answered(20.0) };
            failed += usize::from(&*id == "u0");
            d.on_completion(
                now,
                &id,
                end,
                Some(LoadReport { running: 1, waiting: 0, concurrency: 6 }),
            );
        }
    }
    assert!(failed < 40, "{failed} of 400 went to the failing upstream");
}
