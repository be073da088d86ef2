//! The rules of suspicion and refutation as the core applies them, checked exhaustively at small size with stateright:
//! a member that is alive, and whose messages arrive within a tick, is never declared down.
//!
//! The model: one live suspect S and three holders. Holder 0 suspects S at incarnation 0 (its probe was lost). A holder
//! that learns an update passes it on once, to any member it chooses (foca's bounded transmissions); with the buddy rule
//! (`tell_suspects`) it also tells the suspect directly. S, told of a suspicion, raises its incarnation above it and
//! passes its refutation on once; told again, it passes it on again (foca gossips at every suspicion of itself). A
//! holder that learns a higher incarnation holds S alive. Time moves by ticks; a tick waits until every message has
//! arrived and every pending update has been passed on (messages arrive, and updates ride on the next message). A
//! suspicion older than `timeout` ticks is declared down.
//!
//! The model also has a rule that the core does not have: S answers each holder that told it, directly (`answer`).
//! Without the buddy rule the checker finds the run seen in the simulation: the suspicion goes round the holders and
//! never reaches S. With the buddy rule alone, as the core is, it finds the run seen at 50 members: every refutation
//! goes to one holder and the others time out. With the answer as well it finds none. The answer was tried in the core
//! and not kept (`docs/membership.md`: worse at 7 members); these tests record the gap and what would close it.

use stateright::{Checker, Model, Property};

const HOLDERS: usize = 3;
/// More states are not looked at; then the check fails, as it must end and be whole.
const MOST: usize = 2_000_000;

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Standing {
    Alive,
    Suspect,
    Down,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Holder {
    standing: Standing,
    incarnation: u8,
    since: u8,
    /// An update learnt and not yet passed on.
    to_pass: bool,
    /// The suspect is yet to be told directly (buddy rule).
    to_tell: bool,
}

/// Where a message goes: the suspect, or a holder.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum To {
    Suspect,
    Holder(usize),
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Message {
    /// The holder that sent it, where a holder did.
    from: Option<usize>,
    to: To,
    standing: Standing,
    incarnation: u8,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct State {
    now: u8,
    holders: Vec<Holder>,
    /// The suspect's incarnation, and whether it has a refutation to pass on.
    incarnation: u8,
    to_refute: bool,
    messages: Vec<Message>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Step {
    Tick,
    Arrive(usize),
    Pass { from: usize, to: To },
    Tell(usize),
    Refute(usize),
}

struct Suspicion {
    buddy: bool,
    /// The suspect answers whoever told it directly.
    answer: bool,
    timeout: u8,
    end: u8,
}

fn learn(h: &mut Holder, standing: Standing, incarnation: u8, now: u8, buddy: bool) {
    let newer = incarnation > h.incarnation;
    let worse =
        incarnation == h.incarnation && h.standing == Standing::Alive && standing == Standing::Suspect;
    if h.standing == Standing::Down || !(newer || worse) {
        return;
    }
    h.incarnation = incarnation;
    if h.standing != standing {
        h.since = now;
    }
    h.standing = standing;
    h.to_pass = true;
    h.to_tell = buddy && standing == Standing::Suspect;
}

impl Model for Suspicion {
    type State = State;
    type Action = Step;

    fn init_states(&self) -> Vec<State> {
        let alive =
            Holder { standing: Standing::Alive, incarnation: 0, since: 0, to_pass: false, to_tell: false };
        let mut holders = vec![alive; HOLDERS];
        holders[0] =
            Holder { standing: Standing::Suspect, to_pass: true, to_tell: self.buddy, ..holders[0].clone() };
        vec![State { now: 0, holders, incarnation: 0, to_refute: false, messages: Vec::new() }]
    }

    fn actions(&self, s: &State, steps: &mut Vec<Step>) {
        let pending = s.to_refute || s.holders.iter().any(|h| h.to_pass || h.to_tell);
        if s.messages.is_empty() && !pending && s.now < self.end {
            steps.push(Step::Tick);
        }
        steps.extend((0..s.messages.len()).map(Step::Arrive));
        for (from, h) in s.holders.iter().enumerate() {
            if h.to_pass {
                steps.push(Step::Pass { from, to: To::Suspect });
                steps.extend(
                    (0..HOLDERS).filter(|&o| o != from).map(|o| Step::Pass { from, to: To::Holder(o) }),
                );
            }
            if h.to_tell {
                steps.push(Step::Tell(from));
            }
        }
        if s.to_refute {
            steps.extend((0..HOLDERS).map(Step::Refute));
        }
    }

    fn next_state(&self, last: &State, step: Step) -> Option<State> {
        let mut s = last.clone();
        match step {
            Step::Tick => {
                s.now += 1;
                for h in &mut s.holders {
                    if h.standing == Standing::Suspect && s.now >= h.since + self.timeout {
                        h.standing = Standing::Down;
                    }
                }
            }
            Step::Arrive(i) => {
                let m = s.messages.remove(i);
                match m.to {
                    To::Suspect => {
                        if m.standing == Standing::Suspect {
                            s.incarnation = s.incarnation.max(m.incarnation + 1);
                            s.to_refute = true;
                            // The answer to the teller (`answer_suspicion`): whoever tells the suspect hears back.
                            if let (true, Some(teller)) = (self.answer, m.from) {
                                let incarnation = s.incarnation;
                                let to = To::Holder(teller);
                                s.messages.push(Message {
                                    from: None,
                                    to,
                                    standing: Standing::Alive,
                                    incarnation,
                                });
                            }
                        }
                    }
                    To::Holder(o) => learn(&mut s.holders[o], m.standing, m.incarnation, s.now, self.buddy),
                }
            }
            Step::Pass { from, to } => {
                let h = &mut s.holders[from];
                h.to_pass = false;
                let (standing, incarnation) = (h.standing, h.incarnation);
                if standing != Standing::Down {
                    s.messages.push(Message { from: Some(from), to, standing, incarnation });
                }
            }
            Step::Tell(from) => {
                let h = &mut s.holders[from];
                h.to_tell = false;
                if h.standing == Standing::Suspect {
                    let incarnation = h.incarnation;
                    let to = To::Suspect;
                    s.messages.push(Message {
                        from: Some(from),
                        to,
                        standing: Standing::Suspect,
                        incarnation,
                    });
                }
            }
            Step::Refute(to) => {
                s.to_refute = false;
                let incarnation = s.incarnation;
                s.messages.push(Message {
                    from: None,
                    to: To::Holder(to),
                    standing: Standing::Alive,
                    incarnation,
                });
            }
        }
        Some(s)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("a live member whose messages arrive is never declared down", |_, s: &State| {
                s.holders.iter().all(|h| h.standing != Standing::Down)
            }),
            Property::sometimes("the suspect refutes", |_, s: &State| s.incarnation > 0),
        ]
    }
}

/// Runs the checker; returns the states seen and whether the first property was broken.
fn check(model: Suspicion) -> (usize, bool) {
    let checker = model.checker().threads(2).target_state_count(MOST).spawn_bfs().join();
    let broken = checker.discovery("a live member whose messages arrive is never declared down").is_some();
    if !broken {
        checker.assert_properties();
    }
    let states = checker.unique_state_count();
    assert!(broken || states < MOST, "{states} states: not all of them were seen");
    (states, broken)
}

#[test]
fn in_the_model_suspects_told_and_tellers_answered_are_never_declared_down() {
    let (states, broken) = check(Suspicion { buddy: true, answer: true, timeout: 2, end: 4 });
    assert!(!broken, "declared down in one of {states} states");
    assert!(states > 100, "{states} states: the model explored too little to prove anything");
}

#[test]
fn without_telling_the_suspect_the_suspicion_never_reaches_it() {
    let (_, broken) = check(Suspicion { buddy: false, answer: true, timeout: 2, end: 4 });
    assert!(broken, "the model cannot fail: it proves nothing");
}

#[test]
fn as_the_core_is_the_refutation_can_miss_a_holder() {
    // All refutations may go to one holder, which passes its one copy to the suspect: the others time out. This is the
    // gap that the core still has; mending it turns this test, as it should, into a failure to be rewritten.
    let (_, broken) = check(Suspicion { buddy: true, answer: false, timeout: 2, end: 4 });
    assert!(broken, "the answer to the teller would then be needless");
}
