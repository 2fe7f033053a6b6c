//! Shares of the requests that instances of `mulberryspur-platform` send to overloaded owners.
//!
//! Answers the load of one hot key: only its owner may serve it, and each of many instances sees
//! too few responses of that owner to learn how much it takes. The service's coordinator knows the
//! requests for all keys from the traffic reports. It tells all instances which share of them each
//! overloaded owner can serve; they send that share and reject the rest at once. This needs no
//! figure that depends on the number of instances.
//!
//! Owners that are cold get a share whatever their load, see [`crate::warmup`].
//!
//! [`OverloadMonitor`] is the coordinator's side, [`AdmittedShares`] the other instances'.

use crate::{
    clock::Millis, collections::HashMap, keymap::KeyMap, rebalance, routing_config::UpstreamInfo,
    traffic::TrafficStats, warmup,
};
use std::sync::Arc;

/// Requests per second as a multiple of the capacity from which an owner counts as overloaded.
const OVERLOAD_START: f64 = 1.5;
/// The same multiple below which it no longer does.
const OVERLOAD_END: f64 = 1.25;
/// Requests per second that are admitted as a multiple of the capacity: the owner must not become
/// idle while few requests come, and its queue takes some more.
const ADMITTED_LOAD: f64 = 1.25;
/// Mean queue of an overloaded owner, as a multiple of its concurrency, below which more requests
/// are admitted.
const SHORT_QUEUE: f64 = 0.5;
/// The same multiple above which fewer are admitted.
const LONG_QUEUE: f64 = 2.0;
/// Mean queue as a share of the one before, below which it counts as shrinking.
const SHRINKING_QUEUE: f64 = 0.9;
/// Factor by which the admitted load changes at once.
const CORRECTION_STEP: f64 = 1.15;
/// Smallest and largest correction of the admitted load, for capacities that are estimated wrong.
const CORRECTION_RANGE: (f64, f64) = (0.4, 2.5);
/// Number of responses of an owner from which its mean queue counts.
const MIN_QUEUE_SAMPLES: u32 = 4;
/// Time in milliseconds between two corrections: requests sent before one have ended.
const CORRECTION_INTERVAL_MS: Millis = 900;
/// Time in milliseconds after which unchanged shares are announced again.
const ANNOUNCE_INTERVAL_MS: Millis = 700;
/// Relative change of a share from which it is announced at once.
const MIN_SHARE_CHANGE: f64 = 0.1;
/// Requests per second for one owner from which there is traffic.
const MIN_TRAFFIC: f64 = 0.5;
/// Time in milliseconds for which traffic must have been reported for shares of cold owners: each
/// instance has reported twice. Rates that are still growing would give too large shares.
const KNOWN_AFTER_MS: Millis = 1_000;
/// Time in milliseconds for which announced shares are in force: two announcements may be lost.
pub(crate) const SHARES_VALIDITY_MS: Millis = 2_200;

/// The share of the requests for an overloaded owner that instances send to it.
pub type OwnerShare = (Arc<str>, f64);

/// Finds overloaded owners and the share of requests that each can serve.
#[derive(Debug, Default)]
pub struct OverloadMonitor {
    overloaded: HashMap<Arc<str>, OverloadedOwner>,
    announced: HashMap<Arc<str>, f64>,
    announced_at: Millis,
    /// Since when traffic has been reported without a break.
    traffic_since: Option<Millis>,
}

#[derive(Debug, Clone, Default)]
struct OverloadedOwner {
    /// Factor on the admitted load.
    correction: f64,
    corrected_at: Millis,
    /// Responses since the last correction, and the sum of the queues that they reported.
    responses: u32,
    queued: u64,
    /// Mean queue before the last correction.
    last_queue: f64,
}

/// Requests for an owner's keys and what it can serve, both per second.
#[derive(Debug, Clone)]
struct OwnerLoad {
    id: Arc<str>,
    rate: f64,
    capacity: f64,
    concurrency: u32,
    /// The larger of the rates over a short and a longer time.
    peak_rate: f64,
    /// Requests per second that it tolerates, if it is cold.
    cold_rate: Option<f64>,
}

impl OverloadMonitor {
    /// Adds the queues that responses of upstreams reported: upstream, responses, sum of the queues.
    pub fn add_queues(&mut self, queues: &[(Arc<str>, u32, u64)]) {
        for (id, responses, queued) in queues {
            if let Some(o) = self.overloaded.get_mut(id) {
                o.responses += responses;
                o.queued += queued;
            }
        }
    }

    /// Returns the shares to announce, if they have changed or were announced too long ago; an
    /// empty list ends the announced ones.
    pub fn update(
        &mut self,
        now: Millis,
        owners: &KeyMap,
        upstreams: &[Arc<UpstreamInfo>],
        traffic: &TrafficStats,
    ) -> Option<Vec<OwnerShare>> {
        let loads = owner_loads(owners, upstreams, traffic);
        let has_traffic = loads.iter().any(|l| l.rate >= MIN_TRAFFIC);
        let traffic_since = self.traffic_since.filter(|_| has_traffic);
        self.traffic_since = traffic_since.or(has_traffic.then_some(now));
        let is_rate_known = self.traffic_since.is_some_and(|at| now >= at + KNOWN_AFTER_MS);
        let mut shares: HashMap<Arc<str>, f64> = HashMap::default();
        let mut overloaded = HashMap::default();
        for load in loads {
            if let Some(cold_rate) = load.cold_rate {
                if is_rate_known {
                    shares.insert(load.id, warmup::admitted_share(cold_rate, load.peak_rate));
                }
                continue;
            }
            let known = self.overloaded.remove(&load.id);
            let factor = if known.is_some() { OVERLOAD_END } else { OVERLOAD_START };
            let mut owner = known.unwrap_or(OverloadedOwner {
                correction: 1.0,
                corrected_at: now,
                ..OverloadedOwner::default()
            });
            if load.rate < factor * load.capacity * owner.correction {
                continue;
            }
            owner.correct(now, f64::from(load.concurrency.max(1)));
            let admitted = ADMITTED_LOAD * load.capacity * owner.correction;
            if admitted < load.rate {
                shares.insert(load.id.clone(), admitted / load.rate);
            }
            overloaded.insert(load.id, owner);
        }
        self.overloaded = overloaded;
        let is_close = |id: &Arc<str>, share: f64| {
            self.announced.get(id).is_some_and(|old| (share / old - 1.0).abs() < MIN_SHARE_CHANGE)
        };
        let unchanged = shares.len() == self.announced.len()
            && shares.iter().all(|(id, share)| is_close(id, *share));
        let is_due = !shares.is_empty() && now >= self.announced_at + ANNOUNCE_INTERVAL_MS;
        if unchanged && !is_due {
            return None;
        }
        self.announced_at = now;
        self.announced.clone_from(&shares);
        Some(shares.into_iter().collect())
    }
}

impl OverloadedOwner {
    /// Corrects the admitted load by the owner's mean queue.
    fn correct(&mut self, now: Millis, concurrency: f64) {
        if self.responses < MIN_QUEUE_SAMPLES || now < self.corrected_at + CORRECTION_INTERVAL_MS {
            return;
        }
        #[expect(clippy::cast_precision_loss, reason = "small numbers")]
        let queue = self.queued as f64 / f64::from(self.responses) / concurrency;
        if queue < SHORT_QUEUE {
            self.correction *= CORRECTION_STEP;
        } else if queue > LONG_QUEUE && queue >= self.last_queue * SHRINKING_QUEUE {
            // A long queue that gets shorter is left over from before the share was announced.
            self.correction /= CORRECTION_STEP;
        }
        self.last_queue = queue;
        let (min, max) = CORRECTION_RANGE;
        self.correction = self.correction.clamp(min, max);
        self.corrected_at = now;
        (self.responses, self.queued) = (0, 0);
    }
}

fn owner_loads(
    owners: &KeyMap,
    upstreams: &[Arc<UpstreamInfo>],
    traffic: &TrafficStats,
) -> Vec<OwnerLoad> {
    let mean_time = rebalance::mean_response_time(traffic);
    let mut rates: HashMap<&str, f64> = HashMap::default();
    let mut long_rates: HashMap<&str, f64> = HashMap::default();
    for span in &owners.spans {
        let id = &*span.owner.id;
        *rates.entry(id).or_default() += traffic.recent_rate(&span.range);
        if traffic.cold_rate(id).is_some() {
            *long_rates.entry(id).or_default() += traffic.rate(&span.range);
        }
    }
    let rate = |rates: &HashMap<&str, f64>, id: &str| rates.get(id).copied().unwrap_or(0.0);
    let load = |u: &Arc<UpstreamInfo>| OwnerLoad {
        id: u.id.clone(),
        rate: rate(&rates, &u.id),
        peak_rate: rate(&rates, &u.id).max(rate(&long_rates, &u.id)),
        cold_rate: traffic.cold_rate(&u.id),
        capacity: rebalance::capacity(u, traffic, mean_time),
        concurrency: u.concurrency,
    };
    upstreams.iter().map(load).collect()
}

/// The announced shares, and which requests are admitted by them.
#[derive(Debug, Default)]
pub struct AdmittedShares {
    shares: HashMap<Arc<str>, Share>,
    valid_until: Millis,
}

#[derive(Debug, Clone, Copy)]
struct Share {
    share: f64,
    /// Share of a request that may be sent; a request takes a whole one.
    credit: f64,
}

impl AdmittedShares {
    /// Takes over announced shares.
    pub fn set(&mut self, now: Millis, shares: Vec<OwnerShare>) {
        let credits = std::mem::take(&mut self.shares);
        let new = |(id, share): OwnerShare| {
            // A random first credit: the first request of each instance may be sent with the
            // probability that the share gives.
            let credit =
                credits.get(&id).map_or_else(|| rand::random_range(0.0..1.0), |s| s.credit);
            (id, Share { share, credit })
        };
        self.shares = shares.into_iter().map(new).collect();
        self.valid_until = now + SHARES_VALIDITY_MS;
    }

    /// Returns whether a new request for a key of this owner may be sent.
    pub fn admits(&mut self, now: Millis, owner: &str) -> bool {
        if self.shares.is_empty() || now >= self.valid_until {
            return true;
        }
        let Some(s) = self.shares.get_mut(owner) else {
            return true;
        };
        s.credit += s.share;
        if s.credit < 1.0 {
            return false;
        }
        s.credit -= 1.0;
        true
    }

    /// Returns the share that is in force for this owner, if one was announced.
    #[must_use]
    pub fn announced(&self, now: Millis, owner: &str) -> Option<f64> {
        self.shares.get(owner).filter(|_| now < self.valid_until).map(|s| s.share)
    }

    /// Returns the share of the requests for keys of this owner that are sent.
    #[must_use]
    pub fn share(&self, now: Millis, owner: &str) -> f64 {
        self.announced(now, owner).unwrap_or(1.0)
    }
}
