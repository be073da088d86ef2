//! Smoothed latencies (EWMA): of each class of requests, and of each member in relation to the
//! classes.

use super::settings::RequestClass;
use super::time::TimeDelta;

/// Weight of a new sample in the EWMA of one member.
pub(super) const SAMPLE_WEIGHT: f64 = 0.2;
/// Minimum weight of a new sample in an EWMA over all members, which gets many more samples than
/// that of one member.
pub(super) const FLEET_SAMPLE_WEIGHT: f64 = 0.05;
/// Usual latency assumed for a class that has had no answer yet, as a share of its latency
/// objective.
const INITIAL_SHARE_OF_OBJECTIVE: f64 = 0.25;
/// Number of answers at which a member's average has half of its full effect. In a large fleet a
/// single answer is weak evidence about a member.
const PRIOR_ANSWERS: f64 = 2.0;
/// A class is long if its usual latency is above this multiple of the shortest class's usual
/// latency.
const LONG_CLASS_MULTIPLE: f64 = 4.0;

/// Measurements of the classes of requests. Both slices are indexed by class.
#[derive(Clone, Copy, Debug)]
pub(super) struct ClassMeasurements<'a> {
    /// Usual latency in nanoseconds.
    pub(super) usual: &'a [f64],
    /// Number of answers that the latency is based on.
    pub(super) answers: &'a [f64],
}

/// Usual latency of each class of requests, over all members.
#[derive(Clone, Debug)]
pub(super) struct ClassLatency {
    /// EWMA of the latency in nanoseconds, by class.
    usual: Vec<f64>,
    /// Number of answers that the latency is based on, by class.
    answers: Vec<f64>,
}

impl ClassLatency {
    /// Creates the initial estimates for these classes.
    pub(super) fn new(classes: &[RequestClass]) -> Self {
        let usual: Vec<f64> = classes.iter().map(initial_latency).collect();
        ClassLatency {
            answers: vec![0.0; usual.len()],
            usual,
        }
    }

    /// Returns the usual latency of a class in nanoseconds.
    pub(super) fn usual(&self, class: usize) -> f64 {
        self.usual[class]
    }

    /// Returns the measurements of all classes.
    pub(super) fn measurements(&self) -> ClassMeasurements<'_> {
        ClassMeasurements {
            usual: &self.usual,
            answers: &self.answers,
        }
    }

    /// Records the latency of an answer.
    pub(super) fn record(&mut self, class: usize, elapsed: TimeDelta) {
        self.answers[class] += 1.0;
        let weight = FLEET_SAMPLE_WEIGHT.max(1.0 / (1.0 + self.answers[class]));
        self.usual[class] += weight * (elapsed.as_nanos_f64() - self.usual[class]);
    }

    /// Returns the usual latency in nanoseconds up to which a class counts as short.
    pub(super) fn short_class_limit(&self) -> f64 {
        LONG_CLASS_MULTIPLE * self.usual.iter().copied().fold(f64::INFINITY, f64::min)
    }

    /// Returns a multiple of the shortest class's usual latency, in nanoseconds.
    pub(super) fn multiple_of_shortest(&self, multiple: f64) -> f64 {
        multiple * self.short_class_limit() / LONG_CLASS_MULTIPLE
    }

    /// Adopts the classes of new settings. Each new class takes over the measurements of the old
    /// class that `measurements_from` gives, or starts from the initial estimate.
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

    /// Adopts another router's measurements of the classes for which it has had more answers.
    pub(super) fn merge(&mut self, other: ClassMeasurements) {
        let measurements = other.usual.iter().zip(other.answers);
        for (class, (&usual, &answers)) in measurements.enumerate() {
            let known = class < self.usual.len();
            if known && answers > self.answers[class] && usual.is_finite() && usual > 0.0 {
                self.usual[class] = usual;
                self.answers[class] = answers;
            }
        }
    }
}

/// Returns the usual latency that is assumed for a class without answers.
fn initial_latency(class: &RequestClass) -> f64 {
    class.latency_objective.as_nanos_f64() * INITIAL_SHARE_OF_OBJECTIVE
}

/// Returns values by new class: each is the value of the old class that it takes over, or else an
/// initial one.
fn carry_over(values: &[f64], from: &[Option<usize>], initial: impl Fn(usize) -> f64) -> Vec<f64> {
    let carried = |source: &Option<usize>| source.and_then(|class| values.get(class).copied());
    from.iter()
        .enumerate()
        .map(|(class, source)| carried(source).unwrap_or_else(|| initial(class)))
        .collect()
}

/// Smoothed latency of a member, as a multiple of the usual latency of each answer's class.
#[derive(Clone, Debug, Default)]
pub(super) struct MemberLatency {
    /// EWMA of the multiple; 1 is the usual latency.
    pub(super) ratio: f64,
    /// Number of recent answers that the ratio is based on; earlier ones count less.
    pub(super) answers: f64,
}

impl MemberLatency {
    /// Creates the state of a member without any answers.
    pub(super) fn initial() -> Self {
        MemberLatency {
            ratio: 1.0,
            answers: 0.0,
        }
    }

    /// Records an answer to a request of a class with this usual latency. `weight` is the remaining
    /// weight of earlier observations, 0 to 1.
    pub(super) fn record(&mut self, elapsed: TimeDelta, usual_latency: f64, weight: f64) {
        let sample = elapsed.as_nanos_f64() / usual_latency.max(1.0);
        let earlier = 1.0 + (self.ratio - 1.0) * weight.sqrt();
        self.ratio = SAMPLE_WEIGHT * sample + (1.0 - SAMPLE_WEIGHT) * earlier;
        self.answers = self.answers * weight + 1.0;
    }

    /// Returns the expected multiple. It is closer to 1 the fewer answers it is based on and the
    /// older they are.
    pub(super) fn expected(&self, weight: f64) -> f64 {
        let answers = self.answers * weight;
        1.0 + (self.ratio - 1.0) * weight.sqrt() * answers / (answers + PRIOR_ANSWERS)
    }
}
