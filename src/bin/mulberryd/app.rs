//! Runs what the configuration asks for.

use crate::config::RunMode;
use eyre::Result;
use mulberryspur::{daemon::Daemon, dev::DevEnvironment, logging};
use tokio::signal::unix::{SignalKind, signal};

/// Runs until done or told to stop.
pub(crate) fn run(cfg: &RunMode) -> Result<()> {
    if let RunMode::Check(file) = cfg {
        println!("{}: settings are correct", file.display());
        return Ok(());
    }
    let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build()?;
    let result = runtime.block_on(async {
        match cfg {
            RunMode::Serve(settings) => {
                logging::start(settings.log)?;
                let daemon = Daemon::start((**settings).clone()).await?;
                wait_for_stop().await?;
                daemon.stop().await;
            }
            RunMode::Dev { port, log } => {
                logging::start(*log)?;
                let dev = DevEnvironment::start(*port).await?;
                println!("{}", dev.example_commands());
                wait_for_stop().await?;
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
async fn wait_for_stop() -> Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    Ok(())
}
