//! Load of each upstream as this instance sees it, and admission of requests to it (mulberryd).

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

/// Smallest limit of short requests in flight from one instance to an upstream, unless the
/// instance's part of the connections is smaller.
const MIN_SHORT_LIMIT: usize = 2;
/// Short requests that all instances together may have in flight for each request that an upstream
/// runs at once.
const OVERCOMMIT: usize = 2;

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Load of and admission to each upstream, and the retry budgets of services.
#[derive(Debug)]
pub(crate) struct Upstreams {
    max_queue: usize,
    states: RwLock<HashMap<Arc<str>, Arc<UpstreamRuntime>>>,
    budgets: Mutex<HashMap<Arc<str>, RetryBudget>>,
}

/// Load of one upstream as this instance sees it, and admission of this instance's requests to it.
#[derive(Debug)]
pub(crate) struct UpstreamRuntime {
    pub load: Mutex<UpstreamLoad>,
    admission: Mutex<AdmissionQueue>,
    waiters: Mutex<HashMap<Ticket, oneshot::Sender<()>>>,
}

/// Permit of an admitted request. When dropped, it is released, and the time since the admission
/// counts as the time that the request took, also if it failed.
#[derive(Debug)]
pub(crate) struct AdmissionPermit {
    upstream: Arc<UpstreamRuntime>,
    class: RequestClass,
    admitted_at: Instant,
}

/// Limits of requests in flight at an upstream, for one instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct InFlightLimits {
    pub short: usize,
    pub long: usize,
}

/// Returns the limits of instance number `index` of `instances` at an upstream.
///
/// Short requests are limited to the instance's part of [`OVERCOMMIT`] times the upstream's
/// concurrency, at least [`MIN_SHORT_LIMIT`], but at most its part of the connections that the
/// upstream accepts. Half of the concurrency, at least 1, is divided among the instances as their
/// quotas of long requests.
pub(crate) fn in_flight_limits(
    cfg: &ServiceConfig,
    upstream: &str,
    index: usize,
    instances: usize,
) -> InFlightLimits {
    let service = &cfg.service;
    let instances = instances.max(1);
    let concurrency = service.concurrency as usize;
    let connections = (service.connections as usize / instances).max(1);
    let short =
        (OVERCOMMIT * concurrency).div_ceil(instances).max(MIN_SHORT_LIMIT).min(connections);
    let max_long = (concurrency / 2).max(1);
    let upstream_index = cfg.upstreams.iter().position(|u| &*u.name == upstream).unwrap_or(0);
    InFlightLimits { short, long: long_request_quota(max_long, upstream_index, index, instances) }
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
                // `MIN_SHORT_LIMIT` and 1 are the limits until the next call of `set_limits`.
                Arc::new(UpstreamRuntime {
                    load: Mutex::new(UpstreamLoad::new(now)),
                    admission: Mutex::new(AdmissionQueue::new(MIN_SHORT_LIMIT, 1, self.max_queue)),
                    waiters: Mutex::default(),
                })
            });
        }
    }

    /// Sets the limits of every upstream for instance number `index` of `instances`.
    pub fn set_limits(&self, snapshot: &ConfigSnapshot, index: usize, instances: usize) {
        for service in snapshot.services() {
            let limits_of =
                |u: &Arc<Upstream>| in_flight_limits(service, &u.name, index, instances);
            let no_long_quota = service.upstreams.iter().all(|u| limits_of(u).long == 0);
            for (n, u) in service.upstreams.iter().enumerate() {
                let Some(state) = self.get(&u.name) else {
                    continue;
                };
                let mut limits = limits_of(u);
                if no_long_quota
                    && service.ownership.is_none()
                    && n == index % service.upstreams.len()
                {
                    // So that every instance can send long requests to some upstream. Where keys
                    // have owners, a long request is forwarded to an instance with a quota at the
                    // owner of its key.
                    limits.long = 1;
                }
                let admitted = lock(&state.admission).set_limits(limits.short, limits.long);
                state.wake_admitted(admitted);
            }
        }
    }

    pub fn get(&self, name: &str) -> Option<Arc<UpstreamRuntime>> {
        self.states.read().unwrap_or_else(PoisonError::into_inner).get(name).cloned()
    }

    /// Adds the deposit of a request to the retry budget of a service.
    pub fn add_retry_deposit(&self, service: &Arc<str>) {
        lock(&self.budgets).entry(service.clone()).or_default().on_request();
    }

    /// Spends a retry from the budget of a service; `false` if the balance does not cover one.
    pub fn try_spend_retry(&self, service: &Arc<str>) -> bool {
        lock(&self.budgets).entry(service.clone()).or_default().try_spend()
    }
}

impl UpstreamRuntime {
    fn wake_admitted(&self, tickets: Vec<Ticket>) {
        let mut waiters = lock(&self.waiters);
        for ticket in tickets {
            if let Some(tx) = waiters.remove(&ticket) {
                let _ = tx.send(());
            }
        }
    }

    /// Returns whether this instance may send it long requests.
    pub fn accepts_long(&self) -> bool {
        lock(&self.admission).accepts_long()
    }

    /// Returns the numbers of requests of this instance in flight and waiting.
    pub fn in_flight_and_queued(&self) -> (usize, usize) {
        lock(&self.admission).in_flight_and_queued()
    }

    /// Waits for admission until `deadline` on the boot clock.
    ///
    /// The error is the time in milliseconds after which to retry.
    pub async fn admit(
        self: &Arc<Self>,
        class: RequestClass,
        deadline: Millis,
    ) -> Result<AdmissionPermit, Millis> {
        let now = boot_millis();
        let (ticket, rx) = {
            let mut admission = lock(&self.admission);
            match admission.try_admit(now, class, deadline) {
                Admission::Admitted => return Ok(self.new_permit(class)),
                Admission::Rejected { retry_after } => return Err(retry_after),
                Admission::Queued(ticket) => {
                    let (tx, rx) = oneshot::channel();
                    lock(&self.waiters).insert(ticket, tx);
                    (ticket, rx)
                }
            }
        };
        let waiter = Waiter { upstream: self.clone(), class, ticket: Some(ticket) };
        let timeout = Duration::from_millis(deadline.saturating_sub(now));
        match tokio::time::timeout(timeout, rx).await {
            Ok(Ok(())) => Ok(waiter.into_permit()),
            // The deadline has passed. There is no estimate, so this is the shortest time to wait.
            _ => Err(1),
        }
    }

    fn new_permit(self: &Arc<Self>, class: RequestClass) -> AdmissionPermit {
        AdmissionPermit { upstream: self.clone(), class, admitted_at: Instant::now() }
    }

    fn release(&self, class: RequestClass, took_ms: Option<f64>) {
        let admitted = lock(&self.admission).release(class, took_ms);
        self.wake_admitted(admitted);
    }
}

/// A queued request; leaves the queue when dropped.
struct Waiter {
    upstream: Arc<UpstreamRuntime>,
    class: RequestClass,
    ticket: Option<Ticket>,
}

impl Waiter {
    fn into_permit(mut self) -> AdmissionPermit {
        self.ticket = None;
        self.upstream.new_permit(self.class)
    }
}

impl Drop for Waiter {
    fn drop(&mut self) {
        let Some(ticket) = self.ticket else { return };
        lock(&self.upstream.waiters).remove(&ticket);
        if !lock(&self.upstream.admission).abandon(self.class, ticket) {
            // It has been admitted in the meantime and will not run.
            self.upstream.release(self.class, None);
        }
    }
}

impl Drop for AdmissionPermit {
    fn drop(&mut self) {
        let took_ms = self.admitted_at.elapsed().as_secs_f64() * 1_000.0;
        self.upstream.release(self.class, Some(took_ms));
    }
}
