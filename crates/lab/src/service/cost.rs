//! What a request costs an instance of a cluster, beside a process without others: latency and processor time, in turn in one run.

use std::io;
use std::path::Path;
use std::thread;
use std::time::{Duration, Instant};

use super::changes::{Ledger, Planted, Play, begin, server, tables};
use super::{Line, Place, Service, quantile};

/// Connections that ask one request after the other.
const CONNECTIONS: usize = 4;
/// How long one is asked, in one round.
const SPAN: Duration = Duration::from_secs(2);

/// What was measured of one way.
#[derive(Clone, Debug)]
pub struct Cost {
    /// Which.
    pub what: &'static str,
    /// Latencies in us, of all rounds.
    pub us: Vec<f64>,
    /// Processor time a request in us, of each round.
    pub cpu_us: Vec<f64>,
}

impl Cost {
    /// A quantile of the latency in us.
    pub fn at(&self, q: f64) -> f64 {
        quantile(&self.us, q)
    }

    /// The mean processor time in us, and how far rounds lie from it (standard deviation).
    pub fn cpu(&self) -> (f64, f64) {
        let n = self.cpu_us.len() as f64;
        let mean = self.cpu_us.iter().sum::<f64>() / n;
        let variance =
            self.cpu_us.iter().map(|x| (x - mean).powi(2)).sum::<f64>() / (n - 1.0).max(1.0);
        (mean, variance.sqrt())
    }
}

/// A process's time on processors, in us; the system counts it in hundredths of a second.
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

fn ask(to: std::net::SocketAddr, end: Instant) -> io::Result<Vec<f64>> {
    let mut line = Line::new(to, "X-Tenant-Id: a\r\n");
    let mut us = Vec::new();
    while Instant::now() < end {
        let began = Instant::now();
        let (status, _) = line.call("GET", "/lookup/1", "", "")?;
        if status != 200 {
            return Err(io::Error::other(format!("a request got {status}")));
        }
        us.push(began.elapsed().as_secs_f64() * 1e6);
    }
    Ok(us)
}

fn round(to: std::net::SocketAddr, id: u32, cost: &mut Cost) -> io::Result<()> {
    let (before, end) = (cpu_us(id)?, Instant::now() + SPAN);
    let asked: Vec<io::Result<Vec<f64>>> = thread::scope(|threads| {
        let all: Vec<_> = (0..CONNECTIONS)
            .map(|_| threads.spawn(move || ask(to, end)))
            .collect();
        all.into_iter().filter_map(|t| t.join().ok()).collect()
    });
    let us = asked.into_iter().collect::<io::Result<Vec<_>>>()?.concat();
    cost.cpu_us
        .push((cpu_us(id)? - before) / us.len().max(1) as f64);
    cost.us.extend(us);
    Ok(())
}

/// Measures so many rounds of each way, one after the other.
///
/// # Errors
/// A process does not come up, or refuses a request.
pub fn cost(command: &[String], rounds: usize, dir: &Path) -> io::Result<Vec<Cost>> {
    let at = server(&Ledger::default())?;
    let place = Place::new(&dir.join("alone"), &tables(at))?;
    let alone = Service::start(command, &place.config, 1, true)?;
    let fleet = |instances: usize| {
        let dir = dir.join(format!("{instances}"));
        let play = Play {
            command,
            instances,
            changes: 0,
            cluster: "stamps = false",
            seed: 1,
            dir: &dir,
            planted: Planted::Nothing,
        };
        begin(&play, at)
    };
    let (one, three) = (fleet(1)?, fleet(3)?);
    let lost = || io::Error::other("an instance does not run");
    let mut ways = Vec::new();
    ways.push(("without [cluster]", alone.listener("public")?, alone.id()));
    for (what, fleet) in [("one instance", &one), ("one of three", &three)] {
        ways.push((
            what,
            fleet.public(0).ok_or_else(lost)?,
            fleet.id(0).ok_or_else(lost)?,
        ));
    }
    let mut costs: Vec<Cost> = ways
        .iter()
        .map(|(what, ..)| Cost {
            what,
            us: Vec::new(),
            cpu_us: Vec::new(),
        })
        .collect();
    for n in 0..=rounds {
        for ((_, to, id), cost) in ways.iter().zip(&mut costs) {
            round(*to, *id, cost)?;
            if n == 0 {
                (cost.us, cost.cpu_us) = Default::default(); // the first round warms up
            }
        }
    }
    Ok(costs)
}
