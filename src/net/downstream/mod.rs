//! Downstream connections: the PostgreSQL clients of the gateway, the limit on their number, and cancel requests.

mod answer_writer;
pub mod cancel;
mod client_input;
pub mod connection;
pub mod connection_limit;
mod dropped_input;
mod input_buffer;
pub mod listener;
mod messages;
mod query;
mod read_times;
mod reserved_ids;
mod streamed_answer;
pub mod turns;
