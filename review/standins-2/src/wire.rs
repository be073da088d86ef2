//! The little of PostgreSQL's protocol that clients and hosts need.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

pub fn message(tag: u8, body: &[u8]) -> Vec<u8> {
    let mut bytes = vec![tag];
    bytes.extend((body.len() as u32 + 4).to_be_bytes());
    bytes.extend(body);
    bytes
}

pub fn read_message(stream: &mut impl Read) -> io::Result<(u8, Vec<u8>)> {
    let mut head = [0; 5];
    stream.read_exact(&mut head)?;
    let length = u32::from_be_bytes([head[1], head[2], head[3], head[4]]) as usize;
    let mut body = vec![0; length.checked_sub(4).ok_or(io::ErrorKind::InvalidData)?];
    stream.read_exact(&mut body)?;
    Ok((head[0], body))
}

pub fn read_startup(stream: &mut impl Read) -> io::Result<()> {
    let mut head = [0; 4];
    stream.read_exact(&mut head)?;
    let mut rest = vec![0; u32::from_be_bytes(head) as usize - 4];
    stream.read_exact(&mut rest)
}

pub fn startup() -> Vec<u8> {
    let body = b"user\0web\0database\0orders\0\0";
    let mut bytes = (body.len() as u32 + 8).to_be_bytes().to_vec();
    bytes.extend(196_608u32.to_be_bytes());
    bytes.extend(body);
    bytes
}

pub fn query(text: &str) -> Vec<u8> {
    message(b'Q', &[text.as_bytes(), b"\0"].concat())
}

pub fn status(name: &str, value: &str) -> Vec<u8> {
    message(b'S', format!("{name}\0{value}\0").as_bytes())
}

pub fn ready() -> Vec<u8> {
    message(b'Z', b"I")
}

pub fn error(code: &str) -> Vec<u8> {
    message(b'E', format!("SERROR\0C{code}\0Mno\0\0").as_bytes())
}

/// RowDescription and DataRow of one column.
pub fn row(value: &[u8]) -> Vec<u8> {
    let description = [&[0, 1][..], b"payload\0", &[0; 18]].concat();
    let cell = [&[0, 1][..], &(value.len() as u32).to_be_bytes(), value].concat();
    [message(b'T', &description), message(b'D', &cell)].concat()
}

/// What a client got for one query.
#[derive(Clone, Debug, PartialEq)]
pub enum Answer {
    Row(Vec<u8>),
    Empty,
    Error {
        code: String,
        value_bytes: usize,
    },
    /// The connection ended first, after so many bytes of the answer.
    Ended(usize),
}

impl Answer {
    pub fn short(&self) -> String {
        match self {
            Answer::Row(value) if value.len() > 40 => format!("a row of {} bytes", value.len()),
            Answer::Row(value) => format!("row {}", String::from_utf8_lossy(value)),
            Answer::Empty => "EmptyQueryResponse".into(),
            Answer::Error { code, value_bytes } => {
                format!("error {code} behind {value_bytes} bytes of a row")
            }
            Answer::Ended(bytes) => {
                format!("the connection ended after {bytes} bytes of the answer")
            }
        }
    }
}

/// A client's connection to a gateway.
pub struct Client {
    pub stream: TcpStream,
}

impl Client {
    pub fn connect(address: SocketAddr) -> io::Result<Client> {
        let mut stream = TcpStream::connect(address)?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(Duration::from_secs(30)))?;
        stream.write_all(&startup())?;
        loop {
            let (tag, _) = read_message(&mut stream)?;
            match tag {
                b'Z' => return Ok(Client { stream }),
                b'E' => return Err(io::ErrorKind::ConnectionRefused.into()),
                _ => {}
            }
        }
    }

    pub fn ask(&mut self, text: &str) -> Answer {
        if self.send(text).is_err() {
            return Answer::Ended(0);
        }
        self.answer()
    }

    /// Waits until the gateway ends the connection.
    pub fn wait_for_close(&mut self) {
        while !matches!(self.stream.read(&mut [0; 64]), Ok(0) | Err(_)) {}
    }

    pub fn send(&mut self, text: &str) -> io::Result<()> {
        self.stream.write_all(&query(text))
    }

    pub fn answer(&mut self) -> Answer {
        let mut counted = Counted {
            stream: &mut self.stream,
            bytes: 0,
        };
        let (mut value, mut complete, mut empty, mut code) = (Vec::new(), false, false, None);
        loop {
            let Ok((tag, body)) = read_message(&mut counted) else {
                return Answer::Ended(counted.bytes);
            };
            match tag {
                b'D' => value = body[6..].to_vec(),
                b'C' => complete = true,
                b'I' => empty = true,
                b'E' => code = Some(sqlstate(&body)),
                b'Z' => break,
                _ => {}
            }
        }
        match code {
            Some(code) => Answer::Error {
                code,
                value_bytes: value.len(),
            },
            None if complete => Answer::Row(value),
            None if empty => Answer::Empty,
            None => Answer::Ended(counted.bytes),
        }
    }
}

struct Counted<'a> {
    stream: &'a mut TcpStream,
    bytes: usize,
}

impl Read for Counted<'_> {
    fn read(&mut self, into: &mut [u8]) -> io::Result<usize> {
        let length = self.stream.read(into)?;
        self.bytes += length;
        Ok(length)
    }
}

fn sqlstate(body: &[u8]) -> String {
    let fields = body.split(|&byte| byte == 0);
    let code = fields
        .into_iter()
        .find(|field| field.first() == Some(&b'C'));
    code.map_or_else(String::new, |field| {
        String::from_utf8_lossy(&field[1..]).into()
    })
}

/// The value of a name in the comment of a statement.
pub fn field<'a>(text: &'a str, name: &str) -> Option<&'a str> {
    let comment = text.rsplit_once("/*")?.1.trim_end().trim_end_matches("*/");
    comment.split(',').find_map(|pair| {
        pair.trim()
            .strip_prefix(name)?
            .strip_prefix('=')
            .map(str::trim)
    })
}

/// The first quoted string of a statement.
pub fn key(text: &str) -> &str {
    text.split('\'').nth(1).unwrap_or("")
}
