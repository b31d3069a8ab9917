//! Ways to divide one process between tenants, played against each other in virtual time: which keeps a quiet tenant
//! whole beside a flood, which divides by weight, which leaves nothing unused.
//!
//! The model is small on purpose: an event loop that does one thing after the other, a turned-away request cheaper than
//! a served one but not free, and unread input that waits in the system's buffers. Times are milliseconds.

mod rivals;

use std::collections::VecDeque;

use fair_share::{RateQuota, ResourcePool, TenantId};
use rand::Rng;
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution as _, Exp};

use crate::random::{Purpose, stream};
use rivals::{Buckets, Moving, Open, Rounds, Split, Unbounded, Virtual};

/// Work of the event loop for a request that is served, and for one that is turned away, in ms.
const SERVED: f64 = 0.040;
const TURNED_AWAY: f64 = 0.012;
/// The parts of the loop's time that are shared out: to requests that are let in, and to turning others away.
const RATE: f64 = 0.85;
const TURNING_RATE: f64 = 0.1;
/// Backlog up to which a tenant is let in, and up to which it is told that it is not, in ms of work. Beyond both its
/// connections are not read.
const BURST: f64 = 10.0;
const TURNING_BURST: f64 = 1.0;
/// Unread requests that the system's buffers hold for a tenant; what comes beyond is lost to it.
const BUFFER: usize = 2000;
/// The length of a play.
const LENGTH: f64 = 5_000.0;

/// Shares work out: whether a tenant may cause some, and what it has caused.
trait Gate {
    fn admit(&mut self, now: f64, tenant: usize) -> bool;
    fn charge(&mut self, now: f64, tenant: usize, work: f64);
}

/// Decides whether a tenant may hold one more.
trait Holding {
    fn take(&mut self, now: f64, tenant: usize) -> bool;
    fn give(&mut self, tenant: usize);
}

/// Makes a gate for tenants of these weights, a rate and a burst.
type MakeGate = fn(&[f64], f64, f64) -> Box<dyn Gate>;

/// The name of the way that shares nothing: all connections are read as they come.
const NO_SHARES: &str = "no shares";

/// One way and what it came to, in the order of [`TIME_COLUMNS`] or [`STOCK_COLUMNS`].
#[derive(Clone, Debug)]
pub struct Row {
    /// The way's name.
    pub way: &'static str,
    /// Means over the seeds, with the least and the most.
    pub figures: Vec<[f64; 3]>,
}

/// What is told of ways to share time.
pub const TIME_COLUMNS: [&str; 7] = [
    "quiet served %",        // beside a flood at ten times its share
    "its p99 + ms",          // beyond that of the same load without the flood
    "flood served, of fair", // against what max-min fairness leaves it
    "off weights %",         // three greedy by 1:2:5, the worst tenant in the worst second
    "spare off weights %", // the third asks for a tenth of the loop: what the others get of the rest, by 1:2
    "burst let in %",      // 100 requests at once from an idle tenant beside a greedy one
    "alone, of the rate",  // one greedy, nine idle
];

/// What is told of ways to share a stock.
pub const STOCK_COLUMNS: [&str; 5] = [
    "steady got %",         // beside a flood at ten times its share
    "beside hangs got %",   // beside one that holds each for 2 s
    "alone, of all",        // one greedy, others idle: mean held
    "newcomer to 90 %, ms", // until one that was idle holds nine tenths of what it wants
    "off weights %",        // three greedy by 1:2:5
];

/// Plays all ways to share the event loop's time.
pub fn time(seeds: u64) -> Vec<Row> {
    let ways: [(&'static str, MakeGate); 5] = [
        (NO_SHARES, |_, _, _| Box::new(Open)),
        ("turns alone", |_, _, _| Box::new(Open)),
        ("token buckets, borrowing", |w, rate, burst| {
            Box::new(Buckets::new(w, rate, burst))
        }),
        ("deficit rounds", |w, rate, burst| {
            Box::new(Rounds::new(w, rate, burst))
        }),
        ("virtual time", |w, rate, burst| {
            Box::new(Virtual::new(w, rate, burst))
        }),
    ];
    ways.iter()
        .map(|(way, make)| {
            row(way, seeds, |seed| {
                time_figures(*make, *way != NO_SHARES, seed)
            })
        })
        .collect()
}

/// Plays all ways to share a stock.
pub fn stock(seeds: u64) -> Vec<Row> {
    type Make = fn(&[f64], u64) -> Box<dyn Holding>;
    let ways: [(&'static str, Make); 4] = [
        (NO_SHARES, |_, all| Box::new(Unbounded::new(all))),
        ("fixed parts", |w, all| Box::new(Split::new(w, all))),
        ("moving threshold", |w, all| Box::new(Moving::new(w, all))),
        ("claims", |w, all| {
            let mut pool = ResourcePool::new(all, 1.0 / 16.0);
            w.iter()
                .enumerate()
                .for_each(|(i, w)| pool.set_quota(TenantId(i), *w, u64::MAX));
            Box::new(pool)
        }),
    ];
    ways.iter()
        .map(|(way, make)| row(way, seeds, |seed| stock_figures(*make, seed)))
        .collect()
}

impl Holding for ResourcePool {
    fn take(&mut self, now: f64, tenant: usize) -> bool {
        self.acquire(now, TenantId(tenant), 1).is_ok()
    }

    fn give(&mut self, tenant: usize) {
        self.release(TenantId(tenant), 1);
    }
}

fn row(way: &'static str, seeds: u64, play: impl Fn(u64) -> Vec<f64>) -> Row {
    let all: Vec<Vec<f64>> = (1..=seeds.max(1)).map(play).collect();
    let of = |i: usize| {
        let mut column = all.iter().map(|figures| figures[i]);
        let first = column.next().unwrap_or(f64::NAN);
        let fold = |[sum, least, most]: [f64; 3], x: f64| [sum + x, least.min(x), most.max(x)];
        let [sum, least, most] = column.fold([first; 3], fold);
        [sum / all.len() as f64, least, most]
    };
    Row {
        way,
        figures: (0..all[0].len()).map(of).collect(),
    }
}

/// The load of one tenant: arrivals by chance at a rate in work per ms, or so many at once now and then.
#[derive(Clone, Copy)]
enum Load {
    Steady(f64),
    Bursts { every: f64, size: usize },
    None,
}

/// What came of one tenant's requests.
#[derive(Clone, Default)]
struct Fate {
    asked: usize,
    served: usize,
    latencies: Vec<f64>,
    /// The loop's work for it in each second.
    work: Vec<f64>,
}

impl Fate {
    fn p99(&mut self) -> f64 {
        self.latencies.sort_by(f64::total_cmp);
        let at = self.latencies.len().saturating_sub(1) * 99 / 100;
        self.latencies.get(at).copied().unwrap_or(f64::NAN)
    }
}

/// Plays an event loop that takes inputs in the order in which they came up for reading. Those of a tenant that may be
/// neither let in nor turned away stay unread. With `turns`, a tenant's connections are read one at a time, the next when
/// the one before is done; otherwise each as its input comes.
fn play_loop(
    make: MakeGate,
    turns: bool,
    weights: &[f64],
    loads: &[Load],
    rng: &mut ChaCha8Rng,
) -> Vec<Fate> {
    let mut inside = make(weights, RATE, BURST);
    let mut outside = make(weights, TURNING_RATE, TURNING_BURST);
    let mut read_since: Vec<Option<f64>> = vec![None; loads.len()];
    let mut fates = vec![
        Fate {
            work: vec![0.0; (LENGTH / 1000.0) as usize + 1],
            ..Fate::default()
        };
        loads.len()
    ];
    let mut arrivals: Vec<VecDeque<f64>> = loads.iter().map(|l| arrivals(*l, rng)).collect();
    let mut waiting: Vec<VecDeque<f64>> = vec![VecDeque::new(); loads.len()];
    let mut now = 0.0;
    while now < LENGTH {
        for (tenant, times) in arrivals.iter_mut().enumerate() {
            while times.front().is_some_and(|at| *at <= now) {
                let at = times.pop_front().unwrap_or_default();
                fates[tenant].asked += 1;
                if waiting[tenant].len() < BUFFER {
                    waiting[tenant].push_back(at);
                }
            }
        }
        let mut next: Option<(f64, usize)> = None;
        for (tenant, queue) in waiting.iter().enumerate() {
            let Some(&at) = queue.front() else { continue };
            if !inside.admit(now, tenant) && !outside.admit(now, tenant) {
                read_since[tenant] = None;
                continue;
            }
            let turn = *read_since[tenant].get_or_insert(now);
            let since = if turns { at.max(turn) } else { at };
            if next.is_none_or(|(first, _)| since < first) {
                next = Some((since, tenant));
            }
        }
        let Some((_, tenant)) = next else {
            // Nothing to read now: until something comes, or for a moment if some connections are not read.
            let coming = arrivals
                .iter()
                .filter_map(|a| a.front().copied())
                .fold(LENGTH, f64::min);
            let unread = waiting.iter().any(|q| !q.is_empty());
            now = if unread {
                coming.min(now + 0.02)
            } else {
                coming
            };
            continue;
        };
        let came = waiting[tenant].pop_front().unwrap_or(now);
        // Its connections are read one at a time: the next comes up when this one is done.
        read_since[tenant] = Some(now);
        let let_in = inside.admit(now, tenant);
        let work = if let_in {
            SERVED * rng.random_range(0.5..1.5)
        } else {
            TURNED_AWAY
        };
        fates[tenant].work[(now / 1000.0) as usize] += work;
        now += work;
        if let_in { &mut inside } else { &mut outside }.charge(now, tenant, work);
        if let_in {
            fates[tenant].served += 1;
            fates[tenant].latencies.push(now - came);
        }
    }
    fates
}

fn arrivals(load: Load, rng: &mut ChaCha8Rng) -> VecDeque<f64> {
    match load {
        Load::None => VecDeque::new(),
        Load::Bursts { every, size } => {
            let times = (0..)
                .map(|n| 500.0 + every * f64::from(n))
                .take_while(|t| *t < LENGTH);
            times.flat_map(|t| std::iter::repeat_n(t, size)).collect()
        }
        Load::Steady(rate) => {
            let Ok(gap) = Exp::new(rate / SERVED) else {
                return VecDeque::new();
            };
            let mut at = 0.0;
            let mut next = || {
                at += gap.sample(rng);
                (at < LENGTH).then_some(at)
            };
            std::iter::from_fn(&mut next).collect()
        }
    }
}

/// The figures of [`TIME_COLUMNS`] under one seed.
fn time_figures(make: MakeGate, turns: bool, seed: u64) -> Vec<f64> {
    let play = |weights: &[f64], loads: &[Load], more: u64| {
        let mut rng = stream(seed.wrapping_mul(16).wrapping_add(more), Purpose::Load);
        play_loop(make, turns, weights, loads, &mut rng)
    };
    // A quiet tenant at 0.3 of the loop, one that floods with ten times its half.
    let quiet = Load::Steady(0.3);
    let mut alone = play(&[1.0, 1.0], &[quiet, Load::None], 0);
    let mut beside = play(&[1.0, 1.0], &[quiet, Load::Steady(10.0 * 0.5 * RATE)], 0);
    let share = 100.0 * beside[0].served as f64 / beside[0].asked as f64;
    let slower = beside[0].p99() - alone[0].p99();
    let fair = (RATE - 0.3) * LENGTH / SERVED;
    let flood = beside[1].served as f64 / fair;
    let weights = [1.0, 2.0, 5.0];
    let greedy = play(&weights, &[Load::Steady(2.0); 3], 1);
    let seconds = 1..(LENGTH / 1000.0) as usize;
    let off = seconds.flat_map(|s| {
        let sum: f64 = greedy.iter().map(|f| f.work[s]).sum();
        let of = |i: usize| (greedy[i].work[s] / (sum * weights[i] / 8.0) - 1.0).abs();
        [of(0), of(1), of(2)]
    });
    let off = 100.0 * off.fold(0.0, f64::max);
    let spare = play(
        &weights,
        &[Load::Steady(2.0), Load::Steady(2.0), Load::Steady(0.1)],
        4,
    );
    let served = [spare[0].served as f64, spare[1].served as f64];
    let spare = 100.0 * (served[1] / (2.0 * served[0]) - 1.0).abs();
    let bursts = play(
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
    let let_in = 100.0 * bursts[0].served as f64 / bursts[0].asked as f64;
    let mut loads = [Load::None; 10];
    loads[0] = Load::Steady(0.98 * RATE);
    let lone = play(&[1.0; 10], &loads, 3);
    let used = lone[0].served as f64 / lone[0].asked as f64;
    vec![share, slower, flood, off, spare, let_in, used]
}

/// A stock of requests in flight, large enough that parts of one matter little.
const STOCK: u64 = 400;
/// A steady or a greedy tenant's mean hold.
const HOLD: f64 = 50.0;

/// A tenant that wants things held: how many come in a ms, how long each is held, and from when on.
#[derive(Clone, Copy)]
struct Want {
    rate: f64,
    hold: f64,
    from: f64,
}

/// What each asked for and got, its mean held, and when it first held `goal`.
struct Held {
    asked: u64,
    got: u64,
    mean: f64,
    reached: Option<f64>,
}

fn play_stock(
    stock: &mut dyn Holding,
    wants: &[Want],
    goal: u64,
    rng: &mut ChaCha8Rng,
) -> Vec<Held> {
    const STEP: f64 = 0.25;
    let mut held = vec![Vec::<f64>::new(); wants.len()]; // when each ends
    let mut out: Vec<Held> = wants
        .iter()
        .map(|_| Held {
            asked: 0,
            got: 0,
            mean: 0.0,
            reached: None,
        })
        .collect();
    let steps = (LENGTH / STEP) as usize;
    for step in 0..steps {
        let now = step as f64 * STEP;
        for (tenant, ends) in held.iter_mut().enumerate() {
            let before = ends.len();
            ends.retain(|end| *end > now);
            (ends.len()..before).for_each(|_| stock.give(tenant));
        }
        // Who comes first within a step is by chance, so that no tenant has the first word.
        let first = rng.random_range(0..wants.len());
        for tenant in (first..wants.len()).chain(0..first) {
            let want = wants[tenant];
            let (Ok(hold), true) = (
                Exp::new(1.0 / want.hold),
                now >= want.from && want.rate > 0.0,
            ) else {
                continue;
            };
            let mean = want.rate * STEP;
            let many = mean.floor() as u64 + u64::from(rng.random_bool(mean.fract()));
            for _ in 0..many {
                out[tenant].asked += 1;
                if stock.take(now, tenant) {
                    out[tenant].got += 1;
                    held[tenant].push(now + hold.sample(rng));
                }
            }
        }
        for (tenant, fate) in out.iter_mut().enumerate() {
            fate.mean += held[tenant].len() as f64 / steps as f64;
            if fate.reached.is_none() && held[tenant].len() as u64 >= goal {
                fate.reached = Some(now - wants[tenant].from);
            }
        }
    }
    out
}

/// The figures of [`STOCK_COLUMNS`] under one seed.
fn stock_figures(make: fn(&[f64], u64) -> Box<dyn Holding>, seed: u64) -> Vec<f64> {
    let play = |weights: &[f64], wants: &[Want], goal: u64, more: u64| {
        let mut rng = stream(seed.wrapping_mul(16).wrapping_add(8 + more), Purpose::Load);
        play_stock(make(weights, STOCK).as_mut(), wants, goal, &mut rng)
    };
    let want = |held: f64, hold: f64| Want {
        rate: held / hold,
        hold,
        from: 0.0,
    };
    let none = Want {
        rate: 0.0,
        hold: 1.0,
        from: 0.0,
    };
    let flood = want(10.0 * STOCK as f64 / 2.0, HOLD);
    let share = |f: &Held| 100.0 * f.got as f64 / f.asked as f64;
    let steady = share(&play(&[1.0, 1.0], &[want(100.0, HOLD), flood], 0, 0)[0]);
    // A few more than fit come, and each is held until its deadline.
    let hangs = share(&play(&[1.0, 1.0], &[want(100.0, HOLD), want(800.0, 2000.0)], 0, 1)[0]);
    let mut wants = [none; 10];
    wants[0] = flood;
    let alone = play(&[1.0; 10], &wants, 0, 2)[0].mean / STOCK as f64;
    let late = Want {
        from: 2500.0,
        ..want(150.0, HOLD)
    };
    let newcomer = play(&[1.0, 1.0], &[late, flood], 135, 3)[0]
        .reached
        .unwrap_or(f64::INFINITY);
    let weights = [1.0, 2.0, 5.0];
    let greedy = play(&weights, &[flood; 3], 0, 4);
    let sum: f64 = greedy.iter().map(|f| f.mean).sum();
    let off = (0..3).map(|i| (greedy[i].mean / (sum * weights[i] / 8.0) - 1.0).abs());
    vec![
        steady,
        hangs,
        alone,
        newcomer,
        100.0 * off.fold(0.0, f64::max),
    ]
}

/// The terms by which [`Virtual`] shares time.
fn terms(weight: f64, burst: f64) -> RateQuota {
    RateQuota {
        weight,
        burst,
        max_rate_ratio: 1.0,
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn figure(rows: &[Row], way: &str, column: usize) -> f64 {
        rows.iter().find(|r| r.way == way).unwrap().figures[column][0]
    }

    #[test]
    fn virtual_time_keeps_a_quiet_tenant_whole_where_no_shares_do_not() {
        let rows = time(1);
        assert!(figure(&rows, "virtual time", 0) > 99.0, "{rows:?}");
        assert!(figure(&rows, "virtual time", 1) < 1.0, "{rows:?}");
        assert!(
            figure(&rows, "no shares", 1) > 50.0,
            "the model does flood: {rows:?}"
        );
        assert!(
            figure(&rows, "virtual time", 3).max(figure(&rows, "virtual time", 4)) < 5.0,
            "{rows:?}"
        );
        assert!(figure(&rows, "virtual time", 6) > 0.99, "{rows:?}");
    }

    #[test]
    fn claims_keep_a_steady_tenant_whole_and_lend_the_rest() {
        let rows = stock(1);
        assert!(figure(&rows, "claims", 0) > 99.0, "{rows:?}");
        assert!(
            figure(&rows, "no shares", 0) < 60.0,
            "the model does flood: {rows:?}"
        );
        assert!(figure(&rows, "claims", 2) > 0.9, "{rows:?}");
    }
}
