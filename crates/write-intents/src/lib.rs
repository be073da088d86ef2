//! Write intents: a keyed write is recorded with other gateways before it is sent, so that a write whose gateway dies is
//! applied at most once when its client sends it again to another gateway.
//!
//! Database hosts discard a repeat of a key within a window that counts from the first attempt. After the window, a repeat
//! would be applied again. The gateway that sent a key knows when that was; once it is dead, no gateway does. So before the
//! first byte of a keyed write leaves, its gateway records the time with two others, the key's replicas, and waits for their
//! acknowledgement. A gateway that receives a repeat looks the key up at the replicas first:
//!
//! - found: the write may be sent again while the window, counted from the recorded time, lasts; after that, and whatever the
//!   host answers meanwhile, the result is that the write may have run;
//! - not found at enough of them: the write was never sent, and is a write like any other;
//! - too few answer: nothing is proven, and the write may have run.
//!
//! The replicas of a key are chosen by rendezvous hashing over the gateways that the local one does not consider down. A
//! writer needs the acknowledgement of [`REPLICAS`] of the first [`RECORD_CANDIDATES`], itself left out. A gateway with a
//! repeat asks the first [`LOOKUP_CANDIDATES`], and takes the key for never sent only if at most [`MAX_SILENT`] of them do not
//! answer. With two replicas and one silent gateway, at least one replica answers. A gateway that has just been started may
//! have had records that it lost; for the length of [`RETENTION`] it does not answer for keys that it does not know.
//!
//! The package does no I/O, reads no clock and starts no tasks.

mod action;
pub mod codec;
mod key;
mod operation;
mod replicas;
mod retention;
mod store;

pub use action::{Action, OperationId, Outcome};
pub use codec::recognizes;
pub use key::{key_hash, KeyHash};
pub use operation::MAX_SILENT;
pub use replicas::{replica_order, LOOKUP_CANDIDATES, RECORD_CANDIDATES, REPLICAS};
pub use retention::{MAX_RETAINED_KEYS, RETENTION};
pub use store::IntentStore;
