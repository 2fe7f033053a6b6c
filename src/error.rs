//! The library's error type: what went wrong, in which step, and with which peer.

use std::{fmt, sync::Arc};

/// Result alias for the library.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// What went wrong, without the step and the peer.
///
/// Operators search logs for the displayed texts, and admin responses contain them, so they keep
/// the words "broke off", "answer" and "answered".
#[derive(Debug, thiserror::Error)]
pub enum Cause {
    /// The peer could not be reached; nothing was sent.
    #[error("not reachable: {0}")]
    Unreachable(String),
    /// The exchange was interrupted; whether the peer acted on the request is unknown.
    #[error("broke off: {0}")]
    Interrupted(String),
    /// The exchange was not complete within the timeout, in milliseconds: perhaps nothing was sent,
    /// or only a part of the response arrived.
    #[error("no answer within {0} ms")]
    TimedOut(u64),
    /// A conditional write found another version than it expected.
    #[error("version conflict on {key}: current version is {current}")]
    Conflict {
        /// Key of the row that did not match.
        key: String,
        /// Current version of the row, 0 if it does not exist.
        current: u64,
    },
    /// The peer responded with an error status.
    #[error("answered {status}: {text}")]
    Status {
        /// HTTP status code.
        status: u16,
        /// Start of the response's body.
        text: String,
    },
    /// Invalid input, or input that cannot be parsed.
    #[error("{0}")]
    Invalid(String),
}

/// An error with the step in which it arose and the peer, if any.
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

    /// Returns whether a request that failed with this error may have taken effect.
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

// The displayed text contains the cause, so `source` does not return it again.
impl std::error::Error for Error {}
