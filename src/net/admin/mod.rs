//! Operators: their configuration file, the console, the counters, and whether the gateway serves clients.

pub mod console;
mod console_call;
pub mod counter_report;
pub mod operator_config;
pub mod serving_state;
