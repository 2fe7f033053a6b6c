//! Differences between two maps of a service's owners, and when they are sent.
//!
//! Answers many instances and a coordinator that commits up to 16 times a second: a map of 900 spans
//! takes some 25 KB, and a commit changes a few of them. Sent whole to 28 dependents each time, owners
//! alone take several times what a link of 10 Mbit/s carries.
//!
//! A difference is between two revisions of the owners' row, and a revision stands for one map. So the
//! receiver may apply it to any map that it remembers, and gets exactly the map of the later revision,
//! whatever was lost, doubled or reordered in between. It never applies a part.
//!
//! Points in time are readings of the boot clock in milliseconds.

use crate::{
    clock::Millis,
    collections::HashMap,
    keymap::{KeyMap, KeyRange, Span},
};
use serde::{Deserialize, Serialize};
use std::{cmp::Ordering, collections::VecDeque, sync::Arc};

/// Number of remembered maps of a service, each of up to 100 KB: half a second of commits.
pub const REMEMBERED_MAPS: usize = 8;
/// Least time in milliseconds between two pushes of a service's owners to many dependents. Requests
/// for keys on the move wait for 700 ms at most, so the last push before has to be recent.
pub const PUSH_INTERVAL_MS: Millis = 100;
/// Number of dependents from which an instance counts as having many: pushes are paced, and only the
/// relay sends them. At 12 instances each commit is pushed at once.
pub const MANY_DEPENDENTS: usize = 16;
/// Spans that take as many bytes as what a difference has beside its spans: revisions and counts.
const OVERHEAD_SPANS: usize = 4;

/// The spans in which a map differs from an earlier one.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OwnerDelta {
    /// Spans that the earlier map does not have in this form.
    pub spans: KeyMap,
    /// Spans of the earlier map none of whose keys has an owner any more.
    pub removed: Vec<KeyRange>,
    /// Number of spans of the whole map.
    pub span_count: usize,
}

impl OwnerDelta {
    /// Returns the difference from `old` to `new`.
    #[must_use]
    pub fn between(old: &KeyMap, new: &KeyMap) -> Self {
        let mut changed: Vec<Span> = Vec::new();
        let mut old_spans = old.spans.iter().peekable();
        for span in &new.spans {
            while old_spans.next_if(|o| o.range.from < span.range.from).is_some() {}
            if old_spans.peek() != Some(&span) {
                changed.push(span.clone());
            }
        }
        let is_removed = |s: &&Span| !overlaps_any(&new.spans, s.range);
        let removed = old.spans.iter().filter(is_removed).map(|s| s.range).collect();
        Self { spans: KeyMap { spans: changed }, removed, span_count: new.spans.len() }
    }

    /// Returns whether the difference takes fewer bytes than the whole map.
    #[must_use]
    pub fn is_smaller_than_whole(&self) -> bool {
        self.spans.spans.len() + self.removed.len() + OVERHEAD_SPANS < self.span_count
    }

    /// Returns the later map; `None` if `old` is not the earlier one, as far as that can be seen.
    #[must_use]
    pub fn apply(&self, old: &KeyMap) -> Option<KeyMap> {
        let is_span = |r: &KeyRange| old.find(r.from).is_some_and(|s| s.range == *r);
        if !self.removed.iter().all(is_span) {
            return None;
        }
        let mut removed = self.removed.clone();
        removed.sort_unstable();
        let is_kept = |s: &&Span| {
            removed.binary_search(&s.range).is_err() && !overlaps_any(&self.spans.spans, s.range)
        };
        let mut changed = self.spans.spans.iter().peekable();
        let mut spans = Vec::with_capacity(self.span_count.min(old.spans.len() + changed.len()));
        for kept in old.spans.iter().filter(is_kept) {
            while let Some(span) = changed.next_if(|c| c.range.cmp(&kept.range) == Ordering::Less) {
                spans.push(span.clone());
            }
            spans.push(kept.clone());
        }
        spans.extend(changed.cloned());
        (spans.len() == self.span_count).then_some(KeyMap { spans })
    }
}

/// Returns whether one of the spans, which are in ascending order, shares a key with the range.
fn overlaps_any(spans: &[Span], range: KeyRange) -> bool {
    let pos = spans.partition_point(|s| s.range.to < range.from);
    spans.get(pos).is_some_and(|s| s.range.overlaps(&range))
}

/// A difference with the revisions of the owners' row that it leads from and to.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OwnersChange {
    /// The service.
    pub service: Arc<str>,
    /// Revision of the earlier map.
    pub base: u64,
    /// Revision of the later map.
    pub revision: u64,
    /// The difference.
    pub delta: OwnerDelta,
}

/// The last maps of each service by revision.
#[derive(Debug, Default)]
pub struct RecentOwners {
    by_service: HashMap<Arc<str>, VecDeque<(u64, Arc<KeyMap>)>>,
}

impl RecentOwners {
    /// Remembers a map.
    pub fn record(&mut self, service: &Arc<str>, revision: u64, map: &Arc<KeyMap>) {
        let maps = self.by_service.entry(service.clone()).or_default();
        maps.retain(|(r, _)| *r != revision);
        if maps.len() >= REMEMBERED_MAPS {
            maps.pop_front();
        }
        maps.push_back((revision, map.clone()));
    }

    /// Returns the map of a revision.
    #[must_use]
    pub fn get(&self, service: &str, revision: u64) -> Option<&Arc<KeyMap>> {
        let maps = self.by_service.get(service)?;
        maps.iter().find(|(r, _)| *r == revision).map(|(_, map)| map)
    }

    /// Returns the last remembered revision before `revision`.
    #[must_use]
    pub fn revision_before(&self, service: &str, revision: u64) -> Option<u64> {
        let maps = self.by_service.get(service)?;
        maps.iter().map(|(r, _)| *r).filter(|r| *r < revision).max()
    }

    /// Returns the change that leads from the revision `base` to `map`, if the base is remembered and
    /// the change takes fewer bytes than the map.
    #[must_use]
    pub fn change_since(
        &self,
        service: &Arc<str>,
        base: u64,
        revision: u64,
        map: &KeyMap,
    ) -> Option<OwnersChange> {
        let delta = OwnerDelta::between(self.get(service, base)?, map);
        let service = service.clone();
        (base < revision && delta.is_smaller_than_whole()).then_some(OwnersChange {
            service,
            base,
            revision,
            delta,
        })
    }
}

/// What to do about owners that have changed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PushDecision {
    /// Push now.
    Now,
    /// Push at this time, with what changes until then.
    At(Millis),
    /// A push is due that will contain the change.
    Pending,
}

/// When the owners of one service are pushed: at once after a quiet time, else at most every
/// [`PUSH_INTERVAL_MS`].
#[derive(Debug, Default)]
pub struct PushPace {
    pushed_at: Option<Millis>,
    /// When the push is due that waits.
    due_at: Option<Millis>,
    /// Revision that the dependents were sent last, by this instance or another one.
    pub sent_revision: Option<u64>,
}

impl PushPace {
    /// Decides about a change.
    pub fn on_change(&mut self, now: Millis, dependents: usize) -> PushDecision {
        let next_at = self.pushed_at.map_or(0, |at| at + PUSH_INTERVAL_MS);
        // A push that is long overdue had nothing to send, as the owners were deleted.
        if self.due_at.is_some_and(|due| now < due + PUSH_INTERVAL_MS) {
            PushDecision::Pending
        } else if dependents >= MANY_DEPENDENTS && now < next_at {
            self.due_at = Some(next_at);
            PushDecision::At(next_at)
        } else {
            PushDecision::Now
        }
    }

    /// Records a push, or that another instance pushes this revision.
    pub fn on_pushed(&mut self, now: Millis, revision: u64) {
        (self.pushed_at, self.due_at) = (Some(now), None);
        self.sent_revision = Some(revision);
    }
}
