//! The claim table of one process: a file of fixed size that only its owner writes and that the others read.
//!
//! The owner holds a lock on the file for as long as it runs, which tells the others whether it still does. The file
//! begins with a header; behind it are buckets of slots. The bucket of a claim follows from its key, so that a look-up
//! reads one bucket. Every version of the program that uses this name of the file uses this layout.

use irisrouter::routing::Timestamp;
use std::collections::HashMap;
use std::fs::{self, File, OpenOptions};
use std::io;
use std::os::unix::fs::{FileExt, MetadataExt, OpenOptionsExt};
use std::path::{Path, PathBuf};
use xxhash_rust::xxh3::xxh3_64;

/// Size of the header, in bytes. It contains the acknowledged generation and the position of the last session write; the
/// rest is reserved.
const HEADER_BYTES: u64 = 64;
const GENERATION_OFFSET: u64 = 0;
const SESSION_WRITE_OFFSET: u64 = 8;
/// Size of a slot, in bytes: a key and a state.
const SLOT_BYTES: usize = 16;
const SLOTS_PER_BUCKET: usize = 16;
const BUCKET_BYTES: usize = SLOT_BYTES * SLOTS_PER_BUCKET;
const BUCKETS: u64 = 4_096;
/// Number of buckets that are read at once where all of them are read; a divisor of [`BUCKETS`].
const BUCKETS_PER_READ: usize = 64;
const FILE_BYTES: u64 = HEADER_BYTES + BUCKETS * BUCKET_BYTES as u64;
/// Permissions of the file: only the user of the gateway reads and writes it.
const FILE_MODE: u32 = 0o600;

/// Generation of the shared directory; it grows with each process that joins.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Generation(pub(super) u64);

/// The hash of an id, which is the same in every process. It is never 0.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClaimKey(u64);

impl ClaimKey {
    /// Returns the key of an id.
    pub fn of(id: &str) -> Self {
        ClaimKey(xxh3_64(id.as_bytes()).max(1))
    }

    const fn bucket(self) -> u64 {
        self.0 % BUCKETS
    }
}

/// How far the request of a claim has come. Another process respects a claim in either state while the owner runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum ClaimState {
    /// No attempt has been sent, so that the claim ends with its owner.
    Unsent,
    /// A host may run an attempt, also after the owner has ended.
    Sent,
}

impl ClaimState {
    const fn to_bytes(self) -> [u8; 8] {
        let number: u64 = match self {
            ClaimState::Unsent => 1,
            ClaimState::Sent => 2,
        };
        number.to_le_bytes()
    }

    fn from_bytes(bytes: [u8; 8]) -> Self {
        if bytes == ClaimState::Unsent.to_bytes() {
            ClaimState::Unsent
        } else {
            ClaimState::Sent
        }
    }
}

/// The place of a claim in the table.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Slot {
    bucket: u64,
    index: u32,
}

impl Slot {
    const fn offset(self) -> u64 {
        bucket_offset(self.bucket) + self.index as u64 * SLOT_BYTES as u64
    }
}

const fn bucket_offset(bucket: u64) -> u64 {
    HEADER_BYTES + bucket * BUCKET_BYTES as u64
}

/// The slots in use of a process's own table: a bit for each slot, by bucket.
#[derive(Debug, Default)]
pub(super) struct SlotsInUse {
    buckets: HashMap<u64, u16>,
}

impl SlotsInUse {
    /// Takes a free slot for the key. Returns `None` if `limit` slots of its bucket are in use.
    pub(super) fn take(&mut self, key: ClaimKey, limit: u32) -> Option<Slot> {
        let bucket = key.bucket();
        let bits = self.buckets.entry(bucket).or_default();
        if bits.count_ones() >= limit.min(SLOTS_PER_BUCKET as u32) {
            return None;
        }
        let index = bits.trailing_ones();
        *bits |= 1 << index;
        Some(Slot { bucket, index })
    }

    /// Gives a slot back.
    pub(super) fn give_back(&mut self, slot: Slot) {
        let Some(bits) = self.buckets.get_mut(&slot.bucket) else {
            return;
        };
        *bits &= !(1 << slot.index);
        if *bits == 0 {
            self.buckets.remove(&slot.bucket);
        }
    }
}

/// The file of a claim table.
#[derive(Debug)]
pub(super) struct TableFile {
    file: File,
    path: PathBuf,
}

impl TableFile {
    /// Creates an empty table and locks it for this process.
    pub(super) fn create(path: PathBuf) -> io::Result<Self> {
        let mut options = OpenOptions::new();
        options.read(true).write(true).create_new(true);
        let file = options.mode(FILE_MODE).open(&path)?;
        file.set_len(FILE_BYTES)?;
        file.try_lock()?;
        Ok(TableFile { file, path })
    }

    /// Opens the table of another process.
    pub(super) fn open(path: PathBuf) -> io::Result<Self> {
        let file = File::open(&path)?;
        Ok(TableFile { file, path })
    }

    /// Returns whether the file has its whole size. A process that ended while it created the file may have left less.
    pub(super) fn is_whole(&self) -> io::Result<bool> {
        Ok(self.file.metadata()?.len() == FILE_BYTES)
    }

    /// Returns the path of the file.
    pub(super) fn path(&self) -> &Path {
        &self.path
    }

    /// Returns the newest generation for which the owner has published all its claims.
    pub(super) fn acknowledged(&self) -> io::Result<Generation> {
        let mut bytes = [0; 8];
        self.file.read_exact_at(&mut bytes, GENERATION_OFFSET)?;
        Ok(Generation(u64::from_le_bytes(bytes)))
    }

    /// Records that all claims of this process are published, or that it has none.
    pub(super) fn acknowledge(&self, generation: Generation) -> io::Result<()> {
        self.file
            .write_all_at(&generation.0.to_le_bytes(), GENERATION_OFFSET)
    }

    /// Returns the position of the last write of any session that the owner knows; `None` if it knows none.
    pub(super) fn last_session_write(&self) -> io::Result<Option<Timestamp>> {
        let mut bytes = [0; 8];
        self.file.read_exact_at(&mut bytes, SESSION_WRITE_OFFSET)?;
        let nanoseconds = i64::from_le_bytes(bytes);
        Ok((nanoseconds != 0).then_some(Timestamp::from_nanos(nanoseconds)))
    }

    /// Records the position of the last write of any session.
    pub(super) fn write_last_session_write(&self, position: Timestamp) -> io::Result<()> {
        let bytes = position.as_nanos().to_le_bytes();
        self.file.write_all_at(&bytes, SESSION_WRITE_OFFSET)
    }

    /// Returns whether the owner has ended. If that cannot be found out, it counts as running.
    pub(super) fn owner_has_ended(&self) -> bool {
        let locked = self.file.try_lock_shared();
        if locked.is_ok() {
            // The lock was free, and this process needs it no longer. It ends with the file at the latest.
            let _ = self.file.unlock();
        }
        locked.is_ok()
    }

    /// Returns whether the file has been removed from the directory.
    pub(super) fn is_removed(&self) -> bool {
        self.file
            .metadata()
            .is_ok_and(|metadata| metadata.nlink() == 0)
    }

    /// Removes the file from the directory. Processes that have it open can still read it.
    pub(super) fn remove(&self) -> io::Result<()> {
        fs::remove_file(&self.path)
    }

    /// Returns the state of the claim with this key; `Sent` if there are several and one is.
    pub(super) fn find(&self, key: ClaimKey) -> io::Result<Option<ClaimState>> {
        let mut bucket = [0; BUCKET_BYTES];
        self.file
            .read_exact_at(&mut bucket, bucket_offset(key.bucket()))?;
        let claims = claims_in(&bucket).filter(|(claimed, _)| *claimed == key);
        Ok(claims.map(|(_, state)| state).max())
    }

    /// Returns whether the table has a claim whose attempts may still run.
    pub(super) fn has_sent_claims(&self) -> io::Result<bool> {
        let mut buckets = vec![0; BUCKET_BYTES * BUCKETS_PER_READ];
        for number in (0..BUCKETS).step_by(BUCKETS_PER_READ) {
            self.file
                .read_exact_at(&mut buckets, bucket_offset(number))?;
            if claims_in(&buckets).any(|(_, state)| state == ClaimState::Sent) {
                return Ok(true);
            }
        }
        Ok(false)
    }

    /// Enters a claim.
    pub(super) fn write(&self, slot: Slot, key: ClaimKey, state: ClaimState) -> io::Result<()> {
        let mut bytes = [0; SLOT_BYTES];
        let (key_bytes, state_bytes) = bytes.split_at_mut(size_of::<u64>());
        key_bytes.copy_from_slice(&key.0.to_le_bytes());
        state_bytes.copy_from_slice(&state.to_bytes());
        self.file.write_all_at(&bytes, slot.offset())
    }

    /// Records that an attempt of a claim is about to be sent.
    pub(super) fn mark_sent(&self, slot: Slot) -> io::Result<()> {
        let state_offset = slot.offset() + size_of::<u64>() as u64;
        self.file
            .write_all_at(&ClaimState::Sent.to_bytes(), state_offset)
    }

    /// Removes a claim.
    pub(super) fn clear(&self, slot: Slot) -> io::Result<()> {
        self.file.write_all_at(&[0; SLOT_BYTES], slot.offset())
    }

    /// Removes all claims.
    pub(super) fn clear_all(&self) -> io::Result<()> {
        self.file.set_len(HEADER_BYTES)?;
        self.file.set_len(FILE_BYTES)
    }
}

/// Returns the claims in some buckets.
fn claims_in(buckets: &[u8]) -> impl Iterator<Item = (ClaimKey, ClaimState)> + '_ {
    buckets.chunks_exact(SLOT_BYTES).filter_map(|slot| {
        let (key, state) = slot.split_at(size_of::<u64>());
        let key = u64::from_le_bytes(key.try_into().ok()?);
        let state = ClaimState::from_bytes(state.try_into().ok()?);
        (key != 0).then_some((ClaimKey(key), state))
    })
}

#[cfg(test)]
#[path = "../../../tests/unit/claim_table.rs"]
mod tests;
