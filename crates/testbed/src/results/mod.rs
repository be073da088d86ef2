//! What a run came to. One collector, fed by either way of running, and one form of results, versioned, for people's
//! reports and for programs.

mod collector;
mod evaluation;
mod timeline;

pub use collector::{Collector, RecentRequests};

use serde::Serialize;
use std::collections::BTreeMap;

/// The version of [`RunResults`] as JSON. It grows when a name goes or changes its meaning; new names come without.
pub const VERSION: u32 = 1;

/// A class's results.
#[derive(Clone, Debug, Serialize, PartialEq)]
pub struct ClassResults {
    /// Its name.
    pub name: String,
    /// First tries.
    pub asked: u64,
    /// Answered within the aim.
    pub in_time: u64,
    /// Answered later.
    pub late: u64,
    /// Ended without an answer: the last try was refused.
    pub refused: u64,
    /// Ended without an answer: the last try failed.
    pub failed: u64,
    /// Ended without an answer: the last try timed out, or its client left.
    pub timed_out: u64,
    /// Ended without an answer: the last try reached no gateway.
    pub unreachable: u64,
    /// Tries for each first try.
    pub tries_per_call: f64,
    /// Worth answered over worth asked for.
    pub service: f64,
    /// Time from the first try to the answer, of those answered, in milliseconds: the median.
    pub p50_ms: f64,
    /// The 90th percentile of the same time, in milliseconds.
    pub p90_ms: f64,
    /// The 99th percentile of the same time, in milliseconds.
    pub p99_ms: f64,
    /// The longest of these times, in milliseconds.
    pub max_ms: f64,
}

/// One second of a run.
#[derive(Clone, Debug, Default, Serialize, PartialEq)]
pub struct Second {
    /// Worth asked for by first tries that came in it.
    pub asked: f64,
    /// Worth of these that was answered.
    pub earned: f64,
    /// First tries that came in it.
    pub first_tries: u64,
    /// Further tries that came in it.
    pub retries: u64,
    /// Refusals given in it.
    pub refusals: u64,
    /// Attempts sent in it.
    pub attempts: u64,
    /// Connections opened in it.
    pub connections: u64,
    /// Probes sent in it.
    pub probes: u64,
}

/// A host's results, sampled once a second.
#[derive(Clone, Debug, Serialize, PartialEq)]
pub struct HostResults {
    /// Its number.
    pub host: u32,
    /// Its set.
    pub set: u32,
    /// The highest load over any 3 s, as a multiple of what it could do then.
    pub peak_load: f64,
    /// The highest such load while it was cold; 0 where it never was.
    pub peak_cold_load: f64,
    /// Each second: requests that it holds.
    pub held: Vec<u32>,
    /// Each second: how far its data lag, in milliseconds; nothing while it is away.
    pub lag_ms: Vec<Option<f64>>,
}

/// Something that happened, for the report's line of time.
#[derive(Clone, Debug, Serialize, PartialEq)]
pub struct Mark {
    /// When, in seconds from the start.
    pub at_s: f64,
    /// Until when, where it lasted.
    pub until_s: Option<f64>,
    /// What.
    pub what: String,
}

/// The results of one run.
#[derive(Clone, Debug, Serialize, PartialEq)]
pub struct RunResults {
    /// The version of this form.
    pub version: u32,
    /// The scenario's title.
    pub scenario: String,
    /// How it was run: `virtual` or `loopback`.
    pub mode: String,
    /// The seed.
    pub seed: u64,
    /// Gateways, hosts, sets.
    pub size: [u32; 3],
    /// First tries that count: those after the warm-up.
    pub requests: u64,
    /// Worth answered in time over worth asked for, a client's retries folded into its first try.
    pub service: f64,
    /// The same of the worst ten seconds in a row.
    pub worst_10s: f64,
    /// The same of the worst class.
    pub worst_class: f64,
    /// The site's goal: these three by its weights, less its prices.
    pub goal: f64,
    /// Tries for each first try.
    pub tries_per_request: f64,
    /// Attempts at hosts for each first try.
    pub attempts_per_request: f64,
    /// Second copies for each first try.
    pub copies_per_request: f64,
    /// Probes for each first try.
    pub probes_per_request: f64,
    /// Connections to hosts opened for each first try.
    pub connections_per_request: f64,
    /// Bytes of datagrams for each first try.
    pub datagram_bytes_per_request: f64,
    /// Work of hosts of which no client had an answer, over the work asked for.
    pub wasted_work: f64,
    /// The highest load of any host over any 3 s, as a multiple of what it could do then.
    pub peak_load: f64,
    /// The highest such load of any host while it was cold.
    pub peak_cold_load: f64,
    /// Cold hosts that fell over.
    pub knocked_over: u64,
    /// Keyed writes that were applied more than once.
    pub applied_twice: u64,
    /// Reads answered from data older than their class allows.
    pub stale_reads: u64,
    /// Sends to hosts that drain or are gone, after the grace.
    pub sent_to_drained: u64,
    /// Requests that a running gateway had taken and ended without an answer.
    pub lost_requests: u64,
    /// Requests that a running gateway had not answered when their client's time was over.
    pub unanswered: u64,
    /// Rows that no host made for their request.
    pub wrong_rows: u64,
    /// Statements at hosts that no client sent in that form.
    pub malformed: u64,
    /// Datagrams of more than 256 bytes.
    pub too_long_datagrams: u64,
    /// Different writes that were applied.
    pub writes_applied: u64,
    /// Time from each return of capacity until service is back at 95 % of what it was before, in seconds; the longest.
    /// Nothing where no host returned, or it did not come back.
    pub recovery_s: Option<f64>,
    /// By class.
    pub classes: Vec<ClassResults>,
    /// By second.
    pub seconds: Vec<Second>,
    /// By host.
    pub hosts: Vec<HostResults>,
    /// What happened.
    pub marks: Vec<Mark>,
    /// The first breaches, in words.
    pub breaches: Vec<String>,
    /// Number of refusals, by the pause that they carry.
    pub refusals_by_pause: BTreeMap<String, u64>,
}

/// A measure that a comparison shows.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Measure {
    /// Its name, as in the JSON form.
    pub name: &'static str,
    /// Its value.
    pub value: f64,
    /// Whether a larger value is better; else a smaller one is.
    pub larger_is_better: bool,
}

impl Measure {
    fn larger_is_better(name: &'static str, value: f64) -> Self {
        Measure {
            name,
            value,
            larger_is_better: true,
        }
    }

    fn smaller_is_better(name: &'static str, value: f64) -> Self {
        Measure {
            name,
            value,
            larger_is_better: false,
        }
    }
}

impl RunResults {
    /// The measures that a comparison shows.
    #[must_use]
    pub fn measures(&self) -> Vec<Measure> {
        vec![
            Measure::larger_is_better("service", self.service),
            Measure::larger_is_better("worst_10s", self.worst_10s),
            Measure::larger_is_better("worst_class", self.worst_class),
            Measure::larger_is_better("goal", self.goal),
            Measure::smaller_is_better("tries_per_request", self.tries_per_request),
            Measure::smaller_is_better("attempts_per_request", self.attempts_per_request),
            Measure::smaller_is_better("probes_per_request", self.probes_per_request),
            Measure::smaller_is_better("connections_per_request", self.connections_per_request),
            Measure::smaller_is_better(
                "datagram_bytes_per_request",
                self.datagram_bytes_per_request,
            ),
            Measure::smaller_is_better("wasted_work", self.wasted_work),
            Measure::smaller_is_better("peak_load", self.peak_load),
            Measure::smaller_is_better("peak_cold_load", self.peak_cold_load),
            Measure::smaller_is_better("knocked_over", self.knocked_over as f64),
            Measure::smaller_is_better("applied_twice", self.applied_twice as f64),
            Measure::smaller_is_better("stale_reads", self.stale_reads as f64),
            Measure::smaller_is_better("sent_to_drained", self.sent_to_drained as f64),
            Measure::smaller_is_better("lost_requests", self.lost_requests as f64),
            Measure::smaller_is_better("unanswered", self.unanswered as f64),
        ]
    }

    /// The rules that did not hold, in words.
    #[must_use]
    pub fn violations(&self) -> Vec<String> {
        let counts = [
            ("cold hosts knocked over", self.knocked_over),
            ("writes applied twice", self.applied_twice),
            ("stale reads", self.stale_reads),
            ("sends to drained hosts", self.sent_to_drained),
            ("requests lost", self.lost_requests),
            ("requests not answered in time", self.unanswered),
            ("rows that no host made", self.wrong_rows),
            ("statements that no client sent", self.malformed),
            ("datagrams of over 256 bytes", self.too_long_datagrams),
        ];
        counts
            .iter()
            .filter(|(_, count)| *count > 0)
            .map(|(what, count)| format!("{count} {what}"))
            .collect()
    }
}
