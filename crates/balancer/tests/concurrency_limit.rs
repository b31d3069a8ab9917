//! Concurrency limit: slots of endpoints and their division among proxies.
mod common;
use balancer::*;
use common::*;

#[test]
fn a_congested_machine_type_gets_fewer_slots() {
    // Overloaded endpoints seem to have more cores than they have.
    let big = |id| Endpoint {
        weight: 12.0,
        ..endpoint(id)
    };
    let mut harness = Harness::new(settings(1), vec![big(1), big(2)]);
    harness.train(0, 120, |_| 40.0);
    harness.advance(200.0);
    let uncongested = burst(&mut harness, 1000, 60).len();
    let mut congested_harness = Harness::new(settings(1), vec![big(1), big(2)]);
    congested_harness.train(0, 120, |_| 40.0);
    congested_harness.train(200, 200, |_| 200.0);
    let congested = burst(&mut congested_harness, 1000, 60).len();
    assert!(
        congested < uncongested * 2 / 3,
        "{congested} slots while congested, {uncongested} while uncongested"
    );
}

#[test]
fn a_few_slow_endpoints_do_not_reduce_slots_of_others_of_their_type() {
    let with_gossip = Settings {
        gossip_enabled: true,
        ..settings(1)
    };
    let mut harness = Harness::new(with_gossip, (1..=10).map(endpoint).collect());
    harness.train(0, 300, |_| 40.0);
    let (sent, _) = harness.run(20_000, 2, |to, _| if to <= 7 { 600.0 } else { 40.0 });
    // The three healthy endpoints have six slots; 40 ms per request over 20 s gives 3,000 requests. None may be lost.
    let at_healthy = sent.iter().filter(|s| s.1 > 7).count();
    assert!(
        at_healthy >= 2900,
        "{at_healthy} requests went to the healthy endpoints"
    );
}

#[test]
fn queueing_at_single_cores_does_not_reduce_slots_of_other_machine_types() {
    // Single cores with two requests in flight seem slow, so that other machine types seem to have few cores.
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
    // Latencies of endpoints that are congested from the start must not be taken for uncongested ones.
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
        "all slots once the machine type has responses: {later}"
    );
}

#[test]
fn slots_of_all_proxies_do_not_overlap() {
    // Each slot is owned by one proxy, so that proxies don't all use the same endpoints.
    let proxy_count = 12;
    let list: Vec<Endpoint> = (0..20).map(endpoint).collect();
    let mut at = vec![0u32; 20];
    for proxy_index in 0..proxy_count {
        let base = settings(proxy_count);
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
    // No gossip has arrived yet, and 480 requests compete for about 50 slots at once.
    let (max_at_one, all) = (*at.iter().max().unwrap(), at.iter().sum::<u32>());
    assert!(
        (20..=200).contains(&all),
        "{all} requests sent in total: {at:?}"
    );
    assert!(
        max_at_one <= 20,
        "{max_at_one} requests at one endpoint: {at:?}"
    );
}

#[test]
fn each_of_many_proxies_owns_slots() {
    // With more proxies than slots, a proxy could own no slot.
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
            "a proxy uses more than a small part of the endpoints: {}",
            sent.len()
        );
        without += usize::from(sent.is_empty());
    }
    assert!(without <= 2, "{without} of 50 proxies own no slot");
}

#[test]
fn without_gossip_proxies_with_many_endpoints_share_no_slot() {
    // If each proxy used a random subset of endpoints, the subsets would overlap.
    let small = |id| Endpoint {
        weight: 1.0,
        ..endpoint(id)
    };
    let mut proxies_by_endpoint = std::collections::HashMap::<u64, usize>::new();
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
            "{} requests forwarded, 20 slots expected on average",
            sent.len()
        );
        sent.iter()
            .for_each(|s| *proxies_by_endpoint.entry(s.1).or_default() += 1);
    }
    // Fractional slots are rounded at random, so that some endpoints have two slots.
    let shared = proxies_by_endpoint.values().filter(|n| **n > 1).count();
    assert!(
        shared <= 40,
        "{shared} of 160 endpoints are shared by several proxies"
    );
}

#[test]
fn removed_endpoints_have_no_slots() {
    // If removed endpoints counted, this proxy would seem to own enough slots not to share them with other proxies.
    let forwarded_at_once = |releases: u64| {
        let small = |id| Endpoint {
            weight: 1.0,
            ..endpoint(id)
        };
        let mut harness = Harness::new(settings(6), (1..=12).map(small).collect());
        harness.train(0, 60, |_| 40.0);
        for release in 1..=releases {
            harness.handle(full_update(
                (1..=12).map(|id| small(100 * release + id)).collect(),
            ));
            harness.advance(1000.0);
        }
        harness.train(1000, 60, |_| 40.0);
        harness.advance(1000.0);
        (2000..2040)
            .map(|id| forwarded(&harness.handle(request(id, 0, 2000.0))).len())
            .sum::<usize>()
    };
    assert_eq!(forwarded_at_once(3), forwarded_at_once(0));
}

#[test]
fn uncongested_endpoints_get_more_slots_while_requests_are_queued() {
    // By their weights, four endpoints of one core have five requests in flight.
    let small = |id| Endpoint {
        weight: 1.0,
        ..endpoint(id)
    };
    let in_flight_at_once = |latency: fn(u64, usize) -> Millis| {
        let mut harness = Harness::new(settings(1), (1..=4).map(small).collect());
        let (_, in_flight) = harness.run(20_000, 8, latency);
        in_flight.len()
    };
    // One request per 8 ms with a latency of 120 ms at any endpoint: 15 in flight.
    let uncongested = in_flight_at_once(|_, _| 120.0);
    assert!(uncongested >= 14, "{uncongested} in flight at once");
    // One core per endpoint: a further request slows down all others at the endpoint.
    let congested = in_flight_at_once(|_, before| 120.0 * (1.0 + before as f64));
    assert!(congested <= 10, "{congested} in flight at once");
}

#[test]
fn the_first_responses_of_a_machine_type_set_no_baseline() {
    // Under load the shortest requests end first. As a baseline they would make normal latencies seem congested.
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
        alone * (before as f64 + 1.0).max(2.0) / 2.0 // two cores per endpoint
    });
    assert!(
        sent.len() > 1490,
        "of 1500 requests for 20 of 24 cores {} were sent",
        sent.len()
    );
}

#[test]
fn slots_are_redistributed_when_a_proxy_reports_its_zone() {
    // The cached number of own slots must be invalidated when the zones that determine it change.
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
    // All endpoints and this proxy are in zone 0. The other proxy owns slots only if it is in zone 0 too.
    let mut shares = [0, 1].map(|zone| {
        let mut harness = Harness::new(with_gossip(2, 0, 0), endpoints.clone());
        harness.train(0, 400, |_| 40.0);
        let bytes = report(1, zone).expect("it broadcasts a report");
        for _ in 0..80 {
            harness.advance(20.0); // long enough in total for a review of the slots of all endpoints
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
