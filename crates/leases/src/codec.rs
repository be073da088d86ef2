//! The duties' datagram: claims and votes between two gateways, several in one, bounded and versioned.
//!
//! ```text
//! 0        magic and version: 0xB1 (findings begin with 0x01, membership with 0xA2: all share the peer socket)
//! 1..3     the sender's generation (u16, big-endian); its number is that of its address
//! 3        count of items, then 28 bytes each:
//! 0        kind: 0 ask, 1 granted, 2 refused, 3 released, 4 offered, 5 look, 6 free
//! 1..9     duty    9..17 epoch    17..19 round
//! 19..23   holder's number (0xffff_ffff for none)   23..25 its generation
//! 25..28   milliseconds left (u24, the most where longer)
//! ```

use crate::lease::Holder;
use bytes::BufMut;
use irisrouter_datagram::Reader;

pub use irisrouter_datagram::magic::LEASES as MAGIC;
pub use irisrouter_datagram::{WireError, MAX_DATAGRAM_BYTES};
const HEADER: usize = 4;
const ITEM: usize = 28;
/// Items that fit one datagram.
pub const ITEMS: usize = (MAX_DATAGRAM_BYTES - HEADER) / ITEM;

/// What is said of a duty.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// "Let me hold it under this epoch."
    Ask,
    /// "You may, for a lease"; the holder is whoever held it before.
    Granted,
    /// "No": the epoch is the latest granted, the holder who has it, for so long still.
    Refused,
    /// "I give it up."
    Released,
    /// "It is free, and you are first in its order."
    Offered,
    /// "Would you grant it?"
    Look,
    /// "I would": the epoch is the latest granted.
    Free,
}

const KINDS: [Kind; 7] = [
    Kind::Ask,
    Kind::Granted,
    Kind::Refused,
    Kind::Released,
    Kind::Offered,
    Kind::Look,
    Kind::Free,
];

/// One claim or vote.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Item {
    /// What.
    pub kind: Kind,
    /// Of which duty.
    pub duty: u64,
    /// Under which epoch.
    pub epoch: u64,
    /// Of which round of asking; comes back in the answer.
    pub round: u16,
    /// See the kinds.
    pub holder: Option<Holder>,
    /// See the kinds; at most 2^24 - 1.
    pub left: u32,
}

/// The bytes of up to [`ITEMS`] items; what is beyond is left out.
#[must_use]
pub fn encode(generation: u16, items: &[Item]) -> Vec<u8> {
    let items = &items[..items.len().min(ITEMS)];
    let mut buf = Vec::with_capacity(HEADER + items.len() * ITEM);
    buf.put_u8(MAGIC);
    buf.put_u16(generation);
    // At most ITEMS, which is 9.
    buf.put_u8(items.len() as u8);
    for item in items {
        // Its place in KINDS, which has seven.
        buf.put_u8(KINDS.iter().position(|k| *k == item.kind).unwrap_or(0) as u8);
        buf.put_u64(item.duty);
        buf.put_u64(item.epoch);
        buf.put_u16(item.round);
        let holder = item.holder.unwrap_or(Holder {
            number: u32::MAX,
            generation: 0,
        });
        buf.put_u32(holder.number);
        buf.put_u16(holder.generation);
        buf.put_uint(u64::from(item.left.min(0xff_ffff)), 3);
    }
    buf
}

/// Reads a datagram: the sender's generation, and the items.
///
/// # Errors
/// The bytes are none of this version, or not as long as they say.
pub fn decode(bytes: &[u8]) -> Result<(u16, Vec<Item>), WireError> {
    let mut from = Reader::new(bytes, MAGIC)?;
    let generation = from.u16()?;
    let items = from.items(ITEM, |from| {
        let kind = from.u8()?;
        let kind = *KINDS
            .get(usize::from(kind))
            .ok_or(WireError::Unknown("kind", kind))?;
        let (duty, epoch, round) = (from.u64()?, from.u64()?, from.u16()?);
        let holder = Holder {
            number: from.u32()?,
            generation: from.u16()?,
        };
        let left = u32::from(from.u8()?) << 16 | u32::from(from.u16()?);
        Ok(Item {
            kind,
            duty,
            epoch,
            round,
            holder: Some(holder).filter(|h| h.number != u32::MAX),
            left,
        })
    })?;
    Ok((generation, items))
}

/// Whether a datagram is one of duties', by its first byte.
#[must_use]
pub fn recognizes(datagram: &[u8]) -> bool {
    irisrouter_datagram::is(datagram, MAGIC)
}
