//! Measures the cost of tenants, routes and services in one process: memory, startup, the cost of a change and the time for
//! which it blocks the serving loop, stored bytes, and the latency of requests for an active and for inactive tenants.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use serde_json::{Value, json};

use super::needs::Needs;
use super::process::{self, CpuTime};
use super::servers::{self, ServerProcess};
use super::stop::Stop;
use super::{Setting, Sweep, measure_in_turn, target};
use crate::floods::fleet::ServerFleet;
use crate::service::tenants::{Measured, document, histogram, lookups, ms, quantiles, under_load};
use crate::service::{HttpConnection, Service, ServiceFiles};

/// Tenants created per API call.
const TENANTS_PER_CALL: usize = 1000;
/// Time after the start at which memory is read.
const MEMORY_READ_DELAY: Duration = Duration::from_secs(5);
/// Time for which the loop is probed before a change and after its response.
const PROBE_MARGIN: Duration = Duration::from_millis(20);
/// Changes that are measured individually.
const LONE_CHANGES: u64 = 2;
/// Bytes that a process may write while idle, to wake its own threads.
const IDLE_WRITE_BYTES: f64 = 1024.0;
/// A process that has written nothing for this time has finished all writes of its last change: the snapshot is written at
/// most once per second...
const IDLE_WRITE_PERIOD: Duration = Duration::from_millis(1300);
/// ...and at this average rate in bytes per second at most, so that a large one is written later.
const SNAPSHOT_BYTES_PER_SECOND: f64 = 256.0 * 1024.0;
/// Maximum idle period that is waited for; if a longer one is needed, the writes of a single change are not measured.
const MAX_IDLE_PERIOD: Duration = Duration::from_secs(15);
/// Maximum time to wait until a process stops writing.
const MAX_WRITE_WAIT: Duration = Duration::from_secs(45);
/// Interval between probes of the serving loop.
const PROBE_INTERVAL: Duration = Duration::from_millis(1);

/// Configuration of the tenants.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Shape {
    /// Two classes, the same for all tenants, and four servers of its own for each tenant.
    Own,
    /// As at the target: many tenants share a service's list of 17 or 18 servers and a set of classes.
    Shared,
}

impl Shape {
    /// All shapes with their names on the command line.
    pub const ALL: [(&str, Shape); 2] = [("own", Shape::Own), ("shared", Shape::Shared)];
}

/// Size that a sweep varies.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum By {
    /// Tenants, with services and routes in proportion to the target.
    Tenants,
    /// Routes, which are sets of classes here; the numbers of tenants and services are constant.
    Routes,
    /// Services of 17 or 18 servers each; the numbers of tenants and routes are constant.
    Services,
}

impl By {
    /// All variants with their names on the command line.
    pub const ALL: [(&str, By); 3] = [
        ("tenants", By::Tenants),
        ("routes", By::Routes),
        ("services", By::Services),
    ];

    /// Returns the name of the size and its value at the target.
    fn target(self) -> (&'static str, f64) {
        match self {
            By::Tenants => ("tenants", target::TENANTS),
            By::Routes => ("routes", target::ROUTES),
            By::Services => ("services", target::SERVICES),
        }
    }
}

/// Numbers of tenants, services and routes of a measurement.
#[derive(Clone, Copy, Debug)]
pub struct Size {
    /// Configuration of the tenants.
    pub shape: Shape,
    /// Number of tenants.
    pub tenants: usize,
    /// Number of services, of 17 or 18 servers each.
    pub services: usize,
    /// Number of sets of classes.
    pub routes: usize,
}

impl Size {
    /// Creates a size of `tenants` tenants, for the shared shape with services and sets of classes in proportion to the target.
    pub fn of(shape: Shape, tenants: usize) -> Self {
        let part = |of: f64| ((tenants as f64 * of / target::TENANTS).round() as usize).max(1);
        match shape {
            Shape::Own => Size {
                shape,
                tenants,
                services: 0,
                routes: 1,
            },
            Shape::Shared => Size {
                shape,
                tenants,
                services: part(target::SERVICES),
                routes: part(target::ROUTES),
            },
        }
    }

    /// Creates a size of the shared shape in which the number selected by `by` is `count`.
    pub fn with_count(by: By, count: usize, tenants: usize) -> Self {
        let size = Size::of(Shape::Shared, tenants);
        match by {
            By::Tenants => Size::of(Shape::Shared, count),
            By::Routes => Size {
                routes: count,
                ..size
            },
            By::Services => Size {
                services: count,
                ..size
            },
        }
    }

    /// Returns the number of servers of all services.
    pub fn servers(&self) -> usize {
        (0..self.services).map(servers_of_service).sum()
    }

    fn sizes_by_name(&self) -> BTreeMap<String, f64> {
        let mut all = vec![("tenants", self.tenants), ("routes", self.routes)];
        if self.shape == Shape::Shared {
            all.extend([("services", self.services), ("servers", self.servers())]);
        }
        all.into_iter()
            .map(|(name, n)| (name.to_owned(), n as f64))
            .collect()
    }

    /// Estimates the resources that the measurement needs.
    pub fn needs(&self) -> Needs {
        // 1.5 times the measured use of a build that keeps all tenants fully active (docs/CAPACITY.md).
        let kib = if self.shape == Shape::Own {
            80.0
        } else {
            200.0
        };
        let servers = self.servers() as f64;
        Needs {
            memory_mib: 200.0 + (kib * self.tenants as f64 + 20.0 * servers) / 1024.0,
            processes: 1.0 + servers::processes(self.servers()) as f64,
            descriptors: 1000.0 + servers::descriptors(self.servers()),
            disk_mib: 64.0 + 24.0 * self.tenants as f64 / 1024.0,
        }
    }
}

/// Returns the number of servers of a service: 17 or 18, so that 680 services have 12,000.
pub fn servers_of_service(n: usize) -> usize {
    17 + usize::from(n % 17 < 11)
}

/// Durations and counts of a measurement.
#[derive(Clone, Copy, Debug)]
pub struct Care {
    /// Changes of each kind.
    pub changes: u64,
    /// Duration of the first phase after a start.
    pub first: Duration,
    /// Time from the start of the process until its idle CPU time is measured.
    pub rest: Duration,
    /// Duration of the idle measurement.
    pub idle: Duration,
    /// Duration of each load on the busy tenant.
    pub load: Duration,
    /// Number of inactive tenants that receive a first request.
    pub activated: usize,
}

impl Care {
    /// Values for the figures of docs/CAPACITY.md.
    pub const FULL: Care = Care {
        changes: 40,
        first: Duration::from_secs(10),
        rest: Duration::from_secs(17),
        idle: Duration::from_secs(3),
        load: Duration::from_secs(3),
        activated: 200,
    };
    /// Values for a small sweep, in which tenants that become inactive after 10 s are still active.
    pub const SMALL: Care = Care {
        changes: 8,
        first: Duration::from_secs(3),
        rest: Duration::from_secs(3),
        idle: Duration::from_secs(1),
        load: Duration::from_secs(1),
        activated: 50,
    };
    /// Values for measuring only counts and bytes, which don't depend on time.
    pub const COUNTS: Care = Care {
        changes: 8,
        first: Duration::ZERO,
        rest: Duration::ZERO,
        idle: Duration::from_millis(100),
        load: Duration::from_millis(200),
        activated: 20,
    };
}

/// Servers of the tenants.
enum TenantServers {
    Own(ServerFleet),
    /// Addresses of each service, and the processes that listen on them.
    Shared(
        Vec<Vec<SocketAddr>>,
        #[expect(dead_code, reason = "kills the processes on drop")] Vec<ServerProcess>,
    ),
}

impl TenantServers {
    fn start(size: &Size, setting: &Setting) -> io::Result<Self> {
        if size.shape == Shape::Own {
            return ServerFleet::start().map(TenantServers::Own);
        }
        let work = Duration::from_millis(20);
        let (processes, addresses) =
            servers::start(&setting.own, size.servers(), work, &setting.stop)?;
        let mut remaining = addresses.into_iter();
        let lists = (0..size.services)
            .map(|n| remaining.by_ref().take(servers_of_service(n)).collect())
            .collect();
        Ok(TenantServers::Shared(lists, processes))
    }

    /// Builds the document of the tenant with index `n`.
    fn document(&self, size: &Size, n: usize) -> Value {
        match self {
            TenantServers::Own(fleet) => document(n, &fleet.quiet),
            TenantServers::Shared(lists, _) => {
                let (service, route) = (n % size.services, n % size.routes);
                let aim = 200 + route;
                let server = |(i, address): (usize, &SocketAddr)| json!({ "name": format!("s{service:03}-{i:02}"), "address": address, "size": 16.0 });
                json!({
                    "name": format!("t{n:05}"),
                    "hosts": [format!("t{n:05}.example")],
                    "class": [
                        { "name": "lookup", "effect": "safe", "aim": format!("{aim} ms"), "deadline": "8 s" },
                        { "name": "checkout", "effect": "unsafe", "aim": format!("{aim} ms"), "deadline": "9 s" },
                    ],
                    "server": lists[service].iter().enumerate().map(server).collect::<Vec<_>>(),
                })
            }
        }
    }
}

/// Service process that is killed when the sweep is stopped.
struct RunningService {
    // Dropped before the service, which is reaped when it is dropped: a reaped process must not be registered.
    #[expect(dead_code, reason = "kills the process when the sweep is stopped")]
    watched: Option<super::stop::Watched>,
    service: Service,
}

impl RunningService {
    fn start(command: &[String], place: &ServiceFiles, stop: &Stop) -> io::Result<Self> {
        stop.check()?;
        let mut watched = None;
        let service = Service::start_with_process_id(command, &place.config, 1, true, |id| {
            watched = stop.watch(id)
        })?;
        Ok(RunningService { watched, service })
    }

    fn public_address(&self) -> io::Result<SocketAddr> {
        self.service.listener("public")
    }
}

/// Header of requests for the busy tenant.
const BUSY_TENANT_HEADER: &str = "X-Tenant-Id: t00000\r\n";

/// Sends a lookup and returns its latency in ms; `None` if it was rejected.
fn send_lookup(connection: &mut HttpConnection, headers: &str) -> io::Result<Option<f64>> {
    let began = Instant::now();
    match connection.call("GET", "/lookup/1", headers, "")? {
        (200, _) => Ok(Some(ms(began))),
        (503, _) => Ok(None),
        (status, _) => Err(io::Error::other(format!(
            "a lookup was answered with status {status}"
        ))),
    }
}

/// Returns the idle period after which a process has finished all writes of its last change; `None` if it is too long to wait
/// for.
fn idle_write_period(place: &ServiceFiles) -> Option<Duration> {
    let snapshot_bytes =
        std::fs::metadata(place.state.join("last-good.snapshot")).map_or(0, |m| m.len());
    Some(
        IDLE_WRITE_PERIOD
            + Duration::from_secs_f64(snapshot_bytes as f64 / SNAPSHOT_BYTES_PER_SECOND),
    )
    .filter(|period| *period <= MAX_IDLE_PERIOD)
}

/// Waits until a process has written nothing for the idle period, for example no snapshot after a change, and returns the
/// bytes written so far.
fn wait_for_idle_writes(id: u32, idle_period: Duration, stop: &Stop) -> io::Result<[f64; 2]> {
    let end = Instant::now() + MAX_WRITE_WAIT;
    loop {
        let before = process::written(id)?;
        stop.sleep(idle_period)?;
        let now = process::written(id)?;
        if now[0] - before[0] < IDLE_WRITE_BYTES && now[1] <= before[1] || Instant::now() > end {
            return Ok(now);
        }
    }
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
    let servers = TenantServers::start(size, setting)?;
    let place = ServiceFiles::new(&setting.dir, "[process]\nserver-sockets = 8192\n")?;
    let mut running = RunningService::start(command, &place, &setting.stop)?;
    let result = measure_service(
        command,
        size,
        care,
        setting,
        &servers,
        &place,
        &mut running,
        figures,
    );
    check_exit(&mut running.service, result)
}

/// Replaces the error of a call by the exit status of the service, if it has exited.
pub(super) fn check_exit<T>(service: &mut Service, result: io::Result<T>) -> io::Result<T> {
    // A call may fail shortly before the exit of the process is visible.
    let end = Instant::now() + Duration::from_millis(200);
    loop {
        if let Some(status) = service.exit_status() {
            return Err(io::Error::other(format!("the service exited: {status}")));
        }
        if result.is_ok() || Instant::now() >= end {
            return result;
        }
        thread::sleep(Duration::from_millis(10));
    }
}

#[expect(
    clippy::too_many_arguments,
    reason = "the inputs of a measurement have no common type"
)]
fn measure_service(
    command: &[String],
    size: &Size,
    care: &Care,
    setting: &Setting,
    servers: &TenantServers,
    place: &ServiceFiles,
    running: &mut RunningService,
    figures: &mut BTreeMap<String, f64>,
) -> io::Result<()> {
    let stop = &setting.stop;
    let mut put = |name: &str, value: f64| {
        figures.insert(name.to_owned(), value);
    };

    let mut admin = running.service.admin_connection(place)?;
    let began = Instant::now();
    for batch in (0..size.tenants)
        .collect::<Vec<_>>()
        .chunks(TENANTS_PER_CALL)
    {
        stop.check()?;
        let documents: Vec<Value> = batch.iter().map(|n| servers.document(size, *n)).collect();
        admin.json("POST", "/v1/apply", "", &json!({ "tenant": documents }))?;
    }
    put("made in, s", began.elapsed().as_secs_f64());
    put(
        "peak while made, MiB",
        process::memory(running.service.id())?.peak,
    );

    // Restarts, so that memory is measured without the leftovers of creating the tenants.
    running.service.kill();
    let began = Instant::now();
    *running = RunningService::start(command, place, stop)?;
    let id = running.service.id();
    put("start to ready, ms", ms(began));
    let ready = Instant::now();
    let mut connection = HttpConnection::new(running.public_address()?, BUSY_TENANT_HEADER);
    let mut rejected = 0.0;
    while send_lookup(&mut connection, "")?.is_none() {
        rejected += 1.0;
        stop.sleep(Duration::from_millis(5))?;
    }
    put("start to first answer, ms", ms(began));
    put("refused before the first answer", rejected);
    put(
        "processor time to first answer, ms",
        process::cpu_time(id)?.all(),
    );
    put("memory at ready, MiB", process::memory(id)?.resident);
    // After a late first response, nothing is left of the first seconds to measure.
    let (at_ready, in_time) = (process::cpu_time(id)?, ready.elapsed() < care.first);
    stop.sleep(
        MEMORY_READ_DELAY
            .min(care.first)
            .saturating_sub(ready.elapsed()),
    )?;
    put("memory, MiB", process::memory(id)?.resident);
    stop.sleep(care.first.saturating_sub(ready.elapsed()))?;
    let core_percent =
        |cpu_time: CpuTime, over: Duration| 100.0 * cpu_time.all() / (1000.0 * over.as_secs_f64());
    if in_time {
        put(
            "first seconds, % of a core",
            core_percent(process::cpu_time(id)?.since(&at_ready), ready.elapsed()),
        );
    }
    stop.sleep(care.rest.saturating_sub(ready.elapsed()))?;
    let (before, from) = (process::cpu_time(id)?, Instant::now());
    stop.sleep(care.idle)?;
    put(
        "idle, % of a core",
        core_percent(process::cpu_time(id)?.since(&before), from.elapsed()),
    );
    put("memory at rest, MiB", process::memory(id)?.resident);

    let mut admin = running.service.admin_connection(place)?;
    let (cost, [response, pause, pause_without]) =
        measure_changes(&mut admin, running, place, size.tenants, care.changes, stop)?;
    cost.iter().for_each(|(name, value)| put(name, *value));
    put("a change of one at rest to its answer p50, ms", response[0]);
    put("a change of one at rest to its answer p99, ms", response[1]);
    put("loop's pause by a change p50, ms", pause[0]);
    put("loop's pause by a change, longest, ms", pause[1]);
    put("loop's pause without p50, ms", pause_without[0]);
    put("loop's pause without, longest, ms", pause_without[1]);

    let mut admin = running.service.admin_connection(place)?; // the service closes idle connections
    let mut load = Measured::default();
    under_load(
        &mut admin,
        running.public_address()?,
        care.changes,
        care.load,
        &mut load,
    )?;
    put("change to effect p50, ms", load.effect_ms[0]);
    put("change to effect p99, ms", load.effect_ms[1]);
    put("change to answer p50, ms", load.answer_ms[0]);
    put("change to answer p99, ms", load.answer_ms[1]);
    put("busy lookups p50, ms", load.lookup_p50_ms[0]);
    put("busy lookups p99, ms", load.lookup_p99_ms[0]);
    put("busy lookups beside changes p99, ms", load.lookup_p99_ms[1]);
    put("busy lookups not served", load.lost[0] as f64);
    stop.check()?;

    let ([first, busy], not_served) = measure_first_requests(
        running.public_address()?,
        size.tenants,
        care.activated,
        stop,
    )?;
    put(
        "first requests of ones at rest not served",
        not_served as f64,
    );
    put("first request of one at rest p50, ms", first[0]);
    put("first request of one at rest p99, ms", first[1]);
    put("busy lookups beside these p50, ms", busy[0]);
    put("busy lookups beside these p99, ms", busy[1]);

    put("peak, MiB", process::memory(id)?.peak);
    put(
        "store, KiB",
        process::file_size(&place.state.join("state.redb")) as f64 / 1024.0,
    );
    put(
        "snapshot, KiB",
        process::file_size(&place.state.join("last-good.snapshot")) as f64 / 1024.0,
    );
    put(
        "all of the state, KiB",
        process::directory_size(&place.state) as f64 / 1024.0,
    );

    // Latency of lookups immediately after a start.
    running.service.kill();
    *running = RunningService::start(command, place, stop)?;
    let (stop_load, address) = (AtomicBool::new(false), running.public_address()?);
    let (latencies, not_served) = thread::scope(|threads| {
        let client = threads.spawn(|| lookups(address, &stop_load));
        let sleep_result = stop.sleep(care.load);
        stop_load.store(true, Ordering::Relaxed);
        let result = client
            .join()
            .map_err(|_| io::Error::other("a client panicked"))?;
        sleep_result.and(result)
    })?;
    // Without a served lookup there are no quantiles; zeros would be wrong.
    if !latencies.is_empty() {
        put(
            "busy lookups after a restart p50, ms",
            quantiles(&latencies)[0],
        );
        put(
            "busy lookups after a restart p99, ms",
            quantiles(&latencies)[1],
        );
    }
    put("busy lookups after a restart not served", not_served as f64);
    Ok(())
}

/// Cost of changes of an inactive tenant: figures by name, and in ms the median and the 99th percentile of the response times,
/// and the median and maximum of the pauses of the loop with and without changes.
type ChangeCost = (Vec<(&'static str, f64)>, [[f64; 2]; 3]);

/// Measures changes of an inactive tenant.
fn measure_changes(
    admin: &mut HttpConnection,
    running: &RunningService,
    place: &ServiceFiles,
    tenants: usize,
    count: u64,
    stop: &Stop,
) -> io::Result<ChangeCost> {
    let tenant = if tenants > 1 { "t00001" } else { "t00000" };
    let id = running.service.id();
    let body = json!({ "effect": "safe", "aim": "300 ms", "deadline": "1 s" });
    let change = |admin: &mut HttpConnection, n: u64| -> io::Result<f64> {
        stop.check()?;
        // Alternately adds and removes a class: each is a change, and the state does not grow.
        let target = format!("/v1/tenants/{tenant}/classes/x{}", n / 2);
        let began = Instant::now();
        match n % 2 {
            0 => admin.json("PUT", &target, "", &body)?,
            _ => admin.json("DELETE", &target, "", &Value::Null)?,
        };
        Ok(ms(began))
    };
    let count = count.max(2) / 2 * 2;
    // Without other load, so that the CPU time is that of the changes.
    let (spent, written, stored) = (
        process::cpu_time(id)?,
        process::written(id)?,
        process::directory_size(&place.state),
    );
    let mut answers = histogram()?;
    for n in 0..count {
        answers.saturating_record((change(admin, n)? * 1000.0) as u64);
    }
    let change_count = count as f64;
    let spent = process::cpu_time(id)?.since(&spent);
    let now = process::written(id)?;
    let kib = |bytes: f64| bytes / 1024.0 / change_count;
    let growth = process::directory_size(&place.state) as f64 - stored as f64;
    // Individual changes, each with all writes that follow it.
    let mut lone = (0.0, [0.0; 2]);
    let idle_period = idle_write_period(place);
    for (n, idle_period) in (0..LONE_CHANGES).filter_map(|n| Some((n, idle_period?))) {
        let (written, spent) = (
            wait_for_idle_writes(id, idle_period, stop)?,
            process::cpu_time(id)?,
        );
        let mut admin = running.service.admin_connection(place)?; // the service closes idle connections
        change(&mut admin, count + n)?;
        let now = wait_for_idle_writes(id, idle_period, stop)?;
        lone.0 += process::cpu_time(id)?.since(&spent).all() / LONE_CHANGES as f64;
        (0..2).for_each(|n| lone.1[n] += (now[n] - written[n]) / 1024.0 / LONE_CHANGES as f64);
    }
    let lone = [
        ("a lone change and what follows, all threads, ms", lone.0),
        ("a lone change and what follows, written, KiB", lone.1[0]),
        (
            "a lone change and what follows, written to disk, KiB",
            lone.1[1],
        ),
    ];
    let mut cost: Vec<(&'static str, f64)> =
        lone.into_iter().filter(|_| idle_period.is_some()).collect();
    cost.extend([
        ("a change, serving thread, ms", spent.serving / change_count),
        ("a change, admin thread, ms", spent.admin / change_count),
        ("a change, other threads, ms", spent.others / change_count),
        ("a change, written, KiB", kib(now[0] - written[0])),
        ("a change, written to disk, KiB", kib(now[1] - written[1])),
        ("a change, state grows, KiB", kib(growth)),
    ]);
    // Changes while a client probes the loop continuously.
    *admin = running.service.admin_connection(place)?; // the service closes idle connections
    let (stop_probes, address) = (AtomicBool::new(false), running.public_address()?);
    let (windows, probes) = thread::scope(|threads| {
        let prober = threads.spawn(|| probe_loop(address, &stop_probes));
        let changed = (0..count)
            .map(|n| -> io::Result<(Instant, f64)> {
                thread::sleep(PROBE_MARGIN);
                let began = Instant::now();
                let answer = change(admin, n)?;
                thread::sleep(PROBE_MARGIN);
                Ok((began, answer))
            })
            .collect::<io::Result<Vec<_>>>();
        // The same number of windows without a change, of the median length of those with one.
        let span = Duration::from_secs_f64(quantiles(&answers)[0] / 1000.0);
        let unchanged: Vec<Instant> = (0..count)
            .map(|_| {
                let began = Instant::now();
                thread::sleep(span + PROBE_MARGIN);
                began
            })
            .collect();
        stop_probes.store(true, Ordering::Relaxed);
        let probes = prober
            .join()
            .map_err(|_| io::Error::other("a client panicked"))?;
        Ok::<_, io::Error>(((changed?, unchanged), probes?))
    })?;
    let max_pause = |from: Instant, span: Duration| {
        let to = from + span + PROBE_MARGIN;
        let within = probes
            .iter()
            .filter(|(sent, took)| *sent < to && *sent + *took > from);
        within
            .map(|(_, took)| 1000.0 * took.as_secs_f64())
            .fold(0.0, f64::max)
    };
    let median = Duration::from_secs_f64(quantiles(&answers)[0] / 1000.0);
    let with: Vec<f64> = windows
        .0
        .iter()
        .map(|(b, ms)| max_pause(*b, Duration::from_secs_f64(ms / 1000.0)))
        .collect();
    let without: Vec<f64> = windows.1.iter().map(|b| max_pause(*b, median)).collect();
    let median_and_max = |all: &[f64]| {
        [
            crate::service::quantile(all, 0.5),
            crate::service::quantile(all, 1.0),
        ]
    };
    Ok((
        cost,
        [
            quantiles(&answers),
            median_and_max(&with),
            median_and_max(&without),
        ],
    ))
}

/// Requests `/up` up to 1000 times per second until `stop` is set; returns the send time and duration of each request.
fn probe_loop(address: SocketAddr, stop: &AtomicBool) -> io::Result<Vec<(Instant, Duration)>> {
    let mut connection = HttpConnection::new(address, "");
    let mut probes = Vec::new();
    while !stop.load(Ordering::Relaxed) {
        let sent = Instant::now();
        let (status, _) = connection.call("GET", "/up", "", "")?;
        if status != 200 {
            return Err(io::Error::other(format!(
                "/up was answered with status {status}"
            )));
        }
        probes.push((sent, sent.elapsed()));
        thread::sleep(PROBE_INTERVAL.saturating_sub(sent.elapsed()));
    }
    Ok(probes)
}

/// Sends first requests for inactive tenants, each followed by one for the busy tenant. Returns the median and the 99th
/// percentile in ms of both kinds, and the number of rejected requests.
fn measure_first_requests(
    address: SocketAddr,
    tenants: usize,
    activated: usize,
    stop: &Stop,
) -> io::Result<([[f64; 2]; 2], u64)> {
    let count = activated.min(tenants.saturating_sub(2));
    let mut busy = HttpConnection::new(address, BUSY_TENANT_HEADER);
    let (mut first, mut beside, mut not_served) = (histogram()?, histogram()?, 0);
    for n in 0..count {
        stop.check()?;
        let headers = format!("X-Tenant-Id: t{:05}\r\n", 2 + n * (tenants - 2) / count);
        // Opens the connection first, so that only the tenant is new.
        let mut connection = HttpConnection::new(address, "");
        connection.call("GET", "/up", "", "")?;
        for (connection, headers, latencies) in [
            (&mut connection, &headers[..], &mut first),
            (&mut busy, "", &mut beside),
        ] {
            match send_lookup(connection, headers)? {
                Some(ms) => latencies.saturating_record((1000.0 * ms) as u64),
                None => not_served += 1,
            }
        }
    }
    Ok(([quantiles(&first), quantiles(&beside)], not_served))
}

/// Runs the sweep.
///
/// # Errors
/// The working directory could not be removed.
pub fn sweep(
    by: By,
    sizes: &[Size],
    care: &Care,
    command: String,
    setting: &Setting,
) -> io::Result<Sweep> {
    let tenants = sizes.first().map_or(0, |s| s.tenants);
    let name = match (by, sizes.first().map(|s| s.shape)) {
        (By::Tenants, Some(Shape::Own)) => "tenants with four servers of their own each".into(),
        (By::Tenants, _) => "tenants that share services and sets of classes".into(),
        (By::Routes, _) => format!("routes (sets of classes) of {tenants} tenants"),
        (By::Services, _) => format!("services of {tenants} tenants"),
    };
    let mut sweep = Sweep {
        name,
        command,
        ..Sweep::default()
    };
    measure_in_turn(
        &mut sweep,
        setting,
        sizes,
        Size::sizes_by_name,
        |command, size, figures| measure(command, size, care, setting, figures),
    );
    let (size, target) = by.target();
    for figure in LINE_FIGURES {
        sweep.line(figure, size, target);
    }
    match std::fs::remove_dir_all(&setting.dir) {
        Err(e) if e.kind() != io::ErrorKind::NotFound => Err(e),
        _ => Ok(sweep),
    }
}

/// Figures for which a line is fitted.
const LINE_FIGURES: [&str; 18] = [
    "memory, MiB",
    "memory at rest, MiB",
    "peak, MiB",
    "start to ready, ms",
    "processor time to first answer, ms",
    "first seconds, % of a core",
    "idle, % of a core",
    "a change, serving thread, ms",
    "a change, admin thread, ms",
    "a change, written, KiB",
    "a lone change and what follows, all threads, ms",
    "a lone change and what follows, written, KiB",
    "loop's pause by a change p50, ms",
    "change to effect p50, ms",
    "busy lookups p99, ms",
    "busy lookups after a restart p99, ms",
    "first request of one at rest p99, ms",
    "all of the state, KiB",
];
