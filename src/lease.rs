//! The lease of a service's coordinator in `mulberryspur-platform`: at most one instance at a time
//! decides who owns the service's keys.
//!
//! The lease is a row of the store that its holder rewrites. Others take it over by a conditional
//! write once they have seen the row unchanged for longer than the holder may act on it. Only
//! durations on each instance's own clock are compared.
//!
//! The store may be restored from a copy, in which the row names an earlier holder. A row that was
//! not written since then says nothing about who holds the lease: its holder goes on if the lease is
//! valid by its own clock, and all others wait for the whole time. It counts from when they learned
//! of the restore if the row has not been written since.

use crate::{clock::Millis, revision};
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// Time in milliseconds for which a lease is valid, so that its holder may act, from sending the
/// last successful renewal.
/// Covers three renewals with a store that takes 400 ms to answer.
pub const VALIDITY_MS: Millis = 2_000;
/// Time in milliseconds for which others must see the row unchanged before they take the lease
/// over: [`VALIDITY_MS`], 2 % of clock drift, and a tick of each clock.
pub const TAKEOVER_WAIT_MS: Millis = 2_100;
/// Time in milliseconds between renewals of the lease.
pub const RENEW_INTERVAL_MS: Millis = 500;

/// Shortest time in milliseconds between two reads of the row by one instance.
pub const MIN_READ_INTERVAL_MS: Millis = 300;

/// Least time in milliseconds until the first repetition of a read that failed.
const MIN_RETRY_DELAY_MS: Millis = 120;
/// Time until the first repetition as a part of the longest time between reads that fail.
const FIRST_DELAY_DIVISOR: Millis = 4;
/// Time in milliseconds by which the longest time between reads that fail grows with each rank.
const RETRY_DELAY_PER_RANK_MS: Millis = 100;
/// Longest time in milliseconds between reads that fail.
const MAX_RETRY_DELAY_MS: Millis = 5_000;

/// Content of the lease's row.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseRow {
    /// Name of the instance that holds the lease; `None` once it was given back.
    pub holder: Option<Arc<str>>,
    /// Identity of the holder's process, new at each start.
    pub process: u64,
    /// Number of the write, so that no two of a process are equal; stored as `number`.
    #[serde(rename = "number")]
    pub write_number: u64,
    /// Generation of the store in which the holder expected the write to be made.
    #[serde(default)]
    pub generation: u64,
    /// Once it was given back: for how many milliseconds from then on grants of its holder, and of
    /// earlier ones, may last on the slowest clock. `None` if that is not known; earlier versions do
    /// not tell it.
    #[serde(default)]
    pub grants_end_ms: Option<Millis>,
}

/// Returns the delay in milliseconds until a read that failed is repeated, after `failed` earlier
/// failures in a row, by the instance's rank among all that may take the lease.
///
/// Answers an outage of the store, in which no coordinator can renew its lease, so that all
/// instances read it: those of low rank notice the end at once, and the number of calls hardly
/// grows with that of instances.
#[must_use]
pub fn failed_read_delay(failed: u32, rank: u64) -> Millis {
    let longest = (MIN_READ_INTERVAL_MS + rank * RETRY_DELAY_PER_RANK_MS).min(MAX_RETRY_DELAY_MS);
    let first = MIN_RETRY_DELAY_MS.max(longest / FIRST_DELAY_DIVISOR);
    (first << failed.min(6)).min(longest)
}

/// One instance's state of a service's lease.
#[derive(Debug, Clone)]
pub struct Lease {
    name: Arc<str>,
    process: u64,
    write_number: u64,
    /// The first known revision of the store in its latest generation, and when it was known.
    first_seen: (u64, Millis),
    state: State,
}

#[derive(Debug, Clone)]
enum State {
    /// Holds nothing; the row's revision that was read last, and since when it is known to have been
    /// the same.
    Watching(Option<(u64, Millis)>),
    Holding {
        revision: u64,
        /// When the last successful write was sent.
        renewed_at: Millis,
    },
}

impl Lease {
    /// Creates the state of an instance that does not hold the lease.
    #[must_use]
    pub fn new(name: impl Into<Arc<str>>, process: u64) -> Self {
        let (name, first_seen) = (name.into(), (0, Millis::MAX));
        Self { name, process, write_number: 0, first_seen, state: State::Watching(None) }
    }

    /// Records that the store had reached `revision` at `now`.
    pub fn on_store_revision(&mut self, now: Millis, revision: u64) {
        if revision::generation(revision) > revision::generation(self.first_seen.0) {
            self.first_seen = (revision, now);
        }
    }

    /// Returns the row to write for taking or renewing the lease, if its row has the revision
    /// `expected`.
    pub fn next_row(&mut self, expected: u64) -> LeaseRow {
        self.write_number += 1;
        LeaseRow {
            holder: Some(self.name.clone()),
            process: self.process,
            write_number: self.write_number,
            generation: revision::generation(expected),
            grants_end_ms: None,
        }
    }

    /// Returns the row to write for giving the lease back, if its row has the revision `expected`;
    /// see [`LeaseRow::grants_end_ms`].
    pub fn resignation_row(&mut self, expected: u64, grants_end_ms: Option<Millis>) -> LeaseRow {
        LeaseRow { holder: None, grants_end_ms, ..self.next_row(expected) }
    }

    /// Handles the row and its revision as read by a call sent at `sent`; returns the revision that
    /// a write must expect if this instance should try to take the lease.
    pub fn on_read(&mut self, sent: Millis, row: Option<&LeaseRow>, revision: u64) -> Option<u64> {
        let generation = revision::generation(revision);
        // Without a row, the store may have been restored from a copy that lacks it.
        let restored = generation != row.map_or(0, |r| r.generation);
        let own_process = row.is_some_and(|r| r.process == self.process && r.holder.is_some());
        // A write whose answer was lost may have been carried out. In a restored store, no other
        // instance takes the lease before this one's has ended.
        let still_holds = if restored { self.is_valid(sent) } else { own_process };
        // A row that has not been written since an earlier moment has been unchanged since then.
        let (seen, seen_at) = self.first_seen;
        let is_older = revision <= seen && generation == revision::generation(seen);
        let unchanged_since = if is_older { seen_at.min(sent) } else { sent };
        match &mut self.state {
            State::Holding { revision: held, .. } if still_holds => {
                *held = revision;
                return None;
            }
            State::Holding { .. } => {
                self.state = State::Watching(Some((revision, unchanged_since)));
            }
            State::Watching(observed) => match observed {
                Some((r, since)) if *r == revision => *since = unchanged_since.min(*since),
                _ => *observed = Some((revision, unchanged_since)),
            },
        }
        let State::Watching(Some((_, since))) = &self.state else {
            return None;
        };
        // An earlier process of this instance ended before this one started.
        let own_name = row.is_some_and(|r| r.holder.as_deref() == Some(&*self.name));
        let is_free = row.is_none_or(|r| r.holder.is_none()) || own_process || own_name;
        (is_free && !restored || sent >= since + TAKEOVER_WAIT_MS).then_some(revision)
    }

    /// Returns the delay in milliseconds until the next read of the row: half of the time until the
    /// lease may be taken over if the row does not change, and all of it at the end.
    ///
    /// Answers the load of hundreds of instances that cannot hear from a live coordinator: each
    /// renewal that one of them sees puts its next read off by a second. A row that is about to be
    /// taken over is read just when it may be.
    #[must_use]
    pub fn read_delay(&self, now: Millis) -> Millis {
        let since = match &self.state {
            State::Watching(Some((_, since))) => *since,
            _ => return MIN_READ_INTERVAL_MS,
        };
        let left = (since + TAKEOVER_WAIT_MS).saturating_sub(now);
        let is_last = left <= 2 * MIN_READ_INTERVAL_MS;
        MIN_READ_INTERVAL_MS.max(if is_last { left } else { left / 2 })
    }

    /// Records that a write sent at `sent` succeeded with `revision`.
    pub fn on_written(&mut self, sent: Millis, revision: u64) {
        self.state = State::Holding { revision, renewed_at: sent };
    }

    /// Records that the lease is lost or being given back.
    pub fn on_lost(&mut self) {
        self.state = State::Watching(None);
    }

    /// Returns the revision of the row if this instance holds the lease as far as it knows.
    #[must_use]
    pub fn held_revision(&self) -> Option<u64> {
        match &self.state {
            State::Holding { revision, .. } => Some(*revision),
            State::Watching(_) => None,
        }
    }

    /// Returns whether this instance holds the lease and may act on it at `now`.
    #[must_use]
    pub fn is_valid(&self, now: Millis) -> bool {
        matches!(&self.state, State::Holding { renewed_at, .. } if now < renewed_at + VALIDITY_MS)
    }
}
