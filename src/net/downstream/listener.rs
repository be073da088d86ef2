//! The accept loop: accepts client connections on the listening socket and spawns a task for each of them.

use crate::net::buffers::Pool;
use crate::net::downstream::cancel::CancelRegistry;
use crate::net::downstream::connection::serve_connection;
use crate::net::downstream::connection_limit::ConnectionLimit;
use crate::net::downstream::turns::TurnQueue;
use crate::net::log::log;
use crate::net::metrics::increment;
use crate::net::request::classes::Classes;
use crate::net::request::RequestContext;
use crate::net::serving_state::ServingState;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::yield_now;
use tokio::time::{sleep, timeout};

/// How long a terminating process waits for each further connection in the accept queue. Without this wait, the runtime
/// would not have noticed the connections that arrived last, and they would be reset.
const ACCEPT_QUEUE_TIMEOUT: Duration = Duration::from_millis(2);
/// Number of connections that are accepted before the runtime polls its sockets and timers.
const MAX_ACCEPTS_PER_TURN: usize = 4;
/// Pause after a failed accept, for example because the process has no file descriptors left. The connection stays in
/// the queue, so that retrying without a pause would be a busy loop.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(10);

/// The listener for PostgreSQL clients, with the state that all client connections share.
pub struct ClientListener {
    /// Executes the clients' requests.
    pub request_context: Rc<RequestContext>,
    /// The pool of message buffers.
    pub pool: Rc<Pool>,
    /// The request classes and the other settings.
    pub classes: Rc<Classes>,
    /// The limit on open client connections.
    pub connection_limit: Rc<ConnectionLimit>,
    /// Whether clients are being served or disconnected.
    pub serving_state: Rc<ServingState>,
    /// The cancel keys of all client connections.
    pub cancels: Rc<CancelRegistry>,
    /// The client connections that wait for their next turn.
    pub turns: TurnQueue,
}

impl ClientListener {
    /// Marks the process as serving, then accepts clients; never returns.
    pub async fn accept(self: Rc<Self>, listener: Rc<TcpListener>) {
        self.serving_state.mark_ready();
        let mut accepted = 0;
        loop {
            match listener.accept().await {
                Ok((stream, _)) => {
                    self.spawn_connection(stream);
                    accepted += 1;
                    // At the limit, evicted connections close their sockets first: otherwise a burst of new clients
                    // would use up all file descriptors.
                    if accepted >= MAX_ACCEPTS_PER_TURN || self.connection_limit.is_full() {
                        yield_now().await;
                        accepted = 0;
                    }
                }
                Err(error) => {
                    log!("clients: cannot accept a connection: {error}");
                    sleep(ACCEPT_RETRY_DELAY).await;
                }
            }
        }
    }

    /// Accepts the connections that are still in the accept queue when the process terminates, because requests may
    /// already have arrived on them.
    pub async fn accept_queued(self: &Rc<Self>, listener: &TcpListener) {
        while let Ok(Ok((stream, _))) = timeout(ACCEPT_QUEUE_TIMEOUT, listener.accept()).await {
            self.spawn_connection(stream);
            yield_now().await;
        }
    }

    fn spawn_connection(self: &Rc<Self>, stream: TcpStream) {
        increment(&self.request_context.metrics.connections.downstream_accepted);
        let Some(permit) = self.connection_limit.acquire() else {
            return;
        };
        tokio::task::spawn_local(serve_connection(Rc::clone(self), stream, permit));
    }
}
