//! Planning of the owners of keys, replayed with patterns of traffic.

use mulberryspur::{
    grant_budget::GrantBudget,
    keymap::{KeyMap, KeyRange, Owner, Span},
    rebalance::{plan, plan_within},
    routing_config::UpstreamInfo,
    traffic::{TrafficReport, TrafficStats},
};
use std::sync::Arc;

/// Requests per second that an upstream of these tests can carry: six at once, 120 ms each.
const CAPACITY: f64 = 50.0;

fn upstreams(n: usize) -> Vec<Arc<UpstreamInfo>> {
    (0..n)
        .map(|i| {
            Arc::new(UpstreamInfo {
                id: format!("u{i:02}").into(),
                started: 1,
                service: "foldbook".into(),
                address: ([127, 0, 0, 1], 1).into(),
                data_center: "a".into(),
                concurrency: 6,
                leaving: false,
                warmup_ms: 0,
            })
        })
        .collect()
}

fn apply_plan(map: &mut KeyMap, upstreams: &[Arc<UpstreamInfo>], traffic: &TrafficStats) -> usize {
    let changes = plan(map, &[], &[], upstreams, traffic);
    for c in &changes {
        let (range, owner) = (c.range, c.to.clone());
        map.assign(Span { range, owner, fence: 1, handover: None });
    }
    changes.len()
}

#[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "small and positive")]
fn rounded(requests: f64) -> u32 {
    requests.round() as u32
}

/// Returns traffic with `hot_rate` requests per second spread by Zipf's law over `keys` keys from
/// `from` on, and with `base_rate` over all keys.
fn traffic(base_rate: f64, hot_rate: f64, from: u16, keys: u16) -> TrafficStats {
    let weights: Vec<f64> = (1..=keys).map(|i| f64::from(i).powf(-0.65)).collect();
    let sum: f64 = weights.iter().sum();
    let mut traffic = TrafficStats::new(0);
    // Rates are averaged over two seconds, so two seconds of counts show them.
    let mut requests: Vec<(u16, u32)> = (0..2_000)
        .map(|i| (u16::try_from(i * 32).unwrap(), rounded(base_rate / 1_000.0)))
        .collect();
    // Keys of similar rank are scattered over the range.
    for (rank, w) in weights.iter().enumerate() {
        let key = from + u16::try_from(rank * 37 % usize::from(keys)).unwrap();
        requests.push((key, rounded(2.0 * hot_rate * w / sum)));
    }
    traffic.add_report(&TrafficReport {
        service: "foldbook".into(),
        requests,
        times: Vec::new(),
        ..TrafficReport::default()
    });
    traffic
}

fn max_utilization(map: &KeyMap, traffic: &TrafficStats, upstreams: &[Arc<UpstreamInfo>]) -> f64 {
    let rate = |id: &str| -> f64 {
        map.spans.iter().filter(|s| &*s.owner.id == id).map(|s| traffic.rate(&s.range)).sum()
    };
    upstreams.iter().map(|u| rate(&u.id) / CAPACITY).fold(0.0, f64::max)
}

/// Assigns all keys, then adds hot ones; returns the highest utilization before and after `rounds`
/// plans.
fn utilization_before_and_after(
    n: usize,
    base_rate: f64,
    hot_rate: f64,
    keys: u16,
    rounds: usize,
) -> (f64, f64) {
    let upstreams = upstreams(n);
    let mut map = KeyMap::default();
    apply_plan(&mut map, &upstreams, &TrafficStats::new(0));
    assert!(map.gaps().is_empty(), "every key gets an owner");
    let traffic = traffic(base_rate, hot_rate, 30_000, keys);
    let before = max_utilization(&map, &traffic, &upstreams);
    for _ in 0..rounds {
        apply_plan(&mut map, &upstreams, &traffic);
        assert!(map.gaps().is_empty(), "no key loses its owner");
    }
    (before, max_utilization(&map, &traffic, &upstreams))
}

macro_rules! hot_keys {
    ($($name:ident: $n:expr, $base:expr, $hot:expr, $keys:expr, below $limit:expr;)*) => {$(
        #[test]
        fn $name() {
            let (before, after) = utilization_before_and_after($n, $base, $hot, $keys, 10);
            assert!(before > 2.0, "the pattern overloads an owner: {before:.2}");
            assert!(after < $limit, "busiest owner at {after:.2} of its capacity, was {before:.2}");
        }
    )*};
}

hot_keys! {
    sixty_hot_keys_take_a_third_of_the_load: 22, 250.0, 150.0, 60, below 0.9;
    two_hundred_hot_keys_take_half_of_the_load: 22, 300.0, 270.0, 200, below 0.9;
    sixty_hot_keys_at_peak_load: 22, 400.0, 300.0, 60, below 1.05;
}

/// A single key with more traffic than any upstream can carry goes to a fast upstream, which keeps
/// little else.
#[test]
fn one_hot_key_gets_the_fastest_upstream_to_itself() {
    let upstreams = upstreams(12);
    let mut map = KeyMap::default();
    apply_plan(&mut map, &upstreams, &TrafficStats::new(0));
    let mut traffic = traffic(200.0, 150.0, 30_000, 1);
    let times = upstreams.iter().enumerate();
    let times =
        times.map(|(n, u)| (u.id.clone(), 100, if n % 3 == 2 { 7_500.0 } else { 17_000.0 }));
    let times = times.collect();
    traffic.add_report(&TrafficReport {
        service: "foldbook".into(),
        requests: Vec::new(),
        times,
        ..TrafficReport::default()
    });
    for _ in 0..10 {
        apply_plan(&mut map, &upstreams, &traffic);
    }
    let owner = map.find(30_000).unwrap().owner.clone();
    let number: usize = owner.id[1..].parse().unwrap();
    assert_eq!(number % 3, 2, "{} is not fast", owner.id);
    let own = map.spans.iter().filter(|s| s.owner == owner);
    let other_rate: f64 = own.map(|s| traffic.rate(&s.range)).sum::<f64>()
        - traffic.rate(&KeyRange::new(30_000, 30_000));
    assert!(other_rate < 8.0, "{other_rate:.1} other requests per second");
}

/// Of two hundred equal upstreams, some get only short requests at first, and look faster than they
/// are: they are not assigned more than they can carry.
#[test]
fn short_first_responses_attract_no_excess_load() {
    let upstreams = upstreams(200);
    let mut map = KeyMap::default();
    apply_plan(&mut map, &upstreams, &TrafficStats::new(0));
    let mut traffic = traffic(6_000.0, 300.0, 30_000, 200);
    // Response times are 120 ms on average, and vary widely.
    let times = upstreams.iter().enumerate().map(|(n, u)| {
        let ms = match n % 50 {
            0 => 9.0,
            1 => 20.0,
            k if k % 3 == 0 => 245.0,
            _ => 67.0,
        };
        (u.id.clone(), 1, ms)
    });
    let times = times.collect();
    traffic.add_report(&TrafficReport {
        service: "foldbook".into(),
        requests: Vec::new(),
        times,
        ..TrafficReport::default()
    });
    for _ in 0..20 {
        apply_plan(&mut map, &upstreams, &traffic);
    }
    let after = max_utilization(&map, &traffic, &upstreams);
    assert!(after < 1.0, "busiest owner at {after:.2} of its capacity");
}

/// An owner that takes only three requests a second keeps no more than that, though it is as fast as
/// the others.
#[test]
fn keys_move_away_from_an_owner_that_names_a_limit() {
    let upstreams = upstreams(12);
    let mut map = KeyMap::default();
    apply_plan(&mut map, &upstreams, &TrafficStats::new(0));
    let mut traffic = traffic(200.0, 100.0, 30_000, 200);
    traffic.add_report(&TrafficReport {
        service: "foldbook".into(),
        limits: vec![("u03".into(), 3.0)],
        ..TrafficReport::default()
    });
    for _ in 0..40 {
        apply_plan(&mut map, &upstreams, &traffic);
    }
    let own = map.spans.iter().filter(|s| &*s.owner.id == "u03");
    let rate: f64 = own.map(|s| traffic.rate(&s.range)).sum();
    assert!(rate <= 3.0, "{rate:.1} requests per second");
    let busiest = max_utilization(&map, &traffic, &upstreams);
    assert!(busiest < 1.0, "busiest owner at {busiest:.2} of its capacity");
}

#[test]
fn keys_of_a_lost_owner_go_to_upstreams_with_capacity() {
    let upstreams = upstreams(4);
    let mut map = KeyMap::default();
    apply_plan(&mut map, &upstreams, &TrafficStats::new(0));
    let remaining = &upstreams[1..];
    apply_plan(&mut map, remaining, &TrafficStats::new(0));
    let has_moved = |s: &Span| s.owner != Owner { id: "u00".into(), started: 1 };
    assert!(map.spans.iter().all(has_moved));
    for u in remaining {
        let own = map.spans.iter().filter(|s| s.owner.id == u.id);
        let keys: u32 = own.map(|s| s.range.len()).sum();
        assert!((14_000..=30_000).contains(&keys), "{} owns {keys}", u.id);
    }
}

#[test]
fn new_upstream_gets_keys() {
    let upstreams = upstreams(5);
    let mut map = KeyMap::default();
    apply_plan(&mut map, &upstreams[..4], &TrafficStats::new(0));
    apply_plan(&mut map, &upstreams, &TrafficStats::new(0));
    let own = map.spans.iter().filter(|s| s.owner.id == upstreams[4].id);
    let keys: u32 = own.map(|s| s.range.len()).sum();
    assert!(keys > 4_000, "the new upstream owns {keys}");
}

#[test]
fn idle_service_moves_nothing() {
    let upstreams = upstreams(6);
    let mut map = KeyMap::default();
    apply_plan(&mut map, &upstreams, &TrafficStats::new(0));
    let low_traffic = traffic(60.0, 1.0, 100, 10);
    assert_eq!(apply_plan(&mut map, &upstreams, &low_traffic), 0);
    assert_eq!(map.find(0).map(|s| s.range.from), Some(0));
    assert_eq!(KeyRange::new(0, 9).len(), 10);
}

/// A coordinator with a tenth of a core had 834 ranges and could not renew them in time.
#[test]
fn small_coordinator_splits_more_ranges_than_it_can_renew() {
    let upstreams = upstreams(60);
    let (mut map, mut unlimited) = (KeyMap::default(), KeyMap::default());
    let budget = 150;
    for round in 0..60 {
        // The busy keys are others each time.
        let traffic = traffic(400.0, 1_800.0, 1_000 * round, 900);
        for c in plan_within(budget, &map, &[], &[], &upstreams, &traffic) {
            map.assign(Span { range: c.range, owner: c.to, fence: 1, handover: None });
        }
        apply_plan(&mut unlimited, &upstreams, &traffic);
    }
    // Moves of one plan may exceed it.
    assert!(map.spans.len() < budget + 40, "{} spans", map.spans.len());
    assert!(unlimited.spans.len() > map.spans.len(), "{} spans", unlimited.spans.len());
    assert_eq!(map.gaps(), []);
}

#[test]
fn budget_of_equal_instances_limits_their_ranges() {
    assert!(GrantBudget::new(0.5, 1_200).spans > 1_200);
    let small = GrantBudget::new(0.1, 1_200);
    assert!((300..500).contains(&small.spans), "{small:?}");
    assert!((100..200).contains(&small.in_flight), "{small:?}");
}
