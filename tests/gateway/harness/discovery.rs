//! A discovery server that answers long polls with the endpoint list that the test publishes.

use super::monitor::Monitor;
use serde_json::{json, Value};
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::thread::spawn;

/// The body of the server's next answer.
pub enum EndpointList {
    /// A list with these members.
    Members(Value),
    /// Text that is not valid JSON.
    Malformed,
}

/// An endpoint list with its revision. With revision 0 the server never answers, because no request asks for an older
/// list.
pub struct PublishedList {
    pub revision: u64,
    pub list: EndpointList,
}

/// A discovery server.
pub struct Discovery {
    pub address: SocketAddr,
    pub published: Monitor<PublishedList>,
    /// The path of each request, preceded by the sequence number of its connection.
    pub requests: Monitor<Vec<String>>,
}

impl Discovery {
    /// Starts a server that publishes these members as revision 1.
    pub fn start(members: Vec<Value>) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let discovery = Discovery {
            address: listener.local_addr().unwrap(),
            published: Monitor::new(PublishedList {
                revision: 1,
                list: EndpointList::Members(json!(members)),
            }),
            requests: Monitor::new(Vec::new()),
        };
        let published = discovery.published.clone();
        let requests = discovery.requests.clone();
        spawn(move || {
            for (number, stream) in listener.incoming().enumerate() {
                let published = published.clone();
                let requests = requests.clone();
                spawn(move || serve(stream.unwrap(), number, &published, &requests));
            }
        });
        discovery
    }

    /// Starts a server that never answers.
    pub fn start_silent() -> Self {
        let discovery = Discovery::start(vec![]);
        discovery
            .published
            .update(|published| published.revision = 0);
        discovery
    }

    /// Sets the list and its revision without waiting for the gateway.
    pub fn set(&self, revision: u64, list: EndpointList) {
        self.published
            .update(|published| *published = PublishedList { revision, list });
    }

    /// Publishes a list as the next revision, and waits until the gateway has received it and polls for a newer one.
    pub fn publish(&self, list: EndpointList) {
        let revision = self.published.update(|published| {
            let revision = published.revision + 1;
            *published = PublishedList { revision, list };
            revision
        });
        self.wait_for_request(&format!("from={revision}&"));
    }

    /// Waits for a request whose path contains this text.
    pub fn wait_for_request(&self, text: &str) {
        self.requests.wait_for(text, |requests| {
            let found = requests.iter().any(|request| request.contains(text));
            found.then_some(())
        });
    }
}

/// Answers the requests of one connection. Returns `None` once the connection has ended.
fn serve(
    stream: TcpStream,
    number: usize,
    published: &Monitor<PublishedList>,
    requests: &Monitor<Vec<String>>,
) -> Option<()> {
    let mut writer = stream.try_clone().ok()?;
    let mut lines = BufReader::new(stream).lines();
    loop {
        let request_line = lines.next()?.ok()?;
        while !lines.next()?.ok()?.is_empty() {}
        let path = request_line.split(' ').nth(1)?.to_string();
        requests.update(|requests| requests.push(format!("{number}: {path}")));
        let known_revision = path.split_once("from=").map_or(0, |(_, rest)| {
            rest.split('&').next().unwrap().parse().unwrap()
        });
        // A long poll waits for a newer list. It is never answered if no newer list is published, so that the gateway
        // has to abandon it.
        let body = published.wait_for("a newer list", |published| {
            (published.revision > known_revision).then(|| body_of(published))
        });
        write_response(&mut writer, &body).ok()?;
    }
}

fn body_of(published: &PublishedList) -> String {
    match &published.list {
        EndpointList::Members(members) => {
            json!({"revision": published.revision, "complete": true, "members": members})
                .to_string()
        }
        EndpointList::Malformed => "{\"revision\":".to_string(),
    }
}

/// Writes a response with its length.
pub fn write_response(stream: &mut TcpStream, body: &str) -> std::io::Result<()> {
    write!(
        stream,
        "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
}
