//! One watch of the list of database hosts for a whole fleet, where one service answers all gateways.
//!
//! Watching is a duty (`irisrouter-leases`): its owner holds the long poll, and while that is well it tells all others by a
//! small beat which revision it has and which hosts that list has out of service. The others hold no watch. Hosts that are
//! out they leave alone at once, on the owner's word; all else they take from the service themselves, each in its turn, as
//! an address is known to its own gateway only and a host that the own list has not named gets nothing. Whoever hears no
//! beat for a while, or one of an older list than its own, watches for itself, as without this.
//!
//! No I/O, no clock, no tasks.

#![forbid(unsafe_code)]

pub mod codec;

pub use codec::{recognizes, WireError};

/// Milliseconds on the caller's monotonic clock.
pub type Millis = u64;

/// Hosts that a beat can name.
pub const MOST_OUT: usize = 59;
/// The duty's number: beyond any set's that a platform gives out, and any drain's.
pub const TASK_ID: u64 = 0x5741_5443_4800_0000;

/// Settings; times in milliseconds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Settings {
    /// Between two beats.
    pub beat_ms: u64,
    /// Without a beat for so long a gateway watches for itself.
    pub silent_ms: u64,
    /// Between the calls of two gateways for one change.
    pub each_ms: u64,
    /// Between two calls of one gateway, where the service does not have yet what the beat told of.
    pub again_ms: u64,
}

impl Settings {
    /// As fast as leases are. Silence is longer than a takeover is bound to take, so that the death of an owner does not
    /// make the whole fleet watch.
    #[must_use]
    pub const fn paced(lease_ms: u64) -> Self {
        Self {
            beat_ms: lease_ms / 5,
            silent_ms: 4 * lease_ms,
            each_ms: 20,
            again_ms: 1_000,
        }
    }
}

/// What the watcher tells.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Heartbeat {
    /// The epoch under which it watches; not 0.
    pub epoch: u64,
    /// The revision of its list.
    pub revision: u64,
    /// Hosts that this list has out of service.
    pub out: Vec<u32>,
}

/// What a gateway does next about its own list.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PollDecision {
    /// Watch: it is this gateway's duty, or nobody is heard to.
    Watch,
    /// Call once, without waiting for news.
    Fetch,
    /// Nothing for so long, in milliseconds, unless a beat comes.
    Rest(Millis),
}

/// What a gateway has of its own.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Own {
    /// The token of the duty, where it has it.
    pub token: Option<u64>,
    /// The revision of its list; none before the first.
    pub revision: Option<u64>,
    /// It needs the whole list, at once.
    pub whole: bool,
    /// Its place among the gateways alive, from 0.
    pub place: u64,
}

struct Heard {
    epoch: u64,
    revision: u64,
    /// When the last beat came, and when the first one of this revision did.
    at: Millis,
    since: Millis,
    /// When this gateway last called for it.
    called: Option<Millis>,
}

/// The fleet's watch, as one gateway sees it.
pub struct EndpointWatcher {
    settings: Settings,
    heard: Option<Heard>,
    /// When the own watch was last known to be well, and what was told last and when.
    well: bool,
    told: Option<(u64, Millis)>,
}

impl EndpointWatcher {
    /// A gateway that has heard nobody.
    #[must_use]
    pub const fn new(settings: Settings) -> Self {
        Self {
            settings,
            heard: None,
            well: false,
            told: None,
        }
    }

    /// A beat came. Returns whether it counts: not one of an epoch older than the latest heard.
    pub fn heard(&mut self, now: Millis, epoch: u64, revision: u64) -> bool {
        match &mut self.heard {
            Some(h) if epoch < h.epoch => false,
            Some(h) if (epoch, revision) == (h.epoch, h.revision) => {
                h.at = now;
                true
            }
            // Danger guarded against: under one epoch a late datagram would bring an older list back.
            Some(h) if epoch == h.epoch && revision < h.revision => false,
            _ => {
                self.heard = Some(Heard {
                    epoch,
                    revision,
                    at: now,
                    since: now,
                    called: None,
                });
                true
            }
        }
    }

    /// The own watch was answered, or broke. Danger guarded against: an owner that can't reach the service would keep all
    /// others from watching for themselves.
    pub fn well(&mut self, well: bool) {
        self.well = well;
    }

    /// The beat that is due from this gateway now: where it owns the watch, and that is well. At once with a new revision.
    pub fn beat(
        &mut self,
        now: Millis,
        own: Own,
        out: impl FnOnce() -> Vec<u32>,
    ) -> Option<Heartbeat> {
        let (epoch, revision) = own.token.zip(own.revision).filter(|_| self.well)?;
        let due = self
            .told
            .is_none_or(|(told, at)| told != revision || now >= at + self.settings.beat_ms);
        due.then(|| {
            self.told = Some((revision, now));
            Heartbeat {
                epoch,
                revision,
                out: out(),
            }
        })
    }

    /// When [`ListWatch::beat`] may have one next.
    #[must_use]
    pub fn next_beat(&self, now: Millis, owned: bool) -> Millis {
        match self.told.filter(|_| owned && self.well) {
            Some((_, at)) => at + self.settings.beat_ms,
            None if owned => now + self.settings.beat_ms,
            None => Millis::MAX,
        }
    }

    /// Another gateway is heard to watch a list that is not older: this one need not.
    #[must_use]
    pub fn relieved(&self, now: Millis, own: Own) -> bool {
        let fresh = |h: &Heard| {
            now < h.at + self.settings.silent_ms && own.revision.is_some_and(|r| h.revision >= r)
        };
        own.token.is_none() && !own.whole && self.heard.as_ref().is_some_and(fresh)
    }

    /// What this gateway does next about its own list; it is taken to do so.
    pub fn turn(&mut self, now: Millis, own: Own) -> PollDecision {
        let s = self.settings;
        let Some(revision) = own.revision.filter(|_| !own.whole) else {
            return PollDecision::Fetch;
        };
        let relieved = self.relieved(now, own);
        let Some(heard) = self.heard.as_mut().filter(|_| relieved) else {
            return PollDecision::Watch;
        };
        if heard.revision == revision {
            return PollDecision::Rest(heard.at + s.silent_ms - now);
        }
        // Danger guarded against: a service that is behind its own word would be called without end.
        let due = heard
            .called
            .map_or(heard.since + own.place * s.each_ms, |at| at + s.again_ms);
        if now < due {
            return PollDecision::Rest(due - now);
        }
        heard.called = Some(now);
        PollDecision::Fetch
    }
}
