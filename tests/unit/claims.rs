//! Claims among processes, each of which is a [`Claims`] of its own here: file locks belong to open files.

use super::*;
use std::fs;
use std::os::unix::fs::FileExt;

/// A process with its open claims.
struct Process {
    claims: Claims,
    open: Vec<(ClaimKey, OpenClaim)>,
}

impl Process {
    fn join(directory: &tempfile::TempDir) -> Self {
        let claims = Claims::new(Some(directory.path().to_path_buf()));
        claims.join(Instant::now());
        Process {
            claims,
            open: Vec::new(),
        }
    }

    fn claim(&mut self, id: &str) -> Result<(), ClaimError> {
        self.claim_for(id, ClaimPurpose::InTurn)
    }

    fn claim_for(&mut self, id: &str, purpose: ClaimPurpose) -> Result<(), ClaimError> {
        let (key, claim) = (ClaimKey::of(id), OpenClaim::default());
        self.claims.claim(&claim, key, purpose, Instant::now())?;
        self.open.push((key, claim));
        Ok(())
    }

    fn find(&self, id: &str) -> &(ClaimKey, OpenClaim) {
        let key = ClaimKey::of(id);
        let found = self.open.iter().find(|(open, _)| *open == key);
        found.expect("an open claim")
    }

    fn send(&self, id: &str) {
        let (key, claim) = self.find(id);
        let marked = self.claims.mark_sent(claim, *key, Instant::now());
        marked.expect("marked");
    }

    fn release(&mut self, id: &str) {
        self.claims.release(&self.find(id).1);
        let key = ClaimKey::of(id);
        self.open.retain(|(open, _)| *open != key);
    }

    fn refresh(&self) {
        self.refresh_at(Instant::now());
    }

    fn refresh_at(&self, now: Instant) {
        let open = self.open.iter().map(|(key, claim)| (*key, claim));
        self.claims.refresh(now, open);
    }

    fn is_sharing(&self) -> bool {
        self.claims
            .member
            .borrow()
            .as_ref()
            .expect("joined")
            .is_sharing
    }

    /// Returns whether the table has any claim, by its file: what follows the header of 64 bytes is 0 where it has none.
    fn has_slots_in_use(&self) -> bool {
        let member = self.claims.member.borrow();
        let path = member.as_ref().expect("joined").table.path();
        let bytes = fs::read(path).expect("a table");
        bytes[64..].iter().any(|byte| *byte != 0)
    }
}

fn directory() -> tempfile::TempDir {
    tempfile::tempdir().expect("a directory")
}

fn is_taken(result: &Result<(), ClaimError>) -> bool {
    matches!(result, Err(ClaimError::Taken))
}

fn is_unacknowledged(result: &Result<(), ClaimError>) -> bool {
    matches!(result, Err(ClaimError::NotAcknowledged))
}

#[test]
fn process_that_is_alone_or_has_no_directory_shares_nothing() {
    let directory = directory();
    let mut alone = Process::join(&directory);
    alone.claim("a").expect("claimed");
    alone.send("a");
    alone.refresh();
    assert!(!alone.is_sharing() && !alone.has_slots_in_use());
    let without_directory = Claims::new(None);
    without_directory.join(Instant::now());
    let claim = OpenClaim::default();
    let claimed = without_directory.claim(
        &claim,
        ClaimKey::of("a"),
        ClaimPurpose::InTurn,
        Instant::now(),
    );
    claimed.expect("claimed");
}

#[test]
fn newer_process_claims_once_the_older_has_published_what_it_had_before() {
    let directory = directory();
    let mut older = Process::join(&directory);
    older.claim("a").expect("claimed");
    let mut newer = Process::join(&directory);
    assert!(is_unacknowledged(&newer.claim("a")));
    assert!(is_unacknowledged(&newer.claim("b")));
    older.refresh();
    assert!(is_taken(&newer.claim("a")));
    newer.claim("b").expect("claimed");
    assert!(is_taken(&older.claim("b")));
    newer.release("b");
    older.claim("b").expect("claimed");
}

#[test]
fn sent_claims_of_an_ended_process_count_until_their_retention_has_passed() {
    let directory = directory();
    let mut ending = Process::join(&directory);
    let mut staying = Process::join(&directory);
    ending.refresh();
    ending.claim("sent").expect("claimed");
    ending.claim("unsent").expect("claimed");
    ending.send("sent");
    drop(ending);
    staying.claim("unsent").expect("claimed");
    assert!(is_taken(&staying.claim("sent")));
    let now = Instant::now() + SCAN_INTERVAL;
    staying.refresh_at(now);
    staying.refresh_at(now + RETENTION - SCAN_INTERVAL);
    assert!(staying.is_sharing() && is_taken(&staying.claim("sent")));
    staying.refresh_at(now + RETENTION);
    assert!(!staying.is_sharing() && !staying.has_slots_in_use());
    staying.claim("sent").expect("claimed");
    let files = fs::read_dir(directory.path()).expect("a directory").count();
    assert_eq!(files, 2, "the lock and the table of the process that stays");
}

#[test]
fn process_that_leaves_without_sent_claims_leaves_no_table() {
    let directory = directory();
    let mut process = Process::join(&directory);
    let _other = Process::join(&directory);
    process.refresh();
    process.claim("a").expect("claimed");
    process.claims.leave();
    let files = || fs::read_dir(directory.path()).expect("a directory").count();
    assert_eq!(files(), 2);
    let mut process = Process::join(&directory);
    _other.refresh();
    process.claim("b").expect("claimed");
    process.send("b");
    process.claims.leave();
    assert_eq!(files(), 3, "its attempts may still run");
}

#[test]
fn open_claims_are_published_anew_when_the_next_process_joins() {
    let directory = directory();
    let mut first = Process::join(&directory);
    first.claim("a").expect("claimed");
    for _ in 0..3 {
        let mut next = Process::join(&directory);
        first.refresh();
        assert!(is_taken(&next.claim("a")));
        drop(next);
        first.refresh_at(Instant::now() + SCAN_INTERVAL);
        assert!(!first.is_sharing());
    }
    let next = Process::join(&directory);
    first.refresh();
    first.release("a");
    assert!(!first.has_slots_in_use());
    drop(next);
}

/// Guards against a client that fills the table with requests that wait: those that are served would find no slot.
#[test]
fn waiting_requests_leave_room_for_those_that_are_served() {
    let directory = directory();
    let mut process = Process::join(&directory);
    let _other = Process::join(&directory);
    process.refresh();
    let waiting = (0..100_000)
        .filter(|number| {
            let claimed = process.claim_for(&format!("w{number}"), ClaimPurpose::Waiting);
            claimed.is_ok()
        })
        .count();
    assert!(waiting <= 4_096 * MAX_WAITING_SLOTS as usize);
    for number in 0..5_000 {
        process.claim(&format!("t{number}")).expect("claimed");
    }
}

#[test]
fn nothing_is_claimed_while_another_process_holds_the_lock() {
    let directory = directory();
    let mut process = Process::join(&directory);
    let other = Process::join(&directory);
    process.refresh();
    let lock = other
        .claims
        .member
        .borrow()
        .as_ref()
        .expect("joined")
        .directory
        .lock();
    let lock = lock.expect("free");
    assert!(matches!(process.claim("a"), Err(ClaimError::LockHeld)));
    let mut third = Process::join(&directory);
    assert!(matches!(third.claim("a"), Err(ClaimError::LockHeld)));
    drop(lock);
    process.claim("a").expect("claimed");
    third.refresh();
    other.refresh();
    process.refresh();
    assert!(is_taken(&third.claim("a")));
}

/// Guards against a directory that cannot be used: it stops the writes of a gateway only while it has two processes.
#[test]
fn process_that_cannot_join_claims_only_without_a_neighbor() {
    let mut process = Process {
        claims: Claims::new(Some("/nonexistent/directory".into())),
        open: Vec::new(),
    };
    process.claims.join(Instant::now());
    process.claim("a").expect("claimed");
    process.claims.neighbor_connected();
    assert!(matches!(process.claim("b"), Err(ClaimError::NotJoined)));
    process.claims.neighbor_disconnected();
    process.claim("b").expect("claimed");
}

/// Guards against a file of an interrupted start, or of another program, that stops a gateway.
#[test]
fn files_that_are_no_tables_are_removed_or_ignored() {
    let directory = directory();
    let path = |name: &str| directory.path().join(name);
    fs::write(path("irisrouter-claims-1-7-7.table"), "half a table").expect("written");
    fs::write(path("irisrouter-claims-1-noise"), "noise").expect("written");
    let noise = fs::File::create(path("irisrouter-claims-1-8-8.table")).expect("created");
    noise.set_len(1_048_640).expect("sized");
    noise.write_all_at(&[0xff; 64], 64).expect("written");
    drop(noise);
    let mut process = Process::join(&directory);
    process.claim("a").expect("claimed");
    assert!(!path("irisrouter-claims-1-7-7.table").exists());
    assert!(path("irisrouter-claims-1-noise").exists());
    process.refresh_at(Instant::now() + SCAN_INTERVAL);
    process.refresh_at(Instant::now() + RETENTION + SCAN_INTERVAL);
    assert!(!process.is_sharing());
    assert!(!path("irisrouter-claims-1-8-8.table").exists());
}
