//! A plan's datagram: bounded and versioned. Parts go in 1/65535, rounded down, so that what is read never adds up to more
//! than what was planned; budgets in thousandths of a request a second.
//!
//! ```text
//! 0      magic and version: 0xD1 (findings 0x01, membership 0xA2, duties 0xB1, writes in hand 0xC1)
//! 1..9   epoch   9..13 number   13..17 gateways   17..21 pause (ms)   21 sites (n)   22 classes (m)
//! then   n times: state (0 up, 1 lost, 2 returning), budget (u32), n parts (u16 each)
//! then   m parts (u16 each)
//! ```
//!
//! Eight sites and sixteen classes make 23 + 8 * 21 + 32 = 223 bytes.

use crate::planner::State;
use crate::{Plan, SitePlan, MOST_CLASSES, MOST_SITES};
use bytes::BufMut;
use irisrouter_datagram::Reader;

pub use irisrouter_datagram::mark::SITEPLAN as MAGIC;
pub use irisrouter_datagram::{WireError, LONGEST as DATAGRAM};
const WHOLE: f64 = 65_535.0;
const THOUSAND: f64 = 1_000.0;

fn part(value: f64) -> u16 {
    // Within bounds, and rounded down, by the clamp.
    (value.clamp(0.0, 1.0) * WHOLE) as u16
}

/// The bytes of a plan; what is beyond the bounds of sites and classes is left out.
#[must_use]
pub fn encode(plan: &Plan) -> Vec<u8> {
    let sites = &plan.sites[..plan.sites.len().min(MOST_SITES)];
    let classes = &plan.admitted[..plan.admitted.len().min(MOST_CLASSES)];
    let mut buf = Vec::with_capacity(DATAGRAM);
    buf.put_u8(MAGIC);
    buf.put_u64(plan.epoch);
    buf.put_u32(plan.number);
    buf.put_u32(plan.gateways);
    buf.put_u32(plan.pause_ms);
    // At most 8 and 16.
    buf.put_u8(sites.len() as u8);
    buf.put_u8(classes.len() as u8);
    for site in sites {
        buf.put_u8(match site.state {
            State::Up => 0,
            State::Lost => 1,
            State::Returning => 2,
        });
        buf.put_u32((site.budget * THOUSAND).clamp(0.0, f64::from(u32::MAX)) as u32);
        for to in 0..sites.len() {
            buf.put_u16(part(site.goes.get(to).copied().unwrap_or(0.0)));
        }
    }
    classes.iter().for_each(|&a| buf.put_u16(part(a)));
    buf
}

/// Reads a plan.
///
/// # Errors
/// Why the bytes are none.
pub fn decode(bytes: &[u8]) -> Result<Plan, WireError> {
    let mut from = Reader::new(bytes, MAGIC)?;
    let (epoch, number, gateways, pause_ms) = (from.u64()?, from.u32()?, from.u32()?, from.u32()?);
    let (n, m) = (usize::from(from.u8()?), usize::from(from.u8()?));
    if n > MOST_SITES || m > MOST_CLASSES || gateways == 0 {
        return Err(WireError::Value("the number of sites, classes or gateways"));
    }
    let part = |from: &mut Reader<'_>| Ok(f64::from(from.u16()?) / WHOLE);
    let mut sites = Vec::with_capacity(n);
    for _ in 0..n {
        let state = match from.u8()? {
            0 => State::Up,
            1 => State::Lost,
            2 => State::Returning,
            other => return Err(WireError::Unknown("state", other)),
        };
        let budget = f64::from(from.u32()?) / THOUSAND;
        let goes = (0..n).map(|_| part(&mut from)).collect::<Result<Vec<f64>, WireError>>()?;
        // A little over one by rounding is none of ours: each part was rounded down.
        if goes.iter().sum::<f64>() > 1.0 + 1e-9 {
            return Err(WireError::Value("where a site's load goes"));
        }
        sites.push(SitePlan { budget, state, goes });
    }
    let admitted = (0..m).map(|_| part(&mut from)).collect::<Result<Vec<f64>, WireError>>()?;
    from.end()?;
    Ok(Plan { epoch, number, gateways, sites, admitted, pause_ms })
}
