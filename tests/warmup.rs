//! Cold upstreams, asked for more than they tolerate through many instances that join, leave, freeze
//! and have different clocks: the real paces, traffic statistics and shares, in virtual time.

use mulberryspur::{
    credits::{ColdAdmission, CreditAnswer, CreditBook, CreditDealer, CreditRequest, DealerWatch},
    dispatch::{
        Completion, Decision, Destination, Dispatcher, Rejection, RequestSpec, UpstreamSpec,
    },
    keymap::{KeyMap, KeyRange, Owner, Span},
    overload::{OverloadMonitor, OwnerShare},
    rate_limit::InstancePosition,
    revision,
    routing_config::{ServiceSpec, UpstreamInfo},
    traffic::{TrafficCounter, TrafficStats},
    warmup::{ColdLimits, ColdPace, ColdUpstreams, Listing},
};
use rand::{Rng, SeedableRng, rngs::SmallRng};
use std::{
    collections::{BTreeMap, VecDeque},
    sync::Arc,
};

const PER_SECOND: f64 = 4.0;
const WARMUP_MS: u64 = 3_000;
/// Most requests in one second: 4 x 1.5 + 8.
const BOUND: usize = 14;
/// Boot clock at the start.
const START: u64 = 1_000_000;
const MAX_CLOCK_ERROR_MS: u64 = 200;
const MAX_TRANSIT_MS: u64 = 300;
const FREEZE_MS: u64 = 2_000;
/// Time until an instance knows of a change of the other instances.
const MAX_NEWS_MS: u64 = 300;
const REPORT_INTERVAL_MS: u64 = 500;
const PLAN_INTERVAL_MS: u64 = 250;
const ANNOUNCE_MS: u64 = 40;
/// Time for a message between an instance and the coordinator.
const MAX_MESSAGE_MS: u64 = 40;
/// Time for which a request may wait.
const WAIT_MS: u64 = 400;
const POLL_INTERVAL_MS: u64 = 20;

fn limits() -> ColdLimits {
    let spec = ServiceSpec {
        name: "s".into(),
        max_connections: 100,
        keyed: false,
        warmup_ms: Some(WARMUP_MS),
        warmup_per_second: Some(PER_SECOND),
    };
    assert_eq!(ColdLimits::new(&spec, None, Some(8.0)), None);
    let without = ServiceSpec { warmup_per_second: None, ..spec.clone() };
    assert_eq!(ColdLimits::new(&without, Some(1.5), Some(8.0)), None);
    ColdLimits::new(&spec, Some(1.5), Some(8.0)).expect("limits")
}

fn number(n: usize) -> u32 {
    u32::try_from(n).expect("few")
}

/// The coordinator of the service, if its upstreams own keys.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Coordinator {
    None,
    /// One that announces shares.
    EarlierVersion,
    /// One that deals credits, too.
    Dealing,
    /// The same, which is silent for 4 of every 10 seconds, and forgets its credits then.
    Lost,
    /// The same, which half of the instances do not reach for 4 of every 10 seconds.
    CutOff,
}

/// Requests for cold upstreams of one data centre.
#[derive(Debug, Clone, Copy)]
struct Scenario {
    seed: u64,
    instances: usize,
    upstreams: usize,
    /// Requests per second for each upstream.
    rate: f64,
    /// Steps of one millisecond.
    steps: u64,
    coordinator: Coordinator,
    /// Whether instances join, leave and freeze.
    changes: bool,
    paced: bool,
    /// Factor on the rate for 3 of every 10 seconds.
    burst: f64,
}

/// A message between an instance, by name, and the coordinator.
#[derive(Debug)]
enum Mail {
    Request(usize, CreditRequest),
    Answer(usize, CreditAnswer),
    Status(usize),
}

#[derive(Debug)]
struct Instance {
    name: usize,
    clock_error: u64,
    paces: Vec<ColdPace>,
    /// When it learns of changed instances.
    news_at: Option<u64>,
    frozen_until: u64,
    /// Requests that wait: until when, and for which upstream.
    waiting: Vec<(u64, usize)>,
    counter: TrafficCounter,
    book: CreditBook,
    watch: DealerWatch,
}

struct Replay {
    s: Scenario,
    rng: SmallRng,
    instances: Vec<Instance>,
    next_name: usize,
    /// Arrivals at each upstream.
    arrivals: Vec<Vec<u64>>,
    traffic: TrafficStats,
    monitor: OverloadMonitor,
    owners: KeyMap,
    infos: Vec<Arc<UpstreamInfo>>,
    announcements: VecDeque<(u64, Vec<OwnerShare>)>,
    dealer: CreditDealer,
    /// Messages by the time of their arrival and a number.
    mail: BTreeMap<(u64, u64), Mail>,
    next_mail: u64,
    messages: u64,
}

fn id(n: usize) -> Arc<str> {
    format!("u{n}").into()
}

fn info(n: usize, warmup_ms: u64) -> Arc<UpstreamInfo> {
    Arc::new(UpstreamInfo {
        id: id(n),
        started: 1,
        service: "s".into(),
        address: ([127, 0, 0, 1], u16::try_from(n + 1).expect("few")).into(),
        data_center: if n.is_multiple_of(2) { "a" } else { "b" }.into(),
        concurrency: 3,
        leaving: false,
        warmup_ms,
    })
}

impl Replay {
    fn new(s: Scenario) -> Self {
        let mut this = Self {
            s,
            rng: SmallRng::seed_from_u64(s.seed),
            instances: Vec::new(),
            next_name: 0,
            arrivals: vec![Vec::new(); s.upstreams],
            traffic: TrafficStats::new(START),
            monitor: OverloadMonitor::default(),
            owners: KeyMap {
                spans: (0..s.upstreams)
                    .map(|n| {
                        let key = u16::try_from(n).expect("few");
                        let owner = Owner { id: id(n), started: 1 };
                        Span { range: KeyRange::new(key, key), owner, fence: 1, handover: None }
                    })
                    .collect(),
            },
            infos: (0..s.upstreams).map(|n| info(n, WARMUP_MS)).collect(),
            announcements: VecDeque::new(),
            dealer: CreditDealer::default(),
            mail: BTreeMap::new(),
            next_mail: 0,
            messages: 0,
        };
        this.traffic.set_cold_rates((0..s.upstreams).map(|n| (id(n), PER_SECOND)).collect());
        for _ in 0..s.instances {
            this.join(START);
        }
        for n in 0..this.instances.len() {
            this.learn(START, n);
        }
        this
    }

    fn join(&mut self, now: u64) {
        let clock_error = self.rng.random_range(0..=2 * MAX_CLOCK_ERROR_MS);
        let name = self.next_name;
        self.next_name += 1;
        let pace = ColdPace::new(now, limits(), u64::MAX, &InstancePosition::default());
        self.instances.push(Instance {
            name,
            clock_error,
            paces: vec![pace; self.s.upstreams],
            news_at: None,
            frozen_until: 0,
            waiting: Vec::new(),
            counter: TrafficCounter::default(),
            book: CreditBook::default(),
            watch: DealerWatch::default(),
        });
        let n = self.instances.len() - 1;
        self.learn(now, n);
    }

    /// Tells an instance which of all instances it is.
    fn learn(&mut self, now: u64, n: usize) {
        let name = self.instances[n].name;
        let rank = self.instances.iter().filter(|i| i.name < name).count();
        let position = InstancePosition {
            instances: number(self.instances.len()),
            rank: number(rank),
            clock_offset_ms: 1_700_000_000_000 + self.instances[n].clock_error,
        };
        let instance = &mut self.instances[n];
        instance.news_at = None;
        for pace in &mut instance.paces {
            pace.update(now, limits(), u64::MAX, &position);
        }
    }

    /// Lets instances join, leave and freeze.
    fn change_instances(&mut self, now: u64) {
        let before = self.instances.len();
        if self.rng.random_bool(1.0 / 8_000.0) && before < self.s.instances * 11 / 10 + 1 {
            self.join(now);
        }
        if self.rng.random_bool(1.0 / 8_000.0) && before > self.s.instances * 9 / 10 {
            let n = self.rng.random_range(0..before);
            self.instances.remove(n);
        }
        if self.instances.len() != before {
            for instance in &mut self.instances {
                instance.news_at = Some(now + self.rng.random_range(0..=MAX_NEWS_MS));
            }
        }
        if self.rng.random_bool(1.0 / 5_000.0) {
            let n = self.rng.random_range(0..self.instances.len());
            self.instances[n].frozen_until = now + FREEZE_MS;
        }
        for n in 0..self.instances.len() {
            let i = &self.instances[n];
            if i.news_at.is_some_and(|at| now >= at && now >= i.frozen_until) {
                self.learn(now, n);
            }
        }
    }

    fn coordinate(&mut self, now: u64) {
        let mut reporting = Vec::new();
        for (n, i) in self.instances.iter_mut().enumerate() {
            if (now + 37 * n as u64).is_multiple_of(REPORT_INTERVAL_MS) && now >= i.frozen_until {
                if let Some(report) = i.counter.take(&"s".into()) {
                    self.traffic.add_report(&report);
                }
                reporting.push(i.name);
            }
        }
        for name in reporting {
            if self.s.coordinator == Coordinator::EarlierVersion {
                self.instance(name).expect("reporting").watch.on_status(now, true, false);
            } else if self.is_reached(now, name) {
                self.post(now, Mail::Status(name));
            }
        }
        self.deliver(now);
        if now.is_multiple_of(PLAN_INTERVAL_MS) {
            self.traffic.decay(now);
            let shares = self.monitor.update(now, &self.owners, &self.infos, &self.traffic);
            self.announcements.extend(shares.map(|s| (now + ANNOUNCE_MS, s)));
        }
        while self.announcements.front().is_some_and(|(at, _)| *at <= now) {
            let (_, shares) = self.announcements.pop_front().expect("checked");
            let by_id: std::collections::HashMap<_, _> = shares.into_iter().collect();
            for i in self.instances.iter_mut().filter(|i| now >= i.frozen_until) {
                for (n, pace) in i.paces.iter_mut().enumerate() {
                    pace.set_share(now, by_id.get(&id(n)).copied());
                }
            }
        }
    }

    fn instance(&mut self, name: usize) -> Option<&mut Instance> {
        self.instances.iter_mut().find(|i| i.name == name)
    }

    /// Returns whether messages between an instance and the coordinator arrive.
    fn is_reached(&self, now: u64, name: usize) -> bool {
        let in_trouble = now % 10_000 >= 5_000 && now % 10_000 < 9_000;
        match self.s.coordinator {
            Coordinator::Dealing => true,
            Coordinator::Lost => !in_trouble,
            Coordinator::CutOff => !in_trouble || name.is_multiple_of(2),
            Coordinator::None | Coordinator::EarlierVersion => false,
        }
    }

    fn post(&mut self, now: u64, mail: Mail) {
        let at = now + self.rng.random_range(1..=MAX_MESSAGE_MS);
        self.mail.insert((at, self.next_mail), mail);
        self.next_mail += 1;
        self.messages += 1;
    }

    /// Delivers the messages that are due; an instance that is frozen handles them later.
    fn deliver(&mut self, now: u64) {
        if self.s.coordinator == Coordinator::Lost && now % 10_000 == 5_000 {
            self.dealer.reset();
        }
        while let Some(entry) = self.mail.first_entry().filter(|e| e.key().0 <= now) {
            match entry.remove() {
                Mail::Request(name, request) if self.is_reached(now, name) => {
                    let deal = |(owner, asked): &(Arc<str>, u32)| {
                        self.dealer.deal(now, owner, PER_SECOND, *asked)
                    };
                    let granted = request.owners.iter().map(deal).collect();
                    let CreditRequest { service, id, .. } = request;
                    let answer = CreditAnswer { service, id, acting: true, granted };
                    self.post(now, Mail::Answer(name, answer));
                }
                Mail::Request(..) => {}
                mail @ (Mail::Answer(name, _) | Mail::Status(name)) => {
                    let Some(i) = self.instance(name) else { continue };
                    if now < i.frozen_until {
                        let at = i.frozen_until;
                        self.mail.insert((at, self.next_mail), mail);
                        self.next_mail += 1;
                        continue;
                    }
                    i.watch.on_status(now, true, true);
                    if let Mail::Answer(_, answer) = mail {
                        i.book.on_answer(now, &answer);
                        let n = self.instances.iter().position(|i| i.name == name);
                        self.poll(now, n.expect("an instance"));
                    }
                }
            }
        }
    }

    /// Asks for the credits that an instance needs.
    fn ask(&mut self, now: u64, n: usize) {
        let i = &mut self.instances[n];
        let mut waiting: BTreeMap<usize, u32> = BTreeMap::new();
        for (_, upstream) in i.waiting.iter().filter(|(_, u)| i.paces[*u].needs_credit(now)) {
            *waiting.entry(*upstream).or_default() += 1;
        }
        let waiting = waiting.into_iter().map(|(upstream, count)| (id(upstream), count));
        let request = i.book.request(now, &"s".into(), waiting);
        let name = i.name;
        if let Some(request) = request.filter(|_| self.is_reached(now, name)) {
            self.post(now, Mail::Request(name, request));
        }
    }

    /// Returns the arrivals at each upstream in steps from the start, in order.
    fn run(mut self) -> Vec<Vec<u64>> {
        let s = self.s;
        for now in START..START + s.steps {
            let in_burst = now % 10_000 >= 7_000;
            let rate = if in_burst { s.rate * s.burst } else { s.rate };
            if s.changes {
                self.change_instances(now);
            }
            if s.coordinator != Coordinator::None {
                self.coordinate(now);
            }
            if now.is_multiple_of(POLL_INTERVAL_MS) {
                (0..self.instances.len()).for_each(|n| self.poll(now, n));
            }
            for n in 0..s.upstreams {
                if self.rng.random_bool((rate / 1_000.0).min(1.0)) {
                    self.request(now, n);
                }
            }
        }
        for list in &mut self.arrivals {
            list.sort_unstable();
        }
        println!("{s:?}: {} messages for credits a second", self.messages * 1_000 / s.steps);
        self.arrivals
    }

    fn request(&mut self, now: u64, upstream: usize) {
        let n = self.rng.random_range(0..self.instances.len());
        let i = &mut self.instances[n];
        // A frozen instance reads the requests of the last moment, and sends them, once it is back.
        let frozen_ms = i.frozen_until.saturating_sub(now);
        if frozen_ms > 0 && frozen_ms < FREEZE_MS - 50 {
            return;
        }
        i.counter.on_request(u16::try_from(upstream).expect("few"));
        let pace = &mut i.paces[upstream];
        let draw = self.rng.random_range(0.0..1.0);
        if self.s.paced && !pace.admits_new(now, draw) {
            return;
        }
        let lacks_credit = pace.needs_credit(now) && !i.book.has_credit(now, &id(upstream));
        if self.s.paced && (lacks_credit || !pace.admits(now)) {
            i.waiting.push((now + WAIT_MS, upstream));
            if frozen_ms == 0 {
                self.ask(now, n);
            }
            return;
        }
        self.send(now, n, upstream, frozen_ms);
    }

    fn send(&mut self, now: u64, instance: usize, upstream: usize, frozen_ms: u64) {
        let i = &mut self.instances[instance];
        if i.paces[upstream].needs_credit(now) {
            i.book.take(now, &id(upstream));
        }
        i.paces[upstream].take(now);
        let transit = self.rng.random_range(0..=MAX_TRANSIT_MS);
        self.arrivals[upstream].push(now + frozen_ms + transit - START);
    }

    /// Sends the waiting requests of an instance that may be sent now.
    fn poll(&mut self, now: u64, n: usize) {
        if now < self.instances[n].frozen_until {
            return;
        }
        let i = &mut self.instances[n];
        if self.s.coordinator != Coordinator::None {
            let admission = i.watch.admission(now);
            i.paces.iter_mut().for_each(|pace| pace.set_admission(now, admission));
        }
        i.book.expire(now);
        let mut refused = i.book.take_refused();
        for (until, upstream) in std::mem::take(&mut i.waiting) {
            let i = &self.instances[n];
            let pace = &i.paces[upstream];
            let lacks_credit = pace.needs_credit(now) && !i.book.has_credit(now, &id(upstream));
            if !lacks_credit && pace.admits(now) {
                self.send(now, n, upstream, 0);
            } else if let Some(count) = refused.get_mut(&id(upstream)).filter(|c| **c > 0) {
                *count -= 1;
            } else if now < until {
                self.instances[n].waiting.push((until, upstream));
            }
        }
        self.ask(now, n);
    }
}

/// Returns the most arrivals in any second.
fn most_in_second(arrivals: &[u64]) -> usize {
    let mut first = 0;
    let mut most = 0;
    for (n, at) in arrivals.iter().enumerate() {
        while arrivals[first] + 1_000 <= *at {
            first += 1;
        }
        most = most.max(n + 1 - first);
    }
    most
}

#[expect(clippy::cast_precision_loss, reason = "small numbers")]
fn check(s: Scenario) {
    let arrivals = Replay::new(s).run();
    let most = arrivals.iter().map(|a| most_in_second(a)).max().expect("upstreams");
    let sent: usize = arrivals.iter().map(Vec::len).sum();
    let permitted = PER_SECOND * s.steps as f64 / 1_000.0 * s.upstreams as f64;
    let used = sent as f64 / permitted;
    println!("{s:?}: most {most}, used {used:.3}");
    assert!(most <= BOUND, "{most} requests in one second: {s:?}");
    assert!(used >= 0.8, "{used:.3} of the permitted rate is used: {s:?}");
}

macro_rules! pace_tests {
    ($($name:ident: $seed:expr, $instances:expr, $upstreams:expr, $rate:expr, $steps:expr,
        $coordinator:expr;)*) => {$(
        #[test]
        fn $name() {
            check(Scenario {
                seed: $seed,
                instances: $instances,
                upstreams: $upstreams,
                rate: $rate,
                steps: $steps,
                coordinator: $coordinator,
                changes: true,
                paced: true,
                burst: 1.0,
            });
        }
    )*};
}

pace_tests! {
    unkeyed_through_12_instances: 1, 12, 1, 200.0, 200_000, Coordinator::None;
    unkeyed_through_85_instances: 2, 85, 1, 400.0, 200_000, Coordinator::None;
    unkeyed_through_300_instances: 3, 300, 1, 1_000.0, 100_000, Coordinator::None;
    data_center_through_12_instances: 4, 12, 24, 60.0, 50_000, Coordinator::None;
    data_center_through_85_instances: 5, 85, 24, 400.0, 50_000, Coordinator::None;
    owner_of_an_earlier_coordinator_through_12_instances: 6, 12, 1, 10.0, 100_000, Coordinator::EarlierVersion;
    owner_of_an_earlier_coordinator_through_85_instances: 7, 85, 1, 10.0, 100_000, Coordinator::EarlierVersion;
    owner_of_an_earlier_coordinator_through_300_instances: 8, 300, 1, 10.0, 50_000, Coordinator::EarlierVersion;
    hot_owner_of_an_earlier_coordinator_through_85_instances: 9, 85, 1, 300.0, 50_000, Coordinator::EarlierVersion;
    owner_through_12_instances: 6, 12, 1, 10.0, 100_000, Coordinator::Dealing;
    owner_through_85_instances: 7, 85, 1, 10.0, 100_000, Coordinator::Dealing;
    owner_through_300_instances: 8, 300, 1, 10.0, 50_000, Coordinator::Dealing;
    hot_owner_through_85_instances: 9, 85, 1, 300.0, 50_000, Coordinator::Dealing;
}

/// Without the pace, the same demand exceeds the bound at once.
#[test]
fn without_pace_the_bound_is_exceeded() {
    for instances in [12, 85, 300] {
        let s = Scenario {
            seed: 1,
            instances,
            upstreams: 1,
            rate: 40.0,
            steps: 10_000,
            coordinator: Coordinator::None,
            changes: true,
            paced: false,
            burst: 1.0,
        };
        let most = most_in_second(&Replay::new(s).run()[0]);
        assert!(most > 2 * BOUND, "{most}");
    }
}

/// 100 owners of keys, cold all the while, with ten requests a second each through 85 instances.
const COLD_OWNERS: Scenario = Scenario {
    seed: 10,
    instances: 85,
    upstreams: 100,
    rate: 10.0,
    steps: 100_000,
    coordinator: Coordinator::Dealing,
    changes: true,
    paced: true,
    burst: 1.0,
};

/// Asserts that no owner gets more requests in one second than it tolerates, and that `used` of the
/// permitted rate is used.
#[expect(clippy::cast_precision_loss, reason = "small numbers")]
fn check_owners(s: Scenario, used: f64) {
    let arrivals = Replay::new(s).run();
    let most: Vec<usize> = arrivals.iter().map(|a| most_in_second(a)).collect();
    let exceeded = most.iter().filter(|n| **n > BOUND).count();
    let sent: usize = arrivals.iter().map(Vec::len).sum();
    let permitted = PER_SECOND * s.steps as f64 / 1_000.0 * s.upstreams as f64;
    let actual = sent as f64 / permitted;
    println!("exceeded at {exceeded} owners, most {:?}, used {actual:.3}", most.iter().max());
    assert!(actual >= used, "{actual:.3} of the permitted rate is used");
    assert_eq!(exceeded, 0, "{most:?}");
}

macro_rules! cold_owner_tests {
    ($($(#[$doc:meta])* $name:ident: $scenario:expr, $used:expr;)*) => {$(
        $(#[$doc])*
        #[test]
        fn $name() {
            check_owners($scenario, $used);
        }
    )*};
}

cold_owner_tests! {
    /// Guards against more requests in one second than a cold owner tolerates, over 10,000 seconds of one
    /// cold owner.
    requests_for_cold_owners_keep_the_bound: COLD_OWNERS, 0.8;
    /// Guards against the same in a burst of all traffic, which shares of the requests follow too late.
    burst_for_cold_owners_keeps_the_bound:
        Scenario { seed: 11, steps: 50_000, burst: 2.6, ..COLD_OWNERS }, 0.8;
    /// Guards against the same for owners that have no requests until ranges move to them.
    moves_to_cold_owners_keep_the_bound:
        Scenario { seed: 12, steps: 50_000, rate: 0.5, burst: 60.0, ..COLD_OWNERS }, 0.0;
    /// Guards against the same at 300 instances.
    cold_owners_of_300_instances_keep_the_bound:
        Scenario { seed: 13, instances: 300, steps: 20_000, burst: 2.6, ..COLD_OWNERS }, 0.8;
    /// Guards against the same while the coordinator is lost again and again.
    lost_coordinator_keeps_the_bound:
        Scenario { seed: 14, steps: 50_000, coordinator: Coordinator::Lost, burst: 2.6, ..COLD_OWNERS },
        0.4;
    /// Guards against the same while half of the instances do not reach the coordinator.
    coordinator_that_some_do_not_reach_keeps_the_bound:
        Scenario {
            seed: 15, steps: 50_000, coordinator: Coordinator::CutOff, burst: 2.6, ..COLD_OWNERS
        },
        0.7;
}

fn listing(complete: bool) -> Listing {
    Listing { complete, system_starts: false }
}

/// Returns upstreams of which a complete listing was known before.
fn listed(upstreams: &[(Arc<UpstreamInfo>, u64)]) -> ColdUpstreams {
    let mut cold = ColdUpstreams::default();
    list(&mut cold, START, upstreams);
    cold
}

fn list(cold: &mut ColdUpstreams, now: u64, upstreams: &[(Arc<UpstreamInfo>, u64)]) {
    let with_revision = upstreams.iter().map(|(u, revision)| (u, Some(*revision)));
    cold.update(now, Some(limits()), listing(true), with_revision);
}

/// An instance that starts while all upstreams are old takes only their reports.
#[test]
fn first_listing_counts_by_its_entries() {
    let cold = listed(&[(info(0, 0), 1), (info(1, 900), 2)]);
    assert_eq!(cold.cold_until(START, "u0"), None);
    assert_eq!(cold.cold_until(START, "u1"), Some(START + 900));
}

/// A new incarnation may have an entry from before it knew that it warms up.
#[test]
fn new_incarnation_is_cold_until_it_reports_less() {
    let mut cold = listed(&[(info(0, 0), 1)]);
    let new = Arc::new(UpstreamInfo { started: 2, ..(*info(0, 0)).clone() });
    list(&mut cold, START + 100, &[(new.clone(), 2)]);
    assert_eq!(cold.cold_until(START + 100, "u0"), Some(START + 100 + WARMUP_MS));
    // The same entry, read again, changes nothing.
    list(&mut cold, START + 500, &[(new.clone(), 2)]);
    assert_eq!(cold.cold_until(START + 500, "u0"), Some(START + 100 + WARMUP_MS));
    let reported = Arc::new(UpstreamInfo { warmup_ms: 400, ..(*new).clone() });
    list(&mut cold, START + 600, &[(reported, 3)]);
    assert_eq!(cold.cold_until(START + 600, "u0"), Some(START + 1_000));
    assert_eq!(cold.rates(START + 999).get("u0"), Some(&PER_SECOND));
    assert!(cold.rates(START + 1_000).is_empty());
}

/// Upstreams of a system without traffic yet are not cold.
#[test]
fn upstreams_of_a_first_start_are_not_cold() {
    let mut cold = listed(&[]);
    let first = info(0, 0);
    let starting = Listing { complete: true, system_starts: true };
    cold.update(START, Some(limits()), starting, [(&first, Some(1))]);
    assert_eq!(cold.cold_until(START, "u0"), None);
    list(&mut cold, START, &[(first, 1), (info(1, 0), 2)]);
    assert_eq!(cold.cold_until(START, "u0"), None);
    assert_eq!(cold.cold_until(START, "u1"), Some(START + WARMUP_MS));
}

/// An upstream may become cold again with an entry that reads like its last one, but the same entry
/// from a copy of the store, or after a lapse, is old.
#[test]
fn remaining_time_counts_from_the_change_of_the_entry() {
    let entry = info(0, WARMUP_MS);
    let first = revision::new(1, 10);
    let mut cold = listed(&[(entry.clone(), first)]);
    list(&mut cold, START + 5_000, &[(entry.clone(), first)]);
    assert_eq!(cold.cold_until(START + 5_000, "u0"), None);
    let restored = revision::new(2, 10);
    list(&mut cold, START + 6_000, &[(entry.clone(), restored)]);
    assert_eq!(cold.cold_until(START + 6_000, "u0"), None);
    cold.update(START + 6_500, Some(limits()), listing(true), [(&entry, None)]);
    list(&mut cold, START + 6_600, &[(entry.clone(), restored)]);
    assert_eq!(cold.cold_until(START + 6_600, "u0"), None);
    list(&mut cold, START + 7_000, &[(entry, revision::new(2, 11))]);
    assert_eq!(cold.cold_until(START + 7_000, "u0"), Some(START + 7_000 + WARMUP_MS));
}

/// An upstream whose entry lapses long after the last change, and is restored, is not new.
#[test]
fn restored_upstream_is_not_cold() {
    let mut cold = listed(&[(info(0, 0), 1)]);
    let lapsed_at = START + 600_000;
    list(&mut cold, lapsed_at, &[]);
    list(&mut cold, lapsed_at + 5_000, &[(info(0, 0), 2)]);
    assert_eq!(cold.cold_until(lapsed_at + 5_000, "u0"), None);
}

/// A data centre that returns to service may have cold upstreams; others do not change.
#[test]
fn upstreams_of_a_returning_data_center_are_cold() {
    let mut cold = listed(&[(info(0, 0), 1), (info(1, 0), 1)]);
    cold.note_possibly_cold(|name| (name == "a").then_some(START + 10));
    assert_eq!(cold.cold_until(START + 10, "u0"), Some(START + 10 + WARMUP_MS));
    assert_eq!(cold.cold_until(START + 10, "u1"), None);
}

/// Without limits, no upstream is cold.
#[test]
fn services_without_limits_have_no_cold_upstreams() {
    let mut cold = listed(&[(info(0, WARMUP_MS), 1)]);
    cold.update(START, None, listing(true), [(&info(0, WARMUP_MS), Some(1))]);
    assert_eq!(cold.cold_until(START, "u0"), None);
    assert!(cold.rates(START).is_empty());
}

/// Returns a dispatcher of one of 300 instances with a cold upstream.
fn dispatcher(cold: &ColdUpstreams) -> Dispatcher {
    let mut d = Dispatcher::default();
    d.set_position(InstancePosition { instances: 300, rank: 7, clock_offset_ms: 0 });
    let spec = |n: usize| UpstreamSpec {
        id: id(n),
        started: 1,
        concurrency: 3,
        same_data_center: true,
        leaving: false,
        max_connections: 5,
    };
    d.set_upstreams(START, [spec(0), spec(1)]);
    d.set_cold(START, cold);
    d
}

fn request(now: u64, destination: Destination) -> RequestSpec {
    RequestSpec {
        priority: 1,
        arrived_at: now,
        objective_at: now + 500,
        deadline: now + 3_000,
        destination,
        key: None,
        large_response: false,
        tried: Vec::new(),
        admitted: false,
        forwardable: false,
    }
}

/// Where no token comes within the wait, a request for a cold owner is rejected at once, and one to
/// any upstream goes to a warm one. When the coldness ends, so does the limit.
#[test]
fn request_for_a_cold_owner_is_rejected_at_once() {
    let owner = || Destination::Owner(id(0), 1);
    let mut d = dispatcher(&listed(&[(info(0, WARMUP_MS), 1), (info(1, 0), 1)]));
    let decision = d.submit(START + 1, request(START + 1, owner()));
    let Ok(Decision::Reject { reason: Rejection::UpstreamLimit, .. }) = decision else {
        panic!("{decision:?}");
    };
    for now in START..START + 50 {
        let decision = d.submit(now, request(now, Destination::Any));
        assert_eq!(decision, Ok(Decision::Send(id(1))));
        d.on_completion(now, &id(1), Completion::Responded(1.0), None);
    }
    let now = START + WARMUP_MS;
    assert_eq!(d.submit(now, request(now, owner())), Ok(Decision::Send(id(0))));
}

/// With an announced share of all requests, one is sent at once; a retry after a refusal counts too.
#[test]
fn retry_at_a_cold_owner_counts() {
    let mut d = dispatcher(&listed(&[(info(0, WARMUP_MS), 1), (info(1, 0), 1)]));
    d.set_shares(START, vec![(id(0), 1.0)]);
    let owner = Destination::Owner(id(0), 1);
    assert_eq!(d.submit(START, request(START, owner.clone())), Ok(Decision::Send(id(0))));
    d.on_completion(START + 5, &id(0), Completion::Refused, None);
    let retry = RequestSpec { admitted: true, ..request(START + 5, owner) };
    let decision = d.submit(START + 5, retry);
    let Ok(Decision::Reject { reason: Rejection::UpstreamLimit, .. }) = decision else {
        panic!("{decision:?}");
    };
}

/// Returns a keyed dispatcher with a cold owner and a coordinator that deals credits, and the ticket of a
/// request for that owner.
fn waiting_for_credit() -> (Dispatcher, u64) {
    let mut d = Dispatcher::default();
    d.set_keyed(true);
    d.set_position(InstancePosition { instances: 300, rank: 7, clock_offset_ms: 0 });
    let spec = UpstreamSpec {
        id: id(0),
        started: 1,
        concurrency: 3,
        same_data_center: true,
        leaving: false,
        max_connections: 5,
    };
    d.set_upstreams(START, [spec]);
    d.set_cold(START, &listed(&[(info(0, WARMUP_MS), 1)]));
    d.on_dealer_status(START, true, true);
    let ticket = d.submit(START, request(START, Destination::Owner(id(0), 1)));
    (d, ticket.expect_err("waits for a credit"))
}

fn answer(request: &CreditRequest, acting: bool, granted: Vec<u32>) -> CreditAnswer {
    CreditAnswer { service: request.service.clone(), id: request.id, acting, granted }
}

fn assert_rejected(d: &mut Dispatcher, now: u64, ticket: u64) {
    let decisions = d.poll(now);
    let [(t, Decision::Reject { reason: Rejection::UpstreamLimit, retry_after })] = decisions[..]
    else {
        panic!("{decisions:?}");
    };
    assert_eq!(t, ticket);
    // Half as long again at most as until the owner is warm.
    let cold_ms = START + WARMUP_MS - now;
    assert!((150..=cold_ms * 3 / 2).contains(&retry_after), "{retry_after}");
}

/// Guards against requests for a cold owner that are sent although the coordinator has not counted them.
#[test]
fn request_for_a_cold_owner_is_sent_without_a_credit() {
    let (mut d, ticket) = waiting_for_credit();
    assert_eq!(d.poll(START + 1), []);
    let asked = d.credit_request(START + 1, &"s".into()).expect("asked");
    assert_eq!(asked.owners, [(id(0), 1)]);
    assert_eq!(d.credit_request(START + 2, &"s".into()), None, "asked twice");
    d.on_credit_answer(START + 10, &answer(&asked, true, vec![1]));
    assert_eq!(d.poll(START + 10), [(ticket, Decision::Send(id(0)))]);
    // The credit is used: the next request needs another one.
    d.on_completion(START + 20, &id(0), Completion::Responded(10.0), None);
    assert!(d.submit(START + 20, request(START + 20, Destination::Owner(id(0), 1))).is_err());
}

/// Guards against callers that wait until their objective has passed although there is no credit.
#[test]
fn request_for_a_cold_owner_waits_after_a_refusal() {
    let (mut d, ticket) = waiting_for_credit();
    let asked = d.credit_request(START, &"s".into()).expect("asked");
    d.on_credit_answer(START + 10, &answer(&asked, true, vec![0]));
    assert_rejected(&mut d, START + 10, ticket);
}

/// Guards against requests that wait for a coordinator that is gone, and against a credit that is used
/// long after it was counted.
#[test]
fn request_for_a_cold_owner_waits_for_a_lost_coordinator() {
    let (mut d, ticket) = waiting_for_credit();
    let asked = d.credit_request(START, &"s".into()).expect("asked");
    assert_eq!(d.poll(START + 249), []);
    assert_rejected(&mut d, START + 250, ticket);
    d.on_credit_answer(START + 260, &answer(&asked, true, vec![1]));
    let ticket = d.submit(START + 270, request(START + 270, Destination::Owner(id(0), 1)));
    assert!(ticket.is_err(), "late credit is used");
}

/// An instance that has just started, or does not hear the coordinator, uses tokens of half the rate, as
/// others may get credits.
#[test]
fn instance_without_the_coordinator_uses_all_tokens() {
    let mut watch = DealerWatch::default();
    assert_eq!(watch.admission(START), ColdAdmission::Reserve);
    watch.on_status(START, true, true);
    assert_eq!(watch.admission(START + 2_000), ColdAdmission::Credits);
    assert_eq!(watch.admission(START + 2_200), ColdAdmission::Reserve);
    // One that cannot renew its lease still deals.
    watch.on_status(START, false, true);
    assert_eq!(watch.admission(START), ColdAdmission::Credits);
    watch.on_status(START, true, false);
    assert_eq!(watch.admission(START + 60_000), ColdAdmission::Tokens);
    watch.on_status(START, false, false);
    assert_eq!(watch.admission(START), ColdAdmission::Reserve);
}
