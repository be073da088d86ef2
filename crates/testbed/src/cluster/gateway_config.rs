//! Builds the configuration with which a gateway of a cluster is started.

use super::{Cluster, EndpointListMode};
use crate::scenario::Scenario;
use crate::settings;
use irisrouter_simulation::spec::Spec;
use serde_json::{json, Value};

/// Longest wait before a retry that a gateway may ask of clients when it rejects a request, in nanoseconds.
const MAX_RETRY_AFTER_NS: u64 = 5_000_000_000;

/// Configured number of gateways in a fleet that shares health checks. Most of them do not exist: they have addresses
/// that cannot be reached.
const SHARING_GATEWAYS: usize = 900;

impl Cluster {
    /// The configuration for the next start of a gateway, with deadlines of this percentage of the default ones.
    pub(super) fn gateway_config(&self, gateway: usize, deadline_percent: u64) -> Value {
        let peers = self.peer_addresses(gateway);
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
            "known": { "revision": 1, "complete": true, "members": self.discovery.first_entries(gateway) },
            "settings": self.platform_settings(gateway, deadline_percent),
        })
    }

    /// The addresses at which a gateway reaches each gateway of the fleet.
    fn peer_addresses(&self, gateway: usize) -> Vec<String> {
        let relay_addresses = self.relay.peer_addresses[gateway].iter();
        let mut addresses: Vec<String> = relay_addresses
            .copied()
            .chain(
                self.checking_gateway
                    .as_ref()
                    .map(|gateway| gateway.address),
            )
            .map(|address| address.to_string())
            .collect();
        if self.checking_gateway.is_some() {
            let absent = addresses.len()..SHARING_GATEWAYS;
            addresses.extend(
                absent.map(|number| format!("127.0.{}.{}:1", 1 + number / 250, number % 250)),
            );
        }
        addresses
    }

    /// The settings object that the platform passes to a gateway.
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
        if self.checking_gateway.is_some() {
            settings["Balancers"] = json!(SHARING_GATEWAYS);
        }
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
