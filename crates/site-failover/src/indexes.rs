//! Indexes that identify sites and request classes in plans and load reports.
//!
//! They are positions in the platform's configuration, which is the same at every gateway.

use std::fmt;

/// Index of a site: the index of its zone in the platform's configuration.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct SiteIndex(pub usize);

/// Index of a request class in the platform's configuration.
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
