//! The discovery client: keeps the endpoint list up to date by long poll, over one HTTP connection at a time.

use crate::net::cluster::endpoint_watch::{EndpointWatchService, PollKind};
use crate::net::discovery::http::{HttpConnection, HttpError, Response};
use crate::net::discovery::poll_interval::{
    CallLimits, PollPacer, FIRST_RETRY_DELAY, SILENCE_TIMEOUT,
};
use crate::net::endpoint_list::{EndpointList, ListPosition};
use crate::net::log::log;
use crate::net::request::classes::Classes;
use crate::net::upstream::Upstream;
use std::net::SocketAddr;
use std::rc::Rc;
use thiserror::Error;
use tokio::sync::watch;
use tokio::time::{sleep, timeout, Instant};

/// Path at which discovery serves the complete endpoint list or, with a query string, the changes to it.
const ENDPOINT_LIST_PATH: &str = "/discovery/hosts";

/// Why a call to discovery failed. The text goes to the log.
#[derive(Debug, Error)]
enum PollError {
    /// No answer arrived within the call's time limit.
    #[error("no answer within the time limit")]
    TimedOut,
    /// The connection failed, or the HTTP response cannot be used.
    #[error(transparent)]
    Http(#[from] HttpError),
    /// The body of the answer is not an endpoint list.
    #[error("malformed endpoint list: {0}")]
    MalformedList(#[source] serde_json::Error),
}

/// The state of the discovery client.
struct DiscoveryClient {
    position: ListPosition,
    upstream: Rc<Upstream>,
    classes: Rc<Classes>,
    /// Set to `true` by the first answer of discovery.
    answered: watch::Sender<bool>,
    /// Decides which gateway watches the list if one gateway does so for all; `None` if each gateway watches for
    /// itself.
    endpoint_watch: Option<Rc<EndpointWatchService>>,
    pacer: PollPacer,
}

/// A poll request to discovery.
struct PollRequest {
    /// The HTTP request, without a body.
    head: String,
    limits: CallLimits,
}

impl PollRequest {
    fn new(address: SocketAddr, path: &str, limits: CallLimits) -> Self {
        let head =
            format!("GET {path} HTTP/1.1\r\nHost: {address}\r\nAccept: application/json\r\n\r\n");
        PollRequest { head, limits }
    }

    /// Sends the request and reads the answer within the time limit.
    async fn send(&self, connection: &mut HttpConnection) -> Result<Response, PollError> {
        let response = timeout(self.limits.answer_timeout, connection.exchange(&self.head)).await;
        Ok(response.map_err(|_| PollError::TimedOut)??)
    }
}

/// Polls the address that `addresses` holds for the endpoint list, and applies each change before the next call. A new
/// address is called at once, for the complete list. Sets `answered` to `true` once any address has answered. Returns
/// only when the sender of `addresses` is dropped.
pub async fn watch(
    mut addresses: watch::Receiver<SocketAddr>,
    position: ListPosition,
    upstream: Rc<Upstream>,
    classes: Rc<Classes>,
    answered: watch::Sender<bool>,
    endpoint_watch: Option<Rc<EndpointWatchService>>,
) {
    let pacer = PollPacer::new(classes.settings().seed);
    let mut client = DiscoveryClient {
        position,
        upstream,
        classes,
        answered,
        endpoint_watch,
        pacer,
    };
    let sharing_gateways = client.sharing_gateways();
    sleep(client.pacer.first_delay(sharing_gateways)).await;
    loop {
        let address = *addresses.borrow_and_update();
        tokio::select! {
            biased;
            changed = addresses.changed() => {
                if changed.is_err() {
                    return;
                }
                client.position.restart_at_new_address();
            }
            () = client.poll_and_pause(address) => {}
        }
    }
}

impl DiscoveryClient {
    /// Returns the number of gateways that share one discovery service, or `None` if each gateway has an agent of its
    /// own.
    fn sharing_gateways(&self) -> Option<u32> {
        let settings = self.classes.settings();
        settings
            .endpoint_list_on_request
            .then_some(settings.gateway_count)
    }

    /// Polls until a call fails or another gateway takes over the watch. After a failure, pauses before the next
    /// attempt.
    async fn poll_and_pause(&mut self, address: SocketAddr) {
        let Err(error) = self.poll(address).await else {
            return;
        };
        if let Some(endpoint_watch) = self.endpoint_watch.as_deref() {
            endpoint_watch.call_ended(false);
        }
        log!("discovery: {error}");
        let sharing_gateways = self.sharing_gateways();
        sleep(self.pacer.retry_delay(sharing_gateways)).await;
    }

    /// Polls until a call fails, or until another gateway watches the list for this one. The connection is closed in
    /// both cases.
    async fn poll(&mut self, address: SocketAddr) -> Result<(), PollError> {
        let mut kind = self.wait_for_first_poll().await;
        let mut idle_connection = None;
        loop {
            let called_at = Instant::now();
            let mut connection = match idle_connection.take() {
                Some(connection) => connection,
                None => HttpConnection::connect(address, SILENCE_TIMEOUT).await?,
            };
            let request = self.poll_request(address, kind);
            let response = tokio::select! {
                response = request.send(&mut connection) => response?,
                () = self.superseded(kind) => return Ok(()),
            };
            idle_connection = (!response.closes_connection).then_some(connection);
            let accepted = self.apply_response(&response.body)?;
            let Some(next_kind) = self.next_poll() else {
                return Ok(());
            };
            kind = next_kind;
            // Without this pause, an agent that answers at once instead of waiting for changes would be called in a
            // busy loop.
            if !accepted && called_at.elapsed() < FIRST_RETRY_DELAY {
                sleep(FIRST_RETRY_DELAY).await;
            }
        }
    }

    /// Waits until this gateway has to poll, and returns the kind of poll.
    async fn wait_for_first_poll(&self) -> PollKind {
        match self.endpoint_watch.as_deref() {
            Some(endpoint_watch) => endpoint_watch.wait_for_poll(&self.position).await,
            None => PollKind::Watch,
        }
    }

    /// Returns the kind of the next poll after an answer, or `None` if this gateway has to wait first.
    fn next_poll(&self) -> Option<PollKind> {
        let Some(endpoint_watch) = self.endpoint_watch.as_deref() else {
            return Some(PollKind::Watch);
        };
        endpoint_watch.call_ended(true);
        endpoint_watch.next_poll(&self.position)
    }

    /// Returns the request for the changes since the current revision, or for the complete list.
    fn poll_request(&mut self, address: SocketAddr, kind: PollKind) -> PollRequest {
        let sharing_gateways = self.sharing_gateways();
        let limits = self.pacer.call_limits(sharing_gateways);
        let Some(revision) = self.position.changes_from() else {
            return PollRequest::new(address, ENDPOINT_LIST_PATH, limits);
        };
        let limits = match kind {
            PollKind::Watch => limits,
            PollKind::Fetch => limits.without_hold(),
        };
        let hold_ms = limits.hold.as_millis();
        let path = format!("{ENDPOINT_LIST_PATH}?from={revision}&hold_ms={hold_ms}");
        PollRequest::new(address, &path, limits)
    }

    /// Parses the list in the body of an answer and applies it if it is accepted. Returns whether it was accepted.
    fn apply_response(&mut self, body: &[u8]) -> Result<bool, PollError> {
        let list: EndpointList = serde_json::from_slice(body).map_err(PollError::MalformedList)?;
        let accepted = self.position.accept(&list);
        if accepted {
            self.upstream.apply_endpoint_list(&list);
        }
        self.answered.send_replace(true);
        self.pacer.record_answer();
        Ok(accepted)
    }

    /// Returns once another gateway watches the list for this one. Never returns if each gateway watches for itself, or
    /// during a call that does not wait for changes.
    async fn superseded(&self, kind: PollKind) {
        match self
            .endpoint_watch
            .as_deref()
            .filter(|_| kind == PollKind::Watch)
        {
            Some(endpoint_watch) => endpoint_watch.superseded(&self.position).await,
            None => std::future::pending().await,
        }
    }
}
