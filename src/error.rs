//! The library's error type.

use std::{fmt, sync::Arc};

/// Result alias for the library.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// What went wrong, without where it happened.
#[derive(Debug, thiserror::Error)]
pub enum Cause {
    /// The peer could not be reached; nothing was sent.
    #[error("not reachable: {0}")]
    Unreachable(String),
    /// The exchange broke off; whether the peer acted on it is unknown.
    #[error("broke off: {0}")]
    Interrupted(String),
    /// The exchange took longer than its limit in milliseconds.
    #[error("no answer within {0} ms")]
    TimedOut(u64),
    /// A conditional write met another version than it expected.
    #[error("version conflict on {key}: current version is {current}")]
    Conflict {
        /// Row that did not match.
        key: String,
        /// Version of the row now, 0 if it does not exist.
        current: u64,
    },
    /// The peer answered with an error of its own.
    #[error("answered {status}: {text}")]
    Status {
        /// HTTP status code.
        status: u16,
        /// Start of the body.
        text: String,
    },
    /// Input that does not satisfy its contract.
    #[error("{0}")]
    Invalid(String),
}

/// An error with the step and the peer at which it arose.
#[derive(Debug)]
pub struct Error {
    step: &'static str,
    peer: Arc<str>,
    cause: Cause,
}

impl Error {
    /// Creates an error that arose in `step` while talking to `peer` (empty for local steps).
    pub fn new(step: &'static str, peer: impl Into<Arc<str>>, cause: Cause) -> Self {
        Self { step, peer: peer.into(), cause }
    }

    /// Creates an error about invalid input in a local step.
    pub fn invalid(step: &'static str, text: impl Into<String>) -> Self {
        Self::new(step, "", Cause::Invalid(text.into()))
    }

    /// Returns the underlying cause.
    #[must_use]
    pub fn cause(&self) -> &Cause {
        &self.cause
    }

    /// Returns whether a request that met this error may have taken effect.
    #[must_use]
    pub fn may_have_taken_effect(&self) -> bool {
        match &self.cause {
            Cause::Interrupted(_) | Cause::TimedOut(_) => true,
            Cause::Status { status, .. } => *status >= 500,
            Cause::Unreachable(_) | Cause::Conflict { .. } | Cause::Invalid(_) => false,
        }
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.peer.is_empty() {
            write!(f, "{}: {}", self.step, self.cause)
        } else {
            write!(f, "{} ({}): {}", self.step, self.peer, self.cause)
        }
    }
}

// The cause is part of the text, so it is no source of its own.
impl std::error::Error for Error {}
