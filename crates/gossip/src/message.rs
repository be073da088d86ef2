//! The message: a version, the time at which its findings were made, and six bytes for each host.
//!
//! ```text
//! 0      version (1)
//! 1..5   time of the findings: Unix milliseconds, the lower 32 bits, big-endian
//! then for each host
//! 0..3   the host's number, see [`number`]
//! 3..5   how far its position lay behind that time, in milliseconds; 0xffff for not known
//! 5      1 in the top bit from a primary; below it cores in use in hundredths, 127 for not known
//! ```

/// Nanoseconds in a millisecond.
const MS: i64 = 1_000_000;
/// The version that is written, and the only one that is read.
const VERSION: u8 = 1;
const HEAD: usize = 5;
const EACH: usize = 6;
/// The longest datagram that the platform carries.
pub const LONGEST: usize = 256;
/// Hosts in one message at most.
pub const MOST: usize = (LONGEST - HEAD) / EACH;
/// Findings of an older time are not used. Danger: a datagram that was held up would undo what was heard since.
const OLDEST: i64 = 5_000 * MS;
/// Clocks of gateways differ by less. Danger: word from the future would beat all that comes after it.
const AHEAD: i64 = 20 * MS;
const UNKNOWN_LAG: u16 = u16::MAX;
const UNKNOWN_USE: u8 = 0x7f;
const PRIMARY: u8 = 0x80;

/// What a host has said of itself.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Finding {
    /// Which host, see [`number`].
    pub host: u32,
    /// It has applied all commits up to here: Unix time in nanoseconds, in whole milliseconds.
    pub position: Option<i64>,
    /// It takes writes.
    pub primary: bool,
    /// Share of its cores in use, 0 to 1.26.
    pub in_use: Option<f64>,
}

/// Findings that were made together.
#[derive(Clone, Debug, PartialEq)]
pub struct Message {
    /// When: Unix time in nanoseconds, in whole milliseconds.
    pub at: i64,
    /// Of which hosts.
    pub findings: Vec<Finding>,
}

/// Why a datagram is not read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Malformed {
    /// Empty, cut, or longer than any message.
    Length,
    /// Another version.
    Version,
    /// Made too long ago.
    Old,
    /// Not made yet.
    Future,
}

/// The number of a host's id, 24 bits (FNV-1a, folded): the same at every gateway.
pub fn number(id: &str) -> u32 {
    let hash = id.bytes().fold(0x811c_9dc5_u32, |h, b| {
        (h ^ u32::from(b)).wrapping_mul(0x0100_0193)
    });
    (hash >> 24) ^ (hash & 0xff_ffff)
}

/// The datagram of a message; of findings beyond [`MOST`], the first ones.
pub fn encode(message: &Message) -> Vec<u8> {
    let at_ms = message.at.div_euclid(MS);
    let mut out = Vec::with_capacity(HEAD + EACH * message.findings.len().min(MOST));
    out.push(VERSION);
    out.extend_from_slice(&(at_ms as u32).to_be_bytes());
    for f in message.findings.iter().take(MOST) {
        out.extend_from_slice(&f.host.to_be_bytes()[1..]);
        // A position is rounded down: one that is rounded up would claim commits that are not there.
        let behind = f.position.map(|p| at_ms - p.div_euclid(MS));
        let lag = behind.map_or(UNKNOWN_LAG, |ms| ms.clamp(0, i64::from(UNKNOWN_LAG)) as u16);
        out.extend_from_slice(&lag.to_be_bytes());
        let in_use = f.in_use.filter(|u| u.is_finite());
        let hundredths =
            in_use.map_or(UNKNOWN_USE, |u| (u * 100.0).round().clamp(0.0, 126.0) as u8);
        out.push(hundredths | if f.primary { PRIMARY } else { 0 });
    }
    out
}

/// Reads a datagram.
///
/// # Errors
///
/// Anything that [`encode`] does not write, and what is too old or lies ahead of the clock.
pub fn decode(datagram: &[u8], now: i64) -> Result<Message, Malformed> {
    let body = datagram
        .len()
        .checked_sub(HEAD)
        .filter(|n| *n > 0 && n % EACH == 0);
    if body.is_none() || datagram.len() > LONGEST {
        return Err(Malformed::Length);
    }
    if datagram[0] != VERSION {
        return Err(Malformed::Version);
    }
    let now_ms = now.div_euclid(MS);
    let told = u32::from_be_bytes([datagram[1], datagram[2], datagram[3], datagram[4]]);
    // The time nearest to now that has these lower bits.
    let at_ms = now_ms - i64::from((now_ms as u32).wrapping_sub(told) as i32);
    let at = at_ms * MS;
    if at < now - OLDEST {
        return Err(Malformed::Old);
    }
    if at > now + AHEAD {
        return Err(Malformed::Future);
    }
    let finding = |b: &[u8]| {
        let lag = u16::from_be_bytes([b[3], b[4]]);
        let in_use = b[5] & !PRIMARY;
        Finding {
            host: u32::from_be_bytes([0, b[0], b[1], b[2]]),
            position: (lag != UNKNOWN_LAG).then(|| (at_ms - i64::from(lag)) * MS),
            primary: b[5] & PRIMARY != 0,
            in_use: (in_use != UNKNOWN_USE).then(|| f64::from(in_use) / 100.0),
        }
    };
    Ok(Message {
        at,
        findings: datagram[HEAD..].chunks_exact(EACH).map(finding).collect(),
    })
}
