//! Sends what changed in the owners of a service's keys instead of the whole map, to instances that
//! have announced on the link that they understand it; see [`crate::owner_delta`].

use super::{GossipLinks, Message, Outgoing, frame::Frame, relay, send_frame};
use crate::{
    clock::{Millis, boot_millis},
    keymap::KeyMap,
    node::Node,
    owner_delta::{MANY_DEPENDENTS, OwnersChange, PushDecision},
    owner_sync::{ReceivedChange, receive_change},
    shared_state::{EntryKind, EntryValue, PeerInfo, StateEntry},
};
use std::{rc::Rc, sync::Arc, time::Duration};

/// Least time in milliseconds between two requests for owners after changes that did not apply.
const ASK_INTERVAL_MS: Millis = 100;

/// Revisions of the owners' rows that an instance knows, by service.
pub(super) type OwnerRevisions = Vec<(Arc<str>, u64)>;

impl GossipLinks {
    /// Records whether an instance understands changes of owners.
    pub(super) fn set_takes_changes(&self, name: &Arc<str>, takes: bool) {
        let mut names = self.change_takers.borrow_mut();
        if takes {
            names.insert(name.clone());
        } else {
            names.remove(name);
        }
    }

    /// Returns whether an instance has announced that it understands changes of owners.
    pub(super) fn takes_changes(&self, name: &Arc<str>) -> bool {
        self.change_takers.borrow().contains(name)
    }
}

fn owners_entry(service: &Arc<str>, revision: u64, map: &Arc<KeyMap>) -> StateEntry {
    let value = Some(EntryValue::Owners(map.clone()));
    StateEntry { kind: EntryKind::Owners, key: service.clone(), revision, value }
}

/// Returns this instance's digest for another one.
pub(super) fn digest_for(node: &Node, name: &Arc<str>, is_reply: bool) -> Message {
    let shared_state = node.shared_state.borrow();
    let digest = shared_state.digest();
    if !node.gossip_links.takes_changes(name) {
        return Message::Digest(digest);
    }
    Message::OwnersDigest { digest, owners: shared_state.owner_revisions(), is_reply }
}

/// Handles changed owners and returns the replies: a digest if the change does not apply.
pub(super) fn on_owners_changed(
    node: &Rc<Node>,
    from: &Arc<str>,
    change: OwnersChange,
) -> Vec<Message> {
    let received = receive_change(&node.shared_state.borrow(), &change);
    let entry = match received {
        ReceivedChange::Known => return Vec::new(),
        ReceivedChange::Inapplicable => return ask_for_owners(node, from, &change),
        ReceivedChange::Entry(entry) => entry,
    };
    let mut changed = false;
    node.update_shared_state(|shared_state, now| {
        changed = shared_state.merge(now, [entry.clone()]);
        changed
    });
    // The dependents have got the change.
    if changed && let Some(relay) = relay(node).filter(|r| r != from) {
        let message = if node.gossip_links.takes_changes(&relay) {
            Message::OwnersChanged(change)
        } else {
            Message::Push { entries: vec![entry] }
        };
        super::send(node, &relay, &message);
    }
    Vec::new()
}

/// Returns a digest for the sender of a change that does not apply, unless one was sent just before.
fn ask_for_owners(node: &Rc<Node>, from: &Arc<str>, change: &OwnersChange) -> Vec<Message> {
    metrics::counter!("mulberryspur_unapplied_owner_changes_total").increment(1);
    let OwnersChange { base, revision, .. } = change;
    log::debug!(peer = &**from, base, revision; "change of owners does not apply");
    let now = boot_millis();
    let asked_at = &node.gossip_links.owners_asked_at;
    if now < asked_at.get() + ASK_INTERVAL_MS {
        return Vec::new();
    }
    asked_at.set(now);
    vec![digest_for(node, from, false)]
}

/// Returns the change that leads to an entry from the one that the other instances got before.
pub(super) fn change_before(node: &Node, entry: &StateEntry) -> Option<Frame> {
    let Some(EntryValue::Owners(map)) = &entry.value else {
        return None;
    };
    let shared_state = node.shared_state.borrow();
    let recent = shared_state.recent_owners();
    let base = recent.revision_before(&entry.key, entry.revision)?;
    let change = recent.change_since(&entry.key, base, entry.revision, map)?;
    Frame::new(&Message::OwnersChanged(change))
}

/// Pushes owners that have just changed to the instances whose relay may be this one, at once or with
/// what else changes soon.
pub(super) fn push(node: &Rc<Node>, service: &Arc<str>) {
    let now = boot_millis();
    let others = others_in_data_center(node);
    let decision = {
        let mut paces = node.gossip_links.owner_paces.borrow_mut();
        let pace = paces.entry(service.clone()).or_default();
        if others >= MANY_DEPENDENTS && has_sound_relay(node) {
            let shared_state = node.shared_state.borrow();
            if let Some((_, revision)) = shared_state.owners(service) {
                pace.on_pushed(now, revision);
            }
            return;
        }
        pace.on_change(now, others)
    };
    match decision {
        PushDecision::Now => push_now(node, service, false),
        PushDecision::At(at) => {
            let (node, service) = (node.clone(), service.clone());
            tokio::task::spawn_local(async move {
                tokio::time::sleep(Duration::from_millis(at.saturating_sub(now))).await;
                push_now(&node, &service, false);
            });
        }
        PushDecision::Pending => {}
    }
}

/// Pushes the owners that the relay of this data centre has not confirmed.
pub(super) fn push_unconfirmed(node: &Rc<Node>, entries: &[StateEntry]) {
    for entry in entries.iter().filter(|e| e.kind == EntryKind::Owners) {
        push_now(node, &entry.key, true);
    }
}

fn push_now(node: &Rc<Node>, service: &Arc<str>, again: bool) {
    let (entry, change) = {
        let shared_state = node.shared_state.borrow();
        let mut paces = node.gossip_links.owner_paces.borrow_mut();
        let pace = paces.entry(service.clone()).or_default();
        let Some((map, revision)) = shared_state.owners(service) else {
            return;
        };
        let sent = pace.sent_revision.filter(|_| !again);
        pace.on_pushed(boot_millis(), revision);
        if sent == Some(revision) {
            return;
        }
        let recent = shared_state.recent_owners();
        let base = sent.or_else(|| recent.revision_before(service, revision));
        let change = base.and_then(|base| recent.change_since(service, base, revision, map));
        (owners_entry(service, revision, map), change)
    };
    let change = change.and_then(|c| Frame::new(&Message::OwnersChanged(c)));
    send_owners_to_dependents(node, entry, change.as_ref());
}

fn send_owners_to_dependents(node: &Rc<Node>, entry: StateEntry, change: Option<&Frame>) {
    let push = Message::Push { entries: vec![entry] };
    let mut whole: Option<Frame> = None;
    super::for_each_dependent(node, |name, tx| {
        let frame = match change {
            Some(change) if node.gossip_links.takes_changes(name) => Some(change),
            _ => {
                if whole.is_none() {
                    whole = Frame::new(&push);
                }
                whole.as_ref()
            }
        };
        if let Some(frame) = frame {
            send_frame(name, tx, Outgoing { frame: frame.clone(), copy: None });
        }
    });
}

/// Returns whether this instance has a relay that is not known to leave messages unconfirmed.
fn has_sound_relay(node: &Node) -> bool {
    let deliveries = node.gossip_links.deliveries.borrow();
    relay(node).is_some_and(|r| !deliveries.is_doubtful(&r))
}

/// Returns the number of other instances of this data centre.
fn others_in_data_center(node: &Node) -> usize {
    let shared_state = node.shared_state.borrow();
    let same = |(name, p): &(&Arc<str>, &PeerInfo)| {
        p.data_center == node.cfg.data_center && **name != node.cfg.name
    };
    shared_state.instances().filter(same).count()
}
