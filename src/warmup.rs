//! Which upstreams of `mulberryspur-platform` are warming up (cold), and how many requests each
//! instance sends them.
//!
//! Answers the load of upstreams that have just started, or of a data centre that is back in
//! service: a cold upstream is slow and crashes well above the rate that the configuration permits,
//! which all instances together must keep.
//!
//! Where each instance has several requests for an upstream per second, its part of the rate is a
//! [`RateLimit`] with a burst of its own: tokens that come to the instances in turn, by a common
//! clock. Where each of many instances sees a request for a cold owner of keys only every few
//! seconds, most of these tokens would lapse. There, the service's coordinator, which knows the
//! requests of all instances, deals them credits (see [`crate::credits`]). One of an earlier version only
//! announces a share of the requests (see [`crate::overload`]), and each instance sends a request with that
//! probability.
//!
//! Points in time are readings of the boot clock in milliseconds.

use crate::{
    clock::Millis,
    collections::HashMap,
    credits::ColdAdmission,
    overload::SHARES_VALIDITY_MS,
    rate_limit::{InstancePosition, RateLimit},
    revision,
    routing_config::{ServiceSpec, UpstreamInfo},
};
use std::sync::Arc;

/// Share of the permitted rate for which the coordinator announces shares. Requests that many
/// instances admit independently come in random numbers per second, whose tail has to stay below the
/// bound; as estimated rates vary too, some 6 % more are sent.
const ANNOUNCED_SHARE: f64 = 0.78;
/// Time in seconds by which requests of different instances may be shifted against each other:
/// twice the 200 ms by which clocks are off, and 300 ms on the way.
const TIME_UNCERTAINTY_S: f64 = 0.7;
/// Share of what the bound leaves beside the rate that tokens may be held for. The rest is for
/// instances that freeze, or disagree for a moment on how many they are.
const BURST_SHARE: f64 = 0.6;
/// Least requests that all instances together may send at once.
const MIN_BURST: f64 = 0.5;
/// Mean number of requests of an instance while it holds a token, from which tokens are used to four
/// fifths of the permitted rate without announced shares.
const DENSE_REQUESTS: f64 = 1.85;
/// Requests per second of an instance that sends by an announced share, as a multiple of its part
/// of the permitted rate: bounds what a sudden rise of the demand brings.
const SPACING_FACTOR: f64 = 8.0;
/// Longest time in milliseconds between two such requests.
const MAX_SPACING_MS: f64 = 1_000.0;
/// Factor on the announced share for the probability with which credits are asked for: enough requests are
/// left to use all credits where the share is somewhat too small, and fewer messages are sent.
const ASKED_SHARE_FACTOR: f64 = 2.0;
/// Share of the permitted rate and burst that instances use which do not hear the coordinator.
const RESERVE_SHARE: f64 = 0.5;
/// Time in milliseconds after which callers may come back that got no credit.
const REFUSED_WAIT_MS: f64 = 1_000.0;
/// Time in milliseconds for which a request usually waits for a credit.
const CREDIT_WAIT_MS: f64 = 20.0;
/// Time in milliseconds for which upstreams that are no longer listed are remembered, so that one
/// whose entry lapses and is restored does not count as new.
const MEMORY_MS: Millis = 60_000;
/// Maximum number of upstreams that are named in a log line.
const MAX_LOGGED: usize = 8;

/// What the cold upstreams of a service tolerate.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ColdLimits {
    /// Time in milliseconds for which an upstream is cold after its start.
    pub warmup_ms: Millis,
    /// Permitted requests per second from all instances together.
    pub per_second: f64,
    /// Most requests in any one second.
    pub max_in_second: f64,
}

impl ColdLimits {
    /// Returns the limits of a service; `None` if its configuration or the settings name none.
    #[must_use]
    pub fn new(spec: &ServiceSpec, overshoot: Option<f64>, slack: Option<f64>) -> Option<Self> {
        let (warmup_ms, per_second) = (spec.warmup_ms?, spec.warmup_per_second?);
        Some(Self { warmup_ms, per_second, max_in_second: per_second * overshoot? + slack? })
    }

    /// Returns the requests that all instances together may send at once.
    ///
    /// The tokens that may be used in one second are those that come in it, those held from before,
    /// and one at its edge.
    fn burst(&self) -> f64 {
        let left = self.max_in_second - self.per_second * (1.0 + TIME_UNCERTAINTY_S) - 1.0;
        (left * BURST_SHARE).max(MIN_BURST)
    }

    /// Returns the part of the limits for the tokens of instances that do not hear the coordinator.
    fn reserve(self) -> Self {
        let (per_second, max) =
            (self.per_second * RESERVE_SHARE, self.max_in_second * RESERVE_SHARE);
        Self { per_second, max_in_second: max, ..self }
    }
}

/// Returns the share of `rate` requests per second that is announced for a cold owner that tolerates
/// `per_second`.
#[must_use]
pub fn admitted_share(per_second: f64, rate: f64) -> f64 {
    let admitted = per_second * ANNOUNCED_SHARE;
    if rate > admitted { admitted / rate } else { 1.0 }
}

/// This instance's part of the requests for one cold upstream.
#[derive(Debug, Clone, Copy)]
pub struct ColdPace {
    limits: ColdLimits,
    until: Millis,
    admission: ColdAdmission,
    tokens: RateLimit,
    position: InstancePosition,
    /// Announced share of the requests, and until when it is in force.
    share: Option<(f64, Millis)>,
    sent_at: Option<Millis>,
}

impl ColdPace {
    /// Creates the pace for an upstream that is cold until `until`.
    #[must_use]
    pub fn new(
        now: Millis,
        limits: ColdLimits,
        until: Millis,
        position: &InstancePosition,
    ) -> Self {
        let tokens = RateLimit::new(now, limits.per_second, position).with_burst(limits.burst());
        let admission = ColdAdmission::default();
        Self { limits, until, admission, tokens, position: *position, share: None, sent_at: None }
    }

    /// Sets how requests are admitted.
    pub fn set_admission(&mut self, now: Millis, admission: ColdAdmission) {
        if self.admission != admission {
            self.admission = admission;
            self.restart_tokens(now);
        }
    }

    fn restart_tokens(&mut self, now: Millis) {
        let limits = match self.admission {
            ColdAdmission::Reserve => self.limits.reserve(),
            ColdAdmission::Tokens | ColdAdmission::Credits => self.limits,
        };
        let tokens = RateLimit::new(now, limits.per_second, &self.position);
        self.tokens = tokens.with_burst(limits.burst());
    }

    /// Returns whether a request needs a credit of the coordinator at `now`.
    #[must_use]
    pub fn needs_credit(&self, now: Millis) -> bool {
        self.is_cold(now) && self.admission == ColdAdmission::Credits
    }

    /// Takes over changed limits, time and position.
    ///
    /// The tokens of another position come at other times, so that those held lapse.
    pub fn update(
        &mut self,
        now: Millis,
        limits: ColdLimits,
        until: Millis,
        position: &InstancePosition,
    ) {
        let is_same = self.limits == limits
            && self.position.instances == position.instances
            && self.position.rank == position.rank;
        self.until = until;
        if !is_same {
            (self.limits, self.position) = (limits, *position);
            self.restart_tokens(now);
        }
    }

    /// Returns whether the upstream is cold at `now`.
    #[must_use]
    pub fn is_cold(&self, now: Millis) -> bool {
        now < self.until
    }

    /// Takes over an announced share of the requests for the upstream.
    pub fn set_share(&mut self, now: Millis, share: Option<f64>) {
        self.share = share.map(|s| (s, now + SHARES_VALIDITY_MS));
    }

    fn announced_share(&self, now: Millis) -> Option<f64> {
        let (share, _) = self.share.filter(|(share, until)| now < *until && *share > 0.0)?;
        Some(share)
    }

    /// Returns the announced share, if requests are sent by it and not by tokens.
    fn share_in_force(&self, now: Millis) -> Option<f64> {
        if self.admission != ColdAdmission::Tokens {
            return None;
        }
        let share = self.announced_share(now)?;
        let rate = self.limits.per_second * ANNOUNCED_SHARE / share;
        let per_instance = rate / f64::from(self.position.instances.max(1));
        let held_s = self.limits.burst() / self.limits.per_second;
        (per_instance * held_s < DENSE_REQUESTS).then_some(share)
    }

    /// Returns whether a new request is admitted by the announced share, if one is in force, where
    /// `draw` is random between 0 and 1.
    #[must_use]
    pub fn admits_new(&self, now: Millis, draw: f64) -> bool {
        let share = if self.needs_credit(now) {
            self.announced_share(now).map(|share| share * ASKED_SHARE_FACTOR)
        } else {
            self.share_in_force(now)
        };
        !self.is_cold(now) || share.is_none_or(|share| draw < share)
    }

    /// Returns the time in milliseconds after which a request may be admitted that got no credit.
    #[must_use]
    pub fn refused_wait_ms(&self, now: Millis) -> f64 {
        self.cold_ms(now).min(REFUSED_WAIT_MS)
    }

    /// Returns the time in milliseconds until the upstream is warm.
    pub(crate) fn cold_ms(&self, now: Millis) -> f64 {
        #[expect(clippy::cast_precision_loss, reason = "short spans")]
        let cold_ms = self.until.saturating_sub(now) as f64;
        cold_ms
    }

    /// Returns the time in milliseconds between two requests that are sent by the announced share.
    fn spacing_ms(&self) -> f64 {
        let per_second = self.limits.per_second * SPACING_FACTOR;
        let spacing = 1_000.0 * f64::from(self.position.instances.max(1)) / per_second;
        spacing.min(MAX_SPACING_MS)
    }

    /// Returns whether a request may be sent now, if it needs no credit.
    #[must_use]
    pub fn admits(&self, now: Millis) -> bool {
        if !self.is_cold(now) || self.needs_credit(now) {
            return true;
        }
        if self.share_in_force(now).is_none() {
            return self.tokens.admits(now);
        }
        self.wait_ms(now, 1.0) <= 0.0
    }

    /// Counts a request that is sent.
    pub fn take(&mut self, now: Millis) {
        if !self.needs_credit(now) && self.tokens.admits(now) {
            self.tokens.take(now);
        }
        self.sent_at = Some(now);
    }

    /// Returns the time in milliseconds until the last of `count` requests may be sent.
    #[must_use]
    pub fn wait_ms(&self, now: Millis, count: f64) -> f64 {
        let wait = if self.needs_credit(now) {
            CREDIT_WAIT_MS
        } else if self.share_in_force(now).is_some() {
            let spacing = self.spacing_ms();
            #[expect(clippy::cast_precision_loss, reason = "short spans")]
            let since = self.sent_at.map_or(spacing, |at| now.saturating_sub(at) as f64);
            (spacing - since).max(0.0) + (count - 1.0) * spacing
        } else {
            self.tokens.wait_ms(now, count)
        };
        wait.min(self.cold_ms(now))
    }

    /// Returns this instance's rate in requests per millisecond.
    #[must_use]
    pub fn rate(&self, now: Millis) -> f64 {
        match self.share_in_force(now) {
            Some(_) => 1.0 / self.spacing_ms(),
            None => self.tokens.rate(),
        }
    }
}

/// What is known of an incarnation of an upstream.
#[derive(Debug, Clone)]
struct Incarnation {
    started: u64,
    data_center: Arc<str>,
    /// Revision of its entry, and the remaining time that this one reported.
    revision: u64,
    reported_ms: Millis,
    cold_until: Millis,
    /// Since when it has not been listed.
    gone_at: Option<Millis>,
    /// Whether it was cold at the last call of [`ColdUpstreams::log_changes`].
    logged_cold: bool,
}

/// Circumstances under which upstreams are listed.
#[derive(Debug, Clone, Copy)]
pub struct Listing {
    /// Whether all upstreams that the store holds are known.
    pub complete: bool,
    /// Whether the whole system has just started and there was no request yet: upstreams without
    /// traffic are not cold.
    pub system_starts: bool,
}

/// The upstreams of a service that are cold, and until when.
#[derive(Debug, Default)]
pub struct ColdUpstreams {
    limits: Option<ColdLimits>,
    known: HashMap<Arc<str>, Incarnation>,
    /// Whether a listing was complete before, so that an incarnation that is not known is new.
    was_complete: bool,
    /// Whether any may have become cold or warm since the last call of [`Self::log_changes`].
    may_change: bool,
}

impl ColdUpstreams {
    /// Takes over the listed upstreams, each with the revision of its entry, if it has one.
    pub fn update<'a>(
        &mut self,
        now: Millis,
        limits: Option<ColdLimits>,
        listing: Listing,
        upstreams: impl IntoIterator<Item = (&'a Arc<UpstreamInfo>, Option<u64>)>,
    ) {
        self.limits = limits;
        let counts_new_as_cold = self.was_complete && !listing.system_starts;
        for k in self.known.values_mut() {
            k.gone_at.get_or_insert(now);
        }
        for (u, revision) in upstreams {
            let known = self.known.get(&u.id).filter(|k| k.started == u.started);
            let revision = revision.or(known.map(|k| k.revision)).unwrap_or(0);
            let cold_until = match known {
                Some(k) if !reports_anew(k, u, revision) => k.cold_until,
                None if counts_new_as_cold => {
                    now + u.warmup_ms.max(limits.map_or(0, |l| l.warmup_ms))
                }
                _ => now + u.warmup_ms,
            };
            let incarnation = Incarnation {
                started: u.started,
                data_center: u.data_center.clone(),
                revision,
                reported_ms: u.warmup_ms,
                cold_until,
                gone_at: None,
                logged_cold: known.is_some_and(|k| k.logged_cold),
            };
            self.known.insert(u.id.clone(), incarnation);
        }
        self.known.retain(|_, k| k.gone_at.is_none_or(|at| now < at + MEMORY_MS));
        self.was_complete |= listing.complete;
        self.may_change = true;
    }

    /// Marks the known upstreams of data centres that return to service, each at the time that `since`
    /// gives, as cold for the service's warm-up time, unless
    /// their entries report otherwise later.
    pub fn note_possibly_cold(&mut self, since: impl Fn(&str) -> Option<Millis>) {
        let Some(limits) = self.limits else {
            return;
        };
        for k in self.known.values_mut() {
            if let Some(since) = since(&k.data_center) {
                k.cold_until = k.cold_until.max(since + limits.warmup_ms);
            }
        }
        self.may_change = true;
    }

    /// Returns what cold upstreams tolerate, if that is limited.
    #[must_use]
    pub fn limits(&self) -> Option<ColdLimits> {
        self.limits
    }

    /// Returns until when an upstream is cold, if it is.
    #[must_use]
    pub fn cold_until(&self, now: Millis, id: &str) -> Option<Millis> {
        self.limits?;
        self.known.get(id).map(|k| k.cold_until).filter(|until| now < *until)
    }

    /// Returns the upstreams that are cold, with the requests per second that they tolerate.
    #[must_use]
    pub fn rates(&self, now: Millis) -> HashMap<Arc<str>, f64> {
        let Some(limits) = self.limits else {
            return HashMap::default();
        };
        let cold = self.known.iter().filter(|(_, k)| now < k.cold_until);
        cold.map(|(id, _)| (id.clone(), limits.per_second)).collect()
    }

    /// Logs which upstreams have become cold or warm since the last call, one line for each of both.
    pub fn log_changes(&mut self, now: Millis, service: &str) {
        if !self.may_change {
            return;
        }
        let is_limited = self.limits.is_some();
        let (mut cold, mut warm) = (Vec::new(), Vec::new());
        let (mut count, mut longest_ms) = (0_u32, 0);
        for (id, k) in &mut self.known {
            let is_cold = is_limited && now < k.cold_until;
            if is_cold {
                count += 1;
                longest_ms = longest_ms.max(k.cold_until - now);
            }
            if std::mem::replace(&mut k.logged_cold, is_cold) != is_cold {
                if is_cold { &mut cold } else { &mut warm }.push(&**id);
            }
        }
        self.may_change = count > 0;
        if cold.is_empty() && warm.is_empty() {
            return;
        }
        let named = |ids: &[&str]| ids[..ids.len().min(MAX_LOGGED)].join(" ");
        if !cold.is_empty() {
            let upstreams = named(&cold);
            log::info!(service, upstreams, upstream_count = cold.len(), longest_ms; "upstreams are cold");
        }
        if !warm.is_empty() {
            let upstreams = named(&warm);
            log::info!(service, upstreams, upstream_count = warm.len(); "upstreams are warm");
        }
        metrics::gauge!("mulberryspur_cold_upstreams", "service" => service.to_owned())
            .set(f64::from(count));
    }
}

/// Returns whether an entry tells the remaining time anew: it was written again, and is not just the
/// same entry from a copy of the store.
fn reports_anew(known: &Incarnation, u: &UpstreamInfo, revision: u64) -> bool {
    let same_store = revision::generation(known.revision) == revision::generation(revision);
    u.warmup_ms != known.reported_ms || same_store && revision > known.revision
}
