//! The view that one gateway has of the fleet: one row for each member, with the times of the last changes.

use crate::serial_number::Incarnation;
use irisrouter_cluster_types::{GatewayId, GatewayProcess, Timestamp};

/// The state of a member in this gateway's view.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Liveness {
    /// Nothing has been received from or about the member yet.
    Unknown,
    /// The member answered, or was reported alive by another member.
    Alive,
    /// The member missed a ping and its indirect pings, or was reported down by another member. It is pinged again
    /// until it answers or has missed enough rounds to be declared down.
    Suspect,
    /// The member was declared down. Its health-check findings are not used.
    Down,
}

impl Liveness {
    /// The name used in logs and on the console.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Unknown => "unknown",
            Self::Alive => "alive",
            Self::Suspect => "suspect",
            Self::Down => "down",
        }
    }
}

/// One row of the view: what is known of one member.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MemberState {
    /// The member and the latest known generation of its process; generation 0 while unknown.
    pub process: GatewayProcess,
    /// Its state.
    pub liveness: Liveness,
    /// The latest known incarnation, which the member raises with each refutation.
    pub incarnation: Incarnation,
    /// When the liveness or the generation last changed.
    pub since: Timestamp,
    /// When a datagram sent by the member itself last arrived; `None` if none has.
    pub last_received: Option<Timestamp>,
}

impl MemberState {
    /// The row of a member of which nothing is known.
    const fn unknown(gateway: GatewayId) -> Self {
        Self {
            process: GatewayProcess::first(gateway),
            liveness: Liveness::Unknown,
            incarnation: Incarnation::FIRST,
            since: Timestamp::ZERO,
            last_received: None,
        }
    }
}

/// A change of one member's liveness, for the log and the counters: one for each change of state, never one for each
/// message.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LivenessChange {
    /// The member, with the generation now known.
    pub process: GatewayProcess,
    /// The state before.
    pub from: Liveness,
    /// The state after.
    pub to: Liveness,
    /// The incarnation now known.
    pub incarnation: Incarnation,
    /// When the change was made.
    pub at: Timestamp,
}

/// The whole view of one gateway.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct View {
    local: GatewayProcess,
    /// By the numbers of the members.
    members: Vec<MemberState>,
}

impl View {
    pub(crate) fn new(local: GatewayProcess, fleet_size: u32) -> Self {
        let gateways = (0..fleet_size).map(GatewayId);
        let members = gateways.map(MemberState::unknown).collect();
        let mut view = Self { local, members };
        view.set_local(local, Timestamp::ZERO);
        view
    }

    /// This process.
    #[must_use]
    pub const fn local_process(&self) -> GatewayProcess {
        self.local
    }

    /// Restarts the row of this gateway as this process, at time `now`.
    pub(crate) fn set_local(&mut self, local: GatewayProcess, now: Timestamp) {
        self.local = local;
        if let Some(member) = self.member_mut(local.gateway) {
            *member = MemberState {
                process: local,
                liveness: Liveness::Alive,
                since: now,
                ..MemberState::unknown(local.gateway)
            };
        }
    }

    /// The row of a member; `None` outside the fleet's list.
    #[must_use]
    pub fn member(&self, gateway: GatewayId) -> Option<&MemberState> {
        self.members.get(gateway.0 as usize)
    }

    fn member_mut(&mut self, gateway: GatewayId) -> Option<&mut MemberState> {
        self.members.get_mut(gateway.0 as usize)
    }

    /// Whether a member has this liveness.
    pub(crate) fn is(&self, gateway: GatewayId, liveness: Liveness) -> bool {
        self.member(gateway)
            .is_some_and(|member| member.liveness == liveness)
    }

    /// All rows, in order of the members' numbers.
    pub fn members(&self) -> impl Iterator<Item = &MemberState> {
        self.members.iter()
    }

    /// Whether reports from a member are used: not once it is declared down, nor from outside the list.
    #[must_use]
    pub fn accepts_from(&self, gateway: GatewayId) -> bool {
        self.member(gateway)
            .is_some_and(|member| member.liveness != Liveness::Down)
    }

    /// The number of members alive, this gateway included.
    #[must_use]
    pub fn alive_count(&self) -> u32 {
        let alive = self
            .members
            .iter()
            .filter(|member| member.liveness == Liveness::Alive)
            .count();
        u32::try_from(alive).unwrap_or(u32::MAX)
    }

    /// The number of members in the fleet's list.
    #[must_use]
    pub fn fleet_size(&self) -> u32 {
        u32::try_from(self.members.len()).unwrap_or(u32::MAX)
    }

    /// Records that a datagram sent by the member itself arrived.
    pub(crate) fn record_received(&mut self, gateway: GatewayId, now: Timestamp) {
        if let Some(member) = self.member_mut(gateway) {
            member.last_received = Some(now);
        }
    }

    /// Sets the row of another member, as [`crate::merge_rules`] decided, and returns the change of its liveness, if
    /// there is one.
    pub(crate) fn set(
        &mut self,
        process: GatewayProcess,
        incarnation: Incarnation,
        to: Liveness,
        now: Timestamp,
    ) -> Option<LivenessChange> {
        if process.gateway == self.local.gateway {
            return None;
        }
        let member = self.member_mut(process.gateway)?;
        let from = member.liveness;
        if from != to || member.process != process {
            member.since = now;
        }
        member.liveness = to;
        member.process = process;
        member.incarnation = incarnation;
        (from != to).then_some(LivenessChange {
            process,
            from,
            to,
            incarnation,
            at: now,
        })
    }
}
