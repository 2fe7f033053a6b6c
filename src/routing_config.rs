//! One version of the operator's configuration, and the upstreams that serve it.

use crate::{clock::Millis, collections::HashMap};
use serde::{Deserialize, Serialize};
use std::{net::SocketAddr, sync::Arc};

/// One version of the configuration.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RoutingConfig {
    /// Version; only ever grows.
    pub version: u64,
    /// What callers may send.
    pub limits: CallerLimits,
    /// Rules of each host, longest prefix first.
    pub hosts: HashMap<Arc<str>, Vec<Arc<Rule>>>,
    /// Services by name.
    pub services: HashMap<Arc<str>, ServiceSpec>,
}

/// What callers may send, and how long they may take.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct CallerLimits {
    /// Bytes of a request's head.
    pub header_bytes: usize,
    /// Bytes of a request's body.
    pub body_bytes: u64,
    /// Time in milliseconds for a request's head to arrive.
    pub header_ms: Millis,
    /// Time in milliseconds for which a connection may stay idle.
    pub idle_ms: Millis,
}

/// A rule that sends requests to services.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Rule {
    /// Unique name.
    pub name: Arc<str>,
    /// Start of the paths that match.
    pub prefix: Arc<str>,
    /// Whether a request may run more than once.
    pub idempotent: bool,
    /// Whether answers are large, so that sending them between data centres is dear.
    #[serde(rename = "bulky")]
    pub large_responses: bool,
    /// Time in milliseconds within which an answer is worth its full credit.
    pub objective_ms: Millis,
    /// Rank among requests of one service, 0 first.
    #[serde(rename = "rank")]
    pub priority: u8,
    /// Longest time in milliseconds that a request may be kept, if limited.
    pub timeout_ms: Option<Millis>,
    /// Upstreams to which one request may be sent.
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
    /// Connections that one upstream accepts from all callers.
    pub max_connections: usize,
    /// Whether upstreams own keys and serve only those.
    pub keyed: bool,
}

/// One incarnation of an upstream.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct UpstreamInfo {
    /// Identity, which a later incarnation may have again.
    pub id: Arc<str>,
    /// When this incarnation started, in Unix milliseconds by its own clock.
    pub started: u64,
    /// Service that it offers.
    pub service: Arc<str>,
    /// Address that it listens on.
    pub address: SocketAddr,
    /// Data centre that it runs in.
    pub data_center: Arc<str>,
    /// Requests that it runs at once.
    #[serde(rename = "slots")]
    pub concurrency: u32,
    /// Whether it is about to end and takes no new work.
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

    /// Returns the services that own keys.
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
