//! The gateway process: sockets, tasks and timers round the routing decisions, each module owning one concern.

pub mod admin;
pub mod buffers;
pub mod cluster;
pub mod config;
pub mod discovery;
pub mod downstream;
pub mod hot_restart;
pub mod lifecycle;
pub mod log;
pub mod metrics;
pub mod request;
pub mod router_task;
pub mod upstream;

pub use irisrouter_pg as pg;

use irisrouter::routing::Nanos;
use std::io::{self, Read};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// The one clock of the program: monotonic, anchored once to Unix time, in nanoseconds.
///
/// Positions and start times of database hosts are Unix times, so that the module can compare them with its
/// own clock; a system clock that is set meanwhile must not turn time back.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Instant,
    unix: Nanos,
}

impl Clock {
    /// Anchors the clock to the present.
    pub fn new() -> Self {
        let since = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        Clock {
            start: Instant::now(),
            unix: since.as_nanos() as Nanos,
        }
    }

    /// Nanoseconds of Unix time.
    pub fn now(&self) -> Nanos {
        self.unix + self.start.elapsed().as_nanos() as Nanos
    }
}

/// Reads what the system holds of a connection at this moment. Danger: the runtime knows only what it had been told when
/// it last waited; what has come since, an end included, would be closed over, or taken for silence.
pub fn read_now(stream: &tokio::net::TcpStream, into: &mut [u8]) -> io::Result<usize> {
    (&*socket2::SockRef::from(stream)).read(into)
}

/// A length of time of the module's clock; nothing for what has passed.
pub fn duration(ns: Nanos) -> Duration {
    Duration::from_nanos(ns.max(0) as u64)
}

/// The other way round.
pub fn nanoseconds(d: Duration) -> Nanos {
    Nanos::try_from(d.as_nanos()).unwrap_or(Nanos::MAX)
}

/// Unix time in milliseconds: all machines of the platform read one clock.
pub fn unix_milliseconds() -> u64 {
    let since = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
}
