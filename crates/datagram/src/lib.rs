//! What all datagrams between gateways have in common: the platform's bound, the first byte by which those that share the
//! peer socket are told apart, and reading without trust.

#![forbid(unsafe_code)]

use bytes::Buf;
use std::fmt;

/// The platform's longest datagram between gateways, in bytes.
pub const MAX_DATAGRAM_BYTES: usize = 256;

/// First bytes: the high nibble says whose a datagram is, the low one its version.
pub mod magic {
    /// Who of the gateways is there.
    pub const MEMBERSHIP: u8 = 0xA2;
    /// Who owns which duty.
    pub const LEASES: u8 = 0xB1;
    /// Writes in hand.
    pub const WRITE_INTENTS: u8 = 0xC1;
    /// The plan for lost sites, and the tallies that it is made of.
    pub const SITE_FAILOVER: u8 = 0xD2;
    /// Drains of database hosts.
    pub const DRAINS: u8 = 0xE1;
    /// The fleet's watch of the list of database hosts.
    pub const ENDPOINT_WATCH: u8 = 0xF1;
}

/// Whether a datagram is of this kind, in whatever version.
#[must_use]
pub fn is(datagram: &[u8], mark: u8) -> bool {
    datagram.first().is_some_and(|b| b & 0xf0 == mark & 0xf0)
}

/// Why bytes are no datagram of the kind and version wanted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WireError {
    /// It ends inside a field.
    Short,
    /// It is longer than what it says, or than a datagram may be.
    Long,
    /// Another kind or version; carries the first byte.
    Version(u8),
    /// A field has a value that this version does not know: which, and the value.
    Unknown(&'static str, u8),
    /// A field's value can't be meant.
    Value(&'static str),
}

impl fmt::Display for WireError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Short => write!(f, "the datagram ends inside a field"),
            Self::Long => write!(f, "the datagram is longer than what it says"),
            Self::Version(b) => write!(f, "first byte {b:#04x} is of another kind or version"),
            Self::Unknown(field, value) => write!(f, "unknown {field} {value}"),
            Self::Value(field) => write!(f, "{field} can't be so"),
        }
    }
}

impl std::error::Error for WireError {}

/// Reads a datagram field by field, big-endian; every read is checked against what remains.
#[derive(Debug)]
pub struct Reader<'a>(&'a [u8]);

impl<'a> Reader<'a> {
    /// Behind the first byte, which has to be this mark.
    ///
    /// # Errors
    /// It is too long, or of another kind or version.
    pub fn new(datagram: &'a [u8], mark: u8) -> Result<Self, WireError> {
        if datagram.len() > MAX_DATAGRAM_BYTES {
            return Err(WireError::Long);
        }
        let mut reader = Self(datagram);
        match reader.u8()? {
            first if first == mark => Ok(reader),
            first => Err(WireError::Version(first)),
        }
    }

    /// One byte.
    ///
    /// # Errors
    /// There is none.
    pub fn u8(&mut self) -> Result<u8, WireError> {
        self.0.try_get_u8().map_err(|_| WireError::Short)
    }

    /// Two bytes.
    ///
    /// # Errors
    /// There are fewer.
    pub fn u16(&mut self) -> Result<u16, WireError> {
        self.0.try_get_u16().map_err(|_| WireError::Short)
    }

    /// Four bytes.
    ///
    /// # Errors
    /// There are fewer.
    pub fn u32(&mut self) -> Result<u32, WireError> {
        self.0.try_get_u32().map_err(|_| WireError::Short)
    }

    /// Eight bytes.
    ///
    /// # Errors
    /// There are fewer.
    pub fn u64(&mut self) -> Result<u64, WireError> {
        self.0.try_get_u64().map_err(|_| WireError::Short)
    }

    /// A count, and so many items of `size` bytes each, read by `item`; nothing may follow them.
    ///
    /// # Errors
    /// There are fewer or more bytes than the count says, or an item can't be read.
    pub fn items<T>(
        mut self,
        size: usize,
        item: impl Fn(&mut Self) -> Result<T, WireError>,
    ) -> Result<Vec<T>, WireError> {
        let count = usize::from(self.u8()?);
        // Checked ahead of the reading: what is kept for them is bounded by what came.
        match self.0.len().cmp(&(count * size)) {
            std::cmp::Ordering::Less => Err(WireError::Short),
            std::cmp::Ordering::Greater => Err(WireError::Long),
            std::cmp::Ordering::Equal => (0..count).map(|_| item(&mut self)).collect(),
        }
    }

    /// Nothing is left.
    ///
    /// # Errors
    /// Something is.
    pub fn end(&self) -> Result<(), WireError> {
        if self.0.is_empty() {
            Ok(())
        } else {
            Err(WireError::Long)
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn marks_differ_in_their_kind_and_versions_do_not() {
        let all = [
            magic::MEMBERSHIP,
            magic::LEASES,
            magic::WRITE_INTENTS,
            magic::SITE_FAILOVER,
            magic::DRAINS,
            magic::ENDPOINT_WATCH,
            0x01,
        ];
        for (n, a) in all.iter().enumerate() {
            assert!(all[n + 1..].iter().all(|b| !is(&[*b], *a)), "{a:#x}");
        }
        assert!(is(&[magic::LEASES + 1], magic::LEASES) && !is(&[], magic::LEASES));
    }

    #[test]
    fn items_are_as_many_as_they_say() {
        let read = |bytes: &[u8]| Reader::new(bytes, 7)?.items(2, Reader::u16);
        assert_eq!(read(&[7, 2, 0, 1, 0, 2]), Ok(vec![1, 2]));
        assert_eq!(read(&[7, 2, 0, 1, 0]), Err(WireError::Short));
        assert_eq!(read(&[7, 1, 0, 1, 0]), Err(WireError::Long));
        assert_eq!(read(&[8, 0]), Err(WireError::Version(8)));
        assert_eq!(read(&[7; 257]), Err(WireError::Long));
    }
}
