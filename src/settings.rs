//! Settings of one mulberryd process, read once at start.

use crate::{
    error::{Error, Result},
    grant::Timing,
    jsonc,
    resource::{NAME_RULE, is_valid_name},
};
use serde::Deserialize;
use std::{net::SocketAddr, path::Path, sync::Arc};

const MIN_SECRET_BYTES: usize = 8;

/// Settings of one mulberryd process.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Name of the instance, for people; its identity among instances is new at each start.
    pub instance: Arc<str>,
    /// Data centre that the instance runs in.
    pub data_center: Arc<str>,
    /// Rack or switch group; standbys are chosen in other racks if there are any.
    #[serde(default)]
    pub rack: Arc<str>,
    /// Address to listen on for callers.
    pub listen: SocketAddr,
    /// Address to listen on for operators, metrics scrapers and health probes.
    pub admin: SocketAddr,
    /// Address to listen on for other instances.
    pub peer: SocketAddr,
    /// Peer addresses of other instances to contact, beside those in the platform's table; unlike
    /// the latter they are never dropped.
    #[serde(default, rename = "peers")]
    pub seeds: Vec<SocketAddr>,
    /// Address of the platform's table, object store and instance list.
    pub platform: SocketAddr,
    /// Secret that instances and operators share, at least 8 bytes.
    pub secret: Secret,
    /// Timing of the ownership protocol.
    #[serde(default)]
    pub timing: Timing,
    /// Limits that protect the instance.
    #[serde(default)]
    pub limits: Limits,
    /// Log level.
    #[serde(default)]
    pub log: LogLevel,
}

/// A secret that debug output does not show.
#[derive(Clone, Deserialize)]
#[serde(transparent)]
pub struct Secret(Arc<str>);

impl Secret {
    /// Wraps a secret.
    pub fn new(text: impl Into<Arc<str>>) -> Self {
        Self(text.into())
    }

    /// Returns whether `other` equals the secret; the time taken does not show where they differ.
    #[must_use]
    pub fn matches(&self, other: &[u8]) -> bool {
        let own = self.0.as_bytes();
        let diff = own.iter().zip(other).fold(0_u8, |acc, (a, b)| acc | (a ^ b));
        own.len() == other.len() && diff == 0
    }

    /// Returns the secret in clear text, to send it to a peer.
    #[must_use]
    pub fn expose(&self) -> &str {
        &self.0
    }
}

impl std::fmt::Debug for Secret {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("Secret(..)")
    }
}

/// Limits that protect an instance.
#[derive(Debug, Clone, Copy, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    /// Maximum number of open connections from callers.
    pub connections: usize,
    /// Maximum size of request headers in bytes.
    pub header_bytes: usize,
    /// Time in milliseconds within which a caller must send its headers.
    pub header_read_ms: u64,
    /// Time in milliseconds that requests in flight get to end at shutdown.
    pub drain_ms: u64,
    /// Maximum size in bytes of a request body that is kept for a retry.
    pub replay_bytes: u64,
    /// Maximum number of requests that wait for one upstream, per request class.
    #[serde(rename = "queue")]
    pub max_queue: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            connections: 10_000,
            header_bytes: 32 * 1024,
            header_read_ms: 5_000,
            drain_ms: 30_000,
            replay_bytes: 64 * 1024,
            max_queue: 256,
        }
    }
}

/// Log level.
#[derive(Debug, Clone, Copy, Default, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LogLevel {
    /// Faults that need an operator.
    Error,
    /// Faults that the software handles itself.
    Warn,
    /// One line per request and per change of state.
    #[default]
    Info,
    /// Steps of the protocols.
    Debug,
    /// Everything.
    Trace,
}

impl LogLevel {
    /// Returns the level of this name, `Info` for any other.
    #[must_use]
    pub fn from_name(name: &str) -> Self {
        match name {
            "error" => Self::Error,
            "warn" => Self::Warn,
            "debug" => Self::Debug,
            "trace" => Self::Trace,
            _ => Self::Info,
        }
    }
}

impl Settings {
    /// Reads and checks a settings file.
    ///
    /// # Errors
    ///
    /// Names the file, line and field, and what is accepted.
    pub fn read(path: &Path) -> Result<Self> {
        let file = path.display().to_string();
        let text = std::fs::read_to_string(path)
            .map_err(|e| Error::invalid("read settings", format!("{file}: {e}")))?;
        Self::parse(&file, &text)
    }

    /// Parses and checks settings; `file` is only used in error messages.
    ///
    /// # Errors
    ///
    /// Names the file, line and field, and what is accepted.
    pub fn parse(file: &str, text: &str) -> Result<Self> {
        let cfg: Self = jsonc::parse(file, text)?;
        cfg.check().map_err(|(field, accepted)| {
            let line = line_of(text, field);
            Error::invalid("check settings", format!("{file}:{line}: field `{field}`: {accepted}"))
        })?;
        Ok(cfg)
    }

    fn check(&self) -> Result<(), (&'static str, &'static str)> {
        let require = |ok: bool, field, accepted| if ok { Ok(()) } else { Err((field, accepted)) };
        let t = &self.timing;
        let l = &self.limits;
        require(is_valid_name(&self.instance), "instance", NAME_RULE)?;
        require(is_valid_name(&self.data_center), "data_center", NAME_RULE)?;
        let long_enough = self.secret.0.len() >= MIN_SECRET_BYTES;
        require(long_enough, "secret", "accepts at least 8 bytes")?;
        require(t.renew_ms >= 10, "renew_ms", "accepts 10 or more")?;
        require(t.promise_ms >= 2 * t.renew_ms, "promise_ms", "accepts at least 2 × renew_ms")?;
        let covers_promise = t.lease_ms >= t.promise_ms + t.renew_ms;
        require(covers_promise, "lease_ms", "accepts at least promise_ms + renew_ms")?;
        require(t.drift_ppm <= 100_000, "drift_ppm", "accepts 0 to 100000")?;
        let at_least_promise = t.outage_promise_ms >= t.promise_ms;
        require(at_least_promise, "outage_promise_ms", "accepts at least promise_ms")?;
        require(l.connections >= 1, "connections", "accepts 1 or more")?;
        require(
            (1024..=1 << 20).contains(&l.header_bytes),
            "header_bytes",
            "accepts 1024 to 1048576",
        )?;
        require(l.header_read_ms >= 10, "header_read_ms", "accepts 10 or more")?;
        require(l.replay_bytes <= 16 << 20, "replay_bytes", "accepts 0 to 16777216")?;
        let addresses = [self.listen, self.admin, self.peer];
        let fixed_ports = addresses.iter().filter(|a| a.port() != 0).collect::<Vec<_>>();
        let unique = fixed_ports.iter().enumerate().all(|(n, a)| !fixed_ports[..n].contains(a));
        require(unique, "listen", "accepts an address that differs from admin and peer")
    }
}

/// Returns the line on which a field is set, the last line if it is absent.
fn line_of(text: &str, field: &str) -> usize {
    let quoted = format!("\"{field}\"");
    let found = text.lines().position(|line| line.contains(&quoted));
    found.map_or_else(|| text.lines().count(), |n| n + 1)
}
