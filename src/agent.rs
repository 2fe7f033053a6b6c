//! One instance's part in one cell: carries the decisions of [`Standby`] and [`Controller`] out.

use crate::{
    cell::{CellRow, InstanceId, Owner},
    clock::{Millis, boot_millis},
    collections::HashMap,
    controller::{Action, Ask, Controller, Enforcer, WriteResult},
    error::{Cause, Error, Result},
    grant::{Grant, GrantReply},
    http,
    instance::Instance,
    membership,
    peer::CellMap,
    placement::{self, Demand},
    pool,
    registry::ServiceView,
    resource::{Fencing, Ownership, UpstreamState},
    slot::{SlotId, Term, hashed_slot},
    standby::{Standby, StandbyAction},
    wire,
};
use hyper::Request;
use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    sync::Arc,
    time::Duration,
};
use tokio::sync::{mpsc, oneshot};

const STANDBYS: usize = 2;
const CELL_PREFIX: &str = "cell/";

/// Returns the key of a cell's row.
pub(crate) fn row_key(cell: &str) -> String {
    format!("{CELL_PREFIX}{cell}")
}

/// Which state machine a result belongs to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Side {
    Controller(Term),
    Standby,
}

/// Something that concerns a cell.
#[derive(Debug)]
pub(crate) enum CellEvent {
    /// A holder answered a grant.
    Reply { term: Term, owner: Owner, reply: GrantReply },
    /// An upstream answered a probe.
    Probed { upstream: Arc<str>, reply: GrantReply },
    /// A standby promised.
    Promise { from: InstanceId, ask: Ask },
    /// A conditional write ended.
    Wrote { side: Side, result: WriteResult },
    /// The row was read, or not.
    Read { side: Side, read: Result<Option<(u64, CellRow)>> },
    /// A controller asks for a promise.
    Ask { ask: Ask, tx: oneshot::Sender<bool> },
    /// A controller hands the cell over.
    HandOver { term: Term },
    /// The instance stops: resign if in control, then answer.
    ///
    /// The answer tells whether a standby was told to take over.
    Stop { tx: oneshot::Sender<bool> },
}

/// What the controller's instance knows of an upstream.
#[derive(Debug, Clone, Copy)]
struct UpstreamView {
    boot: u64,
    heard: Millis,
    leaving: bool,
}

/// What a placement was worked out from.
#[derive(Debug, PartialEq, Eq)]
struct PlacementBasis {
    revision: u64,
    row_version: u64,
    live: Vec<Owner>,
    churn: usize,
}

pub(crate) struct Agent {
    cell: Arc<str>,
    service: Arc<str>,
    instance: Arc<Instance>,
    standby: Standby,
    controller: Option<Controller>,
    controlled_since: Millis,
    published: u64,
    upstreams: HashMap<Arc<str>, UpstreamView>,
    placed: Option<PlacementBasis>,
    next_probe: Millis,
    stopping: Option<oneshot::Sender<bool>>,
    /// Since when no live instance is responsible for the cell.
    orphaned: Option<Millis>,
    tx: mpsc::UnboundedSender<CellEvent>,
}

impl Agent {
    /// Starts the agent of a cell and returns the sender of its events.
    pub fn start(
        instance: Arc<Instance>,
        service: &ServiceView,
        cell: Arc<str>,
    ) -> mpsc::UnboundedSender<CellEvent> {
        let (tx, rx) = mpsc::unbounded_channel();
        let unchecked = service.upstreams.iter().any(|u| u.fencing == Fencing::Unchecked);
        let enforcer = if unchecked { Enforcer::Entries } else { Enforcer::Owners };
        let standby = Standby::new(instance.id, cell.clone(), instance.cfg.timing, enforcer);
        let agent = Self {
            cell,
            service: service.service.name.clone(),
            standby,
            controller: None,
            controlled_since: 0,
            published: 0,
            upstreams: HashMap::default(),
            placed: None,
            next_probe: 0,
            stopping: None,
            orphaned: None,
            tx: tx.clone(),
            instance,
        };
        tokio::spawn(agent.run(rx));
        tx
    }

    async fn run(mut self, mut rx: mpsc::UnboundedReceiver<CellEvent>) {
        let stop = self.instance.stop.clone();
        let period = Duration::from_millis(self.instance.cfg.timing.renew_ms / 5);
        let mut tick = tokio::time::interval(period.max(Duration::from_millis(5)));
        tick.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                event = rx.recv() => match event {
                    Some(event) => self.on_event(event),
                    None => return,
                },
                _ = tick.tick() => {}
                () = stop.cancelled() => return,
            }
            // Takes in what has arrived meanwhile, so that one poll answers all of it.
            while let Ok(event) = rx.try_recv() {
                self.on_event(event);
            }
            self.step();
        }
    }

    fn on_event(&mut self, event: CellEvent) {
        let now = boot_millis();
        match event {
            CellEvent::Reply { term, owner, reply } => self.on_reply(now, term, &owner, &reply),
            CellEvent::Probed { upstream, reply } => self.saw(now, upstream, &reply),
            CellEvent::Promise { from, ask } => {
                if let Some(c) = &mut self.controller {
                    c.on_promise(from, &ask);
                }
            }
            CellEvent::Wrote { side: Side::Standby, result } => {
                let controller = self.standby.on_write(result);
                self.adopt(now, controller);
            }
            CellEvent::Wrote { side: Side::Controller(term), result } => {
                if let Some(c) = self.controller_of(term) {
                    c.on_write(result);
                }
            }
            CellEvent::Read { side, read } => self.on_read(now, side, read),
            CellEvent::Ask { ask, tx } => {
                if self.controller.as_ref().is_some_and(|c| c.row().term < ask.term) {
                    self.controller = None;
                }
                let free = self.controller.is_none() && !self.instance.is_leaving();
                let _ = tx.send(free && self.standby.on_ask(now, &ask));
            }
            CellEvent::HandOver { term } => self.standby.on_hand_over(now, term),
            CellEvent::Stop { tx } => self.stopping = Some(tx),
        }
    }

    fn controller_of(&mut self, term: Term) -> Option<&mut Controller> {
        self.controller.as_mut().filter(|c| c.row().term == term)
    }

    fn on_reply(&mut self, now: Millis, term: Term, owner: &Owner, reply: &GrantReply) {
        self.saw(now, owner.upstream.clone(), reply);
        if let Some(c) = self.controller_of(term) {
            c.on_reply(now, owner, reply);
        }
    }

    fn saw(&mut self, now: Millis, upstream: Arc<str>, reply: &GrantReply) {
        let view = UpstreamView { boot: reply.boot, heard: now, leaving: reply.leaving };
        self.upstreams.insert(upstream, view);
    }

    fn on_read(&mut self, now: Millis, side: Side, read: Result<Option<(u64, CellRow)>>) {
        if let Err(e) = &read {
            log::warn!(cell = &*self.cell; "{e}");
        }
        match side {
            Side::Controller(term) => {
                if let Some(c) = self.controller_of(term) {
                    c.on_read(read.unwrap_or_default());
                }
            }
            Side::Standby => match read {
                Ok(read) => {
                    let (version, row) = read.map_or((0, None), |(v, r)| (v, Some(r)));
                    if let Some(row) = &row {
                        self.learn(version, row);
                    }
                    let controller = self.standby.on_read(now, version, row);
                    self.adopt(now, controller);
                }
                Err(_) => self.standby.on_read_failed(now),
            },
        }
    }

    fn adopt(&mut self, now: Millis, controller: Option<Controller>) {
        let Some(c) = controller else { return };
        let row = c.row();
        let (term, version) = (row.term, c.version());
        log::info!(cell = &*self.cell, term, version; "took control of the cell");
        self.instance.record.note(
            "takeover",
            serde_json::json!({
                "cell": &*self.cell, "term": term, "row_version": version,
            }),
        );
        self.controlled_since = now;
        self.upstreams.clear();
        self.placed = None;
        self.controller = Some(c);
    }

    /// Advances both state machines and carries their actions out.
    fn step(&mut self) {
        let now = boot_millis();
        let known = self.instance.maps.get(&self.cell).map_or(0, |m| m.row.term);
        let ended = |c: &Controller| c.has_ended() || c.row().term < known;
        if self.controller.as_ref().is_some_and(ended) {
            log::info!(cell = &*self.cell; "control of the cell ended");
            self.controller = None;
        }
        let standbys = self.choose_standbys(now);
        if self.controller.is_some() {
            self.control(now, standbys);
        } else {
            self.stand_by(now, standbys);
        }
        self.instance.set_control(&self.cell, self.controller.is_some());
    }

    fn choose_standbys(&self, now: Millis) -> Vec<InstanceId> {
        let me = self.instance.id;
        let within = self.instance.cfg.timing.promise_ms;
        self.instance.with_membership(|m| {
            let live = m.live(now, within, &self.instance.cfg.data_center);
            let ids = live.iter().map(|m| m.info.id).filter(|id| *id != me);
            let ranked = membership::rank(&self.cell, ids);
            let rack = |id| m.get(id).map(|m| m.info.rack.clone()).unwrap_or_default();
            membership::choose_standbys(&ranked, rack, &self.instance.cfg.rack, STANDBYS)
        })
    }

    fn control(&mut self, now: Millis, standbys: Vec<InstanceId>) {
        let entries = self.entries(now);
        self.place(now);
        let Some(c) = &mut self.controller else {
            return;
        };
        c.set_platform_up(self.instance.platform_up());
        c.want_standbys(standbys);
        c.want_entries(entries);
        let term = c.row().term;
        let actions = c.poll(now);
        for action in actions {
            self.act(term, action);
        }
        self.publish();
        self.probe(now, term);
        self.resign();
    }

    /// Entry instances that enforce grants for upstreams which check none.
    fn entries(&self, now: Millis) -> BTreeSet<Owner> {
        let within = self.instance.cfg.timing.promise_ms;
        let mut entries: BTreeSet<Owner> = self.instance.with_membership(|m| {
            let live = m.live(now, within, &self.instance.cfg.data_center);
            live.iter().map(|m| entry_holder(m.info.id)).collect()
        });
        entries.insert(entry_holder(self.instance.id));
        entries
    }

    /// Works out which owner each slot of the cell should have, if anything relevant changed.
    fn place(&mut self, now: Millis) {
        let snapshot = self.instance.registry.current();
        let service = snapshot.service(&self.service);
        let ownership = service.and_then(|s| s.ownership.as_ref());
        let (Some(service), Some(ownership)) = (service, ownership) else { return };
        let Some(c) = &mut self.controller else {
            return;
        };
        let dc = &self.instance.cfg.data_center;
        let silent_after = self.instance.cfg.timing.silent_after();
        let grace = now < self.controlled_since + silent_after;
        let mut live = Vec::new();
        for u in service.upstreams_in(dc) {
            if u.state == UpstreamState::Draining || self.instance.is_listed_leaving(&u.name) {
                continue;
            }
            match self.upstreams.get(&u.name) {
                Some(v) if now < v.heard + silent_after && !v.leaving => {
                    live.push(Owner { upstream: u.name.clone(), boot: v.boot });
                }
                // All get time to answer a new controller before anything is placed.
                None if grace => return,
                _ => {}
            }
        }
        let churn = if grace { 0 } else { ownership.churn as usize };
        let basis =
            PlacementBasis { revision: snapshot.revision, row_version: c.version(), live, churn };
        if self.placed.as_ref() == Some(&basis) {
            return;
        }
        let demand = Demand {
            slots: &ownership.slots_in(dc),
            live: &basis.live,
            pinned: &pinned(ownership),
            churn,
        };
        c.want(placement::place(c.row(), &demand));
        let pins = ownership.pinned_keys();
        let affected = affected_slots(ownership, &c.row().pins, &pins);
        c.want_pins(pins, affected);
        self.placed = Some(basis);
    }

    fn act(&self, term: Term, action: Action) {
        match action {
            Action::Grant { to, grant } => self.send_grant(term, to, grant),
            Action::Ask { to, ask } => self.send_ask(to, ask),
            Action::Write { expected, row } => {
                self.write(Side::Controller(term), expected, row);
            }
            Action::Read => self.read(Side::Controller(term)),
            Action::HandOver { to, term } => self.send_hand_over(to, term),
        }
    }

    fn stand_by(&mut self, now: Millis, standbys: Vec<InstanceId>) {
        if let Some(tx) = self.stopping.take() {
            let _ = tx.send(false);
        }
        if self.instance.is_leaving() {
            return;
        }
        self.standby.want_standbys(standbys);
        if self.is_orphaned(now) && !self.standby.is_taking_over() {
            let lost = self.instance.maps.get(&self.cell).map_or(0, |m| m.row.term);
            log::info!(cell = &*self.cell, lost; "takes over as an outsider");
            self.standby.start_as_outsider(lost);
            self.orphaned = None;
        }
        match self.standby.poll(now) {
            Some(StandbyAction::Read) => self.read(Side::Standby),
            Some(StandbyAction::Write { expected, row }) => {
                self.write(Side::Standby, expected, row);
            }
            None => {}
        }
    }

    /// Returns whether nobody who may control the cell has been alive for long, and it is this
    /// instance's turn.
    fn is_orphaned(&mut self, now: Millis) -> bool {
        let t = &self.instance.cfg.timing;
        let row = self.instance.maps.get(&self.cell).map(|m| m.row);
        let within = t.promise_ms + t.silent_after();
        let (responsible, first) = self.instance.with_membership(|m| {
            let live = m.live(now, within, &self.instance.cfg.data_center);
            let alive = |id: &InstanceId| live.iter().any(|m| m.info.id == *id);
            let listed = |r: &CellRow| alive(&r.controller) || r.standbys.iter().any(alive);
            let ids = live.iter().map(|m| m.info.id).chain([self.instance.id]);
            let first = membership::rank(&self.cell, ids).first() == Some(&self.instance.id);
            (row.as_ref().is_some_and(|r| listed(r)), first)
        });
        if responsible || !self.instance.is_settled(now) {
            self.orphaned = None;
            return false;
        }
        let since = *self.orphaned.get_or_insert(now);
        let wait = if row.is_some() { t.promise_ms + t.lease_ms } else { 0 };
        first && now >= since + wait
    }

    /// Hands control over and answers the request to stop.
    fn resign(&mut self) {
        let Some(c) = &mut self.controller else {
            return;
        };
        if self.stopping.is_none() {
            return;
        }
        let now = boot_millis();
        let within = self.instance.cfg.timing.promise_ms;
        let live: Vec<InstanceId> = self.instance.with_membership(|m| {
            let live = m.live(now, within, &self.instance.cfg.data_center);
            live.iter().map(|m| m.info.id).collect()
        });
        let first = c.row().standbys.iter().find(|s| live.contains(s)).copied();
        let action = first.and_then(|to| c.resign(to));
        let handed_over = action.is_some();
        if let Some(Action::HandOver { to, term }) = action {
            self.send_hand_over(to, term);
        }
        if (handed_over || first.is_none())
            && let Some(tx) = self.stopping.take()
        {
            let _ = tx.send(handed_over);
        }
    }

    fn publish(&mut self) {
        let Some(c) = &self.controller else { return };
        if c.version() == self.published {
            return;
        }
        self.published = c.version();
        let (version, row) = (c.version(), c.row().clone());
        self.learn(version, &row);
        let map = CellMap { cell: self.cell.clone(), version, row: Arc::new(row) };
        self.instance.push_map(&map);
    }

    /// Makes a committed row known to this instance, and records what changed.
    fn learn(&self, version: u64, row: &CellRow) {
        let before = self.instance.maps.get(&self.cell);
        let map = CellMap { cell: self.cell.clone(), version, row: Arc::new(row.clone()) };
        if !self.instance.maps.offer(map) || row.controller != self.instance.id {
            return;
        }
        let old = before.map(|m| m.row);
        let same = |s: &u32, epoch| {
            old.as_ref().and_then(|o| o.slots.get(s)).is_some_and(|a| a.epoch == epoch)
        };
        let changed = row.slots.iter().filter(|(s, a)| !same(s, a.epoch));
        let moves: Vec<_> = changed.map(|(s, a)| (s, a.epoch, a.owner.to_string())).collect();
        if !moves.is_empty() {
            log::info!(cell = &*self.cell, version, slots = moves.len(); "ownership changed");
            self.instance.record.note(
                "ownership",
                serde_json::json!({
                    "cell": &*self.cell, "term": row.term, "row_version": version, "slots": moves,
                }),
            );
        }
    }

    /// Asks upstreams that hold nothing whether they are there.
    fn probe(&mut self, now: Millis, term: Term) {
        if now < self.next_probe {
            return;
        }
        self.next_probe = now + self.instance.cfg.timing.renew_ms;
        let Some(c) = &self.controller else { return };
        let owners = c.row().owners();
        let snapshot = self.instance.registry.current();
        let Some(service) = snapshot.service(&self.service) else {
            return;
        };
        let dc = &self.instance.cfg.data_center;
        for u in service.upstreams_in(dc) {
            let unchecked = u.fencing == Fencing::Unchecked;
            if !unchecked && owners.iter().any(|o| o.upstream == u.name) {
                continue;
            }
            let probe =
                Grant { cell: self.cell.clone(), boot: 0, term, version: 0, until: 0, slots: None };
            let (instance, tx) = (self.instance.clone(), self.tx.clone());
            let (upstream, addr) = (u.name.clone(), u.address);
            tokio::spawn(async move {
                let reply = if unchecked {
                    probe_unchecked(&instance, addr).await
                } else {
                    post_grant(&instance, addr, &probe).await
                };
                if let Ok(reply) = reply {
                    let _ = tx.send(CellEvent::Probed { upstream, reply });
                }
            });
        }
    }

    fn send_grant(&self, term: Term, to: Owner, grant: Grant) {
        let (instance, tx) = (self.instance.clone(), self.tx.clone());
        let entry = entry_id(&to);
        let snapshot = self.instance.registry.current();
        let addr = match entry {
            Some(id) => instance.peer_address(id),
            None => snapshot
                .service(&self.service)
                .and_then(|s| s.upstream(&to.upstream))
                .map(|u| u.address),
        };
        if entry == Some(instance.id) {
            let reply = instance.on_route_grant(&grant);
            let _ = tx.send(CellEvent::Reply { term, owner: to, reply });
            return;
        }
        let Some(addr) = addr else { return };
        tokio::spawn(async move {
            let reply = match entry {
                Some(_) => instance.send_route_grant(addr, grant).await,
                None => post_grant(&instance, addr, &grant).await,
            };
            match reply {
                Ok(reply) => {
                    let _ = tx.send(CellEvent::Reply { term, owner: to, reply });
                }
                Err(e) => log::debug!(holder = to.to_string(); "{e}"),
            }
        });
    }

    fn send_ask(&self, to: InstanceId, ask: Ask) {
        let Some(addr) = self.instance.peer_address(to) else {
            return;
        };
        let (instance, tx, cell) = (self.instance.clone(), self.tx.clone(), self.cell.clone());
        let limit = Duration::from_millis(instance.cfg.timing.promise_ms);
        tokio::spawn(async move {
            let asked = instance
                .links
                .call("ask for promise", addr, limit, |client, cx| async move {
                    client.ask(cx, cell, ask.into()).await
                })
                .await;
            if matches!(asked, Ok(true)) {
                let _ = tx.send(CellEvent::Promise { from: to, ask });
            }
        });
    }

    fn send_hand_over(&self, to: InstanceId, term: Term) {
        let Some(addr) = self.instance.peer_address(to) else {
            return;
        };
        let (instance, cell) = (self.instance.clone(), self.cell.clone());
        let limit = Duration::from_millis(instance.cfg.timing.promise_ms);
        tokio::spawn(async move {
            let sent = instance
                .links
                .call("hand over", addr, limit, |client, cx| async move {
                    client.hand_over(cx, cell, term).await
                })
                .await;
            if let Err(e) = sent {
                log::warn!("{e}");
            }
        });
    }

    fn read(&self, side: Side) {
        let (instance, tx, cell) = (self.instance.clone(), self.tx.clone(), self.cell.clone());
        tokio::spawn(async move {
            let read = instance.platform.typed_row::<CellRow>(&row_key(&cell)).await;
            instance.note_platform(read.is_ok());
            let _ = tx.send(CellEvent::Read { side, read });
        });
    }

    fn write(&self, side: Side, expected: u64, row: CellRow) {
        let (instance, tx, cell) = (self.instance.clone(), self.tx.clone(), self.cell.clone());
        tokio::spawn(async move {
            let written = instance.platform.put(&row_key(&cell), expected, &row).await;
            let result = match &written {
                Ok(version) => WriteResult::Done(*version),
                Err(e) if matches!(e.cause(), Cause::Conflict { .. }) => WriteResult::Conflict,
                Err(e) => {
                    log::warn!(cell = &*cell; "{e}");
                    WriteResult::Unknown
                }
            };
            instance.note_platform(result != WriteResult::Unknown);
            let _ = tx.send(CellEvent::Wrote { side, result });
        });
    }
}

/// Returns the slots of pinned keys that should be on a named upstream.
fn pinned(ownership: &Ownership) -> BTreeMap<SlotId, Arc<str>> {
    let slots = (ownership.slots..).zip(&ownership.pins).filter(|(_, p)| !p.key.is_empty());
    slots.filter_map(|(slot, p)| Some((slot, p.upstream.clone()?))).collect()
}

/// Returns the slots that keys leave or enter when the pins change from `old` to `new`.
fn affected_slots(ownership: &Ownership, old: &[Arc<str>], new: &[Arc<str>]) -> BTreeSet<SlotId> {
    let mut affected = BTreeSet::new();
    let none: Arc<str> = "".into();
    for n in 0..old.len().max(new.len()) {
        let (a, b) = (old.get(n).unwrap_or(&none), new.get(n).unwrap_or(&none));
        if a == b {
            continue;
        }
        affected.extend(u32::try_from(n).ok().map(|n| ownership.slots + n));
        for key in [a, b].into_iter().filter(|k| !k.is_empty()) {
            affected.insert(hashed_slot(&ownership.service, key, ownership.slots));
        }
    }
    affected
}

const ENTRY_PREFIX: &str = "entry:";

/// Returns the holder that stands for an entry instance.
fn entry_holder(id: InstanceId) -> Owner {
    Owner { upstream: format!("{ENTRY_PREFIX}{id:x}").into(), boot: id }
}

/// Returns the entry instance that a holder stands for.
fn entry_id(owner: &Owner) -> Option<InstanceId> {
    owner.upstream.starts_with(ENTRY_PREFIX).then_some(owner.boot)
}

/// Sends a grant to an upstream.
async fn post_grant(instance: &Instance, addr: SocketAddr, grant: &Grant) -> Result<GrantReply> {
    let step = "send grant";
    let body = serde_json::to_vec(grant).map_err(|e| Error::invalid(step, e.to_string()))?;
    let req = Request::post(wire::GRANT_PATH)
        .header("host", "u")
        .body(http::full(body))
        .map_err(|e| Error::invalid(step, e.to_string()))?;
    let limit = Duration::from_millis(instance.cfg.timing.promise_ms);
    let (status, _, bytes) = pool::call(&instance.control, step, addr, req, limit).await?;
    let decoded = serde_json::from_slice(&bytes).ok().filter(|_| status.is_success());
    decoded.ok_or_else(|| {
        let text = String::from_utf8_lossy(&bytes[..bytes.len().min(200)]).into_owned();
        let cause = Cause::Status { status: status.as_u16(), text };
        Error::new(step, addr.to_string(), cause)
    })
}

/// Asks an upstream that takes no grants whether it is there; any answer will do.
async fn probe_unchecked(instance: &Instance, addr: SocketAddr) -> Result<GrantReply> {
    let step = "probe upstream";
    let req = Request::get("/health")
        .header("host", "u")
        .body(http::full(""))
        .map_err(|e| Error::invalid(step, e.to_string()))?;
    let limit = Duration::from_millis(instance.cfg.timing.promise_ms);
    pool::call(&instance.control, step, addr, req, limit).await?;
    Ok(GrantReply {
        boot: 0,
        clock: 0,
        term: 0,
        version: 0,
        status: crate::grant::GrantStatus::Accepted,
        draining: Vec::new(),
        leaving: false,
    })
}
