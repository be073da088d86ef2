//! The documents that processes exchange during a hot restart, and the usage that they report.

use super::*;
use serde_json::{json, Value};

fn usage(client_descriptors: usize) -> ResourceUsage {
    ResourceUsage {
        client_descriptors,
        upstream_connections: 3,
        message_memory: 5,
    }
}

/// Guards against a changed key: other versions read these keys, and silently ignore a key that they do not know.
#[test]
fn hand_over_document_keeps_its_keys() {
    let document = HandOverDocument {
        member_names: vec!["s-1".to_string()],
        class_names: vec!["read".to_string()],
        usage: usage(70),
        ..HandOverDocument::default()
    };
    let written = serde_json::to_value(&document).expect("a JSON object");
    let keys: Vec<&String> = written.as_object().expect("an object").keys().collect();
    assert_eq!(keys, ["classes", "held", "list", "lore", "members"]);
    assert_eq!(written["members"], json!(["s-1"]));
    assert_eq!(written["classes"], json!(["read"]));
    assert_eq!(
        written["held"],
        json!({"clients": 70, "hosts": 3, "memory": 5})
    );
}

#[test]
fn hand_over_document_with_missing_or_unknown_keys_is_read() {
    let text = json!({"members": ["s-1"], "held": {"clients": 70, "threads": 2}, "later": 1});
    let document: HandOverDocument = serde_json::from_value(text).expect("readable");
    assert_eq!(document.member_names, ["s-1"]);
    assert_eq!(document.usage.client_descriptors, 70);
    assert_eq!(document.usage.upstream_connections, 0);
    assert_eq!(document.endpoint_list, EndpointList::default());
    let empty: HandOverDocument = serde_json::from_value(Value::Object(serde_json::Map::new()))
        .expect("a document without keys");
    assert_eq!(empty.usage, ResourceUsage::default());
}

#[test]
fn usage_of_each_side_is_kept_separately_and_adds_up_to_the_total() {
    let others = UsageBySide::default();
    others.set(Side::Predecessor, usage(10));
    others.set(Side::Successor, usage(1));
    assert_eq!(others.get(Side::Successor.opposite()), usage(10));
    assert_eq!(others.get(Side::Predecessor.opposite()), usage(1));
    let total = others.total();
    assert_eq!(
        (
            total.client_descriptors,
            total.upstream_connections,
            total.message_memory
        ),
        (11, 6, 10)
    );
    others.set(Side::Predecessor, ResourceUsage::default());
    assert_eq!(others.total(), usage(1));
}
