//! Datagrams between gateways, which are delayed, may be lost and are bounded in size. A datagram to several receivers
//! is counted once for each.

use crate::fleet::Fleet;
use crate::rng::{Rng, Stream};
use crate::{GatewayId, Ns};

/// Maximum length of a datagram in bytes; the platform does not allow longer ones.
pub const MAX_DATAGRAM_BYTES: usize = 256;

/// The network between gateways, with counters of its traffic.
#[derive(Clone, Debug)]
pub struct Datagrams {
    rng: Rng,
    /// Number of datagrams sent, counted once per receiver.
    pub sent: u64,
    /// Total length of the datagrams sent, in bytes.
    pub bytes: u64,
    /// Number of datagrams that did not arrive.
    pub lost: u64,
    /// Number of datagrams longer than [`MAX_DATAGRAM_BYTES`], which do not arrive.
    pub too_long: u64,
}

impl Datagrams {
    /// Creates the network; no datagram has been sent.
    pub fn new(seed: u64) -> Self {
        Datagrams {
            rng: Rng::new(seed, Stream::Network),
            sent: 0,
            bytes: 0,
            lost: 0,
            too_long: 0,
        }
    }

    /// Sends a datagram to one gateway and returns the time at which it arrives; `None` if it is lost.
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
        self.too_long += u64::from(length > MAX_DATAGRAM_BYTES);
        let day = fleet.day();
        // Both are drawn for each datagram, so that the loss of one does not change the delays of later ones.
        let (chance, longer) = (self.rng.unit(), self.rng.unit());
        if length > MAX_DATAGRAM_BYTES
            || chance < fleet.datagram_loss()
            || !fleet.gateway_reaches(from, to)
        {
            self.lost += 1;
            return None;
        }
        Some(now + (day.network.datagram_way as f64 * (1.0 + day.network.jitter * longer)) as Ns)
    }
}
