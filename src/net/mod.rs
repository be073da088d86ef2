//! The real gateway: sockets round the decision module, each part owning one concern.

pub mod backend;
pub mod buffers;
pub mod cancel;
pub mod classes;
pub mod config;
pub mod console;
pub mod counters;
pub mod discovery;
pub mod drains;
pub mod duties;
pub mod ending;
pub mod frontend;
pub mod inhand;
pub mod kin;
pub mod listwatch;
pub mod log;
pub mod membership;
pub mod mode;
pub mod operators;
pub mod pace;
pub mod peers;
pub mod places;
pub mod request;
pub mod router;
pub mod siteplan;

pub use irisrouter_pg as pg;

use irisrouter::api::Ns;
use std::io::{self, Read};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// The one clock of the program: monotonic, anchored once to Unix time, in nanoseconds.
///
/// Positions and start times of database hosts are Unix times, so that the module can compare them with its
/// own clock; a system clock that is set meanwhile must not turn time back.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Instant,
    unix: Ns,
}

impl Clock {
    /// Anchors the clock to the present.
    pub fn new() -> Self {
        let since = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        Clock {
            start: Instant::now(),
            unix: since.as_nanos() as Ns,
        }
    }

    /// Nanoseconds of Unix time.
    pub fn now(&self) -> Ns {
        self.unix + self.start.elapsed().as_nanos() as Ns
    }
}

/// Reads what the system holds of a connection at this moment. Danger: the runtime knows only what it had been told when
/// it last waited; what has come since, an end included, would be closed over, or taken for silence.
pub fn read_now(stream: &tokio::net::TcpStream, into: &mut [u8]) -> io::Result<usize> {
    (&*socket2::SockRef::from(stream)).read(into)
}

/// A length of time of the module's clock; nothing for what has passed.
pub fn duration(ns: Ns) -> Duration {
    Duration::from_nanos(ns.max(0) as u64)
}

/// The other way round.
pub fn nanoseconds(d: Duration) -> Ns {
    Ns::try_from(d.as_nanos()).unwrap_or(Ns::MAX)
}
