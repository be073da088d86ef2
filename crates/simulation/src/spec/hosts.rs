//! Settings of database hosts and of the replica sets that they form.

use super::ValueOrRange;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// Database hosts.
#[derive(Clone, Debug, Deserialize, Serialize, JsonSchema, PartialEq)]
#[serde(default, deny_unknown_fields)]
pub struct HostSpec {
    /// Number of hosts. Those that do not fill a set of their own are added to the first sets.
    #[schemars(range(min = 1, max = 20_000))]
    pub count: u32,
    /// Number of cores of each host.
    #[schemars(range(min = 0.1, max = 1024))]
    pub cores: f64,
    /// Maximum number of requests that a host runs at once.
    #[schemars(range(min = 1, max = 100_000))]
    pub slots: u32,
    /// Maximum number of requests that wait for a slot; further ones are rejected before execution.
    #[schemars(range(max = 100_000))]
    pub room: u32,
    /// Number of requests per core above which a host becomes less efficient.
    #[schemars(range(min = 1))]
    pub crowded_from: f64,
    /// Fraction of a host's capacity that is lost for each request per core above `crowded_from`.
    #[schemars(range(min = 0, max = 1))]
    pub crowded_loss: f64,
    /// Maximum number of connections to a host.
    #[schemars(range(min = 1))]
    pub connections: u32,
    /// Fraction of a host's capacity that is lost when it has the maximum number of connections.
    #[schemars(range(min = 0, max = 0.9))]
    pub table_loss: f64,
    /// CPU time that a new connection costs a host.
    pub connect_work_ms: ValueOrRange,
    /// CPU time that a probe costs a host.
    pub probe_work_ms: ValueOrRange,
    /// Fraction of its capacity with which a host starts.
    pub cold_start: ValueOrRange,
    /// Time from the start of a host until it has its full capacity; the capacity rises linearly until then.
    pub cold_s: ValueOrRange,
    /// Interval at which a host refreshes its load report.
    pub report_ms: ValueOrRange,
    /// Time after which a host closes an idle connection.
    #[schemars(range(min = 0.1))]
    pub idle_close_s: f64,
    /// Fraction of a host's answers that are errors in the absence of faults.
    #[schemars(range(min = 0, max = 1))]
    pub errors: f64,
    /// Handling of reads whose data a host does not have yet.
    pub checks: Checks,
    /// With `wait`: maximum time that a read waits for the host to catch up.
    #[schemars(range(min = 0))]
    pub wait_ms: f64,
}

/// Handling of a read whose data a host does not have yet.
#[derive(Clone, Copy, Debug, Deserialize, Serialize, JsonSchema, PartialEq, Eq)]
#[serde(rename_all = "kebab-case")]
pub enum Checks {
    /// The host answers from the data that it has, so the answer is stale.
    None,
    /// The host rejects the read at once.
    Refuse,
    /// The read waits for the host to catch up for up to `wait_ms` and is then rejected.
    Wait,
}

impl Default for HostSpec {
    fn default() -> Self {
        HostSpec {
            count: 12,
            cores: 5.0,
            slots: 24,
            room: 40,
            crowded_from: 4.0,
            crowded_loss: 0.03,
            connections: 400,
            table_loss: 0.05,
            connect_work_ms: ValueOrRange::Range([0.8, 2.0]),
            probe_work_ms: ValueOrRange::Range([0.17, 0.46]),
            cold_start: ValueOrRange::Range([0.15, 0.3]),
            cold_s: ValueOrRange::Range([8.0, 14.0]),
            report_ms: ValueOrRange::Range([44.0, 230.0]),
            idle_close_s: 20.0,
            errors: 0.0005,
            checks: Checks::Wait,
            wait_ms: 50.0,
        }
    }
}

/// Sets of one primary and its replicas.
#[derive(Clone, Debug, Deserialize, Serialize, JsonSchema, PartialEq)]
#[serde(default, deny_unknown_fields)]
pub struct SetSpec {
    /// Number of members of each set.
    #[schemars(range(min = 1, max = 100))]
    pub members: u32,
    /// Coefficient of variation of the traffic between sets.
    #[schemars(range(min = 0, max = 3))]
    pub skew: f64,
    /// Time from a commit until a replica receives it.
    pub ship_ms: ValueOrRange,
    /// Fraction of the time that the applying thread of a replica is busy at full load.
    pub apply_use: ValueOrRange,
    /// Time from the failure of a primary until it is declared lost.
    pub detect_s: ValueOrRange,
    /// Time from then until a successor is elected.
    pub elect_s: ValueOrRange,
    /// Time from the start of a primary's drain until a successor is elected.
    pub switch_s: ValueOrRange,
    /// Time during which a set ignores a repeat of a keyed write, from the arrival of the first copy.
    #[schemars(range(min = 0))]
    pub window_s: f64,
}

impl Default for SetSpec {
    fn default() -> Self {
        SetSpec {
            members: 6,
            skew: 0.2,
            ship_ms: ValueOrRange::Range([2.7, 14.0]),
            apply_use: ValueOrRange::Range([0.41, 0.56]),
            detect_s: ValueOrRange::Range([1.3, 2.8]),
            elect_s: ValueOrRange::Range([1.6, 3.9]),
            switch_s: ValueOrRange::Range([0.46, 0.93]),
            window_s: 1.2,
        }
    }
}
