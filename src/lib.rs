#![doc = include_str!("../README.md")]
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod platform_settings;
pub mod routing;
pub mod simulator;
