//! Retry budgets: deposits, withdrawals and the reserve in a storm.

use irisrouter_retry_storm::retry_budget::RetryBudget;
use proptest::prelude::{prop_assert, proptest};

#[test]
fn storm_reduces_deposits_and_reserves_tokens_for_higher_worth() {
    let mut budget = RetryBudget::new(0.1, 10.0);
    (0..5).for_each(|_| assert!(budget.try_withdraw(1.0, 0.1, 1.0)));
    assert!(
        !budget.try_withdraw(1.0, 0.1, 1.0) && budget.try_withdraw(1.0, 1.0, 1.0),
        "requests of the highest worth may still withdraw"
    );
    (0..100).for_each(|_| budget.deposit(1.0));
    assert_eq!(budget.tokens(), 4.0);
    (0..20).for_each(|_| budget.deposit(0.0));
    assert!((budget.tokens() - 6.0).abs() < 1e-9);
}

proptest! {
    #[test]
    fn tokens_stay_between_zero_and_capacity(steps in proptest::collection::vec(
        (proptest::bool::ANY, -1.0..20.0f64, -1.0..2.0f64, -1.0..2.0f64), 0..300), capacity in 0.0..50.0f64)
    {
        let mut budget = RetryBudget::new(0.3, capacity);
        for (is_deposit, cost, worth, strength) in steps {
            if is_deposit { budget.deposit(strength) } else { budget.try_withdraw(cost, worth, strength); }
            prop_assert!(budget.tokens() >= 0.0 && budget.tokens() <= capacity);
        }
    }
}
