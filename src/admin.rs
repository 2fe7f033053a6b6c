//! HTTP interface for operators, metrics scrapers and health probes on the admin address
//! (mulberryd).

use crate::{
    clock::boot_millis,
    error::Cause,
    http::{self, Body},
    instance::Instance,
    peer::VersionedResource,
    platform_client::{ExpectedVersion, Put, Transaction},
    registry::{Change, ConfigChangeError, StoredConfig},
    tasks::{CONFIG_REVISION_ROW_KEY, CONFIG_ROW_KEY},
};
use hyper::{Method, Request, Response, StatusCode, body::Incoming, header::AUTHORIZATION};
use metrics_exporter_prometheus::PrometheusHandle;
use serde::{Deserialize, Serialize};
use std::{sync::Arc, time::Duration};

const MAX_CHANGE_BYTES: usize = 8 << 20;
/// Time after which a watch gets its response, also without a new revision.
const WATCH_TIMEOUT: Duration = Duration::from_secs(30);
/// Attempts to commit a change before it fails with 503.
const MAX_COMMIT_ATTEMPTS: u32 = 5;

/// Response to a list or watch of resources.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ResourceList {
    /// Revision in force on the instance that responded.
    pub revision: u64,
    /// The resources.
    pub resources: Vec<VersionedResource>,
}

/// Response to a change that was made.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub struct ChangeReply {
    /// Revision that contains the change.
    pub revision: u64,
}

/// Response to a request that failed.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ErrorReply {
    /// What went wrong.
    pub error: String,
    /// `Kind/name` of the resource whose version differs from the expected one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub conflict: Option<String>,
    /// Current version of that resource, 0 if it does not exist.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub current: Option<u64>,
}

/// State of an instance, and what it knows of other instances, cells and upstreams.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Status {
    /// Name of the instance that responded.
    pub instance: String,
    /// Its data centre.
    pub data_center: String,
    /// Configuration revision that it has in force.
    pub revision: u64,
    /// Whether it reaches the platform.
    pub platform_up: bool,
    /// Numbers of reads and writes that it has sent to the platform.
    pub platform_calls: (u64, u64),
    /// Lines of the audit log that wait to be stored.
    pub record_waiting: usize,
    /// Other instances that it knows.
    pub members: Vec<MemberStatus>,
    /// Cells whose rows it knows, sorted by name.
    pub cells: Vec<CellStatus>,
    /// Upstreams with their load from this instance.
    pub upstreams: Vec<UpstreamStatus>,
}

/// Another instance as the responding one sees it.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct MemberStatus {
    /// Name of the other instance.
    pub name: String,
    /// Its identity, new at each start.
    pub id: u64,
    /// Its data centre.
    pub data_center: String,
    /// Configuration revision that it has in force.
    pub revision: u64,
    /// Number of cells that it controls.
    pub controls: usize,
    /// Whether it is shutting down.
    pub leaving: bool,
    /// Time in milliseconds since its last heartbeat.
    pub heard_ms_ago: u64,
}

/// Summary of a cell's row.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct CellStatus {
    /// Name of the cell.
    pub cell: String,
    /// Version of the row.
    pub version: u64,
    /// Term of the controller: its fencing token, which grows with each takeover.
    pub term: u64,
    /// Name of the controller, its identity in hex if the name is unknown.
    pub controller: String,
    /// Names of the standbys, as for `controller`.
    pub standbys: Vec<String>,
    /// Owners, each with its number of slots.
    pub owners: Vec<(String, usize)>,
}

/// An upstream's load from one instance.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct UpstreamStatus {
    /// Name of the upstream.
    pub name: String,
    /// Requests in flight from this instance.
    pub in_flight: usize,
    /// Requests that wait for admission on this instance.
    pub waiting: usize,
    /// Whether it is ejected: not chosen for requests without a key for a while, after failures.
    pub ejected: bool,
}

/// Serves one request to the admin address; only the probes need no secret.
pub(crate) async fn handle(
    instance: Arc<Instance>,
    metrics: PrometheusHandle,
    req: Request<Incoming>,
) -> Response<Body> {
    let path = req.uri().path().to_owned();
    match (req.method(), path.as_str()) {
        (&Method::GET, "/livez") => return http::response(StatusCode::OK, "live\n"),
        (&Method::GET, "/readyz") => return readiness(&instance),
        _ => {}
    }
    let authorization = req.headers().get(AUTHORIZATION).map(hyper::header::HeaderValue::as_bytes);
    let secret = authorization.and_then(|v| v.strip_prefix(b"Bearer "));
    if !secret.is_some_and(|s| instance.cfg.secret.matches(s)) {
        return error(StatusCode::UNAUTHORIZED, "the shared secret is missing or wrong");
    }
    match (req.method().clone(), path.as_str()) {
        (Method::GET, "/metrics") => http::response(StatusCode::OK, metrics.render()),
        (Method::GET, "/v1/resources") => list_resources(&instance),
        (Method::GET, "/v1/watch") => watch_resources(&instance, req.uri().query()).await,
        (Method::GET, "/v1/status") => http::json_response(StatusCode::OK, &status(&instance)),
        (Method::GET, "/v1/burn") => http::json_response(StatusCode::OK, &instance.burn()),
        (Method::POST, "/v1/change") => handle_change(&instance, req).await,
        (Method::GET, "/v1/objects") => audit_objects(&instance, req.uri().query()).await,
        _ => error(StatusCode::NOT_FOUND, "no such path"),
    }
}

fn error(status: StatusCode, text: impl Into<String>) -> Response<Body> {
    http::json_response(status, &ErrorReply { error: text.into(), conflict: None, current: None })
}

fn readiness(instance: &Instance) -> Response<Body> {
    if instance.is_ready() {
        http::response(StatusCode::OK, "ready\n")
    } else {
        http::response(StatusCode::SERVICE_UNAVAILABLE, "not ready\n")
    }
}

fn list_resources(instance: &Instance) -> Response<Body> {
    let current = instance.registry.current();
    let list = ResourceList { revision: current.revision, resources: current.resources.clone() };
    http::json_response(StatusCode::OK, &list)
}

/// Responds once the revision in force is later than `since`, or after [`WATCH_TIMEOUT`].
async fn watch_resources(instance: &Instance, query: Option<&str>) -> Response<Body> {
    let since = query.and_then(|q| q.strip_prefix("since=")?.parse::<u64>().ok());
    let Some(since) = since else {
        return error(StatusCode::BAD_REQUEST, "query: accepts since=REVISION");
    };
    let mut changed = instance.registry.subscribe();
    let newer = async {
        while *changed.borrow_and_update() <= since {
            if changed.changed().await.is_err() {
                return;
            }
        }
    };
    let _ = tokio::time::timeout(WATCH_TIMEOUT, newer).await;
    list_resources(instance)
}

/// Lists the names of the audit log's stored objects, or returns the content of one with `name=`.
async fn audit_objects(instance: &Instance, query: Option<&str>) -> Response<Body> {
    let query = query.unwrap_or_default();
    let res = if let Some(name) = query.strip_prefix("name=") {
        let suffix = name.strip_prefix(crate::audit_log::OBJECT_PREFIX);
        if !suffix.is_some_and(|n| n.split('/').all(crate::resource::has_only_name_characters)) {
            return error(StatusCode::BAD_REQUEST, "name: accepts the name of a listed object");
        }
        instance.platform.object(name).await.map(|o| match o {
            Some(bytes) => http::response(StatusCode::OK, bytes),
            None => error(StatusCode::NOT_FOUND, "no such object"),
        })
    } else {
        let names = instance.platform.list_objects(crate::audit_log::OBJECT_PREFIX).await;
        names.map(|n| http::json_response(StatusCode::OK, &n))
    };
    res.unwrap_or_else(|e| error(StatusCode::SERVICE_UNAVAILABLE, e.to_string()))
}

async fn handle_change(instance: &Arc<Instance>, req: Request<Incoming>) -> Response<Body> {
    let bytes = match http::read_body("read change", "", req.into_body(), MAX_CHANGE_BYTES).await {
        Ok(bytes) => bytes,
        Err(e) => return error(StatusCode::BAD_REQUEST, e.to_string()),
    };
    let text = String::from_utf8_lossy(&bytes);
    let change = match crate::jsonc::parse::<Change>("change", &text) {
        Ok(change) => change,
        Err(e) => return error(StatusCode::BAD_REQUEST, e.to_string()),
    };
    if change.apply.is_empty() && change.delete.is_empty() {
        return error(StatusCode::BAD_REQUEST, "change: accepts at least one resource");
    }
    match commit_change(instance, &change).await {
        Ok(revision) => http::json_response(StatusCode::OK, &ChangeReply { revision }),
        Err(res) => *res,
    }
}

/// Commits a change to the table: reads, checks and writes on condition of the version read.
///
/// If the response to a commit is lost, the next attempt reads the row again: the change was made
/// if the row has this `write_id`. After another write it has a different one; the change is then
/// applied once more, or reported as a conflict.
async fn commit_change(
    instance: &Arc<Instance>,
    change: &Change,
) -> Result<u64, Box<Response<Body>>> {
    // For a failed read of the revision row: this attempt has written nothing, but an earlier one
    // may have made the change.
    let unavailable = |e: crate::Error| {
        Box::new(error(StatusCode::SERVICE_UNAVAILABLE, format!("nothing known changed: {e}")))
    };
    // Below 2^53, so that every JSON reader keeps it exact.
    let write_id = rand::random::<u64>() >> 12;
    let mut failure = None;
    let mut last_commit_may_have_taken_effect = false;
    for _ in 0..MAX_COMMIT_ATTEMPTS {
        let row = instance.platform.typed_row::<StoredConfig>(CONFIG_ROW_KEY).await;
        let (version, stored) = match row {
            Ok(row) => row.unwrap_or_default(),
            Err(e) => {
                failure = Some(e);
                continue;
            }
        };
        if stored.write_id == write_id {
            return Ok(install_committed(instance, stored));
        }
        let next =
            stored.with_change(change, write_id).map_err(|e| Box::new(rejection_response(e)))?;
        let revision_row = instance
            .platform
            .typed_row::<u64>(CONFIG_REVISION_ROW_KEY)
            .await
            .map_err(unavailable)?;
        let transaction = config_transaction(version, revision_row.map_or(0, |(v, _)| v), &next);
        match instance.platform.commit(&transaction).await {
            Ok(_) => return Ok(install_committed(instance, next)),
            Err(e) => {
                last_commit_may_have_taken_effect = e.may_have_taken_effect();
                if !matches!(e.cause(), Cause::Conflict { .. }) {
                    log::warn!("commit configuration change: {e}");
                }
                failure = Some(e);
            }
        }
    }
    let text = failure.map_or_else(String::new, |e| e.to_string());
    let outcome =
        if last_commit_may_have_taken_effect { "may have been made" } else { "was not made" };
    Err(Box::new(error(StatusCode::SERVICE_UNAVAILABLE, format!("the change {outcome}: {text}"))))
}

fn config_transaction(version: u64, revision_row_version: u64, next: &StoredConfig) -> Transaction {
    let value = serde_json::to_value(next).unwrap_or_default();
    Transaction {
        expect: vec![
            ExpectedVersion { key: CONFIG_ROW_KEY.into(), version },
            ExpectedVersion { key: CONFIG_REVISION_ROW_KEY.into(), version: revision_row_version },
        ],
        put: vec![
            Put { key: CONFIG_ROW_KEY.into(), value },
            Put { key: CONFIG_REVISION_ROW_KEY.into(), value: next.revision.into() },
        ],
        delete: Vec::new(),
    }
}

fn install_committed(instance: &Arc<Instance>, config: StoredConfig) -> u64 {
    instance.install_config(config.revision, config.resources);
    config.revision
}

fn rejection_response(e: ConfigChangeError) -> Response<Body> {
    match e {
        ConfigChangeError::Invalid(e) => error(StatusCode::UNPROCESSABLE_ENTITY, e.to_string()),
        ConfigChangeError::Conflict { id, current } => {
            let error = format!("{id} has version {current}");
            let reply = ErrorReply { error, conflict: Some(id), current: Some(current) };
            http::json_response(StatusCode::CONFLICT, &reply)
        }
    }
}

fn status(instance: &Instance) -> Status {
    let now = boot_millis();
    let members = instance.with_membership(|m| {
        let all = m.all().into_iter();
        all.map(|m| MemberStatus {
            name: m.info.name.to_string(),
            id: m.info.id,
            data_center: m.info.data_center.to_string(),
            revision: m.revision,
            controls: m.controlled_cell_count,
            leaving: m.info.leaving,
            heard_ms_ago: now.saturating_sub(m.last_heard),
        })
        .collect()
    });
    let snapshot = instance.registry.current();
    let upstreams = snapshot.services().flat_map(|s| &s.upstreams);
    Status {
        instance: instance.cfg.instance.to_string(),
        data_center: instance.cfg.data_center.to_string(),
        revision: snapshot.revision,
        platform_up: instance.platform_up(),
        platform_calls: instance.platform.call_counts(),
        record_waiting: instance.audit_log.pending_lines(),
        members,
        cells: cell_statuses(instance),
        upstreams: upstreams.filter_map(|u| upstream_status(instance, &u.name, now)).collect(),
    }
}

fn upstream_status(instance: &Instance, name: &str, now: u64) -> Option<UpstreamStatus> {
    let state = instance.upstreams.get(name)?;
    let (in_flight, waiting) = state.in_flight_and_queued();
    let load = state.load.lock().unwrap_or_else(std::sync::PoisonError::into_inner);
    let ejected = load.is_ejected(now);
    Some(UpstreamStatus { name: name.to_owned(), in_flight, waiting, ejected })
}

fn cell_statuses(instance: &Instance) -> Vec<CellStatus> {
    let name = |id: u64| {
        if id == instance.id {
            return instance.cfg.instance.to_string();
        }
        let known = instance.with_membership(|m| m.get(id).map(|m| m.info.name.to_string()));
        known.unwrap_or_else(|| format!("{id:x}"))
    };
    let mut cells: Vec<CellStatus> = instance
        .cell_rows
        .all()
        .into_iter()
        .map(|cell_row| {
            let slot_count = |o: &crate::cell::Owner| {
                cell_row.row.slots.values().filter(|a| a.owner == *o).count()
            };
            CellStatus {
                cell: cell_row.cell.to_string(),
                version: cell_row.version,
                term: cell_row.row.term,
                controller: name(cell_row.row.controller),
                standbys: cell_row.row.standbys.iter().map(|id| name(*id)).collect(),
                owners: cell_row
                    .row
                    .owners()
                    .iter()
                    .map(|o| (o.to_string(), slot_count(o)))
                    .collect(),
            }
        })
        .collect();
    cells.sort_by(|a, b| a.cell.cmp(&b.cell));
    cells
}
