//! The configuration file as it is written.

use crate::net::config::missing_key::find_missing_key;
use crate::net::config::{ConfigError, ConfigFileError};
use crate::net::endpoint_list::EndpointList;
use crate::net::log::log;
use irisrouter::platform_settings::PlatformSettings;
use irisrouter_cluster_types::GatewayId;
use serde::Deserialize;
use serde_json::Value;
use std::net::SocketAddr;

/// The random seed is written as a hexadecimal number.
const SEED_RADIX: u32 = 16;

/// The addresses by which gateways exchange datagrams.
#[derive(Clone, Debug, PartialEq)]
pub struct Peers {
    /// Where this gateway listens.
    pub listen_address: SocketAddr,
    /// Where a datagram for all gateways is sent.
    pub broadcast_address: SocketAddr,
    /// From where each gateway sends, by its number.
    pub gateway_addresses: Vec<SocketAddr>,
    /// The number of this gateway.
    pub local_gateway: GatewayId,
}

/// The configuration file.
///
/// The texts of its errors contain this name and depend on the order of the fields. Operators know these texts, so
/// neither changes; other modules call it `ConfigFile`. Serde's `rename` does not reach these texts, and `expecting`
/// changes the one for a list in place of an object.
#[derive(Deserialize)]
pub struct File {
    #[serde(rename = "peer_listen")]
    peer_listen_address: Option<String>,
    #[serde(default, rename = "peers")]
    peer_addresses: Value,
    #[serde(rename = "peers_all")]
    peer_broadcast_address: Option<String>,
    #[serde(default)]
    pub(super) name: String,
    pub(super) listen: Option<String>,
    pub(super) discovery: Option<String>,
    pub(super) console: Option<String>,
    seed: String,
    #[serde(default)]
    pub(super) limits: Limits,
    /// The endpoint list as this gateway last had it.
    #[serde(default, rename = "known")]
    pub known_endpoints: EndpointList,
    pub(super) settings: Value,
}

/// What the process may use.
#[derive(Default, Deserialize, PartialEq)]
pub(super) struct Limits {
    /// Memory in mebibytes.
    pub(super) memory_mb: Option<usize>,
    /// Descriptors.
    pub(super) sockets: Option<usize>,
}

impl File {
    pub(super) fn read(path: &str) -> Result<Self, ConfigError> {
        let text = std::fs::read_to_string(path).map_err(|source| ConfigError::Unreadable {
            path: path.to_string(),
            source,
        })?;
        serde_json::from_str(&text).map_err(|source| ConfigError::Malformed {
            path: path.to_string(),
            source,
        })
    }

    pub(super) fn platform_settings(&self) -> Result<PlatformSettings, ConfigFileError> {
        let seed = u64::from_str_radix(&self.seed, SEED_RADIX).map_err(|source| {
            ConfigFileError::Seed {
                text: self.seed.clone(),
                source,
            }
        })?;
        PlatformSettings::parse(&self.settings, seed)
            .map_err(|error| ConfigFileError::Settings(error.into()))
    }

    pub(super) fn clients_mark_retries(&self) -> bool {
        self.settings
            .pointer("/Clients/MarksRetry")
            .and_then(Value::as_bool)
            .unwrap_or(false)
    }

    /// The addresses of the gateways, where the platform lets them share health checks or membership is on. A file in
    /// which they cannot be read starts a gateway that works alone, and logs it.
    pub(super) fn peers(&self, platform: &PlatformSettings, membership: bool) -> Option<Peers> {
        if !platform.shares_health_checks && !membership {
            return None;
        }
        let listen = self.peer_listen_address.as_deref()?;
        let broadcast = self.peer_broadcast_address.as_deref()?;
        self.read_peers(platform, listen, broadcast)
            .map_err(|error| log!("nothing is shared with other gateways: {error}"))
            .ok()
    }

    fn read_peers(
        &self,
        platform: &PlatformSettings,
        listen: &str,
        broadcast: &str,
    ) -> Result<Peers, ConfigFileError> {
        let addresses = Vec::<SocketAddr>::deserialize(&self.peer_addresses)
            .map_err(ConfigFileError::PeersMalformed)?;
        let local_number = platform.gateway_number;
        let gateways = platform.settings.gateway_count;
        if local_number as usize >= addresses.len() || addresses.len() != gateways as usize {
            return Err(ConfigFileError::PeersInconsistent {
                addresses: addresses.len(),
                gateways,
                local_number,
            });
        }
        Ok(Peers {
            listen_address: parse_address("peer_listen", listen)?,
            broadcast_address: parse_address("peers_all", broadcast)?,
            gateway_addresses: addresses,
            local_gateway: GatewayId(local_number),
        })
    }

    /// The first key that this file has and `new` lacks: a file that was cut or edited wrongly may still be JSON, and
    /// there may be a default for what is gone.
    pub(super) fn first_key_missing_in(&self, new: &Self) -> Option<String> {
        let no_limits = Limits::default();
        let lost = [
            ("name", !self.name.is_empty() && new.name.is_empty()),
            ("listen", self.listen.is_some() && new.listen.is_none()),
            (
                "discovery",
                self.discovery.is_some() && new.discovery.is_none(),
            ),
            (
                "limits",
                self.limits != no_limits && new.limits == no_limits,
            ),
        ];
        let first_lost = lost.into_iter().find(|(_, is_lost)| *is_lost);
        first_lost
            .map(|(key, _)| key.to_string())
            .or_else(|| find_missing_key(&self.settings, &new.settings))
    }

    /// The keys whose values differ in `new` and are read only when a process starts.
    pub(super) fn keys_that_require_restart(&self, new: &Self) -> Vec<&'static str> {
        let differences = [
            ("name", self.name != new.name),
            ("listen", self.listen != new.listen),
            ("console", self.console != new.console),
            ("seed", self.seed != new.seed),
            ("limits", self.limits != new.limits),
            ("known", self.known_endpoints != new.known_endpoints),
        ];
        differences
            .into_iter()
            .filter(|(_, differs)| *differs)
            .map(|(key, _)| key)
            .collect()
    }
}

/// Parses an address; `name` is its variable or key.
pub(super) fn parse_address(name: &'static str, text: &str) -> Result<SocketAddr, ConfigFileError> {
    text.parse()
        .map_err(|source| ConfigFileError::AddressMalformed {
            name,
            text: text.to_string(),
            source,
        })
}
