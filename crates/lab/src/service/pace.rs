//! How long a change takes among many instances, what it costs their clients, and what an idle instance says to the others; beside
//! one process without others, in the same run.

use std::io;
use std::path::Path;
use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use cluster::rules::Rules;
use cluster::simulation::{Completion, Environment, Simulation};
use cluster::state_machine::Outcome;
use serde_json::Value;

use super::changes::{Ledger, Play, Seen, begin, body, client, judge, server, tables};
use super::fleet::Fleet;
use super::{Line, Place, Service, quantile};

/// How long instances are left alone to see what they say.
const IDLE: Duration = Duration::from_secs(4);

/// In what state the fleet is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fare {
    /// All are up.
    Up,
    /// A third were killed.
    ThirdDown,
    /// One was stopped.
    OneStill,
}

impl Fare {
    /// All of them.
    pub const ALL: [Fare; 3] = [Fare::Up, Fare::ThirdDown, Fare::OneStill];

    /// What it is called.
    pub fn name(self) -> &'static str {
        match self {
            Fare::Up => "all up",
            Fare::ThirdDown => "a third down",
            Fare::OneStill => "one stalled",
        }
    }
}

/// What was measured.
#[derive(Clone, Debug)]
pub struct Row {
    /// What, such as `12 processes`.
    pub what: String,
    /// In what state.
    pub fare: &'static str,
    /// From the call to its answer, in ms: the first change, and those after it, in order.
    pub first_ms: f64,
    /// As above.
    pub ms: Vec<f64>,
    /// Requests of clients of instances that run: served, and refused or not answered.
    pub requests: [u64; 2],
    /// Messages and bytes a second that an idle instance sends, where that was measured.
    pub idle: Option<[f64; 2]>,
    /// What should not have been.
    pub broken: Vec<String>,
}

impl Row {
    /// A quantile of the later changes.
    pub fn at(&self, q: f64) -> f64 {
        quantile(&self.ms, q)
    }

    fn of(what: String, fare: &'static str, times: &[f64]) -> Self {
        let (first, rest) = times
            .split_first()
            .map_or((f64::NAN, &[][..]), |(f, r)| (*f, r));
        Row {
            what,
            fare,
            first_ms: first,
            ms: rest.to_vec(),
            requests: [0; 2],
            idle: None,
            broken: Vec::new(),
        }
    }
}

fn timed(line: &mut Line, server: std::net::SocketAddr, n: u64) -> io::Result<f64> {
    let began = Instant::now();
    let (status, said) = line.call("POST", "/v1/apply", "", &body(server, n))?;
    if status == 200 {
        return Ok(began.elapsed().as_secs_f64() * 1000.0);
    }
    Err(io::Error::other(format!(
        "change {n}: {status}: {}",
        String::from_utf8_lossy(&said)
    )))
}

/// One process without others.
///
/// # Errors
/// It does not come up, or turns a change down.
pub fn single(command: &[String], changes: u64, dir: &Path) -> io::Result<Row> {
    let server = server(&Ledger::default())?;
    let place = Place::new(dir, &tables(server))?;
    let service = Service::start(command, &place.config, 1, true)?;
    let mut line = service.line(&place)?;
    let times = (1..=changes)
        .map(|n| timed(&mut line, server, n))
        .collect::<io::Result<Vec<f64>>>()?;
    Ok(Row::of(
        "one process, without [cluster]".into(),
        "up",
        &times,
    ))
}

/// Messages and bytes that an instance has sent.
fn sent(fleet: &Fleet, i: usize) -> io::Result<[f64; 2]> {
    let status: Value = fleet.status(i)?;
    let at = |n: usize| status["here"]["messages"][n].as_f64().unwrap_or(0.0);
    Ok([at(0), at(1)])
}

/// So many instances in one state.
///
/// # Errors
/// They do not come up, or a change can't be made.
pub fn among(play: &Play, fare: Fare) -> io::Result<Row> {
    let ledger = Ledger::default();
    let server = server(&ledger)?;
    let mut fleet = begin(play, server)?;
    let idle = if fare == Fare::Up {
        let before = (0..fleet.count())
            .map(|i| sent(&fleet, i))
            .collect::<io::Result<Vec<_>>>()?;
        thread::sleep(IDLE);
        let after = (0..fleet.count())
            .map(|i| sent(&fleet, i))
            .collect::<io::Result<Vec<_>>>()?;
        let count = fleet.count() as f64 * IDLE.as_secs_f64();
        let sum = |n: usize| {
            after
                .iter()
                .zip(&before)
                .map(|(a, b)| a[n] - b[n])
                .sum::<f64>()
                / count
        };
        Some([sum(0), sum(1)])
    } else {
        None
    };
    let leader = fleet
        .leader()
        .ok_or_else(|| io::Error::other("nobody leads"))?;
    let others: Vec<usize> = (0..fleet.count()).filter(|i| *i != leader).collect();
    match fare {
        Fare::Up => {}
        Fare::ThirdDown => others[..fleet.count() / 3]
            .iter()
            .for_each(|i| fleet.kill(*i)),
        Fare::OneStill => fleet.pause(others[0], true),
    }
    let still = (fare == Fare::OneStill).then_some(others[0]);
    let running: Vec<usize> = (0..fleet.count())
        .filter(|i| fleet.runs(*i) && Some(*i) != still)
        .collect();
    let mut line = fleet.line(leader)?;
    let fleet = Mutex::new(fleet);
    let end = AtomicBool::new(false);
    let (times, seen) = thread::scope(|threads| {
        let (fleet, ledger, end) = (&fleet, &ledger, &end);
        let clients: Vec<_> = running
            .iter()
            .map(|i| threads.spawn(move || client(fleet, *i, ledger, end)))
            .collect();
        let times = (1..=play.changes)
            .map(|n| timed(&mut line, server, n))
            .collect::<io::Result<Vec<f64>>>();
        end.store(true, Ordering::Relaxed);
        let seen: Vec<Seen> = clients.into_iter().filter_map(|c| c.join().ok()).collect();
        (times, seen)
    });
    let mut row = Row::of(
        format!("{} processes", play.instances),
        fare.name(),
        &times?,
    );
    row.requests = [
        seen.iter().map(|s| s.served).sum(),
        seen.iter().map(|s| s.refused + s.unanswered).sum(),
    ];
    row.idle = idle;
    row.broken = judge(&ledger.sorted())
        .iter()
        .take(4)
        .map(|b| format!("{b:?}"))
        .collect();
    Ok(row)
}

/// The same in virtual time: no service, only the cluster's part of each instance.
///
/// # Errors
/// A change does not end.
pub fn in_virtual_time(
    instances: usize,
    fare: Fare,
    changes: u64,
    rules: &Rules,
    seed: u64,
) -> Result<Row, String> {
    let second = 1_000_000;
    let mut sim = Simulation::new(instances, 3, rules, Environment::default(), seed);
    let all = |s: &Simulation| (0..s.count()).all(|i| s.permitted_version(i).is_some());
    let end = sim.now + 120 * second;
    if !sim.run_until(end, all) {
        return Err("not all may decide".into());
    }
    sim.run(10 * second);
    let before = sim.traffic;
    sim.run(10 * second);
    let each = 10.0 * instances as f64;
    let idle = [
        (sim.traffic.messages - before.messages) as f64 / each,
        (sim.traffic.bytes - before.bytes) as f64 / each,
    ];
    let leader = sim.leader().ok_or("nobody leads")?;
    let others: Vec<usize> = (0..instances).filter(|i| *i != leader).collect();
    match fare {
        Fare::Up => {}
        // The last that joined: those who vote were the first, and without most of them nothing changes.
        Fare::ThirdDown => others
            .iter()
            .rev()
            .take(instances / 3)
            .for_each(|i| sim.kill(*i)),
        Fare::OneStill => sim.pause(others[0], true),
    }
    let mut times = Vec::new();
    for n in 0..changes {
        let id = format!("c{n}");
        let end = sim.now + 120 * second;
        while sim.propose_change(&id).is_err() && sim.now < end {
            sim.run(10_000);
        }
        sim.run_until(end, |s| {
            s.changes().get(&id).is_some_and(|p| p.completion.is_some())
        });
        match sim
            .changes()
            .get(&id)
            .and_then(|p| Some((p.proposed_at, p.completion.clone()?)))
        {
            Some((
                proposed_at,
                Completion {
                    at,
                    outcome: Outcome::Activated(_),
                },
            )) => times.push((at - proposed_at) as f64 / 1000.0),
            other => return Err(format!("{id}: {other:?}")),
        }
        sim.run(second);
    }
    let mut row = Row::of(format!("{instances} in virtual time"), fare.name(), &times);
    row.idle = Some(idle);
    row.broken = sim.violations().iter().map(|b| format!("{b:?}")).collect();
    Ok(row)
}
