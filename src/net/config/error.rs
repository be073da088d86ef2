//! Errors of the environment and the configuration file.

use crate::net::config::operator_config::OperatorConfigError;
use std::error::Error as StdError;
use std::io;
use std::net::AddrParseError;
use std::num::ParseIntError;
use thiserror::Error;

/// Why the configuration cannot be used.
#[derive(Debug, Error)]
pub enum ConfigError {
    /// The environment variable that names the configuration file is not set.
    #[error("BALANCER_CONFIG is not set")]
    FileNotNamed,
    /// The configuration file cannot be read.
    #[error("cannot read {path}: {source}")]
    Unreadable {
        /// Path of the file.
        path: String,
        /// The operating system's error.
        source: io::Error,
    },
    /// The configuration file is not a JSON object of the expected form.
    #[error("{path}: {source}")]
    Malformed {
        /// Path of the file.
        path: String,
        /// The parser's error: what was expected, and where.
        source: serde_json::Error,
    },
    /// A value of the configuration file, or of an environment variable that overrides it, cannot be used.
    #[error("{path}: {source}")]
    Invalid {
        /// Path of the file.
        path: String,
        /// Which value cannot be used, and why.
        source: ConfigFileError,
    },
    /// The operators' file cannot be used.
    #[error(transparent)]
    Operators(#[from] OperatorConfigError),
}

impl ConfigError {
    /// Returns the error for an unusable value in the file at `path`.
    pub fn invalid(path: &str, source: ConfigFileError) -> Self {
        Self::Invalid {
            path: path.to_string(),
            source,
        }
    }
}

/// Why a value of the configuration cannot be used.
#[derive(Debug, Error)]
pub enum ConfigFileError {
    /// A required address is neither in the environment nor in the file.
    #[error("no address: neither {variable} nor the configuration has one")]
    AddressMissing {
        /// The environment variable that can set the address.
        variable: &'static str,
    },
    /// An address cannot be parsed.
    #[error("{name}: {text}: {source}")]
    AddressMalformed {
        /// The environment variable or key of the address.
        name: &'static str,
        /// The value of the variable or key.
        text: String,
        /// The parser's error.
        source: AddrParseError,
    },
    /// The random seed is not a hexadecimal number of at most 64 bits.
    #[error("seed {text}: {source}")]
    Seed {
        /// The value of the key.
        text: String,
        /// The parser's error.
        source: ParseIntError,
    },
    /// The platform's settings cannot be used.
    #[error("settings: {0}")]
    Settings(#[source] Box<dyn StdError>),
    /// The reloaded file lacks a key that the previously loaded file had.
    #[error("{0} is missing")]
    KeyMissing(String),
    /// The value of `peers` is not a list of addresses.
    #[error("peers: {0}")]
    PeersMalformed(#[source] serde_json::Error),
    /// The number of addresses in `peers` differs from the number of gateways in the platform's settings, or this
    /// gateway's number is not an index into the list.
    #[error(
        "peers: {addresses} addresses for {gateways} gateways, this one's number is {local_number}"
    )]
    PeersInconsistent {
        /// Number of addresses in the list.
        addresses: usize,
        /// Number of gateways in the platform's settings.
        gateways: u32,
        /// The number of this gateway, which is its index into the list.
        local_number: u32,
    },
}
