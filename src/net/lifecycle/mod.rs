//! The life of the gateway process.

pub mod shutdown;
