//! Sends messages for all instances to one of each data centre, which passes them on there.

use super::{Message, Outgoing, relay, send, send_to, send_to_dependents, store_follower};
use crate::{clock::boot_millis, collections::HashSet, delivery::MessageCopy, node::Node};
use std::{rc::Rc, sync::Arc};

/// Sends a message at once to an instance of each data centre, which passes it on to the others there.
pub(crate) fn broadcast(node: &Rc<Node>, message: &Message) {
    let data_centers: HashSet<Arc<str>> = {
        let shared_state = node.shared_state.borrow();
        shared_state.instances().map(|(_, p)| p.data_center.clone()).collect()
    };
    for data_center in data_centers {
        if data_center == node.cfg.data_center && node.follows_store() && relay(node).is_none() {
            send_to_dependents(node, &message.clone().into_relayed());
            continue;
        }
        let names = others_in(node, &data_center);
        let mut deliveries = node.gossip_links.deliveries.borrow_mut();
        let copies = deliveries.begin(boot_millis(), data_center, message.clone(), names);
        drop(deliveries);
        send_copies(node, message, copies);
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
        send_copies(node, &failed.message, copies);
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

fn send_copies(node: &Rc<Node>, message: &Message, copies: Vec<MessageCopy>) {
    for MessageCopy { id, instance } in copies {
        let address = node.shared_state.borrow().instance(&instance).map(|p| p.address);
        if let Some(address) = address {
            let outgoing = Outgoing { message: message.clone(), copy: Some(id) };
            send_to(node, &instance, address, outgoing);
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
        Some(name) => send(node, &name, message),
        None => send_to_dependents(node, &message.into_relayed()),
    }
}
