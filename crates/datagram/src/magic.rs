//! The first byte of a datagram: the high nibble identifies the protocol, the low nibble its
//! version.

/// Membership protocol: tracks which gateways are alive.
pub const MEMBERSHIP: u8 = 0xA2;
/// Lease protocol: decides which gateway performs which task.
pub const LEASES: u8 = 0xB1;
/// Write-intent protocol: records keyed writes that may have been executed.
pub const WRITE_INTENTS: u8 = 0xC2;
/// Site-failover protocol: carries the load reports of the gateways, and the plan made from them.
pub const SITE_FAILOVER: u8 = 0xD2;
/// Drain protocol: coordinates drains of database hosts.
pub const DRAINS: u8 = 0xE1;
/// Endpoint-watch protocol: announces the endpoint list that one gateway watches for the fleet.
pub const ENDPOINT_WATCH: u8 = 0xF1;

/// Mask of the bits of the first byte that identify the protocol.
const PROTOCOL_MASK: u8 = 0xf0;

/// Returns whether a datagram belongs to the protocol of this magic byte, in any version.
#[must_use]
pub fn has_magic(datagram: &[u8], magic: u8) -> bool {
    datagram
        .first()
        .is_some_and(|first| first & PROTOCOL_MASK == magic & PROTOCOL_MASK)
}
