//! The view that one gateway has of the fleet: one row for each member, with the times of the last changes.

use crate::node::Node;

/// Milliseconds on the caller's monotonic clock; the core never reads a clock itself.
pub type Millis = u64;

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
    /// Its state.
    pub liveness: Liveness,
    /// The latest known generation of its process; 0 while unknown.
    pub generation: u16,
    /// The latest known incarnation, which the member raises with each refutation.
    pub incarnation: u16,
    /// When the liveness or the generation last changed.
    pub since: Millis,
    /// When a datagram sent by the member itself last arrived; `None` if none has.
    pub last_received: Option<Millis>,
}

impl MemberState {
    const UNKNOWN: Self = Self {
        liveness: Liveness::Unknown,
        generation: 0,
        incarnation: 0,
        since: 0,
        last_received: None,
    };

    /// The node that the row of member `number` stands for.
    pub(crate) const fn node(&self, number: u32) -> Node {
        Node {
            number,
            generation: self.generation,
        }
    }
}

/// A change of one member's liveness, for the log and the counters: one for each change of state, never one for each
/// message.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LivenessChange {
    /// The member's number.
    pub number: u32,
    /// The state before.
    pub from: Liveness,
    /// The state after.
    pub to: Liveness,
    /// The generation now known.
    pub generation: u16,
    /// The incarnation now known.
    pub incarnation: u16,
    /// When the change was made.
    pub at: Millis,
}

/// The whole view of one gateway.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct View {
    local: Node,
    members: Vec<MemberState>,
}

impl View {
    pub(crate) fn new(local: Node, fleet_size: u32) -> Self {
        let members = vec![MemberState::UNKNOWN; fleet_size as usize];
        let mut view = Self { local, members };
        view.set_local(local, 0);
        view
    }

    /// This gateway.
    #[must_use]
    pub const fn local_node(&self) -> Node {
        self.local
    }

    /// Restarts the row of this gateway as this node, at time `now`.
    pub(crate) fn set_local(&mut self, local: Node, now: Millis) {
        self.local = local;
        if let Some(member) = self.members.get_mut(local.number as usize) {
            *member = MemberState {
                liveness: Liveness::Alive,
                generation: local.generation,
                since: now,
                ..MemberState::UNKNOWN
            };
        }
    }

    /// The row of member `number`; `None` outside the fleet's list.
    #[must_use]
    pub fn member(&self, number: u32) -> Option<&MemberState> {
        self.members.get(number as usize)
    }

    /// Whether member `number` has this liveness.
    pub(crate) fn is(&self, number: u32, liveness: Liveness) -> bool {
        self.member(number)
            .is_some_and(|member| member.liveness == liveness)
    }

    /// All rows, in order of the members' numbers.
    pub fn members(&self) -> impl Iterator<Item = (u32, &MemberState)> {
        (0u32..).zip(self.members.iter())
    }

    /// Whether reports from member `number` are used: not once it is declared down, nor from outside the list.
    #[must_use]
    pub fn accepts_from(&self, number: u32) -> bool {
        self.member(number)
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
    pub(crate) fn record_received(&mut self, number: u32, now: Millis) {
        if let Some(member) = self.members.get_mut(number as usize) {
            member.last_received = Some(now);
        }
    }

    /// Sets the row of another member, as [`crate::merge_rules`] decided, and returns the change of its liveness, if
    /// there is one.
    pub(crate) fn set(
        &mut self,
        node: Node,
        incarnation: u16,
        to: Liveness,
        now: Millis,
    ) -> Option<LivenessChange> {
        if node.number == self.local.number {
            return None;
        }
        let member = self.members.get_mut(node.number as usize)?;
        let from = member.liveness;
        if from != to || member.generation != node.generation {
            member.since = now;
        }
        member.liveness = to;
        member.generation = node.generation;
        member.incarnation = incarnation;
        (from != to).then_some(LivenessChange {
            number: node.number,
            from,
            to,
            generation: node.generation,
            incarnation,
            at: now,
        })
    }
}
