//! The gateways that membership does not hold to be down.

use irisrouter_cluster_types::{GatewayId, GatewayProcess, Generation};
use std::collections::BTreeMap;

/// The generation of a process for which membership has given none yet.
const FIRST_GENERATION: Generation = Generation(0);

/// The gateways that are not held to be down, this one always included, with the generations of their processes.
pub(crate) struct Fleet {
    local_gateway: GatewayId,
    generations: BTreeMap<GatewayId, Generation>,
}

impl Fleet {
    /// A fleet in which this gateway is alone.
    pub(crate) fn new(local_gateway: GatewayId) -> Self {
        Self {
            local_gateway,
            generations: BTreeMap::from([(local_gateway, FIRST_GENERATION)]),
        }
    }

    /// Replaces the view by these processes.
    pub(crate) fn replace(&mut self, processes: impl IntoIterator<Item = GatewayProcess>) {
        self.generations = processes
            .into_iter()
            .map(|process| (process.gateway, process.generation))
            .collect();
        self.generations
            .entry(self.local_gateway)
            .or_insert(FIRST_GENERATION);
    }

    /// Gateways that are not held to be down.
    pub(crate) fn len(&self) -> usize {
        self.generations.len()
    }

    /// Whether a gateway is not held to be down.
    pub(crate) fn contains(&self, gateway: GatewayId) -> bool {
        self.generations.contains_key(&gateway)
    }

    /// The generation of a gateway's process; none where it is held to be down.
    pub(crate) fn generation(&self, gateway: GatewayId) -> Option<Generation> {
        self.generations.get(&gateway).copied()
    }

    /// This gateway.
    pub(crate) const fn local_gateway(&self) -> GatewayId {
        self.local_gateway
    }

    /// The generation of this process.
    pub(crate) fn local_generation(&self) -> Generation {
        self.generation(self.local_gateway)
            .unwrap_or(FIRST_GENERATION)
    }

    /// The gateways in ascending order.
    pub(crate) fn gateways(&self) -> impl Iterator<Item = GatewayId> + '_ {
        self.generations.keys().copied()
    }

    /// The processes in ascending order of their gateways.
    pub(crate) fn processes(&self) -> impl Iterator<Item = GatewayProcess> + '_ {
        self.generations
            .iter()
            .map(|(&gateway, &generation)| GatewayProcess {
                gateway,
                generation,
            })
    }
}
