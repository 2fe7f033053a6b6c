//! The budget of repeats that all instances share.

use mulberryspur::retry_budget::RetryBudget;

fn spend(budget: &mut RetryBudget) -> usize {
    std::iter::from_fn(|| budget.try_withdraw().then_some(())).count()
}

/// 300 instances start while each knows of few others: together they stay within the reserve once
/// they know of each other.
#[test]
fn reserve_shrinks_as_instances_become_known() {
    let reserve = 87.0;
    let mut sum = 0;
    for _ in 0..300 {
        let mut budget = RetryBudget::with_limits(0.16, reserve / 4.0);
        budget.set_limits(&RetryBudget::with_limits(0.16, reserve / 300.0));
        sum += spend(&mut budget);
    }
    assert!(sum <= 300, "{sum} repeats without a request");
}

#[test]
fn requests_earn_their_share_of_repeats() {
    let mut budget = RetryBudget::with_limits(0.16, 50.0);
    spend(&mut budget);
    (0..100).for_each(|_| budget.on_request());
    assert_eq!(spend(&mut budget), 16);
}

#[test]
fn new_budget_allows_one_repeat() {
    let mut budget = RetryBudget::with_limits(0.2, 64.0);
    assert_eq!(spend(&mut budget), 1);
}
