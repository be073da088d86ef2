//! Failover for the loss of a whole site: where its load goes, which requests are shed first, and
//! how the site recovers.
//!
//! A site is a zone of the platform's configuration. One gateway at a time makes the plan: it holds
//! the lease of the task [`TASK_ID`] (`irisrouter-leases`), and the lease's epoch orders plans of
//! different planners.
//!
//! 1. Every gateway sends a [`SiteLoadReport`](load_report::SiteLoadReport) to the planner.
//! 2. The planner sums the reports up ([`SiteLoadReports`](load_report::SiteLoadReports)) and
//!    decides which sites are lost or recovering ([`Planner::observe`]).
//! 3. It plans where the load of a lost site goes and what has to be shed ([`Planner::next_plan`]),
//!    and sends the plan to all gateways.
//! 4. Every gateway follows the latest plan that it received ([`Follower`]). A gateway that is cut
//!    off continues with that plan, not with a guess of its own, until the plan expires.
//!
//! Loads and capacities are requests of mean work per second. The package does no I/O and reads no
//! clock. It supplies inputs to the routing policy and selects no host itself.

#![forbid(unsafe_code)]

pub mod codec;
mod follower;
mod indexes;
pub mod load_report;
mod plan;
mod planner;
mod settings;
mod site_tracker;

pub use codec::recognizes;
pub use follower::{Admission, Follower};
pub use indexes::{ClassIndex, SiteIndex};
pub use plan::{Plan, PlanVersion, SitePlan, SiteState};
pub use planner::{Planner, SiteStateChange};
pub use settings::{InvalidSetting, Settings, SettingsError};
pub use site_tracker::SiteObservation;

use irisrouter_cluster_types::TaskId;

/// The task under which planning is leased ("SITE" in ASCII). Its id is above the number of any
/// database set that a platform assigns.
pub const TASK_ID: TaskId = TaskId(0x5349_5445_0000_0000);

/// The most sites that a plan covers, so that a plan fits one datagram.
pub const MAX_SITES: usize = 8;
/// The most request classes that a plan covers, so that a plan fits one datagram.
pub const MAX_CLASSES: usize = 16;
