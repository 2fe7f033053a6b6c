//! Placement of slots on owners (mulberryd): as few moves as possible, within a budget of moves for
//! balance.

use crate::{
    cell::{CellRow, Owner},
    collections::HashMap,
    slot::SlotId,
};
use std::{collections::BTreeMap, sync::Arc};

/// What a placement is computed from.
#[derive(Debug, Clone)]
pub struct PlacementInput<'a> {
    /// Slots to place.
    pub slots: &'a [SlotId],
    /// Owners that the last placement chose ([`Controller::wanted_owners`]); a live one takes
    /// precedence over the committed one.
    ///
    /// [`Controller::wanted_owners`]: crate::controller::Controller::wanted_owners
    pub intended: &'a BTreeMap<SlotId, Owner>,
    /// Owners that may hold slots.
    pub live_owners: &'a [Owner],
    /// Slots that should be on a named upstream.
    pub pinned: &'a BTreeMap<SlotId, Arc<str>>,
    /// Number of slots that may move for balance alone.
    pub move_budget: usize,
}

/// Returns the owner that each slot should have.
///
/// Slots whose owner may not hold them go to the owner with the fewest slots, an owner of the same
/// upstream first; then at most `move_budget` slots move for balance. Slots that nobody can take
/// stay.
#[must_use]
pub fn place_slots(row: &CellRow, input: &PlacementInput<'_>) -> BTreeMap<SlotId, Owner> {
    let mut wanted = BTreeMap::new();
    let mut held: HashMap<&Owner, Vec<SlotId>> =
        input.live_owners.iter().map(|o| (o, vec![])).collect();
    let mut unplaced = Vec::new();
    for slot in input.slots {
        let committed = row.slots.get(slot).map(|a| &a.owner);
        let intended = input.intended.get(slot).filter(|o| held.contains_key(o));
        let owner = intended.or(committed);
        let pin = input.pinned.get(slot).and_then(|u| find_owner(input.live_owners, u));
        match (pin, owner) {
            (Some(pin), _) => {
                wanted.insert(*slot, pin.clone());
            }
            (None, Some(o)) if held.contains_key(o) => {
                held.entry(o).or_default().push(*slot);
                wanted.insert(*slot, o.clone());
            }
            (None, o) => unplaced.push((*slot, o)),
        }
    }
    assign_unplaced(&mut wanted, &mut held, &unplaced, input.live_owners);
    move_for_balance(&mut wanted, &mut held, input.move_budget);
    wanted
}

fn find_owner<'a>(live: &'a [Owner], upstream: &str) -> Option<&'a Owner> {
    live.iter().find(|o| &*o.upstream == upstream)
}

fn assign_unplaced<'a>(
    wanted: &mut BTreeMap<SlotId, Owner>,
    held: &mut HashMap<&'a Owner, Vec<SlotId>>,
    unplaced: &[(SlotId, Option<&Owner>)],
    live: &'a [Owner],
) {
    for (slot, old) in unplaced {
        let same = old.and_then(|o| find_owner(live, &o.upstream));
        let least = || live.iter().min_by_key(|o| (held.get(o).map_or(0, Vec::len), *o));
        let Some(to) = same.or_else(least) else {
            continue;
        };
        held.entry(to).or_default().push(*slot);
        wanted.insert(*slot, to.clone());
    }
}

fn move_for_balance(
    wanted: &mut BTreeMap<SlotId, Owner>,
    held: &mut HashMap<&Owner, Vec<SlotId>>,
    move_budget: usize,
) {
    for _ in 0..move_budget {
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
