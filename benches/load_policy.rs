//! The policy under load against named baselines, on small fake upstreams in virtual time.
//!
//! Twelve instances choose, queue and refuse with the real decision structs. Each upstream runs a
//! fixed number of requests at once and queues the rest in order of arrival. Reports of load reach
//! an instance only with answers, so they lag.
//!
//! `cargo bench --bench load_policy`

#![allow(
    clippy::cast_possible_truncation,
    clippy::cast_precision_loss,
    clippy::cast_sign_loss,
    reason = "figures for people"
)]

use hdrhistogram::Histogram;
use mulberryspur::{
    admission::{Admission, AdmissionQueue, long_request_quota},
    load_balancing::{UpstreamLoad, choose_upstream},
    resource::RequestClass,
};
use rand::{Rng, SeedableRng, rngs::SmallRng};
use std::{
    cmp::Reverse,
    collections::{BinaryHeap, HashMap, VecDeque},
};

/// Virtual time in microseconds.
type Micros = u64;

const INSTANCES: usize = 12;
const HOP: Micros = 1_000;
const SHORT_WORK: f64 = 10_000.0;
const STRAGGLER_FACTOR: f64 = 50.0;
const SHORT_DEADLINE: Micros = 250_000;
const LONG_DEADLINE: Micros = 10_000_000;
const SEEDS: [u64; 3] = [1, 2, 3];
const SECOND: Micros = 1_000_000;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Policy {
    /// The product's: two choices on expected wait, classes, bounded queues, refusal by deadline.
    Product,
    Random,
    RoundRobin,
    /// Fewest requests of the instance in flight.
    LeastInFlight,
    /// The product's choice, one queue in order of arrival, no classes and no refusal.
    Fifo,
}

const POLICIES: [Policy; 5] =
    [Policy::Product, Policy::Random, Policy::RoundRobin, Policy::LeastInFlight, Policy::Fifo];

/// What callers ask for.
#[derive(Debug, Clone, Copy)]
struct Demand {
    name: &'static str,
    /// Share of capacity asked for, by second.
    load: fn(f64) -> f64,
    seconds: u64,
    /// Share of short requests that take 50 times the work without anyone knowing.
    stragglers: f64,
    /// Share of requests that are declared long and take 50 times the work.
    long: f64,
}

fn steady(_: f64) -> f64 {
    0.7
}

/// Rises fourfold within three seconds to 1.5 times the capacity, and falls again.
fn crest(t: f64) -> f64 {
    match t {
        t if t < 4.0 => 0.375,
        t if t < 7.0 => 0.375 + (t - 4.0) / 3.0 * 1.125,
        t if t < 13.0 => 1.5,
        _ => 0.375,
    }
}

const PLAIN: Demand =
    Demand { name: "steady 0.7", load: steady, seconds: 20, stragglers: 0.0, long: 0.0 };
const STRAGGLERS: Demand = Demand { name: "1 % hidden stragglers", stragglers: 0.01, ..PLAIN };
const LONG: Demand = Demand { name: "1 % declared long", long: 0.01, ..PLAIN };
const CREST: Demand =
    Demand { name: "crest 1.5", load: crest, seconds: 20, stragglers: 0.0, long: 0.0 };

/// A service of one user.
#[derive(Debug, Clone, Copy)]
struct Service {
    name: &'static str,
    upstreams: usize,
    places: usize,
}

const SERVICES: [Service; 4] = [
    Service { name: "kanoforge paperdesk", upstreams: 10, places: 6 },
    Service { name: "kanoforge printvault", upstreams: 6, places: 6 },
    Service { name: "avena compras", upstreams: 10, places: 3 },
    Service { name: "avena muelle", upstreams: 8, places: 3 },
];

#[derive(Debug, Clone, Copy)]
struct Request {
    id: usize,
    instance: usize,
    class: RequestClass,
    arrived: Micros,
    deadline: Micros,
    work: Micros,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrive(usize),
    /// The request reaches its upstream.
    Reach(usize, usize),
    /// The upstream is done with it.
    Done(usize, usize),
    /// The answer reaches the instance, with the load reported by the upstream.
    Back(usize, usize, u32),
    /// The caller's time is up.
    GiveUp(usize),
}

#[derive(Debug, Default)]
struct Worker {
    running: usize,
    queue: VecDeque<usize>,
    busy: Micros,
}

struct View {
    loads: Vec<UpstreamLoad>,
    gates: Vec<AdmissionQueue>,
    tickets: HashMap<(usize, u64), usize>,
    next: usize,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Fate {
    Open,
    Answered,
    Late,
    Refused,
}

struct Bench {
    policy: Policy,
    service: Service,
    rng: SmallRng,
    now: Micros,
    events: BinaryHeap<Reverse<(Micros, usize, Event)>>,
    sequence: usize,
    requests: Vec<Request>,
    fates: Vec<Fate>,
    started: HashMap<usize, Micros>,
    sent_at: HashMap<usize, Micros>,
    workers: Vec<Worker>,
    views: Vec<View>,
    result: Outcome,
}

struct Outcome {
    short: Histogram<u64>,
    asked: u64,
    in_time: u64,
    refused: u64,
    late: u64,
    wasted: Micros,
    used: Micros,
    busy: Vec<Micros>,
    /// Requests asked for and answered in time while the crest lasted.
    crest: (u64, u64),
    /// Latest arrival after the crest of a request that was not answered in time.
    last_trouble: Micros,
}

impl Bench {
    fn new(policy: Policy, service: Service, seed: u64) -> Self {
        let short = (2 * service.places).div_ceil(INSTANCES).max(2);
        let places = (service.places / 2).max(1);
        let view = |instance: usize| View {
            loads: vec![UpstreamLoad::new(0); service.upstreams],
            gates: (0..service.upstreams)
                .map(|u| {
                    let mut long = long_request_quota(places, u, instance, INSTANCES);
                    let none = places * service.upstreams <= instance;
                    if none && u == instance % service.upstreams {
                        long = 1;
                    }
                    AdmissionQueue::new(short, long, 256)
                })
                .collect(),
            tickets: HashMap::new(),
            next: instance,
        };
        Self {
            policy,
            service,
            rng: SmallRng::seed_from_u64(seed),
            now: 60 * SECOND,
            events: BinaryHeap::new(),
            sequence: 0,
            requests: Vec::new(),
            fates: Vec::new(),
            started: HashMap::new(),
            sent_at: HashMap::new(),
            workers: (0..service.upstreams).map(|_| Worker::default()).collect(),
            views: (0..INSTANCES).map(view).collect(),
            result: Outcome {
                short: Histogram::new(3).unwrap(),
                asked: 0,
                in_time: 0,
                refused: 0,
                late: 0,
                wasted: 0,
                used: 0,
                busy: Vec::new(),
                crest: (0, 0),
                last_trouble: 0,
            },
        }
    }

    fn at(&mut self, time: Micros, event: Event) {
        self.sequence += 1;
        self.events.push(Reverse((time, self.sequence, event)));
    }

    fn run(mut self, demand: &Demand) -> Outcome {
        let begin = self.now;
        self.arrivals(demand);
        while let Some(Reverse((time, _, event))) = self.events.pop() {
            self.now = time;
            match event {
                Event::Arrive(r) => self.arrive(r),
                Event::Reach(r, u) => self.reach(r, u),
                Event::Done(r, u) => self.done(r, u),
                Event::Back(r, u, load) => self.back(r, u, load),
                Event::GiveUp(r) => self.give_up(r),
            }
        }
        self.sum_up(begin);
        self.result
    }

    /// Draws all arrivals: a Poisson process whose rate follows the demand.
    fn arrivals(&mut self, demand: &Demand) {
        let mean =
            SHORT_WORK * (1.0 + (demand.stragglers + demand.long) * (STRAGGLER_FACTOR - 1.0));
        let capacity = (self.service.upstreams * self.service.places) as f64 / mean;
        let begin = self.now;
        let mut t = 0.0;
        while t < (demand.seconds * SECOND) as f64 {
            let rate = capacity * (demand.load)(t / SECOND as f64);
            t += -self.rng.random::<f64>().max(1e-12).ln() / rate;
            let arrived = begin + t as Micros;
            let id = self.requests.len();
            let long = self.rng.random_bool(demand.long);
            let hidden = !long && self.rng.random_bool(demand.stragglers);
            let factor = if long || hidden { STRAGGLER_FACTOR } else { 1.0 };
            let work = SHORT_WORK * factor * self.rng.random_range(0.5..1.5);
            let class = if long { RequestClass::Long } else { RequestClass::Short };
            // A hidden straggler's caller waits for it; its own time is not counted as short.
            let patience = if long || hidden { LONG_DEADLINE } else { SHORT_DEADLINE };
            let deadline = arrived + patience;
            let instance = self.rng.random_range(0..INSTANCES);
            self.requests.push(Request {
                id,
                instance,
                class,
                arrived,
                deadline,
                work: work as u64,
            });
            self.at(arrived, Event::Arrive(id));
            self.at(deadline, Event::GiveUp(id));
        }
        self.fates = vec![Fate::Open; self.requests.len()];
    }

    fn arrive(&mut self, id: usize) {
        let r = self.requests[id];
        let upstream = self.choose(&r);
        let Some(upstream) = upstream else {
            self.fates[id] = Fate::Refused;
            return;
        };
        self.views[r.instance].loads[upstream].on_start();
        if self.policy != Policy::Product {
            self.send(id, upstream);
            return;
        }
        let gate = &mut self.views[r.instance].gates[upstream];
        match gate.try_admit(self.now / 1_000, r.class, r.deadline / 1_000) {
            Admission::Admitted => self.send(id, upstream),
            Admission::Rejected { .. } => {
                self.views[r.instance].loads[upstream].on_end();
                self.fates[id] = Fate::Refused;
            }
            Admission::Queued(ticket) => {
                self.views[r.instance].tickets.insert((upstream, ticket), id);
            }
        }
    }

    fn choose(&mut self, r: &Request) -> Option<usize> {
        let upstreams = self.service.upstreams;
        let view = &mut self.views[r.instance];
        match self.policy {
            Policy::Random => Some(self.rng.random_range(0..upstreams)),
            Policy::RoundRobin => {
                view.next += 1;
                Some(view.next % upstreams)
            }
            Policy::LeastInFlight => {
                let least = view.loads.iter().map(|l| l.in_flight).min()?;
                let equal: Vec<usize> =
                    (0..upstreams).filter(|u| view.loads[*u].in_flight == least).collect();
                Some(equal[self.rng.random_range(0..equal.len())])
            }
            Policy::Product | Policy::Fifo => {
                let takes = |u: &usize| {
                    self.policy == Policy::Fifo
                        || r.class == RequestClass::Short
                        || view.gates[*u].accepts_long()
                };
                let candidates: Vec<usize> = (0..upstreams).filter(takes).collect();
                let loads: Vec<&UpstreamLoad> =
                    candidates.iter().map(|u| &view.loads[*u]).collect();
                let places = u32::try_from(self.service.places).unwrap();
                let n = choose_upstream(&loads, self.now / 1_000, places, &mut self.rng)?;
                Some(candidates[n])
            }
        }
    }

    fn send(&mut self, id: usize, upstream: usize) {
        self.sent_at.insert(id, self.now);
        self.at(self.now + HOP, Event::Reach(id, upstream));
    }

    fn reach(&mut self, id: usize, upstream: usize) {
        self.workers[upstream].queue.push_back(id);
        self.start_work(upstream);
    }

    /// Starts queued requests; those whose time is up are refused, which costs no work.
    fn start_work(&mut self, upstream: usize) {
        while self.workers[upstream].running < self.service.places {
            let Some(id) = self.workers[upstream].queue.pop_front() else { return };
            let r = self.requests[id];
            if self.fates[id] != Fate::Open || self.now >= r.deadline {
                let load = self.load(upstream);
                self.at(self.now + HOP, Event::Back(id, upstream, load));
                continue;
            }
            self.workers[upstream].running += 1;
            self.started.insert(id, self.now);
            // Work is cancelled when the caller's time is up.
            let until = (self.now + r.work).min(r.deadline);
            self.at(until, Event::Done(id, upstream));
        }
    }

    fn load(&self, upstream: usize) -> u32 {
        let w = &self.workers[upstream];
        u32::try_from(w.running + w.queue.len()).unwrap()
    }

    fn done(&mut self, id: usize, upstream: usize) {
        let took = self.now - self.started.remove(&id).unwrap();
        self.workers[upstream].running -= 1;
        self.workers[upstream].busy += took;
        self.result.used += took;
        if took < self.requests[id].work {
            self.result.wasted += took;
        }
        let load = self.load(upstream);
        self.at(self.now + HOP, Event::Back(id, upstream, load));
        self.start_work(upstream);
    }

    fn back(&mut self, id: usize, upstream: usize, load: u32) {
        let r = self.requests[id];
        let took_ms = (self.now - self.sent_at[&id]) as f64 / 1_000.0;
        let view = &mut self.views[r.instance];
        view.loads[upstream].on_end();
        if r.class == RequestClass::Short {
            view.loads[upstream].on_answer(self.now / 1_000, took_ms, Some(load));
        }
        if self.fates[id] == Fate::Open && self.now <= r.deadline {
            self.fates[id] = Fate::Answered;
            if r.deadline - r.arrived == SHORT_DEADLINE {
                self.result.short.record(self.now - r.arrived).unwrap();
            }
        }
        if self.policy == Policy::Product {
            let admitted = view.gates[upstream].release(r.class, Some(took_ms));
            let next: Vec<usize> =
                admitted.iter().filter_map(|t| view.tickets.remove(&(upstream, *t))).collect();
            for id in next {
                self.send(id, upstream);
            }
        }
    }

    fn give_up(&mut self, id: usize) {
        if self.fates[id] != Fate::Open {
            return;
        }
        self.fates[id] = Fate::Late;
        let r = self.requests[id];
        let view = &mut self.views[r.instance];
        let waiting = view.tickets.iter().find(|(_, waiting)| **waiting == id).map(|(k, _)| *k);
        if let Some((upstream, ticket)) = waiting {
            view.tickets.remove(&(upstream, ticket));
            view.gates[upstream].abandon(r.class, ticket);
            view.loads[upstream].on_end();
        }
    }

    fn sum_up(&mut self, begin: Micros) {
        let (from, to) = (begin + 7 * SECOND, begin + 13 * SECOND);
        for r in &self.requests {
            let fate = self.fates[r.id];
            let in_time = fate == Fate::Answered;
            self.result.asked += 1;
            self.result.in_time += u64::from(in_time);
            self.result.refused += u64::from(fate == Fate::Refused);
            self.result.late += u64::from(fate == Fate::Late);
            if (from..to).contains(&r.arrived) {
                self.result.crest.0 += 1;
                self.result.crest.1 += u64::from(in_time);
            }
            if r.arrived >= to && !in_time {
                self.result.last_trouble = self.result.last_trouble.max(r.arrived - to);
            }
        }
        self.result.busy = self.workers.iter().map(|w| w.busy).collect();
    }
}

fn main() {
    if std::env::args().any(|a| a == "--test") {
        return;
    }
    for service in SERVICES {
        for demand in [PLAIN, STRAGGLERS, LONG, CREST] {
            println!("\n{}, {}:", service.name, demand.name);
            for policy in POLICIES {
                for seed in SEEDS {
                    let o = Bench::new(policy, service, seed).run(&demand);
                    show(policy, seed, &o, service);
                }
            }
        }
    }
}

fn show(policy: Policy, seed: u64, o: &Outcome, service: Service) {
    let ms = |q: f64| o.short.value_at_quantile(q) as f64 / 1_000.0;
    let share = |n: u64| 100.0 * n as f64 / o.asked as f64;
    let mean = o.busy.iter().sum::<u64>() as f64 / o.busy.len() as f64;
    let most = *o.busy.iter().max().unwrap() as f64;
    let capacity = 6.0 * (service.upstreams * service.places) as f64 / SHORT_WORK * 1e6;
    println!(
        "  {:<14} seed {seed}: p50 {:>6.1} p99 {:>6.1} p99.9 {:>6.1} ms; in time {:>5.1} %, refused \
         {:>4.1} %, late {:>4.1} %; crest {:>5.1} % of capacity in time; imbalance {:.3}; wasted \
         {:>4.1} %; trouble until {:>5} ms after",
        format!("{policy:?}"),
        ms(0.5),
        ms(0.99),
        ms(0.999),
        share(o.in_time),
        share(o.refused),
        share(o.late),
        100.0 * o.crest.1 as f64 / capacity,
        most / mean,
        100.0 * o.wasted as f64 / o.used as f64,
        o.last_trouble / 1_000
    );
}
