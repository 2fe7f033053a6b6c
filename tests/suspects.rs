//! Requests that end upstreams: which are rejected, and what instances tell each other, in virtual time.

use hyper::Request;
use mulberryspur::{
    fingerprint::{Fingerprint, KnownBody},
    suspects::{End, MAX_ENDS, Notice, Suspects},
};
use rand::{Rng, SeedableRng, rngs::StdRng};
use std::net::{IpAddr, Ipv4Addr};

/// Time in milliseconds for which a request runs before its upstream ends.
const RUN_MS: u64 = 30;

fn fingerprint_of(path: &str, body: &str) -> Fingerprint {
    let req = Request::get(path).header("host", "shop.example").body(()).expect("request");
    Fingerprint::new(&req.into_parts().0, KnownBody::Whole(body.as_bytes()))
}

fn fingerprint(n: usize) -> Fingerprint {
    fingerprint_of(&format!("/orders/{n}"), "paper")
}

fn end(incarnation: u64, ended_at: u64) -> End {
    End { incarnation, sent_at: ended_at - RUN_MS, ended_at }
}

/// Records `count` ends, one a second from 1 s on.
fn suspects_with_ends(count: u64) -> Suspects {
    let mut suspects = Suspects::default();
    for n in 1..=count {
        suspects.on_end(n * 1_000, fingerprint(0), end(n, n * 1_000));
    }
    suspects
}

#[test]
fn fingerprint_differs_by_caller_path_and_body() {
    let first = fingerprint_of("/orders/1?a=1", "paper");
    assert_eq!(first, fingerprint_of("/orders/1?a=1", "paper"));
    assert_ne!(first, fingerprint_of("/orders/1?a=2", "paper"));
    assert_ne!(first, fingerprint_of("/orders/1?a=1", "papers"));
    let callers = [7, 8].map(|n| first.with_caller(IpAddr::V4(Ipv4Addr::new(10, 0, 0, n))));
    assert_ne!(callers[0], callers[1]);
    assert_ne!(callers[0], first);
}

#[test]
fn request_is_rejected_after_three_ends() {
    let suspects = suspects_with_ends(2);
    assert_eq!(suspects.rejected_for(2_001, &fingerprint(0)), None);
    let suspects = suspects_with_ends(3);
    assert!(suspects.rejected_for(3_001, &fingerprint(0)).is_some());
    assert_eq!(suspects.rejected_for(3_001, &fingerprint(1)), None);
}

/// The request of one caller ends upstreams, the same one of others is answered: only that caller's
/// is rejected.
#[test]
fn request_of_one_caller_is_rejected() {
    let mut suspects = Suspects::default();
    let callers =
        [7, 8].map(|n| fingerprint(0).with_caller(IpAddr::V4(Ipv4Addr::new(10, 0, 0, n))));
    for n in 1..=3 {
        for counted in [fingerprint(0), callers[0]] {
            suspects.on_end(n * 1_000, counted, end(n, n * 1_000));
        }
        for answered in [fingerprint(0), callers[1]] {
            suspects.clear(n * 1_000 + 500, answered);
        }
    }
    assert!(suspects.rejected_for(3_600, &callers[0]).is_some());
    assert_eq!(suspects.rejected_for(3_600, &callers[1]), None);
    assert_eq!(suspects.rejected_for(3_600, &fingerprint(0)), None);
}

/// The same end that several instances have seen counts once.
#[test]
fn end_of_one_incarnation_counts_once() {
    let mut suspects = Suspects::default();
    for n in 0..5 {
        suspects.on_end(1_000 + n, fingerprint(0), end(1, 1_000 + n));
    }
    assert_eq!(suspects.end_count(&fingerprint(0)), 1);
}

/// A popular request runs at all upstreams of a rack that loses power.
#[test]
fn popular_request_is_served_on_after_upstreams_end_together() {
    let mut suspects = Suspects::default();
    for n in 0..8 {
        let end = End { incarnation: n, sent_at: 900, ended_at: 1_000 + n };
        suspects.on_end(1_010, fingerprint(0), end);
    }
    assert_eq!(suspects.end_count(&fingerprint(0)), 1);
    assert_eq!(suspects.rejected_for(1_011, &fingerprint(0)), None);
}

/// A request that was under way at upstreams that ended of something else, one after the other.
#[test]
fn request_that_was_answered_since_is_innocent() {
    let mut suspects = Suspects::default();
    for n in 1..20 {
        suspects.on_end(n * 1_000, fingerprint(0), end(n, n * 1_000));
        assert_eq!(suspects.rejected_for(n * 1_000, &fingerprint(0)), None, "after {n} ends");
        assert!(suspects.clear(n * 1_000 + 200, fingerprint(0)));
    }
}

#[test]
fn late_news_of_ends_before_an_answer_do_not_count() {
    let mut suspects = suspects_with_ends(3);
    let news = suspects.next_notices(3_000);
    suspects.clear(3_500, fingerprint(0));
    // The notice was under way for 600 ms.
    let on_the_way: Vec<Notice> = news
        .into_iter()
        .map(|n| Notice {
            ends: n.ends.iter().map(|(i, sent, ended)| (*i, sent + 600, ended + 600)).collect(),
            ..n
        })
        .collect();
    suspects.merge(3_600, &on_the_way);
    assert_eq!(suspects.end_count(&fingerprint(0)), 0);
}

/// A wrongly suspected request, or one whose upstreams were mended, is tried again after two minutes,
/// and then for longer and longer times not.
#[test]
fn rejected_request_is_tried_again() {
    let mut suspects = suspects_with_ends(3);
    let first = suspects.rejected_for(3_000, &fingerprint(0)).expect("rejected");
    assert_eq!(first, 120_000);
    let tried_at = 3_000 + first;
    assert_eq!(suspects.rejected_for(tried_at, &fingerprint(0)), None);
    suspects.on_end(tried_at + 100, fingerprint(0), end(4, tried_at + 100));
    let second = suspects.rejected_for(tried_at + 100, &fingerprint(0)).expect("rejected");
    assert_eq!(second, 2 * first);
}

#[test]
fn pardoned_request_is_served_everywhere() {
    let (mut suspects, mut other) = (suspects_with_ends(3), suspects_with_ends(3));
    let from_caller = fingerprint(0).with_caller(IpAddr::V4(Ipv4Addr::LOCALHOST));
    for n in 1..=3 {
        suspects.on_end(n * 1_000, from_caller, end(n, n * 1_000));
    }
    assert!(suspects.pardon(4_000, &fingerprint(0).to_string()));
    assert!(!suspects.pardon(4_000, &fingerprint(1).to_string()));
    other.merge(4_010, &suspects.take_unpublished(4_010));
    assert_eq!(other.rejected_for(4_020, &fingerprint(0)), None);
    assert_eq!(suspects.rejected_for(4_020, &from_caller), None);
}

/// Someone ends an upstream with each of many requests: what is known of others stays.
#[test]
fn full_table_keeps_rejected_requests() {
    let mut suspects = suspects_with_ends(3);
    for n in 1..5_000u64 {
        let at = 10_000 + n * 100;
        suspects.on_end(at, fingerprint(usize::try_from(n).unwrap()), end(100 + n, at));
    }
    assert!(suspects.rejected_for(20_000, &fingerprint(0)).is_some());
    assert_eq!(suspects.expire(20_000), Some(1));
    let known = (1..5_000).filter(|n| suspects.end_count(&fingerprint(*n)) > 0).count();
    assert!(known <= 1_024, "{known} are remembered");
    assert!(suspects.next_notices(600_000).len() <= 4);
}

/// An instance that has missed everything learns of all rejected requests in turn.
#[test]
fn replies_tell_of_all_rejected_requests() {
    let (mut suspects, mut other) = (Suspects::default(), Suspects::default());
    for n in 0..30u64 {
        for round in 1..=3 {
            let at = round * 1_000 + n;
            let request = fingerprint(usize::try_from(n).unwrap());
            suspects.on_end(at, request, end(n * 10 + round, at));
        }
    }
    for _ in 0..8 {
        other.merge(4_000, &suspects.next_notices(4_000));
    }
    let rejected = (0..30).filter(|n| other.rejected_for(4_000, &fingerprint(*n)).is_some());
    assert_eq!(rejected.count(), 30);
}

/// Instances that send each other notices with delays and losses, and a caller who sends one request
/// again and again to any of them.
struct Fleet {
    rng: StdRng,
    instances: Vec<Suspects>,
    /// Notices under way: when they arrive, where, when they were sent, and what they say.
    notices: Vec<(u64, usize, u64, Vec<Notice>)>,
    ends: Vec<u64>,
}

impl Fleet {
    fn new(seed: u64, instances: usize) -> Self {
        let instances = (0..instances).map(|_| Suspects::default()).collect();
        Self { rng: StdRng::seed_from_u64(seed), instances, notices: Vec::new(), ends: Vec::new() }
    }

    fn deliver(&mut self, now: u64) {
        let (due, later) =
            std::mem::take(&mut self.notices).into_iter().partition(|(at, ..)| *at <= now);
        self.notices = later;
        let due: Vec<(u64, usize, u64, Vec<Notice>)> = due;
        for (at, to, _, notices) in due {
            self.instances[to].merge(at, &notices);
        }
    }

    /// Sends what an instance has to tell to all others; one in ten messages is lost.
    fn publish(&mut self, now: u64, from: usize) {
        let notices = self.instances[from].take_unpublished(now);
        for to in 0..self.instances.len() {
            let delay = self.rng.random_range(1..400);
            if to != from && !notices.is_empty() && !self.rng.random_ratio(1, 10) {
                self.notices.push((now + delay, to, now, notices.clone()));
            }
        }
    }

    /// Each instance hears once a second what another one knows.
    fn gossip(&mut self, now: u64) {
        for to in 0..self.instances.len() {
            let from = self.rng.random_range(0..self.instances.len());
            let notices = self.instances[from].next_notices(now);
            self.notices.push((now + 20, to, now, notices));
        }
    }

    fn send(&mut self, now: u64, to: usize) {
        if self.instances[to].rejected_for(now, &fingerprint(0)).is_some() {
            return;
        }
        let ended_at = now + RUN_MS;
        self.ends.push(ended_at);
        let incarnation = self.ends.len() as u64;
        self.instances[to].on_end(ended_at, fingerprint(0), end(incarnation, ended_at));
        self.publish(ended_at, to);
    }
}

macro_rules! fleets {
    ($($name:ident: $instances:expr;)*) => {$(
        // At most three sends reach upstreams later than 3 s after the third end; instances restart.
        #[test]
        fn $name() {
            for seed in 0..20 {
                let mut fleet = Fleet::new(seed, $instances);
                for now in (0..100_000).step_by(100) {
                    fleet.deliver(now);
                    if now % 1_000 == 0 {
                        fleet.gossip(now);
                        let restarted = fleet.rng.random_range(0..$instances);
                        if now % 5_000 == 0 {
                            fleet.instances[restarted] = Suspects::default();
                        }
                    }
                    if now % 700 == 0 {
                        let to = fleet.rng.random_range(0..$instances);
                        fleet.send(now, to);
                    }
                }
                let third = fleet.ends[MAX_ENDS - 1];
                let late = fleet.ends.iter().filter(|t| **t > third + 3_000).count();
                assert!(late <= 3, "seed {seed}: {late} late ends of {}", fleet.ends.len());
            }
        }
    )*};
}

fleets! {
    request_is_rejected_by_three_instances: 3;
    request_is_rejected_by_twelve_instances: 12;
    request_is_rejected_by_three_hundred_instances: 300;
}

/// Random ends, answers and notices of some requests at some instances; only one of them ends
/// upstreams. Those that are answered within a second of each end are never rejected for long.
#[test]
fn innocent_requests_are_served() {
    for seed in 0..50 {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut fleet = Fleet::new(seed, 5);
        for n in 1..400u64 {
            let now = n * 250;
            fleet.deliver(now);
            if n % 4 == 0 {
                fleet.gossip(now);
            }
            // An upstream ends under a guilty request, with some innocent ones beside it.
            if n % 8 == 0 {
                for innocent in 1..6 {
                    if rng.random_ratio(1, 2) {
                        let at = rng.random_range(0..5);
                        let sent_at = now - rng.random_range(0..RUN_MS * 4);
                        let end = End { incarnation: n, sent_at, ended_at: now };
                        fleet.instances[at].on_end(now, fingerprint(innocent), end);
                        fleet.publish(now, at);
                    }
                }
            }
            // Callers repeat what failed.
            for innocent in 1..6 {
                let at = rng.random_range(0..5);
                let rejected = fleet.instances[at].rejected_for(now, &fingerprint(innocent));
                assert_eq!(rejected, None, "seed {seed}: request {innocent} at {now}");
                fleet.instances[at].clear(now + 50, fingerprint(innocent));
                fleet.publish(now + 50, at);
            }
        }
    }
}
