//! The operators' console: a second address, where each connection carries one line and gets one line.

use crate::net::admin::serving_state::{ServingMode, ServingState};
use crate::net::cluster::drains::DrainService;
use crate::net::cluster::leases::LeaseService;
use crate::net::cluster::membership::MembershipService;
use crate::net::cluster::site_failover::SiteFailoverService;
use crate::net::log::log;
use irisrouter_drain_coordination::DesiredState;
use std::collections::VecDeque;
use std::io;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::{spawn_local, AbortHandle};
use tokio::time::{sleep, timeout};

/// Callers at a time; the first to come makes room for the next. Danger: callers that say nothing would use up
/// descriptors, or keep out those that do.
pub const CALLERS: usize = 16;
/// A caller has so long to say what it wants and to take the answer.
const CALL_TIME: Duration = Duration::from_secs(3);
/// And then so long to close.
const LINGER: Duration = Duration::from_millis(500);
/// Longest line that is read.
const LONGEST: usize = 128;
/// Pause when the system gives no descriptor.
const ACCEPT_PAUSE: Duration = Duration::from_millis(10);

/// What operators may ask about and change.
pub struct Console {
    /// Whether clients are welcome.
    pub serving_state: Rc<ServingState>,
    /// Who of the gateways is there, where that is on.
    pub membership: Option<Rc<MembershipService>>,
    /// What this gateway owns, where that is on.
    pub leases: Option<Rc<LeaseService>>,
    /// Drains of database hosts, where leases are on.
    pub drains: Option<Rc<DrainService>>,
    /// Plans for lost sites, where that is on.
    pub site_failover: Option<Rc<SiteFailoverService>>,
}

/// Answers callers for ever.
pub async fn serve(listener: TcpListener, console: Rc<Console>) {
    let mut callers: VecDeque<AbortHandle> = VecDeque::new();
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                callers.retain(|c| !c.is_finished());
                while callers.len() >= CALLERS {
                    callers.pop_front().iter().for_each(AbortHandle::abort);
                }
                let console = Rc::clone(&console);
                let call = async move { drop(timeout(CALL_TIME, attend(stream, &console)).await) };
                callers.push_back(spawn_local(call).abort_handle());
            }
            Err(e) => {
                log!("the console cannot accept: {e}");
                sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn attend(mut stream: TcpStream, console: &Console) -> io::Result<()> {
    let mut line = [0; LONGEST];
    let mut read = 0;
    let answer = loop {
        if let Some(end) = line[..read].iter().position(|&b| b == b'\n') {
            break answer(&line[..end], console).await;
        }
        if read == line.len() {
            break "-ERR the line is too long".to_string();
        }
        match stream.read(&mut line[read..]).await? {
            0 => return Ok(()),
            n => read += n,
        }
    };
    stream.write_all(format!("{answer}\n").as_bytes()).await?;
    stream.shutdown().await?;
    // Danger: closing with bytes unread resets the connection, and takes the answer along.
    let rest = async { while matches!(stream.read(&mut line).await, Ok(n) if n > 0) {} };
    drop(timeout(LINGER, rest).await);
    Ok(())
}

/// The answer to one line.
async fn answer(line: &[u8], console: &Console) -> String {
    let serving_state = &console.serving_state;
    let line = line.strip_suffix(b"\r").unwrap_or(line);
    match line {
        b"readyz" => match serving_state.get() {
            ServingMode::Serving => "+OK ready".into(),
            ServingMode::Starting => "-ERR starting".into(),
            ServingMode::Drained => "-ERR drained".into(),
            ServingMode::Stopping | ServingMode::Closing => "-ERR stopping".into(),
        },
        b"evacuate" => {
            serving_state.evacuate();
            log!("console: clients are sent away");
            "+OK clients are sent away".into()
        }
        b"activate" if serving_state.activate() => {
            log!("console: clients are welcome");
            "+OK clients are welcome".into()
        }
        b"activate" => "-ERR stopping".into(),
        b"members" => match &console.membership {
            Some(membership) => format!("+OK {}", membership.status_line()),
            None => "-ERR membership is off".into(),
        },
        b"duties" => match &console.leases {
            Some(leases) => format!("+OK {}", leases.status_line()),
            None => "-ERR takeover is off".into(),
        },
        b"plan" => match &console.site_failover {
            Some(site_failover) => format!("+OK {}", site_failover.status_line()),
            None => "-ERR site plans are off".into(),
        },
        b"drains" => match &console.drains {
            Some(drains) => format!("+OK {}", drains.status_line()),
            None => "-ERR takeover is off".into(),
        },
        _ => match (host(line, "drain "), host(line, "undrain ")) {
            (Some(host), _) => command(console, host, DesiredState::Drained).await,
            (None, Some(host)) => command(console, host, DesiredState::InService).await,
            _ => "-ERR unknown call: readyz, evacuate, activate, members, duties, plan, drains, \
                  drain HOST or undrain HOST"
                .into(),
        },
    }
}

/// The host that a call names.
fn host<'a>(line: &'a [u8], call: &str) -> Option<&'a str> {
    std::str::from_utf8(line.strip_prefix(call.as_bytes())?).ok()
}

async fn command(console: &Console, host: &str, desired_state: DesiredState) -> String {
    match &console.drains {
        Some(drains) => drains
            .command(host, desired_state)
            .await
            .map_or_else(|e| format!("-ERR {e}"), |ok| format!("+OK {ok}")),
        None => "-ERR takeover is off".into(),
    }
}
