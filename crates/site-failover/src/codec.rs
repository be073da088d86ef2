//! Datagram formats of plans and site load reports. The datagrams are versioned and of bounded
//! length; all numbers are big-endian.
//!
//! ```text
//! 0       magic and version: 0xD2 (`irisrouter-datagram` lists all magic bytes on the peer socket)
//! 1       kind: 0 plan, 1 load report
//!
//! plan:
//! 2..10   epoch
//! 10..14  sequence
//! 14..18  number of gateways
//! 18..22  retry delay in milliseconds
//! 22      number of sites (n)
//! 23      number of classes (m)
//! then    n times: state (0 up, 1 lost, 2 recovering), budget (u32), recovery ramp (u16),
//!         n shares of the load distribution (u16 each)
//! then    m admitted shares (u16 each)
//!
//! load report:
//! 2       site of the gateway
//! 3..5    period in milliseconds
//! 5       number of sites (n)
//! 6       number of classes (m)
//! then    n times: hosts, silent hosts, requests sent, requests answered (u16 each)
//! then    m times: requests arrived (u16)
//! ```
//!
//! Shares are encoded in units of 1/65535, and budgets in thousandths of a request per second. Both
//! are rounded down, so that a decoded plan never assigns more load than the planner did. The
//! longest plan, with eight sites and sixteen classes, has 24 + 8 * 23 + 32 = 240 bytes.

use crate::load_report::{SiteLoadReport, SiteReachability};
use crate::{Plan, PlanVersion, SiteIndex, SitePlan, SiteState, MAX_CLASSES, MAX_SITES};
use bytes::BufMut;
use irisrouter_cluster_types::{Epoch, Milliseconds};
use irisrouter_datagram::Reader;

pub use irisrouter_datagram::magic::SITE_FAILOVER as MAGIC;
pub use irisrouter_datagram::{WireError, MAX_DATAGRAM_BYTES};

const PLAN_KIND: u8 = 0;
const LOAD_REPORT_KIND: u8 = 1;
const STATE_UP: u8 = 0;
const STATE_LOST: u8 = 1;
const STATE_RECOVERING: u8 = 2;
/// Encoded value of a share of 1.
const SHARE_UNITS: f64 = 65_535.0;
/// Encoded value of a budget of one request per second.
const BUDGET_UNITS: f64 = 1_000.0;
/// Tolerance of the check that shares add up to at most 1; far below one unit. Encoded shares are
/// rounded down, so the sum of the shares of a valid plan exceeds 1 by floating-point error only.
const SHARE_SUM_TOLERANCE: f64 = 1e-9;

/// Content of a decoded datagram.
#[derive(Debug, Clone, PartialEq)]
pub enum Message {
    /// Plan, which the planner sends to all gateways.
    Plan(Plan),
    /// Load report, which a gateway sends to the planner.
    SiteLoadReport(SiteLoadReport),
}

/// Returns whether a datagram belongs to site failover, in any version.
#[must_use]
pub fn recognizes(datagram: &[u8]) -> bool {
    irisrouter_datagram::has_magic(datagram, MAGIC)
}

/// Encodes a load report. Sites beyond [`MAX_SITES`] and classes beyond [`MAX_CLASSES`] are left
/// out. A period longer than [`MAX_PERIOD`](crate::load_report::SiteLoadReport::MAX_PERIOD) is
/// encoded as that maximum.
#[must_use]
pub fn encode_load_report(report: &SiteLoadReport) -> Vec<u8> {
    let sites = &report.sites[..report.sites.len().min(MAX_SITES)];
    let arrived = &report.arrived[..report.arrived.len().min(MAX_CLASSES)];
    let mut buffer = vec![MAGIC, LOAD_REPORT_KIND, site_byte(report.site)];
    buffer.put_u16(u16::try_from(report.period.0).unwrap_or(u16::MAX));
    put_counts(&mut buffer, sites.len(), arrived.len());
    for site in sites {
        buffer.put_u16(site.hosts);
        buffer.put_u16(site.silent);
        buffer.put_u16(site.sent);
        buffer.put_u16(site.answered);
    }
    for &count in arrived {
        buffer.put_u16(count);
    }
    buffer
}

/// Encodes a plan. Sites beyond [`MAX_SITES`] and classes beyond [`MAX_CLASSES`] are left out.
#[must_use]
pub fn encode_plan(plan: &Plan) -> Vec<u8> {
    let sites = &plan.sites[..plan.sites.len().min(MAX_SITES)];
    let admitted = &plan.admitted_share[..plan.admitted_share.len().min(MAX_CLASSES)];
    let mut buffer = Vec::with_capacity(MAX_DATAGRAM_BYTES);
    buffer.put_u8(MAGIC);
    buffer.put_u8(PLAN_KIND);
    buffer.put_u64(plan.version.epoch.0);
    buffer.put_u32(plan.version.sequence);
    buffer.put_u32(plan.gateway_count);
    buffer.put_u32(u32::try_from(plan.retry_after.0).unwrap_or(u32::MAX));
    put_counts(&mut buffer, sites.len(), admitted.len());
    for site in sites {
        put_site_plan(&mut buffer, site, sites.len());
    }
    for &share in admitted {
        buffer.put_u16(share_units(share));
    }
    buffer
}

/// Decodes a datagram.
///
/// # Errors
/// The bytes are not a plan or a load report of this version.
pub fn decode(datagram: &[u8]) -> Result<Message, WireError> {
    let mut reader = Reader::new(datagram, MAGIC)?;
    match reader.u8()? {
        PLAN_KIND => decode_plan(reader).map(Message::Plan),
        LOAD_REPORT_KIND => decode_load_report(reader).map(Message::SiteLoadReport),
        other => Err(WireError::Unknown("kind", other)),
    }
}

/// Returns the encoded index of a gateway's own site. An index that does not fit into the byte is
/// encoded as 255, which receivers reject like every index that is not below [`MAX_SITES`].
fn site_byte(site: SiteIndex) -> u8 {
    u8::try_from(site.0).unwrap_or(u8::MAX)
}

fn put_counts(buffer: &mut Vec<u8>, site_count: usize, class_count: usize) {
    // The casts lose nothing: the callers limit the counts to `MAX_SITES` and `MAX_CLASSES`.
    buffer.put_u8(site_count as u8);
    buffer.put_u8(class_count as u8);
}

fn put_site_plan(buffer: &mut Vec<u8>, site: &SitePlan, site_count: usize) {
    buffer.put_u8(match site.state {
        SiteState::Up => STATE_UP,
        SiteState::Lost => STATE_LOST,
        SiteState::Recovering => STATE_RECOVERING,
    });
    let budget_units = (site.budget_per_s * BUDGET_UNITS).clamp(0.0, f64::from(u32::MAX));
    buffer.put_u32(budget_units as u32);
    buffer.put_u16(share_units(site.recovery_ramp));
    for target in 0..site_count {
        let share = site.load_distribution.get(target).copied().unwrap_or(0.0);
        buffer.put_u16(share_units(share));
    }
}

/// Converts a share to its encoded value, rounded down. The clamp keeps the value within 16 bits.
fn share_units(share: f64) -> u16 {
    (share.clamp(0.0, 1.0) * SHARE_UNITS) as u16
}

fn read_share(reader: &mut Reader<'_>) -> Result<f64, WireError> {
    Ok(f64::from(reader.u16()?) / SHARE_UNITS)
}

fn read_shares(reader: &mut Reader<'_>, count: usize) -> Result<Vec<f64>, WireError> {
    (0..count).map(|_| read_share(reader)).collect()
}

fn decode_load_report(mut reader: Reader<'_>) -> Result<SiteLoadReport, WireError> {
    let site = SiteIndex(usize::from(reader.u8()?));
    let period = Milliseconds(u64::from(reader.u16()?));
    let site_count = usize::from(reader.u8()?);
    let class_count = usize::from(reader.u8()?);
    let too_many = site_count > MAX_SITES || class_count > MAX_CLASSES;
    if too_many || site.0 >= MAX_SITES || period == Milliseconds::ZERO {
        return Err(WireError::Value(
            "the number of sites or classes, the site or the period",
        ));
    }
    let sites = (0..site_count)
        .map(|_| read_reachability(&mut reader))
        .collect::<Result<Vec<_>, WireError>>()?;
    let arrived = (0..class_count)
        .map(|_| reader.u16())
        .collect::<Result<Vec<_>, WireError>>()?;
    reader.end()?;
    Ok(SiteLoadReport {
        site,
        period,
        arrived,
        sites,
    })
}

fn read_reachability(reader: &mut Reader<'_>) -> Result<SiteReachability, WireError> {
    Ok(SiteReachability {
        hosts: reader.u16()?,
        silent: reader.u16()?,
        sent: reader.u16()?,
        answered: reader.u16()?,
    })
}

fn decode_plan(mut reader: Reader<'_>) -> Result<Plan, WireError> {
    let version = PlanVersion {
        epoch: Epoch(reader.u64()?),
        sequence: reader.u32()?,
    };
    let gateway_count = reader.u32()?;
    let retry_after = Milliseconds(u64::from(reader.u32()?));
    let site_count = usize::from(reader.u8()?);
    let class_count = usize::from(reader.u8()?);
    if site_count > MAX_SITES || class_count > MAX_CLASSES || gateway_count == 0 {
        return Err(WireError::Value("the number of sites, classes or gateways"));
    }
    let sites = (0..site_count)
        .map(|_| read_site_plan(&mut reader, site_count))
        .collect::<Result<Vec<_>, WireError>>()?;
    let admitted_share = read_shares(&mut reader, class_count)?;
    reader.end()?;
    Ok(Plan {
        version,
        gateway_count,
        sites,
        admitted_share,
        retry_after,
    })
}

fn read_site_plan(reader: &mut Reader<'_>, site_count: usize) -> Result<SitePlan, WireError> {
    let state = match reader.u8()? {
        STATE_UP => SiteState::Up,
        STATE_LOST => SiteState::Lost,
        STATE_RECOVERING => SiteState::Recovering,
        other => return Err(WireError::Unknown("state", other)),
    };
    let budget_per_s = f64::from(reader.u32()?) / BUDGET_UNITS;
    let recovery_ramp = read_share(reader)?;
    let load_distribution = read_shares(reader, site_count)?;
    if load_distribution.iter().sum::<f64>() > 1.0 + SHARE_SUM_TOLERANCE {
        return Err(WireError::Value("where a site's load goes"));
    }
    Ok(SitePlan {
        budget_per_s,
        state,
        recovery_ramp,
        load_distribution,
    })
}
