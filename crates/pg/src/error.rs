//! The error of everything that parses.

use thiserror::Error;

/// Bytes that violate the protocol, with the reason as text. The text is sent to clients.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
#[error("{0}")]
pub struct Malformed(pub &'static str);

/// A message is longer than its bound.
pub(crate) const TOO_LARGE: Malformed = Malformed("a message is too large");
/// A `DataRow` has other than one column, or its lengths disagree.
pub(crate) const NOT_ONE_VALUE: Malformed = Malformed("a row that is not one value");
