//! Runs of scenarios, and comparisons of runs: repetition over seeds, comparison of two settings, and sweeps over one
//! setting.
//!
//! Runs are independent, so repetitions execute on several threads; the results do not depend on the number of threads.

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

/// Run of a scenario and its evaluation.
pub struct Run {
    /// Scenario of the run.
    pub scenario: Arc<Scenario>,
    /// Name of the shipped scenario or path of the scenario file.
    pub name: String,
    /// Seed of the run.
    pub seed: u64,
    /// True if the run used virtual time.
    pub virtual_time: bool,
    /// Record of all client attempts and attempts.
    pub ledger: Ledger,
    /// Requests of the clients.
    pub requests: Vec<ClientRequest>,
    /// Service quality.
    pub score: Score,
    /// Rule violations.
    pub broken: Vec<Violation>,
    /// Counts of a run in virtual time.
    pub counts: Counts,
    /// CPU time of the decision module in µs per request. Measured, so not determined by the seed.
    pub module_us: f64,
    /// True if the run was interrupted before its end.
    pub partial: bool,
    /// Reason why the figures are invalid, if they are.
    pub void: Option<String>,
}

impl Run {
    /// Checks the rules and computes the score of a finished run.
    pub fn new(
        scenario: Arc<Scenario>,
        name: &str,
        seed: u64,
        ledger: Ledger,
        requests: Vec<ClientRequest>,
        served: &[Option<f64>],
    ) -> Self {
        let broken = check_rules(&ledger, &scenario.rules, &scenario.proxies);
        let score = score(&scenario, &requests, served, &ledger);
        let (counts, module_us, partial, void, virtual_time) =
            (Counts::default(), 0.0, false, None, false);
        let name = name.to_owned();
        Run {
            scenario,
            name,
            seed,
            virtual_time,
            ledger,
            requests,
            score,
            broken,
            counts,
            module_us,
            partial,
            void,
        }
    }
}

/// Runs a scenario in virtual time, optionally with a deliberate defect in the decision module.
pub fn simulate(
    scenario: &Arc<Scenario>,
    name: &str,
    seed: u64,
    defect: Option<InjectedDefect>,
) -> Run {
    let result = Sim::new(scenario.clone(), seed, defect).run();
    let served: Vec<Option<f64>> = result.served.iter().map(|(at, _)| *at).collect();
    let client_attempts = result.ledger.client_attempts.len().max(1) as f64;
    let mut run = Run::new(
        scenario.clone(),
        name,
        seed,
        result.ledger,
        result.requests,
        &served,
    );
    run.virtual_time = true;
    run.counts = result.counts;
    run.module_us = result.module_time.as_secs_f64() * 1e6 / client_attempts;
    run
}

/// Runs the jobs on `threads` threads and returns their results in the order of the jobs.
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

/// Parses a scenario's text with some settings overridden, each written as `section.key=value`.
///
/// # Errors
/// The text is not valid TOML, an override is not of that form or names no setting, or the resulting scenario is invalid.
pub fn with_settings(file: &str, text: &str, sets: &[String]) -> Result<Scenario, ScenarioError> {
    if sets.is_empty() {
        return Scenario::parse(file, text);
    }
    Scenario::parse(file, text)?; // reports errors of the file itself with their line numbers
    let error = |set: &str, message: &str| ScenarioError {
        file: file.to_owned(),
        problems: vec![crate::Problem {
            line: 1,
            key: set.to_owned(),
            message: message.to_owned(),
        }],
    };
    let mut table: toml::Table = toml::from_str(text).map_err(|e| error("", e.message()))?;
    for set in sets {
        let (key, value) = set
            .split_once('=')
            .ok_or_else(|| error(set, "a setting is written key=value"))?;
        let value: toml::Value = match toml::from_str::<toml::Table>(&format!("v = {value}")) {
            Ok(mut parsed) => parsed
                .remove("v")
                .ok_or_else(|| error(set, "there is no value"))?,
            Err(_) => toml::Value::String(value.to_owned()), // an unquoted quantity with its unit
        };
        let root = toml::Value::Table(std::mem::take(&mut table));
        let root = set_value(root, &key.trim().split('.').collect::<Vec<_>>(), value)
            .ok_or_else(|| error(set, "there is no such place"))?;
        let toml::Value::Table(root) = root else {
            return Err(error(set, "there is no such place"));
        };
        table = root;
    }
    // load.level and load.rate are mutually exclusive: the last override takes precedence.
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
    let text = toml::to_string(&table).map_err(|e| error("", &e.to_string()))?;
    Scenario::parse(&format!("{file} with {}", sets.join(", ")), &text)
}

/// Sets the value at a path below a TOML value; `None` if there is no such place.
fn set_value(mut node: toml::Value, path: &[&str], value: toml::Value) -> Option<toml::Value> {
    let Some((first, rest)) = path.split_first() else {
        return Some(value);
    };
    match &mut node {
        toml::Value::Table(table) => {
            let child = table
                .remove(*first)
                .unwrap_or_else(|| toml::Value::Table(toml::Table::new()));
            let child = if rest.is_empty() {
                value
            } else {
                set_value(child, rest, value)?
            };
            table.insert((*first).to_owned(), child);
        }
        toml::Value::Array(items) => {
            let item = items.get_mut(first.parse::<usize>().ok()?)?;
            *item = set_value(item.clone(), rest, value)?;
        }
        _ => return None,
    }
    Some(node)
}

/// Mean with its 95 % confidence interval.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Estimate {
    /// Sample mean.
    pub mean: f64,
    /// Lower bound of the interval.
    pub low: f64,
    /// Upper bound of the interval.
    pub high: f64,
}

impl Estimate {
    /// Computes the mean of samples and its interval by Student's t-distribution. With a single sample the bounds are
    /// infinite.
    pub fn of(samples: &[f64]) -> Self {
        let n = samples.len() as f64;
        let mean = samples.iter().sum::<f64>() / n.max(1.0);
        let half_width = StudentsT::new(0.0, 1.0, n - 1.0).map_or(f64::INFINITY, |t| {
            let variance = samples.iter().map(|x| (x - mean).powi(2)).sum::<f64>() / (n - 1.0);
            t.inverse_cdf(0.975) * (variance / n).sqrt()
        });
        Estimate {
            mean,
            low: mean - half_width,
            high: mean + half_width,
        }
    }

    /// Returns true if zero lies within the bounds.
    pub fn contains_zero(&self) -> bool {
        self.low <= 0.0 && 0.0 <= self.high
    }
}

/// Name of a figure, and the function that computes it from a run.
pub type Figure = (&'static str, fn(&Run) -> f64);

/// Figures by which runs are compared.
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

/// Figure under two settings A and B, and its paired difference.
#[derive(Clone, Debug, Serialize)]
pub struct Difference {
    /// Name of the figure.
    pub figure: &'static str,
    /// Mean under A.
    pub a: f64,
    /// Mean under B.
    pub b: f64,
    /// B minus A, paired by seed.
    pub difference: Estimate,
}

/// Compares the figures of runs that are paired by seed.
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
