//! One request from its arrival to its final answer, and the request classes that it may belong to.

mod answer;
mod attempts;
pub mod classes;
mod context;
mod earlier_attempts;
mod lifecycle;
mod presence;
mod write_intent;

pub use answer::{retry_after_milliseconds, Answer};
pub use context::{ClientRequest, OpenId, RequestContext, ShutdownDeadlines};
pub use presence::ClientPresence;
