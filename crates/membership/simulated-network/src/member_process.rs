//! The simulated process of one gateway, which is running, stalled or crashed.

use irisrouter_cluster_types::GatewayProcess;
use irisrouter_membership::Membership;

/// Maximum number of datagrams that the socket of a stalled process buffers; further ones are lost.
pub const SOCKET_CAPACITY: usize = 256;

/// The simulated process of one gateway.
pub(crate) enum MemberProcess {
    Running(Box<Membership>),
    /// The process is suspended, as by SIGSTOP.
    Stalled(StalledMember),
    Crashed(GatewayProcess),
}

/// A stalled process and the datagrams that are buffered in its socket, in order of arrival.
pub(crate) struct StalledMember {
    pub core: Box<Membership>,
    pub socket: Vec<Vec<u8>>,
}

impl MemberProcess {
    /// Returns the core of a running or stalled process; `None` if the process has crashed.
    pub(crate) fn core(&self) -> Option<&Membership> {
        match self {
            Self::Running(core) => Some(core),
            Self::Stalled(stalled) => Some(&stalled.core),
            Self::Crashed(_) => None,
        }
    }

    /// Returns the core if the process is running.
    pub(crate) fn running(&self) -> Option<&Membership> {
        match self {
            Self::Running(core) => Some(core),
            Self::Stalled(_) | Self::Crashed(_) => None,
        }
    }

    /// Returns the core if the process is running.
    pub(crate) fn running_mut(&mut self) -> Option<&mut Membership> {
        match self {
            Self::Running(core) => Some(core),
            Self::Stalled(_) | Self::Crashed(_) => None,
        }
    }

    /// Returns the gateway and its generation; after a crash, the generation of the crashed process.
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

    /// Suspends the process if it is running.
    pub(crate) fn stall(&mut self) {
        *self = match self.take() {
            Self::Running(core) => Self::Stalled(StalledMember {
                core,
                socket: Vec::new(),
            }),
            other => other,
        };
    }

    /// Resumes the process and returns the datagrams that are buffered in its socket; `None` if it is not stalled.
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

    /// Ends the process immediately.
    pub(crate) fn crash(&mut self) {
        *self = Self::Crashed(self.identity());
    }
}
