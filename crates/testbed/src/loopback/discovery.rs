//! The discovery service, as one gateway reaches it: the whole list, and a long poll that waits for the next change.

use super::environment::Environment;
use super::spawn;
use crate::settings::ZONE;
use http_body_util::Full;
use hyper::body::{Bytes, Incoming};
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use irisrouter_simulation::endpoint_list::ListedState;
use irisrouter_simulation::{GatewayId, MS};
use serde_json::{json, Value};
use std::collections::HashMap;
use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::time::timeout;

/// A long poll waits for this time at most, in milliseconds.
const MAX_HOLD_MS: u64 = 60_000;
/// Between two attempts to accept a connection, where one has failed.
const ACCEPT_RETRY_INTERVAL: Duration = Duration::from_millis(10);
/// Between two checks whether discovery answers again.
const SILENCE_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Serves connections, for ever.
pub async fn serve(
    environment: Rc<Environment>,
    listener: TcpListener,
    gateway: GatewayId,
    addresses: Rc<Vec<String>>,
) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(ACCEPT_RETRY_INTERVAL).await;
            continue;
        };
        let (environment, addresses) = (Rc::clone(&environment), Rc::clone(&addresses));
        spawn(async move {
            let answer = service_fn(move |request| {
                let (environment, addresses) = (Rc::clone(&environment), Rc::clone(&addresses));
                async move { answer(&environment, gateway, &addresses, request).await }
            });
            // A gateway that closes the connection in the middle is no failure of discovery.
            let _ = hyper::server::conn::http1::Builder::new()
                .serve_connection(TokioIo::new(stream), answer)
                .await;
        });
    }
}

/// The list as this gateway has been given it, in discovery's form.
pub fn list(environment: &Environment, gateway: GatewayId, addresses: &[String]) -> Value {
    let fleet = environment.fleet.borrow();
    let view = fleet.list().view(gateway);
    let members: Vec<Value> = (view.entries())
        .filter(|entry| entry.listed != ListedState::Gone)
        .map(|entry| {
            let draining = entry.listed == ListedState::Draining;
            json!({
                "id": format!("h{}", entry.host.0),
                "host_port": addresses[entry.host.0 as usize],
                "locality": ZONE,
                "flavor": "lab",
                "cell": entry.set.0,
                "phase": if draining { "terminating" } else { "in_service" },
                "size": 1.0,
                "up_since_ms": (entry.since / MS) as f64,
            })
        })
        .collect();
    json!({ "revision": view.version, "complete": true, "members": members })
}

async fn answer(
    environment: &Environment,
    gateway: GatewayId,
    addresses: &[String],
    request: Request<Incoming>,
) -> Result<Response<Full<Bytes>>, Infallible> {
    if request.uri().path() != "/discovery/hosts" {
        let mut not_found = Response::new(Full::new(Bytes::new()));
        *not_found.status_mut() = StatusCode::NOT_FOUND;
        return Ok(not_found);
    }
    let query: HashMap<&str, u64> = (request.uri().query().unwrap_or_default().split('&'))
        .filter_map(|pair| pair.split_once('='))
        .filter_map(|(name, value)| Some((name, value.parse().ok()?)))
        .collect();
    let mut versions = environment.versions(gateway);
    while environment.fleet.borrow().list().is_silent() {
        tokio::time::sleep(SILENCE_POLL_INTERVAL).await;
    }
    if let Some(&from) = query.get("from") {
        let hold_ms = query.get("hold_ms").copied().unwrap_or(0);
        let hold = Duration::from_millis(hold_ms.min(MAX_HOLD_MS));
        let _ = timeout(hold, versions.wait_for(|&version| version > from)).await;
    }
    let body = list(environment, gateway, addresses).to_string();
    let mut response = Response::new(Full::new(Bytes::from(body)));
    let json = hyper::header::HeaderValue::from_static("application/json");
    response
        .headers_mut()
        .insert(hyper::header::CONTENT_TYPE, json);
    Ok(response)
}
