//! The faults of a schedule and their random generation.

use super::Pace;
use irisrouter_simulation::rng::{Rng, Stream};
use serde::Serialize;

/// One fault; `ms` is its duration in milliseconds. Messages of a failed schedule print its `Debug` form.
#[derive(Debug, Clone, PartialEq, Serialize)]
#[serde(rename_all = "snake_case", tag = "fault")]
pub enum Fault {
    /// A gateway is killed (SIGKILL) and later started again.
    Crash {
        /// The gateway.
        gateway: usize,
        /// Detection bound at the time of drawing. It is only printed: the gateway is started again when all others
        /// have declared it down, or the bound has passed.
        ms: u64,
    },
    /// A gateway is stopped (SIGSTOP) and continued (SIGCONT) soon enough that it must not be declared down.
    Stall {
        /// The gateway.
        gateway: usize,
        /// Duration of the stop, in milliseconds.
        ms: u64,
    },
    /// Datagrams from one gateway to another are dropped, but not those in the other direction.
    OneWay {
        /// The sender.
        from: usize,
        /// The receiver.
        to: usize,
        /// Duration of the fault, in milliseconds.
        ms: u64,
    },
    /// The fleet is split into two sides.
    Partition {
        /// The gateways of one side; all others are on the other side.
        left: Vec<usize>,
        /// Detection bound at the time of drawing. It is only printed: the partition lasts until both sides have
        /// declared each other down, or the bound has passed.
        ms: u64,
    },
    /// A share of all datagrams is dropped.
    Loss {
        /// Probability with which a datagram is dropped, in percent.
        percent: u32,
        /// Duration of the fault, in milliseconds.
        ms: u64,
    },
    /// All datagrams are delayed.
    Delay {
        /// Delay of each datagram, in milliseconds.
        by_ms: u64,
        /// Duration of the fault, in milliseconds.
        ms: u64,
    },
}

/// The kinds of faults that a schedule may contain.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FaultKinds {
    /// Faults of every kind.
    All,
    /// Only crashes.
    CrashesOnly,
}

/// Duration of a loss of datagrams, in milliseconds.
const LOSS_MS: u64 = 8_000;
/// Duration of a delay of datagrams, in milliseconds.
const DELAY_MS: u64 = 4_000;
/// Number of kinds of faults.
const KINDS: usize = 6;

/// Draws a sequence of `count` faults for a fleet of `gateways` gateways.
#[must_use]
pub fn draw(gateways: usize, count: usize, pace: Pace, seed: u64, kinds: FaultKinds) -> Vec<Fault> {
    let mut rng = Rng::new(seed, Stream::Faults);
    let detection_ms = pace.settings(gateways).detection_bound().0;
    (0..count)
        .map(|_| {
            let kind = match kinds {
                FaultKinds::All => rng.index(KINDS),
                FaultKinds::CrashesOnly => 0,
            };
            match kind {
                0 => Fault::Crash {
                    gateway: rng.index(gateways),
                    ms: detection_ms,
                },
                1 => draw_stall(&mut rng, gateways, pace),
                2 => draw_one_way(&mut rng, gateways, detection_ms),
                3 => {
                    let size = 1 + rng.index(gateways - 1);
                    Fault::Partition {
                        left: rng.choose(size, gateways),
                        ms: detection_ms,
                    }
                }
                4 => Fault::Loss {
                    percent: 10 + rng.index(21) as u32,
                    ms: LOSS_MS,
                },
                _ => Fault::Delay {
                    by_ms: 1 + rng.index(20) as u64,
                    ms: DELAY_MS,
                },
            }
        })
        .collect()
}

/// Draws a stall short enough to be survived. Its duration is drawn before its gateway; another order would change the
/// schedules of all seeds.
fn draw_stall(rng: &mut Rng, gateways: usize, pace: Pace) -> Fault {
    let ms = rng.between(0.3, 0.8) * pace.stall_ms as f64;
    Fault::Stall {
        gateway: rng.index(gateways),
        ms: ms as u64,
    }
}

fn draw_one_way(rng: &mut Rng, gateways: usize, ms: u64) -> Fault {
    let pair = rng.choose(2, gateways);
    let (from, to) = if rng.chance(0.5) {
        (pair[0], pair[1])
    } else {
        (pair[1], pair[0])
    };
    Fault::OneWay { from, to, ms }
}
