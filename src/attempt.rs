//! One attempt at a request: choice of the target, admission, exchange, and proof of its progress.

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

const REFUSAL_BODY_BYTES: usize = 4 * 1024;
/// Headers that callers must not set.
const INTERNAL_HEADERS: [&str; 6] = [
    wire::SLOT,
    wire::EPOCH,
    wire::FORWARDED_BY,
    wire::REFUSAL_REASON,
    wire::UPSTREAM_IN_FLIGHT,
    wire::OUTCOME,
];

/// An attempt that did not bring an answer.
#[derive(Debug, Clone)]
pub(crate) struct Failure {
    pub reason: Reason,
    pub outcome: Outcome,
    pub progress: Progress,
    /// Whether the cause may pass or another upstream may do better.
    pub transient: bool,
    pub retry_after: Option<Millis>,
}

impl Failure {
    pub fn new(reason: Reason, outcome: Outcome) -> Self {
        let progress = match outcome {
            Outcome::NotRun => Progress::NotSent,
            Outcome::Unknown => Progress::Sent,
            Outcome::Ran => Progress::Answered,
        };
        Self { reason, outcome, progress, transient: false, retry_after: None }
    }

    /// Sets when the caller should come back, in milliseconds.
    pub fn with_retry_after(mut self, ms: Millis) -> Self {
        self.retry_after = Some(ms);
        self
    }

    fn of(reason: Reason, progress: Progress) -> Self {
        let outcome = progress.outcome();
        Self { reason, outcome, progress, transient: true, retry_after: None }
    }
}

/// An attempt that brought the head of an answer.
#[derive(Debug)]
pub(crate) struct AttemptResponse {
    pub res: Response<Incoming>,
    pub conn: PooledConnection,
    pub in_flight: Option<InFlightGuard>,
    pub outcome: Outcome,
    pub entry_grant: Option<EntryGrantGuard>,
}

/// A place at an upstream together with its count of requests in flight.
#[derive(Debug)]
pub(crate) struct InFlightGuard {
    state: Arc<UpstreamRuntime>,
    permit: Option<AdmissionPermit>,
}

impl InFlightGuard {
    fn new(state: Arc<UpstreamRuntime>) -> Self {
        state.load.lock().unwrap_or_else(PoisonError::into_inner).on_start();
        Self { state, permit: None }
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        drop(self.permit.take());
        self.state.load.lock().unwrap_or_else(PoisonError::into_inner).on_end();
    }
}

/// A request under this instance's own grant, for an upstream that checks none.
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
        let until = instance.with_entry_holder(cell, |holder| {
            holder.begin_request(now, slot, epoch).ok().map(|()| holder.until())
        })??;
        Some(Self { instance: instance.clone(), cell: cell.clone(), slot, epoch, until })
    }
}

impl Drop for EntryGrantGuard {
    fn drop(&mut self) {
        self.instance.with_entry_holder(&self.cell, |h| h.end_request(self.slot, self.epoch));
    }
}

/// Where an attempt goes.
#[derive(Debug, Clone)]
pub(crate) struct Target {
    name: Arc<str>,
    addr: SocketAddr,
    /// Headers for this hop.
    headers: Vec<(&'static str, HeaderValue)>,
    /// Whether it is another instance, which says itself what the outcome was.
    is_peer: bool,
    until: Millis,
}

impl Target {
    pub fn peer(name: Arc<str>, addr: SocketAddr, secret: &str) -> Self {
        let mut headers = Vec::new();
        if let Ok(mut value) = HeaderValue::from_str(secret) {
            value.set_sensitive(true);
            headers.push((wire::FORWARDED_BY, value));
        }
        Self { name, addr, headers, is_peer: true, until: Millis::MAX }
    }

    fn upstream(u: &Upstream) -> Self {
        let name = u.name.clone();
        Self { name, addr: u.address, headers: Vec::new(), is_peer: false, until: Millis::MAX }
    }
}

/// Returns the name of the upstream that owns the request's slot, as far as is known here.
pub(crate) fn slot_owner(instance: &Instance, cx: &RequestContext) -> Option<Arc<str>> {
    let cell = cell_name(&cx.service.service.name, &instance.cfg.data_center);
    let map = instance.cell_rows.get(&cell)?;
    let slot = slot_in(&map.row, cx)?;
    Some(map.row.slots.get(&slot)?.owner.upstream.clone())
}

/// Returns the slot of the request's key by the row, which owners and pins come from together.
fn slot_in(row: &CellRow, cx: &RequestContext) -> Option<SlotId> {
    let ownership = cx.service.ownership.as_ref()?;
    let service = &cx.service.service.name;
    Some(slot::slot_of(service, cx.key.as_ref()?, ownership.slots, &row.pins))
}

fn live_peers(instance: &Instance, dc: &str) -> Vec<InstanceInfo> {
    let within = instance.member_timeout_ms();
    let now = boot_millis();
    instance.with_membership(|m| m.live(now, within, dc).iter().map(|m| m.info.clone()).collect())
}

/// Returns the live instances of another data centre.
pub(crate) fn peers_in(instance: &Instance, dc: &str) -> Vec<InstanceInfo> {
    live_peers(instance, dc)
}

/// Returns the live instances of this data centre that have a share of an upstream's long work.
pub(crate) fn peers_with_long_request_quota(
    instance: &Instance,
    cx: &RequestContext,
    upstream: &str,
) -> Vec<InstanceInfo> {
    let mut peers = live_peers(instance, &instance.cfg.data_center);
    let mut ids: Vec<InstanceId> = peers.iter().map(|p| p.id).collect();
    ids.push(instance.id);
    ids.sort_unstable();
    ids.dedup();
    peers.retain(|p| {
        let at = ids.iter().position(|id| *id == p.id).unwrap_or(0);
        p.id != instance.id && in_flight_limits(&cx.service, upstream, at, ids.len()).long > 0
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
    let gone = || Failure::of(Reason::NoUpstream, Progress::NotSent);
    let state = instance.upstreams.get(&target.name).ok_or_else(gone)?;
    let deadline = cx.deadline.min(target.until);
    // Counted from here, so that requests which wait are seen by the choice among upstreams.
    let mut in_flight = InFlightGuard::new(state.clone());
    let permit = state.admit(cx.class, deadline).await;
    let overload = |ms| Failure::new(Reason::Overload, Outcome::NotRun).with_retry_after(ms);
    in_flight.permit = Some(permit.map_err(overload)?);
    cx.attempts += 1;
    let started = Instant::now();
    let result = send(instance, cx, head, body, target, Some(in_flight)).await;
    note(&state, cx, &result, started);
    result.map(|attempt| AttemptResponse { entry_grant, ..attempt })
}

/// Tells the choice among upstreams how an attempt went.
fn note(
    state: &UpstreamRuntime,
    cx: &RequestContext,
    result: &Result<AttemptResponse, Failure>,
    started: Instant,
) {
    let now = boot_millis();
    let mut load = state.load.lock().unwrap_or_else(PoisonError::into_inner);
    match result {
        Ok(a) if cx.class == RequestClass::Short => {
            let reported = a.res.headers().get(wire::UPSTREAM_IN_FLIGHT);
            let reported = reported.and_then(|v| v.to_str().ok()?.parse().ok());
            load.on_answer(now, started.elapsed().as_secs_f64() * 1_000.0, reported);
        }
        Ok(_) => {}
        Err(f) if f.reason == Reason::Deadline => {}
        Err(_) => load.on_failure(now),
    }
}

fn keyed_target(
    instance: &Arc<Instance>,
    cx: &mut RequestContext,
) -> Result<(Target, Option<EntryGrantGuard>), Failure> {
    let unowned = || Failure::of(Reason::NoOwner, Progress::NotSent).with_retry_after(1_000);
    let cell = cell_name(&cx.service.service.name, &instance.cfg.data_center);
    let map = instance.cell_rows.get(&cell).ok_or_else(unowned)?;
    let slot = slot_in(&map.row, cx).ok_or_else(unowned)?;
    cx.slot = Some(slot);
    let assignment = map.row.slots.get(&slot).ok_or_else(unowned)?;
    let epoch = assignment.epoch;
    let upstream = cx.service.upstream(&assignment.owner.upstream).ok_or_else(unowned)?;
    cx.epoch = Some(epoch);
    let mut target = Target::upstream(upstream);
    target.headers.push((wire::SLOT, HeaderValue::from(slot)));
    target.headers.push((wire::EPOCH, HeaderValue::from(epoch)));
    if upstream.fencing == Fencing::Checked {
        return Ok((target, None));
    }
    let grant = EntryGrantGuard::begin(instance, &cell, slot, epoch).ok_or_else(unowned)?;
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
    let takes = |u: &&Arc<Upstream>| {
        u.state == UpstreamState::Active && !instance.is_listed_leaving(&u.name)
    };
    let local = cx.service.upstreams_in(&instance.cfg.data_center).filter(takes);
    let mut candidates: Vec<(&Arc<Upstream>, Arc<UpstreamRuntime>)> =
        local.filter_map(|u| Some((u, instance.upstreams.get(&u.name)?))).collect();
    if candidates.iter().any(|(u, _)| !failed.contains(&u.name)) {
        candidates.retain(|(u, _)| !failed.contains(&u.name));
    }
    if cx.class == RequestClass::Long {
        candidates.retain(|(_, state)| state.accepts_long());
    }
    let loads: Vec<_> = candidates
        .iter()
        .map(|(_, s)| s.load.lock().unwrap_or_else(PoisonError::into_inner).clone())
        .collect();
    let loads: Vec<_> = loads.iter().collect();
    let chosen =
        load_balancing::choose_upstream(&loads, now, service.concurrency, &mut rand::rng());
    let none = || Failure::new(Reason::NoUpstream, Outcome::NotRun).with_retry_after(1_000);
    Ok(Target::upstream(candidates[chosen.ok_or_else(none)?].0))
}

/// Sends the request to a target and waits for the head of the answer.
pub(crate) async fn send(
    instance: &Instance,
    cx: &mut RequestContext,
    head: &Parts,
    body: &mut RequestBody,
    target: Target,
    in_flight: Option<InFlightGuard>,
) -> Result<AttemptResponse, Failure> {
    let now = boot_millis();
    let left = cx.deadline.min(target.until).saturating_sub(now);
    let late = |progress| Failure { transient: false, ..Failure::of(Reason::Deadline, progress) };
    if left == 0 {
        return Err(late(Progress::NotSent));
    }
    let limit = tokio::time::sleep(Duration::from_millis(left));
    tokio::pin!(limit);
    let mut conn = tokio::select! {
        conn = instance.request_pool.acquire(target.addr) => conn.map_err(|e| {
            log_failure(cx, &e);
            Failure::of(Reason::NoUpstream, Progress::NotSent).with_retry_after(1_000)
        })?,
        () = &mut limit => return Err(late(Progress::NotSent)),
    };
    let left = cx.deadline.min(target.until).saturating_sub(boot_millis());
    let req = build(cx, head, body, &target, left);
    let sent = tokio::select! {
        sent = conn.send(&target.name, req) => sent,
        () = &mut limit => {
            cx.may_have_run = true;
            return Err(late(Progress::Sent));
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
        Failure::of(Reason::Broken, progress).with_retry_after(1_000)
    })?;
    if target.is_peer {
        let named = res.headers().get(wire::OUTCOME).and_then(|v| v.to_str().ok());
        let outcome = named.map_or(Outcome::Unknown, Outcome::from_name);
        return Ok(AttemptResponse { res, conn, in_flight, outcome, entry_grant: None });
    }
    if res.headers().contains_key(wire::REFUSAL_REASON) {
        let body = http::read_body("read refusal", &target.name, res, REFUSAL_BODY_BYTES).await;
        if body.is_ok() {
            conn.return_to_pool();
        }
        return Err(Failure::of(Reason::Refused, Progress::Refused).with_retry_after(1_000));
    }
    Ok(AttemptResponse { res, conn, in_flight, outcome: Outcome::Ran, entry_grant: None })
}

fn log_failure(cx: &RequestContext, e: &Error) {
    log::debug!(request = &*cx.id, upstream = &*cx.upstream; "{e}");
}

/// Builds the request for one hop.
fn build(
    cx: &RequestContext,
    head: &Parts,
    body: &mut RequestBody,
    target: &Target,
    left: Millis,
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
    headers.insert(wire::TIME_LEFT_MS, left.into());
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
    let before = headers.get("x-forwarded-for").and_then(|v| v.to_str().ok());
    let value = match before {
        Some(list) => format!("{list}, {}", addr.ip()),
        None => addr.ip().to_string(),
    };
    if let Ok(value) = HeaderValue::from_str(&value) {
        headers.insert("x-forwarded-for", value);
    }
}
