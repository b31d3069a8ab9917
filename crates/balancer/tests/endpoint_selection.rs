//! Endpoint selection: waiting for faster endpoints, key affinity, and use of warming endpoints while the window is
//! full.
mod common;
use balancer::*;
use common::*;

#[test]
fn requests_wait_for_a_faster_endpoint_until_the_queue_exceeds_the_threshold() {
    let list = vec![
        endpoint(1),
        Endpoint {
            machine_type: Some(MachineTypeId(1)),
            ..endpoint(2)
        },
    ];
    let mut harness = Harness::new(settings(1), list);
    harness.train(0, 120, |to| if to == 1 { 20.0 } else { 100.0 });
    harness.advance(300.0);
    let sent = burst(&mut harness, 1000, 30);
    let fast = sent.iter().filter(|s| s.1 == 1).count();
    assert!(
        fast > 0 && sent[..fast].iter().all(|s| s.1 == 1),
        "the fast endpoint gets requests first: {sent:?}"
    );
    assert!(sent.len() < 30, "some requests are queued");
    assert!(
        sent.iter().any(|s| s.1 == 2),
        "a long queue overflows to the slow endpoint: {sent:?}"
    );
    // The threshold releases the oldest queued request once the queue is long enough.
    let oldest_queued = 1000 + fast as u64;
    assert_eq!(
        sent[fast],
        (oldest_queued, 2),
        "the oldest queued request is forwarded: {sent:?}"
    );
    let mut second_harness = Harness::new(
        settings(1),
        vec![
            endpoint(1),
            Endpoint {
                machine_type: Some(MachineTypeId(1)),
                ..endpoint(2)
            },
        ],
    );
    second_harness.train(0, 120, |to| if to == 1 { 20.0 } else { 100.0 });
    second_harness.advance(300.0);
    let short = burst(&mut second_harness, 1000, fast as u64 + 3);
    assert_eq!(
        short.len(),
        fast,
        "requests of a short queue wait: {short:?}"
    );
}

#[test]
fn all_proxies_agree_on_the_home_of_a_key() {
    let home = |proxy_index: u32| {
        let base = settings(5);
        let mut harness = Harness::new(
            Settings {
                proxy_index,
                key_affinity: true,
                ..base
            },
            (0..12).map(endpoint).collect(),
        );
        let request_with_key = |id, key| Event::Request {
            id: RequestId(id),
            class: ClassId(0),
            tenant: None,
            key: Some(Key(key)),
            timeout: 2000.0,
            expected_work: None,
            body_complete: true,
        };
        let mut homes = vec![];
        for key in 1..9 {
            homes.push(forwarded(&harness.handle(request_with_key(key, key)))[0].1);
            harness.handle(attempt_ended(key, 0, 0.0, Outcome::Served));
        }
        homes
    };
    assert_eq!(home(0), home(3));
    assert!(
        home(0).iter().any(|s| *s != home(0)[0]),
        "keys have different homes"
    );
}

#[test]
fn warming_endpoints_are_used_while_the_window_is_full() {
    // One of 100 proxies. After a rolling release, 24 endpoints are warm and congested, and 36 are warming up.
    let mut harness = Harness::new(settings(100), (0..24).map(endpoint).collect());
    harness.run(6000, 60, |_, _| 30.0);
    let warming = |id| Endpoint {
        started_at: Some(7000.0),
        ..endpoint(id)
    };
    harness.handle(full_update(
        (0..24).map(endpoint).chain((24..60).map(warming)).collect(),
    ));
    let (sent, _) = harness.run(5000, 30, |to, _| if to < 24 { 700.0 } else { 150.0 });
    let at_warming = sent.iter().filter(|s| s.1 >= 24).count();
    assert!(
        at_warming >= 10,
        "{at_warming} of {} requests went to a warming endpoint",
        sent.len()
    );
    // A core serves 33 requests per second, a warming one 0.4 of that. Three times as many for 5 s overload an
    // endpoint.
    let part = 36.0 * 2.0 * 33.0 * 0.4 * 3.0 * 5.0 / 100.0;
    assert!(
        (at_warming as f64) < part,
        "{at_warming} requests exceed this proxy's part of the capacity, {part}"
    );
}

#[test]
fn keys_leave_a_home_much_slower_than_other_endpoints() {
    // One of 100 proxies. The home of a key is congested by the requests of that key.
    let mut harness = Harness::new(
        Settings {
            key_affinity: true,
            ..settings(100)
        },
        (0..60).map(endpoint).collect(),
    );
    harness.keys = 97;
    let mut homes = std::collections::BTreeMap::new();
    let (sent, _) = harness.run(60 * 97, 60, |_, _| 40.0);
    sent.iter()
        .for_each(|s| *homes.entry(s.1).or_insert(0) += 1);
    let (&slow_home, _) = homes.iter().max_by_key(|h| h.1).unwrap();
    let (sent, _) = harness.run(
        60 * 97 * 10,
        60,
        |to, _| if to == slow_home { 500.0 } else { 40.0 },
    );
    let attempts_at_slow_home =
        |part: &[(u64, u64)]| part.iter().filter(|s| s.1 == slow_home).count();
    let (early, late) = (
        attempts_at_slow_home(&sent[..sent.len() / 2]),
        attempts_at_slow_home(&sent[sent.len() / 2..]),
    );
    assert!(
        late * 2 <= early,
        "{late} attempts at the slow home in the second half, {early} in the first"
    );
}
