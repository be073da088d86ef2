//! Lease, epoch and handover, checked exhaustively at small size with stateright on the core's own [`Voter`] and [`Claim`]:
//! two claimants, three voters, every order of asks and answers, any of which may never come, a voter that starts again, and a claimant that
//! looks at its token, is stalled, and acts later.
//!
//! - no two claimants hold the duty at the same time;
//! - a host that keeps the latest token accepts none that is older than one it accepted;
//! - without that check at the host, a stalled owner's act is accepted after its successor's: the model finds it;
//! - were a voter that starts again to grant at once, two would hold: the model finds it.

use irisrouter_leases::lease::{Claim, Vote, Voter};
use irisrouter_leases::{Holder, Millis};
use stateright::{Checker, Model, Property};

const LEASE: Millis = 2;
const MARGIN: Millis = 0;
const VOTERS: usize = 3;
/// The run ends at this time.
const END: Millis = 4;
/// More states are not looked at; then the check fails, as it must end and be whole.
const MOST: usize = 16_000_000;

#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
enum Message {
    Ask {
        by: usize,
        voter: usize,
        epoch: u64,
        round: u16,
    },
    Granted {
        to: usize,
        voter: usize,
        epoch: u64,
        round: u16,
    },
    Refused {
        to: usize,
        epoch: u64,
    },
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct State {
    now: Millis,
    voters: Vec<Voter>,
    claims: Vec<Claim>,
    rounds: Vec<u8>,
    /// When each claimant last asked.
    asked: Vec<Millis>,
    restarts: u8,
    messages: Vec<Message>,
    /// The token that each claimant looked at and has not acted on yet.
    looked: Vec<Option<u64>>,
    /// The latest token that the host saw, and whether it accepted an older one after it.
    latest: u64,
    old_accepted: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Step {
    Tick,
    Claim(usize),
    Renew(usize),
    Arrive(usize),
    Restart(usize),
    Look(usize),
    Act(usize),
}

struct Leases {
    /// The host refuses older tokens.
    fenced: bool,
    /// A voter that starts again waits for a lease.
    waits: bool,
    restarts: u8,
    /// Claimants may look and act later.
    acts: bool,
    /// Asks of each claimant.
    rounds: [u8; 2],
}

fn holder(claimant: usize) -> Holder {
    Holder {
        number: claimant as u32,
        generation: 0,
    }
}

fn post(s: &mut State, message: Message) {
    s.messages.push(message);
    s.messages.sort_unstable();
}

fn ask(s: &mut State, by: usize) {
    s.rounds[by] -= 1;
    let now = s.now;
    s.asked[by] = now;
    let (epoch, round) = (s.claims[by].epoch(), s.claims[by].ask(now));
    for voter in 0..VOTERS {
        post(
            s,
            Message::Ask {
                by,
                voter,
                epoch,
                round,
            },
        );
    }
}

impl Leases {
    fn token(s: &State, claimant: usize) -> Option<u64> {
        s.claims[claimant].token(s.now, LEASE, MARGIN)
    }
}

impl Model for Leases {
    type State = State;
    type Action = Step;

    fn init_states(&self) -> Vec<State> {
        vec![State {
            now: LEASE,
            voters: vec![Voter::new(0, LEASE); VOTERS],
            claims: vec![Claim::new(VOTERS); 2],
            rounds: self.rounds.to_vec(),
            asked: vec![0; 2],
            restarts: self.restarts,
            messages: Vec::new(),
            looked: vec![None; 2],
            latest: 0,
            old_accepted: false,
        }]
    }

    fn actions(&self, s: &State, steps: &mut Vec<Step>) {
        if s.now < END {
            steps.push(Step::Tick);
        }
        for c in 0..2 {
            if s.rounds[c] > 0 && Self::token(s, c).is_none() && s.now > s.asked[c] {
                steps.push(Step::Claim(c));
            }
            // Asking twice in one moment adds nothing.
            if s.rounds[c] > 0 && s.claims[c].epoch() != 0 && s.now > s.asked[c] {
                steps.push(Step::Renew(c));
            }
            if self.acts && s.looked[c].is_none() && Self::token(s, c).is_some() {
                steps.push(Step::Look(c));
            }
            if s.looked[c].is_some() {
                steps.push(Step::Act(c));
            }
        }
        for m in 0..s.messages.len() {
            // Equal messages are one and the same choice. One that never arrives is the same as a lost one.
            if m == 0 || s.messages[m] != s.messages[m - 1] {
                steps.push(Step::Arrive(m));
            }
        }
        if s.restarts > 0 {
            steps.extend((0..VOTERS).map(Step::Restart));
        }
    }

    fn next_state(&self, last: &State, step: Step) -> Option<State> {
        let mut s = last.clone();
        match step {
            Step::Tick => s.now += 1,
            Step::Claim(c) => {
                let now = s.now;
                s.claims[c].begin(now);
                ask(&mut s, c);
            }
            Step::Renew(c) => ask(&mut s, c),
            Step::Restart(v) => {
                s.restarts -= 1;
                let started = if self.waits { s.now } else { s.now - LEASE };
                s.voters[v] = Voter::new(started, LEASE);
            }
            Step::Look(c) => s.looked[c] = Self::token(&s, c),
            Step::Act(c) => {
                let token = s.looked[c].take()?;
                if token >= s.latest {
                    s.latest = token;
                } else if !self.fenced {
                    s.old_accepted = true;
                }
            }
            Step::Arrive(m) => match s.messages.remove(m) {
                Message::Ask {
                    by,
                    voter,
                    epoch,
                    round,
                } => {
                    let reply = match s.voters[voter].asked(s.now, LEASE, holder(by), epoch) {
                        Vote::Granted { .. } => Message::Granted {
                            to: by,
                            voter,
                            epoch,
                            round,
                        },
                        Vote::Refused { epoch, .. } | Vote::Free { epoch } => {
                            Message::Refused { to: by, epoch }
                        }
                    };
                    post(&mut s, reply);
                }
                Message::Granted {
                    to,
                    voter,
                    epoch,
                    round,
                } => s.claims[to].granted(voter, epoch, round),
                Message::Refused { to, epoch } => drop(s.claims[to].refused(epoch)),
            },
        }
        // What can change nothing any more need not be told apart.
        let claims = &s.claims;
        s.messages.retain(|m| match m {
            Message::Granted { to, epoch, .. } => claims[*to].epoch() == *epoch,
            Message::Refused { to, epoch } => {
                claims[*to].epoch() != 0 && claims[*to].epoch() < *epoch
            }
            Message::Ask { .. } => true,
        });
        Some(s)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("one owner", |_, s: &State| {
                !(Self::token(s, 0).is_some() && Self::token(s, 1).is_some())
            }),
            Property::always("no older act accepted", |_, s: &State| !s.old_accepted),
            Property::sometimes("held", |_, s: &State| Self::token(s, 0).is_some()),
        ]
    }
}

/// Whether each of the first two properties is broken. Where `whole`, all states have to have been seen.
fn broken(model: Leases, whole: bool) -> [bool; 2] {
    let checker = model
        .checker()
        .threads(2)
        .target_state_count(MOST)
        .spawn_bfs()
        .join();
    let states = checker.state_count();
    eprintln!(
        "{} states, {states} with those met again",
        checker.unique_state_count()
    );
    assert!(
        !whole || states < MOST,
        "{states} states: not all of them were seen"
    );
    assert!(
        checker.discovery("held").is_some(),
        "nobody ever held the duty: the model proves nothing"
    );
    ["one owner", "no older act accepted"].map(|p| checker.discovery(p).is_some())
}

#[test]
fn no_two_hold_a_duty_and_no_older_act_is_accepted() {
    let model = Leases {
        fenced: true,
        waits: true,
        restarts: 0,
        acts: true,
        rounds: [1, 1],
    };
    assert_eq!(broken(model, true), [false, false]);
}

#[test]
fn renewing_lets_no_second_owner_in() {
    let model = Leases {
        fenced: true,
        waits: true,
        restarts: 0,
        acts: false,
        rounds: [2, 1],
    };
    assert_eq!(broken(model, true), [false, false]);
}

#[test]
fn a_voter_that_starts_again_lets_no_second_owner_in() {
    let model = Leases {
        fenced: true,
        waits: true,
        restarts: 1,
        acts: false,
        rounds: [1, 1],
    };
    assert_eq!(broken(model, true), [false, false]);
}

#[test]
fn without_the_host_s_check_a_stalled_owner_acts_after_its_successor() {
    let model = Leases {
        fenced: false,
        waits: true,
        restarts: 0,
        acts: true,
        rounds: [1, 1],
    };
    assert!(
        broken(model, false)[1],
        "the model cannot fail: it proves nothing"
    );
}

#[test]
fn were_a_voter_to_grant_at_its_start_two_would_hold() {
    let model = Leases {
        fenced: true,
        waits: false,
        restarts: 1,
        acts: false,
        rounds: [1, 1],
    };
    assert!(
        broken(model, false)[0],
        "the model cannot fail: it proves nothing"
    );
}
