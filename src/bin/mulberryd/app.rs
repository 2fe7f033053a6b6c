//! Runs the daemon, the development environment or the check of settings.

use crate::config::RunMode;
use eyre::Result;
use mulberryspur::{daemon::Daemon, dev::DevEnvironment, logging};
use tokio::signal::unix::{SignalKind, signal};

/// Log lines that wait to be written: a few seconds of requests at full load.
const MAX_BUFFERED_LOG_LINES: usize = 65_536;

/// Runs in the given mode; the daemon and the development environment run until a signal.
pub(crate) fn run(mode: &RunMode) -> Result<()> {
    if let RunMode::Check(file) = mode {
        println!("{}: settings are correct", file.display());
        return Ok(());
    }
    let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build()?;
    let result = runtime.block_on(async {
        match mode {
            RunMode::Serve(settings) => {
                logging::start(settings.log, MAX_BUFFERED_LOG_LINES)?;
                let daemon = Daemon::start((**settings).clone()).await?;
                wait_for_stop_signal().await?;
                daemon.stop().await;
            }
            RunMode::Dev { port, log } => {
                logging::start(*log, MAX_BUFFERED_LOG_LINES)?;
                let dev = DevEnvironment::start(*port).await?;
                println!("{}", dev.example_commands());
                wait_for_stop_signal().await?;
                dev.stop().await;
            }
            RunMode::Check(_) => {}
        }
        Ok(())
    });
    log::logger().flush();
    result
}

/// Waits for an interrupt or a termination signal.
async fn wait_for_stop_signal() -> Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    Ok(())
}
