//! The agent of discovery: the whole list, and watches that wait until the list is newer or their time is over.

use crate::record::Record;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

#[derive(Clone)]
pub struct Entry {
    pub id: String,
    pub address: SocketAddr,
    pub phase: &'static str,
    pub up_since_ms: u64,
}

struct List {
    revision: u64,
    entries: Vec<Entry>,
}

#[derive(Clone)]
pub struct Discovery {
    pub address: SocketAddr,
    list: Arc<(Mutex<List>, Condvar)>,
}

fn list_json(list: &List) -> String {
    let entries: Vec<String> = list.entries.iter().map(|entry| {
        format!(
            r#"{{"id":"{}","host_port":"{}","locality":"a","flavor":"std-5","cell":2,"phase":"{}","size":1.0,"up_since_ms":{}}}"#,
            entry.id, entry.address, entry.phase, entry.up_since_ms
        )
    }).collect();
    format!(
        r#"{{"revision":{},"complete":true,"members":[{}]}}"#,
        list.revision,
        entries.join(",")
    )
}

impl Discovery {
    pub fn start(entries: Vec<Entry>, record: Record) -> Discovery {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let list = Arc::new((
            Mutex::new(List {
                revision: 41,
                entries,
            }),
            Condvar::new(),
        ));
        let discovery = Discovery {
            address: listener.local_addr().unwrap(),
            list,
        };
        let served = discovery.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (served, record) = (served.clone(), record.clone());
                std::thread::spawn(move || served.serve(stream, &record));
            }
        });
        discovery
    }

    pub fn json(&self) -> String {
        list_json(&self.list.0.lock().unwrap())
    }

    fn serve(&self, stream: TcpStream, record: &Record) -> Option<()> {
        stream.set_nodelay(true).ok()?;
        let mut writer = stream.try_clone().ok()?;
        let mut reader = BufReader::new(stream);
        loop {
            let mut path = String::new();
            loop {
                let mut line = String::new();
                if reader.read_line(&mut line).ok()? == 0 {
                    return None;
                }
                if line.starts_with("GET ") {
                    path = line.split(' ').nth(1)?.to_string();
                }
                if line.trim().is_empty() {
                    break;
                }
            }
            let number = |name: &str| {
                path.split(['?', '&'])
                    .find_map(|part| part.strip_prefix(name)?.parse::<u64>().ok())
            };
            let body = match number("from=") {
                None => {
                    record.line(&format!("discovery: {path}"));
                    self.json()
                }
                Some(from) => {
                    let until =
                        Instant::now() + Duration::from_millis(number("hold_ms=").unwrap_or(0));
                    let mut list = self.list.0.lock().unwrap();
                    while list.revision <= from && Instant::now() < until {
                        list = self
                            .list
                            .1
                            .wait_timeout(list, until - Instant::now())
                            .unwrap()
                            .0;
                    }
                    if list.revision > from {
                        list_json(&list)
                    } else {
                        format!(
                            r#"{{"revision":{},"complete":false,"members":[]}}"#,
                            list.revision
                        )
                    }
                }
            };
            let answer = format!("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}", body.len());
            writer.write_all(answer.as_bytes()).ok()?;
        }
    }
}
