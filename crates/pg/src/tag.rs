//! Type bytes of messages. A letter may have another meaning in the other direction.

/// `AuthenticationOk` and other authentication messages, from the server.
pub const AUTHENTICATION: u8 = b'R';
/// `BackendKeyData`, from the server.
pub const BACKEND_KEY_DATA: u8 = b'K';
/// `CommandComplete`, from the server.
pub const COMMAND_COMPLETE: u8 = b'C';
/// `DataRow`, from the server.
pub const DATA_ROW: u8 = b'D';
/// `ErrorResponse`, from the server.
pub const ERROR_RESPONSE: u8 = b'E';
/// `NoticeResponse`, from the server.
pub const NOTICE_RESPONSE: u8 = b'N';
/// `NotificationResponse`, from the server.
pub const NOTIFICATION_RESPONSE: u8 = b'A';
/// `ParameterStatus`, from the server.
pub const PARAMETER_STATUS: u8 = b'S';
/// `Query`, from the client.
pub const QUERY: u8 = b'Q';
/// `ReadyForQuery`, from the server.
pub const READY_FOR_QUERY: u8 = b'Z';
/// `RowDescription`, from the server.
pub const ROW_DESCRIPTION: u8 = b'T';
