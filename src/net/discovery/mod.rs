//! Service discovery: the endpoint list of database hosts, kept up to date by long poll.

mod client;
mod endpoint_list;
mod http;
mod poll_interval;

pub use client::watch;
pub use endpoint_list::{EndpointEntry, EndpointList, EndpointPhase, ListPosition};
