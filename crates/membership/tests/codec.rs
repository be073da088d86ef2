//! Property tests of the datagram codec. Arbitrary bytes must not cause a panic, and rejected ones must not change the
//! view.

use irisrouter_cluster_types::{GatewayId, GatewayProcess, Generation, Timestamp};
use irisrouter_membership::codec::{self, decode, encode};
use irisrouter_membership::{
    Datagram, Incarnation, Liveness, MemberUpdate, Membership, Message, SequenceNumber, Settings,
    WireError,
};
use proptest::prelude::*;

/// Creates member 0 of five, at time 0.
fn new_member() -> Membership {
    let process = GatewayProcess::first(GatewayId(0));
    Membership::new(process, Settings::for_fleet(5), 1, Timestamp::ZERO).expect("settings")
}

fn process() -> impl Strategy<Value = GatewayProcess> {
    (any::<u32>(), any::<u16>()).prop_map(|(gateway, generation)| GatewayProcess {
        gateway: GatewayId(gateway),
        generation: Generation(generation),
    })
}

fn incarnation() -> impl Strategy<Value = Incarnation> {
    any::<u16>().prop_map(Incarnation)
}

fn sequence() -> impl Strategy<Value = SequenceNumber> {
    any::<u16>().prop_map(SequenceNumber)
}

fn message() -> impl Strategy<Value = Message> {
    prop_oneof![
        sequence().prop_map(|sequence| Message::Ping { sequence }),
        sequence().prop_map(|sequence| Message::Ack { sequence }),
        (sequence(), any::<u32>().prop_map(GatewayId))
            .prop_map(|(sequence, target)| Message::PingRequest { sequence, target }),
        (sequence(), process(), incarnation()).prop_map(|(sequence, target, incarnation)| {
            Message::IndirectAck {
                sequence,
                target,
                incarnation,
            }
        }),
        prop_oneof![
            Just(None),
            (0..u32::MAX).prop_map(|gateway| Some(GatewayId(gateway)))
        ]
        .prop_map(|list_from| Message::Join { list_from }),
        Just(Message::MemberList),
        Just(Message::Gossip),
        Just(Message::Leave),
    ]
}

fn update() -> impl Strategy<Value = MemberUpdate> {
    (process(), incarnation(), any::<bool>()).prop_map(|(process, incarnation, down)| {
        MemberUpdate {
            process,
            incarnation,
            down,
        }
    })
}

fn datagram() -> impl Strategy<Value = Datagram> {
    (
        process(),
        incarnation(),
        process(),
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
        prop_assert_eq!(decode(&bytes).expect("decodes"), sent);
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
        let mut membership = new_member();
        let before = membership.view().clone();
        if membership.receive(Timestamp::from_millis(10), &bytes).is_err() {
            prop_assert_eq!(membership.view(), &before);
        }
    }

    #[test]
    fn arbitrary_bytes_after_the_magic_are_decoded_or_rejected_without_a_panic(
        tail in proptest::collection::vec(any::<u8>(), 0..255),
    ) {
        let mut bytes = vec![codec::MAGIC];
        bytes.extend(tail);
        let mut membership = new_member();
        let _ = membership.receive(Timestamp::from_millis(10), &bytes);
        for member in membership.view().members() {
            // The view holds only gateways of the fleet's list, and each row remains in one of the four states.
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
    let source = GatewayProcess::first(GatewayId(1));
    let destination = GatewayProcess::first(GatewayId(2));
    let updates = vec![MemberUpdate {
        process: destination,
        incarnation: Incarnation::FIRST,
        down: true,
    }];
    let mut bytes = encode(&Datagram {
        source,
        incarnation: Incarnation::FIRST,
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
    let mut membership = new_member();
    assert!(membership
        .receive(Timestamp::ZERO, &[codec::MAGIC; 257])
        .is_err());
}
