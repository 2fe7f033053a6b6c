//! Requests at instances that do not reach upstreams, and the choice of the instances that serve them.

use mulberryspur::{
    dispatch::{
        Completion, Decision, Destination, Dispatcher, Rejection, RequestSpec, UpstreamSpec,
    },
    peer_choice::{Candidate, PeerPaths},
    reachability::Reachability,
};
use std::sync::Arc;

const SERVICE: &str = "foldbook";
/// Instances that a request is forwarded to at most.
const MAX_FORWARDS: usize = 4;

fn request(now: u64, destination: Destination, forwardable: bool) -> RequestSpec {
    RequestSpec {
        priority: 1,
        arrived_at: now,
        objective_at: now + 400,
        deadline: now + 1_200,
        destination,
        key: None,
        large_response: false,
        tried: Vec::new(),
        admitted: false,
        forwardable,
    }
}

fn owner(n: usize) -> Destination {
    Destination::Owner(format!("u{n}").into(), 1)
}

fn dispatcher(upstreams: usize) -> Dispatcher {
    let mut d = Dispatcher::default();
    let specs = (0..upstreams).map(|n| UpstreamSpec {
        id: format!("u{n}").into(),
        started: 1,
        concurrency: 6,
        same_data_center: true,
        leaving: false,
        max_connections: 10,
    });
    d.set_upstreams(0, specs);
    d
}

/// Sends a request to an upstream, which cannot be reached.
fn fail(d: &mut Dispatcher, now: u64, upstream: usize) {
    d.submit(now, request(now, owner(upstream), true)).expect("capacity");
    d.on_completion(now, &format!("u{upstream}").into(), Completion::Unreachable, None);
}

fn is_cut_off(outcomes: &[(&str, bool)]) -> bool {
    let mut reachability = Reachability::default();
    for (id, responds) in outcomes {
        if *responds {
            reachability.on_response(0);
        } else {
            reachability.on_unreachable(0, &Arc::from(*id));
        }
    }
    reachability.is_cut_off()
}

macro_rules! cut_test {
    ($name:ident, $outcomes:expr, $cut:expr) => {
        #[test]
        fn $name() {
            assert_eq!(is_cut_off(&$outcomes), $cut);
        }
    };
}

cut_test!(two_upstreams_that_fail_in_a_row_are_a_cut, [("a", false), ("b", false)], true);
cut_test!(one_upstream_that_fails_again_is_no_cut, [("a", false), ("a", false)], false);
cut_test!(
    upstreams_that_fail_while_others_respond_are_no_cut,
    [("a", false), ("c", true), ("b", false), ("c", true), ("a", false)],
    false
);
cut_test!(
    cut_is_over_with_the_first_response,
    [("a", false), ("b", false), ("c", false), ("a", true)],
    false
);

#[test]
fn request_is_forwarded_once_its_owner_is_unreachable() {
    let mut d = dispatcher(4);
    fail(&mut d, 0, 0);
    assert_eq!(d.submit(1, request(1, owner(0), true)), Ok(Decision::Forward));
    let other = d.submit(1, request(1, owner(1), true));
    assert_eq!(other, Ok(Decision::Send("u1".into())), "other owners can be reached");
    // Other instances do not reach it either: it has ended.
    d.on_unreachable_for_others(2, &"u0".into());
    assert!(!matches!(d.submit(2, request(2, owner(0), true)), Ok(Decision::Forward)));
}

#[test]
fn all_requests_are_forwarded_by_an_instance_that_is_cut_off() {
    let mut d = dispatcher(4);
    fail(&mut d, 0, 0);
    fail(&mut d, 1, 1);
    for n in 0..4 {
        assert_eq!(d.submit(2, request(2, owner(n), true)), Ok(Decision::Forward));
    }
    assert_eq!(d.submit(2, request(2, Destination::Any, true)), Ok(Decision::Forward));
    // No other instance can serve it.
    let rejected = d.submit(2, request(2, owner(3), false));
    let reason = Rejection::CutOff;
    assert!(matches!(rejected, Ok(Decision::Reject { reason: r, .. }) if r == reason));
    d.on_reachable(&"u0".into());
    let sent = d.submit(3, request(3, owner(0), true));
    assert_eq!(sent, Ok(Decision::Send("u0".into())));
}

#[test]
fn waiting_requests_are_forwarded_when_a_cut_becomes_known() {
    let mut d = dispatcher(4);
    let mut waiting = None;
    // Connections to the first owner hang, so that its window fills.
    while waiting.is_none() {
        waiting = d.submit(0, request(0, owner(0), true)).err();
    }
    fail(&mut d, 10, 1);
    fail(&mut d, 10, 2);
    assert_eq!(d.poll(11), [(waiting.expect("a ticket"), Decision::Forward)]);
}

/// Share of forwarded requests in percent that reach an instance with a path, and the mean number of
/// instances asked, where `is_cut` tells which are cut off.
fn forward_requests(
    instances: usize,
    data_centers: usize,
    requests_per_instance: u64,
    is_cut: impl Fn(usize) -> bool,
) -> (f64, f64) {
    let service: Arc<str> = SERVICE.into();
    let names: Vec<Arc<str>> = (0..instances).map(|n| format!("e{n}").into()).collect();
    let (mut served, mut asked, mut total) = (0_u32, 0_u32, 0_u32);
    for own in (0..instances).filter(|n| is_cut(*n)) {
        let mut paths = PeerPaths::default();
        for request in 0..requests_per_instance {
            // Ten requests a second.
            let now = request * 100;
            total += 1;
            let mut tried = Vec::new();
            while tried.len() < MAX_FORWARDS {
                let others = names.iter().enumerate().filter(|(n, _)| *n != own);
                let candidates = others.map(|(n, name)| Candidate {
                    name,
                    same_data_center: n % data_centers == own % data_centers,
                });
                let Some(peer) = paths.choose(now, &service, candidates, &tried) else { break };
                asked += 1;
                let n = names.iter().position(|name| *name == peer).expect("an instance");
                assert!(!tried.contains(&peer), "asked twice");
                if !is_cut(n) {
                    paths.on_served(now, &service, &peer);
                    served += 1;
                    break;
                }
                paths.on_no_path(now, &service, &peer);
                tried.push(peer);
            }
        }
    }
    (100.0 * f64::from(served) / f64::from(total), f64::from(asked) / f64::from(total))
}

macro_rules! forward_test {
    ($name:ident, $instances:expr, $data_centers:expr, $is_cut:expr) => {
        #[test]
        fn $name() {
            let (served, asked) = forward_requests($instances, $data_centers, 100, $is_cut);
            assert!(served >= 95.0, "{served} % served");
            assert!(asked <= 1.5, "{asked} instances asked for a request");
        }
    };
}

forward_test!(half_of_twelve_instances_are_cut_off, 12, 3, |n| n % 2 == 0);
forward_test!(half_of_three_hundred_instances_are_cut_off, 300, 5, |n| n % 2 == 0);
forward_test!(a_data_center_of_twelve_instances_is_cut_off, 12, 3, |n| n % 3 == 0);
forward_test!(a_data_center_of_three_hundred_instances_is_cut_off, 300, 5, |n| n % 5 == 0);
forward_test!(all_but_one_of_twelve_instances_are_cut_off, 12, 3, |n| n != 7);
