//! The list of hosts as each gateway is told it: seconds late, each gateway a little after the other, and not at all
//! while discovery is silent. It knows whether a process runs, and nothing of roles or health.

use crate::rng::{Rng, Stream};
use crate::spec::ListSpec;
use crate::{ms, seconds, GatewayId, HostId, Ns, SetId};
use std::collections::BTreeMap;

/// What the list says of a host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListedState {
    /// In service.
    Ready,
    /// Finishes its work, wants nothing new.
    Draining,
    /// Its process does not run.
    Gone,
}

/// One line of the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ListEntry {
    /// The host.
    pub host: HostId,
    /// Its set.
    pub set: SetId,
    /// What is said of it.
    pub listed: ListedState,
    /// When its process started; 0 for long ago.
    pub since: Ns,
    /// Orders what is said of one host.
    order: u64,
}

/// One gateway's list.
#[derive(Clone, Debug, Default)]
pub struct EndpointView {
    /// Grows with each change.
    pub version: u64,
    entries: BTreeMap<HostId, ListEntry>,
    /// Since when it has been told not to send to a host.
    drain_notices: BTreeMap<HostId, Ns>,
}

impl EndpointView {
    /// Its lines, by host.
    pub fn entries(&self) -> impl Iterator<Item = &ListEntry> {
        self.entries.values()
    }
}

/// A change on its way to a gateway.
#[derive(Clone, Copy, Debug)]
pub struct Notification {
    /// When it arrives, unless discovery is silent then.
    pub at: Ns,
    /// Where.
    pub gateway: GatewayId,
    /// What.
    pub entry: ListEntry,
}

/// The list and every gateway's view of it.
#[derive(Clone, Debug)]
pub struct EndpointList {
    notice: (f64, f64),
    silent_notice: (f64, f64),
    spread: Ns,
    rng: Rng,
    views: Vec<EndpointView>,
    order: u64,
    silent: bool,
    /// What would have been told while discovery was silent.
    withheld: Vec<(GatewayId, ListEntry)>,
}

impl EndpointList {
    /// All hosts are known to all gateways, ready and started long ago.
    pub fn new(
        spec: &ListSpec,
        seed: u64,
        gateways: u32,
        hosts: impl Iterator<Item = (HostId, SetId)>,
    ) -> Self {
        let mut rng = Rng::new(seed, Stream::EndpointList);
        let line = |(host, set)| {
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
            entries: hosts.map(line).collect(),
            drain_notices: BTreeMap::new(),
        };
        let ends = |b: crate::spec::ValueOrRange| (b.ends()[0], b.ends()[1]);
        EndpointList {
            notice: ends(spec.notice_s),
            silent_notice: ends(spec.silent_notice_s),
            spread: ms(spec.spread_ms.draw(&mut rng)),
            rng,
            views: vec![view; gateways as usize],
            order: 0,
            silent: false,
            withheld: Vec::new(),
        }
    }

    /// One gateway's list, as it has been told it.
    pub fn view(&self, gateway: GatewayId) -> &EndpointView {
        &self.views[gateway.0 as usize]
    }

    /// Something has happened to a host: who is told when. What makes no sound is noticed later.
    pub fn announce(
        &mut self,
        now: Ns,
        host: HostId,
        set: SetId,
        listed: ListedState,
        since: Ns,
        silent: bool,
    ) -> Vec<Notification> {
        self.order += 1;
        let (low, high) = if silent {
            self.silent_notice
        } else {
            self.notice
        };
        let noticed = now + seconds(self.rng.between(low, high));
        let entry = ListEntry {
            host,
            set,
            listed,
            since,
            order: self.order,
        };
        let notification = |g: usize, rng: &mut Rng| Notification {
            at: noticed + (rng.unit() * self.spread as f64) as Ns,
            gateway: GatewayId(g as u32),
            entry,
        };
        let count = self.views.len();
        let rng = &mut self.rng;
        (0..count).map(|g| notification(g, rng)).collect()
    }

    /// A change arrives. True where the gateway is told it now.
    pub fn deliver(&mut self, now: Ns, gateway: GatewayId, entry: ListEntry) -> bool {
        if self.silent {
            self.withheld.push((gateway, entry));
            return false;
        }
        let view = &mut self.views[gateway.0 as usize];
        // Notices of one host may overtake each other: what is older by its order is no news.
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

    /// Discovery falls silent, or speaks again: then what it has kept comes back, to be told now.
    pub fn set_silent(&mut self, silent: bool) -> Vec<(GatewayId, ListEntry)> {
        self.silent = silent;
        if silent {
            Vec::new()
        } else {
            std::mem::take(&mut self.withheld)
        }
    }

    /// Discovery is silent.
    pub fn is_silent(&self) -> bool {
        self.silent
    }

    /// Since when a gateway has known that a host drains or is gone.
    pub fn drain_notice_time(&self, gateway: GatewayId, host: HostId) -> Option<Ns> {
        self.views[gateway.0 as usize]
            .drain_notices
            .get(&host)
            .copied()
    }
}
