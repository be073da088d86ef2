//! The core's rules of suspicion and refutation ([`irisrouter_membership::merge_rules`]), checked exhaustively at small
//! size with stateright: one live member, the subject, and three observers that ping it and pass on what they hold of it.
//!
//! In the model any message may arrive after any other, in any order; a bounded number of rounds of pings is lost, the
//! ping or its ack. An observer pings the subject in rounds; a round ends with an answer or is missed. A verdict, like a
//! refutation, may be sent by the observer that holds it to each other observer once. What is checked:
//!
//! - with fewer losses than one observer needs for a verdict, no observer ever holds the subject down;
//! - with more, a false verdict is possible (the model can fail), but no observer takes it on from another as long as
//!   the subject answers that other, and once the subject has been notified and everything has arrived, no observer
//!   holds it down;
//! - the same two fail when a report is a verdict (as in SWIM as published), or when an update of an older incarnation
//!   outranks a later one.

use irisrouter_cluster_types::{GatewayId, GatewayProcess, Timestamp};
use irisrouter_membership::merge_rules::{
    self, ContactOutcome, MissedRoundOutcome, PingReason, SelfUpdateOutcome, UpdateOutcome,
};
use irisrouter_membership::{Incarnation, Liveness, MemberState, MemberUpdate};
use stateright::{Checker, Model, Property};

const OBSERVERS: usize = 3;
/// The member that is pinged.
const SUBJECT: GatewayProcess = GatewayProcess::first(GatewayId(9));
/// Missed rounds after the first that lead to a verdict.
const SUSPICION_ROUNDS: u32 = 1;
/// The bound on the states that are looked at. A check that reaches it fails, as it has to be exhaustive.
const MAX_STATES: usize = 8_000_000;
/// Rounds of pings that an observer starts in all, so that each run ends.
const PING_ROUNDS: u8 = 3;

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Observer {
    liveness: Liveness,
    incarnation: Incarnation,
    /// Rounds missed in a row.
    missed_rounds: u32,
    /// Whether another observer reported the subject down.
    reason: PingReason,
    /// Rounds of pings still to be started.
    rounds_left: u8,
    /// To which of the others it has still to send what it holds.
    unsent: [bool; OBSERVERS],
    /// Whether it came to hold the subject down by a missed round of its own.
    missed_round_itself: bool,
}

impl Observer {
    fn row(&self) -> MemberState {
        MemberState {
            process: SUBJECT,
            liveness: self.liveness,
            incarnation: self.incarnation,
            since: Timestamp::ZERO,
            last_received: None,
        }
    }

    /// Queues what this observer, which has this index, holds for all others.
    fn disseminate(&mut self, own_index: usize) {
        self.unsent = std::array::from_fn(|other| other != own_index);
    }

    fn hold_alive(&mut self, own_index: usize, incarnation: Incarnation) {
        if self.incarnation != incarnation || self.liveness == Liveness::Down {
            self.disseminate(own_index);
        }
        *self = Observer {
            liveness: Liveness::Alive,
            incarnation,
            missed_rounds: 0,
            reason: PingReason::Scheduled,
            missed_round_itself: false,
            ..self.clone()
        };
    }
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Message {
    /// What an observer holds of the subject, sent to another observer.
    Update {
        to: usize,
        incarnation: Incarnation,
        down: bool,
    },
    /// Notifies the subject that an observer holds it down.
    NotifySubject {
        from: usize,
        incarnation: Incarnation,
    },
    /// The subject's refutation, to an observer that held it down.
    Refutation { to: usize, incarnation: Incarnation },
}

impl Message {
    /// Kind, observer, incarnation and verdict: a total order, so that equal sets of messages make equal states.
    fn sort_key(&self) -> (u8, usize, u16, bool) {
        match *self {
            Self::Update {
                to,
                incarnation,
                down,
            } => (0, to, incarnation.0, down),
            Self::NotifySubject { from, incarnation } => (1, from, incarnation.0, false),
            Self::Refutation { to, incarnation } => (2, to, incarnation.0, false),
        }
    }
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct State {
    observers: Vec<Observer>,
    /// The incarnation of the subject.
    incarnation: Incarnation,
    losses_left: u8,
    messages: Vec<Message>,
}

impl State {
    fn send(&mut self, message: Message) {
        self.messages.push(message);
        self.messages.sort_unstable_by_key(Message::sort_key);
    }

    fn notify_subject(&mut self, from: usize) {
        let incarnation = self.observers[from].incarnation;
        self.send(Message::NotifySubject { from, incarnation });
    }

    /// The subject learns that it is held down in this incarnation.
    fn process_down_at_subject(&mut self, incarnation: Incarnation) {
        let update = MemberUpdate {
            process: SUBJECT,
            incarnation,
            down: true,
        };
        let outcome = merge_rules::merge_update_about_self(SUBJECT, self.incarnation, &update);
        if let SelfUpdateOutcome::Refute(next_incarnation) = outcome {
            self.incarnation = next_incarnation;
        }
    }

    fn answer_ping(&mut self, index: usize) {
        let observer = &mut self.observers[index];
        observer.rounds_left = observer.rounds_left.saturating_sub(1);
        // The ping of an observer that received a report says so: the subject refutes before it answers.
        if observer.reason == PingReason::ReportedDown {
            let incarnation = observer.incarnation;
            self.process_down_at_subject(incarnation);
        }
        let incarnation = self.incarnation;
        self.observers[index].hold_alive(index, incarnation);
    }

    fn lose_ping(&mut self, index: usize) {
        self.losses_left -= 1;
        let observer = &mut self.observers[index];
        observer.rounds_left -= 1;
        observer.missed_rounds += 1;
        let outcome = merge_rules::judge_missed_round(
            observer.missed_rounds,
            observer.reason,
            SUSPICION_ROUNDS,
        );
        match outcome {
            MissedRoundOutcome::Suspect => observer.liveness = Liveness::Suspect,
            MissedRoundOutcome::Down => {
                observer.liveness = Liveness::Down;
                observer.missed_round_itself = true;
                observer.disseminate(index);
                self.notify_subject(index);
            }
        }
    }

    fn send_update(&mut self, from: usize, to: usize) {
        let observer = &mut self.observers[from];
        observer.unsent[to] = false;
        let update = Message::Update {
            to,
            incarnation: observer.incarnation,
            down: observer.liveness == Liveness::Down,
        };
        self.send(update);
    }
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Step {
    /// A round of pings that the subject answers.
    AnswerPing {
        observer: usize,
    },
    /// A round of pings that is lost.
    LosePing {
        observer: usize,
    },
    SendUpdate {
        from: usize,
        to: usize,
    },
    Deliver {
        message: usize,
    },
}

struct Suspicion {
    /// Rounds of pings lost in all.
    losses: u8,
    /// Whether a report is a verdict, as in SWIM as published.
    reports_are_verdicts: bool,
    /// Whether updates of older incarnations are applied.
    outdated_updates_apply: bool,
}

impl Suspicion {
    fn merge_update(&self, observer: &Observer, update: &MemberUpdate) -> UpdateOutcome {
        match merge_rules::merge_update(&observer.row(), update) {
            UpdateOutcome::Verify if self.reports_are_verdicts => UpdateOutcome::Apply,
            UpdateOutcome::SenderOutdated if self.outdated_updates_apply => UpdateOutcome::Apply,
            outcome => outcome,
        }
    }

    fn deliver(&self, state: &mut State, message: Message) {
        match message {
            Message::Update {
                to,
                incarnation,
                down,
            } => self.deliver_update(state, to, incarnation, down),
            Message::NotifySubject { from, incarnation } => {
                state.process_down_at_subject(incarnation);
                let incarnation = state.incarnation;
                state.send(Message::Refutation {
                    to: from,
                    incarnation,
                });
            }
            Message::Refutation { to, incarnation } => {
                let observer = &mut state.observers[to];
                let outcome = merge_rules::merge_contact(&observer.row(), SUBJECT, incarnation);
                if outcome == ContactOutcome::Alive {
                    observer.hold_alive(to, incarnation);
                }
            }
        }
    }

    fn deliver_update(&self, state: &mut State, to: usize, incarnation: Incarnation, down: bool) {
        let update = MemberUpdate {
            process: SUBJECT,
            incarnation,
            down,
        };
        let observer = &mut state.observers[to];
        match self.merge_update(observer, &update) {
            UpdateOutcome::Stale | UpdateOutcome::SenderOutdated => {}
            UpdateOutcome::Apply if down => {
                observer.liveness = Liveness::Down;
                observer.incarnation = incarnation;
                observer.disseminate(to);
                state.notify_subject(to);
            }
            UpdateOutcome::Apply => observer.hold_alive(to, incarnation),
            UpdateOutcome::Verify => {
                observer.liveness = Liveness::Suspect;
                observer.incarnation = incarnation;
                observer.reason = PingReason::ReportedDown;
            }
        }
    }
}

/// The steps that one observer may take next.
fn steps_of(index: usize, observer: &Observer, losses_left: u8, steps: &mut Vec<Step>) {
    // A member that is held down is not pinged; the notification sent with the verdict looks for it.
    if observer.liveness != Liveness::Down {
        let must_be_answered =
            observer.reason == PingReason::ReportedDown || observer.missed_rounds > 0;
        if observer.rounds_left > 0 || must_be_answered {
            steps.push(Step::AnswerPing { observer: index });
        }
        if losses_left > 0 && observer.rounds_left > 0 {
            steps.push(Step::LosePing { observer: index });
        }
    }
    // A suspicion is not passed on as a verdict.
    let recipients = (0..OBSERVERS).filter(|&other| observer.unsent[other]);
    steps.extend(recipients.map(|to| Step::SendUpdate { from: index, to }));
}

impl Model for Suspicion {
    type State = State;
    type Action = Step;

    fn init_states(&self) -> Vec<State> {
        let observer = Observer {
            liveness: Liveness::Alive,
            incarnation: Incarnation::FIRST,
            missed_rounds: 0,
            reason: PingReason::Scheduled,
            rounds_left: PING_ROUNDS,
            unsent: [false; OBSERVERS],
            missed_round_itself: false,
        };
        vec![State {
            observers: vec![observer; OBSERVERS],
            incarnation: Incarnation::FIRST,
            losses_left: self.losses,
            messages: Vec::new(),
        }]
    }

    fn actions(&self, state: &State, steps: &mut Vec<Step>) {
        for (index, observer) in state.observers.iter().enumerate() {
            steps_of(index, observer, state.losses_left, steps);
        }
        steps.extend((0..state.messages.len()).map(|message| Step::Deliver { message }));
    }

    fn next_state(&self, last: &State, step: Step) -> Option<State> {
        let mut state = last.clone();
        match step {
            Step::AnswerPing { observer } => state.answer_ping(observer),
            Step::LosePing { observer } => state.lose_ping(observer),
            Step::SendUpdate { from, to } => state.send_update(from, to),
            Step::Deliver { message } => {
                let message = state.messages.remove(message);
                self.deliver(&mut state, message);
            }
        }
        Some(state)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always(NEVER_DOWN, |_, state: &State| {
                let mut observers = state.observers.iter();
                observers.all(|observer| observer.liveness != Liveness::Down)
            }),
            Property::always(DOWN_ONLY_AFTER_MISSED_ROUND, |_, state: &State| {
                state.observers.iter().all(|observer| {
                    observer.liveness != Liveness::Down || observer.missed_round_itself
                })
            }),
            Property::always(REFUTED_IN_THE_END, |_, state: &State| {
                let mut observers = state.observers.iter();
                !is_at_rest(state) || observers.all(|observer| observer.liveness == Liveness::Alive)
            }),
        ]
    }
}

/// Whether nothing is under way and nothing is left to send or to verify: the end of a run.
fn is_at_rest(state: &State) -> bool {
    state.messages.is_empty()
        && state.observers.iter().all(|observer| {
            !observer.unsent.contains(&true)
                && observer.reason == PingReason::Scheduled
                && observer.missed_rounds == 0
        })
}

const NEVER_DOWN: &str = "never down";
const DOWN_ONLY_AFTER_MISSED_ROUND: &str = "down only after a missed round";
const REFUTED_IN_THE_END: &str = "refuted in the end";
const ALL_PROPERTIES: [&str; 3] = [NEVER_DOWN, DOWN_ONLY_AFTER_MISSED_ROUND, REFUTED_IN_THE_END];

/// Whether all states have to be seen for a check to count.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Search {
    Exhaustive,
    UntilFound,
}

/// The properties that are violated.
fn violated_properties(model: Suspicion, search: Search) -> Vec<&'static str> {
    let checker = model
        .checker()
        .threads(2)
        .target_state_count(MAX_STATES)
        .spawn_bfs()
        .join();
    let states = checker.state_count();
    assert!(
        search == Search::UntilFound || states < MAX_STATES,
        "{states} states: not all of them were seen"
    );
    assert!(
        states > 50,
        "{states} states: the model explored too little to prove anything"
    );
    eprintln!(
        "{} states, {states} with those seen again",
        checker.unique_state_count()
    );
    ALL_PROPERTIES
        .into_iter()
        .filter(|property| checker.discovery(property).is_some())
        .collect()
}

#[test]
fn live_member_is_never_down_with_fewer_losses_than_a_verdict_takes() {
    let model = Suspicion {
        losses: SUSPICION_ROUNDS as u8,
        reports_are_verdicts: false,
        outdated_updates_apply: false,
    };
    let violated = violated_properties(model, Search::Exhaustive);
    assert_eq!(violated, [] as [&str; 0]);
}

#[test]
fn false_verdict_stays_with_observers_that_missed_a_round_and_is_refuted_in_the_end() {
    let model = Suspicion {
        losses: SUSPICION_ROUNDS as u8 + 1,
        reports_are_verdicts: false,
        outdated_updates_apply: false,
    };
    let violated = violated_properties(model, Search::Exhaustive);
    assert_eq!(violated, [NEVER_DOWN]);
}

#[test]
fn observers_hold_a_member_down_without_a_missed_round_if_reports_are_verdicts() {
    let model = Suspicion {
        losses: SUSPICION_ROUNDS as u8 + 1,
        reports_are_verdicts: true,
        outdated_updates_apply: false,
    };
    let violated = violated_properties(model, Search::UntilFound);
    assert!(violated.contains(&DOWN_ONLY_AFTER_MISSED_ROUND));
}

#[test]
fn refuted_verdict_returns_if_outdated_updates_apply() {
    let model = Suspicion {
        losses: SUSPICION_ROUNDS as u8 + 1,
        reports_are_verdicts: false,
        outdated_updates_apply: true,
    };
    let violated = violated_properties(model, Search::UntilFound);
    assert!(violated.contains(&DOWN_ONLY_AFTER_MISSED_ROUND));
}
