//! Runs one stand-in until a signal.

use clap::ArgMatches;
use eyre::Result;
use mulberryspur::{
    http,
    standin::{
        platform::PlatformStandin,
        upstream::{UpstreamConfig, UpstreamStandin},
    },
};
use std::{net::SocketAddr, path::PathBuf};
use tokio::{
    net::TcpListener,
    signal::unix::{SignalKind, signal},
};
use tokio_util::sync::CancellationToken;

/// Runs the stand-in that the command line names until a signal, then shuts it down.
pub(crate) fn run(matches: &ArgMatches) -> Result<()> {
    let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build()?;
    runtime.block_on(async {
        let Some((name, sub)) = matches.subcommand() else {
            return Ok(());
        };
        let stop = CancellationToken::new();
        let listener = bind_listener(sub).await?;
        println!("listening on {}", listener.local_addr()?);
        let server = match name {
            "platform" => tokio::spawn(PlatformStandin::new().serve(listener, stop.clone())),
            _ => tokio::spawn(
                UpstreamStandin::new(upstream_config(sub))?.serve(listener, stop.clone()),
            ),
        };
        let mut terminate = signal(SignalKind::terminate())?;
        let mut interrupt = signal(SignalKind::interrupt())?;
        tokio::select! {
            _ = terminate.recv() => {}
            _ = interrupt.recv() => {}
        }
        stop.cancel();
        Ok(server.await?)
    })
}

async fn bind_listener(matches: &ArgMatches) -> Result<TcpListener> {
    let addr = matches.get_one::<SocketAddr>("listen").copied();
    let addr = addr.unwrap_or_else(|| SocketAddr::from(([127, 0, 0, 1], 0)));
    Ok(http::bind("listen", addr).await?)
}

fn upstream_config(matches: &ArgMatches) -> UpstreamConfig {
    UpstreamConfig {
        name: matches.get_one::<String>("name").map_or("", |n| n).into(),
        concurrency: matches.get_one::<u16>("concurrency").copied().unwrap_or(1).into(),
        fenced: matches.get_flag("fenced"),
        journal: matches.get_one::<PathBuf>("journal").cloned(),
    }
}
