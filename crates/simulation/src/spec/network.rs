//! Settings of the endpoint list, of the network, and of the rules that gateways must keep.

use super::ValueOrRange;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// Delays of the endpoint list that gateways receive.
#[derive(Clone, Debug, Deserialize, Serialize, JsonSchema, PartialEq)]
#[serde(default, deny_unknown_fields)]
pub struct ListSpec {
    /// Time from the start, stop or drain of a host until gateways are notified.
    pub notice_s: ValueOrRange,
    /// Time from the moment at which a host falls silent until gateways are notified that it is gone.
    pub silent_notice_s: ValueOrRange,
    /// Maximum difference between the times at which two gateways are notified of one change.
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

/// One-way delays and losses of the network.
#[derive(Clone, Debug, Deserialize, Serialize, JsonSchema, PartialEq)]
#[serde(default, deny_unknown_fields)]
pub struct NetSpec {
    /// Delay between gateway and host.
    pub host_ms: ValueOrRange,
    /// Delay between client and gateway.
    pub client_ms: ValueOrRange,
    /// Delay of datagrams between gateways.
    pub datagram_ms: ValueOrRange,
    /// Fraction of the datagrams that are lost.
    #[schemars(range(min = 0, max = 1))]
    pub datagram_loss: f64,
    /// Maximum random increase of a delay, as a fraction of it.
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

/// Limits of the rules that gateways must keep.
#[derive(Clone, Debug, Deserialize, Serialize, JsonSchema, PartialEq)]
#[serde(default, deny_unknown_fields)]
pub struct RuleSpec {
    /// Time after the notification of a drain during which a gateway may still send new queries to the host.
    #[schemars(range(min = 0))]
    pub drain_grace_ms: f64,
    /// A cold host dies if the work that it is sent within `tip_s` exceeds this multiple of its capacity.
    #[schemars(range(min = 0.1))]
    pub tip_multiple: f64,
    /// Length of the window over which `tip_multiple` is measured.
    #[schemars(range(min = 0.1))]
    pub tip_s: f64,
    /// Fraction of its capacity with which a host starts, as configured at the gateways.
    #[schemars(range(min = 0.01, max = 1))]
    pub told_cold_start: f64,
    /// Warm-up time of a host, as configured at the gateways.
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
