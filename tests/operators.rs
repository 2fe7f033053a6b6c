//! What operators and auditors of mulberryd rely on, with real processes and `mulberryctl`.

mod support;

use hyper::{Method, StatusCode};
use serde_json::{Value, json};
use std::{
    path::Path,
    process::{Command, Output},
    time::{Duration, Instant},
};
use support::{Cluster, ClusterConfig, SECRET};

/// Time within which an accepted configuration must be in force on every instance.
const MAX_PROPAGATION_TIME: Duration = Duration::from_secs(9);

macro_rules! cases {
    ($($name:ident: $test:expr;)*) => {
        $(#[test] fn $name() { support::run_alone($test(stringify!($name))) })*
    };
}

cases! {
    concurrent_changes_have_one_winner: change_concurrently;
    lost_response_to_a_change_is_settled: lose_response;
    store_outage_is_reported: change_without_store;
    change_is_in_force_everywhere: change_everywhere;
    late_instance_gets_the_configuration_without_the_platform: start_late_instance;
    secret_is_required_and_not_logged: check_secret;
    malformed_changes_change_nothing: send_malformed_changes;
    commands_work_and_set_exit_codes: run_commands;
    audit_log_is_complete_and_detects_tampering: check_audit_log;
    slow_and_large_headers_are_rejected: send_slow_and_large_headers;
    other_data_centre_lost: lose_data_centre;
    data_centre_cut_from_platform: cut_off_data_centre;
    upstreams_that_do_not_check_grants: use_unchecked_upstreams;
    pinned_key_moves_alone: pin_key;
}

fn small_cluster() -> ClusterConfig {
    ClusterConfig { unkeyed_upstreams: 1, ..ClusterConfig::default() }
}

fn service(timeout_ms: u64) -> Value {
    json!({"kind": "Service", "name": "paperdesk", "timeout_ms": timeout_ms})
}

async fn change_concurrently(name: &str) {
    let cluster = Cluster::start(name, small_cluster()).await;
    for round in 0..10 {
        let list = cluster.call_admin(0, Method::GET, "/v1/resources", "").await.unwrap().1;
        let list: Value = serde_json::from_str(&list).unwrap();
        let current_version = list["resources"]
            .as_array()
            .unwrap()
            .iter()
            .find(|r| r["resource"]["name"] == "paperdesk" && r["resource"]["kind"] == "Service")
            .unwrap()["version"]
            .as_u64();
        let (one, two) = ([service(1_000 + round)], [service(2_000 + round)]);
        let (a, b) = tokio::join!(
            cluster.apply_resources(0, &one, current_version),
            cluster.apply_resources(1, &two, current_version)
        );
        let mut statuses = [a.0, b.0];
        statuses.sort();
        assert_eq!(statuses, [StatusCode::OK, StatusCode::CONFLICT], "{a:?} {b:?}");
        let loser = if a.0 == StatusCode::CONFLICT { a.1 } else { b.1 };
        let loser: Value = serde_json::from_str(&loser).unwrap();
        assert_eq!(loser["conflict"], "Service/paperdesk");
        assert!(loser["current"].as_u64() > current_version, "{loser}");
        wait_for_equal_revisions(&cluster).await;
    }
}

async fn wait_for_equal_revisions(cluster: &Cluster) -> u64 {
    let start = Instant::now();
    loop {
        let mut revisions = Vec::new();
        for instance in 0..cluster.instances.len() {
            revisions.push(cluster.status(instance).await.map(|s| s.revision));
        }
        if revisions.iter().all(|r| *r == revisions[0]) {
            return revisions[0].expect("a revision");
        }
        assert!(start.elapsed() < MAX_PROPAGATION_TIME, "{revisions:?}");
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}

async fn lose_response(name: &str) {
    let cluster = Cluster::start(name, small_cluster()).await;
    let before = wait_for_equal_revisions(&cluster).await;
    cluster.set_platform_faults(json!({ "lose_answers": 1 })).await;
    let (status, body) = cluster.apply_resources(0, &[service(1_234)], None).await;
    assert!(status.is_success(), "{body}");
    let reply: Value = serde_json::from_str(&body).unwrap();
    assert_eq!(reply["revision"], before + 1, "made once");
    assert_eq!(wait_for_equal_revisions(&cluster).await, before + 1);
}

async fn change_without_store(name: &str) {
    let cluster = Cluster::start(name, small_cluster()).await;
    let before = wait_for_equal_revisions(&cluster).await;
    cluster.set_platform_faults(json!({ "down": true })).await;
    let (status, body) = cluster.apply_resources(0, &[service(1_234)], None).await;
    assert_eq!(status, StatusCode::SERVICE_UNAVAILABLE, "{body}");
    cluster.set_platform_faults(json!({})).await;
    assert_eq!(wait_for_equal_revisions(&cluster).await, before);
}

async fn change_everywhere(name: &str) {
    let cfg = ClusterConfig {
        instances: vec!["dc-1", "dc-1", "dc-1", "dc-2", "dc-2"],
        ..small_cluster()
    };
    let cluster = Cluster::start(name, cfg).await;
    for round in 0..5 {
        let (status, body) =
            cluster.apply_resources(round % 5, &[service(1_000 + round as u64)], None).await;
        assert!(status.is_success(), "{body}");
        wait_for_equal_revisions(&cluster).await;
    }
}

async fn start_late_instance(name: &str) {
    let cfg = ClusterConfig { settings: json!({}), ..small_cluster() };
    let mut cluster = Cluster::start(name, cfg).await;
    let revision = wait_for_equal_revisions(&cluster).await;
    cluster.set_platform_faults(json!({ "down": true })).await;
    let peer = cluster.instances[0].peer.to_string();
    cluster.set_settings(json!({ "peers": [peer] }));
    let late = cluster.add_instance("entry-late", "dc-1");
    let start = Instant::now();
    loop {
        let status = cluster.status(late).await;
        let served = cluster.request(late, Method::GET, "/patterns/crane", &[]).await;
        let is_served = served.is_ok_and(|(s, _, _)| s.is_success());
        if status.is_some_and(|s| s.revision == revision) && is_served {
            return;
        }
        assert!(start.elapsed() < MAX_PROPAGATION_TIME);
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

async fn check_secret(name: &str) {
    let cluster = Cluster::start(name, small_cluster()).await;
    for credentials in [None, Some("Bearer wrong"), Some(SECRET)] {
        let mut req = hyper::Request::get("/v1/status").header("host", "admin");
        if let Some(value) = credentials {
            req = req.header("authorization", value);
        }
        let req = req.body(mulberryspur::http::full_body("")).unwrap();
        let admin = cluster.instances[0].admin;
        let timeout = Duration::from_secs(2);
        let res = mulberryspur::pool::call(&cluster.pool, "a", admin, req, timeout).await.unwrap();
        assert_eq!(res.0, StatusCode::UNAUTHORIZED, "{credentials:?}");
    }
    for path in ["/livez", "/readyz"] {
        let (status, _) = cluster.call_admin(0, Method::GET, path, "").await.unwrap();
        assert_eq!(status, StatusCode::OK, "{path}");
    }
    for instance in &cluster.instances {
        assert!(!instance.process.log_text().contains(SECRET));
    }
}

async fn send_malformed_changes(name: &str) {
    let cluster = Cluster::start(name, small_cluster()).await;
    let before = wait_for_equal_revisions(&cluster).await;
    let bodies = [
        "",
        "{",
        "[]",
        "{\"apply\": 1}",
        "{\"apply\": [{\"resource\": {\"kind\": \"Service\"}}]}",
        "{\"apply\": [{\"resource\": {\"kind\": \"Shop\", \"name\": \"a\"}}]}",
        "{\"apply\": [{\"resource\": {\"kind\": \"Service\", \"name\": \"ok\"}}, {\"resource\": \
          {\"kind\": \"Route\", \"name\": \"r\", \"service\": \"missing\", \"path\": \"/\"}}]}",
        "\u{0}\u{1}",
    ];
    for body in bodies {
        let (status, text) = cluster.call_admin(0, Method::POST, "/v1/change", body).await.unwrap();
        assert!(status.is_client_error(), "{body:?}: {status} {text}");
        let reply: Value = serde_json::from_str(&text).unwrap();
        assert!(reply["error"].as_str().is_some_and(|e| !e.is_empty()), "{body:?}: {text}");
    }
    assert_eq!(wait_for_equal_revisions(&cluster).await, before);
}

/// Runs the command-line tool.
fn run_ctl(cluster: &Cluster, args: &[&str]) -> Output {
    let admins: Vec<String> = cluster.instances.iter().map(|i| i.admin.to_string()).collect();
    Command::new(env!("CARGO_BIN_EXE_mulberryctl"))
        .args(["--admin", &admins.join(","), "--secret", SECRET])
        .args(args)
        .output()
        .expect("run the tool")
}

/// Runs the command-line tool, which must succeed, and returns its output.
fn run_ctl_ok(cluster: &Cluster, args: &[&str]) -> String {
    let out = run_ctl(cluster, args);
    let text = String::from_utf8_lossy(&out.stdout).into_owned();
    assert!(out.status.success(), "{args:?}: {text}{}", String::from_utf8_lossy(&out.stderr));
    text
}

/// Writes a file and returns its path.
fn write_file(dir: &Path, name: &str, text: &str) -> String {
    let file = dir.join(name);
    std::fs::write(&file, text).unwrap();
    file.display().to_string()
}

async fn run_commands(name: &str) {
    let cluster = Cluster::start(name, small_cluster()).await;
    let new = write_file(
        &cluster.dir,
        "new.jsonc",
        "// new\n{\"kind\": \"Service\", \"name\": \"late\"}",
    );
    assert_eq!(run_ctl(&cluster, &["diff", &new]).status.code(), Some(8));
    assert!(run_ctl_ok(&cluster, &["apply", &new, "--wait"]).contains("in force on 3 instances"));
    assert_eq!(run_ctl(&cluster, &["diff", &new]).status.code(), Some(0));
    assert_eq!(run_ctl(&cluster, &["apply", &new, "--expect", "0"]).status.code(), Some(3));
    assert!(run_ctl_ok(&cluster, &["get", "Service/late"]).contains("\"late\""));
    assert_eq!(run_ctl(&cluster, &["get", "Service/none"]).status.code(), Some(5));
    let bad = write_file(&cluster.dir, "bad.json", "{\"kind\": \"Service\",\n \"nam\": \"x\"}");
    let out = run_ctl(&cluster, &["apply", &bad]);
    assert_eq!(out.status.code(), Some(4));
    let text = String::from_utf8_lossy(&out.stderr).into_owned();
    assert!(text.contains("bad.json:2") && text.contains("`nam`"), "{text}");
    let listed = run_ctl_ok(&cluster, &["list", "Upstream", "-o", "json"]);
    let listed: Value = serde_json::from_str(&listed).unwrap();
    assert_eq!(listed["resources"].as_array().unwrap().len(), 4);
    run_ctl_ok(&cluster, &["drain", "fold-0", "--wait"]);
    run_ctl_ok(&cluster, &["undrain", "fold-0", "--wait"]);
    assert!(run_ctl_ok(&cluster, &["status"]).contains("foldbook@dc-1"));
    cluster.request(0, Method::GET, "/patterns/a", &[]).await.unwrap();
    assert!(run_ctl_ok(&cluster, &["burn"]).contains("foldbook: availability"));
    run_ctl_ok(&cluster, &["delete", "Service/late"]);
    assert!(run_ctl_ok(&cluster, &["completions", "bash"]).contains("mulberryctl"));
    assert_eq!(run_ctl(&cluster, &["nonsense"]).status.code(), Some(2));
}

async fn check_audit_log(name: &str) {
    let mut cluster = Cluster::start(name, small_cluster()).await;
    for n in 0..20 {
        let id = format!("order-{n}");
        let headers = [(mulberryspur::wire::REQUEST_ID, id.as_str())];
        cluster.request(n % 3, Method::POST, "/orders", &headers).await.unwrap();
    }
    tokio::time::sleep(Duration::from_millis(800)).await;
    // The lines of a killed instance are stored as well.
    cluster.instances[2].process.kill();
    cluster.instances.truncate(2);
    tokio::time::sleep(Duration::from_millis(500)).await;
    run_ctl_ok(&cluster, &["record", "verify"]);
    let shown = run_ctl_ok(&cluster, &["record", "show", "--event", "request"]);
    for n in 0..20 {
        assert!(shown.contains(&format!("\"order-{n}\"")), "order-{n} is missing");
    }
    assert!(run_ctl_ok(&cluster, &["record", "show"]).contains("\"ownership\""));
    let copy = cluster.dir.join("copy");
    run_ctl_ok(&cluster, &["record", "save", &copy.display().to_string()]);
    let verify = ["record", "verify", "--dir", &copy.display().to_string()];
    run_ctl_ok(&cluster, &verify);
    let chain = std::fs::read_dir(&copy).unwrap().next().unwrap().unwrap().path();
    let mut files: Vec<_> = std::fs::read_dir(&chain).unwrap().map(|f| f.unwrap().path()).collect();
    files.sort();
    let text = std::fs::read_to_string(&files[0]).unwrap();
    std::fs::write(&files[0], text.replacen("\"at\":", "\"at\":1", 1)).unwrap();
    assert_eq!(run_ctl(&cluster, &verify).status.code(), Some(7));
}

async fn send_slow_and_large_headers(name: &str) {
    use tokio::io::{AsyncReadExt, AsyncWriteExt};
    let settings = json!({"limits": {"header_read_ms": 300, "header_bytes": 8192}});
    let cluster = Cluster::start(name, ClusterConfig { settings, ..small_cluster() }).await;
    let mut slow = tokio::net::TcpStream::connect(cluster.instances[0].listen).await.unwrap();
    slow.write_all(b"GET /patterns/a HTTP/1.1\r\nhost: a\r\n").await.unwrap();
    let mut buf = Vec::new();
    let closed = tokio::time::timeout(Duration::from_secs(3), slow.read_to_end(&mut buf)).await;
    assert!(closed.is_ok(), "a connection without headers stays open");
    let mut large = tokio::net::TcpStream::connect(cluster.instances[0].listen).await.unwrap();
    let head = format!("GET / HTTP/1.1\r\nhost: a\r\nx: {}\r\n\r\n", "a".repeat(100_000));
    let _ = large.write_all(head.as_bytes()).await;
    let mut buf = [0; 64];
    let n = large.read(&mut buf).await.unwrap_or(0);
    let status_line = String::from_utf8_lossy(&buf[..n]).into_owned();
    assert!(n == 0 || status_line.starts_with("HTTP/1.1 431"), "{status_line}");
    let (status, _, _) = cluster.request(0, Method::GET, "/patterns/a", &[]).await.unwrap();
    assert_eq!(status, StatusCode::OK);
}

/// Requests for keys of a lost data centre are told at once that they did not run; other keys are
/// served.
async fn lose_data_centre(name: &str) {
    let cfg = ClusterConfig {
        instances: vec!["dc-1", "dc-1", "dc-2", "dc-2"],
        keyed_upstreams: vec!["dc-1", "dc-1", "dc-2", "dc-2"],
        ..small_cluster()
    };
    let mut cluster = Cluster::start(name, cfg).await;
    let mut homes = Vec::new();
    for n in 0..16 {
        let key = format!("key-{n}");
        let owner = cluster.owner(0, &key).await;
        homes.push((key, cluster.upstreams[owner].data_center.clone()));
    }
    for instance in [2, 3] {
        cluster.instances[instance].process.kill();
    }
    tokio::time::sleep(Duration::from_secs(4)).await;
    for (key, dc) in homes {
        let start = Instant::now();
        let path = format!("/patterns/{key}");
        let (status, headers, _) = cluster.request(0, Method::GET, &path, &[]).await.unwrap();
        if dc == "dc-1" {
            assert_eq!(status, StatusCode::OK, "{key}");
        } else {
            assert_eq!(status, StatusCode::SERVICE_UNAVAILABLE, "{key}");
            assert_eq!(headers[mulberryspur::wire::OUTCOME], "not-run");
            assert!(headers.contains_key("retry-after"));
            assert!(start.elapsed() < Duration::from_millis(500), "delayed: {:?}", start.elapsed());
        }
    }
}

/// A data centre that is cut off from the platform continues to serve its keys.
async fn cut_off_data_centre(name: &str) {
    let cfg = ClusterConfig {
        instances: vec!["dc-1", "dc-1", "dc-2", "dc-2"],
        keyed_upstreams: vec!["dc-1", "dc-1", "dc-2", "dc-2"],
        ..small_cluster()
    };
    let cluster = Cluster::start(name, cfg).await;
    cluster.set_platform_faults(json!({ "cut": ["dc-2"] })).await;
    let listen: Vec<_> = cluster.instances.iter().map(|i| i.listen).collect();
    let load = support::load::LoadGenerator::start(&listen, 4, 32, Duration::from_millis(5));
    tokio::time::sleep(Duration::from_secs(5)).await;
    let results = load.stop().await;
    let failed: Vec<_> = results.iter().filter(|r| r.status != Some(200)).collect();
    assert!(failed.is_empty(), "{failed:#?}");
    cluster.check_journals(&results);
}

/// Instances enforce ownership for upstreams that do not check grants.
async fn use_unchecked_upstreams(name: &str) {
    let cfg = ClusterConfig { fenced: false, ..ClusterConfig::default() };
    let mut cluster = Cluster::start(name, cfg).await;
    let owner = cluster.owner(0, "key-1").await;
    let listen: Vec<_> = cluster.instances.iter().map(|i| i.listen).collect();
    let load = support::load::LoadGenerator::start(&listen, 8, 64, Duration::from_millis(2));
    tokio::time::sleep(Duration::from_millis(500)).await;
    cluster.upstreams[owner].process.kill();
    tokio::time::sleep(Duration::from_secs(4)).await;
    for key in 0..64 {
        let path = format!("/patterns/key-{key}");
        let (status, _, _) = cluster.request(1, Method::GET, &path, &[]).await.unwrap();
        assert_eq!(status, StatusCode::OK, "{path}");
    }
    cluster.check_journals(&load.stop().await);
}

/// Pinning a key moves that key alone, and at no time has it two owners.
async fn pin_key(name: &str) {
    let cluster = Cluster::start(name, small_cluster()).await;
    let mut before = Vec::new();
    for n in 0..16 {
        before.push(cluster.owner(0, &format!("key-{n}")).await);
    }
    let target = (0..3).find(|n| *n != before[1]).unwrap();
    let listen: Vec<_> = cluster.instances.iter().map(|i| i.listen).collect();
    let load = support::load::LoadGenerator::start(&listen, 8, 16, Duration::from_millis(2));
    let to = cluster.upstreams[target].process.name.clone();
    run_ctl_ok(&cluster, &["pin", "foldbook", "key-1", "--to", &to, "--wait"]);
    tokio::time::sleep(Duration::from_secs(2)).await;
    let results = load.stop().await;
    let failed: Vec<_> = results.iter().filter(|r| r.status != Some(200)).collect();
    assert!(failed.is_empty(), "{failed:#?}");
    cluster.check_journals(&results);
    for (n, owner) in before.into_iter().enumerate() {
        let expected = if n == 1 { target } else { owner };
        assert_eq!(cluster.owner(2, &format!("key-{n}")).await, expected, "key-{n}");
    }
    run_ctl_ok(&cluster, &["unpin", "foldbook", "key-1", "--wait"]);
}

/// An invalid settings file is reported in one line, with an exit code.
#[test]
fn invalid_settings_are_reported_in_one_line() {
    let dir = std::env::temp_dir().join(format!("mulberryspur-settings-{}", std::process::id()));
    std::fs::create_dir_all(&dir).unwrap();
    let file = write_file(&dir, "bad.jsonc", "{\n  // no\n  \"instanc\": \"a\"\n}");
    let out =
        Command::new(env!("CARGO_BIN_EXE_mulberryd")).args(["check", &file]).output().unwrap();
    std::fs::remove_dir_all(&dir).unwrap();
    assert_eq!(out.status.code(), Some(1));
    let text = String::from_utf8_lossy(&out.stderr).into_owned();
    assert!(text.contains("bad.jsonc:3: field `instanc`"), "{text}");
    assert_eq!(text.lines().count(), 1, "{text}");
}
