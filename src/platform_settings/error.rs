//! Why a settings object cannot be used.

use thiserror::Error;

/// Why a settings object cannot be used. Its text is shown to operators.
#[derive(Debug, Error)]
pub enum PlatformSettingsError {
    /// It is not an object of the expected form: a key is missing or has another type.
    #[error("{0}")]
    Malformed(#[source] serde_json::Error),
    /// A time is not positive, or longer than a day.
    #[error("{what} is {nanoseconds} ns")]
    TimeOutOfRange {
        /// Which time.
        what: String,
        /// Its value.
        nanoseconds: i64,
    },
    /// A class has no name, or that of another class.
    #[error("two classes or none of the name {name}")]
    ClassName {
        /// The name.
        name: String,
    },
    /// Nothing could be served: no attempts, no classes or no gateways.
    #[error("no attempts, no classes or no gateways")]
    NothingToServe,
    /// A class's freshness is missing or not known.
    #[error("unknown freshness {freshness:?} of class {class}")]
    UnknownFreshness {
        /// Its value, if there is one.
        freshness: Option<String>,
        /// The class.
        class: String,
    },
    /// A class's effect is not known.
    #[error("unknown effect {effect} of class {class}")]
    UnknownEffect {
        /// Its value.
        effect: String,
        /// The class.
        class: String,
    },
    /// What members do with reads for which their data are too old is not known.
    #[error("unknown server checks {0}")]
    UnknownServerChecks(String),
}
