//! Tells other instances which data centres are under evacuation.
//!
//! What an instance reads goes to one instance of each data centre at once, which passes it on to its
//! dependents. Replies to digests repeat it while it matters. An instance asks the receiver of its digest
//! too while it knows of an evacuation, so that it learns of the end, and as long as that one has not told
//! it of evacuations over their link: a relay of an earlier version never does, and its dependents of this
//! one then follow the operators' rows themselves.

use super::{Message, broadcast, broadcast::pass_on};
use crate::{
    clock::{Millis, boot_millis},
    evacuation::{EvacuationChange, Evacuations, UNKNOWN_AGE_MS},
    node::Node,
};
use std::{rc::Rc, sync::Arc};

/// Time in milliseconds after the end of a link for which the other end still counts as telling of
/// evacuations: until the next digest has opened another link.
const SENDER_MEMORY_MS: Millis = 2_000;

/// Changes the known evacuations; returns whether `change` did, and updates the services then.
pub(crate) fn change_evacuations(
    node: &Rc<Node>,
    change: impl FnOnce(&mut Evacuations, Millis) -> bool,
) -> bool {
    let mut changed = false;
    node.update_shared_state(|shared_state, now| {
        changed = change(shared_state.evacuations_mut(), now);
        changed
    });
    if changed {
        for EvacuationChange { data_center, revision, in_force, age_ms } in known_changes(node) {
            log::info!(data_center = &*data_center, revision, in_force, age_ms; "evacuation");
        }
    }
    changed
}

/// Tells all other instances of the known evacuations, unless this one has found them when it began to
/// follow the store: the others then know more.
pub(crate) fn broadcast_evacuations(node: &Rc<Node>) {
    if known_changes(node).iter().any(|c| c.age_ms != UNKNOWN_AGE_MS) {
        broadcast(node, &message(node, false));
    }
}

/// Returns whether an instance tells this one of evacuations.
pub(crate) fn tells_of_evacuations(node: &Node, name: &Arc<str>) -> bool {
    let senders = node.gossip_links.evacuation_senders.borrow();
    senders.get(name).is_some_and(|until| boot_millis() < *until)
}

/// Records that a link to an instance has ended, or that it has opened another one: the next process at
/// the other end may be of an earlier version.
pub(super) fn on_link_replaced(node: &Node, name: &Arc<str>) {
    if let Some(until) = node.gossip_links.evacuation_senders.borrow_mut().get_mut(name) {
        *until = (*until).min(boot_millis() + SENDER_MEMORY_MS);
    }
}

fn known_changes(node: &Node) -> Vec<EvacuationChange> {
    node.shared_state.borrow().evacuations().changes(boot_millis())
}

fn message(node: &Node, wants_reply: bool) -> Message {
    let complete_up_to = node.shared_state.borrow().evacuations().complete_up_to();
    Message::Evacuations { complete_up_to, changes: known_changes(node), wants_reply }
}

/// Returns the message that goes with a digest to an instance, if it is to tell of evacuations.
pub(super) fn question(node: &Node, name: &Arc<str>) -> Option<Message> {
    let is_any_in_force = node.shared_state.borrow().evacuations().is_any_in_force();
    let senders = node.gossip_links.evacuation_senders.borrow();
    let has_told = senders.get(name) == Some(&Millis::MAX);
    (is_any_in_force || !has_told).then(|| message(node, true))
}

/// Returns the message for the reply to a digest, if there is news. An instance that lacks rows of the
/// operators also learns up to which revision the evacuations are known.
pub(super) fn news(node: &Node, lacks_rows: bool) -> Option<Message> {
    let is_news = node.shared_state.borrow().evacuations().is_news(boot_millis());
    (is_news || lacks_rows).then(|| message(node, false))
}

/// Takes over what the instance `from` knows, passes it on if it is new, and returns the reply.
pub(super) fn on_message(
    node: &Rc<Node>,
    from: &Arc<str>,
    complete_up_to: u64,
    changes: Vec<EvacuationChange>,
    wants_reply: bool,
) -> Option<Message> {
    node.gossip_links.evacuation_senders.borrow_mut().insert(from.clone(), Millis::MAX);
    let is_news = change_evacuations(node, |evacuations, now| {
        evacuations.merge_from_peer(now, complete_up_to, changes)
    });
    if is_news {
        pass_on(node, from, message(node, false), true);
    }
    wants_reply.then(|| message(node, false))
}
