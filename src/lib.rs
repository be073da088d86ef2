#![doc = include_str!("../README.md")]
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod api;
pub mod decide;
pub mod settings;
pub mod state;
pub mod wire;
