//! Health snapshots: ejections and slow start budgets are restored in the next instance, except for endpoints whose
//! process is another one by then.
mod common;
use balancer::*;
use common::*;

const SECOND: u64 = 2;

fn endpoints(since: Option<Millis>) -> Vec<Endpoint> {
    (1..5)
        .map(|id| {
            if id == SECOND {
                Endpoint {
                    started_at: since,
                    ..endpoint(id)
                }
            } else {
                endpoint(id)
            }
        })
        .collect()
}

/// Starts an instance at a time, with a list and a snapshot of another one.
fn next_instance(
    now: Millis,
    list: Vec<Endpoint>,
    known: Option<HealthSnapshot>,
    proxies: u32,
) -> Harness {
    let mut harness = Harness::new(settings(proxies), Vec::new());
    harness.advance(now - harness.now);
    harness.handle(full_update(list));
    if let Some(known) = known {
        harness.handle(Event::HealthRestored(Box::new(known)));
    }
    harness
}

/// Counts the attempts at the second endpoint, of so many requests one after the other.
fn attempts_at_second(harness: &mut Harness, many: u64) -> usize {
    let mut hits = 0;
    for id in 5000..5000 + many {
        let sent = forwarded(&harness.handle(request(id, 0, 2000.0)));
        hits += sent.iter().filter(|(_, to)| *to == SECOND).count();
        harness.handle(attempt_ended(id, 0, 20.0, Outcome::Served));
    }
    hits
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
    let (now, known) = (before.now, before.balancer.health_snapshot(before.now));
    let second = known
        .endpoints
        .iter()
        .find(|s| s.id == EndpointId(SECOND))
        .expect("the snapshot names it");
    assert!(
        second
            .overall
            .is_some_and(|e| e.ejected_until > now && e.on_probation),
        "{second:?}"
    );
    assert_eq!(
        attempts_at_second(
            &mut next_instance(now, endpoints(None), Some(known.clone()), 1),
            40
        ),
        0
    );
    assert!(
        attempts_at_second(&mut next_instance(now, endpoints(None), None, 1), 40) > 0,
        "without it is like the others"
    );
    // An unused snapshot stays the same.
    let again = next_instance(now, endpoints(None), Some(known.clone()), 1);
    assert_eq!(again.balancer.health_snapshot(now), known);
    // Another process under the same name has no ejection.
    let restarted = next_instance(now, endpoints(Some(now - 1e6)), Some(known.clone()), 1);
    let of_it = restarted.balancer.health_snapshot(now);
    assert!(
        of_it.endpoints.iter().all(|s| s.overall.is_none()),
        "{of_it:?}"
    );
    // An endpoint that is not listed by then is left out.
    let fewer = endpoints(None)
        .into_iter()
        .filter(|s| s.id != EndpointId(SECOND))
        .collect();
    assert_eq!(
        next_instance(now, fewer, Some(known), 1)
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
    let (now, known) = (first.now, first.balancer.health_snapshot(first.now));
    let budget = known
        .endpoints
        .iter()
        .find_map(|s| s.slow_start)
        .expect("it is warming up");
    assert!(budget.tokens < 1.0, "it has been spent: {budget:?}");
    assert_eq!(
        attempts_at_second(
            &mut next_instance(now, warming.clone(), Some(known.clone()), 1),
            100
        ),
        0,
        "no second budget"
    );
    // Among twice as many proxies it has half of the remaining budget.
    let among_two = next_instance(now, warming.clone(), Some(known.clone()), 2)
        .balancer
        .health_snapshot(now);
    let part = among_two
        .endpoints
        .iter()
        .find_map(|s| s.slow_start)
        .expect("it is warming up");
    assert!(
        (part.tokens - budget.tokens / 2.0).abs() < 1e-9,
        "{part:?}, {budget:?}"
    );
    // It still warms up in time, and then there is nothing to keep.
    let mut later = next_instance(now, warming, Some(known), 1);
    later.advance(20_000.0);
    assert_eq!(later.balancer.health_snapshot(later.now).endpoints, []);
}
