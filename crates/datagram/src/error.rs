//! Why a datagram can't be decoded.

use thiserror::Error;

/// Why bytes are no datagram of the expected protocol and version.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum WireError {
    /// The datagram ends inside a field.
    #[error("the datagram ends inside a field")]
    Short,
    /// The datagram has bytes behind its last field, or is longer than
    /// [`MAX_DATAGRAM_BYTES`](crate::MAX_DATAGRAM_BYTES).
    #[error("the datagram is longer than what it says")]
    Long,
    /// The datagram is of another protocol or version. Carries its first byte.
    #[error("first byte {0:#04x} is of another kind or version")]
    Version(u8),
    /// A field has a value that this version does not define. Carries the field's name and the value.
    #[error("unknown {0} {1}")]
    Unknown(&'static str, u8),
    /// A field has a value that no sender can have meant. Carries the field's name.
    #[error("{0} can't be so")]
    Value(&'static str),
}
