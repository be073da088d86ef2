//! The layout of claim tables, which other versions of the program read, and the allocation of their slots.

use super::*;

fn table(directory: &tempfile::TempDir, name: &str) -> TableFile {
    TableFile::create(directory.path().join(name)).expect("a new table")
}

/// Returns keys that share a bucket.
fn keys_of_one_bucket(count: usize) -> Vec<ClaimKey> {
    (0..count as u64)
        .map(|number| ClaimKey(7 + number * BUCKETS))
        .collect()
}

/// Guards against a changed layout: a version with another one would find no claim of its neighbor.
#[test]
fn layout_stays_the_same() {
    assert_eq!(ClaimKey::of("9b1f"), ClaimKey(0x449f_ba74_74c1_b378));
    let directory = tempfile::tempdir().expect("a directory");
    let table = table(&directory, "table");
    assert_eq!(table.file.metadata().expect("metadata").len(), 1_048_640);
    table.acknowledge(Generation(5)).expect("written");
    let key = ClaimKey(0x0102_0304_0506_0708);
    let slot = SlotsInUse::default().take(key, 1).expect("a free slot");
    table.write(slot, key, ClaimState::Unsent).expect("written");
    let mut header = [0; 8];
    table.file.read_exact_at(&mut header, 0).expect("a header");
    assert_eq!(header, [5, 0, 0, 0, 0, 0, 0, 0]);
    // 0x708 is the remainder of the key by the number of buckets.
    let offset = 64 + 0x708 * 256;
    let mut bytes = [0; 16];
    table
        .file
        .read_exact_at(&mut bytes, offset)
        .expect("a slot");
    assert_eq!(bytes, [8, 7, 6, 5, 4, 3, 2, 1, 1, 0, 0, 0, 0, 0, 0, 0]);
    table.mark_sent(slot).expect("written");
    table
        .file
        .read_exact_at(&mut bytes, offset)
        .expect("a slot");
    assert_eq!(bytes, [8, 7, 6, 5, 4, 3, 2, 1, 2, 0, 0, 0, 0, 0, 0, 0]);
}

#[test]
fn claim_is_found_until_it_is_cleared() {
    let directory = tempfile::tempdir().expect("a directory");
    let own = table(&directory, "table");
    let other = TableFile::open(directory.path().join("table")).expect("a table");
    let mut slots = SlotsInUse::default();
    let keys = keys_of_one_bucket(3);
    for key in &keys[..2] {
        let slot = slots.take(*key, 16).expect("a free slot");
        own.write(slot, *key, ClaimState::Unsent).expect("written");
    }
    let find = |key| other.find(key).expect("readable");
    assert_eq!(find(keys[0]), Some(ClaimState::Unsent));
    assert_eq!(find(keys[2]), None);
    assert!(!other.has_sent_claims().expect("readable"));
    let second = Slot {
        bucket: 7,
        index: 1,
    };
    own.mark_sent(second).expect("written");
    assert_eq!(find(keys[1]), Some(ClaimState::Sent));
    assert!(other.has_sent_claims().expect("readable"));
    own.clear(second).expect("written");
    assert_eq!(find(keys[1]), None);
    own.clear_all().expect("written");
    assert_eq!(find(keys[0]), None);
}

#[test]
fn slots_of_a_bucket_are_limited_and_reused() {
    let mut slots = SlotsInUse::default();
    let keys = keys_of_one_bucket(20);
    let taken: Vec<Slot> = keys.iter().map_while(|key| slots.take(*key, 99)).collect();
    assert_eq!(taken.len(), SLOTS_PER_BUCKET);
    slots.give_back(taken[3]);
    assert_eq!(slots.take(keys[16], 15), None);
    assert_eq!(slots.take(keys[16], 16), Some(taken[3]));
    assert!(slots.take(ClaimKey(8), 1).is_some(), "another bucket");
    taken.into_iter().for_each(|slot| slots.give_back(slot));
    assert_eq!(slots.buckets.len(), 1);
}

#[test]
fn owner_has_ended_once_its_file_is_closed() {
    let directory = tempfile::tempdir().expect("a directory");
    let own = table(&directory, "table");
    let other = TableFile::open(directory.path().join("table")).expect("a table");
    let third = TableFile::open(directory.path().join("table")).expect("a table");
    assert!(!other.owner_has_ended());
    drop(own);
    assert!(other.owner_has_ended() && third.owner_has_ended());
    assert!(!other.is_removed());
    other.remove().expect("removed");
    assert!(third.is_removed());
}
