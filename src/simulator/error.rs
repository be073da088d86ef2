//! Errors of the adapter.

use crate::platform_settings::PlatformSettingsError;
use thiserror::Error;

/// Why a line of the simulator cannot be answered.
#[derive(Debug, Error)]
pub enum AdapterError {
    /// The line is not a batch of events in JSON.
    #[error("malformed batch: {0}")]
    MalformedBatch(#[source] serde_json::Error),
    /// The reply cannot be written as JSON.
    #[error("cannot write a reply: {0}")]
    Reply(#[source] serde_json::Error),
    /// The settings of a new instance cannot be used.
    #[error(transparent)]
    Settings(#[from] PlatformSettingsError),
    /// The code of an outcome is unknown.
    #[error("unknown outcome {0}")]
    UnknownOutcome(i64),
    /// The status of a member is unknown.
    #[error("unknown status {0} of a member")]
    UnknownStatus(String),
    /// The class of a request is not in the settings.
    #[error("unknown class {0} of a request")]
    UnknownClass(String),
    /// A view refers to a catalog that was never sent.
    #[error("a view names a catalog that was never sent")]
    UnknownCatalog,
}
