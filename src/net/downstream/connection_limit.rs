//! The limit on open client connections, and the choice of the connections that are evicted when it is reached.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::time::Instant;

/// Maximum number of connections beyond the limit: connections that are being rejected, and evicted ones that are still
/// lingering. The descriptors for them are part of those that the process reserves in addition to the limit.
const MAX_CONNECTIONS_OVER_LIMIT: usize = 24;
/// How long a connection may wait for its client during startup before it may be evicted. Clients that connect and send
/// nothing would otherwise hold all connections for ever.
const STARTING_GRACE: Duration = Duration::from_millis(500);
/// How long a connection may be idle between two requests before it may be evicted, as the platform specifies. Clients
/// that send one request and stay connected would otherwise hold all connections for ever.
const IDLE_GRACE: Duration = Duration::from_secs(2);
/// How long a message may take to arrive before its connection may be evicted. Clients that write slowly would otherwise
/// hold their connections while clients that are only quiet are evicted.
const PARTIAL_MESSAGE_GRACE: Duration = Duration::from_secs(2);
/// How long a connection may be idle while more connections than usual are open. The platform lets clients hold a third
/// of a gateway's descriptors: many clients that each send one request and stay connected would leave none for clients
/// that send one request after another.
const CROWDED_IDLE_GRACE: Duration = Duration::from_millis(150);
/// Interval between two calls of [`ConnectionLimit::evict_longest_idle`]: short compared with [`CROWDED_IDLE_GRACE`].
pub const IDLE_EVICTION_INTERVAL: Duration = Duration::from_millis(50);

/// State of a connection whose client is not waiting for an answer, so that the connection may be evicted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum WaitKind {
    /// The connection is being rejected or closed, and stays open only until the client has received the last message.
    /// It no longer counts towards the limit.
    Closing,
    /// The client has not completed its startup yet.
    Starting,
    /// A message of the client has arrived in part.
    PartialMessage,
    /// The connection is idle between two requests.
    Idle,
}

/// Orders waiting connections by kind and, within a kind, by the time at which the wait began.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct WaitKey {
    kind: WaitKind,
    since: Instant,
    sequence: u64,
}

/// A connection that may be evicted.
struct WaitEntry {
    counted: Rc<Cell<bool>>,
    /// Dropping this sender evicts the connection.
    _evict_sender: oneshot::Sender<()>,
}

/// The limit on all client connections of a gateway.
pub struct ConnectionLimit {
    /// Maximum number of connections that count towards the limit, over all processes of this gateway.
    limit: usize,
    /// Maximum number of connections that are usually open. Above it, idle ones are evicted sooner.
    crowding_threshold: usize,
    /// Descriptors that another process of this gateway uses for its clients and itself during a hot restart.
    other_process_descriptors: Cell<usize>,
    /// Number of connections that count towards the limit.
    counted_connections: Cell<usize>,
    /// Number of all open connections, including those that are being rejected or have been evicted.
    open_connections: Cell<usize>,
    waits: RefCell<BTreeMap<WaitKey, WaitEntry>>,
    next_sequence: Cell<u64>,
}

/// The permit of one connection, released when it is dropped.
pub struct ConnectionPermit {
    connection_limit: Rc<ConnectionLimit>,
    /// Whether the connection counts towards the limit. It does if it was accepted within the limit and has neither
    /// been evicted nor begun to close since.
    counted: Rc<Cell<bool>>,
    /// Whether the limit was already reached, so that the connection has to be rejected.
    pub over_limit: bool,
}

/// A period during which a connection may be evicted. It ends when this is dropped.
pub struct EvictableWait<'a> {
    connection_limit: &'a ConnectionLimit,
    key: WaitKey,
    evicted: oneshot::Receiver<()>,
}

impl ConnectionLimit {
    /// Creates a limit of `limit` connections. While more than `crowding_threshold` of them are open, which is the
    /// usual maximum, idle ones are evicted sooner.
    pub fn new(limit: usize, crowding_threshold: usize) -> Rc<Self> {
        Rc::new(ConnectionLimit {
            limit,
            crowding_threshold,
            other_process_descriptors: Cell::new(0),
            counted_connections: Cell::new(0),
            open_connections: Cell::new(0),
            waits: RefCell::default(),
            next_sequence: Cell::new(0),
        })
    }

    /// Returns the number of open connections.
    pub fn open_connections(&self) -> usize {
        self.open_connections.get()
    }

    /// Sets the number of descriptors that another process of this gateway uses for its clients and itself. They reduce
    /// the limit of this process.
    pub fn set_other_process_descriptors(&self, descriptors: usize) {
        self.other_process_descriptors.set(descriptors);
    }

    /// Returns the part of the limit that is available to this process.
    fn local_limit(&self) -> usize {
        self.limit
            .saturating_sub(self.other_process_descriptors.get())
    }

    /// Returns whether the limit is reached, so that a new connection is accepted only if another one is evicted.
    pub fn is_full(&self) -> bool {
        self.counted_connections.get() >= self.local_limit()
    }

    /// Returns a permit for a new connection, evicting the connection that has been waiting longest if necessary.
    /// Returns `None` if even the connections beyond the limit are used up.
    pub fn acquire(self: &Rc<Self>) -> Option<ConnectionPermit> {
        if self.open_connections.get() >= self.local_limit() + MAX_CONNECTIONS_OVER_LIMIT
            && !self.evict_longest_waiting(WaitKind::Closing, Duration::ZERO)
        {
            return None;
        }
        // One eviction may not be enough: a connection that was evicted earlier, and has served one more request since,
        // no longer counts, so that evicting it again frees nothing.
        while self.is_full()
            && (self.evict_longest_waiting(WaitKind::Starting, STARTING_GRACE)
                || self.evict_longest_waiting(WaitKind::PartialMessage, PARTIAL_MESSAGE_GRACE)
                || self.evict_longest_waiting(WaitKind::Idle, IDLE_GRACE))
        {}
        let over_limit = self.is_full();
        self.counted_connections
            .set(self.counted_connections.get() + usize::from(!over_limit));
        self.open_connections.set(self.open_connections.get() + 1);
        Some(ConnectionPermit {
            connection_limit: Rc::clone(self),
            counted: Rc::new(Cell::new(!over_limit)),
            over_limit,
        })
    }

    /// While more connections than usual are open, evicts those whose message has taken longest to arrive, and then
    /// those that have been idle longest.
    pub fn evict_longest_idle(&self) {
        while self.counted_connections.get() > self.crowding_threshold
            && (self.evict_longest_waiting(WaitKind::PartialMessage, PARTIAL_MESSAGE_GRACE)
                || self.evict_longest_waiting(WaitKind::Idle, CROWDED_IDLE_GRACE))
        {}
    }

    /// Evicts the connection that has been waiting longest in this state, if that is at least `grace`, and returns
    /// whether it did.
    fn evict_longest_waiting(&self, kind: WaitKind, grace: Duration) -> bool {
        let mut waits = self.waits.borrow_mut();
        let longest_waiting = waits.keys().find(|key| key.kind == kind).copied();
        let due_key = longest_waiting.filter(|key| key.since.elapsed() >= grace);
        let Some(evicted) = due_key.and_then(|key| waits.remove(&key)) else {
            return false;
        };
        // The permit is available from now on. The connection is notified when the sender is dropped.
        self.stop_counting(&evicted.counted);
        true
    }

    /// Stops counting a connection towards the limit, unless that was done before.
    fn stop_counting(&self, counted: &Cell<bool>) {
        let was_counted = counted.replace(false);
        self.counted_connections
            .set(self.counted_connections.get() - usize::from(was_counted));
    }
}

impl ConnectionPermit {
    /// Allows the connection to be evicted until the result is dropped. The wait counts from `since`. Must be called
    /// only while the connection's client waits for no answer.
    pub fn allow_eviction(&self, kind: WaitKind, since: Instant) -> EvictableWait<'_> {
        let connection_limit = &*self.connection_limit;
        if kind == WaitKind::Closing {
            connection_limit.stop_counting(&self.counted);
        }
        let sequence = connection_limit.next_sequence.get();
        connection_limit.next_sequence.set(sequence + 1);
        let key = WaitKey {
            kind,
            since,
            sequence,
        };
        let (evict_sender, evicted) = oneshot::channel();
        let entry = WaitEntry {
            counted: Rc::clone(&self.counted),
            _evict_sender: evict_sender,
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
        // The sender never sends a value. Dropping it is the signal, which the receiver reports as an error.
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
        self.connection_limit.stop_counting(&self.counted);
        self.connection_limit
            .open_connections
            .set(self.connection_limit.open_connections.get() - 1);
    }
}
