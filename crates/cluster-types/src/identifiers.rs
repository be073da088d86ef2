//! Identifiers of gateways, database hosts, tasks and leases.

use std::fmt;

/// Identifies a gateway by its index in the fleet's list of peers. The id is the same at every
/// gateway.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct GatewayId(pub u32);

/// The generation of a gateway's process. It increases with each start, modulo 2^16.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Generation(pub u16);

/// Identifies one process of a gateway. A restarted gateway is a different process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct GatewayProcess {
    /// The gateway.
    pub gateway: GatewayId,
    /// The generation of the process.
    pub generation: Generation,
}

impl GatewayProcess {
    /// Returns the process of `gateway` that has generation 0.
    #[must_use]
    pub const fn first(gateway: GatewayId) -> Self {
        Self {
            gateway,
            generation: Generation(0),
        }
    }
}

/// Identifies a database host by a hash of its name. The id is the same at every gateway.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct HostId(pub u32);

/// Identifies a task that one gateway performs for the whole fleet, under a lease. The id is the
/// same at every gateway.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TaskId(pub u64);

/// The epoch of a lease, which serves as its fencing token. It increases with each change of
/// holder.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct Epoch(pub u64);

impl Epoch {
    /// Returns the epoch that follows this one.
    #[must_use]
    pub const fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

/// Implements `Display` as the plain number, which is the format in log lines and console answers.
macro_rules! display_as_number {
    ($($identifier:ty),+) => {
        $(impl fmt::Display for $identifier {
            fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
                self.0.fmt(formatter)
            }
        })+
    };
}

display_as_number!(GatewayId, Generation, Epoch);

/// Formats the id as six hexadecimal digits, as in log lines and console answers.
impl fmt::Display for HostId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:06x}", self.0)
    }
}
