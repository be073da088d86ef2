//! A planned shutdown after SIGTERM or SIGINT: its schedule and its steps.
//!
//! Clients use the connections that they have for as long as these stay open, and nobody takes over what a closed
//! connection would have carried until the gateway is back. So connections are served until little time is left.

use crate::net::config::ListenerSource;
use crate::net::downstream::listener::ClientListener;
use crate::net::lifecycle::listening_socket::ListeningSocket;
use crate::net::lifecycle::peer_socket_task::PeerSocketHandle;
use crate::net::lifecycle::shared_parts::SharedParts;
use crate::net::log::log;
use crate::net::request::ShutdownDeadlines;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::JoinHandle;
use tokio::time::{sleep, sleep_until, Instant};

/// The platform kills the process no sooner than this after the longest deadline.
const KILL_DELAY: Duration = Duration::from_millis(700);
/// The platform counts no deadline as longer than this.
const LONGEST_COUNTED_DEADLINE: Duration = Duration::from_secs(3);
/// New connections come for 0.4 s after the signal; a little longer than that, all of them are accepted.
const NEW_CONNECTIONS_PERIOD: Duration = Duration::from_millis(500);
/// New requests end this long before the kill, as far as that leaves [`NEW_CONNECTIONS_PERIOD`].
const REQUESTS_END_BEFORE_KILL: Duration = Duration::from_millis(800);
/// Every request has its answer this long before the kill, so that the answer still reaches the client.
const ANSWERS_END_BEFORE_KILL: Duration = Duration::from_millis(300);
/// Where less time is left between the last request and the kill, answers end when one part in three of it is left.
const ANSWERS_END_DIVISOR: u32 = 3;
/// Of the time between the last answers and the kill, clients are read for one part in so many. The rest is for the end of
/// their connections: more than the 0.15 s for which a machine may stand still.
const READ_DIVISOR: u32 = 3;
/// Clients have at least this long to close their side of a connection that the gateway has ended.
const LAST_CLOSE_TIMEOUT: Duration = Duration::from_secs(1);
/// How often a shutdown checks whether a step is done; short against the 0.3 s that answers have.
const CHECK_INTERVAL: Duration = Duration::from_millis(5);

/// When the steps of a shutdown are due, as times since the signal.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ShutdownSchedule {
    /// Until then all connections and requests are accepted.
    pub accept_all_until: Duration,
    /// Until then requests on open connections are accepted.
    pub accept_requests_until: Duration,
    /// By then every request has its answer, and those that come later are rejected at once.
    pub answer_by: Duration,
    /// From then on clients are not read any more: what is left is for the end of their connections.
    pub read_until: Duration,
}

impl ShutdownSchedule {
    /// The schedule for this longest deadline among the classes that new requests can be in.
    pub fn new(longest_deadline: Duration) -> Self {
        let killed = longest_deadline.min(LONGEST_COUNTED_DEADLINE) + KILL_DELAY;
        let accept_requests_until = killed
            .saturating_sub(REQUESTS_END_BEFORE_KILL)
            .max(NEW_CONNECTIONS_PERIOD);
        let left = killed - accept_requests_until;
        let answers_end_before_kill = ANSWERS_END_BEFORE_KILL.min(left / ANSWERS_END_DIVISOR);
        Self {
            accept_all_until: NEW_CONNECTIONS_PERIOD,
            accept_requests_until,
            answer_by: killed - answers_end_before_kill,
            read_until: killed - (answers_end_before_kill - answers_end_before_kill / READ_DIVISOR),
        }
    }
}

/// The parts of a gateway that shuts down.
pub struct Shutdown {
    /// Serving state, classes and router.
    pub parts: SharedParts,
    /// The clients' connections.
    pub client_listener: Rc<ClientListener>,
    /// The socket on which clients connect.
    pub listener: ListeningSocket,
    /// The task that accepts them.
    pub accept_task: JoinHandle<()>,
    /// The peer socket, if it is open.
    pub peer_socket: Rc<PeerSocketHandle>,
}

impl Shutdown {
    /// Runs all steps in order; the process can end when this returns.
    pub async fn run(self) {
        let started = Instant::now();
        let schedule = self.announce(started);
        // The other gateways are informed meanwhile: a socket that takes no datagram must not delay the schedule.
        self.peer_socket.leave();
        self.accept_last_requests(started, schedule).await;
        let Self {
            parts,
            client_listener,
            listener,
            accept_task,
            ..
        } = self;
        stop_accepting(&client_listener, listener, accept_task).await;
        parts.serving_state.close();
        finish_open_requests(&parts, &client_listener).await;
    }

    /// Changes the serving state, and gives all requests the time by which they need their answers.
    fn announce(&self, started: Instant) -> ShutdownSchedule {
        let schedule = ShutdownSchedule::new(self.parts.classes.longest_deadline());
        let context = &self.client_listener.request_context;
        context.shutdown.send_replace(Some(ShutdownDeadlines {
            answer_by: started + schedule.answer_by,
            read_until: started + schedule.read_until,
        }));
        self.parts.serving_state.stop();
        log!("stopping");
        log!(
            "{} requests are open on {} connections; requests are taken for {:?}, answers are due within {:?}",
            self.parts.router.open_requests(),
            self.client_listener.connection_limit.open_connections(),
            schedule.accept_requests_until,
            schedule.answer_by
        );
        schedule
    }

    /// Goes on serving while the schedule leaves time for it: at first all that comes, then the connections that are
    /// open. Not where another process accepts clients on the same socket: that one serves them.
    async fn accept_last_requests(&self, started: Instant, schedule: ShutdownSchedule) {
        if self.listener.source == ListenerSource::Inherited {
            return;
        }
        sleep_until(started + schedule.accept_all_until).await;
        while self.client_listener.connection_limit.open_connections() > 0
            && started.elapsed() < schedule.accept_requests_until
        {
            sleep(CHECK_INTERVAL).await;
        }
    }
}

/// Closes the listener. Connections in its queue are still served, unless the socket is inherited: then they are the
/// next process's, as are the clients that are disconnected now.
async fn stop_accepting(
    client_listener: &Rc<ClientListener>,
    listener: ListeningSocket,
    accept_task: JoinHandle<()>,
) {
    accept_task.abort();
    let _ = accept_task.await;
    if listener.source == ListenerSource::Bound {
        client_listener.accept_queued(&listener.socket).await;
    }
}

/// Waits until all connections are closed and all requests are over, at most for the longest deadline. Requests keep
/// the classes that they came in, whatever the settings say now.
async fn finish_open_requests(parts: &SharedParts, client_listener: &ClientListener) {
    let longest = parts
        .classes
        .longest_deadline_in_use()
        .max(LAST_CLOSE_TIMEOUT);
    let end = Instant::now() + longest;
    let has_work = || {
        client_listener.connection_limit.open_connections() > 0 || parts.router.open_requests() > 0
    };
    while has_work() && Instant::now() < end {
        sleep(CHECK_INTERVAL).await;
    }
    let unfinished = parts.router.open_requests();
    if unfinished > 0 {
        log!("{unfinished} requests are not finished at the end");
    }
}

#[cfg(test)]
#[path = "../../../tests/unit/shutdown.rs"]
mod tests;
