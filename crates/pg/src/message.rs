//! Helpers that append messages and strings to a buffer.

use bytes::{BufMut, BytesMut};

/// Appends a message with this type byte. The closure appends the body.
pub fn put(out: &mut BytesMut, tag: u8, body: impl FnOnce(&mut BytesMut)) {
    out.put_u8(tag);
    put_with_length(out, body);
}

/// Appends a length field and the body, which the closure appends. The length includes the four bytes of the field
/// itself.
pub(crate) fn put_with_length(out: &mut BytesMut, body: impl FnOnce(&mut BytesMut)) {
    let start = out.len();
    out.put_u32(0);
    body(out);
    let length = (out.len() - start) as u32;
    out[start..start + 4].copy_from_slice(&length.to_be_bytes());
}

/// Appends a string and its terminating zero byte.
pub(crate) fn put_string(out: &mut BytesMut, text: &[u8]) {
    out.put_slice(text);
    out.put_u8(0);
}
