//! The idle connections to all hosts, by host and in the order in which they became idle: a host without any costs
//! nothing, however many hosts there are.

use irisrouter::routing::MemberId;
use std::collections::{BTreeMap, HashMap};

/// An idle connection, and its place in the order in which connections became idle.
struct IdleConnection<C> {
    sequence: u64,
    connection: C,
}

/// Idle connections, of type `C`, to hosts.
pub(super) struct IdleConnections<C> {
    /// Those of each host, in the order in which they became idle; no entry for a host without any.
    by_host: HashMap<MemberId, Vec<IdleConnection<C>>>,
    /// The hosts of all connections, in the order in which the connections became idle.
    order: BTreeMap<u64, MemberId>,
    next_sequence: u64,
}

impl<C> Default for IdleConnections<C> {
    fn default() -> Self {
        IdleConnections {
            by_host: HashMap::new(),
            order: BTreeMap::new(),
            next_sequence: 0,
        }
    }
}

impl<C> IdleConnections<C> {
    /// Adds a connection that becomes idle now.
    pub(super) fn insert(&mut self, member: MemberId, connection: C) {
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
    pub(super) fn take_last(
        &mut self,
        member: MemberId,
        may_be_used: impl Fn(&C) -> bool,
    ) -> Option<C> {
        let of_host = self.by_host.get(&member)?;
        let position = of_host
            .iter()
            .rposition(|idle| may_be_used(&idle.connection))?;
        self.take(member, position)
    }

    /// Closes the connection that has been idle longest; returns whether there was one.
    pub(super) fn close_longest_idle(&mut self) -> bool {
        let oldest = self.order.first_key_value().map(|(_, &member)| member);
        oldest.is_some_and(|member| self.take(member, 0).is_some())
    }

    /// Closes the connections to a host that are not to be kept.
    pub(super) fn retain_of(&mut self, member: MemberId, keep: impl Fn(&C) -> bool) {
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
    pub(super) fn retain(&mut self, keep: impl Fn(&C) -> bool) {
        let members: Vec<MemberId> = self.by_host.keys().copied().collect();
        for member in members {
            self.retain_of(member, &keep);
        }
    }

    fn take(&mut self, member: MemberId, position: usize) -> Option<C> {
        let of_host = self.by_host.get_mut(&member)?;
        let idle = of_host.remove(position);
        if of_host.is_empty() {
            self.by_host.remove(&member);
        }
        self.order.remove(&idle.sequence);
        Some(idle.connection)
    }
}

#[cfg(test)]
#[path = "../../../tests/unit/idle_connections.rs"]
mod tests;
