//! Discovery, as one gateway reaches it: the whole list, and a watch that waits for the next change.

use super::beside;
use super::environment::Environment;
use crate::settings::ZONE;
use http_body_util::Full;
use hyper::body::{Bytes, Incoming};
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use irisrouter_simulation::endpoint_list::ListedState;
use irisrouter_simulation::GatewayId;
use serde_json::{json, Value};
use std::collections::HashMap;
use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::time::timeout;

/// A watch waits so long at most.
const LONGEST_HOLD: u64 = 60_000;

/// Takes connections for ever.
pub async fn serve(
    environment: Rc<Environment>,
    listener: TcpListener,
    gateway: GatewayId,
    addresses: Rc<Vec<String>>,
) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(Duration::from_millis(10)).await;
            continue;
        };
        let (environment, addresses) = (Rc::clone(&environment), Rc::clone(&addresses));
        beside(async move {
            let answer = service_fn(move |request| {
                let (environment, addresses) = (Rc::clone(&environment), Rc::clone(&addresses));
                async move { answer(&environment, gateway, &addresses, request).await }
            });
            // A gateway that leaves in the middle is no failure of discovery's.
            let _ = hyper::server::conn::http1::Builder::new()
                .serve_connection(TokioIo::new(stream), answer)
                .await;
        });
    }
}

/// The list as this gateway has been told it, in discovery's form.
pub fn list(environment: &Environment, gateway: GatewayId, addresses: &[String]) -> Value {
    let fleet = environment.fleet.borrow();
    let view = fleet.list().view(gateway);
    let members: Vec<Value> = (view.entries())
        .filter(|e| e.listed != ListedState::Gone)
        .map(|e| {
            json!({
                "id": format!("h{}", e.host.0),
                "host_port": addresses[e.host.0 as usize],
                "locality": ZONE,
                "flavor": "lab",
                "cell": e.set.0,
                "phase": if e.listed == ListedState::Draining { "terminating" } else { "in_service" },
                "size": 1.0,
                "up_since_ms": (e.since / irisrouter_simulation::MS) as f64,
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
        let mut nothing = Response::new(Full::new(Bytes::new()));
        *nothing.status_mut() = StatusCode::NOT_FOUND;
        return Ok(nothing);
    }
    let query: HashMap<&str, u64> = (request.uri().query().unwrap_or_default().split('&'))
        .filter_map(|pair| pair.split_once('='))
        .filter_map(|(name, value)| Some((name, value.parse().ok()?)))
        .collect();
    let mut versions = environment.versions(gateway);
    while environment.fleet.borrow().list().is_silent() {
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    if let Some(&from) = query.get("from") {
        let hold =
            Duration::from_millis(query.get("hold_ms").copied().unwrap_or(0).min(LONGEST_HOLD));
        let _ = timeout(hold, versions.wait_for(|&v| v > from)).await;
    }
    let body = list(environment, gateway, addresses).to_string();
    let mut response = Response::new(Full::new(Bytes::from(body)));
    let json = hyper::header::HeaderValue::from_static("application/json");
    response
        .headers_mut()
        .insert(hyper::header::CONTENT_TYPE, json);
    Ok(response)
}
