//! The owners of a service's keys in `mulberryspur-platform`: spans of adjacent keys with their
//! owner and fence.

use crate::{collections::HashMap, revision};
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// A key of a service.
pub type Key = u16;

/// Number of keys of a service.
pub const KEY_COUNT: u32 = 65_536;

/// Adjacent keys, both ends included.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct KeyRange {
    /// First key.
    pub from: Key,
    /// Last key.
    pub to: Key,
}

/// An incarnation of an upstream, as the owner of keys.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Owner {
    /// Identity of the upstream.
    pub id: Arc<str>,
    /// When the incarnation started, in Unix milliseconds by its own clock; distinguishes it from
    /// others with the same identity.
    pub started: u64,
}

/// Adjacent keys with the same owner and fence.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Span {
    /// The keys.
    pub range: KeyRange,
    /// The incarnation that owns them.
    pub owner: Owner,
    /// Fencing token, higher than any under which these keys were owned before: one more than the
    /// revision of the owners that its commit replaced.
    pub fence: u64,
    /// Data that the previous owner handed over, until it has been passed to the owner.
    pub handover: Option<Arc<str>>,
}

/// The committed owners of all keys of one service; keys without a span have no owner.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(into = "CompactMap", try_from = "CompactMap")]
pub struct KeyMap {
    /// Spans in ascending order without overlaps.
    pub spans: Vec<Span>,
}

/// Maximum number of spans of a map: a row of the store holds 64 KiB, and a span takes up to 40
/// bytes.
pub const MAX_SPANS: usize = 1_200;

/// A map as it is stored and sent, with each owner written out once.
#[derive(Debug, Serialize, Deserialize)]
struct CompactMap {
    owners: Vec<(Arc<str>, u64)>,
    spans: Vec<CompactSpan>,
}

/// First key, last key, index of the owner, fence, handover.
type CompactSpan = (Key, Key, usize, u64, Option<Arc<str>>);

impl From<KeyMap> for CompactMap {
    fn from(map: KeyMap) -> Self {
        let mut indexes: HashMap<Owner, usize> = HashMap::default();
        let mut owners = Vec::new();
        let spans = map.spans.into_iter().map(|s| {
            let next = owners.len();
            let index = *indexes.entry(s.owner.clone()).or_insert(next);
            if index == next {
                owners.push((s.owner.id, s.owner.started));
            }
            (s.range.from, s.range.to, index, s.fence, s.handover)
        });
        let spans = spans.collect();
        Self { owners, spans }
    }
}

impl TryFrom<CompactMap> for KeyMap {
    type Error = String;

    fn try_from(map: CompactMap) -> Result<Self, String> {
        let span = |(from, to, index, fence, handover): (Key, Key, usize, u64, _)| {
            let (id, started) = map.owners.get(index).ok_or("span without an owner")?.clone();
            if from > to {
                return Err("span without keys".to_owned());
            }
            Ok(Span {
                range: KeyRange::new(from, to),
                owner: Owner { id, started },
                fence,
                handover,
            })
        };
        let spans: Vec<Span> = map.spans.into_iter().map(span).collect::<Result<_, _>>()?;
        if spans.windows(2).any(|w| w[0].range.to >= w[1].range.from) {
            return Err("spans overlap".to_owned());
        }
        Ok(Self { spans })
    }
}

impl KeyMap {
    /// Returns whether the owners, read at `revision`, are certainly the last ones that were
    /// committed: they were committed since the store was last restored from a copy. Those that were
    /// committed before may not be, as later commits are lost with the restore.
    #[must_use]
    pub fn is_certain_at(&self, revision: u64) -> bool {
        revision::generation(self.latest_fence()) == revision::generation(revision)
    }

    /// Returns the highest fence, 0 without owners: of two maps of one service, the one with the
    /// higher fence was committed later.
    #[must_use]
    pub fn latest_fence(&self) -> u64 {
        self.spans.iter().map(|s| s.fence).max().unwrap_or(0)
    }
}

impl KeyRange {
    /// Creates the range of keys `from..=to`.
    #[must_use]
    pub fn new(from: Key, to: Key) -> Self {
        Self { from, to }
    }

    /// Returns the number of keys.
    #[must_use]
    pub fn len(&self) -> u32 {
        u32::from(self.to) - u32::from(self.from) + 1
    }

    /// Returns `false`: a range holds at least one key.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        false
    }

    /// Returns whether the range contains `key`.
    #[must_use]
    pub fn contains(&self, key: Key) -> bool {
        self.from <= key && key <= self.to
    }

    /// Returns whether the two ranges share a key.
    #[must_use]
    pub fn overlaps(&self, other: &Self) -> bool {
        self.from <= other.to && other.from <= self.to
    }

    /// Returns the keys that both ranges contain.
    #[must_use]
    pub fn intersection(&self, other: &Self) -> Option<Self> {
        self.overlaps(other).then(|| Self::new(self.from.max(other.from), self.to.min(other.to)))
    }

    /// Returns the parts of this range outside `other`: none, one or two ranges.
    pub fn without(&self, other: &Self) -> impl Iterator<Item = Self> + use<> {
        let before = (other.from > self.from)
            .then(|| Self::new(self.from, self.to.min(other.from.saturating_sub(1))));
        let after = (other.to < self.to)
            .then(|| Self::new(self.from.max(other.to.saturating_add(1)), self.to));
        let whole = (!self.overlaps(other)).then_some(*self);
        let parts = if whole.is_some() { [whole, None] } else { [before, after] };
        parts.into_iter().flatten()
    }
}

/// Returns the parts of `range` outside all of `others`.
#[must_use]
pub fn subtract(range: KeyRange, others: impl IntoIterator<Item = KeyRange>) -> Vec<KeyRange> {
    others
        .into_iter()
        .filter(|other| other.overlaps(&range))
        .fold(vec![range], |parts, other| parts.iter().flat_map(|p| p.without(&other)).collect())
}

impl KeyMap {
    /// Returns the span that contains `key`.
    #[must_use]
    pub fn find(&self, key: Key) -> Option<&Span> {
        let pos = self.spans.partition_point(|s| s.range.to < key);
        self.spans.get(pos).filter(|s| s.range.contains(key))
    }

    /// Returns the ranges of keys without an owner.
    #[must_use]
    pub fn gaps(&self) -> Vec<KeyRange> {
        let all = KeyRange::new(0, Key::MAX);
        subtract(all, self.spans.iter().map(|s| s.range))
    }

    /// Inserts `span`, cutting its keys out of the spans that contain them.
    pub fn assign(&mut self, span: Span) {
        let mut spans: Vec<Span> = Vec::with_capacity(self.spans.len() + 2);
        for old in &self.spans {
            for range in old.range.without(&span.range) {
                spans.push(Span { range, ..old.clone() });
            }
        }
        let pos = spans.partition_point(|s| s.range.from < span.range.from);
        spans.insert(pos, span);
        self.spans = spans;
        self.merge_adjacent();
    }

    /// Merges adjacent spans with the same owner and fence and without handover data.
    fn merge_adjacent(&mut self) {
        self.spans.dedup_by(|next, last| {
            let mergeable = last.owner == next.owner
                && last.fence == next.fence
                && last.handover.is_none()
                && next.handover.is_none()
                && u32::from(last.range.to) + 1 == u32::from(next.range.from);
            if mergeable {
                last.range.to = next.range.to;
            }
            mergeable
        });
    }
}
