//! An independent check of the upstreams' journals: no two processes hold or serve a slot at once,
//! nothing forbidden ran twice, and what callers were told is true.

use super::load::RequestResult;
use hyper::Method;
use mulberryspur::standin::upstream::JournalEntry;
use std::{
    collections::{BTreeMap, HashMap},
    path::Path,
};

type Process = (String, u64);

/// A time during which a process held a slot.
#[derive(Debug, Clone)]
struct Interval {
    from: u64,
    until: u64,
    process: Process,
    epoch: u64,
}

/// Returns everything that is wrong.
pub fn find_violations(dir: &Path, answers: &[RequestResult]) -> Vec<String> {
    let entries = read(dir);
    let mut faults = overlaps(&intervals(&entries));
    faults.extend(run_order(&entries));
    faults.extend(outcomes(&entries, answers));
    faults
}

fn read(dir: &Path) -> Vec<JournalEntry> {
    let mut entries = Vec::new();
    for file in std::fs::read_dir(dir).expect("directory") {
        let path = file.expect("file").path();
        if path.extension().is_some_and(|e| e == "journal") {
            let text = std::fs::read_to_string(&path).expect("journal");
            // The last line may be cut off by a kill.
            entries
                .extend(text.lines().filter_map(|l| serde_json::from_str::<JournalEntry>(l).ok()));
        }
    }
    entries
}

fn intervals(entries: &[JournalEntry]) -> BTreeMap<u32, Vec<Interval>> {
    let mut by_process: BTreeMap<Process, Vec<&JournalEntry>> = BTreeMap::new();
    for e in entries {
        if let JournalEntry::Hold { upstream, boot, .. } = e {
            by_process.entry((upstream.to_string(), *boot)).or_default().push(e);
        }
    }
    let mut all: BTreeMap<u32, Vec<Interval>> = BTreeMap::new();
    for (process, holds) in by_process {
        let mut open: HashMap<u32, Interval> = HashMap::new();
        for hold in holds {
            let JournalEntry::Hold { at, slots, until, .. } = hold else { continue };
            let now: HashMap<u32, u64> = slots.iter().copied().collect();
            let lost: Vec<u32> = open
                .iter()
                .filter(|(s, i)| now.get(s) != Some(&i.epoch) || *at >= i.until)
                .map(|(s, _)| *s)
                .collect();
            for slot in lost {
                let mut interval = open.remove(&slot).expect("open interval");
                interval.until = interval.until.min(*at);
                all.entry(slot).or_default().push(interval);
            }
            for (slot, epoch) in now {
                let new = Interval { from: *at, until: *until, process: process.clone(), epoch };
                open.entry(slot).or_insert(new).until = *until;
            }
        }
        for (slot, interval) in open {
            all.entry(slot).or_default().push(interval);
        }
    }
    all
}

fn overlaps(all: &BTreeMap<u32, Vec<Interval>>) -> Vec<String> {
    let mut faults = Vec::new();
    for (slot, intervals) in all {
        let mut sorted = intervals.clone();
        sorted.sort_by_key(|i| (i.from, i.until));
        for pair in sorted.windows(2) {
            let (a, b) = (&pair[0], &pair[1]);
            if a.process != b.process && b.from < a.until {
                faults.push(format!("slot {slot} held twice: {a:?} and {b:?}"));
            }
            if a.process != b.process && b.epoch <= a.epoch {
                faults.push(format!("slot {slot}: epoch does not grow: {a:?} then {b:?}"));
            }
        }
    }
    faults
}

/// Runs of a slot must never go back to an earlier epoch, and an epoch belongs to one process.
fn run_order(entries: &[JournalEntry]) -> Vec<String> {
    let mut faults = Vec::new();
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
            // Readings are whole milliseconds: runs in the same one have no order.
            if pair[1].1 < pair[0].1 && pair[1].0 > pair[0].0 {
                faults.push(format!("slot {slot}: {:?} after {:?}", pair[1], pair[0]));
            }
            if pair[1].1 == pair[0].1 && pair[1].2 != pair[0].2 {
                faults.push(format!("slot {slot}: one epoch, two processes: {pair:?}"));
            }
        }
    }
    faults
}

fn outcomes(entries: &[JournalEntry], answers: &[RequestResult]) -> Vec<String> {
    let mut count: HashMap<&str, usize> = HashMap::new();
    let mut faults = Vec::new();
    for e in entries {
        if let JournalEntry::Run { request, method, .. } = e {
            let n = count.entry(request).or_default();
            *n += 1;
            if *n > 1 && method == "POST" {
                faults.push(format!("POST {request} ran {n} times"));
            }
        }
    }
    for a in answers {
        let ran = count.get(a.id.as_str()).copied().unwrap_or(0);
        match a.outcome.as_deref() {
            Some("not-run") if ran > 0 => faults.push(format!("told not-run, but ran: {a:?}")),
            Some("ran") if ran == 0 => faults.push(format!("told ran, but did not: {a:?}")),
            Some(_) | None => {}
        }
        if a.status.is_some() && a.outcome.is_none() {
            faults.push(format!("answer without an outcome: {a:?}"));
        }
        if a.method == Method::POST && a.outcome.as_deref() == Some("ran") && ran != 1 {
            faults.push(format!("POST told ran, ran {ran} times: {a:?}"));
        }
    }
    faults
}
