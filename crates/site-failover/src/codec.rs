//! The datagrams of plans and tallies: bounded and versioned. Parts go in 1/65535, rounded down, so that what is read never
//! adds up to more than what was planned; budgets in thousandths of a request a second.
//!
//! ```text
//! 0      magic and version: 0xD2 (`irisrouter-datagram` has the list of those that share the peer socket)
//! 1      kind: 0 a plan, 1 a tally
//! a plan:
//! 2..10  epoch   10..14 number   14..18 gateways   18..22 pause (ms)   22 sites (n)   23 classes (m)
//! then   n times: state (0 up, 1 lost, 2 returning), budget (u32), ramp (u16), n parts (u16 each)
//! then   m parts (u16 each)
//! a tally:
//! 2      site   3..5 period (ms)   5 sites (n)   6 classes (m)
//! then   n times: hosts, silent, sent, answered (u16 each); m times: arrived (u16)
//! ```
//!
//! Eight sites and sixteen classes make 24 + 8 * 23 + 32 = 240 bytes.

use crate::load_report::{SiteLoadReport, SiteReachability};
use crate::planner::State;
use crate::{Plan, SitePlan, MOST_CLASSES, MOST_SITES};
use bytes::BufMut;
use irisrouter_datagram::Reader;

pub use irisrouter_datagram::magic::SITE_FAILOVER as MAGIC;
pub use irisrouter_datagram::{WireError, MAX_DATAGRAM_BYTES};
const WHOLE: f64 = 65_535.0;
const THOUSAND: f64 = 1_000.0;
const PLAN: u8 = 0;
const TALLY: u8 = 1;

/// What a datagram carries.
#[derive(Debug, Clone, PartialEq)]
pub enum Message {
    /// A plan, to be followed.
    Plan(Plan),
    /// A gateway's tally, for whoever plans.
    SiteLoadReport(SiteLoadReport),
}

/// Whether a datagram is of plans, in whatever version.
#[must_use]
pub fn recognizes(datagram: &[u8]) -> bool {
    irisrouter_datagram::is(datagram, MAGIC)
}

fn part(value: f64) -> u16 {
    // Within bounds, and rounded down, by the clamp.
    (value.clamp(0.0, 1.0) * WHOLE) as u16
}

/// The bytes of a tally; what is beyond the bounds of sites and classes is left out.
#[must_use]
pub fn encode_tally(load_report: &SiteLoadReport) -> Vec<u8> {
    let sites = &load_report.sites[..load_report.sites.len().min(MOST_SITES)];
    let classes = &load_report.arrived[..load_report.arrived.len().min(MOST_CLASSES)];
    let mut buf = vec![MAGIC, TALLY, load_report.site];
    buf.put_u16(load_report.period_ms);
    // At most 8 and 16.
    buf.put_u8(sites.len() as u8);
    buf.put_u8(classes.len() as u8);
    let reach = |r: &SiteReachability| [r.hosts, r.silent, r.sent, r.answered];
    sites.iter().flat_map(reach).for_each(|n| buf.put_u16(n));
    classes.iter().for_each(|&n| buf.put_u16(n));
    buf
}

/// The bytes of a plan; what is beyond the bounds of sites and classes is left out.
#[must_use]
pub fn encode(plan: &Plan) -> Vec<u8> {
    let sites = &plan.sites[..plan.sites.len().min(MOST_SITES)];
    let classes = &plan.admitted[..plan.admitted.len().min(MOST_CLASSES)];
    let mut buf = Vec::with_capacity(MAX_DATAGRAM_BYTES);
    buf.put_u8(MAGIC);
    buf.put_u8(PLAN);
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
        buf.put_u16(part(site.ramp));
        for to in 0..sites.len() {
            buf.put_u16(part(site.goes.get(to).copied().unwrap_or(0.0)));
        }
    }
    classes.iter().for_each(|&a| buf.put_u16(part(a)));
    buf
}

/// Reads a datagram.
///
/// # Errors
/// Why the bytes are none.
pub fn decode(bytes: &[u8]) -> Result<Message, WireError> {
    let mut from = Reader::new(bytes, MAGIC)?;
    match from.u8()? {
        PLAN => plan(from).map(Message::Plan),
        TALLY => load_report(from).map(Message::SiteLoadReport),
        other => Err(WireError::Unknown("kind", other)),
    }
}

fn load_report(mut from: Reader<'_>) -> Result<SiteLoadReport, WireError> {
    let (site, period_ms) = (from.u8()?, from.u16()?);
    let (n, m) = (usize::from(from.u8()?), usize::from(from.u8()?));
    if n > MOST_SITES || m > MOST_CLASSES || usize::from(site) >= MOST_SITES || period_ms == 0 {
        return Err(WireError::Value(
            "the number of sites or classes, the site or the period",
        ));
    }
    let reach = |from: &mut Reader<'_>| {
        Ok(SiteReachability {
            hosts: from.u16()?,
            silent: from.u16()?,
            sent: from.u16()?,
            answered: from.u16()?,
        })
    };
    let sites = (0..n)
        .map(|_| reach(&mut from))
        .collect::<Result<Vec<_>, WireError>>()?;
    let arrived = (0..m)
        .map(|_| from.u16())
        .collect::<Result<Vec<_>, WireError>>()?;
    from.end()?;
    Ok(SiteLoadReport {
        site,
        period_ms,
        arrived,
        sites,
    })
}

fn plan(mut from: Reader<'_>) -> Result<Plan, WireError> {
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
        let ramp = part(&mut from)?;
        let goes = (0..n)
            .map(|_| part(&mut from))
            .collect::<Result<Vec<f64>, WireError>>()?;
        // A little over one by rounding is none of ours: each part was rounded down.
        if goes.iter().sum::<f64>() > 1.0 + 1e-9 {
            return Err(WireError::Value("where a site's load goes"));
        }
        sites.push(SitePlan {
            budget,
            state,
            ramp,
            goes,
        });
    }
    let admitted = (0..m)
        .map(|_| part(&mut from))
        .collect::<Result<Vec<f64>, WireError>>()?;
    from.end()?;
    Ok(Plan {
        epoch,
        number,
        gateways,
        sites,
        admitted,
        pause_ms,
    })
}
