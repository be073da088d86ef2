//! Property tests of the codec with arbitrary messages and arbitrary bytes.

use irisrouter_cluster_types::{
    Epoch, GatewayId, GatewayProcess, Generation, HostId, Milliseconds, Timestamp, UnixMilliseconds,
};
use irisrouter_drain_coordination::codec::{self, Message, MessageKind};
use irisrouter_drain_coordination::{
    DesiredState, DrainCommand, DrainCoordinator, LocalState, Settings,
};
use proptest::prelude::*;

/// State of a gateway that holds no lease and has no requests in flight.
struct IdleGateway;

impl LocalState for IdleGateway {
    fn fencing_token(&self, _: HostId) -> Option<Epoch> {
        None
    }

    fn requests_in_flight(&self, _: HostId) -> u32 {
        0
    }
}

fn any_command() -> impl Strategy<Value = DrainCommand> {
    let desired_state = prop_oneof![Just(DesiredState::Drained), Just(DesiredState::InService)];
    (any::<u32>(), desired_state, any::<u64>(), any::<u32>()).prop_map(
        |(host, desired_state, issued_at, issued_by)| DrainCommand {
            host: HostId(host),
            desired_state,
            issued_at: UnixMilliseconds(issued_at),
            issued_by: GatewayId(issued_by),
        },
    )
}

fn any_message() -> impl Strategy<Value = Message> {
    let kind = prop_oneof![
        Just(MessageKind::Announcement),
        Just(MessageKind::Report),
        Just(MessageKind::Completion)
    ];
    (kind, any_command(), any::<u64>(), any::<u32>()).prop_map(|(kind, command, epoch, count)| {
        Message {
            kind,
            command,
            epoch: Epoch(epoch),
            count,
        }
    })
}

proptest! {
    #[test]
    fn messages_are_unchanged_when_encoded_and_decoded(
        messages in prop::collection::vec(any_message(), 0..=codec::MAX_MESSAGES),
    ) {
        prop_assert_eq!(codec::decode(&codec::encode(&messages)), Ok(messages));
    }

    #[test]
    fn command_log_stays_bounded_when_arbitrary_bytes_are_received(
        bytes in prop::collection::vec(any::<u8>(), 0..300),
        now in any::<u64>(),
    ) {
        let mut coordinator = DrainCoordinator::new(GatewayId(0), Settings::for_lease(3, Milliseconds(1_000)));
        coordinator.update_fleet([0, 1].map(|gateway| GatewayProcess {
            gateway: GatewayId(gateway),
            generation: Generation(0),
        }));
        let mut with_magic = bytes.clone();
        with_magic.insert(0, codec::MAGIC);
        for datagram in [bytes, with_magic] {
            let _ = coordinator.receive(Timestamp::from_millis(now), GatewayId(1), &datagram, &IdleGateway);
        }
        prop_assert!(coordinator.commands().count() <= 256);
    }
}
