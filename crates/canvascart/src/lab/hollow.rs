//! Hollow members: the process that runs them, and the sweeps that are played with them.

use std::io;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use ::lab::capacity::members::{self, Play};
use ::lab::capacity::{Sweep, hollow, restarts};
use tokio::signal::unix::{SignalKind, signal};

use super::NOT_RUN;

/// Members of a sweep over states.
const FEW: usize = 6;

/// What is swept.
#[derive(Clone, Copy, clap::ValueEnum)]
enum What {
    /// Idle, changing, and some of them dead, stalled or starting, by how many there are.
    Members,
    /// A learner, a voter, the leader and a zone restarted, by how many there are.
    Restarts,
    /// By the bytes of the state.
    Snapshots,
    /// Idle and changing, in virtual time, by how many there are.
    Virtual,
}

/// What is swept, and how.
#[derive(clap::Args)]
pub struct Arguments {
    what: What,
    /// Numbers of members, or bytes of the state.
    #[arg(long, value_delimiter = ',', required = true)]
    sizes: Vec<usize>,
    /// Bytes of the state.
    #[arg(long, default_value_t = 100_000)]
    state: usize,
    /// Bytes of a change.
    #[arg(long, default_value_t = 600)]
    change: usize,
    /// Changes one after another.
    #[arg(long, default_value_t = 10)]
    changes: u64,
    /// Reports of each idle member that are counted.
    #[arg(long, default_value_t = 4)]
    periods: u32,
    /// Seconds at the peak's rate of changes.
    #[arg(long, default_value_t = 60)]
    peak: u64,
    /// Kills and stops none.
    #[arg(long)]
    whole: bool,
    /// Where logs go.
    #[arg(long, value_name = "DIR")]
    dir: Option<PathBuf>,
    /// Writes the sweep as JSON, after each point.
    #[arg(long, value_name = "FILE")]
    out: Option<PathBuf>,
}

/// Runs hollow members until nothing more comes on standard input.
pub fn host() -> Result<u8, String> {
    hollow::host(io::stdin(), io::stdout())
        .map(|()| 0)
        .map_err(|e| e.to_string())
}

/// Set once the process is asked to end.
fn stop() -> Result<Arc<AtomicBool>, String> {
    let stop = Arc::new(AtomicBool::new(false));
    let set = stop.clone();
    let wait = move || {
        crate::block_on(async {
            let (Ok(mut interrupt), Ok(mut terminate)) = (
                signal(SignalKind::interrupt()),
                signal(SignalKind::terminate()),
            ) else {
                return;
            };
            tokio::select! { _ = interrupt.recv() => {}, _ = terminate.recv() => {} }
            set.store(true, Ordering::Relaxed);
        })
    };
    std::thread::Builder::new()
        .name("signals".into())
        .spawn(wait)
        .map_err(|e| e.to_string())?;
    Ok(stop)
}

/// Sweeps, and prints the table.
pub fn run(arguments: &Arguments) -> Result<u8, String> {
    let own = std::env::current_exe().map_err(|e| format!("this program's own path: {e}"))?;
    let play = Play {
        command: Some(vec![own.to_string_lossy().into_owned()]),
        rules: members::rules(),
        state_bytes: arguments.state,
        change_bytes: arguments.change,
        periods: arguments.periods,
        changes: arguments.changes,
        peak: Duration::from_secs(arguments.peak),
        hurt: !arguments.whole,
        side_by_side: false,
        dir: arguments
            .dir
            .clone()
            .unwrap_or_else(|| std::env::temp_dir().join("canvascart-lab")),
    };
    let stop = stop()?;
    let write = |sweep: &Sweep| {
        let text = serde_json::to_string_pretty(sweep).unwrap_or_default();
        if let Some(Err(e)) = arguments
            .out
            .as_ref()
            .map(|file| std::fs::write(file, text))
        {
            tracing::error!(error = %e, "the sweep could not be written");
        }
    };
    let sizes = &arguments.sizes;
    let swept = match arguments.what {
        What::Members => members::sweep(&play, sizes, &stop, write),
        What::Restarts => restarts::sweep(&play, sizes, &stop, write),
        What::Snapshots => restarts::snapshots(&play, FEW, sizes, &stop, write),
        What::Virtual => members::virtual_sweep(&play, sizes, 1, &stop, write),
    };
    let sweep = match swept {
        Ok(sweep) => sweep,
        Err(e) if e.kind() == io::ErrorKind::InvalidInput => return Err(format!("--sizes: {e}")),
        Err(e) => {
            tracing::error!(error = %e, "it could not be measured");
            return Ok(NOT_RUN);
        }
    };
    write(&sweep);
    print!("{}", sweep.table());
    let void = sweep.partial || sweep.points.iter().any(|p| p.void.is_some());
    Ok(if void { NOT_RUN } else { 0 })
}
