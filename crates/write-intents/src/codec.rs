//! The datagram of writes in hand: notes, questions and their answers, several in one, bounded and versioned.
//!
//! ```text
//! 0      magic and version: 0xC1 (findings 0x01, membership 0xA2, duties 0xB1: all share the peer socket)
//! 1      count of items, then 17 bytes each:
//! 0      kind: 0 note, 1 noted, 2 ask, 3 known, 4 unknown, 5 forget
//! 1..9   key (u64, big-endian)
//! 9..17  Unix milliseconds (u64): of the first sending that may have run; 0 where the kind has none
//! ```

use bytes::BufMut;
use irisrouter_datagram::Reader;

pub use irisrouter_datagram::magic::WRITE_INTENTS as MAGIC;
pub use irisrouter_datagram::{WireError, MAX_DATAGRAM_BYTES};
const HEADER: usize = 2;
const ITEM: usize = 17;
/// Items that fit one datagram.
pub const ITEMS: usize = (MAX_DATAGRAM_BYTES - HEADER) / ITEM;

/// What is said of a key.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// "From then on a write of this key may have run: keep that for me."
    Note,
    /// "I keep it."
    Noted,
    /// "What do you know of it?"
    Ask,
    /// "From then on it may have run."
    Known,
    /// "Nothing."
    Unknown,
    /// "What I had noted never ran."
    Forget,
}

const KINDS: [Kind; 6] = [
    Kind::Note,
    Kind::Noted,
    Kind::Ask,
    Kind::Known,
    Kind::Unknown,
    Kind::Forget,
];

/// One word about one key.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Item {
    /// What.
    pub kind: Kind,
    /// Of which key.
    pub key: u64,
    /// See the kinds.
    pub at: u64,
}

/// The bytes of up to [`ITEMS`] items; what is beyond is left out.
#[must_use]
pub fn encode(items: &[Item]) -> Vec<u8> {
    let items = &items[..items.len().min(ITEMS)];
    let mut buf = Vec::with_capacity(HEADER + items.len() * ITEM);
    buf.put_u8(MAGIC);
    // At most ITEMS, which is 14.
    buf.put_u8(items.len() as u8);
    for item in items {
        // Its place in KINDS, which has six.
        buf.put_u8(KINDS.iter().position(|k| *k == item.kind).unwrap_or(0) as u8);
        buf.put_u64(item.key);
        buf.put_u64(item.at);
    }
    buf
}

/// Reads a datagram.
///
/// # Errors
/// The bytes are none of this version, or not as long as they say.
pub fn decode(bytes: &[u8]) -> Result<Vec<Item>, WireError> {
    Reader::new(bytes, MAGIC)?.items(ITEM, |from| {
        let kind = from.u8()?;
        let kind = *KINDS
            .get(usize::from(kind))
            .ok_or(WireError::Unknown("kind", kind))?;
        Ok(Item {
            kind,
            key: from.u64()?,
            at: from.u64()?,
        })
    })
}

/// Whether a datagram is one of writes in hand, by its first byte.
#[must_use]
pub fn recognizes(datagram: &[u8]) -> bool {
    irisrouter_datagram::is(datagram, MAGIC)
}
