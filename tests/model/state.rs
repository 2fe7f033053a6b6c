//! The model's world: the real decision structs, a table, and a network that delays, reorders and
//! loses messages. Processes may pause at any point, since no step is ever forced.

use crate::shared::HashedArc;
use mulberryspur::{
    cell::{Assignment, CellRow, InstanceId, Owner},
    controller::{Action, Controller, Enforcer, InheritedGrants, PromiseRequest, WriteResult},
    grant::{BootId, Grant, GrantHolder, GrantReply, GrantStatus, SlotGrant, Timing},
    slot::SlotId,
    standby::{Standby, StandbyAction},
};
use std::collections::{BTreeMap, BTreeSet};

const CELL: &str = "cell";
const SLOT: SlotId = 0;
const UPSTREAMS: [&str; 2] = ["u0", "u1"];

/// A deliberate mistake, made outside the decision structs.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum InjectedBug {
    None,
    /// A release counts as acknowledged at once.
    NoWaitBeforeMove,
    /// A write whose answer was lost counts as done.
    GuessAfterLostAnswer,
    /// A write counts as done when it is sent.
    GrantBeforeCommit,
    /// A grant's limit counts from its receipt.
    ExpiryFromReceipt,
    /// A takeover does not wait for silent holders.
    NoWaitAtTakeover,
    /// Holders take grants of older terms.
    OlderTermAccepted,
    /// A promise counts from the arrival of the answer.
    PromiseFromReply,
    /// A standby promises while its takeover may have taken effect.
    PromiseDuringTakeover,
}

/// Bounds of an exploration.
#[expect(clippy::struct_excessive_bools, reason = "each allows one kind of failure")]
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Bounds {
    /// Clock readings to explore.
    pub max_clock: u64,
    /// Messages in flight at once; further ones are lost.
    pub max_in_flight: usize,
    /// Changes of the wanted owner.
    pub moves: u8,
    /// Answers of the table that may be lost.
    pub lost_answers: u8,
    /// Restarts of upstreams.
    pub restarts: u8,
    /// Takeovers by an instance that is not listed.
    pub unlisted_takeovers: u8,
    /// Changes between platform up and down as the controller sees it.
    pub platform_changes: u8,
    /// Planned hand-overs.
    pub hand_overs: u8,
    /// Cuts and mends of the network between instances.
    pub partition_changes: u8,
    /// Whether controllers after the first want the other upstream.
    pub new_controller_moves: bool,
    /// Whether grants' answers may be late; else they arrive at once or never.
    pub late_replies: bool,
    /// Whether entry instances enforce ownership, instead of the upstreams.
    pub entries_enforce: bool,
    /// Whether promises and the requests for them may be late; else likewise.
    pub late_promises: bool,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum Msg {
    Grant {
        from: usize,
        to: usize,
        grant: Grant,
    },
    Reply {
        to: usize,
        owner: Owner,
        reply: GrantReply,
    },
    Ask {
        from: usize,
        to: usize,
        ask: PromiseRequest,
    },
    Promise {
        from: usize,
        to: usize,
        ask: PromiseRequest,
    },
    /// `term` is that of the controller which writes, or absent for a takeover.
    Write {
        from: usize,
        term: Option<u64>,
        expected: u64,
        row: CellRow,
        /// Whether the sender has given up waiting for an answer.
        abandoned: bool,
    },
    HandOver {
        to: usize,
        term: u64,
    },
}

/// One thing that may happen next.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Step {
    Tick,
    RunInstance(usize),
    Deliver(usize),
    DeliverLosingAnswer(usize),
    /// The sender gives up waiting for a write, which may still be delivered.
    TimeOutWrite(usize),
    DropMessage(usize),
    ChangeWantedOwner,
    RestartUpstream(usize),
    UnlistedTakeover(usize),
    TogglePlatform,
    HandOver(usize),
    TogglePartition,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Instance {
    standby: Standby,
    controller: Option<Controller>,
}

#[derive(Debug, Clone, Hash)]
pub struct ModelState {
    now: u64,
    timing: Timing,
    bounds: Bounds,
    fault: InjectedBug,
    version: u64,
    row: HashedArc<CellRow>,
    instances: Vec<HashedArc<Instance>>,
    /// Processes of upstreams: a restart adds one, and the old one may still be there.
    holders: Vec<(usize, HashedArc<GrantHolder>)>,
    wanted: usize,
    platform_up: bool,
    cut: bool,
    net: Vec<HashedArc<Msg>>,
}

fn id(instance: usize) -> InstanceId {
    instance as u64 + 1
}

fn index(id: InstanceId) -> usize {
    usize::try_from(id).unwrap() - 1
}

fn owner(upstream: usize, boot: BootId) -> Owner {
    Owner { upstream: UPSTREAMS[upstream].into(), boot }
}

fn enforcer(bounds: &Bounds) -> Enforcer {
    if bounds.entries_enforce { Enforcer::EntryInstances } else { Enforcer::Owners }
}

impl ModelState {
    /// Instance 0 controls one slot of upstream 0; the last instance is listed nowhere if
    /// `listed` is smaller than the number of instances less one.
    pub fn new(
        timing: Timing,
        bounds: Bounds,
        fault: InjectedBug,
        instances: usize,
        listed: usize,
    ) -> Self {
        let row = CellRow {
            term: 1,
            controller: id(0),
            standbys: (1..=listed).map(id).collect(),
            write_id: 1,
            pins: Vec::new(),
            slots: BTreeMap::from([(SLOT, Assignment { owner: owner(0, 1), epoch: 1 })]),
        };
        let enforcer = enforcer(&bounds);
        let first =
            Controller::new(CELL, timing, row.clone(), 1, InheritedGrants::Until(0), &enforcer);
        let standby = |n| Standby::new(id(n), CELL, timing, enforcer.clone());
        let mut all: Vec<Instance> =
            (0..instances).map(|n| Instance { standby: standby(n), controller: None }).collect();
        all[0].controller = Some(first);
        let holder = |n| (n, HashedArc::new(GrantHolder::new(1)));
        let mut this = Self {
            now: 1,
            timing,
            bounds,
            fault,
            version: 1,
            row: HashedArc::new(row),
            instances: all.into_iter().map(HashedArc::new).collect(),
            holders: (0..UPSTREAMS.len()).map(holder).collect(),
            wanted: 0,
            platform_up: true,
            cut: false,
            net: Vec::new(),
        };
        this.settle();
        this
    }

    /// Runs instance 0 and delivers everything until the first grant is held.
    fn settle(&mut self) {
        for _ in 0..4 {
            self.run(0);
            while !self.net.is_empty() {
                self.deliver(0, false);
            }
        }
        assert!(self.holders[0].1.held_slots(self.now).next().is_some(), "no steady state");
    }

    /// Returns the number of upstreams that the slot would be served by now.
    pub fn serving_owners(&self) -> usize {
        let held =
            |h: &(usize, HashedArc<GrantHolder>)| Some(h.1.held_slots(self.now).next()?.epoch);
        let epochs = self.holders.iter().filter_map(held);
        if self.bounds.entries_enforce {
            // Entry instances share an owner under one epoch.
            return epochs.collect::<BTreeSet<_>>().len();
        }
        epochs.count()
    }

    /// Returns everything that may happen next.
    pub fn steps(&self) -> Vec<Step> {
        let b = &self.bounds;
        let mut steps = Vec::new();
        if self.now < b.max_clock {
            steps.push(Step::Tick);
        }
        steps.extend((0..self.instances.len()).map(Step::RunInstance));
        for (n, msg) in self.net.iter().enumerate() {
            steps.push(Step::Deliver(n));
            if self.net.len() == b.max_in_flight {
                steps.push(Step::DropMessage(n));
            }
            let can_lose = match &**msg {
                Msg::Write { abandoned, .. } => {
                    if b.lost_answers > 0 && !abandoned {
                        steps.push(Step::TimeOutWrite(n));
                    }
                    false
                }
                Msg::Grant { .. } => !b.late_replies,
                _ => false,
            };
            if can_lose {
                steps.push(Step::DeliverLosingAnswer(n));
            }
        }
        if b.moves > 0 {
            steps.push(Step::ChangeWantedOwner);
        }
        if b.restarts > 0 {
            steps.extend((0..UPSTREAMS.len()).map(Step::RestartUpstream));
        }
        if b.unlisted_takeovers > 0 {
            steps.push(Step::UnlistedTakeover(self.instances.len() - 1));
        }
        if b.platform_changes > 0 {
            steps.push(Step::TogglePlatform);
        }
        if b.partition_changes > 0 {
            steps.push(Step::TogglePartition);
        }
        if b.hand_overs > 0 {
            let controls = |n: &usize| self.instances[*n].controller.is_some();
            steps.extend((0..self.instances.len()).filter(controls).map(Step::HandOver));
        }
        steps
    }

    /// Returns the world after a step.
    pub fn apply(&self, step: Step) -> Self {
        let mut next = self.clone();
        match step {
            Step::Tick => next.now += 1,
            Step::RunInstance(n) => next.run(n),
            Step::Deliver(n) => next.deliver(n, false),
            Step::DeliverLosingAnswer(n) => next.deliver(n, true),
            Step::TimeOutWrite(n) => next.time_out(n),
            Step::DropMessage(n) => {
                next.net.remove(n);
            }
            Step::ChangeWantedOwner => {
                next.bounds.moves -= 1;
                next.wanted = 1 - next.wanted;
            }
            Step::RestartUpstream(n) => {
                next.bounds.restarts -= 1;
                let process = GrantHolder::new(next.boot(n) + 1);
                next.holders.push((n, HashedArc::new(process)));
            }
            Step::UnlistedTakeover(n) => {
                next.bounds.unlisted_takeovers -= 1;
                let lost = next.row.term;
                next.instances[n].edit(|i| i.standby.start_unlisted_takeover(lost));
            }
            Step::TogglePlatform => {
                next.bounds.platform_changes -= 1;
                next.platform_up = !next.platform_up;
            }
            Step::HandOver(n) => next.hand_over(n),
            Step::TogglePartition => {
                next.bounds.partition_changes -= 1;
                next.cut = !next.cut;
            }
        }
        next.net.sort_by_key(HashedArc::fingerprint);
        next.net.dedup_by_key(|m| m.fingerprint());
        next
    }

    fn send(&mut self, msg: Msg) {
        let between = matches!(msg, Msg::Ask { .. } | Msg::Promise { .. } | Msg::HandOver { .. });
        if self.cut && between {
            return;
        }
        let late = match msg {
            Msg::Reply { .. } => self.bounds.late_replies,
            Msg::Ask { .. } | Msg::Promise { .. } => self.bounds.late_promises,
            _ => true,
        };
        if !late {
            self.receive(msg, false);
            return;
        }
        if self.net.len() < self.bounds.max_in_flight {
            self.net.push(HashedArc::new(msg));
        }
    }

    fn hand_over(&mut self, n: usize) {
        self.bounds.hand_overs -= 1;
        let resigned = self.edit_controller(n, |c| {
            let to = c.row().standbys.first().copied()?;
            c.resign(to)
        });
        if let Some(Some(Action::HandOver { to, term })) = resigned {
            self.send(Msg::HandOver { to: index(to), term });
        }
    }

    /// Returns the latest process of an upstream.
    fn boot(&self, upstream: usize) -> BootId {
        let processes = self.holders.iter().filter(|(u, _)| *u == upstream);
        processes.map(|(_, h)| h.boot()).max().unwrap_or(0)
    }

    fn edit_controller<R>(&mut self, n: usize, f: impl FnOnce(&mut Controller) -> R) -> Option<R> {
        self.instances[n].edit(|i| i.controller.as_mut().map(f))
    }

    /// Lets one instance run: its controller if it has one, else its standby.
    fn run(&mut self, n: usize) {
        if self.instances[n].controller.as_ref().is_some_and(Controller::has_ended) {
            self.instances[n].edit(|i| i.controller = None);
        }
        if self.instances[n].controller.is_some() {
            self.run_controller(n);
        } else {
            self.run_standby(n);
        }
    }

    fn run_controller(&mut self, n: usize) {
        let now = self.now;
        let moves = n > 0 && self.bounds.new_controller_moves;
        let upstream = if moves { 1 } else { self.wanted };
        let wanted = owner(upstream, self.boot(upstream));
        let entries = (0..UPSTREAMS.len()).map(|n| owner(n, 1)).collect();
        let platform_up = self.platform_up;
        let actions = self.edit_controller(n, |c| {
            c.set_entry_instances(entries);
            c.set_platform_up(platform_up);
            c.set_wanted_owners(BTreeMap::from([(SLOT, wanted)]));
            c.poll(now)
        });
        for action in actions.into_iter().flatten() {
            self.act(n, action);
        }
    }

    fn run_standby(&mut self, n: usize) {
        let now = self.now;
        let standbys: BTreeSet<InstanceId> =
            self.row.standbys.iter().copied().filter(|o| *o != id(n)).collect();
        let action = self.instances[n].edit(|i| {
            i.standby.set_wanted_standbys(standbys.into_iter().collect());
            i.standby.poll(now)
        });
        match action {
            Some(StandbyAction::ReadRow) => {
                let (version, row) = (self.version, (*self.row).clone());
                let found = self.instances[n].edit(|i| i.standby.on_read(now, version, Some(row)));
                self.adopt(n, found);
            }
            Some(StandbyAction::WriteRow { expected, row }) => {
                self.send(Msg::Write { from: n, term: None, expected, row, abandoned: false });
            }
            None => {}
        }
    }

    fn adopt(&mut self, n: usize, controller: Option<Controller>) {
        let Some(mut c) = controller else { return };
        if self.fault == InjectedBug::NoWaitAtTakeover {
            let (row, version) = (c.row().clone(), c.version());
            let enforcer = enforcer(&self.bounds);
            let inherited = InheritedGrants::Until(0);
            c = Controller::new(CELL, self.timing, row, version, inherited, &enforcer);
        }
        self.instances[n].edit(|i| i.controller = Some(c));
    }

    fn act(&mut self, n: usize, action: Action) {
        match action {
            Action::SendGrant { to, grant } => {
                let to = UPSTREAMS.iter().position(|u| *u == &*to.upstream).unwrap();
                if self.fault == InjectedBug::NoWaitBeforeMove {
                    self.forge_release(n, to, &grant);
                }
                self.send(Msg::Grant { from: n, to, grant });
            }
            Action::RequestPromise { to, request } => {
                self.send(Msg::Ask { from: n, to: index(to), ask: request });
            }
            Action::HandOver { to, term } => self.send(Msg::HandOver { to: index(to), term }),
            Action::WriteRow { expected, row } => {
                if self.fault == InjectedBug::GrantBeforeCommit {
                    self.edit_controller(n, |c| c.on_write(WriteResult::Committed(expected + 1)));
                }
                let term = Some(row.term);
                self.send(Msg::Write { from: n, term, expected, row, abandoned: false });
            }
            Action::ReadRow => {
                let read = Some((self.version, (*self.row).clone()));
                self.edit_controller(n, |c| c.on_read(read));
            }
        }
    }

    /// Pretends that the holder acknowledged a list without the slot.
    fn forge_release(&mut self, n: usize, to: usize, grant: &Grant) {
        if grant.slots.as_ref().is_none_or(|s| !s.is_empty()) {
            return;
        }
        let reply = GrantReply {
            boot: grant.boot,
            clock: self.now,
            term: grant.term,
            version: grant.version,
            status: GrantStatus::Accepted,
            draining: Vec::new(),
            leaving: false,
        };
        let now = self.now;
        self.edit_controller(n, |c| c.on_grant_reply(now, &owner(to, grant.boot), &reply));
    }

    fn deliver(&mut self, n: usize, lose_answer: bool) {
        let msg = self.net.remove(n);
        self.receive((*msg).clone(), lose_answer);
    }

    fn receive(&mut self, msg: Msg, lose_answer: bool) {
        match msg {
            Msg::Grant { from, to, grant } => self.deliver_grant(from, to, grant, lose_answer),
            Msg::Reply { to, owner, reply } => {
                let now = self.now;
                self.edit_controller(to, |c| c.on_grant_reply(now, &owner, &reply));
            }
            Msg::Ask { from, to, ask } => self.deliver_ask(from, to, ask),
            Msg::Promise { from, to, ask } => self.deliver_promise(from, to, ask),
            Msg::Write { from, term, expected, row, abandoned } => {
                let mut result = WriteResult::Conflict;
                if self.version == expected {
                    self.version += 1;
                    self.row = HashedArc::new(row);
                    result = WriteResult::Committed(self.version);
                }
                if !abandoned {
                    self.wrote(from, term, result);
                }
            }
            Msg::HandOver { to, term } => {
                let now = self.now;
                self.instances[to].edit(|i| i.standby.on_hand_over(now, term));
            }
        }
    }

    fn deliver_grant(&mut self, from: usize, to: usize, mut grant: Grant, lose_answer: bool) {
        let boot = grant.boot;
        let (now, fault) = (self.now, self.fault);
        let process = self.holders.iter_mut().find(|(u, h)| *u == to && h.boot() == boot);
        let Some((_, holder)) = process else { return };
        if fault == InjectedBug::ExpiryFromReceipt && grant.until > 0 {
            grant.until = now + self.timing.lease_ms;
        }
        let reply = holder.edit(|h| {
            let reply = h.on_grant(now, &grant);
            if fault == InjectedBug::OlderTermAccepted && reply.status == GrantStatus::Stale {
                // Forgets its term and takes the grant.
                *h = GrantHolder::new(boot);
                let slots = vec![SlotGrant { slot: SLOT, epoch: 1 }];
                return h.on_grant(now, &Grant { slots: Some(slots), ..grant.clone() });
            }
            reply
        });
        if !lose_answer {
            self.send(Msg::Reply { to: from, owner: owner(to, boot), reply });
        }
    }

    fn deliver_ask(&mut self, from: usize, to: usize, ask: PromiseRequest) {
        if self.instances[to].controller.is_some() {
            return;
        }
        let now = self.now;
        let forced = self.fault == InjectedBug::PromiseDuringTakeover
            && self.instances[to].standby.is_taking_over();
        if self.instances[to].edit(|i| i.standby.on_promise_request(now, &ask)) || forced {
            self.send(Msg::Promise { from: to, to: from, ask });
        }
    }

    fn deliver_promise(&mut self, from: usize, to: usize, mut ask: PromiseRequest) {
        if self.fault == InjectedBug::PromiseFromReply {
            ask.sent_at = self.now;
        }
        self.edit_controller(to, |c| c.on_promise(id(from), &ask));
    }

    fn time_out(&mut self, n: usize) {
        self.bounds.lost_answers -= 1;
        let guess = self.fault == InjectedBug::GuessAfterLostAnswer;
        let (from, term, result) = self.net[n].edit(|m| match m {
            Msg::Write { from, term, expected, abandoned, .. } => {
                *abandoned = true;
                let done = WriteResult::Committed(*expected + 1);
                (*from, *term, if guess { done } else { WriteResult::Unknown })
            }
            _ => unreachable!("only writes time out"),
        });
        self.wrote(from, term, result);
    }

    /// Tells the writer the result, if it still is what it was.
    fn wrote(&mut self, from: usize, term: Option<u64>, result: WriteResult) {
        if term.is_none() {
            let found = self.instances[from].edit(|i| i.standby.on_write(result));
            self.adopt(from, found);
        } else if self.instances[from].controller.as_ref().map(|c| c.row().term) == term {
            self.edit_controller(from, |c| c.on_write(result));
        }
    }
}
