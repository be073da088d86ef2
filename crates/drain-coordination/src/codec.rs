//! The datagram of drains: words and what gateways hold, several in one, bounded and versioned.
//!
//! ```text
//! 0        magic and version: 0xE1 (`irisrouter-datagram` has the list of those that share the peer socket)
//! 1        count of items, then 30 bytes each:
//! 0        kind: 0 tell, 1 holds, 2 done
//! 1        1 where the host is to be out of service, 0 where it is to be back
//! 2..6     host     6..14 time of the word (Unix milliseconds)     14..18 by which gateway
//! 18..26   epoch of the owner, 0 for a teller that owns nothing
//! 26..30   tell: 0; holds: requests open at the host; done: gateways that were not heard
//! ```

use crate::DrainCommand;
use bytes::BufMut;
use irisrouter_datagram::Reader;

pub use irisrouter_datagram::magic::DRAINS as MAGIC;
pub use irisrouter_datagram::{WireError, MAX_DATAGRAM_BYTES};
const HEADER: usize = 2;
const ITEM: usize = 30;
/// Items that fit one datagram.
pub const ITEMS: usize = (MAX_DATAGRAM_BYTES - HEADER) / ITEM;

/// What is said of a word.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// "This holds; say what you have open there."
    Tell,
    /// "I follow it, and have so many requests open there."
    Holds,
    /// "Nobody has any open there; so many gateways were not heard."
    Done,
}

const KINDS: [Kind; 3] = [Kind::Tell, Kind::Holds, Kind::Done];

/// One item.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Item {
    /// What.
    pub kind: Kind,
    /// Of which word.
    pub word: DrainCommand,
    /// Under which epoch; 0 for none.
    pub epoch: u64,
    /// See the kinds.
    pub count: u32,
}

/// The bytes of a datagram with these items, [`ITEMS`] at most.
#[must_use]
pub fn encode(items: &[Item]) -> Vec<u8> {
    let items = &items[..items.len().min(ITEMS)];
    let mut buf = Vec::with_capacity(HEADER + items.len() * ITEM);
    buf.put_u8(MAGIC);
    // At most eight.
    buf.put_u8(items.len() as u8);
    for item in items {
        buf.put_u8(item.kind as u8);
        buf.put_u8(u8::from(item.word.out));
        buf.put_u32(item.word.host);
        buf.put_u64(item.word.at);
        buf.put_u32(item.word.by);
        buf.put_u64(item.epoch);
        buf.put_u32(item.count);
    }
    buf
}

/// Reads a datagram.
///
/// # Errors
/// Why the bytes are none.
pub fn decode(bytes: &[u8]) -> Result<Vec<Item>, WireError> {
    Reader::new(bytes, MAGIC)?.items(ITEM, |from| {
        let kind = from.u8()?;
        let kind = *KINDS
            .get(usize::from(kind))
            .ok_or(WireError::Unknown("kind", kind))?;
        let out = match from.u8()? {
            0 => false,
            1 => true,
            other => return Err(WireError::Unknown("state", other)),
        };
        let (host, at, by) = (from.u32()?, from.u64()?, from.u32()?);
        Ok(Item {
            kind,
            word: DrainCommand { host, out, at, by },
            epoch: from.u64()?,
            count: from.u32()?,
        })
    })
}

/// Whether a datagram is of drains, in whatever version.
#[must_use]
pub fn recognizes(datagram: &[u8]) -> bool {
    irisrouter_datagram::is(datagram, MAGIC)
}
