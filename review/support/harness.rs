//! Stand-ins for the platform's store, for servers and for clients, and the start of instances of
//! `mulberryspur-platform`. Only the standard library is used.
#![allow(dead_code)]

use std::{
    collections::BTreeMap,
    fs::File,
    io::{self, BufRead, BufReader, Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::{
        atomic::{AtomicU64, Ordering},
        Arc, Condvar, Mutex,
    },
    thread,
    time::{Duration, Instant},
};

/// Returns whether the run is one with the disruption.
pub fn trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |v| v != "0")
}

// ---------------------------------------------------------------- record

/// Writes what was sent, answered and run, with seconds since the start.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    started: Instant,
}

impl Record {
    pub fn create(dir: &Path) -> Self {
        let file = File::create(dir.join("record.txt")).expect("create record.txt");
        Self { file: Arc::new(Mutex::new(file)), started: Instant::now() }
    }

    pub fn line(&self, text: &str) {
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{:9.3} {text}", self.started.elapsed().as_secs_f64());
    }

    /// The same, and prints the line.
    pub fn say(&self, text: &str) {
        let _ = writeln!(io::stdout(), "{text}");
        self.line(text);
    }
}

// ---------------------------------------------------------------- JSON

#[derive(Debug, Clone, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Number(String),
    Text(String),
    List(Vec<Json>),
    Map(Vec<(String, Json)>),
}

impl Json {
    pub fn parse(text: &[u8]) -> Option<Self> {
        let mut at = 0;
        let value = parse_value(text, &mut at)?;
        Some(value)
    }

    pub fn get(&self, name: &str) -> &Json {
        match self {
            Json::Map(fields) => {
                fields.iter().find(|(n, _)| n == name).map_or(&Json::Null, |(_, v)| v)
            }
            _ => &Json::Null,
        }
    }

    pub fn text(&self) -> &str {
        match self {
            Json::Text(t) => t,
            _ => "",
        }
    }

    pub fn number(&self) -> u64 {
        match self {
            Json::Number(n) => n.parse().unwrap_or(0),
            _ => 0,
        }
    }

    pub fn list(&self) -> &[Json] {
        match self {
            Json::List(l) => l,
            _ => &[],
        }
    }
}

fn skip_space(s: &[u8], at: &mut usize) {
    while s.get(*at).is_some_and(u8::is_ascii_whitespace) {
        *at += 1;
    }
}

fn parse_value(s: &[u8], at: &mut usize) -> Option<Json> {
    skip_space(s, at);
    match s.get(*at)? {
        b'{' => {
            *at += 1;
            let mut fields = Vec::new();
            loop {
                skip_space(s, at);
                if s.get(*at)? == &b'}' {
                    *at += 1;
                    return Some(Json::Map(fields));
                }
                if s.get(*at)? == &b',' {
                    *at += 1;
                    skip_space(s, at);
                }
                let Json::Text(name) = parse_value(s, at)? else { return None };
                skip_space(s, at);
                *at += 1; // the colon
                fields.push((name, parse_value(s, at)?));
            }
        }
        b'[' => {
            *at += 1;
            let mut list = Vec::new();
            loop {
                skip_space(s, at);
                match s.get(*at)? {
                    b']' => {
                        *at += 1;
                        return Some(Json::List(list));
                    }
                    b',' => *at += 1,
                    _ => list.push(parse_value(s, at)?),
                }
            }
        }
        b'"' => {
            *at += 1;
            let mut text = Vec::new();
            loop {
                match *s.get(*at)? {
                    b'"' => {
                        *at += 1;
                        return Some(Json::Text(String::from_utf8(text).ok()?));
                    }
                    b'\\' => {
                        *at += 1;
                        match *s.get(*at)? {
                            b'n' => text.push(b'\n'),
                            b't' => text.push(b'\t'),
                            b'u' => {
                                let hex = std::str::from_utf8(s.get(*at + 1..*at + 5)?).ok()?;
                                let c = char::from_u32(u32::from_str_radix(hex, 16).ok()?)?;
                                text.extend(c.to_string().bytes());
                                *at += 4;
                            }
                            c => text.push(c),
                        }
                        *at += 1;
                    }
                    c => {
                        text.push(c);
                        *at += 1;
                    }
                }
            }
        }
        _ => {
            let start = *at;
            while s.get(*at).is_some_and(|c| !b",]} \n\r\t".contains(c)) {
                *at += 1;
            }
            let word = std::str::from_utf8(&s[start..*at]).ok()?;
            Some(match word {
                "null" => Json::Null,
                "true" => Json::Bool(true),
                "false" => Json::Bool(false),
                _ => Json::Number(word.to_owned()),
            })
        }
    }
}

pub fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = String::new();
    for part in bytes.chunks(3) {
        let n = part.iter().fold(0u32, |n, b| n << 8 | u32::from(*b)) << (8 * (3 - part.len()));
        for i in 0..4 {
            let digit = DIGITS[(n >> (18 - 6 * i)) as usize & 63];
            out.push(if i <= part.len() { digit as char } else { '=' });
        }
    }
    out
}

// ---------------------------------------------------------------- HTTP

#[derive(Debug, Clone)]
pub struct Req {
    pub method: String,
    pub path: String,
    pub query: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Req {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(n, _)| n == name).map(|(_, v)| v.as_str())
    }

    /// Returns a parameter of the query, percent-decoded.
    pub fn param(&self, name: &str) -> String {
        let pairs = self.query.split('&').filter_map(|p| p.split_once('='));
        let value = pairs.filter(|(n, _)| *n == name).map(|(_, v)| v).next().unwrap_or_default();
        let (mut out, bytes, mut at) = (Vec::new(), value.as_bytes(), 0);
        while at < bytes.len() {
            if bytes[at] == b'%' && at + 2 < bytes.len() {
                out.push(u8::from_str_radix(&value[at + 1..at + 3], 16).unwrap_or(b'?'));
                at += 3;
            } else {
                out.push(bytes[at]);
                at += 1;
            }
        }
        String::from_utf8_lossy(&out).into_owned()
    }
}

fn invalid(text: &str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, text)
}

fn read_head(stream: &mut impl BufRead) -> io::Result<Option<(String, Vec<(String, String)>)>> {
    let mut first = String::new();
    if stream.read_line(&mut first)? == 0 {
        return Ok(None);
    }
    let mut headers = Vec::new();
    loop {
        let mut line = String::new();
        if stream.read_line(&mut line)? == 0 {
            return Err(invalid("head ends early"));
        }
        let line = line.trim_end();
        if line.is_empty() {
            return Ok(Some((first.trim_end().to_owned(), headers)));
        }
        let (name, value) = line.split_once(':').ok_or_else(|| invalid("header"))?;
        headers.push((name.to_ascii_lowercase(), value.trim().to_owned()));
    }
}

/// Reads one request; `None` at the end of the connection.
pub fn read_request(stream: &mut impl BufRead) -> io::Result<Option<Req>> {
    let Some((first, headers)) = read_head(stream)? else {
        return Ok(None);
    };
    let mut words = first.split(' ');
    let method = words.next().unwrap_or_default().to_owned();
    let target = words.next().unwrap_or_default();
    let (path, query) = target.split_once('?').unwrap_or((target, ""));
    let mut req =
        Req { method, path: path.to_owned(), query: query.to_owned(), headers, body: Vec::new() };
    if let Some(n) = req.header("content-length").and_then(|v| v.parse().ok()) {
        let mut body = vec![0; n];
        stream.read_exact(&mut body)?;
        req.body = body;
    } else if req.header("transfer-encoding").is_some() {
        loop {
            let mut line = String::new();
            stream.read_line(&mut line)?;
            let n = usize::from_str_radix(line.trim(), 16).map_err(|_| invalid("chunk"))?;
            let mut chunk = vec![0; n + 2];
            stream.read_exact(&mut chunk)?;
            if n == 0 {
                break;
            }
            req.body.extend(&chunk[..n]);
        }
    }
    Ok(Some(req))
}

/// Returns the bytes of a response.
pub fn response(status: u16, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let reason = if status < 300 { "OK" } else { "Status" };
    let mut head = format!("HTTP/1.1 {status} {reason}\r\n");
    for (name, value) in headers {
        head += &format!("{name}: {value}\r\n");
    }
    head += &format!("content-length: {}\r\n\r\n", body.len());
    let mut bytes = head.into_bytes();
    bytes.extend(body);
    bytes
}

/// Handles the requests of one connection: reads nothing itself, and writes what it answers.
pub type Handler = Box<dyn FnMut(&Req, &mut TcpStream) -> io::Result<()> + Send>;

/// Serves connections on a free port of `ip`; `new_handler` is called for each connection.
pub fn serve(ip: &str, new_handler: impl Fn() -> Handler + Send + Sync + 'static) -> SocketAddr {
    let listener = TcpListener::bind((ip, 0)).expect("bind");
    let address = listener.local_addr().expect("address");
    let new_handler = Arc::new(new_handler);
    thread::spawn(move || {
        for stream in listener.incoming() {
            let Ok(stream) = stream else { continue };
            let new_handler = new_handler.clone();
            thread::spawn(move || {
                let _ = stream.set_nodelay(true);
                let mut handler = new_handler();
                let Ok(mut writer) = stream.try_clone() else { return };
                let mut reader = BufReader::new(stream);
                while let Ok(Some(req)) = read_request(&mut reader) {
                    if handler(&req, &mut writer).is_err() {
                        return;
                    }
                }
            });
        }
    });
    address
}

/// A server that may end and come back at the same address.
#[derive(Clone)]
pub struct Mortal {
    pub address: SocketAddr,
    /// Whether it is up.
    up: Arc<Mutex<bool>>,
    open: Arc<Mutex<Vec<TcpStream>>>,
}

impl Mortal {
    /// Serves connections as [`serve`] does, while it is up.
    pub fn serve(ip: &str, new_handler: impl Fn() -> Handler + Send + Sync + 'static) -> Self {
        let mut listener = Some(TcpListener::bind((ip, 0)).expect("bind"));
        let address = listener.as_ref().unwrap().local_addr().expect("address");
        let this = Self { address, up: Arc::new(Mutex::new(true)), open: Arc::default() };
        let mortal = this.clone();
        let new_handler = Arc::new(new_handler);
        thread::spawn(move || loop {
            let up = *mortal.up.lock().unwrap();
            if !up {
                listener = None;
            } else if listener.is_none() {
                listener = TcpListener::bind(address).ok();
            }
            let Some(l) = &listener else {
                thread::sleep(Duration::from_millis(2));
                continue;
            };
            let _ = l.set_nonblocking(true);
            let Ok((stream, _)) = l.accept() else {
                thread::sleep(Duration::from_millis(1));
                continue;
            };
            let _ = stream.set_nonblocking(false);
            let _ = stream.set_nodelay(true);
            let Ok(kept) = stream.try_clone() else { continue };
            mortal.open.lock().unwrap().push(kept);
            let new_handler = new_handler.clone();
            thread::spawn(move || {
                let mut handler = new_handler();
                let Ok(mut writer) = stream.try_clone() else { return };
                let mut reader = BufReader::new(stream);
                while let Ok(Some(req)) = read_request(&mut reader) {
                    if handler(&req, &mut writer).is_err() {
                        return;
                    }
                }
            });
        });
        this
    }

    /// Ends the server: nobody listens, and all its connections are closed.
    pub fn end(&self) {
        *self.up.lock().unwrap() = false;
        thread::sleep(Duration::from_millis(4));
        for stream in self.open.lock().unwrap().drain(..) {
            let _ = stream.shutdown(std::net::Shutdown::Both);
        }
    }

    pub fn come_back(&self) {
        *self.up.lock().unwrap() = true;
    }
}

/// The answer that a client got.
#[derive(Debug, Clone)]
pub struct Answer {
    pub status: u16,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// Whether the body is complete.
    pub complete: bool,
}

impl Answer {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(n, _)| n == name).map(|(_, v)| v.as_str())
    }
}

/// Reads an answer until `until`; a body that has not ended by then is incomplete.
pub fn read_answer(stream: &TcpStream, until: Instant) -> io::Result<Answer> {
    let mut reader = BufReader::new(stream.try_clone()?);
    let left = || until.saturating_duration_since(Instant::now()).max(Duration::from_millis(1));
    stream.set_read_timeout(Some(left()))?;
    let (first, headers) =
        read_head(&mut reader)?.ok_or_else(|| invalid("closed without an answer"))?;
    let status = first.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0);
    let mut answer = Answer { status, headers, body: Vec::new(), complete: false };
    let length: Option<u64> = answer.header("content-length").and_then(|v| v.parse().ok());
    let mut seen = 0u64;
    let mut buf = vec![0; 64 * 1024];
    loop {
        if length.is_some_and(|n| seen >= n) {
            answer.complete = true;
            return Ok(answer);
        }
        if Instant::now() >= until {
            return Ok(answer);
        }
        stream.set_read_timeout(Some(left()))?;
        let most = length.map_or(buf.len() as u64, |n| n - seen).min(buf.len() as u64) as usize;
        match reader.read(&mut buf[..most]) {
            Ok(0) => {
                answer.complete = length.is_none();
                return Ok(answer);
            }
            Ok(n) => {
                seen += n as u64;
                if answer.body.len() < 4096 {
                    answer.body.extend(&buf[..n]);
                }
            }
            Err(_) => return Ok(answer),
        }
    }
}

/// Sends one request on a connection of its own, and reads the answer until `limit` has passed.
pub fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, String)],
    body: &[u8],
    limit: Duration,
) -> io::Result<Answer> {
    let until = Instant::now() + limit;
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
    stream.set_nodelay(true)?;
    stream.write_all(&request(method, path, headers, body))?;
    read_answer(&stream, until)
}

/// Returns the bytes of a request.
pub fn request(method: &str, path: &str, headers: &[(&str, String)], body: &[u8]) -> Vec<u8> {
    let mut head = format!("{method} {path} HTTP/1.1\r\nhost: shop.example\r\n");
    for (name, value) in headers {
        head += &format!("{name}: {value}\r\n");
    }
    if !body.is_empty() {
        head += &format!("content-length: {}\r\n", body.len());
    }
    let mut bytes = (head + "\r\n").into_bytes();
    bytes.extend(body);
    bytes
}

// ---------------------------------------------------------------- store

type RowKey = (String, String, String);

#[derive(Default)]
struct StoreState {
    rows: BTreeMap<RowKey, (Option<String>, u64)>,
    ver: u64,
}

/// The platform's store: rows, conditional changes and feeds.
#[derive(Clone, Default)]
pub struct Store {
    state: Arc<(Mutex<StoreState>, Condvar)>,
}

impl Store {
    /// Serves the store's rows on a free port; the same rows may be served at several.
    pub fn serve(&self, ip: &str) -> SocketAddr {
        let store = self.clone();
        serve(ip, move || {
            let store = store.clone();
            Box::new(move |req, out| out.write_all(&store.respond(req)))
        })
    }

    /// Writes a row with an empty part, as the operator or a server does; `None` deletes it.
    pub fn write(&self, table: &str, key: &str, value: Option<&str>) {
        let (lock, changed) = &*self.state;
        let mut state = lock.lock().unwrap();
        state.ver += 1;
        let ver = state.ver;
        let name = (table.to_owned(), String::new(), key.to_owned());
        state.rows.insert(name, (value.map(|v| base64(v.as_bytes())), ver));
        changed.notify_all();
    }

    pub fn respond(&self, req: &Req) -> Vec<u8> {
        match req.path.as_str() {
            "/mulberryspur/rows-tx" => self.change(&req.body),
            "/mulberryspur/rows-get" => self.get(req),
            "/mulberryspur/rows-parts" => self.parts(req),
            "/mulberryspur/rows-feed" => self.feed(req),
            _ => response(404, &[], b""),
        }
    }

    fn change(&self, body: &[u8]) -> Vec<u8> {
        let Some(tx) = Json::parse(body) else {
            return response(400, &[], b"");
        };
        let name = |row: &Json| -> RowKey {
            let text = |field: &str| row.get(field).text().to_owned();
            (text("table"), text("part"), text("key"))
        };
        let (lock, changed) = &*self.state;
        let mut state = lock.lock().unwrap();
        let current = |state: &StoreState, row: &Json| {
            state.rows.get(&name(row)).filter(|r| r.0.is_some()).map_or(0, |r| r.1)
        };
        let holds = |row: &Json| current(&state, row) == row.get("ver").number();
        if !tx.get("expect").list().iter().all(holds) {
            let rows: Vec<String> = tx
                .get("expect")
                .list()
                .iter()
                .filter_map(|row| state.rows.get_key_value(&name(row)))
                .filter(|(_, (value, _))| value.is_some())
                .map(|(name, row)| row_json(name, row))
                .collect();
            return rows_response(412, &rows, state.ver);
        }
        state.ver += 1;
        let ver = state.ver;
        for row in tx.get("put").list() {
            state.rows.insert(name(row), (Some(row.get("value").text().to_owned()), ver));
        }
        for row in tx.get("delete").list() {
            state.rows.insert(name(row), (None, ver));
        }
        changed.notify_all();
        rows_response(200, &[], ver)
    }

    fn get(&self, req: &Req) -> Vec<u8> {
        let (table, part, from) = (req.param("table"), req.param("part"), req.param("from"));
        let state = self.state.0.lock().unwrap();
        let found = state.rows.iter().filter(|((t, p, k), (value, _))| {
            *t == table && *p == part && *k >= from && value.is_some()
        });
        let limit = req.param("limit").parse().unwrap_or(500);
        let rows: Vec<String> = found.map(|(n, r)| row_json(n, r)).take(limit).collect();
        rows_response(200, &rows, state.ver)
    }

    fn parts(&self, req: &Req) -> Vec<u8> {
        let (table, after) = (req.param("table"), req.param("after"));
        let state = self.state.0.lock().unwrap();
        let mut parts: Vec<String> = state
            .rows
            .keys()
            .filter(|(t, p, _)| *t == table && (after.is_empty() || *p > after))
            .map(|(_, p, _)| format!("\"{p}\""))
            .collect();
        parts.dedup();
        let body = format!(
            "{{\"parts\":[{}],\"truncated\":false,\"ver\":{},\"now\":\"1ms\"}}",
            parts.join(","),
            state.ver
        );
        response(200, &[("content-type", "application/json")], body.as_bytes())
    }

    fn feed(&self, req: &Req) -> Vec<u8> {
        let table = req.param("table");
        let after: u64 = req.param("after").parse().unwrap_or(0);
        let wait: u64 =
            req.param("wait-ms").trim_end_matches("ms").parse().unwrap_or(0);
        let until = Instant::now() + Duration::from_millis(wait);
        let (lock, changed) = &*self.state;
        let mut state = lock.lock().unwrap();
        loop {
            let newer = state.rows.iter().filter(|(n, r)| n.0 == table && r.1 > after);
            let mut newer: Vec<_> = newer.collect();
            newer.sort_by_key(|(_, r)| r.1);
            let rows: Vec<String> = newer.into_iter().map(|(n, r)| row_json(n, r)).collect();
            let left = until.saturating_duration_since(Instant::now());
            if !rows.is_empty() || left.is_zero() {
                return rows_response(200, &rows, state.ver);
            }
            state = changed.wait_timeout(state, left).unwrap().0;
        }
    }
}

fn row_json((table, part, key): &RowKey, (value, ver): &(Option<String>, u64)) -> String {
    let value = match value {
        Some(v) => format!("\"value\":\"{v}\""),
        None => "\"tombstone\":true".to_owned(),
    };
    format!(
        "{{\"table\":\"{table}\",\"part\":\"{part}\",\"key\":\"{key}\",\"ver\":{ver},{value}}}"
    )
}

fn rows_response(status: u16, rows: &[String], ver: u64) -> Vec<u8> {
    let rows = rows.join(",");
    let body =
        format!("{{\"rows\":[{rows}],\"truncated\":false,\"ver\":{ver},\"now\":\"1ms\"}}");
    response(status, &[("content-type", "application/json")], body.as_bytes())
}

/// A proxy that loses everything while it is cut, without closing a connection.
#[derive(Clone)]
pub struct Proxy {
    pub address: SocketAddr,
    /// Whether nothing is passed on.
    cut: Arc<Mutex<bool>>,
}

impl Proxy {
    pub fn start(ip: &str, target: SocketAddr) -> Self {
        let listener = TcpListener::bind((ip, 0)).expect("bind");
        let address = listener.local_addr().expect("address");
        let this = Self { address, cut: Arc::default() };
        let proxy = this.clone();
        thread::spawn(move || {
            for client in listener.incoming() {
                let Ok(client) = client else { continue };
                let Ok(server) = TcpStream::connect(target) else { continue };
                for (from, to) in [(&client, &server), (&server, &client)] {
                    let (Ok(from), Ok(to)) = (from.try_clone(), to.try_clone()) else { continue };
                    let proxy = proxy.clone();
                    thread::spawn(move || proxy.pass_on(from, to));
                }
            }
        });
        this
    }

    pub fn set_cut(&self, cut: bool) {
        *self.cut.lock().unwrap() = cut;
    }

    fn pass_on(&self, mut from: TcpStream, mut to: TcpStream) {
        let _ = to.set_nodelay(true);
        let mut buf = [0; 16 * 1024];
        let mut lost = false;
        while let Ok(n) = from.read(&mut buf) {
            // A connection of which something was lost carries nothing any more.
            lost |= *self.cut.lock().unwrap();
            if n == 0 || !lost && to.write_all(&buf[..n]).is_err() {
                break;
            }
        }
        if !lost {
            let _ = to.shutdown(std::net::Shutdown::Write);
        }
    }
}

// ---------------------------------------------------------------- instances

/// An instance of the system; its process is killed when this is dropped.
pub struct Instance {
    pub name: String,
    pub front: SocketAddr,
    pub ready: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

/// Returns a loopback address of this run, so that the default port of the metrics is free.
pub fn loopback(n: u8) -> String {
    let pid = std::process::id();
    format!("127.{}.{}.{}", 16 + pid / 200 % 200, 1 + pid % 200, 10 + n)
}

fn free_port(ip: &str) -> SocketAddr {
    static NEXT: AtomicU64 = AtomicU64::new(0);
    loop {
        let n = NEXT.fetch_add(1, Ordering::Relaxed);
        let port = 21_000 + u16::try_from(n % 9_000).unwrap();
        if TcpListener::bind((ip, port)).is_ok() {
            return format!("{ip}:{port}").parse().unwrap();
        }
    }
}

/// Name, zone and address of the store of an instance to start.
pub struct Place<'a> {
    pub name: &'a str,
    pub zone: &'a str,
    pub store: SocketAddr,
}

/// Identities of the processes that were started and have not been killed.
static STARTED: Mutex<Vec<u32>> = Mutex::new(Vec::new());
/// Time after which the case ends without a result.
const LONGEST_RUN: Duration = Duration::from_secs(116);

/// Ends all processes, and the case with 2, if it takes too long.
fn start_watchdog() {
    thread::spawn(|| {
        thread::sleep(LONGEST_RUN);
        for pid in STARTED.lock().unwrap().iter() {
            let _ = Command::new("sh").args(["-c", &format!("kill -KILL {pid}")]).status();
        }
        let _ = writeln!(io::stdout(), "could not run: it took too long");
        std::process::exit(2);
    });
}

/// Starts instances with the command of the deploy file and settings made from the template.
pub fn start_instances(dir: &Path, places: &[Place]) -> Vec<Instance> {
    start_watchdog();
    let ips: Vec<String> = (0..places.len()).map(|n| loopback(u8::try_from(n).unwrap())).collect();
    let fronts: Vec<_> = ips.iter().map(|ip| free_port(ip)).collect();
    let readies: Vec<_> = ips.iter().map(|ip| free_port(ip)).collect();
    let controls: Vec<_> = ips.iter().map(|ip| free_port(ip)).collect();
    let seeds: Vec<String> = controls.iter().take(3).map(|a| format!("\"{a}\"")).collect();
    let mut instances = Vec::new();
    for (n, place) in places.iter().enumerate() {
        let settings = dir.join(format!("{}.jsonc", place.name));
        let text = format!(
            "{{\"instance\":\"{}\",\"data_center\":\"{}\",\"processor_share\":1.0,\"cores\":1,\
             \"callers\":\"{}\",\"balancer\":\"{}\",\"instances\":\"{}\",\"seeds\":[{}],\
             \"address\":\"{}\",\"store\":\"{}\",\"first_start\":true,\
             \"max_hold\":\"10000ms\",\"grace\":\"6s\",\"retry_ratio\":0.2,\"retry_reserve\":64}}",
            place.name,
            place.zone,
            fronts[n],
            readies[n],
            controls[n],
            seeds.join(","),
            ips[n],
            place.store
        );
        std::fs::write(&settings, text).expect("write settings");
        let mut instance = Instance {
            name: place.name.to_owned(),
            front: fronts[n],
            ready: readies[n],
            settings,
            log: dir.join(format!("{}.log", place.name)),
            child: None,
        };
        instance.start();
        instances.push(instance);
    }
    instances
}

impl Instance {
    pub fn start(&mut self) {
        let log = File::options().create(true).append(true).open(&self.log).expect("open log");
        let child = Command::new("target/release/mulberryspur-platform")
            .env("MULBERRYSPUR_BOOT", &self.settings)
            .stdout(log.try_clone().expect("log"))
            .stderr(log)
            .stdin(Stdio::null())
            .spawn();
        let child = child.expect("start mulberryspur-platform");
        STARTED.lock().unwrap().push(child.id());
        self.child = Some(child);
    }

    /// Starts the process again after its end: it is not the first start of the system.
    pub fn restart(&mut self) {
        let text = std::fs::read_to_string(&self.settings).expect("settings");
        let text = text.replace("\"first_start\":true", "\"first_start\":false");
        std::fs::write(&self.settings, text).expect("settings");
        self.start();
    }

    pub fn pid(&self) -> u32 {
        self.child.as_ref().map_or(0, Child::id)
    }

    /// Sends a signal by its name to the process.
    pub fn signal(&self, name: &str) {
        let kill = format!("kill -{name} {}", self.pid());
        let _ = Command::new("sh").args(["-c", &kill]).status();
    }

    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
            STARTED.lock().unwrap().retain(|pid| *pid != child.id());
        }
    }

    pub fn is_running(&mut self) -> bool {
        self.child.as_mut().is_some_and(|c| matches!(c.try_wait(), Ok(None)))
    }

    pub fn log(&self) -> String {
        std::fs::read_to_string(&self.log).unwrap_or_default()
    }

    pub fn is_ready(&self) -> bool {
        let limit = Duration::from_millis(500);
        call(self.ready, "GET", "/mulberryspur/ready", &[], b"", limit)
            .is_ok_and(|a| a.status == 200)
    }
}

impl Drop for Instance {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Waits until `done`; ends the program with 2 if that takes longer than `limit`.
pub fn wait_until(what: &str, limit: Duration, mut done: impl FnMut() -> bool) {
    let until = Instant::now() + limit;
    while !done() {
        if Instant::now() > until {
            let _ = writeln!(io::stdout(), "could not run: {what}");
            EXIT_TOO_LATE.store(1, Ordering::Relaxed);
            return;
        }
        thread::sleep(Duration::from_millis(50));
    }
}

/// Whether a wait was in vain, so that the case could not run.
pub static EXIT_TOO_LATE: AtomicU64 = AtomicU64::new(0);

pub fn could_not_run() -> bool {
    EXIT_TOO_LATE.load(Ordering::Relaxed) != 0
}

/// Returns a new identity of a request.
pub fn new_id() -> String {
    static NEXT: AtomicU64 = AtomicU64::new(1);
    format!("r{:08x}", NEXT.fetch_add(1, Ordering::Relaxed))
}

/// Returns a configuration with one host; `rules` and `services` are JSON lists without brackets.
pub fn config(version: u64, rules: &str, services: &str) -> String {
    format!(
        "{{\"version\":\"r{version}\",\"limits\":{{\"max-header-bytes\":16384,\
         \"max-body-bytes\":1000000,\"header-timeout\":\"3000ms\",\"idle-timeout\":\"15000ms\"}},\
         \"listeners\":[{{\"host\":\"shop.example\",\"policy\":[{rules}]}}],\
         \"upstreams\":[{services}]}}"
    )
}

/// Returns a rule of the configuration.
pub fn rule(name: &str, kind: &str, service: &str, timeout_ms: u64, attempts: u32) -> String {
    format!(
        "{{\"name\":\"{name}\",\"kind\":\"{kind}\",\"slo\":\"500ms\",\"priority\":1,\
         \"match\":{{\"prefix\":\"/{name}/\"}},\"action\":{{\"service\":\"{service}\",\
         \"timeout\":\"{timeout_ms}ms\",\"attempts\":{attempts}}}}}"
    )
}

/// Returns the entry of a server.
pub fn entry(service: &str, address: SocketAddr, zone: &str, state: &str, born: u64) -> String {
    format!(
        "{{\"service\":\"{service}\",\"addr\":\"{address}\",\"zone\":\"{zone}\",\
         \"version\":\"v1\",\"capacity\":6,\"state\":\"{state}\",\"warmup-left\":\"0ms\",\
         \"seq\":1,\"born\":{born}}}"
    )
}

// ---------------------------------------------------------------- keyed servers

/// What one server has been granted.
#[derive(Debug, Clone)]
pub struct Grant {
    pub from: u64,
    pub to: u64,
    pub fence: u64,
    pub until: Instant,
}

/// State of a server with keys.
#[derive(Default)]
pub struct Keys {
    pub grants: Vec<Grant>,
    /// Highest fence that was seen for each range.
    fences: Vec<(u64, u64, u64)>,
    /// Keys on which requests are running, by a number.
    pub running: BTreeMap<u64, u64>,
    next: u64,
}

impl Keys {
    /// Takes over a grant; returns `false` if a higher fence was seen on one of the keys.
    pub fn grant(&mut self, from: u64, to: u64, fence: u64, hold: Duration) -> bool {
        if self.fences.iter().any(|(f, t, seen)| *f <= to && from <= *t && *seen > fence) {
            return false;
        }
        self.fences.retain(|(f, t, _)| !(from <= *f && *t <= to));
        self.fences.push((from, to, fence));
        self.remove(from, to);
        self.grants.push(Grant { from, to, fence, until: Instant::now() + hold });
        true
    }

    /// Stops new work on keys.
    pub fn release(&mut self, from: u64, to: u64, fence: u64) {
        self.fences.push((from, to, fence));
        self.remove(from, to);
    }

    fn remove(&mut self, from: u64, to: u64) {
        for g in std::mem::take(&mut self.grants) {
            if g.to < from || to < g.from {
                self.grants.push(g);
                continue;
            }
            if g.from < from {
                self.grants.push(Grant { to: from - 1, ..g.clone() });
            }
            if g.to > to {
                self.grants.push(Grant { from: to + 1, ..g });
            }
        }
    }

    /// Begins a request; `None` if the server does not hold the key.
    pub fn begin(&mut self, key: u64) -> Option<u64> {
        let now = Instant::now();
        self.grants.iter().find(|g| g.from <= key && key <= g.to && g.until > now)?;
        self.next += 1;
        self.running.insert(self.next, key);
        Some(self.next)
    }

    pub fn is_working(&self, from: u64, to: u64) -> bool {
        self.running.values().any(|k| from <= *k && *k <= to)
    }
}
