//! Datagrams between gateways: late, lost, bounded in size, and paid for by each that is sent to a receiver.

use crate::fleet::Fleet;
use crate::rng::{Rng, Stream};
use crate::{GatewayId, Ns};

/// Longest datagram, in bytes; a longer one breaks the platform's rule.
pub const LONGEST: usize = 256;

/// The network between gateways, and what has gone over it.
#[derive(Clone, Debug)]
pub struct Datagrams {
    rng: Rng,
    /// Datagrams that were sent, one for each receiver.
    pub sent: u64,
    /// Their bytes.
    pub bytes: u64,
    /// Those that did not arrive.
    pub lost: u64,
    /// Those that were too long.
    pub too_long: u64,
}

impl Datagrams {
    /// Nothing has been sent.
    pub fn new(seed: u64) -> Self {
        Datagrams {
            rng: Rng::new(seed, Stream::Network),
            sent: 0,
            bytes: 0,
            lost: 0,
            too_long: 0,
        }
    }

    /// One is sent to one gateway: when it arrives, if it does.
    pub fn send(
        &mut self,
        now: Ns,
        fleet: &Fleet,
        from: GatewayId,
        to: GatewayId,
        length: usize,
    ) -> Option<Ns> {
        self.sent += 1;
        self.bytes += length as u64;
        self.too_long += u64::from(length > LONGEST);
        let day = fleet.day();
        // Both are drawn each time, so that a lost one does not shift the times of those behind it.
        let (chance, longer) = (self.rng.unit(), self.rng.unit());
        if length > LONGEST || chance < fleet.datagram_loss() || !fleet.hears(from, to) {
            self.lost += 1;
            return None;
        }
        Some(now + (day.network.datagram_way as f64 * (1.0 + day.network.jitter * longer)) as Ns)
    }
}
