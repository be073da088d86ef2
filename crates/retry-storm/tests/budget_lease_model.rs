//! The lending of a cold host's budget, checked exhaustively at small sizes: every order of ticks, loans, arrivals, losses,
//! repetitions, deaths and restarts. What all gateways together may send never exceeds the budget.

use irisrouter_retry_storm::budget_lease::{Loan, Part, LONGEST, MARGIN};
use irisrouter_retry_storm::{Ns, MS};
use stateright::{Checker, Model, Property};

const START: Ns = 10_000 * MS;
const OWN: u32 = 2;
/// More states than these are not looked at, and then the check fails: it has to end, and to be whole.
const MOST: usize = 3_000_000;

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct State {
    now: Ns,
    gateways: Vec<Part>,
    /// Loans on their way, with their senders. They stay: what arrives may arrive again, late or never, so that a loss
    /// needs no step of its own. Those that have lapsed go, as nothing takes them.
    messages: Vec<(u16, Loan)>,
    deaths: u8,
    loans: u8,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Step {
    Tick,
    Lend {
        from: u16,
        to: u16,
        amount: u32,
        long: Ns,
    },
    Arrive(usize),
    Die(u16),
}

struct Fleet {
    count: u16,
    tick: Ns,
    end: Ns,
    loans: u8,
    /// A gateway that starts again uses its part at once: planted, so that the check is seen to find it.
    hasty: bool,
}

impl Model for Fleet {
    type State = State;
    type Action = Step;

    fn init_states(&self) -> Vec<State> {
        let gateways = (0..self.count)
            .map(|g| Part::fresh(g, OWN, START, 0))
            .collect();
        vec![State {
            now: START,
            gateways,
            messages: Vec::new(),
            deaths: 0,
            loans: 0,
        }]
    }

    fn actions(&self, s: &State, steps: &mut Vec<Step>) {
        if s.now < START + self.end {
            steps.push(Step::Tick);
        }
        for from in 0..self.count {
            for to in (0..self.count).filter(|&to| to != from && s.loans < self.loans) {
                for long in [LONGEST, LONGEST / 2] {
                    steps.extend([1, OWN].map(|amount| Step::Lend {
                        from,
                        to,
                        amount,
                        long,
                    }));
                }
            }
            if s.deaths < 1 && s.loans > 0 {
                steps.push(Step::Die(from));
            }
        }
        for i in 0..s.messages.len() {
            steps.push(Step::Arrive(i));
        }
    }

    fn next_state(&self, last: &State, step: Step) -> Option<State> {
        let mut s = last.clone();
        match step {
            Step::Tick => {
                s.now += self.tick;
                let now = s.now;
                s.messages.retain(|(_, l)| now < l.until);
            }
            Step::Lend {
                from,
                to,
                amount,
                long,
            } => {
                let loan = s.gateways[from as usize].lend(s.now, to, amount, long)?;
                s.messages.push((from, loan));
                s.messages.sort();
                s.loans += 1;
            }
            Step::Arrive(i) => {
                let (from, loan) = s.messages[i];
                s.gateways[loan.to as usize].hear(s.now, from, loan).ok()?;
            }
            Step::Die(g) => {
                // It starts at once, with nothing, and with numbers that may be those of before.
                let start = if self.hasty { Part::fresh } else { Part::new };
                s.gateways[g as usize] = start(g, OWN, s.now, 0);
                s.deaths += 1;
            }
        }
        Some(s)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("the sum stays within the budget", |f: &Fleet, s: &State| {
                s.gateways.iter().map(|g| g.may(s.now)).sum::<u32>() <= OWN * u32::from(f.count)
            }),
            Property::sometimes("a loan is used", |_, s: &State| {
                s.gateways.iter().any(|g| g.may(s.now) > OWN)
            }),
            Property::sometimes("all of the budget is used", |f: &Fleet, s: &State| {
                s.loans > 0
                    && s.gateways.iter().map(|g| g.may(s.now)).sum::<u32>()
                        == OWN * u32::from(f.count)
            }),
        ]
    }
}

fn check(fleet: Fleet) -> (usize, bool) {
    let checker = fleet
        .checker()
        .threads(4)
        .target_state_count(MOST)
        .spawn_bfs()
        .join();
    let broken = checker
        .discovery("the sum stays within the budget")
        .is_some();
    if !broken {
        checker.assert_properties();
    }
    let states = checker.unique_state_count();
    eprintln!("{states} states");
    assert!(
        broken || states < MOST,
        "{states} states: not all of them were seen"
    );
    (states, broken)
}

#[test]
fn two_gateways_and_three_loans() {
    let (states, broken) = check(Fleet {
        count: 2,
        tick: LONGEST / 4 + MARGIN / 2,
        end: 2 * LONGEST,
        loans: 3,
        hasty: false,
    });
    assert!(!broken && states > 1_000, "{states} states");
}

#[test]
fn three_gateways_and_two_loans() {
    let (states, broken) = check(Fleet {
        count: 3,
        tick: LONGEST / 2,
        end: LONGEST + LONGEST / 2,
        loans: 2,
        hasty: false,
    });
    assert!(!broken && states > 1_000, "{states} states");
}

/// A check that cannot fail is none: a gateway that forgets its loans and goes on at once breaks the sum.
#[test]
fn the_check_finds_a_gateway_that_does_not_wait_after_its_start() {
    let (_, broken) = check(Fleet {
        count: 2,
        tick: LONGEST / 2,
        end: LONGEST,
        loans: 1,
        hasty: true,
    });
    assert!(broken);
}
