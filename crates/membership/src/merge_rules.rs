//! The rules by which a row of the view changes, as pure functions. The core calls the same functions that the model
//! checker checks (`tests/suspicion.rs`), so the rules that are verified are the rules that run.
//!
//! Three rules differ from SWIM as published, each because of a failure that was observed (`docs/membership.md`):
//!
//! 1. **No member is declared down because of a report alone.** The receiver of a report that a member is down pings
//!    that member itself ([`UpdateOutcome::Verify`]); only the receiver's own unanswered pings lead to a verdict.
//! 2. **Only answers to pings confirm that a member is alive.** The mere arrival of a datagram does not end a suspicion
//!    ([`ContactOutcome`]). Otherwise a gateway that can send but not receive would remain alive forever and keep its
//!    leases.
//! 3. **A verdict holds for one incarnation.** A member that is notified of a verdict against it raises its
//!    incarnation, and an update with the higher incarnation outranks all older updates, regardless of the sender. No
//!    verdict is final.

use crate::member_update::MemberUpdate;
use crate::serial_number::{Incarnation, SerialNumber};
use crate::view::{Liveness, MemberState};
use irisrouter_cluster_types::{GatewayProcess, Generation};
use std::cmp::Ordering;

/// The decision on an update about another member.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum UpdateOutcome {
    /// Ignore the update: its content is already known, or is older than the row.
    Stale,
    /// Send the row to the sender: the update reports a member down, but for an older incarnation or generation than
    /// the row has.
    SenderOutdated,
    /// Apply the update: set the row to the reported state.
    Apply,
    /// Mark the member suspect and ping it, to verify the report that it is down.
    Verify,
}

/// The decision on the row of the member that sent a datagram.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum ContactOutcome {
    /// Leave the row as it is.
    Unchanged,
    /// Mark the member alive: it was unknown, or the datagram is from a later process or a later incarnation.
    Alive,
    /// Notify the member, and do not use its updates about others: according to the row the member is down or was
    /// replaced by a later process, and its datagram shows that it has not been notified of this yet.
    NotifySender,
}

/// The decision on an update that a member receives about itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum SelfUpdateOutcome {
    /// Ignore the update.
    Ignore,
    /// Refute the update: continue in this incarnation and disseminate it.
    Refute(Incarnation),
    /// Continue as this generation, because the fleet knows a later generation of this gateway than the running one.
    /// This happens if the clock was set back between two starts, or if so much time passed between them that the
    /// wrapping comparison of their generations yields the opposite order.
    Renew(Generation),
}

/// The decision on a member that did not answer a round of pings.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum MissedRoundOutcome {
    /// Mark the member suspect and ping it for another round.
    Suspect,
    /// Declare the member down.
    Down,
}

/// Why a member is being pinged.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum PingReason {
    /// The member is the one that is pinged in this protocol period.
    Scheduled,
    /// Another member reported the member down, and the report is being verified.
    ReportedDown,
}

/// Compares an update with a row by generation, and by incarnation if the generations are equal.
fn compare_with_row(update: &MemberUpdate, row: &MemberState) -> Ordering {
    let generation = update.process.generation;
    let generation_order = generation.compare_serial(row.process.generation);
    let incarnation_order = update.incarnation.compare_serial(row.incarnation);
    generation_order.then(incarnation_order)
}

/// Decides on an update about another member, given the row of that member.
#[must_use]
pub fn merge_update(row: &MemberState, update: &MemberUpdate) -> UpdateOutcome {
    if row.liveness == Liveness::Unknown {
        return if update.down {
            UpdateOutcome::Verify
        } else {
            UpdateOutcome::Apply
        };
    }
    let order = compare_with_row(update, row);
    match (order, update.down) {
        (Ordering::Less, true) => UpdateOutcome::SenderOutdated,
        (Ordering::Less, false) | (Ordering::Equal, false) => UpdateOutcome::Stale,
        (Ordering::Greater, false) => UpdateOutcome::Apply,
        (Ordering::Equal, true) if row.liveness == Liveness::Down => UpdateOutcome::Stale,
        (Ordering::Greater, true) if row.liveness == Liveness::Down => UpdateOutcome::Apply,
        (_, true) => UpdateOutcome::Verify,
    }
}

/// Decides on a datagram that `source` sent in the given incarnation, given the row of that member.
#[must_use]
pub fn merge_contact(
    row: &MemberState,
    source: GatewayProcess,
    incarnation: Incarnation,
) -> ContactOutcome {
    if row.liveness == Liveness::Unknown {
        return ContactOutcome::Alive;
    }
    let generation_order = source.generation.compare_serial(row.process.generation);
    let incarnation_order = incarnation.compare_serial(row.incarnation);
    match (generation_order, incarnation_order) {
        (Ordering::Less, _) => ContactOutcome::NotifySender,
        (Ordering::Greater, _) | (_, Ordering::Greater) => ContactOutcome::Alive,
        _ if row.liveness == Liveness::Down => ContactOutcome::NotifySender,
        _ => ContactOutcome::Unchanged,
    }
}

/// Decides on an update about this member itself, which runs as `local` in the given incarnation.
#[must_use]
pub fn merge_update_about_self(
    local: GatewayProcess,
    incarnation: Incarnation,
    update: &MemberUpdate,
) -> SelfUpdateOutcome {
    let generation_order = update.process.generation.compare_serial(local.generation);
    let incarnation_order = update.incarnation.compare_serial(incarnation);
    let next_incarnation = update.incarnation.next();
    match (generation_order, incarnation_order) {
        (Ordering::Greater, _) => SelfUpdateOutcome::Renew(update.process.generation.next()),
        (Ordering::Less, _) | (_, Ordering::Less) => SelfUpdateOutcome::Ignore,
        // A previous process with the same generation had a higher incarnation: generations count seconds, so two
        // starts within one second have the same one.
        (_, Ordering::Greater) => SelfUpdateOutcome::Refute(next_incarnation),
        _ if update.down => SelfUpdateOutcome::Refute(next_incarnation),
        _ => SelfUpdateOutcome::Ignore,
    }
}

/// Decides on a member that has not answered `missed_rounds` consecutive rounds of pings.
///
/// After the first missed round the member is suspect, and after `suspicion_rounds` more it is down. If another member
/// reported it down, it is down after one missed round.
#[must_use]
pub const fn judge_missed_round(
    missed_rounds: u32,
    reason: PingReason,
    suspicion_rounds: u32,
) -> MissedRoundOutcome {
    if matches!(reason, PingReason::ReportedDown) || missed_rounds > suspicion_rounds {
        MissedRoundOutcome::Down
    } else {
        MissedRoundOutcome::Suspect
    }
}
