//! Kills of the hosted service during changes: after each, one whole version is there, and none that was acknowledged is lost.

use std::io;
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use rand::Rng as _;
use serde_json::{Value, json};

use super::{Line, Place, Service};
use crate::random::{Purpose, stream};

/// A kill comes this long after the first change at most.
const LATEST: Duration = Duration::from_millis(30);

/// What came of the kills.
#[derive(Clone, Debug, Default)]
pub struct Kills {
    /// How many there were.
    pub kills: u64,
    /// Changes that were acknowledged.
    pub acknowledged: u64,
    /// Kills that came while a change was under way, and how many of these changes were there afterwards.
    pub under_way: [u64; 2],
    /// From the start to the API's readiness, in ms, one a restart.
    pub restarts_ms: Vec<f64>,
    /// What should not have been.
    pub broken: Vec<String>,
}

/// A change of two tenants at once, both to the same number.
fn change(n: u64) -> Value {
    let tenant = |name: &str| {
        json!({
            "name": name,
            "limits": { "in-flight": n },
            "class": [{ "name": "lookup", "effect": "safe", "aim": "300 ms", "deadline": "1 s" }],
        })
    };
    json!({ "tenant": [tenant("a"), tenant("b")] })
}

fn key(n: u64) -> String {
    format!("Idempotency-Key: change-{n}\r\n")
}

/// Starts, changes and kills a service so many times. `tick` is called with the share that has been played.
///
/// # Errors
/// A service can't be started.
pub fn play(
    command: &[String],
    kills: u64,
    seed: u64,
    dir: &Path,
    mut tick: impl FnMut(f64),
) -> io::Result<Kills> {
    let place = Place::new(dir, "")?;
    let mut rng = stream(seed, Purpose::Faults);
    let mut told = Kills::default();
    // The last change that was acknowledged, and whether the one after it was sent.
    let (mut last, mut sent) = (0, false);
    for n in 0..=kills {
        let began = Instant::now();
        let mut service = Service::start(command, &place.config, 1, true)?;
        if n > 0 {
            told.restarts_ms
                .push(began.elapsed().as_secs_f64() * 1000.0);
        }
        let mut line = service.line(&place)?;
        match look(&mut line, last, sent) {
            Ok(there) => {
                if sent {
                    told.under_way[0] += 1;
                    told.under_way[1] += u64::from(there > last);
                    // Who got no answer repeats the change: it is there once, whether it was there before or not.
                    line.json("POST", "/v1/apply", &key(last + 1), &change(last + 1))?;
                    last += 1;
                }
                if let Err(what) = look(&mut line, last, false) {
                    told.broken
                        .push(format!("kill {n}, after the repetition: {what}"));
                }
            }
            Err(what) => {
                told.broken.push(format!("kill {n}: {what}"));
                return Ok(told);
            }
        }
        tick(n as f64 / kills.max(1) as f64);
        if n == kills {
            break;
        }
        let wait = LATEST.mul_f64(rng.random::<f64>());
        let ending = AtomicBool::new(false);
        (last, sent) = thread::scope(|threads| {
            let changing = threads.spawn(|| {
                let mut at = last;
                while !ending.load(Ordering::Relaxed) {
                    if line
                        .json("POST", "/v1/apply", &key(at + 1), &change(at + 1))
                        .is_err()
                    {
                        return (at, true);
                    }
                    at += 1;
                }
                (at, false)
            });
            thread::sleep(wait);
            service.kill();
            ending.store(true, Ordering::Relaxed);
            changing.join().unwrap_or((last, true))
        });
        told.kills += 1;
    }
    told.acknowledged = last;
    Ok(told)
}

/// What number stands in a service: the same everywhere, and the last one that was acknowledged or the one after it.
fn look(line: &mut Line, last: u64, sent: bool) -> Result<u64, String> {
    let mut get = |target: &str| {
        line.json("GET", target, "", &Value::Null)
            .map_err(|e| e.to_string())
    };
    let tenants = get("/v1/tenants")?;
    if tenants["items"].as_array().is_some_and(Vec::is_empty) {
        return if last == 0 {
            Ok(0)
        } else {
            Err(format!("nothing is there after change {last}"))
        };
    }
    let mut number = |tenant: &str| -> Result<u64, String> {
        let limits = get(&format!("/v1/tenants/{tenant}/limits"))?;
        limits["in-flight"]
            .as_u64()
            .ok_or_else(|| format!("{limits} has no number"))
    };
    let (a, b) = (number("a")?, number("b")?);
    if a != b {
        return Err(format!("a mixed version: {a} beside {b}"));
    }
    if a < last || a > last + u64::from(sent) {
        return Err(format!("change {a} is there after {last} was acknowledged"));
    }
    // The first start is entry one and changes no document.
    let versions = get("/v1/versions?limit=1")?;
    let version = versions["items"][0]["number"].as_u64().unwrap_or(0);
    if version != a {
        return Err(format!(
            "version {version} holds change {a}: one was made twice, or is lost"
        ));
    }
    Ok(a)
}
