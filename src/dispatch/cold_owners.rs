//! Requests for cold owners of keys, which wait for a credit of the service's coordinator; see
//! [`crate::credits`].

use super::{Decision, Destination, Dispatcher, Rejection, RequestSpec, Ticket, WaitingRequest};
use crate::{
    clock::Millis,
    collections::HashMap,
    credits::{ColdAdmission, CreditAnswer, CreditRequest},
    upstream_state::Upstream,
    warmup::ColdPace,
};
use std::sync::Arc;

impl Dispatcher {
    /// Sets whether the upstreams own keys; applies to those that are cold from the next
    /// [`Self::set_cold`] on.
    pub fn set_keyed(&mut self, is_keyed: bool) {
        self.is_keyed = is_keyed;
    }

    /// Takes over whether an instance acts as the coordinator, and whether it deals credits.
    pub fn on_dealer_status(&mut self, now: Millis, acting: bool, deals_credits: bool) {
        self.dealer.on_status(now, acting, deals_credits);
        self.update_admission(now);
    }

    /// Updates how requests for cold owners are admitted.
    pub(super) fn update_admission(&mut self, now: Millis) {
        let admission =
            if self.is_keyed { self.dealer.admission(now) } else { ColdAdmission::Tokens };
        let paces = self.upstreams.values_mut().filter_map(|u| u.cold.as_mut());
        paces.for_each(|pace| pace.set_admission(now, admission));
    }

    /// Returns what has to be asked of the coordinator for the waiting requests for cold owners.
    pub fn credit_request(&mut self, now: Millis, service: &Arc<str>) -> Option<CreditRequest> {
        if self.waiting.is_empty() {
            return None;
        }
        let mut waiting: HashMap<Arc<str>, u32> = HashMap::default();
        for w in &self.waiting {
            if let Destination::Owner(id, _) = &w.req.destination
                && self.may_use_credit(now, id, &w.req)
            {
                *waiting.entry(id.clone()).or_default() += 1;
            }
        }
        let with_place = |(id, n): (Arc<str>, u32)| {
            let places = self.upstreams.get(&id).map_or(0, Upstream::free_places);
            (id, n.min(places))
        };
        self.credits.request(now, service, waiting.into_iter().map(with_place))
    }

    /// Returns whether a waiting request could be sent to the owner of its key with a credit.
    fn may_use_credit(&self, now: Millis, id: &Arc<str>, req: &RequestSpec) -> bool {
        let owner = self.upstreams.get(id);
        let is_ready = |u: &Upstream| {
            u.cold.is_some_and(|c| c.needs_credit(now))
                && !u.spec.leaving
                && !u.is_ejected(now)
                && u.can_take(now)
                && now >= u.full_until
        };
        owner.is_some_and(is_ready) && !self.is_key_refused(now, req)
    }

    /// Takes over the coordinator's answer; [`Self::poll`] then sends or rejects requests.
    pub fn on_credit_answer(&mut self, now: Millis, answer: &CreditAnswer) {
        self.on_dealer_status(now, answer.acting, answer.acting);
        self.credits.on_answer(now, answer);
    }

    /// Returns whether a request for an owner is sent only with a credit that this instance lacks.
    pub(super) fn lacks_credit(&self, now: Millis, owner: &Upstream) -> bool {
        owner.cold.is_some_and(|c| c.needs_credit(now))
            && !self.credits.has_credit(now, &owner.spec.id)
    }

    /// Rejects as many waiting requests for cold owners as credits were refused, the least urgent first.
    pub(super) fn reject_without_credit(&mut self, now: Millis) -> Vec<(Ticket, Decision)> {
        let mut decisions = Vec::new();
        for (owner, refused) in self.credits.take_refused() {
            for _ in 0..refused {
                let is_for_owner = |w: &WaitingRequest| {
                    matches!(&w.req.destination, Destination::Owner(id, _) if *id == owner)
                        && self.may_use_credit(now, &owner, &w.req)
                };
                let Some(n) = self.waiting.iter().rposition(is_for_owner) else {
                    break;
                };
                let w = self.waiting.remove(n);
                decisions.push((w.ticket, self.reject(now, &w.req, Rejection::UpstreamLimit)));
            }
        }
        decisions
    }

    /// Returns the time in milliseconds after which a request for a cold owner is worth sending again
    /// that got no credit; 0 for other requests.
    pub(super) fn refused_wait(&self, now: Millis, req: &RequestSpec) -> f64 {
        self.pace_by_credits(now, req).map_or(0.0, |pace| pace.refused_wait_ms(now))
    }

    /// Returns the time in milliseconds until a request needs no credit, as its owner is warm then.
    pub(super) fn credits_end(&self, now: Millis, req: &RequestSpec) -> f64 {
        self.pace_by_credits(now, req).map_or(f64::INFINITY, |pace| pace.cold_ms(now))
    }

    fn pace_by_credits(&self, now: Millis, req: &RequestSpec) -> Option<ColdPace> {
        let Destination::Owner(id, _) = &req.destination else {
            return None;
        };
        self.upstreams.get(id)?.cold.filter(|pace| pace.needs_credit(now))
    }
}
