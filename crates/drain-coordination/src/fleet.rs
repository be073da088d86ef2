//! View of the fleet: the gateways that membership does not report as down.

use irisrouter_cluster_types::{GatewayId, GatewayProcess, Generation};
use std::collections::BTreeMap;

/// Generation of this process until membership reports one.
const FIRST_GENERATION: Generation = Generation(0);

/// Gateways that membership does not report as down, with the generations of their processes. The local gateway is
/// always included.
pub(crate) struct Fleet {
    local_gateway: GatewayId,
    generations: BTreeMap<GatewayId, Generation>,
}

impl Fleet {
    /// Creates a fleet that consists of the local gateway only.
    pub(crate) fn new(local_gateway: GatewayId) -> Self {
        Self {
            local_gateway,
            generations: BTreeMap::from([(local_gateway, FIRST_GENERATION)]),
        }
    }

    /// Replaces the view with these processes, and adds the local gateway if it is missing.
    pub(crate) fn replace(&mut self, processes: impl IntoIterator<Item = GatewayProcess>) {
        self.generations = processes
            .into_iter()
            .map(|process| (process.gateway, process.generation))
            .collect();
        self.generations
            .entry(self.local_gateway)
            .or_insert(FIRST_GENERATION);
    }

    /// Returns the number of gateways that are not reported as down.
    pub(crate) fn len(&self) -> usize {
        self.generations.len()
    }

    /// Returns whether the fleet contains a gateway, that is, the gateway is not reported as down.
    pub(crate) fn contains(&self, gateway: GatewayId) -> bool {
        self.generations.contains_key(&gateway)
    }

    /// Returns the generation of a gateway's process; `None` if the gateway is reported as down.
    pub(crate) fn generation(&self, gateway: GatewayId) -> Option<Generation> {
        self.generations.get(&gateway).copied()
    }

    /// Returns the id of the local gateway.
    pub(crate) const fn local_gateway(&self) -> GatewayId {
        self.local_gateway
    }

    /// Returns the generation of the local gateway's process.
    pub(crate) fn local_generation(&self) -> Generation {
        self.generation(self.local_gateway)
            .unwrap_or(FIRST_GENERATION)
    }

    /// Returns the gateways in ascending order of their ids.
    pub(crate) fn gateways(&self) -> impl Iterator<Item = GatewayId> + '_ {
        self.generations.keys().copied()
    }

    /// Returns the processes in ascending order of their gateways' ids.
    pub(crate) fn processes(&self) -> impl Iterator<Item = GatewayProcess> + '_ {
        self.generations
            .iter()
            .map(|(&gateway, &generation)| GatewayProcess {
                gateway,
                generation,
            })
    }
}
