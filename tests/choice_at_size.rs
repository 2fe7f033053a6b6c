//! Upstreams of uneven speed behind many instances, each of which sees a given upstream once in some
//! seconds: the real dispatchers and a model of upstreams, in virtual time.

#![expect(
    clippy::cast_precision_loss,
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "small numbers"
)]

use mulberryspur::{
    admission_level::AdmissionLevel,
    dispatch::{
        Completion, Decision, Destination, Dispatcher, LoadReport, RequestSpec, UpstreamSpec,
    },
    rate_limit::InstancePosition,
};
use rand::{Rng, SeedableRng, rngs::StdRng};
use std::{
    collections::{HashMap, VecDeque},
    sync::Arc,
};

/// Speeds of the upstreams, in turn.
const SPEEDS: [f64; 3] = [0.6, 1.0, 1.4];
/// Share of the time for which an upstream is slowed down.
const SLOW_SHARE: f64 = 0.2;
/// Factor by which work then takes longer.
const SLOW_FACTOR: f64 = 3.0;
/// Time in milliseconds for which the speed stays the same.
const SLOW_PERIOD_MS: u64 = 400;
/// Requests that wait at an upstream at most.
const QUEUE: usize = 12;
const WARM_UP_MS: u64 = 5_000;
const END_MS: u64 = 15_000;
const DATA_CENTERS: usize = 3;

#[derive(Debug, Clone, Copy)]
struct Scenario {
    instances: usize,
    upstreams: usize,
    concurrency: usize,
    /// Requests per second as a share of what all upstreams can run.
    load: f64,
    mean_ms: f64,
    objective_ms: u64,
}

#[derive(Debug, Default)]
struct Outcome {
    asked: usize,
    on_time: usize,
    late: usize,
    rejected: usize,
    busiest: f64,
    remote: usize,
}

#[derive(Debug)]
struct Request {
    instance: usize,
    arrived_at: u64,
    sent_at: u64,
    work_ms: f64,
}

#[derive(Debug, Default)]
struct Server {
    /// Requests that run, with the work that is left.
    running: Vec<(Request, f64)>,
    queue: VecDeque<Request>,
    arrivals: usize,
}

struct Replay {
    scenario: Scenario,
    rng: StdRng,
    dispatchers: Vec<Dispatcher>,
    servers: Vec<Server>,
    waiting: HashMap<(usize, u64), Request>,
    outcome: Outcome,
}

fn id_of(n: usize) -> Arc<str> {
    format!("u{n:03}").into()
}

fn number_of(id: &str) -> usize {
    id[1..].parse().expect("a number")
}

impl Replay {
    fn new(scenario: Scenario, seed: u64) -> Self {
        let dispatcher = |instance: usize| {
            let mut d = Dispatcher::default();
            d.set_position(InstancePosition {
                instances: u32::try_from(scenario.instances).expect("few"),
                ..InstancePosition::default()
            });
            let spec = |n: usize| UpstreamSpec {
                id: id_of(n),
                started: 1,
                concurrency: u32::try_from(scenario.concurrency).expect("small"),
                same_data_center: n % DATA_CENTERS == instance % DATA_CENTERS,
                leaving: false,
                max_connections: 5,
            };
            d.set_upstreams(0, (0..scenario.upstreams).map(spec));
            d
        };
        Self {
            scenario,
            rng: StdRng::seed_from_u64(seed),
            dispatchers: (0..scenario.instances).map(dispatcher).collect(),
            servers: (0..scenario.upstreams).map(|_| Server::default()).collect(),
            waiting: HashMap::new(),
            outcome: Outcome::default(),
        }
    }

    fn speed(n: usize, now: u64) -> f64 {
        // A hash of upstream and period decides when it is slow.
        let period = (now + 37 * n as u64) / SLOW_PERIOD_MS;
        let hash = (period.wrapping_mul(0x9E37_79B9_7F4A_7C15) ^ n as u64)
            .wrapping_mul(0xD6E8_FEB8_6659_FD93)
            >> 32;
        let slow = (hash % 1_000) < (SLOW_SHARE * 1_000.0) as u64;
        SPEEDS[n / DATA_CENTERS % SPEEDS.len()] / if slow { SLOW_FACTOR } else { 1.0 }
    }

    fn run(mut self) -> Outcome {
        let s = self.scenario;
        let mean_speed = SPEEDS.iter().sum::<f64>() / SPEEDS.len() as f64
            * (1.0 - SLOW_SHARE + SLOW_SHARE / SLOW_FACTOR);
        let capacity = s.upstreams as f64 * s.concurrency as f64 * mean_speed / s.mean_ms;
        let rate = capacity * s.load;
        let mut next = 0.0;
        for now in 0..END_MS {
            for n in 0..s.upstreams {
                self.serve(now, n);
            }
            while next < now as f64 {
                next += -(1.0 - self.rng.random::<f64>()).ln() / rate;
                self.arrive(now);
            }
            for instance in 0..s.instances {
                if self.dispatchers[instance].request_counts().1 == 0 {
                    continue;
                }
                for (ticket, decision) in self.dispatchers[instance].poll(now) {
                    let req = self.waiting.remove(&(instance, ticket)).expect("a waiting request");
                    self.decide(now, req, &decision);
                }
            }
        }
        let arrivals = || self.servers.iter().map(|s| s.arrivals as f64);
        self.outcome.busiest =
            arrivals().fold(0.0, f64::max) * s.upstreams as f64 / arrivals().sum::<f64>();
        self.outcome
    }

    fn arrive(&mut self, now: u64) {
        let instance = self.rng.random_range(0..self.scenario.instances);
        let work_ms = self.scenario.mean_ms * self.rng.random_range(0.5..1.5);
        let req = Request { instance, arrived_at: now, sent_at: now, work_ms };
        self.outcome.asked += usize::from(now >= WARM_UP_MS);
        let spec = RequestSpec {
            priority: 1,
            arrived_at: now,
            objective_at: now + self.scenario.objective_ms,
            deadline: now + 4 * self.scenario.objective_ms,
            destination: Destination::Any,
            key: None,
            large_response: false,
            tried: Vec::new(),
            admitted: false,
            forwardable: false,
        };
        match self.dispatchers[instance].submit(now, spec) {
            Ok(decision) => self.decide(now, req, &decision),
            Err(ticket) => {
                self.waiting.insert((instance, ticket), req);
            }
        }
    }

    fn decide(&mut self, now: u64, mut req: Request, decision: &Decision) {
        match decision {
            Decision::Send(id) => {
                let n = number_of(id);
                req.sent_at = now;
                if now >= WARM_UP_MS {
                    self.servers[n].arrivals += 1;
                    self.outcome.remote +=
                        usize::from(n % DATA_CENTERS != req.instance % DATA_CENTERS);
                }
                if self.servers[n].queue.len() < QUEUE {
                    self.servers[n].queue.push_back(req);
                } else {
                    self.outcome.rejected += usize::from(req.arrived_at >= WARM_UP_MS);
                    self.dispatchers[req.instance].on_completion(
                        now,
                        id,
                        Completion::Refused,
                        None,
                    );
                }
            }
            Decision::Reject { .. } => {
                self.outcome.rejected += usize::from(req.arrived_at >= WARM_UP_MS);
            }
            Decision::Forward => panic!("the upstreams are reachable"),
        }
    }

    fn serve(&mut self, now: u64, n: usize) {
        let speed = Self::speed(n, now);
        let concurrency = self.scenario.concurrency;
        let server = &mut self.servers[n];
        for r in &mut server.running {
            r.1 -= speed;
        }
        let (done, running): (Vec<_>, Vec<_>) =
            std::mem::take(&mut server.running).into_iter().partition(|r| r.1 <= 0.0);
        server.running = running;
        while server.running.len() < concurrency
            && let Some(req) = server.queue.pop_front()
        {
            let work = req.work_ms;
            server.running.push((req, work));
        }
        let count = |n: usize| u32::try_from(n).expect("small");
        let load = LoadReport {
            running: count(server.running.len()),
            waiting: count(server.queue.len()),
            concurrency: count(concurrency),
        };
        for (req, _) in done {
            let took = now - req.sent_at;
            let completion = Completion::Responded(took as f64);
            let dispatcher = &mut self.dispatchers[req.instance];
            dispatcher.on_completion(now, &id_of(n), completion, Some(load));
            let left = (req.arrived_at + self.scenario.objective_ms).saturating_sub(req.sent_at);
            dispatcher.on_answered(now, load, took as f64, left as f64);
            if req.arrived_at >= WARM_UP_MS {
                if now - req.arrived_at <= self.scenario.objective_ms {
                    self.outcome.on_time += 1;
                } else {
                    self.outcome.late += 1;
                }
            }
        }
    }
}

impl Outcome {
    fn share(&self, n: usize) -> f64 {
        n as f64 / self.asked as f64
    }
}

/// Requests that meet their objective, as a share of those that the upstreams could serve.
fn goodput(scenario: Scenario) -> f64 {
    let outcome = Replay::new(scenario, 1).run();
    println!("{scenario:?}: {outcome:?}");
    outcome.share(outcome.on_time) / (1.0 / scenario.load).min(1.0)
}

fn scenario(instances: usize, upstreams: usize, concurrency: usize, load: f64) -> Scenario {
    Scenario { instances, upstreams, concurrency, load, mean_ms: 133.0, objective_ms: 500 }
}

macro_rules! size_tests {
    ($($calm:ident, $crest:ident: $instances:expr, $upstreams:expr, $concurrency:expr;)*) => {$(
        /// Guards against rejections while the upstreams have room.
        #[test]
        fn $calm() {
            let outcome = Replay::new(scenario($instances, $upstreams, $concurrency, 0.5), 1).run();
            assert!(outcome.share(outcome.rejected) <= 0.01, "{outcome:?}");
        }

        /// Guards against a collapse past saturation, where the upstreams are busy with requests that
        /// they serve too late. The target is nine tenths of the capacity at 2.6 times the capacity.
        #[test]
        fn $crest() {
            let goodput = goodput(scenario($instances, $upstreams, $concurrency, 2.6));
            assert!(goodput >= 0.9, "{goodput}");
        }
    )*};
}

size_tests! {
    calm_load_through_12_instances, crest_through_12_instances: 12, 10, 6;
    calm_load_through_85_instances, crest_through_85_instances: 85, 70, 3;
    calm_load_through_90_instances, crest_through_90_instances: 90, 150, 2;
}

/// Guards against requests that are rejected while less urgent ones are admitted, and against the less
/// urgent ones getting nothing.
#[test]
fn urgent_requests_are_admitted_first() {
    let mut level = AdmissionLevel::default();
    let late = LoadReport { running: 3, waiting: 12, concurrency: 3 };
    let mut admitted = [0u32; 2];
    for now in 0..20_000u64 {
        for (priority, count) in admitted.iter_mut().enumerate() {
            let priority = u8::try_from(priority).expect("small");
            *count += u32::from(level.admits(now, priority) && now >= 10_000);
        }
        // Delayed as long as more than half of the requests are admitted.
        let took_ms = if level.level() > 0.5 { 900.0 } else { 100.0 };
        level.on_response(now, late, took_ms, 500.0);
    }
    let shares = admitted.map(|n| f64::from(n) / 10_000.0);
    assert!(shares[0] > 1.5 * shares[1], "{shares:?}");
    // A quarter of the mean is the least that a kind of request may be served.
    assert!(shares[1] >= 0.25 * (shares[0] + shares[1]) / 2.0, "{shares:?}");
}
