//! The settings of a simulation: every figure of it, with the deployment's as the default, and the faults that strike.
//!
//! Times carry their unit in their names. Where a figure may be a range, a day draws one value from it evenly.
//! The comments on settings are part of the scenario schema that users see, and the names in `schemars(rename)` too.

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
pub use traffic::{brief_classes, ClassSpec, ClientSpec, Need, TrafficSpec, WriteRepeats};
pub use validation::SpecProblem;
pub use value::ValueOrRange;

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// A whole world.
#[derive(Clone, Debug, Deserialize, Serialize, JsonSchema, PartialEq)]
#[serde(default, deny_unknown_fields)]
pub struct Spec {
    /// Gateways in front of it.
    #[schemars(range(min = 1, max = 1000))]
    pub gateways: u32,
    /// Arrivals go on for so long; what has come is answered after it.
    #[schemars(range(min = 0.1, max = 86_400))]
    pub length_s: f64,
    /// Figures count from this time on.
    #[schemars(range(min = 0))]
    pub warm_up_s: f64,
    /// Database hosts.
    pub hosts: HostSpec,
    /// Sets of them.
    pub sets: SetSpec,
    /// Classes of requests.
    #[schemars(length(min = 1, max = 64))]
    pub classes: Vec<ClassSpec>,
    /// How requests come.
    pub traffic: TrafficSpec,
    /// What clients do by themselves.
    pub clients: ClientSpec,
    /// The list of hosts.
    pub list: ListSpec,
    /// The network.
    pub net: NetSpec,
    /// Figures of the rules.
    pub rules: RuleSpec,
    /// What goes wrong.
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
            classes: brief_classes(),
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
    /// How many sets there are.
    pub fn set_count(&self) -> u32 {
        (self.hosts.count / self.sets.members.max(1)).max(1)
    }
}
