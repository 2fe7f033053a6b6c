//! Retry budgets of instances that divide a common reserve among themselves.

use mulberryspur::retry_budget::RetryBudget;

fn spend_all(budget: &mut RetryBudget) -> usize {
    std::iter::from_fn(|| budget.try_spend().then_some(())).count()
}

/// Each of 300 instances starts as one of four that share a reserve, and then learns of the others:
/// without a request, they may send at most one retry each.
#[test]
fn reserve_shrinks_as_instances_become_known() {
    let reserve = 87.0;
    let mut total = 0;
    for _ in 0..300 {
        let mut budget = RetryBudget::with_limits(0.16, reserve / 4.0);
        budget.set_limits(&RetryBudget::with_limits(0.16, reserve / 300.0));
        total += spend_all(&mut budget);
    }
    assert!(total <= 300, "{total} retries without a request");
}

#[test]
fn requests_deposit_their_share_of_retries() {
    let mut budget = RetryBudget::with_limits(0.16, 50.0);
    spend_all(&mut budget);
    (0..100).for_each(|_| budget.on_request());
    assert_eq!(spend_all(&mut budget), 16);
}

#[test]
fn new_budget_allows_one_retry() {
    let mut budget = RetryBudget::with_limits(0.2, 64.0);
    assert_eq!(spend_all(&mut budget), 1);
}
