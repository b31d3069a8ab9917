//! Kills the hosted service during changes; after each restart its state must be one complete version that contains every
//! acknowledged change.

use std::io;
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use rand::Rng as _;
use serde_json::{Value, json};

use super::{HttpConnection, Service, ServiceFiles};
use crate::random::{Purpose, stream};

/// Maximum delay from the first change to the kill.
const MAX_KILL_DELAY: Duration = Duration::from_millis(30);

/// Results of the kills.
#[derive(Clone, Debug, Default)]
pub struct KillReport {
    /// Number of kills.
    pub kills: u64,
    /// Number of acknowledged changes.
    pub acknowledged: u64,
    /// Kills during a change, and the number of these changes that survived.
    pub in_progress: [u64; 2],
    /// Time from the start to the readiness of the API in ms, one value per restart.
    pub restarts_ms: Vec<f64>,
    /// Violations of the expected behaviour.
    pub violations: Vec<String>,
}

/// Returns a change of two tenants that sets the same limit for both.
fn change_body(n: u64) -> Value {
    let tenant = |name: &str| {
        json!({
            "name": name,
            "limits": { "in-flight": n },
            "class": [{ "name": "lookup", "effect": "safe", "aim": "300 ms", "deadline": "1 s" }],
        })
    };
    json!({ "tenant": [tenant("a"), tenant("b")] })
}

fn idempotency_header(n: u64) -> String {
    format!("Idempotency-Key: change-{n}\r\n")
}

/// Starts, changes and kills a service `kills` times. Calls `on_progress` with the completed fraction.
///
/// # Errors
/// The service does not start.
pub fn run(
    command: &[String],
    kills: u64,
    seed: u64,
    dir: &Path,
    mut on_progress: impl FnMut(f64),
) -> io::Result<KillReport> {
    let files = ServiceFiles::new(dir, "")?;
    let mut rng = stream(seed, Purpose::Faults);
    let mut report = KillReport::default();
    // The last acknowledged change, and whether the next one was sent.
    let (mut last, mut sent) = (0, false);
    for n in 0..=kills {
        let started = Instant::now();
        let mut service = Service::start(command, &files.config, 1, true)?;
        if n > 0 {
            report
                .restarts_ms
                .push(started.elapsed().as_secs_f64() * 1000.0);
        }
        let mut connection = service.admin_connection(&files)?;
        match check_state(&mut connection, last, sent) {
            Ok(found) => {
                if sent {
                    report.in_progress[0] += 1;
                    report.in_progress[1] += u64::from(found > last);
                    // A client without a response repeats the change: it must take effect exactly once.
                    connection.json(
                        "POST",
                        "/v1/apply",
                        &idempotency_header(last + 1),
                        &change_body(last + 1),
                    )?;
                    last += 1;
                }
                if let Err(violation) = check_state(&mut connection, last, false) {
                    report
                        .violations
                        .push(format!("kill {n}, after the repeated change: {violation}"));
                }
            }
            Err(violation) => {
                report.violations.push(format!("kill {n}: {violation}"));
                return Ok(report);
            }
        }
        on_progress(n as f64 / kills.max(1) as f64);
        if n == kills {
            break;
        }
        let kill_delay = MAX_KILL_DELAY.mul_f64(rng.random::<f64>());
        let stopping = AtomicBool::new(false);
        (last, sent) = thread::scope(|threads| {
            let changes = threads.spawn(|| {
                let mut acknowledged = last;
                while !stopping.load(Ordering::Relaxed) {
                    if connection
                        .json(
                            "POST",
                            "/v1/apply",
                            &idempotency_header(acknowledged + 1),
                            &change_body(acknowledged + 1),
                        )
                        .is_err()
                    {
                        return (acknowledged, true);
                    }
                    acknowledged += 1;
                }
                (acknowledged, false)
            });
            thread::sleep(kill_delay);
            service.kill();
            stopping.store(true, Ordering::Relaxed);
            changes.join().unwrap_or((last, true))
        });
        report.kills += 1;
    }
    report.acknowledged = last;
    Ok(report)
}

/// Returns the number of the change in the state; it must be equal for both tenants, and be the last acknowledged change or, if
/// one was sent, the next.
fn check_state(connection: &mut HttpConnection, last: u64, sent: bool) -> Result<u64, String> {
    let mut get = |target: &str| {
        connection
            .json("GET", target, "", &Value::Null)
            .map_err(|e| e.to_string())
    };
    let tenants = get("/v1/tenants")?;
    if tenants["items"].as_array().is_some_and(Vec::is_empty) {
        return if last == 0 {
            Ok(0)
        } else {
            Err(format!("the state is empty after change {last}"))
        };
    }
    let mut number = |tenant: &str| -> Result<u64, String> {
        let limits = get(&format!("/v1/tenants/{tenant}/limits"))?;
        limits["in-flight"]
            .as_u64()
            .ok_or_else(|| format!("{limits} has no in-flight limit"))
    };
    let (a, b) = (number("a")?, number("b")?);
    if a != b {
        return Err(format!("the state mixes changes {a} and {b}"));
    }
    if a < last || a > last + u64::from(sent) {
        return Err(format!(
            "the state has change {a} after {last} was acknowledged"
        ));
    }
    // The first start does not add a numbered version, so version numbers equal change numbers.
    let versions = get("/v1/versions?limit=1")?;
    let version = versions["items"][0]["number"].as_u64().unwrap_or(0);
    if version != a {
        return Err(format!(
            "version {version} has change {a}: a change was duplicated or lost"
        ));
    }
    Ok(a)
}
