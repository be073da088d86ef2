//! What one gateway believes of the others: a row per number of the fleet, with the time since it last changed.

use crate::node::Node;

/// Milliseconds on the caller's monotonic clock; the core never reads a clock itself.
pub type Millis = u64;

/// How a member stands in this gateway's view.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Liveness {
    /// Nothing has been heard of it yet.
    Unknown,
    /// Answered, or was vouched for by a member that did.
    Alive,
    /// Missed a probe and its indirect probes; it has `suspicion_ms` to refute.
    Suspect,
    /// Declared down. Its findings no longer count.
    Down,
}

impl Liveness {
    /// The word used in logs and on the console.
    #[must_use]
    pub const fn word(self) -> &'static str {
        match self {
            Self::Unknown => "unknown",
            Self::Alive => "alive",
            Self::Suspect => "suspect",
            Self::Down => "down",
        }
    }
}

/// One row of the view.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Seen {
    /// How it stands.
    pub liveness: Liveness,
    /// The generation of the process last heard of; 0 while unknown.
    pub generation: u16,
    /// Its incarnation, as SWIM counts refutations.
    pub incarnation: u16,
    /// When its liveness last changed.
    pub since: Millis,
    /// When the member itself was last heard, by a datagram of its own; `None` where it was only heard of.
    pub heard: Option<Millis>,
}

/// A change of one row, for the log and the counters: one per change of state, never one per message.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Change {
    /// The member's number.
    pub number: u32,
    /// How it stood before.
    pub from: Liveness,
    /// How it stands now.
    pub to: Liveness,
    /// The generation now known.
    pub generation: u16,
    /// The incarnation now known.
    pub incarnation: u16,
    /// When the change was seen.
    pub at: Millis,
}

/// Which side of a cut this gateway is on, as far as it can tell.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Side {
    /// Members alive in the view, this one included; suspects are not.
    pub reachable: u32,
    /// Gateways in the fleet's list.
    pub fleet: u32,
    /// Of the last [`RECENT`] members probed by this one at most, those that answered.
    pub answered: u32,
    /// And those that were asked.
    pub asked: u32,
}

/// How many of its own last probes a gateway judges its side by.
pub const RECENT: usize = 16;

impl Side {
    /// More than half of the fleet is reachable: only such a side may claim duties that need a majority. Danger
    /// guarded against: in a large fleet the rows of those that a cut took away are known to be down only after many
    /// periods, while half of the own probes fail from the start.
    #[must_use]
    pub const fn majority(&self) -> bool {
        2 * self.reachable > self.fleet && 2 * self.answered >= self.asked
    }

    /// No other member is reachable: the gateway acts alone, as it does with sharing off.
    #[must_use]
    pub const fn alone(&self) -> bool {
        self.reachable <= 1 || (self.answered == 0 && self.asked as usize == RECENT)
    }
}

/// The whole view of one gateway.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct View {
    me: Node,
    rows: Vec<Seen>,
}

impl View {
    pub(crate) fn new(me: Node, fleet: u32) -> Self {
        let unknown = Seen {
            liveness: Liveness::Unknown,
            generation: 0,
            incarnation: 0,
            since: 0,
            heard: None,
        };
        let mut rows = vec![unknown; fleet as usize];
        if let Some(row) = rows.get_mut(me.number as usize) {
            row.liveness = Liveness::Alive;
            row.generation = me.generation;
        }
        Self { me, rows }
    }

    /// This gateway.
    #[must_use]
    pub const fn me(&self) -> Node {
        self.me
    }

    pub(crate) fn set_me(&mut self, me: Node, at: Millis) {
        self.me = me;
        if let Some(row) = self.rows.get_mut(me.number as usize) {
            let generation = me.generation;
            *row = Seen {
                liveness: Liveness::Alive,
                generation,
                incarnation: 0,
                since: at,
                heard: None,
            };
        }
    }

    /// The row of member `number`; `None` outside the fleet's list.
    #[must_use]
    pub fn get(&self, number: u32) -> Option<&Seen> {
        self.rows.get(number as usize)
    }

    /// All rows, by number.
    pub fn rows(&self) -> impl Iterator<Item = (u32, &Seen)> {
        (0u32..).zip(self.rows.iter())
    }

    /// Whether what member `number` tells still counts: not once it is declared down, nor from outside the list.
    #[must_use]
    pub fn counts(&self, number: u32) -> bool {
        self.get(number)
            .is_some_and(|s| s.liveness != Liveness::Down)
    }

    /// Members alive, this gateway included.
    #[must_use]
    pub fn alive(&self) -> u32 {
        let alive = self
            .rows
            .iter()
            .filter(|s| s.liveness == Liveness::Alive)
            .count();
        u32::try_from(alive).unwrap_or(u32::MAX)
    }

    /// Members in the fleet's list.
    #[must_use]
    pub fn fleet(&self) -> u32 {
        u32::try_from(self.rows.len()).unwrap_or(u32::MAX)
    }

    /// Notes that a member was heard itself.
    pub(crate) fn heard(&mut self, number: u32, at: Millis) {
        if let Some(row) = self.rows.get_mut(number as usize) {
            row.heard = Some(at);
        }
    }

    /// Sets the row of another member, as [`crate::merge_rules`] decided, and says what changed.
    pub(crate) fn set(
        &mut self,
        node: Node,
        incarnation: u16,
        to: Liveness,
        at: Millis,
    ) -> Option<Change> {
        if node.number == self.me.number {
            return None;
        }
        let row = self.rows.get_mut(node.number as usize)?;
        let from = row.liveness;
        let replaced = row.generation != node.generation;
        *row = Seen {
            liveness: to,
            generation: node.generation,
            incarnation,
            since: if from == to && !replaced {
                row.since
            } else {
                at
            },
            heard: row.heard,
        };
        (from != to).then_some(Change {
            number: node.number,
            from,
            to,
            generation: node.generation,
            incarnation,
            at,
        })
    }
}
