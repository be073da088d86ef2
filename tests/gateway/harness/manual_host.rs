//! A database host that sends only the bytes which the test sends, so that a test can force the order of concurrent
//! events.

use super::discovery::Discovery;
use super::gateway::Gateway;
use super::host::load_report_reply;
use super::messages::{read_message, read_startup};
use super::TEST_TIMEOUT;
use serde_json::{json, Value};
use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{channel, Receiver};
use std::thread::spawn;

/// A host that accepts connections and sends nothing by itself.
pub struct ManualHost {
    address: SocketAddr,
    listener: TcpListener,
    connections: Receiver<TcpStream>,
}

impl ManualHost {
    /// Starts the host.
    pub fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let (sender, connections) = channel();
        let accepting = listener.try_clone().unwrap();
        spawn(move || {
            accepting
                .incoming()
                .all(|stream| sender.send(stream.unwrap()).is_ok())
        });
        ManualHost {
            address,
            listener,
            connections,
        }
    }

    /// Limits the receive buffer of the connections that are accepted from now on.
    pub fn limit_receive_buffer(&self, bytes: usize) {
        let socket = socket2::SockRef::from(&self.listener);
        socket.set_recv_buffer_size(bytes).unwrap();
    }

    /// The host's entry in an endpoint list.
    pub fn entry(&self, phase: &str) -> Value {
        json!({"id": "s-1", "host_port": self.address.to_string(), "locality": "a", "flavor": "m", "cell": 2,
            "phase": phase, "size": 1.0, "up_since_ms": 0})
    }

    /// Waits for the next connection and reads its startup message.
    pub fn accept(&self) -> TcpStream {
        let mut stream = self
            .connections
            .recv_timeout(TEST_TIMEOUT)
            .expect("a connection");
        stream.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
        read_startup(&mut stream).unwrap();
        stream
    }

    /// Starts a gateway that sends no health checks, so that this host receives requests only, and whose attempts
    /// cannot be cancelled.
    pub fn start_gateway_without_health_checks(&self, discovery: &Discovery) -> Gateway {
        Gateway::start_with_config(discovery, &[], |config| {
            config["known"]["members"] = json!([self.entry("in_service")]);
            config["settings"]["Bounds"]["Probes"] = json!(false);
            config["settings"]["Bounds"]["Cancel"] = json!(false);
            config["settings"]["Bounds"]["ConnectTimeoutNs"] = json!(20_000_000_000u64);
        })
    }
}

/// Answers a startup message: AuthenticationOk and ReadyForQuery.
pub fn send_authentication_ok(stream: &mut TcpStream) {
    stream
        .write_all(b"R\0\0\0\x08\0\0\0\0Z\0\0\0\x05I")
        .unwrap();
}

/// Answers a health check as a replica whose data are current.
pub fn send_load_report(stream: &mut TcpStream) {
    stream.write_all(&load_report_reply(false, 0)).unwrap();
}

/// Reads the next query on a connection; `None` if the connection has ended.
pub fn read_query(stream: &mut TcpStream) -> Option<String> {
    let (_, body) = read_message(stream)?;
    Some(String::from_utf8(body).unwrap())
}
