//! What an attempt shows about its upstream, told to the dispatcher and the traffic counts.

use super::RequestContext;
use crate::{
    clock::boot_millis,
    dispatch::{Completion, Destination, LoadReport},
    forward,
    node::Node,
    routing_config::UpstreamInfo,
};
use std::{rc::Rc, sync::Arc};

/// Returns the fence under which a request is sent to the owner of its key.
pub(super) fn owner_fence(node: &Node, cx: &RequestContext, upstream_id: &Arc<str>) -> Option<u64> {
    match node.services.borrow().get(&cx.service)?.destination(cx.key) {
        Destination::Owner(owner, fence) if owner == *upstream_id => Some(fence),
        _ => None,
    }
}

/// Tells the dispatcher and the traffic counts what an attempt at the owner of a key shows.
///
/// After a refusal under `fence`, other requests for the key wait for a later one, see
/// [`crate::key_refusals`]. A response time is counted only if no request waits at the upstream, as it
/// would include that wait.
pub(super) fn record_feedback(
    node: &Node,
    cx: &RequestContext,
    upstream_id: &Arc<str>,
    fence: Option<u64>,
    report: &forward::AttemptReport,
) {
    if report.completion == Completion::Unreachable {
        let service = cx.service.to_string();
        metrics::counter!("mulberryspur_failed_connections_total", "service" => service)
            .increment(1);
    }
    let mut services = node.services.borrow_mut();
    let Some(state) = services.get_mut(&cx.service) else {
        return;
    };
    let feedback = &report.feedback;
    if state.dispatcher.on_limit_notice(boot_millis(), upstream_id, feedback.limit) {
        let per_second = feedback.limit.per_second();
        log::info!(upstream = &**upstream_id, per_second:?; "limit of an upstream changed");
    }
    if let Some(rest_ms) = feedback.rest_ms {
        state.dispatcher.on_rest(boot_millis(), upstream_id, rest_ms);
        log::info!(upstream = &**upstream_id, rest_ms; "upstream wants no requests for a while");
    }
    if cx.key.is_some() {
        state.traffic.on_limit_notice(upstream_id, feedback.limit);
    }
    if let (true, Some(load)) = (cx.key.is_some(), feedback.load) {
        state.traffic.on_queue(upstream_id, load.waiting);
    }
    if let (Some(key), Some(fence)) = (cx.key, fence) {
        let now = boot_millis();
        match report.completion {
            Completion::NotOwner => {
                let lost = state.dispatcher.on_refused_key(now, upstream_id, key, fence);
                log::info!(upstream = &**upstream_id, key, fence, lost; "owner refused a key");
            }
            Completion::Responded(_) => {
                state.dispatcher.on_accepted_key(now, upstream_id, key, fence);
            }
            _ => {}
        }
    }
    match (report.completion, feedback.load) {
        (Completion::Responded(took_ms), Some(LoadReport { waiting: 0, .. }))
            if cx.key.is_some() =>
        {
            state.traffic.on_response(upstream_id, took_ms);
        }
        _ => {}
    }
}

/// Records that an upstream has said that it leaves, and tells the coordinator if it owns keys.
pub(super) fn record_leaving(node: &Rc<Node>, cx: &RequestContext, upstream: &UpstreamInfo) {
    if let (Some(state), true) = (node.services.borrow_mut().get_mut(&cx.service), cx.key.is_some())
    {
        state.traffic.on_leaving(&upstream.id, upstream.started);
    }
    node.on_upstream_leaving(&upstream.id, upstream.started);
}
