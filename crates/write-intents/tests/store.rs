//! Tests of the bounds of one [`IntentStore`].

mod simulation;

use irisrouter_write_intents::codec::{self, IntentMessage, MessageKind};
use irisrouter_write_intents::{IntentStore, MAX_RETAINED_KEYS, RETENTION};
use simulation::Fleet;

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
    let mut fleet = Fleet::new(2, 0, 1);
    fleet.call(1, |store, now| {
        let datagram = records(0..codec::MAX_MESSAGES as u64);
        store.receive(now, 0, &datagram).expect("decodes");
    });
    let retained = |fleet: &Fleet| {
        fleet.stores[1]
            .as_ref()
            .map_or(0, IntentStore::retained_keys)
    };
    assert_eq!(retained(&fleet), codec::MAX_MESSAGES);
    fleet.now += RETENTION;
    fleet.run(5);
    assert_eq!(retained(&fleet), 0);
    let mut store = IntentStore::new(1, 0);
    for part in 0..(MAX_RETAINED_KEYS as u64 / 10 + 10) {
        let datagram = records(part * 10..part * 10 + 10);
        store.receive(0, 0, &datagram).expect("decodes");
        store.drain_actions().for_each(drop);
    }
    assert_eq!(store.retained_keys(), MAX_RETAINED_KEYS);
}
