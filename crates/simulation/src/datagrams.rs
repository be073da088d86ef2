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
        Some(now + (day.datagram_way as f64 * (1.0 + day.jitter * longer)) as Ns)
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::spec::{DatagramLoss, Fault, NetworkPartition, Spec, ValueOrRange};
    use crate::SECOND;

    #[test]
    fn some_are_lost_and_a_split_keeps_its_sides_apart() {
        let fault = |at: f64, f: Fault| Fault {
            at_s: ValueOrRange::Value(at),
            for_s: ValueOrRange::Value(10.0),
            ..f
        };
        let lost = fault(
            1.0,
            Fault {
                datagrams_lost: Some(DatagramLoss { part: 0.5 }),
                ..Fault::default()
            },
        );
        let split = fault(
            20.0,
            Fault {
                split: Some(NetworkPartition { part: 0.5 }),
                ..Fault::default()
            },
        );
        let spec = Spec {
            gateways: 4,
            faults: vec![lost, split],
            ..Spec::default()
        };
        let mut fleet = Fleet::new(&spec, 1, 0);
        let mut d = Datagrams::new(1);
        let mut arrive = |fleet: &mut Fleet, now: Ns| {
            fleet.advance(now);
            (0..1000)
                .filter(|_| {
                    d.send(now, fleet, GatewayId(0), GatewayId(1), 200)
                        .is_some()
                })
                .count()
        };
        assert_eq!(arrive(&mut fleet, 0), 1000);
        assert!((430..570).contains(&arrive(&mut fleet, 2 * SECOND)));
        assert_eq!(arrive(&mut fleet, 12 * SECOND), 1000);
        fleet.advance(21 * SECOND);
        let hears = |a: u32| {
            (0..4)
                .filter(|&b| a != b && fleet.hears(GatewayId(a), GatewayId(b)))
                .count()
        };
        assert_eq!(
            [hears(0), hears(1), hears(2), hears(3)],
            [1, 1, 1, 1],
            "two and two"
        );
        assert_eq!(
            d.send(0, &Fleet::new(&spec, 1, 0), GatewayId(0), GatewayId(1), 257),
            None
        );
        assert_eq!((d.too_long, d.sent, d.bytes), (1, 3001, 3000 * 200 + 257));
    }
}
