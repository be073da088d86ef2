//! The core's own rules of suspicion and refutation ([`irisrouter_membership::merge_rules`]), checked exhaustively at small size
//! with stateright: one live member S, and three others that ask it and tell one another.
//!
//! In the model any message may be late behind any other and be taken in any order; a bounded number of asks is lost,
//! with S's answer or before it. A holder asks S in rounds; a round ends with an answer or as missed. A verdict, like a
//! refutation, may be told by its holder to any other once. What is checked:
//!
//! - with fewer losses than it takes one holder to come to a verdict, nobody ever holds S down;
//! - with more, a false verdict is possible (the model can fail), but no holder takes it on from another as long as S
//!   answers that other, and once S has been told and everything has arrived, nobody holds S down;
//! - the same two fail when hearsay is a verdict (as in SWIM as published), or when a word of an older incarnation
//!   outranks a later one.

use irisrouter_membership::merge_rules::{self, Heard, Missed, OfMe};
use irisrouter_membership::{Liveness, Node, Seen, Word};
use stateright::{Checker, Model, Property};

const HOLDERS: usize = 3;
/// The member that is asked.
const S: Node = Node::first(9);
/// Asks after the first that make a verdict.
const ROUNDS: u32 = 1;
/// More states are not looked at; then the check fails, as it must end and be whole.
const MOST: usize = 8_000_000;
/// Rounds a holder asks in all: the run ends.
const ASKS: u8 = 3;

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Holder {
    liveness: Liveness,
    incarnation: u16,
    /// Asks missed in a row, and whether others say that S is down.
    missed: u32,
    told: bool,
    /// Asks still to be made.
    asks: u8,
    /// What it holds is to be told once to each of the others.
    tell: [bool; HOLDERS],
    /// It came to hold S down with an own ask unanswered.
    asked_itself: bool,
}

impl Holder {
    fn row(&self) -> Seen {
        Seen {
            liveness: self.liveness,
            generation: 0,
            incarnation: self.incarnation,
            since: 0,
            heard: None,
        }
    }

    fn spread(&mut self, me: usize) {
        self.tell = std::array::from_fn(|o| o != me);
    }

    fn alive(&mut self, me: usize, incarnation: u16) {
        if self.incarnation != incarnation || self.liveness == Liveness::Down {
            self.spread(me);
        }
        *self = Holder {
            liveness: Liveness::Alive,
            incarnation,
            missed: 0,
            told: false,
            asked_itself: false,
            ..self.clone()
        };
    }
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
enum Message {
    /// What `from` holds of S, told to holder `to`.
    Told {
        to: usize,
        incarnation: u16,
        down: bool,
    },
    /// What `from` holds of S, told to S itself: that it is down.
    TellS { from: usize, incarnation: u16 },
    /// S's own word to a holder that called it down.
    Refuted { to: usize, incarnation: u16 },
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct State {
    holders: Vec<Holder>,
    incarnation: u16,
    losses: u8,
    messages: Vec<Message>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Step {
    /// A round of asks that S answers, or that is lost.
    Asked(usize),
    Lost(usize),
    Tell(usize, usize),
    Arrive(usize),
}

struct Suspicion {
    /// Asks lost in all.
    losses: u8,
    /// Hearsay is a verdict, as in SWIM as published.
    hearsay: bool,
    /// Words of older incarnations are taken.
    unordered: bool,
}

impl Suspicion {
    fn hear(&self, h: &Holder, word: &Word) -> Heard {
        let heard = merge_rules::hear(&h.row(), word);
        match heard {
            Heard::Ask if self.hearsay => Heard::Take,
            Heard::Behind if self.unordered => Heard::Take,
            _ => heard,
        }
    }
}

fn post(s: &mut State, message: Message) {
    s.messages.push(message);
    s.messages.sort_unstable();
}

impl Model for Suspicion {
    type State = State;
    type Action = Step;

    fn init_states(&self) -> Vec<State> {
        let holder = Holder {
            liveness: Liveness::Alive,
            incarnation: 0,
            missed: 0,
            told: false,
            asks: ASKS,
            tell: [false; HOLDERS],
            asked_itself: false,
        };
        vec![State {
            holders: vec![holder; HOLDERS],
            incarnation: 0,
            losses: self.losses,
            messages: Vec::new(),
        }]
    }

    fn actions(&self, s: &State, steps: &mut Vec<Step>) {
        for (n, h) in s.holders.iter().enumerate() {
            // A member held down is not probed; it is looked for, which is the TellS sent with the verdict.
            if h.liveness != Liveness::Down {
                if h.asks > 0 || h.told || h.missed > 0 {
                    steps.push(Step::Asked(n));
                }
                if s.losses > 0 && h.asks > 0 {
                    steps.push(Step::Lost(n));
                }
            }
            // What is held in doubt is not passed on as a verdict.
            steps.extend(
                (0..HOLDERS)
                    .filter(|&o| h.tell[o])
                    .map(|o| Step::Tell(n, o)),
            );
        }
        steps.extend((0..s.messages.len()).map(Step::Arrive));
    }

    fn next_state(&self, last: &State, step: Step) -> Option<State> {
        let mut s = last.clone();
        match step {
            Step::Asked(n) => {
                let h = &mut s.holders[n];
                h.asks = h.asks.saturating_sub(1);
                // The ping of one that was told says so: S refutes before it answers.
                if h.told {
                    let word = Word {
                        node: S,
                        incarnation: h.incarnation,
                        down: true,
                    };
                    if let OfMe::Refute(to) = merge_rules::of_me(S, s.incarnation, &word) {
                        s.incarnation = to;
                    }
                }
                h.alive(n, s.incarnation);
            }
            Step::Lost(n) => {
                s.losses -= 1;
                let h = &mut s.holders[n];
                h.asks -= 1;
                h.missed += 1;
                match merge_rules::miss(h.missed, h.told, ROUNDS) {
                    Missed::Again => h.liveness = Liveness::Suspect,
                    Missed::Down => {
                        h.liveness = Liveness::Down;
                        h.asked_itself = true;
                        h.spread(n);
                        let incarnation = h.incarnation;
                        post(
                            &mut s,
                            Message::TellS {
                                from: n,
                                incarnation,
                            },
                        );
                    }
                }
            }
            Step::Tell(n, o) => {
                let h = &mut s.holders[n];
                h.tell[o] = false;
                let (incarnation, down) = (h.incarnation, h.liveness == Liveness::Down);
                post(
                    &mut s,
                    Message::Told {
                        to: o,
                        incarnation,
                        down,
                    },
                );
            }
            Step::Arrive(i) => match s.messages.remove(i) {
                Message::Told {
                    to,
                    incarnation,
                    down,
                } => {
                    let word = Word {
                        node: S,
                        incarnation,
                        down,
                    };
                    let h = &mut s.holders[to];
                    match self.hear(h, &word) {
                        Heard::Old | Heard::Behind => {}
                        Heard::Take if down => {
                            h.liveness = Liveness::Down;
                            h.incarnation = incarnation;
                            h.spread(to);
                            post(
                                &mut s,
                                Message::TellS {
                                    from: to,
                                    incarnation,
                                },
                            );
                        }
                        Heard::Take => h.alive(to, incarnation),
                        Heard::Ask => {
                            h.liveness = Liveness::Suspect;
                            h.incarnation = incarnation;
                            h.told = true;
                        }
                    }
                }
                Message::TellS { from, incarnation } => {
                    let word = Word {
                        node: S,
                        incarnation,
                        down: true,
                    };
                    if let OfMe::Refute(to) = merge_rules::of_me(S, s.incarnation, &word) {
                        s.incarnation = to;
                    }
                    let incarnation = s.incarnation;
                    post(
                        &mut s,
                        Message::Refuted {
                            to: from,
                            incarnation,
                        },
                    );
                }
                Message::Refuted { to, incarnation } => {
                    let h = &mut s.holders[to];
                    if merge_rules::meet(&h.row(), S, incarnation) == merge_rules::Met::Alive {
                        h.alive(to, incarnation);
                    }
                }
            },
        }
        Some(s)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("never down", |_, s: &State| {
                s.holders.iter().all(|h| h.liveness != Liveness::Down)
            }),
            Property::always("down only after asking", |_, s: &State| {
                s.holders
                    .iter()
                    .all(|h| h.liveness != Liveness::Down || h.asked_itself)
            }),
            // Nothing under way and nothing left to tell or to ask: the end of a run.
            Property::always("refuted in the end", |_, s: &State| {
                let still = s.messages.is_empty()
                    && s.holders
                        .iter()
                        .all(|h| !h.tell.contains(&true) && !h.told && h.missed == 0);
                !still || s.holders.iter().all(|h| h.liveness == Liveness::Alive)
            }),
        ]
    }
}

/// Which of the wanted properties are broken. Where `whole`, all states have to have been seen.
fn broken(model: Suspicion, wanted: &[&'static str], whole: bool) -> Vec<&'static str> {
    let names = ["never down", "down only after asking", "refuted in the end"];
    let checker = model
        .checker()
        .threads(2)
        .target_state_count(MOST)
        .spawn_bfs()
        .join();
    let states = checker.state_count();
    assert!(
        !whole || states < MOST,
        "{states} states: not all of them were seen"
    );
    assert!(
        states > 50,
        "{states} states: the model explored too little to prove anything"
    );
    eprintln!(
        "{} states, {states} with those met again",
        checker.unique_state_count()
    );
    let all: Vec<&'static str> = names
        .into_iter()
        .filter(|n| checker.discovery(n).is_some())
        .collect();
    all.into_iter().filter(|n| wanted.contains(n)).collect()
}

const ALL: [&str; 3] = ["never down", "down only after asking", "refuted in the end"];

#[test]
fn with_fewer_losses_than_a_verdict_takes_a_live_member_is_never_down() {
    let model = Suspicion {
        losses: ROUNDS as u8,
        hearsay: false,
        unordered: false,
    };
    assert_eq!(broken(model, &ALL, true), [] as [&str; 0]);
}

#[test]
fn with_more_a_false_verdict_stays_with_those_that_asked_and_is_refuted_in_the_end() {
    let model = Suspicion {
        losses: ROUNDS as u8 + 1,
        hearsay: false,
        unordered: false,
    };
    assert_eq!(broken(model, &ALL, true), ["never down"]);
}

#[test]
fn were_hearsay_a_verdict_members_would_hold_it_down_without_asking() {
    let model = Suspicion {
        losses: ROUNDS as u8 + 1,
        hearsay: true,
        unordered: false,
    };
    assert!(broken(model, &ALL, false).contains(&"down only after asking"));
}

#[test]
fn were_old_words_taken_a_refuted_death_would_come_back() {
    let model = Suspicion {
        losses: ROUNDS as u8 + 1,
        hearsay: false,
        unordered: true,
    };
    assert!(broken(model, &ALL, false).contains(&"down only after asking"));
}
