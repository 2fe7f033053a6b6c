//! The sweep of a keyed service's upstreams in `mulberryspur-platform`: how a coordinator that does not
//! know the last owners for certain finds out that no upstream holds other keys.
//!
//! Answers a store that was away for longer than a lease lasts and came back from a copy: the next
//! coordinator cannot know whether keys have moved since the copy, and would have to wait until the
//! longest grant has expired, while no key is served.
//!
//! Each upstream is asked to release all keys but those that the known owners give it, with a fence
//! above those of all earlier grants. Releases are never refused, and raise the fence that the
//! upstream has seen, so that it refuses what earlier coordinators have sent it for these keys,
//! also if that is carried out late. Once all have answered, each key is held by its known owner or
//! by none. Where the known owners are the last ones, which is usual, nothing is released that is
//! held, and requests are served all the while.

use crate::{
    clock::Millis,
    collections::HashMap,
    coordinator::{OrderId, OrderOutcome, ReleaseOrder},
    keymap::{Key, KeyMap, KeyRange, Owner, subtract},
    routing_config::UpstreamInfo,
};
use std::{net::SocketAddr, sync::Arc};

/// Time in milliseconds until a failed release is sent again.
const RETRY_DELAY_MS: Millis = 700;
/// Time in milliseconds for which the listing of a restored store must be known: entries of upstreams
/// that live and reach the store are in it two seconds after its return, and others lapse.
const LISTING_DELAY_MS: Millis = 2_600;
/// Time in milliseconds for which an upstream that is no longer listed may hold keys: the longest
/// grant of 10 s, 2 % of clock drift, transit, and twice the validity of a lease until a coordinator
/// notices.
const UPSTREAM_MEMORY_MS: Millis = 15_000;

/// The state of a coordinator that does not know the last owners for certain, until its first commit.
///
/// Until the end of the sweep, or until every grant of an earlier coordinator must have expired, no
/// owners are committed, as upstreams that are not known as owners may hold keys. No key is granted
/// before that commit: keys may have been held elsewhere with higher fences than those of the owners
/// that are known.
#[derive(Debug)]
pub(crate) struct Uncertainty {
    /// When the sweep may begin: what earlier coordinators have sent must have arrived, as an upstream
    /// that starts again after its release has seen no fence.
    sweep_at: Millis,
    /// When the last grant of an earlier coordinator must have expired.
    until: Millis,
    /// Releases by the identity of the upstream; empty before the sweep.
    releases: HashMap<Arc<str>, Vec<Release>>,
}

/// One release, of keys that the known owners do not give to the upstream.
#[derive(Debug)]
struct Release {
    range: KeyRange,
    state: ReleaseState,
}

#[derive(Debug, Clone, Copy, PartialEq)]
enum ReleaseState {
    /// To be sent at this time.
    Due(Millis),
    Sent(OrderId),
    Done,
}

impl Uncertainty {
    pub fn new(sweep_at: Millis, until: Millis) -> Self {
        Self { sweep_at, until, releases: HashMap::default() }
    }

    /// Returns whether owners may be committed.
    pub fn may_commit(&self, now: Millis) -> bool {
        let is_swept = !self.releases.is_empty() && self.pending().next().is_none();
        now >= self.until || is_swept
    }

    /// Returns the releases that are due at `now`, recorded as sent; `holders` are all upstreams that
    /// may hold keys besides the known owners.
    pub fn due_releases(
        &mut self,
        now: Millis,
        owners: &KeyMap,
        fence: u64,
        holders: &[Owner],
        mut new_order_id: impl FnMut() -> OrderId,
    ) -> Vec<ReleaseOrder> {
        if now < self.sweep_at {
            return Vec::new();
        }
        let is_listed = |o: &Owner| holders.iter().any(|h| h.id == o.id);
        let known = owners.spans.iter().map(|s| &s.owner).filter(|o| !is_listed(o));
        let mut orders = Vec::new();
        for owner in holders.iter().chain(known) {
            let releases = self.releases.entry(owner.id.clone()).or_insert_with(|| {
                let own = owners.spans.iter().filter(|s| s.owner.id == owner.id);
                let others = subtract(KeyRange::new(0, Key::MAX), own.map(|s| s.range));
                let release = |range| Release { range, state: ReleaseState::Due(now) };
                others.into_iter().map(release).collect()
            });
            for release in releases {
                if matches!(release.state, ReleaseState::Due(at) if now >= at) {
                    let id = new_order_id();
                    release.state = ReleaseState::Sent(id);
                    let (range, owner) = (release.range, owner.clone());
                    orders.push(ReleaseOrder { id, range, owner, fence });
                }
            }
        }
        orders
    }

    /// Handles the outcome of a release; returns whether it was one of this sweep.
    pub fn on_outcome(&mut self, now: Millis, id: OrderId, outcome: &OrderOutcome) -> bool {
        let mut releases = self.releases.values_mut().flatten();
        let Some(release) = releases.find(|r| r.state == ReleaseState::Sent(id)) else {
            return false;
        };
        release.state = match outcome {
            // Another upstream has the address, so the one that was asked has ended.
            OrderOutcome::Done(_) | OrderOutcome::OtherUpstream => ReleaseState::Done,
            _ => ReleaseState::Due(now + RETRY_DELAY_MS),
        };
        true
    }

    /// Returns the upstreams that have not released all that they were asked to.
    pub fn pending(&self) -> impl Iterator<Item = &Arc<str>> {
        let is_pending =
            |releases: &[Release]| releases.iter().any(|r| r.state != ReleaseState::Done);
        self.releases.iter().filter(move |(_, r)| is_pending(r)).map(|(id, _)| id)
    }
}

/// The upstreams of one service that an instance has seen lately: those that may hold keys.
#[derive(Debug)]
pub(crate) struct UpstreamMemory {
    /// Since when the instance would have seen every upstream.
    since: Millis,
    /// Generation of the store from which the listing comes, and since when.
    generation: (u64, Millis),
    /// By identity: the incarnation, its address, and when it was last listed.
    upstreams: HashMap<Arc<str>, (Owner, SocketAddr, Millis)>,
}

impl UpstreamMemory {
    /// Creates the memory of an instance that has seen every upstream since `since`; 0 if it started
    /// together with the whole system.
    pub fn new(now: Millis, since: Millis) -> Self {
        Self { since, generation: (0, now), upstreams: HashMap::default() }
    }

    /// Returns whether this instance may not have seen all upstreams that may hold keys.
    pub fn is_too_short(&self, now: Millis) -> bool {
        self.since != 0 && now < self.since + UPSTREAM_MEMORY_MS
    }

    /// Returns the latest known generation of the store from which a listing came.
    pub fn generation(&self) -> u64 {
        self.generation.0
    }

    /// Returns since when the listing has been of the latest known generation of the store.
    pub fn listed_since(&self) -> Millis {
        self.generation.1
    }

    /// Records the upstreams that are listed at `now` in the given generation of the store.
    pub fn on_listed(&mut self, now: Millis, generation: u64, upstreams: &[Arc<UpstreamInfo>]) {
        if generation > self.generation.0 {
            self.generation = (generation, now);
        }
        for u in upstreams {
            let owner = Owner { id: u.id.clone(), started: u.started };
            self.upstreams.insert(u.id.clone(), (owner, u.address, now));
        }
        self.upstreams.retain(|_, (.., at)| now < *at + UPSTREAM_MEMORY_MS);
    }

    /// Returns all upstreams that may hold keys, with their addresses; `None` if there may be others,
    /// as this instance has not run for long enough, or has no up-to-date listing of the store in
    /// `generation`.
    pub fn possible_holders(
        &self,
        now: Millis,
        generation: u64,
    ) -> Option<impl Iterator<Item = (&Owner, SocketAddr)>> {
        let (listed_in, listed_since) = self.generation;
        let is_listing_complete = listed_in >= generation && now >= listed_since + LISTING_DELAY_MS;
        let upstreams = || self.upstreams.values().map(|(owner, address, _)| (owner, *address));
        (is_listing_complete && !self.is_too_short(now)).then(upstreams)
    }
}
