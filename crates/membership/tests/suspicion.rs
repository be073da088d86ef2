//! Model checking of the core's rules of suspicion and refutation ([`irisrouter_membership::merge_rules`]) with
//! stateright. The model has one live member, the subject, and three observers that ping it and disseminate their rows
//! of it. The checks that expect a rule to hold explore all states; the others stop at a limit on the number of states.
//!
//! Messages may arrive in any order. Observers ping the subject in rounds, and a round is either answered or missed. A
//! bounded number of rounds is missed because the ping or its ack is lost. An observer may send each verdict and each
//! refutation once to every other observer. The checks are:
//!
//! - With fewer losses than one observer needs for a verdict, no observer ever considers the subject down.
//! - With more losses a false verdict is possible, which shows that the model can fail. An observer accepts the verdict
//!   of another one only if the subject also left a round of its own unanswered. Once the subject has been notified and
//!   all messages have arrived, no observer considers the subject down.
//! - If a report counts as a verdict, as in SWIM as published, or if an update of an older incarnation outranks a later
//!   one, the checker finds an observer that considers the subject down although none of its own rounds was missed.

use irisrouter_cluster_types::{GatewayId, GatewayProcess, Timestamp};
use irisrouter_membership::merge_rules::{
    self, ContactOutcome, MissedRoundOutcome, PingReason, SelfUpdateOutcome, UpdateOutcome,
};
use irisrouter_membership::{Incarnation, Liveness, MemberState, MemberUpdate};
use stateright::{Checker, Model, Property};

const OBSERVERS: usize = 3;
/// The member that the observers ping.
const SUBJECT: GatewayProcess = GatewayProcess::first(GatewayId(9));
/// Number of missed rounds after the first one that lead to a verdict.
const SUSPICION_ROUNDS: u32 = 1;
/// Maximum number of states to explore. An exhaustive check that reaches it fails.
const MAX_STATES: usize = 8_000_000;
/// Total number of rounds that an observer starts by itself; bounded so that each run ends.
const PING_ROUNDS: u8 = 3;

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Observer {
    liveness: Liveness,
    incarnation: Incarnation,
    /// Number of consecutive missed rounds.
    missed_rounds: u32,
    /// Why the subject is pinged: `ReportedDown` after another observer reported it down.
    reason: PingReason,
    /// Number of rounds that the observer may still start by itself.
    rounds_left: u8,
    /// Whether the observer still has to send its row of the subject to the observer with this index.
    unsent: [bool; OBSERVERS],
    /// Whether the observer declared the subject down because one of its own rounds was missed, and not because of an
    /// update from another observer.
    down_after_missed_round: bool,
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

    /// Queues this observer's row of the subject for all other observers; `own_index` is the index of this observer.
    fn disseminate(&mut self, own_index: usize) {
        self.unsent = std::array::from_fn(|other| other != own_index);
    }

    fn mark_alive(&mut self, own_index: usize, incarnation: Incarnation) {
        if self.incarnation != incarnation || self.liveness == Liveness::Down {
            self.disseminate(own_index);
        }
        *self = Observer {
            liveness: Liveness::Alive,
            incarnation,
            missed_rounds: 0,
            reason: PingReason::Scheduled,
            down_after_missed_round: false,
            ..self.clone()
        };
    }
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Message {
    /// An observer's row of the subject, sent to another observer.
    Update {
        to: usize,
        incarnation: Incarnation,
        down: bool,
    },
    /// Notifies the subject that an observer considers it down.
    NotifySubject {
        from: usize,
        incarnation: Incarnation,
    },
    /// The subject's refutation, sent to the observer that notified it.
    Refutation { to: usize, incarnation: Incarnation },
}

impl Message {
    /// Returns the kind, observer, incarnation and verdict. They define a total order, so that states with the same set
    /// of messages compare equal.
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
    /// Number of rounds that may still be lost.
    losses_left: u8,
    /// The messages in flight, sorted by [`Message::sort_key`].
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

    /// Applies a report to the subject that it is down in the given incarnation.
    fn report_down_to_subject(&mut self, incarnation: Incarnation) {
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
        // The ping of an observer that verifies a report carries the report, and the subject refutes it before it
        // answers the ping.
        if observer.reason == PingReason::ReportedDown {
            let incarnation = observer.incarnation;
            self.report_down_to_subject(incarnation);
        }
        let incarnation = self.incarnation;
        self.observers[index].mark_alive(index, incarnation);
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
                observer.down_after_missed_round = true;
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
    /// A round that the subject answers.
    AnswerPing {
        observer: usize,
    },
    /// A round that is missed because its pings or acks are lost.
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

struct SuspicionModel {
    /// Total number of rounds that may be lost.
    losses: u8,
    /// Whether observers accept a report as a verdict without verifying it, as in SWIM as published.
    reports_are_verdicts: bool,
    /// Whether updates of older incarnations are applied.
    outdated_updates_apply: bool,
}

impl SuspicionModel {
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
                state.report_down_to_subject(incarnation);
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
                    observer.mark_alive(to, incarnation);
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
            UpdateOutcome::Apply => observer.mark_alive(to, incarnation),
            UpdateOutcome::Verify => {
                observer.liveness = Liveness::Suspect;
                observer.incarnation = incarnation;
                observer.reason = PingReason::ReportedDown;
            }
        }
    }
}

/// Adds the steps that one observer may take next.
fn add_observer_steps(index: usize, observer: &Observer, losses_left: u8, steps: &mut Vec<Step>) {
    // A member that is down is not pinged; the notification that was sent with the verdict reaches it instead.
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
    // An observer that only suspects the subject does not report it down.
    let recipients = (0..OBSERVERS).filter(|&other| observer.unsent[other]);
    steps.extend(recipients.map(|to| Step::SendUpdate { from: index, to }));
}

impl Model for SuspicionModel {
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
            down_after_missed_round: false,
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
            add_observer_steps(index, observer, state.losses_left, steps);
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
                    observer.liveness != Liveness::Down || observer.down_after_missed_round
                })
            }),
            Property::always(EVENTUALLY_REFUTED, |_, state: &State| {
                let mut observers = state.observers.iter();
                !is_quiescent(state)
                    || observers.all(|observer| observer.liveness == Liveness::Alive)
            }),
        ]
    }
}

/// Returns whether no message is in flight and no update, verification or suspicion is pending: the end of a run.
fn is_quiescent(state: &State) -> bool {
    state.messages.is_empty()
        && state.observers.iter().all(|observer| {
            !observer.unsent.contains(&true)
                && observer.reason == PingReason::Scheduled
                && observer.missed_rounds == 0
        })
}

const NEVER_DOWN: &str = "never down";
const DOWN_ONLY_AFTER_MISSED_ROUND: &str = "down only after a missed round";
const EVENTUALLY_REFUTED: &str = "eventually refuted";
const ALL_PROPERTIES: [&str; 3] = [NEVER_DOWN, DOWN_ONLY_AFTER_MISSED_ROUND, EVENTUALLY_REFUTED];

/// Whether a check has to explore all states.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Search {
    Exhaustive,
    UntilViolated,
}

/// Runs the model checker and returns the names of the properties that are violated.
fn violated_properties(model: SuspicionModel, search: Search) -> Vec<&'static str> {
    let checker = model
        .checker()
        .threads(2)
        .target_state_count(MAX_STATES)
        .spawn_bfs()
        .join();
    let states = checker.state_count();
    assert!(
        search == Search::UntilViolated || states < MAX_STATES,
        "reached the limit of {states} states before all were explored"
    );
    assert!(
        states > 50,
        "only {states} states were explored, expected more than 50"
    );
    eprintln!(
        "{} distinct states, {states} generated",
        checker.unique_state_count()
    );
    ALL_PROPERTIES
        .into_iter()
        .filter(|property| checker.discovery(property).is_some())
        .collect()
}

#[test]
fn live_member_is_never_down_with_fewer_losses_than_a_verdict_requires() {
    let model = SuspicionModel {
        losses: SUSPICION_ROUNDS as u8,
        reports_are_verdicts: false,
        outdated_updates_apply: false,
    };
    let violated = violated_properties(model, Search::Exhaustive);
    assert_eq!(violated, [] as [&str; 0]);
}

#[test]
fn false_verdict_stays_with_observers_that_missed_a_round_and_is_eventually_refuted() {
    let model = SuspicionModel {
        losses: SUSPICION_ROUNDS as u8 + 1,
        reports_are_verdicts: false,
        outdated_updates_apply: false,
    };
    let violated = violated_properties(model, Search::Exhaustive);
    assert_eq!(violated, [NEVER_DOWN]);
}

#[test]
fn observers_declare_a_member_down_without_a_missed_round_if_reports_are_verdicts() {
    let model = SuspicionModel {
        losses: SUSPICION_ROUNDS as u8 + 1,
        reports_are_verdicts: true,
        outdated_updates_apply: false,
    };
    let violated = violated_properties(model, Search::UntilViolated);
    assert!(violated.contains(&DOWN_ONLY_AFTER_MISSED_ROUND));
}

#[test]
fn refuted_verdict_returns_if_outdated_updates_apply() {
    let model = SuspicionModel {
        losses: SUSPICION_ROUNDS as u8 + 1,
        reports_are_verdicts: false,
        outdated_updates_apply: true,
    };
    let violated = violated_properties(model, Search::UntilViolated);
    assert!(violated.contains(&DOWN_ONLY_AFTER_MISSED_ROUND));
}
