//! One request from its arrival to its final answer, and the request classes that it may belong to.

pub mod classes;
mod lifecycle;

pub use lifecycle::*;
