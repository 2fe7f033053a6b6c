//! Driver of one cell, the upstreams of one service in one data centre, on one instance
//! (mulberryd): runs the cell's [`Standby`] or [`Controller`] and carries out its actions.

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

/// Standbys that each cell should have.
const STANDBY_COUNT: usize = 2;
/// Time between moves for balance, in milliseconds; must be one second, as
/// [`Ownership::moves_per_second`] is the number of moves allowed each time.
const BALANCE_INTERVAL_MS: Millis = 1_000;

/// Latest reply of an upstream to a grant or a probe.
#[derive(Debug, Clone, Copy)]
struct UpstreamReply {
    /// Identity of the process that replied.
    boot: u64,
    received_at: Millis,
    leaving: bool,
}

/// What a placement was computed from.
#[derive(Debug, PartialEq, Eq)]
struct PlacementBasis {
    config_revision: u64,
    row_version: u64,
    live: Vec<Owner>,
}

/// Event loop of one cell on one instance.
#[derive(Debug)]
pub(crate) struct CellDriver {
    io: CellIo,
    standby: Standby,
    controller: Option<Controller>,
    controlled_since: Millis,
    /// Version of the row that was last sent to the other instances.
    published_version: u64,
    upstream_replies: HashMap<Arc<str>, UpstreamReply>,
    /// What the last placement was computed from.
    last_placement: Option<PlacementBasis>,
    /// Whether the last placement found nothing to move for balance.
    balanced: bool,
    /// When slots may move for balance again.
    next_balance_at: Millis,
    next_probe_at: Millis,
    /// Set once the instance begins to stop; receives whether a standby was told to take over.
    stop_reply: Option<oneshot::Sender<bool>>,
    /// Since when neither the controller nor a standby of the cell has been live.
    orphaned_since: Option<Millis>,
}

impl CellDriver {
    /// Starts the driver of a cell and returns the sender of its events.
    pub fn start(
        instance: Arc<Instance>,
        service: &ServiceConfig,
        cell: Arc<str>,
    ) -> mpsc::UnboundedSender<CellEvent> {
        let (tx, rx) = mpsc::unbounded_channel();
        // `resource::check_all` makes sure that all upstreams of a service with an `Ownership` have
        // the same fencing.
        let unchecked = service.upstreams.iter().any(|u| u.fencing == Fencing::Unchecked);
        let enforcer = if unchecked { Enforcer::EntryInstances } else { Enforcer::Owners };
        let standby = Standby::new(instance.id, cell.clone(), instance.cfg.timing, enforcer);
        let driver = Self {
            io: CellIo { instance, cell, service: service.service.name.clone(), tx: tx.clone() },
            standby,
            controller: None,
            controlled_since: 0,
            published_version: 0,
            upstream_replies: HashMap::default(),
            last_placement: None,
            balanced: false,
            next_balance_at: 0,
            next_probe_at: 0,
            stop_reply: None,
            orphaned_since: None,
        };
        tokio::spawn(driver.run(rx));
        tx
    }

    async fn run(mut self, mut rx: mpsc::UnboundedReceiver<CellEvent>) {
        let stop = self.io.instance.stop.clone();
        // Five polls in each renewal interval, but at least 5 ms apart.
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
            // Handles what has arrived meanwhile, so that one poll covers all of it.
            while let Ok(event) = rx.try_recv() {
                self.on_event(event);
            }
            self.advance();
        }
    }

    fn on_event(&mut self, event: CellEvent) {
        let now = boot_millis();
        match event {
            CellEvent::GrantReply { term, owner, reply } => {
                self.on_grant_reply(now, term, &owner, &reply);
            }
            CellEvent::ProbeReply { upstream, reply } => self.record_reply(now, upstream, &reply),
            CellEvent::Promise { from, request } => {
                if let Some(c) = &mut self.controller {
                    c.on_promise(from, &request);
                }
            }
            CellEvent::RowWritten { role: Role::Standby, result } => {
                let controller = self.standby.on_write(result);
                self.take_control(now, controller);
            }
            CellEvent::RowWritten { role: Role::Controller(term), result } => {
                if let Some(c) = self.controller_of(term) {
                    c.on_write(result);
                }
            }
            CellEvent::RowRead { role, read } => self.on_row_read(now, role, read),
            CellEvent::PromiseRequest { request, tx } => {
                if self.controller.as_ref().is_some_and(|c| c.row().term < request.term) {
                    self.controller = None;
                }
                let may_promise = self.controller.is_none() && !self.io.instance.is_leaving();
                let _ = tx.send(may_promise && self.standby.on_promise_request(now, &request));
            }
            CellEvent::HandOver { term } => self.standby.on_hand_over(now, term),
            CellEvent::Stop { tx } => self.stop_reply = Some(tx),
        }
    }

    fn controller_of(&mut self, term: Term) -> Option<&mut Controller> {
        self.controller.as_mut().filter(|c| c.row().term == term)
    }

    fn on_grant_reply(&mut self, now: Millis, term: Term, owner: &Owner, reply: &GrantReply) {
        self.record_reply(now, owner.upstream.clone(), reply);
        if let Some(c) = self.controller_of(term) {
            c.on_grant_reply(now, owner, reply);
        }
    }

    fn record_reply(&mut self, now: Millis, upstream: Arc<str>, reply: &GrantReply) {
        let reply = UpstreamReply { boot: reply.boot, received_at: now, leaving: reply.leaving };
        self.upstream_replies.insert(upstream, reply);
    }

    fn on_row_read(&mut self, now: Millis, role: Role, read: Result<Option<(u64, CellRow)>>) {
        if let Err(e) = &read {
            log::warn!(cell = &*self.io.cell; "{e}");
        }
        match role {
            Role::Controller(term) => {
                if let Some(c) = self.controller_of(term) {
                    // A missing row counts as one that could not be read.
                    c.on_read(read.unwrap_or_default());
                }
            }
            Role::Standby => match read {
                Ok(read) => {
                    let (version, row) = read.map_or((0, None), |(v, r)| (v, Some(r)));
                    if let Some(row) = &row {
                        self.update_known_row(version, row);
                    }
                    let controller = self.standby.on_read(now, version, row);
                    self.take_control(now, controller);
                }
                Err(_) => self.standby.on_read_failed(now),
            },
        }
    }

    fn take_control(&mut self, now: Millis, controller: Option<Controller>) {
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
        self.upstream_replies.clear();
        self.last_placement = None;
        self.controller = Some(c);
    }

    /// Advances the controller or the standby and carries out its actions.
    fn advance(&mut self) {
        let now = boot_millis();
        let known_term =
            self.io.instance.cell_rows.get(&self.io.cell).map_or(0, |row| row.row.term);
        let ended = |c: &Controller| c.has_ended() || c.row().term < known_term;
        if self.controller.as_ref().is_some_and(ended) {
            log::info!(cell = &*self.io.cell; "control of the cell ended");
            self.controller = None;
        }
        if self.controller.is_some() {
            self.run_controller(now);
        } else {
            self.run_standby(now);
        }
        self.io.instance.set_controls_cell(&self.io.cell, self.controller.is_some());
    }

    fn choose_standbys(&self, now: Millis) -> Vec<InstanceId> {
        let me = self.io.instance.id;
        let member_timeout_ms = self.io.instance.member_timeout_ms();
        let silent = |id: &InstanceId| {
            self.controller.as_ref().is_some_and(|c| c.is_standby_silent(now, *id))
        };
        self.io.instance.with_membership(|membership| {
            let live = membership.live(now, member_timeout_ms, &self.io.instance.cfg.data_center);
            let ids =
                live.iter().map(|member| member.info.id).filter(|id| *id != me && !silent(id));
            let ranked = membership::rank_instances(&self.io.cell, ids);
            let rack =
                |id| membership.get(id).map(|member| member.info.rack.clone()).unwrap_or_default();
            membership::choose_standbys(&ranked, rack, &self.io.instance.cfg.rack, STANDBY_COUNT)
        })
    }

    fn run_controller(&mut self, now: Millis) {
        let standbys = self.choose_standbys(now);
        let entry_instances = self.live_entry_instances(now);
        self.update_wanted_owners(now);
        let Some(c) = &mut self.controller else {
            return;
        };
        c.set_platform_up(self.io.instance.platform_up());
        c.set_wanted_standbys(standbys);
        c.set_entry_instances(entry_instances);
        let term = c.row().term;
        let actions = c.poll(now);
        for action in actions {
            self.carry_out(term, action);
        }
        self.publish_row();
        self.probe_upstreams(now, term);
        self.hand_over_if_stopping();
    }

    /// Returns the live instances of the data centre, this one included, as holders of entry
    /// grants; the controller ignores them if the upstreams check grants.
    fn live_entry_instances(&self, now: Millis) -> BTreeSet<Owner> {
        let member_timeout_ms = self.io.instance.member_timeout_ms();
        let mut entry_instances: BTreeSet<Owner> = self.io.instance.with_membership(|membership| {
            let live = membership.live(now, member_timeout_ms, &self.io.instance.cfg.data_center);
            live.iter().map(|member| entry_holder(member.info.id)).collect()
        });
        entry_instances.insert(entry_holder(self.io.instance.id));
        entry_instances
    }

    /// Computes which owner each slot of the cell should have, if anything relevant changed.
    fn update_wanted_owners(&mut self, now: Millis) {
        let snapshot = self.io.instance.registry.current();
        let service = snapshot.service(&self.io.service);
        let ownership = service.and_then(|s| s.ownership.as_ref());
        let (Some(service), Some(ownership)) = (service, ownership) else { return };
        let Some(c) = &mut self.controller else {
            return;
        };
        let dc = &self.io.instance.cfg.data_center;
        let holder_silence_timeout_ms = self.io.instance.cfg.timing.holder_silence_timeout_ms();
        let in_grace_period = now < self.controlled_since + holder_silence_timeout_ms;
        let mut live = Vec::new();
        for u in service.upstreams_in(dc) {
            // The operator confirms that its process has ended.
            if u.state == UpstreamState::Stopped {
                c.on_upstream_stopped(&u.name);
            }
            if u.state != UpstreamState::Active || self.io.instance.is_on_leaving_list(&u.name) {
                continue;
            }
            match self.upstream_replies.get(&u.name) {
                Some(r) if now < r.received_at + holder_silence_timeout_ms && !r.leaving => {
                    live.push(Owner { upstream: u.name.clone(), boot: r.boot });
                }
                // Every upstream gets time to reply to a new controller before anything is placed.
                None if in_grace_period => return,
                _ => {}
            }
        }
        let move_budget = if in_grace_period || now < self.next_balance_at {
            0
        } else {
            ownership.moves_per_second as usize
        };
        let basis =
            PlacementBasis { config_revision: snapshot.revision, row_version: c.version(), live };
        if self.last_placement.as_ref() == Some(&basis) && (move_budget == 0 || self.balanced) {
            return;
        }
        let input = PlacementInput {
            slots: &ownership.slots_homed_in(dc),
            intended: c.wanted_owners(),
            live_owners: &basis.live,
            pinned: &pinned_slots(ownership),
            move_budget,
        };
        if move_budget > 0 {
            self.next_balance_at = now + BALANCE_INTERVAL_MS;
        }
        let wanted = placement::place_slots(c.row(), &input);
        // If moves were allowed and none was needed, the same basis gives the same result.
        self.balanced = move_budget > 0 && wanted == *c.wanted_owners();
        c.set_wanted_owners(wanted);
        let pins = ownership.pinned_keys();
        let (name, slots) = (&ownership.service, ownership.slots);
        let affected = slots_affected_by_pins(name, slots, &c.row().pins, &pins);
        c.set_wanted_pins(pins, affected);
        self.last_placement = Some(basis);
    }

    fn carry_out(&self, term: Term, action: Action) {
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

    /// Runs the standby, which takes over when that is due.
    ///
    /// The row that it then writes lists no standbys, since none are set here: which were lost
    /// together with the controller is not known yet, and a controller sends grants only while
    /// every listed standby has promised.
    fn run_standby(&mut self, now: Millis) {
        if let Some(tx) = self.stop_reply.take() {
            let _ = tx.send(false);
        }
        if self.io.instance.is_leaving() {
            return;
        }
        if self.should_take_over_unlisted(now) && !self.standby.is_taking_over() {
            let lost_term =
                self.io.instance.cell_rows.get(&self.io.cell).map_or(0, |row| row.row.term);
            log::info!(cell = &*self.io.cell, lost = lost_term; "takes over as an outsider");
            self.standby.start_unlisted_takeover(lost_term);
            self.orphaned_since = None;
        }
        match self.standby.poll(now) {
            Some(StandbyAction::ReadRow) => self.io.read_row(Role::Standby),
            Some(StandbyAction::WriteRow { expected, row }) => {
                self.io.write_row(Role::Standby, expected, row);
            }
            None => {}
        }
    }

    /// Returns whether this instance ranks first to take over, and neither the controller nor a
    /// standby has been live for as long as a promise and a grant last together.
    ///
    /// If no row of the cell is known, there is no wait.
    fn should_take_over_unlisted(&mut self, now: Millis) -> bool {
        let t = &self.io.instance.cfg.timing;
        let row = self.io.instance.cell_rows.get(&self.io.cell).map(|row| row.row);
        let member_timeout_ms = self.io.instance.member_timeout_ms();
        let (has_live_candidate, ranked_first) = self.io.instance.with_membership(|membership| {
            let live = membership.live(now, member_timeout_ms, &self.io.instance.cfg.data_center);
            let is_live = |id: &InstanceId| live.iter().any(|member| member.info.id == *id);
            let any_live = |r: &CellRow| is_live(&r.controller) || r.standbys.iter().any(is_live);
            let ids = live.iter().map(|member| member.info.id).chain([self.io.instance.id]);
            let ranked_first = membership::rank_instances(&self.io.cell, ids).first()
                == Some(&self.io.instance.id);
            (row.as_ref().is_some_and(|r| any_live(r)), ranked_first)
        });
        if has_live_candidate || !self.io.instance.is_membership_settled(now) {
            self.orphaned_since = None;
            return false;
        }
        let since = *self.orphaned_since.get_or_insert(now);
        let wait = if row.is_some() { t.promise_ms + t.lease_ms } else { 0 };
        ranked_first && now >= since + wait
    }

    /// Hands control over to a live standby if the instance stops, and reports whether it did.
    fn hand_over_if_stopping(&mut self) {
        let Some(c) = &mut self.controller else {
            return;
        };
        if self.stop_reply.is_none() {
            return;
        }
        let now = boot_millis();
        let member_timeout_ms = self.io.instance.member_timeout_ms();
        let live: Vec<InstanceId> = self.io.instance.with_membership(|membership| {
            let live = membership.live(now, member_timeout_ms, &self.io.instance.cfg.data_center);
            live.iter().map(|member| member.info.id).collect()
        });
        let successor = c.row().standbys.iter().find(|s| live.contains(s)).copied();
        // `None` while a write is pending; the next poll tries again.
        let action = successor.and_then(|to| c.resign(to));
        let handed_over = action.is_some();
        if let Some(Action::HandOver { to, term }) = action {
            self.io.send_hand_over(to, term);
        }
        if (handed_over || successor.is_none())
            && let Some(tx) = self.stop_reply.take()
        {
            let _ = tx.send(handed_over);
        }
    }

    fn publish_row(&mut self) {
        let Some(c) = &self.controller else { return };
        if c.version() == self.published_version {
            return;
        }
        self.published_version = c.version();
        let (version, row) = (c.version(), c.row().clone());
        self.update_known_row(version, &row);
        let versioned =
            VersionedCellRow { cell: self.io.cell.clone(), version, row: Arc::new(row) };
        self.io.instance.push_cell_row(&versioned);
    }

    /// Stores a committed row for routing, and logs the changes that this instance made.
    fn update_known_row(&self, version: u64, row: &CellRow) {
        let before = self.io.instance.cell_rows.get(&self.io.cell);
        let versioned =
            VersionedCellRow { cell: self.io.cell.clone(), version, row: Arc::new(row.clone()) };
        if !self.io.instance.cell_rows.insert_if_newer(versioned)
            || row.controller != self.io.instance.id
        {
            return;
        }
        let old = before.map(|row| row.row);
        let same = |s: &u32, epoch| {
            old.as_ref().and_then(|o| o.slots.get(s)).is_some_and(|a| a.epoch == epoch)
        };
        let changed = row.slots.iter().filter(|(s, a)| !same(s, a.epoch));
        let moved: Vec<_> = changed.map(|(s, a)| (s, a.epoch, a.owner.to_string())).collect();
        if !moved.is_empty() {
            log::info!(cell = &*self.io.cell, version, slots = moved.len(); "ownership changed");
            self.io.instance.audit_log.append(
                "ownership",
                serde_json::json!({
                    "cell": &*self.io.cell, "term": row.term, "row_version": version, "slots": moved,
                }),
            );
        }
    }

    /// Probes the upstreams that get no grants, to learn whether they are up.
    fn probe_upstreams(&mut self, now: Millis, term: Term) {
        if now < self.next_probe_at {
            return;
        }
        self.next_probe_at = now + self.io.instance.cfg.timing.renew_ms;
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

/// Returns the slots of pinned keys that should be on a named upstream. The n-th pin has the n-th
/// slot after the hashed ones; one with an empty key is removed.
fn pinned_slots(ownership: &Ownership) -> BTreeMap<SlotId, Arc<str>> {
    let slots = (ownership.slots..).zip(&ownership.pins).filter(|(_, p)| !p.key.is_empty());
    slots.filter_map(|(slot, p)| Some((slot, p.upstream.clone()?))).collect()
}
