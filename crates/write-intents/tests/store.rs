//! Tests of the bounds of one [`IntentStore`].

use irisrouter_write_intents::codec::{self, IntentMessage, MessageKind};
use irisrouter_write_intents::{IntentStore, MAX_RETAINED_KEYS, RETENTION};

fn records(keys: std::ops::Range<u64>) -> Vec<u8> {
    let messages: Vec<IntentMessage> = keys
        .map(|key| IntentMessage {
            kind: MessageKind::Record,
            key,
            first_sent_at: 5,
        })
        .collect();
    codec::encode(&messages)
}

#[test]
fn records_are_bounded_and_expire_after_the_retention() {
    let mut store = IntentStore::new(1, 0);
    let datagram = records(0..codec::MAX_MESSAGES as u64);
    store.receive(RETENTION, 0, &datagram).expect("decodes");
    store.advance(2 * RETENTION - 1);
    assert_eq!(store.retained_keys(), codec::MAX_MESSAGES);
    assert_eq!(store.next_due(), 2 * RETENTION);
    store.advance(2 * RETENTION);
    assert_eq!(store.retained_keys(), 0);
    let mut store = IntentStore::new(1, 0);
    for part in 0..(MAX_RETAINED_KEYS as u64 / 10 + 10) {
        let datagram = records(part * 10..part * 10 + 10);
        store.receive(0, 0, &datagram).expect("decodes");
        store.drain_actions().for_each(drop);
    }
    assert_eq!(store.retained_keys(), MAX_RETAINED_KEYS);
}
