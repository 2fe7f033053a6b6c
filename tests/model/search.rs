//! Breadth-first search over the states of the model, which keeps fingerprints of earlier levels
//! instead of the states.

use crate::{
    hashed_arc::fingerprint,
    state::{ModelState, Step},
};
use mulberryspur::collections::HashMap;

const THREADS: usize = 8;
const BATCH_STATES: usize = 8_192;

/// What a search found.
#[derive(Debug)]
pub struct Report {
    pub states: usize,
    pub depth: usize,
    /// Whether every reachable state within the bounds was explored.
    pub exhausted: bool,
    /// Shortest sequence of steps to a state in which two owners serve the slot.
    pub counterexample: Option<Vec<Step>>,
}

/// How a state was first reached: from a parent, by one of its steps.
#[derive(Clone, Copy)]
struct Origin {
    parent: u128,
    /// Index among the parent's steps.
    step: u8,
}

/// A state reached from a parent by one of its steps.
struct Successor {
    fingerprint: u128,
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
        for batch in level.chunks(BATCH_STATES) {
            for successor in expand(batch, &origins) {
                if origins.contains_key(&successor.fingerprint) {
                    continue;
                }
                origins.insert(successor.fingerprint, successor.origin);
                if successor.state.serving_owners() > 1 {
                    let path = steps_to(start, root, successor.fingerprint, &origins);
                    let states = origins.len();
                    return Report { states, depth, exhausted: false, counterexample: Some(path) };
                }
                next.push((successor.fingerprint, successor.state));
            }
        }
        depth += 1;
        level = next;
    }
    let exhausted = level.is_empty();
    Report { states: origins.len(), depth, exhausted, counterexample: None }
}

/// Returns the successors of a level that are not known yet, in a fixed order.
fn expand(level: &[(u128, ModelState)], known: &HashMap<u128, Origin>) -> Vec<Successor> {
    let chunk = level.len().div_ceil(THREADS).max(1);
    std::thread::scope(|scope| {
        let spawn = |part| scope.spawn(move || expand_part(part, known));
        let parts: Vec<_> = level.chunks(chunk).map(spawn).collect();
        parts.into_iter().flat_map(|p| p.join().expect("search thread")).collect()
    })
}

fn expand_part(level: &[(u128, ModelState)], known: &HashMap<u128, Origin>) -> Vec<Successor> {
    let mut successors = Vec::new();
    for (parent, state) in level {
        for (n, step) in state.steps().into_iter().enumerate() {
            let after = state.apply(step);
            let fingerprint = fingerprint(&after);
            if !known.contains_key(&fingerprint) {
                let step = u8::try_from(n).expect("fewer than 256 steps");
                let origin = Origin { parent: *parent, step };
                successors.push(Successor { fingerprint, origin, state: after });
            }
        }
    }
    successors
}

/// Returns the steps from `start` to the state with fingerprint `end`.
fn steps_to(
    start: &ModelState,
    root: u128,
    end: u128,
    origins: &HashMap<u128, Origin>,
) -> Vec<Step> {
    let mut choices = Vec::new();
    let mut current = end;
    while current != root {
        let origin = origins[&current];
        choices.push(usize::from(origin.step));
        current = origin.parent;
    }
    let mut state = start.clone();
    let replay = |n| {
        let step = state.steps()[n];
        state = state.apply(step);
        step
    };
    choices.into_iter().rev().map(replay).collect()
}
