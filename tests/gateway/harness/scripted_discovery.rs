//! A discovery server whose responses follow a script, so that a test can break them off at chosen points.

use super::discovery::Discovery;
use super::monitor::Monitor;
use serde_json::{json, Value};
use std::io::{BufRead, BufReader};
use std::net::{TcpListener, TcpStream};
use std::thread::spawn;

/// A request to a scripted server.
pub struct ScriptedRequest<'a> {
    /// Sequence number of its connection, from 1.
    pub connection: usize,
    pub path: &'a str,
    pub stream: &'a mut TcpStream,
    /// The current list of the test, as a response body.
    pub body: &'a str,
}

/// Handles a request to a scripted server.
pub type ResponseScript = fn(ScriptedRequest<'_>);

/// Starts a discovery server that passes each request to the script, together with the current value of `list`.
pub fn start_scripted_discovery(list: Monitor<String>, script: ResponseScript) -> Discovery {
    let unused = Discovery::start(vec![]);
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let requests = unused.requests.clone();
    spawn(move || {
        for (connection, stream) in (1..).zip(listener.incoming()) {
            let stream = stream.unwrap();
            let requests = requests.clone();
            let list = list.clone();
            spawn(move || serve(stream, connection, &requests, &list, script));
        }
    });
    Discovery { address, ..unused }
}

fn serve(
    mut stream: TcpStream,
    connection: usize,
    requests: &Monitor<Vec<String>>,
    list: &Monitor<String>,
    script: ResponseScript,
) {
    let mut lines = BufReader::new(stream.try_clone().unwrap()).lines();
    while let Some(Ok(request_line)) = lines.next() {
        while lines
            .next()
            .is_some_and(|line| line.is_ok_and(|line| !line.is_empty()))
        {}
        let path = request_line.split(' ').nth(1).unwrap().to_string();
        requests.update(|requests| requests.push(format!("{connection}: {path}")));
        let body = list.update(|list| list.clone());
        script(ScriptedRequest {
            connection,
            path: &path,
            stream: &mut stream,
            body: &body,
        });
    }
}

/// Encodes an endpoint list as a response body.
pub fn endpoint_list_body(revision: u64, members: Value) -> String {
    serde_json::to_string_pretty(
        &json!({"revision": revision, "complete": true, "members": members}),
    )
    .unwrap()
}
