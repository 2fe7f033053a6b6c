//! What the process is to do, read once from command line and settings file.

use clap::ArgMatches;
use eyre::Result;
use mulberryspur::settings::{LogLevel, Settings};
use std::path::PathBuf;

/// What the process is to do.
#[derive(Debug)]
pub(crate) enum RunMode {
    /// Run the daemon with these settings.
    Serve(Box<Settings>),
    /// Run the development environment, with callers on this port.
    Dev { port: u16, log: LogLevel },
    /// Report that this settings file is correct; [`RunMode::new`] has checked it.
    Check(PathBuf),
}

impl RunMode {
    /// Reads the command line and the settings file.
    pub(crate) fn new(matches: &ArgMatches) -> Result<Self> {
        if let Some(("check", sub)) = matches.subcommand() {
            let file = sub.get_one::<PathBuf>("file").cloned().unwrap_or_default();
            Settings::read(&file)?;
            return Ok(Self::Check(file));
        }
        let log = matches.get_one::<String>("log").map(|l| LogLevel::from_name(l));
        if matches.get_flag("dev") {
            let port = matches.get_one::<u16>("port").copied().unwrap_or(0);
            return Ok(Self::Dev { port, log: log.unwrap_or(LogLevel::Warn) });
        }
        let file = matches.get_one::<PathBuf>("settings").cloned().unwrap_or_default();
        let mut settings = Settings::read(&file)?;
        settings.log = log.unwrap_or(settings.log);
        Ok(Self::Serve(Box::new(settings)))
    }
}
