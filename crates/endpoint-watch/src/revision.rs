//! The revision of the endpoint list.

use serde::{Deserialize, Serialize};

/// The revision of the endpoint list, which the discovery service increases with each change. It is serialized as a
/// plain number.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Deserialize, Serialize,
)]
#[serde(transparent)]
pub struct Revision(pub u64);

/// Writes the plain number, which is the form in requests to the discovery service.
impl std::fmt::Display for Revision {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        self.0.fmt(formatter)
    }
}
