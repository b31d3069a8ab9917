//! Measures one service with many tenants, most of them idle: cost per tenant, and latency of a change and a restart.

use std::fmt::Write as _;
use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use fair_share::{ProcessCapacity, TenantId, TenantLimiter, TenantQuota};
use hdrhistogram::Histogram;
use serde_json::{Value, json};

use super::{HttpConnection, Service, ServiceFiles};
use crate::floods::fleet::ServerFleet;
use crate::real::{cpu_seconds, resident_mb};

/// Lookups per second of the only active tenant.
const LOOKUP_RATE: f64 = 200.0;
/// Servers of each tenant.
const SERVERS_PER_TENANT: usize = 4;

/// Measurements with one number of tenants.
#[derive(Clone, Debug, Default)]
pub struct Measured {
    /// Number of tenants.
    pub tenants: usize,
    /// Latency of the call that creates all tenants, in ms.
    pub create_ms: f64,
    /// Resident memory with all tenants idle, in MiB: after their creation and after a restart.
    pub resident_mb: [f64; 2],
    /// CPU use with all tenants idle, as a fraction of a core.
    pub idle_cpu: f64,
    /// Time from process start to the first response of a tenant's server, in ms.
    pub restart_ms: f64,
    /// Time from sending a change to the first request that uses it, under load, in ms: median and 99th percentile.
    pub effect_ms: [f64; 2],
    /// Time from sending a change to its response, in ms: median and 99th percentile.
    pub answer_ms: [f64; 2],
    /// 99th percentile of lookup latency in ms, without and during changes.
    pub lookup_p99_ms: [f64; 2],
    /// Median lookup latency in ms, without and during changes.
    pub lookup_p50_ms: [f64; 2],
    /// Number of lookups not served, and of all lookups.
    pub lost: [u64; 2],
    /// Time to admit and end one request in the tenant limiter, in ns, with a tenth of the tenants active.
    pub admission_ns: f64,
}

pub(crate) fn document(n: usize, servers: &[SocketAddr]) -> Value {
    let server = |(i, a): (usize, &SocketAddr)| json!({ "name": format!("s{i}"), "address": a, "size": 16.0 });
    json!({
        "name": format!("t{n:05}"),
        "hosts": [format!("t{n:05}.example")],
        "class": [
            { "name": "lookup", "effect": "safe", "aim": "300 ms", "deadline": "1 s", "late-worth": "50 %" },
            { "name": "checkout", "effect": "unsafe", "aim": "500 ms", "deadline": "2 s", "worth": 5.0 },
        ],
        "server": servers.iter().cycle().take(SERVERS_PER_TENANT).enumerate().map(server).collect::<Vec<_>>(),
    })
}

/// Measures a service with `tenants` tenants: idle cost after an idle time of `idle`, then `changes` changes under load.
///
/// # Errors
/// The service does not start, or rejects a change.
pub fn measure(
    command: &[String],
    tenants: usize,
    idle: Duration,
    changes: u64,
    dir: &Path,
) -> io::Result<Measured> {
    let fleet = ServerFleet::start()?;
    let files = ServiceFiles::new(dir, "")?;
    let mut service = Service::start(command, &files.config, 1, true)?;
    let mut admin = service.admin_connection(&files)?;
    let mut measured = Measured {
        tenants,
        ..Measured::default()
    };
    let all: Vec<Value> = (0..tenants).map(|n| document(n, &fleet.quiet)).collect();
    let began = Instant::now();
    admin.json("POST", "/v1/apply", "", &json!({ "tenant": all }))?;
    measured.create_ms = ms(began);

    thread::sleep(idle);
    let cpu = |service: &Service| cpu_seconds(service.id()).unwrap_or(0.0);
    let (before, began) = (cpu(&service), Instant::now());
    thread::sleep((idle / 3).max(Duration::from_millis(100)));
    measured.idle_cpu = (cpu(&service) - before) / began.elapsed().as_secs_f64();
    measured.resident_mb[0] = resident_mb(service.id()).unwrap_or(0.0);

    service.kill();
    let began = Instant::now();
    service = Service::start(command, &files.config, 1, true)?;
    let at = service
        .listeners
        .get("public")
        .copied()
        .ok_or_else(|| io::Error::other("the service has no public listener"))?;
    let one = "X-Tenant-Id: t00000\r\n";
    let (status, _) = HttpConnection::new(at, one).call("GET", "/lookup/1", "", "")?;
    measured.restart_ms = ms(began);
    if status != 200 {
        return Err(io::Error::other(format!(
            "the first lookup got status {status}"
        )));
    }
    measured.resident_mb[1] = resident_mb(service.id()).unwrap_or(0.0);
    let mut admin = service.admin_connection(&files)?;
    under_load(
        &mut admin,
        at,
        changes,
        Duration::from_secs(3),
        &mut measured,
    )?;
    measured.admission_ns = measure_admission(tenants);
    Ok(measured)
}

pub(crate) fn ms(since: Instant) -> f64 {
    since.elapsed().as_secs_f64() * 1000.0
}

pub(crate) fn histogram() -> io::Result<Histogram<u64>> {
    Histogram::new_with_bounds(1, 60_000_000, 3).map_err(io::Error::other)
}

pub(crate) fn quantiles(all: &Histogram<u64>) -> [f64; 2] {
    [0.5, 0.99].map(|q| all.value_at_quantile(q) as f64 / 1000.0)
}

/// Latencies of lookups in us, and the number not served.
pub(crate) type LookupResult = io::Result<(Histogram<u64>, u64)>;

/// Sends lookups on schedule from several connections until `stop` is set.
pub(crate) fn lookups(at: SocketAddr, stop: &AtomicBool) -> LookupResult {
    const CONNECTIONS: u32 = 8;
    let one = |n: u32| -> LookupResult {
        let (mut latencies, mut lost) = (histogram()?, 0);
        let mut connection = HttpConnection::new(at, "X-Tenant-Id: t00000\r\n");
        let interval = Duration::from_secs_f64(f64::from(CONNECTIONS) / LOOKUP_RATE);
        let mut due = Instant::now() + interval.mul_f64(f64::from(n) / f64::from(CONNECTIONS));
        while !stop.load(Ordering::Relaxed) {
            thread::sleep(due.saturating_duration_since(Instant::now()));
            match connection.call("GET", "/lookup/1", "", "") {
                Ok((200, _)) => latencies.saturating_record(due.elapsed().as_micros() as u64),
                _ => lost += 1,
            }
            due += interval;
        }
        Ok((latencies, lost))
    };
    thread::scope(|threads| {
        let all: Vec<_> = (0..CONNECTIONS)
            .map(|n| threads.spawn(move || one(n)))
            .collect();
        let (mut latencies, mut lost) = (histogram()?, 0);
        for one in all {
            let (other, other_lost) = one
                .join()
                .map_err(|_| io::Error::other("a client panicked"))??;
            latencies.add(other).map_err(io::Error::other)?;
            lost += other_lost;
        }
        Ok((latencies, lost))
    })
}

/// Measures lookups without changes for the duration `alone`, then during changes.
pub(crate) fn under_load(
    admin: &mut HttpConnection,
    at: SocketAddr,
    changes: u64,
    alone: Duration,
    measured: &mut Measured,
) -> io::Result<()> {
    let stop = AtomicBool::new(false);
    let alone = thread::scope(|threads| {
        let lookups = threads.spawn(|| lookups(at, &stop));
        thread::sleep(alone);
        stop.store(true, Ordering::Relaxed);
        lookups
            .join()
            .map_err(|_| io::Error::other("a client panicked"))?
    })?;
    stop.store(false, Ordering::Relaxed);
    let (mut effects, mut answers) = (histogram()?, histogram()?);
    let beside = thread::scope(|threads| {
        let lookups = threads.spawn(|| lookups(at, &stop));
        let changed = (1..=changes).try_for_each(|n| {
            let (effect, answer) = change(admin, at, n)?;
            effects.saturating_record(effect.as_micros() as u64);
            answers.saturating_record(answer.as_micros() as u64);
            thread::sleep(Duration::from_millis(20));
            Ok::<_, io::Error>(())
        });
        stop.store(true, Ordering::Relaxed);
        let beside = lookups
            .join()
            .map_err(|_| io::Error::other("a client panicked"))?;
        changed.and(beside)
    })?;
    measured.effect_ms = quantiles(&effects);
    measured.answer_ms = quantiles(&answers);
    measured.lookup_p50_ms = [quantiles(&alone.0)[0], quantiles(&beside.0)[0]];
    measured.lookup_p99_ms = [quantiles(&alone.0)[1], quantiles(&beside.0)[1]];
    let total = |(latencies, lost): &(Histogram<u64>, u64)| latencies.len() + lost;
    measured.lost = [alone.1 + beside.1, total(&alone) + total(&beside)];
    Ok(())
}

/// Adds a class to the active tenant and sends requests until one uses it; returns the times to effect and to response.
fn change(admin: &mut HttpConnection, at: SocketAddr, n: u64) -> io::Result<(Duration, Duration)> {
    let class = format!("c{n}");
    let body = json!({ "effect": "safe", "aim": "300 ms", "deadline": "1 s" });
    let began = Instant::now();
    let (latencies, answered) = thread::scope(|threads| {
        let poller = threads.spawn(|| -> io::Result<Duration> {
            let mut connection = HttpConnection::new(at, "X-Tenant-Id: t00000\r\n");
            // An unknown class is rejected immediately; a known one takes the server's response time.
            loop {
                let total = Instant::now();
                let (status, _) = connection.call("GET", &format!("/{class}/1"), "", "")?;
                if status != 404 {
                    return Ok(total.duration_since(began));
                }
                if began.elapsed() > Duration::from_secs(30) {
                    return Err(io::Error::other("a change took no effect within 30 s"));
                }
            }
        });
        let answered = admin
            .json(
                "PUT",
                &format!("/v1/tenants/t00000/classes/{class}"),
                "",
                &body,
            )
            .map(|_| began.elapsed());
        let latencies = poller
            .join()
            .map_err(|_| io::Error::other("a client panicked"));
        let answered = answered?; // reported first: a failed change never takes effect
        Ok::<_, io::Error>((latencies??, answered))
    })?;
    admin.json(
        "DELETE",
        &format!("/v1/tenants/t00000/classes/{class}"),
        "",
        &Value::Null,
    )?;
    Ok((latencies, answered))
}

/// Measures the tenant limiter's time per request, in ns.
fn measure_admission(tenants: usize) -> f64 {
    let capacity = ProcessCapacity {
        client_connections: 4096,
        in_flight_requests: 2048,
        buffered_bytes: 64 << 20,
        processing_time_ratio: 0.85,
        rejection_time_ratio: 0.1,
        idle_reserve_ratio: 0.0625,
    };
    let mut limiter = TenantLimiter::new(capacity);
    (0..tenants).for_each(|n| limiter.set_quota(0.0, TenantId(n), &TenantQuota::default()));
    let active = (tenants / 10).max(1);
    let rounds = 200_000;
    let began = Instant::now();
    for n in 0..rounds {
        let (now, tenant) = (n as f64 * 0.05, TenantId(n % active));
        if limiter.begin_request(now, tenant, 500).is_ok() {
            limiter.charge_processing(now, tenant, 0.02);
            limiter.end_request(tenant, 500, 20.0);
        }
    }
    began.elapsed().as_nanos() as f64 / rounds as f64
}

/// Formats the measurements: one row per figure, one column per service.
pub fn table(all: &[Measured]) -> String {
    type Format = fn(&Measured) -> String;
    let rows: [(&str, Format); 11] = [
        ("tenants", |m| m.tenants.to_string()),
        ("all made at once, ms", |m| format!("{:.0}", m.create_ms)),
        ("memory, made / restarted, MiB", |m| {
            format!("{:.1} / {:.1}", m.resident_mb[0], m.resident_mb[1])
        }),
        ("idle CPU, % of a core", |m| {
            format!("{:.2}", 100.0 * m.idle_cpu)
        }),
        ("restart to first answer, ms", |m| {
            format!("{:.0}", m.restart_ms)
        }),
        ("change to effect p50 / p99, ms", |m| {
            format!("{:.1} / {:.1}", m.effect_ms[0], m.effect_ms[1])
        }),
        ("change to answer p50 / p99, ms", |m| {
            format!("{:.1} / {:.1}", m.answer_ms[0], m.answer_ms[1])
        }),
        ("lookups' p99 alone, ms", |m| {
            format!("{:.1}", m.lookup_p99_ms[0])
        }),
        ("lookups' p99 beside changes, ms", |m| {
            format!("{:.1}", m.lookup_p99_ms[1])
        }),
        ("lookups not served", |m| {
            format!("{} of {}", m.lost[0], m.lost[1])
        }),
        ("admission and end, ns", |m| {
            format!("{:.0}", m.admission_ns)
        }),
    ];
    let mut text = String::new();
    for (name, of) in rows {
        let cells: String = all.iter().map(|m| format!(" {:>18}", of(m))).collect();
        let _ = writeln!(text, "{name:<32}{cells}"); // writing to a string cannot fail
    }
    if let [first, .., last] = all {
        let other = (last.tenants - first.tenants).max(1) as f64;
        let kb = (last.resident_mb[1] - first.resident_mb[1]) * 1024.0 / other;
        let _ = writeln!(text, "each further idle tenant, restarted: {kb:.1} KiB");
    }
    text
}
