//! The error type of all parsers in this package.

use thiserror::Error;

/// The parsed bytes violate the protocol. The value is the reason, as text that is sent to clients.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
#[error("{0}")]
pub struct Malformed(pub &'static str);

/// A message exceeds its maximum size.
pub(crate) const TOO_LARGE: Malformed = Malformed("a message is too large");
/// A `DataRow` does not have exactly one column, its value is null, or its length fields do not match.
pub(crate) const NOT_ONE_VALUE: Malformed = Malformed("a row that is not one value");
