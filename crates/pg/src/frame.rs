//! Framing: finds the bounds of the messages in the bytes that were received so far.

use crate::error::{Malformed, TOO_LARGE};
use crate::tag;
use std::ops::Range;

/// Maximum length of a message that is buffered until it is complete, in bytes. It is enough for a statement with a
/// value of 64 KiB in hexadecimal.
pub const MAX_MESSAGE_SIZE: usize = 256 * 1024;
/// Size of a message's length field, in bytes. The length that the field contains includes this size.
const LENGTH_SIZE: usize = 4;
/// Size of the type byte and the length field, in bytes.
pub const HEADER_SIZE: usize = 1 + LENGTH_SIZE;

/// A complete message: its type, and the range of its body in the received bytes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Frame {
    /// The type byte; see [`tag`](crate::tag).
    pub tag: u8,
    /// Range of the body in the received bytes.
    pub body: Range<usize>,
}

/// Returns the first message in these bytes, or `None` while it is incomplete.
///
/// # Errors
///
/// Returns an error if the length field is smaller than its own size, or larger than [`MAX_MESSAGE_SIZE`].
pub fn frame(bytes: &[u8]) -> Result<Option<Frame>, Malformed> {
    let (Some(&tag), Some(length)) = (bytes.first(), length_field(bytes)) else {
        return Ok(None);
    };
    if length < LENGTH_SIZE {
        return Err(Malformed("a message shorter than its own length"));
    }
    if length > MAX_MESSAGE_SIZE {
        return Err(TOO_LARGE);
    }
    let is_complete = bytes.len() > length;
    Ok(is_complete.then_some(Frame {
        tag,
        body: HEADER_SIZE..1 + length,
    }))
}

/// Returns the size of the first message in bytes, including its type byte, or `None` while the length field is
/// incomplete. The length is not validated here; [`frame`] does that.
pub fn message_size(bytes: &[u8]) -> Option<usize> {
    length_field(bytes).map(|length| 1 + length)
}

/// Returns the length field of the first message, or `None` while the field is incomplete. The length includes the
/// field itself, but not the type byte.
pub(crate) fn length_field(bytes: &[u8]) -> Option<usize> {
    let length = bytes.get(1..)?.first_chunk()?;
    Some(u32::from_be_bytes(*length) as usize)
}

/// Iterates over the complete messages at the start of these bytes, up to the first one that is malformed or
/// incomplete. The range of a body is relative to the start of its own message.
fn complete_messages(bytes: &[u8]) -> impl Iterator<Item = Frame> + '_ {
    let mut rest = bytes;
    std::iter::from_fn(move || {
        let frame = frame(rest).ok().flatten()?;
        rest = &rest[frame.body.end..];
        Some(frame)
    })
}

/// Iterates over the bodies of the `Query` messages among the complete messages at the start of these bytes.
pub fn complete_queries(bytes: &[u8]) -> impl Iterator<Item = &[u8]> + '_ {
    let mut begin = 0;
    complete_messages(bytes).filter_map(move |frame| {
        let message = &bytes[begin..];
        begin += frame.body.end;
        (frame.tag == tag::QUERY).then(|| &message[frame.body])
    })
}

/// Returns the total size of the complete messages at the start of these bytes.
pub fn complete_messages_size(bytes: &[u8]) -> usize {
    complete_messages(bytes).map(|frame| frame.body.end).sum()
}
