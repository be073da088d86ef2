//! What a soak plays, drawn from a seed: the same seed gives the same plan.

use super::overload::Overload;
use crate::cluster::GatewayLimits;
use irisrouter_simulation::rng::{Rng, Stream};
use serde::Serialize;

/// When the faults begin, in milliseconds since the clients have begun.
const FAULTS_FROM_MS: u64 = 500;
/// When the first gateway is sent SIGTERM.
const TERMINATION_FROM_MS: u64 = 4_000;
/// Most gateways of a run.
const MAX_GATEWAYS: usize = 3;
/// Most groups of hosts of a run.
const MAX_GROUPS: usize = 3;
/// Largest value of a write, in bytes.
const MAX_VALUE_BYTES: f64 = 65_536.0;

/// Limits on memory, from one that a few large values use up to one that no clients of a run do.
const MEMORY_MB: [u64; 4] = [2, 4, 16, 64];
/// Limits on descriptors; the least allows some forty clients.
const SOCKETS: [u64; 3] = [120, 200, 512];

/// Groups that are listed and that no client uses: none, as many as in a usual fleet, and as in the largest.
const LISTED_SETS: [u64; 4] = [0, 0, 16, 266];

/// What a client does.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case", tag = "client")]
pub enum ClientBehavior {
    /// One request after the other.
    Sequential,
    /// Requests ahead of their answers.
    Pipelined {
        /// How many at most.
        depth: usize,
        /// The size of the values of its writes, in bytes.
        value_bytes: usize,
    },
    /// Requests ahead, each in pieces with pauses between them.
    SlowWriter {
        /// How many at most.
        depth: usize,
    },
    /// Requests ahead, and then it leaves without waiting.
    Leaver {
        /// How many.
        requests: usize,
        /// The size of the values of its writes, in bytes.
        value_bytes: usize,
        /// How long it waits before it leaves, in milliseconds.
        after_ms: u64,
    },
    /// A request and a part of another one; then it stays.
    HalfMessage,
    /// Requests with long rests between them, until the gateway ends the connection.
    Resting,
}

/// A fault, with the time at which it begins, in milliseconds since the clients have begun.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case", tag = "fault")]
pub enum SoakFault {
    /// A host stands still for all gateways: what is under way there goes on afterwards.
    HostHangs {
        /// Its index.
        host: usize,
        /// How long, in milliseconds.
        ms: u64,
    },
    /// The writes of a host take this time from now on.
    SlowWrites {
        /// Its index.
        host: usize,
        /// In milliseconds.
        ms: u64,
    },
    /// A host resets all its connections, several times.
    HostResets {
        /// Its index.
        host: usize,
        /// How often.
        count: usize,
        /// The time between two of them, in milliseconds.
        interval_ms: u64,
    },
    /// A replica is taken out of service by the list.
    Drain {
        /// Its index.
        host: usize,
    },
    /// A gateway reads new settings.
    Reload {
        /// The gateway.
        gateway: usize,
        /// The deadlines of all classes, in percent of what they are by default.
        deadline_percent: u64,
    },
    /// A gateway is sent signals in a row that must not disturb it.
    Signals {
        /// The gateway.
        gateway: usize,
        /// How many.
        count: usize,
    },
    /// A gateway's process stands still.
    Stall {
        /// The gateway.
        gateway: usize,
        /// How long, in milliseconds.
        ms: u64,
    },
    /// The list cannot be had.
    DiscoveryDown {
        /// The gateway.
        gateway: usize,
        /// How long, in milliseconds.
        ms: u64,
    },
    /// Clients connect and say nothing.
    Crowd {
        /// The gateway.
        gateway: usize,
        /// How many.
        connections: usize,
    },
}

/// A fault and its time.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct TimedFault {
    /// When it begins.
    pub at_ms: u64,
    /// What happens.
    #[serde(flatten)]
    pub fault: SoakFault,
}

/// How a gateway is ended: SIGTERM, and SIGKILL at the earliest time behind it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub struct Termination {
    /// When it is sent SIGTERM.
    pub at_ms: u64,
    /// It is sent SIGHUP right before.
    pub reload_before: bool,
    /// It is sent SIGTERM and SIGHUP again a little later.
    pub repeated: bool,
}

/// A whole run.
#[derive(Debug, Clone, Serialize)]
pub struct SoakPlan {
    /// The seed that it is drawn from.
    pub seed: u64,
    /// How many gateways.
    pub gateways: usize,
    /// How many groups of a primary and a replica.
    pub groups: usize,
    /// How many further groups are listed that no client uses, of twelve hosts each.
    pub listed_sets: u64,
    /// The deadlines of all classes at the start, in percent of what they are by default.
    pub deadline_percent: u64,
    /// The limits of each gateway.
    pub limits: GatewayLimits,
    /// The clients of each gateway.
    pub clients: Vec<Vec<ClientBehavior>>,
    /// The faults, in the order of their times.
    pub faults: Vec<TimedFault>,
    /// The end of each gateway.
    pub terminations: Vec<Termination>,
    /// What overloads the gateways.
    pub overload: Overload,
}

impl SoakPlan {
    /// Draws the plan of a seed.
    #[must_use]
    pub fn draw(seed: u64) -> Self {
        let mut rng = Rng::new(seed, Stream::Faults);
        let gateways = 1 + rng.index(MAX_GATEWAYS);
        let groups = 1 + rng.index(MAX_GROUPS);
        let deadline_percent = [10, 40, 100, 300][rng.index(4)];
        let limits = GatewayLimits {
            memory_mb: MEMORY_MB[rng.index(MEMORY_MB.len())],
            sockets: SOCKETS[rng.index(SOCKETS.len())],
        };
        let clients = (0..gateways).map(|_| draw_clients(&mut rng)).collect();
        let mut faults: Vec<TimedFault> = (0..3 + rng.index(5))
            .map(|_| draw_fault(&mut rng, gateways, groups))
            .collect();
        faults.sort_by_key(|fault| fault.at_ms);
        let mut at_ms = TERMINATION_FROM_MS;
        let terminations = (0..gateways).map(|_| {
            at_ms += (rng.unit() * 1_500.0) as u64;
            Termination {
                at_ms,
                reload_before: rng.chance(0.3),
                repeated: rng.chance(0.3),
            }
        });
        SoakPlan {
            seed,
            gateways,
            groups,
            listed_sets: draw_listed_sets(seed),
            deadline_percent,
            limits,
            clients,
            faults,
            terminations: terminations.collect(),
            overload: Overload::draw(seed, gateways),
        }
    }
}

/// Drawn apart from the rest of the plan.
fn draw_listed_sets(seed: u64) -> u64 {
    let mut rng = Rng::new(seed, Stream::EndpointList);
    LISTED_SETS[rng.index(LISTED_SETS.len())]
}

fn draw_clients(rng: &mut Rng) -> Vec<ClientBehavior> {
    (0..6 + rng.index(14)).map(|_| draw_client(rng)).collect()
}

fn draw_client(rng: &mut Rng) -> ClientBehavior {
    let value_bytes = |rng: &mut Rng| match rng.index(3) {
        0 => 10,
        1 => rng.between(1_000.0, MAX_VALUE_BYTES) as usize,
        _ => MAX_VALUE_BYTES as usize,
    };
    match rng.index(9) {
        0 | 1 => ClientBehavior::Sequential,
        2..=4 => ClientBehavior::Pipelined {
            depth: 2 + rng.index(14),
            value_bytes: value_bytes(rng),
        },
        5 => ClientBehavior::SlowWriter {
            depth: 1 + rng.index(4),
        },
        6 => ClientBehavior::Leaver {
            requests: 1 + rng.index(24),
            value_bytes: value_bytes(rng),
            after_ms: rng.between(1.0, 400.0) as u64,
        },
        7 => ClientBehavior::HalfMessage,
        _ => ClientBehavior::Resting,
    }
}

fn draw_fault(rng: &mut Rng, gateways: usize, groups: usize) -> TimedFault {
    let at_ms = rng.between(FAULTS_FROM_MS as f64, TERMINATION_FROM_MS as f64 + 500.0) as u64;
    let gateway = rng.index(gateways);
    let host = rng.index(2 * groups);
    let fault = match rng.index(12) {
        // Hosts that hang are drawn most: it is then that much is owed.
        0..=2 => SoakFault::HostHangs {
            host,
            ms: rng.between(300.0, 5_000.0) as u64,
        },
        3 => SoakFault::SlowWrites {
            host,
            ms: rng.between(20.0, 600.0) as u64,
        },
        // Replicas have odd indexes.
        4 => SoakFault::Drain { host: host | 1 },
        5 => SoakFault::Reload {
            gateway,
            deadline_percent: [10, 40, 100, 300][rng.index(4)],
        },
        6 => SoakFault::Signals {
            gateway,
            count: 2 + rng.index(5),
        },
        7 => SoakFault::Stall {
            gateway,
            ms: rng.between(20.0, 150.0) as u64,
        },
        8 => SoakFault::DiscoveryDown {
            gateway,
            ms: rng.between(500.0, 4_000.0) as u64,
        },
        9 | 10 => SoakFault::HostResets {
            host,
            count: 1 + rng.index(6),
            interval_ms: rng.between(20.0, 300.0) as u64,
        },
        _ => SoakFault::Crowd {
            gateway,
            connections: 20 + rng.index(180),
        },
    };
    TimedFault { at_ms, fault }
}
