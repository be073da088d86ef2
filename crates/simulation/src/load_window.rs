//! The load of a host within the last few seconds, and its highest values.

use crate::Ns;
use std::collections::VecDeque;

/// The work that came within the last few seconds, against what the host can do.
#[derive(Clone, Debug)]
pub struct LoadWindow {
    length: Ns,
    buckets: VecDeque<(Ns, f64)>,
    sum: f64,
    /// The highest multiple so far.
    pub peak: f64,
    /// The highest multiple while the host was cold.
    pub cold_peak: f64,
}

/// A window is kept in so many buckets of time: its load is exact to a sixtieth of its length.
const BUCKETS: Ns = 60;

impl LoadWindow {
    /// An empty window of this length.
    pub fn new(length: Ns) -> Self {
        LoadWindow {
            length,
            buckets: VecDeque::new(),
            sum: 0.0,
            peak: 0.0,
            cold_peak: 0.0,
        }
    }

    /// Work arrives: what all of the window comes to, as a multiple of what the host can do now.
    pub fn add(&mut self, now: Ns, work: f64, capacity: f64, cold: bool) -> f64 {
        let step = (self.length / BUCKETS).max(1);
        let bucket = now / step * step;
        match self.buckets.back_mut() {
            Some(last) if last.0 == bucket => last.1 += work,
            _ => self.buckets.push_back((bucket, work)),
        }
        self.sum += work;
        while self
            .buckets
            .front()
            .is_some_and(|p| p.0 + self.length <= now)
        {
            self.sum -= self.buckets.pop_front().map_or(0.0, |p| p.1);
        }
        let load = self.sum / (capacity.max(1e-9) * self.length as f64);
        self.peak = self.peak.max(load);
        if cold {
            self.cold_peak = self.cold_peak.max(load);
        }
        load
    }

    /// Forgets the work that came so far; the peaks stay.
    pub fn clear(&mut self) {
        self.buckets.clear();
        self.sum = 0.0;
    }
}
