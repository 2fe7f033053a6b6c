//! Server of the protocol between instances (mulberryd).

use crate::{
    cell_io::CellEvent,
    grant::{Grant, GrantReply},
    instance::Instance,
    peer::{ConfigWire, Heartbeat, KeptAuditLines, Peer, PromiseRequestWire, VersionedCellRow},
    slot::Term,
    transport,
};
use futures::StreamExt;
use std::{sync::Arc, time::Duration};
use tarpc::{
    context::Context,
    server::{BaseChannel, Channel},
};
use tokio::{
    net::TcpListener,
    sync::{Semaphore, oneshot},
};

/// Connections from other instances that are served at once.
const MAX_CONNECTIONS: usize = 1_024;
/// Delay after a connection could not be accepted.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(10);

#[derive(Clone)]
struct PeerServer {
    instance: Arc<Instance>,
}

impl Peer for PeerServer {
    async fn heartbeat(self, _: Context, beat: Heartbeat) -> Heartbeat {
        self.instance.on_heartbeat(beat);
        self.instance.heartbeat()
    }

    async fn ask(self, _: Context, cell: Arc<str>, request: PromiseRequestWire) -> bool {
        let Some(sender) = self.instance.cell_sender(&cell) else {
            return false;
        };
        let (tx, rx) = oneshot::channel();
        let sent = sender.send(CellEvent::PromiseRequest { request: request.into(), tx });
        sent.is_ok() && rx.await.unwrap_or(false)
    }

    async fn hand_over(self, _: Context, cell: Arc<str>, term: Term) {
        if let Some(sender) = self.instance.cell_sender(&cell) {
            let _ = sender.send(CellEvent::HandOver { term });
        }
    }

    async fn cell_map(self, _: Context, cell: Arc<str>) -> Option<VersionedCellRow> {
        self.instance.cell_rows.get(&cell)
    }

    async fn push_map(self, _: Context, row: VersionedCellRow) {
        self.instance.cell_rows.insert_if_newer(row);
    }

    async fn config(self, _: Context, since: u64) -> Option<ConfigWire> {
        self.instance.registry.wire_if_newer(since)
    }

    async fn grant(self, _: Context, grant: Grant) -> GrantReply {
        self.instance.on_entry_grant(&grant)
    }

    async fn keep(self, _: Context, lines: KeptAuditLines) {
        self.instance.keep_audit_lines(lines);
    }

    async fn kept_until(self, _: Context, chain: Arc<str>, line: u64) {
        self.instance.drop_stored_lines(&chain, line);
    }
}

/// Serves peers until the instance stops.
pub(crate) async fn serve(instance: Arc<Instance>, listener: TcpListener) {
    let stop = instance.stop.clone();
    let permits = Arc::new(Semaphore::new(MAX_CONNECTIONS));
    loop {
        let Ok(permit) = permits.clone().acquire_owned().await else { return };
        let accepted = tokio::select! {
            () = stop.cancelled() => return,
            accepted = listener.accept() => accepted,
        };
        let Ok((stream, _)) = accepted else {
            tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        let instance = instance.clone();
        tokio::spawn(async move {
            let _permit = permit;
            let secret = instance.cfg.secret.clone();
            match transport::accept(stream, move |given| secret.matches(given)).await {
                Ok(transport) => {
                    let channel = BaseChannel::with_defaults(transport);
                    let requests = channel.execute(PeerServer { instance }.serve());
                    let spawn = |response| async move {
                        tokio::spawn(response);
                    };
                    requests.for_each(spawn).await;
                }
                Err(e) => log::debug!("{e}"),
            }
        });
    }
}
