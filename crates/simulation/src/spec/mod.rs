//! The settings of a simulation, with those of the deployment as defaults, and its faults.
//!
//! The name of a time ends in its unit. Where a setting may be a range, each day draws one value from it, distributed
//! uniformly. The doc comments on settings and the names in `schemars(rename)` are part of the scenario schema that
//! users see.

mod day;
mod faults;
mod hosts;
mod network;
mod traffic;
mod validation;
mod value;

pub use day::{ClientBehaviour, Day, Demand, HostTimes, NetworkTimes, ReplicationTimes};
pub use faults::{
    DatagramLoss, DiscoverySilence, FailingHosts, Fault, GatewayRestarts, HostFault, HostSelection,
    NetworkPartition, SilentHosts, Slowdown, TrafficSurge, UnreachableHosts,
};
pub use hosts::{Checks, HostSpec, SetSpec};
pub use network::{ListSpec, NetSpec, RuleSpec};
pub use traffic::{default_classes, ClassSpec, ClientSpec, Need, TrafficSpec, WriteRepeats};
pub use validation::SpecProblem;
pub use value::ValueOrRange;

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// Settings of a simulation.
#[derive(Clone, Debug, Deserialize, Serialize, JsonSchema, PartialEq)]
#[serde(default, deny_unknown_fields)]
pub struct Spec {
    /// Number of gateways.
    #[schemars(range(min = 1, max = 1000))]
    pub gateways: u32,
    /// Time during which requests arrive. Requests that have arrived by then are still answered afterwards.
    #[schemars(range(min = 0.1, max = 86_400))]
    pub length_s: f64,
    /// Time from the start of the run that is left out of the results.
    #[schemars(range(min = 0))]
    pub warm_up_s: f64,
    /// Database hosts.
    pub hosts: HostSpec,
    /// Replica sets that the hosts form.
    pub sets: SetSpec,
    /// Classes of requests.
    #[schemars(length(min = 1, max = 64))]
    pub classes: Vec<ClassSpec>,
    /// Arrivals of requests.
    pub traffic: TrafficSpec,
    /// Behaviour of clients: deadlines, retries and the front layer.
    pub clients: ClientSpec,
    /// Delays of the endpoint list.
    pub list: ListSpec,
    /// Delays and losses of the network.
    pub net: NetSpec,
    /// Limits of the rules that gateways must keep.
    pub rules: RuleSpec,
    /// Faults of the run.
    #[schemars(length(max = 1000))]
    pub faults: Vec<Fault>,
}

impl Default for Spec {
    fn default() -> Self {
        Spec {
            gateways: 2,
            length_s: 40.0,
            warm_up_s: 2.0,
            hosts: HostSpec::default(),
            sets: SetSpec::default(),
            classes: default_classes(),
            traffic: TrafficSpec::default(),
            clients: ClientSpec::default(),
            list: ListSpec::default(),
            net: NetSpec::default(),
            rules: RuleSpec::default(),
            faults: Vec::new(),
        }
    }
}

impl Spec {
    /// Returns the number of replica sets.
    pub fn set_count(&self) -> u32 {
        (self.hosts.count / self.sets.members.max(1)).max(1)
    }
}
