//! The coordinator's answers to requests for credits, see [`crate::credits`], and the way of an instance's
//! own requests to it.

use crate::{
    clock::boot_millis,
    credits::{CreditAnswer, CreditRequest},
    gossip::{self, Message},
    node::Node,
};
use std::{rc::Rc, sync::Arc};

/// Returns whether this instance deals credits: while it may act as the service's coordinator.
pub(crate) fn deals_credits(node: &Node, service: &str) -> bool {
    node.coordinators.borrow().get(service).is_some_and(|h| h.acting.get())
}

/// Returns the answer to a request for credits.
pub(crate) fn on_credit_request(node: &Node, request: &CreditRequest) -> CreditAnswer {
    let CreditRequest { service, id, owners } = request;
    let (coordinators, services) = (node.coordinators.borrow(), node.services.borrow());
    let handle = coordinators.get(service).filter(|h| h.acting.get());
    let limits = services.get(service).and_then(|s| s.cold.limits());
    let granted = handle.map_or_else(Vec::new, |handle| {
        let (now, mut dealer) = (boot_millis(), handle.dealer.borrow_mut());
        // Without limits, the owners tolerate any rate.
        let mut deal = |owner: &Arc<str>, asked| {
            limits.map_or(asked, |l| dealer.deal(now, owner, l.per_second, asked))
        };
        owners.iter().map(|(owner, asked)| deal(owner, *asked)).collect()
    });
    let (asked, dealt) = (owners.iter().map(|(_, n)| n).sum(), granted.iter().sum());
    count_credits("asked", asked);
    count_credits("dealt", dealt);
    CreditAnswer { service: service.clone(), id: *id, acting: handle.is_some(), granted }
}

fn count_credits(kind: &'static str, count: u32) {
    metrics::counter!("mulberryspur_credits_total", "kind" => kind).increment(u64::from(count));
}

/// Asks the service's coordinator for the credits that waiting requests need.
pub(crate) fn ask_for_credits(node: &Rc<Node>, service: &Arc<str>) {
    let request = {
        let mut services = node.services.borrow_mut();
        let state = services.get_mut(service);
        state.and_then(|s| s.dispatcher.credit_request(boot_millis(), service))
    };
    let Some(request) = request else {
        return;
    };
    let coordinator = node.shared_state.borrow().coordinator(service).cloned();
    match coordinator {
        Some(name) if name != node.cfg.name => {
            gossip::send(node, &name, &Message::CreditRequest(request));
        }
        _ => on_credit_answer(node, &on_credit_request(node, &request)),
    }
}

/// Takes over the coordinator's answer.
pub(crate) fn on_credit_answer(node: &Rc<Node>, answer: &CreditAnswer) {
    if let Some(state) = node.services.borrow_mut().get_mut(&answer.service) {
        let now = boot_millis();
        state.dispatcher.on_credit_answer(now, answer);
        state.poll(now);
    }
}
