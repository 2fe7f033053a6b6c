//! The coordinator against simulated upstreams that follow the platform's rules for grants:
//! exhaustive search over short sequences of steps, and random longer ones.
//!
//! The checks do not rely on the coordinator: no key is ever held by two upstreams, a key moves to
//! another upstream with a higher fence only, and the committed fence of a key never decreases.

use mulberryspur::{
    coordinator::{
        Coordinator, GrantOrder, GrantTimes, OrderId, OrderOutcome, Reassignment, ReleaseOrder,
    },
    keymap::{KeyMap, KeyRange, Owner, Span},
    revision,
};
use proptest::prelude::*;
use std::{collections::BTreeMap, sync::Arc};

const TIMES: GrantTimes =
    GrantTimes { hold: 4_500, outage_hold: 10_000, renew_interval: 1_200, retry_delay: 250 };
/// Transit time in milliseconds of an order that arrives as late as possible.
const TRANSIT_MS: u64 = 400;
/// Start of the simulated time in milliseconds: longer than any grant lasts, so that a grant sent
/// at 0 has expired.
const START_MS: u64 = 20_000;
/// The keys that are checked, one in each of the ranges that are moved.
const KEYS: [u16; 2] = [10, 20_000];

/// A key at an upstream: highest fence seen, fence of the last grant, and until when it is held.
#[derive(Debug, Clone, Copy, Default)]
struct KeyState {
    fence: u64,
    granted_fence: u64,
    until: u64,
}

#[derive(Debug, Clone)]
struct Upstream {
    owner: Owner,
    /// The incarnation that the coordinator knows.
    listed: Owner,
    /// How much slower its clock runs, in thousandths.
    drift: u64,
    reachable: bool,
    keys: BTreeMap<u16, KeyState>,
    /// Grants that arrived and are carried out later, with the time of their arrival.
    late: Vec<(u64, GrantOrder)>,
}

impl Upstream {
    fn grant(&mut self, arrived: u64, order: &GrantOrder) -> bool {
        let granted_keys = KEYS.into_iter().filter(|k| order.range.contains(*k));
        let held = &mut self.keys;
        if granted_keys.clone().any(|k| held.get(&k).is_some_and(|c| c.fence > order.fence)) {
            return false;
        }
        let until = arrived + order.hold + order.hold * self.drift / 1_000;
        for key in granted_keys {
            let key_state = held.entry(key).or_default();
            key_state.fence = order.fence;
            key_state.granted_fence = order.fence;
            key_state.until = key_state.until.max(until);
        }
        true
    }

    /// Ends what it holds of the keys; `fences` tells whether it counts the fence as seen.
    fn release(&mut self, order: &ReleaseOrder, fences: bool) {
        for key in KEYS.into_iter().filter(|k| order.range.contains(*k)) {
            let key_state = self.keys.entry(key).or_default();
            key_state.until = 0;
            if fences {
                key_state.fence = order.fence.max(key_state.fence);
            }
        }
    }

    fn holds(&self, now: u64, key: u16) -> bool {
        self.keys.get(&key).is_some_and(|c| c.until > now)
    }
}

/// Violations of the protocol, each of which the checks must detect.
#[derive(Debug, Clone, Copy, PartialEq)]
enum InjectedBug {
    None,
    /// A released key is free although a grant for it is unanswered.
    IgnoresUnansweredGrants,
    /// A new coordinator assumes that its predecessor's grants have expired.
    IgnoresPredecessor,
    /// Upstreams' clocks run slower than assumed.
    ExcessiveDrift,
    /// A new coordinator relies on the owners in a copy of the store.
    TrustsCopy,
    /// Once all earlier grants have expired, a new coordinator grants the keys of the copy's owners
    /// with the copy's fences.
    GrantsCopyFences,
    /// A sweep counts upstreams that it did not reach.
    SweepIgnoresSilence,
    /// A sweep begins while grants of the predecessor are in transit.
    SweepsAtOnce,
    /// Upstreams do not count the fence of a release as seen.
    ReleaseDoesNotFence,
    /// A coordinator that gives the lease back tells that none of its grants lasts.
    GivesBackWithoutGrants,
}

struct Simulation {
    now: u64,
    coordinator: Coordinator,
    upstreams: Vec<Upstream>,
    /// The store: committed owners and their revision.
    store: (KeyMap, u64),
    /// Earlier committed owners and their revisions, which the store may go back to.
    history: Vec<(KeyMap, u64)>,
    revision: u64,
    /// Latest committed fence of each key.
    fences: BTreeMap<u16, u64>,
    /// Highest fence with which each upstream has accepted a key.
    accepted_fences: BTreeMap<(u16, Arc<str>), u64>,
    /// Until when commits are not answered.
    unanswered_until: u64,
    /// A commit that has not been answered, and whether it was carried out.
    unanswered_commit: Option<(KeyMap, bool)>,
    /// Whether commits that get no answer are carried out.
    carry_out_lost: bool,
    /// When the coordinator took over from a copy of the store, until its next commit.
    took_over_copy_at: Option<u64>,
    /// Grants that are in transit, and answered when they arrive.
    in_transit: Vec<GrantOrder>,
    /// Grants of the predecessor that are in transit.
    predecessor_in_transit: Vec<GrantOrder>,
    bug: InjectedBug,
}

/// A step of the simulation.
#[derive(Debug, Clone)]
enum Step {
    /// Time passes, in milliseconds.
    Wait(u64),
    /// The part of the keys with this index moves to the upstream with the second index.
    Move(usize, usize),
    /// The same, but only until just before the release is sent.
    BeginMove(usize, usize),
    /// All grants are sent again, with this delivery.
    Deliver(Delivery),
    /// The store does not answer, so that grants last longer.
    Outage,
    Disconnect(usize),
    Reconnect(usize),
    /// An upstream starts again under its identity. Grants name that only, so it may accept those
    /// that were meant for the incarnation before.
    Restart(usize),
    /// The coordinator learns of the current incarnation of an upstream.
    List(usize),
    /// Another instance takes the lease over and becomes the coordinator.
    Takeover,
    /// The same, after the coordinator has given the lease back with the end of its grants.
    GiveBack,
    /// The store goes back by some commits, while the coordinator's lease is valid.
    Restore(usize),
    /// The same, and another instance becomes the coordinator.
    RestoreAndTakeover(usize),
    FailCommit,
    /// Commits get no answer for a time in milliseconds; the first one is carried out or not.
    LoseCommitAnswers(u64, bool),
    /// The coordinator is suspended for a time in milliseconds, and then commits before anything
    /// else.
    Stall(u64),
}

#[derive(Debug, Clone, Copy, PartialEq)]
enum Delivery {
    Answered,
    Lost,
    AnswerLost,
    CarriedOutLate,
    /// The grant arrives with a later step, and is answered then.
    InTransit,
}

impl Simulation {
    fn new(bug: InjectedBug) -> Self {
        let upstreams = (0..3u64)
            .map(|n| Upstream {
                owner: Owner { id: format!("u{n}").into(), started: 1 },
                listed: Owner { id: format!("u{n}").into(), started: 1 },
                drift: if bug == InjectedBug::ExcessiveDrift { 300 } else { n * 10 },
                reachable: true,
                keys: BTreeMap::new(),
                late: Vec::new(),
            })
            .collect();
        let coordinator = Coordinator::new(START_MS, TIMES, KeyMap::default(), 0);
        let store = (KeyMap::default(), 0);
        let fences = BTreeMap::new();
        let mut sim = Self {
            now: START_MS,
            coordinator,
            upstreams,
            store,
            history: Vec::new(),
            revision: 0,
            fences,
            accepted_fences: BTreeMap::new(),
            unanswered_until: 0,
            unanswered_commit: None,
            carry_out_lost: false,
            took_over_copy_at: None,
            in_transit: Vec::new(),
            predecessor_in_transit: Vec::new(),
            bug,
        };
        let to = sim.upstreams[0].owner.clone();
        sim.coordinator.reassign(
            START_MS,
            &Reassignment { range: KeyRange::new(0, u16::MAX), to, owner_lost: false },
        );
        sim.send_due_orders(Delivery::Answered);
        sim
    }

    fn upstream(&mut self, owner: &Owner) -> Option<&mut Upstream> {
        self.upstreams.iter_mut().find(|u| u.owner.id == owner.id)
    }

    /// Sends the orders that are due, and commits owners if any key is free for its new owner.
    fn send_due_orders(&mut self, delivery: Delivery) {
        let current: Vec<Owner> = self.upstreams.iter().map(|u| u.listed.clone()).collect();
        self.coordinator
            .on_owners_restarted(|o| current.iter().any(|e| e.id == o.id && e.started > o.started));
        for order in self.coordinator.due_releases(self.now) {
            self.send_release(&order);
        }
        for order in self.coordinator.due_sweep_releases(self.now, &current) {
            self.send_release(&order);
        }
        self.commit_if_due();
        for order in self.coordinator.due_grants(self.now, false) {
            self.send_grant(order, delivery);
        }
        if self.bug == InjectedBug::GrantsCopyFences {
            self.grant_copied_owners();
        }
        self.assert_at_most_one_holder();
    }

    fn grant_copied_owners(&mut self) {
        if self.took_over_copy_at.is_none_or(|t| self.now < t + 10_700) {
            return;
        }
        for s in self.coordinator.owners().spans.clone() {
            let (range, owner, fence, hold) = (s.range, s.owner, s.fence, TIMES.hold);
            let order = GrantOrder { id: 0, range, owner, fence, hold, handover: None };
            self.send_grant(order, Delivery::Answered);
        }
    }

    /// Commits owners if any key is free for its new owner. As long as a commit is not answered, it
    /// is the only one.
    fn commit_if_due(&mut self) {
        if self.unanswered_commit.is_none() {
            let Some(map) = self.coordinator.next_commit(self.now) else {
                return;
            };
            self.unanswered_commit = Some((map, false));
        }
        let lost = self.now < self.unanswered_until;
        let Some((map, done)) = self.unanswered_commit.take() else {
            return;
        };
        match (lost, done) {
            (true, _) => {
                let done = done || self.carry_out_lost;
                if done && self.store.0 != map {
                    self.store_owners(map.clone());
                }
                self.unanswered_commit = Some((map, done));
            }
            (false, true) => self.coordinator.on_committed(map, self.revision),
            (false, false) => self.commit(map),
        }
    }

    fn commit(&mut self, map: KeyMap) {
        self.store_owners(map.clone());
        self.coordinator.on_committed(map, self.revision);
        self.took_over_copy_at = None;
    }

    fn store_owners(&mut self, map: KeyMap) {
        self.revision += 1;
        for span in &map.spans {
            for key in KEYS.into_iter().filter(|k| span.range.contains(*k)) {
                let fence = self.fences.entry(key).or_default();
                assert!(span.fence >= *fence, "fence of {key} fell from {fence} to {}", span.fence);
                *fence = span.fence;
            }
        }
        let previous = std::mem::replace(&mut self.store, (map, self.revision));
        self.history.push(previous);
    }

    /// Takes the store back by some commits; the numbers of their revisions are given out again.
    fn restore(&mut self, commits: usize) {
        self.unanswered_commit = None;
        let generation = revision::generation(self.revision) + 1;
        let index = self.history.len().saturating_sub(commits);
        if let Some(copy) = self.history.drain(index..).next() {
            self.store = copy;
        }
        self.store.1 = revision::new(generation, revision::number(self.store.1));
        self.revision = self.store.1;
    }

    fn send_release(&mut self, order: &ReleaseOrder) {
        let now = self.now;
        let fences = self.bug != InjectedBug::ReleaseDoesNotFence;
        let ignores_silence = self.bug == InjectedBug::SweepIgnoresSilence;
        let ignores_unanswered = self.bug == InjectedBug::IgnoresUnansweredGrants;
        let outcome = match self.upstream(&order.owner).filter(|u| u.reachable) {
            Some(u) => {
                u.release(order, fences);
                OrderOutcome::Done(None)
            }
            None if ignores_silence => OrderOutcome::Done(None),
            None => OrderOutcome::NotSent,
        };
        if ignores_unanswered && outcome != OrderOutcome::NotSent {
            self.confirm_all_grants(now);
        }
        self.coordinator.on_release_outcome(now, order.id, &outcome);
    }

    /// Tells the coordinator, falsely, that all grants have succeeded.
    fn confirm_all_grants(&mut self, now: u64) {
        for id in 1..2_000 as OrderId {
            self.coordinator.on_grant_outcome(now, id, &OrderOutcome::Done(None));
        }
    }

    /// Delivers the grants of the predecessor that are in transit.
    fn deliver_predecessors_grants(&mut self) {
        let now = self.now;
        for order in std::mem::take(&mut self.predecessor_in_transit) {
            if let Some(u) = self.upstream(&order.owner).filter(|u| u.reachable) {
                u.grant(now, &order);
            }
        }
    }

    /// Delivers the grants in transit.
    fn deliver_in_transit(&mut self) {
        let now = self.now;
        self.deliver_predecessors_grants();
        for order in std::mem::take(&mut self.in_transit) {
            let id = order.id;
            let reached = self.upstream(&order.owner).filter(|u| u.reachable);
            let outcome = match reached.map(|u| u.grant(now, &order)) {
                Some(true) => {
                    self.record_accepted(&order);
                    OrderOutcome::Done(None)
                }
                Some(false) => OrderOutcome::Refused,
                None => OrderOutcome::Unknown,
            };
            self.coordinator.on_grant_outcome(now, id, &outcome);
        }
    }

    fn send_grant(&mut self, order: GrantOrder, delivery: Delivery) {
        let now = self.now;
        let id = order.id;
        if delivery == Delivery::InTransit {
            self.in_transit.push(order);
            return;
        }
        let outcome = match self.upstream(&order.owner).filter(|u| u.reachable) {
            None => OrderOutcome::NotSent,
            Some(_) if delivery == Delivery::Lost => OrderOutcome::Unknown,
            Some(u) if delivery == Delivery::CarriedOutLate => {
                u.late.push((now + TRANSIT_MS, order));
                OrderOutcome::Unknown
            }
            Some(u) => {
                let accepted = u.grant(now + TRANSIT_MS, &order);
                if accepted {
                    self.record_accepted(&order);
                }
                match (accepted, delivery) {
                    (_, Delivery::AnswerLost) => OrderOutcome::Unknown,
                    (true, _) => OrderOutcome::Done(None),
                    (false, _) => OrderOutcome::Refused,
                }
            }
        };
        self.coordinator.on_grant_outcome(now, id, &outcome);
    }

    /// Checks that no other upstream has accepted the keys with an equal or higher fence. Grants that
    /// are carried out late do not count.
    fn record_accepted(&mut self, order: &GrantOrder) {
        for key in KEYS.into_iter().filter(|k| order.range.contains(*k)) {
            let id = &order.owner.id;
            let elsewhere =
                self.accepted_fences.iter().filter(|((k, other), _)| *k == key && other != id);
            let highest = elsewhere.map(|(_, fence)| *fence).max().unwrap_or(0);
            let fence = order.fence;
            assert!(fence > highest, "key {key} moved with fence {fence} after {highest}");
            let accepted = self.accepted_fences.entry((key, id.clone())).or_default();
            *accepted = fence.max(*accepted);
        }
    }

    fn apply(&mut self, step: &Step) {
        match step {
            Step::Wait(ms) => {
                self.now += (*ms).min(TRANSIT_MS);
                self.deliver_in_transit();
                self.now += ms.saturating_sub(TRANSIT_MS);
                self.carry_out_late();
                self.send_due_orders(Delivery::Answered);
            }
            Step::Move(part, to) => {
                // Releases are sent a moment after the move has been announced to the instances.
                self.reassign(*part, *to);
                self.now += 20;
                self.send_due_orders(Delivery::Answered);
                self.deliver_in_transit();
                self.send_due_orders(Delivery::Answered);
            }
            Step::BeginMove(part, to) => {
                self.reassign(*part, *to);
                self.send_due_orders(Delivery::Answered);
            }
            Step::Deliver(delivery) => {
                self.coordinator.renew_all();
                self.send_due_orders(*delivery);
            }
            Step::Outage => {
                self.coordinator.renew_all();
                for order in self.coordinator.due_grants(self.now, true) {
                    self.send_grant(order, Delivery::Answered);
                }
            }
            Step::Disconnect(n) => self.upstreams[*n].reachable = false,
            Step::Reconnect(n) => self.upstreams[*n].reachable = true,
            Step::Restart(n) => {
                let u = &mut self.upstreams[*n];
                u.owner.started += 1;
                u.keys.clear();
                u.late.clear();
            }
            Step::List(n) => {
                self.upstreams[*n].listed = self.upstreams[*n].owner.clone();
                self.send_due_orders(Delivery::Answered);
            }
            Step::Takeover => {
                self.deliver_in_transit();
                self.unanswered_commit = None;
                let (map, revision) = self.store.clone();
                // The predecessor sends no more orders, but its grants still last.
                let takeover_at =
                    if self.bug == InjectedBug::IgnoresPredecessor { 0 } else { self.now };
                self.coordinator = if map.is_certain_at(revision) {
                    Coordinator::new(takeover_at, TIMES, map, revision)
                } else {
                    self.took_over_copy_at = Some(self.now);
                    Coordinator::with_uncertain_owners(takeover_at, TIMES, map, revision)
                };
                self.send_due_orders(Delivery::Answered);
            }
            Step::GiveBack => self.give_back(),
            Step::Restore(commits) => {
                self.restore(*commits);
                self.coordinator.on_store_restored(self.store.1);
                self.send_due_orders(Delivery::Answered);
            }
            Step::RestoreAndTakeover(commits) => {
                self.restore(*commits);
                self.predecessor_in_transit.append(&mut self.in_transit);
                self.took_over_copy_at = Some(self.now);
                let (map, revision) = self.store.clone();
                self.coordinator = if self.bug == InjectedBug::TrustsCopy {
                    Coordinator::new(self.now, TIMES, map, revision)
                } else {
                    let early = if self.bug == InjectedBug::SweepsAtOnce { 500 } else { 0 };
                    Coordinator::with_uncertain_owners(self.now - early, TIMES, map, revision)
                };
                self.send_due_orders(Delivery::Answered);
            }
            Step::Stall(ms) => {
                self.now += (*ms).min(TRANSIT_MS);
                if *ms >= TRANSIT_MS {
                    self.deliver_predecessors_grants();
                }
                self.now += ms.saturating_sub(TRANSIT_MS);
                self.commit_if_due();
                self.send_due_orders(Delivery::Answered);
            }
            Step::LoseCommitAnswers(ms, carried_out) => {
                self.unanswered_until = self.now + ms;
                self.carry_out_lost = *carried_out;
            }
            Step::FailCommit => {
                if self.unanswered_commit.is_none()
                    && self.coordinator.next_commit(self.now).is_some()
                {
                    self.coordinator.on_commit_failed();
                }
            }
        }
        self.assert_at_most_one_holder();
    }

    /// The coordinator gives the lease back, and another instance takes it.
    fn give_back(&mut self) {
        let grants_end_ms = match self.bug {
            InjectedBug::GivesBackWithoutGrants => Some(0),
            _ => self.coordinator.grants_end_ms(self.now),
        };
        let (map, revision) = self.store.clone();
        let Some(ms) = grants_end_ms.filter(|_| map.is_certain_at(revision)) else {
            return self.apply(&Step::Takeover);
        };
        self.predecessor_in_transit.append(&mut self.in_transit);
        self.unanswered_commit = None;
        self.coordinator = Coordinator::new(self.now, TIMES, map, revision)
            .with_inherited_grants_end(self.now, ms);
        self.send_due_orders(Delivery::Answered);
    }

    fn reassign(&mut self, part: usize, to: usize) {
        let range = [KeyRange::new(0, 9_999), KeyRange::new(10_000, u16::MAX)][part];
        let to = self.upstreams[to].listed.clone();
        self.coordinator.reassign(self.now, &Reassignment { range, to, owner_lost: false });
    }

    /// Carries out late grants; they last from their arrival.
    fn carry_out_late(&mut self) {
        for u in &mut self.upstreams {
            for (arrived, order) in std::mem::take(&mut u.late) {
                u.grant(arrived, &order);
            }
        }
    }

    fn assert_at_most_one_holder(&self) {
        for key in KEYS {
            let holders: Vec<&Upstream> =
                self.upstreams.iter().filter(|u| u.holds(self.now, key)).collect();
            let names: Vec<&Owner> = holders.iter().map(|u| &u.owner).collect();
            assert!(names.len() <= 1, "key {key} has owners {names:?} at {}", self.now);
        }
    }
}

fn step() -> impl Strategy<Value = Step> {
    let delivery = prop_oneof![
        Just(Delivery::Answered),
        Just(Delivery::Lost),
        Just(Delivery::AnswerLost),
        Just(Delivery::CarriedOutLate),
        Just(Delivery::InTransit),
    ];
    prop_oneof![
        4 => (1u64..6_000).prop_map(Step::Wait),
        3 => (0usize..2, 0usize..3).prop_map(|(p, t)| Step::Move(p, t)),
        1 => (0usize..2, 0usize..3).prop_map(|(p, t)| Step::BeginMove(p, t)),
        3 => delivery.prop_map(Step::Deliver),
        1 => Just(Step::Outage),
        1 => (0usize..3).prop_map(Step::Disconnect),
        1 => (0usize..3).prop_map(Step::Reconnect),
        1 => (0usize..3).prop_map(Step::Restart),
        1 => (0usize..3).prop_map(Step::List),
        1 => Just(Step::Takeover),
        1 => Just(Step::GiveBack),
        1 => (1usize..4).prop_map(Step::Restore),
        1 => (1usize..4).prop_map(Step::RestoreAndTakeover),
        1 => Just(Step::FailCommit),
        1 => (1u64..8_000, any::<bool>()).prop_map(|(ms, done)| Step::LoseCommitAnswers(ms, done)),
        1 => (1u64..2_000).prop_map(Step::Stall),
    ]
}

fn run_steps(bug: InjectedBug, steps: &[Step]) {
    let mut sim = Simulation::new(bug);
    for s in steps {
        sim.apply(s);
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 20_000, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn key_never_has_two_owners(steps in prop::collection::vec(step(), 1..40)) {
        run_steps(InjectedBug::None, &steps);
    }
}

/// Runs all sequences of `depth` steps from a small set.
fn search(bug: InjectedBug, depth: usize) {
    let steps = [
        Step::Wait(700),
        Step::Wait(4_700),
        Step::Wait(10_800),
        Step::Move(0, 1),
        Step::Move(0, 0),
        Step::Deliver(Delivery::CarriedOutLate),
        Step::Deliver(Delivery::AnswerLost),
        Step::Deliver(Delivery::InTransit),
        Step::Outage,
        Step::Disconnect(0),
        Step::Reconnect(0),
        Step::Restart(0),
        Step::List(0),
        Step::Takeover,
        Step::GiveBack,
        Step::Restore(1),
        Step::RestoreAndTakeover(1),
        Step::BeginMove(0, 1),
        Step::Stall(900),
        Step::LoseCommitAnswers(11_000, false),
    ];
    let total = steps.len().pow(u32::try_from(depth).unwrap());
    for n in 0..total {
        let mut rest = n;
        let mut sequence = Vec::new();
        for _ in 0..depth {
            sequence.push(steps[rest % steps.len()].clone());
            rest /= steps.len();
        }
        // A panic message does not tell the sequence; the output of a failed test does.
        let result = std::panic::catch_unwind(|| run_steps(bug, &sequence));
        if let Err(cause) = result {
            println!("{sequence:?}");
            std::panic::resume_unwind(cause);
        }
    }
}

#[test]
fn no_short_sequence_gives_a_key_two_owners() {
    search(InjectedBug::None, 5);
}

macro_rules! injected_bugs {
    ($($name:ident: $bug:expr, $depth:expr, $message:expr;)*) => {$(
        #[test]
        #[should_panic(expected = $message)]
        fn $name() {
            search($bug, $depth);
        }
    )*};
}

injected_bugs! {
    search_finds_release_ignoring_unanswered_grants: InjectedBug::IgnoresUnansweredGrants, 4, "has owners";
    search_finds_takeover_ignoring_its_predecessor: InjectedBug::IgnoresPredecessor, 4, "has owners";
    search_finds_clock_slower_than_assumed: InjectedBug::ExcessiveDrift, 4, "has owners";
    search_finds_takeover_that_trusts_a_copy: InjectedBug::TrustsCopy, 4, "has owners";
    search_finds_sweep_ignoring_silence: InjectedBug::SweepIgnoresSilence, 5, "has owners";
    search_finds_sweep_beside_grants_in_transit: InjectedBug::SweepsAtOnce, 5, "has owners";
    search_finds_release_that_does_not_fence: InjectedBug::ReleaseDoesNotFence, 5, "has owners";
    search_finds_grants_that_outlast_the_lease: InjectedBug::GivesBackWithoutGrants, 4, "has owners";
    search_finds_grants_with_the_fences_of_a_copy: InjectedBug::GrantsCopyFences, 4, "moved with fence";
}

/// A takeover by itself moves no keys: the same owners are granted them again with the same fences,
/// and then committed with a new one.
#[test]
fn takeover_renews_without_moving() {
    let mut sim = Simulation::new(InjectedBug::None);
    let before = sim.store.clone();
    sim.now += 2_500;
    let (map, revision) = sim.store.clone();
    sim.coordinator = Coordinator::new(sim.now, TIMES, map, revision);
    let grants = sim.coordinator.due_grants(sim.now, false);
    assert_eq!(grants.len(), before.0.spans.len());
    assert!(grants.iter().all(|g| g.fence == before.0.spans[0].fence));
    // With a new fence, the owners refuse late grants of the predecessor.
    let map = sim.coordinator.next_commit(sim.now).expect("a commit with a new fence");
    let same =
        |(a, b): (&Span, &Span)| a.owner == b.owner && a.range == b.range && a.fence > b.fence;
    assert!(map.spans.iter().zip(&before.0.spans).all(same));
    sim.commit(map);
    sim.send_due_orders(Delivery::Answered);
    assert!(sim.coordinator.next_commit(sim.now).is_none());
}

/// After a takeover, keys of an owner that has accepted the new fence move without waiting for the
/// predecessor's grants to expire.
#[test]
fn takeover_does_not_delay_moves() {
    let mut sim = Simulation::new(InjectedBug::None);
    sim.apply(&Step::Wait(600));
    sim.apply(&Step::Takeover);
    sim.apply(&Step::Move(0, 1));
    sim.apply(&Step::Wait(50));
    let to = sim.upstreams[1].owner.clone();
    assert_eq!(sim.store.0.find(10).map(|s| s.owner.clone()), Some(to));
}

/// A release is not sent while a renewal for the same keys is in transit: it could arrive after the
/// release, and the old owner would hold the keys again.
#[test]
fn release_waits_for_grants_in_transit() {
    let mut sim = Simulation::new(InjectedBug::None);
    sim.apply(&Step::Deliver(Delivery::InTransit));
    sim.apply(&Step::Move(0, 1));
    sim.apply(&Step::Wait(50));
}

/// A new coordinator without committed owners commits and grants the first ones at once.
#[test]
fn first_owners_are_granted_at_once() {
    let mut coordinator = Coordinator::new(1_000, TIMES, KeyMap::default(), 0);
    let to = Owner { id: "u0".into(), started: 1 };
    coordinator.reassign(
        1_000,
        &Reassignment { range: KeyRange::new(0, u16::MAX), to, owner_lost: false },
    );
    let map = coordinator.next_commit(1_000).expect("keys without an owner are free");
    coordinator.on_committed(map, 14);
    assert_eq!(coordinator.due_grants(1_000, false).len(), 1);
    let to = Owner { id: "u1".into(), started: 1 };
    coordinator
        .reassign(1_100, &Reassignment { range: KeyRange::new(0, 99), to, owner_lost: false });
    let grant = OrderId::from(1u8);
    coordinator.on_grant_outcome(1_100, grant, &OrderOutcome::Done(None));
    let release = coordinator.due_releases(1_120);
    coordinator.on_release_outcome(1_150, release[0].id, &OrderOutcome::Done(Some("warm".into())));
    let map = coordinator.next_commit(1_150).expect("a released key is free at once");
    assert_eq!(map.spans[0].handover.as_deref(), Some("warm"));
}

/// An owner that seemed lost and recovers before a release has been sent keeps its keys.
#[test]
fn recovered_owner_keeps_its_keys() {
    let mut sim = Simulation::new(InjectedBug::None);
    sim.apply(&Step::Disconnect(0));
    let to = sim.upstreams[1].owner.clone();
    let change = Reassignment { range: KeyRange::new(0, u16::MAX), to, owner_lost: true };
    sim.coordinator.reassign(sim.now, &change);
    sim.apply(&Step::Wait(100));
    assert_eq!(sim.coordinator.moving_ranges().len(), 1);
    sim.apply(&Step::Reconnect(0));
    let owner = sim.upstreams[0].owner.clone();
    sim.coordinator.on_owners_recovered(|o| *o == owner);
    assert!(sim.coordinator.moving_ranges().is_empty());
    sim.apply(&Step::Wait(1_300));
    assert_eq!(sim.store.0.find(10).map(|s| s.owner.clone()), Some(owner));
    assert!(sim.upstreams[0].holds(sim.now, 10));
}

/// An owner that was unreachable during a takeover accepts the new fence once it is reachable, and
/// its keys move without waiting for the predecessor's grants to expire.
#[test]
fn owner_is_fenced_before_it_releases() {
    let mut sim = Simulation::new(InjectedBug::None);
    sim.apply(&Step::Disconnect(0));
    sim.apply(&Step::Takeover);
    sim.apply(&Step::Move(0, 1));
    sim.apply(&Step::Wait(1_000));
    sim.apply(&Step::Reconnect(0));
    for _ in 0..4 {
        sim.apply(&Step::Wait(400));
    }
    let to = sim.upstreams[1].owner.clone();
    assert_eq!(sim.store.0.find(10).map(|s| s.owner.clone()), Some(to));
}

/// An owner that has accepted the new fence refuses the predecessor's grants, but still holds those
/// that it accepted before: without a release, its keys are free only once those have expired.
#[test]
fn fenced_owner_holds_what_the_predecessor_granted() {
    let mut sim = Simulation::new(InjectedBug::None);
    sim.apply(&Step::Outage);
    sim.apply(&Step::Takeover);
    sim.apply(&Step::BeginMove(0, 1));
    sim.apply(&Step::Disconnect(0));
    sim.apply(&Step::Wait(5_500));
    assert!(sim.upstreams[0].holds(sim.now, 10));
    let holder = sim.upstreams[0].owner.clone();
    assert_eq!(sim.store.0.find(10).map(|s| s.owner.clone()), Some(holder));
    sim.apply(&Step::Wait(6_000));
    let to = sim.upstreams[1].owner.clone();
    assert_eq!(sim.store.0.find(10).map(|s| s.owner.clone()), Some(to));
}

/// An owner that accepts the old fence again, and whose answer arrives only after the commit of the
/// new one, is not fenced: it may still accept grants of the predecessor, so keys that it released
/// are not granted to another upstream before those must have expired.
#[test]
fn late_answer_under_the_old_fence_does_not_fence() {
    run_steps(
        InjectedBug::None,
        &[
            Step::Disconnect(0),
            Step::Takeover,
            Step::Move(0, 1),
            Step::Deliver(Delivery::InTransit),
            Step::Reconnect(0),
            Step::Stall(736),
            Step::Move(0, 0),
        ],
    );
}

/// A coordinator that took over from a copy of the store, and whose commit is not answered, granted
/// the copy's owners their keys with the copy's fences, after another upstream had had a higher one.
#[test]
fn key_is_granted_with_the_fence_of_a_copy() {
    run_steps(
        InjectedBug::None,
        &[
            Step::Move(0, 1),
            Step::RestoreAndTakeover(1),
            Step::LoseCommitAnswers(11_000, false),
            Step::Wait(10_800),
        ],
    );
}

/// Where the committed owners cannot be read, no key is assigned before the longest possible grant
/// has expired.
#[test]
fn unreadable_owners_delay_the_first_commit() {
    let mut coordinator = Coordinator::with_uncertain_owners(START_MS, TIMES, KeyMap::default(), 7);
    let to = Owner { id: "u0".into(), started: 1 };
    let change = Reassignment { range: KeyRange::new(0, u16::MAX), to, owner_lost: false };
    coordinator.reassign(START_MS, &change);
    assert!(coordinator.next_commit(START_MS + TIMES.outage_hold).is_none());
    assert!(coordinator.next_commit(START_MS + TIMES.outage_hold + 700).is_some());
}

/// A coordinator whose lease is valid while the store is restored grants the same keys on, and
/// commits them again with fences above all earlier ones.
#[test]
fn owners_are_committed_again_after_the_store_is_restored() {
    let mut sim = Simulation::new(InjectedBug::None);
    sim.apply(&Step::Move(0, 1));
    let before = sim.store.0.clone();
    sim.restore(1);
    assert_ne!(sim.store.0, before);
    sim.coordinator.on_store_restored(sim.store.1);
    sim.send_due_orders(Delivery::Answered);
    assert!(sim.store.0.spans.iter().zip(&before.spans).all(|(a, b)| a.owner == b.owner));
    assert!(sim.store.0.spans.iter().all(|s| s.fence > before.latest_fence()));
}

/// Keys of an upstream that has started again at another address, which no grant for the incarnation
/// before reaches, are free at once; so are keys for the later incarnation itself.
#[test]
fn keys_of_an_ended_incarnation_wait_for_its_grants() {
    for (restarted, to) in [(false, 1), (true, 0)] {
        let mut sim = Simulation::new(InjectedBug::None);
        let ended = sim.upstreams[0].owner.clone();
        sim.upstreams[0].owner.started += 1;
        let to = sim.upstreams[to].owner.clone();
        let change = Reassignment { range: KeyRange::new(0, u16::MAX), to, owner_lost: true };
        sim.coordinator.reassign(sim.now, &change);
        if restarted {
            sim.coordinator.on_owners_restarted(|o| *o == ended);
        } else {
            sim.coordinator.on_owners_ended(|o| *o == ended);
        }
        assert!(sim.coordinator.next_commit(sim.now).is_some(), "restarted: {restarted}");
    }
}

/// After the loss of a third of the upstreams, grants to them were sent again every 250 ms, and their
/// number kept those of others from being sent and answered in time.
#[test]
fn grants_to_lost_upstreams_delay_others() {
    const RANGES: u16 = 60;
    let width = u16::MAX / RANGES;
    let is_lost = |o: &Owner| o.id.as_bytes()[1].is_multiple_of(3);
    let mut coordinator =
        Coordinator::new(1_000, TIMES, KeyMap::default(), 0).with_max_in_flight(25);
    for n in 0..RANGES {
        let to = Owner {
            id: format!("u{}", char::from(40 + u8::try_from(n).unwrap())).into(),
            started: 1,
        };
        let range = KeyRange::new(n * width, n * width + width - 1);
        coordinator.reassign(1_000, &Reassignment { range, to, owner_lost: false });
    }
    let map = coordinator.next_commit(1_000).expect("keys without an owner are free");
    coordinator.on_committed(map, 1);
    let (mut pending, mut answered_at) = (Vec::new(), BTreeMap::new());
    let (mut to_lost, mut longest_gap) = (0, 0);
    for now in (1_000..11_000).step_by(20) {
        let ended: Vec<(u64, GrantOrder)> = pending.extract_if(.., |(at, _)| *at <= now).collect();
        for (_, order) in ended {
            if is_lost(&order.owner) {
                coordinator.on_grant_outcome(now, order.id, &OrderOutcome::Unknown);
            } else {
                coordinator.on_grant_outcome(now, order.id, &OrderOutcome::Done(None));
                let last = answered_at.insert(order.range, now).unwrap_or(1_000);
                longest_gap = longest_gap.max(now - last);
            }
        }
        for order in coordinator.due_grants(now, false) {
            to_lost += usize::from(is_lost(&order.owner));
            pending.push((now + if is_lost(&order.owner) { TRANSIT_MS } else { 20 }, order));
        }
        assert!(pending.len() <= 25, "{} grants in flight", pending.len());
    }
    assert_eq!(answered_at.len(), usize::from(RANGES) * 2 / 3);
    assert!(longest_gap < 2_000, "grants are renewed after {longest_gap} ms");
    // One in 1.6 s after the first ones, for each of the 20 ranges.
    assert!(to_lost <= 20 * 10, "{to_lost} grants to lost upstreams");
}

/// A third of the upstreams was lost about when the coordinator stopped: their keys waited for 10.7 s,
/// as grants could have been those of an outage of the store.
#[test]
fn lost_keys_wait_for_outage_grants_after_a_planned_stop() {
    let mut sim = Simulation::new(InjectedBug::None);
    sim.apply(&Step::Wait(100));
    sim.apply(&Step::Disconnect(0));
    sim.apply(&Step::GiveBack);
    sim.apply(&Step::Move(0, 1));
    let moved = |sim: &Simulation| sim.store.0.find(KEYS[0]).expect("an owner").owner.id.clone();
    for _ in 0..60 {
        sim.apply(&Step::Wait(100));
    }
    assert_eq!(moved(&sim), sim.upstreams[1].owner.id);
}

/// Guards against keys that stay without an owner for 10 s after a takeover although their owner has
/// ended: its orders met another upstream at its address, and were only sent again.
#[test]
fn order_that_met_another_upstream_frees_no_keys() {
    let mut sim = Simulation::new(InjectedBug::None);
    sim.apply(&Step::Wait(100));
    sim.apply(&Step::Takeover);
    let to = sim.upstreams[1].owner.clone();
    let range = KeyRange::new(0, 99);
    let change = Reassignment { range, to: to.clone(), owner_lost: true };
    sim.coordinator.reassign(sim.now, &change);
    let c = &mut sim.coordinator;
    for now in (sim.now..sim.now + 1_000).step_by(20) {
        for order in c.due_grants(now, false) {
            c.on_grant_outcome(now, order.id, &OrderOutcome::OtherUpstream);
        }
        for order in c.due_releases(now) {
            c.on_release_outcome(now, order.id, &OrderOutcome::OtherUpstream);
        }
        if let Some(map) = c.next_commit(now) {
            c.on_committed(map, c.revision() + 1);
        }
    }
    assert_eq!(c.owners().find(KEYS[0]).map(|s| s.owner.clone()), Some(to));
}
