//! The records that one gateway holds, its own and those of other writers, until they expire.

use crate::KeyHash;
use irisrouter_cluster_types::{GatewayId, Milliseconds, Timestamp, UnixMilliseconds};
use std::collections::{BTreeMap, VecDeque};

/// How long a record is retained. Clients do not repeat a write for longer: 2 s for each try, three tries, and pauses.
pub const RETENTION: Milliseconds = Milliseconds(10_000);
/// How many keys one gateway retains. Without this bound, the writes of others could fill the memory. Beyond it nothing is
/// recorded, and writers that get no acknowledgement send nothing.
pub const MAX_RETAINED_KEYS: usize = 65_536;
/// How many writers of one key are told apart. Beyond that the last entry is shared, and keeps the earliest time.
const MAX_WRITERS: usize = 8;

/// When a write of one writer may first have run.
#[derive(Debug, Clone)]
struct Intent {
    writer: GatewayId,
    first_sent_at: UnixMilliseconds,
}

/// The records of one key.
#[derive(Debug, Clone, Default)]
struct KeyRecord {
    /// One for each writer: at most as many as gateways tried the write, which are few.
    intents: Vec<Intent>,
    expires_at: Timestamp,
}

/// When a key was recorded. The key is looked at again after [`RETENTION`], and then dropped unless it was recorded anew.
struct RecordedKey {
    recorded_at: Timestamp,
    key: KeyHash,
}

/// All records of one gateway.
#[derive(Default)]
pub(crate) struct RetainedIntents {
    records: BTreeMap<KeyHash, KeyRecord>,
    expiry_queue: VecDeque<RecordedKey>,
}

impl RetainedIntents {
    /// Records a writer's time. Returns false where there is no room for one more key.
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

    /// Removes a writer's record of a key.
    pub(crate) fn withdraw(&mut self, writer: GatewayId, key: KeyHash) {
        if let Some(record) = self.records.get_mut(&key) {
            record.intents.retain(|intent| intent.writer != writer);
            if record.intents.is_empty() {
                self.records.remove(&key);
            }
        }
    }

    /// The earliest time from which a write of this key may have run.
    pub(crate) fn first_sent_at(&self, now: Timestamp, key: KeyHash) -> Option<UnixMilliseconds> {
        let record = self.records.get(&key)?;
        if now >= record.expires_at {
            return None;
        }
        let times = record.intents.iter().map(|intent| intent.first_sent_at);
        times.min()
    }

    /// Drops what has expired by `now`.
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

    /// When the next key is to be looked at for expiry.
    pub(crate) fn next_expiry(&self) -> Option<Timestamp> {
        self.expiry_queue
            .front()
            .map(|oldest| oldest.recorded_at + RETENTION)
    }

    /// How many keys are retained.
    pub(crate) fn len(&self) -> usize {
        self.records.len()
    }
}

impl KeyRecord {
    fn add(&mut self, writer: GatewayId, first_sent_at: UnixMilliseconds) {
        let full = self.intents.len() >= MAX_WRITERS;
        let of_writer = self
            .intents
            .iter()
            .position(|intent| intent.writer == writer);
        let index = of_writer.or(full.then_some(MAX_WRITERS - 1));
        match index.and_then(|index| self.intents.get_mut(index)) {
            Some(intent) => intent.first_sent_at = intent.first_sent_at.min(first_sent_at),
            None => self.intents.push(Intent {
                writer,
                first_sent_at,
            }),
        }
    }
}
