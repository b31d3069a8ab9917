//! Which connections rest before their next request, and how long.
use std::time::Duration;

use proxy_core::reuse::{LastResponse, ReusePolicy, SurplusRecord};
use tokio::time::Instant;

/// Responses after which a process certainly trusts endpoints that send no surplus ones.
const MANY: u32 = 1000;

fn millis(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn rest_after(policy: &ReusePolicy, endpoint: &SurplusRecord, response: LastResponse) -> Duration {
    let idle_since = Instant::now();
    let usable_from = policy.usable_from(endpoint, response, idle_since);
    assert_eq!(
        policy.has_rested(response, idle_since, idle_since),
        response == LastResponse::None,
        "whether it has rested does not depend on trust"
    );
    let rest = usable_from - idle_since;
    assert_eq!(
        rest > Duration::ZERO,
        policy.has_to_rest(endpoint, response)
    );
    rest
}

fn record_many(policy: &ReusePolicy, endpoint: &SurplusRecord) {
    (0..MANY).for_each(|_| policy.record_response(endpoint));
}

/// Returns a policy that trusts its endpoints, and two of them.
fn trusting() -> (ReusePolicy, [SurplusRecord; 2]) {
    let policy = ReusePolicy::default();
    let endpoints = [SurplusRecord::default(), SurplusRecord::default()];
    record_many(&policy, &endpoints[0]);
    (policy, endpoints)
}

#[test]
fn a_new_process_lets_used_connections_rest_and_unused_ones_not() {
    let policy = ReusePolicy::default();
    let endpoint = SurplusRecord::default();
    let rest = |response| rest_after(&policy, &endpoint, response);
    assert_eq!(rest(LastResponse::None), Duration::ZERO);
    assert_eq!(rest(LastResponse::Other), millis(20));
    assert_eq!(rest(LastResponse::Rejection), millis(20));
}

#[test]
fn after_many_responses_only_rejections_are_followed_by_a_rest() {
    let (policy, [endpoint, _]) = trusting();
    let rest = |response| rest_after(&policy, &endpoint, response);
    assert_eq!(rest(LastResponse::Other), Duration::ZERO);
    assert_eq!(rest(LastResponse::Rejection), millis(20));
}

#[test]
fn one_endpoint_with_a_surplus_response_rests_alone_and_two_make_all_rest() {
    let (policy, [spoilt, other]) = trusting();
    let third = SurplusRecord::default();
    let rest = |endpoint| rest_after(&policy, endpoint, LastResponse::Other);
    for _ in 0..2 {
        assert!(policy.record_unsolicited(&spoilt, millis(3)));
        record_many(&policy, &spoilt);
        assert_eq!(rest(&spoilt), millis(20));
        assert_eq!(rest(&other), Duration::ZERO);
    }
    assert!(policy.record_unsolicited(&other, millis(3)));
    record_many(&policy, &third);
    assert_eq!(rest(&third), millis(20));
}

#[test]
fn a_surplus_response_among_the_first_makes_all_endpoints_rest() {
    let policy = ReusePolicy::default();
    let [spoilt, other] = [SurplusRecord::default(), SurplusRecord::default()];
    assert!(policy.record_unsolicited(&spoilt, millis(3)));
    record_many(&policy, &other);
    assert!(policy.has_to_rest(&other, LastResponse::Other));
}

#[test]
fn the_rest_is_longer_than_the_latest_surplus_response_and_is_bounded() {
    let (policy, [endpoint, _]) = trusting();
    let rest = |response| rest_after(&policy, &endpoint, response);
    policy.record_unsolicited(&endpoint, millis(30));
    policy.record_unsolicited(&endpoint, millis(2));
    assert_eq!(rest(LastResponse::Other), millis(60));
    policy.record_unsolicited(&endpoint, millis(100));
    assert_eq!(rest(LastResponse::Rejection), millis(200));
}

#[test]
fn bytes_at_the_end_of_an_idle_connection_are_no_surplus_response() {
    let (policy, [endpoint, _]) = trusting();
    assert!(!policy.record_unsolicited(&endpoint, millis(5000)));
    assert_eq!(
        rest_after(&policy, &endpoint, LastResponse::Other),
        Duration::ZERO
    );
}
