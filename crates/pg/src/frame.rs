//! Framing: where a message begins and ends in the bytes read so far.

use crate::error::{Malformed, TOO_LARGE};
use crate::tag;
use std::ops::Range;

/// Largest message that is accepted as a whole, in bytes: enough for a value of 64 KiB in hexadecimal with its statement.
pub const MAX_MESSAGE_SIZE: usize = 256 * 1024;
/// Size of a message's length field, which counts itself.
const LENGTH_SIZE: usize = 4;
/// Size of the type byte and the length field.
pub const HEADER_SIZE: usize = 1 + LENGTH_SIZE;

/// A message: its type, and the place of its body in the bytes read so far.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Frame {
    /// The type byte; see [`tag`](crate::tag).
    pub tag: u8,
    /// The place of the body.
    pub body: Range<usize>,
}

/// Returns the first message in these bytes, or `None` while it is incomplete.
///
/// # Errors
///
/// The message is shorter than its own length field, or longer than [`MAX_MESSAGE_SIZE`].
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

/// Returns the size of the first message in bytes, its type byte included, or `None` while its length is incomplete. The
/// length is taken as it stands: [`frame`] checks it.
pub fn message_size(bytes: &[u8]) -> Option<usize> {
    length_field(bytes).map(|length| 1 + length)
}

/// The length field of the first message, or `None` while it is incomplete. It counts itself, but not the type byte.
pub(crate) fn length_field(bytes: &[u8]) -> Option<usize> {
    let length = bytes.get(1..)?.first_chunk()?;
    Some(u32::from_be_bytes(*length) as usize)
}

/// The whole messages at the beginning of these bytes, up to the first one that is malformed or incomplete.
fn whole_messages(bytes: &[u8]) -> impl Iterator<Item = Frame> + '_ {
    let mut rest = bytes;
    std::iter::from_fn(move || {
        let frame = frame(rest).ok().flatten()?;
        rest = &rest[frame.body.end..];
        Some(frame)
    })
}

/// The bodies of the queries among the whole messages at the beginning of these bytes.
pub fn whole_queries(bytes: &[u8]) -> impl Iterator<Item = &[u8]> + '_ {
    let mut begin = 0;
    whole_messages(bytes).filter_map(move |frame| {
        let message = &bytes[begin..];
        begin += frame.body.end;
        (frame.tag == tag::QUERY).then(|| &message[frame.body])
    })
}

/// The size of the whole messages at the beginning of these bytes, all together.
pub fn whole_messages_size(bytes: &[u8]) -> usize {
    whole_messages(bytes).map(|frame| frame.body.end).sum()
}
