//! The gateway process: the sockets, tasks and timers that carry out the routing decisions. Each module has a single
//! responsibility.
//!
//! The modules are layers. A module may use the modules above it in this list and never one below it, so that it can be
//! understood and tested without the modules that build on it. `tests/layers` reads this list and checks the rule:
//!
//! 1. `log`: log lines, limited in rate
//! 2. `metrics`: counters
//! 3. `buffers`: pooled memory for messages
//! 4. `pg`: the framing of the PostgreSQL protocol
//! 5. `descriptor_budget`: the division of the process's descriptors
//! 6. `claims`: ids that all processes of a gateway respect
//! 7. `serving_state`: whether the process serves clients
//! 8. `endpoint_list`: the list of database hosts, from any source
//! 9. `config`: the environment, the configuration file and the operators' file
//! 10. `upstream`: database hosts and the connections to them
//! 11. `router_task`: the task that owns the router
//! 12. `cluster`: the services through which gateways cooperate
//! 13. `request`: one request from its arrival to its final answer
//! 14. `discovery`: keeps the endpoint list up to date
//! 15. `downstream`: the connections of clients
//! 16. `admin`: the console and the printed counters
//! 17. `hot_restart`: the hand-over between two versions of one gateway
//! 18. `lifecycle`: start, signals, reload and shutdown; connects all other modules
//!
//! All of them may use the clock, the time conversions and the socket functions in this file.
//!
//! All tasks run on one thread. They share state through `Rc`, with mutable parts in a `Cell` or a `RefCell`. A
//! `RefCell` is borrowed for a few statements only and never across an await, so that two borrows never conflict.

pub mod admin;
pub mod buffers;
pub mod claims;
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

/// Pause before a write is retried that failed because the operating system was short of memory.
const MEMORY_RETRY_DELAY: Duration = Duration::from_millis(1);

/// The clock of the program: a monotonic clock in nanoseconds that is anchored to Unix time once, at its creation.
///
/// It counts Unix time because the router compares it with the positions and start times of database hosts, which are
/// Unix times. It is monotonic so that a change of the system clock never makes time go back.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Instant,
    unix_at_start: Timestamp,
}

impl Clock {
    /// Creates a clock that is anchored to the current time of the system clock.
    pub fn new() -> Self {
        let since_epoch = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        Clock {
            start: Instant::now(),
            unix_at_start: Timestamp::from_nanos(since_epoch.as_nanos() as i64),
        }
    }

    /// Returns the current time as Unix time.
    pub fn now(&self) -> Timestamp {
        self.unix_at_start + TimeDelta::from_nanos(self.start.elapsed().as_nanos() as i64)
    }
}

/// Reads the bytes that the operating system has received on a connection so far. The runtime only knows what had
/// arrived when it last polled the system. Without this read, bytes or an end of the connection that arrived since
/// would be lost, or the connection would be taken for silent.
///
/// # Errors
///
/// Returns an error if the connection was reset, and `WouldBlock` if nothing has arrived.
pub fn read_now(stream: &tokio::net::TcpStream, into: &mut [u8]) -> io::Result<usize> {
    loop {
        match (&*socket2::SockRef::from(stream)).read(into) {
            Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
            result => return result,
        }
    }
}

/// Writes all bytes. Retries if the operating system interrupts the write or is short of memory, because neither means
/// that the connection has failed, and the peer waits for the bytes.
///
/// # Errors
///
/// Returns an error if the connection has ended.
pub async fn write_all(stream: &mut tokio::net::TcpStream, bytes: &[u8]) -> io::Result<()> {
    let mut remaining = bytes;
    while !remaining.is_empty() {
        match stream.write(remaining).await {
            Ok(0) => return Err(io::ErrorKind::WriteZero.into()),
            Ok(length) => remaining = &remaining[length..],
            Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
            Err(error) if is_short_of_memory(&error) => sleep(MEMORY_RETRY_DELAY).await,
            Err(error) => return Err(error),
        }
    }
    Ok(())
}

/// Returns whether a read failed only because no bytes were available.
pub fn is_nothing_to_read(error: &io::Error) -> bool {
    matches!(
        error.kind(),
        io::ErrorKind::WouldBlock | io::ErrorKind::Interrupted
    )
}

/// Returns whether a system call failed because the operating system is short of memory.
fn is_short_of_memory(error: &io::Error) -> bool {
    const ENOMEM: i32 = 12;
    const ENOBUFS: i32 = 105;
    matches!(error.raw_os_error(), Some(ENOMEM | ENOBUFS))
}

/// Converts one of the router's time spans to a `Duration`. A negative time span becomes zero.
pub fn duration(length: TimeDelta) -> Duration {
    Duration::from_nanos(length.max(TimeDelta::ZERO).as_nanos() as u64)
}

/// Converts a `Duration` to one of the router's time spans. One that is too long becomes `TimeDelta::MAX`.
pub fn time_delta(duration: Duration) -> TimeDelta {
    i64::try_from(duration.as_nanos()).map_or(TimeDelta::MAX, TimeDelta::from_nanos)
}

/// Returns the Unix time in milliseconds. All machines of the platform read it from one clock.
pub fn unix_milliseconds() -> u64 {
    let since_epoch = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    u64::try_from(since_epoch.as_millis()).unwrap_or(u64::MAX)
}
