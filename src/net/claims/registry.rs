//! The claims of this process: joins the other processes of the gateway, and claims ids among them.

use super::directory::{DirectoryLock, SharedDirectory};
use super::others::OtherProcesses;
use super::table::{ClaimKey, ClaimState, Generation, Slot, SlotsInUse, TableFile};
use crate::net::log::log;
use irisrouter::routing::Timestamp;
use std::cell::{Cell, RefCell};
use std::io;
use std::path::{Path, PathBuf};
use std::time::Duration;
use thiserror::Error;
use tokio::time::Instant;

/// How long the claim of a request stays whose client or process has left after an attempt was sent: the host may still
/// run the attempt.
pub const RETENTION: Duration = Duration::from_secs(30);
/// Interval between two calls of [`Claims::refresh`]. A process that joins waits this long for the others.
pub const REFRESH_INTERVAL: Duration = Duration::from_millis(20);
/// Interval between two scans for processes that have ended.
const SCAN_INTERVAL: Duration = Duration::from_millis(100);
/// Maximum number of slots of a bucket that requests use which wait for their turn. The others are for requests that
/// are being served, whose number is limited by that of the connections.
const MAX_WAITING_SLOTS: u32 = 8;
/// Maximum number of slots of a bucket for requests that are being served: all of them.
const MAX_SLOTS: u32 = 16;

/// Why an id cannot be claimed.
#[derive(Debug, Error)]
pub enum ClaimError {
    /// Another process has the claim.
    #[error("another process of this gateway has the claim")]
    Taken,
    /// Another process holds the lock for longer than usual, because it is stopped or has little of a processor.
    #[error("another process of this gateway holds the lock")]
    LockHeld,
    /// Another process has not published its claims yet.
    #[error("another process of this gateway has not published its claims")]
    NotAcknowledged,
    /// This process has not been able to join the others.
    #[error("this process has not joined the others of this gateway")]
    NotJoined,
    /// The table of this process has no slot left for the claim.
    #[error("the claim table is full")]
    TableFull,
    /// The shared directory cannot be used.
    #[error("the shared directory cannot be used: {0}")]
    Io(#[from] io::Error),
}

/// What a claim is made for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClaimPurpose {
    /// A request that is served now.
    InTurn,
    /// A request that waits behind another one on its connection.
    Waiting,
}

impl ClaimPurpose {
    const fn slot_limit(self) -> u32 {
        match self {
            ClaimPurpose::InTurn => MAX_SLOTS,
            ClaimPurpose::Waiting => MAX_WAITING_SLOTS,
        }
    }
}

/// The claim of an open request, as its owner keeps it.
#[derive(Debug, Default)]
pub struct OpenClaim {
    slot: Cell<Option<Slot>>,
    is_sent: Cell<bool>,
}

impl OpenClaim {
    fn state(&self) -> ClaimState {
        if self.is_sent.get() {
            ClaimState::Sent
        } else {
            ClaimState::Unsent
        }
    }
}

/// The claims of this process. Without a shared directory, the process is always alone.
#[derive(Debug, Default)]
pub struct Claims {
    directory: Option<PathBuf>,
    member: RefCell<Option<Member>>,
    /// Number of processes connected to this one that have handed over to it, or that it has handed over to.
    neighbors: Cell<usize>,
    /// Whether the last attempt to join failed because another process held the lock.
    lock_was_held: Cell<bool>,
    /// Whether the last attempt to join or to refresh failed, which is logged once.
    is_failing: Cell<bool>,
}

impl Claims {
    /// Creates the claims of a process whose gateway shares this directory. Nothing is opened yet.
    pub fn new(directory: Option<PathBuf>) -> Self {
        Claims {
            directory,
            ..Claims::default()
        }
    }

    /// Joins the other processes of the gateway. Where that fails, [`Claims::refresh`] tries again.
    pub fn join(&self, now: Instant) {
        let Some(directory) = &self.directory else {
            return;
        };
        let joined = Member::join(directory, now);
        let lock_was_held = matches!(joined, Err(ClaimError::LockHeld));
        self.lock_was_held.set(lock_was_held);
        let result = joined.map(|member| *self.member.borrow_mut() = Some(member));
        self.report(result);
    }

    /// Logs the first of several failures.
    fn report(&self, result: Result<(), ClaimError>) {
        let was_failing = self.is_failing.replace(result.is_err());
        if let (Err(error), false) = (result, was_failing) {
            log!("claims: {error}");
        }
    }

    /// Records that a neighbor in a hot restart is connected. While one is, and the shared directory cannot be used,
    /// nothing can be claimed.
    pub fn neighbor_connected(&self) {
        self.neighbors.set(self.neighbors.get() + 1);
    }

    /// Records that a neighbor in a hot restart is no longer connected.
    pub fn neighbor_disconnected(&self) {
        self.neighbors.set(self.neighbors.get() - 1);
    }

    /// Claims an id unless it is claimed already. Succeeds at once while this process is alone.
    ///
    /// # Errors
    ///
    /// Returns an error if another process has the id, or if it is unknown whether one has.
    pub fn claim(
        &self,
        claim: &OpenClaim,
        key: ClaimKey,
        purpose: ClaimPurpose,
        now: Instant,
    ) -> Result<(), ClaimError> {
        match &mut *self.member.borrow_mut() {
            Some(member) if member.is_sharing && claim.slot.get().is_none() => {
                member.claim(claim, key, purpose, now)
            }
            None if self.lock_was_held.get() => Err(ClaimError::LockHeld),
            None if self.neighbors.get() > 0 => Err(ClaimError::NotJoined),
            _ => Ok(()),
        }
    }

    /// Records that an attempt of the request is about to be sent, after claiming its id if that was not done yet.
    ///
    /// # Errors
    ///
    /// Returns an error if the id cannot be claimed, or if the other processes cannot be told.
    pub fn mark_sent(
        &self,
        claim: &OpenClaim,
        key: ClaimKey,
        now: Instant,
    ) -> Result<(), ClaimError> {
        if claim.is_sent.get() {
            return Ok(());
        }
        self.claim(claim, key, ClaimPurpose::InTurn, now)?;
        if let (Some(member), Some(slot)) = (&*self.member.borrow(), claim.slot.get()) {
            member.table.mark_sent(slot)?;
        }
        claim.is_sent.set(true);
        Ok(())
    }

    /// Releases a claim.
    pub fn release(&self, claim: &OpenClaim) {
        if let (Some(member), Some(slot)) = (&mut *self.member.borrow_mut(), claim.slot.take()) {
            member.release(slot);
        }
    }

    /// Records the position of a session's write, before its client is told of it.
    pub fn record_session_write(&self, position: Timestamp) {
        if let Some(member) = &mut *self.member.borrow_mut() {
            let result = member.record_session_write(Some(position));
            self.report(result.map_err(ClaimError::from));
        }
    }

    /// Returns a position that no session's write at another process is later than; `None` if there is no such write.
    /// Where another process has not told its position, it is `now`.
    pub fn session_writes_elsewhere(&self, now: Timestamp) -> Option<Timestamp> {
        match &mut *self.member.borrow_mut() {
            Some(member) => member.session_writes_elsewhere().unwrap_or(Some(now)),
            None => (self.neighbors.get() > 0 || self.lock_was_held.get()).then_some(now),
        }
    }

    /// Notices processes that have joined or ended. Publishes the open claims once this process is no longer alone.
    pub fn refresh<'a>(
        &self,
        now: Instant,
        open_claims: impl Iterator<Item = (ClaimKey, &'a OpenClaim)>,
    ) {
        if self.member.borrow().is_none() {
            self.join(now);
        }
        let Some(member) = &mut *self.member.borrow_mut() else {
            return;
        };
        match member.refresh(now, open_claims) {
            // The next call tries again.
            Err(ClaimError::LockHeld) => {}
            result => self.report(result),
        }
    }

    /// Removes the table of this process if no claim in it outlasts the process. Called when the process ends.
    pub fn leave(&self) {
        if let Some(member) = &*self.member.borrow() {
            member.leave();
        }
    }
}

/// A process that has joined the others.
#[derive(Debug)]
struct Member {
    directory: SharedDirectory,
    table: TableFile,
    slots: SlotsInUse,
    others: OtherProcesses,
    /// The generation that began with this process.
    joined_in: Generation,
    /// The generation up to which the other processes are known.
    known: Generation,
    /// Whether this process publishes its claims and respects those of others.
    is_sharing: bool,
    /// Position of the last session write at this process or at one that has ended.
    last_session_write: Option<Timestamp>,
    next_scan: Instant,
    /// Slots of released claims that could not be cleared yet.
    uncleared: Vec<Slot>,
}

impl Member {
    fn join(path: &Path, now: Instant) -> Result<Self, ClaimError> {
        let directory = SharedDirectory::open(path)?;
        let lock = directory.lock()?;
        let table = TableFile::create(directory.new_table_path())?;
        let generation = directory.begin_generation(&lock)?;
        table.acknowledge(generation)?;
        let mut others = OtherProcesses::default();
        others.rescan(&directory, table.path(), now)?;
        let member = Member {
            is_sharing: !others.is_empty(),
            last_session_write: others.last_session_write_of_ended(),
            directory,
            table,
            slots: SlotsInUse::default(),
            others,
            joined_in: generation,
            known: generation,
            next_scan: now + SCAN_INTERVAL,
            uncleared: Vec::new(),
        };
        member.publish_session_write()?;
        Ok(member)
    }

    fn claim(
        &mut self,
        claim: &OpenClaim,
        key: ClaimKey,
        purpose: ClaimPurpose,
        now: Instant,
    ) -> Result<(), ClaimError> {
        let lock = self.directory.lock()?;
        let generation = self.directory.generation()?;
        if generation != self.known {
            self.meet_others(&lock, generation, now)?;
        }
        self.others.check(key, self.joined_in)?;
        self.enter(claim, key, purpose)
    }

    /// Raises the position of the last session write, and publishes it to the other processes if there are any.
    fn record_session_write(&mut self, position: Option<Timestamp>) -> io::Result<()> {
        if position <= self.last_session_write {
            return Ok(());
        }
        self.last_session_write = position;
        if self.is_sharing {
            self.publish_session_write()?;
        }
        Ok(())
    }

    fn publish_session_write(&self) -> io::Result<()> {
        self.last_session_write.map_or(Ok(()), |position| {
            self.table.write_last_session_write(position)
        })
    }

    fn session_writes_elsewhere(&mut self) -> Result<Option<Timestamp>, ClaimError> {
        if !self.is_sharing {
            return Ok(self.others.last_session_write_of_ended());
        }
        let generation = self.directory.generation()?;
        if generation != self.known {
            let lock = self.directory.lock()?;
            self.meet_others(&lock, generation, Instant::now())?;
        }
        self.others.last_session_write(self.joined_in)
    }

    /// Enters a claim into the table of this process.
    fn enter(
        &mut self,
        claim: &OpenClaim,
        key: ClaimKey,
        purpose: ClaimPurpose,
    ) -> Result<(), ClaimError> {
        let slot = self.slots.take(key, purpose.slot_limit());
        let slot = slot.ok_or(ClaimError::TableFull)?;
        if let Err(error) = self.table.write(slot, key, claim.state()) {
            self.release(slot);
            return Err(error.into());
        }
        claim.slot.set(Some(slot));
        Ok(())
    }

    fn release(&mut self, slot: Slot) {
        match self.table.clear(slot) {
            Ok(()) => self.slots.give_back(slot),
            Err(_) => self.uncleared.push(slot),
        }
    }

    fn refresh<'a>(
        &mut self,
        now: Instant,
        open_claims: impl Iterator<Item = (ClaimKey, &'a OpenClaim)>,
    ) -> Result<(), ClaimError> {
        for slot in std::mem::take(&mut self.uncleared) {
            self.release(slot);
        }
        let generation = self.directory.generation()?;
        let scan_is_due = self.is_sharing && now >= self.next_scan;
        if generation == self.known && !scan_is_due {
            return Ok(());
        }
        let lock = self.directory.lock()?;
        let generation = self.directory.generation()?;
        self.next_scan = now + SCAN_INTERVAL;
        if self.is_sharing {
            self.meet_others(&lock, generation, now)?;
            return self.stop_sharing_if_alone(open_claims);
        }
        self.others
            .rescan(&self.directory, self.table.path(), now)?;
        if !self.others.is_empty() {
            self.publish(open_claims)?;
            self.is_sharing = true;
            log!("claims: shared with another process of this gateway");
        }
        self.acknowledge(generation)
    }

    /// Finds the tables of newer processes, while the claims of this process are published.
    fn meet_others(
        &mut self,
        _lock: &DirectoryLock,
        generation: Generation,
        now: Instant,
    ) -> Result<(), ClaimError> {
        self.others
            .rescan(&self.directory, self.table.path(), now)?;
        self.record_session_write(self.others.last_session_write_of_ended())?;
        self.acknowledge(generation)
    }

    fn acknowledge(&mut self, generation: Generation) -> Result<(), ClaimError> {
        if generation != self.known {
            self.table.acknowledge(generation)?;
            self.known = generation;
        }
        Ok(())
    }

    /// Enters all open claims into the table, first those that must not be left out.
    fn publish<'a>(
        &mut self,
        open_claims: impl Iterator<Item = (ClaimKey, &'a OpenClaim)>,
    ) -> Result<(), ClaimError> {
        self.publish_session_write()?;
        self.table.clear_all()?;
        self.slots = SlotsInUse::default();
        self.uncleared.clear();
        let (sent, unsent): (Vec<_>, Vec<_>) = open_claims
            // An earlier call may have failed half way.
            .inspect(|(_, claim)| claim.slot.set(None))
            .partition(|(_, claim)| claim.is_sent.get());
        for (key, claim) in sent {
            self.enter(claim, key, ClaimPurpose::InTurn)?;
        }
        for (key, claim) in unsent {
            match self.enter(claim, key, ClaimPurpose::Waiting) {
                // It is claimed again before an attempt is sent.
                Err(ClaimError::TableFull) => {}
                result => result?,
            }
        }
        Ok(())
    }

    fn stop_sharing_if_alone<'a>(
        &mut self,
        open_claims: impl Iterator<Item = (ClaimKey, &'a OpenClaim)>,
    ) -> Result<(), ClaimError> {
        if !self.others.is_empty() {
            return Ok(());
        }
        self.table.clear_all()?;
        self.slots = SlotsInUse::default();
        self.uncleared.clear();
        self.is_sharing = false;
        for (_, claim) in open_claims {
            claim.slot.set(None);
        }
        log!("claims: the other processes of this gateway have ended");
        Ok(())
    }

    fn leave(&self) {
        // Without the lock, another process may be reading the tables; it removes this one when it finds it.
        let Ok(_lock) = self.directory.lock() else {
            return;
        };
        if self.table.has_sent_claims().is_ok_and(|sent| !sent) {
            // Where this fails, the next process removes the file.
            let _ = self.table.remove();
        }
    }
}

#[cfg(test)]
#[path = "../../../tests/unit/claims.rs"]
mod tests;
