//! Floods: clients that send at full speed must not delay the answers to other clients.

mod common;

use irisrouter_testbed::cluster::GatewayLimits;
use irisrouter_testbed::flood::{run, FloodKind, FloodPlan, FloodResults};

/// Share of a processor core of a gateway in these tests.
const CORE_SHARE: f64 = 0.4;

fn plan(kind: FloodKind) -> FloodPlan {
    FloodPlan {
        kind: Some(kind),
        clients: 6,
        reads_answers: true,
        flood_ms: 3_000,
        core_share: CORE_SHARE,
        seed: 1,
        limits: GatewayLimits::default(),
    }
}

#[track_caller]
fn assert_others_are_answered_in_time(plan: FloodPlan) -> FloodResults {
    let results = run(plan, common::gateway()).expect("a run");
    let reads = results.reads;
    assert_eq!((reads.unanswered, reads.late), (0, 0), "{results:?}");
    assert!(reads.served > 0, "{results:?}");
    results
}

/// Incident 58: each long write read and dropped megabytes, which made the next write long.
#[test]
fn flood_of_empty_statements_does_not_delay_the_answers_to_other_clients() {
    assert_others_are_answered_in_time(plan(FloodKind::Empty));
}

/// Guards against a connection that never yields while its messages need no answer.
#[test]
fn flood_of_messages_without_an_answer_does_not_delay_the_answers_to_other_clients() {
    assert_others_are_answered_in_time(plan(FloodKind::Flush));
}

/// Guards against unbounded reading ahead of an answer.
#[test]
fn flood_behind_an_unanswered_request_does_not_delay_the_answers_to_other_clients() {
    assert_others_are_answered_in_time(plan(FloodKind::EmptyBehindRead));
}
