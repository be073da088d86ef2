//! The records that one gateway retains until they expire, both its own and those of other writers.

use crate::{KeyHash, SequenceNumber};
use irisrouter_cluster_types::{GatewayId, Milliseconds, Timestamp, UnixMilliseconds};
use std::collections::{BTreeMap, VecDeque};

/// Time for which a record is retained. Clients do not retry a write for longer than this: they make three tries of 2 s
/// each, with pauses between them.
pub const RETENTION: Milliseconds = Milliseconds(10_000);
/// Maximum number of keys that one gateway retains. Without this limit, the writes of other gateways could exhaust the
/// memory. At the limit, records of new keys are not acknowledged, and their writers do not send the writes.
pub const MAX_RETAINED_KEYS: usize = 65_536;
/// Maximum number of intents that are retained for one key. Any further intents share the last entry, which keeps the
/// earliest time and cannot be withdrawn.
const MAX_INTENTS: usize = 8;

/// Identifies an intent among those of all gateways.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct IntentId {
    /// Gateway that sends the write.
    pub(crate) writer: GatewayId,
    /// Number of the intent at that gateway.
    pub(crate) number: SequenceNumber,
}

/// Whether the write of an intent may have run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum IntentState {
    /// It may have run from this time on.
    MayHaveRunSince(UnixMilliseconds),
    /// It never ran. The entry is retained because a record of the intent may still arrive.
    Withdrawn,
}

/// An intent of one key.
#[derive(Debug, Clone, Copy)]
struct Intent {
    /// `None` if several intents share the entry.
    id: Option<IntentId>,
    state: IntentState,
}

/// The records of one key.
#[derive(Debug, Clone, Default)]
struct KeyRecord {
    /// There are few, because only gateways that received the write have an entry.
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
    /// Records the time from which the write of an intent may have run, unless the intent has been withdrawn. Returns
    /// false, and records nothing, if the key is new and the limit of keys is reached.
    pub(crate) fn record(
        &mut self,
        now: Timestamp,
        id: IntentId,
        key: KeyHash,
        first_sent_at: UnixMilliseconds,
    ) -> bool {
        let record = self.record_of(now, key);
        record.is_some_and(|record| {
            record.add(id, first_sent_at);
            true
        })
    }

    /// Withdraws an intent, whether or not its record has arrived.
    pub(crate) fn withdraw(&mut self, now: Timestamp, id: IntentId, key: KeyHash) {
        // At the limit of keys, a record that arrives later is kept, and its write counts as one that may have run.
        if let Some(record) = self.record_of(now, key) {
            record.withdraw(id);
        }
    }

    /// Returns the record of a key, which is retained from `now` on. Returns `None` if the key is new and the limit of
    /// keys is reached.
    fn record_of(&mut self, now: Timestamp, key: KeyHash) -> Option<&mut KeyRecord> {
        if !self.records.contains_key(&key) {
            if self.records.len() >= MAX_RETAINED_KEYS {
                return None;
            }
            self.expiry_queue.push_back(RecordedKey {
                recorded_at: now,
                key,
            });
        }
        let record = self.records.entry(key).or_default();
        record.expires_at = now + RETENTION;
        Some(record)
    }

    /// Returns the earliest time from which a write with this key may have run, or `None` if there
    /// is no record or it has expired.
    pub(crate) fn first_sent_at(&self, now: Timestamp, key: KeyHash) -> Option<UnixMilliseconds> {
        let record = self.records.get(&key)?;
        if now >= record.expires_at {
            return None;
        }
        record.first_sent_at()
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
    fn add(&mut self, id: IntentId, first_sent_at: UnixMilliseconds) {
        if let Some(intent) = self.find(id) {
            intent.allow_from(first_sent_at);
            return;
        }
        self.make_room();
        if self.intents.len() < MAX_INTENTS {
            self.intents.push(Intent {
                id: Some(id),
                state: IntentState::MayHaveRunSince(first_sent_at),
            });
        } else if let Some(shared) = self.intents.last_mut() {
            shared.id = None;
            shared.allow_from(first_sent_at);
        }
    }

    fn withdraw(&mut self, id: IntentId) {
        if let Some(intent) = self.find(id) {
            intent.state = IntentState::Withdrawn;
            return;
        }
        self.make_room();
        if self.intents.len() < MAX_INTENTS {
            self.intents.push(Intent {
                id: Some(id),
                state: IntentState::Withdrawn,
            });
        }
    }

    fn find(&mut self, id: IntentId) -> Option<&mut Intent> {
        self.intents.iter_mut().find(|intent| intent.id == Some(id))
    }

    /// Removes the oldest withdrawn intent if there is no room for another one.
    fn make_room(&mut self) {
        let is_withdrawn = |intent: &Intent| intent.state == IntentState::Withdrawn;
        if self.intents.len() >= MAX_INTENTS {
            if let Some(oldest) = self.intents.iter().position(is_withdrawn) {
                self.intents.remove(oldest);
            }
        }
    }

    /// Returns the earliest time from which a write may have run; `None` if all intents have been withdrawn.
    fn first_sent_at(&self) -> Option<UnixMilliseconds> {
        let times = self.intents.iter().filter_map(|intent| match intent.state {
            IntentState::MayHaveRunSince(time) => Some(time),
            IntentState::Withdrawn => None,
        });
        times.min()
    }
}

impl Intent {
    /// Records that the write may have run from this time on, unless the intent has been withdrawn.
    fn allow_from(&mut self, time: UnixMilliseconds) {
        if let IntentState::MayHaveRunSince(earliest) = &mut self.state {
            *earliest = time.min(*earliest);
        }
    }
}
