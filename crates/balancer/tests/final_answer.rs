//! Final answers: exactly one per request, in time, with a Retry-After if settings allow it.
mod common;
use balancer::*;
use common::*;

#[test]
fn a_queued_request_is_answered_once() {
    // The entry in the queue remains after the answer and must not cause a second one.
    let mut harness = Harness::new(settings(1), vec![]);
    harness.handle(request(1, 1, 3000.0));
    let out = harness.advance(4000.0);
    assert_eq!(final_answers(&out), 1);
}

#[test]
fn a_request_in_flight_is_answered_just_before_its_latency_objective() {
    // An earlier answer would reject requests that may still be served in time.
    let mut harness = Harness::new(settings(1), vec![endpoint(1)]);
    assert_eq!(burst(&mut harness, 1, 1).len(), 1);
    assert_eq!(
        final_answers(&harness.advance(1190.0)),
        0,
        "the latency objective is 1200 ms"
    );
    assert_eq!(final_answers(&harness.advance(10.0)), 1);
}

#[test]
fn rejections_name_a_retry_after_if_settings_allow_it() {
    let retry_afters_of = |max, n| {
        let mut harness = Harness::new(
            Settings {
                max_retry_after: max,
                ..settings(1)
            },
            vec![endpoint(1)],
        );
        let mut out: Vec<Action> = (0..n)
            .flat_map(|id| harness.handle(request(id, 1, 1200.0)))
            .collect();
        out.extend(harness.advance(1200.0));
        let retry_after = |a: &Action| match a {
            Action::Reject { retry_after, .. } => Some(*retry_after),
            _ => None,
        };
        out.iter().filter_map(retry_after).collect::<Vec<_>>()
    };
    assert!(retry_afters_of(None, 20).iter().all(Option::is_none));
    let retry_afters: Vec<Millis> = retry_afters_of(Some(900.0), 20)
        .into_iter()
        .flatten()
        .collect();
    assert!(
        retry_afters.len() >= 10 && retry_afters.iter().all(|ms| (1.0..=900.0).contains(ms)),
        "{retry_afters:?}"
    );
    // A longer queue gives a longer Retry-After, up to the maximum.
    assert_eq!(retry_afters_of(Some(900.0), 200)[0], Some(900.0));
}

#[test]
fn rejections_beyond_the_process_share_name_different_retry_afters() {
    let retry_afters = |max_retry_after: Option<f64>| -> Vec<Option<f64>> {
        let mut balancer = Balancer::new(
            Settings {
                max_retry_after,
                ..settings(1)
            },
            1,
        );
        let mut out = Vec::new();
        for n in 0..50 {
            balancer.handle(
                0.0,
                Event::ProcessShareExceeded {
                    id: RequestId(n),
                    retry_after: 100.0,
                },
                &mut out,
            );
        }
        let retry_after = |a: &Action| match a {
            Action::Reject { retry_after, .. } => Some(*retry_after),
            _ => None,
        };
        out.iter().filter_map(retry_after).collect()
    };
    let retry_after_ms: Vec<f64> = retry_afters(Some(1000.0)).into_iter().flatten().collect();
    assert_eq!(retry_after_ms.len(), 50);
    assert!(
        retry_after_ms.iter().all(|ms| (100.0..200.0).contains(ms)),
        "{retry_after_ms:?}"
    );
    assert!(
        retry_after_ms.iter().any(|ms| *ms < 130.0) && retry_after_ms.iter().any(|ms| *ms > 170.0),
        "{retry_after_ms:?}"
    );
    assert!(
        retry_afters(Some(120.0))
            .iter()
            .flatten()
            .all(|ms| (60.0..120.0).contains(ms)),
        "at most the maximum Retry-After"
    );
    assert_eq!(retry_afters(None), [None; 50]);
}

/// Guards against a queued request that waits on although nobody would notice that its client has left.
#[test]
fn a_queued_request_without_memory_for_its_body_is_rejected_once() {
    let mut harness = Harness::new(settings(1), vec![]);
    harness.handle(request(1, 1, 3000.0));
    let out = harness.handle(Event::Unsent(RequestId(1)));
    assert!(matches!(out[..], [Action::Reject { request, .. }] if request == RequestId(1)));
    let mut later = harness.handle(Event::Unsent(RequestId(1)));
    later.extend(harness.advance(4000.0));
    assert_eq!(final_answers(&later), 0);
}

/// Guards against a refusal that is called a failure, although no attempt has sent a part of the request.
#[test]
fn a_request_without_memory_for_its_body_is_rejected_while_its_attempt_has_sent_nothing() {
    let mut harness = Harness::new(settings(1), vec![endpoint(1)]);
    assert_eq!(burst(&mut harness, 1, 1).len(), 1);
    let out = harness.handle(Event::Unsent(RequestId(1)));
    assert!(matches!(out[..], [Action::Reject { request, .. }] if request == RequestId(1)));
}

/// Guards against an attempt for a client that has left unseen, because its body is not received.
#[test]
fn no_attempt_begins_while_a_body_is_paused() {
    let mut harness = Harness::new(settings(1), vec![]);
    for id in 1..=3 {
        harness.handle(streamed_request(id, 1, 3000.0));
    }
    harness.handle(body_reception(1, Reception::Paused, 3000.0));
    harness.handle(body_reception(2, Reception::Paused, 3000.0));
    let mut out = harness.handle(full_update(vec![endpoint(1), endpoint(2)]));
    out.extend(harness.advance(50.0));
    let requests = |out: &[Action]| -> Vec<u64> { forwarded(out).iter().map(|f| f.0).collect() };
    assert_eq!(requests(&out), [3], "later requests are not delayed");
    let out = harness.handle(body_reception(1, Reception::Arriving, 3000.0));
    assert_eq!(requests(&out), [1]);
    let out = harness.advance(4000.0);
    assert!(
        out.iter().any(|action| matches!(
            action,
            Action::Reject { request, .. } if *request == RequestId(2)
        )),
        "a request whose body stays paused is rejected in time"
    );
}

/// Guards against a refusal of a request whose client still sends its body, so that its time has not begun.
#[test]
fn the_time_of_a_queued_request_counts_from_the_last_byte_of_its_body() {
    const TRANSFER_TIME: Millis = 10_000.0;
    let mut harness = Harness::new(settings(1), vec![]);
    harness.handle(streamed_request(1, 1, 3000.0));
    let event = body_reception(1, Reception::Arriving, 2.0 * TRANSFER_TIME);
    let mut out = harness.handle(event);
    out.extend(harness.advance(TRANSFER_TIME));
    out.extend(harness.handle(body_reception(1, Reception::Received, 3000.0)));
    out.extend(harness.advance(1000.0));
    assert_eq!(final_answers(&out), 0, "the latency objective is 1200 ms");
    assert_eq!(final_answers(&harness.advance(1000.0)), 1);
}

/// Guards against a request that comes after all others because its body took longer than its latency objective.
#[test]
fn a_request_whose_body_took_long_has_the_priority_of_a_new_one() {
    const TRANSFER_TIME: Millis = 10_000.0;
    for (reception, timeout) in [
        (Reception::Arriving, TRANSFER_TIME),
        (Reception::Received, 3000.0),
    ] {
        let mut harness = Harness::new(settings(1), vec![]);
        harness.handle(streamed_request(1, 0, 3000.0));
        harness.handle(body_reception(1, Reception::Arriving, 2.0 * TRANSFER_TIME));
        harness.advance(TRANSFER_TIME);
        harness.handle(body_reception(1, reception, timeout));
        harness.handle(request(2, 1, 3000.0)); // fresh, and less urgent by its longer objective
        let out = harness.handle(full_update(vec![endpoint(1)]));
        let first = forwarded(&out).first().map(|forward| forward.0);
        assert_eq!(first, Some(1), "{reception:?}");
    }
}

/// Returns the actions up to the time of the answer to a request with an attempt, after these reports of its response.
fn actions_for_arriving_response(reports: &[bool]) -> Vec<Action> {
    let mut harness = Harness::new(settings(1), vec![endpoint(1)]);
    assert_eq!(burst(&mut harness, 1, 1).len(), 1);
    for progressing in reports {
        harness.handle(Event::ResponseArriving {
            request: RequestId(1),
            attempt: 0,
            progressing: *progressing,
        });
    }
    harness.advance(1200.0)
}

/// Guards against an answer that cuts off a response which its endpoint is still writing.
#[test]
fn a_response_that_is_arriving_is_passed_on_when_its_answer_is_due() {
    let out = actions_for_arriving_response(&[true]);
    let stream = Action::StreamResponse {
        request: RequestId(1),
        attempt: 0,
    };
    assert!(out.contains(&stream), "{out:?}");
    assert_eq!(final_answers(&out), 0);
}

/// Guards against a response whose beginning is late because the process was held up a little before it was due.
#[test]
fn a_response_that_is_arriving_is_passed_on_some_time_before_its_answer_is_due() {
    const MIN_LEAD: Millis = 30.0;
    let mut harness = Harness::new(settings(1), vec![endpoint(1)]);
    assert_eq!(burst(&mut harness, 1, 1).len(), 1);
    harness.handle(Event::ResponseArriving {
        request: RequestId(1),
        attempt: 0,
        progressing: true,
    });
    let out = harness.advance(1200.0 - MIN_LEAD);
    let is_stream = |action: &Action| matches!(action, Action::StreamResponse { .. });
    assert!(out.iter().any(is_stream), "{out:?}");
}

/// Guards against a request without an answer in time, because its endpoint has stopped writing.
#[test]
fn a_response_that_has_stopped_is_replaced_by_an_answer() {
    let out = actions_for_arriving_response(&[true, false]);
    assert_eq!(final_answers(&out), 1);
}
