//! What a module knew of servers goes over to the next one, and nothing of a server that is another process by then.
mod common;
use balancer::*;
use common::*;

const SECOND: u64 = 2;

fn servers(since: Option<Millis>) -> Vec<Endpoint> {
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

/// A new module at that time, told a list and what another one knew.
fn next(now: Millis, list: Vec<Endpoint>, known: Option<HealthSnapshot>, proxies: u32) -> Harness {
    let mut harness = Harness::new(settings(proxies), Vec::new());
    harness.advance(now - harness.now);
    harness.handle(full_update(list));
    if let Some(known) = known {
        harness.handle(Event::HealthRestored(Box::new(known)));
    }
    harness
}

/// Of so many requests one after the other, how many go to the second server.
fn to_second(harness: &mut Harness, many: u64) -> usize {
    let mut hits = 0;
    for id in 5000..5000 + many {
        let sent = forwarded(&harness.handle(request(id, 0, 2000.0)));
        hits += sent.iter().filter(|(_, to)| *to == SECOND).count();
        harness.handle(attempt_ended(id, 0, 20.0, Outcome::Served));
    }
    hits
}

/// A module that has closed the second server.
fn closed() -> Harness {
    let mut harness = Harness::new(settings(1), servers(None));
    harness.train(0, 40, |_| 20.0);
    for id in 1000..1200 {
        let sent = forwarded(&harness.handle(request(id, 0, 2000.0)));
        if sent.iter().any(|(_, to)| *to == SECOND) {
            harness.handle(attempt_ended(id, 0, 5.0, Outcome::ConnectFailed));
            return harness;
        }
        harness.handle(attempt_ended(id, 0, 20.0, Outcome::Served));
    }
    panic!("the second server was never asked");
}

#[test]
fn an_ejection_is_restored_in_the_next_instance() {
    let before = closed();
    let (now, known) = (before.now, before.balancer.health_snapshot(before.now));
    let second = known
        .endpoints
        .iter()
        .find(|s| s.id == EndpointId(SECOND))
        .expect("something is known of it");
    assert!(
        second
            .overall
            .is_some_and(|e| e.ejected_until > now && e.on_probation),
        "{second:?}"
    );
    assert_eq!(
        to_second(&mut next(now, servers(None), Some(known.clone()), 1), 40),
        0
    );
    assert!(
        to_second(&mut next(now, servers(None), None, 1), 40) > 0,
        "without it is like the others"
    );
    // Handed on unused it is the same.
    let again = next(now, servers(None), Some(known.clone()), 1);
    assert_eq!(again.balancer.health_snapshot(now), known);
    // Another process under the same name: nothing is held against it.
    let restarted = next(now, servers(Some(now - 1e6)), Some(known.clone()), 1);
    let of_it = restarted.balancer.health_snapshot(now);
    assert!(
        of_it.endpoints.iter().all(|s| s.overall.is_none()),
        "{of_it:?}"
    );
    // One that is gone by then is no server.
    let fewer = servers(None)
        .into_iter()
        .filter(|s| s.id != EndpointId(SECOND))
        .collect();
    assert_eq!(
        next(now, fewer, Some(known), 1)
            .balancer
            .health_snapshot(now)
            .endpoints,
        []
    );
}

#[test]
fn a_slow_start_budget_is_restored_in_the_next_instance() {
    let cold = servers(Some(1000.0));
    let mut first = next(1000.0, cold.clone(), None, 1);
    first.advance(200.0);
    to_second(&mut first, 400);
    let (now, known) = (first.now, first.balancer.health_snapshot(first.now));
    let budget = known
        .endpoints
        .iter()
        .find_map(|s| s.slow_start)
        .expect("it is cold");
    assert!(budget.tokens < 1.0, "it has been used up: {budget:?}");
    assert_eq!(
        to_second(&mut next(now, cold.clone(), Some(known.clone()), 1), 100),
        0,
        "no second budget"
    );
    // Among twice as many proxies it has half of what was left.
    let among_two = next(now, cold.clone(), Some(known.clone()), 2)
        .balancer
        .health_snapshot(now);
    let part = among_two
        .endpoints
        .iter()
        .find_map(|s| s.slow_start)
        .expect("it is cold");
    assert!(
        (part.tokens - budget.tokens / 2.0).abs() < 1e-9,
        "{part:?}, {budget:?}"
    );
    // It is warm in time all the same, and then there is nothing to say of it.
    let mut later = next(now, cold, Some(known), 1);
    later.advance(20_000.0);
    assert_eq!(later.balancer.health_snapshot(later.now).endpoints, []);
}
