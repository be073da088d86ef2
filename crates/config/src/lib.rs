//! Settings files: Jsonnet templates that are evaluated, checked against a JSON Schema derived from the settings' type,
//! and deserialized into it.
//!
//! Loading is all or nothing. It returns settings that have passed every check, or an [`Error`] that names the file or
//! the path within the settings, and what was expected there.
//!
//! This package defines how settings are read and what an error looks like. The meaning of the settings, and checks that
//! a schema cannot express, belong to the settings' type, which implements [`Checked`].

mod error;
mod problem;
mod template;
mod validation;
mod variables;

pub use error::{Error, ReadError, TemplateError};
pub use problem::{Checked, Problem};
pub use template::{load, parameters};
pub use validation::{read, schema};
pub use variables::{VariableError, Variables};
