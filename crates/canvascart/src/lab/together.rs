//! What the lab does with many processes that act as one.

use std::sync::atomic::{AtomicU8, AtomicU64, Ordering};
use std::sync::{Mutex, PoisonError};
use std::thread;

use ::lab::service::change_latency::{
    FleetCondition, Row, measure_in_virtual_time, measure_processes, measure_single,
};
use ::lab::service::changes::{ChangeOutcome, InjectedFault, RunOptions, RunReport, run};
use ::lab::service::recover::RecoveryOptions;
use cluster::rules::{PartitionPolicy, Rules};

use super::hosted::{own, place_for};
use super::{BROKEN, NOT_RUN};

/// Short leases, so that a run shows many of them.
const SHORT_LEASES: &str = "lease = \"2 s\"\nchange-lease = \"1500 ms\"\ndeadline = \"8 s\"";
/// Rounds in which each way is asked.
const ROUNDS: usize = 10;
/// What is used without a word.
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

/// Changes under faults by chance, each seed in a fleet of its own; tells what came of them.
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
    let (command, dir) = (own()?, place_for("changes"));
    let cluster = format!("{SHORT_LEASES}\nwhen-cut-off = \"{partition_policy}\"");
    let (from, seeds) = seeds;
    let next = AtomicU64::new(from);
    let all: Mutex<Vec<RunReport>> = Mutex::default();
    let failed = AtomicU8::new(0);
    let one = || loop {
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
                tracing::error!(seed, error = %e, "it could not be report; the state is kept in {}", dir.display());
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
            let _ = std::fs::remove_dir_all(&dir); // nothing in it is needed
        } else {
            println!("the state is kept in {}", dir.display());
            failed.store(BROKEN, Ordering::Relaxed);
        }
        all.lock()
            .unwrap_or_else(PoisonError::into_inner)
            .push(report);
    };
    thread::scope(|threads| (0..parallel_runs.clamp(1, 16)).for_each(|_| _ = threads.spawn(one)));
    if failed.load(Ordering::Relaxed) != 0 {
        return Ok(failed.load(Ordering::Relaxed));
    }
    let all = all.into_inner().unwrap_or_else(PoisonError::into_inner);
    let known = all.iter().flat_map(|p| p.changes.values()).flatten();
    let mut ms: Vec<f64> = known
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
    let client_counts = all.iter().flat_map(|p| &p.client_counts);
    let sums = client_counts.fold([0, 0, 0], |[s, r, u], c| {
        [s + c.served, r + c.rejected, u + c.unanswered]
    });
    let count = |of: fn(&ChangeOutcome) -> bool| known.clone().filter(|k| of(k)).count();
    let (given_up, unknown) = (
        count(|k| *k == ChangeOutcome::Abandoned),
        count(|k| *k == ChangeOutcome::Unknown),
    );
    let (faults, decisions) = (
        all.iter().map(|p| p.faults).sum::<u64>(),
        all.iter().map(|p| p.decisions).sum::<usize>(),
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
    let _ = std::fs::remove_dir_all(&dir); // nothing in it is needed
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

/// How long changes take.
pub fn pace(sizes: &[usize], virtual_instances: Option<usize>, changes: u64) -> Result<u8, String> {
    let (command, dir) = (own()?, place_for("pace"));
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
    let _ = std::fs::remove_dir_all(&dir); // nothing in it is needed
    Ok(if violated { BROKEN } else { 0 })
}

/// What a request costs.
pub fn cost() -> Result<u8, String> {
    let (command, dir) = (own()?, place_for("cost"));
    println!(
        "| what | requests | p50 us | p99 us | CPU us a request (standard deviation of rounds) |"
    );
    println!("| --- | --- | --- | --- | --- |");
    match ::lab::service::cost::measure(&command, ROUNDS, &dir) {
        Ok(costs) => {
            for c in costs {
                let (cpu, spread) = c.mean_cpu_us();
                println!(
                    "| {} | {} | {:.0} | {:.0} | {cpu:.1} ({spread:.1}) |",
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
    let _ = std::fs::remove_dir_all(&dir); // nothing in it is needed
    Ok(0)
}

/// Kills most instances in the same moment, and tells how they come back.
pub fn recover(instances: usize, killed: usize, seeds: u64) -> Result<u8, String> {
    if instances == 0 || killed > 100 {
        return Err("--instances is at least 1, and --killed at most 100".into());
    }
    let (command, dir) = (own()?, place_for("recover"));
    println!(
        "| seed | served a second before | full service s | survivors served | connections a second at a server, before and after \
         | in hand at a server, before and after | refused | no answer | phases, median and most ms |"
    );
    println!("| --- | --- | --- | --- | --- | --- | --- | --- | --- |");
    for seed in 1..=seeds {
        let dir = dir.join(format!("seed-{seed}"));
        let r = match ::lab::service::recover::recover(&RecoveryOptions {
            command: &command,
            instances,
            killed,
            seed,
            dir: &dir,
        }) {
            Ok(r) => r,
            Err(e) => {
                tracing::error!(seed, error = %e, "it could not be report; the state is kept in {}", dir.display());
                return Ok(NOT_RUN);
            }
        };
        let full = r.full_s.map_or("never".into(), |s| format!("{s:.1}"));
        let phase =
            |(name, (middle, most)): (&String, &(u64, u64))| format!("{name} {middle} / {most}");
        let phases: Vec<String> = r.phases.iter().map(phase).collect();
        println!(
            "| {seed} | {:.0} | {full} | {:.2} | {:.0} / {:.0} | {} / {} | {} | {} | {} |",
            r.before,
            r.survivors,
            r.connections.0,
            r.connections.1,
            r.in_flight.0,
            r.in_flight.1,
            r.rejected,
            r.unanswered,
            phases.join(", ")
        );
        if !r.violations.is_empty() {
            r.violations.iter().for_each(|b| println!("BROKEN: {b}"));
            return Ok(BROKEN);
        }
    }
    let _ = std::fs::remove_dir_all(&dir); // nothing in it is needed
    Ok(0)
}
