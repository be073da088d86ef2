//! Tests of the magic bytes, the bounds checks of the reader, and the list codec.

use bytes::BufMut;
use irisrouter_datagram::{
    decode_items, encode_items, has_magic, magic, max_items, ItemList, Reader, WireError,
    WireValue, MAX_DATAGRAM_BYTES,
};

#[test]
fn magic_bytes_differ_between_protocols_and_match_across_versions() {
    let magic_bytes = [
        magic::MEMBERSHIP,
        magic::LEASES,
        magic::WRITE_INTENTS,
        magic::SITE_FAILOVER,
        magic::DRAINS,
        magic::ENDPOINT_WATCH,
        // Shared health-check results, which have their own version byte.
        0x01,
    ];
    for (index, first_byte) in magic_bytes.iter().enumerate() {
        let mut following = magic_bytes[index + 1..].iter();
        assert!(
            following.all(|other| !has_magic(&[*other], *first_byte)),
            "{first_byte:#x}"
        );
    }
    assert!(has_magic(&[magic::LEASES + 1], magic::LEASES));
    assert!(!has_magic(&[], magic::LEASES));
}

#[test]
fn items_are_read_when_their_count_matches_the_length() {
    let read = |bytes: &[u8]| Reader::new(bytes, 7)?.items(2, Reader::u16);
    assert_eq!(read(&[7, 2, 0, 1, 0, 2]), Ok(vec![1, 2]));
    assert_eq!(read(&[7, 2, 0, 1, 0]), Err(WireError::Short));
    assert_eq!(read(&[7, 1, 0, 1, 0]), Err(WireError::Long));
    assert_eq!(read(&[8, 0]), Err(WireError::Version(8)));
    assert_eq!(read(&[7; 257]), Err(WireError::Long));
}

/// A three-byte item: its kind, `a` or `b`, and a number.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Sample(char, u16);

const KINDS: [char; 2] = ['a', 'b'];

impl WireValue for Sample {
    const ENCODED_BYTES: usize = 3;

    fn encode(&self, buffer: &mut Vec<u8>) {
        buffer.put_u8(u8::from(self.0 == 'b'));
        buffer.put_u16(self.1);
    }

    fn decode(reader: &mut Reader<'_>) -> Result<Self, WireError> {
        Ok(Self(reader.one_of("kind", &KINDS)?, reader.u16()?))
    }
}

#[test]
fn item_list_is_encoded_as_magic_header_count_and_items() {
    let items = vec![Sample('b', 0x0102), Sample('a', 3)];
    let bytes = encode_items(7, &0x0a0b_u16, &items);
    assert_eq!(bytes, [7, 0x0a, 0x0b, 2, 1, 1, 2, 0, 0, 3]);
    let header = 0x0a0b_u16;
    assert_eq!(decode_items(7, &bytes), Ok(ItemList { header, items }));
    let without_header = encode_items(7, &(), &[Sample('a', 3)]);
    assert_eq!(without_header, [7, 1, 0, 0, 3]);
}

#[test]
fn item_list_is_cut_at_the_datagram_limit() {
    let max = max_items::<(), Sample>();
    assert_eq!(max, 84);
    let bytes = encode_items(7, &(), &vec![Sample('a', 1); max + 5]);
    assert!(bytes.len() <= MAX_DATAGRAM_BYTES);
    let decoded = decode_items::<(), Sample>(7, &bytes).expect("decodes");
    assert_eq!(decoded.items.len(), max);
}

#[test]
fn item_list_is_refused_when_malformed() {
    let decode = |bytes: &[u8]| decode_items::<(), Sample>(7, bytes).map(|list| list.items);
    assert_eq!(decode(&[7, 1, 2, 0, 3]), Err(WireError::Unknown("kind", 2)));
    assert_eq!(decode(&[7, 2, 0, 0, 3]), Err(WireError::Short));
    assert_eq!(decode(&[7, 0, 0]), Err(WireError::Long));
    assert_eq!(decode(&[6, 0]), Err(WireError::Version(6)));
}
