//! Confidence intervals of comparisons: their width, and how often they miss.

use irisrouter_simulation::rng::{Rng, Stream};
use irisrouter_testbed::compare::Interval;

#[test]
fn interval_of_uniform_draws_has_the_width_of_theory() {
    let mut rng = Rng::new(4, Stream::Arrivals);
    // The mean of 400 draws of an even distribution: 1.96 standard errors to each side.
    let values: Vec<f64> = (0..400).map(|_| rng.unit()).collect();
    let i = Interval::of(&values, 1);
    let error = (1.0 / 12.0_f64).sqrt() / 20.0;
    assert!((i.mean - 0.5).abs() < 3.0 * error);
    assert!(
        ((i.high - i.low) / (2.0 * 1.96 * error) - 1.0).abs() < 0.1,
        "{i:?}"
    );
    assert_eq!(
        Interval::of(&[2.0], 1),
        Interval {
            mean: 2.0,
            low: 2.0,
            high: 2.0
        }
    );
}

/// Guards against an interval that misses too often: of 300 comparisons of like with like about 5 % show a
/// difference.
#[test]
fn intervals_of_equal_choices_mostly_hold_zero() {
    let mut rng = Rng::new(8, Stream::Arrivals);
    let shown = (0..300).filter(|&seed| {
        let differences: Vec<f64> = (0..30).map(|_| rng.unit() - rng.unit()).collect();
        !Interval::of(&differences, seed).holds_zero()
    });
    let shown = shown.count();
    assert!((5..=35).contains(&shown), "{shown} of 300");
}
