//! Writing of messages.

use bytes::{BufMut, BytesMut};

/// Appends a message whose body the closure writes.
pub fn put(out: &mut BytesMut, tag: u8, body: impl FnOnce(&mut BytesMut)) {
    out.put_u8(tag);
    put_with_length(out, body);
}

/// Appends a body that the closure writes behind its length, which includes the length's own four bytes.
pub(crate) fn put_with_length(out: &mut BytesMut, body: impl FnOnce(&mut BytesMut)) {
    let start = out.len();
    out.put_u32(0);
    body(out);
    let length = (out.len() - start) as u32;
    out[start..start + 4].copy_from_slice(&length.to_be_bytes());
}

/// Appends a string and the zero byte that ends it.
pub(crate) fn put_string(out: &mut BytesMut, text: &[u8]) {
    out.put_slice(text);
    out.put_u8(0);
}
