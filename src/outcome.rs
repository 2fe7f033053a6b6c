//! Outcomes of requests as mulberryd reports them to callers, and what proves each.

use crate::error::Cause;
use hyper::StatusCode;
use serde::{Deserialize, Serialize};

/// What became of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// The upstream ran the request.
    Ran,
    /// The request provably did not run.
    NotRun,
    /// The request may have run.
    Unknown,
}

impl Outcome {
    /// Returns the name used on the wire.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Ran => "ran",
            Self::NotRun => "not-run",
            Self::Unknown => "unknown",
        }
    }

    /// Reads the name used on the wire; any other name is [`Outcome::Unknown`].
    #[must_use]
    pub fn from_name(name: &str) -> Self {
        match name {
            "ran" => Self::Ran,
            "not-run" => Self::NotRun,
            _ => Self::Unknown,
        }
    }
}

/// How far an attempt got when it ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Progress {
    /// No byte of the request was written.
    NotSent,
    /// The request was written, in part or whole, and got no response.
    Sent,
    /// The upstream refused it before starting it.
    Refused,
    /// The head of a response arrived.
    Responded,
}

impl Progress {
    /// Returns the outcome that this progress proves.
    #[must_use]
    pub fn outcome(self) -> Outcome {
        match self {
            Self::NotSent | Self::Refused => Outcome::NotRun,
            Self::Sent => Outcome::Unknown,
            Self::Responded => Outcome::Ran,
        }
    }

    /// Returns the progress that a connection error shows.
    #[must_use]
    pub fn of_error(cause: &Cause) -> Self {
        match cause {
            Cause::Unreachable(_) => Self::NotSent,
            _ => Self::Sent,
        }
    }
}

/// Returns whether another attempt may follow one that got this far.
#[must_use]
pub fn may_retry(progress: Progress, idempotent: bool) -> bool {
    match progress {
        Progress::NotSent | Progress::Refused => true,
        Progress::Sent => idempotent,
        Progress::Responded => false,
    }
}

/// Reasons for which an instance responds to a request itself instead of passing on a response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reason {
    /// No route matches.
    NoRoute,
    /// The request carries no key.
    NoKey,
    /// The slot has no owner that is known here.
    NoOwner,
    /// No upstream can take the request.
    NoUpstream,
    /// The request must be forwarded, such as to the key's home data centre, and no instance there
    /// is known.
    NoPath,
    /// The request cannot be served before its deadline, or too many requests wait.
    Overload,
    /// The deadline of the request passed, or the entry grant that covers it ended.
    Deadline,
    /// The connection broke before a response arrived.
    Broken,
    /// The upstream refused the request.
    Refused,
    /// The instance is about to stop.
    Stopping,
    /// An earlier request with the same idempotency key has no known result, or the body of
    /// its response was not stored.
    Repeat,
    /// The idempotency key was used for another request.
    KeyReused,
    /// The idempotency key cannot be claimed, as the platform's table cannot be reached or too many
    /// claims are waiting, or the audit log is full.
    NoStore,
    /// The request was forwarded to this instance, which would have to forward it again.
    Loop,
    /// The request is malformed.
    Malformed,
}

impl Reason {
    /// Returns the name used on the wire and in logs.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::NoRoute => "no-route",
            Self::NoKey => "no-key",
            Self::NoOwner => "no-owner",
            Self::NoUpstream => "no-upstream",
            Self::NoPath => "no-path",
            Self::Overload => "overload",
            Self::Deadline => "deadline",
            Self::Broken => "broken",
            Self::Refused => "refused",
            Self::Stopping => "stopping",
            Self::Repeat => "repeat",
            Self::KeyReused => "key-reused",
            Self::NoStore => "no-store",
            Self::Loop => "loop",
            Self::Malformed => "malformed",
        }
    }

    /// Returns the HTTP status of the response.
    #[must_use]
    pub fn status(self) -> StatusCode {
        match self {
            Self::NoRoute => StatusCode::NOT_FOUND,
            Self::NoKey | Self::Malformed => StatusCode::BAD_REQUEST,
            Self::Repeat => StatusCode::CONFLICT,
            Self::KeyReused => StatusCode::UNPROCESSABLE_ENTITY,
            Self::Deadline => StatusCode::GATEWAY_TIMEOUT,
            Self::Broken => StatusCode::BAD_GATEWAY,
            Self::Loop => StatusCode::LOOP_DETECTED,
            Self::NoOwner
            | Self::NoUpstream
            | Self::NoPath
            | Self::Overload
            | Self::Refused
            | Self::Stopping
            | Self::NoStore => StatusCode::SERVICE_UNAVAILABLE,
        }
    }
}
