//! Settings of database hosts and of the replica sets that they form.

use super::ValueOrRange;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// Database hosts.
#[derive(Clone, Debug, Deserialize, Serialize, JsonSchema, PartialEq)]
#[serde(default, deny_unknown_fields)]
pub struct HostSpec {
    /// How many there are; those that do not fill a set go to the first ones.
    #[schemars(range(min = 1, max = 20_000))]
    pub count: u32,
    /// Cores of each.
    #[schemars(range(min = 0.1, max = 1024))]
    pub cores: f64,
    /// Requests in work at once, at most.
    #[schemars(range(min = 1, max = 100_000))]
    pub slots: u32,
    /// Requests that may wait for a slot; more are turned away unseen.
    #[schemars(range(max = 100_000))]
    pub room: u32,
    /// It becomes less efficient once it holds more requests than this many times its cores.
    #[schemars(range(min = 1))]
    pub crowded_from: f64,
    /// Part of its capacity that is lost for each further multiple of its cores that it holds.
    #[schemars(range(min = 0, max = 1))]
    pub crowded_loss: f64,
    /// Connections that it takes, at most.
    #[schemars(range(min = 1))]
    pub connections: u32,
    /// Part of its capacity that a full table of connections takes.
    #[schemars(range(min = 0, max = 0.9))]
    pub table_loss: f64,
    /// Work of a new connection.
    pub connect_work_ms: ValueOrRange,
    /// Work of a probe.
    pub probe_work_ms: ValueOrRange,
    /// Part of its capacity with which one that has started begins.
    pub cold_start: ValueOrRange,
    /// Time until one that has started is warm; its capacity rises evenly until then.
    pub cold_s: ValueOrRange,
    /// Its load reports are made anew each so often.
    pub report_ms: ValueOrRange,
    /// It closes a connection that has been idle for this long.
    #[schemars(range(min = 0.1))]
    pub idle_close_s: f64,
    /// Share of its answers that are errors on a good day.
    #[schemars(range(min = 0, max = 1))]
    pub errors: f64,
    /// What hosts do with reads for which they lag too far.
    pub checks: Checks,
    /// With `wait`: how long they wait to catch up.
    #[schemars(range(min = 0))]
    pub wait_ms: f64,
}

/// What hosts do with a read for which they lag too far.
#[derive(Clone, Copy, Debug, Deserialize, Serialize, JsonSchema, PartialEq, Eq)]
#[serde(rename_all = "kebab-case")]
pub enum Checks {
    /// They answer from what they have, and the answer is stale.
    None,
    /// They turn it away at once.
    Refuse,
    /// They wait a while, then turn it away.
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
    /// Members of each.
    #[schemars(range(min = 1, max = 100))]
    pub members: u32,
    /// How unequal their traffic is: coefficient of variation between sets.
    #[schemars(range(min = 0, max = 3))]
    pub skew: f64,
    /// A replica gets the log after this time.
    pub ship_ms: ValueOrRange,
    /// Part of the time that a replica's one applying thread is busy at full load.
    pub apply_use: ValueOrRange,
    /// A primary that dies or hangs is given up after this time.
    pub detect_s: ValueOrRange,
    /// A replica takes over so much later.
    pub elect_s: ValueOrRange,
    /// A primary that drains hands over within this time.
    pub switch_s: ValueOrRange,
    /// A set drops the repeat of a keyed write for this long from the first one's arrival.
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
