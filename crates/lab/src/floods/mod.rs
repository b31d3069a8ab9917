//! Floods the hosted service: of two tenants with equal shares, one is quiet and one sends a flood of one of several kinds,
//! each of which loads a different shared resource. The quiet tenant is measured before and during the flood, in the same
//! run.

pub(crate) mod fleet;

use std::cell::{Cell, RefCell};
use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::rc::Rc;
use std::thread;
use std::time::{Duration, Instant};

use hdrhistogram::Histogram;
use rand_distr::{Distribution as _, Exp};
use tokio::net::TcpStream;
use tokio::task::{LocalSet, spawn_local};
use tokio::time::{sleep, sleep_until, timeout};

use crate::random::{Purpose, stream};
use crate::real::http::{Connection, StartLine};
use crate::service::{HttpConnection, Service};
use fleet::{LARGE_PATH_SUFFIX, ServerFleet};

/// A kind of flood and the resource that it loads.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// No flood: measures the quiet tenant twice, which shows the variation of the figures without a cause.
    Nothing,
    /// Lookups without a pause: event loop time.
    Requests,
    /// Large responses that are not read: sockets and memory.
    SlowReaders,
    /// Incomplete request heads: sockets.
    HalfHeads,
    /// Requests with bodies of nearly 64 KiB: memory.
    Bodies,
    /// A new connection per request: sockets and event loop time.
    Churn,
    /// Requests to servers that never respond: requests in flight.
    Hangs,
}

impl Kind {
    /// All kinds with their names.
    pub const ALL: [(&str, Kind); 7] = [
        ("nothing", Kind::Nothing),
        ("requests", Kind::Requests),
        ("slow-readers", Kind::SlowReaders),
        ("half-heads", Kind::HalfHeads),
        ("bodies", Kind::Bodies),
        ("churn", Kind::Churn),
        ("hangs", Kind::Hangs),
    ];

    fn name(self) -> &'static str {
        Self::ALL
            .iter()
            .find(|(_, k)| *k == self)
            .map_or("", |(name, _)| name)
    }
}

/// Results of the quiet tenant in one half of a run.
#[derive(Clone, Copy, Debug, Default)]
pub struct QuietTenantResult {
    /// Number of requests sent.
    pub sent: u64,
    /// Fraction of the requests served in time.
    pub served: f64,
    /// Latency of the served requests in ms, from their scheduled time: median and 99th percentile.
    pub latency_ms: [f64; 2],
}

/// Results of one flood.
#[derive(Clone, Copy, Debug)]
pub struct Flood {
    /// Kind of flood.
    pub kind: Kind,
    /// Results of the quiet tenant before and during the flood.
    pub quiet: [QuietTenantResult; 2],
    /// Requests per second sent by the flood, or connections if they never become requests.
    pub sent_per_s: f64,
    /// Flood requests served per second.
    pub served_per_s: f64,
    /// 99th percentile of the delay in sending the quiet tenant's requests, in ms; a run with more than a few ms is invalid.
    pub late_ms: f64,
    /// Number of changes made to the quiet tenant during the run.
    pub changes: u64,
}

impl Flood {
    /// Returns the name of the kind.
    pub fn name(&self) -> &'static str {
        self.kind.name()
    }
}

/// Request rate of the quiet tenant; its servers take 20 ms per request.
const QUIET_REQUESTS_PER_S: f64 = 200.0;
/// Concurrent connections of the flood.
const FLOOD_CONNECTIONS: usize = 512;
/// Time after which the quiet tenant gives up a request.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(1);
/// Start of a flood that is excluded from the measurement.
const WARM_UP: Duration = Duration::from_millis(500);

/// Returns the configuration of the process and both tenants. The process limits are small, so that one core can generate ten
/// times the load that they allow.
fn config(fleet: &ServerFleet, kind: Kind, state: Option<&Path>) -> String {
    let class = |name: &str, effect: &str| {
        format!(
            "[[tenant.class]]\nname = \"{name}\"\neffect = \"{effect}\"\naim = \"500 ms\"\ndeadline = \"1 s\"\nlate-worth = \
             \"50 %\"\n"
        )
    };
    let tenant = |name: &str, servers: &[SocketAddr]| {
        let server = |(n, a): (usize, &SocketAddr)| {
            format!("[[tenant.server]]\nname = \"{name}-{n}\"\naddress = \"{a}\"\nsize = 64\n")
        };
        let servers: String = servers.iter().enumerate().map(server).collect();
        format!(
            "[[tenant]]\nname = \"{name}\"\n{}{}{servers}",
            class("lookup", "safe"),
            class("checkout", "unsafe")
        )
    };
    let state = state.map_or(String::new(), |directory| {
        format!(
            "[state]\ndirectory = {:?}\n[admin]\naddress = \"127.0.0.1:0\"\n",
            directory.display().to_string()
        )
    });
    let servers = if kind == Kind::Hangs {
        &fleet.hanging
    } else {
        &fleet.flooded
    };
    [
        &state,
        "[process]\nsockets = 256\nin-flight = 128\nbytes = \"4 MiB\"\nloop-share = \"40 %\"\nturning-share = \"10 \
         %\"\nseed = 1\n",
        "[[listener]]\nname = \"quiet\"\naddress = \"127.0.0.1:0\"\ntenant-by = \"listener\"\ntenant = \"quiet\"\n",
        "[[listener]]\nname = \"flood\"\naddress = \"127.0.0.1:0\"\ntenant-by = \"listener\"\ntenant = \"flood\"\n",
        &tenant("quiet", &fleet.quiet),
        &tenant("flood", servers),
    ]
    .concat()
}

/// Floods a service once; `half_duration` is the length of each half, and `dir` holds the files. With `separate_process`, the
/// flood goes to a second process with the same configuration, which shows the part of the quiet tenant's loss that the machine
/// causes and not the shared process. With `with_changes`, the administration API keeps changing the quiet tenant's limits.
///
/// # Errors
/// The service, a server or a socket cannot be started or opened.
pub fn flood(
    kind: Kind,
    command: &[String],
    half_duration: Duration,
    seed: u64,
    [separate_process, with_changes]: [bool; 2],
    dir: &Path,
) -> io::Result<Flood> {
    std::fs::create_dir_all(dir)?;
    let fleet = ServerFleet::start()?;
    let file = dir.join(format!("flood-{}.toml", kind.name()));
    let state = dir.join("state");
    if with_changes && state.exists() {
        std::fs::remove_dir_all(&state)?;
    }
    std::fs::write(
        &file,
        config(&fleet, kind, with_changes.then_some(state.as_path())),
    )?;
    let service = Service::start(command, &file, 2, with_changes)?;
    let flooded_service = if separate_process {
        Some(Service::start(command, &file, 2, false)?)
    } else {
        None
    };
    let until = Instant::now() + 2 * half_duration + WARM_UP;
    let changes = service.admin.map(|address| {
        let token = std::fs::read_to_string(state.join("operator.token"))?;
        Ok::<_, io::Error>(thread::spawn(move || change_limits(address, &token, until)))
    });
    let changes = changes.transpose()?;
    let begin = Instant::now() + Duration::from_millis(200);
    let floods = [begin + half_duration, begin + 2 * half_duration + WARM_UP];
    let address = flooded_service
        .as_ref()
        .unwrap_or(&service)
        .listener("flood")?;
    let flood_thread = thread::spawn(move || on_thread(run_flood(kind, address, floods)));
    let quiet = on_thread(run_quiet_tenant(
        service.listener("quiet")?,
        seed,
        begin,
        [
            half_duration,
            floods[0] - begin + WARM_UP,
            floods[1] - begin,
        ],
    ))?;
    let (sent, served) = flood_thread
        .join()
        .map_err(|_| io::Error::other("the flood panicked"))??;
    let seconds = (floods[1] - floods[0]).as_secs_f64();
    let changes = changes
        .map(|c| {
            c.join()
                .map_err(|_| io::Error::other("the changes panicked"))?
        })
        .transpose()?;
    Ok(Flood {
        changes: changes.unwrap_or(0),
        kind,
        quiet: quiet.halves,
        sent_per_s: sent as f64 / seconds,
        served_per_s: served as f64 / seconds,
        late_ms: quiet.late_ms,
    })
}

/// Changes the quiet tenant's limits and one of its servers repeatedly until `until`; returns the number of changes.
fn change_limits(address: SocketAddr, token: &str, until: Instant) -> io::Result<u64> {
    let mut connection = HttpConnection::admin(address, token);
    let mut n = 0;
    while Instant::now() < until {
        let limits = serde_json::json!({ "in-flight": 100 + n % 10 });
        connection.json("PUT", "/v1/tenants/quiet/limits", "", &limits)?;
        let action = if n % 2 == 0 { "drain" } else { "resume" };
        connection.json(
            "POST",
            &format!("/v1/tenants/quiet/servers/quiet-0/{action}"),
            "",
            &serde_json::Value::Null,
        )?;
        n += 1;
        thread::sleep(Duration::from_millis(50));
    }
    Ok(2 * n)
}

fn on_thread<T>(future: impl Future<Output = io::Result<T>>) -> io::Result<T> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    let outcome = LocalSet::new().block_on(&runtime, future);
    runtime.shutdown_background();
    outcome
}

struct QuietTenantResults {
    halves: [QuietTenantResult; 2],
    late_ms: f64,
}

/// A request of the quiet tenant: its scheduled time, the delay in sending it, and its latency if it was served.
type QuietRequest = (Duration, Duration, Option<Duration>);

/// Sends the quiet tenant's requests on schedule, independently of earlier ones (open loop). The first half ends at
/// `boundaries[0]`; the second lasts from `boundaries[1]` to `boundaries[2]`.
async fn run_quiet_tenant(
    target: SocketAddr,
    seed: u64,
    begin: Instant,
    boundaries: [Duration; 3],
) -> io::Result<QuietTenantResults> {
    let mut rng = stream(seed, Purpose::Load);
    let gap = Exp::new(QUIET_REQUESTS_PER_S).map_err(io::Error::other)?;
    let idle: Rc<RefCell<Vec<Connection>>> = Rc::default();
    let all: Rc<RefCell<Vec<QuietRequest>>> = Rc::default();
    let mut scheduled = Duration::ZERO;
    let mut tasks = Vec::new();
    while scheduled < boundaries[2] {
        scheduled += Duration::from_secs_f64(gap.sample(&mut rng));
        sleep_until((begin + scheduled).into()).await;
        let (idle, all) = (idle.clone(), all.clone());
        tasks.push(spawn_local(async move {
            let delay = (begin + scheduled).elapsed();
            let served = timeout(REQUEST_TIMEOUT, send_lookup(target, &idle))
                .await
                .is_ok_and(|good| good);
            let latency = served.then(|| (begin + scheduled).elapsed());
            all.borrow_mut().push((scheduled, delay, latency));
        }));
    }
    for task in tasks {
        task.await.map_err(io::Error::other)?;
    }
    let all = all.borrow();
    let half = |from: Duration, until: Duration| -> io::Result<QuietTenantResult> {
        let mut latencies =
            Histogram::<u64>::new_with_bounds(1, 60_000_000, 3).map_err(io::Error::other)?;
        let mut sent = 0;
        for (_, _, latency) in all
            .iter()
            .filter(|(scheduled, ..)| (from..until).contains(scheduled))
        {
            sent += 1;
            if let Some(latency) = latency {
                latencies.saturating_record(latency.as_micros().max(1) as u64);
            }
        }
        let quantile_ms = |q| latencies.value_at_quantile(q) as f64 / 1000.0;
        Ok(QuietTenantResult {
            sent,
            served: latencies.len() as f64 / sent.max(1) as f64,
            latency_ms: [quantile_ms(0.5), quantile_ms(0.99)],
        })
    };
    let mut delays: Vec<Duration> = all.iter().map(|(_, delay, _)| *delay).collect();
    delays.sort();
    let late_ms = delays
        .get(delays.len().saturating_sub(1) * 99 / 100)
        .map_or(0.0, |l| l.as_secs_f64() * 1000.0);
    Ok(QuietTenantResults {
        halves: [
            half(Duration::ZERO, boundaries[0])?,
            half(boundaries[1], boundaries[2])?,
        ],
        late_ms,
    })
}

/// Sends one lookup on an idle or new connection; returns true if it was served. A closed idle connection is replaced once.
async fn send_lookup(target: SocketAddr, idle: &RefCell<Vec<Connection>>) -> bool {
    for _ in 0..2 {
        let reused = idle.borrow_mut().pop();
        let was_reused = reused.is_some();
        let connection = match reused {
            Some(connection) => Some(connection),
            None => TcpStream::connect(target).await.ok().map(Connection::new),
        };
        let Some(mut connection) = connection else {
            return false;
        };
        let written = connection
            .write(b"GET /lookup/1 HTTP/1.1\r\nHost: quiet\r\n\r\n")
            .await;
        match (written, connection.read(false).await) {
            (Ok(()), Ok(response)) => {
                if !response.closes_connection() {
                    idle.borrow_mut().push(connection);
                }
                return response.start == StartLine::Response(200);
            }
            _ if was_reused => {} // the idle connection was closed
            _ => return false,
        }
    }
    false
}

/// Sends the flood from the first instant to the second; returns the numbers sent and served.
async fn run_flood(
    kind: Kind,
    target: SocketAddr,
    [from, until]: [Instant; 2],
) -> io::Result<(u64, u64)> {
    sleep_until(from.into()).await;
    let counts: Rc<(Cell<u64>, Cell<u64>)> = Rc::default();
    if kind != Kind::Nothing {
        for _ in 0..FLOOD_CONNECTIONS {
            let counts = counts.clone();
            spawn_local(async move {
                loop {
                    flood_connection(kind, target, &counts).await;
                    sleep(Duration::from_millis(2)).await; // avoids a busy loop after a refused connection
                }
            });
        }
    }
    sleep_until(until.into()).await;
    Ok((counts.0.get(), counts.1.get()))
}

/// Sends the flood on one connection until it ends.
async fn flood_connection(kind: Kind, target: SocketAddr, (sent, served): &(Cell<u64>, Cell<u64>)) {
    let Ok(stream) = TcpStream::connect(target).await else {
        return;
    };
    let mut connection = Connection::new(stream);
    let increment = |count: &Cell<u64>| count.set(count.get() + 1);
    match kind {
        Kind::Nothing => std::future::pending().await,
        Kind::HalfHeads => {
            increment(sent);
            if connection
                .write(b"GET /lookup/1 HTTP/1.1\r\nHost:")
                .await
                .is_ok()
            {
                connection.closed().await;
            }
        }
        Kind::SlowReaders => {
            // Sends as many requests as the buffers take and reads no byte of the responses.
            let request =
                format!("GET /lookup/{LARGE_PATH_SUFFIX} HTTP/1.1\r\nHost: flood\r\n\r\n");
            for _ in 0..64 {
                increment(sent);
                if connection.write(request.as_bytes()).await.is_err() {
                    return;
                }
            }
            sleep(Duration::from_secs(5)).await;
        }
        Kind::Requests | Kind::Churn | Kind::Hangs | Kind::Bodies => {
            let request = match kind {
                Kind::Bodies => {
                    let body = "x".repeat(60 << 10);
                    format!(
                        "POST /checkout/1 HTTP/1.1\r\nHost: flood\r\nContent-Length: {}\r\n\r\n{body}",
                        body.len()
                    )
                }
                _ => "GET /lookup/1 HTTP/1.1\r\nHost: flood\r\n\r\n".to_owned(),
            };
            loop {
                increment(sent);
                if connection.write(request.as_bytes()).await.is_err() {
                    return;
                }
                let Ok(response) = connection.read(false).await else {
                    return;
                };
                if response.start == StartLine::Response(200) {
                    increment(served);
                }
                if response.closes_connection() || kind == Kind::Churn {
                    return;
                }
            }
        }
    }
}
