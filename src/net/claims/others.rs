//! The claim tables of the other processes: which there are, which of their owners run, and what they have claimed.

use super::directory::SharedDirectory;
use super::registry::{ClaimError, RETENTION};
use super::table::{ClaimKey, ClaimState, Generation, TableFile};
use irisrouter::routing::Timestamp;
use std::io;
use std::path::{Path, PathBuf};
use tokio::time::Instant;

/// The table of another process.
#[derive(Debug)]
struct OtherProcess {
    table: TableFile,
    /// The end of the owner; `None` while the owner runs.
    end: Option<OwnerEnd>,
    /// Whether the owner is known to have published all its claims since this process joined.
    has_acknowledged: bool,
}

/// The end of the owner of a table.
#[derive(Debug)]
struct OwnerEnd {
    /// When this process noticed it.
    noticed_at: Instant,
    /// Whether attempts of the owner may still run.
    has_sent_claims: bool,
    /// Position of the last write of any session that the owner knew.
    last_session_write: Option<Timestamp>,
}

/// The tables of all other processes. All methods but [`OtherProcesses::is_empty`] are called with the lock of the
/// directory held, so that no table is created or removed meanwhile.
#[derive(Debug, Default)]
pub(super) struct OtherProcesses {
    processes: Vec<OtherProcess>,
    /// Position of the last session write of the processes whose tables are gone.
    last_session_write_of_ended: Option<Timestamp>,
}

impl OtherProcesses {
    /// Returns whether this process is alone.
    pub(super) fn is_empty(&self) -> bool {
        self.processes.is_empty()
    }

    /// Finds the tables that were created since the last call, and notices which processes have ended. Removes the
    /// tables of ended processes that have no claims which still count.
    pub(super) fn rescan(
        &mut self,
        directory: &SharedDirectory,
        own_table: &Path,
        now: Instant,
    ) -> io::Result<()> {
        for path in directory.table_paths()? {
            if path != own_table && !self.has(&path) {
                self.add(path)?;
            }
        }
        for process in &mut self.processes {
            process.notice_end(now);
        }
        for process in &self.processes {
            let end = process.end.as_ref();
            let position = end.and_then(|end| end.last_session_write);
            self.last_session_write_of_ended = self.last_session_write_of_ended.max(position);
        }
        self.processes.retain(|process| process.still_counts(now));
        Ok(())
    }

    /// Checks that no other process has a claim with this key.
    ///
    /// # Errors
    ///
    /// [`ClaimError::Taken`] if one has it. [`ClaimError::NotAcknowledged`] if a running process has not published its
    /// claims since this process joined in generation `joined_in`.
    pub(super) fn check(&mut self, key: ClaimKey, joined_in: Generation) -> Result<(), ClaimError> {
        for process in &mut self.processes {
            process.check(key, joined_in)?;
        }
        Ok(())
    }

    /// Returns the position of the last session write of the processes that have ended.
    pub(super) fn last_session_write_of_ended(&self) -> Option<Timestamp> {
        self.last_session_write_of_ended
    }

    /// Returns the position of the last write of any session at another process.
    ///
    /// # Errors
    ///
    /// [`ClaimError::NotAcknowledged`] if a running process has not published its position since this process joined in
    /// generation `joined_in`.
    pub(super) fn last_session_write(
        &mut self,
        joined_in: Generation,
    ) -> Result<Option<Timestamp>, ClaimError> {
        let mut last = self.last_session_write_of_ended;
        for process in &mut self.processes {
            process.check_acknowledged(joined_in)?;
            last = last.max(process.table.last_session_write()?);
        }
        Ok(last)
    }

    fn has(&self, path: &Path) -> bool {
        self.processes
            .iter()
            .any(|process| process.table.path() == path)
    }

    fn add(&mut self, path: PathBuf) -> io::Result<()> {
        let table = match TableFile::open(path) {
            Err(error) if error.kind() == io::ErrorKind::NotFound => return Ok(()),
            result => result?,
        };
        if table.is_whole()? || !table.owner_has_ended() {
            self.processes.push(OtherProcess {
                table,
                end: None,
                has_acknowledged: false,
            });
            return Ok(());
        }
        table.remove()
    }
}

impl OtherProcess {
    fn notice_end(&mut self, now: Instant) {
        if self.end.is_none() && self.table.owner_has_ended() {
            self.end = Some(OwnerEnd {
                noticed_at: now,
                // A table that cannot be read counts until the end of its retention.
                has_sent_claims: self.table.has_sent_claims().unwrap_or(true),
                last_session_write: self.table.last_session_write().unwrap_or(None),
            });
        }
    }

    /// Returns whether the table has, or may get, claims that count. Removes its file if it has not.
    fn still_counts(&self, now: Instant) -> bool {
        let Some(end) = &self.end else {
            return true;
        };
        let is_retained = end.has_sent_claims && now < end.noticed_at + RETENTION;
        let still_counts = is_retained && !self.table.is_removed();
        if !still_counts {
            // Where this fails, the next scan finds the file again.
            let _ = self.table.remove();
        }
        still_counts
    }

    fn check(&mut self, key: ClaimKey, joined_in: Generation) -> Result<(), ClaimError> {
        match self.table.find(key)? {
            Some(ClaimState::Sent) => return Err(ClaimError::Taken),
            Some(ClaimState::Unsent) if !self.has_ended() => return Err(ClaimError::Taken),
            Some(ClaimState::Unsent) | None => {}
        }
        self.check_acknowledged(joined_in)
    }

    fn check_acknowledged(&mut self, joined_in: Generation) -> Result<(), ClaimError> {
        self.has_acknowledged = self.has_acknowledged || self.table.acknowledged()? >= joined_in;
        if self.has_acknowledged || self.has_ended() {
            Ok(())
        } else {
            Err(ClaimError::NotAcknowledged)
        }
    }

    /// Returns whether the owner has ended. Asks again if that was not known yet.
    fn has_ended(&self) -> bool {
        self.end.is_some() || self.table.owner_has_ended()
    }
}
