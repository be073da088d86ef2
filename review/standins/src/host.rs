//! A database host: it welcomes any user, and answers simple queries as the protocol page says.

use crate::client::message;
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::fd::AsRawFd;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

/// `struct linger` of Linux: with it, a close is a reset.
#[repr(C)]
struct Linger {
    on: i32,
    seconds: i32,
}

const SOL_SOCKET: i32 = 1;
const SO_LINGER: i32 = 13;

extern "C" {
    fn setsockopt(socket: i32, level: i32, name: i32, value: *const Linger, length: u32) -> i32;
}

/// What a host does; one value for each host.
pub trait Behaviour: Send + Sync + 'static {
    /// Time from the arrival of a new connection until it comes up.
    fn connect_delay(&self) -> Duration {
        Duration::ZERO
    }
    /// The report that answers `SHOW usage`.
    fn usage(&self) -> String;
    /// Serves one statement; `Err` ends the connection.
    fn statement(&self, text: &str, connection: &mut HostConnection) -> io::Result<()>;
    /// Silence after which the host closes a resting connection.
    fn idle(&self) -> Duration {
        Duration::from_secs(30)
    }
}

pub struct HostConnection {
    pub stream: TcpStream,
}

fn parameter(name: &str, value: &str) -> Vec<u8> {
    message(b'S', format!("{name}\0{value}\0").as_bytes())
}

fn ready() -> Vec<u8> {
    message(b'Z', b"I")
}

/// RowDescription of one column.
pub fn description() -> Vec<u8> {
    let mut body = 1u16.to_be_bytes().to_vec();
    body.extend_from_slice(b"payload\0");
    body.extend_from_slice(&0u32.to_be_bytes());
    body.extend_from_slice(&0u16.to_be_bytes());
    body.extend_from_slice(&17u32.to_be_bytes());
    body.extend_from_slice(&(-1i16).to_be_bytes());
    body.extend_from_slice(&(-1i32).to_be_bytes());
    body.extend_from_slice(&1u16.to_be_bytes());
    message(b'T', &body)
}

pub fn data_row(value: &[u8]) -> Vec<u8> {
    let mut body = 1u16.to_be_bytes().to_vec();
    body.extend_from_slice(&(value.len() as u32).to_be_bytes());
    body.extend_from_slice(value);
    message(b'D', &body)
}

/// The end of an answer: CommandComplete, the role and, where there is one, the position, ReadyForQuery.
pub fn row_end(role: &str, position: Option<i64>) -> Vec<u8> {
    let mut out = message(b'C', b"SELECT 1\0");
    out.extend(status(role, position));
    out.extend(ready());
    out
}

fn status(role: &str, position: Option<i64>) -> Vec<u8> {
    let mut out = Vec::new();
    if !role.is_empty() {
        out.extend(parameter("server_role", role));
    }
    if let Some(position) = position {
        out.extend(parameter("commit_clock", &position.to_string()));
    }
    out
}

impl HostConnection {
    pub fn row(&mut self, value: &[u8], role: &str, position: Option<i64>) -> io::Result<()> {
        let mut out = description();
        out.extend(data_row(value));
        out.extend(row_end(role, position));
        self.stream.write_all(&out)
    }

    pub fn error(&mut self, code: &str, role: &str, position: Option<i64>) -> io::Result<()> {
        let body = format!("SERROR\0VERROR\0C{code}\0Mturned away\0\0");
        let mut out = message(b'E', body.as_bytes());
        out.extend(status(role, position));
        out.extend(ready());
        self.stream.write_all(&out)
    }

    /// Makes the end of this connection a reset.
    pub fn reset_at_end(&self) -> io::Result<()> {
        let option = Linger { on: 1, seconds: 0 };
        let length = std::mem::size_of::<Linger>() as u32;
        // SAFETY: the descriptor is open while `self.stream` lives, and `option` is a `struct linger` of this length.
        let result = unsafe {
            setsockopt(
                self.stream.as_raw_fd(),
                SOL_SOCKET,
                SO_LINGER,
                &option,
                length,
            )
        };
        if result == 0 {
            Ok(())
        } else {
            Err(io::Error::last_os_error())
        }
    }

    fn read_exact_or_end(&mut self, bytes: &mut [u8]) -> io::Result<bool> {
        match self.stream.read_exact(bytes) {
            Ok(()) => Ok(true),
            Err(e) if e.kind() == io::ErrorKind::UnexpectedEof => Ok(false),
            Err(e) => Err(e),
        }
    }
}

/// Starts a host on a free port.
pub fn start(behaviour: Arc<dyn Behaviour>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let behaviour = Arc::clone(&behaviour);
            thread::spawn(move || {
                let _ = serve(stream, &*behaviour);
            });
        }
    });
    address
}

fn serve(stream: TcpStream, behaviour: &dyn Behaviour) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut connection = HostConnection { stream };
    let mut length = [0; 4];
    if !connection.read_exact_or_end(&mut length)? {
        return Ok(());
    }
    let mut startup = vec![0; u32::from_be_bytes(length) as usize - 4];
    connection.stream.read_exact(&mut startup)?;
    thread::sleep(behaviour.connect_delay());
    let mut out = message(b'R', &0u32.to_be_bytes());
    out.extend(ready());
    connection.stream.write_all(&out)?;
    loop {
        connection.stream.set_read_timeout(Some(behaviour.idle()))?;
        let mut header = [0; 5];
        if !connection.read_exact_or_end(&mut header)? {
            return Ok(());
        }
        connection.stream.set_read_timeout(None)?;
        let length = u32::from_be_bytes(header[1..].try_into().unwrap()) as usize - 4;
        let mut body = vec![0; length];
        connection.stream.read_exact(&mut body)?;
        if header[0] != b'Q' {
            return Ok(());
        }
        let text = String::from_utf8_lossy(&body[..length - 1]).to_string();
        if text.starts_with("SHOW usage") {
            connection.row(behaviour.usage().as_bytes(), "", None)?;
        } else if text == "SELECT 1" {
            connection.row(b"1", "", None)?;
        } else {
            behaviour.statement(&text, &mut connection)?;
        }
    }
}

/// The value of a name in the comment at the end of a statement.
pub fn field<'a>(text: &'a str, name: &str) -> Option<&'a str> {
    let comment = &text[text.rfind("/*")? + 2..text.rfind("*/")?];
    comment.split(',').find_map(|pair| {
        let (key, value) = pair.trim().split_once('=')?;
        (key == name).then_some(value)
    })
}
