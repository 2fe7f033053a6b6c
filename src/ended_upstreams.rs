//! Finds out whether an upstream has ended where a connection to it broke off under a request, and
//! shares that with the other instances of `mulberryspur-platform`.

use crate::{
    clock::{Millis, boot_millis},
    fingerprint::Fingerprint,
    gossip::{self, Message},
    node::Node,
    peer_forward, peer_listener,
    routing_config::UpstreamInfo,
    suspects::End,
    trial::Trial,
};
use std::{rc::Rc, sync::Arc, time::Duration};
use xxhash_rust::xxh3::xxh3_64;

/// Time for which the upstream is left before it is asked, so that a process that ends has closed
/// its listener too.
const CHECK_DELAY: Duration = Duration::from_millis(20);

/// A request whose connection broke off.
#[derive(Debug)]
pub(crate) struct BrokenRequest {
    pub id: Arc<str>,
    /// Of its content, and of its content and caller.
    pub fingerprints: [Fingerprint; 2],
    pub sent_at: Millis,
    /// Holds other copies back until the check has ended, if an upstream has ended under it before.
    pub trial: Option<Trial>,
}

/// Checks whether an upstream has ended under a request, unless it was about to stop anyway.
pub(crate) fn check(node: &Rc<Node>, upstream: &Arc<UpstreamInfo>, request: BrokenRequest) {
    if upstream.leaving {
        return;
    }
    let ended_at = boot_millis();
    let (node, upstream) = (node.clone(), upstream.clone());
    tokio::task::spawn_local(async move {
        tokio::time::sleep(CHECK_DELAY).await;
        if peer_listener::reaches(upstream.address).await {
            // Only the connection was lost.
            return;
        }
        node.pool.close_idle(upstream.address);
        let cut_off = match node.services.borrow_mut().get_mut(&upstream.service) {
            Some(state) => {
                state.dispatcher.on_unreachable(boot_millis(), &upstream.id);
                state.note_cut(&upstream.service);
                state.poll(boot_millis());
                state.dispatcher.is_cut_off()
            }
            None => false,
        };
        if cut_off || peer_forward::reached_by_others(&node, &upstream).await == Some(true) {
            log::info!(upstream = &*upstream.id, cut_off; "path to an upstream was lost");
            return;
        }
        let BrokenRequest { id, fingerprints, sent_at, trial: _trial } = request;
        let incarnation = xxh3_64(format!("{}/{}", upstream.id, upstream.started).as_bytes());
        let end = End { incarnation, sent_at, ended_at };
        let now = boot_millis();
        let [ends, ends_for_caller] =
            fingerprints.map(|f| node.suspects.borrow_mut().on_end(now, f, end));
        let service = upstream.service.to_string();
        metrics::counter!("mulberryspur_upstream_ends_total", "service" => service).increment(1);
        log::warn!(
            request = &*id, upstream = &*upstream.id, service = &*upstream.service,
            fingerprint = fingerprints[0].to_string(), ends, ends_for_caller;
            "upstream ended under a request"
        );
    });
}

/// Tells the other instances what has changed since the last call.
pub(crate) fn publish(node: &Rc<Node>) {
    let now = boot_millis();
    let mut suspects = node.suspects.borrow_mut();
    if let Some(rejected) = suspects.expire(now) {
        #[expect(clippy::cast_precision_loss, reason = "small numbers")]
        metrics::gauge!("mulberryspur_rejected_fingerprints").set(rejected as f64);
    }
    let notices = suspects.take_unpublished(now);
    drop(suspects);
    if !notices.is_empty() {
        gossip::broadcast(node, &Message::Suspects { notices, relayed: false });
    }
}
