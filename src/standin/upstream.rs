//! Stand-in for an upstream that accepts fenced grants, drains, refuses and cancels requests, and
//! honours deadlines. It keeps a journal of the slots it held and the requests it ran.

use crate::{
    clock::{Millis, boot_millis},
    grant::{BootId, Grant, GrantHolder, Refusal},
    http::{self, Body, BodyError, ListenerLimits},
    slot::{Epoch, SlotId},
    wire,
};
use bytes::Bytes;
use futures::{StreamExt, stream};
use http_body_util::{BodyExt, StreamBody};
use hyper::{Request, Response, StatusCode, body::Frame, body::Incoming, http::request::Parts};
use serde::{Deserialize, Serialize};
use std::{
    fs::File,
    io::Write,
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};
use tokio::{net::TcpListener, sync::Semaphore};
use tokio_util::sync::CancellationToken;

/// Size of one frame of a generated response body.
const CHUNK_BYTES: usize = 64 * 1024;
/// Longest body of a grant or control request.
const MAX_CONTROL_BYTES: usize = 8 << 20;

/// What the stand-in does besides running requests normally.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Behaviour {
    /// Time in milliseconds that each request takes in addition to what it asks for.
    pub work_ms: u64,
    /// Whether all new requests are refused.
    pub draining: bool,
    /// Whether the controller is asked to move its slots elsewhere.
    pub leaving: bool,
    /// Load that is reported instead of the true one.
    pub lie_load: Option<usize>,
    /// Whether it reports itself as unhealthy although it works.
    pub lie_health: bool,
    /// Number of bytes after which the body of a response ends early.
    pub truncate: Option<usize>,
}

/// One line of the journal. Times are readings of the boot clock, which all processes share.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(tag = "event", rename_all = "snake_case")]
pub enum JournalEntry {
    /// A slot may be served from `at` until `until`, or until a later entry that shortens it.
    Hold {
        /// Time of the entry.
        at: Millis,
        /// Name of the upstream.
        upstream: Arc<str>,
        /// Its process.
        boot: BootId,
        /// The slots and epochs.
        slots: Vec<(SlotId, Epoch)>,
        /// End of the grant.
        until: Millis,
    },
    /// A request took effect.
    Run {
        /// Time of the entry, read before the last check of the grant.
        at: Millis,
        /// Name of the upstream.
        upstream: Arc<str>,
        /// Its process.
        boot: BootId,
        /// Slot and epoch, absent for unkeyed requests.
        slot: Option<(SlotId, Epoch)>,
        /// Identity of the request.
        request: String,
        /// HTTP method.
        method: String,
    },
    /// A request was cancelled before it took effect.
    Cancelled {
        /// Time of the entry.
        at: Millis,
        /// Name of the upstream.
        upstream: Arc<str>,
        /// Identity of the request.
        request: String,
    },
}

/// Settings of an upstream stand-in.
#[derive(Debug, Clone)]
pub struct UpstreamConfig {
    /// Name of the upstream.
    pub name: Arc<str>,
    /// Requests that it runs at once.
    pub concurrency: usize,
    /// Whether it refuses requests without a valid grant.
    pub fenced: bool,
    /// File to append the journal to.
    pub journal: Option<std::path::PathBuf>,
}

#[derive(Debug)]
struct Shared {
    cfg: UpstreamConfig,
    holder: Mutex<GrantHolder>,
    permits: Semaphore,
    in_flight: std::sync::atomic::AtomicUsize,
    behaviour: Mutex<Behaviour>,
    journal: Mutex<Option<File>>,
}

/// The upstream stand-in.
#[derive(Debug, Clone)]
pub struct UpstreamStandin {
    shared: Arc<Shared>,
}

/// A running request, which ends when dropped.
struct RunningRequest {
    shared: Arc<Shared>,
    slot: Option<(SlotId, Epoch)>,
    request: String,
    ran: bool,
}

impl UpstreamStandin {
    /// Creates a stand-in process without grants.
    ///
    /// # Errors
    ///
    /// Fails if the journal cannot be opened.
    pub fn new(cfg: UpstreamConfig) -> std::io::Result<Self> {
        let open = |p: &std::path::PathBuf| File::options().create(true).append(true).open(p);
        let journal = cfg.journal.as_ref().map(open).transpose()?;
        let shared = Shared {
            holder: Mutex::new(GrantHolder::new(rand::random::<u32>().into())),
            permits: Semaphore::new(cfg.concurrency),
            in_flight: 0.into(),
            behaviour: Mutex::default(),
            journal: Mutex::new(journal),
            cfg,
        };
        Ok(Self { shared: Arc::new(shared) })
    }

    /// Serves until `stop` is cancelled.
    pub async fn serve(self, listener: TcpListener, stop: CancellationToken) {
        let handler = move |req| {
            let shared = self.shared.clone();
            async move { handle(shared, req).await }
        };
        http::serve(listener, ListenerLimits::default(), stop, handler).await;
    }
}

async fn handle(shared: Arc<Shared>, req: Request<Incoming>) -> Response<Body> {
    let (head, body) = req.into_parts();
    match head.uri.path() {
        wire::GRANT_PATH => shared.on_grant(body).await,
        "/standin/behaviour" => shared.on_behaviour(body).await,
        "/health" => shared.health(),
        _ => run_request(shared, &head, body).await,
    }
}

fn header<'a>(head: &'a Parts, name: &str) -> Option<&'a str> {
    head.headers.get(name)?.to_str().ok()
}

fn query_param(head: &Parts, name: &str) -> Option<u64> {
    let pairs = head.uri.query()?.split('&').filter_map(|p| p.split_once('='));
    pairs.filter(|(k, _)| *k == name).find_map(|(_, v)| v.parse().ok())
}

fn refuse(status: StatusCode, reason: &'static str) -> Response<Body> {
    let mut res = http::response(status, format!("{reason}\n"));
    let value = hyper::header::HeaderValue::from_static(reason);
    res.headers_mut().insert(wire::REFUSAL_REASON, value);
    res
}

/// Runs one request: checks its grant, does its work, records the effect and responds.
async fn run_request(shared: Arc<Shared>, head: &Parts, body: Incoming) -> Response<Body> {
    let started = boot_millis();
    let time_left_ms = header(head, wire::TIME_LEFT_MS).and_then(|v| v.parse::<u64>().ok());
    let request = header(head, wire::REQUEST_ID).unwrap_or_default().to_owned();
    let slot = header(head, wire::SLOT).and_then(|v| v.parse().ok());
    let epoch = header(head, wire::EPOCH).and_then(|v| v.parse().ok());
    let assignment = slot.zip(epoch);
    let mut running = match RunningRequest::start(&shared, assignment, request) {
        Ok(r) => r,
        Err(reason) => return refuse(StatusCode::MISDIRECTED_REQUEST, reason),
    };
    let Ok(_permit) = shared.permits.acquire().await else {
        return refuse(StatusCode::SERVICE_UNAVAILABLE, "stopping");
    };
    if time_left_ms.is_some_and(|t| boot_millis() >= started + t) {
        return refuse(StatusCode::SERVICE_UNAVAILABLE, "deadline");
    }
    let Ok(body) = http::read_body("read request", "", body, usize::MAX).await else {
        return http::response(StatusCode::BAD_REQUEST, "body broke off\n");
    };
    let behaviour = shared.behaviour();
    let work_ms = behaviour.work_ms + query_param(head, "work_ms").unwrap_or(0);
    if work_ms > 0 {
        tokio::time::sleep(Duration::from_millis(work_ms)).await;
    }
    if !running.take_effect(head.method.as_str()) {
        return refuse(StatusCode::MISDIRECTED_REQUEST, "lapsed");
    }
    let mut res = build_response(&shared, head, &body, &behaviour);
    let load = shared.load(&behaviour);
    res.headers_mut().insert(wire::UPSTREAM_IN_FLIGHT, load.into());
    res
}

fn build_response(
    shared: &Shared,
    head: &Parts,
    body: &Bytes,
    behaviour: &Behaviour,
) -> Response<Body> {
    let bytes = query_param(head, "bytes").and_then(|n| usize::try_from(n).ok());
    let Some(bytes) = bytes else {
        let text = format!("{} {} {}\n", shared.cfg.name, head.uri.path(), body.len());
        return Response::new(http::full_body(text));
    };
    let sent_bytes = behaviour.truncate.unwrap_or(bytes).min(bytes);
    let chunk = Bytes::from(vec![b'.'; CHUNK_BYTES]);
    let sizes = (0..sent_bytes).step_by(CHUNK_BYTES).map(move |n| CHUNK_BYTES.min(sent_bytes - n));
    let frames = sizes.map(move |n| Ok::<_, BodyError>(Frame::data(chunk.slice(..n))));
    let early_end =
        (sent_bytes < bytes).then(|| Err::<Frame<Bytes>, BodyError>("truncated".into()));
    let body = StreamBody::new(stream::iter(frames).chain(stream::iter(early_end)));
    let mut res = Response::new(body.boxed_unsync());
    res.headers_mut().insert(hyper::header::CONTENT_LENGTH, bytes.into());
    res
}

impl RunningRequest {
    fn start(
        shared: &Arc<Shared>,
        slot: Option<(SlotId, Epoch)>,
        request: String,
    ) -> Result<Self, &'static str> {
        if shared.behaviour().draining {
            return Err("draining");
        }
        if shared.cfg.fenced {
            let (slot, epoch) = slot.ok_or("no-grant")?;
            let mut holder = shared.holder.lock().unwrap_or_else(PoisonError::into_inner);
            holder.begin_request(boot_millis(), slot, epoch).map_err(Refusal::as_str)?;
        }
        shared.in_flight.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
        Ok(Self { shared: shared.clone(), slot, request, ran: false })
    }

    /// Checks the grant once more and records the effect; `false` if the grant has ended.
    fn take_effect(&mut self, method: &str) -> bool {
        let at = boot_millis();
        let holder = self.shared.holder.lock().unwrap_or_else(PoisonError::into_inner);
        let granted = self.slot.is_some_and(|(s, e)| holder.may_take_effect(at, s, e));
        if self.shared.cfg.fenced && !granted {
            return false;
        }
        self.ran = true;
        self.shared.append_to_journal(&JournalEntry::Run {
            at,
            upstream: self.shared.cfg.name.clone(),
            boot: holder.boot(),
            slot: self.slot,
            request: self.request.clone(),
            method: method.to_owned(),
        });
        true
    }
}

impl Drop for RunningRequest {
    fn drop(&mut self) {
        self.shared.in_flight.fetch_sub(1, std::sync::atomic::Ordering::Relaxed);
        if !self.ran {
            let upstream = self.shared.cfg.name.clone();
            let request = std::mem::take(&mut self.request);
            self.shared.append_to_journal(&JournalEntry::Cancelled {
                at: boot_millis(),
                upstream,
                request,
            });
        }
        if let (true, Some((slot, epoch))) = (self.shared.cfg.fenced, self.slot) {
            let mut holder = self.shared.holder.lock().unwrap_or_else(PoisonError::into_inner);
            holder.end_request(slot, epoch);
        }
    }
}

impl Shared {
    fn behaviour(&self) -> Behaviour {
        self.behaviour.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    fn load(&self, behaviour: &Behaviour) -> usize {
        let true_load = self.in_flight.load(std::sync::atomic::Ordering::Relaxed);
        behaviour.lie_load.unwrap_or(true_load)
    }

    fn health(&self) -> Response<Body> {
        let behaviour = self.behaviour();
        let status = if behaviour.lie_health || behaviour.draining {
            StatusCode::SERVICE_UNAVAILABLE
        } else {
            StatusCode::OK
        };
        let mut res = http::response(status, "");
        res.headers_mut().insert(wire::UPSTREAM_IN_FLIGHT, self.load(&behaviour).into());
        res
    }

    async fn on_behaviour(&self, body: Incoming) -> Response<Body> {
        let bytes = http::read_body("read request", "", body, MAX_CONTROL_BYTES).await;
        let Some(behaviour) = bytes.ok().and_then(|b| serde_json::from_slice::<Behaviour>(&b).ok())
        else {
            return http::response(StatusCode::BAD_REQUEST, "malformed behaviour\n");
        };
        if behaviour.leaving {
            self.holder.lock().unwrap_or_else(PoisonError::into_inner).set_leaving();
        }
        *self.behaviour.lock().unwrap_or_else(PoisonError::into_inner) = behaviour;
        http::response(StatusCode::NO_CONTENT, "")
    }

    async fn on_grant(&self, body: Incoming) -> Response<Body> {
        let bytes = http::read_body("read grant", "", body, MAX_CONTROL_BYTES).await;
        let Some(grant) = bytes.ok().and_then(|b| serde_json::from_slice::<Grant>(&b).ok()) else {
            return http::response(StatusCode::BAD_REQUEST, "malformed grant\n");
        };
        let mut holder = self.holder.lock().unwrap_or_else(PoisonError::into_inner);
        let at = boot_millis();
        let reply = holder.on_grant(at, &grant);
        if grant.until > 0 {
            self.append_to_journal(&JournalEntry::Hold {
                at,
                upstream: self.cfg.name.clone(),
                boot: holder.boot(),
                slots: holder.held_slots(at).map(|g| (g.slot, g.epoch)).collect(),
                until: holder.until(),
            });
        }
        http::json_response(StatusCode::OK, &reply)
    }

    fn append_to_journal(&self, entry: &JournalEntry) {
        let mut journal = self.journal.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(f) = journal.as_mut() {
            let mut line = serde_json::to_vec(entry).unwrap_or_default();
            line.push(b'\n');
            let _ = f.write_all(&line);
        }
    }
}
