//! Tenants, routes and services of one process: memory, start, what a change costs and how long it holds the serving loop up,
//! bytes stored, and what a request of a busy tenant and of one at rest waits for.

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

/// Tenants of one call that makes them.
const BATCH: usize = 1000;
/// When the start is over and its memory is looked at.
const SETTLED: Duration = Duration::from_secs(5);
/// How long the loop is asked without a change, and from a change's answer on.
const AFTER: Duration = Duration::from_millis(20);
/// Changes that are made one by one.
const LONES: u64 = 2;
/// Bytes that a process writes to wake its own threads.
const FEW: f64 = 1024.0;
/// A process that has written nothing for so long has written all that its last change leads to: what is kept aside is so at most
/// once a second...
const STILL: Duration = Duration::from_millis(1300);
/// ...and at most so many bytes a second of it, over time, so that a long one comes later.
const ASIDE_RATE: f64 = 256.0 * 1024.0;
/// What comes later than this is not waited for: what a lone change writes is not measured there.
const LATEST: Duration = Duration::from_secs(15);
/// One that is not still by then is not waited for.
const LONGEST: Duration = Duration::from_secs(45);
/// From one ping to the next.
const PING: Duration = Duration::from_millis(1);

/// What the tenants have.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Shape {
    /// Two classes, the same for all, and a list of four servers of its own each.
    Own,
    /// As at the target: many share a service's list of 17 or 18 servers, and one of so many sets of classes.
    Shared,
}

impl Shape {
    /// All of them, with the names that the command line has for them.
    pub const ALL: [(&str, Shape); 2] = [("own", Shape::Own), ("shared", Shape::Shared)];
}

/// By which size a sweep goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum By {
    /// Tenants, and the part of the target's services and routes that goes with them.
    Tenants,
    /// Routes, which are sets of classes here: tenants and services stay as many.
    Routes,
    /// Services of 17 or 18 servers each: tenants and routes stay as many.
    Services,
}

impl By {
    /// All of them, with the names that the command line has for them.
    pub const ALL: [(&str, By); 3] = [
        ("tenants", By::Tenants),
        ("routes", By::Routes),
        ("services", By::Services),
    ];

    /// The name of its size, and how many there are at the target.
    fn target(self) -> (&'static str, f64) {
        match self {
            By::Tenants => ("tenants", target::TENANTS),
            By::Routes => ("routes", target::ROUTES),
            By::Services => ("services", target::SERVICES),
        }
    }
}

/// How many tenants of what shape, and how long it is measured.
#[derive(Clone, Copy, Debug)]
pub struct Size {
    /// What they have.
    pub shape: Shape,
    /// How many there are.
    pub tenants: usize,
    /// How many services, of 17 or 18 servers each.
    pub services: usize,
    /// How many sets of classes.
    pub routes: usize,
}

impl Size {
    /// So many tenants, and in their shape the part of the target's services and sets of classes that goes with them.
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

    /// So many tenants of the target's shape with another number of their routes or services.
    pub fn apart(by: By, count: usize, tenants: usize) -> Self {
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

    /// How many servers there are in all services.
    pub fn servers(&self) -> usize {
        (0..self.services).map(of_service).sum()
    }

    fn named(&self) -> BTreeMap<String, f64> {
        let mut all = vec![("tenants", self.tenants), ("routes", self.routes)];
        if self.shape == Shape::Shared {
            all.extend([("services", self.services), ("servers", self.servers())]);
        }
        all.into_iter()
            .map(|(name, n)| (name.to_owned(), n as f64))
            .collect()
    }

    /// What it needs of the machine.
    pub fn needs(&self) -> Needs {
        // By what was measured of a build that keeps all tenants awake in full, and a half more (docs/CAPACITY.md).
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

/// Servers of a service: 17 or 18, so that 680 services have 12,000.
pub fn of_service(n: usize) -> usize {
    17 + usize::from(n % 17 < 11)
}

/// How thoroughly it is measured.
#[derive(Clone, Copy, Debug)]
pub struct Care {
    /// Changes of each kind.
    pub changes: u64,
    /// What counts as the first seconds after a start.
    pub first: Duration,
    /// How long the process is left alone after its start before idle time is measured.
    pub rest: Duration,
    /// How long that is measured.
    pub idle: Duration,
    /// How long the busy tenant is asked each time.
    pub load: Duration,
    /// Tenants at rest that are asked for the first time.
    pub woken: usize,
}

impl Care {
    /// As the figures of the page are measured.
    pub const FULL: Care = Care {
        changes: 40,
        first: Duration::from_secs(10),
        rest: Duration::from_secs(17),
        idle: Duration::from_secs(3),
        load: Duration::from_secs(3),
        woken: 200,
    };
    /// For a small sweep: what is at rest after 10 s is.
    pub const SMALL: Care = Care {
        changes: 8,
        first: Duration::from_secs(3),
        rest: Duration::from_secs(3),
        idle: Duration::from_secs(1),
        load: Duration::from_secs(1),
        woken: 50,
    };
    /// For counts and bytes alone, which no time has a part in.
    pub const COUNTS: Care = Care {
        changes: 8,
        first: Duration::ZERO,
        rest: Duration::ZERO,
        idle: Duration::from_millis(100),
        load: Duration::from_millis(200),
        woken: 20,
    };
}

/// The servers behind the tenants.
enum Behind {
    Own(ServerFleet),
    /// The addresses of each service.
    Shared(
        Vec<Vec<SocketAddr>>,
        #[expect(dead_code, reason = "ends the processes")] Vec<ServerProcess>,
    ),
}

impl Behind {
    fn start(size: &Size, setting: &Setting) -> io::Result<Self> {
        if size.shape == Shape::Own {
            return ServerFleet::start().map(Behind::Own);
        }
        let work = Duration::from_millis(20);
        let (started, addresses) =
            servers::start(&setting.own, size.servers(), work, &setting.stop)?;
        let mut left = addresses.into_iter();
        let lists = (0..size.services)
            .map(|n| left.by_ref().take(of_service(n)).collect())
            .collect();
        Ok(Behind::Shared(lists, started))
    }

    fn document(&self, size: &Size, n: usize) -> Value {
        match self {
            Behind::Own(fleet) => document(n, &fleet.quiet),
            Behind::Shared(lists, _) => {
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

/// A service, which ends when the sweep is stopped.
struct Running {
    // Before the service, which is waited for when it is dropped.
    #[expect(dead_code, reason = "ends the process when the sweep is stopped")]
    watched: Option<super::stop::Watched>,
    service: Service,
}

impl Running {
    fn start(command: &[String], place: &ServiceFiles, stop: &Stop) -> io::Result<Self> {
        stop.check()?;
        let mut watched = None;
        let service = Service::start_with_process_id(command, &place.config, 1, true, |id| {
            watched = stop.watch(id)
        })?;
        Ok(Running { watched, service })
    }

    fn public(&self) -> io::Result<SocketAddr> {
        self.service.listener("public")
    }
}

/// Which tenant is busy.
const BUSY: &str = "X-Tenant-Id: t00000\r\n";

/// How long a lookup took in ms, if it was served.
fn asked(line: &mut HttpConnection, headers: &str) -> io::Result<Option<f64>> {
    let began = Instant::now();
    match line.call("GET", "/lookup/1", headers, "")? {
        (200, _) => Ok(Some(ms(began))),
        (503, _) => Ok(None),
        (status, _) => Err(io::Error::other(format!("a lookup got {status}"))),
    }
}

/// How long a process writes nothing that has written all that its last change leads to; none where that is too long to wait for.
fn still(place: &ServiceFiles) -> Option<Duration> {
    let aside = std::fs::metadata(place.state.join("last-good.snapshot")).map_or(0, |m| m.len());
    Some(STILL + Duration::from_secs_f64(aside as f64 / ASIDE_RATE))
        .filter(|still| *still <= LATEST)
}

/// Waits until a process has written nothing for so long, such as what it keeps aside after a change.
fn quiet(id: u32, still: Duration, stop: &Stop) -> io::Result<[f64; 2]> {
    let end = Instant::now() + LONGEST;
    loop {
        let before = process::written(id)?;
        stop.sleep(still)?;
        let now = process::written(id)?;
        if now[0] - before[0] < FEW && now[1] <= before[1] || Instant::now() > end {
            return Ok(now);
        }
    }
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
    let behind = Behind::start(size, setting)?;
    let place = ServiceFiles::new(&setting.dir, "[process]\nserver-sockets = 8192\n")?;
    let mut running = Running::start(command, &place, &setting.stop)?;
    let done = measured(
        command,
        size,
        care,
        setting,
        &behind,
        &place,
        &mut running,
        figures,
    );
    check_exit(&mut running.service, done)
}

/// What an error of a call means if the process has ended: that it did.
pub(super) fn check_exit<T>(service: &mut Service, done: io::Result<T>) -> io::Result<T> {
    // A call fails a little before the system has the process's end.
    let end = Instant::now() + Duration::from_millis(200);
    loop {
        if let Some(status) = service.exit_status() {
            return Err(io::Error::other(format!("the service ended: {status}")));
        }
        if done.is_ok() || Instant::now() >= end {
            return done;
        }
        thread::sleep(Duration::from_millis(10));
    }
}

#[expect(
    clippy::too_many_arguments,
    reason = "all that a measurement needs, in one place"
)]
fn measured(
    command: &[String],
    size: &Size,
    care: &Care,
    setting: &Setting,
    behind: &Behind,
    place: &ServiceFiles,
    running: &mut Running,
    figures: &mut BTreeMap<String, f64>,
) -> io::Result<()> {
    let stop = &setting.stop;
    let mut put = |name: &str, value: f64| {
        figures.insert(name.to_owned(), value);
    };

    let mut admin = running.service.admin_connection(place)?;
    let began = Instant::now();
    for batch in (0..size.tenants).collect::<Vec<_>>().chunks(BATCH) {
        stop.check()?;
        let all: Vec<Value> = batch.iter().map(|n| behind.document(size, *n)).collect();
        admin.json("POST", "/v1/apply", "", &json!({ "tenant": all }))?;
    }
    put("made in, s", began.elapsed().as_secs_f64());
    put(
        "peak while made, MiB",
        process::memory(running.service.id())?.peak,
    );

    // The restart, by which memory is measured without what making them left behind.
    running.service.kill();
    let began = Instant::now();
    *running = Running::start(command, place, stop)?;
    let id = running.service.id();
    put("start to ready, ms", ms(began));
    let ready = Instant::now();
    let mut line = HttpConnection::new(running.public()?, BUSY);
    let mut refused = 0.0;
    while asked(&mut line, "")?.is_none() {
        refused += 1.0;
        stop.sleep(Duration::from_millis(5))?;
    }
    put("start to first answer, ms", ms(began));
    put("refused before the first answer", refused);
    put(
        "processor time to first answer, ms",
        process::cpu_time(id)?.all(),
    );
    put("memory at ready, MiB", process::memory(id)?.resident);
    // A first answer that comes later leaves nothing of the first seconds to measure.
    let (at_ready, in_time) = (process::cpu_time(id)?, ready.elapsed() < care.first);
    stop.sleep(SETTLED.min(care.first).saturating_sub(ready.elapsed()))?;
    put("memory, MiB", process::memory(id)?.resident);
    stop.sleep(care.first.saturating_sub(ready.elapsed()))?;
    let part = |spent: CpuTime, over: Duration| 100.0 * spent.all() / (1000.0 * over.as_secs_f64());
    if in_time {
        put(
            "first seconds, % of a core",
            part(process::cpu_time(id)?.since(&at_ready), ready.elapsed()),
        );
    }
    stop.sleep(care.rest.saturating_sub(ready.elapsed()))?;
    let (before, from) = (process::cpu_time(id)?, Instant::now());
    stop.sleep(care.idle)?;
    put(
        "idle, % of a core",
        part(process::cpu_time(id)?.since(&before), from.elapsed()),
    );
    put("memory at rest, MiB", process::memory(id)?.resident);

    let mut admin = running.service.admin_connection(place)?;
    let (cost, [answer, pause, without]) =
        changes(&mut admin, running, place, size.tenants, care.changes, stop)?;
    cost.iter().for_each(|(name, value)| put(name, *value));
    put("a change of one at rest to its answer p50, ms", answer[0]);
    put("a change of one at rest to its answer p99, ms", answer[1]);
    put("loop's pause by a change p50, ms", pause[0]);
    put("loop's pause by a change, longest, ms", pause[1]);
    put("loop's pause without p50, ms", without[0]);
    put("loop's pause without, longest, ms", without[1]);

    let mut admin = running.service.admin_connection(place)?; // one that is idle for long is closed
    let mut load = Measured::default();
    under_load(
        &mut admin,
        running.public()?,
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

    let ([first, busy], lost) = first_requests(running.public()?, size.tenants, care.woken, stop)?;
    put("first requests of ones at rest not served", lost as f64);
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

    // And what lookups see right after a start.
    running.service.kill();
    *running = Running::start(command, place, stop)?;
    let (told, at) = (AtomicBool::new(false), running.public()?);
    let (seen, lost) = thread::scope(|threads| {
        let asking = threads.spawn(|| lookups(at, &told));
        let slept = stop.sleep(care.load);
        told.store(true, Ordering::Relaxed);
        let seen = asking
            .join()
            .map_err(|_| io::Error::other("a client panicked"))?;
        slept.and(seen)
    })?;
    // Where none was answered there is no quantile, and no zero.
    if !seen.is_empty() {
        put("busy lookups after a restart p50, ms", quantiles(&seen)[0]);
        put("busy lookups after a restart p99, ms", quantiles(&seen)[1]);
    }
    put("busy lookups after a restart not served", lost as f64);
    Ok(())
}

/// What changes of a tenant at rest cost: figures by name, and in ms the median and the 99th percentile of their answers, and the
/// median and the longest of the loop's pauses beside them and without.
type Cost = (Vec<(&'static str, f64)>, [[f64; 2]; 3]);

fn changes(
    admin: &mut HttpConnection,
    running: &Running,
    place: &ServiceFiles,
    tenants: usize,
    many: u64,
    stop: &Stop,
) -> io::Result<Cost> {
    let changed = if tenants > 1 { "t00001" } else { "t00000" };
    let id = running.service.id();
    let body = json!({ "effect": "safe", "aim": "300 ms", "deadline": "1 s" });
    let change = |admin: &mut HttpConnection, n: u64| -> io::Result<f64> {
        stop.check()?;
        // One more, and away with it: each is a change, and the state stays as it is.
        let target = format!("/v1/tenants/{changed}/classes/x{}", n / 2);
        let began = Instant::now();
        match n % 2 {
            0 => admin.json("PUT", &target, "", &body)?,
            _ => admin.json("DELETE", &target, "", &Value::Null)?,
        };
        Ok(ms(began))
    };
    let many = many.max(2) / 2 * 2;
    // Alone, so that processor time is the change's own.
    let (spent, written, stored) = (
        process::cpu_time(id)?,
        process::written(id)?,
        process::directory_size(&place.state),
    );
    let mut answers = histogram()?;
    for n in 0..many {
        answers.saturating_record((change(admin, n)? * 1000.0) as u64);
    }
    let each = many as f64;
    let spent = process::cpu_time(id)?.since(&spent);
    let now = process::written(id)?;
    let kib = |bytes: f64| bytes / 1024.0 / each;
    let grown = process::directory_size(&place.state) as f64 - stored as f64;
    // And one by one, as they come on a day, each with all that follows it.
    let mut lone = (0.0, [0.0; 2]);
    let still = still(place);
    for (n, still) in (0..LONES).filter_map(|n| Some((n, still?))) {
        let (written, spent) = (quiet(id, still, stop)?, process::cpu_time(id)?);
        let mut admin = running.service.admin_connection(place)?; // one that is idle for long is closed
        change(&mut admin, many + n)?;
        let now = quiet(id, still, stop)?;
        lone.0 += process::cpu_time(id)?.since(&spent).all() / LONES as f64;
        (0..2).for_each(|n| lone.1[n] += (now[n] - written[n]) / 1024.0 / LONES as f64);
    }
    let lone = [
        ("a lone change and what follows, all threads, ms", lone.0),
        ("a lone change and what follows, written, KiB", lone.1[0]),
        (
            "a lone change and what follows, written to disk, KiB",
            lone.1[1],
        ),
    ];
    let mut cost: Vec<(&'static str, f64)> = lone.into_iter().filter(|_| still.is_some()).collect();
    cost.extend([
        ("a change, serving thread, ms", spent.serving / each),
        ("a change, admin thread, ms", spent.admin / each),
        ("a change, other threads, ms", spent.others / each),
        ("a change, written, KiB", kib(now[0] - written[0])),
        ("a change, written to disk, KiB", kib(now[1] - written[1])),
        ("a change, state grows, KiB", kib(grown)),
    ]);
    // Beside a client that asks the loop all the while.
    *admin = running.service.admin_connection(place)?; // one that is idle for long is closed
    let (told, at) = (AtomicBool::new(false), running.public()?);
    let (windows, pings) = thread::scope(|threads| {
        let pinging = threads.spawn(|| pings(at, &told));
        let changed = (0..many)
            .map(|n| -> io::Result<(Instant, f64)> {
                thread::sleep(AFTER);
                let began = Instant::now();
                let answer = change(admin, n)?;
                thread::sleep(AFTER);
                Ok((began, answer))
            })
            .collect::<io::Result<Vec<_>>>();
        // As many windows without a change, as long as the median one with it.
        let span = Duration::from_secs_f64(quantiles(&answers)[0] / 1000.0);
        let quiet: Vec<Instant> = (0..many)
            .map(|_| {
                let began = Instant::now();
                thread::sleep(span + AFTER);
                began
            })
            .collect();
        told.store(true, Ordering::Relaxed);
        let pings = pinging
            .join()
            .map_err(|_| io::Error::other("a client panicked"))?;
        Ok::<_, io::Error>(((changed?, quiet), pings?))
    })?;
    let longest = |from: Instant, span: Duration| {
        let to = from + span + AFTER;
        let within = pings
            .iter()
            .filter(|(sent, took)| *sent < to && *sent + *took > from);
        within
            .map(|(_, took)| 1000.0 * took.as_secs_f64())
            .fold(0.0, f64::max)
    };
    let typical = Duration::from_secs_f64(quantiles(&answers)[0] / 1000.0);
    let with: Vec<f64> = windows
        .0
        .iter()
        .map(|(b, ms)| longest(*b, Duration::from_secs_f64(ms / 1000.0)))
        .collect();
    let without: Vec<f64> = windows.1.iter().map(|b| longest(*b, typical)).collect();
    let both = |all: &[f64]| {
        [
            crate::service::quantile(all, 0.5),
            crate::service::quantile(all, 1.0),
        ]
    };
    Ok((cost, [quantiles(&answers), both(&with), both(&without)]))
}

/// Asks whether the service is up, a thousand times a second where it answers in time: when each was sent, and how long it took.
fn pings(at: SocketAddr, told: &AtomicBool) -> io::Result<Vec<(Instant, Duration)>> {
    let mut line = HttpConnection::new(at, "");
    let mut all = Vec::new();
    while !told.load(Ordering::Relaxed) {
        let sent = Instant::now();
        let (status, _) = line.call("GET", "/up", "", "")?;
        if status != 200 {
            return Err(io::Error::other(format!("/up got {status}")));
        }
        all.push((sent, sent.elapsed()));
        thread::sleep(PING.saturating_sub(sent.elapsed()));
    }
    Ok(all)
}

/// First requests of tenants at rest, each followed by one of the busy tenant: median and 99th percentile in ms of either, and how many of
/// all were refused.
fn first_requests(
    at: SocketAddr,
    tenants: usize,
    woken: usize,
    stop: &Stop,
) -> io::Result<([[f64; 2]; 2], u64)> {
    let many = woken.min(tenants.saturating_sub(2));
    let mut busy = HttpConnection::new(at, BUSY);
    let (mut first, mut beside, mut lost) = (histogram()?, histogram()?, 0);
    for n in 0..many {
        stop.check()?;
        let headers = format!("X-Tenant-Id: t{:05}\r\n", 2 + n * (tenants - 2) / many);
        // The connection is there already: it is the tenant that is asked for the first time.
        let mut line = HttpConnection::new(at, "");
        line.call("GET", "/up", "", "")?;
        for (line, headers, seen) in [
            (&mut line, &headers[..], &mut first),
            (&mut busy, "", &mut beside),
        ] {
            match asked(line, headers)? {
                Some(ms) => seen.saturating_record((1000.0 * ms) as u64),
                None => lost += 1,
            }
        }
    }
    Ok(([quantiles(&first), quantiles(&beside)], lost))
}

/// Plays the sweep.
///
/// # Errors
/// Its files can't be removed.
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
        Size::named,
        |command, size, figures| measure(command, size, care, setting, figures),
    );
    let (size, target) = by.target();
    for figure in LINES {
        sweep.line(figure, size, target);
    }
    match std::fs::remove_dir_all(&setting.dir) {
        Err(e) if e.kind() != io::ErrorKind::NotFound => Err(e),
        _ => Ok(sweep),
    }
}

/// What lines are drawn of.
const LINES: [&str; 18] = [
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
