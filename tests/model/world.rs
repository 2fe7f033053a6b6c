//! The model's world: the real decision structs, a table, and a network that delays, reorders and
//! loses messages. Processes may pause at any point, since no step is ever forced.

use mulberryspur::{
    cell::{Assignment, CellRow, InstanceId, Owner},
    controller::{Action, Ask, Controller, Enforcer, Inherited, WriteResult},
    grant::{BootId, Grant, GrantHolder, GrantReply, Timing},
    slot::SlotId,
    standby::{Standby, StandbyAction},
};
use std::{
    collections::{BTreeMap, BTreeSet},
    hash::{Hash, Hasher},
};

/// Returns a portable fingerprint of a value.
pub fn fingerprint(value: &impl Hash) -> u128 {
    struct Fingerprint(xxhash_rust::xxh3::Xxh3);

    impl Hasher for Fingerprint {
        fn write(&mut self, bytes: &[u8]) {
            self.0.update(bytes);
        }

        fn finish(&self) -> u64 {
            self.0.digest()
        }
    }

    let mut h = Fingerprint(xxhash_rust::xxh3::Xxh3::new());
    value.hash(&mut h);
    h.0.digest128()
}

const CELL: &str = "cell";
const SLOT: SlotId = 0;
const UPSTREAMS: [&str; 2] = ["u0", "u1"];

/// A deliberate mistake, made outside the decision structs.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Fault {
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
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Budget {
    /// Clock readings to explore.
    pub horizon: u64,
    /// Messages in flight at once; further ones are lost.
    pub in_flight: usize,
    /// Changes of the wanted owner.
    pub moves: u8,
    /// Answers of the table that may be lost.
    pub lost_answers: u8,
    /// Restarts of upstreams.
    pub restarts: u8,
    /// Takeovers by an instance that is not listed.
    pub outsiders: u8,
    /// Changes between platform up and down as the controller sees it.
    pub outages: u8,
    /// Planned hand-overs.
    pub hand_overs: u8,
    /// Cuts and mends of the network between instances.
    pub cuts: u8,
    /// Whether grants' answers may be late; else they arrive at once or never.
    pub late_replies: bool,
    /// Whether promises and the requests for them may be late; else likewise.
    pub late_promises: bool,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum Msg {
    Grant { from: usize, to: usize, grant: Grant },
    Reply { to: usize, owner: Owner, reply: GrantReply },
    Ask { from: usize, to: usize, ask: Ask },
    Promise { from: usize, to: usize, ask: Ask },
    Write { from: usize, expected: u64, row: CellRow },
    HandOver { to: usize, term: u64 },
}

/// One thing that may happen next.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Step {
    Tick,
    Run(usize),
    Deliver(usize),
    DeliverLosingAnswer(usize),
    Drop(usize),
    Move,
    Restart(usize),
    Outsider(usize),
    Outage,
    HandOver(usize),
    Cut,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Instance {
    standby: Standby,
    controller: Option<Controller>,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct World {
    now: u64,
    timing: Timing,
    budget: Budget,
    fault: Fault,
    version: u64,
    row: CellRow,
    instances: Vec<Instance>,
    holders: Vec<GrantHolder>,
    wanted: usize,
    platform_up: bool,
    cut: bool,
    net: Vec<Msg>,
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

impl World {
    /// Instance 0 controls one slot of upstream 0; the last instance is listed nowhere if
    /// `listed` is smaller than the number of instances less one.
    pub fn new(
        timing: Timing,
        budget: Budget,
        fault: Fault,
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
        let first =
            Controller::new(CELL, timing, row.clone(), 1, Inherited::Until(0), &Enforcer::Owners);
        let standby = |n| Standby::new(id(n), CELL, timing, Enforcer::Owners);
        let mut all: Vec<Instance> =
            (0..instances).map(|n| Instance { standby: standby(n), controller: None }).collect();
        all[0].controller = Some(first);
        let mut this = Self {
            now: 1,
            timing,
            budget,
            fault,
            version: 1,
            row,
            instances: all,
            holders: (0..UPSTREAMS.len()).map(|_| GrantHolder::new(1)).collect(),
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
        assert!(self.holders[0].held(self.now).next().is_some(), "no steady state");
    }

    /// Returns the upstreams that would serve the slot now.
    pub fn serving(&self) -> usize {
        self.holders.iter().filter(|h| h.held(self.now).next().is_some()).count()
    }

    /// Returns everything that may happen next.
    pub fn steps(&self) -> Vec<Step> {
        let b = &self.budget;
        let mut steps = Vec::new();
        if self.now < b.horizon {
            steps.push(Step::Tick);
        }
        steps.extend((0..self.instances.len()).map(Step::Run));
        for (n, msg) in self.net.iter().enumerate() {
            steps.push(Step::Deliver(n));
            if self.net.len() == b.in_flight {
                steps.push(Step::Drop(n));
            }
            let can_lose = match msg {
                Msg::Write { .. } => b.lost_answers > 0,
                Msg::Grant { .. } => !b.late_replies,
                _ => false,
            };
            if can_lose {
                steps.push(Step::DeliverLosingAnswer(n));
            }
        }
        if b.moves > 0 {
            steps.push(Step::Move);
        }
        if b.restarts > 0 {
            steps.extend((0..self.holders.len()).map(Step::Restart));
        }
        if b.outsiders > 0 {
            steps.push(Step::Outsider(self.instances.len() - 1));
        }
        if b.outages > 0 {
            steps.push(Step::Outage);
        }
        if b.cuts > 0 {
            steps.push(Step::Cut);
        }
        if b.hand_overs > 0 {
            let controls = |n: &usize| self.instances[*n].controller.is_some();
            steps.extend((0..self.instances.len()).filter(controls).map(Step::HandOver));
        }
        steps
    }

    /// Returns the world after a step.
    pub fn after(&self, step: Step) -> Self {
        let mut next = self.clone();
        match step {
            Step::Tick => next.now += 1,
            Step::Run(n) => next.run(n),
            Step::Deliver(n) => next.deliver(n, false),
            Step::DeliverLosingAnswer(n) => next.deliver(n, true),
            Step::Drop(n) => {
                next.net.remove(n);
            }
            Step::Move => {
                next.budget.moves -= 1;
                next.wanted = 1 - next.wanted;
            }
            Step::Restart(n) => {
                next.budget.restarts -= 1;
                next.holders[n] = GrantHolder::new(next.holders[n].boot() + 1);
            }
            Step::Outsider(n) => {
                next.budget.outsiders -= 1;
                next.instances[n].standby.start_as_outsider(next.row.term);
            }
            Step::Outage => {
                next.budget.outages -= 1;
                next.platform_up = !next.platform_up;
            }
            Step::HandOver(n) => next.hand_over(n),
            Step::Cut => {
                next.budget.cuts -= 1;
                next.cut = !next.cut;
            }
        }
        next.net.sort_by_cached_key(fingerprint);
        next.net.dedup();
        next
    }

    fn send(&mut self, msg: Msg) {
        let between = matches!(msg, Msg::Ask { .. } | Msg::Promise { .. } | Msg::HandOver { .. });
        if self.cut && between {
            return;
        }
        let late = match msg {
            Msg::Reply { .. } => self.budget.late_replies,
            Msg::Ask { .. } | Msg::Promise { .. } => self.budget.late_promises,
            _ => true,
        };
        if !late {
            self.receive(msg, false);
            return;
        }
        if self.net.len() < self.budget.in_flight {
            self.net.push(msg);
        }
    }

    fn hand_over(&mut self, n: usize) {
        self.budget.hand_overs -= 1;
        let Some(c) = self.instances[n].controller.as_mut() else {
            return;
        };
        let Some(to) = c.row().standbys.first().copied() else {
            return;
        };
        if let Some(Action::HandOver { to, term }) = c.resign(to) {
            self.send(Msg::HandOver { to: index(to), term });
        }
    }

    /// Lets one instance run: its controller if it has one, else its standby.
    fn run(&mut self, n: usize) {
        let now = self.now;
        let wanted = owner(self.wanted, self.holders[self.wanted].boot());
        let platform_up = self.platform_up;
        let others: Vec<InstanceId> = self.row.standbys.clone();
        let instance = &mut self.instances[n];
        if instance.controller.as_ref().is_some_and(Controller::has_ended) {
            instance.controller = None;
        }
        if let Some(c) = &mut instance.controller {
            c.set_platform_up(platform_up);
            c.want(BTreeMap::from([(SLOT, wanted)]));
            let actions = c.poll(now);
            for action in actions {
                self.act(n, action);
            }
            return;
        }
        let peers: BTreeSet<InstanceId> = others.into_iter().filter(|o| *o != id(n)).collect();
        instance.standby.want_standbys(peers.into_iter().collect());
        match instance.standby.poll(now) {
            Some(StandbyAction::Read) => {
                let row = self.row.clone();
                let found = instance.standby.on_read(now, self.version, Some(row));
                self.adopt(n, found);
            }
            Some(StandbyAction::Write { expected, row }) => {
                self.send(Msg::Write { from: n, expected, row });
            }
            None => {}
        }
    }

    fn adopt(&mut self, n: usize, controller: Option<Controller>) {
        let Some(c) = controller else { return };
        let c = match self.fault {
            Fault::NoWaitAtTakeover => {
                let (row, version) = (c.row().clone(), c.version());
                Controller::new(
                    CELL,
                    self.timing,
                    row,
                    version,
                    Inherited::Until(0),
                    &Enforcer::Owners,
                )
            }
            _ => c,
        };
        self.instances[n].controller = Some(c);
    }

    fn act(&mut self, n: usize, action: Action) {
        match action {
            Action::Grant { to, grant } => {
                let to = UPSTREAMS.iter().position(|u| *u == &*to.upstream).unwrap();
                if self.fault == Fault::NoWaitBeforeMove {
                    self.forge_release(n, to, &grant);
                }
                self.send(Msg::Grant { from: n, to, grant });
            }
            Action::Ask { to, ask } => self.send(Msg::Ask { from: n, to: index(to), ask }),
            Action::HandOver { to, term } => self.send(Msg::HandOver { to: index(to), term }),
            Action::Write { expected, row } => {
                if self.fault == Fault::GrantBeforeCommit {
                    let c = self.instances[n].controller.as_mut().unwrap();
                    c.on_write(WriteResult::Done(expected + 1));
                }
                self.send(Msg::Write { from: n, expected, row });
            }
            Action::Read => {
                let read = Some((self.version, self.row.clone()));
                if let Some(c) = self.instances[n].controller.as_mut() {
                    c.on_read(read);
                }
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
            status: mulberryspur::grant::GrantStatus::Accepted,
            draining: Vec::new(),
            leaving: false,
        };
        let c = self.instances[n].controller.as_mut().unwrap();
        c.on_reply(self.now, &owner(to, grant.boot), &reply);
    }

    fn deliver(&mut self, n: usize, lose_answer: bool) {
        let msg = self.net.remove(n);
        self.receive(msg, lose_answer);
    }

    fn receive(&mut self, msg: Msg, lose_answer: bool) {
        match msg {
            Msg::Grant { from, to, grant } => self.deliver_grant(from, to, grant, lose_answer),
            Msg::Reply { to, owner, reply } => {
                if let Some(c) = self.instances[to].controller.as_mut() {
                    c.on_reply(self.now, &owner, &reply);
                }
            }
            Msg::Ask { from, to, ask } => self.deliver_ask(from, to, ask),
            Msg::Promise { from, to, ask } => self.deliver_promise(from, to, ask),
            Msg::Write { from, expected, row } => {
                self.deliver_write(from, expected, row, lose_answer);
            }
            Msg::HandOver { to, term } => {
                self.instances[to].standby.on_hand_over(self.now, term);
            }
        }
    }

    fn deliver_grant(&mut self, from: usize, to: usize, mut grant: Grant, lose_answer: bool) {
        let holder = &mut self.holders[to];
        let boot = grant.boot;
        if self.fault == Fault::ExpiryFromReceipt && grant.until > 0 {
            grant.until = self.now + self.timing.lease_ms;
        }
        if self.fault == Fault::OlderTermAccepted {
            // Forgets its term before each grant.
            let mut fresh = GrantHolder::new(holder.boot());
            let mut old = holder.clone();
            let reply = old.on_grant(self.now, &grant);
            if reply.status == mulberryspur::grant::GrantStatus::Stale {
                fresh.on_grant(self.now, &grant);
                *holder = fresh;
            }
        }
        let reply = holder.on_grant(self.now, &grant);
        if lose_answer {
            return;
        }
        self.send(Msg::Reply { to: from, owner: owner(to, boot), reply });
    }

    fn deliver_ask(&mut self, from: usize, to: usize, ask: Ask) {
        if self.instances[to].controller.is_some() {
            return;
        }
        let standby = &mut self.instances[to].standby;
        let forced = self.fault == Fault::PromiseDuringTakeover && standby.is_taking_over();
        if standby.on_ask(self.now, &ask) || forced {
            self.send(Msg::Promise { from: to, to: from, ask });
        }
    }

    fn deliver_promise(&mut self, from: usize, to: usize, mut ask: Ask) {
        if self.fault == Fault::PromiseFromReply {
            ask.sent_at = self.now;
        }
        if let Some(c) = self.instances[to].controller.as_mut() {
            c.on_promise(id(from), &ask);
        }
    }

    fn deliver_write(&mut self, from: usize, expected: u64, row: CellRow, lose_answer: bool) {
        let mut result = WriteResult::Conflict;
        if self.version == expected {
            self.version += 1;
            self.row = row;
            result = WriteResult::Done(self.version);
        }
        if lose_answer {
            self.budget.lost_answers -= 1;
            result = match self.fault {
                Fault::GuessAfterLostAnswer => WriteResult::Done(expected + 1),
                _ => WriteResult::Unknown,
            };
        }
        let instance = &mut self.instances[from];
        if let Some(c) = instance.controller.as_mut() {
            c.on_write(result);
        } else {
            let found = instance.standby.on_write(result);
            self.adopt(from, found);
        }
    }
}
