//! Settings of the host list, of the network, and of the rules that gateways must keep.

use super::ValueOrRange;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

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
