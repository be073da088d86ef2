//! Reader of the fields of a datagram.

use crate::{WireError, MAX_DATAGRAM_BYTES};
use bytes::Buf;
use std::cmp::Ordering;

/// Reads a datagram field by field, in big-endian byte order. Every read is checked against the bytes that remain.
#[derive(Debug)]
pub struct Reader<'a>(&'a [u8]);

impl<'a> Reader<'a> {
    /// Creates a reader, and reads the first byte of the datagram, which must be `magic`.
    ///
    /// # Errors
    /// The datagram is empty, too long, or of another protocol or version.
    pub fn new(datagram: &'a [u8], magic: u8) -> Result<Self, WireError> {
        if datagram.len() > MAX_DATAGRAM_BYTES {
            return Err(WireError::Long);
        }
        let mut reader = Self(datagram);
        let first = reader.u8()?;
        if first == magic {
            Ok(reader)
        } else {
            Err(WireError::Version(first))
        }
    }

    /// Reads one byte.
    ///
    /// # Errors
    /// The datagram has no more bytes.
    pub fn u8(&mut self) -> Result<u8, WireError> {
        self.0.try_get_u8().map_err(|_| WireError::Short)
    }

    /// Reads a two-byte integer.
    ///
    /// # Errors
    /// Fewer than two bytes are left.
    pub fn u16(&mut self) -> Result<u16, WireError> {
        self.0.try_get_u16().map_err(|_| WireError::Short)
    }

    /// Reads a four-byte integer.
    ///
    /// # Errors
    /// Fewer than four bytes are left.
    pub fn u32(&mut self) -> Result<u32, WireError> {
        self.0.try_get_u32().map_err(|_| WireError::Short)
    }

    /// Reads an eight-byte integer.
    ///
    /// # Errors
    /// Fewer than eight bytes are left.
    pub fn u64(&mut self) -> Result<u64, WireError> {
        self.0.try_get_u64().map_err(|_| WireError::Short)
    }

    /// Reads one byte as an index into `values`, and returns the value at that index. `field` is the name of the field
    /// in the error.
    ///
    /// # Errors
    /// The datagram has no more bytes, or the index is out of the range of `values`.
    pub fn one_of<T: Copy>(&mut self, field: &'static str, values: &[T]) -> Result<T, WireError> {
        let index = self.u8()?;
        values
            .get(usize::from(index))
            .copied()
            .ok_or(WireError::Unknown(field, index))
    }

    /// Reads a one-byte count, then that many items of `item_bytes` bytes each, which must end at the end of the
    /// datagram.
    ///
    /// The remaining length is compared with the count before any item is read, so that memory is only
    /// allocated for items that have arrived, whatever the count is.
    ///
    /// # Errors
    /// The remaining length does not match the count, or `read_item` fails.
    pub fn items<T>(
        mut self,
        item_bytes: usize,
        read_item: impl Fn(&mut Self) -> Result<T, WireError>,
    ) -> Result<Vec<T>, WireError> {
        let count = usize::from(self.u8()?);
        match self.0.len().cmp(&(count * item_bytes)) {
            Ordering::Less => Err(WireError::Short),
            Ordering::Greater => Err(WireError::Long),
            Ordering::Equal => (0..count).map(|_| read_item(&mut self)).collect(),
        }
    }

    /// Checks that the whole datagram has been read.
    ///
    /// # Errors
    /// The datagram has unread bytes.
    pub fn end(&self) -> Result<(), WireError> {
        if self.0.is_empty() {
            Ok(())
        } else {
            Err(WireError::Long)
        }
    }
}
