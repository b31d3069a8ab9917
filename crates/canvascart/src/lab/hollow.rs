//! Emulated ("hollow") cluster members: the process that hosts them, and the sweeps that use them.

use std::io;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use ::lab::capacity::members::{self, Options};
use ::lab::capacity::{Sweep, hollow, restarts};
use tokio::signal::unix::{SignalKind, signal};

use super::NOT_RUN;

/// Members in a sweep over state sizes.
const SNAPSHOT_MEMBERS: usize = 6;

/// Kinds of sweep.
#[derive(Clone, Copy, clap::ValueEnum)]
enum SweepKind {
    /// By number of members: idle, during changes, and with some members dead, stalled or starting.
    Members,
    /// By number of members: restarts of a learner, a voter, the leader and a zone.
    Restarts,
    /// By state size in bytes.
    Snapshots,
    /// By number of members, in virtual time: idle and during changes.
    Virtual,
}

/// Arguments of a sweep.
#[derive(clap::Args)]
pub struct MembersArguments {
    what: SweepKind,
    /// Numbers of members, or state sizes in bytes.
    #[arg(long, value_delimiter = ',', required = true)]
    sizes: Vec<usize>,
    /// State size in bytes.
    #[arg(long, default_value_t = 100_000)]
    state: usize,
    /// Size of a change in bytes.
    #[arg(long, default_value_t = 600)]
    change: usize,
    /// Number of sequential changes.
    #[arg(long, default_value_t = 10)]
    changes: u64,
    /// Number of reports counted per idle member.
    #[arg(long, default_value_t = 4)]
    periods: u32,
    /// Seconds at the peak rate of changes.
    #[arg(long, default_value_t = 60)]
    peak: u64,
    /// Kills and stops no members.
    #[arg(long)]
    whole: bool,
    /// Directory for logs.
    #[arg(long, value_name = "DIR")]
    dir: Option<PathBuf>,
    /// Writes the sweep as JSON, after each point.
    #[arg(long, value_name = "FILE")]
    out: Option<PathBuf>,
}

/// Runs emulated members until standard input ends.
pub fn host() -> Result<u8, String> {
    hollow::host(io::stdin(), io::stdout())
        .map(|()| 0)
        .map_err(|e| e.to_string())
}

/// Returns a flag that is set on SIGINT or SIGTERM.
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

/// Runs a sweep and prints its table.
pub fn run(arguments: &MembersArguments) -> Result<u8, String> {
    let program = std::env::current_exe().map_err(|e| format!("this program's own path: {e}"))?;
    let options = Options {
        command: Some(vec![program.to_string_lossy().into_owned()]),
        rules: members::rules(),
        state_bytes: arguments.state,
        change_bytes: arguments.change,
        periods: arguments.periods,
        changes: arguments.changes,
        peak: Duration::from_secs(arguments.peak),
        with_failures: !arguments.whole,
        concurrent_sizes: false,
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
    let result = match arguments.what {
        SweepKind::Members => members::sweep(&options, sizes, &stop, write),
        SweepKind::Restarts => restarts::sweep(&options, sizes, &stop, write),
        SweepKind::Snapshots => {
            restarts::snapshots(&options, SNAPSHOT_MEMBERS, sizes, &stop, write)
        }
        SweepKind::Virtual => members::virtual_sweep(&options, sizes, 1, &stop, write),
    };
    let sweep = match result {
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
