//! What the platform tells a gateway at its start: the environment and the configuration file.

use super::discovery::List;
use irisrouter::settings::Loaded;
use serde::Deserialize;
use std::net::SocketAddr;

/// Descriptors that a gateway may hold where the configuration does not say.
const SOCKETS: usize = 1024;
/// Memory, likewise.
const MEMORY_MB: usize = 192;

/// All that the program uses of its configuration.
pub struct Config {
    /// The gateway's name, for its log.
    pub name: String,
    /// Where clients connect.
    pub listen: SocketAddr,
    /// Where discovery answers.
    pub discovery: SocketAddr,
    /// Descriptors that the program may hold.
    pub sockets: usize,
    /// Memory that it may use, in bytes.
    pub memory: usize,
    /// The list of database hosts as this gateway last had it.
    pub known: List,
    /// The settings object.
    pub loaded: Loaded,
}

#[derive(Deserialize)]
struct File {
    #[serde(default)]
    name: String,
    listen: Option<String>,
    discovery: Option<String>,
    seed: String,
    #[serde(default)]
    limits: Limits,
    #[serde(default)]
    known: List,
    settings: serde_json::Value,
}

#[derive(Default, Deserialize)]
struct Limits {
    memory_mb: Option<usize>,
    sockets: Option<usize>,
}

impl Config {
    /// Reads the environment and the file that it names.
    pub fn load(variable: impl Fn(&str) -> Option<String>) -> Result<Self, String> {
        let path = variable("BALANCER_CONFIG").ok_or("BALANCER_CONFIG is not set")?;
        let text = std::fs::read_to_string(&path).map_err(|e| format!("cannot read {path}: {e}"))?;
        Self::parse(&text, variable).map_err(|e| format!("{path}: {e}"))
    }

    fn parse(text: &str, variable: impl Fn(&str) -> Option<String>) -> Result<Self, String> {
        let file: File = serde_json::from_str(text).map_err(|e| e.to_string())?;
        let address = |name: &str, filed: Option<String>| {
            let text = (variable(name).filter(|v| !v.is_empty()).or(filed))
                .ok_or_else(|| format!("no address: neither {name} nor the configuration has one"))?;
            text.parse().map_err(|e| format!("{name}: {text}: {e}"))
        };
        let seed = u64::from_str_radix(&file.seed, 16).map_err(|e| format!("seed {}: {e}", file.seed))?;
        Ok(Config {
            name: variable("BALANCER_NAME").unwrap_or(file.name),
            listen: address("BALANCER_LISTEN", file.listen)?,
            discovery: address("BALANCER_DISCOVERY", file.discovery)?,
            sockets: file.limits.sockets.unwrap_or(SOCKETS).min(SOCKETS),
            memory: file.limits.memory_mb.unwrap_or(MEMORY_MB).min(MEMORY_MB) << 20,
            known: file.known,
            loaded: Loaded::parse(file.settings, seed).map_err(|e| format!("settings: {e}"))?,
        })
    }
}
