//! Reports of a run: a table for the terminal, and a directory with the figures, the evidence and a self-contained HTML
//! page.
//!
//! | file | contents |
//! | --- | --- |
//! | `run.json` | scenario, seed, service quality, rule violations |
//! | `windows.jsonl` | one line per time window |
//! | `tries.jsonl` | one line per client attempt, with the proxy's attempts for it |
//! | `broken.jsonl` | one line per rule violation |
//! | `latency-CLASS.hdr`, `latency-tenant-TENANT.hdr` | latencies in µs, in the HdrHistogram V2 encoding |
//! | `report.html` | tables and plots |

mod page;
pub mod read;

use std::fmt::Write as _;
use std::fs::{self, File};
use std::io::{self, BufWriter, Write as _};
use std::path::Path;

use hdrhistogram::serialization::{Serializer as _, V2Serializer};
use serde_json::json;

use crate::experiment::Run;
use crate::ledger::{ClientAttempt, ResponseKind};
use crate::oracle::Violation;
use crate::score::GroupScore;

/// Formats a run as a text table.
pub fn table(run: &Run) -> String {
    let mut text = String::new();
    let clock = if run.virtual_time {
        "virtual time"
    } else {
        "real sockets"
    };
    let _ = writeln!(
        text,
        "{} ({}, {clock}, seed {})",
        run.scenario.title, run.name, run.seed
    );
    if let Some(why) = &run.void {
        let _ = writeln!(text, "VOID: {why}");
    }
    if run.partial {
        let _ = writeln!(
            text,
            "PARTIAL: it was cut short at {:.1} s",
            run.ledger.ended_at / 1000.0
        );
    }
    let _ = writeln!(
        text,
        "{:<14} {:>8} {:>8} {:>8} {:>7} {:>9} {:>9} {:>9} {:>9}",
        "", "asked", "served", "in time", "share", "p50 ms", "p90 ms", "p99 ms", "p99.9 ms"
    );
    let groups = [&run.score.whole]
        .into_iter()
        .chain(&run.score.classes)
        .chain(&run.score.tenants);
    for GroupScore {
        name,
        asked,
        served,
        in_time,
        share,
        latency_ms: [p50, p90, p99, p999],
        ..
    } in groups
    {
        let _ = writeln!(
            text,
            "{name:<14} {asked:>8} {served:>8} {in_time:>8} {share:>7.3} {p50:>9.1} {p90:>9.1} {p99:>9.1} {p999:>9.1}"
        );
    }
    let score = &run.score;
    let _ = writeln!(
        text,
        "{:.2} tries and {:.2} attempts an ask, {:.1} % of the tries refused",
        score.tries,
        score.attempts,
        100.0 * score.refused
    );
    let _ = write!(text, "{}", verdict(&run.broken));
    text
}

/// Describes the rule check in words: the count of violations and the first ones with their evidence.
pub fn verdict(broken: &[Violation]) -> String {
    const MAX_SHOWN: usize = 5;
    if broken.is_empty() {
        return "all rules kept\n".into();
    }
    let mut text = format!("{} broken rules\n", broken.len());
    broken.iter().take(MAX_SHOWN).for_each(|violation| {
        let _ = writeln!(text, "  {violation}");
    });
    if broken.len() > MAX_SHOWN {
        let _ = writeln!(text, "  and {} more", broken.len() - MAX_SHOWN);
    }
    text
}

/// Serializes a run as JSON. Contains only values that are determined by the seed, no measured ones.
pub fn json(run: &Run) -> serde_json::Value {
    json!({
        "scenario": run.name,
        "title": run.scenario.title,
        "seed": run.seed,
        "virtual": run.virtual_time,
        "partial": run.partial,
        "void": run.void,
        "service": run.score,
        "connections": run.counts.connections,
        "most_connections_to_a_server": run.counts.max_server_connections,
        "events": run.counts.events,
        "broken": run.broken.iter().map(violation_json).collect::<Vec<_>>(),
    })
}

fn violation_json(violation: &Violation) -> serde_json::Value {
    json!({
        "rule": format!("{:?}", violation.rule),
        "at_ms": violation.at,
        "request": violation.request,
        "server": violation.server,
        "evidence": violation.evidence,
    })
}

fn client_attempt_json(
    id: usize,
    client_attempt: &ClientAttempt,
    class: &str,
) -> serde_json::Value {
    let response = |(at, code): &(f64, ResponseKind)| {
        let (name, retry_after) = match code {
            ResponseKind::Served { .. } => ("served", None),
            ResponseKind::Refused { retry_after } => ("refused", *retry_after),
            ResponseKind::Failed => ("failed", None),
            ResponseKind::Broken => ("broken", None),
        };
        json!({"at_ms": at, "code": name, "retry_after_ms": retry_after})
    };
    let attempt = |a: &crate::ledger::Attempt| {
        json!({
            "server": a.server,
            "sent_ms": a.sent,
            "ended_ms": a.ended.map(|(at, _)| at),
            "end": a.ended.map(|(_, end)| format!("{end:?}")),
            "ran_ms": a.completed_at,
        })
    };
    json!({
        "request": id,
        "ask": client_attempt.request,
        "try": client_attempt.number,
        "class": class,
        "proxy": client_attempt.proxy,
        "intended_ms": client_attempt.intended,
        "sent_ms": client_attempt.sent,
        "due_ms": client_attempt.timeout_at,
        "taken_ms": client_attempt.accepted_at,
        "left_ms": client_attempt.disconnected_at,
        "answers": client_attempt.responses.iter().map(response).collect::<Vec<_>>(),
        "attempts": client_attempt.attempts.iter().map(attempt).collect::<Vec<_>>(),
    })
}

fn write_json_lines(
    path: &Path,
    values: impl Iterator<Item = serde_json::Value>,
) -> io::Result<()> {
    let mut writer = BufWriter::new(File::create(path)?);
    for value in values {
        serde_json::to_writer(&mut writer, &value)?;
        writer.write_all(b"\n")?;
    }
    writer.flush()
}

/// Writes the report of a run to a directory, which is created if it does not exist.
///
/// # Errors
/// A file or the directory could not be written, or a plot could not be drawn.
pub fn write(dir: &Path, run: &Run) -> io::Result<()> {
    fs::create_dir_all(dir)?;
    fs::write(dir.join("run.json"), format!("{:#}\n", json(run)))?;
    let windows = run
        .score
        .windows
        .iter()
        .map(|w| serde_json::to_value(w).unwrap_or_default());
    write_json_lines(&dir.join("windows.jsonl"), windows)?;
    let class = |t: &ClientAttempt| run.scenario.classes[t.class].name.as_str();
    let client_attempts = run
        .ledger
        .client_attempts
        .iter()
        .enumerate()
        .map(|(id, t)| client_attempt_json(id, t, class(t)));
    write_json_lines(&dir.join("tries.jsonl"), client_attempts)?;
    write_json_lines(
        &dir.join("broken.jsonl"),
        run.broken.iter().map(violation_json),
    )?;
    let classes = run
        .score
        .classes
        .iter()
        .map(|group| (format!("latency-{}.hdr", group.name), group));
    let tenants = run
        .score
        .tenants
        .iter()
        .map(|group| (format!("latency-tenant-{}.hdr", group.name), group));
    for (name, group) in classes.chain(tenants) {
        let mut file = BufWriter::new(File::create(dir.join(name))?);
        V2Serializer::new()
            .serialize(group.histogram(), &mut file)
            .map_err(io::Error::other)?;
        file.flush()?;
    }
    fs::write(
        dir.join("report.html"),
        page::html(run).map_err(io::Error::other)?,
    )
}
