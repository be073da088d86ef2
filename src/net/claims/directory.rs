//! The directory that the processes of a gateway share: its lock, its generation, and the claim tables in it.

use super::registry::ClaimError;
use super::table::Generation;
use std::fs::{self, File, OpenOptions, TryLockError};
use std::io;
use std::os::unix::fs::{FileExt, OpenOptionsExt};
use std::path::{Path, PathBuf};
use std::process;
use std::rc::Rc;
use std::thread::yield_now;
use std::time::{SystemTime, UNIX_EPOCH};

/// Name of the file that is locked and that contains the generation.
const LOCK_FILE: &str = "irisrouter-claims-1.lock";
/// Beginning and end of the name of a claim table. The number is the version of its layout.
const TABLE_PREFIX: &str = "irisrouter-claims-1-";
const TABLE_SUFFIX: &str = ".table";
/// Permissions of the files: only the user of the gateway reads and writes them.
const FILE_MODE: u32 = 0o600;
/// Number of attempts to take the lock. Another process holds it for a few system calls unless it is stopped meanwhile,
/// which must not stop this one.
const LOCK_ATTEMPTS: usize = 64;

/// The shared directory.
#[derive(Debug)]
pub(super) struct SharedDirectory {
    path: PathBuf,
    lock_file: Rc<File>,
}

/// The lock on the directory, which is free again when this is dropped or the process ends.
#[derive(Debug)]
pub(super) struct DirectoryLock {
    file: Rc<File>,
}

impl SharedDirectory {
    /// Opens the directory, and creates the file of its lock if there is none.
    pub(super) fn open(path: &Path) -> io::Result<Self> {
        let mut options = OpenOptions::new();
        options.read(true).write(true).create(true).truncate(false);
        let lock_file = options.mode(FILE_MODE).open(path.join(LOCK_FILE))?;
        Ok(SharedDirectory {
            path: path.to_path_buf(),
            lock_file: Rc::new(lock_file),
        })
    }

    /// Takes the lock.
    ///
    /// # Errors
    ///
    /// [`ClaimError::LockHeld`] if another process holds it for long.
    pub(super) fn lock(&self) -> Result<DirectoryLock, ClaimError> {
        for _ in 0..LOCK_ATTEMPTS {
            match self.lock_file.try_lock() {
                Ok(()) => {
                    let file = Rc::clone(&self.lock_file);
                    return Ok(DirectoryLock { file });
                }
                Err(TryLockError::WouldBlock) => yield_now(),
                Err(TryLockError::Error(error)) => return Err(error.into()),
            }
        }
        Err(ClaimError::LockHeld)
    }

    /// Returns the generation, which is 0 in a new directory.
    pub(super) fn generation(&self) -> io::Result<Generation> {
        let mut bytes = [0; 8];
        match self.lock_file.read_exact_at(&mut bytes, 0) {
            Err(error) if error.kind() == io::ErrorKind::UnexpectedEof => Ok(Generation(0)),
            result => result.map(|()| Generation(u64::from_le_bytes(bytes))),
        }
    }

    /// Begins the next generation.
    pub(super) fn begin_generation(&self, _lock: &DirectoryLock) -> io::Result<Generation> {
        let next = Generation(self.generation()?.0.wrapping_add(1));
        self.lock_file.write_all_at(&next.0.to_le_bytes(), 0)?;
        Ok(next)
    }

    /// Returns a path for a new table that no other process uses.
    pub(super) fn new_table_path(&self) -> PathBuf {
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
        let nanoseconds = since_epoch.unwrap_or_default().as_nanos();
        let process = process::id();
        let name = format!("{TABLE_PREFIX}{process}-{nanoseconds}{TABLE_SUFFIX}");
        self.path.join(name)
    }

    /// Returns the paths of all tables.
    pub(super) fn table_paths(&self) -> io::Result<Vec<PathBuf>> {
        let mut paths = Vec::new();
        for entry in fs::read_dir(&self.path)? {
            let entry = entry?;
            let name = entry.file_name();
            let is_table = name
                .to_str()
                .is_some_and(|name| name.starts_with(TABLE_PREFIX) && name.ends_with(TABLE_SUFFIX));
            if is_table {
                paths.push(entry.path());
            }
        }
        Ok(paths)
    }
}

impl Drop for DirectoryLock {
    fn drop(&mut self) {
        // The lock of a file that cannot be unlocked ends with the process.
        let _ = self.file.unlock();
    }
}
