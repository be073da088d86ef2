//! Budgets of tokens for what a gateway does beside first tries: further attempts, second copies, connects.
//!
//! First tries bring tokens in; in a storm they bring in less, so that what is done beside them gives way, and what
//! is worth little gives way first.

/// A budget.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Budget {
    /// What a first try brings in.
    share: f64,
    /// Most that is saved up.
    most: f64,
    tokens: f64,
}

impl Budget {
    /// Full.
    pub fn new(share: f64, most: f64) -> Self {
        let sound = |v: f64| if v.is_finite() { v.max(0.0) } else { 0.0 };
        Budget {
            share: sound(share),
            most: sound(most),
            tokens: sound(most),
        }
    }

    /// What is left.
    pub fn left(&self) -> f64 {
        self.tokens
    }

    /// A first try comes. `strength` is that of the storm, from 0 for none to 1.
    pub fn earn(&mut self, strength: f64) {
        let part = 1.0 - strength.clamp(0.0, 1.0);
        self.tokens = (self.tokens + self.share * part).min(self.most);
    }

    /// Whether something of this cost may be done, and if so takes it. `worth` is its part of what the worthiest is
    /// worth, from 0 to 1: in a storm the last tokens are kept for what is worth more.
    pub fn spend(&mut self, cost: f64, worth: f64, strength: f64) -> bool {
        if !cost.is_finite() || cost < 0.0 {
            return false;
        }
        let kept = self.most / 2.0 * strength.clamp(0.0, 1.0) * (1.0 - worth.clamp(0.0, 1.0));
        let may = self.tokens - cost >= kept;
        if may {
            self.tokens -= cost;
        }
        may
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    #[test]
    fn a_storm_starves_it_and_keeps_the_rest_for_what_is_worth_more() {
        let mut b = Budget::new(0.1, 10.0);
        (0..5).for_each(|_| assert!(b.spend(1.0, 0.1, 1.0)));
        assert!(
            !b.spend(1.0, 0.1, 1.0) && b.spend(1.0, 1.0, 1.0),
            "what is worth most still may"
        );
        (0..100).for_each(|_| b.earn(1.0));
        assert_eq!(b.left(), 4.0);
        (0..20).for_each(|_| b.earn(0.0));
        assert!((b.left() - 6.0).abs() < 1e-9);
    }

    proptest! {
        #[test]
        fn it_never_goes_below_zero_or_over_its_bound(steps in proptest::collection::vec(
            (proptest::bool::ANY, -1.0..20.0f64, -1.0..2.0f64, -1.0..2.0f64), 0..300), most in 0.0..50.0f64)
        {
            let mut b = Budget::new(0.3, most);
            for (earn, cost, worth, strength) in steps {
                if earn { b.earn(strength) } else { b.spend(cost, worth, strength); }
                prop_assert!(b.left() >= 0.0 && b.left() <= most);
            }
        }
    }
}
