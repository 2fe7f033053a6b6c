//! Grants (mulberryd): messages that let a holder serve slots for a limited time, and the holder's
//! own record of them.
//!
//! A grant ends at a reading of the holder's own clock, derived from a reading that the holder sent
//! earlier. A delay on the way therefore shortens a grant and never makes it end later.

use crate::{
    clock::Millis,
    slot::{Epoch, SlotId, Term},
};
use serde::{Deserialize, Serialize};
use std::{collections::BTreeMap, sync::Arc};

/// Rounding error of a clock reading, in milliseconds.
const CLOCK_GRANULARITY: Millis = 1;

/// Identity of one process of an upstream or instance, new at each start.
pub type BootId = u64;

/// Timing of the ownership protocol.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Timing {
    /// How long a grant lasts on the holder's clock, in milliseconds.
    pub lease_ms: Millis,
    /// How long a standby promises not to take over, in milliseconds.
    pub promise_ms: Millis,
    /// How long a standby promises while the platform cannot be reached, in milliseconds. Nobody can
    /// take over then, since that needs a write to the platform's table.
    pub outage_promise_ms: Millis,
    /// Time between renewals of grants and promises, in milliseconds.
    pub renew_ms: Millis,
    /// Assumed bound on the rate error of any clock, in parts per million.
    pub drift_ppm: u64,
}

impl Default for Timing {
    fn default() -> Self {
        Self {
            lease_ms: 1_400,
            promise_ms: 800,
            outage_promise_ms: 30_000,
            renew_ms: 250,
            drift_ppm: 500,
        }
    }
}

impl Timing {
    /// Returns the most that can elapse on this clock while `remote_ms` elapse on another.
    #[must_use]
    pub fn max_elapsed(&self, remote_ms: Millis) -> Millis {
        remote_ms + self.max_drift(remote_ms) + CLOCK_GRANULARITY
    }

    /// Returns the least that can elapse on this clock while `remote_ms` elapse on another.
    #[must_use]
    pub fn min_elapsed(&self, remote_ms: Millis) -> Millis {
        remote_ms.saturating_sub(self.max_drift(remote_ms) + CLOCK_GRANULARITY)
    }

    /// Returns the time without replies, in milliseconds, after which a holder counts as silent.
    #[must_use]
    pub fn holder_silence_timeout_ms(&self) -> Millis {
        3 * self.renew_ms
    }

    /// Returns the most by which two clocks can differ after `remote_ms`, if both are off.
    fn max_drift(&self, remote_ms: Millis) -> Millis {
        (remote_ms * 2 * self.drift_ppm).div_ceil(1_000_000)
    }
}

/// One slot in a grant.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct SlotGrant {
    /// The slot.
    pub slot: SlotId,
    /// Its epoch.
    pub epoch: Epoch,
}

/// A message from a controller to a holder.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Grant {
    /// The controller's cell.
    pub cell: Arc<str>,
    /// Process that the grant is for, 0 to learn the identity of the current one.
    pub boot: BootId,
    /// The controller's term.
    pub term: Term,
    /// Version of the slot list within the term.
    pub version: u64,
    /// Reading of the holder's clock at which the grant ends, 0 for a message that grants no time.
    pub until: Millis,
    /// The slots; absent if the holder has accepted this version, and in messages that grant no
    /// time.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub slots: Option<Vec<SlotGrant>>,
}

/// How a holder responded to a grant.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum GrantStatus {
    /// The grant was applied.
    Accepted,
    /// The holder needs the slot list.
    NeedSlots,
    /// The grant is for another process.
    OtherBoot,
    /// The holder knows a higher term or a later version.
    Stale,
}

/// A holder's reply to a grant.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct GrantReply {
    /// The holder's process.
    pub boot: BootId,
    /// Reading of the holder's clock when it replied.
    pub clock: Millis,
    /// Highest term that the holder knows.
    pub term: Term,
    /// Version of the slot list that it has within that term, 0 if none.
    pub version: u64,
    /// How it responded to the grant.
    pub status: GrantStatus,
    /// Slots that were withdrawn from the holder while it still runs requests for them.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub draining: Vec<SlotId>,
    /// Whether the holder is about to stop and wants its slots reassigned.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub leaving: bool,
}

/// Why a holder refuses a request; a refusal is proof that the request did not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Refusal {
    /// The slot is not granted with this epoch.
    NotOwner,
    /// The grant has ended.
    Lapsed,
}

impl Refusal {
    /// Returns the name used on the wire.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::NotOwner => "not-owner",
            Self::Lapsed => "lapsed",
        }
    }
}

/// A slot that was withdrawn while requests ran for it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct DrainingSlot {
    epoch: Epoch,
    until: Millis,
}

/// Holder of grants: decides which requests it may run.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct GrantHolder {
    boot: BootId,
    term: Term,
    /// Term and version of `slots`.
    list_version: (Term, u64),
    slots: BTreeMap<SlotId, Epoch>,
    until: Millis,
    draining: BTreeMap<SlotId, DrainingSlot>,
    in_flight: BTreeMap<SlotGrant, u32>,
    leaving: bool,
}

impl GrantHolder {
    /// Creates a holder without grants; `boot` must be new at each start.
    #[must_use]
    pub fn new(boot: BootId) -> Self {
        Self {
            boot,
            term: 0,
            list_version: (0, 0),
            slots: BTreeMap::new(),
            until: 0,
            draining: BTreeMap::new(),
            in_flight: BTreeMap::new(),
            leaving: false,
        }
    }

    /// Returns the identity of this process.
    #[must_use]
    pub fn boot(&self) -> BootId {
        self.boot
    }

    /// Makes each reply from now on say that the holder is about to stop.
    pub fn set_leaving(&mut self) {
        self.leaving = true;
    }

    /// Returns the slots held at `now`.
    pub fn held_slots(&self, now: Millis) -> impl Iterator<Item = SlotGrant> {
        let live = now < self.until;
        self.slots
            .iter()
            .filter(move |_| live)
            .map(|(slot, epoch)| SlotGrant { slot: *slot, epoch: *epoch })
    }

    /// Returns the reading of the holder's clock at which its grant ends.
    #[must_use]
    pub fn until(&self) -> Millis {
        self.until
    }

    /// Handles a grant and returns the reply.
    pub fn on_grant(&mut self, now: Millis, grant: &Grant) -> GrantReply {
        let status = self.apply(now, grant);
        self.draining.retain(|_, d| now < d.until);
        GrantReply {
            boot: self.boot,
            clock: now,
            term: self.term,
            version: if self.list_version.0 == self.term { self.list_version.1 } else { 0 },
            status,
            draining: self.draining.keys().copied().collect(),
            leaving: self.leaving,
        }
    }

    fn apply(&mut self, now: Millis, grant: &Grant) -> GrantStatus {
        if grant.term < self.term {
            return GrantStatus::Stale;
        }
        // The term is the cell's, so a grant for another process of the upstream raises it too.
        self.term = grant.term;
        if grant.boot != self.boot {
            return GrantStatus::OtherBoot;
        }
        let offered = (grant.term, grant.version);
        if offered < self.list_version {
            return GrantStatus::Stale;
        }
        if offered > self.list_version {
            let Some(slots) = &grant.slots else {
                return GrantStatus::NeedSlots;
            };
            self.replace_slots(now, offered, slots);
        }
        self.until = self.until.max(grant.until);
        GrantStatus::Accepted
    }

    fn replace_slots(&mut self, now: Millis, list_version: (Term, u64), slots: &[SlotGrant]) {
        let next: BTreeMap<SlotId, Epoch> = slots.iter().map(|g| (g.slot, g.epoch)).collect();
        for (slot, epoch) in std::mem::take(&mut self.slots) {
            let withdrawn = next.get(&slot) != Some(&epoch);
            let busy = self.in_flight.contains_key(&SlotGrant { slot, epoch });
            if withdrawn && busy && now < self.until {
                self.draining.insert(slot, DrainingSlot { epoch, until: self.until });
            }
        }
        self.list_version = list_version;
        self.slots = next;
    }

    /// Admits a request for a slot; each success must be followed by one [`Self::end_request`].
    ///
    /// # Errors
    ///
    /// A refusal is proof that the request did not run.
    pub fn begin_request(
        &mut self,
        now: Millis,
        slot: SlotId,
        epoch: Epoch,
    ) -> Result<(), Refusal> {
        if self.slots.get(&slot) != Some(&epoch) {
            return Err(Refusal::NotOwner);
        }
        if now >= self.until {
            return Err(Refusal::Lapsed);
        }
        *self.in_flight.entry(SlotGrant { slot, epoch }).or_default() += 1;
        Ok(())
    }

    /// Returns whether an admitted request may still take effect.
    #[must_use]
    pub fn may_take_effect(&self, now: Millis, slot: SlotId, epoch: Epoch) -> bool {
        let held = self.slots.get(&slot) == Some(&epoch) && now < self.until;
        let drained = self.draining.get(&slot);
        held || drained.is_some_and(|d| d.epoch == epoch && now < d.until)
    }

    /// Ends an admitted request.
    pub fn end_request(&mut self, slot: SlotId, epoch: Epoch) {
        let key = SlotGrant { slot, epoch };
        let Some(n) = self.in_flight.get_mut(&key) else {
            return;
        };
        *n -= 1;
        if *n == 0 {
            self.in_flight.remove(&key);
            if self.draining.get(&slot).is_some_and(|d| d.epoch == epoch) {
                self.draining.remove(&slot);
            }
        }
    }
}
