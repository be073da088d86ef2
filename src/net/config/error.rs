//! Errors of the environment and the configuration file.

use crate::net::config::operator_config::OperatorConfigError;
use std::error::Error as StdError;
use std::io;
use std::net::AddrParseError;
use std::num::ParseIntError;
use thiserror::Error;

/// Why a configuration cannot be used.
#[derive(Debug, Error)]
pub enum ConfigError {
    /// The environment names no configuration file.
    #[error("BALANCER_CONFIG is not set")]
    FileNotNamed,
    /// The configuration file cannot be read.
    #[error("cannot read {path}: {source}")]
    Unreadable {
        /// The file.
        path: String,
        /// What the system says.
        source: io::Error,
    },
    /// The configuration file is no JSON object of the expected form.
    #[error("{path}: {source}")]
    Malformed {
        /// The file.
        path: String,
        /// What is expected, and where.
        source: serde_json::Error,
    },
    /// A value of the configuration file, or of a variable that takes its place, cannot be used.
    #[error("{path}: {source}")]
    Invalid {
        /// The file.
        path: String,
        /// Which value, and why.
        source: ConfigFileError,
    },
    /// The operators' file cannot be used.
    #[error(transparent)]
    Operators(#[from] OperatorConfigError),
}

impl ConfigError {
    /// An unusable value in the file at `path`.
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
    /// A required address is given nowhere.
    #[error("no address: neither {variable} nor the configuration has one")]
    AddressMissing {
        /// The variable that could name it.
        variable: &'static str,
    },
    /// An address cannot be parsed.
    #[error("{name}: {text}: {source}")]
    AddressMalformed {
        /// The variable or key of the address.
        name: &'static str,
        /// What stands there.
        text: String,
        /// What is wrong with it.
        source: AddrParseError,
    },
    /// The random seed is no hexadecimal number of 64 bits.
    #[error("seed {text}: {source}")]
    Seed {
        /// What stands there.
        text: String,
        /// What is wrong with it.
        source: ParseIntError,
    },
    /// The platform's settings cannot be used.
    #[error("settings: {0}")]
    Settings(#[source] Box<dyn StdError>),
    /// A reloaded file lacks a key that the old one has.
    #[error("{0} is missing")]
    KeyMissing(String),
    /// The addresses of the gateways are no list of addresses.
    #[error("peers: {0}")]
    PeersMalformed(#[source] serde_json::Error),
    /// The list of gateways does not fit the platform's settings.
    #[error(
        "peers: {addresses} addresses for {gateways} gateways, this one's number is {local_number}"
    )]
    PeersInconsistent {
        /// Addresses in the list.
        addresses: usize,
        /// Gateways by the platform's settings.
        gateways: u32,
        /// The number of this gateway.
        local_number: u32,
    },
}
