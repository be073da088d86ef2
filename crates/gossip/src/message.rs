//! The message that carries the results of one round of health checks: a version, the time of the
//! checks, and six bytes for each host.
//!
//! ```text
//! 0      version (1)
//! 1..5   time of the checks: Unix milliseconds, the lower 32 bits, big-endian
//! then for each host
//! 0..3   the host's id, see [`host_id`]
//! 3..5   how far its replication position was behind that time, in milliseconds; 0xffff if unknown
//! 5      top bit: 1 for a primary; lower bits: cores in use in hundredths, 127 if unknown
//! ```

use crate::{Nanoseconds, UnixNanoseconds};
use irisrouter_cluster_types::HostId;
use thiserror::Error;

/// Version of the message format. Messages of other versions are rejected.
const VERSION: u8 = 1;
const HEADER_BYTES: usize = 5;
const RESULT_BYTES: usize = 6;
/// Length of the longest datagram that the platform delivers between gateways, in bytes.
pub const MAX_DATAGRAM_BYTES: usize = 256;
/// Maximum number of results in one message.
pub const MAX_RESULTS: usize = (MAX_DATAGRAM_BYTES - HEADER_BYTES) / RESULT_BYTES;
/// Messages with older results are rejected, so that a delayed datagram does not overwrite newer
/// results.
const MAX_AGE: Nanoseconds = Nanoseconds::from_millis(5_000);
/// Upper bound of the difference between the clocks of two gateways. Messages with results further
/// in the future are rejected, because those results would take precedence over all that arrive
/// later.
const MAX_CLOCK_SKEW: Nanoseconds = Nanoseconds::from_millis(20);
const UNKNOWN_LAG_MS: u16 = u16::MAX;
const UNKNOWN_CORES_IN_USE: u8 = 0x7f;
/// Largest share of cores in use that can be encoded, in hundredths.
const MAX_CORES_IN_USE_HUNDREDTHS: f64 = 126.0;
const PRIMARY_BIT: u8 = 0x80;

/// The state that one host reported in a health check.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct HealthCheckResult {
    /// Id of the host, see [`host_id`].
    pub host: HostId,
    /// Time up to which the host has applied all commits, in whole milliseconds; `None` if unknown.
    pub position: Option<UnixNanoseconds>,
    /// Whether the host accepts writes.
    pub primary: bool,
    /// Share of the host's cores in use, 0 to 1.26; `None` if unknown.
    pub cores_in_use: Option<f64>,
}

/// The results of health checks that were made together.
#[derive(Clone, Debug, PartialEq)]
pub struct Message {
    /// Time of the checks, in whole milliseconds.
    pub checked_at: UnixNanoseconds,
    /// The results, one for each host.
    pub results: Vec<HealthCheckResult>,
}

/// Error returned if a datagram cannot be decoded or its results are not current.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum DecodeError {
    /// The datagram has no results, ends inside one, or is longer than any message.
    #[error("its length is not that of a message of health-check results")]
    Length,
    /// The datagram is of another version.
    #[error("it is of another version")]
    Version,
    /// The checks were made too long ago.
    #[error("its health checks are too old")]
    Old,
    /// The checks were made in the future according to this gateway's clock.
    #[error("its health checks are in the future")]
    Future,
}

/// Returns the id of a host, which is the same at every gateway: the FNV-1a hash of its name,
/// folded to 24 bits.
pub fn host_id(name: &str) -> HostId {
    let hash = name.bytes().fold(0x811c_9dc5_u32, |hash, byte| {
        (hash ^ u32::from(byte)).wrapping_mul(0x0100_0193)
    });
    HostId((hash >> 24) ^ (hash & 0xff_ffff))
}

/// Encodes a message. Results beyond [`MAX_RESULTS`] are left out.
pub fn encode(message: &Message) -> Vec<u8> {
    let checked_at_ms = message.checked_at.as_millis();
    let results = &message.results[..message.results.len().min(MAX_RESULTS)];
    let mut datagram = Vec::with_capacity(HEADER_BYTES + RESULT_BYTES * results.len());
    datagram.push(VERSION);
    datagram.extend_from_slice(&(checked_at_ms as u32).to_be_bytes());
    for result in results {
        let [_, host_bytes @ ..] = result.host.0.to_be_bytes();
        datagram.extend_from_slice(&host_bytes);
        datagram.extend_from_slice(&encode_lag(result.position, checked_at_ms).to_be_bytes());
        let primary_bit = if result.primary { PRIMARY_BIT } else { 0 };
        datagram.push(encode_cores_in_use(result.cores_in_use) | primary_bit);
    }
    datagram
}

/// Encodes how far a position is behind the time of the checks, in milliseconds. The position is
/// rounded down, because a position rounded up would include commits that the host has not applied.
fn encode_lag(position: Option<UnixNanoseconds>, checked_at_ms: i64) -> u16 {
    position.map_or(UNKNOWN_LAG_MS, |position| {
        let lag_ms = checked_at_ms - position.as_millis();
        lag_ms.clamp(0, i64::from(UNKNOWN_LAG_MS)) as u16
    })
}

/// Encodes the share of cores in use in hundredths. A value that is not finite is encoded as
/// unknown.
fn encode_cores_in_use(cores_in_use: Option<f64>) -> u8 {
    cores_in_use
        .filter(|share| share.is_finite())
        .map_or(UNKNOWN_CORES_IN_USE, |share| {
            (share * 100.0)
                .round()
                .clamp(0.0, MAX_CORES_IN_USE_HUNDREDTHS) as u8
        })
}

/// Decodes a datagram. `now` is the current time at the receiver.
///
/// # Errors
///
/// The datagram has an invalid length or another version, or its checks are too old or in the
/// future.
pub fn decode(datagram: &[u8], now: UnixNanoseconds) -> Result<Message, DecodeError> {
    let result_bytes = datagram.len().saturating_sub(HEADER_BYTES);
    if result_bytes == 0
        || !result_bytes.is_multiple_of(RESULT_BYTES)
        || datagram.len() > MAX_DATAGRAM_BYTES
    {
        return Err(DecodeError::Length);
    }
    if datagram[0] != VERSION {
        return Err(DecodeError::Version);
    }
    let time_low_bits = u32::from_be_bytes([datagram[1], datagram[2], datagram[3], datagram[4]]);
    let checked_at_ms = nearest_time_ms(now.as_millis(), time_low_bits);
    let checked_at = UnixNanoseconds::from_millis(checked_at_ms);
    if checked_at < now - MAX_AGE {
        return Err(DecodeError::Old);
    }
    if checked_at > now + MAX_CLOCK_SKEW {
        return Err(DecodeError::Future);
    }
    let results = datagram[HEADER_BYTES..]
        .chunks_exact(RESULT_BYTES)
        .map(|bytes| decode_result(bytes, checked_at_ms))
        .collect();
    Ok(Message {
        checked_at,
        results,
    })
}

/// Returns the time nearest to `now_ms` whose lower 32 bits are `time_low_bits`.
fn nearest_time_ms(now_ms: i64, time_low_bits: u32) -> i64 {
    now_ms - i64::from((now_ms as u32).wrapping_sub(time_low_bits) as i32)
}

/// Decodes the six bytes of one result.
fn decode_result(bytes: &[u8], checked_at_ms: i64) -> HealthCheckResult {
    let lag_ms = u16::from_be_bytes([bytes[3], bytes[4]]);
    let cores_in_use_hundredths = bytes[5] & !PRIMARY_BIT;
    HealthCheckResult {
        host: HostId(u32::from_be_bytes([0, bytes[0], bytes[1], bytes[2]])),
        position: (lag_ms != UNKNOWN_LAG_MS)
            .then(|| UnixNanoseconds::from_millis(checked_at_ms - i64::from(lag_ms))),
        primary: bytes[5] & PRIMARY_BIT != 0,
        cores_in_use: (cores_in_use_hundredths != UNKNOWN_CORES_IN_USE)
            .then(|| f64::from(cores_in_use_hundredths) / 100.0),
    }
}
