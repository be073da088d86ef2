//! Random numbers: each purpose has its own stream, derived from the seed, so that the draws for one purpose do not
//! affect those for another. Two runs with one seed and different settings thus see the same arrivals and faults.

use crate::Ns;
use rand::{RngExt, SeedableRng};
use rand_distr::{Distribution, Exp1, LogNormal, Poisson};
use rand_pcg::Pcg64Mcg;

/// Purpose of a stream of random numbers.
#[derive(Clone, Copy, Debug)]
pub enum Stream {
    /// Values of the day: speeds, delays and sizes.
    Day = 1,
    /// Arrivals of requests.
    Arrivals = 2,
    /// Retries of clients.
    Clients = 3,
    /// Elections, hand-overs and errors of hosts.
    Fleet = 4,
    /// Times of faults, and the hosts and gateways that they affect.
    Faults = 5,
    /// Network delays and lost datagrams.
    Network = 6,
    /// Delays of endpoint-list notifications.
    EndpointList = 7,
    /// Seeds for the gateways.
    Gateways = 8,
}

/// A seeded source of random numbers.
#[derive(Clone, Debug)]
pub struct Rng(Pcg64Mcg);

impl Rng {
    /// Creates the stream for one purpose from a seed.
    pub fn new(seed: u64, stream: Stream) -> Self {
        // Hashed with the finaliser of SplitMix64, so that adjacent seeds do not give correlated streams.
        let mut z = seed.wrapping_add((stream as u64).wrapping_mul(0x9e37_79b9_7f4a_7c15));
        z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        Rng(Pcg64Mcg::seed_from_u64(z ^ (z >> 31)))
    }

    /// Returns a value distributed uniformly in [0, 1).
    pub fn unit(&mut self) -> f64 {
        self.0.random::<f64>()
    }

    /// Returns a uniformly distributed 64-bit number.
    pub fn number(&mut self) -> u64 {
        self.0.random::<u64>()
    }

    /// Returns a value distributed uniformly between two values, or `low` if `high` is smaller.
    pub fn between(&mut self, low: f64, high: f64) -> f64 {
        low + self.unit() * (high - low).max(0.0)
    }

    /// Returns true with probability `p`.
    pub fn chance(&mut self, p: f64) -> bool {
        self.unit() < p
    }

    /// Returns an index into a list of this length; 0 for an empty list.
    pub fn index(&mut self, length: usize) -> usize {
        ((self.unit() * length as f64) as usize).min(length.saturating_sub(1))
    }

    /// Returns an exponentially distributed duration with this mean.
    pub fn exponential(&mut self, mean: Ns) -> Ns {
        let x: f64 = Exp1.sample(&mut self.0);
        (x * mean as f64).round() as Ns
    }

    /// Returns a log-normally distributed value with this mean and coefficient of variation.
    pub fn log_normal(&mut self, mean: f64, variation: f64) -> f64 {
        if variation <= 0.0 || mean <= 0.0 {
            return mean.max(0.0);
        }
        let sigma2 = (1.0 + variation * variation).ln();
        match LogNormal::new(mean.ln() - sigma2 / 2.0, sigma2.sqrt()) {
            Ok(d) => d.sample(&mut self.0),
            Err(_) => mean,
        }
    }

    /// Returns a Poisson-distributed count with this mean.
    pub fn poisson(&mut self, mean: f64) -> u32 {
        match Poisson::new(mean) {
            Ok(d) if mean > 0.0 => d.sample(&mut self.0) as u32,
            _ => 0,
        }
    }

    /// Returns `count` distinct indices below `of`, in ascending order; all of them if `count` is larger.
    pub fn choose(&mut self, count: usize, of: usize) -> Vec<usize> {
        let mut places: Vec<usize> = (0..of).collect();
        for i in 0..count.min(of) {
            let j = i + self.index(of - i);
            places.swap(i, j);
        }
        places.truncate(count.min(of));
        places.sort_unstable();
        places
    }
}
