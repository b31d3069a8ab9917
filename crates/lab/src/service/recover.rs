//! Kills most instances of a fleet at once and restarts them under load; measures the time to full service, the duration of each
//! start phase, and the load on servers and surviving instances.

use std::collections::BTreeMap;
use std::io::{self, BufReader, Write as _};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use rand::Rng as _;
use rand::seq::SliceRandom as _;
use serde_json::Value;

use super::changes::{DecisionLog, find_version_regressions, read_message};
use super::fleet::{Fleet, FleetSettings};
use crate::random::{Purpose, stream};

/// Time that a server takes for a request.
const SERVICE_TIME: Duration = Duration::from_millis(4);
/// Servers of the tenant.
const SERVERS: usize = 8;
/// Clients per instance.
const CLIENTS_PER_INSTANCE: usize = 6;
/// Interval between two requests of a client.
const REQUEST_INTERVAL: Duration = Duration::from_millis(30);
/// Connect and read timeout of a client.
const CLIENT_TIMEOUT: Duration = Duration::from_secs(2);
/// Duration of the baseline before the kill; its first second is the warm-up.
const BASELINE_DURATION: Duration = Duration::from_secs(5);
/// Time limit for all killed instances to accept requests again.
const RECOVERY_TIMEOUT: Duration = Duration::from_secs(40);
/// Length of the windows in which connections and requests in flight are counted.
const WINDOW_MS: u64 = 100;
/// Ratio to the baseline rate that counts as full service.
const FULL_SERVICE_RATIO: f64 = 0.99;

/// Load on a server, by time window since the start of the run.
#[derive(Default)]
struct ServerWindows {
    in_flight: AtomicU64,
    /// New connections and the maximum of requests in flight, by window.
    windows: Mutex<BTreeMap<u64, (u64, u64)>>,
}

struct Observations {
    began: Instant,
    ledger: DecisionLog,
    servers: Vec<ServerWindows>,
    /// Served requests: milliseconds since the start of the run, and the instance.
    served: Mutex<Vec<(u64, usize)>>,
    rejected: AtomicU64,
    unanswered: AtomicU64,
    end: AtomicBool,
}

impl Observations {
    fn elapsed_ms(&self) -> u64 {
        self.began.elapsed().as_millis() as u64
    }

    fn record(&self, server: usize, connections: u64, in_flight: u64) {
        let mut windows = self.servers[server]
            .windows
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let window = windows.entry(self.elapsed_ms() / WINDOW_MS).or_default();
        window.0 += connections;
        window.1 = window.1.max(in_flight);
    }
}

fn start_server(observations: &Arc<Observations>, number: usize) -> io::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let address = listener.local_addr()?;
    let observations = observations.clone();
    thread::spawn(move || {
        for stream in listener.incoming().map_while(Result::ok) {
            observations.record(number, 1, 0);
            let observations = observations.clone();
            thread::spawn(move || {
                let _ = stream.set_nodelay(true); // failure only adds latency
                let mut stream = BufReader::new(stream);
                while let Ok((_, stamp)) = read_message(&mut stream) {
                    let in_flight = observations.servers[number]
                        .in_flight
                        .fetch_add(1, Ordering::Relaxed)
                        + 1;
                    observations.record(number, 0, in_flight);
                    stamp
                        .into_iter()
                        .for_each(|s| observations.ledger.record(&s, None));
                    thread::sleep(SERVICE_TIME);
                    observations.servers[number]
                        .in_flight
                        .fetch_sub(1, Ordering::Relaxed);
                    if stream
                        .get_mut()
                        .write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
                        .is_err()
                    {
                        return;
                    }
                }
            });
        }
    });
    Ok(address)
}

/// Sends requests to one instance and switches to a random instance after a failure or rejection, like clients behind a load
/// balancer.
fn run_client(observations: &Observations, fleet: &Mutex<Fleet>, mut instance: usize, seed: u64) {
    let mut rng = stream(seed, Purpose::Faults);
    let mut connection: Option<BufReader<TcpStream>> = None;
    while !observations.end.load(Ordering::Relaxed) {
        thread::sleep(REQUEST_INTERVAL);
        let ask =
            |connection: &mut Option<BufReader<TcpStream>>| -> io::Result<(u16, Option<String>)> {
                if connection.is_none() {
                    let public = fleet
                        .lock()
                        .unwrap_or_else(PoisonError::into_inner)
                        .public(instance);
                    let to = public.ok_or(io::ErrorKind::NotConnected)?;
                    let stream = TcpStream::connect_timeout(&to, CLIENT_TIMEOUT)?;
                    stream.set_read_timeout(Some(CLIENT_TIMEOUT))?;
                    stream.set_nodelay(true)?;
                    *connection = Some(BufReader::new(stream));
                }
                let Some(stream) = connection else {
                    return Err(io::ErrorKind::NotConnected.into());
                };
                stream
                    .get_mut()
                    .write_all(b"GET /lookup/1 HTTP/1.1\r\nHost: lab\r\nX-Tenant-Id: a\r\n\r\n")?;
                read_message(stream)
            };
        let failed = match ask(&mut connection) {
            Ok((200, stamp)) => {
                stamp
                    .into_iter()
                    .for_each(|s| observations.ledger.record(&s, Some(instance)));
                let served = (observations.elapsed_ms(), instance);
                observations
                    .served
                    .lock()
                    .unwrap_or_else(PoisonError::into_inner)
                    .push(served);
                false
            }
            Ok(_) => {
                observations.rejected.fetch_add(1, Ordering::Relaxed);
                true
            }
            Err(_) => {
                observations.unanswered.fetch_add(1, Ordering::Relaxed);
                true
            }
        };
        if failed {
            connection = None;
            let count = fleet.lock().unwrap_or_else(PoisonError::into_inner).count();
            instance = rng.random_range(0..count);
        }
    }
}

/// Options of a run.
pub struct RecoveryOptions<'a> {
    /// Command that accepts the arguments of `canvascart`.
    pub command: &'a [String],
    /// Number of instances.
    pub instances: usize,
    /// Percentage of instances to kill.
    pub killed: usize,
    /// Random seed.
    pub seed: u64,
    /// Directory for files.
    pub dir: &'a Path,
}

/// Results of a run.
#[derive(Debug, Default)]
pub struct RecoveryReport {
    /// Requests served per second before the kill.
    pub before: f64,
    /// Time from the kill until service stayed full, in s; `None` if it never did.
    pub full_s: Option<f64>,
    /// Duration of each start phase in ms: median and maximum over the killed instances.
    pub phases: BTreeMap<String, (u64, u64)>,
    /// Maximum of new connections per second at one server, before and after the kill.
    pub connections: (f64, f64),
    /// Maximum of requests in flight at one server, before and after the kill.
    pub in_flight: (u64, u64),
    /// Rate served by surviving instances until full service, as a ratio to their rate before the kill.
    pub survivors: f64,
    /// Rejected requests.
    pub rejected: u64,
    /// Requests without a response.
    pub unanswered: u64,
    /// Violations of the expected behaviour.
    pub violations: Vec<String>,
}

/// Runs one measurement.
///
/// # Errors
/// The fleet does not start, or does not recover.
pub fn recover(options: &RecoveryOptions) -> io::Result<RecoveryReport> {
    let observations = Arc::new(Observations {
        began: Instant::now(),
        ledger: DecisionLog::default(),
        servers: (0..SERVERS).map(|_| ServerWindows::default()).collect(),
        served: Mutex::default(),
        rejected: AtomicU64::new(0),
        unanswered: AtomicU64::new(0),
        end: AtomicBool::new(false),
    });
    let mut tenants = String::from(
        "[[tenant]]\nname = \"a\"\n[[tenant.class]]\nname = \"lookup\"\neffect = \"safe\"\naim = \"500 ms\"\ndeadline = \"2 s\"\n",
    );
    for n in 0..SERVERS {
        let address = start_server(&observations, n)?;
        tenants += &format!(
            "[[tenant.server]]\nname = \"s{n}\"\naddress = \"{address}\"\nsize = 16\nwarm = true\n"
        );
    }
    let settings = FleetSettings {
        cluster: "lease = \"3 s\"\ndeadline = \"10 s\"".into(),
        tenants,
        zones: 3,
    };
    let mut fleet = Fleet::new(options.command, options.instances, &settings, options.dir)?;
    (0..options.instances).try_for_each(|i| fleet.start(i))?;
    fleet.ready()?;
    let fleet = Mutex::new(fleet);
    let outcome = thread::scope(|threads| {
        for n in 0..options.instances * CLIENTS_PER_INSTANCE {
            let (observations, fleet) = (&observations, &fleet);
            let (instance, seed) = (n % options.instances, options.seed ^ (n as u64) << 8);
            threads.spawn(move || run_client(observations, fleet, instance, seed));
        }
        let outcome = kill_and_restart(options, &fleet, &observations);
        observations.end.store(true, Ordering::Relaxed);
        outcome
    });
    let (killed_at, killed, phases) = outcome?;
    let mut report = evaluate(&observations, killed_at, &killed);
    report.phases = phases;
    for (late, newer) in find_version_regressions(&observations.ledger.sorted())
        .into_iter()
        .take(8)
    {
        report.violations.push(format!("{late:?} after {newer:?}"));
    }
    Ok(report)
}

type Phases = BTreeMap<String, (u64, u64)>;

/// Kills and restarts instances; returns the time of the kill, the killed instances, and the durations of their start phases.
fn kill_and_restart(
    options: &RecoveryOptions,
    fleet: &Mutex<Fleet>,
    observations: &Observations,
) -> io::Result<(u64, Vec<usize>, Phases)> {
    let lock = || fleet.lock().unwrap_or_else(PoisonError::into_inner);
    thread::sleep(BASELINE_DURATION);
    let mut killed: Vec<usize> = (0..options.instances).collect();
    killed.shuffle(&mut stream(options.seed, Purpose::Faults));
    killed.truncate(options.instances * options.killed / 100);
    let killed_at = observations.elapsed_ms();
    killed.iter().for_each(|i| lock().kill(*i));
    for i in &killed {
        lock().start(*i)?;
    }
    let end = Instant::now() + RECOVERY_TIMEOUT;
    loop {
        thread::sleep(Duration::from_millis(200));
        let up = killed.iter().filter(|i| lock().is_up(**i)).count();
        if up == killed.len() {
            break;
        }
        if Instant::now() > end {
            return Err(io::Error::other(format!(
                "{} of {} killed instances did not recover in time",
                killed.len() - up,
                killed.len()
            )));
        }
    }
    thread::sleep(Duration::from_secs(6)); // long enough to verify that service stays full
    let mut durations: BTreeMap<String, Vec<u64>> = BTreeMap::new();
    for i in &killed {
        let mut connection = lock().admin_connection(*i)?;
        let recovery = connection.json("GET", "/v1/cluster/recovery", "", &Value::Null)?;
        for phase in recovery["start"]["took"].as_array().into_iter().flatten() {
            let (name, elapsed_ms) = (
                phase["phase"].as_str().unwrap_or_default(),
                phase["ms"].as_u64().unwrap_or(0),
            );
            durations
                .entry(name.to_owned())
                .or_default()
                .push(elapsed_ms);
        }
    }
    let median_and_max = |mut elapsed_ms: Vec<u64>| {
        elapsed_ms.sort_unstable();
        (
            elapsed_ms[elapsed_ms.len() / 2],
            elapsed_ms[elapsed_ms.len() - 1],
        )
    };
    Ok((
        killed_at,
        killed,
        durations
            .into_iter()
            .map(|(name, elapsed_ms)| (name, median_and_max(elapsed_ms)))
            .collect(),
    ))
}

fn evaluate(observations: &Observations, killed_at: u64, killed: &[usize]) -> RecoveryReport {
    let served = observations
        .served
        .lock()
        .unwrap_or_else(PoisonError::into_inner);
    let from = killed_at.saturating_sub(BASELINE_DURATION.as_millis() as u64 - 1000);
    let last = served
        .iter()
        .map(|(elapsed_ms, _)| *elapsed_ms)
        .max()
        .unwrap_or(killed_at);
    let span = (killed_at - from) as f64 / 1000.0;
    let before: Vec<&(u64, usize)> = served
        .iter()
        .filter(|(elapsed_ms, _)| (from..killed_at).contains(elapsed_ms))
        .collect();
    let rate = before.len() as f64 / span;
    // Finds the last window of 1 s, in steps of 100 ms, that is below 99 % of the baseline; service is full from the next on.
    let mut by_window: BTreeMap<u64, u64> = BTreeMap::new();
    served
        .iter()
        .for_each(|(elapsed_ms, _)| *by_window.entry(elapsed_ms / WINDOW_MS).or_default() += 1);
    let sum = |w: u64| (w..w + 10).filter_map(|w| by_window.get(&w)).sum::<u64>() as f64;
    let windows = killed_at / WINDOW_MS..(last / WINDOW_MS).saturating_sub(10);
    // The reference is the minimum window of the baseline, so that variation of the load is not counted as loss.
    let min_window = (from / WINDOW_MS..(killed_at / WINDOW_MS).saturating_sub(10))
        .map(sum)
        .fold(rate, f64::min);
    let full_window = windows
        .clone()
        .rev()
        .find(|w| sum(*w) < FULL_SERVICE_RATIO * min_window)
        .map_or(windows.start, |w| w + 1);
    let full_s = (full_window < windows.end)
        .then(|| (full_window * WINDOW_MS).saturating_sub(killed_at) as f64 / 1000.0);
    let until = full_s
        .map_or(last, |s| killed_at + (s * 1000.0) as u64)
        .max(killed_at + 100);
    let survives = |i: &usize| !killed.contains(i);
    let survivors_before = before.iter().filter(|(_, i)| survives(i)).count() as f64 / span;
    let survivors_during = served
        .iter()
        .filter(|(elapsed_ms, i)| (killed_at..until).contains(elapsed_ms) && survives(i))
        .count();
    let survivors_during = survivors_during as f64 / ((until - killed_at) as f64 / 1000.0);
    let (mut connections, mut in_flight) = ((0.0, 0.0), (0, 0));
    for server in &observations.servers {
        let windows = server
            .windows
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let connections_per_s = |w: u64| {
            (w..w + 10)
                .filter_map(|w| windows.get(&w))
                .map(|w| w.0)
                .sum::<u64>() as f64
        };
        for (w, (_, max_in_flight)) in windows.iter().filter(|(w, _)| **w >= from / WINDOW_MS) {
            if *w < killed_at / WINDOW_MS {
                connections.0 = f64::max(connections.0, connections_per_s(w.saturating_sub(9)));
                in_flight.0 = in_flight.0.max(*max_in_flight);
            } else {
                connections.1 = f64::max(connections.1, connections_per_s(*w));
                in_flight.1 = in_flight.1.max(*max_in_flight);
            }
        }
    }
    RecoveryReport {
        before: rate,
        full_s,
        connections,
        in_flight,
        survivors: survivors_during / survivors_before.max(1.0),
        rejected: observations.rejected.load(Ordering::Relaxed),
        unanswered: observations.unanswered.load(Ordering::Relaxed),
        ..RecoveryReport::default()
    }
}
