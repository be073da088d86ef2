//! Messages that are dropped, while their queries are counted.

use super::*;
use proptest::prelude::*;

fn message(tag: u8, body_length: usize) -> Vec<u8> {
    let length = (body_length as u32 + 4).to_be_bytes();
    [&[tag], &length[..], &vec![b'x'; body_length]].concat()
}

/// Takes messages up to the first that is not a query. Returns the number of queries and that message, if there is one.
fn take_queries(input: &mut DroppedInput) -> (usize, Option<DroppedMessage>) {
    let mut queries = 0;
    loop {
        match input.next() {
            Some(DroppedMessage::Query) => queries += 1,
            other => return (queries, other),
        }
    }
}

proptest! {
    /// Guards against a query that is not counted, or is counted twice, because its bytes arrive in several reads.
    #[test]
    fn queries_are_counted_over_every_split(
        lengths in prop::collection::vec(0_usize..300, 1..30),
        cuts in prop::collection::vec(1_usize..120, 1..60),
        cut_off in 0_usize..40,
    ) {
        let messages: Vec<Vec<u8>> = lengths.iter().map(|&length| message(b'Q', length)).collect();
        let bytes = messages.concat();
        let received = bytes.len().saturating_sub(cut_off);
        let mut input = DroppedInput::default();
        let mut from = 0;
        for cut in cuts.iter().cycle() {
            let to = (from + cut).min(received);
            input.drop_bytes(&bytes[from..to]);
            from = to;
            if from == received {
                break;
            }
        }
        let mut end = 0;
        let whole = messages
            .iter()
            .take_while(|message| {
                end += message.len();
                end <= received
            })
            .count();
        let (queries, rest) = take_queries(&mut input);
        prop_assert_eq!(queries, whole);
        if whole == messages.len() {
            prop_assert_eq!(rest, None);
            prop_assert!(!input.is_active());
        }
        // The rest of the bytes completes exactly the queries that were not complete before.
        input.drop_bytes(&bytes[received..]);
        prop_assert_eq!(take_queries(&mut input), (messages.len() - whole, None));
    }
}

#[test]
fn reported_missing_bytes_never_extend_into_the_next_message() {
    let bytes = message(b'Q', 100);
    let mut input = DroppedInput::default();
    input.drop_bytes(&bytes[..3]);
    let Some(DroppedMessage::Incomplete { missing }) = input.next() else {
        panic!("a part of a header is incomplete");
    };
    input.drop_bytes(&bytes[3..3 + missing]);
    assert_eq!(
        input.next(),
        Some(DroppedMessage::Incomplete { missing: 100 })
    );
    input.drop_bytes(&bytes[3 + missing..]);
    assert_eq!(input.next(), Some(DroppedMessage::Query));
    assert_eq!(input.next(), None);
}

#[test]
fn message_that_ends_the_input_follows_the_queries_and_later_queries_are_not_counted() {
    for (last, expected) in [
        (message(b'X', 0), DroppedMessage::Terminate),
        (message(b'?', 0), DroppedMessage::Violation),
        (message(b'P', 5), DroppedMessage::Violation),
        (b"Q\0\0\0\x01".to_vec(), DroppedMessage::Violation),
        (b"Q\x7f\xff\xff\xff".to_vec(), DroppedMessage::Violation),
    ] {
        let mut input = DroppedInput::default();
        input.drop_bytes(&[message(b'Q', 9), last, message(b'Q', 9)].concat());
        assert_eq!(take_queries(&mut input), (1, Some(expected)));
    }
}

#[test]
fn input_is_a_flood_until_its_queries_are_taken() {
    let mut input = DroppedInput::default();
    let query = message(b'Q', 60_000);
    let mut sent = 0;
    while !input.is_flood() {
        input.drop_bytes(&query);
        sent += 1;
    }
    assert!(sent * query.len() < FLOOD_SIZE + query.len());
    assert_eq!(take_queries(&mut input), (sent, None));
    assert!(!input.is_flood());
}
