//! Which upstream gets which keys, replayed over patterns of load.

use mulberryspur::{
    keymap::{KeyMap, KeyRange, Owner, Span},
    rebalance::plan,
    routing_config::UpstreamInfo,
    traffic::{TrafficReport, TrafficStats},
};
use std::sync::Arc;

/// Requests per second that one upstream of these tests can carry: six slots, 120 ms.
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

fn apply(map: &mut KeyMap, upstreams: &[Arc<UpstreamInfo>], traffic: &TrafficStats) -> usize {
    let changes = plan(map, &[], &[], upstreams, traffic);
    for c in &changes {
        let (range, owner) = (c.range, c.to.clone());
        map.assign(Span { range, owner, fence: 1, handover: None });
    }
    changes.len()
}

#[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "small and positive")]
fn count(requests: f64) -> u32 {
    requests.round() as u32
}

/// Traffic with `total` requests per second spread over `keys` by Zipf's law, and `base` over all.
fn traffic(base: f64, total: f64, from: u16, keys: u16) -> TrafficStats {
    let weights: Vec<f64> = (1..=keys).map(|i| f64::from(i).powf(-0.65)).collect();
    let sum: f64 = weights.iter().sum();
    let mut traffic = TrafficStats::new(0);
    // Rates are averaged over two seconds, so two seconds of counts show them.
    let mut requests: Vec<(u16, u32)> =
        (0..2_000).map(|i| (u16::try_from(i * 32).unwrap(), count(base / 1_000.0))).collect();
    // Neighbours in rank are scattered over the range.
    for (rank, w) in weights.iter().enumerate() {
        let at = from + u16::try_from(rank * 37 % usize::from(keys)).unwrap();
        requests.push((at, count(2.0 * total * w / sum)));
    }
    traffic.add_report(&TrafficReport { service: "foldbook".into(), requests, times: Vec::new() });
    traffic
}

fn utilization(map: &KeyMap, traffic: &TrafficStats, upstreams: &[Arc<UpstreamInfo>]) -> f64 {
    let rate = |id: &str| -> f64 {
        map.spans.iter().filter(|s| &*s.owner.id == id).map(|s| traffic.rate(&s.range)).sum()
    };
    upstreams.iter().map(|m| rate(&m.id) / CAPACITY).fold(0.0, f64::max)
}

/// All keys at first; then hot keys; returns the highest utilization before and after `rounds`.
fn spread_out(n: usize, base: f64, hot: f64, keys: u16, rounds: usize) -> (f64, f64) {
    let upstreams = upstreams(n);
    let mut map = KeyMap::default();
    apply(&mut map, &upstreams, &TrafficStats::new(0));
    assert!(map.gaps().is_empty(), "every key gets an owner");
    let traffic = traffic(base, hot, 30_000, keys);
    let before = utilization(&map, &traffic, &upstreams);
    for _ in 0..rounds {
        apply(&mut map, &upstreams, &traffic);
        assert!(map.gaps().is_empty(), "no key loses its owner");
    }
    (before, utilization(&map, &traffic, &upstreams))
}

macro_rules! hot_keys {
    ($($name:ident: $n:expr, $base:expr, $hot:expr, $keys:expr, below $limit:expr;)*) => {$(
        #[test]
        fn $name() {
            let (before, after) = spread_out($n, $base, $hot, $keys, 10);
            assert!(before > 2.0, "the pattern overloads an owner: {before:.2}");
            assert!(after < $limit, "busiest owner at {after:.2} of its capacity, was {before:.2}");
        }
    )*};
}

hot_keys! {
    sixty_hot_keys_take_a_third_of_the_load: 22, 250.0, 150.0, 60, below 0.9;
    two_hundred_hot_keys_take_half_of_the_load: 22, 300.0, 270.0, 200, below 0.9;
    sixty_hot_keys_at_a_crest: 22, 400.0, 300.0, 60, below 1.05;
}

/// One key takes more than any upstream can carry: it goes to a fast one, which keeps little else.
#[test]
fn one_hot_key_gets_the_fastest_upstream_to_itself() {
    let all = upstreams(12);
    let mut map = KeyMap::default();
    apply(&mut map, &all, &TrafficStats::new(0));
    let mut traffic = traffic(200.0, 150.0, 30_000, 1);
    let times = all.iter().enumerate();
    let times =
        times.map(|(n, m)| (m.id.clone(), 100, if n % 3 == 2 { 7_500.0 } else { 17_000.0 }));
    let times = times.collect();
    traffic.add_report(&TrafficReport { service: "foldbook".into(), requests: Vec::new(), times });
    for _ in 0..10 {
        apply(&mut map, &all, &traffic);
    }
    let owner = map.find(30_000).unwrap().owner.clone();
    let number: usize = owner.id[1..].parse().unwrap();
    assert_eq!(number % 3, 2, "{} is not fast", owner.id);
    let own = map.spans.iter().filter(|s| s.owner == owner);
    let rest: f64 = own.map(|s| traffic.rate(&s.range)).sum::<f64>()
        - traffic.rate(&KeyRange::new(30_000, 30_000));
    assert!(rest < 8.0, "{rest:.1} other requests per second");
}

/// Of two hundred equal upstreams, some have only short work at first: they draw no more than they
/// can carry.
#[test]
fn short_work_at_first_draws_no_load() {
    let all = upstreams(200);
    let mut map = KeyMap::default();
    apply(&mut map, &all, &TrafficStats::new(0));
    let mut traffic = traffic(6_000.0, 300.0, 30_000, 200);
    // The time of work is 120 ms on the average, and spread widely.
    let times = all.iter().enumerate().map(|(n, m)| {
        let ms = match n % 50 {
            0 => 9.0,
            1 => 20.0,
            k if k % 3 == 0 => 245.0,
            _ => 67.0,
        };
        (m.id.clone(), 1, ms)
    });
    let times = times.collect();
    traffic.add_report(&TrafficReport { service: "foldbook".into(), requests: Vec::new(), times });
    for _ in 0..20 {
        apply(&mut map, &all, &traffic);
    }
    let after = utilization(&map, &traffic, &all);
    assert!(after < 1.0, "busiest owner at {after:.2} of its capacity");
}

#[test]
fn lost_owner_keys_go_to_those_with_room() {
    let all = upstreams(4);
    let mut map = KeyMap::default();
    apply(&mut map, &all, &TrafficStats::new(0));
    let left = &all[1..];
    apply(&mut map, left, &TrafficStats::new(0));
    let stays = |s: &Span| s.owner != Owner { id: "u00".into(), started: 1 };
    assert!(map.spans.iter().all(stays));
    for m in left {
        let own = map.spans.iter().filter(|s| s.owner.id == m.id);
        let keys: u32 = own.map(|s| s.range.len()).sum();
        assert!((14_000..=30_000).contains(&keys), "{} owns {keys}", m.id);
    }
}

#[test]
fn newcomer_gets_keys() {
    let all = upstreams(5);
    let mut map = KeyMap::default();
    apply(&mut map, &all[..4], &TrafficStats::new(0));
    apply(&mut map, &all, &TrafficStats::new(0));
    let own = map.spans.iter().filter(|s| s.owner.id == all[4].id);
    let keys: u32 = own.map(|s| s.range.len()).sum();
    assert!(keys > 4_000, "newcomer owns {keys}");
}

#[test]
fn idle_service_moves_nothing() {
    let all = upstreams(6);
    let mut map = KeyMap::default();
    apply(&mut map, &all, &TrafficStats::new(0));
    let calm = traffic(60.0, 1.0, 100, 10);
    assert_eq!(apply(&mut map, &all, &calm), 0);
    assert_eq!(map.find(0).map(|s| s.range.from), Some(0));
    assert_eq!(KeyRange::new(0, 9).len(), 10);
}
