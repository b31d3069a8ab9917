//! Policy changes in a cluster of processes under faults: records which instance decided requests under which version, and the
//! outcome of each change.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::io::{self, BufRead as _, BufReader, Read as _, Write as _};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError, mpsc};
use std::thread;
use std::time::{Duration, Instant};

use rand::Rng as _;
use rustix::time::{ClockId, clock_gettime};
use serde_json::{Value, json};

use super::fleet::{Fleet, FleetSettings};
use crate::net::Mode;
use crate::random::{Purpose, stream};

/// Interval between two requests of a client.
const REQUEST_INTERVAL: Duration = Duration::from_millis(4);
/// Connect and read timeout of a client.
const CLIENT_TIMEOUT: Duration = Duration::from_secs(3);
/// Voting instances, unless the settings name another number.
const DEFAULT_VOTERS: usize = 3;
/// Time limit for all instances to show the same versions.
const HISTORY_TIMEOUT: Duration = Duration::from_secs(60);

/// A routing decision: its time on the machine's boot clock in us, the version, and the instance that made it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Decision {
    /// Time on the boot clock in us.
    pub at: u64,
    /// The policy version that the decision used.
    pub version: u64,
    /// The instance, if known.
    pub by: Option<usize>,
}

/// Returns the machine's boot clock in us, which also stamps the decisions.
pub fn boot_clock_us() -> u64 {
    let time = clock_gettime(ClockId::Boottime);
    time.tv_sec as u64 * 1_000_000 + time.tv_nsec as u64 / 1000
}

/// Records the decisions that clients and servers observed.
#[derive(Clone, Debug, Default)]
pub struct DecisionLog(Arc<Mutex<Vec<Decision>>>);

impl DecisionLog {
    pub(super) fn record(&self, stamp: &str, by: Option<usize>) {
        let mut parts = stamp.split_whitespace().map(str::parse);
        if let (Some(Ok(version)), Some(Ok(at))) = (parts.next(), parts.next()) {
            self.0
                .lock()
                .unwrap_or_else(PoisonError::into_inner)
                .push(Decision { at, version, by });
        }
    }

    /// Returns the observed decisions in order of time.
    pub fn sorted(&self) -> Vec<Decision> {
        let mut all = self
            .0
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone();
        all.sort_unstable();
        all
    }
}

/// Finds decisions made under an older version after a decision under a newer one, each paired with the newer one.
pub fn find_version_regressions(decisions: &[Decision]) -> Vec<(Decision, Decision)> {
    let mut newest: Option<Decision> = None;
    let mut violations = Vec::new();
    for decision in decisions {
        match newest {
            Some(n) if decision.version < n.version && decision.at > n.at => {
                violations.push((*decision, n))
            }
            Some(n) if decision.version <= n.version => {}
            _ => newest = Some(*decision),
        }
    }
    violations
}

/// Reads a message and discards its body; returns the status and the value of the decision stamp header.
pub(super) fn read_message(from: &mut BufReader<TcpStream>) -> io::Result<(u16, Option<String>)> {
    let (mut length, mut stamp, mut status, mut first) = (0, None, 0, true);
    loop {
        let mut line = String::new();
        if from.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let line = line.trim_end().to_ascii_lowercase();
        if line.is_empty() {
            break;
        }
        if std::mem::take(&mut first) {
            status = line
                .split(' ')
                .nth(1)
                .and_then(|s| s.parse().ok())
                .unwrap_or(0);
        }
        match line.split_once(": ") {
            Some(("content-length", n)) => length = n.parse().map_err(io::Error::other)?,
            Some(("x-canvascart-decided", s)) => stamp = Some(s.to_owned()),
            _ => {}
        }
    }
    io::copy(&mut from.take(length), &mut io::sink())?;
    Ok((status, stamp))
}

/// Starts a server that responds without delay and records the version under which each request was decided.
///
/// # Errors
/// No port can be bound.
pub fn start_server(ledger: &DecisionLog) -> io::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let address = listener.local_addr()?;
    let ledger = ledger.clone();
    thread::spawn(move || {
        for stream in listener.incoming().map_while(Result::ok) {
            let ledger = ledger.clone();
            thread::spawn(move || {
                let _ = stream.set_nodelay(true); // failure only adds latency
                let mut stream = BufReader::new(stream);
                while let Ok((_, stamp)) = read_message(&mut stream) {
                    stamp.into_iter().for_each(|s| ledger.record(&s, None));
                    let written = stream
                        .get_mut()
                        .write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
                    if written.is_err() {
                        return;
                    }
                }
            });
        }
    });
    Ok(address)
}

/// Responses that the client of an instance received.
#[derive(Clone, Copy, Debug, Default)]
pub struct ClientCounts {
    /// Requests that were served.
    pub served: u64,
    /// Requests that were rejected.
    pub rejected: u64,
    /// Requests without a response.
    pub unanswered: u64,
}

/// Sends requests to one instance until `end` is set.
pub(super) fn run_client(
    fleet: &Mutex<Fleet>,
    i: usize,
    ledger: &DecisionLog,
    end: &AtomicBool,
) -> ClientCounts {
    let mut client_counts = ClientCounts::default();
    let mut connection: Option<BufReader<TcpStream>> = None;
    let mut at = None;
    while !end.load(Ordering::Relaxed) {
        thread::sleep(REQUEST_INTERVAL);
        if connection.is_none() {
            at = fleet
                .lock()
                .unwrap_or_else(PoisonError::into_inner)
                .public(i);
        }
        let Some(to) = at else { continue };
        let ask =
            |connection: &mut Option<BufReader<TcpStream>>| -> io::Result<(u16, Option<String>)> {
                if connection.is_none() {
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
        match ask(&mut connection) {
            Ok((status, stamp)) => {
                if let Some(stamp) = stamp {
                    ledger.record(&stamp, Some(i));
                }
                if status == 200 {
                    client_counts.served += 1
                } else {
                    client_counts.rejected += 1
                }
            }
            Err(_) => {
                connection = None;
                client_counts.unanswered += 1;
            }
        }
    }
    client_counts
}

/// Returns the document of the tenant that is changed.
fn tenant(server: SocketAddr, n: u64) -> Value {
    json!({
        "name": "a",
        "limits": { "in-flight": 1000 + n },
        "class": [{ "name": "lookup", "effect": "safe", "aim": "500 ms", "deadline": "2 s" }],
        "server": [{ "name": "s", "address": server.to_string(), "size": 64, "warm": true }],
    })
}

/// Outcome of a change, as known to its caller.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum ChangeOutcome {
    /// It was acknowledged after this time.
    Acknowledged(Duration),
    /// It was abandoned by the cluster or rejected.
    Abandoned,
    /// No response says whether it took effect.
    Unknown,
}

/// Formats the names that `canvascart lab changes` prints in violations: `Done`, `GivenUp` and `Unknown`.
impl fmt::Debug for ChangeOutcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Acknowledged(latency) => f.debug_tuple("Done").field(latency).finish(),
            Self::Abandoned => f.write_str("GivenUp"),
            Self::Unknown => f.write_str("Unknown"),
        }
    }
}

/// Results of a run.
#[derive(Debug, Default)]
pub struct RunReport {
    /// Outcome of each change, by its number.
    pub changes: BTreeMap<u64, Option<ChangeOutcome>>,
    /// Violations of the expected behaviour.
    pub violations: Vec<String>,
    /// Number of decisions checked.
    pub decisions: usize,
    /// Responses received by the client of each instance.
    pub client_counts: Vec<ClientCounts>,
    /// Number of injected faults.
    pub faults: u64,
}

/// A fault injected into the records, to test that the checks detect it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InjectedFault {
    /// No fault.
    None,
    /// Delays the recorded decisions of one instance by 200 ms, as if the instance ignored the end of its lease.
    LateDecisions,
}

/// Options of a run.
pub struct RunOptions<'a> {
    /// Command that accepts the arguments of `canvascart`.
    pub command: &'a [String],
    /// Number of instances.
    pub instances: usize,
    /// Number of requested changes.
    pub changes: u64,
    /// Lines of `[cluster]`.
    pub cluster: &'a str,
    /// Random seed.
    pub seed: u64,
    /// Directory for files.
    pub dir: &'a Path,
    /// Fault injected into the records.
    pub injected_fault: InjectedFault,
}

/// Returns the configuration tables of the tenant.
pub(super) fn tenant_tables(server: SocketAddr) -> String {
    format!(
        "[[tenant]]\nname = \"a\"\n[tenant.limits]\nin-flight = 1000\n[[tenant.class]]\nname = \"lookup\"\neffect = \
         \"safe\"\naim = \"500 ms\"\ndeadline = \"2 s\"\n[[tenant.server]]\nname = \"s\"\naddress = \"{server}\"\nsize = \
         64\nwarm = true\n"
    )
}

/// Returns the request body of a change.
pub(super) fn change_body(server: SocketAddr, n: u64) -> String {
    json!({ "tenant": [tenant(server, n)] }).to_string()
}

/// Starts a fleet and waits until it accepts requests; its only tenant has one server of the lab.
///
/// # Errors
/// The fleet does not start.
pub fn start_fleet(options: &RunOptions, server: SocketAddr) -> io::Result<Fleet> {
    let tenants = tenant_tables(server);
    let settings = FleetSettings {
        cluster: options.cluster.into(),
        tenants,
        zones: 3,
    };
    let mut fleet = Fleet::new(options.command, options.instances, &settings, options.dir)?;
    for i in 0..options.instances {
        fleet.start(i)?;
    }
    fleet.ready()?;
    // Waits for the final number of voters, so that the first fault meets a complete cluster.
    let votes = |f: &Fleet| -> Option<usize> {
        let status = f.status(0).ok()?;
        Some(
            status["leader"]["members"]
                .as_array()?
                .iter()
                .filter(|m| m["votes"] == true)
                .count(),
        )
    };
    fleet.wait("the voters", |f| {
        votes(f).is_some_and(|n| n == DEFAULT_VOTERS.min(options.instances))
    })?;
    Ok(fleet)
}

/// Requests a change from an instance.
fn apply_change(fleet: &Mutex<Fleet>, i: usize, server: SocketAddr, n: u64) -> ChangeOutcome {
    let connection = fleet
        .lock()
        .unwrap_or_else(PoisonError::into_inner)
        .admin_connection(i);
    let Ok(mut connection) = connection else {
        return ChangeOutcome::Unknown;
    };
    let began = Instant::now();
    let body = change_body(server, n);
    let key = format!("Idempotency-Key: change-{n}\r\n");
    match connection.call("POST", "/v1/apply", &key, &body) {
        Ok((200..300, _)) => ChangeOutcome::Acknowledged(began.elapsed()),
        Ok((409 | 412 | 422, _)) => ChangeOutcome::Abandoned,
        other => {
            let what =
                other.map(|(status, text)| format!("{status}: {}", String::from_utf8_lossy(&text)));
            tracing::info!(
                n,
                instance = i,
                ?what,
                ms = began.elapsed().as_millis() as u64,
                "the outcome of a change is unknown"
            );
            ChangeOutcome::Unknown
        }
    }
}

/// Returns the number of the latest change that an instance's API shows.
fn shown_change(fleet: &Mutex<Fleet>, i: usize) -> Option<u64> {
    let mut connection = fleet
        .lock()
        .unwrap_or_else(PoisonError::into_inner)
        .admin_connection(i)
        .ok()?;
    let limits = connection
        .json("GET", "/v1/tenants/a/limits", "", &Value::Null)
        .ok()?;
    limits["in-flight"].as_u64()?.checked_sub(1000)
}

/// Runs changes under random faults.
///
/// # Errors
/// The fleet does not start, or does not recover.
pub fn run(options: &RunOptions, mut on_progress: impl FnMut(f64)) -> io::Result<RunReport> {
    let ledger = DecisionLog::default();
    let server = start_server(&ledger)?;
    let fleet = Mutex::new(start_fleet(options, server)?);
    let end = AtomicBool::new(false);
    let mut report = RunReport::default();
    let outcome: io::Result<()> = thread::scope(|threads| {
        let clients: Vec<_> = (0..options.instances)
            .map(|i| {
                threads.spawn({
                    let (f, l, e) = (&fleet, &ledger, &end);
                    move || run_client(f, i, l, e)
                })
            })
            .collect();
        let changed = run_changes(options, &fleet, server, &mut report, &mut on_progress);
        end.store(true, Ordering::Relaxed);
        report.client_counts = clients.into_iter().filter_map(|c| c.join().ok()).collect();
        changed
    });
    outcome?;
    let mut decisions = ledger.sorted();
    if options.injected_fault == InjectedFault::LateDecisions {
        for d in decisions.iter_mut().filter(|d| d.by == Some(0)) {
            d.at += 200_000;
        }
        decisions.sort_unstable();
    }
    report.decisions = decisions.len();
    for (late, newer) in find_version_regressions(&decisions).into_iter().take(8) {
        report.violations.push(format!("{late:?} after {newer:?}"));
    }
    Ok(report)
}

/// Injects one of seven faults, chosen at random, into an instance.
fn inject_fault(fleet: &Mutex<Fleet>, i: usize, rng: &mut impl rand::Rng) {
    let mut fleet = fleet.lock().unwrap_or_else(PoisonError::into_inner);
    let count = fleet.count();
    match rng.random_range(0..7) {
        0 => fleet.kill(i),
        1 => fleet.pause(i, true),
        2 => fleet.isolate(i, Mode::Cut),
        3 => fleet.isolate(i, Mode::Hold),
        4 => (0..count).for_each(|to| fleet.link(i, to, Mode::Cut)), // it receives, but its messages are lost
        5 => (0..count).for_each(|from| fleet.link(from, i, Mode::Hold)), // it sends, but receives nothing
        _ => (0..count).for_each(|to| fleet.delay(i, to, Duration::from_secs(3))), // longer than a lease
    }
}

/// Runs faults and changes in sequence, then checks the final history.
fn run_changes(
    options: &RunOptions,
    fleet: &Mutex<Fleet>,
    server: SocketAddr,
    report: &mut RunReport,
    on_progress: &mut impl FnMut(f64),
) -> io::Result<()> {
    let lock = || fleet.lock().unwrap_or_else(PoisonError::into_inner);
    let mut rng = stream(options.seed, Purpose::Faults);
    let count = options.instances;
    let mut down = BTreeSet::new();
    let mut next = 1;
    while next <= options.changes {
        on_progress(next as f64 / options.changes as f64);
        // Usually at most a third of the instances have a fault, so that changes can commit; in 10 % of the steps 70 % have one.
        let (min_down, max_down) = if rng.random_bool(0.1) {
            (count * 7 / 10, count * 7 / 10)
        } else {
            (down.len() + 1, count / 3)
        };
        if rng.random_bool(0.6) {
            while down.len() < min_down.min(max_down) {
                let i = rng.random_range(0..count);
                if down.insert(i) {
                    report.faults += 1;
                    inject_fault(fleet, i, &mut rng);
                }
            }
        }
        // In 20 % of the steps, two changes are requested concurrently from randomly chosen instances.
        let concurrent = next < options.changes && rng.random_bool(0.2);
        let requested: Vec<u64> = (next..=next + u64::from(concurrent)).collect();
        next += requested.len() as u64;
        let healthy = |from: usize, down: &BTreeSet<usize>| {
            (0..count)
                .cycle()
                .skip(from)
                .take(count)
                .find(|i| !down.contains(i))
                .unwrap_or(0)
        };
        let mut outcomes = thread::scope(|threads| -> io::Result<Vec<(u64, ChangeOutcome)>> {
            let (sender, receiver) = mpsc::channel();
            for n in &requested {
                let (n, at, sender) = (
                    *n,
                    healthy(rng.random_range(0..count), &down),
                    sender.clone(),
                );
                threads.spawn(move || sender.send((n, apply_change(fleet, at, server, n)))); // the receiver outlives the threads
            }
            drop(sender);
            // In 15 % of the steps the leader is killed during the change.
            if rng.random_bool(0.15) && down.len() < count / 3 {
                thread::sleep(Duration::from_millis(rng.random_range(0..30)));
                let leader = lock().leader();
                if let Some(leader) = leader.filter(|l| down.insert(*l)) {
                    report.faults += 1;
                    lock().kill(leader);
                }
            }
            // All faults are repaired after a random time, even while a change is waiting.
            let mut outcomes = Vec::new();
            let repair_at = Instant::now() + Duration::from_millis(rng.random_range(500..10_000));
            while outcomes.len() < requested.len() {
                match receiver.recv_timeout(repair_at.saturating_duration_since(Instant::now())) {
                    Ok(one) => outcomes.push(one),
                    Err(_) => {
                        repair_instances(fleet, &mut down)?;
                        outcomes.extend(receiver.iter());
                        break;
                    }
                }
            }
            Ok(outcomes)
        })?;
        outcomes.sort_by_key(|(n, _)| *n);
        if outcomes.len() == requested.len()
            && outcomes
                .iter()
                .all(|(_, k)| matches!(k, ChangeOutcome::Acknowledged(_)))
        {
            // A change that one instance has acknowledged must be visible at every other.
            if let Some(shown) = shown_change(fleet, healthy(rng.random_range(0..count), &down))
                && !requested.contains(&shown)
            {
                report.violations.push(format!(
                    "change {shown} is visible after {requested:?} were acknowledged"
                ));
            }
        }
        report.changes.extend(requested.iter().map(|n| (*n, None)));
        report
            .changes
            .extend(outcomes.into_iter().map(|(n, k)| (n, Some(k))));
        if rng.random_bool(0.5) {
            repair_instances(fleet, &mut down)?;
            thread::sleep(Duration::from_millis(rng.random_range(0..400)));
        }
    }
    repair_instances(fleet, &mut down)?;
    lock().ready()?;
    thread::sleep(Duration::from_millis(300));
    check_history(fleet, options, report)
}

fn repair_instances(fleet: &Mutex<Fleet>, down: &mut BTreeSet<usize>) -> io::Result<()> {
    for i in std::mem::take(down) {
        let mut fleet = fleet.lock().unwrap_or_else(PoisonError::into_inner);
        fleet.isolate(i, Mode::Pass);
        (0..fleet.count()).for_each(|to| fleet.delay(i, to, Duration::ZERO));
        fleet.pause(i, false);
        if !fleet.is_running(i) {
            fleet.start(i)?;
        }
    }
    Ok(())
}

/// Checks the final versions: each acknowledged change occurs once, no abandoned change occurs, and all instances agree.
fn check_history(
    fleet: &Mutex<Fleet>,
    options: &RunOptions,
    report: &mut RunReport,
) -> io::Result<()> {
    let end = Instant::now() + HISTORY_TIMEOUT;
    let mut connections = Vec::new();
    for i in 0..options.instances {
        connections.push(
            fleet
                .lock()
                .unwrap_or_else(PoisonError::into_inner)
                .admin_connection(i)?,
        );
    }
    let versions = |connection: &mut super::HttpConnection| -> io::Result<Vec<u64>> {
        let all = connection.json("GET", "/v1/versions?limit=1000", "", &Value::Null)?;
        let numbers = all["items"]
            .as_array()
            .into_iter()
            .flatten()
            .filter_map(|v| v["number"].as_u64());
        Ok(numbers.collect())
    };
    let mut first = versions(&mut connections[0])?;
    for (i, connection) in connections.iter_mut().enumerate() {
        while versions(connection)? != first && Instant::now() < end {
            thread::sleep(Duration::from_millis(100));
        }
        if versions(connection)? != first {
            report.violations.push(format!(
                "instance {i} has different versions from the first instance"
            ));
        }
    }
    first.sort_unstable();
    if first.windows(2).any(|w| w[0] + 1 != w[1]) {
        report
            .violations
            .push("versions have gaps or duplicates".into());
    }
    let mut occurrences: BTreeMap<u64, u64> = BTreeMap::new();
    for version in &first {
        let document =
            connections[0].json("GET", &format!("/v1/versions/{version}"), "", &Value::Null)?;
        if let Some(n) = document["tenant"][0]["limits"]["in-flight"]
            .as_u64()
            .and_then(|n| n.checked_sub(1000))
        {
            *occurrences.entry(n).or_default() += 1;
        }
    }
    for (n, outcome) in &report.changes {
        let count = occurrences.get(n).copied().unwrap_or(0);
        let as_expected = match outcome {
            Some(ChangeOutcome::Acknowledged(_)) => count == 1,
            Some(ChangeOutcome::Abandoned) => count == 0,
            _ => count <= 1,
        };
        if !as_expected {
            report.violations.push(format!(
                "change {n} with outcome {outcome:?} took effect {count} times"
            ));
        }
    }
    Ok(())
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn detects_a_decision_under_an_older_version_but_not_one_at_the_same_time() {
        let d = |at, version| Decision {
            at,
            version,
            by: None,
        };
        assert_eq!(
            find_version_regressions(&[d(1, 1), d(2, 1), d(3, 2), d(4, 2)]),
            []
        );
        assert_eq!(
            find_version_regressions(&[d(1, 1), d(2, 2), d(3, 1), d(4, 2)]),
            [(d(3, 1), d(2, 2))]
        );
        assert_eq!(find_version_regressions(&[d(2, 1), d(2, 2)]), []);
    }
}
