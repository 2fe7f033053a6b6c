//! An instance of `mulberryspur-platform`: its settings, its copy of the state that all instances
//! share, and its own state of each service. Instances of `mulberryd` are in the module `instance`.

use crate::{
    adapter::{Change, ChangeOutcome, PlatformAdapter, RowName},
    buffer_limit::BufferLimit,
    clock::{Millis, boot_millis, wall_millis},
    collections::{HashMap, HashSet},
    coordinator_task,
    dispatch::{Decision, Destination, Dispatcher, Ticket, UpstreamSpec},
    ended_upstreams,
    error::Result,
    evacuation::Evacuations,
    exporter,
    gossip::{self, MovingKeys},
    keymap::{Key, KeyMap, KeyRange, Owner},
    listeners,
    overload::OwnerShare,
    path_probe,
    peer_choice::PeerPaths,
    peer_forward, peer_listener,
    pool::{Options, Pool},
    rate_limit::InstancePosition,
    retry_budget::RetryBudget,
    revision,
    routing_config::{RoutingConfig, Rule, UpstreamInfo},
    shared_state::{EntryKind, PeerInfo, SharedState},
    suspects::Suspects,
    traffic::{TrafficCounter, TrafficReport},
    trial::Trials,
    warmup::{ColdLimits, ColdUpstreams, Listing},
};
use std::{
    cell::{Cell, RefCell},
    net::SocketAddr,
    rc::Rc,
    sync::Arc,
    time::Duration,
};
use tokio::sync::oneshot;
use tokio_util::sync::CancellationToken;

/// Time in milliseconds between two polls, which handle what ends with time: waits of requests,
/// pauses of keys, ejections, and lapsed entries.
const POLL_INTERVAL_MS: u64 = 20;
/// Time for connecting to an upstream: a round trip takes a few milliseconds.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// Time after which a connection is closed whose bytes the upstream does not acknowledge.
const TCP_USER_TIMEOUT: Duration = Duration::from_millis(800);
/// Maximum time in milliseconds for which requests wait for a move of their key: nine in ten
/// requests that run at the old owner end within it.
const MAX_PAUSE_MS: Millis = 700;
/// Time in milliseconds for which requests wait for keys whose owner has become unusable: one that
/// leaves is replaced within it, one that is lost only once its grants have expired.
const OWNER_PATIENCE_MS: Millis = 700;
/// Time in milliseconds after its start in which an instance waits for a relay (see [`gossip`])
/// instead of following the store: a few rounds of digests.
const RELAY_WAIT_MS: Millis = 2_000;
/// Time until the row with this instance's address is written again after a failure.
const PUBLISH_RETRY_DELAY: Duration = Duration::from_millis(700);
/// Time between checks whether the store was restored from a copy that lacks that row.
const PUBLISH_CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// Longest delay before it is written again then, in milliseconds, so that hundreds of instances do
/// not write at once.
const MAX_PUBLISH_DELAY_MS: u64 = 1_000;
/// Maximum number of connections from this instance to one upstream: twice the largest in-flight
/// window of one that runs six requests at once.
const CONNECTIONS_PER_UPSTREAM: usize = 24;

/// Memory in bytes for the responses that an instance has read and not passed on yet.
const MAX_BUFFERED_BYTES: usize = 32 << 20;

/// Factor on the allowed ratio of retries, which leaves a margin: instances count requests at
/// different times, and one that restarts begins with its whole reserve.
const RETRY_RATIO_FACTOR: f64 = 0.8;
/// Factor on the allowed reserve of retries, for the same reasons.
const RETRY_RESERVE_FACTOR: f64 = 0.5;
/// Minimum number of instances that the reserve is divided by, while not all are known yet.
const MIN_ASSUMED_INSTANCES: usize = 4;
/// Share of an upstream's connections that all instances together use for requests; the rest is
/// left for grants and releases of keys and for connections that are about to close.
const REQUEST_CONNECTION_SHARE: f64 = 0.85;
/// Minimum number of connections to one upstream that an instance may open.
const MIN_CONNECTIONS: f64 = 2.0;

/// Settings of an instance.
#[derive(Debug, Clone)]
pub struct NodeConfig {
    /// Name, unique among instances.
    pub name: Arc<str>,
    /// Data centre that it runs in.
    pub data_center: Arc<str>,
    /// CPU cores that the instance may use, such as 0.5.
    pub cpu_cores: f64,
    /// Address for callers.
    pub caller_address: SocketAddr,
    /// Address for the readiness check of the platform's load balancer, which spreads callers'
    /// connections over the instances.
    pub ready_address: SocketAddr,
    /// Path of the readiness check.
    pub ready_path: Arc<str>,
    /// Address for other instances.
    pub peer_address: SocketAddr,
    /// Addresses of other instances, from which the shared state is fetched while the store cannot
    /// be read.
    pub seeds: Vec<SocketAddr>,
    /// Address of the metrics, if served.
    pub metrics_address: Option<SocketAddr>,
    /// Whether the instance starts together with the whole system, which has never run before.
    pub first_start: bool,
    /// Duration in milliseconds of the longest grant that upstreams accept; used while the store
    /// does not answer.
    pub max_hold_ms: Millis,
    /// Retries that all instances together may send, as a share of the requests.
    pub retry_ratio: f64,
    /// Retries that all instances together may send beyond that share.
    pub retry_reserve: f64,
    /// Time in milliseconds from the signal to stop until the process is killed.
    pub grace_ms: Millis,
    /// Factor on the requests per second that a cold upstream tolerates, for the most requests in any
    /// one second; cold upstreams get no limit without it or `warmup_slack`.
    pub warmup_overshoot: Option<f64>,
    /// Requests to a cold upstream in any one second beyond that.
    pub warmup_slack: Option<f64>,
    /// Time in milliseconds for which an idle connection to an upstream is kept.
    pub upstream_idle_ms: Millis,
}

/// An instance's state of one service.
#[derive(Debug)]
pub(crate) struct ServiceState {
    pub dispatcher: Dispatcher,
    pub traffic: TrafficCounter,
    pub budget: RetryBudget,
    pub upstreams: HashMap<Arc<str>, Arc<UpstreamInfo>>,
    /// Upstreams that are leaving for an evacuation and still serve their keys until these move.
    pub evacuated_owners: HashSet<Arc<str>>,
    /// Whether all upstreams are leaving, at least some for an evacuation, so that no key can move.
    all_evacuated: bool,
    /// Those that are cold.
    pub cold: ColdUpstreams,
    /// Whether the upstreams own keys.
    pub keyed: bool,
    /// Whether this instance is cut off from the upstreams, as logged last.
    cut_off: bool,
    /// Committed owners and their revision.
    pub owners: Option<(Arc<KeyMap>, u64)>,
    /// Owners of keys that cannot be used, and since when.
    unusable_owners: HashMap<Owner, Millis>,
    /// Keys that are about to move, whose requests wait: range, until when, revision of the owners
    /// in force when the move began.
    paused: Vec<(KeyRange, Millis, u64)>,
    /// Where to send the decisions on waiting requests, and the requests' keys.
    waiters: HashMap<Ticket, (oneshot::Sender<Decision>, Option<Key>)>,
}

impl ServiceState {
    /// Returns where a request may go.
    pub fn destination(&self, key: Option<Key>) -> Destination {
        match key {
            Some(key) if self.keyed => self.owner_destination(key),
            _ => Destination::Any,
        }
    }

    /// Returns the owner of a key if that incarnation of the upstream is known and not leaving, and
    /// the key is not paused.
    fn owner_destination(&self, key: Key) -> Destination {
        let Some(span) = self.owners.as_ref().and_then(|(map, _)| map.find(key)) else {
            return Destination::NoOwner;
        };
        if !self.is_usable(&span.owner) {
            let since = self.unusable_owners.get(&span.owner);
            let lost =
                since.is_some_and(|t| boot_millis() >= t + OWNER_PATIENCE_MS) || self.all_evacuated;
            return if lost { Destination::OwnerLost } else { Destination::NoOwner };
        }
        if self.paused.iter().any(|(range, ..)| range.contains(key)) {
            return Destination::NoOwner;
        }
        Destination::Owner(span.owner.id.clone(), span.fence)
    }

    fn is_usable(&self, owner: &Owner) -> bool {
        let upstream = self.upstreams.get(&owner.id);
        upstream.is_some_and(|u| u.is_incarnation(&owner.id, owner.started) && !self.is_leaving(u))
    }

    /// Returns whether an upstream is sent no more requests.
    fn is_leaving(&self, upstream: &UpstreamInfo) -> bool {
        upstream.leaving && !(self.keyed && self.evacuated_owners.contains(&upstream.id))
    }

    /// Notes since when owners of keys cannot be used.
    fn update_unusable_owners(&mut self, now: Millis) {
        let known = std::mem::take(&mut self.unusable_owners);
        let Some((owners, _)) = &self.owners else {
            return;
        };
        let unusable = owners.spans.iter().map(|s| &s.owner).filter(|o| !self.is_usable(o));
        self.unusable_owners =
            unusable.map(|o| (o.clone(), known.get(o).copied().unwrap_or(now))).collect();
    }

    /// Updates the destinations of the waiting requests that have a key.
    fn refresh_destinations(&mut self) {
        let keys = self.waiters.iter().filter_map(|(t, (_, key))| Some((*t, (*key)?)));
        let destinations: HashMap<Ticket, Destination> =
            keys.map(|(ticket, key)| (ticket, self.destination(Some(key)))).collect();
        self.dispatcher.update_destinations(|ticket| destinations.get(&ticket).cloned());
    }

    /// Removes pauses that have timed out or whose move is committed; returns whether there were
    /// any.
    fn remove_ended_pauses(&mut self, now: Millis) -> bool {
        let before = self.paused.len();
        let revision = self.owners.as_ref().map_or(0, |(_, r)| *r);
        let owners = self.owners.as_ref().map(|(map, _)| map.clone());
        self.paused.retain(|(range, until, pause_revision)| {
            // A fence is one more than the revision of the owners that its commit replaced, so the
            // keys have a higher one than `pause_revision` once their move is committed.
            let span = owners.as_ref().and_then(|map| map.find(range.from));
            let moved =
                revision > *pause_revision && span.is_none_or(|s| s.fence > *pause_revision);
            now < *until && !moved
        });
        self.paused.len() < before
    }

    /// Logs whether this instance is cut off from the upstreams, if that has changed.
    pub fn note_cut(&mut self, service: &str) {
        let cut_off = self.dispatcher.is_cut_off();
        if std::mem::replace(&mut self.cut_off, cut_off) == cut_off {
            return;
        }
        if cut_off {
            log::warn!(service; "cut off from the upstreams, requests are forwarded");
        } else {
            log::info!(service; "the upstreams can be reached again");
        }
        metrics::gauge!("mulberryspur_cut_off", "service" => service.to_owned())
            .set(f64::from(u8::from(cut_off)));
    }

    /// Logs when this instance begins or ceases to reject requests because the upstreams are saturated.
    pub fn note_admission(&mut self, service: &str) {
        let level = self.dispatcher.admission_level();
        metrics::gauge!("mulberryspur_admission_level", "service" => service.to_owned()).set(level);
        if let Some(limited) = self.dispatcher.take_admission_change() {
            log::info!(service, limited, level; "admission of requests changed");
        }
    }

    /// Registers a waiting request; returns the receiver of the decision on it.
    pub fn add_waiter(&mut self, ticket: Ticket, key: Option<Key>) -> oneshot::Receiver<Decision> {
        let (tx, rx) = oneshot::channel();
        self.waiters.insert(ticket, (tx, key));
        rx
    }

    /// Decides about the waiting requests and passes the decisions on.
    pub fn poll(&mut self, now: Millis) {
        for (ticket, decision) in self.dispatcher.poll(now) {
            let Some((tx, _)) = self.waiters.remove(&ticket) else {
                continue;
            };
            if let Err(Decision::Send(id)) = tx.send(decision) {
                // The caller has left; the request was counted as in flight.
                let completion = crate::dispatch::Completion::Inconclusive;
                self.dispatcher.on_completion(now, &id, completion, None);
            }
        }
    }

    /// Removes a waiting request.
    pub fn abandon(&mut self, ticket: Ticket) {
        self.dispatcher.abandon(ticket);
        self.waiters.remove(&ticket);
    }
}

/// Logs which upstreams are new, leave, or are no longer known.
fn log_changed_upstreams(
    old: &HashMap<Arc<str>, Arc<UpstreamInfo>>,
    new: &HashMap<Arc<str>, Arc<UpstreamInfo>>,
) {
    let known = |u: &UpstreamInfo| old.get(&u.id).filter(|o| o.is_incarnation(&u.id, u.started));
    for u in new.values() {
        let was_leaving = known(u).map(|o| o.leaving);
        if was_leaving != Some(u.leaving) {
            log::info!(
                upstream = &*u.id, service = &*u.service, started = u.started, leaving = u.leaving;
                "upstream changed"
            );
        }
    }
    for u in old.values().filter(|u| !new.contains_key(&u.id)) {
        log::info!(upstream = &*u.id, service = &*u.service; "upstream removed");
    }
}

/// Returns the number of connections to one upstream that each instance may open.
fn connection_share(connections: usize, instances: f64) -> u32 {
    #[expect(clippy::cast_precision_loss, reason = "small numbers")]
    let share = connections as f64 * REQUEST_CONNECTION_SHARE / instances;
    #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "positive")]
    let limit = share.max(MIN_CONNECTIONS) as u32;
    limit
}

/// An instance of `mulberryspur-platform`.
#[derive(Debug)]
pub struct Node {
    /// Settings.
    pub cfg: NodeConfig,
    /// Identity of this process, new at each start.
    pub process: u64,
    /// Interface to the platform.
    pub adapter: PlatformAdapter,
    pub(crate) shared_state: RefCell<SharedState>,
    pub(crate) services: RefCell<HashMap<Arc<str>, ServiceState>>,
    /// Ratio and reserve of the retries that all instances together may send.
    retry_limits: Cell<(f64, f64)>,
    /// Credits of the weighted round robin between the targets of a rule, by rule.
    pub(crate) target_credits: RefCell<HashMap<Arc<str>, Vec<f64>>>,
    /// Connections to upstreams.
    pub(crate) pool: Pool,
    /// Connections to other instances, for requests.
    pub(crate) peer_pool: Pool,
    /// Which other instances have a path to the upstreams.
    pub(crate) peer_paths: RefCell<PeerPaths>,
    /// Requests under which upstreams have ended.
    pub(crate) suspects: RefCell<Suspects>,
    /// Those of which a copy is being tried.
    pub(crate) trials: Trials,
    pub(crate) gossip_links: gossip::GossipLinks,
    pub(crate) coordinators: RefCell<HashMap<Arc<str>, coordinator_task::CoordinatorHandle>>,
    /// Until when each table counts as followed unless the store answers another call for its changes;
    /// 0 while this instance does not follow the table.
    followed_tables: RefCell<HashMap<&'static str, Millis>>,
    /// Limits the responses that are read whole before they are passed on.
    pub(crate) buffer_limit: BufferLimit,
    /// When the process started.
    started_at: Millis,
    pub(crate) ready: Cell<bool>,
    /// When the instance began to stop.
    pub(crate) stopping_since: Cell<Option<Millis>>,
    /// Cancelled when the instance begins to stop.
    stopping_token: CancellationToken,
    /// Cancelled when requests that are still open get their last response, shortly before the
    /// process ends.
    pub(crate) last_responses: CancellationToken,
    /// Cancelled when the process is about to end.
    pub stop: CancellationToken,
}

impl Node {
    /// Creates an instance with an empty shared state.
    #[must_use]
    pub fn new(cfg: NodeConfig, adapter: PlatformAdapter) -> Rc<Self> {
        let options = Options {
            connect_timeout: CONNECT_TIMEOUT,
            idle_timeout: Duration::from_millis(cfg.upstream_idle_ms),
            tcp_user_timeout: Some(TCP_USER_TIMEOUT),
            zero_linger: true,
            ..Options::default()
        };
        Rc::new(Self {
            process: rand::random(),
            adapter,
            shared_state: RefCell::default(),
            services: RefCell::default(),
            retry_limits: Cell::new((cfg.retry_ratio, cfg.retry_reserve)),
            target_credits: RefCell::default(),
            pool: Pool::with_options(CONNECTIONS_PER_UPSTREAM, options),
            peer_pool: peer_forward::peer_pool(),
            peer_paths: RefCell::default(),
            suspects: RefCell::default(),
            trials: Trials::default(),
            gossip_links: gossip::GossipLinks::default(),
            coordinators: RefCell::default(),
            followed_tables: RefCell::default(),
            buffer_limit: BufferLimit::new(MAX_BUFFERED_BYTES),
            started_at: boot_millis(),
            ready: Cell::new(false),
            stopping_since: Cell::new(None),
            stopping_token: CancellationToken::new(),
            last_responses: CancellationToken::new(),
            stop: CancellationToken::new(),
            cfg,
        })
    }

    /// Binds the addresses and starts serving; must run within a [`tokio::task::LocalSet`].
    ///
    /// # Errors
    ///
    /// Fails if an address cannot be bound.
    pub async fn start(self: &Rc<Self>) -> Result<()> {
        listeners::start(self).await?;
        exporter::start(self).await?;
        peer_listener::start(self).await?;
        tokio::task::spawn_local(gossip::run_rounds(self.clone()));
        tokio::task::spawn_local(path_probe::run(self.clone()));
        tokio::task::spawn_local(self.clone().publish_address());
        let node = self.clone();
        tokio::task::spawn_local(async move {
            let mut tick = tokio::time::interval(Duration::from_millis(POLL_INTERVAL_MS));
            tick.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
            loop {
                tick.tick().await;
                node.poll();
            }
        });
        Ok(())
    }

    /// Writes the row with this instance's address, by which others find it, to the followed table,
    /// and again whenever the store is restored from a copy that lacks it.
    async fn publish_address(self: Rc<Self>) {
        let followed = true;
        let name = RowName {
            followed,
            group: coordinator_task::INSTANCES_GROUP.into(),
            key: self.cfg.name.clone(),
        };
        let value = coordinator_task::encode_row(&self.peer_info());
        loop {
            let put = vec![(name.clone(), value.clone())];
            let change = Change { expect: vec![], put };
            let ChangeOutcome::Done(revision) = (self.adapter.table.change)(change).await else {
                tokio::time::sleep(PUBLISH_RETRY_DELAY).await;
                continue;
            };
            while !self.is_address_lost(revision) {
                tokio::time::sleep(PUBLISH_CHECK_INTERVAL).await;
            }
            log::info!(revision; "store was restored without this instance's address");
            let delay = rand::random_range(0..MAX_PUBLISH_DELAY_MS);
            tokio::time::sleep(Duration::from_millis(delay)).await;
        }
    }

    /// Returns whether the store lacks this instance's address, which was written at `revision`, as
    /// it was restored since.
    fn is_address_lost(&self, revision: u64) -> bool {
        let known_up_to = self.known_up_to(&[EntryKind::Instance]);
        let own = self.peer_info();
        revision::generation(revision) < revision::generation(known_up_to)
            && self.shared_state.borrow().instance(&self.cfg.name) != Some(&own)
    }

    fn poll(self: &Rc<Self>) {
        let now = boot_millis();
        ended_upstreams::publish(self);
        gossip::publish_store_status(self);
        gossip::resend_undelivered(self);
        self.update_shared_state(|shared_state, now| shared_state.evacuations_mut().expire(now));
        // Upstreams whose entries were deleted during an outage and were not restored in time.
        if self.shared_state.borrow_mut().expire_lapsed(now) {
            self.refresh_services();
            return;
        }
        let mut waiting = Vec::new();
        for (service, state) in self.services.borrow_mut().iter_mut() {
            state.cold.log_changes(now, service);
            if !state.paused.is_empty() && state.remove_ended_pauses(now) {
                state.refresh_destinations();
            }
            if state.dispatcher.request_counts().1 > 0 {
                state.poll(now);
                waiting.push(service.clone());
            }
        }
        for service in &waiting {
            coordinator_task::ask_for_credits(self, service);
        }
    }

    /// Ends the suspicion that a request ends upstreams, on all instances, by its logged fingerprint.
    pub fn pardon_request(&self, fingerprint: &str) {
        let known = self.suspects.borrow_mut().pardon(boot_millis(), fingerprint);
        log::info!(fingerprint, known; "request pardoned");
    }

    /// Makes requests wait for keys that their owner is about to release; returns whether any of
    /// the ranges was not paused for this move before.
    pub(crate) fn pause_keys(&self, moving: &MovingKeys) -> bool {
        let mut services = self.services.borrow_mut();
        let Some(state) = services.get_mut(&moving.service) else {
            return false;
        };
        let until = boot_millis() + MAX_PAUSE_MS;
        let is_known =
            |r: &KeyRange| state.paused.iter().any(|(p, _, rev)| p == r && *rev == moving.revision);
        let new_ranges: Vec<KeyRange> =
            moving.ranges.iter().copied().filter(|r| !is_known(r)).collect();
        state.paused.extend(new_ranges.iter().map(|r| (*r, until, moving.revision)));
        state.refresh_destinations();
        !new_ranges.is_empty()
    }

    /// Returns the cold upstreams of a service, with the requests per second that they tolerate.
    pub(crate) fn cold_rates(&self, service: &str, now: Millis) -> HashMap<Arc<str>, f64> {
        let services = self.services.borrow();
        services.get(service).map(|s| s.cold.rates(now)).unwrap_or_default()
    }

    /// Takes over the shares of the requests that a service's overloaded owners can serve.
    pub(crate) fn set_shares(&self, service: &str, shares: Vec<OwnerShare>) {
        if let Some(state) = self.services.borrow_mut().get_mut(service) {
            state.dispatcher.set_shares(boot_millis(), shares);
        }
    }

    /// Changes the shared state; if `change` returns `true`, updates the services and passes the
    /// changes on.
    pub fn update_shared_state(
        self: &Rc<Self>,
        change: impl FnOnce(&mut SharedState, Millis) -> bool,
    ) {
        let now = boot_millis();
        let changed = change(&mut self.shared_state.borrow_mut(), now);
        if changed {
            for (upstream, until) in self.shared_state.borrow_mut().take_new_lapses() {
                let kept_ms = until.saturating_sub(now);
                log::info!(upstream = &*upstream, kept_ms; "entry of an upstream lapsed");
            }
            self.refresh_services();
            let entries = self.shared_state.borrow_mut().take_changes();
            gossip::push_changes(self, &entries);
        }
    }

    /// Takes over what this instance has read about evacuations; if `change` returns `true`, updates
    /// the services and tells the other instances.
    pub fn update_evacuations(
        self: &Rc<Self>,
        change: impl FnOnce(&mut Evacuations, Millis) -> bool,
    ) {
        if gossip::change_evacuations(self, change) {
            gossip::broadcast_evacuations(self);
        }
    }

    /// Returns the revision of the store up to which all changes of evacuations are known.
    #[must_use]
    pub fn evacuations_known_up_to(&self) -> u64 {
        self.shared_state.borrow().evacuations().complete_up_to()
    }

    /// Returns whether the relay, if there is one, tells of evacuations; earlier versions do not.
    #[must_use]
    pub fn learns_of_evacuations(&self) -> bool {
        gossip::relay(self).is_none_or(|name| gossip::tells_of_evacuations(self, &name))
    }

    /// Returns whether the relay, if there is one, tells of removed entries; earlier versions do not.
    #[must_use]
    pub fn learns_of_removals(&self) -> bool {
        gossip::learns_of_removals(self)
    }

    /// Records that an incarnation of an upstream has said in a response that it leaves.
    pub(crate) fn on_upstream_leaving(self: &Rc<Self>, id: &Arc<str>, started: u64) {
        self.update_shared_state(|shared_state, _| shared_state.mark_leaving(id, started));
    }

    /// Returns whether this instance should follow the store itself instead of relying on a relay.
    #[must_use]
    pub fn should_follow_store(&self) -> bool {
        let is_starting = boot_millis() < self.started_at + RELAY_WAIT_MS;
        gossip::relay(self).is_none() && !(is_starting && gossip::has_relay_candidate(self))
    }

    /// Returns the revision up to which all entries of these kinds are known.
    #[must_use]
    pub fn known_up_to(&self, kinds: &[EntryKind]) -> u64 {
        let digest = self.shared_state.borrow().digest();
        kinds.iter().map(|k| digest[*k as usize]).min().unwrap_or(0)
    }

    /// Records until when a table counts as followed unless the store answers another call for it, or
    /// that it is not followed.
    pub fn record_table_followed(&self, table: &'static str, until: Option<Millis>) {
        self.followed_tables.borrow_mut().insert(table, until.unwrap_or(0));
    }

    /// Returns whether this instance can be a relay: it follows the store, the store answers it,
    /// and it is not stopping.
    pub(crate) fn follows_store(&self) -> bool {
        let now = boot_millis();
        let followed = self.followed_tables.borrow();
        !followed.is_empty()
            && self.stopping_since.get().is_none()
            && followed.values().all(|until| now < *until)
    }

    /// Records that a call to the store failed that was sent at `sent_at`.
    pub fn on_store_failure(&self, sent_at: Millis) {
        self.shared_state.borrow_mut().on_store_failure(sent_at);
    }

    /// Returns the configuration in force.
    #[must_use]
    pub fn routing_config(&self) -> Option<Arc<RoutingConfig>> {
        self.shared_state.borrow().routing_config().cloned()
    }

    /// Returns the number of instances of the same data centre that come before this one by name.
    #[must_use]
    pub fn instances_before(&self) -> usize {
        let shared_state = self.shared_state.borrow();
        let comes_before = |(name, p): &(&Arc<str>, &PeerInfo)| {
            p.data_center == self.cfg.data_center && **name < self.cfg.name
        };
        shared_state.instances().filter(comes_before).count()
    }

    /// Returns the number of known instances, this one included.
    fn instance_count(&self) -> usize {
        self.shared_state.borrow().instances().count().max(1)
    }

    /// Returns which of all instances this one is.
    fn position(&self, now: Millis) -> InstancePosition {
        let shared_state = self.shared_state.borrow();
        let before = shared_state.instances().filter(|(name, _)| **name < self.cfg.name).count();
        InstancePosition {
            instances: u32::try_from(self.instance_count()).unwrap_or(u32::MAX),
            rank: u32::try_from(before).unwrap_or(u32::MAX),
            clock_offset_ms: wall_millis().saturating_sub(now),
        }
    }

    /// Applies changed limits on the retries of all instances.
    pub fn set_retry_limits(&self, ratio: f64, reserve: f64) {
        self.retry_limits.set((ratio, reserve));
        let budget = self.retry_budget();
        for state in self.services.borrow_mut().values_mut() {
            state.budget.set_limits(&budget);
        }
    }

    /// Returns this instance's share of the retries that all may send.
    fn retry_budget(&self) -> RetryBudget {
        let (ratio, reserve) = self.retry_limits.get();
        #[expect(clippy::cast_precision_loss, reason = "small numbers")]
        let instances = self.instance_count().max(MIN_ASSUMED_INSTANCES) as f64;
        RetryBudget::with_limits(
            ratio * RETRY_RATIO_FACTOR,
            reserve * RETRY_RESERVE_FACTOR / instances,
        )
    }

    /// Updates the state of all services from the shared state.
    fn refresh_services(self: &Rc<Self>) {
        let now = boot_millis();
        let Some(routing_config) = self.routing_config() else {
            return;
        };
        #[expect(clippy::cast_precision_loss, reason = "small numbers")]
        let instances = self.instance_count() as f64;
        let budget = self.retry_budget();
        let position = self.position(now);
        let shared_state = self.shared_state.borrow();
        let evacuated_owners = shared_state.evacuated_owners(now);
        let mut services = self.services.borrow_mut();
        for spec in routing_config.services.values() {
            let state = services.entry(spec.name.clone()).or_insert_with(|| ServiceState {
                dispatcher: Dispatcher::default(),
                traffic: TrafficCounter::default(),
                budget: budget.clone(),
                upstreams: HashMap::default(),
                evacuated_owners: HashSet::default(),
                all_evacuated: false,
                cold: ColdUpstreams::default(),
                keyed: spec.keyed,
                cut_off: false,
                owners: None,
                unusable_owners: HashMap::default(),
                paused: Vec::new(),
                waiters: HashMap::default(),
            });
            state.keyed = spec.keyed;
            // The reserve is divided among all known instances, whose number changes.
            state.budget.set_limits(&budget);
            let upstreams = shared_state
                .upstreams(now)
                .filter(|u| u.service == spec.name)
                .map(|u| (u.id.clone(), u))
                .collect();
            log_changed_upstreams(&state.upstreams, &upstreams);
            state.upstreams = upstreams;
            state.evacuated_owners.clone_from(&evacuated_owners);
            state.all_evacuated = shared_state.evacuations().is_any_in_force()
                && state.upstreams.values().all(|u| u.leaving);
            let owners = shared_state.owners(&spec.name);
            if owners.map(|(_, r)| r) != state.owners.as_ref().map(|(_, r)| *r) {
                state.owners = owners.map(|(map, r)| (map.clone(), r));
            }
            state.update_unusable_owners(now);
            let same_data_center = |u: &UpstreamInfo| u.data_center == self.cfg.data_center;
            let specs = state.upstreams.values().map(|u| UpstreamSpec {
                id: u.id.clone(),
                started: u.started,
                concurrency: u.concurrency,
                same_data_center: same_data_center(u),
                leaving: state.is_leaving(u),
                max_connections: connection_share(spec.max_connections, instances),
            });
            let specs: Vec<UpstreamSpec> = specs.collect();
            state.dispatcher.set_position(position);
            state.dispatcher.set_keyed(spec.keyed);
            state.dispatcher.set_upstreams(now, specs);
            let (overshoot, slack) = (self.cfg.warmup_overshoot, self.cfg.warmup_slack);
            let listing = Listing {
                complete: shared_state.digest()[EntryKind::Upstream as usize] > 0,
                system_starts: self.cfg.first_start && !state.dispatcher.had_requests(),
            };
            let listed =
                state.upstreams.values().map(|u| (u, shared_state.upstream_revision(&u.id)));
            state.cold.update(now, ColdLimits::new(spec, overshoot, slack), listing, listed);
            // Upstreams of a data centre may be cold when its evacuation ends.
            state.cold.note_possibly_cold(|name| shared_state.evacuations().ended_at(name));
            state.dispatcher.set_cold(now, &state.cold);
            state.cold.log_changes(now, &spec.name);
            state.remove_ended_pauses(now);
            state.refresh_destinations();
            state.poll(now);
        }
        drop(services);
        drop(shared_state);
        for service in routing_config.keyed_services() {
            coordinator_task::start(self, service);
        }
        if !self.ready.replace(true) {
            log::info!(version = routing_config.version; "ready");
        }
    }

    /// Waits until the instance has begun to stop.
    pub(crate) async fn stop_requested(&self) {
        self.stopping_token.cancelled().await;
    }

    /// Returns whether the platform's load balancer may send new connections.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.ready.get() && self.stopping_since.get().is_none()
    }

    /// Chooses the service of a request by weighted round robin, so that each of the rule's targets
    /// gets its share of any sequence of requests.
    pub(crate) fn choose_service(&self, rule: &Rule) -> Option<Arc<str>> {
        if let [only] = &rule.targets[..] {
            return Some(only.service.clone());
        }
        let mut target_credits = self.target_credits.borrow_mut();
        let credits = target_credits.entry(rule.name.clone()).or_default();
        if credits.len() != rule.targets.len() {
            *credits = rule.targets.iter().map(|_| rand::random_range(0.0..1.0)).collect();
        }
        let total: f64 = rule.targets.iter().map(|t| f64::from(t.weight)).sum();
        for (c, t) in credits.iter_mut().zip(&rule.targets) {
            *c += f64::from(t.weight) / total.max(1.0);
        }
        let best = (0..credits.len()).max_by(|a, b| credits[*a].total_cmp(&credits[*b]))?;
        credits[best] -= 1.0;
        Some(rule.targets[best].service.clone())
    }

    /// Returns the traffic of a service that was counted since the last call.
    pub(crate) fn take_traffic_report(&self, service: &Arc<str>) -> Option<TrafficReport> {
        self.services.borrow_mut().get_mut(service)?.traffic.take(service)
    }

    /// Returns what other instances need to reach this one.
    #[must_use]
    pub fn peer_info(&self) -> PeerInfo {
        PeerInfo {
            address: self.cfg.peer_address,
            data_center: self.cfg.data_center.clone(),
            accepts_requests: true,
            cpu_cores: self.cfg.cpu_cores,
        }
    }

    /// Stops gracefully: reports not ready, gives back the leases by which it coordinates services,
    /// and lets requests in flight end.
    pub async fn shut_down(self: &Rc<Self>) {
        log::info!("stopping");
        self.stopping_since.set(Some(boot_millis()));
        self.stopping_token.cancel();
        coordinator_task::resign_all(self).await;
        listeners::drain(self).await;
        self.stop.cancel();
        log::info!("stopped");
    }
}
