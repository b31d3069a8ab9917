//! Fair shares, reservations and limits of a resource pool.

use fair_share::{DenialReason, Millis, ResourcePool, TenantId};

const A: TenantId = TenantId(0);
const B: TenantId = TenantId(1);

fn acquire_until_denied(pool: &mut ResourcePool, now: Millis, tenant: TenantId) -> DenialReason {
    loop {
        if let Err(reason) = pool.acquire(now, tenant, 1) {
            return reason;
        }
    }
}

#[test]
fn a_single_active_tenant_gets_all_but_the_idle_reserve() {
    let mut pool = ResourcePool::new(160, 1.0 / 16.0);
    pool.set_quota(A, 1.0, u64::MAX);
    pool.set_quota(B, 1.0, u64::MAX);
    assert_eq!(
        acquire_until_denied(&mut pool, 0.0, A),
        DenialReason::FairShareExceeded
    );
    assert_eq!(pool.allocated_to(A), 150);
    // The idle tenant starts at once with the reserve, and grows as the other one releases.
    assert_eq!(
        acquire_until_denied(&mut pool, 1.0, B),
        DenialReason::Exhausted
    );
    assert_eq!(pool.allocated_to(B), 10);
    for _ in 0..150 {
        pool.release(A, 1);
        let _ = pool.acquire(2.0, A, 1); // its demand is unbounded
        let _ = pool.acquire(2.0, B, 1);
    }
    assert_eq!((pool.allocated_to(A), pool.allocated_to(B)), (80, 80));
}

#[test]
fn without_idle_tenants_the_whole_capacity_is_allocated() {
    let mut pool = ResourcePool::new(100, 0.1);
    pool.set_quota(A, 1.0, u64::MAX);
    assert_eq!(
        acquire_until_denied(&mut pool, 0.0, A),
        DenialReason::Exhausted
    );
    assert_eq!(pool.allocated(), 100);
}

#[test]
fn the_recent_peak_of_a_tenant_is_reserved_and_its_unused_share_is_lent() {
    let mut pool = ResourcePool::new(100, 0.0);
    pool.set_quota(A, 1.0, u64::MAX);
    pool.set_quota(B, 1.0, u64::MAX);
    (0..20).for_each(|_| pool.acquire(0.0, B, 1).unwrap());
    (0..20).for_each(|_| pool.release(B, 1));
    assert_eq!(
        acquire_until_denied(&mut pool, 1.0, A),
        DenialReason::FairShareExceeded
    );
    assert_eq!(
        pool.allocated_to(A),
        74,
        "26 are reserved: a quarter more than the 20, and one"
    );
    (0..26).for_each(|_| pool.acquire(2.0, B, 1).unwrap());
    (0..26).for_each(|_| pool.release(B, 1));
    // Two windows later its peak is forgotten.
    let later = 3.0 * ResourcePool::PEAK_WINDOW;
    pool.acquire(ResourcePool::PEAK_WINDOW + 1.0, A, 1)
        .unwrap_err();
    assert_eq!(
        acquire_until_denied(&mut pool, later, A),
        DenialReason::Exhausted
    );
}

#[test]
fn the_limit_holds_and_may_be_lowered_below_the_allocation() {
    let mut pool = ResourcePool::new(100, 0.0);
    pool.set_quota(A, 1.0, 10);
    assert_eq!(
        acquire_until_denied(&mut pool, 0.0, A),
        DenialReason::LimitExceeded
    );
    pool.set_quota(A, 1.0, 4);
    pool.release(A, 5);
    assert_eq!(
        (pool.allocated_to(A), pool.acquire(0.0, A, 1)),
        (5, Err(DenialReason::LimitExceeded))
    );
    pool.release(A, 2);
    assert_eq!(pool.acquire(0.0, A, 1), Ok(()));
}

#[test]
fn a_removed_tenant_can_release_but_not_acquire() {
    let mut pool = ResourcePool::new(10, 0.0);
    pool.set_quota(A, 1.0, u64::MAX);
    pool.acquire(0.0, A, 4).unwrap();
    pool.remove(A);
    assert_eq!(pool.acquire(0.0, A, 1), Err(DenialReason::LimitExceeded));
    pool.release(A, 9);
    assert_eq!(pool.allocated(), 0);
    assert_eq!(
        pool.acquire(0.0, TenantId(7), 1),
        Err(DenialReason::LimitExceeded),
        "an unknown tenant"
    );
}
