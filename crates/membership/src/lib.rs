//! SWIM membership of the gateway fleet (Das, Gupta and Motivala, 2002): which gateways are alive, suspect or down, in
//! which incarnation, and how old that information is.
//!
//! In each protocol period a member pings one other member. If that one does not ack, `indirect_pings` other members
//! are asked to ping it too. A member that still does not ack becomes suspect: it is pinged again in each period, and
//! is declared down after [`Settings::suspicion_rounds`] more rounds without an answer. This verdict is piggybacked on
//! the protocol's messages and sent in a small periodic gossip; each member that receives it pings the suspect itself
//! before it accepts the verdict. A member that is reported down raises its incarnation as soon as it receives the
//! report, and the higher incarnation outranks the verdict. The rules by which the rows of the view change are pure
//! functions in [`merge_rules`], with the reasons why they differ from SWIM as published; see also
//! `docs/membership.md`.
//!
//! The core performs no I/O, reads no clock and spawns no tasks: its owner passes in the datagrams and the current
//! time, and carries out the returned [`Action`]s. All random numbers are derived from a seed. The same core runs in
//! the gateway, in tests on a simulated network (`irisrouter-simulated-network`) and in measurements.
//!
//! Start reading at [`Membership`]; `failure_detector`, `updates`, `gossip` and `join_leave` implement its parts.

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
