//! Random numbers: the means of the distributions, and sampling without replacement.

use irisrouter_simulation::rng::{Rng, Stream};

#[test]
fn distributions_sampled_often_have_their_means() {
    let mut rng = Rng::new(7, Stream::Arrivals);
    let n = 100_000;
    let mean = |f: &mut dyn FnMut() -> f64| (0..n).map(|_| f()).sum::<f64>() / f64::from(n);
    let e = mean(&mut || rng.exponential(1000) as f64);
    assert!((e - 1000.0).abs() < 15.0, "{e}");
    let mut rng = Rng::new(7, Stream::Day);
    let l = mean(&mut || rng.log_normal(40.0, 0.5));
    assert!((l - 40.0).abs() < 0.5, "{l}");
    let p = mean(&mut || f64::from(rng.poisson(2.5)));
    assert!((p - 2.5).abs() < 0.03, "{p}");
}

#[test]
fn chosen_indices_are_distinct_and_ascending() {
    let mut rng = Rng::new(1, Stream::Faults);
    for _ in 0..100 {
        let c = rng.choose(5, 9);
        assert!(
            c.len() == 5 && c.windows(2).all(|w| w[0] < w[1]) && c[4] < 9,
            "{c:?}"
        );
    }
    assert_eq!(rng.choose(5, 3), [0, 1, 2]);
}
