//! A digest of all decisions of the members of a simulated fleet.
//!
//! The digest covers, in order, the bytes of each datagram, each change of a view, each refutation and renewal, and the
//! time at which each member next has work. If two versions of the core yield the same digest for the same run, they
//! made the same decisions throughout it, with the same random numbers drawn in the same order.

use irisrouter_cluster_types::{GatewayId, GatewayProcess, Timestamp};
use irisrouter_membership::{Action, LivenessChange, MemberState, Membership};

const FNV_OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0100_0000_01b3;

const TAG_SEND: u8 = 0;
const TAG_CHANGED: u8 = 1;
const TAG_REFUTED: u8 = 2;
const TAG_RENEWED: u8 = 3;

/// A 64-bit FNV-1a digest.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct DecisionDigest(u64);

impl Default for DecisionDigest {
    fn default() -> Self {
        Self(FNV_OFFSET_BASIS)
    }
}

impl DecisionDigest {
    /// Returns the digest as a number.
    #[must_use]
    pub const fn value(self) -> u64 {
        self.0
    }

    fn add(&mut self, bytes: &[u8]) {
        for &byte in bytes {
            self.0 = (self.0 ^ u64::from(byte)).wrapping_mul(FNV_PRIME);
        }
    }

    /// Adds the actions of one call of a member at time `now`, and the time at which it next has work.
    pub(crate) fn add_call(
        &mut self,
        now: Timestamp,
        member: GatewayId,
        next_due: Timestamp,
        actions: &[Action],
    ) {
        let header = [
            now.as_millis(),
            u64::from(member.0),
            next_due.as_millis(),
            actions.len() as u64,
        ];
        for value in header {
            self.add(&value.to_be_bytes());
        }
        for action in actions {
            self.add_action(action);
        }
    }

    fn add_action(&mut self, action: &Action) {
        match action {
            Action::Send { to, bytes } => {
                self.add(&[TAG_SEND]);
                self.add(&to.0.to_be_bytes());
                self.add(&[bytes.len() as u8]);
                self.add(bytes);
            }
            Action::Changed(change) => self.add_change(change),
            Action::Refuted(incarnation) => {
                self.add(&[TAG_REFUTED]);
                self.add(&incarnation.0.to_be_bytes());
            }
            Action::Renewed(process) => {
                self.add(&[TAG_RENEWED]);
                self.add_process(*process);
            }
        }
    }

    fn add_change(&mut self, change: &LivenessChange) {
        self.add(&[TAG_CHANGED, change.from as u8, change.to as u8]);
        self.add_process(change.process);
        self.add(&change.incarnation.0.to_be_bytes());
        self.add(&change.at.as_millis().to_be_bytes());
    }

    fn add_process(&mut self, process: GatewayProcess) {
        self.add(&process.gateway.0.to_be_bytes());
        self.add(&process.generation.0.to_be_bytes());
    }

    /// Adds the view of a member and its estimate of the side of a partition that it is on.
    pub(crate) fn add_view(&mut self, member: GatewayId, core: &Membership) {
        let side = core.partition_side();
        let counts = [
            member.0,
            side.reachable,
            side.fleet_size,
            side.answered_pings,
            side.recent_pings,
        ];
        for count in counts {
            self.add(&count.to_be_bytes());
        }
        self.add(&[u8::from(side.has_majority()), u8::from(side.is_alone())]);
        for row in core.view().members() {
            self.add_row(row);
        }
    }

    fn add_row(&mut self, row: &MemberState) {
        let last_received = row.last_received.unwrap_or(Timestamp::MAX);
        self.add(&[row.liveness as u8]);
        self.add(&row.process.generation.0.to_be_bytes());
        self.add(&row.incarnation.0.to_be_bytes());
        self.add(&row.since.as_millis().to_be_bytes());
        self.add(&last_received.as_millis().to_be_bytes());
    }

    pub(crate) fn add_count(&mut self, count: u64) {
        self.add(&count.to_be_bytes());
    }
}
