//! The membership datagram encoded and decoded, and arbitrary bytes: never a panic, never a change of the view.

use irisrouter_membership::codec::{self, decode, encode};
use irisrouter_membership::{
    Datagram, Liveness, MemberUpdate, Membership, Message, Node, Settings, WireError,
};
use proptest::prelude::*;

fn node() -> impl Strategy<Value = Node> {
    (any::<u32>(), any::<u16>()).prop_map(|(number, generation)| Node { number, generation })
}

fn message() -> impl Strategy<Value = Message> {
    prop_oneof![
        any::<u16>().prop_map(|sequence| Message::Ping { sequence }),
        any::<u16>().prop_map(|sequence| Message::Ack { sequence }),
        (any::<u16>(), any::<u32>())
            .prop_map(|(sequence, target)| Message::PingRequest { sequence, target }),
        (any::<u16>(), node(), any::<u16>()).prop_map(|(sequence, target, incarnation)| {
            Message::IndirectAck {
                sequence,
                target,
                incarnation,
            }
        }),
        prop_oneof![Just(None), (0..u32::MAX).prop_map(Some)]
            .prop_map(|list_from| Message::Join { list_from }),
        Just(Message::MemberList),
        Just(Message::Gossip),
        Just(Message::Leave),
    ]
}

fn update() -> impl Strategy<Value = MemberUpdate> {
    (node(), any::<u16>(), any::<bool>()).prop_map(|(node, incarnation, down)| MemberUpdate {
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
        message(),
        proptest::collection::vec(update(), 0..=codec::MAX_UPDATES),
    )
        .prop_map(
            |(source, incarnation, destination, message, updates)| Datagram {
                source,
                incarnation,
                destination,
                message,
                updates,
            },
        )
}

proptest! {
    #[test]
    fn encoded_datagram_decodes_to_itself(sent in datagram()) {
        let bytes = encode(&sent);
        prop_assert!(bytes.len() <= codec::MAX_DATAGRAM_BYTES, "{} bytes", bytes.len());
        prop_assert_eq!(decode(&bytes).expect("reads"), sent);
    }

    #[test]
    fn datagram_with_missing_or_extra_bytes_is_rejected(sent in datagram(), cut in 1usize..200) {
        let bytes = encode(&sent);
        let short = &bytes[..bytes.len().saturating_sub(cut)];
        prop_assert_eq!(decode(short), Err(WireError::Short));
        let long = [&bytes[..], &[0]].concat();
        prop_assert_eq!(decode(&long), Err(WireError::Long));
    }

    #[test]
    fn arbitrary_bytes_are_decoded_or_rejected_without_a_panic(bytes in proptest::collection::vec(any::<u8>(), 0..300)) {
        let mut membership = Membership::new(Node::first(0), Settings::for_fleet(5), 1, 0).expect("settings");
        let before = membership.view().clone();
        if membership.receive(10, &bytes).is_err() {
            prop_assert_eq!(membership.view(), &before);
        }
    }

    #[test]
    fn arbitrary_bytes_after_the_magic_are_decoded_or_rejected_without_a_panic(
        tail in proptest::collection::vec(any::<u8>(), 0..255),
    ) {
        let mut bytes = vec![codec::MAGIC];
        bytes.extend(tail);
        let mut membership = Membership::new(Node::first(0), Settings::for_fleet(5), 1, 0).expect("settings");
        let _ = membership.receive(10, &bytes);
        for (_, member) in membership.view().members() {
            // Nothing from outside the list can enter it; what is inside stays in the four states.
            prop_assert!(matches!(member.liveness, Liveness::Unknown | Liveness::Alive | Liveness::Suspect | Liveness::Down));
        }
    }
}

#[test]
fn unknown_version_kind_or_state_is_named_in_the_error() {
    assert_eq!(decode(&[1u8, 0, 0]), Err(WireError::Version(1)));
    let mut bytes = vec![codec::MAGIC];
    bytes.extend([0u8; 14]);
    bytes.push(42);
    assert_eq!(decode(&bytes), Err(WireError::Unknown("kind", 42)));
    let source = Node::first(1);
    let destination = Node::first(2);
    let updates = vec![MemberUpdate {
        node: destination,
        incarnation: 0,
        down: true,
    }];
    let mut bytes = encode(&Datagram {
        source,
        incarnation: 0,
        destination,
        message: Message::Gossip,
        updates,
    });
    *bytes.last_mut().expect("a state") = 9;
    assert_eq!(decode(&bytes), Err(WireError::Unknown("state", 9)));
    assert!(
        codec::recognizes(&[codec::MAGIC]) && !codec::recognizes(&[1]) && !codec::recognizes(&[])
    );
}

#[test]
fn datagram_over_the_platform_limit_is_rejected() {
    let mut membership =
        Membership::new(Node::first(0), Settings::for_fleet(5), 1, 0).expect("settings");
    assert!(membership.receive(0, &[codec::MAGIC; 257]).is_err());
}
