//! Ownership through the coordinator: exhaustive search over small worlds, and random walks over larger
//! ones, against upstreams that follow the platform's rules for grants.
//!
//! The oracle is independent of the coordinator: a key never has two upstreams that would run a request
//! for it, and fences never fall.

use mulberryspur::{
    coordinator::{
        Coordinator, GrantOrder, GrantTimes, OrderId, OrderOutcome, Reassignment, ReleaseOrder,
    },
    keymap::{KeyMap, KeyRange, Owner, Span},
};
use proptest::prelude::*;
use std::collections::BTreeMap;

const TIMES: GrantTimes =
    GrantTimes { hold: 4_500, outage_hold: 10_000, renew_interval: 1_200, retry_delay: 250 };
/// Longest time on the way of an order that is not answered in time.
const TRANSIT: u64 = 400;
/// Beginning of time: later than any grant lasts, so that 0 is before every grant.
const START: u64 = 20_000;
const KEYS: [u16; 2] = [10, 20_000];

/// A key at an upstream: highest fence seen, and until when it is held.
#[derive(Debug, Clone, Copy, Default)]
struct Cell {
    fence: u64,
    held_by: u64,
    until: u64,
}

#[derive(Debug, Clone)]
struct Upstream {
    owner: Owner,
    /// How much slower its clock runs, in thousandths.
    drift: u64,
    reachable: bool,
    cells: BTreeMap<u16, Cell>,
    /// Grants that are carried out later, with the time at which they arrived.
    late: Vec<(u64, GrantOrder)>,
}

impl Upstream {
    fn grant(&mut self, arrived: u64, order: &GrantOrder) -> bool {
        let keys = KEYS.into_iter().filter(|k| order.range.contains(*k));
        let cells = &mut self.cells;
        if keys.clone().any(|k| cells.get(&k).is_some_and(|c| c.fence > order.fence)) {
            return false;
        }
        let until = arrived + order.hold + order.hold * self.drift / 1_000;
        for key in keys {
            let cell = cells.entry(key).or_default();
            cell.fence = order.fence;
            cell.held_by = order.fence;
            cell.until = cell.until.max(until);
        }
        true
    }

    fn release(&mut self, order: &ReleaseOrder) {
        for key in KEYS.into_iter().filter(|k| order.range.contains(*k)) {
            if let Some(cell) = self.cells.get_mut(&key) {
                cell.until = 0;
            }
        }
    }

    fn holds(&self, now: u64, key: u16) -> bool {
        self.cells.get(&key).is_some_and(|c| c.until > now)
    }
}

/// Ways to break the protocol on purpose, each of which the oracle must notice.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Mistake {
    None,
    /// A release counts although grants are not answered.
    ForgetsOpenGrants,
    /// A new coordinator counts on no grants of its predecessor.
    ForgetsPredecessor,
    /// Upstreams' clocks may be slower than assumed.
    MoreDrift,
}

struct World {
    now: u64,
    coordinator: Coordinator,
    upstreams: Vec<Upstream>,
    /// Committed owners and their revision: the store.
    store: (KeyMap, u64),
    revision: u64,
    fences: BTreeMap<u16, u64>,
    /// Grants that are on their way, and answered when they arrive.
    slow: Vec<GrantOrder>,
    mistake: Mistake,
}

/// One thing that happens.
#[derive(Debug, Clone)]
enum Step {
    Wait(u64),
    /// Keys should move to the upstream of this number.
    Move(usize, usize),
    /// The same, until just before their release is asked for.
    Begin(usize, usize),
    /// The next grants are lost, carried out late, or answered.
    Deliver(Delivery),
    /// The store does not answer, so that grants last longer.
    Outage,
    Cut(usize),
    Heal(usize),
    Restart(usize),
    /// Another instance takes the lease over.
    Takeover,
    CommitFails,
    /// The coordinator gets to do nothing for a while, and then commits before anything else.
    Stall(u64),
}

#[derive(Debug, Clone, Copy, PartialEq)]
enum Delivery {
    Answered,
    Lost,
    AnswerLost,
    Late,
    /// It arrives with the next step, and is answered then.
    Slow,
}

impl World {
    fn new(mistake: Mistake) -> Self {
        let upstreams = (0..3u64)
            .map(|n| Upstream {
                owner: Owner { id: format!("u{n}").into(), started: 1 },
                drift: if mistake == Mistake::MoreDrift { 300 } else { n * 10 },
                reachable: true,
                cells: BTreeMap::new(),
                late: Vec::new(),
            })
            .collect();
        let coordinator = Coordinator::new(START, TIMES, KeyMap::default(), 0);
        let store = (KeyMap::default(), 0);
        let fences = BTreeMap::new();
        let mut world = Self {
            now: START,
            coordinator,
            upstreams,
            store,
            revision: 0,
            fences,
            slow: Vec::new(),
            mistake,
        };
        let to = world.upstreams[0].owner.clone();
        world.coordinator.reassign(
            START,
            &Reassignment { range: KeyRange::new(0, u16::MAX), to, owner_lost: false },
        );
        world.work(Delivery::Answered);
        world
    }

    fn upstream(&mut self, owner: &Owner) -> Option<&mut Upstream> {
        self.upstreams.iter_mut().find(|u| u.owner == *owner)
    }

    /// Lets the coordinator do what is due.
    fn work(&mut self, delivery: Delivery) {
        let ended: Vec<Owner> = self.upstreams.iter().map(|u| u.owner.clone()).collect();
        self.coordinator
            .on_owners_ended(|o| ended.iter().any(|e| e.id == o.id && e.started > o.started));
        for order in self.coordinator.due_releases(self.now) {
            self.send_release(&order);
        }
        if let Some(map) = self.coordinator.next_commit(self.now) {
            self.commit(map);
        }
        for order in self.coordinator.due_grants(self.now, false) {
            self.send_grant(order, delivery);
        }
        self.check();
    }

    fn commit(&mut self, map: KeyMap) {
        self.revision += 1;
        for span in &map.spans {
            for key in KEYS.into_iter().filter(|k| span.range.contains(*k)) {
                let fence = self.fences.entry(key).or_default();
                assert!(span.fence >= *fence, "fence of {key} fell from {fence} to {}", span.fence);
                *fence = span.fence;
            }
        }
        self.store = (map.clone(), self.revision);
        self.coordinator.on_committed(map, self.revision);
    }

    fn send_release(&mut self, order: &ReleaseOrder) {
        let now = self.now;
        let forgets = self.mistake == Mistake::ForgetsOpenGrants;
        let outcome = match self.upstream(&order.owner).filter(|u| u.reachable) {
            Some(u) => {
                u.release(order);
                OrderOutcome::Done(None)
            }
            None => OrderOutcome::NotSent,
        };
        if forgets && outcome != OrderOutcome::NotSent {
            self.settle_open(now);
        }
        self.coordinator.on_release_outcome(now, order.id, &outcome);
    }

    /// Tells the coordinator that every order has been answered, which is not so.
    fn settle_open(&mut self, now: u64) {
        for id in 1..2_000 as OrderId {
            self.coordinator.on_grant_outcome(now, id, &OrderOutcome::Done(None));
        }
    }

    /// Lets the grants arrive that are on their way.
    fn arrive(&mut self) {
        let now = self.now;
        for order in std::mem::take(&mut self.slow) {
            let id = order.id;
            let taken = self.upstream(&order.owner).filter(|u| u.reachable);
            let outcome = match taken.map(|u| u.grant(now, &order)) {
                Some(true) => OrderOutcome::Done(None),
                Some(false) => OrderOutcome::Refused,
                None => OrderOutcome::Unknown,
            };
            self.coordinator.on_grant_outcome(now, id, &outcome);
        }
    }

    fn send_grant(&mut self, order: GrantOrder, delivery: Delivery) {
        let now = self.now;
        let id = order.id;
        if delivery == Delivery::Slow {
            self.slow.push(order);
            return;
        }
        let outcome = match self.upstream(&order.owner).filter(|u| u.reachable) {
            None => OrderOutcome::NotSent,
            Some(_) if delivery == Delivery::Lost => OrderOutcome::Unknown,
            Some(u) if delivery == Delivery::Late => {
                u.late.push((now + TRANSIT, order));
                OrderOutcome::Unknown
            }
            Some(u) => match (u.grant(now + TRANSIT, &order), delivery) {
                (_, Delivery::AnswerLost) => OrderOutcome::Unknown,
                (true, _) => OrderOutcome::Done(None),
                (false, _) => OrderOutcome::Refused,
            },
        };
        self.coordinator.on_grant_outcome(now, id, &outcome);
    }

    fn apply(&mut self, step: &Step) {
        match step {
            Step::Wait(ms) => {
                self.now += (*ms).min(TRANSIT);
                self.arrive();
                self.now += ms.saturating_sub(TRANSIT);
                self.carry_out_late();
                self.work(Delivery::Answered);
            }
            Step::Move(part, to) => {
                // Releases are asked for a moment after the others have been told.
                self.reassign(*part, *to);
                self.now += 20;
                self.work(Delivery::Answered);
                self.arrive();
                self.work(Delivery::Answered);
            }
            Step::Begin(part, to) => {
                self.reassign(*part, *to);
                self.work(Delivery::Answered);
            }
            Step::Deliver(delivery) => {
                self.coordinator.renew_all();
                self.work(*delivery);
            }
            Step::Outage => {
                self.coordinator.renew_all();
                for order in self.coordinator.due_grants(self.now, true) {
                    self.send_grant(order, Delivery::Answered);
                }
            }
            Step::Cut(n) => self.upstreams[*n].reachable = false,
            Step::Heal(n) => self.upstreams[*n].reachable = true,
            Step::Restart(n) => {
                let u = &mut self.upstreams[*n];
                u.owner.started += 1;
                u.cells.clear();
                u.late.clear();
                self.work(Delivery::Answered);
            }
            Step::Takeover => {
                self.arrive();
                let (map, revision) = self.store.clone();
                // A predecessor sends nothing any more, but its grants last.
                let since = if self.mistake == Mistake::ForgetsPredecessor { 0 } else { self.now };
                self.coordinator = Coordinator::new(since, TIMES, map, revision);
                self.work(Delivery::Answered);
            }
            Step::Stall(ms) => {
                self.now += ms;
                if let Some(map) = self.coordinator.next_commit(self.now) {
                    self.commit(map);
                }
                self.work(Delivery::Answered);
            }
            Step::CommitFails => {
                if self.coordinator.next_commit(self.now).is_some() {
                    self.coordinator.on_commit_failed();
                }
            }
        }
        self.check();
    }

    fn reassign(&mut self, part: usize, to: usize) {
        let range = [KeyRange::new(0, 9_999), KeyRange::new(10_000, u16::MAX)][part];
        let to = self.upstreams[to].owner.clone();
        self.coordinator.reassign(self.now, &Reassignment { range, to, owner_lost: false });
    }

    /// Late grants are carried out now; their time counts from their arrival.
    fn carry_out_late(&mut self) {
        for u in &mut self.upstreams {
            for (arrived, order) in std::mem::take(&mut u.late) {
                u.grant(arrived, &order);
            }
        }
    }

    fn check(&self) {
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
        Just(Delivery::Late),
        Just(Delivery::Slow),
    ];
    prop_oneof![
        4 => (1u64..6_000).prop_map(Step::Wait),
        3 => (0usize..2, 0usize..3).prop_map(|(p, t)| Step::Move(p, t)),
        1 => (0usize..2, 0usize..3).prop_map(|(p, t)| Step::Begin(p, t)),
        3 => delivery.prop_map(Step::Deliver),
        1 => Just(Step::Outage),
        1 => (0usize..3).prop_map(Step::Cut),
        1 => (0usize..3).prop_map(Step::Heal),
        1 => (0usize..3).prop_map(Step::Restart),
        1 => Just(Step::Takeover),
        1 => Just(Step::CommitFails),
        1 => (1u64..2_000).prop_map(Step::Stall),
    ]
}

fn run(mistake: Mistake, steps: &[Step]) {
    let mut world = World::new(mistake);
    for s in steps {
        world.apply(s);
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 4_000, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn key_has_one_owner_whatever_comes(steps in prop::collection::vec(step(), 1..40)) {
        run(Mistake::None, &steps);
    }
}

/// All sequences of `depth` steps from a small set.
fn search(mistake: Mistake, depth: usize) {
    let steps = [
        Step::Wait(700),
        Step::Wait(4_700),
        Step::Move(0, 1),
        Step::Move(0, 0),
        Step::Deliver(Delivery::Late),
        Step::Deliver(Delivery::AnswerLost),
        Step::Deliver(Delivery::Slow),
        Step::Outage,
        Step::Cut(0),
        Step::Heal(0),
        Step::Restart(0),
        Step::Takeover,
        Step::Begin(0, 1),
        Step::Stall(900),
    ];
    let total = steps.len().pow(u32::try_from(depth).unwrap());
    for n in 0..total {
        let mut rest = n;
        let mut world = World::new(mistake);
        for _ in 0..depth {
            world.apply(&steps[rest % steps.len()]);
            rest /= steps.len();
        }
    }
}

#[test]
fn every_short_sequence_keeps_one_owner() {
    search(Mistake::None, 5);
}

macro_rules! found {
    ($($name:ident: $mistake:expr, $depth:expr;)*) => {$(
        #[test]
        #[should_panic(expected = "has owners")]
        fn $name() {
            search($mistake, $depth);
        }
    )*};
}

found! {
    release_that_forgets_open_grants_is_found: Mistake::ForgetsOpenGrants, 4;
    takeover_that_forgets_its_predecessor_is_found: Mistake::ForgetsPredecessor, 4;
    clock_slower_than_assumed_is_found: Mistake::MoreDrift, 4;
}

/// A takeover by itself moves nothing: the same owners are granted again with the same fences.
#[test]
fn takeover_renews_without_moving() {
    let mut world = World::new(Mistake::None);
    let before = world.store.clone();
    world.now += 2_500;
    let (map, revision) = world.store.clone();
    world.coordinator = Coordinator::new(world.now, TIMES, map, revision);
    let grants = world.coordinator.due_grants(world.now, false);
    assert_eq!(grants.len(), before.0.spans.len());
    assert!(grants.iter().all(|g| g.fence == before.0.spans[0].fence));
    // The same owners get a new fence, so that late grants of the predecessor are refused.
    let map = world.coordinator.next_commit(world.now).expect("a commit with a new fence");
    let same =
        |(a, b): (&Span, &Span)| a.owner == b.owner && a.range == b.range && a.fence > b.fence;
    assert!(map.spans.iter().zip(&before.0.spans).all(same));
    world.commit(map);
    world.work(Delivery::Answered);
    assert!(world.coordinator.next_commit(world.now).is_none());
}

/// After a takeover, keys of an owner that has taken the new fence move without waiting for the
/// predecessor's grants to run out.
#[test]
fn takeover_does_not_hold_up_moves() {
    let mut world = World::new(Mistake::None);
    world.apply(&Step::Wait(600));
    world.apply(&Step::Takeover);
    world.apply(&Step::Move(0, 1));
    world.apply(&Step::Wait(50));
    let to = world.upstreams[1].owner.clone();
    assert_eq!(world.store.0.find(10).map(|s| s.owner.clone()), Some(to));
}

/// A renewal that is on its way when its keys are to move arrives before the release is asked for.
#[test]
fn release_waits_for_grants_on_their_way() {
    let mut world = World::new(Mistake::None);
    world.apply(&Step::Deliver(Delivery::Slow));
    world.apply(&Step::Move(0, 1));
    world.apply(&Step::Wait(50));
}

/// The first owners are granted at once, also by the instance that has just taken the lease.
#[test]
fn first_owners_wait_for_nothing() {
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

/// An owner that seemed lost and comes back before it was asked to release its keys keeps them.
#[test]
fn owner_that_comes_back_keeps_its_keys() {
    let mut world = World::new(Mistake::None);
    world.apply(&Step::Cut(0));
    let to = world.upstreams[1].owner.clone();
    let change = Reassignment { range: KeyRange::new(0, u16::MAX), to, owner_lost: true };
    world.coordinator.reassign(world.now, &change);
    world.apply(&Step::Wait(100));
    assert_eq!(world.coordinator.moving_ranges().len(), 1);
    world.apply(&Step::Heal(0));
    let owner = world.upstreams[0].owner.clone();
    world.coordinator.on_owners_recovered(|o| *o == owner);
    assert!(world.coordinator.moving_ranges().is_empty());
    world.apply(&Step::Wait(1_300));
    assert_eq!(world.store.0.find(10).map(|s| s.owner.clone()), Some(owner));
    assert!(world.upstreams[0].holds(world.now, 10));
}

/// After a takeover, an owner that was cut off meanwhile takes the new fence once it is back, and
/// its keys move without waiting for the predecessor's grants to run out.
#[test]
fn owner_is_fenced_before_it_releases() {
    let mut world = World::new(Mistake::None);
    world.apply(&Step::Cut(0));
    world.apply(&Step::Takeover);
    world.apply(&Step::Move(0, 1));
    world.apply(&Step::Wait(1_000));
    world.apply(&Step::Heal(0));
    for _ in 0..4 {
        world.apply(&Step::Wait(400));
    }
    let to = world.upstreams[1].owner.clone();
    assert_eq!(world.store.0.find(10).map(|s| s.owner.clone()), Some(to));
}

/// An owner that has taken the new fence refuses the predecessor's grants, but holds what it took
/// before: without a release, its keys are free only after that.
#[test]
fn fenced_owner_holds_what_the_predecessor_granted() {
    let mut world = World::new(Mistake::None);
    world.apply(&Step::Outage);
    world.apply(&Step::Takeover);
    world.apply(&Step::Begin(0, 1));
    world.apply(&Step::Cut(0));
    world.apply(&Step::Wait(5_500));
    assert!(world.upstreams[0].holds(world.now, 10));
    let holder = world.upstreams[0].owner.clone();
    assert_eq!(world.store.0.find(10).map(|s| s.owner.clone()), Some(holder));
    world.apply(&Step::Wait(6_000));
    let to = world.upstreams[1].owner.clone();
    assert_eq!(world.store.0.find(10).map(|s| s.owner.clone()), Some(to));
}

/// Where the row of owners cannot be read, its grants may last as long as any.
#[test]
fn unreadable_owners_are_waited_for() {
    let mut coordinator = Coordinator::with_unreadable_owners(START, TIMES, 7);
    let to = Owner { id: "u0".into(), started: 1 };
    let change = Reassignment { range: KeyRange::new(0, u16::MAX), to, owner_lost: false };
    coordinator.reassign(START, &change);
    assert!(coordinator.next_commit(START + TIMES.outage_hold).is_none());
    assert!(coordinator.next_commit(START + TIMES.outage_hold + 700).is_some());
}
