//! A fault proxy for the datagrams between gateways on loopback, as the platform carries them: each gateway knows every
//! other by an address of its own (a socket of the relay), and what it hears comes from that address. Between the
//! two, the relay drops a share of datagrams, delays them, and cuts pairs one way or both. Seeded: the same seed and
//! the same order of datagrams give the same schedule of drops. Every thread ends with the relay; loopback only.

use std::collections::BTreeSet;
use std::net::{SocketAddr, UdpSocket};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{spawn, JoinHandle};
use std::time::{Duration, Instant};

/// What the relay does to datagrams.
#[derive(Default)]
pub struct Faults {
    /// Share of datagrams dropped, 0 to 1.
    pub loss: f64,
    /// Pairs (from, to) whose datagrams are dropped.
    pub cuts: BTreeSet<(usize, usize)>,
    /// How long each datagram is held before it is passed on.
    pub delay: Duration,
    state: u64,
}

impl Faults {
    /// A draw in [0, 1) from a seeded xorshift: the same schedule for the same seed and order.
    fn draw(&mut self) -> f64 {
        self.state ^= self.state << 13;
        self.state ^= self.state >> 7;
        self.state ^= self.state << 17;
        (self.state >> 11) as f64 / (1u64 << 53) as f64
    }
}

/// The relay between `size` gateways; see the package's page.
pub struct Relay {
    /// Where each gateway listens.
    pub listen: Vec<SocketAddr>,
    /// By gateway: the others as it knows them, its own place included (its `peers`).
    pub known: Vec<Vec<SocketAddr>>,
    /// By gateway: the way to all others at once (its `peers_all`).
    pub all: Vec<SocketAddr>,
    pub faults: Arc<Mutex<Faults>>,
    stop: Arc<AtomicBool>,
    threads: Vec<JoinHandle<()>>,
}

/// How long a carrying thread waits for a datagram before it looks at its held ones and at the stop.
const TICK: Duration = Duration::from_millis(5);
/// Most datagrams held at once by one carrying thread; beyond, they are dropped, as a full queue would.
const HELD: usize = 1024;

/// A socket bound to a free port on loopback.
fn bind() -> UdpSocket {
    let socket = UdpSocket::bind("127.0.0.1:0").expect("a socket on loopback");
    socket.set_read_timeout(Some(TICK)).expect("a time-out");
    socket
}

impl Relay {
    /// Binds every socket and starts the carrying threads: one a pair, one a gateway's way to all.
    pub fn new(size: usize, seed: u64) -> Self {
        // The gateways' own sockets: bound here to learn a free port, then left to the gateway.
        let listen: Vec<SocketAddr> = (0..size).map(|_| bind().local_addr().expect("address")).collect();
        // ways[a][b]: the socket at which gateway a knows gateway b.
        let ways: Vec<Vec<Arc<UdpSocket>>> =
            (0..size).map(|_| (0..size).map(|_| Arc::new(bind())).collect()).collect();
        let all: Vec<Arc<UdpSocket>> = (0..size).map(|_| Arc::new(bind())).collect();
        let known = (0..size)
            .map(|a| {
                (0..size)
                    .map(|b| if a == b { listen[a] } else { ways[a][b].local_addr().expect("address") })
                    .collect()
            })
            .collect();
        let faults = Arc::new(Mutex::new(Faults { state: seed | 1, ..Faults::default() }));
        let stop = Arc::new(AtomicBool::new(false));
        let mut threads = Vec::new();
        for a in 0..size {
            for b in (0..size).filter(|&b| b != a) {
                let (from_a, back) = (Arc::clone(&ways[a][b]), Arc::clone(&ways[b][a]));
                let (to, faults, stop) = (listen[b], Arc::clone(&faults), Arc::clone(&stop));
                threads.push(spawn(move || carry(&from_a, &[(b, back, to)], a, &faults, &stop)));
            }
            let targets: Vec<_> =
                (0..size).filter(|&b| b != a).map(|b| (b, Arc::clone(&ways[b][a]), listen[b])).collect();
            let (socket, faults, stop) = (Arc::clone(&all[a]), Arc::clone(&faults), Arc::clone(&stop));
            threads.push(spawn(move || carry(&socket, &targets, a, &faults, &stop)));
        }
        let all = all.iter().map(|s| s.local_addr().expect("address")).collect();
        Relay { listen, known, all, faults, stop, threads }
    }

    /// Cuts every pair across the two sides, both ways.
    pub fn partition(&self, left: &[usize], right: &[usize]) {
        let mut faults = self.faults.lock().expect("faults");
        for &a in left {
            for &b in right {
                faults.cuts.insert((a, b));
                faults.cuts.insert((b, a));
            }
        }
    }

    /// Lifts every cut.
    pub fn heal(&self) {
        self.faults.lock().expect("faults").cuts.clear();
    }

    /// Drops this share of datagrams from now on, 0 to 1.
    pub fn set_loss(&self, loss: f64) {
        self.faults.lock().expect("faults").loss = loss;
    }

    /// Holds every datagram this long from now on.
    pub fn set_delay(&self, delay: Duration) {
        self.faults.lock().expect("faults").delay = delay;
    }

    /// Cuts the datagrams from `from` to `to`, one way.
    pub fn cut(&self, from: usize, to: usize) {
        self.faults.lock().expect("faults").cuts.insert((from, to));
    }
}

/// Carries what gateway `from` sends at one socket to each target, through the socket at which the target knows it.
fn carry(
    socket: &UdpSocket,
    targets: &[(usize, Arc<UdpSocket>, SocketAddr)],
    from: usize,
    faults: &Mutex<Faults>,
    stop: &AtomicBool,
) {
    let mut buffer = [0u8; 1024];
    // Held datagrams: when each is due, the bytes, and the target's index in `targets`.
    let mut held: std::collections::VecDeque<(Instant, Vec<u8>, usize)> = std::collections::VecDeque::new();
    while !stop.load(Ordering::Relaxed) {
        if let Ok((length, _)) = socket.recv_from(&mut buffer) {
            assert!(length <= 256, "a datagram of {length} bytes between gateways");
            for (i, (to, _, _)) in targets.iter().enumerate() {
                let mut f = faults.lock().expect("faults");
                let dropped = f.draw() < f.loss || f.cuts.contains(&(from, *to));
                // Danger guarded against: a datagram overtaking older ones; while the delay stands, every datagram
                // waits in one queue in order of due time, so none is sent ahead of one held before it.
                if !dropped && held.len() < HELD {
                    held.push_back((Instant::now() + f.delay, buffer[..length].to_vec(), i));
                }
            }
        }
        let now = Instant::now();
        while let Some((_, bytes, i)) = held.pop_front_if(|(due, _, _)| *due <= now) {
            let (_, back, at) = &targets[i];
            let _ = back.send_to(&bytes, at);
        }
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
        for t in self.threads.drain(..) {
            let _ = t.join();
        }
    }
}
