//! What a world is made from: every figure of it, with the brief's as the default, and the faults that strike it.
//!
//! Times carry their unit in their names. Where a figure may be a range, a day draws one value from it evenly.

use crate::rng::{Rng, Stream};
use crate::{ms, seconds, Ns};
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// A value, or a range from which each day draws one.
#[derive(Clone, Copy, Debug, Deserialize, Serialize, JsonSchema, PartialEq)]
#[serde(untagged)]
#[schemars(rename = "Between")]
pub enum ValueOrRange {
    /// This value.
    Value(f64),
    /// Evenly from the first to the second.
    Range([f64; 2]),
}

impl Default for ValueOrRange {
    fn default() -> Self {
        ValueOrRange::Value(0.0)
    }
}

impl ValueOrRange {
    /// One value.
    pub fn draw(self, rng: &mut Rng) -> f64 {
        match self {
            ValueOrRange::Value(v) => v,
            ValueOrRange::Range([low, high]) => rng.between(low, high),
        }
    }

    /// Its ends.
    pub fn ends(self) -> [f64; 2] {
        match self {
            ValueOrRange::Value(v) => [v, v],
            ValueOrRange::Range(ends) => ends,
        }
    }
}

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

/// The list of hosts, as gateways are told it.
#[derive(Clone, Debug, Deserialize, Serialize, JsonSchema, PartialEq)]
#[serde(default, deny_unknown_fields)]
pub struct ListSpec {
    /// A start, a stop or a drain is told after this time.
    pub notice_s: ValueOrRange,
    /// A host that has gone silent is told as gone after this time.
    pub silent_notice_s: ValueOrRange,
    /// One gateway is told so much later than another, at most.
    pub spread_ms: ValueOrRange,
}

impl Default for ListSpec {
    fn default() -> Self {
        ListSpec {
            notice_s: ValueOrRange::Range([1.1, 4.7]),
            silent_notice_s: ValueOrRange::Range([4.4, 14.0]),
            spread_ms: ValueOrRange::Range([76.0, 380.0]),
        }
    }
}

/// Times on the network, one way.
#[derive(Clone, Debug, Deserialize, Serialize, JsonSchema, PartialEq)]
#[serde(default, deny_unknown_fields)]
pub struct NetSpec {
    /// Between gateway and host.
    pub host_ms: ValueOrRange,
    /// Between client and gateway.
    pub client_ms: ValueOrRange,
    /// Between gateways.
    pub datagram_ms: ValueOrRange,
    /// Part of the datagrams that are lost.
    #[schemars(range(min = 0, max = 1))]
    pub datagram_loss: f64,
    /// Each time is longer by up to this part.
    pub jitter: ValueOrRange,
}

impl Default for NetSpec {
    fn default() -> Self {
        NetSpec {
            host_ms: ValueOrRange::Range([0.14, 0.34]),
            client_ms: ValueOrRange::Range([0.2, 1.2]),
            datagram_ms: ValueOrRange::Range([2.6, 30.0]),
            datagram_loss: 0.0,
            jitter: ValueOrRange::Range([0.058, 0.35]),
        }
    }
}

/// Figures of the rules.
#[derive(Clone, Debug, Deserialize, Serialize, JsonSchema, PartialEq)]
#[serde(default, deny_unknown_fields)]
pub struct RuleSpec {
    /// Nothing new to a host later than this after word of its drain.
    #[schemars(range(min = 0))]
    pub drain_grace_ms: f64,
    /// A cold host that is sent more than this multiple of what it can do ...
    #[schemars(range(min = 0.1))]
    pub tip_multiple: f64,
    /// ... for this long falls over.
    #[schemars(range(min = 0.1))]
    pub tip_s: f64,
    /// The start of which a gateway is told.
    #[schemars(range(min = 0.01, max = 1))]
    pub told_cold_start: f64,
    /// The warm-up time of which a gateway is told.
    #[schemars(range(min = 0.01))]
    pub told_cold_s: f64,
}

impl Default for RuleSpec {
    fn default() -> Self {
        RuleSpec {
            drain_grace_ms: 500.0,
            tip_multiple: 2.0,
            tip_s: 3.0,
            told_cold_start: 0.15,
            told_cold_s: 14.0,
        }
    }
}

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
}

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

    /// What no schema can say is wrong: a path within this object, and the reason.
    pub fn problems(&self) -> Vec<(String, String)> {
        let mut found = Vec::new();
        let mut range = |path: &str, b: ValueOrRange, least: f64, most: f64| {
            let [low, high] = b.ends();
            if !(low.is_finite() && high.is_finite()) || low < least || high > most {
                found.push((
                    path.to_string(),
                    format!("{low} to {high} is not within {least} to {most}"),
                ));
            } else if low > high {
                found.push((
                    path.to_string(),
                    format!("a range from {low} down to {high}"),
                ));
            }
        };
        let (h, s, t, c) = (&self.hosts, &self.sets, &self.traffic, &self.clients);
        let day = 86_400.0;
        range("/hosts/connect_work_ms", h.connect_work_ms, 0.0, 10_000.0);
        range("/hosts/probe_work_ms", h.probe_work_ms, 0.0, 10_000.0);
        range("/hosts/cold_start", h.cold_start, 0.01, 1.0);
        range("/hosts/cold_s", h.cold_s, 0.001, day);
        range("/hosts/report_ms", h.report_ms, 0.1, 60_000.0);
        range("/sets/ship_ms", s.ship_ms, 0.0, 60_000.0);
        range("/sets/apply_use", s.apply_use, 0.0, 0.99);
        range("/sets/detect_s", s.detect_s, 0.0, day);
        range("/sets/elect_s", s.elect_s, 0.0, day);
        range("/sets/switch_s", s.switch_s, 0.0, day);
        range("/traffic/load", t.load, 0.001, 100.0);
        range("/traffic/follows", t.follows, 0.0, 1.0);
        range("/traffic/gap_ms", t.gap_ms, 0.0, 3_600_000.0);
        range("/traffic/roams", t.roams, 0.0, 1.0);
        range("/clients/patience", c.patience, 0.01, 1.0);
        range("/clients/backoff_ms", c.backoff_ms, 0.0, 3_600_000.0);
        range("/clients/honour", c.honour, 0.0, 1.0);
        range("/clients/notice_s", c.notice_s, 0.0, day);
        range("/list/notice_s", self.list.notice_s, 0.0, day);
        range("/list/silent_notice_s", self.list.silent_notice_s, 0.0, day);
        range("/list/spread_ms", self.list.spread_ms, 0.0, 3_600_000.0);
        range("/net/host_ms", self.net.host_ms, 0.0, 10_000.0);
        range("/net/client_ms", self.net.client_ms, 0.0, 10_000.0);
        range("/net/datagram_ms", self.net.datagram_ms, 0.0, 10_000.0);
        range("/net/jitter", self.net.jitter, 0.0, 10.0);
        for (i, class) in self.classes.iter().enumerate() {
            range(
                &format!("/classes/{i}/work_ms"),
                class.work_ms,
                0.001,
                3_600_000.0,
            );
        }
        for (i, f) in self.faults.iter().enumerate() {
            range(&format!("/faults/{i}/at_s"), f.at_s, 0.0, day);
            range(&format!("/faults/{i}/for_s"), f.for_s, 0.0, day);
            for (name, slow) in [("slow_apply", &f.slow_apply), ("slowdown", &f.slowdown)] {
                if let Some(slow) = slow {
                    range(
                        &format!("/faults/{i}/{name}/times"),
                        slow.times,
                        1.0,
                        1000.0,
                    );
                }
            }
            if let Some(flood) = &f.flood {
                range(&format!("/faults/{i}/flood/part"), flood.part, 0.0, 10.0);
            }
            if let Some(w) = &f.gateways_killed {
                range(
                    &format!("/faults/{i}/gateways_killed/down_s"),
                    w.down_s,
                    0.0,
                    day,
                );
            }
        }
        found.extend(self.other_problems());
        found
    }

    fn other_problems(&self) -> Vec<(String, String)> {
        let mut found: Vec<(String, String)> = Vec::new();
        let mut wrong = |path: String, reason: String| found.push((path, reason));
        if self.hosts.count < self.sets.members {
            let (hosts, members) = (self.hosts.count, self.sets.members);
            wrong(
                "/hosts/count".into(),
                format!("{hosts} hosts are too few for one set of {members}"),
            );
        }
        if self.warm_up_s >= self.length_s {
            wrong("/warm_up_s".into(), "no time is left after it".into());
        }
        if self.classes.iter().map(|c| c.share).sum::<f64>() <= 0.0 {
            wrong("/classes".into(), "the shares come to nothing".into());
        }
        for (i, c) in self.classes.iter().enumerate() {
            if self.classes[..i].iter().any(|other| other.name == c.name) {
                wrong(
                    format!("/classes/{i}/name"),
                    format!("a second class {}", c.name),
                );
            }
            let plain = |b: char| b.is_ascii_alphanumeric() || b == '-' || b == '_';
            if !c.name.chars().all(plain) {
                wrong(
                    format!("/classes/{i}/name"),
                    "letters, digits, - and _ alone".into(),
                );
            }
            if c.aim_ms > c.deadline_ms {
                wrong(
                    format!("/classes/{i}/aim_ms"),
                    "later than the deadline".into(),
                );
            }
            if (c.need == Need::Bounded) != (c.bound_ms > 0.0) {
                wrong(
                    format!("/classes/{i}/bound_ms"),
                    "goes with the need 'bounded', and over 0".into(),
                );
            }
        }
        for (i, f) in self.faults.iter().enumerate() {
            let kinds = f.kinds();
            if kinds.len() != 1 {
                let what = if kinds.is_empty() {
                    "none".to_string()
                } else {
                    kinds.join(" and ")
                };
                wrong(
                    format!("/faults/{i}"),
                    format!("exactly one kind of fault is expected, not {what}"),
                );
            }
            for (path, pick) in picks(f) {
                let path = format!("/faults/{i}/{path}");
                let ways = [
                    pick.share.is_some(),
                    pick.count.is_some(),
                    pick.these.is_some(),
                ];
                if ways.iter().filter(|w| **w).count() != 1 {
                    wrong(
                        path.clone(),
                        "exactly one of share, count and these is expected".into(),
                    );
                }
                for &n in pick.these.iter().flatten() {
                    if n >= self.hosts.count {
                        wrong(format!("{path}/these"), format!("there is no host {n}"));
                    }
                }
            }
            if f.flood
                .as_ref()
                .is_some_and(|flood| flood.sets > self.set_count())
            {
                wrong(
                    format!("/faults/{i}/flood/sets"),
                    format!("there are {} sets", self.set_count()),
                );
            }
        }
        found
    }
}

fn picks(f: &Fault) -> Vec<(&'static str, &HostSelection)> {
    let mut all = Vec::new();
    all.extend(f.silent.as_ref().map(|s| ("silent/hosts", &s.hosts)));
    all.extend(f.reset.as_ref().map(|s| ("reset/hosts", &s.hosts)));
    all.extend(f.refusing.as_ref().map(|s| ("refusing/hosts", &s.hosts)));
    all.extend(f.spoilt.as_ref().map(|s| ("spoilt/hosts", &s.hosts)));
    all.extend(f.drain.as_ref().map(|s| ("drain/hosts", &s.hosts)));
    all.extend(f.cut_off.as_ref().map(|s| ("cut_off/hosts", &s.hosts)));
    all.extend(
        f.slow_apply
            .as_ref()
            .and_then(|s| s.hosts.as_ref())
            .map(|h| ("slow_apply/hosts", h)),
    );
    all.extend(
        f.slowdown
            .as_ref()
            .and_then(|s| s.hosts.as_ref())
            .map(|h| ("slowdown/hosts", h)),
    );
    all
}

/// One day: what the ranges of a [`Spec`] came to for a seed.
#[derive(Clone, Debug)]
pub struct Day {
    /// First tries a second over all sets, without floods.
    pub rate: f64,
    /// Each set's part of them.
    pub set_shares: Vec<f64>,
    /// Mean work of each class, in nanoseconds on a core.
    pub work: Vec<f64>,
    /// Share of each class, to a sum of 1.
    pub class_shares: Vec<f64>,
    /// Work of a new connection.
    pub connect_work: Ns,
    /// Work of a probe.
    pub probe_work: Ns,
    /// Part of its capacity with which a host starts.
    pub cold_start: f64,
    /// Time until it is warm.
    pub cold_for: Ns,
    /// Reports are made anew each so often.
    pub report_every: Ns,
    /// The log's way to a replica.
    pub ship: Ns,
    /// Time that a replica needs to apply one write.
    pub apply: Ns,
    /// Part of the session reads that follow a write.
    pub follows: f64,
    /// Mean time from write to read.
    pub gap: Ns,
    /// Part of a session's requests that come to any gateway.
    pub roams: f64,
    /// Part of the class's time after which a try is given up.
    pub patience: f64,
    /// The first wait before a retry.
    pub backoff: Ns,
    /// Part of the clients that wait as a refusal says.
    pub honour: f64,
    /// The front notices a dead gateway after this time.
    pub front_notice: Ns,
    /// One way between gateway and host, and between client and gateway.
    pub host_way: Ns,
    /// Likewise, client and gateway.
    pub client_way: Ns,
    /// Likewise, between gateways.
    pub datagram_way: Ns,
    /// Each way is longer by up to this part.
    pub jitter: f64,
}

impl Day {
    /// Draws a day.
    pub fn draw(spec: &Spec, seed: u64) -> Day {
        let mut d = Rng::new(seed, Stream::Day);
        let total: f64 = spec.classes.iter().map(|c| c.share).sum();
        let class_shares: Vec<f64> = spec.classes.iter().map(|c| c.share / total).collect();
        let work: Vec<f64> = spec
            .classes
            .iter()
            .map(|c| ms(c.work_ms.draw(&mut d)) as f64)
            .collect();
        let part = |fit: &dyn Fn(&ClassSpec) -> bool| -> f64 {
            let all = spec.classes.iter().zip(class_shares.iter().zip(&work));
            all.filter(|(c, _)| fit(c))
                .map(|(_, (share, work))| share * work)
                .sum()
        };
        let members = f64::from(spec.hosts.count) / f64::from(spec.set_count());
        // Full: the cores of a set, or of its primary alone, are in use all the time.
        let by_cores = members * spec.hosts.cores / part(&|_| true);
        let by_primary =
            spec.hosts.cores / part(&|c| matches!(c.need, Need::Write | Need::Fresh)).max(1e-9);
        let full = by_cores.min(by_primary) * 1e9 * f64::from(spec.set_count());
        let load = spec.traffic.load.draw(&mut d);
        let rate = spec.traffic.requests_per_s.unwrap_or(load * full);
        let writes: f64 = (spec.classes.iter().zip(&class_shares))
            .filter(|(c, _)| c.need == Need::Write)
            .map(|(_, share)| share)
            .sum();
        let full_writes = full * writes / f64::from(spec.set_count());
        let apply_use = spec.sets.apply_use.draw(&mut d);
        let sizes: Vec<f64> = (0..spec.set_count())
            .map(|_| d.log_normal(1.0, spec.sets.skew))
            .collect();
        let sum: f64 = sizes.iter().sum();
        let mut time = |b: ValueOrRange| ms(b.draw(&mut d));
        Day {
            rate,
            set_shares: sizes.iter().map(|s| s / sum).collect(),
            work,
            class_shares,
            connect_work: time(spec.hosts.connect_work_ms),
            probe_work: time(spec.hosts.probe_work_ms),
            report_every: time(spec.hosts.report_ms).max(1),
            ship: time(spec.sets.ship_ms),
            apply: if full_writes > 0.0 {
                seconds(apply_use / full_writes)
            } else {
                0
            },
            gap: time(spec.traffic.gap_ms),
            backoff: time(spec.clients.backoff_ms),
            host_way: time(spec.net.host_ms),
            client_way: time(spec.net.client_ms),
            datagram_way: time(spec.net.datagram_ms),
            cold_start: spec.hosts.cold_start.draw(&mut d),
            cold_for: seconds(spec.hosts.cold_s.draw(&mut d)),
            follows: spec.traffic.follows.draw(&mut d),
            roams: spec.traffic.roams.draw(&mut d),
            patience: spec.clients.patience.draw(&mut d),
            honour: spec.clients.honour.draw(&mut d),
            front_notice: seconds(spec.clients.notice_s.draw(&mut d)),
            jitter: spec.net.jitter.draw(&mut d),
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// The brief's own figures: about 380 requests a second on 12 hosts, of which the primaries are 56 to 74 % used
    /// by writes and fresh reads at full load.
    #[test]
    fn the_defaults_are_the_deployment() {
        let spec = Spec::default();
        assert!(spec.problems().is_empty(), "{:?}", spec.problems());
        for seed in 0..50 {
            let day = Day::draw(&spec, seed);
            assert!((200.0..600.0).contains(&day.rate), "{}", day.rate);
            assert!((day.set_shares.iter().sum::<f64>() - 1.0).abs() < 1e-9);
            assert!((ms(5.0)..ms(20.0)).contains(&day.apply), "{}", day.apply);
        }
    }

    #[test]
    fn what_cannot_be_is_told_with_its_path() {
        let mut s = Spec::default();
        s.classes[0].aim_ms = 5000.0;
        s.classes[1].name = "page-read".into();
        s.hosts.cold_start = ValueOrRange::Range([0.5, 0.2]);
        let both = Fault {
            at_s: ValueOrRange::Value(-1.0),
            for_s: ValueOrRange::Value(1.0),
            silent: Some(SilentHosts::default()),
            reset: Some(HostFault::default()),
            ..Fault::default()
        };
        s.faults.push(both);
        let paths: Vec<String> = s.problems().into_iter().map(|p| p.0).collect();
        for path in [
            "/hosts/cold_start",
            "/classes/0/aim_ms",
            "/classes/1/name",
            "/faults/0",
            "/faults/0/at_s",
            "/faults/0/silent/hosts",
        ] {
            assert!(paths.iter().any(|p| p == path), "{path} in {paths:?}");
        }
    }
}
