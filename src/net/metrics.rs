//! What the gateway takes in, sends and answers, printed on SIGUSR1 and at exit.

use irisrouter::api::Outcome;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::fmt;

/// Counts since the start.
#[derive(Default)]
pub struct Counters {
    /// Requests taken.
    pub received: Cell<u64>,
    /// Final answers: a row of a database host.
    pub served: Cell<u64>,
    /// Of those, the long ones that did not become whole.
    pub cut_off: Cell<u64>,
    /// Final answers: trying again is harmless.
    pub refused: Cell<u64>,
    /// Final answers: nothing is promised.
    pub failed: Cell<u64>,
    /// Clients that left, or cancelled, before their answer.
    pub left: Cell<u64>,
    /// Statements that were malformed, and breaches of the protocol.
    pub malformed: Cell<u64>,
    /// Probes sent.
    pub probes: Cell<u64>,
    /// Datagrams sent to all other gateways, those of theirs that were used, and those that were not.
    pub told: Cell<u64>,
    /// Likewise.
    pub heard: Cell<u64>,
    /// Likewise.
    pub unheard: Cell<u64>,
    /// Membership: datagrams sent and taken, those refused, changes of the view, and how often this gateway was called
    /// down and refuted it.
    pub members_sent: Cell<u64>,
    /// Likewise.
    pub members_heard: Cell<u64>,
    /// Likewise.
    pub members_refused: Cell<u64>,
    /// Likewise.
    pub members_changed: Cell<u64>,
    /// Likewise.
    pub members_refuted: Cell<u64>,
    /// Duties: datagrams sent, taken and not taken, duties that became this gateway's and that it lost, tokens that a host
    /// refused.
    pub duties_sent: Cell<u64>,
    /// Likewise.
    pub duties_heard: Cell<u64>,
    /// Likewise.
    pub duties_refused: Cell<u64>,
    /// Likewise.
    pub duties_taken: Cell<u64>,
    /// Likewise.
    pub duties_lost: Cell<u64>,
    /// Likewise.
    pub duties_fenced: Cell<u64>,
    /// Writes in hand: datagrams sent, writes noted before they left and those that could not be, repeats that may have
    /// run, that were never sent, and of which nothing could be proven.
    pub writes_sent: Cell<u64>,
    /// Likewise.
    pub writes_noted: Cell<u64>,
    /// Likewise.
    pub writes_not_noted: Cell<u64>,
    /// Likewise.
    pub writes_known: Cell<u64>,
    /// Likewise.
    pub writes_unsent: Cell<u64>,
    /// Likewise.
    pub writes_unproven: Cell<u64>,
    /// Drains: datagrams sent, and drains that this gateway saw through.
    pub drains_sent: Cell<u64>,
    /// Likewise.
    pub drains_done: Cell<u64>,
    /// The fleet's watch of the list: beats sent, and calls made for news that a beat told of.
    pub list_beats: Cell<u64>,
    /// Likewise.
    pub list_fetches: Cell<u64>,
    /// Plans for lost sites: tallies and plans sent, plans made here, and heard.
    pub plans_sent: Cell<u64>,
    /// Likewise.
    pub plans_made: Cell<u64>,
    /// Likewise.
    pub plans_heard: Cell<u64>,
    /// Connections to database hosts that came up.
    pub opened: Cell<u64>,
    /// Connections of clients.
    pub accepted: Cell<u64>,
    /// Of those, the ones that were told that there are too many.
    pub turned_away: Cell<u64>,
    /// And the quiet ones that were closed to make room.
    pub made_room: Cell<u64>,
    attempts: RefCell<BTreeMap<&'static str, u64>>,
}

/// One more.
pub fn count(counter: &Cell<u64>) {
    counter.set(counter.get() + 1);
}

impl Counters {
    /// An attempt ended.
    pub fn attempt(&self, outcome: Outcome) {
        let name = match outcome {
            Outcome::Ok => "ok",
            Outcome::Error => "error",
            Outcome::Full => "full",
            Outcome::TimedOut => "timed_out",
            Outcome::ConnectFailed => "connect_failed",
            Outcome::Reset => "reset",
            Outcome::Cancelled => "cancelled",
            Outcome::Moot => "moot",
            Outcome::Miss => "miss",
        };
        *self.attempts.borrow_mut().entry(name).or_default() += 1;
    }
}

impl fmt::Display for Counters {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let named = [
            ("received", &self.received),
            ("served", &self.served),
            ("cut_off", &self.cut_off),
            ("refused", &self.refused),
            ("failed", &self.failed),
            ("left", &self.left),
            ("malformed", &self.malformed),
            ("probes", &self.probes),
            ("told", &self.told),
            ("heard", &self.heard),
            ("unheard", &self.unheard),
            ("opened", &self.opened),
            ("accepted", &self.accepted),
            ("turned_away", &self.turned_away),
            ("made_room", &self.made_room),
        ];
        write!(f, "counters")?;
        named
            .iter()
            .try_for_each(|(name, value)| write!(f, " {name}={}", value.get()))?;
        self.attempts
            .borrow()
            .iter()
            .try_for_each(|(name, n)| write!(f, " attempt_{name}={n}"))?;
        // Membership's counters appear where it is on, and the line stays as it was where it is off.
        let members = [
            ("members_sent", &self.members_sent),
            ("members_heard", &self.members_heard),
            ("members_refused", &self.members_refused),
            ("members_changed", &self.members_changed),
            ("members_refuted", &self.members_refuted),
            ("duties_sent", &self.duties_sent),
            ("duties_heard", &self.duties_heard),
            ("duties_refused", &self.duties_refused),
            ("duties_taken", &self.duties_taken),
            ("duties_lost", &self.duties_lost),
            ("duties_fenced", &self.duties_fenced),
            ("writes_sent", &self.writes_sent),
            ("writes_noted", &self.writes_noted),
            ("writes_not_noted", &self.writes_not_noted),
            ("writes_known", &self.writes_known),
            ("writes_unsent", &self.writes_unsent),
            ("writes_unproven", &self.writes_unproven),
            ("drains_sent", &self.drains_sent),
            ("drains_done", &self.drains_done),
            ("list_beats", &self.list_beats),
            ("list_fetches", &self.list_fetches),
            ("plans_sent", &self.plans_sent),
            ("plans_made", &self.plans_made),
            ("plans_heard", &self.plans_heard),
        ];
        if members.iter().all(|(_, v)| v.get() == 0) {
            return Ok(());
        }
        members
            .iter()
            .try_for_each(|(name, value)| write!(f, " {name}={}", value.get()))
    }
}
