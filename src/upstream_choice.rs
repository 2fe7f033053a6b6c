//! Chooses among the upstreams that may serve a request of `mulberryspur-platform`.
//!
//! Answers the load of many instances that share many small upstreams, so that each instance sees a
//! given upstream once in some seconds. If all of them compared all upstreams, they would send
//! their requests to the same few that seemed fast or idle when last seen. Where an instance knows
//! nothing recent about an upstream, it compares a few of them, drawn at random; those that it has
//! heard from recently, which with few instances are all, are always compared.

use rand::seq::IndexedRandom;

/// Upstreams in the instance's data centre, without recent information, that are compared.
const LOCAL_SAMPLES: usize = 2;
/// Upstreams in other data centres, without recent information, that are compared.
const REMOTE_SAMPLES: usize = 1;

/// An upstream that may be chosen.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Candidate<T> {
    /// What identifies it.
    pub id: T,
    /// Whether its load is known from a recent response or from requests in flight.
    pub recently_seen: bool,
    /// Whether it runs in this instance's data centre.
    pub same_data_center: bool,
}

/// Returns the candidate with the least `score` among those that are compared.
pub(crate) fn choose<T: Copy>(
    candidates: impl IntoIterator<Item = Candidate<T>>,
    score: impl Fn(T) -> f64,
) -> Option<T> {
    let (mut compared, mut local, mut remote) = (Vec::new(), Vec::new(), Vec::new());
    for c in candidates {
        match (c.recently_seen, c.same_data_center) {
            (true, _) => compared.push(c.id),
            (false, true) => local.push(c.id),
            (false, false) => remote.push(c.id),
        }
    }
    let rng = &mut rand::rng();
    compared.extend(local.choose_multiple(rng, LOCAL_SAMPLES));
    compared.extend(remote.choose_multiple(rng, REMOTE_SAMPLES));
    let scored = compared.into_iter().map(|id| (score(id), id));
    scored.min_by(|a, b| a.0.total_cmp(&b.0)).map(|(_, id)| id)
}
