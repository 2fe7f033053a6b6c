//! Set-up of the process's log: JSON lines on standard output, written by a thread of its own.

use crate::{
    error::{Error, Result},
    settings::LogLevel,
};
use logforth::{
    append::{Stdout, asynchronous::AsyncBuilder},
    filter::rustlog::RustLogFilterBuilder,
    layout::JsonLayout,
};

const BUFFERED_LINES: usize = 65_536;

impl LogLevel {
    fn max(self) -> log::LevelFilter {
        match self {
            Self::Error => log::LevelFilter::Error,
            Self::Warn => log::LevelFilter::Warn,
            Self::Info => log::LevelFilter::Info,
            Self::Debug => log::LevelFilter::Debug,
            Self::Trace => log::LevelFilter::Trace,
        }
    }
}

/// Starts logging at `level`; lines are dropped rather than delaying requests.
///
/// # Errors
///
/// Fails if the process has a logger already.
pub fn start(level: LogLevel) -> Result<()> {
    let max = level.max();
    // The RPC library tells of each call at the level of this program's own changes.
    let filter = RustLogFilterBuilder::from_spec(format!("{max},tarpc=warn").as_str()).build();
    let stdout = Stdout::default().with_layout(JsonLayout::default());
    let append = AsyncBuilder::new("log")
        .buffered_lines_limit(Some(BUFFERED_LINES))
        .overflow_drop_incoming()
        .append(stdout)
        .build();
    logforth::starter_log::builder()
        .dispatch(|d| d.filter(filter).append(append))
        .try_apply()
        .map_err(|e| Error::invalid("start log", e.to_string()))?;
    log::set_max_level(max);
    Ok(())
}
