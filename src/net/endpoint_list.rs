//! The endpoint list: its types, and the decision which lists of discovery are applied.
//!
//! The types say nothing of where a list comes from: discovery, the operators' configuration and a process that hands
//! over to its successor all use them.

use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::Instant;

/// After this time an address whose lists are still older than the one that is held is taken to have restarted its
/// revisions, and is believed. Long, since an address that merely lags would undo drains and drop hosts.
const REVISION_RESET_DELAY: Duration = Duration::from_secs(60);
/// The size of a host whose entry has none.
const DEFAULT_SIZE: f64 = 1.0;

/// Whether a database host is in service.
#[derive(Clone, Copy, Debug, Deserialize, Serialize, PartialEq, Eq)]
#[serde(rename_all = "snake_case")]
pub enum EndpointPhase {
    /// It takes requests.
    InService,
    /// It completes its requests and takes no new ones.
    Terminating,
    /// It is out of service.
    Terminated,
}

/// One database host of the list.
#[derive(Clone, Debug, Deserialize, Serialize, PartialEq)]
pub struct EndpointEntry {
    /// Its identifier, the same at every gateway.
    pub id: String,
    /// Where it listens, as seen from this gateway.
    pub host_port: SocketAddr,
    /// Its zone.
    #[serde(default)]
    pub locality: String,
    /// Its group.
    pub cell: i64,
    /// Whether it is in service.
    pub phase: EndpointPhase,
    /// Its capacity relative to the others.
    #[serde(default = "default_size")]
    pub size: f64,
    /// Unix time in milliseconds of its last start; 0 for long ago.
    #[serde(default)]
    pub up_since_ms: f64,
    /// Its role, where the list contains roles.
    #[serde(default)]
    pub access: Option<String>,
}

fn default_size() -> f64 {
    DEFAULT_SIZE
}

pub use self::List as EndpointList;

/// A list of database hosts, or the changes to one. The rest of the program calls it [`EndpointList`]; its own name is part
/// of the error text that operators see for a malformed list, and stays for that. Serde's `rename` does not reach that
/// text, and `expecting` changes the one for a list in place of an object.
#[derive(Clone, Debug, Default, Deserialize, Serialize, PartialEq)]
pub struct List {
    /// Its version, which grows with each change.
    pub revision: u64,
    /// Whether it has all hosts, or only those that have changed.
    pub complete: bool,
    /// The entries.
    pub members: Vec<EndpointEntry>,
}

/// What is known of the list so far, from whichever address it came, and what to request next.
#[derive(Debug, Default)]
pub struct ListPosition {
    /// The newest revision.
    pub revision: Option<u64>,
    /// The next call requests the whole list, which is answered at once, and not the changes, which are waited for.
    pub whole: bool,
    /// Since when the present address has had an older revision.
    behind_since: Option<Instant>,
}

impl ListPosition {
    /// The position of a gateway that has the list of this revision, or none.
    pub fn at(revision: Option<u64>) -> Self {
        ListPosition {
            revision,
            whole: revision.is_none(),
            behind_since: None,
        }
    }

    /// Requests the whole list next, from a new address: a watch can only go on at the address where it began.
    pub fn restart_at_new_address(&mut self) {
        self.whole = true;
        self.behind_since = None;
    }

    /// Decides whether a list is to be applied, and if so advances to it.
    pub fn accept(&mut self, list: &EndpointList) -> bool {
        let is_older = self.revision.is_some_and(|held| list.revision < held);
        if !is_older {
            self.behind_since = None;
        }
        let revisions_reset = is_older
            && self.behind_since.get_or_insert_with(Instant::now).elapsed() >= REVISION_RESET_DELAY;
        let is_newer = self.revision.is_none_or(|held| list.revision > held);
        let accepted = if list.complete {
            !is_older || revisions_reset
        } else {
            is_newer
        };
        if accepted {
            self.revision = Some(list.revision);
            self.behind_since = None;
        }
        // Changes to a list that is not held are of no use.
        self.whole = revisions_reset && !accepted;
        accepted
    }
}
