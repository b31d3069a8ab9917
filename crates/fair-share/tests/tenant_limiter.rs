//! Admission by tenant over all resources of a process.

use fair_share::{DenialReason, ProcessCapacity, Resource, TenantId, TenantLimiter, TenantQuota};

const A: TenantId = TenantId(0);
const B: TenantId = TenantId(1);

fn limiter_with_two_tenants() -> TenantLimiter {
    let capacity = ProcessCapacity {
        client_connections: 8,
        in_flight_requests: 6,
        buffered_bytes: 1000,
        processing_time_ratio: 0.5,
        rejection_time_ratio: 0.1,
        idle_reserve_ratio: 0.0,
    };
    let mut limiter = TenantLimiter::new(capacity);
    limiter.set_quota(0.0, A, &TenantQuota::default());
    limiter.set_quota(
        0.0,
        B,
        &TenantQuota {
            max_in_flight_requests: 2,
            ..TenantQuota::default()
        },
    );
    limiter
}

#[test]
fn each_rejection_names_its_resource_and_allocates_nothing() {
    let mut limiter = limiter_with_two_tenants();
    (0..8).for_each(|_| limiter.acquire_client_connection(0.0, A).unwrap());
    assert_eq!(
        limiter
            .acquire_client_connection(0.0, B)
            .unwrap_err()
            .resource,
        Resource::ClientConnections
    );
    let oversized = limiter.begin_request(0.0, A, 1001).unwrap_err();
    assert_eq!(
        (oversized.resource, oversized.reason),
        (Resource::BufferedBytes, Some(DenialReason::Exhausted))
    );
    assert_eq!(limiter.usage(A).in_flight_requests, 0);
    (0..2).for_each(|_| limiter.begin_request(0.0, B, 10).unwrap());
    let capped = limiter.begin_request(0.0, B, 10).unwrap_err();
    assert_eq!(
        (capped.resource, capped.reason),
        (
            Resource::InFlightRequests,
            Some(DenialReason::LimitExceeded)
        )
    );
    limiter.charge_processing(0.0, A, 30.0);
    let late = limiter.begin_request(0.0, A, 10).unwrap_err();
    assert_eq!(
        (late.resource, late.retry_after),
        (Resource::EventLoopTime, 10.0),
        "5 ms over, at half the loop's time"
    );
    assert_eq!(
        limiter.check_read(0.0, A),
        Ok(()),
        "it can still be rejected"
    );
    limiter.charge_rejecting(0.0, A, 3.0);
    assert_eq!(
        limiter.check_read(0.0, A),
        Err(5.0),
        "half a ms over, at a tenth of the loop's time"
    );
    assert_eq!(limiter.usage(A).event_loop_time, 33.0);
    assert_eq!(limiter.check_accept(0.0, A), Err(5.0));
    // No capacity for a request of the other tenant: it is read only while there is time to reject it.
    assert_eq!(limiter.check_read(0.0, B), Ok(()));
    limiter.charge_rejecting(0.0, B, 3.0);
    assert!(limiter.check_read(0.0, B).is_err());
    assert!(
        limiter.check_accept(0.0, B).is_err(),
        "no client connection is free"
    );
    assert_eq!(limiter.usage(A).rejections, [0, 0, 1, 1, 0]);
    assert_eq!(limiter.usage(B).rejections, [1, 1, 0, 0, 0]);
}

#[test]
fn ended_requests_are_released_and_their_mean_duration_is_the_retry_time() {
    let mut limiter = limiter_with_two_tenants();
    for _ in 0..200 {
        (0..2).for_each(|_| limiter.begin_request(0.0, B, 100).unwrap());
        (0..2).for_each(|_| limiter.end_request(B, 100, 40.0));
    }
    (0..2).for_each(|_| limiter.begin_request(0.0, B, 100).unwrap());
    let wait = limiter.begin_request(0.0, B, 100).unwrap_err().retry_after;
    assert!((wait - 40.0).abs() < 0.1, "{wait}");
    limiter.remove(B);
    assert!(!limiter.is_idle(B));
    (0..2).for_each(|_| limiter.end_request(B, 100, 40.0));
    assert!(limiter.is_idle(B));
}

#[test]
fn checking_for_read_or_accept_changes_no_fair_share() {
    let mut limiter = limiter_with_two_tenants();
    (0..3).for_each(|_| limiter.begin_request(0.0, A, 1).unwrap());
    let fair = limiter.fair_share(A, Resource::InFlightRequests);
    assert_eq!(
        (limiter.check_read(0.0, B), limiter.check_accept(0.0, B)),
        (Ok(()), Ok(()))
    );
    assert_eq!(limiter.fair_share(A, Resource::InFlightRequests), fair);
    (0..3).for_each(|_| limiter.begin_request(0.0, A, 1).unwrap());
}

#[test]
fn only_a_shared_endpoint_is_limited() {
    let mut limiter = limiter_with_two_tenants();
    assert_eq!(
        limiter.acquire_endpoint_connection(0.0, A, 7),
        Ok(()),
        "the endpoint is not shared"
    );
    limiter.set_shared_endpoint(7, 4, &[(A, 1.0), (B, 1.0)]);
    (0..2).for_each(|_| limiter.acquire_endpoint_connection(0.0, A, 7).unwrap());
    (0..2).for_each(|_| limiter.acquire_endpoint_connection(0.0, B, 7).unwrap());
    assert_eq!(
        limiter
            .acquire_endpoint_connection(0.0, A, 7)
            .unwrap_err()
            .resource,
        Resource::EndpointConnections
    );
    limiter.release_endpoint_connection(A, 7);
    // A change of members keeps the allocations.
    limiter.set_quota(0.0, TenantId(2), &TenantQuota::default());
    limiter.set_shared_endpoint(7, 4, &[(B, 1.0), (TenantId(2), 1.0)]);
    limiter
        .acquire_endpoint_connection(0.0, TenantId(2), 7)
        .unwrap();
    assert!(
        limiter
            .acquire_endpoint_connection(0.0, TenantId(2), 7)
            .is_err(),
        "one connection is still the first tenant's"
    );
    limiter.release_endpoint_connection(A, 7);
    assert_eq!(
        limiter.acquire_endpoint_connection(0.0, TenantId(2), 7),
        Ok(())
    );
}
