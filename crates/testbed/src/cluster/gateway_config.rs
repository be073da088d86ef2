//! The configuration that a gateway of a cluster starts with.

use super::{Cluster, EndpointListMode};
use crate::scenario::Scenario;
use crate::settings;
use irisrouter_simulation::spec::Spec;
use serde_json::{json, Value};

/// Longest pause that a refusal asks clients to keep, in nanoseconds.
const MAX_RETRY_AFTER_NS: u64 = 5_000_000_000;

impl Cluster {
    /// The configuration for the next start of a gateway, with these deadlines in percent of the default ones.
    pub(super) fn gateway_config(&self, gateway: usize, deadline_percent: u64) -> Value {
        let members: Vec<Value> = self.hosts.iter().map(|h| h.entry(gateway)).collect();
        let peers: Vec<String> = self.relay.known[gateway]
            .iter()
            .map(ToString::to_string)
            .collect();
        let starts = u64::from(self.slots[gateway].starts);
        let limits = self.plan.limits;
        let seed = self.plan.seed ^ (gateway as u64) << 8 ^ starts;
        json!({
            "name": format!("g{gateway}"),
            "listen": "127.0.0.1:0",
            "console": "127.0.0.1:0",
            "discovery": self.discovery.addresses[gateway].to_string(),
            "seed": format!("{seed:016x}"),
            "peer_listen": self.relay.listen[gateway].to_string(),
            "peers": peers,
            "peers_all": self.relay.broadcast[gateway].to_string(),
            "limits": { "cores": 1.0, "memory_mb": limits.memory_mb, "sockets": limits.sockets },
            "known": { "revision": 1, "complete": true, "members": members },
            "settings": self.platform_settings(gateway, deadline_percent),
        })
    }

    /// The platform's settings object as a gateway gets it.
    fn platform_settings(&self, gateway: usize, deadline_percent: u64) -> Value {
        let mut scenario = Scenario {
            title: "cluster".into(),
            about: String::new(),
            world: Spec::default(),
            gateway: Default::default(),
        };
        scenario.world.gateways = self.plan.gateways as u32;
        for class in &mut scenario.world.classes {
            class.deadline_ms *= deadline_percent as f64 / 100.0;
            class.aim_ms = class.aim_ms.min(class.deadline_ms);
        }
        let mut settings = settings::object(&scenario);
        settings["Me"] = json!(gateway);
        settings["Bounds"]["Peers"] = json!(true);
        settings["Bounds"]["MaxRetryAfterNs"] = json!(MAX_RETRY_AFTER_NS);
        if self.plan.endpoint_list == EndpointListMode::Polled {
            settings["MembershipMode"] = json!("ask");
        }
        settings["Clients"] = json!({ "MarksRetry": true });
        settings["MyZone"] = json!(self.zone(gateway));
        settings["Zones"] = json!(self.plan.zones);
        settings
    }
}
