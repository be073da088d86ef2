//! The gateway process: the sockets, tasks and timers that carry out the routing decisions. Each module owns one concern.
//!
//! The modules are layers. A module uses those above it in this list and never one below it, so that each can be
//! understood, and tested, without what is built on it. `tests/layers` reads the list and checks it:
//!
//! 1. `log`: log lines, limited in rate
//! 2. `metrics`: counters
//! 3. `buffers`: pooled memory for messages
//! 4. `pg`: the framing of the PostgreSQL protocol
//! 5. `descriptor_budget`: how the descriptors of the process are divided
//! 6. `serving_state`: whether the process serves clients
//! 7. `endpoint_list`: the list of database hosts, wherever it comes from
//! 8. `config`: the environment, the configuration file and the operators' file
//! 9. `upstream`: database hosts and the connections to them
//! 10. `router_task`: the task that owns the router
//! 11. `cluster`: what gateways agree on with one another
//! 12. `request`: one request from its arrival to its final answer
//! 13. `discovery`: keeps the endpoint list up to date
//! 14. `downstream`: the connections of clients
//! 15. `admin`: the console and the printed counters
//! 16. `hot_restart`: the hand-over between two versions of one gateway
//! 17. `lifecycle`: start, signals, reload and shutdown; connects all others
//!
//! The clock and the conversions of time in this file are used by all of them.
//!
//! All tasks run on one thread. What several of them use is shared as an `Rc`, and what changes in it is a `Cell` or a
//! `RefCell`; a `RefCell` is borrowed for a few statements only, and never across an await, so no borrow meets another.

pub mod admin;
pub mod buffers;
pub mod cluster;
pub mod config;
pub mod descriptor_budget;
pub mod discovery;
pub mod downstream;
pub mod endpoint_list;
pub mod hot_restart;
pub mod lifecycle;
pub mod log;
pub mod metrics;
pub mod request;
pub mod router_task;
pub mod serving_state;
pub mod upstream;

pub use irisrouter_pg as pg;

use irisrouter::routing::{TimeDelta, Timestamp};
use std::io::{self, Read};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use tokio::io::AsyncWriteExt;
use tokio::time::sleep;

/// Pause before a write is repeated that failed for want of the system's memory.
const MEMORY_RETRY_DELAY: Duration = Duration::from_millis(1);

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
    loop {
        match (&*socket2::SockRef::from(stream)).read(into) {
            Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
            result => return result,
        }
    }
}

/// Writes all of these bytes, as often as the system interrupts the write or is short of memory for it: neither says
/// anything of the peer, which waits for the bytes.
///
/// # Errors
///
/// The connection has ended.
pub async fn write_all(stream: &mut tokio::net::TcpStream, bytes: &[u8]) -> io::Result<()> {
    let mut rest = bytes;
    while !rest.is_empty() {
        match stream.write(rest).await {
            Ok(0) => return Err(io::ErrorKind::WriteZero.into()),
            Ok(length) => rest = &rest[length..],
            Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
            Err(error) if is_short_of_memory(&error) => sleep(MEMORY_RETRY_DELAY).await,
            Err(error) => return Err(error),
        }
    }
    Ok(())
}

/// Whether a system call failed because the system has no memory for it at this moment.
fn is_short_of_memory(error: &io::Error) -> bool {
    const ENOMEM: i32 = 12;
    const ENOBUFS: i32 = 105;
    matches!(error.raw_os_error(), Some(ENOMEM | ENOBUFS))
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
