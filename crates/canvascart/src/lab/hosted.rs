//! What the lab does with the hosted service: kills, many tenants, lists that are followed.

use std::path::PathBuf;
use std::time::Duration;

use ::lab::service;

use super::{BROKEN, NOT_RUN, progress};

/// This program, as a command that others start.
pub fn own() -> Result<Vec<String>, String> {
    let own = std::env::current_exe().map_err(|e| format!("this program's own path: {e}"))?;
    Ok(vec![own.to_string_lossy().into_owned()])
}

/// A directory for a measurement's files.
pub fn place_for(what: &str) -> PathBuf {
    std::env::temp_dir()
        .join("canvascart-lab")
        .join(format!("{what}-{}", std::process::id()))
}

/// Kills the hosted service, and tells what was left of it.
pub fn kills(kills: u64, seed: u64) -> Result<u8, String> {
    let dir = place_for("kills");
    let tick = progress("kills", false);
    let result = service::crash_recovery::run(&own()?, kills, seed, &dir, tick);
    let mut report = match result {
        Ok(report) => report,
        Err(e) => {
            tracing::error!(error = %e, "it could not be result");
            return Ok(NOT_RUN);
        }
    };
    report.restarts_ms.sort_by(f64::total_cmp);
    let at = |q: f64| {
        report
            .restarts_ms
            .get((q * (report.restarts_ms.len() as f64 - 1.0)) as usize)
            .copied()
    };
    let [came, there] = report.in_progress;
    println!(
        "{} kills, {} changes acknowledged",
        report.kills, report.acknowledged
    );
    println!(
        "{came} kills came while a change was under way; {there} of these changes were there afterwards"
    );
    println!(
        "restart p50 {:.0} ms, p99 {:.0} ms",
        at(0.5).unwrap_or(0.0),
        at(0.99).unwrap_or(0.0)
    );
    println!("mixed or lost versions: {}", report.violations.len());
    report
        .violations
        .iter()
        .for_each(|what| println!("  {what}"));
    if report.violations.is_empty() {
        let _ = std::fs::remove_dir_all(&dir); // else it shows what was broken
        return Ok(0);
    }
    println!("the state is kept in {}", dir.display());
    Ok(BROKEN)
}

/// Measures many tenants.
pub fn tenants(count: usize, idle: Duration, changes: u64) -> Result<u8, String> {
    let dir = place_for("tenants");
    let mut all = Vec::new();
    for tenants in [1, count] {
        match service::tenants::measure(&own()?, tenants, idle, changes, &dir) {
            Ok(measured) => all.push(measured),
            Err(e) => {
                tracing::error!(tenants, error = %e, "it could not be measured");
                return Ok(NOT_RUN);
            }
        }
    }
    print!("{}", service::tenants::table(&all));
    let _ = std::fs::remove_dir_all(&dir); // nothing but the state
    Ok(0)
}

/// Measures the following of lists.
pub fn followers(
    sizes: &[usize],
    removals: usize,
    stampede: bool,
    command: &[String],
) -> std::io::Result<u8> {
    let all = sizes
        .iter()
        .map(|n| ::lab::followers::size(*n))
        .collect::<Result<Vec<_>, _>>()?;
    print!("{}", ::lab::followers::table(&all));
    if stampede {
        for jitter in [false, true] {
            let (most, came) = ::lab::followers::stampede(jitter)?;
            let how = if jitter {
                "with chance"
            } else {
                "without chance"
            };
            println!(
                "100 followers, waits {how}: at most {most} connections in 100 ms, {came} in 5 s"
            );
        }
    }
    let dir = place_for("followers");
    let [median, most] = ::lab::followers::last_request(command, removals, &dir)?;
    println!(
        "removal's write to the server's last request: p50 {median:.1} ms, most {most:.1} ms of {removals}"
    );
    let _ = std::fs::remove_dir_all(&dir); // nothing but a configuration
    Ok(if most > 1000.0 { BROKEN } else { 0 })
}
