//! Endpoint selection: waiting for faster endpoints, affinity, and warming endpoints beside a full window.
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
    assert!(sent.len() < 30, "some are queued");
    assert!(
        sent.iter().any(|s| s.1 == 2),
        "a long queue spills over to the slow one: {sent:?}"
    );
    // The threshold lets the first queued request go only when the queue has grown.
    let spilled = 1000 + fast as u64;
    assert_eq!(
        sent[fast],
        (spilled, 2),
        "the oldest is forwarded: {sent:?}"
    );
    let mut again = Harness::new(
        settings(1),
        vec![
            endpoint(1),
            Endpoint {
                machine_type: Some(MachineTypeId(1)),
                ..endpoint(2)
            },
        ],
    );
    again.train(0, 120, |to| if to == 1 { 20.0 } else { 100.0 });
    again.advance(300.0);
    let short = burst(&mut again, 1000, fast as u64 + 3);
    assert_eq!(short.len(), fast, "a short queue waits: {short:?}");
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
    assert!(home(0).iter().any(|s| *s != home(0)[0]), "keys spread");
}

#[test]
fn warming_endpoints_are_used_while_the_window_is_full() {
    // One of 100 proxies; a release has left 24 warm endpoints, which are crowded, and 36 warming ones.
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
    let helped = sent.iter().filter(|s| s.1 >= 24).count();
    assert!(
        helped >= 10,
        "{helped} of {} went to a warming endpoint",
        sent.len()
    );
    // A core serves 33 a second, a warming one 0.4 of that; three times as many for 5 s overload it.
    let part = 36.0 * 2.0 * 33.0 * 0.4 * 3.0 * 5.0 / 100.0;
    assert!(
        (helped as f64) < part,
        "{helped} is more than this proxy's part of the capacity, {part}"
    );
}

#[test]
fn a_home_much_slower_than_other_endpoints_is_left() {
    // One of 100 proxies; the home of one key is crowded by its requests.
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
    let (&busy, _) = homes.iter().max_by_key(|h| h.1).unwrap();
    let (sent, _) = harness.run(
        60 * 97 * 10,
        60,
        |to, _| if to == busy { 500.0 } else { 40.0 },
    );
    let of = |part: &[(u64, u64)]| part.iter().filter(|s| s.1 == busy).count();
    let (early, late) = (of(&sent[..sent.len() / 2]), of(&sent[sent.len() / 2..]));
    assert!(late * 2 <= early, "{late} sends to it after {early}");
}
