//! A request's wait for an upstream, and its count as in flight there.

use super::{Forwarding, RequestContext, UNCONFIGURED_RETRY_AFTER_MS};
use crate::{
    body::StreamEnd,
    clock::boot_millis,
    coordinator_task,
    dispatch::{Completion, Decision, LoadReport, Rejection, RequestSpec, Ticket},
    node::{Node, ServiceState},
};
use std::{rc::Rc, sync::Arc};
use tokio::sync::oneshot;

/// Waits until the request may be sent or is rejected.
pub(super) async fn admit(node: &Rc<Node>, cx: &RequestContext) -> Decision {
    let no_service = Decision::Reject {
        reason: Rejection::NoUpstream,
        retry_after: UNCONFIGURED_RETRY_AFTER_MS,
    };
    let mut request = {
        let mut services = node.services.borrow_mut();
        let Some(state) = services.get_mut(&cx.service) else {
            return no_service;
        };
        let spec = request_spec(state, cx);
        match state.dispatcher.submit(boot_millis(), spec) {
            Ok(decision) => return decision,
            Err(ticket) => {
                let rx = state.add_waiter(ticket, cx.key);
                WaitingRequest {
                    node: node.clone(),
                    service: cx.service.clone(),
                    ticket: Some(ticket),
                    rx,
                }
            }
        }
    };
    if cx.key.is_some() {
        coordinator_task::ask_for_credits(node, &cx.service);
    }
    let decision = (&mut request.rx).await;
    request.ticket = None;
    decision.unwrap_or(no_service)
}

fn request_spec(state: &ServiceState, cx: &RequestContext) -> RequestSpec {
    RequestSpec {
        priority: cx.rule.priority,
        arrived_at: cx.arrived_at,
        objective_at: cx.objective_at,
        deadline: cx.deadlines.upstream,
        destination: state.destination(cx.key),
        key: cx.key,
        large_response: cx.rule.large_responses,
        tried: cx.tried.clone(),
        admitted: cx.admitted,
        forwardable: cx.forwarding == Forwarding::Possible,
    }
}

/// A waiting request; it is removed from the queue when dropped, as after its caller left.
struct WaitingRequest {
    node: Rc<Node>,
    service: Arc<str>,
    ticket: Option<Ticket>,
    rx: oneshot::Receiver<Decision>,
}

impl Drop for WaitingRequest {
    fn drop(&mut self) {
        let Some(ticket) = self.ticket.take() else {
            return;
        };
        let mut services = self.node.services.borrow_mut();
        let Some(state) = services.get_mut(&self.service) else {
            return;
        };
        state.abandon(ticket);
        // The decision to send may have come since the receiver was last polled; the dispatcher
        // then counts the request as in flight.
        if let Ok(Decision::Send(id)) = self.rx.try_recv() {
            state.dispatcher.on_completion(boot_millis(), &id, Completion::Inconclusive, None);
        }
    }
}

/// Ends the count of an attempt in flight, which the dispatcher began with [`Decision::Send`], when
/// the attempt ends or is dropped, as after its caller left.
pub(super) struct InFlightGuard {
    node: Rc<Node>,
    service: Arc<str>,
    upstream: Option<Arc<str>>,
    /// Time in milliseconds that was left until the latency objective, for requests without a key.
    objective_ms: Option<f64>,
}

impl InFlightGuard {
    pub fn new(node: &Rc<Node>, cx: &RequestContext, upstream: Arc<str>) -> Self {
        #[expect(clippy::cast_precision_loss, reason = "short spans")]
        let left_ms = (cx.arrived_at + cx.rule.objective_ms).saturating_sub(boot_millis()) as f64;
        Self {
            node: node.clone(),
            service: cx.service.clone(),
            upstream: Some(upstream),
            objective_ms: cx.key.is_none().then_some(left_ms),
        }
    }

    pub fn end(mut self, completion: Completion, load: Option<LoadReport>) {
        self.finish(completion, load);
    }

    /// Ends the count once a streamed response has ended, as it holds a connection until then;
    /// `completion` if it is complete.
    pub fn end_with_stream(self, end: oneshot::Receiver<StreamEnd>, completion: Completion) {
        tokio::task::spawn_local(async move {
            let completion = match end.await {
                Ok(StreamEnd::Complete) => completion,
                Ok(StreamEnd::Interrupted | StreamEnd::TimedOut { upstream_late: true }) => {
                    Completion::Failed
                }
                Ok(StreamEnd::Abandoned | StreamEnd::TimedOut { upstream_late: false })
                | Err(_) => Completion::Inconclusive,
            };
            // What it has told about its load is out of date.
            self.end(completion, None);
        });
    }

    fn finish(&mut self, completion: Completion, load: Option<LoadReport>) {
        let Some(upstream) = self.upstream.take() else {
            return;
        };
        let now = boot_millis();
        if let Some(state) = self.node.services.borrow_mut().get_mut(&self.service) {
            state.dispatcher.on_completion(now, &upstream, completion, load);
            if let (Completion::Responded(took_ms), Some(load), Some(objective_ms)) =
                (completion, load, self.objective_ms)
            {
                state.dispatcher.on_answered(now, load, took_ms, objective_ms);
            }
            state.note_cut(&self.service);
            state.note_admission(&self.service);
            state.poll(now);
        }
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.finish(Completion::Inconclusive, None);
    }
}
