//! Links between instances: what one has learnt from the store reaches those that cannot ask it.
//!
//! Each instance tells a few others, mostly of its own data centre, up to which revision it knows
//! everything, and gets what it lacks. So news passes also when the store refuses an instance, is
//! silent to it, or is cut off from it.

use crate::{
    clock::{Millis, boot_millis},
    collections::HashMap,
    coordinator_task,
    error::{Cause, Error, Result},
    http,
    keymap::KeyRange,
    node::Node,
    shared_state::{Digest, PeerInfo, StateEntry},
    traffic::TrafficReport,
};
use futures::{SinkExt, StreamExt};
use serde::{Deserialize, Serialize};
use std::{cell::RefCell, net::SocketAddr, rc::Rc, sync::Arc, time::Duration};
use tokio::{net::TcpStream, sync::mpsc};
use tokio_tungstenite::{WebSocketStream, tungstenite};

/// Time between digests to an instance of the same data centre.
const NEAR_INTERVAL: Duration = Duration::from_millis(300);
/// Rounds of the same data centre for each round to another one: bytes between them are dear.
const FAR_ROUNDS: u64 = 4;
/// Time in milliseconds after which an instance that has not said that it follows the store is not
/// relied on: three digests.
const LEADER_MS: Millis = 1_000;
const CONNECT_LIMIT: Duration = Duration::from_millis(400);
const SEND_LIMIT: Duration = Duration::from_millis(600);
/// Time after which a link that carries nothing is closed.
const IDLE_LIMIT: Duration = Duration::from_secs(5);
/// Messages that wait for a link; more are dropped, as each is repeated soon.
const QUEUED: usize = 64;
/// Bytes of one message; a configuration with thousands of routes fits.
const MAX_MESSAGE: usize = 16 << 20;

/// Keys of a service that are about to be released by their owner.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct MovingKeys {
    pub service: Arc<str>,
    /// Revision of the owners in force; a later one ends the move.
    pub revision: u64,
    pub ranges: Vec<KeyRange>,
}

/// What instances tell each other.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) enum Message {
    /// Who opened the link.
    Hello { name: Arc<str> },
    /// Up to which revisions the sender knows everything.
    Digest(Digest),
    /// Answer to a digest: whether the sender follows the store and the store answers it, else which
    /// instance it relies on.
    #[serde(rename = "Following")]
    StoreStatus {
        name: Arc<str>,
        healthy: bool,
        #[serde(rename = "leader")]
        relay: Option<Arc<str>>,
    },
    /// What the receiver lacks, from a sender that is complete up to `digest`.
    #[serde(rename = "News")]
    Delta { digest: Digest, entries: Vec<StateEntry> },
    /// What has just changed.
    Push { entries: Vec<StateEntry> },
    /// Keys that are about to be released.
    Moving(MovingKeys),
    /// Load of a keyed service, for the instance that decides about it.
    #[serde(rename = "Heat")]
    Traffic { service: Arc<str>, report: Option<TrafficReport> },
    /// Answer to [`Message::Traffic`]: whether the sender decides about the service.
    #[serde(rename = "Acting")]
    CoordinatorStatus { service: Arc<str>, acting: bool },
}

/// Open links by the name of the instance at the other end.
#[derive(Debug, Default)]
pub(crate) struct GossipLinks {
    open: RefCell<HashMap<Arc<str>, mpsc::Sender<Message>>>,
    /// When each instance last said that it follows the store.
    followers: RefCell<HashMap<Arc<str>, Millis>>,
    /// Instance that another one relies on, to be asked next.
    hint: RefCell<Option<Arc<str>>>,
}

/// Returns the instance of the same data centre that follows the store for this one, if any: the
/// first by name that said so lately, unless this one comes first.
pub(crate) fn relay(node: &Node) -> Option<Arc<str>> {
    let now = boot_millis();
    let followers = node.gossip_links.followers.borrow();
    let live = |at: &Millis| now < at + LEADER_MS;
    let names = followers.iter().filter(|(_, at)| live(at)).map(|(name, _)| name);
    names.filter(|name| **name < node.cfg.name).min().cloned()
}

/// Returns whether an instance of the same data centre comes before this one by name.
pub(crate) fn has_relay_candidate(node: &Node) -> bool {
    let shared_state = node.shared_state.borrow();
    let near = |p: &PeerInfo| p.data_center == node.cfg.data_center;
    shared_state.instances().any(|(name, p)| near(p) && *name < node.cfg.name)
}

/// Sends news at once to the instances of the same data centre that rely on this one.
pub(crate) fn push_changes(node: &Rc<Node>, fresh: &[StateEntry]) {
    if !fresh.is_empty() {
        pass_on(node, &Message::Push { entries: fresh.to_vec() });
    }
}

/// Sends a message to the instances of the same data centre that rely on this one.
fn pass_on(node: &Rc<Node>, message: &Message) {
    let shared_state = node.shared_state.borrow();
    let near = |p: &PeerInfo| p.data_center == node.cfg.data_center;
    let open = node.gossip_links.open.borrow();
    let relying = shared_state.instances().filter(|(n, p)| near(p) && **n > node.cfg.name);
    for (name, tx) in relying.filter_map(|(n, _)| open.get_key_value(n)) {
        if tx.try_send(message.clone()).is_err() {
            log::debug!(peer = &**name; "link is busy, news wait for the next digest");
        }
    }
}

/// Sends a message at once to the first instance of each data centre, which passes it on to the
/// others there.
pub(crate) fn broadcast(node: &Rc<Node>, message: &Message) {
    let firsts = {
        let shared_state = node.shared_state.borrow();
        let mut firsts: HashMap<Arc<str>, Arc<str>> = HashMap::default();
        for (name, peer) in shared_state.instances().filter(|(n, _)| **n != node.cfg.name) {
            let first = firsts.entry(peer.data_center.clone()).or_insert_with(|| name.clone());
            if name < first {
                *first = name.clone();
            }
        }
        firsts
    };
    for name in firsts.values() {
        send(node, name, message.clone());
    }
}

/// Binds the address for instances and starts telling others.
pub(crate) async fn start(node: &Rc<Node>) -> Result<()> {
    let listener = http::bind("listen for instances", node.cfg.peer_address).await?;
    let accepting = node.clone();
    tokio::task::spawn_local(async move {
        loop {
            match listener.accept().await {
                Ok((stream, addr)) => {
                    tokio::task::spawn_local(serve(accepting.clone(), stream, addr));
                }
                Err(e) => {
                    log::warn!("accept an instance: {e}");
                    tokio::time::sleep(CONNECT_LIMIT).await;
                }
            }
        }
    });
    tokio::task::spawn_local(rounds(node.clone()));
    Ok(())
}

async fn rounds(node: Rc<Node>) {
    let mut tick = tokio::time::interval(NEAR_INTERVAL);
    tick.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    for round in 0u64.. {
        tick.tick().await;
        let digest = node.shared_state.borrow().digest();
        match relay(&node).or_else(|| node.gossip_links.hint.take()) {
            Some(name) => send(&node, &name, Message::Digest(digest)),
            // The first by name leads, so those before this instance are asked in turn.
            None => match partner(&node, round, true) {
                Some(name) => send(&node, &name, Message::Digest(digest)),
                None if node.routing_config().is_none() => ask_seed(&node, round),
                None => {}
            },
        }
        if round % FAR_ROUNDS == 0
            && let Some(name) = partner(&node, round / FAR_ROUNDS, false)
        {
            send(&node, &name, Message::Digest(digest));
        }
    }
}

/// Returns the instance to tell in a round: in the same data centre one that comes before this one
/// by name, else any.
fn partner(node: &Node, round: u64, near: bool) -> Option<Arc<str>> {
    let shared_state = node.shared_state.borrow();
    let same = |p: &PeerInfo| p.data_center == node.cfg.data_center;
    let mut names: Vec<Arc<str>> = shared_state
        .instances()
        .filter(|(name, p)| **name != node.cfg.name && same(p) == near)
        .map(|(name, _)| name.clone())
        .collect();
    names.sort();
    let before = names.partition_point(|n| *n < node.cfg.name);
    if near && before > 0 {
        names.truncate(before);
    }
    let n = usize::try_from(round).unwrap_or(0).checked_rem(names.len())?;
    // Instances of other data centres begin at different places, so that no one is asked by all.
    let offset = if near { 0 } else { before };
    names.get((n + offset) % names.len()).cloned()
}

/// Asks an instance named in the settings, as long as nothing is known.
fn ask_seed(node: &Rc<Node>, round: u64) {
    let others: Vec<SocketAddr> =
        node.cfg.seeds.iter().copied().filter(|a| *a != node.cfg.peer_address).collect();
    let Some(n) = usize::try_from(round).unwrap_or(0).checked_rem(others.len()) else {
        return;
    };
    let name: Arc<str> = others[n].to_string().into();
    let digest = node.shared_state.borrow().digest();
    send_to(node, &name, others[n], Message::Digest(digest));
}

/// Sends a message to an instance, over an open link or a new one.
pub(crate) fn send(node: &Rc<Node>, name: &Arc<str>, message: Message) {
    let address = node.shared_state.borrow().instance(name).map(|p| p.address);
    if let Some(address) = address {
        send_to(node, name, address, message);
    }
}

fn send_to(node: &Rc<Node>, name: &Arc<str>, address: SocketAddr, message: Message) {
    let mut open = node.gossip_links.open.borrow_mut();
    let tx = open.entry(name.clone()).or_insert_with(|| {
        let (tx, rx) = mpsc::channel(QUEUED);
        let (node, name) = (node.clone(), name.clone());
        let own = tx.clone();
        tokio::task::spawn_local(async move {
            if let Err(e) = connect(&node, address, rx).await {
                log::debug!(peer = &*name; "{e}");
            }
            close(&node, &name, &own);
        });
        tx
    });
    if tx.try_send(message).is_err() {
        log::debug!(peer = &**name; "link is busy, message dropped");
    }
}

/// Forgets a link unless it has been replaced.
fn close(node: &Node, name: &Arc<str>, tx: &mpsc::Sender<Message>) {
    let mut open = node.gossip_links.open.borrow_mut();
    if open.get(name).is_some_and(|t| t.same_channel(tx)) {
        open.remove(name);
    }
}

fn broken(step: &'static str, peer: SocketAddr, e: &impl std::fmt::Display) -> Error {
    Error::new(step, peer.to_string(), Cause::Interrupted(e.to_string()))
}

async fn connect(node: &Rc<Node>, address: SocketAddr, rx: mpsc::Receiver<Message>) -> Result<()> {
    let opening = async {
        let stream =
            TcpStream::connect(address).await.map_err(|e| broken("connect", address, &e))?;
        let url = format!("ws://{address}/");
        let opened = tokio_tungstenite::client_async(url, stream).await;
        opened.map_err(|e| broken("open link", address, &e))
    };
    let late = |e| broken("open link", address, &e);
    let (mut link, _) = tokio::time::timeout(CONNECT_LIMIT, opening).await.map_err(late)??;
    write(&mut link, address, &Message::Hello { name: node.cfg.name.clone() }).await?;
    run(node, link, address, rx).await
}

async fn serve(node: Rc<Node>, stream: TcpStream, address: SocketAddr) {
    let accepted = tokio_tungstenite::accept_async(stream);
    let Ok(Ok(mut link)) = tokio::time::timeout(CONNECT_LIMIT, accepted).await else {
        log::debug!(peer = address.to_string(); "link was not opened");
        return;
    };
    let hello = tokio::time::timeout(CONNECT_LIMIT, read(&mut link, address)).await;
    let Ok(Ok(Some(Message::Hello { name }))) = hello else {
        log::debug!(peer = address.to_string(); "link without a name");
        return;
    };
    let (tx, rx) = mpsc::channel(QUEUED);
    node.gossip_links.open.borrow_mut().insert(name.clone(), tx.clone());
    if let Err(e) = run(&node, link, address, rx).await {
        log::debug!(peer = &*name; "{e}");
    }
    close(&node, &name, &tx);
}

type Link = WebSocketStream<TcpStream>;

async fn write(link: &mut Link, peer: SocketAddr, message: &Message) -> Result<()> {
    let mut bytes = Vec::new();
    ciborium::into_writer(message, &mut bytes).map_err(|e| broken("encode message", peer, &e))?;
    let sent = link.send(tungstenite::Message::binary(bytes));
    let sent = tokio::time::timeout(SEND_LIMIT, sent).await;
    sent.map_err(|e| broken("send message", peer, &e))?
        .map_err(|e| broken("send message", peer, &e))
}

/// Reads the next message, `None` at the end of the link.
async fn read(link: &mut Link, peer: SocketAddr) -> Result<Option<Message>> {
    while let Some(frame) = link.next().await {
        let frame = frame.map_err(|e| broken("read message", peer, &e))?;
        let tungstenite::Message::Binary(bytes) = frame else {
            continue;
        };
        if bytes.len() > MAX_MESSAGE {
            return Err(Error::invalid("read message", "message is too long"));
        }
        let message = ciborium::from_reader(&bytes[..]);
        return message.map(Some).map_err(|e| broken("decode message", peer, &e));
    }
    Ok(None)
}

async fn run(
    node: &Rc<Node>,
    mut link: Link,
    peer: SocketAddr,
    mut rx: mpsc::Receiver<Message>,
) -> Result<()> {
    loop {
        let replies = tokio::select! {
            message = read(&mut link, peer) => match message? {
                Some(message) => on_message(node, message),
                None => return Ok(()),
            },
            message = rx.recv() => match message {
                Some(message) => vec![message],
                None => return Ok(()),
            },
            () = tokio::time::sleep(IDLE_LIMIT) => return Ok(()),
            () = node.stop.cancelled() => return Ok(()),
        };
        for reply in replies {
            write(&mut link, peer, &reply).await?;
        }
    }
}

/// Acts on a message and returns what to answer.
fn on_message(node: &Rc<Node>, message: Message) -> Vec<Message> {
    match message {
        Message::Hello { .. } => Vec::new(),
        Message::Digest(theirs) => {
            let shared_state = node.shared_state.borrow();
            let digest = shared_state.digest();
            let entries = shared_state.newer_than(&theirs);
            let behind = digest.iter().zip(&theirs).any(|(mine, theirs)| mine < theirs);
            let news = (!entries.is_empty()).then_some(Message::Delta { digest, entries });
            // Revisions without changes in them are no reason to ask.
            let ask = behind.then_some(Message::Digest(digest));
            let (name, healthy) = (node.cfg.name.clone(), node.follows_store());
            let relay = relay(node);
            let following = Message::StoreStatus { name, healthy, relay };
            news.into_iter().chain(ask).chain([following]).collect()
        }
        Message::StoreStatus { name, healthy, relay } => {
            let near = |p: &PeerInfo| p.data_center == node.cfg.data_center;
            if !node.shared_state.borrow().instance(&name).is_some_and(near) {
                return Vec::new();
            }
            let mut followers = node.gossip_links.followers.borrow_mut();
            if healthy {
                followers.insert(name, boot_millis());
            } else {
                followers.remove(&name);
                node.gossip_links.hint.replace(relay.filter(|l| *l < node.cfg.name));
            }
            Vec::new()
        }
        Message::Delta { digest, entries } => {
            log::debug!(entries = entries.len(); "news from another instance");
            node.update_shared_state(|shared_state, now| {
                shared_state.merge_from_peer(now, &digest, entries)
            });
            Vec::new()
        }
        Message::Push { entries } => {
            node.update_shared_state(|shared_state, now| shared_state.merge(now, entries));
            Vec::new()
        }
        Message::Moving(moving) => {
            if node.pause_keys(&moving) {
                pass_on(node, &Message::Moving(moving));
            }
            Vec::new()
        }
        Message::Traffic { service, report } => {
            let acting = coordinator_task::on_traffic_report(node, &service, report);
            vec![Message::CoordinatorStatus { service, acting }]
        }
        Message::CoordinatorStatus { service, acting } => {
            coordinator_task::on_coordinator_status(node, &service, acting);
            Vec::new()
        }
    }
}
