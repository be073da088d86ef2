//! Floods: clients that send at full speed must not delay the answers to other clients.

mod common;

use irisrouter_testbed::cluster::GatewayLimits;
use irisrouter_testbed::flood::{run, FloodKind, FloodPlan, FloodResults};
use std::sync::{Mutex, PoisonError};

/// Shares of a processor core of a gateway in these tests.
const CORE_SHARE: f64 = 0.4;
const SMALL_CORE_SHARE: f64 = 0.1;

fn plan(kind: FloodKind) -> FloodPlan {
    FloodPlan {
        kind: Some(kind),
        clients: 6,
        reads_answers: true,
        flood_ms: 3_000,
        core_share: CORE_SHARE,
        unanswered_every: 2,
        seed: 1,
        limits: GatewayLimits::default(),
    }
}

/// Held by the test that runs: the floods of several tests at once would delay one another's clients and limiters.
static FLOOD: Mutex<()> = Mutex::new(());

#[track_caller]
fn assert_others_are_answered_in_time(plan: FloodPlan) -> FloodResults {
    let _flood = FLOOD.lock().unwrap_or_else(PoisonError::into_inner);
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

/// Guards against work that grows with names that have not been seen before.
#[test]
fn flood_under_ever_new_names_does_not_delay_the_answers_to_other_clients() {
    for kind in [
        FloodKind::UnknownClass,
        FloodKind::UnknownGroup,
        FloodKind::Reads,
    ] {
        assert_others_are_answered_in_time(FloodPlan {
            flood_ms: 1_500,
            core_share: SMALL_CORE_SHARE,
            ..plan(kind)
        });
    }
}

/// Guards against a delay that grows with the number of flooding clients.
#[test]
fn flood_of_unsound_statements_by_a_hundred_clients_does_not_delay_the_answers_to_others() {
    let results = assert_others_are_answered_in_time(FloodPlan {
        clients: 100,
        flood_ms: 1_500,
        limits: GatewayLimits {
            memory_mb: 64,
            sockets: 2_048,
        },
        ..plan(FloodKind::Malformed)
    });
    assert!(results.reads.requests >= 500, "{results:?}");
}
