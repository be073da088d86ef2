//! What all datagrams between gateways have in common.
//!
//! Several protocols share one UDP socket, the peer socket. This package holds what they need to do so:
//!
//! - the size limit of the platform, [`MAX_DATAGRAM_BYTES`];
//! - the first byte of each protocol, in [`magic`], by which a received datagram finds its protocol;
//! - [`Reader`], which reads the fields of an untrusted datagram and never reads past its end;
//! - [`encode_items`] and [`decode_items`], for datagrams that carry a list of items of one size.
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
