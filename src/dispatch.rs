//! Queues the requests for one service, chooses their upstreams and rejects those that would wait
//! too long. Used by `mulberryspur-platform`; in `mulberryd`, `admission` and `load_balancing` do
//! this.
//!
//! Requests wait here and not in an upstream's queue, so that one that can still meet its latency
//! objective is not held up behind one that cannot. Whether an upstream can take a request is in
//! `upstream_state`.
//!
//! Points in time are readings of the boot clock in milliseconds.

mod cold_owners;

use crate::{
    admission_level::AdmissionLevel,
    clock::Millis,
    collections::HashMap,
    credits::{CreditBook, DealerWatch},
    key_refusals::{GrantState, KeyRefusals},
    keymap::Key,
    other_paths::OtherPaths,
    overload::{AdmittedShares, OwnerShare},
    rate_limit::{InstancePosition, LimitNotice},
    reachability::Reachability,
    upstream_choice::{self, Candidate},
    upstream_state::{BASE_EJECTION_MS, Upstream},
    warmup::{ColdPace, ColdUpstreams},
};
use std::sync::Arc;

pub use crate::upstream_state::{Completion, LoadReport, UpstreamSpec};

/// Identifies a waiting request.
pub type Ticket = u64;

/// Share of the time until a request's latency objective for which it may wait.
const MAX_WAIT_SHARE: f64 = 0.9;
/// Shortest `Retry-After` in milliseconds, before jitter.
const MIN_RETRY_AFTER_MS: f64 = 150.0;
/// Longest `Retry-After` in milliseconds, before jitter, unless [`MAX_RETRY_AFTER_SHARE`] allows
/// more.
const MAX_RETRY_AFTER_MS: f64 = 3_000.0;
/// Longest `Retry-After` as a share of the time until the request's deadline, so that enough is left
/// for the request itself.
const MAX_RETRY_AFTER_SHARE: f64 = 0.3;
/// `Retry-After` in milliseconds, before jitter, where no owner or no upstream is available.
const UNAVAILABLE_RETRY_AFTER_MS: f64 = 600.0;
/// `Retry-After` in milliseconds, before jitter, where the owner is lost.
const OWNER_LOST_RETRY_AFTER_MS: f64 = 1_200.0;
/// Number of ejections in a row after which no request waits for the owner of its key.
const UNREACHABLE_EJECTIONS: u32 = 2;
/// Weight of one request in the moving average of the rejection rate.
const REJECTION_RATE_WEIGHT: f64 = 0.05;
/// Number of instances per request that an upstream runs at once from which its upstreams are shared
/// widely: with a quarter of a request for each instance, windows of one request bound nothing.
const WIDE_SHARING_FACTOR: u32 = 4;
/// Least share of requests that is assumed to be served, which bounds `Retry-After`.
const MIN_SERVED_SHARE: f64 = 0.15;

/// Where a request may be sent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Destination {
    /// To any upstream of the service.
    Any,
    /// Only to the owner of its key, under this fence.
    Owner(Arc<str>, u64),
    /// Nowhere for now: no usable owner of its key is known.
    NoOwner,
    /// Nowhere for seconds: its key's owner has been lost for some time, and the key is free for
    /// another one only once the owner's grants have expired.
    OwnerLost,
}

/// The attributes of a request that decide its order and its upstream.
#[derive(Debug, Clone)]
pub struct RequestSpec {
    /// Priority, 0 first.
    pub priority: u8,
    /// When the request arrived.
    pub arrived_at: Millis,
    /// Time by which the response should be there by the latency objective; a later one is worth
    /// less.
    pub objective_at: Millis,
    /// When the upstream must have finished.
    pub deadline: Millis,
    /// Where it may be sent.
    pub destination: Destination,
    /// Its key, if the upstreams of the service own keys.
    pub key: Option<Key>,
    /// Whether its response is large.
    pub large_response: bool,
    /// Upstreams that were tried already.
    pub tried: Vec<Arc<str>>,
    /// Whether it was admitted before, so that another attempt needs no share of its owner.
    pub admitted: bool,
    /// Whether another instance may serve it.
    pub forwardable: bool,
}

/// What is done with a request.
#[derive(Debug, Clone, PartialEq)]
pub enum Decision {
    /// Send it to this upstream, where it is counted as in flight.
    Send(Arc<str>),
    /// Forward it to another instance, as this one does not reach the upstreams.
    Forward,
    /// Reject it.
    Reject {
        /// Reason for the rejection.
        reason: Rejection,
        /// Time in milliseconds after which the caller should try again.
        retry_after: Millis,
    },
}

/// Why a request is rejected.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Rejection {
    /// More requests are waiting than can be served in time.
    Overload,
    /// No upstream that could take it may be sent it in time, by the limits that they have named.
    UpstreamLimit,
    /// All upstreams that could take it have asked to be left alone for too long.
    UpstreamRest,
    /// No upstream can take it.
    NoUpstream,
    /// Its key has no owner that can be reached.
    NoOwner,
    /// This instance is cut off from the upstreams, and no other one can serve it.
    CutOff,
}

impl Rejection {
    /// Returns the name used in logs and metrics.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Overload => "overload",
            Self::UpstreamLimit => "upstream limit",
            Self::UpstreamRest => "upstream rests",
            Self::NoUpstream => "no-upstream",
            Self::NoOwner => "no-owner",
            Self::CutOff => "cut off",
        }
    }
}

#[derive(Debug, Clone)]
struct WaitingRequest {
    ticket: Ticket,
    req: RequestSpec,
}

/// Queue and load balancer for one service on one instance.
#[derive(Debug, Default)]
pub struct Dispatcher {
    upstreams: HashMap<Arc<str>, Upstream>,
    waiting: Vec<WaitingRequest>,
    /// Moving average of the share of rejected requests among those for any upstream.
    rejection_rate: f64,
    /// Keys that their owners refused.
    refusals: KeyRefusals,
    /// Shares of the requests that overloaded owners can serve.
    shares: AdmittedShares,
    /// Share of the requests for any upstream that is admitted.
    admission: AdmissionLevel,
    reachability: Reachability,
    /// Credits for requests to cold owners.
    credits: CreditBook,
    dealer: DealerWatch,
    /// Whether the upstreams own keys, so that requests to cold ones need credits.
    is_keyed: bool,
    /// Decides this instance's part of the limits that upstreams name.
    position: InstancePosition,
    /// Whether there was any request.
    had_requests: bool,
    next_ticket: Ticket,
}

impl Dispatcher {
    /// Tells which of all instances this one is; applies from the next list of upstreams on.
    pub fn set_position(&mut self, position: InstancePosition) {
        self.position = position;
    }

    /// Replaces the list of upstreams, keeping the state of the incarnations known already.
    pub fn set_upstreams(&mut self, now: Millis, specs: impl IntoIterator<Item = UpstreamSpec>) {
        let mut old = std::mem::take(&mut self.upstreams);
        for spec in specs {
            let id = spec.id.clone();
            let upstream = match old.remove(&id) {
                Some(mut known) if known.spec.started == spec.started => {
                    if let Some(limit) = &mut known.rate_limit {
                        limit.update(now, limit.per_second(), &self.position);
                    }
                    Upstream { spec, ..known }
                }
                // Requests to an earlier incarnation still end here.
                Some(earlier) => Upstream { in_flight: earlier.in_flight, ..Upstream::new(spec) },
                None => Upstream::new(spec),
            };
            self.upstreams.insert(id, upstream);
        }
        let usable = self.upstreams.values().filter(|u| !u.spec.leaving).count();
        self.reachability.set_upstreams(usable);
        // Removed upstreams with requests in flight stay, at least until the next call.
        let in_use = old.into_iter().filter(|(_, u)| u.in_flight > 0);
        let removed = in_use.map(|(id, mut u)| {
            u.spec.leaving = true;
            (id, u)
        });
        self.upstreams.extend(removed);
    }

    /// Takes over the shares of the requests that overloaded owners can serve, see
    /// [`crate::overload`].
    pub fn set_shares(&mut self, now: Millis, shares: Vec<OwnerShare>) {
        self.shares.set(now, shares);
        for (id, upstream) in &mut self.upstreams {
            upstream.cold = upstream.cold.filter(|c| c.is_cold(now));
            if let Some(cold) = &mut upstream.cold {
                cold.set_share(now, self.shares.announced(now, id));
            }
        }
    }

    /// Takes over which upstreams are cold; see [`crate::warmup`].
    pub fn set_cold(&mut self, now: Millis, cold: &ColdUpstreams) {
        for (id, upstream) in &mut self.upstreams {
            let (Some(limits), Some(until)) = (cold.limits(), cold.cold_until(now, id)) else {
                upstream.cold = None;
                continue;
            };
            let pace = upstream.cold.get_or_insert_with(|| {
                let mut pace = ColdPace::new(now, limits, until, &self.position);
                pace.set_share(now, self.shares.announced(now, id));
                pace
            });
            pace.update(now, limits, until, &self.position);
        }
        self.update_admission(now);
    }

    /// Takes over what a response says about the limit of upstream `id`; returns whether that
    /// changes the limit.
    pub fn on_limit_notice(&mut self, now: Millis, id: &Arc<str>, notice: LimitNotice) -> bool {
        let upstream = self.upstreams.get_mut(id);
        upstream.is_some_and(|u| u.on_limit_notice(now, notice, &self.position))
    }

    /// Records that upstream `id` wants no requests from this instance for `rest_ms`.
    pub fn on_rest(&mut self, now: Millis, id: &Arc<str>, rest_ms: Millis) {
        if let Some(u) = self.upstreams.get_mut(id) {
            u.rests_until = u.rests_until.max(now + rest_ms);
        }
    }

    /// Returns whether there was any request.
    #[must_use]
    pub fn had_requests(&self) -> bool {
        self.had_requests
    }

    /// Returns the numbers of requests in flight and waiting.
    #[must_use]
    pub fn request_counts(&self) -> (u32, usize) {
        (self.upstreams.values().map(|u| u.in_flight).sum(), self.waiting.len())
    }

    /// Decides whether a new request is sent, rejected or queued; one to send is counted as in
    /// flight.
    ///
    /// # Errors
    ///
    /// Returns a ticket if the request has to wait until [`Dispatcher::poll`] returns it.
    pub fn submit(&mut self, now: Millis, req: RequestSpec) -> Result<Decision, Ticket> {
        self.had_requests = true;
        if req.forwardable && self.lacks_path(now, &req) {
            return Ok(self.forward(now, &req));
        }
        if let Some(reason) = self.rejection_reason(now, &req) {
            return Ok(self.reject(now, &req, reason));
        }
        if let Destination::Owner(id, _) = &req.destination
            && !req.admitted
        {
            // The announced share of an owner that was cold until now does not count any more.
            let cold = self.upstreams.get(id).and_then(|u| u.cold.as_ref());
            if cold.is_some_and(|c| !c.admits_new(now, rand::random_range(0.0..1.0))) {
                return Ok(self.reject(now, &req, Rejection::UpstreamLimit));
            }
            if cold.is_none() && !self.shares.admits(now, id) {
                return Ok(self.reject(now, &req, Rejection::Overload));
            }
        }
        if req.destination == Destination::Any
            && !req.admitted
            && self.is_shared_widely()
            && !self.admission.admits(now, req.priority)
        {
            return Ok(self.reject_for_capacity(now, &req));
        }
        let ahead = self.requests_ahead(now, &req);
        if ahead == 0
            && let Some(id) = self.choose_upstream(now, &req)
        {
            return Ok(self.assign(now, id, &req));
        }
        let wait = self.expected_wait(now, &req, ahead);
        #[expect(clippy::cast_precision_loss, reason = "short spans")]
        let max_wait = req.objective_at.saturating_sub(now) as f64 * MAX_WAIT_SHARE;
        let is_busy = ahead > 0 || self.is_rate_limited(now, &req) || self.is_full(now, &req);
        if is_busy && wait > max_wait {
            return Ok(self.reject_for_capacity(now, &req));
        }
        let ticket = self.next_ticket;
        self.next_ticket += 1;
        self.waiting.push(WaitingRequest { ticket, req });
        Err(ticket)
    }

    /// Removes a waiting request; returns `false` if it is no longer waiting.
    pub fn abandon(&mut self, ticket: Ticket) -> bool {
        let before = self.waiting.len();
        self.waiting.retain(|w| w.ticket != ticket);
        self.waiting.len() < before
    }

    /// Updates where waiting requests may be sent, after the owners of keys have changed.
    pub fn update_destinations(&mut self, destination: impl Fn(Ticket) -> Option<Destination>) {
        for w in &mut self.waiting {
            if let Some(new) = destination(w.ticket) {
                w.req.destination = new;
            }
        }
    }

    /// Records how an attempt at upstream `id` ended.
    pub fn on_completion(
        &mut self,
        now: Millis,
        id: &Arc<str>,
        completion: Completion,
        load: Option<LoadReport>,
    ) {
        if let Some(u) = self.upstreams.get_mut(id) {
            u.in_flight = u.in_flight.saturating_sub(1);
            u.record_completion(now, completion, load);
        }
        match completion {
            Completion::Responded(_) | Completion::Refused | Completion::NotOwner => {
                self.reachability.on_response(now);
            }
            Completion::Unreachable => self.reachability.on_unreachable(now, id),
            Completion::Failed | Completion::Silent | Completion::Inconclusive => {}
        }
    }

    /// Records that upstream `id` does not accept connections, as seen outside of requests.
    pub fn on_unreachable(&mut self, now: Millis, id: &Arc<str>) {
        if let Some(u) = self.upstreams.get_mut(id) {
            u.eject(now);
        }
        self.reachability.on_unreachable(now, id);
    }

    /// Records that upstream `id` has accepted a connection for a request.
    pub fn on_connected(&mut self, id: &Arc<str>) {
        if let Some(u) = self.upstreams.get_mut(id) {
            u.other_paths = OtherPaths::default();
        }
        self.reachability.on_connected(id);
    }

    /// Records that an upstream has answered an order.
    pub fn on_order_answered(&mut self, now: Millis) {
        self.reachability.on_response(now);
    }

    /// Records that no connection could be made to upstream `id` for an order.
    pub fn on_order_not_sent(&mut self, now: Millis, id: &Arc<str>) {
        self.reachability.on_unreachable(now, id);
    }

    /// Records that upstream `id` accepts connections, as seen outside of requests.
    pub fn on_reachable(&mut self, id: &Arc<str>) {
        if let Some(u) = self.upstreams.get_mut(id) {
            (u.ejections, u.ejected_until) = (0, 0);
        }
        self.on_connected(id);
    }

    /// Records that other instances do not reach upstream `id` either.
    pub fn on_unreachable_for_others(&mut self, now: Millis, id: &Arc<str>) {
        if let Some(u) = self.upstreams.get_mut(id) {
            u.other_paths.on_refused(now);
        }
    }

    /// Records the response to a request for any upstream that had `objective_ms` left until its latency
    /// objective when it was sent.
    pub fn on_answered(&mut self, now: Millis, load: LoadReport, took_ms: f64, objective_ms: f64) {
        if self.is_shared_widely() {
            self.admission.on_response(now, load, took_ms, objective_ms);
        }
    }

    /// Returns whether so many instances share the upstreams that each may have only a small part of a
    /// request in flight at one of them, so that its window does not bound the load.
    fn is_shared_widely(&self) -> bool {
        let largest = self.upstreams.values().map(|u| u.spec.concurrency).max();
        largest.is_some_and(|n| self.position.instances > n.saturating_mul(WIDE_SHARING_FACTOR))
    }

    /// Returns whether requests for any upstream are rejected because these are saturated, if that has
    /// changed since the last call.
    pub fn take_admission_change(&mut self) -> Option<bool> {
        self.admission.take_change()
    }

    /// Records that a request for owner `id` was forwarded, and whether another instance has served it.
    pub fn on_forwarded(&mut self, now: Millis, id: &Arc<str>, served: bool) {
        if let Some(u) = self.upstreams.get_mut(id) {
            if served { u.other_paths.on_served(now) } else { u.other_paths.on_inconclusive() }
        }
    }

    /// Returns the mean response time of upstream `id` in milliseconds.
    #[must_use]
    pub fn response_time(&self, id: &Arc<str>) -> Option<f64> {
        self.upstreams.get(id).map(|u| u.response_time)
    }

    /// Returns whether nothing was heard from upstream `id` since `sent_at`.
    #[must_use]
    pub fn is_silent(&self, id: &Arc<str>, sent_at: Millis) -> bool {
        self.upstreams.get(id).is_some_and(|u| u.heard_at.is_none_or(|at| at <= sent_at))
    }

    /// Returns the share of the requests for any upstream that is admitted.
    #[must_use]
    pub fn admission_level(&self) -> f64 {
        self.admission.level()
    }

    /// Returns whether this instance is cut off from the upstreams.
    #[must_use]
    pub fn is_cut_off(&self) -> bool {
        self.reachability.is_cut_off()
    }

    /// Returns whether upstream `id` was unreachable lately.
    #[must_use]
    pub fn is_unreachable(&self, now: Millis, id: &Arc<str>) -> bool {
        self.upstreams.get(id).is_some_and(|u| u.is_ejected(now))
    }

    /// Returns whether another instance may reach the upstreams for a request that this one does not
    /// reach.
    fn lacks_path(&self, now: Millis, req: &RequestSpec) -> bool {
        match &req.destination {
            Destination::Owner(id, _) => {
                let owner = self.upstreams.get(id).filter(|u| u.is_ejected(now));
                self.is_cut_off() || owner.is_some_and(|u| u.other_paths.may_ask(now))
            }
            Destination::Any => {
                let mut usable = self.upstreams.values().filter(|u| !u.spec.leaving).peekable();
                self.is_cut_off() || usable.peek().is_some() && usable.all(|u| u.is_ejected(now))
            }
            Destination::NoOwner | Destination::OwnerLost => false,
        }
    }

    /// Decides to forward a request. Others for its owner wait until the result is known.
    fn forward(&mut self, now: Millis, req: &RequestSpec) -> Decision {
        if !self.is_cut_off()
            && let Destination::Owner(id, _) = &req.destination
            && let Some(u) = self.upstreams.get_mut(id)
        {
            u.other_paths.on_asked(now);
        }
        Decision::Forward
    }

    /// Records that the upstream that owns a key under `fence`, by the committed owners, refused
    /// it: it has not got the grant yet, or holds it no longer. Returns whether it had lost it.
    pub fn on_refused_key(&mut self, now: Millis, owner: &Arc<str>, key: Key, fence: u64) -> bool {
        self.refusals.on_refused(now, owner, fence, key)
    }

    /// Records that the owner of a key has run a request under `fence`.
    pub fn on_accepted_key(&mut self, now: Millis, owner: &Arc<str>, key: Key, fence: u64) {
        self.refusals.on_accepted(now, owner, fence, key);
    }

    /// Returns whether the owner of a key holds the grant, as far as is known.
    #[must_use]
    pub fn grant_state(&self, now: Millis, key: Option<Key>, dest: &Destination) -> GrantState {
        match (key, dest) {
            (Some(key), Destination::Owner(id, fence)) => self.refusals.state(now, id, *fence, key),
            _ => GrantState::Held,
        }
    }

    /// Decides which waiting requests are now sent or rejected, and returns these decisions; those
    /// to send are counted as in flight.
    pub fn poll(&mut self, now: Millis) -> Vec<(Ticket, Decision)> {
        let mut decisions = Vec::new();
        let waiting = std::mem::take(&mut self.waiting);
        let (mut on_time, mut late) = (Vec::new(), Vec::new());
        for w in waiting {
            if w.req.forwardable && self.lacks_path(now, &w.req) {
                decisions.push((w.ticket, self.forward(now, &w.req)));
            } else if let Some(reason) = self.rejection_reason(now, &w.req) {
                decisions.push((w.ticket, self.reject(now, &w.req, reason)));
            } else if now >= wait_deadline(&w.req) {
                late.push(w);
            } else {
                on_time.push(w);
            }
        }
        // Requests that can meet their latency objective go first, by priority and remaining time.
        // The others get what capacity is left, or are rejected.
        on_time.sort_by_key(|w| (w.req.priority, w.req.objective_at, w.ticket));
        late.sort_by_key(|w| (w.req.priority, w.ticket));
        for w in on_time {
            match self.choose_upstream(now, &w.req) {
                Some(id) => {
                    let decision = self.assign(now, id, &w.req);
                    decisions.push((w.ticket, decision));
                }
                None => self.waiting.push(w),
            }
        }
        self.credits.expire(now);
        self.update_admission(now);
        decisions.extend(self.reject_without_credit(now));
        for w in late {
            let decision = match self.choose_upstream(now, &w.req) {
                Some(id) => self.assign(now, id, &w.req),
                None => self.reject_for_capacity(now, &w.req),
            };
            decisions.push((w.ticket, decision));
        }
        decisions
    }

    /// Records whether a request was rejected, and returns the rejection rate at its destination.
    fn update_rejection_rate(&mut self, destination: &Destination, rejected: bool) -> f64 {
        let rejection_rate = match destination {
            Destination::Owner(id, _) => match self.upstreams.get_mut(id) {
                Some(u) => &mut u.rejection_rate,
                None => return 0.0,
            },
            Destination::Any => &mut self.rejection_rate,
            Destination::NoOwner | Destination::OwnerLost => return 0.0,
        };
        let sample = if rejected { 1.0 } else { 0.0 };
        *rejection_rate += REJECTION_RATE_WEIGHT * (sample - *rejection_rate);
        *rejection_rate
    }

    /// Counts a request as in flight at an upstream and returns the decision to send it there.
    fn assign(&mut self, now: Millis, id: Arc<str>, req: &RequestSpec) -> Decision {
        self.update_rejection_rate(&req.destination, false);
        if let Some(u) = self.upstreams.get_mut(&id) {
            if u.cold.is_some_and(|c| c.needs_credit(now)) {
                self.credits.take(now, &id);
            }
            u.begin_request(now);
        }
        Decision::Send(id)
    }

    /// Rejects a request for which no upstream has capacity in time.
    fn reject_for_capacity(&mut self, now: Millis, req: &RequestSpec) -> Decision {
        let limited = self.is_rate_limited(now, req);
        let reason = if limited { Rejection::UpstreamLimit } else { Rejection::Overload };
        self.reject(now, req, reason)
    }

    fn reject(&mut self, now: Millis, req: &RequestSpec, reason: Rejection) -> Decision {
        let wait = match reason {
            Rejection::Overload | Rejection::UpstreamLimit => {
                // The more requests are rejected, the longer until one is likely to be accepted.
                let served = 1.0 - self.update_rejection_rate(&req.destination, true);
                let served = match &req.destination {
                    Destination::Owner(id, _) => served.min(self.shares.share(now, id)),
                    _ => served,
                };
                let wait = self.expected_wait(now, req, self.requests_ahead(now, req));
                let wait = wait.max(self.refused_wait(now, req)) / served.max(MIN_SERVED_SHARE);
                wait.min(self.credits_end(now, req))
            }
            Rejection::NoOwner if req.destination == Destination::OwnerLost => {
                OWNER_LOST_RETRY_AFTER_MS
            }
            // The time itself is added below.
            Rejection::UpstreamRest => 0.0,
            Rejection::NoUpstream | Rejection::NoOwner | Rejection::CutOff => {
                UNAVAILABLE_RETRY_AFTER_MS
            }
        };
        #[expect(clippy::cast_precision_loss, reason = "short spans")]
        let time_left = req.deadline.saturating_sub(now) as f64;
        let max = MAX_RETRY_AFTER_MS.max(time_left * MAX_RETRY_AFTER_SHARE);
        // Jitter in proportion to the time, so that callers rejected together do not come back
        // together.
        let jitter = rand::random_range(0.75..1.5);
        #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "positive")]
        let retry_after = (wait.clamp(MIN_RETRY_AFTER_MS, max) * jitter) as Millis;
        let retry_after = retry_after + self.rest_left(now, req);
        Decision::Reject { reason, retry_after }
    }

    /// Returns why the request cannot be served, if that is clear or its time to wait is over.
    fn rejection_reason(&self, now: Millis, req: &RequestSpec) -> Option<Rejection> {
        match &req.destination {
            Destination::NoOwner if now >= wait_deadline(req) => Some(Rejection::NoOwner),
            Destination::NoOwner => None,
            Destination::OwnerLost => Some(Rejection::NoOwner),
            Destination::Owner(..) | Destination::Any if self.is_cut_off() => {
                Some(Rejection::CutOff)
            }
            Destination::Owner(..) | Destination::Any
                if now + self.rest_left(now, req) > wait_deadline(req) =>
            {
                Some(Rejection::UpstreamRest)
            }
            Destination::Owner(..)
                if self.grant_state(now, req.key, &req.destination) == GrantState::Lost =>
            {
                Some(Rejection::NoOwner)
            }
            Destination::Owner(id, _) => {
                let owner = self.upstreams.get(id).filter(|u| u.is_ejected(now))?;
                if req.forwardable && owner.other_paths.is_asked(now) && now < wait_deadline(req) {
                    return None;
                }
                // A request waits for an owner that has just become unreachable until half of the
                // shortest ejection has passed since its arrival.
                let has_waited =
                    now >= req.arrived_at + BASE_EJECTION_MS / 2 || req.tried.contains(id);
                let is_lost = owner.ejections >= UNREACHABLE_EJECTIONS;
                (has_waited || is_lost).then_some(Rejection::NoOwner)
            }
            Destination::Any => {
                let any = self.untried(req).next().is_some();
                (!any).then_some(Rejection::NoUpstream)
            }
        }
    }

    /// Returns whether the owner of the request's key has recently refused that key.
    fn is_key_refused(&self, now: Millis, req: &RequestSpec) -> bool {
        self.grant_state(now, req.key, &req.destination) != GrantState::Held
    }

    /// Returns the time in milliseconds until the first upstream that could take the request wants
    /// requests again; 0 if there is no such upstream.
    fn rest_left(&self, now: Millis, req: &RequestSpec) -> Millis {
        let until = match &req.destination {
            Destination::Owner(id, _) => self.upstreams.get(id).map(|u| u.rests_until),
            Destination::Any => self.untried(req).map(|u| u.rests_until).min(),
            Destination::NoOwner | Destination::OwnerLost => None,
        };
        until.map_or(0, |until| until.saturating_sub(now))
    }

    /// Returns the upstreams that a request to any of them may be sent to.
    fn untried(&self, req: &RequestSpec) -> impl Iterator<Item = &Upstream> {
        let may_take = |u: &&Upstream| !u.spec.leaving && !req.tried.contains(&u.spec.id);
        self.upstreams.values().filter(may_take)
    }

    /// Returns whether the limits that they have named forbid all upstreams that could take the
    /// request to be sent it now.
    fn is_rate_limited(&self, now: Millis, req: &RequestSpec) -> bool {
        match &req.destination {
            Destination::Owner(id, _) => {
                let owner = self.upstreams.get(id);
                owner.is_some_and(|u| u.is_rate_limited(now) || self.lacks_credit(now, u))
            }
            Destination::Any => self.untried(req).all(|u| u.is_rate_limited(now)),
            Destination::NoOwner | Destination::OwnerLost => false,
        }
    }

    /// Returns whether the owner of the request's key was full just now.
    fn is_full(&self, now: Millis, req: &RequestSpec) -> bool {
        let Destination::Owner(id, _) = &req.destination else {
            return false;
        };
        self.upstreams.get(id).is_some_and(|u| now < u.full_until)
    }

    /// Returns how many waiting requests with the same destination go before `req`: those of the
    /// same or a higher priority.
    ///
    /// Requests for keys that their owner has just refused do not hold up others.
    fn requests_ahead(&self, now: Millis, req: &RequestSpec) -> usize {
        let same_destination = |w: &&WaitingRequest| match (&w.req.destination, &req.destination) {
            (Destination::Owner(a, _), Destination::Owner(b, _)) => a == b,
            (Destination::Any, Destination::Any) => true,
            _ => false,
        };
        let goes_before = |w: &&WaitingRequest| {
            w.req.priority <= req.priority && !self.is_key_refused(now, &w.req)
        };
        self.waiting.iter().filter(same_destination).filter(goes_before).count()
    }

    /// Returns the time in milliseconds that a request is expected to wait behind `ahead` others.
    fn expected_wait(&self, now: Millis, req: &RequestSpec, ahead: usize) -> f64 {
        #[expect(clippy::cast_precision_loss, reason = "small numbers")]
        let position = ahead as f64 + 1.0;
        match &req.destination {
            Destination::Owner(id, _) => {
                let owner = self.upstreams.get(id);
                #[expect(clippy::cast_precision_loss, reason = "short spans")]
                let wait = |u: &Upstream| {
                    u.expected_wait(now, position).max(u.full_until.saturating_sub(now) as f64)
                };
                owner.map_or(MAX_RETRY_AFTER_MS, wait)
            }
            Destination::Any => {
                let available = self
                    .upstreams
                    .values()
                    .filter(|u| !u.spec.leaving && !u.is_ejected(now) && now >= u.rests_until);
                let throughput: f64 = available.map(|u| u.throughput(now)).sum();
                if throughput > 0.0 { position / throughput } else { UNAVAILABLE_RETRY_AFTER_MS }
            }
            Destination::NoOwner | Destination::OwnerLost => UNAVAILABLE_RETRY_AFTER_MS,
        }
    }

    /// Returns the upstream that should get the request now, if one has capacity.
    fn choose_upstream(&self, now: Millis, req: &RequestSpec) -> Option<Arc<str>> {
        match &req.destination {
            Destination::NoOwner | Destination::OwnerLost => None,
            Destination::Owner(id, _) => {
                let u = self.upstreams.get(id)?;
                let available = !u.spec.leaving && !u.is_ejected(now) && u.can_take(now);
                let available = available && now >= u.full_until && !self.lacks_credit(now, u);
                let available = available && !self.is_key_refused(now, req);
                available.then(|| id.clone())
            }
            Destination::Any => {
                let usable: Vec<&Upstream> = self.untried(req).collect();
                let healthy =
                    usable.iter().filter(|u| !u.is_ejected(now) && now >= u.avoided_until);
                let mut candidates: Vec<&&Upstream> = healthy.collect();
                if candidates.is_empty() {
                    // An ejected upstream is better than none, and one that fails than one that
                    // cannot be reached.
                    candidates = usable.iter().filter(|u| !u.is_ejected(now)).collect();
                }
                if candidates.is_empty() {
                    candidates = usable.iter().collect();
                }
                let score = |u: &Upstream| {
                    u.expected_response_time(now, req.large_response)
                        * rand::random_range(0.97..1.03)
                };
                let widely = self.is_shared_widely();
                let with_capacity = candidates.iter().filter(|u| u.can_take(now)).map(|u| {
                    let (recently_seen, same_data_center) =
                        (!widely || u.is_recently_seen(now), u.spec.same_data_center);
                    Candidate { id: **u, recently_seen, same_data_center }
                });
                upstream_choice::choose(with_capacity, score).map(|u| u.spec.id.clone())
            }
        }
    }
}

/// Returns until when a request may wait: for [`MAX_WAIT_SHARE`] of the time from its arrival to
/// its latency objective, and at most until its deadline.
fn wait_deadline(req: &RequestSpec) -> Millis {
    #[expect(clippy::cast_precision_loss, reason = "short spans")]
    let max_wait = req.objective_at.saturating_sub(req.arrived_at) as f64 * MAX_WAIT_SHARE;
    #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "positive")]
    let until = req.arrived_at + max_wait as Millis;
    until.min(req.deadline)
}
