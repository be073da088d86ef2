//! The audit of the invariants: counts violations from the true state of the model, not from what gateways or hosts
//! report.

use crate::{GatewayId, HostId, Ns};
use std::collections::HashMap;

/// A violation of an invariant.
#[derive(Clone, Debug, PartialEq)]
pub struct Violation {
    /// Time of the violation.
    pub at: Ns,
    /// Invariant that was violated.
    pub kind: ViolationKind,
    /// Description, with the host, gateway or key.
    pub what: String,
}

/// Kinds of violations.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum ViolationKind {
    /// A keyed write was applied more than once.
    AppliedTwice,
    /// A read was answered from data older than its class allows.
    StaleRead,
    /// A gateway sent a new query to a host that drains or is gone, after the grace period.
    SentToDrained,
    /// A cold host was sent so much work that its process died.
    KnockedOver,
}

/// Maximum number of violations that are kept with a description. All violations are counted.
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
    /// Records that a keyed write was applied.
    pub fn record_applied(&mut self, at: Ns, key: u64) {
        let times = self.applied.entry(key).or_insert(0);
        *times += 1;
        let times = *times;
        self.commits.entry(key).or_insert(at);
        if times == 2 {
            self.record(at, ViolationKind::AppliedTwice, || {
                format!("the write with key {key:x} was applied twice")
            });
        }
    }

    /// Returns the time at which a write with this key was first applied.
    pub fn commit(&self, key: u64) -> Option<Ns> {
        self.commits.get(&key).copied()
    }

    /// Returns the number of distinct keyed writes that have been applied.
    pub fn writes(&self) -> u64 {
        self.applied.len() as u64
    }

    /// Records that a host answered a read. `applied` is the number of commits that it had applied, `needed` the number
    /// that the read needed.
    pub fn record_read(&mut self, at: Ns, host: HostId, applied: u64, needed: u64) {
        if applied < needed {
            self.record(at, ViolationKind::StaleRead, || {
                format!("host {} had applied {applied} of {needed} commits", host.0)
            });
        }
    }

    /// Records that a gateway sent a query at `at` to a host of whose drain or end it was notified at `notified_at`. It
    /// is a violation if more than `grace` lies between the two.
    pub fn record_sent(
        &mut self,
        at: Ns,
        gateway: GatewayId,
        host: HostId,
        notified_at: Ns,
        grace: Ns,
    ) {
        if at > notified_at + grace {
            self.record(at, ViolationKind::SentToDrained, || {
                let late = (at - notified_at) as f64 / 1e6;
                format!(
                    "gateway {} sent to host {} {late:.1} ms after the notification of its drain or end",
                    gateway.0, host.0
                )
            });
        }
    }

    /// Records that a cold host died of overload.
    pub fn record_overload(&mut self, at: Ns, host: HostId, load: f64) {
        self.record(at, ViolationKind::KnockedOver, || {
            format!("host {} was offered {load:.2} times its capacity", host.0)
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

    /// Returns the number of violations of a kind.
    pub fn count(&self, kind: ViolationKind) -> u64 {
        self.counts.get(&kind).copied().unwrap_or(0)
    }

    /// Returns the first 100 violations, in order.
    pub fn violations(&self) -> &[Violation] {
        &self.violations
    }
}
