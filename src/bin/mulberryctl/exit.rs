//! Exit codes, which scripts may rely on.

use std::{fmt, process::ExitCode};

/// A failure with its own exit code. Code 1 is any other failure, 2 a wrong command line.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Failure {
    /// A resource has another version than expected.
    Conflict = 3,
    /// A change or a resource file is not accepted.
    Rejected = 4,
    /// A resource, pin or object does not exist.
    NotFound = 5,
    /// A change was not in force on all instances within the time of `--wait`.
    TimedOut = 6,
    /// The audit log has faults.
    FaultsFound = 7,
    /// The files differ from the resources in force.
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

/// Returns the exit code for an error, 1 if no [`Failure`] is among its causes.
pub(crate) fn exit_code(e: &eyre::Report) -> ExitCode {
    e.chain()
        .find_map(|c| c.downcast_ref::<Failure>())
        .map_or(ExitCode::FAILURE, |f| ExitCode::from(*f as u8))
}
