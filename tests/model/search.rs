//! Breadth-first search over worlds, which keeps fingerprints instead of whole states.

use crate::{
    shared::fingerprint,
    state::{ModelState, Step},
};
use mulberryspur::collections::HashMap;

const THREADS: usize = 8;
const BATCH: usize = 8_192;

/// What a search found.
#[derive(Debug)]
pub struct Report {
    pub states: usize,
    pub depth: usize,
    /// Whether every reachable state within the bounds was explored.
    pub exhausted: bool,
    /// Shortest way to a state in which two upstreams serve the slot.
    pub counterexample: Option<Vec<Step>>,
}

#[derive(Clone, Copy)]
struct Origin {
    parent: u128,
    step: u8,
}

/// A state reached from a parent by one of its steps.
struct Found {
    print: u128,
    origin: Origin,
    state: ModelState,
}

/// Explores at most `max_states` states.
pub fn search(start: &ModelState, max_states: usize) -> Report {
    let root = fingerprint(start);
    let mut origins: HashMap<u128, Origin> = HashMap::default();
    origins.insert(root, Origin { parent: root, step: 0 });
    let mut level = vec![(root, start.clone())];
    let mut depth = 0;
    while !level.is_empty() && origins.len() <= max_states {
        let mut next = Vec::new();
        for batch in level.chunks(BATCH) {
            for found in expand(batch, &origins) {
                if origins.contains_key(&found.print) {
                    continue;
                }
                origins.insert(found.print, found.origin);
                if found.state.serving_owners() > 1 {
                    let path = path(start, root, found.print, &origins);
                    let states = origins.len();
                    return Report { states, depth, exhausted: false, counterexample: Some(path) };
                }
                next.push((found.print, found.state));
            }
        }
        depth += 1;
        level = next;
    }
    let exhausted = level.is_empty();
    Report { states: origins.len(), depth, exhausted, counterexample: None }
}

/// Returns the successors of a level that are not known, in a fixed order.
fn expand(level: &[(u128, ModelState)], known: &HashMap<u128, Origin>) -> Vec<Found> {
    let chunk = level.len().div_ceil(THREADS).max(1);
    std::thread::scope(|scope| {
        let spawn = |part| scope.spawn(move || expand_part(part, known));
        let parts: Vec<_> = level.chunks(chunk).map(spawn).collect();
        parts.into_iter().flat_map(|p| p.join().expect("search thread")).collect()
    })
}

fn expand_part(level: &[(u128, ModelState)], known: &HashMap<u128, Origin>) -> Vec<Found> {
    let mut found = Vec::new();
    for (parent, world) in level {
        for (n, step) in world.steps().into_iter().enumerate() {
            let after = world.apply(step);
            let print = fingerprint(&after);
            if !known.contains_key(&print) {
                let step = u8::try_from(n).expect("fewer than 256 steps");
                let origin = Origin { parent: *parent, step };
                found.push(Found { print, origin, state: after });
            }
        }
    }
    found
}

fn path(start: &ModelState, root: u128, end: u128, origins: &HashMap<u128, Origin>) -> Vec<Step> {
    let mut choices = Vec::new();
    let mut at = end;
    while at != root {
        let origin = origins[&at];
        choices.push(usize::from(origin.step));
        at = origin.parent;
    }
    let mut world = start.clone();
    let replay = |n| {
        let step = world.steps()[n];
        world = world.apply(step);
        step
    };
    choices.into_iter().rev().map(replay).collect()
}
