//! Sends messages for all instances to one of each data centre, which passes them on there.

use super::{
    Message, Outgoing, frame::Frame, owners, relay, send, send_to, send_to_dependents,
    store_follower,
};
use crate::{
    clock::boot_millis, collections::HashSet, delivery::MessageCopy, node::Node,
    shared_state::StateEntry,
};
use std::{rc::Rc, sync::Arc};

/// Sends a message at once to an instance of each data centre, which passes it on to the others there.
pub(crate) fn broadcast(node: &Rc<Node>, message: &Message) {
    if !is_first_here(node) {
        return broadcast_to(node, message, None, data_centers(node));
    }
    send_to_dependents(node, &message.clone().into_relayed());
    let others = data_centers(node).into_iter().filter(|d| *d != node.cfg.data_center);
    broadcast_to(node, message, None, others);
}

/// Sends committed owners at once to an instance of each data centre, before this instance merges
/// them into its own shared state, which sends them to its dependents.
pub(crate) fn broadcast_owners(node: &Rc<Node>, entry: &StateEntry) {
    let change = owners::change_before(node, entry);
    let message = Message::Push { entries: vec![entry.clone()] };
    let is_first_here = is_first_here(node);
    let receivers =
        data_centers(node).into_iter().filter(|d| !is_first_here || *d != node.cfg.data_center);
    broadcast_to(node, &message, change.as_ref(), receivers);
}

/// Returns whether this instance is the one that sends to the others of its data centre.
fn is_first_here(node: &Node) -> bool {
    node.follows_store() && relay(node).is_none()
}

fn data_centers(node: &Node) -> HashSet<Arc<str>> {
    let shared_state = node.shared_state.borrow();
    shared_state.instances().map(|(_, p)| p.data_center.clone()).collect()
}

/// Sends a message to an instance of each data centre: `change` instead of it to those that
/// understand changes of owners.
fn broadcast_to(
    node: &Rc<Node>,
    message: &Message,
    change: Option<&Frame>,
    data_centers: impl IntoIterator<Item = Arc<str>>,
) {
    for data_center in data_centers {
        let names = others_in(node, &data_center);
        let mut deliveries = node.gossip_links.deliveries.borrow_mut();
        let copies = deliveries.begin(boot_millis(), data_center, message.clone(), names);
        drop(deliveries);
        send_copies(node, message, change, copies);
    }
}

/// Sends messages to further instances that were not confirmed in time.
pub(crate) fn resend_undelivered(node: &Rc<Node>) {
    let now = boot_millis();
    let undelivered = node.gossip_links.deliveries.borrow_mut().take_undelivered(now);
    for failed in undelivered {
        let names = others_in(node, &failed.data_center);
        let copies = node.gossip_links.deliveries.borrow_mut().retry(now, failed.id, names);
        let data_center = &*failed.data_center;
        log::info!(data_center, copies = copies.len(); "message was not confirmed, sent to others");
        metrics::counter!("mulberryspur_unconfirmed_messages_total").increment(1);
        send_copies(node, &failed.message, None, copies);
        if failed.data_center == node.cfg.data_center
            && let Message::Push { entries } = &failed.message
        {
            owners::push_unconfirmed(node, entries);
        }
    }
}

/// Returns the names of the other instances of a data centre.
fn others_in(node: &Node, data_center: &str) -> Vec<Arc<str>> {
    let shared_state = node.shared_state.borrow();
    let others = shared_state
        .instances()
        .filter(|(name, p)| *p.data_center == *data_center && **name != node.cfg.name);
    others.map(|(name, _)| name.clone()).collect()
}

fn send_copies(
    node: &Rc<Node>,
    message: &Message,
    change: Option<&Frame>,
    copies: Vec<MessageCopy>,
) {
    let mut whole: Option<Frame> = None;
    for MessageCopy { id, instance } in copies {
        let address = node.shared_state.borrow().instance(&instance).map(|p| p.address);
        let change = change.filter(|_| node.gossip_links.takes_changes(&instance));
        if change.is_none() && whole.is_none() {
            whole = Frame::new(message);
        }
        if let Some(address) = address
            && let Some(frame) = change.or(whole.as_ref()).cloned()
        {
            send_to(node, &instance, address, Outgoing { frame, copy: Some(id) });
        }
    }
}

/// Passes on a message for all instances of this data centre that came from another instance: to this
/// instance's relay, which has links to all of them, or to its own dependents.
///
/// One that has lost the store and comes before the instance which follows it hands the message to that
/// one. The two may take each other for the one that follows, so this is only for messages that a
/// receiver drops if it knows them: with `is_dropped_if_known`.
pub(super) fn pass_on(
    node: &Rc<Node>,
    from: &Arc<str>,
    message: Message,
    is_dropped_if_known: bool,
) {
    let has_lost_store = !node.follows_store();
    let later = || store_follower(node).filter(|_| is_dropped_if_known && has_lost_store);
    match relay(node).or_else(later) {
        Some(name) if name == *from => {}
        Some(name) => send(node, &name, &message),
        None => send_to_dependents(node, &message.into_relayed()),
    }
}
