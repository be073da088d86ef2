//! The records that one gateway retains until they expire, both its own and those of other writers.

use crate::KeyHash;
use irisrouter_cluster_types::{GatewayId, Milliseconds, Timestamp, UnixMilliseconds};
use std::collections::{BTreeMap, VecDeque};

/// Time for which a record is retained. Clients do not retry a write for longer than this: they make three tries of 2 s
/// each, with pauses between them.
pub const RETENTION: Milliseconds = Milliseconds(10_000);
/// Maximum number of keys that one gateway retains. Without this limit, the writes of other gateways could exhaust the
/// memory. At the limit, records of new keys are not acknowledged, and their writers do not send the writes.
pub const MAX_RETAINED_KEYS: usize = 65_536;
/// Maximum number of entries for the writers of one key. Any further writers share the last entry, which keeps the
/// earliest time.
const MAX_WRITERS: usize = 8;

/// The time from which the write of one writer may have run.
#[derive(Debug, Clone)]
struct Intent {
    writer: GatewayId,
    first_sent_at: UnixMilliseconds,
}

/// The records of one key.
#[derive(Debug, Clone, Default)]
struct KeyRecord {
    /// One entry for each writer. There are few, because only gateways that received the write have an entry.
    intents: Vec<Intent>,
    expires_at: Timestamp,
}

/// An entry of the expiry queue. After [`RETENTION`] the key is checked, and dropped unless it has been recorded again.
struct RecordedKey {
    recorded_at: Timestamp,
    key: KeyHash,
}

/// All records that one gateway retains.
#[derive(Default)]
pub(crate) struct RetainedIntents {
    records: BTreeMap<KeyHash, KeyRecord>,
    expiry_queue: VecDeque<RecordedKey>,
}

impl RetainedIntents {
    /// Records the time from which the write of `writer` may have run. Returns false, and records nothing, if the key
    /// is new and the limit of keys is reached.
    pub(crate) fn record(
        &mut self,
        now: Timestamp,
        writer: GatewayId,
        key: KeyHash,
        first_sent_at: UnixMilliseconds,
    ) -> bool {
        if !self.records.contains_key(&key) {
            if self.records.len() >= MAX_RETAINED_KEYS {
                return false;
            }
            self.expiry_queue.push_back(RecordedKey {
                recorded_at: now,
                key,
            });
        }
        let record = self.records.entry(key).or_default();
        record.expires_at = now + RETENTION;
        record.add(writer, first_sent_at);
        true
    }

    /// Removes the entry of one writer for a key.
    pub(crate) fn withdraw(&mut self, writer: GatewayId, key: KeyHash) {
        if let Some(record) = self.records.get_mut(&key) {
            record.intents.retain(|intent| intent.writer != writer);
            if record.intents.is_empty() {
                self.records.remove(&key);
            }
        }
    }

    /// Returns the earliest time from which a write with this key may have run, or `None` if there
    /// is no record or it has expired.
    pub(crate) fn first_sent_at(&self, now: Timestamp, key: KeyHash) -> Option<UnixMilliseconds> {
        let record = self.records.get(&key)?;
        if now >= record.expires_at {
            return None;
        }
        let times = record.intents.iter().map(|intent| intent.first_sent_at);
        times.min()
    }

    /// Drops the records that have expired at `now`.
    pub(crate) fn drop_expired(&mut self, now: Timestamp) {
        while let Some(oldest) = self.expiry_queue.front() {
            if now < oldest.recorded_at + RETENTION {
                break;
            }
            let key = oldest.key;
            self.expiry_queue.pop_front();
            let expires_at = self.records.get(&key).map(|record| record.expires_at);
            match expires_at.filter(|&expires_at| expires_at > now) {
                Some(expires_at) => self.expiry_queue.push_back(RecordedKey {
                    recorded_at: expires_at.saturating_sub(RETENTION),
                    key,
                }),
                None => {
                    self.records.remove(&key);
                }
            }
        }
    }

    /// Returns the time at which the next key is checked for expiry.
    pub(crate) fn next_expiry(&self) -> Option<Timestamp> {
        self.expiry_queue
            .front()
            .map(|oldest| oldest.recorded_at + RETENTION)
    }

    /// Returns the number of keys that are retained.
    pub(crate) fn len(&self) -> usize {
        self.records.len()
    }
}

impl KeyRecord {
    fn add(&mut self, writer: GatewayId, first_sent_at: UnixMilliseconds) {
        let full = self.intents.len() >= MAX_WRITERS;
        let writer_index = self
            .intents
            .iter()
            .position(|intent| intent.writer == writer);
        let index = writer_index.or(full.then_some(MAX_WRITERS - 1));
        match index.and_then(|index| self.intents.get_mut(index)) {
            Some(intent) => intent.first_sent_at = intent.first_sent_at.min(first_sent_at),
            None => self.intents.push(Intent {
                writer,
                first_sent_at,
            }),
        }
    }
}
