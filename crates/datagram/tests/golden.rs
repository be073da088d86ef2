//! Golden tests of the parts of the wire format that all datagrams between gateways share.
//!
//! They pin the maximum length of a datagram, the first bytes that distinguish the protocols on the peer socket, the
//! byte order of fields, and the errors with their texts. A fleet is upgraded one gateway at a time, so gateways of the
//! old and the new version exchange datagrams: after a change of the maximum length or of a first byte, they would drop
//! each other's datagrams. A refactoring must leave every literal in this file unchanged.

use irisrouter_datagram::{has_magic, magic, Reader, WireError, MAX_DATAGRAM_BYTES};

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

// Values: this section builds everything that the tests pin.

const MAGIC: u8 = 0x71;

/// A datagram with the first byte and a field of each size.
const FIELDS: [u8; 16] = [
    0x71, 0x01, 0x11, 0x12, 0x21, 0x22, 0x23, 0x24, 0x31, 0x32, 0x33, 0x34, 0x35, 0x36, 0x37, 0x38,
];

/// A datagram with the first byte, a count of two, and two items of two bytes.
const TWO_ITEMS: [u8; 6] = [0x71, 0x02, 0x41, 0x42, 0x43, 0x44];

fn magic_bytes() -> [u8; 6] {
    [
        magic::MEMBERSHIP,
        magic::LEASES,
        magic::WRITE_INTENTS,
        magic::SITE_FAILOVER,
        magic::DRAINS,
        magic::ENDPOINT_WATCH,
    ]
}

fn read_fields(datagram: &[u8]) -> Result<(u8, u16, u32, u64), WireError> {
    let mut reader = Reader::new(datagram, MAGIC)?;
    let fields = (reader.u8()?, reader.u16()?, reader.u32()?, reader.u64()?);
    reader.end()?;
    Ok(fields)
}

fn read_items(datagram: &[u8]) -> Result<Vec<u16>, WireError> {
    Reader::new(datagram, MAGIC)?.items(2, Reader::u16)
}

// Helpers.

/// Returns the bytes with the byte at index `at` replaced by `value`.
fn with_byte(bytes: &[u8], at: usize, value: u8) -> Vec<u8> {
    let mut bytes = bytes.to_vec();
    bytes[at] = value;
    bytes
}

// Bounds and first bytes.

#[test]
fn longest_datagram_keeps_its_length() {
    assert_eq!(MAX_DATAGRAM_BYTES, 256);
}

#[test]
fn first_bytes_keep_their_values() {
    assert_eq!(magic::MEMBERSHIP, 0xa2);
    assert_eq!(magic::LEASES, 0xb1);
    assert_eq!(magic::WRITE_INTENTS, 0xc2);
    assert_eq!(magic::SITE_FAILOVER, 0xd2);
    assert_eq!(magic::DRAINS, 0xe1);
    assert_eq!(magic::ENDPOINT_WATCH, 0xf1);
    assert_eq!(hex(&magic_bytes()), "a2b1c2d2e1f1");
}

#[test]
fn datagram_is_recognized_by_the_high_half_of_its_first_byte_in_whatever_version() {
    for magic in magic_bytes() {
        let protocol = magic & 0xf0;
        for first in 0..=u8::MAX {
            assert_eq!(
                has_magic(&[first, magic], magic),
                first & 0xf0 == protocol,
                "{first:#04x} against {magic:#04x}"
            );
        }
        assert!(!has_magic(&[], magic));
    }
}

// Reading.

#[test]
fn fields_are_read_with_the_most_significant_byte_first() {
    assert_eq!(
        read_fields(&FIELDS),
        Ok((0x01, 0x1112, 0x2122_2324, 0x3132_3334_3536_3738))
    );
}

#[test]
fn items_are_read_in_the_order_of_the_datagram() {
    assert_eq!(read_items(&TWO_ITEMS), Ok(vec![0x4142, 0x4344]));
    assert_eq!(read_items(&[0x71, 0x00]), Ok(Vec::new()));
}

#[test]
fn datagram_of_the_longest_length_is_read_and_one_byte_more_is_refused_as_long() {
    let longest = [&[0x71, 127][..], &[0x55; 254]].concat();
    assert_eq!(read_items(&longest), Ok(vec![0x5555; 127]));
    assert_eq!(
        read_items(&[longest, vec![0]].concat()),
        Err(WireError::Long)
    );
    // The length is checked before the first byte.
    assert_eq!(read_items(&[0x72; 257]), Err(WireError::Long));
}

// Rejected datagrams.

#[test]
fn empty_datagram_is_refused_as_short() {
    assert_eq!(read_fields(&[]), Err(WireError::Short));
    assert_eq!(read_items(&[]), Err(WireError::Short));
}

#[test]
fn other_first_byte_is_refused_with_its_value() {
    for first in [0x00, 0x70, 0x72, 0xff] {
        assert_eq!(
            read_fields(&with_byte(&FIELDS, 0, first)),
            Err(WireError::Version(first))
        );
        assert_eq!(read_items(&[first]), Err(WireError::Version(first)));
    }
}

#[test]
fn datagram_cut_anywhere_is_refused_as_short() {
    for end in 0..FIELDS.len() {
        assert_eq!(
            read_fields(&FIELDS[..end]),
            Err(WireError::Short),
            "{end} bytes"
        );
    }
    for end in 0..TWO_ITEMS.len() {
        assert_eq!(
            read_items(&TWO_ITEMS[..end]),
            Err(WireError::Short),
            "{end} bytes"
        );
    }
}

#[test]
fn trailing_bytes_are_refused_as_long() {
    assert_eq!(
        read_fields(&[&FIELDS[..], &[0]].concat()),
        Err(WireError::Long)
    );
    assert_eq!(
        read_items(&[&TWO_ITEMS[..], &[0]].concat()),
        Err(WireError::Long)
    );
    assert_eq!(
        read_items(&[&TWO_ITEMS[..], &[0, 0]].concat()),
        Err(WireError::Long)
    );
}

#[test]
fn count_that_differs_from_the_number_of_items_is_refused() {
    assert_eq!(
        read_items(&with_byte(&TWO_ITEMS, 1, 3)),
        Err(WireError::Short)
    );
    assert_eq!(
        read_items(&with_byte(&TWO_ITEMS, 1, 255)),
        Err(WireError::Short)
    );
    assert_eq!(
        read_items(&with_byte(&TWO_ITEMS, 1, 1)),
        Err(WireError::Long)
    );
}

#[test]
fn error_of_an_item_is_the_error_of_the_datagram() {
    let reject =
        |reader: &mut Reader<'_>| Err::<(), _>(WireError::Unknown("kind", reader.u16()? as u8));
    let read = Reader::new(&TWO_ITEMS, MAGIC).and_then(|reader| reader.items(2, reject));
    assert_eq!(read, Err(WireError::Unknown("kind", 0x42)));
}

#[test]
fn errors_keep_their_texts() {
    let texts = [
        (WireError::Short, "the datagram ends inside a field"),
        (WireError::Long, "the datagram is longer than what it says"),
        (
            WireError::Version(0x0a),
            "first byte 0x0a is of another kind or version",
        ),
        (
            WireError::Version(0xb2),
            "first byte 0xb2 is of another kind or version",
        ),
        (WireError::Unknown("kind", 9), "unknown kind 9"),
        (WireError::Unknown("state", 255), "unknown state 255"),
        (
            WireError::Value("an epoch of nobody"),
            "an epoch of nobody can't be so",
        ),
    ];
    for (error, text) in texts {
        assert_eq!(error.to_string(), text);
    }
}
