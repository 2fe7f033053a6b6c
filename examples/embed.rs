//! Embeds mulberryd's ownership protocol without I/O: one controller moves one slot between two
//! upstreams.
//!
//! `cargo run --example embed`

use mulberryspur::{
    cell::{CellRow, Owner},
    controller::{Action, Controller, Enforcer, InheritedGrants, WriteResult},
    grant::{GrantHolder, Timing},
};
use std::collections::BTreeMap;

fn main() {
    let timing = Timing::default();
    let row = CellRow { term: 1, controller: 1, ..CellRow::default() };
    let mut controller =
        Controller::new("cell", timing, row, 1, InheritedGrants::Until(0), &Enforcer::Owners);
    let mut holders = [("a", GrantHolder::new(11)), ("b", GrantHolder::new(22))];
    let owner = |name: &str, boot| Owner { upstream: name.into(), boot };
    let mut version = 1;
    for now in (0..3_000).step_by(50) {
        // The owner of the slot should be "a" for the first second, then "b".
        let wanted_owner = if now < 1_000 { owner("a", 11) } else { owner("b", 22) };
        controller.set_wanted_owners(BTreeMap::from([(0, wanted_owner)]));
        for action in controller.poll(now) {
            match action {
                Action::SendGrant { to, grant } => {
                    let holder = holders.iter_mut().find(|(name, _)| *name == &*to.upstream);
                    let (_, holder) = holder.expect("a known upstream");
                    let reply = holder.on_grant(now, &grant);
                    controller.on_grant_reply(now, &to, &reply);
                }
                // A real program writes the row to its table here, if its version is `expected`.
                Action::WriteRow { expected, row } => {
                    version = expected + 1;
                    let owners = row.owners();
                    println!("{now:>4} ms: row version {version}, owned by {}", owners[0]);
                    controller.on_write(WriteResult::Committed(version));
                }
                Action::ReadRow => controller.on_read(Some((version, controller.row().clone()))),
                Action::RequestPromise { .. } | Action::HandOver { .. } => {}
            }
        }
        let serving: Vec<&str> = holders
            .iter()
            .filter(|(_, h)| h.held_slots(now).next().is_some())
            .map(|(name, _)| *name)
            .collect();
        assert!(serving.len() <= 1, "two upstreams serve the slot");
        if now % 500 == 0 {
            println!("{now:>4} ms: served by {serving:?}");
        }
    }
}
