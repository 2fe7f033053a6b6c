//! Starts the moves of keys that [`rebalance`] plans.

use super::{
    CoordinatorTask, GRANT_RENEW_INTERVAL_MS, MIN_MERGEABLE, MOVE_SETTLE_MS, evacuated_since,
};
use crate::{
    clock::Millis,
    evacuation,
    gossip::{self, Message, MovingKeys},
    grant_budget::GrantBudget,
    keymap::{KeyRange, Owner},
    rebalance,
    routing_config::UpstreamInfo,
};
use std::sync::Arc;

impl CoordinatorTask {
    /// Plans moves with the present traffic, starts them, and tells all instances about them.
    pub(super) fn start_moves(&mut self, now: Millis, upstreams: &[Arc<UpstreamInfo>]) {
        let Some(coordinator) = &mut self.coordinator else {
            return;
        };
        let mut started_moves = Vec::new();
        self.traffic.decay(now);
        self.traffic.set_cold_rates(self.node.cold_rates(&self.service, now));
        let max_spans = GrantBudget::new(self.node.cfg.cpu_cores, GRANT_RENEW_INTERVAL_MS).spans;
        let spans = coordinator.owners().spans.len();
        let min_mergeable =
            if spans < max_spans { MIN_MERGEABLE.max(spans / 5) } else { MIN_MERGEABLE };
        if coordinator.mergeable_count() >= min_mergeable && coordinator.moving_ranges().is_empty()
        {
            coordinator.refence_all();
        }
        self.recently_moved.retain(|(_, until)| *until > now);
        let recently_moved: Vec<KeyRange> =
            self.recently_moved.iter().map(|(range, _)| *range).collect();
        let (planned, moving) = (coordinator.planned_owners(), coordinator.moving_ranges());
        let plan = rebalance::plan_within(
            max_spans,
            &planned,
            &moving,
            &recently_moved,
            upstreams,
            &self.traffic,
        );
        let evacuated_since = evacuated_since(&self.node, &self.service);
        let in_progress = moving.iter().filter(|range| {
            let span = coordinator.owners().find(range.from);
            span.is_some_and(|s| evacuated_since.contains_key(&s.owner.id))
        });
        let in_progress = in_progress.count();
        let since = |owner: &Owner| evacuated_since.get(&owner.id).copied();
        for reassignment in evacuation::next_batch(now, plan, &planned, in_progress, since) {
            let (range, new_owner) = (reassignment.range, &reassignment.to);
            log::info!(
                service = &*self.service, from = range.from, to = range.to,
                owner = &*new_owner.id, rate = self.traffic.rate(&range);
                "keys are to move"
            );
            coordinator.reassign(now, &reassignment);
            self.recently_moved.push((range, now + MOVE_SETTLE_MS));
            started_moves.push(range);
        }
        if !started_moves.is_empty() {
            // On all instances, requests for these keys wait for the commit of the moves.
            let (service, revision) = (self.service.clone(), coordinator.revision());
            let moving = MovingKeys { service, revision, ranges: started_moves };
            self.node.pause_keys(&moving);
            gossip::broadcast(&self.node, &Message::Moving(moving));
        }
    }
}
