//! An instance of `mulberryspur-platform` whose service loses many upstreams at once, or that is cut off
//! from all of them, in virtual time.

use mulberryspur::dispatch::{
    Completion, Decision, Destination, Dispatcher, Rejection, RequestSpec, UpstreamSpec,
};
use rand::{Rng, SeedableRng, rngs::StdRng};
use std::{collections::HashMap, sync::Arc};

/// Time in milliseconds with all upstreams, after which some are lost.
const START_MS: u64 = 10_000;
/// Time in milliseconds after the loss.
const LOSS_MS: u64 = 60_000;
/// Time in milliseconds in which a cut must be noticed.
const CUT_NOTICE_MS: u64 = 1_500;
/// Time in milliseconds for which an idle connection is kept.
const IDLE_MS: u64 = 8_000;
/// Time in milliseconds after which an attempt to connect is given up.
const CONNECT_TIMEOUT_MS: u64 = 250;
/// Time in milliseconds between two polls.
const POLL_MS: u64 = 20;
/// Time in milliseconds between two rounds of probes of an instance that is cut off.
const PROBE_MS: u64 = 300;
/// Time in milliseconds until other instances have refused a forwarded request.
const REFUSAL_MS: u64 = 30;

/// What is lost from [`START_MS`] on.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Loss {
    /// These upstreams refuse connections, and open ones are closed.
    Refuse(usize),
    /// Connections to these upstreams hang.
    Hang(usize),
    /// New connections to all upstreams are refused, open ones live on.
    RefuseNew,
}

#[derive(Debug)]
enum Event {
    Arrival,
    /// An attempt has got no connection.
    Unconnected(usize),
    Responded(usize, f64),
    RefusedByOthers(usize),
}

#[derive(Debug, Default)]
struct Totals {
    /// How often the instance concluded that it was cut off.
    cuts: usize,
    /// When it first did, in milliseconds after the loss.
    first_cut: Option<u64>,
    sent: usize,
    forwarded: usize,
    /// Rejections with the reason `cut off`.
    cut_off: usize,
    /// Requests for upstreams that live which were not sent.
    unserved: usize,
}

struct Replay {
    d: Dispatcher,
    rng: StdRng,
    upstreams: usize,
    loss: Loss,
    /// Until when a connection to each upstream is idle and usable.
    idle_until: Vec<u64>,
    /// By time and order of creation.
    events: std::collections::BTreeMap<(u64, u64), Event>,
    next_event: u64,
    waiting: HashMap<u64, usize>,
    totals: Totals,
}

fn id(n: usize) -> Arc<str> {
    format!("u{n}").into()
}

impl Replay {
    fn new(upstreams: usize, loss: Loss, seed: u64) -> Self {
        let mut d = Dispatcher::default();
        let specs = (0..upstreams).map(|n| UpstreamSpec {
            id: id(n),
            started: 1,
            concurrency: 3,
            same_data_center: true,
            leaving: false,
            max_connections: 3,
        });
        d.set_upstreams(0, specs);
        Self {
            d,
            rng: StdRng::seed_from_u64(seed),
            upstreams,
            loss,
            idle_until: vec![0; upstreams],
            events: std::collections::BTreeMap::new(),
            next_event: 0,
            waiting: HashMap::new(),
            totals: Totals::default(),
        }
    }

    fn schedule(&mut self, at: u64, event: Event) {
        self.next_event += 1;
        self.events.insert((at, self.next_event), event);
    }

    fn is_lost(&self, now: u64, upstream: usize) -> bool {
        let lost = match self.loss {
            Loss::Refuse(n) | Loss::Hang(n) => upstream < n,
            Loss::RefuseNew => now >= self.idle_until[upstream],
        };
        now >= START_MS && lost
    }

    fn decide(&mut self, now: u64, upstream: usize, decision: &Decision) {
        let after_loss = now >= START_MS;
        match decision {
            Decision::Send(_) if self.is_lost(now, upstream) => {
                let hangs = matches!(self.loss, Loss::Hang(_));
                let at = now + if hangs { CONNECT_TIMEOUT_MS } else { 1 };
                self.schedule(at, Event::Unconnected(upstream));
            }
            Decision::Send(_) => {
                if now >= self.idle_until[upstream] {
                    self.d.on_connected(&id(upstream));
                }
                self.totals.sent += usize::from(after_loss);
                let took = self.rng.random_range(96..310);
                self.idle_until[upstream] = now + took + IDLE_MS;
                let took_ms = f64::from(u32::try_from(took).expect("short"));
                self.schedule(now + took, Event::Responded(upstream, took_ms));
            }
            Decision::Forward => {
                self.totals.forwarded += usize::from(after_loss);
                if self.is_lost(now, upstream) {
                    self.schedule(now + REFUSAL_MS, Event::RefusedByOthers(upstream));
                }
            }
            Decision::Reject { reason, .. } => {
                self.totals.cut_off += usize::from(*reason == Rejection::CutOff);
                self.totals.unserved += usize::from(!self.is_lost(now, upstream));
            }
        }
    }

    fn arrive(&mut self, now: u64, upstream: usize, forwardable: bool) {
        let req = RequestSpec {
            priority: 1,
            arrived_at: now,
            objective_at: now + 800,
            deadline: now + 2_000,
            destination: Destination::Owner(id(upstream), 1),
            key: None,
            large_response: false,
            tried: Vec::new(),
            admitted: false,
            forwardable,
        };
        match self.d.submit(now, req) {
            Ok(decision) => self.decide(now, upstream, &decision),
            Err(ticket) => drop(self.waiting.insert(ticket, upstream)),
        }
    }

    fn poll(&mut self, now: u64) {
        for (ticket, decision) in self.d.poll(now) {
            let upstream = self.waiting.remove(&ticket).expect("a ticket");
            self.decide(now, upstream, &decision);
        }
    }

    /// Sends requests for owners chosen at random; `gap` returns the time to the next one.
    fn run(mut self, end: u64, gap: impl Fn(&mut StdRng) -> f64) -> Totals {
        let mut next_arrival = 0.0;
        self.schedule(0, Event::Arrival);
        let (mut was_cut, mut next_poll, mut next_probe) = (false, 0, 0);
        for now in 0..end {
            while let Some(entry) = self.events.first_entry().filter(|e| e.key().0 <= now) {
                match entry.remove() {
                    Event::Arrival => {
                        let upstream = self.rng.random_range(0..self.upstreams);
                        self.arrive(now, upstream, true);
                        next_arrival += gap(&mut self.rng);
                        #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
                        let at = (next_arrival as u64).max(now + 1);
                        self.schedule(at, Event::Arrival);
                    }
                    Event::Unconnected(n) => {
                        self.d.on_completion(now, &id(n), Completion::Unreachable, None);
                    }
                    Event::Responded(n, took) => {
                        let lost = self.is_lost(now, n) && self.loss != Loss::RefuseNew;
                        let completion =
                            if lost { Completion::Failed } else { Completion::Responded(took) };
                        self.d.on_completion(now, &id(n), completion, None);
                    }
                    Event::RefusedByOthers(n) => self.d.on_unreachable_for_others(now, &id(n)),
                }
            }
            if now >= next_poll {
                next_poll = now + POLL_MS;
                self.poll(now);
            }
            if self.d.is_cut_off() && now >= next_probe {
                next_probe = now + PROBE_MS;
                let n = self.rng.random_range(0..self.upstreams);
                // A probe opens a connection.
                if !self.is_lost(now, n) && self.loss != Loss::RefuseNew {
                    self.d.on_reachable(&id(n));
                }
            }
            let is_cut = self.d.is_cut_off();
            if is_cut && !was_cut && now >= START_MS {
                self.totals.cuts += 1;
                self.totals.first_cut.get_or_insert(now - START_MS);
            }
            was_cut = is_cut;
        }
        self.totals
    }
}

/// Returns random times between requests, with this mean rate.
fn random_gaps(per_second: f64) -> impl Fn(&mut StdRng) -> f64 {
    move |rng| -(1.0 - rng.random::<f64>()).ln() * 1_000.0 / per_second
}

macro_rules! loss_test {
    ($name:ident, $loss:expr, $per_second:expr) => {
        /// At most one false conclusion in twenty runs of a minute.
        #[test]
        fn $name() {
            let runs: Vec<Totals> = (0..20)
                .map(|seed| {
                    let replay = Replay::new(307, $loss, seed);
                    replay.run(START_MS + LOSS_MS, random_gaps($per_second))
                })
                .collect();
            let cuts: usize = runs.iter().map(|t| t.cuts).sum();
            let cut_off: usize = runs.iter().map(|t| t.cut_off).sum();
            assert!(cuts <= 1 && cut_off == 0, "{cuts} conclusions: {runs:?}");
        }
    };
}

loss_test!(third_of_the_upstreams_refuse_connections_at_10_a_second, Loss::Refuse(100), 10.0);
loss_test!(third_of_the_upstreams_refuse_connections_at_27_a_second, Loss::Refuse(100), 27.0);
loss_test!(third_of_the_upstreams_hang_at_10_a_second, Loss::Hang(100), 10.0);
loss_test!(third_of_the_upstreams_hang_at_27_a_second, Loss::Hang(100), 27.0);

macro_rules! cut_test {
    ($name:ident, $upstreams:expr, $loss:expr) => {
        #[test]
        fn $name() {
            for seed in 0..20 {
                let replay = Replay::new($upstreams, $loss, seed);
                let totals = replay.run(START_MS + 2 * CUT_NOTICE_MS, |_| 100.0);
                let noticed = totals.first_cut.is_some_and(|ms| ms <= CUT_NOTICE_MS);
                assert!(noticed, "seed {seed}: {totals:?}");
            }
        }
    };
}

cut_test!(cut_from_12_upstreams_that_refuse_is_noticed, 12, Loss::Refuse(12));
cut_test!(cut_from_12_upstreams_that_hang_is_noticed, 12, Loss::Hang(12));
cut_test!(cut_from_85_upstreams_that_refuse_is_noticed, 85, Loss::Refuse(85));
cut_test!(cut_from_85_upstreams_that_hang_is_noticed, 85, Loss::Hang(85));
cut_test!(cut_from_300_upstreams_that_refuse_is_noticed, 300, Loss::Refuse(300));
cut_test!(cut_from_300_upstreams_that_hang_is_noticed, 300, Loss::Hang(300));
cut_test!(cut_for_new_connections_to_300_upstreams_is_noticed, 300, Loss::RefuseNew);
