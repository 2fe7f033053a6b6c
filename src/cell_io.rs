//! Messages between a cell's driver and holders, standbys and the platform (mulberryd).

use crate::{
    cell::{CellRow, InstanceId, Owner},
    controller::{PromiseRequest, WriteResult},
    error::{Cause, Error, Result},
    grant::{Grant, GrantReply, GrantStatus},
    http,
    instance::Instance,
    pool,
    resource::{Fencing, Upstream},
    slot::Term,
    wire,
};
use hyper::Request;
use std::{net::SocketAddr, sync::Arc, time::Duration};
use tokio::sync::{mpsc, oneshot};

const CELL_PREFIX: &str = "cell/";
const ENTRY_PREFIX: &str = "entry:";

/// Returns the key of a cell's row.
pub(crate) fn row_key(cell: &str) -> String {
    format!("{CELL_PREFIX}{cell}")
}

/// State machine that a result belongs to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Role {
    Controller(Term),
    Standby,
}

/// Input of a cell's driver.
#[derive(Debug)]
pub(crate) enum CellEvent {
    /// A holder replied to a grant.
    GrantReply { term: Term, owner: Owner, reply: GrantReply },
    /// An upstream replied to a probe.
    ProbeReply { upstream: Arc<str>, reply: GrantReply },
    /// A standby promised not to take over, in reply to `request`.
    Promise { from: InstanceId, request: PromiseRequest },
    /// A conditional write of the row ended.
    RowWritten { role: Role, result: WriteResult },
    /// A read of the row ended; it returns the version and the row, `None` if there is no row.
    RowRead { role: Role, read: Result<Option<(u64, CellRow)>> },
    /// A controller requests a promise.
    PromiseRequest { request: PromiseRequest, tx: oneshot::Sender<bool> },
    /// The controller hands the cell over.
    HandOver { term: Term },
    /// The instance begins to stop: hand the cell over if this instance controls it, then reply.
    ///
    /// The reply tells whether a standby was told to take over.
    Stop { tx: oneshot::Sender<bool> },
}

/// Sends the messages of one cell's driver and returns replies to it as [`CellEvent`]s.
#[derive(Debug)]
pub(crate) struct CellIo {
    pub instance: Arc<Instance>,
    pub cell: Arc<str>,
    pub service: Arc<str>,
    pub tx: mpsc::UnboundedSender<CellEvent>,
}

impl CellIo {
    /// Sends a grant to an upstream or an entry instance.
    pub fn send_grant(&self, term: Term, to: Owner, grant: Grant) {
        let (instance, tx) = (self.instance.clone(), self.tx.clone());
        let entry_instance = entry_instance_id(&to);
        let snapshot = instance.registry.current();
        let addr = match entry_instance {
            Some(id) => instance.peer_address(id),
            None => snapshot
                .service(&self.service)
                .and_then(|s| s.upstream(&to.upstream))
                .map(|u| u.address),
        };
        if entry_instance == Some(instance.id) {
            let reply = instance.on_entry_grant(&grant);
            let _ = tx.send(CellEvent::GrantReply { term, owner: to, reply });
            return;
        }
        let Some(addr) = addr else { return };
        tokio::spawn(async move {
            let reply = match entry_instance {
                Some(_) => instance.send_entry_grant(addr, grant).await,
                None => post_grant(&instance, addr, &grant).await,
            };
            match reply {
                Ok(reply) => {
                    let _ = tx.send(CellEvent::GrantReply { term, owner: to, reply });
                }
                Err(e) => log::debug!(holder = to.to_string(); "{e}"),
            }
        });
    }

    /// Requests a promise from a standby.
    pub fn request_promise(&self, to: InstanceId, request: PromiseRequest) {
        let Some(addr) = self.instance.peer_address(to) else {
            return;
        };
        let (instance, tx, cell) = (self.instance.clone(), self.tx.clone(), self.cell.clone());
        let limit = Duration::from_millis(instance.cfg.timing.promise_ms);
        tokio::spawn(async move {
            let promised = instance
                .peer_connections
                .call("request promise", addr, limit, |client, cx| async move {
                    client.ask(cx, cell, request.into()).await
                })
                .await;
            if matches!(promised, Ok(true)) {
                let _ = tx.send(CellEvent::Promise { from: to, request });
            }
        });
    }

    /// Tells a standby to take over at once.
    pub fn send_hand_over(&self, to: InstanceId, term: Term) {
        let Some(addr) = self.instance.peer_address(to) else {
            return;
        };
        let (instance, cell) = (self.instance.clone(), self.cell.clone());
        let limit = Duration::from_millis(instance.cfg.timing.promise_ms);
        tokio::spawn(async move {
            let sent = instance
                .peer_connections
                .call("hand over cell", addr, limit, |client, cx| async move {
                    client.hand_over(cx, cell, term).await
                })
                .await;
            if let Err(e) = sent {
                log::warn!("{e}");
            }
        });
    }

    /// Reads the cell's row.
    pub fn read_row(&self, role: Role) {
        let (instance, tx, cell) = (self.instance.clone(), self.tx.clone(), self.cell.clone());
        tokio::spawn(async move {
            let read = instance.platform.typed_row::<CellRow>(&row_key(&cell)).await;
            instance.set_platform_up(read.is_ok());
            let _ = tx.send(CellEvent::RowRead { role, read });
        });
    }

    /// Writes the cell's row if its version is `expected`.
    pub fn write_row(&self, role: Role, expected: u64, row: CellRow) {
        let (instance, tx, cell) = (self.instance.clone(), self.tx.clone(), self.cell.clone());
        tokio::spawn(async move {
            let written = instance.platform.put_row(&row_key(&cell), expected, &row).await;
            let result = match &written {
                Ok(version) => WriteResult::Committed(*version),
                Err(e) if matches!(e.cause(), Cause::Conflict { .. }) => WriteResult::Conflict,
                Err(e) => {
                    log::warn!(cell = &*cell; "{e}");
                    WriteResult::Unknown
                }
            };
            instance.set_platform_up(result != WriteResult::Unknown);
            let _ = tx.send(CellEvent::RowWritten { role, result });
        });
    }

    /// Probes an upstream that gets no grants, to learn whether it is up.
    pub fn probe_upstream(&self, term: Term, upstream: &Upstream) {
        let (instance, tx) = (self.instance.clone(), self.tx.clone());
        let (name, addr, fencing) = (upstream.name.clone(), upstream.address, upstream.fencing);
        let cell = self.cell.clone();
        tokio::spawn(async move {
            let reply = match fencing {
                Fencing::Checked => {
                    let probe = Grant { cell, boot: 0, term, version: 0, until: 0, slots: None };
                    post_grant(&instance, addr, &probe).await
                }
                Fencing::Unchecked => probe_unchecked(&instance, addr).await,
            };
            if let Ok(reply) = reply {
                let _ = tx.send(CellEvent::ProbeReply { upstream: name, reply });
            }
        });
    }
}

/// Returns the holder that stands for an entry instance.
pub(crate) fn entry_holder(id: InstanceId) -> Owner {
    Owner { upstream: format!("{ENTRY_PREFIX}{id:x}").into(), boot: id }
}

/// Returns the entry instance that a holder stands for.
fn entry_instance_id(owner: &Owner) -> Option<InstanceId> {
    owner.upstream.starts_with(ENTRY_PREFIX).then_some(owner.boot)
}

/// Sends a grant to an upstream.
async fn post_grant(instance: &Instance, addr: SocketAddr, grant: &Grant) -> Result<GrantReply> {
    let step = "send grant";
    let body = serde_json::to_vec(grant).map_err(|e| Error::invalid(step, e.to_string()))?;
    let req = Request::post(wire::GRANT_PATH)
        .header("host", "u")
        .body(http::full_body(body))
        .map_err(|e| Error::invalid(step, e.to_string()))?;
    let limit = Duration::from_millis(instance.cfg.timing.promise_ms);
    let (status, _, bytes) = pool::call(&instance.control_pool, step, addr, req, limit).await?;
    let decoded = serde_json::from_slice(&bytes).ok().filter(|_| status.is_success());
    decoded.ok_or_else(|| {
        let text = String::from_utf8_lossy(&bytes[..bytes.len().min(200)]).into_owned();
        let cause = Cause::Status { status: status.as_u16(), text };
        Error::new(step, addr.to_string(), cause)
    })
}

/// Probes an upstream that does not check grants; any response shows that it is up.
async fn probe_unchecked(instance: &Instance, addr: SocketAddr) -> Result<GrantReply> {
    let step = "probe upstream";
    let req = Request::get("/health")
        .header("host", "u")
        .body(http::full_body(""))
        .map_err(|e| Error::invalid(step, e.to_string()))?;
    let limit = Duration::from_millis(instance.cfg.timing.promise_ms);
    pool::call(&instance.control_pool, step, addr, req, limit).await?;
    Ok(GrantReply {
        boot: 0,
        clock: 0,
        term: 0,
        version: 0,
        status: GrantStatus::Accepted,
        draining: Vec::new(),
        leaving: false,
    })
}
