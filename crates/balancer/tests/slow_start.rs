//! Slow start over many proxies, with uneven traffic, requests of different work, and proxies without estimates:
//! together they stay within an endpoint's budget of N requests of mean work, and 2 √N + 2 more for chance.
mod common;
use balancer::*;
use common::*;

/// Work of the two classes on one core.
const WORK: [Millis; 2] = [16.0, 96.0];
/// Fraction of requests of the second class.
const HEAVY: f64 = 0.3;
/// Cores of an endpoint.
const CORES: f64 = 2.0;

fn mean_work() -> Millis {
    WORK[0] * (1.0 - HEAVY) + WORK[1] * HEAVY
}

/// Arrival pattern at each proxy.
#[derive(Clone, Copy, Debug)]
enum Traffic {
    Even,
    /// Few requests, and after so many ms many at all proxies at once.
    Burst(u64),
    /// A tenth of the proxies gets nearly all requests.
    Skewed,
    /// Only requests of the heavy class.
    Heavy,
}

/// Knowledge of a proxy when the endpoints start.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Knowledge {
    All,
    /// It has just started itself.
    Nothing,
    /// It starts this long after the endpoints.
    Later(u64),
    /// It learns only now how many proxies there are.
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

const SPAN: u64 = 11_000;
const STEP: u64 = 50;

/// Returns the requests of mean work that each warming endpoint got in each step, over all proxies.
fn attempts_per_step(p: &Scenario) -> Vec<Vec<f64>> {
    let steps = (SPAN / STEP) as usize;
    let mut sums = vec![vec![0.0; steps + 1]; p.warming_endpoints as usize];
    for proxy_index in 0..p.proxies {
        let mut chance = fastrand::Rng::with_seed(p.seed * 1_000_003 + u64::from(proxy_index));
        let knowledge = (p.knowledge)(proxy_index);
        let known_proxies = if knowledge == Knowledge::Alone {
            1
        } else {
            p.proxies
        };
        let settings = Settings {
            proxy_index: if known_proxies == 1 { 0 } else { proxy_index },
            limits: p.limits,
            ..settings(known_proxies)
        };
        let warm: Vec<Endpoint> = (0..p.warm_endpoints).map(endpoint).collect();
        let begin = match knowledge {
            Knowledge::Later(after) => after,
            _ => 0,
        };
        let all = |now: Millis| {
            let started_at = Some(now - begin as f64);
            let warming = (0..p.warming_endpoints).map(|k| Endpoint {
                started_at,
                ..endpoint(1000 + k)
            });
            warm.iter().cloned().chain(warming).collect::<Vec<_>>()
        };
        let mut harness = if matches!(knowledge, Knowledge::All | Knowledge::Alone) {
            let mut harness = Harness::seeded(settings, warm.clone(), chance.u64(..));
            learn(&mut harness, &mut chance);
            if known_proxies != p.proxies {
                harness.handle(Event::ProxyCount {
                    proxy_index,
                    proxy_count: p.proxies,
                });
            }
            let now = harness.now;
            harness.handle(full_update(all(now)));
            harness
        } else {
            Harness::seeded(settings, all(1000.0), chance.u64(..))
        };
        let start = harness.now - begin as f64;
        let many = match p.traffic {
            Traffic::Skewed if proxy_index % 10 == 0 => 200.0,
            Traffic::Skewed => 0.5,
            _ => 60.0, // more than its one slot on the one warm endpoint can serve
        };
        let mut out: Vec<(Millis, u64, Millis)> = vec![];
        for at in begin..SPAN {
            let mut actions = harness.advance(1.0);
            let rate = match p.traffic {
                Traffic::Burst(from) if at < from => 0.5,
                Traffic::Burst(_) => 120.0,
                _ => many,
            };
            if chance.f64() < rate / 1000.0 {
                let heavy = matches!(p.traffic, Traffic::Heavy) || chance.f64() < HEAVY;
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
                let latency = work * (0.5 + chance.f64());
                out.push((now + latency, id, latency));
                if to >= 1000 {
                    let step = ((now - start) as u64 / STEP).min(steps as u64);
                    sums[(to - 1000) as usize][step as usize] += work / mean_work();
                }
            }
        }
    }
    sums
}

/// Lets a proxy learn the latencies of its endpoints.
fn learn(harness: &mut Harness, chance: &mut fastrand::Rng) {
    for id in 0..120 {
        let heavy = chance.f64() < HEAVY;
        let latency = WORK[usize::from(heavy)] * (0.5 + chance.f64());
        if forwarded(&harness.handle(request(id, usize::from(heavy), 2000.0))).is_empty() {
            harness.advance(2100.0);
            continue;
        }
        harness.advance(latency);
        harness.handle(attempt_ended(id, 0, latency, Outcome::Served));
    }
}

/// Returns the largest fraction that an endpoint got of its budget with the allowance for chance; when, and the budget.
fn worst(p: &Scenario, sums: &[Vec<f64>]) -> (f64, u64, f64) {
    let l = &p.limits;
    let window = (l.overload_window as u64 / STEP) as usize;
    let mut worst = (0.0, 0, 0.0);
    for endpoint in sums {
        // Only while it is warming up.
        let warm_up_steps = (l.warm_up as u64 / STEP) as usize;
        for (from, sent) in endpoint[..warm_up_steps.min(endpoint.len())]
            .windows(window)
            .enumerate()
        {
            let warm_up_fraction = (from as u64 * STEP) as f64 / l.warm_up;
            let capacity_fraction = (l.initial_capacity_fraction
                + (1.0 - l.initial_capacity_fraction) * warm_up_fraction)
                .min(1.0);
            let n =
                l.overload_multiple * capacity_fraction * CORES / mean_work() * l.overload_window;
            let part = sent.iter().sum::<f64>() / (n + 2.0 * n.sqrt() + 2.0);
            if part > worst.0 {
                worst = (part, from as u64 * STEP, n);
            }
        }
    }
    worst
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

/// Checks all traffic patterns under all limits with so many proxies.
fn check_budgets(proxies: &[u32], knowledge: fn(u32) -> Knowledge) {
    let all = [
        limits(0.12, 23_000.0, 3.0, 1000.0),
        limits(0.3, 9000.0, 3.0, 3000.0),
        limits(0.2, 10_000.0, 1.5, 400.0),
    ];
    let (mut broken, mut largest) = (Vec::new(), 0.0_f64);
    for &proxies in proxies {
        for (n, limits) in all.into_iter().enumerate() {
            for traffic in [
                Traffic::Even,
                Traffic::Burst(9000),
                Traffic::Skewed,
                Traffic::Heavy,
            ] {
                for seed in 0..(60 / u64::from(proxies)).clamp(1, 4) {
                    let p = Scenario {
                        proxies,
                        warm_endpoints: 1,
                        warming_endpoints: 3,
                        limits,
                        traffic,
                        knowledge,
                        seed,
                    };
                    let (part, at, budget) = worst(&p, &attempts_per_step(&p));
                    largest = part.max(largest);
                    if part > 1.0 {
                        broken.push(format!(
                            "{proxies} proxies, limits {n}, {traffic:?}, seed {seed}: {part:.2} times {budget:.1} from {at} ms"
                        ));
                    }
                }
            }
        }
    }
    assert!(broken.is_empty(), "{}", broken.join("\n"));
    assert!(
        largest > 0.4,
        "at most {largest} of a budget was used: the scenarios don't test it"
    );
}

#[test]
fn proxies_with_estimates_stay_within_the_budget() {
    check_budgets(&[1, 5, 20, 30, 300], |_| Knowledge::All);
}

#[test]
fn proxies_that_mostly_have_just_started_stay_within_the_budget() {
    check_budgets(&[5, 20, 30, 300], |proxy_index| {
        if proxy_index % 10 < 3 {
            Knowledge::All
        } else {
            Knowledge::Nothing
        }
    });
}

#[test]
fn proxies_that_start_one_after_the_other_stay_within_the_budget() {
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
