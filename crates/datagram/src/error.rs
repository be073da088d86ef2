//! Error type of decoding datagrams.

use thiserror::Error;

/// Error returned if a datagram cannot be decoded.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum WireError {
    /// The datagram ends inside a field.
    #[error("the datagram ends inside a field")]
    Short,
    /// The datagram has trailing bytes after its last field, or is longer than
    /// [`MAX_DATAGRAM_BYTES`](crate::MAX_DATAGRAM_BYTES).
    #[error("the datagram is longer than what it says")]
    Long,
    /// The datagram is of another protocol or version. Holds the first byte of the datagram.
    #[error("first byte {0:#04x} is of another kind or version")]
    Version(u8),
    /// A field has a value that this version does not define. Holds the name of the field and the value.
    #[error("unknown {0} {1}")]
    Unknown(&'static str, u8),
    /// A field has an invalid value, which no correct sender encodes. Holds the name of the field.
    #[error("{0} can't be so")]
    Value(&'static str),
}
