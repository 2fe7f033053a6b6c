//! Stateful fuzzing of the ownership protocol (mulberryd): several slots, pins, instances that
//! crash, upstreams that restart or freeze, clocks that drift, a network and a table that fail.
//!
//! `PROPTEST_CASES=2000 cargo test --release --test fuzz_ownership` runs more cases.

use mulberryspur::{
    cell::{CellRow, InstanceId, Owner},
    controller::{Action, Controller, Enforcer, PromiseRequest, WriteResult},
    grant::{Grant, GrantHolder, GrantReply, Timing},
    placement::{PlacementInput, place_slots},
    slot::{SlotId, slot_of, slots_affected_by_pins},
    standby::{Standby, StandbyAction},
};
use proptest::{prelude::*, sample::Index, strategy::ValueTree, test_runner::RngSeed};
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};
use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

const CELL: &str = "cell";
const SERVICE: &str = "service";
const SLOTS: u32 = 4;
const KEYS: [&str; 6] = ["a", "b", "c", "d", "e", "f"];
const INSTANCES: usize = 3;
const UPSTREAMS: usize = 3;
const DRIFT_PPM: u64 = 20_000;
const TIMING: Timing = Timing {
    lease_ms: 1_400,
    promise_ms: 800,
    outage_promise_ms: 3_000,
    renew_ms: 250,
    drift_ppm: DRIFT_PPM,
};

/// One step of a run.
#[derive(Debug, Clone)]
enum Step {
    Advance(u64),
    /// Polls an instance. In 8 of 10 cases, what it sends and the replies are delivered at once.
    RunInstance(Index, u8),
    Deliver(Index),
    DropMessage(Index),
    /// Delivers a message; if it is a write, its result is lost.
    DeliverLosingResult(Index),
    CrashInstance(Index),
    RestartUpstream(Index),
    UnlistedTakeover(Index),
    HandOver(Index),
    TogglePin(Index),
    DrainUpstream(Index),
    SetPlatformUp(bool),
}

/// The reference model is empty: the invariants concern the system alone.
#[derive(Debug, Clone)]
struct EmptyReference;

impl ReferenceStateMachine for EmptyReference {
    type State = ();
    type Transition = Step;

    fn init_state() -> BoxedStrategy<()> {
        Just(()).boxed()
    }

    fn transitions((): &()) -> BoxedStrategy<Step> {
        let index = any::<Index>;
        prop_oneof![
            30 => (1_u64..400).prop_map(Step::Advance),
            60 => (index(), 0_u8..10).prop_map(|(i, draw)| Step::RunInstance(i, draw)),
            20 => index().prop_map(Step::Deliver),
            4 => index().prop_map(Step::DropMessage),
            3 => index().prop_map(Step::DeliverLosingResult),
            1 => index().prop_map(Step::CrashInstance),
            1 => index().prop_map(Step::RestartUpstream),
            1 => index().prop_map(Step::UnlistedTakeover),
            1 => index().prop_map(Step::HandOver),
            1 => index().prop_map(Step::TogglePin),
            2 => index().prop_map(Step::DrainUpstream),
            1 => any::<bool>().prop_map(Step::SetPlatformUp),
        ]
        .boxed()
    }

    fn apply((): (), _: &Step) {}
}

#[derive(Debug, Clone)]
enum Msg {
    Grant { from: InstanceId, to: Owner, grant: Grant },
    Reply { to: InstanceId, term: u64, owner: Owner, reply: GrantReply },
    PromiseRequest { from: InstanceId, to: InstanceId, request: PromiseRequest },
    Promise { from: InstanceId, to: InstanceId, request: PromiseRequest },
    Write { from: InstanceId, term: Option<u64>, expected: u64, row: CellRow },
    HandOver { to: InstanceId, term: u64 },
}

/// A local clock with an offset and a rate error.
#[derive(Debug, Clone, Copy)]
struct Clock {
    offset: u64,
    /// Rate in parts per million.
    rate: u64,
}

impl Clock {
    fn nth(n: usize) -> Self {
        // The greatest difference between any two rates is twice the assumed bound.
        let rates = [1_000_000, 1_000_000 + DRIFT_PPM, 1_000_000 - DRIFT_PPM];
        Self { offset: 7_000 * n as u64 + 1, rate: rates[n % 3] }
    }

    fn read(self, now: u64) -> u64 {
        self.offset + now * self.rate / 1_000_000
    }
}

#[derive(Debug)]
struct Instance {
    id: InstanceId,
    clock: Clock,
    standby: Standby,
    controller: Option<Controller>,
}

#[derive(Debug)]
struct Process {
    upstream: usize,
    clock: Clock,
    holder: GrantHolder,
}

/// A deliberate bug that the checks must find.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum InjectedBug {
    None,
    /// The duration of a grant counts from its receipt.
    ExpiryFromReceipt,
    /// Pins change without new epochs for the slots that keys leave.
    PinsWithoutNewEpochs,
}

/// The system under test.
#[derive(Debug)]
struct System {
    bug: InjectedBug,
    now: u64,
    next_id: u64,
    version: u64,
    row: CellRow,
    /// Slots and epochs under which any committed row routed a key.
    routes: BTreeMap<&'static str, BTreeSet<(SlotId, u64)>>,
    instances: Vec<Instance>,
    processes: Vec<Process>,
    /// Upstream that gets no slots.
    drained_upstream: Option<usize>,
    pins: Vec<Arc<str>>,
    platform_up: bool,
    messages: Vec<Msg>,
    max_epoch: BTreeMap<SlotId, u64>,
}

fn upstream_name(upstream: usize) -> Arc<str> {
    format!("u{upstream}").into()
}

impl System {
    fn new(bug: InjectedBug) -> Self {
        let mut this = Self {
            bug,
            now: 0,
            next_id: 1,
            version: 0,
            row: CellRow::default(),
            routes: BTreeMap::new(),
            instances: Vec::new(),
            processes: Vec::new(),
            drained_upstream: None,
            pins: Vec::new(),
            platform_up: true,
            messages: Vec::new(),
            max_epoch: BTreeMap::new(),
        };
        (0..INSTANCES).for_each(|n| this.add_instance(Clock::nth(n)));
        (0..UPSTREAMS).for_each(|u| this.add_process(u));
        this.instances[0].standby.start_unlisted_takeover(0);
        this
    }

    fn new_id(&mut self) -> u64 {
        self.next_id += 1;
        self.next_id
    }

    fn add_instance(&mut self, clock: Clock) {
        let id = self.new_id();
        let standby = Standby::new(id, CELL, TIMING, Enforcer::Owners);
        self.instances.push(Instance { id, clock, standby, controller: None });
    }

    fn add_process(&mut self, upstream: usize) {
        let boot = self.new_id();
        let clock = Clock::nth(upstream + self.processes.len());
        self.processes.push(Process { upstream, clock, holder: GrantHolder::new(boot) });
    }

    fn latest_owner(&self, upstream: usize) -> Owner {
        let latest = self.processes.iter().rev().find(|p| p.upstream == upstream).unwrap();
        Owner { upstream: upstream_name(upstream), boot: latest.holder.boot() }
    }

    fn apply(&mut self, step: &Step) {
        match step {
            Step::Advance(ms) => self.now += ms,
            Step::RunInstance(i, draw) => self.run_instance(i.index(self.instances.len()), *draw),
            Step::Deliver(i) => self.take_message(*i, |s, m| s.deliver(m, false)),
            Step::DropMessage(i) => self.take_message(*i, |s, m| s.drop_message(&m)),
            Step::DeliverLosingResult(i) => self.take_message(*i, |s, m| s.deliver(m, true)),
            Step::CrashInstance(i) => {
                let n = i.index(self.instances.len());
                let clock = self.instances.remove(n).clock;
                self.add_instance(clock);
            }
            Step::RestartUpstream(i) => self.add_process(i.index(UPSTREAMS)),
            Step::UnlistedTakeover(i) => {
                let n = i.index(self.instances.len());
                let lost_term = self.row.term;
                if self.instances[n].controller.is_none() {
                    self.instances[n].standby.start_unlisted_takeover(lost_term);
                }
            }
            Step::HandOver(i) => self.hand_over(i.index(self.instances.len())),
            Step::TogglePin(i) => self.toggle_pin(KEYS[i.index(KEYS.len())]),
            Step::DrainUpstream(i) => self.drained_upstream = Some(i.index(UPSTREAMS + 1)),
            Step::SetPlatformUp(up) => self.platform_up = *up,
        }
    }

    fn take_message(&mut self, i: Index, f: impl FnOnce(&mut Self, Msg)) {
        if !self.messages.is_empty() {
            let msg = self.messages.remove(i.index(self.messages.len()));
            f(self, msg);
        }
    }

    fn toggle_pin(&mut self, key: &str) {
        match self.pins.iter_mut().find(|p| &***p == key) {
            Some(pin) => *pin = "".into(),
            None => self.pins.push(key.into()),
        }
    }

    fn hand_over(&mut self, n: usize) {
        let Some(c) = self.instances[n].controller.as_mut() else { return };
        let Some(to) = c.row().standbys.first().copied() else { return };
        if let Some(Action::HandOver { to, term }) = c.resign(to) {
            self.messages.push(Msg::HandOver { to, term });
        }
    }

    /// Polls an instance and, if `draw` is less than 8, delivers its messages at once; else they
    /// stay in the network.
    fn run_instance(&mut self, n: usize, draw: u8) {
        let before = self.messages.len();
        self.poll_instance(n);
        if draw < 8 {
            // Replies to delivered messages are delivered too.
            for _ in 0..3 {
                for msg in self.messages.split_off(before.min(self.messages.len())) {
                    self.deliver(msg, false);
                }
            }
        }
    }

    fn poll_instance(&mut self, n: usize) {
        let now = self.instances[n].clock.read(self.now);
        let ids: Vec<InstanceId> = self.instances.iter().map(|i| i.id).collect();
        let me = self.instances[n].id;
        let others: Vec<InstanceId> = ids.into_iter().filter(|id| *id != me).collect();
        if self.instances[n].controller.as_ref().is_some_and(Controller::has_ended) {
            self.instances[n].controller = None;
        }
        if self.instances[n].controller.is_some() {
            self.poll_controller(n, now, others);
            return;
        }
        let standby = &mut self.instances[n].standby;
        standby.set_wanted_standbys(others);
        match standby.poll(now) {
            Some(StandbyAction::ReadRow) if !self.platform_up => standby.on_read_failed(now),
            Some(StandbyAction::ReadRow) => {
                let row = (self.version > 0).then(|| self.row.clone());
                let controller = standby.on_read(now, self.version, row);
                self.take_control(n, controller);
            }
            Some(StandbyAction::WriteRow { expected, row }) => {
                self.messages.push(Msg::Write { from: me, term: None, expected, row });
            }
            None => {}
        }
    }

    fn poll_controller(&mut self, n: usize, now: u64, others: Vec<InstanceId>) {
        let live: Vec<Owner> = (0..UPSTREAMS)
            .filter(|u| Some(*u) != self.drained_upstream)
            .map(|u| self.latest_owner(u))
            .collect();
        let pin_count = u32::try_from(self.pins.len()).unwrap();
        let slots: Vec<SlotId> = (0..SLOTS + pin_count).collect();
        let (pins, up) = (self.pins.clone(), self.platform_up);
        let me = self.instances[n].id;
        let c = self.instances[n].controller.as_mut().unwrap();
        let none = BTreeMap::new();
        let intended = c.wanted_owners();
        let input = PlacementInput {
            slots: &slots,
            intended,
            live_owners: &live,
            pinned: &none,
            move_budget: 1,
        };
        let wanted = place_slots(c.row(), &input);
        c.set_wanted_owners(wanted);
        let mut affected = slots_affected_by_pins(SERVICE, SLOTS, &c.row().pins, &pins);
        if self.bug == InjectedBug::PinsWithoutNewEpochs {
            affected.clear();
        }
        c.set_wanted_pins(pins, affected);
        c.set_wanted_standbys(others);
        c.set_platform_up(up);
        let term = c.row().term;
        for action in c.poll(now) {
            match action {
                Action::SendGrant { to, grant } => {
                    self.messages.push(Msg::Grant { from: me, to, grant });
                }
                Action::RequestPromise { to, request } => {
                    self.messages.push(Msg::PromiseRequest { from: me, to, request });
                }
                Action::HandOver { to, term } => self.messages.push(Msg::HandOver { to, term }),
                Action::WriteRow { expected, row } => {
                    self.messages.push(Msg::Write { from: me, term: Some(term), expected, row });
                }
                Action::ReadRow => {
                    let read = self.platform_up.then(|| (self.version, self.row.clone()));
                    self.instances[n].controller.as_mut().unwrap().on_read(read);
                }
            }
        }
    }

    fn take_control(&mut self, n: usize, controller: Option<Controller>) {
        if controller.is_some() {
            self.instances[n].controller = controller;
        }
    }

    fn instance_index(&mut self, id: InstanceId) -> Option<usize> {
        self.instances.iter().position(|i| i.id == id)
    }

    fn controller(&mut self, id: InstanceId, term: u64) -> Option<&mut Controller> {
        let n = self.instance_index(id)?;
        self.instances[n].controller.as_mut().filter(|c| c.row().term == term)
    }

    fn drop_message(&mut self, msg: &Msg) {
        // The sender of a write waits for its result, and times out if the write is lost.
        if let Msg::Write { from, term, .. } = msg {
            self.report_write(*from, *term, WriteResult::Unknown);
        }
    }

    fn deliver(&mut self, msg: Msg, lose_result: bool) {
        match msg {
            Msg::Grant { from, to, mut grant } => {
                let now = self.now;
                let term = grant.term;
                let process = self.processes.iter_mut().find(|p| p.holder.boot() == to.boot);
                let Some(p) = process else { return };
                if self.bug == InjectedBug::ExpiryFromReceipt && grant.until > 0 {
                    grant.until = p.clock.read(now) + TIMING.lease_ms;
                }
                let reply = p.holder.on_grant(p.clock.read(now), &grant);
                self.messages.push(Msg::Reply { to: from, term, owner: to, reply });
            }
            Msg::Reply { to, term, owner, reply } => {
                let Some(n) = self.instance_index(to) else { return };
                let now = self.instances[n].clock.read(self.now);
                if let Some(c) = self.controller(to, term) {
                    c.on_grant_reply(now, &owner, &reply);
                }
            }
            Msg::PromiseRequest { from, to, request } => {
                let Some(n) = self.instance_index(to) else { return };
                let now = self.instances[n].clock.read(self.now);
                let i = &mut self.instances[n];
                if i.controller.is_none() && i.standby.on_promise_request(now, &request) {
                    self.messages.push(Msg::Promise { from: to, to: from, request });
                }
            }
            Msg::Promise { from, to, request } => {
                if let Some(c) = self.controller(to, request.term) {
                    c.on_promise(from, &request);
                }
            }
            Msg::Write { from, term, expected, row } => {
                let mut result = WriteResult::Conflict;
                if !self.platform_up {
                    result = WriteResult::Unknown;
                } else if self.version == expected {
                    self.version += 1;
                    self.commit(row);
                    result = WriteResult::Committed(self.version);
                }
                let reported = if lose_result { WriteResult::Unknown } else { result };
                self.report_write(from, term, reported);
            }
            Msg::HandOver { to, term } => {
                let Some(n) = self.instance_index(to) else { return };
                let now = self.instances[n].clock.read(self.now);
                self.instances[n].standby.on_hand_over(now, term);
            }
        }
    }

    fn report_write(&mut self, from: InstanceId, term: Option<u64>, result: WriteResult) {
        let Some(n) = self.instance_index(from) else { return };
        if let Some(term) = term {
            if let Some(c) = self.controller(from, term) {
                c.on_write(result);
            }
        } else {
            let controller = self.instances[n].standby.on_write(result);
            self.take_control(n, controller);
        }
    }

    fn commit(&mut self, row: CellRow) {
        for (slot, a) in &row.slots {
            let max = self.max_epoch.entry(*slot).or_default();
            assert!(a.epoch >= *max, "epoch of slot {slot} fell from {max} to {}", a.epoch);
            *max = a.epoch;
        }
        for key in KEYS {
            let slot = slot_of(SERVICE, key, SLOTS, &row.pins);
            if let Some(a) = row.slots.get(&slot) {
                self.routes.entry(key).or_default().insert((slot, a.epoch));
            }
        }
        assert!(row.term >= self.row.term, "term fell");
        self.row = row;
    }

    fn assert_one_owner(&self) {
        let mut holders: BTreeMap<SlotId, Vec<u64>> = BTreeMap::new();
        let mut keys: BTreeMap<&str, BTreeSet<u64>> = BTreeMap::new();
        for p in &self.processes {
            for g in p.holder.held_slots(p.clock.read(self.now)) {
                holders.entry(g.slot).or_default().push(p.holder.boot());
                for (key, routes) in &self.routes {
                    if routes.contains(&(g.slot, g.epoch)) {
                        keys.entry(key).or_default().insert(p.holder.boot());
                    }
                }
            }
        }
        for (slot, boots) in holders {
            assert!(boots.len() == 1, "slot {slot} is held by {boots:?}");
        }
        for (key, boots) in keys {
            assert!(boots.len() == 1, "key {key} is served by {boots:?}");
        }
    }
}

impl StateMachineTest for System {
    type SystemUnderTest = Self;
    type Reference = EmptyReference;

    fn init_test((): &()) -> Self {
        Self::new(InjectedBug::None)
    }

    fn apply(mut state: Self, (): &(), step: Step) -> Self {
        System::apply(&mut state, &step);
        state
    }

    fn check_invariants(state: &Self, (): &()) {
        state.assert_one_owner();
    }
}

fn config() -> ProptestConfig {
    let cases = std::env::var("PROPTEST_CASES").ok().and_then(|c| c.parse().ok()).unwrap_or(64);
    ProptestConfig {
        cases,
        rng_seed: RngSeed::Fixed(2_026),
        failure_persistence: None,
        max_shrink_iters: 20_000,
        ..ProptestConfig::default()
    }
}

prop_state_machine! {
    #![proptest_config(config())]
    #[test]
    fn keys_have_one_owner(sequential 200..1200 => System);
}

/// Runs fixed sequences of steps and returns the systems in their final states.
fn run_sequences(count: usize, bug: InjectedBug) -> Vec<System> {
    let mut runner = proptest::test_runner::TestRunner::new(config());
    let run_one = |_| {
        let strategy = EmptyReference::sequential_strategy(800..1200);
        let ((), steps, _) = strategy.new_tree(&mut runner).unwrap().current();
        let mut system = System::new(bug);
        for step in &steps {
            system.apply(step);
            system.assert_one_owner();
        }
        system
    };
    (0..count).map(run_one).collect()
}

/// Guards against sequences that reach no moves, takeovers or pins, and so test nothing.
#[test]
fn runs_reach_moves_takeovers_and_pins() {
    let systems = run_sequences(16, InjectedBug::None);
    let epoch = systems.iter().flat_map(|s| s.max_epoch.values()).max().unwrap();
    let term = systems.iter().map(|s| s.row.term).max().unwrap();
    let pins = systems.iter().map(|s| s.row.pins.len()).max().unwrap();
    println!("highest epoch {epoch}, highest term {term}, most pins {pins}");
    assert!(*epoch >= 4 && term >= 4 && pins >= 2);
}

macro_rules! finds_bug {
    ($($name:ident: $bug:ident;)*) => {
        $(#[test] fn $name() {
            let outcome = std::panic::catch_unwind(|| run_sequences(400, InjectedBug::$bug));
            let text = outcome.expect_err("the injected bug was not found");
            println!("{:?}", text.downcast_ref::<String>());
        })*
    };
}

finds_bug! {
    finds_expiry_from_receipt: ExpiryFromReceipt;
    finds_pins_without_new_epochs: PinsWithoutNewEpochs;
}
