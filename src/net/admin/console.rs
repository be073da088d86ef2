//! The operators' console: a second address, where each connection carries one line and gets one line.
//!
//! This module owns the connections; `console_call` has the calls and their answers.

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

/// Connections at a time; one more closes the oldest. Connections that send nothing must neither use up the descriptors
/// nor keep out those that call.
const MAX_CONNECTIONS: usize = 16;
/// A connection has this long for its call, its answer and its end.
const CALL_TIMEOUT: Duration = Duration::from_secs(3);
/// A caller has this long to close its side after the answer.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(500);
/// Longest line that is read, in bytes: the longest call with the name of a host fits in.
const MAX_LINE_LENGTH: usize = 128;
/// Pause after a failed accept, as when the system has no descriptor left: without it the task would spin.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(10);

/// What operators may inspect and change.
pub struct Console {
    /// Whether clients are served.
    pub serving_state: Rc<ServingState>,
    /// Cluster membership, where it is on.
    pub membership: Option<Rc<MembershipService>>,
    /// The leases of this gateway, where they are on.
    pub leases: Option<Rc<LeaseService>>,
    /// Drains of database hosts, where leases are on.
    pub drains: Option<Rc<DrainService>>,
    /// Site failover, where it is on.
    pub site_failover: Option<Rc<SiteFailoverService>>,
}

/// Accepts and answers calls; never returns.
pub async fn serve(listener: TcpListener, console: Rc<Console>) {
    let mut connections: VecDeque<AbortHandle> = VecDeque::new();
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                make_room(&mut connections);
                let connection = spawn_local(serve_connection(stream, Rc::clone(&console)));
                connections.push_back(connection.abort_handle());
            }
            Err(error) => {
                log!("console: cannot accept: {error}");
                sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

/// Ends the oldest connections until there is room for one more.
fn make_room(connections: &mut VecDeque<AbortHandle>) {
    connections.retain(|connection| !connection.is_finished());
    while connections.len() >= MAX_CONNECTIONS {
        if let Some(oldest) = connections.pop_front() {
            oldest.abort();
        }
    }
}

async fn serve_connection(stream: TcpStream, console: Rc<Console>) {
    // A caller that is too slow or breaks off gets no answer; there is nobody to report that to.
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
    discard_rest(&mut stream).await;
    Ok(())
}

/// What came of reading a line.
enum Line {
    /// The line without its newline.
    Complete(Vec<u8>),
    /// No newline within [`MAX_LINE_LENGTH`] bytes.
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

/// Reads until the caller closes its side. Closing a connection with bytes unread resets it, and the caller would lose
/// the answer.
async fn discard_rest(stream: &mut TcpStream) {
    let mut discarded = [0; MAX_LINE_LENGTH];
    let rest = async { while matches!(stream.read(&mut discarded).await, Ok(read) if read > 0) {} };
    // After the timeout the connection is closed all the same.
    let _ = timeout(CLOSE_TIMEOUT, rest).await;
}
