//! Many tenants in one service, most of them idle: what each costs, and how long a change and a restart take.

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

use super::{Line, Place, Service};
use crate::floods::fleet::Fleet;
use crate::real::{cpu_seconds, resident_mb};

/// Lookups a second of the one tenant that is not idle.
const RATE: f64 = 200.0;
/// Servers of each tenant.
const SERVERS: usize = 4;

/// What was measured with so many tenants.
#[derive(Clone, Debug, Default)]
pub struct Measured {
    /// How many there are.
    pub tenants: usize,
    /// From the call that makes them all to its answer, in ms.
    pub made_ms: f64,
    /// Resident memory with all of them idle, in MiB: after they were made, and after a restart.
    pub resident_mb: [f64; 2],
    /// The part of a core that they take while idle.
    pub idle_cpu: f64,
    /// From the start of a process to the first answer of a tenant's server, in ms.
    pub restart_ms: f64,
    /// From sending a change to the first request that sees it, under load, in ms: median and 99th percentile.
    pub effect_ms: [f64; 2],
    /// From sending a change to its answer, in ms: likewise.
    pub answer_ms: [f64; 2],
    /// The lookups' latency in ms, without changes and beside them: 99th percentile each.
    pub lookup_p99_ms: [f64; 2],
    /// Likewise: the median.
    pub lookup_p50_ms: [f64; 2],
    /// Lookups that were not served, of how many.
    pub lost: [u64; 2],
    /// Admission of one request and its end, in ns, with so many tenants in the account of which a tenth is active.
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
        "server": servers.iter().cycle().take(SERVERS).enumerate().map(server).collect::<Vec<_>>(),
    })
}

/// Measures a service with so many tenants; they are idle for `idle` before that is measured, and so many changes are made
/// under load.
///
/// # Errors
/// The service can't be had, or turns a change down.
pub fn measure(
    command: &[String],
    tenants: usize,
    idle: Duration,
    changes: u64,
    dir: &Path,
) -> io::Result<Measured> {
    let fleet = Fleet::start()?;
    let place = Place::new(dir, "")?;
    let mut service = Service::start(command, &place.config, 1, true)?;
    let mut admin = service.line(&place)?;
    let mut measured = Measured {
        tenants,
        ..Measured::default()
    };
    let all: Vec<Value> = (0..tenants).map(|n| document(n, &fleet.quiet)).collect();
    let began = Instant::now();
    admin.json("POST", "/v1/apply", "", &json!({ "tenant": all }))?;
    measured.made_ms = ms(began);

    thread::sleep(idle);
    let cpu = |service: &Service| cpu_seconds(service.id()).unwrap_or(0.0);
    let (before, began) = (cpu(&service), Instant::now());
    thread::sleep((idle / 3).max(Duration::from_millis(100)));
    measured.idle_cpu = (cpu(&service) - before) / began.elapsed().as_secs_f64();
    measured.resident_mb[0] = resident_mb(service.id()).unwrap_or(0.0);

    service.kill();
    let began = Instant::now();
    service = Service::start(command, &place.config, 1, true)?;
    let at = service
        .listeners
        .get("public")
        .copied()
        .ok_or_else(|| io::Error::other("it has no listener"))?;
    let one = "X-Tenant-Id: t00000\r\n";
    let (status, _) = Line::new(at, one).call("GET", "/lookup/1", "", "")?;
    measured.restart_ms = ms(began);
    if status != 200 {
        return Err(io::Error::other(format!("the first lookup got {status}")));
    }
    measured.resident_mb[1] = resident_mb(service.id()).unwrap_or(0.0);
    let mut admin = service.line(&place)?;
    under_load(
        &mut admin,
        at,
        changes,
        Duration::from_secs(3),
        &mut measured,
    )?;
    measured.admission_ns = admission(tenants);
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

/// What lookups saw: their latencies in us, and how many were not served.
pub(crate) type Seen = io::Result<(Histogram<u64>, u64)>;

/// Sends lookups at their times from several connections until told to stop.
pub(crate) fn lookups(at: SocketAddr, stop: &AtomicBool) -> Seen {
    const LINES: u32 = 8;
    let one = |n: u32| -> Seen {
        let (mut seen, mut lost) = (histogram()?, 0);
        let mut line = Line::new(at, "X-Tenant-Id: t00000\r\n");
        let gap = Duration::from_secs_f64(f64::from(LINES) / RATE);
        let mut due = Instant::now() + gap.mul_f64(f64::from(n) / f64::from(LINES));
        while !stop.load(Ordering::Relaxed) {
            thread::sleep(due.saturating_duration_since(Instant::now()));
            match line.call("GET", "/lookup/1", "", "") {
                Ok((200, _)) => seen.saturating_record(due.elapsed().as_micros() as u64),
                _ => lost += 1,
            }
            due += gap;
        }
        Ok((seen, lost))
    };
    thread::scope(|threads| {
        let all: Vec<_> = (0..LINES).map(|n| threads.spawn(move || one(n))).collect();
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

/// Lookups alone for a while, and beside changes.
pub(crate) fn under_load(
    admin: &mut Line,
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
    let asked = |(seen, lost): &(Histogram<u64>, u64)| seen.len() + lost;
    measured.lost = [alone.1 + beside.1, asked(&alone) + asked(&beside)];
    Ok(())
}

/// Gives the busy tenant a class, and asks until a request sees it.
fn change(admin: &mut Line, at: SocketAddr, n: u64) -> io::Result<(Duration, Duration)> {
    let class = format!("c{n}");
    let body = json!({ "effect": "safe", "aim": "300 ms", "deadline": "1 s" });
    let began = Instant::now();
    let (seen, answered) = thread::scope(|threads| {
        let sees = threads.spawn(|| -> io::Result<Duration> {
            let mut line = Line::new(at, "X-Tenant-Id: t00000\r\n");
            // A class that is not there is said so at once; one that is takes its server's time.
            loop {
                let asked = Instant::now();
                let (status, _) = line.call("GET", &format!("/{class}/1"), "", "")?;
                if status != 404 {
                    return Ok(asked.duration_since(began));
                }
                if began.elapsed() > Duration::from_secs(30) {
                    return Err(io::Error::other("a change was not seen"));
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
        let seen = sees
            .join()
            .map_err(|_| io::Error::other("a client panicked"));
        let answered = answered?; // first, as nothing is seen of what failed
        Ok::<_, io::Error>((seen??, answered))
    })?;
    admin.json(
        "DELETE",
        &format!("/v1/tenants/t00000/classes/{class}"),
        "",
        &Value::Null,
    )?;
    Ok((seen, answered))
}

/// What the account takes for a request, in ns.
fn admission(tenants: usize) -> f64 {
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

/// The figures, a line each, one column a service.
pub fn table(all: &[Measured]) -> String {
    type Of = fn(&Measured) -> String;
    let rows: [(&str, Of); 11] = [
        ("tenants", |m| m.tenants.to_string()),
        ("all made at once, ms", |m| format!("{:.0}", m.made_ms)),
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
        let _ = writeln!(text, "{name:<32}{cells}"); // a string takes all
    }
    if let [first, .., last] = all {
        let more = (last.tenants - first.tenants).max(1) as f64;
        let kb = (last.resident_mb[1] - first.resident_mb[1]) * 1024.0 / more;
        let _ = writeln!(text, "each further idle tenant, restarted: {kb:.1} KiB");
    }
    text
}
