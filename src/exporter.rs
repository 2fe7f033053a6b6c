//! Counters and latency histograms on an address of their own.

use crate::{daemon, error::Result, http, node::Node};
use hyper::{Request, Response, StatusCode, body::Incoming, service::service_fn};
use hyper_util::rt::{TokioIo, TokioTimer};
use std::{convert::Infallible, rc::Rc, time::Duration};

/// Time between rounds in which the recorder sums up histograms.
const UPKEEP: Duration = Duration::from_secs(5);

/// Binds the address, if the settings have one, and starts serving.
pub(crate) async fn start(node: &Rc<Node>) -> Result<()> {
    let Some(address) = node.cfg.metrics else {
        return Ok(());
    };
    let handle = daemon::metrics_handle()?;
    let listener = http::bind("listen for metrics", address).await?;
    let upkeep = handle.clone();
    tokio::task::spawn_local(async move {
        loop {
            tokio::time::sleep(UPKEEP).await;
            upkeep.run_upkeep();
        }
    });
    tokio::task::spawn_local(async move {
        loop {
            let Ok((stream, _)) = listener.accept().await else {
                tokio::time::sleep(UPKEEP).await;
                continue;
            };
            let handle = handle.clone();
            let service = service_fn(move |_: Request<Incoming>| {
                let res: Response<http::Body> = http::answer(StatusCode::OK, handle.render());
                async move { Ok::<_, Infallible>(res) }
            });
            let conn = hyper::server::conn::http1::Builder::new()
                .timer(TokioTimer::new())
                .serve_connection(TokioIo::new(stream), service);
            tokio::task::spawn_local(async move {
                if let Err(e) = conn.await {
                    log::debug!("connection for metrics: {e}");
                }
            });
        }
    });
    Ok(())
}
