//! Outlier detection: failing and hanging endpoints are ejected, others are not.
mod common;
use balancer::*;
use common::*;

/// Like `Harness::train`, but with requests of one class.
fn train_class(harness: &mut Harness, class: usize, first: u64, count: u64, latency: Millis) {
    for id in first..first + count {
        let sent = forwarded(&harness.handle(request(id, class, 2000.0)));
        assert_eq!(sent.len(), 1, "an idle endpoint gets the request");
        harness.advance(latency);
        harness.handle(attempt_ended(id, 0, latency, Outcome::Served));
    }
}

/// Sends `steps` requests, one every 60 ms. Endpoints below `dead` refuse connections immediately; the others respond
/// in 30 ms. Returns the number of attempts at dead endpoints and the number of requests that were not served.
fn requests_past_dead_endpoints(
    harness: &mut Harness,
    first: u64,
    steps: u64,
    dead: u64,
) -> (usize, usize) {
    let (mut failed, mut unserved) = (0, 0);
    for id in first..first + steps {
        let mut sent = forwarded(&harness.handle(request(id, 0, 2000.0)));
        let mut attempt = 0;
        while let Some(&(_, to)) = sent.first() {
            let (latency, outcome) = if to < dead {
                (0.1, Outcome::ConnectFailed)
            } else {
                (30.0, Outcome::Served)
            };
            failed += usize::from(to < dead);
            harness.advance(latency);
            sent = forwarded(&harness.handle(attempt_ended(id, attempt, latency, outcome)));
            attempt += 1;
            unserved += usize::from(to < dead && sent.is_empty());
        }
        harness.advance(30.0);
    }
    (failed, unserved)
}

#[test]
fn a_hanging_endpoint_is_ejected() {
    let mut harness = Harness::new(settings(1), vec![endpoint(1), endpoint(2)]);
    harness.train(0, 60, |_| 50.0);
    let stuck = burst(&mut harness, 1000, 8);
    let stuck_at_first: Vec<u64> = stuck.iter().filter(|s| s.1 == 1).map(|s| s.0).collect();
    assert!(!stuck_at_first.is_empty());
    harness.advance(100.0);
    let mut later = vec![];
    for (id, _) in stuck.iter().filter(|s| s.1 == 2) {
        later.extend(forwarded(&harness.handle(attempt_ended(
            *id,
            0,
            100.0,
            Outcome::Served,
        ))));
    }
    harness.advance(500.0);
    later.extend(burst(&mut harness, 2000, 2));
    assert!(
        later.iter().all(|s| s.1 != 1),
        "still forwarded to the hanging endpoint: {later:?}"
    );
}

#[test]
fn an_endpoint_that_fails_fast_is_ejected() {
    let mut harness = Harness::new(settings(1), vec![endpoint(1), endpoint(2)]);
    harness.train(0, 40, |_| 50.0);
    let mut failed = 0;
    for id in 1000..1060 {
        let sent = forwarded(&harness.handle(request(id, 1, 3000.0)));
        let Some(&(_, to)) = sent.first() else {
            continue;
        };
        harness.advance(2.0);
        failed += u32::from(to == 1);
        harness.handle(attempt_ended(
            id,
            0,
            2.0,
            if to == 1 {
                Outcome::Error
            } else {
                Outcome::Served
            },
        ));
    }
    assert!(
        (2..8).contains(&failed),
        "{failed} of 60 requests went to the failing endpoint"
    );
}

#[test]
fn panic_does_not_open_overloaded_endpoints() {
    // During a panic, ejections are ignored, except those for overload.
    let mut harness = Harness::new(settings(1), (0..4).map(endpoint).collect());
    harness.train(0, 40, |_| 50.0);
    let mut attempts = 0;
    for id in 1000..1200 {
        let mut sent = forwarded(&harness.handle(request(id, 0, 2000.0)));
        let mut attempt = 0;
        while let Some((of, _)) = sent.pop() {
            attempts += 1;
            let out = harness.handle(attempt_ended(of, attempt, 1.0, Outcome::Overloaded));
            attempt += 1;
            sent = forwarded(&out);
            if sent.first().is_some_and(|s| s.0 != of) {
                break;
            }
        }
        harness.advance(5.0);
    }
    assert!(
        attempts < 60,
        "{attempts} attempts within a second at four overloaded endpoints"
    );
}

#[test]
fn an_endpoint_that_ignores_one_class_keeps_the_others() {
    // Each ignored request occupies a slot that requests of other classes could use.
    let mut harness = Harness::new(settings(1), vec![endpoint(1), endpoint(2)]);
    harness.train(0, 60, |_| 50.0);
    train_class(&mut harness, 2, 100, 20, 50.0);
    harness.advance(300.0);
    // Endpoint 1 serves class 0 and ignores class 2; endpoint 2 serves all classes. Without health per class, 7
    // requests are lost.
    let (mut lost, mut other, mut out) = (0, 0, vec![]);
    for id in 1000..1400 {
        let class = if id % 2 == 0 { 2 } else { 0 };
        out.extend(forwarded(&harness.handle(request(id, class, 2000.0))));
        out.extend(forwarded(&harness.advance(50.0)));
        for (id, to) in std::mem::take(&mut out) {
            let ignored = to == 1 && id % 2 == 0;
            lost += usize::from(ignored && id >= 1100);
            other += usize::from(to == 1 && id % 2 == 1 && id >= 1100);
            if !ignored {
                harness.handle(attempt_ended(id, 0, 50.0, Outcome::Served));
            }
        }
    }
    assert!(
        lost <= 5,
        "{lost} of 150 requests were still forwarded to the endpoint that ignores their class"
    );
    assert!(
        other >= 20,
        "only {other} of 150 requests of the other class were forwarded to that endpoint"
    );
}

#[test]
fn failures_common_to_all_endpoints_eject_none() {
    // A fraction of all connections is reset, regardless of the endpoint.
    let mut harness = Harness::new(settings(1), (1..=9).map(endpoint).collect());
    harness.train(0, 200, |_| 40.0);
    let mut queued = 0;
    for id in 1000..3000 {
        let mut sent = forwarded(&harness.handle(request(id, 1, 3000.0)));
        queued += usize::from(sent.is_empty());
        harness.advance(20.0);
        while let Some((of, _)) = sent.pop() {
            let outcome = if of % 8 == 3 {
                Outcome::Reset
            } else {
                Outcome::Served
            };
            sent = forwarded(&harness.handle(attempt_ended(of, 0, 20.0, outcome)));
        }
    }
    assert!(
        queued < 20,
        "{queued} of 2000 requests were queued, although only one at a time is in flight at nine endpoints"
    );
}

#[test]
fn a_failing_endpoint_is_ejected_amid_common_failures() {
    let mut harness = Harness::new(settings(1), (1..=9).map(endpoint).collect());
    harness.train(0, 200, |_| 40.0);
    let (mut at_failing, mut others) = (0, 0);
    for id in 1000..3000 {
        let sent = forwarded(&harness.handle(request(id, 1, 3000.0)));
        harness.advance(20.0);
        let Some(&(_, to)) = sent.first() else {
            continue;
        };
        if id >= 2000 {
            (at_failing, others) = if to == 1 {
                (at_failing + 1, others)
            } else {
                (at_failing, others + 1)
            };
        }
        let failing = to == 1 && id >= 2000 || id % 8 == 3;
        harness.handle(attempt_ended(
            id,
            0,
            20.0,
            if failing {
                Outcome::Reset
            } else {
                Outcome::Served
            },
        ));
    }
    assert!(
        at_failing < 20 && others > 900,
        "{at_failing} of 1000 requests went to the failing endpoint, {others} to others"
    );
}

#[test]
fn responses_lost_at_all_endpoints_show_no_hang() {
    let slow = |id| Endpoint {
        machine_type: Some(MachineTypeId(1)),
        ..endpoint(id)
    };
    let list = (1..=4).map(endpoint).chain((5..=8).map(slow)).collect();
    let classes = vec![class(Idempotency::Idempotent, 100.0); 2];
    let mut harness = Harness::new(
        Settings {
            classes,
            ..settings(1)
        },
        list,
    );
    let count = std::cell::Cell::new(0);
    let (sent, _) = harness.run(20_000, 4, |to, _| {
        count.set(count.get() + 1);
        if count.get() % 33 == 0 {
            f64::INFINITY
        } else if to <= 4 {
            20.0
        } else {
            60.0
        }
    });
    let late = &sent[sent.len() / 2..];
    let slow = late.iter().filter(|s| s.1 > 4).count();
    // A third of the requests overflows to the slow endpoints in any case. If the fast endpoints were ejected in turn,
    // more than half would.
    assert!(
        slow * 5 < late.len() * 2,
        "{slow} of {} requests went to the slow endpoints",
        late.len()
    );
}

#[test]
fn a_proxy_with_few_requests_rarely_tries_dead_endpoints() {
    // One of 100 proxies, with a stale list in which 30 of 60 endpoints are down.
    let mut harness = Harness::new(settings(100), (0..60).map(endpoint).collect());
    requests_past_dead_endpoints(&mut harness, 0, 200, 0); // all endpoints are healthy
    let (first, _) = requests_past_dead_endpoints(&mut harness, 1000, 120, 30);
    let (later, unserved) = requests_past_dead_endpoints(&mut harness, 2000, 240, 30);
    assert!(
        first >= 20,
        "only {first} attempts at dead endpoints before they are ejected"
    );
    assert!(
        later <= 48,
        "{later} of 240 requests were forwarded to an ejected dead endpoint"
    );
    assert_eq!(unserved, 0);
}

#[test]
fn non_idempotent_requests_probe_if_no_others_arrive() {
    // Otherwise an ejected endpoint would never be probed.
    let mut harness = Harness::new(settings(1), vec![endpoint(1)]);
    harness.train(1, 40, |_| 20.0);
    for id in 1000..1004 {
        harness.handle(request(id, 1, 3000.0));
        harness.handle(attempt_ended(id, 0, 5.0, Outcome::Error));
    }
    harness.advance(9000.0); // the ejections have ended, and no idempotent request has arrived recently
    assert_eq!(burst(&mut harness, 2000, 1), [(2000, 1)]);
}
