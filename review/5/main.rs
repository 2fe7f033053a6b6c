//! One machine is partitioned from the platform's store; the other machines of its zone are not, and
//! don't get a change of the configuration in time.

#[path = "../support/harness.rs"]
mod harness;

use harness::*;
use std::{
    io::Write,
    path::PathBuf,
    sync::{
        atomic::{AtomicBool, Ordering},
        Arc, Mutex,
    },
    thread,
    time::{Duration, Instant},
};

const MACHINES: usize = 4;
const TRIALS: u64 = 6;
/// How long the machine is partitioned each time (`for_s`), and the time between.
const CUT: Duration = Duration::from_millis(5_500);
const BETWEEN: Duration = Duration::from_millis(8_500);
/// The bound `config-apply`.
const CONFIG_APPLY: Duration = Duration::from_secs(2);
/// Time between two writes of a server's entry.
const HEARTBEAT: Duration = Duration::from_millis(870);

/// A request at a machine that nothing disturbs.
struct Asked {
    id: String,
    machine: usize,
    route: u64,
    after_ms: u128,
    status: u16,
}

fn main() {
    let dir = PathBuf::from(std::env::args().nth(1).expect("a folder"));
    let temp = std::env::temp_dir().join(format!("review-relay-{}", std::process::id()));
    std::fs::create_dir_all(&temp).expect("temporary folder");
    let record = Record::create(&dir);
    let ip = loopback(100);
    let store = Store::default();
    let store_address = store.serve(&ip);
    // Each configuration has the routes 0 to `last`; the operator only adds some.
    let write_config = |version: u64, last: u64| {
        let rules: Vec<String> = (0..=last)
            .map(|n| rule(&format!("orders{n}"), "non_idempotent", "paperdesk", 2_000, 2))
            .collect();
        let service = "{\"name\":\"paperdesk\",\"max-conns\":130,\"health-path\":\"/health\"}";
        store.write("op", "config", Some(&config(version, &rules.join(","), service)));
    };
    write_config(1, 0);
    let mut entries = Vec::new();
    for n in 0..6usize {
        let address = serve(&ip, move || {
            Box::new(move |req, out| {
                let request = req.header("x-request-id").unwrap_or_default().to_owned();
                thread::sleep(Duration::from_millis(10));
                let headers = [("x-request-id", request.as_str()), ("x-gateway-signature", "s")];
                out.write_all(&response(200, &headers, b"done"))
            })
        });
        entries.push((format!("w{n}"), entry("paperdesk", address, "a", "ready", 1_700_000_000_000)));
    }
    {
        let store = store.clone();
        thread::spawn(move || {
            for seq in 1u64.. {
                for (name, text) in &entries {
                    let text = text.replace("\"seq\":1", &format!("\"seq\":{seq}"));
                    store.write("servers", name, Some(&text));
                    thread::sleep(HEARTBEAT / 6);
                }
            }
        });
    }
    // Each machine has its own path to the store.
    let proxies: Vec<Proxy> = (0..MACHINES).map(|_| Proxy::start(&ip, store_address)).collect();
    let names: Vec<String> = (1..=MACHINES).map(|n| format!("front-a-{n}")).collect();
    let places: Vec<Place> = names
        .iter()
        .zip(&proxies)
        .map(|(name, proxy)| Place { name, zone: "a", store: proxy.address })
        .collect();
    let instances = start_instances(&temp, &places);
    wait_until("the instances are ready", Duration::from_secs(10), || {
        instances.iter().all(Instance::is_ready)
    });
    thread::sleep(Duration::from_secs(5));
    // The newest route, and when its version was acknowledged. Clients use a route only once it must
    // be in force everywhere.
    let newest: Arc<Mutex<(u64, Instant)>> =
        Arc::new(Mutex::new((0, Instant::now() - Duration::from_secs(60))));
    let asked: Arc<Mutex<Vec<Asked>>> = Arc::default();
    let stop = Arc::new(AtomicBool::new(false));
    let clients: Vec<_> = (1..MACHINES)
        .map(|machine| {
            let (asked, stop, newest) = (asked.clone(), stop.clone(), newest.clone());
            let front = instances[machine].front;
            thread::spawn(move || {
                while !stop.load(Ordering::Relaxed) {
                    thread::sleep(Duration::from_millis(20));
                    let (last, since) = *newest.lock().unwrap();
                    let is_due = since.elapsed() > CONFIG_APPLY;
                    let route = if is_due { last } else { last.saturating_sub(1) };
                    let id = new_id();
                    let headers =
                        [("x-request-id", id.clone()), ("x-deadline-ms", "2000".to_owned())];
                    let path = format!("/orders{route}/1");
                    let after_ms = since.elapsed().as_millis();
                    let answer = call(front, "POST", &path, &headers, b"x", Duration::from_secs(2));
                    let status = answer.map_or(0, |a| a.status);
                    asked.lock().unwrap().push(Asked { id, machine, route, after_ms, status });
                }
            })
        })
        .collect();
    for trial in 0..TRIALS {
        let (first, second, route) = (2 * trial + 2, 2 * trial + 3, trial + 1);
        write_config(first, route - 1);
        record.line(&format!("version r{first} is acknowledged, it changes nothing"));
        thread::sleep(Duration::from_millis(150));
        if trouble() {
            record.line("front-a-1 is partitioned from the store");
            proxies[0].set_cut(true);
        }
        thread::sleep(Duration::from_millis(50));
        write_config(second, route);
        *newest.lock().unwrap() = (route, Instant::now());
        record.line(&format!("version r{second} is acknowledged, it adds the route /orders{route}/"));
        thread::sleep(CUT);
        proxies[0].set_cut(false);
        record.line("front-a-1 reaches the store");
        thread::sleep(BETWEEN);
    }
    stop.store(true, Ordering::Relaxed);
    clients.into_iter().for_each(|c| drop(c.join()));
    let asked = asked.lock().unwrap();
    let denied: Vec<&Asked> = asked.iter().filter(|a| a.status == 404).collect();
    let line = |a: &Asked| {
        format!(
            "CONFIG: {}, sent to {} on /orders{}/ {} ms after the acknowledgement of its version, got 404",
            a.id, names[a.machine], a.route, a.after_ms
        )
    };
    denied.iter().for_each(|a| record.line(&line(a)));
    record.say(&format!(
        "{} requests at the other machines, {} served, {} refused with 404 though their route was there",
        asked.len(),
        asked.iter().filter(|a| a.status == 200).count(),
        denied.len()
    ));
    denied.last().iter().for_each(|a| record.say(&line(a)));
    let broken = !denied.is_empty();
    drop(instances);
    let _ = std::fs::remove_dir_all(&temp);
    std::process::exit(if could_not_run() { 2 } else { i32::from(broken) });
}
