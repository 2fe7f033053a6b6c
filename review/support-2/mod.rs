//! Stand-ins for the cases of the second review: the platform's store, workers, clients and
//! machines, with nothing but the standard library. They speak what PROTOCOL.md says.

#![allow(dead_code, reason = "each case uses a part")]

pub mod http;
pub mod json;
pub mod machine;
pub mod record;
pub mod store;
pub mod worker;

use self::{machine::TempDir, record::Record};
use std::{panic, path::Path, process::exit, thread, time::Duration};

/// Longest time of a case.
const LIMIT: Duration = Duration::from_secs(115);

pub fn sleep_ms(ms: u64) {
    thread::sleep(Duration::from_millis(ms));
}

/// Returns whether the disruption is played; with `TROUBLE=0` it is not.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |v| v != "0")
}

/// Plays a case, and exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not
/// run. All processes have ended then.
pub fn run_case(number: u32, play: impl Fn(&TempDir, &Record) -> i32 + panic::RefUnwindSafe) -> ! {
    let record = Record::new(Path::new(&format!("review/{number}/record.txt")));
    thread::spawn(|| {
        thread::sleep(LIMIT);
        println!("the case takes too long");
        machine::kill_all();
        exit(2);
    });
    let dir = TempDir::new(&format!("review-{number}"));
    let result = panic::catch_unwind(panic::AssertUnwindSafe(|| play(&dir, &record)));
    machine::kill_all();
    drop(dir);
    exit(result.unwrap_or(2));
}
