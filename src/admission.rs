//! Admission to one upstream: limits by class, bounded queues, refusal by deadline.
//!
//! Short requests are limited only by the upstream's connections. Long ones may hold at most this
//! instance's share of the places that an upstream gives to long work, so that short work keeps
//! the rest. The share follows from the list of live instances alone; nothing is exchanged.

use crate::{clock::Millis, resource::RequestClass};
use std::collections::VecDeque;

const SMOOTHING: f64 = 0.2;

/// Identity of a waiting request.
pub type Ticket = u64;

/// Answer to a request for admission.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admission {
    /// It may start.
    Admitted,
    /// It waits until [`AdmissionQueue::release`] or [`AdmissionQueue::set_limits`] names its
    /// ticket.
    Queued(Ticket),
    /// It cannot be served in time, or too many wait.
    Rejected {
        /// Time in milliseconds after which a place is likely.
        retry_after: Millis,
    },
}

#[derive(Debug, Clone)]
struct Lane {
    limit: usize,
    in_flight: usize,
    queue: VecDeque<(Ticket, Millis)>,
    /// Smoothed time of a request in milliseconds.
    service_ms: f64,
}

impl Lane {
    fn new(limit: usize) -> Self {
        Self { limit, in_flight: 0, queue: VecDeque::new(), service_ms: 0.0 }
    }

    /// Returns the expected time in milliseconds until a request that joins the queue has ended.
    fn expected_end(&self) -> Millis {
        #[expect(clippy::cast_precision_loss, reason = "small numbers")]
        let rounds = (self.queue.len() + 1) as f64 / self.limit.max(1) as f64;
        #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "positive")]
        let end = ((rounds + 1.0) * self.service_ms).ceil() as Millis;
        end
    }
}

/// Admission to one upstream by one entry instance.
#[derive(Debug, Clone)]
pub struct AdmissionQueue {
    short: Lane,
    long: Lane,
    max_queue: usize,
    next_ticket: Ticket,
}

impl AdmissionQueue {
    /// Creates a queue with limits for short and long requests in flight.
    #[must_use]
    pub fn new(short: usize, long: usize, max_queue: usize) -> Self {
        Self { short: Lane::new(short), long: Lane::new(long), max_queue, next_ticket: 1 }
    }

    fn lane(&mut self, class: RequestClass) -> &mut Lane {
        match class {
            RequestClass::Short => &mut self.short,
            RequestClass::Long => &mut self.long,
        }
    }

    /// Returns whether any long request may be sent.
    #[must_use]
    pub fn accepts_long(&self) -> bool {
        self.long.limit > 0
    }

    /// Returns the numbers of requests in flight and waiting.
    #[must_use]
    pub fn in_flight_and_queued(&self) -> (usize, usize) {
        let in_flight = self.short.in_flight + self.long.in_flight;
        (in_flight, self.short.queue.len() + self.long.queue.len())
    }

    /// Asks for admission of a request that must end before `deadline`.
    pub fn try_admit(&mut self, now: Millis, class: RequestClass, deadline: Millis) -> Admission {
        let max_queue = self.max_queue;
        let ticket = self.next_ticket;
        let lane = self.lane(class);
        if lane.in_flight < lane.limit && lane.queue.is_empty() {
            lane.in_flight += 1;
            return Admission::Admitted;
        }
        let end = lane.expected_end();
        if lane.limit == 0 || lane.queue.len() >= max_queue || now + end >= deadline {
            return Admission::Rejected { retry_after: end.max(1) };
        }
        // Earliest deadline first.
        let at = lane.queue.partition_point(|(_, d)| *d <= deadline);
        lane.queue.insert(at, (ticket, deadline));
        self.next_ticket += 1;
        Admission::Queued(ticket)
    }

    /// Notes that an admitted request ended, after `took_ms` if it ran; returns tickets that may
    /// start now.
    pub fn release(&mut self, class: RequestClass, took_ms: Option<f64>) -> Vec<Ticket> {
        let lane = self.lane(class);
        lane.in_flight = lane.in_flight.saturating_sub(1);
        if let Some(took) = took_ms {
            lane.service_ms += SMOOTHING * (took - lane.service_ms);
        }
        admit(lane)
    }

    /// Takes a waiting request out of the queue; `false` if it was admitted meanwhile.
    pub fn abandon(&mut self, class: RequestClass, ticket: Ticket) -> bool {
        let lane = self.lane(class);
        let before = lane.queue.len();
        lane.queue.retain(|(t, _)| *t != ticket);
        lane.queue.len() < before
    }

    /// Changes the limits; returns tickets that may start now.
    pub fn set_limits(&mut self, short: usize, long: usize) -> Vec<Ticket> {
        self.short.limit = short;
        self.long.limit = long;
        let mut admitted = admit(&mut self.short);
        admitted.extend(admit(&mut self.long));
        admitted
    }
}

fn admit(lane: &mut Lane) -> Vec<Ticket> {
    let mut admitted = Vec::new();
    while lane.in_flight < lane.limit {
        let Some((ticket, _)) = lane.queue.pop_front() else {
            break;
        };
        lane.in_flight += 1;
        admitted.push(ticket);
    }
    admitted
}

/// Returns instance number `instance`'s share of the places that upstream number `upstream` gives
/// to long work.
///
/// The places of all upstreams are dealt out to the instances in turn, so that every instance gets
/// as many as any other, but for one, and of different upstreams.
#[must_use]
pub fn long_request_quota(
    places: usize,
    upstream: usize,
    instance: usize,
    instances: usize,
) -> usize {
    let first = upstream * places;
    (first..first + places).filter(|place| place % instances.max(1) == instance).count()
}
