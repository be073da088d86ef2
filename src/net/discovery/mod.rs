//! Service discovery: keeps the endpoint list of database hosts up to date by long poll.

mod client;
mod http;
mod poll_interval;

pub use client::watch;
