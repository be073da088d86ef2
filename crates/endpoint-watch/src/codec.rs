//! The beat of the fleet's watch, told to all gateways at once, bounded and versioned.
//!
//! ```text
//! 0        magic and version: 0xF1 (`irisrouter-datagram` has the list of those that share the peer socket)
//! 1..9     epoch of the watcher     9..17 revision of the list that it has
//! 17       count, then 4 bytes each: the number of a host that this list has out of service
//! ```

use crate::{Heartbeat, MOST_OUT};
use bytes::BufMut;
use irisrouter_datagram::Reader;

pub use irisrouter_datagram::magic::ENDPOINT_WATCH as MAGIC;
pub use irisrouter_datagram::{WireError, MAX_DATAGRAM_BYTES};
const HEADER: usize = 18;
const HOST: usize = 4;
const _: () = assert!(HEADER + MOST_OUT * HOST <= MAX_DATAGRAM_BYTES);

/// The bytes of a beat; hosts beyond [`MOST_OUT`] are left out.
#[must_use]
pub fn encode(beat: &Heartbeat) -> Vec<u8> {
    let out = &beat.out[..beat.out.len().min(MOST_OUT)];
    let mut buf = Vec::with_capacity(HEADER + out.len() * HOST);
    buf.put_u8(MAGIC);
    buf.put_u64(beat.epoch);
    buf.put_u64(beat.revision);
    // At most 59.
    buf.put_u8(out.len() as u8);
    out.iter().for_each(|&host| buf.put_u32(host));
    buf
}

/// Reads a beat.
///
/// # Errors
/// Why the bytes are none.
pub fn decode(bytes: &[u8]) -> Result<Heartbeat, WireError> {
    let mut from = Reader::new(bytes, MAGIC)?;
    let (epoch, revision) = (from.u64()?, from.u64()?);
    if epoch == 0 {
        return Err(WireError::Value("an epoch of nobody"));
    }
    Ok(Heartbeat {
        epoch,
        revision,
        out: from.items(HOST, Reader::u32)?,
    })
}

/// Whether a datagram is of the fleet's watch, in whatever version.
#[must_use]
pub fn recognizes(datagram: &[u8]) -> bool {
    irisrouter_datagram::is(datagram, MAGIC)
}
