//! The endpoint list: its types, and the decision which of the lists that discovery sends are applied.
//!
//! The types are the same for every source of a list: discovery, the configuration file, and an older process that
//! hands over to a newer one.

use irisrouter_endpoint_watch::Revision;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::Instant;

/// If all lists from an address have been older than the newest known list for this long, the address is assumed to
/// have restarted its revisions, and its list is accepted. The time is long because the list of an address that merely
/// lags would undo drains and drop hosts.
const REVISION_RESET_DELAY: Duration = Duration::from_secs(60);
/// Size of a host whose entry has no size.
const DEFAULT_SIZE: f64 = 1.0;

/// Whether a database host is in service.
#[derive(Clone, Copy, Debug, Deserialize, Serialize, PartialEq, Eq)]
#[serde(rename_all = "snake_case")]
pub enum EndpointPhase {
    /// The host accepts requests.
    InService,
    /// The host completes its requests and accepts no new ones.
    Terminating,
    /// The host is out of service.
    Terminated,
}

/// One database host in the list.
#[derive(Clone, Debug, Deserialize, Serialize, PartialEq)]
pub struct EndpointEntry {
    /// Identifier of the host, the same at every gateway.
    pub id: String,
    /// Address at which this gateway reaches the host.
    pub host_port: SocketAddr,
    /// Zone of the host.
    #[serde(default)]
    pub locality: String,
    /// Group of the host.
    pub cell: i64,
    /// Whether the host is in service.
    pub phase: EndpointPhase,
    /// Capacity of the host relative to the other hosts.
    #[serde(default = "default_size")]
    pub size: f64,
    /// Time of the host's last start, as Unix time in milliseconds; 0 if that was long ago.
    #[serde(default)]
    pub up_since_ms: f64,
    /// Role of the host, if the list contains roles.
    #[serde(default)]
    pub access: Option<String>,
}

fn default_size() -> f64 {
    DEFAULT_SIZE
}

/// A list of database hosts, or the changes to a list.
#[derive(Clone, Debug, Default, Deserialize, Serialize, PartialEq)]
#[serde(from = "List")]
pub struct EndpointList {
    /// Version of the list.
    pub revision: Revision,
    /// Whether `members` has all hosts, or only those that have changed.
    pub complete: bool,
    /// The hosts.
    pub members: Vec<EndpointEntry>,
}

/// The form from which an [`EndpointList`] is deserialized. The name of this type must not change, because it is part
/// of the error text that operators see for a malformed list ("expected struct List").
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

/// The newest known revision of the list, from any source, and what the next call to discovery requests.
#[derive(Debug, Default)]
pub struct ListPosition {
    /// The newest known revision, or `None` if no list is known.
    pub revision: Option<Revision>,
    /// Whether the next call requests the whole list, which discovery answers at once, instead of waiting for changes.
    pub needs_full_list: bool,
    /// The time since which the current address has sent only lists older than the newest known one, or `None` if its
    /// last list was not older.
    behind_since: Option<Instant>,
}

impl ListPosition {
    /// Returns the position of a gateway that has the list of this revision, or of one that has no list.
    pub fn at(revision: Option<Revision>) -> Self {
        ListPosition {
            revision,
            needs_full_list: revision.is_none(),
            behind_since: None,
        }
    }

    /// Makes the next call request the whole list, because a watch cannot be continued at another address.
    pub fn restart_at_new_address(&mut self) {
        self.needs_full_list = true;
        self.behind_since = None;
    }

    /// Returns the revision from which on the next call requests changes, or `None` if it requests the whole list.
    pub(super) fn changes_from(&self) -> Option<Revision> {
        self.revision.filter(|_| !self.needs_full_list)
    }

    /// Decides whether to apply a list, and advances to its revision if so.
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
        // After a reset the whole list is needed first: changes cannot be applied to a list that this gateway lacks.
        self.needs_full_list = revisions_reset && !accepted;
        accepted
    }

    /// Returns whether the address has sent older lists for so long that it must have restarted its revisions.
    /// `is_older` is whether the list that it has just sent is older than the newest known one.
    fn revisions_reset(&mut self, is_older: bool) -> bool {
        if !is_older {
            self.behind_since = None;
            return false;
        }
        let behind_since = self.behind_since.get_or_insert_with(Instant::now);
        behind_since.elapsed() >= REVISION_RESET_DELAY
    }
}
