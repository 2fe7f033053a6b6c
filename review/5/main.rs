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

/// Service, identity of the request.
type Runs = Arc<Mutex<Vec<(String, &'static str)>>>;

/// Two versions come in quick succession: 2 and 3 before and in the first cut, 4 and 5 in the second.
/// The first one changes nothing.
fn service_of(version: u64) -> &'static str {
    if (version - 1) / 2 % 2 == 0 { "paperdesk" } else { "batchbook" }
}

fn main() {
    let dir = PathBuf::from(std::env::args().nth(1).expect("a folder"));
    let temp = std::env::temp_dir().join(format!("review-relay-{}", std::process::id()));
    std::fs::create_dir_all(&temp).expect("temporary folder");
    let record = Record::create(&dir);
    let ip = loopback(100);
    let store = Store::default();
    let store_address = store.serve(&ip);
    let write_config = |version: u64| {
        let rules = rule("orders", "non_idempotent", service_of(version), 2_000, 2);
        let services = "{\"name\":\"paperdesk\",\"max-conns\":130,\"health-path\":\"/health\"},\
                        {\"name\":\"batchbook\",\"max-conns\":130,\"health-path\":\"/health\"}";
        store.write("op", "config", Some(&config(version, &rules, services)));
    };
    write_config(1);
    let runs = Runs::default();
    let mut entries = Vec::new();
    for n in 0..6usize {
        let service = if n < 3 { "paperdesk" } else { "batchbook" };
        let runs = runs.clone();
        let address = serve(&ip, move || {
            let runs = runs.clone();
            Box::new(move |req, out| {
                let request = req.header("x-request-id").unwrap_or_default().to_owned();
                runs.lock().unwrap().push((request.clone(), service));
                thread::sleep(Duration::from_millis(10));
                let headers = [("x-request-id", request.as_str()), ("x-gateway-signature", "s")];
                out.write_all(&response(200, &headers, b"done"))
            })
        });
        entries.push((format!("w{n}"), entry(service, address, "a", "ready", 1_700_000_000_000)));
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
    // Requests at the machines that nothing disturbs: identity, when it was sent, machine.
    let sent: Arc<Mutex<Vec<(String, Instant, usize)>>> = Arc::default();
    let stop = Arc::new(AtomicBool::new(false));
    let clients: Vec<_> = (1..MACHINES)
        .map(|n| {
            let (sent, stop, front) = (sent.clone(), stop.clone(), instances[n].front);
            thread::spawn(move || {
                while !stop.load(Ordering::Relaxed) {
                    let id = new_id();
                    let headers =
                        [("x-request-id", id.clone()), ("x-deadline-ms", "2000".to_owned())];
                    sent.lock().unwrap().push((id, Instant::now(), n));
                    let _ = call(front, "POST", "/orders/1", &headers, b"x", Duration::from_secs(2));
                    thread::sleep(Duration::from_millis(20));
                }
            })
        })
        .collect();
    let mut acknowledged = vec![(1, Instant::now() - Duration::from_secs(60))];
    for trial in 0..TRIALS {
        let (first, second) = (2 * trial + 2, 2 * trial + 3);
        write_config(first);
        acknowledged.push((first, Instant::now()));
        record.line(&format!("version r{first} is acknowledged: {}", service_of(first)));
        thread::sleep(Duration::from_millis(150));
        if trouble() {
            record.line("front-a-1 is partitioned from the store");
            proxies[0].set_cut(true);
        }
        thread::sleep(Duration::from_millis(50));
        write_config(second);
        acknowledged.push((second, Instant::now()));
        record.line(&format!("version r{second} is acknowledged: {}", service_of(second)));
        thread::sleep(CUT);
        proxies[0].set_cut(false);
        record.line("front-a-1 reaches the store");
        thread::sleep(BETWEEN);
    }
    stop.store(true, Ordering::Relaxed);
    clients.into_iter().for_each(|c| drop(c.join()));
    let runs = runs.lock().unwrap();
    let by_id: std::collections::HashMap<_, _> = runs.iter().cloned().collect();
    let sent = sent.lock().unwrap();
    let mut late = Vec::new();
    for (id, at, n) in sent.iter() {
        // The last version that must be in force, and those after it, allow their services.
        let must = acknowledged.iter().rev().find(|(_, t)| *t + CONFIG_APPLY < *at).map_or(1, |a| a.0);
        let allowed: Vec<&str> = acknowledged
            .iter()
            .filter(|(v, t)| *v == must || *v > must && *t < *at + Duration::from_secs(2))
            .map(|(v, _)| service_of(*v))
            .collect();
        let Some(ran) = by_id.get(id) else { continue };
        if !allowed.contains(ran) {
            let since = acknowledged.iter().find(|a| a.0 == must).map_or(0, |a| (*at - a.1).as_millis());
            let line = format!(
                "CONFIG: {id}, sent to {} {since} ms after the acknowledgement of r{must}, was run by \
                 {ran}",
                names[*n]
            );
            record.line(&line);
            late.push(line);
        }
    }
    record.say(&format!(
        "{} requests at the other machines, {} run; {} handled as only an older version allows",
        sent.len(),
        runs.len(),
        late.len()
    ));
    late.last().iter().for_each(|l| record.say(l));
    drop(instances);
    let _ = std::fs::remove_dir_all(&temp);
    std::process::exit(if could_not_run() { 2 } else { i32::from(!late.is_empty()) });
}
