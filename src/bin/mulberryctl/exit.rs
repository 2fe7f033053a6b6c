//! Exit codes, which programs may rely on.

use std::{fmt, process::ExitCode};

/// A failure with an exit code of its own. Code 1 is any other failure, 2 a wrong command line.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Failure {
    /// A resource has another version than expected.
    Conflict = 3,
    /// The change is not accepted.
    Rejected = 4,
    /// There is no such resource.
    NotFound = 5,
    /// Something was awaited in vain.
    TimedOut = 6,
    /// The record has faults.
    FaultsFound = 7,
    /// The files differ from what is in force.
    DifferencesFound = 8,
}

impl fmt::Display for Failure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Conflict => "conflict",
            Self::Rejected => "not accepted",
            Self::NotFound => "not found",
            Self::TimedOut => "timed out",
            Self::FaultsFound => "the record has faults",
            Self::DifferencesFound => "differences found",
        })
    }
}

impl std::error::Error for Failure {}

/// Returns the exit code of an error.
pub(crate) fn exit_code(e: &eyre::Report) -> ExitCode {
    e.chain()
        .find_map(|c| c.downcast_ref::<Failure>())
        .map_or(ExitCode::FAILURE, |f| ExitCode::from(*f as u8))
}
