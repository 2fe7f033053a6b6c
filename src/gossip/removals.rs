//! Which instances tell of removed entries, see [`Listing`](crate::shared_state::Listing).
//!
//! Those of earlier versions do not. An instance of this version whose relay is one of them follows the
//! upstreams' table itself. One of an earlier version that may lack removals which this instance does not
//! know either is told that this one is no relay, and then reads the store.

use super::{GossipLinks, Message, OwnerRevisions, relay};
use crate::{
    node::Node,
    owner_sync::MissingState,
    shared_state::{Digest, SharedState},
};
use std::sync::Arc;

impl GossipLinks {
    /// Takes over what the first message on a link tells about the version of the instance at the other
    /// end.
    pub(super) fn on_first_message(&self, name: &Arc<str>, message: &Message) {
        let mut names = self.listing_takers.borrow_mut();
        if matches!(message, Message::TakesListings) {
            names.insert(name.clone());
        } else {
            names.remove(name);
        }
    }

    /// Returns whether an instance sends listings and understands them.
    pub(super) fn takes_listings(&self, name: &Arc<str>) -> bool {
        self.listing_takers.borrow().contains(name)
    }
}

/// Returns whether the relay, if there is one, tells of removals.
pub(crate) fn learns_of_removals(node: &Node) -> bool {
    relay(node).is_none_or(|name| node.gossip_links.takes_listings(&name))
}

/// Returns whether an instance of an earlier version with this digest has to follow the store itself, as
/// it may hold entries whose removal this one does not know.
pub(super) fn needs_store(node: &Node, name: &Arc<str>, theirs: &Digest) -> bool {
    let shared_state = node.shared_state.borrow();
    !node.gossip_links.takes_listings(name)
        && shared_state.unknown_removals(theirs).next().is_some()
}

/// Returns the messages with what an instance with this digest lacks.
pub(super) fn missing_entries(
    shared_state: &SharedState,
    theirs: &Digest,
    owners: Option<&OwnerRevisions>,
    takes_listings: bool,
) -> Vec<Message> {
    let mut missing = MissingState::new(shared_state, theirs, owners.map(Vec::as_slice));
    if !takes_listings {
        missing = missing.without_listings(theirs);
    }
    let listings = takes_listings.then_some(missing.listings);
    let changes = missing.changes.into_iter().map(Message::OwnersChanged);
    let delta = missing.delta.map(|(digest, entries)| Message::Delta { digest, entries, listings });
    changes.chain(delta).collect()
}
