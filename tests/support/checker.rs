//! Checks the journals of upstreams independently of the code under test: no two processes hold or
//! serve a slot at once, no non-idempotent request ran twice, and what callers were told is true.

use super::load::RequestResult;
use hyper::Method;
use mulberryspur::standin::upstream::JournalEntry;
use std::{
    collections::{BTreeMap, HashMap},
    path::Path,
};

/// Name of an upstream and identity of its process.
type Process = (String, u64);

/// Time during which a process held a slot.
#[derive(Debug, Clone)]
struct HoldInterval {
    from: u64,
    until: u64,
    process: Process,
    epoch: u64,
}

/// Returns a description of each violation in the journals of a directory and in what callers were
/// told.
pub fn find_violations(dir: &Path, results: &[RequestResult]) -> Vec<String> {
    let entries = read_journals(dir);
    let mut violations = hold_violations(&hold_intervals(&entries));
    violations.extend(run_violations(&entries));
    violations.extend(outcome_violations(&entries, results));
    violations
}

fn read_journals(dir: &Path) -> Vec<JournalEntry> {
    let mut entries = Vec::new();
    for file in std::fs::read_dir(dir).expect("directory") {
        let path = file.expect("file").path();
        if path.extension().is_some_and(|e| e == "journal") {
            let text = std::fs::read_to_string(&path).expect("journal");
            // The last line is incomplete if the process was killed while writing it.
            entries
                .extend(text.lines().filter_map(|l| serde_json::from_str::<JournalEntry>(l).ok()));
        }
    }
    entries
}

/// Returns the intervals for which slots were held, by slot.
fn hold_intervals(entries: &[JournalEntry]) -> BTreeMap<u32, Vec<HoldInterval>> {
    let mut by_process: BTreeMap<Process, Vec<&JournalEntry>> = BTreeMap::new();
    for e in entries {
        if let JournalEntry::Hold { upstream, boot, .. } = e {
            by_process.entry((upstream.to_string(), *boot)).or_default().push(e);
        }
    }
    let mut by_slot: BTreeMap<u32, Vec<HoldInterval>> = BTreeMap::new();
    for (process, holds) in by_process {
        let mut open: HashMap<u32, HoldInterval> = HashMap::new();
        for hold in holds {
            let JournalEntry::Hold { at, slots, until, .. } = hold else { continue };
            let held: HashMap<u32, u64> = slots.iter().copied().collect();
            let ended: Vec<u32> = open
                .iter()
                .filter(|(s, i)| held.get(s) != Some(&i.epoch) || *at >= i.until)
                .map(|(s, _)| *s)
                .collect();
            for slot in ended {
                let mut interval = open.remove(&slot).expect("open interval");
                interval.until = interval.until.min(*at);
                by_slot.entry(slot).or_default().push(interval);
            }
            for (slot, epoch) in held {
                let new =
                    HoldInterval { from: *at, until: *until, process: process.clone(), epoch };
                open.entry(slot).or_insert(new).until = *until;
            }
        }
        for (slot, interval) in open {
            by_slot.entry(slot).or_default().push(interval);
        }
    }
    by_slot
}

/// Returns overlapping intervals of two processes, and changes of process that do not raise the
/// epoch.
fn hold_violations(by_slot: &BTreeMap<u32, Vec<HoldInterval>>) -> Vec<String> {
    let mut violations = Vec::new();
    for (slot, intervals) in by_slot {
        let mut sorted = intervals.clone();
        sorted.sort_by_key(|i| (i.from, i.until));
        for pair in sorted.windows(2) {
            let (a, b) = (&pair[0], &pair[1]);
            if a.process != b.process && b.from < a.until {
                violations
                    .push(format!("slot {slot}: held by two processes at once: {a:?} and {b:?}"));
            }
            if a.process != b.process && b.epoch <= a.epoch {
                violations.push(format!(
                    "slot {slot}: new process without a higher epoch: {a:?} then {b:?}"
                ));
            }
        }
    }
    violations
}

/// Returns runs of a slot under an earlier epoch than a run before, and epochs of a slot under
/// which two processes ran requests.
fn run_violations(entries: &[JournalEntry]) -> Vec<String> {
    let mut violations = Vec::new();
    let mut runs: BTreeMap<u32, Vec<(u64, u64, Process, &str)>> = BTreeMap::new();
    for e in entries {
        if let JournalEntry::Run {
            at, upstream, boot, slot: Some((slot, epoch)), request, ..
        } = e
        {
            let process = (upstream.to_string(), *boot);
            runs.entry(*slot).or_default().push((*at, *epoch, process, request));
        }
    }
    for (slot, mut list) in runs {
        list.sort();
        for pair in list.windows(2) {
            // Times are whole milliseconds: runs within the same one have no order.
            if pair[1].1 < pair[0].1 && pair[1].0 > pair[0].0 {
                violations.push(format!(
                    "slot {slot}: run under an earlier epoch: {:?} after {:?}",
                    pair[1], pair[0]
                ));
            }
            if pair[1].1 == pair[0].1 && pair[1].2 != pair[0].2 {
                violations
                    .push(format!("slot {slot}: runs of two processes under one epoch: {pair:?}"));
            }
        }
    }
    violations
}

/// Returns requests that ran more often than allowed, and results whose outcome contradicts the
/// journals.
fn outcome_violations(entries: &[JournalEntry], results: &[RequestResult]) -> Vec<String> {
    let mut count: HashMap<&str, usize> = HashMap::new();
    let mut violations = Vec::new();
    for e in entries {
        if let JournalEntry::Run { request, method, .. } = e {
            let n = count.entry(request).or_default();
            *n += 1;
            if *n > 1 && method == "POST" {
                violations.push(format!("POST {request} ran {n} times"));
            }
        }
    }
    for r in results {
        let ran = count.get(r.id.as_str()).copied().unwrap_or(0);
        match r.outcome.as_deref() {
            Some("not-run") if ran > 0 => violations.push(format!("told not-run, but ran: {r:?}")),
            Some("ran") if ran == 0 => violations.push(format!("told ran, but did not: {r:?}")),
            Some(_) | None => {}
        }
        if r.status.is_some() && r.outcome.is_none() {
            violations.push(format!("response without an outcome: {r:?}"));
        }
        if r.method == Method::POST && r.outcome.as_deref() == Some("ran") && ran != 1 {
            violations.push(format!("POST told ran, ran {ran} times: {r:?}"));
        }
    }
    violations
}
