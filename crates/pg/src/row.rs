//! Rows of one column, short or long. A long value is forwarded while it arrives instead of being buffered.

use crate::error::{Malformed, NOT_ONE_VALUE, TOO_LARGE};
use crate::frame::{length_field, HEADER_SIZE};
use crate::tag;

/// Maximum size of a value that is buffered until it is complete, in bytes. Longer values are forwarded while they
/// arrive.
pub const MAX_BUFFERED_VALUE_SIZE: usize = 64 * 1024;
/// Maximum length of a message that is forwarded while it arrives, in bytes.
const MAX_FORWARDED_LENGTH: usize = 64 << 20;
/// Size of the fields before the value in a row of one column, in bytes: type, length, number of columns, value length.
const ROW_HEADER_SIZE: usize = HEADER_SIZE + 2 + 4;
/// Size of the fields that follow a column's name in `RowDescription`, in bytes.
const COLUMN_ATTRIBUTES_SIZE: usize = 18;
/// The field for the number of columns, which is 1 in every row.
const ONE_COLUMN: [u8; 2] = 1u16.to_be_bytes();

/// Returns the size of the first message in bytes if it is a row whose value is longer than
/// [`MAX_BUFFERED_VALUE_SIZE`]. Returns `None` for any other message, and while too few bytes have arrived to decide;
/// see [`may_begin_long_row`].
///
/// # Errors
///
/// Returns an error if the row is too large, does not have exactly one column, or if the lengths of message and value
/// do not match. A mismatch must be detected here, because the first bytes cannot be taken back once they have been
/// forwarded.
pub fn long_row(bytes: &[u8]) -> Result<Option<usize>, Malformed> {
    let (Some(&tag::DATA_ROW), Some(length)) = (bytes.first(), length_field(bytes)) else {
        return Ok(None);
    };
    if length <= ROW_HEADER_SIZE - 1 + MAX_BUFFERED_VALUE_SIZE {
        return Ok(None);
    }
    if length > MAX_FORWARDED_LENGTH {
        return Err(TOO_LARGE);
    }
    let Some(header) = bytes.get(HEADER_SIZE..ROW_HEADER_SIZE) else {
        return Ok(None);
    };
    let (columns, value_length) = header.split_at(ONE_COLUMN.len());
    let expected_value_length = (length + 1 - ROW_HEADER_SIZE) as u32;
    if columns != ONE_COLUMN || value_length != expected_value_length.to_be_bytes() {
        return Err(NOT_ONE_VALUE);
    }
    Ok(Some(length + 1))
}

/// Returns whether these bytes begin with a row that may be long, and too few of them have arrived for [`long_row`] to
/// decide.
pub fn may_begin_long_row(bytes: &[u8]) -> bool {
    let may_be_long = length_field(bytes).is_some_and(|length| length > MAX_BUFFERED_VALUE_SIZE);
    bytes.first() == Some(&tag::DATA_ROW) && bytes.len() < ROW_HEADER_SIZE && may_be_long
}

/// Checks that the body of a `RowDescription` describes one column: its name and 18 bytes of attributes.
pub(crate) fn check_one_column_description(body: &[u8]) -> Result<(), Malformed> {
    let description = body.strip_prefix(&ONE_COLUMN);
    let is_one_column = description.is_some_and(|description| {
        let name_length = description.iter().position(|&byte| byte == 0);
        name_length.is_some_and(|name| description.len() == name + 1 + COLUMN_ATTRIBUTES_SIZE)
    });
    is_one_column.then_some(()).ok_or(Malformed(
        "a description of something other than one column",
    ))
}

/// Returns the value in the body of a `DataRow`. The row must have one column, which is not null.
pub(crate) fn one_column_value(body: &[u8]) -> Result<&[u8], Malformed> {
    let (columns, rest) = body.split_first_chunk().ok_or(NOT_ONE_VALUE)?;
    let (length, value) = rest.split_first_chunk().ok_or(NOT_ONE_VALUE)?;
    // The length of a null value is negative.
    let length = usize::try_from(i32::from_be_bytes(*length)).map_err(|_| NOT_ONE_VALUE)?;
    if *columns != ONE_COLUMN || value.len() != length {
        return Err(NOT_ONE_VALUE);
    }
    Ok(value)
}
