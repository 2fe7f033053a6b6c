//! Gossip between the instances of `mulberryspur-platform`: what one has read from the store
//! reaches those that cannot read it.
//!
//! Each instance sends its digest, the revisions up to which it knows all entries of the shared
//! state, to its relay, or to others in turn if it has none, and gets the entries that it lacks. So
//! changes also reach an instance that the store refuses or does not answer, or that is cut off
//! from it. Only instances without a relay ask other data centres, so that the traffic between data
//! centres does not grow with the number of instances.
//!
//! Normally, only the first instance of a data centre by name follows the store's changes. It is
//! the relay of the others, its dependents, to which it pushes changes at once. An instance without
//! a relay follows the store itself, and each reads the store's tables once at its start.
//!
//! A message for all instances goes to one of each data centre, which passes it on to the others there;
//! see [`crate::delivery`]. That instance confirms it with the pong to a WebSocket ping that follows the
//! message, which instances of all versions send.
//!
//! `serde(rename)` keeps the names that instances of other versions send and expect.

mod broadcast;
mod evacuations;
mod frame;
mod link;
mod owners;
mod removals;

pub(crate) use self::{
    broadcast::{broadcast, broadcast_owners, resend_undelivered},
    evacuations::{broadcast_evacuations, change_evacuations, tells_of_evacuations},
    removals::learns_of_removals,
};

use self::{
    broadcast::pass_on,
    frame::Frame,
    link::{read_message, write_frame, write_ping},
    owners::OwnerRevisions,
};
use crate::{
    clock::{Millis, boot_millis},
    collections::{HashMap, HashSet},
    coordinator_task,
    credits::{CreditAnswer, CreditRequest},
    delivery::Deliveries,
    error::Result,
    evacuation::EvacuationChange,
    keymap::KeyRange,
    node::Node,
    overload::OwnerShare,
    owner_delta::{OwnersChange, PushPace},
    shared_state::{Digest, EntryKind, EntryValue, Listing, PeerInfo, StateEntry},
    suspects::Notice,
    traffic::TrafficReport,
};
use hyper::upgrade::OnUpgrade;
use serde::{Deserialize, Serialize};
use std::{
    cell::{Cell, RefCell},
    net::SocketAddr,
    rc::Rc,
    sync::Arc,
    time::Duration,
};
use tokio::{
    io::{AsyncRead, AsyncWrite},
    sync::mpsc,
};
use tokio_tungstenite::WebSocketStream;

/// Time between digests to an instance of the same data centre.
const DIGEST_INTERVAL: Duration = Duration::from_millis(300);
/// Rounds for each digest to an instance of another data centre: traffic between data centres is
/// expensive.
const ROUNDS_PER_REMOTE_DIGEST: u64 = 4;
/// Time in milliseconds for which an instance counts as a relay after it has said that it follows
/// the store: three digests.
const RELAY_TIMEOUT_MS: Millis = 1_000;
/// Time after which a link that carries nothing is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(5);
/// Maximum number of messages that wait for a link. More are dropped: digests and traffic messages
/// are repeated soon, and changes are in the replies to digests too. If [`Message::Moving`] is
/// lost, the receiver only does not hold requests for these keys back.
const MAX_QUEUED_MESSAGES: usize = 64;

/// Keys of a service that are about to be released by their owner.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct MovingKeys {
    pub service: Arc<str>,
    /// Revision of the owners in force; a later one ends the move.
    pub revision: u64,
    pub ranges: Vec<KeyRange>,
}

/// A message between instances.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) enum Message {
    /// The first message on a link: the instance that opened it.
    Hello { name: Arc<str> },
    /// Revisions up to which the sender knows all entries.
    Digest(Digest),
    /// Reply to a digest, and sent when it changes: whether the sender follows the store and the store
    /// answers it, and the sender's own relay.
    #[serde(rename = "Following")]
    StoreStatus {
        name: Arc<str>,
        healthy: bool,
        #[serde(rename = "leader")]
        relay: Option<Arc<str>>,
    },
    /// Entries that the receiver lacks, from a sender that is complete up to `digest`.
    #[serde(rename = "News")]
    /// `listings` name all entries of the kinds of which the receiver may hold removed ones; `None` if the
    /// sender does not tell.
    Delta {
        digest: Digest,
        entries: Vec<StateEntry>,
        #[serde(default, skip_serializing_if = "Option::is_none")]
        listings: Option<Vec<Listing>>,
    },
    /// Entries that have just changed.
    Push { entries: Vec<StateEntry> },
    /// Keys that are about to be released.
    Moving(MovingKeys),
    /// Shares of the requests that a service's overloaded owners can serve; `relayed` tells that
    /// the receiver does not pass them on.
    Shares { service: Arc<str>, shares: Vec<OwnerShare>, relayed: bool },
    /// All known evacuations of data centres, complete up to a revision of the store; the receiver tells
    /// what it knows if `wants_reply`.
    Evacuations { complete_up_to: u64, changes: Vec<EvacuationChange>, wants_reply: bool },
    /// Requests under which upstreams have ended; `relayed` tells that the receiver does not pass them
    /// on.
    Suspects { notices: Vec<Notice>, relayed: bool },
    /// Traffic of a keyed service, for its coordinator; `None` only asks for the reply.
    #[serde(rename = "Heat")]
    Traffic { service: Arc<str>, report: Option<TrafficReport> },
    /// Reply to [`Message::Traffic`]: whether the sender acts as the service's coordinator.
    #[serde(rename = "Acting")]
    /// It deals credits if `deals_credits`, also while it cannot renew its lease; earlier versions do not.
    CoordinatorStatus {
        service: Arc<str>,
        acting: bool,
        #[serde(default)]
        deals_credits: bool,
    },
    /// Credits for requests to cold owners, asked of a coordinator that deals them.
    CreditRequest(CreditRequest),
    /// Its answer.
    CreditAnswer(CreditAnswer),
    /// The sender, which is larger than the service's coordinator and reaches the store, offers to
    /// take its lease over.
    LeaseOffer { service: Arc<str> },
    /// The first message of both instances after the greeting: the sender understands listings in
    /// [`Message::Delta`], and sends them. Instances of earlier versions skip this.
    TakesListings,
    /// Follows it: the sender understands the following kinds. Instances of earlier versions skip all of
    /// these.
    TakesOwnerChanges,
    /// Owners that have just changed, or reply to a digest.
    OwnersChanged(OwnersChange),
    /// A digest with the revisions of the owners that the sender knows; one that `is_reply` is not
    /// replied to with another digest.
    OwnersDigest { digest: Digest, owners: OwnerRevisions, is_reply: bool },
}

impl Message {
    /// Returns the name of the kind for metrics.
    fn kind(&self) -> &'static str {
        match self {
            Self::Hello { .. } => "hello",
            Self::Digest(_) => "digest",
            Self::StoreStatus { .. } => "store_status",
            Self::Delta { .. } => "delta",
            Self::Push { .. } => "push",
            Self::Moving(_) => "moving",
            Self::Shares { .. } => "shares",
            Self::Suspects { .. } => "suspects",
            Self::Traffic { .. } => "traffic",
            Self::CoordinatorStatus { .. } => "coordinator_status",
            Self::CreditRequest(_) => "credit_request",
            Self::CreditAnswer(_) => "credit_answer",
            Self::TakesListings => "takes_listings",
            Self::TakesOwnerChanges => "takes_owner_changes",
            Self::OwnersChanged(_) => "owners_changed",
            Self::OwnersDigest { .. } => "owners_digest",
            Self::Evacuations { .. } => "evacuations",
            Self::LeaseOffer { .. } => "lease_offer",
        }
    }

    /// Returns the message as it is passed on to instances that do not pass it on.
    fn into_relayed(mut self) -> Self {
        if let Self::Shares { relayed, .. } | Self::Suspects { relayed, .. } = &mut self {
            *relayed = true;
        }
        self
    }
}

/// A message that waits for a link, and the number by which the receiver is to confirm it.
#[derive(Debug)]
struct Outgoing {
    frame: Frame,
    copy: Option<u64>,
}

/// Open links by the name of the instance at the other end.
#[derive(Debug, Default)]
pub(crate) struct GossipLinks {
    open: RefCell<HashMap<Arc<str>, mpsc::Sender<Outgoing>>>,
    /// Messages for all instances that were not confirmed yet.
    deliveries: RefCell<Deliveries<Message>>,
    /// When each instance last said that it follows the store.
    store_followers: RefCell<HashMap<Arc<str>, Millis>>,
    /// Relay of an instance that does not follow the store itself; it gets the next digest.
    suggested_relay: RefCell<Option<Arc<str>>>,
    /// Instances that tell of evacuations, and until when they count as doing so if their link ended.
    evacuation_senders: RefCell<HashMap<Arc<str>, Millis>>,
    /// Whether this instance has told its dependents that it follows the store.
    told_healthy: Cell<bool>,
    /// Instances that have announced on the open link that they understand changes of owners.
    change_takers: RefCell<HashSet<Arc<str>>>,
    /// Instances that have announced that they send and understand listings.
    listing_takers: RefCell<HashSet<Arc<str>>>,
    /// When the owners of each service were pushed to the dependents.
    owner_paces: RefCell<HashMap<Arc<str>, PushPace>>,
    /// When this instance last asked for owners after a change that did not apply.
    owners_asked_at: Cell<Millis>,
}

/// Returns the relay of this instance, if any: the first instance of the same data centre by name
/// that recently said that it follows the store, unless this one comes first.
pub(crate) fn relay(node: &Node) -> Option<Arc<str>> {
    store_follower(node).filter(|name| **name < *node.cfg.name)
}

/// Returns the first other instance of the same data centre by name that recently said that it follows
/// the store.
fn store_follower(node: &Node) -> Option<Arc<str>> {
    let now = boot_millis();
    let store_followers = node.gossip_links.store_followers.borrow();
    let is_recent = |at: &Millis| now < at + RELAY_TIMEOUT_MS;
    let names = store_followers.iter().filter(|(_, at)| is_recent(at)).map(|(name, _)| name);
    names.min().cloned()
}

/// Returns whether an instance of the same data centre comes before this one by name, and so may
/// become its relay, or the instances are not known yet.
pub(crate) fn has_relay_candidate(node: &Node) -> bool {
    let shared_state = node.shared_state.borrow();
    if shared_state.digest()[EntryKind::Instance as usize] == 0 {
        return true;
    }
    let same_data_center = |p: &PeerInfo| p.data_center == node.cfg.data_center;
    shared_state.instances().any(|(name, p)| same_data_center(p) && *name < node.cfg.name)
}

/// Sends changed entries at once to the instances whose relay may be this one.
pub(crate) fn push_changes(node: &Rc<Node>, changes: &[StateEntry]) {
    let are_owners = |e: &&StateEntry| matches!(e.value, Some(EntryValue::Owners(_)));
    let entries: Vec<StateEntry> = changes.iter().filter(|e| !are_owners(e)).cloned().collect();
    if !entries.is_empty() {
        send_to_dependents(node, &Message::Push { entries });
    }
    for owners in changes.iter().filter(are_owners) {
        owners::push(node, &owners.key);
    }
}

/// Tells the instances whose relay may be this one when it begins or ceases to follow the store, so
/// that they need not wait for the reply to their next digest.
pub(crate) fn publish_store_status(node: &Rc<Node>) {
    let healthy = node.follows_store();
    if node.gossip_links.told_healthy.replace(healthy) != healthy {
        log::info!(healthy; "store status changed");
        send_to_dependents(node, &store_status(node));
    }
}

fn store_status(node: &Node) -> Message {
    let (name, healthy) = (node.cfg.name.clone(), node.follows_store());
    Message::StoreStatus { name, healthy, relay: relay(node) }
}

/// Sends a message over open links to the instances whose relay may be this one: those of the same
/// data centre that come after it by name.
fn send_to_dependents(node: &Rc<Node>, message: &Message) {
    let mut frame: Option<Frame> = None;
    for_each_dependent(node, |name, tx| {
        if frame.is_none() {
            frame = Frame::new(message);
        }
        if let Some(frame) = frame.clone() {
            send_frame(name, tx, Outgoing { frame, copy: None });
        }
    });
}

/// Calls `f` with the open link to each instance whose relay may be this one.
fn for_each_dependent(node: &Rc<Node>, mut f: impl FnMut(&Arc<str>, &mpsc::Sender<Outgoing>)) {
    let shared_state = node.shared_state.borrow();
    let same_data_center = |p: &PeerInfo| p.data_center == node.cfg.data_center;
    let open = node.gossip_links.open.borrow();
    let dependents =
        shared_state.instances().filter(|(n, p)| same_data_center(p) && **n > node.cfg.name);
    for (name, tx) in dependents.filter_map(|(n, _)| open.get_key_value(n)) {
        f(name, tx);
    }
}

fn send_frame(name: &Arc<str>, tx: &mpsc::Sender<Outgoing>, outgoing: Outgoing) {
    if tx.try_send(outgoing).is_err() {
        log::debug!(
            peer = &**name;
            "link is busy, message dropped; changes follow after the next digest"
        );
    }
}

/// Sends digests until the process ends.
pub(crate) async fn run_rounds(node: Rc<Node>) {
    let mut tick = tokio::time::interval(DIGEST_INTERVAL);
    tick.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    for round in 0u64.. {
        tick.tick().await;
        match relay(&node).or_else(|| node.gossip_links.suggested_relay.take()) {
            Some(name) => send_digest(&node, &name),
            // The relay is the first by name, so those before this instance get a digest in turn.
            None => match choose_partner(&node, round, true) {
                Some(name) => send_digest(&node, &name),
                None if node.routing_config().is_none() => send_digest_to_seed(&node, round),
                None => {}
            },
        }
        // What changes while a relay is there reaches the others of its data centre through it, but for
        // evacuations if it is of an earlier version.
        if round % ROUNDS_PER_REMOTE_DIGEST == 0
            && (relay(&node).is_none() || !node.learns_of_evacuations())
            && let Some(name) = choose_partner(&node, round / ROUNDS_PER_REMOTE_DIGEST, false)
        {
            send_digest(&node, &name);
        }
    }
}

fn send_digest(node: &Rc<Node>, name: &Arc<str>) {
    send(node, name, &owners::digest_for(node, name, false));
    if let Some(question) = evacuations::question(node, name) {
        send(node, name, &question);
    }
}

/// Returns the instance that gets the digest of a round: in this data centre if
/// `want_same_data_center`, one that comes before this instance by name if there is any, else in
/// another data centre.
fn choose_partner(node: &Node, round: u64, want_same_data_center: bool) -> Option<Arc<str>> {
    let shared_state = node.shared_state.borrow();
    let same_data_center = |p: &PeerInfo| p.data_center == node.cfg.data_center;
    let mut names: Vec<Arc<str>> = shared_state
        .instances()
        .filter(|(name, p)| **name != node.cfg.name && same_data_center(p) == want_same_data_center)
        .map(|(name, _)| name.clone())
        .collect();
    names.sort();
    let before = names.partition_point(|n| *n < node.cfg.name);
    if want_same_data_center && before > 0 {
        names.truncate(before);
    }
    if want_same_data_center && round.is_multiple_of(2) {
        // The first is the relay, unless it cannot reach the store or is gone.
        let deliveries = node.gossip_links.deliveries.borrow();
        let first = names.iter().find(|n| !deliveries.is_doubtful(n));
        return first.or(names.first()).cloned();
    }
    let n = usize::try_from(round / 2).unwrap_or(0).checked_rem(names.len())?;
    // In other data centres, instances start at different positions, so that they do not all send
    // to the same one.
    let offset = if want_same_data_center { 0 } else { before };
    names.get((n + offset) % names.len()).cloned()
}

/// Sends the digest to an instance named in the settings: as long as this one knows neither the
/// routing configuration nor another instance of its data centre.
fn send_digest_to_seed(node: &Rc<Node>, round: u64) {
    let others: Vec<SocketAddr> =
        node.cfg.seeds.iter().copied().filter(|a| *a != node.cfg.peer_address).collect();
    let Some(n) = usize::try_from(round).unwrap_or(0).checked_rem(others.len()) else {
        return;
    };
    let name: Arc<str> = others[n].to_string().into();
    let digest = node.shared_state.borrow().digest();
    let question = evacuations::question(node, &name);
    for frame in [Some(Message::Digest(digest)), question].iter().flatten().filter_map(Frame::new) {
        send_to(node, &name, others[n], Outgoing { frame, copy: None });
    }
}

/// Sends a message to an instance, over an open link or a new one.
pub(crate) fn send(node: &Rc<Node>, name: &Arc<str>, message: &Message) {
    let address = node.shared_state.borrow().instance(name).map(|p| p.address);
    if let Some(address) = address
        && let Some(frame) = Frame::new(message)
    {
        send_to(node, name, address, Outgoing { frame, copy: None });
    }
}

fn send_to(node: &Rc<Node>, name: &Arc<str>, address: SocketAddr, outgoing: Outgoing) {
    let mut open = node.gossip_links.open.borrow_mut();
    let tx = open.entry(name.clone()).or_insert_with(|| {
        let (tx, rx) = mpsc::channel(MAX_QUEUED_MESSAGES);
        let (node, name) = (node.clone(), name.clone());
        let own_tx = tx.clone();
        tokio::task::spawn_local(async move {
            match link::connect(&node, address, is_in_same_data_center(&node, &name)).await {
                Ok(link) => {
                    if let Err(e) = exchange_messages(&node, &name, link, address, rx).await {
                        log::debug!(peer = &*name; "{e}");
                        let mut deliveries = node.gossip_links.deliveries.borrow_mut();
                        deliveries.on_broken_link(boot_millis(), &name);
                    }
                }
                Err(e) => {
                    log::debug!(peer = &*name; "{e}");
                    let mut deliveries = node.gossip_links.deliveries.borrow_mut();
                    deliveries.on_unreachable(boot_millis(), &name);
                }
            }
            forget_link(&node, &name, &own_tx);
        });
        tx
    });
    if tx.try_send(outgoing).is_err() {
        log::debug!(peer = &**name; "link is busy, message dropped");
    }
}

/// Removes a closed link unless it has been replaced.
fn forget_link(node: &Node, name: &Arc<str>, tx: &mpsc::Sender<Outgoing>) {
    let mut open = node.gossip_links.open.borrow_mut();
    if open.get(name).is_some_and(|t| t.same_channel(tx)) {
        open.remove(name);
        evacuations::on_link_replaced(node, name);
        node.gossip_links.set_takes_changes(name, false);
    }
}

/// Serves a link that another instance opens with an HTTP request.
pub(crate) async fn serve(node: Rc<Node>, upgrade: OnUpgrade, address: SocketAddr) {
    let Some((link, name)) = link::accept(upgrade, address).await else {
        return;
    };
    let (tx, rx) = mpsc::channel(MAX_QUEUED_MESSAGES);
    node.gossip_links.open.borrow_mut().insert(name.clone(), tx.clone());
    evacuations::on_link_replaced(&node, &name);
    if let Err(e) = exchange_messages(&node, &name, link, address, rx).await {
        log::debug!(peer = &*name; "{e}");
    }
    forget_link(&node, &name, &tx);
}

fn is_in_same_data_center(node: &Node, name: &Arc<str>) -> bool {
    let shared_state = node.shared_state.borrow();
    shared_state.instance(name).is_some_and(|p| p.data_center == node.cfg.data_center)
}

async fn exchange_messages(
    node: &Rc<Node>,
    name: &Arc<str>,
    mut link: WebSocketStream<impl AsyncRead + AsyncWrite + Unpin>,
    peer: SocketAddr,
    mut rx: mpsc::Receiver<Outgoing>,
) -> Result<()> {
    let mut skipped = false;
    let on_confirmed = |id: u64| node.gossip_links.deliveries.borrow_mut().on_confirmed(name, id);
    let same_data_center = || is_in_same_data_center(node, name);
    // The instance may have been replaced by one of an earlier version.
    node.gossip_links.set_takes_changes(name, false);
    for announcement in [Message::TakesListings, Message::TakesOwnerChanges] {
        if let Some(frame) = Frame::new(&announcement) {
            write_frame(&mut link, peer, &frame, same_data_center()).await?;
        }
    }
    let mut is_first = true;
    loop {
        let replies = tokio::select! {
            message = read_message(&mut link, peer, &mut skipped, on_confirmed) => match message? {
                Some(message) => {
                    node.gossip_links.deliveries.borrow_mut().on_heard(name);
                    if std::mem::take(&mut is_first) {
                        node.gossip_links.on_first_message(name, &message);
                    }
                    handle_message(node, name, message)
                }
                None => return Ok(()),
            },
            outgoing = rx.recv() => match outgoing {
                Some(Outgoing { frame, copy }) => {
                    write_frame(&mut link, peer, &frame, same_data_center()).await?;
                    if let Some(id) = copy {
                        write_ping(&mut link, peer, id).await?;
                    }
                    continue;
                }
                None => return Ok(()),
            },
            () = tokio::time::sleep(IDLE_TIMEOUT) => return Ok(()),
            () = node.stop.cancelled() => return Ok(()),
        };
        for frame in replies.iter().filter_map(Frame::new) {
            write_frame(&mut link, peer, &frame, same_data_center()).await?;
        }
    }
}

/// Handles a message of the instance `from` and returns the replies.
fn handle_message(node: &Rc<Node>, from: &Arc<str>, message: Message) -> Vec<Message> {
    match message {
        Message::Hello { .. } | Message::TakesListings => Vec::new(),
        Message::Digest(theirs) => reply_to_digest(node, from, &theirs, None, false),
        Message::OwnersDigest { digest, owners, is_reply } => {
            reply_to_digest(node, from, &digest, Some(&owners), is_reply)
        }
        Message::TakesOwnerChanges => {
            node.gossip_links.set_takes_changes(from, true);
            Vec::new()
        }
        Message::OwnersChanged(change) => owners::on_owners_changed(node, from, change),
        Message::StoreStatus { name, healthy, relay } => {
            let same_data_center = |p: &PeerInfo| p.data_center == node.cfg.data_center;
            if !node.shared_state.borrow().instance(&name).is_some_and(same_data_center) {
                return Vec::new();
            }
            let mut store_followers = node.gossip_links.store_followers.borrow_mut();
            if healthy {
                store_followers.insert(name, boot_millis());
            } else {
                store_followers.remove(&name);
                node.gossip_links.suggested_relay.replace(relay.filter(|l| *l < node.cfg.name));
            }
            Vec::new()
        }
        Message::Delta { digest, entries, listings } => {
            let listing_count = listings.as_ref().map(Vec::len);
            log::debug!(entries = entries.len(), listing_count; "entries from another instance");
            node.update_shared_state(|shared_state, now| {
                shared_state.merge_from_peer(now, &digest, entries, listings.as_deref())
            });
            Vec::new()
        }
        Message::Push { entries } => {
            let mut changed = false;
            node.update_shared_state(|shared_state, now| {
                changed = shared_state.merge_from_sender(now, entries.iter().cloned());
                changed
            });
            // The dependents have got the changes.
            if changed && let Some(relay) = relay(node).filter(|r| r != from) {
                send(node, &relay, &Message::Push { entries });
            }
            Vec::new()
        }
        Message::Moving(moving) => {
            if node.pause_keys(&moving) {
                pass_on(node, from, Message::Moving(moving), true);
            }
            Vec::new()
        }
        Message::Shares { service, shares, relayed } => {
            node.set_shares(&service, shares.clone());
            if !relayed {
                pass_on(node, from, Message::Shares { service, shares, relayed }, false);
            }
            Vec::new()
        }
        Message::Evacuations { complete_up_to, changes, wants_reply } => {
            evacuations::on_message(node, from, complete_up_to, changes, wants_reply)
                .into_iter()
                .collect()
        }
        Message::Suspects { notices, relayed } => {
            let changed = node.suspects.borrow_mut().merge(boot_millis(), &notices);
            if changed && !relayed {
                pass_on(node, from, Message::Suspects { notices, relayed }, true);
            }
            Vec::new()
        }
        Message::Traffic { service, report } => {
            let acting = coordinator_task::on_traffic_report(node, &service, report);
            let deals_credits = coordinator_task::deals_credits(node, &service);
            vec![Message::CoordinatorStatus { service, acting, deals_credits }]
        }
        Message::CreditRequest(request) => {
            vec![Message::CreditAnswer(coordinator_task::on_credit_request(node, &request))]
        }
        Message::CreditAnswer(answer) => {
            coordinator_task::on_credit_answer(node, &answer);
            Vec::new()
        }
        Message::CoordinatorStatus { service, acting, deals_credits } => {
            let has_ended =
                coordinator_task::on_coordinator_status(node, &service, acting, deals_credits);
            let is_coordinator = node.shared_state.borrow().coordinator(&service) == Some(from);
            if has_ended && is_coordinator {
                // The others of the data centre would learn it with their next reports.
                let status = Message::CoordinatorStatus { service, acting, deals_credits };
                pass_on(node, from, status, false);
            }
            Vec::new()
        }
        Message::LeaseOffer { service } => {
            coordinator_task::on_lease_offer(node, &service, from);
            Vec::new()
        }
    }
}

/// Returns the replies to a digest: what its sender lacks, and a digest if this instance lacks anything.
fn reply_to_digest(
    node: &Rc<Node>,
    from: &Arc<str>,
    theirs: &Digest,
    owners: Option<&OwnerRevisions>,
    is_reply: bool,
) -> Vec<Message> {
    let shared_state = node.shared_state.borrow();
    let takes_listings = node.gossip_links.takes_listings(from);
    let missing = removals::missing_entries(&shared_state, theirs, owners, takes_listings);
    let is_behind = shared_state.digest().iter().zip(theirs).any(|(mine, theirs)| mine < theirs);
    // Requests what this instance lacks, even if those revisions may have changed no entry. Two that
    // each lack such revisions would go on requesting them from each other.
    let request = (is_behind && !is_reply).then(|| owners::digest_for(node, from, true));
    let known = shared_state.digest()[EntryKind::RoutingConfig as usize];
    let lacks_rows = theirs[EntryKind::RoutingConfig as usize] < known;
    // Before the entries: an instance that gets its first configuration with them is ready.
    let evacuations = evacuations::news(node, lacks_rows);
    let mut status = store_status(node);
    if let Message::StoreStatus { healthy, .. } = &mut status {
        *healthy &= !removals::needs_store(node, from, theirs);
    }
    let notices = node.suspects.borrow_mut().next_notices(boot_millis());
    let suspects = (!notices.is_empty()).then_some(Message::Suspects { notices, relayed: true });
    let replies = evacuations.into_iter().chain(missing).chain(request);
    replies.chain([status]).chain(suspects).collect()
}
