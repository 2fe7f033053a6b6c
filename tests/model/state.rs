//! State of the model: the real protocol structs, the cell's row, and a network that delays,
//! reorders and loses messages. Processes may pause at any point, since no step is ever required.

use crate::hashed_arc::HashedArc;
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

/// A deliberate bug, injected around the protocol structs.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum InjectedBug {
    None,
    /// A holder counts as having given up a slot as soon as a list without it is sent.
    NoWaitBeforeOwnerChange,
    /// A write whose result was lost counts as committed.
    AssumedCommitAfterTimeout,
    /// A write counts as committed when it is sent.
    GrantBeforeCommit,
    /// The duration of a grant counts from its receipt.
    ExpiryFromReceipt,
    /// A takeover does not wait for grants of earlier terms to end.
    NoWaitAtTakeover,
    /// Holders accept grants of older terms.
    OlderTermAccepted,
    /// The duration of a promise counts from the arrival of the reply.
    PromiseFromReply,
    /// A standby promises while its takeover may have taken effect.
    PromiseDuringTakeover,
}

/// Bounds of an exploration.
#[expect(clippy::struct_excessive_bools, reason = "each allows one kind of failure")]
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Bounds {
    /// Last clock reading to explore, in milliseconds; one `Step::Tick` is 1 ms.
    pub max_clock: u64,
    /// Messages in flight at once; further ones are lost.
    pub max_in_flight: usize,
    /// Changes of the wanted owner.
    pub owner_changes: u8,
    /// Results of writes that may be lost.
    pub lost_write_results: u8,
    /// Restarts of upstreams.
    pub restarts: u8,
    /// Takeovers by an instance that is not listed as a standby.
    pub unlisted_takeovers: u8,
    /// Changes between platform up and down as the controller sees it.
    pub platform_changes: u8,
    /// Planned hand-overs.
    pub hand_overs: u8,
    /// Starts and ends of a partition between instances.
    pub partition_changes: u8,
    /// Whether controllers on instances other than 0 want upstream 1.
    pub new_controller_changes_owner: bool,
    /// Whether replies to grants may be late; else they arrive at once or never.
    pub late_replies: bool,
    /// Whether entry instances enforce ownership, instead of the upstreams.
    pub entry_instances_enforce: bool,
    /// Whether promises and the requests for them may be late; else they arrive at once or never.
    pub late_promises: bool,
}

/// A message; `from` and `to` are indexes of instances, except `Grant::to`, which is that of an
/// upstream.
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
    PromiseRequest {
        from: usize,
        to: usize,
        request: PromiseRequest,
    },
    Promise {
        from: usize,
        to: usize,
        request: PromiseRequest,
    },
    /// `term` is that of the controller which writes, or absent for a takeover.
    Write {
        from: usize,
        term: Option<u64>,
        expected: u64,
        row: CellRow,
        /// Whether the sender has given up waiting for the result.
        abandoned: bool,
    },
    HandOver {
        to: usize,
        term: u64,
    },
}

/// An event that may happen next, with the index of the instance, message or upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Step {
    Tick,
    RunInstance(usize),
    Deliver(usize),
    DeliverLosingReply(usize),
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
    /// Reading of all clocks, in milliseconds.
    now: u64,
    timing: Timing,
    bounds: Bounds,
    bug: InjectedBug,
    version: u64,
    row: HashedArc<CellRow>,
    instances: Vec<HashedArc<Instance>>,
    /// Processes of upstreams: a restart adds one, and the old one may still be there. If entry
    /// instances enforce ownership, these are the entry instances, under the upstreams' names.
    holders: Vec<(usize, HashedArc<GrantHolder>)>,
    wanted_upstream: usize,
    platform_up: bool,
    partitioned: bool,
    messages: Vec<HashedArc<Msg>>,
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
    if bounds.entry_instances_enforce { Enforcer::EntryInstances } else { Enforcer::Owners }
}

impl ModelState {
    /// Instance 0 controls one slot of upstream 0; the last instance is not listed if
    /// `listed_standbys` is smaller than the number of instances less one.
    pub fn new(
        timing: Timing,
        bounds: Bounds,
        bug: InjectedBug,
        instances: usize,
        listed_standbys: usize,
    ) -> Self {
        let row = CellRow {
            term: 1,
            controller: id(0),
            standbys: (1..=listed_standbys).map(id).collect(),
            write_id: 1,
            pins: Vec::new(),
            slots: BTreeMap::from([(SLOT, Assignment { owner: owner(0, 1), epoch: 1 })]),
        };
        let enforcer = enforcer(&bounds);
        // No grants of earlier terms need be waited for.
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
            bug,
            version: 1,
            row: HashedArc::new(row),
            instances: all.into_iter().map(HashedArc::new).collect(),
            holders: (0..UPSTREAMS.len()).map(holder).collect(),
            wanted_upstream: 0,
            platform_up: true,
            partitioned: false,
            messages: Vec::new(),
        };
        this.reach_first_grant();
        this
    }

    /// Runs instance 0 four times and delivers everything, after which the first grant is held.
    fn reach_first_grant(&mut self) {
        for _ in 0..4 {
            self.run_instance(0);
            while !self.messages.is_empty() {
                self.deliver(0, false);
            }
        }
        assert!(self.holders[0].1.held_slots(self.now).next().is_some(), "no steady state");
    }

    /// Returns the number of processes of upstreams that would serve the slot now; if entry
    /// instances enforce ownership, the number of epochs under which they would.
    pub fn serving_owners(&self) -> usize {
        let held =
            |h: &(usize, HashedArc<GrantHolder>)| Some(h.1.held_slots(self.now).next()?.epoch);
        let epochs = self.holders.iter().filter_map(held);
        if self.bounds.entry_instances_enforce {
            // All entry instances may hold the slot; an epoch stands for one owner.
            return epochs.collect::<BTreeSet<_>>().len();
        }
        epochs.count()
    }

    /// Returns the steps that may happen next.
    pub fn steps(&self) -> Vec<Step> {
        let b = &self.bounds;
        let mut steps = Vec::new();
        if self.now < b.max_clock {
            steps.push(Step::Tick);
        }
        steps.extend((0..self.instances.len()).map(Step::RunInstance));
        for (n, msg) in self.messages.iter().enumerate() {
            steps.push(Step::Deliver(n));
            // A message that is never delivered is as good as lost; dropping one only makes room.
            if self.messages.len() == b.max_in_flight {
                steps.push(Step::DropMessage(n));
            }
            let can_lose_reply = match &**msg {
                Msg::Write { abandoned, .. } => {
                    if b.lost_write_results > 0 && !abandoned {
                        steps.push(Step::TimeOutWrite(n));
                    }
                    false
                }
                Msg::Grant { .. } => !b.late_replies,
                _ => false,
            };
            if can_lose_reply {
                steps.push(Step::DeliverLosingReply(n));
            }
        }
        if b.owner_changes > 0 {
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

    /// Returns the state after a step.
    pub fn apply(&self, step: Step) -> Self {
        let mut next = self.clone();
        match step {
            Step::Tick => next.now += 1,
            Step::RunInstance(n) => next.run_instance(n),
            Step::Deliver(n) => next.deliver(n, false),
            Step::DeliverLosingReply(n) => next.deliver(n, true),
            Step::TimeOutWrite(n) => next.time_out_write(n),
            Step::DropMessage(n) => {
                next.messages.remove(n);
            }
            Step::ChangeWantedOwner => {
                next.bounds.owner_changes -= 1;
                next.wanted_upstream = 1 - next.wanted_upstream;
            }
            Step::RestartUpstream(n) => {
                next.bounds.restarts -= 1;
                let process = GrantHolder::new(next.latest_boot(n) + 1);
                next.holders.push((n, HashedArc::new(process)));
            }
            Step::UnlistedTakeover(n) => {
                next.bounds.unlisted_takeovers -= 1;
                let lost_term = next.row.term;
                next.instances[n].edit(|i| i.standby.start_unlisted_takeover(lost_term));
            }
            Step::TogglePlatform => {
                next.bounds.platform_changes -= 1;
                next.platform_up = !next.platform_up;
            }
            Step::HandOver(n) => next.hand_over(n),
            Step::TogglePartition => {
                next.bounds.partition_changes -= 1;
                next.partitioned = !next.partitioned;
            }
        }
        // The order of messages does not matter and equal ones are kept once, so that fewer states
        // differ.
        next.messages.sort_by_key(HashedArc::fingerprint);
        next.messages.dedup_by_key(|m| m.fingerprint());
        next
    }

    fn send(&mut self, msg: Msg) {
        let between_instances =
            matches!(msg, Msg::PromiseRequest { .. } | Msg::Promise { .. } | Msg::HandOver { .. });
        if self.partitioned && between_instances {
            return;
        }
        let may_be_late = match msg {
            Msg::Reply { .. } => self.bounds.late_replies,
            Msg::PromiseRequest { .. } | Msg::Promise { .. } => self.bounds.late_promises,
            _ => true,
        };
        if !may_be_late {
            self.receive(msg, false);
            return;
        }
        if self.messages.len() < self.bounds.max_in_flight {
            self.messages.push(HashedArc::new(msg));
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

    /// Returns the identity of an upstream's latest process.
    fn latest_boot(&self, upstream: usize) -> BootId {
        let processes = self.holders.iter().filter(|(u, _)| *u == upstream);
        processes.map(|(_, h)| h.boot()).max().unwrap_or(0)
    }

    fn edit_controller<R>(&mut self, n: usize, f: impl FnOnce(&mut Controller) -> R) -> Option<R> {
        self.instances[n].edit(|i| i.controller.as_mut().map(f))
    }

    /// Runs one instance: its controller if it has one, else its standby.
    fn run_instance(&mut self, n: usize) {
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
        let wants_other = n > 0 && self.bounds.new_controller_changes_owner;
        let upstream = if wants_other { 1 } else { self.wanted_upstream };
        let wanted = owner(upstream, self.latest_boot(upstream));
        let entry_instances = (0..UPSTREAMS.len()).map(|n| owner(n, 1)).collect();
        let platform_up = self.platform_up;
        let actions = self.edit_controller(n, |c| {
            c.set_entry_instances(entry_instances);
            c.set_platform_up(platform_up);
            c.set_wanted_owners(BTreeMap::from([(SLOT, wanted)]));
            c.poll(now)
        });
        for action in actions.into_iter().flatten() {
            self.carry_out(n, action);
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
                let controller =
                    self.instances[n].edit(|i| i.standby.on_read(now, version, Some(row)));
                self.take_control(n, controller);
            }
            Some(StandbyAction::WriteRow { expected, row }) => {
                self.send(Msg::Write { from: n, term: None, expected, row, abandoned: false });
            }
            None => {}
        }
    }

    fn take_control(&mut self, n: usize, controller: Option<Controller>) {
        let Some(mut c) = controller else { return };
        if self.bug == InjectedBug::NoWaitAtTakeover {
            let (row, version) = (c.row().clone(), c.version());
            let enforcer = enforcer(&self.bounds);
            let inherited = InheritedGrants::Until(0);
            c = Controller::new(CELL, self.timing, row, version, inherited, &enforcer);
        }
        self.instances[n].edit(|i| i.controller = Some(c));
    }

    fn carry_out(&mut self, n: usize, action: Action) {
        match action {
            Action::SendGrant { to, grant } => {
                let to = UPSTREAMS.iter().position(|u| *u == &*to.upstream).unwrap();
                if self.bug == InjectedBug::NoWaitBeforeOwnerChange {
                    self.forge_withdrawal(n, to, &grant);
                }
                self.send(Msg::Grant { from: n, to, grant });
            }
            Action::RequestPromise { to, request } => {
                self.send(Msg::PromiseRequest { from: n, to: index(to), request });
            }
            Action::HandOver { to, term } => self.send(Msg::HandOver { to: index(to), term }),
            Action::WriteRow { expected, row } => {
                if self.bug == InjectedBug::GrantBeforeCommit {
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

    /// Forges a reply by which the holder acknowledges a list without the slot.
    fn forge_withdrawal(&mut self, n: usize, to: usize, grant: &Grant) {
        // Only a list that is sent and empty withdraws the slot.
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

    fn deliver(&mut self, n: usize, lose_reply: bool) {
        let msg = self.messages.remove(n);
        self.receive((*msg).clone(), lose_reply);
    }

    fn receive(&mut self, msg: Msg, lose_reply: bool) {
        match msg {
            Msg::Grant { from, to, grant } => self.deliver_grant(from, to, grant, lose_reply),
            Msg::Reply { to, owner, reply } => {
                let now = self.now;
                self.edit_controller(to, |c| c.on_grant_reply(now, &owner, &reply));
            }
            Msg::PromiseRequest { from, to, request } => self.deliver_request(from, to, request),
            Msg::Promise { from, to, request } => self.deliver_promise(from, to, request),
            Msg::Write { from, term, expected, row, abandoned } => {
                let mut result = WriteResult::Conflict;
                if self.version == expected {
                    self.version += 1;
                    self.row = HashedArc::new(row);
                    result = WriteResult::Committed(self.version);
                }
                if !abandoned {
                    self.report_write(from, term, result);
                }
            }
            Msg::HandOver { to, term } => {
                let now = self.now;
                self.instances[to].edit(|i| i.standby.on_hand_over(now, term));
            }
        }
    }

    fn deliver_grant(&mut self, from: usize, to: usize, mut grant: Grant, lose_reply: bool) {
        let boot = grant.boot;
        let (now, bug) = (self.now, self.bug);
        let process = self.holders.iter_mut().find(|(u, h)| *u == to && h.boot() == boot);
        let Some((_, holder)) = process else { return };
        // An end of 0 grants no time.
        if bug == InjectedBug::ExpiryFromReceipt && grant.until > 0 {
            grant.until = now + self.timing.lease_ms;
        }
        let reply = holder.edit(|h| {
            let reply = h.on_grant(now, &grant);
            if bug == InjectedBug::OlderTermAccepted && reply.status == GrantStatus::Stale {
                // Forgets its term and accepts the slot under epoch 1.
                *h = GrantHolder::new(boot);
                let slots = vec![SlotGrant { slot: SLOT, epoch: 1 }];
                return h.on_grant(now, &Grant { slots: Some(slots), ..grant.clone() });
            }
            reply
        });
        if !lose_reply {
            self.send(Msg::Reply { to: from, owner: owner(to, boot), reply });
        }
    }

    fn deliver_request(&mut self, from: usize, to: usize, request: PromiseRequest) {
        // The driver would drop a controller of a lower term here, and might promise; the model
        // does not.
        if self.instances[to].controller.is_some() {
            return;
        }
        let now = self.now;
        let forced = self.bug == InjectedBug::PromiseDuringTakeover
            && self.instances[to].standby.is_taking_over();
        if self.instances[to].edit(|i| i.standby.on_promise_request(now, &request)) || forced {
            self.send(Msg::Promise { from: to, to: from, request });
        }
    }

    fn deliver_promise(&mut self, from: usize, to: usize, mut request: PromiseRequest) {
        if self.bug == InjectedBug::PromiseFromReply {
            request.sent_at = self.now;
        }
        self.edit_controller(to, |c| c.on_promise(id(from), &request));
    }

    fn time_out_write(&mut self, n: usize) {
        self.bounds.lost_write_results -= 1;
        let assume_commit = self.bug == InjectedBug::AssumedCommitAfterTimeout;
        let (from, term, result) = self.messages[n].edit(|m| match m {
            Msg::Write { from, term, expected, abandoned, .. } => {
                *abandoned = true;
                let committed = WriteResult::Committed(*expected + 1);
                (*from, *term, if assume_commit { committed } else { WriteResult::Unknown })
            }
            _ => unreachable!("only writes time out"),
        });
        self.report_write(from, term, result);
    }

    /// Reports the result to the standby, or to the controller if it still has the same term.
    fn report_write(&mut self, from: usize, term: Option<u64>, result: WriteResult) {
        if term.is_none() {
            let controller = self.instances[from].edit(|i| i.standby.on_write(result));
            self.take_control(from, controller);
        } else if self.instances[from].controller.as_ref().map(|c| c.row().term) == term {
            self.edit_controller(from, |c| c.on_write(result));
        }
    }
}
