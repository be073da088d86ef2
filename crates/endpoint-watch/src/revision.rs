//! The version of the endpoint list.

use serde::{Deserialize, Serialize};

/// The version of the endpoint list, as the discovery service numbers it: it grows with each change. The number alone in
/// documents.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Deserialize, Serialize,
)]
#[serde(transparent)]
pub struct Revision(pub u64);

/// The plain number, as the requests to discovery have it.
impl std::fmt::Display for Revision {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        self.0.fmt(formatter)
    }
}
