//! Encoding of the write intent datagrams, which carry records, look-ups and their answers. A datagram holds several
//! messages. Its size is limited, and its first byte states the version.
//!
//! ```text
//! 0      magic and version: 0xC2 (`irisrouter_datagram::magic` lists all protocols on the peer socket)
//! 1      count of messages, then 25 bytes each:
//! 0      kind: 0 record, 1 acknowledged, 2 look up, 3 found, 4 not found, 5 withdraw
//! 1..9   number (u64, big-endian) of the intent that is recorded, acknowledged or withdrawn, or of the look-up
//! 9..17  key (u64)
//! 17..25 Unix milliseconds (u64) of the first attempt that may have run; 0 if the kind carries no time
//! ```
//!
//! Version 1 had no number, so that a message which arrived late was taken for a later one. Its datagrams are rejected.

use crate::{KeyHash, SequenceNumber};
use bytes::BufMut;
use irisrouter_cluster_types::UnixMilliseconds;
use irisrouter_datagram::{decode_items, encode_items, has_magic, max_items, Reader, WireValue};

pub use irisrouter_datagram::magic::WRITE_INTENTS as MAGIC;
pub use irisrouter_datagram::{WireError, MAX_DATAGRAM_BYTES};

/// Time field of a message whose kind carries no time.
const NO_TIME: UnixMilliseconds = UnixMilliseconds(0);

/// Maximum number of messages in one datagram.
pub const MAX_MESSAGES: usize = max_items::<(), IntentMessage>();

/// The kind of a message about a key.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MessageKind {
    /// A writer asks a replica to record that a write with this key may have run from the given time on.
    Record,
    /// A replica acknowledges the record with the given time.
    Acknowledged,
    /// A gateway asks whether there is a record of the key.
    LookUp,
    /// Answer to a look-up: a write with this key may have run from the given time on.
    Found,
    /// Answer to a look-up: there is no record of the key.
    NotFound,
    /// A writer withdraws its record because the write never ran.
    Withdraw,
}

/// All kinds. The index of a kind is its number in the datagram.
const KINDS: [MessageKind; 6] = [
    MessageKind::Record,
    MessageKind::Acknowledged,
    MessageKind::LookUp,
    MessageKind::Found,
    MessageKind::NotFound,
    MessageKind::Withdraw,
];

/// One message about one key.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct IntentMessage {
    /// The kind of the message.
    pub kind: MessageKind,
    /// Number of the intent that is recorded, acknowledged or withdrawn, or of the look-up that is asked or answered.
    pub number: SequenceNumber,
    /// The key that the message is about.
    pub key: KeyHash,
    /// Time of the first attempt that may have run, or 0 if the kind carries no time.
    pub first_sent_at: UnixMilliseconds,
}

impl IntentMessage {
    /// Creates a message without a time.
    #[must_use]
    pub const fn new(kind: MessageKind, number: SequenceNumber, key: KeyHash) -> Self {
        Self {
            kind,
            number,
            key,
            first_sent_at: NO_TIME,
        }
    }
}

impl WireValue for IntentMessage {
    const ENCODED_BYTES: usize = 25;

    fn encode(&self, buffer: &mut Vec<u8>) {
        // The variants of MessageKind and the entries of KINDS are in the same order.
        buffer.put_u8(self.kind as u8);
        buffer.put_u64(self.number.0);
        buffer.put_u64(self.key.0);
        buffer.put_u64(self.first_sent_at.0);
    }

    fn decode(reader: &mut Reader<'_>) -> Result<Self, WireError> {
        Ok(Self {
            kind: reader.one_of("kind", &KINDS)?,
            number: SequenceNumber(reader.u64()?),
            key: KeyHash(reader.u64()?),
            first_sent_at: UnixMilliseconds(reader.u64()?),
        })
    }
}

/// Encodes a datagram with up to [`MAX_MESSAGES`] messages. Any further messages are omitted.
#[must_use]
pub fn encode(messages: &[IntentMessage]) -> Vec<u8> {
    encode_items(MAGIC, &(), messages)
}

/// Decodes a datagram.
///
/// # Errors
/// The datagram is of another protocol or version, its size does not match its message count, or a message is of an
/// unknown kind.
pub fn decode(datagram: &[u8]) -> Result<Vec<IntentMessage>, WireError> {
    decode_items::<(), IntentMessage>(MAGIC, datagram).map(|list| list.items)
}

/// Returns whether the first byte of a datagram identifies it as a write intent datagram, of any version.
#[must_use]
pub fn recognizes(datagram: &[u8]) -> bool {
    has_magic(datagram, MAGIC)
}
