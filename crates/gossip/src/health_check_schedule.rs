//! Schedule that decides which gateway starts the next round of health checks of a group, and when.
//!
//! For each group, rendezvous hashing gives the gateways a fixed order. The gateway that ran the
//! last round runs the next one, a period later. The others are on standby: each has a due time
//! that is one `STANDBY_INTERVAL` after that of the preceding gateway in the group's order, and
//! starts the round if no other gateway has started it by then. Therefore:
//!
//! - a group is checked once a period, however many gateways there are;
//! - a failed gateway is replaced after one interval for each failed gateway that precedes the
//!   first live gateway in the order;
//! - no gateway needs to know which others are alive.
//!
//! If results are not delivered between two gateways, each runs rounds of its own: message loss
//! leads to more health checks, and never leaves a group unchecked.

use crate::{Nanoseconds, UnixNanoseconds};
use irisrouter_cluster_types::GatewayId;
use std::collections::{BTreeMap, BTreeSet, HashSet};

/// Time between two rounds of a group: short enough that results do not exceed the maximum age that
/// reads allow.
const ROUND_PERIOD: Nanoseconds = Nanoseconds::from_millis(200);
/// Time between the due times of two consecutive standby gateways: long enough for a health check
/// on a new connection and the delivery of its result.
const STANDBY_INTERVAL: Nanoseconds = Nanoseconds::from_millis(60);

/// The latest round of health checks of one group.
struct HealthCheckRound {
    /// When the round started; before the first round, one period before the group was added.
    started_at: UnixNanoseconds,
    /// The gateway that ran the round; `None` before the first round.
    gateway: Option<GatewayId>,
    /// Number of gateways that precede this one in the group's order.
    local_rank: i64,
}

impl HealthCheckRound {
    /// Returns when the next round is due, regardless of which gateway runs it.
    fn next_due(&self) -> UnixNanoseconds {
        self.started_at + ROUND_PERIOD
    }

    /// Returns when this gateway starts the next round, unless another gateway starts one earlier.
    fn next_local_due(&self, local_gateway: GatewayId) -> UnixNanoseconds {
        let standby_rank = match self.gateway {
            Some(gateway) if gateway == local_gateway => 0,
            Some(_) => 1 + self.local_rank,
            None => self.local_rank,
        };
        self.next_due() + standby_rank * STANDBY_INTERVAL
    }
}

/// The due time of the next round of a group. Ordered by due time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct DueRound {
    due: UnixNanoseconds,
    group: i64,
}

/// The schedule of one gateway. Groups are identified by number.
///
/// The rounds are sorted by due time, so that recording a round and finding the rounds that are due
/// do not iterate over all groups.
pub struct HealthCheckSchedule {
    local_gateway: GatewayId,
    gateway_count: u32,
    rounds: BTreeMap<i64, HealthCheckRound>,
    /// When the next round of each group is due, regardless of which gateway runs it.
    due: BTreeSet<DueRound>,
    /// When this gateway starts the next round of each group, unless another gateway starts one
    /// earlier.
    local_due: BTreeSet<DueRound>,
}

impl HealthCheckSchedule {
    /// Creates the schedule of gateway `local_gateway` in a fleet of `gateway_count` gateways,
    /// without groups.
    pub fn new(local_gateway: GatewayId, gateway_count: u32) -> Self {
        HealthCheckSchedule {
            local_gateway,
            gateway_count,
            rounds: BTreeMap::new(),
            due: BTreeSet::new(),
            local_due: BTreeSet::new(),
        }
    }

    /// Replaces the list of groups. The first round of a new group is due immediately at the first
    /// gateway in the group's order.
    pub fn update_groups(&mut self, now: UnixNanoseconds, groups: &[i64]) {
        let new_groups: HashSet<i64> = groups.iter().copied().collect();
        let previous_groups = self.rounds.keys().copied();
        let removed: Vec<i64> = previous_groups
            .filter(|group| !new_groups.contains(group))
            .collect();
        for group in removed {
            self.remove(group);
        }
        for group in new_groups {
            if !self.rounds.contains_key(&group) {
                let round = HealthCheckRound {
                    started_at: now - ROUND_PERIOD,
                    gateway: None,
                    local_rank: order_rank(group, self.local_gateway, self.gateway_count),
                };
                self.insert(group, round);
            }
        }
    }

    fn insert(&mut self, group: i64, round: HealthCheckRound) {
        let due = round.next_due();
        let local_due = round.next_local_due(self.local_gateway);
        self.due.insert(DueRound { due, group });
        self.local_due.insert(DueRound {
            due: local_due,
            group,
        });
        self.rounds.insert(group, round);
    }

    fn remove(&mut self, group: i64) -> Option<HealthCheckRound> {
        let round = self.rounds.remove(&group)?;
        let due = round.next_due();
        let local_due = round.next_local_due(self.local_gateway);
        self.due.remove(&DueRound { due, group });
        self.local_due.remove(&DueRound {
            due: local_due,
            group,
        });
        Some(round)
    }

    /// Records that a gateway started a round. A round that did not start after the latest known
    /// one is ignored.
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

    /// Records that this gateway starts all rounds that are due at it, and returns their groups.
    pub fn start_due_rounds(&mut self, now: UnixNanoseconds) -> Vec<i64> {
        let due = due_by(&self.local_due, now).collect();
        self.start_rounds(now, due)
    }

    /// Records that this gateway starts all due rounds of the groups whose leases it holds, and
    /// returns those groups. Under a lease a round is due every period, regardless of which gateway
    /// ran the last one.
    pub fn start_due_leased_rounds(
        &mut self,
        now: UnixNanoseconds,
        is_lease_held: impl Fn(i64) -> bool,
    ) -> Vec<i64> {
        let due = due_by(&self.due, now);
        let leased = due.filter(|&group| is_lease_held(group)).collect();
        self.start_rounds(now, leased)
    }

    /// Records that this gateway starts rounds of these groups, and returns the groups in ascending
    /// order.
    fn start_rounds(&mut self, now: UnixNanoseconds, mut groups: Vec<i64>) -> Vec<i64> {
        groups.sort_unstable();
        for &group in &groups {
            self.record_round(group, self.local_gateway, now);
        }
        groups
    }

    /// Returns when this gateway starts its next round, unless another gateway starts one earlier.
    pub fn next_due(&self) -> Option<UnixNanoseconds> {
        self.local_due.first().map(|round| round.due)
    }

    /// Returns when the next round is due among the groups whose leases this gateway holds.
    pub fn next_leased_due(&self, is_lease_held: impl Fn(i64) -> bool) -> Option<UnixNanoseconds> {
        let mut rounds = self.due.iter();
        let next = rounds.find(|round| is_lease_held(round.group));
        next.map(|round| round.due)
    }
}

/// Returns the groups whose rounds are due by `now`.
fn due_by(rounds: &BTreeSet<DueRound>, now: UnixNanoseconds) -> impl Iterator<Item = i64> + '_ {
    let due = rounds.iter().take_while(move |round| round.due <= now);
    due.map(|round| round.group)
}

/// Returns the number of gateways that precede this one in the order of a group, which are those of
/// greater weight.
fn order_rank(group: i64, local_gateway: GatewayId, gateway_count: u32) -> i64 {
    let local_weight = weight(group, local_gateway);
    (0..gateway_count)
        .map(GatewayId)
        .filter(|&gateway| gateway != local_gateway && weight(group, gateway) > local_weight)
        .count() as i64
}

/// Returns the weight of a gateway for a group, computed by the mixing function of splitmix64. The
/// result is the same at every gateway.
fn weight(group: i64, gateway: GatewayId) -> u64 {
    let mut hash = (group as u64).wrapping_mul(0x9e37_79b9_7f4a_7c15)
        ^ (u64::from(gateway.0) + 1).rotate_left(32);
    hash = (hash ^ (hash >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    hash = (hash ^ (hash >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    hash ^ (hash >> 31)
}
