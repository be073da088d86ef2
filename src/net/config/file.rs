//! The configuration file: its keys, and the checks of its values.

use crate::net::config::missing_key::find_missing_key;
use crate::net::config::{ConfigError, ConfigFileError};
use crate::net::endpoint_list::EndpointList;
use crate::net::log::log;
use irisrouter::platform_settings::PlatformSettings;
use irisrouter_cluster_types::GatewayId;
use serde::Deserialize;
use serde_json::Value;
use std::net::SocketAddr;

/// Radix of the random seed, which is a hexadecimal number in the file.
const SEED_RADIX: u32 = 16;

/// The addresses by which gateways exchange datagrams.
#[derive(Clone, Debug, PartialEq)]
pub struct Peers {
    /// The address on which this gateway receives datagrams.
    pub listen_address: SocketAddr,
    /// The address to which a datagram for all gateways is sent.
    pub broadcast_address: SocketAddr,
    /// The address of each gateway, indexed by the gateway's number.
    pub gateway_addresses: Vec<SocketAddr>,
    /// The number of this gateway.
    pub local_gateway: GatewayId,
}

/// The configuration file.
///
/// Serde's error texts contain the name of this struct and depend on the order of its fields. Operators know these
/// texts, so the name and the order must not change; other modules use the alias `ConfigFile`. Serde's `rename` does
/// not change the name in these texts, and `expecting` would also change the text for a list in place of an object.
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
    /// The endpoint list that this gateway last had, which it uses until discovery answers.
    #[serde(default, rename = "known")]
    pub known_endpoints: EndpointList,
    pub(super) settings: Value,
}

/// Resources that the process may use.
#[derive(Default, Deserialize, PartialEq)]
pub(super) struct Limits {
    /// Memory of the process, in mebibytes.
    pub(super) memory_mb: Option<usize>,
    /// Number of descriptors.
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

    /// Returns the addresses of the gateways if the platform lets gateways share health checks or membership is on.
    ///
    /// Returns `None` if the file lacks the addresses or they cannot be used: the gateway then starts without the other
    /// gateways. Unusable addresses are logged.
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

    /// Returns the first key that this file has and `new` lacks. A file that was truncated or edited wrongly may still
    /// be valid JSON, and a default could silently replace the missing value.
    pub(super) fn first_key_missing_in(&self, new: &Self) -> Option<String> {
        let default_limits = Limits::default();
        let required_keys = [
            ("name", !self.name.is_empty() && new.name.is_empty()),
            ("listen", self.listen.is_some() && new.listen.is_none()),
            (
                "discovery",
                self.discovery.is_some() && new.discovery.is_none(),
            ),
            (
                "limits",
                self.limits != default_limits && new.limits == default_limits,
            ),
        ];
        let first_missing = required_keys
            .into_iter()
            .find(|(_, is_missing)| *is_missing);
        first_missing
            .map(|(key, _)| key.to_string())
            .or_else(|| find_missing_key(&self.settings, &new.settings))
    }

    /// Returns the keys whose values differ in `new` and take effect only when a process starts.
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

/// Parses an address. `name` is its environment variable or key, for the error text.
pub(super) fn parse_address(name: &'static str, text: &str) -> Result<SocketAddr, ConfigFileError> {
    text.parse()
        .map_err(|source| ConfigFileError::AddressMalformed {
            name,
            text: text.to_string(),
            source,
        })
}
