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

const MAX_BUFFERED_LINES: usize = 65_536;

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

/// Starts logging at `level`; if the buffer is full, lines are dropped so as not to delay requests.
///
/// # Errors
///
/// Fails if the process has a logger already.
pub fn start(level: LogLevel) -> Result<()> {
    let max = level.level_filter();
    // tarpc logs each call at info, the level of this program's own changes of state.
    let filter = RustLogFilterBuilder::from_spec(format!("{max},tarpc=warn").as_str()).build();
    let stdout = Stdout::default().with_layout(JsonLayout::default());
    let append = AsyncBuilder::new("log")
        .buffered_lines_limit(Some(MAX_BUFFERED_LINES))
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
