//! Reads the reports of earlier runs.

use std::fs;
use std::io;
use std::path::{Path, PathBuf};

use serde::Deserialize;

/// Maximum depth of subdirectories that are searched; a sweep writes a directory per value and one per seed in it.
const MAX_DEPTH: usize = 3;

/// Run as read from the `run.json` in its directory.
#[derive(Clone, Debug, Deserialize)]
pub struct RunRecord {
    /// Directory of the report.
    #[serde(skip)]
    pub dir: PathBuf,
    /// Name of the scenario.
    pub scenario: String,
    /// Seed of the run.
    pub seed: u64,
    /// True if the run used virtual time.
    #[serde(rename = "virtual")]
    pub virtual_time: bool,
    /// True if the run was interrupted before its end.
    pub partial: bool,
    /// Reason why the figures are invalid, if they are.
    pub void: Option<String>,
    /// ServiceQuality quality.
    pub service: ServiceQuality,
    /// RuleViolation violations.
    pub broken: Vec<RuleViolation>,
}

/// ServiceQuality quality of a run.
#[derive(Clone, Debug, Deserialize)]
pub struct ServiceQuality {
    /// Figures over all requests.
    pub whole: OverallScore,
    /// Fraction of the client attempts that were rejected.
    pub refused: f64,
}

/// Figures over all requests of a run.
#[derive(Clone, Debug, Deserialize)]
pub struct OverallScore {
    /// Number of requests.
    pub asked: u64,
    /// Number of served requests.
    pub served: u64,
    /// Priority weight of the served requests over that of all requests.
    pub share: f64,
    /// Latency in ms: median, 90th, 99th and 99.9th percentile.
    pub latency_ms: [f64; 4],
}

/// RuleViolation violation.
#[derive(Clone, Debug, Deserialize)]
pub struct RuleViolation {
    /// Name of the rule.
    pub rule: String,
    /// Time of the violation, in ms since the start of the run.
    pub at_ms: f64,
    /// Evidence of the violation.
    pub evidence: String,
}

/// Reads the run in a directory, or all runs in its subdirectories, sorted by path.
///
/// # Errors
/// A directory can't be read, contains no run, or its `run.json` is not valid.
pub fn runs(dir: &Path) -> io::Result<Vec<RunRecord>> {
    let mut found = Vec::new();
    find_runs(dir, MAX_DEPTH, &mut found)?;
    if found.is_empty() {
        return Err(io::Error::new(
            io::ErrorKind::NotFound,
            format!("{}: no run.json found", dir.display()),
        ));
    }
    Ok(found)
}

fn with_path(path: &Path, e: impl std::fmt::Display, kind: io::ErrorKind) -> io::Error {
    io::Error::new(kind, format!("{}: {e}", path.display()))
}

fn find_runs(dir: &Path, depth: usize, found: &mut Vec<RunRecord>) -> io::Result<()> {
    let file = dir.join("run.json");
    match fs::read_to_string(&file) {
        Ok(text) => {
            let run: RunRecord = serde_json::from_str(&text)
                .map_err(|e| with_path(&file, e, io::ErrorKind::InvalidData))?;
            found.push(RunRecord {
                dir: dir.to_owned(),
                ..run
            });
            return Ok(());
        }
        Err(e) if e.kind() != io::ErrorKind::NotFound => {
            return Err(with_path(&file, &e, e.kind()));
        }
        Err(_) if depth == 0 => return Ok(()),
        Err(_) => {}
    }
    let entries = fs::read_dir(dir).map_err(|e| with_path(dir, &e, e.kind()))?;
    let mut subdirectories: Vec<PathBuf> = entries
        .filter_map(|e| Some(e.ok()?.path()))
        .filter(|path| path.is_dir())
        .collect();
    subdirectories.sort();
    subdirectories
        .iter()
        .try_for_each(|dir| find_runs(dir, depth - 1, found))
}
