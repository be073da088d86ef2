//! The indexes by which plans and load reports name sites and request classes.
//!
//! They follow the order of the platform's configuration, which is the same at every gateway.

use std::fmt;

/// A site, by the index of its zone in the platform's configuration.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct SiteIndex(pub usize);

/// A request class, by its index in the platform's configuration.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct ClassIndex(pub usize);

impl fmt::Display for SiteIndex {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(formatter)
    }
}

impl fmt::Display for ClassIndex {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(formatter)
    }
}
