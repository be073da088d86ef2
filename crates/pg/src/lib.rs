//! PostgreSQL's wire protocol, version 3: framing, the messages that the gateway reads and writes, and the comment at
//! the end of a statement that tells the gateway how to route it.
//!
//! The package does no I/O. Every length is bounded, and all input is validated.

mod backend;
pub mod code;
mod error;
mod frame;
mod frontend;
mod load_report;
mod message;
mod reply;
mod row;
mod statement;
pub mod tag;

pub use backend::{put_error, put_ready, put_startup_response};
pub use error::Malformed;
pub use frame::{
    complete_messages_size, complete_queries, frame, message_size, Frame, HEADER_SIZE,
    MAX_MESSAGE_SIZE,
};
pub use frontend::{
    is_empty, put_query, put_startup, query, startup, CancelKey, Startup, StartupMessage,
};
pub use load_report::report;
pub use message::put;
pub use reply::{HostRole, Reply, Stage};
pub use row::{long_row, may_begin_long_row, MAX_BUFFERED_VALUE_SIZE};
pub use statement::{statement, Statement};
