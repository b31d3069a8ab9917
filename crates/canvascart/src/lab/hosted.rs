//! Lab commands for the hosted service: kills, many tenants, and following of server lists.

use std::path::PathBuf;
use std::time::Duration;

use ::lab::service;

use super::{BROKEN, NOT_RUN, progress};

/// Returns the command that starts this program.
pub fn own_command() -> Result<Vec<String>, String> {
    let program = std::env::current_exe().map_err(|e| format!("this program's own path: {e}"))?;
    Ok(vec![program.to_string_lossy().into_owned()])
}

/// Returns a temporary directory for the files of a measurement.
pub fn temp_dir_for(name: &str) -> PathBuf {
    std::env::temp_dir()
        .join("canvascart-lab")
        .join(format!("{name}-{}", std::process::id()))
}

/// Kills the hosted service repeatedly and prints the state of its versions.
pub fn kills(kills: u64, seed: u64) -> Result<u8, String> {
    let dir = temp_dir_for("kills");
    let on_progress = progress("kills", false);
    let result = service::crash_recovery::run(&own_command()?, kills, seed, &dir, on_progress);
    let mut report = match result {
        Ok(report) => report,
        Err(e) => {
            tracing::error!(error = %e, "it could not be run");
            return Ok(NOT_RUN);
        }
    };
    report.restarts_ms.sort_by(f64::total_cmp);
    let quantile = |q: f64| {
        report
            .restarts_ms
            .get((q * (report.restarts_ms.len() as f64 - 1.0)) as usize)
            .copied()
    };
    let [during_change, survived] = report.in_progress;
    println!(
        "{} kills, {} changes acknowledged",
        report.kills, report.acknowledged
    );
    println!(
        "{during_change} kills came while a change was under way; {survived} of these changes were there afterwards"
    );
    println!(
        "restart p50 {:.0} ms, p99 {:.0} ms",
        quantile(0.5).unwrap_or(0.0),
        quantile(0.99).unwrap_or(0.0)
    );
    println!("mixed or lost versions: {}", report.violations.len());
    report
        .violations
        .iter()
        .for_each(|violation| println!("  {violation}"));
    if report.violations.is_empty() {
        let _ = std::fs::remove_dir_all(&dir); // kept after a violation as evidence
        return Ok(0);
    }
    println!("the state is kept in {}", dir.display());
    Ok(BROKEN)
}

/// Measures the service with one and with many tenants.
pub fn tenants(count: usize, idle: Duration, changes: u64) -> Result<u8, String> {
    let dir = temp_dir_for("tenants");
    let mut all = Vec::new();
    for tenants in [1, count] {
        match service::tenants::measure(&own_command()?, tenants, idle, changes, &dir) {
            Ok(measured) => all.push(measured),
            Err(e) => {
                tracing::error!(tenants, error = %e, "it could not be measured");
                return Ok(NOT_RUN);
            }
        }
    }
    print!("{}", service::tenants::table(&all));
    let _ = std::fs::remove_dir_all(&dir); // best effort: it has only the state
    Ok(0)
}

/// Measures how the service follows server lists.
pub fn followers(
    sizes: &[usize],
    removals: usize,
    stampede: bool,
    command: &[String],
) -> std::io::Result<u8> {
    let all = sizes
        .iter()
        .map(|n| ::lab::followers::measure_list(*n))
        .collect::<Result<Vec<_>, _>>()?;
    print!("{}", ::lab::followers::table(&all));
    if stampede {
        for jitter in [false, true] {
            let (max, reconnected) = ::lab::followers::measure_reconnections(jitter)?;
            let how = if jitter {
                "with chance"
            } else {
                "without chance"
            };
            println!(
                "100 followers, waits {how}: at most {max} connections in 100 ms, {reconnected} in 5 s"
            );
        }
    }
    let dir = temp_dir_for("followers");
    let [median, max] = ::lab::followers::measure_removals(command, removals, &dir)?;
    println!(
        "removal's write to the server's last request: p50 {median:.1} ms, most {max:.1} ms of {removals}"
    );
    let _ = std::fs::remove_dir_all(&dir); // best effort: it has only a configuration
    Ok(if max > 1000.0 { BROKEN } else { 0 })
}
