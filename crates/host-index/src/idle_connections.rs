//! The idle connections to all hosts, by host and in the order in which they became idle: a host without any costs
//! nothing, however many hosts there are.

use std::collections::{BTreeMap, HashMap};
use std::hash::Hash;

/// An idle connection, and its place in the order in which connections became idle.
struct IdleConnection<C> {
    sequence: u64,
    connection: C,
}

/// Idle connections, of type `C`, to members `M`.
pub struct IdleConnections<M, C> {
    /// Those of each host, in the order in which they became idle; no entry for a host without any.
    by_host: HashMap<M, Vec<IdleConnection<C>>>,
    /// The hosts of all connections, in the order in which the connections became idle.
    order: BTreeMap<u64, M>,
    next_sequence: u64,
}

impl<M, C> Default for IdleConnections<M, C> {
    fn default() -> Self {
        IdleConnections {
            by_host: HashMap::new(),
            order: BTreeMap::new(),
            next_sequence: 0,
        }
    }
}

impl<M: Copy + Eq + Hash, C> IdleConnections<M, C> {
    /// Adds a connection that becomes idle now.
    pub fn insert(&mut self, member: M, connection: C) {
        let sequence = self.next_sequence;
        self.next_sequence += 1;
        self.order.insert(sequence, member);
        let of_host = self.by_host.entry(member).or_default();
        of_host.push(IdleConnection {
            sequence,
            connection,
        });
    }

    /// Takes the connection to a host that became idle last of those that may be used.
    pub fn take_last(&mut self, member: M, may_be_used: impl Fn(&C) -> bool) -> Option<C> {
        let of_host = self.by_host.get(&member)?;
        let position = of_host
            .iter()
            .rposition(|idle| may_be_used(&idle.connection))?;
        self.take(member, position)
    }

    /// Takes the connection that has been idle longest.
    pub fn take_longest_idle(&mut self) -> Option<C> {
        let (_, &member) = self.order.first_key_value()?;
        self.take(member, 0)
    }

    /// Closes the connections to a host that are not to be kept.
    pub fn retain_of(&mut self, member: M, keep: impl Fn(&C) -> bool) {
        let Some(of_host) = self.by_host.get_mut(&member) else {
            return;
        };
        let order = &mut self.order;
        of_host.retain(|idle| {
            let kept = keep(&idle.connection);
            if !kept {
                order.remove(&idle.sequence);
            }
            kept
        });
        if of_host.is_empty() {
            self.by_host.remove(&member);
        }
    }

    /// Closes the connections to all hosts that are not to be kept.
    pub fn retain(&mut self, keep: impl Fn(&C) -> bool) {
        let members: Vec<M> = self.by_host.keys().copied().collect();
        for member in members {
            self.retain_of(member, &keep);
        }
    }

    fn take(&mut self, member: M, position: usize) -> Option<C> {
        let of_host = self.by_host.get_mut(&member)?;
        let idle = of_host.remove(position);
        if of_host.is_empty() {
            self.by_host.remove(&member);
        }
        self.order.remove(&idle.sequence);
        Some(idle.connection)
    }
}
