//! What a caller is told about its request, and the proof that each answer needs.

use crate::error::Cause;
use hyper::StatusCode;
use serde::{Deserialize, Serialize};

/// What became of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// The upstream ran it.
    Ran,
    /// It was not run, on proof.
    NotRun,
    /// It may have run.
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

    /// Reads the name used on the wire; anything else may have run.
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
    /// The request was written, in part or whole, and no answer came.
    Sent,
    /// The upstream answered that it refuses, before starting.
    Refused,
    /// The head of an answer came.
    Answered,
}

impl Progress {
    /// Returns the outcome that this progress proves.
    #[must_use]
    pub fn outcome(self) -> Outcome {
        match self {
            Self::NotSent | Self::Refused => Outcome::NotRun,
            Self::Sent => Outcome::Unknown,
            Self::Answered => Outcome::Ran,
        }
    }

    /// Returns the progress that an error of the connection shows.
    #[must_use]
    pub fn of_error(cause: &Cause) -> Self {
        match cause {
            Cause::Unreachable(_) => Self::NotSent,
            _ => Self::Sent,
        }
    }
}

/// Returns whether another attempt may follow one that ended so.
#[must_use]
pub fn may_retry(progress: Progress, idempotent: bool) -> bool {
    match progress {
        Progress::NotSent | Progress::Refused => true,
        Progress::Sent => idempotent,
        Progress::Answered => false,
    }
}

/// Reasons for which an entry instance answers by itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reason {
    /// No route matches.
    NoRoute,
    /// The request carries no key.
    NoKey,
    /// The slot has no owner that is known here.
    NoOwner,
    /// No upstream can take it.
    NoUpstream,
    /// The home data centre of the key cannot be reached.
    NoPath,
    /// It cannot be served before its deadline, or too many wait.
    Overload,
    /// Its time ran out.
    Deadline,
    /// The upstream broke the exchange off.
    Broken,
    /// The upstream refused it.
    Refused,
    /// The instance is about to stop.
    Stopping,
    /// An earlier request with the same idempotency key has no known result.
    Repeat,
    /// The idempotency key was used for another request.
    KeyReused,
    /// The place where idempotency keys are kept cannot be reached.
    NoStore,
    /// It was forwarded once already.
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

    /// Returns the status of the answer.
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
