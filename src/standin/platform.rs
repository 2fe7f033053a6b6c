//! Stand-in for the platform: transactional table, object store and instance list that lags.

use crate::{
    clock::{Millis, boot_millis},
    http::{self, Body, ListenerLimits},
    platform_client::{CommitReply, ConflictReply, InstanceEntry, Row, Transaction},
};
use bytes::Bytes;
use hyper::{Method, Request, Response, StatusCode, body::Incoming};
use serde::{Deserialize, Serialize};
use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;

const MAX_BODY_BYTES: usize = 64 << 20;
/// Time for which a request that gets no response is kept open.
const HANG_TIME: Duration = Duration::from_secs(3_600);

/// Faults that the stand-in has, as set by a control request.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Faults {
    /// Whether every request is refused with status 503.
    pub down: bool,
    /// Whether no request gets a response.
    pub hang: bool,
    /// Time in milliseconds before each response.
    pub latency_ms: u64,
    /// Number of writes to come that take effect and whose response is then lost.
    pub lose_answers: u32,
    /// Data centres that cannot reach the platform.
    pub cut: Vec<String>,
    /// Time in milliseconds by which the instance list lags.
    pub list_lag_ms: Millis,
}

/// Numbers of requests since the start.
#[derive(Debug, Clone, Copy, Default, Serialize, Deserialize)]
pub struct Counts {
    /// Table and object reads.
    pub reads: u64,
    /// Table and object writes.
    pub writes: u64,
}

#[derive(Debug, Default)]
struct State {
    version: u64,
    rows: BTreeMap<String, Row>,
    objects: BTreeMap<String, Bytes>,
    instances: Vec<InstanceEntry>,
    /// The instance list before its last change, and the time of that change.
    old_instances: (Vec<InstanceEntry>, Millis),
    faults: Faults,
    counts: Counts,
}

/// The platform stand-in.
#[derive(Debug, Clone, Default)]
pub struct PlatformStandin {
    state: Arc<Mutex<State>>,
}

impl PlatformStandin {
    /// Creates an empty platform.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Serves until `stop` is cancelled.
    pub async fn serve(self, listener: TcpListener, stop: CancellationToken) {
        let handler = move |req| {
            let this = self.clone();
            async move { this.handle(req).await }
        };
        http::serve(listener, ListenerLimits::default(), stop, handler).await;
    }

    fn with_state<T>(&self, f: impl FnOnce(&mut State) -> T) -> T {
        f(&mut self.state.lock().unwrap_or_else(PoisonError::into_inner))
    }

    async fn handle(&self, req: Request<Incoming>) -> Response<Body> {
        let (head, body) = req.into_parts();
        let Ok(body) = http::read_body("read request", "", body, MAX_BODY_BYTES).await else {
            return http::response(StatusCode::PAYLOAD_TOO_LARGE, "body too large\n");
        };
        let path = head.uri.path().to_owned();
        if let Some(rest) = path.strip_prefix("/standin/") {
            return self.handle_control(&head.method, rest, &body);
        }
        let dc = head.headers.get("x-data-center").and_then(|v| v.to_str().ok()).unwrap_or("");
        let faults = self.with_state(|s| s.faults.clone());
        if faults.hang || faults.cut.iter().any(|c| c == dc) {
            tokio::time::sleep(HANG_TIME).await;
        }
        tokio::time::sleep(Duration::from_millis(faults.latency_ms)).await;
        if faults.down {
            return http::response(StatusCode::SERVICE_UNAVAILABLE, "down\n");
        }
        let query = head.uri.query().unwrap_or_default().to_owned();
        let (res, lose_response) = self.with_state(|s| s.serve(&head.method, &path, &query, body));
        if lose_response {
            tokio::time::sleep(HANG_TIME).await;
        }
        res
    }

    fn handle_control(&self, method: &Method, path: &str, body: &[u8]) -> Response<Body> {
        match (method.as_str(), path) {
            ("PUT", "faults") => apply_json(body, |faults| self.with_state(|s| s.faults = faults)),
            ("PUT", "instances") => apply_json(body, |list| {
                self.with_state(|s| {
                    s.old_instances = (std::mem::take(&mut s.instances), boot_millis());
                    s.instances = list;
                });
            }),
            ("GET", "counts") => {
                http::json_response(StatusCode::OK, &self.with_state(|s| s.counts))
            }
            _ => http::response(StatusCode::NOT_FOUND, "no such control\n"),
        }
    }
}

fn apply_json<T: serde::de::DeserializeOwned>(
    body: &[u8],
    apply: impl FnOnce(T),
) -> Response<Body> {
    match serde_json::from_slice(body) {
        Ok(value) => {
            apply(value);
            http::response(StatusCode::NO_CONTENT, "")
        }
        Err(e) => http::response(StatusCode::BAD_REQUEST, format!("{e}\n")),
    }
}

impl State {
    /// Serves one request; `true` means that its response must be lost.
    fn serve(
        &mut self,
        method: &Method,
        path: &str,
        query: &str,
        body: Bytes,
    ) -> (Response<Body>, bool) {
        let is_write = method != Method::GET;
        if is_write {
            self.counts.writes += 1;
        } else {
            self.counts.reads += 1;
        }
        let prefix = query.strip_prefix("prefix=").unwrap_or_default();
        let res = match (method.as_str(), path) {
            ("POST", "/v1/table/commit") => self.commit(&body),
            ("GET", "/v1/table/rows") => self.rows(prefix),
            ("GET", "/v1/objects") => self.object_names(prefix),
            ("GET", "/v1/instances") => {
                http::json_response(StatusCode::OK, self.listed_instances())
            }
            ("GET", _) => self.row_or_object(path),
            ("PUT", _) => self.put_object(path, body),
            _ => not_found(),
        };
        let lose_response = is_write && self.faults.lose_answers > 0;
        if lose_response {
            self.faults.lose_answers -= 1;
        }
        (res, lose_response)
    }

    fn commit(&mut self, body: &[u8]) -> Response<Body> {
        let transaction: Transaction = match serde_json::from_slice(body) {
            Ok(c) => c,
            Err(e) => return http::response(StatusCode::BAD_REQUEST, format!("{e}\n")),
        };
        let version = |key: &String| self.rows.get(key).map_or(0, |r| r.version);
        let failed = transaction.expect.iter().find(|e| version(&e.key) != e.version);
        if let Some(e) = failed {
            let reply = ConflictReply { key: e.key.clone(), version: version(&e.key) };
            return http::json_response(StatusCode::CONFLICT, &reply);
        }
        self.version += 1;
        for put in transaction.put {
            let row = Row { key: put.key.clone(), version: self.version, value: put.value };
            self.rows.insert(put.key, row);
        }
        for key in transaction.delete {
            self.rows.remove(&key);
        }
        http::json_response(StatusCode::OK, &CommitReply { version: self.version })
    }

    fn rows(&self, prefix: &str) -> Response<Body> {
        let from = self.rows.range(prefix.to_owned()..);
        let rows: Vec<&Row> =
            from.take_while(|(k, _)| k.starts_with(prefix)).map(|(_, r)| r).collect();
        http::json_response(StatusCode::OK, &rows)
    }

    fn object_names(&self, prefix: &str) -> Response<Body> {
        let from = self.objects.range(prefix.to_owned()..);
        let names: Vec<&String> =
            from.take_while(|(k, _)| k.starts_with(prefix)).map(|(k, _)| k).collect();
        http::json_response(StatusCode::OK, &names)
    }

    fn listed_instances(&self) -> &Vec<InstanceEntry> {
        let (old, changed_at) = &self.old_instances;
        if boot_millis() < changed_at + self.faults.list_lag_ms { old } else { &self.instances }
    }

    fn row_or_object(&self, path: &str) -> Response<Body> {
        if let Some(key) = path.strip_prefix("/v1/table/rows/") {
            return self
                .rows
                .get(key)
                .map_or_else(not_found, |r| http::json_response(StatusCode::OK, r));
        }
        let object = path.strip_prefix("/v1/objects/").and_then(|n| self.objects.get(n));
        object.map_or_else(not_found, |b| http::response(StatusCode::OK, b.clone()))
    }

    fn put_object(&mut self, path: &str, body: Bytes) -> Response<Body> {
        let Some(name) = path.strip_prefix("/v1/objects/") else {
            return not_found();
        };
        if self.objects.contains_key(name) {
            return http::response(StatusCode::PRECONDITION_FAILED, "exists\n");
        }
        self.objects.insert(name.to_owned(), body);
        http::response(StatusCode::CREATED, "")
    }
}

fn not_found() -> Response<Body> {
    http::response(StatusCode::NOT_FOUND, "not found\n")
}
