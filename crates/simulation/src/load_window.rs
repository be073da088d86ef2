//! The load of a host over a sliding window of a few seconds, and its peaks.

use crate::Ns;
use std::collections::VecDeque;

/// The work that arrived within a sliding window, relative to the capacity of the host.
#[derive(Clone, Debug)]
pub struct LoadWindow {
    length: Ns,
    buckets: VecDeque<(Ns, f64)>,
    sum: f64,
    /// Highest load so far, as a multiple of the capacity.
    pub peak: f64,
    /// Highest load while the host was cold, as a multiple of the capacity.
    pub cold_peak: f64,
}

/// Number of buckets of a window. The start of the window is accurate to a sixtieth of its length.
const BUCKETS: Ns = 60;

impl LoadWindow {
    /// Creates an empty window of this length.
    pub fn new(length: Ns) -> Self {
        LoadWindow {
            length,
            buckets: VecDeque::new(),
            sum: 0.0,
            peak: 0.0,
            cold_peak: 0.0,
        }
    }

    /// Adds work that arrives and returns the load of the window, as a multiple of the current capacity.
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

    /// Removes all work from the window; the peaks stay.
    pub fn clear(&mut self) {
        self.buckets.clear();
        self.sum = 0.0;
    }
}
