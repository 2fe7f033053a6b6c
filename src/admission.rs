//! Admission control at one upstream in mulberryd: limits by class, bounded queues, and rejection
//! of requests that would miss their deadline.
//!
//! Each class has its own limit of requests in flight. The limit of short requests is bounded by
//! the connections to the upstream. Long requests get at most this instance's quota of the
//! concurrency that an upstream gives to them, so that short ones keep the rest. The quota follows
//! from the list of live instances alone; nothing is exchanged. `upstreams` computes both limits.
//!
//! Its counterpart in mulberryspur-platform is `dispatch`.

use crate::{clock::Millis, resource::RequestClass};
use std::collections::VecDeque;

/// Weight of one request in the smoothed service time.
const SERVICE_TIME_WEIGHT: f64 = 0.2;

/// Identity of a waiting request.
pub type Ticket = u64;

/// Decision on a request for admission.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admission {
    /// It may start.
    Admitted,
    /// It waits until [`AdmissionQueue::release`] or [`AdmissionQueue::set_limits`] returns its
    /// ticket.
    Queued(Ticket),
    /// It cannot be served in time, or too many wait.
    Rejected {
        /// Time in milliseconds after which a retry is likely to be admitted.
        retry_after: Millis,
    },
}

/// Requests of one class.
#[derive(Debug, Clone)]
struct ClassQueue {
    limit: usize,
    in_flight: usize,
    /// Tickets and deadlines, the earliest deadline first.
    waiting: VecDeque<(Ticket, Millis)>,
    /// Smoothed time that a request takes, in milliseconds.
    service_ms: f64,
}

impl ClassQueue {
    fn new(limit: usize) -> Self {
        Self { limit, in_flight: 0, waiting: VecDeque::new(), service_ms: 0.0 }
    }

    /// Returns the expected time in milliseconds until a request that joins the queue has ended.
    fn expected_end(&self) -> Millis {
        #[expect(clippy::cast_precision_loss, reason = "small numbers")]
        let rounds = (self.waiting.len() + 1) as f64 / self.limit.max(1) as f64;
        #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "positive")]
        let end = ((rounds + 1.0) * self.service_ms).ceil() as Millis;
        end
    }
}

/// Admits the requests of one instance to one upstream.
#[derive(Debug, Clone)]
pub struct AdmissionQueue {
    short: ClassQueue,
    long: ClassQueue,
    max_queue: usize,
    next_ticket: Ticket,
}

impl AdmissionQueue {
    /// Creates a queue with limits for short and long requests in flight, and for waiting requests
    /// of each class.
    #[must_use]
    pub fn new(short: usize, long: usize, max_queue: usize) -> Self {
        Self {
            short: ClassQueue::new(short),
            long: ClassQueue::new(long),
            max_queue,
            next_ticket: 1,
        }
    }

    fn class_queue(&mut self, class: RequestClass) -> &mut ClassQueue {
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
        (in_flight, self.short.waiting.len() + self.long.waiting.len())
    }

    /// Decides on a request that must end before `deadline`.
    pub fn try_admit(&mut self, now: Millis, class: RequestClass, deadline: Millis) -> Admission {
        let max_queue = self.max_queue;
        let ticket = self.next_ticket;
        let queue = self.class_queue(class);
        if queue.in_flight < queue.limit && queue.waiting.is_empty() {
            queue.in_flight += 1;
            return Admission::Admitted;
        }
        let end = queue.expected_end();
        if queue.limit == 0 || queue.waiting.len() >= max_queue || now + end >= deadline {
            return Admission::Rejected { retry_after: end.max(1) };
        }
        // Earliest deadline first.
        let at = queue.waiting.partition_point(|(_, d)| *d <= deadline);
        queue.waiting.insert(at, (ticket, deadline));
        self.next_ticket += 1;
        Admission::Queued(ticket)
    }

    /// Records that an admitted request ended, after `took_ms` if it ran; returns tickets that may
    /// start now.
    pub fn release(&mut self, class: RequestClass, took_ms: Option<f64>) -> Vec<Ticket> {
        let queue = self.class_queue(class);
        queue.in_flight = queue.in_flight.saturating_sub(1);
        if let Some(took) = took_ms {
            queue.service_ms += SERVICE_TIME_WEIGHT * (took - queue.service_ms);
        }
        admit_waiting(queue)
    }

    /// Takes a waiting request out of the queue; `false` if it was admitted meanwhile.
    pub fn abandon(&mut self, class: RequestClass, ticket: Ticket) -> bool {
        let queue = self.class_queue(class);
        let before = queue.waiting.len();
        queue.waiting.retain(|(t, _)| *t != ticket);
        queue.waiting.len() < before
    }

    /// Changes the limits; returns tickets that may start now.
    pub fn set_limits(&mut self, short: usize, long: usize) -> Vec<Ticket> {
        self.short.limit = short;
        self.long.limit = long;
        let mut admitted = admit_waiting(&mut self.short);
        admitted.extend(admit_waiting(&mut self.long));
        admitted
    }
}

fn admit_waiting(queue: &mut ClassQueue) -> Vec<Ticket> {
    let mut admitted = Vec::new();
    while queue.in_flight < queue.limit {
        let Some((ticket, _)) = queue.waiting.pop_front() else {
            break;
        };
        queue.in_flight += 1;
        admitted.push(ticket);
    }
    admitted
}

/// Returns how many long requests instance number `instance` may have in flight at upstream number
/// `upstream`, which takes `max_long` of them from all instances.
///
/// The long requests that all upstreams take together are divided among the instances round-robin,
/// so that the totals of any two instances differ by at most one and are spread over the upstreams.
#[must_use]
pub fn long_request_quota(
    max_long: usize,
    upstream: usize,
    instance: usize,
    instances: usize,
) -> usize {
    let first = upstream * max_long;
    (first..first + max_long).filter(|n| n % instances.max(1) == instance).count()
}
