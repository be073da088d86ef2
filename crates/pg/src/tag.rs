//! Type bytes of messages. The same byte may denote different messages from the server and from the client.

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
/// `ReadyForQuery`, from the server.
pub const READY_FOR_QUERY: u8 = b'Z';
/// `RowDescription`, from the server.
pub const ROW_DESCRIPTION: u8 = b'T';
/// `EmptyQueryResponse`, from the server.
pub const EMPTY_QUERY_RESPONSE: u8 = b'I';

/// `Query`, from the client.
pub const QUERY: u8 = b'Q';
/// `Terminate`, from the client.
pub const TERMINATE: u8 = b'X';
/// `Sync`, from the client. It ends a series of messages of the extended query protocol, such as the ones below.
pub const SYNC: u8 = b'S';
/// `Parse`, from the client.
pub const PARSE: u8 = b'P';
/// `Bind`, from the client.
pub const BIND: u8 = b'B';
/// `Describe`, from the client.
pub const DESCRIBE: u8 = b'D';
/// `Execute`, from the client.
pub const EXECUTE: u8 = b'E';
/// `Close`, from the client.
pub const CLOSE: u8 = b'C';
/// `Flush`, from the client.
pub const FLUSH: u8 = b'H';
/// `FunctionCall`, from the client.
pub const FUNCTION_CALL: u8 = b'F';
