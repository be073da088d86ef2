//! One replica set: its members, its primary, its commits and the idempotency keys that it remembers.

use crate::replication_log::{PrimarySignal, ReplicationLog, Source};
use crate::spec::Day;
use crate::{HostId, Ns};
use rustc_hash::FxHashMap;
use std::collections::VecDeque;

/// Idempotency keys are kept for this many windows. Without a bound the keys of a whole day would fill the memory.
const KEY_RETENTION_WINDOWS: Ns = 20;

/// A keyed write that a set remembers: when it first came, and its commit once it is applied.
#[derive(Clone, Debug)]
pub(super) struct KeyedWrite {
    pub(super) first_arrival: Ns,
    pub(super) commit: Option<Ns>,
}

pub(super) struct ReplicaSet {
    pub(super) members: Vec<HostId>,
    pub(super) primary: Option<HostId>,
    /// Since when there is a primary that speaks; where there is none, positions stand still where they stood.
    pub(super) primary_since: Option<Ns>,
    pub(super) last_position: Ns,
    /// Grows with each change of the primary.
    pub(super) term: u32,
    /// Times that were drawn for it.
    pub(super) role_delays_drawn: u32,
    pub(super) log: ReplicationLog,
    pub(super) keys: FxHashMap<u64, Vec<KeyedWrite>>,
    pub(super) key_order: VecDeque<(Ns, u64)>,
}

impl ReplicaSet {
    /// A set without members or commits.
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
            stood: self.last_position,
            ship: day.replication.ship,
        };
        Source {
            log: &self.log,
            primary_signal,
            cost: day.replication.apply,
        }
    }

    /// Notes a keyed write that arrives now and returns the place of its entry among those of its key.
    ///
    /// A repeat within `window` of the first arrival belongs to that one's entry and is not applied again; a later one
    /// is a write like any other and gets an entry of its own.
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
        let place = entries.len() - 1;
        self.forget_old_keys(now, window * KEY_RETENTION_WINDOWS);
        place
    }

    /// Drops the keys whose last arrival is longer ago than `retention`.
    fn forget_old_keys(&mut self, now: Ns, retention: Ns) {
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
