//! The limit on open client connections, and the choice of the quiet connections that are closed when it is reached.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::time::Instant;

/// Connections allowed beyond the limit: those that are being rejected, and those that are evicted and still linger.
/// Their descriptors are a part of those that the process reserves beside the limit.
const MAX_OVER_LIMIT: usize = 24;
/// How long a connection may take to its first message before it may be evicted: clients that connect and send nothing
/// would otherwise hold all connections for ever.
const STARTING_GRACE: Duration = Duration::from_millis(500);
/// How long a connection may be idle between two requests before it may be evicted, as the platform specifies:
/// clients that send one request and stay would otherwise hold all connections for ever.
const IDLE_GRACE: Duration = Duration::from_secs(2);
/// How long it may be idle while more connections are open than usual. The platform lets clients hold a third of a
/// gateway's descriptors: a crowd that sends one request each and stays would leave none for clients that send request
/// after request.
const CROWDED_IDLE_GRACE: Duration = Duration::from_millis(150);
/// How often [`ConnectionLimit::close_longest_quiet`] is called: short against [`CROWDED_IDLE_GRACE`].
pub const QUIET_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Why a connection waits while its client waits for nothing.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum QuietKind {
    /// Its client has been sent the reason why it ends, and the connection stays open only until that has arrived: it no
    /// longer counts towards the limit.
    Leaving,
    /// The client has not completed its startup yet.
    Starting,
    /// The connection is between two requests.
    Idle,
}

/// Orders the waits by kind, and within a kind by the time at which they began.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct WaitKey {
    kind: QuietKind,
    sequence: u64,
}

/// A connection that may be evicted.
struct WaitEntry {
    since: Instant,
    counted: Rc<Cell<bool>>,
    /// Dropped to evict the connection.
    _evict: oneshot::Sender<()>,
}

/// The limit on all client connections of a gateway.
pub struct ConnectionLimit {
    /// The greatest number of connections that count, over all processes of this gateway.
    limit: usize,
    /// Above this number of connections, idle ones are evicted sooner.
    usual: usize,
    /// Descriptors that another process of this gateway needs for its clients and itself, during a hot restart.
    other_process_descriptors: Cell<usize>,
    /// Connections that count towards the limit.
    counted: Cell<usize>,
    /// All connections, with those that are being rejected or have been evicted.
    open: Cell<usize>,
    waits: RefCell<BTreeMap<WaitKey, WaitEntry>>,
    next_sequence: Cell<u64>,
}

/// The permit of one connection, released when it is dropped.
pub struct ConnectionPermit {
    connection_limit: Rc<ConnectionLimit>,
    /// Whether the connection counts towards the limit: it was accepted within it, and has not been evicted since.
    counted: Rc<Cell<bool>>,
    /// The limit was reached: the connection is to be rejected.
    pub over_limit: bool,
}

/// The time in which a connection may be evicted, which ends when this is dropped.
pub struct EvictableWait<'a> {
    connection_limit: &'a ConnectionLimit,
    key: WaitKey,
    evicted: oneshot::Receiver<()>,
}

impl ConnectionLimit {
    /// A limit of `limit` connections, of which `usual` are open on usual days.
    pub fn new(limit: usize, usual: usize) -> Rc<Self> {
        Rc::new(ConnectionLimit {
            limit,
            usual,
            other_process_descriptors: Cell::new(0),
            counted: Cell::new(0),
            open: Cell::new(0),
            waits: RefCell::default(),
            next_sequence: Cell::new(0),
        })
    }

    /// The number of connections that are open now.
    pub fn open_connections(&self) -> usize {
        self.open.get()
    }

    /// Sets the descriptors that another process of this gateway needs for its clients and itself: they count towards
    /// the limit of this one.
    pub fn set_other_process_descriptors(&self, descriptors: usize) {
        self.other_process_descriptors.set(descriptors);
    }

    /// What the other process leaves of the limit.
    fn own_limit(&self) -> usize {
        self.limit
            .saturating_sub(self.other_process_descriptors.get())
    }

    /// Whether the limit is reached, so that a new connection is accepted only if another is evicted.
    pub fn is_full(&self) -> bool {
        self.counted.get() >= self.own_limit()
    }

    /// A permit for a new connection, if need be that of the connection that has been quiet longest. None where even
    /// the number of connections beyond the limit is used up.
    pub fn acquire(self: &Rc<Self>) -> Option<ConnectionPermit> {
        if self.open.get() >= self.own_limit() + MAX_OVER_LIMIT
            && !self.evict_first(QuietKind::Leaving, Duration::ZERO)
        {
            return None;
        }
        // One eviction may not be enough: a connection that was evicted before, and was served once more since, no
        // longer counts.
        while self.is_full()
            && (self.evict_first(QuietKind::Starting, STARTING_GRACE)
                || self.evict_first(QuietKind::Idle, IDLE_GRACE))
        {}
        let over_limit = self.is_full();
        self.counted
            .set(self.counted.get() + usize::from(!over_limit));
        self.open.set(self.open.get() + 1);
        Some(ConnectionPermit {
            connection_limit: Rc::clone(self),
            counted: Rc::new(Cell::new(!over_limit)),
            over_limit,
        })
    }

    /// While more connections are open than usual, evicts those that have been idle longest.
    pub fn close_longest_quiet(&self) {
        while self.counted.get() > self.usual
            && self.evict_first(QuietKind::Idle, CROWDED_IDLE_GRACE)
        {}
    }

    /// Evicts the connection of this kind that has been quiet longest, if that is at least `grace`, and says whether it
    /// did.
    fn evict_first(&self, kind: QuietKind, grace: Duration) -> bool {
        let mut waits = self.waits.borrow_mut();
        let all_of_kind = WaitKey { kind, sequence: 0 }..=WaitKey {
            kind,
            sequence: u64::MAX,
        };
        let first = waits.range(all_of_kind).next();
        let due = first
            .filter(|(_, wait)| wait.since.elapsed() >= grace)
            .map(|(&key, _)| key);
        let Some(evicted) = due.and_then(|key| waits.remove(&key)) else {
            return false;
        };
        // Its permit is free from now on; the connection itself learns of it when the sender is dropped.
        self.release(&evicted.counted);
        true
    }

    /// Takes a connection off the count, unless that has been done before.
    fn release(&self, counted: &Cell<bool>) {
        let was_counted = counted.replace(false);
        self.counted
            .set(self.counted.get() - usize::from(was_counted));
    }
}

impl ConnectionPermit {
    /// Lets the connection be evicted until the result is dropped: its client waits for nothing.
    pub fn wait_quietly(&self, kind: QuietKind) -> EvictableWait<'_> {
        let connection_limit = &*self.connection_limit;
        if kind == QuietKind::Leaving {
            connection_limit.release(&self.counted);
        }
        let sequence = connection_limit.next_sequence.get();
        connection_limit.next_sequence.set(sequence + 1);
        let key = WaitKey { kind, sequence };
        let (evict, evicted) = oneshot::channel();
        let entry = WaitEntry {
            since: Instant::now(),
            counted: Rc::clone(&self.counted),
            _evict: evict,
        };
        connection_limit.waits.borrow_mut().insert(key, entry);
        EvictableWait {
            connection_limit,
            key,
            evicted,
        }
    }
}

impl EvictableWait<'_> {
    /// Returns once the connection is evicted.
    pub async fn evicted(&mut self) {
        // The sender is dropped and never sends: an error is the signal.
        let _ = (&mut self.evicted).await;
    }
}

impl Drop for EvictableWait<'_> {
    fn drop(&mut self) {
        self.connection_limit.waits.borrow_mut().remove(&self.key);
    }
}

impl Drop for ConnectionPermit {
    fn drop(&mut self) {
        self.connection_limit.release(&self.counted);
        self.connection_limit
            .open
            .set(self.connection_limit.open.get() - 1);
    }
}
