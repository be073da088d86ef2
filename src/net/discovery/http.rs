//! The subset of HTTP/1.1 that discovery needs: GET requests over one connection, and responses whose body has a
//! length, is chunked or ends with the connection.

use bytes::{Buf, BytesMut};
use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use thiserror::Error;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::timeout;

/// Maximum size of an answer, in bytes: far more than the endpoint list of a large fleet.
const MAX_RESPONSE_BYTES: usize = 4 << 20;
/// Maximum number of headers in an answer.
const MAX_HEADERS: usize = 32;
/// The line break after the data of a chunk.
const CHUNK_END: &[u8] = b"\r\n";

/// Why no answer was received. The text goes to the log.
#[derive(Debug, Error)]
pub enum HttpError {
    /// The connection was not established in time.
    #[error("no connection within the time limit")]
    ConnectTimeout,
    /// Connecting failed, for example because the connection was refused.
    #[error("no connection: {0}")]
    Connect(#[source] io::Error),
    /// The socket option `TCP_NODELAY` could not be set on the new connection.
    #[error("cannot set TCP_NODELAY: {0}")]
    Configure(#[source] io::Error),
    /// The request could not be sent.
    #[error("cannot send the request: {0}")]
    Write(#[source] io::Error),
    /// The answer could not be read.
    #[error("cannot read the answer: {0}")]
    Read(#[source] io::Error),
    /// The connection was closed before the answer was complete.
    #[error("connection closed before the answer was complete")]
    ConnectionClosed,
    /// The answer exceeds [`MAX_RESPONSE_BYTES`].
    #[error("answer exceeds the size limit")]
    ResponseTooLarge,
    /// The answer cannot be used.
    #[error(transparent)]
    Response(#[from] ResponseError),
}

/// Why an answer cannot be used. The text goes to the log.
#[derive(Debug, Error, PartialEq, Eq)]
pub enum ResponseError {
    /// The status line or the headers cannot be parsed.
    #[error("malformed HTTP head: {0}")]
    MalformedHead(#[source] httparse::Error),
    /// The status is not 200.
    #[error("HTTP status {0} instead of 200")]
    Status(u16),
    /// The value of `Content-Length` is not a number, or exceeds [`MAX_RESPONSE_BYTES`].
    #[error("Content-Length is not a number or exceeds the size limit")]
    MalformedLength,
    /// The size of a chunk cannot be parsed.
    #[error("malformed chunk size")]
    MalformedChunk,
    /// A chunk exceeds [`MAX_RESPONSE_BYTES`].
    #[error("chunk exceeds the size limit")]
    ChunkTooLarge,
}

/// A complete answer.
#[derive(Debug, PartialEq, Eq)]
pub struct Response {
    /// The body of the answer.
    pub body: Vec<u8>,
    /// Whether the connection cannot be used for another request.
    pub closes_connection: bool,
}

/// An answer that was parsed from the bytes received so far.
#[derive(Debug, PartialEq, Eq)]
struct ParsedResponse {
    response: Response,
    /// Number of bytes of the answer, including its head.
    length: usize,
}

/// The body of an answer, and the position after it in the bytes received so far.
struct ParsedBody {
    body: Vec<u8>,
    end: usize,
}

/// One chunk of a body, and the position after it in the bytes received so far.
struct ParsedChunk<'a> {
    /// The data of the chunk; empty in the last chunk.
    data: &'a [u8],
    end: usize,
}

/// An HTTP connection that handles one request at a time.
pub struct HttpConnection {
    stream: TcpStream,
    /// Received bytes that have not been parsed as an answer yet.
    received: BytesMut,
}

impl HttpConnection {
    /// Connects within the time limit `limit`.
    ///
    /// # Errors
    ///
    /// The connection is refused, is not established in time, or cannot be configured.
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

    /// Sends a complete request and reads its answer, without a time limit.
    ///
    /// # Errors
    ///
    /// The connection fails, or the answer cannot be used. The connection must not be used again after an error.
    pub async fn exchange(&mut self, request: &str) -> Result<Response, HttpError> {
        self.stream
            .write_all(request.as_bytes())
            .await
            .map_err(HttpError::Write)?;
        self.read_response().await
    }

    /// Reads one answer. Bytes received after it are kept for the next call.
    async fn read_response(&mut self) -> Result<Response, HttpError> {
        loop {
            if let Some(parsed) = parse_response(&self.received, false)? {
                self.received.advance(parsed.length);
                return Ok(parsed.response);
            }
            if self.received.len() > MAX_RESPONSE_BYTES {
                return Err(HttpError::ResponseTooLarge);
            }
            // A connection reset is an error, unlike an orderly close, which ends a body without a length.
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

/// Parses one answer, or returns `None` while it is incomplete. An answer without a length is complete only once its
/// connection has ended.
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
    let closes_connection = connection_ended || header_equals(&head, "connection", b"close");
    let body = parse_body(&head, bytes, body_start, connection_ended)?;
    Ok(body.map(|ParsedBody { body, end }| ParsedResponse {
        response: Response {
            body,
            closes_connection,
        },
        length: end,
    }))
}

/// Parses the body that begins at `start`, or returns `None` while it is incomplete.
fn parse_body(
    head: &httparse::Response<'_, '_>,
    bytes: &[u8],
    start: usize,
    connection_ended: bool,
) -> Result<Option<ParsedBody>, ResponseError> {
    if header_equals(head, "transfer-encoding", b"chunked") {
        return parse_chunks(bytes, start);
    }
    if let Some(length) = header_value(head, "content-length") {
        let end = start + parse_length(length)?;
        return Ok(body_between(bytes, start, end));
    }
    if connection_ended {
        return Ok(body_between(bytes, start, bytes.len()));
    }
    Ok(None)
}

/// Returns the body between these positions, or `None` while it has not been received completely.
fn body_between(bytes: &[u8], start: usize, end: usize) -> Option<ParsedBody> {
    let body = bytes.get(start..end)?.to_vec();
    Some(ParsedBody { body, end })
}

/// Returns the value of the first header with this name.
fn header_value<'a>(head: &'a httparse::Response<'_, '_>, name: &str) -> Option<&'a [u8]> {
    head.headers
        .iter()
        .find(|header| header.name.eq_ignore_ascii_case(name))
        .map(|header| header.value)
}

/// Returns whether the first header with this name has the expected value, ignoring case.
fn header_equals(head: &httparse::Response<'_, '_>, name: &str, expected: &[u8]) -> bool {
    header_value(head, name).is_some_and(|value| value.eq_ignore_ascii_case(expected))
}

/// Parses the value of a `Content-Length` header.
fn parse_length(value: &[u8]) -> Result<usize, ResponseError> {
    std::str::from_utf8(value)
        .ok()
        .and_then(|text| text.trim().parse().ok())
        .filter(|&length| length <= MAX_RESPONSE_BYTES)
        .ok_or(ResponseError::MalformedLength)
}

/// Parses the chunked body that begins at `start`, or returns `None` while it is incomplete.
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

/// Parses the chunk that begins at `start`, or returns `None` while it is incomplete.
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
