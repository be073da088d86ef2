//! Who asks which set when.
//!
//! For each set, the gateways have an order of their own (rendezvous hashing). Whoever was heard last on a set is its
//! asker and asks again after one period; the others stand by, each in turn a step later than the one before. So a set is
//! asked once a period however many gateways there are, an asker that dies is replaced within a step for each dead gateway
//! that stands before the next living one, and nobody has to know who lives. Where word does not get through, each side
//! asks for itself: doubt costs a second probe, never none.

use std::collections::BTreeMap;

/// How often a set is asked: often enough that what is known is of use for the age that reads allow.
const PERIOD: i64 = 200_000_000;
/// Between two gateways that stand by: a probe with a new connection, and the way of a datagram.
const STEP: i64 = 60_000_000;

/// Where one set stands.
struct HealthCheckRound {
    /// When it was last asked by anybody, or came up.
    asked: i64,
    /// By whom; none before anybody was heard.
    asker: Option<u32>,
    /// This gateway's place in the set's order.
    place: i64,
}

/// The duties of one gateway. Times are nanoseconds.
pub struct HealthCheckSchedule {
    me: u32,
    gateways: u32,
    sets: BTreeMap<i64, HealthCheckRound>,
}

/// The weight of a gateway for a set (splitmix64's mix): the same everywhere.
fn weight(set: i64, gateway: u32) -> u64 {
    let mut x =
        (set as u64).wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ (u64::from(gateway) + 1).rotate_left(32);
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}

impl HealthCheckSchedule {
    /// Gateway `me` of so many.
    pub fn new(me: u32, gateways: u32) -> Self {
        HealthCheckSchedule {
            me,
            gateways,
            sets: BTreeMap::new(),
        }
    }

    /// The sets that there are now. A new one is due at once for the first in its order.
    pub fn sets(&mut self, now: i64, sets: &[i64]) {
        self.sets.retain(|set, _| sets.contains(set));
        let (me, gateways) = (self.me, self.gateways);
        for &set in sets {
            // The order is worked out once a set: this is called at each datagram.
            self.sets.entry(set).or_insert_with(|| {
                let own = weight(set, me);
                let before = |g: &u32| *g != me && weight(set, *g) > own;
                let place = (0..gateways).filter(before).count() as i64;
                HealthCheckRound {
                    asked: now - PERIOD,
                    asker: None,
                    place,
                }
            });
        }
    }

    /// A gateway has asked a set.
    pub fn heard(&mut self, set: i64, by: u32, at: i64) {
        if let Some(round) = self.sets.get_mut(&set).filter(|r| r.asked < at) {
            round.asked = at;
            round.asker = Some(by);
        }
    }

    /// The sets to be asked now. They count as asked by this gateway.
    pub fn due(&mut self, now: i64) -> Vec<i64> {
        let me = self.me;
        let due: Vec<i64> = self
            .sets
            .iter()
            .filter(|(_, r)| at(r, me) <= now)
            .map(|(&set, _)| set)
            .collect();
        due.iter().for_each(|&set| self.heard(set, me, now));
        due
    }

    /// The sets to be asked now, of those that this gateway owns under a lease: one round each period, whoever else was
    /// heard. They count as asked by this gateway.
    pub fn due_of(&mut self, now: i64, owns: impl Fn(i64) -> bool) -> Vec<i64> {
        let due = |r: &HealthCheckRound| r.asked + PERIOD <= now;
        let due: Vec<i64> = self
            .sets
            .iter()
            .filter(|(&set, r)| due(r) && owns(set))
            .map(|(&set, _)| set)
            .collect();
        due.iter().for_each(|&set| self.heard(set, self.me, now));
        due
    }

    /// When the next of those is due.
    pub fn next_of(&self, owns: impl Fn(i64) -> bool) -> Option<i64> {
        self.sets
            .iter()
            .filter(|(&set, _)| owns(set))
            .map(|(_, r)| r.asked + PERIOD)
            .min()
    }

    /// When the next one is due, if nobody else is heard before.
    pub fn next(&self) -> Option<i64> {
        self.sets.values().map(|r| at(r, self.me)).min()
    }
}

fn at(round: &HealthCheckRound, me: u32) -> i64 {
    let turn = match round.asker {
        Some(asker) if asker == me => 0,
        Some(_) => 1 + round.place,
        None => round.place,
    };
    round.asked + PERIOD + turn * STEP
}
