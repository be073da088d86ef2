//! What a fleet of gateways sends one cold member, added up over all of them, against the budget
//! that the settings give that member. No gateway knows what the others send.

mod router_harness;

use irisrouter::routing::{
    Action, Endpoint, EndpointState, MemberId, Outcome, RequestId, Role, SafetyRules, Settings,
    StalenessCheck, TimeDelta, Timestamp,
};
use router_harness::{
    endpoint, settings, RouterHarness, BOUNDED_READ, KEYED_WRITE, MILLISECOND, SECOND,
};
use std::collections::BTreeMap;

const MEMBERS: u32 = 6;
/// The cold member, where there is one.
const COLD: u32 = 5;
/// Requests that a warm member can serve in a second.
const CAPACITY_PER_SECOND: f64 = 100.0;
/// Requests that it serves at the same time.
const CONCURRENCY: f64 = 6.0;
/// Share of writes among the requests.
const WRITE_SHARE: f64 = 0.1;
/// How often clients come on average in a release, as they retry.
const TRIES_IN_A_RELEASE: f64 = 2.6;
/// Time that is simulated.
const DURATION: TimeDelta = TimeDelta::from_secs(8);

/// What else happens.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Situation {
    /// The cold member answers as quickly as it can.
    Serves,
    /// It is behind, and rejects reads at once: each of these counts, too.
    Behind,
    /// It serves, while two of the other members have fallen silent.
    OthersSilent,
    /// Three members are left, all of them cold and one of them the new primary. The three that
    /// were drained are removed already. Replicas are behind. Clients retry again and again.
    Release,
}

impl Situation {
    /// The members with this number and above are cold.
    fn first_cold(self) -> u32 {
        if self == Situation::Release {
            3
        } else {
            COLD
        }
    }

    fn primary(self) -> u32 {
        if self == Situation::Release {
            3
        } else {
            0
        }
    }

    /// How a request at a member ends: after this time if it is served.
    fn outcome(self, member: u32, service_time: TimeDelta) -> (TimeDelta, Outcome) {
        let is_cold_replica = member >= self.first_cold() && member != self.primary();
        match self {
            Situation::Behind | Situation::Release if is_cold_replica => {
                (MILLISECOND, Outcome::Unsuitable)
            }
            Situation::OthersSilent if (1..=2).contains(&member) => {
                (250 * MILLISECOND, Outcome::ConnectFailed)
            }
            _ => (service_time, Outcome::Ok),
        }
    }
}

/// An attempt that is in flight.
struct InFlight {
    gateway: usize,
    id: RequestId,
    attempt: u32,
    member: u32,
    outcome: Outcome,
}

/// A fleet of gateways in front of one group.
struct Fleet {
    situation: Situation,
    rules: SafetyRules,
    gateways: Vec<RouterHarness>,
    started_at: Timestamp,
    now: Timestamp,
    rng: oorandom::Rand64,
    /// Requests in flight by member, of all gateways.
    member_load: [f64; MEMBERS as usize],
    /// By the time at which they end, and their number.
    in_flight: BTreeMap<(Timestamp, u64), InFlight>,
    sent: u64,
    attempts: BTreeMap<(usize, RequestId), u32>,
    /// When cold members were sent a request.
    cold_sends: BTreeMap<u32, Vec<Timestamp>>,
}

impl Fleet {
    fn new(gateway_count: u32, situation: Situation, seed: u64) -> Self {
        let mut settings = settings(StalenessCheck::Reject);
        settings.gateway_count = gateway_count;
        settings.rules.overload_multiple = 2.0;
        settings.rules.overload_window = 3 * SECOND;
        settings.in_flight_reported = false;
        let gateway = |number: u32| {
            let settings = Settings {
                seed: seed * 1_000 + u64::from(number),
                ..settings.clone()
            };
            gateway(settings, situation)
        };
        let gateways: Vec<RouterHarness> = (0..gateway_count).map(gateway).collect();
        let started_at = gateways[0].now;
        Fleet {
            situation,
            rules: settings.rules.clone(),
            gateways,
            started_at,
            now: started_at,
            rng: oorandom::Rand64::new(u128::from(seed)),
            member_load: [0.0; MEMBERS as usize],
            in_flight: BTreeMap::new(),
            sent: 0,
            attempts: BTreeMap::new(),
            cold_sends: BTreeMap::new(),
        }
    }

    /// Requests come in at this multiple of the warm members' capacity.
    fn run(&mut self, load: f64) {
        let tries = if self.situation == Situation::Release {
            TRIES_IN_A_RELEASE
        } else {
            1.0
        };
        let per_second = CAPACITY_PER_SECOND * f64::from(MEMBERS) * load * tries;
        let interval = SECOND.as_nanos_f64() / per_second;
        let mut next_request_at = self.now;
        while self.now < self.started_at + DURATION {
            let next_end_at = self
                .in_flight
                .keys()
                .next()
                .map_or(Timestamp::MAX, |key| key.0);
            self.now = next_end_at.min(next_request_at);
            let (gateway, actions) = if self.now == next_request_at {
                next_request_at +=
                    TimeDelta::from_nanos_f64(interval * 2.0 * self.rng.rand_float())
                        + TimeDelta::NANOSECOND;
                self.submit_request()
            } else {
                self.end_attempt()
            };
            self.carry_out(gateway, actions);
        }
    }

    /// A request comes in at some gateway.
    fn submit_request(&mut self) -> (usize, Vec<Action>) {
        let gateway = self.rng.rand_range(0..self.gateways.len() as u64) as usize;
        self.gateways[gateway].now = self.now;
        let class = if self.rng.rand_float() < WRITE_SHARE {
            KEYED_WRITE
        } else {
            BOUNDED_READ
        };
        (gateway, self.gateways[gateway].submit(class, None).1)
    }

    /// The next attempt ends.
    fn end_attempt(&mut self) -> (usize, Vec<Action>) {
        let (_, ended) = self.in_flight.pop_first().expect("an attempt in flight");
        let InFlight {
            gateway, member, ..
        } = ended;
        self.member_load[member as usize] -= 1.0;
        self.gateways[gateway].now = self.now;
        let role = if member == self.situation.primary() {
            Role::Primary
        } else {
            Role::Replica
        };
        let actions = self.gateways[gateway].end_attempt(
            ended.id,
            ended.attempt,
            member,
            ended.outcome,
            role,
        );
        (gateway, actions)
    }

    fn carry_out(&mut self, gateway: usize, actions: Vec<Action>) {
        for action in actions {
            if let Action::StartAttempt {
                id,
                member: MemberId(member),
                ..
            } = action
            {
                self.start_attempt(gateway, id, member);
            }
        }
    }

    fn start_attempt(&mut self, gateway: usize, id: RequestId, member: u32) {
        let is_cold = member >= self.situation.first_cold();
        if is_cold {
            self.cold_sends.entry(member).or_default().push(self.now);
        }
        self.member_load[member as usize] += 1.0;
        let warmth = if is_cold { self.warmth(self.now) } else { 1.0 };
        let queueing = (self.member_load[member as usize] / CONCURRENCY).max(1.0);
        let service_time =
            SECOND.as_nanos_f64() / CAPACITY_PER_SECOND * CONCURRENCY * queueing / warmth;
        let (duration, outcome) = self
            .situation
            .outcome(member, TimeDelta::from_nanos_f64(service_time));
        let attempts = self.attempts.entry((gateway, id)).or_default();
        let attempt = InFlight {
            gateway,
            id,
            attempt: *attempts,
            member,
            outcome,
        };
        *attempts += 1;
        self.in_flight
            .insert((self.now + duration, self.sent), attempt);
        self.sent += 1;
    }

    /// Share of its capacity that a cold member has.
    fn warmth(&self, at: Timestamp) -> f64 {
        let age = (at - self.started_at).as_nanos_f64() / self.rules.warm_up_time.as_nanos_f64();
        self.rules.initial_capacity + (1.0 - self.rules.initial_capacity) * age.min(1.0)
    }

    /// Requests that a cold member may get in an overload window, and what chance adds to them.
    fn budget(&self, at: Timestamp) -> f64 {
        let window = self.rules.overload_window.as_nanos_f64() / SECOND.as_nanos_f64();
        let capacity = self.warmth(at) * CAPACITY_PER_SECOND;
        let budget = self.rules.overload_multiple * capacity * window;
        budget + 2.0 * budget.sqrt() + 2.0
    }

    /// Most that the sends to one cold member exceed its budget in any window.
    fn excess(&self, sends: &[Timestamp]) -> f64 {
        let window = self.rules.overload_window;
        let in_window_before = |end: Timestamp| {
            let is_inside = |&&at: &&Timestamp| at <= end && at > end - window;
            sends.iter().filter(is_inside).count()
        };
        (sends.iter())
            .map(|&at| in_window_before(at) as f64 - self.budget(at))
            .fold(f64::NEG_INFINITY, f64::max)
    }
}

/// A gateway that knows all members, and which of them are cold.
fn gateway(settings: Settings, situation: Situation) -> RouterHarness {
    let mut harness = RouterHarness::new(settings);
    let first_cold = situation.first_cold();
    let started = harness.now;
    let endpoints = (0..MEMBERS)
        .map(|member| Endpoint {
            started: (member >= first_cold).then_some(started),
            ..endpoint(member, EndpointState::Ready)
        })
        .collect();
    harness.list_all(endpoints);
    for member in 0..MEMBERS {
        harness.report(member, member == situation.primary(), harness.now);
    }
    if situation == Situation::Release {
        for state in [EndpointState::Draining, EndpointState::Removed] {
            let endpoints = (0..first_cold).map(|member| endpoint(member, state));
            harness.list_changes(endpoints.collect());
        }
    }
    harness
}

/// Requests beyond the budget and what chance adds to it, in the worst window of the worst cold
/// member.
fn worst_excess(gateway_count: u32, load: f64, situation: Situation, seed: u64) -> f64 {
    let mut fleet = Fleet::new(gateway_count, situation, seed);
    fleet.run(load);
    (fleet.cold_sends.values())
        .map(|sends| fleet.excess(sends))
        .fold(f64::NEG_INFINITY, f64::max)
}

/// Guards against shares that are each harmless and together knock a cold member over: however many
/// gateways there are, however quickly it answers, and whatever the other members can do.
#[test]
fn all_gateways_together_keep_the_budget_of_a_cold_member() {
    let situations = [
        Situation::Serves,
        Situation::Behind,
        Situation::OthersSilent,
        Situation::Release,
    ];
    for gateway_count in [3, 20, 31, 60] {
        for situation in situations {
            for load in [0.5, 0.9, 1.2] {
                let worst = (1..=3)
                    .map(|seed| worst_excess(gateway_count, load, situation, seed))
                    .fold(f64::NEG_INFINITY, f64::max);
                assert!(
                    worst <= 0.0,
                    "{gateway_count} gateways, {situation:?}, load {load}: {worst:.0} beyond chance"
                );
            }
        }
    }
}
