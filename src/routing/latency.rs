//! Smoothed latencies (EWMA): of each class of requests, and of each member in relation to its
//! classes.

use super::settings::RequestClass;
use super::time::TimeDelta;

/// Weight of a new sample in a member's EWMA, as the design has it.
pub(super) const SAMPLE_WEIGHT: f64 = 0.2;
/// Least weight of a new sample in an EWMA over all members, which gets many more samples.
pub(super) const FLEET_SAMPLE_WEIGHT: f64 = 0.05;
/// Share of a class's latency objective that counts as its usual latency until answers show it.
const INITIAL_SHARE_OF_OBJECTIVE: f64 = 0.25;
/// Answers that a member's average needs to count half: in a large fleet one answer says little of
/// a member.
const PRIOR_ANSWERS: f64 = 2.0;
/// A class is long from this multiple of the shortest class's usual latency on.
const LONG_CLASS_MULTIPLE: f64 = 4.0;

/// What is measured of the classes of requests. Both slices are by class.
#[derive(Clone, Copy, Debug)]
pub(super) struct ClassMeasurements<'a> {
    /// Usual latency in nanoseconds.
    pub(super) usual: &'a [f64],
    /// Answers behind it.
    pub(super) answers: &'a [f64],
}

/// Usual latency of each class of requests, over all members.
#[derive(Clone, Debug)]
pub(super) struct ClassLatency {
    /// EWMA of the latency in nanoseconds, by class.
    usual: Vec<f64>,
    /// Answers behind it, by class.
    answers: Vec<f64>,
}

impl ClassLatency {
    /// First guesses for these classes.
    pub(super) fn new(classes: &[RequestClass]) -> Self {
        let usual: Vec<f64> = classes.iter().map(initial_latency).collect();
        ClassLatency {
            answers: vec![0.0; usual.len()],
            usual,
        }
    }

    /// Usual latency of a class in nanoseconds.
    pub(super) fn usual(&self, class: usize) -> f64 {
        self.usual[class]
    }

    /// What is measured of all classes.
    pub(super) fn measurements(&self) -> ClassMeasurements<'_> {
        ClassMeasurements {
            usual: &self.usual,
            answers: &self.answers,
        }
    }

    /// Takes the latency of an answer.
    pub(super) fn record(&mut self, class: usize, elapsed: TimeDelta) {
        self.answers[class] += 1.0;
        let weight = FLEET_SAMPLE_WEIGHT.max(1.0 / (1.0 + self.answers[class]));
        self.usual[class] += weight * (elapsed.as_nanos_f64() - self.usual[class]);
    }

    /// The usual latency up to which a class counts as short.
    pub(super) fn short_class_limit(&self) -> f64 {
        LONG_CLASS_MULTIPLE * self.usual.iter().copied().fold(f64::INFINITY, f64::min)
    }

    /// This multiple of the shortest class's usual latency.
    pub(super) fn multiple_of_shortest(&self, multiple: f64) -> f64 {
        multiple * self.short_class_limit() / LONG_CLASS_MULTIPLE
    }

    /// The settings have changed. Each new class goes on from the measurements of the class that
    /// `measurements_from` names, or from a first guess.
    pub(super) fn change_classes(
        &mut self,
        classes: &[RequestClass],
        measurements_from: &[Option<usize>],
    ) {
        self.usual = carry_over(&self.usual, measurements_from, |class| {
            initial_latency(&classes[class])
        });
        self.answers = carry_over(&self.answers, measurements_from, |_| 0.0);
    }

    /// Takes another router's measurements of those classes for which more answers are behind them.
    pub(super) fn merge(&mut self, theirs: ClassMeasurements) {
        let measurements = theirs.usual.iter().zip(theirs.answers);
        for (class, (&usual, &answers)) in measurements.enumerate() {
            let known = class < self.usual.len();
            if known && answers > self.answers[class] && usual.is_finite() && usual > 0.0 {
                self.usual[class] = usual;
                self.answers[class] = answers;
            }
        }
    }
}

/// The usual latency that is assumed for a class without answers.
fn initial_latency(class: &RequestClass) -> f64 {
    class.latency_objective.as_nanos_f64() * INITIAL_SHARE_OF_OBJECTIVE
}

/// Values by class, each from the class that it goes on from, or else an initial one.
fn carry_over(values: &[f64], from: &[Option<usize>], initial: impl Fn(usize) -> f64) -> Vec<f64> {
    let kept = |source: &Option<usize>| source.and_then(|class| values.get(class).copied());
    from.iter()
        .enumerate()
        .map(|(class, source)| kept(source).unwrap_or_else(|| initial(class)))
        .collect()
}

/// Smoothed latency of a member, as a multiple of the usual latency of each answer's class.
#[derive(Clone, Debug, Default)]
pub(super) struct MemberLatency {
    /// EWMA of the multiple; 1 is usual.
    pub(super) ratio: f64,
    /// Recent answers behind it.
    pub(super) answers: f64,
}

impl MemberLatency {
    /// A member of which no answer is known.
    pub(super) fn usual() -> Self {
        MemberLatency {
            ratio: 1.0,
            answers: 0.0,
        }
    }

    /// Takes an answer of a class with this usual latency. `weight` is what earlier observations
    /// still count.
    pub(super) fn record(&mut self, elapsed: TimeDelta, usual_latency: f64, weight: f64) {
        let sample = elapsed.as_nanos_f64() / usual_latency.max(1.0);
        let earlier = 1.0 + (self.ratio - 1.0) * weight.sqrt();
        self.ratio = SAMPLE_WEIGHT * sample + (1.0 - SAMPLE_WEIGHT) * earlier;
        self.answers = self.answers * weight + 1.0;
    }

    /// The multiple that is to be expected now: drawn to 1 by few answers, and by time.
    pub(super) fn expected(&self, weight: f64) -> f64 {
        let answers = self.answers * weight;
        1.0 + (self.ratio - 1.0) * weight.sqrt() * answers / (answers + PRIOR_ANSWERS)
    }
}
