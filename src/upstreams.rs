//! What this instance knows of each upstream's load, and admission to each.

use crate::{
    admission::{Admission, AdmissionQueue, Ticket, long_request_quota},
    clock::{Millis, boot_millis},
    collections::HashMap,
    load_balancing::UpstreamLoad,
    registry::{ConfigSnapshot, ServiceConfig},
    resource::{RequestClass, Upstream},
    retry_budget::RetryBudget,
};
use std::{
    sync::{Arc, Mutex, MutexGuard, PoisonError, RwLock},
    time::{Duration, Instant},
};
use tokio::sync::oneshot;

/// Requests of one instance in flight at an upstream, at least.
const MIN_SHORT: usize = 2;
/// Requests in flight over all instances per request that an upstream runs at once.
const OVERCOMMIT: usize = 2;

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// State of all upstreams.
#[derive(Debug)]
pub(crate) struct Upstreams {
    max_queue: usize,
    states: RwLock<HashMap<Arc<str>, Arc<UpstreamRuntime>>>,
    budgets: Mutex<HashMap<Arc<str>, RetryBudget>>,
}

/// State of one upstream.
#[derive(Debug)]
pub(crate) struct UpstreamRuntime {
    pub load: Mutex<UpstreamLoad>,
    gate: Mutex<AdmissionQueue>,
    waiting: Mutex<HashMap<Ticket, oneshot::Sender<()>>>,
}

/// An admitted request; gives its place back when dropped.
#[derive(Debug)]
pub(crate) struct AdmissionPermit {
    state: Arc<UpstreamRuntime>,
    class: RequestClass,
    since: Instant,
}

/// Limits of requests in flight at an upstream, for one instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct InFlightLimits {
    pub short: usize,
    pub long: usize,
}

/// Returns the limits for one of `instances` instances.
pub(crate) fn in_flight_limits(
    view: &ServiceConfig,
    upstream: &str,
    at: usize,
    instances: usize,
) -> InFlightLimits {
    let service = &view.service;
    let instances = instances.max(1);
    let concurrency = service.concurrency as usize;
    let connections = (service.connections as usize / instances).max(1);
    let short = (OVERCOMMIT * concurrency).div_ceil(instances).max(MIN_SHORT).min(connections);
    let places = (concurrency / 2).max(1);
    let number = view.upstreams.iter().position(|u| &*u.name == upstream).unwrap_or(0);
    InFlightLimits { short, long: long_request_quota(places, number, at, instances) }
}

impl Upstreams {
    pub fn new(max_queue: usize) -> Self {
        Self { max_queue, states: RwLock::default(), budgets: Mutex::default() }
    }

    /// Creates state for new upstreams and drops that of removed ones.
    pub fn apply(&self, snapshot: &ConfigSnapshot, now: Millis) {
        let mut states = self.states.write().unwrap_or_else(PoisonError::into_inner);
        let all: Vec<&Arc<Upstream>> = snapshot.services().flat_map(|s| &s.upstreams).collect();
        states.retain(|name, _| all.iter().any(|u| u.name == *name));
        for u in all {
            states.entry(u.name.clone()).or_insert_with(|| {
                Arc::new(UpstreamRuntime {
                    load: Mutex::new(UpstreamLoad::new(now)),
                    gate: Mutex::new(AdmissionQueue::new(MIN_SHORT, 1, self.max_queue)),
                    waiting: Mutex::default(),
                })
            });
        }
    }

    /// Sets the limits of every upstream for instance number `at` of `instances`.
    pub fn set_limits(&self, snapshot: &ConfigSnapshot, at: usize, instances: usize) {
        for service in snapshot.services() {
            let of = |u: &Arc<Upstream>| in_flight_limits(service, &u.name, at, instances);
            let none = service.upstreams.iter().all(|u| of(u).long == 0);
            for (n, u) in service.upstreams.iter().enumerate() {
                let Some(state) = self.get(&u.name) else {
                    continue;
                };
                let mut l = of(u);
                if none && service.ownership.is_none() && n == at % service.upstreams.len() {
                    // Every instance can send long work somewhere.
                    l.long = 1;
                }
                let admitted = lock(&state.gate).set_limits(l.short, l.long);
                state.wake(admitted);
            }
        }
    }

    pub fn get(&self, name: &str) -> Option<Arc<UpstreamRuntime>> {
        self.states.read().unwrap_or_else(PoisonError::into_inner).get(name).cloned()
    }

    /// Notes a first attempt for the retry budget of a service.
    pub fn on_request(&self, service: &Arc<str>) {
        lock(&self.budgets).entry(service.clone()).or_default().on_request();
    }

    /// Returns whether the budget of a service allows a retry, and pays for it.
    pub fn try_withdraw_retry(&self, service: &Arc<str>) -> bool {
        lock(&self.budgets).entry(service.clone()).or_default().try_withdraw()
    }
}

impl UpstreamRuntime {
    fn wake(&self, tickets: Vec<Ticket>) {
        let mut waiting = lock(&self.waiting);
        for ticket in tickets {
            if let Some(tx) = waiting.remove(&ticket) {
                let _ = tx.send(());
            }
        }
    }

    /// Returns whether this instance may send it long work.
    pub fn accepts_long(&self) -> bool {
        lock(&self.gate).accepts_long()
    }

    /// Returns the numbers of requests in flight and waiting here.
    pub fn in_flight_and_queued(&self) -> (usize, usize) {
        lock(&self.gate).in_flight_and_queued()
    }

    /// Waits for admission until `deadline` on the boot clock.
    ///
    /// The error is the time in milliseconds after which to try again.
    pub async fn admit(
        self: &Arc<Self>,
        class: RequestClass,
        deadline: Millis,
    ) -> Result<AdmissionPermit, Millis> {
        let now = boot_millis();
        let (ticket, rx) = {
            let mut gate = lock(&self.gate);
            match gate.try_admit(now, class, deadline) {
                Admission::Admitted => return Ok(self.permit(class)),
                Admission::Rejected { retry_after } => return Err(retry_after),
                Admission::Queued(ticket) => {
                    let (tx, rx) = oneshot::channel();
                    lock(&self.waiting).insert(ticket, tx);
                    (ticket, rx)
                }
            }
        };
        let waiter = Waiter { state: self.clone(), class, ticket: Some(ticket) };
        let limit = Duration::from_millis(deadline.saturating_sub(now));
        match tokio::time::timeout(limit, rx).await {
            Ok(Ok(())) => Ok(waiter.admitted()),
            _ => Err(1),
        }
    }

    fn permit(self: &Arc<Self>, class: RequestClass) -> AdmissionPermit {
        AdmissionPermit { state: self.clone(), class, since: Instant::now() }
    }

    fn leave(&self, class: RequestClass, took_ms: Option<f64>) {
        let admitted = lock(&self.gate).release(class, took_ms);
        self.wake(admitted);
    }
}

/// A queued request; leaves the queue when dropped.
struct Waiter {
    state: Arc<UpstreamRuntime>,
    class: RequestClass,
    ticket: Option<Ticket>,
}

impl Waiter {
    fn admitted(mut self) -> AdmissionPermit {
        self.ticket = None;
        self.state.permit(self.class)
    }
}

impl Drop for Waiter {
    fn drop(&mut self) {
        let Some(ticket) = self.ticket else { return };
        lock(&self.state.waiting).remove(&ticket);
        if !lock(&self.state.gate).abandon(self.class, ticket) {
            // It was admitted in the meantime and will not use its place.
            self.state.leave(self.class, None);
        }
    }
}

impl Drop for AdmissionPermit {
    fn drop(&mut self) {
        let took_ms = self.since.elapsed().as_secs_f64() * 1_000.0;
        self.state.leave(self.class, Some(took_ms));
    }
}
