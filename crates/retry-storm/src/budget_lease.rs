//! Leases of a recovering host's budget among gateways that may be unable to reach each other.
//!
//! Every gateway owns the same share of the host's budget, and leases what it does not use to others until a stated time.
//! The owner does not use what it has leased before the lease has expired, whether or not the message arrives. So the sum
//! of what all gateways may send never exceeds the budget, whatever messages are lost, delayed or repeated and whichever
//! gateways fail. The only requirement is a clock that all gateways read, with a bound on its error.

use crate::{Nanos, MILLISECOND};
use std::collections::BTreeMap;
use thiserror::Error;

/// Longest lease. A gateway that has restarted waits for this time before it uses its own share: its earlier process may
/// have leased it, and the new one does not know.
pub const MAX_LEASE_DURATION: Nanos = 500 * MILLISECOND;
/// Most by which the clocks of two gateways differ.
pub const CLOCK_ERROR_MARGIN: Nanos = 20 * MILLISECOND;
/// Largest number of leases that are kept in each direction, so that messages from outside cannot fill the memory.
const MAX_LEASES: usize = 1024;

/// A gateway.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct GatewayId(pub u16);

/// A lease of part of a host's budget.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Lease {
    /// The gateway that may use it.
    pub holder: GatewayId,
    /// The owner's number for it, which the owner does not use twice within [`MAX_LEASE_DURATION`].
    pub number: u32,
    /// How much is leased, in the units of the shares.
    pub amount: u32,
    /// When the lease expires.
    pub expires_at: Nanos,
}

/// Why a lease was not accepted.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum LeaseRejected {
    /// The lease is for another gateway, or from this one.
    #[error("the lease is for another gateway, or from this one")]
    WrongGateway,
    /// The lease has expired.
    #[error("the lease has expired")]
    Expired,
    /// The lease is longer than [`MAX_LEASE_DURATION`].
    #[error("the lease is too long")]
    TooLong,
    /// The amount is 0, or the sender leases more than its share.
    #[error("the amount is 0 or more than the sender's share")]
    InvalidAmount,
    /// The lease was accepted before.
    #[error("the lease was accepted before")]
    Duplicate,
    /// There are too many leases.
    #[error("there are too many leases")]
    TooMany,
}

/// Part of the own share that another gateway may use.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct GrantedLease {
    amount: u32,
    /// When its owner may use it again: the clock error margin after it expires.
    returns_at: Nanos,
}

/// Part of another gateway's share that this one may use.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct HeldLease {
    amount: u32,
    expires_at: Nanos,
}

/// Identifies a held lease: its owner, and the owner's number for it.
type HeldLeaseKey = (GatewayId, u32);

/// What one gateway may send to one host.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct BudgetShare {
    gateway: GatewayId,
    share: u32,
    /// When the gateway may begin to use its share.
    usable_from: Nanos,
    granted: Vec<GrantedLease>,
    held: BTreeMap<HeldLeaseKey, HeldLease>,
    next_number: u32,
}

impl BudgetShare {
    /// The share of a gateway that has restarted. It uses nothing of it before all that its earlier process may have
    /// leased has expired. `first_number` is the number of its first lease; it has to be random, so that an earlier
    /// process's leases are not taken for the new ones.
    pub fn after_restart(gateway: GatewayId, share: u32, now: Nanos, first_number: u32) -> Self {
        BudgetShare {
            gateway,
            share,
            usable_from: now + MAX_LEASE_DURATION + CLOCK_ERROR_MARGIN,
            granted: Vec::new(),
            held: BTreeMap::new(),
            next_number: first_number,
        }
    }

    /// The share for a host that this gateway learns about after it has run for long: none of it can be leased yet.
    pub fn for_new_host(gateway: GatewayId, share: u32, now: Nanos, first_number: u32) -> Self {
        BudgetShare {
            usable_from: now,
            ..BudgetShare::after_restart(gateway, share, now, first_number)
        }
    }

    /// The part of the own share that the gateway may use or lease.
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

    /// All that the gateway may use: what is available of its share, and the leases that it holds.
    pub fn usable(&self, now: Nanos) -> u32 {
        let held: u32 = self
            .held
            .values()
            .filter(|lease| now < lease.expires_at)
            .map(|lease| lease.amount)
            .sum();
        self.available_share(now) + held
    }

    /// Grants a lease, and stops to use its amount here. Returns `None` if so much is not available, the duration is out
    /// of bounds, or there are too many leases.
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
            number: self.next_number,
            amount,
            expires_at,
        };
        self.next_number = self.next_number.wrapping_add(1);
        Some(lease)
    }

    /// Accepts a lease from a gateway whose address has been checked.
    ///
    /// # Errors
    ///
    /// The lease is rejected, for the reason given.
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
        // Whatever a sender claims, it owns no more than its share, which is as large as this gateway's.
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

    /// The sum of the leases that are held from an owner.
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
