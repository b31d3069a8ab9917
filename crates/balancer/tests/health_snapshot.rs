//! Health snapshots: ejections and slow start budgets are restored in the next instance, except for endpoints whose
//! process has been replaced in the meantime.
mod common;
use balancer::*;
use common::*;

const SECOND: u64 = 2;

fn endpoints(process_start: Option<Millis>) -> Vec<Endpoint> {
    (1..5)
        .map(|id| {
            if id == SECOND {
                Endpoint {
                    started_at: process_start,
                    ..endpoint(id)
                }
            } else {
                endpoint(id)
            }
        })
        .collect()
}

/// Starts an instance at a time, with an endpoint list and optionally the snapshot of another instance.
fn next_instance(
    now: Millis,
    list: Vec<Endpoint>,
    snapshot: Option<HealthSnapshot>,
    proxies: u32,
) -> Harness {
    let mut harness = Harness::new(settings(proxies), Vec::new());
    harness.advance(now - harness.now);
    harness.handle(full_update(list));
    if let Some(snapshot) = snapshot {
        harness.handle(Event::HealthRestored(Box::new(snapshot)));
    }
    harness
}

/// Sends `count` requests one after the other; returns the number of attempts at the second endpoint.
fn attempts_at_second(harness: &mut Harness, count: u64) -> usize {
    let mut attempts = 0;
    for id in 5000..5000 + count {
        let sent = forwarded(&harness.handle(request(id, 0, 2000.0)));
        attempts += sent.iter().filter(|(_, to)| *to == SECOND).count();
        harness.handle(attempt_ended(id, 0, 20.0, Outcome::Served));
    }
    attempts
}

/// Returns an instance that has ejected the second endpoint.
fn with_second_ejected() -> Harness {
    let mut harness = Harness::new(settings(1), endpoints(None));
    harness.train(0, 40, |_| 20.0);
    for id in 1000..1200 {
        let sent = forwarded(&harness.handle(request(id, 0, 2000.0)));
        if sent.iter().any(|(_, to)| *to == SECOND) {
            harness.handle(attempt_ended(id, 0, 5.0, Outcome::ConnectFailed));
            return harness;
        }
        harness.handle(attempt_ended(id, 0, 20.0, Outcome::Served));
    }
    panic!("no attempt was forwarded to the second endpoint");
}

#[test]
fn an_ejection_is_restored_in_the_next_instance() {
    let before = with_second_ejected();
    let (now, snapshot) = (before.now, before.balancer.health_snapshot(before.now));
    let second = snapshot
        .endpoints
        .iter()
        .find(|s| s.id == EndpointId(SECOND))
        .expect("the snapshot contains the endpoint");
    assert!(
        second
            .overall
            .is_some_and(|e| e.ejected_until > now && e.on_probation),
        "{second:?}"
    );
    assert_eq!(
        attempts_at_second(
            &mut next_instance(now, endpoints(None), Some(snapshot.clone()), 1),
            40
        ),
        0
    );
    assert!(
        attempts_at_second(&mut next_instance(now, endpoints(None), None, 1), 40) > 0,
        "without a snapshot the endpoint gets requests"
    );
    // A snapshot that is restored and taken again without any requests stays the same.
    let unused = next_instance(now, endpoints(None), Some(snapshot.clone()), 1);
    assert_eq!(unused.balancer.health_snapshot(now), snapshot);
    // A new process of the same endpoint has no ejection.
    let restarted = next_instance(now, endpoints(Some(now - 1e6)), Some(snapshot.clone()), 1);
    let restarted_snapshot = restarted.balancer.health_snapshot(now);
    assert!(
        restarted_snapshot
            .endpoints
            .iter()
            .all(|s| s.overall.is_none()),
        "{restarted_snapshot:?}"
    );
    // An endpoint that is no longer listed is ignored.
    let fewer = endpoints(None)
        .into_iter()
        .filter(|s| s.id != EndpointId(SECOND))
        .collect();
    assert_eq!(
        next_instance(now, fewer, Some(snapshot), 1)
            .balancer
            .health_snapshot(now)
            .endpoints,
        []
    );
}

#[test]
fn a_slow_start_budget_is_restored_in_the_next_instance() {
    let warming = endpoints(Some(1000.0));
    let mut first = next_instance(1000.0, warming.clone(), None, 1);
    first.advance(200.0);
    attempts_at_second(&mut first, 400);
    let (now, snapshot) = (first.now, first.balancer.health_snapshot(first.now));
    let budget = snapshot
        .endpoints
        .iter()
        .find_map(|s| s.slow_start)
        .expect("the endpoint is warming up");
    assert!(budget.tokens < 1.0, "the budget has been spent: {budget:?}");
    assert_eq!(
        attempts_at_second(
            &mut next_instance(now, warming.clone(), Some(snapshot.clone()), 1),
            100
        ),
        0,
        "the restored endpoint has no additional budget"
    );
    // With twice as many proxies, the instance has half of the remaining budget.
    let among_two = next_instance(now, warming.clone(), Some(snapshot.clone()), 2)
        .balancer
        .health_snapshot(now);
    let restored_budget = among_two
        .endpoints
        .iter()
        .find_map(|s| s.slow_start)
        .expect("the endpoint is warming up");
    assert!(
        (restored_budget.tokens - budget.tokens / 2.0).abs() < 1e-9,
        "{restored_budget:?}, {budget:?}"
    );
    // After the warm-up, a snapshot has no entry for the endpoint.
    let mut later = next_instance(now, warming, Some(snapshot), 1);
    later.advance(20_000.0);
    assert_eq!(later.balancer.health_snapshot(later.now).endpoints, []);
}
