//! Places for client connections: how many there are, and which connection gives its place up when they run short.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::time::Instant;

/// Connections beyond the limit: those that are being turned away, and those that give their place up.
const BEYOND: usize = 24;
/// A connection that has said nothing yet may be quiet for so long before it has to give its place up.
const STARTING: Duration = Duration::from_millis(500);
/// And one between two requests so long: the platform's word.
const IDLE: Duration = Duration::from_secs(2);

/// And where there are more than a usual number of connections, so long. Danger: the platform lets clients hold a third
/// of a gateway's descriptors; crowds that ask once and stay would leave those that ask again and again none.
const CROWDED: Duration = Duration::from_millis(150);
/// How often that is looked at.
pub const TIDY: Duration = Duration::from_millis(50);

/// Why a connection waits with nothing owed to its client.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Quiet {
    /// It has been told why it ends, and is read so that this arrives: it has given its place up.
    Leaving,
    /// It has not said yet what it wants.
    Starting,
    /// It is between two requests.
    Idle,
}

/// A connection that is quiet: since when, its place, and how to ask it to go.
struct Waiting {
    since: Instant,
    counted: Rc<Cell<bool>>,
    _ask: oneshot::Sender<()>,
}

/// The places of all client connections.
pub struct ConnectionLimit {
    most: usize,
    /// More than so many are a crowd.
    usual: usize,
    /// Taken by another process of this gateway.
    pub elsewhere: Cell<usize>,
    /// Places that are taken, and connections.
    taken: Cell<usize>,
    open: Cell<usize>,
    /// By kind, and in the order in which they became quiet.
    quiet: RefCell<BTreeMap<(Quiet, u64), Waiting>>,
    next: Cell<u64>,
}

/// A connection's place, given back when it is dropped.
pub struct Place {
    connection_limit: Rc<ConnectionLimit>,
    /// It counts among those that are taken: not beyond the limit, and not given up yet.
    counted: Rc<Cell<bool>>,
    /// There was none left: its connection is to be turned away.
    pub crowded: bool,
}

/// A connection's time of quiet, which ends when this is dropped.
pub struct Resting<'a> {
    connection_limit: &'a ConnectionLimit,
    key: (Quiet, u64),
    asked: oneshot::Receiver<()>,
}

impl ConnectionLimit {
    /// So many places, of which so many are in use on usual days.
    pub fn new(most: usize, usual: usize) -> Rc<Self> {
        Rc::new(ConnectionLimit {
            most,
            usual,
            elsewhere: Cell::new(0),
            taken: Cell::new(0),
            open: Cell::new(0),
            quiet: RefCell::default(),
            next: Cell::new(0),
        })
    }

    /// Connections now.
    pub fn open_connections(&self) -> usize {
        self.open.get()
    }

    fn most(&self) -> usize {
        self.most.saturating_sub(self.elsewhere.get())
    }

    /// None is left without somebody's going.
    pub fn is_full(&self) -> bool {
        self.taken.get() >= self.most()
    }

    /// A place for a new connection, if need be that of the one that has been quiet longest. None where even
    /// the room for turning connections away is used up.
    pub fn acquire(self: &Rc<Self>) -> Option<Place> {
        if self.open.get() >= self.most() + BEYOND && !self.free(Quiet::Leaving, Duration::ZERO) {
            return None;
        }
        // One that was asked before and was served once more has no place to give.
        while self.is_full()
            && (self.free(Quiet::Starting, STARTING) || self.free(Quiet::Idle, IDLE))
        {}
        let crowded = self.is_full();
        self.taken.set(self.taken.get() + usize::from(!crowded));
        self.open.set(self.open.get() + 1);
        Some(Place {
            connection_limit: Rc::clone(self),
            counted: Rc::new(Cell::new(!crowded)),
            crowded,
        })
    }

    /// In a crowd, asks those to go that have been quiet longest between two requests.
    pub fn close_longest_quiet(&self) {
        while self.taken.get() > self.usual && self.free(Quiet::Idle, CROWDED) {}
    }

    /// Asks the first connection of a kind to go, if it has been quiet so long. Danger: clients that ask once
    /// and stay, or that connect and say nothing, would hold all places for ever.
    fn free(&self, kind: Quiet, spared: Duration) -> bool {
        let mut quiet = self.quiet.borrow_mut();
        let first = quiet.range((kind, 0)..=(kind, u64::MAX)).next();
        let due = first
            .filter(|(_, w)| w.since.elapsed() >= spared)
            .map(|(&key, _)| key);
        // Without its sender the one that waits is asked. Its place is free from now on.
        let freed = due.and_then(|key| quiet.remove(&key));
        freed.iter().for_each(|w| self.uncount(&w.counted));
        freed.is_some()
    }

    fn uncount(&self, counted: &Cell<bool>) {
        self.taken
            .set(self.taken.get() - usize::from(counted.replace(false)));
    }
}

impl Place {
    /// Nothing is owed on the connection from now on, until the result is dropped.
    pub fn rest(&self, kind: Quiet) -> Resting<'_> {
        let connection_limit = &*self.connection_limit;
        if kind == Quiet::Leaving {
            connection_limit.uncount(&self.counted);
        }
        let key = (kind, connection_limit.next.get());
        connection_limit.next.set(key.1 + 1);
        let (ask, asked) = oneshot::channel();
        let waiting = Waiting {
            since: Instant::now(),
            counted: Rc::clone(&self.counted),
            _ask: ask,
        };
        connection_limit.quiet.borrow_mut().insert(key, waiting);
        Resting {
            connection_limit,
            key,
            asked,
        }
    }
}

impl Resting<'_> {
    /// Returns once the connection is to go.
    pub async fn asked(&mut self) {
        let _ = (&mut self.asked).await;
    }
}

impl Drop for Resting<'_> {
    fn drop(&mut self) {
        self.connection_limit.quiet.borrow_mut().remove(&self.key);
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        self.connection_limit.uncount(&self.counted);
        self.connection_limit
            .open
            .set(self.connection_limit.open.get() - 1);
    }
}
