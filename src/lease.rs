//! The lease by which one instance at a time decides who owns a service's keys.
//!
//! The lease is a row that its holder rewrites. Others take it over on condition that it has not
//! changed while they watched it for longer than the holder may act on it. Only spans on each
//! instance's own clock are compared.

use crate::clock::Millis;
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// Time in milliseconds for which a holder may act, counted from sending its last renewal that
/// succeeded. Covers three renewals against a store that takes 400 ms to answer.
pub const VALIDITY_MS: Millis = 2_000;
/// Time in milliseconds for which others must see the row unchanged: the authority, with 2 % of
/// drift and a tick of each clock.
pub const TAKEOVER_WAIT_MS: Millis = 2_100;
/// Time in milliseconds between renewals.
pub const RENEW_INTERVAL_MS: Millis = 500;

/// What the lease's row says.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseRow {
    /// Instance that holds it; `None` once given back.
    pub holder: Option<Arc<str>>,
    /// Identity of the holder's process.
    pub process: u64,
    /// Number of the write, so that each differs.
    pub number: u64,
}

/// One instance's part in a lease.
#[derive(Debug, Clone)]
pub struct Lease {
    name: Arc<str>,
    process: u64,
    number: u64,
    state: State,
}

#[derive(Debug, Clone)]
enum State {
    /// Watches a revision of the row since a time; revision 0 is a missing row.
    Watching(Option<(u64, Millis)>),
    Holding {
        revision: u64,
        confirmed: Millis,
    },
}

impl Lease {
    /// Creates the state of an instance that holds nothing.
    #[must_use]
    pub fn new(name: impl Into<Arc<str>>, process: u64) -> Self {
        Self { name: name.into(), process, number: 0, state: State::Watching(None) }
    }

    /// Returns the row to write next.
    pub fn next_row(&mut self) -> LeaseRow {
        self.number += 1;
        LeaseRow { holder: Some(self.name.clone()), process: self.process, number: self.number }
    }

    /// Returns the row that gives the lease back.
    pub fn resignation_row(&mut self) -> LeaseRow {
        LeaseRow { holder: None, ..self.next_row() }
    }

    /// Takes in the row as read by a call that was sent at `sent`; returns whether to try to take
    /// the lease over, and on condition of which revision.
    pub fn on_read(&mut self, sent: Millis, row: Option<(&LeaseRow, u64)>) -> Option<u64> {
        let revision = row.map_or(0, |(_, r)| r);
        let mine = row.is_some_and(|(r, _)| r.process == self.process && r.holder.is_some());
        match &mut self.state {
            // A write without an answer was carried out after all.
            State::Holding { revision: known, .. } if mine => {
                *known = revision;
                return None;
            }
            State::Holding { .. } => self.state = State::Watching(Some((revision, sent))),
            State::Watching(seen) => match seen {
                Some((r, _)) if *r == revision => {}
                _ => *seen = Some((revision, sent)),
            },
        }
        let State::Watching(Some((_, since))) = &self.state else {
            return None;
        };
        // Another process of this instance has ended before this one started.
        let own = row.is_some_and(|(r, _)| r.holder.as_deref() == Some(&*self.name));
        let free = row.is_none_or(|(r, _)| r.holder.is_none()) || mine || own;
        (free || sent >= since + TAKEOVER_WAIT_MS).then_some(revision)
    }

    /// Notes that a write sent at `sent` succeeded with `revision`.
    pub fn on_written(&mut self, sent: Millis, revision: u64) {
        self.state = State::Holding { revision, confirmed: sent };
    }

    /// Notes that the lease is no longer wanted or has been lost.
    pub fn on_lost(&mut self) {
        self.state = State::Watching(None);
    }

    /// Returns the revision of the row while this instance holds the lease, as far as it knows.
    #[must_use]
    pub fn held_revision(&self) -> Option<u64> {
        match &self.state {
            State::Holding { revision, .. } => Some(*revision),
            State::Watching(_) => None,
        }
    }

    /// Returns whether this instance may send orders at `now`.
    #[must_use]
    pub fn is_valid(&self, now: Millis) -> bool {
        matches!(&self.state, State::Holding { confirmed, .. } if now < confirmed + VALIDITY_MS)
    }
}
