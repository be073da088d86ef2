//! What overloads the gateways of a soak: floods, crowds of clients that stop in the middle of a request, and a part of a
//! processor core.

use crate::flood::FloodKind;
use irisrouter_simulation::rng::{Rng, Stream};
use serde::Serialize;
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// Shares of a processor core that gateways have.
const CORE_SHARES: [f64; 4] = [1.0, 1.0, 1.0, 0.5];
/// Share of the runs with a flood, and of those with a crowd of slow clients.
const FLOOD_SHARE: f64 = 0.5;
const SLOW_CROWD_SHARE: f64 = 0.3;
/// Times at which floods and crowds begin, in milliseconds since the clients have begun.
const BEGIN_MS: (f64, f64) = (300.0, 4_000.0);
/// Durations of floods, in milliseconds.
const FLOOD_MS: (f64, f64) = (300.0, 3_000.0);
/// Maximum number of flooding clients.
const MAX_FLOODERS: usize = 3;
/// Maximum number of clients in a crowd that stop in the middle of a request.
const MAX_SLOW_CLIENTS: usize = 150;
/// Number of bytes of a request that such a client writes, and the length that it announces.
const WRITTEN_BYTES: usize = 50_000;
const ANNOUNCED_BYTES: u32 = 100_000;
/// Longest wait for a write of such a client.
const WRITE_TIMEOUT: Duration = Duration::from_millis(200);
/// The startup message of user `web` and database `orders`.
const STARTUP: &[u8] = b"\0\0\0\x22\0\x03\0\0user\0web\0database\0orders\0\0";

/// A flood against one gateway.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub struct SoakFlood {
    /// When it begins, in milliseconds since the clients have begun.
    pub at_ms: u64,
    /// How long it lasts, in milliseconds.
    pub ms: u64,
    /// The gateway.
    pub gateway: usize,
    /// What the clients send.
    pub kind: FloodKind,
    /// Number of clients.
    pub clients: usize,
    /// Whether they read their answers.
    pub reads_answers: bool,
}

/// Clients that stop in the middle of a large request and stay.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub struct SlowCrowd {
    /// When they connect, in milliseconds since the clients have begun.
    pub at_ms: u64,
    /// The gateway.
    pub gateway: usize,
    /// Number of clients.
    pub clients: usize,
}

/// Everything that overloads the gateways of a run.
#[derive(Debug, Clone, Serialize)]
pub struct Overload {
    /// Share of a processor core that each gateway has.
    pub core_share: f64,
    /// The flood, if there is one.
    pub flood: Option<SoakFlood>,
    /// The crowd of slow clients, if there is one.
    pub slow_crowd: Option<SlowCrowd>,
}

impl Overload {
    /// Draws the overload of a seed for a run with this many gateways.
    #[must_use]
    pub fn draw(seed: u64, gateways: usize) -> Self {
        let mut rng = Rng::new(seed, Stream::Clients);
        let core_share = CORE_SHARES[rng.index(CORE_SHARES.len())];
        let has_flood = rng.chance(FLOOD_SHARE);
        let flood = SoakFlood {
            at_ms: rng.between(BEGIN_MS.0, BEGIN_MS.1) as u64,
            ms: rng.between(FLOOD_MS.0, FLOOD_MS.1) as u64,
            gateway: rng.index(gateways),
            kind: FloodKind::ALL[rng.index(FloodKind::ALL.len())],
            clients: 1 + rng.index(MAX_FLOODERS),
            reads_answers: rng.chance(0.7),
        };
        let has_slow_crowd = rng.chance(SLOW_CROWD_SHARE);
        let slow_crowd = SlowCrowd {
            at_ms: rng.between(BEGIN_MS.0, BEGIN_MS.1) as u64,
            gateway: rng.index(gateways),
            clients: 1 + rng.index(MAX_SLOW_CLIENTS),
        };
        Overload {
            core_share,
            flood: has_flood.then_some(flood),
            slow_crowd: has_slow_crowd.then_some(slow_crowd),
        }
    }
}

/// Connects a client that writes a part of a large request; `None` if the gateway cannot be reached.
pub(super) fn connect_slow_client(address: SocketAddr) -> Option<TcpStream> {
    let mut stream = TcpStream::connect(address).ok()?;
    stream.set_write_timeout(Some(WRITE_TIMEOUT)).ok()?;
    stream.write_all(STARTUP).ok()?;
    let header = [&b"Q"[..], &ANNOUNCED_BYTES.to_be_bytes()].concat();
    stream.write_all(&header).ok()?;
    stream.write_all(&vec![b'0'; WRITTEN_BYTES]).ok()?;
    Some(stream)
}
