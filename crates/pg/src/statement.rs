//! The parser for statements and the comment at their end, which tells the gateway how to route them.

use crate::error::Malformed;
use std::ops::Range;

/// Maximum time that a client may state as its timeout, in milliseconds: one day.
const MAX_TIMEOUT_MS: f64 = 86_400_000.0;

/// Maximum length of a request's id, in bytes: ids are kept in memory while their requests are open.
const MAX_ID_LENGTH: usize = 256;

/// The fields of the comment at the end of a statement, and the first quoted string of the statement.
#[derive(Clone, Debug, PartialEq)]
pub struct Statement<'a> {
    /// Id of the request.
    pub id: &'a str,
    /// Name of the request's class.
    pub class: &'a str,
    /// Byte range within the statement of the number that `timeout_ms` was parsed from.
    pub timeout_range: Range<usize>,
    /// Time for which the client waits for the response, in milliseconds.
    pub timeout_ms: f64,
    /// Group of hosts that the request is for.
    pub group: i64,
    /// Idempotency key; `None` if there is none or it is empty.
    pub idempotency: Option<&'a str>,
    /// Whether the client marks the request as a retry.
    pub retry: bool,
    /// Minimum replication position that the read must observe, in Unix milliseconds; `None` if there is none or it is
    /// not positive.
    pub after_ms: Option<f64>,
    /// First quoted string of the statement. It identifies the session, in classes that have sessions.
    pub session_key: Option<&'a [u8]>,
}

/// The fields of a comment that the gateway recognises, as text.
#[derive(Default)]
struct CommentFields<'a> {
    id: Option<&'a str>,
    class: Option<&'a str>,
    timeout_text: Option<&'a str>,
    idempotency: Option<&'a str>,
    group: Option<&'a str>,
    after: Option<&'a str>,
    retry: Option<&'a str>,
}

impl<'a> CommentFields<'a> {
    fn parse(comment: &'a str) -> Result<Self, Malformed> {
        let mut fields = CommentFields::default();
        for pair in comment.split(',') {
            let (name, value) = pair
                .trim()
                .split_once('=')
                .ok_or(Malformed("a name without a value in the comment"))?;
            let Some(field) = fields.field_mut(name.trim()) else {
                continue;
            };
            if field.replace(value.trim()).is_some() {
                return Err(Malformed("a name that stands twice in the comment"));
            }
        }
        Ok(fields)
    }

    /// Returns the field with this name; `None` for names that the gateway ignores.
    fn field_mut(&mut self, name: &str) -> Option<&mut Option<&'a str>> {
        match name {
            "id" => Some(&mut self.id),
            "c" => Some(&mut self.class),
            "d" => Some(&mut self.timeout_text),
            "k" => Some(&mut self.idempotency),
            "cluster" => Some(&mut self.group),
            "after" => Some(&mut self.after),
            "r" => Some(&mut self.retry),
            _ => None,
        }
    }
}

/// Parses a statement with the comment at its end.
///
/// # Errors
///
/// Returns an error if there is no comment, a required field is missing, or a field is repeated or invalid.
pub fn statement(text: &[u8]) -> Result<Statement<'_>, Malformed> {
    let (before_comment, comment) = split_comment(text)?;
    let fields = CommentFields::parse(comment)?;
    let id = fields
        .id
        .filter(|id| !id.is_empty())
        .ok_or(Malformed("no id in the comment"))?;
    if id.len() > MAX_ID_LENGTH {
        return Err(Malformed("an id that is too long"));
    }
    let timeout_text = fields
        .timeout_text
        .ok_or(Malformed("no d in the comment"))?;
    let timeout_ms = finite_number(timeout_text)
        .filter(|timeout_ms| (0.0..=MAX_TIMEOUT_MS).contains(timeout_ms))
        .ok_or(Malformed("d is no time in milliseconds"))?;
    let after_ms = fields
        .after
        .map(|after| finite_number(after).ok_or(Malformed("after is no position")))
        .transpose()?;
    let class = fields.class.ok_or(Malformed("no class in the comment"))?;
    let group = fields
        .group
        .and_then(|group| group.parse().ok())
        .ok_or(Malformed("no cluster in the comment"))?;
    Ok(Statement {
        id,
        class,
        timeout_range: range_within(text, timeout_text),
        timeout_ms,
        group,
        idempotency: fields.idempotency.filter(|key| !key.is_empty()),
        retry: fields.retry == Some("1"),
        after_ms: after_ms.filter(|&position| position > 0.0),
        session_key: first_quoted_string(before_comment),
    })
}

/// Splits a statement into the text before the comment at its end, and the content of the comment.
fn split_comment(text: &[u8]) -> Result<(&[u8], &str), Malformed> {
    let trimmed = text.trim_ascii_end();
    let statement = trimmed
        .strip_suffix(b";")
        .unwrap_or(trimmed)
        .trim_ascii_end();
    let inner = statement
        .strip_suffix(b"*/")
        .ok_or(Malformed("a statement that does not end with its comment"))?;
    let start = inner
        .windows(2)
        .rposition(|pair| pair == b"/*")
        .ok_or(Malformed("a comment without its start"))?;
    let comment = std::str::from_utf8(&inner[start + 2..])
        .map_err(|_| Malformed("a comment that is no text"))?;
    Ok((&inner[..start], comment))
}

fn finite_number(text: &str) -> Option<f64> {
    text.parse().ok().filter(|number: &f64| number.is_finite())
}

/// Returns the range of a part within the bytes that it is a slice of.
fn range_within(whole: &[u8], part: &str) -> Range<usize> {
    let start = part.as_ptr() as usize - whole.as_ptr() as usize;
    start..start + part.len()
}

/// Returns the content of the first quoted string of a statement. A doubled quote within it is not unescaped.
fn first_quoted_string(text: &[u8]) -> Option<&[u8]> {
    let start = text.iter().position(|&byte| byte == b'\'')? + 1;
    let mut end = start;
    loop {
        end += text[end..].iter().position(|&byte| byte == b'\'')?;
        if text.get(end + 1) != Some(&b'\'') {
            return Some(&text[start..end]);
        }
        end += 2;
    }
}
