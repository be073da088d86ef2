//! The parts of the wire format that all datagrams between gateways share.
//!
//! Several protocols share one UDP socket, the peer socket. This package provides:
//!
//! - [`MAX_DATAGRAM_BYTES`], the platform's limit for the length of a datagram;
//! - [`magic`], the first byte of each protocol, which identifies the protocol of a received datagram;
//! - [`Reader`], which reads the fields of an untrusted datagram, and returns an error instead of reading past its end;
//! - [`encode_items`] and [`decode_items`], the codec of datagrams that carry a list of items of one size.
//!
//! The package does no I/O.

mod error;
mod items;
pub mod magic;
mod reader;

pub use error::WireError;
pub use items::{decode_items, encode_items, max_items, ItemList, WireValue};
pub use magic::has_magic;
pub use reader::Reader;

/// The longest datagram that the platform delivers between gateways, in bytes.
pub const MAX_DATAGRAM_BYTES: usize = 256;
