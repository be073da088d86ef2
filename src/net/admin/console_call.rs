//! The console's calls and their answers. Operators' scripts depend on all of these texts.

use crate::net::admin::console::Console;
use crate::net::cluster::drains::DrainService;
use crate::net::log::log;
use crate::net::serving_state::ServingMode;
use irisrouter_drain_coordination::DesiredState;
use std::fmt;
use thiserror::Error;

/// A call to the console.
#[derive(Debug, PartialEq, Eq)]
pub enum ConsoleCall {
    /// `readyz`: whether new clients are served.
    Readiness,
    /// `evacuate`: disconnects clients until `activate`.
    Evacuate,
    /// `activate`: serves clients again.
    Activate,
    /// `members`: this gateway's view of the others.
    Members,
    /// `duties`: the leases that this gateway holds.
    Leases,
    /// `plan`: the active site failover plan.
    FailoverPlan,
    /// `drains`: the database hosts that operators have drained through the console.
    Drains,
    /// `drain HOST`: takes a database host out of service at all gateways.
    Drain {
        /// The host's name in the endpoint list.
        host: String,
    },
    /// `undrain HOST`: returns a database host to service at all gateways.
    Undrain {
        /// The host's name in the endpoint list.
        host: String,
    },
}

/// The answer to a call that succeeded.
#[derive(Debug, PartialEq, Eq)]
pub enum ConsoleAnswer {
    /// New clients are served.
    Ready,
    /// Clients are being disconnected.
    Evacuated,
    /// Clients are served again.
    Activated,
    /// The status line of a cluster service.
    Status(String),
    /// The result of `drain` or `undrain`.
    DrainCommand(String),
}

/// Why a call failed.
#[derive(Debug, PartialEq, Eq, Error)]
pub enum CallError {
    /// The gateway is still starting.
    #[error("starting")]
    Starting,
    /// Clients are disconnected until `activate`.
    #[error("drained")]
    Drained,
    /// The process is shutting down.
    #[error("stopping")]
    Stopping,
    /// Cluster membership is disabled.
    #[error("membership is off")]
    MembershipOff,
    /// Leases are disabled.
    #[error("takeover is off")]
    LeasesOff,
    /// Site failover is disabled.
    #[error("site plans are off")]
    SiteFailoverOff,
    /// The drain command was refused, or did not reach a majority of the gateways.
    #[error("{0}")]
    DrainCommand(String),
    /// The line is not a known call.
    #[error(
        "unknown call: readyz, evacuate, activate, members, duties, plan, drains, \
         drain HOST or undrain HOST"
    )]
    Unknown,
    /// The line is longer than the console reads.
    #[error("the line is too long")]
    LineTooLong,
}

impl ConsoleCall {
    /// Parses a line without its newline. A carriage return at the end is ignored.
    ///
    /// # Errors
    ///
    /// The line is not a known call.
    pub fn parse(line: &[u8]) -> Result<Self, CallError> {
        let line = std::str::from_utf8(line).map_err(|_| CallError::Unknown)?;
        let line = line.strip_suffix('\r').unwrap_or(line);
        let host_argument = |name| line.strip_prefix(name).map(str::to_string);
        match line {
            "readyz" => Ok(Self::Readiness),
            "evacuate" => Ok(Self::Evacuate),
            "activate" => Ok(Self::Activate),
            "members" => Ok(Self::Members),
            "duties" => Ok(Self::Leases),
            "plan" => Ok(Self::FailoverPlan),
            "drains" => Ok(Self::Drains),
            _ => host_argument("drain ")
                .map(|host| Self::Drain { host })
                .or_else(|| host_argument("undrain ").map(|host| Self::Undrain { host }))
                .ok_or(CallError::Unknown),
        }
    }
}

impl fmt::Display for ConsoleAnswer {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Ready => write!(f, "ready"),
            Self::Evacuated => write!(f, "clients are sent away"),
            Self::Activated => write!(f, "clients are welcome"),
            Self::Status(line) | Self::DrainCommand(line) => write!(f, "{line}"),
        }
    }
}

/// Formats the line that is sent to the caller, including its newline.
pub fn format_answer(answer: &Result<ConsoleAnswer, CallError>) -> String {
    match answer {
        Ok(answer) => format!("+OK {answer}\n"),
        Err(error) => format!("-ERR {error}\n"),
    }
}

/// Executes a call.
///
/// # Errors
///
/// The gateway is not in a state that allows the call, the service in question is disabled, or a drain command failed.
pub async fn execute(call: ConsoleCall, console: &Console) -> Result<ConsoleAnswer, CallError> {
    match call {
        ConsoleCall::Readiness => readiness(console),
        ConsoleCall::Evacuate => Ok(evacuate(console)),
        ConsoleCall::Activate => activate(console),
        ConsoleCall::Members => {
            let membership = console.membership.as_ref();
            let membership = membership.ok_or(CallError::MembershipOff)?;
            Ok(ConsoleAnswer::Status(membership.status_line()))
        }
        ConsoleCall::Leases => {
            let leases = console.leases.as_ref().ok_or(CallError::LeasesOff)?;
            Ok(ConsoleAnswer::Status(leases.status_line()))
        }
        ConsoleCall::FailoverPlan => {
            let site_failover = console.site_failover.as_ref();
            let site_failover = site_failover.ok_or(CallError::SiteFailoverOff)?;
            Ok(ConsoleAnswer::Status(site_failover.status_line()))
        }
        ConsoleCall::Drains => Ok(ConsoleAnswer::Status(drain_service(console)?.status_line())),
        ConsoleCall::Drain { host } => set_drain_state(console, &host, DesiredState::Drained).await,
        ConsoleCall::Undrain { host } => {
            set_drain_state(console, &host, DesiredState::InService).await
        }
    }
}

fn readiness(console: &Console) -> Result<ConsoleAnswer, CallError> {
    match console.serving_state.mode() {
        ServingMode::Serving => Ok(ConsoleAnswer::Ready),
        ServingMode::Starting => Err(CallError::Starting),
        ServingMode::Drained => Err(CallError::Drained),
        ServingMode::Stopping | ServingMode::Closing => Err(CallError::Stopping),
    }
}

fn evacuate(console: &Console) -> ConsoleAnswer {
    console.serving_state.evacuate();
    log!("console: clients are sent away");
    ConsoleAnswer::Evacuated
}

fn activate(console: &Console) -> Result<ConsoleAnswer, CallError> {
    if !console.serving_state.activate() {
        return Err(CallError::Stopping);
    }
    log!("console: clients are welcome");
    Ok(ConsoleAnswer::Activated)
}

fn drain_service(console: &Console) -> Result<&DrainService, CallError> {
    console.drains.as_deref().ok_or(CallError::LeasesOff)
}

async fn set_drain_state(
    console: &Console,
    host: &str,
    desired_state: DesiredState,
) -> Result<ConsoleAnswer, CallError> {
    match drain_service(console)?.command(host, desired_state).await {
        Ok(result) => Ok(ConsoleAnswer::DrainCommand(result.to_string())),
        Err(error) => Err(CallError::DrainCommand(error.to_string())),
    }
}

#[cfg(test)]
#[path = "../../../tests/unit/console_call.rs"]
mod tests;
