//! The clients of a cluster: connections that send one request after the other and record each outcome.

use super::{Cluster, ClusterError};
use std::future::Future;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::task::Poll;
use std::time::Duration;
use tokio_postgres::{Client, NoTls};

/// Class name of page reads.
pub const PAGE_READ: &str = "page-read";
/// Class name of reports, whose value is higher than that of page reads.
pub const REPORT: &str = "report";
/// Number of sets to which clients send requests, in turn.
const SETS: u64 = 3;

/// The error with which a request ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Rejection {
    /// The SQLSTATE; `closed` for an error that is not from the server, such as a closed connection.
    pub code: String,
    /// The detail field of the error; empty if it has none.
    pub detail: String,
}

impl From<tokio_postgres::Error> for Rejection {
    fn from(error: tokio_postgres::Error) -> Self {
        match error.as_db_error() {
            None => Rejection {
                code: "closed".to_string(),
                detail: String::new(),
            },
            Some(error) => Rejection {
                code: error.code().code().to_string(),
                detail: error.detail().unwrap_or_default().to_string(),
            },
        }
    }
}

/// The outcome of one request of a client.
#[derive(Debug, Clone)]
pub struct RequestOutcome {
    /// Time at which the request ended, in milliseconds since the start of the run.
    pub at_ms: u64,
    /// The class of the request.
    pub class: &'static str,
    /// The set to which it was sent.
    pub set: u64,
    /// Why it was rejected or failed; `None` if it was served.
    pub rejection: Option<Rejection>,
}

impl RequestOutcome {
    /// Returns whether the request was served.
    #[must_use]
    pub fn is_served(&self) -> bool {
        self.rejection.is_none()
    }
}

/// The number of clients and the requests that they send.
#[derive(Debug, Clone, Copy)]
pub struct LoadProfile {
    /// Number of connections to each gateway.
    pub connections_per_gateway: usize,
    /// Time from an answer to the next request on the same connection.
    pub pause: Duration,
    /// One request in this many to each set is a page read; the others are reports.
    pub requests_per_page_read: u64,
    /// The deadline that clients state in each request, in milliseconds after the request.
    pub timeout_ms: u64,
}

/// A number of clients that send requests until they are stopped.
pub struct Load {
    profile: LoadProfile,
    stopped: AtomicBool,
    outcomes: Mutex<Vec<RequestOutcome>>,
}

/// Stops the clients when it is dropped, also when the run panics.
pub struct StopOnDrop<'a>(pub &'a Load);

impl Drop for StopOnDrop<'_> {
    fn drop(&mut self) {
        self.0.stopped.store(true, Ordering::Relaxed);
    }
}

impl Load {
    /// Creates clients that do not send requests yet.
    #[must_use]
    pub fn new(profile: LoadProfile) -> Self {
        Load {
            profile,
            stopped: AtomicBool::new(false),
            outcomes: Mutex::default(),
        }
    }

    /// Sends requests to these gateways until the clients are stopped. A client ends if it cannot connect to its
    /// gateway.
    ///
    /// # Errors
    /// The runtime cannot be created.
    pub fn run(&self, cluster: &Cluster, gateways: &[usize]) -> Result<(), ClusterError> {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()
            .map_err(ClusterError::Runtime)?;
        runtime.block_on(async {
            let per_gateway = self.profile.connections_per_gateway;
            let mut clients: Vec<_> = gateways
                .iter()
                .flat_map(|&gateway| (0..per_gateway).map(move |number| (gateway, number)))
                .map(|(gateway, number)| Box::pin(self.run_client(cluster, gateway, number)))
                .collect();
            std::future::poll_fn(|context| {
                clients.retain_mut(|client| client.as_mut().poll(context).is_pending());
                if clients.is_empty() {
                    return Poll::Ready(());
                }
                Poll::Pending
            })
            .await;
        });
        Ok(())
    }

    fn is_running(&self) -> bool {
        !self.stopped.load(Ordering::Relaxed)
    }

    /// Runs one client, which reconnects when its connection has ended.
    async fn run_client(&self, cluster: &Cluster, gateway: usize, number: usize) {
        let Some(address) = cluster.process(gateway).map(|process| process.address) else {
            return;
        };
        let port = address.port();
        let url = format!("host=127.0.0.1 port={port} user=web dbname=orders");
        let mut sequence = number as u64;
        while self.is_running() {
            let Ok((client, connection)) = tokio_postgres::connect(&url, NoTls).await else {
                return;
            };
            let connection = tokio::spawn(connection);
            while self.is_running() && !connection.is_finished() {
                sequence += 1;
                let id = format!("{gateway:x}f{number:x}f{sequence:x}");
                let outcome = self.request(cluster, &client, &id, sequence).await;
                self.outcomes().push(outcome);
                tokio::time::sleep(self.profile.pause).await;
            }
        }
    }

    /// Sends a client's request with this sequence number and waits until it ends.
    async fn request(
        &self,
        cluster: &Cluster,
        client: &Client,
        id: &str,
        sequence: u64,
    ) -> RequestOutcome {
        let set = sequence % SETS;
        let is_page_read = (sequence / SETS).is_multiple_of(self.profile.requests_per_page_read);
        let class = if is_page_read { PAGE_READ } else { REPORT };
        let timeout_ms = self.profile.timeout_ms;
        let statement = format!(
            "SELECT payload FROM entries WHERE ref = '7f3a' /* id={id},c={class},d={timeout_ms},cluster={set} */"
        );
        let rejection = client.simple_query(&statement).await.err();
        RequestOutcome {
            at_ms: cluster.clock.now(),
            class,
            set,
            rejection: rejection.map(Rejection::from),
        }
    }

    fn outcomes(&self) -> MutexGuard<'_, Vec<RequestOutcome>> {
        let outcomes = self.outcomes.lock();
        outcomes.unwrap_or_else(PoisonError::into_inner)
    }

    /// The outcomes of the requests that ended at `from` or later and before `to`, both in milliseconds since the
    /// start of the run.
    #[must_use]
    pub fn outcomes_between(&self, from: u64, to: u64) -> Vec<RequestOutcome> {
        self.outcomes()
            .iter()
            .filter(|outcome| (from..to).contains(&outcome.at_ms))
            .cloned()
            .collect()
    }
}
