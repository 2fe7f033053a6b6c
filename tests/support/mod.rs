//! Runs the programs of mulberryd as processes for tests and benches: daemons and stand-ins, with
//! callers and a checker of journals.

#![allow(dead_code)]

pub mod checker;
pub mod load;

use hyper::{HeaderMap, Method, Request, StatusCode};
use mulberryspur::{
    admin::Status,
    http,
    pool::{self, Pool},
};
use rustix::process::{Pid, Signal, kill_process};
use serde_json::{Value, json};
use std::{
    fs::File,
    net::SocketAddr,
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    time::{Duration, Instant},
};
use tokio::net::TcpSocket;

pub const SECRET: &str = "test-secret";
/// Time limit for a process or a controller to start.
const START_TIMEOUT: Duration = Duration::from_secs(20);
/// Time limit for a request and its response.
const CALL_TIMEOUT: Duration = Duration::from_secs(15);

/// Runs a test while no other test of the same file runs, so that they do not disturb each other's
/// timing.
pub fn run_alone(test: impl Future<Output = ()>) {
    static RUNNING: tokio::sync::Mutex<()> = tokio::sync::Mutex::const_new(());
    let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build().unwrap();
    runtime.block_on(async {
        let _running = RUNNING.lock().await;
        test.await;
    });
}

/// A child process that is killed when dropped.
#[derive(Debug)]
pub struct Process {
    pub name: String,
    child: Child,
    log: PathBuf,
}

impl Process {
    fn start(name: &str, program: &str, args: &[String], dir: &Path) -> Self {
        let log = dir.join(format!("{name}.log"));
        let out = File::create(&log).expect("create log");
        let err = out.try_clone().expect("clone log");
        let child = Command::new(program)
            .args(args)
            .stdin(Stdio::null())
            .stdout(out)
            .stderr(err)
            .spawn()
            .expect("start process");
        Self { name: name.to_owned(), child, log }
    }

    /// Waits until the log has a line for which `f` returns a value, and returns that value.
    fn wait_for_log_line<T>(&self, f: impl Fn(&str) -> Option<T>) -> T {
        let start = Instant::now();
        loop {
            let text = std::fs::read_to_string(&self.log).unwrap_or_default();
            if let Some(found) = text.lines().find_map(&f) {
                return found;
            }
            assert!(start.elapsed() < START_TIMEOUT, "{} did not start: {text}", self.name);
            std::thread::sleep(Duration::from_millis(10));
        }
    }

    pub fn id(&self) -> u32 {
        self.child.id()
    }

    pub fn signal(&self, signal: Signal) {
        let pid = i32::try_from(self.child.id()).ok().and_then(Pid::from_raw).expect("pid");
        let _ = kill_process(pid, signal);
    }

    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Asks the process to stop and returns its exit code.
    pub fn terminate(&mut self) -> Option<i32> {
        self.signal(Signal::TERM);
        self.child.wait().expect("wait").code()
    }

    pub fn log_text(&self) -> String {
        std::fs::read_to_string(&self.log).unwrap_or_default()
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

#[derive(Debug)]
pub struct UpstreamProcess {
    pub process: Process,
    pub addr: SocketAddr,
    pub service: String,
    pub data_center: String,
}

#[derive(Debug)]
pub struct InstanceProcess {
    pub process: Process,
    pub listen: SocketAddr,
    pub admin: SocketAddr,
    pub peer: SocketAddr,
}

/// What a cluster consists of.
#[derive(Debug, Clone)]
pub struct ClusterConfig {
    /// Data centre of each instance of mulberryd.
    pub instances: Vec<&'static str>,
    /// Data centre of each upstream of the service `foldbook`, whose upstreams own keys.
    pub keyed_upstreams: Vec<&'static str>,
    /// Number of upstreams of the service `paperdesk`, whose requests have no keys.
    pub unkeyed_upstreams: usize,
    pub slots: u32,
    /// Whether upstreams that own keys check grants.
    pub fenced: bool,
    /// Whether upstreams keep journals.
    pub journal: bool,
    /// Additional settings of the instances.
    pub settings: Value,
}

impl Default for ClusterConfig {
    fn default() -> Self {
        Self {
            instances: vec!["dc-1"; 3],
            keyed_upstreams: vec!["dc-1"; 3],
            unkeyed_upstreams: 2,
            slots: 32,
            fenced: true,
            journal: true,
            settings: json!({}),
        }
    }
}

/// Running processes that work together.
#[derive(Debug)]
pub struct Cluster {
    pub dir: PathBuf,
    pub platform: Process,
    pub platform_addr: SocketAddr,
    pub upstreams: Vec<UpstreamProcess>,
    pub instances: Vec<InstanceProcess>,
    pub pool: Pool,
    cfg: ClusterConfig,
}

fn start_standin(name: &str, args: &[&str], dir: &Path) -> (Process, SocketAddr) {
    let args: Vec<String> = args.iter().map(|a| (*a).to_owned()).collect();
    let process = Process::start(name, env!("CARGO_BIN_EXE_mulberry-standin"), &args, dir);
    let addr = process.wait_for_log_line(|l| l.strip_prefix("listening on ")?.parse().ok());
    (process, addr)
}

/// Returns loopback addresses that nobody listens on. The sockets do not listen themselves: a process
/// that is started meanwhile holds copies of them until it runs its program.
fn free_addresses() -> [SocketAddr; 3] {
    let bind = || {
        let socket = TcpSocket::new_v4().expect("socket");
        socket.set_reuseaddr(true).expect("socket option");
        socket.bind(SocketAddr::from(([127, 0, 0, 1], 0))).expect("a free port");
        socket
    };
    [bind(), bind(), bind()].map(|s| s.local_addr().expect("an address"))
}

impl Cluster {
    /// Starts everything, applies the resources and waits until keys are served.
    pub async fn start(name: &str, cfg: ClusterConfig) -> Self {
        let this = Self::start_without_resources(name, cfg);
        this.apply_all_resources().await;
        this.wait_until_served(Duration::from_secs(15)).await;
        this
    }

    /// Starts everything and applies no resources.
    pub fn start_without_resources(name: &str, cfg: ClusterConfig) -> Self {
        let unique = format!("mulberryspur-{name}-{}", std::process::id());
        let dir = std::env::temp_dir().join(unique);
        let _ = std::fs::remove_dir_all(&dir);
        std::fs::create_dir_all(&dir).expect("create directory");
        let (platform, platform_addr) = start_standin("platform", &["platform"], &dir);
        let mut this = Self {
            dir,
            platform,
            platform_addr,
            upstreams: Vec::new(),
            instances: Vec::new(),
            pool: Pool::new(256),
            cfg,
        };
        let cfg = this.cfg.clone();
        for (n, dc) in cfg.keyed_upstreams.iter().enumerate() {
            this.add_upstream(&format!("fold-{n}"), "foldbook", dc, cfg.fenced, None);
        }
        for n in 0..cfg.unkeyed_upstreams {
            this.add_upstream(&format!("paper-{n}"), "paperdesk", "dc-1", false, None);
        }
        for (n, dc) in cfg.instances.iter().enumerate() {
            this.add_instance(&format!("entry-{n}"), dc);
        }
        this
    }

    pub fn add_upstream(
        &mut self,
        name: &str,
        service: &str,
        data_center: &str,
        fenced: bool,
        addr: Option<SocketAddr>,
    ) {
        let journal = self.dir.join(format!("{name}.journal"));
        let listen = addr.map_or_else(|| "127.0.0.1:0".to_owned(), |a| a.to_string());
        let mut args = vec!["upstream", "--name", name, "--listen", &listen];
        if self.cfg.journal {
            args.extend(["--journal", journal.to_str().unwrap()]);
        }
        if fenced {
            args.push("--fenced");
        }
        let (process, addr) = start_standin(name, &args, &self.dir);
        self.upstreams.push(UpstreamProcess {
            process,
            addr,
            service: service.to_owned(),
            data_center: data_center.to_owned(),
        });
    }

    pub fn add_instance(&mut self, name: &str, data_center: &str) -> usize {
        let [listen, admin, peer] = free_addresses();
        let mut settings = json!({
            "instance": name, "data_center": data_center,
            "rack": format!("rack-{name}"),
            "listen": listen, "admin": admin, "peer": peer,
            "platform": self.platform_addr.to_string(), "secret": SECRET,
        });
        let extra = self.cfg.settings.as_object().cloned().unwrap_or_default();
        settings.as_object_mut().unwrap().extend(extra);
        let file = self.dir.join(format!("{name}.json"));
        std::fs::write(&file, settings.to_string()).expect("write settings");
        let args = ["--settings".to_owned(), file.display().to_string()];
        let process = Process::start(name, env!("CARGO_BIN_EXE_mulberryd"), &args, &self.dir);
        let instance = InstanceProcess { process, listen, admin, peer };
        let start = Instant::now();
        while std::net::TcpStream::connect(admin).is_err() {
            let text = instance.process.log_text();
            assert!(start.elapsed() < START_TIMEOUT, "{name} did not start: {text}");
            std::thread::sleep(Duration::from_millis(10));
        }
        self.instances.push(instance);
        self.instances.len() - 1
    }

    /// Replaces the additional settings of instances that are added from now on.
    pub fn set_settings(&mut self, settings: Value) {
        self.cfg.settings = settings;
    }

    /// Returns the resources that describe the running upstreams and their services.
    pub fn resources(&self) -> Vec<Value> {
        let mut homes = self.cfg.keyed_upstreams.clone();
        homes.sort_unstable();
        homes.dedup();
        let mut all = vec![
            json!({"kind": "Service", "name": "foldbook", "timeout_ms": 8000}),
            json!({"kind": "Service", "name": "paperdesk", "timeout_ms": 8000}),
            json!({"kind": "Route", "name": "foldbook", "service": "foldbook",
                   "path": "/patterns", "key": {"path_segment": 1}}),
            json!({"kind": "Route", "name": "paperdesk", "service": "paperdesk",
                   "path": "/orders"}),
        ];
        if !homes.is_empty() {
            all.push(json!({"kind": "Ownership", "service": "foldbook",
                            "slots": self.cfg.slots, "homes": homes}));
        }
        all.extend(self.upstreams.iter().map(|u| self.upstream_resource(u)));
        all
    }

    fn upstream_resource(&self, u: &UpstreamProcess) -> Value {
        let keyed = u.service == "foldbook";
        // Without an `Ownership`, as for `paperdesk`, the value has no effect.
        let fencing = if keyed && !self.cfg.fenced { "unchecked" } else { "checked" };
        json!({"kind": "Upstream", "name": u.process.name, "service": u.service,
               "address": u.addr.to_string(), "data_center": u.data_center, "fencing": fencing})
    }

    pub async fn apply_all_resources(&self) {
        let (status, body) = self.apply_resources(0, &self.resources(), None).await;
        assert!(status.is_success(), "{status}: {body}");
    }

    /// Applies resources through one instance, each only at version `expect` if one is given.
    pub async fn apply_resources(
        &self,
        instance: usize,
        resources: &[Value],
        expect: Option<u64>,
    ) -> (StatusCode, String) {
        let item = |r: &Value| match expect {
            Some(v) => json!({"expect": v, "resource": r}),
            None => json!({"resource": r}),
        };
        let apply: Vec<Value> = resources.iter().map(item).collect();
        let body = json!({ "apply": apply }).to_string();
        self.call_admin(instance, Method::POST, "/v1/change", &body)
            .await
            .expect("response of the admin address")
    }

    pub async fn call_admin(
        &self,
        instance: usize,
        method: Method,
        path: &str,
        body: &str,
    ) -> mulberryspur::Result<(StatusCode, String)> {
        let req = Request::builder()
            .method(method)
            .uri(path)
            .header("host", "admin")
            .header("authorization", format!("Bearer {SECRET}"))
            .body(http::full_body(body.to_owned()))
            .unwrap();
        let addr = self.instances[instance].admin;
        let (status, _, bytes) = pool::call(&self.pool, "admin", addr, req, CALL_TIMEOUT).await?;
        Ok((status, String::from_utf8_lossy(&bytes).into_owned()))
    }

    pub async fn status(&self, instance: usize) -> Option<Status> {
        let (_, body) = self.call_admin(instance, Method::GET, "/v1/status", "").await.ok()?;
        serde_json::from_str(&body).ok()
    }

    /// Sends one request to an instance.
    pub async fn request(
        &self,
        instance: usize,
        method: Method,
        path: &str,
        headers: &[(&str, &str)],
    ) -> mulberryspur::Result<(StatusCode, HeaderMap, String)> {
        let listen = self.instances[instance].listen;
        let (status, headers, bytes) =
            send(&self.pool, listen, method, path, headers, CALL_TIMEOUT).await?;
        Ok((status, headers, String::from_utf8_lossy(&bytes).into_owned()))
    }

    /// Waits until every instance serves 8 keys.
    pub async fn wait_until_served(&self, timeout: Duration) {
        let start = Instant::now();
        for instance in 0..self.instances.len() {
            for key in 0..8 {
                let path = format!("/patterns/key-{key}");
                loop {
                    let res = self.request(instance, Method::GET, &path, &[]).await;
                    if res.is_ok_and(|(status, _, _)| status.is_success()) {
                        break;
                    }
                    assert!(start.elapsed() < timeout, "instance {instance} does not serve {path}");
                    tokio::time::sleep(Duration::from_millis(20)).await;
                }
            }
        }
    }

    /// Sets the platform's faults.
    pub async fn set_platform_faults(&self, faults: Value) {
        control(self.platform_addr, "/standin/faults", &faults).await;
    }

    /// Returns the index of the instance that controls a cell, and that of its first standby.
    pub async fn controller(&self, cell: &str) -> (usize, Option<usize>) {
        let start = Instant::now();
        loop {
            for instance in 0..self.instances.len() {
                let Some(status) = self.status(instance).await else { continue };
                let Some(c) = status.cells.iter().find(|c| c.cell == cell) else { continue };
                let index = |name: &str| self.instances.iter().position(|i| i.process.name == name);
                if let Some(controller) = index(&c.controller) {
                    return (controller, c.standbys.first().and_then(|s| index(s)));
                }
            }
            assert!(start.elapsed() < START_TIMEOUT, "no controller of {cell}");
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    }

    /// Returns the index of the upstream that serves a key.
    pub async fn owner(&self, instance: usize, key: &str) -> usize {
        let path = format!("/patterns/{key}");
        let (_, _, body) = self.request(instance, Method::GET, &path, &[]).await.expect("response");
        // A response of the stand-in for an upstream begins with the upstream's name.
        let name = body.split(' ').next().unwrap_or_default().to_owned();
        self.upstreams.iter().position(|u| u.process.name == name).unwrap_or_else(|| {
            panic!("no upstream {name:?}: {body}");
        })
    }

    /// Checks all journals and what callers were told for violations.
    pub fn check_journals(&self, results: &[load::RequestResult]) {
        let violations = checker::find_violations(&self.dir, results);
        assert!(violations.is_empty(), "{violations:#?}");
    }
}

impl Drop for Cluster {
    fn drop(&mut self) {
        self.instances.clear();
        self.upstreams.clear();
        if !std::thread::panicking() {
            let _ = std::fs::remove_dir_all(&self.dir);
        }
    }
}

/// Sends a control request to a stand-in on a new connection. The stand-in might close an idle one
/// just as the request arrives; `pool::call` would then fail, since it does not send a request again
/// that may have been processed.
pub async fn control(addr: SocketAddr, path: &str, body: &Value) {
    let req = Request::put(path)
        .header("host", "standin")
        .body(http::full_body(body.to_string()))
        .unwrap();
    let called = pool::call(&Pool::new(1), "control", addr, req, CALL_TIMEOUT).await;
    let (status, _, text) = called.expect("response of the stand-in");
    assert!(status.is_success(), "{status}: {text:?}");
}

/// Sends one request and reads the whole response.
pub async fn send(
    pool: &Pool,
    addr: SocketAddr,
    method: Method,
    path: &str,
    headers: &[(&str, &str)],
    timeout: Duration,
) -> mulberryspur::Result<(StatusCode, HeaderMap, bytes::Bytes)> {
    let mut req = Request::builder().method(method).uri(path).header("host", "caller");
    for (name, value) in headers {
        req = req.header(*name, *value);
    }
    let req = req.body(http::full_body("")).unwrap();
    pool::call(pool, "request", addr, req, timeout).await
}
