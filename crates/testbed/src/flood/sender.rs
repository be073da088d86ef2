//! The flooding clients: each writes at full speed on a thread of its own, and reads its answers on another one.

use super::FloodKind;
use irisrouter_simulation::rng::{Rng, Stream};
use std::io::{self, ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::thread::{sleep, spawn, JoinHandle};
use std::time::Duration;

/// Time after which a write or a read is interrupted to check whether the flood has ended.
const IO_TIMEOUT: Duration = Duration::from_millis(50);
/// Longest wait for the answer to the startup message.
const SESSION_TIMEOUT: Duration = Duration::from_secs(5);
/// Pause after a failed connect.
const RECONNECT_DELAY: Duration = Duration::from_millis(10);
/// The startup message of user `web` and database `orders`.
const STARTUP: &[u8] = b"\0\0\0\x22\0\x03\0\0user\0web\0database\0orders\0\0";
/// The last message of the answer to the startup message.
const READY_FOR_QUERY: &[u8] = b"Z\0\0\0\x05I";

/// What the senders of a flood do.
#[derive(Debug, Clone, Copy)]
pub struct SenderPlan {
    /// The messages that they send.
    pub kind: FloodKind,
    /// Number of clients.
    pub clients: usize,
    /// Whether they read their answers.
    pub reads_answers: bool,
    /// The seed of the random names.
    pub seed: u64,
}

/// What the senders of a flood have done.
#[derive(Debug, Clone, Copy, Default)]
pub struct FloodTotals {
    /// Number of bytes written.
    pub bytes: u64,
    /// Number of connections opened.
    pub connections: u64,
}

#[derive(Default)]
struct SharedState {
    ended: AtomicBool,
    bytes: AtomicU64,
    connections: AtomicU64,
}

impl SharedState {
    fn has_ended(&self) -> bool {
        self.ended.load(Ordering::Relaxed)
    }
}

/// The running senders of a flood.
pub struct FloodSenders {
    shared: Arc<SharedState>,
    threads: Vec<JoinHandle<()>>,
}

impl FloodSenders {
    /// Starts the senders.
    #[must_use]
    pub fn start(address: SocketAddr, plan: SenderPlan) -> Self {
        let shared = Arc::<SharedState>::default();
        let threads = (0..plan.clients as u64)
            .map(|number| {
                let mut sender = Sender {
                    address,
                    kind: plan.kind,
                    reads_answers: plan.reads_answers,
                    rng: Rng::new(plan.seed ^ number << 32, Stream::Faults),
                    shared: Arc::clone(&shared),
                };
                spawn(move || sender.run())
            })
            .collect();
        FloodSenders { shared, threads }
    }

    /// Ends the flood, and returns what was sent.
    #[must_use]
    pub fn stop(self) -> FloodTotals {
        self.shared.ended.store(true, Ordering::Relaxed);
        for thread in self.threads {
            let _ = thread.join();
        }
        FloodTotals {
            bytes: self.shared.bytes.load(Ordering::Relaxed),
            connections: self.shared.connections.load(Ordering::Relaxed),
        }
    }
}

/// One flooding client.
struct Sender {
    address: SocketAddr,
    kind: FloodKind,
    reads_answers: bool,
    rng: Rng,
    shared: Arc<SharedState>,
}

impl Sender {
    /// Floods until the end, with a new connection whenever the gateway ends one.
    fn run(&mut self) {
        while !self.shared.has_ended() {
            let Ok(mut stream) = self.connect() else {
                sleep(RECONNECT_DELAY);
                continue;
            };
            self.shared.connections.fetch_add(1, Ordering::Relaxed);
            let reader = self
                .reads_answers
                .then(|| spawn_reader(&stream, &self.shared));
            // An error means that the gateway has ended the connection.
            let _ = self.flood(&mut stream);
            if !self.kind.closes_after_batch() {
                let _ = stream.shutdown(Shutdown::Both);
            }
            drop(stream);
            if let Some(Ok(reader)) = reader {
                let _ = reader.join();
            }
        }
    }

    fn connect(&self) -> io::Result<TcpStream> {
        let mut stream = TcpStream::connect(self.address)?;
        if self.kind.needs_session() {
            stream.set_read_timeout(Some(SESSION_TIMEOUT))?;
            stream.write_all(STARTUP)?;
            read_until_ready(&mut stream)?;
        }
        stream.set_write_timeout(Some(IO_TIMEOUT))?;
        stream.set_read_timeout(Some(IO_TIMEOUT))?;
        Ok(stream)
    }

    fn flood(&mut self, stream: &mut TcpStream) -> io::Result<()> {
        let mut batch = self.kind.batch(&mut self.rng);
        while !self.shared.has_ended() {
            self.write_batch(stream, &batch)?;
            if self.kind.closes_after_batch() {
                return Ok(());
            }
            if self.kind.has_random_parts() {
                batch = self.kind.batch(&mut self.rng);
            }
        }
        Ok(())
    }

    fn write_batch(&self, stream: &mut TcpStream, batch: &[u8]) -> io::Result<()> {
        let mut rest = batch;
        while !rest.is_empty() && !self.shared.has_ended() {
            match stream.write(rest) {
                Ok(0) => return Err(ErrorKind::WriteZero.into()),
                Ok(length) => {
                    self.shared
                        .bytes
                        .fetch_add(length as u64, Ordering::Relaxed);
                    rest = &rest[length..];
                }
                Err(error) if is_timeout(&error) => {}
                Err(error) => return Err(error),
            }
        }
        Ok(())
    }
}

/// Reads and discards answers on a thread of its own until the connection or the flood ends.
fn spawn_reader(stream: &TcpStream, shared: &Arc<SharedState>) -> io::Result<JoinHandle<()>> {
    let mut stream = stream.try_clone()?;
    let shared = Arc::clone(shared);
    Ok(spawn(move || {
        let mut buffer = vec![0; 1 << 20];
        while !shared.has_ended() {
            match stream.read(&mut buffer) {
                Ok(0) => break,
                Ok(_) => {}
                Err(error) if is_timeout(&error) => {}
                Err(_) => break,
            }
        }
        // Ends a writer that waits for a gateway that no longer reads.
        let _ = stream.shutdown(Shutdown::Both);
    }))
}

fn read_until_ready(stream: &mut TcpStream) -> io::Result<()> {
    let mut received = Vec::new();
    let mut buffer = [0; 1024];
    while !received.ends_with(READY_FOR_QUERY) {
        match stream.read(&mut buffer)? {
            0 => return Err(ErrorKind::UnexpectedEof.into()),
            length => received.extend_from_slice(&buffer[..length]),
        }
    }
    Ok(())
}

fn is_timeout(error: &io::Error) -> bool {
    matches!(
        error.kind(),
        ErrorKind::WouldBlock | ErrorKind::TimedOut | ErrorKind::Interrupted
    )
}
