//! Machines of the system: the program of the deploy file as a process, with settings in the form
//! of `platform/settings.jsonc.template`.

use super::{http, record::Record, sleep_ms};
use std::{
    fs::File,
    net::{SocketAddr, TcpListener},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::{
        Mutex,
        atomic::{AtomicU32, Ordering},
    },
    time::{Duration, Instant},
};

/// The command of the deploy file, from the root of the repository.
const PROGRAM: &str = "target/release/mulberryspur-platform";

/// Each machine has a loopback address of its own, as all serve metrics on one port.
static NEXT_IP: AtomicU32 = AtomicU32::new(0);

/// Processes that were started and not ended.
static CHILDREN: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Ends all processes that were started.
pub fn kill_all() {
    let ids: Vec<u32> = std::mem::take(&mut *CHILDREN.lock().unwrap());
    for id in ids {
        let _ = Command::new("kill").arg("-KILL").arg(id.to_string()).status();
    }
}

pub struct Machine {
    pub name: String,
    pub front: SocketAddr,
    pub ready: SocketAddr,
    pub control: SocketAddr,
    zone: String,
    store: SocketAddr,
    max_hold: &'static str,
    dir: PathBuf,
    pub seeds: Vec<SocketAddr>,
    bootstrap: bool,
    child: Option<Child>,
    record: Record,
}

fn free_ip() -> String {
    let base = std::process::id() % 200;
    loop {
        let n = NEXT_IP.fetch_add(1, Ordering::Relaxed);
        let ip = format!("127.{}.{}.{}", 20 + base, 1 + n / 200, 1 + n % 200);
        if TcpListener::bind(format!("{ip}:9464")).is_ok() {
            return ip;
        }
    }
}

impl Machine {
    pub fn new(dir: &Path, name: &str, zone: &str, store: SocketAddr, record: &Record) -> Self {
        let ip = free_ip();
        // Below the ports that the kernel gives to outgoing connections.
        let base = 10_000 + (std::process::id() % 10_000) as u16;
        let address = |n| SocketAddr::new(ip.parse().expect("address"), base + n);
        let (front, ready, control) = (address(1), address(2), address(3));
        Self {
            name: name.to_owned(),
            front,
            ready,
            control,
            zone: zone.to_owned(),
            store,
            max_hold: "10000ms",
            dir: dir.to_owned(),
            seeds: vec![control],
            bootstrap: true,
            child: None,
            record: record.clone(),
        }
    }

    /// Starts the process.
    pub fn start(&mut self) {
        let path = self.dir.join(format!("{}.jsonc", self.name));
        let seeds: Vec<String> = self.seeds.iter().map(|a| format!("\"{a}\"")).collect();
        let text = format!(
            "{{\"instance\": \"{}\", \"data_center\": \"{}\", \"processor_share\": 1.0, \
             \"cores\": 1, \"callers\": \"{}\", \"balancer\": \"{}\", \"instances\": \"{}\", \
             \"seeds\": [{}], \"address\": \"{}\", \"store\": \"{}\", \"first_start\": {}, \
             \"max_hold\": \"{}\", \"grace\": \"6s\", \"retry_ratio\": 0.2, \
             \"retry_reserve\": 64}}\n",
            self.name,
            self.zone,
            self.front,
            self.ready,
            self.control,
            seeds.join(", "),
            self.front.ip(),
            self.store,
            self.bootstrap,
            self.max_hold
        );
        std::fs::write(&path, text).expect("write settings");
        let log = self.dir.join(format!("{}.log", self.name));
        let log = File::options().create(true).append(true).open(log).expect("open log");
        let child = Command::new(PROGRAM)
            .env("MULBERRYSPUR_BOOT", &path)
            .stdout(log.try_clone().expect("log"))
            .stderr(log)
            .stdin(Stdio::null())
            .spawn();
        let child = child.expect("start the program of the deploy file");
        CHILDREN.lock().unwrap().push(child.id());
        self.child = Some(child);
        self.bootstrap = false;
        self.record.line(format!("{} started", self.name));
    }

    /// Ends the process with SIGKILL.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
            CHILDREN.lock().unwrap().retain(|id| *id != child.id());
            self.record.line(format!("{} killed", self.name));
        }
    }

    /// Sends a signal by its name, such as `STOP`.
    pub fn signal(&self, signal: &str) {
        if let Some(child) = &self.child {
            let id = child.id().to_string();
            let _ = Command::new("kill").arg(format!("-{signal}")).arg(id).status();
            self.record.line(format!("{} gets SIG{signal}", self.name));
        }
    }

    pub fn id(&self) -> u32 {
        self.child.as_ref().map_or(0, Child::id)
    }

    pub fn is_running(&mut self) -> bool {
        self.child.as_mut().is_some_and(|c| matches!(c.try_wait(), Ok(None)))
    }

    pub fn is_ready(&self) -> bool {
        let head = format!("GET /mulberryspur/ready HTTP/1.1\r\nHost: {}\r\n\r\n", self.ready);
        http::call(self.ready, &head, b"").is_some_and(|r| r.status() == 200)
    }

    pub fn wait_until_ready(&self, limit: Duration) -> bool {
        let end = Instant::now() + limit;
        while Instant::now() < end {
            if self.is_ready() {
                return true;
            }
            sleep_ms(20);
        }
        false
    }

    pub fn log(&self) -> String {
        std::fs::read_to_string(self.dir.join(format!("{}.log", self.name))).unwrap_or_default()
    }
}

impl Drop for Machine {
    fn drop(&mut self) {
        self.kill();
    }
}

/// A temporary folder that is removed at the end.
pub struct TempDir(pub PathBuf);

impl TempDir {
    pub fn new(name: &str) -> Self {
        let path = std::env::temp_dir().join(format!("mulberryspur-{name}-{}", std::process::id()));
        std::fs::create_dir_all(&path).expect("create folder");
        Self(path)
    }
}

impl Drop for TempDir {
    fn drop(&mut self) {
        if std::env::var_os("KEEP").is_none() {
            let _ = std::fs::remove_dir_all(&self.0);
        }
    }
}
