//! Retries if responses get lost.
mod common;
use balancer::*;
use common::*;

#[test]
fn idempotent_requests_are_retried_in_time_where_responses_get_lost() {
    let mut harness = Harness::new(settings(1), (1..=4).map(endpoint).collect());
    harness.train(0, 200, |_| 20.0);
    let timeout = |actions: &[Action]| match actions {
        [Action::Forward { timeout, .. }] => *timeout,
        _ => None,
    };
    let sent = harness.handle(request(1000, 0, 2000.0));
    assert!(
        forwarded(&sent).len() == 1 && timeout(&sent).is_none(),
        "one attempt without an early timeout while no responses get lost: {sent:?}"
    );
    harness.handle(attempt_ended(1000, 0, 20.0, Outcome::Served));
    for id in 1001..1021 {
        harness.handle(request(id, 0, 2000.0));
        harness.advance(2000.0);
        harness.handle(attempt_ended(id, 0, 2000.0, Outcome::TimedOut));
        harness.advance(500.0);
    }
    let mut retried = 0;
    for id in 2000..2400 {
        let sent = harness.handle(request(id, 0, 2000.0));
        let Some(early_timeout) = timeout(&sent).filter(|_| id % 10 == 0) else {
            harness.advance(20.0);
            harness.handle(attempt_ended(id, 0, 20.0, Outcome::Served));
            continue;
        };
        assert!(
            early_timeout < 400.0,
            "the early timeout is at most half the latency objective: {early_timeout}"
        );
        harness.advance(early_timeout);
        let retry = harness.handle(attempt_ended(id, 0, early_timeout, Outcome::TimedOut));
        retried += forwarded(&retry)
            .iter()
            .filter(|s| s.0 == id && s.1 != forwarded(&sent)[0].1)
            .count();
        harness.handle(attempt_ended(id, 1, 20.0, Outcome::Served));
    }
    assert!(
        retried >= 30,
        "{retried} of 40 requests were retried immediately at another endpoint"
    );
    let sent = harness.handle(request(3000, 1, 3000.0));
    assert!(
        forwarded(&sent).len() == 1 && timeout(&sent).is_none(),
        "one attempt without an early timeout for a non-idempotent request: {sent:?}"
    );
}
