//! The membership datagram: a versioned, bounded codec of our own.
//!
//! ```text
//! 0        magic and version: 0xA2 (the findings of `irisrouter-gossip` begin with 0x01, so the two can share a socket)
//! 1..7     source: number (u32) and generation (u16), big-endian
//! 7..9     the source's incarnation (u16)
//! 9..15    destination
//! 15       kind: 0 ping, 1 ack, 2 ping-req, 3 indirect ack, 4 join, 5 feed, 6 gossip, 7 leave
//! 16..18   sequence number (u16), for kinds 0 to 3
//! 18..22   target (u32), for kinds 2 and 3; 22..26 its generation and incarnation (two u16), for kind 3
//! 16..20   first number wanted (u32; 0xffff_ffff for none), for kind 4
//! then     words: a count (u8) and nine bytes each: node (6), incarnation (2), state (1): 0 alive, 1 down
//! ```
//!
//! The longest header is 26 bytes, so 25 words fit the platform's 256 bytes. Nothing decoded is trusted: every read is
//! checked against what remains, an unknown kind, state or version is an error, and bytes left over are an error too.

use crate::merge_rules::Word;
use crate::node::Node;
use bytes::BufMut;
use irisrouter_datagram::Reader;

pub use irisrouter_datagram::magic::MEMBERSHIP as MAGIC;
pub use irisrouter_datagram::{WireError, MAX_DATAGRAM_BYTES};
/// Bytes of one word.
pub const WORD: usize = 9;
/// Bytes of the longest header, without the count of words.
pub const LONGEST_HEADER: usize = 26;
/// Words that fit any datagram.
pub const WORDS: usize = (MAX_DATAGRAM_BYTES - LONGEST_HEADER - 1) / WORD;

/// What a datagram asks or answers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// "Are you there?"
    Ping {
        /// Comes back in the answer.
        seq: u16,
    },
    /// The answer to a ping.
    Ack {
        /// The ping's.
        seq: u16,
    },
    /// "Ask this member for me."
    PingReq {
        /// Comes back in the answer.
        seq: u16,
        /// Whom.
        target: u32,
    },
    /// "It answered me."
    IndirectAck {
        /// The ping-req's.
        seq: u16,
        /// Who answered, as which process.
        target: Node,
        /// In which incarnation.
        incarnation: u16,
    },
    /// A member that starts, or looks for one that it does not hold alive.
    Join {
        /// It wants to be told of members from this number on.
        from: Option<u32>,
    },
    /// The answer to a join.
    Feed,
    /// Words only.
    Gossip,
    /// The source stops.
    Leave,
}

/// A whole datagram.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Datagram {
    /// Who sent it.
    pub src: Node,
    /// In which incarnation.
    pub incarnation: u16,
    /// To whom; the generation is what the source knows of it.
    pub dst: Node,
    /// What for.
    pub kind: Kind,
    /// What it says of others; at most [`WORDS`].
    pub words: Vec<Word>,
}

fn put_node(buf: &mut Vec<u8>, node: Node) {
    buf.put_u32(node.number);
    buf.put_u16(node.generation);
}

/// The bytes of a datagram; words beyond [`WORDS`] are left out.
#[must_use]
pub fn encode(datagram: &Datagram) -> Vec<u8> {
    let words = &datagram.words[..datagram.words.len().min(WORDS)];
    let mut buf = Vec::with_capacity(LONGEST_HEADER + 1 + words.len() * WORD);
    buf.put_u8(MAGIC);
    put_node(&mut buf, datagram.src);
    buf.put_u16(datagram.incarnation);
    put_node(&mut buf, datagram.dst);
    let mut seq = |kind: u8, seq: u16| {
        buf.put_u8(kind);
        buf.put_u16(seq);
    };
    match datagram.kind {
        Kind::Ping { seq: s } => seq(0, s),
        Kind::Ack { seq: s } => seq(1, s),
        Kind::PingReq { seq: s, target } => {
            seq(2, s);
            buf.put_u32(target);
        }
        Kind::IndirectAck {
            seq: s,
            target,
            incarnation,
        } => {
            seq(3, s);
            put_node(&mut buf, target);
            buf.put_u16(incarnation);
        }
        Kind::Join { from } => {
            buf.put_u8(4);
            buf.put_u32(from.unwrap_or(u32::MAX));
        }
        Kind::Feed => buf.put_u8(5),
        Kind::Gossip => buf.put_u8(6),
        Kind::Leave => buf.put_u8(7),
    }
    // At most WORDS, which is 25.
    buf.put_u8(words.len() as u8);
    for word in words {
        put_node(&mut buf, word.node);
        buf.put_u16(word.incarnation);
        buf.put_u8(u8::from(word.down));
    }
    buf
}

fn get_node(from: &mut Reader<'_>) -> Result<Node, WireError> {
    Ok(Node {
        number: from.u32()?,
        generation: from.u16()?,
    })
}

/// Reads a datagram.
///
/// # Errors
///
/// The bytes are none of this version, or are cut short or too long; the first reason found.
pub fn decode(bytes: &[u8]) -> Result<Datagram, WireError> {
    let mut from = Reader::new(bytes, MAGIC)?;
    let (src, incarnation, dst) = (get_node(&mut from)?, from.u16()?, get_node(&mut from)?);
    let kind = match from.u8()? {
        0 => Kind::Ping { seq: from.u16()? },
        1 => Kind::Ack { seq: from.u16()? },
        2 => Kind::PingReq {
            seq: from.u16()?,
            target: from.u32()?,
        },
        3 => Kind::IndirectAck {
            seq: from.u16()?,
            target: get_node(&mut from)?,
            incarnation: from.u16()?,
        },
        4 => Kind::Join {
            from: Some(from.u32()?).filter(|&n| n != u32::MAX),
        },
        5 => Kind::Feed,
        6 => Kind::Gossip,
        7 => Kind::Leave,
        k => return Err(WireError::Unknown("kind", k)),
    };
    let words = from.items(WORD, |from| {
        let (node, incarnation) = (get_node(from)?, from.u16()?);
        match from.u8()? {
            state @ (0 | 1) => Ok(Word {
                node,
                incarnation,
                down: state == 1,
            }),
            state => Err(WireError::Unknown("state", state)),
        }
    })?;
    Ok(Datagram {
        src,
        incarnation,
        dst,
        kind,
        words,
    })
}

/// Whether a datagram is one of membership's, by its first byte; the shell uses this to route datagrams that share
/// the peer socket.
#[must_use]
pub fn recognizes(datagram: &[u8]) -> bool {
    irisrouter_datagram::is(datagram, MAGIC)
}
