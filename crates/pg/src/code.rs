//! SQLSTATE codes that the gateway sends or reads.

/// The client violated the protocol.
pub const PROTOCOL_VIOLATION: &str = "08P01";
/// The statement lacks information that the gateway needs.
pub const SYNTAX_ERROR: &str = "42601";
/// The client used a part of the protocol that the gateway does not support.
pub const FEATURE_NOT_SUPPORTED: &str = "0A000";
/// The request was rejected before it ran, so that a retry is safe.
pub const TOO_MANY_CONNECTIONS: &str = "53300";
/// The query was cancelled at its client's request.
pub const QUERY_CANCELED: &str = "57014";
/// The request failed, and may or may not have run.
pub const INTERNAL_ERROR: &str = "XX000";
/// A health check had an epoch that is no longer current.
pub const SERIALIZATION_FAILURE: &str = "40001";
/// A write reached a host that is not the primary.
pub const READ_ONLY: &str = "25006";
/// The host's replication is too far behind for this read.
pub const SNAPSHOT_TOO_OLD: &str = "72000";
/// The server does not accept queries at present.
pub const CANNOT_CONNECT_NOW: &str = "57P03";
