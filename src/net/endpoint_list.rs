//! The endpoint list: its types, and the decision which lists of discovery are applied.
//!
//! The types say nothing of where a list comes from: discovery, the operators' configuration and a process that hands
//! over to its successor all use them.

use irisrouter_endpoint_watch::Revision;
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

/// A list of database hosts, or the changes to one.
#[derive(Clone, Debug, Default, Deserialize, Serialize, PartialEq)]
#[serde(from = "List")]
pub struct EndpointList {
    /// Its version.
    pub revision: Revision,
    /// Whether it has all hosts, or only those that have changed.
    pub complete: bool,
    /// The entries.
    pub members: Vec<EndpointEntry>,
}

/// An [`EndpointList`] while it is read. The name of this type is part of the error text that operators see for a
/// malformed list ("expected struct List"), and so can't change.
#[derive(Deserialize)]
struct List {
    revision: Revision,
    complete: bool,
    members: Vec<EndpointEntry>,
}

impl From<List> for EndpointList {
    fn from(list: List) -> Self {
        EndpointList {
            revision: list.revision,
            complete: list.complete,
            members: list.members,
        }
    }
}

/// What is known of the list so far, from whichever address it came, and what to request next.
#[derive(Debug, Default)]
pub struct ListPosition {
    /// The newest revision.
    pub revision: Option<Revision>,
    /// The next call requests the whole list, which is answered at once, and not the changes, which are waited for.
    pub needs_full_list: bool,
    /// Since when the present address has had an older revision than the newest; none while it has not.
    behind_since: Option<Instant>,
}

impl ListPosition {
    /// The position of a gateway that has the list of this revision, or none.
    pub fn at(revision: Option<Revision>) -> Self {
        ListPosition {
            revision,
            needs_full_list: revision.is_none(),
            behind_since: None,
        }
    }

    /// Requests the whole list next, from a new address: a watch can only go on at the address where it began.
    pub fn restart_at_new_address(&mut self) {
        self.needs_full_list = true;
        self.behind_since = None;
    }

    /// The revision from which on changes are requested next; none where the whole list is.
    pub(super) fn changes_from(&self) -> Option<Revision> {
        self.revision.filter(|_| !self.needs_full_list)
    }

    /// Decides whether a list is to be applied, and if so advances to it.
    pub fn accept(&mut self, list: &EndpointList) -> bool {
        let is_older = self.revision.is_some_and(|held| list.revision < held);
        let is_newer = self.revision.is_none_or(|held| list.revision > held);
        let revisions_reset = self.revisions_reset(is_older);
        let accepted = if list.complete {
            !is_older || revisions_reset
        } else {
            is_newer
        };
        if accepted {
            self.revision = Some(list.revision);
            self.behind_since = None;
        }
        // Changes to a list that is not held are of no use: after a reset the whole list is needed first.
        self.needs_full_list = revisions_reset && !accepted;
        accepted
    }

    /// Whether the address has had older lists for so long that it must have restarted its revisions. `is_older` says
    /// whether the list that it has just sent is older than the one that is held.
    fn revisions_reset(&mut self, is_older: bool) -> bool {
        if !is_older {
            self.behind_since = None;
            return false;
        }
        let behind_since = self.behind_since.get_or_insert_with(Instant::now);
        behind_since.elapsed() >= REVISION_RESET_DELAY
    }
}
