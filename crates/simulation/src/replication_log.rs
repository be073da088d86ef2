//! The log of commits of a replica set, and the progress of the thread with which each replica applies it, one commit
//! after the other.
//!
//! A position is the time up to which all commits have been applied; that of a primary is the current time. The model
//! has no time steps: a replica is advanced when its position is read, or when its speed or its source changes.

use crate::Ns;
use std::collections::VecDeque;

/// The commits of one set, in order. Each commit has a number, which truncation does not change.
#[derive(Clone, Debug, Default)]
pub struct ReplicationLog {
    first_number: u64,
    commits: VecDeque<Ns>,
}

impl ReplicationLog {
    /// Returns the number that the next commit gets.
    pub fn end(&self) -> u64 {
        self.first_number + self.commits.len() as u64
    }

    /// Appends a commit and returns its number. Commits at the same time keep their order.
    pub fn push(&mut self, at: Ns) -> u64 {
        let at = self.commits.back().map_or(at, |&last| last.max(at));
        self.commits.push_back(at);
        self.end() - 1
    }

    /// Returns the time of a commit; `None` if it was dropped or does not exist yet.
    pub fn time(&self, number: u64) -> Option<Ns> {
        self.commits
            .get(usize::try_from(number.checked_sub(self.first_number)?).ok()?)
            .copied()
    }

    /// Returns the number of commits made at or before a time.
    pub fn count_until(&self, at: Ns) -> u64 {
        self.first_number + self.commits.partition_point(|&c| c <= at) as u64
    }

    /// Drops the commits before a number.
    pub fn forget(&mut self, before: u64) {
        let count = before
            .saturating_sub(self.first_number)
            .min(self.commits.len() as u64);
        self.commits.drain(..count as usize);
        self.first_number += count;
    }
}

/// State of a set's primary, as its replicas observe it.
#[derive(Clone, Copy, Debug)]
pub struct PrimarySignal {
    /// Time since which there is a primary; `None` if there is none.
    pub since: Option<Ns>,
    /// Position at which the last primary was lost.
    pub last_position: Ns,
    /// Time from a commit until a replica receives it.
    pub shipping_delay: Ns,
}

impl PrimarySignal {
    /// Returns the position of a replica that has applied everything it received.
    fn known_position(&self, now: Ns) -> Ns {
        match self.since {
            Some(since) if now - self.shipping_delay >= since => {
                (now - self.shipping_delay).max(self.last_position)
            }
            _ => self.last_position,
        }
    }
}

/// The log that a replica applies.
#[derive(Clone, Copy, Debug)]
pub struct Source<'a> {
    /// Commits of the set.
    pub log: &'a ReplicationLog,
    /// State of the primary.
    pub primary_signal: PrimarySignal,
    /// Time that a replica needs to apply one commit.
    pub apply_time: Ns,
}

/// The thread of a replica that applies the log.
#[derive(Clone, Debug)]
pub struct LogApplier {
    advanced_to: Ns,
    /// Number of the commit that the thread applies or waits for.
    next: u64,
    /// Remaining work of that commit, in nanoseconds at normal speed.
    remaining: f64,
    /// Slowdown factor; 1 is normal speed.
    slowdown: f64,
    /// Number of reasons for which the thread is stopped: one for each long read, and one if the host does not run.
    stop_reasons: u32,
    /// Highest position so far: a position never goes back.
    position: Ns,
    /// Time for which the thread was busy, in nanoseconds.
    busy: f64,
}

impl LogApplier {
    /// Creates a thread that has applied the whole log.
    pub fn new(now: Ns, source: Source<'_>) -> Self {
        LogApplier {
            advanced_to: now,
            next: source.log.end(),
            remaining: source.apply_time as f64,
            slowdown: 1.0,
            stop_reasons: 0,
            position: 0,
            busy: 0.0,
        }
    }

    /// Returns the number of applied commits.
    pub fn applied(&self) -> u64 {
        self.next
    }

    /// Returns the time for which the thread was busy, in nanoseconds.
    pub fn busy(&self) -> f64 {
        self.busy
    }

    /// Sets the slowdown factor, from `now` on.
    pub fn set_slowdown(&mut self, now: Ns, source: Source<'_>, factor: f64) {
        self.advance(now, source);
        self.slowdown = factor.max(0.001);
    }

    /// Adds a reason to stop the thread, or removes one. The thread runs while there is none.
    pub fn stop(&mut self, now: Ns, source: Source<'_>, stopped: bool) {
        self.position(now, source);
        self.stop_reasons = if stopped {
            self.stop_reasons + 1
        } else {
            self.stop_reasons.saturating_sub(1)
        };
    }

    /// Marks the whole log as applied, for a host that gains or loses the role of primary.
    pub fn catch_up(&mut self, now: Ns, source: Source<'_>) {
        self.advanced_to = now;
        self.next = source.log.end();
        self.remaining = source.apply_time as f64;
    }

    /// Applies the commits that can be applied by `now`. A commit that a stop interrupts continues where it was.
    pub fn advance(&mut self, now: Ns, source: Source<'_>) {
        while self.advanced_to < now {
            let Some(commit) = source
                .log
                .time(self.next)
                .filter(|_| self.stop_reasons == 0)
            else {
                self.advanced_to = now;
                return;
            };
            let received_at = commit + source.primary_signal.shipping_delay;
            if received_at > self.advanced_to {
                self.advanced_to = received_at.min(now);
                continue;
            }
            let apply_duration = (self.remaining * self.slowdown).ceil() as Ns;
            if self.advanced_to + apply_duration > now {
                self.remaining -= (now - self.advanced_to) as f64 / self.slowdown;
                self.busy += (now - self.advanced_to) as f64;
                self.advanced_to = now;
                return;
            }
            self.advanced_to += apply_duration;
            self.busy += apply_duration as f64;
            self.next += 1;
            self.remaining = source.apply_time as f64;
        }
    }

    /// Returns the time up to which the replica has applied all commits.
    pub fn position(&mut self, now: Ns, source: Source<'_>) -> Ns {
        self.advance(now, source);
        if self.stop_reasons == 0 {
            let received_position = source.primary_signal.known_position(now);
            // The position stays before the next commit, even if another commit at the same time is applied.
            let applied_position = source
                .log
                .time(self.next)
                .map_or(received_position, |commit| {
                    received_position.min(commit - 1)
                });
            self.position = self.position.max(applied_position);
        }
        self.position
    }
}
