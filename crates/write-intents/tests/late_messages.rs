//! Messages that are lost, repeated or reordered, for two attempts of one write: every order of deliveries is
//! enumerated. Guards against a withdrawal that arrives late and removes the record of a newer attempt, after which the
//! write would be applied a second time.

use irisrouter_cluster_types::{GatewayId, Timestamp, UnixMilliseconds};
use irisrouter_write_intents::codec::{self, IntentMessage, MessageKind};
use irisrouter_write_intents::{Action, IntentStore, KeyHash, Outcome, SequenceNumber, RETENTION};

const KEY: KeyHash = KeyHash(7);
const WRITER: GatewayId = GatewayId(0);
const REPLICA: GatewayId = GatewayId(1);
const READER: GatewayId = GatewayId(2);
const FIRST_SENT_AT: UnixMilliseconds = UnixMilliseconds(1_000);
const SECOND_SENT_AT: UnixMilliseconds = UnixMilliseconds(1_400);
/// A time at which no store can have lost records of an earlier process.
const NOW: Timestamp = Timestamp::from_millis(20_000);

fn store(gateway: GatewayId, first_number: u64) -> IntentStore {
    IntentStore::new(gateway, Timestamp::ZERO, SequenceNumber(first_number))
}

/// Takes the datagrams that a store sends to a gateway.
fn datagrams_to(store: &mut IntentStore, gateway: GatewayId) -> Vec<Vec<u8>> {
    let datagram = |action| match action {
        Action::Send { to, bytes } if to == gateway => Some(bytes),
        _ => None,
    };
    store.drain_actions().filter_map(datagram).collect()
}

fn outcomes(store: &mut IntentStore) -> Vec<Outcome> {
    let outcome = |action| match action {
        Action::Ended { outcome, .. } => Some(outcome),
        Action::Send { .. } => None,
    };
    store.drain_actions().filter_map(outcome).collect()
}

/// What a datagram of the writer says.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
enum Said {
    FirstRecord,
    FirstWithdrawn,
    SecondRecord,
    SecondWithdrawn,
}

struct Datagram {
    said: Said,
    bytes: Vec<u8>,
}

/// The datagrams of two attempts, the first of which never ran and is withdrawn. Each record is sent twice. If the
/// writer restarts between the attempts, its second process numbers its intents from 1,000 on.
fn datagrams_of_two_attempts(writer_restarts: bool, second_is_withdrawn: bool) -> Vec<Datagram> {
    let gateways = [WRITER, REPLICA];
    let mut datagrams = Vec::new();
    let mut add = |said, sent: Vec<Vec<u8>>| {
        datagrams.extend(sent.into_iter().map(|bytes| Datagram { said, bytes }));
    };
    let mut writer = store(WRITER, 1);
    let first = writer.new_intent();
    writer.record(NOW, first, KEY, FIRST_SENT_AT, &gateways);
    writer.advance(Timestamp::from_millis(20_010));
    add(Said::FirstRecord, datagrams_to(&mut writer, REPLICA));
    writer.withdraw(NOW, first, KEY, &gateways);
    add(Said::FirstWithdrawn, datagrams_to(&mut writer, REPLICA));
    if writer_restarts {
        writer = store(WRITER, 1_000);
    }
    let second = writer.new_intent();
    writer.record(NOW, second, KEY, SECOND_SENT_AT, &gateways);
    writer.advance(Timestamp::from_millis(20_010));
    add(Said::SecondRecord, datagrams_to(&mut writer, REPLICA));
    if second_is_withdrawn {
        writer.withdraw(NOW, second, KEY, &gateways);
        add(Said::SecondWithdrawn, datagrams_to(&mut writer, REPLICA));
    }
    datagrams
}

/// Asks a replica for the key, as another gateway does.
fn answer_of(replica: &mut IntentStore) -> IntentMessage {
    let look_up = IntentMessage::new(MessageKind::LookUp, SequenceNumber(9), KEY);
    replica
        .receive(NOW, READER, &codec::encode(&[look_up]))
        .expect("decodes");
    let answers = datagrams_to(replica, READER);
    codec::decode(&answers[0]).expect("decodes")[0]
}

/// The time that a replica has to report after these deliveries.
fn expected(delivered: &[Said]) -> Option<UnixMilliseconds> {
    let has = |said| delivered.contains(&said);
    let first = has(Said::FirstRecord) && !has(Said::FirstWithdrawn);
    let second = has(Said::SecondRecord) && !has(Said::SecondWithdrawn);
    first
        .then_some(FIRST_SENT_AT)
        .or(second.then_some(SECOND_SENT_AT))
}

/// Delivers the datagrams in every order, and asks after each delivery. A loss needs no case of its own, because every
/// subset is the beginning of some order. Returns the number of states.
fn check_all_orders(datagrams: &[Datagram], delivered: &mut Vec<usize>) -> usize {
    let mut replica = store(REPLICA, 1);
    for &index in &*delivered {
        replica
            .receive(NOW, WRITER, &datagrams[index].bytes)
            .expect("decodes");
    }
    replica.drain_actions().for_each(drop);
    let said: Vec<Said> = delivered.iter().map(|&i| datagrams[i].said).collect();
    let answer = answer_of(&mut replica);
    let found = (answer.kind == MessageKind::Found).then_some(answer.first_sent_at);
    assert_eq!(found, expected(&said), "{said:?}");
    let mut states = 1;
    for index in 0..datagrams.len() {
        if !delivered.contains(&index) {
            delivered.push(index);
            states += check_all_orders(datagrams, delivered);
            delivered.pop();
        }
    }
    states
}

#[test]
fn late_withdrawal_changes_no_newer_record_and_late_record_undoes_no_withdrawal() {
    for writer_restarts in [false, true] {
        for second_is_withdrawn in [false, true] {
            let datagrams = datagrams_of_two_attempts(writer_restarts, second_is_withdrawn);
            let states = check_all_orders(&datagrams, &mut Vec::new());
            assert!(states >= 300, "{states} states");
        }
    }
}

#[test]
fn late_answer_counts_neither_for_a_later_look_up_nor_for_a_later_record() {
    let gateways = [READER, REPLICA];
    let mut reader = store(READER, 1);
    let mut replica = store(REPLICA, 1);
    reader.look_up(NOW, KEY, &gateways);
    let asked = datagrams_to(&mut reader, REPLICA).remove(0);
    replica.receive(NOW, READER, &asked).expect("decodes");
    let late_not_found = datagrams_to(&mut replica, READER).remove(0);
    // The look-up ends without an answer, and the write is recorded by another gateway.
    reader.advance(NOW + RETENTION);
    assert_eq!(outcomes(&mut reader), [Outcome::Unproven]);
    reader.look_up(NOW + RETENTION, KEY, &gateways);
    outcomes(&mut reader);
    reader
        .receive(NOW + RETENTION, REPLICA, &late_not_found)
        .expect("decodes");
    assert_eq!(
        outcomes(&mut reader),
        [],
        "the answer to the first look-up proves nothing"
    );

    let first = reader.new_intent();
    reader.record(NOW, first, KEY, FIRST_SENT_AT, &gateways);
    let record = datagrams_to(&mut reader, REPLICA).remove(0);
    replica.receive(NOW, READER, &record).expect("decodes");
    let late_acknowledgement = datagrams_to(&mut replica, READER).remove(0);
    reader.withdraw(NOW, first, KEY, &gateways);
    assert_eq!(outcomes(&mut reader), [Outcome::NotRecorded]);
    let second = reader.new_intent();
    reader.record(NOW, second, KEY, FIRST_SENT_AT, &gateways);
    outcomes(&mut reader);
    reader
        .receive(NOW, REPLICA, &late_acknowledgement)
        .expect("decodes");
    assert_eq!(
        outcomes(&mut reader),
        [],
        "the acknowledgement is of the first intent"
    );
}

#[test]
fn intents_beyond_those_that_fit_are_found_until_they_expire() {
    let mut replica = store(REPLICA, 1);
    let message = |kind, number: u64, time: u64| IntentMessage {
        kind,
        number: SequenceNumber(number),
        key: KEY,
        first_sent_at: UnixMilliseconds(time),
    };
    for number in 0..40 {
        let record = message(MessageKind::Record, number, 2_000 - number);
        let withdrawal = message(MessageKind::Withdraw, number, 0);
        let datagram = if number < 20 {
            codec::encode(&[record])
        } else {
            codec::encode(&[withdrawal, record])
        };
        replica.receive(NOW, WRITER, &datagram).expect("decodes");
    }
    replica.drain_actions().for_each(drop);
    let answer = answer_of(&mut replica);
    assert_eq!(answer.kind, MessageKind::Found);
    assert!(answer.first_sent_at <= UnixMilliseconds(1_981));
    assert_eq!(replica.retained_keys(), 1);
    replica.advance(NOW + RETENTION);
    assert_eq!(replica.retained_keys(), 0);
}
