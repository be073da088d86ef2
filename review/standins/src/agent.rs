//! Discovery: an agent that answers at once, or holds a watch until its time is over. The list never changes.

use std::io::{self, BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::thread;
use std::time::Duration;

/// One host in the list.
pub struct Entry {
    pub id: String,
    pub address: SocketAddr,
    pub zone: &'static str,
    pub kind: &'static str,
    /// The role, where the list shows roles.
    pub access: Option<&'static str>,
}

pub fn members(entries: &[Entry]) -> String {
    let lines: Vec<String> = entries
        .iter()
        .map(|entry| {
            let access = entry.access.map_or(String::new(), |role| format!(r#","access":"{role}""#));
            format!(
                r#"{{"id":"{}","host_port":"{}","locality":"{}","flavor":"{}","cell":1,"phase":"in_service","size":1.0,"up_since_ms":0{access}}}"#,
                entry.id, entry.address, entry.zone, entry.kind
            )
        })
        .collect();
    format!("[{}]", lines.join(","))
}

pub fn start(members: String) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let members = members.clone();
            thread::spawn(move || {
                let _ = serve(stream, &members);
            });
        }
    });
    address
}

fn serve(mut stream: TcpStream, members: &str) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut reader = BufReader::new(stream.try_clone()?);
    loop {
        let mut first = String::new();
        if reader.read_line(&mut first)? == 0 {
            return Ok(());
        }
        loop {
            let mut line = String::new();
            if reader.read_line(&mut line)? == 0 {
                return Ok(());
            }
            if line.trim().is_empty() {
                break;
            }
        }
        let hold = first
            .split(|c: char| "?& ".contains(c))
            .find_map(|part| part.strip_prefix("hold_ms=")?.parse().ok());
        let body = match hold {
            Some(hold) => {
                thread::sleep(Duration::from_millis(hold));
                r#"{"revision":1,"complete":false,"members":[]}"#.to_string()
            }
            None => format!(r#"{{"revision":1,"complete":true,"members":{members}}}"#),
        };
        write!(
            stream,
            "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        )?;
    }
}
