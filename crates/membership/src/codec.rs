//! The membership datagram: foca's header and member updates in a compact, versioned, bounded form.
//!
//! ```text
//! header
//! 0        magic and version: 0xA1 (the findings of `irisrouter-gossip` begin with 0x01, so the two can share a socket)
//! 1..7     source node: number (u32) and generation (u16), big-endian
//! 7..9     source incarnation (u16)
//! 9..15    destination node
//! 15       kind: 0 ping, 1 ack, 2 ping-req, 3 indirect ping, 4 indirect ack, 5 forwarded ack, 6 announce,
//!          7 feed, 8 gossip, 9 broadcast, 10 turn-undead
//! 16       probe number, for kinds 0 to 5
//! 17..23   the other node (target or origin), for kinds 2 to 5
//! then foca's update count (u16) and each member in 9 bytes
//! 0..6     node
//! 6..8     incarnation
//! 8        state: 0 alive, 1 suspect, 2 down
//! ```
//!
//! A header is 16 to 23 bytes, so 25 updates fit in the platform's 256 bytes. Nothing decoded is trusted: every read is
//! checked against what remains, and an unknown kind, state or version is an error, never a panic.

use crate::node::Node;
use bytes::{Buf, BufMut};
use foca::{Codec, Header, Member, Message, State};
use std::fmt;

/// First byte of every membership datagram: 0xA0 marks membership, the low nibble is the version.
pub const MAGIC: u8 = 0xA1;
/// Bytes of one encoded member.
pub const MEMBER: usize = 9;
/// Bytes of the longest header.
pub const LONGEST_HEADER: usize = 23;

/// Why bytes could not be read or written.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WireError {
    /// Fewer bytes remain than the field needs.
    Short,
    /// Not a membership datagram of this version; carries the first byte.
    Version(u8),
    /// A kind of message that this version does not know.
    Kind(u8),
    /// A member state that this version does not know.
    State(u8),
    /// The buffer has no room for what was to be written.
    Full,
}

impl fmt::Display for WireError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Short => write!(f, "the datagram ends inside a field"),
            Self::Version(b) => write!(f, "first byte {b:#04x} is not membership version {MAGIC:#04x}"),
            Self::Kind(k) => write!(f, "unknown kind of message {k}"),
            Self::State(s) => write!(f, "unknown member state {s}"),
            Self::Full => write!(f, "no room left in the datagram"),
        }
    }
}

impl std::error::Error for WireError {}

/// The codec handed to foca. It holds no state.
#[derive(Debug, Default, Clone, Copy)]
pub struct Wire;

fn need(buf: &impl Buf, n: usize) -> Result<(), WireError> {
    if buf.remaining() < n {
        Err(WireError::Short)
    } else {
        Ok(())
    }
}

fn put_node(buf: &mut impl BufMut, node: &Node) {
    buf.put_u32(node.number);
    buf.put_u16(node.generation);
}

fn get_node(buf: &mut impl Buf) -> Result<Node, WireError> {
    need(buf, 6)?;
    Ok(Node { number: buf.get_u32(), generation: buf.get_u16() })
}

fn get_u8(buf: &mut impl Buf) -> Result<u8, WireError> {
    need(buf, 1)?;
    Ok(buf.get_u8())
}

/// The kind's number, its probe number and its other node.
fn parts(message: &Message<Node>) -> (u8, Option<u8>, Option<&Node>) {
    match message {
        Message::Ping(p) => (0, Some(*p), None),
        Message::Ack(p) => (1, Some(*p), None),
        Message::PingReq { target, probe_number } => (2, Some(*probe_number), Some(target)),
        Message::IndirectPing { origin, probe_number } => (3, Some(*probe_number), Some(origin)),
        Message::IndirectAck { target, probe_number } => (4, Some(*probe_number), Some(target)),
        Message::ForwardedAck { origin, probe_number } => (5, Some(*probe_number), Some(origin)),
        Message::Announce => (6, None, None),
        Message::Feed => (7, None, None),
        Message::Gossip => (8, None, None),
        Message::Broadcast => (9, None, None),
        Message::TurnUndead => (10, None, None),
    }
}

fn header_len(message: &Message<Node>) -> usize {
    let (_, probe, other) = parts(message);
    16 + usize::from(probe.is_some()) + if other.is_some() { 6 } else { 0 }
}

impl Codec<Node> for Wire {
    type Error = WireError;

    fn encode_header(&mut self, header: &Header<Node>, mut buf: impl BufMut) -> Result<(), WireError> {
        if buf.remaining_mut() < header_len(&header.message) {
            return Err(WireError::Full);
        }
        let (kind, probe, other) = parts(&header.message);
        buf.put_u8(MAGIC);
        put_node(&mut buf, &header.src);
        buf.put_u16(header.src_incarnation);
        put_node(&mut buf, &header.dst);
        buf.put_u8(kind);
        if let Some(p) = probe {
            buf.put_u8(p);
        }
        if let Some(o) = other {
            put_node(&mut buf, o);
        }
        Ok(())
    }

    fn decode_header(&mut self, mut buf: impl Buf) -> Result<Header<Node>, WireError> {
        let magic = get_u8(&mut buf)?;
        if magic != MAGIC {
            return Err(WireError::Version(magic));
        }
        let src = get_node(&mut buf)?;
        need(&buf, 2)?;
        let src_incarnation = buf.get_u16();
        let dst = get_node(&mut buf)?;
        let kind = get_u8(&mut buf)?;
        let mut probe = || get_u8(&mut buf);
        let message = match kind {
            0 => Message::Ping(probe()?),
            1 => Message::Ack(probe()?),
            2..=5 => {
                let probe_number = probe()?;
                let other = get_node(&mut buf)?;
                match kind {
                    2 => Message::PingReq { target: other, probe_number },
                    3 => Message::IndirectPing { origin: other, probe_number },
                    4 => Message::IndirectAck { target: other, probe_number },
                    _ => Message::ForwardedAck { origin: other, probe_number },
                }
            }
            6 => Message::Announce,
            7 => Message::Feed,
            8 => Message::Gossip,
            9 => Message::Broadcast,
            10 => Message::TurnUndead,
            k => return Err(WireError::Kind(k)),
        };
        Ok(Header { src, src_incarnation, dst, message })
    }

    fn encode_member(&mut self, member: &Member<Node>, mut buf: impl BufMut) -> Result<(), WireError> {
        // Foca asks that a member that does not fit leaves the buffer as it was.
        if buf.remaining_mut() < MEMBER {
            return Err(WireError::Full);
        }
        put_node(&mut buf, member.id());
        buf.put_u16(member.incarnation());
        buf.put_u8(match member.state() {
            State::Alive => 0,
            State::Suspect => 1,
            State::Down => 2,
        });
        Ok(())
    }

    fn decode_member(&mut self, mut buf: impl Buf) -> Result<Member<Node>, WireError> {
        let id = get_node(&mut buf)?;
        need(&buf, 3)?;
        let incarnation = buf.get_u16();
        let state = match buf.get_u8() {
            0 => State::Alive,
            1 => State::Suspect,
            2 => State::Down,
            s => return Err(WireError::State(s)),
        };
        Ok(Member::new(id, incarnation, state))
    }
}

/// Whether a datagram is one of membership's, by its first byte; the shell uses this to route datagrams that share
/// the peer socket.
#[must_use]
pub fn is_membership(datagram: &[u8]) -> bool {
    datagram.first() == Some(&MAGIC)
}
