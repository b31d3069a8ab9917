//! Servers of one process: known only, connected and idle, and busy. And the emulated servers behind a sweep: few processes with
//! many listeners each.

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
use super::process::{self, Spent};
use super::stop::{Stop, Watched};
use super::tenants::ended;
use super::{Setting, Sweep, in_turn, target};
use crate::service::tenants::{histogram, ms, quantiles};
use crate::service::{HttpConnection, Service, ServiceFiles};

/// Listeners of one process at most.
const LISTENERS: usize = 2000;
/// Servers of a service.
pub const OF_SERVICE: usize = 18;
/// The most that one tenant's document may name.
const OF_TENANT: usize = 10_000;
/// Connections to a server beyond which nothing is gained by asking on.
const ROUNDS: usize = 12;
/// Connections of the clients of a closed load.
const CLIENTS: u64 = 8;
/// Connections of the clients that ask at the target's rate.
const PACED: u64 = 4;
/// Requests a second that a proxy gets at the target.
pub const RATE: f64 = 144.0;
/// When the memory of a start is looked at.
const SETTLED: Duration = Duration::from_secs(5);

/// How many processes so many emulated servers are.
pub fn processes(servers: usize) -> usize {
    servers.div_ceil(LISTENERS)
}

/// How many descriptors one of them needs: a listener, and a few connections to it.
pub fn descriptors(servers: usize) -> f64 {
    100.0 + 4.0 * servers.min(LISTENERS) as f64
}

/// A process of emulated servers, which ends when it is dropped, or the sweep is stopped.
pub struct Started {
    // Before the process, which is waited for when it is dropped.
    #[expect(dead_code, reason = "ends the process when the sweep is stopped")]
    watched: Option<Watched>,
    #[expect(dead_code, reason = "ends the process")]
    process: Ending,
}

struct Ending(Child);

impl Drop for Ending {
    fn drop(&mut self) {
        let _ = self.0.kill(); // it may have ended
        let _ = self.0.wait();
    }
}

/// Starts so many servers, each of which answers after `work`, on loopback addresses of their processes; `own` is this program.
///
/// # Errors
/// A process or a port can't be had.
pub fn start(
    own: &Path,
    servers: usize,
    work: Duration,
    stop: &Stop,
) -> io::Result<(Vec<Started>, Vec<SocketAddr>)> {
    let (mut all, mut addresses) = (Vec::new(), Vec::new());
    while addresses.len() < servers {
        stop.check()?;
        let count = LISTENERS.min(servers - addresses.len()).to_string();
        // Each process has an address of its own, whose ports are no others'.
        let host = format!("127.0.77.{}", 1 + all.len());
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
        let mut process = Ending(
            Command::new(own)
                .args(arguments)
                .stdin(Stdio::null())
                .stdout(Stdio::piped())
                .spawn()?,
        );
        let watched = stop.watch(process.0.id());
        let told = process
            .0
            .stdout
            .take()
            .ok_or_else(|| io::Error::other("it has no output"))?;
        let mut line = String::new();
        BufReader::new(told).read_line(&mut line)?;
        let more: Vec<SocketAddr> = serde_json::from_str(&line)
            .map_err(|e| io::Error::other(format!("the emulated servers did not come up: {e}")))?;
        addresses.extend(more);
        all.push(Started { watched, process });
    }
    Ok((all, addresses))
}

/// Who the servers are of.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Of {
    /// One tenant.
    One,
    /// Tenants of a service's 18 each.
    Services,
}

/// How many servers, and whose.
#[derive(Clone, Copy, Debug)]
pub struct Size {
    /// Whose.
    pub of: Of,
    /// How many.
    pub servers: usize,
}

impl Size {
    /// So many, as far as they can be one tenant's.
    pub fn of(of: Of, servers: usize) -> Self {
        Size {
            of,
            servers: if of == Of::One {
                servers.min(OF_TENANT)
            } else {
                servers
            },
        }
    }

    fn tenants(&self) -> usize {
        if self.of == Of::One {
            1
        } else {
            self.servers.div_ceil(OF_SERVICE)
        }
    }

    fn named(&self) -> BTreeMap<String, f64> {
        [("servers", self.servers), ("tenants", self.tenants())]
            .map(|(name, n)| (name.to_owned(), n as f64))
            .into()
    }

    /// What it needs of the machine.
    pub fn needs(&self) -> Needs {
        let servers = self.servers as f64;
        Needs {
            // A service's and the emulated servers', by what was measured and a half more (docs/CAPACITY.md).
            memory_mib: 200.0 + 120.0 * servers / 1024.0,
            processes: 1.0 + processes(self.servers) as f64,
            descriptors: descriptors(self.servers).max(500.0 + 1.6 * servers),
            disk_mib: 64.0,
        }
    }
}

/// How long it is measured.
#[derive(Clone, Copy, Debug)]
pub struct Care {
    /// How long a process is left alone after its start before idle time is measured.
    pub rest: Duration,
    /// Each span that is measured.
    pub span: Duration,
}

impl Care {
    /// As the figures of the page are measured.
    pub const FULL: Care = Care {
        rest: Duration::from_secs(12),
        span: Duration::from_secs(4),
    };
    /// For a small sweep.
    pub const SMALL: Care = Care {
        rest: Duration::from_secs(3),
        span: Duration::from_secs(1),
    };
}

/// Measures one size with one build.
///
/// # Errors
/// The service or its servers can't be had, end, or turn a call down.
pub fn measure(
    command: &[String],
    size: &Size,
    care: &Care,
    setting: &Setting,
    figures: &mut BTreeMap<String, f64>,
) -> io::Result<()> {
    let stop = &setting.stop;
    let (_servers, addresses) = start(&setting.own, size.servers, Duration::ZERO, stop)?;
    let place = ServiceFiles::new(&setting.dir, "[process]\nserver-sockets = 30000\n")?;
    let mut service = begin(command, &place, stop)?;
    let mut admin = service.1.admin_connection(&place)?;
    let each = size.servers.div_ceil(size.tenants());
    let all: Vec<Value> = addresses
        .chunks(each)
        .enumerate()
        .map(|(n, list)| document(n, list))
        .collect();
    for batch in all.chunks(500) {
        stop.check()?;
        admin.json("POST", "/v1/apply", "", &json!({ "tenant": batch }))?;
    }
    service.1.kill();
    drop(service);
    let began = Instant::now();
    let mut service = begin(command, &place, stop)?;
    figures.insert("start to ready, ms".into(), ms(began));
    let done = measured(size, care, stop, &service.1, addresses[0], figures);
    ended(&mut service.1, done)
}

fn begin(
    command: &[String],
    place: &ServiceFiles,
    stop: &Stop,
) -> io::Result<(Option<Watched>, Service)> {
    stop.check()?;
    let mut watched = None;
    let service = Service::start_with_process_id(command, &place.config, 1, true, |id| {
        watched = stop.watch(id)
    })?;
    Ok((watched, service))
}

fn document(n: usize, servers: &[SocketAddr]) -> Value {
    let server = |(i, address): (usize, &SocketAddr)| json!({ "name": format!("s{i}"), "address": address, "size": 4.0 });
    json!({
        "name": format!("t{n:05}"),
        "class": [{ "name": "lookup", "effect": "safe", "aim": "1 s", "deadline": "4 s" }],
        "rules": { "idle-close": "50 min" }, // connections stay, so that idle ones can be measured
        "server": servers.iter().enumerate().map(server).collect::<Vec<_>>(),
    })
}

/// The load of clients that take the tenants in turn, whichever client is next.
struct Load {
    at: SocketAddr,
    tenants: u64,
    next: AtomicU64,
}

impl Load {
    /// Asks from so many connections until each is told to end: by the number of the request, or the time.
    fn ask(
        &self,
        clients: u64,
        gap: Option<Duration>,
        go_on: &(dyn Fn(u64) -> bool + Sync),
    ) -> io::Result<(Histogram<u64>, u64)> {
        let (began, first) = (Instant::now(), self.next.load(Ordering::Relaxed));
        let one = || -> io::Result<(Histogram<u64>, u64)> {
            let (mut seen, mut lost, mut line) =
                (histogram()?, 0, HttpConnection::new(self.at, ""));
            loop {
                let n = self.next.fetch_add(1, Ordering::Relaxed);
                if !go_on(n - first) {
                    return Ok((seen, lost));
                }
                if let Some(gap) = gap {
                    let due = began + gap.mul_f64((n - first) as f64);
                    thread::sleep(due.saturating_duration_since(Instant::now()));
                }
                let sent = Instant::now();
                let headers = format!("X-Tenant-Id: t{:05}\r\n", n % self.tenants);
                match line.call("GET", &format!("/lookup/{n}"), &headers, "")? {
                    (200, _) => seen.saturating_record(sent.elapsed().as_micros() as u64),
                    _ => lost += 1,
                }
            }
        };
        thread::scope(|threads| {
            let all: Vec<_> = (0..clients).map(|_| threads.spawn(one)).collect();
            let (mut seen, mut lost) = (histogram()?, 0);
            for one in all {
                let (more, less) = one
                    .join()
                    .map_err(|_| io::Error::other("a client panicked"))??;
                seen.add(more).map_err(io::Error::other)?;
                lost += less;
            }
            Ok((seen, lost))
        })
    }
}

fn measured(
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
    let part = |spent: Spent, over: Duration| 100.0 * spent.all() / (1000.0 * over.as_secs_f64());
    let over = |span: Duration| -> io::Result<f64> {
        let (before, from) = (process::spent(id)?, Instant::now());
        stop.sleep(span)?;
        Ok(part(process::spent(id)?.since(&before), from.elapsed()))
    };
    // Known only: first awake, then at rest if what is measured rests by then.
    put("known, first seconds, % of a core", over(care.span)?);
    stop.sleep(SETTLED.saturating_sub(ready.elapsed()))?;
    put("known, memory, MiB", process::memory(id)?.resident);
    stop.sleep(care.rest.saturating_sub(ready.elapsed()))?;
    put("known, idle, % of a core", over(care.span)?);

    // Connected: asked until nearly all are.
    let own = process::sockets(id)?;
    let at = service.listener("public")?;
    let load = Load {
        at,
        tenants: size.tenants() as u64,
        next: AtomicU64::new(0),
    };
    let mut lost = 0;
    for _ in 0..ROUNDS {
        stop.check()?;
        let many = 2 * size.servers as u64;
        lost += load
            .ask(4 * CLIENTS, None, &|n| n < many && !stop.is_set())?
            .1;
        if process::sockets(id)? >= own + size.servers * 19 / 20 {
            break;
        }
    }
    stop.sleep(Duration::from_secs(1))?; // the clients' own connections are closed by then
    let connections = process::sockets(id)?.saturating_sub(own);
    put("connections", connections as f64);
    put("connected, memory, MiB", process::memory(id)?.resident);
    put("connected, idle, % of a core", over(care.span)?);
    put("connected, requests not served", lost as f64);

    // The same clients at one of the servers without anything between, by which it is known what is added.
    let gap = Some(Duration::from_secs_f64(1.0 / RATE));
    let until = Instant::now() + care.span;
    let directly = Load {
        at: server,
        tenants: 1,
        next: AtomicU64::new(0),
    };
    let (seen, _) = directly.ask(PACED, gap, &|_| Instant::now() < until && !stop.is_set())?;
    let direct = quantiles(&seen);
    put("144 a second directly, p50, ms", direct[0]);
    put("144 a second directly, p99, ms", direct[1]);

    // Busy: at the target's rate, and as fast as a few clients can.
    for (what, clients, gap) in [("144 a second", PACED, gap), ("closed load", CLIENTS, None)] {
        stop.check()?;
        let (before, from) = (process::spent(id)?, Instant::now());
        let until = from + care.span;
        let (seen, lost) = load.ask(clients, gap, &|_| Instant::now() < until && !stop.is_set())?;
        let (spent, took) = (process::spent(id)?.since(&before), from.elapsed());
        put(&format!("{what}, % of a core"), part(spent, took));
        put(
            &format!("{what}, us of processor a request"),
            1000.0 * spent.all() / seen.len().max(1) as f64,
        );
        put(
            &format!("{what}, requests a second"),
            seen.len() as f64 / took.as_secs_f64(),
        );
        put(&format!("{what}, p50, ms"), quantiles(&seen)[0]);
        put(&format!("{what}, p99, ms"), quantiles(&seen)[1]);
        if gap.is_some() {
            put(
                &format!("{what}, p99 less the direct one, ms"),
                quantiles(&seen)[1] - direct[1],
            );
        }
        put(&format!("{what}, not served"), lost as f64);
    }
    put("busy, memory, MiB", process::memory(id)?.resident);
    Ok(())
}

/// Plays the sweep.
///
/// # Errors
/// Its files can't be removed.
pub fn sweep(
    of: Of,
    sizes: &[usize],
    care: &Care,
    command: String,
    setting: &Setting,
) -> io::Result<Sweep> {
    let name = match of {
        Of::One => "servers of one tenant",
        Of::Services => "servers of tenants with 18 each",
    };
    let mut sweep = Sweep {
        name: name.into(),
        command,
        ..Sweep::default()
    };
    let sizes: Vec<Size> = sizes.iter().map(|n| Size::of(of, *n)).collect();
    in_turn(
        &mut sweep,
        setting,
        &sizes,
        Size::named,
        |command, size, figures| measure(command, size, care, setting, figures),
    );
    for figure in LINES {
        sweep.line(figure, "servers", target::SERVERS);
    }
    match std::fs::remove_dir_all(&setting.dir) {
        Err(e) if e.kind() != io::ErrorKind::NotFound => Err(e),
        _ => Ok(sweep),
    }
}

/// What lines are drawn of.
const LINES: [&str; 10] = [
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
