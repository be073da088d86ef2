//! Who watches, who calls and who rests, by what beats were heard.

use irisrouter_endpoint_watch::{codec, EndpointWatcher, Heartbeat, Own, PollDecision, Settings};
use proptest::prelude::*;

const S: Settings = Settings::paced(1_000);

fn own(revision: u64) -> Own {
    Own {
        token: None,
        revision: Some(revision),
        whole: false,
        place: 3,
    }
}

#[test]
fn one_watches_and_the_others_rest_until_there_is_news_and_call_in_turn() {
    let mut watch = EndpointWatcher::new(S);
    assert_eq!(
        watch.turn(
            0,
            Own {
                revision: None,
                ..own(0)
            }
        ),
        PollDecision::Fetch
    );
    assert_eq!(
        watch.turn(0, own(5)),
        PollDecision::Watch,
        "nobody is heard yet"
    );
    assert_eq!(
        watch.turn(
            0,
            Own {
                token: Some(9),
                ..own(5)
            }
        ),
        PollDecision::Watch
    );
    assert!(watch.heard(100, 9, 5));
    assert_eq!(watch.turn(100, own(5)), PollDecision::Rest(S.silent_ms));
    assert!(watch.heard(200, 9, 6));
    assert_eq!(watch.turn(200, own(5)), PollDecision::Rest(3 * S.each_ms));
    assert_eq!(watch.turn(200 + 3 * S.each_ms, own(5)), PollDecision::Fetch);
    // Where the service does not have it yet, beats that repeat it make nobody call without end.
    assert!(watch.heard(270, 9, 6));
    assert_eq!(watch.turn(280, own(5)), PollDecision::Rest(S.again_ms - 20));
    assert!(watch.heard(1_200, 9, 6));
    assert_eq!(watch.turn(260 + S.again_ms, own(5)), PollDecision::Fetch);
    assert!(
        watch.heard(1_300, 9, 7),
        "what is newer is called for in turn again"
    );
    assert_eq!(watch.turn(1_300, own(6)), PollDecision::Rest(3 * S.each_ms));
    assert_eq!(
        watch.turn(
            1_300,
            Own {
                whole: true,
                ..own(6)
            }
        ),
        PollDecision::Fetch,
        "at a new address, at once"
    );
}

/// Guards against gateways that wait for an owner that is gone, or that has an older list than they.
#[test]
fn without_beats_or_with_those_of_an_older_list_each_watches_for_itself() {
    let mut watch = EndpointWatcher::new(S);
    assert!(watch.heard(0, 9, 5));
    assert_eq!(watch.turn(S.silent_ms - 1, own(5)), PollDecision::Rest(1));
    assert_eq!(watch.turn(S.silent_ms, own(5)), PollDecision::Watch);
    assert!(watch.heard(10_000, 10, 4), "another owner may be behind");
    assert_eq!(watch.turn(10_000, own(5)), PollDecision::Watch);
    assert!(!watch.heard(10_001, 9, 7), "an older owner is not heard");
    assert!(
        watch.heard(10_002, 10, 6) && !watch.heard(10_003, 10, 5),
        "nor what came late"
    );
    assert_eq!(
        watch.turn(10_010, own(6)),
        PollDecision::Rest(S.silent_ms - 8)
    );
}

/// Guards against an owner that can't reach the service and keeps all others from it.
#[test]
fn an_owner_beats_only_while_its_own_watch_is_well() {
    let mut watch = EndpointWatcher::new(S);
    let owner = Own {
        token: Some(9),
        ..own(5)
    };
    let beat = |w: &mut EndpointWatcher, now, own| {
        w.beat(now, own, || vec![1]).map(|b| (b.epoch, b.revision))
    };
    assert_eq!(beat(&mut watch, 0, owner), None);
    watch.well(true);
    assert_eq!(beat(&mut watch, 0, owner), Some((9, 5)));
    assert_eq!(beat(&mut watch, 1, owner), None);
    assert_eq!(
        beat(
            &mut watch,
            1,
            Own {
                revision: Some(6),
                ..owner
            }
        ),
        Some((9, 6)),
        "news at once"
    );
    assert_eq!(watch.next_beat(2, true), 1 + S.beat_ms);
    assert_eq!(
        beat(&mut watch, 1 + S.beat_ms, own(6)),
        None,
        "not its duty any more"
    );
    watch.well(false);
    assert_eq!(beat(&mut watch, 5_000, owner), None);
}

proptest! {
    #[test]
    fn the_codec_goes_both_ways(epoch in 1u64.., revision: u64, out in prop::collection::vec(any::<u32>(), 0..=59)) {
        let beat = Heartbeat { epoch, revision, out };
        let bytes = codec::encode(&beat);
        prop_assert!(bytes.len() <= codec::MAX_DATAGRAM_BYTES);
        prop_assert_eq!(codec::decode(&bytes), Ok(beat));
    }

    #[test]
    fn arbitrary_bytes_are_read_or_refused(mut bytes in prop::collection::vec(any::<u8>(), 0..300)) {
        let _ = codec::decode(&bytes);
        bytes.insert(0, codec::MAGIC);
        let _ = codec::decode(&bytes);
    }
}
