//! The routing configuration of `mulberryspur-platform`, written by the operator, and the upstreams
//! as they registered.
//!
//! Instances send both to each other. `serde(rename)` keeps the field names that instances of other
//! versions know.

use crate::{clock::Millis, collections::HashMap};
use serde::{Deserialize, Serialize};
use std::{net::SocketAddr, sync::Arc};

/// One version of the operator's configuration.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RoutingConfig {
    /// Version; only ever grows.
    pub version: u64,
    /// Limits on callers.
    pub limits: CallerLimits,
    /// Rules of each host, longest prefix first.
    pub hosts: HashMap<Arc<str>, Vec<Arc<Rule>>>,
    /// Services by name.
    pub services: HashMap<Arc<str>, ServiceSpec>,
}

/// Limits on what callers may send, and how long they may take.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct CallerLimits {
    /// Maximum size of a request's head in bytes.
    pub header_bytes: usize,
    /// Maximum size of a request's body in bytes.
    pub body_bytes: u64,
    /// Time in milliseconds for a request's head to arrive.
    pub header_ms: Millis,
    /// Time in milliseconds for which a connection may stay idle.
    pub idle_ms: Millis,
}

/// A rule that routes requests to services.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Rule {
    /// Unique name.
    pub name: Arc<str>,
    /// Prefix of the paths that match.
    pub prefix: Arc<str>,
    /// Whether a request may be run more than once.
    pub idempotent: bool,
    /// Whether responses are large, so that sending them between data centres is expensive.
    #[serde(rename = "bulky")]
    pub large_responses: bool,
    /// Objective for the response time in milliseconds; a later response is worth less.
    pub objective_ms: Millis,
    /// Priority among the requests of a service; 0 is served first.
    #[serde(rename = "rank")]
    pub priority: u8,
    /// Time in milliseconds after which a request times out, if limited.
    pub timeout_ms: Option<Millis>,
    /// Maximum number of attempts of a request, without those that got no connection.
    pub attempts: u32,
    /// Services that share the requests.
    pub targets: Vec<Target>,
}

/// A service's share of a rule's requests.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Target {
    /// Service.
    pub service: Arc<str>,
    /// Weight among the rule's targets.
    pub weight: u32,
}

/// A service that upstreams offer.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ServiceSpec {
    /// Unique name.
    pub name: Arc<str>,
    /// Maximum number of connections that one upstream accepts from all instances together.
    pub max_connections: usize,
    /// Whether upstreams own keys and serve only those.
    pub keyed: bool,
    /// Time in milliseconds for which an upstream warms up after its start, if limited. Other
    /// versions may not send it.
    #[serde(default)]
    pub warmup_ms: Option<Millis>,
    /// Requests per second that an upstream tolerates from all instances together while it warms up,
    /// if limited. Other versions may not send it.
    #[serde(default)]
    pub warmup_per_second: Option<f64>,
}

/// One incarnation of an upstream, as it registered.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct UpstreamInfo {
    /// Identity, which later incarnations may share.
    pub id: Arc<str>,
    /// When this incarnation started, in Unix milliseconds by its own clock.
    pub started: u64,
    /// Service that it belongs to.
    pub service: Arc<str>,
    /// Address that it listens on.
    pub address: SocketAddr,
    /// Data centre that it runs in.
    pub data_center: Arc<str>,
    /// Number of requests that it runs at once.
    #[serde(rename = "slots")]
    pub concurrency: u32,
    /// Whether it is about to stop and takes no new requests.
    pub leaving: bool,
    /// Time in milliseconds for which it stays slow after its start.
    pub warmup_ms: Millis,
}

impl RoutingConfig {
    /// Returns the rule of `host` with the longest prefix that starts `path`.
    #[must_use]
    pub fn find_rule(&self, host: &str, path: &str) -> Option<&Arc<Rule>> {
        let host = host.split(':').next().unwrap_or_default();
        let rules = match self.hosts.get(host) {
            Some(rules) => rules,
            None => self.hosts.get(host.to_ascii_lowercase().as_str())?,
        };
        rules.iter().find(|r| path.starts_with(&*r.prefix))
    }

    /// Adds a host's rules, longest prefix first.
    pub fn add_host(&mut self, host: impl Into<Arc<str>>, rules: impl IntoIterator<Item = Rule>) {
        let list = self.hosts.entry(host.into()).or_default();
        list.extend(rules.into_iter().map(Arc::new));
        list.sort_by_key(|r| std::cmp::Reverse(r.prefix.len()));
    }

    /// Returns the services whose upstreams own keys.
    pub fn keyed_services(&self) -> impl Iterator<Item = &Arc<str>> {
        self.services.values().filter(|s| s.keyed).map(|s| &s.name)
    }
}

impl UpstreamInfo {
    /// Returns whether this is the incarnation of `id` that started at `started`.
    #[must_use]
    pub fn is_incarnation(&self, id: &str, started: u64) -> bool {
        *self.id == *id && self.started == started
    }
}
