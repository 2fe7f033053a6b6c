//! Outcomes that callers are told, with an upstream that can fail at each step of a request and
//! that counts how often it ran one.

mod support;

use hyper::{HeaderMap, Method, StatusCode};
use mulberryspur::{
    daemon::Daemon,
    pool::{self, Pool},
    settings::Settings,
    standin::platform::PlatformStandin,
    wire,
};
use proptest::{prelude::*, strategy::ValueTree, test_runner::RngSeed};
use serde_json::{Value, json};
use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::Duration,
};
use support::{SECRET, send};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
};
use tokio_util::sync::CancellationToken;

/// What a scripted upstream does with a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum Action {
    Respond,
    /// Refuses the request without running it.
    Refuse,
    /// Closes the connection before the request has arrived whole.
    CutWithinRequest,
    /// Closes the connection after the request, without having run it.
    CutBeforeRun,
    /// Runs the request and closes the connection without a response.
    CutAfterRun,
    /// Runs the request and closes the connection within the head of the response.
    CutWithinHead,
    /// Runs the request and closes the connection within the body of the response.
    CutWithinBody,
    /// Runs the request and never responds.
    Hang,
}

const ACTIONS: [Action; 8] = [
    Action::Respond,
    Action::Refuse,
    Action::CutWithinRequest,
    Action::CutBeforeRun,
    Action::CutAfterRun,
    Action::CutWithinHead,
    Action::CutWithinBody,
    Action::Hang,
];

/// An upstream that follows a list of actions.
#[derive(Debug, Clone, Default)]
struct ScriptedUpstream {
    /// Actions for the next requests, the last one first; responds when there is none.
    actions: Arc<Mutex<Vec<Action>>>,
    /// Number of runs by request identity.
    runs: Arc<Mutex<HashMap<String, usize>>>,
}

impl ScriptedUpstream {
    fn runs_of(&self, id: &str) -> usize {
        self.runs.lock().unwrap().get(id).copied().unwrap_or(0)
    }

    async fn serve(self, listener: TcpListener) {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(self.clone().serve_connection(stream));
        }
    }

    async fn serve_connection(self, mut stream: TcpStream) -> Option<()> {
        loop {
            let mut buf = Vec::new();
            let end = loop {
                let mut chunk = [0; 4096];
                let n = stream.read(&mut chunk).await.ok().filter(|n| *n > 0)?;
                buf.extend_from_slice(&chunk[..n]);
                if let Some(at) = buf.windows(4).position(|w| w == b"\r\n\r\n") {
                    break at + 4;
                }
            };
            let head = String::from_utf8_lossy(&buf[..end]).to_lowercase();
            let header = |name: &str| {
                let line = head.lines().find_map(|l| l.strip_prefix(&format!("{name}: ")));
                line.unwrap_or_default().to_owned()
            };
            let action = self.actions.lock().unwrap().pop().unwrap_or(Action::Respond);
            if action == Action::CutWithinRequest {
                return None;
            }
            let length: usize = header("content-length").parse().unwrap_or(0);
            let mut body = buf[end..].to_vec();
            while body.len() < length {
                let mut chunk = [0; 4096];
                let n = stream.read(&mut chunk).await.ok().filter(|n| *n > 0)?;
                body.extend_from_slice(&chunk[..n]);
            }
            if action == Action::Refuse {
                let text =
                    "HTTP/1.1 503 X\r\nx-mulberryspur-refused: shed\r\ncontent-length: 0\r\n\r\n";
                stream.write_all(text.as_bytes()).await.ok()?;
                continue;
            }
            if action == Action::CutBeforeRun {
                return None;
            }
            *self.runs.lock().unwrap().entry(header("x-request-id")).or_default() += 1;
            match action {
                Action::CutAfterRun => return None,
                Action::CutWithinHead => {
                    stream.write_all(b"HTTP/1.1 200 OK\r\ncontent-le").await.ok()?;
                    return None;
                }
                Action::CutWithinBody => {
                    stream
                        .write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 10\r\n\r\n12345")
                        .await
                        .ok()?;
                    return None;
                }
                Action::Hang => std::future::pending().await,
                _ => {
                    stream
                        .write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nwhole")
                        .await
                        .ok()?;
                }
            }
        }
    }
}

/// A daemon with the stand-in of the platform and scripted upstreams.
struct Setup {
    daemon: Daemon,
    upstreams: Vec<ScriptedUpstream>,
    platform: SocketAddr,
    pool: Pool,
    stop: CancellationToken,
}

fn loopback() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

impl Setup {
    async fn new(upstream_count: usize) -> Self {
        let stop = CancellationToken::new();
        let listener = TcpListener::bind(loopback()).await.unwrap();
        let platform = listener.local_addr().unwrap();
        tokio::spawn(PlatformStandin::new().serve(listener, stop.clone()));
        let mut resources = vec![
            json!({"kind": "Service", "name": "orders", "timeout_ms": 2000}),
            json!({"kind": "Route", "name": "orders", "service": "orders", "path": "/"}),
        ];
        let mut upstreams = Vec::new();
        for n in 0..upstream_count {
            let listener = TcpListener::bind(loopback()).await.unwrap();
            let address = listener.local_addr().unwrap().to_string();
            resources.push(json!({"kind": "Upstream", "name": format!("u{n}"),
                "service": "orders", "address": address, "data_center": "dc-1"}));
            let upstream = ScriptedUpstream::default();
            tokio::spawn(upstream.clone().serve(listener));
            upstreams.push(upstream);
        }
        let text = json!({"instance": "i", "data_center": "dc-1", "listen": "127.0.0.1:0",
            "admin": "127.0.0.1:0", "peer": "127.0.0.1:0", "platform": platform.to_string(),
            "secret": SECRET})
        .to_string();
        let daemon = Daemon::start(Settings::parse("test", &text).unwrap()).await.unwrap();
        let this = Self { daemon, upstreams, platform, pool: Pool::new(64), stop };
        this.apply(&resources).await;
        this
    }

    async fn apply(&self, resources: &[Value]) {
        let items: Vec<Value> = resources.iter().map(|r| json!({ "resource": r })).collect();
        let body = json!({ "apply": items }).to_string();
        let req = hyper::Request::post("/v1/change")
            .header("host", "admin")
            .header("authorization", format!("Bearer {SECRET}"))
            .body(mulberryspur::http::full_body(body))
            .unwrap();
        let timeout = Duration::from_secs(5);
        let res = pool::call(&self.pool, "change", self.daemon.admin_addr(), req, timeout).await;
        assert!(res.unwrap().0.is_success());
    }

    async fn set_faults(&self, faults: Value) {
        let req = hyper::Request::put("/standin/faults")
            .header("host", "platform")
            .body(mulberryspur::http::full_body(faults.to_string()))
            .unwrap();
        let timeout = Duration::from_secs(5);
        pool::call(&self.pool, "faults", self.platform, req, timeout).await.unwrap();
    }

    fn set_actions(&self, actions: &[Action]) {
        // Upstreams take them from the end.
        let actions: Vec<Action> = actions.iter().rev().copied().collect();
        self.upstreams.iter().for_each(|s| s.actions.lock().unwrap().clone_from(&actions));
    }

    fn runs_of(&self, id: &str) -> usize {
        self.upstreams.iter().map(|s| s.runs_of(id)).sum()
    }

    async fn call(&self, method: Method, id: &str, extra_headers: &[(&str, &str)]) -> CallerResult {
        let mut headers = vec![(wire::REQUEST_ID, id)];
        headers.extend_from_slice(extra_headers);
        let timeout = Duration::from_secs(10);
        let result =
            send(&self.pool, self.daemon.listen_addr(), method, "/x", &headers, timeout).await;
        CallerResult::new(result)
    }

    async fn stop(self) {
        self.daemon.stop().await;
        self.stop.cancel();
    }
}

/// What a caller was told: status, outcome and reason, or that there was no whole response.
#[derive(Debug, PartialEq, Eq)]
struct CallerResult {
    status: u16,
    outcome: String,
    reason: String,
    retry_after: bool,
}

impl CallerResult {
    fn new(result: mulberryspur::Result<(StatusCode, HeaderMap, bytes::Bytes)>) -> Self {
        let Ok((status, headers, _)) = result else {
            return Self {
                status: 0,
                outcome: String::new(),
                reason: "cut".into(),
                retry_after: false,
            };
        };
        let text = |n: &str| headers.get(n).map_or("", |v| v.to_str().unwrap()).to_owned();
        Self {
            status: status.as_u16(),
            outcome: text(wire::OUTCOME),
            reason: text(wire::RESPONSE_REASON),
            retry_after: headers.contains_key("retry-after"),
        }
    }
}

fn block_on(test: impl Future<Output = ()>) {
    tokio::runtime::Builder::new_multi_thread().enable_all().build().unwrap().block_on(test);
}

/// Checks what a POST and a GET are told if each attempt meets this action, how often the POST ran,
/// and whether the GET ran.
async fn assert_outcomes(action: Action, post: (&str, usize), get: (&str, usize)) {
    let setup = Setup::new(1).await;
    for (method, (outcome, runs)) in [(Method::POST, post), (Method::GET, get)] {
        // Each attempt meets the same action.
        setup.set_actions(&[action; 64]);
        let id = format!("{method}");
        let deadline = [(wire::TIME_LEFT_MS, "400")];
        let result = setup.call(method.clone(), &id, &deadline).await;
        assert_eq!(result.outcome, outcome, "{method} {result:?}");
        let ran = setup.runs_of(&id.to_lowercase());
        if method == Method::POST {
            assert_eq!(ran, runs, "{method} {result:?}");
        } else {
            assert!((ran > 0) == (runs > 0), "{method} ran {ran} times: {result:?}");
        }
    }
    setup.stop().await;
}

macro_rules! outcome_tests {
    ($($name:ident: $action:ident, $post:expr, $get:expr;)*) => {
        $(#[test] fn $name() { block_on(assert_outcomes(Action::$action, $post, $get)); })*
    };
}

outcome_tests! {
    responded: Respond, ("ran", 1), ("ran", 1);
    refused: Refuse, ("not-run", 0), ("not-run", 0);
    cut_within_request: CutWithinRequest, ("unknown", 0), ("unknown", 0);
    cut_before_run: CutBeforeRun, ("unknown", 0), ("unknown", 0);
    cut_after_run: CutAfterRun, ("unknown", 1), ("unknown", 1);
    cut_within_head: CutWithinHead, ("unknown", 1), ("unknown", 1);
    cut_within_body: CutWithinBody, ("", 1), ("", 1);
    never_responded: Hang, ("unknown", 1), ("unknown", 1);
}

#[test]
fn nothing_listens() {
    block_on(async {
        let setup = Setup::new(0).await;
        let resources = [json!({"kind": "Upstream", "name": "gone", "service": "orders",
            "address": "127.0.0.1:9", "data_center": "dc-1"})];
        setup.apply(&resources).await;
        let result = setup.call(Method::POST, "a", &[]).await;
        assert_eq!((result.outcome.as_str(), result.retry_after), ("not-run", true), "{result:?}");
        setup.stop().await;
    });
}

#[test]
fn a_refused_request_is_retried_at_another_upstream() {
    block_on(async {
        let setup = Setup::new(2).await;
        for n in 0..20 {
            setup.upstreams[0].actions.lock().unwrap().push(Action::Refuse);
            let id = format!("r{n}");
            let result = setup.call(Method::POST, &id, &[]).await;
            assert_eq!((result.outcome.as_str(), setup.runs_of(&id)), ("ran", 1), "{result:?}");
            setup.upstreams[0].actions.lock().unwrap().clear();
        }
        setup.stop().await;
    });
}

#[test]
fn a_repeat_gets_the_first_response() {
    block_on(async {
        let setup = Setup::new(1).await;
        let key = [(wire::IDEMPOTENCY_KEY, "k1")];
        let first = setup.call(Method::POST, "a", &key).await;
        let second = setup.call(Method::POST, "b", &key).await;
        assert_eq!((first.outcome.as_str(), second.outcome.as_str()), ("ran", "ran"));
        assert_eq!((setup.runs_of("a"), setup.runs_of("b")), (1, 0));
        setup.stop().await;
    });
}

#[test]
fn a_repeat_of_an_unknown_outcome_is_not_run() {
    block_on(async {
        let setup = Setup::new(1).await;
        let key = [(wire::IDEMPOTENCY_KEY, "k1")];
        setup.set_actions(&[Action::CutAfterRun]);
        let first = setup.call(Method::POST, "a", &key).await;
        let second = setup.call(Method::POST, "b", &key).await;
        assert_eq!((first.outcome.as_str(), second.outcome.as_str()), ("unknown", "unknown"));
        assert_eq!((setup.runs_of("a"), setup.runs_of("b")), (1, 0));
        assert_eq!(second.reason, "repeat");
        setup.stop().await;
    });
}

#[test]
fn a_request_proved_not_run_may_be_repeated() {
    block_on(async {
        let setup = Setup::new(1).await;
        let key = [(wire::IDEMPOTENCY_KEY, "k1"), (wire::TIME_LEFT_MS, "300")];
        setup.set_actions(&[Action::Refuse; 64]);
        let first = setup.call(Method::POST, "a", &key).await;
        setup.set_actions(&[]);
        let second = setup.call(Method::POST, "b", &key).await;
        assert_eq!((first.outcome.as_str(), second.outcome.as_str()), ("not-run", "ran"));
        setup.stop().await;
    });
}

#[test]
fn a_key_used_for_another_request_is_an_error() {
    block_on(async {
        let setup = Setup::new(1).await;
        let key = [(wire::IDEMPOTENCY_KEY, "k1")];
        setup.call(Method::POST, "a", &key).await;
        let other = setup.call(Method::PATCH, "b", &key).await;
        assert_eq!((other.status, other.outcome.as_str()), (422, "not-run"), "{other:?}");
        setup.stop().await;
    });
}

#[test]
fn without_the_store_a_request_with_an_idempotency_key_is_not_run() {
    block_on(async {
        let setup = Setup::new(1).await;
        setup.set_faults(json!({ "down": true })).await;
        let result = setup.call(Method::POST, "a", &[(wire::IDEMPOTENCY_KEY, "k1")]).await;
        assert_eq!((result.outcome.as_str(), result.retry_after), ("not-run", true), "{result:?}");
        assert_eq!(result.reason, "no-store");
        assert_eq!(setup.runs_of("a"), 0);
        setup.set_faults(json!({})).await;
        let result = setup.call(Method::POST, "b", &[(wire::IDEMPOTENCY_KEY, "k1")]).await;
        assert_eq!(result.outcome, "ran", "{result:?}");
        setup.stop().await;
    });
}

#[test]
fn a_claim_whose_response_was_lost_is_settled() {
    block_on(async {
        let setup = Setup::new(1).await;
        setup.set_faults(json!({ "lose_answers": 1 })).await;
        let result = setup.call(Method::POST, "a", &[(wire::IDEMPOTENCY_KEY, "k1")]).await;
        assert_eq!((result.outcome.as_str(), setup.runs_of("a")), ("ran", 1), "{result:?}");
        setup.stop().await;
    });
}

/// For any sequence of actions, no non-idempotent request runs twice, and what callers are told is
/// true.
#[test]
fn fuzz_outcomes() {
    let config = ProptestConfig { rng_seed: RngSeed::Fixed(5), ..ProptestConfig::default() };
    let mut runner = proptest::test_runner::TestRunner::new(config);
    let action = proptest::sample::select(ACTIONS.to_vec());
    let actions = proptest::collection::vec(action, 0..6);
    let request = (any::<bool>(), proptest::option::of(0_u8..12), actions);
    let requests = proptest::collection::vec(request, 300).new_tree(&mut runner).unwrap().current();
    block_on(async {
        let setup = Setup::new(3).await;
        let mut key_runs: HashMap<u8, usize> = HashMap::new();
        for (n, (post, key, actions)) in requests.into_iter().enumerate() {
            setup.set_actions(&actions);
            let id = format!("q{n}");
            let method = if post { Method::POST } else { Method::GET };
            let mut headers = vec![(wire::TIME_LEFT_MS, "150")];
            let idempotency_key = key.map(|k| format!("key-{k}")).unwrap_or_default();
            if key.is_some() {
                headers.push((wire::IDEMPOTENCY_KEY, &idempotency_key));
            }
            let result = setup.call(method, &id, &headers).await;
            let ran = setup.runs_of(&id);
            match result.outcome.as_str() {
                "not-run" => assert_eq!(ran, 0, "{id} {result:?}"),
                "ran" if key.is_none() || !post => assert!(ran >= 1, "{id} {result:?}"),
                _ => {}
            }
            if post {
                assert!(ran <= 1, "{id} ran {ran} times: {result:?}");
            }
            if let (true, Some(key)) = (post, key) {
                let total = key_runs.entry(key).or_default();
                *total += ran;
                assert!(*total <= 1, "key {key} ran {total} times: {result:?}");
            }
        }
        setup.stop().await;
    });
}
