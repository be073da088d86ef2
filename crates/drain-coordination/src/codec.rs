//! The datagram of drain coordination: several messages in one, bounded and versioned. All numbers are big-endian.
//!
//! ```text
//! 0        magic and version: 0xE1 (`irisrouter-datagram` lists those that share the peer socket)
//! 1        count of messages, then 30 bytes each:
//! 0        kind: 0 announcement, 1 report, 2 completion
//! 1        1 where the host is to be out of service, 0 where it is to be back
//! 2..6     host     6..14 when the command was issued (Unix milliseconds)     14..18 by which gateway
//! 18..26   epoch of the coordinator, 0 where the sender of an announcement is none
//! 26..30   announcement: 0; report: requests in flight at the host; completion: gateways that did not report
//! ```

use crate::command::{DesiredState, DrainCommand};
use crate::progress::Completion;
use bytes::BufMut;
use irisrouter_cluster_types::{Epoch, GatewayId, HostId, UnixMilliseconds};
use irisrouter_datagram::{decode_items, encode_items, has_magic, max_items, Reader, WireValue};

pub use irisrouter_datagram::magic::DRAINS as MAGIC;
pub use irisrouter_datagram::{WireError, MAX_DATAGRAM_BYTES};

/// Messages that fit into one datagram.
pub const MAX_MESSAGES: usize = max_items::<(), Message>();
/// The epoch in an announcement whose sender does not coordinate the command.
pub const NO_COORDINATOR: Epoch = Epoch(0);

/// The kinds of messages.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MessageKind {
    /// The command holds: follow it, and report the requests in flight at its host.
    Announcement,
    /// The sender follows the command, and has this number of requests in flight at its host.
    Report,
    /// The coordinator found the command to be complete.
    Completion,
}

/// The kinds by their numbers in a datagram.
const KINDS: [MessageKind; 3] = [
    MessageKind::Announcement,
    MessageKind::Report,
    MessageKind::Completion,
];

/// One message.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Message {
    /// The kind.
    pub kind: MessageKind,
    /// The command.
    pub command: DrainCommand,
    /// The epoch of the coordinator; [`NO_COORDINATOR`] for none.
    pub epoch: Epoch,
    /// In a report the requests in flight, in a completion the gateways that did not report; else 0.
    pub count: u32,
}

impl Message {
    /// Announces a command under the epoch of its coordinator, or under [`NO_COORDINATOR`].
    #[must_use]
    pub const fn announcement(command: DrainCommand, epoch: Epoch) -> Self {
        Self {
            kind: MessageKind::Announcement,
            command,
            epoch,
            count: 0,
        }
    }

    /// Answers an announcement made under `epoch`.
    #[must_use]
    pub const fn report(command: DrainCommand, epoch: Epoch, requests_in_flight: u32) -> Self {
        Self {
            kind: MessageKind::Report,
            command,
            epoch,
            count: requests_in_flight,
        }
    }

    /// Announces that a command is complete, under the epoch of the coordinator that sends this.
    #[must_use]
    pub const fn completion(command: DrainCommand, epoch: Epoch, completion: Completion) -> Self {
        Self {
            kind: MessageKind::Completion,
            command,
            epoch,
            count: completion.unacknowledged,
        }
    }
}

impl WireValue for Message {
    const ENCODED_BYTES: usize = 30;

    fn encode(&self, buffer: &mut Vec<u8>) {
        buffer.put_u8(self.kind as u8);
        buffer.put_u8(u8::from(self.command.drains()));
        buffer.put_u32(self.command.host.0);
        buffer.put_u64(self.command.issued_at.0);
        buffer.put_u32(self.command.issued_by.0);
        buffer.put_u64(self.epoch.0);
        buffer.put_u32(self.count);
    }

    fn decode(reader: &mut Reader<'_>) -> Result<Self, WireError> {
        Ok(Self {
            kind: reader.one_of("kind", &KINDS)?,
            command: read_command(reader)?,
            epoch: Epoch(reader.u64()?),
            count: reader.u32()?,
        })
    }
}

fn read_command(reader: &mut Reader<'_>) -> Result<DrainCommand, WireError> {
    let desired_state = match reader.u8()? {
        0 => DesiredState::InService,
        1 => DesiredState::Drained,
        other => return Err(WireError::Unknown("state", other)),
    };
    Ok(DrainCommand {
        host: HostId(reader.u32()?),
        desired_state,
        issued_at: UnixMilliseconds(reader.u64()?),
        issued_by: GatewayId(reader.u32()?),
    })
}

/// The bytes of a datagram with these messages; those beyond [`MAX_MESSAGES`] are left out.
#[must_use]
pub fn encode(messages: &[Message]) -> Vec<u8> {
    encode_items(MAGIC, &(), messages)
}

/// Reads a datagram.
///
/// # Errors
/// The bytes are no datagram of this kind and version, or a field has an unknown value.
pub fn decode(datagram: &[u8]) -> Result<Vec<Message>, WireError> {
    decode_items::<(), Message>(MAGIC, datagram).map(|list| list.items)
}

/// Whether a datagram is one of drain coordination, in whatever version.
#[must_use]
pub fn recognizes(datagram: &[u8]) -> bool {
    has_magic(datagram, MAGIC)
}
