//! Further sets of a large fleet. All their primaries are played by one stand-in host and all their replicas by another
//! one, so that thousands of hosts take a few sockets.

use super::host::{Host, HostSpec};
use super::{Clock, SocketError};
use irisrouter_simulation::spec::Spec;
use serde_json::{json, Value};
use std::time::Duration;

/// Hosts of a set.
pub const SET_SIZE: u64 = 12;

/// A host as the list names it.
#[derive(Clone, Debug)]
pub(super) struct ListedHost {
    /// Its id.
    pub(super) id: String,
    /// Whether it takes writes.
    pub(super) primary: bool,
}

/// The further sets.
pub(super) struct ListedSets {
    /// The number of the first one.
    first: u64,
    /// How many there are.
    count: u64,
    primaries: Host,
    replicas: Host,
}

impl ListedSets {
    /// Starts the hosts that play `count` sets, the first of which has the number `first`.
    ///
    /// # Errors
    /// There are no sockets.
    pub(super) async fn start(
        first: u64,
        count: u64,
        zone: &str,
        gateways: usize,
        clock: Clock,
    ) -> Result<Self, SocketError> {
        let spec = |primary| HostSpec {
            id: format!("listed-{}", if primary { "primaries" } else { "replicas" }),
            set: first,
            zone: zone.to_string(),
            primary,
            deduplication_window: Duration::from_secs_f64(Spec::default().sets.window_s),
        };
        Ok(ListedSets {
            first,
            count,
            primaries: Host::start(spec(true), gateways, clock).await?,
            replicas: Host::start(spec(false), gateways, clock).await?,
        })
    }

    /// The hosts of each set.
    pub(super) fn sets(&self) -> Vec<Vec<ListedHost>> {
        let sets = self.first..self.first + self.count;
        sets.map(hosts_of).collect()
    }

    /// The entries of all hosts in the list of one gateway.
    pub(super) fn entries(&self, gateway: usize) -> Vec<Value> {
        let mut entries = Vec::new();
        for set in self.first..self.first + self.count {
            for host in hosts_of(set) {
                let played_by = if host.primary {
                    &self.primaries
                } else {
                    &self.replicas
                };
                let mut entry = played_by.entry(gateway);
                entry["id"] = json!(host.id);
                entry["cell"] = json!(set);
                entries.push(entry);
            }
        }
        entries
    }
}

/// The id of a host; that of the primary has index 0.
#[must_use]
pub fn host_id(set: u64, index: u64) -> String {
    format!("x{set}-{index}")
}

fn hosts_of(set: u64) -> Vec<ListedHost> {
    let host = |index| ListedHost {
        id: host_id(set, index),
        primary: index == 0,
    };
    (0..SET_SIZE).map(host).collect()
}
