//! The membership datagram both ways, and bytes from anywhere: never a panic, never a change of view.

use irisrouter_membership::codec::{self, decode, encode};
use irisrouter_membership::{
    Datagram, Kind, Liveness, Membership, Node, Settings, WireError, Word,
};
use proptest::prelude::*;

fn node() -> impl Strategy<Value = Node> {
    (any::<u32>(), any::<u16>()).prop_map(|(number, generation)| Node { number, generation })
}

fn kind() -> impl Strategy<Value = Kind> {
    prop_oneof![
        any::<u16>().prop_map(|seq| Kind::Ping { seq }),
        any::<u16>().prop_map(|seq| Kind::Ack { seq }),
        (any::<u16>(), any::<u32>()).prop_map(|(seq, target)| Kind::PingReq { seq, target }),
        (any::<u16>(), node(), any::<u16>()).prop_map(|(seq, target, incarnation)| {
            Kind::IndirectAck {
                seq,
                target,
                incarnation,
            }
        }),
        prop_oneof![Just(None), (0..u32::MAX).prop_map(Some)].prop_map(|from| Kind::Join { from }),
        Just(Kind::Feed),
        Just(Kind::Gossip),
        Just(Kind::Leave),
    ]
}

fn word() -> impl Strategy<Value = Word> {
    (node(), any::<u16>(), any::<bool>()).prop_map(|(node, incarnation, down)| Word {
        node,
        incarnation,
        down,
    })
}

fn datagram() -> impl Strategy<Value = Datagram> {
    (
        node(),
        any::<u16>(),
        node(),
        kind(),
        proptest::collection::vec(word(), 0..=codec::WORDS),
    )
        .prop_map(|(src, incarnation, dst, kind, words)| Datagram {
            src,
            incarnation,
            dst,
            kind,
            words,
        })
}

proptest! {
    #[test]
    fn a_datagram_comes_back_as_it_was(sent in datagram()) {
        let bytes = encode(&sent);
        prop_assert!(bytes.len() <= codec::MAX_DATAGRAM_BYTES, "{} bytes", bytes.len());
        prop_assert_eq!(decode(&bytes).expect("reads"), sent);
    }

    #[test]
    fn one_cut_short_or_with_more_behind_it_is_refused(sent in datagram(), cut in 1usize..200) {
        let bytes = encode(&sent);
        let short = &bytes[..bytes.len().saturating_sub(cut)];
        prop_assert_eq!(decode(short), Err(WireError::Short));
        let long = [&bytes[..], &[0]].concat();
        prop_assert_eq!(decode(&long), Err(WireError::Long));
    }

    #[test]
    fn any_bytes_are_read_or_refused_without_a_panic(bytes in proptest::collection::vec(any::<u8>(), 0..300)) {
        let mut membership = Membership::new(Node::first(0), Settings::for_fleet(5), 1, 0).expect("settings");
        let before = membership.view().clone();
        if membership.receive(10, &bytes).is_err() {
            prop_assert_eq!(membership.view(), &before);
        }
    }

    #[test]
    fn bytes_that_look_like_membership_are_read_or_refused_without_a_panic(
        tail in proptest::collection::vec(any::<u8>(), 0..255),
    ) {
        let mut bytes = vec![codec::MAGIC];
        bytes.extend(tail);
        let mut membership = Membership::new(Node::first(0), Settings::for_fleet(5), 1, 0).expect("settings");
        let _ = membership.receive(10, &bytes);
        for (_, seen) in membership.view().rows() {
            // Nothing from outside the list can enter it; what is inside stays in the four states.
            prop_assert!(matches!(seen.liveness, Liveness::Unknown | Liveness::Alive | Liveness::Suspect | Liveness::Down));
        }
    }
}

#[test]
fn a_wrong_first_byte_or_kind_or_state_is_named() {
    assert_eq!(decode(&[1u8, 0, 0]), Err(WireError::Version(1)));
    let mut bytes = vec![codec::MAGIC];
    bytes.extend([0u8; 14]);
    bytes.push(42);
    assert_eq!(decode(&bytes), Err(WireError::Unknown("kind", 42)));
    let (me, to) = (Node::first(1), Node::first(2));
    let words = vec![Word {
        node: to,
        incarnation: 0,
        down: true,
    }];
    let mut bytes = encode(&Datagram {
        src: me,
        incarnation: 0,
        dst: to,
        kind: Kind::Gossip,
        words,
    });
    *bytes.last_mut().expect("a state") = 9;
    assert_eq!(decode(&bytes), Err(WireError::Unknown("state", 9)));
    assert!(
        codec::recognizes(&[codec::MAGIC]) && !codec::recognizes(&[1]) && !codec::recognizes(&[])
    );
}

#[test]
fn a_datagram_longer_than_the_platform_carries_is_refused() {
    let mut membership =
        Membership::new(Node::first(0), Settings::for_fleet(5), 1, 0).expect("settings");
    assert!(membership.receive(0, &[codec::MAGIC; 257]).is_err());
}
