//! Tests of the limits of one [`IntentStore`].

use irisrouter_cluster_types::{GatewayId, Timestamp, UnixMilliseconds};
use irisrouter_write_intents::codec::{self, IntentMessage, MessageKind};
use irisrouter_write_intents::{
    IntentStore, KeyHash, SequenceNumber, MAX_RETAINED_KEYS, RETENTION,
};

const LOCAL: GatewayId = GatewayId(1);
const WRITER: GatewayId = GatewayId(0);

fn records(keys: std::ops::Range<u64>) -> Vec<u8> {
    let messages: Vec<IntentMessage> = keys
        .map(|key| IntentMessage {
            kind: MessageKind::Record,
            number: SequenceNumber(1),
            key: KeyHash(key),
            first_sent_at: UnixMilliseconds(5),
        })
        .collect();
    codec::encode(&messages)
}

#[test]
fn records_are_bounded_and_expire_after_the_retention() {
    let mut store = IntentStore::new(LOCAL, Timestamp::ZERO, SequenceNumber(1));
    let datagram = records(0..codec::MAX_MESSAGES as u64);
    let recorded_at = Timestamp::ZERO + RETENTION;
    let expires_at = Timestamp::ZERO + RETENTION * 2;
    store
        .receive(recorded_at, WRITER, &datagram)
        .expect("decodes");
    store.advance(Timestamp::from_millis(expires_at.as_millis() - 1));
    assert_eq!(store.retained_keys(), codec::MAX_MESSAGES);
    assert_eq!(store.next_due(), expires_at);
    store.advance(expires_at);
    assert_eq!(store.retained_keys(), 0);
    let mut store = IntentStore::new(LOCAL, Timestamp::ZERO, SequenceNumber(1));
    for part in 0..(MAX_RETAINED_KEYS as u64 / 10 + 10) {
        let datagram = records(part * 10..part * 10 + 10);
        store
            .receive(Timestamp::ZERO, WRITER, &datagram)
            .expect("decodes");
        store.drain_actions().for_each(drop);
    }
    assert_eq!(store.retained_keys(), MAX_RETAINED_KEYS);
}
