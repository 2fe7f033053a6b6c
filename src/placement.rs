//! Placement of slots on owners: as few moves as possible, bounded by a churn budget.

use crate::{
    cell::{CellRow, Owner},
    collections::HashMap,
    slot::SlotId,
};
use std::{collections::BTreeMap, sync::Arc};

/// What a placement has to satisfy.
#[derive(Debug, Clone)]
pub struct PlacementInput<'a> {
    /// Slots to place.
    pub slots: &'a [SlotId],
    /// Owners that earlier placements chose and that are not committed yet.
    pub intended: &'a BTreeMap<SlotId, Owner>,
    /// Owners that may hold slots.
    pub live_owners: &'a [Owner],
    /// Slots that should be on a named upstream.
    pub pinned: &'a BTreeMap<SlotId, Arc<str>>,
    /// Slots that may move for balance alone.
    pub move_budget: usize,
}

/// Returns the owner that each slot should have.
///
/// Slots whose owner may not hold them go to the owner with the fewest slots, an owner of the same
/// upstream first; then at most `move_budget` slots move for balance. Slots that nobody can take
/// stay.
#[must_use]
pub fn place_slots(row: &CellRow, demand: &PlacementInput<'_>) -> BTreeMap<SlotId, Owner> {
    let mut wanted = BTreeMap::new();
    let mut held: HashMap<&Owner, Vec<SlotId>> =
        demand.live_owners.iter().map(|o| (o, vec![])).collect();
    let mut homeless = Vec::new();
    for slot in demand.slots {
        let committed = row.slots.get(slot).map(|a| &a.owner);
        let intended = demand.intended.get(slot).filter(|o| held.contains_key(o));
        let owner = intended.or(committed);
        let pin = demand.pinned.get(slot).and_then(|u| find(demand.live_owners, u));
        match (pin, owner) {
            (Some(pin), _) => {
                wanted.insert(*slot, pin.clone());
            }
            (None, Some(o)) if held.contains_key(o) => {
                held.entry(o).or_default().push(*slot);
                wanted.insert(*slot, o.clone());
            }
            (None, o) => homeless.push((*slot, o)),
        }
    }
    rehome(&mut wanted, &mut held, &homeless, demand.live_owners);
    balance(&mut wanted, &mut held, demand.move_budget);
    wanted
}

fn find<'a>(live: &'a [Owner], upstream: &str) -> Option<&'a Owner> {
    live.iter().find(|o| &*o.upstream == upstream)
}

fn rehome<'a>(
    wanted: &mut BTreeMap<SlotId, Owner>,
    held: &mut HashMap<&'a Owner, Vec<SlotId>>,
    homeless: &[(SlotId, Option<&Owner>)],
    live: &'a [Owner],
) {
    for (slot, old) in homeless {
        let same = old.and_then(|o| find(live, &o.upstream));
        let least = || live.iter().min_by_key(|o| (held.get(o).map_or(0, Vec::len), *o));
        let Some(to) = same.or_else(least) else {
            continue;
        };
        held.entry(to).or_default().push(*slot);
        wanted.insert(*slot, to.clone());
    }
}

fn balance(
    wanted: &mut BTreeMap<SlotId, Owner>,
    held: &mut HashMap<&Owner, Vec<SlotId>>,
    churn: usize,
) {
    for _ in 0..churn {
        let most = held.iter().max_by_key(|(o, s)| (s.len(), *o)).map(|(o, s)| (*o, s.len()));
        let least = held.iter().min_by_key(|(o, s)| (s.len(), *o)).map(|(o, s)| (*o, s.len()));
        let (Some((from, most)), Some((to, least))) = (most, least) else {
            return;
        };
        if most <= least + 1 {
            return;
        }
        let Some(slot) = held.get_mut(from).and_then(Vec::pop) else {
            return;
        };
        held.entry(to).or_default().push(slot);
        wanted.insert(slot, to.clone());
    }
}
