//! Who holds a lease, and on what.

/// The number of a task that one gateway does for the fleet. The same at every gateway.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TaskId(pub u64);

/// The process of a gateway. A gateway that is started again is another holder.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Holder {
    /// The gateway's number in the fleet's list.
    pub number: u32,
    /// The generation of the process, which differs from that of the gateway's earlier processes.
    pub generation: u16,
}

/// A lease that this gateway holds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HeldLease {
    /// The task.
    pub task: TaskId,
    /// The fencing token.
    pub epoch: u64,
}
