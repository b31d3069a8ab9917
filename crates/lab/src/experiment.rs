//! Runs, and runs set against each other: repeats over seeds, two settings compared, one setting swept.
//!
//! Every run stands alone, so repeats go to several threads; what comes out does not depend on how many.

use std::panic::resume_unwind;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;

use serde::Serialize;
use statrs::distribution::{ContinuousCDF, StudentsT};

use crate::ScenarioError;
use crate::ledger::Ledger;
use crate::load::ClientRequest;
use crate::oracle::{Violation, check_rules};
use crate::scenario::Scenario;
use crate::score::{Score, score};
use crate::sim::decider::InjectedDefect;
use crate::sim::{Counts, Sim};

/// One run and what is to be said of it.
pub struct Run {
    /// What was played.
    pub scenario: Arc<Scenario>,
    /// The scenario's name, a shipped one's or a file's.
    pub name: String,
    /// Its seed.
    pub seed: u64,
    /// Whether time was virtual.
    pub virtual_time: bool,
    /// What happened.
    pub ledger: Ledger,
    /// What was asked for.
    pub asks: Vec<ClientRequest>,
    /// How good the service was.
    pub score: Score,
    /// Broken rules.
    pub broken: Vec<Violation>,
    /// Counts of a run in virtual time.
    pub counts: Counts,
    /// CPU time that the module took in µs a request; measured, so no part of what a seed fixes.
    pub module_us: f64,
    /// Whether it was cut short.
    pub partial: bool,
    /// Why its figures are worth nothing, if they are not.
    pub void: Option<String>,
}

impl Run {
    /// Judges and counts what a run left behind.
    pub fn new(
        scenario: Arc<Scenario>,
        name: &str,
        seed: u64,
        ledger: Ledger,
        asks: Vec<ClientRequest>,
        served: &[Option<f64>],
    ) -> Self {
        let broken = check_rules(&ledger, &scenario.rules, &scenario.proxies);
        let score = score(&scenario, &asks, served, &ledger);
        let (counts, module_us, partial, void, virtual_time) =
            (Counts::default(), 0.0, false, None, false);
        let name = name.to_owned();
        Run {
            scenario,
            name,
            seed,
            virtual_time,
            ledger,
            asks,
            score,
            broken,
            counts,
            module_us,
            partial,
            void,
        }
    }
}

/// Plays a scenario in virtual time.
pub fn simulate(
    scenario: &Arc<Scenario>,
    name: &str,
    seed: u64,
    sabotage: Option<InjectedDefect>,
) -> Run {
    let played = Sim::new(scenario.clone(), seed, sabotage).run();
    let served: Vec<Option<f64>> = played.served.iter().map(|(at, _)| *at).collect();
    let requests = played.ledger.client_attempts.len().max(1) as f64;
    let mut run = Run::new(
        scenario.clone(),
        name,
        seed,
        played.ledger,
        played.requests,
        &served,
    );
    run.virtual_time = true;
    run.counts = played.counts;
    run.module_us = played.module_time.as_secs_f64() * 1e6 / requests;
    run
}

/// Does each job on one of `threads` threads; the results come in the order of the jobs.
pub fn on_threads<T: Send>(jobs: usize, threads: usize, job: impl Fn(usize) -> T + Sync) -> Vec<T> {
    let next = AtomicUsize::new(0);
    let mut results: Vec<(usize, T)> = thread::scope(|scope| {
        let worker = || {
            let mut done = Vec::new();
            loop {
                let n = next.fetch_add(1, Ordering::Relaxed);
                if n >= jobs {
                    return done;
                }
                done.push((n, job(n)));
            }
        };
        let workers: Vec<_> = (0..threads.clamp(1, jobs.max(1)))
            .map(|_| scope.spawn(worker))
            .collect();
        workers
            .into_iter()
            .flat_map(|w| w.join().unwrap_or_else(|panic| resume_unwind(panic)))
            .collect()
    });
    results.sort_by_key(|(n, _)| *n);
    results.into_iter().map(|(_, result)| result).collect()
}

/// A scenario's text with some keys set anew, each written `key.below=value`.
///
/// # Errors
/// What is no TOML, what is no setting, and all that is wrong with the scenario that comes of it.
pub fn with_settings(file: &str, text: &str, sets: &[String]) -> Result<Scenario, ScenarioError> {
    if sets.is_empty() {
        return Scenario::parse(file, text);
    }
    Scenario::parse(file, text)?; // errors of the file itself name its lines
    let wrong = |set: &str, what: &str| ScenarioError {
        file: file.to_owned(),
        problems: vec![crate::Problem {
            line: 1,
            key: set.to_owned(),
            message: what.to_owned(),
        }],
    };
    let mut table: toml::Table = toml::from_str(text).map_err(|e| wrong("", e.message()))?;
    for set in sets {
        let (key, value) = set
            .split_once('=')
            .ok_or_else(|| wrong(set, "a setting is written key=value"))?;
        let value: toml::Value = match toml::from_str::<toml::Table>(&format!("v = {value}")) {
            Ok(mut parsed) => parsed
                .remove("v")
                .ok_or_else(|| wrong(set, "there is no value"))?,
            Err(_) => toml::Value::String(value.to_owned()), // a quantity with its unit, unquoted
        };
        let root = toml::Value::Table(std::mem::take(&mut table));
        let root = put(root, &key.trim().split('.').collect::<Vec<_>>(), value)
            .ok_or_else(|| wrong(set, "there is no such place"))?;
        let toml::Value::Table(root) = root else {
            return Err(wrong(set, "there is no such place"));
        };
        table = root;
    }
    // The two ways to give the load exclude each other: the one set last counts.
    if let Some(toml::Value::Table(load)) = table.get_mut("load")
        && let Some(last) = sets.iter().rev().find_map(|s| {
            ["load.level", "load.rate"]
                .into_iter()
                .find(|k| s.starts_with(k))
        })
    {
        load.remove(if last == "load.level" {
            "rate"
        } else {
            "level"
        });
    }
    let text = toml::to_string(&table).map_err(|e| wrong("", &e.to_string()))?;
    Scenario::parse(&format!("{file} with {}", sets.join(", ")), &text)
}

fn put(mut at: toml::Value, path: &[&str], value: toml::Value) -> Option<toml::Value> {
    let Some((first, rest)) = path.split_first() else {
        return Some(value);
    };
    match &mut at {
        toml::Value::Table(table) => {
            let below = table
                .remove(*first)
                .unwrap_or_else(|| toml::Value::Table(toml::Table::new()));
            let below = if rest.is_empty() {
                value
            } else {
                put(below, rest, value)?
            };
            table.insert((*first).to_owned(), below);
        }
        toml::Value::Array(items) => {
            let item = items.get_mut(first.parse::<usize>().ok()?)?;
            *item = put(item.clone(), rest, value)?;
        }
        _ => return None,
    }
    Some(at)
}

/// A mean with the bounds between which it lies with 95 % confidence.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Estimate {
    /// The mean.
    pub mean: f64,
    /// Lower bound.
    pub low: f64,
    /// Upper bound.
    pub high: f64,
}

impl Estimate {
    /// The mean of samples, with Student's interval; with one sample there is none, and the bounds are infinite.
    pub fn of(samples: &[f64]) -> Self {
        let n = samples.len() as f64;
        let mean = samples.iter().sum::<f64>() / n.max(1.0);
        let half = StudentsT::new(0.0, 1.0, n - 1.0).map_or(f64::INFINITY, |t| {
            let variance = samples.iter().map(|x| (x - mean).powi(2)).sum::<f64>() / (n - 1.0);
            t.inverse_cdf(0.975) * (variance / n).sqrt()
        });
        Estimate {
            mean,
            low: mean - half,
            high: mean + half,
        }
    }

    /// Whether nothing lies outside the bounds.
    pub fn holds_zero(&self) -> bool {
        self.low <= 0.0 && 0.0 <= self.high
    }
}

/// A figure's name, and how it is read off a run.
pub type Figure = (&'static str, fn(&Run) -> f64);

/// What two runs are compared by.
pub const FIGURES: [Figure; 7] = [
    ("served share", |r| r.score.whole.share),
    ("worst class", |r| {
        r.score.classes.iter().map(|c| c.share).fold(1.0, f64::min)
    }),
    ("worst window", |r| {
        r.score.windows.iter().map(|w| w.share).fold(1.0, f64::min)
    }),
    ("refused tries", |r| r.score.refused),
    ("attempts an ask", |r| r.score.attempts),
    ("p50 ms", |r| r.score.whole.latency_ms[0]),
    ("p99 ms", |r| r.score.whole.latency_ms[2]),
];

/// One figure of two settings, and their difference pair by pair.
#[derive(Clone, Debug, Serialize)]
pub struct Difference {
    /// The figure.
    pub figure: &'static str,
    /// Its mean under A.
    pub a: f64,
    /// Its mean under B.
    pub b: f64,
    /// B less A, paired by seed.
    pub difference: Estimate,
}

/// Compares runs that are paired by seed.
pub fn compare(a: &[Run], b: &[Run]) -> Vec<Difference> {
    let figure = |(name, of): &Figure| {
        let (a, b): (Vec<f64>, Vec<f64>) = (a.iter().map(of).collect(), b.iter().map(of).collect());
        let paired: Vec<f64> = a.iter().zip(&b).map(|(a, b)| b - a).collect();
        let mean = |x: &[f64]| x.iter().sum::<f64>() / x.len().max(1) as f64;
        Difference {
            figure: name,
            a: mean(&a),
            b: mean(&b),
            difference: Estimate::of(&paired),
        }
    };
    FIGURES.iter().map(figure).collect()
}
