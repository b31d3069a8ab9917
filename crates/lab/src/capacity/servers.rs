//! Measures the cost of servers in one proxy process: configured only, connected and idle, and busy. Also starts the emulated
//! servers of a sweep, in few processes with many listeners each.

use std::collections::BTreeMap;
use std::io::{self, BufRead, BufReader};
use std::net::SocketAddr;
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use hdrhistogram::Histogram;
use serde_json::{Value, json};

use super::needs::Needs;
use super::process::{self, CpuTime};
use super::stop::{Stop, Watched};
use super::tenants::check_exit;
use super::{Setting, Sweep, measure_in_turn, target};
use crate::service::tenants::{histogram, ms, quantiles};
use crate::service::{HttpConnection, Service, ServiceFiles};

/// Maximum number of listeners of one process of emulated servers.
const MAX_LISTENERS: usize = 2000;
/// Number of servers per service.
pub const SERVERS_PER_SERVICE: usize = 18;
/// Maximum number of servers in the document of one tenant.
const MAX_SERVERS_PER_TENANT: usize = 10_000;
/// Maximum number of rounds of requests that open connections to the servers.
const MAX_CONNECT_ROUNDS: usize = 12;
/// Client connections of the closed-loop load.
const CLOSED_LOOP_CLIENTS: u64 = 8;
/// Client connections of the load at the target rate.
const PACED_CLIENTS: u64 = 4;
/// Requests per second of one proxy at the target.
pub const REQUESTS_PER_SECOND: f64 = 144.0;
/// Time after the start at which memory is read.
const MEMORY_READ_DELAY: Duration = Duration::from_secs(5);

/// Returns the number of processes for a number of emulated servers.
pub fn processes(servers: usize) -> usize {
    servers.div_ceil(MAX_LISTENERS)
}

/// Estimates the file descriptors of one of these processes: per server a listener and a few connections.
pub fn descriptors(servers: usize) -> f64 {
    100.0 + 4.0 * servers.min(MAX_LISTENERS) as f64
}

/// Process of emulated servers that is killed on drop or when the sweep is stopped.
pub struct ServerProcess {
    // Dropped before the process, which is reaped when it is dropped: a reaped process must not be registered.
    #[expect(dead_code, reason = "kills the process when the sweep is stopped")]
    watched: Option<Watched>,
    #[expect(dead_code, reason = "kills the process on drop")]
    process: KillOnDrop,
}

struct KillOnDrop(Child);

impl Drop for KillOnDrop {
    fn drop(&mut self) {
        let _ = self.0.kill(); // the process may have ended already
        let _ = self.0.wait();
    }
}

/// Starts `servers` emulated servers, each of which responds after `work`, on loopback addresses. `own` is the path of this
/// program.
///
/// # Errors
/// A process could not be started or a port could not be bound.
pub fn start(
    own: &Path,
    servers: usize,
    work: Duration,
    stop: &Stop,
) -> io::Result<(Vec<ServerProcess>, Vec<SocketAddr>)> {
    let (mut processes, mut addresses) = (Vec::new(), Vec::new());
    while addresses.len() < servers {
        stop.check()?;
        let count = MAX_LISTENERS.min(servers - addresses.len()).to_string();
        // Each process has its own address, so that processes don't compete for ports.
        let host = format!("127.0.77.{}", 1 + processes.len());
        let work = work.as_millis().to_string();
        let arguments = [
            "lab",
            "peer",
            "responder",
            "--count",
            &count,
            "--host",
            &host,
            "--work",
            &work,
        ];
        let mut process = KillOnDrop(
            Command::new(own)
                .args(arguments)
                .stdin(Stdio::null())
                .stdout(Stdio::piped())
                .spawn()?,
        );
        let watched = stop.watch(process.0.id());
        let stdout = process
            .0
            .stdout
            .take()
            .ok_or_else(|| io::Error::other("the emulated servers have no stdout"))?;
        let mut line = String::new();
        BufReader::new(stdout).read_line(&mut line)?;
        let reported: Vec<SocketAddr> = serde_json::from_str(&line).map_err(|e| {
            io::Error::other(format!(
                "the emulated servers did not report their addresses: {e}"
            ))
        })?;
        addresses.extend(reported);
        processes.push(ServerProcess { watched, process });
    }
    Ok((processes, addresses))
}

/// Assignment of the servers to tenants.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Tenancy {
    /// One tenant with all servers.
    One,
    /// Tenants with the 18 servers of a service each.
    Services,
}

/// Number of servers and their assignment to tenants.
#[derive(Clone, Copy, Debug)]
pub struct Size {
    /// Assignment to tenants.
    pub tenancy: Tenancy,
    /// Number of servers.
    pub servers: usize,
}

impl Size {
    /// Creates a size; the servers of one tenant are limited to the maximum of a tenant.
    pub fn of(tenancy: Tenancy, servers: usize) -> Self {
        Size {
            tenancy,
            servers: if tenancy == Tenancy::One {
                servers.min(MAX_SERVERS_PER_TENANT)
            } else {
                servers
            },
        }
    }

    fn tenants(&self) -> usize {
        if self.tenancy == Tenancy::One {
            1
        } else {
            self.servers.div_ceil(SERVERS_PER_SERVICE)
        }
    }

    fn sizes_by_name(&self) -> BTreeMap<String, f64> {
        [("servers", self.servers), ("tenants", self.tenants())]
            .map(|(name, n)| (name.to_owned(), n as f64))
            .into()
    }

    /// Estimates the resources that the measurement needs.
    pub fn needs(&self) -> Needs {
        let servers = self.servers as f64;
        Needs {
            // For the service and the emulated servers: 1.5 times the measured use (docs/CAPACITY.md).
            memory_mib: 200.0 + 120.0 * servers / 1024.0,
            processes: 1.0 + processes(self.servers) as f64,
            descriptors: descriptors(self.servers).max(500.0 + 1.6 * servers),
            disk_mib: 64.0,
        }
    }
}

/// Durations of a measurement.
#[derive(Clone, Copy, Debug)]
pub struct Care {
    /// Time from the start of a process until its idle CPU time is measured.
    pub rest: Duration,
    /// Duration of each measured phase.
    pub span: Duration,
}

impl Care {
    /// Durations for the figures of docs/CAPACITY.md.
    pub const FULL: Care = Care {
        rest: Duration::from_secs(12),
        span: Duration::from_secs(4),
    };
    /// Durations for a small sweep.
    pub const SMALL: Care = Care {
        rest: Duration::from_secs(3),
        span: Duration::from_secs(1),
    };
}

/// Measures one size with one build.
///
/// # Errors
/// The service or its servers could not be started, ended, or rejected a call.
pub fn measure(
    command: &[String],
    size: &Size,
    care: &Care,
    setting: &Setting,
    figures: &mut BTreeMap<String, f64>,
) -> io::Result<()> {
    let stop = &setting.stop;
    let (_servers, addresses) = start(&setting.own, size.servers, Duration::ZERO, stop)?;
    let files = ServiceFiles::new(&setting.dir, "[process]\nserver-sockets = 30000\n")?;
    let mut service = start_service(command, &files, stop)?;
    let mut admin = service.1.admin_connection(&files)?;
    let servers_per_tenant = size.servers.div_ceil(size.tenants());
    let documents: Vec<Value> = addresses
        .chunks(servers_per_tenant)
        .enumerate()
        .map(|(n, list)| document(n, list))
        .collect();
    for batch in documents.chunks(500) {
        stop.check()?;
        admin.json("POST", "/v1/apply", "", &json!({ "tenant": batch }))?;
    }
    service.1.kill();
    drop(service);
    let began = Instant::now();
    let mut service = start_service(command, &files, stop)?;
    figures.insert("start to ready, ms".into(), ms(began));
    let result = measure_running(size, care, stop, &service.1, addresses[0], figures);
    check_exit(&mut service.1, result)
}

/// Starts the service and registers its process for the stop of the sweep.
fn start_service(
    command: &[String],
    files: &ServiceFiles,
    stop: &Stop,
) -> io::Result<(Option<Watched>, Service)> {
    stop.check()?;
    let mut watched = None;
    let service = Service::start_with_process_id(command, &files.config, 1, true, |id| {
        watched = stop.watch(id)
    })?;
    Ok((watched, service))
}

/// Builds the document of the tenant with index `n`.
fn document(n: usize, servers: &[SocketAddr]) -> Value {
    let server = |(i, address): (usize, &SocketAddr)| json!({ "name": format!("s{i}"), "address": address, "size": 4.0 });
    json!({
        "name": format!("t{n:05}"),
        "class": [{ "name": "lookup", "effect": "safe", "aim": "1 s", "deadline": "4 s" }],
        "rules": { "idle-close": "50 min" }, // keeps connections open, so that idle ones can be measured
        "server": servers.iter().enumerate().map(server).collect::<Vec<_>>(),
    })
}

/// Load of clients that send requests for the tenants in turn, with a counter shared by all clients.
struct Load {
    address: SocketAddr,
    tenants: u64,
    next: AtomicU64,
}

impl Load {
    /// Sends requests from `clients` connections, paced by `gap` if given, until `go_on` returns false for the number of a
    /// request. Returns the latencies of the served requests and the count of the others.
    fn run(
        &self,
        clients: u64,
        gap: Option<Duration>,
        go_on: &(dyn Fn(u64) -> bool + Sync),
    ) -> io::Result<(Histogram<u64>, u64)> {
        let (began, first) = (Instant::now(), self.next.load(Ordering::Relaxed));
        let run_client = || -> io::Result<(Histogram<u64>, u64)> {
            let (mut latencies, mut not_served, mut connection) =
                (histogram()?, 0, HttpConnection::new(self.address, ""));
            loop {
                let n = self.next.fetch_add(1, Ordering::Relaxed);
                if !go_on(n - first) {
                    return Ok((latencies, not_served));
                }
                if let Some(gap) = gap {
                    let due = began + gap.mul_f64((n - first) as f64);
                    thread::sleep(due.saturating_duration_since(Instant::now()));
                }
                let sent = Instant::now();
                let headers = format!("X-Tenant-Id: t{:05}\r\n", n % self.tenants);
                match connection.call("GET", &format!("/lookup/{n}"), &headers, "")? {
                    (200, _) => latencies.saturating_record(sent.elapsed().as_micros() as u64),
                    _ => not_served += 1,
                }
            }
        };
        thread::scope(|threads| {
            let client_threads: Vec<_> = (0..clients).map(|_| threads.spawn(run_client)).collect();
            let (mut latencies, mut not_served) = (histogram()?, 0);
            for client in client_threads {
                let (client_latencies, client_not_served) = client
                    .join()
                    .map_err(|_| io::Error::other("a client panicked"))??;
                latencies.add(client_latencies).map_err(io::Error::other)?;
                not_served += client_not_served;
            }
            Ok((latencies, not_served))
        })
    }
}

/// Measures a running service.
fn measure_running(
    size: &Size,
    care: &Care,
    stop: &Stop,
    service: &Service,
    server: SocketAddr,
    figures: &mut BTreeMap<String, f64>,
) -> io::Result<()> {
    let (id, ready) = (service.id(), Instant::now());
    let mut put = |name: &str, value: f64| {
        figures.insert(name.to_owned(), value);
    };
    let core_percent =
        |cpu_time: CpuTime, over: Duration| 100.0 * cpu_time.all() / (1000.0 * over.as_secs_f64());
    let measure_cpu = |span: Duration| -> io::Result<f64> {
        let (before, from) = (process::cpu_time(id)?, Instant::now());
        stop.sleep(span)?;
        Ok(core_percent(
            process::cpu_time(id)?.since(&before),
            from.elapsed(),
        ))
    };
    // Servers configured, but not connected. Tenants are active at first, and may become inactive before the idle phase.
    put("known, first seconds, % of a core", measure_cpu(care.span)?);
    stop.sleep(MEMORY_READ_DELAY.saturating_sub(ready.elapsed()))?;
    put("known, memory, MiB", process::memory(id)?.resident);
    stop.sleep(care.rest.saturating_sub(ready.elapsed()))?;
    put("known, idle, % of a core", measure_cpu(care.span)?);

    // Servers connected: sends requests until nearly all have a connection.
    let initial_sockets = process::sockets(id)?;
    let address = service.listener("public")?;
    let load = Load {
        address,
        tenants: size.tenants() as u64,
        next: AtomicU64::new(0),
    };
    let mut not_served = 0;
    for _ in 0..MAX_CONNECT_ROUNDS {
        stop.check()?;
        let count = 2 * size.servers as u64;
        not_served += load
            .run(4 * CLOSED_LOOP_CLIENTS, None, &|n| {
                n < count && !stop.is_set()
            })?
            .1;
        if process::sockets(id)? >= initial_sockets + size.servers * 19 / 20 {
            break;
        }
    }
    stop.sleep(Duration::from_secs(1))?; // by then the connections of the clients are closed
    let connections = process::sockets(id)?.saturating_sub(initial_sockets);
    put("connections", connections as f64);
    put("connected, memory, MiB", process::memory(id)?.resident);
    put("connected, idle, % of a core", measure_cpu(care.span)?);
    put("connected, requests not served", not_served as f64);

    // The same clients connected directly to a server, as the baseline for the added latency.
    let gap = Some(Duration::from_secs_f64(1.0 / REQUESTS_PER_SECOND));
    let until = Instant::now() + care.span;
    let direct_load = Load {
        address: server,
        tenants: 1,
        next: AtomicU64::new(0),
    };
    let (latencies, _) = direct_load.run(PACED_CLIENTS, gap, &|_| {
        Instant::now() < until && !stop.is_set()
    })?;
    let direct = quantiles(&latencies);
    put("144 a second directly, p50, ms", direct[0]);
    put("144 a second directly, p99, ms", direct[1]);

    // Busy: load at the target rate, then closed-loop load.
    for (what, clients, gap) in [
        ("144 a second", PACED_CLIENTS, gap),
        ("closed load", CLOSED_LOOP_CLIENTS, None),
    ] {
        stop.check()?;
        let (before, from) = (process::cpu_time(id)?, Instant::now());
        let until = from + care.span;
        let (latencies, not_served) =
            load.run(clients, gap, &|_| Instant::now() < until && !stop.is_set())?;
        let (spent, duration) = (process::cpu_time(id)?.since(&before), from.elapsed());
        put(
            &format!("{what}, % of a core"),
            core_percent(spent, duration),
        );
        put(
            &format!("{what}, us of processor a request"),
            1000.0 * spent.all() / latencies.len().max(1) as f64,
        );
        put(
            &format!("{what}, requests a second"),
            latencies.len() as f64 / duration.as_secs_f64(),
        );
        put(&format!("{what}, p50, ms"), quantiles(&latencies)[0]);
        put(&format!("{what}, p99, ms"), quantiles(&latencies)[1]);
        if gap.is_some() {
            put(
                &format!("{what}, p99 less the direct one, ms"),
                quantiles(&latencies)[1] - direct[1],
            );
        }
        put(&format!("{what}, not served"), not_served as f64);
    }
    put("busy, memory, MiB", process::memory(id)?.resident);
    Ok(())
}

/// Runs the sweep over numbers of servers.
///
/// # Errors
/// The working directory could not be removed.
pub fn sweep(
    tenancy: Tenancy,
    sizes: &[usize],
    care: &Care,
    command: String,
    setting: &Setting,
) -> io::Result<Sweep> {
    let name = match tenancy {
        Tenancy::One => "servers of one tenant",
        Tenancy::Services => "servers of tenants with 18 each",
    };
    let mut sweep = Sweep {
        name: name.into(),
        command,
        ..Sweep::default()
    };
    let sizes: Vec<Size> = sizes.iter().map(|n| Size::of(tenancy, *n)).collect();
    measure_in_turn(
        &mut sweep,
        setting,
        &sizes,
        Size::sizes_by_name,
        |command, size, figures| measure(command, size, care, setting, figures),
    );
    for figure in LINE_FIGURES {
        sweep.line(figure, "servers", target::SERVERS);
    }
    match std::fs::remove_dir_all(&setting.dir) {
        Err(e) if e.kind() != io::ErrorKind::NotFound => Err(e),
        _ => Ok(sweep),
    }
}

/// Figures for which a line is fitted.
const LINE_FIGURES: [&str; 10] = [
    "known, memory, MiB",
    "known, first seconds, % of a core",
    "known, idle, % of a core",
    "connections",
    "connected, memory, MiB",
    "connected, idle, % of a core",
    "144 a second, % of a core",
    "144 a second, us of processor a request",
    "144 a second, p99 less the direct one, ms",
    "closed load, us of processor a request",
];
