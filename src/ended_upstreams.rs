//! Finds out whether an upstream has ended where a connection to it broke off under a request, in
//! `mulberryspur-platform`.

use crate::{fingerprint::Fingerprint, routing_config::UpstreamInfo};
use std::{sync::Arc, time::Duration};
use tokio::net::TcpStream;

/// Time for which the upstream is left before it is asked, so that a process that ends has closed
/// its listener too.
const CHECK_DELAY: Duration = Duration::from_millis(20);
/// Time within which an upstream that lives accepts a connection.
const CHECK_TIMEOUT: Duration = Duration::from_millis(250);

/// Checks whether an upstream has ended under a request, unless it was about to stop anyway.
pub(crate) fn check(upstream: &Arc<UpstreamInfo>, request: &Arc<str>, fingerprint: Fingerprint) {
    if upstream.leaving {
        return;
    }
    let (upstream, request) = (upstream.clone(), request.clone());
    tokio::task::spawn_local(async move {
        tokio::time::sleep(CHECK_DELAY).await;
        let connecting = TcpStream::connect(upstream.address);
        if matches!(tokio::time::timeout(CHECK_TIMEOUT, connecting).await, Ok(Ok(_))) {
            // Only the connection was lost.
            return;
        }
        let service = upstream.service.to_string();
        metrics::counter!("mulberryspur_upstream_ends_total", "service" => service).increment(1);
        log::warn!(
            request = &*request, upstream = &*upstream.id, service = &*upstream.service,
            fingerprint = fingerprint.to_string();
            "upstream ended under a request"
        );
    });
}
