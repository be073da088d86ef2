//! Settings of faults: when each begins, how long it lasts, and what it strikes.

use super::ValueOrRange;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// Which hosts or gateways a fault strikes.
#[derive(Clone, Debug, Default, Deserialize, Serialize, JsonSchema, PartialEq)]
#[serde(default, deny_unknown_fields)]
#[schemars(rename = "Pick")]
pub struct HostSelection {
    /// This part of them, one at least.
    #[schemars(range(min = 0, max = 1))]
    pub share: Option<f64>,
    /// So many of them.
    pub count: Option<u32>,
    /// These, by number from 0.
    pub these: Option<Vec<u32>>,
    /// Of hosts: the chance that a strike takes a primary, where one is left.
    #[schemars(range(min = 0, max = 1))]
    pub primaries: Option<f64>,
}

/// Hosts that fall silent: no reset, no answer.
#[derive(Clone, Debug, Default, Deserialize, Serialize, JsonSchema, PartialEq)]
#[serde(default, deny_unknown_fields)]
#[schemars(rename = "Silent")]
pub struct SilentHosts {
    /// Which.
    pub hosts: HostSelection,
    /// They hang and come back with what they held, warm; else they start again, cold, with nothing but their data.
    pub hang: bool,
}

/// Hosts whose process dies and is started again.
#[derive(Clone, Debug, Default, Deserialize, Serialize, JsonSchema, PartialEq)]
#[serde(default, deny_unknown_fields)]
#[schemars(rename = "Strike")]
pub struct HostFault {
    /// Which.
    pub hosts: HostSelection,
}

/// Hosts whose answers are errors.
#[derive(Clone, Debug, Deserialize, Serialize, JsonSchema, PartialEq)]
#[serde(deny_unknown_fields)]
#[schemars(rename = "Spoilt")]
pub struct FailingHosts {
    /// Which.
    #[serde(default)]
    pub hosts: HostSelection,
    /// The part of their answers.
    #[schemars(range(min = 0, max = 1))]
    pub part: f64,
}

/// Hosts that are slower, in one way or another.
#[derive(Clone, Debug, Deserialize, Serialize, JsonSchema, PartialEq)]
#[serde(deny_unknown_fields)]
#[schemars(rename = "Slow")]
pub struct Slowdown {
    /// Which; all of them where nothing is said.
    #[serde(default)]
    pub hosts: Option<HostSelection>,
    /// So many times slower.
    pub times: ValueOrRange,
}

/// Sets that draw more traffic.
#[derive(Clone, Debug, Deserialize, Serialize, JsonSchema, PartialEq)]
#[serde(deny_unknown_fields)]
#[schemars(rename = "Flood")]
pub struct TrafficSurge {
    /// How many sets.
    #[schemars(range(min = 1))]
    pub sets: u32,
    /// What they draw more, together, as a part of all traffic.
    pub part: ValueOrRange,
}

/// Gateways that are killed in waves and start again with nothing but their last list.
#[derive(Clone, Debug, Deserialize, Serialize, JsonSchema, PartialEq)]
#[serde(deny_unknown_fields)]
#[schemars(rename = "Waves")]
pub struct GatewayRestarts {
    /// Part of all gateways that is killed at some time.
    #[schemars(range(min = 0, max = 1))]
    pub share: f64,
    /// Part of all gateways that is killed at a time, one at least.
    #[schemars(range(min = 0, max = 1))]
    pub at_a_time: f64,
    /// How long each is away.
    pub down_s: ValueOrRange,
}

/// Hosts that some gateways do not reach.
#[derive(Clone, Debug, Deserialize, Serialize, JsonSchema, PartialEq)]
#[serde(deny_unknown_fields)]
#[schemars(rename = "CutOff")]
pub struct UnreachableHosts {
    /// Which hosts.
    #[serde(default)]
    pub hosts: HostSelection,
    /// The part of the gateways, one at least.
    #[schemars(range(min = 0, max = 1))]
    pub gateways: f64,
}

/// Datagrams that are lost.
#[derive(Clone, Debug, Deserialize, Serialize, JsonSchema, PartialEq)]
#[serde(deny_unknown_fields)]
#[schemars(rename = "Lost")]
pub struct DatagramLoss {
    /// The part of them.
    #[schemars(range(min = 0, max = 1))]
    pub part: f64,
}

/// Gateways in two parts that do not hear each other.
#[derive(Clone, Debug, Deserialize, Serialize, JsonSchema, PartialEq)]
#[serde(deny_unknown_fields)]
#[schemars(rename = "Split")]
pub struct NetworkPartition {
    /// The part of them on one side, one at least.
    #[schemars(range(min = 0, max = 1))]
    pub part: f64,
}

/// Discovery that says nothing.
#[derive(Clone, Debug, Default, Deserialize, Serialize, JsonSchema, PartialEq)]
#[serde(default, deny_unknown_fields)]
#[schemars(rename = "Mute")]
pub struct DiscoverySilence {}

/// A trouble: when, how long, and exactly one kind.
#[derive(Clone, Debug, Default, Deserialize, Serialize, JsonSchema, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    /// When it begins, from the start of the run.
    pub at_s: ValueOrRange,
    /// How long it lasts.
    pub for_s: ValueOrRange,
    /// Hosts fall silent.
    #[serde(default)]
    pub silent: Option<SilentHosts>,
    /// Hosts die: their connections are reset and new ones refused.
    #[serde(default)]
    pub reset: Option<HostFault>,
    /// Hosts turn everything away.
    #[serde(default)]
    pub refusing: Option<HostFault>,
    /// Hosts answer with errors.
    #[serde(default)]
    pub spoilt: Option<FailingHosts>,
    /// Replicas apply the log more slowly.
    #[serde(default)]
    pub slow_apply: Option<Slowdown>,
    /// Hosts are slower.
    #[serde(default)]
    pub slowdown: Option<Slowdown>,
    /// Sets draw more traffic.
    #[serde(default)]
    pub flood: Option<TrafficSurge>,
    /// Gateways are killed.
    #[serde(default)]
    pub gateways_killed: Option<GatewayRestarts>,
    /// Hosts drain, and are gone when it ends.
    #[serde(default)]
    pub drain: Option<HostFault>,
    /// Hosts are cut off from some gateways.
    #[serde(default)]
    pub cut_off: Option<UnreachableHosts>,
    /// Datagrams are lost.
    #[serde(default)]
    pub datagrams_lost: Option<DatagramLoss>,
    /// Some gateways do not hear the others.
    #[serde(default)]
    pub split: Option<NetworkPartition>,
    /// Discovery is silent.
    #[serde(default)]
    pub discovery_silent: Option<DiscoverySilence>,
}

impl Fault {
    /// The names of the kinds that are set.
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

    /// The selections of hosts that are set, each with its path within the fault.
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
