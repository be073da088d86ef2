//! To come.
