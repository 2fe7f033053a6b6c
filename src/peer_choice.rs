//! Chooses the instance that serves a request for one that is cut off from the upstreams, in
//! `mulberryspur-platform`.
//!
//! An instance learns who has a path from the responses to its own requests, so nothing is exchanged
//! while there is no cut. Answers cuts of up to all instances of a data centre, or of all but a few:
//! the first attempt stays in the data centre, the next ones leave it, and later requests go where
//! earlier ones were served.
//!
//! Points in time are readings of the boot clock in milliseconds.

use crate::{clock::Millis, collections::HashMap};
use std::sync::Arc;

/// Time in milliseconds for which an instance that has no path is not asked again.
const NO_PATH_MS: Millis = 1_000;
/// Time in milliseconds for which an instance that cannot be reached is not asked again.
const UNREACHABLE_MS: Millis = 5_000;
/// Time in milliseconds for which an instance that has served a request is preferred.
const SERVED_MS: Millis = 3_000;

/// An instance that may be asked.
#[derive(Debug, Clone, Copy)]
pub struct Candidate<'a> {
    /// Name of the instance.
    pub name: &'a Arc<str>,
    /// Whether it runs in the asking instance's data centre.
    pub same_data_center: bool,
}

/// What the latest request to an instance has shown.
#[derive(Debug, Clone, Copy)]
enum Observation {
    /// It has served the request, at this time.
    Served(Millis),
    /// It is not to be asked until this time.
    NoPath(Millis),
}

/// Whether an instance has a path to the upstreams of a service.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Paths {
    Known,
    Unknown,
    None,
}

/// Which instances have a path to the upstreams of which services.
#[derive(Debug, Default)]
pub struct PeerPaths {
    /// By service and name of the instance.
    observed: HashMap<(Arc<str>, Arc<str>), Observation>,
    /// Requests in flight by name of the instance; none is left out.
    in_flight: HashMap<Arc<str>, u32>,
}

impl PeerPaths {
    /// Chooses the instance for a request for a service, which those in `tried` have not served.
    #[must_use]
    pub fn choose<'a>(
        &self,
        now: Millis,
        service: &Arc<str>,
        candidates: impl Iterator<Item = Candidate<'a>>,
        tried: &[Arc<str>],
    ) -> Option<Arc<str>> {
        let untried = candidates.filter(|c| !tried.contains(c.name));
        let observed: Vec<(Candidate, Paths)> =
            untried.map(|c| (c, self.paths(now, service, c.name))).collect();
        // The others of the data centre may be behind the same cut.
        let is_doubtful = !tried.is_empty()
            || observed.iter().any(|(c, paths)| c.same_data_center && *paths == Paths::None);
        let askable = observed.iter().filter(|(_, paths)| *paths != Paths::None);
        let rank = |(c, paths): &(Candidate, Paths)| {
            let preference = match (c.same_data_center, *paths == Paths::Known) {
                (true, true) => 0,
                (true, false) if !is_doubtful => 1,
                (false, true) => 2,
                (false, false) => 3,
                (true, false) => 4,
            };
            let load = self.in_flight.get(c.name).copied().unwrap_or(0);
            (preference, load, rand::random::<u32>())
        };
        askable.min_by_key(|o| rank(o)).map(|(c, _)| c.name.clone())
    }

    /// Returns whether an instance may have a path to the upstreams of a service.
    #[must_use]
    pub fn may_ask(&self, now: Millis, service: &Arc<str>, name: &Arc<str>) -> bool {
        self.paths(now, service, name) != Paths::None
    }

    fn paths(&self, now: Millis, service: &Arc<str>, name: &Arc<str>) -> Paths {
        match self.observed.get(&(service.clone(), name.clone())) {
            Some(Observation::NoPath(until)) if now < *until => Paths::None,
            Some(Observation::Served(at)) if now < at + SERVED_MS => Paths::Known,
            _ => Paths::Unknown,
        }
    }

    /// Counts a request as in flight at an instance.
    pub fn begin(&mut self, name: &Arc<str>) {
        *self.in_flight.entry(name.clone()).or_default() += 1;
    }

    /// Ends the count of a request.
    pub fn end(&mut self, name: &Arc<str>) {
        if let Some(count) = self.in_flight.get_mut(name) {
            *count = count.saturating_sub(1);
            if *count == 0 {
                self.in_flight.remove(name);
            }
        }
    }

    /// Records that an instance has served a request for a service.
    pub fn on_served(&mut self, now: Millis, service: &Arc<str>, name: &Arc<str>) {
        self.observe(service, name, Observation::Served(now));
    }

    /// Records that an instance is cut off from a service too.
    pub fn on_no_path(&mut self, now: Millis, service: &Arc<str>, name: &Arc<str>) {
        self.observe(service, name, Observation::NoPath(now + NO_PATH_MS));
    }

    /// Records that an instance cannot be reached.
    pub fn on_unreachable(&mut self, now: Millis, service: &Arc<str>, name: &Arc<str>) {
        self.observe(service, name, Observation::NoPath(now + UNREACHABLE_MS));
    }

    fn observe(&mut self, service: &Arc<str>, name: &Arc<str>, observation: Observation) {
        self.observed.insert((service.clone(), name.clone()), observation);
    }
}
