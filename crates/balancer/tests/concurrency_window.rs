//! Concurrency window: limits a proxy's requests in flight if proxies share all slots.
mod common;
use balancer::*;
use common::*;

/// Returns the number of requests that one of 100 proxies has in flight at the end, and the number of attempts in the
/// last tenth of the time. Endpoints below `slow` respond in `latency` instead of 40 ms from the 100th attempt on.
fn run_with_slow_endpoints(keys: u64, slow: u64, latency: Millis) -> (usize, usize) {
    let settings = Settings {
        key_affinity: keys > 0,
        ..settings(100)
    };
    let mut harness = Harness::new(settings, (0..24).map(endpoint).collect());
    harness.keys = keys;
    let attempts = std::cell::Cell::new(0);
    let latency_of = |to: u64, _: usize| {
        attempts.set(attempts.get() + 1);
        if to < slow && attempts.get() > 100 {
            latency
        } else {
            40.0
        }
    };
    let (sent, in_flight) = harness.run(30_000, 30, latency_of);
    (
        in_flight.len(),
        sent.iter().filter(|s| s.0 >= 1000 + 27_000).count(),
    )
}

/// Returns one of 32 proxies with twelve endpoints of one core, which respond with the given load reports. In the tests
/// that use it, the endpoints respond in 250 ms from the first request on.
fn with_single_cores(load: fn(usize) -> LoadReport) -> Harness {
    let small = |id| Endpoint {
        weight: 1.0,
        ..endpoint(id)
    };
    let mut harness = Harness::new(settings(32), (0..12).map(small).collect());
    harness.load = load;
    harness
}

#[test]
fn without_gossip_few_requests_are_in_flight() {
    // One slot per proxy at each endpoint would let 38 proxies overload the endpoints.
    let base = settings(38);
    let mut harness = Harness::new(
        Settings {
            key_affinity: true,
            ..base
        },
        (0..40).map(endpoint).collect(),
    );
    harness.advance(500.0);
    let request_event = |id| Event::Request {
        id: RequestId(id),
        class: ClassId(1),
        tenant: None,
        key: Some(Key(id + 1)),
        timeout: 3000.0,
        expected_work: None,
        body_complete: true,
    };
    let sent: usize = (0..200)
        .map(|id| forwarded(&harness.handle(request_event(id))).len())
        .sum();
    // The proxy's equal part of about 104 slots is less than three.
    assert!((4..=9).contains(&sent), "{sent} in flight at once");
}

#[test]
fn without_gossip_proxies_with_few_endpoints_share_all_slots() {
    // With only one endpoint per proxy, waits are long, and the endpoint is idle for a round trip after each response.
    let small = |id| Endpoint {
        weight: 1.0,
        ..endpoint(id)
    };
    let mut harness = Harness::new(settings(20), (0..29).map(small).collect());
    harness.advance(500.0);
    let mut reached = std::collections::HashSet::new();
    for id in 0..200 {
        for (id, to) in forwarded(&harness.handle(request(id, 0, 2000.0))) {
            reached.insert(to);
            harness.advance(20.0);
            harness.handle(attempt_ended(id, 0, 20.0, Outcome::Served));
        }
    }
    assert!(
        reached.len() >= 15,
        "only {} of 29 endpoints",
        reached.len()
    );
}

#[test]
fn late_responses_reduce_the_window() {
    let in_flight_at_once = |latency: Millis| {
        let small = |id| Endpoint {
            weight: 1.0,
            ..endpoint(id)
        };
        let mut harness = Harness::new(settings(20), (0..40).map(small).collect());
        let (_, in_flight) = harness.run(6000, 12, |_, _| latency);
        in_flight.len()
    };
    let (good, late) = (in_flight_at_once(200.0), in_flight_at_once(1100.0));
    assert!(
        good >= 12,
        "the window grows with responses within the latency objective: {good}"
    );
    assert!(
        late <= 6,
        "the window doesn't grow with responses near the latency objective of 1200 ms: {late}"
    );
}

#[test]
fn silent_attempts_do_not_count_in_the_window() {
    let mut harness = Harness::new(settings(20), (1..=40).map(endpoint).collect());
    harness.train(0, 100, |_| 20.0);
    harness.advance(200.0);
    let (mut queued, mut out) = (0, vec![]);
    for id in 1000..1400 {
        let actions = harness.handle(request(id, 0, 2000.0));
        queued += usize::from(forwarded(&actions).is_empty());
        out.extend(forwarded(&actions));
        out.extend(forwarded(&harness.advance(20.0)));
        while let Some((of, _)) = out.pop() {
            if of % 10 != 0 {
                out.extend(forwarded(&harness.handle(attempt_ended(
                    of,
                    0,
                    20.0,
                    Outcome::Served,
                ))));
            }
        }
    }
    // One in ten requests stays in flight for 0.8 s, the time of 40 requests. Thus four silent attempts are in flight
    // at any time, as many as the initial window.
    assert!(
        queued <= 8,
        "{queued} of 400 were queued with nearly all endpoints idle"
    );
}

#[test]
fn congestion_reduces_the_window_before_responses_are_late() {
    // Half the latency objective is 600 ms. 100 proxies with four requests in flight each would load each endpoint with
    // 17 requests.
    let (out, _) = run_with_slow_endpoints(0, 24, 400.0);
    assert!(
        out <= 2,
        "{out} in flight at endpoints with ten times the uncongested latency"
    );
}

#[test]
fn load_reports_reduce_a_window_whose_baseline_was_learned_under_congestion() {
    // Each single core has 20 requests in flight from the start, so that congested latencies are taken for uncongested
    // ones.
    let out = |load| with_single_cores(load).run(6000, 12, |_, _| 250.0).1.len();
    for (load, description) in [
        (
            (|_| LoadReport {
                in_flight: Some(20.0),
                queued: Some(0.0),
            }) as fn(usize) -> LoadReport,
            "in flight",
        ),
        (
            |_| LoadReport {
                in_flight: None,
                queued: Some(20.0),
            },
            "queued only",
        ),
    ] {
        assert!(out(load) <= 2, "{description}: {}", out(load));
    }
    for (load, description) in [
        (
            (|_| LoadReport::default()) as fn(usize) -> LoadReport,
            "no report",
        ),
        (
            |_| LoadReport {
                in_flight: Some(4.0),
                queued: Some(9.0),
            },
            "few in flight count, whatever is queued",
        ),
        (
            |_| LoadReport {
                in_flight: None,
                queued: Some(3.0),
            },
            "few queued",
        ),
    ] {
        assert!(out(load) >= 6, "{description}: {}", out(load));
    }
}

#[test]
fn a_load_report_is_converted_to_requests_per_core() {
    let report = |in_flight, queued| LoadReport { in_flight, queued };
    assert_eq!(report(None, None).per_core(2.0), None);
    assert_eq!(
        report(Some(6.0), Some(40.0)).per_core(2.0),
        Some(3.0),
        "requests in flight count if reported"
    );
    assert_eq!(
        report(None, Some(6.0)).per_core(2.0),
        Some(4.0),
        "one request per core is added to the queued ones"
    );
    assert_eq!(
        report(None, Some(0.0)).per_core(2.0),
        Some(0.0),
        "an empty queue says nothing of requests in flight"
    );
}

#[test]
fn endpoints_slow_for_their_type_do_not_reduce_the_window() {
    // Requests with keys whose home is a slow endpoint keep going there.
    let (_, sent) = run_with_slow_endpoints(97, 16, 500.0);
    assert!(sent >= 95, "{sent} of 100 were forwarded");
}
