//! The membership datagram both ways, and bytes from anywhere: never a panic, never a change of view.

use bytes::BufMut;
use foca::{Codec, Header, Member, Message, State};
use irisrouter_membership::{codec, Liveness, Membership, Node, Settings, Wire, WireError};
use proptest::prelude::*;

fn node() -> impl Strategy<Value = Node> {
    (any::<u32>(), any::<u16>()).prop_map(|(number, generation)| Node { number, generation })
}

fn message() -> impl Strategy<Value = Message<Node>> {
    prop_oneof![
        any::<u8>().prop_map(Message::Ping),
        any::<u8>().prop_map(Message::Ack),
        (node(), any::<u8>()).prop_map(|(target, probe_number)| Message::PingReq { target, probe_number }),
        (node(), any::<u8>())
            .prop_map(|(origin, probe_number)| Message::IndirectPing { origin, probe_number }),
        (node(), any::<u8>())
            .prop_map(|(target, probe_number)| Message::IndirectAck { target, probe_number }),
        (node(), any::<u8>())
            .prop_map(|(origin, probe_number)| Message::ForwardedAck { origin, probe_number }),
        Just(Message::Announce),
        Just(Message::Feed),
        Just(Message::Gossip),
        Just(Message::Broadcast),
        Just(Message::TurnUndead),
    ]
}

fn member() -> impl Strategy<Value = Member<Node>> {
    (node(), any::<u16>(), prop_oneof![Just(State::Alive), Just(State::Suspect), Just(State::Down)])
        .prop_map(|(id, incarnation, state)| Member::new(id, incarnation, state))
}

proptest! {
    #[test]
    fn a_header_and_its_members_come_back_as_they_were(
        src in node(), src_incarnation in any::<u16>(), dst in node(), message in message(),
        members in proptest::collection::vec(member(), 0..25),
    ) {
        let header = Header { src, src_incarnation, dst, message };
        let mut bytes = Vec::new();
        Wire.encode_header(&header, &mut bytes).expect("room");
        prop_assert!(bytes.len() <= codec::LONGEST_HEADER);
        bytes.put_u16(members.len() as u16);
        for m in &members {
            Wire.encode_member(m, &mut bytes).expect("room");
        }
        prop_assert!(bytes.len() <= 256, "{} bytes", bytes.len());
        let mut read = &bytes[..];
        prop_assert_eq!(Wire.decode_header(&mut read).expect("reads"), header);
        let count = u16::from_be_bytes([read[0], read[1]]);
        read = &read[2..];
        prop_assert_eq!(usize::from(count), members.len());
        for m in &members {
            prop_assert_eq!(&Wire.decode_member(&mut read).expect("reads"), m);
        }
        prop_assert!(read.is_empty());
    }

    #[test]
    fn any_bytes_are_read_or_refused_without_a_panic(bytes in proptest::collection::vec(any::<u8>(), 0..300)) {
        let _ = Wire.decode_header(&bytes[..]);
        let _ = Wire.decode_member(&bytes[..]);
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
    assert_eq!(Wire.decode_header(&[1u8, 0, 0][..]).unwrap_err(), WireError::Version(1));
    let mut bytes = vec![codec::MAGIC];
    bytes.extend([0u8; 14]);
    bytes.push(42);
    assert_eq!(Wire.decode_header(&bytes[..]).unwrap_err(), WireError::Kind(42));
    assert_eq!(Wire.decode_member(&[0u8, 0, 0, 1, 0, 0, 0, 0, 9][..]).unwrap_err(), WireError::State(9));
    assert_eq!(Wire.decode_member(&[0u8; 8][..]).unwrap_err(), WireError::Short);
    assert!(
        codec::is_membership(&[codec::MAGIC]) && !codec::is_membership(&[1]) && !codec::is_membership(&[])
    );
}

#[test]
fn a_datagram_longer_than_the_platform_carries_is_refused() {
    let mut membership = Membership::new(Node::first(0), Settings::for_fleet(5), 1, 0).expect("settings");
    assert!(membership.receive(0, &[codec::MAGIC; 257]).is_err());
}
