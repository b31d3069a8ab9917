//! Measures the latency of a change in a cluster, its effect on clients, and the messages of idle instances, compared with a
//! standalone process in the same run.

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

use super::changes::{
    ClientCounts, DecisionLog, RunOptions, change_body, find_version_regressions, run_client,
    start_fleet, start_server, tenant_tables,
};
use super::fleet::Fleet;
use super::{HttpConnection, Service, ServiceFiles, quantile};

/// Duration of the measurement of idle traffic.
const IDLE_DURATION: Duration = Duration::from_secs(4);

/// Condition of the fleet during a measurement.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FleetCondition {
    /// All instances run.
    AllUp,
    /// A third of the instances were killed.
    ThirdDown,
    /// One instance was stopped (SIGSTOP).
    OneStalled,
}

impl FleetCondition {
    /// All conditions.
    pub const ALL: [FleetCondition; 3] = [
        FleetCondition::AllUp,
        FleetCondition::ThirdDown,
        FleetCondition::OneStalled,
    ];

    /// Returns the name in reports.
    pub fn name(self) -> &'static str {
        match self {
            FleetCondition::AllUp => "all up",
            FleetCondition::ThirdDown => "a third down",
            FleetCondition::OneStalled => "one stalled",
        }
    }
}

/// Measurements of one fleet in one condition.
#[derive(Clone, Debug)]
pub struct Row {
    /// Label, such as `12 processes`.
    pub label: String,
    /// Condition of the fleet.
    pub condition: &'static str,
    /// Latency of the first change in ms, from the call to its response.
    pub first_ms: f64,
    /// Latencies of the later changes in ms, in order.
    pub latencies_ms: Vec<f64>,
    /// Requests sent to the running instances: served, and rejected or without a response.
    pub requests: [u64; 2],
    /// Messages and bytes per second that an idle instance sends, if measured.
    pub idle: Option<[f64; 2]>,
    /// Violations of the expected behaviour.
    pub violations: Vec<String>,
}

impl Row {
    /// Returns a quantile of the latencies of the later changes in ms.
    pub fn latency_ms(&self, q: f64) -> f64 {
        quantile(&self.latencies_ms, q)
    }

    fn from_times(label: String, condition: &'static str, times: &[f64]) -> Self {
        let (first, rest) = times
            .split_first()
            .map_or((f64::NAN, &[][..]), |(f, r)| (*f, r));
        Row {
            label,
            condition,
            first_ms: first,
            latencies_ms: rest.to_vec(),
            requests: [0; 2],
            idle: None,
            violations: Vec::new(),
        }
    }
}

fn time_change(
    connection: &mut HttpConnection,
    server: std::net::SocketAddr,
    n: u64,
) -> io::Result<f64> {
    let began = Instant::now();
    let (status, text) = connection.call("POST", "/v1/apply", "", &change_body(server, n))?;
    if status == 200 {
        return Ok(began.elapsed().as_secs_f64() * 1000.0);
    }
    Err(io::Error::other(format!(
        "change {n}: status {status}: {}",
        String::from_utf8_lossy(&text)
    )))
}

/// Measures a standalone process.
///
/// # Errors
/// The process does not start, or rejects a change.
pub fn measure_single(command: &[String], changes: u64, dir: &Path) -> io::Result<Row> {
    let server = start_server(&DecisionLog::default())?;
    let files = ServiceFiles::new(dir, &tenant_tables(server))?;
    let service = Service::start(command, &files.config, 1, true)?;
    let mut connection = service.admin_connection(&files)?;
    let times = (1..=changes)
        .map(|n| time_change(&mut connection, server, n))
        .collect::<io::Result<Vec<f64>>>()?;
    Ok(Row::from_times(
        "one process, without [cluster]".into(),
        "up",
        &times,
    ))
}

/// Returns the numbers of messages and bytes that an instance has sent.
fn sent_traffic(fleet: &Fleet, i: usize) -> io::Result<[f64; 2]> {
    let status: Value = fleet.status(i)?;
    let counter = |n: usize| status["here"]["messages"][n].as_f64().unwrap_or(0.0);
    Ok([counter(0), counter(1)])
}

/// Measures a fleet of processes in one condition.
///
/// # Errors
/// The fleet does not start, or a change fails.
pub fn measure_processes(options: &RunOptions, condition: FleetCondition) -> io::Result<Row> {
    let ledger = DecisionLog::default();
    let server = start_server(&ledger)?;
    let mut fleet = start_fleet(options, server)?;
    let idle = if condition == FleetCondition::AllUp {
        let before = (0..fleet.count())
            .map(|i| sent_traffic(&fleet, i))
            .collect::<io::Result<Vec<_>>>()?;
        thread::sleep(IDLE_DURATION);
        let after = (0..fleet.count())
            .map(|i| sent_traffic(&fleet, i))
            .collect::<io::Result<Vec<_>>>()?;
        let count = fleet.count() as f64 * IDLE_DURATION.as_secs_f64();
        let mean_rate = |n: usize| {
            after
                .iter()
                .zip(&before)
                .map(|(a, b)| a[n] - b[n])
                .sum::<f64>()
                / count
        };
        Some([mean_rate(0), mean_rate(1)])
    } else {
        None
    };
    let leader = fleet
        .leader()
        .ok_or_else(|| io::Error::other("there is no leader"))?;
    let others: Vec<usize> = (0..fleet.count()).filter(|i| *i != leader).collect();
    match condition {
        FleetCondition::AllUp => {}
        FleetCondition::ThirdDown => others[..fleet.count() / 3]
            .iter()
            .for_each(|i| fleet.kill(*i)),
        FleetCondition::OneStalled => fleet.pause(others[0], true),
    }
    let stalled = (condition == FleetCondition::OneStalled).then_some(others[0]);
    let running: Vec<usize> = (0..fleet.count())
        .filter(|i| fleet.is_running(*i) && Some(*i) != stalled)
        .collect();
    let mut connection = fleet.admin_connection(leader)?;
    let fleet = Mutex::new(fleet);
    let end = AtomicBool::new(false);
    let (times, counts) = thread::scope(|threads| {
        let (fleet, ledger, end) = (&fleet, &ledger, &end);
        let clients: Vec<_> = running
            .iter()
            .map(|i| threads.spawn(move || run_client(fleet, *i, ledger, end)))
            .collect();
        let times = (1..=options.changes)
            .map(|n| time_change(&mut connection, server, n))
            .collect::<io::Result<Vec<f64>>>();
        end.store(true, Ordering::Relaxed);
        let counts: Vec<ClientCounts> = clients.into_iter().filter_map(|c| c.join().ok()).collect();
        (times, counts)
    });
    let mut row = Row::from_times(
        format!("{} processes", options.instances),
        condition.name(),
        &times?,
    );
    row.requests = [
        counts.iter().map(|s| s.served).sum(),
        counts.iter().map(|s| s.rejected + s.unanswered).sum(),
    ];
    row.idle = idle;
    row.violations = find_version_regressions(&ledger.sorted())
        .iter()
        .take(4)
        .map(|b| format!("{b:?}"))
        .collect();
    Ok(row)
}

/// Measures a simulated cluster in virtual time, without services.
///
/// # Errors
/// A change does not complete.
pub fn measure_in_virtual_time(
    instances: usize,
    condition: FleetCondition,
    changes: u64,
    rules: &Rules,
    seed: u64,
) -> Result<Row, String> {
    let second = 1_000_000;
    let mut sim = Simulation::new(instances, 3, rules, Environment::default(), seed);
    let all_permitted = |s: &Simulation| (0..s.count()).all(|i| s.permitted_version(i).is_some());
    let end = sim.now + 120 * second;
    if !sim.run_until(end, all_permitted) {
        return Err("not all instances have permission to decide".into());
    }
    sim.run(10 * second);
    let before = sim.traffic;
    sim.run(10 * second);
    let instance_seconds = 10.0 * instances as f64;
    let idle = [
        (sim.traffic.messages - before.messages) as f64 / instance_seconds,
        (sim.traffic.bytes - before.bytes) as f64 / instance_seconds,
    ];
    let leader = sim.leader().ok_or("there is no leader")?;
    let others: Vec<usize> = (0..instances).filter(|i| *i != leader).collect();
    match condition {
        FleetCondition::AllUp => {}
        // Kills the last members that joined: the first members are the voters, and without a majority of them no change commits.
        FleetCondition::ThirdDown => others
            .iter()
            .rev()
            .take(instances / 3)
            .for_each(|i| sim.kill(*i)),
        FleetCondition::OneStalled => sim.pause(others[0], true),
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
    let mut row = Row::from_times(
        format!("{instances} in virtual time"),
        condition.name(),
        &times,
    );
    row.idle = Some(idle);
    row.violations = sim.violations().iter().map(|b| format!("{b:?}")).collect();
    Ok(row)
}
