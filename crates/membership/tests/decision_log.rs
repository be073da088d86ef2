//! Digests of whole simulated runs, which cover the bytes of every datagram, every change of a view and every timer.
//!
//! A commit that is not meant to change the decisions of the core must leave every literal in this file unchanged. A
//! commit that changes the decisions on purpose replaces the literals, and its message says which decision changed and
//! why.

use irisrouter_cluster_types::{GatewayId, GatewayProcess, Generation, Milliseconds, Timestamp};
use irisrouter_membership::Settings;
use irisrouter_simulated_network::SimulatedNetwork;

#[track_caller]
fn assert_decisions(network: &SimulatedNetwork, expected: u64) {
    let digest = network.decision_digest().value();
    assert_eq!(digest, expected, "the digest is now {digest:#018x}");
}

/// A linear congruential generator with the constants of Knuth's MMIX, so that the schedules of faults do not depend on
/// a library.
struct FaultRng(u64);

impl FaultRng {
    fn next_below(&mut self, bound: u32) -> u32 {
        self.0 = self
            .0
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1_442_695_040_888_963_407);
        (self.0 >> 33) as u32 % bound
    }
}

fn run_with_loss_and_a_crash(seed: u64) -> SimulatedNetwork {
    let mut network = SimulatedNetwork::start(7, seed);
    network.run_until(Timestamp::from_millis(5_000));
    network.faults.loss = 0.3;
    network.run_until(Timestamp::from_millis(65_000));
    network.crash(GatewayId(3));
    network.run_until(Timestamp::from_millis(95_000));
    network.restart(GatewayId(3), &[GatewayId(0)]);
    network.run_until(Timestamp::from_millis(110_000));
    network.faults.loss = 0.0;
    network.run_until(Timestamp::from_millis(130_000));
    network
}

#[test]
fn decisions_under_loss_and_a_crash_stay_the_same() {
    assert_decisions(&run_with_loss_and_a_crash(1), 0x2551_7521_c73c_a4bb);
    assert_decisions(&run_with_loss_and_a_crash(2), 0x8af7_f11c_9506_f006);
}

fn run_with_a_partition_and_a_stall(seed: u64) -> SimulatedNetwork {
    let mut network = SimulatedNetwork::start(50, seed);
    network.faults.delay_ms = 1..=400;
    network.faults.loss = 0.1;
    network.run_until(Timestamp::from_millis(20_000));
    let (left, right): (Vec<GatewayId>, Vec<GatewayId>) = (0..50)
        .map(GatewayId)
        .partition(|gateway| gateway.0 % 2 == 0);
    network.partition(&left, &right);
    network.run_until(Timestamp::from_millis(50_000));
    network.heal();
    network.stall(GatewayId(7));
    network.run_until(Timestamp::from_millis(60_000));
    network.resume(GatewayId(7));
    network.run_until(Timestamp::from_millis(80_000));
    network
}

#[test]
fn decisions_under_a_partition_and_a_stall_stay_the_same() {
    assert_decisions(&run_with_a_partition_and_a_stall(3), 0xafae_72d5_f2f8_f18b);
    assert_decisions(&run_with_a_partition_and_a_stall(4), 0x5988_3c52_3b94_8ab4);
}

fn run_with_leaving_and_returning_members(seed: u64) -> SimulatedNetwork {
    let mut network = SimulatedNetwork::start(5, seed);
    network.run_until(Timestamp::from_millis(10_000));
    network.crash(GatewayId(3));
    network.run_until(Timestamp::from_millis(11_000));
    let older_generation = GatewayProcess {
        gateway: GatewayId(3),
        generation: Generation(65_000),
    };
    network.restart_as(older_generation, &[GatewayId(0)]);
    network.run_until(Timestamp::from_millis(25_000));
    network.leave(GatewayId(4));
    network.run_until(Timestamp::from_millis(40_000));
    network.restart(GatewayId(4), &[GatewayId(1), GatewayId(2)]);
    network.cut(GatewayId(0), GatewayId(1));
    network.run_until(Timestamp::from_millis(60_000));
    network.faults.loss = 0.4;
    for other in (1..5).map(GatewayId) {
        network.cut(other, GatewayId(0));
    }
    network.run_until(Timestamp::from_millis(90_000));
    network.heal();
    network.run_until(Timestamp::from_millis(120_000));
    network
}

#[test]
fn decisions_on_leaving_and_returning_members_stay_the_same() {
    assert_decisions(
        &run_with_leaving_and_returning_members(5),
        0x5972_2dbe_e884_2df8,
    );
    assert_decisions(
        &run_with_leaving_and_returning_members(6),
        0x77f8_3f41_dc7a_bf33,
    );
}

fn run_with_random_faults(seed: u64) -> SimulatedNetwork {
    let settings = Settings::with_protocol_period(20, Milliseconds(200), Milliseconds(1_000));
    let mut network = SimulatedNetwork::with_settings(settings, seed).expect("settings");
    let mut rng = FaultRng(seed);
    for _ in 0..120 {
        let member = GatewayId(rng.next_below(20));
        let other = GatewayId(rng.next_below(20));
        match rng.next_below(8) {
            0 => network.crash(member),
            1 => network.restart(member, &[other]),
            2 => network.stall(member),
            3 => network.resume(member),
            4 => network.cut(member, other),
            5 => network.faults.loss = f64::from(rng.next_below(50)) / 100.0,
            6 => network.heal(),
            _ => network.leave(member),
        }
        let pause = Milliseconds(u64::from(rng.next_below(2_000)));
        network.run_until(network.now() + pause);
    }
    network.heal();
    network.faults.loss = 0.0;
    for number in 0..20 {
        let member = GatewayId(number);
        network.resume(member);
        network.restart(member, &[GatewayId((number + 1) % 20)]);
    }
    network.run_until(network.now() + Milliseconds(10_000));
    network
}

#[test]
fn decisions_under_random_faults_stay_the_same() {
    assert_decisions(&run_with_random_faults(7), 0xfe2d_c921_32ae_04da);
    assert_decisions(&run_with_random_faults(8), 0x2de9_2092_fc6a_c069);
    assert_decisions(&run_with_random_faults(9), 0x902e_6a52_56f7_8209);
}

#[test]
fn decisions_in_a_large_fleet_stay_the_same() {
    let mut network = SimulatedNetwork::start(300, 10);
    network.run_until(Timestamp::from_millis(10_000));
    network.crash(GatewayId(299));
    network.run_until(Timestamp::from_millis(30_000));
    assert_decisions(&network, 0xbb59_a63a_6e79_cf37);
}
