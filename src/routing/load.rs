//! Load of members: requests in flight there, by this gateway's own count and by the members'
//! reports.

use super::latency::FLEET_SAMPLE_WEIGHT;
use super::time::Timestamp;

/// A member sheds load beyond this share of its cores in use.
const BUSY_CORES: f64 = 0.8;
/// By how much the share that is shed moves with each report, for each unit of cores in use beyond
/// that.
const SHED_GAIN: f64 = 0.15;
/// Largest share of its requests that a member is spared.
const MAX_SHED_SHARE: f64 = 0.9;
/// Requests in flight are estimated from the share `u` of cores in use as u / (this - u): finite at
/// full use.
const SATURATION: f64 = 1.1;
/// Least size by which a member's load is divided: an endpoint list may give a size of 0.
const MIN_SIZE: f64 = 0.01;

/// Load of a member.
#[derive(Clone, Debug, Default)]
pub(super) struct MemberLoad {
    /// Requests of this gateway in flight there.
    pub(super) in_flight: u32,
    /// Requests in flight there that are not this gateway's, by the last report.
    pub(super) in_flight_of_others: f64,
    /// When that was reported.
    pub(super) reported_at: Timestamp,
    /// Share of its cores in use by the last report, 0 to 1.
    pub(super) cores_in_use: f64,
    /// Share of its requests that the member is spared, as it has been too busy, 0 to 1.
    pub(super) shed_share: f64,
}

impl MemberLoad {
    /// Takes a report of the requests in flight at the member, this gateway's included.
    pub(super) fn in_flight_reported(&mut self, in_flight: f64, now: Timestamp) {
        self.in_flight_of_others = (in_flight - f64::from(self.in_flight)).max(0.0);
        self.reported_at = now;
    }

    /// Takes a report of the share of cores in use at a member of this size, obtained at this time.
    pub(super) fn cores_in_use_reported(&mut self, cores_in_use: f64, size: f64, at: Timestamp) {
        self.cores_in_use = cores_in_use;
        self.reported_at = at;
        let shed_share = self.shed_share + SHED_GAIN * (cores_in_use - BUSY_CORES);
        self.shed_share = shed_share.clamp(0.0, MAX_SHED_SHARE);
        let idle = (SATURATION - cores_in_use).max(SATURATION - 1.0);
        self.in_flight_of_others = size * cores_in_use / idle;
    }
}

/// Load over all members.
#[derive(Clone, Debug)]
pub(super) struct FleetLoad {
    /// EWMA of the requests in flight at a member of size 1, by all reports.
    pub(super) usual_in_flight: f64,
    /// EWMA of how old reports are when they arrive, by those of primaries.
    pub(super) report_age: f64,
}

impl FleetLoad {
    /// One request at each member, and reports without delay, until reports say more.
    pub(super) fn new() -> Self {
        FleetLoad {
            usual_in_flight: 1.0,
            report_age: 0.0,
        }
    }

    /// A member of this size has reported its load.
    pub(super) fn member_reported(&mut self, load: &MemberLoad, size: f64) {
        let sample = load.in_flight_of_others / size.max(MIN_SIZE);
        self.usual_in_flight += FLEET_SAMPLE_WEIGHT * (sample - self.usual_in_flight);
    }
}
