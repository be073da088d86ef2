//! A client: PostgreSQL's protocol 3, simple queries.

use crate::util::connect;
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// What a client was answered.
#[derive(Debug, Clone, PartialEq)]
pub enum Answer {
    /// A whole row.
    Row(Vec<u8>),
    /// An error with its SQLSTATE, and the number in the field D.
    Error(String, Option<u64>),
    /// EmptyQueryResponse.
    Empty,
    /// The connection ended first; the number of bytes of an unfinished message that had come.
    Ended(usize),
    /// Nothing came in time.
    Nothing,
}

pub struct Client {
    pub stream: TcpStream,
    input: Vec<u8>,
}

pub fn message(tag: u8, body: &[u8]) -> Vec<u8> {
    let mut out = vec![tag];
    out.extend_from_slice(&(body.len() as u32 + 4).to_be_bytes());
    out.extend_from_slice(body);
    out
}

pub fn query(text: &str) -> Vec<u8> {
    let mut body = text.as_bytes().to_vec();
    body.push(0);
    message(b'Q', &body)
}

impl Client {
    /// Connects and starts a session.
    pub fn connect(address: SocketAddr) -> io::Result<Self> {
        let mut stream = connect(address)?;
        let mut body = 196_608u32.to_be_bytes().to_vec();
        body.extend_from_slice(b"user\0web\0database\0orders\0\0");
        let mut out = (body.len() as u32 + 4).to_be_bytes().to_vec();
        out.extend_from_slice(&body);
        stream.write_all(&out)?;
        let mut client = Client {
            stream,
            input: Vec::new(),
        };
        client
            .stream
            .set_read_timeout(Some(Duration::from_secs(3)))?;
        loop {
            match client.next_message()? {
                Some((b'Z', _)) => return Ok(client),
                Some((b'E', _)) | None => return Err(io::ErrorKind::ConnectionRefused.into()),
                Some(_) => {}
            }
        }
    }

    pub fn empty_query(&mut self) -> io::Result<bool> {
        self.stream.write_all(&query(""))?;
        Ok(self.answer(Duration::from_secs(2)) == Answer::Empty)
    }

    pub fn send(&mut self, text: &str) -> io::Result<()> {
        self.stream.write_all(&query(text))
    }

    /// Reads one message; `None` at the end of the connection.
    fn next_message(&mut self) -> io::Result<Option<(u8, Vec<u8>)>> {
        let mut chunk = [0; 65_536];
        loop {
            if self.input.len() >= 5 {
                let length = u32::from_be_bytes(self.input[1..5].try_into().unwrap()) as usize;
                if self.input.len() > length {
                    let body = self.input[5..length + 1].to_vec();
                    let tag = self.input[0];
                    self.input.drain(..length + 1);
                    return Ok(Some((tag, body)));
                }
            }
            match self.stream.read(&mut chunk)? {
                0 => return Ok(None),
                n => self.input.extend_from_slice(&chunk[..n]),
            }
        }
    }

    /// Reads the answer to one query, up to ReadyForQuery. The time limit is that of each silence.
    pub fn answer(&mut self, silence: Duration) -> Answer {
        let _ = self.stream.set_read_timeout(Some(silence));
        let mut answer = None;
        loop {
            match self.next_message() {
                Ok(Some((b'Z', _))) => return answer.unwrap_or(Answer::Ended(0)),
                Ok(Some((b'D', body))) => answer = Some(Answer::Row(body[6..].to_vec())),
                Ok(Some((b'I', _))) => answer = Some(Answer::Empty),
                Ok(Some((b'E', body))) => answer = Some(error(&body)),
                Ok(Some(_)) => {}
                Ok(None) => return self.ended(answer),
                Err(e)
                    if matches!(
                        e.kind(),
                        io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut
                    ) =>
                {
                    return Answer::Nothing
                }
                Err(_) => return self.ended(answer),
            }
        }
    }

    /// A fatal error needs no ReadyForQuery.
    fn ended(&self, answer: Option<Answer>) -> Answer {
        match answer {
            Some(error @ Answer::Error(..)) => error,
            _ => Answer::Ended(self.input.len()),
        }
    }
}

fn error(body: &[u8]) -> Answer {
    let field = |name: u8| {
        body.split(|&b| b == 0)
            .find(|f| f.first() == Some(&name))
            .map(|f| String::from_utf8_lossy(&f[1..]).to_string())
    };
    Answer::Error(
        field(b'C').unwrap_or_default(),
        field(b'D').and_then(|d| d.parse().ok()),
    )
}
