//! One instance on a platform: what it knows, and the state of each service.

use crate::{
    adapter::{Change, ChangeOutcome, PlatformAdapter, RowName},
    clock::{Millis, boot_millis},
    collections::HashMap,
    coordinator_task,
    dispatch::{Decision, Destination, Dispatcher, Ticket, UpstreamSpec},
    error::Result,
    exporter,
    gossip::{self, MovingKeys},
    keymap::{Key, KeyMap, KeyRange},
    listeners,
    pool::{Options, Pool},
    retry_budget::RetryBudget,
    routing_config::{RoutingConfig, Rule, UpstreamInfo},
    shared_state::{EntryKind, PeerInfo, SharedState},
    traffic::{TrafficCounter, TrafficReport},
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

/// Time in milliseconds between looks at waiting requests: windows and ejections change with time.
const POLL_MS: u64 = 20;
/// Time for a connection to an upstream to be made: a round trip is a few milliseconds.
const CONNECT_LIMIT: Duration = Duration::from_millis(250);
/// Time after which an upstream that acknowledges no bytes is given up.
const SILENCE_LIMIT: Duration = Duration::from_millis(800);
/// Time in milliseconds after which a table whose call has not returned counts as not followed: the
/// time for which the store holds a call, and one call.
const FOLLOWED_MS: Millis = 2_700;
/// Time in milliseconds for which requests wait for a move that is not heard of again: the work that
/// runs at the old owner, for nine in ten.
const PAUSE_MS: Millis = 700;
/// Time in milliseconds after its start in which an instance waits for another one to follow the
/// store: a few rounds of digests.
const LEADER_WAIT_MS: Millis = 1_500;
/// Time until the row by which others find this instance is written again after a failure.
const REGISTER_RETRY: Duration = Duration::from_millis(700);
/// Connections to one upstream: twice the largest window of an upstream with six slots.
const CONNECTIONS: usize = 24;

/// Parts of the allowed repeats that are used: instances count requests at different times, and one
/// that starts anew begins with its whole reserve.
const RETRY_SHARE: f64 = 0.8;
const RETRY_RESERVE_SHARE: f64 = 0.5;
/// Instances that the reserve is divided among at least, while not all are known yet.
const MIN_INSTANCES: usize = 4;
/// Share of an upstream's connections that all instances together use for requests; the rest is for
/// orders and for connections that are about to close.
const CONNECTION_SHARE: f64 = 0.85;
const MIN_CONNECTIONS: f64 = 2.0;

/// Settings of an instance.
#[derive(Debug, Clone)]
pub struct NodeConfig {
    /// Name, unique among instances.
    pub name: Arc<str>,
    /// Data centre that it runs in.
    pub data_center: Arc<str>,
    /// Share of a core that the instance has.
    pub cpu_share: f64,
    /// Address for callers.
    pub caller_address: SocketAddr,
    /// Address where the balancer asks whether the instance is ready.
    pub ready_address: SocketAddr,
    /// Path of that question.
    pub ready_path: Arc<str>,
    /// Address for other instances.
    pub peer_address: SocketAddr,
    /// Addresses of other instances, from which state is learnt while the store is away.
    pub seeds: Vec<SocketAddr>,
    /// Address of the metrics, if served.
    pub metrics_address: Option<SocketAddr>,
    /// Longest time in milliseconds for which upstreams accept a grant.
    pub max_hold_ms: Millis,
    /// Repeats that all instances together may send, as a share of the requests.
    pub retry_ratio: f64,
    /// Repeats that all instances together may send beyond that.
    pub retry_reserve: f64,
    /// Time in milliseconds within which a stopped process is killed.
    pub grace_ms: Millis,
    /// Time in milliseconds for which an idle connection to an upstream is kept.
    pub upstream_idle_ms: Millis,
}

/// What an instance knows and does about one service.
#[derive(Debug)]
pub(crate) struct ServiceState {
    pub dispatcher: Dispatcher,
    pub traffic: TrafficCounter,
    pub budget: RetryBudget,
    pub upstreams: HashMap<Arc<str>, Arc<UpstreamInfo>>,
    pub keyed: bool,
    pub owners: Option<(Arc<KeyMap>, u64)>,
    /// Keys that their owner is about to release: until when, and under which revision.
    paused: Vec<(KeyRange, Millis, u64)>,
    waiters: HashMap<Ticket, (oneshot::Sender<Decision>, Option<Key>)>,
}

impl ServiceState {
    /// Returns where a request may go.
    pub fn destination(&self, key: Option<Key>) -> Destination {
        match key {
            Some(key) if self.keyed => self.place_of(key),
            _ => Destination::Any,
        }
    }

    /// Returns the owner of a key, if it is an incarnation that is known to live and keeps the key.
    fn place_of(&self, key: Key) -> Destination {
        let (owners, upstreams) = (self.owners.as_ref(), &self.upstreams);
        let span = owners.and_then(|(map, _)| map.find(key));
        let live = span.filter(|s| {
            let member = upstreams.get(&s.owner.id);
            member.is_some_and(|m| m.is_incarnation(&s.owner.id, s.owner.started) && !m.leaving)
        });
        let paused = self.paused.iter().any(|(range, ..)| range.contains(key));
        match live.filter(|_| !paused) {
            Some(s) => Destination::Owner(s.owner.id.clone(), s.fence),
            None => Destination::NoOwner,
        }
    }

    /// Gives waiting requests their places anew.
    fn place_again(&mut self) {
        let keys = self.waiters.iter().filter_map(|(t, (_, key))| Some((*t, (*key)?)));
        let places: HashMap<Ticket, Destination> =
            keys.map(|(ticket, key)| (ticket, self.destination(Some(key)))).collect();
        self.dispatcher.update_destinations(|ticket| places.get(&ticket).cloned());
    }

    /// Ends pauses whose time is over or whose move is through; returns whether there were any.
    fn end_pauses(&mut self, now: Millis) -> bool {
        let before = self.paused.len();
        let revision = self.owners.as_ref().map_or(0, |(_, r)| *r);
        let owners = self.owners.as_ref().map(|(map, _)| map.clone());
        self.paused.retain(|(range, until, began)| {
            // The keys have a new fence once their move is through.
            let span = owners.as_ref().and_then(|map| map.find(range.from));
            let moved = revision > *began && span.is_none_or(|s| s.fence > *began);
            now < *until && !moved
        });
        self.paused.len() < before
    }

    /// Registers who waits for the decision on a ticket.
    pub fn add_waiter(&mut self, ticket: Ticket, key: Option<Key>) -> oneshot::Receiver<Decision> {
        let (tx, rx) = oneshot::channel();
        self.waiters.insert(ticket, (tx, key));
        rx
    }

    /// Decides about waiting requests and tells them.
    pub fn poll(&mut self, now: Millis) {
        for (ticket, verdict) in self.dispatcher.poll(now) {
            let Some((tx, _)) = self.waiters.remove(&ticket) else {
                continue;
            };
            if let Err(Decision::Send(id)) = tx.send(verdict) {
                let end = crate::dispatch::Completion::Inconclusive;
                self.dispatcher.on_completion(now, &id, end, None);
            }
        }
    }

    /// Takes a request that stopped waiting out.
    pub fn abandon(&mut self, ticket: Ticket) {
        self.dispatcher.abandon(ticket);
        self.waiters.remove(&ticket);
    }
}

/// Returns the connections to one upstream that one of the instances may open.
fn connection_share(connections: usize, instances: f64) -> u32 {
    #[expect(clippy::cast_precision_loss, reason = "small numbers")]
    let share = connections as f64 * CONNECTION_SHARE / instances;
    #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "positive")]
    let whole = share.max(MIN_CONNECTIONS) as u32;
    whole
}

/// One instance.
#[derive(Debug)]
pub struct Node {
    /// Settings.
    pub cfg: NodeConfig,
    /// Identity of this process.
    pub process: u64,
    /// What the platform provides.
    pub adapter: PlatformAdapter,
    pub(crate) shared_state: RefCell<SharedState>,
    pub(crate) services: RefCell<HashMap<Arc<str>, ServiceState>>,
    retry_limits: Cell<(f64, f64)>,
    pub(crate) target_credits: RefCell<HashMap<Arc<str>, Vec<f64>>>,
    pub(crate) pool: Pool,
    pub(crate) gossip_links: gossip::GossipLinks,
    pub(crate) coordinators: RefCell<HashMap<Arc<str>, coordinator_task::CoordinatorHandle>>,
    followed: RefCell<HashMap<&'static str, Millis>>,
    /// When the process started.
    began: Millis,
    pub(crate) ready: Cell<bool>,
    pub(crate) stopping_since: Cell<Option<Millis>>,
    stopping_token: CancellationToken,
    /// Cancelled when the process is about to end.
    pub stop: CancellationToken,
}

impl Node {
    /// Creates an instance that knows nothing yet.
    #[must_use]
    pub fn new(cfg: NodeConfig, adapter: PlatformAdapter) -> Rc<Self> {
        let options = Options {
            connect_timeout: CONNECT_LIMIT,
            idle_timeout: Duration::from_millis(cfg.upstream_idle_ms),
            tcp_user_timeout: Some(SILENCE_LIMIT),
            zero_linger: true,
        };
        Rc::new(Self {
            process: rand::random(),
            adapter,
            shared_state: RefCell::default(),
            services: RefCell::default(),
            retry_limits: Cell::new((cfg.retry_ratio, cfg.retry_reserve)),
            target_credits: RefCell::default(),
            pool: Pool::with_options(CONNECTIONS, options),
            gossip_links: gossip::GossipLinks::default(),
            coordinators: RefCell::default(),
            followed: RefCell::default(),
            began: boot_millis(),
            ready: Cell::new(false),
            stopping_since: Cell::new(None),
            stopping_token: CancellationToken::new(),
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
        gossip::start(self).await?;
        tokio::task::spawn_local(self.clone().register());
        let node = self.clone();
        tokio::task::spawn_local(async move {
            let mut tick = tokio::time::interval(Duration::from_millis(POLL_MS));
            tick.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
            loop {
                tick.tick().await;
                node.poll();
            }
        });
        Ok(())
    }

    /// Writes the row by which others find this instance.
    async fn register(self: Rc<Self>) {
        let followed = true;
        let name = RowName {
            followed,
            group: coordinator_task::INSTANCES_GROUP.into(),
            key: self.cfg.name.clone(),
        };
        let value = coordinator_task::encode_row(&self.peer_info());
        loop {
            let put = vec![(name.clone(), value.clone())];
            if let ChangeOutcome::Done(_) =
                (self.adapter.table.change)(Change { expect: vec![], put }).await
            {
                return;
            }
            tokio::time::sleep(REGISTER_RETRY).await;
        }
    }

    fn poll(self: &Rc<Self>) {
        let now = boot_millis();
        if self.shared_state.borrow_mut().expire_lapsed(now) {
            self.refresh();
            return;
        }
        for state in self.services.borrow_mut().values_mut() {
            if !state.paused.is_empty() && state.end_pauses(now) {
                state.place_again();
            }
            if state.dispatcher.request_counts().1 > 0 {
                state.poll(now);
            }
        }
    }

    /// Sends no request for keys that are about to be released; returns whether that was news.
    pub(crate) fn pause_keys(&self, moving: &MovingKeys) -> bool {
        let mut services = self.services.borrow_mut();
        let Some(state) = services.get_mut(&moving.service) else {
            return false;
        };
        let until = boot_millis() + PAUSE_MS;
        let known =
            |r: &KeyRange| state.paused.iter().any(|(p, _, rev)| p == r && *rev == moving.revision);
        let news: Vec<KeyRange> = moving.ranges.iter().copied().filter(|r| !known(r)).collect();
        state.paused.extend(news.iter().map(|r| (*r, until, moving.revision)));
        state.place_again();
        !news.is_empty()
    }

    /// Changes what is known, and acts on it.
    pub fn update_shared_state(
        self: &Rc<Self>,
        change: impl FnOnce(&mut SharedState, Millis) -> bool,
    ) {
        let changed = change(&mut self.shared_state.borrow_mut(), boot_millis());
        if changed {
            self.refresh();
            let fresh = self.shared_state.borrow_mut().take_changes();
            gossip::push_changes(self, &fresh);
        }
    }

    /// Returns whether this instance should follow the store itself, and not rely on another one.
    #[must_use]
    pub fn should_follow_store(&self) -> bool {
        let starting = boot_millis() < self.began + LEADER_WAIT_MS;
        gossip::relay(self).is_none() && !(starting && gossip::has_relay_candidate(self))
    }

    /// Returns the revision up to which everything of these kinds is known.
    #[must_use]
    pub fn known_up_to(&self, kinds: &[EntryKind]) -> u64 {
        let digest = self.shared_state.borrow().digest();
        kinds.iter().map(|k| digest[*k as usize]).min().unwrap_or(0)
    }

    /// Notes when a table of the store answered last, or that it is not followed.
    pub fn note_followed(&self, table: &'static str, at: Option<Millis>) {
        self.followed.borrow_mut().insert(table, at.unwrap_or(0));
    }

    /// Returns whether this instance follows the store and the store answers it.
    pub(crate) fn follows_store(&self) -> bool {
        let now = boot_millis();
        let followed = self.followed.borrow();
        !followed.is_empty()
            && self.stopping_since.get().is_none()
            && followed.values().all(|at| now < at + FOLLOWED_MS)
    }

    /// Notes that the store did not answer.
    pub fn on_store_failure(&self) {
        self.shared_state.borrow_mut().on_store_failure(boot_millis());
    }

    /// Returns the configuration in force.
    #[must_use]
    pub fn routing_config(&self) -> Option<Arc<RoutingConfig>> {
        self.shared_state.borrow().routing_config().cloned()
    }

    /// Returns the number of known instances, this one included.
    fn instances(&self) -> usize {
        self.shared_state.borrow().instances().count().max(1)
    }

    /// Takes over limits on repeats from changed settings.
    pub fn set_retry_limits(&self, ratio: f64, reserve: f64) {
        self.retry_limits.set((ratio, reserve));
        let budget = self.retry_budget();
        for state in self.services.borrow_mut().values_mut() {
            state.budget.set_limits(&budget);
        }
    }

    /// Returns this instance's part of the repeats that all may send.
    fn retry_budget(&self) -> RetryBudget {
        let (ratio, reserve) = self.retry_limits.get();
        #[expect(clippy::cast_precision_loss, reason = "small numbers")]
        let instances = self.instances().max(MIN_INSTANCES) as f64;
        RetryBudget::with_limits(ratio * RETRY_SHARE, reserve * RETRY_RESERVE_SHARE / instances)
    }

    /// Brings the state of all services up to date with what is known.
    fn refresh(self: &Rc<Self>) {
        let now = boot_millis();
        let Some(routing_config) = self.routing_config() else {
            return;
        };
        #[expect(clippy::cast_precision_loss, reason = "small numbers")]
        let instances = self.instances() as f64;
        let budget = self.retry_budget();
        let shared_state = self.shared_state.borrow();
        let mut services = self.services.borrow_mut();
        for spec in routing_config.services.values() {
            let state = services.entry(spec.name.clone()).or_insert_with(|| ServiceState {
                dispatcher: Dispatcher::default(),
                traffic: TrafficCounter::default(),
                budget: budget.clone(),
                upstreams: HashMap::default(),
                keyed: spec.keyed,
                owners: None,
                paused: Vec::new(),
                waiters: HashMap::default(),
            });
            state.keyed = spec.keyed;
            // The reserve is shared by all instances, which become known one after the other.
            state.budget.set_limits(&budget);
            state.upstreams = shared_state
                .upstreams(now)
                .filter(|m| m.service == spec.name)
                .map(|m| (m.id.clone(), m.clone()))
                .collect();
            let owners = shared_state.owners(&spec.name);
            if owners.map(|(_, r)| r) != state.owners.as_ref().map(|(_, r)| *r) {
                state.owners = owners.map(|(map, r)| (map.clone(), r));
            }
            let near = |m: &UpstreamInfo| m.data_center == self.cfg.data_center;
            state.dispatcher.set_upstreams(state.upstreams.values().map(|m| UpstreamSpec {
                id: m.id.clone(),
                concurrency: m.concurrency,
                same_data_center: near(m),
                leaving: m.leaving,
                max_connections: connection_share(spec.max_connections, instances),
            }));
            state.end_pauses(now);
            state.place_again();
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

    /// Waits until the instance begins to stop.
    pub(crate) async fn stop_requested(&self) {
        self.stopping_token.cancelled().await;
    }

    /// Returns whether the balancer may send new connections.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.ready.get() && self.stopping_since.get().is_none()
    }

    /// Chooses the service of a request by the weights of its rule, so that each gets its share of
    /// any run of requests.
    pub(crate) fn choose_service(&self, rule: &Rule) -> Option<Arc<str>> {
        if let [only] = &rule.targets[..] {
            return Some(only.service.clone());
        }
        let mut shares = self.target_credits.borrow_mut();
        let credit = shares.entry(rule.name.clone()).or_default();
        if credit.len() != rule.targets.len() {
            *credit = rule.targets.iter().map(|_| rand::random_range(0.0..1.0)).collect();
        }
        let total: f64 = rule.targets.iter().map(|t| f64::from(t.weight)).sum();
        for (c, t) in credit.iter_mut().zip(&rule.targets) {
            *c += f64::from(t.weight) / total.max(1.0);
        }
        let best = (0..credit.len()).max_by(|a, b| credit[*a].total_cmp(&credit[*b]))?;
        credit[best] -= 1.0;
        Some(rule.targets[best].service.clone())
    }

    /// Returns what this instance has counted for a service since the last call.
    pub(crate) fn take_traffic_report(&self, service: &Arc<str>) -> Option<TrafficReport> {
        self.services.borrow_mut().get_mut(service)?.traffic.take(service)
    }

    /// Returns how other instances reach this one.
    #[must_use]
    pub fn peer_info(&self) -> PeerInfo {
        PeerInfo { address: self.cfg.peer_address, data_center: self.cfg.data_center.clone() }
    }

    /// Stops in order: readiness falls, leases are given back, requests in flight end.
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
