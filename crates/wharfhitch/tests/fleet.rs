//! Many proxies side by side, each a module of its own: what they may do apart must hold for their sum.
mod common;
use common::*;
use wharfhitch::*;

const LATENCY: Millis = 40.0; // of an answer on a warm server: two cores of it do 50 a second

/// Sends that each server got in each step of 100 ms, over all proxies, each asked for something every 25 ms.
/// Servers up to `cold` started when the play begins, the others long ago.
fn play(proxies: u32, servers: u64, cold: u64, steps: usize) -> Vec<Vec<u32>> {
    let list = |since: Option<Millis>| {
        (0..servers)
            .map(move |id| Backend { since: since.filter(|_| id < cold), ..server(id) })
            .collect::<Vec<_>>()
    };
    let start = 3000.0;
    let mut counts = vec![vec![0; steps]; servers as usize];
    for me in 0..proxies {
        let settings = Settings { me, ..settings(proxies) };
        let mut hand = Hand::seeded(settings, list(None), u64::from(me));
        hand.train(0, 50, |_| LATENCY); // what its kind takes when it is warm
        hand.pass((start - hand.now).max(0.0));
        hand.give(full(list(Some(hand.now))));
        let begin = hand.now;
        let mut out: Vec<(Millis, u64)> = vec![];
        for tick in 0..steps as u64 * 20 {
            let mut actions = hand.pass(5.0);
            if tick % 5 == 0 {
                actions.extend(hand.give(request(1000 + tick, 1, 3000.0)));
            }
            let (over, still) = out.into_iter().partition::<Vec<_>, _>(|o| o.0 <= hand.now);
            out = still;
            for (_, id) in over {
                actions.extend(hand.give(ended(id, 0, LATENCY, Outcome::Served)));
            }
            for (id, to) in sends(&actions) {
                counts[to as usize][(((hand.now - begin) / 100.0) as usize).min(steps - 1)] += 1;
                out.push((hand.now + LATENCY, id));
            }
        }
    }
    counts
}

#[test]
fn cold_servers_are_not_pushed_over_by_any_number_of_proxies_together() {
    // A server starts at a fifth of its 50 a second and is pushed over by three times what it can do for 2 s.
    for (proxies, servers) in [
        (1, 1),
        (1, 1000),
        (2, 3),
        (3, 12),
        (7, 100),
        (20, 29),
        (60, 60),
        (100, 60),
        (200, 1),
        (200, 8),
        (200, 60),
    ] {
        let counts = play(proxies, servers, servers, 40);
        for (id, count) in counts.iter().enumerate() {
            for (at, window) in count.windows(20).enumerate() {
                let age = at as f64 * 100.0;
                let capacity = 0.05 * (0.2 + 0.8 * age / 10_000.0);
                let (sent, most) = (window.iter().sum::<u32>(), 3.0 * capacity * 2000.0);
                assert!(f64::from(sent) <= most, "{proxies} proxies sent {sent} to {id} of {servers}, {at}");
            }
        }
    }
}

#[test]
fn many_proxies_together_do_use_cold_servers_by_their_parts() {
    // Each proxy's part of a cold server is a send in ten seconds or less; their sum is not nothing.
    for proxies in [20, 100, 200] {
        let counts = play(proxies, 30, 30, 40);
        let sent: u32 = counts.iter().flatten().sum();
        // 30 servers do 10 a second cold and 26 after four seconds: 2,160 in all.
        assert!(sent >= 500, "{proxies} proxies sent {sent} in four seconds");
    }
}
