//! The task of `mulberryspur-platform` that carries out the decisions of a service's
//! [`Coordinator`]. Its counterpart in `mulberryd` is `cell_driver`.
//!
//! Each instance runs one task per keyed service. It takes the lease if the service has no other
//! coordinator or that one has gone silent. While its lease is valid, it commits owners and sends
//! grants and releases; otherwise it reports traffic to the coordinator.

mod dealing;
mod giving_back;
mod planning;
mod store_calls;

pub(crate) use dealing::{ask_for_credits, deals_credits, on_credit_answer, on_credit_request};

use crate::{
    adapter::{ChangeOutcome, Row, RowName},
    clock::{Millis, boot_millis},
    collections::HashMap,
    coordinator::{Coordinator, GrantOrder, GrantTimes, OrderId, OrderOutcome, ReleaseOrder},
    credits::CreditDealer,
    error::Result,
    gossip::{self, Message},
    keymap::{KeyMap, KeyRange, Owner},
    lease::{self, Lease},
    lease_handover::LeaseHandover,
    node::Node,
    overload::OverloadMonitor,
    resignation::Resignation,
    revision,
    routing_config::UpstreamInfo,
    shared_state::{EntryKind, EntryValue, StateEntry},
    succession::{Candidate, Place, REPORT_INTERVAL_MS, SILENCE_LIMIT_MS},
    sweep::UpstreamMemory,
    traffic::{TrafficReport, TrafficStats},
};
use futures::future::LocalBoxFuture;
use std::{
    cell::{Cell, RefCell},
    net::SocketAddr,
    rc::Rc,
    sync::Arc,
    time::{Duration, Instant},
};
use tokio::sync::{mpsc, oneshot};
use tokio_util::sync::CancellationToken;

/// Time between two polls of a task.
const POLL_INTERVAL: Duration = Duration::from_millis(40);
/// Number of CPU cores with which an instance that starts takes a lease without extra delay: it does
/// not know the others yet.
const AMPLE_CPU_CORES: f64 = 0.4;
/// Extra delay in milliseconds of an instance with half of [`AMPLE_CPU_CORES`]. With other numbers
/// of cores, it is multiplied by `AMPLE_CPU_CORES / cores - 1`, at most by 8.
const LOW_CPU_DELAY_MS: f64 = 400.0;
/// Time after a poll until an event causes another one, as a multiple of the time that the poll took.
/// With hundreds of ranges, a poll takes long, and each of hundreds of answers a second would cause
/// one.
const POLL_PAUSE_FACTOR: u32 = 4;
/// Time in milliseconds after which a call that the store has not answered counts as an outage.
const SLOW_CALL_MS: Millis = 400;
/// Time in milliseconds between log lines on grants that got no answer.
const GRANT_LOG_INTERVAL_MS: Millis = 1_000;
/// Number of grants without an answer in [`GRANT_LOG_INTERVAL_MS`] from which a coordinator is taken
/// to fall behind, if fewer were answered.
const MIN_BEHIND: usize = 50;
/// Time in milliseconds between log lines on the upstreams that a sweep waits for.
const SWEEP_LOG_INTERVAL_MS: Millis = 1_000;
/// Maximum number of upstreams that are named in such a line.
const MAX_LOGGED_UPSTREAMS: usize = 8;
/// Time in milliseconds between two notes of the listed upstreams.
const REMEMBER_INTERVAL_MS: Millis = 500;
/// Time in milliseconds between two runs of [`rebalance::plan`].
const PLAN_INTERVAL_MS: Millis = 250;
/// Time in milliseconds for which the number of upstreams must be stable before the first owners
/// are assigned: upstreams register within about a second.
const INITIAL_SETTLE_MS: Millis = 700;
/// Time in milliseconds for which moved keys are not moved again for balance: request rates and
/// response times take about that long to show the effect.
const MOVE_SETTLE_MS: Millis = 2_500;
/// All keys get one new fence once at least this many neighbouring spans with the same owner differ
/// in their fence, so that they merge; they must also be at least a fifth of all spans, unless there
/// are more spans than [`GrantBudget::spans`].
const MIN_MERGEABLE: usize = 20;
/// How long a grant lasts in milliseconds while the store answers: a takeover and two renewals fit
/// in.
const GRANT_HOLD_MS: Millis = 4_500;
/// Time in milliseconds between renewals of a grant.
const GRANT_RENEW_INTERVAL_MS: Millis = 1_200;
/// Time in milliseconds until a failed grant is sent again.
const GRANT_RETRY_DELAY_MS: Millis = 250;
/// Time for giving all leases back at a planned stop.
const RESIGN_TIMEOUT: Duration = Duration::from_millis(600);

/// Group of the rows in which instances publish their addresses.
pub const INSTANCES_GROUP: &str = "instances";

/// Input of a coordinator task.
enum Event {
    Traffic(TrafficReport),
    GrantEnded(OrderId, Arc<str>, OrderOutcome),
    ReleaseEnded(OrderId, OrderOutcome),
    /// A write of the lease's row, which was sent at `sent`, has ended; `commit` holds the owners
    /// that it was to commit too.
    LeaseWriteEnded {
        sent: Millis,
        commit: Option<KeyMap>,
        outcome: ChangeOutcome,
    },
    LeaseRead {
        sent: Millis,
        row: Result<Row>,
    },
    OwnersRead(Result<Row>),
    /// The write that gives the lease back has ended.
    LeaseGivenBack(ChangeOutcome),
    /// An instance of this name offers to take the lease over.
    LeaseOffered(Arc<str>),
    /// Give the lease back, and signal the end of that.
    Resign(oneshot::Sender<()>),
}

/// Handle to the coordinator task of one service.
#[derive(Debug)]
pub(crate) struct CoordinatorHandle {
    tx: mpsc::UnboundedSender<Event>,
    /// When the service's coordinator was last heard from, or, once it has said that it does not act
    /// as the coordinator, at most [`SILENCE_LIMIT_MS`] before that.
    last_heard: Rc<Cell<Millis>>,
    /// Whether this instance acts as the coordinator: its lease is valid, and it has read the
    /// owners.
    acting: Rc<Cell<bool>>,
    /// Whether its last renewal of the lease failed.
    renewal_failed: Rc<Cell<bool>>,
    /// Deals credits for requests to cold owners while this instance acts.
    dealer: RefCell<CreditDealer>,
}

/// How many grants have been answered.
#[derive(Debug, Default)]
struct GrantCounts {
    answered: usize,
    unanswered: usize,
    /// Whether most grants got no answer when they were last logged.
    is_behind: bool,
    /// When they were last logged and reset.
    logged_at: Millis,
}

impl GrantCounts {
    fn add(&mut self, outcome: &OrderOutcome) {
        match outcome {
            OrderOutcome::NotSent | OrderOutcome::Unknown => self.unanswered += 1,
            _ => self.answered += 1,
        }
    }

    /// Logs them, if some grants got no answer.
    fn log(&mut self, now: Millis, service: &str) {
        if now < self.logged_at + GRANT_LOG_INTERVAL_MS {
            return;
        }
        let is_behind = self.unanswered >= MIN_BEHIND && self.unanswered > self.answered;
        if self.unanswered > 0 {
            let (answered, unanswered) = (self.answered, self.unanswered);
            log::warn!(service, answered, unanswered; "grants got no response");
        }
        *self = Self { logged_at: now, is_behind, ..Self::default() };
    }
}

/// State of the coordinator task of one service.
struct CoordinatorTask {
    /// The instance that runs the task.
    node: Rc<Node>,
    service: Arc<str>,
    tx: mpsc::UnboundedSender<Event>,
    last_heard: Rc<Cell<Millis>>,
    acting: Rc<Cell<bool>>,
    renewal_failed: Rc<Cell<bool>>,
    lease: Lease,
    coordinator: Option<Coordinator>,
    traffic: TrafficStats,
    overload: OverloadMonitor,
    /// The owners whose shares were announced last.
    overloaded_owners: Vec<Arc<str>>,
    addresses: HashMap<Owner, SocketAddr>,
    /// Upstreams that may hold keys, in case the last owners become uncertain.
    upstream_memory: UpstreamMemory,
    /// When the listed upstreams were last noted there.
    remembered_at: Millis,
    /// Grants that have ended since [`GrantCounts`] were last logged.
    grant_counts: GrantCounts,
    /// When the progress of a sweep was last logged; `None` while there is none.
    sweep_logged_at: Option<Millis>,
    /// When the pending call to the store was sent.
    call_sent_at: Option<Millis>,
    /// Owners whose commit may have been or may still be carried out: its outcome is unknown, or it
    /// met a conflict, which an earlier attempt at the same commit may have caused. They are
    /// written again until a read of the owners' row shows that they or others were committed.
    uncertain_commit: Option<KeyMap>,
    /// Whether the lease's row must be read: the last write met a conflict, or its outcome is
    /// unknown.
    reread_lease: bool,
    /// Whether the store does not answer in time.
    outage: bool,
    /// Earliest time of the next call to the store.
    next_call_at: Millis,
    /// Reads that have failed since the last one that succeeded.
    failed_reads: u32,
    /// When the lease's row was last written, successfully or not.
    renewal_sent_at: Millis,
    reported_at: Millis,
    planned_at: Millis,
    /// Keys that moved recently, and until when they are not moved for balance.
    recently_moved: Vec<(KeyRange, Millis)>,
    /// When the last new commit was sent.
    commit_sent_at: Millis,
    /// Number of upstreams, and since when it has been the same.
    upstream_count: (usize, Millis),
    /// Generation of the store in which this instance's name was published as the coordinator's.
    published_generation: Option<u64>,
    /// Is cancelled when this instance stops to coordinate, which ends all orders in flight: nothing
    /// of them is sent later.
    orders_end: CancellationToken,
    /// [`lease::LeaseRow::grants_end_ms`] of the row that was given back by the last holder, and when it was
    /// read.
    predecessor_grants: Option<(Millis, Millis)>,
    /// When this instance began to act as the coordinator.
    acting_since: Millis,
    handover: LeaseHandover,
    /// When this instance last read the lease to offer to take it over, and whether that read is
    /// pending.
    offer: (Millis, bool),
    /// How far the lease was given back, once the instance stops; it is never held again then.
    resignation: Option<Resignation>,
    /// Is signalled once the lease was given back.
    resignation_done: Option<oneshot::Sender<()>>,
}

/// Starts the coordinator task of a service unless it is running.
pub(crate) fn start(node: &Rc<Node>, service: &Arc<str>) {
    let mut coordinators = node.coordinators.borrow_mut();
    // A task that starts during a stop would take a lease that nobody renews.
    if coordinators.contains_key(service) || node.stopping_since.get().is_some() {
        return;
    }
    let (tx, rx) = mpsc::unbounded_channel();
    let now = boot_millis();
    // Counting from the start gives a coordinator time to be heard from.
    let last_heard = Rc::new(Cell::new(now));
    let acting = Rc::new(Cell::new(false));
    let renewal_failed = Rc::new(Cell::new(false));
    let handle = CoordinatorHandle {
        tx: tx.clone(),
        last_heard: last_heard.clone(),
        acting: acting.clone(),
        renewal_failed: renewal_failed.clone(),
        dealer: RefCell::default(),
    };
    coordinators.insert(service.clone(), handle);
    let task = CoordinatorTask {
        node: node.clone(),
        service: service.clone(),
        tx,
        last_heard,
        acting,
        renewal_failed,
        lease: Lease::new(node.cfg.name.clone(), node.process),
        coordinator: None,
        traffic: TrafficStats::new(now),
        overload: OverloadMonitor::default(),
        overloaded_owners: Vec::new(),
        addresses: HashMap::default(),
        upstream_memory: UpstreamMemory::new(now, if node.cfg.first_start { 0 } else { now }),
        remembered_at: 0,
        grant_counts: GrantCounts::default(),
        sweep_logged_at: None,
        call_sent_at: None,
        uncertain_commit: None,
        reread_lease: false,
        outage: false,
        next_call_at: now + rand::random_range(0..lease::MIN_READ_INTERVAL_MS),
        failed_reads: 0,
        renewal_sent_at: 0,
        reported_at: 0,
        planned_at: 0,
        recently_moved: Vec::new(),
        commit_sent_at: 0,
        upstream_count: (0, now),
        published_generation: None,
        orders_end: CancellationToken::new(),
        predecessor_grants: None,
        acting_since: 0,
        handover: LeaseHandover::default(),
        offer: (0, false),
        resignation: None,
        resignation_done: None,
    };
    let delay = task.takeover_delay_ms();
    let task = CoordinatorTask { next_call_at: task.next_call_at + delay, ..task };
    tokio::task::spawn_local(task.run(rx));
}

/// Passes a traffic report, if there is one, to the service's task; returns whether this instance
/// acts as the coordinator. A sender without traffic only asks that.
pub(crate) fn on_traffic_report(node: &Node, service: &str, report: Option<TrafficReport>) -> bool {
    let coordinators = node.coordinators.borrow();
    let Some(handle) = coordinators.get(service) else {
        return false;
    };
    if let Some(report) = report {
        // The task ends only with the process.
        let _ = handle.tx.send(Event::Traffic(report));
    }
    // One whose renewals fail, as where the store refuses only this instance, may still act, but
    // others must watch the lease in time to take it when it ends.
    handle.acting.get() && !handle.renewal_failed.get()
}

/// Notes whether another instance acts as the service's coordinator, and whether it deals credits;
/// returns whether it is news that it does not act.
pub(crate) fn on_coordinator_status(
    node: &Node,
    service: &str,
    acting: bool,
    deals_credits: bool,
) -> bool {
    let mut has_ended = false;
    if let Some(state) = node.services.borrow_mut().get_mut(service) {
        state.dispatcher.on_dealer_status(boot_millis(), acting, deals_credits);
    }
    if let Some(handle) = node.coordinators.borrow().get(service) {
        let now = boot_millis();
        has_ended = !acting && now < handle.last_heard.get() + SILENCE_LIMIT_MS;
        // One that has stopped acting has given the lease back or cannot renew it. It counts as
        // silent, and the instances read the lease in the order of their rank.
        let silent_since = handle.last_heard.get().min(now.saturating_sub(SILENCE_LIMIT_MS));
        handle.last_heard.set(if acting { now } else { silent_since });
    }
    has_ended
}

/// Passes the offer of another instance to take the lease over to the service's task.
pub(crate) fn on_lease_offer(node: &Node, service: &str, from: &Arc<str>) {
    if let Some(handle) = node.coordinators.borrow().get(service) {
        // The task ends only with the process.
        let _ = handle.tx.send(Event::LeaseOffered(from.clone()));
    }
}

/// Gives all leases back, so that other instances can take them without waiting.
pub(crate) async fn resign_all(node: &Node) {
    let mut waits = Vec::new();
    for handle in node.coordinators.borrow().values() {
        let (tx, rx) = oneshot::channel();
        if handle.tx.send(Event::Resign(tx)).is_ok() {
            waits.push(rx);
        }
    }
    let all_resigned = futures::future::join_all(waits);
    if tokio::time::timeout(RESIGN_TIMEOUT, all_resigned).await.is_err() {
        log::warn!("a lease could not be given back in time");
    }
}

impl CoordinatorTask {
    async fn run(mut self, mut rx: mpsc::UnboundedReceiver<Event>) {
        let mut tick = tokio::time::interval(POLL_INTERVAL);
        tick.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        let mut next_poll = Instant::now();
        loop {
            let is_tick = tokio::select! {
                event = rx.recv() => match event {
                    Some(event) => {
                        self.on_event(event);
                        false
                    }
                    None => return,
                },
                _ = tick.tick() => true,
            };
            while let Ok(event) = rx.try_recv() {
                self.on_event(event);
            }
            let began = Instant::now();
            if is_tick || began >= next_poll {
                self.poll();
                next_poll = Instant::now() + began.elapsed() * POLL_PAUSE_FACTOR;
            }
        }
    }

    /// Returns the name of a row of this service; see [`RowName`] for `followed`.
    fn row_name(&self, followed: bool, key: &str) -> RowName {
        RowName { followed, group: self.service.clone(), key: key.into() }
    }

    fn lease_row_name(&self) -> RowName {
        self.row_name(false, "lease")
    }

    fn owners_row_name(&self) -> RowName {
        self.row_name(true, "owners")
    }

    fn on_event(&mut self, event: Event) {
        let now = boot_millis();
        match event {
            Event::Traffic(report) => self.add_report(&report),
            Event::GrantEnded(id, owner, outcome) => {
                self.grant_counts.add(&outcome);
                self.note_path(&owner, &outcome);
                if let Some(coordinator) = &mut self.coordinator {
                    coordinator.on_grant_outcome(now, id, &outcome);
                }
            }
            Event::ReleaseEnded(id, outcome) => {
                if let Some(coordinator) = &mut self.coordinator {
                    coordinator.on_release_outcome(now, id, &outcome);
                }
            }
            Event::LeaseWriteEnded { outcome, .. } if self.resignation.is_some() => {
                self.on_write_ended_while_resigning(now, &outcome);
            }
            Event::LeaseWriteEnded { sent, commit, outcome } => {
                self.on_lease_write_ended(now, sent, commit, &outcome);
            }
            Event::LeaseRead { row: Ok(row), .. } if self.resignation.is_some() => {
                self.on_lease_read_while_resigning(&row);
            }
            Event::LeaseRead { sent, row: Ok(row) } => {
                self.on_lease_read(now, sent, &row);
            }
            Event::OwnersRead(_) if self.resignation.is_some() => self.call_sent_at = None,
            Event::OwnersRead(Ok(row)) => self.on_owners_read(now, &row),
            Event::LeaseRead { row: Err(e), .. } | Event::OwnersRead(Err(e)) => {
                self.on_read_failed(now, &e);
            }
            Event::LeaseGivenBack(outcome) => self.on_given_back(now, &outcome),
            Event::LeaseOffered(name) => self.on_lease_offered(now, &name),
            Event::Resign(done) => self.resign(done),
        }
    }

    fn poll(&mut self) {
        let now = boot_millis();
        // The interval is never shorter than the constant, and computing it scans all instances.
        if now >= self.reported_at + REPORT_INTERVAL_MS
            && now >= self.reported_at + self.report_interval_ms()
        {
            self.reported_at = now;
            self.send_report();
        }
        self.remember_upstreams(now);
        if self.resignation.is_some() {
            self.continue_resignation(now);
            return;
        }
        if self.call_sent_at.is_some_and(|sent| now >= sent + SLOW_CALL_MS) {
            self.enter_outage();
        }
        if self.is_cut_off() {
            self.leave_to_others();
        } else if self.call_sent_at.is_none()
            && now >= self.next_call_at
            && !self.handover.is_due(now)
        {
            self.start_due_call(now);
        }
        let acting = self.lease.is_valid(now) && self.coordinator.is_some();
        if self.acting.replace(acting) != acting {
            let service = &*self.service;
            log::info!(service, acting, outage = self.outage; "authority over keys changed");
            self.acting_since = now;
            self.handover = LeaseHandover::default();
            if let Some(handle) = self.node.coordinators.borrow().get(&self.service) {
                handle.dealer.borrow_mut().reset();
            }
        }
        self.grant_counts.log(now, &self.service);
        if acting {
            self.last_heard.set(now);
            if let Some(state) = self.node.services.borrow_mut().get_mut(&self.service) {
                state.dispatcher.on_dealer_status(now, true, true);
            }
            self.coordinate(now);
            self.hand_over_if_due(now);
        }
    }

    /// Takes over what a grant shows about the path to an upstream. One without an answer shows
    /// nothing, as upstreams may leave grants unanswered.
    fn note_path(&self, owner: &Arc<str>, outcome: &OrderOutcome) {
        let mut services = self.node.services.borrow_mut();
        let Some(state) = services.get_mut(&self.service) else {
            return;
        };
        match outcome {
            OrderOutcome::NotSent if state.upstreams.contains_key(owner) => {
                state.dispatcher.on_order_not_sent(boot_millis(), owner);
            }
            OrderOutcome::NotSent | OrderOutcome::Unknown => {}
            _ => state.dispatcher.on_order_answered(boot_millis()),
        }
        state.note_cut(&self.service);
    }

    /// Returns whether this instance is cut off from the upstreams, so that it could not renew their
    /// grants.
    fn is_cut_off(&self) -> bool {
        let services = self.node.services.borrow();
        services.get(&self.service).is_some_and(|s| s.dispatcher.is_cut_off())
    }

    /// Reports this instance's traffic counts to the coordinator, or only asks it whether it acts
    /// if there are none. If this instance acts as the coordinator, it adds them to its statistics.
    fn send_report(&mut self) {
        let report = self.node.take_traffic_report(&self.service);
        if self.acting.get() {
            if let Some(report) = report {
                self.add_report(&report);
            }
            return;
        }
        let coordinator = self.node.shared_state.borrow().coordinator(&self.service).cloned();
        if let Some(name) = coordinator.filter(|n| *n != self.node.cfg.name) {
            let service = self.service.clone();
            gossip::send(&self.node, &name, &Message::Traffic { service, report });
        }
    }

    /// Notes which upstreams are listed, and in which generation of the store.
    fn remember_upstreams(&mut self, now: Millis) {
        let listed = self.node.shared_state.borrow().digest()[EntryKind::Upstream as usize];
        let generation = revision::generation(listed);
        self.lease.on_store_revision(now, listed);
        if now >= self.remembered_at + REMEMBER_INTERVAL_MS
            || generation > self.upstream_memory.generation()
        {
            self.remembered_at = now;
            let upstreams = self.upstreams();
            self.upstream_memory.on_listed(now, generation, &upstreams);
        }
    }

    fn add_report(&mut self, report: &TrafficReport) {
        self.traffic.add_report(report);
        self.overload.add_queues(&report.queues);
        for (id, started) in &report.leaving {
            self.node.on_upstream_leaving(id, *started);
        }
    }

    /// Tells all instances which share of the requests overloaded owners can serve.
    fn announce_shares(&mut self, now: Millis, upstreams: &[Arc<UpstreamInfo>]) {
        let Some(owners) = self.coordinator.as_ref().map(Coordinator::owners) else {
            return;
        };
        let Some(shares) = self.overload.update(now, owners, upstreams, &self.traffic) else {
            return;
        };
        let mut names: Vec<Arc<str>> = shares.iter().map(|(id, _)| id.clone()).collect();
        names.sort();
        if names != self.overloaded_owners {
            let lowest = shares.iter().map(|(_, share)| *share).fold(1.0, f64::min);
            log::info!(
                service = &*self.service, count = names.len(), owners = names.join(","), lowest;
                "overloaded owners changed"
            );
            self.overloaded_owners = names;
        }
        self.node.set_shares(&self.service, shares.clone());
        let message = Message::Shares { service: self.service.clone(), shares, relayed: false };
        gossip::broadcast(&self.node, &message);
    }

    /// Notes that the store does not answer; makes all grants due, which then last longer.
    fn enter_outage(&mut self) {
        if !self.outage {
            self.outage = true;
            if let Some(coordinator) = &mut self.coordinator {
                // The longer grants must be sent before the lease ends, as this instance may not
                // act after that.
                coordinator.renew_all();
                log::warn!(service = &*self.service; "the store does not answer, grants last longer");
            }
        }
    }

    /// Returns whether the coordinator has not been heard from for as long as this instance waits.
    fn is_coordinator_silent(&self, now: Millis) -> bool {
        let silent_ms = now.saturating_sub(self.last_heard.get());
        // Finding the place scans all instances.
        silent_ms >= SILENCE_LIMIT_MS && silent_ms >= self.place().silence_limit_ms()
    }

    fn report_interval_ms(&self) -> Millis {
        if self.acting.get() { REPORT_INTERVAL_MS } else { self.place().report_interval_ms() }
    }

    /// Returns by how many milliseconds this instance waits longer at its start than one with
    /// [`AMPLE_CPU_CORES`].
    fn takeover_delay_ms(&self) -> Millis {
        let ratio = (AMPLE_CPU_CORES / self.node.cfg.cpu_cores.max(0.01) - 1.0).clamp(0.0, 8.0);
        #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "positive")]
        let ms = (ratio * LOW_CPU_DELAY_MS) as Millis;
        ms
    }

    /// Returns whether the service has no known coordinator or it is this instance, possibly in an
    /// earlier process.
    fn has_no_other_coordinator(&self) -> bool {
        let shared_state = self.node.shared_state.borrow();
        shared_state.coordinator(&self.service).is_none_or(|name| *name == self.node.cfg.name)
    }

    /// Returns the place of this instance among those that may take the lease.
    fn place(&self) -> Place {
        let (name, cfg) = (&self.node.cfg.name, &self.node.cfg);
        let own = Candidate { name, data_center: &cfg.data_center, cpu_cores: cfg.cpu_cores };
        let shared_state = self.node.shared_state.borrow();
        let known = shared_state.instances().map(|(name, peer)| Candidate {
            name,
            data_center: &peer.data_center,
            cpu_cores: peer.cpu_cores,
        });
        Place::find(&self.service, own, known)
    }

    /// Plans moves, and sends the grants and releases that are due.
    fn coordinate(&mut self, now: Millis) {
        let upstreams = self.upstreams();
        for upstream in &upstreams {
            let owner = Owner { id: upstream.id.clone(), started: upstream.started };
            self.addresses.insert(owner, upstream.address);
        }
        if upstreams.len() != self.upstream_count.0 {
            self.upstream_count = (upstreams.len(), now);
        }
        let Some(coordinator) = &mut self.coordinator else {
            return;
        };
        if coordinator.is_uncertain(now) {
            self.sweep(now);
            return;
        }
        if self.sweep_logged_at.take().is_some() {
            log::info!(service = &*self.service; "owners are certain again");
        }
        // The first assignment waits until the number of upstreams is stable, so that those that
        // register a little later get a share too.
        let settling = coordinator.owners().spans.is_empty()
            && now < self.upstream_count.1 + INITIAL_SETTLE_MS;
        // Owners that seemed lost, and are listed and not leaving, keep their keys.
        coordinator.on_owners_recovered(|o| {
            upstreams.iter().any(|u| u.is_incarnation(&o.id, o.started) && !u.leaving)
        });
        // An incarnation has ended if a later one of the same upstream is listed.
        let by_id: HashMap<&str, &Arc<UpstreamInfo>> =
            upstreams.iter().map(|u| (&*u.id, u)).collect();
        let later = |o: &Owner| by_id.get(&*o.id).filter(|u| u.started > o.started);
        for span in &coordinator.owners().spans {
            if let (Some(u), None) = (later(&span.owner), self.addresses.get(&span.owner)) {
                self.addresses.insert(span.owner.clone(), u.address);
            }
        }
        let addresses = &self.addresses;
        let has_moved =
            |o: &Owner, u: &UpstreamInfo| addresses.get(o).is_some_and(|a| *a != u.address);
        coordinator.on_owners_ended(|o| later(o).is_some_and(|u| has_moved(o, u)));
        coordinator.on_owners_restarted(|o| later(o).is_some_and(|u| !has_moved(o, u)));
        if now >= self.planned_at + PLAN_INTERVAL_MS
            && self.uncertain_commit.is_none()
            && !settling
            && !self.handover.has_begun()
        {
            self.planned_at = now;
            self.start_moves(now, &upstreams);
            self.announce_shares(now, &upstreams);
        }
        let Some(coordinator) = &mut self.coordinator else {
            return;
        };
        let grants = coordinator.due_grants(now, self.outage);
        let releases = coordinator.due_releases(now);
        for order in grants {
            self.send_grant(order);
        }
        for order in releases {
            self.send_release(order);
        }
    }

    /// Asks all upstreams to release what the known owners do not give them, if all that may hold
    /// keys are known.
    fn sweep(&mut self, now: Millis) {
        let generation = self.lease.held_revision().map_or(0, revision::generation);
        if !self.node.shared_state.borrow().is_listing_settled(now) {
            return;
        }
        let Some(holders) = self.upstream_memory.possible_holders(now, generation) else {
            return;
        };
        let mut owners = Vec::new();
        for (owner, address) in holders {
            self.addresses.insert(owner.clone(), address);
            owners.push(owner.clone());
        }
        let Some(coordinator) = &mut self.coordinator else {
            return;
        };
        let orders = coordinator.due_sweep_releases(now, &owners);
        let pending: Vec<&str> = coordinator.sweep_pending().map(|id| &**id).collect();
        match self.sweep_logged_at {
            None if !orders.is_empty() => {
                self.sweep_logged_at = Some(now);
                log::info!(
                    service = &*self.service, upstreams = owners.len();
                    "upstreams are asked to release other keys than the known ones"
                );
            }
            Some(at) if now >= at + SWEEP_LOG_INTERVAL_MS => {
                self.sweep_logged_at = Some(now);
                let names = pending[..pending.len().min(MAX_LOGGED_UPSTREAMS)].join(",");
                log::warn!(
                    service = &*self.service, pending = pending.len(), names;
                    "upstreams have not released other keys than the known ones"
                );
            }
            _ => {}
        }
        for order in orders {
            self.send_release(order);
        }
    }

    fn send_grant(&self, order: GrantOrder) {
        let (id, owner) = (order.id, order.owner.id.clone());
        let address = self.addresses.get(&order.owner).copied();
        let call = address.map(|a| (self.node.adapter.orders.grant)(a, order));
        self.send_order(call, move |outcome| Event::GrantEnded(id, owner, outcome));
    }

    fn send_release(&self, order: ReleaseOrder) {
        let id = order.id;
        let address = self.addresses.get(&order.owner).copied();
        let call = address.map(|a| (self.node.adapter.orders.release)(a, order));
        self.send_order(call, move |outcome| Event::ReleaseEnded(id, outcome));
    }

    /// Runs the call of a grant or release; `None`, where the upstream's address is unknown, counts
    /// as not sent.
    fn send_order(
        &self,
        call: Option<LocalBoxFuture<'static, OrderOutcome>>,
        event: impl FnOnce(OrderOutcome) -> Event + 'static,
    ) {
        let (tx, end) = (self.tx.clone(), self.orders_end.clone());
        tokio::task::spawn_local(async move {
            let outcome = match call {
                Some(call) => match end.run_until_cancelled(call).await {
                    Some(outcome) => outcome,
                    None => return,
                },
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

    /// Gives the lease back, if this instance holds it, to one that reaches the upstreams before their
    /// grants have expired.
    fn leave_to_others(&mut self) {
        // A call that is under way could take the lease again.
        if self.call_sent_at.is_some() {
            return;
        }
        let Some(held) = self.lease.held_revision() else {
            return;
        };
        log::warn!(service = &*self.service; "cut off from the upstreams, gives the lease back");
        let grants_end_ms = self.grants_end_ms();
        self.give_back(held, grants_end_ms);
    }

    /// Forgets what only the holder of the lease needs.
    fn forget_coordination(&mut self) {
        std::mem::take(&mut self.orders_end).cancel();
        self.predecessor_grants = None;
        self.handover = LeaseHandover::default();
        self.coordinator = None;
        self.uncertain_commit = None;
        self.published_generation = None;
        self.reread_lease = false;
        // Gives the new holder time to be heard from.
        self.last_heard.set(boot_millis());
    }
}

/// Returns since when the upstreams of a service that still serve their keys are evacuated.
fn evacuated_since(node: &Node, service: &str) -> HashMap<Arc<str>, Millis> {
    let (services, shared_state) = (node.services.borrow(), node.shared_state.borrow());
    let Some(state) = services.get(service) else {
        return HashMap::default();
    };
    let since = |id: &Arc<str>| {
        let data_center = &state.upstreams.get(id)?.data_center;
        Some((id.clone(), shared_state.evacuations().since(data_center)?))
    };
    state.evacuated_owners.iter().filter_map(since).collect()
}

fn grant_times(node: &Node) -> GrantTimes {
    GrantTimes {
        hold: GRANT_HOLD_MS.min(node.cfg.max_hold_ms),
        outage_hold: node.cfg.max_hold_ms,
        renew_interval: GRANT_RENEW_INTERVAL_MS,
        retry_delay: GRANT_RETRY_DELAY_MS,
    }
}

/// Encodes a row's value as CBOR.
pub(crate) fn encode_row(value: &impl serde::Serialize) -> Vec<u8> {
    let mut bytes = Vec::new();
    if let Err(e) = ciborium::into_writer(value, &mut bytes) {
        log::error!("encode row: {e}");
    }
    bytes
}

/// Decodes a row's value; `None` if it is not of this type.
pub(crate) fn decode_row<T: serde::de::DeserializeOwned>(bytes: &[u8]) -> Option<T> {
    ciborium::from_reader(bytes).ok()
}

/// Decodes a row of the followed table into an entry of the shared state; `None` if the row is of
/// no known kind. A row of a known kind that cannot be decoded gives an entry without a value.
#[must_use]
pub fn decode_followed_row(group: &Arc<str>, row: &Row) -> Option<StateEntry> {
    let stored = row.value.as_ref()?;
    if **group == *INSTANCES_GROUP {
        let (key, revision) = (row.key.clone(), row.revision);
        let value = decode_row(stored).map(EntryValue::Instance);
        return Some(StateEntry { kind: EntryKind::Instance, key, revision, value });
    }
    let (kind, value) = match &*row.key {
        "owners" => {
            (EntryKind::Owners, decode_row(stored).map(|m| EntryValue::Owners(Arc::new(m))))
        }
        // The stored key of the row with the coordinator's name.
        "steward" => {
            let name = String::from_utf8(stored.clone()).ok();
            (EntryKind::Coordinator, name.map(|n| EntryValue::Coordinator(n.into())))
        }
        _ => return None,
    };
    Some(StateEntry { kind, key: group.clone(), revision: row.revision, value })
}
