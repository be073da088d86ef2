//! Tests of record operations and look-ups on a simulated network: a look-up does not report a recorded write as never
//! sent, even if one gateway is dead, be it the writer or a replica, and datagrams are lost.

mod simulation;

use irisrouter_cluster_types::{GatewayId, Milliseconds, UnixMilliseconds};
use irisrouter_write_intents::{IntentStore, KeyHash, Outcome, SequenceNumber, RETENTION};
use proptest::prelude::{prop_assert_eq, prop_assert_ne, prop_assume, proptest};
use simulation::Fleet;

#[test]
fn recorded_write_is_found_by_every_other_gateway_when_its_gateway_dies() {
    for size in 2..9 {
        for writer in 0..size {
            let mut fleet = Fleet::new(size, 0, 1);
            assert_eq!(
                fleet
                    .record(GatewayId(writer), KeyHash(77), UnixMilliseconds(1_000))
                    .outcome,
                Outcome::Recorded
            );
            fleet.stores[writer as usize] = None;
            for other in (0..size).filter(|&other| other != writer) {
                assert_eq!(
                    fleet.look_up(GatewayId(other), KeyHash(77)),
                    Outcome::MayHaveRunSince(UnixMilliseconds(1_000)),
                    "{size} gateways, {writer}, {other}"
                );
            }
        }
    }
}

#[test]
fn withdrawn_write_is_not_found_and_the_intent_of_an_earlier_writer_stays() {
    let mut fleet = Fleet::new(5, 0, 1);
    let first = fleet.record(GatewayId(0), KeyHash(7), UnixMilliseconds(1_000));
    assert_eq!(first.outcome, Outcome::Recorded);
    let second = fleet.record(GatewayId(1), KeyHash(7), UnixMilliseconds(1_400));
    assert_eq!(second.outcome, Outcome::Recorded);
    fleet.withdraw(GatewayId(1), second.intent, KeyHash(7));
    fleet.run(Milliseconds(50));
    assert_eq!(
        fleet.look_up(GatewayId(3), KeyHash(7)),
        Outcome::MayHaveRunSince(UnixMilliseconds(1_000))
    );
    fleet.withdraw(GatewayId(0), first.intent, KeyHash(7));
    fleet.run(Milliseconds(50));
    assert_eq!(fleet.look_up(GatewayId(3), KeyHash(7)), Outcome::NeverSent);
}

#[test]
fn record_fails_and_look_up_is_unproven_without_two_answers() {
    let mut fleet = Fleet::new(4, 100, 1);
    assert_eq!(
        fleet
            .record(GatewayId(0), KeyHash(7), UnixMilliseconds(1_000))
            .outcome,
        Outcome::NotRecorded
    );
    assert_eq!(fleet.look_up(GatewayId(1), KeyHash(7)), Outcome::Unproven);
    // A gateway without peers has no replica, and no other gateway could receive a retry of its writes.
    let mut alone = Fleet::new(1, 100, 1);
    assert_eq!(
        alone
            .record(GatewayId(0), KeyHash(7), UnixMilliseconds(1_000))
            .outcome,
        Outcome::Recorded
    );
    assert_eq!(
        alone.look_up(GatewayId(0), KeyHash(7)),
        Outcome::MayHaveRunSince(UnixMilliseconds(1_000))
    );
}

#[test]
fn look_up_at_restarted_replicas_is_unproven_until_the_retention_has_passed() {
    let mut fleet = Fleet::new(5, 0, 1);
    assert_eq!(
        fleet
            .record(GatewayId(0), KeyHash(9), UnixMilliseconds(1_000))
            .outcome,
        Outcome::Recorded
    );
    // The writer and every replica die, and all of them except the writer are restarted. No gateway knows the write any
    // more, but none may conclude that it was never sent.
    fleet.stores[0] = None;
    for number in 1..5 {
        fleet.stores[number] = Some(IntentStore::new(
            GatewayId(number as u32),
            fleet.now,
            SequenceNumber(1),
        ));
    }
    assert_eq!(fleet.look_up(GatewayId(2), KeyHash(9)), Outcome::Unproven);
    // After the retention, clients do not retry the write any more.
    fleet.now += RETENTION;
    assert_eq!(fleet.look_up(GatewayId(2), KeyHash(9)), Outcome::NeverSent);
}

#[test]
fn dead_replica_is_replaced_by_the_next_candidate() {
    for dead in 1..6 {
        let mut fleet = Fleet::new(6, 0, 1);
        fleet.stores[dead] = None;
        assert_eq!(
            fleet
                .record(GatewayId(0), KeyHash(5), UnixMilliseconds(900))
                .outcome,
            Outcome::Recorded,
            "{dead}"
        );
    }
}

proptest! {
    /// A write that was recorded may have been sent. No running gateway concludes that it was never sent, whichever
    /// gateway is dead and whichever datagrams are lost. Without loss, every running gateway finds the record.
    #[test]
    fn recorded_write_is_never_reported_as_never_sent(
        size in 2u32..9, writer in 0u32..9, dead in 0u32..9, looking_up in 0u32..9, key: u64,
        loss_percent in 0u64..70, seed: u64,
    ) {
        let (writer, dead, looking_up) = (writer % size, dead % size, looking_up % size);
        prop_assume!(looking_up != dead);
        let mut fleet = Fleet::new(size, loss_percent, seed);
        let recorded = fleet
            .record(GatewayId(writer), KeyHash(key), UnixMilliseconds(1_000))
            .outcome;
        fleet.stores[dead as usize] = None;
        let outcome = fleet.look_up(GatewayId(looking_up), KeyHash(key));
        if recorded == Outcome::Recorded {
            prop_assert_ne!(outcome, Outcome::NeverSent);
        }
        if recorded == Outcome::Recorded && loss_percent == 0 {
            prop_assert_eq!(outcome, Outcome::MayHaveRunSince(UnixMilliseconds(1_000)));
        }
    }
}
