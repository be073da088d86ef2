//! A host's cores, shared evenly by the jobs in work (processor sharing), with a capacity that ramps after a start.
//!
//! Exact, and cheap at any number of jobs: instead of each job's remaining work it keeps the service that a job
//! present all along would have attained, and each job ends when that has grown by its work. While no job comes or
//! goes the growth has a closed form, also along the ramp, so that nothing is stepped.

use crate::Ns;
use std::cmp::{Ordering, Reverse};
use std::collections::BinaryHeap;

/// Jobs whose end is this close, in nanoseconds of work, have ended: times are whole nanoseconds, service is not.
const FINISH_TOLERANCE: f64 = 0.75;

/// A capacity that rises evenly from a part of the whole to the whole.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Ramp {
    /// When it begins.
    pub start: Ns,
    /// The part with which it begins.
    pub from: f64,
    /// How long it takes.
    pub length: Ns,
}

impl Ramp {
    /// Warm since long ago.
    pub fn warm() -> Self {
        Ramp {
            start: 0,
            from: 1.0,
            length: 0,
        }
    }

    /// The part at a time.
    pub fn at(&self, t: Ns) -> f64 {
        if t >= self.end() {
            return 1.0;
        }
        let gone = (t - self.start).max(0) as f64 / self.length.max(1) as f64;
        self.from + (1.0 - self.from) * gone
    }

    /// When it is over.
    pub fn end(&self) -> Ns {
        self.start + self.length
    }

    /// Rise of the part in a nanosecond.
    fn slope(&self) -> f64 {
        (1.0 - self.from) / self.length.max(1) as f64
    }

    /// The time at which the part is this much, within the ramp.
    fn when(&self, part: f64) -> f64 {
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
    at: Ns,
    service: f64,
    cores: f64,
    /// Efficiency over slowness: what a core does in a nanosecond.
    pace: f64,
    ramp: Ramp,
    frozen: bool,
    jobs: BinaryHeap<Reverse<Finish>>,
    order: u64,
    /// Core time used, in nanoseconds of work.
    used: f64,
}

impl Cpu {
    /// Idle and warm.
    pub fn new(cores: f64, now: Ns) -> Self {
        Cpu {
            at: now,
            service: 0.0,
            cores,
            pace: 1.0,
            ramp: Ramp::warm(),
            frozen: false,
            jobs: BinaryHeap::new(),
            order: 0,
            used: 0.0,
        }
    }

    /// Jobs in work.
    pub fn busy(&self) -> usize {
        self.jobs.len()
    }

    /// What it can do at a time, in cores.
    pub fn capacity(&self, now: Ns) -> f64 {
        self.cores * self.ramp.at(now) * self.pace
    }

    /// Work done so far, in nanoseconds on a core.
    pub fn used(&self) -> f64 {
        self.used
    }

    /// The ramp that it is on.
    pub fn ramp(&self) -> Ramp {
        self.ramp
    }

    /// Changes what it can do, from now on.
    pub fn set_capacity(&mut self, now: Ns, cores: f64, pace: f64) {
        self.advance(now);
        self.cores = cores.max(0.01);
        self.pace = pace.max(0.001);
    }

    /// Begins a ramp.
    pub fn start_ramp(&mut self, now: Ns, ramp: Ramp) {
        self.advance(now);
        self.ramp = ramp;
    }

    /// Stops and goes on: what is in work stays there.
    pub fn freeze(&mut self, now: Ns, frozen: bool) {
        self.advance(now);
        self.frozen = frozen;
    }

    /// All jobs are lost.
    pub fn clear(&mut self, now: Ns) {
        self.advance(now);
        self.jobs.clear();
    }

    /// A job comes.
    pub fn add(&mut self, now: Ns, work: Ns, job: u64) {
        self.advance(now);
        self.order += 1;
        let service = self.service + work.max(1) as f64;
        self.jobs.push(Reverse(Finish {
            service,
            order: self.order,
            job,
        }));
    }

    /// When the next job ends if none comes, goes or changes before.
    pub fn next_finish(&self) -> Option<Ns> {
        let Reverse(first) = self.jobs.peek()?;
        if self.frozen {
            return None;
        }
        let left = first.service - self.service;
        Some(self.at + self.time_for(left.max(0.0)).ceil().max(0.0) as Ns)
    }

    /// The next job that has ended by now.
    pub fn pop_finished(&mut self, now: Ns) -> Option<u64> {
        self.advance(now);
        let Reverse(first) = self.jobs.peek()?;
        if first.service > self.service + FINISH_TOLERANCE {
            return None;
        }
        self.jobs.pop().map(|Reverse(f)| f.job)
    }

    /// The service that a job present all along would have had, in nanoseconds of work.
    pub fn attained_service(&self) -> f64 {
        self.service
    }

    /// Brings the service forward to `now`; earlier times change nothing.
    pub fn advance(&mut self, now: Ns) {
        if now > self.at {
            if !self.frozen && !self.jobs.is_empty() {
                let gained = self.gain((now - self.at) as f64);
                self.service += gained;
                self.used += gained * self.jobs.len() as f64;
            }
            self.at = now;
        }
    }

    /// A job runs at the pace of a core, or of its part of all of them where they are fewer than the jobs: this many
    /// cores for each job, once warm.
    fn cores_per_job(&self) -> f64 {
        self.cores / self.jobs.len().max(1) as f64
    }

    /// Until when, from the time reached, a job's part still grows: to the end of the ramp, or to a whole core.
    fn growth_time(&self) -> f64 {
        let at = self.at as f64;
        let part = self.cores_per_job();
        if self.at >= self.ramp.end() || part * self.ramp.at(self.at) >= 1.0 {
            return 0.0;
        }
        let whole = if part > 1.0 {
            self.ramp.when(1.0 / part)
        } else {
            f64::INFINITY
        };
        (whole.min(self.ramp.end() as f64) - at).max(0.0)
    }

    fn gain(&self, time: f64) -> f64 {
        let grows = self.growth_time().min(time);
        let rate = self.cores_per_job() * self.ramp.at(self.at);
        let rise = self.cores_per_job() * self.ramp.slope();
        let first = if grows > 0.0 {
            rate * grows + rise * grows * grows / 2.0
        } else {
            0.0
        };
        let then = self.settled_rate();
        (first + then * (time - grows).max(0.0)) * self.pace
    }

    /// The rate once it no longer grows.
    fn settled_rate(&self) -> f64 {
        let grew = self.growth_time();
        let end = self.at as f64 + grew;
        let part = if end >= self.ramp.end() as f64 {
            1.0
        } else {
            self.ramp.at(end as Ns)
        };
        (self.cores_per_job() * part).min(1.0)
    }

    fn time_for(&self, service: f64) -> f64 {
        let need = service / self.pace;
        let grows = self.growth_time();
        let rate = self.cores_per_job() * self.ramp.at(self.at);
        let rise = self.cores_per_job() * self.ramp.slope();
        let first = rate * grows + rise * grows * grows / 2.0;
        if grows > 0.0 && need <= first {
            // rise/2 x^2 + rate x = need, in the form that stays exact where the rise is next to nothing.
            return 2.0 * need / (rate + (rate * rate + 2.0 * rise * need).sqrt());
        }
        grows + (need - first) / self.settled_rate().max(1e-12)
    }
}
