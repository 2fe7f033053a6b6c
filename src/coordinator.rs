//! Decisions of the instance that holds a service's lease: which grants to renew, which keys to
//! take back, and what to commit.
//!
//! A new coordinator first commits the owners that it found with a new fence. Grants of its predecessor
//! that are still on their way are refused by every owner that has taken the new fence.
//!
//! A key changes its owner in this order: renewals stop, the owner releases the key or every grant
//! that covers it has run out, the new owner is committed with a higher fence, and only then it is
//! granted. A grant without an answer may be carried out late, so a release settles a key only if
//! no such grant is left.

use crate::{
    clock::Millis,
    collections::HashMap,
    keymap::{KeyMap, KeyRange, Owner, Span, subtract},
};
use std::sync::Arc;

/// Identity of an order to an upstream.
pub type OrderId = u64;

/// Times that grants are made with, in milliseconds.
#[derive(Debug, Clone, Copy)]
pub struct GrantTimes {
    /// How long a grant lasts while the store answers.
    pub hold: Millis,
    /// How long a grant lasts while the store does not answer, at most what upstreams accept.
    pub outage_hold: Millis,
    /// Time between renewals.
    pub renew_interval: Millis,
    /// Time until a grant that was refused or not answered is sent again.
    pub retry_delay: Millis,
}

/// Share by which an upstream's clock may run slow, in thousandths.
const DRIFT_PER_MILLE: Millis = 20;
/// Time in milliseconds in which a grant arrives or is dropped: senders give up after 400.
const TRANSIT_MS: Millis = 450;
/// Time in milliseconds after which an unanswered release is sent again.
const RELEASE_RETRY_MS: Millis = 700;

/// How long a grant lasts in milliseconds that only makes an owner take a new fence.
const FENCE_HOLD_MS: Millis = 300;
/// Time in milliseconds between telling the instances that keys are about to move and asking for
/// their release: several times the way between data centres.
const NOTICE_MS: Millis = 15;

/// A grant to send.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct GrantOrder {
    /// Identity of the order.
    pub id: OrderId,
    /// The keys.
    pub range: KeyRange,
    /// Who gets them.
    pub owner: Owner,
    /// Fencing token.
    pub fence: u64,
    /// How long the grant lasts from its arrival, in milliseconds.
    pub hold: Millis,
    /// What the last owner handed over.
    pub handover: Option<Arc<str>>,
}

/// A release to ask for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReleaseOrder {
    /// Identity of the order.
    pub id: OrderId,
    /// The keys.
    pub range: KeyRange,
    /// Who holds them.
    pub owner: Owner,
    /// Fencing token with which they were granted.
    pub fence: u64,
}

/// How an order ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OrderOutcome {
    /// It was carried out; a release may bring what the next owner should be given.
    Done(Option<Arc<str>>),
    /// The upstream has seen a higher fence.
    Refused,
    /// Nothing of it reached the upstream.
    NotSent,
    /// It may be carried out at any later time.
    Unknown,
}

/// Keys that should get another owner.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Reassignment {
    /// The keys.
    pub range: KeyRange,
    /// Who should own them.
    pub to: Owner,
    /// Whether the present owner seems lost; the change is dropped if it comes back in time.
    pub owner_lost: bool,
}

/// Grants of a range that have been sent.
#[derive(Debug, Clone)]
struct Hold {
    range: KeyRange,
    owner: Owner,
    fence: u64,
    /// When the last answered one has run out for certain.
    answered_until: Millis,
    /// When the next one is due.
    due: Millis,
    /// Those that have not been answered, and when they have run out for certain.
    open: HashMap<OrderId, Open>,
    /// Whether one has been answered with success.
    granted: bool,
}

impl Hold {
    /// Returns when the last of the grants has run out for certain.
    fn until(&self) -> Millis {
        self.open.values().map(|o| o.until).fold(self.answered_until, Millis::max)
    }
}

/// A grant that has not been answered.
#[derive(Debug, Clone, Copy)]
struct Open {
    /// When it has run out for certain.
    until: Millis,
    /// Whether the sender still waits for the answer, so that it may be on its way.
    on_its_way: bool,
}

#[derive(Debug, Clone)]
struct Move {
    range: KeyRange,
    from: Option<(Owner, u64)>,
    to: Owner,
    release: Option<OrderId>,
    retry_at: Millis,
    released: bool,
    handover: Option<Arc<str>>,
    in_commit: bool,
    owner_lost: bool,
}

/// Keys of which an earlier coordinator may have granted an owner.
#[derive(Debug, Clone)]
struct Inherited {
    range: KeyRange,
    owner: Owner,
    /// Whether the owner has taken a higher fence: it refuses grants that are still on their way,
    /// but holds the keys until the last one that it has taken runs out.
    fenced: bool,
}

/// State of the instance that decides for one service.
#[derive(Debug)]
pub struct Coordinator {
    times: GrantTimes,
    map: KeyMap,
    revision: u64,
    /// What grants of earlier stewards may cover until `inherited_until`.
    inherited: Vec<Inherited>,
    inherited_until: Millis,
    /// When keys without an owner may be given to one: grants of owners that cannot be read may
    /// last until then.
    vacant_from: Millis,
    /// Whether the owners at the takeover are still to be committed with a new fence.
    refence: bool,
    holds: Vec<Hold>,
    moves: Vec<Move>,
    next_order: OrderId,
}

fn bound(sent: Millis, hold: Millis) -> Millis {
    sent + hold + hold * DRIFT_PER_MILLE / 1_000 + TRANSIT_MS
}

impl Coordinator {
    /// Creates the state of a new holder of the lease, from the committed owners.
    #[must_use]
    pub fn new(now: Millis, times: GrantTimes, map: KeyMap, revision: u64) -> Self {
        let owned = map.spans.iter();
        let inherited = owned
            .map(|s| Inherited { range: s.range, owner: s.owner.clone(), fenced: false })
            .collect();
        Self {
            times,
            inherited,
            inherited_until: bound(now, times.outage_hold),
            vacant_from: 0,
            refence: !map.spans.is_empty(),
            map,
            revision,
            holds: Vec::new(),
            moves: Vec::new(),
            next_order: 1,
        }
    }

    /// Creates the state of a new holder of the lease where the committed owners cannot be read: no
    /// key is given away before the longest grant of an unknown owner has run out.
    #[must_use]
    pub fn with_unreadable_owners(now: Millis, times: GrantTimes, revision: u64) -> Self {
        let vacant_from = bound(now, times.outage_hold);
        Self { vacant_from, ..Self::new(now, times, KeyMap::default(), revision) }
    }

    /// Returns the committed owners.
    #[must_use]
    pub fn owners(&self) -> &KeyMap {
        &self.map
    }

    /// Returns the revision of the committed owners, 0 before the first commit.
    #[must_use]
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns the owners as they will be once all moves are through.
    #[must_use]
    pub fn planned_owners(&self) -> KeyMap {
        let mut map = self.map.clone();
        for m in &self.moves {
            map.assign(Span {
                range: m.range,
                owner: m.to.clone(),
                fence: u64::MAX,
                handover: None,
            });
        }
        map
    }

    /// Gives all keys a new fence with the next commit, so that adjacent ranges of one owner join.
    pub fn refence_all(&mut self) {
        self.refence = true;
    }

    /// Returns how many ranges would join others with a new fence.
    #[must_use]
    pub fn mergeable_count(&self) -> usize {
        let pairs = self.map.spans.windows(2);
        pairs.filter(|w| w[0].owner == w[1].owner && w[0].fence != w[1].fence).count()
    }

    /// Returns the ranges that are about to change their owner.
    #[must_use]
    pub fn moving_ranges(&self) -> Vec<KeyRange> {
        self.moves.iter().map(|m| m.range).collect()
    }

    fn order_id(&mut self) -> OrderId {
        let id = self.next_order;
        self.next_order += 1;
        id
    }

    /// Returns the grants that are due, and counts them as sent at `now`.
    pub fn due_grants(&mut self, now: Millis, outage: bool) -> Vec<GrantOrder> {
        self.holds.retain(|h| h.until() > now || h.due > now);
        let hold = if outage { self.times.outage_hold } else { self.times.hold };
        let moving = self.moving_ranges();
        let mut orders = Vec::new();
        for span in self.map.spans.clone() {
            for range in subtract(span.range, moving.iter().copied()) {
                let known = self.hold_index(range, &span);
                if self.holds[known].due > now {
                    continue;
                }
                let handover = span.handover.clone().filter(|_| !self.holds[known].granted);
                let order = self.order(now, known, hold, self.times.renew_interval);
                orders.push(GrantOrder { handover, ..order });
            }
        }
        orders.extend(self.due_fences(now));
        orders
    }

    /// Makes the next grant of a range, and counts it as sent at `now`.
    fn order(&mut self, now: Millis, known: usize, hold: Millis, next: Millis) -> GrantOrder {
        let id = self.order_id();
        let h = &mut self.holds[known];
        h.due = now + next;
        h.open.insert(id, Open { until: bound(now, hold), on_its_way: true });
        let (range, owner, fence) = (h.range, h.owner.clone(), h.fence);
        GrantOrder { id, range, owner, fence, hold, handover: None }
    }

    /// Finds or creates the state of a range's grants.
    fn hold_index(&mut self, range: KeyRange, span: &Span) -> usize {
        let same = |h: &Hold| h.range == range && h.fence == span.fence && h.owner == span.owner;
        if let Some(n) = self.holds.iter().position(same) {
            return n;
        }
        // A part of a range that has been granted inherits when its next grant is due.
        let whole = self.holds.iter().find(|h| {
            h.fence == span.fence
                && h.owner == span.owner
                && h.range.intersection(&range) == Some(range)
        });
        let (due, granted) = whole.map_or((0, false), |h| (h.due, h.granted));
        let open = HashMap::default();
        let (owner, fence) = (span.owner.clone(), span.fence);
        self.holds.push(Hold { range, owner, fence, answered_until: 0, due, open, granted });
        self.holds.len() - 1
    }

    /// Makes all grants due at once.
    pub fn renew_all(&mut self) {
        self.holds.iter_mut().for_each(|h| h.due = 0);
    }

    /// Takes in how a grant ended.
    pub fn on_grant_outcome(&mut self, now: Millis, id: OrderId, outcome: &OrderOutcome) {
        let retry = now + self.times.retry_delay;
        let Some(h) = self.holds.iter_mut().find(|h| h.open.contains_key(&id)) else {
            return;
        };
        match outcome {
            OrderOutcome::Done(_) => {
                let until = h.open.remove(&id).map_or(0, |o| o.until);
                h.answered_until = h.answered_until.max(until);
                h.granted = true;
                let (range, owner) = (h.range, h.owner.clone());
                if !self.refence {
                    self.on_new_fence(range, &owner);
                }
            }
            OrderOutcome::Refused | OrderOutcome::NotSent => {
                h.open.remove(&id);
                h.due = h.due.min(retry);
            }
            OrderOutcome::Unknown => {
                h.due = h.due.min(retry);
                if let Some(open) = h.open.get_mut(&id) {
                    open.on_its_way = false;
                }
            }
        }
    }

    /// Notes that an owner has taken a fence of this coordinator: it refuses all earlier grants.
    fn on_new_fence(&mut self, range: KeyRange, owner: &Owner) {
        for old in std::mem::take(&mut self.inherited) {
            let part = old.range.intersection(&range).filter(|_| old.owner == *owner);
            let Some(part) = part.filter(|_| !old.fenced) else {
                self.inherited.push(old);
                continue;
            };
            let rest = old.range.without(&range).map(|range| Inherited { range, ..old.clone() });
            self.inherited.extend(rest);
            self.inherited.push(Inherited { range: part, fenced: true, ..old });
        }
    }

    /// Returns until when grants of earlier stewards may last.
    fn inherited_bound(&self, range: KeyRange, owner: &Owner) -> Millis {
        if self.inherits(range, owner).next().is_some() { self.inherited_until } else { 0 }
    }

    /// Returns until when grants of earlier stewards may still be taken.
    fn unfenced_until(&self, range: KeyRange, owner: &Owner) -> Millis {
        let unfenced = self.inherits(range, owner).any(|i| !i.fenced);
        if unfenced { self.inherited_until } else { 0 }
    }

    fn inherits(&self, range: KeyRange, owner: &Owner) -> impl Iterator<Item = &Inherited> {
        self.inherited.iter().filter(move |i| i.range.overlaps(&range) && i.owner == *owner)
    }

    /// Returns when the last grant of a part of `range` to `owner` has run out for certain.
    fn held_until(&self, range: KeyRange, owner: &Owner) -> Millis {
        let sent = self.holds.iter().filter(|h| h.owner == *owner && h.range.overlaps(&range));
        let sent = sent.map(Hold::until).max().unwrap_or(0);
        sent.max(self.inherited_bound(range, owner))
    }

    /// Returns until when a grant that was not answered may still be carried out.
    fn open_until(&self, now: Millis, range: KeyRange, owner: &Owner) -> Millis {
        let held = self.holds.iter().filter(|h| h.owner == *owner && h.range.overlaps(&range));
        let open = held.flat_map(|h| h.open.values()).map(|o| o.until).filter(|t| *t > now).max();
        open.unwrap_or(0).max(self.unfenced_until(range, owner))
    }

    /// Begins to move keys; parts that are moving already or stay with their owner are left out.
    pub fn reassign(&mut self, now: Millis, change: &Reassignment) {
        for range in subtract(change.range, self.moving_ranges()) {
            let owned: Vec<Span> =
                self.map.spans.iter().filter(|s| s.range.overlaps(&range)).cloned().collect();
            for gap in subtract(range, owned.iter().map(|s| s.range)) {
                self.begin(now, gap, None, change);
            }
            for span in owned.into_iter().filter(|s| s.owner != change.to) {
                if let Some(part) = span.range.intersection(&range) {
                    self.begin(now, part, Some((span.owner, span.fence)), change);
                }
            }
        }
    }

    fn begin(
        &mut self,
        now: Millis,
        range: KeyRange,
        from: Option<(Owner, u64)>,
        change: &Reassignment,
    ) {
        let (to, owner_lost) = (change.to.clone(), change.owner_lost);
        let released = from.is_none();
        let retry_at = now + NOTICE_MS;
        self.moves.push(Move {
            range,
            from,
            to,
            release: None,
            retry_at,
            released,
            handover: None,
            in_commit: false,
            owner_lost,
        });
    }

    /// Drops moves away from owners that seemed lost and are back, unless they have released the keys.
    pub fn on_owners_recovered(&mut self, is_back: impl Fn(&Owner) -> bool) {
        self.moves.retain(|m| {
            let back = m.from.as_ref().is_some_and(|(owner, _)| is_back(owner));
            !(back && m.owner_lost && !m.released && m.release.is_none() && !m.in_commit)
        });
    }

    /// Returns grants that only make owners take the new fence, for keys that they are to release
    /// and that a predecessor's grants may cover.
    fn due_fences(&mut self, now: Millis) -> Vec<GrantOrder> {
        if self.refence {
            return Vec::new();
        }
        let unfenced = |m: &&Move| {
            let from = m.from.as_ref().filter(|_| !m.released && m.release.is_none());
            from.is_some_and(|(owner, _)| self.unfenced_until(m.range, owner) > now)
        };
        let ranges: Vec<KeyRange> = self.moves.iter().filter(unfenced).map(|m| m.range).collect();
        let spans = self.map.spans.clone();
        let parts = spans
            .iter()
            .flat_map(|s| ranges.iter().filter_map(move |r| Some((r.intersection(&s.range)?, s))));
        let mut orders = Vec::new();
        for (range, span) in parts {
            let known = self.hold_index(range, span);
            if self.holds[known].due > now {
                continue;
            }
            orders.push(self.order(now, known, FENCE_HOLD_MS, self.times.retry_delay));
        }
        orders
    }

    /// Returns the releases to ask for.
    pub fn due_releases(&mut self, now: Millis) -> Vec<ReleaseOrder> {
        let due = (0..self.moves.len()).filter(|n| self.may_release(now, &self.moves[*n]));
        let due: Vec<usize> = due.collect();
        let mut orders = Vec::new();
        for n in due {
            let id = self.order_id();
            let m = &mut self.moves[n];
            if let Some((owner, fence)) = m.from.clone() {
                m.release = Some(id);
                orders.push(ReleaseOrder { id, range: m.range, owner, fence });
            }
        }
        orders
    }

    /// Returns whether the release of a move is to be asked for: not while a grant of the same keys
    /// is on its way, which could arrive after the release.
    fn may_release(&self, now: Millis, m: &Move) -> bool {
        let Some((owner, _)) = m.from.as_ref().filter(|_| !m.released) else {
            return false;
        };
        let waits = m.release.is_some() || now < m.retry_at || m.in_commit || self.refence;
        let on_its_way = |h: &Hold| {
            h.owner == *owner
                && h.range.overlaps(&m.range)
                && h.open.values().any(|o| o.on_its_way && o.until > now)
        };
        !waits && !self.holds.iter().any(on_its_way) && self.unfenced_until(m.range, owner) <= now
    }

    /// Takes in how a release ended.
    pub fn on_release_outcome(&mut self, now: Millis, id: OrderId, outcome: &OrderOutcome) {
        let Some(m) = self.moves.iter_mut().find(|m| m.release == Some(id)) else {
            return;
        };
        if let OrderOutcome::Done(handover) = outcome {
            m.released = true;
            m.handover.clone_from(handover);
        } else {
            m.release = None;
            m.retry_at = now + RELEASE_RETRY_MS;
        }
    }

    /// Notes incarnations that are known to have ended: they hold nothing any more.
    pub fn on_owners_ended(&mut self, ended: impl Fn(&Owner) -> bool) {
        for m in &mut self.moves {
            if m.from.as_ref().is_some_and(|(owner, _)| ended(owner)) {
                m.from = None;
                m.released = true;
            }
        }
        self.holds.retain(|h| !ended(&h.owner));
        self.inherited.retain(|i| !ended(&i.owner));
    }

    fn is_free(&self, now: Millis, m: &Move) -> bool {
        let Some((owner, _)) = &m.from else {
            return now >= self.vacant_from;
        };
        if m.released {
            return now >= self.open_until(now, m.range, owner);
        }
        now >= self.held_until(m.range, owner)
    }

    /// Returns the owners to commit next, if any key is free for its new owner.
    pub fn next_commit(&mut self, now: Millis) -> Option<KeyMap> {
        let free: Vec<bool> = self.moves.iter().map(|m| self.is_free(now, m)).collect();
        if !free.contains(&true) && !self.refence {
            return None;
        }
        let fence = self.revision + 1;
        let mut map = self.map.clone();
        if self.refence {
            map.spans.iter_mut().for_each(|s| s.fence = fence);
        }
        for span in &mut map.spans {
            // A handover is of use for the first grant only.
            let holds = &self.holds;
            let granted = |h: &&Hold| h.fence == span.fence && h.range == span.range && h.granted;
            if holds.iter().any(|h| granted(&h)) {
                span.handover = None;
            }
        }
        for (m, free) in self.moves.iter_mut().zip(free) {
            m.in_commit = free;
            if free {
                let (range, owner, handover) = (m.range, m.to.clone(), m.handover.clone());
                map.assign(Span { range, owner, fence, handover });
            }
        }
        Some(map)
    }

    /// Notes that `map` has been committed with `revision`.
    pub fn on_committed(&mut self, map: KeyMap, revision: u64) {
        self.map = map;
        self.revision = revision;
        self.moves.retain(|m| !m.in_commit);
        self.refence = false;
    }

    /// Notes that the last commit was not carried out and never will be.
    pub fn on_commit_failed(&mut self) {
        self.moves.iter_mut().for_each(|m| m.in_commit = false);
    }

    /// Returns the moves, for tests and logs: keys, whether released, and the new owner.
    pub fn moves(&self) -> impl Iterator<Item = (KeyRange, bool, &Owner)> {
        self.moves.iter().map(|m| (m.range, m.released, &m.to))
    }
}
