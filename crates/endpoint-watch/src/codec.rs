//! The heartbeat's datagram, sent to all gateways at once, bounded and versioned. All numbers are big-endian.
//!
//! ```text
//! 0        magic and version: 0xF1 (`irisrouter_datagram::magic` lists all protocols on the peer socket)
//! 1..9     epoch of the watcher     9..17 revision of the list that it has
//! 17       count, then 4 bytes each: the number of a host that this list has out of service
//! ```

use crate::heartbeat::{Heartbeat, MAX_HOSTS_OUT_OF_SERVICE};
use crate::Revision;
use bytes::BufMut;
use irisrouter_cluster_types::{Epoch, HostId};
use irisrouter_datagram::Reader;

pub use irisrouter_datagram::magic::ENDPOINT_WATCH as MAGIC;
pub use irisrouter_datagram::{WireError, MAX_DATAGRAM_BYTES};

/// The epoch of no lease: no watcher sends it.
const NO_EPOCH: Epoch = Epoch(0);
/// Bytes ahead of the hosts: the first byte, epoch, revision and the count.
const HEADER_BYTES: usize = 18;
/// Bytes of a host's number.
const HOST_BYTES: usize = 4;
const _: () = assert!(HEADER_BYTES + MAX_HOSTS_OUT_OF_SERVICE * HOST_BYTES <= MAX_DATAGRAM_BYTES);

/// The bytes of a heartbeat; hosts beyond [`MAX_HOSTS_OUT_OF_SERVICE`] are left out.
#[must_use]
pub fn encode(heartbeat: &Heartbeat) -> Vec<u8> {
    let hosts = &heartbeat.hosts_out_of_service;
    let hosts = &hosts[..hosts.len().min(MAX_HOSTS_OUT_OF_SERVICE)];
    let mut buffer = Vec::with_capacity(HEADER_BYTES + hosts.len() * HOST_BYTES);
    buffer.put_u8(MAGIC);
    buffer.put_u64(heartbeat.epoch.0);
    buffer.put_u64(heartbeat.revision.0);
    // At most 59, so the count fits.
    buffer.put_u8(hosts.len() as u8);
    for host in hosts {
        buffer.put_u32(host.0);
    }
    buffer
}

/// Reads a heartbeat.
///
/// # Errors
/// The bytes are no heartbeat of this version, or its epoch is 0.
pub fn decode(datagram: &[u8]) -> Result<Heartbeat, WireError> {
    let mut reader = Reader::new(datagram, MAGIC)?;
    let epoch = Epoch(reader.u64()?);
    let revision = Revision(reader.u64()?);
    if epoch == NO_EPOCH {
        return Err(WireError::Value("an epoch of nobody"));
    }
    Ok(Heartbeat {
        epoch,
        revision,
        hosts_out_of_service: reader.items(HOST_BYTES, |reader| reader.u32().map(HostId))?,
    })
}

/// Whether a datagram is a heartbeat of the watch, in whatever version.
#[must_use]
pub fn recognizes(datagram: &[u8]) -> bool {
    irisrouter_datagram::has_magic(datagram, MAGIC)
}
