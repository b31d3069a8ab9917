//! Many proxies, each with its own instance of the module: limits must hold for all proxies together.
mod common;
use balancer::*;
use common::*;

/// Latency at a warm endpoint, whose two cores serve 50 requests a second.
const LATENCY: Millis = 40.0;

/// Time at which proxies learn the number of proxies.
#[derive(Clone, Copy, PartialEq)]
enum ProxyCountKnown {
    AtStart,
    /// Each proxy starts as the only one, and learns the number of proxies afterwards.
    Later,
    Never,
}

/// Returns the number of attempts that each endpoint got in each step of 100 ms from all proxies. All endpoints have
/// just started, and each proxy receives a request every 25 ms.
fn attempts_per_step(
    proxies: u32,
    endpoints: u64,
    steps: usize,
    known: ProxyCountKnown,
) -> Vec<Vec<u32>> {
    let list = |process_start| {
        (0..endpoints)
            .map(|id| Endpoint {
                started_at: process_start,
                ..endpoint(id)
            })
            .collect()
    };
    let mut counts = vec![vec![0; steps]; endpoints as usize];
    for proxy_index in 0..proxies {
        let settings = if known == ProxyCountKnown::AtStart {
            Settings {
                proxy_index,
                ..settings(proxies)
            }
        } else {
            settings(1)
        };
        let mut harness = Harness::seeded(settings, list(None), u64::from(proxy_index));
        harness.train(0, 50, |_| LATENCY); // learns the latency of the machine type at warm endpoints
        if known == ProxyCountKnown::Later {
            harness.handle(Event::ProxyCount {
                proxy_index,
                proxy_count: proxies,
            });
        }
        let start = harness.now;
        harness.handle(full_update(list(Some(start))));
        for (at, _, to) in harness.run_timed(steps as u64 * 100, 25, |_, _| LATENCY).0 {
            counts[to as usize][(((at - start) / 100.0) as usize).min(steps - 1)] += 1;
        }
    }
    counts
}

/// Returns the first overloaded endpoint, if any, and the step.
///
/// An endpoint starts with a fifth of its capacity of 50 requests per second, and three times its current capacity over
/// 2 s overloads it.
fn first_overload(counts: &[Vec<u32>]) -> Option<(usize, usize)> {
    counts.iter().enumerate().find_map(|(id, count)| {
        let over = count.windows(20).enumerate().find(|(at, window)| {
            let age = *at as f64 * 100.0;
            let capacity = 0.05 * (0.2 + 0.8 * age / 10_000.0);
            f64::from(window.iter().sum::<u32>()) > 3.0 * capacity * 2000.0
        });
        over.map(|(at, _)| (id, at))
    })
}

#[test]
fn warming_endpoints_are_not_overloaded_by_any_number_of_proxies() {
    let proxies = [1, 1, 2, 3, 7, 20, 60, 100, 200, 200, 200];
    let endpoints = [1, 1000, 3, 12, 100, 29, 60, 60, 1, 8, 60];
    for (proxies, endpoints) in proxies.into_iter().zip(endpoints) {
        let counts = attempts_per_step(proxies, endpoints, 40, ProxyCountKnown::AtStart);
        assert_eq!(
            first_overload(&counts),
            None,
            "{proxies} proxies, {endpoints} endpoints"
        );
    }
}

#[test]
fn proxies_that_learn_the_proxy_count_later_divide_slow_start_budgets() {
    for (proxies, endpoints) in [(2, 3), (12, 8), (60, 60)] {
        let counts = attempts_per_step(proxies, endpoints, 40, ProxyCountKnown::Later);
        assert_eq!(
            first_overload(&counts),
            None,
            "{proxies} proxies, {endpoints} endpoints"
        );
    }
    // Without knowledge of the others, each proxy uses the budget of a single proxy.
    assert!(first_overload(&attempts_per_step(12, 8, 40, ProxyCountKnown::Never)).is_some());
}

#[test]
fn requests_are_forwarded_after_changes_of_the_proxy_count() {
    let mut harness = Harness::seeded(settings(1), (0..6).map(endpoint).collect(), 1);
    harness.train(0, 50, |_| LATENCY);
    for (proxy_index, proxies) in [(0, 4), (3, 9), (9, 9), (0, 0), (1, 2), (0, 1)] {
        harness.handle(Event::ProxyCount {
            proxy_index,
            proxy_count: proxies,
        });
        let (sent, _) = harness.run_timed(500, 25, |_, _| LATENCY);
        assert!(
            !sent.is_empty(),
            "no request was forwarded by proxy {proxy_index} of {proxies}"
        );
    }
}

#[test]
fn many_proxies_together_use_warming_endpoints() {
    // Each proxy's part of a warming endpoint's capacity is less than one request per second, but the sum is not.
    for proxies in [20, 100, 200] {
        let counts = attempts_per_step(proxies, 30, 40, ProxyCountKnown::AtStart);
        let sent: u32 = counts.iter().flatten().sum();
        // 30 endpoints serve 10 requests per second each at their start and 26 after four seconds: 2,160 in total.
        assert!(sent >= 500, "{proxies} proxies sent {sent} in four seconds");
    }
}
