//! Sends reads with short deadlines, and measures how long after their deadlines the answers arrive.

use super::ClusterError;
use crate::flood::UNANSWERED_READ;
use serde::Serialize;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::task::{spawn_local, LocalSet};
use tokio::time::{sleep, timeout};
use tokio_postgres::{Client, NoTls};

/// Deadlines that clients state in their reads, in turn, in milliseconds after the read was sent.
const DEADLINES_MS: [u64; 5] = [0, 1, 50, 200, 400];
/// Time after which a read without an answer counts as unanswered; also limits the time to connect.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(10);
/// An answer that arrives later than this after its deadline counts as lost.
pub const LATE_ANSWER: Duration = Duration::from_millis(500);
/// Distance between the numbers of the sets of two successive reads of a client, modulo the number of sets.
const SET_STRIDE: u64 = 7_919;

/// The number of clients and the reads that they send.
#[derive(Debug, Clone, Copy)]
pub struct TimedReads {
    /// Number of clients.
    pub clients: u64,
    /// Time between the starts of two reads of a client.
    pub interval: Duration,
    /// Time from the start until clients send no more reads.
    pub duration: Duration,
    /// Number of sets, from set 0 on, to which clients send reads.
    pub sets: u64,
    /// Every read of a client whose number is a multiple of this is one that its host does not answer; 0 for none.
    pub unanswered_every: u64,
}

/// The outcomes of the reads.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
pub struct ReadCounts {
    /// Number of reads that were sent.
    pub requests: usize,
    /// Number of reads that were served.
    pub served: usize,
    /// Number of reads without an answer: timed out, or ended by an error that is not from the server.
    pub unanswered: usize,
    /// Number of reads that were answered later than [`LATE_ANSWER`] after their deadlines.
    pub late: usize,
    /// Longest time from the deadline of a read to its end.
    pub max_lateness: Duration,
}

impl ReadCounts {
    fn add(&mut self, other: ReadCounts) {
        self.requests += other.requests;
        self.served += other.served;
        self.unanswered += other.unanswered;
        self.late += other.late;
        self.max_lateness = self.max_lateness.max(other.max_lateness);
    }

    /// The share of reads that was served, 0 to 1.
    #[must_use]
    pub fn served_share(&self) -> f64 {
        self.served as f64 / self.requests.max(1) as f64
    }
}

impl TimedReads {
    /// Sends all reads to the gateway at this address and waits for their ends.
    ///
    /// # Errors
    /// The runtime cannot be created.
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

    /// Sends one read and waits for its answer or the timeout.
    async fn read(self, connection: &Client, client: u64, number: u64) -> ReadCounts {
        let id = (client << 32) + number + 1;
        let deadline_ms = DEADLINES_MS[((client + number) % DEADLINES_MS.len() as u64) as usize];
        let set = (client + number).wrapping_mul(SET_STRIDE) % self.sets;
        let is_unanswered =
            self.unanswered_every > 0 && number.is_multiple_of(self.unanswered_every);
        let reference = if is_unanswered {
            UNANSWERED_READ
        } else {
            "7f3a"
        };
        let statement = format!(
            "SELECT payload FROM entries WHERE ref = '{reference}' /* id={id:x},c=page-read,d={deadline_ms},cluster={set} */"
        );
        let sent_at = Instant::now();
        let answer = timeout(ANSWER_TIMEOUT, connection.simple_query(&statement)).await;
        let lateness = sent_at
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
            late: usize::from(answered && lateness > LATE_ANSWER),
            max_lateness: lateness,
        }
    }
}

/// Opens a session; `None` if the gateway does not accept it within [`ANSWER_TIMEOUT`].
async fn connect(address: SocketAddr) -> Option<Rc<Client>> {
    let port = address.port();
    let url = format!("host=127.0.0.1 port={port} user=web dbname=orders");
    let connected = timeout(ANSWER_TIMEOUT, tokio_postgres::connect(&url, NoTls)).await;
    let (client, connection) = connected.ok()?.ok()?;
    spawn_local(connection);
    Some(Rc::new(client))
}
