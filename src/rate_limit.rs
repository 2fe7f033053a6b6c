//! The limit that an upstream names on the requests per second from all instances together, as each
//! instance of `mulberryspur-platform` keeps it.
//!
//! Answers the load of an upstream in need that goes on serving a little. No instance sees what the
//! others send, so each has a token bucket with an equal share of the rate. The buckets get their
//! tokens in turn, by a common clock, so that the requests of many instances are spread evenly.
//!
//! Also answers load that comes at once through many instances that had none: where the share of
//! each in what may be sent at once is less than one request, a token that is not used lapses, so
//! that at any time only that many instances have one.

use crate::clock::Millis;

/// Share of the limit that all instances together use, which leaves a margin for their clocks and
/// for requests that are delayed on the way.
const USED_SHARE: f64 = 0.95;
/// Requests per second of all instances together to an upstream that takes fewer or none: without
/// a response, its next limit would not become known.
const MIN_RATE: f64 = 0.25;
/// Seconds of the limit that all instances together may send at once.
const BURST_SECONDS: f64 = 2.0;
/// Requests that all instances together may send at once beyond those seconds.
const BURST_REQUESTS: f64 = 4.0;

/// What a response says about the limit of its upstream.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub enum LimitNotice {
    /// Nothing: there was no response, or a refusal that names no limit.
    #[default]
    Unknown,
    /// The upstream takes any number of requests.
    Unlimited,
    /// The upstream takes this many requests per second from all instances together.
    PerSecond(f64),
}

impl LimitNotice {
    /// Parses the value of the header that names a limit; `None` if it is no rate.
    #[must_use]
    pub fn parse(value: &str) -> Option<Self> {
        let rate: f64 = value.trim().parse().ok()?;
        (rate.is_finite() && rate >= 0.0).then_some(Self::PerSecond(rate))
    }

    /// Returns the requests per second, if a limit is named.
    #[must_use]
    pub fn per_second(&self) -> Option<f64> {
        match self {
            Self::PerSecond(rate) => Some(*rate),
            Self::Unknown | Self::Unlimited => None,
        }
    }
}

/// Which of all instances this one is.
#[derive(Debug, Clone, Copy)]
pub struct InstancePosition {
    /// Number of all instances.
    pub instances: u32,
    /// Number of those that come before this one by name.
    pub rank: u32,
    /// Time in milliseconds to add to the boot clock for one that all instances share, such as the
    /// time of day.
    pub clock_offset_ms: Millis,
}

impl Default for InstancePosition {
    fn default() -> Self {
        Self { instances: 1, rank: 0, clock_offset_ms: 0 }
    }
}

impl InstancePosition {
    fn share(&self) -> f64 {
        1.0 / f64::from(self.instances.max(1))
    }
}

/// This instance's part of an upstream's limit.
#[derive(Debug, Clone, Copy)]
pub struct RateLimit {
    /// Requests per second from all instances.
    per_second: f64,
    /// Requests that all instances together may send at once; `None` for the default of limits that
    /// upstreams name.
    burst: Option<f64>,
    /// This instance's share of them.
    share: f64,
    /// Requests that may be sent at `updated_at`, with the part of the next one.
    credit: f64,
    updated_at: Millis,
}

impl RateLimit {
    /// Creates a limit of `per_second` requests from all instances.
    #[must_use]
    pub fn new(now: Millis, per_second: f64, position: &InstancePosition) -> Self {
        let share = position.share();
        let limit = Self { per_second, burst: None, share, credit: 0.0, updated_at: now };
        #[expect(clippy::cast_precision_loss, reason = "exact up to 2^53 ms")]
        let tokens = (now + position.clock_offset_ms) as f64 * limit.rate();
        let credit = (tokens - f64::from(position.rank) * share).rem_euclid(1.0);
        Self { credit, ..limit }
    }

    /// Sets the requests that all instances together may send at once.
    #[must_use]
    pub fn with_burst(self, requests: f64) -> Self {
        Self { burst: Some(requests), ..self }
    }

    /// Returns the requests per second that the upstream takes from all instances.
    #[must_use]
    pub fn per_second(&self) -> f64 {
        self.per_second
    }

    /// Changes the limit and this instance's share of it.
    pub fn update(&mut self, now: Millis, per_second: f64, position: &InstancePosition) {
        self.credit = self.credit_at(now);
        self.updated_at = now;
        (self.per_second, self.share) = (per_second, position.share());
    }

    /// Returns this instance's rate in requests per millisecond.
    #[must_use]
    pub fn rate(&self) -> f64 {
        (self.per_second * USED_SHARE).max(MIN_RATE) * self.share / 1_000.0
    }

    /// Returns the requests that may be sent at `now`, with the part of the next one, which grows
    /// whether or not the bucket is full: tokens come at the same times.
    fn credit_at(&self, now: Millis) -> f64 {
        let default_burst = self.per_second * BURST_SECONDS + BURST_REQUESTS;
        let burst = self.burst.unwrap_or(default_burst) * self.share;
        #[expect(clippy::cast_precision_loss, reason = "short spans")]
        let elapsed_ms = now.saturating_sub(self.updated_at) as f64;
        let credit = self.credit + elapsed_ms * self.rate();
        if burst < 1.0 {
            // A token lapses once the next one has grown to `burst`.
            let part = credit.fract();
            let held = if part < burst { 1.0 + part } else { part };
            return if credit < 1.0 { credit } else { held };
        }
        let burst = burst.floor();
        if credit < burst + 1.0 { credit } else { burst + credit.fract() }
    }

    /// Returns whether a request may be sent now.
    #[must_use]
    pub fn admits(&self, now: Millis) -> bool {
        self.credit_at(now) >= 1.0
    }

    /// Counts a request that is sent.
    pub fn take(&mut self, now: Millis) {
        self.credit = self.credit_at(now) - 1.0;
        self.updated_at = now;
    }

    /// Returns the time in milliseconds until the last of `count` requests may be sent.
    #[must_use]
    pub fn wait_ms(&self, now: Millis, count: f64) -> f64 {
        ((count - self.credit_at(now)) / self.rate()).max(0.0)
    }
}
