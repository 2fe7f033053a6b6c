//! Carries out the decisions about the owners of a service's keys: takes the lease, commits owners,
//! sends grants and releases, and reports load to whoever holds the lease.

use crate::{
    adapter::{Change, ChangeOutcome, Row, RowName},
    clock::{Millis, boot_millis},
    collections::HashMap,
    coordinator::{Coordinator, GrantOrder, GrantTimes, OrderId, OrderOutcome, ReleaseOrder},
    error::{Error, Result},
    gossip::{self, Message, MovingKeys},
    keymap::{KeyMap, KeyRange, Owner},
    lease::{self, Lease, LeaseRow},
    node::Node,
    rebalance,
    routing_config::UpstreamInfo,
    shared_state::{EntryKind, EntryValue, StateEntry},
    traffic::{TrafficReport, TrafficStats},
};
use futures::future::LocalBoxFuture;
use std::{cell::Cell, net::SocketAddr, rc::Rc, sync::Arc, time::Duration};
use tokio::sync::{mpsc, oneshot};
use xxhash_rust::xxh3::xxh3_64;

const TICK: Duration = Duration::from_millis(40);
/// Time in milliseconds between reports of load, which also show whether the holder acts.
const REPORT_MS: Millis = 500;
/// Instances that report so often, by rank; the others do with more time for each instance, so
/// that the holder's load does not grow with their number.
const WATCHERS: Millis = 8;
const REPORT_PER_INSTANCE_MS: Millis = 20;
/// Share of a core for which an instance takes a lease without delay, and the delay of one with
/// half of it.
const STRONG: f64 = 0.4;
const WEAK_DELAY_MS: f64 = 400.0;
/// Time in milliseconds without word of the holder after which the lease is watched: two reports.
const SUSPECT_MS: Millis = 900;
/// Time in milliseconds between looks at the lease while it is watched.
const LOOK_MS: Millis = 300;
/// Time in milliseconds by which the instance of the next rank watches later: few do at once.
const STAGGER_MS: Millis = 100;
/// Time in milliseconds after which a call that the store has not answered counts as trouble.
const SLOW_CALL_MS: Millis = 400;
/// Time in milliseconds until a call that failed is made again.
const RETRY_MS: Millis = 120;
/// Time in milliseconds between plans.
const PLAN_MS: Millis = 250;
/// Time in milliseconds without another upstream after which keys are dealt out at first: upstreams
/// register within about a second.
const SETTLE_MS: Millis = 700;
/// Time in milliseconds for which keys that moved are not moved again for balance: rates and times
/// need about that long to show the effect.
const SETTLE_MOVED_MS: Millis = 2_500;
/// Ranges, and at least a fifth of all, that a new fence for all keys must join.
const MIN_JOINED: usize = 20;
/// Least time in milliseconds between commits: moves that end close together share one.
const COMMIT_SPACING_MS: Millis = 60;
/// How long a grant lasts while the store answers: a takeover and two renewals fit in.
const HOLD_MS: Millis = 4_500;
const RENEW_MS: Millis = 1_200;
const GRANT_RETRY_MS: Millis = 250;
/// Time at a planned stop for the lease to be given back.
const RESIGN_LIMIT: Duration = Duration::from_millis(600);

/// Group of the rows by which instances find each other.
pub(crate) const INSTANCES_GROUP: &str = "instances";

/// What a coordinator task is told.
enum Event {
    Traffic(TrafficReport),
    Granted(OrderId, OrderOutcome),
    Released(OrderId, OrderOutcome),
    Changed { sent: Millis, commit: Option<KeyMap>, changed: ChangeOutcome },
    LeaseRead { sent: Millis, row: Result<Option<Row>> },
    OwnersRead(Result<Option<Row>>),
    Resign(oneshot::Sender<()>),
}

/// The part of an instance in deciding about one service's keys.
#[derive(Debug)]
pub(crate) struct CoordinatorHandle {
    tx: mpsc::UnboundedSender<Event>,
    /// When the holder of the lease was last heard of.
    heard: Rc<Cell<Millis>>,
    acting: Rc<Cell<bool>>,
}

struct Run {
    node: Rc<Node>,
    service: Arc<str>,
    tx: mpsc::UnboundedSender<Event>,
    heard: Rc<Cell<Millis>>,
    acting: Rc<Cell<bool>>,
    lease: Lease,
    coordinator: Option<Coordinator>,
    traffic: TrafficStats,
    addresses: HashMap<Owner, SocketAddr>,
    /// When the call to the store that is under way was sent.
    busy: Option<Millis>,
    /// Owners whose commit may still be carried out.
    unsettled: Option<KeyMap>,
    read_back: bool,
    outage: bool,
    next_call: Millis,
    renewed: Millis,
    reported: Millis,
    planned: Millis,
    /// Keys that moved lately, and until when they stay.
    moved: Vec<(KeyRange, Millis)>,
    committed: Millis,
    /// Number of upstreams, and since when.
    settled: (usize, Millis),
    resigned: bool,
}

/// Starts the coordinator task of a service unless it runs.
pub(crate) fn start(node: &Rc<Node>, service: &Arc<str>) {
    let mut coordinators = node.coordinators.borrow_mut();
    if coordinators.contains_key(service) {
        return;
    }
    let (tx, rx) = mpsc::unbounded_channel();
    let now = boot_millis();
    // An instance that has just started gives a holder time to be heard of.
    let heard = Rc::new(Cell::new(now));
    let acting = Rc::new(Cell::new(false));
    let handle = CoordinatorHandle { tx: tx.clone(), heard: heard.clone(), acting: acting.clone() };
    coordinators.insert(service.clone(), handle);
    let run = Run {
        node: node.clone(),
        service: service.clone(),
        tx,
        heard,
        acting,
        lease: Lease::new(node.cfg.name.clone(), node.process),
        coordinator: None,
        traffic: TrafficStats::new(now),
        addresses: HashMap::default(),
        busy: None,
        unsettled: None,
        read_back: false,
        outage: false,
        next_call: now + rand::random_range(0..LOOK_MS),
        renewed: 0,
        reported: 0,
        planned: 0,
        moved: Vec::new(),
        committed: 0,
        settled: (0, now),
        resigned: false,
    };
    let delay = run.delay();
    let run = Run { next_call: run.next_call + delay, ..run };
    tokio::task::spawn_local(run.run(rx));
}

/// Takes in a report of load; returns whether this instance decides about the service.
pub(crate) fn on_traffic_report(node: &Node, service: &str, report: Option<TrafficReport>) -> bool {
    let coordinators = node.coordinators.borrow();
    let Some(handle) = coordinators.get(service) else {
        return false;
    };
    if let Some(report) = report {
        // The task ends only with the process.
        let _ = handle.tx.send(Event::Traffic(report));
    }
    handle.acting.get()
}

/// Takes in whether another instance decides about the service.
pub(crate) fn on_coordinator_status(node: &Node, service: &str, acting: bool) {
    if let Some(handle) = node.coordinators.borrow().get(service) {
        // One that does not act any more has given the lease back or cannot renew it.
        handle.heard.set(if acting { boot_millis() } else { 0 });
    }
}

/// Gives all leases back.
pub(crate) async fn resign_all(node: &Node) {
    let mut waits = Vec::new();
    for handle in node.coordinators.borrow().values() {
        let (tx, rx) = oneshot::channel();
        if handle.tx.send(Event::Resign(tx)).is_ok() {
            waits.push(rx);
        }
    }
    let all = futures::future::join_all(waits);
    if tokio::time::timeout(RESIGN_LIMIT, all).await.is_err() {
        log::warn!("a lease could not be given back in time");
    }
}

impl Run {
    async fn run(mut self, mut rx: mpsc::UnboundedReceiver<Event>) {
        let mut tick = tokio::time::interval(TICK);
        tick.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                event = rx.recv() => match event {
                    Some(event) => self.on_event(event),
                    None => return,
                },
                _ = tick.tick() => {}
            }
            while let Ok(event) = rx.try_recv() {
                self.on_event(event);
            }
            self.step();
        }
    }

    fn row(&self, followed: bool, key: &str) -> RowName {
        RowName { followed, group: self.service.clone(), key: key.into() }
    }

    fn lease_row(&self) -> RowName {
        self.row(false, "lease")
    }

    fn owners_row(&self) -> RowName {
        self.row(true, "owners")
    }

    fn on_event(&mut self, event: Event) {
        let now = boot_millis();
        match event {
            Event::Traffic(report) => self.traffic.add_report(&report),
            Event::Granted(id, outcome) => {
                if let Some(s) = &mut self.coordinator {
                    s.on_grant_outcome(now, id, &outcome);
                }
            }
            Event::Released(id, outcome) => {
                if let Some(s) = &mut self.coordinator {
                    s.on_release_outcome(now, id, &outcome);
                }
            }
            Event::Changed { sent, commit, changed } => {
                self.on_changed(now, sent, commit, &changed);
            }
            Event::LeaseRead { sent, row: Ok(row) } => {
                self.on_lease_read(now, sent, row.as_ref());
            }
            Event::OwnersRead(Ok(row)) => self.on_owners_read(now, row.as_ref()),
            Event::LeaseRead { row: Err(e), .. } | Event::OwnersRead(Err(e)) => {
                self.on_read_failed(now, &e);
            }
            Event::Resign(done) => self.resign(done),
        }
    }

    fn step(&mut self) {
        let now = boot_millis();
        // The interval is never shorter, and to work it out takes a look at all instances.
        if now >= self.reported + REPORT_MS && now >= self.reported + self.report_interval() {
            self.reported = now;
            self.report();
        }
        if self.resigned {
            return;
        }
        if self.busy.is_some_and(|sent| now >= sent + SLOW_CALL_MS) {
            self.on_outage();
        }
        if self.busy.is_none() && now >= self.next_call {
            self.call_store(now);
        }
        let acting = self.lease.is_valid(now) && self.coordinator.is_some();
        if self.acting.replace(acting) != acting {
            let service = &*self.service;
            log::info!(service, acting, outage = self.outage; "authority over keys changed");
        }
        if acting {
            self.heard.set(now);
            self.act(now);
        }
    }

    /// Sends this instance's counts to whoever decides.
    fn report(&mut self) {
        let report = self.node.take_traffic_report(&self.service);
        if self.acting.get() {
            if let Some(report) = report {
                self.traffic.add_report(&report);
            }
            return;
        }
        let coordinator = self.node.shared_state.borrow().coordinator(&self.service).cloned();
        if let Some(name) = coordinator.filter(|n| *n != self.node.cfg.name) {
            let service = self.service.clone();
            gossip::send(&self.node, &name, Message::Traffic { service, report });
        }
    }

    fn on_outage(&mut self) {
        if !self.outage {
            self.outage = true;
            if let Some(s) = &mut self.coordinator {
                // Longer grants go out while this instance may still act.
                s.renew_all();
                log::warn!(service = &*self.service; "the store does not answer, grants last longer");
            }
        }
    }

    /// Makes the call to the store that is due, if any.
    fn call_store(&mut self, now: Millis) {
        if self.lease.held_revision().is_some() {
            if self.read_back {
                self.read(now, self.lease_row());
            } else if self.coordinator.is_none() {
                self.read(now, self.owners_row());
            } else if let Some(map) = self.unsettled.clone() {
                self.change(now, Some(map));
            } else if now >= self.committed + COMMIT_SPACING_MS
                && let Some(map) = self.coordinator.as_mut().and_then(|s| s.next_commit(now))
            {
                self.committed = now;
                self.change(now, Some(map));
            } else if now >= self.renewed + lease::RENEW_INTERVAL_MS {
                self.change(now, None);
            }
            return;
        }
        if self.is_vacant() || self.is_overdue(now) {
            self.next_call = now + LOOK_MS;
            self.read(now, self.lease_row());
        }
    }

    /// Returns whether the holder has not been heard of for longer than this instance waits.
    fn is_overdue(&self, now: Millis) -> bool {
        let silent = now.saturating_sub(self.heard.get());
        let extra = || {
            let longer = self.report_interval() - REPORT_MS;
            longer + self.rank() * STAGGER_MS + self.delay()
        };
        silent >= SUSPECT_MS && silent >= SUSPECT_MS + extra()
    }

    fn report_interval(&self) -> Millis {
        if self.acting.get() || self.rank() < WATCHERS {
            return REPORT_MS;
        }
        let instances = self.node.shared_state.borrow().instances().count() as Millis;
        REPORT_MS.max(instances * REPORT_PER_INSTANCE_MS)
    }

    /// Returns the time by which this instance waits longer than a strong one, in milliseconds.
    fn delay(&self) -> Millis {
        let ratio = (STRONG / self.node.cfg.cpu_share.max(0.01) - 1.0).clamp(0.0, 8.0);
        #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "positive")]
        let ms = (ratio * WEAK_DELAY_MS) as Millis;
        ms
    }

    /// Returns whether nobody is known to decide, or an earlier process of this instance did.
    fn is_vacant(&self) -> bool {
        let shared_state = self.node.shared_state.borrow();
        shared_state.coordinator(&self.service).is_none_or(|name| *name == self.node.cfg.name)
    }

    /// Returns the position of this instance in an order that mixes the data centres and differs
    /// between services.
    fn rank(&self) -> Millis {
        let place = |name: &str| xxh3_64(format!("{name}/{}", self.service).as_bytes());
        let own = place(&self.node.cfg.name);
        let shared_state = self.node.shared_state.borrow();
        shared_state.instances().filter(|(name, _)| place(name) < own).count() as Millis
    }

    fn read(&mut self, now: Millis, name: RowName) {
        self.busy = Some(now);
        let is_lease = !name.followed;
        let call = (self.node.adapter.table.read)(name);
        let tx = self.tx.clone();
        tokio::task::spawn_local(async move {
            let row = call.await;
            let event =
                if is_lease { Event::LeaseRead { sent: now, row } } else { Event::OwnersRead(row) };
            let _ = tx.send(event);
        });
    }

    /// Renews or takes the lease, and commits owners with it.
    fn change(&mut self, now: Millis, commit: Option<KeyMap>) {
        let held = self.lease.held_revision().unwrap_or(0);
        self.change_from(now, held, commit);
    }

    fn change_from(&mut self, now: Millis, lease_revision: u64, commit: Option<KeyMap>) {
        let row = self.lease.next_row();
        let mut change = Change::default();
        change.expect.push((self.lease_row(), lease_revision));
        change.put.push((self.lease_row(), encode_row(&row)));
        if self.lease.held_revision().is_none() {
            let name = self.node.cfg.name.as_bytes().to_vec();
            change.put.push((self.row(true, "steward"), name));
        }
        if let Some(map) = &commit {
            let revision = self.coordinator.as_ref().map_or(0, Coordinator::revision);
            change.expect.push((self.owners_row(), revision));
            change.put.push((self.owners_row(), encode_row(map)));
        }
        self.busy = Some(now);
        self.renewed = now;
        let call = (self.node.adapter.table.change)(change);
        let tx = self.tx.clone();
        tokio::task::spawn_local(async move {
            let changed = call.await;
            let _ = tx.send(Event::Changed { sent: now, commit, changed });
        });
    }

    fn on_changed(
        &mut self,
        now: Millis,
        sent: Millis,
        commit: Option<KeyMap>,
        changed: &ChangeOutcome,
    ) {
        self.busy = None;
        match changed {
            ChangeOutcome::Done(revision) => {
                let taken = self.lease.held_revision().is_none();
                self.lease.on_written(sent, *revision);
                self.outage = now >= sent + SLOW_CALL_MS;
                if taken {
                    log::info!(service = &*self.service, revision; "took the lease");
                    self.note_steward(*revision);
                }
                if let Some(map) = commit {
                    self.on_committed(map, *revision);
                }
            }
            ChangeOutcome::Conflict => {
                self.unsettled = commit;
                self.read_back = self.lease.held_revision().is_some();
            }
            ChangeOutcome::NotDone => {
                if self.unsettled.is_none()
                    && let Some(s) = &mut self.coordinator
                {
                    s.on_commit_failed();
                }
                self.on_outage();
                self.next_call = now + RETRY_MS;
            }
            ChangeOutcome::Unknown => {
                if commit.is_some() {
                    self.unsettled = commit;
                }
                self.read_back = self.lease.held_revision().is_some();
                self.on_outage();
                self.next_call = now + RETRY_MS;
            }
        }
    }

    fn note_steward(&self, revision: u64) {
        let value = Some(EntryValue::Coordinator(self.node.cfg.name.clone()));
        let key = self.service.clone();
        let entry = StateEntry { kind: EntryKind::Coordinator, key, revision, value };
        gossip::broadcast(&self.node, &Message::Push { entries: vec![entry.clone()] });
        self.node.update_shared_state(|shared_state, now| shared_state.merge(now, [entry]));
    }

    fn on_committed(&mut self, map: KeyMap, revision: u64) {
        self.unsettled = None;
        let Some(s) = &mut self.coordinator else {
            return;
        };
        s.on_committed(map.clone(), revision);
        log::info!(
            service = &*self.service, revision, spans = map.spans.len(), moving = s.moves().count();
            "owners committed"
        );
        let value = Some(EntryValue::Owners(Arc::new(map)));
        let entry =
            StateEntry { kind: EntryKind::Owners, key: self.service.clone(), revision, value };
        gossip::broadcast(&self.node, &Message::Push { entries: vec![entry.clone()] });
        self.node.update_shared_state(|shared_state, now| shared_state.merge(now, [entry]));
    }

    fn on_read_failed(&mut self, now: Millis, e: &Error) {
        log::debug!(service = &*self.service; "{e}");
        self.busy = None;
        self.next_call = now + RETRY_MS;
    }

    fn on_lease_read(&mut self, now: Millis, sent: Millis, row: Option<&Row>) {
        self.busy = None;
        // A row that cannot be read is watched like one of a holder that never renews it.
        let unreadable = LeaseRow { holder: Some("".into()), process: 0, number: 0 };
        let parsed = row.map(|r| (decode_row(&r.value).unwrap_or(unreadable), r.revision));
        let held = self.lease.held_revision().is_some();
        let take = self.lease.on_read(sent, parsed.as_ref().map(|(r, n)| (r, *n)));
        if held && self.lease.held_revision().is_none() {
            log::warn!(service = &*self.service; "lost the lease");
            self.coordinator = None;
            self.unsettled = None;
            self.read_back = false;
            self.heard.set(now);
        }
        if self.lease.held_revision().is_some() {
            // The lease is this instance's; see whether the owners were committed.
            self.read_back = false;
            if self.unsettled.is_some() {
                self.read(now, self.owners_row());
            }
        } else if let Some(revision) = take {
            self.change_from(now, revision, None);
        }
    }

    fn on_owners_read(&mut self, now: Millis, row: Option<&Row>) {
        self.busy = None;
        let revision = row.map_or(0, |r| r.revision);
        let map = row.and_then(|r| decode_row::<KeyMap>(&r.value));
        if row.is_some() && map.is_none() {
            log::error!(service = &*self.service, revision; "the row of owners cannot be read");
        }
        let times = times(&self.node);
        let begin = |map: Option<KeyMap>| match map {
            None if revision > 0 => Coordinator::with_unreadable_owners(now, times, revision),
            map => Coordinator::new(now, times, map.unwrap_or_default(), revision),
        };
        match &self.coordinator {
            None => {
                let spans = map.as_ref().map_or(0, |m| m.spans.len());
                log::info!(service = &*self.service, revision, spans; "owners read");
                self.coordinator = Some(begin(map));
            }
            Some(s) if s.revision() == revision => {}
            Some(_) => match (self.unsettled.take(), map) {
                (Some(own), Some(map)) if own == map => self.on_committed(map, revision),
                (_, map) => {
                    log::warn!(service = &*self.service, revision; "owners changed by another");
                    self.coordinator = Some(begin(map));
                }
            },
        }
    }

    /// Sends what is due and plans changes.
    fn act(&mut self, now: Millis) {
        let upstreams = self.upstreams();
        for m in &upstreams {
            let owner = Owner { id: m.id.clone(), started: m.started };
            self.addresses.insert(owner, m.address);
        }
        if upstreams.len() != self.settled.0 {
            self.settled = (upstreams.len(), now);
        }
        let Some(s) = &mut self.coordinator else {
            return;
        };
        // Keys are dealt out once, so that those that come a little later get their share too.
        let settling = s.owners().spans.is_empty() && now < self.settled.1 + SETTLE_MS;
        s.on_owners_recovered(|o| {
            upstreams.iter().any(|m| m.is_incarnation(&o.id, o.started) && !m.leaving)
        });
        s.on_owners_ended(|o| upstreams.iter().any(|m| m.id == o.id && m.started > o.started));
        let mut began = Vec::new();
        if now >= self.planned + PLAN_MS && self.unsettled.is_none() && !settling {
            self.planned = now;
            self.traffic.decay(now);
            if s.mergeable_count() >= MIN_JOINED.max(s.owners().spans.len() / 5)
                && s.moving_ranges().is_empty()
            {
                s.refence_all();
            }
            self.moved.retain(|(_, until)| *until > now);
            let settling: Vec<KeyRange> = self.moved.iter().map(|(range, _)| *range).collect();
            let (planned, moving) = (s.planned_owners(), s.moving_ranges());
            for change in rebalance::plan(&planned, &moving, &settling, &upstreams, &self.traffic) {
                let (range, to) = (change.range, &change.to);
                log::info!(
                    service = &*self.service, from = range.from, to = range.to, owner = &*to.id,
                    rate = self.traffic.rate(&range);
                    "keys are to move"
                );
                s.reassign(now, &change);
                self.moved.push((range, now + SETTLE_MOVED_MS));
                began.push(range);
            }
        }
        if !began.is_empty() {
            let (service, revision) = (self.service.clone(), s.revision());
            let moving = MovingKeys { service, revision, ranges: began };
            self.node.pause_keys(&moving);
            gossip::broadcast(&self.node, &Message::Moving(moving));
        }
        let Some(s) = &mut self.coordinator else {
            return;
        };
        let grants = s.due_grants(now, self.outage);
        let releases = s.due_releases(now);
        for order in grants {
            self.send_grant(order);
        }
        for order in releases {
            self.send_release(order);
        }
    }

    fn send_grant(&self, order: GrantOrder) {
        let id = order.id;
        let address = self.addresses.get(&order.owner).copied();
        let call = address.map(|a| (self.node.adapter.orders.grant)(a, order));
        self.send(call, move |outcome| Event::Granted(id, outcome));
    }

    fn send_release(&self, order: ReleaseOrder) {
        let id = order.id;
        let address = self.addresses.get(&order.owner).copied();
        let call = address.map(|a| (self.node.adapter.orders.release)(a, order));
        self.send(call, move |outcome| Event::Released(id, outcome));
    }

    /// Makes a call to an upstream; without one, its address is not known and nothing is sent.
    fn send(
        &self,
        call: Option<LocalBoxFuture<'static, OrderOutcome>>,
        event: impl FnOnce(OrderOutcome) -> Event + 'static,
    ) {
        let tx = self.tx.clone();
        tokio::task::spawn_local(async move {
            let outcome = match call {
                Some(call) => call.await,
                None => OrderOutcome::NotSent,
            };
            // The receiver ends only with the process.
            let _ = tx.send(event(outcome));
        });
    }

    fn upstreams(&self) -> Vec<Arc<UpstreamInfo>> {
        let services = self.node.services.borrow();
        services
            .get(&self.service)
            .map_or_else(Vec::new, |s| s.upstreams.values().cloned().collect())
    }

    /// Gives the lease back, so that another instance can take it at once.
    fn resign(&mut self, done: oneshot::Sender<()>) {
        self.resigned = true;
        self.acting.set(false);
        let Some(held) = self.lease.held_revision() else {
            let _ = done.send(());
            return;
        };
        let row = self.lease.resignation_row();
        let expect = vec![(self.lease_row(), held)];
        let put = vec![(self.lease_row(), encode_row(&row))];
        let call = (self.node.adapter.table.change)(Change { expect, put });
        self.lease.on_lost();
        self.coordinator = None;
        tokio::task::spawn_local(async move {
            let changed = call.await;
            log::info!(given_back = changed != ChangeOutcome::Unknown; "gave the lease back");
            let _ = done.send(());
        });
    }
}

fn times(node: &Node) -> GrantTimes {
    GrantTimes {
        hold: HOLD_MS.min(node.cfg.max_hold_ms),
        outage_hold: node.cfg.max_hold_ms,
        renew_interval: RENEW_MS,
        retry_delay: GRANT_RETRY_MS,
    }
}

/// Encodes a row's value.
pub(crate) fn encode_row(value: &impl serde::Serialize) -> Vec<u8> {
    let mut bytes = Vec::new();
    if let Err(e) = ciborium::into_writer(value, &mut bytes) {
        log::error!("encode row: {e}");
    }
    bytes
}

/// Decodes a row's value, `None` if it is not of this type.
pub(crate) fn decode_row<T: serde::de::DeserializeOwned>(bytes: &[u8]) -> Option<T> {
    ciborium::from_reader(bytes).ok()
}

/// Decodes a followed row of the shared table into an entry.
#[must_use]
pub fn decode_followed_row(group: &Arc<str>, row: &Row) -> Option<StateEntry> {
    if **group == *INSTANCES_GROUP {
        let (key, revision) = (row.key.clone(), row.revision);
        let value = decode_row(&row.value).map(EntryValue::Instance);
        return Some(StateEntry { kind: EntryKind::Instance, key, revision, value });
    }
    let (kind, value) = match &*row.key {
        "owners" => {
            (EntryKind::Owners, decode_row(&row.value).map(|m| EntryValue::Owners(Arc::new(m))))
        }
        "steward" => {
            let name = String::from_utf8(row.value.clone()).ok();
            (EntryKind::Coordinator, name.map(|n| EntryValue::Coordinator(n.into())))
        }
        _ => return None,
    };
    Some(StateEntry { kind, key: group.clone(), revision: row.revision, value })
}
