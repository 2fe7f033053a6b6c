//! Finds out when an instance of `mulberryspur-platform` that is cut off from the upstreams of a
//! service reaches them again.
//!
//! While it is cut off, its requests are forwarded, so that none shows whether the path is back.

use crate::{clock::boot_millis, node::Node, peer_listener::reaches, routing_config::UpstreamInfo};
use std::{rc::Rc, sync::Arc, time::Duration};

/// Time between two rounds of probes.
const PROBE_INTERVAL: Duration = Duration::from_millis(300);
/// Number of upstreams of each service that are probed in a round.
const UPSTREAMS_PER_ROUND: usize = 2;

/// Probes upstreams until the process ends.
pub(crate) async fn run(node: Rc<Node>) {
    let mut tick = tokio::time::interval(PROBE_INTERVAL);
    tick.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        tick.tick().await;
        let probes = choose(&node).into_iter().map(|upstream| probe(&node, upstream));
        futures::future::join_all(probes).await;
    }
}

/// Returns some upstreams of each service that this instance is cut off from; first those that have not
/// been unreachable lately, as the others may have ended.
fn choose(node: &Node) -> Vec<Arc<UpstreamInfo>> {
    let now = boot_millis();
    let services = node.services.borrow();
    let cut_off = services.values().filter(|s| s.dispatcher.is_cut_off());
    let chosen = cut_off.flat_map(|s| {
        let mut usable: Vec<_> = s.upstreams.values().filter(|u| !u.leaving).collect();
        usable.sort_by_cached_key(|u| {
            (s.dispatcher.is_unreachable(now, &u.id), rand::random::<u32>())
        });
        usable.into_iter().take(UPSTREAMS_PER_ROUND).cloned()
    });
    chosen.collect()
}

async fn probe(node: &Rc<Node>, upstream: Arc<UpstreamInfo>) {
    if !reaches(upstream.address).await {
        return;
    }
    if let Some(state) = node.services.borrow_mut().get_mut(&upstream.service) {
        let now = boot_millis();
        state.dispatcher.on_reachable(&upstream.id);
        state.note_cut(&upstream.service);
        state.poll(now);
    }
}
