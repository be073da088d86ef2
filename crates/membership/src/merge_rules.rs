//! The rules by which a row of the view changes, as pure functions. The core applies them and the model checker checks
//! them (`tests/suspicion.rs`), so the rules that are verified are the rules that run.
//!
//! Three rules differ from SWIM as published, each because of a failure that was observed (`docs/membership.md`):
//!
//! 1. **No member is declared down on a report alone.** A report that a member is down makes the receiver ping that
//!    member itself ([`UpdateOutcome::Verify`]); only its own unanswered pings lead to a verdict.
//! 2. **Only answers prove that a member is alive.** A datagram that merely arrives does not end a suspicion
//!    ([`ContactOutcome`]): otherwise a gateway that can send and not receive would stay alive for ever, and keep its
//!    leases.
//! 3. **A verdict holds for one incarnation.** The member itself, once notified, raises its incarnation, and that
//!    update outranks every older one, whoever sends it. No verdict is final.

use crate::member_update::MemberUpdate;
use crate::serial_number::{Incarnation, SerialNumber};
use crate::view::{Liveness, MemberState};
use irisrouter_cluster_types::{GatewayProcess, Generation};
use std::cmp::Ordering;

/// What to do with an update about a third member.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum UpdateOutcome {
    /// Ignore it: it is known, or older than what is known.
    Stale,
    /// Correct the sender: it reports a member down of which a later incarnation is known.
    SenderOutdated,
    /// Apply it: the row becomes what the update says.
    Apply,
    /// Suspect the member and ping it, to verify the report that it is down.
    Verify,
}

/// What a datagram from a member means for the row of that member.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum ContactOutcome {
    /// Nothing new.
    Unchanged,
    /// The member was not known, or is a later process or in a later incarnation: it is alive.
    Alive,
    /// The member is held down, or was replaced by a later process, and does not know it: it is notified, and its
    /// updates about others are not used.
    NotifySender,
}

/// What this member does on receiving an update about itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum SelfUpdateOutcome {
    /// Nothing.
    Ignore,
    /// Refute it: continue in this incarnation, and spread that.
    Refute(Incarnation),
    /// A later generation of this gateway is known to the fleet (the clock was set back between two starts): continue
    /// as this generation.
    Renew(Generation),
}

/// What a round of pings without an answer means.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum MissedRoundOutcome {
    /// The member is suspect and is pinged for another round.
    Suspect,
    /// The member is down.
    Down,
}

/// Why a member is being pinged.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum PingReason {
    /// It is the member that is pinged in this protocol period.
    Scheduled,
    /// Another member reported it down, which is to be verified.
    ReportedDown,
}

/// Compares the process and incarnation of an update with those of a row: the generation decides, then the incarnation.
fn compare_with_row(update: &MemberUpdate, row: &MemberState) -> Ordering {
    let generation = update.process.generation;
    let generation_order = generation.compare_serial(row.process.generation);
    let incarnation_order = update.incarnation.compare_serial(row.incarnation);
    generation_order.then(incarnation_order)
}

/// Decides on an update about a third member, against what is known of that member.
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

/// Decides on a datagram that member `source` sent in this incarnation, against what is known of that member.
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

/// Decides on an update about this member itself, which runs as `local` in this incarnation.
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
        // An older process that started within the same second (the generation's unit) had raised it further.
        (_, Ordering::Greater) => SelfUpdateOutcome::Refute(next_incarnation),
        _ if update.down => SelfUpdateOutcome::Refute(next_incarnation),
        _ => SelfUpdateOutcome::Ignore,
    }
}

/// Decides on a round of pings without an answer, `missed_rounds` being the number of such rounds in a row.
///
/// The first one makes the member suspect, and `suspicion_rounds` more declare it down. One is enough where another
/// member reported it down.
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
