//! Gives the lease back: at a planned stop, and when another instance can coordinate better.

use super::{CoordinatorTask, Event, decode_row, encode_row};
use crate::{
    adapter::{Change, ChangeOutcome, Row},
    clock::{Millis, boot_millis},
    gossip::{self, Message},
    lease_handover::{self, ABSTENTION_MS},
    resignation::{Resignation, Step},
};
use std::sync::Arc;
use tokio::sync::oneshot;

/// Least time in milliseconds between a failed store call of a resignation and the next one.
const RETRY_DELAY_MS: Millis = 60;

impl CoordinatorTask {
    /// Stops to coordinate, and gives the lease back because the instance stops; signals `done` once
    /// this process does not hold it any more.
    pub(super) fn resign(&mut self, done: oneshot::Sender<()>) {
        let grants_end_ms = self.grants_end_ms();
        self.resignation =
            Some(Resignation::new(&self.lease, self.reread_lease).with_grants_end(grants_end_ms));
        self.resignation_done = Some(done);
        self.acting.set(false);
        self.lease.on_lost();
        self.forget_coordination();
        // The delays of earlier calls do not matter any more.
        self.next_call_at = 0;
    }

    /// Makes the next call of a resignation, once the pending one has ended.
    pub(super) fn continue_resignation(&mut self, now: Millis) {
        let step = self.resignation.as_ref().map(Resignation::next_step);
        // A read that is pending does not matter to one that does not hold the lease.
        let is_pending = match step {
            Some(Step::Finished) | None => self.call_sent_at == Some(self.renewal_sent_at),
            Some(_) => self.call_sent_at.is_some(),
        };
        if is_pending || now < self.next_call_at {
            return;
        }
        match step {
            Some(Step::Read) => self.read_row(now, self.lease_row_name()),
            Some(Step::GiveBack(revision)) => {
                let grants_end_ms = self.resignation.as_ref().and_then(Resignation::grants_end_ms);
                self.give_back(revision, grants_end_ms);
            }
            Some(Step::Finished) | None => {
                if let Some(done) = self.resignation_done.take() {
                    let _ = done.send(());
                }
            }
        }
    }

    pub(super) fn on_write_ended_while_resigning(&mut self, now: Millis, outcome: &ChangeOutcome) {
        self.call_sent_at = None;
        if !matches!(outcome, ChangeOutcome::Done(_)) {
            self.next_call_at = now + RETRY_DELAY_MS;
        }
        if let Some(resignation) = &mut self.resignation {
            resignation.on_write_ended(outcome);
        }
    }

    pub(super) fn on_lease_read_while_resigning(&mut self, row: &Row) {
        self.call_sent_at = None;
        let parsed = row.value.as_ref().and_then(|v| decode_row(v));
        if let Some(resignation) = &mut self.resignation {
            resignation.on_read(self.node.process, parsed.as_ref(), row.revision);
        }
    }

    /// Stops to coordinate, and writes that nobody holds the lease, if its row has the revision
    /// `held`; `grants_end_ms` is that of this instance before it stopped to coordinate.
    pub(super) fn give_back(&mut self, held: u64, grants_end_ms: Option<Millis>) {
        let row = self.lease.resignation_row(held, grants_end_ms);
        let expect = vec![(self.lease_row_name(), held)];
        let put = vec![(self.lease_row_name(), encode_row(&row))];
        let call = (self.node.adapter.table.change)(Change { expect, put });
        self.lease.on_lost();
        self.forget_coordination();
        self.call_sent_at = Some(boot_millis());
        let tx = self.tx.clone();
        tokio::task::spawn_local(async move {
            // The receiver ends only with the process.
            let _ = tx.send(Event::LeaseGivenBack(call.await));
        });
    }

    /// Returns [`crate::coordinator::Coordinator::grants_end_ms`]; `None` before this instance coordinates.
    pub(super) fn grants_end_ms(&self) -> Option<Millis> {
        self.coordinator.as_ref().and_then(|c| c.grants_end_ms(boot_millis()))
    }

    /// Handles the outcome of the write that gives the lease back, and tells the other instances.
    pub(super) fn on_given_back(&mut self, now: Millis, outcome: &ChangeOutcome) {
        self.call_sent_at = None;
        let given_back = matches!(outcome, ChangeOutcome::Done(_));
        log::info!(service = &*self.service, given_back, outcome:?; "gave the lease back");
        if let Some(resignation) = &mut self.resignation
            && !resignation.on_given_back(outcome)
        {
            self.next_call_at = now + RETRY_DELAY_MS;
        }
        // Others read the row, which shows who holds the lease.
        let (service, acting, deals_credits) = (self.service.clone(), false, false);
        let status = Message::CoordinatorStatus { service, acting, deals_credits };
        gossip::broadcast(&self.node, &status);
    }

    /// Notes the offer of an instance to take the lease over.
    pub(super) fn on_lease_offered(&mut self, now: Millis, name: &Arc<str>) {
        let cores = self.node.shared_state.borrow().instance(name).map_or(0.0, |p| p.cpu_cores);
        let counts = self.handover.on_offer(now, self.node.cfg.cpu_cores, cores);
        log::debug!(service = &*self.service, from = &**name, cores, counts; "lease offer");
    }

    /// Hands the lease over to a larger instance that has offered to take it.
    pub(super) fn hand_over_if_due(&mut self, now: Millis) {
        // The store would not take the write that gives the lease back, and the longer grants of an
        // outage would be dropped with it.
        if self.outage || self.renewal_failed.get() {
            return;
        }
        let is_behind = self.grant_counts.is_behind;
        match self.handover.next_step(now, self.acting_since, is_behind) {
            lease_handover::Step::Keep | lease_handover::Step::Wait => {}
            lease_handover::Step::Renew => {
                let (own_cores, held_ms) = (self.node.cfg.cpu_cores, now - self.acting_since);
                log::info!(
                    service = &*self.service, own_cores, held_ms, is_behind;
                    "hands the lease over to a larger instance"
                );
                if let Some(coordinator) = &mut self.coordinator {
                    coordinator.renew_all();
                }
            }
            lease_handover::Step::GiveBack => {
                if self.call_sent_at.is_none()
                    && let Some(held) = self.lease.held_revision()
                {
                    let grants_end_ms = self.grants_end_ms();
                    self.give_back(held, grants_end_ms);
                    self.acting.set(false);
                    self.next_call_at = now + ABSTENTION_MS;
                }
            }
        }
    }

    /// Returns whether the lease is to be read so that this instance can offer to take it over from
    /// a smaller one.
    pub(super) fn is_offer_due(&mut self, now: Millis) -> bool {
        if !lease_handover::is_offer_due(now, self.offer.0) {
            return false;
        }
        self.offer.0 = now;
        let coordinator_cores = {
            let shared_state = self.node.shared_state.borrow();
            let name = shared_state.coordinator(&self.service);
            name.and_then(|n| shared_state.instance(n)).map_or(0.0, |p| p.cpu_cores)
        };
        let own_cores = self.node.cfg.cpu_cores;
        lease_handover::may_offer(own_cores, coordinator_cores, 0)
            && lease_handover::may_offer(own_cores, coordinator_cores, self.place().rank)
    }

    /// Offers the coordinator to take the lease over, if the read that was made for that succeeded.
    pub(super) fn offer_if_read(&mut self) {
        if !std::mem::take(&mut self.offer.1) {
            return;
        }
        let coordinator = self.node.shared_state.borrow().coordinator(&self.service).cloned();
        if let Some(name) = coordinator.filter(|n| *n != self.node.cfg.name) {
            let service = self.service.clone();
            gossip::send(&self.node, &name, &Message::LeaseOffer { service });
        }
    }
}
