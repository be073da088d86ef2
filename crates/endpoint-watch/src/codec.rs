//! Encoding of a heartbeat as a versioned datagram of bounded size. All numbers are big-endian.
//!
//! ```text
//! 0        magic and version: 0xF1 (`irisrouter_datagram::magic` lists all protocols on the peer socket)
//! 1..9     epoch of the watcher's lease     9..17 revision of the watcher's endpoint list
//! 17       count of hosts, then 4 bytes each: the id of a host that this list marks as out of service
//! ```

use crate::heartbeat::{Heartbeat, MAX_HOSTS_OUT_OF_SERVICE};
use crate::Revision;
use bytes::BufMut;
use irisrouter_cluster_types::{Epoch, HostId};
use irisrouter_datagram::Reader;

pub use irisrouter_datagram::magic::ENDPOINT_WATCH as MAGIC;
pub use irisrouter_datagram::{WireError, MAX_DATAGRAM_BYTES};

/// An epoch that no lease has, so that no watcher sends it.
const NO_EPOCH: Epoch = Epoch(0);
/// Size of the fields before the hosts, in bytes: magic byte, epoch, revision and count.
const HEADER_BYTES: usize = 18;
/// Size of a host's id, in bytes.
const HOST_BYTES: usize = 4;
const _: () = assert!(HEADER_BYTES + MAX_HOSTS_OUT_OF_SERVICE * HOST_BYTES <= MAX_DATAGRAM_BYTES);

/// Encodes a heartbeat. Hosts beyond the first [`MAX_HOSTS_OUT_OF_SERVICE`] are left out.
#[must_use]
pub fn encode(heartbeat: &Heartbeat) -> Vec<u8> {
    let hosts = &heartbeat.hosts_out_of_service;
    let hosts = &hosts[..hosts.len().min(MAX_HOSTS_OUT_OF_SERVICE)];
    let mut buffer = Vec::with_capacity(HEADER_BYTES + hosts.len() * HOST_BYTES);
    buffer.put_u8(MAGIC);
    buffer.put_u64(heartbeat.epoch.0);
    buffer.put_u64(heartbeat.revision.0);
    // The cast is lossless, because there are at most 59 hosts.
    buffer.put_u8(hosts.len() as u8);
    for host in hosts {
        buffer.put_u32(host.0);
    }
    buffer
}

/// Decodes a heartbeat.
///
/// # Errors
/// Returns an error if the bytes are not a heartbeat of this version, or if its epoch is 0.
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

/// Returns whether a datagram is a heartbeat of the endpoint watch, of any version.
#[must_use]
pub fn recognizes(datagram: &[u8]) -> bool {
    irisrouter_datagram::has_magic(datagram, MAGIC)
}
