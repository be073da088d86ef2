//! When the bytes that a client has sent arrived. The time of a request counts from its last byte, also where it is
//! handled only once the requests before it have their answers.

use std::collections::VecDeque;
use tokio::time::Instant;

/// Reads that are told apart; beyond this number the oldest two count as one.
const MAX_READS: usize = 256;

/// One read, or several that count as one.
#[derive(Clone, Copy, Debug)]
struct Read {
    /// Position behind its last byte, counted from the connection's first byte.
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

    /// The merged read has the earlier time: a request may then be given less time than it has, and never more.
    fn merge_oldest(&mut self) {
        let oldest = self.reads.pop_front();
        if let (Some(oldest), Some(next)) = (oldest, self.reads.front_mut()) {
            next.arrived_at = oldest.arrived_at;
        }
    }

    /// The next `length` bytes have been processed.
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

    /// The last `length` bytes count as not received.
    pub(super) fn forget_last(&mut self, length: usize) {
        self.received -= length as u64;
        while let Some(read) = self.reads.pop_back() {
            let begin = self.reads.back().map_or(self.consumed, |before| before.end);
            if begin < self.received {
                let end = read.end.min(self.received);
                self.reads.push_back(Read { end, ..read });
                return;
            }
        }
    }

    /// When the last of the next `length` bytes arrived; `None` where so many have not been received.
    pub(super) fn arrival_of(&self, length: usize) -> Option<Instant> {
        let end = self.consumed + length as u64;
        let read = self.reads.iter().find(|read| read.end >= end);
        read.map(|read| read.arrived_at)
    }
}

#[cfg(test)]
#[path = "../../../tests/unit/read_times.rs"]
mod tests;
