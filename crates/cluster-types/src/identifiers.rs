//! Identifiers of gateways, database hosts, tasks and leases.

use std::fmt;

/// A gateway, by its index in the fleet's list of peers. The same at every gateway.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct GatewayId(pub u32);

/// The generation of a gateway's process: it grows with each start, modulo 2^16.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Generation(pub u16);

/// One process of a gateway. A gateway that is started again is another process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct GatewayProcess {
    /// The gateway.
    pub gateway: GatewayId,
    /// The generation of its process.
    pub generation: Generation,
}

impl GatewayProcess {
    /// The process of this gateway in generation 0.
    #[must_use]
    pub const fn first(gateway: GatewayId) -> Self {
        Self {
            gateway,
            generation: Generation(0),
        }
    }
}

/// A database host, by the number under which all gateways know it: a hash of its name.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct HostId(pub u32);

/// A task that one gateway does for the fleet, under a lease. The same at every gateway.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TaskId(pub u64);

/// The epoch of a lease, which is its fencing token: it grows with each change of holder.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct Epoch(pub u64);

impl Epoch {
    /// The epoch right after this one.
    #[must_use]
    pub const fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

/// The plain number, as log lines and the console show it.
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

/// Six hexadecimal digits, as log lines and the console show it.
impl fmt::Display for HostId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:06x}", self.0)
    }
}
