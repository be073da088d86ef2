//! Which gateway starts the next round of health checks of a group, and when.
//!
//! For each group the gateways have a fixed order, by rendezvous hashing. The gateway that ran the
//! last round runs the next one, a period later. The others stand by: each of them takes over at
//! its own time, one `STANDBY_INTERVAL` after the gateway before it in the group's order. So
//!
//! - a group is checked once a period, however many gateways there are;
//! - a gateway that dies is replaced after one interval for each dead gateway that stands before
//!   the next living one;
//! - no gateway has to know which others are alive.
//!
//! Where results do not get through, each side runs rounds of its own: loss of messages leads to
//! more health checks, never to none.

use crate::{Nanoseconds, UnixNanoseconds};
use irisrouter_cluster_types::GatewayId;
use std::collections::{BTreeMap, BTreeSet, HashSet};

/// Time between two rounds of a group: short enough that results are younger than the age that
/// reads allow.
const ROUND_PERIOD: Nanoseconds = Nanoseconds::from_millis(200);
/// Time between two gateways that stand by: long enough for a health check on a new connection and
/// the way of its result.
const STANDBY_INTERVAL: Nanoseconds = Nanoseconds::from_millis(60);

/// The latest round of health checks of one group.
struct HealthCheckRound {
    /// When it started, or a period before the group was first seen.
    started_at: UnixNanoseconds,
    /// The gateway that ran it; none before the first round.
    gateway: Option<GatewayId>,
    /// How many gateways stand before this one in the group's order.
    local_rank: i64,
}

impl HealthCheckRound {
    /// When the next round is due, whoever runs it.
    fn next_due(&self) -> UnixNanoseconds {
        self.started_at + ROUND_PERIOD
    }

    /// When the next round is due at this gateway if no other gateway starts one before.
    fn next_due_at(&self, local_gateway: GatewayId) -> UnixNanoseconds {
        let standby_rank = match self.gateway {
            Some(gateway) if gateway == local_gateway => 0,
            Some(_) => 1 + self.local_rank,
            None => self.local_rank,
        };
        self.next_due() + standby_rank * STANDBY_INTERVAL
    }
}

/// When the next round of a group is due. Rounds are ordered by time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct DueRound {
    due: UnixNanoseconds,
    group: i64,
}

/// The schedule of one gateway. Groups are given by their numbers.
///
/// The rounds are kept in the order in which they are due: a result of one group takes no walk over
/// all groups.
pub struct HealthCheckSchedule {
    local_gateway: GatewayId,
    gateway_count: u32,
    rounds: BTreeMap<i64, HealthCheckRound>,
    /// When each group is due, whoever runs its round.
    due: BTreeSet<DueRound>,
    /// When each group is due at this gateway if no other gateway starts a round before.
    due_here: BTreeSet<DueRound>,
}

impl HealthCheckSchedule {
    /// The schedule of gateway `local_gateway` in a fleet of `gateway_count` gateways, without
    /// groups.
    pub fn new(local_gateway: GatewayId, gateway_count: u32) -> Self {
        HealthCheckSchedule {
            local_gateway,
            gateway_count,
            rounds: BTreeMap::new(),
            due: BTreeSet::new(),
            due_here: BTreeSet::new(),
        }
    }

    /// Replaces the groups. A new group is due at once for the first gateway in its order.
    pub fn update_groups(&mut self, now: UnixNanoseconds, groups: &[i64]) {
        let wanted: HashSet<i64> = groups.iter().copied().collect();
        let known = self.rounds.keys().copied();
        let removed: Vec<i64> = known.filter(|group| !wanted.contains(group)).collect();
        for group in removed {
            self.remove(group);
        }
        for group in wanted {
            if !self.rounds.contains_key(&group) {
                let round = HealthCheckRound {
                    started_at: now - ROUND_PERIOD,
                    gateway: None,
                    local_rank: rank(group, self.local_gateway, self.gateway_count),
                };
                self.insert(group, round);
            }
        }
    }

    fn insert(&mut self, group: i64, round: HealthCheckRound) {
        let due = round.next_due();
        let due_here = round.next_due_at(self.local_gateway);
        self.due.insert(DueRound { due, group });
        self.due_here.insert(DueRound {
            due: due_here,
            group,
        });
        self.rounds.insert(group, round);
    }

    fn remove(&mut self, group: i64) -> Option<HealthCheckRound> {
        let round = self.rounds.remove(&group)?;
        let due = round.next_due();
        let due_here = round.next_due_at(self.local_gateway);
        self.due.remove(&DueRound { due, group });
        self.due_here.remove(&DueRound {
            due: due_here,
            group,
        });
        Some(round)
    }

    /// Records that a gateway started a round. A round that is not later than the last one is
    /// ignored.
    pub fn record_round(&mut self, group: i64, gateway: GatewayId, started_at: UnixNanoseconds) {
        let round = self.rounds.get(&group);
        if round.is_none_or(|round| round.started_at >= started_at) {
            return;
        }
        if let Some(round) = self.remove(group) {
            let round = HealthCheckRound {
                started_at,
                gateway: Some(gateway),
                ..round
            };
            self.insert(group, round);
        }
    }

    /// Starts the rounds that are due at this gateway, and returns their groups.
    pub fn start_due_rounds(&mut self, now: UnixNanoseconds) -> Vec<i64> {
        let due = due_by(&self.due_here, now).collect();
        self.start_rounds(now, due)
    }

    /// Starts the rounds that are due of the groups whose lease this gateway holds, and returns
    /// those groups. Under a lease a round is due each period, whichever gateway ran the last one.
    pub fn start_due_leased_rounds(
        &mut self,
        now: UnixNanoseconds,
        holds_lease: impl Fn(i64) -> bool,
    ) -> Vec<i64> {
        let due = due_by(&self.due, now);
        let held = due.filter(|&group| holds_lease(group)).collect();
        self.start_rounds(now, held)
    }

    /// Starts the rounds of these groups, and returns the groups in ascending order.
    fn start_rounds(&mut self, now: UnixNanoseconds, mut groups: Vec<i64>) -> Vec<i64> {
        groups.sort_unstable();
        for &group in &groups {
            self.record_round(group, self.local_gateway, now);
        }
        groups
    }

    /// When this gateway's next round is due, if no other gateway starts one before.
    pub fn next_due(&self) -> Option<UnixNanoseconds> {
        self.due_here.first().map(|round| round.due)
    }

    /// When the next round is due of the groups whose lease this gateway holds.
    pub fn next_leased_due(&self, holds_lease: impl Fn(i64) -> bool) -> Option<UnixNanoseconds> {
        let mut rounds = self.due.iter();
        let next = rounds.find(|round| holds_lease(round.group));
        next.map(|round| round.due)
    }
}

/// The groups of the rounds that are due by `now`.
fn due_by(rounds: &BTreeSet<DueRound>, now: UnixNanoseconds) -> impl Iterator<Item = i64> + '_ {
    let due = rounds.iter().take_while(move |round| round.due <= now);
    due.map(|round| round.group)
}

/// How many gateways stand before this one in the order of a group: those of greater weight.
fn rank(group: i64, local_gateway: GatewayId, gateway_count: u32) -> i64 {
    let local_weight = weight(group, local_gateway);
    (0..gateway_count)
        .map(GatewayId)
        .filter(|&gateway| gateway != local_gateway && weight(group, gateway) > local_weight)
        .count() as i64
}

/// The weight of a gateway for a group, by the mixing function of splitmix64. It is the same at
/// every gateway.
fn weight(group: i64, gateway: GatewayId) -> u64 {
    let mut hash = (group as u64).wrapping_mul(0x9e37_79b9_7f4a_7c15)
        ^ (u64::from(gateway.0) + 1).rotate_left(32);
    hash = (hash ^ (hash >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    hash = (hash ^ (hash >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    hash ^ (hash >> 31)
}
