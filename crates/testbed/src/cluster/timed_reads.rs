//! Reads with short deadlines, and how late their answers come.

use super::ClusterError;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::task::{spawn_local, LocalSet};
use tokio::time::{sleep, timeout};
use tokio_postgres::{Client, NoTls};

/// How long clients wait for their answers, in turn, in milliseconds.
const DEADLINES_MS: [u64; 5] = [0, 1, 50, 200, 400];
/// A read without an answer after this time counts as unanswered.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(10);
/// Steps by which clients go through the sets.
const SET_STRIDE: u64 = 7_919;

/// What the clients send.
#[derive(Debug, Clone, Copy)]
pub struct TimedReads {
    /// Number of clients.
    pub clients: u64,
    /// Time between two reads of a client.
    pub interval: Duration,
    /// How long they send.
    pub duration: Duration,
    /// Number of sets that they ask, from the first one on.
    pub sets: u64,
}

/// What came of the reads.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ReadCounts {
    /// All.
    pub requests: usize,
    /// Those that were served.
    pub served: usize,
    /// Those without an answer.
    pub unanswered: usize,
    /// The longest time from a deadline to its answer.
    pub latest: Duration,
}

impl ReadCounts {
    fn add(&mut self, other: ReadCounts) {
        self.requests += other.requests;
        self.served += other.served;
        self.unanswered += other.unanswered;
        self.latest = self.latest.max(other.latest);
    }

    /// The share that was served.
    #[must_use]
    pub fn served_share(&self) -> f64 {
        self.served as f64 / self.requests.max(1) as f64
    }
}

impl TimedReads {
    /// Sends all reads to the gateway at this address.
    ///
    /// # Errors
    /// There is no runtime.
    pub fn run(self, address: SocketAddr) -> Result<ReadCounts, ClusterError> {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()
            .map_err(ClusterError::Runtime)?;
        let mut total = ReadCounts::default();
        LocalSet::new().block_on(&runtime, async {
            let clients: Vec<_> = (0..self.clients)
                .map(|client| spawn_local(self.run_client(address, client)))
                .collect();
            for client in clients {
                total.add(client.await.unwrap_or_default());
            }
        });
        Ok(total)
    }

    async fn run_client(self, address: SocketAddr, client: u64) -> ReadCounts {
        let mut counts = ReadCounts::default();
        let start = Instant::now();
        let offset = self.interval.mul_f64(client as f64 / self.clients as f64);
        let mut connection: Option<Rc<Client>> = None;
        for number in 0.. {
            let due = offset + self.interval * number;
            if due >= self.duration {
                return counts;
            }
            sleep(due.saturating_sub(start.elapsed())).await;
            let open = connection.take().filter(|open| !open.is_closed());
            let Some(open) = (match open {
                Some(open) => Some(open),
                None => connect(address).await,
            }) else {
                continue;
            };
            counts.add(self.read(&open, client, u64::from(number)).await);
            connection = Some(open);
        }
        counts
    }

    /// Sends one read, and waits for its answer.
    async fn read(self, connection: &Client, client: u64, number: u64) -> ReadCounts {
        let id = (client << 32) + number + 1;
        let deadline_ms = DEADLINES_MS[((client + number) % DEADLINES_MS.len() as u64) as usize];
        let set = (client + number).wrapping_mul(SET_STRIDE) % self.sets;
        let statement = format!(
            "SELECT payload FROM entries WHERE ref = '7f3a' /* id={id:x},c=page-read,d={deadline_ms},cluster={set} */"
        );
        let sent_at = Instant::now();
        let answer = timeout(ANSWER_TIMEOUT, connection.simple_query(&statement)).await;
        let late = sent_at
            .elapsed()
            .saturating_sub(Duration::from_millis(deadline_ms));
        let answered = match &answer {
            Ok(Ok(_)) => true,
            Ok(Err(error)) => error.as_db_error().is_some(),
            Err(_) => false,
        };
        ReadCounts {
            requests: 1,
            served: usize::from(matches!(answer, Ok(Ok(_)))),
            unanswered: usize::from(!answered),
            latest: late,
        }
    }
}

/// A session; none where the gateway takes none.
async fn connect(address: SocketAddr) -> Option<Rc<Client>> {
    let port = address.port();
    let url = format!("host=127.0.0.1 port={port} user=web dbname=orders");
    let connected = timeout(ANSWER_TIMEOUT, tokio_postgres::connect(&url, NoTls)).await;
    let (client, connection) = connected.ok()?.ok()?;
    spawn_local(connection);
    Some(Rc::new(client))
}
