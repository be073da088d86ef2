//! The parser for a database host's reply to one query, which reads it message by message.

use crate::error::Malformed;
use crate::row::{check_one_column_description, one_column_value};
use crate::tag;

/// Maximum length of a value that is kept because it may be a load report, in bytes.
const MAX_REPORT_LENGTH: usize = 256;

/// The role that a database host reports in `ParameterStatus`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HostRole {
    /// The host accepts writes.
    Writer,
    /// The host is a replica.
    Reader,
}

/// A database host's reply to one query, as far as it has arrived.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Reply {
    /// Progress of the row: which of its messages was received last.
    pub stage: Stage,
    /// SQLSTATE of the `ErrorResponse`; `None` if no error was received.
    pub error: Option<String>,
    /// Whether `ReadyForQuery` was received.
    pub ready: bool,
    /// Role that the host reported; `None` if it reported no role.
    pub role: Option<HostRole>,
    /// Replication position that the host reported, in Unix milliseconds; `None` if it reported no valid position.
    pub position_ms: Option<i64>,
    /// Value of the row; `None` before it was received, and if it is too long for a load report or not UTF-8.
    pub value: Option<String>,
}

/// Progress of the row in a reply. A row consists of `RowDescription`, `DataRow` and `CommandComplete`, in this order.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Stage {
    /// No message of the row was received.
    #[default]
    Begun,
    /// `RowDescription` was received, with one column.
    Described,
    /// `DataRow` was received, with one value.
    Row,
    /// `CommandComplete` was received.
    Complete,
}

impl Reply {
    /// Reads the next message. Returns whether it is part of the row, which is forwarded to the client.
    ///
    /// # Errors
    ///
    /// Returns an error if the message is malformed or out of order. A message out of order must not be forwarded,
    /// because it may belong to the reply to another request.
    pub fn read_message(&mut self, tag: u8, body: &[u8]) -> Result<bool, Malformed> {
        let next_stage = match (tag, self.stage, &self.error) {
            (tag::ROW_DESCRIPTION, Stage::Begun, None) => {
                check_one_column_description(body)?;
                Stage::Described
            }
            (tag::DATA_ROW, Stage::Described, None) => {
                self.read_value(body)?;
                Stage::Row
            }
            (tag::COMMAND_COMPLETE, Stage::Row, None) if is_one_string(body) => Stage::Complete,
            (tag::ERROR_RESPONSE, _, None) => {
                self.error = Some(error_code(body)?);
                return Ok(false);
            }
            (tag::PARAMETER_STATUS, ..) => {
                self.read_parameter(body)?;
                return Ok(false);
            }
            (tag::READY_FOR_QUERY, Stage::Begun | Stage::Complete, _)
            | (tag::READY_FOR_QUERY, _, Some(_))
                if is_transaction_status(body) =>
            {
                self.ready = true;
                return Ok(false);
            }
            (tag::NOTICE_RESPONSE | tag::NOTIFICATION_RESPONSE, ..) => return Ok(false),
            // The host sends these messages at the start of a session.
            (tag::BACKEND_KEY_DATA | tag::AUTHENTICATION, Stage::Begun, None) => return Ok(false),
            _ => return Err(Malformed("a message that does not belong in an answer")),
        };
        self.stage = next_stage;
        Ok(true)
    }

    /// Records a `DataRow` that was forwarded to the client while it arrived, and is not passed to
    /// [`Reply::read_message`].
    ///
    /// # Errors
    ///
    /// Returns an error unless `RowDescription` was received, and neither a `DataRow` nor an `ErrorResponse` after it.
    pub fn record_forwarded_row(&mut self) -> Result<(), Malformed> {
        if self.stage != Stage::Described || self.error.is_some() {
            return Err(Malformed("a row that nothing describes"));
        }
        self.stage = Stage::Row;
        Ok(())
    }

    /// Returns whether a complete row was received, and no error.
    pub fn served(&self) -> bool {
        self.stage == Stage::Complete && self.error.is_none()
    }

    fn read_value(&mut self, body: &[u8]) -> Result<(), Malformed> {
        let value = one_column_value(body)?;
        if value.len() <= MAX_REPORT_LENGTH {
            self.value = std::str::from_utf8(value).ok().map(str::to_string);
        }
        Ok(())
    }

    fn read_parameter(&mut self, body: &[u8]) -> Result<(), Malformed> {
        let mut strings = body
            .split(|&byte| byte == 0)
            .map(|string| std::str::from_utf8(string).unwrap_or_default());
        let (Some(name), Some(value)) = (strings.next(), strings.next()) else {
            return Err(Malformed("a status without a value"));
        };
        match (name, value) {
            ("server_role", "writer") => self.role = Some(HostRole::Writer),
            ("server_role", "reader") => self.role = Some(HostRole::Reader),
            ("commit_clock", position) => {
                self.position_ms = position.parse().ok().filter(|&position| position > 0);
            }
            _ => {}
        }
        Ok(())
    }
}

/// Returns whether a body is a single string with its terminating zero byte.
fn is_one_string(body: &[u8]) -> bool {
    body.split_last()
        .is_some_and(|(end, text)| *end == 0 && !text.contains(&0))
}

/// Returns whether a body is a transaction status: idle, in a transaction, or in a failed transaction.
fn is_transaction_status(body: &[u8]) -> bool {
    matches!(body, [b'I' | b'T' | b'E'])
}

/// Returns the SQLSTATE in the body of an `ErrorResponse`.
fn error_code(body: &[u8]) -> Result<String, Malformed> {
    let code = body
        .split(|&byte| byte == 0)
        .find_map(|field| field.strip_prefix(b"C"));
    let text = code
        .and_then(|code| std::str::from_utf8(code).ok())
        .ok_or(Malformed("an error without a code"))?;
    Ok(text.to_string())
}
