//! Leases of a budget between two gateways.

use irisrouter_retry_storm::budget_lease::{
    BudgetShare, GatewayId, Lease, LeaseRejected, CLOCK_ERROR_MARGIN, MAX_LEASE_DURATION,
};
use irisrouter_retry_storm::{MILLISECOND, SECOND};

#[test]
fn leased_amount_is_used_by_owner_or_holder_and_never_by_both() {
    let mut owner = BudgetShare::for_new_host(GatewayId(0), 100, SECOND, 7);
    let mut holder = BudgetShare::for_new_host(GatewayId(1), 100, SECOND, 9);
    let lease = owner
        .grant(SECOND, GatewayId(1), 60, 300 * MILLISECOND)
        .expect("a lease");
    assert_eq!((owner.usable(SECOND), holder.usable(SECOND)), (40, 100));
    assert_eq!(
        holder.accept(SECOND + 5 * MILLISECOND, GatewayId(0), lease),
        Ok(())
    );
    assert_eq!(
        holder.accept(SECOND + 6 * MILLISECOND, GatewayId(0), lease),
        Err(LeaseRejected::Duplicate)
    );
    assert_eq!(holder.usable(SECOND + 6 * MILLISECOND), 160);
    let end = lease.expires_at;
    assert_eq!((owner.usable(end - 1), holder.usable(end - 1)), (40, 160));
    assert_eq!(
        (owner.usable(end), holder.usable(end)),
        (40, 100),
        "neither gateway uses the amount during the clock error margin"
    );
    assert_eq!(owner.usable(end + CLOCK_ERROR_MARGIN), 100);
}

#[test]
fn invalid_lease_is_rejected() {
    let mut holder = BudgetShare::for_new_host(GatewayId(1), 100, 0, 0);
    let lease = Lease {
        holder: GatewayId(1),
        number: 1,
        amount: 50,
        expires_at: 100 * MILLISECOND,
    };
    assert_eq!(
        holder.accept(
            0,
            GatewayId(0),
            Lease {
                holder: GatewayId(2),
                ..lease
            }
        ),
        Err(LeaseRejected::WrongGateway)
    );
    assert_eq!(
        holder.accept(0, GatewayId(1), lease),
        Err(LeaseRejected::WrongGateway),
        "the sender is this gateway"
    );
    assert_eq!(
        holder.accept(100 * MILLISECOND, GatewayId(0), lease),
        Err(LeaseRejected::Expired)
    );
    assert_eq!(
        holder.accept(
            0,
            GatewayId(0),
            Lease {
                expires_at: SECOND,
                ..lease
            }
        ),
        Err(LeaseRejected::TooLong)
    );
    assert_eq!(
        holder.accept(
            0,
            GatewayId(0),
            Lease {
                amount: 101,
                ..lease
            }
        ),
        Err(LeaseRejected::InvalidAmount)
    );
    assert_eq!(holder.accept(0, GatewayId(0), lease), Ok(()));
    assert_eq!(
        holder.accept(
            0,
            GatewayId(0),
            Lease {
                number: 2,
                amount: 51,
                ..lease
            }
        ),
        Err(LeaseRejected::InvalidAmount),
        "both leases together exceed the share"
    );
    assert_eq!(
        holder.accept(0, GatewayId(2), Lease { number: 1, ..lease }),
        Ok(()),
        "another owner may use the same lease number"
    );
}

#[test]
fn restarted_gateway_uses_nothing_until_its_earlier_leases_have_expired() {
    let mut owner = BudgetShare::after_restart(GatewayId(0), 100, SECOND, 0);
    assert_eq!(
        (
            owner.usable(SECOND + MAX_LEASE_DURATION),
            owner.grant(SECOND, GatewayId(1), 1, MILLISECOND)
        ),
        (0, None)
    );
    assert_eq!(
        owner.usable(SECOND + MAX_LEASE_DURATION + CLOCK_ERROR_MARGIN),
        100
    );
    assert_eq!(
        owner.grant(2 * SECOND, GatewayId(1), 1, MAX_LEASE_DURATION + 1),
        None
    );
    assert_eq!(
        owner.grant(2 * SECOND, GatewayId(0), 1, MILLISECOND),
        None,
        "the holder is this gateway"
    );
}
