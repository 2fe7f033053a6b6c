//! The dispatcher of `mulberryspur-platform`: queueing, rejections and the choice of upstreams.

use mulberryspur::dispatch::{
    Completion, Decision, Destination, Dispatcher, LoadReport, Rejection, RequestSpec, UpstreamSpec,
};
use mulberryspur::silence::WaitingAttempt;
use std::{collections::BinaryHeap, sync::Arc};

const OBJECTIVE_MS: u64 = 400;

fn spec(n: usize, same_data_center: bool) -> UpstreamSpec {
    UpstreamSpec {
        id: format!("u{n}").into(),
        started: 1,
        concurrency: 6,
        same_data_center,
        leaving: false,
        max_connections: 20,
    }
}

fn request(now: u64, priority: u8, destination: Destination) -> RequestSpec {
    RequestSpec {
        priority,
        arrived_at: now,
        objective_at: now + OBJECTIVE_MS,
        deadline: now + 1_200,
        destination,
        key: None,
        large_response: false,
        tried: Vec::new(),
        admitted: false,
        forwardable: false,
    }
}

fn owner() -> Destination {
    Destination::Owner("u0".into(), 1)
}

fn sent_to(decision: &Result<Decision, u64>) -> Option<Arc<str>> {
    match decision {
        Ok(Decision::Send(id)) => Some(id.clone()),
        _ => None,
    }
}

#[derive(Debug, Default)]
struct Totals {
    in_time: usize,
    late: usize,
    rejected: usize,
    /// Longest time in milliseconds from the arrival of a request to its rejection.
    longest_wait: u64,
}

/// Simulates ten seconds in which one owner gets a request every `interval` milliseconds and runs
/// six at once, each for `run_time` milliseconds.
fn simulate(interval: u64, run_time: u64) -> Totals {
    let mut d = Dispatcher::default();
    d.set_upstreams(0, [spec(0, true)]);
    let mut out = Totals::default();
    let mut arrived = std::collections::HashMap::new();
    // Running requests by their end, with the time of arrival, and the owner's own queue.
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
            d.on_completion(now, &id, Completion::Responded(time), Some(load));
            if took <= OBJECTIVE_MS { out.in_time += 1 } else { out.late += 1 }
        }
        let mut decided = Vec::new();
        if now % interval == 0 {
            match d.submit(now, request(now, 1, owner())) {
                Ok(decision) => decided.push((now, decision)),
                Err(ticket) => {
                    arrived.insert(ticket, now);
                }
            }
        }
        for (ticket, decision) in d.poll(now) {
            decided.push((arrived.remove(&ticket).expect("known ticket"), decision));
        }
        for (at, decision) in decided {
            match decision {
                Decision::Send(_) => queue.push_back(at),
                Decision::Forward => panic!("the upstream is reachable"),
                Decision::Reject { .. } => {
                    out.rejected += 1;
                    out.longest_wait = out.longest_wait.max(now - at);
                }
            }
        }
        while running.len() < 6
            && let Some(at) = queue.pop_front()
        {
            running.push(std::cmp::Reverse((now + run_time, at)));
        }
    }
    out
}

/// A hot key brings twice the load that its owner can run: the owner stays busy with requests that
/// are in time, and the rest is rejected early.
#[test]
fn hot_key_is_served_in_time_and_the_rest_rejected() {
    let out = simulate(10, 120);
    let capacity = 10_000 / 20;
    assert!(out.in_time * 10 >= capacity * 8, "{out:?}");
    assert!(out.late * 20 <= out.in_time, "{out:?}");
    assert!(out.longest_wait <= OBJECTIVE_MS, "{out:?}");
}

/// Below the owner's capacity nothing is rejected.
#[test]
fn load_within_capacity_is_served() {
    let out = simulate(30, 120);
    assert_eq!((out.rejected, out.late), (0, 0), "{out:?}");
}

/// The more a hot key overloads its owner (here with ten times the requests), the longer
/// `Retry-After` gets, so that callers do not come back while the overload lasts.
#[test]
fn retry_after_grows_with_rejections() {
    let mean_retry_after = |requests: u32| {
        let mut d = Dispatcher::default();
        d.set_upstreams(0, [spec(0, true)]);
        let mut sum = 0;
        let mut count = 0;
        for n in 0..requests {
            let decision = d.submit(u64::from(n), request(u64::from(n), 1, owner()));
            if let Ok(Decision::Reject { retry_after, .. }) = decision {
                sum += retry_after;
                count += 1;
            }
        }
        sum / count.max(1)
    };
    let (slight, heavy) = (mean_retry_after(40), mean_retry_after(400));
    assert!(heavy > 2 * slight, "{slight} ms and {heavy} ms");
    assert!(heavy <= 4_500, "{heavy} ms");
}

#[test]
fn requests_of_higher_priority_go_first() {
    let mut d = Dispatcher::default();
    d.set_upstreams(0, [spec(0, true)]);
    while sent_to(&d.submit(0, request(0, 2, owner()))).is_some() {}
    let low = d.submit(1, request(1, 2, owner())).expect_err("waits");
    let high = d.submit(2, request(2, 1, owner())).expect_err("waits");
    d.on_completion(3, &"u0".into(), Completion::Responded(50.0), None);
    let first = d.poll(3).into_iter().find(|(_, v)| matches!(v, Decision::Send(_)));
    assert_eq!(first.map(|(t, _)| t), Some(high));
    assert_ne!(low, high);
}

#[test]
fn refused_key_does_not_hold_up_other_keys_of_its_owner() {
    let mut d = Dispatcher::default();
    d.set_upstreams(0, [spec(0, true)]);
    d.on_refused_key(0, &"u0".into(), 7, 1);
    let refused = RequestSpec { key: Some(7), ..request(1, 1, owner()) };
    assert!(d.submit(1, refused).is_err(), "waits for the next owner");
    let other = RequestSpec { key: Some(8), ..request(1, 1, owner()) };
    assert!(sent_to(&d.submit(1, other)).is_some());
}

#[test]
fn upstreams_in_own_data_center_are_preferred_until_busy() {
    let mut d = Dispatcher::default();
    d.set_upstreams(0, [spec(0, true), spec(1, false)]);
    let id = sent_to(&d.submit(0, request(0, 1, Destination::Any)));
    assert_eq!(id.as_deref(), Some("u0"));
    let busy = LoadReport { running: 6, waiting: 12, concurrency: 6 };
    d.on_completion(1, &"u0".into(), Completion::Responded(120.0), Some(busy));
    let id = sent_to(&d.submit(2, request(2, 1, Destination::Any)));
    assert_eq!(id.as_deref(), Some("u1"));
}

#[test]
fn large_responses_stay_in_data_center() {
    let mut d = Dispatcher::default();
    d.set_upstreams(0, [spec(0, true), spec(1, false)]);
    let short_queue = LoadReport { running: 6, waiting: 3, concurrency: 6 };
    d.submit(0, request(0, 1, Destination::Any)).expect("capacity");
    d.on_completion(1, &"u0".into(), Completion::Responded(120.0), Some(short_queue));
    let large = RequestSpec { large_response: true, ..request(2, 1, Destination::Any) };
    assert_eq!(sent_to(&d.submit(2, large)).as_deref(), Some("u0"));
}

#[test]
fn leaving_and_unreachable_upstreams_get_nothing() {
    let mut d = Dispatcher::default();
    let leaving = UpstreamSpec { leaving: true, ..spec(0, true) };
    d.set_upstreams(0, [leaving, spec(1, true), spec(2, true)]);
    d.submit(0, request(0, 1, Destination::Any)).expect("capacity");
    for id in ["u1", "u2"] {
        d.on_completion(1, &id.into(), Completion::Responded(50.0), None);
    }
    d.on_completion(1, &"u1".into(), Completion::Unreachable, None);
    for now in 2..12 {
        let id = sent_to(&d.submit(now, request(now, 1, Destination::Any)));
        assert_eq!(id.as_deref(), Some("u2"));
        d.on_completion(now, &"u2".into(), Completion::Responded(1.0), None);
    }
}

#[test]
fn request_without_any_upstream_is_rejected_at_once() {
    let mut d = Dispatcher::default();
    let decision = d.submit(0, request(0, 1, Destination::Any));
    let reason = Rejection::NoUpstream;
    assert!(matches!(decision, Ok(Decision::Reject { reason: r, .. }) if r == reason));
}

/// Keys of owners that were lost some time ago, and of one that has not been reached twice in a row:
/// a cut takes a third of them for many seconds. None of their requests waits.
#[test]
fn request_for_a_lost_owner_is_rejected_at_once() {
    let mut d = Dispatcher::default();
    d.set_upstreams(0, [spec(0, true)]);
    let decision = d.submit(0, request(0, 1, Destination::OwnerLost));
    let Ok(Decision::Reject { reason: Rejection::NoOwner, retry_after }) = decision else {
        panic!("{decision:?}");
    };
    assert!((900..=1_800).contains(&retry_after), "{retry_after} ms");
    assert!(d.submit(0, request(0, 1, Destination::NoOwner)).is_err(), "waits for its owner");
    // Ejected for 300 and then for 600 ms.
    for now in [0, 400] {
        assert!(sent_to(&d.submit(now, request(now, 1, owner()))).is_some());
        d.on_completion(now, &"u0".into(), Completion::Unreachable, None);
    }
    let decision = d.submit(500, request(500, 1, owner()));
    let reason = Rejection::NoOwner;
    assert!(matches!(decision, Ok(Decision::Reject { reason: r, .. }) if r == reason));
}

/// An upstream that refuses its requests gets less than a tenth of all.
#[test]
fn failing_upstream_gets_less() {
    let mut d = Dispatcher::default();
    d.set_upstreams(0, [spec(0, true), spec(1, true)]);
    let mut failed = 0;
    for now in 0..400 {
        if let Some(id) = sent_to(&d.submit(now, request(now, 1, Destination::Any))) {
            let completion =
                if &*id == "u0" { Completion::Refused } else { Completion::Responded(20.0) };
            failed += usize::from(&*id == "u0");
            d.on_completion(
                now,
                &id,
                completion,
                Some(LoadReport { running: 1, waiting: 0, concurrency: 6 }),
            );
        }
    }
    assert!(failed < 40, "{failed} of 400 went to the failing upstream");
}

/// An upstream answers every request at once with garbage, and the other one is busy: after the
/// third failure in a row requests wait for half a second rather than go to the failing one.
#[test]
fn upstream_that_only_fails_is_avoided() {
    let mut d = Dispatcher::default();
    d.set_upstreams(0, [spec(0, true)]);
    for now in 0..3 {
        let id = sent_to(&d.submit(now, request(now, 1, Destination::Any)));
        assert_eq!(id.as_deref(), Some("u0"));
        d.on_completion(now, &"u0".into(), Completion::Failed, None);
    }
    d.set_upstreams(0, [spec(0, true), spec(1, true)]);
    let waiting = loop {
        match d.submit(10, RequestSpec { objective_at: 2_000, ..request(10, 1, Destination::Any) })
        {
            Ok(Decision::Send(id)) => assert_eq!(&*id, "u1"),
            Ok(rejected) => panic!("{rejected:?}"),
            Err(ticket) => break ticket,
        }
    };
    assert!(d.poll(400).is_empty());
    assert_eq!(d.poll(600), [(waiting, Decision::Send("u0".into()))]);
}

/// An owner that wants no requests for longer than a request may wait.
#[test]
fn request_for_an_owner_that_rests_is_sent() {
    let mut d = Dispatcher::default();
    d.set_upstreams(0, [spec(0, true)]);
    // The window is full, so that one more waits.
    (0..3).for_each(|_| assert!(sent_to(&d.submit(0, request(0, 1, owner()))).is_some()));
    let ticket = d.submit(0, request(0, 1, owner())).expect_err("no capacity");
    d.on_rest(10, &"u0".into(), 5_000);
    d.on_completion(10, &"u0".into(), Completion::Refused, None);
    let rejected = |decision: &Decision| match decision {
        Decision::Forward => panic!("the upstream is reachable"),
        Decision::Reject { reason, retry_after } => {
            assert_eq!(*reason, Rejection::UpstreamRest);
            assert!(*retry_after >= 4_900, "{retry_after}");
        }
        Decision::Send(id) => panic!("sent to {id}"),
    };
    let decisions = d.poll(10);
    assert_eq!(decisions.iter().map(|(t, _)| *t).collect::<Vec<_>>(), [ticket]);
    rejected(&decisions[0].1);
    rejected(&d.submit(100, request(100, 1, owner())).expect("decided at once"));
    assert!(sent_to(&d.submit(5_010, request(5_010, 1, owner()))).is_some());
}

/// A rest that ends in time is waited for; of several upstreams, others get the requests meanwhile.
#[test]
fn rest_that_ends_in_time_is_waited_for() {
    let mut d = Dispatcher::default();
    d.set_upstreams(0, [spec(0, true), spec(1, true)]);
    d.on_rest(0, &"u0".into(), 200);
    for now in 0..3 {
        let id = sent_to(&d.submit(now, request(now, 1, Destination::Any)));
        assert_eq!(id.as_deref(), Some("u1"));
    }
    let ticket = d.submit(10, request(10, 1, owner())).expect_err("rests");
    assert!(d.poll(190).is_empty());
    assert_eq!(d.poll(200), [(ticket, Decision::Send("u0".into()))]);
}

const FENCE: u64 = 1;

fn keyed(now: u64, key: u16) -> RequestSpec {
    RequestSpec { key: Some(key), ..request(now, 1, owner()) }
}

fn is_rejected_without_owner(decision: &Decision) -> bool {
    matches!(decision, Decision::Reject { reason: Rejection::NoOwner, retry_after } if *retry_after > 0)
}

/// An owner that was just committed gets its grant some 10 ms later: one more try, and no third one.
#[test]
fn request_is_sent_again_and_again_to_an_owner_without_a_grant() {
    let mut d = Dispatcher::default();
    d.set_upstreams(0, [spec(0, true)]);
    let u0: Arc<str> = "u0".into();
    assert!(sent_to(&d.submit(0, keyed(0, 7))).is_some());
    d.on_completion(10, &u0, Completion::NotOwner, None);
    assert!(!d.on_refused_key(10, &u0, 7, FENCE));
    let waits = d.submit(11, keyed(0, 7)).expect_err("waits for the grant");
    assert!(d.poll(100).is_empty());
    assert_eq!(d.poll(135), [(waits, Decision::Send("u0".into()))]);
    d.on_completion(150, &u0, Completion::NotOwner, None);
    assert!(d.on_refused_key(150, &u0, 7, FENCE));
    for key in [7, 8] {
        let decision = d.submit(151, keyed(0, key)).expect("decided at once");
        assert!(is_rejected_without_owner(&decision), "{decision:?}");
    }
    // With a later fence, and some time later, requests are sent again.
    let later = Destination::Owner("u0".into(), FENCE + 1);
    let granted = RequestSpec { destination: later, ..keyed(160, 7) };
    assert!(sent_to(&d.submit(160, granted)).is_some());
    assert!(sent_to(&d.submit(1_400, keyed(1_400, 7))).is_some());
}

/// An owner that has served a key has lost its grant when it refuses the key: the key may have moved, so
/// that the request waits for a later fence, and is not sent under this one.
#[test]
fn request_is_sent_again_under_a_grant_that_has_lapsed() {
    let mut d = Dispatcher::default();
    d.set_upstreams(0, [spec(0, true)]);
    let u0: Arc<str> = "u0".into();
    d.on_accepted_key(0, &u0, 7, FENCE);
    assert!(d.on_refused_key(500, &u0, 7, FENCE));
    let waits = d.submit(501, keyed(500, 7)).expect_err("waits for a later fence");
    let other = d.submit(501, keyed(500, 8));
    assert!(sent_to(&other).is_some(), "one refusal shows nothing about other keys");
    assert!(d.poll(700).is_empty());
    let rejected = d.poll(810);
    assert_eq!(rejected[0].0, waits);
    assert!(is_rejected_without_owner(&rejected[0].1), "{rejected:?}");
}

#[test]
fn request_that_waits_for_a_later_fence_is_sent_under_it() {
    let mut d = Dispatcher::default();
    d.set_upstreams(0, [spec(0, true), spec(1, true)]);
    let u0: Arc<str> = "u0".into();
    d.on_accepted_key(0, &u0, 7, FENCE);
    d.on_refused_key(500, &u0, 7, FENCE);
    let waits = d.submit(501, keyed(500, 7)).expect_err("waits for a later fence");
    d.update_destinations(|_| Some(Destination::Owner("u1".into(), FENCE + 1)));
    assert_eq!(d.poll(520), [(waits, Decision::Send("u1".into()))]);
}

/// Refusals of different keys in a row show the loss of all grants; a request that is run ends it.
#[test]
fn requests_go_on_to_an_owner_that_has_lost_its_grants() {
    let mut d = Dispatcher::default();
    d.set_upstreams(0, [spec(0, true)]);
    let u0: Arc<str> = "u0".into();
    assert!(!d.on_refused_key(0, &u0, 7, FENCE));
    assert!(!d.on_refused_key(5, &u0, 8, FENCE), "grants may still be on their way");
    assert!(sent_to(&d.submit(10, keyed(10, 9))).is_some());
    assert!(d.on_refused_key(150, &u0, 9, FENCE));
    let decision = d.submit(160, keyed(160, 10)).expect("decided at once");
    assert!(is_rejected_without_owner(&decision), "{decision:?}");
    d.on_accepted_key(170, &u0, 11, FENCE);
    assert!(sent_to(&d.submit(180, keyed(180, 10))).is_some());
}

/// A request that a full owner has refused comes back to it 6 ms later.
#[test]
fn refused_request_is_sent_to_the_full_owner_at_once() {
    let mut d = Dispatcher::default();
    let small = UpstreamSpec { concurrency: 3, ..spec(0, true) };
    d.set_upstreams(0, [small]);
    let u0: Arc<str> = "u0".into();
    let full = LoadReport { running: 3, waiting: 12, concurrency: 3 };
    assert!(sent_to(&d.submit(0, request(0, 1, owner()))).is_some());
    d.on_completion(6, &u0, Completion::Refused, Some(full));
    let again = RequestSpec { admitted: true, ..request(0, 1, owner()) };
    let waits = d.submit(6, again.clone()).expect_err("waits");
    assert!(d.poll(30).is_empty());
    // One of three requests that take 120 ms has ended.
    assert_eq!(d.poll(46), [(waits, Decision::Send("u0".into()))]);
    d.on_completion(50, &u0, Completion::Refused, Some(full));
    assert!(d.submit(51, again.clone()).is_err(), "waits twice as long");
    assert!(d.poll(100).is_empty());
    let (_, decision) = d.poll(135).pop().expect("a decision");
    assert_eq!(decision, Decision::Send("u0".into()));
    d.on_completion(140, &u0, Completion::Refused, Some(full));
    // Four times as long would be past the time that is left for it.
    let urgent = RequestSpec { objective_at: 250, ..again };
    let decision = d.submit(141, urgent);
    let reason = Rejection::Overload;
    assert!(matches!(decision, Ok(Decision::Reject { reason: r, .. }) if r == reason));
}

/// An upstream that has nothing but silence for a request is full: fewer requests are sent to it.
#[test]
fn silent_upstream_gets_as_many_requests_as_before() {
    let sent = |completion| {
        let mut d = Dispatcher::default();
        d.set_upstreams(0, [spec(0, true)]);
        for _ in 0..3 {
            assert!(sent_to(&d.submit(0, request(0, 1, owner()))).is_some());
        }
        for now in [2_000, 2_200, 2_400] {
            d.on_completion(now, &"u0".into(), completion, None);
        }
        (0..5).filter(|_| sent_to(&d.submit(4_000, request(4_000, 1, owner()))).is_some()).count()
    };
    assert_eq!((sent(Completion::Inconclusive), sent(Completion::Silent)), (3, 1));
}

#[test]
fn upstream_that_responds_to_others_counts_as_silent() {
    let mut d = Dispatcher::default();
    d.set_upstreams(0, [spec(0, true)]);
    let u0: Arc<str> = "u0".into();
    assert!(d.is_silent(&u0, 100));
    d.on_completion(99, &u0, Completion::Responded(80.0), None);
    assert!(d.is_silent(&u0, 100));
    d.on_completion(101, &u0, Completion::Refused, None);
    assert!(!d.is_silent(&u0, 100));
}

/// Work times have a tail of three times the mean, and upstreams are three times slower at times.
#[test]
fn slow_attempt_counts_as_unanswered() {
    let attempt = WaitingAttempt { sent_at: 1_000, response_time_ms: 400.0 };
    assert_eq!(attempt.unanswered_from(), 2_600);
}
