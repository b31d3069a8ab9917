//! Endpoint list: drains, restarts and invalid entries.
mod common;
use balancer::*;
use common::*;

#[test]
fn a_restart_listed_twice_keeps_its_slow_start() {
    // A repeated entry with the same start time must not end the slow start.
    let restarted = Endpoint {
        started_at: Some(1000.0),
        ..endpoint(1)
    };
    let mut harness = Harness::new(settings(8), vec![endpoint(1)]);
    harness.handle(Event::EndpointUpdate {
        scope: UpdateScope::Delta,
        endpoints: vec![restarted.clone(), restarted],
    });
    let sent = burst(&mut harness, 0, 20);
    assert!(
        sent.is_empty(),
        "one of eight proxies has no budget yet for a warming endpoint: {sent:?}"
    );
}

#[test]
fn a_draining_endpoint_gets_no_requests_and_the_proxy_answers_them() {
    let mut harness = Harness::new(settings(1), vec![endpoint(1)]);
    harness.handle(Event::EndpointUpdate {
        scope: UpdateScope::Delta,
        endpoints: vec![Endpoint {
            state: EndpointState::Draining,
            ..endpoint(1)
        }],
    });
    let mut out = harness.handle(request(1, 1, 3000.0));
    out.extend(harness.advance(3000.0));
    assert!(forwarded(&out).is_empty());
    assert_eq!(final_answers(&out), 1);
}

#[test]
fn invalid_weights_cause_no_extra_answers() {
    let with_weight = |weight| Endpoint {
        weight,
        ..endpoint(3)
    };
    for weight in [0.0, -1.0, f64::NAN, f64::INFINITY, 1e300] {
        let mut harness = Harness::new(settings(3), vec![with_weight(weight), endpoint(4)]);
        burst(&mut harness, 0, 9);
        let out = harness.advance(4000.0);
        assert!(final_answers(&out) <= 9);
    }
}
