//! The comment of a statement, and the row that answers it.

use crate::loopback::environment::{ClientStatement, Environment};
use irisrouter_simulation::{seconds, SECOND};
use std::collections::HashMap;

/// The row for a statement of this id: nobody but a host can make it.
#[must_use]
pub fn payload(id: &str) -> String {
    const FNV_OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
    const FNV_PRIME: u64 = 0x100_0000_01b3;
    let hash = id.bytes().fold(FNV_OFFSET_BASIS, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(FNV_PRIME)
    });
    format!("row {id} {hash:016x}")
}

/// The names and values of a statement's last comment.
#[must_use]
pub fn comment_fields(statement: &str) -> HashMap<&str, &str> {
    let comment = statement
        .rsplit_once("/*")
        .and_then(|(_, tail)| tail.split_once("*/"))
        .map_or("", |(comment, _)| comment);
    comment
        .split(',')
        .filter_map(|pair| pair.trim().split_once('='))
        .collect()
}

/// Whether a statement's comment is what its client sent: the class, the key, and a time to wait that fits the class.
pub(super) fn matches_client(
    fields: &HashMap<&str, &str>,
    client: &ClientStatement,
    environment: &Environment,
) -> bool {
    let class = &environment.scenario().world.classes[client.class];
    let key = fields
        .get("k")
        .and_then(|key| u64::from_str_radix(key, 16).ok());
    let wait_ms = fields.get("d").and_then(|wait| wait.parse::<f64>().ok());
    let max_wait_ms = class.deadline_ms + 1.0;
    fields.get("c") == Some(&class.name.as_str())
        && key == client.key
        && wait_ms.is_some_and(|wait| wait >= 0.0 && wait <= max_wait_ms)
        && environment.now() - client.sent < seconds(max_wait_ms / 1e3) * 2 + SECOND
}
