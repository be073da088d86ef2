//! The running gateway: [`Gateway::start`] starts it step by step, and [`Gateway::run_until_terminated`] serves until a
//! signal stops it.

use crate::net::admin::counter_report::CounterReport;
use crate::net::config::{Config, ListenerSource};
use crate::net::descriptor_budget::DescriptorBudget;
use crate::net::downstream::listener::ClientListener;
use crate::net::lifecycle::cluster_startup::build_cluster_services;
use crate::net::lifecycle::listening_socket::ListeningSocket;
use crate::net::lifecycle::peer_socket_task::PeerSocketHandle;
use crate::net::lifecycle::reload::ConfigReloader;
use crate::net::lifecycle::shared_parts::SharedParts;
use crate::net::lifecycle::shutdown::Shutdown;
use crate::net::lifecycle::signals::{OperatorSignals, TerminationSignals};
use crate::net::lifecycle::startup::{
    apply_known_endpoints, build_client_listener, spawn_accept, spawn_console, spawn_discovery,
    spawn_housekeeping, spawn_router, start_hot_restart,
};
use crate::net::lifecycle::{GatewayError, StartupError};
use crate::net::log::log;
use std::rc::Rc;
use tokio::task::{spawn_local, JoinHandle};

/// A gateway that serves clients.
pub struct Gateway {
    parts: SharedParts,
    client_listener: Rc<ClientListener>,
    listener: ListeningSocket,
    accept_task: JoinHandle<()>,
    router_task: JoinHandle<()>,
    peer_socket: Rc<PeerSocketHandle>,
    counters: CounterReport,
}

impl Gateway {
    /// Opens the sockets, builds all parts and starts all tasks.
    ///
    /// # Errors
    ///
    /// Returns an error if a socket cannot be opened, there are too few descriptors, or the operators' file contradicts
    /// the platform's settings.
    pub async fn start(
        config: Config,
        operator_signals: OperatorSignals,
    ) -> Result<Self, StartupError> {
        let listener = ListeningSocket::open(&config)?;
        let descriptors = DescriptorBudget::new(config.descriptor_limit)?;
        let parts = SharedParts::new(&config, &descriptors);
        let mut position = apply_known_endpoints(&parts.upstream, &config.file.known_endpoints);
        let services = build_cluster_services(&config, &parts)?;
        if let Some(address) = config.console_address {
            spawn_console(address, &parts, &services)?;
        }
        let client_listener = build_client_listener(&config, &parts, &services, &descriptors);
        let revision = start_hot_restart(&config, &parts, &client_listener).await;
        position.revision = position.revision.max(revision);
        let router_task = spawn_router(&parts);
        // Another process of this gateway may already know of drains, and this process has to respect them too.
        // Therefore the first call requests the whole list, which discovery answers at once.
        position.needs_full_list |= listener.source == ListenerSource::Inherited;
        let discovery = spawn_discovery(&config, &parts, &services, position);
        let peer_socket = PeerSocketHandle::spawn(&config, &parts, &services);
        spawn_housekeeping(&parts, &client_listener);
        let accept_task = spawn_accept(&client_listener, &listener, discovery.answered);
        log!("{} listens on {}", config.name, listener.local_address()?);
        let counters = CounterReport {
            metrics: Rc::clone(&parts.metrics),
            membership: services.membership,
        };
        let reloader = ConfigReloader {
            config,
            parts: parts.clone(),
            discovery_address: discovery.address,
        };
        spawn_local(operator_signals.handle(counters.clone(), reloader));
        Ok(Self {
            parts,
            client_listener,
            listener,
            accept_task,
            router_task,
            peer_socket,
            counters,
        })
    }

    /// Serves until SIGTERM or SIGINT, then shuts down and prints the counters.
    ///
    /// # Errors
    ///
    /// Returns an error as soon as the router task has ended: without routing decisions the gateway would accept
    /// requests and answer none.
    pub async fn run_until_terminated(
        mut self,
        mut signals: TerminationSignals,
    ) -> Result<(), GatewayError> {
        tokio::select! {
            () = signals.received() => {}
            _ = &mut self.router_task => return Err(GatewayError::RouterTaskFailed),
        }
        let shutdown = Shutdown {
            parts: self.parts,
            client_listener: self.client_listener,
            listener: self.listener,
            accept_task: self.accept_task,
            peer_socket: self.peer_socket,
        };
        shutdown.run().await;
        self.counters.print();
        Ok(())
    }
}
