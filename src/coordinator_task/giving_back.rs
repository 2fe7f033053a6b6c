//! Gives the lease back: at a planned stop, and when another instance can coordinate better.

use super::{CoordinatorTask, Event, decode_row, encode_row};
use crate::{
    adapter::{Change, ChangeOutcome, Row},
    clock::{Millis, boot_millis},
    gossip::{self, Message},
    resignation::{Resignation, Step},
};
use tokio::sync::oneshot;

/// Least time in milliseconds between a failed store call of a resignation and the next one.
const RETRY_DELAY_MS: Millis = 60;

impl CoordinatorTask {
    /// Stops to coordinate, and gives the lease back because the instance stops; signals `done` once
    /// this process does not hold it any more.
    pub(super) fn resign(&mut self, done: oneshot::Sender<()>) {
        let uncertain = self.reread_lease;
        self.resignation = Some(Resignation::new(&self.lease, uncertain));
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
            Some(Step::GiveBack(revision)) => self.give_back(revision),
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
    /// `held`.
    pub(super) fn give_back(&mut self, held: u64) {
        let row = self.lease.resignation_row(held);
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
        let (service, acting) = (self.service.clone(), false);
        gossip::broadcast(&self.node, &Message::CoordinatorStatus { service, acting });
    }
}
