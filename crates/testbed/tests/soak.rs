//! The soak: its checker against histories written by hand, each of which breaks a rule by a hair or just keeps it, its
//! plans, and a short soak of real gateways with fixed seeds. The long one is started by hand (`docs/soak-runs.md`).

mod common;

use irisrouter_testbed::cluster::run_in_parallel;
use irisrouter_testbed::soak::check::{self, check, SoakViolation};
use irisrouter_testbed::soak::plan::SoakPlan;
use irisrouter_testbed::soak::records::{
    AttemptRecord, DrainRecord, GatewayEnd, MemoryRecord, Records, RequestEnd, RequestRecord,
    UnfinishedMessage,
};
use irisrouter_testbed::soak::{run, summary};

/// The seeds that CI plays, ten seconds each: one to three gateways with every kind of client.
const CI_SEEDS: [u64; 8] = [4, 5, 6, 7, 9, 19, 21, 23];
const AT_ONCE: usize = 2;

/// A request of a client that waits for a second, sent at 1,000 ms.
fn request(end: RequestEnd, ended_at: u64) -> RequestRecord {
    RequestRecord {
        id: "a".into(),
        gateway: 0,
        wait_ms: 1_000,
        write: false,
        sent_at: 1_000,
        turn_at: 1_000,
        end,
        ended_at,
    }
}

fn error() -> RequestEnd {
    RequestEnd::Error {
        code: "53300".into(),
    }
}

fn with_request(request: RequestRecord) -> Records {
    Records {
        requests: vec![request],
        ..Records::default()
    }
}

fn with_attempt(request: RequestRecord, at: u64, told_ms: u64) -> Records {
    let attempt = AttemptRecord {
        id: "a".into(),
        host: "h0-1".into(),
        at,
        told_ms,
    };
    Records {
        attempts: vec![attempt],
        ..with_request(request)
    }
}

/// Checks that a history keeps all rules.
fn assert_kept(records: &Records) {
    assert_eq!(check(records), vec![]);
}

/// Checks that exactly one rule is broken in a history: its name.
fn broken_rule(records: &Records) -> String {
    let violations = check(records);
    assert_eq!(violations.len(), 1, "{violations:?}");
    let json = serde_json::to_value(&violations[0]).expect("a violation as JSON");
    json["rule"].as_str().unwrap_or_default().to_string()
}

#[test]
fn answer_may_come_half_a_second_late_and_no_later() {
    let due = 1_000 + 1_000 + check::LATE_ANSWER_MS + check::SOCKET_SLACK_MS;
    assert_kept(&with_request(request(error(), due)));
    assert_eq!(
        broken_rule(&with_request(request(error(), due + 1))),
        "late"
    );
    // The time for which it waited behind others does not count.
    let behind_others = RequestRecord {
        turn_at: 5_000,
        ..request(error(), 5_000 + check::LATE_ANSWER_MS)
    };
    assert_kept(&with_request(behind_others));
}

#[test]
fn request_that_was_sent_before_the_last_moment_is_lost_with_its_connection() {
    let end = RequestEnd::ConnectionEnded { reset: false };
    let crossing = 1_000 + check::CROSSING_MS + check::SOCKET_SLACK_MS;
    assert_kept(&with_request(request(end.clone(), crossing)));
    assert_eq!(
        broken_rule(&with_request(request(end, crossing + 1))),
        "lost"
    );
    let killed = with_request(request(RequestEnd::Killed, 1_001));
    assert_eq!(broken_rule(&killed), "unanswered_at_kill");
    assert_kept(&with_request(request(RequestEnd::ClientLeft, 9_000)));
}

#[test]
fn row_of_another_request_is_wrong() {
    assert_kept(&with_request(request(
        RequestEnd::Served { matches: true },
        1_100,
    )));
    let wrong = with_request(request(RequestEnd::Served { matches: false }, 1_100));
    assert_eq!(broken_rule(&wrong), "wrong_row");
}

#[test]
fn attempt_may_begin_a_tenth_of_a_second_after_its_client_left_and_no_later() {
    let left = request(RequestEnd::ClientLeft, 1_200);
    let last = 1_200 + check::LEFT_CLIENT_MS + check::SOCKET_SLACK_MS;
    assert_kept(&with_attempt(left.clone(), last, 100));
    assert_eq!(
        broken_rule(&with_attempt(left, last + 1, 100)),
        "sent_after_client_left"
    );
}

#[test]
fn host_may_be_told_what_is_left_and_a_slack() {
    let slack = check::TOLD_SLACK_MS + check::SOCKET_SLACK_MS;
    let served = request(RequestEnd::Served { matches: true }, 1_600);
    assert_kept(&with_attempt(served.clone(), 1_500, 500 + slack));
    assert_eq!(
        broken_rule(&with_attempt(served, 1_500, 501 + slack)),
        "told_too_much_time"
    );
}

#[test]
fn drained_host_gets_nothing_once_the_change_counts_as_known() {
    let drained = |at: u64| Records {
        drains: vec![DrainRecord {
            host: "h0-1".into(),
            listed_at: 1_000,
        }],
        ..with_attempt(
            RequestRecord {
                wait_ms: 60_000,
                ..request(error(), 1_100)
            },
            at,
            1,
        )
    };
    let last = 1_000 + check::DRAIN_KNOWN_MS + check::SOCKET_SLACK_MS;
    assert_kept(&drained(last));
    assert_eq!(broken_rule(&drained(last + 1)), "sent_to_drained");
}

#[test]
fn client_that_stops_in_a_message_has_its_end_in_three_seconds() {
    let stopped = |ended_at: Option<u64>| Records {
        unfinished: vec![UnfinishedMessage {
            gateway: 0,
            stopped_at: 1_000,
            ended_at,
        }],
        ends: vec![GatewayEnd {
            terminated_at: 8_000,
            killed_at: 12_000,
        }],
        ..Records::default()
    };
    let last = 1_000 + check::UNFINISHED_MESSAGE_MS + check::SOCKET_SLACK_MS;
    assert_kept(&stopped(Some(last)));
    assert_eq!(
        broken_rule(&stopped(Some(last + 1))),
        "unfinished_message_held"
    );
    assert_eq!(broken_rule(&stopped(None)), "unfinished_message_held");
}

#[test]
fn repeated_write_and_crash_are_broken_rules() {
    let repeated = Records {
        repeated_writes: vec![("k".into(), 2)],
        ..Records::default()
    };
    assert_eq!(broken_rule(&repeated), "duplicate");
    let crashed = Records {
        crashes: vec!["panicked".into()],
        ..Records::default()
    };
    assert_eq!(broken_rule(&crashed), "crash");
}

#[test]
fn plan_follows_from_its_seed() {
    let text = |seed| serde_json::to_string(&SoakPlan::draw(seed)).expect("a plan as JSON");
    assert_eq!(text(7), text(7));
    assert_ne!(text(7), text(8));
}

#[test]
fn soaked_gateways_owe_nobody_an_answer() {
    let program = common::gateway();
    let run_one = |seed| run::run(SoakPlan::draw(seed), program.clone());
    let verdicts = run_in_parallel(&CI_SEEDS, AT_ONCE, run_one).expect("runs");
    let violations: Vec<&SoakViolation> = verdicts.iter().flat_map(|v| &v.violations).collect();
    assert!(violations.is_empty(), "{}", summary::text(&verdicts));
    assert!(verdicts.iter().all(|verdict| verdict.counts.served > 0));
}

#[test]
fn memory_above_the_limit_is_a_broken_rule() {
    let with_peak = |peak_kb: u64| Records {
        peak_memory: vec![MemoryRecord {
            gateway: 0,
            limit_mb: 16,
            peak_kb,
        }],
        ..Records::default()
    };
    assert_kept(&with_peak(16 * 1_024));
    assert_eq!(broken_rule(&with_peak(16 * 1_024 + 1)), "memory_exceeded");
}
