//! Settings of faults: when each begins, how long it lasts, and what it affects.

use super::ValueOrRange;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// Selection of the hosts that a fault affects. Exactly one of `share`, `count` and `these` is given.
#[derive(Clone, Debug, Default, Deserialize, Serialize, JsonSchema, PartialEq)]
#[serde(default, deny_unknown_fields)]
#[schemars(rename = "Pick")]
pub struct HostSelection {
    /// Fraction of the running hosts; at least one host for a fraction over 0.
    #[schemars(range(min = 0, max = 1))]
    pub share: Option<f64>,
    /// Number of hosts.
    pub count: Option<u32>,
    /// Numbers of the hosts, from 0.
    pub these: Option<Vec<u32>>,
    /// Probability that a choice is restricted to the primaries, if any is left.
    #[schemars(range(min = 0, max = 1))]
    pub primaries: Option<f64>,
}

/// Hosts that fall silent: they send neither resets nor answers.
#[derive(Clone, Debug, Default, Deserialize, Serialize, JsonSchema, PartialEq)]
#[serde(default, deny_unknown_fields)]
#[schemars(rename = "Silent")]
pub struct SilentHosts {
    /// Hosts that fall silent.
    pub hosts: HostSelection,
    /// Whether the hosts hang, and resume warm with their connections and requests when the fault ends. Otherwise they
    /// restart cold, with nothing but their data.
    pub hang: bool,
}

/// Hosts that a fault affects as a whole, without further settings.
#[derive(Clone, Debug, Default, Deserialize, Serialize, JsonSchema, PartialEq)]
#[serde(default, deny_unknown_fields)]
#[schemars(rename = "Strike")]
pub struct HostFault {
    /// Hosts that the fault affects.
    pub hosts: HostSelection,
}

/// Hosts that answer some queries with errors.
#[derive(Clone, Debug, Deserialize, Serialize, JsonSchema, PartialEq)]
#[serde(deny_unknown_fields)]
#[schemars(rename = "Spoilt")]
pub struct FailingHosts {
    /// Hosts that answer with errors.
    #[serde(default)]
    pub hosts: HostSelection,
    /// Fraction of the answers that are errors.
    #[schemars(range(min = 0, max = 1))]
    pub part: f64,
}

/// Hosts that run all work, or apply the log, more slowly.
#[derive(Clone, Debug, Deserialize, Serialize, JsonSchema, PartialEq)]
#[serde(deny_unknown_fields)]
#[schemars(rename = "Slow")]
pub struct Slowdown {
    /// Hosts that are slower; all hosts if not given.
    #[serde(default)]
    pub hosts: Option<HostSelection>,
    /// Factor by which the hosts are slower.
    pub times: ValueOrRange,
}

/// Sets that receive additional traffic.
#[derive(Clone, Debug, Deserialize, Serialize, JsonSchema, PartialEq)]
#[serde(deny_unknown_fields)]
#[schemars(rename = "Flood")]
pub struct TrafficSurge {
    /// Number of sets.
    #[schemars(range(min = 1))]
    pub sets: u32,
    /// Additional traffic to these sets together, as a fraction of all traffic.
    pub part: ValueOrRange,
}

/// Gateways that are killed in waves and start again with nothing but their last endpoint list.
#[derive(Clone, Debug, Deserialize, Serialize, JsonSchema, PartialEq)]
#[serde(deny_unknown_fields)]
#[schemars(rename = "Waves")]
pub struct GatewayRestarts {
    /// Fraction of all gateways that are killed during the fault.
    #[schemars(range(min = 0, max = 1))]
    pub share: f64,
    /// Fraction of all gateways that are killed in one wave; at least one gateway.
    #[schemars(range(min = 0, max = 1))]
    pub at_a_time: f64,
    /// Time from the kill of a gateway to its restart.
    pub down_s: ValueOrRange,
}

/// Hosts that some gateways cannot reach.
#[derive(Clone, Debug, Deserialize, Serialize, JsonSchema, PartialEq)]
#[serde(deny_unknown_fields)]
#[schemars(rename = "CutOff")]
pub struct UnreachableHosts {
    /// Hosts that are cut off.
    #[serde(default)]
    pub hosts: HostSelection,
    /// Fraction of the gateways that cannot reach the hosts; at least one gateway for a fraction over 0.
    #[schemars(range(min = 0, max = 1))]
    pub gateways: f64,
}

/// Loss of datagrams between gateways.
#[derive(Clone, Debug, Deserialize, Serialize, JsonSchema, PartialEq)]
#[serde(deny_unknown_fields)]
#[schemars(rename = "Lost")]
pub struct DatagramLoss {
    /// Fraction of the datagrams that are lost.
    #[schemars(range(min = 0, max = 1))]
    pub part: f64,
}

/// A network partition that divides the gateways into two sides that cannot reach each other.
#[derive(Clone, Debug, Deserialize, Serialize, JsonSchema, PartialEq)]
#[serde(deny_unknown_fields)]
#[schemars(rename = "Split")]
pub struct NetworkPartition {
    /// Fraction of the gateways on one side; at least one gateway for a fraction over 0.
    #[schemars(range(min = 0, max = 1))]
    pub part: f64,
}

/// Discovery that sends no notifications.
#[derive(Clone, Debug, Default, Deserialize, Serialize, JsonSchema, PartialEq)]
#[serde(default, deny_unknown_fields)]
#[schemars(rename = "Mute")]
pub struct DiscoverySilence {}

/// A fault: its time, its duration, and exactly one kind.
#[derive(Clone, Debug, Default, Deserialize, Serialize, JsonSchema, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    /// Time at which the fault begins, from the start of the run.
    pub at_s: ValueOrRange,
    /// Duration of the fault.
    pub for_s: ValueOrRange,
    /// Hosts fall silent: they send neither resets nor answers.
    #[serde(default)]
    pub silent: Option<SilentHosts>,
    /// Hosts die: their connections are reset and new ones refused.
    #[serde(default)]
    pub reset: Option<HostFault>,
    /// Hosts reject all requests.
    #[serde(default)]
    pub refusing: Option<HostFault>,
    /// Hosts answer with errors.
    #[serde(default)]
    pub spoilt: Option<FailingHosts>,
    /// Replicas apply the log more slowly.
    #[serde(default)]
    pub slow_apply: Option<Slowdown>,
    /// Hosts run all work more slowly.
    #[serde(default)]
    pub slowdown: Option<Slowdown>,
    /// Sets receive additional traffic.
    #[serde(default)]
    pub flood: Option<TrafficSurge>,
    /// Gateways are killed and start again.
    #[serde(default)]
    pub gateways_killed: Option<GatewayRestarts>,
    /// Hosts drain; they stop when the fault ends, and start again a second later.
    #[serde(default)]
    pub drain: Option<HostFault>,
    /// Hosts are cut off from some gateways.
    #[serde(default)]
    pub cut_off: Option<UnreachableHosts>,
    /// Datagrams are lost.
    #[serde(default)]
    pub datagrams_lost: Option<DatagramLoss>,
    /// A network partition separates some gateways from the others.
    #[serde(default)]
    pub split: Option<NetworkPartition>,
    /// Discovery sends no notifications.
    #[serde(default)]
    pub discovery_silent: Option<DiscoverySilence>,
}

impl Fault {
    /// Returns the names of the kinds that are set.
    pub fn kinds(&self) -> Vec<&'static str> {
        [
            ("silent", self.silent.is_some()),
            ("reset", self.reset.is_some()),
            ("refusing", self.refusing.is_some()),
            ("spoilt", self.spoilt.is_some()),
            ("slow_apply", self.slow_apply.is_some()),
            ("slowdown", self.slowdown.is_some()),
            ("flood", self.flood.is_some()),
            ("gateways_killed", self.gateways_killed.is_some()),
            ("drain", self.drain.is_some()),
            ("cut_off", self.cut_off.is_some()),
            ("datagrams_lost", self.datagrams_lost.is_some()),
            ("split", self.split.is_some()),
            ("discovery_silent", self.discovery_silent.is_some()),
        ]
        .into_iter()
        .filter_map(|(name, set)| set.then_some(name))
        .collect()
    }

    /// Returns the host selections that are set, each with its path within the fault.
    pub fn host_selections(&self) -> Vec<(&'static str, &HostSelection)> {
        let mut all = Vec::new();
        all.extend(self.silent.as_ref().map(|s| ("silent/hosts", &s.hosts)));
        all.extend(self.reset.as_ref().map(|s| ("reset/hosts", &s.hosts)));
        all.extend(self.refusing.as_ref().map(|s| ("refusing/hosts", &s.hosts)));
        all.extend(self.spoilt.as_ref().map(|s| ("spoilt/hosts", &s.hosts)));
        all.extend(self.drain.as_ref().map(|s| ("drain/hosts", &s.hosts)));
        all.extend(self.cut_off.as_ref().map(|s| ("cut_off/hosts", &s.hosts)));
        all.extend(
            self.slow_apply
                .as_ref()
                .and_then(|s| s.hosts.as_ref())
                .map(|h| ("slow_apply/hosts", h)),
        );
        all.extend(
            self.slowdown
                .as_ref()
                .and_then(|s| s.hosts.as_ref())
                .map(|h| ("slowdown/hosts", h)),
        );
        all
    }
}
