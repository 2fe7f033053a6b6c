//! The platform's store in the form `table`: rows, conditional changes, and feeds.

use super::{
    http,
    json::{Json, base64, quote},
    record::Record,
    sleep_ms,
};
use std::{
    collections::BTreeMap,
    io::Write,
    net::SocketAddr,
    sync::{Arc, Condvar, Mutex},
    time::{Duration, Instant},
};

/// Time for an answer, as on the sheets of the deployments.
const ANSWER_MS: u64 = 4;
/// Most rows in an answer.
const PAGE: usize = 500;

type RowKey = (String, String, String);

#[derive(Default)]
struct State {
    /// Value in Base64, `None` once deleted, and version.
    rows: BTreeMap<RowKey, (Option<String>, u64)>,
    ver: u64,
}

#[derive(Clone)]
pub struct Store {
    state: Arc<(Mutex<State>, Condvar)>,
    record: Record,
    started: Instant,
}

impl Store {
    pub fn start(record: &Record) -> (Self, SocketAddr) {
        let listener = http::bind("127.0.0.1");
        let address = listener.local_addr().expect("address");
        let this = Self { state: Arc::default(), record: record.clone(), started: Instant::now() };
        let store = this.clone();
        http::serve(listener, move |mut reader, mut writer| {
            while let Some(req) = http::read_message(&mut reader)? {
                let (status, body) = store.answer(&req);
                sleep_ms(ANSWER_MS);
                let headers = [("Content-Type", "application/json"), ("Store-Era", "0")];
                writer.write_all(&http::response(status, &headers, body.as_bytes()))?;
            }
            Ok(())
        });
        (this, address)
    }

    /// Writes a row as the operator or a worker does; `None` removes it.
    pub fn write(&self, table: &str, key: &str, value: Option<&str>) {
        let (state, changed) = &*self.state;
        let mut state = state.lock().unwrap();
        state.ver += 1;
        let row = (value.map(|v| base64(v.as_bytes())), state.ver);
        state.rows.insert((table.to_owned(), String::new(), key.to_owned()), row);
        changed.notify_all();
    }

    fn answer(&self, req: &http::Message) -> (u16, String) {
        match req.path() {
            "/mulberryspur/rows-tx" => self.change(&req.body),
            "/mulberryspur/rows-get" => self.get(req),
            "/mulberryspur/rows-parts" => self.parts(req),
            "/mulberryspur/rows-feed" => self.feed(req),
            _ => (404, String::new()),
        }
    }

    fn now(&self) -> String {
        format!("{}ms", self.started.elapsed().as_millis())
    }

    fn change(&self, body: &[u8]) -> (u16, String) {
        let Some(tx) = std::str::from_utf8(body).ok().and_then(Json::parse) else {
            return (400, String::new());
        };
        let name = |row: &Json| (row.text("table"), row.text("part"), row.text("key"));
        let written = tx.list("put").into_iter().chain(tx.list("delete"));
        if written.into_iter().any(|r| ["op", "servers"].contains(&r.text("table").as_str())) {
            return (403, String::new());
        }
        let (state, changed) = &*self.state;
        let mut state = state.lock().unwrap();
        let holds = tx.list("expect").iter().all(|row| {
            let current = state.rows.get(&name(row)).filter(|r| r.0.is_some()).map_or(0, |r| r.1);
            row.number("ver") == Some(current)
        });
        if !holds {
            let rows: Vec<String> = tx
                .list("expect")
                .iter()
                .filter_map(|r| state.rows.get_key_value(&name(r)))
                .map(|(n, r)| row_json(n, r))
                .collect();
            let (ver, now) = (state.ver, self.now());
            return (
                412,
                format!("{{\"rows\":[{}],\"ver\":{ver},\"now\":\"{now}\"}}", rows.join(",")),
            );
        }
        state.ver += 1;
        let ver = state.ver;
        for row in tx.list("put") {
            state.rows.insert(name(&row), (Some(row.text("value")), ver));
        }
        for row in tx.list("delete") {
            state.rows.insert(name(&row), (None, ver));
        }
        changed.notify_all();
        (200, format!("{{\"ver\":{ver},\"now\":\"{}\"}}", self.now()))
    }

    fn get(&self, req: &http::Message) -> (u16, String) {
        let text = |name| req.query(name).unwrap_or_default();
        let (table, part, from) = (text("table"), text("part"), text("from"));
        let to = req.query("to");
        let limit = req.query("limit").and_then(|n| n.parse().ok()).unwrap_or(PAGE).min(PAGE);
        let state = self.state.0.lock().unwrap();
        let found = state.rows.iter().filter(|((t, p, k), (value, _))| {
            *t == table
                && *p == part
                && *k >= from
                && to.as_ref().is_none_or(|to| k < to)
                && value.is_some()
        });
        let all: Vec<String> = found.map(|(n, r)| row_json(n, r)).collect();
        let truncated = all.len() > limit;
        let rows = all.into_iter().take(limit).collect::<Vec<_>>().join(",");
        let (ver, now) = (state.ver, self.now());
        let body = format!(
            "{{\"rows\":[{rows}],\"truncated\":{truncated},\"ver\":{ver},\"now\":\"{now}\"}}"
        );
        (200, body)
    }

    fn parts(&self, req: &http::Message) -> (u16, String) {
        let (table, after) = (req.query("table").unwrap_or_default(), req.query("after"));
        let state = self.state.0.lock().unwrap();
        let mut parts: Vec<String> = state
            .rows
            .iter()
            .filter(|((t, p, _), (v, _))| {
                *t == table && v.is_some() && after.as_ref().is_none_or(|a| p > a)
            })
            .map(|((_, p, _), _)| quote(p))
            .collect();
        parts.dedup();
        let (ver, now) = (state.ver, self.now());
        let parts = parts.join(",");
        (
            200,
            format!("{{\"parts\":[{parts}],\"truncated\":false,\"ver\":{ver},\"now\":\"{now}\"}}"),
        )
    }

    fn feed(&self, req: &http::Message) -> (u16, String) {
        let table = req.query("table").unwrap_or_default();
        let number = |name| req.query(name).and_then(|v| v.parse::<u64>().ok()).unwrap_or(0);
        let (after, wait) = (number("after"), Duration::from_millis(number("wait-ms").min(30_000)));
        let end = Instant::now() + wait;
        let (state, changed) = &*self.state;
        let mut state = state.lock().unwrap();
        loop {
            if after > state.ver {
                return (410, String::new());
            }
            let mut newer: Vec<(&RowKey, &(Option<String>, u64))> =
                state.rows.iter().filter(|(n, r)| n.0 == table && r.1 > after).collect();
            newer.sort_by_key(|(_, r)| r.1);
            let left = end.saturating_duration_since(Instant::now());
            if !newer.is_empty() || left.is_zero() {
                let rows: Vec<String> = newer.iter().map(|(n, r)| row_json(n, r)).collect();
                let (ver, now) = (state.ver, self.now());
                let rows = rows.join(",");
                return (200, format!("{{\"rows\":[{rows}],\"ver\":{ver},\"now\":\"{now}\"}}"));
            }
            state = changed.wait_timeout(state, left).unwrap().0;
        }
    }
}

fn row_json((table, part, key): &RowKey, (value, ver): &(Option<String>, u64)) -> String {
    let rest = match value {
        Some(value) => format!("\"value\":{}", quote(value)),
        None => "\"tombstone\":true".to_owned(),
    };
    format!(
        "{{\"table\":{},\"part\":{},\"key\":{},{rest},\"ver\":{ver}}}",
        quote(table),
        quote(part),
        quote(key)
    )
}
