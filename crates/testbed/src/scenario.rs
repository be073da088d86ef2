//! A scenario: a world, the gateways in front of it, and how they are run. A file in Jsonnet, read by
//! `irisrouter-config`; its function's parameters are what the command line may vary.

use irisrouter_config::{Checked, Problem};
use irisrouter_simulation::spec::Spec;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// What gateways are allowed and told, and how they run.
#[derive(Clone, Debug, Deserialize, Serialize, JsonSchema, PartialEq)]
#[serde(default, deny_unknown_fields)]
pub struct GatewaySpec {
    /// Attempts for one request, at most.
    #[schemars(range(min = 1, max = 100))]
    pub attempts: u32,
    /// Probes are allowed.
    pub probes: bool,
    /// Attempts may be given up.
    pub cancel: bool,
    /// A second copy may be out beside the first.
    pub second_copies: bool,
    /// Refusals may tell a pause.
    pub pauses: bool,
    /// The longest pause that clients are told to keep.
    #[schemars(range(min = 0))]
    pub longest_pause_ms: f64,
    /// A connection that is not up in this time has failed.
    #[schemars(range(min = 1))]
    pub connect_ms: f64,
    /// What one probe a request takes off the result.
    #[schemars(range(min = 0))]
    pub probe_price: f64,
    /// The decision module's time between two looks at what is held.
    #[schemars(range(min = 0.1))]
    pub tick_ms: f64,
    /// In virtual time: what happens within this time enters the module as one batch.
    #[schemars(range(min = 0))]
    pub batch_us: f64,
    /// On loopback: memory and descriptors of each process.
    #[schemars(range(min = 16))]
    pub memory_mb: u32,
    /// Likewise.
    #[schemars(range(min = 128))]
    pub sockets: u32,
}

impl Default for GatewaySpec {
    fn default() -> Self {
        GatewaySpec {
            attempts: 6,
            probes: true,
            cancel: true,
            second_copies: true,
            pauses: true,
            longest_pause_ms: 1000.0,
            connect_ms: 250.0,
            probe_price: 0.04,
            tick_ms: 5.0,
            batch_us: 100.0,
            memory_mb: 192,
            sockets: 1024,
        }
    }
}

/// A scenario.
#[derive(Clone, Debug, Deserialize, Serialize, JsonSchema, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    /// A line that says what happens.
    #[schemars(length(min = 1, max = 200))]
    pub title: String,
    /// What it is for.
    #[serde(default)]
    pub about: String,
    /// The world; what is not said is as the brief has it.
    #[serde(default)]
    pub world: Spec,
    /// The gateways.
    #[serde(default)]
    pub gateway: GatewaySpec,
}

impl Checked for Scenario {
    fn check(&self) -> Vec<Problem> {
        let world = self.world.problems().into_iter();
        world
            .map(|problem| Problem::new(format!("/world{}", problem.path), problem.reason))
            .collect()
    }
}
