//! Resources that operators of mulberryd declare, and the rules that they must satisfy.

use crate::{
    collections::{HashMap, HashSet},
    error::{Error, Result},
    slot::{SlotId, hashed_slot},
};
use serde::{Deserialize, Serialize};
use std::{net::SocketAddr, sync::Arc};

const MAX_SLOTS: u32 = 65_536;
const MAX_PINS: usize = 1_024;
const MAX_TIMEOUT_MS: u64 = 3_600_000;

/// A resource of any kind.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "kind")]
pub enum Resource {
    /// A service that upstreams offer.
    Service(Service),
    /// A rule that sends requests to a service.
    Route(Route),
    /// One server of a service.
    Upstream(Upstream),
    /// How the keys of a service are divided among its upstreams.
    Ownership(Ownership),
}

/// A service that upstreams offer.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Unique name.
    pub name: Arc<str>,
    /// Maximum number of requests that one upstream runs at once.
    #[serde(default = "default_concurrency")]
    pub concurrency: u32,
    /// Maximum number of connections that one upstream accepts, from all instances together.
    #[serde(default = "default_connections")]
    pub connections: u32,
    /// Timeout of a request in milliseconds if the caller sends none.
    #[serde(default = "default_timeout")]
    pub timeout_ms: u64,
    /// Service-level objective.
    #[serde(default)]
    pub objective: Objective,
}

/// A service-level objective.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Objective {
    /// Share of requests that must not fail unless the caller is to blame, more than 0 and less
    /// than 1.
    pub availability: f64,
    /// Response time in milliseconds that `latency_share` of requests must not exceed.
    pub latency_ms: u64,
    /// Share of requests that must be served within `latency_ms`, more than 0 and less than 1.
    pub latency_share: f64,
}

impl Default for Objective {
    fn default() -> Self {
        Self { availability: 0.999, latency_ms: 100, latency_share: 0.99 }
    }
}

/// A rule that sends requests to a service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Route {
    /// Unique name.
    pub name: Arc<str>,
    /// Service that requests go to.
    pub service: Arc<str>,
    /// Host that must match, any if absent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub host: Option<Arc<str>>,
    /// Prefix that the path must start with, on a segment boundary.
    pub path: Arc<str>,
    /// Methods that match, any if empty.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub methods: Vec<Arc<str>>,
    /// Headers that must be present with these values.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub headers: Vec<HeaderMatch>,
    /// Where the key is found; required for services with an `Ownership`.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub key: Option<KeySource>,
    /// Expected duration of requests on this route.
    #[serde(default)]
    pub class: RequestClass,
    /// Whether requests that may have run may be sent again; decided by the method if absent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub idempotent: Option<bool>,
}

/// A header that must be present with a value.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct HeaderMatch {
    /// Header name.
    pub name: Arc<str>,
    /// Exact value.
    pub value: Arc<str>,
}

/// Where the key of a request is found.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum KeySource {
    /// In a header of this name.
    Header(Arc<str>),
    /// In the path segment of this index, counted from 0.
    PathSegment(usize),
    /// In the query parameter of this name.
    Query(Arc<str>),
}

/// Expected duration of a request, which decides the in-flight limit that it counts against.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RequestClass {
    /// Short work, such as a look-up.
    #[default]
    Short,
    /// Long work, such as a download.
    Long,
}

/// One server of a service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Upstream {
    /// Unique name.
    pub name: Arc<str>,
    /// Service that it offers.
    pub service: Arc<str>,
    /// Address that it serves requests on.
    pub address: SocketAddr,
    /// Data centre that it runs in.
    pub data_center: Arc<str>,
    /// Whether it enforces ownership itself.
    #[serde(default)]
    pub fencing: Fencing,
    /// State that the operator wants it in.
    #[serde(default)]
    pub state: UpstreamState,
}

/// Who enforces ownership for an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Fencing {
    /// The upstream accepts fenced grants and refuses requests that they do not cover.
    #[default]
    Checked,
    /// The upstream checks nothing. The instances at which callers' requests arrive (the entry
    /// instances) get the grants instead and enforce them for it.
    Unchecked,
}

/// State that the operator wants an upstream in.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum UpstreamState {
    /// Serves requests.
    #[default]
    Active,
    /// Gets no new requests and gives up its keys, while requests in flight end.
    Draining,
    /// The operator confirms that its process has ended and serves nothing any more, so that its
    /// keys can move without waiting for it.
    Stopped,
}

/// How the keys of a service are divided among its upstreams.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Ownership {
    /// Service whose keys these are; also the name of the resource.
    pub service: Arc<str>,
    /// Number of slots that keys are hashed to; cannot be changed later.
    pub slots: u32,
    /// Keys with a slot of their own. A pin's position in the list decides its slot, so pins are
    /// only appended and never taken from the list; a pin is removed by making its key empty.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub pins: Vec<Pin>,
    /// Home data centres; the home of hashed slot n is at index n modulo their number.
    pub homes: Vec<Arc<str>>,
    /// Maximum number of slots that move per second to balance the upstreams (`churn` in files).
    #[serde(default = "default_churn", rename = "churn")]
    pub moves_per_second: u32,
}

/// A key with a slot of its own.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Pin {
    /// The key.
    pub key: Arc<str>,
    /// Upstream that should own the key, any if absent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub upstream: Option<Arc<str>>,
}

fn default_concurrency() -> u32 {
    6
}

fn default_connections() -> u32 {
    120
}

fn default_timeout() -> u64 {
    5_000
}

fn default_churn() -> u32 {
    64
}

impl Resource {
    /// Returns the kind's name.
    #[must_use]
    pub fn kind(&self) -> &'static str {
        match self {
            Self::Service(_) => "Service",
            Self::Route(_) => "Route",
            Self::Upstream(_) => "Upstream",
            Self::Ownership(_) => "Ownership",
        }
    }

    /// Returns the name, unique within the kind.
    #[must_use]
    pub fn name(&self) -> &Arc<str> {
        match self {
            Self::Service(s) => &s.name,
            Self::Route(r) => &r.name,
            Self::Upstream(u) => &u.name,
            Self::Ownership(o) => &o.service,
        }
    }

    /// Returns `Kind/name`, unique among all resources.
    #[must_use]
    pub fn id(&self) -> String {
        format!("{}/{}", self.kind(), self.name())
    }

    fn check_self(&self) -> Result<()> {
        require(self, is_valid_name(self.name()), "name", NAME_RULE)?;
        match self {
            Self::Service(s) => check_service(self, s),
            Self::Route(r) => check_route(self, r),
            Self::Upstream(u) => {
                require(self, is_valid_name(&u.data_center), "data_center", NAME_RULE)
            }
            Self::Ownership(o) => check_ownership(self, o),
        }
    }
}

impl Ownership {
    /// Returns the pinned keys in slot order, empty strings for removed pins.
    #[must_use]
    pub fn pinned_keys(&self) -> Vec<Arc<str>> {
        self.pins.iter().map(|p| p.key.clone()).collect()
    }

    /// Returns the home data centre of a key, that of its hashed slot even if it is pinned.
    #[must_use]
    pub fn home_data_center(&self, key: &str) -> &Arc<str> {
        self.home_of_hashed(hashed_slot(&self.service, key, self.slots))
    }

    fn home_of_hashed(&self, slot: SlotId) -> &Arc<str> {
        &self.homes[slot as usize % self.homes.len()]
    }

    /// Returns the slots whose home is `data_center`, those of pinned keys included.
    #[must_use]
    pub fn slots_homed_in(&self, data_center: &str) -> Vec<SlotId> {
        let hashed = (0..self.slots).filter(|s| &**self.home_of_hashed(*s) == data_center);
        let pinned = (self.slots..)
            .zip(&self.pins)
            .filter(|(_, p)| !p.key.is_empty() && &**self.home_data_center(&p.key) == data_center)
            .map(|(slot, _)| slot);
        hashed.chain(pinned).collect()
    }
}

fn reject(r: &Resource, field: &str, accepted: &str) -> Error {
    Error::invalid("check resource", format!("{}: field `{field}`: {accepted}", r.id()))
}

fn require(r: &Resource, ok: bool, field: &str, accepted: &str) -> Result<()> {
    if ok { Ok(()) } else { Err(reject(r, field, accepted)) }
}

/// What [`is_valid_name`] accepts, for error messages.
pub(crate) const NAME_RULE: &str = "accepts 1 to 63 of a-z, 0-9, `-`, `.`, `_`";

/// Returns whether a text is a valid name.
///
/// Names are parts of row keys in the platform's table, so the characters are restricted.
pub(crate) fn is_valid_name(text: &str) -> bool {
    (1..=63).contains(&text.len()) && has_only_name_characters(text)
}

/// Returns whether all characters of a text may stand in a name.
pub(crate) fn has_only_name_characters(text: &str) -> bool {
    let allowed = |c: char| c.is_ascii_lowercase() || c.is_ascii_digit() || "-._".contains(c);
    text.chars().all(allowed)
}

fn check_service(r: &Resource, s: &Service) -> Result<()> {
    let timeouts = 1..=MAX_TIMEOUT_MS;
    require(r, (1..=10_000).contains(&s.concurrency), "concurrency", "accepts 1 to 10000")?;
    require(r, (1..=100_000).contains(&s.connections), "connections", "accepts 1 to 100000")?;
    require(r, timeouts.contains(&s.timeout_ms), "timeout_ms", "accepts 1 to 3600000")?;
    let is_share = |v: f64| v > 0.0 && v < 1.0;
    let o = &s.objective;
    require(r, is_share(o.availability), "objective.availability", "accepts more than 0, under 1")?;
    require(r, is_share(o.latency_share), "objective.latency_share", "accepts more than 0, under 1")
}

fn check_route(r: &Resource, route: &Route) -> Result<()> {
    require(r, route.path.starts_with('/'), "path", "accepts a path that starts with `/`")?;
    let method = |m: &Arc<str>| hyper::Method::from_bytes(m.as_bytes()).is_ok();
    require(r, route.methods.iter().all(method), "methods", "accepts HTTP methods")?;
    let header = |n: &str| hyper::header::HeaderName::from_bytes(n.as_bytes()).is_ok();
    let ok = route.headers.iter().all(|h| header(&h.name));
    require(r, ok, "headers", "accepts HTTP header names")?;
    match &route.key {
        Some(KeySource::Header(n)) => require(r, header(n), "key.header", "accepts a header name"),
        Some(KeySource::Query(n)) => require(r, !n.is_empty(), "key.query", "accepts a name"),
        Some(KeySource::PathSegment(_)) | None => Ok(()),
    }
}

fn check_ownership(r: &Resource, o: &Ownership) -> Result<()> {
    require(r, (1..=MAX_SLOTS).contains(&o.slots), "slots", "accepts 1 to 65536")?;
    require(r, o.pins.len() <= MAX_PINS, "pins", "accepts at most 1024")?;
    let mut seen = HashSet::default();
    let distinct = o.pins.iter().filter(|p| !p.key.is_empty()).all(|p| seen.insert(&p.key));
    require(r, distinct, "pins", "accepts each key once")?;
    require(r, !o.homes.is_empty(), "homes", "accepts at least one data centre")?;
    require(r, o.homes.iter().all(|h| is_valid_name(h)), "homes", NAME_RULE)?;
    require(r, o.moves_per_second >= 1, "churn", "accepts 1 or more")
}

/// Checks a whole set of resources, references between them included.
///
/// # Errors
///
/// Names the first resource and field that is not accepted, and what is.
pub fn check_all(resources: &[Resource]) -> Result<()> {
    let mut ids = HashSet::default();
    let mut addresses = HashMap::default();
    for r in resources {
        r.check_self()?;
        require(r, ids.insert(r.id()), "name", "accepts a name that no other of its kind has")?;
        if let Resource::Upstream(u) = r {
            let other = addresses.insert(u.address, u.name.clone());
            require(r, other.is_none(), "address", "accepts one that no other upstream has")?;
        }
    }
    resources.iter().try_for_each(|r| check_references(r, &ids))?;
    check_fencing(resources, &ids)
}

/// Checks that all upstreams of a service with an `Ownership` have the same fencing.
fn check_fencing(resources: &[Resource], ids: &HashSet<String>) -> Result<()> {
    let mut fencing_by_service = HashMap::default();
    for r in resources {
        let Resource::Upstream(u) = r else { continue };
        if ids.contains(&format!("Ownership/{}", u.service)) {
            let first = *fencing_by_service.entry(u.service.clone()).or_insert(u.fencing);
            let accepted = "accepts the same value as the service's other upstreams";
            require(r, first == u.fencing, "fencing", accepted)?;
        }
    }
    Ok(())
}

fn check_references(r: &Resource, ids: &HashSet<String>) -> Result<()> {
    let exists = |s: &Arc<str>| ids.contains(&format!("Service/{s}"));
    let accepted = "accepts the name of a Service that exists";
    match r {
        Resource::Service(_) => Ok(()),
        Resource::Upstream(u) => require(r, exists(&u.service), "service", accepted),
        Resource::Ownership(o) => require(r, exists(&o.service), "service", accepted),
        Resource::Route(route) => {
            require(r, exists(&route.service), "service", accepted)?;
            let keyed = ids.contains(&format!("Ownership/{}", route.service));
            let key_accepted =
                "accepts header, path_segment or query; the service has an Ownership";
            require(r, !keyed || route.key.is_some(), "key", key_accepted)
        }
    }
}

/// Checks that a resource may be removed.
///
/// # Errors
///
/// Fails for an `Ownership`: its slots may still be granted.
pub fn check_delete(old: &Resource) -> Result<()> {
    let ok = !matches!(old, Resource::Ownership(_));
    require(old, ok, "service", "cannot be removed, since its slots may be granted")
}

/// Checks that a change alters no field that is fixed once the resource exists.
///
/// # Errors
///
/// Names the resource and field that may not change.
pub fn check_change(old: &Resource, new: &Resource) -> Result<()> {
    if let (Resource::Upstream(a), Resource::Upstream(b)) = (old, new) {
        let ok = a.fencing == b.fencing;
        return require(new, ok, "fencing", "cannot change once the resource exists");
    }
    let (Resource::Ownership(a), Resource::Ownership(b)) = (old, new) else {
        return Ok(());
    };
    require(new, a.slots == b.slots, "slots", "cannot change once the resource exists")?;
    let kept = a.pins.iter().zip(&b.pins).all(|(x, y)| x.key == y.key || y.key.is_empty());
    let ok = kept && b.pins.len() >= a.pins.len();
    require(new, ok, "pins", "accepts appended entries and blanked keys, nothing removed")?;
    require(new, a.homes == b.homes, "homes", "cannot change once the resource exists")
}
