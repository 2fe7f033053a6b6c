//! A request that crashes each server that runs it comes again and again, at any machine, after some
//! machines have been removed for good.

#[path = "../support/harness.rs"]
mod harness;

use harness::*;
use std::{
    path::PathBuf,
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

const SERVERS: usize = 20;
const ZONES: [&str; 3] = ["a", "b", "c"];
const MACHINES_PER_ZONE: usize = 4;
/// Machines that are removed in each zone, the first by name.
const REMOVED_PER_ZONE: usize = 1;
/// Time between two removals (`gap_s`).
const REMOVAL_GAP: Duration = Duration::from_millis(1_300);
/// Time between two arrivals of the request, and their number.
const PAUSE: Duration = Duration::from_millis(1_600);
const ARRIVALS: usize = 18;
/// Time until a crashed server is back.
const BACK_AFTER: Duration = Duration::from_secs(3);
/// The bound `stability`.
const STABILITY: Duration = Duration::from_secs(3);

/// A run of the request: its identity, the server, and when.
type Crashes = Arc<Mutex<Vec<(String, usize, Instant)>>>;

fn main() {
    let dir = PathBuf::from(std::env::args().nth(1).expect("a folder"));
    let temp = std::env::temp_dir().join(format!("review-deadly-{}", std::process::id()));
    std::fs::create_dir_all(&temp).expect("temporary folder");
    let record = Record::create(&dir);
    let ip = loopback(100);
    let store = Store::default();
    let store_address = store.serve(&ip);
    let rules = rule("orders", "non_idempotent", "paperdesk", 2_000, 2);
    let service = "{\"name\":\"paperdesk\",\"max-conns\":130,\"health-path\":\"/health\"}";
    store.write("op", "config", Some(&config(1, &rules, service)));
    let crashes = Crashes::default();
    let zone_of = |n: usize| ZONES[n % ZONES.len()];
    let mut servers: Vec<Mortal> = Vec::new();
    // Servers that have crashed and are to come back.
    let (tx, crashed) = std::sync::mpsc::channel::<usize>();
    for n in 0..SERVERS {
        let (record, crashes, tx) = (record.clone(), crashes.clone(), tx.clone());
        let server = Mortal::serve(&ip, move || {
            let (record, crashes, tx) = (record.clone(), crashes.clone(), tx.clone());
            Box::new(move |req, out| {
                let id = format!("w{n}");
                let request = req.header("x-request-id").unwrap_or_default().to_owned();
                let expected = req.header("x-expect-instance");
                if expected.is_some_and(|e| e != id) {
                    let headers = [("x-request-id", request.as_str()), ("x-not-executed", "1")];
                    return std::io::Write::write_all(out, &response(421, &headers, b""));
                }
                if req.path == "/orders/deadly" {
                    record.line(&format!("{id} begins to run {request} and crashes"));
                    crashes.lock().unwrap().push((request, n, Instant::now()));
                    thread::sleep(Duration::from_millis(20));
                    let _ = tx.send(n);
                    thread::sleep(Duration::from_millis(200));
                    return Err(std::io::Error::other("crashed"));
                }
                thread::sleep(Duration::from_millis(30));
                let headers = [("x-request-id", request.as_str()), ("x-gateway-signature", "s")];
                std::io::Write::write_all(out, &response(200, &headers, b"done"))
            })
        });
        servers.push(server);
    }
    let born = Arc::new(Mutex::new([1_700_000_000_000u64; SERVERS]));
    let register = {
        let (store, servers, born) = (store.clone(), servers.clone(), born.clone());
        move |n: usize| {
            let born = born.lock().unwrap()[n];
            let text = entry("paperdesk", servers[n].address, zone_of(n), "ready", born);
            store.write("servers", &format!("w{n}"), Some(&text));
        }
    };
    (0..SERVERS).for_each(&register);
    {
        let (servers, register) = (servers.clone(), register.clone());
        thread::spawn(move || {
            for n in crashed {
                servers[n].end();
                let (server, register, born) = (servers[n].clone(), register.clone(), born.clone());
                thread::spawn(move || {
                    thread::sleep(BACK_AFTER);
                    born.lock().unwrap()[n] += 60_000;
                    server.come_back();
                    thread::sleep(Duration::from_millis(5));
                    register(n);
                });
            }
        });
    }
    let names: Vec<(String, &str)> = ZONES
        .iter()
        .flat_map(|z| (1..=MACHINES_PER_ZONE).map(move |n| (format!("front-{z}-{n}"), *z)))
        .collect();
    let places: Vec<Place> =
        names.iter().map(|(name, zone)| Place { name, zone, store: store_address }).collect();
    let mut instances = start_instances(&temp, &places);
    wait_until("the instances are ready", Duration::from_secs(15), || {
        instances.iter().all(Instance::is_ready)
    });
    let send = |front, path: &str, headers: &[(&str, String)]| {
        call(front, "POST", path, headers, b"{\"sheets\":500}", Duration::from_millis(2_500))
    };
    wait_until("requests are served", Duration::from_secs(10), || {
        instances.iter().all(|i| {
            let headers = [("x-request-id", new_id()), ("x-deadline-ms", "2000".to_owned())];
            send(i.front, "/orders/plain", &headers).is_ok_and(|a| a.status == 200)
        })
    });
    thread::sleep(Duration::from_secs(2));
    let is_removed = |n: usize| trouble() && n % MACHINES_PER_ZONE < REMOVED_PER_ZONE;
    for n in (0..instances.len()).filter(|n| is_removed(*n)) {
        record.line(&format!("{} gets SIGTERM and doesn't come back", instances[n].name));
        instances[n].signal("TERM");
        thread::sleep(REMOVAL_GAP);
    }
    wait_until("the removed machines have ended", Duration::from_secs(10), || {
        (0..instances.len()).filter(|n| is_removed(*n)).all(|n| !instances[n].is_running())
    });
    // More than `stability`: the others are in touch.
    thread::sleep(Duration::from_secs(4));
    // Without the disruption, the request comes at the same machines.
    let fronts: Vec<_> = (0..instances.len())
        .filter(|n| n % MACHINES_PER_ZONE >= REMOVED_PER_ZONE)
        .map(|n| (instances[n].name.clone(), instances[n].front))
        .collect();
    let mut arrivals = Vec::new();
    for n in 0..ARRIVALS {
        // One zone after the other.
        let per_zone = MACHINES_PER_ZONE - REMOVED_PER_ZONE;
        let machine = (n % ZONES.len()) * per_zone + n / ZONES.len() % per_zone;
        let (name, front) = fronts[machine].clone();
        let record = record.clone();
        arrivals.push(thread::spawn(move || {
            let id = new_id();
            let headers = [("x-request-id", id.clone()), ("x-deadline-ms", "2000".to_owned())];
            record.line(&format!("{id} is sent to {name}"));
            let body = b"{\"sheets\":500}";
            let limit = Duration::from_millis(2_500);
            let answer = call(front, "POST", "/orders/deadly", &headers, body, limit);
            let status = answer.map_or(0, |a| a.status);
            record.line(&format!("{id} gets status {status} from {name}"));
        }));
        thread::sleep(PAUSE);
    }
    arrivals.into_iter().for_each(|a| drop(a.join()));
    let crashes = crashes.lock().unwrap();
    let late = crashes.get(2).map_or(0, |third| {
        crashes.iter().filter(|c| c.2 > third.2 + STABILITY).count()
    });
    record.say(&format!(
        "the request came {ARRIVALS} times and crashed {} servers; {late} of them later than {} s after \
         the third",
        crashes.len(),
        STABILITY.as_secs()
    ));
    if late > 3 {
        record.say("BUDGET: it reached servers in more than three retries after that");
    }
    drop(instances);
    let _ = std::fs::remove_dir_all(&temp);
    std::process::exit(if could_not_run() { 2 } else { i32::from(late > 3) });
}
