//! What callers are told, against an upstream that breaks off at every step and counts runs.

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

/// What the scripted upstream does with a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum Act {
    Answer,
    /// Refuses before starting.
    Refuse,
    /// Closes the connection before the request has arrived whole.
    CutBeforeHead,
    /// Closes it after the request, without having run it.
    CutBeforeRun,
    /// Runs the request and closes without an answer.
    CutAfterRun,
    /// Runs it and closes within the head of the answer.
    CutMidHead,
    /// Runs it and closes within the body of the answer.
    CutMidBody,
    /// Runs it and never answers.
    Hang,
}

const ACTS: [Act; 8] = [
    Act::Answer,
    Act::Refuse,
    Act::CutBeforeHead,
    Act::CutBeforeRun,
    Act::CutAfterRun,
    Act::CutMidHead,
    Act::CutMidBody,
    Act::Hang,
];

#[derive(Debug, Clone, Default)]
struct Script {
    /// Acts for coming requests; answers when it is empty.
    acts: Arc<Mutex<Vec<Act>>>,
    runs: Arc<Mutex<HashMap<String, usize>>>,
}

impl Script {
    fn runs_of(&self, id: &str) -> usize {
        self.runs.lock().unwrap().get(id).copied().unwrap_or(0)
    }

    async fn serve(self, listener: TcpListener) {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(self.clone().connection(stream));
        }
    }

    async fn connection(self, mut stream: TcpStream) -> Option<()> {
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
            let field = |name: &str| {
                let line = head.lines().find_map(|l| l.strip_prefix(&format!("{name}: ")));
                line.unwrap_or_default().to_owned()
            };
            let act = self.acts.lock().unwrap().pop().unwrap_or(Act::Answer);
            if act == Act::CutBeforeHead {
                return None;
            }
            let length: usize = field("content-length").parse().unwrap_or(0);
            let mut body = buf[end..].to_vec();
            while body.len() < length {
                let mut chunk = [0; 4096];
                let n = stream.read(&mut chunk).await.ok().filter(|n| *n > 0)?;
                body.extend_from_slice(&chunk[..n]);
            }
            if act == Act::Refuse {
                let text =
                    "HTTP/1.1 503 X\r\nx-mulberryspur-refused: shed\r\ncontent-length: 0\r\n\r\n";
                stream.write_all(text.as_bytes()).await.ok()?;
                continue;
            }
            if act == Act::CutBeforeRun {
                return None;
            }
            *self.runs.lock().unwrap().entry(field("x-request-id")).or_default() += 1;
            match act {
                Act::CutAfterRun => return None,
                Act::CutMidHead => {
                    stream.write_all(b"HTTP/1.1 200 OK\r\ncontent-le").await.ok()?;
                    return None;
                }
                Act::CutMidBody => {
                    stream
                        .write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 10\r\n\r\n12345")
                        .await
                        .ok()?;
                    return None;
                }
                Act::Hang => std::future::pending().await,
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

struct Setup {
    daemon: Daemon,
    scripts: Vec<Script>,
    platform: SocketAddr,
    pool: Pool,
    stop: CancellationToken,
}

fn loopback() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

impl Setup {
    async fn new(upstreams: usize) -> Self {
        let stop = CancellationToken::new();
        let listener = TcpListener::bind(loopback()).await.unwrap();
        let platform = listener.local_addr().unwrap();
        tokio::spawn(PlatformStandin::new().serve(listener, stop.clone()));
        let mut resources = vec![
            json!({"kind": "Service", "name": "orders", "timeout_ms": 2000}),
            json!({"kind": "Route", "name": "orders", "service": "orders", "path": "/"}),
        ];
        let mut scripts = Vec::new();
        for n in 0..upstreams {
            let listener = TcpListener::bind(loopback()).await.unwrap();
            let address = listener.local_addr().unwrap().to_string();
            resources.push(json!({"kind": "Upstream", "name": format!("u{n}"),
                "service": "orders", "address": address, "data_center": "dc-1"}));
            let script = Script::default();
            tokio::spawn(script.clone().serve(listener));
            scripts.push(script);
        }
        let text = json!({"instance": "i", "data_center": "dc-1", "listen": "127.0.0.1:0",
            "admin": "127.0.0.1:0", "peer": "127.0.0.1:0", "platform": platform.to_string(),
            "secret": SECRET})
        .to_string();
        let daemon = Daemon::start(Settings::parse("test", &text).unwrap()).await.unwrap();
        let this = Self { daemon, scripts, platform, pool: Pool::new(64), stop };
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
        let limit = Duration::from_secs(5);
        let answer = pool::call(&self.pool, "change", self.daemon.admin_addr(), req, limit).await;
        assert!(answer.unwrap().0.is_success());
    }

    async fn faults(&self, faults: Value) {
        let req = hyper::Request::put("/standin/faults")
            .header("host", "platform")
            .body(mulberryspur::http::full_body(faults.to_string()))
            .unwrap();
        let limit = Duration::from_secs(5);
        pool::call(&self.pool, "faults", self.platform, req, limit).await.unwrap();
    }

    fn script(&self, acts: &[Act]) {
        // Taken from the end.
        let acts: Vec<Act> = acts.iter().rev().copied().collect();
        self.scripts.iter().for_each(|s| s.acts.lock().unwrap().clone_from(&acts));
    }

    fn runs_of(&self, id: &str) -> usize {
        self.scripts.iter().map(|s| s.runs_of(id)).sum()
    }

    async fn call(&self, method: Method, id: &str, more: &[(&str, &str)]) -> Told {
        let mut headers = vec![(wire::REQUEST_ID, id)];
        headers.extend_from_slice(more);
        let limit = Duration::from_secs(10);
        let result =
            send(&self.pool, self.daemon.listen_addr(), method, "/x", &headers, limit).await;
        Told::new(result)
    }

    async fn stop(self) {
        self.daemon.stop().await;
        self.stop.cancel();
    }
}

/// What a caller was told: status and outcome, or that the answer broke off.
#[derive(Debug, PartialEq, Eq)]
struct Told {
    status: u16,
    outcome: String,
    reason: String,
    retry_after: bool,
}

impl Told {
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

/// One attempt at one upstream: what a POST and a GET are told, and how often each ran.
async fn row(act: Act, post: (&str, usize), get: (&str, usize)) {
    let setup = Setup::new(1).await;
    for (method, (outcome, runs)) in [(Method::POST, post), (Method::GET, get)] {
        // Each attempt meets the same act.
        setup.script(&[act; 64]);
        let id = format!("{method}");
        let deadline = [(wire::TIME_LEFT_MS, "400")];
        let told = setup.call(method.clone(), &id, &deadline).await;
        assert_eq!(told.outcome, outcome, "{method} {told:?}");
        let ran = setup.runs_of(&id.to_lowercase());
        if method == Method::POST {
            assert_eq!(ran, runs, "{method} {told:?}");
        } else {
            assert!((ran > 0) == (runs > 0), "{method} ran {ran} times: {told:?}");
        }
    }
    setup.stop().await;
}

macro_rules! rows {
    ($($name:ident: $act:ident, $post:expr, $get:expr;)*) => {
        $(#[test] fn $name() { block_on(row(Act::$act, $post, $get)); })*
    };
}

rows! {
    answered: Answer, ("ran", 1), ("ran", 1);
    refused: Refuse, ("not-run", 0), ("not-run", 0);
    cut_before_head: CutBeforeHead, ("unknown", 0), ("unknown", 0);
    cut_before_run: CutBeforeRun, ("unknown", 0), ("unknown", 0);
    cut_after_run: CutAfterRun, ("unknown", 1), ("unknown", 1);
    cut_mid_head: CutMidHead, ("unknown", 1), ("unknown", 1);
    cut_mid_body: CutMidBody, ("", 1), ("", 1);
    never_answered: Hang, ("unknown", 1), ("unknown", 1);
}

#[test]
fn nothing_listens() {
    block_on(async {
        let setup = Setup::new(0).await;
        let resources = [json!({"kind": "Upstream", "name": "gone", "service": "orders",
            "address": "127.0.0.1:9", "data_center": "dc-1"})];
        setup.apply(&resources).await;
        let told = setup.call(Method::POST, "a", &[]).await;
        assert_eq!((told.outcome.as_str(), told.retry_after), ("not-run", true), "{told:?}");
        setup.stop().await;
    });
}

#[test]
fn a_refusal_is_tried_at_another_upstream() {
    block_on(async {
        let setup = Setup::new(2).await;
        for n in 0..20 {
            setup.scripts[0].acts.lock().unwrap().push(Act::Refuse);
            let id = format!("r{n}");
            let told = setup.call(Method::POST, &id, &[]).await;
            assert_eq!((told.outcome.as_str(), setup.runs_of(&id)), ("ran", 1), "{told:?}");
            setup.scripts[0].acts.lock().unwrap().clear();
        }
        setup.stop().await;
    });
}

#[test]
fn a_repeat_gets_the_first_answer() {
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
fn a_repeat_of_an_unknown_result_is_not_run() {
    block_on(async {
        let setup = Setup::new(1).await;
        let key = [(wire::IDEMPOTENCY_KEY, "k1")];
        setup.script(&[Act::CutAfterRun]);
        let first = setup.call(Method::POST, "a", &key).await;
        let second = setup.call(Method::POST, "b", &key).await;
        assert_eq!((first.outcome.as_str(), second.outcome.as_str()), ("unknown", "unknown"));
        assert_eq!((setup.runs_of("a"), setup.runs_of("b")), (1, 0));
        assert_eq!(second.reason, "repeat");
        setup.stop().await;
    });
}

#[test]
fn a_request_proved_not_run_may_come_again() {
    block_on(async {
        let setup = Setup::new(1).await;
        let key = [(wire::IDEMPOTENCY_KEY, "k1"), (wire::TIME_LEFT_MS, "300")];
        setup.script(&[Act::Refuse; 64]);
        let first = setup.call(Method::POST, "a", &key).await;
        setup.script(&[]);
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
fn without_the_store_a_keyed_order_is_not_run() {
    block_on(async {
        let setup = Setup::new(1).await;
        setup.faults(json!({ "down": true })).await;
        let told = setup.call(Method::POST, "a", &[(wire::IDEMPOTENCY_KEY, "k1")]).await;
        assert_eq!((told.outcome.as_str(), told.retry_after), ("not-run", true), "{told:?}");
        assert_eq!(told.reason, "no-store");
        assert_eq!(setup.runs_of("a"), 0);
        setup.faults(json!({})).await;
        let told = setup.call(Method::POST, "b", &[(wire::IDEMPOTENCY_KEY, "k1")]).await;
        assert_eq!(told.outcome, "ran", "{told:?}");
        setup.stop().await;
    });
}

#[test]
fn a_claim_whose_answer_was_lost_is_settled() {
    block_on(async {
        let setup = Setup::new(1).await;
        setup.faults(json!({ "lose_answers": 1 })).await;
        let told = setup.call(Method::POST, "a", &[(wire::IDEMPOTENCY_KEY, "k1")]).await;
        assert_eq!((told.outcome.as_str(), setup.runs_of("a")), ("ran", 1), "{told:?}");
        setup.stop().await;
    });
}

/// Any sequence of acts: nothing non-idempotent runs twice, and what is told is true.
#[test]
fn fuzz_outcomes() {
    let config = ProptestConfig { rng_seed: RngSeed::Fixed(5), ..ProptestConfig::default() };
    let mut runner = proptest::test_runner::TestRunner::new(config);
    let act = proptest::sample::select(ACTS.to_vec());
    let acts = proptest::collection::vec(act, 0..6);
    let request = (any::<bool>(), proptest::option::of(0_u8..12), acts);
    let requests = proptest::collection::vec(request, 300).new_tree(&mut runner).unwrap().current();
    block_on(async {
        let setup = Setup::new(3).await;
        let mut key_runs: HashMap<u8, usize> = HashMap::new();
        for (n, (post, key, acts)) in requests.into_iter().enumerate() {
            setup.script(&acts);
            let id = format!("q{n}");
            let method = if post { Method::POST } else { Method::GET };
            let mut headers = vec![(wire::TIME_LEFT_MS, "150")];
            let name = key.map(|k| format!("key-{k}")).unwrap_or_default();
            if key.is_some() {
                headers.push((wire::IDEMPOTENCY_KEY, &name));
            }
            let told = setup.call(method, &id, &headers).await;
            let ran = setup.runs_of(&id);
            match told.outcome.as_str() {
                "not-run" => assert_eq!(ran, 0, "{id} {told:?}"),
                "ran" if key.is_none() || !post => assert!(ran >= 1, "{id} {told:?}"),
                _ => {}
            }
            if post {
                assert!(ran <= 1, "{id} ran {ran} times: {told:?}");
            }
            if let (true, Some(key)) = (post, key) {
                let total = key_runs.entry(key).or_default();
                *total += ran;
                assert!(*total <= 1, "key {key} ran {total} times: {told:?}");
            }
        }
        setup.stop().await;
    });
}
