//! Compares algorithms that share one process between tenants, in virtual time: whether they protect a quiet tenant from a
//! flood, divide by weight, and leave no capacity unused.
//!
//! The model is deliberately small: a sequential event loop, rejections that cost less than served requests but are not free,
//! and unread input that waits in the buffers of the operating system. Times are in milliseconds.

mod algorithms;

use std::collections::VecDeque;

use fair_share::{RateQuota, ResourcePool, TenantId};
use rand::Rng;
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution as _, Exp};

use crate::random::{Purpose, stream};
use algorithms::{
    AdmitAll, DeficitRoundRobin, DynamicThreshold, FirstComeFirstServed, FixedPartition,
    TokenBuckets, VirtualTime,
};

/// Event loop time for a served request.
const SERVED_WORK_MS: f64 = 0.040;
/// Event loop time for a rejected request.
const REJECTED_WORK_MS: f64 = 0.012;
/// Ratio of the event loop's time that is shared between admitted requests.
const ADMITTED_TIME_RATIO: f64 = 0.85;
/// Ratio of the event loop's time that is shared between rejections.
const REJECTION_TIME_RATIO: f64 = 0.1;
/// Backlog of work up to which a tenant's requests are admitted.
const ADMITTED_BURST_MS: f64 = 10.0;
/// Backlog of work up to which a tenant's requests are rejected; beyond both limits its connections are not read.
const REJECTION_BURST_MS: f64 = 1.0;
/// Unread requests per tenant that the operating system buffers; further requests are lost.
const MAX_UNREAD_REQUESTS: usize = 2000;
/// Length of a simulation.
const DURATION_MS: f64 = 5_000.0;

/// Shares work between tenants: decides on admission and accounts for the work done.
trait RateAlgorithm {
    fn admit(&mut self, now: f64, tenant: usize) -> bool;
    fn charge(&mut self, now: f64, tenant: usize, work: f64);
}

/// Shares a pool of units between tenants.
trait PoolAlgorithm {
    fn acquire(&mut self, now: f64, tenant: usize) -> bool;
    fn release(&mut self, tenant: usize);
}

/// Creates an algorithm for tenants with these weights, a rate and a burst.
type MakeRateAlgorithm = fn(&[f64], f64, f64) -> Box<dyn RateAlgorithm>;

/// Name of the algorithm without shares, which reads all connections in order of arrival.
const NO_SHARES: &str = "no shares";

/// Figures of one algorithm, in the order of [`RATE_COLUMNS`] or [`POOL_COLUMNS`].
#[derive(Clone, Debug)]
pub struct Row {
    /// Name of the algorithm.
    pub algorithm: &'static str,
    /// Mean, minimum and maximum over the seeds.
    pub figures: Vec<[f64; 3]>,
}

/// Figures reported for algorithms that share event loop time.
pub const RATE_COLUMNS: [&str; 7] = [
    "quiet served %",        // beside a flood at ten times its share
    "its p99 + ms",          // increase over the same load without the flood
    "flood served, of fair", // relative to its max-min fair share
    "off weights %", // three greedy tenants with weights 1:2:5, the worst tenant in the worst second
    "spare off weights %", // the third uses a tenth of the loop; the others share the rest by 1:2
    "burst let in %", // 100 simultaneous requests from an idle tenant beside a greedy one
    "alone, of the rate", // one greedy tenant, nine idle
];

/// Figures reported for algorithms that share a pool.
pub const POOL_COLUMNS: [&str; 5] = [
    "steady got %",         // beside a flood at ten times its share
    "beside hangs got %",   // beside a tenant that holds each unit for 2 s
    "alone, of all",        // one greedy tenant, others idle: mean units held
    "newcomer to 90 %, ms", // until a previously idle tenant holds 90 % of its demand
    "off weights %",        // three greedy tenants with weights 1:2:5
];

/// Simulates all algorithms that share the event loop's time.
pub fn compare_rate_algorithms(seeds: u64) -> Vec<Row> {
    let algorithms: [(&'static str, MakeRateAlgorithm); 5] = [
        (NO_SHARES, |_, _, _| Box::new(AdmitAll)),
        ("turns alone", |_, _, _| Box::new(AdmitAll)),
        ("token buckets, borrowing", |w, rate, burst| {
            Box::new(TokenBuckets::new(w, rate, burst))
        }),
        ("deficit rounds", |w, rate, burst| {
            Box::new(DeficitRoundRobin::new(w, rate, burst))
        }),
        ("virtual time", |w, rate, burst| {
            Box::new(VirtualTime::new(w, rate, burst))
        }),
    ];
    algorithms
        .iter()
        .map(|(algorithm, make)| {
            make_row(algorithm, seeds, |seed| {
                rate_figures(*make, *algorithm != NO_SHARES, seed)
            })
        })
        .collect()
}

/// Simulates all algorithms that share a pool.
pub fn compare_pool_algorithms(seeds: u64) -> Vec<Row> {
    type Make = fn(&[f64], u64) -> Box<dyn PoolAlgorithm>;
    let algorithms: [(&'static str, Make); 4] = [
        (NO_SHARES, |_, all| Box::new(FirstComeFirstServed::new(all))),
        ("fixed parts", |w, all| {
            Box::new(FixedPartition::new(w, all))
        }),
        ("moving threshold", |w, all| {
            Box::new(DynamicThreshold::new(w, all))
        }),
        ("claims", |w, all| {
            let mut pool = ResourcePool::new(all, 1.0 / 16.0);
            w.iter()
                .enumerate()
                .for_each(|(i, w)| pool.set_quota(TenantId(i), *w, u64::MAX));
            Box::new(pool)
        }),
    ];
    algorithms
        .iter()
        .map(|(algorithm, make)| make_row(algorithm, seeds, |seed| pool_figures(*make, seed)))
        .collect()
}

impl PoolAlgorithm for ResourcePool {
    fn acquire(&mut self, now: f64, tenant: usize) -> bool {
        self.acquire(now, TenantId(tenant), 1).is_ok()
    }

    fn release(&mut self, tenant: usize) {
        self.release(TenantId(tenant), 1);
    }
}

fn make_row(algorithm: &'static str, seeds: u64, simulate: impl Fn(u64) -> Vec<f64>) -> Row {
    let all: Vec<Vec<f64>> = (1..=seeds.max(1)).map(simulate).collect();
    let of = |i: usize| {
        let mut column = all.iter().map(|figures| figures[i]);
        let first = column.next().unwrap_or(f64::NAN);
        let fold = |[sum, min, max]: [f64; 3], x: f64| [sum + x, min.min(x), max.max(x)];
        let [sum, min, max] = column.fold([first; 3], fold);
        [sum / all.len() as f64, min, max]
    };
    Row {
        algorithm,
        figures: (0..all[0].len()).map(of).collect(),
    }
}

/// Load of one tenant: random arrivals at a rate in work per ms, or periodic bursts.
#[derive(Clone, Copy)]
enum Load {
    Steady(f64),
    Bursts { every: f64, size: usize },
    None,
}

/// Results of one tenant.
#[derive(Clone, Default)]
struct TenantResult {
    requested: usize,
    served: usize,
    latencies: Vec<f64>,
    /// Event loop time used in each second.
    work: Vec<f64>,
}

impl TenantResult {
    fn p99(&mut self) -> f64 {
        self.latencies.sort_by(f64::total_cmp);
        let at = self.latencies.len().saturating_sub(1) * 99 / 100;
        self.latencies.get(at).copied().unwrap_or(f64::NAN)
    }
}

/// Simulates an event loop that reads inputs in the order in which they became ready. Inputs of a tenant that can be neither
/// admitted nor rejected stay unread. With `one_at_a_time`, a tenant's connections are read one at a time, each after the previous
/// one is done; otherwise each is ready when its input arrives.
fn simulate_event_loop(
    make: MakeRateAlgorithm,
    one_at_a_time: bool,
    weights: &[f64],
    loads: &[Load],
    rng: &mut ChaCha8Rng,
) -> Vec<TenantResult> {
    let mut admission = make(weights, ADMITTED_TIME_RATIO, ADMITTED_BURST_MS);
    let mut rejection = make(weights, REJECTION_TIME_RATIO, REJECTION_BURST_MS);
    let mut read_since: Vec<Option<f64>> = vec![None; loads.len()];
    let mut results = vec![
        TenantResult {
            work: vec![0.0; (DURATION_MS / 1000.0) as usize + 1],
            ..TenantResult::default()
        };
        loads.len()
    ];
    let mut arrivals: Vec<VecDeque<f64>> = loads.iter().map(|l| arrivals(*l, rng)).collect();
    let mut waiting: Vec<VecDeque<f64>> = vec![VecDeque::new(); loads.len()];
    let mut now = 0.0;
    while now < DURATION_MS {
        for (tenant, times) in arrivals.iter_mut().enumerate() {
            while times.front().is_some_and(|at| *at <= now) {
                let at = times.pop_front().unwrap_or_default();
                results[tenant].requested += 1;
                if waiting[tenant].len() < MAX_UNREAD_REQUESTS {
                    waiting[tenant].push_back(at);
                }
            }
        }
        let mut next: Option<(f64, usize)> = None;
        for (tenant, queue) in waiting.iter().enumerate() {
            let Some(&at) = queue.front() else { continue };
            if !admission.admit(now, tenant) && !rejection.admit(now, tenant) {
                read_since[tenant] = None;
                continue;
            }
            let ready_at = *read_since[tenant].get_or_insert(now);
            let since = if one_at_a_time { at.max(ready_at) } else { at };
            if next.is_none_or(|(first, _)| since < first) {
                next = Some((since, tenant));
            }
        }
        let Some((_, tenant)) = next else {
            // Nothing can be read: advances to the next arrival, or by 0.02 ms if some inputs are unread.
            let next_arrival = arrivals
                .iter()
                .filter_map(|a| a.front().copied())
                .fold(DURATION_MS, f64::min);
            let unread = waiting.iter().any(|q| !q.is_empty());
            now = if unread {
                next_arrival.min(now + 0.02)
            } else {
                next_arrival
            };
            continue;
        };
        let arrived_at = waiting[tenant].pop_front().unwrap_or(now);
        // Connections of a tenant are read one at a time: the next becomes ready when this one is done.
        read_since[tenant] = Some(now);
        let admitted = admission.admit(now, tenant);
        let work = if admitted {
            SERVED_WORK_MS * rng.random_range(0.5..1.5)
        } else {
            REJECTED_WORK_MS
        };
        results[tenant].work[(now / 1000.0) as usize] += work;
        now += work;
        if admitted {
            &mut admission
        } else {
            &mut rejection
        }
        .charge(now, tenant, work);
        if admitted {
            results[tenant].served += 1;
            results[tenant].latencies.push(now - arrived_at);
        }
    }
    results
}

fn arrivals(load: Load, rng: &mut ChaCha8Rng) -> VecDeque<f64> {
    match load {
        Load::None => VecDeque::new(),
        Load::Bursts { every, size } => {
            let times = (0..)
                .map(|n| 500.0 + every * f64::from(n))
                .take_while(|t| *t < DURATION_MS);
            times.flat_map(|t| std::iter::repeat_n(t, size)).collect()
        }
        Load::Steady(rate) => {
            let Ok(gap) = Exp::new(rate / SERVED_WORK_MS) else {
                return VecDeque::new();
            };
            let mut at = 0.0;
            let mut next = || {
                at += gap.sample(rng);
                (at < DURATION_MS).then_some(at)
            };
            std::iter::from_fn(&mut next).collect()
        }
    }
}

/// Returns the figures of [`RATE_COLUMNS`] for one seed.
fn rate_figures(make: MakeRateAlgorithm, one_at_a_time: bool, seed: u64) -> Vec<f64> {
    let simulate = |weights: &[f64], loads: &[Load], run_number: u64| {
        let mut rng = stream(
            seed.wrapping_mul(16).wrapping_add(run_number),
            Purpose::Load,
        );
        simulate_event_loop(make, one_at_a_time, weights, loads, &mut rng)
    };
    // A quiet tenant uses 0.3 of the loop; the other floods with ten times its half.
    let quiet = Load::Steady(0.3);
    let mut alone = simulate(&[1.0, 1.0], &[quiet, Load::None], 0);
    let mut beside = simulate(
        &[1.0, 1.0],
        &[quiet, Load::Steady(10.0 * 0.5 * ADMITTED_TIME_RATIO)],
        0,
    );
    let share = 100.0 * beside[0].served as f64 / beside[0].requested as f64;
    let slower = beside[0].p99() - alone[0].p99();
    let fair = (ADMITTED_TIME_RATIO - 0.3) * DURATION_MS / SERVED_WORK_MS;
    let flood = beside[1].served as f64 / fair;
    let weights = [1.0, 2.0, 5.0];
    let greedy = simulate(&weights, &[Load::Steady(2.0); 3], 1);
    let seconds = 1..(DURATION_MS / 1000.0) as usize;
    let weight_deviation = seconds.flat_map(|s| {
        let sum: f64 = greedy.iter().map(|f| f.work[s]).sum();
        let of = |i: usize| (greedy[i].work[s] / (sum * weights[i] / 8.0) - 1.0).abs();
        [of(0), of(1), of(2)]
    });
    let weight_deviation = 100.0 * weight_deviation.fold(0.0, f64::max);
    let spare = simulate(
        &weights,
        &[Load::Steady(2.0), Load::Steady(2.0), Load::Steady(0.1)],
        4,
    );
    let served = [spare[0].served as f64, spare[1].served as f64];
    let spare = 100.0 * (served[1] / (2.0 * served[0]) - 1.0).abs();
    let burst_results = simulate(
        &[1.0, 1.0],
        &[
            Load::Bursts {
                every: 1000.0,
                size: 100,
            },
            Load::Steady(3.0),
        ],
        2,
    );
    let admitted = 100.0 * burst_results[0].served as f64 / burst_results[0].requested as f64;
    let mut loads = [Load::None; 10];
    loads[0] = Load::Steady(0.98 * ADMITTED_TIME_RATIO);
    let single = simulate(&[1.0; 10], &loads, 3);
    let used = single[0].served as f64 / single[0].requested as f64;
    vec![
        share,
        slower,
        flood,
        weight_deviation,
        spare,
        admitted,
        used,
    ]
}

/// Pool of requests in flight, large enough that rounding to whole requests matters little.
const POOL_SIZE: u64 = 400;
/// Mean holding time of a steady or greedy tenant.
const MEAN_HOLD_MS: f64 = 50.0;

/// Demand of a tenant: arrivals per ms, mean holding time, and start time.
#[derive(Clone, Copy)]
struct Demand {
    rate: f64,
    hold: f64,
    from: f64,
}

/// Units that a tenant requested and acquired, the mean held, and the time to first hold `target_held` units.
struct HoldResult {
    requested: u64,
    acquired: u64,
    mean: f64,
    reached: Option<f64>,
}

fn simulate_pool(
    pool: &mut dyn PoolAlgorithm,
    demands: &[Demand],
    target_held: u64,
    rng: &mut ChaCha8Rng,
) -> Vec<HoldResult> {
    const STEP: f64 = 0.25;
    let mut held = vec![Vec::<f64>::new(); demands.len()]; // end time of each
    let mut out: Vec<HoldResult> = demands
        .iter()
        .map(|_| HoldResult {
            requested: 0,
            acquired: 0,
            mean: 0.0,
            reached: None,
        })
        .collect();
    let steps = (DURATION_MS / STEP) as usize;
    for step in 0..steps {
        let now = step as f64 * STEP;
        for (tenant, ends) in held.iter_mut().enumerate() {
            let before = ends.len();
            ends.retain(|end| *end > now);
            (ends.len()..before).for_each(|_| pool.release(tenant));
        }
        // The order within a step is random, so that no tenant is always first.
        let first = rng.random_range(0..demands.len());
        for tenant in (first..demands.len()).chain(0..first) {
            let demand = demands[tenant];
            let (Ok(hold), true) = (
                Exp::new(1.0 / demand.hold),
                now >= demand.from && demand.rate > 0.0,
            ) else {
                continue;
            };
            let mean = demand.rate * STEP;
            let arrivals = mean.floor() as u64 + u64::from(rng.random_bool(mean.fract()));
            for _ in 0..arrivals {
                out[tenant].requested += 1;
                if pool.acquire(now, tenant) {
                    out[tenant].acquired += 1;
                    held[tenant].push(now + hold.sample(rng));
                }
            }
        }
        for (tenant, result) in out.iter_mut().enumerate() {
            result.mean += held[tenant].len() as f64 / steps as f64;
            if result.reached.is_none() && held[tenant].len() as u64 >= target_held {
                result.reached = Some(now - demands[tenant].from);
            }
        }
    }
    out
}

/// Returns the figures of [`POOL_COLUMNS`] for one seed.
fn pool_figures(make: fn(&[f64], u64) -> Box<dyn PoolAlgorithm>, seed: u64) -> Vec<f64> {
    let simulate = |weights: &[f64], demands: &[Demand], target_held: u64, run_number: u64| {
        let mut rng = stream(
            seed.wrapping_mul(16).wrapping_add(8 + run_number),
            Purpose::Load,
        );
        simulate_pool(
            make(weights, POOL_SIZE).as_mut(),
            demands,
            target_held,
            &mut rng,
        )
    };
    let demand = |held: f64, hold: f64| Demand {
        rate: held / hold,
        hold,
        from: 0.0,
    };
    let none = Demand {
        rate: 0.0,
        hold: 1.0,
        from: 0.0,
    };
    let flood = demand(10.0 * POOL_SIZE as f64 / 2.0, MEAN_HOLD_MS);
    let share = |f: &HoldResult| 100.0 * f.acquired as f64 / f.requested as f64;
    let steady = share(&simulate(&[1.0, 1.0], &[demand(100.0, MEAN_HOLD_MS), flood], 0, 0)[0]);
    // Slightly more arrive than fit, and each is held until its deadline.
    let hangs = share(
        &simulate(
            &[1.0, 1.0],
            &[demand(100.0, MEAN_HOLD_MS), demand(800.0, 2000.0)],
            0,
            1,
        )[0],
    );
    let mut demands = [none; 10];
    demands[0] = flood;
    let alone = simulate(&[1.0; 10], &demands, 0, 2)[0].mean / POOL_SIZE as f64;
    let late = Demand {
        from: 2500.0,
        ..demand(150.0, MEAN_HOLD_MS)
    };
    let newcomer = simulate(&[1.0, 1.0], &[late, flood], 135, 3)[0]
        .reached
        .unwrap_or(f64::INFINITY);
    let weights = [1.0, 2.0, 5.0];
    let greedy = simulate(&weights, &[flood; 3], 0, 4);
    let sum: f64 = greedy.iter().map(|f| f.mean).sum();
    let weight_deviation = (0..3).map(|i| (greedy[i].mean / (sum * weights[i] / 8.0) - 1.0).abs());
    vec![
        steady,
        hangs,
        alone,
        newcomer,
        100.0 * weight_deviation.fold(0.0, f64::max),
    ]
}

/// Returns the quota of a tenant in [`VirtualTime`].
fn rate_quota(weight: f64, burst: f64) -> RateQuota {
    RateQuota {
        weight,
        burst,
        max_rate_ratio: 1.0,
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn figure(rows: &[Row], algorithm: &str, column: usize) -> f64 {
        rows.iter()
            .find(|r| r.algorithm == algorithm)
            .unwrap()
            .figures[column][0]
    }

    #[test]
    fn virtual_time_protects_a_quiet_tenant_and_no_shares_does_not() {
        let rows = compare_rate_algorithms(1);
        assert!(figure(&rows, "virtual time", 0) > 99.0, "{rows:?}");
        assert!(figure(&rows, "virtual time", 1) < 1.0, "{rows:?}");
        assert!(
            figure(&rows, "no shares", 1) > 50.0,
            "the flood has no effect in the model: {rows:?}"
        );
        assert!(
            figure(&rows, "virtual time", 3).max(figure(&rows, "virtual time", 4)) < 5.0,
            "{rows:?}"
        );
        assert!(figure(&rows, "virtual time", 6) > 0.99, "{rows:?}");
    }

    #[test]
    fn claims_protect_a_steady_tenant_and_lend_unused_capacity() {
        let rows = compare_pool_algorithms(1);
        assert!(figure(&rows, "claims", 0) > 99.0, "{rows:?}");
        assert!(
            figure(&rows, "no shares", 0) < 60.0,
            "the flood has no effect in the model: {rows:?}"
        );
        assert!(figure(&rows, "claims", 2) > 0.9, "{rows:?}");
    }
}
