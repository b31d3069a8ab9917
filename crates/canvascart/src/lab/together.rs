//! Lab commands for clusters of processes: changes under faults, change latency, request cost and recovery.

use std::sync::atomic::{AtomicU8, AtomicU64, Ordering};
use std::sync::{Mutex, PoisonError};
use std::thread;

use ::lab::service::change_latency::{
    FleetCondition, Row, measure_in_virtual_time, measure_processes, measure_single,
};
use ::lab::service::changes::{ChangeOutcome, InjectedFault, RunOptions, RunReport, run};
use ::lab::service::recover::RecoveryOptions;
use cluster::rules::{PartitionPolicy, Rules};

use super::hosted::{own_command, temp_dir_for};
use super::{BROKEN, NOT_RUN};

/// Short leases, so that many leases expire during a run.
const SHORT_LEASES: &str = "lease = \"2 s\"\nchange-lease = \"1500 ms\"\ndeadline = \"8 s\"";
/// Rounds in which each target is measured.
const COST_ROUNDS: usize = 10;
/// The default lease of the service.
const DEFAULT_LEASE: &str = "lease = \"15 s\"";

fn default_rules() -> Rules {
    let second = 1_000_000;
    Rules {
        lease: 15 * second,
        change_lease: 3 * second,
        clock_drift_ppm: 20_000,
        change_deadline: 60 * second,
        partition_policy: PartitionPolicy::Reject,
        voters: 3,
    }
}

/// Runs changes under random faults, each seed in a separate fleet, and prints the results.
pub fn changes(
    instances: usize,
    changes: u64,
    seeds: (u64, u64),
    parallel_runs: usize,
    partition_policy: &str,
) -> Result<u8, String> {
    if !matches!(partition_policy, "refuse" | "serve") {
        return Err(format!(
            "--when-cut-off {partition_policy}: it is refuse or serve"
        ));
    }
    let (command, dir) = (own_command()?, temp_dir_for("changes"));
    let cluster = format!("{SHORT_LEASES}\nwhen-cut-off = \"{partition_policy}\"");
    let (from, seeds) = seeds;
    let next = AtomicU64::new(from);
    let reports: Mutex<Vec<RunReport>> = Mutex::default();
    let failed = AtomicU8::new(0);
    let run_seeds = || loop {
        let seed = next.fetch_add(1, Ordering::Relaxed);
        if seed >= from + seeds || failed.load(Ordering::Relaxed) != 0 {
            return;
        }
        let dir = dir.join(format!("seed-{seed}"));
        let options = RunOptions {
            command: &command,
            instances,
            changes,
            cluster: &cluster,
            seed,
            dir: &dir,
            injected_fault: InjectedFault::None,
        };
        let report = match run(&options, |_| ()) {
            Ok(report) => report,
            Err(e) => {
                tracing::error!(seed, error = %e, "it could not be run; the state is kept in {}", dir.display());
                return failed.store(NOT_RUN, Ordering::Relaxed);
            }
        };
        let count = |of: fn(&ChangeOutcome) -> bool| {
            report.changes.values().flatten().filter(|k| of(k)).count()
        };
        println!(
            "seed {seed}: {} done, {} given up, {} not known; {} faults, {} decisions, {} broken",
            count(|k| matches!(k, ChangeOutcome::Acknowledged(_))),
            count(|k| *k == ChangeOutcome::Abandoned),
            count(|k| *k == ChangeOutcome::Unknown),
            report.faults,
            report.decisions,
            report.violations.len(),
        );
        report
            .violations
            .iter()
            .for_each(|what| println!("  {what}"));
        if report.violations.is_empty() {
            let _ = std::fs::remove_dir_all(&dir); // best effort: the files are no longer needed
        } else {
            println!("the state is kept in {}", dir.display());
            failed.store(BROKEN, Ordering::Relaxed);
        }
        reports
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .push(report);
    };
    thread::scope(|threads| {
        (0..parallel_runs.clamp(1, 16)).for_each(|_| _ = threads.spawn(run_seeds))
    });
    if failed.load(Ordering::Relaxed) != 0 {
        return Ok(failed.load(Ordering::Relaxed));
    }
    let reports = reports.into_inner().unwrap_or_else(PoisonError::into_inner);
    let outcomes = reports.iter().flat_map(|p| p.changes.values()).flatten();
    let mut ms: Vec<f64> = outcomes
        .clone()
        .filter_map(|k| match k {
            ChangeOutcome::Acknowledged(took) => Some(took.as_secs_f64() * 1000.0),
            _ => None,
        })
        .collect();
    ms.sort_by(f64::total_cmp);
    let at = |q: f64| {
        ms.get((q * ms.len().saturating_sub(1) as f64) as usize)
            .copied()
            .unwrap_or(f64::NAN)
    };
    let client_counts = reports.iter().flat_map(|p| &p.client_counts);
    let sums = client_counts.fold([0, 0, 0], |[served, rejected, unanswered], c| {
        [
            served + c.served,
            rejected + c.rejected,
            unanswered + c.unanswered,
        ]
    });
    let count = |of: fn(&ChangeOutcome) -> bool| outcomes.clone().filter(|k| of(k)).count();
    let (given_up, unknown) = (
        count(|k| *k == ChangeOutcome::Abandoned),
        count(|k| *k == ChangeOutcome::Unknown),
    );
    let (faults, decisions) = (
        reports.iter().map(|p| p.faults).sum::<u64>(),
        reports.iter().map(|p| p.decisions).sum::<usize>(),
    );
    println!(
        "{seeds} seeds: {faults} faults, {decisions} decisions, {given_up} changes given up, {unknown} not known"
    );
    println!(
        "{} acknowledged, p50 {:.0} ms, p99 {:.0} ms",
        ms.len(),
        at(0.5),
        at(0.99)
    );
    println!(
        "requests: {} served, {} refused, {} without an answer",
        sums[0], sums[1], sums[2]
    );
    let _ = std::fs::remove_dir_all(&dir); // best effort: the files are no longer needed
    Ok(0)
}

fn print_row(row: &Row) {
    let idle = row
        .idle
        .map_or("-".into(), |[l, b]| format!("{l:.1} / {b:.0}"));
    println!(
        "| {} | {} | {:.1} | {:.1} | {:.1} | {} | {} | {idle} |",
        row.label,
        row.condition,
        row.first_ms,
        row.latency_ms(0.5),
        row.latency_ms(0.99),
        row.requests[0],
        row.requests[1],
    );
    row.violations.iter().for_each(|b| println!("BROKEN: {b}"));
}

/// Measures the latency of changes and prints a table.
pub fn pace(sizes: &[usize], virtual_instances: Option<usize>, changes: u64) -> Result<u8, String> {
    let (command, dir) = (own_command()?, temp_dir_for("pace"));
    println!(
        "| what | state | first ms | p50 ms | p99 ms | served | refused | idle messages / bytes a second |"
    );
    println!("| --- | --- | --- | --- | --- | --- | --- | --- |");
    let mut violated = false;
    let mut rows = vec![measure_single(&command, changes, &dir).map_err(|e| e.to_string())];
    rows.iter().flatten().for_each(print_row);
    for instances in sizes {
        for condition in FleetCondition::ALL {
            let options = RunOptions {
                command: &command,
                instances: *instances,
                changes,
                cluster: DEFAULT_LEASE,
                seed: 1,
                dir: &dir,
                injected_fault: InjectedFault::None,
            };
            let row = measure_processes(&options, condition).map_err(|e| e.to_string());
            row.iter().for_each(print_row);
            rows.push(row);
        }
    }
    if let Some(instances) = virtual_instances {
        for condition in FleetCondition::ALL {
            let row = measure_in_virtual_time(instances, condition, changes, &default_rules(), 1);
            row.iter().for_each(print_row);
            rows.push(row);
        }
    }
    for row in rows {
        match row {
            Ok(row) => violated |= !row.violations.is_empty(),
            Err(e) => {
                tracing::error!(error = e, "it could not be measured");
                return Ok(NOT_RUN);
            }
        }
    }
    let _ = std::fs::remove_dir_all(&dir); // best effort: the files are no longer needed
    Ok(if violated { BROKEN } else { 0 })
}

/// Measures the cost of a request and prints a table.
pub fn cost() -> Result<u8, String> {
    let (command, dir) = (own_command()?, temp_dir_for("cost"));
    println!(
        "| what | requests | p50 us | p99 us | CPU us a request (standard deviation of rounds) |"
    );
    println!("| --- | --- | --- | --- | --- |");
    match ::lab::service::cost::measure(&command, COST_ROUNDS, &dir) {
        Ok(costs) => {
            for c in costs {
                let (cpu, standard_deviation) = c.mean_cpu_us();
                println!(
                    "| {} | {} | {:.0} | {:.0} | {cpu:.1} ({standard_deviation:.1}) |",
                    c.label,
                    c.latencies_us.len(),
                    c.latency_us(0.5),
                    c.latency_us(0.99)
                );
            }
        }
        Err(e) => {
            tracing::error!(error = %e, "it could not be measured");
            return Ok(NOT_RUN);
        }
    }
    let _ = std::fs::remove_dir_all(&dir); // best effort: the files are no longer needed
    Ok(0)
}

/// Kills most instances at once and prints how they recover.
pub fn recover(instances: usize, killed: usize, seeds: u64) -> Result<u8, String> {
    if instances == 0 || killed > 100 {
        return Err("--instances is at least 1, and --killed at most 100".into());
    }
    let (command, dir) = (own_command()?, temp_dir_for("recover"));
    println!(
        "| seed | served a second before | full service s | survivors served | connections a second at a server, before and after \
         | in hand at a server, before and after | refused | no answer | phases, median and most ms |"
    );
    println!("| --- | --- | --- | --- | --- | --- | --- | --- | --- |");
    for seed in 1..=seeds {
        let dir = dir.join(format!("seed-{seed}"));
        let report = match ::lab::service::recover::recover(&RecoveryOptions {
            command: &command,
            instances,
            killed,
            seed,
            dir: &dir,
        }) {
            Ok(report) => report,
            Err(e) => {
                tracing::error!(seed, error = %e, "it could not be run; the state is kept in {}", dir.display());
                return Ok(NOT_RUN);
            }
        };
        let full = report.full_s.map_or("never".into(), |s| format!("{s:.1}"));
        let phase =
            |(name, (median, max)): (&String, &(u64, u64))| format!("{name} {median} / {max}");
        let phases: Vec<String> = report.phases.iter().map(phase).collect();
        println!(
            "| {seed} | {:.0} | {full} | {:.2} | {:.0} / {:.0} | {} / {} | {} | {} | {} |",
            report.before,
            report.survivors,
            report.connections.0,
            report.connections.1,
            report.in_flight.0,
            report.in_flight.1,
            report.rejected,
            report.unanswered,
            phases.join(", ")
        );
        if !report.violations.is_empty() {
            report
                .violations
                .iter()
                .for_each(|b| println!("BROKEN: {b}"));
            return Ok(BROKEN);
        }
    }
    let _ = std::fs::remove_dir_all(&dir); // best effort: the files are no longer needed
    Ok(0)
}
