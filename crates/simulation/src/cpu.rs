//! The cores of a host, shared evenly by the running jobs (processor sharing), with a capacity that ramps up after a
//! start.
//!
//! The model is exact, and its cost grows only logarithmically with the number of jobs. Instead of the remaining work
//! of each job, it tracks the attained service of a hypothetical job that has been present from the start; each job
//! finishes when that service has grown by the job's work. While the set of jobs does not change, the growth has a
//! closed form, also during the ramp, so that no time steps are needed.

use crate::Ns;
use std::cmp::{Ordering, Reverse};
use std::collections::BinaryHeap;

/// Remaining service, in nanoseconds of work, below which a job counts as finished: times are integers, service is not.
const FINISH_TOLERANCE: f64 = 0.75;

/// A capacity that rises linearly from a fraction of the full capacity to all of it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Ramp {
    /// Time at which the ramp begins.
    pub start: Ns,
    /// Fraction of the full capacity at the beginning.
    pub from: f64,
    /// Duration of the ramp.
    pub length: Ns,
}

impl Ramp {
    /// Returns a ramp that is over from the start: full capacity at all times.
    pub fn warm() -> Self {
        Ramp {
            start: 0,
            from: 1.0,
            length: 0,
        }
    }

    /// Returns the fraction of the full capacity at a time.
    pub fn at(&self, t: Ns) -> f64 {
        if t >= self.end() {
            return 1.0;
        }
        let elapsed_share = (t - self.start).max(0) as f64 / self.length.max(1) as f64;
        self.from + (1.0 - self.from) * elapsed_share
    }

    /// Returns the time at which the ramp reaches full capacity.
    pub fn end(&self) -> Ns {
        self.start + self.length
    }

    /// Returns the increase of the fraction per nanosecond.
    fn slope(&self) -> f64 {
        (1.0 - self.from) / self.length.max(1) as f64
    }

    /// Returns the time at which the ramp reaches a fraction.
    fn time_at(&self, part: f64) -> f64 {
        self.start as f64 + (part - self.from) / self.slope().max(f64::MIN_POSITIVE)
    }
}

#[derive(Clone, Copy, Debug, PartialEq)]
struct Finish {
    service: f64,
    order: u64,
    job: u64,
}

impl Eq for Finish {}

impl Ord for Finish {
    fn cmp(&self, other: &Self) -> Ordering {
        self.service
            .total_cmp(&other.service)
            .then(self.order.cmp(&other.order))
    }
}

impl PartialOrd for Finish {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

/// The cores of a host and the jobs that share them.
#[derive(Clone, Debug)]
pub struct Cpu {
    advanced_to: Ns,
    service: f64,
    cores: f64,
    /// Work that a core does per nanosecond: the efficiency divided by the slowdown.
    speed: f64,
    ramp: Ramp,
    frozen: bool,
    jobs: BinaryHeap<Reverse<Finish>>,
    last_order: u64,
    /// Work done so far, in nanoseconds on one core.
    used: f64,
}

impl Cpu {
    /// Creates cores that are idle and warm.
    pub fn new(cores: f64, now: Ns) -> Self {
        Cpu {
            advanced_to: now,
            service: 0.0,
            cores,
            speed: 1.0,
            ramp: Ramp::warm(),
            frozen: false,
            jobs: BinaryHeap::new(),
            last_order: 0,
            used: 0.0,
        }
    }

    /// Returns the number of running jobs.
    pub fn busy(&self) -> usize {
        self.jobs.len()
    }

    /// Returns the capacity at a time, in cores.
    pub fn capacity(&self, now: Ns) -> f64 {
        self.cores * self.ramp.at(now) * self.speed
    }

    /// Returns the work done so far, in nanoseconds on one core.
    pub fn used(&self) -> f64 {
        self.used
    }

    /// Returns the current ramp.
    pub fn ramp(&self) -> Ramp {
        self.ramp
    }

    /// Changes the number of cores and the work that each does per nanosecond, from `now` on.
    pub fn set_capacity(&mut self, now: Ns, cores: f64, speed: f64) {
        self.advance(now);
        self.cores = cores.max(0.01);
        self.speed = speed.max(0.001);
    }

    /// Replaces the ramp, from `now` on.
    pub fn start_ramp(&mut self, now: Ns, ramp: Ramp) {
        self.advance(now);
        self.ramp = ramp;
    }

    /// Suspends all jobs, or resumes them with the work that they have left.
    pub fn freeze(&mut self, now: Ns, frozen: bool) {
        self.advance(now);
        self.frozen = frozen;
    }

    /// Drops all jobs.
    pub fn clear(&mut self, now: Ns) {
        self.advance(now);
        self.jobs.clear();
    }

    /// Adds a job with this much work.
    pub fn add(&mut self, now: Ns, work: Ns, job: u64) {
        self.advance(now);
        self.last_order += 1;
        let service = self.service + work.max(1) as f64;
        self.jobs.push(Reverse(Finish {
            service,
            order: self.last_order,
            job,
        }));
    }

    /// Returns the time at which the next job finishes, provided that jobs and capacity do not change before.
    pub fn next_finish(&self) -> Option<Ns> {
        let Reverse(first) = self.jobs.peek()?;
        if self.frozen {
            return None;
        }
        let remaining = first.service - self.service;
        Some(self.advanced_to + self.time_to_attain(remaining.max(0.0)).ceil().max(0.0) as Ns)
    }

    /// Removes and returns the next job that has finished by `now`.
    pub fn pop_finished(&mut self, now: Ns) -> Option<u64> {
        self.advance(now);
        let Reverse(first) = self.jobs.peek()?;
        if first.service > self.service + FINISH_TOLERANCE {
            return None;
        }
        self.jobs.pop().map(|Reverse(f)| f.job)
    }

    /// Returns the service that a job present from the start would have attained, in nanoseconds of work.
    pub fn attained_service(&self) -> f64 {
        self.service
    }

    /// Advances the attained service to `now`; a time in the past has no effect.
    pub fn advance(&mut self, now: Ns) {
        if now > self.advanced_to {
            if !self.frozen && !self.jobs.is_empty() {
                let gained = self.service_gained((now - self.advanced_to) as f64);
                self.service += gained;
                self.used += gained * self.jobs.len() as f64;
            }
            self.advanced_to = now;
        }
    }

    /// Returns the number of cores per job once the host is warm. A job uses at most one core; the callers apply that
    /// limit.
    fn cores_per_job(&self) -> f64 {
        self.cores / self.jobs.len().max(1) as f64
    }

    /// Returns the time for which the share of a job still grows: until the end of the ramp, or until the share reaches
    /// a full core.
    fn growth_time(&self) -> f64 {
        let at = self.advanced_to as f64;
        let part = self.cores_per_job();
        if self.advanced_to >= self.ramp.end() || part * self.ramp.at(self.advanced_to) >= 1.0 {
            return 0.0;
        }
        let full_core_at = if part > 1.0 {
            self.ramp.time_at(1.0 / part)
        } else {
            f64::INFINITY
        };
        (full_core_at.min(self.ramp.end() as f64) - at).max(0.0)
    }

    fn service_gained(&self, time: f64) -> f64 {
        let growth_time = self.growth_time().min(time);
        let rate = self.cores_per_job() * self.ramp.at(self.advanced_to);
        let growth_rate = self.cores_per_job() * self.ramp.slope();
        let growth_service = if growth_time > 0.0 {
            rate * growth_time + growth_rate * growth_time * growth_time / 2.0
        } else {
            0.0
        };
        let settled_rate = self.settled_rate();
        (growth_service + settled_rate * (time - growth_time).max(0.0)) * self.speed
    }

    /// Returns the cores that a job has once its share no longer grows.
    fn settled_rate(&self) -> f64 {
        let growth_time = self.growth_time();
        let end = self.advanced_to as f64 + growth_time;
        let part = if end >= self.ramp.end() as f64 {
            1.0
        } else {
            self.ramp.at(end as Ns)
        };
        (self.cores_per_job() * part).min(1.0)
    }

    fn time_to_attain(&self, service: f64) -> f64 {
        let needed_service = service / self.speed;
        let growth_time = self.growth_time();
        let rate = self.cores_per_job() * self.ramp.at(self.advanced_to);
        let growth_rate = self.cores_per_job() * self.ramp.slope();
        let growth_service = rate * growth_time + growth_rate * growth_time * growth_time / 2.0;
        if growth_time > 0.0 && needed_service <= growth_service {
            // Solves growth_rate/2 x^2 + rate x = needed_service, in the form that is numerically stable for a
            // growth rate close to zero.
            return 2.0 * needed_service
                / (rate + (rate * rate + 2.0 * growth_rate * needed_service).sqrt());
        }
        growth_time + (needed_service - growth_service) / self.settled_rate().max(1e-12)
    }
}
