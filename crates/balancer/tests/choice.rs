//! One test for each failure found on the bench, none of which needs it.
mod common;
use balancer::*;
use common::*;

fn refusals(actions: &[Action]) -> usize {
    actions
        .iter()
        .filter(|a| matches!(a, Action::Reject { .. } | Action::Fail(_)))
        .count()
}

/// Sends `n` unsafe requests and returns how many went out at once.
fn burst(hand: &mut Hand, first: u64, n: u64) -> Vec<(u64, u64)> {
    (first..first + n)
        .flat_map(|id| sends(&hand.give(request(id, 1, 3000.0))))
        .collect()
}

#[test]
fn a_request_with_hardly_any_time_left_is_answered_at_once() {
    // Lost on a rough day: clients' later tries came with budgets shorter than the module's next look.
    let mut hand = Hand::new(settings(1), vec![server(1)]);
    assert_eq!(refusals(&hand.give(request(1, 0, 15.0))), 1);
}

#[test]
fn holds_for_a_faster_server_and_sends_when_the_queue_outgrows_the_threshold() {
    let list = vec![
        server(1),
        Endpoint {
            machine_type: Some(MachineTypeId(1)),
            ..server(2)
        },
    ];
    let mut hand = Hand::new(settings(1), list);
    hand.train(0, 120, |to| if to == 1 { 20.0 } else { 100.0 });
    hand.pass(300.0);
    let sent = burst(&mut hand, 1000, 30);
    let fast = sent.iter().filter(|s| s.1 == 1).count();
    assert!(
        fast > 0 && sent[..fast].iter().all(|s| s.1 == 1),
        "the fast server fills first: {sent:?}"
    );
    assert!(sent.len() < 30, "some are held");
    assert!(
        sent.iter().any(|s| s.1 == 2),
        "a long queue spills over to the slow one: {sent:?}"
    );
    // The threshold lets the first of the held go only when the queue has grown.
    let spilled = 1000 + fast as u64;
    assert_eq!(sent[fast], (spilled, 2), "the oldest goes: {sent:?}");
    let mut again = Hand::new(
        settings(1),
        vec![
            server(1),
            Endpoint {
                machine_type: Some(MachineTypeId(1)),
                ..server(2)
            },
        ],
    );
    again.train(0, 120, |to| if to == 1 { 20.0 } else { 100.0 });
    again.pass(300.0);
    let short = burst(&mut again, 1000, fast as u64 + 3);
    assert_eq!(short.len(), fast, "a short queue is held: {short:?}");
}

#[test]
fn a_server_that_hangs_is_closed_and_tried_with_what_may_be_repeated() {
    // hang: requests sent there were lost one after the other.
    let mut hand = Hand::new(settings(1), vec![server(1), server(2)]);
    hand.train(0, 60, |_| 50.0);
    let stuck = burst(&mut hand, 1000, 8);
    let on_one: Vec<u64> = stuck.iter().filter(|s| s.1 == 1).map(|s| s.0).collect();
    assert!(!on_one.is_empty());
    hand.pass(100.0);
    let mut later = vec![];
    for (id, _) in stuck.iter().filter(|s| s.1 == 2) {
        later.extend(sends(&hand.give(ended(*id, 0, 100.0, Outcome::Served))));
    }
    hand.pass(500.0);
    later.extend(burst(&mut hand, 2000, 2));
    assert!(
        later.iter().all(|s| s.1 != 1),
        "still sent to the silent server: {later:?}"
    );
}

#[test]
fn quick_errors_close_a_server_and_make_it_no_faster() {
    let mut hand = Hand::new(settings(1), vec![server(1), server(2)]);
    hand.train(0, 40, |_| 50.0);
    let mut failed = 0;
    for id in 1000..1060 {
        let sent = sends(&hand.give(request(id, 1, 3000.0)));
        let Some(&(_, to)) = sent.first() else {
            continue;
        };
        hand.pass(2.0);
        failed += u32::from(to == 1);
        hand.give(ended(
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
        "{failed} of 60 went to the failing server"
    );
}

#[test]
fn doubt_does_not_open_full_servers() {
    // iab5ffd: when most attempts failed, health was doubted and full servers were flooded.
    let mut hand = Hand::new(settings(1), (0..4).map(server).collect());
    hand.train(0, 40, |_| 50.0);
    let mut tries = 0;
    for id in 1000..1200 {
        let mut sent = sends(&hand.give(request(id, 0, 2000.0)));
        let mut attempt = 0;
        while let Some((of, _)) = sent.pop() {
            tries += 1;
            let out = hand.give(ended(of, attempt, 1.0, Outcome::Overloaded));
            attempt += 1;
            sent = sends(&out);
            if sent.first().is_some_and(|s| s.0 != of) {
                break;
            }
        }
        hand.pass(5.0);
    }
    assert!(
        tries < 60,
        "{tries} tries within a second at four full servers"
    );
}

#[test]
fn a_kind_that_slows_gets_fewer_slots() {
    // i7496cc: overfilled servers looked as if they had more cores, and stayed overfilled.
    let big = |id| Endpoint {
        weight: 12.0,
        ..server(id)
    };
    let mut hand = Hand::new(settings(1), vec![big(1), big(2)]);
    hand.train(0, 120, |_| 40.0);
    hand.pass(200.0);
    let calm = burst(&mut hand, 1000, 60).len();
    let mut hand2 = Hand::new(settings(1), vec![big(1), big(2)]);
    hand2.train(0, 120, |_| 40.0);
    hand2.train(200, 200, |_| 200.0);
    let crowded = burst(&mut hand2, 1000, 60).len();
    assert!(
        crowded < calm * 2 / 3,
        "{crowded} slots while crowded, {calm} while calm"
    );
}

#[test]
fn a_few_slow_servers_take_no_slots_from_the_healthy_ones_of_their_kind() {
    // ib2a989: three of fourteen servers eight times slower, and the slots of all others shrank.
    let told = Settings {
        gossip_enabled: true,
        ..settings(1)
    };
    let mut hand = Hand::new(told, (1..=10).map(server).collect());
    hand.train(0, 300, |_| 40.0);
    let (sent, _) = hand.drive(20_000, 2, |to, _| if to <= 7 { 600.0 } else { 40.0 });
    // Six slots, 40 ms each, for twenty seconds: they are never given up.
    let taken = sent.iter().filter(|s| s.1 > 7).count();
    assert!(taken >= 2900, "the healthy took {taken}");
}

#[test]
fn waits_at_one_core_do_not_shrink_the_slots_of_others() {
    // i30d937: one-core servers that held two requests looked slow, and so others seemed to have few cores.
    let told = Settings {
        gossip_enabled: true,
        ..settings(2)
    };
    let big = |id| Endpoint {
        machine_type: Some(MachineTypeId(1)),
        weight: 8.0,
        ..server(id)
    };
    let list: Vec<Endpoint> = (1..=8)
        .map(|id| Endpoint {
            weight: 1.6,
            ..server(id)
        })
        .chain((11..=14).map(big))
        .collect();
    let mut hand = Hand::new(told, list);
    // A second request at a single core waits for the first.
    let (_, out) = hand.drive(60_000, 1, |to, before| {
        if to > 10 {
            50.0
        } else {
            100.0 + 300.0 * before as f64
        }
    });
    let held = out.iter().filter(|&&to| to > 10).count();
    assert!(held >= 12, "four servers of four cores each hold {held}");
}

#[test]
fn an_unmeasured_kind_gets_half_its_slots() {
    // La59078: a fleet jammed from the first second took the jam for calm and stayed in it.
    let told = Settings {
        gossip_enabled: true,
        ..settings(1)
    };
    let list = vec![Endpoint {
        weight: 8.0,
        ..server(1)
    }];
    let first = burst(&mut Hand::new(told.clone(), list.clone()), 1000, 20).len();
    assert!(
        (4..=6).contains(&first),
        "half of 8.8 slots at first: {first}"
    );
    let mut hand = Hand::new(told, list);
    hand.train(0, 30, |_| 50.0);
    hand.pass(2000.0);
    let later = burst(&mut hand, 2000, 20).len();
    assert!(
        (8..=9).contains(&later),
        "all of them once the kind is measured: {later}"
    );
}

#[test]
fn slots_of_all_proxies_do_not_overlap() {
    // Herding: many proxies saw the same open servers. Each slot is owned by one proxy.
    let n = 12;
    let list: Vec<Endpoint> = (0..20).map(server).collect();
    let mut at = vec![0u32; 20];
    for me in 0..n {
        let base = settings(n);
        let mut hand = Hand::new(
            Settings {
                proxy_index: me,
                gossip_enabled: true,
                ..base
            },
            list.clone(),
        );
        for (_, to) in burst(&mut hand, 0, 40) {
            at[to as usize] += 1;
        }
    }
    // Even before any message has come through, and with 480 requests for about 50 slots at once.
    let (most, all) = (*at.iter().max().unwrap(), at.iter().sum::<u32>());
    assert!((20..=200).contains(&all), "{all} sent in all: {at:?}");
    assert!(most <= 20, "{most} at one server: {at:?}");
}

#[test]
fn a_proxy_among_many_has_servers_of_its_own() {
    // bern: with 250 proxies on 60 small servers most proxies had no server at all and refused everything.
    let small = |id| Endpoint {
        weight: 1.0,
        ..server(id)
    };
    let mut without = 0;
    for me in 0..50 {
        let base = settings(250);
        let mut hand = Hand::new(
            Settings {
                proxy_index: me,
                ..base
            },
            (0..60).map(small).collect(),
        );
        hand.pass(1500.0);
        let sent = burst(&mut hand, 0, 30);
        assert!(
            sent.len() <= 20,
            "a small part of the fleet only: {}",
            sent.len()
        );
        without += usize::from(sent.is_empty());
    }
    assert!(without <= 2, "{without} of 50 proxies have no server");
}

#[test]
fn deaf_proxies_hold_few_requests_out() {
    // i1ce7d3: one slot at each server for each of 38 proxies tipped servers into lasting slowness.
    let base = settings(38);
    let mut hand = Hand::new(
        Settings {
            key_affinity: true,
            ..base
        },
        (0..40).map(server).collect(),
    );
    hand.pass(500.0);
    let ask = |id| Event::Request {
        id: RequestId(id),
        class: ClassId(1),
        tenant: None,
        key: Some(Key(id + 1)),
        timeout: 3000.0,
        expected_work: None,
        body_complete: true,
    };
    let sent: usize = (0..200).map(|id| sends(&hand.give(ask(id))).len()).sum();
    // Its fair part of some 104 slots is under three.
    assert!((4..=9).contains(&sent), "{sent} out at once");
}

#[test]
fn every_proxy_gives_a_key_the_same_home() {
    let home = |me: u32| {
        let base = settings(5);
        let mut hand = Hand::new(
            Settings {
                proxy_index: me,
                key_affinity: true,
                ..base
            },
            (0..12).map(server).collect(),
        );
        let ask = |id, key| Event::Request {
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
            homes.push(sends(&hand.give(ask(key, key)))[0].1);
            hand.give(ended(key, 0, 0.0, Outcome::Served));
        }
        homes
    };
    assert_eq!(home(0), home(3));
    assert!(home(0).iter().any(|s| *s != home(0)[0]), "keys spread");
}

#[test]
fn a_restart_told_twice_in_one_list_is_still_a_cold_start() {
    // Found by the property test: the second line of the same server took its fresh start back.
    let fresh = Endpoint {
        started_at: Some(1000.0),
        ..server(1)
    };
    let mut hand = Hand::new(settings(8), vec![server(1)]);
    hand.give(Event::EndpointUpdate {
        scope: UpdateScope::Delta,
        endpoints: vec![fresh.clone(), fresh],
    });
    let sent = burst(&mut hand, 0, 20);
    assert!(
        sent.is_empty(),
        "a cold server of one in eight proxies: {sent:?}"
    );
}

#[test]
fn a_drained_server_gets_nothing_and_its_requests_are_answered() {
    let mut hand = Hand::new(settings(1), vec![server(1)]);
    hand.give(Event::EndpointUpdate {
        scope: UpdateScope::Delta,
        endpoints: vec![Endpoint {
            state: EndpointState::Draining,
            ..server(1)
        }],
    });
    let mut out = hand.give(request(1, 1, 3000.0));
    out.extend(hand.pass(3000.0));
    assert!(sends(&out).is_empty());
    assert_eq!(refusals(&out), 1);
}

#[test]
fn a_request_queued_twice_is_answered_once() {
    // A fault: a request served out of turn stood in its queue still and was answered again.
    let mut hand = Hand::new(settings(1), vec![]);
    hand.give(request(1, 1, 3000.0));
    let out = hand.pass(4000.0);
    assert_eq!(refusals(&out), 1);
}

#[test]
fn odd_lists_do_no_harm() {
    let odd = |rating| Endpoint {
        weight: rating,
        ..server(3)
    };
    for rating in [0.0, -1.0, f64::NAN, f64::INFINITY, 1e300] {
        let mut hand = Hand::new(settings(3), vec![odd(rating), server(4)]);
        burst(&mut hand, 0, 9);
        let out = hand.pass(4000.0);
        assert!(refusals(&out) <= 9);
    }
}

#[test]
fn a_running_request_is_answered_just_before_its_aim() {
    // bern: answers up to 30 ms before the aim gave away requests that would have been served in time.
    let mut hand = Hand::new(settings(1), vec![server(1)]);
    assert_eq!(burst(&mut hand, 1, 1).len(), 1);
    assert_eq!(refusals(&hand.pass(1190.0)), 0, "its aim is 1200 ms");
    assert_eq!(refusals(&hand.pass(10.0)), 1);
}

/// As `Hand::train`, but request after request of one class.
fn serve(hand: &mut Hand, class: usize, first: u64, count: u64, latency: Millis) {
    for id in first..first + count {
        let sent = sends(&hand.give(request(id, class, 2000.0)));
        assert_eq!(sent.len(), 1, "an idle server takes it");
        hand.pass(latency);
        hand.give(ended(id, 0, latency, Outcome::Served));
    }
}

#[test]
fn a_server_that_ignores_one_class_keeps_the_others() {
    // class_fail: requests of the ignored class were lost there to the end of the trouble, and each kept the
    // only slot from the other classes.
    let mut hand = Hand::new(settings(1), vec![server(1), server(2)]);
    hand.train(0, 60, |_| 50.0);
    serve(&mut hand, 2, 100, 20, 50.0);
    hand.pass(300.0);
    // Server 1 answers class 0 and leaves class 2 unanswered; server 2 answers all.
    // Without health by class 7 are lost.
    let (mut lost, mut other, mut out) = (0, 0, vec![]);
    for id in 1000..1400 {
        let class = if id % 2 == 0 { 2 } else { 0 };
        out.extend(sends(&hand.give(request(id, class, 2000.0))));
        out.extend(sends(&hand.pass(50.0)));
        for (id, to) in std::mem::take(&mut out) {
            let ignored = to == 1 && id % 2 == 0;
            lost += usize::from(ignored && id >= 1100);
            other += usize::from(to == 1 && id % 2 == 1 && id >= 1100);
            if !ignored {
                hand.give(ended(id, 0, 50.0, Outcome::Served));
            }
        }
    }
    assert!(lost <= 5, "{lost} of 150 went on to where they are ignored");
    assert!(
        other >= 20,
        "only {other} of 150 of the other class went there"
    );
}

#[test]
fn deaf_proxies_with_many_servers_each_share_no_slot() {
    // At full size random subsets of 20 servers for each of 36 proxies overlapped twice and servers choked.
    let small = |id| Endpoint {
        weight: 1.0,
        ..server(id)
    };
    let mut holders = std::collections::HashMap::<u64, usize>::new();
    for me in 0..8 {
        let mut hand = Hand::new(
            Settings {
                proxy_index: me,
                ..settings(8)
            },
            (0..160).map(small).collect(),
        );
        hand.pass(1500.0);
        let sent = burst(&mut hand, 0, 60);
        assert!(
            (8..=40).contains(&sent.len()),
            "{} of 20 slots in the mean",
            sent.len()
        );
        sent.iter()
            .for_each(|s| *holders.entry(s.1).or_default() += 1);
    }
    // A part of a slot above one a server is rounded at random, so that some have two.
    let shared = holders.values().filter(|n| **n > 1).count();
    assert!(shared <= 40, "{shared} of 160 servers are held by several");
}

#[test]
fn deaf_proxies_with_few_servers_each_pool_them() {
    // 20 proxies with 29 one-core servers: one server of one's own leaves long waits and idles for a round trip
    // between answers.
    let small = |id| Endpoint {
        weight: 1.0,
        ..server(id)
    };
    let mut hand = Hand::new(settings(20), (0..29).map(small).collect());
    hand.pass(500.0);
    let mut reached = std::collections::HashSet::new();
    for id in 0..200 {
        for (id, to) in sends(&hand.give(request(id, 0, 2000.0))) {
            reached.insert(to);
            hand.pass(20.0);
            hand.give(ended(id, 0, 20.0, Outcome::Served));
        }
    }
    assert!(reached.len() >= 15, "only {} of 29 servers", reached.len());
}

#[test]
fn late_answers_narrow_the_window_of_pooled_servers() {
    let out_at_once = |latency: Millis| {
        let small = |id| Endpoint {
            weight: 1.0,
            ..server(id)
        };
        let mut hand = Hand::new(settings(20), (0..40).map(small).collect());
        let (_, still) = hand.drive(6000, 12, |_, _| latency);
        still.len()
    };
    let (good, late) = (out_at_once(200.0), out_at_once(1100.0));
    assert!(good >= 12, "answers in good time widen it: {good}");
    assert!(late <= 6, "late ones, of 1200 ms, do not: {late}");
}

#[test]
fn servers_that_have_left_are_no_room() {
    // A deploy replaced twelve servers thrice; the module counted all 48 and held its own part of the few that were
    // left for enough to do without the others'.
    let sent_at_once = |deploys: u64| {
        let small = |id| Endpoint {
            weight: 1.0,
            ..server(id)
        };
        let mut hand = Hand::new(settings(6), (1..=12).map(small).collect());
        hand.train(0, 60, |_| 40.0);
        for deploy in 1..=deploys {
            hand.give(full((1..=12).map(|id| small(100 * deploy + id)).collect()));
            hand.pass(1000.0);
        }
        hand.train(1000, 60, |_| 40.0);
        hand.pass(1000.0);
        (2000..2040)
            .map(|id| sends(&hand.give(request(id, 0, 2000.0))).len())
            .sum::<usize>()
    };
    assert_eq!(sent_at_once(3), sent_at_once(0));
}

#[test]
fn calm_servers_get_more_than_their_size_says_while_requests_wait() {
    // Fleets that a proxy does not pool were held to what their ratings say: four servers of size 1 got five requests
    // at once, and the rest waited for servers that had nothing to do.
    let small = |id| Endpoint {
        weight: 1.0,
        ..server(id)
    };
    let out_at_once = |latency: fn(u64, usize) -> Millis| {
        let mut hand = Hand::new(settings(1), (1..=4).map(small).collect());
        let (_, still) = hand.drive(20_000, 8, latency);
        still.len()
    };
    // A request each 8 ms that takes 120 ms wherever it goes: fifteen at a time.
    let calm = out_at_once(|_, _| 120.0);
    assert!(calm >= 14, "{calm} are out at once");
    // One core each: a further request makes all there slower, and no more than crowding allows goes there.
    let crowded = out_at_once(|_, before| 120.0 * (1.0 + before as f64));
    assert!(crowded <= 10, "{crowded} are out at once");
}

#[test]
fn the_first_answers_of_a_kind_are_short_and_no_measure_of_its_calm() {
    // A proxy that began under load took what ended first for the latency of a calm kind; the usual one then looked
    // like a crowd's, and the kind was held to a third of its slots for many seconds.
    let kind = |id| Endpoint {
        machine_type: Some(MachineTypeId(u32::from(id > 6))),
        ..server(id)
    };
    let mut hand = Hand::new(settings(1), (1..=12).map(kind).collect());
    let ended = std::cell::Cell::new(0);
    let (sent, _) = hand.drive(6000, 4, |to, before| {
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
fn failures_that_all_servers_share_close_none_of_them() {
    // page8769: a tenth of all connections broke, every server was closed in turn, and all was refused.
    let mut hand = Hand::new(settings(1), (1..=9).map(server).collect());
    hand.train(0, 200, |_| 40.0);
    let mut held = 0;
    for id in 1000..3000 {
        let mut sent = sends(&hand.give(request(id, 1, 3000.0)));
        held += usize::from(sent.is_empty());
        hand.pass(20.0);
        while let Some((of, _)) = sent.pop() {
            let outcome = if of % 8 == 3 {
                Outcome::Reset
            } else {
                Outcome::Served
            };
            sent = sends(&hand.give(ended(of, 0, 20.0, outcome)));
        }
    }
    assert!(
        held < 20,
        "{held} of 2000 found no server open, one at a time on nine"
    );
}

#[test]
fn an_ill_server_is_closed_amid_failures_that_all_share() {
    let mut hand = Hand::new(settings(1), (1..=9).map(server).collect());
    hand.train(0, 200, |_| 40.0);
    let (mut ill, mut others) = (0, 0);
    for id in 1000..3000 {
        let sent = sends(&hand.give(request(id, 1, 3000.0)));
        hand.pass(20.0);
        let Some(&(_, to)) = sent.first() else {
            continue;
        };
        if id >= 2000 {
            (ill, others) = if to == 1 {
                (ill + 1, others)
            } else {
                (ill, others + 1)
            };
        }
        let broken = to == 1 && id >= 2000 || id % 8 == 3;
        hand.give(ended(
            id,
            0,
            20.0,
            if broken {
                Outcome::Reset
            } else {
                Outcome::Served
            },
        ));
    }
    assert!(
        ill < 20 && others > 900,
        "{ill} of 1000 went to the broken server, {others} elsewhere"
    );
}

#[test]
fn unanswered_requests_take_no_place_in_the_window_of_pooled_servers() {
    // page108: three answers in a hundred never came, and the requests that waited for them filled the window.
    let mut hand = Hand::new(settings(20), (1..=40).map(server).collect());
    hand.train(0, 100, |_| 20.0);
    hand.pass(200.0);
    let (mut held, mut out) = (0, vec![]);
    for id in 1000..1400 {
        let actions = hand.give(request(id, 0, 2000.0));
        held += usize::from(sends(&actions).is_empty());
        out.extend(sends(&actions));
        out.extend(sends(&hand.pass(20.0)));
        while let Some((of, _)) = out.pop() {
            if of % 10 != 0 {
                out.extend(sends(&hand.give(ended(of, 0, 20.0, Outcome::Served))));
            }
        }
    }
    // One in ten is out for 0.8 s, forty requests long: four at any time, as many as may be out at first.
    assert!(
        held <= 8,
        "{held} of 400 were held with nearly all servers idle"
    );
}

#[test]
fn answers_lost_at_all_servers_alike_prove_no_hang() {
    // page108: three answers in a hundred never came, and each of them closed a server that was well.
    let slow = |id| Endpoint {
        machine_type: Some(MachineTypeId(1)),
        ..server(id)
    };
    let list = (1..=4).map(server).chain((5..=8).map(slow)).collect();
    let classes = vec![class(Idempotency::Idempotent, 100.0); 2];
    let mut hand = Hand::new(
        Settings {
            classes,
            ..settings(1)
        },
        list,
    );
    let count = std::cell::Cell::new(0);
    let (sent, _) = hand.drive(20_000, 4, |to, _| {
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
    // A third spills over in any case; with the fast servers closed in turn it is more than half.
    assert!(
        slow * 5 < late.len() * 2,
        "{slow} of {} went to the slow servers",
        late.len()
    );
}

#[test]
fn a_refusal_says_when_to_come_back_where_the_settings_allow_it() {
    let waits = |retry_after, n| {
        let mut hand = Hand::new(
            Settings {
                max_retry_after: retry_after,
                ..settings(1)
            },
            vec![server(1)],
        );
        let mut out: Vec<Action> = (0..n)
            .flat_map(|id| hand.give(request(id, 1, 1200.0)))
            .collect();
        out.extend(hand.pass(1200.0));
        let wait = |a: &Action| match a {
            Action::Reject { retry_after, .. } => Some(*retry_after),
            _ => None,
        };
        out.iter().filter_map(wait).collect::<Vec<_>>()
    };
    assert!(waits(None, 20).iter().all(Option::is_none));
    let told: Vec<Millis> = waits(Some(900.0), 20).into_iter().flatten().collect();
    assert!(
        told.len() >= 10 && told.iter().all(|w| (1.0..=900.0).contains(w)),
        "{told:?}"
    );
    // The longer the queue, the later; and never later than clients go by.
    assert_eq!(waits(Some(900.0), 200)[0], Some(900.0));
}

#[test]
fn where_answers_get_lost_a_safe_request_is_tried_elsewhere_in_time() {
    // page108: lookups whose answer was lost waited for it until their client gave up.
    let mut hand = Hand::new(settings(1), (1..=4).map(server).collect());
    hand.train(0, 200, |_| 20.0);
    let timeout = |actions: &[Action]| match actions {
        [Action::Forward { timeout, .. }] => *timeout,
        _ => None,
    };
    let sent = hand.give(request(1000, 0, 2000.0));
    assert!(
        sends(&sent).len() == 1 && timeout(&sent).is_none(),
        "an answer may just take long: {sent:?}"
    );
    hand.give(ended(1000, 0, 20.0, Outcome::Served));
    for id in 1001..1021 {
        hand.give(request(id, 0, 2000.0));
        hand.pass(2000.0);
        hand.give(ended(id, 0, 2000.0, Outcome::TimedOut));
        hand.pass(500.0);
    }
    let mut again = 0;
    for id in 2000..2400 {
        let sent = hand.give(request(id, 0, 2000.0));
        let Some(span) = timeout(&sent).filter(|_| id % 10 == 0) else {
            hand.pass(20.0);
            hand.give(ended(id, 0, 20.0, Outcome::Served));
            continue;
        };
        assert!(span < 400.0, "half its aim: {span}");
        hand.pass(span);
        let then = hand.give(ended(id, 0, span, Outcome::TimedOut));
        again += sends(&then)
            .iter()
            .filter(|s| s.0 == id && s.1 != sends(&sent)[0].1)
            .count();
        hand.give(ended(id, 1, 20.0, Outcome::Served));
    }
    assert!(again >= 30, "{again} of 40 were tried elsewhere at once");
    let sent = hand.give(request(3000, 1, 3000.0));
    assert!(
        sends(&sent).len() == 1 && timeout(&sent).is_none(),
        "it must never run twice: {sent:?}"
    );
}

#[test]
fn slots_are_divided_anew_when_a_proxy_tells_its_zone() {
    // How many slots are a proxy's own is kept: the count must not outlive what it was counted by.
    let told = |proxies, me, zone| Settings {
        gossip_enabled: true,
        proxy_index: me,
        zone: Some(ZoneId(zone)),
        ..settings(proxies)
    };
    let servers: Vec<Endpoint> = (1..=40)
        .map(|id| Endpoint {
            weight: 8.0,
            ..server(id)
        })
        .collect();
    let word = |me, zone| {
        let mut other = Hand::new(told(2, me, zone), servers.clone());
        let actions: Vec<Action> = (0..50).flat_map(|_| other.pass(20.0)).collect();
        actions.into_iter().find_map(|a| match a {
            Action::Broadcast(bytes) => Some(bytes),
            _ => None,
        })
    };
    // All servers stand in zone 0, as this proxy does. The other one shares them only if it stands there too.
    let mut shares = [0, 1].map(|zone| {
        let mut hand = Hand::new(told(2, 0, 0), servers.clone());
        hand.train(0, 400, |_| 40.0);
        let bytes = word(1, zone).expect("it tells");
        for _ in 0..80 {
            hand.pass(20.0); // each server's slots are looked at again
            hand.give(Event::Gossip {
                from: 1,
                bytes: bytes.clone(),
            });
        }
        hand
    });
    let [together, alone] = [0, 1].map(|i| burst(&mut shares[i], 10_000, 600).len());
    assert!(
        alone > together,
        "{alone} slots are free where the other stands elsewhere, {together} together"
    );
}

#[test]
fn a_request_without_room_is_refused_at_once_and_asked_back_at_different_times() {
    let refusals = |most: Option<f64>| -> Vec<Option<f64>> {
        let mut balancer = Balancer::new(
            Settings {
                max_retry_after: most,
                ..settings(1)
            },
            1,
        );
        let mut out = Vec::new();
        for n in 0..50 {
            balancer.handle(
                0.0,
                Event::QuotaRejected {
                    id: RequestId(n),
                    retry_after: 100.0,
                },
                &mut out,
            );
        }
        let refused = |a: &Action| match a {
            Action::Reject { retry_after, .. } => Some(*retry_after),
            _ => None,
        };
        out.iter().filter_map(refused).collect()
    };
    let named: Vec<f64> = refusals(Some(1000.0)).into_iter().flatten().collect();
    assert_eq!(named.len(), 50);
    assert!(
        named.iter().all(|ms| (100.0..200.0).contains(ms)),
        "{named:?}"
    );
    assert!(
        named.iter().any(|ms| *ms < 130.0) && named.iter().any(|ms| *ms > 170.0),
        "{named:?}"
    );
    assert!(
        refusals(Some(120.0))
            .iter()
            .flatten()
            .all(|ms| (60.0..120.0).contains(ms)),
        "no longer than allowed"
    );
    assert_eq!(refusals(None), [None; 50]);
}

/// Asks for something each 60 ms, for `steps` of them; servers below `gone` refuse connections at once, the others
/// answer in 30 ms. Returns the sends to those below and how many requests were not served.
fn lookups_past_gone_servers(hand: &mut Hand, first: u64, steps: u64, gone: u64) -> (usize, usize) {
    let (mut wrong, mut unserved) = (0, 0);
    for id in first..first + steps {
        let mut sent = sends(&hand.give(request(id, 0, 2000.0)));
        let mut attempt = 0;
        while let Some(&(_, to)) = sent.first() {
            let (latency, outcome) = if to < gone {
                (0.1, Outcome::ConnectFailed)
            } else {
                (30.0, Outcome::Served)
            };
            wrong += usize::from(to < gone);
            hand.pass(latency);
            sent = sends(&hand.give(ended(id, attempt, latency, outcome)));
            attempt += 1;
            unserved += usize::from(to < gone && sent.is_empty());
        }
        hand.pass(30.0);
    }
    (wrong, unserved)
}

#[test]
fn servers_that_are_gone_are_seldom_tried_by_a_proxy_that_meets_each_seldom() {
    // One of 100 proxies, with an old list on which 30 of 60 servers are still up.
    let mut hand = Hand::new(settings(100), (0..60).map(server).collect());
    lookups_past_gone_servers(&mut hand, 0, 200, 0); // sound so far
    let (first, _) = lookups_past_gone_servers(&mut hand, 1000, 120, 30);
    let (later, unserved) = lookups_past_gone_servers(&mut hand, 2000, 240, 30);
    assert!(
        first >= 20,
        "they have to be met to be known, but only {first} sends met one"
    );
    assert!(
        later <= 48,
        "{later} of 240 requests met a server that was gone before"
    );
    assert_eq!(unserved, 0);
}

#[test]
fn cold_servers_help_out_while_the_window_of_the_warm_ones_is_full() {
    // One of 100 proxies; a release has left 24 warm servers, crowded by all, and 36 cold ones with a budget.
    let mut hand = Hand::new(settings(100), (0..24).map(server).collect());
    hand.drive(6000, 60, |_, _| 30.0);
    let cold = |id| Endpoint {
        started_at: Some(7000.0),
        ..server(id)
    };
    hand.give(full(
        (0..24).map(server).chain((24..60).map(cold)).collect(),
    ));
    let (sent, _) = hand.drive(5000, 30, |to, _| if to < 24 { 700.0 } else { 150.0 });
    let helped = sent.iter().filter(|s| s.1 >= 24).count();
    assert!(
        helped >= 10,
        "{helped} of {} went to a cold server",
        sent.len()
    );
    // A core does 33 a second, these two fifths of it; three times that for 5 s from 100 proxies would be too much.
    let part = 36.0 * 2.0 * 33.0 * 0.4 * 3.0 * 5.0 / 100.0;
    assert!(
        (helped as f64) < part,
        "{helped} is more than this proxy's part, {part}"
    );
}

/// Requests that one of 100 proxies has out at the end, and the sends of the last tenth, after servers below `slow`
/// have taken `latency` instead of 40 ms from the 100th send on.
fn with_slow_servers(keys: u64, slow: u64, latency: Millis) -> (usize, usize) {
    let settings = Settings {
        key_affinity: keys > 0,
        ..settings(100)
    };
    let mut hand = Hand::new(settings, (0..24).map(server).collect());
    hand.keys = keys;
    let sends = std::cell::Cell::new(0);
    let take = |to: u64, _: usize| {
        sends.set(sends.get() + 1);
        if to < slow && sends.get() > 100 {
            latency
        } else {
            40.0
        }
    };
    let (sent, still) = hand.drive(30_000, 30, take);
    (
        still.len(),
        sent.iter().filter(|s| s.0 >= 1000 + 27_000).count(),
    )
}

#[test]
fn a_crowd_narrows_the_window_long_before_answers_are_late() {
    // Half the aim is 600 ms. 100 proxies with four requests each would have 24 servers hold 17 apiece.
    let (out, _) = with_slow_servers(0, 24, 400.0);
    assert!(
        out <= 2,
        "{out} out among servers that take ten times as long as when calm"
    );
}

/// One of 32 proxies before twelve servers of one core, which answer in 250 ms from the first request on.
fn among_small_servers(load: fn(usize) -> LoadReport) -> Hand {
    let small = |id| Endpoint {
        weight: 1.0,
        ..server(id)
    };
    let mut hand = Hand::new(settings(32), (0..12).map(small).collect());
    hand.load = load;
    hand
}

#[test]
fn a_crowd_that_servers_tell_of_narrows_the_window_where_calm_was_learnt_in_it() {
    // Seen on throng+brink: twenty in hand at each server of one core from the start, so that what they took passed
    // for calm, and answers within four times of that widened the window.
    let out = |load| {
        among_small_servers(load)
            .drive(6000, 12, |_, _| 250.0)
            .1
            .len()
    };
    for (load, why) in [
        (
            (|_| LoadReport {
                in_flight: Some(20.0),
                queued: Some(0.0),
            }) as fn(usize) -> LoadReport,
            "in hand",
        ),
        (
            |_| LoadReport {
                in_flight: None,
                queued: Some(20.0),
            },
            "waiting alone",
        ),
    ] {
        assert!(out(load) <= 2, "{why}: {}", out(load));
    }
    for (load, why) in [
        (
            (|_| LoadReport::default()) as fn(usize) -> LoadReport,
            "nothing is told",
        ),
        (
            |_| LoadReport {
                in_flight: Some(4.0),
                queued: Some(9.0),
            },
            "few in hand go before those that wait",
        ),
        (
            |_| LoadReport {
                in_flight: None,
                queued: Some(3.0),
            },
            "few wait",
        ),
    ] {
        assert!(out(load) >= 6, "{why}: {}", out(load));
    }
}

#[test]
fn a_load_is_told_for_each_core() {
    let told = |in_hand, waiting| LoadReport {
        in_flight: in_hand,
        queued: waiting,
    };
    assert_eq!(told(None, None).per_core(2.0), None);
    assert_eq!(
        told(Some(6.0), Some(40.0)).per_core(2.0),
        Some(3.0),
        "what is in hand goes first"
    );
    assert_eq!(
        told(None, Some(6.0)).per_core(2.0),
        Some(4.0),
        "and those in work beside"
    );
    assert_eq!(
        told(None, Some(0.0)).per_core(2.0),
        Some(0.0),
        "none may be in work"
    );
}

#[test]
fn servers_that_are_slow_by_themselves_do_not_narrow_the_window() {
    // Keys at home on slow servers keep asking there.
    let (_, sent) = with_slow_servers(97, 16, 500.0);
    assert!(sent >= 95, "{sent} of 100 went out");
}

#[test]
fn a_home_that_is_far_slower_than_other_servers_is_left() {
    // One of 100 proxies; one key's home has been crowded by all that ask for it.
    let mut hand = Hand::new(
        Settings {
            key_affinity: true,
            ..settings(100)
        },
        (0..60).map(server).collect(),
    );
    hand.keys = 97;
    let mut homes = std::collections::BTreeMap::new();
    let (sent, _) = hand.drive(60 * 97, 60, |_, _| 40.0);
    sent.iter()
        .for_each(|s| *homes.entry(s.1).or_insert(0) += 1);
    let (&busy, _) = homes.iter().max_by_key(|h| h.1).unwrap();
    let (sent, _) = hand.drive(
        60 * 97 * 10,
        60,
        |to, _| if to == busy { 500.0 } else { 40.0 },
    );
    let of = |part: &[(u64, u64)]| part.iter().filter(|s| s.1 == busy).count();
    let (early, late) = (of(&sent[..sent.len() / 2]), of(&sent[sent.len() / 2..]));
    assert!(late * 2 <= early, "{late} sends to it after {early}");
}

#[test]
fn a_lookup_whose_turn_would_come_too_late_is_refused_when_it_comes() {
    let mut hand = Hand::new(settings(100), (0..24).map(server).collect());
    hand.train(0, 50, |_| 60.0);
    let ask = |hand: &mut Hand, first: u64, n: u64, class| {
        (first..first + n)
            .map(|id| refusals(&hand.give(request(id, class, 3000.0))))
            .sum::<usize>()
    };
    // Four go out and an answer takes 60 ms: in half the aim of 800 ms some 27 have their turn.
    let refused = ask(&mut hand, 1000, 60, 0);
    assert!(
        (20..=40).contains(&refused),
        "{refused} of 60 lookups at once"
    );
    assert_eq!(
        ask(&mut hand, 2000, 10, 1),
        0,
        "what must not run twice is worth its wait"
    );
}

#[test]
fn a_server_is_tried_with_what_must_not_run_twice_while_nothing_else_comes() {
    // Seen in a test with checkouts alone: one hiccup closed the only server, and it was never tried again.
    let mut hand = Hand::new(settings(1), vec![server(1)]);
    hand.train(1, 40, |_| 20.0);
    for id in 1000..1004 {
        hand.give(request(id, 1, 3000.0));
        hand.give(ended(id, 0, 5.0, Outcome::Error));
    }
    hand.pass(9000.0); // its closings are over, and no request that may be repeated has come for long
    assert_eq!(burst(&mut hand, 2000, 1), [(2000, 1)]);
}
