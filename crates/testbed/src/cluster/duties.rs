//! What a cluster's hosts saw of duties, and the check of it: one owner at a time, none lost.
//!
//! A host records each probe with the gateway that sent it and the token that it carried, so the check rests on what
//! arrived and not on what gateways say of themselves:
//!
//! - an epoch of a duty belongs to one process of one gateway;
//! - the epochs that a host accepted never go back;
//! - no duty goes without an accepted probe for longer than the bound.

use super::stand_ins::Probe;
use super::Cluster;
use irisrouter_leases::Settings;
use std::collections::BTreeMap;

/// The stretch of a run that is looked at.
#[derive(Debug, Clone, Copy)]
pub struct Bounds {
    /// The lease of the run.
    pub lease_ms: u64,
    /// From when, in milliseconds of the run.
    pub from: u64,
    /// Until when.
    pub until: u64,
}

/// What was found.
#[derive(Debug, Clone, Default)]
pub struct Found {
    /// What did not hold.
    pub broken: Vec<String>,
    /// Changes of owner: how long the duty had none before each, in milliseconds.
    pub gaps_ms: Vec<u64>,
    /// Probes that a host refused, as their token was older than one that it had seen.
    pub refused: usize,
}

/// A probe round takes a fifth of a second, and a busy machine its time.
const SLACK_MS: u64 = 1_500;

impl Cluster {
    /// The probes of a set's hosts, in order of time.
    #[must_use]
    pub fn probes(&self, set: u64) -> Vec<Probe> {
        let of = self.hosts.iter().filter(|h| h.set == set);
        let mut all: Vec<Probe> = of.flat_map(|h| h.seen().probes.clone()).collect();
        all.sort_by_key(|p| p.at);
        all
    }

    /// The gateway whose probe of a set under a token was the last accepted, not longer ago than that.
    #[must_use]
    pub fn prober(&self, set: u64, within_ms: u64) -> Option<usize> {
        let since = self.clock.now().saturating_sub(within_ms);
        let probes = self.probes(set);
        let last = probes
            .iter()
            .rev()
            .find(|p| p.token.is_some() && !p.refused)?;
        (last.at >= since).then_some(last.gateway)
    }

    /// The gateway that says on its console that it owns a set.
    #[must_use]
    pub fn owner(&self, set: u64) -> Option<usize> {
        let says = |g: &usize| {
            self.call(*g, "duties")
                .split(' ')
                .any(|w| w.starts_with(&format!("{set}:")))
        };
        self.running().into_iter().find(says)
    }
}

/// Checks what the hosts of every set saw.
#[must_use]
pub fn check(cluster: &Cluster, bounds: Bounds) -> Found {
    let settings = Settings {
        fleet: cluster.plan.gateways as u32,
        lease_ms: bounds.lease_ms,
    };
    let bound = settings.takeover_bound_ms() + SLACK_MS;
    let mut found = Found::default();
    for set in 0..cluster.plan.sets {
        let mut owners: BTreeMap<u64, usize> = BTreeMap::new();
        for host in cluster.hosts.iter().filter(|h| h.set == set) {
            let mut latest = 0;
            for probe in &host.seen().probes {
                let Some((_, epoch)) = probe.token else {
                    continue;
                };
                let owner = *owners.entry(epoch).or_insert(probe.gateway);
                if owner != probe.gateway {
                    let two = (owner, probe.gateway);
                    found.broken.push(format!(
                        "set {set}: epoch {epoch} was used by gateways {two:?}"
                    ));
                }
                if probe.refused {
                    found.refused += 1;
                } else if epoch < latest {
                    let at = probe.at;
                    found.broken.push(format!(
                        "set {set}: at {at} ms a host took {epoch} after {latest}"
                    ));
                }
                latest = latest.max(epoch);
            }
        }
        let accepted = cluster
            .probes(set)
            .into_iter()
            .filter(|p| !p.refused && p.token.is_some());
        let accepted = accepted.filter(|p| (bounds.from..=bounds.until).contains(&p.at));
        let (mut last, mut by) = (bounds.from, None);
        for probe in accepted {
            let gap = probe.at - last;
            if gap > bound {
                found.broken.push(format!(
                    "set {set}: nobody for {gap} ms before {} ms",
                    probe.at
                ));
            }
            if by.is_some_and(|by| by != probe.gateway) {
                found.gaps_ms.push(gap);
            }
            (last, by) = (probe.at, Some(probe.gateway));
        }
        if bounds.until.saturating_sub(last) > bound {
            found
                .broken
                .push(format!("set {set}: nobody since {last} ms"));
        }
    }
    found
}
