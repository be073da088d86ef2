//! The audit: what happened to writes and reads, counted from what is true and not from what a gateway or a host says.

use crate::{GatewayId, HostId, Ns};
use std::collections::HashMap;

/// Something that must never happen, and when it did.
#[derive(Clone, Debug, PartialEq)]
pub struct Violation {
    /// When.
    pub at: Ns,
    /// What.
    pub kind: ViolationKind,
    /// In words: which host, which gateway, which key.
    pub what: String,
}

/// Kinds of violations.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum ViolationKind {
    /// A keyed write was applied more than once.
    AppliedTwice,
    /// A read was answered from data older than its class allows.
    StaleRead,
    /// A host that drains or is gone was sent something new.
    SentToDrained,
    /// A cold host was sent so much that it fell over.
    KnockedOver,
}

/// Most violations that are kept in words; all are counted.
const MAX_DESCRIBED_VIOLATIONS: usize = 100;

/// The audit of one run.
#[derive(Clone, Debug, Default)]
pub struct InvariantAudit {
    applied: HashMap<u64, u32>,
    commits: HashMap<u64, Ns>,
    counts: HashMap<ViolationKind, u64>,
    violations: Vec<Violation>,
}

impl InvariantAudit {
    /// A keyed write is applied.
    pub fn applied(&mut self, at: Ns, key: u64) {
        let times = self.applied.entry(key).or_insert(0);
        *times += 1;
        let times = *times;
        self.commits.entry(key).or_insert(at);
        if times == 2 {
            self.record(at, ViolationKind::AppliedTwice, || {
                format!("the write of key {key:x}")
            });
        }
    }

    /// When a write of this key was first applied.
    pub fn commit(&self, key: u64) -> Option<Ns> {
        self.commits.get(&key).copied()
    }

    /// Different writes that have been applied.
    pub fn writes(&self) -> u64 {
        self.applied.len() as u64
    }

    /// A read was answered by a host that had applied so many commits of those that it needed.
    pub fn read(&mut self, at: Ns, host: HostId, had: u64, needed: u64) {
        if had < needed {
            self.record(at, ViolationKind::StaleRead, || {
                format!("host {} had applied {had} of {needed} commits", host.0)
            });
        }
    }

    /// A gateway sent something to a host so long after it was told of its drain or end.
    pub fn sent(&mut self, at: Ns, gateway: GatewayId, host: HostId, told: Ns, grace: Ns) {
        if at > told + grace {
            self.record(at, ViolationKind::SentToDrained, || {
                let late = (at - told) as f64 / 1e6;
                format!(
                    "gateway {} sent to host {} {late:.1} ms after word of its drain",
                    gateway.0, host.0
                )
            });
        }
    }

    /// A cold host fell over.
    pub fn knocked_over(&mut self, at: Ns, host: HostId, load: f64) {
        self.record(at, ViolationKind::KnockedOver, || {
            format!("host {} at {load:.2} of what it can do", host.0)
        });
    }

    fn record(&mut self, at: Ns, kind: ViolationKind, what: impl FnOnce() -> String) {
        *self.counts.entry(kind).or_insert(0) += 1;
        if self.violations.len() < MAX_DESCRIBED_VIOLATIONS {
            self.violations.push(Violation {
                at,
                kind,
                what: what(),
            });
        }
    }

    /// How many of a kind there were.
    pub fn count(&self, kind: ViolationKind) -> u64 {
        self.counts.get(&kind).copied().unwrap_or(0)
    }

    /// The first hundred, in order.
    pub fn violations(&self) -> &[Violation] {
        &self.violations
    }
}
