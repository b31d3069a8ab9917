//! What is left of a run: a table for the terminal, and a folder with the figures, the evidence and a page that opens
//! alone.
//!
//! | file | what stands in it |
//! | --- | --- |
//! | `run.json` | scenario, seed, service, broken rules |
//! | `windows.jsonl` | a line a window of time |
//! | `tries.jsonl` | a line a try with its attempts |
//! | `broken.jsonl` | a line a broken rule |
//! | `latency-CLASS.hdr`, `latency-tenant-TENANT.hdr` | latencies in µs, HdrHistogram's V2 form |
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

/// The run as a table of text.
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
    let parts = [&run.score.whole]
        .into_iter()
        .chain(&run.score.classes)
        .chain(&run.score.tenants);
    for GroupScore {
        name,
        asked,
        served,
        in_time,
        share,
        latency_ms: [a, b, c, d],
        ..
    } in parts
    {
        let _ = writeln!(
            text,
            "{name:<14} {asked:>8} {served:>8} {in_time:>8} {share:>7.3} {a:>9.1} {b:>9.1} {c:>9.1} {d:>9.1}"
        );
    }
    let s = &run.score;
    let _ = writeln!(
        text,
        "{:.2} tries and {:.2} attempts an ask, {:.1} % of the tries refused",
        s.tries,
        s.attempts,
        100.0 * s.refused
    );
    let _ = write!(text, "{}", verdict(&run.broken));
    text
}

/// The rules in words: the first broken ones with their evidence.
pub fn verdict(broken: &[Violation]) -> String {
    const SHOWN: usize = 5;
    if broken.is_empty() {
        return "all rules kept\n".into();
    }
    let mut text = format!("{} broken rules\n", broken.len());
    broken.iter().take(SHOWN).for_each(|b| {
        let _ = writeln!(text, "  {b}");
    });
    if broken.len() > SHOWN {
        let _ = writeln!(text, "  and {} more", broken.len() - SHOWN);
    }
    text
}

/// The run as JSON: what one seed fixes, and nothing that is measured.
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
        "broken": run.broken.iter().map(broken_json).collect::<Vec<_>>(),
    })
}

fn broken_json(b: &Violation) -> serde_json::Value {
    json!({
        "rule": format!("{:?}", b.rule),
        "at_ms": b.at,
        "request": b.request,
        "server": b.server,
        "evidence": b.evidence,
    })
}

fn try_json(id: usize, t: &ClientAttempt, class: &str) -> serde_json::Value {
    let answer = |(at, code): &(f64, ResponseKind)| {
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
        "ask": t.request,
        "try": t.number,
        "class": class,
        "proxy": t.proxy,
        "intended_ms": t.intended,
        "sent_ms": t.sent,
        "due_ms": t.timeout_at,
        "taken_ms": t.accepted_at,
        "left_ms": t.disconnected_at,
        "answers": t.responses.iter().map(answer).collect::<Vec<_>>(),
        "attempts": t.attempts.iter().map(attempt).collect::<Vec<_>>(),
    })
}

fn lines(path: &Path, values: impl Iterator<Item = serde_json::Value>) -> io::Result<()> {
    let mut out = BufWriter::new(File::create(path)?);
    for value in values {
        serde_json::to_writer(&mut out, &value)?;
        out.write_all(b"\n")?;
    }
    out.flush()
}

/// Writes the folder of a run, which is made if it is not there.
///
/// # Errors
/// What the file system says.
pub fn write(dir: &Path, run: &Run) -> io::Result<()> {
    fs::create_dir_all(dir)?;
    fs::write(dir.join("run.json"), format!("{:#}\n", json(run)))?;
    let windows = run
        .score
        .windows
        .iter()
        .map(|w| serde_json::to_value(w).unwrap_or_default());
    lines(&dir.join("windows.jsonl"), windows)?;
    let class = |t: &ClientAttempt| run.scenario.classes[t.class].name.as_str();
    let tries = run
        .ledger
        .client_attempts
        .iter()
        .enumerate()
        .map(|(id, t)| try_json(id, t, class(t)));
    lines(&dir.join("tries.jsonl"), tries)?;
    lines(
        &dir.join("broken.jsonl"),
        run.broken.iter().map(broken_json),
    )?;
    let classes = run
        .score
        .classes
        .iter()
        .map(|part| (format!("latency-{}.hdr", part.name), part));
    let tenants = run
        .score
        .tenants
        .iter()
        .map(|part| (format!("latency-tenant-{}.hdr", part.name), part));
    for (name, part) in classes.chain(tenants) {
        let mut file = BufWriter::new(File::create(dir.join(name))?);
        V2Serializer::new()
            .serialize(part.histogram(), &mut file)
            .map_err(io::Error::other)?;
        file.flush()?;
    }
    fs::write(
        dir.join("report.html"),
        page::html(run).map_err(io::Error::other)?,
    )
}
