//! Leases of a recovering host's budget among gateways that may be unable to reach each other.
//!
//! Every gateway owns an equal share of the host's budget, and can lease the part that it does not use to other
//! gateways until a stated time. The owner does not use a leased amount before the lease has expired, whether or not
//! the lease message reaches its holder. The amounts that all gateways may send therefore never add up to more than the
//! budget, whatever messages are lost, delayed or repeated and whichever gateways fail. The only requirement is that
//! the clocks of all gateways agree within a known margin, [`CLOCK_ERROR_MARGIN`].

use crate::{Nanos, MILLISECOND};
use std::collections::BTreeMap;
use thiserror::Error;

/// Maximum duration of a lease. A restarted gateway waits for this time and the clock error margin before it uses its
/// own share, because its previous process may have leased the share out, and the new process does not know of those
/// leases.
pub const MAX_LEASE_DURATION: Nanos = 500 * MILLISECOND;
/// Maximum difference between the clocks of two gateways.
pub const CLOCK_ERROR_MARGIN: Nanos = 20 * MILLISECOND;
/// Maximum number of granted leases, and of held leases, so that messages from outside cannot exhaust the memory.
const MAX_LEASES: usize = 1024;

/// Identifier of a gateway.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct GatewayId(pub u16);

/// A lease of part of a host's budget.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Lease {
    /// The gateway that may use the leased amount.
    pub holder: GatewayId,
    /// Number that the owner assigned to the lease. The owner does not reuse it within [`MAX_LEASE_DURATION`].
    pub number: u32,
    /// The leased amount, in the same unit as the shares.
    pub amount: u32,
    /// Time at which the lease expires.
    pub expires_at: Nanos,
}

/// Reason for which a received lease was rejected.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum LeaseRejected {
    /// The holder named in the lease is another gateway, or the sender is this gateway.
    #[error("the lease is for another gateway, or from this one")]
    WrongGateway,
    /// The lease has expired.
    #[error("the lease has expired")]
    Expired,
    /// The lease expires later than [`MAX_LEASE_DURATION`] plus [`CLOCK_ERROR_MARGIN`] from now.
    #[error("the lease is too long")]
    TooLong,
    /// The amount is 0, or the sender's leases to this gateway add up to more than the sender's share.
    #[error("the amount is 0 or more than the sender's share")]
    InvalidAmount,
    /// A lease with the same owner and number is already held.
    #[error("the lease was accepted before")]
    Duplicate,
    /// This gateway already holds the maximum number of leases.
    #[error("there are too many leases")]
    TooMany,
}

/// Part of this gateway's own share, leased to another gateway.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct GrantedLease {
    amount: u32,
    /// Time at which this gateway may use the amount again: the expiry of the lease plus the clock error margin.
    returns_at: Nanos,
}

/// Part of another gateway's share, leased to this gateway.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct HeldLease {
    amount: u32,
    expires_at: Nanos,
}

/// Identifies a held lease by its owner and the number that the owner assigned.
type HeldLeaseKey = (GatewayId, u32);

/// One gateway's share of the budget of one host, with the leases that the gateway has granted and holds.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct BudgetShare {
    gateway: GatewayId,
    share: u32,
    /// Time from which the gateway may use its share.
    usable_from: Nanos,
    granted: Vec<GrantedLease>,
    held: BTreeMap<HeldLeaseKey, HeldLease>,
    next_lease_number: u32,
}

impl BudgetShare {
    /// Creates the share of a gateway that has restarted. None of it is usable until all leases that the previous
    /// process may have granted have expired. `first_lease_number` is the number of the first lease. It must be random,
    /// so that leases of the previous process are not mistaken for new ones.
    pub fn after_restart(
        gateway: GatewayId,
        share: u32,
        now: Nanos,
        first_lease_number: u32,
    ) -> Self {
        BudgetShare {
            gateway,
            share,
            usable_from: now + MAX_LEASE_DURATION + CLOCK_ERROR_MARGIN,
            granted: Vec::new(),
            held: BTreeMap::new(),
            next_lease_number: first_lease_number,
        }
    }

    /// Creates the share for a host that appears after this gateway has been running for a long time. The share is
    /// usable at once, because no part of it can have been leased yet.
    pub fn for_new_host(
        gateway: GatewayId,
        share: u32,
        now: Nanos,
        first_lease_number: u32,
    ) -> Self {
        BudgetShare {
            usable_from: now,
            ..BudgetShare::after_restart(gateway, share, now, first_lease_number)
        }
    }

    /// Returns the part of the gateway's own share that it may use or lease to others.
    pub fn available_share(&self, now: Nanos) -> u32 {
        if now < self.usable_from {
            return 0;
        }
        let granted: u32 = self
            .granted
            .iter()
            .filter(|lease| now < lease.returns_at)
            .map(|lease| lease.amount)
            .sum();
        self.share.saturating_sub(granted)
    }

    /// Returns the total amount that the gateway may use: the available part of its share and the leases that it holds.
    pub fn usable(&self, now: Nanos) -> u32 {
        let held: u32 = self
            .held
            .values()
            .filter(|lease| now < lease.expires_at)
            .map(|lease| lease.amount)
            .sum();
        self.available_share(now) + held
    }

    /// Grants a lease. This gateway does not use the leased amount until the clock error margin after the lease has
    /// expired. Returns `None` if the holder is this gateway, the amount is 0 or not available, the duration is out of
    /// bounds, or there are too many leases.
    pub fn grant(
        &mut self,
        now: Nanos,
        holder: GatewayId,
        amount: u32,
        duration: Nanos,
    ) -> Option<Lease> {
        self.remove_expired(now);
        if holder == self.gateway
            || amount == 0
            || amount > self.available_share(now)
            || !(1..=MAX_LEASE_DURATION).contains(&duration)
            || self.granted.len() >= MAX_LEASES
        {
            return None;
        }
        let expires_at = now + duration;
        self.granted.push(GrantedLease {
            amount,
            returns_at: expires_at + CLOCK_ERROR_MARGIN,
        });
        self.granted
            .sort_by_key(|lease| (lease.returns_at, lease.amount));
        let lease = Lease {
            holder,
            number: self.next_lease_number,
            amount,
            expires_at,
        };
        self.next_lease_number = self.next_lease_number.wrapping_add(1);
        Some(lease)
    }

    /// Accepts a lease from another gateway. The caller has verified the sender's address.
    ///
    /// # Errors
    ///
    /// Returns the reason if the lease is rejected.
    pub fn accept(
        &mut self,
        now: Nanos,
        owner: GatewayId,
        lease: Lease,
    ) -> Result<(), LeaseRejected> {
        self.remove_expired(now);
        if lease.holder != self.gateway || owner == self.gateway {
            return Err(LeaseRejected::WrongGateway);
        }
        if lease.expires_at <= now {
            return Err(LeaseRejected::Expired);
        }
        if lease.expires_at > now + MAX_LEASE_DURATION + CLOCK_ERROR_MARGIN {
            return Err(LeaseRejected::TooLong);
        }
        if self.held.contains_key(&(owner, lease.number)) {
            return Err(LeaseRejected::Duplicate);
        }
        // The amounts in a message are not trusted. All shares are equal, so a sender owns no more than this gateway.
        let total = self.held_from(owner).saturating_add(lease.amount);
        if lease.amount == 0 || total > self.share {
            return Err(LeaseRejected::InvalidAmount);
        }
        if self.held.len() >= MAX_LEASES {
            return Err(LeaseRejected::TooMany);
        }
        let held = HeldLease {
            amount: lease.amount,
            expires_at: lease.expires_at,
        };
        self.held.insert((owner, lease.number), held);
        Ok(())
    }

    /// Returns the sum of the amounts that this gateway holds from an owner.
    fn held_from(&self, owner: GatewayId) -> u32 {
        self.held
            .range((owner, 0)..=(owner, u32::MAX))
            .map(|(_, lease)| lease.amount)
            .sum()
    }

    fn remove_expired(&mut self, now: Nanos) {
        self.granted.retain(|lease| now < lease.returns_at);
        self.held.retain(|_, lease| now < lease.expires_at);
    }
}
