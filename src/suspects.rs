//! Requests under which upstreams have ended, in `mulberryspur-platform`: which of them are sent to no
//! further upstream.
//!
//! Answers a caller that sends a request again and again that ends each upstream that runs it: every
//! run costs all that the upstream serves for seconds. All instances share what they have seen, as
//! the request may come to any of them.
//!
//! Many requests are under way when an upstream ends, and all but one are innocent. A request is
//! rejected only after it has ended upstreams [`MAX_ENDS`] times, one after the other: upstreams that
//! end while copies of it run at all of them count once. One that has been answered since is
//! innocent.
//!
//! Each request is counted under two fingerprints, that of its content and that of its content and
//! caller. A caller's address may change, and then only the first one shows that it is the same
//! request. If it ends upstreams for something that only one caller sends with it, the answers to
//! others clear the first one, and the second one remains.

use crate::{clock::Millis, collections::HashMap, fingerprint::Fingerprint};
use serde::{Deserialize, Serialize};

/// Ends of upstreams after which a request is rejected.
pub const MAX_ENDS: usize = 3;
/// Time in milliseconds by which an attempt may seem to begin before an earlier one has ended that it
/// followed: news of other instances arrive later than what they tell of.
const OVERLAP_TOLERANCE_MS: Millis = 50;
/// Time in milliseconds for which a request is rejected after its last end of an upstream; it doubles
/// with each further one.
const QUARANTINE_MS: Millis = 120_000;
/// Longest quarantine in milliseconds.
const MAX_QUARANTINE_MS: Millis = 1_800_000;
/// Time in milliseconds after the last end for which a request is remembered.
const MEMORY_MS: Millis = 3_600_000;
/// Time in milliseconds for which a request is known as innocent, so that late news do not count.
const CLEARED_MEMORY_MS: Millis = 10_000;
/// Time in milliseconds between checks for requests that are remembered no longer.
const EXPIRY_INTERVAL_MS: Millis = 1_000;
/// Maximum number of remembered requests.
const MAX_SUSPECTS: usize = 1_024;
/// Maximum number of ends that are remembered of one request.
const MAX_REMEMBERED_ENDS: usize = 8;
/// Maximum number of requests that are told to an instance that may have missed earlier notices, and in
/// one message of what has changed.
const MAX_NOTICES: usize = 32;
/// Maximum number of requests in the reply to a digest: all of [`MAX_NOTICES`] have had their turn
/// within eight replies, 2.4 s.
const NOTICES_PER_REPLY: usize = 4;

/// The end of an upstream under a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct End {
    /// Hash of the upstream's identity and incarnation.
    pub incarnation: u64,
    /// When the request was sent to it, in milliseconds.
    pub sent_at: Millis,
    /// When it ended, in milliseconds.
    pub ended_at: Millis,
}

/// What an instance knows of one request, for others; times are ages in milliseconds.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Notice {
    /// The request.
    pub fingerprint: Fingerprint,
    /// Ends of upstreams: incarnation, age of the sending, age of the end.
    pub ends: Vec<(u64, Millis, Millis)>,
    /// How long ago it was answered or pardoned, if it was.
    pub cleared: Option<Millis>,
}

#[derive(Debug, Default)]
struct Suspect {
    /// Ends since it was last cleared, in the order in which upstreams ended.
    ends: Vec<End>,
    cleared_at: Option<Millis>,
}

impl Suspect {
    /// Returns how often upstreams have ended under it, one after the other.
    fn count(&self) -> usize {
        let mut last_end = None;
        let counted = self.ends.iter().filter(|e| {
            let follows = last_end.is_none_or(|t| e.sent_at + OVERLAP_TOLERANCE_MS >= t);
            if follows {
                last_end = Some(e.ended_at);
            }
            follows
        });
        counted.count()
    }

    fn last_end(&self) -> Millis {
        self.ends.last().map_or(0, |e| e.ended_at)
    }

    fn rejected_until(&self) -> Option<Millis> {
        let further = self.count().checked_sub(MAX_ENDS)?;
        let quarantine = (QUARANTINE_MS << further.min(8)).min(MAX_QUARANTINE_MS);
        Some(self.last_end() + quarantine)
    }

    fn forget_at(&self) -> Millis {
        let cleared_until = self.cleared_at.map_or(0, |t| t + CLEARED_MEMORY_MS);
        let ended_until = self.ends.last().map_or(0, |e| e.ended_at + MEMORY_MS);
        cleared_until.max(ended_until)
    }

    /// Adds an end; returns whether it was not known.
    fn add(&mut self, end: End) -> bool {
        let is_known = self.ends.iter().any(|e| e.incarnation == end.incarnation);
        if is_known || self.cleared_at.is_some_and(|t| end.ended_at <= t) {
            return false;
        }
        self.ends.push(end);
        self.ends.sort_by_key(|e| e.ended_at);
        if self.ends.len() > MAX_REMEMBERED_ENDS {
            self.ends.remove(0);
        }
        true
    }

    fn clear(&mut self, at: Millis) -> bool {
        if self.cleared_at.is_some_and(|t| t >= at) {
            return false;
        }
        let before = self.ends.len();
        self.cleared_at = Some(at);
        self.ends.retain(|e| e.ended_at > at);
        self.ends.len() < before
    }
}

/// The requests under which upstreams have ended lately.
#[derive(Debug, Default)]
pub struct Suspects {
    by_fingerprint: HashMap<Fingerprint, Suspect>,
    /// Number of suspects by the hash of their path.
    paths: HashMap<u64, usize>,
    /// Requests whose state has changed and was not told to others.
    unpublished: Vec<Fingerprint>,
    /// Position of the next request to tell in reply to a digest.
    turn: usize,
    /// When requests are dropped next that are remembered no longer.
    expire_at: Millis,
}

impl Suspects {
    /// Returns whether any suspect has this path, so that its fingerprint is worth computing.
    #[must_use]
    pub fn has_path(&self, path_hash: u64) -> bool {
        self.paths.contains_key(&path_hash)
    }

    /// Returns how often upstreams have ended under a request, one after the other.
    #[must_use]
    pub fn end_count(&self, fingerprint: &Fingerprint) -> usize {
        self.by_fingerprint.get(fingerprint).map_or(0, Suspect::count)
    }

    /// Returns for how many milliseconds from `now` a request is rejected, if it is.
    #[must_use]
    pub fn rejected_for(&self, now: Millis, fingerprint: &Fingerprint) -> Option<Millis> {
        let until = self.by_fingerprint.get(fingerprint)?.rejected_until()?;
        until.checked_sub(now).filter(|ms| *ms > 0)
    }

    /// Records that an upstream has ended under a request; returns how often that has happened.
    pub fn on_end(&mut self, now: Millis, fingerprint: Fingerprint, end: End) -> usize {
        let suspect = self.entry(now, fingerprint);
        let is_new = suspect.add(end);
        let count = suspect.count();
        if is_new {
            self.unpublished.push(fingerprint);
        }
        count
    }

    /// Records that a request was answered or pardoned; returns whether it was a suspect.
    pub fn clear(&mut self, now: Millis, fingerprint: Fingerprint) -> bool {
        let Some(suspect) = self.by_fingerprint.get_mut(&fingerprint) else {
            return false;
        };
        let cleared = suspect.clear(now);
        if cleared {
            self.unpublished.push(fingerprint);
        }
        cleared
    }

    /// Clears the request with the given printed fingerprint, from all callers; returns whether it was
    /// a suspect.
    pub fn pardon(&mut self, now: Millis, fingerprint: &str) -> bool {
        let known = self.by_fingerprint.keys().filter(|f| f.to_string() == fingerprint);
        let known: Vec<Fingerprint> = known.copied().collect();
        known.into_iter().filter(|f| self.clear(now, *f)).count() > 0
    }

    /// Takes over what another instance knows; returns whether any of it was new.
    pub fn merge(&mut self, now: Millis, notices: &[Notice]) -> bool {
        let mut changed = false;
        for notice in notices.iter().take(MAX_NOTICES) {
            let suspect = self.entry(now, notice.fingerprint);
            if let Some(age) = notice.cleared {
                changed |= suspect.clear(now.saturating_sub(age));
            }
            for (incarnation, sent_age, end_age) in notice.ends.iter().take(MAX_REMEMBERED_ENDS) {
                let sent_at = now.saturating_sub(*sent_age);
                let ended_at = now.saturating_sub(*end_age);
                changed |= suspect.add(End { incarnation: *incarnation, sent_at, ended_at });
            }
        }
        changed
    }

    /// Returns what has changed and was not told to others yet.
    pub fn take_unpublished(&mut self, now: Millis) -> Vec<Notice> {
        let mut fingerprints = std::mem::take(&mut self.unpublished);
        if fingerprints.len() > MAX_NOTICES {
            self.unpublished = fingerprints.split_off(MAX_NOTICES);
        }
        fingerprints.into_iter().filter_map(|f| self.notice(now, f)).collect()
    }

    /// Returns some of what an instance that may have missed earlier notices must know, in turn:
    /// requests under which upstreams have ended more than once, and those that were cleared a moment
    /// ago.
    pub fn next_notices(&mut self, now: Millis) -> Vec<Notice> {
        let matters = |s: &Suspect| s.count() > 1 || s.cleared_at.is_some();
        let mut known: Vec<(&Fingerprint, &Suspect)> =
            self.by_fingerprint.iter().filter(|(_, s)| matters(s)).collect();
        known.sort_by_key(|(_, s)| std::cmp::Reverse((s.count(), s.last_end())));
        known.truncate(MAX_NOTICES);
        let turn = self.turn % known.len().max(1);
        known.rotate_left(turn);
        known.truncate(NOTICES_PER_REPLY);
        let notices = known.into_iter().filter_map(|(f, _)| self.notice(now, *f)).collect();
        self.turn = turn + NOTICES_PER_REPLY;
        notices
    }

    fn notice(&self, now: Millis, fingerprint: Fingerprint) -> Option<Notice> {
        let suspect = self.by_fingerprint.get(&fingerprint)?;
        let age = |at: Millis| now.saturating_sub(at);
        let ends =
            suspect.ends.iter().map(|e| (e.incarnation, age(e.sent_at), age(e.ended_at))).collect();
        Some(Notice { fingerprint, ends, cleared: suspect.cleared_at.map(age) })
    }

    /// Finds or creates the entry of a request; without room, the one that matters least is dropped.
    fn entry(&mut self, now: Millis, fingerprint: Fingerprint) -> &mut Suspect {
        if !self.by_fingerprint.contains_key(&fingerprint) {
            if self.by_fingerprint.len() >= MAX_SUSPECTS {
                self.remove_where(|s| now >= s.forget_at());
            }
            if self.by_fingerprint.len() >= MAX_SUSPECTS {
                let least = self.by_fingerprint.values().map(|s| (s.count(), s.last_end())).min();
                self.remove_where(|s| Some((s.count(), s.last_end())) == least);
            }
            *self.paths.entry(fingerprint.path_hash).or_default() += 1;
        }
        self.by_fingerprint.entry(fingerprint).or_default()
    }

    /// Drops requests that are remembered no longer, at most every [`EXPIRY_INTERVAL_MS`]; returns the
    /// number of requests that are rejected at `now` if it did.
    pub fn expire(&mut self, now: Millis) -> Option<usize> {
        if now < self.expire_at {
            return None;
        }
        self.expire_at = now + EXPIRY_INTERVAL_MS;
        self.remove_where(|s| now >= s.forget_at());
        let rejected = |s: &&Suspect| s.rejected_until().is_some_and(|t| t > now);
        Some(self.by_fingerprint.values().filter(rejected).count())
    }

    fn remove_where(&mut self, is_removed: impl Fn(&Suspect) -> bool) {
        let paths = &mut self.paths;
        self.by_fingerprint.retain(|fingerprint, suspect| {
            let removed = is_removed(suspect);
            if removed && let Some(count) = paths.get_mut(&fingerprint.path_hash) {
                *count -= 1;
                if *count == 0 {
                    paths.remove(&fingerprint.path_hash);
                }
            }
            !removed
        });
    }
}
