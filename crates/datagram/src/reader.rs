//! Reads the fields of a datagram.

use crate::{WireError, MAX_DATAGRAM_BYTES};
use bytes::Buf;
use std::cmp::Ordering;

/// Reads a datagram field by field, in big-endian byte order. Every read is checked against the bytes that remain.
#[derive(Debug)]
pub struct Reader<'a>(&'a [u8]);

impl<'a> Reader<'a> {
    /// A reader placed behind the first byte of a datagram, which has to be `magic`.
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
    /// No byte is left.
    pub fn u8(&mut self) -> Result<u8, WireError> {
        self.0.try_get_u8().map_err(|_| WireError::Short)
    }

    /// Reads an integer of two bytes.
    ///
    /// # Errors
    /// Fewer than two bytes are left.
    pub fn u16(&mut self) -> Result<u16, WireError> {
        self.0.try_get_u16().map_err(|_| WireError::Short)
    }

    /// Reads an integer of four bytes.
    ///
    /// # Errors
    /// Fewer than four bytes are left.
    pub fn u32(&mut self) -> Result<u32, WireError> {
        self.0.try_get_u32().map_err(|_| WireError::Short)
    }

    /// Reads an integer of eight bytes.
    ///
    /// # Errors
    /// Fewer than eight bytes are left.
    pub fn u64(&mut self) -> Result<u64, WireError> {
        self.0.try_get_u64().map_err(|_| WireError::Short)
    }

    /// Reads one byte that is an index into `values`, and returns the value at that index. `field` names the field in
    /// the error.
    ///
    /// # Errors
    /// No byte is left, or `values` has no such index.
    pub fn one_of<T: Copy>(&mut self, field: &'static str, values: &[T]) -> Result<T, WireError> {
        let index = self.u8()?;
        values
            .get(usize::from(index))
            .copied()
            .ok_or(WireError::Unknown(field, index))
    }

    /// Reads a count of one byte, then that many items of `item_bytes` bytes each, up to the end of the datagram.
    ///
    /// The length is compared with the count before any item is read, so memory is only allocated for bytes that arrived.
    ///
    /// # Errors
    /// The datagram has fewer or more bytes than the count announces, or `read_item` fails.
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
    /// Bytes are left.
    pub fn end(&self) -> Result<(), WireError> {
        if self.0.is_empty() {
            Ok(())
        } else {
            Err(WireError::Long)
        }
    }
}
