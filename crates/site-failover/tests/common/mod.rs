//! Observations and settings that the tests share.

use irisrouter_site_failover::{Planner, Settings, SiteObservation, SiteStateChange};

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
        preferred_sites: vec![vec![2], vec![], vec![]],
        load_shedding_order: vec![0, 1],
        capacity_share: 0.8,
        ..Settings::for_sites(3)
    }
}

/// Observes the same every 100 ms, at `from` and for `length` milliseconds after it.
pub fn observe_for(
    planner: &mut Planner,
    from: u64,
    length: u64,
    observations: &[SiteObservation],
) -> Vec<SiteStateChange> {
    (0..=length / 100)
        .flat_map(|step| planner.observe(from + step * 100, observations))
        .collect()
}
