//! Changes of settings, streamed requests and streamed responses.
mod common;
use balancer::*;
use common::*;

fn settings_event(base: &Settings, edit: impl FnOnce(&mut Settings)) -> Event {
    let mut settings = base.clone();
    edit(&mut settings);
    Event::Settings(Box::new(settings))
}

#[test]
fn a_request_keeps_its_idempotency_and_attempts_when_settings_change() {
    let base = settings(1);
    let mut harness = Harness::new(base.clone(), (1..5).map(endpoint).collect());
    harness.train(0, 40, |_| 20.0);
    // The class was idempotent on arrival: the request is retried, although its class no longer is.
    let first = forwarded(&harness.handle(request(1000, 0, 2000.0)));
    assert_eq!(first.len(), 1);
    harness.handle(settings_event(&base, |s| {
        s.classes[0].idempotency = Idempotency::NonIdempotent;
        s.limits.max_attempts = 1;
    }));
    assert_eq!(
        forwarded(&harness.handle(attempt_ended(1000, 0, 5.0, Outcome::Error))).len(),
        1,
        "retried according to the settings at its arrival"
    );
    // A request that arrives after the change and may have run with its first attempt fails.
    assert_eq!(
        forwarded(&harness.handle(request(1001, 0, 2000.0))).len(),
        1
    );
    assert_eq!(
        harness.handle(attempt_ended(1001, 0, 5.0, Outcome::Error)),
        [Action::Fail(RequestId(1001))]
    );
    // A request that never ran has no attempt left and is rejected.
    assert_eq!(
        forwarded(&harness.handle(request(1002, 0, 2000.0))).len(),
        1
    );
    let rejection = harness.handle(attempt_ended(1002, 0, 5.0, Outcome::Overloaded));
    assert_eq!(
        rejection,
        [Action::Reject {
            request: RequestId(1002),
            retry_after: None
        }]
    );
}

#[test]
fn settings_may_add_classes_and_tenants_but_not_renumber_them() {
    let base = settings(1);
    let mut harness = Harness::new(base.clone(), (1..5).map(endpoint).collect());
    harness.train(0, 40, |_| 20.0);
    harness.handle(settings_event(&base, |s| {
        s.classes.push(class(Idempotency::NonIdempotent, 500.0));
        s.tenants.push(Tenant {
            quota_per_second: 10.0,
        });
    }));
    assert_eq!(
        forwarded(&harness.handle(request(1000, 3, 900.0))).len(),
        1,
        "the new class is served"
    );
    harness.handle(attempt_ended(1000, 0, 20.0, Outcome::Served));
    harness.handle(settings_event(&base, |s| s.classes.truncate(1))); // would invalidate indices of requests
    assert_eq!(forwarded(&harness.handle(request(1001, 3, 900.0))).len(), 1);
    harness.advance(200.0);
}

#[test]
fn the_deadline_of_a_streamed_request_starts_with_its_complete_body() {
    let base = settings(1);
    let mut harness = Harness::new(base, vec![endpoint(1), endpoint(2)]);
    harness.train(0, 60, |_| 50.0);
    let Event::Request {
        id,
        class,
        tenant,
        key,
        timeout,
        expected_work,
        ..
    } = request(1000, 1, 2000.0)
    else {
        unreachable!("a request");
    };
    let streamed = Event::Request {
        id,
        class,
        tenant,
        key,
        timeout,
        expected_work,
        body_complete: false,
    };
    assert_eq!(forwarded(&harness.handle(streamed)).len(), 1);
    // However long the upload takes, the endpoint's health is not affected, and the request gets no final answer.
    assert_eq!(harness.advance(10_000.0), []);
    assert_eq!(
        harness.balancer.endpoint_counts(harness.now),
        EndpointCounts {
            listed: 2,
            ejected: 0
        }
    );
    harness.handle(Event::BodyComplete {
        id,
        timeout: 2000.0,
    });
    assert_eq!(final_answers(&harness.advance(1000.0)), 0);
    assert_eq!(
        final_answers(&harness.advance(300.0)),
        1,
        "the latency objective has passed since the body was complete"
    );
}

#[test]
fn a_request_with_a_discarded_body_is_rejected_if_it_never_ran() {
    let mut harness = Harness::new(settings(1), vec![endpoint(1), endpoint(2)]);
    harness.train(0, 60, |_| 50.0);
    assert_eq!(
        forwarded(&harness.handle(request(1000, 1, 2000.0))).len(),
        1
    );
    harness.handle(Event::BodyDiscarded(RequestId(1000)));
    let rejection = harness.handle(attempt_ended(1000, 0, 5.0, Outcome::ConnectFailed));
    assert_eq!(
        rejection,
        [Action::Reject {
            request: RequestId(1000),
            retry_after: None
        }]
    );
}

#[test]
fn a_slot_is_free_while_a_complete_response_is_transferred() {
    let mut harness = Harness::new(settings(1), vec![endpoint(1)]);
    harness.train(0, 60, |_| 50.0);
    harness.advance(300.0);
    let all: Vec<u64> = (0..40)
        .flat_map(|id| forwarded(&harness.handle(request(1000 + id, 1, 3000.0))))
        .map(|s| s.0)
        .collect();
    assert!(
        !all.is_empty() && all.len() < 40,
        "the endpoint's slots are occupied: {}",
        all.len()
    );
    let response_started = |id: u64, processing_done| Event::ResponseStarted {
        request: RequestId(id),
        attempt: 0,
        processing_done,
    };
    assert_eq!(
        forwarded(&harness.handle(response_started(all[0], false))).len(),
        0,
        "the endpoint is still processing: its slot is occupied"
    );
    assert_eq!(
        forwarded(&harness.handle(response_started(all[1], true))).len(),
        1,
        "processing has ended: the next request is forwarded"
    );
    // A client that reads slowly causes no ejection and no answer, and the end of the transfer releases no second slot.
    harness.handle(attempt_ended(all[1], 0, 900.0, Outcome::Served));
    assert_eq!(
        forwarded(&harness.handle(attempt_ended(all[1], 0, 900.0, Outcome::Served))).len(),
        0
    );
}
