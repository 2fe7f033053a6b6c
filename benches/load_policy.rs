//! Compares the load policy of `mulberryd` with baselines, on simulated upstreams in virtual time.
//!
//! Twelve instances choose upstreams, queue and reject with the product's own types. Each upstream
//! runs a fixed number of requests at once and queues the rest in order of arrival. Load reports
//! reach an instance only with responses, so they lag.
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
const NETWORK_DELAY: Micros = 1_000;
const MEAN_SHORT_WORK_US: f64 = 10_000.0;
const STRAGGLER_FACTOR: f64 = 50.0;
const SHORT_TIMEOUT: Micros = 250_000;
const LONG_TIMEOUT: Micros = 10_000_000;
const SEEDS: [u64; 3] = [1, 2, 3];
const SECOND: Micros = 1_000_000;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Policy {
    /// The product's: the upstream with the lowest expected cost, request classes, bounded queues
    /// and rejection by deadline.
    Product,
    Random,
    RoundRobin,
    /// The upstream with the fewest requests of the instance in flight.
    LeastInFlight,
    /// The product's choice of the upstream, but no queues, classes or rejections on the instance:
    /// requests wait only in the upstream's queue, in order of arrival.
    Fifo,
}

const POLICIES: [Policy; 5] =
    [Policy::Product, Policy::Random, Policy::RoundRobin, Policy::LeastInFlight, Policy::Fifo];

/// A pattern of requests.
#[derive(Debug, Clone, Copy)]
struct Scenario {
    name: &'static str,
    /// Offered load as a share of the capacity, by the second of the run.
    offered_load: fn(f64) -> f64,
    seconds: u64,
    /// Share of requests that take 50 times the work but are declared short.
    straggler_share: f64,
    /// Share of requests that are declared long and take 50 times the work.
    long_share: f64,
}

fn steady(_: f64) -> f64 {
    0.7
}

/// Load that rises fourfold within three seconds to 1.5 times the capacity, stays there for six
/// seconds, and falls again.
fn crest(t: f64) -> f64 {
    match t {
        t if t < 4.0 => 0.375,
        t if t < 7.0 => 0.375 + (t - 4.0) / 3.0 * 1.125,
        t if t < 13.0 => 1.5,
        _ => 0.375,
    }
}

const PLAIN: Scenario = Scenario {
    name: "steady 0.7",
    offered_load: steady,
    seconds: 20,
    straggler_share: 0.0,
    long_share: 0.0,
};
const STRAGGLERS: Scenario =
    Scenario { name: "1 % hidden stragglers", straggler_share: 0.01, ..PLAIN };
const LONG: Scenario = Scenario { name: "1 % declared long", long_share: 0.01, ..PLAIN };
const CREST: Scenario = Scenario {
    name: "crest 1.5",
    offered_load: crest,
    seconds: 20,
    straggler_share: 0.0,
    long_share: 0.0,
};

/// A service of one user.
#[derive(Debug, Clone, Copy)]
struct Service {
    name: &'static str,
    upstreams: usize,
    concurrency: usize,
}

const SERVICES: [Service; 4] = [
    Service { name: "kanoforge paperdesk", upstreams: 10, concurrency: 6 },
    Service { name: "kanoforge printvault", upstreams: 6, concurrency: 6 },
    Service { name: "avena compras", upstreams: 10, concurrency: 3 },
    Service { name: "avena muelle", upstreams: 8, concurrency: 3 },
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
    ReachUpstream(usize, usize),
    /// The upstream has finished the request, or cancels it.
    Done(usize, usize),
    /// The response reaches the instance, with the load reported by the upstream.
    Respond(usize, usize, u32),
    /// The caller's deadline is over.
    TimeOut(usize),
}

/// An upstream, which queues the requests that it cannot run yet.
#[derive(Debug, Default)]
struct SimulatedUpstream {
    running: usize,
    queue: VecDeque<usize>,
    busy: Micros,
}

struct InstanceView {
    loads: Vec<UpstreamLoad>,
    queues: Vec<AdmissionQueue>,
    tickets: HashMap<(usize, u64), usize>,
    /// Counter of the round-robin policy.
    round_robin_count: usize,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum RequestState {
    Open,
    Responded,
    Late,
    Rejected,
}

struct Simulation {
    policy: Policy,
    service: Service,
    rng: SmallRng,
    now: Micros,
    events: BinaryHeap<Reverse<(Micros, usize, Event)>>,
    last_sequence: usize,
    requests: Vec<Request>,
    states: Vec<RequestState>,
    started: HashMap<usize, Micros>,
    sent_at: HashMap<usize, Micros>,
    simulated_upstreams: Vec<SimulatedUpstream>,
    views: Vec<InstanceView>,
    result: Outcome,
}

struct Outcome {
    short: Histogram<u64>,
    total: u64,
    in_time: u64,
    rejected: u64,
    late: u64,
    /// Work of requests that were cancelled.
    wasted_work: Micros,
    total_work: Micros,
    /// Work of each upstream.
    busy: Vec<Micros>,
    /// Requests that arrived while the crest lasted, and those of them that were served in time.
    crest: (u64, u64),
    /// Latest arrival of a request that was not served in time, counted from the end of the crest.
    last_failure: Micros,
}

impl Simulation {
    fn new(policy: Policy, service: Service, seed: u64) -> Self {
        let short_limit = (2 * service.concurrency).div_ceil(INSTANCES).max(2);
        let long_limit = (service.concurrency / 2).max(1);
        let view = |instance: usize| InstanceView {
            loads: vec![UpstreamLoad::new(0); service.upstreams],
            queues: (0..service.upstreams)
                .map(|u| {
                    let mut long = long_request_quota(long_limit, u, instance, INSTANCES);
                    let without_quota = long_limit * service.upstreams <= instance;
                    if without_quota && u == instance % service.upstreams {
                        long = 1;
                    }
                    AdmissionQueue::new(short_limit, long, 256)
                })
                .collect(),
            tickets: HashMap::new(),
            round_robin_count: instance,
        };
        Self {
            policy,
            service,
            rng: SmallRng::seed_from_u64(seed),
            now: 60 * SECOND,
            events: BinaryHeap::new(),
            last_sequence: 0,
            requests: Vec::new(),
            states: Vec::new(),
            started: HashMap::new(),
            sent_at: HashMap::new(),
            simulated_upstreams: (0..service.upstreams)
                .map(|_| SimulatedUpstream::default())
                .collect(),
            views: (0..INSTANCES).map(view).collect(),
            result: Outcome {
                short: Histogram::new(3).unwrap(),
                total: 0,
                in_time: 0,
                rejected: 0,
                late: 0,
                wasted_work: 0,
                total_work: 0,
                busy: Vec::new(),
                crest: (0, 0),
                last_failure: 0,
            },
        }
    }

    fn schedule(&mut self, time: Micros, event: Event) {
        self.last_sequence += 1;
        self.events.push(Reverse((time, self.last_sequence, event)));
    }

    fn run(mut self, scenario: &Scenario) -> Outcome {
        let start = self.now;
        self.generate_arrivals(scenario);
        while let Some(Reverse((time, _, event))) = self.events.pop() {
            self.now = time;
            match event {
                Event::Arrive(r) => self.on_arrival(r),
                Event::ReachUpstream(r, u) => self.on_reach_upstream(r, u),
                Event::Done(r, u) => self.on_done(r, u),
                Event::Respond(r, u, load) => self.on_response(r, u, load),
                Event::TimeOut(r) => self.on_timeout(r),
            }
        }
        self.aggregate(start);
        self.result
    }

    /// Draws all arrivals: a Poisson process whose rate follows the offered load.
    fn generate_arrivals(&mut self, scenario: &Scenario) {
        let mean = MEAN_SHORT_WORK_US
            * (1.0 + (scenario.straggler_share + scenario.long_share) * (STRAGGLER_FACTOR - 1.0));
        let capacity = (self.service.upstreams * self.service.concurrency) as f64 / mean;
        let start = self.now;
        let mut t = 0.0;
        while t < (scenario.seconds * SECOND) as f64 {
            let rate = capacity * (scenario.offered_load)(t / SECOND as f64);
            t += -self.rng.random::<f64>().max(1e-12).ln() / rate;
            let arrived = start + t as Micros;
            let id = self.requests.len();
            let long = self.rng.random_bool(scenario.long_share);
            let hidden = !long && self.rng.random_bool(scenario.straggler_share);
            let factor = if long || hidden { STRAGGLER_FACTOR } else { 1.0 };
            let work = MEAN_SHORT_WORK_US * factor * self.rng.random_range(0.5..1.5);
            let class = if long { RequestClass::Long } else { RequestClass::Short };
            // The caller of a straggler waits longer, and its time is not counted as that of a
            // short request.
            let timeout = if long || hidden { LONG_TIMEOUT } else { SHORT_TIMEOUT };
            let deadline = arrived + timeout;
            let instance = self.rng.random_range(0..INSTANCES);
            self.requests.push(Request {
                id,
                instance,
                class,
                arrived,
                deadline,
                work: work as u64,
            });
            self.schedule(arrived, Event::Arrive(id));
            self.schedule(deadline, Event::TimeOut(id));
        }
        self.states = vec![RequestState::Open; self.requests.len()];
    }

    fn on_arrival(&mut self, id: usize) {
        let r = self.requests[id];
        let upstream = self.choose(&r);
        let Some(upstream) = upstream else {
            self.states[id] = RequestState::Rejected;
            return;
        };
        self.views[r.instance].loads[upstream].on_start();
        if self.policy != Policy::Product {
            self.send(id, upstream);
            return;
        }
        let queue = &mut self.views[r.instance].queues[upstream];
        match queue.try_admit(self.now / 1_000, r.class, r.deadline / 1_000) {
            Admission::Admitted => self.send(id, upstream),
            Admission::Rejected { .. } => {
                self.views[r.instance].loads[upstream].on_end();
                self.states[id] = RequestState::Rejected;
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
                view.round_robin_count += 1;
                Some(view.round_robin_count % upstreams)
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
                        || view.queues[*u].accepts_long()
                };
                let candidates: Vec<usize> = (0..upstreams).filter(takes).collect();
                let loads: Vec<&UpstreamLoad> =
                    candidates.iter().map(|u| &view.loads[*u]).collect();
                let concurrency = u32::try_from(self.service.concurrency).unwrap();
                let n = choose_upstream(&loads, self.now / 1_000, concurrency, &mut self.rng)?;
                Some(candidates[n])
            }
        }
    }

    fn send(&mut self, id: usize, upstream: usize) {
        self.sent_at.insert(id, self.now);
        self.schedule(self.now + NETWORK_DELAY, Event::ReachUpstream(id, upstream));
    }

    fn on_reach_upstream(&mut self, id: usize, upstream: usize) {
        self.simulated_upstreams[upstream].queue.push_back(id);
        self.start_queued(upstream);
    }

    /// Starts queued requests; the upstream refuses those whose deadline is over, which costs no
    /// work.
    fn start_queued(&mut self, upstream: usize) {
        while self.simulated_upstreams[upstream].running < self.service.concurrency {
            let Some(id) = self.simulated_upstreams[upstream].queue.pop_front() else { return };
            let r = self.requests[id];
            if self.states[id] != RequestState::Open || self.now >= r.deadline {
                let load = self.reported_load(upstream);
                self.schedule(self.now + NETWORK_DELAY, Event::Respond(id, upstream, load));
                continue;
            }
            self.simulated_upstreams[upstream].running += 1;
            self.started.insert(id, self.now);
            // Work is cancelled when the caller's deadline is over.
            let until = (self.now + r.work).min(r.deadline);
            self.schedule(until, Event::Done(id, upstream));
        }
    }

    fn reported_load(&self, upstream: usize) -> u32 {
        let u = &self.simulated_upstreams[upstream];
        u32::try_from(u.running + u.queue.len()).unwrap()
    }

    fn on_done(&mut self, id: usize, upstream: usize) {
        let took = self.now - self.started.remove(&id).unwrap();
        self.simulated_upstreams[upstream].running -= 1;
        self.simulated_upstreams[upstream].busy += took;
        self.result.total_work += took;
        if took < self.requests[id].work {
            self.result.wasted_work += took;
        }
        let load = self.reported_load(upstream);
        self.schedule(self.now + NETWORK_DELAY, Event::Respond(id, upstream, load));
        self.start_queued(upstream);
    }

    fn on_response(&mut self, id: usize, upstream: usize, load: u32) {
        let r = self.requests[id];
        let took_ms = (self.now - self.sent_at[&id]) as f64 / 1_000.0;
        let view = &mut self.views[r.instance];
        view.loads[upstream].on_end();
        if r.class == RequestClass::Short {
            view.loads[upstream].on_response(self.now / 1_000, took_ms, Some(load));
        }
        if self.states[id] == RequestState::Open && self.now <= r.deadline {
            self.states[id] = RequestState::Responded;
            if r.deadline - r.arrived == SHORT_TIMEOUT {
                self.result.short.record(self.now - r.arrived).unwrap();
            }
        }
        if self.policy == Policy::Product {
            let admitted = view.queues[upstream].release(r.class, Some(took_ms));
            let next: Vec<usize> =
                admitted.iter().filter_map(|t| view.tickets.remove(&(upstream, *t))).collect();
            for id in next {
                self.send(id, upstream);
            }
        }
    }

    fn on_timeout(&mut self, id: usize) {
        if self.states[id] != RequestState::Open {
            return;
        }
        self.states[id] = RequestState::Late;
        let r = self.requests[id];
        let view = &mut self.views[r.instance];
        let waiting = view.tickets.iter().find(|(_, waiting)| **waiting == id).map(|(k, _)| *k);
        if let Some((upstream, ticket)) = waiting {
            view.tickets.remove(&(upstream, ticket));
            view.queues[upstream].abandon(r.class, ticket);
            view.loads[upstream].on_end();
        }
    }

    fn aggregate(&mut self, start: Micros) {
        let (from, to) = (start + 7 * SECOND, start + 13 * SECOND);
        for r in &self.requests {
            let state = self.states[r.id];
            let in_time = state == RequestState::Responded;
            self.result.total += 1;
            self.result.in_time += u64::from(in_time);
            self.result.rejected += u64::from(state == RequestState::Rejected);
            self.result.late += u64::from(state == RequestState::Late);
            if (from..to).contains(&r.arrived) {
                self.result.crest.0 += 1;
                self.result.crest.1 += u64::from(in_time);
            }
            if r.arrived >= to && !in_time {
                self.result.last_failure = self.result.last_failure.max(r.arrived - to);
            }
        }
        self.result.busy = self.simulated_upstreams.iter().map(|u| u.busy).collect();
    }
}

fn main() {
    if std::env::args().any(|a| a == "--test") {
        return;
    }
    for service in SERVICES {
        for scenario in [PLAIN, STRAGGLERS, LONG, CREST] {
            println!("\n{}, {}:", service.name, scenario.name);
            for policy in POLICIES {
                for seed in SEEDS {
                    let o = Simulation::new(policy, service, seed).run(&scenario);
                    print_outcome(policy, seed, &o, service);
                }
            }
        }
    }
}

fn print_outcome(policy: Policy, seed: u64, o: &Outcome, service: Service) {
    let ms = |q: f64| o.short.value_at_quantile(q) as f64 / 1_000.0;
    let share = |n: u64| 100.0 * n as f64 / o.total as f64;
    let mean = o.busy.iter().sum::<u64>() as f64 / o.busy.len() as f64;
    let most = *o.busy.iter().max().unwrap() as f64;
    let capacity =
        6.0 * (service.upstreams * service.concurrency) as f64 / MEAN_SHORT_WORK_US * 1e6;
    println!(
        "  {:<14} seed {seed}: p50 {:>6.1} p99 {:>6.1} p99.9 {:>6.1} ms; in time {:>5.1} %, \
         rejected {:>4.1} %, late {:>4.1} %; crest {:>5.1} % of capacity in time; \
         imbalance {:.3}; wasted {:>4.1} %; failures until {:>5} ms after",
        format!("{policy:?}"),
        ms(0.5),
        ms(0.99),
        ms(0.999),
        share(o.in_time),
        share(o.rejected),
        share(o.late),
        100.0 * o.crest.1 as f64 / capacity,
        most / mean,
        100.0 * o.wasted_work as f64 / o.total_work as f64,
        o.last_failure / 1_000
    );
}
