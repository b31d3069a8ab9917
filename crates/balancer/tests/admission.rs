//! Admission: requests that are rejected on arrival.
mod common;
use common::*;

#[test]
fn a_request_too_near_its_deadline_is_answered_at_once() {
    // The next tick could follow after the deadline.
    let mut harness = Harness::new(settings(1), vec![endpoint(1)]);
    assert_eq!(final_answers(&harness.handle(request(1, 0, 15.0))), 1);
}

#[test]
fn an_idempotent_request_behind_a_long_queue_is_rejected_on_arrival() {
    let mut harness = Harness::new(settings(100), (0..24).map(endpoint).collect());
    harness.train(0, 50, |_| 60.0);
    let count_rejected = |harness: &mut Harness, first: u64, n: u64, class| {
        (first..first + n)
            .map(|id| final_answers(&harness.handle(request(id, class, 3000.0))))
            .sum::<usize>()
    };
    // Four requests are in flight for 60 ms each, so about 27 are forwarded within half the latency objective of 800
    // ms.
    let rejected = count_rejected(&mut harness, 1000, 60, 0);
    assert!(
        (20..=40).contains(&rejected),
        "{rejected} of 60 idempotent requests were rejected"
    );
    assert_eq!(
        count_rejected(&mut harness, 2000, 10, 1),
        0,
        "non-idempotent requests must be queued"
    );
}
