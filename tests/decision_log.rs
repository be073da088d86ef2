//! Checks that fixed event sequences lead to the same actions in every version, unless a change of
//! decisions is intended.
//!
//! The recorded digests are in `fixtures/decision_log.txt`. A commit that intends to change
//! decisions replaces them by those of the failure message, and explains which scenarios changed
//! and why.
//!
//! Estimates use `exp` and `powf`, whose last digit may differ between math libraries. The recorded
//! digests were made with glibc.

mod event_sequence;

use event_sequence::{scenarios, EventSequence, Scenario};
use irisrouter::routing::{Action, Router, TimeDelta, Timestamp};

const BATCHES: usize = 3_000;
const SEED: u64 = 1;

/// FNV-1a hash of the numbers that represent the actions.
struct Digest(u64);

impl Digest {
    fn new() -> Self {
        Digest(0xcbf2_9ce4_8422_2325)
    }

    fn add(&mut self, number: u64) {
        for byte in number.to_le_bytes() {
            self.0 = (self.0 ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3);
        }
    }

    fn add_actions(&mut self, now: Timestamp, actions: &[Action]) {
        for action in actions {
            self.add(now.as_nanos() as u64);
            let numbers = match *action {
                Action::StartAttempt {
                    id,
                    member,
                    timeout,
                } => [1, id.0, u64::from(member.0), bits(timeout)],
                Action::CancelAttempt { id, attempt } => [2, id.0, u64::from(attempt), 0],
                Action::Reject { id, retry_after } => [3, id.0, bits(retry_after), 0],
                Action::Fail { id } => [4, id.0, 0, 0],
                Action::HealthCheck { member } => [5, u64::from(member.0), 0, 0],
                Action::SetTimer { after } => [6, bits(after), 0, 0],
                Action::WatchEndpoints => [7, 0, 0, 0],
            };
            for number in numbers {
                self.add(number);
            }
        }
    }
}

/// The bits of a length of time in nanoseconds.
fn bits(time: TimeDelta) -> u64 {
    time.as_nanos() as u64
}

fn digest(scenario: &Scenario) -> String {
    let mut router = Router::new(scenario.settings.clone());
    let mut sequence = EventSequence::new(scenario, SEED);
    let mut digest = Digest::new();
    for _ in 0..BATCHES {
        let (now, events) = sequence.next_batch();
        let actions = router.batch(now, &events);
        digest.add_actions(now, &actions);
        sequence.carry_out(&actions);
    }
    format!("{} {:016x}", scenario.name, digest.0)
}

#[test]
fn fixed_event_sequences_lead_to_the_recorded_actions() {
    let digests: Vec<String> = scenarios().iter().map(digest).collect();
    let recorded = include_str!("fixtures/decision_log.txt");
    assert_eq!(digests.join("\n"), recorded.trim_end());
}
