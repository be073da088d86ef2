//! Failover for the loss of a whole site: which sites take over its load, which requests are shed
//! first, and how the site recovers.
//!
//! A site is a zone of the platform's configuration. One gateway at a time is the planner: it holds
//! the lease of the task [`TASK_ID`] (`irisrouter-leases`), and the lease's epoch orders the plans
//! of different planners.
//!
//! 1. Every gateway sends a [`SiteLoadReport`](load_report::SiteLoadReport) to the planner.
//! 2. The planner adds up the reports ([`SiteLoadReports`](load_report::SiteLoadReports)) and
//!    decides which sites are lost or recovering ([`Planner::observe`]).
//! 3. It plans which sites take over the load of a lost site and what has to be shed
//!    ([`Planner::next_plan`]), and sends the plan to all gateways.
//! 4. Every gateway follows the latest plan that it received ([`Follower`]). A gateway that is
//!    isolated by a network partition continues to follow that plan until it expires, and makes no
//!    plan from its partial view.
//!
//! Loads and capacities are in requests per second, for requests that cause the mean amount of
//! work. The package does no I/O and reads no clock. It supplies inputs to the routing policy and
//! does not choose hosts itself.

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

/// Id of the leased task whose lease holder is the planner (the upper 32 bits are "SITE" in ASCII).
/// It is greater than the number of any database group that a platform assigns, so that it never
/// collides with the task id of a group.
pub const TASK_ID: TaskId = TaskId(0x5349_5445_0000_0000);

/// Maximum number of sites in a plan, so that a plan fits into one datagram.
pub const MAX_SITES: usize = 8;
/// Maximum number of request classes in a plan, so that a plan fits into one datagram.
pub const MAX_CLASSES: usize = 16;
