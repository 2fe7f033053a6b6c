//! One instance's part in one cell: carries the decisions of [`Standby`] and [`Controller`] out.

use crate::{
    cell::{CellRow, InstanceId, Owner},
    cell_io::{CellEvent, CellIo, Role, entry_holder},
    clock::{Millis, boot_millis},
    collections::HashMap,
    controller::{Action, Controller, Enforcer},
    error::Result,
    grant::GrantReply,
    instance::Instance,
    membership,
    peer::VersionedCellRow,
    placement::{self, PlacementInput},
    registry::ServiceConfig,
    resource::{Fencing, Ownership, UpstreamState},
    slot::{SlotId, Term, slots_affected_by_pins},
    standby::{Standby, StandbyAction},
};
use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};
use tokio::sync::{mpsc, oneshot};

const STANDBYS: usize = 2;
/// Time in milliseconds between moves for balance.
const BALANCE_PAUSE_MS: Millis = 1_000;

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
}

/// One instance's part in one cell.
#[derive(Debug)]
pub(crate) struct CellDriver {
    io: CellIo,
    standby: Standby,
    controller: Option<Controller>,
    controlled_since: Millis,
    published: u64,
    upstreams: HashMap<Arc<str>, UpstreamView>,
    placed: Option<PlacementBasis>,
    /// Whether the last placement found nothing to move for balance.
    balanced: bool,
    /// When slots may move for balance again.
    next_balance: Millis,
    next_probe: Millis,
    stopping: Option<oneshot::Sender<bool>>,
    /// Since when no live instance is responsible for the cell.
    orphaned: Option<Millis>,
}

impl CellDriver {
    /// Starts the driver of a cell and returns the sender of its events.
    pub fn start(
        instance: Arc<Instance>,
        service: &ServiceConfig,
        cell: Arc<str>,
    ) -> mpsc::UnboundedSender<CellEvent> {
        let (tx, rx) = mpsc::unbounded_channel();
        let unchecked = service.upstreams.iter().any(|u| u.fencing == Fencing::Unchecked);
        let enforcer = if unchecked { Enforcer::EntryInstances } else { Enforcer::Owners };
        let standby = Standby::new(instance.id, cell.clone(), instance.cfg.timing, enforcer);
        let agent = Self {
            io: CellIo { instance, cell, service: service.service.name.clone(), tx: tx.clone() },
            standby,
            controller: None,
            controlled_since: 0,
            published: 0,
            upstreams: HashMap::default(),
            placed: None,
            balanced: false,
            next_balance: 0,
            next_probe: 0,
            stopping: None,
            orphaned: None,
        };
        tokio::spawn(agent.run(rx));
        tx
    }

    async fn run(mut self, mut rx: mpsc::UnboundedReceiver<CellEvent>) {
        let stop = self.io.instance.stop.clone();
        let period = Duration::from_millis(self.io.instance.cfg.timing.renew_ms / 5);
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
            CellEvent::GrantReply { term, owner, reply } => {
                self.on_reply(now, term, &owner, &reply);
            }
            CellEvent::ProbeReply { upstream, reply } => self.saw(now, upstream, &reply),
            CellEvent::Promise { from, request } => {
                if let Some(c) = &mut self.controller {
                    c.on_promise(from, &request);
                }
            }
            CellEvent::RowWritten { role: Role::Standby, result } => {
                let controller = self.standby.on_write(result);
                self.adopt(now, controller);
            }
            CellEvent::RowWritten { role: Role::Controller(term), result } => {
                if let Some(c) = self.controller_of(term) {
                    c.on_write(result);
                }
            }
            CellEvent::RowRead { role, read } => self.on_read(now, role, read),
            CellEvent::PromiseRequest { request, tx } => {
                if self.controller.as_ref().is_some_and(|c| c.row().term < request.term) {
                    self.controller = None;
                }
                let free = self.controller.is_none() && !self.io.instance.is_leaving();
                let _ = tx.send(free && self.standby.on_promise_request(now, &request));
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
            c.on_grant_reply(now, owner, reply);
        }
    }

    fn saw(&mut self, now: Millis, upstream: Arc<str>, reply: &GrantReply) {
        let view = UpstreamView { boot: reply.boot, heard: now, leaving: reply.leaving };
        self.upstreams.insert(upstream, view);
    }

    fn on_read(&mut self, now: Millis, role: Role, read: Result<Option<(u64, CellRow)>>) {
        if let Err(e) = &read {
            log::warn!(cell = &*self.io.cell; "{e}");
        }
        match role {
            Role::Controller(term) => {
                if let Some(c) = self.controller_of(term) {
                    c.on_read(read.unwrap_or_default());
                }
            }
            Role::Standby => match read {
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
        log::info!(cell = &*self.io.cell, term, version; "took control of the cell");
        self.io.instance.audit_log.append(
            "takeover",
            serde_json::json!({
                "cell": &*self.io.cell, "term": term, "row_version": version,
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
        let known = self.io.instance.cell_rows.get(&self.io.cell).map_or(0, |m| m.row.term);
        let ended = |c: &Controller| c.has_ended() || c.row().term < known;
        if self.controller.as_ref().is_some_and(ended) {
            log::info!(cell = &*self.io.cell; "control of the cell ended");
            self.controller = None;
        }
        if self.controller.is_some() {
            self.control(now);
        } else {
            self.stand_by(now);
        }
        self.io.instance.set_controls_cell(&self.io.cell, self.controller.is_some());
    }

    fn choose_standbys(&self, now: Millis) -> Vec<InstanceId> {
        let me = self.io.instance.id;
        let within = self.io.instance.member_timeout_ms();
        let silent = |id: &InstanceId| {
            self.controller.as_ref().is_some_and(|c| c.is_standby_silent(now, *id))
        };
        self.io.instance.with_membership(|m| {
            let live = m.live(now, within, &self.io.instance.cfg.data_center);
            let ids = live.iter().map(|m| m.info.id).filter(|id| *id != me && !silent(id));
            let ranked = membership::rank_instances(&self.io.cell, ids);
            let rack = |id| m.get(id).map(|m| m.info.rack.clone()).unwrap_or_default();
            membership::choose_standbys(&ranked, rack, &self.io.instance.cfg.rack, STANDBYS)
        })
    }

    fn control(&mut self, now: Millis) {
        let standbys = self.choose_standbys(now);
        let entries = self.entries(now);
        self.place(now);
        let Some(c) = &mut self.controller else {
            return;
        };
        c.set_platform_up(self.io.instance.platform_up());
        c.set_wanted_standbys(standbys);
        c.set_entry_instances(entries);
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
        let within = self.io.instance.member_timeout_ms();
        let mut entries: BTreeSet<Owner> = self.io.instance.with_membership(|m| {
            let live = m.live(now, within, &self.io.instance.cfg.data_center);
            live.iter().map(|m| entry_holder(m.info.id)).collect()
        });
        entries.insert(entry_holder(self.io.instance.id));
        entries
    }

    /// Works out which owner each slot of the cell should have, if anything relevant changed.
    fn place(&mut self, now: Millis) {
        let snapshot = self.io.instance.registry.current();
        let service = snapshot.service(&self.io.service);
        let ownership = service.and_then(|s| s.ownership.as_ref());
        let (Some(service), Some(ownership)) = (service, ownership) else { return };
        let Some(c) = &mut self.controller else {
            return;
        };
        let dc = &self.io.instance.cfg.data_center;
        let silent_after = self.io.instance.cfg.timing.silence_timeout();
        let grace = now < self.controlled_since + silent_after;
        let mut live = Vec::new();
        for u in service.upstreams_in(dc) {
            if u.state == UpstreamState::Stopped {
                c.on_upstream_stopped(&u.name);
            }
            if u.state != UpstreamState::Active || self.io.instance.is_listed_leaving(&u.name) {
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
        let churn =
            if grace || now < self.next_balance { 0 } else { ownership.moves_per_second as usize };
        let basis = PlacementBasis { revision: snapshot.revision, row_version: c.version(), live };
        if self.placed.as_ref() == Some(&basis) && (churn == 0 || self.balanced) {
            return;
        }
        let demand = PlacementInput {
            slots: &ownership.slots_homed_in(dc),
            intended: c.wanted_owners(),
            live_owners: &basis.live,
            pinned: &pinned(ownership),
            move_budget: churn,
        };
        if churn > 0 {
            self.next_balance = now + BALANCE_PAUSE_MS;
        }
        let wanted = placement::place_slots(c.row(), &demand);
        // With churn to spend and nothing to move, the same basis gives the same plan.
        self.balanced = churn > 0 && wanted == *c.wanted_owners();
        c.set_wanted_owners(wanted);
        let pins = ownership.pinned_keys();
        let (name, slots) = (&ownership.service, ownership.slots);
        let affected = slots_affected_by_pins(name, slots, &c.row().pins, &pins);
        c.set_wanted_pins(pins, affected);
        self.placed = Some(basis);
    }

    fn act(&self, term: Term, action: Action) {
        match action {
            Action::SendGrant { to, grant } => self.io.send_grant(term, to, grant),
            Action::RequestPromise { to, request } => self.io.request_promise(to, request),
            Action::WriteRow { expected, row } => {
                self.io.write_row(Role::Controller(term), expected, row);
            }
            Action::ReadRow => self.io.read_row(Role::Controller(term)),
            Action::HandOver { to, term } => self.io.send_hand_over(to, term),
        }
    }

    /// Takes over where that is due. The row then lists no standbys: who is lost together with the
    /// controller is not known yet, and a listed one that cannot promise would stop the grants.
    fn stand_by(&mut self, now: Millis) {
        if let Some(tx) = self.stopping.take() {
            let _ = tx.send(false);
        }
        if self.io.instance.is_leaving() {
            return;
        }
        if self.is_orphaned(now) && !self.standby.is_taking_over() {
            let lost = self.io.instance.cell_rows.get(&self.io.cell).map_or(0, |m| m.row.term);
            log::info!(cell = &*self.io.cell, lost; "takes over as an outsider");
            self.standby.start_unlisted_takeover(lost);
            self.orphaned = None;
        }
        match self.standby.poll(now) {
            Some(StandbyAction::ReadRow) => self.io.read_row(Role::Standby),
            Some(StandbyAction::WriteRow { expected, row }) => {
                self.io.write_row(Role::Standby, expected, row);
            }
            None => {}
        }
    }

    /// Returns whether nobody who may control the cell has been alive for long, and it is this
    /// instance's turn.
    fn is_orphaned(&mut self, now: Millis) -> bool {
        let t = &self.io.instance.cfg.timing;
        let row = self.io.instance.cell_rows.get(&self.io.cell).map(|m| m.row);
        let within = self.io.instance.member_timeout_ms();
        let (responsible, first) = self.io.instance.with_membership(|m| {
            let live = m.live(now, within, &self.io.instance.cfg.data_center);
            let alive = |id: &InstanceId| live.iter().any(|m| m.info.id == *id);
            let listed = |r: &CellRow| alive(&r.controller) || r.standbys.iter().any(alive);
            let ids = live.iter().map(|m| m.info.id).chain([self.io.instance.id]);
            let first = membership::rank_instances(&self.io.cell, ids).first()
                == Some(&self.io.instance.id);
            (row.as_ref().is_some_and(|r| listed(r)), first)
        });
        if responsible || !self.io.instance.is_membership_settled(now) {
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
        let within = self.io.instance.member_timeout_ms();
        let live: Vec<InstanceId> = self.io.instance.with_membership(|m| {
            let live = m.live(now, within, &self.io.instance.cfg.data_center);
            live.iter().map(|m| m.info.id).collect()
        });
        let first = c.row().standbys.iter().find(|s| live.contains(s)).copied();
        let action = first.and_then(|to| c.resign(to));
        let handed_over = action.is_some();
        if let Some(Action::HandOver { to, term }) = action {
            self.io.send_hand_over(to, term);
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
        let map = VersionedCellRow { cell: self.io.cell.clone(), version, row: Arc::new(row) };
        self.io.instance.push_cell_row(&map);
    }

    /// Makes a committed row known to this instance, and records what changed.
    fn learn(&self, version: u64, row: &CellRow) {
        let before = self.io.instance.cell_rows.get(&self.io.cell);
        let map =
            VersionedCellRow { cell: self.io.cell.clone(), version, row: Arc::new(row.clone()) };
        if !self.io.instance.cell_rows.insert_if_newer(map) || row.controller != self.io.instance.id
        {
            return;
        }
        let old = before.map(|m| m.row);
        let same = |s: &u32, epoch| {
            old.as_ref().and_then(|o| o.slots.get(s)).is_some_and(|a| a.epoch == epoch)
        };
        let changed = row.slots.iter().filter(|(s, a)| !same(s, a.epoch));
        let moves: Vec<_> = changed.map(|(s, a)| (s, a.epoch, a.owner.to_string())).collect();
        if !moves.is_empty() {
            log::info!(cell = &*self.io.cell, version, slots = moves.len(); "ownership changed");
            self.io.instance.audit_log.append(
                "ownership",
                serde_json::json!({
                    "cell": &*self.io.cell, "term": row.term, "row_version": version, "slots": moves,
                }),
            );
        }
    }

    /// Asks upstreams that hold nothing whether they are there.
    fn probe(&mut self, now: Millis, term: Term) {
        if now < self.next_probe {
            return;
        }
        self.next_probe = now + self.io.instance.cfg.timing.renew_ms;
        let Some(c) = &self.controller else { return };
        let owners = c.row().owners();
        let snapshot = self.io.instance.registry.current();
        let Some(service) = snapshot.service(&self.io.service) else {
            return;
        };
        let dc = &self.io.instance.cfg.data_center;
        for u in service.upstreams_in(dc) {
            if u.fencing == Fencing::Unchecked || !owners.iter().any(|o| o.upstream == u.name) {
                self.io.probe_upstream(term, u);
            }
        }
    }
}

/// Returns the slots of pinned keys that should be on a named upstream.
fn pinned(ownership: &Ownership) -> BTreeMap<SlotId, Arc<str>> {
    let slots = (ownership.slots..).zip(&ownership.pins).filter(|(_, p)| !p.key.is_empty());
    slots.filter_map(|(slot, p)| Some((slot, p.upstream.clone()?))).collect()
}
