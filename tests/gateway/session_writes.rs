//! What a session wrote, in a deployment whose gateway keeps the marks of sessions and whose hosts do not check reads.

use crate::harness::discovery::Discovery;
use crate::harness::gateway::Gateway;
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
