//! Property tests of the encoding of lease datagrams.

use irisrouter_cluster_types::{
    Epoch, GatewayId, GatewayProcess, Generation, Milliseconds, TaskId, Timestamp,
};
use irisrouter_leases::codec::{self, LeaseDatagram, LeaseMessage, MessageKind};
use irisrouter_leases::{LeaseManager, Settings};
use proptest::prelude::*;

const KINDS: [MessageKind; 7] = [
    MessageKind::Request,
    MessageKind::Granted,
    MessageKind::Refused,
    MessageKind::Released,
    MessageKind::Offered,
    MessageKind::PreVote,
    MessageKind::Vacant,
];

fn holder() -> impl Strategy<Value = Option<GatewayProcess>> {
    let some = (0..u32::MAX, any::<u16>()).prop_map(|(gateway, generation)| {
        Some(GatewayProcess {
            gateway: GatewayId(gateway),
            generation: Generation(generation),
        })
    });
    prop_oneof![Just(None), some]
}

prop_compose! {
    fn message()(
        kind in 0usize..7,
        task in any::<u64>(),
        epoch in any::<u64>(),
        round in any::<u16>(),
        holder in holder(),
        remaining_ms in 0u64..0x100_0000,
    ) -> LeaseMessage {
        LeaseMessage {
            kind: KINDS[kind],
            task: TaskId(task),
            epoch: Epoch(epoch),
            round,
            holder,
            remaining: Milliseconds(remaining_ms),
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 60, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn arbitrary_bytes_are_decoded_or_refused_and_change_nothing_when_refused(
        bytes in proptest::collection::vec(any::<u8>(), 0..300), with_magic in any::<bool>(),
    ) {
        let mut bytes = bytes;
        if let (true, Some(first)) = (with_magic, bytes.first_mut()) {
            *first = codec::MAGIC;
        }
        let local = GatewayProcess::first(GatewayId(0));
        let settings = Settings { fleet: 5, lease_duration: Milliseconds(1_000) };
        let mut manager = LeaseManager::new(local, settings, Timestamp::ZERO).expect("settings");
        if manager.receive(Timestamp::from_millis(10), GatewayId(1), &bytes).is_err() {
            prop_assert_eq!(manager.drain_actions().count(), 0);
        }
    }

    #[test]
    fn messages_are_decoded_as_they_were_encoded(
        sender_generation in any::<u16>(),
        messages in proptest::collection::vec(message(), 0..=codec::MAX_MESSAGES),
    ) {
        let sender_generation = Generation(sender_generation);
        let bytes = codec::encode(sender_generation, &messages);
        prop_assert!(bytes.len() <= codec::MAX_DATAGRAM_BYTES);
        prop_assert_eq!(codec::decode(&bytes), Ok(LeaseDatagram { sender_generation, messages }));
    }
}
