//! Compares the cost of a request, as latency and processor time, in a cluster instance and in a standalone process; the
//! targets alternate within one run.

use std::io;
use std::path::Path;
use std::thread;
use std::time::{Duration, Instant};

use super::changes::{
    DecisionLog, InjectedFault, RunOptions, start_fleet, start_server, tenant_tables,
};
use super::{HttpConnection, Service, ServiceFiles, quantile};

/// Connections, each of which sends requests in sequence.
const CONNECTIONS: usize = 4;
/// Duration of the requests to one target in a round.
const ROUND_DURATION: Duration = Duration::from_secs(2);

/// Measurements of one target.
#[derive(Clone, Debug)]
pub struct Cost {
    /// Name of the target.
    pub label: &'static str,
    /// Latencies of all rounds in us.
    pub latencies_us: Vec<f64>,
    /// Processor time per request in us, one value per round.
    pub cpu_us: Vec<f64>,
}

impl Cost {
    /// Returns a quantile of the latency in us.
    pub fn latency_us(&self, q: f64) -> f64 {
        quantile(&self.latencies_us, q)
    }

    /// Returns the mean processor time in us and the standard deviation over the rounds.
    pub fn mean_cpu_us(&self) -> (f64, f64) {
        let n = self.cpu_us.len() as f64;
        let mean = self.cpu_us.iter().sum::<f64>() / n;
        let variance =
            self.cpu_us.iter().map(|x| (x - mean).powi(2)).sum::<f64>() / (n - 1.0).max(1.0);
        (mean, variance.sqrt())
    }
}

/// Returns the processor time of a process in us; the system counts it in hundredths of a second.
fn cpu_us(id: u32) -> io::Result<f64> {
    let stat = std::fs::read_to_string(format!("/proc/{id}/stat"))?;
    let fields = stat
        .rsplit_once(") ")
        .ok_or(io::ErrorKind::InvalidData)?
        .1
        .split(' ');
    let ticks: f64 = fields
        .skip(11)
        .take(2)
        .filter_map(|f| f.parse::<f64>().ok())
        .sum();
    Ok(ticks * 10_000.0)
}

fn send_requests(address: std::net::SocketAddr, end: Instant) -> io::Result<Vec<f64>> {
    let mut connection = HttpConnection::new(address, "X-Tenant-Id: a\r\n");
    let mut latencies_us = Vec::new();
    while Instant::now() < end {
        let began = Instant::now();
        let (status, _) = connection.call("GET", "/lookup/1", "", "")?;
        if status != 200 {
            return Err(io::Error::other(format!("a request got status {status}")));
        }
        latencies_us.push(began.elapsed().as_secs_f64() * 1e6);
    }
    Ok(latencies_us)
}

fn run_round(address: std::net::SocketAddr, id: u32, cost: &mut Cost) -> io::Result<()> {
    let (before, end) = (cpu_us(id)?, Instant::now() + ROUND_DURATION);
    let results: Vec<io::Result<Vec<f64>>> = thread::scope(|threads| {
        let all: Vec<_> = (0..CONNECTIONS)
            .map(|_| threads.spawn(move || send_requests(address, end)))
            .collect();
        all.into_iter().filter_map(|t| t.join().ok()).collect()
    });
    let latencies_us = results
        .into_iter()
        .collect::<io::Result<Vec<_>>>()?
        .concat();
    cost.cpu_us
        .push((cpu_us(id)? - before) / latencies_us.len().max(1) as f64);
    cost.latencies_us.extend(latencies_us);
    Ok(())
}

/// Measures this number of rounds of each target, alternating between targets.
///
/// # Errors
/// A process does not start, or rejects a request.
pub fn measure(command: &[String], rounds: usize, dir: &Path) -> io::Result<Vec<Cost>> {
    let server_address = start_server(&DecisionLog::default())?;
    let files = ServiceFiles::new(&dir.join("alone"), &tenant_tables(server_address))?;
    let alone = Service::start(command, &files.config, 1, true)?;
    let fleet = |instances: usize| {
        let dir = dir.join(format!("{instances}"));
        let options = RunOptions {
            command,
            instances,
            changes: 0,
            cluster: "stamps = false",
            seed: 1,
            dir: &dir,
            injected_fault: InjectedFault::None,
        };
        start_fleet(&options, server_address)
    };
    let (one, three) = (fleet(1)?, fleet(3)?);
    let not_running = || io::Error::other("an instance is not running");
    let mut targets = Vec::new();
    targets.push(("without [cluster]", alone.listener("public")?, alone.id()));
    for (label, fleet) in [("one instance", &one), ("one of three", &three)] {
        targets.push((
            label,
            fleet.public(0).ok_or_else(not_running)?,
            fleet.process_id(0).ok_or_else(not_running)?,
        ));
    }
    let mut costs: Vec<Cost> = targets
        .iter()
        .map(|(label, ..)| Cost {
            label,
            latencies_us: Vec::new(),
            cpu_us: Vec::new(),
        })
        .collect();
    for n in 0..=rounds {
        for ((_, address, id), cost) in targets.iter().zip(&mut costs) {
            run_round(*address, *id, cost)?;
            if n == 0 {
                (cost.latencies_us, cost.cpu_us) = Default::default(); // the first round is the warm-up
            }
        }
    }
    Ok(costs)
}
