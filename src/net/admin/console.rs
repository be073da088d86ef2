//! The operators' console, which listens on an address of its own. Each connection sends one line and receives one
//! line.
//!
//! This module handles the connections; `console_call` has the calls and their answers.

use crate::net::admin::console_call::{execute, format_answer, CallError, ConsoleCall};
use crate::net::cluster::drains::DrainService;
use crate::net::cluster::leases::LeaseService;
use crate::net::cluster::membership::MembershipService;
use crate::net::cluster::site_failover::SiteFailoverService;
use crate::net::log::log;
use crate::net::serving_state::ServingState;
use std::collections::VecDeque;
use std::io;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::{spawn_local, AbortHandle};
use tokio::time::{sleep, timeout};

/// Maximum number of open connections; a further one closes the oldest. Connections that send nothing must neither use
/// up the file descriptors nor block other callers.
const MAX_CONNECTIONS: usize = 16;
/// How long a connection may take in total, from its start to its close.
const CALL_TIMEOUT: Duration = Duration::from_secs(3);
/// How long the gateway waits for a caller to close its side after the answer.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(500);
/// Maximum length of a line, in bytes: enough for the longest call with a host's name.
const MAX_LINE_LENGTH: usize = 128;
/// Pause after a failed accept, for example because the system has no file descriptors left. Retrying without a pause
/// would be a busy loop.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(10);

/// The state that operators can inspect and change through the console.
pub struct Console {
    /// Whether clients are served or disconnected.
    pub serving_state: Rc<ServingState>,
    /// Cluster membership, if it is enabled.
    pub membership: Option<Rc<MembershipService>>,
    /// The leases of this gateway, if leases are enabled.
    pub leases: Option<Rc<LeaseService>>,
    /// Drains of database hosts, if leases are enabled.
    pub drains: Option<Rc<DrainService>>,
    /// Site failover, if it is enabled.
    pub site_failover: Option<Rc<SiteFailoverService>>,
}

/// Accepts connections and answers their calls; never returns.
pub async fn serve(listener: TcpListener, console: Rc<Console>) {
    let mut connections: VecDeque<AbortHandle> = VecDeque::new();
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                close_oldest(&mut connections);
                let connection = spawn_local(serve_connection(stream, Rc::clone(&console)));
                connections.push_back(connection.abort_handle());
            }
            Err(error) => {
                log!("console: cannot accept a connection: {error}");
                sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

/// Closes the oldest connections until one more fits into the limit.
fn close_oldest(connections: &mut VecDeque<AbortHandle>) {
    connections.retain(|connection| !connection.is_finished());
    while connections.len() >= MAX_CONNECTIONS {
        if let Some(oldest) = connections.pop_front() {
            oldest.abort();
        }
    }
}

async fn serve_connection(stream: TcpStream, console: Rc<Console>) {
    // A caller that is too slow or disconnects gets no answer, and there is no one to report that to.
    let _ = timeout(CALL_TIMEOUT, answer_call(stream, &console)).await;
}

async fn answer_call(mut stream: TcpStream, console: &Console) -> io::Result<()> {
    let answer = match read_line(&mut stream).await? {
        Line::Complete(line) => match ConsoleCall::parse(&line) {
            Ok(call) => execute(call, console).await,
            Err(error) => Err(error),
        },
        Line::TooLong => Err(CallError::LineTooLong),
        Line::Ended => return Ok(()),
    };
    let line = format_answer(&answer);
    stream.write_all(line.as_bytes()).await?;
    stream.shutdown().await?;
    discard_input(&mut stream).await;
    Ok(())
}

/// The result of reading a line.
enum Line {
    /// The line without its newline.
    Complete(Vec<u8>),
    /// There was no newline within [`MAX_LINE_LENGTH`] bytes.
    TooLong,
    /// The caller closed its side before the newline.
    Ended,
}

async fn read_line(stream: &mut TcpStream) -> io::Result<Line> {
    let mut buffer = [0; MAX_LINE_LENGTH];
    let mut length = 0;
    loop {
        if let Some(end) = buffer[..length].iter().position(|&byte| byte == b'\n') {
            return Ok(Line::Complete(buffer[..end].to_vec()));
        }
        if length == buffer.len() {
            return Ok(Line::TooLong);
        }
        match stream.read(&mut buffer[length..]).await? {
            0 => return Ok(Line::Ended),
            read => length += read,
        }
    }
}

/// Reads and discards input until the caller closes its side. Closing a connection with unread bytes resets it, and the
/// caller could lose the answer.
async fn discard_input(stream: &mut TcpStream) {
    let mut discarded = [0; MAX_LINE_LENGTH];
    let discarding =
        async { while matches!(stream.read(&mut discarded).await, Ok(read) if read > 0) {} };
    // On a timeout the connection is closed too.
    let _ = timeout(CLOSE_TIMEOUT, discarding).await;
}
