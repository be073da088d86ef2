//! Random numbers: one seed, one stream for each concern, so that what one concern draws does not shift another's.
//! Paired runs of two settings then see the same arrivals and the same faults.

use crate::Ns;
use rand::{RngExt, SeedableRng};
use rand_distr::{Distribution, Exp1, LogNormal, Poisson};
use rand_pcg::Pcg64Mcg;

/// What a stream of random numbers is for.
#[derive(Clone, Copy, Debug)]
pub enum Stream {
    /// What the day is drawn from: speeds, delays, sizes.
    Day = 1,
    /// Which requests come, and when.
    Arrivals = 2,
    /// What clients do after an answer.
    Clients = 3,
    /// Elections, hand-overs, errors of hosts.
    Fleet = 4,
    /// Which hosts and gateways a fault strikes.
    Faults = 5,
    /// Times on the network, lost datagrams.
    Network = 6,
    /// When the list is told.
    EndpointList = 7,
    /// Seeds of the gateways.
    Gateways = 8,
}

/// A seeded source of random numbers.
#[derive(Clone, Debug)]
pub struct Rng(Pcg64Mcg);

impl Rng {
    /// The stream of a seed for one concern.
    pub fn new(seed: u64, stream: Stream) -> Self {
        // Neighbouring seeds must not give neighbouring streams (the finaliser of SplitMix64).
        let mut z = seed.wrapping_add((stream as u64).wrapping_mul(0x9e37_79b9_7f4a_7c15));
        z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        Rng(Pcg64Mcg::seed_from_u64(z ^ (z >> 31)))
    }

    /// Evenly from 0 to 1, 1 left out.
    pub fn unit(&mut self) -> f64 {
        self.0.random::<f64>()
    }

    /// Any number.
    pub fn number(&mut self) -> u64 {
        self.0.random::<u64>()
    }

    /// Evenly between two values; the first where they are in the wrong order.
    pub fn between(&mut self, low: f64, high: f64) -> f64 {
        low + self.unit() * (high - low).max(0.0)
    }

    /// True with this probability.
    pub fn chance(&mut self, p: f64) -> bool {
        self.unit() < p
    }

    /// A place in a list of this length; 0 in an empty one.
    pub fn index(&mut self, length: usize) -> usize {
        ((self.unit() * length as f64) as usize).min(length.saturating_sub(1))
    }

    /// A length of time with this mean, exponentially distributed.
    pub fn exponential(&mut self, mean: Ns) -> Ns {
        let x: f64 = Exp1.sample(&mut self.0);
        (x * mean as f64).round() as Ns
    }

    /// A value of this mean and coefficient of variation, log-normally distributed.
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

    /// A count of this mean, Poisson distributed.
    pub fn poisson(&mut self, mean: f64) -> u32 {
        match Poisson::new(mean) {
            Ok(d) if mean > 0.0 => d.sample(&mut self.0) as u32,
            _ => 0,
        }
    }

    /// So many different places out of so many, in order.
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
