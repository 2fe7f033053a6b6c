//! Sends requests under which an upstream has ended one at a time, in `mulberryspur-platform`.
//!
//! Answers many copies of a request that ends upstreams: without this, all that wait at all instances
//! are sent as soon as an upstream can take them. One instance tries each suspected request, and the
//! others forward theirs to it. The first answer clears the request, so that an innocent one that
//! many callers send waits for one response.

use crate::{collections::HashSet, fingerprint::Fingerprint, node::Node};
use std::{cell::RefCell, rc::Rc, sync::Arc, time::Duration};
use tokio::sync::Notify;
use xxhash_rust::xxh3::xxh3_64;

/// The requests of which a copy is being tried at this instance.
#[derive(Debug, Default)]
pub(crate) struct Trials {
    running: RefCell<HashSet<Fingerprint>>,
    ended: Notify,
}

/// The only copy of a request that may be sent by this instance, until it is dropped.
#[derive(Debug)]
pub(crate) struct Trial {
    node: Rc<Node>,
    fingerprint: Fingerprint,
}

impl Trial {
    /// Begins a trial unless one is running.
    pub fn begin(node: &Rc<Node>, fingerprint: Fingerprint) -> Option<Self> {
        let is_new = node.trials.running.borrow_mut().insert(fingerprint);
        is_new.then(|| Self { node: node.clone(), fingerprint })
    }
}

impl Drop for Trial {
    fn drop(&mut self) {
        self.node.trials.running.borrow_mut().remove(&self.fingerprint);
        self.node.trials.ended.notify_waiters();
    }
}

/// Waits until a trial has ended; returns whether one has in time.
pub(crate) async fn ended(node: &Node, limit: Duration) -> bool {
    tokio::time::timeout(limit, node.trials.ended.notified()).await.is_ok()
}

/// Returns the instances in the order in which they are to try a request; all instances that know
/// the same ones agree on it.
pub(crate) fn instances(node: &Node, fingerprint: &Fingerprint) -> Vec<Arc<str>> {
    let shared_state = node.shared_state.borrow();
    let able = shared_state.instances().filter(|(_, p)| p.accepts_requests);
    let rank = |name: &Arc<str>| xxh3_64(format!("{fingerprint}/{name}").as_bytes());
    let mut names: Vec<Arc<str>> = able.map(|(name, _)| name.clone()).collect();
    names.sort_by_cached_key(rank);
    names
}
