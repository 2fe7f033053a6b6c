//! The interface for operators, metrics and probes.

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
const WATCH_LIMIT: Duration = Duration::from_secs(30);
const ATTEMPTS: u32 = 5;

/// Answer to a list or watch of resources.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ResourceList {
    /// Revision in force on the instance that answered.
    pub revision: u64,
    /// The resources.
    pub resources: Vec<VersionedResource>,
}

/// Answer to a change that was made.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub struct ChangeReply {
    /// Revision that contains the change.
    pub revision: u64,
}

/// Answer to a request that was not carried out.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ErrorReply {
    /// What went wrong.
    pub error: String,
    /// Resource that has another version than expected.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub conflict: Option<String>,
    /// Its current version, 0 if it does not exist.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub current: Option<u64>,
}

/// State of an instance and of what it knows of others.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Status {
    /// Name of the instance that answered.
    pub instance: String,
    /// Its data centre.
    pub data_center: String,
    /// Configuration revision that it has in force.
    pub revision: u64,
    /// Whether it reaches the platform.
    pub platform_up: bool,
    /// Reads and writes that it has sent to the platform.
    pub platform_calls: (u64, u64),
    /// Lines of the record that wait to be stored.
    pub record_waiting: usize,
    /// Instances that it knows.
    pub members: Vec<MemberStatus>,
    /// Cells whose rows it knows.
    pub cells: Vec<CellStatus>,
    /// Upstreams with their load from here.
    pub upstreams: Vec<UpstreamStatus>,
}

/// A member as one instance sees it.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct MemberStatus {
    /// Name of the member.
    pub name: String,
    /// Its identity.
    pub id: u64,
    /// Its data centre.
    pub data_center: String,
    /// Configuration revision that it has in force.
    pub revision: u64,
    /// Number of cells that it controls.
    pub controls: usize,
    /// Whether it is about to stop.
    pub leaving: bool,
    /// Time in milliseconds since it was heard of.
    pub heard_ms_ago: u64,
}

/// A cell's row in short.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct CellStatus {
    /// Name of the cell.
    pub cell: String,
    /// Version of the row.
    pub version: u64,
    /// Fencing number of the controller.
    pub term: u64,
    /// Name or identity of the controller.
    pub controller: String,
    /// Names or identities of the standbys.
    pub standbys: Vec<String>,
    /// Owners with their numbers of slots.
    pub owners: Vec<(String, usize)>,
}

/// An upstream's load from one instance.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct UpstreamStatus {
    /// Name of the upstream.
    pub name: String,
    /// Requests in flight from here.
    pub in_flight: usize,
    /// Requests that wait here.
    pub waiting: usize,
    /// Whether it is ejected as an outlier.
    pub ejected: bool,
}

/// Serves one request to the admin address.
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
    let given = req.headers().get(AUTHORIZATION).map(hyper::header::HeaderValue::as_bytes);
    let secret = given.and_then(|v| v.strip_prefix(b"Bearer "));
    if !secret.is_some_and(|s| instance.cfg.secret.matches(s)) {
        return error(StatusCode::UNAUTHORIZED, "the shared secret is missing or wrong");
    }
    match (req.method().clone(), path.as_str()) {
        (Method::GET, "/metrics") => http::response(StatusCode::OK, metrics.render()),
        (Method::GET, "/v1/resources") => list(&instance),
        (Method::GET, "/v1/watch") => watch(&instance, req.uri().query()).await,
        (Method::GET, "/v1/status") => http::json_response(StatusCode::OK, &status(&instance)),
        (Method::GET, "/v1/burn") => http::json_response(StatusCode::OK, &instance.burn()),
        (Method::POST, "/v1/change") => change(&instance, req).await,
        (Method::GET, "/v1/objects") => objects(&instance, req.uri().query()).await,
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

fn list(instance: &Instance) -> Response<Body> {
    let current = instance.registry.current();
    let list = ResourceList { revision: current.revision, resources: current.resources.clone() };
    http::json_response(StatusCode::OK, &list)
}

/// Answers once the revision in force is later than `since`, or after a time limit.
async fn watch(instance: &Instance, query: Option<&str>) -> Response<Body> {
    let since = query.and_then(|q| q.strip_prefix("since=")?.parse::<u64>().ok());
    let Some(since) = since else {
        return error(StatusCode::BAD_REQUEST, "query: accepts since=REVISION");
    };
    let mut changed = instance.registry.subscribe();
    let later = async {
        while *changed.borrow_and_update() <= since {
            if changed.changed().await.is_err() {
                return;
            }
        }
    };
    let _ = tokio::time::timeout(WATCH_LIMIT, later).await;
    list(instance)
}

/// Names, or with `name=` the content, of stored objects of the record.
async fn objects(instance: &Instance, query: Option<&str>) -> Response<Body> {
    let query = query.unwrap_or_default();
    let found = if let Some(name) = query.strip_prefix("name=") {
        let inside = name.strip_prefix(crate::audit_log::OBJECT_PREFIX);
        if !inside.is_some_and(|n| n.split('/').all(crate::resource::has_only_name_characters)) {
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
    found.unwrap_or_else(|e| error(StatusCode::SERVICE_UNAVAILABLE, e.to_string()))
}

async fn change(instance: &Arc<Instance>, req: Request<Incoming>) -> Response<Body> {
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
    match make(instance, &change).await {
        Ok(revision) => http::json_response(StatusCode::OK, &ChangeReply { revision }),
        Err(res) => *res,
    }
}

/// Makes a change in the table: read, check, write on condition, settle a lost answer by reading.
async fn make(instance: &Arc<Instance>, change: &Change) -> Result<u64, Box<Response<Body>>> {
    let unavailable = |e: crate::Error| {
        Box::new(error(StatusCode::SERVICE_UNAVAILABLE, format!("nothing known changed: {e}")))
    };
    let write_id = rand::random::<u64>() >> 12;
    let mut failure = None;
    let mut unsettled = false;
    for _ in 0..ATTEMPTS {
        let read = instance.platform.typed_row::<StoredConfig>(CONFIG_ROW_KEY).await;
        let (version, stored) = match read {
            Ok(read) => read.unwrap_or_default(),
            Err(e) => {
                failure = Some(e);
                continue;
            }
        };
        if stored.write_id == write_id {
            return Ok(accept(instance, stored));
        }
        let next = stored.with_change(change, write_id).map_err(|e| Box::new(rejected(e)))?;
        let head = instance
            .platform
            .typed_row::<u64>(CONFIG_REVISION_ROW_KEY)
            .await
            .map_err(unavailable)?;
        let commit = transaction(version, head.map_or(0, |(v, _)| v), &next);
        match instance.platform.commit(&commit).await {
            Ok(_) => return Ok(accept(instance, next)),
            Err(e) => {
                unsettled = e.may_have_taken_effect();
                if !matches!(e.cause(), Cause::Conflict { .. }) {
                    log::warn!("{e}");
                }
                failure = Some(e);
            }
        }
    }
    let text = failure.map_or_else(String::new, |e| e.to_string());
    let what = if unsettled { "may have been made" } else { "was not made" };
    Err(Box::new(error(StatusCode::SERVICE_UNAVAILABLE, format!("the change {what}: {text}"))))
}

fn transaction(version: u64, head_version: u64, next: &StoredConfig) -> Transaction {
    let value = serde_json::to_value(next).unwrap_or_default();
    Transaction {
        expect: vec![
            ExpectedVersion { key: CONFIG_ROW_KEY.into(), version },
            ExpectedVersion { key: CONFIG_REVISION_ROW_KEY.into(), version: head_version },
        ],
        put: vec![
            Put { key: CONFIG_ROW_KEY.into(), value },
            Put { key: CONFIG_REVISION_ROW_KEY.into(), value: next.revision.into() },
        ],
        delete: Vec::new(),
    }
}

fn accept(instance: &Arc<Instance>, config: StoredConfig) -> u64 {
    instance.install_config(config.revision, config.resources);
    config.revision
}

fn rejected(e: ConfigChangeError) -> Response<Body> {
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
        cells: cells(instance),
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

fn cells(instance: &Instance) -> Vec<CellStatus> {
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
        .map(|m| {
            let count =
                |o: &crate::cell::Owner| m.row.slots.values().filter(|a| a.owner == *o).count();
            CellStatus {
                cell: m.cell.to_string(),
                version: m.version,
                term: m.row.term,
                controller: name(m.row.controller),
                standbys: m.row.standbys.iter().map(|id| name(*id)).collect(),
                owners: m.row.owners().iter().map(|o| (o.to_string(), count(o))).collect(),
            }
        })
        .collect();
    cells.sort_by(|a, b| a.cell.cmp(&b.cell));
    cells
}
