//! The part of HTTP/1.1 that discovery needs: GET requests over one connection, and answers with a length, in chunks or
//! up to the end of the connection.

use bytes::{Buf, BytesMut};
use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use thiserror::Error;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::timeout;

/// Largest answer that is read, in bytes: far more than the list of a large fleet.
const MAX_RESPONSE_BYTES: usize = 4 << 20;
/// Most headers that an answer may have.
const MAX_HEADERS: usize = 32;
/// The line break behind the bytes of a chunk.
const CHUNK_END: &[u8] = b"\r\n";

/// Why no answer was received. The text goes to the log.
#[derive(Debug, Error)]
pub enum HttpError {
    /// The connection was not established in time.
    #[error("no connection in time")]
    ConnectTimeout,
    /// The connection was refused.
    #[error("no connection: {0}")]
    Connect(#[source] io::Error),
    /// The new connection could not be configured.
    #[error("{0}")]
    Configure(#[source] io::Error),
    /// The request could not be sent.
    #[error("cannot write: {0}")]
    Write(#[source] io::Error),
    /// The answer could not be read.
    #[error("cannot read: {0}")]
    Read(#[source] io::Error),
    /// The connection ended before the answer did.
    #[error("the connection was closed")]
    ConnectionClosed,
    /// The answer exceeds [`MAX_RESPONSE_BYTES`].
    #[error("an answer is too large")]
    ResponseTooLarge,
    /// The answer is not what was asked for.
    #[error(transparent)]
    Response(#[from] ResponseError),
}

/// Why an answer cannot be used. The text goes to the log.
#[derive(Debug, Error, PartialEq, Eq)]
pub enum ResponseError {
    /// The head cannot be parsed.
    #[error("malformed answer: {0}")]
    MalformedHead(#[source] httparse::Error),
    /// The status is not 200.
    #[error("answer {0}")]
    Status(u16),
    /// The length is no number, or exceeds [`MAX_RESPONSE_BYTES`].
    #[error("an answer with a malformed length")]
    MalformedLength,
    /// The size of a chunk cannot be parsed.
    #[error("a malformed chunk")]
    MalformedChunk,
    /// A chunk exceeds [`MAX_RESPONSE_BYTES`].
    #[error("a chunk is too large")]
    ChunkTooLarge,
}

/// A complete answer.
#[derive(Debug, PartialEq, Eq)]
pub struct Response {
    /// Its body.
    pub body: Vec<u8>,
    /// Its connection takes no further request.
    pub closes_connection: bool,
}

/// An answer that was parsed from the bytes received so far.
#[derive(Debug, PartialEq, Eq)]
struct ParsedResponse {
    response: Response,
    /// How many of the bytes it takes, with its head.
    length: usize,
}

/// The body of an answer, and where it ends in the bytes received so far.
struct ParsedBody {
    body: Vec<u8>,
    end: usize,
}

/// One chunk of a body, and where it ends in the bytes received so far.
struct ParsedChunk<'a> {
    /// Empty in the last chunk.
    data: &'a [u8],
    end: usize,
}

/// A connection that takes one request at a time.
pub struct HttpConnection {
    stream: TcpStream,
    /// What has been received and belongs to no answer yet.
    received: BytesMut,
}

impl HttpConnection {
    /// Connects within this time.
    ///
    /// # Errors
    ///
    /// If the connection is refused, or not established in time.
    pub async fn connect(address: SocketAddr, limit: Duration) -> Result<Self, HttpError> {
        let connecting = timeout(limit, TcpStream::connect(address)).await;
        let stream = connecting
            .map_err(|_| HttpError::ConnectTimeout)?
            .map_err(HttpError::Connect)?;
        stream.set_nodelay(true).map_err(HttpError::Configure)?;
        Ok(HttpConnection {
            stream,
            received: BytesMut::new(),
        })
    }

    /// Sends a whole request and reads its answer, without a time limit.
    ///
    /// # Errors
    ///
    /// If the connection fails, or if the answer cannot be used: the connection takes no further request then.
    pub async fn exchange(&mut self, request: &str) -> Result<Response, HttpError> {
        self.stream
            .write_all(request.as_bytes())
            .await
            .map_err(HttpError::Write)?;
        self.read_response().await
    }

    /// Reads one answer, and keeps what was received behind it.
    async fn read_response(&mut self) -> Result<Response, HttpError> {
        loop {
            if let Some(parsed) = parse_response(&self.received, false)? {
                self.received.advance(parsed.length);
                return Ok(parsed.response);
            }
            if self.received.len() > MAX_RESPONSE_BYTES {
                return Err(HttpError::ResponseTooLarge);
            }
            // A reset is an error, and not the end of a body without a length.
            let bytes_read = self
                .stream
                .read_buf(&mut self.received)
                .await
                .map_err(HttpError::Read)?;
            if bytes_read == 0 {
                return parse_response(&self.received, true)?
                    .map(|parsed| parsed.response)
                    .ok_or(HttpError::ConnectionClosed);
            }
        }
    }
}

/// Parses one answer; None while it is incomplete. An answer without a length is complete once its connection has ended.
fn parse_response(
    bytes: &[u8],
    connection_ended: bool,
) -> Result<Option<ParsedResponse>, ResponseError> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut head = httparse::Response::new(&mut headers);
    let parsed = head.parse(bytes).map_err(ResponseError::MalformedHead)?;
    let httparse::Status::Complete(body_start) = parsed else {
        return Ok(None);
    };
    if head.code != Some(200) {
        return Err(ResponseError::Status(head.code.unwrap_or(0)));
    }
    let closes_connection = connection_ended || has_value(&head, "connection", b"close");
    let body = parse_body(&head, bytes, body_start, connection_ended)?;
    Ok(body.map(|ParsedBody { body, end }| ParsedResponse {
        response: Response {
            body,
            closes_connection,
        },
        length: end,
    }))
}

/// Parses the body of an answer, which begins at this position; None while it is incomplete.
fn parse_body(
    head: &httparse::Response<'_, '_>,
    bytes: &[u8],
    start: usize,
    connection_ended: bool,
) -> Result<Option<ParsedBody>, ResponseError> {
    if has_value(head, "transfer-encoding", b"chunked") {
        return parse_chunks(bytes, start);
    }
    if let Some(length) = header(head, "content-length") {
        let end = start + parse_length(length)?;
        return Ok(body_between(bytes, start, end));
    }
    if connection_ended {
        return Ok(body_between(bytes, start, bytes.len()));
    }
    Ok(None)
}

/// The body between these positions; None where not all of it has been received.
fn body_between(bytes: &[u8], start: usize, end: usize) -> Option<ParsedBody> {
    let body = bytes.get(start..end)?.to_vec();
    Some(ParsedBody { body, end })
}

/// The value of the first header of this name.
fn header<'a>(head: &'a httparse::Response<'_, '_>, name: &str) -> Option<&'a [u8]> {
    head.headers
        .iter()
        .find(|header| header.name.eq_ignore_ascii_case(name))
        .map(|header| header.value)
}

/// Whether the first header of this name has this value; upper and lower case are alike.
fn has_value(head: &httparse::Response<'_, '_>, name: &str, expected: &[u8]) -> bool {
    header(head, name).is_some_and(|value| value.eq_ignore_ascii_case(expected))
}

/// Parses the length of a body.
fn parse_length(value: &[u8]) -> Result<usize, ResponseError> {
    std::str::from_utf8(value)
        .ok()
        .and_then(|text| text.trim().parse().ok())
        .filter(|&length| length <= MAX_RESPONSE_BYTES)
        .ok_or(ResponseError::MalformedLength)
}

/// Parses a body in chunks that begins at this position; None while it is incomplete.
fn parse_chunks(bytes: &[u8], start: usize) -> Result<Option<ParsedBody>, ResponseError> {
    let mut body = Vec::new();
    let mut position = start;
    loop {
        let Some(chunk) = parse_chunk(bytes, position)? else {
            return Ok(None);
        };
        position = chunk.end;
        if chunk.data.is_empty() {
            return Ok(Some(ParsedBody {
                body,
                end: position,
            }));
        }
        body.extend_from_slice(chunk.data);
    }
}

/// Parses the chunk that begins at this position; None while it is incomplete.
fn parse_chunk(bytes: &[u8], start: usize) -> Result<Option<ParsedChunk<'_>>, ResponseError> {
    let parsed =
        httparse::parse_chunk_size(&bytes[start..]).map_err(|_| ResponseError::MalformedChunk)?;
    let httparse::Status::Complete((line_length, size)) = parsed else {
        return Ok(None);
    };
    let size = usize::try_from(size)
        .ok()
        .filter(|&size| size <= MAX_RESPONSE_BYTES)
        .ok_or(ResponseError::ChunkTooLarge)?;
    let data_start = start + line_length;
    let data_end = data_start + size;
    let end = data_end + CHUNK_END.len();
    if bytes.len() < end {
        return Ok(None);
    }
    Ok(Some(ParsedChunk {
        data: &bytes[data_start..data_end],
        end,
    }))
}

#[cfg(test)]
#[path = "../../../tests/unit/discovery.rs"]
mod tests;
