//! The codec of datagrams that carry a list: magic byte, header, count, and items of one size.
//!
//! ```text
//! 0          magic byte
//! 1..        header, of a fixed size that may be zero
//! then       count of items (u8)
//! then       the items
//! ```
//!
//! The lease, write-intent and drain protocols use this format. A protocol defines its header and its items by
//! implementing [`WireValue`] for them.

use crate::{Reader, WireError, MAX_DATAGRAM_BYTES};
use bytes::BufMut;

/// Length of the magic byte and the count, in bytes.
const MAGIC_AND_COUNT_BYTES: usize = 2;

/// A value whose encoding has a fixed length.
pub trait WireValue: Sized {
    /// The length of the encoded value, in bytes.
    const ENCODED_BYTES: usize;

    /// Appends the encoded value, which is [`Self::ENCODED_BYTES`] long.
    fn encode(&self, buffer: &mut Vec<u8>);

    /// Decodes the value from the next bytes of `reader`.
    ///
    /// # Errors
    /// The datagram ends inside the value, or a field is not valid.
    fn decode(reader: &mut Reader<'_>) -> Result<Self, WireError>;
}

/// The empty header.
impl WireValue for () {
    const ENCODED_BYTES: usize = 0;

    fn encode(&self, _buffer: &mut Vec<u8>) {}

    fn decode(_reader: &mut Reader<'_>) -> Result<Self, WireError> {
        Ok(())
    }
}

impl WireValue for u16 {
    const ENCODED_BYTES: usize = 2;

    fn encode(&self, buffer: &mut Vec<u8>) {
        buffer.put_u16(*self);
    }

    fn decode(reader: &mut Reader<'_>) -> Result<Self, WireError> {
        reader.u16()
    }
}

/// The content of a decoded datagram.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ItemList<Header, Item> {
    /// The header, which precedes the items.
    pub header: Header,
    /// The items in the order in which the datagram has them.
    pub items: Vec<Item>,
}

/// Returns the maximum number of items that fit into one datagram.
#[must_use]
pub const fn max_items<Header: WireValue, Item: WireValue>() -> usize {
    (MAX_DATAGRAM_BYTES - MAGIC_AND_COUNT_BYTES - Header::ENCODED_BYTES) / Item::ENCODED_BYTES
}

/// Encodes a datagram. Items beyond the first [`max_items`] are left out.
#[must_use]
pub fn encode_items<Header: WireValue, Item: WireValue>(
    magic: u8,
    header: &Header,
    items: &[Item],
) -> Vec<u8> {
    let items = &items[..items.len().min(max_items::<Header, Item>())];
    let item_bytes = items.len() * Item::ENCODED_BYTES;
    let mut buffer = Vec::with_capacity(MAGIC_AND_COUNT_BYTES + Header::ENCODED_BYTES + item_bytes);
    buffer.put_u8(magic);
    header.encode(&mut buffer);
    // The count fits into one byte because a datagram has at most 256 bytes.
    buffer.put_u8(items.len() as u8);
    for item in items {
        item.encode(&mut buffer);
    }
    buffer
}

/// Decodes a datagram that was encoded by [`encode_items`].
///
/// # Errors
/// The datagram is of another protocol or version, has a length that does not match its count, or has an invalid field.
pub fn decode_items<Header: WireValue, Item: WireValue>(
    magic: u8,
    datagram: &[u8],
) -> Result<ItemList<Header, Item>, WireError> {
    let mut reader = Reader::new(datagram, magic)?;
    let header = Header::decode(&mut reader)?;
    let items = reader.items(Item::ENCODED_BYTES, Item::decode)?;
    Ok(ItemList { header, items })
}
