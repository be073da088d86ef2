//! Write intents: a gateway records a keyed write at other gateways before it sends the write. If the gateway dies and
//! the client retries the write through another gateway, the write is still applied at most once.
//!
//! Database hosts discard a repeated key within a window that starts at the first attempt. After the window, a repeated
//! write would be applied again. Only the gateway that sent the key knows when the window started, and this knowledge
//! is lost if the gateway dies. Therefore a gateway records the time at two other gateways, the replicas of the key,
//! and waits for their acknowledgements before it sends the first byte of a keyed write. A gateway that receives a
//! repeated write looks the key up at the replicas first:
//!
//! - Found: the write may be sent again until the window, which starts at the recorded time, has passed. After that,
//!   the result is that the write may have run, whatever the host answered in the meantime.
//! - Not found, according to enough gateways: the write was never sent, and is processed like any new write.
//! - Too few answers: the look-up is inconclusive, and the write may have run.
//!
//! The replicas of a key are chosen by rendezvous hashing among the gateways that the local gateway does not consider
//! down. A writer needs the acknowledgements of [`REPLICAS`] of the first [`RECORD_CANDIDATES`] other gateways. A
//! gateway that looks a key up asks the first [`LOOKUP_CANDIDATES`] other gateways, and concludes that the write was
//! never sent only if at most [`MAX_SILENT`] of them do not answer. With two replicas and one gateway that does not
//! answer, at least one replica answers. A gateway that was started recently may have lost records of an earlier
//! process. Until [`RETENTION`] has passed since its start, it does not answer look-ups of keys that it does not know.
//!
//! Datagrams may be lost, repeated and reordered. Each intent and each look-up has a [`SequenceNumber`], which its
//! messages carry: a withdrawal removes the record of its own intent only, a record that arrives after its withdrawal is
//! ignored, and an answer counts only for the look-up or the record that it answers.
//!
//! The package does no I/O, reads no clock and spawns no async tasks.

mod action;
pub mod codec;
mod key;
mod operation;
mod replicas;
mod retention;
mod sequence_number;
mod store;

pub use action::{Action, OperationId, Outcome};
pub use codec::recognizes;
pub use key::{key_hash, KeyHash};
pub use operation::MAX_SILENT;
pub use replicas::{replica_order, LOOKUP_CANDIDATES, RECORD_CANDIDATES, REPLICAS};
pub use retention::{MAX_RETAINED_KEYS, RETENTION};
pub use sequence_number::SequenceNumber;
pub use store::IntentStore;
