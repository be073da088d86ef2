//! Counting of dropped messages.

use super::*;
use proptest::prelude::*;

fn message(tag: u8, body_length: usize) -> Vec<u8> {
    let length = (body_length as u32 + 4).to_be_bytes();
    [&[tag], &length[..], &vec![b'x'; body_length]].concat()
}

/// Takes all queries. Returns their number and the message that follows them, if any.
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
    /// Guards against a query that is not counted, or is counted twice, when its bytes are split over several reads.
    #[test]
    fn queries_are_counted_wherever_their_bytes_are_split(
        lengths in prop::collection::vec(0_usize..300, 1..30),
        read_lengths in prop::collection::vec(1_usize..120, 1..60),
        missing_at_end in 0_usize..40,
    ) {
        let messages: Vec<Vec<u8>> = lengths.iter().map(|&length| message(b'Q', length)).collect();
        let bytes = messages.concat();
        let received = bytes.len().saturating_sub(missing_at_end);
        let mut input = DroppedInput::default();
        let mut from = 0;
        for read_length in read_lengths.iter().cycle() {
            let to = (from + read_length).min(received);
            input.drop_bytes(&bytes[from..to]);
            from = to;
            if from == received {
                break;
            }
        }
        let mut end = 0;
        let complete = messages
            .iter()
            .take_while(|message| {
                end += message.len();
                end <= received
            })
            .count();
        let (queries, rest) = take_queries(&mut input);
        prop_assert_eq!(queries, complete);
        if complete == messages.len() {
            prop_assert_eq!(rest, None);
            prop_assert!(!input.is_active());
        }
        // The rest of the bytes completes the missing queries, and no others.
        input.drop_bytes(&bytes[received..]);
        prop_assert_eq!(take_queries(&mut input), (messages.len() - complete, None));
    }
}

#[test]
fn missing_bytes_never_reach_into_the_next_message() {
    let bytes = message(b'Q', 100);
    let mut input = DroppedInput::default();
    input.drop_bytes(&bytes[..3]);
    let Some(DroppedMessage::Incomplete { missing }) = input.next() else {
        panic!("a partial header must be reported as incomplete");
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
fn message_that_ends_the_connection_follows_the_queries_and_hides_later_input() {
    for (final_message, expected) in [
        (message(b'X', 0), DroppedMessage::Terminate),
        (message(b'?', 0), DroppedMessage::Violation),
        (message(b'P', 5), DroppedMessage::Violation),
        (b"Q\0\0\0\x01".to_vec(), DroppedMessage::Violation),
        (b"Q\x7f\xff\xff\xff".to_vec(), DroppedMessage::Violation),
    ] {
        let mut input = DroppedInput::default();
        input.drop_bytes(&[message(b'Q', 9), final_message, message(b'Q', 9)].concat());
        assert_eq!(take_queries(&mut input), (1, Some(expected)));
    }
}

#[test]
fn client_counts_as_flooding_until_its_dropped_queries_are_taken() {
    let mut input = DroppedInput::default();
    let query = message(b'Q', 60_000);
    let mut sent = 0;
    while !input.is_flooding() {
        input.drop_bytes(&query);
        sent += 1;
    }
    assert!(sent * query.len() < FLOOD_SIZE + query.len());
    assert_eq!(take_queries(&mut input), (sent, None));
    assert!(!input.is_flooding());
}
