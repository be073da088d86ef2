//! Encoding of the lease datagrams, which carry requests and votes between two gateways. A datagram holds several
//! messages. Its size is limited, and its first byte states the version.
//!
//! ```text
//! 0        magic and version: 0xB1 (`irisrouter_datagram::magic` lists all protocols on the peer socket)
//! 1..3     the sender's generation (u16, big-endian); the sender's gateway id is known from its address
//! 3        count of messages, then 28 bytes each:
//! 0        kind: 0 request, 1 granted, 2 refused, 3 released, 4 offered, 5 pre-vote, 6 vacant
//! 1..9     task    9..17 epoch    17..19 round
//! 19..23   holder's gateway (0xffff_ffff for none)   23..25 its generation
//! 25..28   milliseconds remaining (u24; a longer time is sent as the largest value)
//! ```

use bytes::BufMut;
use irisrouter_cluster_types::{
    Epoch, GatewayId, GatewayProcess, Generation, Milliseconds, TaskId,
};
use irisrouter_datagram::{decode_items, encode_items, has_magic, max_items, Reader, WireValue};

pub use irisrouter_datagram::magic::LEASES as MAGIC;
pub use irisrouter_datagram::{WireError, MAX_DATAGRAM_BYTES};

/// Maximum number of messages in one datagram.
pub const MAX_MESSAGES: usize = max_items::<u16, LeaseMessage>();

/// Encoded gateway id of a message without a holder.
const NO_HOLDER: GatewayId = GatewayId(u32::MAX);
/// The longest remaining time that can be encoded, the maximum of a u24.
const MAX_REMAINING: Milliseconds = Milliseconds(0xff_ffff);
/// Size of the encoded remaining time, in bytes.
const REMAINING_BYTES: usize = 3;

/// The kind of a message about a task.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MessageKind {
    /// A claimant requests the epoch.
    Request,
    /// A voter grants the epoch for the duration of a lease. The holder is the other process to which this voter
    /// granted its latest epoch before, whether or not a majority of the voters did so too.
    Granted,
    /// A voter refuses. The epoch is the latest that it granted, and its promise to the holder lasts for the remaining
    /// time.
    Refused,
    /// A holder or a claimant releases the epoch.
    Released,
    /// A former holder offers the lease that it has released to the first candidate.
    Offered,
    /// A claimant asks whether a request would be granted.
    PreVote,
    /// A voter would grant a request. The epoch is the latest that it granted.
    Vacant,
}

/// All kinds. The index of a kind is its number in the datagram.
const KINDS: [MessageKind; 7] = [
    MessageKind::Request,
    MessageKind::Granted,
    MessageKind::Refused,
    MessageKind::Released,
    MessageKind::Offered,
    MessageKind::PreVote,
    MessageKind::Vacant,
];

/// One request or vote.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LeaseMessage {
    /// The kind of the message.
    pub kind: MessageKind,
    /// The task.
    pub task: TaskId,
    /// The epoch, whose meaning depends on the kind.
    pub epoch: Epoch,
    /// The number of the round of requests or of the pre-vote. An answer repeats the number of its request.
    pub round: u16,
    /// The holder, whose meaning depends on the kind.
    pub holder: Option<GatewayProcess>,
    /// The remaining time of a voter's promise, in refusals. Encoded as at most 2^24 - 1 milliseconds.
    pub remaining: Milliseconds,
}

impl LeaseMessage {
    /// Creates a message with round 0, no holder and no remaining time.
    #[must_use]
    pub const fn new(kind: MessageKind, task: TaskId, epoch: Epoch) -> Self {
        Self {
            kind,
            task,
            epoch,
            round: 0,
            holder: None,
            remaining: Milliseconds::ZERO,
        }
    }
}

impl WireValue for LeaseMessage {
    const ENCODED_BYTES: usize = 28;

    fn encode(&self, buffer: &mut Vec<u8>) {
        let holder = self.holder.unwrap_or(GatewayProcess {
            gateway: NO_HOLDER,
            generation: Generation(0),
        });
        let remaining = self.remaining.min(MAX_REMAINING);
        // The variants of MessageKind and the entries of KINDS are in the same order.
        buffer.put_u8(self.kind as u8);
        buffer.put_u64(self.task.0);
        buffer.put_u64(self.epoch.0);
        buffer.put_u16(self.round);
        buffer.put_u32(holder.gateway.0);
        buffer.put_u16(holder.generation.0);
        buffer.put_uint(remaining.0, REMAINING_BYTES);
    }

    fn decode(reader: &mut Reader<'_>) -> Result<Self, WireError> {
        Ok(Self {
            kind: reader.one_of("kind", &KINDS)?,
            task: TaskId(reader.u64()?),
            epoch: Epoch(reader.u64()?),
            round: reader.u16()?,
            holder: decode_holder(reader)?,
            remaining: decode_remaining(reader)?,
        })
    }
}

fn decode_holder(reader: &mut Reader<'_>) -> Result<Option<GatewayProcess>, WireError> {
    let holder = GatewayProcess {
        gateway: GatewayId(reader.u32()?),
        generation: Generation(reader.u16()?),
    };
    Ok(Some(holder).filter(|holder| holder.gateway != NO_HOLDER))
}

fn decode_remaining(reader: &mut Reader<'_>) -> Result<Milliseconds, WireError> {
    let high = u64::from(reader.u8()?);
    let low = u64::from(reader.u16()?);
    Ok(Milliseconds(high << 16 | low))
}

/// A decoded datagram.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LeaseDatagram {
    /// The generation of the sender's process.
    pub sender_generation: Generation,
    /// The messages, in the order of the datagram.
    pub messages: Vec<LeaseMessage>,
}

/// Encodes a datagram with up to [`MAX_MESSAGES`] messages. Any further messages are omitted.
#[must_use]
pub fn encode(sender_generation: Generation, messages: &[LeaseMessage]) -> Vec<u8> {
    encode_items(MAGIC, &sender_generation.0, messages)
}

/// Decodes a datagram.
///
/// # Errors
/// The datagram is of another protocol or version, its size does not match its message count, or a message is of an
/// unknown kind.
pub fn decode(datagram: &[u8]) -> Result<LeaseDatagram, WireError> {
    let list = decode_items::<u16, LeaseMessage>(MAGIC, datagram)?;
    Ok(LeaseDatagram {
        sender_generation: Generation(list.header),
        messages: list.items,
    })
}

/// Returns whether the first byte of a datagram identifies it as a lease datagram, of any version.
#[must_use]
pub fn recognizes(datagram: &[u8]) -> bool {
    has_magic(datagram, MAGIC)
}
