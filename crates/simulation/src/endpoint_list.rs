//! The endpoint list as discovery delivers it to each gateway: seconds late, to each gateway at a slightly different
//! time, and not at all while discovery is silent. It contains whether a process runs, but neither roles nor health.

use crate::rng::{Rng, Stream};
use crate::spec::ListSpec;
use crate::{ms, seconds, GatewayId, HostId, Ns, SetId};
use std::collections::BTreeMap;

/// State of a host in the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListedState {
    /// In service.
    Ready,
    /// The host finishes its requests and must get no new ones.
    Draining,
    /// The process does not run.
    Gone,
}

/// One entry of the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ListEntry {
    /// The host.
    pub host: HostId,
    /// Set of which the host is a member.
    pub set: SetId,
    /// State of the host.
    pub listed: ListedState,
    /// Time at which the process started; 0 if it started before the run.
    pub since: Ns,
    /// Sequence number of the change; of two entries for a host, the higher is the newer.
    order: u64,
}

/// The endpoint list as one gateway knows it.
#[derive(Clone, Debug, Default)]
pub struct EndpointView {
    /// Incremented at each change.
    pub version: u64,
    entries: BTreeMap<HostId, ListEntry>,
    /// For each host that drains or is gone, the time at which the gateway was notified.
    drain_notices: BTreeMap<HostId, Ns>,
}

impl EndpointView {
    /// Returns the entries, ordered by host.
    pub fn entries(&self) -> impl Iterator<Item = &ListEntry> {
        self.entries.values()
    }
}

/// Notification of a gateway about a changed entry.
#[derive(Clone, Copy, Debug)]
pub struct Notification {
    /// Time at which the notification arrives, unless discovery is silent then.
    pub at: Ns,
    /// Gateway to be notified.
    pub gateway: GatewayId,
    /// The changed entry.
    pub entry: ListEntry,
}

/// The list and every gateway's view of it.
#[derive(Clone, Debug)]
pub struct EndpointList {
    notice_range: (f64, f64),
    silent_notice_range: (f64, f64),
    spread: Ns,
    rng: Rng,
    views: Vec<EndpointView>,
    last_order: u64,
    silent: bool,
    /// Notifications that came due while discovery was silent.
    withheld: Vec<(GatewayId, ListEntry)>,
}

impl EndpointList {
    /// Creates a list in which all gateways know all hosts, as ready and started before the run.
    pub fn new(
        spec: &ListSpec,
        seed: u64,
        gateways: u32,
        hosts: impl Iterator<Item = (HostId, SetId)>,
    ) -> Self {
        let mut rng = Rng::new(seed, Stream::EndpointList);
        let entry = |(host, set)| {
            (
                host,
                ListEntry {
                    host,
                    set,
                    listed: ListedState::Ready,
                    since: 0,
                    order: 0,
                },
            )
        };
        let view = EndpointView {
            version: 1,
            entries: hosts.map(entry).collect(),
            drain_notices: BTreeMap::new(),
        };
        let bounds = |range: crate::spec::ValueOrRange| (range.bounds()[0], range.bounds()[1]);
        EndpointList {
            notice_range: bounds(spec.notice_s),
            silent_notice_range: bounds(spec.silent_notice_s),
            spread: ms(spec.spread_ms.draw(&mut rng)),
            rng,
            views: vec![view; gateways as usize],
            last_order: 0,
            silent: false,
            withheld: Vec::new(),
        }
    }

    /// Returns the list as one gateway knows it.
    pub fn view(&self, gateway: GatewayId) -> &EndpointView {
        &self.views[gateway.0 as usize]
    }

    /// Records a change of a host and returns the notifications of all gateways. `silent` marks a host that stopped
    /// without resetting its connections, which discovery detects later.
    pub fn announce(
        &mut self,
        now: Ns,
        host: HostId,
        set: SetId,
        listed: ListedState,
        since: Ns,
        silent: bool,
    ) -> Vec<Notification> {
        self.last_order += 1;
        let (low, high) = if silent {
            self.silent_notice_range
        } else {
            self.notice_range
        };
        let detected_at = now + seconds(self.rng.between(low, high));
        let entry = ListEntry {
            host,
            set,
            listed,
            since,
            order: self.last_order,
        };
        let notification = |g: usize, rng: &mut Rng| Notification {
            at: detected_at + (rng.unit() * self.spread as f64) as Ns,
            gateway: GatewayId(g as u32),
            entry,
        };
        let count = self.views.len();
        let rng = &mut self.rng;
        (0..count).map(|g| notification(g, rng)).collect()
    }

    /// Delivers a notification and returns whether the gateway's list changed.
    pub fn deliver(&mut self, now: Ns, gateway: GatewayId, entry: ListEntry) -> bool {
        if self.silent {
            self.withheld.push((gateway, entry));
            return false;
        }
        let view = &mut self.views[gateway.0 as usize];
        // Notifications about one host may overtake each other: an older one is ignored.
        if view
            .entries
            .get(&entry.host)
            .is_some_and(|e| e.order >= entry.order)
        {
            return false;
        }
        view.version += 1;
        view.entries.insert(entry.host, entry);
        if entry.listed == ListedState::Ready {
            view.drain_notices.remove(&entry.host);
        } else {
            view.drain_notices.entry(entry.host).or_insert(now);
        }
        true
    }

    /// Silences discovery or resumes it. When it resumes, returns the withheld notifications, to be delivered now.
    pub fn set_silent(&mut self, silent: bool) -> Vec<(GatewayId, ListEntry)> {
        self.silent = silent;
        if silent {
            Vec::new()
        } else {
            std::mem::take(&mut self.withheld)
        }
    }

    /// Returns whether discovery is silent.
    pub fn is_silent(&self) -> bool {
        self.silent
    }

    /// Returns the time at which a gateway was notified that a host drains or is gone; `None` if it knows it as ready.
    pub fn drain_notice_time(&self, gateway: GatewayId, host: HostId) -> Option<Ns> {
        self.views[gateway.0 as usize]
            .drain_notices
            .get(&host)
            .copied()
    }
}
