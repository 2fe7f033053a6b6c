//! The Prometheus metrics of `mulberryspur-platform`, served on an address of their own.

use crate::{
    daemon,
    error::Result,
    http::{self, ListenerLimits},
    node::Node,
};
use hyper::StatusCode;
use std::{future::ready, rc::Rc, time::Duration};

/// Time for which a metrics connection may stay idle: two scrape intervals of 15 s.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// Binds the address, if the settings name one, and starts serving metrics.
pub(crate) async fn start(node: &Rc<Node>) -> Result<()> {
    let Some(address) = node.cfg.metrics_address else {
        return Ok(());
    };
    let handle = daemon::metrics_handle()?;
    let listener = http::bind("listen for metrics", address).await?;
    tokio::spawn(daemon::run_metrics_upkeep(handle.clone()));
    let limits = ListenerLimits { header_read_timeout: IDLE_TIMEOUT, ..ListenerLimits::default() };
    let handler = move |_| ready(http::response(StatusCode::OK, handle.render()));
    tokio::spawn(http::serve(listener, limits, node.stop.clone(), handler));
    Ok(())
}
