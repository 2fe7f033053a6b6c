//! A worker leaves while the first machine of the zone is being started again after a kill.

#[path = "../support-2/mod.rs"]
mod support;

use std::{
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

/// `drain` of the sheets.
const DRAIN: Duration = Duration::from_millis(2_000);
/// `stability` of the sheets, with a margin.
const CALM_MS: u64 = 4_000;
/// Time from the first order after the calm until the worker that leaves ends.
const ENDS_AFTER_MS: u64 = 70;
/// Time from the kill until the process runs again.
const RESTART_MS: u64 = 200;

const CONFIG: &str = r#"{"version":"r7","limits":{"max-header-bytes":16384,"max-body-bytes":67108864,
"header-timeout":"3000ms","idle-timeout":"15000ms"},"listeners":[{"host":"jepu9.example","policy":[
{"name":"orders","kind":"non_idempotent","slo":"500ms","priority":1,"match":{"prefix":"/orders/"},
"action":{"service":"paperdesk","timeout":"1500ms","attempts":2}}]}],
"upstreams":[{"name":"paperdesk","health-path":"/health","max-conns":130,"protocol":"h1","tls":false}]}"#;

fn order(machine: &Machine, id: &str, record: &Record) -> Option<u16> {
    let head = format!(
        "POST /orders/1 HTTP/1.1\r\nHost: jepu9.example\r\nX-Request-Id: {id}\r\n\
         X-Deadline-Ms: 3000\r\nContent-Length: 2\r\n\r\n"
    );
    record.line(format!("client sends {id} to {}", machine.name));
    let res = http::call(machine.front, &head, b"{}");
    let status = res.as_ref().map(http::Message::status);
    let body = res.map(|r| String::from_utf8_lossy(&r.body).into_owned());
    record.line(format!("client gets {status:?} for {id}: {}", body.unwrap_or_default()));
    status
}

fn main() {
    support::run_case(6, play);
}

fn play(dir: &TempDir, record: &Record) -> i32 {
    let (store, store_address) = Store::start(record);
    store.write("op", "config", Some(&CONFIG.replace('\n', "")));
    let journal = SharedJournal::default();
    let workers: Vec<Worker> = (0..3)
        .map(|n| Worker::start(&format!("p{n}"), "paperdesk", false, 140, &journal, record))
        .collect();
    workers.iter().for_each(|w| w.register(&store));
    let mut machines: Vec<Machine> = (0..2)
        .map(|n| Machine::new(&dir.0, &format!("front-a-{n}"), "a", store_address, record))
        .collect();
    // The first seed is the machine that is killed, the two others are down.
    let down = || Machine::new(&dir.0, "down", "a", store_address, record).control;
    let seeds = vec![machines[0].control, down(), down()];
    for machine in &mut machines {
        machine.seeds = seeds.clone();
        machine.start();
    }
    if !machines.iter().all(|m| m.wait_until_ready(Duration::from_secs(15))) {
        record.say("the machines are not ready");
        return 2;
    }
    sleep_ms(CALM_MS);
    for n in 0..6 {
        if order(&machines[1], &format!("before-{n}"), record) != Some(200) {
            record.say("orders are not served before the disruption");
            return 2;
        }
    }
    sleep_ms(1_000);
    let leaving = &workers[2];
    let is_planned = std::env::var_os("ROLL").is_some();
    if has_trouble() && is_planned {
        // Planned work only: the machine is stopped and started.
        machines[0].signal("TERM");
        while machines[0].is_running() {
            sleep_ms(5);
        }
    } else if has_trouble() {
        machines[0].kill();
        sleep_ms(RESTART_MS / 4);
    }
    leaving.remove(&store);
    let acknowledged = Instant::now();
    if has_trouble() {
        sleep_ms(if is_planned { 0 } else { RESTART_MS * 3 / 4 });
        machines[0].start();
    }
    // Longer than `drain`, and than `stability` after the start.
    sleep_ms(CALM_MS);
    record.line("orders to the machine that was never disturbed");
    let mut served = 0;
    // The worker has served on for `drain` and a little longer, and ends.
    let ending = leaving.clone();
    thread::spawn(move || {
        sleep_ms(ENDS_AFTER_MS);
        ending.end();
    });
    for round in 0..4 {
        let machine = &machines[1];
        thread::scope(|scope| {
            let calls: Vec<_> = (0..6)
                .map(|n| {
                    let id = format!("after-{round}-{n}");
                    scope.spawn(move || order(machine, &id, record))
                })
                .collect();
            served += calls
                .into_iter()
                .filter_map(|c| c.join().ok().flatten())
                .filter(|s| *s == 200)
                .count();
        });
        sleep_ms(200);
    }
    let journal = journal.lock();
    let late: Vec<String> = journal
        .arrivals
        .iter()
        .filter(|a| a.worker == leaving.id && a.at > acknowledged + DRAIN)
        .map(|a| format!("{} {} ms after the removal", a.id, (a.at - acknowledged).as_millis()))
        .collect();
    record.say(format!(
        "{served} of 24 orders served; {} orders reached {} later than `drain`",
        late.len(),
        leaving.id
    ));
    let lost = journal.lost.join(", ");
    record.say(format!("orders that were lost at work as {} ended: {lost}", leaving.id));
    late.iter().for_each(|l| record.line(format!("DRAIN: {l}")));
    if served < 12 {
        record.say("too few orders were served");
        return 2;
    }
    i32::from(!late.is_empty())
}
