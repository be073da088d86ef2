//! A set's log of commits, and how far each replica has applied it: one thread, one commit after the other.
//!
//! A position is a time up to which all commits have been applied; a primary stands at the present. Nothing is stepped:
//! a replica is brought forward when somebody asks, or when what it is bound by changes.

use crate::Ns;
use std::collections::VecDeque;

/// The commits of one set, in order, by the number that each has for ever.
#[derive(Clone, Debug, Default)]
pub struct ReplicationLog {
    base: u64,
    commits: VecDeque<Ns>,
}

impl ReplicationLog {
    /// The number of the next commit.
    pub fn end(&self) -> u64 {
        self.base + self.commits.len() as u64
    }

    /// Adds a commit. Two at one moment keep their order.
    pub fn push(&mut self, at: Ns) -> u64 {
        let at = self.commits.back().map_or(at, |&last| last.max(at));
        self.commits.push_back(at);
        self.end() - 1
    }

    /// When a commit was made; nothing for those that are forgotten or not there yet.
    pub fn time(&self, number: u64) -> Option<Ns> {
        self.commits
            .get(usize::try_from(number.checked_sub(self.base)?).ok()?)
            .copied()
    }

    /// The number of commits made at or before a time.
    pub fn until(&self, at: Ns) -> u64 {
        self.base + self.commits.partition_point(|&c| c <= at) as u64
    }

    /// Forgets the commits before a number.
    pub fn forget(&mut self, before: u64) {
        let count = before
            .saturating_sub(self.base)
            .min(self.commits.len() as u64);
        self.commits.drain(..count as usize);
        self.base += count;
    }
}

/// What the primary of a set is heard to do: until when, and since when.
#[derive(Clone, Copy, Debug)]
pub struct PrimarySignal {
    /// There is one since then; nothing where there is none.
    pub since: Option<Ns>,
    /// Where positions stood when the last one was lost.
    pub stood: Ns,
    /// The log's way to a replica.
    pub ship: Ns,
}

impl PrimarySignal {
    /// How far a replica that has applied all knows the log to reach.
    fn at(&self, now: Ns) -> Ns {
        match self.since {
            Some(since) if now - self.ship >= since => (now - self.ship).max(self.stood),
            _ => self.stood,
        }
    }
}

/// What a replica follows.
#[derive(Clone, Copy, Debug)]
pub struct Source<'a> {
    /// The set's commits.
    pub log: &'a ReplicationLog,
    /// The primary.
    pub primary_signal: PrimarySignal,
    /// Time to apply one commit.
    pub cost: Ns,
}

/// A replica's one applying thread.
#[derive(Clone, Debug)]
pub struct LogApplier {
    at: Ns,
    /// The commit that it applies or waits for.
    next: u64,
    /// What is left of it, in nanoseconds at its usual pace.
    left: f64,
    /// So many times slower than usual.
    slow: f64,
    /// Long reads that stop it, and a silence counts as one.
    stops: u32,
    /// Its position never goes back.
    position: Ns,
    /// Time that it was busy.
    busy: f64,
}

impl LogApplier {
    /// One that has applied all.
    pub fn new(now: Ns, from: Source<'_>) -> Self {
        let (next, left) = (from.log.end(), from.cost as f64);
        LogApplier {
            at: now,
            next,
            left,
            slow: 1.0,
            stops: 0,
            position: 0,
            busy: 0.0,
        }
    }

    /// Commits that it has applied, by the number of the next one.
    pub fn applied(&self) -> u64 {
        self.next
    }

    /// How long it has been busy, in nanoseconds.
    pub fn busy(&self) -> f64 {
        self.busy
    }

    /// Applies at a pace so many times slower, from now on.
    pub fn slow(&mut self, now: Ns, from: Source<'_>, times: f64) {
        self.advance(now, from);
        self.slow = times.max(0.001);
    }

    /// One more reason to stand still, or one less.
    pub fn stop(&mut self, now: Ns, from: Source<'_>, stop: bool) {
        self.position(now, from);
        self.stops = if stop {
            self.stops + 1
        } else {
            self.stops.saturating_sub(1)
        };
    }

    /// Has all that there is: it becomes the primary, or copies it.
    pub fn catch_up(&mut self, now: Ns, from: Source<'_>) {
        (self.at, self.next, self.left) = (now, from.log.end(), from.cost as f64);
    }

    /// Applies what can be applied by now. What a stop interrupts goes on from where it was.
    pub fn advance(&mut self, now: Ns, from: Source<'_>) {
        while self.at < now {
            let Some(commit) = from.log.time(self.next).filter(|_| self.stops == 0) else {
                self.at = now;
                return;
            };
            let came = commit + from.primary_signal.ship;
            if came > self.at {
                self.at = came.min(now);
                continue;
            }
            let need = (self.left * self.slow).ceil() as Ns;
            if self.at + need > now {
                self.left -= (now - self.at) as f64 / self.slow;
                self.busy += (now - self.at) as f64;
                self.at = now;
                return;
            }
            self.at += need;
            self.busy += need as f64;
            self.next += 1;
            self.left = from.cost as f64;
        }
    }

    /// Up to when it has applied all commits.
    pub fn position(&mut self, now: Ns, from: Source<'_>) -> Ns {
        self.advance(now, from);
        if self.stops == 0 {
            let known = from.primary_signal.at(now);
            // What it has not applied it has not reached; also where another commit of that moment is applied.
            let reached = from
                .log
                .time(self.next)
                .map_or(known, |commit| known.min(commit - 1));
            self.position = self.position.max(reached);
        }
        self.position
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::{MS, SECOND};

    fn from(log: &ReplicationLog, since: Option<Ns>, stood: Ns) -> Source<'_> {
        Source {
            log,
            primary_signal: PrimarySignal {
                since,
                stood,
                ship: 5 * MS,
            },
            cost: 10 * MS,
        }
    }

    #[test]
    fn a_replica_applies_one_after_the_other() {
        let mut log = ReplicationLog::default();
        let mut a = LogApplier::new(0, from(&log, Some(0), 0));
        assert_eq!(a.position(SECOND, from(&log, Some(0), 0)), SECOND - 5 * MS);
        (0..3).for_each(|_| {
            log.push(SECOND);
        });
        let at = |a: &mut LogApplier, ms: Ns| a.position(SECOND + ms * MS, from(&log, Some(0), 0));
        assert_eq!(at(&mut a, 4), SECOND - MS, "nothing of it has come");
        assert_eq!(at(&mut a, 34), SECOND - 1, "the third is not applied");
        assert_eq!(a.applied(), 2);
        assert_eq!(
            at(&mut a, 35),
            SECOND + 30 * MS,
            "all three, 15 ms and 30 ms after they came"
        );
        assert_eq!(a.applied(), 3);
    }

    #[test]
    fn it_stands_still_while_stopped_and_goes_on_where_it_was() {
        let mut log = ReplicationLog::default();
        let mut a = LogApplier::new(0, from(&log, Some(0), 0));
        log.push(SECOND);
        a.stop(SECOND + 9 * MS, from(&log, Some(0), 0), true);
        let stood = a.position(SECOND + 500 * MS, from(&log, Some(0), 0));
        assert_eq!(stood, SECOND - 1);
        a.stop(SECOND + 500 * MS, from(&log, Some(0), 0), false);
        a.advance(SECOND + 506 * MS - 1, from(&log, Some(0), 0));
        assert_eq!(a.applied(), 0);
        a.advance(SECOND + 506 * MS, from(&log, Some(0), 0));
        assert_eq!(a.applied(), 1);
    }

    #[test]
    fn without_a_primary_positions_stand_still_and_never_go_back() {
        let log = ReplicationLog::default();
        let mut a = LogApplier::new(0, from(&log, Some(0), 0));
        assert_eq!(a.position(SECOND, from(&log, Some(0), 0)), SECOND - 5 * MS);
        assert_eq!(a.position(2 * SECOND, from(&log, None, SECOND)), SECOND);
        let again = from(&log, Some(3 * SECOND), SECOND);
        assert_eq!(a.position(3 * SECOND + MS, again), SECOND);
        assert_eq!(a.position(3 * SECOND + 6 * MS, again), 3 * SECOND + MS);
    }

    #[test]
    fn slower_by_a_factor_mid_way() {
        let mut log = ReplicationLog::default();
        let mut a = LogApplier::new(0, from(&log, Some(0), 0));
        (0..2).for_each(|_| {
            log.push(0);
        });
        a.slow(10 * MS, from(&log, Some(0), 0), 4.0);
        a.advance(30 * MS, from(&log, Some(0), 0));
        assert_eq!(
            a.applied(),
            1,
            "the half that was left took four times as long"
        );
        a.advance(70 * MS - 1, from(&log, Some(0), 0));
        assert_eq!(a.applied(), 1);
        a.advance(70 * MS, from(&log, Some(0), 0));
        assert_eq!(a.applied(), 2);
        log.forget(1);
        assert_eq!(
            (log.end(), log.time(0), log.time(1), log.until(0)),
            (2, None, Some(0), 2)
        );
    }
}
