//! Which request goes to which upstream of a service, in which order, and which one is turned away.
//!
//! Requests wait here and not in an upstream's queue, so that one that can still meet its
//! objective is not held up behind one that cannot. Each instance bounds what it has in flight at
//! an upstream by a window that follows the load that the upstream reports: no instance sees what
//! the others send.

use crate::{clock::Millis, collections::HashMap, keymap::Key};
use std::sync::Arc;

/// Identity of a waiting request.
pub type Ticket = u64;

/// Share of an upstream's slots with which its window begins.
const WINDOW_START: f64 = 0.5;
/// Windows grow up to this many times the upstream's slots.
const WINDOW_MAX: f64 = 2.0;
const WINDOW_MIN: f64 = 1.0;
/// Factor on a window when the upstream's queue is longer than half of its slots.
const WINDOW_CUT: f64 = 0.85;
/// Factor on a window when the upstream rejects for want of room.
const WINDOW_SHED: f64 = 0.6;
/// Weight of one answer in the average time.
const TIME_WEIGHT: f64 = 0.1;
/// Weight of one answer in the share of failures.
const FAILURE_WEIGHT: f64 = 0.12;
/// Time in milliseconds over which a reported load loses its meaning.
const REPORT_SPAN_MS: f64 = 600.0;
/// Time in milliseconds that a request takes where nothing is known.
const UNKNOWN_TIME_MS: f64 = 120.0;
/// Time in milliseconds that an upstream of another data centre counts as slower.
const FAR_MS: f64 = 12.0;
/// The same for large answers: bytes between data centres are dear.
const FAR_BULKY_MS: f64 = 300.0;
/// Time in milliseconds for which an unreachable upstream is left out; doubles with each failure.
const EJECT_MS: Millis = 300;
const EJECT_MAX_MS: Millis = 2_400;
/// Share of an objective's time after which a waiting request is turned away.
const PATIENCE: f64 = 0.9;
/// Shortest and longest time in milliseconds after which a caller is told to return.
const RETURN_MIN_MS: f64 = 150.0;
const RETURN_MAX_MS: f64 = 3_000.0;
/// Time in milliseconds after which a caller returns for a key or service that nobody can serve.
const RETURN_LOST_MS: f64 = 600.0;
/// Weight of one request in the share of requests that are turned away.
const PRESSURE_WEIGHT: f64 = 0.05;
/// Share of requests that count as served at least, so that the time to return stays bounded.
const MIN_SERVED: f64 = 0.15;

/// Where a request may go.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Destination {
    /// To any upstream of the service.
    Any,
    /// Only to the owner of its key, under this fence.
    Owner(Arc<str>, u64),
    /// Its key has no owner that is known here.
    NoOwner,
}

/// What decides about a request.
#[derive(Debug, Clone)]
pub struct RequestSpec {
    /// Priority, 0 first.
    pub priority: u8,
    /// When it arrived.
    pub arrived_at: Millis,
    /// When an answer stops to be worth its full credit.
    pub objective_at: Millis,
    /// When it must be answered at the latest.
    pub deadline: Millis,
    /// Where it may go.
    pub destination: Destination,
    /// Its key, if the service owns keys.
    pub key: Option<Key>,
    /// Whether its answer is large.
    pub large_response: bool,
    /// Upstreams that it has been sent to already.
    pub tried: Vec<Arc<str>>,
}

/// What becomes of a request.
#[derive(Debug, Clone, PartialEq)]
pub enum Decision {
    /// It is sent to this upstream, and counted as in flight there.
    Send(Arc<str>),
    /// It is turned away.
    Reject {
        /// Why.
        reason: Rejection,
        /// Time in milliseconds after which the caller should return.
        retry_after: Millis,
    },
}

/// Why a request is turned away.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Rejection {
    /// More requests wait than can be served in time.
    Overload,
    /// No upstream can take it.
    NoUpstream,
    /// Its key has no owner that can be reached.
    NoOwner,
}

impl Rejection {
    /// Returns the name used in logs and metrics.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Overload => "overload",
            Self::NoUpstream => "no-upstream",
            Self::NoOwner => "no-owner",
        }
    }
}

/// An upstream as it is known at one moment.
#[derive(Debug, Clone)]
pub struct UpstreamSpec {
    /// Identity.
    pub id: Arc<str>,
    /// Requests that it runs at once.
    pub concurrency: u32,
    /// Whether it runs in this instance's data centre.
    pub same_data_center: bool,
    /// Whether it takes no new work.
    pub leaving: bool,
    /// Connections that this instance may open to it.
    pub max_connections: u32,
}

/// Load that an upstream reports with an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LoadReport {
    /// Requests that run.
    pub running: u32,
    /// Requests that wait.
    pub waiting: u32,
    /// Requests that it can run at once.
    pub concurrency: u32,
}

/// How a request that was sent has ended.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Completion {
    /// Answered after so many milliseconds.
    Answered(f64),
    /// Rejected by the upstream without having run.
    Rejected,
    /// The upstream does not own the key.
    NotOwner,
    /// The exchange broke off, or the upstream failed.
    Failed,
    /// No connection could be made.
    Unreachable,
    /// Nothing can be learnt from it: the caller left or time ran out.
    Inconclusive,
}

#[derive(Debug, Clone)]
struct Upstream {
    spec: UpstreamSpec,
    in_flight: u32,
    window: f64,
    time: f64,
    failures: f64,
    /// Share of the requests for keys that it owns which are turned away.
    pressure: f64,
    ejections: u32,
    ejected_until: Millis,
    /// Reported total, own share of it then, and when.
    reported: Option<(f64, f64, Millis)>,
    cut_at: Millis,
}

impl Upstream {
    fn new(spec: UpstreamSpec) -> Self {
        let window = f64::from(spec.concurrency) * WINDOW_START;
        let window = window.min(f64::from(spec.max_connections)).max(WINDOW_MIN);
        Self {
            spec,
            in_flight: 0,
            window,
            time: UNKNOWN_TIME_MS,
            failures: 0.0,
            pressure: 0.0,
            ejections: 0,
            ejected_until: 0,
            reported: None,
            cut_at: 0,
        }
    }

    fn has_room(&self) -> bool {
        f64::from(self.in_flight) + 1.0 <= self.window.max(WINDOW_MIN) + 0.5
    }

    fn is_ejected(&self, now: Millis) -> bool {
        now < self.ejected_until
    }

    /// Returns the requests that are expected there, those of other instances included.
    fn expected_load(&self, now: Millis) -> f64 {
        let others = self.reported.map_or(0.0, |(total, own, at)| {
            #[expect(clippy::cast_precision_loss, reason = "short spans")]
            let age = now.saturating_sub(at) as f64;
            (total - own).max(0.0) * (-age / REPORT_SPAN_MS).exp()
        });
        others + f64::from(self.in_flight)
    }

    /// Returns the time in milliseconds after which one more request is expected to have ended.
    fn expected_time(&self, now: Millis, large_response: bool) -> f64 {
        let slots = f64::from(self.spec.concurrency.max(1));
        let load = self.expected_load(now);
        let queue = (load + 1.0 - slots).max(0.0) / slots;
        let far = match (self.spec.same_data_center, large_response) {
            (true, _) => 0.0,
            (false, false) => FAR_MS,
            (false, true) => FAR_BULKY_MS,
        };
        let sound = (1.0 - self.failures).max(0.05);
        self.time * (1.0 + queue + 0.15 * load / slots) / (sound * sound) + far
    }

    fn learn(&mut self, now: Millis, end: Completion, load: Option<LoadReport>) {
        if let Some(l) = load {
            let total = f64::from(l.running + l.waiting);
            self.reported = Some((total, f64::from(self.in_flight), now));
        }
        let failed = match end {
            Completion::Answered(took) => {
                self.time += TIME_WEIGHT * (took - self.time);
                self.ejections = 0;
                0.0
            }
            Completion::Rejected | Completion::Failed => 1.0,
            Completion::Unreachable => {
                let span = (EJECT_MS << self.ejections.min(3)).min(EJECT_MAX_MS);
                self.ejections += 1;
                self.ejected_until = now + span;
                1.0
            }
            Completion::NotOwner | Completion::Inconclusive => return,
        };
        self.failures += FAILURE_WEIGHT * (failed - self.failures);
        self.adapt(now, end, load);
    }

    /// Lets the window follow the load: a little more while nothing waits, less once it does.
    fn adapt(&mut self, now: Millis, end: Completion, load: Option<LoadReport>) {
        let slots = f64::from(self.spec.concurrency.max(1));
        let full = load.is_none_or(|l| l.waiting > 0 || l.running >= l.concurrency);
        #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "positive")]
        let may_cut = now >= self.cut_at + self.time as Millis;
        match (end, load) {
            (Completion::Rejected, _) if full && may_cut => {
                self.window = (self.window * WINDOW_SHED).max(WINDOW_MIN);
                self.cut_at = now;
            }
            (Completion::Answered(_), Some(l)) if f64::from(l.waiting) > slots * 0.5 && may_cut => {
                self.window = (self.window * WINDOW_CUT).max(WINDOW_MIN);
                self.cut_at = now;
            }
            (Completion::Answered(_), Some(l)) if f64::from(l.waiting) <= slots * 0.25 => {
                self.grow(slots);
            }
            (Completion::Answered(_), None) => self.grow(slots),
            _ => {}
        }
    }

    fn grow(&mut self, slots: f64) {
        if f64::from(self.in_flight) + 1.0 >= self.window * 0.5 {
            self.window = (self.window + 1.0 / self.window).min(slots * WINDOW_MAX);
            self.window = self.window.min(f64::from(self.spec.max_connections)).max(WINDOW_MIN);
        }
    }
}

#[derive(Debug, Clone)]
struct Waiting {
    ticket: Ticket,
    ask: RequestSpec,
}

/// Requests and upstreams of one service, as one instance sees them.
#[derive(Debug, Default)]
pub struct Dispatcher {
    upstreams: HashMap<Arc<str>, Upstream>,
    waiting: Vec<Waiting>,
    /// Share of the requests for any upstream which are turned away.
    pressure: f64,
    /// Keys that an owner refused under a fence, and until when nothing is sent for them.
    refused: HashMap<(Key, u64), Millis>,
    next_ticket: Ticket,
}

/// Time in milliseconds for which nothing is sent to an owner for a key that it has refused, unless
/// the key's fence changes.
const REFUSED_MS: Millis = 120;

impl Dispatcher {
    /// Takes in the upstreams of the service.
    pub fn set_upstreams(&mut self, specs: impl IntoIterator<Item = UpstreamSpec>) {
        let mut old = std::mem::take(&mut self.upstreams);
        for spec in specs {
            let id = spec.id.clone();
            let upstream = match old.remove(&id) {
                Some(known) => Upstream { spec, ..known },
                None => Upstream::new(spec),
            };
            self.upstreams.insert(id, upstream);
        }
        // Requests in flight at upstreams that have gone still end here.
        let busy = old.into_iter().filter(|(_, u)| u.in_flight > 0);
        let gone = busy.map(|(id, mut u)| {
            u.spec.leaving = true;
            (id, u)
        });
        self.upstreams.extend(gone);
    }

    /// Returns the numbers of requests in flight and waiting.
    #[must_use]
    pub fn request_counts(&self) -> (u32, usize) {
        (self.upstreams.values().map(|u| u.in_flight).sum(), self.waiting.len())
    }

    /// Decides about a request.
    ///
    /// # Errors
    ///
    /// Returns a ticket if the request has to wait until [`Dispatcher::poll`] names it.
    pub fn submit(&mut self, now: Millis, ask: RequestSpec) -> Result<Decision, Ticket> {
        if let Some(reason) = self.hopeless(now, &ask) {
            return Ok(self.reject(now, &ask, reason));
        }
        let ahead = self.ahead(now, &ask);
        if ahead == 0
            && let Some(id) = self.choose(now, &ask)
        {
            return Ok(self.send(id, &ask));
        }
        let wait = self.expected_wait(now, &ask, ahead);
        #[expect(clippy::cast_precision_loss, reason = "short spans")]
        let left = ask.objective_at.saturating_sub(now) as f64 * PATIENCE;
        if ahead > 0 && wait > left {
            return Ok(self.reject(now, &ask, Rejection::Overload));
        }
        let ticket = self.next_ticket;
        self.next_ticket += 1;
        self.waiting.push(Waiting { ticket, ask });
        Err(ticket)
    }

    /// Takes a waiting request out; `false` if it is not waiting any more.
    pub fn abandon(&mut self, ticket: Ticket) -> bool {
        let before = self.waiting.len();
        self.waiting.retain(|w| w.ticket != ticket);
        self.waiting.len() < before
    }

    /// Gives waiting requests new places after the owners of keys have changed.
    pub fn update_destinations(&mut self, destination: impl Fn(Ticket) -> Option<Destination>) {
        for w in &mut self.waiting {
            if let Some(new) = destination(w.ticket) {
                w.ask.destination = new;
            }
        }
    }

    /// Notes how a request sent to `id` has ended.
    pub fn on_completion(
        &mut self,
        now: Millis,
        id: &Arc<str>,
        end: Completion,
        load: Option<LoadReport>,
    ) {
        if let Some(u) = self.upstreams.get_mut(id) {
            u.in_flight = u.in_flight.saturating_sub(1);
            u.learn(now, end, load);
        }
    }

    /// Notes that an owner refused a key that it was granted under `fence`.
    pub fn on_refused_key(&mut self, now: Millis, key: Key, fence: u64) {
        self.refused.retain(|_, until| *until > now);
        self.refused.insert((key, fence), now + REFUSED_MS);
    }

    /// Decides about the waiting requests.
    pub fn poll(&mut self, now: Millis) -> Vec<(Ticket, Decision)> {
        let mut verdicts = Vec::new();
        let waiting = std::mem::take(&mut self.waiting);
        let (mut keep, mut late) = (Vec::new(), Vec::new());
        for w in waiting {
            if let Some(reason) = self.hopeless(now, &w.ask) {
                verdicts.push((w.ticket, self.reject(now, &w.ask, reason)));
            } else if now >= patience_end(&w.ask) {
                late.push(w);
            } else {
                keep.push(w);
            }
        }
        // Requests that can meet their objective go first, by priority and then by remaining time.
        keep.sort_by_key(|w| (w.ask.priority, w.ask.objective_at, w.ticket));
        late.sort_by_key(|w| (w.ask.priority, w.ticket));
        for w in keep {
            match self.choose(now, &w.ask) {
                Some(id) => {
                    let verdict = self.send(id, &w.ask);
                    verdicts.push((w.ticket, verdict));
                }
                None => self.waiting.push(w),
            }
        }
        for w in late {
            let verdict = match self.choose(now, &w.ask) {
                Some(id) => self.send(id, &w.ask),
                None => self.reject(now, &w.ask, Rejection::Overload),
            };
            verdicts.push((w.ticket, verdict));
        }
        verdicts
    }

    /// Notes whether a request was turned away, and returns the share of those that are.
    fn note_pressure(&mut self, destination: &Destination, turned_away: bool) -> f64 {
        let pressure = match destination {
            Destination::Owner(id, _) => match self.upstreams.get_mut(id) {
                Some(u) => &mut u.pressure,
                None => return 0.0,
            },
            Destination::Any => &mut self.pressure,
            Destination::NoOwner => return 0.0,
        };
        let now = if turned_away { 1.0 } else { 0.0 };
        *pressure += PRESSURE_WEIGHT * (now - *pressure);
        *pressure
    }

    fn send(&mut self, id: Arc<str>, ask: &RequestSpec) -> Decision {
        self.note_pressure(&ask.destination, false);
        if let Some(u) = self.upstreams.get_mut(&id) {
            u.in_flight += 1;
        }
        Decision::Send(id)
    }

    fn reject(&mut self, now: Millis, ask: &RequestSpec, reason: Rejection) -> Decision {
        let wait = match reason {
            Rejection::Overload => {
                // The more are turned away, the longer until a place is likely.
                let served = 1.0 - self.note_pressure(&ask.destination, true);
                let wait = self.expected_wait(now, ask, self.ahead(now, ask));
                wait / served.max(MIN_SERVED)
            }
            Rejection::NoUpstream | Rejection::NoOwner => RETURN_LOST_MS,
        };
        // Spread over a span of its own length, so that those turned away together do not return
        // together.
        let spread = rand::random_range(0.75..1.5);
        #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "positive")]
        let retry_after = (wait.clamp(RETURN_MIN_MS, RETURN_MAX_MS) * spread) as Millis;
        Decision::Reject { reason, retry_after }
    }

    /// Returns why a request cannot be served, if that is known already.
    fn hopeless(&self, now: Millis, ask: &RequestSpec) -> Option<Rejection> {
        match &ask.destination {
            Destination::NoOwner if now >= patience_end(ask) => Some(Rejection::NoOwner),
            Destination::NoOwner => None,
            Destination::Owner(id, _) => {
                let owner = self.upstreams.get(id);
                let lost = owner.is_some_and(|u| u.is_ejected(now));
                let waited = now >= ask.arrived_at + EJECT_MS / 2 || ask.tried.contains(id);
                (lost && waited).then_some(Rejection::NoOwner)
            }
            Destination::Any => {
                let usable = |u: &Upstream| !u.spec.leaving && !ask.tried.contains(&u.spec.id);
                let any = self.upstreams.values().any(usable);
                (!any).then_some(Rejection::NoUpstream)
            }
        }
    }

    /// Returns whether the owner of the request's key has refused it lately.
    fn is_refused(&self, now: Millis, ask: &RequestSpec) -> bool {
        let (Some(key), Destination::Owner(_, fence)) = (ask.key, &ask.destination) else {
            return false;
        };
        self.refused.get(&(key, *fence)).is_some_and(|until| now < *until)
    }

    /// Returns how many waiting requests of the same or a higher priority compete with `ask`.
    ///
    /// Requests for keys that their owner has just refused do not hold up others.
    fn ahead(&self, now: Millis, ask: &RequestSpec) -> usize {
        let same = |w: &&Waiting| match (&w.ask.destination, &ask.destination) {
            (Destination::Owner(a, _), Destination::Owner(b, _)) => a == b,
            (Destination::Any, Destination::Any) => true,
            _ => false,
        };
        let before = |w: &&Waiting| w.ask.priority <= ask.priority && !self.is_refused(now, &w.ask);
        self.waiting.iter().filter(same).filter(before).count()
    }

    /// Returns the time in milliseconds that a request waits behind `ahead` others.
    fn expected_wait(&self, now: Millis, ask: &RequestSpec, ahead: usize) -> f64 {
        #[expect(clippy::cast_precision_loss, reason = "small numbers")]
        let turns = ahead as f64 + 1.0;
        match &ask.destination {
            Destination::Owner(id, _) => self
                .upstreams
                .get(id)
                .map_or(RETURN_MAX_MS, |u| turns * u.time / u.window.max(WINDOW_MIN)),
            Destination::Any => {
                let open =
                    self.upstreams.values().filter(|u| !u.spec.leaving && !u.is_ejected(now));
                let pace: f64 = open.map(|u| u.window.max(WINDOW_MIN) / u.time.max(1.0)).sum();
                if pace > 0.0 { turns / pace } else { RETURN_LOST_MS }
            }
            Destination::NoOwner => RETURN_LOST_MS,
        }
    }

    /// Returns the upstream that should take the request now, if one has room.
    fn choose(&self, now: Millis, ask: &RequestSpec) -> Option<Arc<str>> {
        match &ask.destination {
            Destination::NoOwner => None,
            Destination::Owner(id, _) => {
                let u = self.upstreams.get(id)?;
                let open = !u.spec.leaving && !u.is_ejected(now) && u.has_room();
                let open = open && !self.is_refused(now, ask);
                open.then(|| id.clone())
            }
            Destination::Any => {
                let usable: Vec<&Upstream> = self
                    .upstreams
                    .values()
                    .filter(|u| !u.spec.leaving && !ask.tried.contains(&u.spec.id))
                    .collect();
                let sound = usable.iter().filter(|u| !u.is_ejected(now));
                let mut open: Vec<&&Upstream> = sound.collect();
                if open.is_empty() {
                    // Better one that failed lately than none.
                    open = usable.iter().collect();
                }
                let score = |u: &Upstream| {
                    u.expected_time(now, ask.large_response) * rand::random_range(0.97..1.03)
                };
                open.iter()
                    .filter(|u| u.has_room())
                    .map(|u| (score(u), &u.spec.id))
                    .min_by(|a, b| a.0.total_cmp(&b.0))
                    .map(|(_, id)| id.clone())
            }
        }
    }
}

fn patience_end(ask: &RequestSpec) -> Millis {
    #[expect(clippy::cast_precision_loss, reason = "short spans")]
    let span = ask.objective_at.saturating_sub(ask.arrived_at) as f64 * PATIENCE;
    #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "positive")]
    let end = ask.arrived_at + span as Millis;
    end.min(ask.deadline)
}
