//! Ownership decisions of `mulberryspur-platform`: which keys to grant, which to have released, and
//! which owners to commit.
//!
//! The coordinator of a service is the instance whose [`crate::lease`] for the service is valid.
//! This is its state without I/O or clocks; [`crate::coordinator_task`] carries its decisions out.
//!
//! A new coordinator gives all owned keys a new fence with its first commit. An owner that has
//! accepted the new fence refuses grants of earlier coordinators that are still in transit.
//!
//! A key moves in this order: renewals stop, the owner releases the key or all grants that cover it
//! expire, the new owner is committed with a higher fence, and only then is the key granted to it.
//! An unanswered grant may be carried out late, so a released key is free only once no such grant
//! is left.
//!
//! Grants name an upstream's identity, not its incarnation, so one that has started again may accept
//! those that were meant for the incarnation before: what it may hold goes by identity.

use crate::{
    clock::Millis,
    collections::HashMap,
    keymap::{KeyMap, KeyRange, Owner, Span, subtract},
    sweep::Uncertainty,
};
use std::sync::Arc;

/// Identity of an order to an upstream, which is a grant or a release.
pub type OrderId = u64;

/// Durations of grants and times between them, in milliseconds.
#[derive(Debug, Clone, Copy)]
pub struct GrantTimes {
    /// How long a grant lasts while the store answers.
    pub hold: Millis,
    /// How long a grant lasts while the store does not answer: at least `hold`, as the lease cannot
    /// be renewed then, and only an instance with a valid lease renews grants. At most what
    /// upstreams accept.
    pub outage_hold: Millis,
    /// Time between renewals of a grant.
    pub renew_interval: Millis,
    /// Time until a grant that was refused or not answered is sent again.
    pub retry_delay: Millis,
}

/// Upper bound on how much slower an upstream's clock runs, in thousandths.
const MAX_CLOCK_DRIFT_PER_MILLE: Millis = 20;
/// Time in milliseconds within which a grant arrives or is lost: senders give up after 400 ms.
const GRANT_TRANSIT_MS: Millis = 450;
/// Time in milliseconds within which what was sent before the sender gave up arrives or is lost.
const LAST_PACKET_MS: Millis = 50;
/// Time in milliseconds until a failed release is sent again.
const RELEASE_RETRY_DELAY_MS: Millis = 700;

/// Number of failures in a row from which a grant is sent less often, and after others once it has
/// expired.
const REPEATED_FAILURES: u32 = 3;

/// Duration in milliseconds of a grant that only makes an owner accept a new fence.
const FENCING_GRANT_HOLD_MS: Millis = 300;
/// Time in milliseconds between announcing to the instances that keys are about to move and asking
/// for their release: several times the latency between data centres.
const MOVE_NOTICE_MS: Millis = 15;

/// A grant to send.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct GrantOrder {
    /// Identity of the order.
    pub id: OrderId,
    /// The keys.
    pub range: KeyRange,
    /// The upstream that is granted them.
    pub owner: Owner,
    /// Fencing token.
    pub fence: u64,
    /// How long the grant lasts from its arrival, in milliseconds.
    pub hold: Millis,
    /// Data that the previous owner handed over with its release.
    pub handover: Option<Arc<str>>,
}

/// A request to an owner to release keys.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReleaseOrder {
    /// Identity of the order.
    pub id: OrderId,
    /// The keys.
    pub range: KeyRange,
    /// The upstream that holds them.
    pub owner: Owner,
    /// Fencing token of the keys when their move began.
    pub fence: u64,
}

/// Outcome of an order.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OrderOutcome {
    /// It was carried out; a release may return handover data for the next owner.
    Done(Option<Arc<str>>),
    /// The upstream refused it and will not carry it out: it has seen a higher fence, or does not
    /// accept the order.
    Refused,
    /// Another upstream has the address, so the one that was meant has ended or runs elsewhere.
    OtherUpstream,
    /// It did not reach the upstream.
    NotSent,
    /// It may be carried out at any later time.
    Unknown,
}

/// A planned change of owner.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Reassignment {
    /// The keys.
    pub range: KeyRange,
    /// The new owner.
    pub to: Owner,
    /// Whether the keys have no owner, or theirs is gone or leaving. The move is dropped if that
    /// owner comes back in time, see [`Coordinator::on_owners_recovered`].
    pub owner_lost: bool,
}

/// The grants that were sent for a range to one owner under one fence.
///
/// A grant counts as expired only when it must have expired on the upstream's clock too.
#[derive(Debug, Clone)]
struct RangeGrants {
    range: KeyRange,
    owner: Owner,
    fence: u64,
    /// When the last successful one has expired.
    confirmed_until: Millis,
    /// When the next one is due.
    next_due_at: Millis,
    /// Grants without an answer that tells whether they were carried out.
    unanswered: HashMap<OrderId, UnansweredGrant>,
    /// Whether a grant has succeeded.
    confirmed: bool,
    /// Grants in a row that were refused or not answered.
    failures: u32,
}

impl RangeGrants {
    /// Returns the order in which due grants are sent: those that expire soonest first, and those
    /// that have failed repeatedly and expired after all others.
    fn urgency(&self, now: Millis) -> (bool, Millis) {
        let is_hopeless = self.failures >= REPEATED_FAILURES && self.confirmed_until <= now;
        (is_hopeless, self.confirmed_until)
    }

    /// Returns when a grant that has failed at `now` is sent again: after several failures in a row,
    /// at most as late as it would be renewed.
    ///
    /// Answers the loss of a third of the upstreams: grants to them must not take the time and the
    /// places in flight of all others.
    fn retry_at(&self, now: Millis, times: &GrantTimes) -> Millis {
        let doublings = self.failures.saturating_sub(REPEATED_FAILURES).min(4);
        now + (times.retry_delay << doublings).min(times.renew_interval.max(times.retry_delay))
    }

    /// Returns when the last of the grants has expired.
    fn expires_at(&self) -> Millis {
        let unanswered = self.unanswered.values().map(UnansweredGrant::latest_expiry);
        unanswered.fold(self.confirmed_until, Millis::max)
    }

    fn is_any_in_transit(&self) -> bool {
        self.unanswered.values().any(|o| o.in_transit)
    }
}

/// A grant that has not been answered.
#[derive(Debug, Clone, Copy)]
struct UnansweredGrant {
    /// When it has expired if it arrives within [`GRANT_TRANSIT_MS`].
    expires_at: Millis,
    /// How long it lasts from its arrival on the slowest clock.
    max_hold: Millis,
    /// Whether the sender still waits for the answer, so that the grant may be in transit. An
    /// instance that was suspended sends what it had not sent before once it goes on.
    in_transit: bool,
}

impl UnansweredGrant {
    fn latest_expiry(&self) -> Millis {
        if self.in_transit { Millis::MAX } else { self.expires_at }
    }

    /// Returns when it has expired if its sender stopped waiting, or had the answer, at `now`.
    fn expiry_ended_at(&self, now: Millis) -> Millis {
        self.expires_at.max(now + self.max_hold + LAST_PACKET_MS)
    }
}

/// A change of owner that has not been committed.
#[derive(Debug, Clone)]
struct Move {
    range: KeyRange,
    /// The owner when the move began, and the fence of the keys then, which stays if they get a new
    /// fence meanwhile; `None` if the keys had no owner, or once its incarnation has ended.
    from: Option<(Owner, u64)>,
    to: Owner,
    /// Identity of the release that was sent and has not failed.
    release_order_id: Option<OrderId>,
    /// When a release may be sent.
    release_at: Millis,
    /// Whether the keys were released or had no owner.
    released: bool,
    handover: Option<Arc<str>>,
    /// Whether the pending commit includes the move.
    in_commit: bool,
    /// See [`Reassignment::owner_lost`].
    owner_lost: bool,
}

/// Keys that an earlier coordinator may have granted to an owner.
#[derive(Debug, Clone)]
struct InheritedGrant {
    range: KeyRange,
    owner: Owner,
    /// Whether the owner counts as having accepted a higher fence, see
    /// [`Coordinator::mark_fenced`]: it then refuses grants that are still in transit, but holds
    /// the keys until the last one that it has accepted expires.
    fenced: bool,
}

/// State of the coordinator of one service.
#[derive(Debug)]
pub struct Coordinator {
    times: GrantTimes,
    owners: KeyMap,
    revision: u64,
    /// Keys that grants of earlier coordinators may cover until `inherited_until`.
    inherited: Vec<InheritedGrant>,
    inherited_until: Millis,
    /// Revision of the owners that earlier coordinators committed last: no grant of theirs has a
    /// higher fence.
    inherited_revision: u64,
    /// Whether and how the committed owners are not known for certain.
    uncertainty: Option<Uncertainty>,
    /// Whether the next commit gives all keys a new fence.
    refence_pending: bool,
    grants: Vec<RangeGrants>,
    moves: Vec<Move>,
    /// Committed owners whose upstreams have started again: they are granted nothing more, but for
    /// moments that make them accept a new fence.
    restarted: Vec<Owner>,
    next_order_id: OrderId,
    /// Maximum number of grants in flight.
    max_in_flight: usize,
}

/// Returns how long a grant lasts from its arrival at most, if the upstream's clock is the slowest.
fn max_hold(hold: Millis) -> Millis {
    hold + hold * MAX_CLOCK_DRIFT_PER_MILLE / 1_000
}

/// Returns when a grant must have expired, also on the slowest clock and after the longest transit.
fn latest_expiry(sent: Millis, hold: Millis) -> Millis {
    sent + max_hold(hold) + GRANT_TRANSIT_MS
}

impl Coordinator {
    /// Creates the state of a new coordinator from the committed owners.
    #[must_use]
    pub fn new(now: Millis, times: GrantTimes, owners: KeyMap, revision: u64) -> Self {
        let owned = owners.spans.iter();
        let inherited = owned
            .map(|s| InheritedGrant { range: s.range, owner: s.owner.clone(), fenced: false })
            .collect();
        Self {
            times,
            inherited,
            inherited_until: latest_expiry(now, times.outage_hold),
            inherited_revision: revision,
            uncertainty: None,
            refence_pending: !owners.spans.is_empty(),
            owners,
            revision,
            grants: Vec::new(),
            moves: Vec::new(),
            restarted: Vec::new(),
            next_order_id: 1,
            max_in_flight: usize::MAX,
        }
    }

    /// Takes over what the predecessor has written when it gave the lease back: all grants of earlier
    /// coordinators have expired `grants_end_ms` after `now`.
    ///
    /// Answers a planned stop of the coordinator at the time when many upstreams are lost: without
    /// it, their keys wait for the longest grants, which last in an outage of the store only. Ignored
    /// while the owners are uncertain.
    #[must_use]
    pub fn with_inherited_grants_end(self, now: Millis, grants_end_ms: Millis) -> Self {
        if self.uncertainty.is_some() {
            return self;
        }
        let until = now + max_hold(grants_end_ms);
        Self { inherited_until: self.inherited_until.min(until), ..self }
    }

    /// Returns for how many milliseconds grants that were sent so far, also by earlier coordinators,
    /// may last, on condition that no more is sent; `None` if that is not known.
    #[must_use]
    pub fn grants_end_ms(&self, now: Millis) -> Option<Millis> {
        if self.uncertainty.is_some() {
            return None;
        }
        let inherited = if self.inherited.is_empty() { 0 } else { self.inherited_until };
        let sent = self.grants.iter().map(|g| {
            let unanswered = g.unanswered.values().map(|o| {
                let arrives_until = if o.in_transit { now + GRANT_TRANSIT_MS } else { 0 };
                o.expires_at.max(arrives_until + o.max_hold)
            });
            unanswered.fold(g.confirmed_until, Millis::max)
        });
        Some(sent.fold(inherited, Millis::max).saturating_sub(now))
    }

    /// Limits how many grants are in flight at once.
    #[must_use]
    pub fn with_max_in_flight(self, max_in_flight: usize) -> Self {
        Self { max_in_flight, ..self }
    }

    /// Creates the state of a new coordinator where the committed owners are not known for certain,
    /// as their row cannot be read or comes from a copy of the store: no key is granted before all
    /// upstreams have released what these owners do not give them, see
    /// [`Self::due_sweep_releases`], or the longest grant to an unknown owner has expired.
    #[must_use]
    pub fn with_uncertain_owners(
        now: Millis,
        times: GrantTimes,
        owners: KeyMap,
        revision: u64,
    ) -> Self {
        let sweep_at = now + GRANT_TRANSIT_MS + LAST_PACKET_MS;
        let until = latest_expiry(now, times.outage_hold);
        let uncertainty = Some(Uncertainty::new(sweep_at, until));
        Self { uncertainty, ..Self::new(now, times, owners, revision) }
    }

    /// Returns the committed owners.
    #[must_use]
    pub fn owners(&self) -> &KeyMap {
        &self.owners
    }

    /// Returns the revision of the committed owners, 0 before the first commit.
    #[must_use]
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns the owners as they will be once all moves are committed.
    #[must_use]
    pub fn planned_owners(&self) -> KeyMap {
        let mut owners = self.owners.clone();
        for m in &self.moves {
            owners.assign(Span {
                range: m.range,
                owner: m.to.clone(),
                fence: u64::MAX,
                handover: None,
            });
        }
        owners
    }

    /// Gives all keys a new fence with the next commit. Adjacent spans of one owner can then merge,
    /// which [`KeyMap::assign`] does when a move is committed, in the same commit or a later one.
    pub fn refence_all(&mut self) {
        self.refence_pending = true;
    }

    /// Returns the number of neighbouring ranges with one owner that differ in their fence.
    #[must_use]
    pub fn mergeable_count(&self) -> usize {
        let pairs = self.owners.spans.windows(2);
        pairs.filter(|w| w[0].owner == w[1].owner && w[0].fence != w[1].fence).count()
    }

    /// Returns the ranges whose moves are not committed.
    #[must_use]
    pub fn moving_ranges(&self) -> Vec<KeyRange> {
        self.moves.iter().map(|m| m.range).collect()
    }

    fn new_order_id(&mut self) -> OrderId {
        let id = self.next_order_id;
        self.next_order_id += 1;
        id
    }

    /// Returns the grants that are due, and records them as sent at `now`; `outage` tells whether
    /// the store does not answer.
    pub fn due_grants(&mut self, now: Millis, outage: bool) -> Vec<GrantOrder> {
        if self.uncertainty.is_some() {
            return Vec::new();
        }
        for g in &mut self.grants {
            g.unanswered.retain(|_, grant| grant.in_transit || grant.expires_at > now);
        }
        let is_owned = |g: &RangeGrants| {
            let span = self.owners.find(g.range.from);
            span.is_some_and(|s| s.fence == g.fence && s.owner == g.owner)
        };
        self.grants.retain(|g| {
            g.expires_at() > now || g.next_due_at > now || g.failures > 0 && is_owned(g)
        });
        let hold = if outage { self.times.outage_hold } else { self.times.hold };
        let moving = self.moving_ranges();
        let granted = self.owners.spans.iter().filter(|s| !self.restarted.contains(&s.owner));
        let mut due = Vec::new();
        let mut known: HashMap<(KeyRange, u64), usize> = HashMap::default();
        known.extend(self.grants.iter().enumerate().map(|(n, g)| ((g.range, g.fence), n)));
        for span in granted.cloned().collect::<Vec<_>>() {
            for range in subtract(span.range, moving.iter().copied()) {
                let known = known.get(&(range, span.fence)).copied();
                let index = known
                    .filter(|n| self.grants[*n].owner == span.owner)
                    .unwrap_or_else(|| self.range_grants_index(range, &span));
                let g = &self.grants[index];
                if g.next_due_at <= now {
                    let handover = span.handover.clone().filter(|_| !g.confirmed);
                    due.push((g.urgency(now), index, handover));
                }
            }
        }
        due.sort_by_key(|(urgency, index, _)| (*urgency, *index));
        let in_flight = self.grants.iter().flat_map(|g| g.unanswered.values());
        let in_flight = in_flight.filter(|o| o.in_transit).count();
        due.truncate(self.max_in_flight.saturating_sub(in_flight));
        let mut orders = Vec::new();
        for (_, index, handover) in due {
            let order = self.make_grant(now, index, hold, self.times.renew_interval);
            orders.push(GrantOrder { handover, ..order });
        }
        orders.extend(self.due_fencing_grants(now));
        orders
    }

    /// Makes the next grant of a range, and records it as sent at `now`.
    fn make_grant(&mut self, now: Millis, index: usize, hold: Millis, next: Millis) -> GrantOrder {
        let id = self.new_order_id();
        let g = &mut self.grants[index];
        g.next_due_at = now + next;
        let expires_at = latest_expiry(now, hold);
        let max_hold = max_hold(hold);
        g.unanswered.insert(id, UnansweredGrant { expires_at, max_hold, in_transit: true });
        let (range, owner, fence) = (g.range, g.owner.clone(), g.fence);
        GrantOrder { id, range, owner, fence, hold, handover: None }
    }

    /// Finds or creates the state of a range's grants.
    fn range_grants_index(&mut self, range: KeyRange, span: &Span) -> usize {
        let same =
            |g: &RangeGrants| g.range == range && g.fence == span.fence && g.owner == span.owner;
        if let Some(index) = self.grants.iter().position(same) {
            return index;
        }
        // A part of a granted range keeps the time of the range's next grant.
        let enclosing = self.grants.iter().find(|g| {
            g.fence == span.fence
                && g.owner == span.owner
                && g.range.intersection(&range) == Some(range)
        });
        let (next_due_at, confirmed, failures) =
            enclosing.map_or((0, false, 0), |g| (g.next_due_at, g.confirmed, g.failures));
        let unanswered = HashMap::default();
        let (owner, fence) = (span.owner.clone(), span.fence);
        self.grants.push(RangeGrants {
            range,
            owner,
            fence,
            confirmed_until: 0,
            next_due_at,
            unanswered,
            confirmed,
            failures,
        });
        self.grants.len() - 1
    }

    /// Makes all grants due at once.
    pub fn renew_all(&mut self) {
        self.grants.iter_mut().for_each(|g| g.next_due_at = 0);
    }

    /// Handles the outcome of a grant.
    pub fn on_grant_outcome(&mut self, now: Millis, id: OrderId, outcome: &OrderOutcome) {
        let Some(g) = self.grants.iter_mut().find(|g| g.unanswered.contains_key(&id)) else {
            return;
        };
        let is_done = matches!(outcome, OrderOutcome::Done(_));
        g.failures = if is_done { 0 } else { g.failures.saturating_add(1) };
        let retry_at = g.retry_at(now, &self.times);
        match outcome {
            OrderOutcome::Done(_) => {
                let until = g.unanswered.remove(&id).map_or(0, |o| o.expiry_ended_at(now));
                g.confirmed_until = g.confirmed_until.max(until);
                g.confirmed = true;
                // Only a grant with a new fence makes the owner refuse those of earlier
                // coordinators; the answer to one with an old fence may arrive after the commit of
                // the new one.
                if g.fence > self.inherited_revision {
                    let (range, owner) = (g.range, g.owner.clone());
                    self.mark_fenced(range, &owner);
                }
            }
            OrderOutcome::Refused | OrderOutcome::OtherUpstream | OrderOutcome::NotSent => {
                g.unanswered.remove(&id);
                g.next_due_at = g.next_due_at.min(retry_at);
            }
            OrderOutcome::Unknown => {
                g.next_due_at = g.next_due_at.min(retry_at);
                if let Some(grant) = g.unanswered.get_mut(&id) {
                    grant.expires_at = grant.expiry_ended_at(now);
                    grant.in_transit = false;
                }
            }
        }
    }

    /// Records that an owner has accepted a grant with a higher fence than all grants of earlier
    /// coordinators, and so refuses those from now on.
    fn mark_fenced(&mut self, range: KeyRange, owner: &Owner) {
        for old in std::mem::take(&mut self.inherited) {
            let part = old.range.intersection(&range).filter(|_| old.owner == *owner);
            let Some(part) = part.filter(|_| !old.fenced) else {
                self.inherited.push(old);
                continue;
            };
            let rest =
                old.range.without(&range).map(|range| InheritedGrant { range, ..old.clone() });
            self.inherited.extend(rest);
            self.inherited.push(InheritedGrant { range: part, fenced: true, ..old });
        }
    }

    /// Returns until when grants of earlier coordinators may last.
    fn inherited_grants_until(&self, range: KeyRange, owner: &Owner) -> Millis {
        if self.inherited_grants(range, owner).next().is_some() { self.inherited_until } else { 0 }
    }

    /// Returns until when the owner may still accept grants of earlier coordinators.
    fn unfenced_until(&self, range: KeyRange, owner: &Owner) -> Millis {
        let unfenced = self.inherited_grants(range, owner).any(|i| !i.fenced);
        if unfenced { self.inherited_until } else { 0 }
    }

    fn inherited_grants(
        &self,
        range: KeyRange,
        owner: &Owner,
    ) -> impl Iterator<Item = &InheritedGrant> {
        self.inherited.iter().filter(move |i| i.range.overlaps(&range) && i.owner.id == owner.id)
    }

    /// Returns when the last grant of a part of `range` to `owner` has expired.
    fn held_until(&self, range: KeyRange, owner: &Owner) -> Millis {
        let sent =
            self.grants.iter().filter(|g| g.owner.id == owner.id && g.range.overlaps(&range));
        let sent = sent.map(RangeGrants::expires_at).max().unwrap_or(0);
        sent.max(self.inherited_grants_until(range, owner))
    }

    /// Returns until when the owner may hold keys under an unanswered grant, or under one of an
    /// earlier coordinator that it may still accept.
    fn unanswered_until(&self, now: Millis, range: KeyRange, owner: &Owner) -> Millis {
        let matching =
            self.grants.iter().filter(|g| g.owner.id == owner.id && g.range.overlaps(&range));
        let latest = matching
            .flat_map(|g| g.unanswered.values())
            .map(UnansweredGrant::latest_expiry)
            .filter(|t| *t > now)
            .max();
        latest.unwrap_or(0).max(self.unfenced_until(range, owner))
    }

    /// Starts moving keys; parts that are already moving or stay with their owner are left out.
    pub fn reassign(&mut self, now: Millis, change: &Reassignment) {
        for range in subtract(change.range, self.moving_ranges()) {
            let owned: Vec<Span> =
                self.owners.spans.iter().filter(|s| s.range.overlaps(&range)).cloned().collect();
            for gap in subtract(range, owned.iter().map(|s| s.range)) {
                self.begin_move(now, gap, None, change);
            }
            for span in owned.into_iter().filter(|s| s.owner != change.to) {
                if let Some(part) = span.range.intersection(&range) {
                    self.begin_move(now, part, Some((span.owner, span.fence)), change);
                }
            }
        }
    }

    fn begin_move(
        &mut self,
        now: Millis,
        range: KeyRange,
        from: Option<(Owner, u64)>,
        change: &Reassignment,
    ) {
        let (to, owner_lost) = (change.to.clone(), change.owner_lost);
        let released = from.is_none();
        let release_at = now + MOVE_NOTICE_MS;
        self.moves.push(Move {
            range,
            from,
            to,
            release_order_id: None,
            release_at,
            released,
            handover: None,
            in_commit: false,
            owner_lost,
        });
    }

    /// Drops moves away from owners that seemed lost and are back, unless a release is pending or
    /// has succeeded, or the move is being committed.
    pub fn on_owners_recovered(&mut self, has_recovered: impl Fn(&Owner) -> bool) {
        self.moves.retain(|m| {
            let recovered = m.from.as_ref().is_some_and(|(owner, _)| has_recovered(owner));
            !(recovered
                && m.owner_lost
                && !m.released
                && m.release_order_id.is_none()
                && !m.in_commit)
        });
    }

    /// Returns the due grants that only make owners accept the new fence, and records them as sent:
    /// for keys that they are to release and that grants of earlier coordinators may cover.
    fn due_fencing_grants(&mut self, now: Millis) -> Vec<GrantOrder> {
        if self.refence_pending {
            return Vec::new();
        }
        // One that is sent later could outlast the grants of earlier coordinators.
        let latest_use = now + max_hold(FENCING_GRANT_HOLD_MS) + GRANT_TRANSIT_MS + LAST_PACKET_MS;
        let unfenced = |m: &&Move| {
            let from = m.from.as_ref().filter(|_| !m.released && m.release_order_id.is_none());
            from.is_some_and(|(owner, _)| self.unfenced_until(m.range, owner) > latest_use)
        };
        let ranges: Vec<KeyRange> = self.moves.iter().filter(unfenced).map(|m| m.range).collect();
        let spans = self.owners.spans.clone();
        let parts = spans
            .iter()
            .flat_map(|s| ranges.iter().filter_map(move |r| Some((r.intersection(&s.range)?, s))));
        let mut orders = Vec::new();
        for (range, span) in parts {
            let index = self.range_grants_index(range, span);
            if self.grants[index].next_due_at > now {
                continue;
            }
            let next = self.grants[index].retry_at(now, &self.times) - now;
            orders.push(self.make_grant(now, index, FENCING_GRANT_HOLD_MS, next));
        }
        orders
    }

    /// Returns whether no owners can be committed at `now`, as the last ones are not known for
    /// certain.
    #[must_use]
    pub fn is_uncertain(&self, now: Millis) -> bool {
        self.uncertainty.as_ref().is_some_and(|u| !u.may_commit(now))
    }

    /// Returns the upstreams that a sweep waits for.
    pub fn sweep_pending(&self) -> impl Iterator<Item = &Arc<str>> {
        self.uncertainty.iter().flat_map(Uncertainty::pending)
    }

    /// Returns the due releases of the sweep that makes the owners certain, and records them as sent;
    /// `holders` are all upstreams, at their last known incarnations, that may hold keys.
    ///
    /// Once all have released what the known owners do not give them, the next commit is due.
    pub fn due_sweep_releases(&mut self, now: Millis, holders: &[Owner]) -> Vec<ReleaseOrder> {
        let Some(uncertainty) = &mut self.uncertainty else {
            return Vec::new();
        };
        let next_order_id = &mut self.next_order_id;
        let new_order_id = || {
            let id = *next_order_id;
            *next_order_id += 1;
            id
        };
        let fence = self.revision + 1;
        uncertainty.due_releases(now, &self.owners, fence, holders, new_order_id)
    }

    /// Returns the releases that are due, and records them as sent.
    pub fn due_releases(&mut self, now: Millis) -> Vec<ReleaseOrder> {
        let due = (0..self.moves.len()).filter(|n| self.is_release_due(now, &self.moves[*n]));
        let due: Vec<usize> = due.collect();
        let mut orders = Vec::new();
        for n in due {
            let id = self.new_order_id();
            let m = &mut self.moves[n];
            if let Some((owner, fence)) = m.from.clone() {
                m.release_order_id = Some(id);
                orders.push(ReleaseOrder { id, range: m.range, owner, fence });
            }
        }
        orders
    }

    /// Returns whether the release of a move is due: not while a grant of the same keys is in
    /// transit, which could arrive after the release. A grant whose outcome is unknown may also be
    /// carried out after it, but [`Self::is_free`] waits for that.
    fn is_release_due(&self, now: Millis, m: &Move) -> bool {
        let from = m.from.as_ref().filter(|(owner, _)| !m.released && owner.id != m.to.id);
        let Some((owner, _)) = from else {
            return false;
        };
        let must_wait = m.release_order_id.is_some()
            || now < m.release_at
            || m.in_commit
            || self.refence_pending;
        let in_transit = |g: &RangeGrants| {
            g.owner.id == owner.id && g.range.overlaps(&m.range) && g.is_any_in_transit()
        };
        !must_wait
            && !self.grants.iter().any(in_transit)
            && self.unfenced_until(m.range, owner) <= now
    }

    /// Handles the outcome of a release.
    pub fn on_release_outcome(&mut self, now: Millis, id: OrderId, outcome: &OrderOutcome) {
        let uncertainty = self.uncertainty.as_mut();
        if uncertainty.is_some_and(|u| u.on_outcome(now, id, outcome)) {
            return;
        }
        let Some(m) = self.moves.iter_mut().find(|m| m.release_order_id == Some(id)) else {
            return;
        };
        if let OrderOutcome::Done(handover) = outcome {
            m.released = true;
            m.handover.clone_from(handover);
        } else {
            m.release_order_id = None;
            m.release_at = now + RELEASE_RETRY_DELAY_MS;
        }
    }

    /// Forgets the grants of owners whose incarnation has ended, and whose upstream runs elsewhere,
    /// and counts moves away from them as released: they hold nothing any more.
    pub fn on_owners_ended(&mut self, ended: impl Fn(&Owner) -> bool) {
        self.moves.retain(|m| m.in_commit || !ended(&m.to));
        for m in &mut self.moves {
            if m.from.as_ref().is_some_and(|(owner, _)| ended(owner)) {
                m.from = None;
                m.released = true;
            }
        }
        self.grants.retain(|g| !ended(&g.owner));
        self.inherited.retain(|i| !ended(&i.owner));
    }

    /// Stops granting to owners whose upstream has started again at the same address, and drops
    /// moves to them. The later incarnation may have accepted grants since; they count as its own.
    pub fn on_owners_restarted(&mut self, restarted: impl Fn(&Owner) -> bool) {
        self.moves.retain(|m| m.in_commit || !restarted(&m.to));
        let mut owners: Vec<Owner> =
            self.owners.spans.iter().map(|s| &s.owner).filter(|o| restarted(o)).cloned().collect();
        owners.dedup();
        for i in &mut self.inherited {
            // The later incarnation has not seen the fences of the one before.
            i.fenced &= !restarted(&i.owner) || self.restarted.contains(&i.owner);
        }
        self.restarted = owners;
    }

    /// Returns whether the previous owner can no longer serve the keys of a move.
    fn is_free(&self, now: Millis, m: &Move) -> bool {
        let Some((owner, _)) = m.from.as_ref().filter(|(owner, _)| owner.id != m.to.id) else {
            return true;
        };
        if m.released {
            return now >= self.unanswered_until(now, m.range, owner);
        }
        now >= self.held_until(m.range, owner)
    }

    /// Returns the owners to commit next, and marks the moves that they include; `None` if no key
    /// is free for its new owner and no new fence is pending, or while the owners are uncertain:
    /// with a new fence, they would look certain to the next coordinator.
    pub fn next_commit(&mut self, now: Millis) -> Option<KeyMap> {
        if self.uncertainty.as_ref().is_some_and(|u| !u.may_commit(now)) {
            return None;
        }
        let free: Vec<bool> = self.moves.iter().map(|m| self.is_free(now, m)).collect();
        if !free.contains(&true) && !self.refence_pending {
            return None;
        }
        let fence = self.revision + 1;
        let mut owners = self.owners.clone();
        if self.refence_pending {
            owners.spans.iter_mut().for_each(|s| s.fence = fence);
        }
        for span in &mut owners.spans {
            // Handover data is sent with each grant until one is confirmed.
            let grants = &self.grants;
            let confirmed =
                |g: &&RangeGrants| g.fence == span.fence && g.range == span.range && g.confirmed;
            if grants.iter().any(|g| confirmed(&g)) {
                span.handover = None;
            }
        }
        for (m, free) in self.moves.iter_mut().zip(free) {
            m.in_commit = free;
            if free {
                let (range, owner, handover) = (m.range, m.to.clone(), m.handover.clone());
                owners.assign(Span { range, owner, fence, handover });
            }
        }
        Some(owners)
    }

    /// Records that `owners` were committed with `revision`.
    pub fn on_committed(&mut self, owners: KeyMap, revision: u64) {
        self.owners = owners;
        self.revision = revision;
        self.moves.retain(|m| !m.in_commit);
        self.refence_pending = false;
        self.uncertainty = None;
    }

    /// Records that the store was restored from a copy, in which the row of the owners has
    /// `revision`, while this coordinator's lease was valid: no other has changed the owners, and
    /// the next commit writes them again, with a new fence for all keys.
    pub fn on_store_restored(&mut self, revision: u64) {
        self.revision = revision;
        self.refence_pending = !self.owners.spans.is_empty();
        self.on_commit_failed();
    }

    /// Records that the last commit was not carried out and never will be.
    pub fn on_commit_failed(&mut self) {
        self.moves.iter_mut().for_each(|m| m.in_commit = false);
    }

    /// Returns the moves, for tests and logs: keys, whether released, and the new owner.
    pub fn moves(&self) -> impl Iterator<Item = (KeyRange, bool, &Owner)> {
        self.moves.iter().map(|m| (m.range, m.released, &m.to))
    }
}
