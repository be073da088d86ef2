//! The idle connections to all hosts, by host and in the order in which they became idle. Hosts without idle
//! connections take no memory and no time.

use std::collections::{BTreeMap, HashMap};
use std::hash::Hash;

/// An idle connection, and its sequence number in the order in which connections became idle.
struct IdleConnection<C> {
    sequence: u64,
    connection: C,
}

/// Idle connections of type `C` to hosts that are identified by `M`.
pub struct IdleConnections<M, C> {
    /// The idle connections to each host, in the order in which they became idle. A host without idle connections has
    /// no entry.
    by_host: HashMap<M, Vec<IdleConnection<C>>>,
    /// The host of each idle connection, by the connection's sequence number.
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
    /// Adds a connection that has just become idle.
    pub fn insert(&mut self, member: M, connection: C) {
        let sequence = self.next_sequence;
        self.next_sequence += 1;
        self.order.insert(sequence, member);
        let host_connections = self.by_host.entry(member).or_default();
        host_connections.push(IdleConnection {
            sequence,
            connection,
        });
    }

    /// Removes and returns the connection to a host that became idle last among those for which `may_be_used` returns
    /// true.
    pub fn take_last(&mut self, member: M, may_be_used: impl Fn(&C) -> bool) -> Option<C> {
        let host_connections = self.by_host.get(&member)?;
        let position = host_connections
            .iter()
            .rposition(|idle| may_be_used(&idle.connection))?;
        self.remove_at(member, position)
    }

    /// Removes and returns the connection that has been idle longest, to any host.
    pub fn take_longest_idle(&mut self) -> Option<C> {
        let (_, &member) = self.order.first_key_value()?;
        self.remove_at(member, 0)
    }

    /// Drops the idle connections to a host for which `keep` returns false.
    pub fn retain_for_host(&mut self, member: M, keep: impl Fn(&C) -> bool) {
        let Some(host_connections) = self.by_host.get_mut(&member) else {
            return;
        };
        let order = &mut self.order;
        host_connections.retain(|idle| {
            let retained = keep(&idle.connection);
            if !retained {
                order.remove(&idle.sequence);
            }
            retained
        });
        if host_connections.is_empty() {
            self.by_host.remove(&member);
        }
    }

    /// Drops the idle connections to all hosts for which `keep` returns false.
    pub fn retain(&mut self, keep: impl Fn(&C) -> bool) {
        let members: Vec<M> = self.by_host.keys().copied().collect();
        for member in members {
            self.retain_for_host(member, &keep);
        }
    }

    fn remove_at(&mut self, member: M, position: usize) -> Option<C> {
        let host_connections = self.by_host.get_mut(&member)?;
        let idle = host_connections.remove(position);
        if host_connections.is_empty() {
            self.by_host.remove(&member);
        }
        self.order.remove(&idle.sequence);
        Some(idle.connection)
    }
}
