//! One replica set: its members, its primary, its log of commits and the idempotency keys that it remembers.

use crate::replication_log::{PrimarySignal, ReplicationLog, Source};
use crate::spec::Day;
use crate::{HostId, Ns};
use rustc_hash::FxHashMap;
use std::collections::VecDeque;

/// Retention time of idempotency keys, in windows. Without a bound, the keys of a whole run would exhaust the memory.
const KEY_RETENTION_WINDOWS: Ns = 20;

/// A keyed write that a set remembers: the time of its first arrival, and of its commit once it is applied.
#[derive(Clone, Debug)]
pub(super) struct KeyedWrite {
    pub(super) first_arrival: Ns,
    pub(super) commit: Option<Ns>,
}

pub(super) struct ReplicaSet {
    pub(super) members: Vec<HostId>,
    pub(super) primary: Option<HostId>,
    /// Time since which the set has a primary that answers; `None` while it has none. Positions do not advance then.
    pub(super) primary_since: Option<Ns>,
    pub(super) last_position: Ns,
    /// Incremented at each change of the primary; scheduled events of an earlier term are ignored.
    pub(super) term: u32,
    /// Number of delays drawn for role changes of the set.
    pub(super) role_delays_drawn: u32,
    pub(super) log: ReplicationLog,
    pub(super) keys: FxHashMap<u64, Vec<KeyedWrite>>,
    pub(super) key_order: VecDeque<(Ns, u64)>,
}

impl ReplicaSet {
    /// Creates a set without members or commits.
    pub(super) fn new(start: Ns) -> Self {
        ReplicaSet {
            members: Vec::new(),
            primary: None,
            primary_since: Some(start),
            last_position: start,
            term: 0,
            role_delays_drawn: 0,
            log: ReplicationLog::default(),
            keys: FxHashMap::default(),
            key_order: VecDeque::new(),
        }
    }

    pub(super) fn source<'a>(&'a self, day: &Day) -> Source<'a> {
        let primary_signal = PrimarySignal {
            since: self.primary_since,
            last_position: self.last_position,
            shipping_delay: day.replication.ship,
        };
        Source {
            log: &self.log,
            primary_signal,
            apply_time: day.replication.apply,
        }
    }

    /// Records the arrival of a keyed write and returns the index of its entry among the entries of its key.
    ///
    /// A repeat within `window` after the first arrival shares the entry of the first copy and is not applied again. A
    /// later repeat is treated as a new write and gets its own entry.
    pub(super) fn remember_key(&mut self, now: Ns, key: u64, window: Ns) -> usize {
        let entries = self.keys.entry(key).or_default();
        if entries
            .last()
            .is_none_or(|last| now > last.first_arrival + window)
        {
            entries.push(KeyedWrite {
                first_arrival: now,
                commit: None,
            });
            self.key_order.push_back((now, key));
        }
        let index = entries.len() - 1;
        self.remove_old_keys(now, window * KEY_RETENTION_WINDOWS);
        index
    }

    /// Removes the keys whose last entry is older than `retention`.
    fn remove_old_keys(&mut self, now: Ns, retention: Ns) {
        while let Some(&(arrived, key)) = self.key_order.front() {
            if arrived + retention >= now {
                return;
            }
            self.key_order.pop_front();
            let last = self.keys.get(&key).and_then(|entries| entries.last());
            if last.is_some_and(|last| last.first_arrival + retention < now) {
                self.keys.remove(&key);
            }
        }
    }
}
