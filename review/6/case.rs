//! A worker sends one answer to a release twice, the second time late.

#[path = "../support-2/mod.rs"]
mod support;

use std::{
    sync::atomic::{AtomicBool, AtomicU32, Ordering},
    thread,
    time::{Duration, Instant},
};
use support::{
    has_trouble, http,
    machine::{Machine, TempDir},
    record::Record,
    sleep_ms,
    store::Store,
    worker::{SharedJournal, Worker},
};

/// Length of the disruption, `for_s` of the site file, and its share of a worker's answers, `x`.
const GARBLE: Duration = Duration::from_millis(5_000);
const GARBLE_SHARE: f64 = 0.03;
/// Work in milliseconds of the lookups that run when the worker is emptied; the sheets allow 1,100.
const LONG_WORK_MS: u64 = 1_000;

const CONFIG: &str = r#"{"version":"r7","limits":{"max-header-bytes":16384,"max-body-bytes":67108864,
"header-timeout":"3000ms","idle-timeout":"15000ms"},"listeners":[{"host":"hulo84.example","policy":[
{"name":"lookups","kind":"idempotent","slo":"400ms","priority":2,"match":{"prefix":"/lookup/"},
"action":{"service":"foldbook","timeout":"1200ms","attempts":2}}]}],
"upstreams":[{"name":"foldbook","health-path":"/health","max-conns":130,"protocol":"h1","tls":false,
"sharded":true,"warm":"5s","grants":"call"}]}"#;

static NEXT: AtomicU32 = AtomicU32::new(0);

fn lookup(machine: &Machine, work: u64, record: &Record) -> Option<u16> {
    let n = NEXT.fetch_add(1, Ordering::Relaxed);
    let (id, key) = (format!("l{n:05}"), n.wrapping_mul(40_503) % 65_536);
    let head = format!(
        "GET /lookup/1?work={work} HTTP/1.1\r\nHost: hulo84.example\r\nX-Request-Id: {id}\r\n\
         X-Deadline-Ms: 2500\r\nX-Shard-Key: {key}\r\n\r\n"
    );
    let status = http::call(machine.front, &head, b"").map(|r| r.status());
    record.line(format!("client gets {status:?} for {id}, key {key}, from {}", machine.name));
    status
}

fn main() {
    support::run_case(6, play);
}

fn play(dir: &TempDir, record: &Record) -> i32 {
    let (store, store_address) = Store::start(record);
    store.write("op", "config", Some(&CONFIG.replace('\n', "")));
    let journal = SharedJournal::default();
    let worker = |id: &str| Worker::start(id, "foldbook", true, 20, &journal, record);
    let workers: Vec<Worker> = ["f0", "f1", "f2"].map(worker).into();
    workers.iter().for_each(|w| w.register(&store));
    let mut machines: Vec<Machine> = (0..3)
        .map(|n| Machine::new(&dir.0, &format!("front-a-{n}"), "a", store_address, record))
        .collect();
    let seeds = vec![machines[0].control];
    for machine in &mut machines {
        machine.seeds = seeds.clone();
        machine.start();
    }
    if !machines.iter().all(|m| m.wait_until_ready(Duration::from_secs(15))) {
        record.say("the machines are not ready");
        return 2;
    }
    let until_served = Instant::now() + Duration::from_secs(20);
    let mut in_a_row = 0;
    while in_a_row < 30 {
        if Instant::now() > until_served {
            record.say("the keys are not served");
            return 2;
        }
        in_a_row = match lookup(&machines[in_a_row % 3], 20, record) {
            Some(200) => in_a_row + 1,
            _ => 0,
        };
    }
    let stop = AtomicBool::new(false);
    let long = AtomicBool::new(false);
    thread::scope(|scope| {
        for n in 0..30 {
            let (machine, stop, long) = (&machines[n % 3], &stop, &long);
            scope.spawn(move || {
                while !stop.load(Ordering::Relaxed) {
                    let is_long = long.load(Ordering::Relaxed);
                    lookup(machine, if is_long { LONG_WORK_MS } else { 20 }, record);
                    sleep_ms(if is_long { 5 } else { 150 });
                }
            });
        }
        sleep_ms(4_000);
        // The disruption: its length counts from here.
        let began = Instant::now();
        if has_trouble() {
            // Of one worker only: the first that answers a release.
            journal.lock().doubles_left = 1;
        }
        // Planned work: a worker is added, and one is emptied.
        worker("f3").register(&store);
        sleep_ms(2_500);
        long.store(true, Ordering::Relaxed);
        sleep_ms(200);
        // The one that has given keys to the new worker, if any.
        let gave = |w: &&Worker| if has_trouble() { w.doubled() > 0 } else { w.released() > 0 };
        let Some(leaving) = workers.iter().find(gave) else {
            stop.store(true, Ordering::Relaxed);
            record.say("no worker gave keys to the new one");
            return 2;
        };
        leaving.drain(&store);
        sleep_ms(1_800);
        let in_time = began.elapsed() < GARBLE;
        sleep_ms(1_500);
        stop.store(true, Ordering::Relaxed);
        record.line(format!("in time: {in_time}"));
        let journal = journal.lock();
        for w in &workers {
            let of_worker = journal
                .answers
                .iter()
                .filter(|(at, id)| *id == w.id && *at >= began && *at < began + GARBLE);
            let (count, doubled) = (of_worker.count(), w.doubled());
            let share = doubled as f64 / count.max(1) as f64;
            record.say(format!("{}: {doubled} of {count} answers sent twice", w.id));
            if share > GARBLE_SHARE || !in_time {
                record.say("the disruption was more than the site file allows");
                return 2;
            }
        }
        let overlaps = journal.overlaps.len();
        record.say(format!(
            "{overlaps} times, keys were granted on which another worker was at work"
        ));
        i32::from(overlaps > 0)
    })
}
