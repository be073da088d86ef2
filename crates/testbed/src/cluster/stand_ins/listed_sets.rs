//! Additional sets that make a large fleet. One stand-in host plays all their primaries and another one all their
//! replicas, so that thousands of hosts need only a few sockets.

use super::host::{Host, HostSpec};
use super::{Clock, SocketError};
use irisrouter_simulation::spec::Spec;
use serde_json::{json, Value};
use std::time::Duration;

/// Number of hosts in each additional set.
pub const SET_SIZE: u64 = 12;

/// A host that is named in the endpoint list.
#[derive(Clone, Debug)]
pub(super) struct ListedHost {
    /// Id of the host in the list.
    pub(super) id: String,
    /// Whether it is the primary of its set.
    pub(super) primary: bool,
}

/// The additional sets and the two hosts that play them.
pub(super) struct ListedSets {
    /// Number of the first set; the others follow it.
    first: u64,
    /// Number of sets.
    count: u64,
    primaries: Host,
    replicas: Host,
}

impl ListedSets {
    /// Starts the two hosts that play the sets from number `first` to `first + count - 1`.
    ///
    /// # Errors
    /// A socket cannot be bound.
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

    /// The entries of all hosts of these sets in the endpoint list of a gateway.
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

/// The id of a host in an additional set; the primary has index 0.
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
