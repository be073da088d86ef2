//! The error for a settings object that cannot be used.

use thiserror::Error;

/// Why a settings object cannot be used. The text is shown to operators.
#[derive(Debug, Error)]
pub enum PlatformSettingsError {
    /// The value is not an object of the expected form: a key is missing or has another type.
    #[error("{0}")]
    Malformed(#[source] serde_json::Error),
    /// A time is not positive, or longer than a day.
    #[error("{what} is {nanoseconds} ns")]
    TimeOutOfRange {
        /// Description of the time, for the error text.
        what: String,
        /// Value of the time.
        nanoseconds: i64,
    },
    /// The name of a class is empty or the same as that of another class.
    #[error("two classes or none of the name {name}")]
    ClassName {
        /// Name of the class.
        name: String,
    },
    /// No request could be served, because there are no attempts, no classes or no gateways.
    #[error("no attempts, no classes or no gateways")]
    NothingToServe,
    /// The freshness of a class is missing or unknown.
    #[error("unknown freshness {freshness:?} of class {class}")]
    UnknownFreshness {
        /// Value of the freshness, or `None` if it is missing.
        freshness: Option<String>,
        /// Name of the class.
        class: String,
    },
    /// The effect of a class is unknown.
    #[error("unknown effect {effect} of class {class}")]
    UnknownEffect {
        /// Value of the effect.
        effect: String,
        /// Name of the class.
        class: String,
    },
    /// The value for how members treat reads for which their data are too old is unknown.
    #[error("unknown server checks {0}")]
    UnknownServerChecks(String),
}
