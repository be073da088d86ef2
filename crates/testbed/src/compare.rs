//! Two choices of one scenario, paired by seed: each seed draws one day, and both live through it. What differs between
//! them is the choice, so that the mean of the differences needs far fewer days than the difference of the means.

use crate::results::{Measure, RunResults, VERSION};
use crate::scenario::Scenario;
use crate::virtual_run;
use irisrouter::platform_settings::PlatformSettingsError;
use irisrouter_simulation::rng::{Rng, Stream};
use rayon::prelude::*;
use serde::Serialize;

/// Samples of the bootstrap.
const RESAMPLES: usize = 10_000;
/// The quantiles at the interval's ends: 95 % lies between them.
const INTERVAL_QUANTILES: [f64; 2] = [0.025, 0.975];

/// A mean with its 95 % interval.
#[derive(Clone, Copy, Debug, Serialize, PartialEq)]
pub struct Interval {
    /// The mean.
    pub mean: f64,
    /// The interval's lower end.
    pub low: f64,
    /// The interval's upper end.
    pub high: f64,
}

impl Interval {
    /// The mean of some values, with the interval that the percentile bootstrap gives (Efron 1979). Of fewer than two
    /// values nothing is known: the interval is that value alone.
    #[must_use]
    pub fn of(values: &[f64], seed: u64) -> Interval {
        let n = values.len();
        let mean_of = |v: &mut dyn Iterator<Item = f64>| v.sum::<f64>() / n.max(1) as f64;
        let mean = mean_of(&mut values.iter().copied());
        if n < 2 {
            return Interval {
                mean,
                low: mean,
                high: mean,
            };
        }
        let mut rng = Rng::new(seed, Stream::Day);
        let mut means: Vec<f64> = (0..RESAMPLES)
            .map(|_| mean_of(&mut (0..n).map(|_| values[rng.index(n)])))
            .collect();
        means.sort_by(f64::total_cmp);
        let quantile = |q: f64| means[((q * RESAMPLES as f64) as usize).min(RESAMPLES - 1)];
        Interval {
            mean,
            low: quantile(INTERVAL_QUANTILES[0]),
            high: quantile(INTERVAL_QUANTILES[1]),
        }
    }

    /// Whether it holds 0, so that no difference is shown.
    #[must_use]
    pub fn holds_zero(&self) -> bool {
        self.low <= 0.0 && self.high >= 0.0
    }
}

/// One measure of both choices.
#[derive(Clone, Debug, Serialize, PartialEq)]
pub struct ComparedMeasure {
    /// Its name.
    pub name: String,
    /// Of A.
    pub a: Interval,
    /// Of B.
    pub b: Interval,
    /// B less A, paired by seed.
    pub difference: Interval,
    /// `better`, `worse` or `no difference shown`: of B against A.
    pub verdict: String,
}

/// A comparison.
#[derive(Clone, Debug, Serialize)]
pub struct Comparison {
    /// The version of this form.
    pub version: u32,
    /// The scenario's title.
    pub scenario: String,
    /// What A sets.
    pub a: String,
    /// What B sets.
    pub b: String,
    /// The seeds.
    pub seeds: Vec<u64>,
    /// The measures.
    #[serde(rename = "figures")]
    pub measures: Vec<ComparedMeasure>,
    /// All runs of A, by seed, without what is kept by second and host.
    pub runs_a: Vec<RunResults>,
    /// All runs of B, by seed, without what is kept by second and host.
    pub runs_b: Vec<RunResults>,
    /// The first run of A, whole, for the report.
    #[serde(skip)]
    pub first_a: Option<RunResults>,
    /// The first run of B, whole, for the report.
    #[serde(skip)]
    pub first_b: Option<RunResults>,
}

/// Runs a scenario for several seeds, on all cores, in order of the seeds.
///
/// # Errors
/// The gateway refuses the settings.
pub fn runs(
    scenario: &Scenario,
    seeds: &[u64],
    on_run_done: &(dyn Fn() + Sync),
) -> Result<Vec<RunResults>, PlatformSettingsError> {
    seeds
        .par_iter()
        .map(|&seed| {
            let results = virtual_run::run(scenario, seed);
            on_run_done();
            results
        })
        .collect()
}

/// One of the two choices of a comparison.
#[derive(Clone, Debug)]
pub struct Choice<'a> {
    /// The scenario as it sets it.
    pub scenario: &'a Scenario,
    /// What it sets, for people.
    pub settings: String,
}

/// Compares two choices over these seeds.
///
/// # Errors
/// The gateway refuses the settings of one of them.
pub fn compare(
    a: Choice<'_>,
    b: Choice<'_>,
    seeds: &[u64],
    on_run_done: &(dyn Fn() + Sync),
) -> Result<Comparison, PlatformSettingsError> {
    // Both choices of all seeds at once: the longest run does not leave the other cores idle halfway.
    let pairs = seeds
        .par_iter()
        .map(|&seed| {
            let run = |choice: &Choice<'_>| {
                let results = virtual_run::run(choice.scenario, seed);
                on_run_done();
                results
            };
            let (of_a, of_b) = rayon::join(|| run(&a), || run(&b));
            Ok((of_a?, of_b?))
        })
        .collect::<Result<Vec<_>, PlatformSettingsError>>()?;
    let (mut runs_a, mut runs_b): (Vec<_>, Vec<_>) = pairs.into_iter().unzip();
    let measures = compare_measures(&runs_a, &runs_b);
    let (first_a, first_b) = (runs_a.first().cloned(), runs_b.first().cloned());
    runs_a.iter_mut().chain(&mut runs_b).for_each(shorten);
    Ok(Comparison {
        version: VERSION,
        scenario: a.scenario.title.clone(),
        a: a.settings,
        b: b.settings,
        seeds: seeds.to_vec(),
        measures,
        runs_a,
        runs_b,
        first_a,
        first_b,
    })
}

/// Drops what is kept by second and host, which is too much for many runs.
pub fn shorten(results: &mut RunResults) {
    results.seconds.clear();
    results.hosts.clear();
    results.marks.clear();
}

/// A measure over several runs.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct MeasureSummary {
    /// Its name.
    pub name: &'static str,
    /// Its mean with the interval.
    pub interval: Interval,
}

/// All measures of some runs, each with its interval.
#[must_use]
pub fn summary(runs: &[RunResults]) -> Vec<MeasureSummary> {
    let measures: Vec<_> = runs.iter().map(RunResults::measures).collect();
    let Some(first) = measures.first() else {
        return Vec::new();
    };
    (first.iter().enumerate())
        .map(|(index, measure)| MeasureSummary {
            name: measure.name,
            interval: Interval::of(&values_of(&measures, index), index as u64),
        })
        .collect()
}

/// The values of one measure, by run.
fn values_of(measures: &[Vec<Measure>], index: usize) -> Vec<f64> {
    measures.iter().map(|run| run[index].value).collect()
}

fn compare_measures(runs_a: &[RunResults], runs_b: &[RunResults]) -> Vec<ComparedMeasure> {
    let measures_a: Vec<_> = runs_a.iter().map(RunResults::measures).collect();
    let measures_b: Vec<_> = runs_b.iter().map(RunResults::measures).collect();
    let Some(first) = measures_a.first() else {
        return Vec::new();
    };
    (first.iter().enumerate())
        .map(|(index, measure)| {
            let a = values_of(&measures_a, index);
            let b = values_of(&measures_b, index);
            compare_measure(measure, index as u64, &a, &b)
        })
        .collect()
}

fn compare_measure(measure: &Measure, seed: u64, a: &[f64], b: &[f64]) -> ComparedMeasure {
    let differences: Vec<f64> = a.iter().zip(b).map(|(a, b)| b - a).collect();
    let difference = Interval::of(&differences, seed);
    let improves = (difference.mean > 0.0) == measure.larger_is_better;
    let verdict = match (difference.holds_zero(), improves) {
        (true, _) => "no difference shown",
        (false, true) => "better",
        (false, false) => "worse",
    };
    ComparedMeasure {
        name: measure.name.to_string(),
        a: Interval::of(a, seed),
        b: Interval::of(b, seed),
        difference,
        verdict: verdict.to_string(),
    }
}
