//! Load of members: requests in flight, by this gateway's own count and by the members' reports.

use super::latency::FLEET_SAMPLE_WEIGHT;
use super::time::Timestamp;

/// Share of a member's cores in use above which each report raises the share of its requests that
/// is shed, and below which each report lowers it.
const SHED_THRESHOLD: f64 = 0.8;
/// Change of the shed share with each report, as a multiple of the difference between the share of
/// cores in use and `SHED_THRESHOLD`.
const SHED_GAIN: f64 = 0.15;
/// Maximum share of a member's requests that is shed.
const MAX_SHED_SHARE: f64 = 0.9;
/// Constant in the estimate `u / (SATURATION - u)` of the requests in flight at a member of size 1,
/// where `u` is its share of cores in use. It is above 1, so that the estimate stays finite at full
/// use.
const SATURATION: f64 = 1.1;
/// Lower bound of the size by which a member's load is divided, because an endpoint list may give a
/// size of 0.
const MIN_SIZE: f64 = 0.01;

/// Load of a member.
#[derive(Clone, Debug, Default)]
pub(super) struct MemberLoad {
    /// Number of this gateway's requests in flight at the member.
    pub(super) in_flight: u32,
    /// Number of other gateways' requests in flight at the member, by its last report.
    pub(super) in_flight_of_others: f64,
    /// When the last load report arrived or, for a shared health check, when its result was
    /// obtained.
    pub(super) reported_at: Timestamp,
    /// Share of the member's cores in use by the last report, 0 to 1.
    pub(super) cores_in_use: f64,
    /// Share of the member's requests that is shed because it has been too busy, 0 to 1.
    pub(super) shed_share: f64,
}

impl MemberLoad {
    /// Applies a report of the number of requests in flight at the member, which includes those of
    /// this gateway.
    pub(super) fn apply_in_flight_report(&mut self, in_flight: f64, now: Timestamp) {
        self.in_flight_of_others = (in_flight - f64::from(self.in_flight)).max(0.0);
        self.reported_at = now;
    }

    /// Applies a report of the share of cores in use at a member of this size, obtained at time
    /// `at`.
    pub(super) fn apply_cores_report(&mut self, cores_in_use: f64, size: f64, at: Timestamp) {
        self.cores_in_use = cores_in_use;
        self.reported_at = at;
        let shed_share = self.shed_share + SHED_GAIN * (cores_in_use - SHED_THRESHOLD);
        self.shed_share = shed_share.clamp(0.0, MAX_SHED_SHARE);
        let idle = (SATURATION - cores_in_use).max(SATURATION - 1.0);
        self.in_flight_of_others = size * cores_in_use / idle;
    }
}

/// Load over all members.
#[derive(Clone, Debug)]
pub(super) struct FleetLoad {
    /// EWMA of the number of requests in flight at a member of size 1, over the reports of all
    /// members.
    pub(super) usual_in_flight: f64,
    /// EWMA of the age of reports on arrival in nanoseconds, measured from the reports of
    /// primaries.
    pub(super) report_age: f64,
}

impl FleetLoad {
    /// Creates the initial estimates: one request in flight at each member, and reports that arrive
    /// without delay.
    pub(super) fn new() -> Self {
        FleetLoad {
            usual_in_flight: 1.0,
            report_age: 0.0,
        }
    }

    /// Applies the load that a member of this size has reported.
    pub(super) fn apply_member_report(&mut self, load: &MemberLoad, size: f64) {
        let sample = load.in_flight_of_others / size.max(MIN_SIZE);
        self.usual_in_flight += FLEET_SAMPLE_WEIGHT * (sample - self.usual_in_flight);
    }
}
