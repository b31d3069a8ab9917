//! Slow start with many proxies, uneven traffic, requests of different work, and proxies without estimates. All proxies
//! together must stay within an endpoint's budget of N requests of mean work, plus an allowance of 2 √N + 2 requests
//! for random variation.
mod common;
use balancer::*;
use common::*;

/// Work of a request of each of the two classes on one core.
const WORK: [Millis; 2] = [16.0, 96.0];
/// Fraction of requests that belong to the second class.
const HEAVY_FRACTION: f64 = 0.3;
/// Cores of an endpoint.
const CORES: f64 = 2.0;

fn mean_work() -> Millis {
    WORK[0] * (1.0 - HEAVY_FRACTION) + WORK[1] * HEAVY_FRACTION
}

/// Arrival pattern at each proxy.
#[derive(Clone, Copy, Debug)]
enum Traffic {
    Even,
    /// Few requests, and after this time in ms many requests at all proxies at once.
    Burst(u64),
    /// A tenth of the proxies receives nearly all requests.
    Skewed,
    /// Only requests of the heavy class.
    Heavy,
}

/// State of a proxy when the endpoints start.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Knowledge {
    All,
    /// The proxy has just started.
    Nothing,
    /// The proxy starts this time in ms after the endpoints.
    Later(u64),
    /// The proxy learns the number of proxies only when the endpoints start.
    Alone,
}

struct Scenario {
    proxies: u32,
    warm_endpoints: u64,
    warming_endpoints: u64,
    limits: Limits,
    traffic: Traffic,
    knowledge: fn(u32) -> Knowledge,
    seed: u64,
}

const DURATION_MS: u64 = 11_000;
const STEP_MS: u64 = 50;

/// Returns the load that each warming endpoint got in each step from all proxies, in requests of mean work.
fn load_per_step(scenario: &Scenario) -> Vec<Vec<f64>> {
    let steps = (DURATION_MS / STEP_MS) as usize;
    let mut load = vec![vec![0.0; steps + 1]; scenario.warming_endpoints as usize];
    for proxy_index in 0..scenario.proxies {
        let mut rng = fastrand::Rng::with_seed(scenario.seed * 1_000_003 + u64::from(proxy_index));
        let knowledge = (scenario.knowledge)(proxy_index);
        let known_proxies = if knowledge == Knowledge::Alone {
            1
        } else {
            scenario.proxies
        };
        let settings = Settings {
            proxy_index: if known_proxies == 1 { 0 } else { proxy_index },
            limits: scenario.limits,
            ..settings(known_proxies)
        };
        let warm: Vec<Endpoint> = (0..scenario.warm_endpoints).map(endpoint).collect();
        let start_delay = match knowledge {
            Knowledge::Later(after) => after,
            _ => 0,
        };
        let all = |now: Millis| {
            let started_at = Some(now - start_delay as f64);
            let warming = (0..scenario.warming_endpoints).map(|k| Endpoint {
                started_at,
                ..endpoint(1000 + k)
            });
            warm.iter().cloned().chain(warming).collect::<Vec<_>>()
        };
        let mut harness = if matches!(knowledge, Knowledge::All | Knowledge::Alone) {
            let mut harness = Harness::seeded(settings, warm.clone(), rng.u64(..));
            learn(&mut harness, &mut rng);
            if known_proxies != scenario.proxies {
                harness.handle(Event::ProxyCount {
                    proxy_index,
                    proxy_count: scenario.proxies,
                });
            }
            let now = harness.now;
            harness.handle(full_update(all(now)));
            harness
        } else {
            Harness::seeded(settings, all(1000.0), rng.u64(..))
        };
        let start = harness.now - start_delay as f64;
        let usual_rate = match scenario.traffic {
            Traffic::Skewed if proxy_index % 10 == 0 => 200.0,
            Traffic::Skewed => 0.5,
            _ => 60.0, // more than the proxy's one slot at the one warm endpoint can serve
        };
        let mut out: Vec<(Millis, u64, Millis)> = vec![];
        for at in start_delay..DURATION_MS {
            let mut actions = harness.advance(1.0);
            let rate = match scenario.traffic {
                Traffic::Burst(from) if at < from => 0.5,
                Traffic::Burst(_) => 120.0,
                _ => usual_rate,
            };
            if rng.f64() < rate / 1000.0 {
                let heavy =
                    matches!(scenario.traffic, Traffic::Heavy) || rng.f64() < HEAVY_FRACTION;
                let id = 2 * (at + 100_000) + u64::from(heavy);
                actions.extend(harness.handle(request(id, usize::from(heavy), 3000.0)));
            }
            let now = harness.now;
            let (ended, in_flight) = out.into_iter().partition::<Vec<_>, _>(|o| o.0 <= now);
            out = in_flight;
            for (_, id, latency) in ended {
                actions.extend(harness.handle(attempt_ended(id, 0, latency, Outcome::Served)));
            }
            for (id, to) in forwarded(&actions) {
                let work = WORK[(id % 2) as usize];
                let latency = work * (0.5 + rng.f64());
                out.push((now + latency, id, latency));
                if to >= 1000 {
                    let step = ((now - start) as u64 / STEP_MS).min(steps as u64);
                    load[(to - 1000) as usize][step as usize] += work / mean_work();
                }
            }
        }
    }
    load
}

/// Lets a proxy learn the latencies of its endpoints.
fn learn(harness: &mut Harness, rng: &mut fastrand::Rng) {
    for id in 0..120 {
        let heavy = rng.f64() < HEAVY_FRACTION;
        let latency = WORK[usize::from(heavy)] * (0.5 + rng.f64());
        if forwarded(&harness.handle(request(id, usize::from(heavy), 2000.0))).is_empty() {
            harness.advance(2100.0);
            continue;
        }
        harness.advance(latency);
        harness.handle(attempt_ended(id, 0, latency, Outcome::Served));
    }
}

/// Returns the maximum use of an endpoint's budget including the allowance, as a fraction; the start of that window;
/// and the budget without the allowance.
fn max_budget_use(scenario: &Scenario, load: &[Vec<f64>]) -> (f64, u64, f64) {
    let limits = &scenario.limits;
    let window = (limits.overload_window as u64 / STEP_MS) as usize;
    let mut max_use = (0.0, 0, 0.0);
    for endpoint in load {
        // Only windows within the warm-up count.
        let warm_up_steps = (limits.warm_up as u64 / STEP_MS) as usize;
        for (from, sent) in endpoint[..warm_up_steps.min(endpoint.len())]
            .windows(window)
            .enumerate()
        {
            let warm_up_fraction = (from as u64 * STEP_MS) as f64 / limits.warm_up;
            let capacity_fraction = (limits.initial_capacity_fraction
                + (1.0 - limits.initial_capacity_fraction) * warm_up_fraction)
                .min(1.0);
            let budget = limits.overload_multiple * capacity_fraction * CORES / mean_work()
                * limits.overload_window;
            let fraction = sent.iter().sum::<f64>() / (budget + 2.0 * budget.sqrt() + 2.0);
            if fraction > max_use.0 {
                max_use = (fraction, from as u64 * STEP_MS, budget);
            }
        }
    }
    max_use
}

fn limits(
    initial_capacity_fraction: f64,
    warm_up: Millis,
    overload_multiple: f64,
    overload_window: Millis,
) -> Limits {
    Limits {
        initial_capacity_fraction,
        warm_up,
        overload_multiple,
        overload_window,
        max_attempts: 4,
    }
}

/// Checks the budgets for all traffic patterns, limits and given numbers of proxies.
fn check_budgets(proxies: &[u32], knowledge: fn(u32) -> Knowledge) {
    let all = [
        limits(0.12, 23_000.0, 3.0, 1000.0),
        limits(0.3, 9000.0, 3.0, 3000.0),
        limits(0.2, 10_000.0, 1.5, 400.0),
    ];
    let (mut violations, mut largest) = (Vec::new(), 0.0_f64);
    for &proxies in proxies {
        for (n, limits) in all.into_iter().enumerate() {
            for traffic in [
                Traffic::Even,
                Traffic::Burst(9000),
                Traffic::Skewed,
                Traffic::Heavy,
            ] {
                for seed in 0..(60 / u64::from(proxies)).clamp(1, 4) {
                    let scenario = Scenario {
                        proxies,
                        warm_endpoints: 1,
                        warming_endpoints: 3,
                        limits,
                        traffic,
                        knowledge,
                        seed,
                    };
                    let (fraction, at, budget) =
                        max_budget_use(&scenario, &load_per_step(&scenario));
                    largest = fraction.max(largest);
                    if fraction > 1.0 {
                        violations.push(format!(
                            "{proxies} proxies, limits {n}, {traffic:?}, seed {seed}: load of {fraction:.2} times the allowance for a budget of {budget:.1}, from {at} ms"
                        ));
                    }
                }
            }
        }
    }
    assert!(violations.is_empty(), "{}", violations.join("\n"));
    assert!(
        largest > 0.4,
        "no scenario used more than {largest} of a budget, so that the limit is not tested"
    );
}

#[test]
fn proxies_with_estimates_stay_within_the_budget() {
    check_budgets(&[1, 5, 20, 30, 300], |_| Knowledge::All);
}

#[test]
fn recently_started_proxies_stay_within_the_budget() {
    check_budgets(&[5, 20, 30, 300], |proxy_index| {
        if proxy_index % 10 < 3 {
            Knowledge::All
        } else {
            Knowledge::Nothing
        }
    });
}

#[test]
fn successively_started_proxies_stay_within_the_budget() {
    check_budgets(&[5, 20, 30], |proxy_index| {
        Knowledge::Later(u64::from(proxy_index % 7) * 500)
    });
}

#[test]
fn proxies_that_learn_the_proxy_count_late_stay_within_the_budget() {
    check_budgets(&[5, 20, 30], |proxy_index| {
        if proxy_index % 2 == 0 {
            Knowledge::Alone
        } else {
            Knowledge::All
        }
    });
}
