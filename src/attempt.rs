//! One attempt at a request in mulberryd: chooses the target, waits for admission, sends the
//! request and determines how far it got.
//!
//! Its counterpart in mulberryspur-platform is `forward`.

use crate::{
    body::RequestBody,
    cell::{CellRow, InstanceId, cell_name},
    clock::{Millis, boot_millis},
    error::Error,
    http,
    instance::Instance,
    load_balancing,
    membership::InstanceInfo,
    outcome::{Outcome, Progress, Reason},
    pool::PooledConnection,
    proxy::RequestContext,
    resource::{Fencing, RequestClass, Upstream, UpstreamState},
    slot::{self, Epoch, SlotId},
    upstreams::{AdmissionPermit, UpstreamRuntime, in_flight_limits},
    wire,
};
use hyper::{
    HeaderMap, Request, Response,
    body::Incoming,
    header::{self, HeaderValue},
    http::request::Parts,
};
use std::{
    net::SocketAddr,
    sync::{Arc, PoisonError},
    time::{Duration, Instant},
};

/// Longest body of a refusal, in bytes, that is read so that the connection can be used again.
const MAX_REFUSAL_BODY_BYTES: usize = 4 * 1024;
/// Headers that callers must not set; they are removed before a request is sent on.
const INTERNAL_HEADERS: [&str; 6] = [
    wire::SLOT,
    wire::EPOCH,
    wire::FORWARDING_SECRET,
    wire::REFUSAL_REASON,
    wire::UPSTREAM_IN_FLIGHT,
    wire::OUTCOME,
];

/// Why an attempt failed, or why a request was not served at all.
#[derive(Debug, Clone)]
pub(crate) struct Failure {
    pub reason: Reason,
    pub outcome: Outcome,
    pub progress: Progress,
    /// Whether a later attempt or one at another upstream may succeed.
    pub transient: bool,
    pub retry_after: Option<Millis>,
}

impl Failure {
    /// Creates a failure after which no attempt follows.
    pub fn new(reason: Reason, outcome: Outcome) -> Self {
        let progress = match outcome {
            Outcome::NotRun => Progress::NotSent,
            Outcome::Unknown => Progress::Sent,
            Outcome::Ran => Progress::Responded,
        };
        Self { reason, outcome, progress, transient: false, retry_after: None }
    }

    /// Sets the time in milliseconds after which the caller should retry.
    pub fn with_retry_after_ms(mut self, ms: Millis) -> Self {
        self.retry_after = Some(ms);
        self
    }

    /// Creates a failure after which another attempt may follow.
    fn new_transient(reason: Reason, progress: Progress) -> Self {
        let outcome = progress.outcome();
        Self { reason, outcome, progress, transient: true, retry_after: None }
    }
}

/// A response whose head has arrived, with what is kept until its body has ended.
#[derive(Debug)]
pub(crate) struct AttemptResponse {
    pub res: Response<Incoming>,
    pub conn: PooledConnection,
    pub in_flight: Option<InFlightGuard>,
    pub outcome: Outcome,
    pub entry_grant: Option<EntryGrantGuard>,
}

/// Counts a request as part of an upstream's load until dropped, also while it waits for admission,
/// and holds its admission permit.
#[derive(Debug)]
pub(crate) struct InFlightGuard {
    upstream: Arc<UpstreamRuntime>,
    permit: Option<AdmissionPermit>,
}

impl InFlightGuard {
    fn new(upstream: Arc<UpstreamRuntime>) -> Self {
        upstream.load.lock().unwrap_or_else(PoisonError::into_inner).on_start();
        Self { upstream, permit: None }
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        drop(self.permit.take());
        self.upstream.load.lock().unwrap_or_else(PoisonError::into_inner).on_end();
    }
}

/// A request that runs under this instance's entry grant, because its upstream checks no grants.
/// Dropping this ends the request in the instance's record of the grant.
#[derive(Debug)]
pub(crate) struct EntryGrantGuard {
    instance: Arc<Instance>,
    cell: Arc<str>,
    slot: SlotId,
    epoch: Epoch,
    until: Millis,
}

impl EntryGrantGuard {
    fn begin(
        instance: &Arc<Instance>,
        cell: &Arc<str>,
        slot: SlotId,
        epoch: Epoch,
    ) -> Option<Self> {
        let now = boot_millis();
        let until = instance.with_entry_grant_holder(cell, |holder| {
            holder.begin_request(now, slot, epoch).ok().map(|()| holder.until())
        })??;
        Some(Self { instance: instance.clone(), cell: cell.clone(), slot, epoch, until })
    }
}

impl Drop for EntryGrantGuard {
    fn drop(&mut self) {
        self.instance.with_entry_grant_holder(&self.cell, |h| h.end_request(self.slot, self.epoch));
    }
}

/// Where an attempt goes.
#[derive(Debug, Clone)]
pub(crate) struct Target {
    name: Arc<str>,
    addr: SocketAddr,
    /// Headers for this target only.
    headers: Vec<(&'static str, HeaderValue)>,
    /// Whether it is another instance, whose response names the outcome.
    is_peer: bool,
    /// End of the entry grant on the boot clock, `Millis::MAX` if none is needed.
    until: Millis,
}

impl Target {
    pub fn peer(name: Arc<str>, addr: SocketAddr, secret: &str) -> Self {
        let mut headers = Vec::new();
        if let Ok(mut value) = HeaderValue::from_str(secret) {
            value.set_sensitive(true);
            headers.push((wire::FORWARDING_SECRET, value));
        }
        Self { name, addr, headers, is_peer: true, until: Millis::MAX }
    }

    fn upstream(u: &Upstream) -> Self {
        let name = u.name.clone();
        Self { name, addr: u.address, headers: Vec::new(), is_peer: false, until: Millis::MAX }
    }
}

/// Returns the name of the upstream that owns the request's slot, by the cell row known here.
pub(crate) fn slot_owner(instance: &Instance, cx: &RequestContext) -> Option<Arc<str>> {
    let cell = cell_name(&cx.service.service.name, &instance.cfg.data_center);
    let cell_row = instance.cell_rows.get(&cell)?;
    let slot = slot_in(&cell_row.row, cx)?;
    Some(cell_row.row.slots.get(&slot)?.owner.upstream.clone())
}

/// Returns the slot of the request's key by the pins in `row`; the owner must be read from the same
/// row.
fn slot_in(row: &CellRow, cx: &RequestContext) -> Option<SlotId> {
    let ownership = cx.service.ownership.as_ref()?;
    let service = &cx.service.service.name;
    Some(slot::slot_of(service, cx.key.as_ref()?, ownership.slots, &row.pins))
}

fn live_peers(instance: &Instance, dc: &str) -> Vec<InstanceInfo> {
    let timeout_ms = instance.member_timeout_ms();
    let now = boot_millis();
    instance
        .with_membership(|m| m.live(now, timeout_ms, dc).iter().map(|m| m.info.clone()).collect())
}

/// Returns the live instances of another data centre.
pub(crate) fn peers_in(instance: &Instance, dc: &str) -> Vec<InstanceInfo> {
    live_peers(instance, dc)
}

/// Returns the other live instances of this data centre that may send long requests to an upstream.
pub(crate) fn peers_with_long_request_quota(
    instance: &Instance,
    cx: &RequestContext,
    upstream: &str,
) -> Vec<InstanceInfo> {
    let mut peers = live_peers(instance, &instance.cfg.data_center);
    // Numbers the instances as each of them does in `Instance::index_among_live`.
    let mut ids: Vec<InstanceId> = peers.iter().map(|p| p.id).collect();
    ids.push(instance.id);
    ids.sort_unstable();
    ids.dedup();
    peers.retain(|p| {
        let index = ids.iter().position(|id| *id == p.id).unwrap_or(0);
        p.id != instance.id && in_flight_limits(&cx.service, upstream, index, ids.len()).long > 0
    });
    peers
}

/// Makes one attempt at an upstream of this data centre.
pub(crate) async fn try_once(
    instance: &Arc<Instance>,
    cx: &mut RequestContext,
    head: &Parts,
    body: &mut RequestBody,
    failed: &[Arc<str>],
) -> Result<AttemptResponse, Failure> {
    let (target, entry_grant) = if cx.key.is_some() {
        keyed_target(instance, cx)?
    } else {
        (unkeyed_target(instance, cx, failed)?, None)
    };
    cx.upstream = target.name.clone();
    let no_upstream = || Failure::new_transient(Reason::NoUpstream, Progress::NotSent);
    let upstream = instance.upstreams.get(&target.name).ok_or_else(no_upstream)?;
    let deadline = cx.deadline.min(target.until);
    // Counted before admission, so that the choice among upstreams sees queued requests too.
    let mut in_flight = InFlightGuard::new(upstream.clone());
    let permit = upstream.admit(cx.class, deadline).await;
    let overload = |ms| Failure::new(Reason::Overload, Outcome::NotRun).with_retry_after_ms(ms);
    in_flight.permit = Some(permit.map_err(overload)?);
    cx.attempts += 1;
    let started = Instant::now();
    let result = send(instance, cx, head, body, target, Some(in_flight)).await;
    update_load(&upstream, cx, &result, started);
    result.map(|attempt| AttemptResponse { entry_grant, ..attempt })
}

/// Updates the load by which upstreams are chosen, from the result of an attempt.
fn update_load(
    upstream: &UpstreamRuntime,
    cx: &RequestContext,
    result: &Result<AttemptResponse, Failure>,
    started: Instant,
) {
    let now = boot_millis();
    let mut load = upstream.load.lock().unwrap_or_else(PoisonError::into_inner);
    match result {
        Ok(a) if cx.class == RequestClass::Short => {
            let reported = a.res.headers().get(wire::UPSTREAM_IN_FLIGHT);
            let reported = reported.and_then(|v| v.to_str().ok()?.parse().ok());
            load.on_response(now, started.elapsed().as_secs_f64() * 1_000.0, reported);
        }
        // The time of a long request says nothing about the upstream's speed.
        Ok(_) => {}
        // The time left may have been too short, which is no fault of the upstream.
        Err(f) if f.reason == Reason::Deadline => {}
        Err(_) => load.on_failure(now),
    }
}

fn keyed_target(
    instance: &Arc<Instance>,
    cx: &mut RequestContext,
) -> Result<(Target, Option<EntryGrantGuard>), Failure> {
    let no_owner =
        || Failure::new_transient(Reason::NoOwner, Progress::NotSent).with_retry_after_ms(1_000);
    let cell = cell_name(&cx.service.service.name, &instance.cfg.data_center);
    let cell_row = instance.cell_rows.get(&cell).ok_or_else(no_owner)?;
    let slot = slot_in(&cell_row.row, cx).ok_or_else(no_owner)?;
    cx.slot = Some(slot);
    let assignment = cell_row.row.slots.get(&slot).ok_or_else(no_owner)?;
    let epoch = assignment.epoch;
    let upstream = cx.service.upstream(&assignment.owner.upstream).ok_or_else(no_owner)?;
    cx.epoch = Some(epoch);
    let mut target = Target::upstream(upstream);
    target.headers.push((wire::SLOT, HeaderValue::from(slot)));
    target.headers.push((wire::EPOCH, HeaderValue::from(epoch)));
    if upstream.fencing == Fencing::Checked {
        return Ok((target, None));
    }
    let grant = EntryGrantGuard::begin(instance, &cell, slot, epoch).ok_or_else(no_owner)?;
    target.until = grant.until;
    Ok((target, Some(grant)))
}

fn unkeyed_target(
    instance: &Instance,
    cx: &RequestContext,
    failed: &[Arc<str>],
) -> Result<Target, Failure> {
    let now = boot_millis();
    let service = &cx.service.service;
    let accepts_requests = |u: &&Arc<Upstream>| {
        u.state == UpstreamState::Active && !instance.is_on_leaving_list(&u.name)
    };
    let local = cx.service.upstreams_in(&instance.cfg.data_center).filter(accepts_requests);
    let mut candidates: Vec<(&Arc<Upstream>, Arc<UpstreamRuntime>)> =
        local.filter_map(|u| Some((u, instance.upstreams.get(&u.name)?))).collect();
    if candidates.iter().any(|(u, _)| !failed.contains(&u.name)) {
        candidates.retain(|(u, _)| !failed.contains(&u.name));
    }
    if cx.class == RequestClass::Long {
        candidates.retain(|(_, upstream)| upstream.accepts_long());
    }
    let loads: Vec<_> = candidates
        .iter()
        .map(|(_, upstream)| upstream.load.lock().unwrap_or_else(PoisonError::into_inner).clone())
        .collect();
    let loads: Vec<_> = loads.iter().collect();
    let chosen =
        load_balancing::choose_upstream(&loads, now, service.concurrency, &mut rand::rng());
    let no_upstream =
        || Failure::new(Reason::NoUpstream, Outcome::NotRun).with_retry_after_ms(1_000);
    Ok(Target::upstream(candidates[chosen.ok_or_else(no_upstream)?].0))
}

/// Sends the request to a target and waits for the head of the response.
///
/// `in_flight` is `None` for a peer: only requests at upstreams count as load.
pub(crate) async fn send(
    instance: &Instance,
    cx: &mut RequestContext,
    head: &Parts,
    body: &mut RequestBody,
    target: Target,
    in_flight: Option<InFlightGuard>,
) -> Result<AttemptResponse, Failure> {
    let now = boot_millis();
    let time_left = cx.deadline.min(target.until).saturating_sub(now);
    let timed_out = |progress| Failure {
        transient: false,
        ..Failure::new_transient(Reason::Deadline, progress)
    };
    if time_left == 0 {
        return Err(timed_out(Progress::NotSent));
    }
    let timeout = tokio::time::sleep(Duration::from_millis(time_left));
    tokio::pin!(timeout);
    let mut conn = tokio::select! {
        conn = instance.request_pool.acquire(target.addr) => conn.map_err(|e| {
            log_failure(cx, &e);
            Failure::new_transient(Reason::NoUpstream, Progress::NotSent).with_retry_after_ms(1_000)
        })?,
        () = &mut timeout => return Err(timed_out(Progress::NotSent)),
    };
    let time_left = cx.deadline.min(target.until).saturating_sub(boot_millis());
    let req = build_request(cx, head, body, &target, time_left);
    let sent = tokio::select! {
        sent = conn.send(&target.name, req) => sent,
        () = &mut timeout => {
            cx.may_have_run = true;
            return Err(timed_out(Progress::Sent));
        }
    };
    let res = sent.map_err(|f| {
        log_failure(cx, &f.error);
        let progress = match f.unsent {
            Some(req) => {
                body.restore(req.into_body());
                Progress::NotSent
            }
            None => Progress::Sent,
        };
        cx.may_have_run |= progress == Progress::Sent;
        Failure::new_transient(Reason::Broken, progress).with_retry_after_ms(1_000)
    })?;
    if target.is_peer {
        let name = res.headers().get(wire::OUTCOME).and_then(|v| v.to_str().ok());
        let outcome = name.map_or(Outcome::Unknown, Outcome::from_name);
        return Ok(AttemptResponse { res, conn, in_flight, outcome, entry_grant: None });
    }
    if res.headers().contains_key(wire::REFUSAL_REASON) {
        let body = http::read_body("read refusal", &target.name, res, MAX_REFUSAL_BODY_BYTES);
        let is_read = tokio::select! {
            body = body => body.is_ok(),
            () = &mut timeout => false,
        };
        if is_read {
            conn.return_to_pool();
        }
        return Err(
            Failure::new_transient(Reason::Refused, Progress::Refused).with_retry_after_ms(1_000)
        );
    }
    Ok(AttemptResponse { res, conn, in_flight, outcome: Outcome::Ran, entry_grant: None })
}

fn log_failure(cx: &RequestContext, e: &Error) {
    log::debug!(request = &*cx.id, upstream = &*cx.upstream; "{e}");
}

/// Builds the request that is sent to a target.
fn build_request(
    cx: &RequestContext,
    head: &Parts,
    body: &mut RequestBody,
    target: &Target,
    time_left: Millis,
) -> Request<http::Body> {
    let mut req = Request::new(body.take());
    *req.method_mut() = head.method.clone();
    let path = head.uri.path_and_query().map_or("/", |p| p.as_str());
    *req.uri_mut() = path.parse().unwrap_or_default();
    let mut headers = head.headers.clone();
    http::strip_hop_by_hop_headers(&mut headers);
    for name in INTERNAL_HEADERS {
        headers.remove(name);
    }
    if !headers.contains_key(header::HOST) {
        let authority = head.uri.authority().map_or("upstream", |a| a.as_str());
        if let Ok(value) = HeaderValue::from_str(authority) {
            headers.insert(header::HOST, value);
        }
    }
    if let Ok(value) = HeaderValue::from_str(&cx.id) {
        headers.insert(wire::REQUEST_ID, value);
    }
    headers.insert(wire::TIME_LEFT_MS, time_left.into());
    add_forwarded_for(head, &mut headers);
    for (name, value) in &target.headers {
        headers.insert(*name, value.clone());
    }
    *req.headers_mut() = headers;
    req
}

fn add_forwarded_for(head: &Parts, headers: &mut HeaderMap) {
    let Some(addr) = head.extensions.get::<SocketAddr>() else {
        return;
    };
    let existing = headers.get("x-forwarded-for").and_then(|v| v.to_str().ok());
    let value = match existing {
        Some(list) => format!("{list}, {}", addr.ip()),
        None => addr.ip().to_string(),
    };
    if let Ok(value) = HeaderValue::from_str(&value) {
        headers.insert("x-forwarded-for", value);
    }
}
