//! Datagrams between gateways: losses, partitions and the maximum length.

use irisrouter_simulation::datagrams::Datagrams;
use irisrouter_simulation::fleet::Fleet;
use irisrouter_simulation::spec::{DatagramLoss, Fault, NetworkPartition, Spec, ValueOrRange};
use irisrouter_simulation::{GatewayId, Ns, SECOND};

#[test]
fn datagrams_under_loss_or_partition_are_dropped_accordingly() {
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
    let gateway_reaches = |a: u32| {
        (0..4)
            .filter(|&b| a != b && fleet.gateway_reaches(GatewayId(a), GatewayId(b)))
            .count()
    };
    assert_eq!(
        [
            gateway_reaches(0),
            gateway_reaches(1),
            gateway_reaches(2),
            gateway_reaches(3)
        ],
        [1, 1, 1, 1],
        "each gateway reaches one other: two sides of two"
    );
    assert_eq!(
        d.send(0, &Fleet::new(&spec, 1, 0), GatewayId(0), GatewayId(1), 257),
        None
    );
    assert_eq!((d.too_long, d.sent, d.bytes), (1, 3001, 3000 * 200 + 257));
}
