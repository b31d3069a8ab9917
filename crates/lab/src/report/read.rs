//! Reads what runs have left behind.

use std::fs;
use std::io;
use std::path::{Path, PathBuf};

use serde::Deserialize;

/// Folders below the one that is named, at most: a sweep leaves value and seed.
const DEPTH: usize = 3;

/// A run, as its folder tells of it.
#[derive(Clone, Debug, Deserialize)]
pub struct Left {
    /// Where it lies.
    #[serde(skip)]
    pub dir: PathBuf,
    /// The scenario's name.
    pub scenario: String,
    /// Its seed.
    pub seed: u64,
    /// Whether time was virtual.
    #[serde(rename = "virtual")]
    pub virtual_time: bool,
    /// Whether it was cut short.
    pub partial: bool,
    /// Why its figures are worth nothing, if they are not.
    pub void: Option<String>,
    /// How good the service was.
    pub service: Service,
    /// Broken rules.
    pub broken: Vec<Rule>,
}

/// How good the service was.
#[derive(Clone, Debug, Deserialize)]
pub struct Service {
    /// All asks.
    pub whole: Whole,
    /// The part of the tries that was refused.
    pub refused: f64,
}

/// All asks.
#[derive(Clone, Debug, Deserialize)]
pub struct Whole {
    /// Their number.
    pub asked: u64,
    /// Of them, served.
    pub served: u64,
    /// Worth earned over worth asked for.
    pub share: f64,
    /// Latency in ms: median, 90th, 99th and 99.9th percentile.
    pub latency_ms: [f64; 4],
}

/// A broken rule.
#[derive(Clone, Debug, Deserialize)]
pub struct Rule {
    /// Which.
    pub rule: String,
    /// When, in ms of the run.
    pub at_ms: f64,
    /// What shows it.
    pub evidence: String,
}

/// Reads the run in a folder, or all runs in the folders below it, in the order of their names.
///
/// # Errors
/// A folder can't be read, there is no run in it, or its `run.json` is none of the lab's.
pub fn runs(dir: &Path) -> io::Result<Vec<Left>> {
    let mut found = Vec::new();
    look(dir, DEPTH, &mut found)?;
    if found.is_empty() {
        return Err(io::Error::new(
            io::ErrorKind::NotFound,
            format!("{}: no run.json in it", dir.display()),
        ));
    }
    Ok(found)
}

fn named(path: &Path, e: impl std::fmt::Display, kind: io::ErrorKind) -> io::Error {
    io::Error::new(kind, format!("{}: {e}", path.display()))
}

fn look(dir: &Path, depth: usize, found: &mut Vec<Left>) -> io::Result<()> {
    let file = dir.join("run.json");
    match fs::read_to_string(&file) {
        Ok(text) => {
            let left: Left = serde_json::from_str(&text)
                .map_err(|e| named(&file, e, io::ErrorKind::InvalidData))?;
            found.push(Left {
                dir: dir.to_owned(),
                ..left
            });
            return Ok(());
        }
        Err(e) if e.kind() != io::ErrorKind::NotFound => return Err(named(&file, &e, e.kind())),
        Err(_) if depth == 0 => return Ok(()),
        Err(_) => {}
    }
    let entries = fs::read_dir(dir).map_err(|e| named(dir, &e, e.kind()))?;
    let mut below: Vec<PathBuf> = entries
        .filter_map(|e| Some(e.ok()?.path()))
        .filter(|path| path.is_dir())
        .collect();
    below.sort();
    below.iter().try_for_each(|dir| look(dir, depth - 1, found))
}
