//! Reload of the configuration file in a running gateway.

use crate::net::config::{Config, ReloadedConfig};
use crate::net::lifecycle::shared_parts::SharedParts;
use crate::net::log::log;
use irisrouter::platform_settings::PlatformSettings;
use irisrouter::routing::Event;
use std::net::SocketAddr;
use tokio::sync::watch;

/// Reads the configuration file again and applies what can change without a restart.
pub struct ConfigReloader {
    /// The configuration in force.
    pub config: Config,
    /// The parts to which new settings are applied.
    pub parts: SharedParts,
    /// The address that the discovery task calls.
    pub discovery_address: watch::Sender<SocketAddr>,
}

impl ConfigReloader {
    /// Reloads the file. A file that cannot be used changes nothing and is logged.
    pub fn reload(&mut self) {
        match self.config.reload() {
            Ok(reloaded) => self.apply(reloaded),
            Err(error) => log!("the old configuration holds: {error}"),
        }
    }

    fn apply(&self, reloaded: ReloadedConfig) {
        self.apply_settings(reloaded.platform);
        let change = if self.apply_discovery_address(reloaded.discovery_address) {
            "newly"
        } else {
            "as before"
        };
        let address = *self.discovery_address.borrow();
        log!("configuration read again: discovery at {address}, {change}");
        if !reloaded.requires_restart.is_empty() {
            let keys = reloaded.requires_restart.join(", ");
            log!("what waits for the next start: {keys}");
        }
    }

    fn apply_settings(&self, mut platform: PlatformSettings) {
        let SharedParts {
            upstream,
            classes,
            router,
            ..
        } = &self.parts;
        // A zone keeps the number that it already has in this process, whatever the order of zones in the new file.
        platform.settings.zone = upstream.update_settings(&platform);
        let measurements_from = classes.update_settings(&platform);
        let settings = Box::new(classes.settings().clone());
        router.post(Event::SettingsChanged {
            settings,
            measurements_from,
        });
    }

    /// Sends the discovery task the address from the file, if the file has one. Returns whether the address changed.
    fn apply_discovery_address(&self, new: Option<SocketAddr>) -> bool {
        let Some(new) = new else {
            return false;
        };
        self.discovery_address.send_if_modified(|address| {
            let changed = *address != new;
            *address = new;
            changed
        })
    }
}
