//! Service discovery: the endpoint list by long poll, and the pace at which it is called.

mod client;
mod poll_interval;

pub use client::*;
