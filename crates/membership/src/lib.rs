//! Membership of the fleet of gateways, by SWIM (Das, Gupta and Motivala, 2002): which gateways are alive, suspect or
//! down, in which incarnation, and how old that knowledge is.
//!
//! In each protocol period one member is pinged. If it does not ack, `indirect_pings` others are asked to ping it too. A
//! member that still does not ack is suspect: it is pinged again each period, and is declared down after
//! [`Settings::suspicion_rounds`] more rounds without an answer. That verdict is disseminated with pings (piggybacked)
//! and with a small periodic gossip; each member that receives it pings the suspect itself before it accepts the verdict.
//! A member that learns that it is held down raises its incarnation, which outranks the verdict. The rules by which rows
//! change are pure functions in [`merge_rules`], with the reasons why they differ from SWIM as published; see also
//! `docs/membership.md`.
//!
//! The core has no I/O, no clock and no tasks: its owner passes in datagrams and the time, and carries out [`Action`]s.
//! Randomness comes from a seed. The same core runs in the gateway, in tests on a simulated network
//! (`irisrouter-simulated-network`) and in measurements.
//!
//! Begin reading with [`Membership`]; `failure_detector`, `updates`, `gossip` and `join_leave` hold its parts.

#![forbid(unsafe_code)]

pub mod codec;
pub mod dissemination;
pub mod merge_rules;
pub mod serial_number;

mod action;
mod error;
mod failure_detector;
mod gossip;
mod join_leave;
mod member_update;
mod membership;
mod outstanding_pings;
mod partition_side;
mod relayed_pings;
mod settings;
mod timers;
mod updates;
mod view;

pub use action::Action;
pub use codec::{recognizes, Datagram, Message, WireError};
pub use error::{MembershipError, ReceiveError};
pub use member_update::MemberUpdate;
pub use membership::Membership;
pub use partition_side::{PartitionSide, RECENT_PINGS};
pub use serial_number::{Incarnation, SequenceNumber};
pub use settings::{Settings, SettingsError, SettingsErrorReason};
pub use view::{Liveness, LivenessChange, MemberState, View};
