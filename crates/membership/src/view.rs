//! One gateway's view of the fleet: one row per member, with the time of its last change.

use crate::serial_number::Incarnation;
use irisrouter_cluster_types::{GatewayId, GatewayProcess, Timestamp};

/// The state of a member in this gateway's view.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Liveness {
    /// No datagram from the member and no report about it has been received yet.
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
    /// Returns the name that is used in the log and on the console.
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

/// One row of the view: the known state of one member.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MemberState {
    /// The member and the latest known generation of its process; generation 0 while unknown.
    pub process: GatewayProcess,
    /// Whether the member is alive, suspect or down, as far as this gateway knows.
    pub liveness: Liveness,
    /// The latest known incarnation, which the member raises with each refutation.
    pub incarnation: Incarnation,
    /// When the liveness or the generation last changed.
    pub since: Timestamp,
    /// When the last datagram from the member itself arrived; `None` if none has arrived.
    pub last_received: Option<Timestamp>,
}

impl MemberState {
    /// Returns the row of a member about which nothing is known yet.
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

/// A change of one member's liveness, for the log and the counters. A message that does not change the liveness
/// produces none.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LivenessChange {
    /// The member, with its latest known generation after the change.
    pub process: GatewayProcess,
    /// The liveness before the change.
    pub from: Liveness,
    /// The liveness after the change.
    pub to: Liveness,
    /// The member's latest known incarnation after the change.
    pub incarnation: Incarnation,
    /// When the view changed.
    pub at: Timestamp,
}

/// The whole view of one gateway.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct View {
    local: GatewayProcess,
    /// The rows, indexed by the gateways' numbers.
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

    /// Returns this gateway and its current generation.
    #[must_use]
    pub const fn local_process(&self) -> GatewayProcess {
        self.local
    }

    /// Resets the row of this gateway to the process `local`, alive since `now`.
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

    /// Returns the row of a member; `None` if `gateway` is not in the fleet's list.
    #[must_use]
    pub fn member(&self, gateway: GatewayId) -> Option<&MemberState> {
        self.members.get(gateway.0 as usize)
    }

    fn member_mut(&mut self, gateway: GatewayId) -> Option<&mut MemberState> {
        self.members.get_mut(gateway.0 as usize)
    }

    /// Returns whether a member has this liveness.
    pub(crate) fn has_liveness(&self, gateway: GatewayId, liveness: Liveness) -> bool {
        self.member(gateway)
            .is_some_and(|member| member.liveness == liveness)
    }

    /// Returns all rows, ordered by the gateways' numbers.
    pub fn members(&self) -> impl Iterator<Item = &MemberState> {
        self.members.iter()
    }

    /// Returns whether reports from a member are used: reports from members that are down in the view and from gateways
    /// outside the fleet's list are not.
    #[must_use]
    pub fn accepts_from(&self, gateway: GatewayId) -> bool {
        self.member(gateway)
            .is_some_and(|member| member.liveness != Liveness::Down)
    }

    /// Returns the number of members that are alive, this gateway included.
    #[must_use]
    pub fn alive_count(&self) -> u32 {
        let alive = self
            .members
            .iter()
            .filter(|member| member.liveness == Liveness::Alive)
            .count();
        u32::try_from(alive).unwrap_or(u32::MAX)
    }

    /// Returns the number of gateways in the fleet's list.
    #[must_use]
    pub fn fleet_size(&self) -> u32 {
        u32::try_from(self.members.len()).unwrap_or(u32::MAX)
    }

    /// Records that a datagram from the member itself arrived.
    pub(crate) fn record_received(&mut self, gateway: GatewayId, now: Timestamp) {
        if let Some(member) = self.member_mut(gateway) {
            member.last_received = Some(now);
        }
    }

    /// Sets the row of another member according to a decision of [`crate::merge_rules`], and returns the change of its
    /// liveness. Returns `None` if the liveness did not change, or for this gateway itself.
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
