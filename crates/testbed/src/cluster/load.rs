//! Clients of a cluster: connections that ask over and over, and what each was answered.

use super::Cluster;
use std::future::Future;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

/// An answer that a client got.
#[derive(Debug, Clone)]
pub struct Got {
    /// When, in milliseconds of the run.
    pub at: u64,
    /// The class that it asked in.
    pub class: &'static str,
    /// The set that it asked.
    pub set: u64,
    /// The code and the detail of a refusal or failure; none where it was served.
    pub refused: Option<(String, String)>,
}

/// What the clients ask.
#[derive(Debug, Clone, Copy)]
pub struct Shape {
    /// Connections to each gateway.
    pub each: usize,
    /// One of them asks again so long after its answer.
    pub pause: Duration,
    /// One in so many asks for a page, the others for a report.
    pub pages: u64,
    /// How long they wait for an answer, in milliseconds.
    pub patience_ms: u64,
}

/// Clients that ask until they are stopped.
pub struct Load {
    shape: Shape,
    stop: AtomicBool,
    got: Mutex<Vec<Got>>,
}

/// Ends the clients also where the run fails.
pub struct Stop<'a>(pub &'a Load);

impl Drop for Stop<'_> {
    fn drop(&mut self) {
        self.0.stop.store(true, Ordering::Relaxed);
    }
}

impl Load {
    /// Clients that have not begun.
    #[must_use]
    pub fn new(shape: Shape) -> Self {
        Load {
            shape,
            stop: AtomicBool::new(false),
            got: Mutex::default(),
        }
    }

    /// Asks these gateways until it is stopped. A client whose gateway is gone ends.
    ///
    /// # Errors
    /// There is no runtime.
    pub fn run(&self, cluster: &Cluster, gateways: &[usize]) -> Result<(), String> {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build();
        let runtime = runtime.map_err(|e| format!("no runtime: {e}"))?;
        runtime.block_on(async {
            let each = gateways
                .iter()
                .flat_map(|&g| (0..self.shape.each).map(move |n| (g, n)));
            let mut clients: Vec<_> = each
                .map(|(g, n)| Box::pin(self.client(cluster, g, n)))
                .collect();
            std::future::poll_fn(|cx| {
                clients.retain_mut(|client| client.as_mut().poll(cx).is_pending());
                if clients.is_empty() {
                    return std::task::Poll::Ready(());
                }
                std::task::Poll::Pending
            })
            .await;
        });
        Ok(())
    }

    fn goes_on(&self) -> bool {
        !self.stop.load(Ordering::Relaxed)
    }

    async fn client(&self, cluster: &Cluster, gateway: usize, n: usize) {
        let Some(at) = cluster.process(gateway).map(|p| p.address) else {
            return;
        };
        let way = format!("host=127.0.0.1 port={} user=web dbname=orders", at.port());
        let mut turn = n as u64;
        while self.goes_on() {
            let Ok((client, connection)) =
                tokio_postgres::connect(&way, tokio_postgres::NoTls).await
            else {
                return;
            };
            let carried = tokio::spawn(connection);
            while self.goes_on() && !carried.is_finished() {
                turn += 1;
                let (set, page) = (turn % 3, (turn / 3).is_multiple_of(self.shape.pages));
                let class = if page { "page-read" } else { "report" };
                let (id, wait) = (
                    format!("{gateway:x}f{n:x}f{turn:x}"),
                    self.shape.patience_ms,
                );
                let text = format!(
                    "SELECT payload FROM entries WHERE ref = '7f3a' /* id={id},c={class},d={wait},cluster={set} */"
                );
                let refused = client.simple_query(&text).await.err().map(|e| {
                    e.as_db_error().map_or_else(
                        || ("closed".to_string(), String::new()),
                        |d| {
                            (
                                d.code().code().to_string(),
                                d.detail().unwrap_or_default().to_string(),
                            )
                        },
                    )
                });
                let got = Got {
                    at: cluster.clock.now(),
                    class,
                    set,
                    refused,
                };
                self.got
                    .lock()
                    .unwrap_or_else(PoisonError::into_inner)
                    .push(got);
                tokio::time::sleep(self.shape.pause).await;
            }
        }
    }

    /// The answers between two times, in milliseconds of the run.
    #[must_use]
    pub fn got(&self, from: u64, to: u64) -> Vec<Got> {
        let got = self.got.lock().unwrap_or_else(PoisonError::into_inner);
        got.iter()
            .filter(|g| (from..to).contains(&g.at))
            .cloned()
            .collect()
    }
}
