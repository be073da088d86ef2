//! Compares the load that all gateways together send a member in slow start with the budget that
//! the settings give it. No gateway knows the load of the others.

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
/// The member in slow start, in situations that have only one.
const MEMBER_IN_SLOW_START: u32 = 5;
/// Requests per second that a fully warmed-up member can serve.
const CAPACITY_PER_SECOND: f64 = 100.0;
/// Requests that such a member serves at the same time.
const CONCURRENCY: f64 = 6.0;
/// Share of writes among the requests.
const WRITE_SHARE: f64 = 0.1;
/// Mean number of tries of each client during a release.
const TRIES_PER_CLIENT_IN_A_RELEASE: f64 = 2.6;
/// Simulated time.
const DURATION: TimeDelta = TimeDelta::from_secs(8);

/// State of the members during a run.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Situation {
    /// The member in slow start serves requests at its current capacity.
    Serves,
    /// The member in slow start lags behind and rejects reads at once. Rejected reads count towards
    /// its budget.
    LagsBehind,
    /// The member in slow start serves, while two of the other members are unreachable.
    OthersUnreachable,
    /// A release has drained and removed three members. The other three are in slow start, and one
    /// of them is the new primary. The replicas lag behind, and clients retry repeatedly.
    Release,
}

impl Situation {
    /// Returns the first member in slow start; those with higher numbers are in slow start, too.
    fn first_in_slow_start(self) -> u32 {
        if self == Situation::Release {
            3
        } else {
            MEMBER_IN_SLOW_START
        }
    }

    fn primary(self) -> u32 {
        if self == Situation::Release {
            3
        } else {
            0
        }
    }

    /// Returns when and how an attempt at a member ends. `service_time` applies if the member
    /// serves it.
    fn outcome(self, member: u32, service_time: TimeDelta) -> (TimeDelta, Outcome) {
        let is_replica_in_slow_start =
            member >= self.first_in_slow_start() && member != self.primary();
        match self {
            Situation::LagsBehind | Situation::Release if is_replica_in_slow_start => {
                (MILLISECOND, Outcome::Unsuitable)
            }
            Situation::OthersUnreachable if (1..=2).contains(&member) => {
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
    /// Number of requests of all gateways in flight, by member.
    member_load: [f64; MEMBERS as usize],
    /// Attempts in flight, ordered by the time at which they end, then by sequence number.
    in_flight: BTreeMap<(Timestamp, u64), InFlight>,
    sent: u64,
    attempts: BTreeMap<(usize, RequestId), u32>,
    /// Times at which requests were sent to each member in slow start.
    slow_start_sends: BTreeMap<u32, Vec<Timestamp>>,
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
            slow_start_sends: BTreeMap::new(),
        }
    }

    /// Runs the simulation with requests at this multiple of the total capacity of members that are
    /// fully warmed up.
    fn run(&mut self, load: f64) {
        let tries = if self.situation == Situation::Release {
            TRIES_PER_CLIENT_IN_A_RELEASE
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

    /// Submits a request to a random gateway. Returns the gateway and its actions.
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

    /// Ends the attempt that is due next. Returns its gateway and the gateway's actions.
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
        let is_in_slow_start = member >= self.situation.first_in_slow_start();
        if is_in_slow_start {
            self.slow_start_sends
                .entry(member)
                .or_default()
                .push(self.now);
        }
        self.member_load[member as usize] += 1.0;
        let warm_up_share = if is_in_slow_start {
            self.warm_up_share(self.now)
        } else {
            1.0
        };
        let queueing = (self.member_load[member as usize] / CONCURRENCY).max(1.0);
        let service_time =
            SECOND.as_nanos_f64() / CAPACITY_PER_SECOND * CONCURRENCY * queueing / warm_up_share;
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

    /// Returns the share of its capacity that a member in slow start has.
    fn warm_up_share(&self, at: Timestamp) -> f64 {
        let age = (at - self.started_at).as_nanos_f64() / self.rules.warm_up_time.as_nanos_f64();
        self.rules.initial_capacity + (1.0 - self.rules.initial_capacity) * age.min(1.0)
    }

    /// Returns the number of requests that a member in slow start may get in an overload window,
    /// plus a margin for random variation.
    fn budget(&self, at: Timestamp) -> f64 {
        let window = self.rules.overload_window.as_nanos_f64() / SECOND.as_nanos_f64();
        let capacity = self.warm_up_share(at) * CAPACITY_PER_SECOND;
        let budget = self.rules.overload_multiple * capacity * window;
        budget + 2.0 * budget.sqrt() + 2.0
    }

    /// Returns the largest excess of the requests sent to a member over its budget in any window.
    fn excess(&self, sends: &[Timestamp]) -> f64 {
        let window = self.rules.overload_window;
        let count_in_window_ending_at = |end: Timestamp| {
            let is_inside = |&&at: &&Timestamp| at <= end && at > end - window;
            sends.iter().filter(is_inside).count()
        };
        (sends.iter())
            .map(|&at| count_in_window_ending_at(at) as f64 - self.budget(at))
            .fold(f64::NEG_INFINITY, f64::max)
    }
}

/// Creates a gateway that knows all members, and which of them are in slow start.
fn gateway(settings: Settings, situation: Situation) -> RouterHarness {
    let mut harness = RouterHarness::new(settings);
    let first_in_slow_start = situation.first_in_slow_start();
    let started = harness.now;
    let endpoints = (0..MEMBERS)
        .map(|member| Endpoint {
            started: (member >= first_in_slow_start).then_some(started),
            ..endpoint(member, EndpointState::Ready)
        })
        .collect();
    harness.list_all(endpoints);
    for member in 0..MEMBERS {
        harness.report(member, member == situation.primary(), harness.now);
    }
    if situation == Situation::Release {
        for state in [EndpointState::Draining, EndpointState::Removed] {
            let endpoints = (0..first_in_slow_start).map(|member| endpoint(member, state));
            harness.list_changes(endpoints.collect());
        }
    }
    harness
}

/// Returns the excess over the budget with its margin, in the worst window of the worst member.
fn worst_excess(gateway_count: u32, load: f64, situation: Situation, seed: u64) -> f64 {
    let mut fleet = Fleet::new(gateway_count, situation, seed);
    fleet.run(load);
    (fleet.slow_start_sends.values())
        .map(|sends| fleet.excess(sends))
        .fold(f64::NEG_INFINITY, f64::max)
}

/// Guards against loads that are each harmless and together overload a member in slow start,
/// whatever the number of gateways, the speed of its answers and the state of the other members.
#[test]
fn all_gateways_together_stay_within_the_budget_of_a_member_in_slow_start() {
    let situations = [
        Situation::Serves,
        Situation::LagsBehind,
        Situation::OthersUnreachable,
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
                    "{gateway_count} gateways, {situation:?}, load {load}: {worst:.0} requests beyond the budget and its margin"
                );
            }
        }
    }
}
