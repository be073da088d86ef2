//! Settings of the traffic: classes of requests, their arrivals, and the behaviour of clients.

use super::ValueOrRange;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// Requirement of a class of requests: how fresh the data of a read must be, or that the request is a write.
#[derive(Clone, Copy, Debug, Deserialize, Serialize, JsonSchema, PartialEq, Eq)]
#[serde(rename_all = "kebab-case")]
pub enum Need {
    /// Any member may answer, however old its data are.
    Any,
    /// The data must be no older than `bound_ms` when the request is sent.
    Bounded,
    /// The data must contain all writes of the request's session.
    Session,
    /// The data must contain all writes from before the request's arrival.
    Fresh,
    /// A write, which only the primary accepts.
    Write,
}

/// A class of requests.
#[derive(Clone, Debug, Deserialize, Serialize, JsonSchema, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct ClassSpec {
    /// Name of the class, as given in the comment of a statement.
    #[schemars(length(min = 1, max = 64))]
    pub name: String,
    /// Share of the class in all requests; the shares are scaled to a sum of 1.
    #[schemars(range(min = 0))]
    pub share: f64,
    /// Mean CPU time of a request on one core.
    pub work_ms: ValueOrRange,
    /// Coefficient of variation of the work.
    #[serde(default = "half")]
    #[schemars(range(min = 0, max = 5))]
    pub work_variation: f64,
    /// Freshness of the data that the class needs.
    pub need: Need,
    /// With `bounded`: maximum age of the data.
    #[serde(default)]
    #[schemars(range(min = 0))]
    pub bound_ms: f64,
    /// Whether a replica stops applying the log while it runs a request of the class.
    #[serde(default)]
    pub blocks: bool,
    /// Response time that the class aims for.
    #[schemars(range(min = 1, max = 3_600_000))]
    pub aim_ms: f64,
    /// Deadline of a request of the class.
    #[schemars(range(min = 1, max = 3_600_000))]
    pub deadline_ms: f64,
    /// Value of an answer within `aim_ms`.
    #[schemars(range(min = 0))]
    pub worth: f64,
    /// Fraction of that value that a later answer still has.
    #[serde(default)]
    #[schemars(range(min = 0, max = 1))]
    pub late_worth: f64,
}

fn half() -> f64 {
    0.5
}

/// Returns the default classes, which are those of the deployment.
pub fn default_classes() -> Vec<ClassSpec> {
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

/// Arrivals of requests.
#[derive(Clone, Debug, Deserialize, Serialize, JsonSchema, PartialEq)]
#[serde(default, deny_unknown_fields)]
pub struct TrafficSpec {
    /// Load as a fraction of the capacity of the sets or of their primaries, whichever is the limit; used if no rate is
    /// given.
    pub load: ValueOrRange,
    /// Rate of new requests over all sets, per second.
    #[schemars(range(min = 0.01, max = 10_000_000))]
    pub requests_per_s: Option<f64>,
    /// Amplitude of the sinusoidal variation of the rate, as a fraction of the rate.
    #[schemars(range(min = 0, max = 1))]
    pub swing: f64,
    /// Period of the variation of the rate.
    #[schemars(range(min = 0.1))]
    pub swing_s: f64,
    /// Fraction of the session reads that follow a write of their session.
    pub follows: ValueOrRange,
    /// Mean time from a write to a read that follows it.
    pub gap_ms: ValueOrRange,
    /// Fraction of a session's requests that go to any gateway instead of the session's gateway.
    pub roams: ValueOrRange,
    /// Number of sessions of each set.
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

/// Conditions under which clients retry a write that may have run.
#[derive(Clone, Copy, Debug, Deserialize, Serialize, JsonSchema, PartialEq, Eq)]
#[serde(rename_all = "kebab-case")]
pub enum WriteRepeats {
    /// Never: a write is retried only if it was rejected, or if the gateway could not be reached.
    Refused,
    /// Also after a failure, as long as the set still ignores a repeat.
    Window,
    /// Always. Such clients violate the rule themselves: their writes may be applied twice.
    Always,
}

/// Behaviour of clients: deadlines, retries and the front layer.
#[derive(Clone, Debug, Deserialize, Serialize, JsonSchema, PartialEq)]
#[serde(default, deny_unknown_fields)]
pub struct ClientSpec {
    /// Maximum number of retries of a request.
    #[schemars(range(max = 20))]
    pub retries: u32,
    /// Time after which a client gives up a try, as a fraction of the class's deadline.
    pub patience: ValueOrRange,
    /// Delay before the first retry. It doubles with each further one, and is multiplied by a random factor from 0.5 to
    /// 1.5.
    pub backoff_ms: ValueOrRange,
    /// Fraction of the rejected tries after which the client waits as long as the rejection asks.
    pub honour: ValueOrRange,
    /// Longest delay that clients accept from a rejection.
    #[schemars(range(min = 0))]
    pub longest_wait_ms: f64,
    /// Whether clients mark a retry as such.
    pub marked: bool,
    /// Conditions under which clients retry a write that may have run.
    pub writes: WriteRepeats,
    /// Fraction of the tries whose client disconnects halfway to the deadline of the try.
    #[schemars(range(min = 0, max = 1))]
    pub impatient: f64,
    /// Time from the death of a gateway until the front layer stops sending to it.
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
