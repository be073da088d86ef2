//! A planned shutdown after SIGTERM or SIGINT: its schedule and its steps.
//!
//! Clients go on using their connections for as long as these stay open. The requests that a closed connection would
//! have carried are not served by any other gateway until this one has restarted. Therefore the gateway serves open
//! connections until little time is left before the platform kills the process.

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

/// The platform counts the longest deadline of the classes from the signal, and kills the process no sooner than this
/// after that deadline.
const KILL_DELAY: Duration = Duration::from_millis(700);
/// Longest deadline that the platform takes into account for the time of the kill. A longer one counts as this long.
const LONGEST_COUNTED_DEADLINE: Duration = Duration::from_secs(3);
/// Time after the signal during which all new connections are accepted. Clients open them for up to 0.4 s after the
/// signal; the rest is a margin.
const NEW_CONNECTIONS_PERIOD: Duration = Duration::from_millis(500);
/// Requests are accepted until this long before the kill, but at least until [`NEW_CONNECTIONS_PERIOD`] has ended.
const REQUESTS_END_BEFORE_KILL: Duration = Duration::from_millis(800);
/// Time from the last answer to the kill, so that the answer still reaches the client. [`ANSWERS_END_DIVISOR`] limits
/// this time.
const ANSWERS_END_BEFORE_KILL: Duration = Duration::from_millis(300);
/// Limits [`ANSWERS_END_BEFORE_KILL`] to one third of the time from the last accepted request to the kill, which is
/// shorter where deadlines are short. The other two thirds are for answering that request.
const ANSWERS_END_DIVISOR: u32 = 3;
/// The gateway still reads from clients during one third of the time from the last answer to the kill. The other two
/// thirds are for closing the connections. Unless deadlines are short, those are longer than the 0.15 s for which a
/// machine may be paused.
const READ_DIVISOR: u32 = 3;
/// Time after the earliest kill for which a process that still owes an answer goes on. What it loses by ending on its own
/// is lost, whereas the platform excuses what the kill finds; and the kill may come later than it is due.
const EXIT_AFTER_KILL: Duration = Duration::from_secs(1);
/// Minimum time that clients have to close their side of a connection that the gateway has closed.
const LAST_CLOSE_TIMEOUT: Duration = Duration::from_secs(1);
/// Time between two checks whether a step of the shutdown is complete. Short compared with
/// [`ANSWERS_END_BEFORE_KILL`].
const CHECK_INTERVAL: Duration = Duration::from_millis(5);

/// The times at which the steps of a shutdown end, counted from the signal.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ShutdownSchedule {
    /// All connections and requests are accepted until this time.
    pub accept_all_until: Duration,
    /// Requests on open connections are accepted until this time.
    pub accept_requests_until: Duration,
    /// Every request is answered by this time, and requests that arrive later are rejected at once.
    pub answer_by: Duration,
    /// The gateway reads from clients until this time. The time after it is for closing their connections.
    pub read_until: Duration,
}

impl ShutdownSchedule {
    /// Returns the schedule for the longest deadline among the classes of the newest settings.
    pub fn new(longest_deadline: Duration) -> Self {
        let kill_at = longest_deadline.min(LONGEST_COUNTED_DEADLINE) + KILL_DELAY;
        let accept_requests_until = kill_at
            .saturating_sub(REQUESTS_END_BEFORE_KILL)
            .max(NEW_CONNECTIONS_PERIOD);
        let last_request_to_kill = kill_at - accept_requests_until;
        let answers_end_before_kill =
            ANSWERS_END_BEFORE_KILL.min(last_request_to_kill / ANSWERS_END_DIVISOR);
        Self {
            accept_all_until: NEW_CONNECTIONS_PERIOD,
            accept_requests_until,
            answer_by: kill_at - answers_end_before_kill,
            read_until: kill_at
                - (answers_end_before_kill - answers_end_before_kill / READ_DIVISOR),
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
    /// The task that accepts client connections.
    pub accept_task: JoinHandle<()>,
    /// The peer socket, which may not be open yet.
    pub peer_socket: Rc<PeerSocketHandle>,
}

impl Shutdown {
    /// Runs all steps in order. The process can end when this returns.
    pub async fn run(self) {
        let started = Instant::now();
        let schedule = self.announce(started);
        // The other gateways are informed after the schedule has started, because a socket that accepts no datagram
        // must not delay it.
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
        finish_open_requests(&parts, &client_listener, started).await;
        client_listener.request_context.claims.leave();
    }

    /// Changes the serving state, and tells all requests and connections the deadlines of the shutdown.
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
            "{} requests are open on {} connections; requests are accepted for {:?}, answers are due within {:?}",
            self.parts.router.open_requests(),
            self.client_listener.connection_limit.open_connections(),
            schedule.accept_requests_until,
            schedule.answer_by
        );
        schedule
    }

    /// Goes on serving for as long as the schedule allows: at first new connections too, then only the open ones.
    /// Returns at once if the listener is inherited, because another process of the gateway then serves the clients.
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

/// Closes the listener. Connections in its accept queue are still served, unless the socket is inherited: then the next
/// process accepts them, and the clients that this process disconnects connect to that process.
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

/// Waits until all connections are closed and all requests have ended, until [`exit_deadline`] at the latest.
async fn finish_open_requests(
    parts: &SharedParts,
    client_listener: &ClientListener,
    started: Instant,
) {
    let longest_deadline = parts.classes.longest_deadline_in_use();
    let deadline = exit_deadline(started, Instant::now(), longest_deadline);
    let has_work = || {
        client_listener.connection_limit.open_connections() > 0 || parts.router.open_requests() > 0
    };
    while has_work() && Instant::now() < deadline {
        sleep(CHECK_INTERVAL).await;
    }
    let unfinished = parts.router.open_requests();
    if unfinished > 0 {
        log!("{unfinished} requests were still unfinished when the shutdown ended");
    }
}

/// Returns the time at which a shutdown that began at `started` ends although connections or requests are open. Requests
/// were accepted until `now`, and `longest_deadline` is the longest of their classes: a request keeps the deadline of the
/// class with which it arrived, even if the settings have changed since.
fn exit_deadline(started: Instant, now: Instant, longest_deadline: Duration) -> Instant {
    let after_last_request = now + longest_deadline.max(LAST_CLOSE_TIMEOUT);
    // Requests on open connections are accepted for a while after `now` too. Their answers are due before the kill.
    let after_kill = started + longest_deadline + KILL_DELAY + EXIT_AFTER_KILL;
    after_last_request.max(after_kill)
}

#[cfg(test)]
#[path = "../../../tests/unit/shutdown.rs"]
mod tests;
