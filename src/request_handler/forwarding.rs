//! Requests that another instance serves: all while this one is cut off from the upstreams, and suspected
//! ones, of which one instance tries a copy at a time.

use super::{
    Forwarding, LocalResponse, MIN_TIME_FOR_RETRY_MS, RequestContext, random_retry_after,
    unserved_response,
};
use crate::{
    body::RequestBody,
    clock::{Millis, boot_millis},
    dispatch::{Destination, Rejection},
    fingerprint::Fingerprint,
    http::Body,
    node::Node,
    peer_forward::{self, CUT_OFF, ForwardResult, ForwardedRequest, OWNER_UNREACHABLE},
    request_identity::RequestIdentity,
    trial::{self, Trial},
};
use hyper::{Response, StatusCode};
use std::{net::SocketAddr, rc::Rc, sync::Arc, time::Duration};

/// Maximum number of other instances that a request is forwarded to.
const MAX_FORWARDS: usize = 4;
/// Number of instances that do not reach the owner of a request's key either after which no other is
/// asked: the second one is in another data centre.
const MAX_OWNER_REFUSALS: usize = 2;

/// Has a suspected request tried at the instance that tries it, one copy at a time; returns the response
/// of another instance. Without one, this instance may try it if it has a trial, or it must be decided
/// anew what is done with it.
pub(super) async fn try_alone(
    node: &Rc<Node>,
    cx: &mut RequestContext,
    identity: &RequestIdentity<'_>,
    body: &mut RequestBody,
    suspected: Fingerprint,
) -> Result<Option<Response<Body>>, LocalResponse> {
    if cx.forwarding == Forwarding::Possible {
        let order = trial::instances(node, &suspected);
        let next = |cx: &RequestContext, tried: &[Arc<str>]| {
            peer_forward::next_in_order(node, &cx.service, &order, tried)
        };
        if let Forwarded::Done { result, .. } = forward(node, cx, identity, body, next).await {
            return result.map(Some);
        }
    }
    cx.trial = Trial::begin(node, suspected);
    if cx.trial.is_some() {
        return Ok(None);
    }
    let max_wait = wait_limit(cx).saturating_sub(boot_millis());
    if !trial::ended(node, Duration::from_millis(max_wait)).await {
        return Err(unserved_response(cx, "suspected of ending upstreams", random_retry_after()));
    }
    Ok(None)
}

/// Returns until when a request waits for the trial of another copy: half of its objective, so that
/// its own response can be in time.
fn wait_limit(cx: &RequestContext) -> Millis {
    (cx.arrived_at + cx.rule.objective_ms / 2).min(cx.deadlines.upstream)
}

/// Returns the reason of a rejection as it is logged and told to an instance that has forwarded the
/// request, which may then ask another one.
pub(super) fn rejection_reason(
    node: &Node,
    cx: &RequestContext,
    reason: Rejection,
) -> &'static str {
    let services = node.services.borrow();
    let Some(state) = services.get(&cx.service).filter(|_| cx.forwarding == Forwarding::Received)
    else {
        return reason.as_str();
    };
    if state.dispatcher.is_cut_off() {
        return CUT_OFF;
    }
    match state.destination(cx.key) {
        Destination::Owner(id, _) if state.dispatcher.is_unreachable(boot_millis(), &id) => {
            OWNER_UNREACHABLE
        }
        _ => reason.as_str(),
    }
}

/// The result of forwarding a request.
enum Forwarded {
    /// `is_upstreams` tells whether an upstream's response came.
    Done { result: Result<Response<Body>, LocalResponse>, is_upstreams: bool },
    /// No instance has served it; if `all_lack_owner`, they do not reach the owner of its key.
    NotServed { all_lack_owner: bool },
}

impl Forwarded {
    /// The result that this instance or the other one has made itself.
    fn own(result: Result<Response<Body>, LocalResponse>) -> Self {
        Self::Done { result, is_upstreams: false }
    }
}

/// Forwards a request to other instances until one has served it; `None` if none can.
pub(super) async fn forward_to_others(
    node: &Rc<Node>,
    cx: &mut RequestContext,
    identity: &RequestIdentity<'_>,
    body: &mut RequestBody,
) -> Option<Result<Response<Body>, LocalResponse>> {
    let next =
        |cx: &RequestContext, tried: &[Arc<str>]| peer_forward::choose(node, &cx.service, tried);
    let forwarded = forward(node, cx, identity, body, next).await;
    if let Some(state) = node.services.borrow_mut().get_mut(&cx.service)
        && let Destination::Owner(owner, _) = state.destination(cx.key)
    {
        let now = boot_millis();
        match &forwarded {
            Forwarded::NotServed { all_lack_owner: true } => {
                state.dispatcher.on_unreachable_for_others(now, &owner);
            }
            Forwarded::NotServed { .. } => state.dispatcher.on_forwarded(now, &owner, false),
            Forwarded::Done { is_upstreams, .. } => {
                state.dispatcher.on_forwarded(now, &owner, *is_upstreams);
            }
        }
        state.poll(now);
    }
    match forwarded {
        Forwarded::Done { result, .. } => Some(result),
        Forwarded::NotServed { .. } => {
            cx.forwarding = Forwarding::Failed;
            None
        }
    }
}

/// Forwards a request to the instances that `next` returns, given those that were tried, until one has
/// served it.
async fn forward(
    node: &Rc<Node>,
    cx: &mut RequestContext,
    identity: &RequestIdentity<'_>,
    body: &mut RequestBody,
    next: impl Fn(&RequestContext, &[Arc<str>]) -> Option<(Arc<str>, SocketAddr)>,
) -> Forwarded {
    let mut tried: Vec<Arc<str>> = Vec::new();
    let (mut all_lack_owner, mut owner_refusals) = (true, 0);
    while tried.len() < MAX_FORWARDS {
        let now = boot_millis();
        if now + MIN_TIME_FOR_RETRY_MS >= cx.deadlines.upstream {
            break;
        }
        let Some((peer, address)) = next(cx, &tried) else {
            break;
        };
        let req = ForwardedRequest {
            head: identity.head,
            service: &cx.service,
            caller: identity.caller,
            deadlines: cx.deadlines,
        };
        let timeout = cx.deadlines.response_time(now);
        let in_flight = ForwardGuard::begin(node, &peer);
        cx.is_sent = true;
        let sending = peer_forward::send(node, &peer, address, &req, body);
        let result = tokio::time::timeout(timeout, sending).await;
        drop(in_flight);
        let (now, mut paths) = (boot_millis(), node.peer_paths.borrow_mut());
        let Ok(result) = result else {
            let local = LocalResponse::new(StatusCode::GATEWAY_TIMEOUT, "timeout at an instance");
            return Forwarded::own(Err(local));
        };
        cx.is_sent = false;
        let mut lacks_owner = false;
        let (why, outcome) = match result {
            ForwardResult::Response(res) => {
                paths.on_served(now, &cx.service, &peer);
                count_forward(cx, "served");
                return Forwarded::Done { result: Ok(res), is_upstreams: true };
            }
            ForwardResult::OwnResponse(res) => {
                count_forward(cx, "rejected");
                // It only knows that the request has not run where it was sent from there.
                let may_have_run =
                    cx.may_have_run && res.status() == StatusCode::SERVICE_UNAVAILABLE;
                let local = || LocalResponse::new(StatusCode::BAD_GATEWAY, "upstream broke off");
                return Forwarded::own(if may_have_run { Err(local()) } else { Ok(res) });
            }
            ForwardResult::NotServed(reason) => {
                match reason {
                    OWNER_UNREACHABLE => {}
                    CUT_OFF => paths.on_no_path(now, &cx.service, &peer),
                    _ => paths.on_unreachable(now, &cx.service, &peer),
                }
                lacks_owner = reason == OWNER_UNREACHABLE;
                all_lack_owner &= lacks_owner;
                (reason.to_owned(), "not served")
            }
            ForwardResult::Unknown(why) => {
                paths.on_unreachable(now, &cx.service, &peer);
                (cx.attempts, cx.may_have_run) = (cx.attempts + 1, true);
                (why, "unknown")
            }
        };
        drop(paths);
        count_forward(cx, outcome);
        log::info!(request = &*cx.id, peer = &*peer, why; "request not served by another instance");
        tried.push(peer);
        if outcome == "unknown" && !may_repeat_forward(node, cx, body) {
            let local = LocalResponse::new(StatusCode::BAD_GATEWAY, "instance broke off");
            return Forwarded::own(Err(local));
        }
        owner_refusals += usize::from(lacks_owner);
        if owner_refusals >= MAX_OWNER_REFUSALS {
            break;
        }
    }
    Forwarded::NotServed { all_lack_owner: all_lack_owner && !tried.is_empty() }
}

/// Returns whether a request may be sent again that may have run, and takes that from the retry
/// budget.
fn may_repeat_forward(node: &Node, cx: &RequestContext, body: &RequestBody) -> bool {
    let mut services = node.services.borrow_mut();
    cx.rule.idempotent
        && body.can_resend()
        && cx.attempts < cx.rule.attempts
        && services.get_mut(&cx.service).is_some_and(|s| s.budget.try_spend())
}

fn count_forward(cx: &RequestContext, outcome: &'static str) {
    let service = cx.service.to_string();
    metrics::counter!(
        "mulberryspur_forwarded_requests_total", "service" => service, "outcome" => outcome
    )
    .increment(1);
}

/// Counts a request as in flight at another instance until it is dropped.
struct ForwardGuard {
    node: Rc<Node>,
    peer: Arc<str>,
}

impl ForwardGuard {
    fn begin(node: &Rc<Node>, peer: &Arc<str>) -> Self {
        node.peer_paths.borrow_mut().begin(peer);
        Self { node: node.clone(), peer: peer.clone() }
    }
}

impl Drop for ForwardGuard {
    fn drop(&mut self) {
        self.node.peer_paths.borrow_mut().end(&self.peer);
    }
}
