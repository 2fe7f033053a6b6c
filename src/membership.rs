//! Members, the instances that are known from heartbeats, and which of them are live (mulberryd).
//!
//! Membership only decides where messages and requests are sent; safety never depends on it.

use crate::{cell::InstanceId, clock::Millis, collections::HashMap};
use serde::{Deserialize, Serialize};
use std::{net::SocketAddr, sync::Arc};

/// What an instance reports about itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct InstanceInfo {
    /// Identity, new at each start.
    pub id: InstanceId,
    /// Name, for display.
    pub name: Arc<str>,
    /// Data centre that it runs in.
    pub data_center: Arc<str>,
    /// Rack or switch group, empty if unknown.
    pub rack: Arc<str>,
    /// Address for other instances.
    pub peer: SocketAddr,
    /// Address for callers.
    pub listen: SocketAddr,
    /// Whether it is about to stop.
    pub leaving: bool,
}

/// A member as this instance sees it.
#[derive(Debug, Clone)]
pub struct Member {
    /// What it reported about itself.
    pub info: InstanceInfo,
    /// When its last heartbeat arrived, on the local clock.
    pub last_heard: Millis,
    /// Configuration revision that it has in force.
    pub revision: u64,
    /// Number of cells that it controls.
    pub controlled_cell_count: usize,
}

/// The members that this instance knows.
#[derive(Debug, Default)]
pub struct Membership {
    members: HashMap<InstanceId, Member>,
    /// Addresses that may belong to an instance, and when they were last added or heard from.
    addresses: HashMap<SocketAddr, Millis>,
}

impl Membership {
    /// Creates an empty membership.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds an address at which there may be an instance.
    pub fn add_address(&mut self, now: Millis, addr: SocketAddr) {
        self.addresses.insert(addr, now);
    }

    /// Returns the addresses to send heartbeats to.
    #[must_use]
    pub fn addresses(&self) -> Vec<SocketAddr> {
        self.addresses.keys().copied().collect()
    }

    /// Handles a heartbeat or the reply to one; a new identity at the same address replaces the old
    /// one.
    pub fn on_heartbeat(&mut self, member: Member) {
        let Member { info, last_heard, .. } = &member;
        self.addresses.insert(info.peer, *last_heard);
        self.members.retain(|id, m| *id == info.id || m.info.peer != info.peer);
        self.members.insert(info.id, member);
    }

    /// Removes members and addresses that were not heard from for `max_age` milliseconds; addresses
    /// in `seeds` stay.
    pub fn remove_stale(&mut self, now: Millis, max_age: Millis, seeds: &[SocketAddr]) {
        self.members.retain(|_, m| now < m.last_heard + max_age);
        self.addresses.retain(|addr, last_seen| now < *last_seen + max_age || seeds.contains(addr));
    }

    /// Returns a member.
    #[must_use]
    pub fn get(&self, id: InstanceId) -> Option<&Member> {
        self.members.get(&id)
    }

    /// Returns all members, sorted by name.
    #[must_use]
    pub fn all(&self) -> Vec<&Member> {
        let mut all: Vec<&Member> = self.members.values().collect();
        all.sort_by(|a, b| a.info.name.cmp(&b.info.name).then(a.info.id.cmp(&b.info.id)));
        all
    }

    /// Returns the members of a data centre that were heard from in the last `within` milliseconds
    /// and are not leaving.
    #[must_use]
    pub fn live(&self, now: Millis, within: Millis, data_center: &str) -> Vec<&Member> {
        let mut live = self.all();
        live.retain(|m| {
            now < m.last_heard + within && !m.info.leaving && &*m.info.data_center == data_center
        });
        live
    }
}

/// Orders candidates for a cell by rendezvous hashing, so that cells spread over instances.
#[must_use]
pub fn rank_instances(cell: &str, candidates: impl Iterator<Item = InstanceId>) -> Vec<InstanceId> {
    let weight = |id: &InstanceId| crate::slot::key_hash(cell, &format!("{id:x}"));
    let mut ranked: Vec<InstanceId> = candidates.collect();
    ranked.sort_by_key(|id| std::cmp::Reverse((weight(id), *id)));
    ranked
}

/// Chooses standbys by rank: from other racks than the controller's first, and from distinct ones.
#[must_use]
pub fn choose_standbys(
    ranked: &[InstanceId],
    rack_of: impl Fn(InstanceId) -> Arc<str>,
    own_rack: &str,
    count: usize,
) -> Vec<InstanceId> {
    let mut chosen: Vec<InstanceId> = Vec::new();
    let mut racks: Vec<Arc<str>> = vec![own_rack.into()];
    let mut same_rack = Vec::new();
    for id in ranked {
        let rack = rack_of(*id);
        if racks.contains(&rack) {
            same_rack.push(*id);
        } else {
            racks.push(rack);
            chosen.push(*id);
        }
    }
    chosen.extend(same_rack);
    chosen.truncate(count);
    chosen
}
