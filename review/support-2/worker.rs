//! Workers: they register and beat, hold keys by grants, run requests, and write down what they see.

use super::{
    http::{self, Message},
    json::Json,
    record::Record,
    sleep_ms,
    store::Store,
};
use std::{
    io::{self, BufReader, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Condvar, Mutex},
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

pub const BEAT_MS: u64 = 870;

/// A request at work.
#[derive(Debug, Clone)]
pub struct Running {
    pub id: String,
    pub worker: String,
    pub key: Option<u16>,
    /// When the hold of its key runs out.
    pub hold_until: Instant,
}

/// A request that has reached a worker.
#[derive(Debug, Clone)]
pub struct Arrival {
    pub at: Instant,
    pub worker: String,
    pub id: String,
    /// `run`, or why it was turned away.
    pub fate: &'static str,
}

#[derive(Debug, Clone)]
struct Grant {
    worker: String,
    from: u16,
    to: u16,
    fence: u64,
    until: Instant,
}

/// What all workers have seen.
#[derive(Default)]
pub struct Journal {
    pub arrivals: Vec<Arrival>,
    pub running: Vec<Running>,
    grants: Vec<Grant>,
    /// Highest fence that a worker has seen on keys: worker, from, to, fence.
    fences: Vec<(String, u16, u16, u64)>,
    /// Number of answers to releases that are still to be sent a second time, late.
    pub doubles_left: u32,
    /// Answers to calls and requests, by worker.
    pub answers: Vec<(Instant, String)>,
    /// The next answer of more bytes is broken off after so many.
    pub break_off_at: Option<usize>,
    /// Worker and request of each answer that was broken off.
    pub broken_off: Vec<(String, String)>,
    /// Body of the request that ends each worker that begins to run it.
    pub poison: Option<Vec<u8>>,
    /// Workers that ended under a request: when, worker, request.
    pub ends: Vec<(Instant, String, String)>,
    /// Requests that were at work at a worker when it ended.
    pub lost: Vec<String>,
    /// Grants of keys on which another worker was still at work, before its hold would have run out.
    pub overlaps: Vec<String>,
}

impl Journal {
    fn is_poison(&self, body: &[u8]) -> bool {
        self.poison.as_ref().is_some_and(|p| p == body)
    }
}

#[derive(Clone, Default)]
pub struct SharedJournal(pub Arc<(Mutex<Journal>, Condvar)>);

impl SharedJournal {
    pub fn lock(&self) -> std::sync::MutexGuard<'_, Journal> {
        self.0.0.lock().unwrap()
    }
}

fn now_unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64
}

#[derive(Default)]
struct Status {
    /// When this life began.
    born: u64,
    leaving: bool,
    registered: bool,
    seq: u64,
    doubled: usize,
    released: usize,
    /// Rejects requests, with `Retry-After` in seconds.
    sheds: Option<u64>,
    /// Whether the process has ended.
    ended: bool,
    connections: Vec<TcpStream>,
}

#[derive(Clone)]
pub struct Worker {
    pub id: String,
    pub service: String,
    pub keyed: bool,
    pub work_ms: u64,
    pub zone: String,
    pub address: SocketAddr,
    capacity: usize,
    status: Arc<Mutex<Status>>,
    journal: SharedJournal,
    record: Record,
}

/// Of a connection: the bytes that are to be sent once more, after the next call has come.
type Extra = Option<Vec<u8>>;

/// Time from the arrival of the next call to the late extra answer.
const EXTRA_DELAY_MS: u64 = 20;

impl Worker {
    pub fn start(
        id: &str,
        service: &str,
        keyed: bool,
        work_ms: u64,
        journal: &SharedJournal,
        record: &Record,
    ) -> Self {
        let listener = http::bind("127.0.0.1");
        let address = listener.local_addr().expect("address");
        drop(listener);
        let status = Status { born: now_unix_ms(), ..Status::default() };
        let this = Self {
            id: id.to_owned(),
            service: service.to_owned(),
            keyed,
            work_ms,
            zone: "a".to_owned(),
            address,
            capacity: 6,
            status: Arc::new(Mutex::new(status)),
            journal: journal.clone(),
            record: record.clone(),
        };
        this.listen();
        this
    }

    /// Accepts connections until the process ends.
    fn listen(&self) {
        let listener = TcpListener::bind(self.address).expect("bind again");
        let worker = self.clone();
        thread::spawn(move || {
            let life = worker.status.lock().unwrap().born;
            for stream in listener.incoming().flatten() {
                let status = worker.status.lock().unwrap();
                if status.ended || status.born != life {
                    return;
                }
                drop(status);
                let _ = stream.set_nodelay(true);
                let worker = worker.clone();
                thread::spawn(move || {
                    if let Ok(writer) = stream.try_clone() {
                        let _ = worker.serve(BufReader::new(stream), writer);
                    }
                });
            }
        });
    }

    /// Registers, and beats from then on.
    pub fn register(&self, store: &Store) {
        self.status.lock().unwrap().registered = true;
        self.beat(store);
        let (worker, store) = (self.clone(), store.clone());
        thread::spawn(move || {
            loop {
                sleep_ms(BEAT_MS);
                if !worker.status.lock().unwrap().registered {
                    return;
                }
                worker.beat(&store);
            }
        });
    }

    fn beat(&self, store: &Store) {
        let mut status = self.status.lock().unwrap();
        if !status.registered {
            return;
        }
        status.seq += 1;
        let state = if status.leaving { "draining" } else { "ready" };
        let entry = format!(
            "{{\"service\":\"{}\",\"addr\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\
             \"capacity\":{},\"state\":\"{state}\",\"warmup-left\":\"0ms\",\"seq\":{},\
             \"born\":{}}}",
            self.service, self.address, self.zone, self.capacity, status.seq, status.born
        );
        store.write("servers", &self.id, Some(&entry));
    }

    /// Reports `draining`, and says so in its answers.
    pub fn drain(&self, store: &Store) {
        self.status.lock().unwrap().leaving = true;
        self.beat(store);
        self.record.line(format!("{} reports that it is draining", self.id));
    }

    /// Leaves without reporting `draining`: its entry is removed, and it serves on. Its answers say
    /// that it leaves.
    pub fn remove(&self, store: &Store) {
        let mut status = self.status.lock().unwrap();
        (status.leaving, status.registered) = (true, false);
        store.write("servers", &self.id, None);
        self.record.line(format!("the store has removed the entry of {}", self.id));
    }

    pub fn doubled(&self) -> usize {
        self.status.lock().unwrap().doubled
    }

    /// Returns how many releases it has answered.
    pub fn released(&self) -> usize {
        self.status.lock().unwrap().released
    }

    /// Turns requests away from now on, and asks to be left alone for some seconds.
    pub fn shed(&self, seconds: Option<u64>) {
        self.status.lock().unwrap().sheds = seconds;
    }

    /// Ends the process: its connections are reset or closed, and what runs there is lost.
    pub fn end(&self) {
        let mut status = self.status.lock().unwrap();
        (status.registered, status.ended) = (false, true);
        for connection in status.connections.drain(..) {
            let _ = connection.shutdown(Shutdown::Both);
        }
        let mut journal = self.journal.lock();
        let lost: Vec<String> =
            journal.running.iter().filter(|r| r.worker == self.id).map(|r| r.id.clone()).collect();
        journal.lost.extend(lost);
        self.record.line(format!("{} ends", self.id));
        drop((status, journal));
        // Wakes the thread that accepts connections, which closes the port.
        let _ = TcpStream::connect(self.address);
    }

    /// Brings the worker back after it has ended: a new life under the same identity and address.
    pub fn revive(&self, store: &Store) {
        let mut status = self.status.lock().unwrap();
        status.ended = false;
        status.born = now_unix_ms();
        drop(status);
        self.listen();
        self.record.line(format!("{} is back", self.id));
        self.register(store);
    }

    /// Stops and resumes the beats; the entry is removed as after three missed ones.
    pub fn lapse(&self, store: &Store) {
        let mut status = self.status.lock().unwrap();
        status.registered = false;
        store.write("servers", &self.id, None);
        self.record.line(format!("the entry of {} has lapsed", self.id));
    }

    fn serve(&self, mut reader: BufReader<TcpStream>, mut writer: TcpStream) -> io::Result<()> {
        let mut extra: Extra = None;
        {
            let mut status = self.status.lock().unwrap();
            if status.ended {
                return Ok(());
            }
            status.connections.push(writer.try_clone()?);
        }
        while let Some(req) = http::read_message(&mut reader)? {
            if let Some(bytes) = extra.take() {
                // An extra answer that arrives late, where the next one is expected.
                sleep_ms(EXTRA_DELAY_MS);
                self.record.line(format!("{} sends its former answer once more", self.id));
                writer.write_all(&bytes)?;
            }
            let bytes = self.answer(&req);
            if self
                .journal
                .lock()
                .broken_off
                .iter()
                .any(|(_, id)| req.header("x-request-id") == Some(id))
            {
                return self.break_off(&bytes, writer);
            }
            self.journal.lock().answers.push((Instant::now(), self.id.clone()));
            writer.write_all(&bytes)?;
            if req.path() == "/mulberryspur/release" {
                let mut status = self.status.lock().unwrap();
                status.released += 1;
                let mut journal = self.journal.lock();
                if journal.doubles_left > 0 {
                    journal.doubles_left -= 1;
                    status.doubled += 1;
                    extra = Some(bytes);
                }
            }
        }
        Ok(())
    }

    /// Sends a part of an answer, in pieces, and closes the connection.
    fn break_off(&self, bytes: &[u8], mut writer: TcpStream) -> io::Result<()> {
        for piece in bytes.chunks(256 * 1024) {
            writer.write_all(piece)?;
            sleep_ms(40);
        }
        self.record.line(format!("{} breaks off its answer after {} bytes", self.id, bytes.len()));
        writer.shutdown(Shutdown::Both)
    }

    fn answer(&self, req: &Message) -> Vec<u8> {
        // All answers repeat the identity of their request, if it has one.
        let id = req.header("x-request-id").unwrap_or_default().to_owned();
        let mut headers: Vec<(&str, &str)> = Vec::new();
        if !id.is_empty() {
            headers.push(("X-Request-Id", &id));
        }
        if self.status.lock().unwrap().leaving {
            headers.push(("Server-Leaving", "1"));
        }
        if req.header("x-expect-instance").is_some_and(|expected| expected != self.id) {
            headers.push(("X-Instance-Id", &self.id));
            headers.push(("X-Not-Executed", "1"));
            return http::response(421, &headers, b"");
        }
        match req.path() {
            "/mulberryspur/grant" => http::response(self.grant(req), &headers, b""),
            "/mulberryspur/release" => {
                let handover = self.release(req);
                headers.push(("X-Handover", &handover));
                http::response(200, &headers, b"")
            }
            "/health" => {
                headers.push(("X-Instance-Id", &self.id));
                let leaving = self.status.lock().unwrap().leaving;
                http::response(if leaving { 503 } else { 200 }, &headers, b"")
            }
            _ => self.run(req, &id, headers),
        }
    }

    fn grant(&self, req: &Message) -> u16 {
        let now = Instant::now();
        let Some(order) = std::str::from_utf8(&req.body).ok().and_then(Json::parse) else {
            return 400;
        };
        let key = |name| order.number(name).and_then(|n| u16::try_from(n).ok());
        let hold = order.text("hold_time");
        let hold = hold.strip_suffix("ms").and_then(|t| t.parse::<u64>().ok());
        let (Some(from), Some(to), Some(fence), Some(hold)) =
            (key("from"), key("to"), order.number("fence"), hold)
        else {
            return 400;
        };
        let until = now + Duration::from_millis(hold);
        let mut journal = self.journal.lock();
        let seen = journal
            .fences
            .iter()
            .filter(|(id, f, t, _)| *id == self.id && *f <= to && from <= *t)
            .map(|(.., fence)| *fence)
            .max();
        if seen.is_some_and(|seen| seen > fence) {
            return 409;
        }
        journal.fences.retain(|(id, f, t, _)| !(*id == self.id && *f == from && *t == to));
        journal.fences.push((self.id.clone(), from, to, fence));
        let is_new = !journal
            .grants
            .iter()
            .any(|g| g.worker == self.id && g.from == from && g.to == to && g.fence == fence);
        let at_work: Vec<Running> = journal
            .running
            .iter()
            .filter(|r| r.worker != self.id && r.hold_until > now)
            .filter(|r| r.key.is_some_and(|k| (from..=to).contains(&k)))
            .cloned()
            .collect();
        for r in at_work {
            let left = r.hold_until.saturating_duration_since(now).as_millis();
            let text = format!(
                "{} is granted {from}..{to} with fence {fence} while {} is at work on key {} \
                 for {}, whose hold lasts {left} ms more",
                self.id,
                r.worker,
                r.key.unwrap_or(0),
                r.id
            );
            self.record.line(format!("OWNER: {text}"));
            journal.overlaps.push(text);
        }
        journal
            .grants
            .retain(|g| !(g.worker == self.id && g.from == from && g.to == to) && g.until > now);
        journal.grants.push(Grant { worker: self.id.clone(), from, to, fence, until });
        for r in &mut journal.running {
            if r.worker == self.id && r.key.is_some_and(|k| (from..=to).contains(&k)) {
                r.hold_until = r.hold_until.max(until);
            }
        }
        if is_new {
            self.record.line(format!("{} accepts {from}..{to} with fence {fence}", self.id));
        }
        200
    }

    /// Stops new work on the keys, and waits for what is running on them.
    fn release(&self, req: &Message) -> String {
        let order = std::str::from_utf8(&req.body).ok().and_then(Json::parse);
        let order = order.unwrap_or(Json::Null);
        let key =
            |name, none| order.number(name).and_then(|n| u16::try_from(n).ok()).unwrap_or(none);
        let (from, to) = (key("from", 0), key("to", u16::MAX));
        let fence = order.number("fence").unwrap_or(0);
        let (journal, changed) = &*self.journal.0;
        let mut journal = journal.lock().unwrap();
        journal.fences.push((self.id.clone(), from, to, fence));
        let grants = std::mem::take(&mut journal.grants);
        for g in grants {
            if g.worker != self.id || g.from > to || g.to < from {
                journal.grants.push(g);
                continue;
            }
            if g.from < from {
                journal.grants.push(Grant { to: from - 1, ..g.clone() });
            }
            if g.to > to {
                journal.grants.push(Grant { from: to + 1, ..g });
            }
        }
        let is_running =
            |r: &Running| r.worker == self.id && r.key.is_some_and(|k| (from..=to).contains(&k));
        let busy = journal.running.iter().filter(|r| is_running(r)).count();
        self.record.line(format!(
            "{} is asked to release {from}..{to} with fence {fence}, {busy} requests run on it",
            self.id
        ));
        while journal.running.iter().any(is_running) {
            journal = changed.wait(journal).unwrap();
        }
        self.record.line(format!("{} answers the release of {from}..{to}", self.id));
        "5c0e7a21d94b36f8".to_owned()
    }

    fn run(&self, req: &Message, id: &str, common: Vec<(&str, &str)>) -> Vec<u8> {
        let (rest, load);
        let mut headers = common;
        let now = Instant::now();
        let key = req.header("x-shard-key").and_then(|k| k.parse::<u16>().ok());
        let key = key.filter(|_| self.keyed);
        let sheds = self.status.lock().unwrap().sheds;
        let (journal, changed) = &*self.journal.0;
        let mut locked = journal.lock().unwrap();
        let hold = locked
            .grants
            .iter()
            .filter(|g| g.worker == self.id && g.until > now)
            .filter(|g| key.is_some_and(|k| (g.from..=g.to).contains(&k)))
            .map(|g| g.until)
            .max();
        let own = locked.running.iter().filter(|r| r.worker == self.id).count();
        let fate = match (sheds, self.keyed && hold.is_none()) {
            (Some(_), _) => "sheds",
            (_, true) => "not the owner",
            _ if own >= self.capacity => "full",
            _ => "run",
        };
        let arrival = Arrival { at: now, worker: self.id.clone(), id: id.to_owned(), fate };
        locked.arrivals.push(arrival);
        self.record.line(format!("{} gets {id} ({fate})", self.id));
        if fate != "run" {
            drop(locked);
            headers.push(("X-Not-Executed", "1"));
            let status = if fate == "not the owner" { 421 } else { 503 };
            rest = sheds.unwrap_or(0).to_string();
            if fate == "sheds" {
                headers.push(("Retry-After", &rest));
            }
            return http::response(status, &headers, b"");
        }
        let running = Running {
            id: id.to_owned(),
            worker: self.id.clone(),
            key,
            hold_until: hold.unwrap_or(now),
        };
        locked.running.push(running);
        drop(locked);
        if self.journal.lock().is_poison(&req.body) {
            sleep_ms(30);
            self.journal.lock().ends.push((Instant::now(), self.id.clone(), id.to_owned()));
            self.end();
            return Vec::new();
        }
        let work = req.query("work").and_then(|w| w.parse().ok()).unwrap_or(self.work_ms);
        sleep_ms(work);
        let mut locked = journal.lock().unwrap();
        locked.running.retain(|r| !(r.worker == self.id && r.id == id));
        let own = locked.running.iter().filter(|r| r.worker == self.id).count();
        changed.notify_all();
        drop(locked);
        load = format!("{own},0,{}", self.capacity);
        headers.push(("X-Gateway-Signature", "3e1b.07.5a2.600.0.c9f2a4d1"));
        headers.push(("X-Server-Load", &load));
        let body = answer_body(id, &self.id);
        let bytes: usize = req.query("bytes").and_then(|n| n.parse().ok()).unwrap_or(0);
        let padding = ".".repeat(bytes.saturating_sub(body.len()));
        let body = body + &padding;
        let response = http::response(200, &headers, body.as_bytes());
        let mut journal = self.journal.lock();
        if bytes > 0 && journal.break_off_at.is_some_and(|at| at < response.len()) {
            let at = journal.break_off_at.take().unwrap_or(0);
            journal.broken_off.push((self.id.clone(), id.to_owned()));
            return response[..at].to_vec();
        }
        drop(journal);
        response
    }
}

/// Returns the whole body of a worker's answer to a request.
pub fn answer_body(id: &str, worker: &str) -> String {
    format!("order {id} was carried out by {worker}, 12 sheets of paper are on their way")
}
