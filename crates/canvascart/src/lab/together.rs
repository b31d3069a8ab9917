//! What the lab does with many processes that act as one.

use std::sync::atomic::{AtomicU8, AtomicU64, Ordering};
use std::sync::{Mutex, PoisonError};
use std::thread;

use ::lab::service::changes::{Known, Planted, Play, Played, play};
use ::lab::service::pace::{Fare, Row, among, in_virtual_time, single};
use ::lab::service::recover::Play as Recover;
use cluster::rules::{PartitionPolicy, Rules};

use super::hosted::{own, place_for};
use super::{BROKEN, NOT_RUN};

/// Short leases, so that a run shows many of them.
const SHORT: &str = "lease = \"2 s\"\nchange-lease = \"1500 ms\"\ndeadline = \"8 s\"";
/// Rounds in which each way is asked.
const ROUNDS: usize = 10;
/// What is used without a word.
const USUAL: &str = "lease = \"15 s\"";

fn usual() -> Rules {
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
    at_once: usize,
    when_cut_off: &str,
) -> Result<u8, String> {
    if !matches!(when_cut_off, "refuse" | "serve") {
        return Err(format!(
            "--when-cut-off {when_cut_off}: it is refuse or serve"
        ));
    }
    let (command, dir) = (own()?, place_for("changes"));
    let cluster = format!("{SHORT}\nwhen-cut-off = \"{when_cut_off}\"");
    let (from, seeds) = seeds;
    let next = AtomicU64::new(from);
    let all: Mutex<Vec<Played>> = Mutex::default();
    let failed = AtomicU8::new(0);
    let one = || loop {
        let seed = next.fetch_add(1, Ordering::Relaxed);
        if seed >= from + seeds || failed.load(Ordering::Relaxed) != 0 {
            return;
        }
        let dir = dir.join(format!("seed-{seed}"));
        let terms = Play {
            command: &command,
            instances,
            changes,
            cluster: &cluster,
            seed,
            dir: &dir,
            planted: Planted::Nothing,
        };
        let played = match play(&terms, |_| ()) {
            Ok(played) => played,
            Err(e) => {
                tracing::error!(seed, error = %e, "it could not be played; the state is kept in {}", dir.display());
                return failed.store(NOT_RUN, Ordering::Relaxed);
            }
        };
        let count =
            |of: fn(&Known) -> bool| played.changes.values().flatten().filter(|k| of(k)).count();
        println!(
            "seed {seed}: {} done, {} given up, {} not known; {} faults, {} decisions, {} broken",
            count(|k| matches!(k, Known::Done(_))),
            count(|k| *k == Known::GivenUp),
            count(|k| *k == Known::Unknown),
            played.faults,
            played.decisions,
            played.broken.len(),
        );
        played.broken.iter().for_each(|what| println!("  {what}"));
        if played.broken.is_empty() {
            let _ = std::fs::remove_dir_all(&dir); // nothing in it is needed
        } else {
            println!("the state is kept in {}", dir.display());
            failed.store(BROKEN, Ordering::Relaxed);
        }
        all.lock()
            .unwrap_or_else(PoisonError::into_inner)
            .push(played);
    };
    thread::scope(|threads| (0..at_once.clamp(1, 16)).for_each(|_| _ = threads.spawn(one)));
    if failed.load(Ordering::Relaxed) != 0 {
        return Ok(failed.load(Ordering::Relaxed));
    }
    let all = all.into_inner().unwrap_or_else(PoisonError::into_inner);
    let known = all.iter().flat_map(|p| p.changes.values()).flatten();
    let mut ms: Vec<f64> = known
        .clone()
        .filter_map(|k| match k {
            Known::Done(took) => Some(took.as_secs_f64() * 1000.0),
            _ => None,
        })
        .collect();
    ms.sort_by(f64::total_cmp);
    let at = |q: f64| {
        ms.get((q * ms.len().saturating_sub(1) as f64) as usize)
            .copied()
            .unwrap_or(f64::NAN)
    };
    let seen = all.iter().flat_map(|p| &p.seen);
    let sums = seen.fold([0, 0, 0], |[s, r, u], c| {
        [s + c.served, r + c.refused, u + c.unanswered]
    });
    let count = |of: fn(&Known) -> bool| known.clone().filter(|k| of(k)).count();
    let (given_up, unknown) = (
        count(|k| *k == Known::GivenUp),
        count(|k| *k == Known::Unknown),
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

fn tell(row: &Row) {
    let idle = row
        .idle
        .map_or("-".into(), |[l, b]| format!("{l:.1} / {b:.0}"));
    println!(
        "| {} | {} | {:.1} | {:.1} | {:.1} | {} | {} | {idle} |",
        row.what,
        row.fare,
        row.first_ms,
        row.at(0.5),
        row.at(0.99),
        row.requests[0],
        row.requests[1],
    );
    row.broken.iter().for_each(|b| println!("BROKEN: {b}"));
}

/// How long changes take.
pub fn pace(sizes: &[usize], in_virtual: Option<usize>, changes: u64) -> Result<u8, String> {
    let (command, dir) = (own()?, place_for("pace"));
    println!(
        "| what | state | first ms | p50 ms | p99 ms | served | refused | idle messages / bytes a second |"
    );
    println!("| --- | --- | --- | --- | --- | --- | --- | --- |");
    let mut broken = false;
    let mut rows = vec![single(&command, changes, &dir).map_err(|e| e.to_string())];
    rows.iter().flatten().for_each(tell);
    for instances in sizes {
        for fare in Fare::ALL {
            let terms = Play {
                command: &command,
                instances: *instances,
                changes,
                cluster: USUAL,
                seed: 1,
                dir: &dir,
                planted: Planted::Nothing,
            };
            let row = among(&terms, fare).map_err(|e| e.to_string());
            row.iter().for_each(tell);
            rows.push(row);
        }
    }
    if let Some(instances) = in_virtual {
        for fare in Fare::ALL {
            let row = in_virtual_time(instances, fare, changes, &usual(), 1);
            row.iter().for_each(tell);
            rows.push(row);
        }
    }
    for row in rows {
        match row {
            Ok(row) => broken |= !row.broken.is_empty(),
            Err(e) => {
                tracing::error!(error = e, "it could not be measured");
                return Ok(NOT_RUN);
            }
        }
    }
    let _ = std::fs::remove_dir_all(&dir); // nothing in it is needed
    Ok(if broken { BROKEN } else { 0 })
}

/// What a request costs.
pub fn cost() -> Result<u8, String> {
    let (command, dir) = (own()?, place_for("cost"));
    println!(
        "| what | requests | p50 us | p99 us | CPU us a request (standard deviation of rounds) |"
    );
    println!("| --- | --- | --- | --- | --- |");
    match ::lab::service::cost::cost(&command, ROUNDS, &dir) {
        Ok(costs) => {
            for c in costs {
                let (cpu, spread) = c.cpu();
                println!(
                    "| {} | {} | {:.0} | {:.0} | {cpu:.1} ({spread:.1}) |",
                    c.what,
                    c.us.len(),
                    c.at(0.5),
                    c.at(0.99)
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
        let r = match ::lab::service::recover::recover(&Recover {
            command: &command,
            instances,
            killed,
            seed,
            dir: &dir,
        }) {
            Ok(r) => r,
            Err(e) => {
                tracing::error!(seed, error = %e, "it could not be played; the state is kept in {}", dir.display());
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
            r.in_hand.0,
            r.in_hand.1,
            r.refused,
            r.lost,
            phases.join(", ")
        );
        if !r.broken.is_empty() {
            r.broken.iter().for_each(|b| println!("BROKEN: {b}"));
            return Ok(BROKEN);
        }
    }
    let _ = std::fs::remove_dir_all(&dir); // nothing in it is needed
    Ok(0)
}
