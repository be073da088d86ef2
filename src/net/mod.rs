//! The gateway process: the sockets, tasks and timers that carry out the routing decisions. Each module owns one concern.

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

use irisrouter::routing::{TimeDelta, Timestamp};
use std::io::{self, Read};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// The one clock of the program: monotonic, anchored once to Unix time, in nanoseconds.
///
/// Positions and start times of database hosts are Unix times, so that the router can compare them with its own clock;
/// a system clock that is set meanwhile must not turn time back.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Instant,
    unix: Timestamp,
}

impl Clock {
    /// Anchors the clock to the present.
    pub fn new() -> Self {
        let since = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        Clock {
            start: Instant::now(),
            unix: Timestamp::from_nanos(since.as_nanos() as i64),
        }
    }

    /// The present, as Unix time.
    pub fn now(&self) -> Timestamp {
        self.unix + TimeDelta::from_nanos(self.start.elapsed().as_nanos() as i64)
    }
}

/// Reads what the system has received on a connection by now. The runtime knows only what had arrived when it last
/// polled the system: without this read, bytes or an end that came since would be lost, or taken for silence.
///
/// # Errors
///
/// The connection is reset, or nothing has arrived (`WouldBlock`).
pub fn read_now(stream: &tokio::net::TcpStream, into: &mut [u8]) -> io::Result<usize> {
    (&*socket2::SockRef::from(stream)).read(into)
}

/// Converts a length of time of the router; a negative one is zero.
pub fn duration(length: TimeDelta) -> Duration {
    Duration::from_nanos(length.max(TimeDelta::ZERO).as_nanos() as u64)
}

/// Converts a duration to the router's unit; one that is too long becomes the longest time.
pub fn time_delta(duration: Duration) -> TimeDelta {
    i64::try_from(duration.as_nanos()).map_or(TimeDelta::MAX, TimeDelta::from_nanos)
}

/// Unix time in milliseconds: all machines of the platform read one clock.
pub fn unix_milliseconds() -> u64 {
    let since = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
}
