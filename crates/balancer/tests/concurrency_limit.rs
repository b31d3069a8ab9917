//! Concurrency limit: slots of endpoints, and their division among proxies.
mod common;
use balancer::*;
use common::*;

#[test]
fn a_crowded_machine_type_gets_fewer_slots() {
    // Overfilled endpoints look as if they had more cores.
    let big = |id| Endpoint {
        weight: 12.0,
        ..endpoint(id)
    };
    let mut harness = Harness::new(settings(1), vec![big(1), big(2)]);
    harness.train(0, 120, |_| 40.0);
    harness.advance(200.0);
    let calm = burst(&mut harness, 1000, 60).len();
    let mut crowded_harness = Harness::new(settings(1), vec![big(1), big(2)]);
    crowded_harness.train(0, 120, |_| 40.0);
    crowded_harness.train(200, 200, |_| 200.0);
    let crowded = burst(&mut crowded_harness, 1000, 60).len();
    assert!(
        crowded < calm * 2 / 3,
        "{crowded} slots while crowded, {calm} while calm"
    );
}

#[test]
fn a_few_slow_endpoints_take_no_slots_from_others_of_their_type() {
    let with_gossip = Settings {
        gossip_enabled: true,
        ..settings(1)
    };
    let mut harness = Harness::new(with_gossip, (1..=10).map(endpoint).collect());
    harness.train(0, 300, |_| 40.0);
    let (sent, _) = harness.run(20_000, 2, |to, _| if to <= 7 { 600.0 } else { 40.0 });
    // Six slots, 40 ms each, for 20 s: none may be lost.
    let taken = sent.iter().filter(|s| s.1 > 7).count();
    assert!(taken >= 2900, "{taken} went to the healthy endpoints");
}

#[test]
fn queueing_at_single_cores_takes_no_slots_from_other_machine_types() {
    // Single cores that hold two requests look slow, so that others seem to have few cores.
    let with_gossip = Settings {
        gossip_enabled: true,
        ..settings(2)
    };
    let big = |id| Endpoint {
        machine_type: Some(MachineTypeId(1)),
        weight: 8.0,
        ..endpoint(id)
    };
    let list: Vec<Endpoint> = (1..=8)
        .map(|id| Endpoint {
            weight: 1.6,
            ..endpoint(id)
        })
        .chain((11..=14).map(big))
        .collect();
    let mut harness = Harness::new(with_gossip, list);
    // A second request at a single core waits for the first.
    let (_, out) = harness.run(60_000, 1, |to, before| {
        if to > 10 {
            50.0
        } else {
            100.0 + 300.0 * before as f64
        }
    });
    let in_flight = out.iter().filter(|&&to| to > 10).count();
    assert!(
        in_flight >= 12,
        "{in_flight} in flight at four endpoints of four cores each"
    );
}

#[test]
fn an_unmeasured_machine_type_gets_half_its_slots() {
    // Endpoints that are crowded from the start must not pass for uncrowded.
    let with_gossip = Settings {
        gossip_enabled: true,
        ..settings(1)
    };
    let list = vec![Endpoint {
        weight: 8.0,
        ..endpoint(1)
    }];
    let first = burst(
        &mut Harness::new(with_gossip.clone(), list.clone()),
        1000,
        20,
    )
    .len();
    assert!(
        (4..=6).contains(&first),
        "half of 8.8 slots at first: {first}"
    );
    let mut harness = Harness::new(with_gossip, list);
    harness.train(0, 30, |_| 50.0);
    harness.advance(2000.0);
    let later = burst(&mut harness, 2000, 20).len();
    assert!(
        (8..=9).contains(&later),
        "all of them once the machine type has responses: {later}"
    );
}

#[test]
fn slots_of_all_proxies_do_not_overlap() {
    // Each slot is owned by one proxy, so that proxies don't herd to the same endpoints.
    let n = 12;
    let list: Vec<Endpoint> = (0..20).map(endpoint).collect();
    let mut at = vec![0u32; 20];
    for proxy_index in 0..n {
        let base = settings(n);
        let mut harness = Harness::new(
            Settings {
                proxy_index,
                gossip_enabled: true,
                ..base
            },
            list.clone(),
        );
        for (_, to) in burst(&mut harness, 0, 40) {
            at[to as usize] += 1;
        }
    }
    // Before any message has arrived, and with 480 requests for about 50 slots at once.
    let (most, all) = (*at.iter().max().unwrap(), at.iter().sum::<u32>());
    assert!((20..=200).contains(&all), "{all} sent in all: {at:?}");
    assert!(most <= 20, "{most} at one endpoint: {at:?}");
}

#[test]
fn each_of_many_proxies_owns_slots() {
    // With more proxies than slots a proxy may own none.
    let small = |id| Endpoint {
        weight: 1.0,
        ..endpoint(id)
    };
    let mut without = 0;
    for proxy_index in 0..50 {
        let base = settings(250);
        let mut harness = Harness::new(
            Settings {
                proxy_index,
                ..base
            },
            (0..60).map(small).collect(),
        );
        harness.advance(1500.0);
        let sent = burst(&mut harness, 0, 30);
        assert!(
            sent.len() <= 20,
            "only a small part of the endpoints: {}",
            sent.len()
        );
        without += usize::from(sent.is_empty());
    }
    assert!(without <= 2, "{without} of 50 proxies own no slot");
}

#[test]
fn without_gossip_proxies_with_many_endpoints_share_no_slot() {
    // Random subsets of endpoints would overlap.
    let small = |id| Endpoint {
        weight: 1.0,
        ..endpoint(id)
    };
    let mut holders = std::collections::HashMap::<u64, usize>::new();
    for proxy_index in 0..8 {
        let mut harness = Harness::new(
            Settings {
                proxy_index,
                ..settings(8)
            },
            (0..160).map(small).collect(),
        );
        harness.advance(1500.0);
        let sent = burst(&mut harness, 0, 60);
        assert!(
            (8..=40).contains(&sent.len()),
            "{} of 20 slots in the mean",
            sent.len()
        );
        sent.iter()
            .for_each(|s| *holders.entry(s.1).or_default() += 1);
    }
    // Fractional slots are rounded at random, so that some endpoints have two.
    let shared = holders.values().filter(|n| **n > 1).count();
    assert!(
        shared <= 40,
        "{shared} of 160 endpoints are shared by several proxies"
    );
}

#[test]
fn removed_endpoints_have_no_slots() {
    // With removed endpoints counted, this proxy's own slots would seem enough to need no others.
    let sent_at_once = |deploys: u64| {
        let small = |id| Endpoint {
            weight: 1.0,
            ..endpoint(id)
        };
        let mut harness = Harness::new(settings(6), (1..=12).map(small).collect());
        harness.train(0, 60, |_| 40.0);
        for deploy in 1..=deploys {
            harness.handle(full_update(
                (1..=12).map(|id| small(100 * deploy + id)).collect(),
            ));
            harness.advance(1000.0);
        }
        harness.train(1000, 60, |_| 40.0);
        harness.advance(1000.0);
        (2000..2040)
            .map(|id| forwarded(&harness.handle(request(id, 0, 2000.0))).len())
            .sum::<usize>()
    };
    assert_eq!(sent_at_once(3), sent_at_once(0));
}

#[test]
fn uncrowded_endpoints_get_more_slots_while_requests_are_queued() {
    // By their weights four endpoints of one core get five requests at once.
    let small = |id| Endpoint {
        weight: 1.0,
        ..endpoint(id)
    };
    let out_at_once = |latency: fn(u64, usize) -> Millis| {
        let mut harness = Harness::new(settings(1), (1..=4).map(small).collect());
        let (_, still) = harness.run(20_000, 8, latency);
        still.len()
    };
    // A request each 8 ms that takes 120 ms anywhere: 15 at a time.
    let calm = out_at_once(|_, _| 120.0);
    assert!(calm >= 14, "{calm} are in flight at once");
    // One core each: a further request slows all others there.
    let crowded = out_at_once(|_, before| 120.0 * (1.0 + before as f64));
    assert!(crowded <= 10, "{crowded} are in flight at once");
}

#[test]
fn the_first_responses_of_a_machine_type_set_no_baseline() {
    // Under load the shortest requests end first; as a baseline they would make usual latencies look crowded.
    let two_cores = |id| Endpoint {
        machine_type: Some(MachineTypeId(u32::from(id > 6))),
        ..endpoint(id)
    };
    let mut harness = Harness::new(settings(1), (1..=12).map(two_cores).collect());
    let ended = std::cell::Cell::new(0);
    let (sent, _) = harness.run(6000, 4, |to, before| {
        ended.set(ended.get() + u32::from(to <= 6));
        let alone: f64 = if to <= 6 && ended.get() <= 25 {
            20.0
        } else {
            80.0
        };
        alone * (before as f64 + 1.0).max(2.0) / 2.0 // two cores each
    });
    assert!(
        sent.len() > 1490,
        "of 1500 requests for 20 of 24 cores {} were sent",
        sent.len()
    );
}

#[test]
fn slots_are_divided_anew_when_a_proxy_reports_its_zone() {
    // The cached count of own slots must not outlive the zones that it was counted by.
    let with_gossip = |proxies, proxy_index, zone| Settings {
        gossip_enabled: true,
        proxy_index,
        zone: Some(ZoneId(zone)),
        ..settings(proxies)
    };
    let endpoints: Vec<Endpoint> = (1..=40)
        .map(|id| Endpoint {
            weight: 8.0,
            ..endpoint(id)
        })
        .collect();
    let report = |proxy_index, zone| {
        let mut other = Harness::new(with_gossip(2, proxy_index, zone), endpoints.clone());
        let actions: Vec<Action> = (0..50).flat_map(|_| other.advance(20.0)).collect();
        actions.into_iter().find_map(|a| match a {
            Action::Broadcast(bytes) => Some(bytes),
            _ => None,
        })
    };
    // All endpoints and this proxy are in zone 0. The other proxy owns slots only if it is there too.
    let mut shares = [0, 1].map(|zone| {
        let mut harness = Harness::new(with_gossip(2, 0, 0), endpoints.clone());
        harness.train(0, 400, |_| 40.0);
        let bytes = report(1, zone).expect("it broadcasts a report");
        for _ in 0..80 {
            harness.advance(20.0); // the slots of all endpoints are reviewed
            harness.handle(Event::Gossip {
                from: 1,
                bytes: bytes.clone(),
            });
        }
        harness
    });
    let [together, alone] = [0, 1].map(|i| burst(&mut shares[i], 10_000, 600).len());
    assert!(
        alone > together,
        "{alone} own slots with the other proxy in another zone, {together} in the same"
    );
}
