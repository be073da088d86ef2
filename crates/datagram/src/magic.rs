//! The first byte of a datagram: the high nibble names the protocol, the low nibble its version.

/// Membership: which gateways are alive.
pub const MEMBERSHIP: u8 = 0xA2;
/// Leases: which gateway holds which task.
pub const LEASES: u8 = 0xB1;
/// Write intents: keyed writes that may have run.
pub const WRITE_INTENTS: u8 = 0xC1;
/// Site failover: the load reports of the sites, and the plan made from them.
pub const SITE_FAILOVER: u8 = 0xD2;
/// Drains of database hosts.
pub const DRAINS: u8 = 0xE1;
/// Endpoint watch: one gateway watches the list of database hosts for the fleet.
pub const ENDPOINT_WATCH: u8 = 0xF1;

/// The bits of the first byte that name the protocol.
const PROTOCOL_BITS: u8 = 0xf0;

/// Whether a datagram belongs to the protocol of this magic byte, in whatever version.
#[must_use]
pub fn has_magic(datagram: &[u8], magic: u8) -> bool {
    datagram
        .first()
        .is_some_and(|first| first & PROTOCOL_BITS == magic & PROTOCOL_BITS)
}
