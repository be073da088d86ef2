//! Serves a gateway's connection to a stand-in host.

use super::host::{HealthCheck, SharedHost};
use super::{lock, protocol};
use crate::flood::UNANSWERED_READ;
use crate::loopback::host::comment_fields;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

/// Time between two checks whether a link is still cut.
const LINK_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Maximum recorded length of a statement, in bytes, which limits memory because a run sends thousands of statements.
const MAX_RECORDED_BYTES: usize = 4_096;
/// A read whose text contains this is answered with a long value.
pub const LONG_READ: &str = "long";
/// Length of a long value, in bytes, in addition to the text of its read.
const LONG_VALUE_BYTES: usize = 150_000;
/// Size of the pieces in which an answer is written, in bytes, and the time between two of them.
const PIECE_BYTES: usize = 16_384;
const PIECE_INTERVAL: Duration = Duration::from_millis(8);
/// SQLSTATE of the answer to a health check whose fencing token is outdated.
const OUTDATED_TOKEN: &str = "40001";
/// SQLSTATE of the answer to a write that was sent to a replica.
const READ_ONLY: &str = "25006";

/// Serves a connection of a gateway until it ends or the host's connections are reset.
pub(super) async fn serve(host: Arc<SharedHost>, mut stream: TcpStream, gateway: usize) {
    let is_reset = tokio::select! {
        () = host.resets.notified() => true,
        _ = answer_statements(&host, &mut stream, gateway) => false,
    };
    if is_reset {
        // Without lingering, closing the connection sends a TCP reset.
        let _ = stream.set_zero_linger();
    }
}

async fn answer_statements(
    host: &SharedHost,
    stream: &mut TcpStream,
    gateway: usize,
) -> Option<()> {
    stream.set_nodelay(true).ok()?;
    host.wait_for_link(gateway).await;
    protocol::read_startup(stream).await?;
    let welcome = [protocol::authentication_ok(), protocol::ready_for_query()];
    stream.write_all(&welcome.concat()).await.ok()?;
    loop {
        let message = protocol::read_message(stream).await?;
        // Taken before the wait for the link, because the gateway has sent a statement that a cut link holds back.
        let arrived_at = host.clock.now();
        host.wait_for_link(gateway).await;
        if message.tag != b'Q' {
            return None;
        }
        let text = &message.body[..message.body.len().saturating_sub(1)];
        let text = String::from_utf8(text.to_vec()).ok()?;
        if text.contains(UNANSWERED_READ) {
            continue;
        }
        let answer = host.answer(gateway, &text, arrived_at).await;
        host.wait_for_link(gateway).await;
        let answer = [answer, protocol::ready_for_query()].concat();
        write_answer(stream, &answer).await?;
    }
}

/// Writes an answer; a long one in pieces with pauses between them.
async fn write_answer(stream: &mut TcpStream, answer: &[u8]) -> Option<()> {
    let mut pieces = answer.chunks(PIECE_BYTES).peekable();
    while let Some(piece) = pieces.next() {
        stream.write_all(piece).await.ok()?;
        if pieces.peek().is_some() {
            tokio::time::sleep(PIECE_INTERVAL).await;
        }
    }
    Some(())
}

/// The part of a statement that is recorded: the end of a long one, because it has the comment there.
fn recorded(text: &str) -> &str {
    let from = text.len().saturating_sub(MAX_RECORDED_BYTES);
    text.get(from..).unwrap_or(text)
}

impl SharedHost {
    /// Waits while the link to a gateway is cut.
    async fn wait_for_link(&self, gateway: usize) {
        while lock(&self.cut_off).contains(&gateway) {
            tokio::time::sleep(LINK_POLL_INTERVAL).await;
        }
    }

    async fn answer(&self, gateway: usize, text: &str, arrived_at: u64) -> Vec<u8> {
        let (fields, now) = (comment_fields(text), self.clock.now());
        if text.starts_with("SHOW usage") {
            return self.answer_health_check(gateway, &fields, now);
        }
        let statement = (arrived_at, gateway, recorded(text).to_string());
        lock(&self.record).statements.push(statement);
        let busy = lock(&self.capacity)
            .as_mut()
            .map_or(Duration::ZERO, |capacity| capacity.enqueue(Instant::now()));
        if !busy.is_zero() {
            tokio::time::sleep(busy).await;
        }
        match fields.get("k").filter(|_| text.starts_with("INSERT")) {
            None if text.contains(LONG_READ) => {
                let value = [text, &"0".repeat(LONG_VALUE_BYTES)].concat();
                protocol::row(&value, self.primary)
            }
            None => protocol::row(text, self.primary),
            Some(_) if !self.primary => protocol::error(READ_ONLY),
            Some(key) => self.apply_write(key).await,
        }
    }

    fn answer_health_check(
        &self,
        gateway: usize,
        fields: &HashMap<&str, &str>,
        now: u64,
    ) -> Vec<u8> {
        let number = |name: &str| fields.get(name).and_then(|v| v.parse::<u64>().ok());
        let token = number("duty").zip(number("epoch"));
        let refused = {
            let mut record = lock(&self.record);
            let refused =
                token.is_some_and(|(task, epoch)| record.records_outdated_token(task, epoch));
            record.health_checks.push(HealthCheck {
                at: now,
                gateway,
                token,
                refused,
            });
            refused
        };
        if refused {
            return protocol::error(OUTDATED_TOKEN);
        }
        let unix_ms = self.clock.unix_ms();
        let (seconds, millis) = (unix_ms / 1000, unix_ms % 1000);
        let primary = u8::from(self.primary);
        let report = format!("x0={seconds}.{millis:03},x1={primary},util=0.1");
        protocol::row(&report, self.primary)
    }

    /// Applies a write, unless its key was applied within the deduplication window; a write that is discarded gets the
    /// same answer.
    async fn apply_write(&self, key: &str) -> Vec<u8> {
        let delays = *lock(&self.write_delays);
        tokio::time::sleep(delays.before_apply).await;
        {
            let mut record = lock(&self.record);
            let now = self.clock.now();
            let times = record.applied.entry(key.to_string()).or_default();
            let window = self.deduplication_window;
            if times.last().is_none_or(|&last| now > last + window) {
                times.push(now);
            }
        }
        tokio::time::sleep(delays.before_answer).await;
        protocol::row(key, true)
    }
}
