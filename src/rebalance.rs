//! Planning of the owners of a service's keys in `mulberryspur-platform`: every eligible upstream
//! gets some keys, and busy keys are spread by the upstreams' capacity.

use crate::{
    collections::HashMap,
    coordinator::Reassignment,
    keymap::{Key, KeyMap, KeyRange, MAX_SPANS, Owner},
    routing_config::UpstreamInfo,
    traffic::TrafficStats,
};
use std::sync::Arc;

/// Maximum number of ranges that an upstream gets in the first assignment, and that a range is
/// split into for new owners. Busy keys lie close to one another, so a share of several separate
/// ranges evens the load out; but each range costs a renewal.
const MAX_PARTS: u32 = 4;
/// Maximum number of ranges in the first assignment, unless there are more upstreams: each gets at
/// least one, and of many upstreams each gets just one, as each range costs a renewal.
const INITIAL_RANGES: u32 = 96;
/// How far an upstream's utilization must exceed the average for keys to move away from it.
const MIN_EXCESS: f64 = 0.15;
/// Utilization of an upstream below which nothing is moved away from it for balance.
const MIN_SOURCE_UTILIZATION: f64 = 0.45;
/// How far the target's utilization after a move must stay below the source's before it.
const MIN_UTILIZATION_GAIN: f64 = 0.08;
/// Requests per second below which nothing is moved for balance.
const MIN_MOVED_RATE: f64 = 1.0;
/// Share of the largest capacity of an upstream from which the rate of a single key makes it hot.
/// Such a key cannot be split, only moved.
const HOT_KEY_SHARE: f64 = 0.5;
/// Factor by which another upstream's capacity must exceed the owner's for a hot key to move there.
const MIN_CAPACITY_FACTOR: f64 = 1.25;
/// Number of moves in progress, of whatever kind, from which [`balance`] starts no more, unless
/// [`UPSTREAMS_PER_MOVE`] allows more.
const MAX_PARALLEL_MOVES: usize = 8;
/// Number of upstreams for each move that may be in progress.
const UPSTREAMS_PER_MOVE: usize = 4;
/// Average number of ranges per upstream from which [`balance`] moves nothing, as its moves split
/// ranges and each range costs a renewal. Empty upstreams still get keys, and hot keys still move.
const MAX_RANGES_PER_UPSTREAM: usize = 10;
/// Load per part when a range is split among new owners, as a share of the mean capacity.
const PART_CAPACITY_SHARE: f64 = 0.2;
/// Number of keys per part when a range is split among new owners.
const PART_KEYS: f64 = 6_000.0;
/// Number of spans of a map that are reserved for keys whose owner is lost.
const RESERVED_SPANS: usize = 200;
/// Least requests per second that an upstream is taken to serve, however low its limit.
const MIN_CAPACITY: f64 = 0.1;
/// Response time in milliseconds that is assumed for a service without any measured one.
const DEFAULT_RESPONSE_MS: f64 = 120.0;

/// An upstream that may own keys, and its load.
#[derive(Debug, Clone)]
struct Candidate {
    owner: Owner,
    /// Requests per second that it can carry.
    capacity: f64,
    /// Requests per second for the keys that it owns.
    rate: f64,
    /// Number of keys that it owns.
    keys: f64,
}

impl Candidate {
    fn utilization(&self) -> f64 {
        self.rate / self.capacity
    }
}

/// Returns the mean response time in milliseconds that capacities are based on.
pub(crate) fn mean_response_time(traffic: &TrafficStats) -> f64 {
    traffic.mean_response_time().unwrap_or(DEFAULT_RESPONSE_MS)
}

/// Returns the requests per second that an upstream can serve, where `mean_time` is
/// [`mean_response_time`], or that it takes if it has named a limit or is cold.
pub(crate) fn capacity(u: &UpstreamInfo, traffic: &TrafficStats, mean_time: f64) -> f64 {
    let time = traffic.response_time(&u.id, mean_time).max(1.0);
    let by_time = f64::from(u.concurrency.max(1)) * 1_000.0 / time;
    let limits = traffic.rate_limit(&u.id).into_iter().chain(traffic.cold_rate(&u.id));
    limits.reduce(f64::min).map_or(by_time, |limit| by_time.min(limit).max(MIN_CAPACITY))
}

fn owner_of(u: &UpstreamInfo) -> Owner {
    Owner { id: u.id.clone(), started: u.started }
}

/// Plans the owners without a limit of spans, see [`plan_within`].
#[must_use]
pub fn plan(
    planned: &KeyMap,
    moving: &[KeyRange],
    recently_moved: &[KeyRange],
    upstreams: &[Arc<UpstreamInfo>],
    traffic: &TrafficStats,
) -> Vec<Reassignment> {
    plan_within(MAX_SPANS, planned, moving, recently_moved, upstreams, traffic)
}

/// Plans the owners of keys that have none or whose owner may not keep them, and moves for balance.
///
/// `planned` holds the owners as they will be once the moves of the ranges in `moving` are
/// committed; keys in `recently_moved` are not moved for balance. From `max_spans` spans on, as many
/// as the coordinator can renew, nothing is split.
#[must_use]
pub fn plan_within(
    max_spans: usize,
    planned: &KeyMap,
    moving: &[KeyRange],
    recently_moved: &[KeyRange],
    upstreams: &[Arc<UpstreamInfo>],
    traffic: &TrafficStats,
) -> Vec<Reassignment> {
    let mut candidates = candidates(planned, upstreams, traffic);
    if candidates.is_empty() {
        return Vec::new();
    }
    let mut changes = Vec::new();
    let gaps = planned.gaps();
    let orphaned_ranges = orphaned_ranges(planned, upstreams);
    if planned.spans.is_empty() {
        return assign_initially(&candidates);
    }
    // A third of all ranges may have lost their owner at once, and each may be split.
    let mut spare_spans = (MAX_SPANS - RESERVED_SPANS).saturating_sub(planned.spans.len());
    for range in gaps.into_iter().chain(orphaned_ranges) {
        let before = changes.len();
        let max_parts = if planned.spans.len() < max_spans { spare_spans + 1 } else { 1 };
        assign_range(range, max_parts, &mut candidates, traffic, &mut changes);
        spare_spans = spare_spans.saturating_sub((changes.len() - before).saturating_sub(1));
    }
    if planned.spans.len() >= MAX_SPANS - RESERVED_SPANS {
        return changes;
    }
    let moves_left =
        MAX_PARALLEL_MOVES.max(candidates.len() / UPSTREAMS_PER_MOVE).saturating_sub(moving.len());
    let excluded: Vec<KeyRange> = moving.iter().chain(recently_moved).copied().collect();
    let excluded = &excluded[..];
    if changes.is_empty() {
        fill_empty_upstreams(planned, excluded, &mut candidates, traffic, &mut changes);
    }
    if changes.is_empty() {
        move_hot_keys(planned, excluded, &mut candidates, traffic, &mut changes);
    }
    let max_balanced = max_spans.min(MAX_RANGES_PER_UPSTREAM * candidates.len());
    if changes.is_empty() && planned.spans.len() < max_balanced {
        balance(planned, excluded, moves_left, &mut candidates, traffic, &mut changes);
    }
    changes
}

fn candidates(
    planned: &KeyMap,
    upstreams: &[Arc<UpstreamInfo>],
    traffic: &TrafficStats,
) -> Vec<Candidate> {
    let mean_time = mean_response_time(traffic);
    let mut found: Vec<Candidate> = upstreams
        .iter()
        .filter(|u| !u.leaving)
        .map(|u| {
            let capacity = capacity(u, traffic, mean_time);
            Candidate { owner: owner_of(u), capacity, rate: 0.0, keys: 0.0 }
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

/// Returns the ranges whose owner has gone or is leaving.
fn orphaned_ranges(planned: &KeyMap, upstreams: &[Arc<UpstreamInfo>]) -> Vec<KeyRange> {
    let may_keep =
        |o: &Owner| upstreams.iter().any(|u| !u.leaving && u.is_incarnation(&o.id, o.started));
    planned.spans.iter().filter(|s| !may_keep(&s.owner)).map(|s| s.range).collect()
}

/// Assigns all keys, in up to [`MAX_PARTS`] passes that give each upstream a range. Each upstream's
/// share is proportional to its capacity.
fn assign_initially(candidates: &[Candidate]) -> Vec<Reassignment> {
    let passes = INITIAL_RANGES / u32::try_from(candidates.len()).unwrap_or(1).max(1);
    let passes = passes.clamp(1, MAX_PARTS);
    let total: f64 = candidates.iter().map(|c| c.capacity).sum::<f64>() * f64::from(passes);
    let last = f64::from(Key::MAX);
    let mut changes = Vec::new();
    let mut sum = 0.0;
    let mut from = 0u32;
    for _ in 0..passes {
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

/// Returns the number of parts that a range is split into for new owners: several only where it is
/// busy or very wide, as each part costs a renewal.
fn part_count(range: KeyRange, candidates: &[Candidate], traffic: &TrafficStats) -> u32 {
    #[expect(clippy::cast_precision_loss, reason = "small numbers")]
    let mean_capacity =
        candidates.iter().map(|c| c.capacity).sum::<f64>() / candidates.len() as f64;
    let by_load = traffic.rate(&range) / (PART_CAPACITY_SHARE * mean_capacity);
    let by_width = f64::from(range.len()) / PART_KEYS;
    #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "positive")]
    let parts = by_load.max(by_width).ceil() as u32;
    let max_parts = MAX_PARTS.min(u32::try_from(candidates.len()).unwrap_or(1));
    parts.clamp(1, max_parts.min(range.len()))
}

/// Assigns a range, in up to `max_parts` parts, to the upstreams that will have the lowest utilization.
fn assign_range(
    range: KeyRange,
    max_parts: usize,
    candidates: &mut [Candidate],
    traffic: &TrafficStats,
    changes: &mut Vec<Reassignment>,
) {
    let max_parts = u32::try_from(max_parts).unwrap_or(u32::MAX);
    let parts = part_count(range, candidates, traffic).min(max_parts);
    let step = range.len() / parts;
    let mut from = u32::from(range.from);
    for n in 0..parts {
        let end = if n + 1 == parts { u32::from(range.to) } else { from + step - 1 };
        #[expect(clippy::cast_possible_truncation, reason = "keys of a range")]
        let part = KeyRange::new(from as u16, end as u16);
        from = end + 1;
        let rate = traffic.rate(&part);
        let utilization_after = |c: &Candidate| {
            let utilization = (c.rate + rate) / c.capacity;
            // Without traffic, the number of keys decides.
            utilization + 0.000_01 * c.keys / c.capacity
        };
        let best = candidates
            .iter_mut()
            .min_by(|a, b| utilization_after(a).total_cmp(&utilization_after(b)));
        if let Some(c) = best {
            c.rate += rate;
            c.keys += f64::from(part.len());
            changes.push(Reassignment { range: part, to: c.owner.clone(), owner_lost: true });
        }
    }
}

/// Moves keys to the upstreams that own none, in proportion to their capacity.
///
/// Each gets up to two ranges, each at most about half of the range that it is cut from; wide
/// ranges of busy upstreams come first.
fn fill_empty_upstreams(
    planned: &KeyMap,
    excluded: &[KeyRange],
    candidates: &mut [Candidate],
    traffic: &TrafficStats,
    changes: &mut Vec<Reassignment>,
) {
    let total: f64 = candidates.iter().map(|c| c.capacity).sum();
    let empty_upstreams: Vec<usize> =
        (0..candidates.len()).filter(|n| candidates[*n].keys < 1.0).collect();
    for n in empty_upstreams {
        let share = f64::from(crate::keymap::KEY_COUNT) * candidates[n].capacity / total;
        for _ in 0..2 {
            let taken: Vec<KeyRange> =
                excluded.iter().copied().chain(changes.iter().map(|c| c.range)).collect();
            let Some(source) = range_for_empty_upstream(planned, &taken, candidates, n) else {
                break;
            };
            let wanted_keys = (share / 2.0).min(f64::from(source.len()) / 2.0).max(1.0);
            #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "a key")]
            let from = (f64::from(source.to) - wanted_keys + 1.0) as u16;
            let range = KeyRange::new(from.max(source.from), source.to);
            candidates[n].keys += f64::from(range.len());
            candidates[n].rate += traffic.rate(&range);
            let to = candidates[n].owner.clone();
            changes.push(Reassignment { range, to, owner_lost: false });
        }
    }
}

/// Returns the range from which `target` gets keys: the one with the highest
/// `keys * (0.1 + utilization of its owner)`; the 0.1 makes ranges of idle owners count too. Ranges
/// of one key and ranges that overlap one in `taken` are left out.
fn range_for_empty_upstream(
    planned: &KeyMap,
    taken: &[KeyRange],
    candidates: &[Candidate],
    target: usize,
) -> Option<KeyRange> {
    let weight = |s: &crate::keymap::Span| {
        let owner = candidates.iter().find(|c| c.owner == s.owner);
        let load = owner.map_or(0.0, |c| 0.1 + c.utilization());
        f64::from(s.range.len()) * load
    };
    planned
        .spans
        .iter()
        .filter(|s| s.owner != candidates[target].owner && s.range.len() > 1)
        .filter(|s| !taken.iter().any(|t| t.overlaps(&s.range)))
        .max_by(|a, b| weight(a).total_cmp(&weight(b)))
        .map(|s| s.range)
}

/// Moves busy ranges from the upstreams with the highest utilization to those with the lowest.
fn balance(
    planned: &KeyMap,
    excluded: &[KeyRange],
    moves_left: usize,
    candidates: &mut [Candidate],
    traffic: &TrafficStats,
    changes: &mut Vec<Reassignment>,
) {
    let capacity: f64 = candidates.iter().map(|c| c.capacity).sum();
    let average = candidates.iter().map(|c| c.rate).sum::<f64>() / capacity;
    let mut exhausted: Vec<usize> = Vec::new();
    for _ in 0..moves_left {
        let by_utilization = |a: &&usize, b: &&usize| {
            candidates[**a].utilization().total_cmp(&candidates[**b].utilization())
        };
        let sources: Vec<usize> =
            (0..candidates.len()).filter(|n| !exhausted.contains(n)).collect();
        let Some(source) = sources.iter().max_by(by_utilization).copied() else {
            return;
        };
        let spare_rate =
            |n: usize| (average - candidates[n].utilization()) * candidates[n].capacity;
        // One with a small capacity may be little used and yet have no room.
        let with_room: Vec<usize> =
            (0..candidates.len()).filter(|n| spare_rate(*n) >= MIN_MOVED_RATE).collect();
        let Some(target) = with_room.iter().min_by(by_utilization).copied() else {
            return;
        };
        let source_utilization = candidates[source].utilization();
        if source_utilization < MIN_SOURCE_UTILIZATION.max(average + MIN_EXCESS) || source == target
        {
            return;
        }
        let excess = (source_utilization - average) * candidates[source].capacity;
        let taken: Vec<KeyRange> =
            excluded.iter().copied().chain(changes.iter().map(|c| c.range)).collect();
        let owner = &candidates[source].owner;
        let Some((range, rate)) =
            best_range_to_move(planned, owner, &taken, traffic, excess.min(spare_rate(target)))
        else {
            exhausted.push(source);
            continue;
        };
        let utilization_after = (candidates[target].rate + rate) / candidates[target].capacity;
        if utilization_after + MIN_UTILIZATION_GAIN > source_utilization {
            exhausted.push(source);
            continue;
        }
        candidates[source].rate -= rate;
        candidates[source].keys -= f64::from(range.len());
        candidates[target].rate += rate;
        candidates[target].keys += f64::from(range.len());
        let to = candidates[target].owner.clone();
        changes.push(Reassignment { range, to, owner_lost: false });
    }
}

/// Returns a range of `owner` with about `amount` requests per second and few keys, and its rate; a
/// range with less traffic where there is no such one.
fn best_range_to_move(
    planned: &KeyMap,
    owner: &Owner,
    taken: &[KeyRange],
    traffic: &TrafficStats,
    amount: f64,
) -> Option<(KeyRange, f64)> {
    let max_rate = 1.2 * amount;
    let mut best: Option<(KeyRange, f64)> = None;
    let spans = planned.spans.iter().filter(|s| s.owner == *owner);
    for span in spans.filter(|s| !taken.iter().any(|t| t.overlaps(&s.range))) {
        for (range, sum) in ranges_up_to_rate(span.range, traffic, max_rate) {
            // Half of the amount is enough: among such ranges, the one with the highest rate for
            // the square root of its number of keys wins. Otherwise, the one with the highest rate
            // wins.
            let score = |sum: f64, range: &KeyRange| {
                let keys = f64::from(range.len()).sqrt();
                if sum >= 0.5 * amount { (true, sum / keys) } else { (false, sum) }
            };
            if best.as_ref().is_none_or(|b| score(sum, &range) > score(b.1, &b.0)) {
                best = Some((range, sum));
            }
        }
    }
    best.filter(|(_, sum)| *sum >= MIN_MOVED_RATE)
}

/// Returns, for each key of `range` with traffic, the widest part of `range` that starts at a key
/// with traffic, ends at this one and has at most `max_rate` requests per second, with its rate;
/// none where the key alone has more. Keys with less than 0.001 requests per second count as
/// without traffic.
fn ranges_up_to_rate(
    range: KeyRange,
    traffic: &TrafficStats,
    max_rate: f64,
) -> Vec<(KeyRange, f64)> {
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
        while from < to && (sum > max_rate || rates[usize::from(from)] < 1e-3) {
            sum -= f64::from(rates[usize::from(from)]);
            from += 1;
        }
        if sum <= max_rate {
            found.push((KeyRange::new(from, to), sum));
        }
    }
    found
}

/// Moves keys that alone take much of an upstream's capacity to upstreams with a higher capacity.
fn move_hot_keys(
    planned: &KeyMap,
    excluded: &[KeyRange],
    candidates: &mut [Candidate],
    traffic: &TrafficStats,
    changes: &mut Vec<Reassignment>,
) {
    let max_capacity = candidates.iter().map(|c| c.capacity).fold(0.0, f64::max);
    // Upstreams that get no more hot keys and keep their own: those that have got one here, and
    // those that have one that may not move, or whose capacity is close to the largest.
    let mut reserved: Vec<Owner> = Vec::new();
    for (key, rate) in hot_keys(traffic, HOT_KEY_SHARE * max_capacity) {
        let Some(owner) = planned.find(key).map(|s| s.owner.clone()) else {
            continue;
        };
        let range = KeyRange::new(key, key);
        let own_capacity = candidates.iter().find(|c| c.owner == owner).map_or(0.0, |c| c.capacity);
        let is_excluded = excluded.iter().any(|m| m.overlaps(&range));
        if is_excluded
            || own_capacity * MIN_CAPACITY_FACTOR >= max_capacity
            || reserved.contains(&owner)
        {
            reserved.push(owner);
            continue;
        }
        let available = candidates.iter_mut().filter(|c| !reserved.contains(&c.owner));
        let best = available.max_by(|a, b| (a.capacity - a.rate).total_cmp(&(b.capacity - b.rate)));
        if let Some(c) = best.filter(|c| c.capacity > own_capacity * MIN_CAPACITY_FACTOR) {
            c.rate += rate;
            reserved.push(c.owner.clone());
            changes.push(Reassignment { range, to: c.owner.clone(), owner_lost: false });
        }
    }
}

/// Returns the keys with at least `rate` requests per second, busiest first.
fn hot_keys(traffic: &TrafficStats, rate: f64) -> Vec<(Key, f64)> {
    let keys = traffic.rates().iter().zip(0..=Key::MAX);
    let hot = keys.map(|(r, key)| (key, f64::from(*r))).filter(|(_, r)| *r >= rate);
    let mut found: Vec<(Key, f64)> = hot.collect();
    found.sort_by(|a, b| b.1.total_cmp(&a.1));
    found
}
