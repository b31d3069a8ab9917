//! What operators change under way: settings, and requests and answers too large to be kept.
mod common;
use balancer::*;
use common::*;

fn change(base: &Settings, edit: impl FnOnce(&mut Settings)) -> Event {
    let mut settings = base.clone();
    edit(&mut settings);
    Event::Settings(Box::new(settings))
}

#[test]
fn a_request_keeps_the_effect_and_the_attempts_that_it_came_under() {
    let base = settings(1);
    let mut hand = Hand::new(base.clone(), (1..5).map(server).collect());
    hand.train(0, 40, |_| 20.0);
    // Safe when it came: it goes again, though its class must not run twice by now.
    let first = sends(&hand.give(request(1000, 0, 2000.0)));
    assert_eq!(first.len(), 1);
    hand.give(change(&base, |s| {
        s.classes[0].idempotency = Idempotency::NonIdempotent;
        s.limits.max_attempts = 1;
    }));
    assert_eq!(
        sends(&hand.give(ended(1000, 0, 5.0, Outcome::Error))).len(),
        1,
        "as it began"
    );
    // One that comes now may have run with its first attempt, and is failed.
    assert_eq!(sends(&hand.give(request(1001, 0, 2000.0))).len(), 1);
    assert_eq!(
        hand.give(ended(1001, 0, 5.0, Outcome::Error)),
        [Action::Fail(RequestId(1001))]
    );
    // And one that surely never ran has no attempt left: it is refused.
    assert_eq!(sends(&hand.give(request(1002, 0, 2000.0))).len(), 1);
    let refused = hand.give(ended(1002, 0, 5.0, Outcome::Overloaded));
    assert_eq!(
        refused,
        [Action::Reject {
            request: RequestId(1002),
            retry_after: None
        }]
    );
}

#[test]
fn classes_and_tenants_may_come_and_what_would_renumber_them_is_not_taken() {
    let base = settings(1);
    let mut hand = Hand::new(base.clone(), (1..5).map(server).collect());
    hand.train(0, 40, |_| 20.0);
    hand.give(change(&base, |s| {
        s.classes.push(class(Idempotency::NonIdempotent, 500.0));
        s.tenants.push(Tenant {
            quota_per_second: 10.0,
        });
    }));
    assert_eq!(
        sends(&hand.give(request(1000, 3, 900.0))).len(),
        1,
        "the new class is served"
    );
    hand.give(ended(1000, 0, 20.0, Outcome::Served));
    hand.give(change(&base, |s| s.classes.truncate(1))); // would leave the others without a meaning
    assert_eq!(sends(&hand.give(request(1001, 3, 900.0))).len(), 1);
    hand.pass(200.0);
}

#[test]
fn time_begins_when_a_request_that_streams_in_has_gone_out() {
    let base = settings(1);
    let mut hand = Hand::new(base, vec![server(1), server(2)]);
    hand.train(0, 60, |_| 50.0);
    let Event::Request {
        id,
        class,
        tenant,
        key,
        timeout: budget,
        expected_work: hint,
        ..
    } = request(1000, 1, 2000.0)
    else {
        unreachable!("a request");
    };
    let streams = Event::Request {
        id,
        class,
        tenant,
        key,
        timeout: budget,
        expected_work: hint,
        body_complete: false,
    };
    assert_eq!(sends(&hand.give(streams)).len(), 1);
    // However long its client takes: no server is blamed, and it is not given up.
    assert_eq!(hand.pass(10_000.0), []);
    assert_eq!(hand.balancer.fleet(hand.now), (2, 0));
    hand.give(Event::BodyComplete {
        id,
        timeout: 2000.0,
    });
    assert_eq!(refused_or_failed(&hand.pass(1000.0)), 0);
    assert_eq!(
        refused_or_failed(&hand.pass(300.0)),
        1,
        "now its aim is past"
    );
}

#[test]
fn what_can_not_be_sent_again_is_refused_where_it_surely_did_not_run() {
    let mut hand = Hand::new(settings(1), vec![server(1), server(2)]);
    hand.train(0, 60, |_| 50.0);
    assert_eq!(sends(&hand.give(request(1000, 1, 2000.0))).len(), 1);
    hand.give(Event::BodyDiscarded(RequestId(1000)));
    let refused = hand.give(ended(1000, 0, 5.0, Outcome::ConnectFailed));
    assert_eq!(
        refused,
        [Action::Reject {
            request: RequestId(1000),
            retry_after: None
        }]
    );
}

#[test]
fn a_server_that_has_done_its_work_is_free_while_its_answer_is_read() {
    let mut hand = Hand::new(settings(1), vec![server(1)]);
    hand.train(0, 60, |_| 50.0);
    hand.pass(300.0);
    let all: Vec<u64> = (0..40)
        .flat_map(|id| sends(&hand.give(request(1000 + id, 1, 3000.0))))
        .map(|s| s.0)
        .collect();
    assert!(
        !all.is_empty() && all.len() < 40,
        "its slots are taken: {}",
        all.len()
    );
    let begun = |id: u64, worked| Event::ResponseStarted {
        request: RequestId(id),
        attempt: 0,
        processing_done: worked,
    };
    assert_eq!(
        sends(&hand.give(begun(all[0], false))).len(),
        0,
        "a stream that is still being made"
    );
    assert_eq!(
        sends(&hand.give(begun(all[1], true))).len(),
        1,
        "the next one goes"
    );
    // A slow reader: nothing is given up, and the end brings no second slot.
    hand.give(ended(all[1], 0, 900.0, Outcome::Served));
    assert_eq!(
        sends(&hand.give(ended(all[1], 0, 900.0, Outcome::Served))).len(),
        0
    );
}

fn refused_or_failed(actions: &[Action]) -> usize {
    actions
        .iter()
        .filter(|a| matches!(a, Action::Reject { .. } | Action::Fail(_)))
        .count()
}
