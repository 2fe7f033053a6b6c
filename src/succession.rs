//! Which instance takes the lease of a service's coordinator next, and after what delay.
//!
//! Addresses deployments with few large and many small instances: a small one that took the lease
//! could neither renew hundreds of grants in time nor commit moves. Larger instances come first;
//! the whole takeover, also when all of them are lost, must end before grants do.

use crate::clock::Millis;
use xxhash_rust::xxh3::xxh3_64;

/// Least number of CPU cores of each class of size but the last. With the first, an instance renews
/// the grants of the largest map.
const CLASS_MIN_CORES: [f64; 3] = [0.4, 0.2, 0.09];
/// Time in milliseconds by which the first instance of the smallest class reads the lease later
/// than the first one of the largest.
const CLASS_SPAN_MS: Millis = 200;
/// Time in milliseconds by which each rank of a class starts to read the lease later than the one
/// before, so that few instances read it at the same time.
const RANK_DELAY_MS: Millis = 40;
/// Time in milliseconds after which a coordinator that has not been heard from counts as silent, so
/// that its lease is read: about two reports.
pub const SILENCE_LIMIT_MS: Millis = 900;
/// Time in milliseconds between traffic reports; the replies show whether the coordinator acts.
pub const REPORT_INTERVAL_MS: Millis = 500;
/// Number of instances, the first by rank of all classes together, that report at
/// [`REPORT_INTERVAL_MS`]. The others report less often the more instances there are, so that the
/// coordinator's load does not grow with their number.
const FREQUENT_REPORTER_COUNT: Millis = 8;
/// Least number of such instances of each class: one in each of three data centres.
const MIN_CLASS_REPORTERS: Millis = 3;
/// Report interval of the other instances in milliseconds per known instance: the interval is this
/// times their number.
const REPORT_PER_INSTANCE_MS: Millis = 5;

/// An instance that may take the lease.
#[derive(Debug, Clone, Copy)]
pub struct Candidate<'a> {
    /// Name.
    pub name: &'a str,
    /// Data centre that it runs in.
    pub data_center: &'a str,
    /// Number of CPU cores; 0 if not known.
    pub cpu_cores: f64,
}

/// Returns the class of size, 0 for the largest; `None` if the number of cores is not known.
#[must_use]
pub fn size_class(cpu_cores: f64) -> Option<usize> {
    let is_known = cpu_cores > 0.0;
    is_known.then(|| CLASS_MIN_CORES.iter().filter(|min| cpu_cores < **min).count())
}

/// The place of an instance among all that may take the lease of a service.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Place {
    /// Number of known classes of larger instances.
    pub larger_classes: Millis,
    /// Number of known classes.
    pub classes: Millis,
    /// Number of instances of the same class that come before it.
    pub rank: Millis,
    /// Number of instances, also of larger classes, that come before it.
    pub position: Millis,
    /// Number of known instances.
    pub instances: Millis,
}

impl Place {
    /// Finds the place of `own` among all known instances, which may include it.
    ///
    /// Within a class, the data centres take turns, so that others follow soon if one is lost; the
    /// order differs between services. Instances of unknown size, which run an earlier version,
    /// count as of the own one.
    #[must_use]
    pub fn find<'a>(
        service: &str,
        own: Candidate<'a>,
        known: impl Iterator<Item = Candidate<'a>>,
    ) -> Self {
        let hash = |text: &str| xxh3_64(format!("{text}/{service}").as_bytes());
        let class_of = |c: &Candidate<'_>| size_class(c.cpu_cores);
        let own_class = class_of(&own).unwrap_or(0);
        let mut sizes = vec![own_class];
        let mut peers = vec![(hash(own.data_center), hash(own.name), true)];
        let (mut larger, mut instances) = (0, 1);
        for other in known.filter(|c| c.name != own.name) {
            let class = class_of(&other).unwrap_or(own_class);
            instances += 1;
            sizes.push(class);
            if class == own_class {
                peers.push((hash(other.data_center), hash(other.name), false));
            }
            larger += Millis::from(class < own_class);
        }
        sizes.sort_unstable();
        sizes.dedup();
        peers.sort_unstable();
        // The turn of an instance is its place in its data centre.
        let mut turns = Vec::new();
        let mut turn = 0;
        for (n, (data_center, name, is_own)) in peers.iter().enumerate() {
            turn = if n > 0 && peers[n - 1].0 == *data_center { turn + 1 } else { 0 };
            turns.push((turn, *data_center, *name, *is_own));
        }
        turns.sort_unstable();
        let rank = turns.iter().position(|(.., is_own)| *is_own).unwrap_or(0) as Millis;
        Self {
            larger_classes: sizes.iter().filter(|c| **c < own_class).count() as Millis,
            classes: sizes.len() as Millis,
            rank,
            position: larger + rank,
            instances,
        }
    }

    /// Returns by how many milliseconds later than the first of all instances this one starts to
    /// read the lease.
    #[must_use]
    pub fn read_delay_ms(&self) -> Millis {
        let classes_after_first = self.classes.saturating_sub(1).max(1);
        self.larger_classes * CLASS_SPAN_MS / classes_after_first + self.rank * RANK_DELAY_MS
    }

    /// Returns the time in milliseconds between two reports to the coordinator.
    #[must_use]
    pub fn report_interval_ms(&self) -> Millis {
        let reporters = (FREQUENT_REPORTER_COUNT / self.classes.max(1)).max(MIN_CLASS_REPORTERS);
        if self.rank < reporters {
            return REPORT_INTERVAL_MS;
        }
        REPORT_INTERVAL_MS.max(self.instances * REPORT_PER_INSTANCE_MS)
    }

    /// Returns the time in milliseconds after which a coordinator that has not been heard from is
    /// taken for lost, so that this instance reads the lease.
    #[must_use]
    pub fn silence_limit_ms(&self) -> Millis {
        let extra_interval = self.report_interval_ms() - REPORT_INTERVAL_MS;
        SILENCE_LIMIT_MS + extra_interval + self.read_delay_ms()
    }
}
