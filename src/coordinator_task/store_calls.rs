//! The store calls of a coordinator task: reading and writing the lease and the owners.

use super::{CoordinatorTask, Event, SLOW_CALL_MS, decode_row, encode_row, grant_times};
use crate::{
    adapter::{Change, ChangeOutcome, Row, RowName},
    clock::Millis,
    coordinator::Coordinator,
    error::Error,
    gossip::{self, Message},
    grant_budget::GrantBudget,
    keymap::KeyMap,
    lease::{self, LeaseRow},
    revision,
    shared_state::{EntryKind, EntryValue, StateEntry},
};
use std::sync::Arc;

/// Least time in milliseconds between a failed store call and the next one; a renewal that failed
/// also waits for [`lease::RENEW_INTERVAL_MS`].
const CALL_RETRY_DELAY_MS: Millis = 120;
/// Minimum time in milliseconds between commits: moves that end close together share one.
const COMMIT_SPACING_MS: Millis = 60;
/// Time in milliseconds after the first listing of a restored store for which a lease is left to
/// instances that have run for long: these wait for 2.1 s.
const LEASE_PRECEDENCE_MS: Millis = 3_500;

impl CoordinatorTask {
    /// Starts the store call that is due, if any.
    pub(super) fn start_due_call(&mut self, now: Millis) {
        if self.lease.held_revision().is_some() {
            if self.reread_lease {
                self.read_row(now, self.lease_row_name());
            } else if self.coordinator.is_none() || self.are_owners_lost() {
                self.read_row(now, self.owners_row_name());
            } else if let Some(map) = self.uncertain_commit.clone() {
                self.write_lease(now, Some(map));
            } else if now >= self.commit_sent_at + COMMIT_SPACING_MS
                && let Some(map) = self.coordinator.as_mut().and_then(|c| c.next_commit(now))
            {
                self.commit_sent_at = now;
                self.write_lease(now, Some(map));
            } else if now >= self.renewal_sent_at + lease::RENEW_INTERVAL_MS {
                self.write_lease(now, None);
            }
            return;
        }
        if self.has_no_other_coordinator() || self.is_coordinator_silent(now) {
            self.next_call_at = now + lease::MIN_READ_INTERVAL_MS;
            self.read_row(now, self.lease_row_name());
        } else if self.is_offer_due(now) {
            self.offer.1 = true;
            self.read_row(now, self.lease_row_name());
        }
    }

    /// Returns whether the store was restored from a copy since the owners were committed or read.
    fn are_owners_lost(&self) -> bool {
        let revisions = (self.lease.held_revision(), self.coordinator.as_ref());
        let (Some(held), Some(coordinator)) = revisions else {
            return false;
        };
        revision::generation(coordinator.revision()) < revision::generation(held)
    }

    pub(super) fn read_row(&mut self, now: Millis, name: RowName) {
        self.call_sent_at = Some(now);
        // Of the two rows that are read, only that of the owners is in the followed table.
        let is_lease = !name.followed;
        let call = (self.node.adapter.table.read)(name);
        let tx = self.tx.clone();
        tokio::task::spawn_local(async move {
            let row = call.await;
            let event =
                if is_lease { Event::LeaseRead { sent: now, row } } else { Event::OwnersRead(row) };
            let _ = tx.send(event);
        });
    }

    /// Renews the held lease, and commits owners with it if given.
    fn write_lease(&mut self, now: Millis, commit: Option<KeyMap>) {
        let held = self.lease.held_revision().unwrap_or(0);
        self.write_lease_at(now, held, commit);
    }

    /// Takes or renews the lease if its row has the given revision. The same change publishes the
    /// coordinator's name if the lease is taken or the store was restored, and commits owners if
    /// given.
    fn write_lease_at(&mut self, now: Millis, lease_revision: u64, commit: Option<KeyMap>) {
        let row = self.lease.next_row(lease_revision);
        let mut change = Change::default();
        change.expect.push((self.lease_row_name(), lease_revision));
        change.put.push((self.lease_row_name(), encode_row(&row)));
        if self.published_generation != Some(revision::generation(lease_revision)) {
            let name = self.node.cfg.name.as_bytes().to_vec();
            // "steward" is the stored key of the row with the coordinator's name.
            change.put.push((self.row_name(true, "steward"), name));
        }
        if let Some(map) = &commit {
            let revision = self.coordinator.as_ref().map_or(0, Coordinator::revision);
            change.expect.push((self.owners_row_name(), revision));
            change.put.push((self.owners_row_name(), encode_row(map)));
        }
        self.call_sent_at = Some(now);
        self.renewal_sent_at = now;
        let call = (self.node.adapter.table.change)(change);
        let tx = self.tx.clone();
        tokio::task::spawn_local(async move {
            let outcome = call.await;
            let _ = tx.send(Event::LeaseWriteEnded { sent: now, commit, outcome });
        });
    }

    pub(super) fn on_lease_write_ended(
        &mut self,
        now: Millis,
        sent: Millis,
        commit: Option<KeyMap>,
        outcome: &ChangeOutcome,
    ) {
        self.call_sent_at = None;
        match outcome {
            ChangeOutcome::Done(revision) => {
                let taken = self.lease.held_revision().is_none();
                self.lease.on_written(sent, *revision);
                self.outage = now >= sent + SLOW_CALL_MS;
                self.renewal_failed.set(false);
                if taken {
                    // The owners are read at once; only reads of the lease are spaced.
                    self.next_call_at = now;
                    let place = self.place();
                    log::info!(service = &*self.service, revision, place:?; "took the lease");
                }
                let generation = Some(revision::generation(*revision));
                if self.published_generation != generation {
                    self.published_generation = generation;
                    self.publish_coordinator(*revision);
                }
                if let Some(map) = commit {
                    self.on_committed(map, *revision);
                }
            }
            ChangeOutcome::Conflict => {
                // An earlier attempt may have succeeded and caused the conflict.
                self.uncertain_commit = commit;
                self.reread_lease = self.lease.held_revision().is_some();
            }
            // Nothing was written or will be.
            ChangeOutcome::NotDone => {
                if self.uncertain_commit.is_none()
                    && let Some(coordinator) = &mut self.coordinator
                {
                    coordinator.on_commit_failed();
                }
                self.enter_outage();
                self.tell_renewal_failed();
                self.next_call_at = now + CALL_RETRY_DELAY_MS;
            }
            ChangeOutcome::Unknown => {
                if commit.is_some() {
                    self.uncertain_commit = commit;
                }
                self.reread_lease = self.lease.held_revision().is_some();
                self.enter_outage();
                self.tell_renewal_failed();
                self.next_call_at = now + CALL_RETRY_DELAY_MS;
            }
        }
    }

    /// Tells the other instances that this one, which may still act, could not renew the lease, so that
    /// they watch it. Its holds outlast their wait for it only if that begins at once.
    fn tell_renewal_failed(&self) {
        if self.acting.get() && !self.renewal_failed.replace(true) {
            log::info!(service = &*self.service; "the lease could not be renewed, others are told");
            let (service, acting, deals_credits) = (self.service.clone(), false, true);
            let status = Message::CoordinatorStatus { service, acting, deals_credits };
            gossip::broadcast(&self.node, &status);
        }
    }

    /// Tells the other instances that this one is the coordinator.
    fn publish_coordinator(&self, revision: u64) {
        let value = Some(EntryValue::Coordinator(self.node.cfg.name.clone()));
        let key = self.service.clone();
        let entry = StateEntry { kind: EntryKind::Coordinator, key, revision, value };
        gossip::broadcast(&self.node, &Message::Push { entries: vec![entry.clone()] });
        self.node.update_shared_state(|shared_state, now| shared_state.merge(now, [entry]));
    }

    fn on_committed(&mut self, map: KeyMap, revision: u64) {
        self.uncertain_commit = None;
        let Some(coordinator) = &mut self.coordinator else {
            return;
        };
        coordinator.on_committed(map.clone(), revision);
        log::info!(
            service = &*self.service, revision, spans = map.spans.len(),
            moving = coordinator.moves().count();
            "owners committed"
        );
        let value = Some(EntryValue::Owners(Arc::new(map)));
        let entry =
            StateEntry { kind: EntryKind::Owners, key: self.service.clone(), revision, value };
        gossip::broadcast_owners(&self.node, &entry);
        self.node.update_shared_state(|shared_state, now| shared_state.merge(now, [entry]));
    }

    pub(super) fn on_read_failed(&mut self, now: Millis, e: &Error) {
        log::debug!(service = &*self.service; "{e}");
        self.call_sent_at = None;
        self.offer.1 = false;
        let delay = match self.lease.held_revision() {
            Some(_) => CALL_RETRY_DELAY_MS,
            None if self.resignation.is_some() => CALL_RETRY_DELAY_MS,
            None => lease::failed_read_delay(self.failed_reads, self.place().position),
        };
        self.failed_reads += 1;
        self.next_call_at = now + delay;
    }

    pub(super) fn on_lease_read(&mut self, now: Millis, sent: Millis, row: &Row) {
        self.call_sent_at = None;
        self.failed_reads = 0;
        // A row that cannot be decoded is treated as that of a holder that never renews it.
        let unreadable = LeaseRow {
            holder: Some("".into()),
            process: 0,
            write_number: 0,
            generation: revision::generation(row.revision),
            grants_end_ms: None,
        };
        let parsed = row.value.as_ref().map(|v| decode_row(v).unwrap_or(unreadable));
        let held = self.lease.held_revision().is_some();
        let takeover_revision = self.lease.on_read(sent, parsed.as_ref(), row.revision);
        if held && self.lease.held_revision().is_none() {
            log::warn!(service = &*self.service; "lost the lease");
            self.forget_coordination();
        }
        if self.lease.held_revision().is_some() {
            // This instance holds the lease; find out whether the owners were committed.
            self.reread_lease = false;
            if self.uncertain_commit.is_some() || self.are_owners_lost() {
                self.read_row(now, self.owners_row_name());
            }
        } else if let Some(revision) = takeover_revision
            && !self.must_leave_lease_to_others(sent, parsed.as_ref(), revision)
        {
            // What a row from before a restore says does not hold.
            let given_back = parsed
                .as_ref()
                .filter(|r| r.holder.is_none() && r.generation == revision::generation(revision));
            self.predecessor_grants = given_back.and_then(|r| r.grants_end_ms).map(|ms| (now, ms));
            self.write_lease_at(now, revision, None);
        } else {
            self.next_call_at = sent + self.lease.read_delay(sent);
            self.offer_if_read();
        }
    }

    /// Returns whether an instance that has run for longer should take a lease whose row comes from a
    /// copy of the store: this one could not find out soon who holds keys.
    fn must_leave_lease_to_others(
        &self,
        now: Millis,
        row: Option<&LeaseRow>,
        revision: u64,
    ) -> bool {
        let generation = revision::generation(revision);
        generation != row.map_or(0, |r| r.generation)
            && self.upstream_memory.is_too_short(now)
            && now < self.upstream_memory.listed_since() + LEASE_PRECEDENCE_MS
    }

    pub(super) fn on_owners_read(&mut self, now: Millis, row: &Row) {
        self.call_sent_at = None;
        let are_lost = self.are_owners_lost();
        let revision = row.revision;
        let map = row.value.as_ref().and_then(|v| decode_row::<KeyMap>(v));
        if row.value.is_some() && map.is_none() {
            log::error!(service = &*self.service, revision; "the row of owners cannot be read");
        }
        match &mut self.coordinator {
            None => {
                let spans = map.as_ref().map_or(0, |m| m.spans.len());
                log::info!(service = &*self.service, revision, spans; "owners read");
                let coordinator = self.new_coordinator(now, row, map);
                // Counts for the first one of a lease only: later ones follow grants of this process.
                self.coordinator = Some(match self.predecessor_grants.take() {
                    Some((read_at, ms)) => coordinator.with_inherited_grants_end(read_at, ms),
                    None => coordinator,
                });
            }
            // Not committed so far; `uncertain_commit` is written again.
            Some(coordinator) if coordinator.revision() == revision => {}
            Some(coordinator) if are_lost => {
                log::warn!(
                    service = &*self.service, revision;
                    "store was restored, owners are committed again"
                );
                coordinator.on_store_restored(revision);
                self.uncertain_commit = None;
            }
            Some(_) => match (self.uncertain_commit.take(), map) {
                (Some(own), Some(map)) if own == map => self.on_committed(map, revision),
                (_, map) => {
                    log::warn!(
                        service = &*self.service, revision;
                        "owners changed by another instance"
                    );
                    self.coordinator = Some(self.new_coordinator(now, row, map));
                }
            },
        }
    }

    /// Returns the state of a new coordinator, from the row of the owners and the map in it.
    ///
    /// Owners that were committed before the store was restored from a copy may not be the last
    /// ones that were: their fences are of an earlier generation than the row. Of these and the last
    /// ones that this instance knows, the later ones are taken. A missing row is that of a new service
    /// only if the store was never restored.
    fn new_coordinator(&self, now: Millis, row: &Row, map: Option<KeyMap>) -> Coordinator {
        let (times, revision) = (grant_times(&self.node), row.revision);
        let is_certain = match &map {
            Some(map) => map.is_certain_at(revision),
            None => row.value.is_none() && revision::generation(revision) == 0,
        };
        let map = map.unwrap_or_default();
        let budget = GrantBudget::new(self.node.cfg.cpu_cores, times.renew_interval);
        if is_certain {
            return Coordinator::new(now, times, map, revision)
                .with_max_in_flight(budget.in_flight);
        }
        let shared_state = self.node.shared_state.borrow();
        let known = shared_state.owners(&self.service).map(|(known, _)| known);
        let later = known.filter(|known| known.latest_fence() > map.latest_fence());
        let owners = later.map_or(map, |known| (**known).clone());
        log::warn!(
            service = &*self.service, revision, spans = owners.spans.len();
            "owners are uncertain, keys are granted once all earlier grants have expired"
        );
        Coordinator::with_uncertain_owners(now, times, owners, revision)
            .with_max_in_flight(budget.in_flight)
    }
}
