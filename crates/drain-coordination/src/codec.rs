//! Datagram format of drain coordination. A datagram carries several messages; it is versioned and of bounded length.
//! All numbers are big-endian.
//!
//! ```text
//! datagram:
//! 0        magic and version: 0xE1 (`irisrouter-datagram` lists all magic bytes on the peer socket)
//! 1        number of messages; the messages follow
//!
//! message (30 bytes):
//! 0        kind: 0 announcement, 1 report, 2 completion
//! 1        desired state of the host: 0 in service, 1 out of service
//! 2..6     host
//! 6..14    time at which the command was issued (Unix milliseconds)
//! 14..18   gateway at which the command was issued
//! 18..26   epoch of the coordinator; 0 in an announcement whose sender is not the coordinator
//! 26..30   announcement: 0; report: number of requests in flight at the host; completion: number of gateways that
//!          did not report
//! ```

use crate::command::{DesiredState, DrainCommand};
use crate::progress::Completion;
use bytes::BufMut;
use irisrouter_cluster_types::{Epoch, GatewayId, HostId, UnixMilliseconds};
use irisrouter_datagram::{decode_items, encode_items, has_magic, max_items, Reader, WireValue};

pub use irisrouter_datagram::magic::DRAINS as MAGIC;
pub use irisrouter_datagram::{WireError, MAX_DATAGRAM_BYTES};

/// Maximum number of messages in one datagram.
pub const MAX_MESSAGES: usize = max_items::<(), Message>();
/// Epoch of an announcement whose sender does not coordinate the command.
pub const NO_COORDINATOR: Epoch = Epoch(0);

/// Kind of a message.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MessageKind {
    /// Announces a command: the recipient follows it, and reports its number of requests in flight at the host.
    Announcement,
    /// Reports that the sender follows the command, and its number of requests in flight at the host.
    Report,
    /// Reports that the coordinator determined that the command is complete.
    Completion,
}

/// Message kinds, indexed by their numbers in a datagram.
const KINDS: [MessageKind; 3] = [
    MessageKind::Announcement,
    MessageKind::Report,
    MessageKind::Completion,
];

/// Message about one command.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Message {
    /// Kind of the message.
    pub kind: MessageKind,
    /// Command that the message is about.
    pub command: DrainCommand,
    /// Epoch of the coordinator; [`NO_COORDINATOR`] in an announcement whose sender is not the coordinator, and in the
    /// reports that answer it.
    pub epoch: Epoch,
    /// Number of requests in flight in a report, number of gateways that did not report in a completion, 0 in an
    /// announcement.
    pub count: u32,
}

impl Message {
    /// Creates an announcement of a command under the epoch of its coordinator, or under [`NO_COORDINATOR`].
    #[must_use]
    pub const fn announcement(command: DrainCommand, epoch: Epoch) -> Self {
        Self {
            kind: MessageKind::Announcement,
            command,
            epoch,
            count: 0,
        }
    }

    /// Creates a report that answers an announcement with this `epoch`.
    #[must_use]
    pub const fn report(command: DrainCommand, epoch: Epoch, requests_in_flight: u32) -> Self {
        Self {
            kind: MessageKind::Report,
            command,
            epoch,
            count: requests_in_flight,
        }
    }

    /// Creates the message that a command is complete, under the epoch of the coordinator that sends it.
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

/// Encodes these messages as a datagram. Messages beyond [`MAX_MESSAGES`] are left out.
#[must_use]
pub fn encode(messages: &[Message]) -> Vec<u8> {
    encode_items(MAGIC, &(), messages)
}

/// Decodes a datagram.
///
/// # Errors
/// The bytes are not a datagram of this kind and version, or a field has an unknown value.
pub fn decode(datagram: &[u8]) -> Result<Vec<Message>, WireError> {
    decode_items::<(), Message>(MAGIC, datagram).map(|list| list.items)
}

/// Returns whether a datagram belongs to drain coordination, in any version.
#[must_use]
pub fn recognizes(datagram: &[u8]) -> bool {
    has_magic(datagram, MAGIC)
}
