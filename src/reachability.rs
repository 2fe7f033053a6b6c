//! Whether an instance of `mulberryspur-platform` is cut off from the upstreams of a service.
//!
//! Seen from one instance, a cut looks like upstreams that have ended. While some of them have, the
//! others go on accepting connections; behind a cut, none does. Answers the load pattern in which all
//! requests at an instance wait for connections that cannot be opened, one upstream after another, and
//! tells it from that in which up to a third of some hundred upstreams are lost at once.
//!
//! Points in time are readings of the boot clock in milliseconds.

use crate::{clock::Millis, collections::HashMap};
use std::sync::Arc;

/// Number of upstreams that must fail in a row for the instance to count as cut off. An instance that
/// does not reach the only upstream of a service knows no more than that.
const MIN_UNREACHABLE: usize = 2;
/// The same for a large service. With a third of the upstreams lost, seven fail in a row once in 2,000
/// times; at 10 requests a second, a cut is noticed within 1.5 s.
const MAX_UNREACHABLE: usize = 7;
/// Upstreams are lost together in shares of up to one in this number. More than that must fail in a
/// row, where it is less than [`MAX_UNREACHABLE`].
const LOST_SHARE_DIVISOR: usize = 3;
/// Number of upstreams from which a third is as many as [`MAX_UNREACHABLE`], so that lost upstreams alone
/// can look like a cut.
const LARGE_SERVICE: usize = LOST_SHARE_DIVISOR * MAX_UNREACHABLE;
/// Time in milliseconds without a response that the conclusion takes in a large service: refusals in the
/// own data centre are known some milliseconds before answers from others, as to grants sent together.
const MIN_SILENCE_MS: Millis = 50;
/// Time in milliseconds for which an upstream that failed while others accepted connections counts as
/// lost: at 10 requests a second, one of 307 is tried every 31 s.
const LOST_MS: Millis = 60_000;
/// Number of responses on open connections that outweigh one failed connection in a large service. Open
/// connections may outlive a cut.
const RESPONSES_PER_FAILURE: usize = 8;

/// What the latest connections to the upstreams of one service show.
#[derive(Debug, Clone, Default)]
pub struct Reachability {
    /// Number of upstreams that take requests; 0 if not known.
    upstreams: usize,
    /// Upstreams to which no connection could be made since any of the service last accepted one, and
    /// when.
    unreachable: Vec<(Arc<str>, Millis)>,
    /// Responses since the first of these failures.
    responses: usize,
    /// When an upstream last responded.
    responded_at: Option<Millis>,
    /// Upstreams that failed while others accepted connections, and when. They say nothing about a cut.
    lost: HashMap<Arc<str>, Millis>,
    cut_off: bool,
}

impl Reachability {
    /// Sets the number of upstreams that take requests.
    pub fn set_upstreams(&mut self, upstreams: usize) {
        self.upstreams = upstreams;
    }

    /// Records that upstream `id` has accepted a connection.
    pub fn on_connected(&mut self, id: &Arc<str>) {
        let failed = std::mem::take(&mut self.unreachable);
        if !self.cut_off {
            self.lost.extend(failed);
        }
        self.lost.remove(id);
        (self.responses, self.cut_off) = (0, false);
    }

    /// Records that an upstream has responded, maybe on a connection that was open before.
    pub fn on_response(&mut self, now: Millis) {
        self.responded_at = Some(now);
        self.responses += 1;
        let outweighed = self.responses >= self.unreachable.len() * RESPONSES_PER_FAILURE;
        if self.cut_off || !self.is_large() || outweighed {
            self.unreachable.clear();
            (self.responses, self.cut_off) = (0, false);
        }
    }

    /// Records that no connection could be made to an upstream.
    pub fn on_unreachable(&mut self, now: Millis, id: &Arc<str>) {
        if self.cut_off {
            return;
        }
        if self.is_lost(now, id) {
            self.lost.insert(id.clone(), now);
        } else if !self.unreachable.iter().any(|(known, _)| known == id) {
            self.unreachable.push((id.clone(), now));
        }
        self.cut_off = self.looks_cut_off(now);
    }

    fn is_large(&self) -> bool {
        self.upstreams >= LARGE_SERVICE
    }

    /// Returns whether an upstream of a large service is known to be lost.
    fn is_lost(&self, now: Millis, id: &Arc<str>) -> bool {
        self.is_large() && self.lost.get(id).is_some_and(|at| now < at + LOST_MS)
    }

    fn looks_cut_off(&self, now: Millis) -> bool {
        let min = (self.upstreams / LOST_SHARE_DIVISOR + 1).clamp(MIN_UNREACHABLE, MAX_UNREACHABLE);
        let failures =
            self.unreachable.len().saturating_sub(self.responses / RESPONSES_PER_FAILURE);
        let is_silent = self.responded_at.is_none_or(|at| now >= at + MIN_SILENCE_MS);
        failures >= min && (is_silent || !self.is_large())
    }

    /// Returns whether the instance is cut off from the service, as far as it knows.
    #[must_use]
    pub fn is_cut_off(&self) -> bool {
        self.cut_off
    }
}
