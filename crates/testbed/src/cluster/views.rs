//! Reads the gateways' views of one another from their consoles and their logs.

use super::process::ProcessId;
use super::Cluster;
use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::{Duration, Instant};

/// Longest wait for each read of a console's answer.
const CONSOLE_TIMEOUT: Duration = Duration::from_secs(5);
/// Time between two checks whether all views agree.
const VIEW_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// A state change of a gateway, as an observing gateway has logged it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ViewChange<'a> {
    /// The gateway whose state changed.
    pub gateway: usize,
    /// The state before.
    pub from: &'a str,
    /// The state after.
    pub to: &'a str,
}

impl<'a> ViewChange<'a> {
    /// Parses a log line; `None` if it does not report a state change of a gateway.
    #[must_use]
    pub fn parse(line: &'a str) -> Option<Self> {
        let (_, change) = line.split_once("membership: gateway ")?;
        let mut words = change.split(' ');
        let gateway = words.next()?.parse().ok()?;
        let from = words.next()?;
        if words.next()? != "->" {
            return None;
        }
        let to = words.next()?;
        Some(ViewChange { gateway, from, to })
    }
}

impl Cluster {
    /// Sends a line to a gateway's console and returns the answer; empty if the gateway does not run or answer.
    #[must_use]
    pub fn call(&self, gateway: usize, line: &str) -> String {
        self.call_console(gateway, line).unwrap_or_default()
    }

    fn call_console(&self, gateway: usize, line: &str) -> Option<String> {
        let mut stream = TcpStream::connect(self.process(gateway)?.console).ok()?;
        stream.set_read_timeout(Some(CONSOLE_TIMEOUT)).ok()?;
        stream.write_all(format!("{line}\n").as_bytes()).ok()?;
        let mut answer = String::new();
        stream.read_to_string(&mut answer).ok()?;
        Some(answer.trim().to_string())
    }

    /// The state of each gateway in the view of `observer`, which its console reports; empty for a gateway without a
    /// state.
    #[must_use]
    pub fn view(&self, observer: usize) -> Vec<String> {
        let answer = self.call(observer, "members");
        let state = |member: usize| {
            let prefix = format!("{member}:");
            let entry = answer
                .split(' ')
                .find_map(|word| word.strip_prefix(&prefix));
            entry
                .and_then(|entry| entry.split('/').next())
                .unwrap_or_default()
                .to_string()
        };
        (0..self.plan.gateways).map(state).collect()
    }

    /// Returns whether all views agree: each running gateway believes exactly the running gateways to be alive.
    #[must_use]
    pub fn views_agree(&self) -> bool {
        let running = self.running();
        running.iter().all(|&observer| {
            let view = self.view(observer);
            (0..self.plan.gateways)
                .all(|member| (view[member] == "alive") == running.contains(&member))
        })
    }

    /// Waits until all views agree, see [`Cluster::views_agree`], and returns how long that took; `None` if it took
    /// longer than `timeout`.
    #[must_use]
    pub fn settle(&self, timeout: Duration) -> Option<Duration> {
        let started = Instant::now();
        while started.elapsed() < timeout {
            if self.views_agree() {
                return Some(started.elapsed());
            }
            std::thread::sleep(VIEW_POLL_INTERVAL);
        }
        None
    }

    /// The times at which the current process of gateway `observer` logged that `member` changed to `state`, in
    /// milliseconds since the start of the run.
    #[must_use]
    pub fn changes(&self, observer: usize, member: usize, state: &str) -> Vec<u64> {
        let id = ProcessId {
            gateway: observer,
            run: self.slots[observer].starts.saturating_sub(1),
        };
        self.history.inspect_lines(|lines| {
            lines
                .iter()
                .filter(|line| line.is_of(id))
                .filter(|line| {
                    ViewChange::parse(&line.text)
                        .is_some_and(|change| (change.gateway, change.to) == (member, state))
                })
                .map(|line| line.at)
                .collect()
        })
    }
}
