//! Set-up of logging in both products: JSON lines on standard output, written by a separate thread.

use crate::{
    error::{Error, Result},
    settings::LogLevel,
};
use logforth::{
    append::{Stdout, asynchronous::AsyncBuilder},
    filter::rustlog::RustLogFilterBuilder,
    layout::JsonLayout,
};

impl LogLevel {
    fn level_filter(self) -> log::LevelFilter {
        match self {
            Self::Error => log::LevelFilter::Error,
            Self::Warn => log::LevelFilter::Warn,
            Self::Info => log::LevelFilter::Info,
            Self::Debug => log::LevelFilter::Debug,
            Self::Trace => log::LevelFilter::Trace,
        }
    }
}

/// Starts logging at `level`, with a buffer for `max_buffered_lines`, whose 40 bytes per line are
/// taken at once; if it is full, lines are dropped so as not to delay requests.
///
/// # Errors
///
/// Fails if the process has a logger already.
pub fn start(level: LogLevel, max_buffered_lines: usize) -> Result<()> {
    let max = level.level_filter();
    // tarpc logs each call at info, the level of this program's own changes of state.
    let filter = RustLogFilterBuilder::from_spec(format!("{max},tarpc=warn").as_str()).build();
    let stdout = Stdout::default().with_layout(JsonLayout::default());
    let append = AsyncBuilder::new("log")
        .buffered_lines_limit(Some(max_buffered_lines))
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
