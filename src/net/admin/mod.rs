//! Operators: their configuration file, their console, and whether the gateway serves clients.

pub mod console;
pub mod operator_config;
pub mod serving_state;
