//! The configuration of a gateway: environment variables, the platform's configuration file and the operators' file.

mod error;
mod file;
mod missing_key;
pub mod operator_config;

pub use error::{ConfigError, ConfigFileError};
pub use file::{File as ConfigFile, Peers};

use file::parse_address;
use irisrouter::platform_settings::PlatformSettings;
use operator_config::OperatorConfig;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

/// Environment variable with the path of the configuration file.
const CONFIG_FILE_VARIABLE: &str = "BALANCER_CONFIG";
/// Environment variable with the gateway's name, for its log.
const NAME_VARIABLE: &str = "BALANCER_NAME";
/// Environment variable with the address on which clients connect.
const LISTEN_VARIABLE: &str = "BALANCER_LISTEN";
/// Environment variable with the address of discovery. The address in a reloaded file takes precedence over it.
const DISCOVERY_VARIABLE: &str = "BALANCER_DISCOVERY";
/// Environment variable with the address on which the console listens.
const CONSOLE_VARIABLE: &str = "BALANCER_CONSOLE";
/// Environment variable that is set if the platform holds the clients' listening socket and every process of the
/// gateway inherits it.
const INHERITED_SOCKET_VARIABLE: &str = "BALANCER_PASSED_SOCKET";
/// Environment variable with the path of the directory that all processes of the gateway share.
const SHARED_DIRECTORY_VARIABLE: &str = "TMPDIR";
/// Name of the Unix socket in the shared directory at which an older process hands over to a newer one. All versions of
/// the program use this name.
const HOT_RESTART_SOCKET: &str = "irisrouter.sock";

/// Maximum number of descriptors that the platform gives a gateway; also the default if the file has no limit.
const DEFAULT_DESCRIPTOR_LIMIT: usize = 1024;
/// Maximum memory that the platform gives a gateway, in mebibytes; also the default if the file has no limit.
const DEFAULT_MEMORY_LIMIT_MB: usize = 192;
/// Shift that converts mebibytes to bytes.
const MEBIBYTE_SHIFT: u32 = 20;

/// Where the clients' listening socket comes from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListenerSource {
    /// This process binds the socket and is the only one that holds it.
    Bound,
    /// The platform holds the socket and passes it to each process of the gateway.
    Inherited,
}

/// The configuration of the process.
pub struct Config {
    /// The gateway's name, for its log.
    pub name: String,
    /// The address on which clients connect.
    pub listen_address: SocketAddr,
    /// The address of discovery when the process starts.
    pub discovery_address: SocketAddr,
    /// The address on which the console listens, or `None` if there is no console.
    pub console_address: Option<SocketAddr>,
    /// Where the clients' listening socket comes from.
    pub listener_source: ListenerSource,
    /// Path of the Unix socket for hot restarts, or `None` if the listener is not inherited or no directory is shared.
    pub hot_restart_socket: Option<PathBuf>,
    /// The gateways of the fleet, if they may exchange datagrams.
    pub peers: Option<Peers>,
    /// The settings of the operators' file, or its defaults.
    pub operators: OperatorConfig,
    /// Maximum number of descriptors that the process may hold.
    pub descriptor_limit: usize,
    /// Memory limit from which the budget for messages is derived, in bytes.
    pub memory_limit: usize,
    /// The platform's settings.
    pub platform: PlatformSettings,
    /// The configuration file in force.
    pub file: ConfigFile,
    path: String,
}

/// The values of a reloaded file that apply to a running gateway, and the keys that do not.
pub struct ReloadedConfig {
    /// The new address of discovery, if the file has one.
    pub discovery_address: Option<SocketAddr>,
    /// The new settings of the platform.
    pub platform: PlatformSettings,
    /// Keys of the file whose values differ from those in force and take effect only when the next process starts.
    pub requires_restart: Vec<&'static str>,
}

impl Config {
    /// Reads the environment variables, whose values `variable` returns, and the files that they name.
    ///
    /// # Errors
    ///
    /// Returns an error if a variable or file is missing or cannot be used.
    pub fn load(variable: impl Fn(&str) -> Option<String>) -> Result<Self, ConfigError> {
        let path = variable(CONFIG_FILE_VARIABLE).ok_or(ConfigError::FileNotNamed)?;
        let file = ConfigFile::read(&path)?;
        let invalid = |source| ConfigError::invalid(&path, source);
        let environment = Environment::new(&variable);
        let platform = file.platform_settings().map_err(invalid)?;
        let operators = operator_config::load(&variable)?;
        let addresses = Addresses::new(&environment, &file).map_err(invalid)?;
        let membership = operators.membership.enabled && platform.peers_allowed;
        Ok(Config {
            name: environment.name.unwrap_or_else(|| file.name.clone()),
            listen_address: addresses.listen,
            discovery_address: addresses.discovery,
            console_address: addresses.console,
            listener_source: environment.listener_source,
            hot_restart_socket: environment.hot_restart_socket,
            peers: file.peers(&platform, membership),
            operators,
            descriptor_limit: lower_limit(file.limits.sockets, DEFAULT_DESCRIPTOR_LIMIT),
            memory_limit: lower_limit(file.limits.memory_mb, DEFAULT_MEMORY_LIMIT_MB)
                << MEBIBYTE_SHIFT,
            platform,
            file,
            path,
        })
    }

    /// Returns whether clients mark their retries. If they do not, any request may be a retry.
    pub fn clients_mark_retries(&self) -> bool {
        self.file.clients_mark_retries()
    }

    /// Reads the same file again. Its `discovery` takes precedence over the environment variable, which cannot have
    /// changed since the process started. The whole file is checked before anything changes: a file with which no
    /// gateway could start, or that lacks a key of the previously loaded file, is rejected.
    ///
    /// # Errors
    ///
    /// Returns an error if the file cannot be read or used. The old configuration then stays in force.
    pub fn reload(&mut self) -> Result<ReloadedConfig, ConfigError> {
        let mut new = ConfigFile::read(&self.path)?;
        let invalid = |source| ConfigError::invalid(&self.path, source);
        if let Some(key) = self.file.first_key_missing_in(&new) {
            return Err(invalid(ConfigFileError::KeyMissing(key)));
        }
        let platform = new.platform_settings().map_err(invalid)?;
        let discovery_address = new
            .discovery
            .as_deref()
            .map(|text| parse_address(DISCOVERY_VARIABLE, text))
            .transpose()
            .map_err(invalid)?;
        let requires_restart = self.file.keys_that_require_restart(&new);
        self.file.settings = std::mem::take(&mut new.settings);
        Ok(ReloadedConfig {
            discovery_address,
            platform,
            requires_restart,
        })
    }
}

/// Returns the file's limit if it is lower than the platform's, otherwise the platform's.
fn lower_limit(limit: Option<usize>, platform_maximum: usize) -> usize {
    limit.unwrap_or(platform_maximum).min(platform_maximum)
}

/// The values of the environment variables. An empty variable counts as not set, except for the gateway's name.
struct Environment {
    name: Option<String>,
    listen: Option<String>,
    discovery: Option<String>,
    console: Option<String>,
    listener_source: ListenerSource,
    hot_restart_socket: Option<PathBuf>,
}

impl Environment {
    fn new(variable: &impl Fn(&str) -> Option<String>) -> Self {
        let non_empty = |name: &str| variable(name).filter(|value| !value.is_empty());
        let listener_source = match non_empty(INHERITED_SOCKET_VARIABLE) {
            Some(_) => ListenerSource::Inherited,
            None => ListenerSource::Bound,
        };
        let hot_restart_socket = non_empty(SHARED_DIRECTORY_VARIABLE)
            .filter(|_| listener_source == ListenerSource::Inherited)
            .map(|directory| Path::new(&directory).join(HOT_RESTART_SOCKET));
        Self {
            name: variable(NAME_VARIABLE),
            listen: non_empty(LISTEN_VARIABLE),
            discovery: non_empty(DISCOVERY_VARIABLE),
            console: non_empty(CONSOLE_VARIABLE),
            listener_source,
            hot_restart_socket,
        }
    }
}

/// The addresses that can be set both in the environment and in the file. The environment takes precedence.
struct Addresses {
    listen: SocketAddr,
    discovery: SocketAddr,
    console: Option<SocketAddr>,
}

impl Addresses {
    fn new(environment: &Environment, file: &ConfigFile) -> Result<Self, ConfigFileError> {
        let listen = environment.listen.as_ref().or(file.listen.as_ref());
        let discovery = environment.discovery.as_ref().or(file.discovery.as_ref());
        let console = environment.console.as_ref().or(file.console.as_ref());
        Ok(Self {
            listen: required_address(LISTEN_VARIABLE, listen)?,
            discovery: required_address(DISCOVERY_VARIABLE, discovery)?,
            console: console
                .map(|text| parse_address(CONSOLE_VARIABLE, text))
                .transpose()?,
        })
    }
}

fn required_address(
    variable: &'static str,
    text: Option<&String>,
) -> Result<SocketAddr, ConfigFileError> {
    let text = text.ok_or(ConfigFileError::AddressMissing { variable })?;
    parse_address(variable, text)
}

#[cfg(test)]
#[path = "../../../tests/unit/config.rs"]
mod tests;
