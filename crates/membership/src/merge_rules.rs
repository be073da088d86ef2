//! The rules by which a row of the view changes, as pure functions. The core applies them and the model checker checks
//! them (`tests/suspicion.rs`), so what is proven is what runs.
//!
//! Three rules differ from SWIM as published, each for a failure that was seen (`docs/membership.md`):
//!
//! 1. **Nobody is held down on hearsay.** Word of a death makes a member ask for itself ([`Heard::Ask`]); only its own
//!    unanswered asks are a verdict.
//! 2. **Only answers prove life.** A datagram that merely arrives clears no suspicion ([`Met`]): a gateway that sends and
//!    can't hear would otherwise stay alive for ever, and its duties with it.
//! 3. **A verdict holds for one incarnation.** The member itself, once told, raises its incarnation, and that word
//!    outranks every older one, whoever says it. No verdict is final.

use crate::node::{serial, Node};
use crate::view::{Liveness, Seen};
use std::cmp::Ordering;

/// What one member says of another.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Word {
    /// Of whom, and of which process.
    pub node: Node,
    /// In which of its incarnations.
    pub incarnation: u16,
    /// It is down; else alive.
    pub down: bool,
}

/// What to do with a word heard from a third.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Heard {
    /// It is known, or older than what is known.
    Old,
    /// It says that a member is down of which something later is known: the teller is behind and is told.
    Behind,
    /// The row becomes what the word says.
    Take,
    /// The row is in doubt until the member itself has been asked.
    Ask,
}

/// What a datagram of a member's own means for its row.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Met {
    /// Nothing new.
    Same,
    /// A member not known, a later process, or a later incarnation: it is alive.
    Alive,
    /// It is held down, or replaced by a later process, and does not know it: it is told, and what it says of others
    /// is not used.
    Tell,
}

/// What a member does on hearing of itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum OfMe {
    /// Nothing.
    Nothing,
    /// It goes on in this incarnation, and says so.
    Refute(u16),
    /// A later process is taken for this one (a clock set back between two starts): it goes on as this generation.
    Renew(u16),
}

/// What an ask without an answer means.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Missed {
    /// The member is suspect (if it was not), and is asked again.
    Again,
    /// It is down.
    Down,
}

fn later(node: Node, incarnation: u16, row: &Seen) -> Ordering {
    serial(node.generation, row.generation).then(serial(incarnation, row.incarnation))
}

/// A word about a member heard from a third, against what is known of that member.
#[must_use]
pub fn hear(row: &Seen, word: &Word) -> Heard {
    if row.liveness == Liveness::Unknown {
        return if word.down { Heard::Ask } else { Heard::Take };
    }
    match (later(word.node, word.incarnation, row), word.down) {
        (Ordering::Less, true) => Heard::Behind,
        (Ordering::Less, false) | (Ordering::Equal, false) => Heard::Old,
        (Ordering::Greater, false) => Heard::Take,
        (Ordering::Equal, true) if row.liveness == Liveness::Down => Heard::Old,
        (Ordering::Greater, true) if row.liveness == Liveness::Down => Heard::Take,
        (_, true) => Heard::Ask,
    }
}

/// A datagram from member `src` itself in this incarnation, against what is known of it.
#[must_use]
pub fn meet(row: &Seen, src: Node, incarnation: u16) -> Met {
    if row.liveness == Liveness::Unknown {
        return Met::Alive;
    }
    match (
        serial(src.generation, row.generation),
        serial(incarnation, row.incarnation),
    ) {
        (Ordering::Less, _) => Met::Tell,
        (Ordering::Greater, _) | (_, Ordering::Greater) => Met::Alive,
        _ if row.liveness == Liveness::Down => Met::Tell,
        _ => Met::Same,
    }
}

/// A word about this member itself.
#[must_use]
pub fn of_me(me: Node, incarnation: u16, word: &Word) -> OfMe {
    let (process, incarnations) = (
        serial(word.node.generation, me.generation),
        serial(word.incarnation, incarnation),
    );
    match (process, incarnations) {
        (Ordering::Greater, _) => OfMe::Renew(word.node.generation.wrapping_add(1)),
        (Ordering::Less, _) | (_, Ordering::Less) => OfMe::Nothing,
        // An older process of the same second (the generation's unit) had come further.
        (_, Ordering::Greater) => OfMe::Refute(word.incarnation.wrapping_add(1)),
        _ if word.down => OfMe::Refute(word.incarnation.wrapping_add(1)),
        _ => OfMe::Nothing,
    }
}

/// The `missed`th ask in a row without an answer; `told` where others said that the member is down. The first one
/// makes it suspect, and `rounds` more make a verdict; one is enough to confirm what others found.
#[must_use]
pub const fn miss(missed: u32, told: bool, rounds: u32) -> Missed {
    if told || missed > rounds {
        Missed::Down
    } else {
        Missed::Again
    }
}
