//! Settings of the traffic: classes of requests, how they arrive, and what clients do by themselves.

use super::ValueOrRange;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// What a class of requests needs of its data.
#[derive(Clone, Copy, Debug, Deserialize, Serialize, JsonSchema, PartialEq, Eq)]
#[serde(rename_all = "kebab-case")]
pub enum Need {
    /// Any member will do.
    Any,
    /// Data no older than `bound_ms` when the request is sent.
    Bounded,
    /// All that its session has written.
    Session,
    /// All that was written before it came in.
    Fresh,
    /// A write: the primary alone takes it.
    Write,
}

/// A class of requests.
#[derive(Clone, Debug, Deserialize, Serialize, JsonSchema, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct ClassSpec {
    /// Its name, as the statement's comment tells it.
    #[schemars(length(min = 1, max = 64))]
    pub name: String,
    /// Its share of the requests; all shares are set to a sum of 1.
    #[schemars(range(min = 0))]
    pub share: f64,
    /// Mean work of one on a core.
    pub work_ms: ValueOrRange,
    /// Coefficient of variation of the work.
    #[serde(default = "half")]
    #[schemars(range(min = 0, max = 5))]
    pub work_variation: f64,
    /// What its data must hold.
    pub need: Need,
    /// With `bounded`: the age of data.
    #[serde(default)]
    #[schemars(range(min = 0))]
    pub bound_ms: f64,
    /// While a replica works on one, it applies nothing.
    #[serde(default)]
    pub blocks: bool,
    /// Wanted within this time.
    #[schemars(range(min = 1, max = 3_600_000))]
    pub aim_ms: f64,
    /// Given up after this time.
    #[schemars(range(min = 1, max = 3_600_000))]
    pub deadline_ms: f64,
    /// Worth of an answer in time.
    #[schemars(range(min = 0))]
    pub worth: f64,
    /// Part of it that a later answer still has.
    #[serde(default)]
    #[schemars(range(min = 0, max = 1))]
    pub late_worth: f64,
}

fn half() -> f64 {
    0.5
}

/// The classes of the brief.
pub fn brief_classes() -> Vec<ClassSpec> {
    let class = |name: &str, share, work: [f64; 2], need, aim_ms, deadline_ms, worth| ClassSpec {
        name: name.to_string(),
        share,
        work_ms: ValueOrRange::Range(work),
        work_variation: 0.5,
        need,
        bound_ms: 0.0,
        blocks: false,
        aim_ms,
        deadline_ms,
        worth,
        late_worth: 0.0,
    };
    vec![
        ClassSpec {
            bound_ms: 300.0,
            ..class(
                "page-read",
                0.41,
                [49.0, 85.0],
                Need::Bounded,
                300.0,
                1000.0,
                1.0,
            )
        },
        class(
            "own-read",
            0.37,
            [29.0, 51.0],
            Need::Session,
            200.0,
            500.0,
            1.0,
        ),
        class(
            "fresh-read",
            0.066,
            [49.0, 85.0],
            Need::Fresh,
            300.0,
            1200.0,
            1.0,
        ),
        ClassSpec {
            blocks: true,
            ..class(
                "report",
                0.027,
                [730.0, 1300.0],
                Need::Any,
                6000.0,
                12_000.0,
                6.0,
            )
        },
        ClassSpec {
            late_worth: 0.3,
            ..class(
                "count-write",
                0.12,
                [29.0, 51.0],
                Need::Write,
                400.0,
                2000.0,
                3.0,
            )
        },
    ]
}

/// How requests come.
#[derive(Clone, Debug, Deserialize, Serialize, JsonSchema, PartialEq)]
#[serde(default, deny_unknown_fields)]
pub struct TrafficSpec {
    /// Part of what the sets, or their primaries, can do; used where no rate is given.
    pub load: ValueOrRange,
    /// First tries a second over all sets.
    #[schemars(range(min = 0.01, max = 10_000_000))]
    pub requests_per_s: Option<f64>,
    /// The rate swings by this part up and down ...
    #[schemars(range(min = 0, max = 1))]
    pub swing: f64,
    /// ... in this time.
    #[schemars(range(min = 0.1))]
    pub swing_s: f64,
    /// Part of the session reads that follow a write of their session.
    pub follows: ValueOrRange,
    /// Mean time from the write to such a read.
    pub gap_ms: ValueOrRange,
    /// Part of a session's requests that come to any gateway.
    pub roams: ValueOrRange,
    /// Sessions of each set that write.
    #[schemars(range(min = 1, max = 10_000_000))]
    pub sessions: u32,
}

impl Default for TrafficSpec {
    fn default() -> Self {
        TrafficSpec {
            load: ValueOrRange::Range([0.45, 0.6]),
            requests_per_s: None,
            swing: 0.15,
            swing_s: 20.0,
            follows: ValueOrRange::Range([0.56, 0.81]),
            gap_ms: ValueOrRange::Range([130.0, 720.0]),
            roams: ValueOrRange::Range([0.1, 0.87]),
            sessions: 200,
        }
    }
}

/// When clients send a write again that may have run.
#[derive(Clone, Copy, Debug, Deserialize, Serialize, JsonSchema, PartialEq, Eq)]
#[serde(rename_all = "kebab-case")]
pub enum WriteRepeats {
    /// Never: only after a refusal, or where the gateway could not be reached.
    Refused,
    /// Also after a failure, while its set still drops a repeat.
    Window,
    /// Always. Such clients break the rule themselves: their writes are applied twice.
    Always,
}

/// What clients do by themselves.
#[derive(Clone, Debug, Deserialize, Serialize, JsonSchema, PartialEq)]
#[serde(default, deny_unknown_fields)]
pub struct ClientSpec {
    /// Tries after the first one, at most.
    #[schemars(range(max = 20))]
    pub retries: u32,
    /// A try is given up after this part of the class's time.
    pub patience: ValueOrRange,
    /// The wait before a retry; it doubles with each, with as much chance in it.
    pub backoff_ms: ValueOrRange,
    /// Part of the clients that wait as long as a refusal says.
    pub honour: ValueOrRange,
    /// The longest wait that they take from a refusal.
    #[schemars(range(min = 0))]
    pub longest_wait_ms: f64,
    /// They mark a retry as one.
    pub marked: bool,
    /// When they send a write again.
    pub writes: WriteRepeats,
    /// Part of the tries that are left before their time is over, halfway.
    #[schemars(range(min = 0, max = 1))]
    pub impatient: f64,
    /// The front layer goes on sending to a dead gateway for this long.
    pub notice_s: ValueOrRange,
}

impl Default for ClientSpec {
    fn default() -> Self {
        ClientSpec {
            retries: 2,
            patience: ValueOrRange::Range([0.42, 1.0]),
            backoff_ms: ValueOrRange::Range([10.0, 80.0]),
            honour: ValueOrRange::Range([0.46, 0.99]),
            longest_wait_ms: 1000.0,
            marked: true,
            writes: WriteRepeats::Window,
            impatient: 0.005,
            notice_s: ValueOrRange::Range([1.0, 3.6]),
        }
    }
}
