//! The operators' console.

use crate::harness::discovery::Discovery;
use crate::harness::gateway::Gateway;
use insta::assert_snapshot;
use std::io::{Read, Write};
use std::net::TcpStream;

/// Guards against connections that send nothing or too much: the console allows few connections, and such a connection
/// would keep other callers waiting.
#[test]
fn console_answers_every_call_when_other_connections_are_silent() {
    let discovery = Discovery::start(vec![]);
    let gateway = Gateway::start(&discovery, &[]);
    let mut silent: Vec<_> = (0..40)
        .map(|_| TcpStream::connect(gateway.console_address()).unwrap())
        .collect();
    assert!(silent.iter_mut().all(|s| s.write_all(b"evac").is_ok()));
    assert_snapshot!(gateway.call_console("readyz\n"), @"+OK ready");
    for wrong in ["\n", "READYZ\n", "readyz now\n", "\u{0}\r\n"] {
        assert!(
            gateway.call_console(wrong).starts_with("-ERR unknown call"),
            "{wrong:?}"
        );
    }
    assert_snapshot!(gateway.call_console(&"x".repeat(4_000)), @"-ERR the line is too long");
    let left = silent.iter_mut().map(|s| s.read(&mut [0]));
    assert!(
        left.into_iter().all(|end| !matches!(end, Ok(1))),
        "an incomplete call is closed without an answer"
    );
}
