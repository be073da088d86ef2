//! A stand-in database host, as one gateway reaches it: PostgreSQL's protocol in front of a host of the world.
//!
//! It stands on `pgwire`'s messages and reads the statement's comment by itself: a second implementation finds what one
//! that is shared with the gateway would hide.

mod connection;
mod messages;
mod statement;

pub use statement::{comment_fields, payload};

use super::environment::Environment;
use super::spawn;
use connection::Connection;
use irisrouter_simulation::{GatewayId, HostId};
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;

/// Between two attempts to accept a connection, where one has failed.
const ACCEPT_RETRY_INTERVAL: Duration = Duration::from_millis(10);

/// Serves connections, for ever.
pub async fn serve(
    environment: Rc<Environment>,
    listener: TcpListener,
    gateway: GatewayId,
    host: HostId,
) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let connection = Connection::new(Rc::clone(&environment), gateway, host, stream);
                spawn(connection.run());
            }
            Err(_) => tokio::time::sleep(ACCEPT_RETRY_INTERVAL).await,
        }
    }
}
