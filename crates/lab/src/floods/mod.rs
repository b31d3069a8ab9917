//! Floods on the hosted service: two tenants with the same share, one quiet, one that floods in one of several ways. Each
//! way strains another thing that the tenants share. The quiet tenant is measured before and during the flood, in the
//! same run.

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
use fleet::{Fleet, LARGE};

/// A way to flood, and what it strains.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// Nothing: the quiet tenant alone, twice. What the figures swing by without any cause.
    Nothing,
    /// Lookups as fast as they are answered: the event loop's time.
    Requests,
    /// Large answers that nobody reads: sockets and memory.
    SlowReaders,
    /// Heads that are never whole: sockets.
    HalfHeads,
    /// Requests with bodies of nearly 64 KiB: memory.
    Bodies,
    /// A connection for each request: sockets and the event loop's time.
    Churn,
    /// Servers that never answer: requests in flight.
    Hangs,
}

impl Kind {
    /// All kinds by name.
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

/// How the quiet tenant fared in one half of a run.
#[derive(Clone, Copy, Debug, Default)]
pub struct Fared {
    /// Requests that it sent.
    pub sent: u64,
    /// The part of them that was served in time.
    pub served: f64,
    /// Latencies of those in ms: median and 99th percentile, from when they were meant to be sent.
    pub latency_ms: [f64; 2],
}

/// What came of one flood.
#[derive(Clone, Copy, Debug)]
pub struct Flood {
    /// The way.
    pub kind: Kind,
    /// The quiet tenant before and during the flood.
    pub quiet: [Fared; 2],
    /// What the flood sent a second (requests, or connections where they never become requests), and what was served.
    pub sent_per_s: f64,
    /// What of it was served a second.
    pub served_per_s: f64,
    /// How late the quiet tenant's requests were sent at the 99th percentile in ms: beyond a few, the run is void.
    pub late_ms: f64,
    /// Changes of the quiet tenant that were made meanwhile.
    pub changes: u64,
}

impl Flood {
    /// The way's name.
    pub fn name(&self) -> &'static str {
        self.kind.name()
    }
}

/// The quiet tenant's requests a second; each takes its server 20 ms.
const QUIET_RATE: f64 = 200.0;
/// Connections that flood at once.
const FLOODING: usize = 512;
/// The wait that the quiet tenant is ready for.
const PATIENCE: Duration = Duration::from_secs(1);
/// From a flood's first connection on it is not measured for so long.
const SETTLE: Duration = Duration::from_millis(500);

/// What both tenants' classes look like, and what the process has. It is small, so that one core of this machine can flood it
/// ten times over.
fn config(fleet: &Fleet, kind: Kind, state: Option<&Path>) -> String {
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
    let flooding = if kind == Kind::Hangs {
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
        &tenant("flood", flooding),
    ]
    .concat()
}

/// Floods a service once; `span` is the length of each half. Files go into `dir`. With `apart` the flood goes to a second
/// process like the first: what the quiet tenant loses then, the machine takes, and not the sharing of a process. With `changing`
/// the quiet tenant's limits are changed by the administration API all the while.
///
/// # Errors
/// The service, a server or a socket could not be had.
pub fn flood(
    kind: Kind,
    command: &[String],
    span: Duration,
    seed: u64,
    [apart, changing]: [bool; 2],
    dir: &Path,
) -> io::Result<Flood> {
    std::fs::create_dir_all(dir)?;
    let fleet = Fleet::start()?;
    let file = dir.join(format!("flood-{}.toml", kind.name()));
    let state = dir.join("state");
    if changing && state.exists() {
        std::fs::remove_dir_all(&state)?;
    }
    std::fs::write(
        &file,
        config(&fleet, kind, changing.then_some(state.as_path())),
    )?;
    let service = Service::start(command, &file, 2, changing)?;
    let other = if apart {
        Some(Service::start(command, &file, 2, false)?)
    } else {
        None
    };
    let until = Instant::now() + 2 * span + SETTLE;
    let changes = service.admin.map(|at| {
        let token = std::fs::read_to_string(state.join("operator.token"))?;
        Ok::<_, io::Error>(thread::spawn(move || change(at, &token, until)))
    });
    let changes = changes.transpose()?;
    let begin = Instant::now() + Duration::from_millis(200);
    let floods = [begin + span, begin + 2 * span + SETTLE];
    let at = other.as_ref().unwrap_or(&service).listener("flood")?;
    let flooding = thread::spawn(move || on_thread(flood_with(kind, at, floods)));
    let quiet = on_thread(quietly(
        service.listener("quiet")?,
        seed,
        begin,
        [span, floods[0] - begin + SETTLE, floods[1] - begin],
    ))?;
    let (sent, served) = flooding
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

/// Changes the quiet tenant's limits and one of its servers, again and again; returns how often.
fn change(at: SocketAddr, token: &str, until: Instant) -> io::Result<u64> {
    let mut line = HttpConnection::admin(at, token);
    let mut n = 0;
    while Instant::now() < until {
        let limits = serde_json::json!({ "in-flight": 100 + n % 10 });
        line.json("PUT", "/v1/tenants/quiet/limits", "", &limits)?;
        let act = if n % 2 == 0 { "drain" } else { "resume" };
        line.json(
            "POST",
            &format!("/v1/tenants/quiet/servers/quiet-0/{act}"),
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

struct Quiet {
    halves: [Fared; 2],
    late_ms: f64,
}

/// One request of the quiet tenant: when it was meant to be sent, how late it was, and how long it took if it was served.
type Asked = (Duration, Duration, Option<Duration>);

/// Sends the quiet tenant's requests at their times, whatever became of those before. The first half ends at `marks[0]`, the
/// second is from `marks[1]` to `marks[2]`.
async fn quietly(
    to: SocketAddr,
    seed: u64,
    begin: Instant,
    marks: [Duration; 3],
) -> io::Result<Quiet> {
    let mut rng = stream(seed, Purpose::Load);
    let gap = Exp::new(QUIET_RATE).map_err(io::Error::other)?;
    let idle: Rc<RefCell<Vec<Connection>>> = Rc::default();
    let all: Rc<RefCell<Vec<Asked>>> = Rc::default();
    let mut at = Duration::ZERO;
    let mut tasks = Vec::new();
    while at < marks[2] {
        at += Duration::from_secs_f64(gap.sample(&mut rng));
        sleep_until((begin + at).into()).await;
        let (idle, all) = (idle.clone(), all.clone());
        tasks.push(spawn_local(async move {
            let late = (begin + at).elapsed();
            let served = timeout(PATIENCE, ask(to, &idle))
                .await
                .is_ok_and(|good| good);
            let took = served.then(|| (begin + at).elapsed());
            all.borrow_mut().push((at, late, took));
        }));
    }
    for task in tasks {
        task.await.map_err(io::Error::other)?;
    }
    let all = all.borrow();
    let half = |from: Duration, to: Duration| -> io::Result<Fared> {
        let mut latencies =
            Histogram::<u64>::new_with_bounds(1, 60_000_000, 3).map_err(io::Error::other)?;
        let mut sent = 0;
        for (_, _, took) in all.iter().filter(|(at, ..)| (from..to).contains(at)) {
            sent += 1;
            if let Some(took) = took {
                latencies.saturating_record(took.as_micros().max(1) as u64);
            }
        }
        let at = |q| latencies.value_at_quantile(q) as f64 / 1000.0;
        Ok(Fared {
            sent,
            served: latencies.len() as f64 / sent.max(1) as f64,
            latency_ms: [at(0.5), at(0.99)],
        })
    };
    let mut late: Vec<Duration> = all.iter().map(|(_, late, _)| *late).collect();
    late.sort();
    let late_ms = late
        .get(late.len().saturating_sub(1) * 99 / 100)
        .map_or(0.0, |l| l.as_secs_f64() * 1000.0);
    Ok(Quiet {
        halves: [half(Duration::ZERO, marks[0])?, half(marks[1], marks[2])?],
        late_ms,
    })
}

/// One lookup on a connection that is idle, or a new one. A connection that was closed meanwhile is replaced once.
async fn ask(to: SocketAddr, idle: &RefCell<Vec<Connection>>) -> bool {
    for _ in 0..2 {
        let reused = idle.borrow_mut().pop();
        let was_reused = reused.is_some();
        let connection = match reused {
            Some(connection) => Some(connection),
            None => TcpStream::connect(to).await.ok().map(Connection::new),
        };
        let Some(mut connection) = connection else {
            return false;
        };
        let written = connection
            .write(b"GET /lookup/1 HTTP/1.1\r\nHost: quiet\r\n\r\n")
            .await;
        match (written, connection.read(false).await) {
            (Ok(()), Ok(answer)) => {
                if !answer.closes_connection() {
                    idle.borrow_mut().push(connection);
                }
                return answer.start == StartLine::Response(200);
            }
            _ if was_reused => {} // closed while it was idle
            _ => return false,
        }
    }
    false
}

/// Floods from the first instant to the second; how much was sent, and served.
async fn flood_with(
    kind: Kind,
    to: SocketAddr,
    [from, until]: [Instant; 2],
) -> io::Result<(u64, u64)> {
    sleep_until(from.into()).await;
    let counts: Rc<(Cell<u64>, Cell<u64>)> = Rc::default();
    if kind != Kind::Nothing {
        for _ in 0..FLOODING {
            let counts = counts.clone();
            spawn_local(async move {
                loop {
                    pour(kind, to, &counts).await;
                    sleep(Duration::from_millis(2)).await; // it was refused a connection: not a busy loop on our side
                }
            });
        }
    }
    sleep_until(until.into()).await;
    Ok((counts.0.get(), counts.1.get()))
}

/// One connection's part of a flood, until it ends.
async fn pour(kind: Kind, to: SocketAddr, (sent, served): &(Cell<u64>, Cell<u64>)) {
    let Ok(stream) = TcpStream::connect(to).await else {
        return;
    };
    let mut connection = Connection::new(stream);
    let one_more = |count: &Cell<u64>| count.set(count.get() + 1);
    match kind {
        Kind::Nothing => std::future::pending().await,
        Kind::HalfHeads => {
            one_more(sent);
            if connection
                .write(b"GET /lookup/1 HTTP/1.1\r\nHost:")
                .await
                .is_ok()
            {
                connection.closed().await;
            }
        }
        Kind::SlowReaders => {
            // As many as fit into the buffers on the way, and not a byte of the answers is read.
            let request = format!("GET /lookup/{LARGE} HTTP/1.1\r\nHost: flood\r\n\r\n");
            for _ in 0..64 {
                one_more(sent);
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
                one_more(sent);
                if connection.write(request.as_bytes()).await.is_err() {
                    return;
                }
                let Ok(answer) = connection.read(false).await else {
                    return;
                };
                if answer.start == StartLine::Response(200) {
                    one_more(served);
                }
                if answer.closes_connection() || kind == Kind::Churn {
                    return;
                }
            }
        }
    }
}
