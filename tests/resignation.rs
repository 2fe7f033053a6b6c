//! A lease is given back at a planned stop, whatever write of its row is in transit: nobody waits
//! until it lapses, and the process never holds it again.

use mulberryspur::{
    adapter::ChangeOutcome,
    lease::{Lease, LeaseRow},
    resignation::{Resignation, Step},
    revision,
};
use proptest::prelude::*;

const PROCESS: u64 = 100;

/// Returns the lease of an instance that wrote its row with `revision`.
fn held_lease(revision: u64) -> Lease {
    let mut lease = Lease::new("e0", PROCESS);
    lease.on_written(1_000, revision);
    lease
}

fn own_row() -> LeaseRow {
    Lease::new("e0", PROCESS).next_row(0)
}

/// The row was given back with the revision before the write in transit, so the lease was held again
/// and nobody renewed it: 4 s without a coordinator, while grants last 4.5 s.
#[test]
fn write_in_transit_succeeds_after_the_stop() {
    let mut resignation = Resignation::new(&held_lease(7), false);
    resignation.on_write_ended(&ChangeOutcome::Done(8));
    assert_eq!(resignation.next_step(), Step::GiveBack(8));
    assert!(resignation.on_given_back(&ChangeOutcome::Done(9)));
    assert_eq!(resignation.next_step(), Step::Finished);
}

#[test]
fn take_of_the_lease_succeeds_after_the_stop() {
    let mut resignation = Resignation::new(&Lease::new("e0", PROCESS), false);
    assert_eq!(resignation.next_step(), Step::Finished);
    resignation.on_write_ended(&ChangeOutcome::Done(8));
    assert_eq!(resignation.next_step(), Step::GiveBack(8));
}

/// A conflict counted as given back.
#[test]
fn conflict_counts_as_given_back() {
    for outcome in [ChangeOutcome::Conflict, ChangeOutcome::Unknown] {
        let mut resignation = Resignation::new(&held_lease(7), false);
        assert!(!resignation.on_given_back(&outcome), "{outcome:?}");
        assert_eq!(resignation.next_step(), Step::Read);
        resignation.on_read(PROCESS, Some(&own_row()), 8);
        assert_eq!(resignation.next_step(), Step::GiveBack(8));
    }
}

#[test]
fn lease_of_another_process_is_given_back() {
    let mut resignation = Resignation::new(&held_lease(7), true);
    resignation.on_read(PROCESS + 1, Some(&own_row()), 8);
    assert_eq!(resignation.next_step(), Step::Finished);
}

/// The row in a copy of the store names the process, but another one may have taken the lease since.
#[test]
fn lease_in_a_copy_of_the_store_is_given_back() {
    let mut resignation = Resignation::new(&held_lease(7), true);
    resignation.on_read(PROCESS, Some(&own_row()), revision::new(1, 8));
    assert_eq!(resignation.next_step(), Step::Finished);
}

/// How a call to the store ends.
#[derive(Debug, Clone, Copy)]
enum End {
    Answered,
    /// It is carried out, and the answer is lost.
    AnswerLost,
    /// It is not carried out, and the sender does not know.
    RequestLost,
    NotDone,
}

fn end() -> impl Strategy<Value = End> {
    prop_oneof![
        3 => Just(End::Answered),
        1 => Just(End::AnswerLost),
        1 => Just(End::RequestLost),
        1 => Just(End::NotDone),
    ]
}

/// The store's row of the lease: who holds it, and its revision.
#[derive(Debug)]
struct Store {
    held: bool,
    revision: u64,
}

impl Store {
    fn change(&mut self, end: End, expected: u64, held: bool) -> ChangeOutcome {
        let carried_out = matches!(end, End::Answered | End::AnswerLost);
        let matches = self.revision == expected;
        if carried_out && matches {
            self.revision += 1;
            self.held = held;
        }
        match end {
            End::Answered if matches => ChangeOutcome::Done(self.revision),
            End::Answered => ChangeOutcome::Conflict,
            End::NotDone => ChangeOutcome::NotDone,
            End::AnswerLost | End::RequestLost => ChangeOutcome::Unknown,
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 2_000, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn process_holds_the_lease_after_it_was_given_back(
        renewal in end(),
        ends in prop::collection::vec(end(), 0..8),
    ) {
        let mut store = Store { held: true, revision: 7 };
        let mut resignation = Resignation::new(&held_lease(7), false);
        resignation.on_write_ended(&store.change(renewal, 7, true));
        // After these, all calls are answered.
        let mut ends = ends.into_iter().chain(std::iter::repeat(End::Answered));
        for _ in 0..30 {
            match resignation.next_step() {
                Step::Read => {
                    let row = LeaseRow { holder: store.held.then(|| "e0".into()), ..own_row() };
                    resignation.on_read(PROCESS, Some(&row), store.revision);
                }
                Step::GiveBack(revision) => {
                    let outcome = store.change(ends.next().unwrap(), revision, false);
                    resignation.on_given_back(&outcome);
                }
                Step::Finished => break,
            }
        }
        prop_assert_eq!(resignation.next_step(), Step::Finished);
        prop_assert!(!store.held);
    }
}
