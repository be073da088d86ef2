//! The datagrams between gateways, as the platform carries them: what one gateway sends to another one's address in
//! `peers` arrives there from the sender's address in `peers`, some milliseconds late.

use crate::record::sleep_ms;
use std::net::{SocketAddr, UdpSocket};
use std::sync::Arc;

/// 2.6 to 30 ms.
const DELAY_MS: u64 = 5;

pub struct Peers {
    /// By gateway: the address at which the others reach it.
    pub addresses: Vec<SocketAddr>,
    /// By gateway: where it listens itself.
    pub listen: Vec<SocketAddr>,
    pub all: SocketAddr,
}

impl Peers {
    pub fn start(gateways: usize) -> Peers {
        let bind = || UdpSocket::bind("127.0.0.1:0").unwrap();
        // The gateways bind these ports later.
        let listen: Vec<SocketAddr> = (0..gateways)
            .map(|_| bind())
            .collect::<Vec<_>>()
            .iter()
            .map(|socket| socket.local_addr().unwrap())
            .collect();
        let relays: Arc<Vec<UdpSocket>> = Arc::new((0..gateways).map(|_| bind()).collect());
        let broadcast = bind();
        let peers = Peers {
            addresses: relays
                .iter()
                .map(|socket| socket.local_addr().unwrap())
                .collect(),
            listen: listen.clone(),
            all: broadcast.local_addr().unwrap(),
        };
        for to in 0..gateways {
            let (relays, listen) = (Arc::clone(&relays), listen.clone());
            std::thread::spawn(move || forward(&relays[to], &relays, &listen, Some(to)));
        }
        std::thread::spawn(move || forward(&broadcast, &relays, &listen, None));
        peers
    }

    /// The keys of the configuration of one gateway.
    pub fn config(&self, gateway: usize) -> String {
        let all: Vec<String> = self
            .addresses
            .iter()
            .map(|address| format!("\"{address}\""))
            .collect();
        format!(
            r#""peer_listen":"{}","peers":[{}],"peers_all":"{}","#,
            self.listen[gateway],
            all.join(","),
            self.all
        )
    }
}

fn forward(inbox: &UdpSocket, relays: &[UdpSocket], listen: &[SocketAddr], to: Option<usize>) {
    let mut buffer = [0; 512];
    while let Ok((length, sender)) = inbox.recv_from(&mut buffer) {
        let Some(from) = listen.iter().position(|&address| address == sender) else {
            continue;
        };
        sleep_ms(DELAY_MS);
        for receiver in 0..listen.len() {
            if receiver != from && to.is_none_or(|to| to == receiver) && length <= 256 {
                let _ = relays[from].send_to(&buffer[..length], listen[receiver]);
            }
        }
    }
}
