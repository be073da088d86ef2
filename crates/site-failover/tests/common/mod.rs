//! Observations and settings that the tests share.

use irisrouter_cluster_types::{Milliseconds, Timestamp};
use irisrouter_site_failover::{
    ClassIndex, Planner, Settings, SiteIndex, SiteObservation, SiteStateChange,
};

/// Ten hosts that all answer.
pub fn up(capacity_per_s: f64, load_per_s: f64) -> SiteObservation {
    SiteObservation {
        hosts: 10,
        silent_hosts: 0,
        capacity_per_s,
        load_per_s,
        answered_share: 1.0,
    }
}

/// The same site with all its hosts silent.
pub fn silent(observation: SiteObservation) -> SiteObservation {
    SiteObservation {
        silent_hosts: 10,
        ..observation
    }
}

/// Three sites; site 0 prefers site 2. Classes: 0 reports, 1 page reads, 2 writes, which are never
/// shed.
pub fn settings() -> Settings {
    Settings {
        preferred_sites: vec![vec![SiteIndex(2)], vec![], vec![]],
        load_shedding_order: vec![ClassIndex(0), ClassIndex(1)],
        capacity_share: 0.8,
        ..Settings::for_sites(3)
    }
}

/// The time between two observations, in milliseconds.
const OBSERVATION_INTERVAL_MS: u64 = 100;

/// Observes the same every 100 ms, at `from` and for `length` after it.
pub fn observe_for(
    planner: &mut Planner,
    from: Timestamp,
    length: Milliseconds,
    observations: &[SiteObservation],
) -> Vec<SiteStateChange> {
    (0..=length.0 / OBSERVATION_INTERVAL_MS)
        .flat_map(|step| {
            let elapsed = Milliseconds(step * OBSERVATION_INTERVAL_MS);
            planner.observe(from + elapsed, observations)
        })
        .collect()
}
