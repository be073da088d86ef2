//! Exhaustive model checking of leases, epochs and changes of holder with stateright, on the package's own [`Voter`]
//! and [`Claim`].
//!
//! The model has two claimants and three voters. It covers every order of requests and answers, any of which may be
//! lost, a voter that is restarted, and a claimant that reads its token, is stalled, and performs its operation later.
//!
//! - No two claimants hold the lease at the same time.
//! - A host that remembers the latest token accepts no operation with an older one.
//! - If the host does not check tokens, it accepts the operation of a stalled holder after that of its successor. The
//!   model must find this violation.
//! - If a restarted voter grants at once, two claimants hold the lease. The model must find this violation.

use irisrouter_cluster_types::{Epoch, GatewayId, GatewayProcess, Milliseconds, Timestamp};
use irisrouter_leases::{Claim, LeaseTerms, Vote, Voter};
use stateright::{Checker, Model, Property};

const LEASE: Milliseconds = Milliseconds(2);
const TERMS: LeaseTerms = LeaseTerms {
    duration: LEASE,
    margin: Milliseconds::ZERO,
};
const VOTERS: usize = 3;
const CLAIMANTS: usize = 2;
/// Time at which each run of the model ends.
const END_TIME: Timestamp = Timestamp::from_millis(4);
/// Duration by which time advances in one step.
const TICK: Milliseconds = Milliseconds(1);
/// Maximum number of states that the checker visits. A check that has to visit all states fails at this limit, because
/// it would be incomplete.
const MAX_STATES: usize = 16_000_000;

const ONE_HOLDER: &str = "one holder";
const NO_OLDER_TOKEN_ACCEPTED: &str = "no older token accepted";
const HELD: &str = "held";

#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
enum Message {
    Request {
        claimant: usize,
        voter: usize,
        epoch: Epoch,
        round: u16,
    },
    Granted {
        claimant: usize,
        voter: usize,
        epoch: Epoch,
        round: u16,
    },
    Refused {
        claimant: usize,
        epoch: Epoch,
    },
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct State {
    now: Timestamp,
    voters: Vec<Voter>,
    claims: Vec<Claim>,
    /// Number of rounds of requests that each claimant may still start.
    rounds_left: Vec<u8>,
    /// Time of the latest round of requests of each claimant.
    last_requested_at: Vec<Timestamp>,
    voter_restarts_left: u8,
    messages: Vec<Message>,
    /// For each claimant, the token that it has read and not yet used for an operation.
    unused_token: Vec<Option<Epoch>>,
    /// The latest token that the host has seen.
    latest_token: Epoch,
    /// Whether the host has accepted an operation with an older token than the latest.
    older_token_accepted: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Step {
    Tick,
    StartClaim(usize),
    Renew(usize),
    Deliver(usize),
    RestartVoter(usize),
    ReadToken(usize),
    UseToken(usize),
}

struct LeaseModel {
    /// Whether the host rejects operations with older tokens.
    host_checks_tokens: bool,
    /// Whether a restarted voter grants nothing for the duration of a lease.
    restarted_voter_waits: bool,
    max_voter_restarts: u8,
    /// Whether claimants may read their tokens and perform their operations later.
    claimants_use_tokens: bool,
    /// Number of rounds of requests that each claimant may start.
    rounds: [u8; CLAIMANTS],
}

fn process(claimant: usize) -> GatewayProcess {
    GatewayProcess::first(GatewayId(claimant as u32))
}

impl State {
    fn token(&self, claimant: usize) -> Option<Epoch> {
        self.claims[claimant].token(self.now, TERMS)
    }

    fn send(&mut self, message: Message) {
        self.messages.push(message);
        self.messages.sort_unstable();
    }

    fn request_grants(&mut self, claimant: usize) {
        self.rounds_left[claimant] -= 1;
        self.last_requested_at[claimant] = self.now;
        let epoch = self.claims[claimant]
            .epoch()
            .expect("a claim is in progress");
        let round = self.claims[claimant].start_round(self.now);
        for voter in 0..VOTERS {
            self.send(Message::Request {
                claimant,
                voter,
                epoch,
                round,
            });
        }
    }

    fn deliver(&mut self, index: usize) {
        match self.messages.remove(index) {
            Message::Request {
                claimant,
                voter,
                epoch,
                round,
            } => {
                let vote = self.voters[voter].request(self.now, LEASE, process(claimant), epoch);
                self.send(match vote {
                    Vote::Granted { .. } => Message::Granted {
                        claimant,
                        voter,
                        epoch,
                        round,
                    },
                    Vote::Refused { latest_epoch, .. } | Vote::Vacant { latest_epoch } => {
                        Message::Refused {
                            claimant,
                            epoch: latest_epoch,
                        }
                    }
                });
            }
            Message::Granted {
                claimant,
                voter,
                epoch,
                round,
            } => self.claims[claimant].record_grant(voter, epoch, round),
            Message::Refused { claimant, epoch } => {
                self.claims[claimant].observe_epoch(epoch);
            }
        }
    }

    /// Drops messages that have no effect any more, to reduce the number of distinct states.
    fn drop_ineffective_messages(&mut self) {
        let claims = &self.claims;
        self.messages.retain(|message| match message {
            Message::Granted {
                claimant, epoch, ..
            } => claims[*claimant].epoch() == Some(*epoch),
            Message::Refused { claimant, epoch } => {
                let claimed = claims[*claimant].epoch();
                claimed.is_some_and(|claimed| claimed < *epoch)
            }
            Message::Request { .. } => true,
        });
    }
}

impl Model for LeaseModel {
    type State = State;
    type Action = Step;

    fn init_states(&self) -> Vec<State> {
        vec![State {
            now: Timestamp::ZERO + LEASE,
            voters: vec![Voter::new(Timestamp::ZERO, LEASE); VOTERS],
            claims: vec![Claim::new(VOTERS); CLAIMANTS],
            rounds_left: self.rounds.to_vec(),
            last_requested_at: vec![Timestamp::ZERO; CLAIMANTS],
            voter_restarts_left: self.max_voter_restarts,
            messages: Vec::new(),
            unused_token: vec![None; CLAIMANTS],
            latest_token: Epoch::default(),
            older_token_accepted: false,
        }]
    }

    fn actions(&self, state: &State, steps: &mut Vec<Step>) {
        if state.now < END_TIME {
            steps.push(Step::Tick);
        }
        for claimant in 0..CLAIMANTS {
            let holds = state.token(claimant).is_some();
            // A second round of requests at the same time would have no effect.
            let may_request =
                state.rounds_left[claimant] > 0 && state.now > state.last_requested_at[claimant];
            if may_request && !holds {
                steps.push(Step::StartClaim(claimant));
            }
            if may_request && state.claims[claimant].epoch().is_some() {
                steps.push(Step::Renew(claimant));
            }
            if self.claimants_use_tokens && state.unused_token[claimant].is_none() && holds {
                steps.push(Step::ReadToken(claimant));
            }
            if state.unused_token[claimant].is_some() {
                steps.push(Step::UseToken(claimant));
            }
        }
        for index in 0..state.messages.len() {
            // Delivering any of several equal messages leads to the same state, so only the first one is delivered. The
            // loss of a message needs no step of its own: it is covered by the runs that never deliver the message.
            if index == 0 || state.messages[index] != state.messages[index - 1] {
                steps.push(Step::Deliver(index));
            }
        }
        if state.voter_restarts_left > 0 {
            steps.extend((0..VOTERS).map(Step::RestartVoter));
        }
    }

    fn next_state(&self, last: &State, step: Step) -> Option<State> {
        let mut state = last.clone();
        match step {
            Step::Tick => state.now += TICK,
            Step::StartClaim(claimant) => {
                state.claims[claimant].start(Epoch(state.now.as_millis()));
                state.request_grants(claimant);
            }
            Step::Renew(claimant) => state.request_grants(claimant),
            Step::RestartVoter(voter) => {
                state.voter_restarts_left -= 1;
                let voter_started = if self.restarted_voter_waits {
                    state.now
                } else {
                    state.now.saturating_sub(LEASE)
                };
                state.voters[voter] = Voter::new(voter_started, LEASE);
            }
            Step::ReadToken(claimant) => state.unused_token[claimant] = state.token(claimant),
            Step::UseToken(claimant) => {
                let token = state.unused_token[claimant].take()?;
                if token >= state.latest_token {
                    state.latest_token = token;
                } else if !self.host_checks_tokens {
                    state.older_token_accepted = true;
                }
            }
            Step::Deliver(index) => state.deliver(index),
        }
        state.drop_ineffective_messages();
        Some(state)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always(ONE_HOLDER, |_, state: &State| {
                !(state.token(0).is_some() && state.token(1).is_some())
            }),
            Property::always(NO_OLDER_TOKEN_ACCEPTED, |_, state: &State| {
                !state.older_token_accepted
            }),
            Property::sometimes(HELD, |_, state: &State| state.token(0).is_some()),
        ]
    }
}

/// Whether the checker has to visit all states, or may stop at [`MAX_STATES`] because a violation is expected.
#[derive(PartialEq)]
enum Coverage {
    AllStates,
    UntilViolation,
}

/// Which of the properties that must always hold are violated.
#[derive(Debug, PartialEq)]
struct Violations {
    two_holders: bool,
    older_token_accepted: bool,
}

const NO_VIOLATIONS: Violations = Violations {
    two_holders: false,
    older_token_accepted: false,
};

fn violations(model: LeaseModel, coverage: Coverage) -> Violations {
    let checker = model
        .checker()
        .threads(2)
        .target_state_count(MAX_STATES)
        .spawn_bfs()
        .join();
    let states = checker.state_count();
    let unique_states = checker.unique_state_count();
    eprintln!("{unique_states} distinct states, {states} states including repeated ones");
    assert!(
        coverage == Coverage::UntilViolation || states < MAX_STATES,
        "{states} states: not all of them were visited"
    );
    assert!(
        checker.discovery(HELD).is_some(),
        "claimant 0 holds the lease in no state, so the model proves nothing"
    );
    Violations {
        two_holders: checker.discovery(ONE_HOLDER).is_some(),
        older_token_accepted: checker.discovery(NO_OLDER_TOKEN_ACCEPTED).is_some(),
    }
}

#[test]
fn lease_has_one_holder_and_the_host_accepts_no_older_token() {
    let model = LeaseModel {
        host_checks_tokens: true,
        restarted_voter_waits: true,
        max_voter_restarts: 0,
        claimants_use_tokens: true,
        rounds: [1, 1],
    };
    assert_eq!(violations(model, Coverage::AllStates), NO_VIOLATIONS);
}

#[test]
fn lease_has_one_holder_when_it_is_renewed() {
    let model = LeaseModel {
        host_checks_tokens: true,
        restarted_voter_waits: true,
        max_voter_restarts: 0,
        claimants_use_tokens: false,
        rounds: [2, 1],
    };
    assert_eq!(violations(model, Coverage::AllStates), NO_VIOLATIONS);
}

#[test]
fn lease_has_one_holder_when_a_voter_is_restarted() {
    let model = LeaseModel {
        host_checks_tokens: true,
        restarted_voter_waits: true,
        max_voter_restarts: 1,
        claimants_use_tokens: false,
        rounds: [1, 1],
    };
    assert_eq!(violations(model, Coverage::AllStates), NO_VIOLATIONS);
}

#[test]
fn stalled_holder_acts_after_its_successor_when_the_host_checks_no_tokens() {
    let model = LeaseModel {
        host_checks_tokens: false,
        restarted_voter_waits: true,
        max_voter_restarts: 0,
        claimants_use_tokens: true,
        rounds: [1, 1],
    };
    assert!(
        violations(model, Coverage::UntilViolation).older_token_accepted,
        "no older token accepted without the check, so the model proves nothing"
    );
}

#[test]
fn lease_has_two_holders_when_a_restarted_voter_grants_at_once() {
    let model = LeaseModel {
        host_checks_tokens: true,
        restarted_voter_waits: false,
        max_voter_restarts: 1,
        claimants_use_tokens: false,
        rounds: [1, 1],
    };
    assert!(
        violations(model, Coverage::UntilViolation).two_holders,
        "never two holders without the waiting time, so the model proves nothing"
    );
}
