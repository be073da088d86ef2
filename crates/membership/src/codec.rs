//! The membership datagram: a versioned, bounded binary format.
//!
//! ```text
//! 0        magic and version: 0xA2 (datagrams of `irisrouter-gossip` begin with 0x01, so both can share a socket)
//! 1..7     source: number (u32) and generation (u16), big-endian
//! 7..9     the source's incarnation (u16)
//! 9..15    destination
//! 15       kind: 0 ping, 1 ack, 2 ping-req, 3 indirect ack, 4 join, 5 member list, 6 gossip, 7 leave
//! 16..18   sequence number (u16), for kinds 0 to 3
//! 18..22   target (u32), for kinds 2 and 3; 22..26 its generation and incarnation (two u16), for kind 3
//! 16..20   first member of the requested list (u32; 0xffff_ffff if no list is requested), for kind 4
//! then     updates: a count (u8) and nine bytes each: process (6), incarnation (2), state (1): 0 alive, 1 down
//! ```
//!
//! The longest header is 26 bytes, so 25 updates fit into a datagram of 256 bytes, the platform's limit. Received bytes
//! are not trusted: every read is checked against the remaining length, and an unknown kind, state or version is an
//! error, as are trailing bytes.

use crate::member_update::MemberUpdate;
use crate::serial_number::{Incarnation, SequenceNumber};
use bytes::BufMut;
use irisrouter_cluster_types::{GatewayId, GatewayProcess, Generation};
use irisrouter_datagram::Reader;

pub use irisrouter_datagram::magic::MEMBERSHIP as MAGIC;
pub use irisrouter_datagram::{WireError, MAX_DATAGRAM_BYTES};

/// Length of an encoded update, in bytes.
pub const UPDATE_BYTES: usize = 9;
/// Length of the longest header without the count of updates, in bytes.
pub const MAX_HEADER_BYTES: usize = 26;
/// Maximum number of updates in a datagram of any kind.
pub const MAX_UPDATES: usize = (MAX_DATAGRAM_BYTES - MAX_HEADER_BYTES - 1) / UPDATE_BYTES;

/// Offset of the byte that holds the kind of the message.
pub const KIND_OFFSET: usize = 15;
/// Number of kinds of messages; the kinds are numbered from 0.
pub const KINDS: usize = 8;

const KIND_PING: u8 = 0;
const KIND_ACK: u8 = 1;
const KIND_PING_REQUEST: u8 = 2;
const KIND_INDIRECT_ACK: u8 = 3;
const KIND_JOIN: u8 = 4;
const KIND_MEMBER_LIST: u8 = 5;
const KIND_GOSSIP: u8 = 6;
const KIND_LEAVE: u8 = 7;

const STATE_ALIVE: u8 = 0;
const STATE_DOWN: u8 = 1;

/// The value on the wire for a [`Message::Join`] that requests no member list.
const NO_MEMBER_LIST_WANTED: u32 = u32::MAX;

/// The message of a datagram.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Message {
    /// A ping, which the destination answers with an ack.
    Ping {
        /// The sequence number, which is returned in the ack.
        sequence: SequenceNumber,
    },
    /// The answer to a ping.
    Ack {
        /// The sequence number of the ping.
        sequence: SequenceNumber,
    },
    /// SWIM's ping-req: asks the destination to ping the target for the source.
    PingRequest {
        /// The sequence number, which is returned in the indirect ack.
        sequence: SequenceNumber,
        /// The member to ping.
        target: GatewayId,
    },
    /// The answer to a ping request: the target has sent an ack.
    IndirectAck {
        /// The sequence number of the ping request.
        sequence: SequenceNumber,
        /// The process that sent the ack.
        target: GatewayProcess,
        /// The incarnation of that process.
        incarnation: Incarnation,
    },
    /// Announces the source, and may request a member list. A member sends joins when it starts, later to members that
    /// are unknown or down in its view, and to request the next part of a list.
    Join {
        /// The first member of the requested member list; `None` if no list is requested.
        list_from: Option<GatewayId>,
    },
    /// The answer to a join; its updates are a part of the source's view.
    MemberList,
    /// A message that only carries updates.
    Gossip,
    /// Announces that the source leaves the fleet.
    Leave,
}

/// A decoded datagram.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Datagram {
    /// The process that sent the datagram.
    pub source: GatewayProcess,
    /// The incarnation of the source.
    pub incarnation: Incarnation,
    /// The recipient, with the latest generation that the source knows of it.
    pub destination: GatewayProcess,
    /// The message.
    pub message: Message,
    /// Updates about members; [`encode`] writes at most [`MAX_UPDATES`].
    pub updates: Vec<MemberUpdate>,
}

/// Encodes a datagram; updates beyond [`MAX_UPDATES`] are omitted.
#[must_use]
pub fn encode(datagram: &Datagram) -> Vec<u8> {
    let update_count = datagram.updates.len().min(MAX_UPDATES);
    let capacity = MAX_HEADER_BYTES + 1 + update_count * UPDATE_BYTES;
    let mut buffer = Vec::with_capacity(capacity);
    buffer.put_u8(MAGIC);
    put_process(&mut buffer, datagram.source);
    buffer.put_u16(datagram.incarnation.0);
    put_process(&mut buffer, datagram.destination);
    put_message(&mut buffer, datagram.message);
    // The cast does not truncate: the count is at most MAX_UPDATES, which is 25.
    buffer.put_u8(update_count as u8);
    for update in &datagram.updates[..update_count] {
        put_update(&mut buffer, update);
    }
    buffer
}

fn put_process(buffer: &mut Vec<u8>, process: GatewayProcess) {
    buffer.put_u32(process.gateway.0);
    buffer.put_u16(process.generation.0);
}

fn put_message(buffer: &mut Vec<u8>, message: Message) {
    match message {
        Message::Ping { sequence } => put_kind_and_sequence(buffer, KIND_PING, sequence),
        Message::Ack { sequence } => put_kind_and_sequence(buffer, KIND_ACK, sequence),
        Message::PingRequest { sequence, target } => {
            put_kind_and_sequence(buffer, KIND_PING_REQUEST, sequence);
            buffer.put_u32(target.0);
        }
        Message::IndirectAck {
            sequence,
            target,
            incarnation,
        } => {
            put_kind_and_sequence(buffer, KIND_INDIRECT_ACK, sequence);
            put_process(buffer, target);
            buffer.put_u16(incarnation.0);
        }
        Message::Join { list_from } => {
            buffer.put_u8(KIND_JOIN);
            buffer.put_u32(list_from.map_or(NO_MEMBER_LIST_WANTED, |gateway| gateway.0));
        }
        Message::MemberList => buffer.put_u8(KIND_MEMBER_LIST),
        Message::Gossip => buffer.put_u8(KIND_GOSSIP),
        Message::Leave => buffer.put_u8(KIND_LEAVE),
    }
}

fn put_kind_and_sequence(buffer: &mut Vec<u8>, kind: u8, sequence: SequenceNumber) {
    buffer.put_u8(kind);
    buffer.put_u16(sequence.0);
}

fn put_update(buffer: &mut Vec<u8>, update: &MemberUpdate) {
    put_process(buffer, update.process);
    buffer.put_u16(update.incarnation.0);
    buffer.put_u8(if update.down { STATE_DOWN } else { STATE_ALIVE });
}

/// Decodes a datagram.
///
/// # Errors
///
/// Returns an error if the bytes are not a membership datagram of this version, if they are truncated, if they contain
/// an unknown kind or state, or if further bytes follow the updates. Returns the first such error found.
pub fn decode(bytes: &[u8]) -> Result<Datagram, WireError> {
    let mut reader = Reader::new(bytes, MAGIC)?;
    let source = read_process(&mut reader)?;
    let incarnation = Incarnation(reader.u16()?);
    let destination = read_process(&mut reader)?;
    let message = read_message(&mut reader)?;
    let updates = reader.items(UPDATE_BYTES, read_update)?;
    Ok(Datagram {
        source,
        incarnation,
        destination,
        message,
        updates,
    })
}

fn read_process(reader: &mut Reader<'_>) -> Result<GatewayProcess, WireError> {
    Ok(GatewayProcess {
        gateway: GatewayId(reader.u32()?),
        generation: Generation(reader.u16()?),
    })
}

fn read_message(reader: &mut Reader<'_>) -> Result<Message, WireError> {
    match reader.u8()? {
        KIND_PING => Ok(Message::Ping {
            sequence: SequenceNumber(reader.u16()?),
        }),
        KIND_ACK => Ok(Message::Ack {
            sequence: SequenceNumber(reader.u16()?),
        }),
        KIND_PING_REQUEST => Ok(Message::PingRequest {
            sequence: SequenceNumber(reader.u16()?),
            target: GatewayId(reader.u32()?),
        }),
        KIND_INDIRECT_ACK => Ok(Message::IndirectAck {
            sequence: SequenceNumber(reader.u16()?),
            target: read_process(reader)?,
            incarnation: Incarnation(reader.u16()?),
        }),
        KIND_JOIN => {
            let first = reader.u32()?;
            let list_from = (first != NO_MEMBER_LIST_WANTED).then_some(GatewayId(first));
            Ok(Message::Join { list_from })
        }
        KIND_MEMBER_LIST => Ok(Message::MemberList),
        KIND_GOSSIP => Ok(Message::Gossip),
        KIND_LEAVE => Ok(Message::Leave),
        unknown => Err(WireError::Unknown("kind", unknown)),
    }
}

fn read_update(reader: &mut Reader<'_>) -> Result<MemberUpdate, WireError> {
    let process = read_process(reader)?;
    let incarnation = Incarnation(reader.u16()?);
    let down = match reader.u8()? {
        STATE_ALIVE => false,
        STATE_DOWN => true,
        unknown => return Err(WireError::Unknown("state", unknown)),
    };
    Ok(MemberUpdate {
        process,
        incarnation,
        down,
    })
}

/// Returns whether the first byte of a datagram is that of a membership datagram of any version. The socket is shared
/// with other protocols.
#[must_use]
pub fn recognizes(datagram: &[u8]) -> bool {
    irisrouter_datagram::has_magic(datagram, MAGIC)
}
