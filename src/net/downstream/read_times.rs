//! Arrival times of a client's input. A request's timeout counts from the arrival of its last byte, even if the request
//! is processed only after earlier requests have been answered.

use std::collections::VecDeque;
use tokio::time::Instant;

/// Maximum number of reads whose times are recorded separately. Beyond it, the two oldest are merged.
const MAX_READS: usize = 256;

/// Number of bytes that the operating systems of both sides hold for a connection at most. Without this limit, a client
/// that never stops sending would lose time from each of its requests after one interruption.
const MAX_SOCKET_BYTES: usize = 16 << 20;

/// One read, or several that were merged.
#[derive(Clone, Copy, Debug)]
struct Read {
    /// Position after the last byte of the read, counted from the connection's first byte.
    end: u64,
    arrived_at: Instant,
}

/// The arrival times of the bytes that have been received and not been consumed.
#[derive(Debug, Default)]
pub(super) struct ReadTimes {
    reads: VecDeque<Read>,
    received: u64,
    consumed: u64,
}

impl ReadTimes {
    /// Records a read of `length` bytes.
    pub(super) fn record(&mut self, length: usize, arrived_at: Instant) {
        self.received += length as u64;
        self.reads.push_back(Read {
            end: self.received,
            arrived_at,
        });
        if self.reads.len() > MAX_READS {
            self.merge_oldest();
        }
    }

    /// Merges the two oldest reads and gives the result the earlier time. A request may then be given less time than
    /// its timeout, but never more.
    fn merge_oldest(&mut self) {
        let oldest = self.reads.pop_front();
        if let (Some(oldest), Some(next)) = (oldest, self.reads.front_mut()) {
            next.arrived_at = oldest.arrived_at;
        }
    }

    /// Records that the next `length` bytes were processed.
    pub(super) fn consume(&mut self, length: usize) {
        self.consumed += length as u64;
        while self
            .reads
            .front()
            .is_some_and(|read| read.end <= self.consumed)
        {
            self.reads.pop_front();
        }
    }

    /// Removes the last `length` bytes, as if they had not been received.
    pub(super) fn remove_last(&mut self, length: usize) {
        self.received -= length as u64;
        while let Some(read) = self.reads.pop_back() {
            let begin = self
                .reads
                .back()
                .map_or(self.consumed, |previous| previous.end);
            if begin < self.received {
                let end = read.end.min(self.received);
                self.reads.push_back(Read { end, ..read });
                return;
            }
        }
    }

    /// Returns when the last of the next `length` bytes arrived, or `None` if fewer bytes than that have been received.
    pub(super) fn arrival_of(&self, length: usize) -> Option<Instant> {
        let end = self.consumed + length as u64;
        let read = self.reads.iter().find(|read| read.end >= end);
        read.map(|read| read.arrived_at)
    }
}

/// An interruption of reading. Input that is read after it may have arrived at its beginning.
#[derive(Clone, Copy, Debug)]
pub(super) struct ReadingPause {
    /// Time at which reading was interrupted.
    pub(super) since: Instant,
    /// Number of bytes read since the interruption ended.
    bytes_read: usize,
}

impl ReadingPause {
    /// Creates an interruption that began at this time.
    pub(super) fn new(since: Instant) -> Self {
        ReadingPause {
            since,
            bytes_read: 0,
        }
    }

    /// Records a read, and returns whether more input from the time of the interruption may follow.
    pub(super) fn record_read(&mut self, length: usize) -> bool {
        self.bytes_read += length;
        self.bytes_read < MAX_SOCKET_BYTES
    }
}

#[cfg(test)]
#[path = "../../../tests/unit/read_times.rs"]
mod tests;
