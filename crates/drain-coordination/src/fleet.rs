//! The gateways that membership does not hold to be down.

use std::collections::BTreeMap;

/// The gateways that are not held to be down, this one always included, with the generations of their processes.
pub(crate) struct Fleet {
    local_gateway: u32,
    generations: BTreeMap<u32, u16>,
}

impl Fleet {
    /// A fleet in which this gateway is alone.
    pub(crate) fn new(local_gateway: u32) -> Self {
        Self {
            local_gateway,
            generations: BTreeMap::from([(local_gateway, 0)]),
        }
    }

    /// Replaces the view: numbers of gateways with the generations of their processes.
    pub(crate) fn replace(&mut self, generations: impl IntoIterator<Item = (u32, u16)>) {
        self.generations = generations.into_iter().collect();
        self.generations.entry(self.local_gateway).or_insert(0);
    }

    /// Gateways that are not held to be down.
    pub(crate) fn len(&self) -> usize {
        self.generations.len()
    }

    /// Whether a gateway is not held to be down.
    pub(crate) fn contains(&self, gateway: u32) -> bool {
        self.generations.contains_key(&gateway)
    }

    /// The generation of a gateway's process; none where it is held to be down.
    pub(crate) fn generation(&self, gateway: u32) -> Option<u16> {
        self.generations.get(&gateway).copied()
    }

    /// The number of this gateway.
    pub(crate) const fn local_gateway(&self) -> u32 {
        self.local_gateway
    }

    /// The generation of this process.
    pub(crate) fn local_generation(&self) -> u16 {
        self.generation(self.local_gateway).unwrap_or(0)
    }

    /// The numbers of the gateways in ascending order.
    pub(crate) fn gateways(&self) -> impl Iterator<Item = u32> + '_ {
        self.generations.keys().copied()
    }

    /// The numbers and generations of the gateways in ascending order of their numbers.
    pub(crate) fn processes(&self) -> impl Iterator<Item = (u32, u16)> + '_ {
        self.generations
            .iter()
            .map(|(&gateway, &generation)| (gateway, generation))
    }
}
