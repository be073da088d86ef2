//! One request from its arrival to its final answer, and the request classes that it may belong to.

mod answer;
mod attempts;
pub mod classes;
mod context;
mod earlier_attempts;
mod id_claim;
mod lifecycle;
mod open_ids;
mod presence;
mod session_writes;
mod shutdown_notice;
mod write_intent;

pub use answer::{retry_after_milliseconds, Answer};
pub use context::{ClientRequest, RequestContext, ShutdownDeadlines};
pub use open_ids::{OpenId, OpenIds};
pub use presence::ClientPresence;
