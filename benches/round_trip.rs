//! The round trip of one request through the gateway: while it is alone, and while two processes of it run.
//!
//! `IRISROUTER_BASELINE` may name another version of the program, which is then measured in the same run.

#![allow(clippy::unwrap_used, dead_code, missing_docs)]

#[path = "../tests/gateway/harness/mod.rs"]
mod harness;

use criterion::{criterion_group, criterion_main, Criterion};
use harness::discovery::Discovery;
use harness::gateway::{Gateway, InheritedSocket};
use harness::host::{reply_with_row, Host};
use harness::messages::statement;
use std::env;

/// Environment variable with the path of another version of the program.
const BASELINE_VARIABLE: &str = "IRISROUTER_BASELINE";
/// The program under test.
const PROGRAM: &str = env!("CARGO_BIN_EXE_irisrouter");

/// Measures booking after booking on one connection, through the first of some processes of one gateway.
fn measure(criterion: &mut Criterion, name: &str, program: &str, processes: usize) {
    let host = Host::start("s-1", true, reply_with_row);
    let discovery = Discovery::start(vec![host.entry("in_service", 0)]);
    let directory = InheritedSocket::new();
    let sockets: Vec<InheritedSocket> = (0..processes)
        .map(|_| directory.with_new_listener())
        .collect();
    let gateways: Vec<Gateway> = sockets
        .iter()
        .map(|socket| Gateway::start_program(program, Some(socket), &discovery, &[&host], |_| {}))
        .collect();
    let mut client = gateways[0].client();
    let mut number = 0_u64;
    criterion.bench_function(name, |bencher| {
        bencher.iter(|| {
            number += 1;
            let text = statement("once", 9_000).replace("9b1f", &format!("{number:x}"));
            assert!(client.query(&text).contains("DataRow a1b2"));
        });
    });
}

fn round_trip(criterion: &mut Criterion) {
    let baseline = env::var(BASELINE_VARIABLE).ok();
    for (processes, situation) in [(1, "alone"), (2, "hot_restart")] {
        if let Some(baseline) = &baseline {
            let name = format!("round_trip/{situation}/baseline");
            measure(criterion, &name, baseline, processes);
        }
        let name = format!("round_trip/{situation}/current");
        measure(criterion, &name, PROGRAM, processes);
    }
}

criterion_group!(benches, round_trip);
criterion_main!(benches);
