//! Which upstream should own which keys: everybody who may own keys gets some, and busy keys are
//! spread by the load that each upstream can carry.

use crate::{
    collections::HashMap,
    coordinator::Reassignment,
    keymap::{Key, KeyMap, KeyRange, MAX_SPANS, Owner},
    routing_config::UpstreamInfo,
    traffic::TrafficStats,
};
use std::sync::Arc;

/// Ranges that an upstream gets of keys that had no owner: busy keys lie close to one another, so
/// a share in several places evens the load out. Each range costs a renewal, so many upstreams get
/// one each.
const STRIPES: u32 = 4;
/// Ranges of all upstreams together that are dealt out at first, unless there are more upstreams.
const DEALT_RANGES: u32 = 96;
/// Utilization above the average from which an upstream gives keys away.
const EXCESS: f64 = 0.15;
/// Utilization below which nothing is moved for balance.
const BUSY: f64 = 0.45;
/// Utilization that a move must take off its giver at least, beyond what its taker gets.
const MIN_GAIN: f64 = 0.08;
/// Requests per second below which nothing is moved for balance.
const MIN_RATE: f64 = 1.0;
/// Share of the fastest upstream's capacity from which a key is heavy: it cannot be split.
const HEAVY: f64 = 0.5;
/// Factor by which another upstream must be faster for a heavy key to move there.
const PROMOTION: f64 = 1.25;
/// Moves for balance that may be under way at once, and upstreams for each further one.
const MAX_MOVES: usize = 8;
const UPSTREAMS_PER_MOVE: usize = 4;
/// Ranges for each upstream beyond which nothing is split for balance: each costs a renewal.
const MAX_RANGES: usize = 10;
/// Share of a typical upstream's capacity, and number of keys, that go to one new owner.
const PART_LOAD: f64 = 0.2;
const PART_KEYS: f64 = 6_000.0;
/// Spans of a map that are kept for keys whose owner is lost.
const SPARE_SPANS: usize = 200;
/// Time in milliseconds that a request takes at a service of which nothing is known.
const UNKNOWN_TIME_MS: f64 = 120.0;

/// An upstream that may own keys, and its load.
#[derive(Debug, Clone)]
struct Candidate {
    owner: Owner,
    /// Requests per second that it can carry.
    capacity: f64,
    /// Requests per second for the keys that it owns.
    rate: f64,
    /// Keys that it owns.
    keys: f64,
}

impl Candidate {
    fn utilization(&self) -> f64 {
        self.rate / self.capacity
    }
}

fn owner_of(m: &UpstreamInfo) -> Owner {
    Owner { id: m.id.clone(), started: m.started }
}

/// Plans the owners of keys that have none or whose owner may not keep them, and moves for balance.
///
/// `planned` holds the owners as they will be once the moves in `moving` are through; keys in
/// `settling` moved lately and are not moved for balance.
#[must_use]
pub fn plan(
    planned: &KeyMap,
    moving: &[KeyRange],
    settling: &[KeyRange],
    upstreams: &[Arc<UpstreamInfo>],
    traffic: &TrafficStats,
) -> Vec<Reassignment> {
    let mut candidates = candidates(planned, upstreams, traffic);
    if candidates.is_empty() {
        return Vec::new();
    }
    let mut changes = Vec::new();
    let gaps = planned.gaps();
    let homeless = homeless(planned, upstreams);
    if planned.spans.is_empty() {
        return deal_out(&candidates);
    }
    for range in gaps.into_iter().chain(homeless) {
        place(range, &mut candidates, traffic, &mut changes);
    }
    if planned.spans.len() >= MAX_SPANS - SPARE_SPANS {
        return changes;
    }
    let open = MAX_MOVES.max(candidates.len() / UPSTREAMS_PER_MOVE).saturating_sub(moving.len());
    let fixed: Vec<KeyRange> = moving.iter().chain(settling).copied().collect();
    let moving = &fixed[..];
    if changes.is_empty() {
        fill_newcomers(planned, moving, &mut candidates, traffic, &mut changes);
    }
    if changes.is_empty() {
        promote(planned, moving, &mut candidates, traffic, &mut changes);
    }
    if changes.is_empty() && planned.spans.len() < MAX_RANGES * candidates.len() {
        balance(planned, moving, open, &mut candidates, traffic, &mut changes);
    }
    changes
}

fn candidates(
    planned: &KeyMap,
    upstreams: &[Arc<UpstreamInfo>],
    traffic: &TrafficStats,
) -> Vec<Candidate> {
    let common = traffic.mean_response_time().unwrap_or(UNKNOWN_TIME_MS);
    let mut found: Vec<Candidate> = upstreams
        .iter()
        .filter(|m| !m.leaving)
        .map(|m| {
            let time = traffic.response_time(&m.id, common).max(1.0);
            let capacity = f64::from(m.concurrency.max(1)) * 1_000.0 / time;
            Candidate { owner: owner_of(m), capacity, rate: 0.0, keys: 0.0 }
        })
        .collect();
    found.sort_by(|a, b| a.owner.id.cmp(&b.owner.id));
    let index: HashMap<Owner, usize> =
        found.iter().enumerate().map(|(n, c)| (c.owner.clone(), n)).collect();
    for span in &planned.spans {
        if let Some(n) = index.get(&span.owner) {
            found[*n].rate += traffic.rate(&span.range);
            found[*n].keys += f64::from(span.range.len());
        }
    }
    found
}

/// Returns the ranges whose owner is not among the members that may own keys.
fn homeless(planned: &KeyMap, upstreams: &[Arc<UpstreamInfo>]) -> Vec<KeyRange> {
    let stays =
        |o: &Owner| upstreams.iter().any(|m| !m.leaving && m.is_incarnation(&o.id, o.started));
    planned.spans.iter().filter(|s| !stays(&s.owner)).map(|s| s.range).collect()
}

/// Deals all keys out in stripes, by capacity.
fn deal_out(candidates: &[Candidate]) -> Vec<Reassignment> {
    let stripes = DEALT_RANGES / u32::try_from(candidates.len()).unwrap_or(1).max(1);
    let stripes = stripes.clamp(1, STRIPES);
    let total: f64 = candidates.iter().map(|c| c.capacity).sum::<f64>() * f64::from(stripes);
    let last = f64::from(Key::MAX);
    let mut changes = Vec::new();
    let mut sum = 0.0;
    let mut from = 0u32;
    for _ in 0..stripes {
        for c in candidates {
            sum += c.capacity;
            #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "a key")]
            let to = (last * (sum / total)).round().clamp(0.0, last) as u16;
            if u32::from(to) < from {
                continue;
            }
            #[expect(clippy::cast_possible_truncation, reason = "a key")]
            let range = KeyRange::new(from as u16, to);
            changes.push(Reassignment { range, to: c.owner.clone(), owner_lost: false });
            from = u32::from(to) + 1;
        }
    }
    changes
}

/// Returns in how many parts a range is given away: more only where it is busy or very wide, as
/// each part costs a renewal.
fn parts_of(range: KeyRange, candidates: &[Candidate], traffic: &TrafficStats) -> u32 {
    #[expect(clippy::cast_precision_loss, reason = "small numbers")]
    let typical = candidates.iter().map(|c| c.capacity).sum::<f64>() / candidates.len() as f64;
    let by_load = traffic.rate(&range) / (PART_LOAD * typical);
    let by_width = f64::from(range.len()) / PART_KEYS;
    #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "positive")]
    let parts = by_load.max(by_width).ceil() as u32;
    let most = STRIPES.min(u32::try_from(candidates.len()).unwrap_or(1));
    parts.clamp(1, most.min(range.len()))
}

/// Gives a range to the upstreams with the most room.
fn place(
    range: KeyRange,
    candidates: &mut [Candidate],
    traffic: &TrafficStats,
    changes: &mut Vec<Reassignment>,
) {
    let parts = parts_of(range, candidates, traffic);
    let step = range.len() / parts;
    let mut from = u32::from(range.from);
    for n in 0..parts {
        let end = if n + 1 == parts { u32::from(range.to) } else { from + step - 1 };
        #[expect(clippy::cast_possible_truncation, reason = "keys of a range")]
        let part = KeyRange::new(from as u16, end as u16);
        from = end + 1;
        let rate = traffic.rate(&part);
        let after = |c: &Candidate| {
            let rate = (c.rate + rate) / c.capacity;
            // Without load, the number of keys decides.
            rate + 0.000_01 * c.keys / c.capacity
        };
        let best = candidates.iter_mut().min_by(|a, b| after(a).total_cmp(&after(b)));
        if let Some(c) = best {
            c.rate += rate;
            c.keys += f64::from(part.len());
            changes.push(Reassignment { range: part, to: c.owner.clone(), owner_lost: true });
        }
    }
}

/// Gives upstreams that own nothing a share of the keys of the busiest ones.
fn fill_newcomers(
    planned: &KeyMap,
    moving: &[KeyRange],
    candidates: &mut [Candidate],
    traffic: &TrafficStats,
    changes: &mut Vec<Reassignment>,
) {
    let total: f64 = candidates.iter().map(|c| c.capacity).sum();
    let newcomers: Vec<usize> =
        (0..candidates.len()).filter(|n| candidates[*n].keys < 1.0).collect();
    for n in newcomers {
        let share = f64::from(crate::keymap::KEY_COUNT) * candidates[n].capacity / total;
        for _ in 0..2 {
            let busy: Vec<KeyRange> =
                moving.iter().copied().chain(changes.iter().map(|c| c.range)).collect();
            let Some(giver) = widest(planned, &busy, candidates, n) else {
                break;
            };
            let want = (share / 2.0).min(f64::from(giver.len()) / 2.0).max(1.0);
            #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "a key")]
            let from = (f64::from(giver.to) - want + 1.0) as u16;
            let range = KeyRange::new(from.max(giver.from), giver.to);
            candidates[n].keys += f64::from(range.len());
            candidates[n].rate += traffic.rate(&range);
            let to = candidates[n].owner.clone();
            changes.push(Reassignment { range, to, owner_lost: false });
        }
    }
}

/// Returns the widest range of the busiest upstreams that nothing is moved from.
fn widest(
    planned: &KeyMap,
    taken: &[KeyRange],
    candidates: &[Candidate],
    not: usize,
) -> Option<KeyRange> {
    let weight = |s: &crate::keymap::Span| {
        let owner = candidates.iter().find(|c| c.owner == s.owner);
        let load = owner.map_or(0.0, |c| 0.1 + c.utilization());
        f64::from(s.range.len()) * load
    };
    planned
        .spans
        .iter()
        .filter(|s| s.owner != candidates[not].owner && s.range.len() > 1)
        .filter(|s| !taken.iter().any(|t| t.overlaps(&s.range)))
        .max_by(|a, b| weight(a).total_cmp(&weight(b)))
        .map(|s| s.range)
}

/// Moves busy ranges from the upstreams with the highest utilization to those with the lowest.
fn balance(
    planned: &KeyMap,
    moving: &[KeyRange],
    open: usize,
    candidates: &mut [Candidate],
    traffic: &TrafficStats,
    changes: &mut Vec<Reassignment>,
) {
    let capacity: f64 = candidates.iter().map(|c| c.capacity).sum();
    let average = candidates.iter().map(|c| c.rate).sum::<f64>() / capacity;
    let mut spent: Vec<usize> = Vec::new();
    for _ in 0..open {
        let by_use = |a: &&usize, b: &&usize| {
            candidates[**a].utilization().total_cmp(&candidates[**b].utilization())
        };
        let givers: Vec<usize> = (0..candidates.len()).filter(|n| !spent.contains(n)).collect();
        let Some(giver) = givers.iter().max_by(by_use).copied() else {
            return;
        };
        let all: Vec<usize> = (0..candidates.len()).collect();
        let Some(taker) = all.iter().min_by(by_use).copied() else {
            return;
        };
        let use_now = candidates[giver].utilization();
        if use_now < BUSY.max(average + EXCESS) || giver == taker {
            return;
        }
        let room = (average - candidates[taker].utilization()) * candidates[taker].capacity;
        let excess = (use_now - average) * candidates[giver].capacity;
        let busy: Vec<KeyRange> =
            moving.iter().copied().chain(changes.iter().map(|c| c.range)).collect();
        let owner = &candidates[giver].owner;
        let Some((range, rate)) = narrowest(planned, owner, &busy, traffic, excess.min(room))
        else {
            spent.push(giver);
            continue;
        };
        let after = (candidates[taker].rate + rate) / candidates[taker].capacity;
        if after + MIN_GAIN > use_now {
            spent.push(giver);
            continue;
        }
        candidates[giver].rate -= rate;
        candidates[giver].keys -= f64::from(range.len());
        candidates[taker].rate += rate;
        candidates[taker].keys += f64::from(range.len());
        let to = candidates[taker].owner.clone();
        changes.push(Reassignment { range, to, owner_lost: false });
    }
}

/// Returns the range of an owner that takes about `amount` requests per second off it with the
/// fewest keys, and its rate; less than that where there is no such range.
fn narrowest(
    planned: &KeyMap,
    owner: &Owner,
    taken: &[KeyRange],
    traffic: &TrafficStats,
    amount: f64,
) -> Option<(KeyRange, f64)> {
    let most = 1.2 * amount;
    let mut best: Option<(KeyRange, f64)> = None;
    let spans = planned.spans.iter().filter(|s| s.owner == *owner);
    for span in spans.filter(|s| !taken.iter().any(|t| t.overlaps(&s.range))) {
        for (range, sum) in windows(span.range, traffic, most) {
            // Half of the amount is enough; below that, more load goes before fewer keys.
            let worth = |sum: f64, range: &KeyRange| {
                let keys = f64::from(range.len()).sqrt();
                if sum >= 0.5 * amount { (true, sum / keys) } else { (false, sum) }
            };
            if best.as_ref().is_none_or(|b| worth(sum, &range) > worth(b.1, &b.0)) {
                best = Some((range, sum));
            }
        }
    }
    best.filter(|(_, sum)| *sum >= MIN_RATE)
}

/// Returns, for each key with load, the widest range that ends there with at most `most` requests
/// per second.
fn windows(range: KeyRange, traffic: &TrafficStats, most: f64) -> Vec<(KeyRange, f64)> {
    let rates = traffic.rates();
    let mut found = Vec::new();
    let mut from = range.from;
    let mut sum = 0.0;
    for to in range.from..=range.to {
        let rate = f64::from(rates[usize::from(to)]);
        if rate < 1e-3 {
            continue;
        }
        sum += rate;
        while from < to && (sum > most || rates[usize::from(from)] < 1e-3) {
            sum -= f64::from(rates[usize::from(from)]);
            from += 1;
        }
        if sum <= most {
            found.push((KeyRange::new(from, to), sum));
        }
    }
    found
}

/// Moves keys that alone take much of an upstream to the fastest ones.
fn promote(
    planned: &KeyMap,
    moving: &[KeyRange],
    candidates: &mut [Candidate],
    traffic: &TrafficStats,
    changes: &mut Vec<Reassignment>,
) {
    let fastest = candidates.iter().map(|c| c.capacity).fold(0.0, f64::max);
    let mut reserved: Vec<Owner> = Vec::new();
    for (key, rate) in heavy_keys(traffic, HEAVY * fastest) {
        let Some(owner) = planned.find(key).map(|s| s.owner.clone()) else {
            continue;
        };
        let range = KeyRange::new(key, key);
        let own = candidates.iter().find(|c| c.owner == owner).map_or(0.0, |c| c.capacity);
        let moves = moving.iter().any(|m| m.overlaps(&range));
        if moves || own * PROMOTION >= fastest || reserved.contains(&owner) {
            reserved.push(owner);
            continue;
        }
        let free = candidates.iter_mut().filter(|c| !reserved.contains(&c.owner));
        let best = free.max_by(|a, b| (a.capacity - a.rate).total_cmp(&(b.capacity - b.rate)));
        if let Some(c) = best.filter(|c| c.capacity > own * PROMOTION) {
            c.rate += rate;
            reserved.push(c.owner.clone());
            changes.push(Reassignment { range, to: c.owner.clone(), owner_lost: false });
        }
    }
}

/// Returns the keys with at least `rate` requests per second, busiest first.
fn heavy_keys(traffic: &TrafficStats, rate: f64) -> Vec<(Key, f64)> {
    let keys = traffic.rates().iter().zip(0..=Key::MAX);
    let heavy = keys.map(|(r, key)| (key, f64::from(*r))).filter(|(_, r)| *r >= rate);
    let mut found: Vec<(Key, f64)> = heavy.collect();
    found.sort_by(|a, b| b.1.total_cmp(&a.1));
    found
}
