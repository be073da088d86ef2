//! What a session wrote, in a deployment whose gateway keeps the marks of sessions and whose hosts do not check reads.

use crate::harness::discovery::Discovery;
use crate::harness::gateway::{Gateway, InheritedSocket};
use crate::harness::host::{reply_with_row, Host, HostReply};
use crate::harness::messages::statement;
use serde_json::{json, Value};

/// Size of a value whose answer is streamed, in bytes.
const STREAMED_VALUE: usize = 80_000;
/// How far the replica is behind, in milliseconds.
const LAG_MS: u128 = 10_000;

pub fn keep_session_marks(config: &mut Value) {
    let domain = &mut config["settings"]["Domain"];
    domain["SessionMarks"] = json!("kept");
    domain["ServerChecks"] = json!("none");
}

/// A primary, a replica that is far behind, and processes of one gateway in front of them.
struct Fixture {
    primary: Host,
    replica: Host,
    discovery: Discovery,
    sockets: [InheritedSocket; 3],
}

impl Fixture {
    fn new() -> Self {
        let primary = Host::start("s-1", true, reply_with_row);
        let replica = Host::start("s-2", false, reply_with_row);
        replica.lag_ms.update(|lag_ms| *lag_ms = LAG_MS);
        let members = vec![
            primary.entry("in_service", 0),
            replica.entry("in_service", 0),
        ];
        let first = InheritedSocket::new();
        let others = [first.with_new_listener(), first.with_new_listener()];
        let [second, third] = others;
        Fixture {
            primary,
            replica,
            discovery: Discovery::start(members),
            sockets: [first, second, third],
        }
    }

    fn start_process(&self, number: usize) -> Gateway {
        let hosts = [&self.primary, &self.replica];
        let socket = Some(&self.sockets[number]);
        Gateway::start_with_socket(socket, &self.discovery, &hosts, keep_session_marks)
    }

    /// Writes through one process, and asserts that a read of the session through the other one does not go to the
    /// replica.
    fn assert_write_is_seen(&self, written_at: &Gateway, read_at: &Gateway, session: &str) {
        let write = statement("order", 9_000).replace("7f3a", session);
        let written = written_at.client().query(&write);
        assert!(written.contains("DataRow a1b2"), "{written}");
        self.assert_not_stale(read_at, session);
    }

    fn assert_not_stale(&self, gateway: &Gateway, session: &str) {
        let read = statement("own", 9_000).replace("7f3a", session);
        let answer = gateway.client().query(&read);
        assert!(answer.contains("DataRow a1b2"), "{answer}");
        assert_eq!(self.replica.statements().len(), 0, "a stale read");
    }
}

/// Guards against a session that reads through one process of a hot restart from before what it wrote through the other
/// one (review case 9), in both directions, and after the process that it wrote through was killed.
#[test]
fn read_of_a_session_sees_what_it_wrote_through_another_process() {
    let fixture = Fixture::new();
    let mut older = fixture.start_process(0);
    let write = statement("order", 9_000).replace("7f3a", "before");
    assert!(older.client().query(&write).contains("DataRow a1b2"));
    let newer = fixture.start_process(1);
    older.wait_for_log("claims: shared with another process");
    fixture.assert_not_stale(&newer, "before");
    fixture.assert_write_is_seen(&older, &newer, "forward");
    fixture.assert_write_is_seen(&newer, &older, "backward");
    let last_write = statement("order", 9_000).replace("7f3a", "killed");
    assert!(older.client().query(&last_write).contains("DataRow a1b2"));
    older.signal("-KILL");
    older.exit_code();
    fixture.assert_not_stale(&newer, "killed");
    newer.wait_for_log("claims: the other processes of this gateway have ended");
    fixture.assert_not_stale(&newer, "killed");
    let third = fixture.start_process(2);
    newer.wait_for_log("claims: shared with another process");
    fixture.assert_not_stale(&third, "killed");
}

/// Guards against a stale read while the older process is stopped and has not told what sessions wrote.
#[test]
fn read_of_a_session_is_not_stale_while_the_older_process_is_silent() {
    let fixture = Fixture::new();
    let older = fixture.start_process(0);
    let write = statement("order", 9_000).replace("7f3a", "silent");
    assert!(older.client().query(&write).contains("DataRow a1b2"));
    older.signal("-STOP");
    let newer = fixture.start_process(1);
    fixture.assert_not_stale(&newer, "silent");
}

/// Answers writes with a long value that contains no position, and others with a row.
fn reply_to_write_with_long_row(_: usize, text: &str) -> HostReply {
    if text.contains("c=order") {
        HostReply::Row("v".repeat(STREAMED_VALUE).leak())
    } else {
        HostReply::Row("a1b2")
    }
}

/// Guards against a session whose write is forgotten because its answer is streamed, or because the position behind the
/// answer never arrives (review case 8): its next read would be answered from before the write.
#[test]
fn read_of_a_session_sees_its_write_although_the_position_of_the_write_is_unknown() {
    for script in [reply_to_write_with_long_row, reply_with_row] {
        let primary = Host::start("s-1", true, script);
        let replica = Host::start("s-2", false, reply_with_row);
        replica.lag_ms.update(|lag_ms| *lag_ms = LAG_MS);
        let members = vec![
            primary.entry("in_service", 0),
            replica.entry("in_service", 0),
        ];
        let discovery = Discovery::start(members);
        let gateway =
            Gateway::start_with_config(&discovery, &[&primary, &replica], keep_session_marks);
        let mut client = gateway.client();
        let written = client.query(&statement("order", 9_000));
        assert!(written.contains("CommandComplete"), "{}", written.len());
        for _ in 0..5 {
            let read = client.query(&statement("own", 9_000));
            assert!(read.contains("a1b2"), "{read}");
        }
        assert_eq!(replica.statements().len(), 0, "stale reads");
    }
}
