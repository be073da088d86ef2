//! Property tests of the encoding of write intent datagrams.

use irisrouter_cluster_types::{GatewayId, Timestamp, UnixMilliseconds};
use irisrouter_write_intents::codec::{self, IntentMessage, MessageKind};
use irisrouter_write_intents::{IntentStore, KeyHash, SequenceNumber};
use proptest::prelude::{any, prop_assert_eq, proptest};

const KINDS: [MessageKind; 6] = [
    MessageKind::Record,
    MessageKind::Acknowledged,
    MessageKind::LookUp,
    MessageKind::Found,
    MessageKind::NotFound,
    MessageKind::Withdraw,
];

proptest! {
    #[test]
    fn arbitrary_bytes_are_decoded_or_refused(
        bytes in proptest::collection::vec(any::<u8>(), 0..300), with_magic: bool,
    ) {
        let mut bytes = bytes;
        if let (true, Some(first)) = (with_magic, bytes.first_mut()) {
            *first = codec::MAGIC;
        }
        let mut store = IntentStore::new(GatewayId(0), Timestamp::ZERO, SequenceNumber(1));
        if store.receive(Timestamp::from_millis(10), GatewayId(1), &bytes).is_err() {
            prop_assert_eq!((store.drain_actions().count(), store.retained_keys()), (0, 0));
        }
    }

    #[test]
    fn messages_are_decoded_as_they_were_encoded(
        fields in proptest::collection::vec(
            (0usize..6, any::<u64>(), any::<u64>(), any::<u64>()), 0..=codec::MAX_MESSAGES,
        ),
    ) {
        let messages: Vec<IntentMessage> = fields
            .into_iter()
            .map(|(kind, number, key, first_sent_at)| IntentMessage {
                kind: KINDS[kind],
                number: SequenceNumber(number),
                key: KeyHash(key),
                first_sent_at: UnixMilliseconds(first_sent_at),
            })
            .collect();
        prop_assert_eq!(codec::decode(&codec::encode(&messages)), Ok(messages));
    }
}
