//! Observations and settings shared by the tests.

use irisrouter_cluster_types::{Milliseconds, Timestamp};
use irisrouter_site_failover::{
    ClassIndex, Planner, Settings, SiteIndex, SiteObservation, SiteStateChange,
};

/// Returns the observation of a site with ten hosts, all of which answer.
pub fn up(capacity_per_s: f64, load_per_s: f64) -> SiteObservation {
    SiteObservation {
        hosts: 10,
        silent_hosts: 0,
        capacity_per_s,
        load_per_s,
        answered_share: 1.0,
    }
}

/// Returns the same observation with all ten hosts silent.
pub fn with_silent_hosts(observation: SiteObservation) -> SiteObservation {
    SiteObservation {
        silent_hosts: 10,
        ..observation
    }
}

/// Returns settings for three sites, of which site 0 prefers site 2. The classes are 0 for reports,
/// 1 for page reads and 2 for writes; writes are never shed.
pub fn settings() -> Settings {
    Settings {
        preferred_sites: vec![vec![SiteIndex(2)], vec![], vec![]],
        load_shedding_order: vec![ClassIndex(0), ClassIndex(1)],
        capacity_share: 0.8,
        ..Settings::for_sites(3)
    }
}

/// Time between two observations, in milliseconds.
const OBSERVATION_INTERVAL_MS: u64 = 100;

/// Records the same observations every 100 ms from `start` to `start + duration`. Returns all
/// changes of state.
pub fn observe_for(
    planner: &mut Planner,
    start: Timestamp,
    duration: Milliseconds,
    observations: &[SiteObservation],
) -> Vec<SiteStateChange> {
    (0..=duration.0 / OBSERVATION_INTERVAL_MS)
        .flat_map(|step| {
            let elapsed = Milliseconds(step * OBSERVATION_INTERVAL_MS);
            planner.observe(start + elapsed, observations)
        })
        .collect()
}
