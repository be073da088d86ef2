//! The process that runs one member: running, stalled or crashed.

use irisrouter_cluster_types::GatewayProcess;
use irisrouter_membership::Membership;

/// How many datagrams the socket of a stalled process holds; more are lost.
pub const SOCKET_CAPACITY: usize = 256;

/// One process of the fleet.
pub(crate) enum MemberProcess {
    Running(Box<Membership>),
    /// Stopped without having ended, as by SIGSTOP.
    Stalled(StalledMember),
    Crashed(GatewayProcess),
}

/// A stalled process and the datagrams that wait in its socket, in order of arrival.
pub(crate) struct StalledMember {
    pub core: Box<Membership>,
    pub socket: Vec<Vec<u8>>,
}

impl MemberProcess {
    /// The core, unless the process has crashed.
    pub(crate) fn core(&self) -> Option<&Membership> {
        match self {
            Self::Running(core) => Some(core),
            Self::Stalled(stalled) => Some(&stalled.core),
            Self::Crashed(_) => None,
        }
    }

    /// The core, if the process runs.
    pub(crate) fn running(&self) -> Option<&Membership> {
        match self {
            Self::Running(core) => Some(core),
            Self::Stalled(_) | Self::Crashed(_) => None,
        }
    }

    /// The core, if the process runs.
    pub(crate) fn running_mut(&mut self) -> Option<&mut Membership> {
        match self {
            Self::Running(core) => Some(core),
            Self::Stalled(_) | Self::Crashed(_) => None,
        }
    }

    /// Which process it is, or was when it crashed.
    pub(crate) fn identity(&self) -> GatewayProcess {
        match self {
            Self::Running(core) => core.local_process(),
            Self::Stalled(stalled) => stalled.core.local_process(),
            Self::Crashed(process) => *process,
        }
    }

    fn take(&mut self) -> Self {
        let crashed = Self::Crashed(self.identity());
        std::mem::replace(self, crashed)
    }

    /// Stalls the process, if it runs.
    pub(crate) fn stall(&mut self) {
        *self = match self.take() {
            Self::Running(core) => Self::Stalled(StalledMember {
                core,
                socket: Vec::new(),
            }),
            other => other,
        };
    }

    /// Lets the process run again, if it is stalled, and returns the datagrams that wait in its socket.
    pub(crate) fn resume(&mut self) -> Option<Vec<Vec<u8>>> {
        match self.take() {
            Self::Stalled(stalled) => {
                *self = Self::Running(stalled.core);
                Some(stalled.socket)
            }
            other => {
                *self = other;
                None
            }
        }
    }

    /// Ends the process at once.
    pub(crate) fn crash(&mut self) {
        *self = Self::Crashed(self.identity());
    }
}
