//! One instance on a platform: what it knows, and the state of each service.

use crate::{
    catalog::{Catalog, Member, Rule},
    clock::{Millis, boot_millis},
    collections::HashMap,
    dispatch::{Dispatch, Place, Spec, Ticket, Verdict},
    error::Result,
    exporter, front,
    gossip::{self, Moving},
    heat::{HeatCounter, HeatReport},
    keymap::{Key, KeyMap, Range},
    pool::{Options, Pool},
    ports::{Change, Changed, Ports, RowName},
    retry_budget::RetryBudget,
    stewardship,
    views::{Kind, Peer, Views},
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
    pub processor: f64,
    /// Address for callers.
    pub front: SocketAddr,
    /// Address where the balancer asks whether the instance is ready.
    pub ready: SocketAddr,
    /// Path of that question.
    pub ready_path: Arc<str>,
    /// Address for other instances.
    pub peer: SocketAddr,
    /// Addresses of other instances, from which state is learnt while the store is away.
    pub seeds: Vec<SocketAddr>,
    /// Address of the metrics, if served.
    pub metrics: Option<SocketAddr>,
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
    pub dispatch: Dispatch,
    pub heat: HeatCounter,
    pub budget: RetryBudget,
    pub members: HashMap<Arc<str>, Arc<Member>>,
    pub keyed: bool,
    pub owners: Option<(Arc<KeyMap>, u64)>,
    /// Keys that their owner is about to release: until when, and under which revision.
    paused: Vec<(Range, Millis, u64)>,
    waiters: HashMap<Ticket, (oneshot::Sender<Verdict>, Option<Key>)>,
}

impl ServiceState {
    /// Returns where a request may go.
    pub fn place(&self, key: Option<Key>) -> Place {
        match key {
            Some(key) if self.keyed => self.place_of(key),
            _ => Place::Any,
        }
    }

    /// Returns the owner of a key, if it is an incarnation that is known to live and keeps the key.
    fn place_of(&self, key: Key) -> Place {
        let (owners, members) = (self.owners.as_ref(), &self.members);
        let span = owners.and_then(|(map, _)| map.find(key));
        let live = span.filter(|s| {
            let member = members.get(&s.owner.id);
            member.is_some_and(|m| m.is(&s.owner.id, s.owner.started) && !m.leaving)
        });
        let paused = self.paused.iter().any(|(range, ..)| range.contains(key));
        match live.filter(|_| !paused) {
            Some(s) => Place::Owner(s.owner.id.clone(), s.fence),
            None => Place::Nobody,
        }
    }

    /// Gives waiting requests their places anew.
    fn place_again(&mut self) {
        let keys = self.waiters.iter().filter_map(|(t, (_, key))| Some((*t, (*key)?)));
        let places: HashMap<Ticket, Place> =
            keys.map(|(ticket, key)| (ticket, self.place(Some(key)))).collect();
        self.dispatch.replace(|ticket| places.get(&ticket).cloned());
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

    /// Registers who waits for the verdict on a ticket.
    pub fn wait(&mut self, ticket: Ticket, key: Option<Key>) -> oneshot::Receiver<Verdict> {
        let (tx, rx) = oneshot::channel();
        self.waiters.insert(ticket, (tx, key));
        rx
    }

    /// Decides about waiting requests and tells them.
    pub fn poll(&mut self, now: Millis) {
        for (ticket, verdict) in self.dispatch.poll(now) {
            let Some((tx, _)) = self.waiters.remove(&ticket) else {
                continue;
            };
            if let Err(Verdict::Send(id)) = tx.send(verdict) {
                let end = crate::dispatch::End::Dropped;
                self.dispatch.on_end(now, &id, end, None);
            }
        }
    }

    /// Takes a request that stopped waiting out.
    pub fn abandon(&mut self, ticket: Ticket) {
        self.dispatch.abandon(ticket);
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
    pub ports: Ports,
    pub(crate) views: RefCell<Views>,
    pub(crate) services: RefCell<HashMap<Arc<str>, ServiceState>>,
    retry_limits: Cell<(f64, f64)>,
    pub(crate) shares: RefCell<HashMap<Arc<str>, Vec<f64>>>,
    pub(crate) pool: Pool,
    pub(crate) links: gossip::Links,
    pub(crate) duties: RefCell<HashMap<Arc<str>, stewardship::Duty>>,
    followed: RefCell<HashMap<&'static str, Millis>>,
    /// When the process started.
    began: Millis,
    pub(crate) ready: Cell<bool>,
    pub(crate) stopping: Cell<Option<Millis>>,
    stopping_token: CancellationToken,
    /// Cancelled when the process is about to end.
    pub stop: CancellationToken,
}

impl Node {
    /// Creates an instance that knows nothing yet.
    #[must_use]
    pub fn new(cfg: NodeConfig, ports: Ports) -> Rc<Self> {
        let options = Options {
            connect_timeout: CONNECT_LIMIT,
            idle_timeout: Duration::from_millis(cfg.upstream_idle_ms),
            tcp_user_timeout: Some(SILENCE_LIMIT),
            zero_linger: true,
        };
        Rc::new(Self {
            process: rand::random(),
            ports,
            views: RefCell::default(),
            services: RefCell::default(),
            retry_limits: Cell::new((cfg.retry_ratio, cfg.retry_reserve)),
            shares: RefCell::default(),
            pool: Pool::with_options(CONNECTIONS, options),
            links: gossip::Links::default(),
            duties: RefCell::default(),
            followed: RefCell::default(),
            began: boot_millis(),
            ready: Cell::new(false),
            stopping: Cell::new(None),
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
        front::start(self).await?;
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
        let name =
            RowName { followed, group: stewardship::INSTANCES.into(), key: self.cfg.name.clone() };
        let value = stewardship::encode(&self.as_peer());
        loop {
            let put = vec![(name.clone(), value.clone())];
            if let Changed::Done(_) =
                (self.ports.table.change)(Change { expect: vec![], put }).await
            {
                return;
            }
            tokio::time::sleep(REGISTER_RETRY).await;
        }
    }

    fn poll(self: &Rc<Self>) {
        let now = boot_millis();
        if self.views.borrow_mut().expire(now) {
            self.refresh();
            return;
        }
        for state in self.services.borrow_mut().values_mut() {
            if !state.paused.is_empty() && state.end_pauses(now) {
                state.place_again();
            }
            if state.dispatch.load().1 > 0 {
                state.poll(now);
            }
        }
    }

    /// Sends no request for keys that are about to be released; returns whether that was news.
    pub(crate) fn pause(&self, moving: &Moving) -> bool {
        let mut services = self.services.borrow_mut();
        let Some(state) = services.get_mut(&moving.service) else {
            return false;
        };
        let until = boot_millis() + PAUSE_MS;
        let known =
            |r: &Range| state.paused.iter().any(|(p, _, rev)| p == r && *rev == moving.revision);
        let news: Vec<Range> = moving.ranges.iter().copied().filter(|r| !known(r)).collect();
        state.paused.extend(news.iter().map(|r| (*r, until, moving.revision)));
        state.place_again();
        !news.is_empty()
    }

    /// Changes what is known, and acts on it.
    pub fn update(self: &Rc<Self>, change: impl FnOnce(&mut Views, Millis) -> bool) {
        let changed = change(&mut self.views.borrow_mut(), boot_millis());
        if changed {
            self.refresh();
            let fresh = self.views.borrow_mut().take_fresh();
            gossip::spread(self, &fresh);
        }
    }

    /// Returns whether this instance should follow the store itself, and not rely on another one.
    #[must_use]
    pub fn should_follow(&self) -> bool {
        let starting = boot_millis() < self.began + LEADER_WAIT_MS;
        gossip::leader(self).is_none() && !(starting && gossip::comes_after_others(self))
    }

    /// Returns the revision up to which everything of these kinds is known.
    #[must_use]
    pub fn known_up_to(&self, kinds: &[Kind]) -> u64 {
        let digest = self.views.borrow().digest();
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
            && self.stopping.get().is_none()
            && followed.values().all(|at| now < at + FOLLOWED_MS)
    }

    /// Notes that the store did not answer.
    pub fn on_store_trouble(&self) {
        self.views.borrow_mut().on_store_trouble(boot_millis());
    }

    /// Returns the configuration in force.
    #[must_use]
    pub fn catalog(&self) -> Option<Arc<Catalog>> {
        self.views.borrow().catalog().cloned()
    }

    /// Returns the number of known instances, this one included.
    fn instances(&self) -> usize {
        self.views.borrow().instances().count().max(1)
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
        let Some(catalog) = self.catalog() else {
            return;
        };
        #[expect(clippy::cast_precision_loss, reason = "small numbers")]
        let instances = self.instances() as f64;
        let budget = self.retry_budget();
        let views = self.views.borrow();
        let mut services = self.services.borrow_mut();
        for spec in catalog.services.values() {
            let state = services.entry(spec.name.clone()).or_insert_with(|| ServiceState {
                dispatch: Dispatch::default(),
                heat: HeatCounter::default(),
                budget: budget.clone(),
                members: HashMap::default(),
                keyed: spec.keyed,
                owners: None,
                paused: Vec::new(),
                waiters: HashMap::default(),
            });
            state.keyed = spec.keyed;
            // The reserve is shared by all instances, which become known one after the other.
            state.budget.set_limits(&budget);
            state.members = views
                .members(now)
                .filter(|m| m.service == spec.name)
                .map(|m| (m.id.clone(), m.clone()))
                .collect();
            let owners = views.owners(&spec.name);
            if owners.map(|(_, r)| r) != state.owners.as_ref().map(|(_, r)| *r) {
                state.owners = owners.map(|(map, r)| (map.clone(), r));
            }
            let near = |m: &Member| m.data_center == self.cfg.data_center;
            state.dispatch.set_upstreams(state.members.values().map(|m| Spec {
                id: m.id.clone(),
                slots: m.slots,
                near: near(m),
                leaving: m.leaving,
                limit: connection_share(spec.max_connections, instances),
            }));
            state.end_pauses(now);
            state.place_again();
            state.poll(now);
        }
        drop(services);
        drop(views);
        for service in catalog.keyed_services() {
            stewardship::start(self, service);
        }
        if !self.ready.replace(true) {
            log::info!(version = catalog.version; "ready");
        }
    }

    /// Waits until the instance begins to stop.
    pub(crate) async fn stopped(&self) {
        self.stopping_token.cancelled().await;
    }

    /// Returns whether the balancer may send new connections.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.ready.get() && self.stopping.get().is_none()
    }

    /// Chooses the service of a request by the weights of its rule, so that each gets its share of
    /// any run of requests.
    pub(crate) fn pick_target(&self, rule: &Rule) -> Option<Arc<str>> {
        if let [only] = &rule.targets[..] {
            return Some(only.service.clone());
        }
        let mut shares = self.shares.borrow_mut();
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
    pub(crate) fn take_heat(&self, service: &Arc<str>) -> Option<HeatReport> {
        self.services.borrow_mut().get_mut(service)?.heat.take(service)
    }

    /// Returns how other instances reach this one.
    #[must_use]
    pub fn as_peer(&self) -> Peer {
        Peer { address: self.cfg.peer, data_center: self.cfg.data_center.clone() }
    }

    /// Stops in order: readiness falls, leases are given back, requests in flight end.
    pub async fn shut_down(self: &Rc<Self>) {
        log::info!("stopping");
        self.stopping.set(Some(boot_millis()));
        self.stopping_token.cancel();
        stewardship::resign_all(self).await;
        front::drain(self).await;
        self.stop.cancel();
        log::info!("stopped");
    }
}
